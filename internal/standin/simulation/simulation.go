// Package simulation assembles the simulation of one scenario without any I/O: the
// exchanges, the exchange list, the callers, the traffic between them and the
// troubles of the scenario. Its owner provides the time (exchange.Scheduler) and the
// connections (Environment): package realtime with sockets in real time, package
// virtual in memory and virtual time.
package simulation

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

// Fault is a kind of fault of the connections of an exchange.
type Fault uint8

const (
	HalfOpen         Fault = iota // connections stay open, but messages are lost in both directions
	StalledReader                 // the exchange does not read
	FragmentedWrites              // messages are written in small pieces
)

// Environment provides the connections between the simulated network elements and
// the controllers. Exchanges are identified by their IDs.
type Environment interface {
	// Listen opens a listener for an exchange that is about to come into service.
	Listen(id uint32) (address string, err error)
	// StopListening closes the listener of an exchange and all its connections.
	StopListening(id uint32)
	// CloseConns closes the matching connections of an exchange in order of creation
	// and returns their number.
	CloseConns(id uint32, reason string, matches func(*exchange.Conn) bool) int
	// SetFault turns a fault of an exchange's connections on or off.
	SetFault(id uint32, fault Fault, on bool)
	// SetListUnavailable makes the exchange list unreachable, or reachable again.
	SetListUnavailable(unavailable bool)
	// SendMalformed sends unreadable messages to each controller until stop is called.
	SendMalformed(perSecond float64) (stop func())
	// RestartController kills a controller and starts it again.
	RestartController(number int)
	// Record writes a fact to the capture.
	Record(name string, value any)
}

// ListedExchange is an exchange together with its address in the exchange list.
type ListedExchange struct {
	*exchange.Exchange
	address string
}

// Simulation is the simulated network of one scenario.
type Simulation struct {
	scenario    *settings.Scenario
	scheduler   exchange.Scheduler
	random      *rand.Rand
	environment Environment

	randomSource *rand.PCG // of random

	Fleet   *exchange.Fleet
	List    *exlist.List
	Callers *subscriber.Callers

	exchanges     []*ListedExchange
	trafficMatrix [][]float64 // erlang offered from row to column, at load level 1
	callRate      float64     // first attempts per second of all callers, at load level 1
	startedAt     time.Duration
	nextCall      time.Duration // scheduled time of the next first attempt
	dialling      bool
	lastID        uint32 // of the exchange added last

	burstFactor, floodShare, hotShare float64 // of the troubles in progress
	floodSource                       int     // exchange where the flood originates
	hotDestination                    int     // exchange of the hot number
	troubles                          []TroubleRecord
}

// HotNumber is the called number of the hot-number trouble.
const HotNumber = "4040"

// hotNumberLines is the number of lines of HotNumber.
const hotNumberLines = 4

// TroubleRecord is a trouble that has occurred.
type TroubleRecord struct {
	settings.Trouble
	Description string        // what it affects
	Start       time.Duration // since the start of the run
	End         time.Duration
}

// New draws the network of a scenario and brings its exchanges into service.
func New(scenario *settings.Scenario, scheduler exchange.Scheduler, environment Environment) (*Simulation, error) {
	sim := &Simulation{
		scenario:     scenario,
		scheduler:    scheduler,
		environment:  environment,
		randomSource: rand.NewPCG(scenario.Seed, randomStream),
		burstFactor:  1,
	}
	sim.random = rand.New(sim.randomSource)
	if err := sim.build(); err != nil {
		return nil, err
	}
	return sim, nil
}

// randomStream is the second seed word of the random source; Reseed uses the next one.
const randomStream = 0xda411a

// Reseed makes all further draws depend on another seed: other calls in the same
// network.
func (sim *Simulation) Reseed(seed uint64) { sim.randomSource.Seed(seed, randomStream+1) }

// Traffic returns the traffic that the callers of each exchange (row) currently offer
// to each other one (column), in erlang of circuits, at the scenario's load level.
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

// lognormal draws a lognormal factor with mean 1 and the given coefficient of variation.
func lognormal(random *rand.Rand, variation float64) float64 {
	sigma := math.Sqrt(math.Log(1 + variation*variation))
	return math.Exp(sigma*random.NormFloat64() - sigma*sigma/2)
}

// build creates the exchanges, the exchange list and the callers.
func (sim *Simulation) build() error {
	scenario := sim.scenario
	fleet, processor := scenario.Fleet, scenario.Processor
	sim.environment.Record("rules", capture.Rules{
		AnswerSlack:      scenario.Rules.AnswerSlack,
		DrainGrace:       scenario.Rules.DrainGrace,
		ReleaseTime:      scenario.Rules.ReleaseTime,
		OverloadFactor:   scenario.Rules.OverloadFactor,
		OverloadDuration: scenario.Rules.OverloadDuration,
	})
	sim.Fleet = exchange.New(sim.scheduler, sim.random, exchange.Config{
		IntraRegionDelay: fleet.IntraRegionDelay,
		InterRegionDelay: fleet.InterRegionDelay,
		MaxQueueWait:     processor.MaxQueueWait,
		ExamineWork:      processor.ExamineWork,
		RejectWork:       processor.RejectWork,
		FollowUpWork:     processor.FollowUpWork,
		ResendWork:       processor.ResendWork,
		ResendAfter:      processor.ResendAfter,
		FinishFirst:      processor.FinishFirst,
		ReportsWait:      processor.ReportsWait,
		ReportsReduction: processor.ReportsReduction,
		ColdCapacity:     scenario.Rules.ColdCapacity,
		ColdDuration:     scenario.Rules.ColdDuration,
	})
	sim.Fleet.OnStart = func(started *exchange.Exchange) {
		capacity := capture.Capacity{
			ExchangeID:      started.ID,
			ExchangeNumber:  started.Number,
			SetUpsPerSecond: started.SetUpsPerSecond(),
			InitialShare:    1,
			Since:           started.StartedAt.Milliseconds(),
		}
		if started.StartedAt > 0 {
			capacity.InitialShare, capacity.WarmUpTime = scenario.Rules.ColdCapacity, scenario.Rules.ColdDuration
		}
		sim.environment.Record("capacity", capacity)
	}
	totalShare, circuitSeconds := 0.0, 0.0
	var classes []subscriber.Class
	for _, class := range scenario.Classes {
		totalShare += class.Share
		circuitSeconds += class.Share * class.HoldingTime.Seconds() * float64(class.Circuits)
		classes = append(classes, subscriber.Class{
			Name:        class.Name,
			Share:       class.Share,
			Worth:       class.Worth,
			LateWorth:   class.LateWorth,
			SetUpTarget: class.SetUpTarget,
			Patience:    class.Patience,
			HoldingTime: class.HoldingTime,
		})
	}
	callsPerExchange := fleet.ErlangPerExchange / (circuitSeconds / totalShare) // first attempts per second
	sim.callRate = callsPerExchange * float64(fleet.Exchanges)
	setUpWork := time.Duration(processor.Utilization / (callsPerExchange * (2 + processor.ExamineWork + 4*processor.FollowUpWork)) * float64(time.Second))
	sim.drawTraffic(fleet)
	behavior := scenario.Callers
	sim.Callers = subscriber.New(sim.scheduler, sim.random, classes, subscriber.Behavior{
		MaxRedials:      behavior.MaxRedials,
		MeanRedialDelay: behavior.MeanRedialDelay,
		AttemptShare:    behavior.AttemptShare,
		ImpatientShare:  behavior.ImpatientShare,
		HonourShare:     behavior.HonourShare,
		MarksRetries:    scenario.Rules.CallersMarkRetries,
	})
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

// drawTraffic draws the planned traffic, creates the trunk groups that the plan
// requires, and sets the actual traffic, which deviates from the plan by the forecast
// error and drifts during the run.
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
	for _, smallPair := range byLoad[:int(fleet.UnlinkedShare*float64(len(byLoad)))] {
		unlinked[[2]int{smallPair.a, smallPair.b}] = true
	}
	for _, p := range pairs {
		if !unlinked[[2]int{p.a, p.b}] {
			load := p.load / (1 - fleet.UnlinkedShare) // with circuits for the traffic of pairs without a group
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

// driftTraffic varies the traffic between pairs. The total per originating exchange
// does not change.
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

// newRouteAdvice simulates a central route advisor: it determines the tandem with the
// most free circuits for each pair, at intervals of AdviceAge. Without such a tandem
// it advises the destination itself.
func (sim *Simulation) newRouteAdvice() func(source, destination int) int {
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

// addExchange brings an exchange into service and adds it to the list.
func (sim *Simulation) addExchange(number, region int, setUpWork time.Duration, cold bool) (*ListedExchange, error) {
	sim.lastID += 1 + sim.random.Uint32N(1000)
	address, err := sim.environment.Listen(sim.lastID)
	if err != nil {
		return nil, fmt.Errorf("exchange %d: %w", number, err)
	}
	added := &ListedExchange{sim.Fleet.AddExchange(sim.lastID, number, region, setUpWork, cold), address}
	sim.exchanges = append(sim.exchanges, added)
	sim.List.Update(added.listEntry("in"))
	return added, nil
}

// ExchangeByID returns the exchange with the given ID, or nil if there is none.
func (sim *Simulation) ExchangeByID(id uint32) *exchange.Exchange {
	for _, candidate := range sim.exchanges {
		if candidate.ID == id {
			return candidate.Exchange
		}
	}
	return nil
}

// listEntry returns the exchange's entry in the list with the given state.
func (e *ListedExchange) listEntry(state string) exlist.Entry {
	return exlist.Entry{ID: e.ID, Number: e.Number, State: state, StartedAt: e.StartedAt, Addr: e.address}
}
