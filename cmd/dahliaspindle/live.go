package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"dahliaspindle/internal/signal"
)

type dimensionLiveCmd struct {
	Address string        `arg:"" help:"A controller's host:port."`
	Within  time.Duration `help:"It has so long to answer." default:"3s"`
	JSON    bool          `help:"Print one JSON object."`
}

// offeredLine is what a controller tells of one destination and class.
type offeredLine struct {
	Dest   int     `json:"dest"`
	Class  string  `json:"class"`
	Tries  int     `json:"tries"`
	First  int     `json:"first"`
	Lost   int     `json:"lost"`
	Known  bool    `json:"known"`
	Erlang float64 `json:"erlang"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// readOffered reads one line of an audit of traffic (docs/protocol.md).
func readOffered(line string) (offeredLine, error) {
	var o offeredLine
	head, erlang, ok := strings.Cut(line, " erlang=")
	if !ok {
		return o, fmt.Errorf("%.80q tells no traffic", line)
	}
	if _, err := fmt.Sscanf(head, "%d %s tries=%d first=%d lost=%d", &o.Dest, &o.Class, &o.Tries, &o.First, &o.Lost); err != nil {
		return o, fmt.Errorf("%.80q: %w", line, err)
	}
	if erlang == "unknown" {
		return o, nil
	}
	o.Known = true
	if _, err := fmt.Sscanf(erlang, "%f %f %f", &o.Erlang, &o.Low, &o.High); err != nil {
		return o, fmt.Errorf("%.80q: %w", line, err)
	}
	return o, nil
}

func (c *dimensionLiveCmd) Run() error {
	nc, err := net.DialTimeout("tcp", c.Address, c.Within)
	if err != nil {
		return fmt.Errorf("dimension live: %w", err)
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(c.Within)); err != nil {
		return fmt.Errorf("dimension live: %w", err)
	}
	ask := &signal.Message{ID: 1, Command: signal.AuditValue, Termination: "TRAFFIC"}
	if _, err := nc.Write(ask.Append(nil)); err != nil {
		return fmt.Errorf("dimension live: asking %s: %w", c.Address, err)
	}
	in := signal.NewReader(nc, signal.Limits{MaxMessageBytes: 64 << 10})
	var m *signal.Message
	for m == nil || m.Kind != signal.Reply || m.ID != 1 {
		if m, err = in.Read(); err != nil {
			return fmt.Errorf("dimension live: the answer of %s: %w", c.Address, err)
		}
	}
	if m.Code != 0 {
		return fmt.Errorf("dimension live: %s says %d %s", c.Address, m.Code, m.Text)
	}
	var all []offeredLine
	for _, line := range m.All("Offered") {
		o, err := readOffered(line)
		if err != nil {
			return fmt.Errorf("dimension live: %w", err)
		}
		all = append(all, o)
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(map[string]any{"span": m.Get("Span"), "offered": all, "left": m.Get("Left")}); err != nil {
			return fmt.Errorf("dimension live: %w", err)
		}
		return nil
	}
	t := newTable("Offered in " + m.Get("Span"))
	t.AppendHeader(table.Row{"to", "class", "tries", "first", "lost", "erlang", "95 %"})
	for _, o := range all {
		erlang, interval := "unknown", ""
		if o.Known {
			erlang, interval = fmt.Sprintf("%.2f", o.Erlang), fmt.Sprintf("%.2f to %.2f", o.Low, o.High)
		}
		t.AppendRow(table.Row{o.Dest, o.Class, o.Tries, o.First, o.Lost, erlang, interval})
	}
	t.Render()
	return nil
}
