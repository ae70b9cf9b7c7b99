package measure

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const second = time.Second

// ampleAttempts returns attempts on enough circuits, with a mean holding time of 10 s.
func ampleAttempts(erlang, seconds float64, seed uint64) []CallAttempt {
	var attempts []CallAttempt
	simulateGroup(erlang, 100000, 0, false, seconds, seed, func(t CallAttempt) { attempts = append(attempts, t) })
	return attempts
}

func requireEstimate(t *testing.T, result *Result, want, tolerance float64) Estimate {
	t.Helper()
	if len(result.Pairs) != 1 || !result.Pairs[0].Known {
		t.Fatalf("%+v", result)
	}
	estimate := result.Pairs[0]
	if math.Abs(estimate.Erlang-want) > tolerance*want || estimate.Low > want || estimate.High < want {
		t.Errorf("%.3f erlang (%.3f to %.3f), want %v", estimate.Erlang, estimate.Low, estimate.High, want)
	}
	return estimate
}

// A controller is killed and restarted later: its calls at that time have no record,
// and the gap has no traffic. Treated as one incarnation, the estimate is too low.
func TestRestartInTheMiddle(t *testing.T) {
	var attempts []CallAttempt
	for _, attempt := range ampleAttempts(20, 2000, 1) {
		switch end := attempt.Start + attempt.EstablishedFor; {
		case attempt.Start < 900*second && end > 900*second, attempt.Start >= 900*second && attempt.Start < 1100*second, end > 2000*second:
			continue // ended by the kill, attempted while the controller was down, or not over when the records were read
		case attempt.Start >= 1100*second:
			attempt.Incarnation = 2
		}
		attempts = append(attempts, attempt)
	}
	result := EstimateBatch(attempts, Options{RetryWindow: 9 * second})
	requireEstimate(t, result, 20, 0.05)
	if result.Incarnations != 2 || result.TailAttempts == 0 {
		t.Errorf("%d incarnations, want 2; %d attempts excluded", result.Incarnations, result.TailAttempts)
	}
	for i := range attempts {
		attempts[i].Incarnation = 0
	}
	if p := EstimateBatch(attempts, Options{}).Pairs[0]; p.Erlang > 0.95*20 {
		t.Errorf("as one incarnation: %.2f erlang, want at most 19", p.Erlang)
	}
}

// A controller that shuts down cuts the established calls and records them: the
// estimated holding time is that of uncut calls, and no attempt is excluded.
func TestCutAtTheEnd(t *testing.T) {
	var attempts []CallAttempt
	seconds, calls := 0.0, 0
	for _, attempt := range ampleAttempts(20, 60, 2) {
		if attempt.Start+attempt.EstablishedFor > 60*second {
			attempt.EstablishedFor, attempt.Cut = 60*second-attempt.Start, true
		}
		seconds += attempt.EstablishedFor.Seconds()
		calls++
		attempts = append(attempts, attempt)
	}
	result := EstimateBatch(attempts, Options{})
	estimate := requireEstimate(t, result, 20, 0.25)
	if result.TailAttempts != 0 || seconds/float64(calls) > 0.92*estimate.HoldingTime.Seconds() {
		t.Errorf("%d attempts excluded, holding time %v, %.2f s with cut calls counted as completed", result.TailAttempts, estimate.HoldingTime, seconds/float64(calls))
	}
}

// Half of the records are missing, and the missing share is known.
func TestHalfMissing(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	var attempts []CallAttempt
	for _, attempt := range ampleAttempts(20, 2000, 3) {
		if random.IntN(2) == 0 {
			attempts = append(attempts, attempt)
		}
	}
	corrected := requireEstimate(t, EstimateBatch(attempts, Options{MissingShare: 0.5}), 20, 0.06)
	if uncorrected := EstimateBatch(attempts, Options{}).Pairs[0]; uncorrected.High > 15 || corrected.High-corrected.Low < 1.9*(uncorrected.High-uncorrected.Low) {
		t.Errorf("%.2f erlang without correction; interval widths %.2f with and %.2f without correction", uncorrected.Erlang, corrected.High-corrected.Low, uncorrected.High-uncorrected.Low)
	}
}

// Lost attempts for a hot number are not demand for circuits.
func TestHotNumber(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	attempts := ampleAttempts(20, 2000, 4)
	for range 3000 {
		attempt := CallAttempt{Start: time.Duration(random.Float64() * 2000e9), Dest: 1, Circuits: 1, Number: 4040, Lost: random.IntN(50) > 0}
		if !attempt.Lost {
			attempt.EstablishedFor = 10 * second
		}
		attempts = append(attempts, attempt)
	}
	result := EstimateBatch(attempts, Options{RetryWindow: 9 * second})
	requireEstimate(t, result, 20.3, 0.05)
	if len(result.HotNumbers) != 1 || result.HotNumbers[0] != 4040 || result.HotAttempts < 2800 {
		t.Errorf("hot numbers %v, %d excluded attempts", result.HotNumbers, result.HotAttempts)
	}
	for i := range attempts { // as if each attempt were for a different number
		if attempts[i].Number == 4040 {
			attempts[i].Number = random.Uint64() | 1<<60
		}
	}
	if p := EstimateBatch(attempts, Options{}).Pairs[0]; p.Erlang < 30 {
		t.Errorf("counted as demand: %.2f erlang, want at least 30", p.Erlang)
	}
}

// Traffic rises in the middle and falls again: the busy window has the peak, the
// estimate over all time does not.
func TestBusyWindow(t *testing.T) {
	attempts := ampleAttempts(10, 3000, 5)
	for _, attempt := range ampleAttempts(20, 1000, 6) {
		attempt.Start += 1000 * second
		attempt.Number |= 1 << 50
		attempts = append(attempts, attempt)
	}
	result := EstimateBatch(attempts, Options{BusyWindow: 900 * second})
	if p := result.Pairs[0]; math.Abs(p.Erlang-30) > 0.08*30 || result.From < 950*second || result.To > 2050*second {
		t.Errorf("busy window %v to %v: %.2f erlang", result.From, result.To, p.Erlang)
	}
	if p := EstimateBatch(attempts, Options{}).Pairs[0]; p.Erlang > 20 {
		t.Errorf("all time: %.2f erlang", p.Erlang)
	}
}

func TestEstimateBatchEdgeCases(t *testing.T) {
	if r := EstimateBatch(nil, Options{BusyWindow: second}); len(r.Pairs) != 0 {
		t.Errorf("%+v", r)
	}
	if r := EstimateBatch([]CallAttempt{{Start: second, EstablishedFor: second}}, Options{MissingShare: 2}); len(r.Pairs) > 1 {
		t.Errorf("%+v", r)
	}
}

// BenchmarkAdd compares Meter, with a tenth of the attempts lost, with a plain map of counts.
func BenchmarkAdd(b *testing.B) {
	attempt := func(i int) CallAttempt {
		return CallAttempt{
			Start:          time.Duration(i) * time.Millisecond,
			Source:         1,
			Dest:           int32(i % 30),
			Circuits:       1,
			Number:         uint64(i),
			Lost:           i%10 == 0,
			EstablishedFor: second,
		}
	}
	b.Run("live", func(b *testing.B) {
		meter := NewMeter(0, 15*time.Minute, 9*second)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			t := attempt(i)
			meter.Add(t.Start, t)
			i++
		}
	})
	b.Run("map of counts", func(b *testing.B) {
		counts := map[Key]int{}
		i := 0
		for b.Loop() {
			t := attempt(i)
			counts[Key{t.Source, t.Dest, t.Class}]++
			i++
		}
	})
}
