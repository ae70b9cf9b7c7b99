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

// flowsCmd groups the commands for flow records.
type flowsCmd struct {
	Collect flowsCollectCmd `cmd:"" help:"Run a test collector of flow records that can inject faults."`
	Show    flowsShowCmd    `cmd:"" help:"Print the records of an IPFIX file."`
	Top     flowsTopCmd     `cmd:"" help:"Print the most frequent peer exchanges, classes, outcomes or numbers."`
	Verify  flowsVerifyCmd  `cmd:"" help:"Compare records, sums and drops with the controllers' counts, and with a capture."`
}

// flowsCollectCmd runs a test collector.
type flowsCollectCmd struct {
	Listen string        `help:"Listen address for TCP and UDP, as HOST:PORT." default:"127.0.0.1:4739"`
	Out    string        `help:"Write the received messages to this IPFIX file." type:"path"`
	For    time.Duration `help:"Stop after this time; 0: on a signal." default:"0s"`
	Refuse bool          `help:"Close each connection as soon as it is accepted."`
	Stop   bool          `help:"Accept connections but never read."`
	Reset  bool          `help:"Reset each connection after one message."`
	Late   time.Duration `help:"Delay before each message is read."`
	JSON   bool          `help:"Print one JSON object."`
}

// Run executes the command.
func (c *flowsCollectCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	collector, err := collect.New(c.Out)
	if err != nil {
		return err
	}
	collector.Faults.RefuseConnections.Store(c.Refuse)
	collector.Faults.StopReading.Store(c.Stop)
	collector.Faults.ResetEach.Store(c.Reset)
	collector.Faults.ReadDelay.Store(int64(c.Late))
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	packetConn, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		return errors.Join(fmt.Errorf("collector: %w", err), listener.Close())
	}
	fmt.Fprintln(os.Stderr, "collecting on", listener.Addr())
	collector.Run(ctx, listener, packetConn)
	report := collector.Report()
	if err := collector.Close(); err != nil {
		return err
	}
	return printFlows(report, c.JSON)
}

// printFlows prints the comparison of counted and received records.
func printFlows(report *collect.Report, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return fmt.Errorf("flows: %w", err)
		}
		return nil
	}
	type lineKey struct{ kind, outcome string }
	sums := map[lineKey]*collect.ReportLine{}
	var order []lineKey
	for _, line := range report.Lines {
		key := lineKey{line.Kind, line.Outcome}
		if sums[key] == nil {
			sums[key] = &collect.ReportLine{Kind: line.Kind, Outcome: line.Outcome}
			order = append(order, key)
		}
		sum := sums[key]
		sum.Counted += line.Counted
		sum.Received += line.Received
		sum.Folded += line.Folded
		sum.Dropped += line.Dropped
		sum.Difference += line.Difference
	}
	t := newTable("Flow records of controllers that have ended")
	t.AppendHeader(table.Row{"", "outcome", "counted", "received", "in sums", "dropped", "difference"})
	for _, key := range order {
		sum := sums[key]
		t.AppendRow(table.Row{sum.Kind, sum.Outcome, sum.Counted, sum.Received, sum.Folded, sum.Dropped, sum.Difference})
	}
	t.Render()
	fmt.Printf("difference %d; %d resent with a mark, %d duplicates without a mark, %d missing by sequence numbers\n", report.Difference, report.Resent, report.Duplicates, report.SequenceGaps)
	if report.Unfinished > 0 || report.UnknownSets > 0 || report.Unreadable > 0 {
		fmt.Printf("%d controllers still running or killed, with %d records; %d sets without a template; %d unreadable messages\n",
			report.Unfinished, report.OrphanRecords, report.UnknownSets, report.Unreadable)
	}
	return nil
}

// flowsShowCmd prints the records of a file.
type flowsShowCmd struct {
	File string `arg:"" help:"IPFIX file." type:"existingfile"`
	JSON bool   `help:"Print one JSON object per record."`
	Most int    `help:"Maximum number of records; 0: all." default:"0"`
}

// Run executes the command.
func (c *flowsShowCmd) Run() error {
	records := 0
	t := newTable(c.File)
	encoder := json.NewEncoder(os.Stdout)
	var header []string
	err := readFlows(c.File, func(domain uint32, record *ipfix.Record) error {
		item, ok := flow.ItemOf(record)
		if !ok || c.Most > 0 && records >= c.Most {
			return nil
		}
		records++
		row := flow.Describe(record, item)
		if c.JSON {
			object := map[string]string{"controller": strconv.Itoa(int(domain))}
			for _, field := range row {
				object[field[0]] = field[1]
			}
			return encoder.Encode(object)
		}
		if header == nil {
			header = []string{"controller", "record", "what"}
			t.AppendHeader(table.Row{"controller", "record", "what"})
		}
		var fields []string
		for _, field := range row[1:] {
			fields = append(fields, field[0]+" "+field[1])
		}
		t.AppendRow(table.Row{domain, row[0][1], strings.Join(fields, ", ")})
		return nil
	})
	if !c.JSON {
		t.Render()
		fmt.Println(records, "records")
	}
	return err
}

// readFlows calls each for the records of an IPFIX file.
func readFlows(path string, each func(domain uint32, record *ipfix.Record) error) error {
	file, err := os.Open(path)
	if err != nil {
		return exitError{2, fmt.Errorf("flows: %w", err)}
	}
	defer file.Close()
	decoder := ipfix.NewDecoder(flow.Elements()...)
	if err := collect.ForEachMessage(file, func(encoded []byte) error {
		message, err := decoder.Decode(encoded)
		if err != nil {
			return err
		}
		for i := range message.Records {
			if err := each(message.Domain, &message.Records[i]); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return exitError{2, fmt.Errorf("flows: %s: %w", path, err)}
	}
	return nil
}

// flowsTopCmd prints the most frequent keys of calls.
type flowsTopCmd struct {
	File string `arg:"" help:"IPFIX file." type:"existingfile"`
	By   string `help:"Key to count by: ${enum}." enum:"far,class,outcome,number" default:"far"`
	K    int    `help:"Number of keys to print." default:"10"`
	Size int    `help:"Number of keys kept in memory: with n records, no count is too high by more than n/size." default:"1024"`
	JSON bool   `help:"Print one JSON object."`
}

// Run executes the command.
func (c *flowsTopCmd) Run() error {
	sketch := collect.NewSketch(c.Size)
	if err := readFlows(c.File, func(_ uint32, record *ipfix.Record) error {
		item, ok := flow.ItemOf(record)
		if !ok || item.RecordKind != flow.KindCall || !item.HasRecords() {
			return nil
		}
		dest, class, hash := flow.CallAttributes(record)
		key := map[string]string{"far": strconv.Itoa(int(dest)), "class": class, "outcome": item.Outcome.String(),
			"number": strconv.FormatUint(hash, 16)}[c.By]
		if key != "" && (c.By != "number" || item.Kind == flow.ItemCall) {
			sketch.Add(key, item.RecordCount)
		}
		return nil
	}); err != nil {
		return err
	}
	top, bound := sketch.Top(c.K)
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(map[string]any{"by": c.By, "top": top, "error_bound": bound}); err != nil {
			return fmt.Errorf("flows: %w", err)
		}
		return nil
	}
	t := newTable("Calls by " + c.By)
	t.AppendHeader(table.Row{c.By, "calls", "maximum error"})
	for _, entry := range top {
		t.AppendRow(table.Row{entry.Key, entry.Count, entry.MaxError})
	}
	t.Render()
	fmt.Printf("no count is too high by more than %d\n", bound)
	return nil
}

// flowsVerifyCmd compares records with the counts of the controllers and of a capture.
type flowsVerifyCmd struct {
	Files   []string `arg:"" help:"IPFIX files of one or more collectors." type:"existingfile"`
	Capture string   `help:"Also compare the controllers' counts with this capture." type:"path"`
	JSON    bool     `help:"Print one JSON object."`
}

// Run executes the command.
func (c *flowsVerifyCmd) Run() error {
	tally := collect.NewTally()
	for _, file := range c.Files {
		if err := tally.AddFile(file); err != nil {
			return exitError{2, err}
		}
	}
	report := tally.Report()
	if err := printFlows(report, c.JSON); err != nil {
		return err
	}
	var failures []error
	if !report.OK() {
		failures = append(failures, errors.New("not all counted records are accounted for"))
	}
	if c.Capture != "" {
		audited, err := audit.CheckPath(c.Capture)
		if err != nil {
			return exitError{2, err}
		}
		for _, difference := range compareWithCapture(report, audited) {
			failures = append(failures, errors.New(difference))
		}
	}
	if len(failures) > 0 {
		return exitError{1, errors.Join(failures...)}
	}
	return nil
}

// compareWithCapture compares the calls that controllers counted with those that a
// capture shows, for controllers that were not killed. It returns the differences.
func compareWithCapture(report *collect.Report, audited *audit.Report) (differences []string) {
	counted := map[string]uint64{}
	for _, line := range report.Lines {
		if line.Kind == flow.KindCall.String() {
			counted[fmt.Sprint("controller ", line.Domain)] += line.Counted
		}
	}
	for _, controller := range audited.Controllers {
		if n := counted[controller.Controller]; !controller.Killed && n != uint64(controller.Accepted) {
			differences = append(differences, fmt.Sprintf("%s: the capture shows %d accepted calls, the records count %d", controller.Controller, controller.Accepted, n))
		}
	}
	return differences
}
