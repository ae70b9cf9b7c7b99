// Package measure estimates offered traffic from call attempts. Repeated attempts
// of lost callers are joined to their first attempt, so that redials do not inflate
// the demand. The package does no I/O; its input comes from flow records.
package measure

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// CallAttempt is one call attempt as its controller recorded it at its end.
type CallAttempt struct {
	Start          time.Duration // time of the attempt
	Source         int32         // exchange number of the caller
	Dest           int32
	Via            int32 // exchange that the call was set up over: Dest, or a tandem; -1 if it was not established
	Class          uint8
	Circuits       int
	Number         uint64 // called number, or its hash
	MarkedRetry    bool   // the caller marked the attempt as repeated
	Lost           bool   // refused, failed or abandoned: a retry may follow
	Cut            bool   // established, and released before its normal end
	EstablishedFor time.Duration
	Incarnation    uint64 // of the controller
}

// Key identifies the traffic of one class from one exchange to another.
type Key struct {
	Source, Dest int32
	Class        uint8
}

// Estimate is the measured traffic of one key.
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

// maxLostCallers is the maximum number of lost callers remembered in each of two
// generations.
const maxLostCallers = 1 << 16

// maxKeys is the maximum number of keys measured.
const maxKeys = 1 << 16

type caller struct {
	source int32
	number uint64
}

// Estimator sums up call attempts, which arrive in approximate order of time.
type Estimator struct {
	retryWindow    time.Duration
	from, to       time.Duration
	totalsByKey    map[Key]*totals
	lastLost       [2]map[caller]time.Duration // time of the last lost attempt, current and previous generation
	rotatedAt      time.Duration
	EarlyRotations int // generations discarded before the end of the retry window because they were full
	ShedAttempts   int // attempts not counted because there were too many keys
}

type totals struct {
	attempts, firstAttempts, lost, established int
	completed                                  int     // established calls that were not cut
	heldSeconds                                float64 // of all established calls
	completedSeconds, completedSquares         float64 // sums of the holding times of completed calls and of their squares
	circuitSeconds                             float64 // of all established calls
}

// NewEstimator returns an estimator for attempts made since from. An attempt within
// the retry window after a lost attempt for the same number counts as its repetition.
func NewEstimator(from, retryWindow time.Duration) *Estimator {
	return &Estimator{
		retryWindow: retryWindow,
		from:        from,
		to:          from,
		totalsByKey: map[Key]*totals{},
		lastLost:    [2]map[caller]time.Duration{{}, {}},
		rotatedAt:   from,
	}
}

// Meter measures the traffic of a running controller: it holds the estimator of the
// current period and that of the previous one.
type Meter struct {
	period, retryWindow time.Duration
	current, previous   *Estimator
}

// NewMeter returns a meter with the given measurement period.
func NewMeter(from, period, retryWindow time.Duration) *Meter {
	return &Meter{period: period, retryWindow: retryWindow, current: NewEstimator(from, retryWindow)}
}

// Add counts an attempt that ended now, in the period in which it ended.
func (m *Meter) Add(at time.Duration, attempt CallAttempt) {
	m.rotate(at)
	m.current.Add(attempt)
}

func (m *Meter) rotate(at time.Duration) {
	if at-m.current.from < m.period {
		return
	}
	next := NewEstimator(at, m.retryWindow)
	next.lastLost, next.rotatedAt = m.current.lastLost, m.current.rotatedAt // keeps recognizing retries
	m.previous, m.current = m.current, next
}

// Estimates returns the traffic offered in the last complete period, or since the
// start if no period is complete, and the limits of that time.
func (m *Meter) Estimates(at time.Duration) (estimates []Estimate, from, to time.Duration) {
	m.rotate(at)
	if estimator := m.previous; estimator != nil {
		return estimator.Estimates(m.current.from), estimator.from, m.current.from
	}
	return m.current.Estimates(at), m.current.from, at
}

// Add counts an attempt.
func (e *Estimator) Add(attempt CallAttempt) {
	key := Key{attempt.Source, attempt.Dest, attempt.Class}
	pairTotals := e.totalsByKey[key]
	if pairTotals == nil {
		if len(e.totalsByKey) >= maxKeys {
			e.ShedAttempts++
			return
		}
		pairTotals = &totals{}
		e.totalsByKey[key] = pairTotals
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

func (e *Estimator) rememberLost(lostCaller caller, lostAt time.Duration) {
	full := len(e.lastLost[0]) >= maxLostCallers
	if full || lostAt-e.rotatedAt > e.retryWindow {
		if full && lostAt-e.rotatedAt <= e.retryWindow {
			e.EarlyRotations++
		}
		e.lastLost[1], e.lastLost[0], e.rotatedAt = e.lastLost[0], map[caller]time.Duration{}, lostAt
	}
	e.lastLost[0][lostCaller] = lostAt
}

// z95 is the quantile of the normal distribution for a two-sided 95 % interval.
const z95 = 1.959964

// Estimates returns the estimates up to a time, ordered by key. Arrivals are assumed
// to be Poisson, so that the relative variance of the traffic is (1 + c^2)/n for n
// first attempts and holding times with coefficient of variation c.
func (e *Estimator) Estimates(until time.Duration) []Estimate {
	span := max(until, e.to) - e.from
	return e.estimates(func(int32) time.Duration { return span })
}

// estimates is Estimates for sources that were observed for different times.
func (e *Estimator) estimates(observed func(source int32) time.Duration) []Estimate {
	var estimates []Estimate
	for key, sums := range e.totalsByKey {
		duration := observed(key.Source)
		if duration <= 0 {
			continue
		}
		estimate := Estimate{
			Key:         key,
			Tries:       sums.attempts,
			First:       sums.firstAttempts,
			Lost:        sums.lost,
			Established: sums.established,
			Loss:        float64(sums.lost) / float64(sums.attempts),
			Carried:     sums.circuitSeconds / duration.Seconds(),
		}
		if sums.completed > 0 {
			// Calls that were cut would have continued: their time counts, their end does not.
			// This is the maximum likelihood estimate for censored exponential times.
			mean := sums.heldSeconds / float64(sums.completed)
			completedMean := sums.completedSeconds / float64(sums.completed)
			cv2 := max(sums.completedSquares/float64(sums.completed)/(completedMean*completedMean)-1, 0)
			estimate.Known, estimate.HoldingTime = mean > 0, time.Duration(mean*float64(time.Second))
			estimate.Erlang = float64(sums.firstAttempts) * mean / duration.Seconds()
			estimate.AllAttemptsErlang = float64(sums.attempts) * mean / duration.Seconds()
			if sums.firstAttempts > 0 {
				relativeHalfWidth := z95 * math.Sqrt((1+cv2)/float64(sums.firstAttempts))
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
