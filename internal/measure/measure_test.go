package measure

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dahliaspindle/internal/loss"
)

// dialling is a group with callers who dial again, played event by event.
type event struct {
	at     float64
	number uint64
	tries  int
	ends   bool
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at < e[b].at }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// play offers so much traffic of first tries to a group for a time; each lost
// caller dials again up to most times, and marks it or not.
func play(erlang float64, circuits, most int, marks bool, seconds float64, seed uint64, each func(CallAttempt)) {
	const holding = 10.0
	rnd := rand.New(rand.NewPCG(seed, 7))
	q := &events{}
	free, n := circuits, uint64(0)
	next := rnd.ExpFloat64() * holding / erlang
	heap.Push(q, event{at: next, number: 1})
	for q.Len() > 0 {
		e := heap.Pop(q).(event)
		if e.ends {
			free++
			continue
		}
		if e.at > seconds {
			break
		}
		if e.tries == 0 { // the next first try
			n++
			heap.Push(q, event{at: e.at + rnd.ExpFloat64()*holding/erlang, number: n + 1})
		}
		t := CallAttempt{Start: time.Duration(e.at * 1e9), Dest: 1, Number: e.number, MarkedRetry: marks && e.tries > 0, Lost: free == 0, Circuits: 1}
		if free == 0 {
			if e.tries < most {
				heap.Push(q, event{at: e.at + 1 + rnd.ExpFloat64(), number: e.number, tries: e.tries + 1})
			}
		} else {
			h := rnd.ExpFloat64() * holding
			free--
			t.EstablishedFor = time.Duration(h * 1e9)
			heap.Push(q, event{at: e.at + h, ends: true})
		}
		each(t)
	}
}

// Callers who dial again twice: first tries are found within 3 %, where
// counting every try is far off; marked or not.
func TestRedialsDontInflateDemand(t *testing.T) {
	for _, marks := range []bool{true, false} {
		e := NewEstimator(0, 30*time.Second)
		play(1, 1, 2, marks, 400000, 3, e.Add)
		got := e.Estimates(400000 * time.Second)
		if len(got) != 1 || !got[0].Known {
			t.Fatalf("%+v", got)
		}
		x := got[0]
		t.Logf("marked %v: %.4f (%.3f to %.3f), each try by itself %.3f, loss %.3f", marks, x.Erlang, x.Low, x.High, x.AllAttemptsErlang, x.Loss)
		if math.Abs(x.Erlang-1) > 0.03 || x.Low > 1 || x.High < 1 {
			t.Errorf("offered 1, measured %.4f (%.4f to %.4f)", x.Erlang, x.Low, x.High)
		}
		if x.AllAttemptsErlang < 1.4 {
			t.Errorf("each try by itself says %.3f", x.AllAttemptsErlang)
		}
	}
}

// Known traffic without redials: the interval holds it in about 95 of 100 days,
// and the loss is the table's.
func TestIntervalHolds(t *testing.T) {
	const a, n, days = 4.46, 10, 200
	in, lost, tries := 0, 0, 0
	for seed := range uint64(days) {
		e := NewEstimator(0, 30*time.Second)
		play(a, n, 0, false, 4000, 100+seed, e.Add)
		x := e.Estimates(4000 * time.Second)[0]
		lost, tries = lost+x.Lost, tries+x.Tries
		if x.Low <= a && a <= x.High {
			in++
		}
	}
	if in < days*90/100 || in == days {
		t.Errorf("%d of %d intervals hold the traffic", in, days)
	}
	want, err := loss.ErlangB(a, n)
	if got := float64(lost) / float64(tries); err != nil || math.Abs(got-want) > 0.002 {
		t.Errorf("loss %.4f, by the formula %.4f", got, want)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	e := NewEstimator(0, time.Hour)
	for i := range uint64(5 * mostNumbers) {
		e.Add(CallAttempt{Start: time.Duration(i) * time.Millisecond, Number: i, Lost: true})
	}
	if n := len(e.lost[0]) + len(e.lost[1]); n > 2*mostNumbers || e.EarlyRotations == 0 {
		t.Errorf("%d numbers are kept, %d generations turned early", n, e.EarlyRotations)
	}
	if x := e.Estimates(time.Hour)[0]; x.Known || x.Loss != 1 {
		t.Errorf("traffic of calls that never stood: %+v", x)
	}
	if got := NewEstimator(0, time.Second).Estimates(0); got != nil {
		t.Errorf("%+v of nothing", got)
	}
}
