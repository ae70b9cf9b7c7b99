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
	"dahliaspindle/internal/standin/world"
	"dahliaspindle/scenarios"
)

// file is a capture in memory.
type file struct{ bytes.Buffer }

func (*file) Close() error { return nil }

// day is a scenario in virtual time: controllers, stand-ins and connections in memory.
type day struct {
	scn    *settings.Scenario
	policy string
	change func(*settings.Controller)

	net   memnet.Network
	files []*file
	addrs []net.Addr
	wd    *world.World
	stats []func() int // calls still held by each controller
}

func (d *day) Addr(cell int) string { return d.addrs[cell].String() }
func (d *day) Restart(int)          {} // processes are the demo's matter

func (d *day) writer(who string) *capture.Writer {
	f := &file{}
	d.files = append(d.files, f)
	return capture.NewWriter(f, who, func() int64 { return time.Now().UnixNano() })
}

// play lets the day pass and returns the judgement.
func (d *day) play(t *testing.T) (*audit.Report, *demo.Result) {
	t.Helper()
	report, result := &audit.Report{}, &demo.Result{}
	synctest.Test(t, func(t *testing.T) {
		w := d.writer("stand-ins")
		wd, err := world.New(d.scn, world.Net{Listen: d.net.Listen, Dial: d.net.Dial}, w)
		if err != nil {
			t.Fatal(err)
		}
		d.wd = wd
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		var all sync.WaitGroup
		var writers []*capture.Writer
		for cell := range d.scn.Fleet.Exchanges {
			set := d.scn.Controller(cell, wd.ListAddr())
			set.Policy = d.policy
			set.SetDefaults()
			if d.change != nil {
				d.change(set)
			}
			ln, err := d.net.Listen()
			if err != nil {
				t.Fatal(err)
			}
			d.addrs = append(d.addrs, ln.Addr())
			cw := d.writer(daemon.CaptureOwner(cell))
			writers = append(writers, cw)
			c := daemon.New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), cw, daemon.Network{Listener: ln, Dial: d.net.Dial}, nil)
			d.stats = append(d.stats, func() int { s := c.Stats(); return s.Pending + s.Established + s.HeldAttempts })
			all.Go(func() { c.Serve(ctx) })
		}
		if err := wd.Run(ctx, d, nil); err != nil {
			t.Error(err)
		}
		leave()
		all.Wait()
		held := make(chan int, 1)
		wd.Do(func() { held <- wd.Fleet.Held() })
		result.Held = <-held
		wd.Close()
		for _, w := range append(writers, w) {
			if err := w.Close(); err != nil {
				t.Error(err)
			}
		}
		demo.Tables(result, d.scn, wd.Scene)
	})
	var recs audit.Records
	for i, f := range d.files {
		if err := capture.Read(bytes.NewReader(f.Bytes()), "file", audit.Collect(&recs, i)); err != nil {
			t.Fatal(err)
		}
	}
	report = audit.Judge(recs)
	return report, result
}

func scenario(t *testing.T, name string) *settings.Scenario {
	t.Helper()
	text, ok := scenarios.Text(name)
	if !ok {
		t.Fatalf("no scenario %s", name)
	}
	s, err := settings.ParseScenario(name, strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func kept(t *testing.T, r *audit.Report, res *demo.Result, d *day) {
	t.Helper()
	for _, b := range r.Breaches {
		t.Error(b)
	}
	for _, n := range r.Notes {
		t.Error(n)
	}
	if r.Calls.Taken == 0 || r.Calls.Taken != r.Calls.Answered+r.Calls.Left {
		t.Errorf("%d calls taken, %d answered, %d left", r.Calls.Taken, r.Calls.Answered, r.Calls.Left)
	}
	if res.Held != 0 {
		t.Errorf("%d circuits are held when all controllers have left", res.Held)
	}
	for i, left := range d.stats {
		if n := left(); n != 0 {
			t.Errorf("controller %d still holds %d", i, n)
		}
	}
}

// The bad day in virtual time: every rule, no circuit left, for the module and
// for the plain rules (which do not pace cold exchanges).
func TestBadDayInVirtualTime(t *testing.T) {
	for _, policy := range settings.Policies {
		t.Run(policy, func(t *testing.T) {
			d := &day{scn: scenario(t, "bad-day"), policy: policy}
			r, res := d.play(t)
			if policy != "brain" {
				r.Breaches = slices.DeleteFunc(r.Breaches, func(b audit.Breach) bool { return b.Rule == 4 })
			}
			kept(t, r, res, d)
			for _, u := range r.Rules {
				if u.Cases == 0 && (u.Rule != 5 || policy == "brain") { // plain rules never resend
					t.Errorf("rule %d: nothing to examine", u.Rule)
				}
			}
			t.Logf("%s: service %.3f, %d calls", policy, res.Service, r.Calls.Taken)
		})
	}
}

// Each trouble by itself, short.
func TestEachTroubleByItself(t *testing.T) {
	base := scenario(t, "bad-day")
	for _, trouble := range base.Troubles {
		if trouble.Kind == "controllers-restart" {
			continue // of processes: the demo's
		}
		t.Run(trouble.Kind, func(t *testing.T) {
			s := *base
			trouble.At = time.Second
			s.Length, s.Troubles = 6*time.Second, []settings.Trouble{trouble}
			s.Fleet.Exchanges = 4
			d := &day{scn: &s, policy: "brain"}
			r, res := d.play(t)
			kept(t, r, res, d)
		})
	}
}

// The other scenarios that ship, in virtual time.
func TestShippedScenariosKeepTheRules(t *testing.T) {
	for _, name := range scenarios.Names() {
		if name == "bad-day" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			d := &day{scn: scenario(t, name), policy: "brain"}
			r, res := d.play(t)
			kept(t, r, res, d)
			t.Logf("service %.3f, %d calls", res.Service, r.Calls.Taken)
		})
	}
}
