package plan

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"dahliaspindle/internal/loss"
)

// costBound is the cost that no plan goes below, by linear programming (gonum's
// simplex), circuits and modules relaxed. What an exchange's callers have with
// all others goes over that exchange's groups, however it is routed; at best
// they are together one group that every call may use and wait for. So the
// traffic lost at an exchange is at least what Erlang's formula with impatience
// says of its circuits together. That is convex in them; the program has secants
// of it, added where a solution goes below. Lost traffic of all exchanges
// together may be twice what the targets allow, as each lost call has two ends.
// Wide calls count as so many single ones, waits as for the shortest holding
// time, which both make the costBound lower. The same holds for the exchanges of a
// region together and the groups that leave it.
//
// With an exchange away the same holds among those left; the greatest of all
// bounds counts. Beyond the size at which that takes long, it is left out.
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

// maxDenseExchanges is where the program becomes large for a dense simplex.
const maxDenseExchanges = 30

// cut is some exchanges and the groups between them and the rest.
type cut struct {
	inside []bool
	demand float64 // over these groups
}

func (c cut) crosses(g [2]int) bool { return c.inside[g[0]] != c.inside[g[1]] }

// secant is a line below a cut's lost traffic: lost >= at + slope * circuits.
type secant struct {
	cut              cut
	intercept, slope float64
}

// cuts are those of one exchange each, and of one region each.
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
			for i, x := range s.task.Region {
				c.inside[i] = x == region
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
		a, err := loss.ErlangA(c.demand, circuits, s.mesh.MeanWait/shortest)
		if err != nil {
			return secant{}, err
		}
		b, err := loss.ErlangA(c.demand, circuits+1, s.mesh.MeanWait/shortest)
		if err != nil {
			return secant{}, err
		}
		slope := c.demand * (b - a)
		return secant{c, c.demand*a - slope*float64(circuits), slope}, nil
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
	value := 0.0
	for range rounds {
		circuits, lost, cost, err := s.solveProgram(groups, lines, 2*target*demand)
		if err != nil {
			return 0, fmt.Errorf("bounding the cost: %w", err)
		}
		value = cost
		added := false
		for _, c := range cuts {
			crossing, lostInside := 0.0, 0.0
			for k, g := range groups {
				if c.crosses(g) {
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
	return value, nil
}

// solveProgram solves the program: least cost of groups so that all lines hold and not
// more than so much is lost. It returns the groups and each exchange's lost traffic.
func (s *search) solveProgram(groups [][2]int, lines []secant, maxLost float64) (solution, lost []float64, value float64, err error) {
	groupCount, rows := len(groups), len(lines)+1
	columns := groupCount + s.exchanges + rows // groups, lost traffic, what each row has over
	costs := make([]float64, columns)
	for k, group := range groups {
		costs[k] = s.task.cost(group[0], group[1])
	}
	matrix := mat.NewDense(rows, columns, nil)
	limits := make([]float64, rows)
	for row, line := range lines { // lost - slope * circuits >= at
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
