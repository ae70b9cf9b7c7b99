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
	"dahliaspindle/internal/report"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/validation"
)

// planningOptions holds the options that plan, advise and prove have in common.
type planningOptions struct {
	Scenario  string             `arg:"" help:"Scenario file, or the name of a scenario that ships with the program: ${names}. The plan is made for its exchanges, trunk groups, classes and traffic."`
	Loss      float64            `help:"Maximum share of lost calls, for calls of one circuit; for wider calls it is multiplied by their number of circuits." default:"0.01"`
	Target    map[string]float64 `help:"Targets of single classes, as NAME=LOSS."`
	Hurt      float64            `help:"Maximum share of lost calls of a class while any one exchange or region link is out of service; 0: not checked."`
	Link      float64            `help:"Share of the circuits between two regions that one link carries." default:"0.5"`
	Growth    float64            `help:"Factor on the traffic." default:"1"`
	Module    int                `help:"Circuits per module; trunk groups are sized in whole modules." default:"1"`
	Exchanges int                `help:"Number of exchanges, in place of the scenario's."`
	Seed      uint64             `help:"Seed from which the fleet is drawn; 0: the scenario's own seed."`
	Load      float64            `help:"Load level, in place of the scenario's."`
	Flows     string             `help:"IPFIX file of flow records; where it gives an estimate, its traffic replaces the scenario's." type:"existingfile"`
	Busy      time.Duration      `help:"With --flows: only the busiest period of this length counts; 0: all time."`
	Networks  int                `help:"Maximum number of networks that the search solves." default:"400"`
	Within    time.Duration      `help:"Time limit of the search." default:"5m"`
	HTML      string             `help:"Write the report to this file as one HTML page." type:"path"`
	JSON      bool               `help:"Print one JSON object."`
}

// dimensionPlanCmd computes the circuits of the trunk groups.
type dimensionPlanCmd struct{ planningOptions }

// dimensionAdviseCmd lists what to buy or move first.
type dimensionAdviseCmd struct {
	planningOptions
	Buy  int `help:"Maximum number of modules to buy first." default:"3"`
	Move int `help:"Maximum number of modules to move after that." default:"3"`
}

// dimensionProveCmd simulates a plan.
type dimensionProveCmd struct {
	planningOptions
	Seeds  int           `help:"Number of simulated days." default:"20"`
	Length time.Duration `help:"Length of each day, in place of the scenario's."`
}

// planner is the state of one planning command.
type planner struct {
	planningOptions
	scenario *settings.Scenario
	task     *plan.Task
	report   *report.Report
	low      [][]float64 // offered traffic between exchanges, lower end of the 95 % interval
	high     [][]float64 // upper end
}

// newPlanner prepares the planning task from the scenario and the options.
func (c planningOptions) newPlanner() (*planner, error) {
	scenario, err := (&demoCmd{Scenario: c.Scenario}).scenario()
	if err != nil {
		return nil, exitError{2, err}
	}
	if c.Seed != 0 {
		scenario.Seed = c.Seed
	}
	if c.Exchanges != 0 {
		if c.Exchanges < 3 || c.Exchanges > network.MaxExchanges {
			return nil, exitError{2, fmt.Errorf("--exchanges must be between 3 and %d", network.MaxExchanges)}
		}
		scenario.Fleet.Exchanges = c.Exchanges
	}
	if c.Load != 0 {
		scenario.Load.Level = c.Load
	}
	if !(scenario.Load.Level > 0 && scenario.Load.Level <= 10) {
		return nil, exitError{2, errors.New("--load must be greater than 0 and at most 10")}
	}
	scenario.Load.Swing, scenario.Fleet.DriftPeriod, scenario.Troubles = 0, 0, nil // the plan is for an hour of constant traffic
	mesh, err := validation.ScenarioMesh(scenario)
	if err != nil {
		return nil, err
	}
	planner := &planner{planningOptions: c, scenario: scenario}
	planner.task = &plan.Task{Mesh: mesh, MaxFailureLoss: c.Hurt, Growth: c.Growth, ModuleSize: c.Module, LinkShare: c.Link, MaxSolves: c.Networks}
	known := map[string]bool{}
	for _, class := range scenario.Classes {
		known[class.Name] = true
		target, ok := c.Target[class.Name]
		if !ok {
			target = min(c.Loss*float64(class.Circuits), (1+c.Loss)/2)
		}
		planner.task.TargetLoss = append(planner.task.TargetLoss, target)
	}
	for name := range c.Target {
		if !known[name] {
			return nil, exitError{2, fmt.Errorf("--target: the scenario has no class %q", name)}
		}
	}
	for i := range scenario.Fleet.Exchanges {
		planner.task.Region = append(planner.task.Region, i%scenario.Fleet.Regions)
	}
	if err := planner.applyMeasuredTraffic(); err != nil {
		return nil, err
	}
	if err := planner.task.Validate(); err != nil {
		return nil, exitError{2, err}
	}
	return planner, nil
}

// applyMeasuredTraffic replaces the scenario's traffic by the estimates from flow
// records, where there are any.
func (p *planner) applyMeasuredTraffic() error {
	n := p.scenario.Fleet.Exchanges
	for range n {
		p.low, p.high = append(p.low, make([]float64, n)), append(p.high, make([]float64, n))
	}
	offered := p.task.Mesh.Offered
	for i := range n {
		for j := range n {
			for c, class := range p.task.Mesh.Classes {
				traffic := offered[i][j][c] * float64(class.Circuits)
				p.low[i][j] += traffic
				p.high[i][j] += traffic
			}
		}
	}
	if p.Flows == "" {
		return nil
	}
	patience := time.Duration(0)
	for _, class := range p.scenario.Classes {
		patience = max(patience, class.Patience)
	}
	estimate, err := measureFile(p.Flows, measure.Options{RetryWindow: patience, BusyWindow: p.Busy})
	if err != nil {
		return err
	}
	classIndex := map[string]int{}
	for c, class := range p.scenario.Classes {
		classIndex[class.Name] = c
	}
	for _, pair := range estimate.Pairs {
		c, ok := classIndex[estimate.classNames[pair.Class]]
		i, j := int(pair.Source), int(pair.Dest)
		if !ok || i < 0 || j < 0 || i >= n || j >= n || i == j {
			return exitError{2, fmt.Errorf("%s contains calls of class %q from exchange %d to %d, which are not in the scenario", p.Flows, estimate.classNames[pair.Class], i, j)}
		}
		if !pair.Known {
			continue
		}
		width := float64(p.task.Mesh.Classes[c].Circuits)
		p.low[i][j] += (pair.Low - offered[i][j][c]) * width
		p.high[i][j] += (pair.High - offered[i][j][c]) * width
		offered[i][j][c] = pair.Erlang
	}
	return nil
}

// plan makes the plan and its report.
func (p *planner) plan(ctx context.Context) (*plan.Plan, error) {
	task := p.task
	made, err := plan.Optimize(ctx, task)
	if errors.Is(err, plan.ErrNoPlan) {
		return nil, exitError{1, err}
	} else if err != nil {
		return nil, err
	}
	current, err := network.Solve(task.Mesh)
	if err != nil {
		return nil, err
	}
	grown := *task.Mesh
	grown.Circuits, grown.Offered = made.Circuits, make([][][]float64, len(made.Circuits))
	for i := range grown.Offered {
		for j := range grown.Offered {
			offered := make([]float64, len(grown.Classes))
			for c, traffic := range task.Mesh.Offered[i][j] {
				offered[c] = traffic * task.Growth
			}
			grown.Offered[i] = append(grown.Offered[i], offered)
		}
	}
	planned, err := network.Solve(&grown)
	if err != nil {
		return nil, err
	}
	result := &report.Report{Name: p.scenario.Name, Exchanges: len(made.Circuits), Growth: task.Growth, ModuleSize: task.ModuleSize, CircuitsAdvised: made.TotalCircuits,
		CostBound: made.CostBound, Cost: made.Cost, Gap: made.Gap(), WorstFailureLoss: made.WorstFailureLoss, WorstFailure: made.WorstFailure, Stopped: made.Stopped, Bistable: current.Bistable,
		Unsettled: !current.Converged || !current.FromFull.Converged}
	for c, class := range task.Mesh.Classes {
		result.Classes = append(result.Classes, report.Class{Name: class.Name, Target: task.TargetLoss[c], LossNow: current.LossByClass[c], PredictedLoss: made.PredictedLoss[c]})
	}
	for i := range made.Circuits {
		for j := i + 1; j < len(made.Circuits); j++ {
			pair := report.Pair{A: i, B: j, CircuitsNow: task.Mesh.Circuits[i][j], CircuitsAdvised: made.Circuits[i][j],
				Low: p.low[i][j] + p.low[j][i], High: p.high[i][j] + p.high[j][i]}
			lostCurrent, lostPlanned := 0.0, 0.0
			for c, class := range task.Mesh.Classes {
				for _, direction := range [][2]int{{i, j}, {j, i}} {
					traffic := task.Mesh.Offered[direction[0]][direction[1]][c] * float64(class.Circuits)
					pair.Offered += traffic
					lostCurrent += traffic * current.Loss[direction[0]][direction[1]][c]
					lostPlanned += traffic * planned.Loss[direction[0]][direction[1]][c]
				}
			}
			if pair.Offered > 0 {
				pair.LossNow, pair.PredictedLoss = lostCurrent/pair.Offered, lostPlanned/pair.Offered
			}
			result.CircuitsNow += pair.CircuitsNow
			result.Pairs = append(result.Pairs, pair)
		}
	}
	p.report = result
	return made, nil
}

// writeReport prints the report, with its pairs of exchanges if wanted, and writes the
// HTML page.
func (p *planner) writeReport(pairs bool) error {
	if p.HTML != "" {
		file, err := os.Create(p.HTML)
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		if err := errors.Join(report.HTML(file, p.report), file.Close()); err != nil {
			return err
		}
	}
	if p.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(p.report); err != nil {
			return fmt.Errorf("report: %w", err)
		}
		return nil
	}
	result := p.report
	percent := func(share float64) string { return fmt.Sprintf("%.2f %%", 100*share) }
	t := newTable(fmt.Sprintf("%s: %d exchanges, modules of %d", result.Name, result.Exchanges, result.ModuleSize))
	header := table.Row{"class", "target", "loss now", "promised"}
	if result.Seeds > 0 {
		header = append(header, fmt.Sprintf("simulated, %d seeds", result.Seeds), "95 %")
	}
	t.AppendHeader(header)
	for _, class := range result.Classes {
		row := table.Row{class.Name, percent(class.Target), percent(class.LossNow), percent(class.PredictedLoss)}
		if class.Simulated != nil {
			row = append(row, percent(class.Simulated.Loss), percent(class.Simulated.Low)+" to "+percent(class.Simulated.High))
		}
		t.AppendRow(row)
	}
	t.Render()
	if pairs {
		t := newTable("Trunk groups")
		t.AppendHeader(table.Row{"between", "offered", "95 %", "circuits now", "advised", "loss now", "promised"})
		for _, pair := range result.Pairs {
			t.AppendRow(table.Row{fmt.Sprintf("%d and %d", pair.A, pair.B), fmt.Sprintf("%.2f", pair.Offered), fmt.Sprintf("%.2f to %.2f", pair.Low, pair.High),
				pair.CircuitsNow, pair.CircuitsAdvised, percent(pair.LossNow), percent(pair.PredictedLoss)})
		}
		t.Render()
	}
	fmt.Printf("circuits: %d now, %d advised", result.CircuitsNow, result.CircuitsAdvised)
	if result.CircuitsProportional > 0 {
		fmt.Printf(", %d in proportion to the traffic", result.CircuitsProportional)
	}
	fmt.Printf("; cost %.0f, lower bound %.0f (%.0f %% above it)\n", result.Cost, result.CostBound, 100*result.Gap)
	if result.WorstFailure != "" {
		fmt.Printf("with %s out of service the worst class loses %s\n", result.WorstFailure, percent(result.WorstFailureLoss))
	}
	for i, move := range result.Moves {
		fmt.Printf("%d. %s: %.2f erlang lost afterwards\n", i+1, move.Action, move.LostTraffic)
	}
	if result.Bistable {
		fmt.Println("the current network has two stable states; the current losses are those of the better one")
	}
	if result.Unsettled {
		fmt.Println("the model found no stable state of the current network: it is at the transition between two states")
	}
	if result.Stopped {
		fmt.Println("the search was stopped before its end: a better plan may exist")
	}
	return nil
}

// contextWithLimit returns a context that ends on SIGTERM or SIGINT, or after a time.
func contextWithLimit(limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithTimeout(ctx, limit)
	return ctx, func() { cancel(); stop() }
}

// Run executes the command.
func (c *dimensionPlanCmd) Run() error {
	planner, err := c.newPlanner()
	if err != nil {
		return err
	}
	ctx, stop := contextWithLimit(c.Within)
	defer stop()
	if _, err := planner.plan(ctx); err != nil {
		return err
	}
	proportional, err := plan.Proportional(ctx, planner.task)
	if err == nil {
		planner.report.CircuitsProportional = proportional.TotalCircuits
	} else if !errors.Is(err, plan.ErrNoPlan) {
		return err
	}
	return planner.writeReport(true)
}

// Run executes the command.
func (c *dimensionAdviseCmd) Run() error {
	planner, err := c.newPlanner()
	if err != nil {
		return err
	}
	ctx, stop := contextWithLimit(c.Within)
	defer stop()
	if _, err := planner.plan(ctx); err != nil {
		return err
	}
	moves, err := plan.FirstMoves(ctx, planner.task, c.Buy, c.Move)
	if err != nil {
		return exitError{2, err}
	}
	for _, move := range moves {
		description := fmt.Sprintf("buy %d circuits between %d and %d", c.Module, move.To[1], move.To[0])
		if move.From[0] >= 0 {
			description = fmt.Sprintf("move %d circuits from between %d and %d to between %d and %d", c.Module, move.From[1], move.From[0], move.To[1], move.To[0])
		}
		planner.report.Moves = append(planner.report.Moves, report.Move{Action: description, LostTraffic: move.LostTraffic})
	}
	return planner.writeReport(true)
}

// Run executes the command.
func (c *dimensionProveCmd) Run() error {
	if c.Seeds < 2 || c.Seeds > 1000 {
		return exitError{2, errors.New("--seeds must be between 2 and 1000")}
	}
	planner, err := c.newPlanner()
	if err != nil {
		return err
	}
	if c.Growth != 1 || c.Flows != "" {
		return exitError{2, errors.New("prove simulates the scenario's own traffic: --growth and --flows can't be used (use --load)")}
	}
	if c.Length > 0 {
		planner.scenario.Length = c.Length
	}
	ctx, stop := contextWithLimit(c.Within)
	made, err := planner.plan(ctx)
	stop()
	if err != nil {
		return err
	}
	ctx, stop = contextWithLimit(24 * time.Hour)
	defer stop()
	simulated, err := validation.Simulate(ctx, planner.scenario, made.Circuits, c.Seeds)
	if err != nil {
		return exitError{2, err}
	}
	refuted := ""
	planner.report.Seeds = c.Seeds
	for i := range planner.report.Classes {
		class, loss := &planner.report.Classes[i], simulated.LossByClass[i]
		class.Simulated = &report.SimulatedLoss{Calls: simulated.Calls, Loss: loss.Mean, Low: max(loss.Low, 0), High: loss.High}
		if !loss.ConsistentWith(class.Target) {
			refuted = class.Name
		}
	}
	for i := range planner.report.Pairs {
		pair := &planner.report.Pairs[i]
		calls := simulated.Pairs[pair.A][pair.B].Calls + simulated.Pairs[pair.B][pair.A].Calls
		lost := simulated.Pairs[pair.A][pair.B].Lost + simulated.Pairs[pair.B][pair.A].Lost
		share := float64(lost) / float64(max(calls, 1))
		halfWidth := 1.96 * math.Sqrt(share*(1-share)/float64(max(calls, 1)))
		pair.Simulated = &report.SimulatedLoss{Calls: calls, Loss: share, Low: max(share-halfWidth, 0), High: min(share+halfWidth, 1)}
	}
	if err := planner.writeReport(false); err != nil {
		return err
	}
	if refuted != "" {
		return exitError{1, fmt.Errorf("class %s loses more than its target in simulation", refuted)}
	}
	return nil
}
