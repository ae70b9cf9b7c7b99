package validation

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/network"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/virtual"
	"dahliaspindle/scenarios"
)

func quietDay(t testing.TB, level float64) *settings.Scenario {
	t.Helper()
	text, ok := scenarios.XML("quiet-day")
	if !ok {
		t.Fatal("no scenario quiet-day")
	}
	scenario, err := settings.ParseScenario("quiet-day", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	scenario.Load.Level = level
	return scenario
}

// Compares the network model with simulated days of the routing module, with groups
// that are larger than needed, as planned and too small.
func TestModelAgainstSimulation(t *testing.T) {
	for _, test := range []struct{ level, tolerance float64 }{{0.85, 0.002}, {1, 0.025}, {1.2, 0.03}} {
		scenario := quietDay(t, test.level)
		mesh, err := ScenarioMesh(scenario)
		if err != nil {
			t.Fatal(err)
		}
		solution, err := network.SolveFrom(mesh, false)
		if err != nil {
			t.Fatal(err)
		}
		observed, err := Simulate(context.Background(), scenario, mesh.Circuits, 4)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("load %.2f: model %.4f, simulated %.4f", test.level, solution.LossByClass, observed.LossByClass)
		if difference := math.Abs(solution.LossByClass[0] - observed.LossByClass[0].Mean); !solution.Converged || difference > test.tolerance {
			t.Errorf("load %.2f: model %.4f (converged %v), simulated %.4f", test.level, solution.LossByClass[0], solution.Converged, observed.LossByClass[0])
		}
	}
}

// attemptSink is a flow.Sink that collects the calls of one controller incarnation as
// call attempts.
type attemptSink struct {
	attempts    *[]measure.CallAttempt
	incarnation uint64
}

func (s attemptSink) Put(r *flow.Record) {
	if r.Kind == flow.KindCall && r.Route != flow.RouteTransit {
		*s.attempts = append(*s.attempts, measure.CallAttempt{
			Start:          r.Start,
			Source:         r.Source,
			Dest:           r.Dest,
			Via:            r.Via,
			Class:          r.Class,
			Circuits:       int(r.Circuits),
			Number:         r.CalledNumber,
			MarkedRetry:    r.Repeat,
			Lost:           r.Outcome != flow.CallEnded && r.Outcome != flow.CallCut,
			Cut:            r.Outcome == flow.CallCut,
			EstablishedFor: r.EstablishedFor,
			Incarnation:    s.incarnation,
		})
	}
}

// Offers known traffic to the controllers, at a load at which calls are lost and
// redialled, with one controller killed in between: the traffic estimated from their
// flow records equals the offered traffic.
func TestKnownTrafficIsRecovered(t *testing.T) {
	scenario := quietDay(t, 1.15)
	scenario.Rules.CallersMarkRetries = false // retries must be recognized by the called numbers
	scenario.Length = 50 * time.Minute
	scenario.Troubles = []settings.Trouble{{Kind: "controllers-restart", At: 25 * time.Minute, Size: 0.15}}
	mesh, err := ScenarioMesh(scenario)
	if err != nil {
		t.Fatal(err)
	}
	var attempts []measure.CallAttempt
	incarnations := uint64(0)
	if _, err := virtual.Run(scenario, virtual.Options{NewFlowSink: func(int) flow.Sink {
		incarnations++
		return attemptSink{&attempts, incarnations}
	}}); err != nil {
		t.Fatal(err)
	}
	result := measure.EstimateBatch(attempts, measure.Options{RetryWindow: 9 * time.Second})
	covered, known, measured, allAttempts, offeredTotal := 0, 0, 0.0, 0.0, 0.0
	for _, pair := range result.Pairs {
		offered := mesh.Offered[pair.Source][pair.Dest][pair.Class]
		circuits := float64(mesh.Classes[pair.Class].Circuits)
		offeredTotal, measured, allAttempts = offeredTotal+offered*circuits, measured+pair.Erlang*circuits, allAttempts+pair.AllAttemptsErlang*circuits
		if pair.Known {
			known++
			if pair.Low <= offered && offered <= pair.High {
				covered++
			}
		}
	}
	direct, transit := 0.0, 0.0
	for _, group := range result.Groups {
		direct, transit = direct+group.Direct, transit+group.Transit
		if size := float64(mesh.Circuits[group.A][group.B]); group.Direct+group.Transit > size {
			t.Errorf("group %d-%d of %v circuits carries %.1f direct and %.1f transit", group.A, group.B, size, group.Direct, group.Transit)
		}
	}
	if transit < 20 || direct < 500 {
		t.Errorf("%.1f circuits carry direct calls, %.1f calls over tandems", direct, transit)
	}
	t.Logf("%.1f circuits carry direct calls, %.1f calls over tandems", direct, transit)
	t.Logf("%.1f erlang of circuits offered, %.1f estimated, %.1f with all attempts; %d of %d intervals contain the traffic", offeredTotal, measured, allAttempts, covered, known)
	if math.Abs(measured-offeredTotal) > 0.03*offeredTotal || covered < known*88/100 || allAttempts < 1.05*offeredTotal || result.Incarnations != 8 {
		t.Errorf("%d incarnations, want 8; or the estimates logged above are wrong", result.Incarnations)
	}
}

// The mesh has the traffic of the scenario, and a simulation on other seeds has the
// same fleet.
func TestScenarioMesh(t *testing.T) {
	scenario := quietDay(t, 1)
	mesh, err := ScenarioMesh(scenario)
	if err != nil {
		t.Fatal(err)
	}
	offered := 0.0
	for i := range mesh.Offered {
		for j := range mesh.Offered {
			for c, class := range mesh.Classes {
				offered += mesh.Offered[i][j][c] * float64(class.Circuits)
			}
		}
	}
	if want := scenario.Fleet.ErlangPerExchange * float64(scenario.Fleet.Exchanges); math.Abs(offered-want) > 1e-6*want {
		t.Errorf("%v erlang of circuits offered, the scenario has %v", offered, want)
	}
	scenario.Length = 7 * time.Minute
	observed, err := Simulate(context.Background(), scenario, mesh.Circuits, 2)
	if err != nil {
		t.Fatal(err)
	}
	// One minute is counted: 700 erlang of circuits, 100.5 circuit-seconds per call.
	if want := 2 * 60 * 700 / 100.5; math.Abs(float64(observed.Calls)-want) > 4*math.Sqrt(want) {
		t.Errorf("%d calls counted, want about %.0f", observed.Calls, want)
	}
	scenario.Length = 5 * time.Minute
	if _, err := Simulate(context.Background(), scenario, mesh.Circuits, 1); err == nil {
		t.Error("no error for a day that is over before calls are counted")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Simulate(ctx, quietDay(t, 1), mesh.Circuits, 3); err == nil {
		t.Error("no error from a cancelled simulation")
	}
}
