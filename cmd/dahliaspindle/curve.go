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

type dimensionCurveCmd struct {
	Store    string        `arg:"" help:"The curve's file; made if it is not there." type:"path"`
	Add      []string      `help:"IPFIX files of flow records to add first. One that was added before is told and left out." type:"existingfile"`
	Patience time.Duration `help:"A try so soon after a lost one of the same caller's number is its repeat." default:"9s"`
	Step     string        `help:"Slots of: ${enum}." enum:"15m,1h,24h" default:"1h"`
	Last     time.Duration `help:"Only so long before the newest slot; 0: all."`
	From     int           `help:"Only from this exchange; -1: all." default:"-1"`
	To       int           `help:"Only to this exchange; -1: all." default:"-1"`
	Busiest  bool          `help:"Only each day's busiest slot, all pairs together."`
	JSON     bool          `help:"Print one JSON object."`
}

func hashOf(path string) (sum [sha256.Size]byte, err error) {
	f, err := os.Open(path)
	if err != nil {
		return sum, err
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return sum, fmt.Errorf("reading %s: %w", path, err)
	}
	return [sha256.Size]byte(h.Sum(nil)), nil
}

func (c *dimensionCurveCmd) Run() (err error) {
	s, err := curve.Open(c.Store)
	if err != nil {
		return exit{2, err}
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	for _, path := range c.Add {
		sum, err := hashOf(path)
		if err != nil {
			return exit{2, err}
		}
		m, err := readTries(path)
		if err != nil {
			return err
		}
		switch err := s.Add(sum, m.tries, measure.Options{RetryWindow: c.Patience}, m.names); {
		case errors.Is(err, curve.ErrDuplicate):
			fmt.Fprintf(os.Stderr, "%s: %v\n", path, curve.ErrDuplicate)
		case err != nil:
			return exit{2, fmt.Errorf("%s: %w", path, err)}
		}
	}
	step, err := time.ParseDuration(c.Step)
	if err != nil {
		return exit{2, err}
	}
	lines, err := s.ReadSeries(step, 0, math.MaxInt64, func(k curve.Key) bool {
		return (c.From < 0 || int(k.Source) == c.From) && (c.To < 0 || int(k.Dest) == c.To)
	})
	if err != nil {
		return err
	}
	newest := time.Duration(0)
	for _, l := range lines {
		newest = max(newest, l.Slots[len(l.Slots)-1].Begin)
	}
	if c.JSON {
		return c.json(lines, newest)
	}
	day := func(at time.Duration) string { return time.Unix(0, int64(at)).UTC().Format("2006-01-02 15:04") }
	if c.Busiest {
		t := newTable("Busiest " + c.Step + " of each day (UTC), all together")
		t.AppendHeader(table.Row{"begin", "first tries", "lost tries"})
		for _, x := range curve.BusiestSlots(lines) {
			t.AppendRow(table.Row{day(x.Begin), x.FirstAttempts, x.Lost})
		}
		t.Render()
		return nil
	}
	t := newTable("Offered by " + c.Step + " (UTC)")
	t.AppendHeader(table.Row{"from", "to", "class", "begin", "watched", "tries", "first", "lost", "erlang"})
	for _, l := range lines {
		for i, x := range l.Slots {
			if c.Last > 0 && x.Begin < newest-c.Last {
				continue
			}
			if i > 0 && x.Begin > l.Slots[i-1].Begin+step {
				t.AppendRow(table.Row{l.Source, l.Dest, l.Class, day(l.Slots[i-1].Begin + step), "nobody watched"})
			}
			erlang := "unknown"
			if e, ok := x.Erlang(); ok {
				erlang = fmt.Sprintf("%.2f", e)
			}
			t.AppendRow(table.Row{l.Source, l.Dest, l.Class, day(x.Begin), time.Duration(x.ObservedSeconds * 1e9).Round(time.Second), x.Attempts, x.FirstAttempts, x.Lost, erlang})
		}
	}
	t.Render()
	return nil
}

// json prints the slots; one that nobody watched is not there.
func (c *dimensionCurveCmd) json(lines []curve.Series, newest time.Duration) error {
	type slot struct {
		Begin   time.Time `json:"begin"`
		Watched float64   `json:"watched_s"`
		Tries   int       `json:"tries"`
		First   int       `json:"first"`
		Lost    int       `json:"lost"`
		Erlang  *float64  `json:"erlang"`
	}
	type line struct {
		From  int32  `json:"from"`
		To    int32  `json:"to"`
		Class string `json:"class"`
		Slots []slot `json:"slots"`
	}
	all := []line{}
	for _, l := range lines {
		x := line{From: l.Source, To: l.Dest, Class: l.Class}
		for _, s := range l.Slots {
			if c.Last > 0 && s.Begin < newest-c.Last {
				continue
			}
			o := slot{Begin: time.Unix(0, int64(s.Begin)).UTC(), Watched: s.ObservedSeconds, Tries: s.Attempts, First: s.FirstAttempts, Lost: s.Lost}
			if e, ok := s.Erlang(); ok {
				o.Erlang = &e
			}
			x.Slots = append(x.Slots, o)
		}
		all = append(all, x)
	}
	if err := json.NewEncoder(os.Stdout).Encode(map[string]any{"step": c.Step, "lines": all}); err != nil {
		return fmt.Errorf("dimension curve: %w", err)
	}
	return nil
}
