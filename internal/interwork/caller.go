package interwork

import (
	"bytes"
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
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

// IsNewCall reports whether a message is the set-up of a new call, which may be rejected before it
// reaches the core. The set-up of an established call (one whose routing has an "at" value) expects no answer.
func IsNewCall(msg *isup.Message) bool {
	value, _ := msg.Get(isup.ParamRouting)
	return msg.Type == isup.SetUp && !strings.Contains(string(value), "at:")
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

// setUpRequest is a parsed set-up.
type setUpRequest struct {
	routing.Call
	class, number string
	description   []byte
	peerName      string // exchange of a call that is established already, else empty
}

// parseSetUp parses a set-up. The error names the first invalid parameter.
func (c *Core) parseSetUp(msg *isup.Message) (request setUpRequest, err error) {
	text := func(code byte) string {
		value, _ := msg.Get(code)
		return string(value)
	}
	class, ok := c.classIndexes[text(isup.ParamClass)]
	if !ok {
		return request, fmt.Errorf("unknown class %.40q", text(isup.ParamClass))
	}
	request.class, request.Class = text(isup.ParamClass), class
	millis, err := strconv.ParseUint(text(isup.ParamPatience), 10, 22)
	if err != nil {
		return request, fmt.Errorf("invalid patience: %w", err)
	}
	request.Remaining = time.Duration(millis) * time.Millisecond
	request.number = text(isup.ParamNumber)
	if request.CalledNumber, err = strconv.ParseUint(request.number, 16, 64); err != nil || len(request.number) != 16 {
		return request, fmt.Errorf("invalid number %.40q", request.number)
	}
	request.HasCalledNumber = true
	switch value := text(isup.ParamRetry); value {
	case "1":
		request.Repeat = true
	case "", "0":
	default:
		return request, fmt.Errorf("invalid retry mark %.40q", value)
	}
	request.description, ok = msg.Get(isup.ParamDescription)
	if !ok {
		return request, fmt.Errorf("missing description")
	}
	return request, c.parseRouting(&request, text(isup.ParamRouting))
}

// parseRouting parses the routing parameter of a set-up ("name:value" pairs separated by semicolons) into request.
// Unknown names are ignored.
func (c *Core) parseRouting(request *setUpRequest, text string) error {
	request.Via = -1
	var hasDest, hasWidth, hasVia bool
	for part := range strings.SplitSeq(text, ";") {
		name, value, ok := strings.Cut(part, ":")
		if !ok {
			return fmt.Errorf("malformed routing %.80q", text)
		}
		if name == "at" {
			request.peerName = value
			continue
		}
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil {
			return fmt.Errorf("invalid routing value %.20q: %w", name, err)
		}
		switch name {
		case "dest":
			hasDest, request.Destination = true, int(n)
		case "width":
			hasWidth, request.Width = true, int(n)
		case "via":
			hasVia, request.Via = true, int(n)
		case "transit":
			request.Transit = n == 1
		case "again":
			request.Reconnect = n == 1
		}
		if (name == "transit" || name == "again") && n != 0 && n != 1 {
			return fmt.Errorf("routing value %.20q out of range in %.80q", name, text)
		}
	}
	switch {
	case !hasDest || !c.isKnownDestination(request.Destination) || request.Destination == c.cfg.Settings.Self && !c.cfg.Settings.Pools:
		return fmt.Errorf("missing or unknown destination in %.80q", text)
	case !hasWidth || request.Width < 1 || request.Width > c.maxWidth:
		return fmt.Errorf("missing or invalid width in %.80q", text)
	case request.Via < -1 || request.Transit && !hasVia:
		return fmt.Errorf("missing or invalid via in %.80q", text)
	}
	return nil
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
	call := &activeCall{
		id:          id,
		callID:      fmt.Sprintf("%016x", id),
		conn:        conn,
		class:       request.class,
		number:      request.number,
		description: bytes.Clone(request.description), // the original keeps the whole message in memory
	}
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

// adoptCall registers a call that is established already, or moves it to the caller's new connection.
// Such a set-up gets no answer, except a release if the call has ended or its exchange is unknown.
func (c *Core) adoptCall(conn *callerConn, existing *activeCall, id uint64, request setUpRequest) {
	if existing != nil {
		if existing.established && existing.conn != conn {
			existing.conn.established--
			existing.conn = conn
			conn.established++
		}
		return
	}
	if ending, ended := c.recentEndings[id]; ended && ending.withdrawnPeer == nil {
		c.emit(SendToCaller{conn.id, newRelease(id, ending.cause)})
		return
	}
	peer := c.peersByName[request.peerName]
	if peer == nil {
		c.emit(SendToCaller{conn.id, newRelease(id, isup.TemporaryFailure)})
		return
	}
	if len(c.calls) >= c.cfg.MaxCalls || c.adopted >= c.cfg.MaxAdopted {
		c.Stats.AdoptionsShed++
		return
	}
	c.adopted++
	c.Stats.Adopted++
	call := &activeCall{
		id:            id,
		callID:        fmt.Sprintf("%016x", id),
		conn:          conn,
		class:         request.class,
		number:        request.number,
		peer:          peer,
		established:   true,
		adopted:       true,
		establishedAt: c.now,
	}
	if longest := adoptedHoldingTimes * c.cfg.Settings.Classes[request.Class].Holding; longest > 0 {
		call.expiry = c.timers.Set(c.now+longest, timerEvent{adopted: call})
	}
	c.calls[id] = call
	conn.established++
	peer.calls[id] = call
}

// endAdoptedCall ends a call that was adopted so long ago that its release must have been lost, or that never was.
func (c *Core) endAdoptedCall(call *activeCall) {
	c.Stats.Forgotten++
	c.releaseAtPeer(call.peer, call.id, call.callID, isup.TemporaryFailure)
	c.endEstablishedCall(call, routing.OutcomeReset, isup.TemporaryFailure, false)
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

// exceedsPendingShare reports whether a connection may have no further set-up pending: it has as many as one
// connection may have or, where too many are pending in all, or too long ones, its share of them.
func (c *Core) exceedsPendingShare(conn *callerConn) bool {
	connCount := max(c.connsWithPending, 1)
	switch {
	case conn.pending >= c.cfg.MaxPendingPerConn:
		return true
	case c.pending >= c.cfg.MaxPending:
		return conn.pending >= max(c.cfg.MaxPending/connCount, 1)
	default:
		return c.pendingBytes >= c.cfg.MaxPendingBytes && conn.pending > 0 && conn.pendingBytes >= c.cfg.MaxPendingBytes/connCount
	}
}

// addPending counts a set-up with a description of the given length as pending.
func (c *Core) addPending(conn *callerConn, size int) {
	c.pendingBytes += size
	conn.pendingBytes += size
	if conn.pending == 0 {
		c.connsWithPending++
	}
	c.pending++
	conn.pending++
}

// dropPending removes a set-up from the pending ones.
func (c *Core) dropPending(call *activeCall) {
	conn := call.conn
	c.pendingBytes -= len(call.description)
	conn.pendingBytes -= len(call.description)
	c.pending--
	conn.pending--
	if conn.pending == 0 {
		c.connsWithPending--
	}
}

// pendingCalls returns the calls that await a final answer and satisfy a condition, in order of their ids.
func (c *Core) pendingCalls(matches func(*activeCall) bool) (pending []*activeCall) {
	for _, call := range c.calls {
		if !call.established && matches(call) {
			pending = append(pending, call)
		}
	}
	slices.SortFunc(pending, func(a, b *activeCall) int { return cmp.Compare(a.id, b.id) })
	return pending
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

// removePending removes a call from those that await a final answer.
func (c *Core) removePending(call *activeCall) {
	c.dropPending(call)
	call.conn.quietSince = c.now
	delete(c.calls, call.id)
	if call.sent && !c.hasRun(call.id) {
		c.recordEnding(call.id, callEnding{cause: isup.TemporaryFailure})
	}
}

// hasRun reports whether a call with the given ID ended recently after it was sent to an exchange. Each set-up has
// an ID of its own, so one that comes again must not be sent again.
func (c *Core) hasRun(id uint64) bool {
	_, ended := c.recentEndings[id]
	return ended
}

// sendFinalAnswer sends the final answer to a pending call. An attempt in flight is withdrawn first.
func (c *Core) sendFinalAnswer(call *activeCall, msg *isup.Message) {
	c.removePending(call)
	if attempt := c.attempts[call.id]; attempt != nil {
		c.withdrawAttempt(attempt, routing.OutcomeTimedOut) // before the answer, after which no set-up may be sent
	}
	c.emit(SendToCaller{call.conn.id, msg})
}
