// Package controller is the core of one exchange's call control: commands of
// peers in, commands to peers out, the clock handed in. It owns calls,
// attempts and timers and carries out what the module (brain) decides; it
// chooses no route, admits, delays and refuses nothing itself. It holds no
// socket, goroutine, file or clock, so that hundreds can run in virtual time.
//
// Files: controller.go what goes in and out; caller.go calls as their callers
// see them; attempt.go attempts at exchanges; peers.go links, the exchange
// list and circuits; module.go the mapping to the module's events and actions.
package controller

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/policy"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/wheel"
)

// Role tells what a peer is to the controller.
type Role uint8

const (
	RoleCaller       Role = iota // a connection of subscribers, or of the own exchange with calls in transit
	RoleExchange                 // a kept link to an exchange
	RoleExchangeList             // the kept link to the exchange list
)

var roles = [...]string{"caller", "exchange", "list"}

func (r Role) String() string { return roles[r] }

// Peer names a connection (callers: numbered by the edge) or a link (exchanges:
// by their id).
type Peer struct {
	Role Role
	ID   uint64
}

// Input is one thing that happened at the edge.
type Input struct {
	Kind        InputKind
	Peer        Peer
	Message     *signal.Message    // with Command and Unsent
	SyntaxError signal.SyntaxError // with Garbled
	Count       int                // with Turned
}

// InputKind kind of thing an Input is.
type InputKind uint8

const (
	InputMessage      InputKind = iota // Msg came from Peer
	InputConnected                     // the link to Peer stands
	InputDisconnected                  // the connection with Peer is gone; what it had not sent came before as Unsent
	InputUnsent                        // Msg, a set-up, was not sent and won't be
	InputMalformed                     // Peer sent something that can't be read
	InputShed                          // N new calls were turned away at the edge, before they were taken
	InputTimer                         // nothing but time
	InputShutdown                      // stop taking calls; Left comes when all are answered
)

// Effect is one thing that the edge is asked to do.
type Effect struct {
	Kind     EffectKind
	Peer     Peer
	Message  *signal.Message // with Say
	Deadline time.Duration   // with Say of a set-up: not to be sent later than this
	RecallID uint32          // with Say of a release: the set-up, which is given back as Unsent in its place if it has not left
	Address  string          // with Dial
	Text     string          // with Close: why; with Log
	Level    slog.Level      // with Log
	Call     string          // with Log and Decided
	Verdict  brain.Verdict   // with Decided
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

const (
	EffectSend       EffectKind = iota // send Msg to Peer
	EffectConnect                      // keep a link to Peer at Addr from now on
	EffectDisconnect                   // keep it no longer
	EffectClose                        // close the connection with Peer now; a kept link is dialled again
	EffectBlock                        // send no set-up to Peer any more that has not left; give them back as Unsent
	EffectUnblock                      // lift that
	EffectVerdict                      // the module's word on a call, to be kept with the record
	EffectLog                          // one line
	EffectStopped                      // all is answered after Leave
)

// Config is what a controller starts with.
type Config struct {
	Module              policy.Module // what decides: brain.Controller, or a rule that it is held against
	Classes             []brain.Class
	ExchangeNumber      int           // number of the own exchange
	ControllerNumber    int           // number of this controller
	MaxCalls            int           // open and standing calls together
	MaxPendingPerCaller int           // transactions of one caller's connection that are open
	MaxExchanges        int           // exchanges listed
	LinkTimeout         time.Duration // a set-up waits so long for a link that is down
	ShutdownGrace       time.Duration // calls that stand may go on so long after Leave
	Liveness            guard.Liveness
	ReleaseRetry        guard.ReleaseRetry
	FaultLimit          guard.FaultLimiter
	FlowSink            flow.Sink     // takes a record of each call and attempt; nil for none
	InterimInterval     time.Duration // a call that stands is told of so often; 0 never
	TrafficMeter        *measure.Live // measures what own callers offer; nil for none
}

// Stats counts what the controller did; all of it only grows but for Open,
// Standing and Held.
type Stats struct {
	Pending, Established, HeldAttempts                             int // unanswered calls; calls standing; attempts not yet released
	AddsReceived, AddsRejected, Shed                               int // Adds of callers; of these refused untaken; turned away at the edge
	Accepted, Answered, Refused, Failed, Abandoned                 int // calls; their final answers
	Ended, Cut                                                     int // of those that stood
	Attempts, TimedOut, Reset, NoLink, Cancelled                   int
	LateReplies, Malformed, DuplicateIDs, Releases, ReleaseRetries int // answers to nothing; unreadable; ids used again
}

// Controller is the core. It is not safe for concurrent use.
type Controller struct {
	cfg      Config
	now      time.Duration
	classes  map[string]int
	timers   *wheel.Wheel[timer]
	callers  map[uint64]*caller
	calls    map[string]*call // by context, as the module names them
	links    map[uint64]*link
	listUp   life
	cells    map[int]uint64 // number to id of the exchange that serves it
	circuits map[int]brain.GroupStatus
	context  uint32
	leaving  bool
	left     bool
	module   policy.Dispatcher
	waited   []*call // that the module made wait just now
	out      []Effect
	stats    Stats
	counts   flow.Counts
	rec      flow.Record // the one being made
	records  uint64
}

// New starts a controller at a time. The first effects come with the first input.
func New(now time.Duration, cfg Config) *Controller {
	c := &Controller{cfg: cfg, module: policy.Dispatcher{Module: cfg.Module}, now: now, classes: map[string]int{}, timers: wheel.New[timer](now),
		callers: map[uint64]*caller{}, calls: map[string]*call{}, links: map[uint64]*link{},
		cells: map[int]uint64{}, circuits: map[int]brain.GroupStatus{}}
	for i, cl := range cfg.Classes {
		c.classes[cl.Name] = i
	}
	return c
}

// Stats returns the counts so far.
func (c *Controller) Stats() Stats { return c.stats }

// Counts returns what has ended so far, by kind, class and outcome: what the
// records that went to the sink add up to.
func (c *Controller) Counts() *flow.Counts { return &c.counts }

// NextDeadline is the time at which a Clock input is due at the latest.
func (c *Controller) NextDeadline() (time.Duration, bool) { return c.timers.Next() }

// Handle takes one input and returns what to do, valid until the next call.
func (c *Controller) Handle(now time.Duration, in Input) []Effect {
	c.now = max(now, c.now)
	clear(c.out)
	c.out = c.out[:0]
	c.timers.Advance(c.now, c.fire)
	switch in.Kind {
	case InputMessage:
		c.command(in.Peer, in.Message)
	case InputConnected:
		c.up(in.Peer)
	case InputDisconnected:
		c.down(in.Peer)
	case InputUnsent:
		c.unsent(in.Peer, in.Message)
	case InputMalformed:
		c.garbled(in.Peer, in.SyntaxError)
	case InputShed:
		c.stats.Shed += in.Count
		c.log(slog.LevelWarn, "", "calls turned away at the edge: the controller can't keep up")
	case InputShutdown:
		c.leave()
	}
	if c.leaving && !c.left && c.stats.Pending == 0 && len(c.calls) == 0 && c.stats.HeldAttempts == 0 {
		c.left = true
		c.out = append(c.out, Effect{Kind: EffectStopped})
	}
	return c.out
}

func (c *Controller) say(p Peer, m *signal.Message) {
	c.out = append(c.out, Effect{Kind: EffectSend, Peer: p, Message: m})
}

func (c *Controller) log(l slog.Level, call, text string) {
	c.out = append(c.out, Effect{Kind: EffectLog, Level: l, Call: call, Text: text})
}

// timer is what a moment was set for: just one of its fields is.
type timer struct {
	token   uint64   // of the module, with wake
	wake    bool     // the module asked for it
	attempt *attempt // its time-out, its wait for a link, or its release
	link    *life    // look whether the peer lives, in its round
	round   int
	stand   bool  // after Leave: end what stands
	stuck   bool  // after that: say what keeps it
	interim *call // tell that it stands still
}

func (c *Controller) fire(t timer) {
	switch {
	case t.wake:
		c.feed(brain.TimerExpired{Token: t.token})
	case t.attempt != nil:
		c.attemptDue(t.attempt)
	case t.link != nil && t.round == t.link.round:
		c.look(t.link)
	case t.interim != nil:
		c.tellInterim(t.interim)
	case t.stand:
		c.endStanding()
	case t.stuck && !c.left:
		c.log(slog.LevelWarn, "", "still here: "+c.remaining())
		c.timers.Set(c.now+stuckAfter, timer{stuck: true})
	}
}

func (c *Controller) command(p Peer, m *signal.Message) {
	switch p.Role {
	case RoleCaller:
		c.fromCaller(c.caller(p.ID), m)
	case RoleExchange:
		if l := c.links[p.ID]; l != nil {
			l.life.heard = c.now
			c.fromExchange(l, m)
		}
	case RoleExchangeList:
		c.listUp.heard = c.now
		c.fromList(m)
	}
}

// garbled answers what can't be read; a peer that goes on so is cut off.
func (c *Controller) garbled(p Peer, bad signal.SyntaxError) {
	c.stats.Malformed++
	faults := &c.listUp.faults
	switch p.Role {
	case RoleCaller:
		faults = &c.caller(p.ID).faults
	case RoleExchange:
		l := c.links[p.ID]
		if l == nil {
			return
		}
		faults = &l.life.faults
	}
	if !faults.Allow(c.now) {
		c.out = append(c.out, Effect{Kind: EffectClose, Peer: p, Text: "too many messages that can't be read"})
		return
	}
	m := &signal.Message{Kind: signal.ErrorMessage, Code: bad.Code, Text: bad.Reason}
	if bad.ID != 0 && p.Role == RoleCaller && !c.caller(p.ID).openTx(bad.ID) {
		m = &signal.Message{Kind: signal.Reply, ID: bad.ID, Command: signal.Add, Termination: signal.Root, Code: bad.Code, Text: bad.Reason}
		c.caller(p.ID).last = max(c.caller(p.ID).last, bad.ID)
	}
	c.say(p, m)
}

// leave stops taking calls and gives those that stand their time.
func (c *Controller) leave() {
	if c.leaving {
		return
	}
	c.leaving = true
	for _, k := range sorted(c.callers) {
		c.say(Peer{RoleCaller, k}, &signal.Message{ID: c.callers[k].tx(), Command: signal.ServiceChange,
			Termination: signal.Root, Descriptors: []signal.Field{{Name: "Method", Value: "graceful"}}})
	}
	c.timers.Set(c.now+c.cfg.ShutdownGrace, timer{stand: true})
	c.timers.Set(c.now+c.cfg.ShutdownGrace+stuckAfter, timer{stuck: true})
}

// endAgain is how often what stands is ended again once its time is over.
const endAgain = 200 * time.Millisecond

// stuckAfter is how long what is left may take to end before it is told of.
const stuckAfter = 4 * time.Second

// remaining names some of what keeps the controller from leaving.
func (c *Controller) remaining() string {
	s := fmt.Sprintf("%d open, %d standing, %d calls, %d attempts held", c.stats.Pending, c.stats.Established, len(c.calls), c.stats.HeldAttempts)
	for i, id := range sorted(c.calls) {
		if k := c.calls[id]; i < 3 {
			s += fmt.Sprintf("; call %s in state %d", k.name, k.state)
			if k.att != nil {
				s += fmt.Sprintf(" with attempt %d in stage %d at %d", k.att.n, k.att.stage, k.att.to)
			}
		}
	}
	return s
}

func (c *Controller) endStanding() {
	for _, id := range sorted(c.calls) {
		if k := c.calls[id]; k.state == standing {
			c.notifyEnd(k, "cut")
			c.callEnded(k, flow.Cut)
			c.release(k, brain.OutcomeReset)
		}
	}
	c.timers.Set(c.now+endAgain, timer{stand: true}) // one that was unanswered may stand yet
}

// sorted returns a map's keys in order: no map's own order reaches an effect.
func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
