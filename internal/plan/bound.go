package plan

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"dahliaspindle/internal/loss"
)

// bound is the cost that no plan goes below, by linear programming (gonum's
// simplex), circuits and modules relaxed. What an exchange's callers have with
// all others goes over that exchange's groups, however it is routed; at best
// they are together one group that every call may use and wait for. So the
// traffic lost at an exchange is at least what Erlang's formula with impatience
// says of its circuits together. That is convex in them; the program has secants
// of it, added where a solution goes below. Lost traffic of all exchanges
// together may be twice what the targets allow, as each lost call has two ends.
// Wide calls count as so many single ones, waits as for the shortest holding
// time, which both make the bound lower. The same holds for the exchanges of a
// region together and the groups that leave it.
//
// With an exchange away the same holds among those left; the greatest of all
// bounds counts. Beyond the size at which that takes long, it is left out.
func (s *search) bound() (float64, error) {
	target := 0.0
	for _, x := range s.t.TargetLoss {
		target = max(target, x)
	}
	best, err := s.boundWithout(-1, target)
	if err != nil || s.t.MaxFailureLoss == 0 || s.n > manyExchanges {
		return best, err
	}
	for k := range s.n {
		b, err := s.boundWithout(k, s.t.MaxFailureLoss)
		if err != nil {
			return 0, err
		}
		best = max(best, b)
	}
	return best, nil
}

// manyExchanges is where the program becomes large for a dense simplex.
const manyExchanges = 30

// cut is some exchanges and the groups between them and the rest.
type cut struct {
	in    []bool
	asked float64 // over these groups
}

func (c cut) crossed(g [2]int) bool { return c.in[g[0]] != c.in[g[1]] }

// secant is a line below a cut's lost traffic: lost >= at + slope * circuits.
type secant struct {
	cut       cut
	at, slope float64
}

// cuts are those of one exchange each, and of one region each.
func (s *search) cuts(groups [][2]int) []cut {
	var all []cut
	for i := range s.n {
		c := cut{in: make([]bool, s.n)}
		c.in[i] = true
		all = append(all, c)
	}
	if s.t.Region != nil {
		for r := range slices.Max(s.t.Region) + 1 {
			c := cut{in: make([]bool, s.n)}
			for i, x := range s.t.Region {
				c.in[i] = x == r
			}
			all = append(all, c)
		}
	}
	for k := range all {
		for _, g := range groups {
			if all[k].crossed(g) {
				all[k].asked += s.pair[g[0]][g[1]]
			}
		}
	}
	return slices.DeleteFunc(all, func(c cut) bool { return c.asked == 0 })
}

func (s *search) boundWithout(away int, target float64) (float64, error) {
	var groups [][2]int
	all := 0.0
	for i := range s.n {
		for j := range i {
			if i != away && j != away {
				groups = append(groups, [2]int{i, j})
				all += s.pair[i][j]
			}
		}
	}
	shortest := math.Inf(1)
	for _, c := range s.grown.Classes {
		shortest = min(shortest, c.HoldingTime)
	}
	line := func(c cut, circuits int) (secant, error) {
		a, err := loss.ErlangA(c.asked, circuits, s.grown.MeanWait/shortest)
		if err != nil {
			return secant{}, err
		}
		b, err := loss.ErlangA(c.asked, circuits+1, s.grown.MeanWait/shortest)
		if err != nil {
			return secant{}, err
		}
		slope := c.asked * (b - a)
		return secant{c, c.asked*a - slope*float64(circuits), slope}, nil
	}
	cuts := s.cuts(groups)
	var lines []secant
	for _, c := range cuts {
		first, err := line(c, int(c.asked*(1-target)))
		if err != nil {
			return 0, err
		}
		lines = append(lines, first)
	}
	rounds := 8
	if s.n > manyExchanges {
		rounds = 1
	}
	value := 0.0
	for range rounds {
		x, lost, v, err := s.cover(groups, lines, 2*target*all)
		if err != nil {
			return 0, fmt.Errorf("bounding the cost: %w", err)
		}
		value = v
		more := false
		for _, c := range cuts {
			have, gone := 0.0, 0.0
			for k, g := range groups {
				if c.crossed(g) {
					have += x[k]
				}
			}
			for i, in := range c.in {
				if in {
					gone += lost[i]
				}
			}
			l, err := line(c, int(have))
			if err != nil {
				return 0, err
			}
			if l.at+l.slope*have > gone+1e-4*c.asked {
				lines, more = append(lines, l), true
			}
		}
		if !more {
			break
		}
	}
	return value, nil
}

// cover solves the program: least cost of groups so that all lines hold and not
// more than so much is lost. It returns the groups and each exchange's lost traffic.
func (s *search) cover(groups [][2]int, lines []secant, most float64) (x, lost []float64, value float64, err error) {
	g, rows := len(groups), len(lines)+1
	cols := g + s.n + rows // groups, lost traffic, what each row has over
	c := make([]float64, cols)
	for k, p := range groups {
		c[k] = s.t.cost(p[0], p[1])
	}
	a := mat.NewDense(rows, cols, nil)
	b := make([]float64, rows)
	for r, l := range lines { // lost - slope * circuits >= at
		for k, p := range groups {
			if l.cut.crossed(p) {
				a.Set(r, k, -l.slope)
			}
		}
		for i, in := range l.cut.in {
			if in {
				a.Set(r, g+i, 1)
			}
		}
		a.Set(r, g+s.n+r, -1)
		b[r] = l.at
	}
	for i := range s.n {
		a.Set(rows-1, g+i, 1)
	}
	a.Set(rows-1, cols-1, 1)
	b[rows-1] = most
	value, x, err = lp.Simplex(c, a, b, 1e-9, nil)
	if err != nil {
		return nil, nil, 0, fmt.Errorf("a linear program of %d rows and %d columns: %w", rows, cols, err)
	}
	return x[:g], x[g : g+s.n], value, nil
}
