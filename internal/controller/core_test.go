package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/policy"
	"dahliaspindle/internal/signal"
	"dahliaspindle/routing"
)

// script is a routing module that responds as a test demands and records its events.
type script struct {
	events  []routing.Event
	respond func(e routing.Event) []routing.Action
}

func (module *script) Handle(_ time.Duration, e routing.Event) []routing.Action {
	module.events = append(module.events, e)
	if module.respond == nil {
		return nil
	}
	return module.respond(e)
}

// ended returns the reported outcomes of attempts.
func (module *script) ended() (all []routing.AttemptEnded) {
	for _, e := range module.events {
		if ended, ok := e.(routing.AttemptEnded); ok {
			all = append(all, ended)
		}
	}
	return all
}

// sendEachTo returns a response that sends each call once, to one exchange.
func sendEachTo(id uint32, timeout time.Duration) func(routing.Event) []routing.Action {
	return func(e routing.Event) []routing.Action {
		switch e := e.(type) {
		case routing.Call:
			return []routing.Action{routing.StartAttempt{CallID: e.ID, ExchangeID: id, Timeout: timeout}}
		case routing.CallAbandoned:
			return []routing.Action{routing.CancelAttempt{CallID: e.CallID}}
		case routing.AttemptEnded:
			if !e.Final {
				return []routing.Action{routing.RefuseCall{CallID: e.CallID}}
			}
		}
		return nil
	}
}

// harness drives a controller core in virtual time; the test acts as its peers.
type harness struct {
	t          failer
	controller *Controller
	now        time.Duration
	effects    []Effect        // of the last input
	lastSent   map[Peer]uint32 // last transaction ID sent by each peer
}

var testClasses = []routing.Class{
	{Name: "fetch", Worth: 1, Aim: time.Second, GiveUp: 9 * time.Second, Holding: 10 * time.Second, Width: 1},
	{Name: "wide", Worth: 2, Aim: time.Second, GiveUp: 9 * time.Second, Holding: 10 * time.Second, Width: 2},
}

func newHarness(t failer, module policy.Module) *harness {
	h := &harness{t: t, now: time.Hour, lastSent: map[Peer]uint32{}}
	h.controller = New(h.now, Config{
		Module:              module,
		Classes:             testClasses,
		ExchangeNumber:      0,
		MaxCalls:            50000,
		MaxPendingPerCaller: 10000,
		MaxExchanges:        1000,
		LinkTimeout:         300 * time.Millisecond,
		ShutdownGrace:       2 * time.Second,
		Liveness:            guard.Liveness{ProbeAfter: time.Second, LostAfter: 3 * time.Second},
		ReleaseRetry:        guard.ReleaseRetry{Interval: time.Second, MaxRequests: 3},
		FaultLimit:          guard.FaultLimiter{Burst: 20, ForgiveEvery: 100 * time.Millisecond},
	})
	return h
}

// handle passes one input to the core and returns the effects.
func (h *harness) handle(input Input) []Effect {
	h.effects = append([]Effect(nil), h.controller.Handle(h.now, input)...)
	return h.effects
}

// advance lets time pass in steps that the core's timers set, and returns all effects.
func (h *harness) advance(d time.Duration) []Effect {
	var all []Effect
	end := h.now + d
	for {
		at, ok := h.controller.NextDeadline()
		if !ok || at > end {
			break
		}
		h.now = max(at, h.now)
		all = append(all, h.handle(Input{Kind: InputTimer})...)
	}
	h.now = end
	all = append(all, h.handle(Input{Kind: InputTimer})...)
	h.effects = all
	return all
}

// receive passes a message of a peer to the core; a request without an ID gets the next one.
func (h *harness) receive(peer Peer, msg *signal.Message) []Effect {
	if msg.Kind == signal.Request && msg.ID == 0 {
		h.lastSent[peer]++
		msg.ID = h.lastSent[peer]
	}
	return h.handle(Input{Kind: InputMessage, Peer: peer, Message: msg})
}

func callerPeer(n uint64) Peer { return Peer{RoleCaller, n} }
func exchangePeer(id int) Peer { return Peer{RoleExchange, uint64(id)} }

// addRequest returns the Add of a call of class fetch to exchange 1.
func addRequest(name string) *signal.Message {
	return (&signal.Message{Context: signal.ContextChoose, Command: signal.Add, Termination: name}).Put("Class", "fetch").
		PutInt("Dest", 1).Put("Number", "77").PutDuration("Left", 4*time.Second)
}

// announceList sends a complete exchange list and connects the links: the exchange
// with number n has ID 100+n and is in service.
func (h *harness) announceList(numbers ...int) {
	msg := &signal.Message{ID: 1, Command: signal.Notify, Termination: signal.Root}
	msg.PutFlag("Complete", true)
	for _, number := range numbers {
		msg.Put("Exchange", listEntry(100+number, number, "in"))
	}
	h.handle(Input{Kind: InputMessage, Peer: Peer{Role: RoleExchangeList}, Message: msg})
	for _, number := range numbers {
		h.handle(Input{Kind: InputConnected, Peer: exchangePeer(100 + number)})
	}
}

// listEntry returns one entry of an exchange list.
func listEntry(id, number int, state string) string {
	return fmt.Sprintf("%d cell=%d state=%s since=0 at=127.0.0.1:%d", id, number, state, id)
}

// announceExchange sends an incomplete list with one entry.
func (h *harness) announceExchange(id, number int, state string) []Effect {
	return h.handle(Input{
		Kind: InputMessage,
		Peer: Peer{Role: RoleExchangeList},
		Message: (&signal.Message{ID: 9, Command: signal.Notify, Termination: signal.Root}).
			Put("Exchange", listEntry(id, number, state)),
	})
}

// messagesTo returns the messages of a kind and command that were sent to a peer.
func messagesTo(effects []Effect, peer Peer, kind signal.Kind, command signal.Command) (all []*signal.Message) {
	for _, effect := range effects {
		if effect.Kind == EffectSend && effect.Peer == peer && effect.Message.Kind == kind &&
			(effect.Message.Command == command || kind == signal.Pending || kind == signal.ErrorMessage) {
			all = append(all, effect.Message)
		}
	}
	return all
}

// hasEffect reports whether an effect of a kind concerns a peer.
func hasEffect(effects []Effect, kind EffectKind, peer Peer) bool {
	for _, effect := range effects {
		if effect.Kind == kind && effect.Peer == peer {
			return true
		}
	}
	return false
}

// requireOne fails the test unless there is exactly one message, which it returns.
func requireOne(t failer, description string, all []*signal.Message) *signal.Message {
	t.Helper()
	if len(all) != 1 {
		t.Fatalf("%s: got %d messages, want 1", description, len(all))
	}
	return all[0]
}

// requireNothingLeft fails the test if the core still holds calls or attempts.
func (h *harness) requireNothingLeft() {
	h.t.Helper()
	stats := h.controller.Stats()
	if stats.Pending != 0 || stats.Established != 0 || stats.HeldAttempts != 0 || len(h.controller.calls) != 0 {
		h.t.Fatalf("not empty: %d pending, %d established, %d attempts held, %d calls", stats.Pending, stats.Established, stats.HeldAttempts, len(h.controller.calls))
	}
	for _, caller := range h.controller.callers {
		if len(caller.pending) != 0 || len(caller.calls) != 0 {
			h.t.Fatalf("caller not empty: %d pending, %d calls", len(caller.pending), len(caller.calls))
		}
	}
	for _, link := range h.controller.links {
		if len(link.pending) != 0 || len(link.held) != 0 || len(link.queued) != 0 {
			h.t.Fatalf("link %d not empty: %d pending, %d held, %d queued", link.id, len(link.pending), len(link.held), len(link.queued))
		}
	}
}

func TestCallIsEstablishedAndReleased(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	effects := h.receive(callerPeer(1), addRequest("a"))
	setUp := requireOne(t, "set-up", messagesTo(effects, exchangePeer(101), signal.Request, signal.Add))
	if setUp.Get("From") != "0" || setUp.Get("Dest") != "1" || setUp.Get("Width") != "1" ||
		setUp.Get("Left") != "4s" || setUp.Get("Attempt") != "0" {
		t.Fatalf("unexpected set-up: %s", setUp)
	}
	h.now += 50 * time.Millisecond
	effects = h.receive(exchangePeer(101), setUp.NewReply().Put("Group", "1 9 10"))
	if reply := requireOne(t, "final reply", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add)); reply.Code != 0 ||
		reply.Get("Via") != "direct" || reply.Context != setUp.Context {
		t.Fatalf("unexpected final reply: %s", reply)
	}
	effects = h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Termination: "a"})
	requireOne(t, "reply to the Subtract", messagesTo(effects, callerPeer(1), signal.Reply, signal.Subtract))
	release := requireOne(t, "release", messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract))
	if len(module.ended()) != 0 {
		t.Fatal("outcome reported before the exchange has released the call")
	}
	h.receive(exchangePeer(101), release.NewReply())
	if ended := module.ended(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeCompleted || !ended[0].Final {
		t.Fatalf("reported outcomes %+v, want one final Completed", ended)
	}
	h.requireNothingLeft()
}

// A caller gives up, or its connection closes, while its attempt is in flight.
func TestCallerLeavesDuringSetUp(t *testing.T) {
	for _, disconnects := range []bool{false, true} {
		module := &script{respond: sendEachTo(101, 3*time.Second)}
		h := newHarness(t, module)
		h.announceList(0, 1)
		setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("a")), exchangePeer(101), signal.Request, signal.Add))
		var effects []Effect
		if disconnects {
			effects = h.handle(Input{Kind: InputDisconnected, Peer: callerPeer(1)})
			if n := len(messagesTo(effects, callerPeer(1), signal.Reply, signal.Add)); n != 0 {
				t.Fatalf("%d replies to a closed connection", n)
			}
		} else {
			effects = h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Termination: "a"})
			if reply := requireOne(t, "final reply", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add)); reply.Code != signal.DoesNotExist {
				t.Fatalf("unexpected final reply: %s", reply)
			}
		}
		requireOne(t, "release", messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract))
		if ended := module.ended(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeCancelled || !ended[0].Final {
			t.Fatalf("reported outcomes %+v, want one final Cancelled", ended)
		}
		// The exchange's reply crosses the release: it counts as late and has no effect.
		if effects = h.receive(exchangePeer(101), setUp.NewReply()); len(effects) != 0 || h.controller.Stats().LateReplies != 1 {
			t.Fatalf("late reply: effects %+v", effects)
		}
		// The release is repeated until it is answered.
		release := requireOne(t, "repeated release", messagesTo(h.advance(1100*time.Millisecond), exchangePeer(101), signal.Request, signal.Subtract))
		h.receive(exchangePeer(101), release.NewReply())
		h.requireNothingLeft()
		for _, effect := range h.advance(10 * time.Second) {
			if effect.Kind == EffectSend && effect.Message.Command == signal.Add {
				t.Fatalf("set-up sent after the call's end: %s", effect.Message)
			}
		}
	}
}

func TestUnansweredReleasesCloseLink(t *testing.T) {
	h := newHarness(t, &script{respond: sendEachTo(101, time.Second)})
	h.announceList(0, 1)
	h.receive(callerPeer(1), addRequest("a"))
	closed := false
	for range 100 {
		h.handle(Input{Kind: InputMessage, Peer: exchangePeer(101), Message: &signal.Message{Kind: signal.Pending, ID: 99}}) // sign of life
		closed = closed || hasEffect(h.advance(200*time.Millisecond), EffectClose, exchangePeer(101))
	}
	if !closed {
		t.Fatal("link not closed")
	}
	h.handle(Input{Kind: InputDisconnected, Peer: exchangePeer(101)})
	h.requireNothingLeft()
}

// An exchange starts draining while one set-up was lost with the link and another
// waits for it, and the routing module sends a further call to it afterwards.
func TestDrainingExchangeGetsNoSetUps(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	sent := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("pending")), exchangePeer(101), signal.Request, signal.Add))
	h.handle(Input{Kind: InputDisconnected, Peer: exchangePeer(101)}) // resets the first attempt
	h.receive(callerPeer(1), addRequest("queued"))                    // queued for the link
	if len(h.controller.links[101].queued) != 1 {
		t.Fatal("set-up not queued for its link")
	}
	effects := h.announceExchange(101, 1, "draining")
	if !hasEffect(effects, EffectBlock, exchangePeer(101)) {
		t.Fatal("set-ups to a draining exchange not blocked")
	}
	if reply := requireOne(t, "final reply", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add)); reply.Code != signal.InsufficientResources {
		t.Fatalf("unexpected final reply: %s", reply)
	}
	h.handle(Input{Kind: InputConnected, Peer: exchangePeer(101)})
	// The routing module sends another call nevertheless: no set-up is sent.
	if n := len(messagesTo(h.receive(callerPeer(1), addRequest("late")), exchangePeer(101), signal.Request, signal.Add)); n != 0 {
		t.Fatalf("%d set-ups to a draining exchange", n)
	}
	if n := len(messagesTo(h.advance(5*time.Second), exchangePeer(101), signal.Request, signal.Add)); n != 0 {
		t.Fatalf("%d set-ups to a draining exchange", n)
	}
	var outcomes []routing.Outcome
	for _, ended := range module.ended() {
		outcomes = append(outcomes, ended.Outcome)
	}
	if fmt.Sprint(outcomes) != fmt.Sprint([]routing.Outcome{routing.OutcomeReset, routing.OutcomeUnreachable, routing.OutcomeUnreachable}) {
		t.Fatalf("reported outcomes %v (first call %s)", outcomes, sent.Termination)
	}
	// Back in service: set-ups are sent again.
	if !hasEffect(h.announceExchange(101, 1, "in"), EffectUnblock, exchangePeer(101)) {
		t.Fatal("set-ups still blocked")
	}
	requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("b")), exchangePeer(101), signal.Request, signal.Add))
}

// A set-up that was queued when its exchange started draining is returned unsent.
func TestUnsentSetUpToDrainingExchange(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("a")), exchangePeer(101), signal.Request, signal.Add))
	h.announceExchange(101, 1, "draining")
	effects := h.handle(Input{Kind: InputUnsent, Peer: exchangePeer(101), Message: setUp})
	if ended := module.ended(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeUnreachable {
		t.Fatalf("reported outcomes %+v, want one Unreachable", ended)
	}
	requireOne(t, "final reply", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add))
	h.requireNothingLeft()
}

// Replies after the time-out, repeated, and to no transaction; transaction IDs used again.
func TestLateRepliesAndDuplicateTransactionIDs(t *testing.T) {
	module := &script{respond: sendEachTo(101, time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("a")), exchangePeer(101), signal.Request, signal.Add))
	duplicate := addRequest("b")
	duplicate.ID = h.lastSent[callerPeer(1)]
	effects := h.handle(Input{Kind: InputMessage, Peer: callerPeer(1), Message: duplicate})
	if replies := messagesTo(effects, callerPeer(1), signal.Pending, ""); len(replies) != 1 || len(effects) != 1 {
		t.Fatalf("ID of a pending transaction used again: %+v", effects)
	}
	effects = h.advance(1100 * time.Millisecond)
	requireOne(t, "final reply", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add))
	for range 2 {
		if effects = h.receive(exchangePeer(101), setUp.NewReply()); len(effects) != 0 {
			t.Fatalf("late reply has effects %+v", effects)
		}
	}
	if ended := module.ended(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeTimedOut {
		t.Fatalf("reported outcomes %+v, want one TimedOut", ended)
	}
	effects = h.handle(Input{Kind: InputMessage, Peer: callerPeer(1), Message: duplicate})
	if replies := messagesTo(effects, callerPeer(1), signal.ErrorMessage, ""); len(replies) != 1 || replies[0].Code != signal.BadIdentifier ||
		len(effects) != 1 {
		t.Fatalf("ID of a completed transaction used again: %+v", effects)
	}
	if stats := h.controller.Stats(); stats.LateReplies != 2 || stats.DuplicateIDs != 2 || stats.Accepted != 1 {
		t.Fatalf("unexpected counters: %+v", stats)
	}
	if effects = h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Termination: "nobody"}); requireOne(t, "reply",
		messagesTo(effects, callerPeer(1), signal.Reply, signal.Subtract)).Code != signal.UnknownTermination {
		t.Fatalf("Subtract of an unknown call: %+v", effects)
	}
}

// A link is lost with 500 attempts, of which 200 set-ups had not been sent.
func TestLinkLostWithManyAttempts(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	var setUps []*signal.Message
	for n := range 500 {
		setUps = append(setUps, requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest(fmt.Sprint("c", n))), exchangePeer(101), signal.Request, signal.Add)))
	}
	answers := 0
	for _, setUp := range setUps[300:] {
		answers += len(messagesTo(h.handle(Input{Kind: InputUnsent, Peer: exchangePeer(101), Message: setUp}), callerPeer(1), signal.Reply, signal.Add))
	}
	answers += len(messagesTo(h.handle(Input{Kind: InputDisconnected, Peer: exchangePeer(101)}), callerPeer(1), signal.Reply, signal.Add))
	answers += len(messagesTo(h.handle(Input{Kind: InputDisconnected, Peer: exchangePeer(101)}), callerPeer(1), signal.Reply, signal.Add))
	count, seen := map[routing.Outcome]int{}, map[string]bool{}
	for _, ended := range module.ended() {
		if seen[ended.CallID] {
			t.Fatalf("two outcomes reported for call %s", ended.CallID)
		}
		seen[ended.CallID] = true
		count[ended.Outcome]++
	}
	if count[routing.OutcomeReset] != 300 || count[routing.OutcomeUnreachable] != 200 || answers != 500 {
		t.Fatalf("outcomes %v and %d final replies, want 300 Reset, 200 Unreachable and 500 replies", count, answers)
	}
	h.requireNothingLeft()
}

// The source of a call in transit releases it while the tandem's attempt is in flight.
func TestTransitSourceReleasesDuringSetUp(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	effects := h.receive(callerPeer(7), addRequest("c3-1/3.0").Put("Source", "3"))
	if event, ok := module.events[len(module.events)-1].(routing.Call); !ok || !event.Transit || event.Via != 3 {
		t.Fatalf("events %+v, want a transit call from exchange 3 last", module.events)
	}
	requireOne(t, "set-up", messagesTo(effects, exchangePeer(101), signal.Request, signal.Add))
	effects = h.receive(callerPeer(7), &signal.Message{Command: signal.Subtract, Termination: "c3-1/3.0"})
	release := requireOne(t, "release", messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract))
	h.receive(exchangePeer(101), release.NewReply())
	h.requireNothingLeft()
}

// A caller that floods the controller with malformed commands is disconnected; other
// callers are still served.
func TestFloodOfMalformedCommands(t *testing.T) {
	h := newHarness(t, &script{})
	h.announceList(0, 1)
	closed := 0
	for n := range 100 {
		effects := h.handle(Input{Kind: InputMalformed, Peer: callerPeer(5), SyntaxError: signal.SyntaxError{ID: uint32(n), Code: signal.UnknownCommand, Reason: "no command"}})
		switch {
		case hasEffect(effects, EffectClose, callerPeer(5)):
			closed++
		case n > 0 && requireOne(t, "error", messagesTo(effects, callerPeer(5), signal.Reply, signal.Add)).ID != uint32(n):
			t.Fatalf("unexpected reply to a malformed message: %+v", effects)
		}
	}
	if closed < 70 {
		t.Fatalf("connection closed after only %d of 100 messages", closed)
	}
	// Other callers are still served.
	if h.receive(callerPeer(6), &signal.Message{Command: signal.AuditValue, Termination: signal.Root}); len(h.effects) != 1 {
		t.Fatalf("audit of another caller: effects %+v", h.effects)
	}
}

// An audit of TRAFFIC returns the measured traffic of own callers, and an error
// while traffic is not measured.
func TestTrafficAudit(t *testing.T) {
	h := newHarness(t, &script{respond: sendEachTo(101, 3*time.Second)})
	audit := &signal.Message{Command: signal.AuditValue, Termination: trafficTerm}
	if reply := requireOne(t, "audit reply", messagesTo(h.receive(callerPeer(1), audit), callerPeer(1), signal.Reply, signal.AuditValue)); reply.Code != signal.BadValue {
		t.Fatalf("audit without a measurement: %s", reply)
	}
	h.controller.config.TrafficMeter = measure.NewMeter(h.now, 10*time.Minute, 9*time.Second)
	h.announceList(0, 1)
	for i := range 61 { // a call of 5 s every 10 s: 0.5 Erlang
		msg := addRequest(fmt.Sprint("c", i))
		msg.Descriptors[2].Value = fmt.Sprint(1000 + i)
		setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), msg), exchangePeer(101), signal.Request, signal.Add))
		h.receive(exchangePeer(101), setUp.NewReply())
		h.advance(5 * time.Second)
		release := requireOne(t, "release", messagesTo(h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Termination: msg.Termination}), exchangePeer(101), signal.Request, signal.Subtract))
		h.receive(exchangePeer(101), release.NewReply())
		h.advance(5 * time.Second)
		for _, effect := range h.effects { // answer the probes, so that the links stay connected
			if effect.Kind == EffectSend && effect.Message.Command == signal.AuditValue && effect.Message.Kind == signal.Request {
				h.receive(effect.Peer, effect.Message.NewReply())
			}
		}
	}
	reply := requireOne(t, "audit reply", messagesTo(h.receive(callerPeer(1), &signal.Message{Command: signal.AuditValue, Termination: trafficTerm}), callerPeer(1), signal.Reply, signal.AuditValue))
	var dest, tries, first, lost int
	var class string
	var erlang, low, high float64
	if _, err := fmt.Sscanf(reply.Get("Offered"), "%d %s tries=%d first=%d lost=%d erlang=%f %f %f", &dest, &class, &tries, &first, &lost, &erlang, &low, &high); err != nil {
		t.Fatalf("%s: %v", reply, err)
	}
	if dest != 1 || class != "fetch" || tries != 60 && tries != 61 || first != tries || lost != 0 || erlang < 0.47 || erlang > 0.53 || low > 0.5 || high < 0.5 {
		t.Errorf("unexpected traffic estimate: %s", reply)
	}
}

// A caller with the maximum number of pending calls gets no more; another caller does.
func TestPendingLimitPerCaller(t *testing.T) {
	h := newHarness(t, &script{})
	h.announceList(0, 1)
	for n := range 10000 {
		h.receive(callerPeer(1), addRequest(fmt.Sprint("c", n)))
	}
	if reply := requireOne(t, "refusal", messagesTo(h.receive(callerPeer(1), addRequest("more")), callerPeer(1), signal.Reply, signal.Add)); reply.Code != signal.TooManyPending || reply.Get("Taken") != "no" {
		t.Fatalf("unexpected reply over the limit: %s", reply)
	}
	if stats := h.controller.Stats(); stats.Accepted != 10000 || stats.AddsRejected != 1 {
		t.Fatalf("unexpected counters: %+v", stats)
	}
	if effects := h.receive(callerPeer(2), addRequest("other")); len(messagesTo(effects, callerPeer(2), signal.Reply, signal.Add)) != 0 {
		t.Fatal("limit of one caller applied to another caller")
	}
}

// An Add with a missing or invalid descriptor is rejected and the reply names the descriptor.
func TestInvalidAddsAreRejected(t *testing.T) {
	module := &script{}
	h := newHarness(t, module)
	cases := map[string]*signal.Message{
		"Class":  {Command: signal.Add, Termination: "a", Descriptors: []signal.Field{{Name: "Class", Value: "none"}, {Name: "Dest", Value: "1"}, {Name: "Left", Value: "1s"}}},
		"Left":   {Command: signal.Add, Termination: "a", Descriptors: []signal.Field{{Name: "Class", Value: "fetch"}, {Name: "Dest", Value: "1"}}},
		"Dest":   {Command: signal.Add, Termination: "a", Descriptors: []signal.Field{{Name: "Class", Value: "fetch"}, {Name: "Dest", Value: "-1"}, {Name: "Left", Value: "1s"}}},
		"Width":  addRequest("a").Put("Width", "0"),
		"Number": {Command: signal.Add, Termination: "a", Descriptors: []signal.Field{{Name: "Class", Value: "fetch"}, {Name: "Dest", Value: "1"}, {Name: "Left", Value: "1s"}, {Name: "Number", Value: "x"}}},
		"Source": addRequest("a").Put("Source", "x"),
	}
	for descriptor, request := range cases {
		effects := h.receive(callerPeer(1), request)
		if reply := requireOne(t, descriptor, messagesTo(effects, callerPeer(1), signal.Reply, signal.Add)); reply.Code == 0 ||
			!strings.Contains(reply.Text, descriptor) || reply.Get("Taken") != "no" {
			t.Errorf("invalid %s: %s", descriptor, reply)
		}
	}
	if len(module.events) != 0 {
		t.Fatalf("events of rejected calls: %v", module.events)
	}
}

// The exchange list is unreachable at the start, connects, disconnects, and comes
// back with other IDs for the same numbers.
func TestExchangeListReconnectsWithNewIDs(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	effects := h.receive(callerPeer(1), addRequest("early")) // no exchange is known yet
	requireOne(t, "final reply", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add))
	h.announceList(0, 1)
	setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("a")), exchangePeer(101), signal.Request, signal.Add))
	h.handle(Input{Kind: InputDisconnected, Peer: Peer{Role: RoleExchangeList}})
	h.receive(exchangePeer(101), setUp.NewReply()) // the last list stays in force
	h.handle(Input{Kind: InputConnected, Peer: Peer{Role: RoleExchangeList}})
	update := (&signal.Message{ID: 1, Command: signal.Notify, Termination: signal.Root}).Put("Complete", "yes").
		Put("Exchange", listEntry(200, 0, "in")).Put("Exchange", listEntry(201, 1, "in"))
	effects = h.handle(Input{Kind: InputMessage, Peer: Peer{Role: RoleExchangeList}, Message: update})
	if !hasEffect(effects, EffectConnect, exchangePeer(201)) || !hasEffect(effects, EffectBlock, exchangePeer(101)) ||
		hasEffect(effects, EffectDisconnect, exchangePeer(101)) {
		t.Fatalf("effects of the new list: %+v", effects)
	}
	// The call established at the old exchange ends there; then the link is removed.
	effects = h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Termination: "a"})
	effects = h.receive(exchangePeer(101), requireOne(t, "release", messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract)).NewReply())
	if !hasEffect(effects, EffectDisconnect, exchangePeer(101)) || h.controller.links[101] != nil {
		t.Fatal("unused link of a delisted exchange not removed")
	}
	bad := (&signal.Message{ID: 2, Command: signal.Notify, Termination: signal.Root}).Put("Exchange", "7 cell=x")
	if reply := requireOne(t, "error", messagesTo(h.handle(Input{Kind: InputMessage, Peer: Peer{Role: RoleExchangeList}, Message: bad}), Peer{Role: RoleExchangeList}, signal.Reply, signal.Notify)); reply.Code != signal.BadValue {
		t.Fatalf("unexpected reply to an invalid list: %s", reply)
	}
}

// A peer that does not answer the probes is disconnected.
func TestHalfOpenLinkIsClosed(t *testing.T) {
	h := newHarness(t, &script{respond: sendEachTo(101, 9*time.Second)})
	h.announceList(0, 1)
	h.receive(callerPeer(1), addRequest("a"))
	effects := h.advance(3500 * time.Millisecond)
	if n := len(messagesTo(effects, exchangePeer(101), signal.Request, signal.AuditValue)); n < 1 || n > 3 {
		t.Fatalf("%d probes sent, want 1 to 3", n)
	}
	if !hasEffect(effects, EffectClose, exchangePeer(101)) {
		t.Fatal("link to an unresponsive peer not closed")
	}
}

// A shutdown rejects new calls, lets pending calls complete, and cuts established
// calls after the grace.
func TestShutdownEndsAllCalls(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("established")), exchangePeer(101), signal.Request, signal.Add))
	h.receive(exchangePeer(101), setUp.NewReply())
	pending := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("pending")), exchangePeer(101), signal.Request, signal.Add))
	h.handle(Input{Kind: InputShutdown})
	if reply := requireOne(t, "refusal", messagesTo(h.receive(callerPeer(1), addRequest("new")), callerPeer(1), signal.Reply, signal.Add)); reply.Code != signal.NotReady || reply.Get("Taken") != "no" {
		t.Fatalf("unexpected reply during the shutdown: %s", reply)
	}
	h.receive(exchangePeer(101), pending.NewErrorReply(signal.InsufficientResources, "").Put("Note", "processor-full"))
	all := h.advance(2100 * time.Millisecond)
	notice := requireOne(t, "notification", messagesTo(all, callerPeer(1), signal.Request, signal.Notify))
	if notice.Get("Event") != "cut" {
		t.Fatalf("unexpected notification: %s", notice)
	}
	release := requireOne(t, "release", messagesTo(all, exchangePeer(101), signal.Request, signal.Subtract))
	if !hasEffect(h.receive(exchangePeer(101), release.NewReply()), EffectStopped, Peer{}) {
		t.Fatal("shutdown not completed")
	}
	h.requireNothingLeft()
}

// failer is implemented by *testing.T, *testing.B and *rapid.T.
type failer interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// A call that becomes established only after the established calls were cut is cut
// as well, and does not block the shutdown.
func TestCallEstablishedDuringShutdownIsCut(t *testing.T) {
	h := newHarness(t, &script{respond: sendEachTo(101, 9*time.Second)})
	h.announceList(0, 1)
	setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("late")), exchangePeer(101), signal.Request, signal.Add))
	h.handle(Input{Kind: InputShutdown})
	h.advance(2500 * time.Millisecond)
	h.receive(exchangePeer(101), setUp.NewReply())
	effects := h.advance(300 * time.Millisecond)
	requireOne(t, "notification", messagesTo(effects, callerPeer(1), signal.Request, signal.Notify))
	release := requireOne(t, "release", messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract))
	if !hasEffect(h.receive(exchangePeer(101), release.NewReply()), EffectStopped, Peer{}) {
		t.Fatal("shutdown not completed")
	}
	h.requireNothingLeft()
}

// A second StartAttempt for a call with an attempt in flight is ignored.
func TestSecondStartAttemptIsIgnored(t *testing.T) {
	module := &script{respond: func(e routing.Event) []routing.Action {
		if event, ok := e.(routing.Call); ok {
			action := routing.StartAttempt{CallID: event.ID, ExchangeID: 101, Timeout: time.Second}
			return []routing.Action{action, action}
		}
		return nil
	}}
	h := newHarness(t, module)
	h.announceList(0, 1)
	requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("a")), exchangePeer(101), signal.Request, signal.Add))
	if len(module.ended()) != 0 {
		t.Fatalf("outcome reported for an attempt in flight: %+v", module.ended())
	}
}

// The routing module fails a call with an attempt in flight: the caller gets one
// final reply and the attempt is withdrawn.
func TestFailCallWithdrawsAttempt(t *testing.T) {
	module := &script{respond: func(e routing.Event) []routing.Action {
		switch e := e.(type) {
		case routing.Call:
			return []routing.Action{routing.StartAttempt{CallID: e.ID, ExchangeID: 101, Timeout: 3 * time.Second}, routing.SetTimer{Token: 1, Delay: time.Second}}
		case routing.TimerExpired:
			return []routing.Action{routing.FailCall{CallID: "1"}}
		}
		return nil
	}}
	h := newHarness(t, module)
	h.announceList(0, 1)
	h.receive(callerPeer(1), addRequest("a"))
	effects := h.advance(1100 * time.Millisecond)
	if reply := requireOne(t, "final reply", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add)); reply.Code != signal.Unavailable {
		t.Fatalf("unexpected final reply: %s", reply)
	}
	release := requireOne(t, "release", messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract))
	h.receive(exchangePeer(101), release.NewReply())
	if ended := module.ended(); len(ended) != 1 || !ended[0].Final {
		t.Fatalf("reported outcomes %+v, want one final outcome", ended)
	}
	h.requireNothingLeft()
}

// An established call ends when its link is lost, and its caller is notified.
func TestLostLinkCutsEstablishedCalls(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("a")), exchangePeer(101), signal.Request, signal.Add))
	h.receive(exchangePeer(101), setUp.NewReply())
	effects := h.handle(Input{Kind: InputDisconnected, Peer: exchangePeer(101)})
	if notice := requireOne(t, "notification", messagesTo(effects, callerPeer(1), signal.Request, signal.Notify)); notice.Get("Event") != "cut" || notice.Termination != "a" {
		t.Fatalf("unexpected notification: %s", notice)
	}
	if ended := module.ended(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeReset || !ended[0].Final {
		t.Fatalf("reported outcomes %+v, want one final Reset", ended)
	}
	h.requireNothingLeft()
}
