package interwork

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/wheel"
)

// attempt is one set-up at an exchange, until its end or until the call stands.
type attempt struct {
	call     *call
	n        int
	peer     *peer
	link     *link        // nil while it waits for one
	invite   *sip.Message // as it was sent on the link
	sent     time.Duration
	notAfter time.Duration
	timer    wheel.Handle
}

func (c *Core) attempt(x *call, a brain.StartAttempt) {
	p := c.ids[a.ExchangeID]
	t := &attempt{call: x, n: x.attempts, peer: p, sent: c.now, notAfter: c.now + a.Timeout}
	x.attempts++
	c.tries[x.id] = t
	c.Stats.Attempts++
	if p == nil || p.State != brain.InService {
		t.peer = &peer{id: a.ExchangeID, gone: true}
		c.conclude(t)
		c.ended(t, brain.AttemptEnded{Outcome: brain.OutcomeUnreachable})
		return
	}
	t.timer = c.timers.Set(t.notAfter, timer{try: t})
	before := c.recent[x.id].link // where an answer to the attempt before may still come
	if l := c.pick(p, before); l != nil && !c.stale(l) && (l != before || len(p.links) >= c.perPeer()) {
		c.put(t, l)
		c.keep(p)
		return
	}
	p.waiting = append(p.waiting, t)
	if !slices.ContainsFunc(p.links, func(l *link) bool { return !l.up }) && (len(c.links) < c.cfg.MaxLinks || c.makeRoom(true)) {
		c.dial(p)
	}
}

// invite is the set-up. Exchanges answer with CSeq 1 whatever stood there, so a further attempt at
// the same exchange is told apart by its link.
func (x *call) invite(within time.Duration) *sip.Message {
	m := &sip.Message{Method: sip.Invite, URI: "sip:" + x.number + "@net", CallID: x.name, CSeq: 1, CSeqMethod: sip.Invite, Body: x.desc}
	return m.Add("Call-Kind", x.class).Add("Answer-Within", strconv.FormatInt(max(within.Milliseconds(), 1), 10))
}

// fits tells whether the set-up can be passed on at all.
func (c *Core) fits(x *call) bool { return len(x.invite(time.Hour).Append(nil)) <= sip.MaxMessageBytes }

// put sends the set-up on a link.
func (c *Core) put(t *attempt, l *link) {
	t.link = l
	l.open = append(l.open, t)
	l.used = c.now
	c.log(slog.LevelDebug, "set-up", "call", t.call.name, "nth", t.n, "exchange", t.peer.Name, "link", l.id, "within", t.notAfter-c.now)
	t.invite = t.call.invite(t.notAfter - c.now)
	c.do(SendToExchange{l.id, t.invite, t.notAfter})
}

// conclude takes an attempt out of all that holds it.
func (c *Core) conclude(t *attempt) {
	c.timers.Stop(t.timer)
	if c.tries[t.call.id] == t {
		delete(c.tries, t.call.id)
	}
	is := func(o *attempt) bool { return o == t }
	t.peer.waiting = slices.DeleteFunc(t.peer.waiting, is)
	if t.link != nil {
		t.link.open = slices.DeleteFunc(t.link.open, is)
	}
}

// withdraw calls an attempt off.
func (c *Core) withdraw(t *attempt, o brain.Outcome) {
	l := t.link
	c.conclude(t)
	if l == nil {
		if o == brain.OutcomeTimedOut {
			o = brain.OutcomeUnreachable
		}
	} else {
		c.remember(t.call.id, ending{ghost: t.peer, link: l})
		c.do(WithdrawSetUp{l.id, t.call.name, &sip.Message{Method: sip.Cancel, URI: "sip:" + t.call.number + "@net",
			CallID: t.call.name, CSeq: 1, CSeqMethod: sip.Cancel}})
	}
	c.ended(t, brain.AttemptEnded{Outcome: o})
}

// timedOut is an attempt without an answer in time. Its link is tested before it is used again.
func (c *Core) timedOut(t *attempt) {
	c.Stats.TimedOut++
	l := t.link
	c.withdraw(t, brain.OutcomeTimedOut)
	if l != nil && l.up {
		l.spent = true
		c.ping(l)
	}
}

func (c *Core) unsent(in Unsent) {
	id, err := strconv.ParseUint(in.Msg.CallID, 16, 64)
	if t := c.tries[id]; err == nil && t != nil && t.invite == in.Msg { // not one of before that is told late
		c.conclude(t)
		c.ended(t, brain.AttemptEnded{Outcome: brain.OutcomeNotSent})
	}
}

func (c *Core) linkSays(in LinkMessage) {
	l := c.links[in.Link]
	if l == nil {
		return
	}
	m := in.Msg
	l.heard, l.peer.heard = c.now, c.now
	if m.Status != 0 {
		switch m.CSeqMethod {
		case sip.Invite:
			if m.Status >= 200 {
				c.final(l, m)
			}
		case sip.Options:
			l.tested, l.spent = 0, false
		}
		return
	}
	switch m.Method {
	case sip.Bye:
		c.do(SendToExchange{l.id, &sip.Message{Status: 200, CallID: m.CallID, CSeq: m.CSeq, CSeqMethod: sip.Bye}, 1 << 62})
		c.cleared(l.peer, m)
	case sip.Notify:
		c.notify(l.peer, m)
	case sip.Options:
		c.do(SendToExchange{l.id, &sip.Message{Status: 200, CallID: m.CallID, CSeq: m.CSeq, CSeqMethod: sip.Options}, 1 << 62})
	default:
		c.Stats.Stray++
	}
}

func (c *Core) ack(l *link, m *sip.Message) {
	c.do(SendToExchange{l.id, &sip.Message{Method: sip.Ack, URI: "sip:" + m.CallID + "@net", CallID: m.CallID, CSeq: m.CSeq, CSeqMethod: sip.Ack}, 1 << 62})
}

// outcomes maps the answers to INVITE that say how an attempt ended; any other is a fault.
var outcomes = map[int]brain.Outcome{503: brain.OutcomeRejected, 480: brain.OutcomeNotSent, 504: brain.OutcomeReset, 408: brain.OutcomeTimedOut}

var notes = map[string]brain.Note{"atb": brain.NoteNoCircuit, "rtb": brain.NoteCrankback, "racc": brain.NoteOnwardProcessorFull,
	"acc": brain.NoteProcessorFull, "sub": brain.NoteLinesBusy}

// final is a final answer to a set-up.
func (c *Core) final(l *link, m *sip.Message) {
	id, err := strconv.ParseUint(m.CallID, 16, 64)
	if err != nil || len(m.CallID) != 16 {
		c.Stats.Stray++
		return
	}
	t := c.tries[id]
	if t == nil || t.link != l {
		c.late(l, id, m)
		return
	}
	c.ack(l, m)
	x := t.call
	c.log(slog.LevelDebug, "answer", "call", m.CallID, "status", m.Status, "link", l.id, "after", c.now-t.sent)
	if m.Status >= 300 {
		e := brain.AttemptEnded{Outcome: brain.OutcomeFailed, Note: notes[m.Get("Fail-Word")], Report: c.state(l.peer, m)}
		if o, ok := outcomes[m.Status]; ok {
			e.Outcome = o
		}
		if ms, err := strconv.Atoi(m.Get("Proc-Wait")); err == nil && e.Note == brain.NoteProcessorFull {
			e.RetryAfter = time.Duration(max(ms, 0)) * time.Millisecond
		}
		if e.Outcome == brain.OutcomeReset {
			c.Stats.Cut++
		}
		c.conclude(t)
		c.ended(t, e)
		return
	}
	c.conclude(t)
	if c.calls[id] != x { // given up meanwhile
		c.bye(l, bye{id, x.name, isup.NormalClearing})
		c.ended(t, brain.AttemptEnded{Outcome: brain.OutcomeCancelled})
		return
	}
	c.Stats.Answered++
	c.do(SendToCaller{x.from.id, (&isup.Message{Type: isup.Answer, CallID: id}).Add(isup.ParamDescription, m.Body)})
	c.open--
	x.from.open--
	x.from.standing++
	x.standing, x.stood, x.at, x.desc = true, c.now, l.peer, nil
	l.peer.calls[id] = x
	c.feed(brain.CallEstablished{CallID: x.name, Attempt: t.n, ExchangeID: l.peer.id, Elapsed: c.now - t.sent})
}

// late is an answer that nobody waits for: one to a set-up that was given up is ended in order.
func (c *Core) late(l *link, id uint64, m *sip.Message) {
	c.Stats.Late++
	e, known := c.recent[id]
	x := c.calls[id]
	c.log(slog.LevelDebug, "late", "call", m.CallID, "status", m.Status, "link", l.id, "known", known, "ghost", e.ghost != nil,
		"ago", c.now-e.at, "open", x != nil && !x.standing, "standing", x != nil && x.standing)
	if !known && x == nil {
		c.Stats.Stray++ // answers what was never asked, or long ago
		return
	}
	c.ack(l, m)
	if e.ghost == l.peer && m.Status < 300 && (x == nil || x.at != l.peer) {
		c.bye(l, bye{id, m.CallID, isup.NormalClearing})
	}
}

// cleared is the release of a call by its exchange.
func (c *Core) cleared(p *peer, m *sip.Message) {
	id, err := strconv.ParseUint(m.CallID, 16, 64)
	if err != nil {
		return
	}
	cause := sip.ParseCause(m.Get("Reason"))
	outcome := brain.OutcomeReset
	if cause == isup.NormalClearing {
		outcome = brain.OutcomeCompleted
	}
	c.log(slog.LevelDebug, "release", "call", m.CallID, "exchange", p.Name, "cause", cause)
	switch x, t := c.calls[id], c.tries[id]; {
	case x != nil && x.standing && x.at == p:
		c.over(x, outcome, cause, false)
	case t != nil && t.peer == p && t.link != nil && t.call == x:
		// it stood and is over while its answer was on the way (a BYE has no other place): its caller is
		// owed that word, and there is nothing to try again
		c.conclude(t)
		c.remember(id, ending{cause: cause})
		c.answer(x, release(id, cause))
		c.ended(t, brain.AttemptEnded{Outcome: outcome})
	case t != nil && t.peer == p && t.link != nil: // given up meanwhile
		c.conclude(t)
		c.ended(t, brain.AttemptEnded{Outcome: brain.OutcomeReset})
	case x == nil:
		if e, known := c.recent[id]; !known || e.ghost != nil {
			c.remember(id, ending{cause: cause})
		}
	}
}

// over ends a call that stood. Its caller is told unless the word came from there.
func (c *Core) over(x *call, o brain.Outcome, cause byte, told bool) {
	c.log(slog.LevelDebug, "over", "call", x.name, "outcome", o, "cause", cause, "stood", c.now-x.stood, "conn", x.from.id, "gone", x.from.gone)
	delete(c.calls, x.id)
	if x.at != nil {
		delete(x.at.calls, x.id)
	}
	x.from.standing--
	x.from.since = c.now
	switch {
	case told:
	case !x.from.gone:
		c.do(SendToCaller{x.from.id, release(x.id, cause)})
	default:
		c.Stats.Unsaid++
		c.log(slog.LevelInfo, "call over, its caller's connection gone", "call", x.name)
	}
	c.remember(x.id, ending{cause: cause})
	if x.adopted {
		return
	}
	c.feed(brain.AttemptEnded{CallID: x.name, Attempt: x.attempts - 1, ExchangeID: x.at.id, Outcome: o, Elapsed: c.now - x.stood, Final: true})
}

// notify is the state of the group towards an exchange. It comes on every link to it; only a
// change is news.
func (c *Core) notify(p *peer, m *sip.Message) {
	r := c.state(p, m)
	if !r.CircuitsKnown || r == p.told {
		return
	}
	p.told = r
	c.feed(brain.GroupStatus{ExchangeID: p.id, OK: true, Report: r})
}

// state is what a message tells of the group towards its exchange.
func (c *Core) state(p *peer, m *sip.Message) (r brain.StatusReport) {
	var free, size bool
	for part := range strings.SplitSeq(m.Get("Link-State"), ";") {
		name, value, _ := strings.Cut(part, ":")
		switch n, err := strconv.ParseFloat(value, 64); {
		case err != nil || n < 0 || n > 1<<20:
		case name == "idle":
			r.FreeCircuits, free = int(n), true
		case name == "circuits":
			r.GroupSize, size = int(n), true
		}
	}
	r.CircuitsKnown = free && size
	return r
}
