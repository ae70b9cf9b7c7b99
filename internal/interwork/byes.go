package interwork

import (
	"slices"
	"time"

	"dahliaspindle/internal/sip"
)

// byeRequest is a BYE to be sent.
type byeRequest struct {
	id      uint64
	callID  string
	cause   byte
	resends int // times that it was sent before
}

// sentBye is a BYE that was sent on a link and may not have arrived.
type sentBye struct {
	byeRequest
	sentAt     time.Duration
	beforePing bool // sent before the ping that is unanswered
}

// maxPendingByes limits the BYEs that are kept for an unreachable exchange, and those on one link that may not
// have arrived.
const maxPendingByes = 4096

// maxByeBackoffs limits how often the time doubles after which the link of an unanswered BYE is pinged.
const maxByeBackoffs = 3

// releaseAtPeer sends a BYE to an exchange, at once or when a link is up. BYEs beyond maxPendingByes are
// dropped and counted.
func (c *Core) releaseAtPeer(peer *peerExchange, id uint64, callID string, cause byte) {
	if peer == nil || peer.removed {
		return
	}
	c.sendOrKeepBye(peer, byeRequest{id: id, callID: callID, cause: cause})
}

// sendOrKeepBye sends a BYE on a link to an exchange, or keeps it until one is up.
func (c *Core) sendOrKeepBye(peer *peerExchange, bye byeRequest) {
	if link := c.pickLink(peer, nil); link != nil {
		c.sendBye(link, bye)
	} else if len(peer.pendingByes) < maxPendingByes {
		peer.pendingByes = append(peer.pendingByes, bye)
	} else {
		c.Stats.ByesShed++
	}
}

// sendBye sends a BYE on a link and keeps it until it has arrived.
func (c *Core) sendBye(link *peerLink, bye byeRequest) {
	msg := &sip.Message{
		Method:     sip.Bye,
		URI:        "sip:" + bye.callID + "@net",
		CallID:     bye.callID,
		CSeq:       2,
		CSeqMethod: sip.Bye,
	}
	c.emit(SendToExchange{link.id, msg.Add("Reason", sip.FormatReason(bye.cause)), 1 << 62})
	if len(link.unconfirmedByes) == maxPendingByes {
		c.Stats.ByesShed++
		link.unconfirmedByes = link.unconfirmedByes[1:]
	}
	link.unconfirmedByes = append(link.unconfirmedByes, sentBye{byeRequest: bye, sentAt: c.now})
}

// confirmBye records that a BYE was answered.
func (link *peerLink) confirmBye(callID string) {
	link.unconfirmedByes = slices.DeleteFunc(link.unconfirmedByes, func(bye sentBye) bool { return bye.callID == callID })
}

// confirmByesBeforePing records that a ping was answered: what was sent before it on the link has arrived.
func (link *peerLink) confirmByesBeforePing() {
	link.unconfirmedByes = slices.DeleteFunc(link.unconfirmedByes, func(bye sentBye) bool { return bye.beforePing })
}

// markByesBeforePing records that a ping is sent after the BYEs that were sent so far.
func (link *peerLink) markByesBeforePing() {
	for i := range link.unconfirmedByes {
		link.unconfirmedByes[i].beforePing = true
	}
}

// isByeOverdue reports whether a BYE has been unanswered for so long that the link must be pinged. The time
// doubles each time it is sent again: while an exchange hangs, each such ping costs a connection.
func (c *Core) isByeOverdue(link *peerLink) bool {
	if len(link.unconfirmedByes) == 0 {
		return false
	}
	oldest := link.unconfirmedByes[0]
	return c.now-oldest.sentAt >= pingDelayEstablished<<min(oldest.resends, maxByeBackoffs)
}

// resendByes sends the BYEs again that may not have arrived on a link that has ended. A call that is established at
// the exchange by now, or is still pending and may be sent there again, is left alone: its set-up could overtake the
// BYE on another link and be released by it.
func (c *Core) resendByes(link *peerLink) {
	byes := link.unconfirmedByes
	link.unconfirmedByes = nil
	if link.peer.removed {
		return
	}
	for _, bye := range byes {
		if call := c.calls[bye.id]; call != nil && (!call.established || call.peer == link.peer) {
			continue
		}
		bye.resends++
		c.sendOrKeepBye(link.peer, bye.byeRequest)
	}
}
