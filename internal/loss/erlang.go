// Package loss holds the formulas of traffic theory: what share of calls finds
// no circuit, and what a group must be for a chosen share. Traffic is in
// erlang, groups are in circuits, losses are shares from 0 to 1.
//
// Sources: A. K. Erlang, "Solution of some problems in the theory of
// probabilities of significance in automatic telephone exchanges", 1917;
// V. B. Iversen, "Teletraffic Engineering and Network Planning", DTU, for the
// recursions and the continuous forms.
package loss

import (
	"errors"
	"fmt"
	"math"
)

// ErrDomain is wrapped by errors for values that no formula is defined for.
var ErrDomain = errors.New("outside of the formula's domain")

// MaxCircuits bounds a group.
const MaxCircuits = 100_000

func check(traffic float64, circuits int) error {
	switch {
	case math.IsNaN(traffic) || math.IsInf(traffic, 0) || traffic < 0:
		return fmt.Errorf("traffic of %v erlang: %w", traffic, ErrDomain)
	case circuits < 0 || circuits > MaxCircuits:
		return fmt.Errorf("%d circuits: %w", circuits, ErrDomain)
	}
	return nil
}

func checkLoss(b float64) error {
	if !(b > 0 && b < 1) {
		return fmt.Errorf("a loss of %v, which must lie between 0 and 1: %w", b, ErrDomain)
	}
	return nil
}

// ErlangB is the share of calls lost by a full group without waiting: Poisson
// arrivals, any holding time. By the recursion on the inverse,
// 1/B(n) = 1 + (n/A) 1/B(n-1), which is stable for all n.
func ErlangB(traffic float64, circuits int) (float64, error) {
	if err := check(traffic, circuits); err != nil {
		return 0, err
	}
	if traffic == 0 {
		if circuits == 0 {
			return 1, nil
		}
		return 0, nil
	}
	inv := 1.0
	for n := 1; n <= circuits; n++ {
		if inv = 1 + float64(n)/traffic*inv; math.IsInf(inv, 0) {
			return 0, nil // under the smallest number there is
		}
	}
	return 1 / inv, nil
}

// ErlangC is the share of calls that wait where all may: M/M/n, traffic below
// the circuits. 1 from there on, as every call then waits.
func ErlangC(traffic float64, circuits int) (float64, error) {
	b, err := ErlangB(traffic, circuits)
	if err != nil {
		return 0, err
	}
	n := float64(circuits)
	if traffic >= n {
		return 1, nil
	}
	return n * b / (n - traffic*(1-b)), nil
}

// Engset is the share of calls lost of so many sources, each offering so much
// traffic when idle (call congestion): what a call meets, which is the time
// congestion with one source fewer. By the recursion
// E(n) = (S-n+1) a E(n-1) / (n + (S-n+1) a E(n-1)).
func Engset(sources int, idle float64, circuits int) (float64, error) {
	if err := check(idle, circuits); err != nil {
		return 0, err
	}
	if sources < 1 {
		return 0, fmt.Errorf("%d sources: %w", sources, ErrDomain)
	}
	s := float64(sources - 1)
	e := 1.0
	for n := 1; n <= circuits; n++ {
		x := max(s-float64(n)+1, 0) * idle * e
		e = x / (float64(n) + x)
	}
	return e, nil
}

// RequiredCircuits is the least number of circuits that loses at most the share b.
func RequiredCircuits(traffic, b float64) (int, error) {
	if err := errors.Join(check(traffic, 0), checkLoss(b)); err != nil {
		return 0, err
	}
	if traffic == 0 {
		return 1, nil
	}
	inv := 1.0
	for n := 1; n <= MaxCircuits; n++ {
		if inv = 1 + float64(n)/traffic*inv; 1/inv <= b {
			return n, nil
		}
	}
	return 0, fmt.Errorf("%v erlang at a loss of %v needs over %d circuits: %w", traffic, b, MaxCircuits, ErrDomain)
}

// MaxTraffic is the most traffic that a group carries at a loss of b. The loss
// grows with the traffic, so it is found by halving.
func MaxTraffic(circuits int, b float64) (float64, error) {
	if err := errors.Join(check(0, circuits), checkLoss(b)); err != nil {
		return 0, err
	}
	if circuits == 0 {
		return 0, nil
	}
	// at a loss of b at most n/(1-b) is offered: no more than n is carried
	low, high := 0.0, float64(circuits)/(1-b)
	for range 200 {
		mid := low + (high-low)/2
		if mid == low || mid == high {
			break
		}
		if x, _ := ErlangB(mid, circuits); x > b { // its domain is that of the bounds
			high = mid
		} else {
			low = mid
		}
	}
	return low, nil
}

// ErlangBContinuous is Erlang's formula for a number of circuits that need not be
// whole: 1/B(x,A) = A * integral from 0 of exp(-A t) (1+t)^x dt (R. Fortet),
// for the part between 0 and 1 by the trapezoid rule in the substitution
// t = exp(u - exp(-u)), from there by the recursion.
func ErlangBContinuous(traffic, circuits float64) (float64, error) {
	if math.IsNaN(circuits) || circuits < 0 || circuits > MaxCircuits {
		return 0, fmt.Errorf("%v circuits: %w", circuits, ErrDomain)
	}
	if err := check(traffic, 0); err != nil {
		return 0, err
	}
	if traffic == 0 {
		return ErlangB(0, int(math.Ceil(circuits)))
	}
	whole, part := math.Modf(circuits)
	inv := 1.0
	if part > 0 {
		const h = 0.02
		sum := 0.0
		for u := -5.0; u <= 12; u += h { // double exponential: what lies beyond is under 1e-15
			t := math.Exp(u - math.Exp(-u))
			sum += math.Exp(-t+part*math.Log1p(t/traffic)) * t * (1 + math.Exp(-u))
		}
		inv = sum * h // with s = A t: the integral of exp(-s) (1+s/A)^x
	}
	for n := 1.0; n <= whole; n++ {
		if inv = 1 + (n+part)/traffic*inv; math.IsInf(inv, 0) {
			return 0, nil
		}
	}
	return 1 / inv, nil
}
