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
	stateLogInterval     = time.Second
	maintenanceInterval  = 50 * time.Millisecond
	firstMessageTimeout  = 2500 * time.Millisecond // a caller's connection that has said nothing
	idleTimeout          = 12 * time.Second        // one without a call
	pingDelayPending     = 250 * time.Millisecond  // a link with set-ups out that says nothing is tested
	pingDelayEstablished = time.Second             // one to an exchange with standing calls
	pingTimeout          = 600 * time.Millisecond  // a test that is not answered by then ends the link
	unresponsiveTimeout  = 4 * time.Second         // an exchange that nothing is heard of has no calls any more
	refusingTimeout      = 600 * time.Millisecond  // the same, if it refuses connections
	endingRetention      = 20 * time.Second        // ended calls are remembered
	maxRecentEndings     = 1 << 14
	shutdownAcceptPeriod = 750 * time.Millisecond // calls are taken after Leave
	shutdownMargin       = 300 * time.Millisecond // before it is killed the controller has left
	setUpsPerLink        = 4                      // set-ups out on one connection before another is made
	exclusiveLinkPeriod  = 10 * time.Second       // once one was lost with set-ups out, each gets one of its own for so long
	maxLinksToPeer       = 12                     // connections to one exchange, at the most
	maxIdleCloseMargin   = time.Second            // before the exchange does, at the most, this end closes an idle one
	minConnectRetry      = 100 * time.Millisecond // between tries to reach an exchange
	maxConnectRetry      = time.Second
)

// From SIGTERM to SIGKILL the platform leaves the longest patience, at most maxKillPatience, and killExtraTime.
const (
	maxKillPatience = 3 * time.Second
	killExtraTime   = 700 * time.Millisecond
)

// Stats count what the core did. Those of a kind that is shed have their own.
type Stats struct {
	Calls, Answered, Refused, Failed, Gone, Invalid, Again, Adopted    int
	Attempts, Resets, TimedOut, NoConnect, Late, Stray, Cut, Forgotten int
	Tests, TestsLost, ConnsShut                                        int
	Unsaid, ByesShed                                                   int // releases without a connection; past a bound
}

type timerEvent struct {
	attempt     *callAttempt
	token       uint64
	maintenance bool
}

// logState logs what the controller believes, to be held against what passed.
func (c *Core) logState() {
	if c.now < c.nextStateLogAt {
		return
	}
	c.nextStateLogAt = c.now + stateLogInterval
	c.log(slog.LevelDebug, "state", "open", c.pending, "calls", len(c.calls), "tries", len(c.attempts), "timers", c.timers.Len(),
		"callers", len(c.conns), "recent", len(c.recentEndings), "stats", c.Stats)
	for _, peer := range c.peers {
		upCount, out := 0, 0
		for _, link := range peer.links {
			if link.up {
				upCount++
			}
			out += len(link.pending)
		}
		c.log(slog.LevelDebug, "exchange", "name", peer.Name, "cell", peer.Number, "state", peer.State, "free", peer.lastReport.Free, "size", peer.lastReport.Size,
			"links", len(peer.links), "up", upCount, "out", out, "waiting", len(peer.waiting), "standing", len(peer.calls), "fails", peer.connectFailures,
			"heard", c.now-peer.lastHeardAt)
	}
}

// Core is one controller. It is not safe for concurrent use.
type Core struct {
	cfg           Config
	classIndexes  map[string]int
	maxWidth      int
	shutdownGrace time.Duration // from Leave to the last moment to be gone
	now           time.Duration
	timers        *wheel.Wheel[timerEvent]
	effects       []Effect
	module        policy.Feed
	random        *rand.Rand // jitter of tries to reach an exchange
	retry         guard.Retry

	conns      map[ConnID]*callerConn
	connsByAge []*callerConn // by age
	calls      map[uint64]*activeCall
	pending    int                     // not answered
	attempts   map[uint64]*callAttempt // out, by call

	peers         []*peerExchange // by number
	listedNumbers map[int]bool    // numbers that were ever listed
	peersByName   map[string]*peerExchange
	peersByID     map[uint32]*peerExchange
	lastPeerID    uint32
	links         map[LinkID]*peerLink
	lastLinkID    LinkID

	recentEndings map[uint64]callEnding
	recentIDs     []uint64 // oldest first

	shuttingDown                 bool
	shutdownAt                   time.Duration
	listenerClosed, shutdownDone bool
	nextStateLogAt               time.Duration
	Stats                        Stats
}

// callEnding is how a call ended of late.
type callEnding struct {
	endedAt       time.Duration
	cause         byte
	withdrawnPeer *peerExchange // where a set-up was given up that may still be answered
	withdrawnLink *peerLink     // and on which link
}

// New starts a core.
func New(cfg Config, now time.Duration) *Core {
	c := &Core{cfg: cfg, module: policy.Feed{Module: cfg.Module}, classIndexes: map[string]int{}, now: now, timers: wheel.New[timerEvent](now), conns: map[ConnID]*callerConn{},
		calls: map[uint64]*activeCall{}, attempts: map[uint64]*callAttempt{}, peersByName: map[string]*peerExchange{}, listedNumbers: map[int]bool{}, peersByID: map[uint32]*peerExchange{},
		links: map[LinkID]*peerLink{}, recentEndings: map[uint64]callEnding{},
		random: rand.New(rand.NewPCG(cfg.Settings.Seed, 0x1e7))}
	c.retry = guard.Retry{Least: minConnectRetry, Most: maxConnectRetry, Random: c.random}
	for i, class := range cfg.Settings.Classes {
		c.classIndexes[class.Name] = i
		c.maxWidth = max(c.maxWidth, class.Width)
		c.shutdownGrace = max(c.shutdownGrace, class.GiveUp)
	}
	c.shutdownGrace = min(c.shutdownGrace, maxKillPatience) + killExtraTime - shutdownMargin
	c.timers.Set(now+maintenanceInterval, timerEvent{maintenance: true})
	return c
}

// NextTick is when the core wants a Tick.
func (c *Core) NextTick() time.Duration {
	at, _ := c.timers.Next() // the house timer is always set
	return at
}

// Handle takes one input and returns what to do about it.
func (c *Core) Handle(now time.Duration, in Input) []Effect {
	c.now, c.effects = max(now, c.now), nil
	c.timers.Advance(c.now, c.handleTimer)
	switch in := in.(type) {
	case CallerConnected:
		c.handleCallerConnected(in.Conn)
	case CallerMessage:
		c.handleCallerMessage(in)
	case CallerDisconnected:
		c.handleCallerDisconnected(in.Conn)
	case LinkUp:
		c.handleLinkUp(in.Link)
	case LinkMessage:
		c.handleLinkMessage(in)
	case Unsent:
		c.handleUnsent(in)
	case LinkDown:
		c.handleLinkDown(in)
	case ExchangeListUpdate:
		c.handleExchangeListUpdate(in)
	case Shutdown:
		if !c.shuttingDown {
			c.shuttingDown, c.shutdownAt = true, c.now
		}
	}
	return c.effects
}

func (c *Core) handleTimer(event timerEvent) {
	switch {
	case event.maintenance:
		c.runMaintenance()
		c.timers.Set(c.now+maintenanceInterval, timerEvent{maintenance: true})
	case event.attempt != nil:
		c.handleAttemptTimeout(event.attempt)
	default:
		c.notifyModule(brain.Alarm{Token: event.token})
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) log(level slog.Level, text string, args ...any) { c.emit(Log{level, text, args}) }

// runMaintenance does what is due now and then: quiet links, callers without a word, what is remembered,
// the way out.
func (c *Core) runMaintenance() {
	for _, peer := range c.peers {
		c.maintainLinks(peer)
	}
	c.peers = withoutRemoved(c.peers)
	c.closeIdleConns()
	c.logState()
	n := 0
	for n < len(c.recentIDs) && (c.now-c.recentEndings[c.recentIDs[n]].endedAt > endingRetention || len(c.recentIDs)-n > maxRecentEndings) {
		delete(c.recentEndings, c.recentIDs[n])
		n++
	}
	if c.recentIDs = c.recentIDs[n:]; len(c.recentIDs) == 0 {
		c.recentIDs = nil
	}
	if c.shuttingDown && !c.shutdownDone && c.now-c.shutdownAt >= shutdownAcceptPeriod {
		c.advanceShutdown()
	}
}

// advanceShutdown sees the controller out (graceful shutdown): once no calls are taken any more it stays for
// those that are open or stand, since who else would tell their callers that they are over; at the
// end of its grace what is still open gets its answer.
func (c *Core) advanceShutdown() {
	if !c.listenerClosed {
		c.listenerClosed = true
		c.emit(CloseListener{})
	}
	last := c.now-c.shutdownAt >= c.shutdownGrace
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		if call := c.calls[id]; last && call != nil && !call.established {
			c.answerAtShutdown(call)
		}
	}
	for _, conn := range c.connsByAge {
		if conn.pending == 0 && conn.established == 0 {
			c.closeConn(conn, "leaving")
		}
	}
	if last || len(c.calls) == 0 {
		c.shutdownDone = true
		c.emit(ShutdownComplete{})
	}
}

// answerAtShutdown answers a set-up that can't be waited for: failed, or refused if it was never sent on.
func (c *Core) answerAtShutdown(call *activeCall) {
	c.notifyModule(brain.CallGone{ID: call.callID})
	if call.attempts > 0 {
		c.Stats.Failed++
		c.sendFinalAnswer(call, newRelease(call.id, isup.TemporaryFailure))
		return
	}
	c.Stats.Refused++
	c.sendFinalAnswer(call, newCongestionRelease(call.id, 0))
}

// recordEnding keeps the end of a call.
func (c *Core) recordEnding(id uint64, ending callEnding) {
	if _, there := c.recentEndings[id]; !there {
		c.recentIDs = append(c.recentIDs, id)
	}
	ending.endedAt = c.now
	c.recentEndings[id] = ending
}
