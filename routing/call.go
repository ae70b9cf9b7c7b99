package routing

import "time"

// callState is the state of a call in the controller.
type callState int

const (
	stateWaiting     callState = iota // for a route
	stateAttempting                   // an attempt is in flight
	stateEstablished                  // connected
	stateDone                         // a final answer was given or the call has ended
)

// activeCall is a call from its arrival to its end.
type activeCall struct {
	Call

	// Arrival, deadline of the final answer and end of the wait for a route.
	arrivedAt, answerBy, waitUntil time.Duration
	// End of the release time after an unclear end of an attempt; time of establishment or 0.
	retryNotBefore, establishedAt time.Duration

	state                    callState
	attempts, tandemAttempts int
	peer                     *peerExchange // whose group the current attempt or the call uses

	// The current attempt goes over a tandem; it counts in the controller's window.
	viaTandem, inOwnWindow bool

	worth      float64 // lost by a refusal
	waitReason Reason  // why the call waits; "" if it never had to
	waitScope  Scope
}

// classOf returns the class of a call.
func (c *Controller) classOf(call *activeCall) Class { return c.settings.Classes[call.Class] }

// handleCall counts an offered call and queues it, or answers it at once when
// its time is up or its number is busy.
func (c *Controller) handleCall(offered Call) {
	class := c.settings.Classes[offered.Class]
	call := &activeCall{Call: offered, arrivedAt: c.now, worth: class.Worth}
	call.answerBy = c.now + offered.Remaining - 2*c.settings.Tick
	firstAttemptAt, late := c.firstAttempt(offered, class)
	if late {
		call.worth *= max(class.LateWorth, 0.01)
	}
	wait := min(max(firstAttemptAt+c.effectiveAim(class.Aim)-c.now-c.targetSetupTime(), minWait), maxWait)
	if offered.Transit {
		wait = minWait // the originating exchange keeps waiting and may still find another tandem in time
	}
	call.waitUntil = min(c.now+wait, call.answerBy)
	c.calls[call.ID] = call
	c.unanswered = append(c.unanswered, call)
	first := 1.0
	if firstAttemptAt < c.now || offered.Repeat || offered.Reconnect {
		first = 0
	}
	if c.ownExchange != nil {
		c.ownExchange.callRate.add(c.now, 1)
		c.ownExchange.firstAttemptRate.add(c.now, first)
	}
	c.offeredRate.add(c.now, 1)
	if peer := c.peers[offered.Destination]; peer != nil {
		peer.callRate.add(c.now, 1)
		peer.firstAttemptRate.add(c.now, first)
		if circuitSeconds := float64(offered.Width) * class.Holding.Seconds(); !offered.Transit {
			peer.circuitDemand.add(c.now, circuitSeconds)
			if !offered.Repeat {
				peer.classLoads[offered.Class].demand.add(c.now, circuitSeconds)
			}
		}
	}
	if !offered.Transit {
		c.tandemCredit = min(c.tandemCredit+tandemCreditPerCall, maxTandemCredit)
		if tandem := c.peers[offered.Via]; tandem != nil && c.settings.Advice {
			tandem.secondLeg(offered.Destination).confirmedUntil = c.now + secondLegValidity
		}
	}
	if offered.Remaining <= 0 {
		c.fail(call, ReasonTimeUp, ScopeCall)
		return
	}
	if number := c.busyNumbers[offered.CalledNumber]; number != nil && c.numberBlocked(number) {
		c.refuse(call, ReasonNumberBusy, ScopeNumber)
		return
	}
	c.queue = append(c.queue, call)
}

// handleAbandoned ends the call of a caller who left and cancels its attempt.
func (c *Controller) handleAbandoned(event CallAbandoned) {
	call := c.calls[event.CallID]
	if call == nil || call.state == stateDone {
		return
	}
	if c.now < call.answerBy-c.settings.Tick {
		if c.abandonmentRate.weightedSum == 0 {
			c.patience = c.now - call.arrivedAt
		}
		c.abandonmentRate.add(c.now, 1)
		c.patience += (c.now - call.arrivedAt - c.patience) / 8
	}
	c.recordVerdict(call, ReasonCallerLeft, ScopeCall, call.Destination)
	if call.state == stateAttempting && c.settings.Cancelling {
		c.actions = append(c.actions, CancelAttempt{call.ID, call.attempts - 1})
	}
	c.finish(call)
}
