package controller

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/signal"
	"dahliaspindle/routing"
)

// callerConn is one connection that brings calls.
type callerConn struct {
	peer         Peer
	lastReceived uint32           // highest transaction ID received; IDs increase
	pending      map[uint32]*call // unanswered Adds by transaction
	calls        map[string]*call // pending and established calls by name
	lastSent     uint32           // last transaction ID sent
	faults       guard.FaultLimiter
}

// isPending reports whether a transaction is an unanswered Add.
func (caller *callerConn) isPending(id uint32) bool { return caller.pending[id] != nil }

// nextTransaction returns the ID for the next transaction towards the caller.
func (caller *callerConn) nextTransaction() uint32 {
	caller.lastSent++
	return caller.lastSent
}

// callerFor returns the state of a caller's connection, which it creates if needed.
func (c *Controller) callerFor(id uint64) *callerConn {
	caller := c.callers[id]
	if caller == nil {
		caller = &callerConn{
			peer:    Peer{RoleCaller, id},
			pending: map[uint32]*call{},
			calls:   map[string]*call{},
			faults:  c.config.FaultLimit,
		}
		c.callers[id] = caller
	}
	return caller
}

// callState is the state of a call towards its caller.
type callState uint8

const (
	statePending     callState = iota // accepted, no final answer yet
	stateEstablished                  // answered and in progress
	stateEnded                        // over; an attempt may still hold circuits
)

// call is one accepted call.
type call struct {
	name           string // the caller's name for it
	id             string // the context as text, the routing module's name for it
	context        uint32
	caller         *callerConn // nil once the connection is closed
	transaction    uint32      // of the Add
	class          int
	circuits       int
	destination    int
	number         string // as the caller sent it; may be empty
	transit        bool
	again          bool
	state          callState
	deadline       time.Duration // when the caller's waiting time ends
	acceptedAt     time.Duration
	attempt        *attempt // the one in flight, or the one that the call is established on
	attempts       int
	pendingSent    bool // a Pending was sent: the call is delayed
	tandemAttempts int
	repeat         bool
	calledNumber   uint64          // number, as the flow record holds it
	sourceExchange int             // number of the exchange where the call originates
	establishedAt  time.Duration   // 0 before
	verdict        routing.Verdict // the routing module's last one
	verdictText    string          // verdict as text
	failureNote    string          // of the last attempt; reported to the source of a call in transit
}

// handleCallerMessage handles a message of a caller.
func (c *Controller) handleCallerMessage(caller *callerConn, msg *signal.Message) {
	switch msg.Kind {
	case signal.Reply, signal.Pending, signal.ErrorMessage:
		return // replies to notifications; nothing waits for them
	}
	if msg.ID <= caller.lastReceived { // IDs increase on a connection: this one was used before
		c.stats.DuplicateIDs++
		if caller.isPending(msg.ID) {
			c.sendMessage(caller.peer, &signal.Message{Kind: signal.Pending, ID: msg.ID})
			return
		}
		c.sendMessage(caller.peer, &signal.Message{Kind: signal.ErrorMessage, Code: signal.BadIdentifier,
			Text: fmt.Sprintf("transaction %d was used before", msg.ID)})
		return
	}
	caller.lastReceived = msg.ID
	switch msg.Command {
	case signal.Add:
		c.stats.AddsReceived++
		if refusal := c.acceptCall(caller, msg); refusal != nil {
			c.stats.AddsRejected++
			c.sendMessage(caller.peer, refusal.Put("Taken", "no"))
		}
	case signal.Subtract:
		c.handleSubtract(caller, msg)
	case signal.AuditValue:
		c.sendMessage(caller.peer, c.auditReply(msg))
	case signal.ServiceChange:
		c.sendMessage(caller.peer, msg.NewReply())
	default:
		c.sendMessage(caller.peer, msg.NewErrorReply(signal.UnknownCommand, "not a command for a controller"))
	}
}

// acceptCall parses an Add and passes the call to the routing module. It returns
// the reply to an Add that is not accepted, else nil.
func (c *Controller) acceptCall(caller *callerConn, msg *signal.Message) *signal.Message {
	switch {
	case c.shuttingDown:
		return msg.NewErrorReply(signal.NotReady, "going out of service")
	case caller.calls[msg.Termination] != nil:
		return msg.NewErrorReply(signal.TerminationInContext, "the call is there already")
	case len(caller.pending) >= c.config.MaxPendingPerCaller:
		return msg.NewErrorReply(signal.TooManyPending, fmt.Sprintf("%d transactions are open", len(caller.pending)))
	case len(c.calls) >= c.config.MaxCalls:
		return msg.NewErrorReply(signal.InsufficientResources, fmt.Sprintf("%d calls are held", len(c.calls)))
	}
	call, event, err := c.parseCall(msg)
	if errors.Is(err, signal.ErrMissingDescriptor) {
		return msg.NewErrorReply(signal.MissingDescriptor, err.Error())
	} else if err != nil {
		return msg.NewErrorReply(signal.BadValue, err.Error())
	}
	for c.lastContext++; c.lastContext == 0 || c.lastContext >= signal.ContextChoose || c.calls[contextID(c.lastContext)] != nil; c.lastContext++ {
	}
	call.context, call.id = c.lastContext, contextID(c.lastContext)
	call.name, call.caller, call.transaction, call.acceptedAt = msg.Termination, caller, msg.ID, c.now
	call.deadline = c.now + event.Remaining
	event.ID = call.id
	caller.pending[msg.ID], caller.calls[msg.Termination], c.calls[call.id] = call, call, call
	c.stats.Accepted++
	c.stats.Pending++
	c.notifyModule(event)
	return nil
}

// contextID returns the routing module's name for the call with a context.
func contextID(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

// Upper limits of received values.
const (
	maxCircuitsPerCall = 1024
	maxExchangeNumber  = 1 << 20
)

// parseCall reads an Add.
func (c *Controller) parseCall(msg *signal.Message) (*call, routing.Call, error) {
	call, event := &call{number: msg.Get("Number")}, routing.Call{Via: -1}
	class, ok := c.classIndex[msg.Get("Class")]
	if !ok {
		return nil, event, fmt.Errorf("descriptor Class: %.40q is not one of this network's", msg.Get("Class"))
	}
	call.class, event.Class = class, class
	var err error
	if event.Remaining, err = msg.Duration("Left"); err != nil {
		return nil, event, err
	}
	if event.Destination, err = msg.Int("Dest", 0, maxExchangeNumber); err != nil {
		return nil, event, err
	}
	if event.Width, err = msg.IntOrDefault("Width", 1, maxCircuitsPerCall, c.config.Classes[class].Width); err != nil {
		return nil, event, err
	}
	if call.number != "" {
		if event.CalledNumber, err = strconv.ParseUint(call.number, 10, 53); err != nil {
			return nil, event, fmt.Errorf("descriptor Number: %.40q is not a number below 2^53", call.number)
		}
		event.HasCalledNumber = true
	}
	name := "Advice" // the tandem with the most free circuits; for a call in transit, the exchange where it originates
	if event.Transit = msg.Get("Source") != ""; event.Transit {
		name = "Source"
	}
	if event.Via, err = msg.IntOrDefault(name, 0, maxExchangeNumber, -1); err != nil {
		return nil, event, err
	}
	event.Repeat, event.Reconnect = msg.Flag("Repeat"), msg.Flag("Again")
	call.circuits, call.destination, call.transit, call.again = event.Width, event.Destination, event.Transit, event.Reconnect
	call.calledNumber, call.repeat, call.sourceExchange = event.CalledNumber, event.Repeat || event.Reconnect, c.config.ExchangeNumber
	if event.Transit {
		call.sourceExchange = event.Via
	}
	return call, event, nil
}

// handleSubtract handles a release by the caller, before the answer or of an established call.
func (c *Controller) handleSubtract(caller *callerConn, msg *signal.Message) {
	call := caller.calls[msg.Termination]
	if call == nil {
		c.sendMessage(caller.peer, msg.NewErrorReply(signal.UnknownTermination, "no such call"))
		return
	}
	reply := msg.NewReply()
	reply.Context = call.context
	c.sendMessage(caller.peer, reply)
	c.endByCaller(call)
}

// endByCaller ends calls that their caller has released. All pending ones are marked as ended before the routing
// module is notified of the first, because the module may then act on any other call.
func (c *Controller) endByCaller(calls ...*call) {
	var abandoned []*call
	for _, call := range calls {
		switch call.state {
		case statePending:
			c.stats.Abandoned++
			call.state = stateEnded
			c.recordCallEnd(call, flow.CallAbandoned)
			abandoned = append(abandoned, call)
		case stateEstablished:
			c.stats.Ended++
			c.recordCallEnd(call, flow.CallEnded)
			c.releaseCall(call, routing.OutcomeCompleted)
		}
	}
	for _, call := range abandoned {
		c.notifyModule(routing.CallAbandoned{CallID: call.id}) // cancels the attempt in flight before the final reply
		c.sendFinalReply(call, &signal.Message{Code: signal.DoesNotExist, Text: "the caller left"})
		if call.attempt == nil || call.attempt.stage == stageReleased {
			c.removeCall(call)
		}
	}
}

// sendFinalReply sends the one final reply to a call's Add, if its caller is still connected.
func (c *Controller) sendFinalReply(call *call, reply *signal.Message) {
	call.state = stateEnded
	c.stats.Pending--
	if call.caller == nil {
		return
	}
	reply.Kind, reply.ID, reply.Context, reply.Command, reply.Termination = signal.Reply, call.transaction, call.context, signal.Add, call.name
	c.sendMessage(call.caller.peer, reply)
	delete(call.caller.pending, call.transaction)
	if reply.Code != 0 {
		delete(call.caller.calls, call.name)
	}
}

// notifyCaller notifies a caller that an established call has ended or was cut.
func (c *Controller) notifyCaller(call *call, event string) {
	if call.caller == nil {
		return
	}
	c.sendMessage(call.caller.peer, &signal.Message{
		ID:          call.caller.nextTransaction(),
		Context:     call.context,
		Command:     signal.Notify,
		Termination: call.name,
		Descriptors: []signal.Field{{Name: "Event", Value: event}},
	})
}

// callerDisconnected ends all calls of a caller whose connection is closed.
func (c *Controller) callerDisconnected(id uint64) {
	caller := c.callers[id]
	if caller == nil {
		return
	}
	delete(c.callers, id)
	lost := make([]*call, 0, len(caller.calls))
	for _, name := range sortedKeys(caller.calls) {
		lost = append(lost, caller.calls[name])
	}
	for _, call := range lost {
		call.caller = nil
	}
	c.endByCaller(lost...)
	if len(lost) > 0 {
		c.log(slog.LevelInfo, "", fmt.Sprintf("caller connection %d closed with %d calls", id, len(lost)))
	}
}

// removeCall removes a call that has ended and has no attempt left.
func (c *Controller) removeCall(call *call) {
	delete(c.calls, call.id)
	if call.caller != nil && call.caller.calls[call.name] == call {
		delete(call.caller.calls, call.name)
	}
}

// auditReply returns the reply to an AuditValue: counters for operators and load
// generators, or the offered traffic.
func (c *Controller) auditReply(msg *signal.Message) *signal.Message {
	if msg.Termination == trafficTerm {
		return c.trafficReply(msg)
	}
	stats := c.stats
	return msg.NewReply().
		PutInt("Open", stats.Pending).
		PutInt("Standing", stats.Established).
		PutInt("Held", stats.HeldAttempts).
		PutInt("Taken", stats.Accepted).
		PutInt("Stood", stats.Answered).
		PutInt("Refused", stats.Refused).
		PutInt("Failed", stats.Failed).
		PutInt("Left", stats.Abandoned).
		PutInt("Cut", stats.Cut).
		PutInt("Turned", stats.Shed).
		PutInt("NotTaken", stats.AddsRejected)
}

// trafficTerm is the termination of an audit of the offered traffic.
const trafficTerm = "TRAFFIC"

// maxTrafficLines is the maximum number of Offered lines in one reply.
const maxTrafficLines = 100

// trafficReply returns the traffic that own callers offered in the last complete
// measurement span, by destination and class, in decreasing order of Erlangs.
func (c *Controller) trafficReply(msg *signal.Message) *signal.Message {
	if c.config.TrafficMeter == nil {
		return msg.NewErrorReply(signal.BadValue, "traffic is not measured")
	}
	estimates, from, to := c.config.TrafficMeter.Estimates(c.now)
	slices.SortStableFunc(estimates, func(a, b measure.Estimate) int { return cmp.Compare(b.Erlang, a.Erlang) })
	reply := msg.NewReply().PutDuration("Span", to-from).PutInt("Left", max(len(estimates)-maxTrafficLines, 0))
	for _, estimate := range estimates[:min(len(estimates), maxTrafficLines)] {
		erlang := "unknown"
		if estimate.Known {
			erlang = fmt.Sprintf("%.3f %.3f %.3f", estimate.Erlang, estimate.Low, estimate.High)
		}
		reply.Put("Offered", fmt.Sprintf("%d %s tries=%d first=%d lost=%d erlang=%s",
			estimate.Dest, c.config.Classes[estimate.Class].Name, estimate.Tries, estimate.First, estimate.Lost, erlang))
	}
	return reply
}
