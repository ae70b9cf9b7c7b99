package routing

import (
	"math"
	"time"
)

const (
	baseReserve     = 2   // circuits reserved for direct calls on every group
	highValueFactor = 3.0 // ratio of circuit values above which a class is protected from a call
)

// unusedReserve returns how many circuits of a group must stay free for direct
// calls: the reserve less the direct calls in progress, at least 0.
//
// On a group that was recently full, the reserve follows the direct demand and
// its variation. Lightly used groups stay open to transit.
func (c *Controller) unusedReserve(peer *peerExchange) int {
	reserve := baseReserve
	if c.now-peer.lastFullAt < rateTimeConstant {
		demand := peer.circuitDemand.rate(c.now, c.startedAt)
		reserve = max(reserve, int((demand+math.Sqrt(demand))*c.fullGroupShare()))
	}
	return max(reserve-min(peer.directCircuits, max(peer.groupSize-peer.freeCircuits, 0)), 0)
}

// fullGroupShare returns the share of the groups that were recently full. It is
// computed once for each event time.
func (c *Controller) fullGroupShare() float64 {
	if c.fullShareAt != c.now {
		full, all := 0.0, 1e-9
		for _, peer := range c.peersByNumber {
			if peer.groupSize > 0 {
				all++
				if c.now-peer.lastFullAt < rateTimeConstant {
					full++
				}
			}
		}
		c.fullShareAt, c.fullShare = c.now, full/all
	}
	return c.fullShare
}

// highValueReserve returns how many circuits of a group a call must leave to
// classes whose calls are worth much more per circuit-second: the demand of
// those classes less the circuits that they use.
//
// The reserve protects them when calls of low value, or redials whose aim has
// passed, would fill the group. When a high-value class suddenly stops calling,
// circuits stay idle until the measured demand has decayed.
func (c *Controller) highValueReserve(call *activeCall, peer *peerExchange) int {
	reserve := 0
	own := circuitValue(call.worth, call.Width, c.classOf(call).Holding)
	for i := range peer.classLoads {
		if class := c.settings.Classes[i]; circuitValue(class.Worth, class.Width, class.Holding) >
			highValueFactor*own {
			reserve += max(int(math.Ceil(peer.classLoads[i].demand.rate(c.now, c.startedAt)))-
				peer.classLoads[i].inUse, 0)
		}
	}
	return reserve
}

// circuitValue returns the worth of a call per circuit and second.
func circuitValue(worth float64, width int, holding time.Duration) float64 {
	return worth / (float64(max(width, 1)) * max(holding.Seconds(), 0.001))
}
