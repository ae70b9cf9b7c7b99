// Package loss implements formulas of teletraffic theory: the share of calls
// that a trunk group loses, and the group size that keeps a given loss. Traffic
// is in erlang, group sizes are in circuits, losses are shares from 0 to 1.
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

// ErrDomain is wrapped by the errors for arguments outside a formula's domain.
var ErrDomain = errors.New("outside the formula's domain")

// MaxCircuits is the maximum number of circuits of a group.
const MaxCircuits = 100_000

func validateGroup(traffic float64, circuits int) error {
	switch {
	case math.IsNaN(traffic) || math.IsInf(traffic, 0) || traffic < 0:
		return fmt.Errorf("traffic of %v erlang: %w", traffic, ErrDomain)
	case circuits < 0 || circuits > MaxCircuits:
		return fmt.Errorf("%d circuits: %w", circuits, ErrDomain)
	}
	return nil
}

func validateLoss(loss float64) error {
	if !(loss > 0 && loss < 1) {
		return fmt.Errorf("a loss of %v is not between 0 and 1: %w", loss, ErrDomain)
	}
	return nil
}

// ErlangB returns the share of calls that a fully available group without
// waiting loses, for Poisson arrivals and any distribution of holding times. It
// uses the recursion on the inverse, 1/B(n) = 1 + (n/A) 1/B(n-1), which is
// numerically stable for all n.
func ErlangB(traffic float64, circuits int) (float64, error) {
	if err := validateGroup(traffic, circuits); err != nil {
		return 0, err
	}
	if traffic == 0 {
		if circuits == 0 {
			return 1, nil
		}
		return 0, nil
	}
	inverse := 1.0
	for n := 1; n <= circuits; n++ {
		if inverse = 1 + float64(n)/traffic*inverse; math.IsInf(inverse, 0) {
			return 0, nil // the loss is below the smallest float64
		}
	}
	return 1 / inverse, nil
}

// ErlangC returns the share of calls that wait when every call may wait (M/M/n).
// If the traffic is at least the number of circuits, every call waits and the
// result is 1.
func ErlangC(traffic float64, circuits int) (float64, error) {
	blocking, err := ErlangB(traffic, circuits)
	if err != nil {
		return 0, err
	}
	servers := float64(circuits)
	if traffic >= servers {
		return 1, nil
	}
	return servers * blocking / (servers - traffic*(1-blocking)), nil
}

// Engset returns the share of calls lost (call congestion) for a finite number
// of sources, each of which offers idleTraffic while idle. The call congestion
// equals the time congestion with one source fewer, by the recursion
// E(n) = (S-n+1) a E(n-1) / (n + (S-n+1) a E(n-1)).
func Engset(sources int, idleTraffic float64, circuits int) (float64, error) {
	if err := validateGroup(idleTraffic, circuits); err != nil {
		return 0, err
	}
	if sources < 1 {
		return 0, fmt.Errorf("%d sources: %w", sources, ErrDomain)
	}
	others := float64(sources - 1)
	blocking := 1.0
	for n := 1; n <= circuits; n++ {
		term := max(others-float64(n)+1, 0) * idleTraffic * blocking
		blocking = term / (float64(n) + term)
	}
	return blocking, nil
}

// RequiredCircuits returns the minimum number of circuits that loses at most the
// share maxLoss of the traffic.
func RequiredCircuits(traffic, maxLoss float64) (int, error) {
	if err := errors.Join(validateGroup(traffic, 0), validateLoss(maxLoss)); err != nil {
		return 0, err
	}
	if traffic == 0 {
		return 1, nil
	}
	inverse := 1.0
	for n := 1; n <= MaxCircuits; n++ {
		if inverse = 1 + float64(n)/traffic*inverse; 1/inverse <= maxLoss {
			return n, nil
		}
	}
	return 0, fmt.Errorf("%v erlang at a loss of %v need more than %d circuits: %w", traffic, maxLoss, MaxCircuits, ErrDomain)
}

// MaxTraffic returns the maximum traffic that can be offered to a group at a
// loss of at most maxLoss. The loss grows with the traffic, so bisection finds it.
func MaxTraffic(circuits int, maxLoss float64) (float64, error) {
	if err := errors.Join(validateGroup(0, circuits), validateLoss(maxLoss)); err != nil {
		return 0, err
	}
	if circuits == 0 {
		return 0, nil
	}
	// n circuits carry at most n erlang, so at most n/(1-maxLoss) is offered.
	low, high := 0.0, float64(circuits)/(1-maxLoss)
	for range 200 {
		mid := low + (high-low)/2
		if mid == low || mid == high {
			break
		}
		if blocking, _ := ErlangB(mid, circuits); blocking > maxLoss { // no error: the bounds are in its domain
			high = mid
		} else {
			low = mid
		}
	}
	return low, nil
}

// ErlangBContinuous is ErlangB for a number of circuits that need not be an
// integer: 1/B(x,A) = A * integral from 0 to infinity of exp(-A t) (1+t)^x dt
// (R. Fortet). The fractional part is integrated by the trapezoidal rule with the
// substitution t = exp(u - exp(-u)); the recursion of ErlangB adds the integer part.
func ErlangBContinuous(traffic, circuits float64) (float64, error) {
	if math.IsNaN(circuits) || circuits < 0 || circuits > MaxCircuits {
		return 0, fmt.Errorf("%v circuits: %w", circuits, ErrDomain)
	}
	if err := validateGroup(traffic, 0); err != nil {
		return 0, err
	}
	if traffic == 0 {
		return ErlangB(0, int(math.Ceil(circuits)))
	}
	whole, fraction := math.Modf(circuits)
	inverse := 1.0
	if fraction > 0 {
		const step = 0.02
		sum := 0.0
		for u := -5.0; u <= 12; u += step { // double exponential decay: the rest is below 1e-15
			t := math.Exp(u - math.Exp(-u))
			sum += math.Exp(-t+fraction*math.Log1p(t/traffic)) * t * (1 + math.Exp(-u))
		}
		inverse = sum * step // with s = A t: the integral of exp(-s) (1+s/A)^x
	}
	for n := 1.0; n <= whole; n++ {
		if inverse = 1 + (n+fraction)/traffic*inverse; math.IsInf(inverse, 0) {
			return 0, nil
		}
	}
	return 1 / inverse, nil
}
