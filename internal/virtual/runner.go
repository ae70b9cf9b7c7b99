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
	Policy  string                                             // of the controllers; empty: the module
	Hop     time.Duration                                      // one way between a controller and a stand-in; 0: 50 us
	Flows   func(cell int) flow.Sink                           // takes the records of a controller's life; nil: none
	Capture func(who string, now func() int64) *capture.Writer // nil: none
	Shape   func(*scene.Scene)                                 // changes the scene before the day begins; nil: as drawn
}

// began is the day on which every run starts.
var began = time.Duration(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())

// restartTakes is how long a killed controller is away.
const restartTakes = 50 * time.Millisecond

// redialAfter is how soon a stand-in dials again.
const redialAfter = 50 * time.Millisecond

// leaveWithin is how long the controllers may take to answer what they have.
const leaveWithin = 15 * time.Second

// Runner is one day under way.
type Runner struct {
	scn     *settings.Scenario
	opt     Options
	hop     time.Duration
	clock   *Clock
	scene   *scene.Scene
	nodes   []*node
	starts  []uint64 // of each controller
	doors   map[uint32]*door
	away    bool // the list
	lists   []*wire
	capture *capture.Writer
	conns   int
	logs    int
	stats   []controller.Stats // of controllers that have ended
	err     error              // of the first capture that could not be written
}

// door is where an exchange is reached.
type door struct {
	conns         []*wire // in the order of their making
	exch          map[*wire]*exchange.Conn
	shut          bool
	mute, stalled bool
}

// Day is what came of a run.
type Day struct {
	*scene.Scene
	Held   int                // circuits in use when all controllers have left
	Left   bool               // all controllers have answered what they had, and left
	Events uint64             // that happened
	Took   time.Duration      // virtual time from the first to the last
	Stats  []controller.Stats // of each controller's life, in the order of their ends
}

// Run plays a scenario to its end.
func Run(scn *settings.Scenario, opt Options) (*Day, error) {
	if opt.Policy == "" {
		opt.Policy = "brain"
	}
	if opt.Hop <= 0 {
		opt.Hop = 50 * time.Microsecond
	}
	r := &Runner{scn: scn, opt: opt, hop: opt.Hop, clock: &Clock{now: began}, doors: map[uint32]*door{},
		starts: make([]uint64, scn.Fleet.Exchanges)}
	r.capture = r.writer("stand-ins")
	s, err := scene.New(scn, r.clock, edge{r})
	if err != nil {
		return nil, fmt.Errorf("drawing the fleet of %s: %w", scn.Name, err)
	}
	if r.scene = s; opt.Shape != nil {
		opt.Shape(s)
	}
	for cell := range scn.Fleet.Exchanges {
		r.nodes = append(r.nodes, nil)
		r.start(cell)
		for range scn.Callers.Connections {
			r.dialCallers(cell)
		}
		r.dialTransit(cell)
	}
	ended := false
	s.Begin(nil, func() { ended = true })
	if !r.clock.Run(began+scn.Length+time.Hour, func() bool { return ended }) {
		return nil, fmt.Errorf("the day of %s does not end", scn.Name)
	}
	for _, n := range r.nodes {
		n.step(controller.Input{Kind: controller.InputShutdown})
	}
	left := r.clock.Run(r.clock.now+leaveWithin, func() bool {
		return !slices.ContainsFunc(r.nodes, func(n *node) bool { return !n.left })
	})
	d := &Day{Scene: s, Left: left, Events: r.clock.Events(), Took: r.clock.now - began}
	for _, n := range r.nodes {
		n.kill()
		r.stats = append(r.stats, n.core.Stats())
	}
	r.clock.Run(r.clock.now+r.hop, func() bool { return false }) // the connections close
	d.Held, d.Stats = s.Fleet.Held(), r.stats
	for _, n := range r.nodes {
		r.err = cmp.Or(r.err, n.capture.Close())
	}
	if err := cmp.Or(r.err, r.capture.Close()); err != nil {
		return nil, fmt.Errorf("the capture of %s: %w", scn.Name, err)
	}
	return d, nil
}

func (r *Runner) writer(who string) *capture.Writer {
	if r.opt.Capture == nil {
		return nil
	}
	return r.opt.Capture(who, func() int64 { return int64(r.clock.now) })
}

func owner(cell int) string { return fmt.Sprint("controller ", cell) }

func (r *Runner) start(cell int) {
	var sink flow.Sink
	if r.opt.Flows != nil {
		sink = r.opt.Flows(cell)
	}
	r.nodes[cell] = r.newNode(cell, sink, r.writer(owner(cell)))
}

// connect makes a connection that both ends know of.
func (r *Runner) connect(n *node, p controller.Peer, far string, dialed bool, d *door) *wire {
	r.conns++
	w := &wire{r: r, n: n, peer: p, near: true, far: true, door: d}
	if r.capture != nil {
		key := fmt.Sprint("wire ", r.conns)
		w.nearTap = n.capture.Open(key, capture.Endpoint{Owner: owner(n.cell), Role: p.Role.String(), Peer: p.ID, Dialed: dialed})
		w.farTap = r.capture.Open(key, capture.Endpoint{Owner: far, Role: "controller", Dialed: !dialed})
	}
	return w
}

// answer is a controller's call at a door; nil if nobody opens.
func (r *Runner) answer(n *node, p controller.Peer, addr string) *wire {
	if p.Role == controller.RoleExchangeList {
		if r.away {
			return nil
		}
		w := r.connect(n, p, "list", true, nil)
		var lc *exlist.Conn
		w.message = func(m *signal.Message) { r.scene.List.Message(lc, m) }
		w.closed = func() {
			r.lists = slices.DeleteFunc(r.lists, func(o *wire) bool { return o == w })
			r.scene.List.Closed(lc)
		}
		lc = r.scene.List.Open(func(m *signal.Message) { w.toController(m) })
		r.lists = append(r.lists, w)
		return w
	}
	id, ok := exchangeID(addr)
	d := r.doors[id]
	if !ok || d == nil || d.shut {
		return nil
	}
	x := r.scene.Exchange(id)
	if x == nil || !x.Up {
		return nil
	}
	w := r.connect(n, p, fmt.Sprint("exchange ", id), true, d)
	w.faulty = true
	r.talk(d, x, w, false)
	return w
}

// talk serves a connection of an exchange.
func (r *Runner) talk(d *door, x *exchange.Exchange, w *wire, transit bool) {
	var ec *exchange.Conn
	w.message = func(m *signal.Message) { r.scene.Fleet.Message(ec, m) }
	w.closed = func() {
		d.conns = slices.DeleteFunc(d.conns, func(o *wire) bool { return o == w })
		delete(d.exch, w)
		r.scene.Fleet.Closed(ec)
		if transit {
			r.clock.After(redialAfter, func() { r.dialTransit(x.Cell) })
		}
	}
	ec = r.scene.Fleet.Open(x, transit, func(m *signal.Message) { w.toController(m) })
	d.conns = append(d.conns, w)
	d.exch[w] = ec
}

// dialTransit connects the exchange of a cell with its controller.
func (r *Runner) dialTransit(cell int) {
	r.clock.After(r.hop, func() {
		n, x := r.nodes[cell], r.scene.Fleet.Current(cell)
		if n.dead {
			r.clock.After(redialAfter, func() { r.dialTransit(cell) })
			return
		}
		d := r.doors[x.ID]
		w := r.connect(n, n.accept(), fmt.Sprint("exchange ", x.ID), false, d)
		n.wires[w.peer] = w
		r.talk(d, x, w, true)
	})
}

// dialCallers connects subscribers with their controller.
func (r *Runner) dialCallers(cell int) {
	r.clock.After(r.hop, func() {
		again := func() { r.clock.After(redialAfter, func() { r.dialCallers(cell) }) }
		n := r.nodes[cell]
		if n.dead {
			again()
			return
		}
		w := r.connect(n, n.accept(), fmt.Sprint("callers of ", cell), false, nil)
		n.wires[w.peer] = w
		var sc *subscriber.Conn
		w.message = func(m *signal.Message) { r.scene.Crowd.Message(sc, m) }
		w.closed = func() {
			r.scene.Crowd.Closed(cell, sc)
			again()
		}
		sc = r.scene.Crowd.Open(cell, w.toController)
	})
}

// edge is what the scene asks of its connections.
type edge struct{ r *Runner }

func (e edge) Open(id uint32) (string, error) {
	e.r.doors[id] = &door{exch: map[*wire]*exchange.Conn{}}
	return fmt.Sprint("exchange:", id), nil
}

func (e edge) Shut(id uint32) {
	e.r.doors[id].shut = true
	e.Break(id, "out of service", func(*exchange.Conn) bool { return true })
}

func (e edge) Break(id uint32, why string, which func(*exchange.Conn) bool) int {
	d, n := e.r.doors[id], 0
	for _, w := range slices.Clone(d.conns) {
		if which(d.exch[w]) {
			n++
			w.close(why, false)
		}
	}
	return n
}

// Fault of an exchange's connections; pieces make no difference where messages arrive whole.
func (e edge) Fault(id uint32, f scene.Fault, on bool) {
	d := e.r.doors[id]
	switch f {
	case scene.Mute:
		d.mute = on
	case scene.Stalled:
		if d.stalled = on; !on {
			for _, w := range slices.Clone(d.conns) {
				w.flow()
			}
		}
	}
}

func (e edge) ListAway(away bool) {
	if e.r.away = away; away {
		for _, w := range slices.Clone(e.r.lists) {
			w.close("the list is away", false)
		}
	}
}

func (e edge) Garbage(perSecond float64) func() {
	over := false
	for cell := range e.r.nodes {
		n := e.r.nodes[cell]
		if n.dead {
			continue
		}
		w := e.r.connect(n, n.accept(), "junk", false, nil)
		n.wires[w.peer] = w
		w.message, w.closed = func(*signal.Message) {}, func() {}
		var next func(i int)
		next = func(i int) {
			if over || !w.near {
				return
			}
			n.junk(w.peer, scene.Junk[i%len(scene.Junk)])
			e.r.clock.After(time.Duration(float64(time.Second)/perSecond), func() { next(i + 1) })
		}
		next(0)
	}
	return func() { over = true }
}

func (e edge) Restart(cell int) {
	n := e.r.nodes[cell]
	n.kill()
	e.r.stats = append(e.r.stats, n.core.Stats())
	e.r.capture.Fact("killed", capture.Killed{Owner: owner(cell)})
	if err := n.capture.Close(); err != nil && e.r.err == nil {
		e.r.err = err
	}
	e.r.clock.After(restartTakes, func() { e.r.start(cell) })
}

func (e edge) Fact(name string, v any) { e.r.capture.Fact(name, v) }

func sortedPeers(m map[controller.Peer]*wire) []controller.Peer {
	return slices.SortedFunc(maps.Keys(m), func(a, b controller.Peer) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
	})
}
