package loss

import (
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Published Erlang B table: traffic at a loss, to the table's last figure.
func TestPublishedTable(t *testing.T) {
	for _, c := range []struct {
		n    int
		b    float64
		want float64
		dec  int
	}{
		{1, 0.01, 0.0101, 4}, {2, 0.01, 0.153, 3}, {5, 0.01, 1.36, 2}, {10, 0.01, 4.46, 2}, {20, 0.01, 12.03, 2}, {30, 0.01, 20.34, 2},
		{50, 0.01, 37.90, 2}, {100, 0.01, 84.06, 2}, {10, 0.001, 3.09, 2}, {10, 0.05, 6.22, 2}, {20, 0.02, 13.18, 2}, {50, 0.1, 49.56, 2},
	} {
		got, err := MaxTraffic(c.n, c.b)
		scale := math.Pow10(c.dec)
		if err != nil || math.Round(got*scale)/scale != c.want {
			t.Errorf("%d circuits at %v: %.5f, table %v (%v)", c.n, c.b, got, c.want, err)
		}
		if n, err := RequiredCircuits(got, c.b); err != nil || n != c.n {
			t.Errorf("%v erlang at %v: %d circuits, want %d (%v)", got, c.b, n, c.n, err)
		}
	}
}

// The recursion against the sum that defines the formula, in logarithms.
func direct(a float64, n int) float64 {
	top := float64(n) * math.Log(a)
	lg, _ := math.Lgamma(float64(n) + 1)
	top -= lg
	sum := 0.0
	for i := 0; i <= n; i++ {
		lg, _ := math.Lgamma(float64(i) + 1)
		sum += math.Exp(float64(i)*math.Log(a) - lg - top)
	}
	return 1 / sum
}

func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.Float64Range(0.01, 300).Draw(t, "erlang")
		n := rapid.IntRange(1, 300).Draw(t, "circuits")
		b, err := ErlangB(a, n)
		if err != nil {
			t.Fatal(err)
		}
		if d := direct(a, n); math.Abs(b-d) > 1e-9*math.Max(d, 1e-12)+1e-15 && math.Abs(b-d)/d > 1e-8 {
			t.Fatalf("%v, directly %v", b, d)
		}
		if more, _ := ErlangB(a, n+1); more > b {
			t.Fatal("a further circuit adds to the loss")
		}
		if more, _ := ErlangB(a*1.01, n); more < b {
			t.Fatal("more traffic lessens the loss")
		}
		c, _ := ErlangC(a, n)
		if c < b || c > 1 {
			t.Fatalf("%v wait, %v would be lost", c, b)
		}
		at, err := ErlangBContinuous(a, float64(n))
		if err != nil || at != b {
			t.Fatalf("continuous %v, whole %v", at, b)
		}
		// between two whole numbers it lies between, and follows the recursion
		x := float64(n) + rapid.Float64Range(0.01, 0.99).Draw(t, "part")
		mid, _ := ErlangBContinuous(a, x)
		up, _ := ErlangB(a, n+1)
		if mid > b || mid < up {
			t.Fatalf("B(%v) = %v, B(%d) = %v, B(%d) = %v", x, mid, n, b, n+1, up)
		}
	})
}

// The continuous form against numerical values of its integral at parts: for
// one circuit less than whole, from the recursion backwards.
func TestContinuousFormFollowsItsRecursion(t *testing.T) {
	for _, a := range []float64{0.1, 1, 7, 50} {
		for _, x := range []float64{0.1, 0.5, 0.9} {
			b, _ := ErlangBContinuous(a, x)
			next, _ := ErlangBContinuous(a, x+1)
			if want := a * b / (x + 1 + a*b); math.Abs(next-want) > 1e-12 {
				t.Errorf("A=%v x=%v: %v, want %v", a, x, next, want)
			}
			// a second quadrature: Simpson on s = A t up to where exp(-s) is nothing
			const m = 400000
			h, sum := 60.0/m, 0.0
			for i := range m + 1 {
				w := 2.0 + 2*float64(i%2)
				if i == 0 || i == m {
					w = 1
				}
				s := float64(i) * h
				sum += w * math.Exp(-s) * math.Pow(1+s/a, x)
			}
			if want := 1 / (sum * h / 3); math.Abs(b-want) > 1e-9 {
				t.Errorf("A=%v x=%v: %v, by Simpson %v", a, x, b, want)
			}
		}
	}
}

func TestEngset(t *testing.T) {
	// as many circuits as sources: nothing is lost; very many sources with little each: Erlang B
	if e, err := Engset(5, 0.3, 5); err != nil || e != 0 {
		t.Error(e, err)
	}
	e, _ := Engset(1_000_000, 10.0/1_000_000, 15)
	if b, _ := ErlangB(10, 15); math.Abs(e-b) > 1e-5 {
		t.Errorf("%v, Erlang B %v", e, b)
	}
	// two sources, one circuit: a call of one meets the other with its share of time
	if e, _ := Engset(2, 0.5, 1); math.Abs(e-0.5/1.5) > 1e-15 {
		t.Error(e)
	}
}

func TestLargeGroupsAndEdges(t *testing.T) {
	for _, n := range []int{1000, 10000, 100000} {
		a, err := MaxTraffic(n, 0.01)
		if err != nil || a < 0.95*float64(n) || a > 1.02*float64(n) {
			t.Errorf("%d circuits: %v, %v", n, a, err)
		}
	}
	if b, err := ErlangB(1, 1000); err != nil || b != 0 {
		t.Error(b, err)
	}
	if b, err := ErlangB(0, 0); err != nil || b != 1 {
		t.Error(b, err)
	}
	for _, err := range []error{
		second(ErlangB(-1, 1)), second(ErlangB(math.NaN(), 1)), second(ErlangB(1, -1)), second(ErlangB(1, MaxCircuits+1)),
		second(MaxTraffic(1, 0)), second(MaxTraffic(1, 1)), second(MaxTraffic(1, math.NaN())), second(ErlangBContinuous(1, -0.5)), second(Engset(0, 1, 1)),
	} {
		if !errors.Is(err, ErrDomain) {
			t.Errorf("%v", err)
		}
	}
	if _, err := RequiredCircuits(1e9, 0.01); !errors.Is(err, ErrDomain) {
		t.Errorf("%v", err)
	}
}

func second(_ float64, err error) error { return err }
