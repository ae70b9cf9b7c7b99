package interwork

import (
	"log/slog"
	"strconv"

	"dahliaspindle/brain"
	"dahliaspindle/internal/isup"
)

// notifyModule hands an event to the module and carries out what it asks for.
func (c *Core) notifyModule(e brain.Event) { c.module.Give(c.now, e, c.applyAction) }

func (c *Core) applyAction(a brain.Action) {
	switch a := a.(type) {
	case brain.Send:
		if call := c.pendingCall(a.ID); call != nil && c.attempts[call.id] == nil {
			c.startAttempt(call, a)
		}
	case brain.Refuse:
		if call := c.pendingCall(a.ID); call != nil {
			c.Stats.Refused++
			c.sendFinalAnswer(call, newCongestionRelease(call.id, a.Backoff))
		}
	case brain.GiveUp:
		if call := c.pendingCall(a.ID); call != nil {
			c.Stats.Failed++
			c.sendFinalAnswer(call, newRelease(call.id, isup.TemporaryFailure))
		}
	case brain.Cancel:
		if id, err := strconv.ParseUint(a.ID, 16, 64); err == nil {
			if attempt := c.attempts[id]; attempt != nil && attempt.number == a.Attempt {
				c.withdrawAttempt(attempt, brain.Cancelled)
			}
		}
	case brain.Wake:
		c.timers.Set(c.now+a.After, timerEvent{token: a.Token})
	case brain.Verdict:
		level := slog.LevelDebug
		if a.Log {
			level = slog.LevelInfo
		}
		if c.cfg.LogAllVerdicts || a.Log {
			c.log(level, "verdict", "call", a.ID, "reason", a.Reason, "scope", a.Scope, "cell", a.Cell, "nth", a.Nth)
		}
	}
}

// pendingCall is a call that is owed an answer.
func (c *Core) pendingCall(name string) *activeCall {
	id, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return nil
	}
	if call := c.calls[id]; call != nil && !call.established {
		return call
	}
	return nil
}

// reportEnded tells the module of the end of an attempt.
func (c *Core) reportEnded(attempt *callAttempt, e brain.Ended) {
	call := attempt.call
	e.ID, e.Attempt, e.Exchange, e.After = call.callID, attempt.number, attempt.peer.id, c.now-attempt.startedAt
	e.Final = c.calls[call.id] != call || call.established
	c.log(slog.LevelDebug, "ended", "call", call.callID, "nth", attempt.number, "outcome", e.Outcome, "note", e.Note, "final", e.Final, "after", e.After)
	c.notifyModule(e)
}
