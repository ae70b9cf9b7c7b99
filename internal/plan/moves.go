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

// candidateGroups is how many groups are tried at each step, on either side.
const candidateGroups = 4

// FirstMoves says what to do first with the circuits that stand: so many modules may
// be bought, so many moved. Each step is the one after which least traffic is
// lost, among the groups that would save most by a module and those that would
// miss one least; it ends when nothing helps.
func FirstMoves(ctx context.Context, task *Task, toBuy, toMove int) ([]Move, error) {
	if err := task.Validate(); err != nil {
		return nil, fmt.Errorf("planning moves: %w", err)
	}
	if toBuy < 0 || toMove < 0 {
		return nil, fmt.Errorf("planning moves: %d modules to buy, %d to move: %w", toBuy, toMove, ErrNoPlan)
	}
	search := newSearch(ctx, task)
	circuits := make([][]int, search.exchanges)
	for i := range circuits {
		circuits[i] = slices.Clone(task.Mesh.Circuits[i])
	}
	lost, _, err := search.lostTraffic(circuits)
	if err != nil {
		return nil, err
	}
	var moves []Move
	for toBuy+toMove > 0 && !search.exhausted() {
		to := search.rankedGroups(circuits, func(w float64, _ int) float64 { return -w }, 0)
		from := [][2]int{{-1, -1}}
		if toBuy == 0 {
			from = search.rankedGroups(circuits, func(w float64, _ int) float64 { return w }, -task.ModuleSize)
		}
		var best *Move
		for _, a := range from {
			for _, b := range to {
				if a == b || search.exhausted() {
					continue
				}
				addCircuits(circuits, a, -task.ModuleSize)
				addCircuits(circuits, b, task.ModuleSize)
				lostAfter, byClass, err := search.lostTraffic(circuits)
				addCircuits(circuits, a, task.ModuleSize)
				addCircuits(circuits, b, -task.ModuleSize)
				if err != nil {
					return nil, err
				}
				if lostAfter < lost-1e-6 && (best == nil || lostAfter < best.LostTraffic) {
					best = &Move{From: a, To: b, LossByClass: byClass, LostTraffic: lostAfter}
				}
			}
		}
		if best == nil {
			break
		}
		addCircuits(circuits, best.From, -task.ModuleSize)
		addCircuits(circuits, best.To, task.ModuleSize)
		lost = best.LostTraffic
		moves = append(moves, *best)
		if toBuy > 0 {
			toBuy--
		} else {
			toMove--
		}
	}
	return moves, nil
}

func addCircuits(circuits [][]int, group [2]int, change int) {
	if group[0] >= 0 {
		circuits[group[0]][group[1]] += change
		circuits[group[1]][group[0]] = circuits[group[0]][group[1]]
	}
}

// rankedGroups lists some groups by what a module is worth to them, with so many circuits more.
func (s *search) rankedGroups(circuits [][]int, key func(worth float64, circuits int) float64, extra int) [][2]int {
	type group struct {
		at   [2]int
		rank float64
	}
	var candidates []group
	for i := range s.exchanges {
		for j := range i {
			if n := circuits[i][j] + extra; n >= 0 && s.pairDemand[i][j] > 0 {
				candidates = append(candidates, group{[2]int{i, j}, key(s.marginalValue(i, j, n), n)})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b group) int { return int(math.Copysign(1, a.rank-b.rank)) })
	var best [][2]int
	for _, g := range candidates[:min(candidateGroups, len(candidates))] {
		best = append(best, g.at)
	}
	return best
}

// lostTraffic is the circuits' worth of traffic that a network loses.
func (s *search) lostTraffic(circuits [][]int) (float64, []float64, error) {
	_, normal, _, _, err := s.evaluate(circuits)
	if err != nil {
		return 0, nil, fmt.Errorf("planning moves: %w", err)
	}
	sum := 0.0
	for i := range s.exchanges {
		for j := range s.exchanges {
			for c, cl := range s.mesh.Classes {
				sum += s.mesh.Offered[i][j][c] * float64(cl.Circuits) * normal.Loss[i][j][c]
			}
		}
	}
	return sum, normal.LossByClass, nil
}
