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

// dimensionLiveCmd prints the traffic that a running controller measures.
type dimensionLiveCmd struct {
	Address string        `arg:"" help:"Address of a controller, as HOST:PORT."`
	Within  time.Duration `help:"Time limit for the answer." default:"3s"`
	JSON    bool          `help:"Print one JSON object."`
}

// offeredTraffic is the traffic that a controller reports for one destination and class.
type offeredTraffic struct {
	Dest          int     `json:"dest"`
	Class         string  `json:"class"`
	Attempts      int     `json:"tries"`
	FirstAttempts int     `json:"first"`
	Lost          int     `json:"lost"`
	Known         bool    `json:"known"`
	Erlang        float64 `json:"erlang"`
	Low           float64 `json:"low"`
	High          float64 `json:"high"`
}

// parseOffered parses one line of a traffic audit (docs/protocol.md).
func parseOffered(line string) (offeredTraffic, error) {
	var offered offeredTraffic
	counts, erlang, ok := strings.Cut(line, " erlang=")
	if !ok {
		return offered, fmt.Errorf("%.80q reports no traffic", line)
	}
	if _, err := fmt.Sscanf(counts, "%d %s tries=%d first=%d lost=%d", &offered.Dest, &offered.Class, &offered.Attempts, &offered.FirstAttempts, &offered.Lost); err != nil {
		return offered, fmt.Errorf("%.80q: %w", line, err)
	}
	if erlang == "unknown" {
		return offered, nil
	}
	offered.Known = true
	if _, err := fmt.Sscanf(erlang, "%f %f %f", &offered.Erlang, &offered.Low, &offered.High); err != nil {
		return offered, fmt.Errorf("%.80q: %w", line, err)
	}
	return offered, nil
}

// Run executes the command.
func (c *dimensionLiveCmd) Run() error {
	conn, err := net.DialTimeout("tcp", c.Address, c.Within)
	if err != nil {
		return fmt.Errorf("dimension live: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(c.Within)); err != nil {
		return fmt.Errorf("dimension live: %w", err)
	}
	request := &signal.Message{ID: 1, Command: signal.AuditValue, Termination: "TRAFFIC"}
	if _, err := conn.Write(request.Append(nil)); err != nil {
		return fmt.Errorf("dimension live: send request to %s: %w", c.Address, err)
	}
	reader := signal.NewReader(conn, signal.Limits{MaxMessageBytes: 64 << 10})
	var reply *signal.Message
	for reply == nil || reply.Kind != signal.Reply || reply.ID != 1 {
		if reply, err = reader.Read(); err != nil {
			return fmt.Errorf("dimension live: read reply of %s: %w", c.Address, err)
		}
	}
	if reply.Code != 0 {
		return fmt.Errorf("dimension live: %s replied with error %d: %s", c.Address, reply.Code, reply.Text)
	}
	var rows []offeredTraffic
	for _, line := range reply.All("Offered") {
		offered, err := parseOffered(line)
		if err != nil {
			return fmt.Errorf("dimension live: %w", err)
		}
		rows = append(rows, offered)
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(map[string]any{"span": reply.Get("Span"), "offered": rows, "left": reply.Get("Left")}); err != nil {
			return fmt.Errorf("dimension live: %w", err)
		}
		return nil
	}
	t := newTable("Offered in " + reply.Get("Span"))
	t.AppendHeader(table.Row{"to", "class", "tries", "first", "lost", "erlang", "95 %"})
	for _, row := range rows {
		erlang, interval := "unknown", ""
		if row.Known {
			erlang, interval = fmt.Sprintf("%.2f", row.Erlang), fmt.Sprintf("%.2f to %.2f", row.Low, row.High)
		}
		t.AppendRow(table.Row{row.Dest, row.Class, row.Attempts, row.FirstAttempts, row.Lost, erlang, interval})
	}
	t.Render()
	return nil
}
