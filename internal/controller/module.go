package controller

import (
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/signal"
)

// feed hands an event to the module and carries out what it asks for.
func (c *Controller) feed(e brain.Event) {
	if !c.module.Dispatch(c.now, e, c.act) {
		return
	}
	for _, k := range c.waited {
		if k.state == open && k.att == nil && !k.pended && k.from != nil {
			k.pended = true
			c.say(k.from.peer, &signal.Message{Kind: signal.Pending, ID: k.tx})
		}
	}
	c.waited = c.waited[:0]
}

func (c *Controller) act(a brain.Action) {
	switch a := a.(type) {
	case brain.StartAttempt:
		c.send(a)
	case brain.RefuseCall:
		if k := c.openCall(a.CallID); k != nil {
			c.stats.Refused++
			c.callEnded(k, flow.Refused)
			m := &signal.Message{Code: signal.InsufficientResources, Text: "refused"}
			if a.RetryAfter > 0 {
				m.PutDuration("Backoff", a.RetryAfter)
			}
			c.finish(k, m)
		}
	case brain.FailCall:
		if k := c.openCall(a.CallID); k != nil {
			c.stats.Failed++
			c.callEnded(k, flow.Failed)
			c.finish(k, &signal.Message{Code: signal.Unavailable, Text: "failed"})
		}
	case brain.CancelAttempt:
		if k := c.calls[a.CallID]; k != nil && k.att != nil && k.att.n == a.Attempt {
			c.withdraw(k.att, brain.OutcomeCancelled)
		}
	case brain.SetTimer:
		c.timers.Set(c.now+a.Delay, timer{wake: true, token: a.Token})
	case brain.Verdict:
		if k := c.calls[a.CallID]; k != nil {
			c.verdict(k, a)
		}
	}
}

func (c *Controller) openCall(id string) *call {
	if k := c.calls[id]; k != nil && k.state == open {
		return k
	}
	return nil
}

// finish gives the module's final answer and withdraws what is still out.
func (c *Controller) finish(k *call, m *signal.Message) {
	if k.why != "" {
		m.Put("Verdict", k.why)
	}
	if k.transit && k.cause != "" {
		m.Put("Cause", k.cause)
	}
	k.state = over
	if k.att != nil {
		c.withdraw(k.att, brain.OutcomeTimedOut) // before the answer is said: nothing is sent after it
	}
	c.answer(k, m)
	if k.att == nil || k.att.stage == freed {
		c.forget(k)
	}
}

// verdict keeps the module's word with the call; a caller who is made to wait hears so.
func (c *Controller) verdict(k *call, v brain.Verdict) {
	k.verdict = v
	k.why = fmt.Sprintf("%s; %s %d", v.Reason, v.Scope, v.ExchangeNumber)
	c.out = append(c.out, Effect{Kind: EffectVerdict, Call: k.name, Peer: callerPeer(k), Verdict: v})
	if v.Log {
		c.out = append(c.out, Effect{Kind: EffectLog, Level: slog.LevelInfo, Call: k.name,
			Text: fmt.Sprintf("%s (the %d. such)", k.why, v.Count)})
	}
	if !k.pended {
		c.waited = append(c.waited, k)
	}
}

func callerPeer(k *call) Peer {
	if k.from == nil {
		return Peer{}
	}
	return k.from.peer
}

// notes maps what an exchange says of a set-up that failed. Own is the
// exchange where the controller runs, far the one that the set-up was sent to.
var notes = map[string]struct {
	outcome brain.Outcome
	note    brain.Note
}{
	"no-circuit":            {brain.OutcomeNotSent, brain.NoteNoCircuit},            // the group between own and far is full
	"own-processor":         {brain.OutcomeNotSent, brain.NoteProcessorFull},        // own is out of service
	"over":                  {brain.OutcomeNotSent, brain.NoteNone},                 // the caller's time was over
	"turned-back":           {brain.OutcomeRejected, brain.NoteCrankback},           // by the tandem
	"turned-back-processor": {brain.OutcomeRejected, brain.NoteOnwardProcessorFull}, // by the tandem, for the far end's processor
	"processor-full":        {brain.OutcomeRejected, brain.NoteProcessorFull},       // far turned it away
	"lines-busy":            {brain.OutcomeFailed, brain.NoteLinesBusy},             // all lines of the number
	"fault":                 {brain.OutcomeFailed, brain.NoteNone},                  // signalling
	"cut":                   {brain.OutcomeReset, brain.NoteNone},                   // in the middle of the set-up
	"withdrawn":             {brain.OutcomeCancelled, brain.NoteNone},               // by a Subtract
	"not-in-service":        {brain.OutcomeUnreachable, brain.NoteNone},             // far takes nothing new
}

// outcome reads the reply to a set-up that failed. What has no note of ours is
// a failure of the signalling, unless the code says that nothing was begun.
func outcome(m *signal.Message) brain.Outcome {
	if n, ok := notes[m.Get("Note")]; ok {
		return n.outcome
	}
	switch m.Code {
	case signal.NotReady, signal.Unavailable, signal.TooManyPending, signal.ServiceStateChanging:
		return brain.OutcomeUnreachable
	case signal.InsufficientResources:
		return brain.OutcomeRejected
	}
	return brain.OutcomeFailed
}

// waitMost is the longest wait named by a full processor that is believed.
const waitMost = time.Minute

func note(m *signal.Message) (brain.Note, time.Duration) {
	wait, err := m.Duration("Wait")
	if err != nil {
		wait = 0
	}
	return notes[m.Get("Note")].note, min(wait, waitMost)
}

// report reads the group and the hold-back share that a reply tells.
func (c *Controller) report(m *signal.Message) brain.StatusReport {
	var r brain.StatusReport
	if _, free, size, ok := group(m.Get("Group")); ok {
		r.CircuitsKnown, r.FreeCircuits, r.GroupSize = true, free, size
	}
	if v := m.Get("Reduce"); v != "" {
		if x, err := strconv.ParseFloat(v, 64); err == nil && x >= 0 && x <= 1 {
			r.HasReduction, r.Reduction = true, x
		}
	}
	return r
}
