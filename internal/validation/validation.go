// Package validation compares the losses that the network model predicts with simulated
// days of the same routing module: it derives the mesh of a scenario, simulates the
// scenario with given group sizes on many seeds, and counts the losses of its callers.
package validation

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
	"dahliaspindle/internal/standin/simulation"
	"dahliaspindle/internal/standin/subscriber"
	"dahliaspindle/internal/virtual"
)

// Parameters of the model that represent the routing module (docs/design.md).
const (
	// tandemsPerAttempt applies to the first attempt and to one redial, which uses
	// other tandems. With more, the model was less accurate compared with simulation,
	// at 7 and at 20 exchanges.
	tandemsPerAttempt = 2
	baseReservation   = 2    // circuits
	measurementWindow = 10   // seconds
	meanWait          = 0.75 // seconds; calls wait from 0.5 to 1 s
)

// ScenarioMesh returns the mesh of a scenario, with the fleet drawn from its seed.
func ScenarioMesh(scenario *settings.Scenario) (*network.Mesh, error) {
	drawn, err := simulation.New(scenario, &virtual.Clock{}, inertEdge{})
	if err != nil {
		return nil, fmt.Errorf("drawing the fleet of %s: %w", scenario.Name, err)
	}
	exchanges := scenario.Fleet.Exchanges
	shareSum, meanCircuitSeconds := 0.0, 0.0
	mesh := &network.Mesh{
		MaxTandems:  tandemsPerAttempt * min(scenario.Callers.MaxRedials+1, 2),
		Reservation: network.Reservation{Base: baseReservation, Window: measurementWindow, ProtectHighValue: true},
		MeanWait:    float64(scenario.Callers.MaxRedials+1)*meanWait + float64(scenario.Callers.MaxRedials)*scenario.Callers.MeanRedialDelay.Seconds(),
	}
	for _, c := range scenario.Classes {
		mesh.Classes = append(mesh.Classes, network.Class{Name: c.Name, Circuits: c.Circuits, HoldingTime: c.HoldingTime.Seconds(), Worth: c.Worth})
		shareSum += c.Share
		meanCircuitSeconds += c.Share * c.HoldingTime.Seconds() * float64(c.Circuits)
	}
	mesh.Processors = &network.Processors{
		ExamineWork:  scenario.Processor.ExamineWork,
		FollowUpWork: scenario.Processor.FollowUpWork,
		MaxQueueWait: scenario.Processor.MaxQueueWait.Seconds(),
	}
	traffic := drawn.Traffic()
	for i := range exchanges {
		mesh.Circuits = append(mesh.Circuits, make([]int, exchanges))
		mesh.Offered = append(mesh.Offered, make([][]float64, exchanges))
		mesh.Processors.SetupsPerSecond = append(mesh.Processors.SetupsPerSecond, drawn.Fleet.Current(i).SetUpsPerSecond())
		for j := range exchanges {
			offered := make([]float64, len(scenario.Classes))
			for c, class := range scenario.Classes {
				offered[c] = traffic[i][j] * class.Share * class.HoldingTime.Seconds() / meanCircuitSeconds
			}
			mesh.Offered[i][j] = offered
		}
	}
	for _, group := range drawn.Fleet.Groups() {
		mesh.Circuits[group.LowNumber][group.HighNumber], mesh.Circuits[group.HighNumber][group.LowNumber] = group.Size, group.Size
	}
	return mesh, nil
}

// Interval is a mean over seeds with its 95 % confidence interval by Student's t.
type Interval struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// ConsistentWith reports whether the interval does not refute a mean of at most limit.
func (i Interval) ConsistentWith(limit float64) bool { return i.Low <= limit }

func confidenceInterval(values []float64) Interval {
	mean, deviation := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return Interval{mean, math.Inf(-1), math.Inf(1)}
	}
	halfWidth := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(0.975) * deviation / math.Sqrt(float64(len(values)))
	return Interval{mean, mean - halfWidth, mean + halfWidth}
}

// Observed holds the losses that simulated callers experienced.
type Observed struct {
	Calls       int            `json:"calls"`
	LossByClass []Interval     `json:"by_class"`
	Pairs       [][]PairCounts `json:"-"` // by origin and destination, all seeds together
	Seeds       int            `json:"seeds"`
	VirtualTime time.Duration  `json:"took"` // total over all seeds
}

// PairCounts counts the first attempts of one pair.
type PairCounts struct{ Calls, Lost int }

// warmUpHoldingTimes is the number of mean holding times of the longest class before
// calls are counted.
const warmUpHoldingTimes = 3

// Simulate runs a scenario with groups of the given sizes on seeds 1 to seeds,
// several concurrently, and counts the first attempts whose call was never established.
func Simulate(ctx context.Context, scenario *settings.Scenario, circuits [][]int, seeds int) (*Observed, error) {
	longest := time.Duration(0)
	for _, c := range scenario.Classes {
		longest = max(longest, c.HoldingTime)
	}
	countFrom := warmUpHoldingTimes * longest
	if countFrom >= scenario.Length {
		return nil, fmt.Errorf("simulating %s: a day of %v is over before calls are counted, at %v", scenario.Name, scenario.Length, countFrom)
	}
	type outcome struct {
		calls, lost []int
		pairs       [][]PairCounts
		virtualTime time.Duration
	}
	exchanges := scenario.Fleet.Exchanges
	simulateSeed := func(seed int) (*outcome, error) {
		day, err := virtual.Run(scenario, virtual.Options{Prepare: func(s *simulation.Simulation) {
			for i := range exchanges {
				for j := range i {
					s.Fleet.ResizeGroup(i, j, circuits[i][j])
				}
			}
			s.Reseed(uint64(seed))
		}})
		if err != nil {
			return nil, err
		}
		result := &outcome{
			calls:       make([]int, len(scenario.Classes)),
			lost:        make([]int, len(scenario.Classes)),
			pairs:       make([][]PairCounts, exchanges),
			virtualTime: day.Duration,
		}
		for i := range result.pairs {
			result.pairs[i] = make([]PairCounts, exchanges)
		}
		for _, call := range day.Callers.Calls {
			if day.FirstAttemptTime(call) < countFrom || call.Outcome == subscriber.Pending && call.SetUpTime == 0 {
				continue
			}
			pair := &result.pairs[call.Source][call.Dest]
			pair.Calls++
			result.calls[call.Class]++
			if call.SetUpTime == 0 {
				pair.Lost++
				result.lost[call.Class]++
			}
		}
		return result, nil
	}
	results, errs := make([]*outcome, seeds), make([]error, seeds)
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), seeds) {
		wg.Go(func() {
			for i := range next {
				results[i], errs[i] = simulateSeed(i + 1)
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
		return nil, fmt.Errorf("simulating %s: %w", scenario.Name, err)
	}
	observed := &Observed{Seeds: seeds, Pairs: make([][]PairCounts, exchanges)}
	for i := range observed.Pairs {
		observed.Pairs[i] = make([]PairCounts, exchanges)
	}
	lossBySeed := make([][]float64, len(scenario.Classes))
	for i, result := range results {
		if errs[i] != nil {
			return nil, errs[i]
		}
		observed.VirtualTime += result.virtualTime
		for c := range lossBySeed {
			observed.Calls += result.calls[c]
			lossBySeed[c] = append(lossBySeed[c], float64(result.lost[c])/float64(max(result.calls[c], 1)))
		}
		for a := range exchanges {
			for b := range exchanges {
				observed.Pairs[a][b].Calls += result.pairs[a][b].Calls
				observed.Pairs[a][b].Lost += result.pairs[a][b].Lost
			}
		}
	}
	for c := range lossBySeed {
		observed.LossByClass = append(observed.LossByClass, confidenceInterval(lossBySeed[c]))
	}
	return observed, nil
}

// inertEdge is a simulation.Environment without effect, for a simulation that is not run.
type inertEdge struct{}

func (inertEdge) Listen(uint32) (string, error)                            { return "nowhere", nil }
func (inertEdge) StopListening(uint32)                                     {}
func (inertEdge) CloseConns(uint32, string, func(*exchange.Conn) bool) int { return 0 }
func (inertEdge) SetFault(uint32, simulation.Fault, bool)                  {}
func (inertEdge) SetListUnavailable(bool)                                  {}
func (inertEdge) SendMalformed(float64) func()                             { return func() {} }
func (inertEdge) RestartController(int)                                    {}
func (inertEdge) Record(string, any)                                       {}
