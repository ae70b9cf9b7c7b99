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
	Scenario    *settings.Scenario
	Policy      string // of the controllers
	Dir         string // for settings, logs and the capture
	ExportFlows bool   // export flow records to a collector of the demo's own
	Executable  string // the program that runs a controller: EXE run FILE
	Progress    func(passed time.Duration, calls int)
}

// Row is one line of a table.
type Row struct {
	Name         string           `json:"name"`
	Tally        subscriber.Tally `json:"tally"`
	ServiceRatio float64          `json:"service"`
}

// Result is what came of it.
type Result struct {
	Scenario      string             `json:"scenario"`
	Seed          uint64             `json:"seed"`
	Policy        string             `json:"policy"`
	Exchanges     int                `json:"exchanges"`
	Rules         []audit.RuleResult `json:"rules"`
	Calls         audit.CallCounts   `json:"calls"`
	Capture       string             `json:"capture"`
	Messages      int                `json:"messages"`
	Classes       []Row              `json:"classes"`
	Troubles      []Row              `json:"troubles"`
	CircuitsInUse int                `json:"circuits_held_at_end"`
	Fleet         exchange.Counts    `json:"fleet"`
	Breaches      []audit.Breach     `json:"breaches,omitempty"`
	Notes         []string           `json:"notes,omitempty"`
	Flows         *collect.Report    `json:"flows,omitempty"`
	ServiceRatio  float64            `json:"service"`
}

// RulesKept tells whether every rule held.
func (r *Result) RulesKept() bool {
	for _, u := range r.Rules {
		if u.Breaches > 0 {
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
	wd, err := world.New(o.Scenario, world.Network{
		Listen: func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") },
		Dial:   func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
	}, w)
	if err != nil {
		return nil, errors.Join(err, w.Close())
	}
	var flows *collect.Collector
	collector := ""
	if o.ExportFlows {
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
	f := &controllerProcesses{options: o, collectorAddress: collector, listAddress: wd.ListAddr(), captureWriter: w, processes: make([]process, o.Scenario.Fleet.Exchanges)}
	for cell := range f.processes {
		if err := f.startController(cell); err != nil {
			f.killAll()
			return nil, errors.Join(err, w.Close())
		}
	}
	played := wd.Run(ctx, f, o.Progress)
	left := f.stopAll()
	held := make(chan int, 1)
	wd.Do(func() { held <- wd.Fleet.CircuitsInUse() })
	n := <-held
	wd.Close()
	if err := errors.Join(played, left, w.Close()); err != nil {
		return nil, fmt.Errorf("playing %s: %w (logs in %s)", o.Scenario.Name, err, o.Dir)
	}
	report, err := audit.CheckPath(o.Dir)
	if err != nil {
		return nil, err
	}
	r := newResult(o, report, wd.Simulation)
	r.CircuitsInUse = n
	if flows != nil {
		r.Flows = flows.Report()
		if err := flows.Close(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// newResult puts the judgement and the callers' tables together.
func newResult(o Options, report *audit.Report, s *scene.Simulation) *Result {
	r := &Result{Scenario: o.Scenario.Name, Seed: o.Scenario.Seed, Policy: o.Policy, Exchanges: o.Scenario.Fleet.Exchanges,
		Rules: report.Rules, Calls: report.Calls, Capture: o.Dir, Messages: report.Messages,
		Fleet: s.Fleet.Counts, Breaches: report.Breaches, Notes: report.Notes}
	AddTables(r, o.Scenario, s)
	return r
}

// AddTables counts a scene's calls by class and by trouble.
func AddTables(r *Result, scn *settings.Scenario, wd *scene.Simulation) {
	add := func(name string, rows *[]Row, which func(*subscriber.Call) bool) {
		t := wd.Callers.Tally(which)
		*rows = append(*rows, Row{name, t, t.ServiceRatio()})
	}
	for i, c := range scn.Classes {
		add(c.Name, &r.Classes, func(k *subscriber.Call) bool { return k.Class == i && !k.ToHotNumber })
	}
	add("hot number", &r.Classes, func(k *subscriber.Call) bool { return k.ToHotNumber })
	add("all", &r.Classes, func(*subscriber.Call) bool { return true })
	r.ServiceRatio = r.Classes[len(r.Classes)-1].ServiceRatio
	for _, s := range wd.Troubles() {
		add(fmt.Sprintf("%s at %v: %s", s.Kind, s.At, s.Description), &r.Troubles, func(k *subscriber.Call) bool {
			at := wd.FirstAttemptTime(k)
			return at >= s.Start && at < s.End
		})
	}
}

// controllerProcesses is the controllers' processes.
type controllerProcesses struct {
	options       Options
	listAddress   string
	captureWriter *capture.Writer

	collectorAddress string // for flow records; none if empty

	mu        sync.Mutex
	processes []process
	stopping  bool
	restarts  sync.WaitGroup
	errs      []error
}

type process struct {
	command *exec.Cmd
	address string
	starts  int
}

// Addr is where a controller listens.
func (f *controllerProcesses) Addr(cell int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[cell].address
}

// startController runs a controller on a listener that this process opens and passes on.
func (f *controllerProcesses) startController(cell int) error {
	p := &f.processes[cell]
	addr := p.address
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("controller %d: %w", cell, err)
	}
	defer ln.Close()
	p.address = ln.Addr().String()
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return fmt.Errorf("controller %d: %w", cell, err)
	}
	defer file.Close()
	p.starts++
	base := filepath.Join(f.options.Dir, fmt.Sprintf("controller-%d.%d", cell, p.starts))
	set := f.options.Scenario.Controller(cell, f.listAddress)
	set.Seed += uint64(p.starts) << 32
	set.Listen, set.Policy = "fd:3", f.options.Policy
	set.Capture.File = base + capture.FileSuffix
	if f.collectorAddress != "" {
		set.Flows = settings.Flows{Collectors: []settings.Collector{{Address: f.collectorAddress}}, SummaryInterval: 2 * time.Second,
			ConfirmAfter: 5 * time.Second, SpoolDirectory: filepath.Join(f.options.Dir, fmt.Sprint("spool-", cell))}
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
	p.command = exec.Command(f.options.Executable, "run", base+".xml")
	p.command.Stdout, p.command.Stderr = log, log
	p.command.ExtraFiles = []*os.File{file}
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("controller %d: %w", cell, err)
	}
	return nil
}

// Restart kills a controller and starts it again, without holding its caller up.
func (f *controllerProcesses) Restart(cell int) {
	f.restarts.Go(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.stopping {
			return
		}
		p := &f.processes[cell]
		_ = p.command.Process.Kill() // fails only if it has ended
		_ = p.command.Wait()         // killed: its status says so
		f.captureWriter.Fact("killed", capture.Killed{Owner: daemon.CaptureOwner(cell)})
		if err := f.startController(cell); err != nil {
			f.errs = append(f.errs, err)
		}
	})
}

// shutdownTimeout is how long the controllers may take to answer what they have.
const shutdownTimeout = 15 * time.Second

// stopAll lets all controllers end, and returns how they failed.
func (f *controllerProcesses) stopAll() error {
	f.restarts.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
	for i := range f.processes {
		_ = f.processes[i].command.Process.Signal(syscall.SIGTERM) // one that has ended says so to Wait
	}
	timeout := time.AfterFunc(shutdownTimeout, func() {
		for i := range f.processes {
			_ = f.processes[i].command.Process.Kill()
		}
	})
	defer timeout.Stop()
	for i := range f.processes {
		if err := f.processes[i].command.Wait(); err != nil {
			f.errs = append(f.errs, fmt.Errorf("controller %d: %w", i, err))
		}
	}
	return errors.Join(f.errs...)
}

// killAll ends what was started of a fleet that could not be.
func (f *controllerProcesses) killAll() {
	for i := range f.processes {
		if c := f.processes[i].command; c != nil && c.Process != nil {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}
}
