package daemon_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dahliaspindle/internal/audit"
	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/daemon"
	"dahliaspindle/internal/demo"
	"dahliaspindle/internal/memnet"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/standin/realtime"
	"dahliaspindle/scenarios"
)

// captureBuffer is a capture file in memory.
type captureBuffer struct{ bytes.Buffer }

func (*captureBuffer) Close() error { return nil }

// simulation runs a scenario in virtual time, with controllers, simulated exchanges and
// subscribers connected in memory.
type simulation struct {
	scenario  *settings.Scenario
	policy    string
	configure func(*settings.Controller) // may be nil

	network     memnet.Network
	captures    []*captureBuffer
	addresses   []net.Addr
	environment *realtime.Runner
	heldCounts  []func() int // calls and attempts that each controller still holds
}

// Addr returns the address of a controller.
func (sim *simulation) Addr(number int) string { return sim.addresses[number].String() }

// Restart does nothing: there are no processes to restart.
func (sim *simulation) Restart(int) {}

// newCapture returns a capture in memory.
func (sim *simulation) newCapture(owner string) *capture.Writer {
	buffer := &captureBuffer{}
	sim.captures = append(sim.captures, buffer)
	return capture.NewWriter(buffer, owner, func() int64 { return time.Now().UnixNano() })
}

// run plays the scenario and returns the audit of its captures and the result.
func (sim *simulation) run(t *testing.T) (*audit.Report, *demo.Result) {
	t.Helper()
	report, result := &audit.Report{}, &demo.Result{}
	synctest.Test(t, func(t *testing.T) {
		captureWriter := sim.newCapture("stand-ins")
		environment, err := realtime.New(sim.scenario, realtime.Network{Listen: sim.network.Listen, Dial: sim.network.Dial}, captureWriter)
		if err != nil {
			t.Fatal(err)
		}
		sim.environment = environment
		ctx, shutDown := context.WithCancel(t.Context())
		defer shutDown()
		var controllers sync.WaitGroup
		var writers []*capture.Writer
		for number := range sim.scenario.Fleet.Exchanges {
			set := sim.scenario.Controller(number, environment.ListAddr())
			set.Policy = sim.policy
			set.SetDefaults()
			if sim.configure != nil {
				sim.configure(set)
			}
			listener, err := sim.network.Listen()
			if err != nil {
				t.Fatal(err)
			}
			sim.addresses = append(sim.addresses, listener.Addr())
			controllerCapture := sim.newCapture(daemon.CaptureOwner(number))
			writers = append(writers, controllerCapture)
			controller := daemon.New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), controllerCapture,
				daemon.Network{Listener: listener, Dial: sim.network.Dial}, nil)
			sim.heldCounts = append(sim.heldCounts, func() int {
				stats := controller.Stats()
				return stats.Pending + stats.Established + stats.HeldAttempts
			})
			controllers.Go(func() { controller.Serve(ctx) })
		}
		if err := environment.Run(ctx, sim, nil); err != nil {
			t.Error(err)
		}
		shutDown()
		controllers.Wait()
		held := make(chan int, 1)
		environment.Do(func() { held <- environment.Fleet.CircuitsInUse() })
		result.CircuitsInUse = <-held
		environment.Close()
		for _, captureWriter := range append(writers, captureWriter) {
			if err := captureWriter.Close(); err != nil {
				t.Error(err)
			}
		}
		demo.AddTables(result, sim.scenario, environment.Simulation)
	})
	var records audit.Records
	for i, buffer := range sim.captures {
		if err := capture.Read(bytes.NewReader(buffer.Bytes()), "file", audit.Collector(&records, i)); err != nil {
			t.Fatal(err)
		}
	}
	report = audit.Check(records)
	return report, result
}

// loadScenario parses a shipped scenario.
func loadScenario(t *testing.T, name string) *settings.Scenario {
	t.Helper()
	text, ok := scenarios.XML(name)
	if !ok {
		t.Fatalf("scenario %s does not exist", name)
	}
	scenario, err := settings.ParseScenario(name, strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

// requireRulesKept fails the test if the audit found a breach, or if calls or circuits
// are left over after all controllers have stopped.
func requireRulesKept(t *testing.T, report *audit.Report, result *demo.Result, sim *simulation) {
	t.Helper()
	for _, breach := range report.Breaches {
		t.Error(breach)
	}
	for _, note := range report.Notes {
		t.Error(note)
	}
	if report.Calls.Received == 0 || report.Calls.Received != report.Calls.Answered+report.Calls.Abandoned {
		t.Errorf("%d calls accepted, %d answered, %d abandoned by their callers", report.Calls.Received, report.Calls.Answered, report.Calls.Abandoned)
	}
	if result.CircuitsInUse != 0 {
		t.Errorf("%d circuits held after all controllers have stopped", result.CircuitsInUse)
	}
	for i, held := range sim.heldCounts {
		if n := held(); n != 0 {
			t.Errorf("controller %d still holds %d calls and attempts", i, n)
		}
	}
}

// The scenario bad-day in virtual time, with the routing module and with the simple
// rules. These do not pace calls to cold exchanges (rule 4).
func TestBadDayInVirtualTime(t *testing.T) {
	for _, policy := range settings.Policies {
		t.Run(policy, func(t *testing.T) {
			sim := &simulation{scenario: loadScenario(t, "bad-day"), policy: policy}
			report, result := sim.run(t)
			if policy != "brain" {
				report.Breaches = slices.DeleteFunc(report.Breaches, func(breach audit.Breach) bool { return breach.Rule == 4 })
			}
			requireRulesKept(t, report, result, sim)
			for _, rule := range report.Rules {
				if rule.Cases == 0 && (rule.Number != 5 || policy == "brain") { // the simple rules never resend
					t.Errorf("rule %d: no case examined", rule.Number)
				}
			}
			t.Logf("%s: service %.3f, %d calls", policy, result.ServiceRatio, report.Calls.Received)
		})
	}
}

// Each kind of trouble of the scenario bad-day, alone and for a short time.
func TestEachTroubleAlone(t *testing.T) {
	base := loadScenario(t, "bad-day")
	for _, trouble := range base.Troubles {
		if trouble.Kind == "controllers-restart" {
			continue // concerns processes, which the demo tests
		}
		t.Run(trouble.Kind, func(t *testing.T) {
			scenario := *base
			trouble.At = time.Second
			scenario.Length, scenario.Troubles = 6*time.Second, []settings.Trouble{trouble}
			scenario.Fleet.Exchanges = 4
			sim := &simulation{scenario: &scenario, policy: "brain"}
			report, result := sim.run(t)
			requireRulesKept(t, report, result, sim)
		})
	}
}

// The other shipped scenarios in virtual time.
func TestShippedScenariosKeepTheRules(t *testing.T) {
	for _, name := range scenarios.Names() {
		if name == "bad-day" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			sim := &simulation{scenario: loadScenario(t, name), policy: "brain"}
			report, result := sim.run(t)
			requireRulesKept(t, report, result, sim)
			t.Logf("service %.3f, %d calls", result.ServiceRatio, report.Calls.Received)
		})
	}
}
