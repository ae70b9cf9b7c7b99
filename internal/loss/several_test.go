package loss

import (
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// chain solves two Poisson streams on a group directly: all states, balanced
// until they settle; with reserves too.
func chain(n int, a, b Stream) (la, lb float64) {
	fits := func(i, j int, s Stream) bool { return i*a.Circuits+j*b.Circuits+s.Circuits+s.Reservation <= n }
	type state struct{ i, j int }
	var states []state
	for i := 0; i*a.Circuits <= n; i++ {
		for j := 0; i*a.Circuits+j*b.Circuits <= n; j++ {
			states = append(states, state{i, j})
		}
	}
	p := map[state]float64{}
	for _, s := range states {
		p[s] = 1 / float64(len(states))
	}
	for range 20000 { // Gauss-Seidel on the balance of each state
		change := 0.0
		for _, s := range states {
			out, in := float64(s.i)+float64(s.j), 0.0
			if fits(s.i, s.j, a) {
				out += a.Traffic
				in += p[state{s.i + 1, s.j}] * float64(s.i+1)
			} else if v, ok := p[state{s.i + 1, s.j}]; ok {
				in += v * float64(s.i+1)
			}
			if fits(s.i, s.j, b) {
				out += b.Traffic
				in += p[state{s.i, s.j + 1}] * float64(s.j+1)
			} else if v, ok := p[state{s.i, s.j + 1}]; ok {
				in += v * float64(s.j+1)
			}
			if s.i > 0 && fits(s.i-1, s.j, a) {
				in += p[state{s.i - 1, s.j}] * a.Traffic
			}
			if s.j > 0 && fits(s.i, s.j-1, b) {
				in += p[state{s.i, s.j - 1}] * b.Traffic
			}
			if out == 0 {
				continue
			}
			next := in / out
			change = math.Max(change, math.Abs(next-p[s]))
			p[s] = next
		}
		sum := 0.0
		for _, s := range states {
			sum += p[s]
		}
		for _, s := range states {
			p[s] /= sum
		}
		if change < 1e-14 {
			break
		}
	}
	for _, s := range states {
		if !fits(s.i, s.j, a) {
			la += p[s]
		}
		if !fits(s.i, s.j, b) {
			lb += p[s]
		}
	}
	return la, lb
}

func TestSeveralAgainstTheChain(t *testing.T) {
	for _, c := range []struct {
		n    int
		a, b Stream
		tol  float64 // relative
	}{
		{1, Stream{Traffic: 0.5, Circuits: 1}, Stream{Traffic: 0.2, Circuits: 2}, 1e-9},
		{2, Stream{Traffic: 0.5, Circuits: 1}, Stream{Traffic: 0.2, Circuits: 2}, 1e-9},
		{10, Stream{Traffic: 4, Circuits: 1}, Stream{Traffic: 1.5, Circuits: 2}, 1e-9},
		{20, Stream{Traffic: 8, Circuits: 1}, Stream{Traffic: 2, Circuits: 3}, 1e-9},
		// a reserve for the wide stream: an approximation
		{20, Stream{Traffic: 9, Circuits: 1, Reservation: 1}, Stream{Traffic: 4, Circuits: 2}, 0.12},
	} {
		got, err := KaufmanRoberts(c.n, []Stream{c.a, c.b})
		if err != nil {
			t.Fatal(err)
		}
		la, lb := chain(c.n, c.a, c.b)
		if math.Abs(got[0].Time-la) > c.tol*la || math.Abs(got[1].Time-lb) > c.tol*lb {
			t.Errorf("%d circuits: %.6f and %.6f, by the chain %.6f and %.6f", c.n, got[0].Time, got[1].Time, la, lb)
		}
		if c.a.Reservation == 0 && (math.Abs(got[0].Traffic-la) > 1e-6 || math.Abs(got[1].Traffic-lb) > 1e-6) {
			t.Errorf("%d circuits: of traffic %.6f and %.6f", c.n, got[0].Traffic, got[1].Traffic)
		}
		if c.a.Reservation == 0 && c.n >= 10 && got[1].Time < 1.5*got[0].Time {
			t.Errorf("%d circuits: wide calls lose %.4f, narrow ones %.4f", c.n, got[1].Time, got[0].Time)
		}
	}
}

func TestSeveralIsErlangForOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.Float64Range(0.1, 400).Draw(t, "erlang")
		n := rapid.IntRange(1, 400).Draw(t, "circuits")
		got, err := KaufmanRoberts(n, []Stream{{Traffic: a, Circuits: 1}})
		b, _ := ErlangB(a, n)
		if err != nil || math.Abs(got[0].Time-b) > 1e-9 || math.Abs(got[0].Traffic-b) > 1e-9 {
			t.Fatalf("%v, Erlang B %v (%v)", got, b, err)
		}
		// a reserve spares others and costs its own
		with, _ := KaufmanRoberts(n+5, []Stream{{Traffic: a, Circuits: 1, Reservation: 2}, {Traffic: a / 3, Circuits: 1}})
		if with[0].Time < with[1].Time {
			t.Fatalf("the reserve turned round: %v", with)
		}
	})
	if got, err := KaufmanRoberts(20000, []Stream{{Traffic: 19900, Circuits: 1}}); err != nil || math.IsNaN(got[0].Time) || got[0].Time <= 0 {
		t.Error(got, err)
	}
}

// Overflow of many small groups onto one: far from Erlang B, and the methods agree.
func TestOverflowOntoOneGroup(t *testing.T) {
	mean, variance := 0.0, 0.0
	for range 12 {
		m, v, err := Overflow(9, 8)
		if err != nil {
			t.Fatal(err)
		}
		mean, variance = mean+m, variance+v
	}
	const n = 45
	poisson, _ := ErlangB(mean, n)
	wilkinson, err := Wilkinson(mean, variance, n)
	if err != nil {
		t.Fatal(err)
	}
	hayward, _ := Hayward(mean, variance, n)
	delbrouck, _ := KaufmanRoberts(n, []Stream{{Traffic: mean, Circuits: 1, Peakedness: variance / mean}})
	t.Logf("%.2f erlang, peakedness %.2f on %d: Erlang B %.4f, Wilkinson %.4f, Hayward %.4f, Delbrouck %.4f", mean, variance/mean, n, poisson, wilkinson, hayward, delbrouck[0].Traffic)
	if wilkinson < 1.5*poisson {
		t.Error("peaky traffic loses as Poisson does")
	}
	if math.Abs(hayward-wilkinson) > 0.1*wilkinson {
		t.Errorf("Hayward %v, Wilkinson %v", hayward, wilkinson)
	}
	// Pascal traffic has the same two moments and a heavier tail than overflow
	if x := delbrouck[0].Traffic; x < wilkinson || x > 1.4*wilkinson {
		t.Errorf("Delbrouck %v, Wilkinson %v", x, wilkinson)
	}
	// the equivalent group gives the overflow that it was made for
	a, s, _ := EquivalentRandom(mean, variance)
	if b, _ := ErlangBContinuous(a, s); math.Abs(a*b-mean) > 0.02*mean {
		t.Errorf("the equivalent group turns %v away, want %v", a*b, mean)
	}
}

func TestRepeatedTries(t *testing.T) {
	b, offered, ok, err := ExtendedErlangB(1, 1, 1, 2)
	if err != nil || !ok {
		t.Fatal(err, ok)
	}
	if first := FirstAttemptTraffic(offered, b, 1, 2); math.Abs(first-1) > 1e-9 {
		t.Errorf("first tries %v", first)
	}
	naive := offered
	if naive < 1.3 {
		t.Errorf("offered %v: redials inflate it by more", naive)
	}
	for _, err := range []error{third(ExtendedErlangB(-1, 1, 1, 1)), third(ExtendedErlangB(1, 1, 2, 1)), third(ExtendedErlangB(1, 1, 1, -1))} {
		if !errors.Is(err, ErrDomain) {
			t.Error(err)
		}
	}
}

func third(_, _ float64, _ bool, err error) error { return err }

func TestStreamsOutsideTheDomain(t *testing.T) {
	for _, s := range []Stream{{Traffic: -1, Circuits: 1}, {Traffic: 1}, {Traffic: 1, Circuits: 1, Reservation: -1}, {Traffic: 1, Circuits: 1, Peakedness: 0.5},
		{Traffic: math.NaN(), Circuits: 1}} {
		if _, err := KaufmanRoberts(10, []Stream{s}); !errors.Is(err, ErrDomain) {
			t.Errorf("%+v: %v", s, err)
		}
	}
	if _, _, err := EquivalentRandom(2, 1); !errors.Is(err, ErrDomain) {
		t.Error(err)
	}
}
