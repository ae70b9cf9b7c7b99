package virtual

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/controller"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/setup"
	"dahliaspindle/internal/signal"
)

// node is one incarnation of a controller: its core and what the daemon does around
// it, without goroutines. After a restart another node takes over its number.
type node struct {
	runner      *Runner
	number      int // exchange number
	settings    *settings.Controller
	core        *controller.Controller
	connections map[controller.Peer]*connection
	links       map[controller.Peer]*peerLink
	callerCount uint64 // connections of callers accepted so far
	inputs      []controller.Input
	handling,
	killed, stopped bool
	timerAt time.Duration // time of the scheduled timer input; 0: none
	capture *capture.Writer
}

// peerLink is a link that the controller keeps to a peer: it is redialled when lost.
type peerLink struct {
	address  string
	attempts int // consecutive attempts to connect, for the backoff
	backoff  guard.Backoff
	closed   bool // by the controller: not redialled any more
}

// newNode creates and starts a controller. The seed differs with each start.
func (runner *Runner) newNode(number int, flowSink flow.Sink, captureWriter *capture.Writer) *node {
	controllerSettings := runner.scenario.Controller(number, "list")
	controllerSettings.Policy = runner.options.Policy
	runner.startCounts[number]++
	controllerSettings.Seed += runner.startCounts[number] << 32
	controllerSettings.SetDefaults()
	created := &node{
		runner:      runner,
		number:      number,
		settings:    controllerSettings,
		connections: map[controller.Peer]*connection{},
		links:       map[controller.Peer]*peerLink{},
		capture:     captureWriter,
	}
	created.core = controller.New(runner.clock.now, setup.ControllerConfig(runner.clock.now, controllerSettings, flowSink))
	created.maintainLink(controller.Peer{Role: controller.RoleExchangeList}, "list")
	return created
}

// handleInput passes an input to the core and applies its effects. Inputs that these
// cause are queued and handled next.
func (n *node) handleInput(input controller.Input) {
	n.inputs = append(n.inputs, input)
	if n.handling {
		return
	}
	n.handling = true
	for len(n.inputs) > 0 && !n.killed {
		next := n.inputs[0]
		n.inputs = n.inputs[1:]
		for _, effect := range n.core.Handle(n.runner.clock.now, next) {
			n.applyEffect(effect)
		}
	}
	n.inputs, n.handling = nil, false
	n.setTimer()
}

// setTimer schedules the timer input for the core's next deadline.
func (n *node) setTimer() {
	deadline, ok := n.core.NextDeadline()
	if !ok || n.killed || n.timerAt != 0 && n.timerAt <= deadline {
		return
	}
	n.timerAt = max(deadline, n.runner.clock.now)
	due := n.timerAt
	n.runner.clock.After(due-n.runner.clock.now, func() {
		if n.timerAt == due && !n.killed {
			n.timerAt = 0
			n.handleInput(controller.Input{Kind: controller.InputTimer})
		}
	})
}

// applyEffect carries out one effect of the core.
func (n *node) applyEffect(effect controller.Effect) {
	switch effect.Kind {
	case controller.EffectSend:
		conn := n.connections[effect.Peer]
		if (conn == nil || !conn.sendToRemote(effect.Message)) && effect.Deadline > 0 {
			n.handleInput(controller.Input{Kind: controller.InputUnsent, Peer: effect.Peer, Message: effect.Message})
		}
	case controller.EffectConnect:
		n.maintainLink(effect.Peer, effect.Address)
	case controller.EffectDisconnect:
		n.closeLink(effect.Peer)
	case controller.EffectClose:
		if conn := n.connections[effect.Peer]; conn != nil {
			conn.close(effect.Text, true)
		}
	case controller.EffectVerdict:
		if n.capture != nil {
			n.capture.Verdict(effect.Call, fmt.Sprintf("%s; %s %d", effect.Verdict.Reason, effect.Verdict.Scope, effect.Verdict.ExchangeNumber))
		}
	case controller.EffectStopped:
		n.stopped = true
	case controller.EffectBlock, controller.EffectUnblock: // sent messages are already on their way
	case controller.EffectLog:
		n.runner.logCount++
	}
}

// maintainLink starts to maintain a link to a peer, replacing any previous one.
func (n *node) maintainLink(peer controller.Peer, address string) {
	n.closeLink(peer)
	link := &peerLink{
		address: address,
		backoff: guard.Backoff{
			Min:    n.settings.Peers.MinRetryDelay,
			Max:    n.settings.Peers.MaxRetryDelay,
			Random: rand.New(rand.NewPCG(n.settings.Seed, uint64(n.settings.Number)<<32^peer.ID)),
		},
	}
	n.links[peer] = link
	n.dialPeer(peer, link)
}

// closeLink ends the link to a peer and closes its connection.
func (n *node) closeLink(peer controller.Peer) {
	if link := n.links[peer]; link != nil {
		link.closed = true
		delete(n.links, peer)
	}
	if conn := n.connections[peer]; conn != nil && peer.Role != controller.RoleCaller {
		conn.close("closed by this end", true)
	}
}

// dialPeer makes one attempt to connect a link; if it fails, another one is scheduled.
func (n *node) dialPeer(peer controller.Peer, link *peerLink) {
	n.runner.clock.After(n.runner.hopDelay, func() {
		if link.closed || n.killed {
			return
		}
		link.attempts++
		if conn := n.runner.acceptDial(n, peer, link.address); conn != nil {
			n.connections[peer] = conn
			n.handleInput(controller.Input{Kind: controller.InputConnected, Peer: peer})
			return
		}
		n.scheduleRedial(peer, link)
	})
}

// scheduleRedial schedules the next attempt to connect a link.
func (n *node) scheduleRedial(peer controller.Peer, link *peerLink) {
	n.runner.clock.After(link.backoff.Delay(link.attempts), func() { n.dialPeer(peer, link) })
}

// connectionLost handles the end of a connection.
func (n *node) connectionLost(conn *connection) {
	if n.connections[conn.peer] == conn {
		delete(n.connections, conn.peer)
	}
	if n.killed {
		return
	}
	n.handleInput(controller.Input{Kind: controller.InputDisconnected, Peer: conn.peer})
	if link := n.links[conn.peer]; link != nil {
		link.attempts = 1
		n.scheduleRedial(conn.peer, link)
	}
}

// acceptCaller accepts a connection of callers and returns its peer.
func (n *node) acceptCaller() controller.Peer {
	n.callerCount++
	peer := controller.Peer{Role: controller.RoleCaller, ID: n.callerCount}
	n.handleInput(controller.Input{Kind: controller.InputConnected, Peer: peer})
	return peer
}

// kill ends the controller at once and closes its connections.
func (n *node) kill() {
	n.killed = true
	for _, peer := range sortedPeers(n.connections) {
		n.connections[peer].close("killed", true)
	}
}

// receiveMalformed parses a text as the daemon does and passes the message or the
// syntax error to the core.
func (n *node) receiveMalformed(peer controller.Peer, text string) {
	message, err := signal.NewReader(strings.NewReader(text), signal.Limits{
		MaxLineBytes:    n.settings.Limits.LineBytes,
		MaxMessageBytes: n.settings.Limits.MessageBytes,
	}).Read()
	if err == nil {
		n.handleInput(controller.Input{Kind: controller.InputMessage, Peer: peer, Message: message})
		return
	}
	if syntaxError, ok := err.(*signal.SyntaxError); ok {
		n.handleInput(controller.Input{Kind: controller.InputMalformed, Peer: peer, SyntaxError: *syntaxError})
	}
}

// parseExchangeAddress returns the exchange ID in an address that Listen returned.
func parseExchangeAddress(address string) (uint32, bool) {
	digits, found := strings.CutPrefix(address, "exchange:")
	if !found {
		return 0, false
	}
	id, err := strconv.ParseUint(digits, 10, 32)
	return uint32(id), err == nil
}
