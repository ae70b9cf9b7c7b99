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
func Run(scenario *settings.Scenario, options Options) (*Result, error) {
	if options.Policy == "" {
		options.Policy = "brain"
	}
	if options.HopDelay <= 0 {
		options.HopDelay = 50 * time.Microsecond
	}
	runner := &Runner{scenario: scenario, options: options, hopDelay: options.HopDelay, clock: &Clock{now: startTime}, ports: map[uint32]*exchangePort{},
		startCounts: make([]uint64, scenario.Fleet.Exchanges)}
	runner.capture = runner.newCaptureWriter("stand-ins")
	simulation, err := scene.New(scenario, runner.clock, environment{runner})
	if err != nil {
		return nil, fmt.Errorf("drawing the fleet of %s: %w", scenario.Name, err)
	}
	if runner.simulation = simulation; options.Prepare != nil {
		options.Prepare(simulation)
	}
	for number := range scenario.Fleet.Exchanges {
		runner.nodes = append(runner.nodes, nil)
		runner.startController(number)
		for range scenario.Callers.Connections {
			runner.dialCallers(number)
		}
		runner.dialTransit(number)
	}
	ended := false
	simulation.Start(nil, func() { ended = true })
	if !runner.clock.Run(startTime+scenario.Length+time.Hour, func() bool { return ended }) {
		return nil, fmt.Errorf("the day of %s does not end", scenario.Name)
	}
	for _, node := range runner.nodes {
		node.handleInput(controller.Input{Kind: controller.InputShutdown})
	}
	allStopped := runner.clock.Run(runner.clock.now+shutdownTimeout, func() bool {
		return !slices.ContainsFunc(runner.nodes, func(n *node) bool { return !n.stopped })
	})
	result := &Result{Simulation: simulation, AllStopped: allStopped, Events: runner.clock.Events(), Duration: runner.clock.now - startTime}
	for _, n := range runner.nodes {
		n.kill()
		runner.endedStats = append(runner.endedStats, n.core.Stats())
	}
	runner.clock.Run(runner.clock.now+runner.hopDelay, func() bool { return false }) // the connections close
	result.CircuitsInUse, result.ControllerStats = simulation.Fleet.CircuitsInUse(), runner.endedStats
	for _, n := range runner.nodes {
		runner.captureErr = cmp.Or(runner.captureErr, n.capture.Close())
	}
	if err := cmp.Or(runner.captureErr, runner.capture.Close()); err != nil {
		return nil, fmt.Errorf("the capture of %s: %w", scenario.Name, err)
	}
	return result, nil
}

func (runner *Runner) newCaptureWriter(owner string) *capture.Writer {
	if runner.options.NewCapture == nil {
		return nil
	}
	return runner.options.NewCapture(owner, func() int64 { return int64(runner.clock.now) })
}

func controllerOwner(number int) string { return fmt.Sprint("controller ", number) }

func (runner *Runner) startController(number int) {
	var flowSink flow.Sink
	if runner.options.NewFlowSink != nil {
		flowSink = runner.options.NewFlowSink(number)
	}
	runner.nodes[number] = runner.newNode(number, flowSink, runner.newCaptureWriter(controllerOwner(number)))
}

// newConnection makes a connection that both ends know of.
func (runner *Runner) newConnection(n *node, peer controller.Peer, remoteOwner string, dialed bool, port *exchangePort) *connection {
	runner.connectionCount++
	conn := &connection{runner: runner, node: n, peer: peer, controllerOpen: true, remoteOpen: true, port: port}
	if runner.capture != nil {
		key := fmt.Sprint("wire ", runner.connectionCount)
		conn.controllerRecorder = n.capture.Open(key, capture.Endpoint{Owner: controllerOwner(n.cell), Role: peer.Role.String(), Peer: peer.ID, Dialed: dialed})
		conn.remoteRecorder = runner.capture.Open(key, capture.Endpoint{Owner: remoteOwner, Role: "controller", Dialed: !dialed})
	}
	return conn
}

// acceptDial is a controller's call at a door; nil if nobody opens.
func (runner *Runner) acceptDial(n *node, peer controller.Peer, address string) *connection {
	if peer.Role == controller.RoleExchangeList {
		if runner.listUnavailable {
			return nil
		}
		conn := runner.newConnection(n, peer, "list", true, nil)
		var listConn *exlist.Conn
		conn.onMessage = func(m *signal.Message) { runner.simulation.List.HandleMessage(listConn, m) }
		conn.onClosed = func() {
			runner.listConnections = slices.DeleteFunc(runner.listConnections, func(other *connection) bool { return other == conn })
			runner.simulation.List.ConnClosed(listConn)
		}
		listConn = runner.simulation.List.OpenConn(func(m *signal.Message) { conn.sendToController(m) })
		runner.listConnections = append(runner.listConnections, conn)
		return conn
	}
	id, ok := parseExchangeAddress(address)
	port := runner.ports[id]
	if !ok || port == nil || port.closed {
		return nil
	}
	exchange := runner.simulation.ExchangeByID(id)
	if exchange == nil || !exchange.Up {
		return nil
	}
	w := runner.newConnection(n, peer, fmt.Sprint("exchange ", id), true, port)
	w.subjectToFaults = true
	runner.serveExchange(port, exchange, w, false)
	return w
}

// serveExchange serves a connection of an exchange.
func (runner *Runner) serveExchange(port *exchangePort, served *exchange.Exchange, conn *connection, transit bool) {
	var exchangeConn *exchange.Conn
	conn.onMessage = func(m *signal.Message) { runner.simulation.Fleet.HandleMessage(exchangeConn, m) }
	conn.onClosed = func() {
		port.connections = slices.DeleteFunc(port.connections, func(other *connection) bool { return other == conn })
		delete(port.exchangeConns, conn)
		runner.simulation.Fleet.ConnClosed(exchangeConn)
		if transit {
			runner.clock.After(redialDelay, func() { runner.dialTransit(served.Number) })
		}
	}
	exchangeConn = runner.simulation.Fleet.OpenConn(served, transit, func(m *signal.Message) { conn.sendToController(m) })
	port.connections = append(port.connections, conn)
	port.exchangeConns[conn] = exchangeConn
}

// dialTransit connects the exchange of a cell with its controller.
func (runner *Runner) dialTransit(number int) {
	runner.clock.After(runner.hopDelay, func() {
		n, current := runner.nodes[number], runner.simulation.Fleet.Current(number)
		if n.killed {
			runner.clock.After(redialDelay, func() { runner.dialTransit(number) })
			return
		}
		port := runner.ports[current.ID]
		conn := runner.newConnection(n, n.acceptCaller(), fmt.Sprint("exchange ", current.ID), false, port)
		n.connections[conn.peer] = conn
		runner.serveExchange(port, current, conn, true)
	})
}

// dialCallers connects subscribers with their controller.
func (runner *Runner) dialCallers(number int) {
	runner.clock.After(runner.hopDelay, func() {
		redial := func() { runner.clock.After(redialDelay, func() { runner.dialCallers(number) }) }
		n := runner.nodes[number]
		if n.killed {
			redial()
			return
		}
		conn := runner.newConnection(n, n.acceptCaller(), fmt.Sprint("callers of ", number), false, nil)
		n.connections[conn.peer] = conn
		var callersConn *subscriber.Conn
		conn.onMessage = func(m *signal.Message) { runner.simulation.Callers.HandleMessage(callersConn, m) }
		conn.onClosed = func() {
			runner.simulation.Callers.ConnClosed(number, callersConn)
			redial()
		}
		callersConn = runner.simulation.Callers.OpenConn(number, conn.sendToController)
	})
}

// environment is what the scene asks of its connections.
type environment struct{ runner *Runner }

func (env environment) Listen(id uint32) (string, error) {
	env.runner.ports[id] = &exchangePort{exchangeConns: map[*connection]*exchange.Conn{}}
	return fmt.Sprint("exchange:", id), nil
}

func (env environment) StopListening(id uint32) {
	env.runner.ports[id].closed = true
	env.CloseConns(id, "out of service", func(*exchange.Conn) bool { return true })
}

func (env environment) CloseConns(id uint32, reason string, matches func(*exchange.Conn) bool) int {
	port, closed := env.runner.ports[id], 0
	for _, candidate := range slices.Clone(port.connections) {
		if matches(port.exchangeConns[candidate]) {
			closed++
			candidate.close(reason, false)
		}
	}
	return closed
}

// SetFault of an exchange's connections; pieces make no difference where messages arrive whole.
func (env environment) SetFault(id uint32, fault scene.Fault, on bool) {
	port := env.runner.ports[id]
	switch fault {
	case scene.HalfOpen:
		port.halfOpen = on
	case scene.StalledReader:
		if port.stalled = on; !on {
			for _, conn := range slices.Clone(port.connections) {
				conn.resumeReading()
			}
		}
	}
}

func (env environment) SetListUnavailable(unavailable bool) {
	if env.runner.listUnavailable = unavailable; unavailable {
		for _, conn := range slices.Clone(env.runner.listConnections) {
			conn.close("the list is away", false)
		}
	}
}

func (env environment) SendMalformed(perSecond float64) func() {
	stopped := false
	for number := range env.runner.nodes {
		n := env.runner.nodes[number]
		if n.killed {
			continue
		}
		conn := env.runner.newConnection(n, n.acceptCaller(), "junk", false, nil)
		n.connections[conn.peer] = conn
		conn.onMessage, conn.onClosed = func(*signal.Message) {}, func() {}
		var sendNext func(i int)
		sendNext = func(i int) {
			if stopped || !conn.controllerOpen {
				return
			}
			n.receiveMalformed(conn.peer, scene.MalformedMessages[i%len(scene.MalformedMessages)])
			env.runner.clock.After(time.Duration(float64(time.Second)/perSecond), func() { sendNext(i + 1) })
		}
		sendNext(0)
	}
	return func() { stopped = true }
}

func (env environment) RestartController(number int) {
	n := env.runner.nodes[number]
	n.kill()
	env.runner.endedStats = append(env.runner.endedStats, n.core.Stats())
	env.runner.capture.Fact("killed", capture.Killed{Owner: controllerOwner(number)})
	if err := n.capture.Close(); err != nil && env.runner.captureErr == nil {
		env.runner.captureErr = err
	}
	env.runner.clock.After(restartTime, func() { env.runner.startController(number) })
}

func (env environment) Record(name string, value any) { env.runner.capture.Fact(name, value) }

func sortedPeers(connections map[controller.Peer]*connection) []controller.Peer {
	return slices.SortedFunc(maps.Keys(connections), func(a, b controller.Peer) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
	})
}
