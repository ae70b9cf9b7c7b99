package plan

import (
	"context"
	"fmt"
	"math"
	"slices"
)

// Move is one step of what to do first.
type Move struct {
	From, To    [2]int    // groups; From {-1, -1}: the module is new
	LossByClass []float64 // by class, after it
	LostTraffic float64   // circuits' worth of traffic lost, after it
}

// looked is how many groups are tried at each step, on either side.
const looked = 4

// FirstMoves says what to do first with the circuits that stand: so many modules may
// be bought, so many moved. Each step is the one after which least traffic is
// lost, among the groups that would save most by a module and those that would
// miss one least; it ends when nothing helps.
func FirstMoves(ctx context.Context, t *Task, buy, move int) ([]Move, error) {
	if err := t.Validate(); err != nil {
		return nil, fmt.Errorf("planning moves: %w", err)
	}
	if buy < 0 || move < 0 {
		return nil, fmt.Errorf("planning moves: %d modules to buy, %d to move: %w", buy, move, ErrNoPlan)
	}
	s := newSearch(ctx, t)
	circuits := make([][]int, s.n)
	for i := range circuits {
		circuits[i] = slices.Clone(t.Mesh.Circuits[i])
	}
	lost, _, err := s.lost(circuits)
	if err != nil {
		return nil, err
	}
	var all []Move
	for buy+move > 0 && !s.done() {
		to := s.ranked(circuits, func(w float64, _ int) float64 { return -w }, 0)
		from := [][2]int{{-1, -1}}
		if buy == 0 {
			from = s.ranked(circuits, func(w float64, _ int) float64 { return w }, -t.ModuleSize)
		}
		var best *Move
		for _, a := range from {
			for _, b := range to {
				if a == b || s.done() {
					continue
				}
				add(circuits, a, -t.ModuleSize)
				add(circuits, b, t.ModuleSize)
				x, byClass, err := s.lost(circuits)
				add(circuits, a, t.ModuleSize)
				add(circuits, b, -t.ModuleSize)
				if err != nil {
					return nil, err
				}
				if x < lost-1e-6 && (best == nil || x < best.LostTraffic) {
					best = &Move{From: a, To: b, LossByClass: byClass, LostTraffic: x}
				}
			}
		}
		if best == nil {
			break
		}
		add(circuits, best.From, -t.ModuleSize)
		add(circuits, best.To, t.ModuleSize)
		lost = best.LostTraffic
		all = append(all, *best)
		if buy > 0 {
			buy--
		} else {
			move--
		}
	}
	return all, nil
}

func add(circuits [][]int, g [2]int, by int) {
	if g[0] >= 0 {
		circuits[g[0]][g[1]] += by
		circuits[g[1]][g[0]] = circuits[g[0]][g[1]]
	}
}

// ranked lists some groups by what a module is worth to them, with so many circuits more.
func (s *search) ranked(circuits [][]int, key func(worth float64, circuits int) float64, more int) [][2]int {
	type group struct {
		at  [2]int
		key float64
	}
	var all []group
	for i := range s.n {
		for j := range i {
			if n := circuits[i][j] + more; n >= 0 && s.pair[i][j] > 0 {
				all = append(all, group{[2]int{i, j}, key(s.worthOf(i, j, n), n)})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b group) int { return int(math.Copysign(1, a.key-b.key)) })
	var some [][2]int
	for _, g := range all[:min(looked, len(all))] {
		some = append(some, g.at)
	}
	return some
}

// lost is the circuits' worth of traffic that a network loses.
func (s *search) lost(circuits [][]int) (float64, []float64, error) {
	_, normal, _, _, err := s.judge(circuits)
	if err != nil {
		return 0, nil, fmt.Errorf("planning moves: %w", err)
	}
	sum := 0.0
	for i := range s.n {
		for j := range s.n {
			for c, cl := range s.grown.Classes {
				sum += s.grown.Offered[i][j][c] * float64(cl.Circuits) * normal.Loss[i][j][c]
			}
		}
	}
	return sum, normal.LossByClass, nil
}
