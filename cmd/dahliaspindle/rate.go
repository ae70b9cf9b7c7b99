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

// rateCmd measures the call rate that one controller sustains.
type rateCmd struct {
	Rates  []float64     `help:"Call rates to measure, in calls per second, ascending." default:"1000,2000,4000,6800,8000,10000,12000,14000,17000,20000,25000,30000,40000,50000"`
	Each   time.Duration `help:"Duration of each rate." default:"3s"`
	Bound  time.Duration `help:"Maximum p99 answer time of a good rate." default:"5ms"`
	Export bool          `help:"Also measure a controller that exports flow records to a collector that never reads."`
	JSON   bool          `help:"Print one JSON object."`
}

// Run executes the command.
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
	t := newTable("One call: an Add that is established and its Subtract")
	t.AppendHeader(table.Row{"server", "calls/s", "stood", "other", "p50", "p99", "good"})
	result, err := rate.Run(ctx, rate.Options{Executable: exe, Dir: dir, StepDuration: c.Each, Rates: c.Rates, MaxP99: c.Bound, ExportFlows: c.Export}, func(step rate.Step) {
		t.AppendRow(table.Row{step.Server, step.Rate, step.Established, step.NotEstablished, step.P50, step.P99, step.Passed})
	})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return fmt.Errorf("rate: %w", err)
		}
		return nil
	}
	t.Render()
	if c.Export {
		fmt.Printf("exporting to a collector that never reads: %.0f\n", result.Exporting)
	}
	fmt.Printf("controller %.0f, echo %.0f calls per second: ratio %.2f\n", result.Controller, result.Echo, result.Controller/max(result.Echo, 1))
	return nil
}

// echoCmd runs the echo server that rate compares with.
type echoCmd struct {
	Listen string `help:"Listen address, as HOST:PORT or fd:N." default:"127.0.0.1:0"`
}

// Run executes the command.
func (c *echoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := daemon.Listen(ctx, c.Listen)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	return rate.ServeEcho(listener)
}
