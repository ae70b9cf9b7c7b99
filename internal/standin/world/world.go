// Package world puts a scene on a network: sockets or memory, in real time. The
// controllers are somebody else's.
package world

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/standin/exchange"
	"dahliaspindle/internal/standin/exlist"
	"dahliaspindle/internal/standin/scene"
	"dahliaspindle/internal/standin/subscriber"
	"dahliaspindle/internal/transport"
)

// Network is how stand-ins are reached and reach controllers.
type Network struct {
	Listen func() (net.Listener, error)
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
}

// Controllers runs the controllers; Restart kills one and starts it again.
type Controllers interface {
	Addr(cell int) string
	Restart(cell int)
}

// exchangeListener is the sockets of one exchange.
type exchangeListener struct {
	listener net.Listener
	conns    []exchangeConn // in the order of their making
	faults   *connFaults
}

type exchangeConn struct {
	conn      *transport.Conn[*signal.Message]
	simulated *exchange.Conn
}

// Runner is the stand-ins of one scenario on a network.
type Runner struct {
	*scene.Simulation
	scenario    *settings.Scenario
	loop        *eventLoop
	network     Network
	capture     *capture.Writer
	controllers Controllers

	ctx              context.Context
	cancel           context.CancelFunc
	wg               sync.WaitGroup
	loopDone         chan struct{}
	listeners        map[uint32]*exchangeListener // by exchange
	orderedListeners []*exchangeListener
	listListener     net.Listener
	listAddress      string
	listUnavailable  atomic.Bool
	listConns        []*transport.Conn[*signal.Message]
}

// New draws a fleet and opens its listeners.
func New(scenario *settings.Scenario, network Network, captureWriter *capture.Writer) (*Runner, error) {
	loopContext, cancel := context.WithCancel(context.Background())
	runner := &Runner{scenario: scenario, loop: newEventLoop(), network: network, capture: captureWriter, ctx: loopContext, cancel: cancel, loopDone: make(chan struct{}),
		listeners: map[uint32]*exchangeListener{}}
	simulation, err := scene.New(scenario, runner.loop, environment{runner})
	if err == nil {
		runner.Simulation = simulation
		runner.listListener, err = network.Listen()
	}
	if err != nil {
		cancel()
		return nil, fmt.Errorf("opening the stand-ins' doors: %w", err)
	}
	runner.listAddress = runner.listListener.Addr().String()
	return runner, nil
}

// environment is what the scene asks of its sockets. All but Open come in the loop.
type environment struct{ runner *Runner }

func (env environment) Listen(id uint32) (string, error) {
	listener, err := env.runner.network.Listen()
	if err != nil {
		return "", err
	}
	port := &exchangeListener{listener: listener, faults: &connFaults{}}
	env.runner.listeners[id], env.runner.orderedListeners = port, append(env.runner.orderedListeners, port)
	env.runner.acceptConns(listener, func(conn net.Conn) { env.runner.acceptExchange(port, id, conn) })
	return listener.Addr().String(), nil
}

func (env environment) StopListening(id uint32) {
	env.CloseConns(id, fmt.Sprintf("exchange %d is out of service", id), func(*exchange.Conn) bool { return true })
	env.runner.listeners[id].listener.Close()
}

func (env environment) CloseConns(id uint32, reason string, matches func(*exchange.Conn) bool) int {
	closed := 0
	for _, candidate := range env.runner.listeners[id].conns {
		if matches(candidate.simulated) {
			closed++
			candidate.conn.Close(fmt.Errorf("%s", reason))
		}
	}
	return closed
}

func (env environment) SetFault(id uint32, fault scene.Fault, on bool) {
	faults := env.runner.listeners[id].faults
	switch {
	case fault == scene.HalfOpen:
		faults.halfOpen.Store(on)
	case fault == scene.FragmentedWrites:
		faults.fragments.Store(on)
	case on:
		faults.stalled.Store(true)
	default:
		faults.releaseReaders()
	}
}

func (env environment) SetListUnavailable(unavailable bool) {
	env.runner.listUnavailable.Store(unavailable)
	if unavailable {
		for _, conn := range env.runner.listConns {
			conn.Close(fmt.Errorf("the list is away"))
		}
	}
}

func (env environment) SendMalformed(perSecond float64) func() {
	return env.runner.sendMalformed(perSecond)
}
func (env environment) RestartController(number int)  { env.runner.controllers.Restart(number) }
func (env environment) Record(name string, value any) { env.runner.capture.Fact(name, value) }

func (runner *Runner) acceptExchange(port *exchangeListener, id uint32, conn net.Conn) {
	if target := runner.ExchangeByID(id); target != nil && target.Up {
		runner.serveExchange(port, target, port.faults.wrap(conn), false)
	} else {
		conn.Close()
	}
}

// serveExchange serves a connection of an exchange: a controller's, or its own to its controller.
func (runner *Runner) serveExchange(port *exchangeListener, served *exchange.Exchange, netConn net.Conn, transit bool) *transport.Conn[*signal.Message] {
	var simulated *exchange.Conn
	var conn *transport.Conn[*signal.Message]
	conn = runner.serve(netConn, transit, exchangeOwner(served.ID), "controller",
		func(message *signal.Message) {
			if transit || !port.faults.halfOpen.Load() {
				runner.Fleet.HandleMessage(simulated, message)
			}
		},
		func() {
			port.conns = slices.DeleteFunc(port.conns, func(candidate exchangeConn) bool { return candidate.conn == conn })
			runner.Fleet.ConnClosed(simulated)
		})
	send := sendFunc(conn)
	simulated = runner.Fleet.OpenConn(served, transit, func(m *signal.Message) { send(m) })
	port.conns = append(port.conns, exchangeConn{conn, simulated})
	return conn
}

// ListAddr is where controllers find the exchange list.
func (runner *Runner) ListAddr() string { return runner.listAddress }

// Run starts the callers and lets the day pass; progress is told now and then.
func (runner *Runner) Run(ctx context.Context, controllers Controllers, progress func(passed time.Duration, calls int)) error {
	runner.controllers = controllers
	runner.acceptConns(runner.listListener, func(netConn net.Conn) {
		if runner.listUnavailable.Load() {
			netConn.Close()
			return
		}
		var listConn *exlist.Conn
		var conn *transport.Conn[*signal.Message]
		conn = runner.serve(netConn, false, "list", "controller", func(m *signal.Message) { runner.List.HandleMessage(listConn, m) }, func() {
			runner.listConns = slices.DeleteFunc(runner.listConns, func(other *transport.Conn[*signal.Message]) bool { return other == conn })
			runner.List.ConnClosed(listConn)
		})
		send := sendFunc(conn)
		listConn = runner.List.OpenConn(func(m *signal.Message) { send(m) })
		runner.listConns = append(runner.listConns, conn)
	})
	for number := range runner.scenario.Fleet.Exchanges {
		address := controllers.Addr(number)
		for range runner.scenario.Callers.Connections {
			runner.maintainConn(address, func(nc net.Conn) *transport.Conn[*signal.Message] {
				var sc *subscriber.Conn
				c := runner.serve(nc, true, fmt.Sprintf("callers of %d", number), "controller",
					func(m *signal.Message) { runner.Callers.HandleMessage(sc, m) }, func() { runner.Callers.ConnClosed(number, sc) })
				sc = runner.Callers.OpenConn(number, sendFunc(c))
				return c
			})
		}
		runner.maintainConn(address, func(nc net.Conn) *transport.Conn[*signal.Message] {
			x := runner.Fleet.Current(number)
			return runner.serveExchange(runner.listeners[x.ID], x, nc, true)
		})
	}
	go func() {
		defer close(runner.loopDone)
		runner.loop.run(runner.ctx)
	}()
	ended := make(chan struct{})
	runner.loop.post(runner.ctx, func() { runner.Start(progress, func() { close(ended) }) })
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the day was broken off: %w", ctx.Err())
	}
}

// Close ends all connections and goroutines.
func (runner *Runner) Close() {
	runner.cancel()
	<-runner.loopDone
	runner.listListener.Close()
	for _, port := range runner.orderedListeners {
		port.listener.Close()
		port.faults.removeAll()
		for _, established := range port.conns {
			established.conn.Close(errRunEnded)
			<-established.conn.Done()
		}
	}
	for _, listConn := range runner.listConns {
		listConn.Close(errRunEnded)
		<-listConn.Done()
	}
	runner.wg.Wait()
}

// Do runs f among the stand-ins, which nobody else may touch while they live.
func (w *Runner) Do(callback func()) { w.loop.post(w.ctx, callback) }
