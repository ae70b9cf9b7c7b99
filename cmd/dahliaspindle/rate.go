package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"dahliaspindle/internal/daemon"
	"dahliaspindle/internal/rate"
)

type rateCmd struct {
	Rates  []float64     `help:"Calls a second, rising." default:"1000,2000,4000,6800,8000,10000,12000,14000,17000,20000,25000,30000,40000,50000"`
	Each   time.Duration `help:"Time at each." default:"3s"`
	Bound  time.Duration `help:"A rate is good while p99 stays within this." default:"5ms"`
	Export bool          `help:"Beside it a controller that exports flow records to a collector that never reads."`
	JSON   bool          `help:"Print one JSON object."`
}

func (c *rateCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	exe, err := os.Executable()
	if err != nil {
		return fmt.Errorf("rate: %w", err)
	}
	dir, err := os.MkdirTemp("", "dahliaspindle-rate-")
	if err != nil {
		return fmt.Errorf("rate: %w", err)
	}
	defer os.RemoveAll(dir)
	t := newTable("One call: an Add that stands and its Subtract")
	t.AppendHeader(table.Row{"server", "calls/s", "stood", "other", "p50", "p99", "good"})
	r, err := rate.Run(ctx, rate.Options{Executable: exe, Dir: dir, StepDuration: c.Each, Rates: c.Rates, MaxP99: c.Bound, ExportFlows: c.Export}, func(s rate.Step) {
		t.AppendRow(table.Row{s.Server, s.Rate, s.Established, s.NotEstablished, s.P50, s.P99, s.Passed})
	})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return fmt.Errorf("rate: %w", err)
		}
		return nil
	}
	t.Render()
	if c.Export {
		fmt.Printf("exporting to a collector that never reads: %.0f\n", r.Exporting)
	}
	fmt.Printf("controller %.0f, echo %.0f calls a second: ratio %.2f\n", r.Controller, r.Echo, r.Controller/max(r.Echo, 1))
	return nil
}

type echoCmd struct {
	Listen string `help:"HOST:PORT or fd:N." default:"127.0.0.1:0"`
}

func (c *echoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ln, err := daemon.Listen(ctx, c.Listen)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { ln.Close() })
	return rate.ServeEcho(ln)
}
