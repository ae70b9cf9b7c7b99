// Package realtime runs the simulation of a scenario in real time over a network of
// sockets or in memory. The controllers are run by its user.
package realtime

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
	"dahliaspindle/internal/standin/simulation"
	"dahliaspindle/internal/standin/subscriber"
	"dahliaspindle/internal/transport"
)

// Network opens listeners for the simulated network elements and connections to the
// controllers.
type Network struct {
	Listen func() (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
}

// Controllers gives access to the running controllers.
type Controllers interface {
	// Addr returns the address of a controller.
	Addr(number int) string
	// Restart kills a controller and starts it again, without blocking.
	Restart(number int)
}

// exchangeListener holds the listener and the connections of one exchange.
type exchangeListener struct {
	listener net.Listener
	conns    []exchangeConn // in order of creation
	faults   *connFaults
}

// exchangeConn is a connection of an exchange with its simulated end.
type exchangeConn struct {
	conn      *transport.Conn[*signal.Message]
	simulated *exchange.Conn
}

// Runner runs the simulation of one scenario on a network.
type Runner struct {
	*simulation.Simulation
	scenario    *settings.Scenario
	loop        *eventLoop
	network     Network
	capture     *capture.Writer
	controllers Controllers

	ctx              context.Context
	cancel           context.CancelFunc
	wg               sync.WaitGroup
	loopDone         chan struct{}
	listeners        map[uint32]*exchangeListener // by exchange ID
	orderedListeners []*exchangeListener
	listListener     net.Listener
	listAddress      string
	listUnavailable  atomic.Bool
	listConns        []*transport.Conn[*signal.Message]
}

// New draws the network of a scenario and opens its listeners.
func New(scenario *settings.Scenario, network Network, captureWriter *capture.Writer) (*Runner, error) {
	loopContext, cancel := context.WithCancel(context.Background())
	runner := &Runner{
		scenario:  scenario,
		loop:      newEventLoop(),
		network:   network,
		capture:   captureWriter,
		ctx:       loopContext,
		cancel:    cancel,
		loopDone:  make(chan struct{}),
		listeners: map[uint32]*exchangeListener{},
	}
	sim, err := simulation.New(scenario, runner.loop, environment{runner})
	if err == nil {
		runner.Simulation = sim
		runner.listListener, err = network.Listen()
	}
	if err != nil {
		cancel()
		return nil, fmt.Errorf("opening the listeners of the simulation: %w", err)
	}
	runner.listAddress = runner.listListener.Addr().String()
	return runner, nil
}

// environment implements simulation.Environment. All methods but Listen are called in the
// loop.
type environment struct{ runner *Runner }

func (env environment) Listen(id uint32) (string, error) {
	listener, err := env.runner.network.Listen()
	if err != nil {
		return "", err
	}
	opened := &exchangeListener{listener: listener, faults: &connFaults{}}
	env.runner.listeners[id], env.runner.orderedListeners = opened, append(env.runner.orderedListeners, opened)
	env.runner.acceptConns(listener, func(conn net.Conn) { env.runner.acceptExchange(opened, id, conn) })
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

func (env environment) SetFault(id uint32, fault simulation.Fault, on bool) {
	faults := env.runner.listeners[id].faults
	switch {
	case fault == simulation.HalfOpen:
		faults.halfOpen.Store(on)
	case fault == simulation.FragmentedWrites:
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

// acceptExchange serves a controller's connection to an exchange, or closes it if the
// exchange is down.
func (runner *Runner) acceptExchange(listener *exchangeListener, id uint32, conn net.Conn) {
	if target := runner.ExchangeByID(id); target != nil && target.Up {
		runner.serveExchange(listener, target, listener.faults.wrap(conn), false)
	} else {
		conn.Close()
	}
}

// serveExchange serves a connection of an exchange: one from a controller or, with
// transit set, the one to its own controller.
func (runner *Runner) serveExchange(listener *exchangeListener, served *exchange.Exchange, netConn net.Conn, transit bool) *transport.Conn[*signal.Message] {
	var simulated *exchange.Conn
	var conn *transport.Conn[*signal.Message]
	conn = runner.serve(netConn, transit, exchangeOwner(served.ID), "controller",
		func(message *signal.Message) {
			if transit || !listener.faults.halfOpen.Load() {
				runner.Fleet.HandleMessage(simulated, message)
			}
		},
		func() {
			listener.conns = slices.DeleteFunc(listener.conns, func(candidate exchangeConn) bool { return candidate.conn == conn })
			runner.Fleet.ConnClosed(simulated)
		})
	send := sendFunc(conn)
	simulated = runner.Fleet.OpenConn(served, transit, func(message *signal.Message) { send(message) })
	listener.conns = append(listener.conns, exchangeConn{conn, simulated})
	return conn
}

// ListAddr returns the address of the exchange list.
func (runner *Runner) ListAddr() string { return runner.listAddress }

// Run runs the scenario to its end. progress, if not nil, is called at intervals.
func (runner *Runner) Run(ctx context.Context, controllers Controllers, progress func(elapsed time.Duration, calls int)) error {
	runner.controllers = controllers
	runner.acceptConns(runner.listListener, func(netConn net.Conn) {
		if runner.listUnavailable.Load() {
			netConn.Close()
			return
		}
		var listConn *exlist.Conn
		var conn *transport.Conn[*signal.Message]
		conn = runner.serve(netConn, false, "list", "controller", func(message *signal.Message) { runner.List.HandleMessage(listConn, message) }, func() {
			runner.listConns = slices.DeleteFunc(runner.listConns, func(other *transport.Conn[*signal.Message]) bool { return other == conn })
			runner.List.ConnClosed(listConn)
		})
		send := sendFunc(conn)
		listConn = runner.List.OpenConn(func(message *signal.Message) { send(message) })
		runner.listConns = append(runner.listConns, conn)
	})
	for number := range runner.scenario.Fleet.Exchanges {
		address := controllers.Addr(number)
		for range runner.scenario.Callers.Connections {
			runner.maintainConn(address, func(netConn net.Conn) *transport.Conn[*signal.Message] {
				var callersConn *subscriber.Conn
				conn := runner.serve(netConn, true, fmt.Sprintf("callers of %d", number), "controller",
					func(message *signal.Message) { runner.Callers.HandleMessage(callersConn, message) },
					func() { runner.Callers.ConnClosed(number, callersConn) })
				callersConn = runner.Callers.OpenConn(number, sendFunc(conn))
				return conn
			})
		}
		runner.maintainConn(address, func(netConn net.Conn) *transport.Conn[*signal.Message] {
			current := runner.Fleet.Current(number)
			return runner.serveExchange(runner.listeners[current.ID], current, netConn, true)
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
		return fmt.Errorf("the run was cancelled: %w", ctx.Err())
	}
}

// Close stops the loop, closes all connections and waits for all goroutines.
func (runner *Runner) Close() {
	runner.cancel()
	<-runner.loopDone
	runner.listListener.Close()
	for _, listener := range runner.orderedListeners {
		listener.listener.Close()
		listener.faults.removeAll()
		for _, established := range listener.conns {
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

// Do calls callback in the loop, the only place where the simulation may be accessed
// during a run.
func (runner *Runner) Do(callback func()) { runner.loop.post(runner.ctx, callback) }
