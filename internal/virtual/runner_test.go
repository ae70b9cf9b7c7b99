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

func scenario(t testing.TB, name string) *settings.Scenario {
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

func all(*subscriber.Call) bool { return true }

// file is a capture in memory.
type file struct{ bytes.Buffer }

func (*file) Close() error { return nil }

// judged plays a day with a capture and lets the auditor judge it.
func judged(t testing.TB, scn *settings.Scenario, opt Options) (*Day, *audit.Report) {
	t.Helper()
	var files []*file
	opt.Capture = func(who string, now func() int64) *capture.Writer {
		f := &file{}
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
func TestBadDayKeepsTheRules(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		scn := scenario(t, "bad-day")
		scn.Seed = seed
		d, r := judged(t, scn, Options{})
		for _, b := range r.Breaches {
			t.Errorf("seed %d: %v", seed, b)
		}
		for _, u := range r.Rules {
			if u.Cases == 0 {
				t.Errorf("seed %d, rule %d: nothing to examine", seed, u.Number)
			}
		}
		if !d.Left || d.Held != 0 || r.Calls.Received == 0 || r.Calls.Received != r.Calls.Answered+r.Calls.Abandoned+r.Calls.Killed {
			t.Errorf("seed %d: left %v, %d circuits held, calls %+v", seed, d.Left, d.Held, r.Calls)
		}
		tally := d.Crowd.Tally(all)
		t.Logf("seed %d: service %.3f, %d calls, %d events, %v", seed, tally.Service(), tally.Offered, d.Events, d.Took)
	}
}

// The same scenario gives the same day to the call; another seed another one.
func TestSameDayTwice(t *testing.T) {
	play := func(seed uint64) *Day {
		scn := scenario(t, "bad-day")
		scn.Seed = seed
		d, err := Run(scn, Options{})
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	a, b, c := play(4), play(4), play(5)
	if a.Events != b.Events || len(a.Crowd.Calls) != len(b.Crowd.Calls) || !reflect.DeepEqual(a.Stats, b.Stats) || a.Fleet.Counts != b.Fleet.Counts {
		t.Fatalf("%d and %d events, %d and %d calls", a.Events, b.Events, len(a.Crowd.Calls), len(b.Crowd.Calls))
	}
	for i := range a.Crowd.Calls {
		if *a.Crowd.Calls[i] != *b.Crowd.Calls[i] {
			t.Fatalf("call %d: %+v and %+v", i, *a.Crowd.Calls[i], *b.Crowd.Calls[i])
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
