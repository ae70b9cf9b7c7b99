package plan

import (
	"context"
	"fmt"
	"math"
	"slices"
)

// Move is a purchase or a move of one module.
type Move struct {
	From, To    [2]int    // groups; From {-1, -1}: the module is bought
	LossByClass []float64 // after the move
	LostTraffic float64   // after the move, in erlang of circuits
}

// candidateGroups is the number of groups evaluated at each step, as source and as target.
const candidateGroups = 4

// FirstMoves returns the most useful changes to the present circuits: up to toBuy
// purchases of a module, then up to toMove moves of one. Each step takes the change
// with the minimum lost traffic among the groups that gain most by a module and the
// groups that lose least without one. It stops when no change reduces the loss.
func FirstMoves(ctx context.Context, task *Task, toBuy, toMove int) ([]Move, error) {
	if err := task.Validate(); err != nil {
		return nil, fmt.Errorf("planning moves: %w", err)
	}
	if toBuy < 0 || toMove < 0 {
		return nil, fmt.Errorf("planning moves: %d modules to buy, %d to move: %w", toBuy, toMove, ErrNoPlan)
	}
	s := newSearch(ctx, task)
	circuits := make([][]int, s.exchanges)
	for i := range circuits {
		circuits[i] = slices.Clone(task.Mesh.Circuits[i])
	}
	lost, _, err := s.lostTraffic(circuits)
	if err != nil {
		return nil, err
	}
	var moves []Move
	for toBuy+toMove > 0 && !s.exhausted() {
		to := s.rankedGroups(circuits, func(value float64, _ int) float64 { return -value }, 0)
		from := [][2]int{{-1, -1}}
		if toBuy == 0 {
			from = s.rankedGroups(circuits, func(w float64, _ int) float64 { return w }, -task.ModuleSize)
		}
		var best *Move
		for _, source := range from {
			for _, target := range to {
				if source == target || s.exhausted() {
					continue
				}
				addCircuits(circuits, source, -task.ModuleSize)
				addCircuits(circuits, target, task.ModuleSize)
				lostAfter, byClass, err := s.lostTraffic(circuits)
				addCircuits(circuits, source, task.ModuleSize)
				addCircuits(circuits, target, -task.ModuleSize)
				if err != nil {
					return nil, err
				}
				if lostAfter < lost-1e-6 && (best == nil || lostAfter < best.LostTraffic) {
					best = &Move{From: source, To: target, LossByClass: byClass, LostTraffic: lostAfter}
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

// rankedGroups returns the candidateGroups groups with the lowest key, which is given
// the value of the next module when the group has extra circuits more.
func (s *search) rankedGroups(circuits [][]int, key func(worth float64, circuits int) float64, extra int) [][2]int {
	type group struct {
		at   [2]int
		rank float64
	}
	var candidates []group
	for i := range s.exchanges {
		for j := range i {
			if size := circuits[i][j] + extra; size >= 0 && s.pairDemand[i][j] > 0 {
				candidates = append(candidates, group{[2]int{i, j}, key(s.marginalValue(i, j, size), size)})
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

// lostTraffic returns the traffic that a network loses in erlang of circuits, and the
// loss by class.
func (s *search) lostTraffic(circuits [][]int) (float64, []float64, error) {
	_, normal, _, _, err := s.evaluate(circuits)
	if err != nil {
		return 0, nil, fmt.Errorf("planning moves: %w", err)
	}
	sum := 0.0
	for i := range s.exchanges {
		for j := range s.exchanges {
			for c, class := range s.mesh.Classes {
				sum += s.mesh.Offered[i][j][c] * float64(class.Circuits) * normal.Loss[i][j][c]
			}
		}
	}
	return sum, normal.LossByClass, nil
}
