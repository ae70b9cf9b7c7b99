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
	told []brain.Event
	on   func(e brain.Event) []brain.Action
}

func (s *script) Handle(_ time.Duration, e brain.Event) []brain.Action {
	s.told = append(s.told, e)
	if s.on == nil {
		return nil
	}
	return s.on(e)
}

func (s *script) ended() (all []brain.AttemptEnded) {
	for _, e := range s.told {
		if x, ok := e.(brain.AttemptEnded); ok {
			all = append(all, x)
		}
	}
	return all
}

// sendTo sends each call once to an exchange.
func sendTo(id uint32, timeout time.Duration) func(brain.Event) []brain.Action {
	return func(e brain.Event) []brain.Action {
		switch e := e.(type) {
		case brain.Call:
			return []brain.Action{brain.StartAttempt{CallID: e.ID, ExchangeID: id, Timeout: timeout}}
		case brain.CallAbandoned:
			return []brain.Action{brain.CancelAttempt{CallID: e.CallID}}
		case brain.AttemptEnded:
			if !e.Final {
				return []brain.Action{brain.RefuseCall{CallID: e.CallID}}
			}
		}
		return nil
	}
}

// rig is a core with its peers played by the test.
type rig struct {
	t   fataler
	c   *Controller
	now time.Duration
	out []Effect // of the last step
	tx  map[Peer]uint32
}

var testClasses = []brain.Class{{Name: "fetch", Worth: 1, Aim: time.Second, GiveUp: 9 * time.Second, Holding: 10 * time.Second, Width: 1},
	{Name: "wide", Worth: 2, Aim: time.Second, GiveUp: 9 * time.Second, Holding: 10 * time.Second, Width: 2}}

func newRig(t fataler, m policy.Module) *rig {
	r := &rig{t: t, now: time.Hour, tx: map[Peer]uint32{}}
	r.c = New(r.now, Config{Module: m, Classes: testClasses, ExchangeNumber: 0,
		MaxCalls: 50000, MaxPendingPerCaller: 10000, MaxExchanges: 1000, LinkTimeout: 300 * time.Millisecond, ShutdownGrace: 2 * time.Second,
		Liveness:     guard.Liveness{ProbeAfter: time.Second, LostAfter: 3 * time.Second},
		ReleaseRetry: guard.ReleaseRetry{Interval: time.Second, MaxRequests: 3}, FaultLimit: guard.FaultLimiter{Burst: 20, ForgiveEvery: 100 * time.Millisecond}})
	return r
}

func (r *rig) in(in Input) []Effect {
	r.out = append([]Effect(nil), r.c.Handle(r.now, in)...)
	return r.out
}

// pass lets time go by in steps as the core asks for, and returns all effects.
func (r *rig) pass(d time.Duration) []Effect {
	var all []Effect
	until := r.now + d
	for {
		at, ok := r.c.NextDeadline()
		if !ok || at > until {
			break
		}
		r.now = max(at, r.now)
		all = append(all, r.in(Input{Kind: InputTimer})...)
	}
	r.now = until
	all = append(all, r.in(Input{Kind: InputTimer})...)
	r.out = all
	return all
}

func (r *rig) say(p Peer, m *signal.Message) []Effect {
	if m.Kind == signal.Request && m.ID == 0 {
		r.tx[p]++
		m.ID = r.tx[p]
	}
	return r.in(Input{Kind: InputMessage, Peer: p, Message: m})
}

func from(n uint64) Peer     { return Peer{RoleCaller, n} }
func exchangeNo(id int) Peer { return Peer{RoleExchange, uint64(id)} }
func add(name string) *signal.Message {
	return (&signal.Message{Context: signal.ContextChoose, Command: signal.Add, Termination: name}).Put("Class", "fetch").
		PutInt("Dest", 1).Put("Number", "77").PutDuration("Left", 4*time.Second)
}

// list tells the core of exchanges: number n has the id 100+n, state in, and its links come up.
func (r *rig) list(cells ...int) {
	m := &signal.Message{ID: 1, Command: signal.Notify, Termination: signal.Root}
	m.PutFlag("Complete", true)
	for _, n := range cells {
		m.Put("Exchange", entry(100+n, n, "in"))
	}
	r.in(Input{Kind: InputMessage, Peer: Peer{Role: RoleExchangeList}, Message: m})
	for _, n := range cells {
		r.in(Input{Kind: InputConnected, Peer: exchangeNo(100 + n)})
	}
}

func entry(id, cell int, state string) string {
	return fmt.Sprintf("%d cell=%d state=%s since=0 at=127.0.0.1:%d", id, cell, state, id)
}

func (r *rig) word(id, cell int, state string) []Effect {
	return r.in(Input{Kind: InputMessage, Peer: Peer{Role: RoleExchangeList}, Message: (&signal.Message{ID: 9, Command: signal.Notify, Termination: signal.Root}).
		Put("Exchange", entry(id, cell, state))})
}

// said picks the messages to a peer of a kind and command.
func said(out []Effect, p Peer, k signal.Kind, c signal.Command) (all []*signal.Message) {
	for _, e := range out {
		if e.Kind == EffectSend && e.Peer == p && e.Message.Kind == k && (e.Message.Command == c || k == signal.Pending || k == signal.ErrorMessage) {
			all = append(all, e.Message)
		}
	}
	return all
}

func did(out []Effect, d EffectKind, p Peer) bool {
	for _, e := range out {
		if e.Kind == d && e.Peer == p {
			return true
		}
	}
	return false
}

func one(t fataler, what string, all []*signal.Message) *signal.Message {
	t.Helper()
	if len(all) != 1 {
		t.Fatalf("%s: %d messages, want one", what, len(all))
	}
	return all[0]
}

// empty asks that nothing is left of calls and attempts.
func (r *rig) empty() {
	r.t.Helper()
	s := r.c.Stats()
	if s.Pending != 0 || s.Established != 0 || s.HeldAttempts != 0 || len(r.c.calls) != 0 {
		r.t.Fatalf("left over: %d open, %d standing, %d held, %d calls", s.Pending, s.Established, s.HeldAttempts, len(r.c.calls))
	}
	for _, cl := range r.c.callers {
		if len(cl.open) != 0 || len(cl.calls) != 0 {
			r.t.Fatalf("left over with a caller: %d open, %d calls", len(cl.open), len(cl.calls))
		}
	}
	for _, l := range r.c.links {
		if len(l.out) != 0 || len(l.held) != 0 || len(l.waiting) != 0 {
			r.t.Fatalf("left over on link %d: %d out, %d held, %d waiting", l.id, len(l.out), len(l.held), len(l.waiting))
		}
	}
}

func TestACallStandsAndEnds(t *testing.T) {
	m := &script{on: sendTo(101, 3*time.Second)}
	r := newRig(t, m)
	r.list(0, 1)
	out := r.say(from(1), add("a"))
	set := one(t, "set-up", said(out, exchangeNo(101), signal.Request, signal.Add))
	if set.Get("From") != "0" || set.Get("Dest") != "1" || set.Get("Width") != "1" || set.Get("Left") != "4s" || set.Get("Attempt") != "0" {
		t.Fatalf("%s", set)
	}
	r.now += 50 * time.Millisecond
	out = r.say(exchangeNo(101), set.NewReply().Put("Group", "1 9 10"))
	if ok := one(t, "answer", said(out, from(1), signal.Reply, signal.Add)); ok.Code != 0 || ok.Get("Via") != "direct" || ok.Context != set.Context {
		t.Fatalf("%s", ok)
	}
	out = r.say(from(1), &signal.Message{Command: signal.Subtract, Termination: "a"})
	one(t, "reply to the hang-up", said(out, from(1), signal.Reply, signal.Subtract))
	free := one(t, "release", said(out, exchangeNo(101), signal.Request, signal.Subtract))
	if len(m.ended()) != 0 {
		t.Fatal("the module is told before the exchange has let go")
	}
	r.say(exchangeNo(101), free.NewReply())
	if e := m.ended(); len(e) != 1 || e[0].Outcome != brain.OutcomeCompleted || !e[0].Final {
		t.Fatalf("%+v", e)
	}
	r.empty()
}

// A caller gives up, or its connection dies, while the attempt is out.
func TestCallerLeavesWhileAnAttemptIsOut(t *testing.T) {
	for _, dies := range []bool{false, true} {
		m := &script{on: sendTo(101, 3*time.Second)}
		r := newRig(t, m)
		r.list(0, 1)
		set := one(t, "set-up", said(r.say(from(1), add("a")), exchangeNo(101), signal.Request, signal.Add))
		var out []Effect
		if dies {
			out = r.in(Input{Kind: InputDisconnected, Peer: from(1)})
			if n := len(said(out, from(1), signal.Reply, signal.Add)); n != 0 {
				t.Fatalf("%d answers to nobody", n)
			}
		} else {
			out = r.say(from(1), &signal.Message{Command: signal.Subtract, Termination: "a"})
			if a := one(t, "answer", said(out, from(1), signal.Reply, signal.Add)); a.Code != signal.DoesNotExist {
				t.Fatalf("%s", a)
			}
		}
		one(t, "release", said(out, exchangeNo(101), signal.Request, signal.Subtract))
		if e := m.ended(); len(e) != 1 || e[0].Outcome != brain.OutcomeCancelled || !e[0].Final {
			t.Fatalf("%+v", e)
		}
		// the answer crosses the withdrawal: it counts as late and moves nothing
		if out = r.say(exchangeNo(101), set.NewReply()); len(out) != 0 || r.c.Stats().LateReplies != 1 {
			t.Fatalf("%+v", out)
		}
		// the release is asked for again until it is answered
		free := one(t, "repeat", said(r.pass(1100*time.Millisecond), exchangeNo(101), signal.Request, signal.Subtract))
		r.say(exchangeNo(101), free.NewReply())
		r.empty()
		for _, e := range r.pass(10 * time.Second) {
			if e.Kind == EffectSend && e.Message.Command == signal.Add {
				t.Fatalf("sent after the end: %s", e.Message)
			}
		}
	}
}

func TestReleasesThatAreNeverAnsweredCloseTheLink(t *testing.T) {
	r := newRig(t, &script{on: sendTo(101, time.Second)})
	r.list(0, 1)
	r.say(from(1), add("a"))
	closed := false
	for range 100 {
		r.in(Input{Kind: InputMessage, Peer: exchangeNo(101), Message: &signal.Message{Kind: signal.Pending, ID: 99}}) // it lives
		closed = closed || did(r.pass(200*time.Millisecond), EffectClose, exchangeNo(101))
	}
	if !closed {
		t.Fatal("never closed")
	}
	r.in(Input{Kind: InputDisconnected, Peer: exchangeNo(101)})
	r.empty()
}

// A drain notice in the middle of set-ups, and one in the very step of a Send.
func TestDrainNotice(t *testing.T) {
	m := &script{on: sendTo(101, 3*time.Second)}
	r := newRig(t, m)
	r.list(0, 1)
	sent := one(t, "set-up", said(r.say(from(1), add("out")), exchangeNo(101), signal.Request, signal.Add))
	r.in(Input{Kind: InputDisconnected, Peer: exchangeNo(101)}) // the first is reset; its link is gone
	r.say(from(1), add("waits"))                                // waits for the link
	if len(r.c.links[101].waiting) != 1 {
		t.Fatal("does not wait for its link")
	}
	out := r.word(101, 1, "draining")
	if !did(out, EffectBlock, exchangeNo(101)) {
		t.Fatal("no fence")
	}
	if a := one(t, "answer", said(out, from(1), signal.Reply, signal.Add)); a.Code != signal.InsufficientResources {
		t.Fatalf("%s", a)
	}
	r.in(Input{Kind: InputConnected, Peer: exchangeNo(101)})
	// the module sends in the same instant all the same: nothing leaves
	if n := len(said(r.say(from(1), add("late")), exchangeNo(101), signal.Request, signal.Add)); n != 0 {
		t.Fatalf("%d set-ups to a draining exchange", n)
	}
	if n := len(said(r.pass(5*time.Second), exchangeNo(101), signal.Request, signal.Add)); n != 0 {
		t.Fatalf("%d set-ups to a draining exchange", n)
	}
	var outcomes []brain.Outcome
	for _, e := range m.ended() {
		outcomes = append(outcomes, e.Outcome)
	}
	if fmt.Sprint(outcomes) != fmt.Sprint([]brain.Outcome{brain.OutcomeReset, brain.OutcomeUnreachable, brain.OutcomeUnreachable}) {
		t.Fatalf("%v (%s)", outcomes, sent.Termination)
	}
	// back in service: the fence is lifted and set-ups leave
	if !did(r.word(101, 1, "in"), EffectUnblock, exchangeNo(101)) {
		t.Fatal("the fence stays")
	}
	one(t, "set-up", said(r.say(from(1), add("b")), exchangeNo(101), signal.Request, signal.Add))
}

func TestSetUpsInTheQueueWhenTheFenceShuts(t *testing.T) {
	m := &script{on: sendTo(101, 3*time.Second)}
	r := newRig(t, m)
	r.list(0, 1)
	set := one(t, "set-up", said(r.say(from(1), add("a")), exchangeNo(101), signal.Request, signal.Add))
	r.word(101, 1, "draining")
	out := r.in(Input{Kind: InputUnsent, Peer: exchangeNo(101), Message: set})
	if e := m.ended(); len(e) != 1 || e[0].Outcome != brain.OutcomeUnreachable {
		t.Fatalf("%+v", e)
	}
	one(t, "answer", said(out, from(1), signal.Reply, signal.Add))
	r.empty()
}

// Answers after the time-out, twice, to nothing; transaction ids used again.
func TestAnswersAndIDsThatComeAgain(t *testing.T) {
	m := &script{on: sendTo(101, time.Second)}
	r := newRig(t, m)
	r.list(0, 1)
	set := one(t, "set-up", said(r.say(from(1), add("a")), exchangeNo(101), signal.Request, signal.Add))
	again := add("b")
	again.ID = r.tx[from(1)]
	out := r.in(Input{Kind: InputMessage, Peer: from(1), Message: again})
	if p := said(out, from(1), signal.Pending, ""); len(p) != 1 || len(out) != 1 {
		t.Fatalf("an open id again: %+v", out)
	}
	out = r.pass(1100 * time.Millisecond)
	one(t, "answer", said(out, from(1), signal.Reply, signal.Add))
	for range 2 {
		if out = r.say(exchangeNo(101), set.NewReply()); len(out) != 0 {
			t.Fatalf("a late answer moves %+v", out)
		}
	}
	if e := m.ended(); len(e) != 1 || e[0].Outcome != brain.OutcomeTimedOut {
		t.Fatalf("%+v", e)
	}
	out = r.in(Input{Kind: InputMessage, Peer: from(1), Message: again})
	if f := said(out, from(1), signal.ErrorMessage, ""); len(f) != 1 || f[0].Code != signal.BadIdentifier || len(out) != 1 {
		t.Fatalf("a closed id again: %+v", out)
	}
	if s := r.c.Stats(); s.LateReplies != 2 || s.DuplicateIDs != 2 || s.Accepted != 1 {
		t.Fatalf("%+v", s)
	}
	if out = r.say(from(1), &signal.Message{Command: signal.Subtract, Termination: "nobody"}); one(t, "reply", said(out, from(1), signal.Reply, signal.Subtract)).Code != signal.UnknownTermination {
		t.Fatalf("%+v", out)
	}
}

// A link breaks with 500 set-ups out, of which 200 had not left.
func TestLinkBreaksWithManyOut(t *testing.T) {
	m := &script{on: sendTo(101, 3*time.Second)}
	r := newRig(t, m)
	r.list(0, 1)
	var sets []*signal.Message
	for n := range 500 {
		sets = append(sets, one(t, "set-up", said(r.say(from(1), add(fmt.Sprint("c", n))), exchangeNo(101), signal.Request, signal.Add)))
	}
	answers := 0
	for _, s := range sets[300:] {
		answers += len(said(r.in(Input{Kind: InputUnsent, Peer: exchangeNo(101), Message: s}), from(1), signal.Reply, signal.Add))
	}
	answers += len(said(r.in(Input{Kind: InputDisconnected, Peer: exchangeNo(101)}), from(1), signal.Reply, signal.Add))
	answers += len(said(r.in(Input{Kind: InputDisconnected, Peer: exchangeNo(101)}), from(1), signal.Reply, signal.Add))
	count, seen := map[brain.Outcome]int{}, map[string]bool{}
	for _, e := range m.ended() {
		if seen[e.CallID] {
			t.Fatalf("call %s is told twice", e.CallID)
		}
		seen[e.CallID] = true
		count[e.Outcome]++
	}
	if count[brain.OutcomeReset] != 300 || count[brain.OutcomeUnreachable] != 200 || answers != 500 {
		t.Fatalf("%v, %d answers", count, answers)
	}
	r.empty()
}

// A call in transit whose source hangs up while the tandem's attempt is out.
func TestSourceOfTransitHangsUp(t *testing.T) {
	m := &script{on: sendTo(101, 3*time.Second)}
	r := newRig(t, m)
	r.list(0, 1)
	out := r.say(from(7), add("c3-1/3.0").Put("Source", "3"))
	if e, ok := m.told[len(m.told)-1].(brain.Call); !ok || !e.Transit || e.Via != 3 {
		t.Fatalf("%+v", m.told)
	}
	one(t, "set-up", said(out, exchangeNo(101), signal.Request, signal.Add))
	out = r.say(from(7), &signal.Message{Command: signal.Subtract, Termination: "c3-1/3.0"})
	free := one(t, "release", said(out, exchangeNo(101), signal.Request, signal.Subtract))
	r.say(exchangeNo(101), free.NewReply())
	r.empty()
}

func TestFloodOfMalformedCommands(t *testing.T) {
	r := newRig(t, &script{})
	r.list(0, 1)
	closed := 0
	for n := range 100 {
		out := r.in(Input{Kind: InputMalformed, Peer: from(5), SyntaxError: signal.SyntaxError{ID: uint32(n), Code: signal.UnknownCommand, Reason: "no command"}})
		switch {
		case did(out, EffectClose, from(5)):
			closed++
		case n > 0 && one(t, "error", said(out, from(5), signal.Reply, signal.Add)).ID != uint32(n):
			t.Fatalf("%+v", out)
		}
	}
	if closed < 70 {
		t.Fatalf("closed %d times", closed)
	}
	// others are heard all the while
	if r.say(from(6), &signal.Message{Command: signal.AuditValue, Termination: signal.Root}); len(r.out) != 1 {
		t.Fatalf("%+v", r.out)
	}
}

// What own callers offer is measured and told: redials by their number, calls in
// transit not at all; without a measurement it says so.
func TestTrafficIsTold(t *testing.T) {
	r := newRig(t, &script{on: sendTo(101, 3*time.Second)})
	ask := &signal.Message{Command: signal.AuditValue, Termination: trafficTerm}
	if a := one(t, "answer", said(r.say(from(1), ask), from(1), signal.Reply, signal.AuditValue)); a.Code != signal.BadValue {
		t.Fatalf("%s", a)
	}
	r.c.cfg.TrafficMeter = measure.NewLive(r.now, 10*time.Minute, 9*time.Second)
	r.list(0, 1)
	for i := range 61 { // a call each 10 s that stands for 5: half an erlang
		m := add(fmt.Sprint("c", i))
		m.Descriptors[2].Value = fmt.Sprint(1000 + i)
		set := one(t, "set-up", said(r.say(from(1), m), exchangeNo(101), signal.Request, signal.Add))
		r.say(exchangeNo(101), set.NewReply())
		r.pass(5 * time.Second)
		sub := one(t, "release", said(r.say(from(1), &signal.Message{Command: signal.Subtract, Termination: m.Termination}), exchangeNo(101), signal.Request, signal.Subtract))
		r.say(exchangeNo(101), sub.NewReply())
		r.pass(5 * time.Second)
		for _, e := range r.out { // signs of life keep the links up
			if e.Kind == EffectSend && e.Message.Command == signal.AuditValue && e.Message.Kind == signal.Request {
				r.say(e.Peer, e.Message.NewReply())
			}
		}
	}
	a := one(t, "answer", said(r.say(from(1), &signal.Message{Command: signal.AuditValue, Termination: trafficTerm}), from(1), signal.Reply, signal.AuditValue))
	var dest, tries, first, lost int
	var class string
	var erlang, low, high float64
	if _, err := fmt.Sscanf(a.Get("Offered"), "%d %s tries=%d first=%d lost=%d erlang=%f %f %f", &dest, &class, &tries, &first, &lost, &erlang, &low, &high); err != nil {
		t.Fatalf("%s: %v", a, err)
	}
	if dest != 1 || class != "fetch" || tries != 60 && tries != 61 || first != tries || lost != 0 || erlang < 0.47 || erlang > 0.53 || low > 0.5 || high < 0.5 {
		t.Errorf("%s", a)
	}
}

func TestTenThousandOpenTransactions(t *testing.T) {
	r := newRig(t, &script{})
	r.list(0, 1)
	for n := range 10000 {
		r.say(from(1), add(fmt.Sprint("c", n)))
	}
	if a := one(t, "refusal", said(r.say(from(1), add("more")), from(1), signal.Reply, signal.Add)); a.Code != signal.TooManyPending || a.Get("Taken") != "no" {
		t.Fatalf("%s", a)
	}
	if s := r.c.Stats(); s.Accepted != 10000 || s.AddsRejected != 1 {
		t.Fatalf("%+v", s)
	}
	if out := r.say(from(2), add("other")); len(said(out, from(2), signal.Reply, signal.Add)) != 0 {
		t.Fatal("another caller is refused too")
	}
}

func TestBadAddsAreNotTaken(t *testing.T) {
	m := &script{}
	r := newRig(t, m)
	cases := map[string]*signal.Message{
		"Class":  {Command: signal.Add, Termination: "a", Descriptors: []signal.Field{{Name: "Class", Value: "none"}, {Name: "Dest", Value: "1"}, {Name: "Left", Value: "1s"}}},
		"Left":   {Command: signal.Add, Termination: "a", Descriptors: []signal.Field{{Name: "Class", Value: "fetch"}, {Name: "Dest", Value: "1"}}},
		"Dest":   {Command: signal.Add, Termination: "a", Descriptors: []signal.Field{{Name: "Class", Value: "fetch"}, {Name: "Dest", Value: "-1"}, {Name: "Left", Value: "1s"}}},
		"Width":  add("a").Put("Width", "0"),
		"Number": {Command: signal.Add, Termination: "a", Descriptors: []signal.Field{{Name: "Class", Value: "fetch"}, {Name: "Dest", Value: "1"}, {Name: "Left", Value: "1s"}, {Name: "Number", Value: "x"}}},
		"Source": add("a").Put("Source", "x"),
	}
	for place, a := range cases {
		out := r.say(from(1), a)
		if e := one(t, place, said(out, from(1), signal.Reply, signal.Add)); e.Code == 0 || !strings.Contains(e.Text, place) || e.Get("Taken") != "no" {
			t.Errorf("%s: %s", place, e)
		}
	}
	if len(m.told) != 0 {
		t.Fatalf("the module was told %v", m.told)
	}
}

// The list is away at the start, comes, goes, and comes back with other ids.
func TestListComesAndGoes(t *testing.T) {
	m := &script{on: sendTo(101, 3*time.Second)}
	r := newRig(t, m)
	out := r.say(from(1), add("early")) // nothing is known yet
	one(t, "answer", said(out, from(1), signal.Reply, signal.Add))
	r.list(0, 1)
	set := one(t, "set-up", said(r.say(from(1), add("a")), exchangeNo(101), signal.Request, signal.Add))
	r.in(Input{Kind: InputDisconnected, Peer: Peer{Role: RoleExchangeList}})
	r.say(exchangeNo(101), set.NewReply()) // the last list stays in force
	r.in(Input{Kind: InputConnected, Peer: Peer{Role: RoleExchangeList}})
	w := (&signal.Message{ID: 1, Command: signal.Notify, Termination: signal.Root}).Put("Complete", "yes").
		Put("Exchange", entry(200, 0, "in")).Put("Exchange", entry(201, 1, "in"))
	out = r.in(Input{Kind: InputMessage, Peer: Peer{Role: RoleExchangeList}, Message: w})
	if !did(out, EffectConnect, exchangeNo(201)) || !did(out, EffectBlock, exchangeNo(101)) || did(out, EffectDisconnect, exchangeNo(101)) {
		t.Fatalf("%+v", out)
	}
	// the call that stands at the old one ends there; then its link is dropped
	out = r.say(from(1), &signal.Message{Command: signal.Subtract, Termination: "a"})
	out = r.say(exchangeNo(101), one(t, "release", said(out, exchangeNo(101), signal.Request, signal.Subtract)).NewReply())
	if !did(out, EffectDisconnect, exchangeNo(101)) || r.c.links[101] != nil {
		t.Fatal("the old link is kept")
	}
	bad := (&signal.Message{ID: 2, Command: signal.Notify, Termination: signal.Root}).Put("Exchange", "7 cell=x")
	if a := one(t, "error", said(r.in(Input{Kind: InputMessage, Peer: Peer{Role: RoleExchangeList}, Message: bad}), Peer{Role: RoleExchangeList}, signal.Reply, signal.Notify)); a.Code != signal.BadValue {
		t.Fatalf("%s", a)
	}
}

func TestHalfOpenPeerIsFoundAndCut(t *testing.T) {
	r := newRig(t, &script{on: sendTo(101, 9*time.Second)})
	r.list(0, 1)
	r.say(from(1), add("a"))
	out := r.pass(3500 * time.Millisecond)
	if n := len(said(out, exchangeNo(101), signal.Request, signal.AuditValue)); n < 1 || n > 3 {
		t.Fatalf("%d signs of life asked for", n)
	}
	if !did(out, EffectClose, exchangeNo(101)) {
		t.Fatal("the silent link stays")
	}
}

func TestLeaveAnswersAndEnds(t *testing.T) {
	m := &script{on: sendTo(101, 3*time.Second)}
	r := newRig(t, m)
	r.list(0, 1)
	set := one(t, "set-up", said(r.say(from(1), add("stands")), exchangeNo(101), signal.Request, signal.Add))
	r.say(exchangeNo(101), set.NewReply())
	out := one(t, "set-up", said(r.say(from(1), add("out")), exchangeNo(101), signal.Request, signal.Add))
	r.in(Input{Kind: InputShutdown})
	if a := one(t, "refusal", said(r.say(from(1), add("new")), from(1), signal.Reply, signal.Add)); a.Code != signal.NotReady || a.Get("Taken") != "no" {
		t.Fatalf("%s", a)
	}
	r.say(exchangeNo(101), out.NewErrorReply(signal.InsufficientResources, "").Put("Note", "processor-full"))
	all := r.pass(2100 * time.Millisecond)
	n := one(t, "notice", said(all, from(1), signal.Request, signal.Notify))
	if n.Get("Event") != "cut" {
		t.Fatalf("%s", n)
	}
	free := one(t, "release", said(all, exchangeNo(101), signal.Request, signal.Subtract))
	if !did(r.say(exchangeNo(101), free.NewReply()), EffectStopped, Peer{}) {
		t.Fatal("does not leave")
	}
	r.empty()
}

// fataler is a test, or a check of one property.
type fataler interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// A call that is answered by its exchange only after those that stood were cut
// is cut as well, and does not keep the controller.
func TestCallThatStandsLateDoesNotKeepALeavingController(t *testing.T) {
	r := newRig(t, &script{on: sendTo(101, 9*time.Second)})
	r.list(0, 1)
	set := one(t, "set-up", said(r.say(from(1), add("late")), exchangeNo(101), signal.Request, signal.Add))
	r.in(Input{Kind: InputShutdown})
	r.pass(2500 * time.Millisecond)
	r.say(exchangeNo(101), set.NewReply())
	out := r.pass(300 * time.Millisecond)
	one(t, "notice", said(out, from(1), signal.Request, signal.Notify))
	free := one(t, "release", said(out, exchangeNo(101), signal.Request, signal.Subtract))
	if !did(r.say(exchangeNo(101), free.NewReply()), EffectStopped, Peer{}) {
		t.Fatal("does not leave")
	}
	r.empty()
}

func TestModuleThatSendsTwiceIsNotObeyed(t *testing.T) {
	m := &script{on: func(e brain.Event) []brain.Action {
		if e, ok := e.(brain.Call); ok {
			s := brain.StartAttempt{CallID: e.ID, ExchangeID: 101, Timeout: time.Second}
			return []brain.Action{s, s}
		}
		return nil
	}}
	r := newRig(t, m)
	r.list(0, 1)
	one(t, "set-up", said(r.say(from(1), add("a")), exchangeNo(101), signal.Request, signal.Add))
	if len(m.ended()) != 0 {
		t.Fatalf("the attempt that is out is told as over: %+v", m.ended())
	}
}

// The module gives up while its attempt is out: one answer, and the attempt is withdrawn.
func TestGiveUpWithdrawsWhatIsOut(t *testing.T) {
	m := &script{on: func(e brain.Event) []brain.Action {
		switch e := e.(type) {
		case brain.Call:
			return []brain.Action{brain.StartAttempt{CallID: e.ID, ExchangeID: 101, Timeout: 3 * time.Second}, brain.SetTimer{Token: 1, Delay: time.Second}}
		case brain.TimerExpired:
			return []brain.Action{brain.FailCall{CallID: "1"}}
		}
		return nil
	}}
	r := newRig(t, m)
	r.list(0, 1)
	r.say(from(1), add("a"))
	out := r.pass(1100 * time.Millisecond)
	if a := one(t, "answer", said(out, from(1), signal.Reply, signal.Add)); a.Code != signal.Unavailable {
		t.Fatalf("%s", a)
	}
	free := one(t, "release", said(out, exchangeNo(101), signal.Request, signal.Subtract))
	r.say(exchangeNo(101), free.NewReply())
	if e := m.ended(); len(e) != 1 || !e[0].Final {
		t.Fatalf("told %+v, want one end", e)
	}
	r.empty()
}

// A call that stands is over when its link breaks, and its caller hears so.
func TestBrokenLinkCutsWhatStands(t *testing.T) {
	m := &script{on: sendTo(101, 3*time.Second)}
	r := newRig(t, m)
	r.list(0, 1)
	set := one(t, "set-up", said(r.say(from(1), add("a")), exchangeNo(101), signal.Request, signal.Add))
	r.say(exchangeNo(101), set.NewReply())
	out := r.in(Input{Kind: InputDisconnected, Peer: exchangeNo(101)})
	if n := one(t, "notice", said(out, from(1), signal.Request, signal.Notify)); n.Get("Event") != "cut" || n.Termination != "a" {
		t.Fatalf("%s", n)
	}
	if e := m.ended(); len(e) != 1 || e[0].Outcome != brain.OutcomeReset || !e[0].Final {
		t.Fatalf("%+v", e)
	}
	r.empty()
}
