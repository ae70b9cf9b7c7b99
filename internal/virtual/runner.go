// Package virtual plays a scenario in virtual time: the controller core and the
// module in as many instances as the fleet has exchanges, over the logic of the
// stand-ins, with no socket, goroutine or wall clock. The same scenario, seed
// and policy give the same day, to the call.
//
// Files: queue.go the events to come; clock.go virtual time; node.go one
// controller with what the daemon does around its core; wire.go one connection;
// runner.go the day.
package virtual

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/controller"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/standin/exchange"
	"dahliaspindle/internal/standin/exlist"
	"dahliaspindle/internal/standin/scene"
	"dahliaspindle/internal/standin/subscriber"
)

// Options of a run. The zero value plays the module, without records or capture.
type Options struct {
	Policy      string                                             // of the controllers; empty: the module
	HopDelay    time.Duration                                      // one way between a controller and a stand-in; 0: 50 us
	NewFlowSink func(cell int) flow.Sink                           // takes the records of a controller's life; nil: none
	NewCapture  func(who string, now func() int64) *capture.Writer // nil: none
	Prepare     func(*scene.Simulation)                            // changes the scene before the day begins; nil: as drawn
}

// startTime is the day on which every run starts.
var startTime = time.Duration(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())

// restartTime is how long a killed controller is away.
const restartTime = 50 * time.Millisecond

// redialDelay is how soon a stand-in dials again.
const redialDelay = 50 * time.Millisecond

// shutdownTimeout is how long the controllers may take to answer what they have.
const shutdownTimeout = 15 * time.Second

// Runner is one day under way.
type Runner struct {
	scenario        *settings.Scenario
	options         Options
	hopDelay        time.Duration
	clock           *Clock
	simulation      *scene.Simulation
	nodes           []*node
	startCounts     []uint64 // of each controller
	ports           map[uint32]*exchangePort
	listUnavailable bool // the list
	listConnections []*connection
	capture         *capture.Writer
	connectionCount int
	logCount        int
	endedStats      []controller.Stats // of controllers that have ended
	captureErr      error              // of the first capture that could not be written
}

// exchangePort is where an exchange is reached.
type exchangePort struct {
	connections       []*connection // in the order of their making
	exchangeConns     map[*connection]*exchange.Conn
	closed            bool
	halfOpen, stalled bool
}

// Result is what came of a run.
type Result struct {
	*scene.Simulation
	CircuitsInUse   int                // circuits in use when all controllers have left
	AllStopped      bool               // all controllers have answered what they had, and left
	Events          uint64             // that happened
	Duration        time.Duration      // virtual time from the first to the last
	ControllerStats []controller.Stats // of each controller's life, in the order of their ends
}

// Run plays a scenario to its end.
func Run(scn *settings.Scenario, opt Options) (*Result, error) {
	if opt.Policy == "" {
		opt.Policy = "brain"
	}
	if opt.HopDelay <= 0 {
		opt.HopDelay = 50 * time.Microsecond
	}
	r := &Runner{scenario: scn, options: opt, hopDelay: opt.HopDelay, clock: &Clock{now: startTime}, ports: map[uint32]*exchangePort{},
		startCounts: make([]uint64, scn.Fleet.Exchanges)}
	r.capture = r.newCaptureWriter("stand-ins")
	s, err := scene.New(scn, r.clock, environment{r})
	if err != nil {
		return nil, fmt.Errorf("drawing the fleet of %s: %w", scn.Name, err)
	}
	if r.simulation = s; opt.Prepare != nil {
		opt.Prepare(s)
	}
	for cell := range scn.Fleet.Exchanges {
		r.nodes = append(r.nodes, nil)
		r.startController(cell)
		for range scn.Callers.Connections {
			r.dialCallers(cell)
		}
		r.dialTransit(cell)
	}
	ended := false
	s.Start(nil, func() { ended = true })
	if !r.clock.Run(startTime+scn.Length+time.Hour, func() bool { return ended }) {
		return nil, fmt.Errorf("the day of %s does not end", scn.Name)
	}
	for _, n := range r.nodes {
		n.handleInput(controller.Input{Kind: controller.InputShutdown})
	}
	left := r.clock.Run(r.clock.now+shutdownTimeout, func() bool {
		return !slices.ContainsFunc(r.nodes, func(n *node) bool { return !n.stopped })
	})
	d := &Result{Simulation: s, AllStopped: left, Events: r.clock.Events(), Duration: r.clock.now - startTime}
	for _, n := range r.nodes {
		n.kill()
		r.endedStats = append(r.endedStats, n.core.Stats())
	}
	r.clock.Run(r.clock.now+r.hopDelay, func() bool { return false }) // the connections close
	d.CircuitsInUse, d.ControllerStats = s.Fleet.CircuitsInUse(), r.endedStats
	for _, n := range r.nodes {
		r.captureErr = cmp.Or(r.captureErr, n.capture.Close())
	}
	if err := cmp.Or(r.captureErr, r.capture.Close()); err != nil {
		return nil, fmt.Errorf("the capture of %s: %w", scn.Name, err)
	}
	return d, nil
}

func (r *Runner) newCaptureWriter(who string) *capture.Writer {
	if r.options.NewCapture == nil {
		return nil
	}
	return r.options.NewCapture(who, func() int64 { return int64(r.clock.now) })
}

func controllerOwner(cell int) string { return fmt.Sprint("controller ", cell) }

func (r *Runner) startController(cell int) {
	var sink flow.Sink
	if r.options.NewFlowSink != nil {
		sink = r.options.NewFlowSink(cell)
	}
	r.nodes[cell] = r.newNode(cell, sink, r.newCaptureWriter(controllerOwner(cell)))
}

// newConnection makes a connection that both ends know of.
func (r *Runner) newConnection(n *node, p controller.Peer, far string, dialed bool, d *exchangePort) *connection {
	r.connectionCount++
	w := &connection{runner: r, node: n, peer: p, controllerOpen: true, remoteOpen: true, port: d}
	if r.capture != nil {
		key := fmt.Sprint("wire ", r.connectionCount)
		w.controllerRecorder = n.capture.Open(key, capture.Endpoint{Owner: controllerOwner(n.cell), Role: p.Role.String(), Peer: p.ID, Dialed: dialed})
		w.remoteRecorder = r.capture.Open(key, capture.Endpoint{Owner: far, Role: "controller", Dialed: !dialed})
	}
	return w
}

// acceptDial is a controller's call at a door; nil if nobody opens.
func (r *Runner) acceptDial(n *node, p controller.Peer, addr string) *connection {
	if p.Role == controller.RoleExchangeList {
		if r.listUnavailable {
			return nil
		}
		w := r.newConnection(n, p, "list", true, nil)
		var lc *exlist.Conn
		w.onMessage = func(m *signal.Message) { r.simulation.List.HandleMessage(lc, m) }
		w.onClosed = func() {
			r.listConnections = slices.DeleteFunc(r.listConnections, func(o *connection) bool { return o == w })
			r.simulation.List.ConnClosed(lc)
		}
		lc = r.simulation.List.OpenConn(func(m *signal.Message) { w.sendToController(m) })
		r.listConnections = append(r.listConnections, w)
		return w
	}
	id, ok := parseExchangeAddress(addr)
	d := r.ports[id]
	if !ok || d == nil || d.closed {
		return nil
	}
	x := r.simulation.ExchangeByID(id)
	if x == nil || !x.Up {
		return nil
	}
	w := r.newConnection(n, p, fmt.Sprint("exchange ", id), true, d)
	w.subjectToFaults = true
	r.serveExchange(d, x, w, false)
	return w
}

// serveExchange serves a connection of an exchange.
func (r *Runner) serveExchange(d *exchangePort, x *exchange.Exchange, w *connection, transit bool) {
	var ec *exchange.Conn
	w.onMessage = func(m *signal.Message) { r.simulation.Fleet.HandleMessage(ec, m) }
	w.onClosed = func() {
		d.connections = slices.DeleteFunc(d.connections, func(o *connection) bool { return o == w })
		delete(d.exchangeConns, w)
		r.simulation.Fleet.ConnClosed(ec)
		if transit {
			r.clock.After(redialDelay, func() { r.dialTransit(x.Number) })
		}
	}
	ec = r.simulation.Fleet.OpenConn(x, transit, func(m *signal.Message) { w.sendToController(m) })
	d.connections = append(d.connections, w)
	d.exchangeConns[w] = ec
}

// dialTransit connects the exchange of a cell with its controller.
func (r *Runner) dialTransit(cell int) {
	r.clock.After(r.hopDelay, func() {
		n, x := r.nodes[cell], r.simulation.Fleet.Current(cell)
		if n.killed {
			r.clock.After(redialDelay, func() { r.dialTransit(cell) })
			return
		}
		d := r.ports[x.ID]
		w := r.newConnection(n, n.acceptCaller(), fmt.Sprint("exchange ", x.ID), false, d)
		n.connections[w.peer] = w
		r.serveExchange(d, x, w, true)
	})
}

// dialCallers connects subscribers with their controller.
func (r *Runner) dialCallers(cell int) {
	r.clock.After(r.hopDelay, func() {
		again := func() { r.clock.After(redialDelay, func() { r.dialCallers(cell) }) }
		n := r.nodes[cell]
		if n.killed {
			again()
			return
		}
		w := r.newConnection(n, n.acceptCaller(), fmt.Sprint("callers of ", cell), false, nil)
		n.connections[w.peer] = w
		var sc *subscriber.Conn
		w.onMessage = func(m *signal.Message) { r.simulation.Callers.HandleMessage(sc, m) }
		w.onClosed = func() {
			r.simulation.Callers.ConnClosed(cell, sc)
			again()
		}
		sc = r.simulation.Callers.OpenConn(cell, w.sendToController)
	})
}

// environment is what the scene asks of its connections.
type environment struct{ runner *Runner }

func (e environment) Listen(id uint32) (string, error) {
	e.runner.ports[id] = &exchangePort{exchangeConns: map[*connection]*exchange.Conn{}}
	return fmt.Sprint("exchange:", id), nil
}

func (e environment) StopListening(id uint32) {
	e.runner.ports[id].closed = true
	e.CloseConns(id, "out of service", func(*exchange.Conn) bool { return true })
}

func (e environment) CloseConns(id uint32, why string, which func(*exchange.Conn) bool) int {
	d, n := e.runner.ports[id], 0
	for _, w := range slices.Clone(d.connections) {
		if which(d.exchangeConns[w]) {
			n++
			w.close(why, false)
		}
	}
	return n
}

// SetFault of an exchange's connections; pieces make no difference where messages arrive whole.
func (e environment) SetFault(id uint32, f scene.Fault, on bool) {
	d := e.runner.ports[id]
	switch f {
	case scene.HalfOpen:
		d.halfOpen = on
	case scene.StalledReader:
		if d.stalled = on; !on {
			for _, w := range slices.Clone(d.connections) {
				w.resumeReading()
			}
		}
	}
}

func (e environment) SetListUnavailable(away bool) {
	if e.runner.listUnavailable = away; away {
		for _, w := range slices.Clone(e.runner.listConnections) {
			w.close("the list is away", false)
		}
	}
}

func (e environment) SendMalformed(perSecond float64) func() {
	over := false
	for cell := range e.runner.nodes {
		n := e.runner.nodes[cell]
		if n.killed {
			continue
		}
		w := e.runner.newConnection(n, n.acceptCaller(), "junk", false, nil)
		n.connections[w.peer] = w
		w.onMessage, w.onClosed = func(*signal.Message) {}, func() {}
		var next func(i int)
		next = func(i int) {
			if over || !w.controllerOpen {
				return
			}
			n.receiveMalformed(w.peer, scene.MalformedMessages[i%len(scene.MalformedMessages)])
			e.runner.clock.After(time.Duration(float64(time.Second)/perSecond), func() { next(i + 1) })
		}
		next(0)
	}
	return func() { over = true }
}

func (e environment) RestartController(cell int) {
	n := e.runner.nodes[cell]
	n.kill()
	e.runner.endedStats = append(e.runner.endedStats, n.core.Stats())
	e.runner.capture.Fact("killed", capture.Killed{Owner: controllerOwner(cell)})
	if err := n.capture.Close(); err != nil && e.runner.captureErr == nil {
		e.runner.captureErr = err
	}
	e.runner.clock.After(restartTime, func() { e.runner.startController(cell) })
}

func (e environment) Record(name string, v any) { e.runner.capture.Fact(name, v) }

func sortedPeers(m map[controller.Peer]*connection) []controller.Peer {
	return slices.SortedFunc(maps.Keys(m), func(a, b controller.Peer) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
	})
}
