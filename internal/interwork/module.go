package interwork

import (
	"log/slog"
	"strconv"

	"dahliaspindle/brain"
	"dahliaspindle/internal/isup"
)

// notifyModule passes an event to the routing module and carries out the actions it returns.
func (c *Core) notifyModule(event brain.Event) { c.module.Give(c.now, event, c.applyAction) }

// applyAction carries out one action of the routing module. Actions on calls that are not pending any
// more are ignored.
func (c *Core) applyAction(action brain.Action) {
	switch action := action.(type) {
	case brain.Send:
		if call := c.pendingCall(action.ID); call != nil && c.attempts[call.id] == nil {
			c.startAttempt(call, action)
		}
	case brain.Refuse:
		if call := c.pendingCall(action.ID); call != nil {
			c.Stats.Refused++
			c.sendFinalAnswer(call, newCongestionRelease(call.id, action.Backoff))
		}
	case brain.GiveUp:
		if call := c.pendingCall(action.ID); call != nil {
			c.Stats.Failed++
			c.sendFinalAnswer(call, newRelease(call.id, isup.TemporaryFailure))
		}
	case brain.Cancel:
		if id, err := strconv.ParseUint(action.ID, 16, 64); err == nil {
			if attempt := c.attempts[id]; attempt != nil && attempt.number == action.Attempt {
				c.withdrawAttempt(attempt, brain.Cancelled)
			}
		}
	case brain.Wake:
		c.timers.Set(c.now+action.After, timerEvent{token: action.Token})
	case brain.Verdict:
		level := slog.LevelDebug
		if action.Log {
			level = slog.LevelInfo
		}
		if c.cfg.LogAllVerdicts || action.Log {
			c.log(level, "verdict", "call", action.ID, "reason", action.Reason, "scope", action.Scope, "cell", action.Cell, "nth", action.Nth)
		}
	}
}

// pendingCall returns the call with the given Call-ID if it still awaits its final answer, else nil.
func (c *Core) pendingCall(callID string) *activeCall {
	id, err := strconv.ParseUint(callID, 16, 64)
	if err != nil {
		return nil
	}
	if call := c.calls[id]; call != nil && !call.established {
		return call
	}
	return nil
}

// reportEnded reports the end of an attempt to the module.
func (c *Core) reportEnded(attempt *callAttempt, ended brain.Ended) {
	call := attempt.call
	ended.ID, ended.Attempt, ended.Exchange, ended.After = call.callID, attempt.number, attempt.peer.id, c.now-attempt.startedAt
	ended.Final = c.calls[call.id] != call || call.established
	c.log(slog.LevelDebug, "ended", "call", call.callID, "nth", attempt.number, "outcome", ended.Outcome, "note", ended.Note,
		"final", ended.Final, "after", ended.After)
	c.notifyModule(ended)
}
