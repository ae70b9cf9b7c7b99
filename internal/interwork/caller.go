package interwork

import (
	"bytes"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/timerwheel"
	"dahliaspindle/routing"
)

// callerConn is a connection of a caller.
type callerConn struct {
	id              ConnID
	pending         int           // set-ups without a final answer
	pendingBytes    int           // of their descriptions
	established     int           // calls set up or adopted on this connection
	messageReceived bool          // at least one
	quietSince      time.Duration // time of the last message, end of a call or accept
	closed          bool
}

// activeCall is a call that is pending or established.
type activeCall struct {
	id            uint64
	callID        string // id in hexadecimal, as in the Call-ID and towards the module
	conn          *callerConn
	class         string
	number        string
	description   []byte
	attempts      int
	sent          bool          // a set-up was sent to an exchange
	peer          *peerExchange // where the call is established, nil while pending
	established   bool
	adopted       bool // established before this process knew it
	ending        bool // its end is decided: actions of the module on it are not carried out any more
	establishedAt time.Duration
	expiry        timerwheel.Handle // of an adopted call
}

// newActiveCall returns a call with what its set-up tells of it, the description excepted.
func newActiveCall(conn *callerConn, id uint64, request setUpRequest) *activeCall {
	return &activeCall{id: id, callID: fmt.Sprintf("%016x", id), conn: conn, class: request.class, number: request.number}
}

// handleCallerConnected registers a connection and, above the limit, closes one.
func (c *Core) handleCallerConnected(id ConnID) {
	conn := &callerConn{id: id, quietSince: c.now}
	c.conns[id] = conn
	c.connsByAge = append(c.connsByAge, conn)
	if c.cfg.MaxConns > 0 && len(c.conns) > c.cfg.MaxConns {
		c.evictConn(conn)
	}
}

// evictConn closes one connection to stay within the limit. Only connections without calls are
// candidates: those that never sent a message first, then the longest quiet. Without a candidate the
// new connection is closed.
func (c *Core) evictConn(newConn *callerConn) {
	var victim *callerConn
	for _, conn := range c.connsByAge {
		if conn.closed || conn.pending > 0 || conn == newConn || conn.established > 0 {
			continue
		}
		if victim == nil || victim.messageReceived && !conn.messageReceived ||
			victim.messageReceived == conn.messageReceived && conn.quietSince < victim.quietSince {
			victim = conn
		}
	}
	if victim == nil {
		victim = newConn
	}
	c.closeConn(victim, "too many connections")
}

// closeConn closes a connection and abandons its pending calls.
func (c *Core) closeConn(conn *callerConn, reason string) {
	if conn.closed {
		return
	}
	c.Stats.ConnsShut++
	c.emit(CloseConn{conn.id, reason})
	c.handleCallerDisconnected(conn.id)
}

// handleCallerDisconnected removes a connection. Its pending calls are abandoned, since nobody is left to
// answer; established calls continue.
func (c *Core) handleCallerDisconnected(id ConnID) {
	conn := c.conns[id]
	if conn == nil {
		return
	}
	delete(c.conns, id)
	conn.closed = true
	if conn.pending == 0 {
		return
	}
	c.abandonCalls(c.pendingCalls(func(call *activeCall) bool { return call.conn == conn })...)
}

// closeIdleConns closes connections without calls that have sent no message for too long.
func (c *Core) closeIdleConns() {
	remaining := c.connsByAge[:0]
	for _, conn := range c.connsByAge {
		switch {
		case conn.closed:
			continue
		case conn.pending > 0 || conn.established > 0:
		case !conn.messageReceived && c.now-conn.quietSince > firstMessageTimeout:
			c.closeConn(conn, "no message received")
			continue
		case c.now-conn.quietSince > idleTimeout:
			c.closeConn(conn, "idle")
			continue
		}
		remaining = append(remaining, conn)
	}
	clear(c.connsByAge[len(remaining):])
	c.connsByAge = remaining
}

// noteCallerActive records that a message of a caller has arrived that the core need not handle.
func (c *Core) noteCallerActive(id ConnID) {
	if conn := c.conns[id]; conn != nil {
		conn.messageReceived, conn.quietSince = true, c.now
	}
}

// handleCallerMessage dispatches a message of a caller.
func (c *Core) handleCallerMessage(in CallerMessage) {
	conn := c.conns[in.Conn]
	if conn == nil {
		if IsNewCall(in.Msg) { // read before the connection was closed, handled after the close was decided
			c.rejectCall(in.Conn, in.Msg.CallID)
		}
		return
	}
	conn.messageReceived, conn.quietSince = true, c.now
	switch in.Msg.Type {
	case isup.SetUp:
		c.handleSetUp(conn, in)
	case isup.Release:
		c.handleCallerRelease(conn, in.Msg)
	case isup.Test:
		c.emit(SendToCaller{conn.id, (&isup.Message{Type: isup.TestResult, CallID: in.Msg.CallID}).Add(isup.ParamCause, []byte{1})})
	case isup.Progress, isup.ReleaseComplete, isup.TestResult:
	default:
		c.Stats.Invalid++
		c.closeConn(conn, fmt.Sprintf("unexpected message type %d", in.Msg.Type))
	}
}

// newRelease returns a release of a call with a cause.
func newRelease(id uint64, cause byte) *isup.Message {
	return (&isup.Message{Type: isup.Release, CallID: id}).Add(isup.ParamCause, []byte{cause})
}

// newCongestionRelease returns a release that allows a retry, after the backoff if it is positive. The
// backoff is rounded up to whole milliseconds.
func newCongestionRelease(id uint64, backoff time.Duration) *isup.Message {
	msg := newRelease(id, isup.Congestion)
	if backoff > 0 {
		msg.Add(isup.ParamRetryAfter, strconv.AppendInt(nil, int64((backoff+time.Millisecond-1)/time.Millisecond), 10))
	}
	return msg
}

// NewRejection returns the answer to a set-up that is not accepted: a release with cause congestion, and
// with the longest backoff where the settings allow one.
func NewRejection(id uint64, settings routing.Settings) *isup.Message {
	if !settings.Backoff {
		return newCongestionRelease(id, 0)
	}
	return newCongestionRelease(id, settings.BackoffMax)
}

// rejectCall refuses a set-up without passing it to the module.
func (c *Core) rejectCall(conn ConnID, id uint64) {
	c.Stats.Refused++
	c.emit(SendToCaller{conn, NewRejection(id, c.cfg.Settings)})
}

// handleSetUp adopts, rejects or starts a call. A call that is started is passed to the module.
func (c *Core) handleSetUp(conn *callerConn, in CallerMessage) {
	id := in.Msg.CallID
	existing := c.calls[id]
	request, err := c.parseSetUp(in.Msg)
	switch {
	case err == nil && request.peerName != "":
		c.adoptCall(conn, existing, id, request)
		return
	case existing != nil && existing.conn == conn:
		// The caller would take a rejection for the answer to the first set-up.
		c.Stats.Invalid++
		c.closeConn(conn, "two set-ups with the same id")
		return
	case existing != nil, c.hasRun(id):
		c.Stats.Invalid++
		c.rejectCall(conn.id, id)
		return
	case err != nil:
		c.Stats.Invalid++
		c.emit(SendToCaller{conn.id, newRelease(id, isup.InvalidContents)})
		return
	case c.listenerClosed, c.exceedsPendingShare(conn), len(c.calls) >= c.cfg.MaxCalls:
		c.rejectCall(conn.id, id)
		return
	}
	call := newActiveCall(conn, id, request)
	call.description = bytes.Clone(request.description) // the original keeps the whole message in memory
	if !c.fitsMessageSize(call) {
		c.Stats.Invalid++
		c.emit(SendToCaller{conn.id, newRelease(id, isup.InvalidContents)})
		return
	}
	c.Stats.Calls++
	if request.Repeat {
		c.Stats.Again++
	}
	c.calls[id] = call
	c.addPending(conn, len(call.description))
	request.ID = call.callID
	request.Remaining -= max(c.now-in.ReceivedAt, 0)
	c.notifyModule(request.Call)
}

// handleCallerRelease handles the release of a caller: it ends an established call, on whatever
// connection it arrives, or abandons a pending one on its own connection.
func (c *Core) handleCallerRelease(conn *callerConn, msg *isup.Message) {
	call := c.calls[msg.CallID]
	if call == nil {
		return
	}
	c.log(slog.LevelDebug, "caller's release", "call", call.callID, "standing", call.established, "stood", c.now-call.establishedAt,
		"out", c.attempts[call.id] != nil, "cause", msg.Cause())
	if call.established {
		c.releaseAtPeer(call.peer, call.id, call.callID, isup.NormalClearing)
		c.endEstablishedCall(call, routing.OutcomeCancelled, isup.NormalClearing, true)
		c.emit(SendToCaller{conn.id, &isup.Message{Type: isup.ReleaseComplete, CallID: msg.CallID}})
		return
	}
	if call.conn == conn {
		c.abandonCalls(call)
	}
}

// abandonCalls ends pending calls whose callers stopped waiting. No answer is sent. All of them are marked
// before the module is notified of the first, because the module may then act on any other call.
func (c *Core) abandonCalls(calls ...*activeCall) {
	for _, call := range calls {
		call.ending = true
	}
	for _, call := range calls {
		c.Stats.Gone++
		c.removePending(call)
		c.notifyModule(routing.CallAbandoned{CallID: call.callID})
		if attempt := c.attempts[call.id]; attempt != nil { // the module does not cancel where cancelling is disabled
			c.withdrawAttempt(attempt, routing.OutcomeCancelled)
		}
	}
}

// sendFinalAnswer sends the final answer to a pending call. An attempt in flight is withdrawn first.
func (c *Core) sendFinalAnswer(call *activeCall, msg *isup.Message) {
	c.removePending(call)
	if attempt := c.attempts[call.id]; attempt != nil {
		c.withdrawAttempt(attempt, routing.OutcomeTimedOut) // before the answer, after which no set-up may be sent
	}
	c.emit(SendToCaller{call.conn.id, msg})
}
