package interwork

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/srvlist"
	"dahliaspindle/routing"
)

// peerExchange is an exchange of the exchange list with its links and calls.
type peerExchange struct {
	srvlist.Entry
	id          uint32 // identifies the exchange towards the module
	links       []*peerLink
	waiting     []*callAttempt         // attempts that wait for a link
	calls       map[uint64]*activeCall // established at this exchange
	pendingByes []byeRequest           // to be sent once a link is up
	removed     bool
	lastReport  routing.StatusReport // last known state of the trunk group

	silentSince     time.Duration // start of the time in which it has answered nothing, 0 if none
	exclusiveUntil  time.Duration // until then set-ups do not share links
	connectFailures int           // consecutive failed connection attempts
	refusingSince   time.Duration // start of the current run of refused connections, 0 if none
	retryAt         time.Duration // no connection attempt before
	lastLinkBefore  LinkID        // the last link dialed before one ended on which a release may have been lost, 0 if none

	// unconfirmedCloseAt is when a link was last closed without a sign that the exchange has noticed, 0 if
	// none or if no established call depends on it any more.
	unconfirmedCloseAt time.Duration
	nextReopenAt       time.Duration // when to open a further link after such a close

	lastLinkLostAt time.Duration // when no link was up any more, 0 if that was never so or has been looked into
	idleGroup      endOfIdleGroup
}

// withoutRemoved filters out, in place, the peers that were removed.
func withoutRemoved(peers []*peerExchange) []*peerExchange {
	return slices.DeleteFunc(peers, func(peer *peerExchange) bool { return peer.removed })
}

// clockTime converts the start time of an exchange to the core's clock. 0 stands for a start long ago.
func (c *Core) clockTime(startUnixMilli int64) time.Duration {
	if startUnixMilli == 0 {
		return 0
	}
	return max(time.Duration(startUnixMilli*int64(time.Millisecond)-c.cfg.EpochUnixNano), 0)
}

// handleExchangeListUpdate applies changes of the exchange list and passes them to the module. Peers are
// removed and links are dialed only once the module knows the new list.
func (c *Core) handleExchangeListUpdate(in ExchangeListUpdate) {
	var exchanges []routing.Exchange
	for _, entry := range in.Changes {
		peer := c.peersByName[entry.Name]
		if peer == nil {
			if entry.State == routing.OutOfService {
				continue
			}
			c.lastPeerID++
			peer = &peerExchange{Entry: entry, id: c.lastPeerID, calls: map[uint64]*activeCall{}}
			c.peersByName[entry.Name], c.peersByID[peer.id] = peer, peer
			c.peers = append(c.peers, peer)
			c.listedNumbers[entry.Number] = true
		}
		previous := peer.Entry
		peer.Entry = entry
		c.log(slog.LevelInfo, "exchange", "name", entry.Name, "cell", entry.Number, "state", entry.State,
			"born", entry.StartUnixMilli, "addr", entry.Addr)
		exchanges = append(exchanges, routing.Exchange{
			ID:        peer.id,
			Number:    entry.Number,
			State:     entry.State,
			StartedAt: c.clockTime(entry.StartUnixMilli),
		})
		c.applyEntryChange(peer, previous)
	}
	c.notifyModule(routing.ExchangeListUpdate{Complete: in.Complete, Entries: exchanges})
	for _, entry := range in.Changes { // after the module has been notified
		if peer := c.peersByName[entry.Name]; peer != nil && entry.State == routing.OutOfService {
			c.removePeer(peer)
		} else if peer != nil {
			c.maintainLinks(peer)
		}
	}
}

// applyEntryChange adapts the links, calls and waiting attempts of an exchange to its new list entry.
func (c *Core) applyEntryChange(peer *peerExchange, previous srvlist.Entry) {
	if peer.StartUnixMilli != previous.StartUnixMilli || peer.Addr != previous.Addr {
		// The exchange is another process now: the calls of the previous one are over.
		c.endCallsBefore(peer, c.clockTime(peer.StartUnixMilli), "restarted")
		for _, link := range slices.Clone(peer.links) {
			if link.dialedAt < c.clockTime(peer.StartUnixMilli) || peer.Addr != previous.Addr {
				c.closeLink(link, "exchange restarted")
			}
		}
		peer.connectFailures, peer.retryAt, peer.refusingSince, peer.silentSince = 0, 0, 0, 0
	}
	if (peer.State == routing.InService) != (previous.State == routing.InService) {
		for _, link := range peer.links {
			c.emit(HoldSetUps{link.id, peer.State != routing.InService})
		}
	}
	if peer.State == routing.InService {
		return
	}
	c.endAttempts(slices.Clone(peer.waiting), routing.OutcomeNotSent) // the exchange takes no new calls
}

// removePeer ends the calls at an exchange that left the list and closes its links.
func (c *Core) removePeer(peer *peerExchange) {
	c.endCallsBefore(peer, c.now+1, "removed from the list")
	for _, link := range slices.Clone(peer.links) {
		c.closeLink(link, "exchange removed from the list")
	}
	peer.removed = true
	delete(c.peersByName, peer.Name)
	delete(c.peersByID, peer.id)
}

// isKnownDestination reports whether a number belongs to an exchange: one that was ever listed or one of
// the controllers' own exchanges. While no list has been received, every number that is not negative
// counts as known. Whether the exchange can be reached now is decided by the module: an exchange that is
// off the list for a while is no error of the caller, who may retry.
func (c *Core) isKnownDestination(number int) bool {
	return number >= 0 && (c.listedNumbers[number] || len(c.listedNumbers) == 0 ||
		!c.cfg.Settings.Pools && number < c.cfg.Settings.Controllers)
}

// endCallsBefore ends the calls that were established at an exchange before a time. All of them are removed
// from the exchange before the module is notified of the first: a set-up that it then sends there may make the
// core check the exchange and end its calls.
func (c *Core) endCallsBefore(peer *peerExchange, before time.Duration, reason string) {
	var over []*activeCall
	for _, id := range slices.Sorted(maps.Keys(peer.calls)) {
		if call := peer.calls[id]; call.establishedAt < before {
			over = append(over, call)
			delete(peer.calls, id)
		}
	}
	for _, call := range over {
		c.Stats.Forgotten++
		c.releaseAtPeer(peer, call.id, call.callID, isup.TemporaryFailure)
		c.endEstablishedCall(call, routing.OutcomeReset, isup.TemporaryFailure, false)
	}
	if len(over) > 0 {
		c.log(slog.LevelWarn, "calls over", "exchange", peer.Name, "why", reason, "calls", len(over))
	}
}
