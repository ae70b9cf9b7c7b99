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

func loadScenario(t testing.TB, name string) *settings.Scenario {
	t.Helper()
	text, ok := scenarios.XML(name)
	if !ok {
		t.Fatalf("no scenario %s", name)
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

// runAudited plays a day with a capture and lets the auditor judge it.
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

// The bad day, with its killed controllers: every rule, no circuit left.
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
				t.Errorf("seed %d, rule %d: nothing to examine", seed, rule.Number)
			}
		}
		if !result.AllStopped || result.CircuitsInUse != 0 || report.Calls.Received == 0 || report.Calls.Received != report.Calls.Answered+report.Calls.Abandoned+report.Calls.Killed {
			t.Errorf("seed %d: left %v, %d circuits held, calls %+v", seed, result.AllStopped, result.CircuitsInUse, report.Calls)
		}
		tally := result.Callers.Tally(anyCall)
		t.Logf("seed %d: service %.3f, %d calls, %d events, %v", seed, tally.ServiceRatio(), tally.Offered, result.Events, result.Duration)
	}
}

// The same scenario gives the same day to the call; another seed another one.
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
	if first.Events != repeated.Events || len(first.Callers.Calls) != len(repeated.Callers.Calls) || !reflect.DeepEqual(first.ControllerStats, repeated.ControllerStats) || first.Fleet.Counts != repeated.Fleet.Counts {
		t.Fatalf("%d and %d events, %d and %d calls", first.Events, repeated.Events, len(first.Callers.Calls), len(repeated.Callers.Calls))
	}
	for i := range first.Callers.Calls {
		if *first.Callers.Calls[i] != *repeated.Callers.Calls[i] {
			t.Fatalf("call %d: %+v and %+v", i, *first.Callers.Calls[i], *repeated.Callers.Calls[i])
		}
	}
	if first.Events == otherSeed.Events {
		t.Error("another seed gives the same day")
	}
}

// Virtual time stands still within an event and never goes back.
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
	clock.After(2*time.Second, func() { t.Error("past the end") })
	if clock.Run(1500*time.Millisecond, func() bool { return false }) || strings.Join(order, "") != "abcde" || clock.Now() != time.Second {
		t.Fatal(order, clock.Now())
	}
}
