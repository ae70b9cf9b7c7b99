package controller

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/signal"
)

// caller is one connection that brings calls.
type caller struct {
	peer   Peer
	last   uint32           // highest transaction id seen: ids rise
	open   map[uint32]*call // unanswered Adds by transaction
	calls  map[string]*call // unanswered and standing calls by their name
	txs    uint32           // own transactions towards it
	faults guard.FaultLimiter
}

func (cl *caller) openTx(id uint32) bool { return cl.open[id] != nil }

func (cl *caller) tx() uint32 {
	cl.txs++
	return cl.txs
}

func (c *Controller) caller(id uint64) *caller {
	cl := c.callers[id]
	if cl == nil {
		cl = &caller{peer: Peer{RoleCaller, id}, open: map[uint32]*call{}, calls: map[string]*call{}, faults: c.cfg.FaultLimit}
		c.callers[id] = cl
	}
	return cl
}

type phase uint8

const (
	open     phase = iota // taken, unanswered
	standing              // answered: it stands
	over                  // answered or gone; an attempt may still be held
)

// call is one taken call.
type call struct {
	name     string // as the caller names it
	id       string // the context, as the module names it
	context  uint32
	from     *caller // nil once the connection is gone
	tx       uint32
	class    int
	width    int
	dest     int
	number   string
	transit  bool
	again    bool
	state    phase
	due      time.Duration // when the caller gives up
	taken    time.Duration
	att      *attempt // the one that is out, or that it stands on
	attempts int
	pended   bool
	tandems  int
	repeat   bool
	called   uint64        // number, as the record tells it
	source   int           // of the call
	stood    time.Duration // when it stood
	verdict  brain.Verdict // the module's last word
	why      string        // the same in words
	cause    string        // why its last attempt failed, for a source in transit
}

func (c *Controller) fromCaller(cl *caller, m *signal.Message) {
	switch m.Kind {
	case signal.Reply, signal.Pending, signal.ErrorMessage:
		return // callers answer notifications; nothing waits for it
	}
	if m.ID <= cl.last { // ids rise on a connection: this one was used
		c.stats.DuplicateIDs++
		if cl.openTx(m.ID) {
			c.say(cl.peer, &signal.Message{Kind: signal.Pending, ID: m.ID})
			return
		}
		c.say(cl.peer, &signal.Message{Kind: signal.ErrorMessage, Code: signal.BadIdentifier,
			Text: fmt.Sprintf("transaction %d was used before", m.ID)})
		return
	}
	cl.last = m.ID
	switch m.Command {
	case signal.Add:
		c.stats.AddsReceived++
		if refusal := c.take(cl, m); refusal != nil {
			c.stats.AddsRejected++
			c.say(cl.peer, refusal.Put("Taken", "no"))
		}
	case signal.Subtract:
		c.subtract(cl, m)
	case signal.AuditValue:
		c.say(cl.peer, c.figures(m))
	case signal.ServiceChange:
		c.say(cl.peer, m.NewReply())
	default:
		c.say(cl.peer, m.NewErrorReply(signal.UnknownCommand, "not a command for a controller"))
	}
}

// take reads an Add and hands the call to the module. It returns the reply to
// one that can't be taken at all.
func (c *Controller) take(cl *caller, m *signal.Message) *signal.Message {
	switch {
	case c.leaving:
		return m.NewErrorReply(signal.NotReady, "going out of service")
	case cl.calls[m.Termination] != nil:
		return m.NewErrorReply(signal.TerminationInContext, "the call is there already")
	case len(cl.open) >= c.cfg.MaxPendingPerCaller:
		return m.NewErrorReply(signal.TooManyPending, fmt.Sprintf("%d transactions are open", len(cl.open)))
	case len(c.calls) >= c.cfg.MaxCalls:
		return m.NewErrorReply(signal.InsufficientResources, fmt.Sprintf("%d calls are held", len(c.calls)))
	}
	k, e, err := c.readCall(m)
	if errors.Is(err, signal.ErrMissingDescriptor) {
		return m.NewErrorReply(signal.MissingDescriptor, err.Error())
	} else if err != nil {
		return m.NewErrorReply(signal.BadValue, err.Error())
	}
	for c.context++; c.context == 0 || c.context >= signal.ContextChoose || c.calls[contextID(c.context)] != nil; c.context++ {
	}
	k.context, k.id = c.context, contextID(c.context)
	k.name, k.from, k.tx, k.taken = m.Termination, cl, m.ID, c.now
	k.due = c.now + e.Remaining
	e.ID = k.id
	cl.open[m.ID], cl.calls[m.Termination], c.calls[k.id] = k, k, k
	c.stats.Accepted++
	c.stats.Pending++
	c.feed(e)
	return nil
}

func contextID(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

// The widest call and the largest number of an exchange that are believed.
const (
	mostWidth = 1024
	mostCell  = 1 << 20
)

func (c *Controller) readCall(m *signal.Message) (*call, brain.Call, error) {
	k, e := &call{number: m.Get("Number")}, brain.Call{Via: -1}
	class, ok := c.classes[m.Get("Class")]
	if !ok {
		return nil, e, fmt.Errorf("descriptor Class: %.40q is not one of this network's", m.Get("Class"))
	}
	k.class, e.Class = class, class
	var err error
	if e.Remaining, err = m.Duration("Left"); err != nil {
		return nil, e, err
	}
	if e.Destination, err = m.Int("Dest", 0, mostCell); err != nil {
		return nil, e, err
	}
	if e.Width, err = m.IntOrDefault("Width", 1, mostWidth, c.cfg.Classes[class].Width); err != nil {
		return nil, e, err
	}
	if k.number != "" {
		if e.CalledNumber, err = strconv.ParseUint(k.number, 10, 53); err != nil {
			return nil, e, fmt.Errorf("descriptor Number: %.40q is not a number below 2^53", k.number)
		}
		e.HasCalledNumber = true
	}
	name := "Advice" // the tandem with most room, or for a call in transit where it comes from
	if e.Transit = m.Get("Source") != ""; e.Transit {
		name = "Source"
	}
	if e.Via, err = m.IntOrDefault(name, 0, mostCell, -1); err != nil {
		return nil, e, err
	}
	e.Repeat, e.Reconnect = m.Flag("Repeat"), m.Flag("Again")
	k.width, k.dest, k.transit, k.again = e.Width, e.Destination, e.Transit, e.Reconnect
	k.called, k.repeat, k.source = e.CalledNumber, e.Repeat || e.Reconnect, c.cfg.ExchangeNumber
	if e.Transit {
		k.source = e.Via
	}
	return k, e, nil
}

// subtract is a caller who hangs up: before the answer, or at the call's end.
func (c *Controller) subtract(cl *caller, m *signal.Message) {
	k := cl.calls[m.Termination]
	if k == nil {
		c.say(cl.peer, m.NewErrorReply(signal.UnknownTermination, "no such call"))
		return
	}
	r := m.NewReply()
	r.Context = k.context
	c.say(cl.peer, r)
	c.hangUp(k)
}

// hangUp ends a call from its caller's side.
func (c *Controller) hangUp(k *call) {
	switch k.state {
	case open:
		c.stats.Abandoned++
		k.state = over
		c.callEnded(k, flow.Left)
		c.feed(brain.CallAbandoned{CallID: k.id}) // what is out is called off before the answer is said
		c.answer(k, &signal.Message{Code: signal.DoesNotExist, Text: "the caller left"})
		if k.att == nil || k.att.stage == freed {
			c.forget(k)
		}
	case standing:
		c.stats.Ended++
		c.callEnded(k, flow.Ended)
		c.release(k, brain.OutcomeCompleted)
	}
}

// answer gives the call its one final answer, if its caller is still there.
func (c *Controller) answer(k *call, r *signal.Message) {
	k.state = over
	c.stats.Pending--
	if k.from == nil {
		return
	}
	r.Kind, r.ID, r.Context, r.Command, r.Termination = signal.Reply, k.tx, k.context, signal.Add, k.name
	c.say(k.from.peer, r)
	delete(k.from.open, k.tx)
	if r.Code != 0 {
		delete(k.from.calls, k.name)
	}
}

// notifyEnd tells a caller that a call which stood is over.
func (c *Controller) notifyEnd(k *call, event string) {
	if k.from == nil {
		return
	}
	c.say(k.from.peer, &signal.Message{ID: k.from.tx(), Context: k.context, Command: signal.Notify, Termination: k.name,
		Descriptors: []signal.Field{{Name: "Event", Value: event}}})
}

// gone ends all calls of a caller whose connection is gone.
func (c *Controller) gone(id uint64) {
	cl := c.callers[id]
	if cl == nil {
		return
	}
	delete(c.callers, id)
	lost := 0
	for _, name := range sorted(cl.calls) {
		k := cl.calls[name]
		k.from = nil
		lost++
		c.hangUp(k)
	}
	if lost > 0 {
		c.log(slog.LevelInfo, "", fmt.Sprintf("caller connection %d is gone with %d calls", id, lost))
	}
}

// forget drops a call that is answered and holds nothing.
func (c *Controller) forget(k *call) {
	delete(c.calls, k.id)
	if k.from != nil && k.from.calls[k.name] == k {
		delete(k.from.calls, k.name)
	}
}

// figures answers an audit: counts that a person or a load tool may ask for.
func (c *Controller) figures(m *signal.Message) *signal.Message {
	if m.Termination == trafficTerm {
		return c.traffic(m)
	}
	s := c.stats
	return m.NewReply().PutInt("Open", s.Pending).PutInt("Standing", s.Established).PutInt("Held", s.HeldAttempts).
		PutInt("Taken", s.Accepted).PutInt("Stood", s.Answered).PutInt("Refused", s.Refused).PutInt("Failed", s.Failed).
		PutInt("Left", s.Abandoned).PutInt("Cut", s.Cut).PutInt("Turned", s.Shed).PutInt("NotTaken", s.AddsRejected)
}

// trafficTerm names what is offered, in an audit.
const trafficTerm = "TRAFFIC"

// trafficLines bounds one reply.
const trafficLines = 100

// traffic tells what own callers offer: the last whole span of the measurement,
// pair by pair and class by class, those that offer most first.
func (c *Controller) traffic(m *signal.Message) *signal.Message {
	if c.cfg.TrafficMeter == nil {
		return m.NewErrorReply(signal.BadValue, "traffic is not measured")
	}
	all, from, to := c.cfg.TrafficMeter.Estimates(c.now)
	slices.SortStableFunc(all, func(a, b measure.Estimate) int { return cmp.Compare(b.Erlang, a.Erlang) })
	r := m.NewReply().PutDuration("Span", to-from).PutInt("Left", max(len(all)-trafficLines, 0))
	for _, e := range all[:min(len(all), trafficLines)] {
		erlang := "unknown"
		if e.Known {
			erlang = fmt.Sprintf("%.3f %.3f %.3f", e.Erlang, e.Low, e.High)
		}
		r.Put("Offered", fmt.Sprintf("%d %s tries=%d first=%d lost=%d erlang=%s", e.Dest, c.cfg.Classes[e.Class].Name, e.Tries, e.First, e.Lost, erlang))
	}
	return r
}
