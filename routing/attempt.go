package routing

import "math"

// startAttempt sends the set-up of a call to a peer and counts the circuits that
// it takes.
func (c *Controller) startAttempt(call *activeCall, peer *peerExchange, viaTandem bool) {
	c.highValueServed++
	if call.worth <= c.meanWorth {
		c.highValueServed = 0
	}
	peer.freeCircuits -= call.Width
	peer.pendingSetups++
	// A set-up over a tandem or to a slow peer may stay pending for reasons that say nothing about the
	// load of the own processor.
	if call.inOwnWindow = !viaTandem &&
		(peer.window >= c.initialWindow || c.ownLoad > congestionThreshold); call.inOwnWindow {
		c.pendingSetups++
	}
	peer.coldTokens--
	if c.ownExchange != nil {
		c.ownExchange.coldTokens--
	}
	if number := c.busyNumbers[call.CalledNumber]; number != nil {
		number.pendingAttempts++
	}
	call.state, call.peer, call.viaTandem = stateAttempting, peer, viaTandem
	call.attempts++
	if viaTandem {
		call.tandemAttempts++
		c.tandemCredit--
	}
	switch {
	case call.Transit:
		peer.transitCircuits[call.Via] += call.Width
	case !viaTandem:
		peer.directCircuits += call.Width
		peer.classLoads[call.Class].inUse += call.Width
	}
	c.actions = append(c.actions, StartAttempt{call.ID, peer.id, c.attemptTimeout(call, viaTandem)})
}

// releaseCircuits removes the call from the counts of circuits in use.
func (c *Controller) releaseCircuits(call *activeCall) {
	peer := call.peer
	switch {
	case peer == nil:
		return
	case call.Transit:
		peer.transitCircuits[call.Via] -= call.Width
		if peer.transitCircuits[call.Via] <= 0 {
			delete(peer.transitCircuits, call.Via)
		}
	case !call.viaTandem:
		peer.directCircuits -= call.Width
		peer.classLoads[call.Class].inUse -= call.Width
	}
	call.peer = nil
}

// recordAnswer counts the end of the wait for an answer. It returns the record
// of the called number, nil if there is none.
func (c *Controller) recordAnswer(call *activeCall) *busyNumber {
	c.answerRate.add(c.now, 1)
	call.peer.answerRate.add(c.now, 1)
	call.peer.pendingSetups--
	if call.inOwnWindow {
		c.pendingSetups--
	}
	number := c.busyNumbers[call.CalledNumber]
	if number != nil {
		number.pendingAttempts = max(number.pendingAttempts-1, 0)
	}
	return number
}

// handleEstablished processes the success of an attempt: it updates the set-up
// times and widens the windows, or narrows them after a slow answer.
func (c *Controller) handleEstablished(event CallEstablished) {
	call := c.calls[event.CallID]
	if call == nil || call.peer == nil || event.Attempt != call.attempts-1 || call.establishedAt > 0 {
		return
	}
	peer := call.peer
	if number := c.recordAnswer(call); number != nil {
		number.reports /= 2
	}
	call.establishedAt = max(c.now, 1)
	if call.state == stateAttempting {
		call.state = stateEstablished
	}
	peer.lossesInRow = 0
	if ratio := float64(event.Elapsed) / float64(c.targetSetupTime()); ratio <= 1 &&
		float64(c.pendingSetups+1) >= c.window/2 {
		c.window = min(c.window+1/c.window, maxWindow)
	}
	if destination := c.peers[call.Destination]; call.viaTandem && destination != nil {
		c.tandemCredit = min(c.tandemCredit+tandemCreditPerSuccess, maxTandemCredit)
		delete(destination.secondLegs, call.Destination)
		peer.secondLegs[call.Destination] = &secondLegState{confirmedUntil: c.now + secondLegValidity}
	}
	ratio := float64(event.Elapsed) / float64(c.targetSetupTime())
	if call.viaTandem {
		ratio /= 1.5 // the set-up passes one more processor
	}
	peer.setupTimeRatio = setupTimeWeight*c.decayed(peer.setupTimeRatio, peer.setupTimeAt) +
		(1-setupTimeWeight)*ratio
	peer.setupTimeAt = c.now
	// The load of the own processor shows in the quick answers: while some are quick, the slow ones
	// are due to the peers.
	if ratio > c.ownLoad {
		c.ownLoad += (1 - slowerAnswerWeight) * (min(ratio, 2) - c.ownLoad)
	} else {
		c.ownLoad += (1 - setupTimeWeight) * (ratio - c.ownLoad)
	}
	c.ownLoadAt = c.now
	switch {
	case ratio > 1:
		c.slowAnswerRate.add(c.now, 1)
		c.narrowWindow(peer, slowAnswerFactor, c.minSlowWindow, event.Elapsed)
		if c.now-event.Elapsed >= c.windowCutAt && c.ownLoad > congestionThreshold {
			c.windowCutAt, c.window = c.now, max(c.window*slowAnswerFactor, minOwnWindow)
		}
	case float64(peer.pendingSetups+1) >= peer.window/2:
		peer.window = min(peer.window+min(1/peer.window, math.Sqrt(peer.window)), maxWindow)
	}
}

// handleAttemptEnded processes the end of an attempt or of an established call.
// A call whose attempt failed returns to the queue if it may be retried, and
// otherwise gets its final answer.
func (c *Controller) handleAttemptEnded(event AttemptEnded) {
	call := c.calls[event.CallID]
	if peer := c.peerByID(event.ExchangeID); peer != nil {
		peer.applyReport(c.now, event.Report)
	}
	if call == nil || call.peer == nil || event.Attempt != call.attempts-1 {
		return
	}
	peer, established := call.peer, call.establishedAt > 0
	if !established {
		number := c.recordAnswer(call)
		if event.Outcome == OutcomeTimedOut {
			c.lossRate.add(c.now, 1)
			peer.lossRate.add(c.now, 1)
		}
		if event.Outcome == OutcomeFailed && event.Note == NoteLinesBusy {
			c.recordBusyNumber(call.CalledNumber, number)
		}
	}
	c.releaseCircuits(call)
	if event.Final || established || call.state == stateDone {
		call.state = stateDone
		delete(c.calls, call.ID)
		return
	}
	call.state = stateWaiting
	if destination := c.peers[call.Destination]; call.viaTandem && destination != nil &&
		destination.lossesInRow >= c.lossThreshold(destination) && event.Outcome != OutcomeNotSent {
		destination.blockSecondLeg(call.Destination, c.now)
	}
	switch event.Outcome {
	case OutcomeTimedOut, OutcomeReset, OutcomeCancelled, OutcomeUnreachable:
		if event.Outcome != OutcomeUnreachable {
			call.retryNotBefore = c.now + c.settings.ReleaseWait + c.settings.Tick
		}
		if call.viaTandem && !c.settings.Pools && event.Outcome != OutcomeUnreachable {
			peer.blockSecondLeg(call.Destination, c.now) // the exchange behind the tandem may be unresponsive
		} else if event.Outcome == OutcomeTimedOut || event.Outcome == OutcomeUnreachable {
			c.recordLoss(peer, event.Elapsed, c.losesAnswers(peer)) // a reset counts as an answer
		}
	case OutcomeRejected:
		if event.Note == NoteProcessorFull {
			c.recordLoss(peer, event.Elapsed, false)
			peer.blockedUntil = max(peer.blockedUntil, c.now+event.RetryAfter)
			break
		}
		peer.blockSecondLeg(call.Destination, c.now)
		if event.Note == NoteOnwardProcessorFull {
			c.narrowWindow(c.peers[call.Destination], rejectionFactor, c.minSlowWindow, event.Elapsed)
		}
	case OutcomeNotSent:
		if event.Note == NoteNoCircuit {
			peer.freeCircuits = min(peer.freeCircuits, call.Width-1)
		} else if event.Note == NoteProcessorFull && c.ownExchange != nil {
			c.refuse(call, ReasonUnresponsive, ScopeOwnExchange)
			return
		}
	case OutcomeFailed:
		if event.Note == NoteLinesBusy {
			c.refuse(call, ReasonNumberBusy, ScopeNumber)
			return
		}
	}
	if c.now+c.settings.Tick >= call.answerBy || call.retryNotBefore >= call.answerBy {
		c.fail(call, ReasonTimeUp, ScopeCall)
		return
	}
	if !call.Transit || event.Outcome == OutcomeNotSent {
		c.queue = append(c.queue, call)
		return
	}
	c.refuse(call, ReasonOverload, ScopeExchange)
}
