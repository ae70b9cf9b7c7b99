// Package rate measures what one controller bears on this machine: calls a
// second, open loop, beside a bare textproto echo of the same lines in the same
// run. Exchanges answer at once, so the delay is the controller's and the sockets'.
package rate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/load"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/transport"
)

// Options of a measurement.
type Options struct {
	Exe   string // the program: EXE run FILE, EXE echo
	Dir   string
	Each  time.Duration // of each step
	Rates []float64     // rising; a step whose p99 is above Bound ends the series
	Bound time.Duration
	// Export measures a second controller beside the first, which exports flow
	// records to a collector that accepts and never reads.
	Export bool
}

// Step is one rate of one server.
type Step struct {
	Server string        `json:"server"`
	Rate   float64       `json:"rate"`
	Stood  int64         `json:"stood"`
	Other  int64         `json:"other"` // refused, failed, not taken, unanswered
	P50    time.Duration `json:"p50"`
	P99    time.Duration `json:"p99"`
	Good   bool          `json:"good"` // p99 within the bound and all calls stood
}

// Result is all steps, and the highest good rates.
type Result struct {
	Steps      []Step  `json:"steps"`
	Controller float64 `json:"controller"`
	Echo       float64 `json:"echo"`
	Exporting  float64 `json:"exporting,omitempty"`
}

// Run measures the controller and the echo in turn, rate by rate.
func Run(ctx context.Context, o Options, told func(Step)) (*Result, error) {
	in, err := newInstant()
	if err != nil {
		return nil, err
	}
	defer in.close()
	control, stopControl, err := o.controller(ctx, "controller", in.list.Addr().String(), "")
	if err != nil {
		return nil, err
	}
	defer stopControl()
	echo, stopEcho, err := o.child(ctx, "echo", "echo", "--listen", "fd:3")
	if err != nil {
		return nil, err
	}
	defer stopEcho()
	r := &Result{}
	servers := []server{{"controller", control, &r.Controller}, {"echo", echo, &r.Echo}}
	if o.Export {
		hung, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("rate: %w", err)
		}
		defer hung.Close()
		go hang(hung)
		addr, stop, err := o.controller(ctx, "exporting", in.list.Addr().String(), hung.Addr().String())
		if err != nil {
			return nil, err
		}
		defer stop()
		servers = append(servers, server{"exporting", addr, &r.Exporting})
	}
	time.Sleep(time.Second) // the controller finds its list and exchanges
	over := map[string]bool{}
	for _, rate := range o.Rates {
		for _, s := range servers {
			if over[s.name] || ctx.Err() != nil {
				continue
			}
			step, err := o.step(ctx, s.name, s.addr, rate)
			if err != nil {
				return nil, err
			}
			r.Steps = append(r.Steps, step)
			told(step)
			if over[s.name] = !step.Good; step.Good {
				*s.best = rate
			}
		}
	}
	return r, nil
}

func (o Options) step(ctx context.Context, name, addr string, rate float64) (Step, error) {
	res, err := load.Run(ctx, load.Options{To: []string{addr}, Rate: rate, For: o.Each, Classes: []string{"call"}, Dests: []int{1, 2, 3},
		Patience: 4 * time.Second, Holding: 200 * time.Millisecond, Conns: 4, Seed: uint64(rate)})
	if err != nil {
		return Step{}, fmt.Errorf("%s at %.0f: %w", name, rate, err)
	}
	s := Step{Server: name, Rate: rate, Stood: res.Rows[0].Calls, P50: res.Rows[0].P50, P99: res.Rows[0].P99}
	for _, row := range res.Rows[1:] {
		s.Other += row.Calls
	}
	s.Good = s.P99 <= o.Bound && s.Other*1000 <= s.Stood
	return s, nil
}

type server struct {
	name, addr string
	best       *float64
}

// hang accepts and never reads.
func hang(ln net.Listener) {
	var held []net.Conn
	defer func() {
		for _, nc := range held {
			nc.Close()
		}
	}()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		held = append(held, nc)
	}
}

// controller starts one on settings of its own.
func (o Options) controller(ctx context.Context, name, list, collector string) (string, func(), error) {
	set := &settings.Controller{Controllers: 4, Seed: 1, Listen: "fd:3", ListAddress: list,
		Classes: []settings.Class{{Name: "call", Worth: 1, LateWorth: 0.1, SetUpTarget: time.Second, Patience: 9 * time.Second,
			HoldingTime: 200 * time.Millisecond, Circuits: 1}},
		Rules: settings.Rules{ReleaseTime: 300 * time.Millisecond, DrainGrace: 250 * time.Millisecond, AnswerSlack: 20 * time.Millisecond,
			ColdCapacity: 0.3, ColdDuration: 10 * time.Second, OverloadFactor: 2.5, OverloadDuration: 3 * time.Second, MaxAttempts: 6},
		Log: settings.Log{Format: "json", Level: "warn"}}
	if collector != "" {
		set.Flows.Collectors = []settings.Collector{{Address: collector}}
	}
	file := filepath.Join(o.Dir, name+".xml")
	f, err := os.Create(file)
	if err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	if err := errors.Join(settings.Write(f, "controller", set), f.Close()); err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	return o.child(ctx, name, "run", file)
}

// child runs the program on a listener that is passed on.
func (o Options) child(ctx context.Context, name string, args ...string) (string, func(), error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	defer ln.Close()
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	defer file.Close()
	log, err := os.Create(filepath.Join(o.Dir, name+".log"))
	if err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	defer log.Close()
	c := exec.CommandContext(ctx, o.Exe, args...)
	c.Stderr, c.Stdout = log, log
	c.ExtraFiles = []*os.File{file}
	if err := c.Start(); err != nil {
		return "", nil, fmt.Errorf("rate: %s: %w", name, err)
	}
	return ln.Addr().String(), func() {
		_ = c.Process.Signal(os.Interrupt) // one that has ended says so to Wait
		_ = c.Wait()
	}, nil
}

// instant is a list and three exchanges that answer at once.
type instant struct {
	list  net.Listener
	exch  [4]net.Listener
	mu    sync.Mutex
	conns []*transport.Conn[*signal.Message]
}

// manyCircuits is the size of every group: circuits are not what is measured.
const manyCircuits = 1 << 20

func newInstant() (*instant, error) {
	in := &instant{}
	lines := []signal.Field{{Name: "Complete", Value: "yes"}}
	for cell := range in.exch {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("rate: %w", err)
		}
		in.exch[cell] = ln
		lines = append(lines, signal.Field{Name: "Exchange", Value: fmt.Sprintf("%d cell=%d state=in since=0 at=%s", 100+cell, cell, ln.Addr())})
		go in.accept(ln, func(c *transport.Conn[*signal.Message], m *signal.Message) {
			c.Send(m.NewReply(), 0)
			if m.Command == signal.Modify && cell == 0 {
				c.Send((&signal.Message{ID: 1, Command: signal.Notify, Termination: signal.Root}).Put("Group", fmt.Sprint("1 ", manyCircuits, " ", manyCircuits)).
					Put("Group", fmt.Sprint("2 ", manyCircuits, " ", manyCircuits)).Put("Group", fmt.Sprint("3 ", manyCircuits, " ", manyCircuits)), 0)
			}
		})
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("rate: %w", err)
	}
	in.list = ln
	go in.accept(ln, func(c *transport.Conn[*signal.Message], m *signal.Message) {
		c.Send(m.NewReply(), 0)
		if m.Command == signal.Modify {
			c.Send(&signal.Message{ID: 1, Command: signal.Notify, Termination: signal.Root, Descriptors: lines}, 0)
		}
	})
	return in, nil
}

type peer struct {
	on func(*transport.Conn[*signal.Message], *signal.Message)
}

func (p peer) Message(c *transport.Conn[*signal.Message], m *signal.Message) {
	if m.Kind == signal.Request {
		p.on(c, m)
	}
}
func (peer) Unreadable(*transport.Conn[*signal.Message], transport.RecoverableError) {}
func (peer) Unsent(*transport.Conn[*signal.Message], *signal.Message)                {}
func (peer) Closed(*transport.Conn[*signal.Message], error)                          {}

func (in *instant) accept(ln net.Listener, on func(*transport.Conn[*signal.Message], *signal.Message)) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		c := transport.Start(nc, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Outbox: guard.Outbox{Capacity: 1 << 20}}, peer{on})
		in.mu.Lock()
		in.conns = append(in.conns, c)
		in.mu.Unlock()
	}
}

func (in *instant) close() {
	for _, ln := range append(in.exch[:], in.list) {
		ln.Close()
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, c := range in.conns {
		c.Close(transport.ErrClosed)
		<-c.Done()
	}
}

// Echo serves the reference: blocks of lines are read and written back with
// net/textproto, a reply for each transaction and nothing else.
func Echo(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("echo: %w", err)
		}
		go echo(nc)
	}
}

func echo(nc net.Conn) {
	defer nc.Close()
	c := textproto.NewConn(nc)
	for {
		line, err := c.ReadLine()
		if err != nil {
			return
		}
		if rest, ok := strings.CutPrefix(line, "Transaction="); ok {
			line = "Reply=" + rest
		}
		if _, err := io.WriteString(c.W, line+"\r\n"); err != nil {
			return
		}
		if line == "" && c.R.Buffered() == 0 {
			if err := c.W.Flush(); err != nil {
				return
			}
		}
	}
}
