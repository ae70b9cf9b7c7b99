package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"dahliaspindle/internal/audit"
	"dahliaspindle/internal/collect"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/ipfix"
)

type flowsCmd struct {
	Collect flowsCollectCmd `cmd:"" help:"Collect flow records, as a stand-in that can do it badly."`
	Show    flowsShowCmd    `cmd:"" help:"Print the records of an IPFIX file."`
	Top     flowsTopCmd     `cmd:"" help:"The heaviest far ends, classes, outcomes or numbers."`
	Verify  flowsVerifyCmd  `cmd:"" help:"Add up records, sums and drops against the controllers' counts, and against a capture."`
}

type flowsCollectCmd struct {
	Listen string        `help:"HOST:PORT, for TCP and UDP." default:"127.0.0.1:4739"`
	Out    string        `help:"Keep what comes in this IPFIX file." type:"path"`
	For    time.Duration `help:"End after this; 0: at a signal." default:"0s"`
	Refuse bool          `help:"Close connections as they come."`
	Stop   bool          `help:"Accept and never read."`
	Reset  bool          `help:"Reset each connection after one message."`
	Late   time.Duration `help:"Wait before each message."`
	JSON   bool          `help:"Print one JSON object."`
}

func (c *flowsCollectCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	col, err := collect.New(c.Out)
	if err != nil {
		return err
	}
	col.Faults.RefuseConnections.Store(c.Refuse)
	col.Faults.StopReading.Store(c.Stop)
	col.Faults.ResetEach.Store(c.Reset)
	col.Faults.ReadDelay.Store(int64(c.Late))
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	pc, err := net.ListenPacket("udp", ln.Addr().String())
	if err != nil {
		return errors.Join(fmt.Errorf("collector: %w", err), ln.Close())
	}
	fmt.Fprintln(os.Stderr, "collecting on", ln.Addr())
	col.Run(ctx, ln, pc)
	r := col.Report()
	if err := col.Close(); err != nil {
		return err
	}
	return printFlows(r, c.JSON)
}

func printFlows(r *collect.Report, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return fmt.Errorf("flows: %w", err)
		}
		return nil
	}
	type key struct{ kind, outcome string }
	sums := map[key]*collect.ReportLine{}
	var order []key
	for _, l := range r.Lines {
		k := key{l.Kind, l.Outcome}
		if sums[k] == nil {
			sums[k] = &collect.ReportLine{Kind: l.Kind, Outcome: l.Outcome}
			order = append(order, k)
		}
		s := sums[k]
		s.Counted += l.Counted
		s.Received += l.Received
		s.Folded += l.Folded
		s.Dropped += l.Dropped
		s.Difference += l.Difference
	}
	t := newTable("Flow records of controllers that have ended")
	t.AppendHeader(table.Row{"", "outcome", "counted", "received", "in sums", "dropped", "difference"})
	for _, k := range order {
		s := sums[k]
		t.AppendRow(table.Row{s.Kind, s.Outcome, s.Counted, s.Received, s.Folded, s.Dropped, s.Difference})
	}
	t.Render()
	fmt.Printf("difference %d; %d came again and were marked, %d twice unmarked, %d missed by sequence numbers\n", r.Difference, r.Resent, r.Duplicates, r.SequenceGaps)
	if r.Unfinished > 0 || r.UnknownSets > 0 || r.Unreadable > 0 {
		fmt.Printf("%d controllers run yet or were killed, with %d records; %d sets without a template; %d messages that can't be read\n",
			r.Unfinished, r.OrphanRecords, r.UnknownSets, r.Unreadable)
	}
	return nil
}

type flowsShowCmd struct {
	File string `arg:"" help:"An IPFIX file." type:"existingfile"`
	JSON bool   `help:"One JSON object a record."`
	Most int    `help:"Records, at the most; 0: all." default:"0"`
}

func (c *flowsShowCmd) Run() error {
	n := 0
	t := newTable(c.File)
	e := json.NewEncoder(os.Stdout)
	var head []string
	err := readFlows(c.File, func(domain uint32, r *ipfix.Record) error {
		it, ok := flow.ItemOf(r)
		if !ok || c.Most > 0 && n >= c.Most {
			return nil
		}
		n++
		row := flow.Describe(r, it)
		if c.JSON {
			m := map[string]string{"controller": strconv.Itoa(int(domain))}
			for _, f := range row {
				m[f[0]] = f[1]
			}
			return e.Encode(m)
		}
		if head == nil {
			head = []string{"controller", "record", "what"}
			t.AppendHeader(table.Row{"controller", "record", "what"})
		}
		var words []string
		for _, f := range row[1:] {
			words = append(words, f[0]+" "+f[1])
		}
		t.AppendRow(table.Row{domain, row[0][1], strings.Join(words, ", ")})
		return nil
	})
	if !c.JSON {
		t.Render()
		fmt.Println(n, "records")
	}
	return err
}

// readFlows hands out the records of an IPFIX file.
func readFlows(path string, each func(domain uint32, r *ipfix.Record) error) error {
	f, err := os.Open(path)
	if err != nil {
		return exitError{2, fmt.Errorf("flows: %w", err)}
	}
	defer f.Close()
	d := ipfix.NewDecoder(flow.Elements()...)
	if err := collect.ForEachMessage(f, func(b []byte) error {
		m, err := d.Decode(b)
		if err != nil {
			return err
		}
		for i := range m.Records {
			if err := each(m.Domain, &m.Records[i]); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return exitError{2, fmt.Errorf("flows: %s: %w", path, err)}
	}
	return nil
}

type flowsTopCmd struct {
	File string `arg:"" help:"An IPFIX file." type:"existingfile"`
	By   string `help:"${enum}" enum:"far,class,outcome,number" default:"far"`
	K    int    `help:"So many." default:"10"`
	Size int    `help:"Keys kept: of n records no count is too high by more than n/size." default:"1024"`
	JSON bool   `help:"Print one JSON object."`
}

func (c *flowsTopCmd) Run() error {
	s := collect.NewSketch(c.Size)
	if err := readFlows(c.File, func(_ uint32, r *ipfix.Record) error {
		it, ok := flow.ItemOf(r)
		if !ok || it.RecordKind != flow.KindCall || !it.HasRecords() {
			return nil
		}
		dest, class, hash := flow.CallAttributes(r)
		key := map[string]string{"far": strconv.Itoa(int(dest)), "class": class, "outcome": it.Outcome.String(),
			"number": strconv.FormatUint(hash, 16)}[c.By]
		if key != "" && (c.By != "number" || it.Kind == flow.ItemCall) {
			s.Add(key, it.RecordCount)
		}
		return nil
	}); err != nil {
		return err
	}
	top, bound := s.Top(c.K)
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(map[string]any{"by": c.By, "top": top, "error_bound": bound}); err != nil {
			return fmt.Errorf("flows: %w", err)
		}
		return nil
	}
	t := newTable("Calls by " + c.By)
	t.AppendHeader(table.Row{c.By, "calls", "too high by, at the most"})
	for _, x := range top {
		t.AppendRow(table.Row{x.Key, x.Count, x.MaxError})
	}
	t.Render()
	fmt.Printf("no count is too high by more than %d\n", bound)
	return nil
}

type flowsVerifyCmd struct {
	Files   []string `arg:"" help:"IPFIX files of one or more collectors' runs." type:"existingfile"`
	Capture string   `help:"Hold the controllers' counts against this capture too." type:"path"`
	JSON    bool     `help:"Print one JSON object."`
}

func (c *flowsVerifyCmd) Run() error {
	t := collect.NewTally()
	for _, f := range c.Files {
		if err := t.AddFile(f); err != nil {
			return exitError{2, err}
		}
	}
	r := t.Report()
	if err := printFlows(r, c.JSON); err != nil {
		return err
	}
	var bad []error
	if !r.OK() {
		bad = append(bad, errors.New("what was counted is not all accounted for"))
	}
	if c.Capture != "" {
		rep, err := audit.CheckPath(c.Capture)
		if err != nil {
			return exitError{2, err}
		}
		for _, line := range against(r, rep) {
			bad = append(bad, errors.New(line))
		}
	}
	if len(bad) > 0 {
		return exitError{1, errors.Join(bad...)}
	}
	return nil
}

// against holds the calls that controllers counted against those that a capture
// shows, for controllers that were not killed.
func against(r *collect.Report, rep *audit.Report) (bad []string) {
	counted := map[string]uint64{}
	for _, l := range r.Lines {
		if l.Kind == flow.KindCall.String() {
			counted[fmt.Sprint("controller ", l.Domain)] += l.Counted
		}
	}
	for _, o := range rep.Controllers {
		if n := counted[o.Controller]; !o.Killed && n != uint64(o.Accepted) {
			bad = append(bad, fmt.Sprintf("%s: the capture shows %d calls taken, the records tell of %d", o.Controller, o.Accepted, n))
		}
	}
	return bad
}
