package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/jedib0t/go-pretty/v6/progress"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"golang.org/x/term"

	"dahliaspindle/internal/audit"
	"dahliaspindle/internal/daemon"
	"dahliaspindle/internal/demo"
	"dahliaspindle/internal/load"
	"dahliaspindle/internal/settings"
	"dahliaspindle/scenarios"
)

// runCmd runs one controller.
type runCmd struct {
	File string `arg:"" help:"Settings file of the controller." type:"existingfile"`
}

// Run executes the command.
func (c *runCmd) Run() error {
	config, err := settings.ReadController(c.File)
	if err != nil {
		return exitError{2, err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	return daemon.Run(ctx, config, os.Stderr)
}

// gcPercent is the GOGC value of a controller: the heap may grow to five times its
// live size, because a controller holds little memory and allocates much.
const gcPercent = 400

// checkCmd validates files.
type checkCmd struct {
	Files []string `arg:"" help:"Settings or scenario files." type:"existingfile"`
}

// Run executes the command.
func (c *checkCmd) Run() error {
	var errs []error
	for _, file := range c.Files {
		if err := settings.Check(file); err != nil {
			errs = append(errs, err)
		} else {
			fmt.Println(file + ": good")
		}
	}
	if len(errs) > 0 {
		return exitError{2, errors.Join(errs...)}
	}
	return nil
}

// schemaCmd prints the XML schema.
type schemaCmd struct{}

// Run executes the command.
func (schemaCmd) Run() error {
	_, err := io.WriteString(os.Stdout, settings.Schema)
	return err
}

// demoCmd runs a scenario.
type demoCmd struct {
	Scenario string  `help:"Scenario file, or the name of a scenario that ships with the program: ${names}." default:"bad-day"`
	Seed     uint64  `help:"Seed of the random draws; 0: the scenario's own seed."`
	Scale    float64 `help:"Factor on the number of exchanges." default:"1"`
	Policy   string  `help:"Routing policy of the controllers: ${enum}." enum:"brain,direct-only,any-tandem" default:"brain"`
	Dir      string  `help:"Directory for settings, logs and the capture; default: a new temporary directory." type:"path"`
	Flows    bool    `help:"Also export flow records to a collector in the demo, and verify their counts." xor:"how"`
	Virtual  bool    `help:"Run in virtual time, without processes and sockets: the same seed gives the same results." xor:"how"`
	JSON     bool    `help:"Print one JSON object."`
}

// scenario returns the scenario of the file or of the shipped name.
func (c *demoCmd) scenario() (*settings.Scenario, error) {
	if text, ok := scenarios.XML(c.Scenario); ok {
		return settings.ParseScenario(c.Scenario+".xml", strings.NewReader(text))
	}
	return settings.ReadScenario(c.Scenario)
}

// Run executes the command.
func (c *demoCmd) Run() error {
	scenario, err := c.scenario()
	if err != nil {
		return exitError{2, err}
	}
	if c.Seed != 0 {
		scenario.Seed = c.Seed
	}
	if c.Scale <= 0 {
		return exitError{2, errors.New("--scale must be greater than 0")}
	}
	scenario.Fleet.Exchanges = max(int(float64(scenario.Fleet.Exchanges)*c.Scale+0.5), 3)
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "dahliaspindle-demo-"); err != nil {
			return fmt.Errorf("demo: %w", err)
		}
	} else if err = os.MkdirAll(c.Dir, 0o755); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	exe, err := os.Executable()
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	progress, done := showProgress(scenario, c.JSON)
	options := demo.Options{Scenario: scenario, Policy: c.Policy, ExportFlows: c.Flows, Dir: c.Dir, Executable: exe, Progress: progress}
	var result *demo.Result
	if c.Virtual {
		result, err = demo.RunVirtual(options)
	} else {
		result, err = demo.Run(ctx, options)
	}
	done()
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		if err := encoder.Encode(result); err != nil {
			return fmt.Errorf("demo: %w", err)
		}
	} else {
		printResult(result)
	}
	if result.Flows != nil && !c.JSON {
		if err := printFlows(result.Flows, false); err != nil {
			return err
		}
	}
	if result.Flows != nil && !result.Flows.OK() {
		return exitError{1, errors.New("flow records are not all accounted for")}
	}
	if !result.RulesKept() {
		return exitError{1, errors.New("a rule was broken")}
	}
	return nil
}

// showProgress shows the progress of a scenario if standard error is a terminal.
func showProgress(scenario *settings.Scenario, quiet bool) (update func(time.Duration, int), done func()) {
	if quiet || !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil, func() {}
	}
	writer := progress.NewWriter()
	writer.SetOutputWriter(os.Stderr)
	writer.SetAutoStop(false)
	writer.SetUpdateFrequency(200 * time.Millisecond)
	writer.Style().Visibility.Value = false
	tracker := &progress.Tracker{Message: scenario.Name, Total: int64(scenario.Length)}
	writer.AppendTracker(tracker)
	go writer.Render()
	return func(passed time.Duration, calls int) {
			tracker.UpdateMessage(fmt.Sprintf("%s: %d calls", scenario.Name, calls))
			tracker.SetValue(int64(passed))
		}, func() {
			tracker.MarkAsDone()
			writer.Stop()
			for writer.IsRenderInProgress() {
				time.Sleep(10 * time.Millisecond)
			}
		}
}

// newTable returns a table that is rendered to standard output.
func newTable(title string) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.SetStyle(table.StyleLight)
	t.Style().Title.Align = text.AlignLeft
	t.SetTitle("%s", title)
	return t
}

// printTallies prints the call counts of classes or troubles.
func printTallies(title string, rows []demo.Row) {
	t := newTable(title)
	t.AppendHeader(table.Row{"", "offered", "in time", "late", "refused", "failed", "cut", "gave up", "lost", "service"})
	for _, row := range rows {
		tally := row.Tally
		t.AppendRow(table.Row{row.Name, tally.Offered, tally.InTime, tally.Late, tally.Refused, tally.Failed, tally.Cut, tally.GaveUp, tally.Lost, fmt.Sprintf("%.3f", row.ServiceRatio)})
	}
	t.Render()
}

// printResult prints the result of a scenario.
func printResult(result *demo.Result) {
	printTallies(fmt.Sprintf("%s, seed %d, %d exchanges, policy %s: first attempts by class", result.Scenario, result.Seed, result.Exchanges, result.Policy), result.Classes)
	printTallies("First attempts during each trouble", result.Troubles)
	printRules(result.Rules, result.Breaches, result.Notes)
	fmt.Printf("%d calls received, %d answered, %d abandoned by their callers or closed connections, %d with killed controllers; %d messages; %d circuits held at the end\n",
		result.Calls.Received, result.Calls.Answered, result.Calls.Abandoned, result.Calls.Killed, result.Messages, result.CircuitsInUse)
	fmt.Printf("capture: %s\n", result.Capture)
}

// printRules prints the results of the rules, the breaches and the notes.
func printRules(rules []audit.RuleResult, breaches []audit.Breach, notes []string) {
	t := newTable("The five rules, checked against the captured messages")
	t.AppendHeader(table.Row{"rule", "", "cases", "broken"})
	for _, rule := range rules {
		t.AppendRow(table.Row{rule.Number, rule.Title, rule.Cases, rule.Breaches})
	}
	t.Render()
	for _, breach := range breaches {
		fmt.Println(breach)
	}
	for _, note := range notes {
		fmt.Println("note:", note)
	}
}

// auditCmd checks a capture.
type auditCmd struct {
	Capture string `arg:"" help:"Capture file, or a directory of capture files." type:"path"`
	JSON    bool   `help:"Print one JSON object."`
}

// Run executes the command.
func (c *auditCmd) Run() error {
	report, err := audit.CheckPath(c.Capture)
	if err != nil {
		return exitError{2, err}
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return fmt.Errorf("audit: %w", err)
		}
	} else {
		printRules(report.Rules, report.Breaches, report.Notes)
		fmt.Printf("%d calls received, %d answered, %d abandoned, %d with killed controllers; %d messages\n",
			report.Calls.Received, report.Calls.Answered, report.Calls.Abandoned, report.Calls.Killed, report.Messages)
	}
	if !report.OK() {
		return exitError{1, errors.New("a rule was broken")}
	}
	return nil
}

// traceCmd prints the messages of one call.
type traceCmd struct {
	Capture string `arg:"" help:"Capture file, or a directory of capture files." type:"path"`
	Call    string `arg:"" help:"Name of the call, as its caller chose it."`
}

// Run executes the command.
func (c *traceCmd) Run() error {
	lines, err := audit.Trace(os.Stdout, filepath.Clean(c.Capture), c.Call)
	if err != nil {
		return exitError{2, err}
	}
	if lines == 0 {
		return exitError{1, fmt.Errorf("the capture does not contain call %q", c.Call)}
	}
	return nil
}

// loadCmd generates calls at a fixed rate.
type loadCmd struct {
	To       []string      `arg:"" help:"Addresses of controllers, as HOST:PORT."`
	Rate     float64       `help:"Calls per second in total." default:"100"`
	For      time.Duration `help:"Time during which calls are made." default:"10s"`
	Class    []string      `help:"Call classes, drawn with equal probability." default:"fetch"`
	Dest     []int         `help:"Numbers of the exchanges to call, drawn with equal probability." default:"1"`
	Patience time.Duration `help:"Time that a caller waits for an answer." default:"4s"`
	Holding  time.Duration `help:"Mean holding time of a call." default:"1s"`
	Conns    int           `help:"Connections to each controller." default:"2"`
	Seed     uint64        `help:"Seed of the random draws." default:"1"`
	JSON     bool          `help:"Print one JSON object."`
}

// Run executes the command.
func (c *loadCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result, err := load.Run(ctx, load.Options{Addresses: c.To, Rate: c.Rate, Duration: c.For, Classes: c.Class, Destinations: c.Dest, Patience: c.Patience,
		MeanHoldingTime: c.Holding, ConnsPerAddress: c.Conns, Seed: c.Seed})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return fmt.Errorf("load: %w", err)
		}
		return nil
	}
	t := newTable(fmt.Sprintf("%d calls in %v, %.0f per second", result.Offered, result.Duration.Round(time.Millisecond), float64(result.Offered)/result.Duration.Seconds()))
	t.AppendHeader(table.Row{"", "calls", "p50", "p99", "p99.9", "most"})
	for _, row := range result.Rows {
		t.AppendRow(table.Row{row.Name, row.Calls, row.P50, row.P99, row.P999, row.Max})
	}
	t.Render()
	return nil
}
