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
	Executable   string // the program: EXE run FILE, EXE echo
	Dir          string
	StepDuration time.Duration // of each step
	Rates        []float64     // rising; a step whose p99 is above Bound ends the series
	MaxP99       time.Duration
	// ExportFlows measures a second controller beside the first, which exports flow
	// records to a collector that accepts and never reads.
	ExportFlows bool
}

// Step is one rate of one server.
type Step struct {
	Server         string        `json:"server"`
	Rate           float64       `json:"rate"`
	Established    int64         `json:"stood"`
	NotEstablished int64         `json:"other"` // refused, failed, not taken, unanswered
	P50            time.Duration `json:"p50"`
	P99            time.Duration `json:"p99"`
	Passed         bool          `json:"good"` // p99 within the bound and all calls stood
}

// Result is all steps, and the highest good rates.
type Result struct {
	Steps      []Step  `json:"steps"`
	Controller float64 `json:"controller"`
	Echo       float64 `json:"echo"`
	Exporting  float64 `json:"exporting,omitempty"`
}

// Run measures the controller and the echo in turn, rate by rate.
func Run(ctx context.Context, options Options, report func(Step)) (*Result, error) {
	peers, err := newInstantPeers()
	if err != nil {
		return nil, err
	}
	defer peers.close()
	controller, stopControl, err := options.startController(ctx, "controller", peers.listListener.Addr().String(), "")
	if err != nil {
		return nil, err
	}
	defer stopControl()
	echo, stopEcho, err := options.startChild(ctx, "echo", "echo", "--listen", "fd:3")
	if err != nil {
		return nil, err
	}
	defer stopEcho()
	result := &Result{}
	servers := []server{{"controller", controller, &result.Controller}, {"echo", echo, &result.Echo}}
	if options.ExportFlows {
		stalledCollector, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("rate: %w", err)
		}
		defer stalledCollector.Close()
		go acceptWithoutReading(stalledCollector)
		addr, stop, err := options.startController(ctx, "exporting", peers.listListener.Addr().String(), stalledCollector.Addr().String())
		if err != nil {
			return nil, err
		}
		defer stop()
		servers = append(servers, server{"exporting", addr, &result.Exporting})
	}
	time.Sleep(time.Second) // the controller finds its list and exchanges
	over := map[string]bool{}
	for _, rate := range options.Rates {
		for _, s := range servers {
			if over[s.name] || ctx.Err() != nil {
				continue
			}
			step, err := options.measureStep(ctx, s.name, s.address, rate)
			if err != nil {
				return nil, err
			}
			result.Steps = append(result.Steps, step)
			report(step)
			if over[s.name] = !step.Passed; step.Passed {
				*s.highestRate = rate
			}
		}
	}
	return result, nil
}

func (options Options) measureStep(ctx context.Context, name, address string, rate float64) (Step, error) {
	result, err := load.Run(ctx, load.Options{Addresses: []string{address}, Rate: rate, Duration: options.StepDuration, Classes: []string{"call"}, Destinations: []int{1, 2, 3},
		Patience: 4 * time.Second, MeanHoldingTime: 200 * time.Millisecond, ConnsPerAddress: 4, Seed: uint64(rate)})
	if err != nil {
		return Step{}, fmt.Errorf("%s at %.0f: %w", name, rate, err)
	}
	step := Step{Server: name, Rate: rate, Established: result.Rows[0].Calls, P50: result.Rows[0].P50, P99: result.Rows[0].P99}
	for _, row := range result.Rows[1:] {
		step.NotEstablished += row.Calls
	}
	step.Passed = step.P99 <= options.MaxP99 && step.NotEstablished*1000 <= step.Established
	return step, nil
}

type server struct {
	name, address string
	highestRate   *float64
}

// acceptWithoutReading accepts and never reads.
func acceptWithoutReading(listener net.Listener) {
	var accepted []net.Conn
	defer func() {
		for _, conn := range accepted {
			conn.Close()
		}
	}()
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		accepted = append(accepted, nc)
	}
}

// startController starts one on settings of its own.
func (options Options) startController(ctx context.Context, name, listAddress, collectorAddress string) (string, func(), error) {
	controllerSettings := &settings.Controller{Controllers: 4, Seed: 1, Listen: "fd:3", ListAddress: listAddress,
		Classes: []settings.Class{{Name: "call", Worth: 1, LateWorth: 0.1, SetUpTarget: time.Second, Patience: 9 * time.Second,
			HoldingTime: 200 * time.Millisecond, Circuits: 1}},
		Rules: settings.Rules{ReleaseTime: 300 * time.Millisecond, DrainGrace: 250 * time.Millisecond, AnswerSlack: 20 * time.Millisecond,
			ColdCapacity: 0.3, ColdDuration: 10 * time.Second, OverloadFactor: 2.5, OverloadDuration: 3 * time.Second, MaxAttempts: 6},
		Log: settings.Log{Format: "json", Level: "warn"}}
	if collectorAddress != "" {
		controllerSettings.Flows.Collectors = []settings.Collector{{Address: collectorAddress}}
	}
	settingsPath := filepath.Join(options.Dir, name+".xml")
	settingsFile, err := os.Create(settingsPath)
	if err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	if err := errors.Join(settings.Write(settingsFile, "controller", controllerSettings), settingsFile.Close()); err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	return options.startChild(ctx, name, "run", settingsPath)
}

// startChild runs the program on a listener that is passed on.
func (options Options) startChild(ctx context.Context, name string, args ...string) (string, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	defer listener.Close()
	listenerFile, err := listener.(*net.TCPListener).File()
	if err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	defer listenerFile.Close()
	logFile, err := os.Create(filepath.Join(options.Dir, name+".log"))
	if err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	defer logFile.Close()
	command := exec.CommandContext(ctx, options.Executable, args...)
	command.Stderr, command.Stdout = logFile, logFile
	command.ExtraFiles = []*os.File{listenerFile}
	if err := command.Start(); err != nil {
		return "", nil, fmt.Errorf("rate: %s: %w", name, err)
	}
	return listener.Addr().String(), func() {
		_ = command.Process.Signal(os.Interrupt) // one that has ended says so to Wait
		_ = command.Wait()
	}, nil
}

// instantPeers is a list and three exchanges that answer at once.
type instantPeers struct {
	listListener      net.Listener
	exchangeListeners [4]net.Listener
	mu                sync.Mutex
	conns             []*transport.Conn[*signal.Message]
}

// circuitsPerGroup is the size of every group: circuits are not what is measured.
const circuitsPerGroup = 1 << 20

func newInstantPeers() (*instantPeers, error) {
	peers := &instantPeers{}
	listEntries := []signal.Field{{Name: "Complete", Value: "yes"}}
	for number := range peers.exchangeListeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("rate: %w", err)
		}
		peers.exchangeListeners[number] = listener
		listEntries = append(listEntries, signal.Field{Name: "Exchange", Value: fmt.Sprintf("%d cell=%d state=in since=0 at=%s", 100+number, number, listener.Addr())})
		go peers.accept(listener, func(conn *transport.Conn[*signal.Message], request *signal.Message) {
			conn.Send(request.NewReply(), 0)
			if request.Command == signal.Modify && number == 0 {
				conn.Send((&signal.Message{ID: 1, Command: signal.Notify, Termination: signal.Root}).Put("Group", fmt.Sprint("1 ", circuitsPerGroup, " ", circuitsPerGroup)).
					Put("Group", fmt.Sprint("2 ", circuitsPerGroup, " ", circuitsPerGroup)).Put("Group", fmt.Sprint("3 ", circuitsPerGroup, " ", circuitsPerGroup)), 0)
			}
		})
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("rate: %w", err)
	}
	peers.listListener = ln
	go peers.accept(ln, func(c *transport.Conn[*signal.Message], m *signal.Message) {
		c.Send(m.NewReply(), 0)
		if m.Command == signal.Modify {
			c.Send(&signal.Message{ID: 1, Command: signal.Notify, Termination: signal.Root, Descriptors: listEntries}, 0)
		}
	})
	return peers, nil
}

type requestHandler struct {
	handle func(*transport.Conn[*signal.Message], *signal.Message)
}

func (handler requestHandler) Message(conn *transport.Conn[*signal.Message], message *signal.Message) {
	if message.Kind == signal.Request {
		handler.handle(conn, message)
	}
}
func (requestHandler) Unreadable(*transport.Conn[*signal.Message], transport.RecoverableError) {}
func (requestHandler) Unsent(*transport.Conn[*signal.Message], *signal.Message)                {}
func (requestHandler) Closed(*transport.Conn[*signal.Message], error)                          {}

func (peers *instantPeers) accept(listener net.Listener, handle func(*transport.Conn[*signal.Message], *signal.Message)) {
	for {
		netConn, err := listener.Accept()
		if err != nil {
			return
		}
		conn := transport.Start(netConn, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Outbox: guard.Outbox{Capacity: 1 << 20}}, requestHandler{handle})
		peers.mu.Lock()
		peers.conns = append(peers.conns, conn)
		peers.mu.Unlock()
	}
}

func (peers *instantPeers) close() {
	for _, listener := range append(peers.exchangeListeners[:], peers.listListener) {
		listener.Close()
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for _, conn := range peers.conns {
		conn.Close(transport.ErrClosed)
		<-conn.Done()
	}
}

// ServeEcho serves the reference: blocks of lines are read and written back with
// net/textproto, a reply for each transaction and nothing else.
func ServeEcho(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("echo: %w", err)
		}
		go echoConn(conn)
	}
}

func echoConn(conn net.Conn) {
	defer conn.Close()
	textConn := textproto.NewConn(conn)
	for {
		line, err := textConn.ReadLine()
		if err != nil {
			return
		}
		if rest, ok := strings.CutPrefix(line, "Transaction="); ok {
			line = "Reply=" + rest
		}
		if _, err := io.WriteString(textConn.W, line+"\r\n"); err != nil {
			return
		}
		if line == "" && textConn.R.Buffered() == 0 {
			if err := textConn.W.Flush(); err != nil {
				return
			}
		}
	}
}
