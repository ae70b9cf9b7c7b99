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
	r       *Runner
	cell    int
	set     *settings.Controller
	core    *controller.Controller
	wires   map[controller.Peer]*wire
	links   map[controller.Peer]*keeper
	callers uint64 // connections taken
	inputs  []controller.Input
	stepping,
	dead, left bool
	due     time.Duration // the clock input that is set; 0: none
	capture *capture.Writer
}

// keeper keeps a link to a peer: dialled again when it is lost.
type keeper struct {
	addr  string
	tries int
	retry guard.Backoff
	over  bool
}

func (r *Runner) newNode(cell int, sink flow.Sink, w *capture.Writer) *node {
	set := r.scn.Controller(cell, "list")
	set.Policy = r.opt.Policy
	r.starts[cell]++
	set.Seed += r.starts[cell] << 32
	set.SetDefaults()
	n := &node{r: r, cell: cell, set: set, wires: map[controller.Peer]*wire{}, links: map[controller.Peer]*keeper{}, capture: w}
	n.core = controller.New(r.clock.now, setup.ControllerConfig(r.clock.now, set, sink))
	n.keep(controller.Peer{Role: controller.RoleExchangeList}, "list")
	return n
}

// step hands an input to the core and carries its effects out; what they bring
// about at once waits its turn.
func (n *node) step(in controller.Input) {
	n.inputs = append(n.inputs, in)
	if n.stepping {
		return
	}
	n.stepping = true
	for len(n.inputs) > 0 && !n.dead {
		in := n.inputs[0]
		n.inputs = n.inputs[1:]
		for _, e := range n.core.Handle(n.r.clock.now, in) {
			n.carryOut(e)
		}
	}
	n.inputs, n.stepping = nil, false
	n.arm()
}

// arm sets the clock input that the core wants next.
func (n *node) arm() {
	at, ok := n.core.NextDeadline()
	if !ok || n.dead || n.due != 0 && n.due <= at {
		return
	}
	n.due = max(at, n.r.clock.now)
	due := n.due
	n.r.clock.After(due-n.r.clock.now, func() {
		if n.due == due && !n.dead {
			n.due = 0
			n.step(controller.Input{Kind: controller.InputTimer})
		}
	})
}

func (n *node) carryOut(e controller.Effect) {
	switch e.Kind {
	case controller.EffectSend:
		w := n.wires[e.Peer]
		if (w == nil || !w.toStandIn(e.Message)) && e.Deadline > 0 {
			n.step(controller.Input{Kind: controller.InputUnsent, Peer: e.Peer, Message: e.Message})
		}
	case controller.EffectConnect:
		n.keep(e.Peer, e.Address)
	case controller.EffectDisconnect:
		n.hangUp(e.Peer)
	case controller.EffectClose:
		if w := n.wires[e.Peer]; w != nil {
			w.close(e.Text, true)
		}
	case controller.EffectVerdict:
		if n.capture != nil {
			n.capture.Verdict(e.Call, fmt.Sprintf("%s; %s %d", e.Verdict.Reason, e.Verdict.Scope, e.Verdict.ExchangeNumber))
		}
	case controller.EffectStopped:
		n.left = true
	case controller.EffectBlock, controller.EffectUnblock: // nothing waits to leave: what was said is on its way
	case controller.EffectLog:
		n.r.logs++
	}
}

// keep starts to keep a link, in place of one at another address.
func (n *node) keep(p controller.Peer, addr string) {
	n.hangUp(p)
	k := &keeper{addr: addr, retry: guard.Backoff{Min: n.set.Peers.MinRetryDelay, Max: n.set.Peers.MaxRetryDelay,
		Random: rand.New(rand.NewPCG(n.set.Seed, uint64(n.set.Number)<<32^p.ID))}}
	n.links[p] = k
	n.dial(p, k)
}

func (n *node) hangUp(p controller.Peer) {
	if k := n.links[p]; k != nil {
		k.over = true
		delete(n.links, p)
	}
	if w := n.wires[p]; w != nil && p.Role != controller.RoleCaller {
		w.close("closed by this end", true)
	}
}

// dial tries once; a link that does not come to stand, or is lost, is tried again.
func (n *node) dial(p controller.Peer, k *keeper) {
	n.r.clock.After(n.r.hop, func() {
		if k.over || n.dead {
			return
		}
		k.tries++
		if w := n.r.answer(n, p, k.addr); w != nil {
			n.wires[p] = w
			n.step(controller.Input{Kind: controller.InputConnected, Peer: p})
			return
		}
		n.again(p, k)
	})
}

func (n *node) again(p controller.Peer, k *keeper) {
	n.r.clock.After(k.retry.Delay(k.tries), func() { n.dial(p, k) })
}

// lost is the end of a connection.
func (n *node) lost(w *wire) {
	if n.wires[w.peer] == w {
		delete(n.wires, w.peer)
	}
	if n.dead {
		return
	}
	n.step(controller.Input{Kind: controller.InputDisconnected, Peer: w.peer})
	if k := n.links[w.peer]; k != nil {
		k.tries = 1
		n.again(w.peer, k)
	}
}

// accept takes a caller's connection.
func (n *node) accept() controller.Peer {
	n.callers++
	p := controller.Peer{Role: controller.RoleCaller, ID: n.callers}
	n.step(controller.Input{Kind: controller.InputConnected, Peer: p})
	return p
}

// kill ends a controller at once: its connections break.
func (n *node) kill() {
	n.dead = true
	for _, p := range sortedPeers(n.wires) {
		n.wires[p].close("killed", true)
	}
}

// junk hands over what can't be read.
func (n *node) junk(p controller.Peer, text string) {
	m, err := signal.NewReader(strings.NewReader(text), signal.Limits{MaxLineBytes: n.set.Limits.LineBytes, MaxMessageBytes: n.set.Limits.MessageBytes}).Read()
	if err == nil {
		n.step(controller.Input{Kind: controller.InputMessage, Peer: p, Message: m})
		return
	}
	if bad, ok := err.(*signal.SyntaxError); ok {
		n.step(controller.Input{Kind: controller.InputMalformed, Peer: p, SyntaxError: *bad})
	}
}

// exchangeID reads the address of an exchange's door.
func exchangeID(addr string) (uint32, bool) {
	s, ok := strings.CutPrefix(addr, "exchange:")
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(s, 10, 32)
	return uint32(id), err == nil
}
