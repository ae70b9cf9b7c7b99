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
	if !c.module.Give(c.now, e, c.act) {
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
	case brain.Send:
		c.send(a)
	case brain.Refuse:
		if k := c.openCall(a.ID); k != nil {
			c.stats.Refused++
			c.callEnded(k, flow.Refused)
			m := &signal.Message{Code: signal.InsufficientResources, Text: "refused"}
			if a.Backoff > 0 {
				m.PutDuration("Backoff", a.Backoff)
			}
			c.finish(k, m)
		}
	case brain.GiveUp:
		if k := c.openCall(a.ID); k != nil {
			c.stats.Failed++
			c.callEnded(k, flow.Failed)
			c.finish(k, &signal.Message{Code: signal.Unavailable, Text: "failed"})
		}
	case brain.Cancel:
		if k := c.calls[a.ID]; k != nil && k.att != nil && k.att.n == a.Attempt {
			c.withdraw(k.att, brain.Cancelled)
		}
	case brain.Wake:
		c.timers.Set(c.now+a.After, timer{wake: true, token: a.Token})
	case brain.Verdict:
		if k := c.calls[a.ID]; k != nil {
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
		c.withdraw(k.att, brain.TimedOut) // before the answer is said: nothing is sent after it
	}
	c.answer(k, m)
	if k.att == nil || k.att.stage == freed {
		c.forget(k)
	}
}

// verdict keeps the module's word with the call; a caller who is made to wait hears so.
func (c *Controller) verdict(k *call, v brain.Verdict) {
	k.verdict = v
	k.why = fmt.Sprintf("%s; %s %d", v.Reason, v.Scope, v.Cell)
	c.out = append(c.out, Effect{Do: Decided, Call: k.name, Peer: callerPeer(k), Verdict: v})
	if v.Log {
		c.out = append(c.out, Effect{Do: Log, Level: slog.LevelInfo, Call: k.name,
			Text: fmt.Sprintf("%s (the %d. such)", k.why, v.Nth)})
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
	"no-circuit":            {brain.Moot, brain.NoCircuit},    // the group between own and far is full
	"own-processor":         {brain.Moot, brain.ProcFull},     // own is out of service
	"over":                  {brain.Moot, brain.NoNote},       // the caller's time was over
	"turned-back":           {brain.Full, brain.TurnedBack},   // by the tandem
	"turned-back-processor": {brain.Full, brain.DestProcFull}, // by the tandem, for the far end's processor
	"processor-full":        {brain.Full, brain.ProcFull},     // far turned it away
	"lines-busy":            {brain.Failed, brain.LinesBusy},  // all lines of the number
	"fault":                 {brain.Failed, brain.NoNote},     // signalling
	"cut":                   {brain.Reset, brain.NoNote},      // in the middle of the set-up
	"withdrawn":             {brain.Cancelled, brain.NoNote},  // by a Subtract
	"not-in-service":        {brain.NoConnect, brain.NoNote},  // far takes nothing new
}

// outcome reads the reply to a set-up that failed. What has no note of ours is
// a failure of the signalling, unless the code says that nothing was begun.
func outcome(m *signal.Message) brain.Outcome {
	if n, ok := notes[m.Get("Note")]; ok {
		return n.outcome
	}
	switch m.Code {
	case signal.NotReady, signal.Unavailable, signal.TooManyPending, signal.ServiceStateChanging:
		return brain.NoConnect
	case signal.InsufficientResources:
		return brain.Full
	}
	return brain.Failed
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
func (c *Controller) report(m *signal.Message) brain.Report {
	var r brain.Report
	if _, free, size, ok := group(m.Get("Group")); ok {
		r.Known, r.Free, r.Size = true, free, size
	}
	if v := m.Get("Reduce"); v != "" {
		if x, err := strconv.ParseFloat(v, 64); err == nil && x >= 0 && x <= 1 {
			r.HasEps, r.Eps = true, x
		}
	}
	return r
}
