// Package rate measures the calls per second that one controller can handle on this
// machine, in an open loop, next to a plain textproto echo server as a reference in
// the same run. The exchanges answer at once, so that the delay is that of the
// controller and the sockets.
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

// Options configures a measurement.
type Options struct {
	Executable   string // program: EXECUTABLE run FILE, EXECUTABLE echo
	Dir          string // directory for settings and logs
	StepDuration time.Duration
	Rates        []float64     // calls per second, ascending; a server is not measured beyond the first step that it fails
	MaxP99       time.Duration // limit on the p99 delay of a passed step
	// ExportFlows adds a second controller, which exports flow records to a collector
	// that accepts connections but never reads.
	ExportFlows bool
}

// Step is the measurement of one server at one rate.
type Step struct {
	Server         string        `json:"server"`
	Rate           float64       `json:"rate"`
	Established    int64         `json:"stood"`
	NotEstablished int64         `json:"other"` // refused, failed, not taken, unanswered
	P50            time.Duration `json:"p50"`
	P99            time.Duration `json:"p99"`
	Passed         bool          `json:"good"` // p99 within MaxP99, and at most 1 call not established per 1000 established
}

// Result holds all steps and the highest rate that each server passed.
type Result struct {
	Steps      []Step  `json:"steps"`
	Controller float64 `json:"controller"`
	Echo       float64 `json:"echo"`
	Exporting  float64 `json:"exporting,omitempty"`
}

// Run measures the servers in turn at each rate. It calls report after each step.
func Run(ctx context.Context, options Options, report func(Step)) (*Result, error) {
	peers, err := newInstantPeers()
	if err != nil {
		return nil, err
	}
	defer peers.close()
	controller, stopController, err := options.startController(ctx, "controller", peers.listListener.Addr().String(), "")
	if err != nil {
		return nil, err
	}
	defer stopController()
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
		address, stop, err := options.startController(ctx, "exporting", peers.listListener.Addr().String(), stalledCollector.Addr().String())
		if err != nil {
			return nil, err
		}
		defer stop()
		servers = append(servers, server{"exporting", address, &result.Exporting})
	}
	time.Sleep(time.Second) // until the controller has connected to the list and the exchanges
	failed := map[string]bool{}
	for _, rate := range options.Rates {
		for _, s := range servers {
			if failed[s.name] || ctx.Err() != nil {
				continue
			}
			step, err := options.measureStep(ctx, s.name, s.address, rate)
			if err != nil {
				return nil, err
			}
			result.Steps = append(result.Steps, step)
			report(step)
			if failed[s.name] = !step.Passed; step.Passed {
				*s.highestRate = rate
			}
		}
	}
	return result, nil
}

// measureStep measures one server at one rate.
func (o Options) measureStep(ctx context.Context, name, address string, rate float64) (Step, error) {
	result, err := load.Run(ctx, load.Options{
		Addresses:       []string{address},
		Rate:            rate,
		Duration:        o.StepDuration,
		Classes:         []string{"call"},
		Destinations:    []int{1, 2, 3},
		Patience:        4 * time.Second,
		MeanHoldingTime: 200 * time.Millisecond,
		ConnsPerAddress: 4,
		Seed:            uint64(rate),
	})
	if err != nil {
		return Step{}, fmt.Errorf("%s at %.0f: %w", name, rate, err)
	}
	step := Step{Server: name, Rate: rate, Established: result.Rows[0].Calls, P50: result.Rows[0].P50, P99: result.Rows[0].P99}
	for _, row := range result.Rows[1:] {
		step.NotEstablished += row.Calls
	}
	step.Passed = step.P99 <= o.MaxP99 && step.NotEstablished*1000 <= step.Established
	return step, nil
}

// server is a server under measurement.
type server struct {
	name, address string
	highestRate   *float64
}

// acceptWithoutReading accepts connections and never reads from them, until the
// listener is closed.
func acceptWithoutReading(listener net.Listener) {
	var accepted []net.Conn
	defer func() {
		for _, conn := range accepted {
			conn.Close()
		}
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		accepted = append(accepted, conn)
	}
}

// startController writes the settings of a controller and starts it. It returns the
// controller's address and a function that stops it. Without a collector address no
// flow records are exported.
func (o Options) startController(ctx context.Context, name, listAddress, collectorAddress string) (string, func(), error) {
	controllerSettings := &settings.Controller{
		Controllers: 4,
		Seed:        1,
		Listen:      "fd:3",
		ListAddress: listAddress,
		Classes: []settings.Class{{
			Name:        "call",
			Worth:       1,
			LateWorth:   0.1,
			SetUpTarget: time.Second,
			Patience:    9 * time.Second,
			HoldingTime: 200 * time.Millisecond,
			Circuits:    1,
		}},
		Rules: settings.Rules{
			ReleaseTime:      300 * time.Millisecond,
			DrainGrace:       250 * time.Millisecond,
			AnswerSlack:      20 * time.Millisecond,
			ColdCapacity:     0.3,
			ColdDuration:     10 * time.Second,
			OverloadFactor:   2.5,
			OverloadDuration: 3 * time.Second,
			MaxAttempts:      6,
		},
		Log: settings.Log{Format: "json", Level: "warn"},
	}
	if collectorAddress != "" {
		controllerSettings.Flows.Collectors = []settings.Collector{{Address: collectorAddress}}
	}
	settingsPath := filepath.Join(o.Dir, name+".xml")
	settingsFile, err := os.Create(settingsPath)
	if err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	if err := errors.Join(settings.Write(settingsFile, "controller", controllerSettings), settingsFile.Close()); err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	return o.startChild(ctx, name, "run", settingsPath)
}

// startChild starts the program with a listener that it passes on. It returns the
// address and a function that stops the program.
func (o Options) startChild(ctx context.Context, name string, args ...string) (string, func(), error) {
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
	logFile, err := os.Create(filepath.Join(o.Dir, name+".log"))
	if err != nil {
		return "", nil, fmt.Errorf("rate: %w", err)
	}
	defer logFile.Close()
	command := exec.CommandContext(ctx, o.Executable, args...)
	command.Stderr, command.Stdout = logFile, logFile
	command.ExtraFiles = []*os.File{listenerFile}
	if err := command.Start(); err != nil {
		return "", nil, fmt.Errorf("rate: %s: %w", name, err)
	}
	return listener.Addr().String(), func() {
		_ = command.Process.Signal(os.Interrupt) // if the process has ended, Wait reports it
		_ = command.Wait()
	}, nil
}

// instantPeers is an exchange list and four exchanges that answer at once: the own
// exchange, number 0, and three destinations.
type instantPeers struct {
	listListener      net.Listener
	exchangeListeners [4]net.Listener // by exchange number
	mu                sync.Mutex      // protects conns
	conns             []*transport.Conn[*signal.Message]
}

// circuitsPerGroup is the size of each trunk group, large enough that circuits never
// limit the measurement.
const circuitsPerGroup = 1 << 20

// newInstantPeers opens the listeners and serves them.
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
				conn.Send((&signal.Message{ID: 1, Command: signal.Notify, Termination: signal.Root}).
					Put("Group", fmt.Sprint("1 ", circuitsPerGroup, " ", circuitsPerGroup)).
					Put("Group", fmt.Sprint("2 ", circuitsPerGroup, " ", circuitsPerGroup)).
					Put("Group", fmt.Sprint("3 ", circuitsPerGroup, " ", circuitsPerGroup)), 0)
			}
		})
	}
	listListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("rate: %w", err)
	}
	peers.listListener = listListener
	go peers.accept(listListener, func(conn *transport.Conn[*signal.Message], request *signal.Message) {
		conn.Send(request.NewReply(), 0)
		if request.Command == signal.Modify {
			conn.Send(&signal.Message{ID: 1, Command: signal.Notify, Termination: signal.Root, Descriptors: listEntries}, 0)
		}
	})
	return peers, nil
}

// requestHandler handles the requests that arrive on a connection.
type requestHandler struct {
	handle func(*transport.Conn[*signal.Message], *signal.Message)
}

// Message passes requests on and ignores replies.
func (h requestHandler) Message(conn *transport.Conn[*signal.Message], message *signal.Message) {
	if message.Kind == signal.Request {
		h.handle(conn, message)
	}
}

// Unreadable, Unsent and Closed need no action.
func (requestHandler) Unreadable(*transport.Conn[*signal.Message], transport.RecoverableError) {}
func (requestHandler) Unsent(*transport.Conn[*signal.Message], *signal.Message)                {}
func (requestHandler) Closed(*transport.Conn[*signal.Message], error)                          {}

// accept serves the connections of a listener until it is closed.
func (p *instantPeers) accept(listener net.Listener, handle func(*transport.Conn[*signal.Message], *signal.Message)) {
	for {
		netConn, err := listener.Accept()
		if err != nil {
			return
		}
		conn := transport.Start(netConn, transport.Options[*signal.Message]{
			Reader: signal.NewReadFunc(signal.Limits{}),
			Outbox: guard.Outbox{Capacity: 1 << 20},
		}, requestHandler{handle})
		p.mu.Lock()
		p.conns = append(p.conns, conn)
		p.mu.Unlock()
	}
}

// close closes all listeners and connections.
func (p *instantPeers) close() {
	for _, listener := range append(p.exchangeListeners[:], p.listListener) {
		listener.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close(transport.ErrClosed)
		<-conn.Done()
	}
}

// ServeEcho serves the echo protocol on a listener until it is closed: lines are read
// and written back with net/textproto, each transaction as a reply.
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

// echoConn serves one connection of ServeEcho.
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
