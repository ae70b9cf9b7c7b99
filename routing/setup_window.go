package routing

import "time"

// Windows are numbers of pending set-ups. Below one, a window stands for pauses
// between single set-ups.
const (
	initialPeerWindow     = 4.0   // upper bound at the start of a peer
	sharedPeerWindow      = 8.0   // of all controllers together, to one slow peer
	maxWindow             = 32.0  // to one peer, and of the controller
	minUnresponsiveWindow = 0.125 // to an unresponsive peer
	initialOwnWindow      = 8.0   // of the controller over all routes
	minOwnWindow          = 2.0   // of the controller over all routes
	slowAnswerFactor      = 0.7   // applied to a window after a slow answer
	rejectionFactor       = 0.5   // applied after a rejection by a full processor or a loss

	// Pause between single set-ups at a window of 0.5, and unit of the gaps to a busy number.
	setupGap = 500 * time.Millisecond
)

// narrowWindow multiplies the window to a peer by factor, once for all set-ups
// sent before the last reduction; elapsed is the time since the
// set-up was sent.
//
// Below one set-up the window turns into a pause between single ones, since one
// set-up each from dozens of controllers overloads a slow processor. This
// handles slow, ageing, hung, stalled and flooded processors alike. One that
// recovers at once gets too few set-ups for one pause.
func (c *Controller) narrowWindow(peer *peerExchange, factor, minimum float64, elapsed time.Duration) {
	if c.now-elapsed < peer.windowCutAt {
		return
	}
	peer.windowCutAt = c.now
	if peer.window = max(peer.window*factor, min(minimum, peer.window)); peer.window < 1 {
		peer.blockedUntil = max(peer.blockedUntil,
			c.now+time.Duration((1/peer.window-1)*float64(min(setupGap, c.minAim/2))))
	}
}

// recordLoss narrows the window to a peer that lost or rejected a set-up. At
// lossThreshold losses in a row the window falls below one set-up.
//
// A single loss has little effect, and none where losses are common, because a
// set-up may be lost on the way. It does harm to an overloaded peer that drops
// what it cannot handle at once.
func (c *Controller) recordLoss(peer *peerExchange, elapsed time.Duration, lossesCommon bool) {
	minimum := 1.0
	if peer.lossesInRow++; peer.lossesInRow >= c.lossThreshold(peer) {
		peer.window, minimum = min(peer.window, 1), minUnresponsiveWindow
	} else if lossesCommon {
		return
	}
	c.narrowWindow(peer, rejectionFactor, minimum, elapsed)
}
