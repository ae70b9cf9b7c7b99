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
func New(scenario *settings.Scenario, scheduler exchange.Scheduler, environment Environment) (*Simulation, error) {
	sim := &Simulation{scenario: scenario, scheduler: scheduler, environment: environment, randomSource: rand.NewPCG(scenario.Seed, randomStream), burstFactor: 1}
	sim.random = rand.New(sim.randomSource)
	if err := sim.build(); err != nil {
		return nil, err
	}
	return sim, nil
}

const randomStream = 0xda411a

// Reseed draws all that is still to come from another seed: other calls in the
// fleet that was drawn.
func (sim *Simulation) Reseed(seed uint64) { sim.randomSource.Seed(seed, randomStream+1) }

// Traffic is what each exchange's callers offer to each other one now, in
// circuits taken at the same time if none were lost, at the load's level.
func (sim *Simulation) Traffic() [][]float64 {
	traffic := make([][]float64, len(sim.trafficMatrix))
	for i := range traffic {
		traffic[i] = make([]float64, len(sim.trafficMatrix[i]))
		for j, load := range sim.trafficMatrix[i] {
			traffic[i][j] = load * sim.scenario.Load.Level
		}
	}
	return traffic
}

// lognormal draws a factor of mean 1 with a coefficient of variation.
func lognormal(random *rand.Rand, variation float64) float64 {
	sigma := math.Sqrt(math.Log(1 + variation*variation))
	return math.Exp(sigma*random.NormFloat64() - sigma*sigma/2)
}

func (sim *Simulation) build() error {
	scenario := sim.scenario
	fleet, processor := scenario.Fleet, scenario.Processor
	sim.environment.Record("rules", capture.Rules{AnswerSlack: scenario.Rules.AnswerSlack, DrainGrace: scenario.Rules.DrainGrace,
		ReleaseTime: scenario.Rules.ReleaseTime, OverloadFactor: scenario.Rules.OverloadFactor, OverloadDuration: scenario.Rules.OverloadDuration})
	sim.Fleet = exchange.New(sim.scheduler, sim.random, exchange.Config{IntraRegionDelay: fleet.IntraRegionDelay, InterRegionDelay: fleet.InterRegionDelay, MaxQueueWait: processor.MaxQueueWait, ExamineWork: processor.ExamineWork, RejectWork: processor.RejectWork,
		FollowUpWork: processor.FollowUpWork, ResendWork: processor.ResendWork, ResendAfter: processor.ResendAfter, FinishFirst: processor.FinishFirst, ReportsWait: processor.ReportsWait,
		ReportsReduction: processor.ReportsReduction, ColdCapacity: scenario.Rules.ColdCapacity, ColdDuration: scenario.Rules.ColdDuration})
	sim.Fleet.OnStart = func(started *exchange.Exchange) {
		capacity := capture.Capacity{ExchangeID: started.ID, ExchangeNumber: started.Number, SetUpsPerSecond: started.SetUpsPerSecond(), InitialShare: 1, Since: started.StartedAt.Milliseconds()}
		if started.StartedAt > 0 {
			capacity.InitialShare, capacity.WarmUpTime = scenario.Rules.ColdCapacity, scenario.Rules.ColdDuration
		}
		sim.environment.Record("capacity", capacity)
	}
	totalShare, circuitSeconds := 0.0, 0.0
	var classes []subscriber.Class
	for _, c := range scenario.Classes {
		totalShare += c.Share
		circuitSeconds += c.Share * c.HoldingTime.Seconds() * float64(c.Circuits)
		classes = append(classes, subscriber.Class{Name: c.Name, Share: c.Share, Worth: c.Worth, LateWorth: c.LateWorth,
			SetUpTarget: c.SetUpTarget, Patience: c.Patience, HoldingTime: c.HoldingTime})
	}
	callsPerExchange := fleet.ErlangPerExchange / (circuitSeconds / totalShare) // calls a second that one exchange's callers make
	sim.callRate = callsPerExchange * float64(fleet.Exchanges)
	setUpWork := time.Duration(processor.Utilization / (callsPerExchange * (2 + processor.ExamineWork + 4*processor.FollowUpWork)) * float64(time.Second))
	sim.drawTraffic(fleet)
	behavior := scenario.Callers
	sim.Callers = subscriber.New(sim.scheduler, sim.random, classes, subscriber.Behavior{MaxRedials: behavior.MaxRedials, MeanRedialDelay: behavior.MeanRedialDelay,
		AttemptShare: behavior.AttemptShare, ImpatientShare: behavior.ImpatientShare, HonourShare: behavior.HonourShare, MarksRetries: scenario.Rules.CallersMarkRetries})
	sim.List = exlist.New(sim.scheduler, sim.random, scenario.List.MeanDelay)
	sim.lastID = sim.random.Uint32N(1<<20) + 1<<20
	for number := range fleet.Exchanges {
		if _, err := sim.addExchange(number, number%fleet.Regions, setUpWork, false); err != nil {
			return err
		}
	}
	if scenario.Rules.RouteAdvice && scenario.List.AdviceAge > 0 {
		sim.Callers.RouteAdvice = sim.newRouteAdvice()
	}
	return nil
}

// drawTraffic makes the plan, the groups that it asks for, and the traffic that misses it.
func (sim *Simulation) drawTraffic(fleet settings.Fleet) {
	exchanges := fleet.Exchanges
	plan := make([][]float64, exchanges)
	for i := range plan {
		plan[i] = make([]float64, exchanges)
		sum := 0.0
		for j := range plan[i] {
			if i != j {
				plan[i][j] = lognormal(sim.random, fleet.PairVariation)
				sum += plan[i][j]
			}
		}
		for j := range plan[i] {
			plan[i][j] *= fleet.ErlangPerExchange / sum
		}
	}
	type pair struct {
		a, b int
		load float64
	}
	var pairs []pair
	for a := range exchanges {
		for b := a + 1; b < exchanges; b++ {
			pairs = append(pairs, pair{a, b, plan[a][b] + plan[b][a]})
		}
	}
	byLoad := slices.Clone(pairs)
	slices.SortStableFunc(byLoad, func(x, y pair) int { return int(math.Copysign(1, x.load-y.load)) })
	unlinked := map[[2]int]bool{}
	for _, p := range byLoad[:int(fleet.UnlinkedShare*float64(len(byLoad)))] {
		unlinked[[2]int{p.a, p.b}] = true
	}
	for _, p := range pairs {
		if !unlinked[[2]int{p.a, p.b}] {
			load := p.load / (1 - fleet.UnlinkedShare) // room for those without a group
			sim.Fleet.AddGroup(p.a, p.b, max(int(math.Ceil(load+fleet.SpareFactor*math.Sqrt(load))), 2))
		}
	}
	sim.trafficMatrix = plan
	sim.driftTraffic(fleet.ForecastError)
	if fleet.DriftPeriod > 0 {
		var repeat func()
		repeat = func() {
			sim.driftTraffic(fleet.ForecastError / 2)
			sim.scheduler.After(fleet.DriftPeriod, repeat)
		}
		sim.scheduler.After(fleet.DriftPeriod, repeat)
	}
}

func (sim *Simulation) driftTraffic(variation float64) {
	for i := range sim.trafficMatrix {
		sum, before := 0.0, 0.0
		for j, load := range sim.trafficMatrix[i] {
			before += load
			sim.trafficMatrix[i][j] = load * lognormal(sim.random, variation)
			sum += sim.trafficMatrix[i][j]
		}
		for j := range sim.trafficMatrix[i] {
			sim.trafficMatrix[i][j] *= before / sum
		}
	}
}

// newRouteAdvice is a centre that looks at all groups now and then.
func (sim *Simulation) newRouteAdvice() func(from, dest int) int {
	bestTandem := map[[2]int]int{}
	var update func()
	update = func() {
		clear(bestTandem)
		free := map[[2]int]int{}
		for _, group := range sim.Fleet.Groups() {
			free[[2]int{group.LowNumber, group.HighNumber}], free[[2]int{group.HighNumber, group.LowNumber}] = group.Free, group.Free
		}
		exchanges := sim.scenario.Fleet.Exchanges
		for a := range exchanges {
			for b := range exchanges {
				mostFree, tandem := 0, -1
				for candidate := range exchanges {
					if freeCircuits := min(free[[2]int{a, candidate}], free[[2]int{candidate, b}]); candidate != a && candidate != b && freeCircuits > mostFree {
						mostFree, tandem = freeCircuits, candidate
					}
				}
				bestTandem[[2]int{a, b}] = tandem
			}
		}
		sim.scheduler.After(sim.scenario.List.AdviceAge, update)
	}
	update()
	return func(source, destination int) int {
		if tandem := bestTandem[[2]int{source, destination}]; tandem >= 0 {
			return tandem
		}
		return destination
	}
}

// addExchange brings an exchange into service and the list.
func (sim *Simulation) addExchange(number, region int, setUpWork time.Duration, cold bool) (*ListedExchange, error) {
	sim.lastID += 1 + sim.random.Uint32N(1000)
	addr, err := sim.environment.Listen(sim.lastID)
	if err != nil {
		return nil, fmt.Errorf("exchange %d: %w", number, err)
	}
	added := &ListedExchange{sim.Fleet.AddExchange(sim.lastID, number, region, setUpWork, cold), addr}
	sim.exchanges = append(sim.exchanges, added)
	sim.List.Update(added.listEntry("in"))
	return added, nil
}

// ExchangeByID finds one by its id, nil if there is none.
func (sim *Simulation) ExchangeByID(id uint32) *exchange.Exchange {
	for _, candidate := range sim.exchanges {
		if candidate.ID == id {
			return candidate.Exchange
		}
	}
	return nil
}

func (listed *ListedExchange) listEntry(state string) exlist.Entry {
	return exlist.Entry{ID: listed.ID, Number: listed.Number, State: state, StartedAt: listed.StartedAt, Addr: listed.address}
}
