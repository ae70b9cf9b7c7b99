package interwork

import (
	"log/slog"
	"strconv"

	"dahliaspindle/internal/isup"
	"dahliaspindle/routing"
)

// notifyModule passes an event to the routing module and carries out the actions it returns.
func (c *Core) notifyModule(event routing.Event) { c.module.Dispatch(c.now, event, c.applyAction) }

// applyAction carries out one action of the routing module. Actions on calls that are not pending any
// more are not carried out; if it was an attempt of a call that is ending, the module is notified of that.
func (c *Core) applyAction(action routing.Action) {
	switch action := action.(type) {
	case routing.StartAttempt:
		switch call := c.callByID(action.CallID); {
		case call == nil || call.established || c.attempts[call.id] != nil:
		case call.ending:
			c.reportNotSent(call, action.ExchangeID)
		default:
			c.startAttempt(call, action)
		}
	case routing.RefuseCall:
		if call := c.pendingCall(action.CallID); call != nil {
			c.Stats.Refused++
			c.sendFinalAnswer(call, newCongestionRelease(call.id, action.RetryAfter))
		}
	case routing.FailCall:
		if call := c.pendingCall(action.CallID); call != nil {
			c.Stats.Failed++
			c.sendFinalAnswer(call, newRelease(call.id, isup.TemporaryFailure))
		}
	case routing.CancelAttempt:
		if id, err := strconv.ParseUint(action.CallID, 16, 64); err == nil {
			if attempt := c.attempts[id]; attempt != nil && attempt.number == action.Attempt {
				c.withdrawAttempt(attempt, routing.OutcomeCancelled)
			}
		}
	case routing.SetTimer:
		c.timers.Set(c.now+action.Delay, timerEvent{token: action.Token})
	case routing.Verdict:
		level := slog.LevelDebug
		if action.Log {
			level = slog.LevelInfo
		}
		if c.cfg.LogAllVerdicts || action.Log {
			c.log(level, "verdict", "call", action.CallID, "reason", action.Reason, "scope", action.Scope,
				"cell", action.ExchangeNumber, "nth", action.Count)
		}
	}
}

// callByID returns the call with the given Call-ID, or nil.
func (c *Core) callByID(callID string) *activeCall {
	id, err := strconv.ParseUint(callID, 16, 64)
	if err != nil {
		return nil
	}
	return c.calls[id]
}

// pendingCall returns the call with the given Call-ID if its final answer is still to be decided, else nil.
func (c *Core) pendingCall(callID string) *activeCall {
	if call := c.callByID(callID); call != nil && !call.established && !call.ending {
		return call
	}
	return nil
}

// reportNotSent reports to the module that an attempt was not made, because its call is ending.
func (c *Core) reportNotSent(call *activeCall, exchangeID uint32) {
	c.notifyModule(routing.AttemptEnded{
		CallID:     call.callID,
		Attempt:    call.attempts,
		ExchangeID: exchangeID,
		Outcome:    routing.OutcomeNotSent,
		Final:      true,
	})
}

// reportEnded reports the end of an attempt to the module.
func (c *Core) reportEnded(attempt *callAttempt, ended routing.AttemptEnded) {
	call := attempt.call
	ended.CallID, ended.Attempt, ended.ExchangeID, ended.Elapsed = call.callID, attempt.number, attempt.peer.id, c.now-attempt.startedAt
	ended.Final = c.calls[call.id] != call || call.established || call.ending
	c.log(slog.LevelDebug, "ended", "call", call.callID, "nth", attempt.number, "outcome", ended.Outcome, "note", ended.Note,
		"final", ended.Final, "after", ended.Elapsed)
	c.notifyModule(ended)
}
