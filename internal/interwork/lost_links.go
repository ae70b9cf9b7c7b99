package interwork

import (
	"log/slog"
	"slices"
	"time"
)

// Exchanges send a release on the link of its set-up or, if they know that it ended, on any open one, and once
// more on the next one that is opened. A release sent on a link that has ended here is lost until then. An
// exchange that did not notice the end of a link, because the network was cut, may send a release there at any
// later time.

// noteLostLink records that a link ended on which a release by the exchange may have been lost. If the exchange
// may not have noticed the end, later releases may be lost as well.
func (c *Core) noteLostLink(peer *peerExchange, unconfirmed bool) {
	if len(peer.calls) == 0 {
		return
	}
	peer.lastLinkBefore = c.lastLinkID
	if unconfirmed {
		peer.unconfirmedCloseAt = c.now
		c.log(slog.LevelDebug, "link closed, perhaps unnoticed by the exchange", "exchange", peer.Name, "standing", len(peer.calls))
	}
}

// noteIdleClose records the close of an idle link. The exchange sends the releases of the calls that were set
// up on it on any link that it believes to be open.
func (c *Core) noteIdleClose(link *peerLink) {
	if link.usedForCall && link.peer.unconfirmedCloseAt > 0 {
		link.peer.unconfirmedCloseAt = c.now
	}
}

// noteLinkOpened records that a link came up: the exchange sends on it the releases that were lost before.
func (c *Core) noteLinkOpened(link *peerLink) {
	if link.id > link.peer.lastLinkBefore {
		link.peer.lastLinkBefore = 0
	}
	link.peer.nextReopenAt = c.now + reopenInterval
}

// scheduleReopening lets another link be opened at regular intervals while a release may be lost on a link
// whose end the exchange has not noticed.
func (c *Core) scheduleReopening(peer *peerExchange) {
	if peer.unconfirmedCloseAt == 0 {
		return
	}
	c.closeReopenedLinks(peer)
	switch {
	case c.now < peer.nextReopenAt:
	case !peer.hasCallsFromBefore(peer.unconfirmedCloseAt):
		peer.unconfirmedCloseAt = 0
	default:
		peer.lastLinkBefore = c.lastLinkID
		peer.nextReopenAt = c.now + reopenInterval
	}
}

// closeReopenedLinks closes the links that were opened for lost releases and used for no set-up, except the
// latest of them.
func (c *Core) closeReopenedLinks(peer *peerExchange) {
	latest := LinkID(0)
	for _, link := range peer.links {
		if link.up {
			latest = max(latest, link.id)
		}
	}
	for _, link := range slices.Clone(peer.links) {
		if link.id != latest && !link.usedForCall && link.isIdle() {
			c.closeLink(link, "replaced by a later link")
		}
	}
}

// needsNewLink reports whether a link has to be opened although others are up, so that the exchange sends the
// releases that may have been lost.
func (c *Core) needsNewLink(peer *peerExchange) bool {
	return peer.lastLinkBefore > 0 && !slices.ContainsFunc(peer.links, func(link *peerLink) bool { return link.id > peer.lastLinkBefore })
}

// closeIdleLinkOf closes an idle link to an exchange and reports whether there was one.
func (c *Core) closeIdleLinkOf(peer *peerExchange) bool {
	index := slices.IndexFunc(peer.links, (*peerLink).isIdle)
	if index < 0 {
		return false
	}
	c.closeLink(peer.links[index], "descriptor needed for another link")
	return true
}

// isIdle reports whether a link is up without attempts in flight or an unanswered ping.
func (link *peerLink) isIdle() bool {
	return link.up && len(link.pending) == 0 && link.pingSentAt == 0
}

// hasCallsFromBefore reports whether a call is established at the exchange that was set up by the given time. An
// adopted call was set up before this process knew it.
func (peer *peerExchange) hasCallsFromBefore(limit time.Duration) bool {
	for _, call := range peer.calls {
		if call.adopted || call.establishedAt <= limit {
			return true
		}
	}
	return false
}
