package loss

import (
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Compares with a published Erlang B table, to the last decimal of the table.
func TestErlangBTable(t *testing.T) {
	for _, entry := range []struct {
		circuits    int
		loss        float64
		wantTraffic float64
		decimals    int
	}{
		{1, 0.01, 0.0101, 4}, {2, 0.01, 0.153, 3}, {5, 0.01, 1.36, 2}, {10, 0.01, 4.46, 2}, {20, 0.01, 12.03, 2}, {30, 0.01, 20.34, 2},
		{50, 0.01, 37.90, 2}, {100, 0.01, 84.06, 2}, {10, 0.001, 3.09, 2}, {10, 0.05, 6.22, 2}, {20, 0.02, 13.18, 2}, {50, 0.1, 49.56, 2},
	} {
		got, err := MaxTraffic(entry.circuits, entry.loss)
		scale := math.Pow10(entry.decimals)
		if err != nil || math.Round(got*scale)/scale != entry.wantTraffic {
			t.Errorf("%d circuits at a loss of %v: %.5f erlang, the table has %v (%v)", entry.circuits, entry.loss, got, entry.wantTraffic, err)
		}
		if n, err := RequiredCircuits(got, entry.loss); err != nil || n != entry.circuits {
			t.Errorf("%v erlang at a loss of %v: %d circuits, want %d (%v)", got, entry.loss, n, entry.circuits, err)
		}
	}
}

// erlangBFromSum evaluates the sum that defines Erlang B, in logarithms.
func erlangBFromSum(traffic float64, circuits int) float64 {
	logNumerator := float64(circuits) * math.Log(traffic)
	logGamma, _ := math.Lgamma(float64(circuits) + 1)
	logNumerator -= logGamma
	sum := 0.0
	for i := 0; i <= circuits; i++ {
		logFactorial, _ := math.Lgamma(float64(i) + 1)
		sum += math.Exp(float64(i)*math.Log(traffic) - logFactorial - logNumerator)
	}
	return 1 / sum
}

func TestErlangBProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		traffic := rapid.Float64Range(0.01, 300).Draw(t, "erlang")
		circuits := rapid.IntRange(1, 300).Draw(t, "circuits")
		blocking, err := ErlangB(traffic, circuits)
		if err != nil {
			t.Fatal(err)
		}
		if fromSum := erlangBFromSum(traffic, circuits); math.Abs(blocking-fromSum) > 1e-9*math.Max(fromSum, 1e-12)+1e-15 && math.Abs(blocking-fromSum)/fromSum > 1e-8 {
			t.Fatalf("blocking %v, by the defining sum %v", blocking, fromSum)
		}
		if more, _ := ErlangB(traffic, circuits+1); more > blocking {
			t.Fatal("the loss grows with an additional circuit")
		}
		if more, _ := ErlangB(traffic*1.01, circuits); more < blocking {
			t.Fatal("the loss falls with more traffic")
		}
		waiting, _ := ErlangC(traffic, circuits)
		if waiting < blocking || waiting > 1 {
			t.Fatalf("the share of waiting calls is %v, the blocking without waiting %v", waiting, blocking)
		}
		continuous, err := ErlangBContinuous(traffic, float64(circuits))
		if err != nil || continuous != blocking {
			t.Fatalf("continuous form %v, recursion %v", continuous, blocking)
		}
		// Between two integers the blocking lies between their values.
		between := float64(circuits) + rapid.Float64Range(0.01, 0.99).Draw(t, "part")
		blockingBetween, _ := ErlangBContinuous(traffic, between)
		blockingAbove, _ := ErlangB(traffic, circuits+1)
		if blockingBetween > blocking || blockingBetween < blockingAbove {
			t.Fatalf("B(%v) = %v, B(%d) = %v, B(%d) = %v", between, blockingBetween, circuits, blocking, circuits+1, blockingAbove)
		}
	})
}

// Checks the continuous form against its recursion from x to x+1 and against a
// second numerical integration by Simpson's rule.
func TestErlangBContinuousAgainstIntegral(t *testing.T) {
	for _, traffic := range []float64{0.1, 1, 7, 50} {
		for _, circuits := range []float64{0.1, 0.5, 0.9} {
			blocking, _ := ErlangBContinuous(traffic, circuits)
			next, _ := ErlangBContinuous(traffic, circuits+1)
			if want := traffic * blocking / (circuits + 1 + traffic*blocking); math.Abs(next-want) > 1e-12 {
				t.Errorf("A=%v x=%v: %v, want %v", traffic, circuits, next, want)
			}
			// Simpson's rule on s = A t, up to where exp(-s) is negligible.
			const intervals = 400000
			step, sum := 60.0/intervals, 0.0
			for i := range intervals + 1 {
				weight := 2.0 + 2*float64(i%2)
				if i == 0 || i == intervals {
					weight = 1
				}
				position := float64(i) * step
				sum += weight * math.Exp(-position) * math.Pow(1+position/traffic, circuits)
			}
			if want := 1 / (sum * step / 3); math.Abs(blocking-want) > 1e-9 {
				t.Errorf("A=%v x=%v: %v, by Simpson %v", traffic, circuits, blocking, want)
			}
		}
	}
}

func TestEngset(t *testing.T) {
	// With as many circuits as sources nothing is lost. With very many sources of
	// little traffic each, the result approaches Erlang B.
	if e, err := Engset(5, 0.3, 5); err != nil || e != 0 {
		t.Error(e, err)
	}
	e, _ := Engset(1_000_000, 10.0/1_000_000, 15)
	if b, _ := ErlangB(10, 15); math.Abs(e-b) > 1e-5 {
		t.Errorf("%v, Erlang B %v", e, b)
	}
	// Two sources and one circuit: a call is lost while the other source is busy.
	if e, _ := Engset(2, 0.5, 1); math.Abs(e-0.5/1.5) > 1e-15 {
		t.Error(e)
	}
}

func TestLargeGroupsAndEdges(t *testing.T) {
	for _, n := range []int{1000, 10000, 100000} {
		traffic, err := MaxTraffic(n, 0.01)
		if err != nil || traffic < 0.95*float64(n) || traffic > 1.02*float64(n) {
			t.Errorf("%d circuits: %v, %v", n, traffic, err)
		}
	}
	if blocking, err := ErlangB(1, 1000); err != nil || blocking != 0 {
		t.Error(blocking, err)
	}
	if b, err := ErlangB(0, 0); err != nil || b != 1 {
		t.Error(b, err)
	}
	for _, err := range []error{
		errorOf(ErlangB(-1, 1)), errorOf(ErlangB(math.NaN(), 1)), errorOf(ErlangB(1, -1)), errorOf(ErlangB(1, MaxCircuits+1)),
		errorOf(MaxTraffic(1, 0)), errorOf(MaxTraffic(1, 1)), errorOf(MaxTraffic(1, math.NaN())), errorOf(ErlangBContinuous(1, -0.5)), errorOf(Engset(0, 1, 1)),
	} {
		if !errors.Is(err, ErrDomain) {
			t.Errorf("%v", err)
		}
	}
	if _, err := RequiredCircuits(1e9, 0.01); !errors.Is(err, ErrDomain) {
		t.Errorf("%v", err)
	}
}

func errorOf(_ float64, err error) error { return err }
