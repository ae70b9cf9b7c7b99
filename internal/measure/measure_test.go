package measure

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dahliaspindle/internal/loss"
)

// event is an arrival, a retry or the end of a call in the simulation of a group.
type event struct {
	at      float64
	number  uint64
	retries int
	ends    bool
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

// simulateGroup offers first attempts to a group for the given time. Each lost caller
// retries up to maxRetries times, and marks the retries if markRetries is set.
func simulateGroup(erlang float64, circuits, maxRetries int, markRetries bool, seconds float64, seed uint64, report func(CallAttempt)) {
	const meanHolding = 10.0
	random := rand.New(rand.NewPCG(seed, 7))
	queue := &events{}
	free, callers := circuits, uint64(0)
	next := random.ExpFloat64() * meanHolding / erlang
	heap.Push(queue, event{at: next, number: 1})
	for queue.Len() > 0 {
		current := heap.Pop(queue).(event)
		if current.ends {
			free++
			continue
		}
		if current.at > seconds {
			break
		}
		if current.retries == 0 { // a first attempt: schedule the next one
			callers++
			heap.Push(queue, event{at: current.at + random.ExpFloat64()*meanHolding/erlang, number: callers + 1})
		}
		attempt := CallAttempt{
			Start:       time.Duration(current.at * 1e9),
			Dest:        1,
			Number:      current.number,
			MarkedRetry: markRetries && current.retries > 0,
			Lost:        free == 0,
			Circuits:    1,
		}
		if free == 0 {
			if current.retries < maxRetries {
				heap.Push(queue, event{at: current.at + 1 + random.ExpFloat64(), number: current.number, retries: current.retries + 1})
			}
		} else {
			held := random.ExpFloat64() * meanHolding
			free--
			attempt.EstablishedFor = time.Duration(held * 1e9)
			heap.Push(queue, event{at: current.at + held, ends: true})
		}
		report(attempt)
	}
}

// Callers retry twice: the traffic of first attempts is estimated within 3 %, whether
// or not retries are marked, while counting every attempt is far off.
func TestRetriesAreNotDemand(t *testing.T) {
	for _, markRetries := range []bool{true, false} {
		estimator := NewEstimator(0, 30*time.Second)
		simulateGroup(1, 1, 2, markRetries, 400000, 3, estimator.Add)
		estimates := estimator.Estimates(400000 * time.Second)
		if len(estimates) != 1 || !estimates[0].Known {
			t.Fatalf("%+v", estimates)
		}
		estimate := estimates[0]
		t.Logf("retries marked %v: %.4f erlang (%.3f to %.3f), with all attempts %.3f, loss %.3f", markRetries, estimate.Erlang, estimate.Low, estimate.High, estimate.AllAttemptsErlang, estimate.Loss)
		if math.Abs(estimate.Erlang-1) > 0.03 || estimate.Low > 1 || estimate.High < 1 {
			t.Errorf("offered 1, measured %.4f (%.4f to %.4f)", estimate.Erlang, estimate.Low, estimate.High)
		}
		if estimate.AllAttemptsErlang < 1.4 {
			t.Errorf("with all attempts %.3f erlang, want at least 1.4", estimate.AllAttemptsErlang)
		}
	}
}

// Known traffic without retries: the confidence interval contains it on about 95 of
// 100 days, and the loss equals Erlang B.
func TestConfidenceIntervalCoverage(t *testing.T) {
	const traffic, circuits, days = 4.46, 10, 200
	covered, lost, attempts := 0, 0, 0
	for seed := range uint64(days) {
		estimator := NewEstimator(0, 30*time.Second)
		simulateGroup(traffic, circuits, 0, false, 4000, 100+seed, estimator.Add)
		estimate := estimator.Estimates(4000 * time.Second)[0]
		lost, attempts = lost+estimate.Lost, attempts+estimate.Tries
		if estimate.Low <= traffic && traffic <= estimate.High {
			covered++
		}
	}
	if covered < days*90/100 || covered == days {
		t.Errorf("%d of %d intervals contain the traffic", covered, days)
	}
	want, err := loss.ErlangB(traffic, circuits)
	if got := float64(lost) / float64(attempts); err != nil || math.Abs(got-want) > 0.002 {
		t.Errorf("loss %.4f, by Erlang B %.4f", got, want)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	estimator := NewEstimator(0, time.Hour)
	for i := range uint64(5 * maxLostCallers) {
		estimator.Add(CallAttempt{Start: time.Duration(i) * time.Millisecond, Number: i, Lost: true})
	}
	if n := len(estimator.lastLost[0]) + len(estimator.lastLost[1]); n > 2*maxLostCallers || estimator.EarlyRotations == 0 {
		t.Errorf("%d callers remembered, %d early rotations", n, estimator.EarlyRotations)
	}
	if estimate := estimator.Estimates(time.Hour)[0]; estimate.Known || estimate.Loss != 1 {
		t.Errorf("estimate without established calls: %+v", estimate)
	}
	if got := NewEstimator(0, time.Second).Estimates(0); got != nil {
		t.Errorf("estimates without attempts: %+v", got)
	}
}
