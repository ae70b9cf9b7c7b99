// Package plan computes the circuits that the trunk groups of a network need: the
// minimum cost, in whole modules, for a target loss by class in normal operation
// and, optionally, with any one exchange or region link failed. Package network
// computes the losses. The package does no I/O.
//
// Files: plan.go holds the task and the search; bound.go a lower bound of the cost;
// moves.go the first changes within a budget.
package plan

import (
	"context"
	"errors"
	"fmt"
	"math"

	"dahliaspindle/internal/loss"
	"dahliaspindle/internal/network"
)

// Task describes a planning problem.
type Task struct {
	Mesh           *network.Mesh // with the present circuits
	TargetLoss     []float64     // by class: maximum loss of the total traffic in normal operation
	MaxFailureLoss float64       // maximum loss of any class during a failure; 0: failures are not considered
	Growth         float64       // factor on the traffic
	ModuleSize     int           // circuits per module
	CircuitCost    [][]float64   // by pair, per circuit; nil: 1
	Region         []int         // of each exchange; nil: no region links
	LinkShare      float64       // share of the circuits between two regions that one link carries
	MaxSolves      int           // maximum number of networks that the search solves
}

// Plan is the result of a planning task.
type Plan struct {
	Circuits         [][]int
	TotalCircuits    int
	Cost             float64
	PredictedLoss    []float64 // by class, in normal operation
	WorstFailureLoss float64   // maximum loss of a class over all failures; 0 if failures are not considered
	WorstFailure     string    // name of the failure with that loss
	CostBound        float64   // lower bound of the cost of any plan
	Solves           int       // networks solved
	Stopped          bool      // the search reached MaxSolves or its deadline: the plan meets the targets, a better one may exist
}

// Gap returns the relative difference between the cost of the plan and its bound.
func (p *Plan) Gap() float64 { return p.Cost/p.CostBound - 1 }

// ErrNoPlan is wrapped by the errors for an invalid task and for a task without a
// plan that meets the targets.
var ErrNoPlan = errors.New("no plan possible")

// Validate returns an error that describes the first invalid value of the task.
func (t *Task) Validate() error {
	if err := t.Mesh.Validate(); err != nil {
		return err
	}
	n := len(t.Mesh.Circuits)
	switch {
	case len(t.TargetLoss) != len(t.Mesh.Classes):
		return fmt.Errorf("%d targets for %d classes: %w", len(t.TargetLoss), len(t.Mesh.Classes), ErrNoPlan)
	case !(t.Growth > 0) || t.Growth > 100:
		return fmt.Errorf("growth %v must be greater than 0 and at most 100: %w", t.Growth, ErrNoPlan)
	case t.ModuleSize < 1 || t.ModuleSize > 10000:
		return fmt.Errorf("modules of %d circuits: %w", t.ModuleSize, ErrNoPlan)
	case t.MaxFailureLoss < 0 || t.MaxFailureLoss >= 1 || t.LinkShare < 0 || t.LinkShare > 1:
		return fmt.Errorf("maximum failure loss %v must be at least 0 and less than 1, link share %v at least 0 and at most 1: %w", t.MaxFailureLoss, t.LinkShare, ErrNoPlan)
	case t.CircuitCost != nil && len(t.CircuitCost) != n || t.Region != nil && len(t.Region) != n:
		return fmt.Errorf("costs of %d and regions of %d exchanges, want %d: %w", len(t.CircuitCost), len(t.Region), n, ErrNoPlan)
	}
	for c, target := range t.TargetLoss {
		if !(target > 0 && target < 1) {
			return fmt.Errorf("class %s: a loss of %v must be greater than 0 and less than 1: %w", t.Mesh.Classes[c].Name, target, ErrNoPlan)
		}
	}
	offered := 0.0
	for i := range n {
		if t.CircuitCost != nil && len(t.CircuitCost[i]) != n {
			return fmt.Errorf("exchange %d: costs to %d exchanges: %w", i, len(t.CircuitCost[i]), ErrNoPlan)
		}
		for j := range n {
			if t.CircuitCost != nil && i != j && !(t.CircuitCost[i][j] > 0) {
				return fmt.Errorf("group %d-%d: a cost of %v: %w", i, j, t.CircuitCost[i][j], ErrNoPlan)
			}
			for _, traffic := range t.Mesh.Offered[i][j] {
				offered += traffic
			}
		}
	}
	if offered == 0 {
		return fmt.Errorf("no traffic is offered: %w", ErrNoPlan)
	}
	return nil
}

func (t *Task) circuitCost(from, to int) float64 {
	if t.CircuitCost == nil {
		return 1
	}
	return t.CircuitCost[from][to]
}

// search holds the state of a search.
type search struct {
	task           *Task
	ctx            context.Context
	exchanges      int
	mesh           *network.Mesh // with the traffic after growth
	pairDemand     [][]float64   // in circuits between two exchanges, both directions
	pairPeakedness [][]float64   // mean number of circuits per call, weighted by demand
	solves         int
}

func newSearch(ctx context.Context, t *Task) *search {
	mesh := *t.Mesh
	s := &search{
		task:      t,
		ctx:       ctx,
		exchanges: len(mesh.Circuits),
	}
	mesh.Offered = make([][][]float64, s.exchanges)
	for i := range s.exchanges {
		mesh.Offered[i] = make([][]float64, s.exchanges)
		s.pairDemand, s.pairPeakedness = append(s.pairDemand, make([]float64, s.exchanges)), append(s.pairPeakedness, make([]float64, s.exchanges))
		for j := range s.exchanges {
			mesh.Offered[i][j] = make([]float64, len(mesh.Classes))
			for c, traffic := range t.Mesh.Offered[i][j] {
				mesh.Offered[i][j][c] = traffic * t.Growth
			}
		}
	}
	for i := range s.exchanges {
		for j := range s.exchanges {
			weightedDemand := 0.0
			for c, class := range mesh.Classes {
				demand := (mesh.Offered[i][j][c] + mesh.Offered[j][i][c]) * float64(class.Circuits)
				s.pairDemand[i][j] += demand
				weightedDemand += demand * float64(class.Circuits)
			}
			s.pairPeakedness[i][j] = 1
			if s.pairDemand[i][j] > 0 {
				s.pairPeakedness[i][j] = weightedDemand / s.pairDemand[i][j]
			}
		}
	}
	s.mesh = &mesh
	return s
}

// exhausted reports whether the search has reached its limit of networks or time.
func (s *search) exhausted() bool { return s.solves >= s.task.MaxSolves || s.ctx.Err() != nil }

// maxIterations is the number of iterations in which a network must converge: one
// that needs far more is close to bistable and unsuitable for planning.
const maxIterations = 200

// evaluate solves the network with the given circuits from an empty and from a full
// state, and with each failure. lossRatio is the maximum ratio of loss to target; at
// most 1 means that all targets hold in both states.
func (s *search) evaluate(circuits [][]int) (lossRatio float64, normal *network.Solution, failureLoss float64, failureName string, err error) {
	mesh := *s.mesh
	mesh.Circuits, mesh.MaxIterations = circuits, maxIterations
	for _, full := range []bool{true, false} { // normal is the solution from an empty network
		s.solves++
		if normal, err = network.SolveFrom(&mesh, full); err != nil {
			return 0, nil, 0, "", err
		}
		if !normal.Converged {
			return math.Inf(1), normal, 0, "", nil
		}
		for c, classLoss := range normal.LossByClass {
			lossRatio = max(lossRatio, classLoss/s.task.TargetLoss[c])
		}
		if lossRatio > 1 {
			return lossRatio, normal, 0, "", nil
		}
	}
	if s.task.MaxFailureLoss == 0 {
		return lossRatio, normal, 0, "", nil
	}
	for _, failure := range s.failures(circuits) {
		failure.mesh.MaxIterations = maxIterations
		s.solves++
		solution, err := network.SolveFrom(failure.mesh, true)
		if err != nil {
			return 0, nil, 0, "", err
		}
		for c, loss := range solution.LossByClass {
			if !solution.Converged {
				loss = 1
			}
			if failure.hasTraffic[c] && loss > failureLoss {
				failureLoss, failureName = loss, failure.name
			}
		}
		if failureLoss > s.task.MaxFailureLoss {
			break
		}
	}
	return max(lossRatio, failureLoss/s.task.MaxFailureLoss), normal, failureLoss, failureName, nil
}

// failure is the network during the failure of an exchange or a link.
type failure struct {
	name       string
	mesh       *network.Mesh
	hasTraffic []bool // by class: traffic remains during the failure
}

// failures returns the networks with one exchange failed, without the traffic of its
// callers and to it, and with one link between two regions failed.
func (s *search) failures(circuits [][]int) []failure {
	var failures []failure
	addFailure := func(name string, circuits func(i, j int) int, offered func(i, j int) bool) {
		mesh := *s.mesh
		mesh.Circuits, mesh.Offered = make([][]int, s.exchanges), make([][][]float64, s.exchanges)
		degraded := failure{name: name, mesh: &mesh, hasTraffic: make([]bool, len(mesh.Classes))}
		for i := range s.exchanges {
			mesh.Circuits[i], mesh.Offered[i] = make([]int, s.exchanges), make([][]float64, s.exchanges)
			for j := range s.exchanges {
				mesh.Circuits[i][j] = circuits(i, j)
				mesh.Offered[i][j] = s.mesh.Offered[i][j]
				if !offered(i, j) {
					mesh.Offered[i][j] = make([]float64, len(mesh.Classes))
				}
				for c, a := range mesh.Offered[i][j] {
					degraded.hasTraffic[c] = degraded.hasTraffic[c] || a > 0
				}
			}
		}
		failures = append(failures, degraded)
	}
	for failed := range s.exchanges {
		isFailed := func(i, j int) bool { return i == failed || j == failed }
		addFailure(fmt.Sprintf("exchange %d", failed), func(i, j int) int {
			if isFailed(i, j) {
				return 0
			}
			return circuits[i][j]
		}, func(i, j int) bool { return !isFailed(i, j) })
	}
	if s.task.Region == nil || s.task.LinkShare == 0 {
		return failures
	}
	regions := 0
	for _, region := range s.task.Region {
		regions = max(regions, region+1)
	}
	for a := range regions {
		for b := range a {
			addFailure(fmt.Sprintf("a link between regions %d and %d", b, a), func(i, j int) int {
				if regionI, regionJ := s.task.Region[i], s.task.Region[j]; regionI == a && regionJ == b || regionI == b && regionJ == a {
					return circuits[i][j] - int(math.Ceil(s.task.LinkShare*float64(circuits[i][j])))
				}
				return circuits[i][j]
			}, func(i, j int) bool { return true })
		}
	}
	return failures
}

// sizeGroups rounds the size that rule returns for each pair with demand up to whole
// modules.
func (s *search) sizeGroups(rule func(i, j int) float64) [][]int {
	sizes := make([][]int, s.exchanges)
	for i := range sizes {
		sizes[i] = make([]int, s.exchanges)
	}
	for i := range s.exchanges {
		for j := range i {
			if s.pairDemand[i][j] > 0 {
				moduleSize := float64(s.task.ModuleSize)
				rounded := int(math.Ceil(rule(i, j)/moduleSize-1e-9)) * s.task.ModuleSize
				sizes[i][j], sizes[j][i] = rounded, rounded
			}
		}
	}
	return sizes
}

// marginalValue returns the direct traffic that the next module of a group with the
// given circuits saves per cost: K. Moe's improvement function. Calls of several
// circuits count as peakedness (Hayward).
func (s *search) marginalValue(i, j, circuits int) float64 {
	demand, peakedness := s.pairDemand[i][j], s.pairPeakedness[i][j]
	lossBefore, err0 := loss.ErlangBContinuous(demand/peakedness, float64(circuits)/peakedness)
	lossAfter, err1 := loss.ErlangBContinuous(demand/peakedness, float64(circuits+s.task.ModuleSize)/peakedness)
	if err0 != nil || err1 != nil || demand == 0 {
		return 0
	}
	return demand * (lossBefore - lossAfter) / (s.task.circuitCost(i, j) * float64(s.task.ModuleSize))
}

// sizeByMoe sizes each group such that its next module has a marginal value below
// minValue.
func (s *search) sizeByMoe(minValue float64) [][]int {
	return s.sizeGroups(func(i, j int) float64 {
		maxModules := int(4*s.pairDemand[i][j])/s.task.ModuleSize + 20
		low, high := 0, maxModules // in modules; the marginal value falls from the first or second module on
		for low < high {
			middle := (low + high) / 2
			if s.marginalValue(i, j, middle*s.task.ModuleSize) < minValue {
				high = middle
			} else {
				low = middle + 1
			}
		}
		return float64(low * s.task.ModuleSize)
	})
}

func (s *search) totalCost(circuits [][]int) (cost float64, total int) {
	for i := range s.exchanges {
		for j := range i {
			cost += float64(circuits[i][j]) * s.task.circuitCost(i, j)
			total += circuits[i][j]
		}
	}
	return cost, total
}

// cheapestFeasible bisects between a feasible and an infeasible parameter on a
// logarithmic scale and returns the sizes of the last parameter that meets the
// targets, or nil if feasible does not meet them.
func (s *search) cheapestFeasible(sizes func(parameter float64) [][]int, feasible, infeasible float64, steps int) ([][]int, error) {
	best := sizes(feasible)
	lossRatio, _, _, _, err := s.evaluate(best)
	if err != nil {
		return nil, err
	}
	if lossRatio > 1 {
		return nil, nil
	}
	for range steps {
		if s.exhausted() {
			break
		}
		mid := math.Sqrt(feasible * infeasible)
		candidate := sizes(mid)
		ratio, _, _, _, err := s.evaluate(candidate)
		if err != nil {
			return nil, err
		}
		if ratio <= 1 {
			best, feasible = candidate, mid
		} else {
			infeasible = mid
		}
	}
	return best, nil
}

// Optimize searches for the plan of minimum cost. It starts from the cheapest of
// three feasible solutions: Moe's principle, by which the next module of every group
// has the same marginal value, with that value found by bisection; groups in
// proportion to their traffic; and the present groups. It then removes modules in
// order of increasing marginal value while all targets hold.
func Optimize(ctx context.Context, t *Task) (*Plan, error) {
	if err := t.Validate(); err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	s := newSearch(ctx, t)
	best, err := s.initialSizes()
	if err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	if best == nil {
		return nil, fmt.Errorf("planning: no group sizes reach the targets, because of the processors or of pairs without direct traffic: %w", ErrNoPlan)
	}
	if err := s.removeModules(best); err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	return s.newPlan(best)
}

// initialSizes returns the cheapest feasible solution among groups of equal marginal
// value, groups in proportion to their traffic (transit may need more than the direct
// traffic suggests) and the present groups, or nil if none is feasible.
func (s *search) initialSizes() ([][]int, error) {
	var best [][]int
	consider := func(circuits [][]int, err error) error {
		if err != nil || circuits == nil {
			return err
		}
		if best != nil {
			bestCost, _ := s.totalCost(best)
			if cost, _ := s.totalCost(circuits); cost >= bestCost {
				return nil
			}
		}
		best = circuits
		return nil
	}
	if err := consider(s.cheapestFeasible(s.sizeByMoe, 1e-7, 1, 14)); err != nil {
		return nil, err
	}
	if err := consider(s.cheapestFeasible(s.sizeProportionally, 8, 0.5, 14)); err != nil {
		return nil, err
	}
	present := s.sizeGroups(func(i, j int) float64 { return float64(s.task.Mesh.Circuits[i][j]) })
	if best != nil {
		bestCost, _ := s.totalCost(best)
		if cost, _ := s.totalCost(present); cost >= bestCost {
			return best, nil
		}
	}
	lossRatio, _, _, _, err := s.evaluate(present)
	if err == nil && lossRatio <= 1 {
		err = consider(present, nil)
	}
	return best, err
}

// Proportional returns the cheapest plan with every group sized in proportion to its
// traffic, as a reference for Optimize.
func Proportional(ctx context.Context, t *Task) (*Plan, error) {
	if err := t.Validate(); err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	s := newSearch(ctx, t)
	best, err := s.cheapestFeasible(s.sizeProportionally, 8, 0.5, 14)
	if err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	if best == nil {
		return nil, fmt.Errorf("planning: eight times the traffic is not enough: %w", ErrNoPlan)
	}
	return s.newPlan(best)
}

func (s *search) sizeProportionally(factor float64) [][]int {
	return s.sizeGroups(func(i, j int) float64 { return factor * s.pairDemand[i][j] })
}

// removeModules removes modules in order of increasing marginal value while the
// targets hold: first from many groups at once, then one by one. Groups that could
// not spare a module are tried again only after a round that changed something.
func (s *search) removeModules(circuits [][]int) error {
	for batch := s.exchanges * (s.exchanges - 1) / 8; batch > 1 && !s.exhausted(); {
		var taken [][2]int
		tried := map[[2]int]bool{}
		for range batch {
			i, j := s.leastValuableGroup(circuits, tried)
			if i < 0 {
				break
			}
			tried[[2]int{i, j}] = true
			taken = append(taken, [2]int{i, j})
			addCircuits(circuits, [2]int{i, j}, -s.task.ModuleSize)
		}
		lossRatio, _, _, _, err := s.evaluate(circuits)
		if err != nil {
			return err
		}
		if lossRatio > 1 || len(taken) == 0 {
			for _, group := range taken {
				addCircuits(circuits, group, s.task.ModuleSize)
			}
			batch /= 2
		}
	}
	for changed := true; changed; {
		changed = false
		tried := map[[2]int]bool{}
		for !s.exhausted() {
			i, j := s.leastValuableGroup(circuits, tried)
			if i < 0 {
				break
			}
			g := [2]int{i, j}
			tried[g] = true
			addCircuits(circuits, g, -s.task.ModuleSize)
			lossRatio, _, _, _, err := s.evaluate(circuits)
			if err != nil {
				return err
			}
			if lossRatio > 1 {
				addCircuits(circuits, g, s.task.ModuleSize)
				continue
			}
			changed = true
			delete(tried, g)
		}
		if s.exhausted() {
			return nil
		}
	}
	return nil
}

// leastValuableGroup returns the group whose last module has the lowest marginal
// value, or -1, -1 if none is left.
func (s *search) leastValuableGroup(circuits [][]int, tried map[[2]int]bool) (int, int) {
	least, bestFrom, bestTo := math.Inf(1), -1, -1
	for i := range s.exchanges {
		for j := range i {
			if circuits[i][j] < s.task.ModuleSize || tried[[2]int{i, j}] {
				continue
			}
			if value := s.marginalValue(i, j, circuits[i][j]-s.task.ModuleSize); value < least {
				least, bestFrom, bestTo = value, i, j
			}
		}
	}
	return bestFrom, bestTo
}

func (s *search) newPlan(circuits [][]int) (*Plan, error) {
	plan := &Plan{Circuits: circuits, Stopped: s.exhausted()}
	plan.Cost, plan.TotalCircuits = s.totalCost(circuits)
	_, normal, failureLoss, failureName, err := s.evaluate(circuits)
	if err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	plan.PredictedLoss, plan.WorstFailureLoss, plan.WorstFailure, plan.Solves = normal.LossByClass, failureLoss, failureName, s.solves
	if plan.CostBound, err = s.costBound(); err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	return plan, nil
}
