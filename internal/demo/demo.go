// Package demo runs a scenario with controllers in processes of their own and the
// simulated network in this one, captures all messages and audits the captures.
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
	"dahliaspindle/internal/standin/realtime"
	"dahliaspindle/internal/standin/simulation"
	"dahliaspindle/internal/standin/subscriber"
)

// Options configures a demo run.
type Options struct {
	Scenario    *settings.Scenario
	Policy      string                                 // routing policy of the controllers
	Dir         string                                 // directory for settings, logs and captures
	ExportFlows bool                                   // export flow records to a collector in this process
	Executable  string                                 // program that runs a controller: EXECUTABLE run FILE
	Progress    func(elapsed time.Duration, calls int) // may be nil
}

// Row is one row of a table of call outcomes.
type Row struct {
	Name         string           `json:"name"`
	Tally        subscriber.Tally `json:"tally"`
	ServiceRatio float64          `json:"service"`
}

// Result is the result of a demo run.
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

// RulesKept reports whether no rule was broken.
func (r *Result) RulesKept() bool {
	for _, rule := range r.Rules {
		if rule.Breaches > 0 {
			return false
		}
	}
	return true
}

// Run runs a scenario. It returns an error if the run fails; broken rules are
// reported in the result.
func Run(ctx context.Context, options Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	captureWriter, err := capture.Create(filepath.Join(options.Dir, "stand-ins"+capture.FileSuffix), "stand-ins")
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: time.Second}
	runner, err := realtime.New(options.Scenario, realtime.Network{
		Listen: func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
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
	controllers := &controllerProcesses{
		options:          options,
		collectorAddress: collectorAddress,
		listAddress:      runner.ListAddr(),
		captureWriter:    captureWriter,
		processes:        make([]process, options.Scenario.Fleet.Exchanges),
	}
	for number := range controllers.processes {
		if err := controllers.startController(number); err != nil {
			controllers.killAll()
			return nil, errors.Join(err, captureWriter.Close())
		}
	}
	runErr := runner.Run(ctx, controllers, options.Progress)
	stopErr := controllers.stopAll()
	inUse := make(chan int, 1)
	runner.Do(func() { inUse <- runner.Fleet.CircuitsInUse() })
	circuitsInUse := <-inUse
	runner.Close()
	if err := errors.Join(runErr, stopErr, captureWriter.Close()); err != nil {
		return nil, fmt.Errorf("running scenario %s: %w (logs in %s)", options.Scenario.Name, err, options.Dir)
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

// newResult combines the audit report with the tables of call outcomes.
func newResult(options Options, report *audit.Report, sim *simulation.Simulation) *Result {
	result := &Result{
		Scenario:  options.Scenario.Name,
		Seed:      options.Scenario.Seed,
		Policy:    options.Policy,
		Exchanges: options.Scenario.Fleet.Exchanges,
		Rules:     report.Rules,
		Calls:     report.Calls,
		Capture:   options.Dir,
		Messages:  report.Messages,
		Fleet:     sim.Fleet.Counts,
		Breaches:  report.Breaches,
		Notes:     report.Notes,
	}
	AddTables(result, options.Scenario, sim)
	return result
}

// AddTables adds the call outcomes of a simulation by class and by trouble to result.
func AddTables(result *Result, scenario *settings.Scenario, sim *simulation.Simulation) {
	add := func(name string, rows *[]Row, matches func(*subscriber.Call) bool) {
		tally := sim.Callers.Tally(matches)
		*rows = append(*rows, Row{name, tally, tally.ServiceRatio()})
	}
	for i, class := range scenario.Classes {
		add(class.Name, &result.Classes, func(call *subscriber.Call) bool { return call.Class == i && !call.ToHotNumber })
	}
	add("hot number", &result.Classes, func(call *subscriber.Call) bool { return call.ToHotNumber })
	add("all", &result.Classes, func(*subscriber.Call) bool { return true })
	result.ServiceRatio = result.Classes[len(result.Classes)-1].ServiceRatio
	for _, trouble := range sim.Troubles() {
		add(fmt.Sprintf("%s at %v: %s", trouble.Kind, trouble.At, trouble.Description), &result.Troubles, func(call *subscriber.Call) bool {
			firstAttempt := sim.FirstAttemptTime(call)
			return firstAttempt >= trouble.Start && firstAttempt < trouble.End
		})
	}
}

// controllerProcesses runs the controllers as processes. It implements
// realtime.Controllers.
type controllerProcesses struct {
	options       Options
	listAddress   string
	captureWriter *capture.Writer

	collectorAddress string // for flow records; empty: none are exported

	mu        sync.Mutex
	processes []process
	stopping  bool
	restarts  sync.WaitGroup // restarts in progress
	errs      []error        // failed starts and failed controllers
}

// process is the process of one controller.
type process struct {
	command *exec.Cmd
	address string
	starts  int // including restarts
}

// Addr returns the address on which a controller listens.
func (c *controllerProcesses) Addr(number int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[number].address
}

// startController starts a controller with a listener that this process opens and
// passes on.
func (c *controllerProcesses) startController(number int) error {
	started := &c.processes[number]
	address := started.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
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
	base := filepath.Join(c.options.Dir, fmt.Sprintf("controller-%d.%d", number, started.starts))
	controllerSettings := c.options.Scenario.Controller(number, c.listAddress)
	controllerSettings.Seed += uint64(started.starts) << 32
	controllerSettings.Listen, controllerSettings.Policy = "fd:3", c.options.Policy
	controllerSettings.Capture.File = base + capture.FileSuffix
	if c.collectorAddress != "" {
		controllerSettings.Flows = settings.Flows{
			Collectors:      []settings.Collector{{Address: c.collectorAddress}},
			SummaryInterval: 2 * time.Second,
			ConfirmAfter:    5 * time.Second,
			SpoolDirectory:  filepath.Join(c.options.Dir, fmt.Sprint("spool-", number)),
		}
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
	started.command = exec.Command(c.options.Executable, "run", base+".xml")
	started.command.Stdout, started.command.Stderr = logFile, logFile
	started.command.ExtraFiles = []*os.File{listenerFile}
	started.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := started.command.Start(); err != nil {
		return fmt.Errorf("controller %d: %w", number, err)
	}
	return nil
}

// Restart kills a controller and starts it again, without blocking the caller.
func (c *controllerProcesses) Restart(number int) {
	c.restarts.Go(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.stopping {
			return
		}
		restarted := &c.processes[number]
		_ = restarted.command.Process.Kill() // fails only if the process has ended
		_ = restarted.command.Wait()         // the status only says that it was killed
		c.captureWriter.Fact("killed", capture.Killed{Owner: daemon.CaptureOwner(number)})
		if err := c.startController(number); err != nil {
			c.errs = append(c.errs, err)
		}
	})
}

// shutdownTimeout is how long the controllers may take to answer pending calls and
// shut down.
const shutdownTimeout = 15 * time.Second

// stopAll shuts all controllers down, kills those that take longer than
// shutdownTimeout, and returns all errors so far.
func (c *controllerProcesses) stopAll() error {
	c.restarts.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	for i := range c.processes {
		_ = c.processes[i].command.Process.Signal(syscall.SIGTERM) // if the process has ended, Wait reports it
	}
	timeout := time.AfterFunc(shutdownTimeout, func() {
		for i := range c.processes {
			_ = c.processes[i].command.Process.Kill()
		}
	})
	defer timeout.Stop()
	for i := range c.processes {
		if err := c.processes[i].command.Wait(); err != nil {
			c.errs = append(c.errs, fmt.Errorf("controller %d: %w", i, err))
		}
	}
	return errors.Join(c.errs...)
}

// killAll kills the controllers started so far, after a failed start.
func (c *controllerProcesses) killAll() {
	for i := range c.processes {
		if command := c.processes[i].command; command != nil && command.Process != nil {
			_ = command.Process.Kill()
			_ = command.Wait()
		}
	}
}
