// Package interwork implements the core of a controller on the platform: ISUP-SIP interworking between
// callers, who send binary messages, and exchanges, which are reached over SIP. The core passes events
// to the routing module and carries out its actions; it takes no routing decision of its own. It has no
// socket, goroutine, file or clock: Core.Handle takes an input and the current time and returns effects.
package interwork

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/policy"
	"dahliaspindle/internal/timerwheel"
	"dahliaspindle/routing"
)

type (
	// ConnID identifies a connection of a caller. It is never reused.
	ConnID uint64
	// LinkID identifies a connection to an exchange. It is never reused.
	LinkID uint64
)

// Config configures a Core.
type Config struct {
	Module              policy.Module
	Settings            routing.Settings
	ConnectTimeout      time.Duration // limit for establishing a connection to an exchange
	EpochUnixNano       int64         // Unix time in nanoseconds at time 0 of the clock
	MaxLinks            int           // connections to exchanges
	ExchangeIdleTimeout time.Duration // idle time after which exchanges close a connection, 0 for never
	MaxConns            int           // connections of callers, 0 for no limit
	MaxPendingPerConn   int           // pending set-ups on one connection of a caller
	MaxPending          int           // pending set-ups from which on each connection may only have its share
	MaxPendingBytes     int           // length of their descriptions from which on the same holds
	LogAllVerdicts      bool          // log every verdict, not only those that the module marks
	MaxCalls            int           // pending and established calls
	MaxAdopted          int           // established calls taken over
}

// Times and limits of the connections, the records of ended calls and the shutdown. They do not
// apply to calls that the module is routing.
const (
	stateLogInterval     = time.Second
	maintenanceInterval  = 50 * time.Millisecond
	firstMessageTimeout  = 2500 * time.Millisecond // closes a caller's connection without any message
	idleTimeout          = 12 * time.Second        // closes a caller's connection without calls, or a surplus link
	pingDelayPending     = 250 * time.Millisecond  // quiet time before a link with attempts in flight is pinged
	pingDelayEstablished = time.Second             // the same for a link to an exchange with established calls only
	pingTimeout          = 600 * time.Millisecond  // closes a link whose ping is not answered
	unresponsiveTimeout  = 4 * time.Second         // ends the calls at an exchange that answers nothing
	lostReleaseTimeout   = 500 * time.Millisecond  // ends the calls that no circuit is in use for, if no release comes
	refusingTimeout      = 600 * time.Millisecond  // ends the calls at an exchange that refuses connections
	endingRetention      = 20 * time.Second        // ended calls are remembered
	adoptedHoldingTimes  = 10                      // mean holding times of its class after which an adopted call is ended
	maxRecentEndings     = 1 << 14
	shutdownAcceptPeriod = 750 * time.Millisecond // calls are still accepted after Shutdown
	shutdownMargin       = 300 * time.Millisecond // shutdown completes this long before the platform kills the process
	setUpsPerLink        = 4                      // attempts in flight on one link before another link is dialed
	exclusiveLinkPeriod  = 10 * time.Second       // no shared links after one was lost with attempts in flight
	maxLinksToPeer       = 12
	reopenInterval       = 4 * time.Second        // half of the time within which callers have to learn of a release
	maxIdleCloseMargin   = time.Second            // idle links are closed up to this long before the exchange would
	minConnectRetry      = 100 * time.Millisecond // between attempts to connect to an exchange
	maxConnectRetry      = time.Second
)

// The platform sends SIGKILL after SIGTERM once the longest patience of callers, but at most
// maxKillPatience, and killExtraTime have passed.
const (
	maxKillPatience = 3 * time.Second
	killExtraTime   = 700 * time.Millisecond
)

// Stats counts what the core did. Its field names are written to the log.
//
// Calls counts the set-ups passed to the module, Again those marked as retries, Invalid the invalid messages
// of callers. Gone counts the calls that callers abandoned, Adopted the established calls taken over,
// Forgotten the calls ended because their exchange was gone. Resets counts the attempts lost with their
// link, Cut those that an exchange reported as reset. Late counts the answers that match no attempt in
// flight, Stray the messages that are unexpected or belong to no known call. Tests counts the pings sent,
// TestsLost those not answered in time.
type Stats struct {
	Calls, Answered, Refused, Failed, Gone, Invalid, Again, Adopted    int
	Attempts, Resets, TimedOut, NoConnect, Late, Stray, Cut, Forgotten int
	Tests, TestsLost, ConnsShut                                        int
	Unsaid, ByesShed                                                   int // undeliverable releases to callers, dropped BYEs
	AdoptionsShed                                                      int // established calls that were not taken over
}

// timerEvent tells what a timer was set for: maintenance, the deadline of an attempt, the longest time of an
// adopted call or, without any of these, a wake-up of the module with the given token.
type timerEvent struct {
	attempt     *callAttempt
	adopted     *activeCall
	token       uint64
	maintenance bool
}

// logState logs the state of the core once per stateLogInterval, for comparison with the traffic.
func (c *Core) logState() {
	if c.now < c.nextStateLogAt {
		return
	}
	c.nextStateLogAt = c.now + stateLogInterval
	c.log(slog.LevelDebug, "state", "open", c.pending, "calls", len(c.calls), "tries", len(c.attempts), "timers", c.timers.Len(),
		"callers", len(c.conns), "recent", len(c.recentEndings), "stats", c.Stats)
	for _, peer := range c.peers {
		upCount, inFlight := 0, 0
		for _, link := range peer.links {
			if link.up {
				upCount++
			}
			inFlight += len(link.pending)
		}
		c.log(slog.LevelDebug, "exchange", "name", peer.Name, "cell", peer.Number, "state", peer.State,
			"free", peer.lastReport.FreeCircuits, "size", peer.lastReport.GroupSize, "links", len(peer.links), "up", upCount, "out", inFlight,
			"waiting", len(peer.waiting), "standing", len(peer.calls), "fails", peer.connectFailures, "silent", c.silence(peer))
	}
}

// Core is the state of one controller. It is not safe for concurrent use.
type Core struct {
	cfg           Config
	classIndexes  map[string]int // by class name
	maxWidth      int            // of all classes, in circuits
	shutdownGrace time.Duration  // from Shutdown to the latest ShutdownComplete
	now           time.Duration
	timers        *timerwheel.Wheel[timerEvent]
	effects       []Effect
	module        policy.Dispatcher
	random        *rand.Rand // jitter of the intervals between connection attempts
	retry         guard.Backoff

	conns            map[ConnID]*callerConn
	connsByAge       []*callerConn // oldest first; closed ones are removed by maintenance
	calls            map[uint64]*activeCall
	pending          int                     // calls without a final answer
	adopted          int                     // established calls taken over
	pendingBytes     int                     // of the descriptions of those calls
	connsWithPending int                     // connections of callers that have any
	attempts         map[uint64]*callAttempt // in flight or waiting for a link, by call

	peers         []*peerExchange // in ascending order of their ids
	listedNumbers map[int]bool    // exchange numbers that were ever listed
	peersByName   map[string]*peerExchange
	peersByID     map[uint32]*peerExchange
	lastPeerID    uint32
	links         map[LinkID]*peerLink
	closingLinks  map[LinkID]*peerExchange // closed while idle; releases may still arrive
	lastLinkID    LinkID

	recentEndings map[uint64]callEnding
	recentIDs     []uint64 // oldest first

	shuttingDown                 bool
	shutdownAt                   time.Duration
	listenerClosed, shutdownDone bool
	nextStateLogAt               time.Duration
	Stats                        Stats
}

// callEnding records how a call ended recently, or where an attempt of it was withdrawn.
type callEnding struct {
	endedAt       time.Duration
	cause         byte
	withdrawnPeer *peerExchange // exchange whose withdrawn set-up may still be answered
	withdrawnLink *peerLink     // link on which that set-up was sent
}

// New returns a core that knows no exchange and no connection.
func New(cfg Config, now time.Duration) *Core {
	c := &Core{
		cfg:           cfg,
		module:        policy.Dispatcher{Module: cfg.Module},
		classIndexes:  map[string]int{},
		now:           now,
		timers:        timerwheel.New[timerEvent](now),
		conns:         map[ConnID]*callerConn{},
		calls:         map[uint64]*activeCall{},
		attempts:      map[uint64]*callAttempt{},
		peersByName:   map[string]*peerExchange{},
		listedNumbers: map[int]bool{},
		peersByID:     map[uint32]*peerExchange{},
		links:         map[LinkID]*peerLink{},
		closingLinks:  map[LinkID]*peerExchange{},
		recentEndings: map[uint64]callEnding{},
		random:        rand.New(rand.NewPCG(cfg.Settings.Seed, 0x1e7)),
	}
	c.retry = guard.Backoff{Min: minConnectRetry, Max: maxConnectRetry, Random: c.random}
	for i, class := range cfg.Settings.Classes {
		c.classIndexes[class.Name] = i
		c.maxWidth = max(c.maxWidth, class.Width)
		c.shutdownGrace = max(c.shutdownGrace, class.GiveUp)
	}
	c.shutdownGrace = min(c.shutdownGrace, maxKillPatience) + killExtraTime - shutdownMargin
	c.timers.Set(now+maintenanceInterval, timerEvent{maintenance: true})
	return c
}

// NextTick returns the time at which the core needs its next Tick.
func (c *Core) NextTick() time.Duration {
	next, _ := c.timers.Next() // the maintenance timer is always set
	return next
}

// Handle processes the timers that are due and then one input. It returns the effects to carry out.
func (c *Core) Handle(now time.Duration, in Input) []Effect {
	c.now, c.effects = max(now, c.now), nil
	c.timers.Advance(c.now, c.handleTimer)
	switch in := in.(type) {
	case CallerConnected:
		c.handleCallerConnected(in.Conn)
	case CallerMessage:
		c.handleCallerMessage(in)
	case SetUpShed:
		c.noteCallerActive(in.Conn)
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

// handleTimer handles an expired timer.
func (c *Core) handleTimer(event timerEvent) {
	switch {
	case event.maintenance:
		c.runMaintenance()
		c.timers.Set(c.now+maintenanceInterval, timerEvent{maintenance: true})
	case event.attempt != nil:
		c.handleAttemptTimeout(event.attempt)
	case event.adopted != nil:
		c.endAdoptedCall(event.adopted)
	default:
		c.notifyModule(routing.TimerExpired{Token: event.token})
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) log(level slog.Level, message string, args ...any) {
	c.emit(Log{level, message, args})
}

// runMaintenance checks the links, closes idle connections, forgets old call endings and advances a
// shutdown.
func (c *Core) runMaintenance() {
	for _, peer := range c.peers {
		c.maintainLinks(peer)
	}
	c.peers = withoutRemoved(c.peers)
	c.closeIdleConns()
	c.logState()
	expired := 0
	for expired < len(c.recentIDs) && (c.now-c.recentEndings[c.recentIDs[expired]].endedAt > endingRetention ||
		len(c.recentIDs)-expired > maxRecentEndings) {
		delete(c.recentEndings, c.recentIDs[expired])
		expired++
	}
	if c.recentIDs = c.recentIDs[expired:]; len(c.recentIDs) == 0 {
		c.recentIDs = nil
	}
	if c.shuttingDown && !c.shutdownDone && c.now-c.shutdownAt >= shutdownAcceptPeriod {
		c.advanceShutdown()
	}
}

// recordEnding remembers the ending of a call.
func (c *Core) recordEnding(id uint64, ending callEnding) {
	if _, found := c.recentEndings[id]; !found {
		c.recentIDs = append(c.recentIDs, id)
	}
	ending.endedAt = c.now
	c.recentEndings[id] = ending
}
