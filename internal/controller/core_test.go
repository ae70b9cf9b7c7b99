package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/policy"
	"dahliaspindle/internal/signal"
)

// script is a module that does what a test tells it, and keeps what it is told.
type script struct {
	events  []brain.Event
	respond func(e brain.Event) []brain.Action
}

func (module *script) Handle(_ time.Duration, e brain.Event) []brain.Action {
	module.events = append(module.events, e)
	if module.respond == nil {
		return nil
	}
	return module.respond(e)
}

func (module *script) ended() (all []brain.Ended) {
	for _, e := range module.events {
		if ended, ok := e.(brain.Ended); ok {
			all = append(all, ended)
		}
	}
	return all
}

// sendEachTo sends each call once to an exchange.
func sendEachTo(id uint32, timeout time.Duration) func(brain.Event) []brain.Action {
	return func(e brain.Event) []brain.Action {
		switch e := e.(type) {
		case brain.Call:
			return []brain.Action{brain.Send{ID: e.ID, Exchange: id, Timeout: timeout}}
		case brain.CallGone:
			return []brain.Action{brain.Cancel{ID: e.ID}}
		case brain.Ended:
			if !e.Final {
				return []brain.Action{brain.Refuse{ID: e.ID}}
			}
		}
		return nil
	}
}

// rig is a core with its peers played by the test.
type harness struct {
	t          failer
	controller *Controller
	now        time.Duration
	effects    []Effect // of the last step
	lastSent   map[Peer]uint32
}

var testClasses = []brain.Class{{Name: "fetch", Worth: 1, Aim: time.Second, GiveUp: 9 * time.Second, Holding: 10 * time.Second, Width: 1},
	{Name: "wide", Worth: 2, Aim: time.Second, GiveUp: 9 * time.Second, Holding: 10 * time.Second, Width: 2}}

func newHarness(t failer, module policy.Module) *harness {
	h := &harness{t: t, now: time.Hour, lastSent: map[Peer]uint32{}}
	h.controller = New(h.now, Config{Module: module, Classes: testClasses, ExchangeNumber: 0,
		MaxCalls: 50000, MaxPendingPerCaller: 10000, MaxExchanges: 1000, LinkTimeout: 300 * time.Millisecond, ShutdownGrace: 2 * time.Second,
		Liveness:     guard.Life{After: time.Second, Lost: 3 * time.Second},
		ReleaseRetry: guard.Release{Every: time.Second, Tries: 3}, FaultLimit: guard.Faults{Most: 20, Each: 100 * time.Millisecond}})
	return h
}

func (h *harness) handle(input Input) []Effect {
	h.effects = append([]Effect(nil), h.controller.Handle(h.now, input)...)
	return h.effects
}

// pass lets time go by in steps as the core asks for, and returns all effects.
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

func (h *harness) receive(peer Peer, msg *signal.Message) []Effect {
	if msg.Kind == signal.Request && msg.ID == 0 {
		h.lastSent[peer]++
		msg.ID = h.lastSent[peer]
	}
	return h.handle(Input{Kind: InputMessage, Peer: peer, Message: msg})
}

func callerPeer(n uint64) Peer { return Peer{RoleCaller, n} }
func exchangePeer(id int) Peer { return Peer{RoleExchange, uint64(id)} }
func addRequest(name string) *signal.Message {
	return (&signal.Message{Context: signal.ContextChoose, Command: signal.Add, Term: name}).Put("Class", "fetch").
		PutInt("Dest", 1).Put("Number", "77").PutSpan("Left", 4*time.Second)
}

// list tells the core of exchanges: number n has the id 100+n, state in, and its links come up.
func (h *harness) announceList(numbers ...int) {
	msg := &signal.Message{ID: 1, Command: signal.Notify, Term: signal.Root}
	msg.PutFlag("Complete", true)
	for _, n := range numbers {
		msg.Put("Exchange", listEntry(100+n, n, "in"))
	}
	h.handle(Input{Kind: InputMessage, Peer: Peer{Role: RoleExchangeList}, Message: msg})
	for _, n := range numbers {
		h.handle(Input{Kind: InputConnected, Peer: exchangePeer(100 + n)})
	}
}

func listEntry(id, number int, state string) string {
	return fmt.Sprintf("%d cell=%d state=%s since=0 at=127.0.0.1:%d", id, number, state, id)
}

func (h *harness) announceExchange(id, number int, state string) []Effect {
	return h.handle(Input{Kind: InputMessage, Peer: Peer{Role: RoleExchangeList}, Message: (&signal.Message{ID: 9, Command: signal.Notify, Term: signal.Root}).
		Put("Exchange", listEntry(id, number, state))})
}

// said picks the messages to a peer of a kind and command.
func messagesTo(effects []Effect, peer Peer, kind signal.Kind, command signal.Command) (all []*signal.Message) {
	for _, e := range effects {
		if e.Kind == EffectSend && e.Peer == peer && e.Message.Kind == kind && (e.Message.Command == command || kind == signal.Pending || kind == signal.Fault) {
			all = append(all, e.Message)
		}
	}
	return all
}

func hasEffect(effects []Effect, kind EffectKind, peer Peer) bool {
	for _, e := range effects {
		if e.Kind == kind && e.Peer == peer {
			return true
		}
	}
	return false
}

func requireOne(t failer, description string, all []*signal.Message) *signal.Message {
	t.Helper()
	if len(all) != 1 {
		t.Fatalf("%s: %d messages, want one", description, len(all))
	}
	return all[0]
}

// empty asks that nothing is left of calls and attempts.
func (h *harness) requireNothingLeft() {
	h.t.Helper()
	s := h.controller.Stats()
	if s.Pending != 0 || s.Established != 0 || s.HeldAttempts != 0 || len(h.controller.calls) != 0 {
		h.t.Fatalf("left over: %d open, %d standing, %d held, %d calls", s.Pending, s.Established, s.HeldAttempts, len(h.controller.calls))
	}
	for _, caller := range h.controller.callers {
		if len(caller.pending) != 0 || len(caller.calls) != 0 {
			h.t.Fatalf("left over with a caller: %d open, %d calls", len(caller.pending), len(caller.calls))
		}
	}
	for _, link := range h.controller.links {
		if len(link.pending) != 0 || len(link.held) != 0 || len(link.queued) != 0 {
			h.t.Fatalf("left over on link %d: %d out, %d held, %d waiting", link.id, len(link.pending), len(link.held), len(link.queued))
		}
	}
}

func TestACallStandsAndEnds(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	effects := h.receive(callerPeer(1), addRequest("a"))
	setUp := requireOne(t, "set-up", messagesTo(effects, exchangePeer(101), signal.Request, signal.Add))
	if setUp.Get("From") != "0" || setUp.Get("Dest") != "1" || setUp.Get("Width") != "1" || setUp.Get("Left") != "4s" || setUp.Get("Attempt") != "0" {
		t.Fatalf("%s", setUp)
	}
	h.now += 50 * time.Millisecond
	effects = h.receive(exchangePeer(101), setUp.Answer().Put("Group", "1 9 10"))
	if reply := requireOne(t, "answer", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add)); reply.Code != 0 || reply.Get("Via") != "direct" || reply.Context != setUp.Context {
		t.Fatalf("%s", reply)
	}
	effects = h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Term: "a"})
	requireOne(t, "reply to the hang-up", messagesTo(effects, callerPeer(1), signal.Reply, signal.Subtract))
	release := requireOne(t, "release", messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract))
	if len(module.ended()) != 0 {
		t.Fatal("the module is told before the exchange has let go")
	}
	h.receive(exchangePeer(101), release.Answer())
	if e := module.ended(); len(e) != 1 || e[0].Outcome != brain.OK || !e[0].Final {
		t.Fatalf("%+v", e)
	}
	h.requireNothingLeft()
}

// A caller gives up, or its connection dies, while the attempt is out.
func TestCallerLeavesWhileAnAttemptIsOut(t *testing.T) {
	for _, disconnects := range []bool{false, true} {
		module := &script{respond: sendEachTo(101, 3*time.Second)}
		h := newHarness(t, module)
		h.announceList(0, 1)
		setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("a")), exchangePeer(101), signal.Request, signal.Add))
		var effects []Effect
		if disconnects {
			effects = h.handle(Input{Kind: InputDisconnected, Peer: callerPeer(1)})
			if n := len(messagesTo(effects, callerPeer(1), signal.Reply, signal.Add)); n != 0 {
				t.Fatalf("%d answers to nobody", n)
			}
		} else {
			effects = h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Term: "a"})
			if reply := requireOne(t, "answer", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add)); reply.Code != signal.Gone {
				t.Fatalf("%s", reply)
			}
		}
		requireOne(t, "release", messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract))
		if e := module.ended(); len(e) != 1 || e[0].Outcome != brain.Cancelled || !e[0].Final {
			t.Fatalf("%+v", e)
		}
		// the answer crosses the withdrawal: it counts as late and moves nothing
		if effects = h.receive(exchangePeer(101), setUp.Answer()); len(effects) != 0 || h.controller.Stats().LateReplies != 1 {
			t.Fatalf("%+v", effects)
		}
		// the release is asked for again until it is answered
		release := requireOne(t, "repeat", messagesTo(h.advance(1100*time.Millisecond), exchangePeer(101), signal.Request, signal.Subtract))
		h.receive(exchangePeer(101), release.Answer())
		h.requireNothingLeft()
		for _, e := range h.advance(10 * time.Second) {
			if e.Kind == EffectSend && e.Message.Command == signal.Add {
				t.Fatalf("sent after the end: %s", e.Message)
			}
		}
	}
}

func TestReleasesThatAreNeverAnsweredCloseTheLink(t *testing.T) {
	h := newHarness(t, &script{respond: sendEachTo(101, time.Second)})
	h.announceList(0, 1)
	h.receive(callerPeer(1), addRequest("a"))
	closed := false
	for range 100 {
		h.handle(Input{Kind: InputMessage, Peer: exchangePeer(101), Message: &signal.Message{Kind: signal.Pending, ID: 99}}) // it lives
		closed = closed || hasEffect(h.advance(200*time.Millisecond), EffectClose, exchangePeer(101))
	}
	if !closed {
		t.Fatal("never closed")
	}
	h.handle(Input{Kind: InputDisconnected, Peer: exchangePeer(101)})
	h.requireNothingLeft()
}

// A drain notice in the middle of set-ups, and one in the very step of a Send.
func TestDrainNotice(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	sent := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("out")), exchangePeer(101), signal.Request, signal.Add))
	h.handle(Input{Kind: InputDisconnected, Peer: exchangePeer(101)}) // the first is reset; its link is gone
	h.receive(callerPeer(1), addRequest("waits"))                     // waits for the link
	if len(h.controller.links[101].queued) != 1 {
		t.Fatal("does not wait for its link")
	}
	effects := h.announceExchange(101, 1, "draining")
	if !hasEffect(effects, EffectBlock, exchangePeer(101)) {
		t.Fatal("no fence")
	}
	if reply := requireOne(t, "answer", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add)); reply.Code != signal.NoResources {
		t.Fatalf("%s", reply)
	}
	h.handle(Input{Kind: InputConnected, Peer: exchangePeer(101)})
	// the module sends in the same instant all the same: nothing leaves
	if n := len(messagesTo(h.receive(callerPeer(1), addRequest("late")), exchangePeer(101), signal.Request, signal.Add)); n != 0 {
		t.Fatalf("%d set-ups to a draining exchange", n)
	}
	if n := len(messagesTo(h.advance(5*time.Second), exchangePeer(101), signal.Request, signal.Add)); n != 0 {
		t.Fatalf("%d set-ups to a draining exchange", n)
	}
	var outcomes []brain.Outcome
	for _, e := range module.ended() {
		outcomes = append(outcomes, e.Outcome)
	}
	if fmt.Sprint(outcomes) != fmt.Sprint([]brain.Outcome{brain.Reset, brain.NoConnect, brain.NoConnect}) {
		t.Fatalf("%v (%s)", outcomes, sent.Term)
	}
	// back in service: the fence is lifted and set-ups leave
	if !hasEffect(h.announceExchange(101, 1, "in"), EffectUnblock, exchangePeer(101)) {
		t.Fatal("the fence stays")
	}
	requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("b")), exchangePeer(101), signal.Request, signal.Add))
}

func TestSetUpsInTheQueueWhenTheFenceShuts(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("a")), exchangePeer(101), signal.Request, signal.Add))
	h.announceExchange(101, 1, "draining")
	effects := h.handle(Input{Kind: InputUnsent, Peer: exchangePeer(101), Message: setUp})
	if e := module.ended(); len(e) != 1 || e[0].Outcome != brain.NoConnect {
		t.Fatalf("%+v", e)
	}
	requireOne(t, "answer", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add))
	h.requireNothingLeft()
}

// Answers after the time-out, twice, to nothing; transaction ids used again.
func TestAnswersAndIDsThatComeAgain(t *testing.T) {
	module := &script{respond: sendEachTo(101, time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("a")), exchangePeer(101), signal.Request, signal.Add))
	again := addRequest("b")
	again.ID = h.lastSent[callerPeer(1)]
	effects := h.handle(Input{Kind: InputMessage, Peer: callerPeer(1), Message: again})
	if replies := messagesTo(effects, callerPeer(1), signal.Pending, ""); len(replies) != 1 || len(effects) != 1 {
		t.Fatalf("an open id again: %+v", effects)
	}
	effects = h.advance(1100 * time.Millisecond)
	requireOne(t, "answer", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add))
	for range 2 {
		if effects = h.receive(exchangePeer(101), setUp.Answer()); len(effects) != 0 {
			t.Fatalf("a late answer moves %+v", effects)
		}
	}
	if e := module.ended(); len(e) != 1 || e[0].Outcome != brain.TimedOut {
		t.Fatalf("%+v", e)
	}
	effects = h.handle(Input{Kind: InputMessage, Peer: callerPeer(1), Message: again})
	if replies := messagesTo(effects, callerPeer(1), signal.Fault, ""); len(replies) != 1 || replies[0].Code != signal.BadIdentifier || len(effects) != 1 {
		t.Fatalf("a closed id again: %+v", effects)
	}
	if s := h.controller.Stats(); s.LateReplies != 2 || s.DuplicateIDs != 2 || s.Accepted != 1 {
		t.Fatalf("%+v", s)
	}
	if effects = h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Term: "nobody"}); requireOne(t, "reply", messagesTo(effects, callerPeer(1), signal.Reply, signal.Subtract)).Code != signal.NoSuchTerm {
		t.Fatalf("%+v", effects)
	}
}

// A link breaks with 500 set-ups out, of which 200 had not left.
func TestLinkBreaksWithManyOut(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	var setUps []*signal.Message
	for n := range 500 {
		setUps = append(setUps, requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest(fmt.Sprint("c", n))), exchangePeer(101), signal.Request, signal.Add)))
	}
	answers := 0
	for _, s := range setUps[300:] {
		answers += len(messagesTo(h.handle(Input{Kind: InputUnsent, Peer: exchangePeer(101), Message: s}), callerPeer(1), signal.Reply, signal.Add))
	}
	answers += len(messagesTo(h.handle(Input{Kind: InputDisconnected, Peer: exchangePeer(101)}), callerPeer(1), signal.Reply, signal.Add))
	answers += len(messagesTo(h.handle(Input{Kind: InputDisconnected, Peer: exchangePeer(101)}), callerPeer(1), signal.Reply, signal.Add))
	count, seen := map[brain.Outcome]int{}, map[string]bool{}
	for _, e := range module.ended() {
		if seen[e.ID] {
			t.Fatalf("call %s is told twice", e.ID)
		}
		seen[e.ID] = true
		count[e.Outcome]++
	}
	if count[brain.Reset] != 300 || count[brain.NoConnect] != 200 || answers != 500 {
		t.Fatalf("%v, %d answers", count, answers)
	}
	h.requireNothingLeft()
}

// A call in transit whose source hangs up while the tandem's attempt is out.
func TestSourceOfTransitHangsUp(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	effects := h.receive(callerPeer(7), addRequest("c3-1/3.0").Put("Source", "3"))
	if event, ok := module.events[len(module.events)-1].(brain.Call); !ok || !event.Transit || event.Through != 3 {
		t.Fatalf("%+v", module.events)
	}
	requireOne(t, "set-up", messagesTo(effects, exchangePeer(101), signal.Request, signal.Add))
	effects = h.receive(callerPeer(7), &signal.Message{Command: signal.Subtract, Term: "c3-1/3.0"})
	release := requireOne(t, "release", messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract))
	h.receive(exchangePeer(101), release.Answer())
	h.requireNothingLeft()
}

func TestFloodOfMalformedCommands(t *testing.T) {
	h := newHarness(t, &script{})
	h.announceList(0, 1)
	closed := 0
	for n := range 100 {
		effects := h.handle(Input{Kind: InputMalformed, Peer: callerPeer(5), SyntaxError: signal.SyntaxError{ID: uint32(n), Code: signal.BadCommand, What: "no command"}})
		switch {
		case hasEffect(effects, EffectClose, callerPeer(5)):
			closed++
		case n > 0 && requireOne(t, "error", messagesTo(effects, callerPeer(5), signal.Reply, signal.Add)).ID != uint32(n):
			t.Fatalf("%+v", effects)
		}
	}
	if closed < 70 {
		t.Fatalf("closed %d times", closed)
	}
	// others are heard all the while
	if h.receive(callerPeer(6), &signal.Message{Command: signal.AuditValue, Term: signal.Root}); len(h.effects) != 1 {
		t.Fatalf("%+v", h.effects)
	}
}

// What own callers offer is measured and told: redials by their number, calls in
// transit not at all; without a measurement it says so.
func TestTrafficIsTold(t *testing.T) {
	h := newHarness(t, &script{respond: sendEachTo(101, 3*time.Second)})
	ask := &signal.Message{Command: signal.AuditValue, Term: trafficTerm}
	if reply := requireOne(t, "answer", messagesTo(h.receive(callerPeer(1), ask), callerPeer(1), signal.Reply, signal.AuditValue)); reply.Code != signal.BadValue {
		t.Fatalf("%s", reply)
	}
	h.controller.config.TrafficMeter = measure.NewLive(h.now, 10*time.Minute, 9*time.Second)
	h.announceList(0, 1)
	for i := range 61 { // a call each 10 s that stands for 5: half an erlang
		msg := addRequest(fmt.Sprint("c", i))
		msg.Fields[2].Value = fmt.Sprint(1000 + i)
		setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), msg), exchangePeer(101), signal.Request, signal.Add))
		h.receive(exchangePeer(101), setUp.Answer())
		h.advance(5 * time.Second)
		release := requireOne(t, "release", messagesTo(h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Term: msg.Term}), exchangePeer(101), signal.Request, signal.Subtract))
		h.receive(exchangePeer(101), release.Answer())
		h.advance(5 * time.Second)
		for _, e := range h.effects { // signs of life keep the links up
			if e.Kind == EffectSend && e.Message.Command == signal.AuditValue && e.Message.Kind == signal.Request {
				h.receive(e.Peer, e.Message.Answer())
			}
		}
	}
	reply := requireOne(t, "answer", messagesTo(h.receive(callerPeer(1), &signal.Message{Command: signal.AuditValue, Term: trafficTerm}), callerPeer(1), signal.Reply, signal.AuditValue))
	var dest, tries, first, lost int
	var class string
	var erlang, low, high float64
	if _, err := fmt.Sscanf(reply.Get("Offered"), "%d %s tries=%d first=%d lost=%d erlang=%f %f %f", &dest, &class, &tries, &first, &lost, &erlang, &low, &high); err != nil {
		t.Fatalf("%s: %v", reply, err)
	}
	if dest != 1 || class != "fetch" || tries != 60 && tries != 61 || first != tries || lost != 0 || erlang < 0.47 || erlang > 0.53 || low > 0.5 || high < 0.5 {
		t.Errorf("%s", reply)
	}
}

func TestTenThousandOpenTransactions(t *testing.T) {
	h := newHarness(t, &script{})
	h.announceList(0, 1)
	for n := range 10000 {
		h.receive(callerPeer(1), addRequest(fmt.Sprint("c", n)))
	}
	if reply := requireOne(t, "refusal", messagesTo(h.receive(callerPeer(1), addRequest("more")), callerPeer(1), signal.Reply, signal.Add)); reply.Code != signal.TooManyOpen || reply.Get("Taken") != "no" {
		t.Fatalf("%s", reply)
	}
	if s := h.controller.Stats(); s.Accepted != 10000 || s.AddsRejected != 1 {
		t.Fatalf("%+v", s)
	}
	if effects := h.receive(callerPeer(2), addRequest("other")); len(messagesTo(effects, callerPeer(2), signal.Reply, signal.Add)) != 0 {
		t.Fatal("another caller is refused too")
	}
}

func TestBadAddsAreNotTaken(t *testing.T) {
	module := &script{}
	h := newHarness(t, module)
	cases := map[string]*signal.Message{
		"Class":  {Command: signal.Add, Term: "a", Fields: []signal.Field{{Name: "Class", Value: "none"}, {Name: "Dest", Value: "1"}, {Name: "Left", Value: "1s"}}},
		"Left":   {Command: signal.Add, Term: "a", Fields: []signal.Field{{Name: "Class", Value: "fetch"}, {Name: "Dest", Value: "1"}}},
		"Dest":   {Command: signal.Add, Term: "a", Fields: []signal.Field{{Name: "Class", Value: "fetch"}, {Name: "Dest", Value: "-1"}, {Name: "Left", Value: "1s"}}},
		"Width":  addRequest("a").Put("Width", "0"),
		"Number": {Command: signal.Add, Term: "a", Fields: []signal.Field{{Name: "Class", Value: "fetch"}, {Name: "Dest", Value: "1"}, {Name: "Left", Value: "1s"}, {Name: "Number", Value: "x"}}},
		"Source": addRequest("a").Put("Source", "x"),
	}
	for place, reply := range cases {
		effects := h.receive(callerPeer(1), reply)
		if e := requireOne(t, place, messagesTo(effects, callerPeer(1), signal.Reply, signal.Add)); e.Code == 0 || !strings.Contains(e.Text, place) || e.Get("Taken") != "no" {
			t.Errorf("%s: %s", place, e)
		}
	}
	if len(module.events) != 0 {
		t.Fatalf("the module was told %v", module.events)
	}
}

// The list is away at the start, comes, goes, and comes back with other ids.
func TestListComesAndGoes(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	effects := h.receive(callerPeer(1), addRequest("early")) // nothing is known yet
	requireOne(t, "answer", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add))
	h.announceList(0, 1)
	setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("a")), exchangePeer(101), signal.Request, signal.Add))
	h.handle(Input{Kind: InputDisconnected, Peer: Peer{Role: RoleExchangeList}})
	h.receive(exchangePeer(101), setUp.Answer()) // the last list stays in force
	h.handle(Input{Kind: InputConnected, Peer: Peer{Role: RoleExchangeList}})
	w := (&signal.Message{ID: 1, Command: signal.Notify, Term: signal.Root}).Put("Complete", "yes").
		Put("Exchange", listEntry(200, 0, "in")).Put("Exchange", listEntry(201, 1, "in"))
	effects = h.handle(Input{Kind: InputMessage, Peer: Peer{Role: RoleExchangeList}, Message: w})
	if !hasEffect(effects, EffectConnect, exchangePeer(201)) || !hasEffect(effects, EffectBlock, exchangePeer(101)) || hasEffect(effects, EffectDisconnect, exchangePeer(101)) {
		t.Fatalf("%+v", effects)
	}
	// the call that stands at the old one ends there; then its link is dropped
	effects = h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Term: "a"})
	effects = h.receive(exchangePeer(101), requireOne(t, "release", messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract)).Answer())
	if !hasEffect(effects, EffectDisconnect, exchangePeer(101)) || h.controller.links[101] != nil {
		t.Fatal("the old link is kept")
	}
	bad := (&signal.Message{ID: 2, Command: signal.Notify, Term: signal.Root}).Put("Exchange", "7 cell=x")
	if reply := requireOne(t, "error", messagesTo(h.handle(Input{Kind: InputMessage, Peer: Peer{Role: RoleExchangeList}, Message: bad}), Peer{Role: RoleExchangeList}, signal.Reply, signal.Notify)); reply.Code != signal.BadValue {
		t.Fatalf("%s", reply)
	}
}

func TestHalfOpenPeerIsFoundAndCut(t *testing.T) {
	h := newHarness(t, &script{respond: sendEachTo(101, 9*time.Second)})
	h.announceList(0, 1)
	h.receive(callerPeer(1), addRequest("a"))
	effects := h.advance(3500 * time.Millisecond)
	if n := len(messagesTo(effects, exchangePeer(101), signal.Request, signal.AuditValue)); n < 1 || n > 3 {
		t.Fatalf("%d signs of life asked for", n)
	}
	if !hasEffect(effects, EffectClose, exchangePeer(101)) {
		t.Fatal("the silent link stays")
	}
}

func TestLeaveAnswersAndEnds(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("stands")), exchangePeer(101), signal.Request, signal.Add))
	h.receive(exchangePeer(101), setUp.Answer())
	out := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("out")), exchangePeer(101), signal.Request, signal.Add))
	h.handle(Input{Kind: InputShutdown})
	if reply := requireOne(t, "refusal", messagesTo(h.receive(callerPeer(1), addRequest("new")), callerPeer(1), signal.Reply, signal.Add)); reply.Code != signal.NotReady || reply.Get("Taken") != "no" {
		t.Fatalf("%s", reply)
	}
	h.receive(exchangePeer(101), out.Refuse(signal.NoResources, "").Put("Note", "processor-full"))
	all := h.advance(2100 * time.Millisecond)
	notice := requireOne(t, "notice", messagesTo(all, callerPeer(1), signal.Request, signal.Notify))
	if notice.Get("Event") != "cut" {
		t.Fatalf("%s", notice)
	}
	release := requireOne(t, "release", messagesTo(all, exchangePeer(101), signal.Request, signal.Subtract))
	if !hasEffect(h.receive(exchangePeer(101), release.Answer()), EffectStopped, Peer{}) {
		t.Fatal("does not leave")
	}
	h.requireNothingLeft()
}

// fataler is a test, or a check of one property.
type failer interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// A call that is answered by its exchange only after those that stood were cut
// is cut as well, and does not keep the controller.
func TestCallThatStandsLateDoesNotKeepALeavingController(t *testing.T) {
	h := newHarness(t, &script{respond: sendEachTo(101, 9*time.Second)})
	h.announceList(0, 1)
	setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("late")), exchangePeer(101), signal.Request, signal.Add))
	h.handle(Input{Kind: InputShutdown})
	h.advance(2500 * time.Millisecond)
	h.receive(exchangePeer(101), setUp.Answer())
	effects := h.advance(300 * time.Millisecond)
	requireOne(t, "notice", messagesTo(effects, callerPeer(1), signal.Request, signal.Notify))
	release := requireOne(t, "release", messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract))
	if !hasEffect(h.receive(exchangePeer(101), release.Answer()), EffectStopped, Peer{}) {
		t.Fatal("does not leave")
	}
	h.requireNothingLeft()
}

func TestModuleThatSendsTwiceIsNotObeyed(t *testing.T) {
	module := &script{respond: func(e brain.Event) []brain.Action {
		if event, ok := e.(brain.Call); ok {
			s := brain.Send{ID: event.ID, Exchange: 101, Timeout: time.Second}
			return []brain.Action{s, s}
		}
		return nil
	}}
	h := newHarness(t, module)
	h.announceList(0, 1)
	requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("a")), exchangePeer(101), signal.Request, signal.Add))
	if len(module.ended()) != 0 {
		t.Fatalf("the attempt that is out is told as over: %+v", module.ended())
	}
}

// The module gives up while its attempt is out: one answer, and the attempt is withdrawn.
func TestGiveUpWithdrawsWhatIsOut(t *testing.T) {
	module := &script{respond: func(e brain.Event) []brain.Action {
		switch e := e.(type) {
		case brain.Call:
			return []brain.Action{brain.Send{ID: e.ID, Exchange: 101, Timeout: 3 * time.Second}, brain.Wake{Token: 1, After: time.Second}}
		case brain.Alarm:
			return []brain.Action{brain.GiveUp{ID: "1"}}
		}
		return nil
	}}
	h := newHarness(t, module)
	h.announceList(0, 1)
	h.receive(callerPeer(1), addRequest("a"))
	effects := h.advance(1100 * time.Millisecond)
	if reply := requireOne(t, "answer", messagesTo(effects, callerPeer(1), signal.Reply, signal.Add)); reply.Code != signal.Unavailable {
		t.Fatalf("%s", reply)
	}
	release := requireOne(t, "release", messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract))
	h.receive(exchangePeer(101), release.Answer())
	if e := module.ended(); len(e) != 1 || !e[0].Final {
		t.Fatalf("told %+v, want one end", e)
	}
	h.requireNothingLeft()
}

// A call that stands is over when its link breaks, and its caller hears so.
func TestBrokenLinkCutsWhatStands(t *testing.T) {
	module := &script{respond: sendEachTo(101, 3*time.Second)}
	h := newHarness(t, module)
	h.announceList(0, 1)
	setUp := requireOne(t, "set-up", messagesTo(h.receive(callerPeer(1), addRequest("a")), exchangePeer(101), signal.Request, signal.Add))
	h.receive(exchangePeer(101), setUp.Answer())
	effects := h.handle(Input{Kind: InputDisconnected, Peer: exchangePeer(101)})
	if notice := requireOne(t, "notice", messagesTo(effects, callerPeer(1), signal.Request, signal.Notify)); notice.Get("Event") != "cut" || notice.Term != "a" {
		t.Fatalf("%s", notice)
	}
	if e := module.ended(); len(e) != 1 || e[0].Outcome != brain.Reset || !e[0].Final {
		t.Fatalf("%+v", e)
	}
	h.requireNothingLeft()
}
