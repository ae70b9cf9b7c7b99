package controller

import (
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/wheel"
)

type stage uint8

const (
	queued   stage = iota // waits for its link
	sent                  // the Add is out
	carrying              // the call stands on it
	freeing               // withdrawn or released: the Subtract is out
	freed
)

// attempt is one set-up at an exchange, until the exchange has let go of it.
type attempt struct {
	call    *call
	n       int
	to      uint32 // exchange
	link    *link  // nil if there is none
	tx      uint32 // of the Add, later of the last Subtract
	add     uint32
	began   time.Duration
	till    time.Duration // its time-out
	timer   wheel.Handle
	stage   stage
	tries   int           // Subtracts sent
	outcome brain.Outcome // with freeing: what the module is told when it is freed
	told    bool          // the module has been told of its end
}

// send carries out the module's Send.
func (c *Controller) send(a brain.StartAttempt) {
	k := c.calls[a.CallID]
	if k == nil || k.state != open || k.att != nil && !k.att.told {
		// the module names a call that is over or has an attempt out: told, not obeyed
		c.log(slog.LevelError, a.CallID, "the module sends a call that can't be sent")
		if k != nil && k.state == open {
			return
		}
		c.feed(brain.AttemptEnded{CallID: a.CallID, ExchangeID: a.ExchangeID, Outcome: brain.OutcomeNotSent, Final: true})
		return
	}
	c.stats.Attempts++
	t := &attempt{call: k, n: k.attempts, to: a.ExchangeID, link: c.links[uint64(a.ExchangeID)], began: c.now, till: c.now + a.Timeout}
	k.attempts++
	k.att = t
	if t.link != nil && t.link.cell != k.dest {
		k.tandems++
	}
	switch {
	case t.link == nil || t.link.fenced:
		c.end(t, brain.OutcomeUnreachable, signal.Message{})
	case t.link.life.up:
		c.post(t)
	default:
		t.link.waiting = append(t.link.waiting, t)
		t.timer = c.timers.Set(min(t.till, c.now+c.cfg.LinkTimeout), timer{attempt: t})
	}
}

// post puts the set-up on its link.
func (c *Controller) post(t *attempt) {
	k := t.call
	t.stage = sent
	t.tx = t.link.tx()
	t.add = t.tx
	t.link.out[t.tx] = t
	c.stats.HeldAttempts++
	t.link.held[t] = true
	m := &signal.Message{ID: t.tx, Context: k.context, Command: signal.Add, Termination: k.name, Descriptors: make([]signal.Field, 0, 9)}
	m.PutInt("Attempt", t.n).PutInt("From", c.cfg.ExchangeNumber).PutInt("Dest", k.dest).Put("Class", c.cfg.Classes[k.class].Name)
	m.PutInt("Width", k.width).PutDuration("Left", k.due-c.now)
	if k.number != "" {
		m.Put("Number", k.number)
	}
	m.PutFlag("Transit", k.transit).PutFlag("Again", k.again)
	c.out = append(c.out, Effect{Kind: EffectSend, Peer: t.link.peer(), Message: m, Deadline: t.till, Call: k.name})
	t.timer = c.timers.Set(t.till, timer{attempt: t})
}

// attemptDue is the end of an attempt's time: for a link, for an answer, or for
// the exchange's word that it has let go.
func (c *Controller) attemptDue(t *attempt) {
	switch t.stage {
	case queued:
		t.link.waiting = without(t.link.waiting, t)
		c.stats.NoLink++
		c.end(t, brain.OutcomeUnreachable, signal.Message{})
	case sent:
		c.stats.TimedOut++
		c.withdraw(t, brain.OutcomeTimedOut)
	case freeing:
		at, lost := c.cfg.ReleaseRetry.Next(c.now, t.tries)
		if lost {
			c.log(slog.LevelWarn, t.call.name, fmt.Sprintf("exchange %d does not answer releases", t.link.id))
			c.out = append(c.out, Effect{Kind: EffectClose, Peer: t.link.peer(), Text: "releases are not answered"})
			return // its Down frees what it holds
		}
		c.stats.ReleaseRetries++
		c.askRelease(t, at, 0)
	}
}

// withdraw calls an attempt off: the exchange is asked to let go, and the
// module told the outcome at once.
func (c *Controller) withdraw(t *attempt, o brain.Outcome) {
	switch t.stage {
	case queued:
		t.link.waiting = without(t.link.waiting, t)
		c.end(t, o, signal.Message{})
		return
	case sent:
	default:
		return
	}
	delete(t.link.out, t.tx)
	c.free(t, t.add) // before the module is told: it may send again at once
	c.tell(t, o, signal.Message{})
}

// free sends the Subtract of an attempt and repeats it until it is answered. A
// set-up named by recall is taken back instead, if it has not left.
func (c *Controller) free(t *attempt, recall uint32) {
	t.stage = freeing
	c.stats.Releases++
	at, _ := c.cfg.ReleaseRetry.Next(c.now, 1)
	c.askRelease(t, at, recall)
}

func (c *Controller) askRelease(t *attempt, again time.Duration, recall uint32) {
	t.tries++
	c.timers.Stop(t.timer)
	delete(t.link.out, t.tx)
	t.tx = t.link.tx()
	t.link.out[t.tx] = t
	m := &signal.Message{ID: t.tx, Context: t.call.context, Command: signal.Subtract, Termination: t.call.name}
	m.PutInt("Attempt", t.n)
	c.out = append(c.out, Effect{Kind: EffectSend, Peer: t.link.peer(), Message: m, RecallID: recall})
	t.timer = c.timers.Set(again, timer{attempt: t})
}

// end takes an attempt that holds nothing any more out of all tables and tells the module.
func (c *Controller) end(t *attempt, o brain.Outcome, r signal.Message) {
	c.timers.Stop(t.timer)
	if t.stage != queued && t.stage != freed {
		delete(t.link.out, t.tx)
		delete(t.link.held, t)
		c.stats.HeldAttempts--
	}
	t.stage = freed
	c.tell(t, o, r)
	if t.call.state == over && (t.call.att == t || t.call.att == nil) {
		c.forget(t.call)
	}
	if t.link != nil {
		c.drop(t.link)
	}
}

// tell brings the module the outcome of an attempt, once.
func (c *Controller) tell(t *attempt, o brain.Outcome, r signal.Message) {
	if t.told {
		return
	}
	t.told = true
	k := t.call
	stood := t.stage == carrying || k.state == standing && k.att == t
	if stood {
		c.stats.Established--
		k.state = over
	}
	e := brain.AttemptEnded{CallID: k.id, Attempt: t.n, ExchangeID: t.to, Outcome: o, Elapsed: c.now - t.began, Final: k.state == over}
	c.attemptEnded(t, e.Outcome, &r)
	k.cause = ""
	if r.Kind == signal.Reply {
		e.Note, e.RetryAfter = note(&r)
		e.Report = c.report(&r)
		k.cause = r.Get("Note")
	}
	if !stood && k.state == open {
		k.att = nil
	}
	switch o {
	case brain.OutcomeReset:
		c.stats.Reset++
	case brain.OutcomeCancelled:
		c.stats.Cancelled++
	}
	c.feed(e)
}

// release ends a call that stands: the exchange is asked to let go, the module
// is told when it has.
func (c *Controller) release(k *call, o brain.Outcome) {
	t := k.att
	k.state = over
	c.stats.Established--
	if k.from != nil {
		delete(k.from.calls, k.name)
	}
	t.outcome = o
	c.free(t, 0)
}

// stands books that an exchange has set the call up.
func (c *Controller) stands(t *attempt, r *signal.Message) {
	k := t.call
	delete(t.link.out, t.tx)
	c.timers.Stop(t.timer)
	if k.state != open { // its caller left and the module did not call it off
		t.told = true
		c.feed(brain.CallEstablished{CallID: k.id, Attempt: t.n, ExchangeID: t.to, Elapsed: c.now - t.began})
		t.told, t.outcome = false, brain.OutcomeCompleted
		c.free(t, 0)
		return
	}
	t.stage = carrying
	m := &signal.Message{Descriptors: make([]signal.Field, 0, 3)}
	m.PutInt("Attempts", k.attempts)
	if t.link.cell == k.dest {
		m.Put("Via", "direct")
	} else {
		m.Put("Via", strconv.Itoa(t.link.cell))
	}
	c.answer(k, m)
	k.state = standing
	k.stood = c.now
	c.stats.Answered++
	c.stats.Established++
	if c.cfg.InterimInterval > 0 {
		c.timers.Set(c.now+c.cfg.InterimInterval, timer{interim: k})
	}
	c.feed(brain.CallEstablished{CallID: k.id, Attempt: t.n, ExchangeID: t.to, Elapsed: c.now - t.began})
}

// fromExchange reads what an exchange says.
func (c *Controller) fromExchange(l *link, m *signal.Message) {
	switch m.Kind {
	case signal.Pending:
		return
	case signal.ErrorMessage:
		c.log(slog.LevelWarn, "", fmt.Sprintf("exchange %d says %d %s", l.id, m.Code, m.Text))
		return
	case signal.Request:
		c.noticed(l, m)
		return
	}
	t := l.out[m.ID]
	if t == nil {
		if m.Command == signal.Add || m.Command == signal.Subtract {
			c.stats.LateReplies++ // it was withdrawn, or is told twice
		}
		return
	}
	switch {
	case m.Command == signal.Subtract && t.stage == freeing:
		c.end(t, t.outcome, *m)
	case m.Command != signal.Add || t.stage != sent:
		c.log(slog.LevelWarn, t.call.name, fmt.Sprintf("exchange %d answers %s to transaction %d, which was none", l.id, m.Command, m.ID))
	case m.Code == 0:
		c.reported(m)
		c.stands(t, m)
	default:
		c.end(t, outcome(m), *m)
	}
}

// noticed is an event that an exchange tells by itself.
func (c *Controller) noticed(l *link, m *signal.Message) {
	switch {
	case m.Command == signal.ServiceChange:
		c.say(l.peer(), m.NewReply())
	case m.Command != signal.Notify:
		c.say(l.peer(), m.NewErrorReply(signal.UnknownCommand, "not a command for a controller"))
	case m.Termination == signal.Root:
		c.say(l.peer(), m.NewReply())
		c.reported(m)
	default:
		c.say(l.peer(), m.NewReply())
		k := c.calls[contextID(m.Context)]
		if k == nil || k.name != m.Termination || k.att == nil || k.att.link != l {
			return
		}
		o := brain.OutcomeCompleted
		if m.Get("Event") == "cut" {
			o = brain.OutcomeReset
		}
		switch t := k.att; {
		case k.state == standing:
			if o == brain.OutcomeReset {
				c.stats.Cut++
				c.callEnded(k, flow.Cut)
				c.notifyEnd(k, "cut")
			} else {
				c.stats.Ended++
				c.callEnded(k, flow.Ended)
				c.notifyEnd(k, "end")
			}
			if k.from != nil {
				delete(k.from.calls, k.name)
			}
			c.end(t, o, signal.Message{}) // the exchange has let go by itself
		case t.stage == sent:
			c.end(t, brain.OutcomeReset, signal.Message{})
		case t.stage == freeing:
			c.end(t, t.outcome, signal.Message{})
		}
	}
}

// unsent is a set-up that the edge could not send.
func (c *Controller) unsent(p Peer, m *signal.Message) {
	l := c.links[p.ID]
	if l == nil || p.Role != RoleExchange {
		return
	}
	switch t := l.out[m.ID]; {
	case t == nil:
	case t.stage == sent:
		c.stats.NoLink++
		c.end(t, brain.OutcomeUnreachable, signal.Message{})
	case t.stage == freeing: // withdrawn before it left: there is nothing to let go
		c.end(t, t.outcome, signal.Message{})
	}
}

func without(all []*attempt, t *attempt) []*attempt {
	for i := range all {
		if all[i] == t {
			return append(all[:i], all[i+1:]...)
		}
	}
	return all
}
