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

type dimensionCmd struct {
	Table   dimensionTableCmd   `cmd:"" help:"The traffic that groups carry at a loss, by Erlang's first formula."`
	Measure dimensionMeasureCmd `cmd:"" help:"The traffic that pairs offer, from flow records, with redials joined to their first try."`
	Live    dimensionLiveCmd    `cmd:"" help:"The traffic that a running controller's own callers offer."`
	Curve   dimensionCurveCmd   `cmd:"" help:"Day curves of offered traffic in a file of their own, from many files of flow records."`
	Plan    dimensionPlanCmd    `cmd:"" help:"The circuits that groups need for a loss, beside a bound and proportional sizing."`
	Advise  dimensionAdviseCmd  `cmd:"" help:"Group by group: what stands, what is advised, what to buy or move first."`
	Prove   dimensionProveCmd   `cmd:"" help:"Plan, then simulate the plan with the same decisions on many seeds. Exits 1 if a promise is refuted."`
}

type dimensionTableCmd struct {
	Loss     float64 `help:"Share of calls lost." default:"0.01"`
	Circuits []int   `help:"Groups." default:"1,2,5,10,20,30,50,100"`
	JSON     bool    `help:"Print a list."`
}

// tableRow is one line of the table.
type tableRow struct {
	Circuits int     `json:"circuits"`
	Erlang   float64 `json:"erlang"`
}

func (c *dimensionTableCmd) Run() error {
	rows := make([]tableRow, 0, len(c.Circuits))
	for _, n := range c.Circuits {
		a, err := loss.MaxTraffic(n, c.Loss)
		if err != nil {
			return exit{2, fmt.Errorf("dimension table: %w", err)}
		}
		rows = append(rows, tableRow{n, a})
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(rows); err != nil {
			return fmt.Errorf("dimension table: %w", err)
		}
		return nil
	}
	t := newTable(fmt.Sprintf("Traffic at a loss of %g", c.Loss))
	t.AppendHeader(table.Row{"circuits", "erlang", "a circuit"})
	for _, r := range rows {
		each := 0.0
		if r.Circuits > 0 {
			each = r.Erlang / float64(r.Circuits)
		}
		t.AppendRow(table.Row{r.Circuits, fmt.Sprintf("%.4g", r.Erlang), fmt.Sprintf("%.3f", each)})
	}
	t.Render()
	return nil
}

type dimensionMeasureCmd struct {
	File     string        `arg:"" help:"An IPFIX file of flow records." type:"existingfile"`
	Patience time.Duration `help:"A try so soon after a lost one of the same caller's number is its repeat." default:"9s"`
	Busy     time.Duration `help:"Only the busiest so long counts, the same for all pairs; 0: all time."`
	Loss     float64       `help:"Circuits are told for this share of calls lost." default:"0.01"`
	JSON     bool          `help:"Print one JSON object."`
}

// pairRow is one estimate with what it asks for.
type pairRow struct {
	measure.Estimate
	ClassName string `json:"class_name"`
	Circuits  int    `json:"circuits"` // for the first tries alone on a group of their own
}

// measured is what a file of flow records tells.
type measured struct {
	*measure.Result
	names   map[uint8]string // of classes
	missing uint64           // records that went into sums or were dropped
	of      uint64
}

// read is the calls of a file of flow records, each once.
type read struct {
	tries   []measure.CallAttempt
	names   map[uint8]string
	missing uint64
	of      uint64
}

// readTries reads a file of flow records.
func readTries(file string) (*read, error) {
	tally := collect.NewTally()
	if err := tally.AddFile(file); err != nil {
		return nil, exit{2, err}
	}
	m := &read{names: map[uint8]string{}}
	seen := map[[2]uint64]bool{} // by life and number: a record may have come twice
	if err := readFlows(file, func(_ uint32, r *ipfix.Record) error {
		k, ok := flow.CallRecordOf(r)
		if !ok || k.Route == flow.RouteTransit { // a call in transit is counted where it begins
			return nil
		}
		life, id, _ := flow.Identity(r)
		if key := [2]uint64{life<<16 ^ uint64(uint32(k.Source)), id}; !seen[key] {
			seen[key] = true
			_, m.names[k.Class], _ = flow.CallAttributes(r)
			m.tries = append(m.tries, measure.CallAttempt{Start: k.Start, Source: k.Source, Dest: k.Dest, Via: k.Via, Class: k.Class,
				Circuits: int(k.Circuits), Number: k.CalledNumber, MarkedRetry: k.Repeat, Lost: k.Outcome != flow.CallEnded && k.Outcome != flow.CallCut,
				Cut: k.Outcome == flow.CallCut, EstablishedFor: k.EstablishedFor, Incarnation: life})
		}
		return nil
	}); err != nil {
		return nil, err
	}
	if len(m.tries) == 0 {
		return nil, exit{2, fmt.Errorf("%s holds no call", file)}
	}
	rep := tally.Report()
	m.missing, m.of = rep.Folded+rep.Dropped, rep.Counted
	return m, nil
}

// measureFile estimates the traffic that a file of flow records tells of.
func measureFile(file string, o measure.Options) (*measured, error) {
	m, err := readTries(file)
	if err != nil {
		return nil, err
	}
	if m.of > 0 {
		o.MissingShare = min(float64(m.missing)/float64(m.of), 0.99)
	}
	return &measured{measure.EstimateBatch(m.tries, o), m.names, m.missing, m.of}, nil
}

func (c *dimensionMeasureCmd) Run() error {
	m, err := measureFile(c.File, measure.Options{RetryWindow: c.Patience, BusyWindow: c.Busy})
	if err != nil {
		return err
	}
	var rows []pairRow
	for _, x := range m.Pairs {
		row := pairRow{Estimate: x, ClassName: m.names[x.Class]}
		if x.Known {
			n, err := loss.RequiredCircuits(x.Erlang, c.Loss)
			if err != nil {
				return exit{2, fmt.Errorf("dimension measure: %w", err)}
			}
			row.Circuits = n
		}
		rows = append(rows, row)
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(map[string]any{"span": (m.To - m.From).String(), "pairs": rows, "groups": m.Groups,
			"missing": m.missing, "of": m.of, "lives": m.Incarnations, "hot_tries": m.HotAttempts, "hot_numbers": len(m.HotNumbers), "unended": m.TailAttempts}); err != nil {
			return fmt.Errorf("dimension measure: %w", err)
		}
		return nil
	}
	t := newTable(fmt.Sprintf("Offered in %v", (m.To - m.From).Round(time.Millisecond)))
	t.AppendHeader(table.Row{"from", "to", "class", "tries", "first", "lost", "erlang", "95 %", "tries by themselves", fmt.Sprintf("circuits at %g", c.Loss)})
	for _, r := range rows {
		erl, interval, naive := "unknown", "", ""
		if r.Known {
			erl, interval, naive = fmt.Sprintf("%.2f", r.Erlang), fmt.Sprintf("%.2f to %.2f", r.Low, r.High), fmt.Sprintf("%.2f", r.AllAttemptsErlang)
		}
		t.AppendRow(table.Row{r.Source, r.Dest, r.ClassName, r.Tries, r.First, r.Lost, erl, interval, naive, r.Circuits})
	}
	t.Render()
	g := newTable("Carried by group, both ways")
	g.AppendHeader(table.Row{"between", "direct", "over tandems", "circuits taken, on average"})
	for _, x := range m.Groups {
		g.AppendRow(table.Row{fmt.Sprintf("%d and %d", x.A, x.B), fmt.Sprintf("%.2f", x.Direct), fmt.Sprintf("%.2f", x.Transit), fmt.Sprintf("%.2f", x.Direct+x.Transit)})
	}
	g.Render()
	if m.missing > 0 {
		fmt.Printf("%d of %d records are missing here: they went into sums or were dropped; the rest stands for them\n", m.missing, m.of)
	}
	if m.HotAttempts > 0 {
		fmt.Printf("%d lost tries for %d numbers that very many call are left out: their lines are short, not circuits\n", m.HotAttempts, len(m.HotNumbers))
	}
	if m.TailAttempts > 0 {
		fmt.Printf("%d calls at the ends of %d lives of controllers are left out: of their like only the short have ended\n", m.TailAttempts, m.Incarnations)
	}
	return nil
}
