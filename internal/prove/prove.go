// Package prove holds what the network model promises against simulated days
// with the same module: the mesh of a scenario, the scenario with groups of
// other sizes, and the losses that its callers meet on many seeds.
package prove

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"dahliaspindle/internal/network"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/standin/exchange"
	"dahliaspindle/internal/standin/scene"
	"dahliaspindle/internal/standin/subscriber"
	"dahliaspindle/internal/virtual"
)

// What the module's way of waiting and routing is to the model (docs/design.md):
// two tandems in a try and two others in the redial after it (more made the model
// worse against simulation, at 7 and at 20 exchanges), a base reserve of two
// circuits, demand measured over ten seconds, a wait of half a second to one.
const (
	tandems  = 2
	base     = 2
	span     = 10
	waitMean = 0.75
)

// Mesh is the network of a scenario as its fleet was drawn.
func Mesh(scn *settings.Scenario) (*network.Mesh, error) {
	s, err := scene.New(scn, &virtual.Clock{}, nobody{})
	if err != nil {
		return nil, fmt.Errorf("drawing the fleet of %s: %w", scn.Name, err)
	}
	n := scn.Fleet.Exchanges
	share, seconds := 0.0, 0.0
	m := &network.Mesh{Tandems: tandems * min(scn.Callers.MaxRedials+1, 2), Reserve: network.Reserve{Base: base, Span: span, Dear: true},
		Wait: float64(scn.Callers.MaxRedials+1)*waitMean + float64(scn.Callers.MaxRedials)*scn.Callers.MeanRedialDelay.Seconds()}
	for _, c := range scn.Classes {
		m.Classes = append(m.Classes, network.Class{Name: c.Name, Width: c.Circuits, Holding: c.HoldingTime.Seconds(), Worth: c.Worth})
		share += c.Share
		seconds += c.Share * c.HoldingTime.Seconds() * float64(c.Circuits)
	}
	m.Proc = &network.Processors{Look: scn.Processor.ExamineWork, Follow: scn.Processor.FollowUpWork, Queue: scn.Processor.MaxQueueWait.Seconds()}
	traffic := s.Traffic()
	for i := range n {
		m.Circuits = append(m.Circuits, make([]int, n))
		m.Offered = append(m.Offered, make([][]float64, n))
		m.Proc.PerSecond = append(m.Proc.PerSecond, s.Fleet.Current(i).PerSecond())
		for j := range n {
			all := make([]float64, len(scn.Classes))
			for c, cl := range scn.Classes {
				all[c] = traffic[i][j] * cl.Share * cl.HoldingTime.Seconds() / seconds
			}
			m.Offered[i][j] = all
		}
	}
	for _, g := range s.Fleet.Groups() {
		m.Circuits[g.A][g.B], m.Circuits[g.B][g.A] = g.Size, g.Size
	}
	return m, nil
}

// Interval is a mean over seeds with its 95 % interval by Student's t.
type Interval struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// Holds tells whether a promise of at most x is not refuted.
func (i Interval) Holds(x float64) bool { return i.Low <= x }

func interval(all []float64) Interval {
	mean, dev := stat.MeanStdDev(all, nil)
	if len(all) < 2 {
		return Interval{mean, math.Inf(-1), math.Inf(1)}
	}
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(all) - 1)}.Quantile(0.975) * dev / math.Sqrt(float64(len(all)))
	return Interval{mean, mean - half, mean + half}
}

// Observed is what callers met.
type Observed struct {
	Calls   int           `json:"calls"`
	ByClass []Interval    `json:"by_class"`
	Pairs   [][]PairSeen  `json:"-"` // from, to; all seeds together
	Seeds   int           `json:"seeds"`
	Took    time.Duration `json:"took"` // virtual time in all
}

// PairSeen is one pair's first tries.
type PairSeen struct{ Calls, Lost int }

// warmUp is how many mean holding times of the longest class pass before calls count.
const warmUp = 3

// Simulate plays a scenario with groups of the given sizes on seeds 1 to n,
// some at the same time, and counts the first tries that never stood.
func Simulate(ctx context.Context, scn *settings.Scenario, circuits [][]int, seeds int) (*Observed, error) {
	longest := time.Duration(0)
	for _, c := range scn.Classes {
		longest = max(longest, c.HoldingTime)
	}
	from := warmUp * longest
	if from >= scn.Length {
		return nil, fmt.Errorf("simulating %s: a day of %v is over before %v, when calls begin to count", scn.Name, scn.Length, from)
	}
	type seen struct {
		calls, lost []int
		pairs       [][]PairSeen
		took        time.Duration
	}
	n := scn.Fleet.Exchanges
	play := func(seed int) (*seen, error) {
		d, err := virtual.Run(scn, virtual.Options{Shape: func(s *scene.Scene) {
			for i := range n {
				for j := range i {
					s.Fleet.Resize(i, j, circuits[i][j])
				}
			}
			s.Reseed(uint64(seed))
		}})
		if err != nil {
			return nil, err
		}
		r := &seen{calls: make([]int, len(scn.Classes)), lost: make([]int, len(scn.Classes)), pairs: make([][]PairSeen, n), took: d.Took}
		for i := range r.pairs {
			r.pairs[i] = make([]PairSeen, n)
		}
		for _, k := range d.Crowd.Calls {
			if d.Since(k) < from || k.Result == subscriber.None && k.Stood == 0 {
				continue
			}
			p := &r.pairs[k.From][k.Dest]
			p.Calls++
			r.calls[k.Class]++
			if k.Stood == 0 {
				p.Lost++
				r.lost[k.Class]++
			}
		}
		return r, nil
	}
	results, errs := make([]*seen, seeds), make([]error, seeds)
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), seeds) {
		wg.Go(func() {
			for i := range next {
				results[i], errs[i] = play(i + 1)
			}
		})
	}
	for i := range seeds {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("simulating %s: %w", scn.Name, err)
	}
	o := &Observed{Seeds: seeds, Pairs: make([][]PairSeen, n)}
	for i := range o.Pairs {
		o.Pairs[i] = make([]PairSeen, n)
	}
	shares := make([][]float64, len(scn.Classes))
	for i, r := range results {
		if errs[i] != nil {
			return nil, errs[i]
		}
		o.Took += r.took
		for c := range shares {
			o.Calls += r.calls[c]
			shares[c] = append(shares[c], float64(r.lost[c])/float64(max(r.calls[c], 1)))
		}
		for a := range n {
			for b := range n {
				o.Pairs[a][b].Calls += r.pairs[a][b].Calls
				o.Pairs[a][b].Lost += r.pairs[a][b].Lost
			}
		}
	}
	for c := range shares {
		o.ByClass = append(o.ByClass, interval(shares[c]))
	}
	return o, nil
}

// nobody is an edge for a scene that is only looked at.
type nobody struct{}

func (nobody) Open(uint32) (string, error)                         { return "nowhere", nil }
func (nobody) Shut(uint32)                                         {}
func (nobody) Break(uint32, string, func(*exchange.Conn) bool) int { return 0 }
func (nobody) Fault(uint32, scene.Fault, bool)                     {}
func (nobody) ListAway(bool)                                       {}
func (nobody) Garbage(float64) func()                              { return func() {} }
func (nobody) Restart(int)                                         {}
func (nobody) Fact(string, any)                                    {}
