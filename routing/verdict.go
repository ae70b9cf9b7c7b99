package routing

import "time"

// Reasons of verdicts.
const (
	ReasonNoCircuit     Reason = "no circuit free"
	ReasonOverload      Reason = "processor pressed"       // a window of pending set-ups is full
	ReasonColdProcessor Reason = "cold processor paced"    // the set-up budget of a cold processor is used up
	ReasonUnresponsive  Reason = "far end silent"          // recent set-ups to the exchange were lost
	ReasonReleaseWait   Reason = "release awaited"         // an earlier attempt may not be released yet
	ReasonNotInService  Reason = "exchange not in service" // or not in the exchange list
	ReasonNumberBusy    Reason = "number busy"             // all lines of the called number
	ReasonAttemptsSpent Reason = "attempts spent"          // Settings.MaxAttempts is reached
	ReasonTimeUp        Reason = "time up"                 // the deadline of the final answer has come
	ReasonRerouted      Reason = "over tandem"
	ReasonCallerLeft    Reason = "caller left"
)

// Scopes of verdicts.
const (
	ScopeGroup       Scope = "group" // the trunk group to the destination
	ScopeExchange    Scope = "exchange"
	ScopeOwnExchange Scope = "own exchange"
	ScopeNumber      Scope = "number" // the called number
	ScopeCall        Scope = "call"
)

// recordVerdict emits a verdict. Of each reason, the 1st, 2nd, 4th, 8th and so
// on are marked for the log.
func (c *Controller) recordVerdict(call *activeCall, reason Reason, scope Scope, exchangeNumber int) {
	c.verdictCounts[reason]++
	count := c.verdictCounts[reason]
	c.actions = append(c.actions, Verdict{
		call.ID, call.Class, reason, scope, exchangeNumber, count, count&(count-1) == 0,
	})
}

// finish marks a call as done. With an attempt in flight the call is kept until
// the attempt has ended.
func (c *Controller) finish(call *activeCall) {
	if call.state != stateAttempting {
		delete(c.calls, call.ID)
	}
	call.state = stateDone
}

// refuse gives the final answer that the call is refused.
func (c *Controller) refuse(call *activeCall, reason Reason, scope Scope) {
	c.recordVerdict(call, reason, scope, call.Destination)
	retryAfter := time.Duration(0)
	if !call.Transit && c.settings.Backoff {
		retryAfter = c.settings.BackoffMax
	}
	c.actions = append(c.actions, RefuseCall{call.ID, retryAfter})
	c.finish(call)
}

// fail gives the final answer that the call has failed.
func (c *Controller) fail(call *activeCall, reason Reason, scope Scope) {
	c.recordVerdict(call, reason, scope, call.Destination)
	c.actions = append(c.actions, FailCall{call.ID})
	c.finish(call)
}

// keepWaiting leaves the call in the queue and stores why. It returns false,
// the result of tryRoutes for such a call.
func (c *Controller) keepWaiting(call *activeCall, reason Reason, scope Scope) bool {
	if call.waitReason == "" {
		c.recordVerdict(call, reason, scope, call.Destination)
	}
	call.waitReason, call.waitScope = reason, scope
	return false
}
