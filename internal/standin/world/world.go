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
func New(scn *settings.Scenario, n Network, w *capture.Writer) (*Runner, error) {
	ctx, stop := context.WithCancel(context.Background())
	wd := &Runner{scenario: scn, loop: newEventLoop(), network: n, capture: w, ctx: ctx, cancel: stop, loopDone: make(chan struct{}),
		listeners: map[uint32]*exchangeListener{}}
	s, err := scene.New(scn, wd.loop, environment{wd})
	if err == nil {
		wd.Simulation = s
		wd.listListener, err = n.Listen()
	}
	if err != nil {
		stop()
		return nil, fmt.Errorf("opening the stand-ins' doors: %w", err)
	}
	wd.listAddress = wd.listListener.Addr().String()
	return wd, nil
}

// environment is what the scene asks of its sockets. All but Open come in the loop.
type environment struct{ runner *Runner }

func (e environment) Listen(id uint32) (string, error) {
	ln, err := e.runner.network.Listen()
	if err != nil {
		return "", err
	}
	d := &exchangeListener{listener: ln, faults: &connFaults{}}
	e.runner.listeners[id], e.runner.orderedListeners = d, append(e.runner.orderedListeners, d)
	e.runner.acceptConns(ln, func(nc net.Conn) { e.runner.acceptExchange(d, id, nc) })
	return ln.Addr().String(), nil
}

func (e environment) StopListening(id uint32) {
	e.CloseConns(id, fmt.Sprintf("exchange %d is out of service", id), func(*exchange.Conn) bool { return true })
	e.runner.listeners[id].listener.Close()
}

func (e environment) CloseConns(id uint32, why string, which func(*exchange.Conn) bool) int {
	n := 0
	for _, l := range e.runner.listeners[id].conns {
		if which(l.simulated) {
			n++
			l.conn.Close(fmt.Errorf("%s", why))
		}
	}
	return n
}

func (e environment) SetFault(id uint32, f scene.Fault, on bool) {
	wire := e.runner.listeners[id].faults
	switch {
	case f == scene.HalfOpen:
		wire.halfOpen.Store(on)
	case f == scene.FragmentedWrites:
		wire.fragments.Store(on)
	case on:
		wire.stalled.Store(true)
	default:
		wire.releaseReaders()
	}
}

func (e environment) SetListUnavailable(away bool) {
	e.runner.listUnavailable.Store(away)
	if away {
		for _, c := range e.runner.listConns {
			c.Close(fmt.Errorf("the list is away"))
		}
	}
}

func (e environment) SendMalformed(perSecond float64) func() {
	return e.runner.sendMalformed(perSecond)
}
func (e environment) RestartController(cell int) { e.runner.controllers.Restart(cell) }
func (e environment) Record(name string, v any)  { e.runner.capture.Fact(name, v) }

func (w *Runner) acceptExchange(d *exchangeListener, id uint32, nc net.Conn) {
	if x := w.ExchangeByID(id); x != nil && x.Up {
		w.serveExchange(d, x, d.faults.wrap(nc), false)
	} else {
		nc.Close()
	}
}

// serveExchange serves a connection of an exchange: a controller's, or its own to its controller.
func (w *Runner) serveExchange(d *exchangeListener, x *exchange.Exchange, nc net.Conn, transit bool) *transport.Conn[*signal.Message] {
	var ec *exchange.Conn
	var c *transport.Conn[*signal.Message]
	c = w.serve(nc, transit, exchangeOwner(x.ID), "controller",
		func(m *signal.Message) {
			if transit || !d.faults.halfOpen.Load() {
				w.Fleet.HandleMessage(ec, m)
			}
		},
		func() {
			d.conns = slices.DeleteFunc(d.conns, func(l exchangeConn) bool { return l.conn == c })
			w.Fleet.ConnClosed(ec)
		})
	send := sendFunc(c)
	ec = w.Fleet.OpenConn(x, transit, func(m *signal.Message) { send(m) })
	d.conns = append(d.conns, exchangeConn{c, ec})
	return c
}

// ListAddr is where controllers find the exchange list.
func (w *Runner) ListAddr() string { return w.listAddress }

// Run starts the callers and lets the day pass; progress is told now and then.
func (w *Runner) Run(ctx context.Context, hosts Controllers, progress func(passed time.Duration, calls int)) error {
	w.controllers = hosts
	w.acceptConns(w.listListener, func(nc net.Conn) {
		if w.listUnavailable.Load() {
			nc.Close()
			return
		}
		var lc *exlist.Conn
		var c *transport.Conn[*signal.Message]
		c = w.serve(nc, false, "list", "controller", func(m *signal.Message) { w.List.HandleMessage(lc, m) }, func() {
			w.listConns = slices.DeleteFunc(w.listConns, func(o *transport.Conn[*signal.Message]) bool { return o == c })
			w.List.ConnClosed(lc)
		})
		send := sendFunc(c)
		lc = w.List.OpenConn(func(m *signal.Message) { send(m) })
		w.listConns = append(w.listConns, c)
	})
	for cell := range w.scenario.Fleet.Exchanges {
		addr := hosts.Addr(cell)
		for range w.scenario.Callers.Connections {
			w.maintainConn(addr, func(nc net.Conn) *transport.Conn[*signal.Message] {
				var sc *subscriber.Conn
				c := w.serve(nc, true, fmt.Sprintf("callers of %d", cell), "controller",
					func(m *signal.Message) { w.Callers.HandleMessage(sc, m) }, func() { w.Callers.ConnClosed(cell, sc) })
				sc = w.Callers.OpenConn(cell, sendFunc(c))
				return c
			})
		}
		w.maintainConn(addr, func(nc net.Conn) *transport.Conn[*signal.Message] {
			x := w.Fleet.Current(cell)
			return w.serveExchange(w.listeners[x.ID], x, nc, true)
		})
	}
	go func() {
		defer close(w.loopDone)
		w.loop.run(w.ctx)
	}()
	end := make(chan struct{})
	w.loop.post(w.ctx, func() { w.Start(progress, func() { close(end) }) })
	select {
	case <-end:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the day was broken off: %w", ctx.Err())
	}
}

// Close ends all connections and goroutines.
func (w *Runner) Close() {
	w.cancel()
	<-w.loopDone
	w.listListener.Close()
	for _, d := range w.orderedListeners {
		d.listener.Close()
		d.faults.removeAll()
		for _, l := range d.conns {
			l.conn.Close(errRunEnded)
			<-l.conn.Done()
		}
	}
	for _, c := range w.listConns {
		c.Close(errRunEnded)
		<-c.Done()
	}
	w.wg.Wait()
}

// Do runs f among the stand-ins, which nobody else may touch while they live.
func (w *Runner) Do(f func()) { w.loop.post(w.ctx, f) }
