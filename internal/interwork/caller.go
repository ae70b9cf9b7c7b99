package interwork

import (
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/isup"
)

// caller is a caller's connection.
type caller struct {
	id       ConnID
	open     int // set-ups not answered
	standing int // calls that were set up or adopted here
	said     bool
	since    time.Duration // of the last word, or of the connection
	gone     bool
}

type call struct {
	id       uint64
	name     string // of the Call-ID and in the module
	from     *caller
	class    string
	number   string
	desc     []byte
	attempts int
	at       *peer // where it stands
	standing bool
	adopted  bool
	stood    time.Duration
}

func (c *Core) callerUp(id ConnID) {
	k := &caller{id: id, since: c.now}
	c.callers[id] = k
	c.order = append(c.order, k)
	if c.cfg.MaxConns > 0 && len(c.callers) > c.cfg.MaxConns {
		c.evict(k)
	}
}

// evict makes room: one that has said nothing goes first, then one without a call, the longest
// quiet first; then the new one.
func (c *Core) evict(fresh *caller) {
	var victim *caller
	for _, k := range c.order {
		if k.gone || k.open > 0 || k == fresh || k.standing > 0 {
			continue
		}
		if victim == nil || victim.said && !k.said || victim.said == k.said && k.since < victim.since {
			victim = k
		}
	}
	if victim == nil {
		victim = fresh
	}
	c.shut(victim, "too many connections")
}

func (c *Core) shut(k *caller, why string) {
	if k.gone {
		return
	}
	c.Stats.ConnsShut++
	c.do(CloseConn{k.id, why})
	c.callerDown(k.id)
}

// callerDown forgets a connection. Nobody is left there to be answered; what stands goes on.
func (c *Core) callerDown(id ConnID) {
	k := c.callers[id]
	if k == nil {
		return
	}
	delete(c.callers, id)
	k.gone = true
	if k.open == 0 {
		return
	}
	var left []uint64
	for _, x := range c.calls {
		if x.from == k && !x.standing {
			left = append(left, x.id)
		}
	}
	slices.Sort(left)
	for _, id := range left {
		c.givenUp(c.calls[id])
	}
}

// sweepCallers closes connections that say nothing.
func (c *Core) sweepCallers() {
	rest := c.order[:0]
	for _, k := range c.order {
		switch {
		case k.gone:
			continue
		case k.open > 0 || k.standing > 0:
		case !k.said && c.now-k.since > mute:
			c.shut(k, "nothing said")
			continue
		case c.now-k.since > idle:
			c.shut(k, "idle")
			continue
		}
		rest = append(rest, k)
	}
	clear(c.order[len(rest):])
	c.order = rest
}

func (c *Core) callerSays(in CallerMessage) {
	k := c.callers[in.Conn]
	if k == nil {
		if IsNewCall(in.Msg) { // read before the connection is closed, which has been decided
			c.turnAway(in.Conn, in.Msg.CallID)
		}
		return
	}
	k.said, k.since = true, c.now
	switch in.Msg.Type {
	case isup.SetUp:
		c.setUp(k, in)
	case isup.Release:
		c.released(k, in.Msg)
	case isup.Test:
		c.do(SendToCaller{k.id, (&isup.Message{Type: isup.TestResult, CallID: in.Msg.CallID}).Add(isup.ParamCause, []byte{1})})
	case isup.Progress, isup.ReleaseComplete, isup.TestResult:
	default:
		c.Stats.Invalid++
		c.shut(k, fmt.Sprintf("message of type %d", in.Msg.Type))
	}
}

func release(id uint64, cause byte) *isup.Message {
	return (&isup.Message{Type: isup.Release, CallID: id}).Add(isup.ParamCause, []byte{cause})
}

// refusal is a release that says that trying again is harmless, and when.
func refusal(id uint64, backoff time.Duration) *isup.Message {
	m := release(id, isup.Congestion)
	if backoff > 0 {
		m.Add(isup.ParamRetryAfter, strconv.AppendInt(nil, int64((backoff+time.Millisecond-1)/time.Millisecond), 10))
	}
	return m
}

// IsNewCall tells whether a message is a set-up that wants an answer and may get one at the edge.
func IsNewCall(m *isup.Message) bool {
	figures, _ := m.Get(isup.ParamRouting)
	return m.Type == isup.SetUp && !strings.Contains(string(figures), "at:")
}

// NewRejection is the answer to a set-up that is not taken: refused, with a time to come back where the
// settings allow one.
func NewRejection(id uint64, s brain.Settings) *isup.Message {
	if !s.Backoff {
		return refusal(id, 0)
	}
	return refusal(id, s.BackoffMax)
}

func (c *Core) turnAway(to ConnID, id uint64) {
	c.Stats.Refused++
	c.do(SendToCaller{to, NewRejection(id, c.cfg.Settings)})
}

// request is a set-up that was read.
type request struct {
	brain.Call
	class, number string
	desc          []byte
	at            string
}

// read takes a set-up apart. The error names what is wrong with it.
func (c *Core) read(m *isup.Message) (r request, err error) {
	text := func(code byte) string {
		v, _ := m.Get(code)
		return string(v)
	}
	class, ok := c.classes[text(isup.ParamClass)]
	if !ok {
		return r, fmt.Errorf("unknown class %.40q", text(isup.ParamClass))
	}
	r.class, r.Class = text(isup.ParamClass), class
	ms, err := strconv.ParseUint(text(isup.ParamPatience), 10, 22)
	if err != nil {
		return r, fmt.Errorf("patience: %w", err)
	}
	r.Remaining = time.Duration(ms) * time.Millisecond
	r.number = text(isup.ParamNumber)
	if r.CalledNumber, err = strconv.ParseUint(r.number, 16, 64); err != nil || len(r.number) != 16 {
		return r, fmt.Errorf("number %.40q", r.number)
	}
	r.HasCalledNumber = true
	switch v := text(isup.ParamRetry); v {
	case "1":
		r.Repeat = true
	case "", "0":
	default:
		return r, fmt.Errorf("retry %.40q", v)
	}
	r.desc, ok = m.Get(isup.ParamDescription)
	if !ok {
		return r, fmt.Errorf("no description")
	}
	return r, c.figures(&r, text(isup.ParamRouting))
}

func (c *Core) figures(r *request, text string) error {
	r.Via = -1
	var dest, width, via bool
	for part := range strings.SplitSeq(text, ";") {
		name, value, ok := strings.Cut(part, ":")
		if !ok {
			return fmt.Errorf("figures %.80q", text)
		}
		if name == "at" {
			r.at = value
			continue
		}
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil {
			return fmt.Errorf("figure %.20q: %w", name, err)
		}
		switch name {
		case "dest":
			dest, r.Destination = true, int(n)
		case "width":
			width, r.Width = true, int(n)
		case "via":
			via, r.Via = true, int(n)
		case "transit":
			r.Transit = n == 1
		case "again":
			r.Reconnect = n == 1
		}
		if (name == "transit" || name == "again") && n != 0 && n != 1 {
			return fmt.Errorf("figure %.20q out of range in %.80q", name, text)
		}
	}
	switch {
	case !dest || !c.served(r.Destination) || r.Destination == c.cfg.Settings.Self && !c.cfg.Settings.Pools:
		return fmt.Errorf("no such destination in %.80q", text)
	case !width || r.Width < 1 || r.Width > c.widest:
		return fmt.Errorf("width out of range in %.80q", text)
	case r.Via < -1 || r.Transit && !via:
		return fmt.Errorf("via out of range in %.80q", text)
	}
	return nil
}

func (c *Core) setUp(k *caller, in CallerMessage) {
	id := in.Msg.CallID
	have := c.calls[id]
	r, err := c.read(in.Msg)
	switch {
	case err == nil && r.at != "":
		c.adopt(k, have, id, r)
		return
	case have != nil && have.from == k:
		// a word about it would be taken for the answer to the first
		c.Stats.Invalid++
		c.shut(k, "two set-ups under one id")
		return
	case have != nil:
		c.Stats.Invalid++
		c.turnAway(k.id, id)
		return
	case err != nil:
		c.Stats.Invalid++
		c.do(SendToCaller{k.id, release(id, isup.InvalidContents)})
		return
	case c.closed, k.open >= c.cfg.MaxPendingPerConn, len(c.calls) >= c.cfg.MaxCalls:
		c.turnAway(k.id, id)
		return
	}
	x := &call{id: id, name: fmt.Sprintf("%016x", id), from: k, class: r.class, number: r.number, desc: r.desc}
	if !c.fits(x) {
		c.Stats.Invalid++
		c.do(SendToCaller{k.id, release(id, isup.InvalidContents)})
		return
	}
	c.Stats.Calls++
	if r.Repeat {
		c.Stats.Again++
	}
	c.calls[id] = x
	c.open++
	k.open++
	r.ID = x.name
	r.Remaining -= max(c.now-in.ReceivedAt, 0)
	c.feed(r.Call)
}

// adopt takes over a call that stands already, for which no answer is owed.
func (c *Core) adopt(k *caller, have *call, id uint64, r request) {
	if have != nil {
		if have.standing && have.from != k {
			have.from.standing--
			have.from = k
			k.standing++
		}
		return
	}
	if e, ended := c.recent[id]; ended && e.ghost == nil {
		c.do(SendToCaller{k.id, release(id, e.cause)})
		return
	}
	p := c.names[r.at]
	if p == nil {
		c.do(SendToCaller{k.id, release(id, isup.TemporaryFailure)})
		return
	}
	if len(c.calls) >= c.cfg.MaxCalls {
		return
	}
	c.Stats.Adopted++
	x := &call{id: id, name: fmt.Sprintf("%016x", id), from: k, class: r.class, number: r.number,
		at: p, standing: true, adopted: true, stood: c.now}
	c.calls[id] = x
	k.standing++
	p.calls[id] = x
}

// released is a caller's word that a set-up is given up or that a call is over.
func (c *Core) released(k *caller, m *isup.Message) {
	x := c.calls[m.CallID]
	if x == nil {
		return
	}
	c.log(slog.LevelDebug, "caller's release", "call", x.name, "standing", x.standing, "stood", c.now-x.stood, "out", c.tries[x.id] != nil, "cause", m.Cause())
	if x.standing {
		c.hangUp(x.at, x.id, x.name, isup.NormalClearing)
		c.over(x, brain.OutcomeCancelled, isup.NormalClearing, true)
		c.do(SendToCaller{k.id, &isup.Message{Type: isup.ReleaseComplete, CallID: m.CallID}})
		return
	}
	if x.from == k {
		c.givenUp(x)
	}
}

// givenUp is a call whose caller stopped waiting: no answer is owed.
func (c *Core) givenUp(x *call) {
	c.Stats.Gone++
	c.closeOpen(x)
	c.feed(brain.CallAbandoned{CallID: x.name})
	if t := c.tries[x.id]; t != nil { // where the module may not cancel
		c.withdraw(t, brain.OutcomeCancelled)
	}
}

// closeOpen takes a call out of those that are owed an answer.
func (c *Core) closeOpen(x *call) {
	c.open--
	x.from.open--
	x.from.since = c.now
	delete(c.calls, x.id)
}

// answer gives the final answer to an open set-up.
func (c *Core) answer(x *call, m *isup.Message) {
	c.closeOpen(x)
	if t := c.tries[x.id]; t != nil {
		c.withdraw(t, brain.OutcomeTimedOut) // before the answer is said: nothing is sent after it
	}
	c.do(SendToCaller{x.from.id, m})
}
