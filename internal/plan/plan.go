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
	for c, x := range t.TargetLoss {
		if !(x > 0 && x < 1) {
			return fmt.Errorf("class %s: a loss of %v can't be aimed at, above 0 and below 1 can: %w", t.Mesh.Classes[c].Name, x, ErrNoPlan)
		}
	}
	all := 0.0
	for i := range n {
		if t.CircuitCost != nil && len(t.CircuitCost[i]) != n {
			return fmt.Errorf("exchange %d: costs to %d exchanges: %w", i, len(t.CircuitCost[i]), ErrNoPlan)
		}
		for j := range n {
			if t.CircuitCost != nil && i != j && !(t.CircuitCost[i][j] > 0) {
				return fmt.Errorf("group %d-%d: a cost of %v: %w", i, j, t.CircuitCost[i][j], ErrNoPlan)
			}
			for _, a := range t.Mesh.Offered[i][j] {
				all += a
			}
		}
	}
	if all == 0 {
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
	t      *Task
	ctx    context.Context
	n      int
	grown  *network.Mesh
	pair   [][]float64 // circuits asked for between two exchanges, both ways
	peaky  [][]float64 // mean width of these
	solved int
}

func newSearch(ctx context.Context, t *Task) *search {
	m := *t.Mesh
	s := &search{t: t, ctx: ctx, n: len(m.Circuits)}
	m.Offered = make([][][]float64, s.n)
	for i := range s.n {
		m.Offered[i] = make([][]float64, s.n)
		s.pair, s.peaky = append(s.pair, make([]float64, s.n)), append(s.peaky, make([]float64, s.n))
		for j := range s.n {
			m.Offered[i][j] = make([]float64, len(m.Classes))
			for c, a := range t.Mesh.Offered[i][j] {
				m.Offered[i][j][c] = a * t.Growth
			}
		}
	}
	for i := range s.n {
		for j := range s.n {
			wide := 0.0
			for c, cl := range m.Classes {
				a := (m.Offered[i][j][c] + m.Offered[j][i][c]) * float64(cl.Circuits)
				s.pair[i][j] += a
				wide += a * float64(cl.Circuits)
			}
			s.peaky[i][j] = 1
			if s.pair[i][j] > 0 {
				s.peaky[i][j] = wide / s.pair[i][j]
			}
		}
	}
	s.grown = &m
	return s
}

// done tells whether the search has used what it was given.
func (s *search) done() bool { return s.solved >= s.t.MaxSolves || s.ctx.Err() != nil }

// settles is the steps in which a network must come to rest to be planned on:
// one that needs far more is at the edge between two states.
const settles = 200

// judge solves a network with these circuits, from an empty and a full state;
// how is the worst of loss over target (1 and below: all hold in either).
func (s *search) judge(circuits [][]int) (how float64, normal *network.Solution, worst float64, what string, err error) {
	m := *s.grown
	m.Circuits, m.MaxIterations = circuits, settles
	for _, full := range []bool{true, false} { // the better known one last
		s.solved++
		if normal, err = network.SolveFrom(&m, full); err != nil {
			return 0, nil, 0, "", err
		}
		if !normal.Converged {
			return math.Inf(1), normal, 0, "", nil
		}
		for c, x := range normal.LossByClass {
			how = max(how, x/s.t.TargetLoss[c])
		}
		if how > 1 {
			return how, normal, 0, "", nil
		}
	}
	if s.t.MaxFailureLoss == 0 {
		return how, normal, 0, "", nil
	}
	for _, h := range s.hurts(circuits) {
		h.mesh.MaxIterations = settles
		s.solved++
		x, err := network.SolveFrom(h.mesh, true)
		if err != nil {
			return 0, nil, 0, "", err
		}
		for c, b := range x.LossByClass {
			if !x.Converged {
				b = 1
			}
			if h.counts[c] && b > worst {
				worst, what = b, h.what
			}
		}
		if worst > s.t.MaxFailureLoss {
			break
		}
	}
	return max(how, worst/s.t.MaxFailureLoss), normal, worst, what, nil
}

// hurt is the network with something away.
type hurt struct {
	what   string
	mesh   *network.Mesh
	counts []bool // classes with traffic left
}

// hurts lists the networks with one exchange away, whose own traffic is away
// too, and with one link between two regions away.
func (s *search) hurts(circuits [][]int) []hurt {
	var all []hurt
	add := func(what string, circuits func(i, j int) int, offered func(i, j int) bool) {
		m := *s.grown
		m.Circuits, m.Offered = make([][]int, s.n), make([][][]float64, s.n)
		h := hurt{what: what, mesh: &m, counts: make([]bool, len(m.Classes))}
		for i := range s.n {
			m.Circuits[i], m.Offered[i] = make([]int, s.n), make([][]float64, s.n)
			for j := range s.n {
				m.Circuits[i][j] = circuits(i, j)
				m.Offered[i][j] = s.grown.Offered[i][j]
				if !offered(i, j) {
					m.Offered[i][j] = make([]float64, len(m.Classes))
				}
				for c, a := range m.Offered[i][j] {
					h.counts[c] = h.counts[c] || a > 0
				}
			}
		}
		all = append(all, h)
	}
	for x := range s.n {
		away := func(i, j int) bool { return i == x || j == x }
		add(fmt.Sprintf("exchange %d", x), func(i, j int) int {
			if away(i, j) {
				return 0
			}
			return circuits[i][j]
		}, func(i, j int) bool { return !away(i, j) })
	}
	if s.t.Region == nil || s.t.LinkShare == 0 {
		return all
	}
	regions := 0
	for _, r := range s.t.Region {
		regions = max(regions, r+1)
	}
	for a := range regions {
		for b := range a {
			add(fmt.Sprintf("a link between regions %d and %d", b, a), func(i, j int) int {
				if x, y := s.t.Region[i], s.t.Region[j]; x == a && y == b || x == b && y == a {
					return circuits[i][j] - int(math.Ceil(s.t.LinkShare*float64(circuits[i][j])))
				}
				return circuits[i][j]
			}, func(i, j int) bool { return true })
		}
	}
	return all
}

// sized makes groups by a rule for each pair, in whole modules.
func (s *search) sized(rule func(i, j int) float64) [][]int {
	all := make([][]int, s.n)
	for i := range all {
		all[i] = make([]int, s.n)
	}
	for i := range s.n {
		for j := range i {
			if s.pair[i][j] > 0 {
				m := float64(s.t.ModuleSize)
				c := int(math.Ceil(rule(i, j)/m-1e-9)) * s.t.ModuleSize
				all[i][j], all[j][i] = c, c
			}
		}
	}
	return all
}

// worthOf is what the last module of a group, or the next, saves on its direct
// traffic for its cost: K. Moe's measure, with wide calls as a factor on the
// traffic's peakedness (Hayward).
func (s *search) worthOf(i, j, circuits int) float64 {
	a, z := s.pair[i][j], s.peaky[i][j]
	b0, err0 := loss.ErlangBContinuous(a/z, float64(circuits)/z)
	b1, err1 := loss.ErlangBContinuous(a/z, float64(circuits+s.t.ModuleSize)/z)
	if err0 != nil || err1 != nil || a == 0 {
		return 0
	}
	return a * (b0 - b1) / (s.t.cost(i, j) * float64(s.t.ModuleSize))
}

// moe sizes each group so that its next module would save less than worth.
func (s *search) moe(worth float64) [][]int {
	return s.sized(func(i, j int) float64 {
		most := int(4*s.pair[i][j])/s.t.ModuleSize + 20
		lo, hi := 0, most // modules; what the next one saves falls from the first or second on
		for lo < hi {
			mid := (lo + hi) / 2
			if s.worthOf(i, j, mid*s.t.ModuleSize) < worth {
				hi = mid
			} else {
				lo = mid + 1
			}
		}
		return float64(lo * s.t.ModuleSize)
	})
}

func (s *search) price(circuits [][]int) (cost float64, total int) {
	for i := range s.n {
		for j := range i {
			cost += float64(circuits[i][j]) * s.t.cost(i, j)
			total += circuits[i][j]
		}
	}
	return cost, total
}

// least finds the largest knob at which the sizes still hold: knobs from dear to
// cheap, by halving. hold tells of the ones that were judged.
func (s *search) least(sizes func(knob float64) [][]int, dear, cheap float64, steps int) ([][]int, error) {
	best := sizes(dear)
	how, _, _, _, err := s.judge(best)
	if err != nil {
		return nil, err
	}
	if how > 1 {
		return nil, nil
	}
	for range steps {
		if s.done() {
			break
		}
		mid := math.Sqrt(dear * cheap)
		x := sizes(mid)
		how, _, _, _, err := s.judge(x)
		if err != nil {
			return nil, err
		}
		if how <= 1 {
			best, dear = x, mid
		} else {
			cheap = mid
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
	best, err := s.start()
	if err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	if best == nil {
		return nil, fmt.Errorf("planning: no size of the groups reaches the targets: processors or pairs without traffic of their own stand in the way: %w", ErrNoPlan)
	}
	if err := s.shave(best); err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	return s.plan(best)
}

// start is the cheapest of what holds: groups of like worth, groups in proportion to
// their traffic (transit may need more than any direct traffic asks for), and the
// groups that stand; nil if none of them does.
func (s *search) start() ([][]int, error) {
	var best [][]int
	consider := func(circuits [][]int, err error) error {
		if err != nil || circuits == nil {
			return err
		}
		if best != nil {
			was, _ := s.price(best)
			if now, _ := s.price(circuits); now >= was {
				return nil
			}
		}
		best = circuits
		return nil
	}
	if err := consider(s.least(s.moe, 1e-7, 1, 14)); err != nil {
		return nil, err
	}
	if err := consider(s.least(s.proportional, 8, 0.5, 14)); err != nil {
		return nil, err
	}
	stand := s.sized(func(i, j int) float64 { return float64(s.t.Mesh.Circuits[i][j]) })
	if best != nil {
		was, _ := s.price(best)
		if now, _ := s.price(stand); now >= was {
			return best, nil
		}
	}
	how, _, _, _, err := s.judge(stand)
	if err == nil && how <= 1 {
		err = consider(stand, nil)
	}
	return best, err
}

// Proportional sizes every group in proportion to its traffic: what planning is held against.
func Proportional(ctx context.Context, t *Task) (*Plan, error) {
	if err := t.Validate(); err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	s := newSearch(ctx, t)
	best, err := s.least(s.proportional, 8, 0.5, 14)
	if err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	if best == nil {
		return nil, fmt.Errorf("planning: eight times the traffic is not enough: %w", ErrNoPlan)
	}
	return s.plan(best)
}

func (s *search) proportional(times float64) [][]int {
	return s.sized(func(i, j int) float64 { return times * s.pair[i][j] })
}

// shave takes modules away, the least worthy first, as long as the targets hold:
// from many groups at once while that goes, then one by one. Groups that could
// not give one are asked again only when a round has changed something.
func (s *search) shave(circuits [][]int) error {
	for many := s.n * (s.n - 1) / 8; many > 1 && !s.done(); {
		var taken [][2]int
		tried := map[[2]int]bool{}
		for range many {
			i, j := s.weakest(circuits, tried)
			if i < 0 {
				break
			}
			tried[[2]int{i, j}] = true
			taken = append(taken, [2]int{i, j})
			add(circuits, [2]int{i, j}, -s.t.ModuleSize)
		}
		how, _, _, _, err := s.judge(circuits)
		if err != nil {
			return err
		}
		if how > 1 || len(taken) == 0 {
			for _, g := range taken {
				add(circuits, g, s.t.ModuleSize)
			}
			many /= 2
		}
	}
	for again := true; again; {
		again = false
		tried := map[[2]int]bool{}
		for !s.done() {
			i, j := s.weakest(circuits, tried)
			if i < 0 {
				break
			}
			g := [2]int{i, j}
			tried[g] = true
			add(circuits, g, -s.t.ModuleSize)
			how, _, _, _, err := s.judge(circuits)
			if err != nil {
				return err
			}
			if how > 1 {
				add(circuits, g, s.t.ModuleSize)
				continue
			}
			again = true
			delete(tried, g)
		}
		if s.done() {
			return nil
		}
	}
	return nil
}

// weakest is the group whose last module saves least for its cost; -1 if none is left.
func (s *search) weakest(circuits [][]int, tried map[[2]int]bool) (int, int) {
	least, a, b := math.Inf(1), -1, -1
	for i := range s.n {
		for j := range i {
			if circuits[i][j] < s.t.ModuleSize || tried[[2]int{i, j}] {
				continue
			}
			if w := s.worthOf(i, j, circuits[i][j]-s.t.ModuleSize); w < least {
				least, a, b = w, i, j
			}
		}
	}
	return a, b
}

func (s *search) plan(circuits [][]int) (*Plan, error) {
	p := &Plan{Circuits: circuits, Stopped: s.done()}
	p.Cost, p.TotalCircuits = s.price(circuits)
	_, normal, worst, what, err := s.judge(circuits)
	if err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	p.PredictedLoss, p.WorstFailureLoss, p.WorstFailure, p.Solves = normal.LossByClass, worst, what, s.solved
	if p.CostBound, err = s.bound(); err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	return p, nil
}
