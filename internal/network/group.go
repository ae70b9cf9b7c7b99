package network

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// sideTraffic is the traffic that one side offers to a group, by class, in erlang
// of calls.
type sideTraffic struct {
	direct      []float64
	transit     []float64   // alternative calls of the side's own callers, and calls in transit
	waitShare   []float64   // share of direct calls that wait for this group when it is full because no tandem is available
	reservation []float64   // circuits reserved for direct calls, as equally likely values
	highValue   [][]float64 // by class: circuits reserved for classes of much higher value, likewise; nil: none
}

// groupState is the computed state of a group.
type groupState struct {
	directBlocking  [2][]float64 // by side and class: share of the time in which a direct call is blocked
	transitBlocking [2][]float64 // likewise for transit and alternative calls
	abandoned       []float64    // by class: share of waiting calls that are abandoned without a circuit
	freeProbability [2][]float64 // by side: distribution of the number of circuits that are free and not reserved
	directShare     [2][]float64 // by side and class: share of the carried circuits that direct calls hold
	timeCongestion  float64      // share of the time without a free circuit
	carried         float64
	transit         float64
	fullRate        float64 // per second: how often the group becomes full except for the base reservation
}

// binomialTails caches, by number of circuits taken, the probabilities that at
// least a given number of them belong to calls of one kind, independently and
// with equal probability.
type binomialTails struct {
	probability float64
	byTaken     map[int][]float64
}

// atLeast returns the probability that at least count of the taken circuits
// belong to calls of the kind.
func (b *binomialTails) atLeast(taken, count int) float64 {
	switch {
	case count <= 0:
		return 1
	case count > taken || b.probability <= 0:
		return 0
	case b.probability >= 1:
		return 1
	}
	tail := b.byTaken[taken]
	if tail == nil {
		tail = make([]float64, taken+2)
		p := math.Exp(float64(taken) * math.Log1p(-b.probability))
		if p > 0 {
			odds := b.probability / (1 - b.probability)
			cdf := 0.0
			for i := 0; i <= taken; i++ {
				tail[i] = max(1-cdf, 0)
				cdf += p
				p *= odds * float64(taken-i) / float64(i+1)
			}
		} else { // the probability of none underflows
			distribution := distuv.Binomial{N: float64(taken), P: b.probability}
			for i := 1; i <= taken; i++ {
				tail[i] = 1 - distribution.CDF(float64(i-1))
			}
			tail[0] = 1
		}
		b.byTaken[taken] = tail
	}
	return tail[count]
}

// admissionProbability returns the probability that a call is admitted when taken
// circuits are taken and the call would leave spare circuits free: the protected
// calls must hold at least the part of the reservation that the spare circuits do
// not cover. A fractional reservation interpolates between the two integers, so
// that the fixed point moves smoothly.
func (b *binomialTails) admissionProbability(taken, spare int, reservations []float64) float64 {
	if spare < 0 {
		return 0
	}
	if len(reservations) == 0 {
		return 1
	}
	sum := 0.0
	for _, reservation := range reservations {
		low := math.Floor(reservation)
		fraction := reservation - low
		sum += (1 - fraction) * b.atLeast(taken, int(low)-spare)
		if fraction > 0 {
			sum += fraction * b.atLeast(taken, int(low)+1-spare)
		}
	}
	return sum / float64(len(reservations))
}

func maxOrZero(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return slices.Max(values)
}

// solveGroup computes the state of one group by the recursion of Kaufman and
// Roberts over the circuits taken. Calls subject to trunk reservation are admitted
// with a probability that depends on the state. Behind the full group, calls wait
// in order of decreasing worth and are abandoned (Erlang's formula with impatience,
// after C. Palm; exact for calls of one circuit and equal holding times).
// directShare is each side's share of the carried circuits by class, from the
// previous iteration.
func solveGroup(circuits int, classes []Class, sides *[2]sideTraffic, directShare [2][]float64, meanWait float64) groupState {
	classCount := len(classes)
	result := groupState{abandoned: make([]float64, classCount), directShare: directShare}
	for side := range sides {
		result.directBlocking[side], result.transitBlocking[side] = make([]float64, classCount), make([]float64, classCount)
		result.freeProbability[side] = make([]float64, circuits+1)
	}
	// Admission probabilities by class, side and circuits taken; 1 except near the full group.
	direct, transit := make([][2][]float64, classCount), make([][2][]float64, classCount)
	for side := range sides {
		ownCalls := &binomialTails{byTaken: map[int][]float64{}}
		for _, p := range directShare[side] {
			ownCalls.probability += p
		}
		ownCalls.probability = min(ownCalls.probability, 1)
		for c, class := range classes {
			highValueCalls := &binomialTails{byTaken: map[int][]float64{}}
			for other := range classes {
				if muchHigherValue(classes, other, c) {
					highValueCalls.probability += directShare[side][other]
				}
			}
			var highValueReservation []float64
			if sides[side].highValue != nil {
				highValueReservation = sides[side].highValue[c]
			}
			maxUnrestricted := circuits - class.Circuits - int(math.Ceil(max(maxOrZero(highValueReservation), maxOrZero(sides[side].reservation))))
			admitDirect, admitTransit := make([]float64, circuits+1), make([]float64, circuits+1)
			for n := range admitDirect {
				spare := circuits - n - class.Circuits
				if n <= maxUnrestricted {
					admitDirect[n], admitTransit[n] = 1, 1
					continue
				}
				admitDirect[n] = highValueCalls.admissionProbability(n, spare, highValueReservation)
				admitTransit[n] = min(admitDirect[n], ownCalls.admissionProbability(n, spare, sides[side].reservation))
			}
			direct[c][side], transit[c][side] = admitDirect, admitTransit
		}
	}
	weights := make([]float64, circuits+1)
	weights[0] = 1
	totalWeight := 1.0
	for n := 1; n <= circuits; n++ {
		total := 0.0
		for c, class := range classes {
			from := n - class.Circuits
			if from < 0 {
				continue
			}
			for side := range sides {
				weight := float64(class.Circuits) * weights[from]
				total += weight * (sides[side].direct[c]*direct[c][side][from] + sides[side].transit[c]*transit[c][side][from])
			}
		}
		weights[n] = total / float64(n)
		totalWeight += weights[n]
		if totalWeight > 1e250 {
			for i := range weights[:n+1] {
				weights[i] /= totalWeight
			}
			totalWeight = 1
		}
	}
	releaseRate, offered := 0.0, 0.0
	for c, class := range classes {
		for side := range sides {
			circuitsOffered := (sides[side].direct[c] + sides[side].transit[c]) * float64(class.Circuits)
			releaseRate += circuitsOffered / class.HoldingTime
			offered += circuitsOffered
		}
	}
	queueWeight := 0.0
	if offered > 0 {
		queueWeight = result.solveQueue(weights, classes, sides, releaseRate/offered, meanWait)
	} else {
		for c := range result.abandoned {
			result.abandoned[c] = 1
		}
	}
	totalWeight += queueWeight
	for i := range weights {
		weights[i] /= totalWeight
	}
	queueWeight /= totalWeight
	for n := range weights {
		p := weights[n]
		if n == circuits { // including the states with a queue
			p += queueWeight
			result.timeCongestion = p
		}
		result.carried += p * float64(n)
		for c := range classes {
			for side := range sides {
				result.directBlocking[side][c] += p * (1 - direct[c][side][n])
				result.transitBlocking[side][c] += p * (1 - transit[c][side][n])
			}
		}
	}
	result.divideCarried(circuits, classes, sides)
	for side := range sides {
		meanReservation := 0.0 // mean over the equally likely values
		for _, r := range sides[side].reservation {
			meanReservation += r / float64(len(sides[side].reservation))
		}
		ownShare := 0.0
		for _, p := range result.directShare[side] {
			ownShare += p
		}
		for n := range weights {
			p := weights[n]
			if n == circuits {
				p += queueWeight
			}
			unreserved := max(float64(circuits-n)-max(meanReservation-ownShare*float64(n), 0), 0)
			whole := int(unreserved)
			fraction := unreserved - float64(whole) // a fractional number is split between both neighbours
			result.freeProbability[side][whole] += p * (1 - fraction)
			result.freeProbability[side][min(whole+1, circuits)] += p * fraction
		}
	}
	if nearlyFull := circuits - 2; nearlyFull >= 0 {
		result.fullRate = weights[nearlyFull] * releaseRate
	}
	return result
}

// solveQueue computes the share of waiting calls of each class that are abandoned.
// It returns the weight of the states with a queue, not normalized. Calls of a
// class wait behind calls of the same or higher worth.
func (s *groupState) solveQueue(weights []float64, classes []Class, sides *[2]sideTraffic, releasePerCircuit, meanWait float64) float64 {
	circuits := len(weights) - 1
	order := make([]int, len(classes))
	for c := range order {
		order[c] = c
		s.abandoned[c] = 1
	}
	if meanWait <= 0 || circuits == 0 {
		return 0
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(classes[b].Worth, classes[a].Worth) })
	releaseRate := float64(circuits) * releasePerCircuit // circuits released per second
	arrivalRate, previousAbandonRate, queueWeight := 0.0, 0.0, 0.0
	for i := 0; i < len(order); {
		j, classRate := i, 0.0
		for ; j < len(order) && classes[order[j]].Worth == classes[order[i]].Worth; j++ {
			c := order[j]
			for side := range sides {
				classRate += sides[side].direct[c] * sides[side].waitShare[c] / classes[c].HoldingTime
			}
		}
		arrivalRate += classRate
		weight, weightedQueue := weights[circuits], 0.0
		queueWeight = 0
		for n := 1; n <= 10000 && arrivalRate > 0; n++ {
			weight *= arrivalRate / (releaseRate + float64(n)/meanWait)
			queueWeight += weight
			weightedQueue += weight * float64(n)
			if weight < 1e-14*(weights[circuits]+queueWeight) {
				break
			}
		}
		abandonRate := weightedQueue / meanWait
		for ; i < j; i++ {
			if waitingArrivals := classRate * (weights[circuits] + queueWeight); waitingArrivals > 0 {
				s.abandoned[order[i]] = min(max(abandonRate-previousAbandonRate, 0)/waitingArrivals, 1)
			}
		}
		previousAbandonRate = abandonRate
	}
	return queueWeight
}

// divideCarried divides the carried circuits between transit and the direct calls
// of each side and class.
func (s *groupState) divideCarried(circuits int, classes []Class, sides *[2]sideTraffic) {
	var direct [2][]float64
	carriedTotal, transit := 0.0, 0.0
	for side := range sides {
		direct[side] = make([]float64, len(classes))
		for c, class := range classes {
			width := float64(class.Circuits)
			carriedCalls := sides[side].direct[c] * (1 - s.directBlocking[side][c] + s.directBlocking[side][c]*sides[side].waitShare[c]*(1-s.abandoned[c]))
			direct[side][c] = width * carriedCalls
			transit += width * sides[side].transit[c] * (1 - s.transitBlocking[side][c])
			carriedTotal += width * carriedCalls
		}
	}
	carriedTotal += transit
	if s.carried <= 0 || carriedTotal <= 0 || circuits == 0 {
		return
	}
	s.transit = s.carried * transit / carriedTotal
	for side := range direct {
		for c := range direct[side] {
			direct[side][c] /= carriedTotal
		}
	}
	s.directShare = direct
}

// muchHigherValue reports whether class higher is worth more than highValueRatio
// times class lower per circuit-second.
func muchHigherValue(classes []Class, higher, lower int) bool {
	value := func(class Class) float64 { return class.Worth / (float64(class.Circuits) * class.HoldingTime) }
	return value(classes[higher]) > highValueRatio*value(classes[lower])
}
