// Package network tells what a mesh of exchanges loses: a fixed point over its
// trunk groups, its alternative routes and its processors. Each group is a
// chain of its own, fed by its direct calls and by what the other groups turn
// onto it; what the groups lose feeds each other again, until nothing changes.
// It is free of I/O.
//
// Sources: F. P. Kelly, "Loss networks", Ann. Appl. Probab. 1 (1991), for the
// reduced-load fixed point and its several solutions; R. J. Gibbens, P. J. Hunt,
// F. P. Kelly, "Bistability in communication networks" (1990); the recursion of
// Kaufman and Roberts for calls of several widths (package loss).
//
// Files: mesh.go what goes in and comes out; group.go one group; solve.go the
// fixed point.
package network

import (
	"errors"
	"fmt"
	"math"
)

// Class of calls.
type Class struct {
	Name        string
	Circuits    int     // circuits of one call
	HoldingTime float64 // seconds, mean
	Worth       float64 // waiting calls are served by it; a class worth far more by the circuit and second is owed circuits
}

// Reservation is what a group keeps back from transit and alternative calls of one
// side: so many circuits less the direct calls of that side that run.
type Reservation struct {
	Base int // circuits; 0: none is kept
	// Window is the seconds over which demand is measured, and for which a group
	// counts as having been full; in them the reserve follows the side's direct
	// demand and its root, times the share of the exchange's groups that were full
	// (docs/design.md). 0: the base only.
	Window float64
	// ProtectHighValue keeps circuits back for classes that are worth far more, as many as
	// they ask for by the measure of Span.
	ProtectHighValue bool
}

// dearFactor is the worth by circuit and second that makes a class dear to another.
const dearFactor = 3

// Processors is the second limit: work is time on one line at each exchange.
type Processors struct {
	SetupsPerSecond           []float64 // set-ups that each can do
	ExamineWork, FollowUpWork float64   // work in set-ups: of the near end's look, of an answer or a release
	MaxQueueWait              float64   // seconds; a longer wait turns a set-up away
}

// Mesh is a network and the traffic offered to it.
type Mesh struct {
	Classes       []Class
	Circuits      [][]int       // of the group between two exchanges, the same both ways; 0: none
	Offered       [][][]float64 // from, to, class: first tries, in calls at the same time (erlang)
	MaxTandems    int           // tandems tried at the most; 0: direct only
	Reservation   Reservation
	MeanWait      float64     // seconds for which a call without a way keeps trying: waits and redials together
	Processors    *Processors // nil: no limit
	MaxIterations int         // of the iteration at the most; 0: 1500
}

// ErrInvalidMesh is wrapped by errors for a mesh that can't be.
var ErrInvalidMesh = errors.New("not a mesh")

// MaxExchanges bounds a mesh.
const MaxExchanges = 400

func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }

// Validate tells the first thing that is wrong with a mesh, and where.
func (m *Mesh) Validate() error {
	n := len(m.Circuits)
	bad := func(format string, a ...any) error { return fmt.Errorf(format+": %w", append(a, ErrInvalidMesh)...) }
	switch {
	case n < 2 || n > MaxExchanges:
		return bad("%d exchanges, 2 to %d can be", n, MaxExchanges)
	case len(m.Offered) != n:
		return bad("traffic of %d exchanges, %d there are", len(m.Offered), n)
	case len(m.Classes) == 0 || len(m.Classes) > 16:
		return bad("%d classes, 1 to 16 can be", len(m.Classes))
	case m.MaxTandems < 0 || m.MaxTandems > 16:
		return bad("%d tandems tried, 0 to 16 can be", m.MaxTandems)
	case m.Reservation.Base < 0 || !finite(m.Reservation.Window) || !finite(m.MeanWait):
		return bad("a reserve of %d for %v s, a wait of %v s", m.Reservation.Base, m.Reservation.Window, m.MeanWait)
	}
	for _, c := range m.Classes {
		if c.Circuits < 1 || !(c.HoldingTime > 0) || math.IsInf(c.HoldingTime, 0) || !finite(c.Worth) {
			return bad("class %s: %d circuits wide, %v s long, worth %v", c.Name, c.Circuits, c.HoldingTime, c.Worth)
		}
	}
	for i := range n {
		if len(m.Circuits[i]) != n || len(m.Offered[i]) != n {
			return bad("exchange %d: groups to %d, traffic to %d exchanges", i, len(m.Circuits[i]), len(m.Offered[i]))
		}
		for j := range n {
			switch c := m.Circuits[i][j]; {
			case c < 0 || c > 100000 || i == j && c != 0:
				return bad("group %d-%d: %d circuits", i, j, c)
			case len(m.Circuits[j]) != n || c != m.Circuits[j][i]:
				return bad("group %d-%d: %d circuits one way, not so the other", i, j, c)
			case len(m.Offered[i][j]) != len(m.Classes):
				return bad("traffic %d to %d: %d classes, %d there are", i, j, len(m.Offered[i][j]), len(m.Classes))
			}
			for k, a := range m.Offered[i][j] {
				if !finite(a) || a > 1e6 || i == j && a != 0 {
					return bad("traffic %d to %d, class %s: %v erlang", i, j, m.Classes[k].Name, a)
				}
			}
		}
	}
	if p := m.Processors; p != nil {
		if len(p.SetupsPerSecond) != n || !finite(p.ExamineWork) || !finite(p.FollowUpWork) || !finite(p.MaxQueueWait) {
			return bad("processors of %d exchanges, look %v, follow %v, queue %v s", len(p.SetupsPerSecond), p.ExamineWork, p.FollowUpWork, p.MaxQueueWait)
		}
		for i, r := range p.SetupsPerSecond {
			if !(r > 0) || math.IsInf(r, 0) {
				return bad("processor %d: %v set-ups a second", i, r)
			}
		}
	}
	return nil
}

// Group is what becomes of one trunk group.
type Group struct {
	Carried        float64 // circuits taken, on average
	Transit        float64 // of these by transit and alternative calls
	TimeCongestion float64 // share of the time in which a call of one circuit finds none
}

// Solution is one fixed point.
type Solution struct {
	Loss        [][][]float64 // from, to, class: share of first tries that are lost for good
	Rerouted    [][][]float64 // share that goes over a tandem
	Groups      [][]Group
	Utilization []float64 // of each processor
	Rejected    []float64 // share of set-ups that each processor turns away
	LossByClass []float64 // loss over all traffic of a class
	Iterations  int
	LastChange  float64 // the last step's greatest change of a probability
	Converged   bool
}

// Result is what is known of a mesh.
type Result struct {
	*Solution           // from an empty network
	FromFull  *Solution // from a full one
	Bistable  bool      // they differ: the network may stay in either state
}
