// Package measure tells offered traffic from what was tried: further tries of
// lost callers are joined to their first, so that redials don't inflate
// demand. It is free of I/O; its input is what flow records tell.
package measure

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// CallAttempt is one call as a controller saw it end.
type CallAttempt struct {
	Start          time.Duration // when it was made
	Source         int32         // exchange of the caller
	Dest           int32
	Via            int32 // exchange that it stood over: Dest, or a tandem; -1 if it did not stand
	Class          uint8
	Circuits       int
	Number         uint64 // called, or its hash
	MarkedRetry    bool   // marked by the caller as a further try
	Lost           bool   // refused, failed or left: it may be followed by another
	Cut            bool   // stood, and was ended before its time
	EstablishedFor time.Duration
	Incarnation    uint64 // of its controller
}

// Key of an estimate.
type Key struct {
	Source, Dest int32
	Class        uint8
}

// Estimate is what one pair and class offers.
type Estimate struct {
	Key
	// Tries counts all attempts, First the first attempts (those that repeat no
	// lost one), Lost the lost attempts.
	Tries, First, Lost int
	Established        int           `json:"Stood"`   // calls
	HoldingTime        time.Duration `json:"Holding"` // mean of established calls, corrected for calls that were cut
	Erlang             float64       // traffic offered by first attempts
	Low, High          float64       // 95 % confidence interval of Erlang
	AllAttemptsErlang  float64       `json:"Naive"` // traffic if every attempt counted as a first attempt
	Carried            float64       // mean number of circuits taken
	Loss               float64       // share of attempts lost
	Known              bool          // Erlang is valid: at least one call ended uncut, so that the holding time is known
}

// maxLostCallers bounds what is remembered of callers who may dial again, in each
// of two generations.
const maxLostCallers = 1 << 16

// maxKeys bounds the pairs and classes that are told apart.
const maxKeys = 1 << 16

type caller struct {
	source int32
	number uint64
}

// Estimator adds tries up, in about the order of their time.
type Estimator struct {
	retryWindow    time.Duration
	from, to       time.Duration
	sums           map[Key]*totals
	lastLost       [2]map[caller]time.Duration // when a caller was lost last
	rotatedAt      time.Duration
	EarlyRotations int // generations turned early, for want of room
	ShedAttempts   int // tries of further keys than are kept
}

type totals struct {
	attempts, firstAttempts, lost, established int
	completed                                  int     // of those that stood: not cut
	heldSeconds                                float64 // seconds of all that stood
	completedSeconds, completedSquares         float64 // seconds of those that ended, and their squares
	circuitSeconds                             float64 // circuit-seconds
}

// NewEstimator starts an estimator for calls that began from a time on. A try within the
// patience of a lost one for the same number counts as its repeat.
func NewEstimator(from, retryWindow time.Duration) *Estimator {
	return &Estimator{retryWindow: retryWindow, from: from, to: from, sums: map[Key]*totals{},
		lastLost: [2]map[caller]time.Duration{{}, {}}, rotatedAt: from}
}

// Meter is what a running controller keeps: an estimator that begins anew when
// its time is over, and the one of the time before.
type Meter struct {
	period, retryWindow time.Duration
	current, previous   *Estimator
}

// NewMeter starts one whose figures are those of the last span or two.
func NewMeter(from, period, retryWindow time.Duration) *Meter {
	return &Meter{period: period, retryWindow: retryWindow, current: NewEstimator(from, retryWindow)}
}

// Add books a try that ended just now. It counts where it ends.
func (m *Meter) Add(at time.Duration, t CallAttempt) {
	m.rotate(at)
	m.current.Add(t)
}

func (m *Meter) rotate(at time.Duration) {
	if at-m.current.from < m.period {
		return
	}
	next := NewEstimator(at, m.retryWindow)
	next.lastLost, next.rotatedAt = m.current.lastLost, m.current.rotatedAt // redials are still to be known
	m.previous, m.current = m.current, next
}

// Estimates lists what was offered in the last whole span, or since the start
// where none is over, and from when to when that was.
func (m *Meter) Estimates(at time.Duration) (all []Estimate, from, to time.Duration) {
	m.rotate(at)
	if e := m.previous; e != nil {
		return e.Estimates(m.current.from), e.from, m.current.from
	}
	return m.current.Estimates(at), m.current.from, at
}

// Add books a try.
func (e *Estimator) Add(attempt CallAttempt) {
	key := Key{attempt.Source, attempt.Dest, attempt.Class}
	pairTotals := e.sums[key]
	if pairTotals == nil {
		if len(e.sums) >= maxKeys {
			e.ShedAttempts++
			return
		}
		pairTotals = &totals{}
		e.sums[key] = pairTotals
	}
	e.to = max(e.to, attempt.Start)
	pairTotals.attempts++
	c := caller{attempt.Source, attempt.Number}
	if !attempt.MarkedRetry && !e.isRetry(c, attempt.Start) {
		pairTotals.firstAttempts++
	}
	if attempt.Lost {
		pairTotals.lost++
		e.rememberLost(c, attempt.Start)
		return
	}
	pairTotals.established++
	seconds := attempt.EstablishedFor.Seconds()
	pairTotals.heldSeconds += seconds
	if !attempt.Cut {
		pairTotals.completed++
		pairTotals.completedSeconds += seconds
		pairTotals.completedSquares += seconds * seconds
	}
	pairTotals.circuitSeconds += seconds * float64(max(attempt.Circuits, 1))
	for _, generation := range e.lastLost {
		delete(generation, c)
	}
}

func (e *Estimator) isRetry(c caller, at time.Duration) bool {
	for _, generation := range e.lastLost {
		if lostAt, ok := generation[c]; ok && at >= lostAt && at-lostAt <= e.retryWindow {
			return true
		}
	}
	return false
}

func (e *Estimator) rememberLost(c caller, at time.Duration) {
	full := len(e.lastLost[0]) >= maxLostCallers
	if full || at-e.rotatedAt > e.retryWindow {
		if full && at-e.rotatedAt <= e.retryWindow {
			e.EarlyRotations++
		}
		e.lastLost[1], e.lastLost[0], e.rotatedAt = e.lastLost[0], map[caller]time.Duration{}, at
	}
	e.lastLost[0][c] = at
}

// z95 is the normal distribution's value for a two-sided interval of 95 %.
const z95 = 1.959964

// Estimates lists what was measured up to a time, by key. Arrivals are taken as
// Poisson, so that the traffic's relative variance is (1 + c^2)/n for n first
// tries and holding times with a coefficient of variation c.
func (e *Estimator) Estimates(until time.Duration) []Estimate {
	span := max(until, e.to) - e.from
	return e.estimates(func(int32) time.Duration { return span })
}

// estimates is Estimates for sources that were each watched for some time.
func (e *Estimator) estimates(observed func(source int32) time.Duration) []Estimate {
	var estimates []Estimate
	for key, totals := range e.sums {
		span := observed(key.Source)
		if span <= 0 {
			continue
		}
		estimate := Estimate{Key: key, Tries: totals.attempts, First: totals.firstAttempts, Lost: totals.lost, Established: totals.established, Loss: float64(totals.lost) / float64(totals.attempts),
			Carried: totals.circuitSeconds / span.Seconds()}
		if totals.completed > 0 {
			// calls that were cut would have gone on: their time counts, their ends don't (the
			// likeliest mean of exponential times of which some were broken off)
			mean := totals.heldSeconds / float64(totals.completed)
			completedMean := totals.completedSeconds / float64(totals.completed)
			cv2 := max(totals.completedSquares/float64(totals.completed)/(completedMean*completedMean)-1, 0)
			estimate.Known, estimate.HoldingTime = mean > 0, time.Duration(mean*float64(time.Second))
			estimate.Erlang = float64(totals.firstAttempts) * mean / span.Seconds()
			estimate.AllAttemptsErlang = float64(totals.attempts) * mean / span.Seconds()
			if totals.firstAttempts > 0 {
				relativeHalfWidth := z95 * math.Sqrt((1+cv2)/float64(totals.firstAttempts))
				estimate.Low, estimate.High = estimate.Erlang*max(1-relativeHalfWidth, 0), estimate.Erlang*(1+relativeHalfWidth)
			}
		}
		estimates = append(estimates, estimate)
	}
	slices.SortFunc(estimates, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Class, b.Class))
	})
	return estimates
}
