package interwork

import (
	"dahliaspindle/internal/isup"
	"dahliaspindle/routing"
)

// advanceShutdown carries out a graceful shutdown. It closes the listener and waits for the pending and
// established calls, because no other process would report the end of these calls to their callers. At the
// end of the grace period the calls that are still pending get a final answer.
func (c *Core) advanceShutdown() {
	if !c.listenerClosed {
		c.listenerClosed = true
		c.emit(CloseListener{})
	}
	graceOver := c.now-c.shutdownAt >= c.shutdownGrace
	if graceOver {
		c.answerPendingCalls()
	}
	for _, conn := range c.connsByAge {
		if conn.pending == 0 && conn.established == 0 {
			c.closeConn(conn, "shutting down")
		}
	}
	if graceOver || len(c.calls) == 0 {
		c.shutdownDone = true
		c.emit(ShutdownComplete{})
	}
}

// answerPendingCalls answers the calls that are still pending at the end of the grace period. All of them are
// marked before the module is notified of the first, because the module may then act on any other call.
func (c *Core) answerPendingCalls() {
	pending := c.pendingCalls(func(*activeCall) bool { return true })
	for _, call := range pending {
		call.ending = true
	}
	for _, call := range pending {
		c.answerAtShutdown(call)
	}
}

// answerAtShutdown answers a call that is pending at the end of the grace period: failed, or refused if no
// attempt was made.
func (c *Core) answerAtShutdown(call *activeCall) {
	c.notifyModule(routing.CallAbandoned{CallID: call.callID})
	if call.attempts > 0 {
		c.Stats.Failed++
		c.sendFinalAnswer(call, newRelease(call.id, isup.TemporaryFailure))
		return
	}
	c.Stats.Refused++
	c.sendFinalAnswer(call, newCongestionRelease(call.id, 0))
}
