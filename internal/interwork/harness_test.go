package interwork

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/policy"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
	"dahliaspindle/routing"
)

// startTime is the clock time at which tests start.
const startTime = time.Hour

// scriptedModule is a routing module that responds as a test tells it and records its events.
type scriptedModule struct {
	events  []routing.Event
	respond func(e routing.Event) []routing.Action
}

func (m *scriptedModule) Handle(_ time.Duration, e routing.Event) []routing.Action {
	m.events = append(m.events, e)
	if m.respond == nil {
		return nil
	}
	return m.respond(e)
}

// endedEvents returns the ends of attempts that were reported to the module.
func (m *scriptedModule) endedEvents() (ended []routing.AttemptEnded) {
	for _, e := range m.events {
		if e, ok := e.(routing.AttemptEnded); ok {
			ended = append(ended, e)
		}
	}
	return ended
}

// testHarness is a core with the effects it requested. Its clock advances only on request.
type testHarness struct {
	t            *testing.T
	core         *Core
	module       *scriptedModule // nil with the real module
	now          time.Duration
	effects      []Effect
	pendingDials []Dial // neither completed nor failed yet
}

// testSettings are the settings of the core and of the real module.
var testSettings = routing.Settings{Self: 0, Controllers: 3, MaxAttempts: 6, ReleaseWait: 300 * time.Millisecond, Cancelling: true,
	DrainGrace: 250 * time.Millisecond, Backoff: true, BackoffMax: 2 * time.Second, Tick: 5 * time.Millisecond,
	Classes: []routing.Class{{Name: "voice", Worth: 1, Aim: time.Second, GiveUp: 4 * time.Second, Width: 1, Holding: 10 * time.Second},
		{Name: "wide", Worth: 2, Aim: time.Second, GiveUp: 4 * time.Second, Width: 2, Holding: 10 * time.Second}}}

// testEntry returns the list entry of the exchange with the given number.
func testEntry(number int) srvlist.Entry {
	return srvlist.Entry{Name: fmt.Sprintf("s-%d", number), Addr: fmt.Sprintf("10.0.0.%d:1", number), Number: number}
}

// newHarness returns a core with links to exchanges 0 to 3 and two callers' connections. If module is nil,
// the real module is used.
func newHarness(t *testing.T, module *scriptedModule) *testHarness {
	h := &testHarness{t: t, module: module, now: startTime}
	var policyModule policy.Module = module
	if module == nil {
		policyModule = routing.New(testSettings)
	}
	h.core = New(Config{
		Module:            policyModule,
		Settings:          testSettings,
		ConnectTimeout:    500 * time.Millisecond,
		EpochUnixNano:     int64(time.Hour) * 1000,
		MaxLinks:          16,
		MaxConns:          8,
		MaxPendingPerConn: 5,
		MaxPending:        100,
		MaxPendingBytes:   1 << 20,
		MaxCalls:          1000,
		MaxAdopted:        1000,
	}, startTime)
	h.handle(ExchangeListUpdate{Complete: true, Changes: []srvlist.Entry{testEntry(0), testEntry(1), testEntry(2), testEntry(3)}})
	h.completeDials()
	for n := 1; n <= 3; n++ {
		h.handle(LinkMessage{h.firstLinkUp(n), &sip.Message{
			Method:     sip.Notify,
			CSeqMethod: sip.Notify,
			Header:     map[string][]string{"Link-State": {"idle:20;circuits:20"}},
		}})
	}
	h.handle(CallerConnected{1})
	h.handle(CallerConnected{2})
	h.effects = nil
	return h
}

// handle passes an input to the core, and records and returns the effects.
func (h *testHarness) handle(in Input) []Effect {
	effects := h.core.Handle(h.now, in)
	h.effects = append(h.effects, effects...)
	for _, e := range effects {
		if dial, ok := e.(Dial); ok {
			h.pendingDials = append(h.pendingDials, dial)
		}
	}
	return effects
}

// completeDials completes all pending dials successfully.
func (h *testHarness) completeDials() {
	for len(h.pendingDials) > 0 {
		dial := h.pendingDials[0]
		h.pendingDials = h.pendingDials[1:]
		h.handle(LinkUp{dial.Link})
	}
}

// advance moves the clock forward. Timers expire on time, dials succeed at once and pings are answered.
func (h *testHarness) advance(duration time.Duration) {
	for end := h.now + duration; ; {
		next := h.core.NextTick()
		if next > end {
			h.now = end
			return
		}
		h.now = max(next, h.now)
		h.handle(Tick{})
		h.completeDials()
		for _, link := range h.allLinks() {
			if link.pingSentAt > 0 {
				h.handle(LinkMessage{link.id, &sip.Message{Status: 200, CSeqMethod: sip.Options}})
			}
		}
	}
}

// allLinks returns the links to all exchanges, including those being dialed.
func (h *testHarness) allLinks() (links []*peerLink) {
	for _, peer := range h.core.peers {
		links = append(links, peer.links...)
	}
	return links
}

// firstLinkUp returns the first link to an exchange that is up.
func (h *testHarness) firstLinkUp(exchange int) LinkID {
	for _, link := range h.core.peersByName[fmt.Sprintf("s-%d", exchange)].links {
		if link.up {
			return link.id
		}
	}
	h.t.Fatalf("no link to exchange %d is up", exchange)
	return 0
}

// addLink establishes another link to an exchange.
func (h *testHarness) addLink(exchange int) LinkID {
	peer := h.core.peersByName[fmt.Sprintf("s-%d", exchange)]
	h.core.dialPeer(peer)
	link := peer.links[len(peer.links)-1].id
	h.handle(LinkUp{link})
	return link
}

// newSetUp returns a valid set-up of a voice call to the exchange with the number dest.
func newSetUp(id uint64, dest int) *isup.Message {
	return (&isup.Message{Type: isup.SetUp, CallID: id}).Add(isup.ParamClass, []byte("voice")).Add(isup.ParamPatience, []byte("1500")).
		Add(isup.ParamNumber, []byte("7f3a9c21e0b4d655")).Add(isup.ParamRouting, fmt.Appendf(nil, "dest:%d;width:1;via:-1", dest)).
		Add(isup.ParamDescription, []byte("9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n"))
}

// replaceParam replaces the value of a parameter and returns the message.
func replaceParam(msg *isup.Message, code byte, value string) *isup.Message {
	for i := range msg.Params {
		if msg.Params[i].Code == code {
			msg.Params[i].Value = []byte(value)
		}
	}
	return msg
}

// handleCallerMessage passes a message of a caller to the core.
func (h *testHarness) handleCallerMessage(conn ConnID, msg *isup.Message) []Effect {
	return h.handle(CallerMessage{conn, h.now, msg})
}

// callID returns the Call-ID of a call.
func callID(id uint64) string { return fmt.Sprintf("%016x", id) }

// lastSent returns the last request with the given method for a call.
func (h *testHarness) lastSent(method string, id uint64) (found SendToExchange, ok bool) {
	for _, e := range h.effects {
		if sent, matches := e.(SendToExchange); matches && sent.Msg.Method == method && sent.Msg.CallID == callID(id) {
			found, ok = sent, true
		}
	}
	return found, ok
}

// countSent returns the number of requests with the given method for a call.
func (h *testHarness) countSent(method string, id uint64) (n int) {
	for _, e := range h.effects {
		if sent, matches := e.(SendToExchange); matches && sent.Msg.Method == method && sent.Msg.CallID == callID(id) {
			n++
		}
	}
	return n
}

// sentToCaller returns the types of the messages sent on a connection for a call, separated by spaces. The
// cause of a release follows its type after a slash.
func (h *testHarness) sentToCaller(conn ConnID, id uint64) string {
	var types []string
	for _, e := range h.effects {
		if sent, matches := e.(SendToCaller); matches && sent.Conn == conn && sent.Msg.CallID == id {
			text := fmt.Sprint(sent.Msg.Type)
			if sent.Msg.Type == isup.Release {
				text += fmt.Sprint("/", sent.Msg.Cause())
			}
			types = append(types, text)
		}
	}
	return strings.Join(types, " ")
}

// connClosed reports whether the core closed a connection.
func (h *testHarness) connClosed(conn ConnID) bool {
	for _, e := range h.effects {
		if closed, matches := e.(CloseConn); matches && closed.Conn == conn {
			return true
		}
	}
	return false
}

// countWithdrawn returns the number of withdrawn set-ups of a call.
func (h *testHarness) countWithdrawn(id uint64) (n int) {
	for _, e := range h.effects {
		if withdrawal, matches := e.(WithdrawSetUp); matches && withdrawal.CallID == callID(id) {
			n++
		}
	}
	return n
}

// newResponse returns a response to the INVITE of a call. Names and values of header fields alternate in
// header.
func newResponse(id uint64, status int, header ...string) *sip.Message {
	msg := &sip.Message{
		Status:     status,
		CallID:     callID(id),
		CSeq:       1,
		CSeqMethod: sip.Invite,
		Body:       []byte("made by the exchange"),
		Header:     map[string][]string{},
	}
	for i := 0; i < len(header); i += 2 {
		msg.Header[header[i]] = []string{header[i+1]}
	}
	return msg
}

// newBye returns the BYE of a call.
func newBye(id uint64, cause byte) *sip.Message {
	return &sip.Message{
		Method:     sip.Bye,
		CallID:     callID(id),
		CSeq:       1,
		CSeqMethod: sip.Bye,
		Header:     map[string][]string{"Reason": {sip.FormatReason(cause)}},
	}
}

// establishCall sets up a call through exchange 1 and returns its link.
func (h *testHarness) establishCall(conn ConnID, id uint64) LinkID {
	h.t.Helper()
	h.handleCallerMessage(conn, newSetUp(id, 1))
	sent, ok := h.lastSent(sip.Invite, id)
	if !ok {
		h.t.Fatal("no INVITE was sent")
	}
	h.handle(LinkMessage{sent.Link, newResponse(id, 200)})
	if got := h.sentToCaller(conn, id); got != "9" {
		h.t.Fatalf("caller received %q, want an answer", got)
	}
	return sent.Link
}

// newDirectModule returns a module that makes up to maxAttempts direct attempts for each call and then
// refuses it.
func newDirectModule(maxAttempts int) *scriptedModule {
	m := &scriptedModule{}
	attempts, calls := map[string]int{}, map[string]routing.Call{}
	send := func(id string) []routing.Action {
		attempts[id]++
		return []routing.Action{routing.StartAttempt{CallID: id, ExchangeID: uint32(calls[id].Destination + 1), Timeout: time.Second}}
	}
	m.respond = func(e routing.Event) []routing.Action {
		switch e := e.(type) {
		case routing.Call:
			calls[e.ID] = e
			return send(e.ID)
		case routing.CallAbandoned:
			return []routing.Action{routing.CancelAttempt{CallID: e.CallID, Attempt: attempts[e.CallID] - 1}}
		case routing.AttemptEnded:
			if e.Final {
				return nil
			}
			if attempts[e.CallID] < maxAttempts {
				return send(e.CallID)
			}
			return []routing.Action{routing.RefuseCall{CallID: e.CallID, RetryAfter: 1500 * time.Microsecond}}
		}
		return nil
	}
	return m
}

// newHarnessWithPendingCall returns a harness with a direct module in which an attempt for call 7 of
// connection 1 is in flight to exchange 1, and its INVITE.
func newHarnessWithPendingCall(t *testing.T, maxAttempts int) (*scriptedModule, *testHarness, SendToExchange) {
	module := newDirectModule(maxAttempts)
	h := newHarness(t, module)
	h.handleCallerMessage(1, newSetUp(7, 1))
	sent, ok := h.lastSent(sip.Invite, 7)
	if !ok {
		t.Fatal("no INVITE was sent")
	}
	return module, h, sent
}
