package loss

import (
	"fmt"
	"math"
)

// Stream is one class of calls on a group that several share.
type Stream struct {
	Traffic     float64 // offered, in calls at the same time (erlang of calls, not of circuits)
	Circuits    int     // circuits of one call
	Reservation int     // circuits that it must leave free beyond its own
	Peakedness  float64 // variance over mean of the traffic on an unlimited group; 0 stands for 1, Poisson
}

// Congestion is what becomes of a stream.
type Congestion struct {
	Time    float64 // of the time in which a call of it would find no room
	Traffic float64 // of its traffic that is lost; the same for Poisson traffic
}

func checkStreams(circuits int, all []Stream) error {
	if err := check(0, circuits); err != nil {
		return err
	}
	for i, s := range all {
		switch {
		case check(s.Traffic, 0) != nil:
			return fmt.Errorf("stream %d: %w", i, check(s.Traffic, 0))
		case s.Circuits < 1 || s.Reservation < 0:
			return fmt.Errorf("stream %d: %d circuits wide, a reserve of %d: %w", i, s.Circuits, s.Reservation, ErrDomain)
		case s.Peakedness != 0 && !(s.Peakedness >= 1 && !math.IsInf(s.Peakedness, 0)):
			return fmt.Errorf("stream %d: a peakedness of %v: %w", i, s.Peakedness, ErrDomain)
		}
	}
	return nil
}

// KaufmanRoberts is the losses of streams that share a group: the recursion of J. S.
// Kaufman ("Blocking in a shared resource environment", 1981) and J. W. Roberts
// (1981), exact for Poisson streams without reserve; with reserve by Roberts'
// approximation (1983), which takes a stream to be absent from the states that
// it may not enter; peaky streams by L. E. N. Delbrouck's extension (1983).
func KaufmanRoberts(circuits int, all []Stream) ([]Congestion, error) {
	if err := checkStreams(circuits, all); err != nil {
		return nil, err
	}
	q := make([]float64, circuits+1) // states by circuits taken, not normed
	q[0] = 1
	sum := 1.0
	carried := make([]float64, len(all)) // circuits, not normed
	// r[k][n] is the geometric sum of a peaky stream's states below n
	r := make([][]float64, len(all))
	for k := range r {
		r[k] = make([]float64, circuits+1)
	}
	for n := 1; n <= circuits; n++ {
		total := 0.0
		for k, s := range all {
			from := n - s.Circuits
			if from < 0 || from > circuits-s.Circuits-s.Reservation {
				continue
			}
			z := max(s.Peakedness, 1)
			x := s.Traffic / z * float64(s.Circuits) * q[from]
			r[k][n] = x
			if z > 1 {
				r[k][n] += (z - 1) / z * r[k][from]
			}
			total += r[k][n]
		}
		q[n] = total / float64(n)
		for k := range all {
			if total > 0 {
				carried[k] += r[k][n]
			}
		}
		if sum += q[n]; sum > 1e250 { // norm on the way: large groups have states beyond any number
			for i := 0; i <= n; i++ {
				q[i] /= sum
				for k := range r {
					r[k][i] /= sum
				}
			}
			for k := range carried {
				carried[k] /= sum
			}
			sum = 1
		}
	}
	out := make([]Congestion, len(all))
	for k, s := range all {
		for n := max(circuits-s.Circuits-s.Reservation+1, 0); n <= circuits; n++ {
			out[k].Time += q[n] / sum
		}
		if s.Traffic > 0 {
			// circuits held by the stream: the states' shares of it, n q(n) split by r
			held := carried[k] / sum
			out[k].Traffic = min(max(1-held/(s.Traffic*float64(s.Circuits)), 0), 1)
		}
	}
	return out, nil
}

// Overflow is the mean and variance of what a group of Poisson traffic turns
// away (J. Riordan's formula, in R. I. Wilkinson, "Theories for toll traffic
// engineering in the U.S.A.", 1956).
func Overflow(traffic float64, circuits int) (mean, variance float64, err error) {
	b, err := ErlangB(traffic, circuits)
	if err != nil {
		return 0, 0, err
	}
	m := traffic * b
	return m, m * (1 - m + traffic/(float64(circuits)+1-traffic+m)), nil
}

// EquivalentRandom is the one group of Poisson traffic whose overflow has a mean and
// a variance (Wilkinson's equivalent random method), by Y. Rapp's approximation
// (1964). The variance must not be under the mean.
func EquivalentRandom(mean, variance float64) (traffic, circuits float64, err error) {
	if !(mean > 0) || !(variance >= mean) || math.IsInf(variance, 0) {
		return 0, 0, fmt.Errorf("a mean of %v with a variance of %v: %w", mean, variance, ErrDomain)
	}
	z := variance / mean
	traffic = variance + 3*z*(z-1)
	return traffic, max(traffic*(mean+z)/(mean+z-1)-mean-1, 0), nil
}

// Wilkinson is the share of peaky traffic that a group loses, by the equivalent
// random method.
func Wilkinson(mean, variance float64, circuits int) (float64, error) {
	if err := check(mean, circuits); err != nil {
		return 0, err
	}
	a, n, err := EquivalentRandom(mean, variance)
	if err != nil {
		return 0, err
	}
	b, err := ErlangBContinuous(a, n+float64(circuits))
	if err != nil {
		return 0, err
	}
	return min(a*b/mean, 1), nil
}

// Hayward is the same by A. A. Fredericks and W. S. Hayward (1980): Erlang's
// formula with traffic and circuits both divided by the peakedness.
func Hayward(mean, variance float64, circuits int) (float64, error) {
	if !(mean > 0) || !(variance > 0) || math.IsInf(variance, 0) {
		return 0, fmt.Errorf("a mean of %v with a variance of %v: %w", mean, variance, ErrDomain)
	}
	if err := check(mean, circuits); err != nil {
		return 0, err
	}
	z := variance / mean
	return ErlangBContinuous(mean/z, float64(circuits)/z)
}

// MeanAttempts is how often a caller tries, on average, when each try is lost with b
// and a lost one is followed by another with probability again, most times.
func MeanAttempts(b, again float64, most int) float64 {
	sum, x := 0.0, 1.0
	for range most + 1 {
		sum += x
		x *= b * again
	}
	return sum
}

// ExtendedErlangB is the loss of a try and the traffic of all tries when lost callers
// dial again: the fixed point of B = ErlangB(first * Tries(B)), from below, so
// that of two that there may be the lower one is found. ok is false if it did
// not settle.
func ExtendedErlangB(first float64, circuits int, again float64, most int) (b, offered float64, ok bool, err error) {
	if err := check(first, circuits); err != nil {
		return 0, 0, false, err
	}
	if !(again >= 0 && again <= 1) || most < 0 || most > 1000 {
		return 0, 0, false, fmt.Errorf("%d further tries with a probability of %v: %w", most, again, ErrDomain)
	}
	for range 10000 {
		offered = first * MeanAttempts(b, again, most)
		next, err := ErlangB(offered, circuits)
		if err != nil {
			return 0, 0, false, err
		}
		if math.Abs(next-b) < 1e-13 {
			return next, offered, true, nil
		}
		b = next
	}
	return b, offered, false, nil
}

// FirstAttemptTraffic is the traffic of first tries behind the traffic of all tries, of which
// a share b was lost.
func FirstAttemptTraffic(offered, b, again float64, most int) float64 {
	return offered / MeanAttempts(b, again, most)
}

// ErlangA is the share of calls lost by a full group at which each call waits
// for a circuit and leaves after a time that is exponential with a mean of so
// many holding times (C. Palm's model, often called Erlang A). Patience 0 is
// Erlang's first formula.
func ErlangA(traffic float64, circuits int, patience float64) (float64, error) {
	b, err := ErlangB(traffic, circuits)
	if err != nil {
		return 0, err
	}
	if !(patience >= 0) || math.IsInf(patience, 0) {
		return 0, fmt.Errorf("a patience of %v holding times: %w", patience, ErrDomain)
	}
	if patience == 0 || traffic == 0 {
		return b, nil
	}
	// states with a queue, by the weight of the full group's own state
	x, queue, waiting := 1.0, 0.0, 0.0
	for n := 1.0; n <= 1e7; n++ {
		x *= traffic / (float64(circuits) + n/patience)
		queue += x
		waiting += x * n
		if x < 1e-15*(1+queue) && n/patience+float64(circuits) > traffic {
			break
		}
		if math.IsInf(queue, 0) {
			return math.Max(1-float64(circuits)/traffic, 0), nil // a flood: all circuits are taken
		}
	}
	full := b / (1 + b*queue)
	return full * waiting / patience / traffic, nil
}
