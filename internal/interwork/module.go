package interwork

import (
	"log/slog"
	"strconv"

	"dahliaspindle/brain"
	"dahliaspindle/internal/isup"
)

// feed hands an event to the module and carries out what it asks for.
func (c *Core) feed(e brain.Event) { c.module.Dispatch(c.now, e, c.act) }

func (c *Core) act(a brain.Action) {
	switch a := a.(type) {
	case brain.StartAttempt:
		if x := c.openCall(a.CallID); x != nil && c.tries[x.id] == nil {
			c.attempt(x, a)
		}
	case brain.RefuseCall:
		if x := c.openCall(a.CallID); x != nil {
			c.Stats.Refused++
			c.answer(x, refusal(x.id, a.RetryAfter))
		}
	case brain.FailCall:
		if x := c.openCall(a.CallID); x != nil {
			c.Stats.Failed++
			c.answer(x, release(x.id, isup.TemporaryFailure))
		}
	case brain.CancelAttempt:
		if id, err := strconv.ParseUint(a.CallID, 16, 64); err == nil {
			if t := c.tries[id]; t != nil && t.n == a.Attempt {
				c.withdraw(t, brain.OutcomeCancelled)
			}
		}
	case brain.SetTimer:
		c.timers.Set(c.now+a.Delay, timer{token: a.Token})
	case brain.Verdict:
		level := slog.LevelDebug
		if a.Log {
			level = slog.LevelInfo
		}
		if c.cfg.LogAllVerdicts || a.Log {
			c.log(level, "verdict", "call", a.CallID, "reason", a.Reason, "scope", a.Scope, "cell", a.ExchangeNumber, "nth", a.Count)
		}
	}
}

// openCall is a call that is owed an answer.
func (c *Core) openCall(name string) *call {
	id, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return nil
	}
	if x := c.calls[id]; x != nil && !x.standing {
		return x
	}
	return nil
}

// ended tells the module of the end of an attempt.
func (c *Core) ended(t *attempt, e brain.AttemptEnded) {
	x := t.call
	e.CallID, e.Attempt, e.ExchangeID, e.Elapsed = x.name, t.n, t.peer.id, c.now-t.sent
	e.Final = c.calls[x.id] != x || x.standing
	c.log(slog.LevelDebug, "ended", "call", x.name, "nth", t.n, "outcome", e.Outcome, "note", e.Note, "final", e.Final, "after", e.Elapsed)
	c.feed(e)
}
