// Package scene is the stand-ins of one scenario put together, free of I/O: a
// fleet, its list, its callers, the traffic between them and the troubles that
// befall them. Who owns it brings time (Sched) and the ways to reach it (Edge):
// sockets in world, memory and a virtual clock in virtual.
package scene

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/standin/exchange"
	"dahliaspindle/internal/standin/exlist"
	"dahliaspindle/internal/standin/subscriber"
)

// Fault is what goes wrong with the connections of one exchange.
type Fault uint8

const (
	Mute      Fault = iota // half open: they stand, nothing comes and nothing is heard
	Stalled                // nothing is read
	Fragments              // all is sent in small pieces
)

// Edge is how a scene is reached by controllers. Exchanges are named by their ids.
type Edge interface {
	Open(id uint32) (addr string, err error) // a door for an exchange that is about to come into service
	Shut(id uint32)                          // closes the door and all connections behind it
	// Break closes connections of an exchange, in the order of their making, and counts them.
	Break(id uint32, why string, which func(*exchange.Conn) bool) int
	Fault(id uint32, f Fault, on bool)
	ListAway(away bool)
	Garbage(perSecond float64) (stop func()) // unreadable messages to each controller
	Restart(cell int)                        // kills a controller and starts it again
	Fact(name string, v any)                 // for the record
}

// Host is one exchange with its place in the list.
type Host struct {
	*exchange.Exchange
	addr string
}

// Scene is the stand-ins of one scenario.
type Scene struct {
	scn  *settings.Scenario
	s    exchange.Sched
	rnd  *rand.Rand
	edge Edge

	source *rand.PCG // of rnd

	Fleet *exchange.Fleet
	List  *exlist.List
	Crowd *subscriber.Crowd

	hosts    []*Host
	weights  [][]float64 // traffic from row to column
	rate     float64     // of all first tries at load 1, a second
	began    time.Duration
	next     time.Duration // first try
	dialling bool
	nextID   uint32

	burst, flood, hot float64
	flooded           int
	hotDest           int
	seen              []Seen
}

// HotNumber is the one that many call in the trouble of that name.
const HotNumber = "4040"

// hotLines is how many lines it has.
const hotLines = 4

// Seen is a trouble that came.
type Seen struct {
	settings.Trouble
	What string
	From time.Duration // since the day began
	To   time.Duration
}

// New draws a fleet and brings it into service.
func New(scn *settings.Scenario, s exchange.Sched, edge Edge) (*Scene, error) {
	w := &Scene{scn: scn, s: s, edge: edge, source: rand.NewPCG(scn.Seed, stream), burst: 1}
	w.rnd = rand.New(w.source)
	if err := w.build(); err != nil {
		return nil, err
	}
	return w, nil
}

const stream = 0xda411a

// Reseed draws all that is still to come from another seed: other calls in the
// fleet that was drawn.
func (w *Scene) Reseed(seed uint64) { w.source.Seed(seed, stream+1) }

// Traffic is what each exchange's callers offer to each other one now, in
// circuits taken at the same time if none were lost, at the load's level.
func (w *Scene) Traffic() [][]float64 {
	all := make([][]float64, len(w.weights))
	for i := range all {
		all[i] = make([]float64, len(w.weights[i]))
		for j, v := range w.weights[i] {
			all[i][j] = v * w.scn.Load.Level
		}
	}
	return all
}

// lognormal draws a factor of mean 1 with a coefficient of variation.
func lognormal(rnd *rand.Rand, cv float64) float64 {
	s := math.Sqrt(math.Log(1 + cv*cv))
	return math.Exp(s*rnd.NormFloat64() - s*s/2)
}

func (w *Scene) build() error {
	s := w.scn
	f, p := s.Fleet, s.Processor
	w.edge.Fact("rules", capture.Rules{AnswerSlack: s.Rules.AnswerSlack, DrainGrace: s.Rules.DrainGrace,
		ReleaseTime: s.Rules.ReleaseTime, OverloadFactor: s.Rules.OverloadFactor, OverloadDuration: s.Rules.OverloadDuration})
	w.Fleet = exchange.New(w.s, w.rnd, exchange.Figures{Near: f.IntraRegionDelay, Far: f.InterRegionDelay, Queue: p.MaxQueueWait, Look: p.ExamineWork, Reject: p.RejectWork,
		Follow: p.FollowUpWork, Repeat: p.ResendWork, Resend: p.ResendAfter, FinishFirst: p.FinishFirst, GivesWait: p.ReportsWait,
		Reduce: p.ReportsReduction, ColdFrom: s.Rules.ColdCapacity, ColdFor: s.Rules.ColdDuration})
	w.Fleet.Started = func(x *exchange.Exchange) {
		c := capture.Capacity{ExchangeID: x.ID, ExchangeNumber: x.Cell, SetUpsPerSecond: x.PerSecond(), InitialShare: 1, Since: x.Since.Milliseconds()}
		if x.Since > 0 {
			c.InitialShare, c.WarmUpTime = s.Rules.ColdCapacity, s.Rules.ColdDuration
		}
		w.edge.Fact("capacity", c)
	}
	share, seconds := 0.0, 0.0
	var classes []subscriber.Class
	for _, c := range s.Classes {
		share += c.Share
		seconds += c.Share * c.HoldingTime.Seconds() * float64(c.Circuits)
		classes = append(classes, subscriber.Class{Name: c.Name, Share: c.Share, Worth: c.Worth, LateWorth: c.LateWorth,
			Aim: c.SetUpTarget, Patience: c.Patience, Holding: c.HoldingTime})
	}
	each := f.ErlangPerExchange / (seconds / share) // calls a second that one exchange's callers make
	w.rate = each * float64(f.Exchanges)
	work := time.Duration(p.Utilization / (each * (2 + p.ExamineWork + 4*p.FollowUpWork)) * float64(time.Second))
	w.draw(f)
	h := s.Callers
	w.Crowd = subscriber.New(w.s, w.rnd, classes, subscriber.Habits{Redials: h.MaxRedials, RedialAfter: h.MeanRedialDelay,
		TryShare: h.AttemptShare, Impatient: h.ImpatientShare, Honour: h.HonourShare, MarksRepeat: s.Rules.CallersMarkRetries})
	w.List = exlist.New(w.s, w.rnd, s.List.MeanDelay)
	w.nextID = w.rnd.Uint32N(1<<20) + 1<<20
	for cell := range f.Exchanges {
		if _, err := w.add(cell, cell%f.Regions, work, false); err != nil {
			return err
		}
	}
	if s.Rules.RouteAdvice && s.List.AdviceAge > 0 {
		w.Crowd.Advice = w.advice()
	}
	return nil
}

// draw makes the plan, the groups that it asks for, and the traffic that misses it.
func (w *Scene) draw(f settings.Fleet) {
	n := f.Exchanges
	plan := make([][]float64, n)
	for i := range plan {
		plan[i] = make([]float64, n)
		sum := 0.0
		for j := range plan[i] {
			if i != j {
				plan[i][j] = lognormal(w.rnd, f.PairVariation)
				sum += plan[i][j]
			}
		}
		for j := range plan[i] {
			plan[i][j] *= f.ErlangPerExchange / sum
		}
	}
	type pair struct {
		a, b int
		load float64
	}
	var pairs []pair
	for a := range n {
		for b := a + 1; b < n; b++ {
			pairs = append(pairs, pair{a, b, plan[a][b] + plan[b][a]})
		}
	}
	thin := slices.Clone(pairs)
	slices.SortStableFunc(thin, func(x, y pair) int { return int(math.Copysign(1, x.load-y.load)) })
	without := map[[2]int]bool{}
	for _, p := range thin[:int(f.UnlinkedShare*float64(len(thin)))] {
		without[[2]int{p.a, p.b}] = true
	}
	for _, p := range pairs {
		if !without[[2]int{p.a, p.b}] {
			load := p.load / (1 - f.UnlinkedShare) // room for those without a group
			w.Fleet.Link(p.a, p.b, max(int(math.Ceil(load+f.SpareFactor*math.Sqrt(load))), 2))
		}
	}
	w.weights = plan
	w.drift(f.ForecastError)
	if f.DriftPeriod > 0 {
		var again func()
		again = func() {
			w.drift(f.ForecastError / 2)
			w.s.After(f.DriftPeriod, again)
		}
		w.s.After(f.DriftPeriod, again)
	}
}

func (w *Scene) drift(cv float64) {
	for i := range w.weights {
		sum, was := 0.0, 0.0
		for j, v := range w.weights[i] {
			was += v
			w.weights[i][j] = v * lognormal(w.rnd, cv)
			sum += w.weights[i][j]
		}
		for j := range w.weights[i] {
			w.weights[i][j] *= was / sum
		}
	}
}

// advice is a centre that looks at all groups now and then.
func (w *Scene) advice() func(from, dest int) int {
	best := map[[2]int]int{}
	var look func()
	look = func() {
		clear(best)
		free := map[[2]int]int{}
		for _, g := range w.Fleet.Groups() {
			free[[2]int{g.A, g.B}], free[[2]int{g.B, g.A}] = g.Free, g.Free
		}
		n := w.scn.Fleet.Exchanges
		for a := range n {
			for b := range n {
				room, at := 0, -1
				for t := range n {
					if r := min(free[[2]int{a, t}], free[[2]int{t, b}]); t != a && t != b && r > room {
						room, at = r, t
					}
				}
				best[[2]int{a, b}] = at
			}
		}
		w.s.After(w.scn.List.AdviceAge, look)
	}
	look()
	return func(from, dest int) int {
		if t := best[[2]int{from, dest}]; t >= 0 {
			return t
		}
		return dest
	}
}

// add brings an exchange into service and the list.
func (w *Scene) add(cell, region int, work time.Duration, cold bool) (*Host, error) {
	w.nextID += 1 + w.rnd.Uint32N(1000)
	addr, err := w.edge.Open(w.nextID)
	if err != nil {
		return nil, fmt.Errorf("exchange %d: %w", cell, err)
	}
	h := &Host{w.Fleet.Add(w.nextID, cell, region, work, cold), addr}
	w.hosts = append(w.hosts, h)
	w.List.Set(h.entry("in"))
	return h, nil
}

// Exchange finds one by its id, nil if there is none.
func (w *Scene) Exchange(id uint32) *exchange.Exchange {
	for _, h := range w.hosts {
		if h.ID == id {
			return h.Exchange
		}
	}
	return nil
}

func (h *Host) entry(state string) exlist.Entry {
	return exlist.Entry{ID: h.ID, Cell: h.Cell, State: state, Since: h.Since, Addr: h.addr}
}
