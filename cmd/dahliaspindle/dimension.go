package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"dahliaspindle/internal/collect"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/ipfix"
	"dahliaspindle/internal/loss"
	"dahliaspindle/internal/measure"
)

// dimensionCmd groups the commands that measure traffic and size trunk groups.
type dimensionCmd struct {
	Table   dimensionTableCmd   `cmd:"" help:"Print the traffic that trunk groups carry at a given loss, by the Erlang B formula."`
	Measure dimensionMeasureCmd `cmd:"" help:"Estimate the traffic offered between exchanges from flow records; redials count with their first attempt."`
	Live    dimensionLiveCmd    `cmd:"" help:"Print the traffic that the callers of a running controller offer."`
	Curve   dimensionCurveCmd   `cmd:"" help:"Store and print day curves of the offered traffic, from many files of flow records."`
	Plan    dimensionPlanCmd    `cmd:"" help:"Compute the circuits that trunk groups need for a target loss, compared with a lower bound and with proportional sizing."`
	Advise  dimensionAdviseCmd  `cmd:"" help:"Print the current and advised circuits of each trunk group, and what to buy or move first."`
	Prove   dimensionProveCmd   `cmd:"" help:"Plan, then simulate the plan with the routing module on many seeds. Exits with status 1 if a promised loss is refuted."`
}

// dimensionTableCmd prints a table of the Erlang B formula.
type dimensionTableCmd struct {
	Loss     float64 `help:"Share of calls lost." default:"0.01"`
	Circuits []int   `help:"Sizes of the trunk groups in circuits." default:"1,2,5,10,20,30,50,100"`
	JSON     bool    `help:"Print a JSON list."`
}

// tableRow is one row of the table.
type tableRow struct {
	Circuits int     `json:"circuits"`
	Erlang   float64 `json:"erlang"`
}

// Run executes the command.
func (c *dimensionTableCmd) Run() error {
	rows := make([]tableRow, 0, len(c.Circuits))
	for _, circuits := range c.Circuits {
		traffic, err := loss.MaxTraffic(circuits, c.Loss)
		if err != nil {
			return exitError{2, fmt.Errorf("dimension table: %w", err)}
		}
		rows = append(rows, tableRow{circuits, traffic})
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(rows); err != nil {
			return fmt.Errorf("dimension table: %w", err)
		}
		return nil
	}
	t := newTable(fmt.Sprintf("Traffic at a loss of %g", c.Loss))
	t.AppendHeader(table.Row{"circuits", "erlang", "per circuit"})
	for _, row := range rows {
		perCircuit := 0.0
		if row.Circuits > 0 {
			perCircuit = row.Erlang / float64(row.Circuits)
		}
		t.AppendRow(table.Row{row.Circuits, fmt.Sprintf("%.4g", row.Erlang), fmt.Sprintf("%.3f", perCircuit)})
	}
	t.Render()
	return nil
}

// dimensionMeasureCmd estimates the offered traffic from flow records.
type dimensionMeasureCmd struct {
	File     string        `arg:"" help:"IPFIX file of flow records." type:"existingfile"`
	Patience time.Duration `help:"An attempt within this time after a lost one of the same caller's number counts as its repeat." default:"9s"`
	Busy     time.Duration `help:"Only the busiest period of this length counts, the same for all pairs; 0: all time."`
	Loss     float64       `help:"Share of calls lost for which the circuits are computed." default:"0.01"`
	JSON     bool          `help:"Print one JSON object."`
}

// pairRow is one estimate with the circuits that it needs.
type pairRow struct {
	measure.Estimate
	ClassName string `json:"class_name"`
	Circuits  int    `json:"circuits"` // for the first attempts on a trunk group that carries only them
}

// trafficEstimate is the estimate from a file of flow records.
type trafficEstimate struct {
	*measure.Result
	classNames     map[uint8]string
	missingRecords uint64 // records that were folded into sums or dropped
	allRecords     uint64
}

// recordedCalls is the calls in a file of flow records, each of them once.
type recordedCalls struct {
	attempts       []measure.CallAttempt
	classNames     map[uint8]string
	missingRecords uint64 // records that were folded into sums or dropped
	allRecords     uint64
}

// readCalls reads the calls in a file of flow records.
func readCalls(file string) (*recordedCalls, error) {
	tally := collect.NewTally()
	if err := tally.AddFile(file); err != nil {
		return nil, exitError{2, err}
	}
	calls := &recordedCalls{classNames: map[uint8]string{}}
	seen := map[[2]uint64]bool{} // by incarnation and number, because a record may be received twice
	if err := readFlows(file, func(_ uint32, record *ipfix.Record) error {
		call, ok := flow.CallRecordOf(record)
		if !ok || call.Route == flow.RouteTransit { // a transit call is counted at its originating exchange
			return nil
		}
		incarnation, id, _ := flow.Identity(record)
		if key := [2]uint64{incarnation<<16 ^ uint64(uint32(call.Source)), id}; !seen[key] {
			seen[key] = true
			_, calls.classNames[call.Class], _ = flow.CallAttributes(record)
			calls.attempts = append(calls.attempts, measure.CallAttempt{Start: call.Start, Source: call.Source, Dest: call.Dest, Via: call.Via, Class: call.Class,
				Circuits: int(call.Circuits), Number: call.CalledNumber, MarkedRetry: call.Repeat, Lost: call.Outcome != flow.CallEnded && call.Outcome != flow.CallCut,
				Cut: call.Outcome == flow.CallCut, EstablishedFor: call.EstablishedFor, Incarnation: incarnation})
		}
		return nil
	}); err != nil {
		return nil, err
	}
	if len(calls.attempts) == 0 {
		return nil, exitError{2, fmt.Errorf("%s contains no calls", file)}
	}
	report := tally.Report()
	calls.missingRecords, calls.allRecords = report.Folded+report.Dropped, report.Counted
	return calls, nil
}

// measureFile estimates the offered traffic from a file of flow records.
func measureFile(file string, options measure.Options) (*trafficEstimate, error) {
	calls, err := readCalls(file)
	if err != nil {
		return nil, err
	}
	if calls.allRecords > 0 {
		options.MissingShare = min(float64(calls.missingRecords)/float64(calls.allRecords), 0.99)
	}
	return &trafficEstimate{measure.EstimateBatch(calls.attempts, options), calls.classNames, calls.missingRecords, calls.allRecords}, nil
}

// Run executes the command.
func (c *dimensionMeasureCmd) Run() error {
	estimate, err := measureFile(c.File, measure.Options{RetryWindow: c.Patience, BusyWindow: c.Busy})
	if err != nil {
		return err
	}
	var rows []pairRow
	for _, pair := range estimate.Pairs {
		row := pairRow{Estimate: pair, ClassName: estimate.classNames[pair.Class]}
		if pair.Known {
			circuits, err := loss.RequiredCircuits(pair.Erlang, c.Loss)
			if err != nil {
				return exitError{2, fmt.Errorf("dimension measure: %w", err)}
			}
			row.Circuits = circuits
		}
		rows = append(rows, row)
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(map[string]any{"span": (estimate.To - estimate.From).String(), "pairs": rows, "groups": estimate.Groups,
			"missing": estimate.missingRecords, "of": estimate.allRecords, "lives": estimate.Incarnations, "hot_tries": estimate.HotAttempts, "hot_numbers": len(estimate.HotNumbers), "unended": estimate.TailAttempts}); err != nil {
			return fmt.Errorf("dimension measure: %w", err)
		}
		return nil
	}
	t := newTable(fmt.Sprintf("Offered in %v", (estimate.To - estimate.From).Round(time.Millisecond)))
	t.AppendHeader(table.Row{"from", "to", "class", "attempts", "first", "lost", "erlang", "95 %", "erlang of all attempts", fmt.Sprintf("circuits at %g", c.Loss)})
	for _, row := range rows {
		erlang, interval, naive := "unknown", "", ""
		if row.Known {
			erlang, interval, naive = fmt.Sprintf("%.2f", row.Erlang), fmt.Sprintf("%.2f to %.2f", row.Low, row.High), fmt.Sprintf("%.2f", row.AllAttemptsErlang)
		}
		t.AppendRow(table.Row{row.Source, row.Dest, row.ClassName, row.Tries, row.First, row.Lost, erlang, interval, naive, row.Circuits})
	}
	t.Render()
	groups := newTable("Carried by trunk group, both directions")
	groups.AppendHeader(table.Row{"between", "direct", "via tandems", "mean occupied circuits"})
	for _, group := range estimate.Groups {
		groups.AppendRow(table.Row{fmt.Sprintf("%d and %d", group.A, group.B), fmt.Sprintf("%.2f", group.Direct), fmt.Sprintf("%.2f", group.Transit), fmt.Sprintf("%.2f", group.Direct+group.Transit)})
	}
	groups.Render()
	if estimate.missingRecords > 0 {
		fmt.Printf("%d of %d records were folded into sums or dropped; the others stand for them in the estimate\n", estimate.missingRecords, estimate.allRecords)
	}
	if estimate.HotAttempts > 0 {
		fmt.Printf("%d lost attempts for %d numbers with very many callers are left out: they were lost to busy lines, not to a lack of circuits\n", estimate.HotAttempts, len(estimate.HotNumbers))
	}
	if estimate.TailAttempts > 0 {
		fmt.Printf("%d calls at the ends of %d controller incarnations are left out: only the short calls of these periods had ended\n", estimate.TailAttempts, estimate.Incarnations)
	}
	return nil
}
