package interwork

import "time"

// A process that takes the place of another at its address completes connections as the old one did, and nothing in
// its messages names it. It shows in the state of the trunk group: no circuit is in use there, although calls
// should be. That is only looked at after all links were lost, as a process that dies resets its connections.

// endOfIdleGroup is the evidence that the calls from before a time are over.
type endOfIdleGroup struct {
	callsBefore time.Duration // when the last link was lost, 0 without evidence
	reportedAt  time.Duration
}

// noteLastLinkLost records that no link to an exchange is up any more.
func (c *Core) noteLastLinkLost(peer *peerExchange) {
	for _, link := range peer.links {
		if link.up {
			return
		}
	}
	peer.lastLinkLostAt = c.now
}

// noteGroupState looks for evidence in a state of the trunk group: while no circuit is in use, no call from before
// the last loss of all links can stand.
func (c *Core) noteGroupState(peer *peerExchange, freeCircuits, groupSize int) {
	if peer.lastLinkLostAt == 0 || groupSize == 0 || freeCircuits < groupSize || peer.idleGroup.callsBefore == peer.lastLinkLostAt {
		return
	}
	peer.idleGroup = endOfIdleGroup{callsBefore: peer.lastLinkLostAt, reportedAt: c.now}
}

// endCallsOfIdleGroup ends the calls that are over by the state of the trunk group and were not released within
// lostReleaseTimeout of it.
func (c *Core) endCallsOfIdleGroup(peer *peerExchange) {
	evidence := peer.idleGroup
	if evidence.callsBefore == 0 || c.now-evidence.reportedAt < lostReleaseTimeout {
		return
	}
	peer.idleGroup = endOfIdleGroup{}
	if peer.lastLinkLostAt == evidence.callsBefore { // else the links were lost again since
		peer.lastLinkLostAt = 0
	}
	c.endCallsBefore(peer, evidence.callsBefore, "no circuit in use")
}
