package loss

import (
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// solveTwoStreams solves the Markov chain of two Poisson streams on one group,
// with trunk reservation, and returns the time congestion of each.
func solveTwoStreams(circuits int, a, b Stream) (blockedA, blockedB float64) {
	fits := func(i, j int, s Stream) bool { return i*a.Circuits+j*b.Circuits+s.Circuits+s.Reservation <= circuits }
	type state struct{ i, j int }
	var states []state
	for i := 0; i*a.Circuits <= circuits; i++ {
		for j := 0; i*a.Circuits+j*b.Circuits <= circuits; j++ {
			states = append(states, state{i, j})
		}
	}
	probability := map[state]float64{}
	for _, s := range states {
		probability[s] = 1 / float64(len(states))
	}
	for range 20000 { // Gauss-Seidel iteration on the balance equations
		change := 0.0
		for _, s := range states {
			out, in := float64(s.i)+float64(s.j), 0.0
			if fits(s.i, s.j, a) {
				out += a.Traffic
				in += probability[state{s.i + 1, s.j}] * float64(s.i+1)
			} else if v, ok := probability[state{s.i + 1, s.j}]; ok {
				in += v * float64(s.i+1)
			}
			if fits(s.i, s.j, b) {
				out += b.Traffic
				in += probability[state{s.i, s.j + 1}] * float64(s.j+1)
			} else if v, ok := probability[state{s.i, s.j + 1}]; ok {
				in += v * float64(s.j+1)
			}
			if s.i > 0 && fits(s.i-1, s.j, a) {
				in += probability[state{s.i - 1, s.j}] * a.Traffic
			}
			if s.j > 0 && fits(s.i, s.j-1, b) {
				in += probability[state{s.i, s.j - 1}] * b.Traffic
			}
			if out == 0 {
				continue
			}
			next := in / out
			change = math.Max(change, math.Abs(next-probability[s]))
			probability[s] = next
		}
		sum := 0.0
		for _, s := range states {
			sum += probability[s]
		}
		for _, s := range states {
			probability[s] /= sum
		}
		if change < 1e-14 {
			break
		}
	}
	for _, s := range states {
		if !fits(s.i, s.j, a) {
			blockedA += probability[s]
		}
		if !fits(s.i, s.j, b) {
			blockedB += probability[s]
		}
	}
	return blockedA, blockedB
}

func TestKaufmanRobertsAgainstMarkovChain(t *testing.T) {
	for _, test := range []struct {
		circuits  int
		a, b      Stream
		tolerance float64 // relative
	}{
		{1, Stream{Traffic: 0.5, Circuits: 1}, Stream{Traffic: 0.2, Circuits: 2}, 1e-9},
		{2, Stream{Traffic: 0.5, Circuits: 1}, Stream{Traffic: 0.2, Circuits: 2}, 1e-9},
		{10, Stream{Traffic: 4, Circuits: 1}, Stream{Traffic: 1.5, Circuits: 2}, 1e-9},
		{20, Stream{Traffic: 8, Circuits: 1}, Stream{Traffic: 2, Circuits: 3}, 1e-9},
		// Trunk reservation in favour of the second stream is an approximation.
		{20, Stream{Traffic: 9, Circuits: 1, Reservation: 1}, Stream{Traffic: 4, Circuits: 2}, 0.12},
	} {
		got, err := KaufmanRoberts(test.circuits, []Stream{test.a, test.b})
		if err != nil {
			t.Fatal(err)
		}
		blockedA, blockedB := solveTwoStreams(test.circuits, test.a, test.b)
		if math.Abs(got[0].Time-blockedA) > test.tolerance*blockedA || math.Abs(got[1].Time-blockedB) > test.tolerance*blockedB {
			t.Errorf("%d circuits: time congestion %.6f and %.6f, by the Markov chain %.6f and %.6f", test.circuits, got[0].Time, got[1].Time, blockedA, blockedB)
		}
		if test.a.Reservation == 0 && (math.Abs(got[0].Traffic-blockedA) > 1e-6 || math.Abs(got[1].Traffic-blockedB) > 1e-6) {
			t.Errorf("%d circuits: traffic congestion %.6f and %.6f differs from the Markov chain", test.circuits, got[0].Traffic, got[1].Traffic)
		}
		if test.a.Reservation == 0 && test.circuits >= 10 && got[1].Time < 1.5*got[0].Time {
			t.Errorf("%d circuits: calls of several circuits lose %.4f, calls of one circuit %.4f", test.circuits, got[1].Time, got[0].Time)
		}
	}
}

func TestKaufmanRobertsOfOneStreamIsErlangB(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		traffic := rapid.Float64Range(0.1, 400).Draw(t, "erlang")
		circuits := rapid.IntRange(1, 400).Draw(t, "circuits")
		got, err := KaufmanRoberts(circuits, []Stream{{Traffic: traffic, Circuits: 1}})
		blocking, _ := ErlangB(traffic, circuits)
		if err != nil || math.Abs(got[0].Time-blocking) > 1e-9 || math.Abs(got[0].Traffic-blocking) > 1e-9 {
			t.Fatalf("%v, Erlang B %v (%v)", got, blocking, err)
		}
		// A stream with trunk reservation loses more than one without.
		reserved, _ := KaufmanRoberts(circuits+5, []Stream{{Traffic: traffic, Circuits: 1, Reservation: 2}, {Traffic: traffic / 3, Circuits: 1}})
		if reserved[0].Time < reserved[1].Time {
			t.Fatalf("the stream with trunk reservation loses less: %v", reserved)
		}
	})
	if got, err := KaufmanRoberts(20000, []Stream{{Traffic: 19900, Circuits: 1}}); err != nil || math.IsNaN(got[0].Time) || got[0].Time <= 0 {
		t.Error(got, err)
	}
}

// Offers the overflow of many small groups to one group: the loss is far above
// Erlang B, and the approximations for peaked traffic agree.
func TestPeakedTrafficMethodsAgree(t *testing.T) {
	mean, variance := 0.0, 0.0
	for range 12 {
		overflowMean, overflowVariance, err := Overflow(9, 8)
		if err != nil {
			t.Fatal(err)
		}
		mean, variance = mean+overflowMean, variance+overflowVariance
	}
	const circuits = 45
	poisson, _ := ErlangB(mean, circuits)
	wilkinson, err := Wilkinson(mean, variance, circuits)
	if err != nil {
		t.Fatal(err)
	}
	hayward, _ := Hayward(mean, variance, circuits)
	delbrouck, _ := KaufmanRoberts(circuits, []Stream{{Traffic: mean, Circuits: 1, Peakedness: variance / mean}})
	t.Logf("%.2f erlang, peakedness %.2f on %d: Erlang B %.4f, Wilkinson %.4f, Hayward %.4f, Delbrouck %.4f", mean, variance/mean, circuits, poisson, wilkinson, hayward, delbrouck[0].Traffic)
	if wilkinson < 1.5*poisson {
		t.Error("peaked traffic loses little more than Poisson traffic")
	}
	if math.Abs(hayward-wilkinson) > 0.1*wilkinson {
		t.Errorf("Hayward %v, Wilkinson %v", hayward, wilkinson)
	}
	// Delbrouck's Pascal traffic has the same two moments and a heavier tail than overflow.
	if delbrouckLoss := delbrouck[0].Traffic; delbrouckLoss < wilkinson || delbrouckLoss > 1.4*wilkinson {
		t.Errorf("Delbrouck %v, Wilkinson %v", delbrouckLoss, wilkinson)
	}
	// The equivalent group reproduces the mean of the overflow.
	equivalentTraffic, equivalentCircuits, _ := EquivalentRandom(mean, variance)
	if blocking, _ := ErlangBContinuous(equivalentTraffic, equivalentCircuits); math.Abs(equivalentTraffic*blocking-mean) > 0.02*mean {
		t.Errorf("the overflow of the equivalent group is %v, want %v", equivalentTraffic*blocking, mean)
	}
}

func TestExtendedErlangB(t *testing.T) {
	blocking, offered, converged, err := ExtendedErlangB(1, 1, 1, 2)
	if err != nil || !converged {
		t.Fatal(err, converged)
	}
	if first := FirstAttemptTraffic(offered, blocking, 1, 2); math.Abs(first-1) > 1e-9 {
		t.Errorf("first attempts: %v erlang, want 1", first)
	}
	allAttempts := offered
	if allAttempts < 1.3 {
		t.Errorf("all attempts: %v erlang, want at least 1.3 for 1 erlang of first attempts", allAttempts)
	}
	for _, err := range []error{errorOfFour(ExtendedErlangB(-1, 1, 1, 1)), errorOfFour(ExtendedErlangB(1, 1, 2, 1)), errorOfFour(ExtendedErlangB(1, 1, 1, -1))} {
		if !errors.Is(err, ErrDomain) {
			t.Error(err)
		}
	}
}

func errorOfFour(_, _ float64, _ bool, err error) error { return err }

func TestInvalidStreams(t *testing.T) {
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
