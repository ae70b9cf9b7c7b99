package routing

import "time"

const reductionLifetime = 2 * time.Second // a peer's request to hold back set-ups applies this long

// routeRequest holds everything about a waiting call that decides which routes
// are open to it. Within one pass over the queue routes only close, so if one
// call found none, calls with an equal routeRequest have none either.
type routeRequest struct {
	destination, class, width int
	worth                     float64
	transit                   bool
	tandemAttempts            int
}

// blockCause is why a routeRequest has no route.
type blockCause struct {
	Reason
	Scope
}

// tryRoutes starts an attempt if a route admits the call. It returns whether
// the call has left the queue, by an attempt or by a refusal.
func (c *Controller) tryRoutes(call *activeCall) bool {
	if c.now < call.retryNotBefore {
		return c.keepWaiting(call, ReasonReleaseWait, ScopeCall)
	}
	if call.attempts >= c.settings.MaxAttempts {
		c.refuse(call, ReasonAttemptsSpent, ScopeCall)
		return true
	}
	destination := c.peers[call.Destination]
	if destination == nil || destination == c.ownExchange && !c.settings.Pools {
		return c.keepWaiting(call, ReasonNotInService, ScopeExchange)
	}
	request := routeRequest{
		call.Destination, call.Class, call.Width, call.worth, call.Transit, call.tandemAttempts,
	}
	if cause, blocked := c.blockedRoutes[request]; blocked {
		return c.keepWaiting(call, cause.Reason, cause.Scope)
	}
	reason, scope := c.directBlocked(call, destination)
	if reason == "" {
		c.startAttempt(call, destination, false)
		return true
	}
	if call.Transit && (scope != ScopeGroup || destination.circuitsKnown && destination.groupSize == 0) {
		c.refuse(call, reason, scope) // waiting only adds to the load, and a missing group stays missing
		return true
	}
	if tandem := c.selectTandem(call, destination, reason); tandem != nil {
		c.recordVerdict(call, ReasonRerouted, scope, tandem.number)
		c.startAttempt(call, tandem, true)
		return true
	}
	c.blockedRoutes[request] = blockCause{reason, scope}
	return c.keepWaiting(call, reason, scope)
}

// directBlocked returns why the direct route is closed to a call, or "" if it
// is open.
func (c *Controller) directBlocked(call *activeCall, destination *peerExchange) (Reason, Scope) {
	if reason, scope := c.setupBlocked(call, destination); reason != "" {
		return reason, scope
	}
	reserve := c.highValueReserve(call, destination)
	if call.Transit {
		reserve = max(reserve, c.unusedReserve(destination))
	}
	if destination.circuitsKnown && destination.freeCircuits < call.Width+reserve {
		return ReasonNoCircuit, ScopeGroup
	}
	return "", ""
}

// setupBlocked returns why no set-up may be sent to a peer now, or "" if one
// may: service state, the budget of a cold processor, or a full window.
func (c *Controller) setupBlocked(call *activeCall, peer *peerExchange) (Reason, Scope) {
	switch {
	case peer.state != InService:
		return ReasonNotInService, ScopeExchange
	case c.warmingUp(peer) && peer.coldTokens < 1:
		return ReasonColdProcessor, ScopeExchange
	case c.ownExchange != nil && c.warmingUp(c.ownExchange) && c.ownExchange.coldTokens < 1:
		return ReasonColdProcessor, ScopeOwnExchange
	}
	extra := 0.0 // added to the windows for a high-value call
	if call.worth > c.meanWorth {
		extra = 1
	}
	if c.pendingSetups > 0 && float64(c.pendingSetups+1) > c.window+extra {
		return ReasonOverload, ScopeOwnExchange
	}
	window := peer.window
	if c.now-peer.reductionAt < reductionLifetime {
		window *= 1 - peer.reduction
	}
	window += extra
	if call.worth < c.classOf(call).Worth {
		window /= 2
	}
	if c.now < peer.blockedUntil || peer.pendingSetups > 0 && float64(peer.pendingSetups+1) > window {
		if peer.lossesInRow >= c.lossThreshold(peer) {
			return ReasonUnresponsive, ScopeExchange // a pending set-up serves as a test
		}
		return ReasonOverload, ScopeExchange
	}
	return "", ""
}
