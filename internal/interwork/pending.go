package interwork

import (
	"cmp"
	"slices"

	"dahliaspindle/internal/isup"
)

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
