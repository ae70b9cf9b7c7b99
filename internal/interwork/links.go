package interwork

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
	"dahliaspindle/routing"
)

// peerLink is a connection to an exchange.
type peerLink struct {
	id          LinkID
	peer        *peerExchange
	up          bool
	pending     []*callAttempt // attempts in flight
	suspect     bool           // used for new set-ups only if no other link is up, until a ping is answered
	lastHeardAt time.Duration  // last message, or connect
	pingSentAt  time.Duration  // time of the unanswered ping, 0 if none
	lastUsedAt  time.Duration  // last set-up sent, or connect
	usedForCall bool           // a set-up was sent on it
	dialedAt    time.Duration
	upAt        time.Duration

	unconfirmedByes []sentBye // oldest first
}

// linkCounts describes the links to an exchange and the set-ups that need them.
type linkCounts struct {
	up, dialing   int
	busy, suspect int // of those that are up: with attempts in flight or suspect; suspect
	attempts      int // in flight and waiting
}

// countLinks counts the links to an exchange.
func countLinks(peer *peerExchange) (counts linkCounts) {
	counts.attempts = len(peer.waiting)
	for _, link := range peer.links {
		if !link.up {
			counts.dialing++
			continue
		}
		counts.up++
		counts.attempts += len(link.pending)
		if link.suspect {
			counts.suspect++
		}
		if len(link.pending) > 0 || link.suspect {
			counts.busy++
		}
	}
	return counts
}

// maintainLinks closes idle and unresponsive links to an exchange, ends its calls if it is unreachable, and
// dials or closes links to match the set-ups in flight and waiting.
func (c *Core) maintainLinks(peer *peerExchange) {
	if peer.removed {
		return
	}
	for _, link := range slices.Clone(peer.links) {
		if link.up && c.nearIdleTimeout(link) {
			c.closeLink(link, "idle")
		} else if link.up {
			c.checkLiveness(link)
		}
	}
	c.scheduleReopening(peer)
	c.endCallsOfIdleGroup(peer)
	counts := countLinks(peer)
	c.noteSilence(peer, counts)
	switch {
	case peer.refusingSince > 0 && c.now-peer.refusingSince > refusingTimeout && counts.up == 0:
		c.endCallsBefore(peer, c.now+1, "refuses connections")
	case c.isUnresponsive(peer):
		c.endCallsBefore(peer, c.now+1, "unresponsive")
	}
	wanted := c.wantedLinks(peer, counts)
	for n := counts.up + counts.dialing; n < wanted && c.makeRoomForLink(peer, n); n++ {
		c.dialPeer(peer)
	}
	if counts.up > wanted {
		c.closeSurplusLink(peer)
	}
}

// makeRoomForLink reports whether a link may be added to the linkCount links to an exchange. At the limit, an idle
// link is closed for one that cannot be done without.
func (c *Core) makeRoomForLink(peer *peerExchange, linkCount int) bool {
	switch {
	case len(c.links) < c.cfg.MaxLinks:
		return true
	case linkCount == 0:
		return c.closeIdlestLink(len(peer.waiting) > 0)
	default:
		return c.needsNewLink(peer) && (c.closeIdlestLink(false) || c.closeIdleLinkOf(peer))
	}
}

// wantedLinks returns the number of links to an exchange that there should be.
func (c *Core) wantedLinks(peer *peerExchange, counts linkCounts) int {
	wanted := max((counts.attempts+setUpsPerLink-1)/setUpsPerLink, 1) + counts.suspect
	if c.now < peer.exclusiveUntil {
		wanted = counts.busy + 1
	}
	wanted = min(wanted, c.maxLinksPerPeer())
	if peer.State != routing.InService {
		wanted = 1
	}
	if peer.connectFailures > 0 {
		wanted = min(wanted, counts.up+1)
		if c.now < peer.retryAt {
			wanted = counts.up
		}
	}
	if c.needsNewLink(peer) && (peer.connectFailures == 0 || c.now >= peer.retryAt) {
		wanted = max(wanted, counts.up+counts.dialing+1)
	}
	return wanted
}

// closeSurplusLink closes the link to an exchange that has been unused the longest, if that is long enough.
func (c *Core) closeSurplusLink(peer *peerExchange) {
	var idlest *peerLink
	for _, link := range peer.links {
		if link.up && len(link.pending) == 0 && c.now-link.lastUsedAt > idleTimeout &&
			(idlest == nil || link.lastUsedAt < idlest.lastUsedAt) {
			idlest = link
		}
	}
	if idlest != nil {
		c.closeLink(idlest, "not needed")
	}
}

// nearIdleTimeout reports whether a link has been idle so long that the exchange may be about to close it.
// The outcome of a set-up that crosses the close would be unknown.
func (c *Core) nearIdleTimeout(link *peerLink) bool {
	return c.cfg.ExchangeIdleTimeout > 0 && len(link.pending) == 0 && link.pingSentAt == 0 &&
		c.now-link.lastUsedAt >= c.cfg.ExchangeIdleTimeout-min(c.cfg.ExchangeIdleTimeout/4, maxIdleCloseMargin)
}

// maxLinksPerPeer returns the share of one exchange in the allowed links. It is computed from the current
// list, which may be longer than at the start.
func (c *Core) maxLinksPerPeer() int {
	return min(max(c.cfg.MaxLinks/max(len(c.peers), 1), 1), maxLinksToPeer)
}

// closeIdlestLink closes the link that was idle the longest and reports whether there was one. The last
// link to an exchange is closed only if the descriptor is needed for a set-up.
func (c *Core) closeIdlestLink(forSetUp bool) bool {
	var idlest *peerLink
	for _, peer := range c.peers {
		for _, link := range peer.links {
			if link.isIdle() && (forSetUp || len(peer.links) > 1) &&
				(idlest == nil || link.lastUsedAt < idlest.lastUsedAt) {
				idlest = link
			}
		}
	}
	if idlest != nil {
		c.closeLink(idlest, "descriptor needed for another link")
	}
	return idlest != nil
}

// checkLiveness pings a link with an unanswered BYE and a quiet link that has attempts in flight, is suspect or
// leads to an exchange with established calls, and closes a link whose ping was not answered in time.
func (c *Core) checkLiveness(link *peerLink) {
	if link.pingSentAt > 0 {
		if c.now-link.pingSentAt >= pingTimeout {
			c.Stats.TestsLost++
			c.closeLink(link, "unresponsive")
		}
		return
	}
	if c.isByeOverdue(link) {
		c.sendPing(link)
		return
	}
	pingDelay := pingDelayPending
	if len(link.pending) == 0 && !link.suspect {
		if pingDelay = pingDelayEstablished; len(link.peer.calls) == 0 {
			return
		}
	}
	if c.now-max(link.lastHeardAt, link.lastUsedAt) >= pingDelay {
		c.sendPing(link)
	}
}

// sendPing sends an OPTIONS request unless one is unanswered already.
func (c *Core) sendPing(link *peerLink) {
	if link.pingSentAt > 0 {
		return
	}
	link.pingSentAt = c.now
	c.noteAsked(link.peer)
	link.markByesBeforePing()
	c.Stats.Tests++
	c.emit(SendToExchange{link.id, &sip.Message{
		Method:     sip.Options,
		URI:        "sip:ping@net",
		CallID:     fmt.Sprintf("%016x", uint64(link.id)),
		CSeq:       1,
		CSeqMethod: sip.Options,
	}, 1 << 62})
}

// dialPeer opens a new link to an exchange.
func (c *Core) dialPeer(peer *peerExchange) {
	c.lastLinkID++
	link := &peerLink{id: c.lastLinkID, peer: peer, dialedAt: c.now}
	c.links[link.id] = link
	peer.links = append(peer.links, link)
	c.emit(Dial{link.id, peer.Addr, c.cfg.ConnectTimeout})
}

// handleLinkUp sends the pending BYEs and then the waiting set-ups on a link that came up.
func (c *Core) handleLinkUp(id LinkID) {
	link := c.links[id]
	if link == nil {
		c.emit(CloseLink{Link: id, Reason: "no longer needed", Idle: true})
		return
	}
	peer := link.peer
	link.up, link.upAt, link.lastHeardAt, link.lastUsedAt = true, c.now, c.now, c.now
	c.noteLinkOpened(link)
	peer.connectFailures, peer.refusingSince, peer.retryAt = 0, 0, 0
	if peer.State != routing.InService {
		c.emit(HoldSetUps{link.id, true})
	}
	byes := peer.pendingByes
	peer.pendingByes = nil
	for _, bye := range byes {
		c.sendBye(link, bye)
	}
	waiting := peer.waiting
	peer.waiting = nil
	for _, attempt := range waiting {
		c.sendSetUp(attempt, c.pickLink(peer, c.recentEndings[attempt.call.id].withdrawnLink))
	}
	c.maintainLinks(peer)
}

// handleLinkDown handles the end of a link or a failed dial. If no link is up after a failed dial, the
// waiting attempts end.
func (c *Core) handleLinkDown(in LinkDown) {
	if peer := c.closingLinks[in.Link]; peer != nil {
		delete(c.closingLinks, in.Link)
		if in.Unconfirmed {
			c.noteLostLink(peer, true)
			c.maintainLinks(peer)
		}
	}
	link := c.links[in.Link]
	if link == nil {
		return
	}
	peer, wasUp := link.peer, link.up
	c.removeLink(link)
	if wasUp {
		c.noteLostLink(peer, in.Unconfirmed)
	} else {
		peer.connectFailures++
		peer.retryAt = c.now + c.retry.Delay(peer.connectFailures)
		switch {
		case !in.Refused:
			peer.refusingSince = 0
		case peer.refusingSince == 0:
			peer.refusingSince = c.now
		}
	}
	c.resetPending(link)
	if !wasUp && c.pickLink(peer, nil) == nil {
		c.Stats.NoConnect += len(peer.waiting)
		c.endAttempts(slices.Clone(peer.waiting), routing.OutcomeUnreachable)
	}
	c.maintainLinks(peer)
}

// removeLink removes a link from the tables. BYEs that may have been lost with it are sent again.
func (c *Core) removeLink(link *peerLink) {
	delete(c.links, link.id)
	link.peer.links = slices.DeleteFunc(link.peer.links, func(other *peerLink) bool { return other == link })
	if link.up {
		link.up = false
		c.noteLastLinkLost(link.peer)
	}
	c.resendByes(link)
}

// closeLink closes a link. The attempts in flight on it end with an unknown outcome at the exchange.
func (c *Core) closeLink(link *peerLink, reason string) {
	idle := len(link.pending) == 0 && link.pingSentAt == 0
	switch {
	case link.up && idle:
		c.closingLinks[link.id] = link.peer
		c.noteIdleClose(link)
	case link.up:
		c.noteLostLink(link.peer, true)
	}
	c.removeLink(link)
	c.emit(CloseLink{Link: link.id, Reason: reason, Idle: idle})
	c.log(slog.LevelDebug, "link dropped", "exchange", link.peer.Name, "link", link.id, "why", reason,
		"open", len(link.pending))
	c.resetPending(link)
}

// resetPending ends the attempts in flight on a link that is closed. The exchange abandons them when it
// sees the close; a call that it had answered is released with a BYE on another link.
func (c *Core) resetPending(link *peerLink) {
	if len(link.pending) > 0 {
		link.peer.exclusiveUntil = c.now + exclusiveLinkPeriod
	}
	for _, attempt := range link.pending {
		c.Stats.Resets++
		c.releaseAtPeer(link.peer, attempt.call.id, attempt.call.callID, isup.TemporaryFailure)
	}
	c.endAttempts(slices.Clone(link.pending), routing.OutcomeReset)
}

// pickLink returns the link with the fewest attempts in flight, or nil if none is up. A suspect link and
// the link to avoid are returned only if there is no other.
func (c *Core) pickLink(peer *peerExchange, avoid *peerLink) *peerLink {
	var best *peerLink
	for _, link := range peer.links {
		avoidLink, avoidBest := link.suspect || link == avoid, best != nil && (best.suspect || best == avoid)
		switch {
		case !link.up:
		case best == nil, avoidBest && !avoidLink, avoidLink == avoidBest && len(link.pending) < len(best.pending):
			best = link
		}
	}
	return best
}
