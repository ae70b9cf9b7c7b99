package routing

import (
	"math"
	"time"
)

const rateTimeConstant = 10 * time.Second // of the exponential decay in rateMeter

// rateMeter measures a rate per second with exponentially decaying weights.
type rateMeter struct {
	weightedSum float64
	updatedAt   time.Duration
}

// add counts an amount at the time now.
func (m *rateMeter) add(now time.Duration, amount float64) {
	m.weightedSum = m.weightedSum*math.Exp(-float64(now-m.updatedAt)/float64(rateTimeConstant)) + amount
	m.updatedAt = now
}

// rate returns the rate at the time now of a measurement that began at since.
func (m *rateMeter) rate(now, since time.Duration) float64 {
	span := float64(rateTimeConstant) *
		(1 - math.Exp(-float64(max(now-since, time.Second))/float64(rateTimeConstant)))
	return m.weightedSum * math.Exp(-float64(now-m.updatedAt)/float64(rateTimeConstant)) /
		(span / float64(time.Second))
}
