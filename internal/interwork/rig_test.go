package interwork

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/policy"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
)

const startTime = time.Hour

// scriptedModule is a module that does what a test says and keeps what it is told.
type scriptedModule struct {
	events  []brain.Event
	respond func(e brain.Event) []brain.Action
}

func (m *scriptedModule) Handle(_ time.Duration, e brain.Event) []brain.Action {
	m.events = append(m.events, e)
	if m.respond == nil {
		return nil
	}
	return m.respond(e)
}

// endedEvents are the endedEvents of attempts that the module was told.
func (m *scriptedModule) endedEvents() (out []brain.AttemptEnded) {
	for _, e := range m.events {
		if e, ok := e.(brain.AttemptEnded); ok {
			out = append(out, e)
		}
	}
	return out
}

// testHarness is a core with what it asked for; time stands until it is moved.
type testHarness struct {
	t            *testing.T
	core         *Core
	module       *scriptedModule
	now          time.Duration
	effects      []Effect
	pendingDials []Dial // not yet up or down
}

var testSettings = brain.Settings{Self: 0, Controllers: 3, MaxAttempts: 6, ReleaseWait: 300 * time.Millisecond, Cancelling: true,
	DrainGrace: 250 * time.Millisecond, Backoff: true, BackoffMax: 2 * time.Second, Tick: 5 * time.Millisecond,
	Classes: []brain.Class{{Name: "voice", Worth: 1, Aim: time.Second, GiveUp: 4 * time.Second, Width: 1, Holding: 10 * time.Second},
		{Name: "wide", Worth: 2, Aim: time.Second, GiveUp: 4 * time.Second, Width: 2, Holding: 10 * time.Second}}}

func testEntry(n int) srvlist.Entry {
	return srvlist.Entry{Name: fmt.Sprintf("s-%d", n), Addr: fmt.Sprintf("10.0.0.%d:1", n), Number: n}
}

// newHarness has exchanges 0 to 3; the module is the script's or, with nil, the real one.
func newHarness(t *testing.T, module *scriptedModule) *testHarness {
	h := &testHarness{t: t, module: module, now: startTime}
	var policyModule policy.Module = module
	if module == nil {
		policyModule = brain.New(testSettings)
	}
	h.core = New(Config{Module: policyModule, Settings: testSettings, ConnectTimeout: 500 * time.Millisecond, EpochUnixNano: int64(time.Hour) * 1000,
		MaxLinks: 16, MaxConns: 8, MaxPendingPerConn: 5, MaxCalls: 1000}, startTime)
	h.handle(ExchangeListUpdate{Complete: true, Changes: []srvlist.Entry{testEntry(0), testEntry(1), testEntry(2), testEntry(3)}})
	h.completeDials()
	for n := 1; n <= 3; n++ {
		h.handle(LinkMessage{h.firstLinkUp(n), &sip.Message{Method: sip.Notify, CSeqMethod: sip.Notify, Header: map[string][]string{"Link-State": {"idle:20;circuits:20"}}}})
	}
	h.handle(CallerConnected{1})
	h.handle(CallerConnected{2})
	h.effects = nil
	return h
}

func (h *testHarness) handle(in Input) []Effect {
	out := h.core.Handle(h.now, in)
	h.effects = append(h.effects, out...)
	for _, e := range out {
		if dial, ok := e.(Dial); ok {
			h.pendingDials = append(h.pendingDials, dial)
		}
	}
	return out
}

// completeDials lets all connections that were asked for stand.
func (h *testHarness) completeDials() {
	for len(h.pendingDials) > 0 {
		dial := h.pendingDials[0]
		h.pendingDials = h.pendingDials[1:]
		h.handle(LinkUp{dial.Link})
	}
}

// advance moves the time, with connections standing at once, tests passing and the timers firing.
func (h *testHarness) advance(d time.Duration) {
	for until := h.now + d; ; {
		at := h.core.NextTick()
		if at > until {
			h.now = until
			return
		}
		h.now = max(at, h.now)
		h.handle(Tick{})
		h.completeDials()
		for _, link := range h.allLinks() {
			if link.pingSentAt > 0 {
				h.handle(LinkMessage{link.id, &sip.Message{Status: 200, CSeqMethod: sip.Options}})
			}
		}
	}
}

func (h *testHarness) allLinks() (links []*peerLink) {
	for _, peer := range h.core.peers {
		links = append(links, peer.links...)
	}
	return links
}

// firstLinkUp is the first that is up to an exchange.
func (h *testHarness) firstLinkUp(n int) LinkID {
	for _, link := range h.core.peersByName[fmt.Sprintf("s-%d", n)].links {
		if link.up {
			return link.id
		}
	}
	h.t.Fatalf("no link to exchange %d", n)
	return 0
}

// addLink makes a further connection to an exchange.
func (h *testHarness) addLink(n int) LinkID {
	peer := h.core.peersByName[fmt.Sprintf("s-%d", n)]
	h.core.dialPeer(peer)
	link := peer.links[len(peer.links)-1].id
	h.handle(LinkUp{link})
	return link
}

func newSetUp(id uint64, dest int) *isup.Message {
	return (&isup.Message{Type: isup.SetUp, CallID: id}).Add(isup.ParamClass, []byte("voice")).Add(isup.ParamPatience, []byte("1500")).
		Add(isup.ParamNumber, []byte("7f3a9c21e0b4d655")).Add(isup.ParamRouting, fmt.Appendf(nil, "dest:%d;width:1;via:-1", dest)).
		Add(isup.ParamDescription, []byte("9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n"))
}

// replaceParam replaces a parameter.
func replaceParam(msg *isup.Message, code byte, value string) *isup.Message {
	for i := range msg.Params {
		if msg.Params[i].Code == code {
			msg.Params[i].Value = []byte(value)
		}
	}
	return msg
}

func (h *testHarness) handleCallerMessage(conn ConnID, msg *isup.Message) []Effect {
	return h.handle(CallerMessage{conn, h.now, msg})
}

func callID(id uint64) string { return fmt.Sprintf("%016x", id) }

// lastSent finds the last message of a method for a call.
func (h *testHarness) lastSent(method string, id uint64) (found SendToExchange, ok bool) {
	for _, e := range h.effects {
		if sent, matches := e.(SendToExchange); matches && sent.Msg.Method == method && sent.Msg.CallID == callID(id) {
			found, ok = sent, true
		}
	}
	return found, ok
}

func (h *testHarness) countSent(method string, id uint64) (n int) {
	for _, e := range h.effects {
		if sent, matches := e.(SendToExchange); matches && sent.Msg.Method == method && sent.Msg.CallID == callID(id) {
			n++
		}
	}
	return n
}

// sentToCaller are the types of what a caller's connection was told of a call, with causes of releases.
func (h *testHarness) sentToCaller(conn ConnID, id uint64) string {
	var out []string
	for _, e := range h.effects {
		if sent, matches := e.(SendToCaller); matches && sent.Conn == conn && sent.Msg.CallID == id {
			text := fmt.Sprint(sent.Msg.Type)
			if sent.Msg.Type == isup.Release {
				text += fmt.Sprint("/", sent.Msg.Cause())
			}
			out = append(out, text)
		}
	}
	return strings.Join(out, " ")
}

func (h *testHarness) connClosed(conn ConnID) bool {
	for _, e := range h.effects {
		if closed, matches := e.(CloseConn); matches && closed.Conn == conn {
			return true
		}
	}
	return false
}

func (h *testHarness) countWithdrawn(id uint64) (n int) {
	for _, e := range h.effects {
		if withdrawal, matches := e.(WithdrawSetUp); matches && withdrawal.CallID == callID(id) {
			n++
		}
	}
	return n
}

func newResponse(id uint64, status int, head ...string) *sip.Message {
	msg := &sip.Message{Status: status, CallID: callID(id), CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("made by the exchange"), Header: map[string][]string{}}
	for i := 0; i < len(head); i += 2 {
		msg.Header[head[i]] = []string{head[i+1]}
	}
	return msg
}

func newBye(id uint64, cause byte) *sip.Message {
	return &sip.Message{Method: sip.Bye, CallID: callID(id), CSeq: 1, CSeqMethod: sip.Bye, Header: map[string][]string{"Reason": {sip.FormatReason(cause)}}}
}

// establishCall sets a call up over exchange 1.
func (h *testHarness) establishCall(conn ConnID, id uint64) LinkID {
	h.t.Helper()
	h.handleCallerMessage(conn, newSetUp(id, 1))
	sent, ok := h.lastSent(sip.Invite, id)
	if !ok {
		h.t.Fatal("no INVITE")
	}
	h.handle(LinkMessage{sent.Link, newResponse(id, 200)})
	if got := h.sentToCaller(conn, id); got != "9" {
		h.t.Fatalf("the caller was told %q, want an answer", got)
	}
	return sent.Link
}

// newDirectModule sends each call to the exchange of its destination, once, or as often as it says.
func newDirectModule(times int) *scriptedModule {
	m := &scriptedModule{}
	attempts, calls := map[string]int{}, map[string]brain.Call{}
	send := func(id string) []brain.Action {
		attempts[id]++
		return []brain.Action{brain.StartAttempt{CallID: id, ExchangeID: uint32(calls[id].Destination + 1), Timeout: time.Second}}
	}
	m.respond = func(e brain.Event) []brain.Action {
		switch e := e.(type) {
		case brain.Call:
			calls[e.ID] = e
			return send(e.ID)
		case brain.CallAbandoned:
			return []brain.Action{brain.CancelAttempt{CallID: e.CallID, Attempt: attempts[e.CallID] - 1}}
		case brain.AttemptEnded:
			if e.Final {
				return nil
			}
			if attempts[e.CallID] < times {
				return send(e.CallID)
			}
			return []brain.Action{brain.RefuseCall{CallID: e.CallID, RetryAfter: 1500 * time.Microsecond}}
		}
		return nil
	}
	return m
}

// newHarnessWithPendingCall is a rig with call 7 of connection 1 out to exchange 1; the module sends each call so often.
func newHarnessWithPendingCall(t *testing.T, times int) (*scriptedModule, *testHarness, SendToExchange) {
	module := newDirectModule(times)
	h := newHarness(t, module)
	h.handleCallerMessage(1, newSetUp(7, 1))
	sent, ok := h.lastSent(sip.Invite, 7)
	if !ok {
		t.Fatal("no INVITE")
	}
	return module, h, sent
}
