// Package interwork is the core of a controller on the platform: callers' binary messages on one
// side, SIP to the exchanges on the other, as ISUP-SIP interworking is called in the field. It
// feeds the module and carries out what it decides, and decides nothing about a call itself.
// It has no socket, goroutine, file or clock: inputs in, effects out, the time handed in.
package interwork

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/policy"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
	"dahliaspindle/internal/wheel"
)

// ConnID numbers a caller's connection, LinkID one to an exchange. Numbers are not used again.
type (
	ConnID uint64
	LinkID uint64
)

// Input is what happens to the core.
type Input interface{ input() }

type (
	// CallerConnected is a caller's connection that was accepted.
	CallerConnected struct{ Conn ConnID }
	// CallerMessage is a message of a caller; ReceivedAt is when its last byte was read.
	CallerMessage struct {
		Conn       ConnID
		ReceivedAt time.Duration
		Msg        *isup.Message
	}
	// CallerDisconnected is the end of a caller's connection.
	CallerDisconnected struct{ Conn ConnID }
	// LinkUp is a connection to an exchange that was asked for and stands.
	LinkUp struct{ Link LinkID }
	// LinkMessage is a message of an exchange.
	LinkMessage struct {
		Link LinkID
		Msg  *sip.Message
	}
	// Unsent is a set-up that did not leave and won't.
	Unsent struct {
		Link LinkID
		Msg  *sip.Message
	}
	// LinkDown is the end of a connection to an exchange, or of the try to make one.
	LinkDown struct {
		Link    LinkID
		Refused bool // nothing listens there
	}
	// ExchangeListUpdate are changes to the exchange list.
	ExchangeListUpdate struct {
		Complete bool
		Changes  []srvlist.Entry
	}
	// Shutdown asks the controller to answer what it has and go.
	Shutdown struct{}
	// Tick is the passing of time.
	Tick struct{}
)

func (CallerConnected) input()    {}
func (CallerMessage) input()      {}
func (CallerDisconnected) input() {}
func (LinkUp) input()             {}
func (LinkMessage) input()        {}
func (Unsent) input()             {}
func (LinkDown) input()           {}
func (ExchangeListUpdate) input() {}
func (Shutdown) input()           {}
func (Tick) input()               {}

// Effect is what the core asks for. Effects are carried out in their order.
type Effect interface{ effect() }

type (
	// SendToCaller sends a message to a caller.
	SendToCaller struct {
		Conn ConnID
		Msg  *isup.Message
	}
	// CloseConn closes a caller's connection once what was said on it is written; set-ups that were read
	// before that still come to the core and are refused.
	CloseConn struct {
		Conn   ConnID
		Reason string
	}
	// Dial opens a connection to an exchange.
	Dial struct {
		Link    LinkID
		Addr    string
		Timeout time.Duration
	}
	// SendToExchange sends a message to an exchange; a set-up that can't leave before Deadline comes back Unsent.
	SendToExchange struct {
		Link     LinkID
		Msg      *sip.Message
		Deadline time.Duration
	}
	// WithdrawSetUp takes the set-up of a Call-ID back, with a CANCEL if it has left.
	WithdrawSetUp struct {
		Link   LinkID
		CallID string
		Cancel *sip.Message
	}
	// HoldSetUps holds back set-ups that have not left (on a link to an exchange that is draining).
	HoldSetUps struct {
		Link LinkID
		Hold bool
	}
	// CloseLink closes a connection to an exchange; one that is not idle without giving it what it has not read.
	CloseLink struct {
		Link   LinkID
		Reason string
		Idle   bool
	}
	// CloseListener closes the listener.
	CloseListener struct{}
	// ShutdownComplete says that nothing is owed any more.
	ShutdownComplete struct{}
	// Log is a line for the log.
	Log struct {
		Level   slog.Level
		Message string
		Args    []any
	}
)

func (SendToCaller) effect()     {}
func (CloseConn) effect()        {}
func (Dial) effect()             {}
func (SendToExchange) effect()   {}
func (WithdrawSetUp) effect()    {}
func (HoldSetUps) effect()       {}
func (CloseLink) effect()        {}
func (CloseListener) effect()    {}
func (ShutdownComplete) effect() {}
func (Log) effect()              {}

// Config is what a core starts with.
type Config struct {
	Module              policy.Module
	Settings            brain.Settings
	ConnectTimeout      time.Duration // a connection that is not up by then counts as not made
	EpochUnixNano       int64         // Unix nanoseconds at time 0 of the clock
	MaxLinks            int           // connections to exchanges, at the most
	ExchangeIdleTimeout time.Duration // exchanges close connections that were idle for so long, 0 never
	MaxConns            int           // callers' connections, at the most
	MaxPendingPerConn   int           // set-ups open on one of them, at the most
	LogAllVerdicts      bool          // each verdict is logged, not only those that the module names
	MaxCalls            int           // calls open and standing, at the most
}

// Times of the edge. Nothing here touches a call that the module has.
const (
	tellEvery   = time.Second
	houseEvery  = 50 * time.Millisecond
	mute        = 2500 * time.Millisecond // a caller's connection that has said nothing
	idle        = 12 * time.Second        // one without a call
	quiet       = 250 * time.Millisecond  // a link with set-ups out that says nothing is tested
	quietStood  = time.Second             // one to an exchange with standing calls
	testWithin  = 600 * time.Millisecond  // a test that is not answered by then ends the link
	silentFor   = 4 * time.Second         // an exchange that nothing is heard of has no calls any more
	refusedFor  = 600 * time.Millisecond  // the same, if it refuses connections
	recentFor   = 20 * time.Second        // ended calls are remembered
	recentMost  = 1 << 14
	leaveTaking = 750 * time.Millisecond // calls are taken after Leave
	leaveMargin = 300 * time.Millisecond // before it is killed the controller has left
	shared      = 4                      // set-ups out on one connection before another is made
	apartFor    = 10 * time.Second       // once one was lost with set-ups out, each gets one of its own for so long
	linksMost   = 12                     // connections to one exchange, at the most
	idleMargin  = time.Second            // before the exchange does, at the most, this end closes an idle one
	retryLeast  = 100 * time.Millisecond // between tries to reach an exchange
	retryMost   = time.Second
)

// From SIGTERM to SIGKILL the platform leaves the longest patience, at most killAfter, and killMore.
const (
	killAfter = 3 * time.Second
	killMore  = 700 * time.Millisecond
)

// Stats count what the core did. Those of a kind that is shed have their own.
type Stats struct {
	Calls, Answered, Refused, Failed, Gone, Invalid, Again, Adopted    int
	Attempts, Resets, TimedOut, NoConnect, Late, Stray, Cut, Forgotten int
	Tests, TestsLost, ConnsShut                                        int
	Unsaid, ByesShed                                                   int // releases without a connection; past a bound
}

type timer struct {
	try   *attempt
	token uint64
	house bool
}

// tell logs what the controller believes, to be held against what passed.
func (c *Core) tell() {
	if c.now < c.tellAt {
		return
	}
	c.tellAt = c.now + tellEvery
	c.log(slog.LevelDebug, "state", "open", c.open, "calls", len(c.calls), "tries", len(c.tries), "timers", c.timers.Len(),
		"callers", len(c.callers), "recent", len(c.recent), "stats", c.Stats)
	for _, p := range c.peers {
		up, out := 0, 0
		for _, l := range p.links {
			if l.up {
				up++
			}
			out += len(l.open)
		}
		c.log(slog.LevelDebug, "exchange", "name", p.Name, "cell", p.Number, "state", p.State, "free", p.told.FreeCircuits, "size", p.told.GroupSize,
			"links", len(p.links), "up", up, "out", out, "waiting", len(p.waiting), "standing", len(p.calls), "fails", p.fails,
			"heard", c.now-p.heard)
	}
}

// Core is one controller. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	classes map[string]int
	widest  int
	grace   time.Duration // from Leave to the last moment to be gone
	now     time.Duration
	timers  *wheel.Wheel[timer]
	out     []Effect
	module  policy.Dispatcher
	random  *rand.Rand // jitter of tries to reach an exchange
	retry   guard.Backoff

	callers map[ConnID]*caller
	order   []*caller // by age
	calls   map[uint64]*call
	open    int                 // not answered
	tries   map[uint64]*attempt // out, by call

	peers    []*peer      // by number
	cells    map[int]bool // numbers that were ever listed
	names    map[string]*peer
	ids      map[uint32]*peer
	lastID   uint32
	links    map[LinkID]*link
	lastLink LinkID

	recent  map[uint64]ending
	recents []uint64 // oldest first

	leaving      bool
	leaveAt      time.Duration
	closed, left bool
	tellAt       time.Duration
	Stats        Stats
}

// ending is how a call ended of late.
type ending struct {
	at    time.Duration
	cause byte
	ghost *peer // where a set-up was given up that may still be answered
	link  *link // and on which link
}

// New starts a core.
func New(cfg Config, now time.Duration) *Core {
	c := &Core{cfg: cfg, module: policy.Dispatcher{Module: cfg.Module}, classes: map[string]int{}, now: now, timers: wheel.New[timer](now), callers: map[ConnID]*caller{},
		calls: map[uint64]*call{}, tries: map[uint64]*attempt{}, names: map[string]*peer{}, cells: map[int]bool{}, ids: map[uint32]*peer{},
		links: map[LinkID]*link{}, recent: map[uint64]ending{},
		random: rand.New(rand.NewPCG(cfg.Settings.Seed, 0x1e7))}
	c.retry = guard.Backoff{Min: retryLeast, Max: retryMost, Random: c.random}
	for i, cl := range cfg.Settings.Classes {
		c.classes[cl.Name] = i
		c.widest = max(c.widest, cl.Width)
		c.grace = max(c.grace, cl.GiveUp)
	}
	c.grace = min(c.grace, killAfter) + killMore - leaveMargin
	c.timers.Set(now+houseEvery, timer{house: true})
	return c
}

// NextTick is when the core wants a Tick.
func (c *Core) NextTick() time.Duration {
	at, _ := c.timers.Next() // the house timer is always set
	return at
}

// Handle takes one input and returns what to do about it.
func (c *Core) Handle(now time.Duration, in Input) []Effect {
	c.now, c.out = max(now, c.now), nil
	c.timers.Advance(c.now, c.fire)
	switch in := in.(type) {
	case CallerConnected:
		c.callerUp(in.Conn)
	case CallerMessage:
		c.callerSays(in)
	case CallerDisconnected:
		c.callerDown(in.Conn)
	case LinkUp:
		c.linkUp(in.Link)
	case LinkMessage:
		c.linkSays(in)
	case Unsent:
		c.unsent(in)
	case LinkDown:
		c.linkDown(in)
	case ExchangeListUpdate:
		c.listed(in)
	case Shutdown:
		if !c.leaving {
			c.leaving, c.leaveAt = true, c.now
		}
	}
	return c.out
}

func (c *Core) fire(t timer) {
	switch {
	case t.house:
		c.house()
		c.timers.Set(c.now+houseEvery, timer{house: true})
	case t.try != nil:
		c.timedOut(t.try)
	default:
		c.feed(brain.TimerExpired{Token: t.token})
	}
}

func (c *Core) do(e Effect) { c.out = append(c.out, e) }

func (c *Core) log(l slog.Level, text string, args ...any) { c.do(Log{l, text, args}) }

// house does what is due now and then: quiet links, callers without a word, what is remembered,
// the way out.
func (c *Core) house() {
	for _, p := range c.peers {
		c.keep(p)
	}
	c.peers = compact(c.peers)
	c.sweepCallers()
	c.tell()
	n := 0
	for n < len(c.recents) && (c.now-c.recent[c.recents[n]].at > recentFor || len(c.recents)-n > recentMost) {
		delete(c.recent, c.recents[n])
		n++
	}
	if c.recents = c.recents[n:]; len(c.recents) == 0 {
		c.recents = nil
	}
	if c.leaving && !c.left && c.now-c.leaveAt >= leaveTaking {
		c.leave()
	}
}

// leave sees the controller out (graceful shutdown): once no calls are taken any more it stays for
// those that are open or stand, since who else would tell their callers that they are over; at the
// end of its grace what is still open gets its answer.
func (c *Core) leave() {
	if !c.closed {
		c.closed = true
		c.do(CloseListener{})
	}
	last := c.now-c.leaveAt >= c.grace
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		if x := c.calls[id]; last && x != nil && !x.standing {
			c.lastWord(x)
		}
	}
	for _, k := range c.order {
		if k.open == 0 && k.standing == 0 {
			c.shut(k, "leaving")
		}
	}
	if last || len(c.calls) == 0 {
		c.left = true
		c.do(ShutdownComplete{})
	}
}

// lastWord answers a set-up that can't be waited for: failed, or refused if it was never sent on.
func (c *Core) lastWord(x *call) {
	c.feed(brain.CallAbandoned{CallID: x.name})
	if x.attempts > 0 {
		c.Stats.Failed++
		c.answer(x, release(x.id, isup.TemporaryFailure))
		return
	}
	c.Stats.Refused++
	c.answer(x, refusal(x.id, 0))
}

// remember keeps the end of a call.
func (c *Core) remember(id uint64, e ending) {
	if _, there := c.recent[id]; !there {
		c.recents = append(c.recents, id)
	}
	e.at = c.now
	c.recent[id] = e
}
