package interwork

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
)

// peerExchange is an exchange of the list, with the connections to it.
type peerExchange struct {
	srvlist.Entry
	id          uint32 // in the module
	links       []*peerLink
	waiting     []*callAttempt // for a link
	calls       map[uint64]*activeCall
	pendingByes []byeRequest // to be said once a link is up
	removed     bool
	lastReport  brain.Report // of the group, the last

	lastHeardAt     time.Duration // last sign of life
	exclusiveUntil  time.Duration // until then set-ups share no connection
	connectFailures int           // tries to connect in a row that came to nothing
	refusingSince   time.Duration // since when it refuses connections, 0 if it does not
	retryAt         time.Duration
}

type byeRequest struct {
	id     uint64
	callID string
	cause  byte
}

// maxPendingByes bounds what is kept to be said to an exchange that can't be reached.
const maxPendingByes = 4096

// peerLink is a connection to an exchange.
type peerLink struct {
	id          LinkID
	peer        *peerExchange
	up          bool
	pending     []*callAttempt
	suspect     bool          // no new set-ups until a test has passed
	lastHeardAt time.Duration // last message, or when it came up
	pingSentAt  time.Duration // when a test went out that is not answered, 0 if none is
	lastUsedAt  time.Duration
	dialedAt    time.Duration
}

func withoutRemoved(peers []*peerExchange) []*peerExchange {
	return slices.DeleteFunc(peers, func(peer *peerExchange) bool { return peer.removed })
}

// clockTime maps the start of an exchange to the clock: 0 is long ago.
func (c *Core) clockTime(born int64) time.Duration {
	if born == 0 {
		return 0
	}
	return max(time.Duration(born*int64(time.Millisecond)-c.cfg.EpochUnixNano), 0)
}

func (c *Core) handleExchangeListUpdate(in ExchangeListUpdate) {
	var rows []brain.Exchange
	for _, entry := range in.Changes {
		peer := c.peersByName[entry.Name]
		if peer == nil {
			if entry.State == brain.Out {
				continue
			}
			c.lastPeerID++
			peer = &peerExchange{Entry: entry, id: c.lastPeerID, calls: map[uint64]*activeCall{}, lastHeardAt: c.now}
			c.peersByName[entry.Name], c.peersByID[peer.id] = peer, peer
			c.peers = append(c.peers, peer)
			c.listedNumbers[entry.Number] = true
		}
		previous := peer.Entry
		peer.Entry = entry
		c.log(slog.LevelInfo, "exchange", "name", entry.Name, "cell", entry.Number, "state", entry.State, "born", entry.StartUnixMilli, "addr", entry.Addr)
		rows = append(rows, brain.Exchange{ID: peer.id, Cell: entry.Number, State: entry.State, Since: c.clockTime(entry.StartUnixMilli)})
		c.applyEntryChange(peer, previous)
	}
	c.notifyModule(brain.Exchanges{Complete: in.Complete, Entries: rows})
	for _, entry := range in.Changes { // once the module knows
		if peer := c.peersByName[entry.Name]; peer != nil && entry.State == brain.Out {
			c.removePeer(peer)
		} else if peer != nil {
			c.maintainLinks(peer)
		}
	}
}

// applyEntryChange follows what the list says of an exchange that is known: its links, its calls.
func (c *Core) applyEntryChange(peer *peerExchange, previous srvlist.Entry) {
	if peer.StartUnixMilli != previous.StartUnixMilli || peer.Addr != previous.Addr {
		// another process: the calls of the one before are over
		c.endCallsBefore(peer, c.clockTime(peer.StartUnixMilli), "started again")
		for _, link := range slices.Clone(peer.links) {
			if link.dialedAt < c.clockTime(peer.StartUnixMilli) || peer.Addr != previous.Addr {
				c.closeLink(link, "of before the exchange's start")
			}
		}
		peer.connectFailures, peer.retryAt, peer.refusingSince, peer.lastHeardAt = 0, 0, 0, c.now
	}
	if (peer.State == brain.In) != (previous.State == brain.In) {
		for _, link := range peer.links {
			c.emit(HoldSetUps{link.id, peer.State != brain.In})
		}
	}
	if peer.State == brain.In {
		return
	}
	for _, attempt := range slices.Clone(peer.waiting) { // nothing new goes there
		c.removeAttempt(attempt)
		c.reportEnded(attempt, brain.Ended{Outcome: brain.Moot})
	}
}

func (c *Core) removePeer(peer *peerExchange) {
	c.endCallsBefore(peer, c.now+1, "gone")
	for _, link := range slices.Clone(peer.links) {
		c.closeLink(link, "exchange gone")
	}
	peer.removed = true
	delete(c.peersByName, peer.Name)
	delete(c.peersByID, peer.id)
}

// isKnownDestination tells whether a number is an exchange's: one that was ever listed, or one of the controllers'
// own exchanges; any, while no list was told. Whether it can be reached now is the module's to say:
// one that is off the list for a while is no fault of the caller, who may come back.
func (c *Core) isKnownDestination(cell int) bool {
	return cell >= 0 && (c.listedNumbers[cell] || len(c.listedNumbers) == 0 || !c.cfg.Settings.Pools && cell < c.cfg.Settings.Controllers)
}

// endCallsBefore ends the calls that stood at an exchange before a time.
func (c *Core) endCallsBefore(peer *peerExchange, before time.Duration, why string) {
	n := 0
	for _, id := range slices.Sorted(maps.Keys(peer.calls)) {
		if call := peer.calls[id]; call.establishedAt < before {
			n++
			c.Stats.Forgotten++
			c.releaseAtPeer(peer, call.id, call.callID, isup.TemporaryFailure)
			c.endEstablishedCall(call, brain.Reset, isup.TemporaryFailure, false)
		}
	}
	if n > 0 {
		c.log(slog.LevelWarn, "calls over", "exchange", peer.Name, "why", why, "calls", n)
	}
}

// maintainLinks sees to the connections to an exchange: enough of them, none that is silent.
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
	upCount, busy, dialing, out, spent := 0, 0, 0, len(peer.waiting), 0
	for _, link := range peer.links { // what the tests have left
		if !link.up {
			dialing++
			continue
		}
		upCount++
		out += len(link.pending)
		if link.suspect {
			spent++
		}
		if len(link.pending) > 0 || link.suspect {
			busy++
		}
	}
	switch {
	case peer.refusingSince > 0 && c.now-peer.refusingSince > refusingTimeout && upCount == 0:
		c.endCallsBefore(peer, c.now+1, "refuses connections")
	case c.now-peer.lastHeardAt > unresponsiveTimeout && len(peer.calls) > 0:
		c.endCallsBefore(peer, c.now+1, "silent")
	}
	want := max((out+setUpsPerLink-1)/setUpsPerLink, 1) + spent
	if c.now < peer.exclusiveUntil {
		want = busy + 1
	}
	want = min(want, c.maxLinksPerPeer())
	if peer.State != brain.In {
		want = 1
	}
	if peer.connectFailures > 0 {
		want = min(want, upCount+1)
		if c.now < peer.retryAt {
			want = upCount
		}
	}
	for n := upCount + dialing; n < want && (len(c.links) < c.cfg.MaxLinks || n == 0 && c.closeIdlestLink(len(peer.waiting) > 0)); n++ {
		c.dialPeer(peer)
	}
	if upCount > want { // the longest unused goes
		var link *peerLink
		for _, other := range peer.links {
			if other.up && len(other.pending) == 0 && c.now-other.lastUsedAt > idleTimeout && (link == nil || other.lastUsedAt < link.lastUsedAt) {
				link = other
			}
		}
		if link != nil {
			c.closeLink(link, "not needed")
		}
	}
}

// nearIdleTimeout tells whether a link has been idle for so long that the exchange may be about to close it:
// a set-up that crosses that close is unclear.
func (c *Core) nearIdleTimeout(link *peerLink) bool {
	return c.cfg.ExchangeIdleTimeout > 0 && len(link.pending) == 0 && link.pingSentAt == 0 && c.now-link.lastUsedAt >= c.cfg.ExchangeIdleTimeout-min(c.cfg.ExchangeIdleTimeout/4, maxIdleCloseMargin)
}

// maxLinksPerPeer is how many connections one exchange may have: the list may grow beyond that of the start.
func (c *Core) maxLinksPerPeer() int {
	return min(max(c.cfg.MaxLinks/max(len(c.peers), 1), 1), maxLinksToPeer)
}

// closeIdlestLink closes the link that was idle the longest: one of several to its exchange or, where a
// set-up needs the room, any.
func (c *Core) closeIdlestLink(needed bool) bool {
	var idlest *peerLink
	for _, peer := range c.peers {
		for _, link := range peer.links {
			if link.up && len(link.pending) == 0 && link.pingSentAt == 0 && (needed || len(peer.links) > 1) && (idlest == nil || link.lastUsedAt < idlest.lastUsedAt) {
				idlest = link
			}
		}
	}
	if idlest != nil {
		c.closeLink(idlest, "its descriptor is needed")
	}
	return idlest != nil
}

// checkLiveness asks a quiet link with work on it for a sign of life, and gives up one that gave none.
func (c *Core) checkLiveness(link *peerLink) {
	if link.pingSentAt > 0 {
		if c.now-link.pingSentAt >= pingTimeout {
			c.Stats.TestsLost++
			c.closeLink(link, "silent")
		}
		return
	}
	wait := pingDelayPending
	if len(link.pending) == 0 && !link.suspect {
		if wait = pingDelayEstablished; len(link.peer.calls) == 0 {
			return
		}
	}
	if c.now-max(link.lastHeardAt, link.lastUsedAt) >= wait {
		c.sendPing(link)
	}
}

func (c *Core) sendPing(link *peerLink) {
	if link.pingSentAt > 0 {
		return
	}
	link.pingSentAt = c.now
	c.Stats.Tests++
	c.emit(SendToExchange{link.id, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: fmt.Sprintf("%016x", uint64(link.id)), Seq: 1, Of: sip.Options}, 1 << 62})
}

func (c *Core) dialPeer(peer *peerExchange) {
	c.lastLinkID++
	link := &peerLink{id: c.lastLinkID, peer: peer, dialedAt: c.now}
	c.links[link.id] = link
	peer.links = append(peer.links, link)
	c.emit(Dial{link.id, peer.Addr, c.cfg.ConnectTimeout})
}

func (c *Core) handleLinkUp(id LinkID) {
	link := c.links[id]
	if link == nil {
		c.emit(CloseLink{Link: id, Reason: "not wanted any more", Idle: true})
		return
	}
	peer := link.peer
	link.up, link.lastHeardAt, link.lastUsedAt = true, c.now, c.now
	peer.lastHeardAt, peer.connectFailures, peer.refusingSince, peer.retryAt = c.now, 0, 0, 0
	if peer.State != brain.In {
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

func (c *Core) handleLinkDown(in LinkDown) {
	link := c.links[in.Link]
	if link == nil {
		return
	}
	peer, wasUp := link.peer, link.up
	c.removeLink(link)
	if !wasUp {
		peer.connectFailures++
		peer.retryAt = c.now + c.retry.Gap(peer.connectFailures)
		switch {
		case !in.Refused:
			peer.refusingSince = 0
		case peer.refusingSince == 0:
			peer.refusingSince = c.now
		}
	}
	c.resetPending(link)
	if !wasUp && c.pickLink(peer, nil) == nil {
		for _, attempt := range slices.Clone(peer.waiting) {
			c.Stats.NoConnect++
			c.removeAttempt(attempt)
			c.reportEnded(attempt, brain.Ended{Outcome: brain.NoConnect})
		}
	}
	c.maintainLinks(peer)
}

func (c *Core) removeLink(link *peerLink) {
	delete(c.links, link.id)
	link.peer.links = slices.DeleteFunc(link.peer.links, func(other *peerLink) bool { return other == link })
	link.up = false
}

// closeLink closes a link; what was out on it is unclear.
func (c *Core) closeLink(link *peerLink, why string) {
	c.removeLink(link)
	c.emit(CloseLink{Link: link.id, Reason: why, Idle: len(link.pending) == 0 && link.pingSentAt == 0})
	c.log(slog.LevelDebug, "link dropped", "exchange", link.peer.Name, "link", link.id, "why", why, "open", len(link.pending))
	c.resetPending(link)
}

// resetPending ends what was out on a link that is over. The exchange gives it up as it sees the end; if
// it had answered, the call is hung up on the next link.
func (c *Core) resetPending(link *peerLink) {
	if len(link.pending) > 0 {
		link.peer.exclusiveUntil = c.now + exclusiveLinkPeriod
	}
	for _, attempt := range slices.Clone(link.pending) {
		c.Stats.Resets++
		c.releaseAtPeer(link.peer, attempt.call.id, attempt.call.callID, isup.TemporaryFailure)
		c.removeAttempt(attempt)
		c.reportEnded(attempt, brain.Ended{Outcome: brain.Reset})
	}
}

// pickLink is the link for a set-up: the one with least on it, rather not a given one; nil if none is up.
func (c *Core) pickLink(peer *peerExchange, avoid *peerLink) *peerLink {
	var best *peerLink
	for _, link := range peer.links {
		bad, badBest := link.suspect || link == avoid, best != nil && (best.suspect || best == avoid)
		switch {
		case !link.up:
		case best == nil, badBest && !bad, bad == badBest && len(link.pending) < len(best.pending):
			best = link
		}
	}
	return best
}

// releaseAtPeer ends a call at an exchange, now or when it can be reached.
func (c *Core) releaseAtPeer(peer *peerExchange, id uint64, name string, cause byte) {
	if peer == nil || peer.removed {
		return
	}
	bye := byeRequest{id, name, cause}
	if link := c.pickLink(peer, nil); link != nil {
		c.sendBye(link, bye)
	} else if len(peer.pendingByes) < maxPendingByes {
		peer.pendingByes = append(peer.pendingByes, bye)
	} else {
		c.Stats.ByesShed++
	}
}

func (c *Core) sendBye(link *peerLink, bye byeRequest) {
	msg := &sip.Message{Method: sip.Bye, URI: "sip:" + bye.callID + "@net", CallID: bye.callID, Seq: 2, Of: sip.Bye}
	c.emit(SendToExchange{link.id, msg.Put("Reason", sip.Reason(bye.cause)), 1 << 62})
}
