package interwork

import (
	"slices"
	"time"
)

// The machine of an exchange that hangs still completes connections and takes data. Only a message shows that the
// exchange works, so the time without one is counted from the first set-up, ping or connect that it has not answered.

// noteAsked records that something was sent to an exchange that it has to answer.
func (c *Core) noteAsked(peer *peerExchange) {
	if peer.silentSince == 0 {
		peer.silentSince = c.now
	}
}

// noteSilence starts the time of silence of an exchange that no link leads to, and ends it where no call depends
// on the exchange.
func (c *Core) noteSilence(peer *peerExchange, counts linkCounts) {
	switch {
	case len(peer.calls) == 0:
		peer.silentSince = 0
	case counts.up == 0:
		c.noteAsked(peer)
	}
}

// silence returns for how long an exchange has answered nothing.
func (c *Core) silence(peer *peerExchange) time.Duration {
	if peer.silentSince == 0 {
		return 0
	}
	return c.now - peer.silentSince
}

// isUnresponsive reports whether an exchange has been silent for so long that its calls are over. A link that came up
// within that time is still pinged and has its time to answer.
func (c *Core) isUnresponsive(peer *peerExchange) bool {
	const timeToTestLink = pingDelayEstablished + pingTimeout
	silence := c.silence(peer)
	if len(peer.calls) == 0 || silence <= unresponsiveTimeout {
		return false
	}
	isTested := func(link *peerLink) bool { return link.up && c.now-link.upAt <= timeToTestLink }
	return silence > unresponsiveTimeout+timeToTestLink || !slices.ContainsFunc(peer.links, isTested)
}
