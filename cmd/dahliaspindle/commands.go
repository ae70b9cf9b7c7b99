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

type runCmd struct {
	File string `arg:"" help:"The controller's settings." type:"existingfile"`
}

func (c *runCmd) Run() error {
	set, err := settings.ReadController(c.File)
	if err != nil {
		return exit{2, err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	return daemon.Run(ctx, set, os.Stderr)
}

// gcPercent lets the heap of a controller grow to five times what is live: it
// holds little and makes much.
const gcPercent = 400

type checkCmd struct {
	Files []string `arg:"" help:"Settings or scenarios." type:"existingfile"`
}

func (c *checkCmd) Run() error {
	var all []error
	for _, f := range c.Files {
		if err := settings.Check(f); err != nil {
			all = append(all, err)
		} else {
			fmt.Println(f + ": good")
		}
	}
	if len(all) > 0 {
		return exit{2, errors.Join(all...)}
	}
	return nil
}

type schemaCmd struct{}

func (schemaCmd) Run() error {
	_, err := io.WriteString(os.Stdout, settings.Schema)
	return err
}

type demoCmd struct {
	Scenario string  `help:"A scenario's file, or the name of one that ships: ${names}." default:"bad-day"`
	Seed     uint64  `help:"Draw the day anew from this seed; 0: the scenario's own."`
	Scale    float64 `help:"So many times the exchanges." default:"1"`
	Policy   string  `help:"What decides in the controllers: ${enum}." enum:"brain,direct-only,any-tandem" default:"brain"`
	Dir      string  `help:"For settings, logs and the capture; a new folder for temporary files if not given." type:"path"`
	Flows    bool    `help:"Export flow records too, to a collector of the demo's own, and add them up." xor:"how"`
	Virtual  bool    `help:"In virtual time, without processes and sockets: the same seed gives the same day." xor:"how"`
	JSON     bool    `help:"Print one JSON object."`
}

func (c *demoCmd) scenario() (*settings.Scenario, error) {
	if text, ok := scenarios.XML(c.Scenario); ok {
		return settings.ParseScenario(c.Scenario+".xml", strings.NewReader(text))
	}
	return settings.ReadScenario(c.Scenario)
}

func (c *demoCmd) Run() error {
	scn, err := c.scenario()
	if err != nil {
		return exit{2, err}
	}
	if c.Seed != 0 {
		scn.Seed = c.Seed
	}
	if c.Scale <= 0 {
		return exit{2, errors.New("--scale must be above 0")}
	}
	scn.Fleet.Exchanges = max(int(float64(scn.Fleet.Exchanges)*c.Scale+0.5), 3)
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
	show, done := watch(scn, c.JSON)
	o := demo.Options{Scenario: scn, Policy: c.Policy, ExportFlows: c.Flows, Dir: c.Dir, Executable: exe, Progress: show}
	var r *demo.Result
	if c.Virtual {
		r, err = demo.RunVirtual(o)
	} else {
		r, err = demo.Run(ctx, o)
	}
	done()
	if err != nil {
		return err
	}
	if c.JSON {
		e := json.NewEncoder(os.Stdout)
		if err := e.Encode(r); err != nil {
			return fmt.Errorf("demo: %w", err)
		}
	} else {
		printResult(r)
	}
	if r.Flows != nil && !c.JSON {
		if err := printFlows(r.Flows, false); err != nil {
			return err
		}
	}
	if r.Flows != nil && !r.Flows.OK() {
		return exit{1, errors.New("flow records are not all accounted for")}
	}
	if !r.RulesKept() {
		return exit{1, errors.New("a rule was broken")}
	}
	return nil
}

// watch shows how the day goes by, where somebody looks.
func watch(scn *settings.Scenario, quiet bool) (show func(time.Duration, int), done func()) {
	if quiet || !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil, func() {}
	}
	p := progress.NewWriter()
	p.SetOutputWriter(os.Stderr)
	p.SetAutoStop(false)
	p.SetUpdateFrequency(200 * time.Millisecond)
	p.Style().Visibility.Value = false
	t := &progress.Tracker{Message: scn.Name, Total: int64(scn.Length)}
	p.AppendTracker(t)
	go p.Render()
	return func(passed time.Duration, calls int) {
			t.UpdateMessage(fmt.Sprintf("%s: %d calls", scn.Name, calls))
			t.SetValue(int64(passed))
		}, func() {
			t.MarkAsDone()
			p.Stop()
			for p.IsRenderInProgress() {
				time.Sleep(10 * time.Millisecond)
			}
		}
}

func newTable(title string) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.SetStyle(table.StyleLight)
	t.Style().Title.Align = text.AlignLeft
	t.SetTitle("%s", title)
	return t
}

func tallies(title string, rows []demo.Row) {
	t := newTable(title)
	t.AppendHeader(table.Row{"", "offered", "in time", "late", "refused", "failed", "cut", "gave up", "lost", "service"})
	for _, r := range rows {
		c := r.Tally
		t.AppendRow(table.Row{r.Name, c.Offered, c.InTime, c.Late, c.Refused, c.Failed, c.Cut, c.GaveUp, c.Lost, fmt.Sprintf("%.3f", r.ServiceRatio)})
	}
	t.Render()
}

func printResult(r *demo.Result) {
	tallies(fmt.Sprintf("%s, seed %d, %d exchanges, decided by %s: first tries by class", r.Scenario, r.Seed, r.Exchanges, r.Policy), r.Classes)
	tallies("First tries during each trouble", r.Troubles)
	printRules(r.Rules, r.Breaches, r.Notes)
	fmt.Printf("%d calls taken, %d answered, %d left by their callers or connections, %d with killed controllers; %d messages; %d circuits held at the end\n",
		r.Calls.Received, r.Calls.Answered, r.Calls.Abandoned, r.Calls.Killed, r.Messages, r.CircuitsInUse)
	fmt.Printf("capture: %s\n", r.Capture)
}

func printRules(rules []audit.RuleResult, breaches []audit.Breach, notes []string) {
	t := newTable("The five rules, from what passed over the sockets")
	t.AppendHeader(table.Row{"rule", "", "cases", "broken"})
	for _, u := range rules {
		t.AppendRow(table.Row{u.Number, u.Title, u.Cases, u.Breaches})
	}
	t.Render()
	for _, b := range breaches {
		fmt.Println(b)
	}
	for _, n := range notes {
		fmt.Println("note:", n)
	}
}

type auditCmd struct {
	Capture string `arg:"" help:"A folder of captures, or one file." type:"path"`
	JSON    bool   `help:"Print one JSON object."`
}

func (c *auditCmd) Run() error {
	r, err := audit.CheckPath(c.Capture)
	if err != nil {
		return exit{2, err}
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return fmt.Errorf("audit: %w", err)
		}
	} else {
		printRules(r.Rules, r.Breaches, r.Notes)
		fmt.Printf("%d calls taken, %d answered, %d left, %d with killed controllers; %d messages\n",
			r.Calls.Received, r.Calls.Answered, r.Calls.Abandoned, r.Calls.Killed, r.Messages)
	}
	if !r.OK() {
		return exit{1, errors.New("a rule was broken")}
	}
	return nil
}

type traceCmd struct {
	Capture string `arg:"" help:"A folder of captures, or one file." type:"path"`
	Call    string `arg:"" help:"The call, as its caller names it."`
}

func (c *traceCmd) Run() error {
	n, err := audit.Trace(os.Stdout, filepath.Clean(c.Capture), c.Call)
	if err != nil {
		return exit{2, err}
	}
	if n == 0 {
		return exit{1, fmt.Errorf("the capture tells nothing of call %q", c.Call)}
	}
	return nil
}

type loadCmd struct {
	To       []string      `arg:"" help:"Controllers, as HOST:PORT."`
	Rate     float64       `help:"Calls a second, over all." default:"100"`
	For      time.Duration `help:"How long calls come." default:"10s"`
	Class    []string      `help:"Classes, drawn alike." default:"fetch"`
	Dest     []int         `help:"Numbers of exchanges to call, drawn alike." default:"1"`
	Patience time.Duration `help:"A caller waits so long." default:"4s"`
	Holding  time.Duration `help:"Mean time that a call stands." default:"1s"`
	Conns    int           `help:"Connections to each controller." default:"2"`
	Seed     uint64        `help:"Of the draw." default:"1"`
	JSON     bool          `help:"Print one JSON object."`
}

func (c *loadCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	r, err := load.Run(ctx, load.Options{Addresses: c.To, Rate: c.Rate, Duration: c.For, Classes: c.Class, Destinations: c.Dest, Patience: c.Patience,
		MeanHoldingTime: c.Holding, ConnsPerAddress: c.Conns, Seed: c.Seed})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return fmt.Errorf("load: %w", err)
		}
		return nil
	}
	t := newTable(fmt.Sprintf("%d calls in %v, %.0f a second", r.Offered, r.Duration.Round(time.Millisecond), float64(r.Offered)/r.Duration.Seconds()))
	t.AppendHeader(table.Row{"", "calls", "p50", "p99", "p99.9", "most"})
	for _, row := range r.Rows {
		t.AppendRow(table.Row{row.Name, row.Calls, row.P50, row.P99, row.P999, row.Max})
	}
	t.Render()
	return nil
}
