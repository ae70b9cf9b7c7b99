package routing

import "time"

const (
	minSecondLegBlock = 3 * time.Second        // a tandem is skipped this long after its first crankback
	maxSecondLegBlock = 12 * time.Second       // upper bound; the time doubles with each crankback
	secondLegValidity = 500 * time.Millisecond // how long a confirmation of a second leg counts
)

// secondLegState is what is known of the way from a tandem to one destination:
// until when it is skipped after a crankback, and until when it counts as
// confirmed by routing advice or by a call established over it.
type secondLegState struct{ blockedUntil, blockTime, confirmedUntil time.Duration }

// secondLeg returns the state of the second leg to a destination and creates it
// if there is none.
func (p *peerExchange) secondLeg(destination int) *secondLegState {
	if p.secondLegs[destination] == nil {
		p.secondLegs[destination] = &secondLegState{}
	}
	return p.secondLegs[destination]
}

// knownSecondLeg returns a copy of the state of the second leg to a
// destination, the zero state if there is none.
func (p *peerExchange) knownSecondLeg(destination int) secondLegState {
	if leg := p.secondLegs[destination]; leg != nil {
		return *leg
	}
	return secondLegState{}
}

// blockSecondLeg skips the tandem for a destination, for twice as long each
// time in a row. It saves the work of calls that would only get to the tandem,
// whatever blocks the second leg. Calls are lost needlessly when the second leg
// clears soon after.
func (p *peerExchange) blockSecondLeg(destination int, now time.Duration) {
	leg := p.secondLeg(destination)
	if now-leg.blockedUntil > maxSecondLegBlock {
		leg.blockTime = 0
	}
	leg.blockTime = min(max(2*leg.blockTime, minSecondLegBlock), maxSecondLegBlock)
	leg.blockedUntil, leg.confirmedUntil = now+leg.blockTime, 0
}
