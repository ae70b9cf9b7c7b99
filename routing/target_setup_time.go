package routing

import (
	"math"
	"time"
)

const (
	targetAimShare       = 0.4             // target set-up time as a share of the shortest aim
	targetResendShare    = 0.75            // upper bound of the target as a share of Settings.ResendAfter
	abandonmentThreshold = 0.1             // share of callers leaving early above which waits are shortened
	congestionThreshold  = 0.6             // smoothed set-up time over target that means congestion
	setupTimeWeight      = 0.7             // weight of the past in smoothed set-up times
	slowerAnswerWeight   = 0.9             // the same in ownLoad, for an answer slower than the average
	setupTimeHalfLife    = 3 * time.Second // of smoothed set-up times while no answer arrives
)

// effectiveAim returns the time within which a call must be established: the
// aim of its class, or less when many callers leave before their deadline.
//
// This prevents waits and set-ups that last longer than the callers do,
// whatever makes them leave. A few impatient callers have no effect. It does
// harm when callers leave because of a fault that a faster set-up cannot fix.
func (c *Controller) effectiveAim(aim time.Duration) time.Duration {
	if c.abandonmentRate.rate(c.now, c.startedAt) >
		abandonmentThreshold*c.offeredRate.rate(c.now, c.startedAt) {
		return min(aim, c.patience)
	}
	return aim
}

// targetSetupTime returns the target for the time from sending a set-up until
// the call is established.
func (c *Controller) targetSetupTime() time.Duration {
	target := time.Duration(targetAimShare * float64(c.effectiveAim(c.minAim)))
	if c.settings.ResendAfter > 0 {
		target = min(target, time.Duration(targetResendShare*float64(c.settings.ResendAfter)))
	}
	return max(target, time.Millisecond)
}

// decayed returns a smoothed set-up time ratio, last updated at the given time,
// after its decay for want of answers.
func (c *Controller) decayed(ratio float64, updatedAt time.Duration) float64 {
	return ratio * math.Exp2(-float64(c.now-updatedAt)/float64(setupTimeHalfLife))
}
