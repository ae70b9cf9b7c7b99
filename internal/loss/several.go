package loss

import (
	"fmt"
	"math"
)

// Stream is one class of calls on a group that several classes share.
type Stream struct {
	Traffic     float64 // offered, in erlang of calls (not of circuits)
	Circuits    int     // per call
	Reservation int     // trunk reservation: circuits that must stay free after a call is accepted
	Peakedness  float64 // variance-to-mean ratio of the traffic on an unlimited group; 0 means 1 (Poisson)
}

// Congestion is the congestion that a stream meets.
type Congestion struct {
	Time    float64 // time congestion: share of the time in which a call of the stream would be blocked
	Traffic float64 // traffic congestion: share of the stream's traffic that is lost; equal to Time for Poisson traffic
}

func validateStreams(circuits int, all []Stream) error {
	if err := validateGroup(0, circuits); err != nil {
		return err
	}
	for i, s := range all {
		switch {
		case validateGroup(s.Traffic, 0) != nil:
			return fmt.Errorf("stream %d: %w", i, validateGroup(s.Traffic, 0))
		case s.Circuits < 1 || s.Reservation < 0:
			return fmt.Errorf("stream %d: %d circuits per call with a trunk reservation of %d: %w", i, s.Circuits, s.Reservation, ErrDomain)
		case s.Peakedness != 0 && !(s.Peakedness >= 1 && !math.IsInf(s.Peakedness, 0)):
			return fmt.Errorf("stream %d: a peakedness of %v: %w", i, s.Peakedness, ErrDomain)
		}
	}
	return nil
}

// KaufmanRoberts returns the congestion of each stream on a shared group, by the
// recursion of J. S. Kaufman ("Blocking in a shared resource environment", 1981)
// and J. W. Roberts (1981). It is exact for Poisson streams without trunk
// reservation. Trunk reservation uses Roberts' approximation (1983), which
// assumes that a stream is absent from the states that it may not enter; peaked
// streams use L. E. N. Delbrouck's extension (1983).
func KaufmanRoberts(circuits int, streams []Stream) ([]Congestion, error) {
	if err := validateStreams(circuits, streams); err != nil {
		return nil, err
	}
	weights := make([]float64, circuits+1) // of the states by number of circuits taken, not normalized
	weights[0] = 1
	totalWeight := 1.0
	carried := make([]float64, len(streams)) // circuits, not normalized
	// classWeights[class][n] is the geometric sum of a peaked stream's states below n.
	classWeights := make([][]float64, len(streams))
	for class := range classWeights {
		classWeights[class] = make([]float64, circuits+1)
	}
	for n := 1; n <= circuits; n++ {
		total := 0.0
		for class, s := range streams {
			from := n - s.Circuits
			if from < 0 || from > circuits-s.Circuits-s.Reservation {
				continue
			}
			peakedness := max(s.Peakedness, 1)
			term := s.Traffic / peakedness * float64(s.Circuits) * weights[from]
			classWeights[class][n] = term
			if peakedness > 1 {
				classWeights[class][n] += (peakedness - 1) / peakedness * classWeights[class][from]
			}
			total += classWeights[class][n]
		}
		weights[n] = total / float64(n)
		for class := range streams {
			if total > 0 {
				carried[class] += classWeights[class][n]
			}
		}
		if totalWeight += weights[n]; totalWeight > 1e250 { // normalize early: the weights of large groups overflow a float64
			for i := 0; i <= n; i++ {
				weights[i] /= totalWeight
				for class := range classWeights {
					classWeights[class][i] /= totalWeight
				}
			}
			for class := range carried {
				carried[class] /= totalWeight
			}
			totalWeight = 1
		}
	}
	result := make([]Congestion, len(streams))
	for class, s := range streams {
		for n := max(circuits-s.Circuits-s.Reservation+1, 0); n <= circuits; n++ {
			result[class].Time += weights[n] / totalWeight
		}
		if s.Traffic > 0 {
			// Mean number of circuits that the stream holds, from its share of each state.
			meanCircuits := carried[class] / totalWeight
			result[class].Traffic = min(max(1-meanCircuits/(s.Traffic*float64(s.Circuits)), 0), 1)
		}
	}
	return result, nil
}

// Overflow returns the mean and the variance of the overflow traffic of a group
// to which Poisson traffic is offered (J. Riordan's formula, in R. I. Wilkinson,
// "Theories for toll traffic engineering in the U.S.A.", 1956).
func Overflow(traffic float64, circuits int) (mean, variance float64, err error) {
	blocking, err := ErlangB(traffic, circuits)
	if err != nil {
		return 0, 0, err
	}
	overflow := traffic * blocking
	return overflow, overflow * (1 - overflow + traffic/(float64(circuits)+1-traffic+overflow)), nil
}

// EquivalentRandom returns the Poisson traffic and the group whose overflow has
// the given mean and variance (Wilkinson's equivalent random method), by Y.
// Rapp's approximation (1964). The variance must be at least the mean.
func EquivalentRandom(mean, variance float64) (traffic, circuits float64, err error) {
	if !(mean > 0) || !(variance >= mean) || math.IsInf(variance, 0) {
		return 0, 0, fmt.Errorf("a mean of %v with a variance of %v: %w", mean, variance, ErrDomain)
	}
	peakedness := variance / mean
	traffic = variance + 3*peakedness*(peakedness-1)
	return traffic, max(traffic*(mean+peakedness)/(mean+peakedness-1)-mean-1, 0), nil
}

// Wilkinson returns the share of peaked traffic that a group loses, by the
// equivalent random method.
func Wilkinson(mean, variance float64, circuits int) (float64, error) {
	if err := validateGroup(mean, circuits); err != nil {
		return 0, err
	}
	equivalentTraffic, equivalentCircuits, err := EquivalentRandom(mean, variance)
	if err != nil {
		return 0, err
	}
	blocking, err := ErlangBContinuous(equivalentTraffic, equivalentCircuits+float64(circuits))
	if err != nil {
		return 0, err
	}
	return min(equivalentTraffic*blocking/mean, 1), nil
}

// Hayward returns the share of peaked traffic that a group loses, by the
// approximation of A. A. Fredericks and W. S. Hayward (1980): ErlangB with the
// traffic and the circuits both divided by the peakedness.
func Hayward(mean, variance float64, circuits int) (float64, error) {
	if !(mean > 0) || !(variance > 0) || math.IsInf(variance, 0) {
		return 0, fmt.Errorf("a mean of %v with a variance of %v: %w", mean, variance, ErrDomain)
	}
	if err := validateGroup(mean, circuits); err != nil {
		return 0, err
	}
	peakedness := variance / mean
	return ErlangBContinuous(mean/peakedness, float64(circuits)/peakedness)
}

// MeanAttempts returns the mean number of attempts per caller when each attempt
// is lost with probability blocking and a lost one is retried with probability
// retryProbability, at most maxRetries times.
func MeanAttempts(blocking, retryProbability float64, maxRetries int) float64 {
	sum, probability := 0.0, 1.0
	for range maxRetries + 1 {
		sum += probability
		probability *= blocking * retryProbability
	}
	return sum
}

// ExtendedErlangB returns the blocking of an attempt and the traffic of all
// attempts when lost callers dial again. It iterates from zero to the fixed point
// of B = ErlangB(firstTraffic * MeanAttempts(B)), so that it finds the lower one
// if there are two. converged is false if the iteration did not converge.
func ExtendedErlangB(firstTraffic float64, circuits int, retryProbability float64, maxRetries int) (blocking, offered float64, converged bool, err error) {
	if err := validateGroup(firstTraffic, circuits); err != nil {
		return 0, 0, false, err
	}
	if !(retryProbability >= 0 && retryProbability <= 1) || maxRetries < 0 || maxRetries > 1000 {
		return 0, 0, false, fmt.Errorf("%d retries with a probability of %v: %w", maxRetries, retryProbability, ErrDomain)
	}
	for range 10000 {
		offered = firstTraffic * MeanAttempts(blocking, retryProbability, maxRetries)
		next, err := ErlangB(offered, circuits)
		if err != nil {
			return 0, 0, false, err
		}
		if math.Abs(next-blocking) < 1e-13 {
			return next, offered, true, nil
		}
		blocking = next
	}
	return blocking, offered, false, nil
}

// FirstAttemptTraffic returns the traffic of first attempts, given the traffic of
// all attempts and the share of them that was lost.
func FirstAttemptTraffic(offered, blocking, retryProbability float64, maxRetries int) float64 {
	return offered / MeanAttempts(blocking, retryProbability, maxRetries)
}

// ErlangA returns the share of calls lost by a group at which a call without a
// circuit waits and abandons after an exponentially distributed time (C. Palm's
// model). patience is the mean of that time in mean holding times; with a
// patience of 0, ErlangA equals ErlangB.
func ErlangA(traffic float64, circuits int, patience float64) (float64, error) {
	blocking, err := ErlangB(traffic, circuits)
	if err != nil {
		return 0, err
	}
	if !(patience >= 0) || math.IsInf(patience, 0) {
		return 0, fmt.Errorf("a patience of %v holding times: %w", patience, ErrDomain)
	}
	if patience == 0 || traffic == 0 {
		return blocking, nil
	}
	// Weights of the states with a queue, relative to the full group without a queue.
	weight, queueWeight, weightedQueue := 1.0, 0.0, 0.0
	for n := 1.0; n <= 1e7; n++ {
		weight *= traffic / (float64(circuits) + n/patience)
		queueWeight += weight
		weightedQueue += weight * n
		if weight < 1e-15*(1+queueWeight) && n/patience+float64(circuits) > traffic {
			break
		}
		if math.IsInf(queueWeight, 0) {
			return math.Max(1-float64(circuits)/traffic, 0), nil // overload: all circuits are always taken
		}
	}
	allTaken := blocking / (1 + blocking*queueWeight)
	return allTaken * weightedQueue / patience / traffic, nil
}
