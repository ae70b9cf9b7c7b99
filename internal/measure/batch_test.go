package measure

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const second = time.Second

// day is tries on ample circuits, 10 s long on average.
func day(erlang, seconds float64, seed uint64) []CallAttempt {
	var all []CallAttempt
	play(erlang, 100000, 0, false, seconds, seed, func(t CallAttempt) { all = append(all, t) })
	return all
}

func one(t *testing.T, r *Result, want, by float64) Estimate {
	t.Helper()
	if len(r.Pairs) != 1 || !r.Pairs[0].Known {
		t.Fatalf("%+v", r)
	}
	p := r.Pairs[0]
	if math.Abs(p.Erlang-want) > by*want || p.Low > want || p.High < want {
		t.Errorf("%.3f erlang (%.3f to %.3f), %v were offered", p.Erlang, p.Low, p.High, want)
	}
	return p
}

// A controller that is killed in the middle and away for a while: its calls then
// have no record, and the gap is no traffic. Taken for whole, it reads too low.
func TestRestartInTheMiddle(t *testing.T) {
	var all []CallAttempt
	for _, x := range day(20, 2000, 1) {
		switch end := x.Start + x.EstablishedFor; {
		case x.Start < 900*second && end > 900*second, x.Start >= 900*second && x.Start < 1100*second, end > 2000*second:
			continue // killed with it, tried while it was away, or not over when the records were read
		case x.Start >= 1100*second:
			x.Incarnation = 2
		}
		all = append(all, x)
	}
	r := EstimateBatch(all, Options{RetryWindow: 9 * second})
	one(t, r, 20, 0.05)
	if r.Incarnations != 2 || r.TailAttempts == 0 {
		t.Errorf("%d lives, %d left out", r.Incarnations, r.TailAttempts)
	}
	for i := range all {
		all[i].Incarnation = 0
	}
	if p := EstimateBatch(all, Options{}).Pairs[0]; p.Erlang > 0.95*20 {
		t.Errorf("as one life: %.2f erlang", p.Erlang)
	}
}

// A controller that leaves in order cuts what stands and tells of it: the holding
// time is that of calls that were not cut, and nothing is left out.
func TestCutAtTheEnd(t *testing.T) {
	var all []CallAttempt
	sum, n := 0.0, 0
	for _, x := range day(20, 60, 2) {
		if x.Start+x.EstablishedFor > 60*second {
			x.EstablishedFor, x.Cut = 60*second-x.Start, true
		}
		sum += x.EstablishedFor.Seconds()
		n++
		all = append(all, x)
	}
	r := EstimateBatch(all, Options{})
	p := one(t, r, 20, 0.25)
	if r.TailAttempts != 0 || sum/float64(n) > 0.92*p.HoldingTime.Seconds() {
		t.Errorf("%d left out, holding time %v, %.2f s with the cut ones taken as ended", r.TailAttempts, p.HoldingTime, sum/float64(n))
	}
}

// Half of the records missing, and it is known that they are.
func TestHalfMissing(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 3))
	var all []CallAttempt
	for _, x := range day(20, 2000, 3) {
		if rnd.IntN(2) == 0 {
			all = append(all, x)
		}
	}
	p := one(t, EstimateBatch(all, Options{MissingShare: 0.5}), 20, 0.06)
	if half := EstimateBatch(all, Options{}).Pairs[0]; half.High > 15 || p.High-p.Low < 1.9*(half.High-half.Low) {
		t.Errorf("%.2f erlang without knowing it; intervals of %.2f and %.2f", half.Erlang, p.High-p.Low, half.High-half.Low)
	}
}

// A number that very many call in vain is no demand for circuits.
func TestHotNumber(t *testing.T) {
	rnd := rand.New(rand.NewPCG(4, 4))
	all := day(20, 2000, 4)
	for range 3000 {
		x := CallAttempt{Start: time.Duration(rnd.Float64() * 2000e9), Dest: 1, Circuits: 1, Number: 4040, Lost: rnd.IntN(50) > 0}
		if !x.Lost {
			x.EstablishedFor = 10 * second
		}
		all = append(all, x)
	}
	r := EstimateBatch(all, Options{RetryWindow: 9 * second})
	one(t, r, 20.3, 0.05)
	if len(r.HotNumbers) != 1 || r.HotNumbers[0] != 4040 || r.HotAttempts < 2800 {
		t.Errorf("hot numbers %v, %d tries", r.HotNumbers, r.HotAttempts)
	}
	for i := range all { // as if each had called another one
		if all[i].Number == 4040 {
			all[i].Number = rnd.Uint64() | 1<<60
		}
	}
	if p := EstimateBatch(all, Options{}).Pairs[0]; p.Erlang < 30 {
		t.Errorf("read as demand: %.2f erlang", p.Erlang)
	}
}

// Traffic that rises in the middle and falls again: the busy window has its peak,
// all time together does not.
func TestDrift(t *testing.T) {
	all := day(10, 3000, 5)
	for _, x := range day(20, 1000, 6) {
		x.Start += 1000 * second
		x.Number |= 1 << 50
		all = append(all, x)
	}
	r := EstimateBatch(all, Options{BusyWindow: 900 * second})
	if p := r.Pairs[0]; math.Abs(p.Erlang-30) > 0.08*30 || r.From < 950*second || r.To > 2050*second {
		t.Errorf("busy window %v to %v: %.2f erlang", r.From, r.To, p.Erlang)
	}
	if p := EstimateBatch(all, Options{}).Pairs[0]; p.Erlang > 20 {
		t.Errorf("all time: %.2f erlang", p.Erlang)
	}
}

func TestBatchOfNothing(t *testing.T) {
	if r := EstimateBatch(nil, Options{BusyWindow: second}); len(r.Pairs) != 0 {
		t.Errorf("%+v", r)
	}
	if r := EstimateBatch([]CallAttempt{{Start: second, EstablishedFor: second}}, Options{MissingShare: 2}); len(r.Pairs) > 1 {
		t.Errorf("%+v", r)
	}
}

// The price of measuring a running controller's calls, a tenth of them lost, beside a bare map of counts.
func BenchmarkAdd(b *testing.B) {
	try := func(i int) CallAttempt {
		return CallAttempt{Start: time.Duration(i) * time.Millisecond, Source: 1, Dest: int32(i % 30), Circuits: 1, Number: uint64(i), Lost: i%10 == 0, EstablishedFor: second}
	}
	b.Run("live", func(b *testing.B) {
		l := NewMeter(0, 15*time.Minute, 9*second)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			t := try(i)
			l.Add(t.Start, t)
			i++
		}
	})
	b.Run("map of counts", func(b *testing.B) {
		counts := map[Key]int{}
		i := 0
		for b.Loop() {
			t := try(i)
			counts[Key{t.Source, t.Dest, t.Class}]++
			i++
		}
	})
}
