// Package plan says how many circuits a network's groups need: least cost, in
// whole modules, for a loss by class that holds in normal times and, if asked,
// with any one exchange or region link away. It is free of I/O; what a network
// loses it asks of package network.
//
// Files: plan.go the problem and its search; bound.go what no plan can go
// below; moves.go what to do first with a budget.
package plan

import (
	"context"
	"errors"
	"fmt"
	"math"

	"dahliaspindle/internal/loss"
	"dahliaspindle/internal/network"
)

// Task is what is to be planned.
type Task struct {
	Mesh           *network.Mesh // its circuits are those that stand now
	TargetLoss     []float64     // by class: most loss over all traffic, in normal times
	MaxFailureLoss float64       // most loss of any class while something is away; 0: not looked at
	Growth         float64       // traffic is taken so many times
	ModuleSize     int           // circuits come in so many
	CircuitCost    [][]float64   // of a circuit between two exchanges; nil: 1 each
	Region         []int         // of each exchange
	LinkShare      float64       // share of the circuits between two regions that one link carries
	MaxSolves      int           // networks that the search may solve
}

// Plan is an answer.
type Plan struct {
	Circuits         [][]int
	TotalCircuits    int
	Cost             float64
	PredictedLoss    []float64 // loss by class in normal times
	WorstFailureLoss float64   // loss of the worst class with the worst thing away; 0 if not looked at
	WorstFailure     string
	CostBound        float64 // cost that no plan can go below
	Solves           int     // networks
	Stopped          bool    // the search ran out of networks or time: the plan is good, a better one was still sought
}

// Gap is how much dearer the plan is than the bound, as a share of the bound.
func (p *Plan) Gap() float64 { return p.Cost/p.CostBound - 1 }

// ErrNoPlan is wrapped by errors for a task that can't be.
var ErrNoPlan = errors.New("not to be planned")

// Validate tells what is wrong with a task.
func (t *Task) Validate() error {
	if err := t.Mesh.Validate(); err != nil {
		return err
	}
	n := len(t.Mesh.Circuits)
	switch {
	case len(t.TargetLoss) != len(t.Mesh.Classes):
		return fmt.Errorf("%d targets for %d classes: %w", len(t.TargetLoss), len(t.Mesh.Classes), ErrNoPlan)
	case !(t.Growth > 0) || t.Growth > 100:
		return fmt.Errorf("growth %v, above 0 to 100 can be: %w", t.Growth, ErrNoPlan)
	case t.ModuleSize < 1 || t.ModuleSize > 10000:
		return fmt.Errorf("modules of %d circuits: %w", t.ModuleSize, ErrNoPlan)
	case t.MaxFailureLoss < 0 || t.MaxFailureLoss >= 1 || t.LinkShare < 0 || t.LinkShare > 1:
		return fmt.Errorf("a loss of %v with a part away, links of %v of a region's circuits: %w", t.MaxFailureLoss, t.LinkShare, ErrNoPlan)
	case t.CircuitCost != nil && len(t.CircuitCost) != n || t.Region != nil && len(t.Region) != n:
		return fmt.Errorf("costs of %d, regions of %d exchanges, %d there are: %w", len(t.CircuitCost), len(t.Region), n, ErrNoPlan)
	}
	for c, loss := range t.TargetLoss {
		if !(loss > 0 && loss < 1) {
			return fmt.Errorf("class %s: a loss of %v can't be aimed at, above 0 and below 1 can: %w", t.Mesh.Classes[c].Name, loss, ErrNoPlan)
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

func (t *Task) cost(i, j int) float64 {
	if t.CircuitCost == nil {
		return 1
	}
	return t.CircuitCost[i][j]
}

// search is a search under way.
type search struct {
	task           *Task
	ctx            context.Context
	exchanges      int
	mesh           *network.Mesh
	pairDemand     [][]float64 // circuits asked for between two exchanges, both ways
	pairPeakedness [][]float64 // mean width of these
	solves         int
}

func newSearch(ctx context.Context, t *Task) *search {
	mesh := *t.Mesh
	result := &search{task: t, ctx: ctx, exchanges: len(mesh.Circuits)}
	mesh.Offered = make([][][]float64, result.exchanges)
	for i := range result.exchanges {
		mesh.Offered[i] = make([][]float64, result.exchanges)
		result.pairDemand, result.pairPeakedness = append(result.pairDemand, make([]float64, result.exchanges)), append(result.pairPeakedness, make([]float64, result.exchanges))
		for j := range result.exchanges {
			mesh.Offered[i][j] = make([]float64, len(mesh.Classes))
			for c, circuits := range t.Mesh.Offered[i][j] {
				mesh.Offered[i][j][c] = circuits * t.Growth
			}
		}
	}
	for i := range result.exchanges {
		for j := range result.exchanges {
			weighted := 0.0
			for c, cl := range mesh.Classes {
				a := (mesh.Offered[i][j][c] + mesh.Offered[j][i][c]) * float64(cl.Circuits)
				result.pairDemand[i][j] += a
				weighted += a * float64(cl.Circuits)
			}
			result.pairPeakedness[i][j] = 1
			if result.pairDemand[i][j] > 0 {
				result.pairPeakedness[i][j] = weighted / result.pairDemand[i][j]
			}
		}
	}
	result.mesh = &mesh
	return result
}

// exhausted tells whether the search has used what it was given.
func (s *search) exhausted() bool { return s.solves >= s.task.MaxSolves || s.ctx.Err() != nil }

// maxIterations is the steps in which a network must come to rest to be planned on:
// one that needs far more is at the edge between two states.
const maxIterations = 200

// evaluate solves a network with these circuits, from an empty and a full state;
// how is the worst of loss over target (1 and below: all hold in either).
func (s *search) evaluate(circuits [][]int) (lossRatio float64, normal *network.Solution, failureLoss float64, failureName string, err error) {
	mesh := *s.mesh
	mesh.Circuits, mesh.MaxIterations = circuits, maxIterations
	for _, full := range []bool{true, false} { // the better known one last
		s.solves++
		if normal, err = network.SolveFrom(&mesh, full); err != nil {
			return 0, nil, 0, "", err
		}
		if !normal.Converged {
			return math.Inf(1), normal, 0, "", nil
		}
		for c, loss := range normal.LossByClass {
			lossRatio = max(lossRatio, loss/s.task.TargetLoss[c])
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
		for c, b := range solution.LossByClass {
			if !solution.Converged {
				b = 1
			}
			if failure.hasTraffic[c] && b > failureLoss {
				failureLoss, failureName = b, failure.name
			}
		}
		if failureLoss > s.task.MaxFailureLoss {
			break
		}
	}
	return max(lossRatio, failureLoss/s.task.MaxFailureLoss), normal, failureLoss, failureName, nil
}

// failure is the network with something away.
type failure struct {
	name       string
	mesh       *network.Mesh
	hasTraffic []bool // classes with traffic left
}

// failures lists the networks with one exchange away, whose own traffic is away
// too, and with one link between two regions away.
func (s *search) failures(circuits [][]int) []failure {
	var failures []failure
	addFailure := func(what string, circuits func(i, j int) int, offered func(i, j int) bool) {
		mesh := *s.mesh
		mesh.Circuits, mesh.Offered = make([][]int, s.exchanges), make([][][]float64, s.exchanges)
		degraded := failure{name: what, mesh: &mesh, hasTraffic: make([]bool, len(mesh.Classes))}
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
		away := func(i, j int) bool { return i == failed || j == failed }
		addFailure(fmt.Sprintf("exchange %d", failed), func(i, j int) int {
			if away(i, j) {
				return 0
			}
			return circuits[i][j]
		}, func(i, j int) bool { return !away(i, j) })
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
				if x, y := s.task.Region[i], s.task.Region[j]; x == a && y == b || x == b && y == a {
					return circuits[i][j] - int(math.Ceil(s.task.LinkShare*float64(circuits[i][j])))
				}
				return circuits[i][j]
			}, func(i, j int) bool { return true })
		}
	}
	return failures
}

// sizeGroups makes groups by a rule for each pair, in whole modules.
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

// marginalValue is what the last module of a group, or the next, saves on its direct
// traffic for its cost: K. Moe's measure, with wide calls as a factor on the
// traffic's peakedness (Hayward).
func (s *search) marginalValue(i, j, circuits int) float64 {
	demand, peakedness := s.pairDemand[i][j], s.pairPeakedness[i][j]
	lossBefore, err0 := loss.ErlangBContinuous(demand/peakedness, float64(circuits)/peakedness)
	lossAfter, err1 := loss.ErlangBContinuous(demand/peakedness, float64(circuits+s.task.ModuleSize)/peakedness)
	if err0 != nil || err1 != nil || demand == 0 {
		return 0
	}
	return demand * (lossBefore - lossAfter) / (s.task.cost(i, j) * float64(s.task.ModuleSize))
}

// sizeByMoe sizes each group so that its next module would save less than worth.
func (s *search) sizeByMoe(minValue float64) [][]int {
	return s.sizeGroups(func(i, j int) float64 {
		maxModules := int(4*s.pairDemand[i][j])/s.task.ModuleSize + 20
		low, high := 0, maxModules // modules; what the next one saves falls from the first or second on
		for low < high {
			mid := (low + high) / 2
			if s.marginalValue(i, j, mid*s.task.ModuleSize) < minValue {
				high = mid
			} else {
				low = mid + 1
			}
		}
		return float64(low * s.task.ModuleSize)
	})
}

func (s *search) totalCost(circuits [][]int) (cost float64, total int) {
	for i := range s.exchanges {
		for j := range i {
			cost += float64(circuits[i][j]) * s.task.cost(i, j)
			total += circuits[i][j]
		}
	}
	return cost, total
}

// cheapestFeasible finds the largest knob at which the sizes still hold: knobs from dear to
// cheap, by halving. hold tells of the ones that were judged.
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
		how, _, _, _, err := s.evaluate(candidate)
		if err != nil {
			return nil, err
		}
		if how <= 1 {
			best, feasible = candidate, mid
		} else {
			infeasible = mid
		}
	}
	return best, nil
}

// Optimize plans. It starts from the cheapest of three: Moe's principle, by which
// every group's next module saves the same for its cost, the common worth found
// by halving; groups in proportion to their traffic; what stands. From there
// groups give up modules, the least worthy first, for as long as all targets hold.
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
		return nil, fmt.Errorf("planning: no size of the groups reaches the targets: processors or pairs without traffic of their own stand in the way: %w", ErrNoPlan)
	}
	if err := s.removeModules(best); err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	return s.newPlan(best)
}

// initialSizes is the cheapest of what holds: groups of like worth, groups in proportion to
// their traffic (transit may need more than any direct traffic asks for), and the
// groups that stand; nil if none of them does.
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
		was, _ := s.totalCost(best)
		if now, _ := s.totalCost(present); now >= was {
			return best, nil
		}
	}
	lossRatio, _, _, _, err := s.evaluate(present)
	if err == nil && lossRatio <= 1 {
		err = consider(present, nil)
	}
	return best, err
}

// Proportional sizes every group in proportion to its traffic: what planning is held against.
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

// removeModules takes modules away, the least worthy first, as long as the targets hold:
// from many groups at once while that goes, then one by one. Groups that could
// not give one are asked again only when a round has changed something.
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
			for _, g := range taken {
				addCircuits(circuits, g, s.task.ModuleSize)
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
			how, _, _, _, err := s.evaluate(circuits)
			if err != nil {
				return err
			}
			if how > 1 {
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

// leastValuableGroup is the group whose last module saves least for its cost; -1 if none is left.
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
