package interwork

import (
	"dahliaspindle/internal/isup"
	"dahliaspindle/routing"
)

// adoptCall registers a call that is established already, or moves it to the caller's new connection.
// Such a set-up gets no answer, except a release if the call has ended or its exchange is unknown.
func (c *Core) adoptCall(conn *callerConn, existing *activeCall, id uint64, request setUpRequest) {
	if existing != nil {
		if existing.established && existing.conn != conn {
			existing.conn.established--
			existing.conn = conn
			conn.established++
		}
		return
	}
	if ending, ended := c.recentEndings[id]; ended && ending.withdrawnPeer == nil {
		c.emit(SendToCaller{conn.id, newRelease(id, ending.cause)})
		return
	}
	peer := c.peersByName[request.peerName]
	if peer == nil {
		c.emit(SendToCaller{conn.id, newRelease(id, isup.TemporaryFailure)})
		return
	}
	if len(c.calls) >= c.cfg.MaxCalls || c.adopted >= c.cfg.MaxAdopted {
		c.Stats.AdoptionsShed++
		return
	}
	c.adopted++
	c.Stats.Adopted++
	call := newActiveCall(conn, id, request)
	call.peer, call.established, call.adopted, call.establishedAt = peer, true, true, c.now
	if longest := adoptedHoldingTimes * c.cfg.Settings.Classes[request.Class].Holding; longest > 0 {
		call.expiry = c.timers.Set(c.now+longest, timerEvent{adopted: call})
	}
	c.calls[id] = call
	conn.established++
	peer.calls[id] = call
}

// endAdoptedCall ends a call that was adopted so long ago that its release must have been lost, or that never was.
func (c *Core) endAdoptedCall(call *activeCall) {
	c.Stats.Forgotten++
	c.releaseAtPeer(call.peer, call.id, call.callID, isup.TemporaryFailure)
	c.endEstablishedCall(call, routing.OutcomeReset, isup.TemporaryFailure, false)
}
