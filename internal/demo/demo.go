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
	for _, rule := range r.Rules {
		if rule.Breaches > 0 {
			return false
		}
	}
	return true
}

// Run plays a scenario. Its error is for a play that could not be made; broken
// rules stand in the result.
func Run(ctx context.Context, options Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	captureWriter, err := capture.Create(filepath.Join(options.Dir, "stand-ins"+capture.FileSuffix), "stand-ins")
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: time.Second}
	runner, err := world.New(options.Scenario, world.Network{
		Listen: func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") },
		Dial:   func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
	}, captureWriter)
	if err != nil {
		return nil, errors.Join(err, captureWriter.Close())
	}
	var collector *collect.Collector
	collectorAddress := ""
	if options.ExportFlows {
		if collector, err = collect.New(filepath.Join(options.Dir, "flows.ipfix")); err != nil {
			return nil, errors.Join(err, captureWriter.Close())
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Join(err, captureWriter.Close())
		}
		defer listener.Close()
		go collector.Serve(listener)
		collectorAddress = listener.Addr().String()
	}
	processes := &controllerProcesses{options: options, collectorAddress: collectorAddress, listAddress: runner.ListAddr(), captureWriter: captureWriter, processes: make([]process, options.Scenario.Fleet.Exchanges)}
	for number := range processes.processes {
		if err := processes.startController(number); err != nil {
			processes.killAll()
			return nil, errors.Join(err, captureWriter.Close())
		}
	}
	runErr := runner.Run(ctx, processes, options.Progress)
	stopErr := processes.stopAll()
	inUse := make(chan int, 1)
	runner.Do(func() { inUse <- runner.Fleet.CircuitsInUse() })
	circuitsInUse := <-inUse
	runner.Close()
	if err := errors.Join(runErr, stopErr, captureWriter.Close()); err != nil {
		return nil, fmt.Errorf("playing %s: %w (logs in %s)", options.Scenario.Name, err, options.Dir)
	}
	report, err := audit.CheckPath(options.Dir)
	if err != nil {
		return nil, err
	}
	result := newResult(options, report, runner.Simulation)
	result.CircuitsInUse = circuitsInUse
	if collector != nil {
		result.Flows = collector.Report()
		if err := collector.Close(); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// newResult puts the judgement and the callers' tables together.
func newResult(options Options, report *audit.Report, simulation *scene.Simulation) *Result {
	result := &Result{Scenario: options.Scenario.Name, Seed: options.Scenario.Seed, Policy: options.Policy, Exchanges: options.Scenario.Fleet.Exchanges,
		Rules: report.Rules, Calls: report.Calls, Capture: options.Dir, Messages: report.Messages,
		Fleet: simulation.Fleet.Counts, Breaches: report.Breaches, Notes: report.Notes}
	AddTables(result, options.Scenario, simulation)
	return result
}

// AddTables counts a scene's calls by class and by trouble.
func AddTables(result *Result, scenario *settings.Scenario, simulation *scene.Simulation) {
	add := func(name string, rows *[]Row, matches func(*subscriber.Call) bool) {
		tally := simulation.Callers.Tally(matches)
		*rows = append(*rows, Row{name, tally, tally.ServiceRatio()})
	}
	for i, c := range scenario.Classes {
		add(c.Name, &result.Classes, func(call *subscriber.Call) bool { return call.Class == i && !call.ToHotNumber })
	}
	add("hot number", &result.Classes, func(k *subscriber.Call) bool { return k.ToHotNumber })
	add("all", &result.Classes, func(*subscriber.Call) bool { return true })
	result.ServiceRatio = result.Classes[len(result.Classes)-1].ServiceRatio
	for _, trouble := range simulation.Troubles() {
		add(fmt.Sprintf("%s at %v: %s", trouble.Kind, trouble.At, trouble.Description), &result.Troubles, func(k *subscriber.Call) bool {
			at := simulation.FirstAttemptTime(k)
			return at >= trouble.Start && at < trouble.End
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
func (f *controllerProcesses) Addr(number int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[number].address
}

// startController runs a controller on a listener that this process opens and passes on.
func (f *controllerProcesses) startController(number int) error {
	started := &f.processes[number]
	addr := started.address
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("controller %d: %w", number, err)
	}
	defer listener.Close()
	started.address = listener.Addr().String()
	listenerFile, err := listener.(*net.TCPListener).File()
	if err != nil {
		return fmt.Errorf("controller %d: %w", number, err)
	}
	defer listenerFile.Close()
	started.starts++
	base := filepath.Join(f.options.Dir, fmt.Sprintf("controller-%d.%d", number, started.starts))
	controllerSettings := f.options.Scenario.Controller(number, f.listAddress)
	controllerSettings.Seed += uint64(started.starts) << 32
	controllerSettings.Listen, controllerSettings.Policy = "fd:3", f.options.Policy
	controllerSettings.Capture.File = base + capture.FileSuffix
	if f.collectorAddress != "" {
		controllerSettings.Flows = settings.Flows{Collectors: []settings.Collector{{Address: f.collectorAddress}}, SummaryInterval: 2 * time.Second,
			ConfirmAfter: 5 * time.Second, SpoolDirectory: filepath.Join(f.options.Dir, fmt.Sprint("spool-", number))}
	}
	settingsFile, err := os.Create(base + ".xml")
	if err != nil {
		return fmt.Errorf("controller %d: %w", number, err)
	}
	if err := errors.Join(settings.Write(settingsFile, "controller", controllerSettings), settingsFile.Close()); err != nil {
		return fmt.Errorf("controller %d: %w", number, err)
	}
	logFile, err := os.Create(base + ".log")
	if err != nil {
		return fmt.Errorf("controller %d: %w", number, err)
	}
	defer logFile.Close()
	started.command = exec.Command(f.options.Executable, "run", base+".xml")
	started.command.Stdout, started.command.Stderr = logFile, logFile
	started.command.ExtraFiles = []*os.File{listenerFile}
	started.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := started.command.Start(); err != nil {
		return fmt.Errorf("controller %d: %w", number, err)
	}
	return nil
}

// Restart kills a controller and starts it again, without holding its caller up.
func (f *controllerProcesses) Restart(number int) {
	f.restarts.Go(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.stopping {
			return
		}
		restarted := &f.processes[number]
		_ = restarted.command.Process.Kill() // fails only if it has ended
		_ = restarted.command.Wait()         // killed: its status says so
		f.captureWriter.Fact("killed", capture.Killed{Owner: daemon.CaptureOwner(number)})
		if err := f.startController(number); err != nil {
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
		if command := f.processes[i].command; command != nil && command.Process != nil {
			_ = command.Process.Kill()
			_ = command.Wait()
		}
	}
}
