package routing

import (
	"math"
	"time"
)

const (
	minWait              = 500 * time.Millisecond // shortest wait of a call without a route
	maxWait              = time.Second            // longest wait of a call without a route
	queueRecheckInterval = 50 * time.Millisecond  // between attempts to route the waiting calls
	staleHoldingTimes    = 10                     // mean holding times after which a call counts as stale
	staleCheckInterval   = time.Second
)

// expireCalls answers calls whose deadline or wait is over, drops the finished
// ones and removes stale calls.
func (c *Controller) expireCalls() {
	remaining := c.unanswered[:0]
	for _, call := range c.unanswered {
		switch {
		case call.state == stateDone:
			continue
		case call.state == stateEstablished:
			c.established = append(c.established, call) // has no deadline to check at every event
			continue
		case c.now >= call.answerBy:
			c.fail(call, ReasonTimeUp, ScopeCall)
			continue
		case call.state == stateWaiting && c.now >= call.waitUntil &&
			!(c.now < call.retryNotBefore && call.retryNotBefore < call.answerBy):
			if c.tryRoutes(call) {
				break
			}
			c.refuse(call, call.waitReason, call.waitScope)
			continue
		}
		remaining = append(remaining, call)
	}
	c.unanswered = remaining
	if c.now-c.staleCheckedAt < staleCheckInterval {
		return
	}
	c.staleCheckedAt, remaining = c.now, c.established[:0]
	for _, call := range c.established {
		if call.state == stateEstablished &&
			c.now-call.establishedAt > staleHoldingTimes*c.classOf(call).Holding {
			c.releaseCircuits(call) // the report of its end never came; its circuits would count for ever
			c.finish(call)
		}
		if call.state == stateEstablished {
			remaining = append(remaining, call)
		}
	}
	clear(c.established[len(remaining):])
	c.established = remaining
}

// armTimer sets a timer for the next deadline unless one expires before it.
func (c *Controller) armTimer() {
	next := time.Duration(math.MaxInt64)
	for _, call := range c.unanswered {
		if call.state == stateWaiting {
			next = min(next, max(call.waitUntil, call.retryNotBefore), c.now+queueRecheckInterval)
		}
		if call.state != stateEstablished {
			next = min(next, call.answerBy)
		}
	}
	if next == math.MaxInt64 || c.timerAt > c.now && c.timerAt <= next {
		return
	}
	c.timerAt = max(next, c.now+time.Millisecond)
	c.timerToken++
	c.actions = append(c.actions, SetTimer{c.timerToken, c.timerAt - c.now})
}
