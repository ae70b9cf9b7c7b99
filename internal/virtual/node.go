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

// node is one controller: its core and what the daemon does around it, without
// goroutines. It dies with a restart; another takes its cell.
type node struct {
	runner      *Runner
	cell        int
	settings    *settings.Controller
	core        *controller.Controller
	connections map[controller.Peer]*connection
	links       map[controller.Peer]*peerLink
	callerCount uint64 // connections taken
	inputs      []controller.Input
	stepping,
	killed, stopped bool
	timerAt time.Duration // the clock input that is set; 0: none
	capture *capture.Writer
}

// peerLink keeps a link to a peer: dialled again when it is lost.
type peerLink struct {
	address  string
	attempts int
	backoff  guard.Backoff
	closed   bool
}

func (r *Runner) newNode(cell int, sink flow.Sink, w *capture.Writer) *node {
	set := r.scenario.Controller(cell, "list")
	set.Policy = r.options.Policy
	r.startCounts[cell]++
	set.Seed += r.startCounts[cell] << 32
	set.SetDefaults()
	n := &node{runner: r, cell: cell, settings: set, connections: map[controller.Peer]*connection{}, links: map[controller.Peer]*peerLink{}, capture: w}
	n.core = controller.New(r.clock.now, setup.ControllerConfig(r.clock.now, set, sink))
	n.maintainLink(controller.Peer{Role: controller.RoleExchangeList}, "list")
	return n
}

// handleInput hands an input to the core and carries its effects out; what they bring
// about at once waits its turn.
func (n *node) handleInput(in controller.Input) {
	n.inputs = append(n.inputs, in)
	if n.stepping {
		return
	}
	n.stepping = true
	for len(n.inputs) > 0 && !n.killed {
		in := n.inputs[0]
		n.inputs = n.inputs[1:]
		for _, e := range n.core.Handle(n.runner.clock.now, in) {
			n.applyEffect(e)
		}
	}
	n.inputs, n.stepping = nil, false
	n.setTimer()
}

// setTimer sets the clock input that the core wants next.
func (n *node) setTimer() {
	at, ok := n.core.NextDeadline()
	if !ok || n.killed || n.timerAt != 0 && n.timerAt <= at {
		return
	}
	n.timerAt = max(at, n.runner.clock.now)
	due := n.timerAt
	n.runner.clock.After(due-n.runner.clock.now, func() {
		if n.timerAt == due && !n.killed {
			n.timerAt = 0
			n.handleInput(controller.Input{Kind: controller.InputTimer})
		}
	})
}

func (n *node) applyEffect(e controller.Effect) {
	switch e.Kind {
	case controller.EffectSend:
		w := n.connections[e.Peer]
		if (w == nil || !w.sendToRemote(e.Message)) && e.Deadline > 0 {
			n.handleInput(controller.Input{Kind: controller.InputUnsent, Peer: e.Peer, Message: e.Message})
		}
	case controller.EffectConnect:
		n.maintainLink(e.Peer, e.Address)
	case controller.EffectDisconnect:
		n.closeLink(e.Peer)
	case controller.EffectClose:
		if w := n.connections[e.Peer]; w != nil {
			w.close(e.Text, true)
		}
	case controller.EffectVerdict:
		if n.capture != nil {
			n.capture.Verdict(e.Call, fmt.Sprintf("%s; %s %d", e.Verdict.Reason, e.Verdict.Scope, e.Verdict.ExchangeNumber))
		}
	case controller.EffectStopped:
		n.stopped = true
	case controller.EffectBlock, controller.EffectUnblock: // nothing waits to leave: what was said is on its way
	case controller.EffectLog:
		n.runner.logCount++
	}
}

// maintainLink starts to maintainLink a link, in place of one at another address.
func (n *node) maintainLink(p controller.Peer, addr string) {
	n.closeLink(p)
	k := &peerLink{address: addr, backoff: guard.Backoff{Min: n.settings.Peers.MinRetryDelay, Max: n.settings.Peers.MaxRetryDelay,
		Random: rand.New(rand.NewPCG(n.settings.Seed, uint64(n.settings.Number)<<32^p.ID))}}
	n.links[p] = k
	n.dialPeer(p, k)
}

func (n *node) closeLink(p controller.Peer) {
	if k := n.links[p]; k != nil {
		k.closed = true
		delete(n.links, p)
	}
	if w := n.connections[p]; w != nil && p.Role != controller.RoleCaller {
		w.close("closed by this end", true)
	}
}

// dialPeer tries once; a link that does not come to stand, or is lost, is tried again.
func (n *node) dialPeer(p controller.Peer, k *peerLink) {
	n.runner.clock.After(n.runner.hopDelay, func() {
		if k.closed || n.killed {
			return
		}
		k.attempts++
		if w := n.runner.acceptDial(n, p, k.address); w != nil {
			n.connections[p] = w
			n.handleInput(controller.Input{Kind: controller.InputConnected, Peer: p})
			return
		}
		n.scheduleRedial(p, k)
	})
}

func (n *node) scheduleRedial(p controller.Peer, k *peerLink) {
	n.runner.clock.After(k.backoff.Delay(k.attempts), func() { n.dialPeer(p, k) })
}

// connectionLost is the end of a connection.
func (n *node) connectionLost(w *connection) {
	if n.connections[w.peer] == w {
		delete(n.connections, w.peer)
	}
	if n.killed {
		return
	}
	n.handleInput(controller.Input{Kind: controller.InputDisconnected, Peer: w.peer})
	if k := n.links[w.peer]; k != nil {
		k.attempts = 1
		n.scheduleRedial(w.peer, k)
	}
}

// acceptCaller takes a caller's connection.
func (n *node) acceptCaller() controller.Peer {
	n.callerCount++
	p := controller.Peer{Role: controller.RoleCaller, ID: n.callerCount}
	n.handleInput(controller.Input{Kind: controller.InputConnected, Peer: p})
	return p
}

// kill ends a controller at once: its connections break.
func (n *node) kill() {
	n.killed = true
	for _, p := range sortedPeers(n.connections) {
		n.connections[p].close("killed", true)
	}
}

// receiveMalformed hands over what can't be read.
func (n *node) receiveMalformed(p controller.Peer, text string) {
	m, err := signal.NewReader(strings.NewReader(text), signal.Limits{MaxLineBytes: n.settings.Limits.LineBytes, MaxMessageBytes: n.settings.Limits.MessageBytes}).Read()
	if err == nil {
		n.handleInput(controller.Input{Kind: controller.InputMessage, Peer: p, Message: m})
		return
	}
	if bad, ok := err.(*signal.SyntaxError); ok {
		n.handleInput(controller.Input{Kind: controller.InputMalformed, Peer: p, SyntaxError: *bad})
	}
}

// parseExchangeAddress reads the address of an exchange's door.
func parseExchangeAddress(addr string) (uint32, bool) {
	s, ok := strings.CutPrefix(addr, "exchange:")
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(s, 10, 32)
	return uint32(id), err == nil
}
