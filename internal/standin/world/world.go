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

// door is the sockets of one exchange.
type door struct {
	ln    net.Listener
	conns []link // in the order of their making
	wire  *faults
}

type link struct {
	c  *transport.Conn[*signal.Message]
	ec *exchange.Conn
}

// Runner is the stand-ins of one scenario on a network.
type Runner struct {
	*scene.Simulation
	scn     *settings.Scenario
	loop    *loop
	net     Network
	capture *capture.Writer
	hosts   Controllers

	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
	done     chan struct{}
	doors    map[uint32]*door // by exchange
	order    []*door
	listLn   net.Listener
	listAddr string
	listAway atomic.Bool
	lists    []*transport.Conn[*signal.Message]
}

// New draws a fleet and opens its listeners.
func New(scn *settings.Scenario, n Network, w *capture.Writer) (*Runner, error) {
	ctx, stop := context.WithCancel(context.Background())
	wd := &Runner{scn: scn, loop: newLoop(), net: n, capture: w, ctx: ctx, stop: stop, done: make(chan struct{}),
		doors: map[uint32]*door{}}
	s, err := scene.New(scn, wd.loop, edge{wd})
	if err == nil {
		wd.Simulation = s
		wd.listLn, err = n.Listen()
	}
	if err != nil {
		stop()
		return nil, fmt.Errorf("opening the stand-ins' doors: %w", err)
	}
	wd.listAddr = wd.listLn.Addr().String()
	return wd, nil
}

// edge is what the scene asks of its sockets. All but Open come in the loop.
type edge struct{ w *Runner }

func (e edge) Listen(id uint32) (string, error) {
	ln, err := e.w.net.Listen()
	if err != nil {
		return "", err
	}
	d := &door{ln: ln, wire: &faults{}}
	e.w.doors[id], e.w.order = d, append(e.w.order, d)
	e.w.accept(ln, func(nc net.Conn) { e.w.acceptExchange(d, id, nc) })
	return ln.Addr().String(), nil
}

func (e edge) StopListening(id uint32) {
	e.CloseConns(id, fmt.Sprintf("exchange %d is out of service", id), func(*exchange.Conn) bool { return true })
	e.w.doors[id].ln.Close()
}

func (e edge) CloseConns(id uint32, why string, which func(*exchange.Conn) bool) int {
	n := 0
	for _, l := range e.w.doors[id].conns {
		if which(l.ec) {
			n++
			l.c.Close(fmt.Errorf("%s", why))
		}
	}
	return n
}

func (e edge) SetFault(id uint32, f scene.Fault, on bool) {
	wire := e.w.doors[id].wire
	switch {
	case f == scene.HalfOpen:
		wire.mute.Store(on)
	case f == scene.FragmentedWrites:
		wire.fragments.Store(on)
	case on:
		wire.stalled.Store(true)
	default:
		wire.release()
	}
}

func (e edge) SetListUnavailable(away bool) {
	e.w.listAway.Store(away)
	if away {
		for _, c := range e.w.lists {
			c.Close(fmt.Errorf("the list is away"))
		}
	}
}

func (e edge) SendMalformed(perSecond float64) func() { return e.w.garbage(perSecond) }
func (e edge) RestartController(cell int)             { e.w.hosts.Restart(cell) }
func (e edge) Record(name string, v any)              { e.w.capture.Fact(name, v) }

func (w *Runner) acceptExchange(d *door, id uint32, nc net.Conn) {
	if x := w.ExchangeByID(id); x != nil && x.Up {
		w.talk(d, x, d.wire.wrap(nc), false)
	} else {
		nc.Close()
	}
}

// talk serves a connection of an exchange: a controller's, or its own to its controller.
func (w *Runner) talk(d *door, x *exchange.Exchange, nc net.Conn, transit bool) *transport.Conn[*signal.Message] {
	var ec *exchange.Conn
	var c *transport.Conn[*signal.Message]
	c = w.serve(nc, transit, exchangeOwner(x.ID), "controller",
		func(m *signal.Message) {
			if transit || !d.wire.mute.Load() {
				w.Fleet.HandleMessage(ec, m)
			}
		},
		func() {
			d.conns = slices.DeleteFunc(d.conns, func(l link) bool { return l.c == c })
			w.Fleet.ConnClosed(ec)
		})
	send := say(c)
	ec = w.Fleet.OpenConn(x, transit, func(m *signal.Message) { send(m) })
	d.conns = append(d.conns, link{c, ec})
	return c
}

// ListAddr is where controllers find the exchange list.
func (w *Runner) ListAddr() string { return w.listAddr }

// Run starts the callers and lets the day pass; progress is told now and then.
func (w *Runner) Run(ctx context.Context, hosts Controllers, progress func(passed time.Duration, calls int)) error {
	w.hosts = hosts
	w.accept(w.listLn, func(nc net.Conn) {
		if w.listAway.Load() {
			nc.Close()
			return
		}
		var lc *exlist.Conn
		var c *transport.Conn[*signal.Message]
		c = w.serve(nc, false, "list", "controller", func(m *signal.Message) { w.List.HandleMessage(lc, m) }, func() {
			w.lists = slices.DeleteFunc(w.lists, func(o *transport.Conn[*signal.Message]) bool { return o == c })
			w.List.ConnClosed(lc)
		})
		send := say(c)
		lc = w.List.OpenConn(func(m *signal.Message) { send(m) })
		w.lists = append(w.lists, c)
	})
	for cell := range w.scn.Fleet.Exchanges {
		addr := hosts.Addr(cell)
		for range w.scn.Callers.Connections {
			w.redial(addr, func(nc net.Conn) *transport.Conn[*signal.Message] {
				var sc *subscriber.Conn
				c := w.serve(nc, true, fmt.Sprintf("callers of %d", cell), "controller",
					func(m *signal.Message) { w.Callers.HandleMessage(sc, m) }, func() { w.Callers.ConnClosed(cell, sc) })
				sc = w.Callers.OpenConn(cell, say(c))
				return c
			})
		}
		w.redial(addr, func(nc net.Conn) *transport.Conn[*signal.Message] {
			x := w.Fleet.Current(cell)
			return w.talk(w.doors[x.ID], x, nc, true)
		})
	}
	go func() {
		defer close(w.done)
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
	w.stop()
	<-w.done
	w.listLn.Close()
	for _, d := range w.order {
		d.ln.Close()
		d.wire.open()
		for _, l := range d.conns {
			l.c.Close(errEnd)
			<-l.c.Done()
		}
	}
	for _, c := range w.lists {
		c.Close(errEnd)
		<-c.Done()
	}
	w.wg.Wait()
}

// Do runs f among the stand-ins, which nobody else may touch while they live.
func (w *Runner) Do(f func()) { w.loop.post(w.ctx, f) }
