// Package virtual runs a scenario in virtual time: one controller core with its
// routing module per exchange, connected to the simulated network of package simulation
// without sockets, goroutines or a wall clock. Runs are deterministic: the same
// scenario, seed and policy give the same result for every call.
//
// queue.go holds the pending events, clock.go the virtual clock, node.go a
// controller with what the daemon does around its core, wire.go a connection, and
// runner.go the run.
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
	"dahliaspindle/internal/standin/simulation"
	"dahliaspindle/internal/standin/subscriber"
)

// Options configures a run. The zero value uses the routing module and writes neither
// flow records nor captures.
type Options struct {
	Policy      string                                               // routing policy of the controllers; empty: the routing module
	HopDelay    time.Duration                                        // one way, on all connections of controllers; 0: 50 us
	NewFlowSink func(number int) flow.Sink                           // called at each start of a controller; nil: no flow records
	NewCapture  func(owner string, now func() int64) *capture.Writer // nil: no captures
	Prepare     func(*simulation.Simulation)                         // changes the simulation before the start; may be nil
}

// startTime is the virtual time at which every run starts.
var startTime = time.Duration(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())

// restartTime is how long a killed controller is down.
const restartTime = 50 * time.Millisecond

// redialDelay is the time after which a simulated element redials its controller.
const redialDelay = 50 * time.Millisecond

// shutdownTimeout is how long the controllers may take to answer pending calls and
// shut down.
const shutdownTimeout = 15 * time.Second

// Runner is a run in progress.
type Runner struct {
	scenario        *settings.Scenario
	options         Options
	hopDelay        time.Duration
	clock           *Clock
	simulation      *simulation.Simulation
	nodes           []*node                  // by exchange number
	startCounts     []uint64                 // by exchange number
	ports           map[uint32]*exchangePort // by exchange ID
	listUnavailable bool
	listConnections []*connection
	capture         *capture.Writer
	connectionCount int
	logCount        int                // log entries of all controllers
	endedStats      []controller.Stats // of ended controllers, in order of their end
	captureErr      error              // first failure to write a capture
}

// exchangePort holds the connections of one exchange and their faults.
type exchangePort struct {
	connections       []*connection // in order of creation
	exchangeConns     map[*connection]*exchange.Conn
	closed            bool
	halfOpen, stalled bool
}

// Result is the result of a run.
type Result struct {
	*simulation.Simulation
	CircuitsInUse   int                // at the end, when all connections are closed
	AllStopped      bool               // all controllers shut down within the time allowed
	Events          uint64             // number of events handled
	Duration        time.Duration      // virtual time from the start to the last event
	ControllerStats []controller.Stats // of each controller incarnation, in order of their end
}

// Run runs a scenario to its end.
func Run(scenario *settings.Scenario, options Options) (*Result, error) {
	if options.Policy == "" {
		options.Policy = "brain"
	}
	if options.HopDelay <= 0 {
		options.HopDelay = 50 * time.Microsecond
	}
	runner := &Runner{
		scenario:    scenario,
		options:     options,
		hopDelay:    options.HopDelay,
		clock:       &Clock{now: startTime},
		ports:       map[uint32]*exchangePort{},
		startCounts: make([]uint64, scenario.Fleet.Exchanges),
	}
	runner.capture = runner.newCaptureWriter("stand-ins")
	sim, err := simulation.New(scenario, runner.clock, environment{runner})
	if err != nil {
		return nil, fmt.Errorf("scenario %s: creating the simulated network: %w", scenario.Name, err)
	}
	if runner.simulation = sim; options.Prepare != nil {
		options.Prepare(sim)
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
	sim.Start(nil, func() { ended = true })
	if !runner.clock.Run(startTime+scenario.Length+time.Hour, func() bool { return ended }) {
		return nil, fmt.Errorf("scenario %s: the run does not end", scenario.Name)
	}
	for _, node := range runner.nodes {
		node.handleInput(controller.Input{Kind: controller.InputShutdown})
	}
	allStopped := runner.clock.Run(runner.clock.now+shutdownTimeout, func() bool {
		return !slices.ContainsFunc(runner.nodes, func(n *node) bool { return !n.stopped })
	})
	result := &Result{
		Simulation: sim,
		AllStopped: allStopped,
		Events:     runner.clock.Events(),
		Duration:   runner.clock.now - startTime,
	}
	for _, node := range runner.nodes {
		node.kill()
		runner.endedStats = append(runner.endedStats, node.core.Stats())
	}
	runner.clock.Run(runner.clock.now+runner.hopDelay, func() bool { return false }) // closes the connections
	result.CircuitsInUse, result.ControllerStats = sim.Fleet.CircuitsInUse(), runner.endedStats
	for _, node := range runner.nodes {
		runner.captureErr = cmp.Or(runner.captureErr, node.capture.Close())
	}
	if err := cmp.Or(runner.captureErr, runner.capture.Close()); err != nil {
		return nil, fmt.Errorf("scenario %s: writing the capture: %w", scenario.Name, err)
	}
	return result, nil
}

// newCaptureWriter returns a capture writer for an owner, nil without captures.
func (runner *Runner) newCaptureWriter(owner string) *capture.Writer {
	if runner.options.NewCapture == nil {
		return nil
	}
	return runner.options.NewCapture(owner, func() int64 { return int64(runner.clock.now) })
}

// controllerOwner returns the name of a controller in captures.
func controllerOwner(number int) string { return fmt.Sprint("controller ", number) }

// startController starts a new incarnation of a controller.
func (runner *Runner) startController(number int) {
	var flowSink flow.Sink
	if runner.options.NewFlowSink != nil {
		flowSink = runner.options.NewFlowSink(number)
	}
	runner.nodes[number] = runner.newNode(number, flowSink, runner.newCaptureWriter(controllerOwner(number)))
}

// newConnection creates a connection between a controller and a remote. port is nil
// unless the remote is an exchange.
func (runner *Runner) newConnection(n *node, peer controller.Peer, remoteOwner string, dialed bool, port *exchangePort) *connection {
	runner.connectionCount++
	conn := &connection{runner: runner, node: n, peer: peer, controllerOpen: true, remoteOpen: true, port: port}
	if runner.capture != nil {
		key := fmt.Sprint("wire ", runner.connectionCount)
		conn.controllerRecorder = n.capture.Open(key, capture.Endpoint{
			Owner:  controllerOwner(n.number),
			Role:   peer.Role.String(),
			Peer:   peer.ID,
			Dialed: dialed,
		})
		conn.remoteRecorder = runner.capture.Open(key, capture.Endpoint{Owner: remoteOwner, Role: "controller", Dialed: !dialed})
	}
	return conn
}

// acceptDial connects a controller with the peer that it dials. It returns nil if the
// peer can't be reached.
func (runner *Runner) acceptDial(n *node, peer controller.Peer, address string) *connection {
	if peer.Role == controller.RoleExchangeList {
		if runner.listUnavailable {
			return nil
		}
		conn := runner.newConnection(n, peer, "list", true, nil)
		var listConn *exlist.Conn
		conn.onMessage = func(message *signal.Message) { runner.simulation.List.HandleMessage(listConn, message) }
		conn.onClosed = func() {
			runner.listConnections = slices.DeleteFunc(runner.listConnections, func(other *connection) bool { return other == conn })
			runner.simulation.List.ConnClosed(listConn)
		}
		listConn = runner.simulation.List.OpenConn(func(message *signal.Message) { conn.sendToController(message) })
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
	conn := runner.newConnection(n, peer, fmt.Sprint("exchange ", id), true, port)
	conn.subjectToFaults = true
	runner.serveExchange(port, exchange, conn, false)
	return conn
}

// serveExchange attaches a connection to an exchange. With transit set, it is the
// exchange's connection to its own controller, which is redialled when closed.
func (runner *Runner) serveExchange(port *exchangePort, served *exchange.Exchange, conn *connection, transit bool) {
	var exchangeConn *exchange.Conn
	conn.onMessage = func(message *signal.Message) { runner.simulation.Fleet.HandleMessage(exchangeConn, message) }
	conn.onClosed = func() {
		port.connections = slices.DeleteFunc(port.connections, func(other *connection) bool { return other == conn })
		delete(port.exchangeConns, conn)
		runner.simulation.Fleet.ConnClosed(exchangeConn)
		if transit {
			runner.clock.After(redialDelay, func() { runner.dialTransit(served.Number) })
		}
	}
	exchangeConn = runner.simulation.Fleet.OpenConn(served, transit, func(message *signal.Message) { conn.sendToController(message) })
	port.connections = append(port.connections, conn)
	port.exchangeConns[conn] = exchangeConn
}

// dialTransit connects the current exchange with the given number to its controller
// for calls in transit, and retries while the controller is down.
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

// dialCallers connects callers to their controller, and retries while the controller
// is down.
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
		conn.onMessage = func(message *signal.Message) { runner.simulation.Callers.HandleMessage(callersConn, message) }
		conn.onClosed = func() {
			runner.simulation.Callers.ConnClosed(number, callersConn)
			redial()
		}
		callersConn = runner.simulation.Callers.OpenConn(number, conn.sendToController)
	})
}

// environment implements simulation.Environment.
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

// SetFault ignores FragmentedWrites, because messages always arrive whole.
func (env environment) SetFault(id uint32, fault simulation.Fault, on bool) {
	port := env.runner.ports[id]
	switch fault {
	case simulation.HalfOpen:
		port.halfOpen = on
	case simulation.StalledReader:
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
			n.receiveMalformed(conn.peer, simulation.MalformedMessages[i%len(simulation.MalformedMessages)])
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

// sortedPeers returns the peers of connections in a reproducible order.
func sortedPeers(connections map[controller.Peer]*connection) []controller.Peer {
	return slices.SortedFunc(maps.Keys(connections), func(a, b controller.Peer) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
	})
}
