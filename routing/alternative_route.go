package routing

import "slices"

const (
	maxTandemAttempts      = 2   // for one call
	tandemCreditPerSuccess = 2.0 // attempts earned by a call established over a tandem
	tandemCreditPerCall    = 0.1 // attempts earned by every own call
	maxTandemCredit        = 8.0 // attempts
)

// selectTandem returns the tandem for a call whose direct route is blocked, or
// nil: of the tandems with a confirmed second leg, or else of all, the one whose
// group from here has the most free circuits beyond its reserve.
//
// A call over a tandem loads a third processor. Tandems are therefore used when
// circuits are lacking or when the direct route is unresponsive, as when two
// exchanges have lost contact with each other, and not when processors are
// overloaded. Confirmed second legs come first because most second legs are
// full or absent where many exchanges share few circuits.
//
// Attempts use up credit that calls established over tandems earn, so that
// cranked back calls cannot load the processors, whatever causes the
// crankbacks. Attempts come too late when many second legs clear at once.
func (c *Controller) selectTandem(call *activeCall, destination *peerExchange, reason Reason) *peerExchange {
	if call.Transit || call.tandemAttempts >= maxTandemAttempts || c.tandemCredit < 1 {
		return nil
	}
	// One failed attempt around an unresponsive direct route blocks the others as well.
	if !c.settings.Pools && (reason != ReasonNoCircuit &&
		(reason != ReasonUnresponsive || c.now < destination.knownSecondLeg(call.Destination).blockedUntil) ||
		destination.groupSize > 0 && (c.decayed(c.ownLoad, c.ownLoadAt) > congestionThreshold ||
			c.decayed(destination.setupTimeRatio, destination.setupTimeAt) > congestionThreshold)) {
		return nil
	}
	var best *peerExchange
	bestConfirmed := false
	// Inexpensive checks come first: at each event this may run for every waiting call.
	for _, tandem := range c.peersByNumber {
		if tandem == destination || tandem == c.ownExchange || !tandem.circuitsKnown ||
			tandem.state != InService || tandem.freeCircuits < call.Width ||
			c.settings.Pools && !slices.Contains(c.classOf(call).Pools, tandem.number) ||
			tandem.freeCircuits-c.unusedReserve(tandem) < call.Width {
			continue
		}
		leg := tandem.knownSecondLeg(call.Destination)
		confirmed := c.now < leg.confirmedUntil
		if best != nil && (bestConfirmed && !confirmed ||
			confirmed == bestConfirmed && tandem.freeCircuits <= best.freeCircuits) ||
			c.now < leg.blockedUntil ||
			c.decayed(tandem.setupTimeRatio, tandem.setupTimeAt) > congestionThreshold {
			continue
		}
		if reason, _ := c.setupBlocked(call, tandem); reason == "" {
			best, bestConfirmed = tandem, confirmed
		}
	}
	return best
}
