package network

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// Limits of the iteration.
const (
	mostSteps = 1500
	enough    = 1e-7 // change of a probability in a step
	apart     = 1e-3 // two solutions differ by so much in a class's loss
)

// start is the state of mind with which the iteration begins.
type start uint8

const (
	empty start = iota // no group is ever full
	full               // half of the calls are turned elsewhere, and let in there
)

// Solve finds the fixed point from an empty and from a full network. A network
// whose alternative calls crowd out direct ones can have two; which it is in
// then depends on what happened to it.
func Solve(m *Mesh) (*Result, error) {
	if err := m.Validate(); err != nil {
		return nil, fmt.Errorf("solving a network: %w", err)
	}
	low, high := newWork(m, empty).run(), newWork(m, full).run()
	a := &Result{Solution: low, FromFull: high}
	for c := range m.Classes {
		if math.Abs(low.LossByClass[c]-high.LossByClass[c]) > apart {
			a.Bistable = true
		}
	}
	return a, nil
}

// SolveFrom finds the fixed point from an empty network only, or from a full one.
func SolveFrom(m *Mesh, fromFull bool) (*Solution, error) {
	if err := m.Validate(); err != nil {
		return nil, fmt.Errorf("solving a network: %w", err)
	}
	s := empty
	if fromFull {
		s = full
	}
	return newWork(m, s).run(), nil
}

// link is a group with its two ends, lower number first.
type link struct {
	a, b     int
	circuits int
	sides    [2]side
	state    state
	late     float64 // share of the time in which it counts as full of late
	mean     [2]float64
	asked    [2][]float64 // by end: what the meter tells of a direct demand of that mean
}

// work is an iteration under way.
type work struct {
	m     *Mesh
	n, k  int
	links []link
	at    [][]int // index of a pair's link; -1 without a group

	turned []float64 // by processors
	use    []float64
	demand []float64 // work a second, in set-ups, in this step
	// by exchange and tandem: the chance that it is the one with most room
	pick [][]float64
	// by exchange and class: the chance that no tandem has room on the first leg, in logarithm, all counted
	none [][]float64

	over [][][]float64 // share over a tandem
	lost [][][]float64
}

func cube(n, k int) [][][]float64 {
	x := make([][][]float64, n)
	for i := range x {
		x[i] = make([][]float64, n)
		for j := range x[i] {
			x[i][j] = make([]float64, k)
		}
	}
	return x
}

func newWork(m *Mesh, s start) *work {
	n, k := len(m.Circuits), len(m.Classes)
	w := &work{m: m, n: n, k: k, turned: make([]float64, n), use: make([]float64, n), demand: make([]float64, n),
		over: cube(n, k), lost: cube(n, k)}
	for i := range n {
		w.at = append(w.at, make([]int, n))
		w.pick = append(w.pick, make([]float64, n))
		w.none = append(w.none, make([]float64, k))
		for j := range n {
			w.at[i][j] = -1
		}
	}
	for i := range n {
		for j := i + 1; j < n; j++ {
			c := m.Circuits[i][j]
			if c == 0 {
				continue
			}
			l := link{a: i, b: j, circuits: c}
			l.state.left = make([]float64, k)
			for e := range 2 {
				l.sides[e] = side{direct: make([]float64, k), transit: make([]float64, k), waits: make([]float64, k)}
				l.state.full[e], l.state.shut[e], l.state.share[e] = make([]float64, k), make([]float64, k), make([]float64, k)
				l.state.free[e] = make([]float64, c+1)
				l.state.free[e][c] = 1
			}
			for x := range k {
				l.state.left[x] = 1
				for e := range 2 {
					l.state.share[e][x] = 0.5 / float64(k)
					if s == full {
						l.state.full[e][x] = 0.5
					}
				}
			}
			w.at[i][j], w.at[j][i] = len(w.links), len(w.links)
			w.links = append(w.links, l)
		}
	}
	return w
}

// end is which side of a link an exchange is.
func (l *link) end(i int) int {
	if i == l.a {
		return 0
	}
	return 1
}

func (w *work) shut(i, j, c int) float64 {
	x := w.at[i][j]
	if x < 0 {
		return 1
	}
	l := &w.links[x]
	return l.state.shut[l.end(i)][c]
}

// choose works out which tandem has most room, for every exchange: the group
// states are taken to be independent, ties go to each in equal parts.
func (w *work) choose() {
	for i := range w.n {
		most := 0
		for j := range w.n {
			if x := w.at[i][j]; x >= 0 {
				most = max(most, w.links[x].circuits)
			}
		}
		// cdf[j][f]: at most f free on the way to j; its product over all j is that of the most
		below := make([]float64, w.n) // cdf up to f-1
		for j := range w.pick[i] {
			w.pick[i][j] = 0
		}
		for f := 1; f <= most; f++ {
			// chance that all have at most f, in logarithm, and each one's own part of it
			all, none := 0.0, 0
			here := make([]float64, w.n)
			for j := range w.n {
				x := w.at[i][j]
				if x < 0 {
					continue
				}
				l := &w.links[x]
				if f == 1 {
					below[j] = l.state.free[l.end(i)][0]
				}
				if f <= l.circuits {
					here[j] = l.state.free[l.end(i)][f]
				}
				if c := below[j] + here[j]; c > 0 {
					all += math.Log(c)
				} else {
					none++
				}
			}
			if none == 0 {
				top := math.Exp(all) // all at most f
				under := 1.0         // all below f
				parts := 0.0
				for j := range w.n {
					if w.at[i][j] >= 0 {
						under *= below[j] / (below[j] + here[j])
						parts += here[j] / (below[j] + here[j])
					}
				}
				if parts > 0 {
					for j := range w.n {
						if w.at[i][j] >= 0 {
							w.pick[i][j] += top * (1 - under) * here[j] / (below[j] + here[j]) / parts
						}
					}
				}
			}
			for j := range w.n {
				below[j] += here[j]
			}
		}
		for c := range w.k {
			w.none[i][c] = 0
			for j := range w.n {
				if s := w.shut(i, j, c); w.at[i][j] >= 0 {
					w.none[i][c] += math.Log(max(s, 1e-300))
				}
			}
		}
	}
}

// step lets the traffic flow through the network as it was last known, and
// works every group and processor out anew; it returns the greatest change.
func (w *work) step(damp float64) float64 {
	m := w.m
	for x := range w.links {
		for e := range 2 {
			s := &w.links[x].sides[e]
			clear(s.direct)
			clear(s.transit)
			clear(s.waits)
		}
	}
	clear(w.demand)
	if m.MaxTandems > 0 {
		w.choose()
	}
	for i := range w.n {
		for j := range w.n {
			for c := range w.k {
				if i != j && m.Offered[i][j][c] > 0 {
					w.flow(i, j, c)
				}
			}
		}
	}
	w.reserves()
	change := 0.0
	mix := func(old, now float64) float64 {
		change = max(change, math.Abs(now-old))
		return old + damp*(now-old)
	}
	for x := range w.links {
		l := &w.links[x]
		now := solveGroup(l.circuits, m.Classes, &l.sides, l.state.share, m.MeanWait)
		for c := range w.k {
			now.left[c] = mix(l.state.left[c], now.left[c])
			for e := range 2 {
				now.full[e][c] = mix(l.state.full[e][c], now.full[e][c])
				now.shut[e][c] = mix(l.state.shut[e][c], now.shut[e][c])
				now.share[e][c] = mix(l.state.share[e][c], now.share[e][c])
			}
		}
		for e := range 2 {
			for f := range now.free[e] {
				now.free[e][f] = mix(l.state.free[e][f], now.free[e][f])
			}
		}
		l.late = mix(l.late, 1-math.Exp(-m.Reservation.Window*now.entry))
		l.state = now
	}
	if p := m.Processors; p != nil {
		for i := range w.n {
			use, lost := processor(w.demand[i], p.SetupsPerSecond[i], p.MaxQueueWait)
			w.use[i], w.turned[i] = use, mix(w.turned[i], lost)
		}
	}
	return change
}

// processor is the use and the share turned away of a line with bounded wait:
// M/M/1 with as many places as fit into the queue's time.
func processor(demand, perSecond, queue float64) (use, lost float64) {
	rho := demand / perSecond
	places := 1 + queue*perSecond
	switch {
	case rho <= 0:
		return 0, 0
	case math.Abs(rho-1) < 1e-9:
		lost = 1 / (places + 1)
	case rho < 1:
		x := math.Pow(rho, places)
		lost = (1 - rho) * x / (1 - x*rho)
	default: // the same, turned round so that it does not overflow
		x := math.Pow(rho, -places)
		lost = (rho - 1) / (rho - x)
	}
	return rho, min(max(lost, 0), 1)
}

// flow sends one pair's class through the network.
func (w *work) flow(i, j, c int) {
	m := w.m
	cl := m.Classes[c]
	a := m.Offered[i][j][c]
	through := (1 - w.turned[i]) * (1 - w.turned[j]) // the processors at both ends
	in := a * through
	x := w.at[i][j]
	blocked, left := 1.0, 1.0
	if x >= 0 {
		l := &w.links[x]
		e := l.end(i)
		l.sides[e].direct[c] += in
		blocked, left = l.state.full[e][c], l.state.left[c]
	}
	over, back := 0.0, 0.0
	if m.MaxTandems > 0 && blocked > 0 {
		over, back = w.tandems(i, j, c, in*blocked)
	}
	waits := 1 - over
	if x >= 0 {
		l := &w.links[x]
		l.sides[l.end(i)].waits[c] = waits
	}
	w.over[i][j][c] = through * blocked * over
	w.lost[i][j][c] = 1 - through*(1-blocked*waits*left)
	if p := m.Processors; p != nil {
		// what a processor turns away itself is demand for it too; what the far one turns away is a look lost
		rate := a / cl.HoldingTime
		stood := 1 - blocked*waits*left
		w.demand[i] += rate * ((1-w.turned[j])*(stood*(1+p.ExamineWork+2*p.FollowUpWork)+blocked*back*(1+p.ExamineWork)) + w.turned[j]*(1+p.ExamineWork))
		w.demand[j] += rate * (1 - w.turned[i]) * stood * (1 + 2*p.FollowUpWork)
	}
}

// tandems offers calls to the tandems of most room, one after the other; it
// returns the share that gets through and the set-ups turned back for each.
func (w *work) tandems(i, j, c int, offered float64) (over, back float64) {
	m := w.m
	cl := m.Classes[c]
	sum, second := 0.0, 0.0
	for t := range w.n {
		if w.able(i, t, j) {
			sum += w.pick[i][t]
			second += w.pick[i][t] * w.refuses(t, j, c)
		}
	}
	if sum <= 1e-12 {
		return 0, 0
	}
	// the chance that some first leg has room; the destination is no tandem
	none := w.none[i][c]
	if w.at[i][j] >= 0 {
		none -= math.Log(max(w.shut(i, j, c), 1e-300))
	}
	some := -math.Expm1(none)
	u := second / sum
	rounds, r := 0.0, 1.0
	for range m.MaxTandems {
		rounds += r
		r *= u
	}
	for t := range w.n {
		if !w.able(i, t, j) {
			continue
		}
		part := some * rounds * w.pick[i][t] / sum // set-ups sent this way, for each call
		ok := 1 - w.refuses(t, j, c)
		if part*ok > 0 {
			w.carry(i, t, c, offered*part*ok)
			w.carry(t, j, c, offered*part*ok)
		}
		if p := m.Processors; p != nil {
			rate := offered * part / cl.HoldingTime
			w.demand[t] += rate*ok*(2+p.ExamineWork+4*p.FollowUpWork) + rate*(1-ok)
		}
	}
	return some * (1 - r), some * rounds * u
}

// able tells whether t may be a tandem from i to j.
func (w *work) able(i, t, j int) bool {
	return t != i && t != j && w.at[i][t] >= 0 && w.at[t][j] >= 0
}

// refuses is the chance that a tandem turns a call back: for its second leg or its processor.
func (w *work) refuses(t, j, c int) float64 {
	return 1 - (1-w.shut(t, j, c))*(1-w.turned[t])
}

// carry books transit that a group is to carry; what is offered is more by what it refuses.
func (w *work) carry(i, j, c int, x float64) {
	l := &w.links[w.at[i][j]]
	e := l.end(i)
	l.sides[e].transit[c] += x / max(1-l.state.shut[e][c], 1e-6)
}

// reserves works out what each side of each group is owed.
func (w *work) reserves() {
	m := w.m
	base := float64(m.Reservation.Base)
	lates, groups := make([]float64, w.n), make([]float64, w.n)
	for x := range w.links {
		l := &w.links[x]
		for _, i := range []int{l.a, l.b} {
			lates[i] += l.late
			groups[i]++
		}
	}
	for x := range w.links {
		l := &w.links[x]
		for e, i := range []int{l.a, l.b} {
			s := &l.sides[e]
			s.reserve = append(s.reserve[:0], base)
			if m.Reservation.Window > 0 && l.late > 0 {
				s.reserve = s.reserve[:0]
				if mean := s.mean(m.Classes); math.Abs(mean-l.mean[e]) > 1e-6*mean { // quantiles are dear
					l.mean[e], l.asked[e] = mean, w.measured(s, func(int) bool { return true })
				}
				for _, asked := range l.asked[e] {
					follow := (asked + math.Sqrt(asked)) * lates[i] / groups[i]
					s.reserve = append(s.reserve, min(base+l.late*max(follow-base, 0), float64(l.circuits)))
				}
			}
			if !m.Reservation.ProtectHighValue || m.Reservation.Window <= 0 || s.dear != nil {
				continue // what dear classes ask for is offered, not carried: worked out once
			}
			s.dear = make([][]float64, w.k)
			for c := range m.Classes {
				for _, asked := range w.measured(s, func(d int) bool { return dearer(m.Classes, d, c) }) {
					if asked > 0 { // rounded up: by half on average
						s.dear[c] = append(s.dear[c], min(max(asked+0.5, 1), float64(l.circuits)))
					}
				}
			}
		}
	}
}

// mean is a side's direct demand in circuits.
func (s *side) mean(classes []Class) float64 {
	sum := 0.0
	for c, cl := range classes {
		sum += s.direct[c] * float64(cl.Circuits)
	}
	return sum
}

// points are the quantiles that stand for a distribution, in equal parts.
var points = []float64{0.1, 0.3, 0.5, 0.7, 0.9}

// measured is what the meter of the module tells of a side's direct demand for
// circuits, at equally likely moments: arrivals times holding time, fading over
// the span. It is a shot noise, here by the Gamma distribution of its mean and
// variance (N. R. Campbell's theorem).
func (w *work) measured(s *side, which func(class int) bool) []float64 {
	mean, variance := 0.0, 0.0
	for c, cl := range w.m.Classes {
		if which(c) {
			a := s.direct[c] * float64(cl.Circuits)
			mean += a
			variance += a * float64(cl.Circuits) * cl.HoldingTime / (2 * w.m.Reservation.Window)
		}
	}
	if mean <= 0 {
		return []float64{0}
	}
	g := distuv.Gamma{Alpha: mean * mean / variance, Beta: mean / variance}
	all := make([]float64, len(points))
	for i, p := range points {
		all[i] = g.Quantile(p)
	}
	return all
}

// run iterates until nothing changes any more. Where the steps swing, they are
// made smaller.
func (w *work) run() *Solution {
	damp, best := 0.7, math.Inf(1)
	s, most := &Solution{}, w.m.MaxIterations
	if most <= 0 {
		most = mostSteps
	}
	for s.Iterations = 1; s.Iterations <= most; s.Iterations++ {
		s.LastChange = w.step(damp)
		if s.LastChange < enough {
			s.Converged = true
			break
		}
		if s.Iterations%40 == 0 {
			if s.LastChange > best/2 {
				damp = max(damp/1.5, 0.05)
			}
			best = min(best, s.LastChange)
		}
	}
	s.Iterations = min(s.Iterations, most)
	return w.solution(s)
}

func (w *work) solution(s *Solution) *Solution {
	m := w.m
	s.Loss, s.Rerouted, s.Utilization, s.Rejected = w.lost, w.over, w.use, w.turned
	s.LossByClass = make([]float64, w.k)
	s.Groups = make([][]Group, w.n)
	for i := range s.Groups {
		s.Groups[i] = make([]Group, w.n)
		for j := range s.Groups[i] {
			if x := w.at[i][j]; x >= 0 {
				l := &w.links[x]
				s.Groups[i][j] = Group{l.state.carried, l.state.transit, l.state.busy}
			}
		}
	}
	for c := range m.Classes {
		all, lost := 0.0, 0.0
		for i := range w.n {
			for j := range w.n {
				all += m.Offered[i][j][c]
				lost += m.Offered[i][j][c] * w.lost[i][j][c]
			}
		}
		if all > 0 {
			s.LossByClass[c] = lost / all
		}
	}
	return s
}
