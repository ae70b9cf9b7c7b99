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
	s, err := settings.ParseScenario(name, strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func anyCall(*subscriber.Call) bool { return true }

// memoryFile is a capture in memory.
type memoryFile struct{ bytes.Buffer }

func (*memoryFile) Close() error { return nil }

// runAudited plays a day with a capture and lets the auditor judge it.
func runAudited(t testing.TB, scn *settings.Scenario, opt Options) (*Result, *audit.Report) {
	t.Helper()
	var files []*memoryFile
	opt.NewCapture = func(who string, now func() int64) *capture.Writer {
		f := &memoryFile{}
		files = append(files, f)
		return capture.NewWriter(f, who, now)
	}
	d, err := Run(scn, opt)
	if err != nil {
		t.Fatal(err)
	}
	var recs audit.Records
	for i, f := range files {
		if err := capture.Read(bytes.NewReader(f.Bytes()), "file", audit.Collector(&recs, i)); err != nil {
			t.Fatal(err)
		}
	}
	return d, audit.Check(recs)
}

// The bad day, with its killed controllers: every rule, no circuit left.
func TestBadDayKeepsRules(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		scn := loadScenario(t, "bad-day")
		scn.Seed = seed
		d, r := runAudited(t, scn, Options{})
		for _, b := range r.Breaches {
			t.Errorf("seed %d: %v", seed, b)
		}
		for _, u := range r.Rules {
			if u.Cases == 0 {
				t.Errorf("seed %d, rule %d: nothing to examine", seed, u.Number)
			}
		}
		if !d.AllStopped || d.CircuitsInUse != 0 || r.Calls.Received == 0 || r.Calls.Received != r.Calls.Answered+r.Calls.Abandoned+r.Calls.Killed {
			t.Errorf("seed %d: left %v, %d circuits held, calls %+v", seed, d.AllStopped, d.CircuitsInUse, r.Calls)
		}
		tally := d.Callers.Tally(anyCall)
		t.Logf("seed %d: service %.3f, %d calls, %d events, %v", seed, tally.ServiceRatio(), tally.Offered, d.Events, d.Duration)
	}
}

// The same scenario gives the same day to the call; another seed another one.
func TestRunIsDeterministic(t *testing.T) {
	play := func(seed uint64) *Result {
		scn := loadScenario(t, "bad-day")
		scn.Seed = seed
		d, err := Run(scn, Options{})
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	a, b, c := play(4), play(4), play(5)
	if a.Events != b.Events || len(a.Callers.Calls) != len(b.Callers.Calls) || !reflect.DeepEqual(a.ControllerStats, b.ControllerStats) || a.Fleet.Counts != b.Fleet.Counts {
		t.Fatalf("%d and %d events, %d and %d calls", a.Events, b.Events, len(a.Callers.Calls), len(b.Callers.Calls))
	}
	for i := range a.Callers.Calls {
		if *a.Callers.Calls[i] != *b.Callers.Calls[i] {
			t.Fatalf("call %d: %+v and %+v", i, *a.Callers.Calls[i], *b.Callers.Calls[i])
		}
	}
	if a.Events == c.Events {
		t.Error("another seed gives the same day")
	}
}

// Virtual time stands still within an event and never goes back.
func TestClockOrder(t *testing.T) {
	c := &Clock{}
	var got []string
	c.After(time.Second, func() {
		got = append(got, "b")
		c.After(0, func() { got = append(got, "d") })
		c.After(-time.Hour, func() { got = append(got, "e") })
	})
	c.After(0, func() { got = append(got, "a") })
	c.After(time.Second, func() { got = append(got, "c") })
	c.After(2*time.Second, func() { t.Error("past the end") })
	if c.Run(1500*time.Millisecond, func() bool { return false }) || strings.Join(got, "") != "abcde" || c.Now() != time.Second {
		t.Fatal(got, c.Now())
	}
}
