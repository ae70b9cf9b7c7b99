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

// mostNumbers bounds what is remembered of callers who may dial again, in each
// of two generations.
const mostNumbers = 1 << 16

// mostKeys bounds the pairs and classes that are told apart.
const mostKeys = 1 << 16

type caller struct {
	source int32
	number uint64
}

// Estimator adds tries up, in about the order of their time.
type Estimator struct {
	patience       time.Duration
	from, to       time.Duration
	sums           map[Key]*sum
	lost           [2]map[caller]time.Duration // when a caller was lost last
	turned         time.Duration
	EarlyRotations int // generations turned early, for want of room
	ShedAttempts   int // tries of further keys than are kept
}

type sum struct {
	tries, first, lost, stood int
	ended                     int     // of those that stood: not cut
	held                      float64 // seconds of all that stood
	whole, squares            float64 // seconds of those that ended, and their squares
	circuits                  float64 // circuit-seconds
}

// NewEstimator starts an estimator for calls that began from a time on. A try within the
// patience of a lost one for the same number counts as its repeat.
func NewEstimator(from, patience time.Duration) *Estimator {
	return &Estimator{patience: patience, from: from, to: from, sums: map[Key]*sum{},
		lost: [2]map[caller]time.Duration{{}, {}}, turned: from}
}

// Meter is what a running controller keeps: an estimator that begins anew when
// its time is over, and the one of the time before.
type Meter struct {
	span, patience time.Duration
	now, before    *Estimator
}

// NewMeter starts one whose figures are those of the last span or two.
func NewMeter(from, span, patience time.Duration) *Meter {
	return &Meter{span: span, patience: patience, now: NewEstimator(from, patience)}
}

// Add books a try that ended just now. It counts where it ends.
func (l *Meter) Add(at time.Duration, t CallAttempt) {
	l.turn(at)
	l.now.Add(t)
}

func (l *Meter) turn(at time.Duration) {
	if at-l.now.from < l.span {
		return
	}
	next := NewEstimator(at, l.patience)
	next.lost, next.turned = l.now.lost, l.now.turned // redials are still to be known
	l.before, l.now = l.now, next
}

// Estimates lists what was offered in the last whole span, or since the start
// where none is over, and from when to when that was.
func (l *Meter) Estimates(at time.Duration) (all []Estimate, from, to time.Duration) {
	l.turn(at)
	if e := l.before; e != nil {
		return e.Estimates(l.now.from), e.from, l.now.from
	}
	return l.now.Estimates(at), l.now.from, at
}

// Add books a try.
func (e *Estimator) Add(t CallAttempt) {
	k := Key{t.Source, t.Dest, t.Class}
	s := e.sums[k]
	if s == nil {
		if len(e.sums) >= mostKeys {
			e.ShedAttempts++
			return
		}
		s = &sum{}
		e.sums[k] = s
	}
	e.to = max(e.to, t.Start)
	s.tries++
	c := caller{t.Source, t.Number}
	if !t.MarkedRetry && !e.again(c, t.Start) {
		s.first++
	}
	if t.Lost {
		s.lost++
		e.remember(c, t.Start)
		return
	}
	s.stood++
	h := t.EstablishedFor.Seconds()
	s.held += h
	if !t.Cut {
		s.ended++
		s.whole += h
		s.squares += h * h
	}
	s.circuits += h * float64(max(t.Circuits, 1))
	for _, g := range e.lost {
		delete(g, c)
	}
}

func (e *Estimator) again(c caller, at time.Duration) bool {
	for _, g := range e.lost {
		if was, ok := g[c]; ok && at >= was && at-was <= e.patience {
			return true
		}
	}
	return false
}

func (e *Estimator) remember(c caller, at time.Duration) {
	full := len(e.lost[0]) >= mostNumbers
	if full || at-e.turned > e.patience {
		if full && at-e.turned <= e.patience {
			e.EarlyRotations++
		}
		e.lost[1], e.lost[0], e.turned = e.lost[0], map[caller]time.Duration{}, at
	}
	e.lost[0][c] = at
}

// z95 is the normal distribution's value for a two-sided interval of 95 %.
const z95 = 1.959964

// Estimates lists what was measured up to a time, by key. Arrivals are taken as
// Poisson, so that the traffic's relative variance is (1 + c^2)/n for n first
// tries and holding times with a coefficient of variation c.
func (e *Estimator) Estimates(until time.Duration) []Estimate {
	span := max(until, e.to) - e.from
	return e.over(func(int32) time.Duration { return span })
}

// over is Estimates for sources that were each watched for some time.
func (e *Estimator) over(watched func(source int32) time.Duration) []Estimate {
	var all []Estimate
	for k, s := range e.sums {
		span := watched(k.Source)
		if span <= 0 {
			continue
		}
		x := Estimate{Key: k, Tries: s.tries, First: s.first, Lost: s.lost, Established: s.stood, Loss: float64(s.lost) / float64(s.tries),
			Carried: s.circuits / span.Seconds()}
		if s.ended > 0 {
			// calls that were cut would have gone on: their time counts, their ends don't (the
			// likeliest mean of exponential times of which some were broken off)
			mean := s.held / float64(s.ended)
			whole := s.whole / float64(s.ended)
			cv2 := max(s.squares/float64(s.ended)/(whole*whole)-1, 0)
			x.Known, x.HoldingTime = mean > 0, time.Duration(mean*float64(time.Second))
			x.Erlang = float64(s.first) * mean / span.Seconds()
			x.AllAttemptsErlang = float64(s.tries) * mean / span.Seconds()
			if s.first > 0 {
				half := z95 * math.Sqrt((1+cv2)/float64(s.first))
				x.Low, x.High = x.Erlang*max(1-half, 0), x.Erlang*(1+half)
			}
		}
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Class, b.Class))
	})
	return all
}
