package routing

import (
	"cmp"
	"slices"
)

const lowestValueInterval = 5 // high-value calls served before a waiting call of the lowest value gets a turn

// serveQueue tries to route the waiting calls and answers those whose wait is
// over.
func (c *Controller) serveQueue() {
	clear(c.blockedRoutes)
	c.expireCalls()
	c.sortQueue()
	if lowest := c.lowestValueCall(); lowest != nil && c.highValueServed >= lowestValueInterval {
		c.tryRoutes(lowest) // ahead of calls of higher value
	}
	waiting := c.queue[:0]
	for _, call := range c.queue {
		if call.state == stateWaiting && !c.tryRoutes(call) {
			waiting = append(waiting, call)
		}
	}
	c.queue = waiting
	c.armTimer()
}

// lowestValueCall returns the own call of the lowest value that has waited
// longest. Circuits are withheld for it only while it waits.
func (c *Controller) lowestValueCall() *activeCall {
	var lowest *activeCall
	for _, call := range c.queue {
		if call.state != stateWaiting || call.Transit {
			continue
		}
		if lowest == nil || call.worth < lowest.worth ||
			call.worth == lowest.worth && call.arrivedAt < lowest.arrivedAt {
			lowest = call
		}
	}
	return lowest
}

// sortQueue puts own calls before transit calls. Transit calls are ordered by
// source: first the source furthest below its minimum share of the group, then
// the one with the fewest circuits in use. Among own calls and within a source,
// calls of higher value come first.
func (c *Controller) sortQueue() {
	slices.SortStableFunc(c.queue, func(a, b *activeCall) int {
		switch {
		case a.Transit && !b.Transit:
			return 1
		case b.Transit && !a.Transit:
			return -1
		case a.Transit && a.Via != b.Via:
			shortfallA, inUseA := c.transitShortfall(a)
			shortfallB, inUseB := c.transitShortfall(b)
			return cmp.Or(shortfallB-shortfallA, inUseA-inUseB, a.Via-b.Via)
		}
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.arrivedAt, b.arrivedAt))
	})
}

// transitShortfall returns how many circuits the source of a transit call lacks
// to its minimum share of the group to the destination, and how many it uses
// there.
func (c *Controller) transitShortfall(call *activeCall) (int, int) {
	peer := c.peers[call.Destination]
	if peer == nil {
		return 0, 0
	}
	return max(max(1, peer.groupSize/(4*max(len(c.peersByNumber), 1)))-peer.transitCircuits[call.Via], 0),
		peer.transitCircuits[call.Via]
}
