// Package controller is the core of one exchange's call control. It takes
// commands of peers as inputs, returns commands to peers as effects, and is
// handed the time with every input. It owns calls, attempts and timers and
// carries out the decisions of the routing module (package routing); it selects
// no route and admits, delays and refuses no call itself. It has no socket,
// goroutine, file or clock of its own, so that hundreds of controllers can run
// in virtual time.
//
// Files: controller.go holds inputs, effects and dispatch; caller.go the calls
// towards their callers; attempt.go the attempts at exchanges; peers.go links,
// the exchange list and circuits; module.go the mapping to the events and
// actions of the routing module; flows.go the flow records.
package controller

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/policy"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/timerwheel"
	"dahliaspindle/routing"
)

// Role is the kind of a peer.
type Role uint8

const (
	// RoleCaller is a connection that brings calls: of subscribers, or of the
	// own exchange with calls in transit.
	RoleCaller Role = iota
	// RoleExchange is the permanent link to an exchange.
	RoleExchange
	// RoleExchangeList is the permanent link to the exchange list.
	RoleExchangeList
)

var roleNames = [...]string{"caller", "exchange", "list"}

// String returns the name of the role, as logs and captures write it.
func (r Role) String() string { return roleNames[r] }

// Peer identifies a connection. A caller's ID is assigned by the owner of the
// connections, an exchange's ID is the one in the exchange list.
type Peer struct {
	Role Role
	ID   uint64
}

// Input is one thing that happened outside the core.
type Input struct {
	Kind        InputKind
	Peer        Peer
	Message     *signal.Message    // with InputMessage and InputUnsent
	SyntaxError signal.SyntaxError // with InputMalformed
	Count       int                // with InputShed
}

// InputKind is the kind of an Input.
type InputKind uint8

const (
	// InputMessage reports that Message came from Peer.
	InputMessage InputKind = iota
	// InputConnected reports that the connection with Peer is established.
	InputConnected
	// InputDisconnected reports that the connection with Peer is closed. What
	// had not been sent on it was reported before, as InputUnsent.
	InputDisconnected
	// InputUnsent reports that Message, a set-up or a release that recalled one,
	// was not sent and will not be.
	InputUnsent
	// InputMalformed reports that Peer sent a message that can't be parsed.
	InputMalformed
	// InputShed reports that Count new calls were rejected before they reached the core.
	InputShed
	// InputTimer reports only that time has passed.
	InputTimer
	// InputShutdown stops the acceptance of calls. EffectStopped follows when
	// all calls have ended.
	InputShutdown
)

// Effect is one action that the core asks its owner to carry out.
type Effect struct {
	Kind     EffectKind
	Peer     Peer
	Message  *signal.Message // with EffectSend
	Deadline time.Duration   // with EffectSend of a set-up: not to be sent later than this
	// RecallID comes with EffectSend of a release. It is the transaction of the
	// set-up: if that has not been sent yet, it is recalled, and the release is
	// returned as InputUnsent instead of being sent.
	RecallID uint32
	Address  string          // with EffectConnect
	Text     string          // with EffectClose: the reason; with EffectLog: the message
	Level    slog.Level      // with EffectLog
	Call     string          // with EffectSend of a set-up, EffectLog and EffectVerdict: the call's name
	Verdict  routing.Verdict // with EffectVerdict
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

const (
	// EffectSend sends Message to Peer.
	EffectSend EffectKind = iota
	// EffectConnect keeps a link to Peer at Address from now on.
	EffectConnect
	// EffectDisconnect closes the link to Peer for good.
	EffectDisconnect
	// EffectClose closes the current connection with Peer. A permanent link is
	// connected again.
	EffectClose
	// EffectBlock stops set-ups to Peer, also those that are queued: they are
	// returned as InputUnsent.
	EffectBlock
	// EffectUnblock lifts EffectBlock.
	EffectUnblock
	// EffectVerdict stores the routing module's verdict on a call with the call's record.
	EffectVerdict
	// EffectLog writes one log line.
	EffectLog
	// EffectStopped reports that all calls have ended after InputShutdown.
	EffectStopped
)

// Config is the configuration of a controller.
type Config struct {
	// Module makes the decisions: the routing module (package routing), or one of
	// the simple rules that it is compared with.
	Module              policy.Module
	Classes             []routing.Class
	ExchangeNumber      int           // number of the own exchange
	ControllerNumber    int           // number of this controller
	MaxCalls            int           // pending and established calls together
	MaxPendingPerCaller int           // unanswered transactions of one caller's connection
	MaxExchanges        int           // entries of one exchange list update
	LinkTimeout         time.Duration // how long a set-up waits for a link that is down
	ShutdownGrace       time.Duration // how long established calls may last after InputShutdown
	Liveness            guard.Liveness
	ReleaseRetry        guard.ReleaseRetry
	FaultLimit          guard.FaultLimiter
	FlowSink            flow.Sink      // receives a record of each call and attempt; may be nil
	InterimInterval     time.Duration  // between interim records of an established call; 0 disables them
	TrafficMeter        *measure.Meter // measures the traffic offered by own callers; may be nil
}

// Stats holds the counters of a controller. Pending, Established and
// HeldAttempts are current numbers; all others only grow.
type Stats struct {
	// Pending calls have no final answer yet, Established calls are in progress,
	// HeldAttempts may still hold circuits at an exchange.
	Pending, Established, HeldAttempts int
	// AddsReceived counts the Adds of callers, AddsRejected those of them that
	// were not accepted as calls, Shed those rejected before they reached the core.
	AddsReceived, AddsRejected, Shed int
	// Accepted counts the calls; Answered, Refused, Failed and Abandoned (by the
	// caller) are their final outcomes.
	Accepted, Answered, Refused, Failed, Abandoned int
	// Ended and Cut count answered calls that were ended by a party or cut by a
	// failure. Calls that the shutdown ends are in neither.
	Ended, Cut int
	// Attempts counts the set-ups at exchanges; the others count the ways in which they failed.
	Attempts, TimedOut, Reset, NoLink, Cancelled int
	// LateReplies match no transaction, Malformed messages can't be parsed,
	// DuplicateIDs are transaction IDs that were used before. Releases counts
	// releases at exchanges, ReleaseRetries their repetitions.
	LateReplies, Malformed, DuplicateIDs, Releases, ReleaseRetries int
}

// Controller is the core of one exchange's call control. It is not safe for
// concurrent use.
type Controller struct {
	config       Config
	now          time.Duration
	classIndex   map[string]int
	timers       *timerwheel.Wheel[timer]
	callers      map[uint64]*callerConn
	calls        map[string]*call // by context, as the routing module names them
	links        map[uint64]*exchangeLink
	listLink     linkState
	exchangeIDs  map[int]uint64 // ID of the exchange that serves a number
	groupReports map[int]routing.GroupStatus
	lastContext  uint32
	shuttingDown bool
	stopped      bool
	dispatcher   policy.Dispatcher
	newlyDelayed []*call // calls that the routing module delayed during the current event
	effects      []Effect
	stats        Stats
	counts       flow.Counts
	record       flow.Record // the record under construction
	lastRecord   uint64
}

// New returns a controller that starts at the given time. The first effects are
// returned for the first input.
func New(now time.Duration, cfg Config) *Controller {
	c := &Controller{
		config:       cfg,
		dispatcher:   policy.Dispatcher{Module: cfg.Module},
		now:          now,
		classIndex:   map[string]int{},
		timers:       timerwheel.New[timer](now),
		callers:      map[uint64]*callerConn{},
		calls:        map[string]*call{},
		links:        map[uint64]*exchangeLink{},
		exchangeIDs:  map[int]uint64{},
		groupReports: map[int]routing.GroupStatus{},
	}
	for i, class := range cfg.Classes {
		c.classIndex[class.Name] = i
	}
	return c
}

// Stats returns the counters.
func (c *Controller) Stats() Stats { return c.stats }

// Counts returns how many calls and attempts have ended, by kind, class and
// outcome. It equals the sum of the records passed to the flow sink.
func (c *Controller) Counts() *flow.Counts { return &c.counts }

// NextDeadline returns the time by which the next input is needed, an
// InputTimer if there is no other; false if no timer is set.
func (c *Controller) NextDeadline() (time.Duration, bool) { return c.timers.Next() }

// Handle processes one input and returns the effects to carry out. The slice is
// valid until the next call.
func (c *Controller) Handle(now time.Duration, input Input) []Effect {
	c.now = max(now, c.now)
	clear(c.effects)
	c.effects = c.effects[:0]
	c.timers.Advance(c.now, c.timerExpired)
	switch input.Kind {
	case InputMessage:
		c.handleMessage(input.Peer, input.Message)
	case InputConnected:
		c.linkConnected(input.Peer)
	case InputDisconnected:
		c.linkDisconnected(input.Peer)
	case InputUnsent:
		c.handleUnsent(input.Peer, input.Message)
	case InputMalformed:
		c.handleMalformed(input.Peer, input.SyntaxError)
	case InputShed:
		c.stats.Shed += input.Count
		c.log(slog.LevelWarn, "", "new calls rejected before they reached the core: the controller is overloaded")
	case InputShutdown:
		c.shutDown()
	}
	if c.shuttingDown && !c.stopped && c.stats.Pending == 0 && len(c.calls) == 0 && c.stats.HeldAttempts == 0 {
		c.stopped = true
		c.effects = append(c.effects, Effect{Kind: EffectStopped})
	}
	return c.effects
}

func (c *Controller) sendMessage(peer Peer, msg *signal.Message) {
	c.effects = append(c.effects, Effect{Kind: EffectSend, Peer: peer, Message: msg})
}

func (c *Controller) log(level slog.Level, call, text string) {
	c.effects = append(c.effects, Effect{Kind: EffectLog, Level: level, Call: call, Text: text})
}

// timer is the purpose of a timer. It is set for exactly one purpose; token and
// connection qualify module and link.
type timer struct {
	token          uint64     // the routing module's token, with module
	module         bool       // set by the routing module
	attempt        *attempt   // end of its set-up time, of its wait for a link, or of its wait for a release
	link           *linkState // check the liveness of the peer
	connection     int        // with link: the connection that is checked
	endEstablished bool       // end the established calls during shutdown
	reportPending  bool       // log what delays the shutdown
	interimCall    *call      // write an interim record of the call
}

func (c *Controller) timerExpired(expired timer) {
	switch {
	case expired.module:
		c.notifyModule(routing.TimerExpired{Token: expired.token})
	case expired.attempt != nil:
		c.attemptTimerExpired(expired.attempt)
	case expired.link != nil && expired.connection == expired.link.connectionCount:
		c.checkLiveness(expired.link)
	case expired.interimCall != nil:
		c.recordInterim(expired.interimCall)
	case expired.endEstablished:
		c.endEstablishedCalls()
	case expired.reportPending && !c.stopped:
		c.log(slog.LevelWarn, "", "shutdown is waiting for calls: "+c.pendingWork())
		c.timers.Set(c.now+pendingReportInterval, timer{reportPending: true})
	}
}

// handleMessage passes a message on by the role of its sender.
func (c *Controller) handleMessage(peer Peer, msg *signal.Message) {
	switch peer.Role {
	case RoleCaller:
		c.handleCallerMessage(c.callerFor(peer.ID), msg)
	case RoleExchange:
		if link := c.links[peer.ID]; link != nil {
			link.state.lastHeard = c.now
			c.handleExchangeMessage(link, msg)
		}
	case RoleExchangeList:
		c.listLink.lastHeard = c.now
		c.handleListMessage(msg)
	}
}

// handleMalformed replies to a message that can't be parsed. It closes the
// connection of a peer that exceeds its budget of such messages.
func (c *Controller) handleMalformed(peer Peer, syntaxError signal.SyntaxError) {
	c.stats.Malformed++
	faults := &c.listLink.faults
	switch peer.Role {
	case RoleCaller:
		faults = &c.callerFor(peer.ID).faults
	case RoleExchange:
		link := c.links[peer.ID]
		if link == nil {
			return
		}
		faults = &link.state.faults
	}
	if !faults.Allow(c.now) {
		c.effects = append(c.effects, Effect{Kind: EffectClose, Peer: peer, Text: "too many messages that can't be read"})
		return
	}
	msg := &signal.Message{Kind: signal.ErrorMessage, Code: syntaxError.Code, Text: syntaxError.Reason}
	if syntaxError.ID != 0 && peer.Role == RoleCaller && !c.callerFor(peer.ID).isPending(syntaxError.ID) {
		msg = &signal.Message{
			Kind:        signal.Reply,
			ID:          syntaxError.ID,
			Command:     signal.Add,
			Termination: signal.Root,
			Code:        syntaxError.Code,
			Text:        syntaxError.Reason,
		}
		c.callerFor(peer.ID).lastReceived = max(c.callerFor(peer.ID).lastReceived, syntaxError.ID)
	}
	c.sendMessage(peer, msg)
}

// shutDown stops the acceptance of calls, announces it to all callers and sets
// the time by which established calls are ended.
func (c *Controller) shutDown() {
	if c.shuttingDown {
		return
	}
	c.shuttingDown = true
	for _, id := range sortedKeys(c.callers) {
		c.sendMessage(Peer{RoleCaller, id}, &signal.Message{
			ID:          c.callers[id].nextTransaction(),
			Command:     signal.ServiceChange,
			Termination: signal.Root,
			Descriptors: []signal.Field{{Name: "Method", Value: "graceful"}},
		})
	}
	c.timers.Set(c.now+c.config.ShutdownGrace, timer{endEstablished: true})
	c.timers.Set(c.now+c.config.ShutdownGrace+pendingReportInterval, timer{reportPending: true})
}

// endRetryInterval is the interval at which established calls are ended once
// the shutdown grace is over: a pending call may still become established.
const endRetryInterval = 200 * time.Millisecond

// pendingReportInterval is how long after the shutdown grace, and how often,
// calls that are still present are logged.
const pendingReportInterval = 4 * time.Second

// pendingWork describes what delays the shutdown: the current numbers and the
// first three calls.
func (c *Controller) pendingWork() string {
	text := fmt.Sprintf("%d pending, %d established, %d calls in total, %d attempts held", c.stats.Pending, c.stats.Established, len(c.calls), c.stats.HeldAttempts)
	for i, id := range sortedKeys(c.calls) {
		if call := c.calls[id]; i < 3 {
			text += fmt.Sprintf("; call %s in state %d", call.name, call.state)
			if call.attempt != nil {
				text += fmt.Sprintf(" with attempt %d in stage %d at exchange %d", call.attempt.number, call.attempt.stage, call.attempt.exchangeID)
			}
		}
	}
	return text
}

// endEstablishedCalls ends all established calls and schedules the next round.
func (c *Controller) endEstablishedCalls() {
	for _, id := range sortedKeys(c.calls) {
		if call := c.calls[id]; call.state == stateEstablished {
			c.notifyCaller(call, "cut")
			c.recordCallEnd(call, flow.CallCut)
			c.releaseCall(call, routing.OutcomeReset)
		}
	}
	c.timers.Set(c.now+endRetryInterval, timer{endEstablished: true})
}

// sortedKeys returns the keys of a map in order, so that the effects do not
// depend on map iteration order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
