package plan

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"dahliaspindle/internal/loss"
)

// costBound returns a lower bound of the cost of any plan, by linear programming
// (gonum's simplex) with fractional circuits and modules. All calls between an
// exchange and the others take circuits of that exchange's groups, whatever their
// route; at best these groups act as one group that every call can use and wait
// for. The traffic lost at an exchange is therefore at least Erlang A of the sum of
// its circuits. This is convex in the circuits; the program contains secants of it
// and adds one where a solution lies below the curve. The lost traffic summed over
// all exchanges may be twice what the targets allow, because each lost call has two
// ends. A call of several circuits counts as several calls, and waits are relative
// to the shortest holding time; both only lower the bound. The same argument holds
// for the exchanges of a region together and the groups that leave it.
//
// If a failure target is set, the same holds among the remaining exchanges for each
// failed exchange, and the maximum of all bounds is returned. With more than
// maxDenseExchanges exchanges this takes too long and is skipped.
func (s *search) costBound() (float64, error) {
	target := 0.0
	for _, targetLoss := range s.task.TargetLoss {
		target = max(target, targetLoss)
	}
	highest, err := s.costBoundWithout(-1, target)
	if err != nil || s.task.MaxFailureLoss == 0 || s.exchanges > maxDenseExchanges {
		return highest, err
	}
	for excluded := range s.exchanges {
		bound, err := s.costBoundWithout(excluded, s.task.MaxFailureLoss)
		if err != nil {
			return 0, err
		}
		highest = max(highest, bound)
	}
	return highest, nil
}

// maxDenseExchanges is the number of exchanges above which the program is too large
// for repeated runs of a dense simplex.
const maxDenseExchanges = 30

// cut is a set of exchanges; the groups between it and the other exchanges cross it.
type cut struct {
	inside []bool
	demand float64 // in circuits, over the groups that cross the cut
}

func (c cut) crosses(g [2]int) bool { return c.inside[g[0]] != c.inside[g[1]] }

// secant is a lower bound of the lost traffic of a cut:
// lost >= intercept + slope * circuits.
type secant struct {
	cut              cut
	intercept, slope float64
}

// cuts returns the cuts around each exchange and around each region that have demand.
func (s *search) cuts(groups [][2]int) []cut {
	var cuts []cut
	for i := range s.exchanges {
		c := cut{inside: make([]bool, s.exchanges)}
		c.inside[i] = true
		cuts = append(cuts, c)
	}
	if s.task.Region != nil {
		for region := range slices.Max(s.task.Region) + 1 {
			c := cut{inside: make([]bool, s.exchanges)}
			for i, of := range s.task.Region {
				c.inside[i] = of == region
			}
			cuts = append(cuts, c)
		}
	}
	for k := range cuts {
		for _, g := range groups {
			if cuts[k].crosses(g) {
				cuts[k].demand += s.pairDemand[g[0]][g[1]]
			}
		}
	}
	return slices.DeleteFunc(cuts, func(c cut) bool { return c.demand == 0 })
}

func (s *search) costBoundWithout(excluded int, target float64) (float64, error) {
	var groups [][2]int
	demand := 0.0
	for i := range s.exchanges {
		for j := range i {
			if i != excluded && j != excluded {
				groups = append(groups, [2]int{i, j})
				demand += s.pairDemand[i][j]
			}
		}
	}
	shortest := math.Inf(1)
	for _, c := range s.mesh.Classes {
		shortest = min(shortest, c.HoldingTime)
	}
	secantAt := func(c cut, circuits int) (secant, error) {
		blocking, err := loss.ErlangA(c.demand, circuits, s.mesh.MeanWait/shortest)
		if err != nil {
			return secant{}, err
		}
		nextBlocking, err := loss.ErlangA(c.demand, circuits+1, s.mesh.MeanWait/shortest)
		if err != nil {
			return secant{}, err
		}
		slope := c.demand * (nextBlocking - blocking)
		return secant{c, c.demand*blocking - slope*float64(circuits), slope}, nil
	}
	cuts := s.cuts(groups)
	var lines []secant
	for _, c := range cuts {
		initial, err := secantAt(c, int(c.demand*(1-target)))
		if err != nil {
			return 0, err
		}
		lines = append(lines, initial)
	}
	rounds := 8
	if s.exchanges > maxDenseExchanges {
		rounds = 1
	}
	bound := 0.0
	for range rounds {
		circuits, lost, cost, err := s.solveProgram(groups, lines, 2*target*demand)
		if err != nil {
			return 0, fmt.Errorf("bounding the cost: %w", err)
		}
		bound = cost
		added := false
		for _, c := range cuts {
			crossing, lostInside := 0.0, 0.0
			for k, group := range groups {
				if c.crosses(group) {
					crossing += circuits[k]
				}
			}
			for i, in := range c.inside {
				if in {
					lostInside += lost[i]
				}
			}
			tangent, err := secantAt(c, int(crossing))
			if err != nil {
				return 0, err
			}
			if tangent.intercept+tangent.slope*crossing > lostInside+1e-4*c.demand {
				lines, added = append(lines, tangent), true
			}
		}
		if !added {
			break
		}
	}
	return bound, nil
}

// solveProgram solves the linear program: the minimum cost of the groups such that
// all secants hold and at most maxLost is lost. It returns the circuits of the groups
// and the lost traffic of each exchange.
func (s *search) solveProgram(groups [][2]int, lines []secant, maxLost float64) (solution, lost []float64, value float64, err error) {
	groupCount, rows := len(groups), len(lines)+1
	columns := groupCount + s.exchanges + rows // groups, lost traffic, slack variables
	costs := make([]float64, columns)
	for k, group := range groups {
		costs[k] = s.task.circuitCost(group[0], group[1])
	}
	matrix := mat.NewDense(rows, columns, nil)
	limits := make([]float64, rows)
	for row, line := range lines { // lost - slope * circuits >= intercept
		for k, p := range groups {
			if line.cut.crosses(p) {
				matrix.Set(row, k, -line.slope)
			}
		}
		for i, in := range line.cut.inside {
			if in {
				matrix.Set(row, groupCount+i, 1)
			}
		}
		matrix.Set(row, groupCount+s.exchanges+row, -1)
		limits[row] = line.intercept
	}
	for i := range s.exchanges {
		matrix.Set(rows-1, groupCount+i, 1)
	}
	matrix.Set(rows-1, columns-1, 1)
	limits[rows-1] = maxLost
	value, solution, err = lp.Simplex(costs, matrix, limits, 1e-9, nil)
	if err != nil {
		return nil, nil, 0, fmt.Errorf("a linear program of %d rows and %d columns: %w", rows, columns, err)
	}
	return solution[:groupCount], solution[groupCount : groupCount+s.exchanges], value, nil
}
