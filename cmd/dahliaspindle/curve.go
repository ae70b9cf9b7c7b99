package main

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"dahliaspindle/internal/curve"
	"dahliaspindle/internal/measure"
)

// dimensionCurveCmd stores and prints day curves of the offered traffic.
type dimensionCurveCmd struct {
	Store    string        `arg:"" help:"File of the curves; created if it does not exist." type:"path"`
	Add      []string      `help:"IPFIX files of flow records to add first. A file that was added before is reported and skipped." type:"existingfile"`
	Patience time.Duration `help:"An attempt within this time after a lost one of the same caller's number counts as its repeat." default:"9s"`
	Step     string        `help:"Slot length: ${enum}." enum:"15m,1h,24h" default:"1h"`
	Last     time.Duration `help:"Only this time before the newest slot; 0: all."`
	From     int           `help:"Only from this exchange; -1: all." default:"-1"`
	To       int           `help:"Only to this exchange; -1: all." default:"-1"`
	Busiest  bool          `help:"Only the busiest slot of each day, for all pairs together."`
	JSON     bool          `help:"Print one JSON object."`
}

// hashFile returns the SHA-256 hash of a file.
func hashFile(path string) (sum [sha256.Size]byte, err error) {
	file, err := os.Open(path)
	if err != nil {
		return sum, err
	}
	defer file.Close()
	hash := sha256.New()
	if _, err := io.Copy(hash, file); err != nil {
		return sum, fmt.Errorf("read %s: %w", path, err)
	}
	return [sha256.Size]byte(hash.Sum(nil)), nil
}

// Run executes the command.
func (c *dimensionCurveCmd) Run() (err error) {
	store, err := curve.Open(c.Store)
	if err != nil {
		return exitError{2, err}
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	for _, path := range c.Add {
		sum, err := hashFile(path)
		if err != nil {
			return exitError{2, err}
		}
		calls, err := readCalls(path)
		if err != nil {
			return err
		}
		switch err := store.Add(sum, calls.attempts, measure.Options{RetryWindow: c.Patience}, calls.classNames); {
		case errors.Is(err, curve.ErrDuplicate):
			fmt.Fprintf(os.Stderr, "%s: %v\n", path, curve.ErrDuplicate)
		case err != nil:
			return exitError{2, fmt.Errorf("%s: %w", path, err)}
		}
	}
	step, err := time.ParseDuration(c.Step)
	if err != nil {
		return exitError{2, err}
	}
	lines, err := store.ReadSeries(step, 0, math.MaxInt64, func(key curve.Key) bool {
		return (c.From < 0 || int(key.Source) == c.From) && (c.To < 0 || int(key.Dest) == c.To)
	})
	if err != nil {
		return err
	}
	newest := time.Duration(0)
	for _, line := range lines {
		newest = max(newest, line.Slots[len(line.Slots)-1].Begin)
	}
	if c.JSON {
		return c.json(lines, newest)
	}
	formatTime := func(at time.Duration) string { return time.Unix(0, int64(at)).UTC().Format("2006-01-02 15:04") }
	if c.Busiest {
		t := newTable("Busiest " + c.Step + " of each day (UTC), all pairs together")
		t.AppendHeader(table.Row{"begin", "first attempts", "lost attempts"})
		for _, slot := range curve.BusiestSlots(lines) {
			t.AppendRow(table.Row{formatTime(slot.Begin), slot.FirstAttempts, slot.Lost})
		}
		t.Render()
		return nil
	}
	t := newTable("Offered by " + c.Step + " (UTC)")
	t.AppendHeader(table.Row{"from", "to", "class", "begin", "measured", "attempts", "first", "lost", "erlang"})
	for _, line := range lines {
		for i, slot := range line.Slots {
			if c.Last > 0 && slot.Begin < newest-c.Last {
				continue
			}
			if i > 0 && slot.Begin > line.Slots[i-1].Begin+step {
				t.AppendRow(table.Row{line.Source, line.Dest, line.Class, formatTime(line.Slots[i-1].Begin + step), "not measured"})
			}
			erlang := "unknown"
			if traffic, ok := slot.Erlang(); ok {
				erlang = fmt.Sprintf("%.2f", traffic)
			}
			t.AppendRow(table.Row{line.Source, line.Dest, line.Class, formatTime(slot.Begin), time.Duration(slot.ObservedSeconds * 1e9).Round(time.Second), slot.Attempts, slot.FirstAttempts, slot.Lost, erlang})
		}
	}
	t.Render()
	return nil
}

// json prints the slots as JSON. Slots without a measurement are left out.
func (c *dimensionCurveCmd) json(lines []curve.Series, newest time.Duration) error {
	type slot struct {
		Begin          time.Time `json:"begin"`
		WatchedSeconds float64   `json:"watched_s"`
		Attempts       int       `json:"tries"`
		FirstAttempts  int       `json:"first"`
		Lost           int       `json:"lost"`
		Erlang         *float64  `json:"erlang"`
	}
	type line struct {
		From  int32  `json:"from"`
		To    int32  `json:"to"`
		Class string `json:"class"`
		Slots []slot `json:"slots"`
	}
	output := []line{}
	for _, source := range lines {
		converted := line{From: source.Source, To: source.Dest, Class: source.Class}
		for _, measured := range source.Slots {
			if c.Last > 0 && measured.Begin < newest-c.Last {
				continue
			}
			encoded := slot{Begin: time.Unix(0, int64(measured.Begin)).UTC(), WatchedSeconds: measured.ObservedSeconds, Attempts: measured.Attempts, FirstAttempts: measured.FirstAttempts, Lost: measured.Lost}
			if erlang, ok := measured.Erlang(); ok {
				encoded.Erlang = &erlang
			}
			converted.Slots = append(converted.Slots, encoded)
		}
		output = append(output, converted)
	}
	if err := json.NewEncoder(os.Stdout).Encode(map[string]any{"step": c.Step, "lines": output}); err != nil {
		return fmt.Errorf("dimension curve: %w", err)
	}
	return nil
}
