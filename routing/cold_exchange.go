package routing

const (
	coldBudgetShare = 0.8  // share of a cold processor's budget that is used
	minColdRate     = 12.0 // least set-ups per second to a cold processor, from all controllers together
)

// warmingUp reports whether the processor of a peer is still cold, and refills
// this controller's share of the set-up budget of a cold one.
//
// The budget is the settings' overload factor times the least capacity that the
// processor may have at its age, relative to the first attempts that it normally
// gets from this controller. The initial number of tokens is random: with a share below
// one set-up, all controllers would otherwise send their first one at the same
// time.
func (c *Controller) warmingUp(peer *peerExchange) bool {
	age := c.now - peer.startedAt
	if peer.startedAt <= 0 || age >= c.settings.ColdFor || c.settings.ColdFor <= 0 {
		return false
	}
	normal := peer.normalRate
	if c.startedAt > peer.startedAt { // the controller started later and has no rate from before
		normal = peer.firstAttemptRate.rate(c.now, c.startedAt)
	}
	capacity := c.settings.ColdFrom + (1-c.settings.ColdFrom)*float64(age)/float64(c.settings.ColdFor)
	rate := coldBudgetShare * c.settings.OverloadFactor * capacity *
		max(normal, min(minColdRate/float64(max(c.settings.Controllers, 1)), 0.5))
	peer.coldTokens = min(peer.coldTokens+rate*(c.now-peer.coldTokensAt).Seconds(),
		max(1, rate*c.settings.OverloadFor.Seconds()/4))
	peer.coldTokensAt = c.now
	return true
}
