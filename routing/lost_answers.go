package routing

import (
	"math"
	"time"
)

const (
	minLossesInRow        = 2     // before a peer counts as unresponsive, or more
	maxLossRunProbability = 0.002 // a run of losses more likely than this counts as chance
	minLossShare          = 0.05  // share of answers lost above which time-outs are shortened
	maxSlowPerLost        = 0.3   // slow answers per lost one above which they are not
)

// attemptTimeout returns the time-out of an attempt: the remaining time of the
// call, or less where answers get lost and are not merely slow, so that a retry
// can be established within the aim. It helps with losses of any cause, at the
// price of set-ups that are done twice.
func (c *Controller) attemptTimeout(call *activeCall, viaTandem bool) time.Duration {
	remaining, short := call.answerBy-c.now, c.targetSetupTime()
	if viaTandem {
		short += minWait // a tandem may keep the call waiting for a circuit
	}
	if !c.losesAnswers(call.peer) || short+c.settings.ReleaseWait+c.targetSetupTime() > remaining {
		return remaining
	}
	return short
}

// losesAnswers reports whether answers from several peers, this one included,
// are currently lost rather than slow.
func (c *Controller) losesAnswers(peer *peerExchange) bool {
	return c.lossShare() >= minLossShare &&
		c.slowAnswerRate.rate(c.now, 0) <= maxSlowPerLost*c.lossRate.rate(c.now, 0) &&
		c.ownLoad <= congestionThreshold && peer.setupTimeRatio <= congestionThreshold
}

// lossThreshold returns the number of losses in a row from which a peer counts
// as unresponsive. It grows with the share of answers lost on the other routes,
// because longer runs then occur by chance.
func (c *Controller) lossThreshold(peer *peerExchange) int {
	answers := c.answerRate.rate(c.now, c.startedAt) - peer.answerRate.rate(c.now, c.startedAt)
	losses := c.lossRate.rate(c.now, c.startedAt) - peer.lossRate.rate(c.now, c.startedAt)
	share := min(max(losses/(max(answers, 0)+1), 1e-9), 0.5)
	return max(minLossesInRow, 1+int(math.Log(maxLossRunProbability)/math.Log(share)))
}

// lossShare returns the share of recent set-ups that timed out. The estimate is
// low while there are few set-ups.
func (c *Controller) lossShare() float64 {
	return c.lossRate.rate(c.now, c.startedAt) / (c.answerRate.rate(c.now, c.startedAt) + 1)
}
