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

// callerConn is a callerConn's connection.
type callerConn struct {
	id              ConnID
	pending         int // set-ups not answered
	established     int // calls that were set up or adopted here
	messageReceived bool
	quietSince      time.Duration // of the last word, or of the connection
	closed          bool
}

type activeCall struct {
	id            uint64
	callID        string // of the Call-ID and in the module
	conn          *callerConn
	class         string
	number        string
	description   []byte
	attempts      int
	peer          *peerExchange // where it stands
	established   bool
	adopted       bool
	establishedAt time.Duration
}

func (c *Core) handleCallerConnected(id ConnID) {
	conn := &callerConn{id: id, quietSince: c.now}
	c.conns[id] = conn
	c.connsByAge = append(c.connsByAge, conn)
	if c.cfg.MaxConns > 0 && len(c.conns) > c.cfg.MaxConns {
		c.evictConn(conn)
	}
}

// evictConn makes room: one that has said nothing goes first, then one without a call, the longest
// quiet first; then the new one.
func (c *Core) evictConn(fresh *callerConn) {
	var victim *callerConn
	for _, conn := range c.connsByAge {
		if conn.closed || conn.pending > 0 || conn == fresh || conn.established > 0 {
			continue
		}
		if victim == nil || victim.messageReceived && !conn.messageReceived || victim.messageReceived == conn.messageReceived && conn.quietSince < victim.quietSince {
			victim = conn
		}
	}
	if victim == nil {
		victim = fresh
	}
	c.closeConn(victim, "too many connections")
}

func (c *Core) closeConn(conn *callerConn, why string) {
	if conn.closed {
		return
	}
	c.Stats.ConnsShut++
	c.emit(CloseConn{conn.id, why})
	c.handleCallerDisconnected(conn.id)
}

// handleCallerDisconnected forgets a connection. Nobody is left there to be answered; what stands goes on.
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
	var left []uint64
	for _, call := range c.calls {
		if call.conn == conn && !call.established {
			left = append(left, call.id)
		}
	}
	slices.Sort(left)
	for _, id := range left {
		c.abandonCall(c.calls[id])
	}
}

// closeIdleConns closes connections that say nothing.
func (c *Core) closeIdleConns() {
	rest := c.connsByAge[:0]
	for _, conn := range c.connsByAge {
		switch {
		case conn.closed:
			continue
		case conn.pending > 0 || conn.established > 0:
		case !conn.messageReceived && c.now-conn.quietSince > firstMessageTimeout:
			c.closeConn(conn, "nothing said")
			continue
		case c.now-conn.quietSince > idleTimeout:
			c.closeConn(conn, "idle")
			continue
		}
		rest = append(rest, conn)
	}
	clear(c.connsByAge[len(rest):])
	c.connsByAge = rest
}

func (c *Core) handleCallerMessage(in CallerMessage) {
	conn := c.conns[in.Conn]
	if conn == nil {
		if IsNewCall(in.Msg) { // read before the connection is closed, which has been decided
			c.rejectCall(in.Conn, in.Msg.Call)
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
		c.emit(SendToCaller{conn.id, (&isup.Message{Type: isup.Tested, Call: in.Msg.Call}).With(isup.Cause, []byte{1})})
	case isup.Progress, isup.Released, isup.Tested:
	default:
		c.Stats.Invalid++
		c.closeConn(conn, fmt.Sprintf("message of type %d", in.Msg.Type))
	}
}

func newRelease(id uint64, cause byte) *isup.Message {
	return (&isup.Message{Type: isup.Release, Call: id}).With(isup.Cause, []byte{cause})
}

// newCongestionRelease is a release that says that trying again is harmless, and when.
func newCongestionRelease(id uint64, backoff time.Duration) *isup.Message {
	msg := newRelease(id, isup.Congestion)
	if backoff > 0 {
		msg.With(isup.StayAway, strconv.AppendInt(nil, int64((backoff+time.Millisecond-1)/time.Millisecond), 10))
	}
	return msg
}

// IsNewCall tells whether a message is a set-up that wants an answer and may get one at the edge.
func IsNewCall(msg *isup.Message) bool {
	figures, _ := msg.Get(isup.Figures)
	return msg.Type == isup.SetUp && !strings.Contains(string(figures), "at:")
}

// NewRejection is the answer to a set-up that is not taken: refused, with a time to come back where the
// settings allow one.
func NewRejection(id uint64, settings brain.Settings) *isup.Message {
	if !settings.Backoff {
		return newCongestionRelease(id, 0)
	}
	return newCongestionRelease(id, settings.BackoffMax)
}

func (c *Core) rejectCall(to ConnID, id uint64) {
	c.Stats.Refused++
	c.emit(SendToCaller{to, NewRejection(id, c.cfg.Settings)})
}

// setUpRequest is a set-up that was read.
type setUpRequest struct {
	brain.Call
	class, number string
	description   []byte
	peerName      string
}

// parseSetUp takes a set-up apart. The error names what is wrong with it.
func (c *Core) parseSetUp(msg *isup.Message) (request setUpRequest, err error) {
	text := func(code byte) string {
		v, _ := msg.Get(code)
		return string(v)
	}
	class, ok := c.classIndexes[text(isup.Class)]
	if !ok {
		return request, fmt.Errorf("unknown class %.40q", text(isup.Class))
	}
	request.class, request.Class = text(isup.Class), class
	ms, err := strconv.ParseUint(text(isup.Patience), 10, 22)
	if err != nil {
		return request, fmt.Errorf("patience: %w", err)
	}
	request.Left = time.Duration(ms) * time.Millisecond
	request.number = text(isup.Number)
	if request.Number, err = strconv.ParseUint(request.number, 16, 64); err != nil || len(request.number) != 16 {
		return request, fmt.Errorf("number %.40q", request.number)
	}
	request.Numbered = true
	switch v := text(isup.Retry); v {
	case "1":
		request.Repeat = true
	case "", "0":
	default:
		return request, fmt.Errorf("retry %.40q", v)
	}
	request.description, ok = msg.Get(isup.Description)
	if !ok {
		return request, fmt.Errorf("no description")
	}
	return request, c.parseFigures(&request, text(isup.Figures))
}

func (c *Core) parseFigures(request *setUpRequest, text string) error {
	request.Through = -1
	var dest, width, via bool
	for part := range strings.SplitSeq(text, ";") {
		name, value, ok := strings.Cut(part, ":")
		if !ok {
			return fmt.Errorf("figures %.80q", text)
		}
		if name == "at" {
			request.peerName = value
			continue
		}
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil {
			return fmt.Errorf("figure %.20q: %w", name, err)
		}
		switch name {
		case "dest":
			dest, request.Dest = true, int(n)
		case "width":
			width, request.Width = true, int(n)
		case "via":
			via, request.Through = true, int(n)
		case "transit":
			request.Transit = n == 1
		case "again":
			request.Again = n == 1
		}
		if (name == "transit" || name == "again") && n != 0 && n != 1 {
			return fmt.Errorf("figure %.20q out of range in %.80q", name, text)
		}
	}
	switch {
	case !dest || !c.isKnownDestination(request.Dest) || request.Dest == c.cfg.Settings.Self && !c.cfg.Settings.Pools:
		return fmt.Errorf("no such destination in %.80q", text)
	case !width || request.Width < 1 || request.Width > c.maxWidth:
		return fmt.Errorf("width out of range in %.80q", text)
	case request.Through < -1 || request.Transit && !via:
		return fmt.Errorf("via out of range in %.80q", text)
	}
	return nil
}

func (c *Core) handleSetUp(conn *callerConn, in CallerMessage) {
	id := in.Msg.Call
	existing := c.calls[id]
	request, err := c.parseSetUp(in.Msg)
	switch {
	case err == nil && request.peerName != "":
		c.adoptCall(conn, existing, id, request)
		return
	case existing != nil && existing.conn == conn:
		// a word about it would be taken for the answer to the first
		c.Stats.Invalid++
		c.closeConn(conn, "two set-ups under one id")
		return
	case existing != nil:
		c.Stats.Invalid++
		c.rejectCall(conn.id, id)
		return
	case err != nil:
		c.Stats.Invalid++
		c.emit(SendToCaller{conn.id, newRelease(id, isup.InvalidContents)})
		return
	case c.listenerClosed, conn.pending >= c.cfg.MaxPendingPerConn, len(c.calls) >= c.cfg.MaxCalls:
		c.rejectCall(conn.id, id)
		return
	}
	call := &activeCall{id: id, callID: fmt.Sprintf("%016x", id), conn: conn, class: request.class, number: request.number, description: request.description}
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
	c.pending++
	conn.pending++
	request.ID = call.callID
	request.Left -= max(c.now-in.ReceivedAt, 0)
	c.notifyModule(request.Call)
}

// adoptCall takes over a call that stands already, for which no answer is owed.
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
	if len(c.calls) >= c.cfg.MaxCalls {
		return
	}
	c.Stats.Adopted++
	call := &activeCall{id: id, callID: fmt.Sprintf("%016x", id), conn: conn, class: request.class, number: request.number,
		peer: peer, established: true, adopted: true, establishedAt: c.now}
	c.calls[id] = call
	conn.established++
	peer.calls[id] = call
}

// handleCallerRelease is a caller's word that a set-up is given up or that a call is over.
func (c *Core) handleCallerRelease(conn *callerConn, msg *isup.Message) {
	call := c.calls[msg.Call]
	if call == nil {
		return
	}
	c.log(slog.LevelDebug, "caller's release", "call", call.callID, "standing", call.established, "stood", c.now-call.establishedAt, "out", c.attempts[call.id] != nil, "cause", msg.Cause())
	if call.established {
		c.releaseAtPeer(call.peer, call.id, call.callID, isup.NormalClearing)
		c.endEstablishedCall(call, brain.Cancelled, isup.NormalClearing, true)
		c.emit(SendToCaller{conn.id, &isup.Message{Type: isup.Released, Call: msg.Call}})
		return
	}
	if call.conn == conn {
		c.abandonCall(call)
	}
}

// abandonCall is a call whose caller stopped waiting: no answer is owed.
func (c *Core) abandonCall(call *activeCall) {
	c.Stats.Gone++
	c.removePending(call)
	c.notifyModule(brain.CallGone{ID: call.callID})
	if attempt := c.attempts[call.id]; attempt != nil { // where the module may not cancel
		c.withdrawAttempt(attempt, brain.Cancelled)
	}
}

// removePending takes a call out of those that are owed an answer.
func (c *Core) removePending(call *activeCall) {
	c.pending--
	call.conn.pending--
	call.conn.quietSince = c.now
	delete(c.calls, call.id)
}

// sendFinalAnswer gives the final sendFinalAnswer to an open set-up.
func (c *Core) sendFinalAnswer(call *activeCall, msg *isup.Message) {
	c.removePending(call)
	if attempt := c.attempts[call.id]; attempt != nil {
		c.withdrawAttempt(attempt, brain.TimedOut) // before the answer is said: nothing is sent after it
	}
	c.emit(SendToCaller{call.conn.id, msg})
}
