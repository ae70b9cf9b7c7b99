package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/network"
	"dahliaspindle/internal/plan"
	"dahliaspindle/internal/prove"
	"dahliaspindle/internal/report"
	"dahliaspindle/internal/settings"
)

// planning is what plan, advise and prove have in common.
type planning struct {
	Scenario  string             `arg:"" help:"A scenario's file, or the name of one that ships: ${names}. Its fleet, groups, classes and traffic are planned for."`
	Loss      float64            `help:"Share of calls of one circuit lost at the most; wide calls may lose so many times more as they take circuits." default:"0.01"`
	Target    map[string]float64 `help:"Other targets by class, as NAME=LOSS."`
	Hurt      float64            `help:"Share of a class lost at the most while any exchange or region link is away; 0: not looked at."`
	Link      float64            `help:"Share of the circuits between two regions that one link carries." default:"0.5"`
	Growth    float64            `help:"The traffic is taken so many times." default:"1"`
	Module    int                `help:"Circuits come in so many." default:"1"`
	Exchanges int                `help:"So many exchanges in place of the scenario's."`
	Seed      uint64             `help:"Draw the fleet from this seed; 0: the scenario's own."`
	Load      float64            `help:"The load's level in place of the scenario's."`
	Flows     string             `help:"An IPFIX file of flow records: its traffic in place of the scenario's, where it knows it." type:"existingfile"`
	Busy      time.Duration      `help:"With --flows: only the busiest so long counts; 0: all time."`
	Networks  int                `help:"Networks that the search may solve." default:"400"`
	Within    time.Duration      `help:"The search ends after this." default:"5m"`
	HTML      string             `help:"Write a report as one HTML page." type:"path"`
	JSON      bool               `help:"Print one JSON object."`
}

type dimensionPlanCmd struct{ planning }

type dimensionAdviseCmd struct {
	planning
	Buy  int `help:"Modules that may be bought first." default:"3"`
	Move int `help:"Modules that may be moved after that." default:"3"`
}

type dimensionProveCmd struct {
	planning
	Seeds  int           `help:"Days simulated." default:"20"`
	Length time.Duration `help:"Of each, in place of the scenario's."`
}

// work is a planning under way.
type work struct {
	planning
	scn  *settings.Scenario
	task *plan.Task
	rep  *report.Report
	low  [][]float64 // offered, 95 %
	high [][]float64
}

func (c planning) start() (*work, error) {
	scn, err := (&demoCmd{Scenario: c.Scenario}).scenario()
	if err != nil {
		return nil, exit{2, err}
	}
	if c.Seed != 0 {
		scn.Seed = c.Seed
	}
	if c.Exchanges != 0 {
		if c.Exchanges < 3 || c.Exchanges > network.MostExchanges {
			return nil, exit{2, fmt.Errorf("--exchanges must be from 3 to %d", network.MostExchanges)}
		}
		scn.Fleet.Exchanges = c.Exchanges
	}
	if c.Load != 0 {
		scn.Load.Level = c.Load
	}
	if !(scn.Load.Level > 0 && scn.Load.Level <= 10) {
		return nil, exit{2, errors.New("--load must be above 0, 10 at the most")}
	}
	scn.Load.Swing, scn.Fleet.DriftPeriod, scn.Troubles = 0, 0, nil // what is planned for is an even hour
	mesh, err := prove.Mesh(scn)
	if err != nil {
		return nil, err
	}
	w := &work{planning: c, scn: scn}
	w.task = &plan.Task{Mesh: mesh, Hurt: c.Hurt, Growth: c.Growth, Module: c.Module, LinkPart: c.Link, Most: c.Networks}
	known := map[string]bool{}
	for _, cl := range scn.Classes {
		known[cl.Name] = true
		target, ok := c.Target[cl.Name]
		if !ok {
			target = min(c.Loss*float64(cl.Circuits), (1+c.Loss)/2)
		}
		w.task.Target = append(w.task.Target, target)
	}
	for name := range c.Target {
		if !known[name] {
			return nil, exit{2, fmt.Errorf("--target: the scenario has no class %q", name)}
		}
	}
	for i := range scn.Fleet.Exchanges {
		w.task.Region = append(w.task.Region, i%scn.Fleet.Regions)
	}
	if err := w.measured(); err != nil {
		return nil, err
	}
	if err := w.task.Check(); err != nil {
		return nil, exit{2, err}
	}
	return w, nil
}

// measured puts what flow records tell in place of the scenario's traffic.
func (w *work) measured() error {
	n := w.scn.Fleet.Exchanges
	for range n {
		w.low, w.high = append(w.low, make([]float64, n)), append(w.high, make([]float64, n))
	}
	offered := w.task.Mesh.Offered
	for i := range n {
		for j := range n {
			for c, cl := range w.task.Mesh.Classes {
				a := offered[i][j][c] * float64(cl.Width)
				w.low[i][j] += a
				w.high[i][j] += a
			}
		}
	}
	if w.Flows == "" {
		return nil
	}
	patience := time.Duration(0)
	for _, cl := range w.scn.Classes {
		patience = max(patience, cl.Patience)
	}
	m, err := measureFile(w.Flows, measure.Options{Patience: patience, Window: w.Busy})
	if err != nil {
		return err
	}
	class := map[string]int{}
	for c, cl := range w.scn.Classes {
		class[cl.Name] = c
	}
	for _, e := range m.Pairs {
		c, ok := class[m.names[e.Class]]
		i, j := int(e.Source), int(e.Dest)
		if !ok || i < 0 || j < 0 || i >= n || j >= n || i == j {
			return exit{2, fmt.Errorf("%s tells of calls of class %q from exchange %d to %d, which the scenario has not", w.Flows, m.names[e.Class], i, j)}
		}
		if !e.Known {
			continue
		}
		wide := float64(w.task.Mesh.Classes[c].Width)
		w.low[i][j] += (e.Low - offered[i][j][c]) * wide
		w.high[i][j] += (e.High - offered[i][j][c]) * wide
		offered[i][j][c] = e.Erlang
	}
	return nil
}

// plan makes the plan and the report of it.
func (w *work) plan(ctx context.Context) (*plan.Plan, error) {
	t := w.task
	p, err := plan.Make(ctx, t)
	if errors.Is(err, plan.ErrTask) {
		return nil, exit{1, err}
	} else if err != nil {
		return nil, err
	}
	now, err := network.Solve(t.Mesh)
	if err != nil {
		return nil, err
	}
	grown := *t.Mesh
	grown.Circuits, grown.Offered = p.Circuits, make([][][]float64, len(p.Circuits))
	for i := range grown.Offered {
		for j := range grown.Offered {
			all := make([]float64, len(grown.Classes))
			for c, a := range t.Mesh.Offered[i][j] {
				all[c] = a * t.Growth
			}
			grown.Offered[i] = append(grown.Offered[i], all)
		}
	}
	then, err := network.Solve(&grown)
	if err != nil {
		return nil, err
	}
	r := &report.Report{Name: w.scn.Name, Exchanges: len(p.Circuits), Growth: t.Growth, Module: t.Module, Advised: p.Total,
		Bound: p.Bound, Cost: p.Cost, Gap: p.Gap(), Worst: p.Worst, WorstWhat: p.WorstWhat, Stopped: p.Stopped, Two: now.Two,
		Unsettled: !now.Converged || !now.Other.Converged}
	for c, cl := range t.Mesh.Classes {
		r.Classes = append(r.Classes, report.Class{Name: cl.Name, Target: t.Target[c], Now: now.ByClass[c], Promise: p.Promise[c]})
	}
	for i := range p.Circuits {
		for j := i + 1; j < len(p.Circuits); j++ {
			x := report.Pair{A: i, B: j, Now: t.Mesh.Circuits[i][j], Advised: p.Circuits[i][j],
				Low: w.low[i][j] + w.low[j][i], High: w.high[i][j] + w.high[j][i]}
			lostNow, lost := 0.0, 0.0
			for c, cl := range t.Mesh.Classes {
				for _, at := range [][2]int{{i, j}, {j, i}} {
					a := t.Mesh.Offered[at[0]][at[1]][c] * float64(cl.Width)
					x.Offered += a
					lostNow += a * now.Loss[at[0]][at[1]][c]
					lost += a * then.Loss[at[0]][at[1]][c]
				}
			}
			if x.Offered > 0 {
				x.LossNow, x.Promise = lostNow/x.Offered, lost/x.Offered
			}
			r.Now += x.Now
			r.Pairs = append(r.Pairs, x)
		}
	}
	w.rep = r
	return p, nil
}

// finish prints the report and writes its page.
func (w *work) finish(pairs bool) error {
	if w.HTML != "" {
		f, err := os.Create(w.HTML)
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		if err := errors.Join(report.HTML(f, w.rep), f.Close()); err != nil {
			return err
		}
	}
	if w.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(w.rep); err != nil {
			return fmt.Errorf("report: %w", err)
		}
		return nil
	}
	r := w.rep
	pct := func(x float64) string { return fmt.Sprintf("%.2f %%", 100*x) }
	t := newTable(fmt.Sprintf("%s: %d exchanges, modules of %d", r.Name, r.Exchanges, r.Module))
	head := table.Row{"class", "target", "loss now", "promised"}
	if r.Seeds > 0 {
		head = append(head, fmt.Sprintf("simulated, %d seeds", r.Seeds), "95 %")
	}
	t.AppendHeader(head)
	for _, c := range r.Classes {
		row := table.Row{c.Name, pct(c.Target), pct(c.Now), pct(c.Promise)}
		if c.Seen != nil {
			row = append(row, pct(c.Seen.Loss), pct(c.Seen.Low)+" to "+pct(c.Seen.High))
		}
		t.AppendRow(row)
	}
	t.Render()
	if pairs {
		t := newTable("Groups")
		t.AppendHeader(table.Row{"between", "offered", "95 %", "circuits now", "advised", "loss now", "promised"})
		for _, x := range r.Pairs {
			t.AppendRow(table.Row{fmt.Sprintf("%d and %d", x.A, x.B), fmt.Sprintf("%.2f", x.Offered), fmt.Sprintf("%.2f to %.2f", x.Low, x.High),
				x.Now, x.Advised, pct(x.LossNow), pct(x.Promise)})
		}
		t.Render()
	}
	fmt.Printf("circuits: %d stand, %d are advised", r.Now, r.Advised)
	if r.Proportional > 0 {
		fmt.Printf(", %d in proportion to the traffic", r.Proportional)
	}
	fmt.Printf("; cost %.0f, no plan below %.0f (%.0f %% above it)\n", r.Cost, r.Bound, 100*r.Gap)
	if r.WorstWhat != "" {
		fmt.Printf("with %s away the worst class loses %s\n", r.WorstWhat, pct(r.Worst))
	}
	for i, m := range r.Moves {
		fmt.Printf("%d. %s: %.2f erlang are lost then\n", i+1, m.What, m.Lost)
	}
	if r.Two {
		fmt.Println("the network as it stands may stay in either of two states; losses now are those of the better one")
	}
	if r.Unsettled {
		fmt.Println("the model found no state of the network as it stands: it is at the edge between two")
	}
	if r.Stopped {
		fmt.Println("the search was cut short: a better plan may be near")
	}
	return nil
}

// until is a context that ends with the program, or after a time.
func until(d time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithTimeout(ctx, d)
	return ctx, func() { cancel(); stop() }
}

func (c *dimensionPlanCmd) Run() error {
	w, err := c.start()
	if err != nil {
		return err
	}
	ctx, stop := until(c.Within)
	defer stop()
	if _, err := w.plan(ctx); err != nil {
		return err
	}
	prop, err := plan.Proportional(ctx, w.task)
	if err == nil {
		w.rep.Proportional = prop.Total
	} else if !errors.Is(err, plan.ErrTask) {
		return err
	}
	return w.finish(true)
}

func (c *dimensionAdviseCmd) Run() error {
	w, err := c.start()
	if err != nil {
		return err
	}
	ctx, stop := until(c.Within)
	defer stop()
	if _, err := w.plan(ctx); err != nil {
		return err
	}
	moves, err := plan.First(ctx, w.task, c.Buy, c.Move)
	if err != nil {
		return exit{2, err}
	}
	for _, m := range moves {
		what := fmt.Sprintf("buy %d circuits between %d and %d", c.Module, m.To[1], m.To[0])
		if m.From[0] >= 0 {
			what = fmt.Sprintf("move %d circuits from between %d and %d to between %d and %d", c.Module, m.From[1], m.From[0], m.To[1], m.To[0])
		}
		w.rep.Moves = append(w.rep.Moves, report.Move{What: what, Lost: m.Lost})
	}
	return w.finish(true)
}

func (c *dimensionProveCmd) Run() error {
	if c.Seeds < 2 || c.Seeds > 1000 {
		return exit{2, errors.New("--seeds must be from 2 to 1000")}
	}
	w, err := c.start()
	if err != nil {
		return err
	}
	if c.Growth != 1 || c.Flows != "" {
		return exit{2, errors.New("prove simulates the scenario's own traffic: without --growth and --flows (use --load)")}
	}
	if c.Length > 0 {
		w.scn.Length = c.Length
	}
	ctx, stop := until(c.Within)
	p, err := w.plan(ctx)
	stop()
	if err != nil {
		return err
	}
	ctx, stop = until(24 * time.Hour)
	defer stop()
	o, err := prove.Simulate(ctx, w.scn, p.Circuits, c.Seeds)
	if err != nil {
		return exit{2, err}
	}
	refuted := ""
	w.rep.Seeds = c.Seeds
	for k := range w.rep.Classes {
		cl, x := &w.rep.Classes[k], o.ByClass[k]
		cl.Seen = &report.Seen{Calls: o.Calls, Loss: x.Mean, Low: max(x.Low, 0), High: x.High}
		if !x.Holds(cl.Target) {
			refuted = cl.Name
		}
	}
	for k := range w.rep.Pairs {
		x := &w.rep.Pairs[k]
		calls := o.Pairs[x.A][x.B].Calls + o.Pairs[x.B][x.A].Calls
		lost := o.Pairs[x.A][x.B].Lost + o.Pairs[x.B][x.A].Lost
		share := float64(lost) / float64(max(calls, 1))
		half := 1.96 * math.Sqrt(share*(1-share)/float64(max(calls, 1)))
		x.Seen = &report.Seen{Calls: calls, Loss: share, Low: max(share-half, 0), High: min(share+half, 1)}
	}
	if err := w.finish(false); err != nil {
		return err
	}
	if refuted != "" {
		return exit{1, fmt.Errorf("class %s loses more than its target in simulation", refuted)}
	}
	return nil
}
