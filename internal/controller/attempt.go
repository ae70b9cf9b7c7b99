package controller

import (
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/timerwheel"
	"dahliaspindle/routing"
)

// attemptStage is the stage of an attempt.
type attemptStage uint8

const (
	stageQueued      attemptStage = iota // waits for its link to be connected
	stageSent                            // the Add was sent, no reply yet
	stageEstablished                     // the call is established on it
	stageReleasing                       // the Subtract was sent, no reply yet
	stageReleased                        // the exchange holds nothing for it
)

// attempt is one set-up of a call at an exchange, until the exchange has released it.
type attempt struct {
	call             *call
	number           int
	exchangeID       uint32
	link             *exchangeLink // nil if the exchange has no link
	transaction      uint32        // of the Add, later of the last Subtract
	setUpTransaction uint32        // of the Add
	startedAt        time.Duration
	deadline         time.Duration // for the reply to the Add
	timer            timerwheel.Handle
	stage            attemptStage
	releaseRequests  int             // number of Subtracts sent
	outcome          routing.Outcome // in stageReleasing: reported to the routing module once released
	reported         bool            // the outcome was reported to the routing module
}

// startAttempt carries out a StartAttempt of the routing module.
func (c *Controller) startAttempt(action routing.StartAttempt) {
	call := c.calls[action.CallID]
	if call != nil && call.state == stateEnded && call.attempt == nil { // its caller left; the module is about to be notified
		c.reportNotSent(action, call.attempts)
		return
	}
	if call == nil || call.state != statePending || call.attempt != nil && !call.attempt.reported {
		// The call has ended or has an attempt in flight: logged, not sent.
		c.log(slog.LevelError, action.CallID, "the routing module sent a call that has ended or has an attempt in flight")
		if call == nil || call.state != statePending {
			c.reportNotSent(action, 0)
		}
		return
	}
	c.stats.Attempts++
	attempt := &attempt{
		call:       call,
		number:     call.attempts,
		exchangeID: action.ExchangeID,
		link:       c.links[uint64(action.ExchangeID)],
		startedAt:  c.now,
		deadline:   c.now + action.Timeout,
	}
	call.attempts++
	call.attempt = attempt
	if attempt.link != nil && attempt.link.number != call.destination {
		call.tandemAttempts++
	}
	switch {
	case attempt.link == nil || attempt.link.blocked:
		c.finishAttempt(attempt, routing.OutcomeUnreachable, signal.Message{})
	case attempt.link.state.connected:
		c.sendSetUp(attempt)
	default:
		attempt.link.queued = append(attempt.link.queued, attempt)
		attempt.timer = c.timers.Set(min(attempt.deadline, c.now+c.config.LinkTimeout), timer{attempt: attempt})
	}
}

// reportNotSent reports to the routing module that an attempt of a call that is over was not sent.
func (c *Controller) reportNotSent(action routing.StartAttempt, attempt int) {
	c.notifyModule(routing.AttemptEnded{
		CallID:     action.CallID,
		Attempt:    attempt,
		ExchangeID: action.ExchangeID,
		Outcome:    routing.OutcomeNotSent,
		Final:      true,
	})
}

// sendSetUp sends the Add of an attempt on its link.
func (c *Controller) sendSetUp(attempt *attempt) {
	call := attempt.call
	attempt.stage = stageSent
	attempt.transaction = attempt.link.nextTransaction()
	attempt.setUpTransaction = attempt.transaction
	attempt.link.pending[attempt.transaction] = attempt
	c.stats.HeldAttempts++
	attempt.link.held[attempt] = true
	msg := &signal.Message{
		ID:          attempt.transaction,
		Context:     call.context,
		Command:     signal.Add,
		Termination: call.name,
		Descriptors: make([]signal.Field, 0, 9),
	}
	msg.PutInt("Attempt", attempt.number).PutInt("From", c.config.ExchangeNumber).PutInt("Dest", call.destination).Put("Class", c.config.Classes[call.class].Name)
	msg.PutInt("Width", call.circuits).PutDuration("Left", call.deadline-c.now)
	if call.number != "" {
		msg.Put("Number", call.number)
	}
	msg.PutFlag("Transit", call.transit).PutFlag("Again", call.again)
	c.effects = append(c.effects, Effect{
		Kind:     EffectSend,
		Peer:     attempt.link.peer(),
		Message:  msg,
		Deadline: attempt.deadline,
		Call:     call.name,
	})
	attempt.timer = c.timers.Set(attempt.deadline, timer{attempt: attempt})
}

// attemptTimerExpired handles the end of an attempt's wait for a link, for the
// reply to its set-up, or for the reply to its release.
func (c *Controller) attemptTimerExpired(attempt *attempt) {
	switch attempt.stage {
	case stageQueued:
		attempt.link.queued = removeAttempt(attempt.link.queued, attempt)
		c.stats.NoLink++
		c.finishAttempt(attempt, routing.OutcomeUnreachable, signal.Message{})
	case stageSent:
		c.stats.TimedOut++
		c.withdrawAttempt(attempt, routing.OutcomeTimedOut)
	case stageReleasing:
		retryAt, lost := c.config.ReleaseRetry.Next(c.now, attempt.releaseRequests)
		if lost {
			c.log(slog.LevelWarn, attempt.call.name, fmt.Sprintf("exchange %d does not answer releases", attempt.link.id))
			c.effects = append(c.effects, Effect{Kind: EffectClose, Peer: attempt.link.peer(), Text: "releases are not answered"})
			return // InputDisconnected then ends the attempts on the link
		}
		c.stats.ReleaseRetries++
		c.sendRelease(attempt, retryAt, 0)
	}
}

// withdrawAttempt releases an attempt that is not established and reports the
// outcome to the routing module at once.
func (c *Controller) withdrawAttempt(attempt *attempt, outcome routing.Outcome) {
	switch attempt.stage {
	case stageQueued:
		attempt.link.queued = removeAttempt(attempt.link.queued, attempt)
		c.finishAttempt(attempt, outcome, signal.Message{})
		return
	case stageSent:
	default:
		return
	}
	delete(attempt.link.pending, attempt.transaction)
	// Released before the report: the routing module may send the call again at once.
	c.startRelease(attempt, attempt.setUpTransaction)
	c.reportOutcome(attempt, outcome, signal.Message{})
}

// startRelease sends the Subtract of an attempt and repeats it until it is
// answered. If the set-up with transaction recall has not been sent yet, it is
// recalled instead; 0 recalls nothing.
func (c *Controller) startRelease(attempt *attempt, recall uint32) {
	attempt.stage = stageReleasing
	c.stats.Releases++
	retryAt, _ := c.config.ReleaseRetry.Next(c.now, 1)
	c.sendRelease(attempt, retryAt, recall)
}

// sendRelease sends a Subtract and sets the time of its repetition.
func (c *Controller) sendRelease(attempt *attempt, retryAt time.Duration, recall uint32) {
	attempt.releaseRequests++
	c.timers.Stop(attempt.timer)
	delete(attempt.link.pending, attempt.transaction)
	attempt.transaction = attempt.link.nextTransaction()
	attempt.link.pending[attempt.transaction] = attempt
	msg := &signal.Message{
		ID:          attempt.transaction,
		Context:     attempt.call.context,
		Command:     signal.Subtract,
		Termination: attempt.call.name,
	}
	msg.PutInt("Attempt", attempt.number)
	c.effects = append(c.effects, Effect{Kind: EffectSend, Peer: attempt.link.peer(), Message: msg, RecallID: recall})
	attempt.timer = c.timers.Set(retryAt, timer{attempt: attempt})
}

// finishAttempt removes an attempt for which the exchange holds nothing any more,
// and reports its outcome to the routing module.
func (c *Controller) finishAttempt(attempt *attempt, outcome routing.Outcome, reply signal.Message) {
	c.timers.Stop(attempt.timer)
	if attempt.stage != stageQueued && attempt.stage != stageReleased {
		delete(attempt.link.pending, attempt.transaction)
		delete(attempt.link.held, attempt)
		c.stats.HeldAttempts--
	}
	attempt.stage = stageReleased
	c.reportOutcome(attempt, outcome, reply)
	if attempt.call.state == stateEnded && (attempt.call.attempt == attempt || attempt.call.attempt == nil) {
		c.removeCall(attempt.call)
	}
	if attempt.link != nil {
		c.dropIfUnused(attempt.link)
	}
}

// reportOutcome reports the outcome of an attempt to the routing module, once.
func (c *Controller) reportOutcome(attempt *attempt, outcome routing.Outcome, reply signal.Message) {
	if attempt.reported {
		return
	}
	attempt.reported = true
	call := attempt.call
	established := attempt.stage == stageEstablished || call.state == stateEstablished && call.attempt == attempt
	if established {
		c.stats.Established--
		call.state = stateEnded
	}
	event := routing.AttemptEnded{
		CallID:     call.id,
		Attempt:    attempt.number,
		ExchangeID: attempt.exchangeID,
		Outcome:    outcome,
		Elapsed:    c.now - attempt.startedAt,
		Final:      call.state == stateEnded,
	}
	c.recordAttemptEnd(attempt, event.Outcome, &reply)
	call.failureNote = ""
	if reply.Kind == signal.Reply {
		event.Note, event.RetryAfter = processorNote(&reply)
		event.Report = c.parseReport(&reply)
		call.failureNote = reply.Get("Note")
	}
	if !established && call.state == statePending {
		call.attempt = nil
	}
	switch outcome {
	case routing.OutcomeReset:
		c.stats.Reset++
	case routing.OutcomeCancelled:
		c.stats.Cancelled++
	}
	c.notifyModule(event)
}

// releaseCall ends an established call. The outcome is reported to the routing
// module when the exchange has confirmed the release.
func (c *Controller) releaseCall(call *call, outcome routing.Outcome) {
	attempt := call.attempt
	call.state = stateEnded
	c.stats.Established--
	if call.caller != nil {
		delete(call.caller.calls, call.name)
	}
	attempt.outcome = outcome
	c.startRelease(attempt, 0)
}

// callEstablished records that an exchange has set up the call, and answers its caller.
func (c *Controller) callEstablished(attempt *attempt, reply *signal.Message) {
	call := attempt.call
	delete(attempt.link.pending, attempt.transaction)
	c.timers.Stop(attempt.timer)
	if call.state != statePending { // the caller left, and the routing module did not cancel the attempt
		attempt.reported = true
		c.notifyModule(routing.CallEstablished{CallID: call.id, Attempt: attempt.number, ExchangeID: attempt.exchangeID, Elapsed: c.now - attempt.startedAt})
		attempt.reported, attempt.outcome = false, routing.OutcomeCompleted
		c.startRelease(attempt, 0)
		return
	}
	attempt.stage = stageEstablished
	msg := &signal.Message{Descriptors: make([]signal.Field, 0, 3)}
	msg.PutInt("Attempts", call.attempts)
	if attempt.link.number == call.destination {
		msg.Put("Via", "direct")
	} else {
		msg.Put("Via", strconv.Itoa(attempt.link.number))
	}
	c.sendFinalReply(call, msg)
	call.state = stateEstablished
	call.establishedAt = c.now
	c.stats.Answered++
	c.stats.Established++
	if c.config.InterimInterval > 0 {
		c.timers.Set(c.now+c.config.InterimInterval, timer{interimCall: call})
	}
	c.notifyModule(routing.CallEstablished{CallID: call.id, Attempt: attempt.number, ExchangeID: attempt.exchangeID, Elapsed: c.now - attempt.startedAt})
}

// handleExchangeMessage handles a message of an exchange.
func (c *Controller) handleExchangeMessage(link *exchangeLink, msg *signal.Message) {
	switch msg.Kind {
	case signal.Pending:
		return
	case signal.ErrorMessage:
		c.log(slog.LevelWarn, "", fmt.Sprintf("exchange %d reported error %d %s", link.id, msg.Code, msg.Text))
		return
	case signal.Request:
		c.handleExchangeRequest(link, msg)
		return
	}
	attempt := link.pending[msg.ID]
	if attempt == nil {
		if msg.Command == signal.Add || msg.Command == signal.Subtract {
			c.stats.LateReplies++ // reply to a withdrawn set-up, or a repeated reply
		}
		return
	}
	switch {
	case msg.Command == signal.Subtract && attempt.stage == stageReleasing:
		c.finishAttempt(attempt, attempt.outcome, *msg)
	case msg.Command != signal.Add || attempt.stage != stageSent:
		c.log(slog.LevelWarn, attempt.call.name, fmt.Sprintf("exchange %d replied with %s to transaction %d, which was a different command", link.id, msg.Command, msg.ID))
	case msg.Code == 0:
		c.handleGroupReports(msg)
		c.callEstablished(attempt, msg)
	default:
		c.finishAttempt(attempt, failureOutcome(msg), *msg)
	}
}

// handleExchangeRequest handles a command or notification of an exchange.
func (c *Controller) handleExchangeRequest(link *exchangeLink, msg *signal.Message) {
	switch {
	case msg.Command == signal.ServiceChange:
		c.sendMessage(link.peer(), msg.NewReply())
	case msg.Command != signal.Notify:
		c.sendMessage(link.peer(), msg.NewErrorReply(signal.UnknownCommand, "not a command for a controller"))
	case msg.Termination == signal.Root:
		c.sendMessage(link.peer(), msg.NewReply())
		c.handleGroupReports(msg)
	default:
		c.sendMessage(link.peer(), msg.NewReply())
		call := c.calls[contextID(msg.Context)]
		if call == nil || call.name != msg.Termination || call.attempt == nil || call.attempt.link != link {
			return
		}
		outcome := routing.OutcomeCompleted
		if msg.Get("Event") == "cut" {
			outcome = routing.OutcomeReset
		}
		switch attempt := call.attempt; {
		case call.state == stateEstablished:
			if outcome == routing.OutcomeReset {
				c.stats.Cut++
				c.recordCallEnd(call, flow.CallCut)
				c.notifyCaller(call, "cut")
			} else {
				c.stats.Ended++
				c.recordCallEnd(call, flow.CallEnded)
				c.notifyCaller(call, "end")
			}
			if call.caller != nil {
				delete(call.caller.calls, call.name)
			}
			c.finishAttempt(attempt, outcome, signal.Message{}) // the exchange has already released it
		case attempt.stage == stageSent:
			c.finishAttempt(attempt, routing.OutcomeReset, signal.Message{})
		case attempt.stage == stageReleasing:
			c.finishAttempt(attempt, attempt.outcome, signal.Message{})
		}
	}
}

// handleUnsent ends the attempt whose set-up or release could not be sent.
func (c *Controller) handleUnsent(peer Peer, msg *signal.Message) {
	link := c.links[peer.ID]
	if link == nil || peer.Role != RoleExchange {
		return
	}
	switch attempt := link.pending[msg.ID]; {
	case attempt == nil:
	case attempt.stage == stageSent:
		c.stats.NoLink++
		c.finishAttempt(attempt, routing.OutcomeUnreachable, signal.Message{})
	case attempt.stage == stageReleasing: // recalled before it was sent: there is nothing to release
		c.finishAttempt(attempt, attempt.outcome, signal.Message{})
	}
}

// removeAttempt returns the slice without one attempt.
func removeAttempt(attempts []*attempt, attempt *attempt) []*attempt {
	for i := range attempts {
		if attempts[i] == attempt {
			return append(attempts[:i], attempts[i+1:]...)
		}
	}
	return attempts
}
