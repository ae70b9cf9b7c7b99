// Package network computes the losses of a mesh of exchanges as a fixed point
// over its trunk groups, alternative routes and processors. Each group is an
// independent Markov chain, offered its direct calls and the overflow of other
// groups; the losses of the groups determine that overflow, and the iteration
// continues until the values converge. The package does no I/O.
//
// Sources: F. P. Kelly, "Loss networks", Ann. Appl. Probab. 1 (1991), for the
// reduced-load fixed point and its several solutions; R. J. Gibbens, P. J. Hunt,
// F. P. Kelly, "Bistability in communication networks" (1990); the recursion of
// Kaufman and Roberts for classes with several circuits per call (package loss).
//
// Files: mesh.go holds the inputs and results; group.go the model of one group;
// solve.go the fixed point.
package network

import (
	"errors"
	"fmt"
	"math"
)

// Class is a class of calls.
type Class struct {
	Name        string
	Circuits    int     // per call
	HoldingTime float64 // mean, in seconds
	Worth       float64 // value of a call: orders waiting calls; a class of much higher value per circuit-second has reserved circuits
}

// Reservation configures the trunk reservation of each side of a group against
// transit and alternative calls. A side's reservation is reduced by the circuits
// that its direct calls hold.
type Reservation struct {
	Base int // circuits; 0: no base reservation
	// Window is the time in seconds over which demand is measured and for which a
	// group counts as recently full. A group that was recently full reserves the
	// side's direct demand plus its square root, times the share of the exchange's
	// groups that were recently full (docs/design.md). 0: the base only.
	Window float64
	// ProtectHighValue reserves circuits for classes of much higher value, as many
	// as their demand measured over Window.
	ProtectHighValue bool
}

// highValueRatio is the ratio of worth per circuit-second above which a class is
// of much higher value than another.
const highValueRatio = 3

// Processors describes the processors of the exchanges, each a single server
// with a bounded waiting time.
type Processors struct {
	SetupsPerSecond           []float64 // capacity of each processor
	ExamineWork, FollowUpWork float64   // in set-ups: of examining a set-up at the originating exchange, of an answer or a release
	MaxQueueWait              float64   // seconds; a set-up that would wait longer is rejected
}

// Mesh is a network and the traffic offered to it.
type Mesh struct {
	Classes       []Class
	Circuits      [][]int       // of the group between two exchanges, symmetric; 0: no group
	Offered       [][][]float64 // by origin, destination and class: first attempts, in erlang of calls
	MaxTandems    int           // maximum number of tandems attempted; 0: direct calls only
	Reservation   Reservation
	MeanWait      float64     // mean time in seconds until a call without a route is abandoned, waits and redials together
	Processors    *Processors // nil: unlimited
	MaxIterations int         // 0: 1500
}

// ErrInvalidMesh is wrapped by the errors for an invalid mesh.
var ErrInvalidMesh = errors.New("invalid mesh")

// MaxExchanges is the maximum number of exchanges of a mesh.
const MaxExchanges = 400

func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }

// Validate returns an error that describes the first invalid value of the mesh.
func (m *Mesh) Validate() error {
	n := len(m.Circuits)
	invalid := func(format string, a ...any) error { return fmt.Errorf(format+": %w", append(a, ErrInvalidMesh)...) }
	switch {
	case n < 2 || n > MaxExchanges:
		return invalid("%d exchanges, want 2 to %d", n, MaxExchanges)
	case len(m.Offered) != n:
		return invalid("traffic from %d exchanges, want %d", len(m.Offered), n)
	case len(m.Classes) == 0 || len(m.Classes) > 16:
		return invalid("%d classes, want 1 to 16", len(m.Classes))
	case m.MaxTandems < 0 || m.MaxTandems > 16:
		return invalid("at most %d tandems, want 0 to 16", m.MaxTandems)
	case m.Reservation.Base < 0 || !finite(m.Reservation.Window) || !finite(m.MeanWait):
		return invalid("trunk reservation of %d circuits with a window of %v s and a mean wait of %v s", m.Reservation.Base, m.Reservation.Window, m.MeanWait)
	}
	for _, c := range m.Classes {
		if c.Circuits < 1 || !(c.HoldingTime > 0) || math.IsInf(c.HoldingTime, 0) || !finite(c.Worth) {
			return invalid("class %s: %d circuits per call, a holding time of %v s, a worth of %v", c.Name, c.Circuits, c.HoldingTime, c.Worth)
		}
	}
	for i := range n {
		if len(m.Circuits[i]) != n || len(m.Offered[i]) != n {
			return invalid("exchange %d: groups to %d and traffic to %d exchanges", i, len(m.Circuits[i]), len(m.Offered[i]))
		}
		for j := range n {
			switch c := m.Circuits[i][j]; {
			case c < 0 || c > 100000 || i == j && c != 0:
				return invalid("group %d-%d: %d circuits", i, j, c)
			case len(m.Circuits[j]) != n || c != m.Circuits[j][i]:
				return invalid("group %d-%d: %d circuits in one direction, a different number in the other", i, j, c)
			case len(m.Offered[i][j]) != len(m.Classes):
				return invalid("traffic from %d to %d: %d classes, want %d", i, j, len(m.Offered[i][j]), len(m.Classes))
			}
			for k, traffic := range m.Offered[i][j] {
				if !finite(traffic) || traffic > 1e6 || i == j && traffic != 0 {
					return invalid("traffic from %d to %d, class %s: %v erlang", i, j, m.Classes[k].Name, traffic)
				}
			}
		}
	}
	if processors := m.Processors; processors != nil {
		if len(processors.SetupsPerSecond) != n || !finite(processors.ExamineWork) || !finite(processors.FollowUpWork) || !finite(processors.MaxQueueWait) {
			return invalid("processors of %d exchanges, examine work %v, follow-up work %v, maximum queue wait %v s", len(processors.SetupsPerSecond), processors.ExamineWork, processors.FollowUpWork, processors.MaxQueueWait)
		}
		for i, rate := range processors.SetupsPerSecond {
			if !(rate > 0) || math.IsInf(rate, 0) {
				return invalid("processor %d: %v set-ups per second", i, rate)
			}
		}
	}
	return nil
}

// Group is the computed state of one trunk group.
type Group struct {
	Carried        float64 // mean number of circuits taken
	Transit        float64 // circuits of Carried that transit and alternative calls take
	TimeCongestion float64 // share of the time in which no circuit is free
}

// Solution is one fixed point of a mesh.
type Solution struct {
	Loss        [][][]float64 // by origin, destination and class: share of first attempts that are finally lost
	Rerouted    [][][]float64 // share of calls set up over a tandem
	Groups      [][]Group
	Utilization []float64 // of each processor; above 1 when overloaded
	Rejected    []float64 // share of set-ups that each processor rejects
	LossByClass []float64 // loss of the total traffic of each class
	Iterations  int
	LastChange  float64 // maximum change of a probability in the last iteration
	Converged   bool
}

// Result holds the solutions of a mesh.
type Result struct {
	*Solution           // found from an empty network
	FromFull  *Solution // found from a full network
	Bistable  bool      // the solutions differ: the network may stay in either state
}
