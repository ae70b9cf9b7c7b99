// Package demo plays a scenario: controllers as processes of their own, the
// stand-ins in this one, a capture of all that passes, and the judgement of it.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dahliaspindle/internal/audit"
	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/collect"
	"dahliaspindle/internal/daemon"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/standin/exchange"
	"dahliaspindle/internal/standin/scene"
	"dahliaspindle/internal/standin/subscriber"
	"dahliaspindle/internal/standin/world"
)

// Options of a play.
type Options struct {
	Scenario *settings.Scenario
	Policy   string // of the controllers
	Dir      string // for settings, logs and the capture
	Flows    bool   // export flow records to a collector of the demo's own
	Exe      string // the program that runs a controller: EXE run FILE
	Progress func(passed time.Duration, calls int)
}

// Row is one line of a table.
type Row struct {
	Name    string           `json:"name"`
	Tally   subscriber.Tally `json:"tally"`
	Service float64          `json:"service"`
}

// Result is what came of it.
type Result struct {
	Scenario  string          `json:"scenario"`
	Seed      uint64          `json:"seed"`
	Policy    string          `json:"policy"`
	Exchanges int             `json:"exchanges"`
	Rules     []audit.Rule    `json:"rules"`
	Calls     audit.Calls     `json:"calls"`
	Capture   string          `json:"capture"`
	Messages  int             `json:"messages"`
	Classes   []Row           `json:"classes"`
	Troubles  []Row           `json:"troubles"`
	Held      int             `json:"circuits_held_at_end"`
	Fleet     exchange.Counts `json:"fleet"`
	Breaches  []audit.Breach  `json:"breaches,omitempty"`
	Notes     []string        `json:"notes,omitempty"`
	Flows     *collect.Report `json:"flows,omitempty"`
	Service   float64         `json:"service"`
}

// OK tells whether every rule held.
func (r *Result) OK() bool {
	for _, u := range r.Rules {
		if u.Broken > 0 {
			return false
		}
	}
	return true
}

// Run plays a scenario. Its error is for a play that could not be made; broken
// rules stand in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := capture.Create(filepath.Join(o.Dir, "stand-ins"+capture.FileSuffix), "stand-ins")
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: time.Second}
	wd, err := world.New(o.Scenario, world.Net{
		Listen: func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") },
		Dial:   func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
	}, w)
	if err != nil {
		return nil, errors.Join(err, w.Close())
	}
	var flows *collect.Collector
	collector := ""
	if o.Flows {
		if flows, err = collect.New(filepath.Join(o.Dir, "flows.ipfix")); err != nil {
			return nil, errors.Join(err, w.Close())
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Join(err, w.Close())
		}
		defer ln.Close()
		go flows.Serve(ln)
		collector = ln.Addr().String()
	}
	f := &fleet{o: o, collector: collector, list: wd.ListAddr(), w: w, procs: make([]proc, o.Scenario.Fleet.Exchanges)}
	for cell := range f.procs {
		if err := f.start(cell); err != nil {
			f.kill()
			return nil, errors.Join(err, w.Close())
		}
	}
	played := wd.Run(ctx, f, o.Progress)
	left := f.leave()
	held := make(chan int, 1)
	wd.Do(func() { held <- wd.Fleet.Held() })
	n := <-held
	wd.Close()
	if err := errors.Join(played, left, w.Close()); err != nil {
		return nil, fmt.Errorf("playing %s: %w (logs in %s)", o.Scenario.Name, err, o.Dir)
	}
	report, err := audit.Path(o.Dir)
	if err != nil {
		return nil, err
	}
	r := result(o, report, wd.Scene)
	r.Held = n
	if flows != nil {
		r.Flows = flows.Report()
		if err := flows.Close(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// result puts the judgement and the callers' tables together.
func result(o Options, report *audit.Report, s *scene.Scene) *Result {
	r := &Result{Scenario: o.Scenario.Name, Seed: o.Scenario.Seed, Policy: o.Policy, Exchanges: o.Scenario.Fleet.Exchanges,
		Rules: report.Rules, Calls: report.Calls, Capture: o.Dir, Messages: report.Messages,
		Fleet: s.Fleet.Counts, Breaches: report.Breaches, Notes: report.Notes}
	Tables(r, o.Scenario, s)
	return r
}

// Tables counts a scene's calls by class and by trouble.
func Tables(r *Result, scn *settings.Scenario, wd *scene.Scene) {
	add := func(name string, rows *[]Row, which func(*subscriber.Call) bool) {
		t := wd.Crowd.Tally(which)
		*rows = append(*rows, Row{name, t, t.Service()})
	}
	for i, c := range scn.Classes {
		add(c.Name, &r.Classes, func(k *subscriber.Call) bool { return k.Class == i && !k.Hot })
	}
	add("hot number", &r.Classes, func(k *subscriber.Call) bool { return k.Hot })
	add("all", &r.Classes, func(*subscriber.Call) bool { return true })
	r.Service = r.Classes[len(r.Classes)-1].Service
	for _, s := range wd.Seen() {
		add(fmt.Sprintf("%s at %v: %s", s.Kind, s.At, s.What), &r.Troubles, func(k *subscriber.Call) bool {
			at := wd.Since(k)
			return at >= s.From && at < s.To
		})
	}
}

// fleet is the controllers' processes.
type fleet struct {
	o    Options
	list string
	w    *capture.Writer

	collector string // for flow records; none if empty

	mu      sync.Mutex
	procs   []proc
	leaving bool
	wg      sync.WaitGroup
	errs    []error
}

type proc struct {
	cmd  *exec.Cmd
	addr string
	runs int
}

// Addr is where a controller listens.
func (f *fleet) Addr(cell int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[cell].addr
}

// start runs a controller on a listener that this process opens and passes on.
func (f *fleet) start(cell int) error {
	p := &f.procs[cell]
	addr := p.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("controller %d: %w", cell, err)
	}
	defer ln.Close()
	p.addr = ln.Addr().String()
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return fmt.Errorf("controller %d: %w", cell, err)
	}
	defer file.Close()
	p.runs++
	base := filepath.Join(f.o.Dir, fmt.Sprintf("controller-%d.%d", cell, p.runs))
	set := f.o.Scenario.Controller(cell, f.list)
	set.Seed += uint64(p.runs) << 32
	set.Listen, set.Policy = "fd:3", f.o.Policy
	set.Capture.File = base + capture.FileSuffix
	if f.collector != "" {
		set.Flows = settings.Flows{Collectors: []settings.Collector{{Address: f.collector}}, SummaryInterval: 2 * time.Second,
			ConfirmAfter: 5 * time.Second, SpoolDirectory: filepath.Join(f.o.Dir, fmt.Sprint("spool-", cell))}
	}
	out, err := os.Create(base + ".xml")
	if err != nil {
		return fmt.Errorf("controller %d: %w", cell, err)
	}
	if err := errors.Join(settings.Write(out, "controller", set), out.Close()); err != nil {
		return fmt.Errorf("controller %d: %w", cell, err)
	}
	log, err := os.Create(base + ".log")
	if err != nil {
		return fmt.Errorf("controller %d: %w", cell, err)
	}
	defer log.Close()
	p.cmd = exec.Command(f.o.Exe, "run", base+".xml")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.ExtraFiles = []*os.File{file}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("controller %d: %w", cell, err)
	}
	return nil
}

// Restart kills a controller and starts it again, without holding its caller up.
func (f *fleet) Restart(cell int) {
	f.wg.Go(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.leaving {
			return
		}
		p := &f.procs[cell]
		_ = p.cmd.Process.Kill() // fails only if it has ended
		_ = p.cmd.Wait()         // killed: its status says so
		f.w.Fact("killed", capture.Killed{Owner: daemon.CaptureOwner(cell)})
		if err := f.start(cell); err != nil {
			f.errs = append(f.errs, err)
		}
	})
}

// leaveWithin is how long the controllers may take to answer what they have.
const leaveWithin = 15 * time.Second

// leave lets all controllers end, and returns how they failed.
func (f *fleet) leave() error {
	f.wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	for i := range f.procs {
		_ = f.procs[i].cmd.Process.Signal(syscall.SIGTERM) // one that has ended says so to Wait
	}
	timeout := time.AfterFunc(leaveWithin, func() {
		for i := range f.procs {
			_ = f.procs[i].cmd.Process.Kill()
		}
	})
	defer timeout.Stop()
	for i := range f.procs {
		if err := f.procs[i].cmd.Wait(); err != nil {
			f.errs = append(f.errs, fmt.Errorf("controller %d: %w", i, err))
		}
	}
	return errors.Join(f.errs...)
}

// kill ends what was started of a fleet that could not be.
func (f *fleet) kill() {
	for i := range f.procs {
		if c := f.procs[i].cmd; c != nil && c.Process != nil {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}
}
