package virtual

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"dahliaspindle/internal/audit"
	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/standin/subscriber"
	"dahliaspindle/scenarios"
)

// loadScenario returns a shipped scenario.
func loadScenario(t testing.TB, name string) *settings.Scenario {
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

func anyCall(*subscriber.Call) bool { return true }

// memoryFile is a capture in memory.
type memoryFile struct{ bytes.Buffer }

func (*memoryFile) Close() error { return nil }

// runAudited runs a scenario with captures and audits them.
func runAudited(t testing.TB, scenario *settings.Scenario, options Options) (*Result, *audit.Report) {
	t.Helper()
	var files []*memoryFile
	options.NewCapture = func(owner string, now func() int64) *capture.Writer {
		memory := &memoryFile{}
		files = append(files, memory)
		return capture.NewWriter(memory, owner, now)
	}
	result, err := Run(scenario, options)
	if err != nil {
		t.Fatal(err)
	}
	var records audit.Records
	for i, memory := range files {
		if err := capture.Read(bytes.NewReader(memory.Bytes()), "file", audit.Collector(&records, i)); err != nil {
			t.Fatal(err)
		}
	}
	return result, audit.Check(records)
}

// The bad-day scenario, in which controllers are killed, breaks no rule, leaves cases
// of every rule, and leaves no circuit in use at the end.
func TestBadDayKeepsRules(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		scenario := loadScenario(t, "bad-day")
		scenario.Seed = seed
		result, report := runAudited(t, scenario, Options{})
		for _, breach := range report.Breaches {
			t.Errorf("seed %d: %v", seed, breach)
		}
		for _, rule := range report.Rules {
			if rule.Cases == 0 {
				t.Errorf("seed %d, rule %d: no case examined", seed, rule.Number)
			}
		}
		if !result.AllStopped || result.CircuitsInUse != 0 || report.Calls.Received == 0 ||
			report.Calls.Received != report.Calls.Answered+report.Calls.Abandoned+report.Calls.Killed {
			t.Errorf("seed %d: all controllers stopped: %v, %d circuits in use, calls %+v", seed, result.AllStopped, result.CircuitsInUse, report.Calls)
		}
		tally := result.Callers.Tally(anyCall)
		t.Logf("seed %d: service %.3f, %d calls, %d events, %v", seed, tally.ServiceRatio(), tally.Offered, result.Events, result.Duration)
	}
}

// Two runs of the same scenario give identical results for every call; a run with
// another seed differs.
func TestRunIsDeterministic(t *testing.T) {
	run := func(seed uint64) *Result {
		scenario := loadScenario(t, "bad-day")
		scenario.Seed = seed
		result, err := Run(scenario, Options{})
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	first, repeated, otherSeed := run(4), run(4), run(5)
	if first.Events != repeated.Events || len(first.Callers.Calls) != len(repeated.Callers.Calls) ||
		!reflect.DeepEqual(first.ControllerStats, repeated.ControllerStats) || first.Fleet.Counts != repeated.Fleet.Counts {
		t.Fatalf("runs with the same seed differ: %d and %d events, %d and %d calls", first.Events, repeated.Events, len(first.Callers.Calls), len(repeated.Callers.Calls))
	}
	for i := range first.Callers.Calls {
		if *first.Callers.Calls[i] != *repeated.Callers.Calls[i] {
			t.Fatalf("call %d differs between runs with the same seed: %+v and %+v", i, *first.Callers.Calls[i], *repeated.Callers.Calls[i])
		}
	}
	if first.Events == otherSeed.Events {
		t.Error("runs with different seeds have the same number of events")
	}
}

// Events run in order of time, then of creation; a negative delay counts as 0. Events
// after the end of the run do not run.
func TestClockOrder(t *testing.T) {
	clock := &Clock{}
	var order []string
	clock.After(time.Second, func() {
		order = append(order, "b")
		clock.After(0, func() { order = append(order, "d") })
		clock.After(-time.Hour, func() { order = append(order, "e") })
	})
	clock.After(0, func() { order = append(order, "a") })
	clock.After(time.Second, func() { order = append(order, "c") })
	clock.After(2*time.Second, func() { t.Error("event after the end of the run") })
	if clock.Run(1500*time.Millisecond, func() bool { return false }) || strings.Join(order, "") != "abcde" || clock.Now() != time.Second {
		t.Fatal(order, clock.Now())
	}
}
