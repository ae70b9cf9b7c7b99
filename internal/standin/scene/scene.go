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
	HalfOpen         Fault = iota // half open: they stand, nothing comes and nothing is heard
	StalledReader                 // nothing is read
	FragmentedWrites              // all is sent in small pieces
)

// Environment is how a scene is reached by controllers. Exchanges are named by their ids.
type Environment interface {
	Listen(id uint32) (addr string, err error) // a door for an exchange that is about to come into service
	StopListening(id uint32)                   // closes the door and all connections behind it
	// CloseConns closes connections of an exchange, in the order of their making, and counts them.
	CloseConns(id uint32, why string, which func(*exchange.Conn) bool) int
	SetFault(id uint32, f Fault, on bool)
	SetListUnavailable(away bool)
	SendMalformed(perSecond float64) (stop func()) // unreadable messages to each controller
	RestartController(cell int)                    // kills a controller and starts it again
	Record(name string, v any)                     // for the record
}

// ListedExchange is one exchange with its place in the list.
type ListedExchange struct {
	*exchange.Exchange
	address string
}

// Simulation is the stand-ins of one scenario.
type Simulation struct {
	scenario    *settings.Scenario
	scheduler   exchange.Scheduler
	random      *rand.Rand
	environment Environment

	randomSource *rand.PCG // of rnd

	Fleet   *exchange.Fleet
	List    *exlist.List
	Callers *subscriber.Callers

	exchanges     []*ListedExchange
	trafficMatrix [][]float64 // traffic from row to column
	callRate      float64     // of all first tries at load 1, a second
	startedAt     time.Duration
	nextCall      time.Duration // first try
	dialling      bool
	lastID        uint32

	burstFactor, floodShare, hotShare float64
	floodSource                       int
	hotDestination                    int
	troubles                          []TroubleRecord
}

// HotNumber is the one that many call in the trouble of that name.
const HotNumber = "4040"

// hotNumberLines is how many lines it has.
const hotNumberLines = 4

// TroubleRecord is a trouble that came.
type TroubleRecord struct {
	settings.Trouble
	Description string
	Start       time.Duration // since the day began
	End         time.Duration
}

// New draws a fleet and brings it into service.
func New(scn *settings.Scenario, s exchange.Scheduler, edge Environment) (*Simulation, error) {
	w := &Simulation{scenario: scn, scheduler: s, environment: edge, randomSource: rand.NewPCG(scn.Seed, randomStream), burstFactor: 1}
	w.random = rand.New(w.randomSource)
	if err := w.build(); err != nil {
		return nil, err
	}
	return w, nil
}

const randomStream = 0xda411a

// Reseed draws all that is still to come from another seed: other calls in the
// fleet that was drawn.
func (w *Simulation) Reseed(seed uint64) { w.randomSource.Seed(seed, randomStream+1) }

// Traffic is what each exchange's callers offer to each other one now, in
// circuits taken at the same time if none were lost, at the load's level.
func (w *Simulation) Traffic() [][]float64 {
	all := make([][]float64, len(w.trafficMatrix))
	for i := range all {
		all[i] = make([]float64, len(w.trafficMatrix[i]))
		for j, v := range w.trafficMatrix[i] {
			all[i][j] = v * w.scenario.Load.Level
		}
	}
	return all
}

// lognormal draws a factor of mean 1 with a coefficient of variation.
func lognormal(rnd *rand.Rand, cv float64) float64 {
	s := math.Sqrt(math.Log(1 + cv*cv))
	return math.Exp(s*rnd.NormFloat64() - s*s/2)
}

func (w *Simulation) build() error {
	s := w.scenario
	f, p := s.Fleet, s.Processor
	w.environment.Record("rules", capture.Rules{AnswerSlack: s.Rules.AnswerSlack, DrainGrace: s.Rules.DrainGrace,
		ReleaseTime: s.Rules.ReleaseTime, OverloadFactor: s.Rules.OverloadFactor, OverloadDuration: s.Rules.OverloadDuration})
	w.Fleet = exchange.New(w.scheduler, w.random, exchange.Config{IntraRegionDelay: f.IntraRegionDelay, InterRegionDelay: f.InterRegionDelay, MaxQueueWait: p.MaxQueueWait, ExamineWork: p.ExamineWork, RejectWork: p.RejectWork,
		FollowUpWork: p.FollowUpWork, ResendWork: p.ResendWork, ResendAfter: p.ResendAfter, FinishFirst: p.FinishFirst, ReportsWait: p.ReportsWait,
		ReportsReduction: p.ReportsReduction, ColdCapacity: s.Rules.ColdCapacity, ColdDuration: s.Rules.ColdDuration})
	w.Fleet.OnStart = func(x *exchange.Exchange) {
		c := capture.Capacity{ExchangeID: x.ID, ExchangeNumber: x.Number, SetUpsPerSecond: x.SetUpsPerSecond(), InitialShare: 1, Since: x.StartedAt.Milliseconds()}
		if x.StartedAt > 0 {
			c.InitialShare, c.WarmUpTime = s.Rules.ColdCapacity, s.Rules.ColdDuration
		}
		w.environment.Record("capacity", c)
	}
	share, seconds := 0.0, 0.0
	var classes []subscriber.Class
	for _, c := range s.Classes {
		share += c.Share
		seconds += c.Share * c.HoldingTime.Seconds() * float64(c.Circuits)
		classes = append(classes, subscriber.Class{Name: c.Name, Share: c.Share, Worth: c.Worth, LateWorth: c.LateWorth,
			SetUpTarget: c.SetUpTarget, Patience: c.Patience, HoldingTime: c.HoldingTime})
	}
	each := f.ErlangPerExchange / (seconds / share) // calls a second that one exchange's callers make
	w.callRate = each * float64(f.Exchanges)
	work := time.Duration(p.Utilization / (each * (2 + p.ExamineWork + 4*p.FollowUpWork)) * float64(time.Second))
	w.drawTraffic(f)
	h := s.Callers
	w.Callers = subscriber.New(w.scheduler, w.random, classes, subscriber.Behavior{MaxRedials: h.MaxRedials, MeanRedialDelay: h.MeanRedialDelay,
		AttemptShare: h.AttemptShare, ImpatientShare: h.ImpatientShare, HonourShare: h.HonourShare, MarksRetries: s.Rules.CallersMarkRetries})
	w.List = exlist.New(w.scheduler, w.random, s.List.MeanDelay)
	w.lastID = w.random.Uint32N(1<<20) + 1<<20
	for cell := range f.Exchanges {
		if _, err := w.addExchange(cell, cell%f.Regions, work, false); err != nil {
			return err
		}
	}
	if s.Rules.RouteAdvice && s.List.AdviceAge > 0 {
		w.Callers.RouteAdvice = w.newRouteAdvice()
	}
	return nil
}

// drawTraffic makes the plan, the groups that it asks for, and the traffic that misses it.
func (w *Simulation) drawTraffic(f settings.Fleet) {
	n := f.Exchanges
	plan := make([][]float64, n)
	for i := range plan {
		plan[i] = make([]float64, n)
		sum := 0.0
		for j := range plan[i] {
			if i != j {
				plan[i][j] = lognormal(w.random, f.PairVariation)
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
			w.Fleet.AddGroup(p.a, p.b, max(int(math.Ceil(load+f.SpareFactor*math.Sqrt(load))), 2))
		}
	}
	w.trafficMatrix = plan
	w.driftTraffic(f.ForecastError)
	if f.DriftPeriod > 0 {
		var again func()
		again = func() {
			w.driftTraffic(f.ForecastError / 2)
			w.scheduler.After(f.DriftPeriod, again)
		}
		w.scheduler.After(f.DriftPeriod, again)
	}
}

func (w *Simulation) driftTraffic(cv float64) {
	for i := range w.trafficMatrix {
		sum, was := 0.0, 0.0
		for j, v := range w.trafficMatrix[i] {
			was += v
			w.trafficMatrix[i][j] = v * lognormal(w.random, cv)
			sum += w.trafficMatrix[i][j]
		}
		for j := range w.trafficMatrix[i] {
			w.trafficMatrix[i][j] *= was / sum
		}
	}
}

// newRouteAdvice is a centre that looks at all groups now and then.
func (w *Simulation) newRouteAdvice() func(from, dest int) int {
	best := map[[2]int]int{}
	var look func()
	look = func() {
		clear(best)
		free := map[[2]int]int{}
		for _, g := range w.Fleet.Groups() {
			free[[2]int{g.LowNumber, g.HighNumber}], free[[2]int{g.HighNumber, g.LowNumber}] = g.Free, g.Free
		}
		n := w.scenario.Fleet.Exchanges
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
		w.scheduler.After(w.scenario.List.AdviceAge, look)
	}
	look()
	return func(from, dest int) int {
		if t := best[[2]int{from, dest}]; t >= 0 {
			return t
		}
		return dest
	}
}

// addExchange brings an exchange into service and the list.
func (w *Simulation) addExchange(cell, region int, work time.Duration, cold bool) (*ListedExchange, error) {
	w.lastID += 1 + w.random.Uint32N(1000)
	addr, err := w.environment.Listen(w.lastID)
	if err != nil {
		return nil, fmt.Errorf("exchange %d: %w", cell, err)
	}
	h := &ListedExchange{w.Fleet.AddExchange(w.lastID, cell, region, work, cold), addr}
	w.exchanges = append(w.exchanges, h)
	w.List.Update(h.listEntry("in"))
	return h, nil
}

// ExchangeByID finds one by its id, nil if there is none.
func (w *Simulation) ExchangeByID(id uint32) *exchange.Exchange {
	for _, h := range w.exchanges {
		if h.ID == id {
			return h.Exchange
		}
	}
	return nil
}

func (h *ListedExchange) listEntry(state string) exlist.Entry {
	return exlist.Entry{ID: h.ID, Number: h.Number, State: state, StartedAt: h.StartedAt, Addr: h.address}
}
