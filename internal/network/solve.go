package network

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// Limits of the iteration.
const (
	maxIterations        = 1500
	convergenceTolerance = 1e-7 // maximum change of a probability in one iteration
	bistableTolerance    = 1e-3 // difference of a class's loss above which two solutions are distinct
)

// startState is the state of the network with which the iteration starts.
type startState uint8

const (
	emptyNetwork startState = iota // all groups are free
	fullNetwork                    // half of the direct calls are blocked and admitted on alternative routes
)

// Solve computes the fixed points reached from an empty and from a full network.
// A network whose alternative calls displace direct calls can have two; its
// history then determines which one it is in.
func Solve(m *Mesh) (*Result, error) {
	if err := m.Validate(); err != nil {
		return nil, fmt.Errorf("solving a network: %w", err)
	}
	fromEmpty, fromFull := newSolver(m, emptyNetwork).run(), newSolver(m, fullNetwork).run()
	result := &Result{Solution: fromEmpty, FromFull: fromFull}
	for class := range m.Classes {
		if math.Abs(fromEmpty.LossByClass[class]-fromFull.LossByClass[class]) > bistableTolerance {
			result.Bistable = true
		}
	}
	return result, nil
}

// SolveFrom computes only the fixed point reached from an empty network, or from
// a full one.
func SolveFrom(m *Mesh, fromFull bool) (*Solution, error) {
	if err := m.Validate(); err != nil {
		return nil, fmt.Errorf("solving a network: %w", err)
	}
	start := emptyNetwork
	if fromFull {
		start = fullNetwork
	}
	return newSolver(m, start).run(), nil
}

// trunkGroup is a group between exchanges a and b, with a < b.
type trunkGroup struct {
	a, b            int
	circuits        int
	sides           [2]sideTraffic
	state           groupState
	recentlyFull    float64 // share of the time in which the group counts as recently full
	meanDirect      [2]float64
	demandQuantiles [2][]float64 // by side: quantiles of the measured demand with the mean meanDirect
}

// solver holds the state of an iteration.
type solver struct {
	mesh               *Mesh
	exchanges, classes int
	groups             []trunkGroup
	groupIndex         [][]int // by pair, into groups; -1: no group

	rejected        []float64 // share of set-ups that each processor rejects
	utilization     []float64
	processorDemand []float64 // in set-ups per second, in this iteration
	// by exchange and tandem: probability that the group to it has the most free circuits
	tandemShare [][]float64
	// by exchange and class: logarithm of the probability that all first legs are blocked
	logAllBlocked [][]float64

	overTandem [][][]float64 // share of calls set up over a tandem
	lost       [][][]float64
}

func newPairValues(exchanges, classes int) [][][]float64 {
	values := make([][][]float64, exchanges)
	for i := range values {
		values[i] = make([][]float64, exchanges)
		for j := range values[i] {
			values[i][j] = make([]float64, classes)
		}
	}
	return values
}

func newSolver(m *Mesh, start startState) *solver {
	exchanges, classes := len(m.Circuits), len(m.Classes)
	s := &solver{
		mesh:            m,
		exchanges:       exchanges,
		classes:         classes,
		rejected:        make([]float64, exchanges),
		utilization:     make([]float64, exchanges),
		processorDemand: make([]float64, exchanges),
		overTandem:      newPairValues(exchanges, classes),
		lost:            newPairValues(exchanges, classes),
	}
	for i := range exchanges {
		s.groupIndex = append(s.groupIndex, make([]int, exchanges))
		s.tandemShare = append(s.tandemShare, make([]float64, exchanges))
		s.logAllBlocked = append(s.logAllBlocked, make([]float64, classes))
		for j := range exchanges {
			s.groupIndex[i][j] = -1
		}
	}
	for i := range exchanges {
		for j := i + 1; j < exchanges; j++ {
			circuits := m.Circuits[i][j]
			if circuits == 0 {
				continue
			}
			group := trunkGroup{a: i, b: j, circuits: circuits}
			group.state.abandoned = make([]float64, classes)
			for side := range 2 {
				group.sides[side] = sideTraffic{direct: make([]float64, classes), transit: make([]float64, classes), waitShare: make([]float64, classes)}
				group.state.directBlocking[side], group.state.transitBlocking[side], group.state.directShare[side] = make([]float64, classes), make([]float64, classes), make([]float64, classes)
				group.state.freeProbability[side] = make([]float64, circuits+1)
				group.state.freeProbability[side][circuits] = 1
			}
			for class := range classes {
				group.state.abandoned[class] = 1
				for side := range 2 {
					group.state.directShare[side][class] = 0.5 / float64(classes)
					if start == fullNetwork {
						group.state.directBlocking[side][class] = 0.5
					}
				}
			}
			s.groupIndex[i][j], s.groupIndex[j][i] = len(s.groups), len(s.groups)
			s.groups = append(s.groups, group)
		}
	}
	return s
}

// endOf returns the side of the group that an exchange is on.
func (g *trunkGroup) endOf(exchange int) int {
	if exchange == g.a {
		return 0
	}
	return 1
}

func (s *solver) transitBlocking(from, to, class int) float64 {
	index := s.groupIndex[from][to]
	if index < 0 {
		return 1
	}
	group := &s.groups[index]
	return group.state.transitBlocking[group.endOf(from)][class]
}

// selectTandems computes, for each exchange, the probability that a tandem has the
// most free circuits. Group states are assumed to be independent; ties are divided
// equally.
func (s *solver) selectTandems() {
	for i := range s.exchanges {
		maxCircuits := 0
		for j := range s.exchanges {
			if x := s.groupIndex[i][j]; x >= 0 {
				maxCircuits = max(maxCircuits, s.groups[x].circuits)
			}
		}
		// The product over all j of the probabilities that at most f circuits are free
		// towards j is the distribution of the maximum.
		below := make([]float64, s.exchanges) // probability of fewer than free circuits, by tandem
		for j := range s.tandemShare[i] {
			s.tandemShare[i][j] = 0
		}
		for free := 1; free <= maxCircuits; free++ {
			// Logarithm of the probability that all have at most free circuits, and the
			// probability of exactly free circuits for each.
			logProduct, impossible := 0.0, 0
			exactly := make([]float64, s.exchanges)
			for j := range s.exchanges {
				x := s.groupIndex[i][j]
				if x < 0 {
					continue
				}
				group := &s.groups[x]
				if free == 1 {
					below[j] = group.state.freeProbability[group.endOf(i)][0]
				}
				if free <= group.circuits {
					exactly[j] = group.state.freeProbability[group.endOf(i)][free]
				}
				if atMost := below[j] + exactly[j]; atMost > 0 {
					logProduct += math.Log(atMost)
				} else {
					impossible++
				}
			}
			if impossible == 0 {
				allAtMost := math.Exp(logProduct) // probability that all have at most free circuits
				allBelow := 1.0                   // that all have fewer, given at most
				sumOfShares := 0.0
				for j := range s.exchanges {
					if s.groupIndex[i][j] >= 0 {
						allBelow *= below[j] / (below[j] + exactly[j])
						sumOfShares += exactly[j] / (below[j] + exactly[j])
					}
				}
				if sumOfShares > 0 {
					for j := range s.exchanges {
						if s.groupIndex[i][j] >= 0 {
							s.tandemShare[i][j] += allAtMost * (1 - allBelow) * exactly[j] / (below[j] + exactly[j]) / sumOfShares
						}
					}
				}
			}
			for j := range s.exchanges {
				below[j] += exactly[j]
			}
		}
		for c := range s.classes {
			s.logAllBlocked[i][c] = 0
			for j := range s.exchanges {
				if blocking := s.transitBlocking(i, j, c); s.groupIndex[i][j] >= 0 {
					s.logAllBlocked[i][c] += math.Log(max(blocking, 1e-300))
				}
			}
		}
	}
}

// iterate routes the traffic according to the previous state, recomputes every
// group and processor, and returns the maximum change of a probability.
func (s *solver) iterate(damping float64) float64 {
	m := s.mesh
	for index := range s.groups {
		for side := range 2 {
			traffic := &s.groups[index].sides[side]
			clear(traffic.direct)
			clear(traffic.transit)
			clear(traffic.waitShare)
		}
	}
	clear(s.processorDemand)
	if m.MaxTandems > 0 {
		s.selectTandems()
	}
	for i := range s.exchanges {
		for j := range s.exchanges {
			for c := range s.classes {
				if i != j && m.Offered[i][j][c] > 0 {
					s.routeTraffic(i, j, c)
				}
			}
		}
	}
	s.updateReservations()
	change := 0.0
	dampedUpdate := func(old, next float64) float64 {
		change = max(change, math.Abs(next-old))
		return old + damping*(next-old)
	}
	for index := range s.groups {
		group := &s.groups[index]
		next := solveGroup(group.circuits, m.Classes, &group.sides, group.state.directShare, m.MeanWait)
		for c := range s.classes {
			next.abandoned[c] = dampedUpdate(group.state.abandoned[c], next.abandoned[c])
			for side := range 2 {
				next.directBlocking[side][c] = dampedUpdate(group.state.directBlocking[side][c], next.directBlocking[side][c])
				next.transitBlocking[side][c] = dampedUpdate(group.state.transitBlocking[side][c], next.transitBlocking[side][c])
				next.directShare[side][c] = dampedUpdate(group.state.directShare[side][c], next.directShare[side][c])
			}
		}
		for side := range 2 {
			for f := range next.freeProbability[side] {
				next.freeProbability[side][f] = dampedUpdate(group.state.freeProbability[side][f], next.freeProbability[side][f])
			}
		}
		group.recentlyFull = dampedUpdate(group.recentlyFull, 1-math.Exp(-m.Reservation.Window*next.fullRate))
		group.state = next
	}
	if processors := m.Processors; processors != nil {
		for i := range s.exchanges {
			utilization, rejected := processorLoss(s.processorDemand[i], processors.SetupsPerSecond[i], processors.MaxQueueWait)
			s.utilization[i], s.rejected[i] = utilization, dampedUpdate(s.rejected[i], rejected)
		}
	}
	return change
}

// processorLoss returns the utilization and the share of rejected set-ups of a
// processor with a bounded waiting time: M/M/1 with as many queue places as it
// serves in that time.
func processorLoss(demand, setupsPerSecond, maxQueueWait float64) (utilization, rejected float64) {
	load := demand / setupsPerSecond
	places := 1 + maxQueueWait*setupsPerSecond
	switch {
	case load <= 0:
		return 0, 0
	case math.Abs(load-1) < 1e-9:
		rejected = 1 / (places + 1)
	case load < 1:
		power := math.Pow(load, places)
		rejected = (1 - load) * power / (1 - power*load)
	default: // the same formula with the reciprocal power, which does not overflow
		power := math.Pow(load, -places)
		rejected = (load - 1) / (load - power)
	}
	return load, min(max(rejected, 0), 1)
}

// routeTraffic adds the traffic of one pair and class to the groups and processors.
func (s *solver) routeTraffic(from, to, class int) {
	m := s.mesh
	callClass := m.Classes[class]
	offered := m.Offered[from][to][class]
	accepted := (1 - s.rejected[from]) * (1 - s.rejected[to]) // by the processors at both ends
	arriving := offered * accepted
	index := s.groupIndex[from][to]
	blocked, abandoned := 1.0, 1.0
	if index >= 0 {
		group := &s.groups[index]
		end := group.endOf(from)
		group.sides[end].direct[class] += arriving
		blocked, abandoned = group.state.directBlocking[end][class], group.state.abandoned[class]
	}
	overTandem, crankbacks := 0.0, 0.0
	if m.MaxTandems > 0 && blocked > 0 {
		overTandem, crankbacks = s.routeOverTandems(from, to, class, arriving*blocked)
	}
	waitShare := 1 - overTandem
	if index >= 0 {
		group := &s.groups[index]
		group.sides[group.endOf(from)].waitShare[class] = waitShare
	}
	s.overTandem[from][to][class] = accepted * blocked * overTandem
	s.lost[from][to][class] = 1 - accepted*(1-blocked*waitShare*abandoned)
	if processors := m.Processors; processors != nil {
		// Set-ups that the processor itself rejects count towards its demand as well. A
		// set-up that the destination's processor rejects costs the origin the examination.
		rate := offered / callClass.HoldingTime
		established := 1 - blocked*waitShare*abandoned
		s.processorDemand[from] += rate * ((1-s.rejected[to])*(established*(1+processors.ExamineWork+2*processors.FollowUpWork)+blocked*crankbacks*(1+processors.ExamineWork)) + s.rejected[to]*(1+processors.ExamineWork))
		s.processorDemand[to] += rate * (1 - s.rejected[from]) * established * (1 + 2*processors.FollowUpWork)
	}
}

// routeOverTandems offers calls to the tandems with the most free circuits, one
// after the other. It returns the share of calls set up over a tandem and the mean
// number of crankbacks per call.
func (s *solver) routeOverTandems(from, to, class int, offered float64) (overTandem, crankbacks float64) {
	m := s.mesh
	callClass := m.Classes[class]
	totalShare, blockedShare := 0.0, 0.0
	for tandem := range s.exchanges {
		if s.isTandem(from, tandem, to) {
			totalShare += s.tandemShare[from][tandem]
			blockedShare += s.tandemShare[from][tandem] * s.tandemBlocking(tandem, to, class)
		}
	}
	if totalShare <= 1e-12 {
		return 0, 0
	}
	// Probability that some first leg is free; the destination is not a tandem.
	logAllBlocked := s.logAllBlocked[from][class]
	if s.groupIndex[from][to] >= 0 {
		logAllBlocked -= math.Log(max(s.transitBlocking(from, to, class), 1e-300))
	}
	anyFirstLeg := -math.Expm1(logAllBlocked)
	secondLegBlocking := blockedShare / totalShare
	rounds, allFailed := 0.0, 1.0
	for range m.MaxTandems {
		rounds += allFailed
		allFailed *= secondLegBlocking
	}
	for tandem := range s.exchanges {
		if !s.isTandem(from, tandem, to) {
			continue
		}
		setups := anyFirstLeg * rounds * s.tandemShare[from][tandem] / totalShare // per call, over this tandem
		reached := 1 - s.tandemBlocking(tandem, to, class)
		if setups*reached > 0 {
			s.offerTransit(from, tandem, class, offered*setups*reached)
			s.offerTransit(tandem, to, class, offered*setups*reached)
		}
		if processors := m.Processors; processors != nil {
			rate := offered * setups / callClass.HoldingTime
			s.processorDemand[tandem] += rate*reached*(2+processors.ExamineWork+4*processors.FollowUpWork) + rate*(1-reached)
		}
	}
	return anyFirstLeg * (1 - allFailed), anyFirstLeg * rounds * secondLegBlocking
}

// isTandem reports whether an exchange can be a tandem for calls between two others.
func (s *solver) isTandem(from, tandem, to int) bool {
	return tandem != from && tandem != to && s.groupIndex[from][tandem] >= 0 && s.groupIndex[tandem][to] >= 0
}

// tandemBlocking returns the probability of a crankback at a tandem, because its
// second leg or its processor is full.
func (s *solver) tandemBlocking(tandem, to, class int) float64 {
	return 1 - (1-s.transitBlocking(tandem, to, class))*(1-s.rejected[tandem])
}

// offerTransit adds transit traffic that a group is to carry. The offered traffic
// is larger by the part that the group blocks.
func (s *solver) offerTransit(from, to, class int, carried float64) {
	group := &s.groups[s.groupIndex[from][to]]
	end := group.endOf(from)
	group.sides[end].transit[class] += carried / max(1-group.state.transitBlocking[end][class], 1e-6)
}

// updateReservations recomputes the trunk reservations of each side of each group.
func (s *solver) updateReservations() {
	m := s.mesh
	base := float64(m.Reservation.Base)
	recentlyFull, groups := make([]float64, s.exchanges), make([]float64, s.exchanges)
	for index := range s.groups {
		group := &s.groups[index]
		for _, exchange := range []int{group.a, group.b} {
			recentlyFull[exchange] += group.recentlyFull
			groups[exchange]++
		}
	}
	for index := range s.groups {
		group := &s.groups[index]
		for side, exchange := range []int{group.a, group.b} {
			traffic := &group.sides[side]
			traffic.reservation = append(traffic.reservation[:0], base)
			if m.Reservation.Window > 0 && group.recentlyFull > 0 {
				traffic.reservation = traffic.reservation[:0]
				if mean := traffic.directCircuits(m.Classes); math.Abs(mean-group.meanDirect[side]) > 1e-6*mean { // quantiles are expensive to compute
					group.meanDirect[side], group.demandQuantiles[side] = mean, s.measuredDemand(traffic, func(int) bool { return true })
				}
				for _, demand := range group.demandQuantiles[side] {
					follow := (demand + math.Sqrt(demand)) * recentlyFull[exchange] / groups[exchange]
					traffic.reservation = append(traffic.reservation, min(base+group.recentlyFull*max(follow-base, 0), float64(group.circuits)))
				}
			}
			if !m.Reservation.ProtectHighValue || m.Reservation.Window <= 0 || traffic.highValue != nil {
				continue // depends only on the offered traffic: computed once
			}
			traffic.highValue = make([][]float64, s.classes)
			for c := range m.Classes {
				for _, demand := range s.measuredDemand(traffic, func(d int) bool { return muchHigherValue(m.Classes, d, c) }) {
					if demand > 0 { // rounded up, by 0.5 on average
						traffic.highValue[c] = append(traffic.highValue[c], min(max(demand+0.5, 1), float64(group.circuits)))
					}
				}
			}
		}
	}
}

// directCircuits returns a side's direct demand in circuits.
func (s *sideTraffic) directCircuits(classes []Class) float64 {
	sum := 0.0
	for c, class := range classes {
		sum += s.direct[c] * float64(class.Circuits)
	}
	return sum
}

// quantilePoints are the quantiles that represent a distribution with equal weights.
var quantilePoints = []float64{0.1, 0.3, 0.5, 0.7, 0.9}

// measuredDemand returns quantiles of the direct demand of a side in circuits as
// the routing module measures it: arrivals times holding time, decaying over the
// window. The measurement is a shot noise process, approximated by the Gamma
// distribution with its mean and variance (N. R. Campbell's theorem).
func (s *solver) measuredDemand(traffic *sideTraffic, includes func(class int) bool) []float64 {
	mean, variance := 0.0, 0.0
	for c, class := range s.mesh.Classes {
		if includes(c) {
			circuits := traffic.direct[c] * float64(class.Circuits)
			mean += circuits
			variance += circuits * float64(class.Circuits) * class.HoldingTime / (2 * s.mesh.Reservation.Window)
		}
	}
	if mean <= 0 {
		return []float64{0}
	}
	distribution := distuv.Gamma{Alpha: mean * mean / variance, Beta: mean / variance}
	quantiles := make([]float64, len(quantilePoints))
	for i, point := range quantilePoints {
		quantiles[i] = distribution.Quantile(point)
	}
	return quantiles
}

// run iterates until the values converge. It increases the damping when they
// oscillate.
func (s *solver) run() *Solution {
	damping, minChange := 0.7, math.Inf(1)
	solution, maxSteps := &Solution{}, s.mesh.MaxIterations
	if maxSteps <= 0 {
		maxSteps = maxIterations
	}
	for solution.Iterations = 1; solution.Iterations <= maxSteps; solution.Iterations++ {
		solution.LastChange = s.iterate(damping)
		if solution.LastChange < convergenceTolerance {
			solution.Converged = true
			break
		}
		if solution.Iterations%40 == 0 {
			if solution.LastChange > minChange/2 {
				damping = max(damping/1.5, 0.05)
			}
			minChange = min(minChange, solution.LastChange)
		}
	}
	solution.Iterations = min(solution.Iterations, maxSteps)
	return s.solution(solution)
}

func (s *solver) solution(solution *Solution) *Solution {
	m := s.mesh
	solution.Loss, solution.Rerouted, solution.Utilization, solution.Rejected = s.lost, s.overTandem, s.utilization, s.rejected
	solution.LossByClass = make([]float64, s.classes)
	solution.Groups = make([][]Group, s.exchanges)
	for from := range solution.Groups {
		solution.Groups[from] = make([]Group, s.exchanges)
		for to := range solution.Groups[from] {
			if index := s.groupIndex[from][to]; index >= 0 {
				group := &s.groups[index]
				solution.Groups[from][to] = Group{group.state.carried, group.state.transit, group.state.timeCongestion}
			}
		}
	}
	for c := range m.Classes {
		offered, lost := 0.0, 0.0
		for i := range s.exchanges {
			for j := range s.exchanges {
				offered += m.Offered[i][j][c]
				lost += m.Offered[i][j][c] * s.lost[i][j][c]
			}
		}
		if offered > 0 {
			solution.LossByClass[c] = lost / offered
		}
	}
	return solution
}
