package controller

import (
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/signal"
	"dahliaspindle/routing"
)

// notifyModule passes an event to the routing module and carries out its actions.
// It then sends a Pending for each call that was delayed.
func (c *Controller) notifyModule(event routing.Event) {
	if !c.dispatcher.Dispatch(c.now, event, c.perform) {
		return
	}
	for _, call := range c.newlyDelayed {
		if call.state == statePending && call.attempt == nil && !call.pendingSent && call.caller != nil {
			call.pendingSent = true
			c.sendMessage(call.caller.peer, &signal.Message{Kind: signal.Pending, ID: call.transaction})
		}
	}
	c.newlyDelayed = c.newlyDelayed[:0]
}

// perform carries out one action of the routing module.
func (c *Controller) perform(action routing.Action) {
	switch action := action.(type) {
	case routing.StartAttempt:
		c.startAttempt(action)
	case routing.RefuseCall:
		if call := c.pendingCall(action.CallID); call != nil {
			c.stats.Refused++
			c.recordCallEnd(call, flow.CallRefused)
			msg := &signal.Message{Code: signal.InsufficientResources, Text: "refused"}
			if action.RetryAfter > 0 {
				msg.PutDuration("Backoff", action.RetryAfter)
			}
			c.finishCall(call, msg)
		}
	case routing.FailCall:
		if call := c.pendingCall(action.CallID); call != nil {
			c.stats.Failed++
			c.recordCallEnd(call, flow.CallFailed)
			c.finishCall(call, &signal.Message{Code: signal.Unavailable, Text: "failed"})
		}
	case routing.CancelAttempt:
		if call := c.calls[action.CallID]; call != nil && call.attempt != nil && call.attempt.number == action.Attempt {
			c.withdrawAttempt(call.attempt, routing.OutcomeCancelled)
		}
	case routing.SetTimer:
		c.timers.Set(c.now+action.Delay, timer{module: true, token: action.Token})
	case routing.Verdict:
		if call := c.calls[action.CallID]; call != nil {
			c.applyVerdict(call, action)
		}
	}
}

// pendingCall returns the call with an ID if it has no final answer yet, else nil.
func (c *Controller) pendingCall(id string) *call {
	if call := c.calls[id]; call != nil && call.state == statePending {
		return call
	}
	return nil
}

// finishCall sends the final reply that the routing module decided on and withdraws
// an attempt in flight.
func (c *Controller) finishCall(call *call, msg *signal.Message) {
	if call.verdictText != "" {
		msg.Put("Verdict", call.verdictText)
	}
	if call.transit && call.failureNote != "" {
		msg.Put("Cause", call.failureNote)
	}
	call.state = stateEnded
	if call.attempt != nil {
		c.withdrawAttempt(call.attempt, routing.OutcomeTimedOut) // before the final reply: no set-up is sent after it
	}
	c.sendFinalReply(call, msg)
	if call.attempt == nil || call.attempt.stage == stageReleased {
		c.removeCall(call)
	}
}

// applyVerdict stores the routing module's verdict with the call. If the call turns
// out to be delayed, notifyModule sends its caller a Pending.
func (c *Controller) applyVerdict(call *call, verdict routing.Verdict) {
	call.verdict = verdict
	call.verdictText = fmt.Sprintf("%s; %s %d", verdict.Reason, verdict.Scope, verdict.ExchangeNumber)
	c.effects = append(c.effects, Effect{Kind: EffectVerdict, Call: call.name, Peer: peerOf(call), Verdict: verdict})
	if verdict.Log {
		c.effects = append(c.effects, Effect{
			Kind:  EffectLog,
			Level: slog.LevelInfo,
			Call:  call.name,
			Text:  fmt.Sprintf("%s (occurrence %d)", call.verdictText, verdict.Count),
		})
	}
	if !call.pendingSent {
		c.newlyDelayed = append(c.newlyDelayed, call)
	}
}

// peerOf returns the caller's connection of a call; the zero Peer if it is closed.
func peerOf(call *call) Peer {
	if call.caller == nil {
		return Peer{}
	}
	return call.caller.peer
}

// failureNotes maps the Note of a failed set-up to its outcome. The own exchange
// is the one where the controller runs, the peer exchange the one that the set-up
// was sent to.
var failureNotes = map[string]struct {
	outcome routing.Outcome
	note    routing.Note
}{
	"no-circuit":            {routing.OutcomeNotSent, routing.NoteNoCircuit},            // the trunk group between own and peer exchange is full
	"own-processor":         {routing.OutcomeNotSent, routing.NoteProcessorFull},        // the own exchange is out of service
	"over":                  {routing.OutcomeNotSent, routing.NoteNone},                 // the caller's deadline had passed
	"turned-back":           {routing.OutcomeRejected, routing.NoteCrankback},           // cranked back by the tandem
	"turned-back-processor": {routing.OutcomeRejected, routing.NoteOnwardProcessorFull}, // cranked back by the tandem: the destination's processor is overloaded
	"processor-full":        {routing.OutcomeRejected, routing.NoteProcessorFull},       // rejected by the peer exchange
	"lines-busy":            {routing.OutcomeFailed, routing.NoteLinesBusy},             // all lines of the called number are busy
	"fault":                 {routing.OutcomeFailed, routing.NoteNone},                  // signalling error
	"cut":                   {routing.OutcomeReset, routing.NoteNone},                   // cut during the set-up
	"withdrawn":             {routing.OutcomeCancelled, routing.NoteNone},               // released by a Subtract
	"not-in-service":        {routing.OutcomeUnreachable, routing.NoteNone},             // the peer exchange accepts no new calls
}

// failureOutcome returns the outcome of a failed set-up. A reply without a known
// Note counts as a signalling failure, unless its code says that the set-up was
// not started.
func failureOutcome(msg *signal.Message) routing.Outcome {
	if failure, ok := failureNotes[msg.Get("Note")]; ok {
		return failure.outcome
	}
	switch msg.Code {
	case signal.NotReady, signal.Unavailable, signal.TooManyPending, signal.ServiceStateChanging:
		return routing.OutcomeUnreachable
	case signal.InsufficientResources:
		return routing.OutcomeRejected
	}
	return routing.OutcomeFailed
}

// maxProcessorWait limits the Wait that an overloaded processor asks for.
const maxProcessorWait = time.Minute

// processorNote returns the Note of a failed set-up and the Wait that an overloaded
// processor asks for.
func processorNote(msg *signal.Message) (routing.Note, time.Duration) {
	wait, err := msg.Duration("Wait")
	if err != nil {
		wait = 0
	}
	return failureNotes[msg.Get("Note")].note, min(wait, maxProcessorWait)
}

// parseReport reads the state of the trunk group and the share of traffic to hold
// back from a reply.
func (c *Controller) parseReport(msg *signal.Message) routing.StatusReport {
	var report routing.StatusReport
	if _, free, size, ok := parseGroup(msg.Get("Group")); ok {
		report.CircuitsKnown, report.FreeCircuits, report.GroupSize = true, free, size
	}
	if value := msg.Get("Reduce"); value != "" {
		if share, err := strconv.ParseFloat(value, 64); err == nil && share >= 0 && share <= 1 {
			report.HasReduction, report.Reduction = true, share
		}
	}
	return report
}
