package interwork

import (
	"testing"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
	"dahliaspindle/routing"
)

func TestCallIsEstablishedAndReleased(t *testing.T) {
	module := newDirectModule(1)
	h := newHarness(t, module)
	link := h.establishCall(1, 7)
	sent, _ := h.lastSent(sip.Invite, 7)
	if sent.Msg.URI != "sip:7f3a9c21e0b4d655@net" || string(sent.Msg.Body) != "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n" ||
		sent.Deadline != startTime+time.Second {
		t.Errorf("unexpected INVITE %+v", sent)
	}
	if h.countSent(sip.Ack, 7) != 1 {
		t.Error("200 was not acknowledged")
	}
	h.handle(LinkMessage{link, newResponse(7, 200)}) // duplicate
	if h.countSent(sip.Bye, 7) != 0 {
		t.Error("duplicate 200 released the call")
	}
	otherLink := h.addLink(1)
	h.handle(LinkMessage{otherLink, newBye(7, 16)})
	h.handle(LinkMessage{link, newBye(7, 16)})
	if got := h.sentToCaller(1, 7); got != "9 12/16" {
		t.Errorf("caller received %q", got)
	}
	if ended := module.endedEvents(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeCompleted || !ended[0].Final {
		t.Errorf("module received %+v", ended)
	}
}

func TestFailureResponsesAreReportedToModule(t *testing.T) {
	for _, test := range []struct {
		status int
		header []string
		want   routing.AttemptEnded
	}{
		{503, []string{"Fail-Word", "rtb"}, routing.AttemptEnded{Outcome: routing.OutcomeRejected, Note: routing.NoteCrankback}},
		{503, []string{"Fail-Word", "racc"}, routing.AttemptEnded{Outcome: routing.OutcomeRejected, Note: routing.NoteOnwardProcessorFull}},
		{503, []string{"Fail-Word", "acc", "Proc-Wait", "120"},
			routing.AttemptEnded{Outcome: routing.OutcomeRejected, Note: routing.NoteProcessorFull, RetryAfter: 120 * time.Millisecond}},
		{480, []string{"Fail-Word", "atb"}, routing.AttemptEnded{Outcome: routing.OutcomeNotSent, Note: routing.NoteNoCircuit}},
		{480, []string{"Fail-Word", "acc"}, routing.AttemptEnded{Outcome: routing.OutcomeNotSent, Note: routing.NoteProcessorFull}},
		{486, []string{"Fail-Word", "sub"}, routing.AttemptEnded{Outcome: routing.OutcomeFailed, Note: routing.NoteLinesBusy}},
		{500, nil, routing.AttemptEnded{Outcome: routing.OutcomeFailed}},
		{504, nil, routing.AttemptEnded{Outcome: routing.OutcomeReset}},
	} {
		module, h, sent := newHarnessWithPendingCall(t, 1)
		h.handle(LinkMessage{sent.Link, newResponse(7, test.status, test.header...)})
		ended := module.endedEvents()
		if len(ended) != 1 || ended[0].Outcome != test.want.Outcome || ended[0].Note != test.want.Note ||
			ended[0].RetryAfter != test.want.RetryAfter || ended[0].Final {
			t.Errorf("%d %v: module received %+v", test.status, test.header, ended)
		}
		if h.countSent(sip.Ack, 7) != 1 {
			t.Errorf("status %d: not acknowledged", test.status)
		}
		if got := h.sentToCaller(1, 7); got != "12/42" {
			t.Errorf("%d: caller received %q", test.status, got)
		}
	}
}

func TestRefusalRoundsBackoffUpToMilliseconds(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.handleCallerMessage(1, newSetUp(7, 1))
	sent, _ := h.lastSent(sip.Invite, 7)
	h.handle(LinkMessage{sent.Link, newResponse(7, 503)})
	for _, e := range h.effects {
		if e, ok := e.(SendToCaller); ok {
			if value, _ := e.Msg.Get(isup.ParamRetryAfter); string(value) != "2" {
				t.Errorf("retry after %q, want 2", value)
			}
		}
	}
}

// Exchanges answer with CSeq 1 whatever the INVITE carried. When attempts had CSeq numbers of their own,
// the answers to a second attempt were taken for late answers to the first.
func TestSecondAttemptIsAnswered(t *testing.T) {
	_, h, first := newHarnessWithPendingCall(t, 2)
	h.handle(LinkMessage{first.Link, newResponse(7, 480, "Fail-Word", "atb")})
	second, _ := h.lastSent(sip.Invite, 7)
	if h.countSent(sip.Invite, 7) != 2 || second.Msg.CSeq != 1 {
		t.Fatalf("%d attempts, CSeq %d", h.countSent(sip.Invite, 7), second.Msg.CSeq)
	}
	h.handle(LinkMessage{second.Link, newResponse(7, 200)})
	if got := h.sentToCaller(1, 7); got != "9" {
		t.Errorf("caller received %q", got)
	}
}

func TestLateAnswerIsReleasedAndSecondAttemptSucceeds(t *testing.T) {
	module, h, first := newHarnessWithPendingCall(t, 2)
	h.advance(time.Second)
	if ended := module.endedEvents(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeTimedOut {
		t.Fatalf("ended attempts %+v", ended)
	}
	second, _ := h.lastSent(sip.Invite, 7)
	if h.countWithdrawn(7) != 1 || second.Link == first.Link {
		t.Fatalf("%d attempts withdrawn, links %d and %d", h.countWithdrawn(7), first.Link, second.Link)
	}
	h.handle(LinkMessage{first.Link, newResponse(7, 200)})
	if h.sentToCaller(1, 7) != "" || h.countSent(sip.Ack, 7) != 1 || h.countSent(sip.Bye, 7) != 1 {
		t.Errorf("after a late answer: caller received %q, %d ACK, %d BYE",
			h.sentToCaller(1, 7), h.countSent(sip.Ack, 7), h.countSent(sip.Bye, 7))
	}
	h.handle(LinkMessage{second.Link, newResponse(7, 200)})
	if got := h.sentToCaller(1, 7); got != "9" {
		t.Errorf("caller received %q", got)
	}
}

func TestAbandonedSetUpIsCancelledAndNotAnswered(t *testing.T) {
	module, h, sent := newHarnessWithPendingCall(t, 1)
	h.handleCallerMessage(1, newRelease(7, 16))
	h.handle(LinkMessage{sent.Link, newResponse(7, 200)})
	if h.sentToCaller(1, 7) != "" || h.countWithdrawn(7) != 1 || h.countSent(sip.Ack, 7) != 1 || h.countSent(sip.Bye, 7) != 1 {
		t.Errorf("caller received %q, %d withdrawn, %d ACK, %d BYE",
			h.sentToCaller(1, 7), h.countWithdrawn(7), h.countSent(sip.Ack, 7), h.countSent(sip.Bye, 7))
	}
	if ended := module.endedEvents(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeCancelled || !ended[0].Final {
		t.Errorf("module received %+v", ended)
	}
	h.handleCallerMessage(2, newSetUp(8, 1))
	h.handle(CallerDisconnected{2})
	if h.countWithdrawn(8) != 1 || h.core.pending != 0 || len(h.core.calls) != 0 || len(h.core.attempts) != 0 {
		t.Errorf("after the connection was closed: %d withdrawn, %d pending, %d calls",
			h.countWithdrawn(8), h.core.pending, len(h.core.calls))
	}
}

func TestInvalidSetUpsAreRefusedWithoutEffectOnOtherCalls(t *testing.T) {
	module := newDirectModule(1)
	h := newHarness(t, module)
	h.handleCallerMessage(1, newSetUp(7, 1))
	for _, msg := range []*isup.Message{
		replaceParam(newSetUp(100, 1), isup.ParamClass, "nobody"),
		replaceParam(newSetUp(101, 1), isup.ParamPatience, "-5"),
		replaceParam(newSetUp(102, 1), isup.ParamPatience, "NaN"),
		replaceParam(newSetUp(103, 1), isup.ParamNumber, "7f3a9c21e0b4d65"),
		replaceParam(newSetUp(104, 1), isup.ParamNumber, "7f3a9c21 HTTP/1"),
		replaceParam(newSetUp(105, 1), isup.ParamRouting, "dest:9;width:1;via:-1"),
		replaceParam(newSetUp(106, 1), isup.ParamRouting, "dest:0;width:1;via:-1"),
		replaceParam(newSetUp(107, 1), isup.ParamRouting, "dest:1;width:0;via:-1"),
		replaceParam(newSetUp(108, 1), isup.ParamRouting, "dest:1;width:3;via:-1"),
		replaceParam(newSetUp(109, 1), isup.ParamRouting, "dest:1;width:1e9;via:-1"),
		replaceParam(newSetUp(110, 1), isup.ParamRouting, "dest:1;width:1;via:-2"),
		replaceParam(newSetUp(111, 1), isup.ParamRouting, "nonsense"),
		replaceParam(newSetUp(112, 1), isup.ParamRouting, ""),
		newSetUp(113, 1).Add(isup.ParamRetry, []byte("x")),
		replaceParam(newSetUp(116, 1), isup.ParamRouting, "dest:1;width:1;via:2;transit:7"),
		{Type: isup.SetUp, CallID: 114},
		replaceParam(newSetUp(115, 1), isup.ParamDescription, string(make([]byte, sip.MaxMessageBytes-100))),
	} {
		h.handleCallerMessage(2, msg)
		if got := h.sentToCaller(2, msg.CallID); got != "12/100" {
			t.Errorf("set-up %d: caller received %q", msg.CallID, got)
		}
	}
	h.handleCallerMessage(2, newSetUp(7, 1)) // id of a pending call of another connection
	if got := h.sentToCaller(2, 7); got != "12/42" {
		t.Errorf("set-up with the id of a pending call: caller received %q", got)
	}
	h.handleCallerMessage(2, newSetUp(9, 2))
	h.handleCallerMessage(2, newSetUp(9, 1)) // id of a pending call of the same connection
	if !h.connClosed(2) || h.sentToCaller(2, 9) != "" || h.countWithdrawn(9) != 1 {
		t.Errorf("two set-ups with the same id: connection closed %v, caller received %q", h.connClosed(2), h.sentToCaller(2, 9))
	}
	sent, _ := h.lastSent(sip.Invite, 7)
	h.handle(LinkMessage{sent.Link, newResponse(7, 200)})
	if got := h.sentToCaller(1, 7); got != "9" {
		t.Errorf("first call: caller received %q", got)
	}
}

// A call to an exchange that has left the list is passed to the module, where it waits and is refused with
// a backoff. Only a number that no exchange ever had is invalid.
func TestCallToExchangeOffTheListIsPassedToModule(t *testing.T) {
	h := newHarness(t, nil)
	removed := testEntry(3)
	removed.State = routing.OutOfService
	h.handle(ExchangeListUpdate{Changes: []srvlist.Entry{removed}})
	h.handleCallerMessage(1, newSetUp(7, 3))
	h.handleCallerMessage(1, newSetUp(8, 99))
	if h.sentToCaller(1, 7) != "" || h.sentToCaller(1, 8) != "12/100" {
		t.Fatalf("callers received %q and %q", h.sentToCaller(1, 7), h.sentToCaller(1, 8))
	}
	h.advance(1100 * time.Millisecond)
	if h.sentToCaller(1, 7) != "12/42" || h.core.Stats.Invalid != 1 {
		t.Errorf("caller received %q, %d invalid set-ups", h.sentToCaller(1, 7), h.core.Stats.Invalid)
	}
}

// A new call that was read from a connection before it was closed is refused. The set-up of an established
// call expects no answer and gets none.
func TestSetUpReadBeforeCloseIsRefused(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.handle(CallerDisconnected{1})
	h.handleCallerMessage(1, newSetUp(7, 1))
	adoption := newSetUp(8, 1)
	for i := range adoption.Params {
		if adoption.Params[i].Code == isup.ParamRouting {
			adoption.Params[i].Value = []byte("dest:1;width:1;via:-1;at:s-1")
		}
	}
	h.handleCallerMessage(1, adoption)
	if h.sentToCaller(1, 7) != "12/42" || h.sentToCaller(1, 8) != "" {
		t.Errorf("callers received %q and %q", h.sentToCaller(1, 7), h.sentToCaller(1, 8))
	}
}

func TestEstablishedCallOutlivesItsConnections(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	link := h.establishCall(1, 7)
	h.handle(LinkDown{Link: link})
	h.handle(CallerDisconnected{1})
	h.advance(time.Second)
	if h.countSent(sip.Bye, 7) != 0 || len(h.core.calls) != 1 {
		t.Fatal("call was released when its connections closed")
	}
	h.handleCallerMessage(2, replaceParam(newSetUp(7, 1), isup.ParamRouting, "dest:1;width:1;via:-1;at:s-1"))
	h.handle(LinkMessage{h.firstLinkUp(1), newBye(7, 16)})
	if got := h.sentToCaller(2, 7); got != "12/16" {
		t.Errorf("caller received %q", got)
	}
}

func TestCallerReleasesCallOnAnyConnection(t *testing.T) {
	module := newDirectModule(1)
	h := newHarness(t, module)
	h.establishCall(1, 7)
	h.handleCallerMessage(2, newRelease(7, 16))
	if h.countSent(sip.Bye, 7) != 1 || h.sentToCaller(2, 7) != "16" || len(module.endedEvents()) != 1 {
		t.Errorf("%d BYE, caller received %q, %d ended attempts", h.countSent(sip.Bye, 7), h.sentToCaller(2, 7), len(module.endedEvents()))
	}
}

func TestLostLinkResetsAttemptAndFailedDialIsUnreachable(t *testing.T) {
	module, h, sent := newHarnessWithPendingCall(t, 1)
	h.addLink(1)
	h.handle(LinkDown{Link: sent.Link})
	if ended := module.endedEvents(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeReset {
		t.Fatalf("ended attempts %+v", ended)
	}
	if h.countSent(sip.Bye, 7) != 1 {
		t.Error("no BYE was sent for the call, which may be established")
	}
	for _, link := range h.allLinks() {
		if link.peer.Name == "s-2" {
			h.handle(LinkDown{Link: link.id})
		}
	}
	h.handleCallerMessage(1, newSetUp(8, 2))
	for _, dial := range h.pendingDials {
		h.handle(LinkDown{Link: dial.Link, Refused: true})
	}
	h.pendingDials = nil
	if ended := module.endedEvents(); len(ended) != 2 || ended[1].Outcome != routing.OutcomeUnreachable || h.countSent(sip.Invite, 8) != 0 {
		t.Errorf("ended attempts %+v", ended)
	}
}

func TestCallsEndWhenTheirExchangeIsGone(t *testing.T) {
	for name, trigger := range map[string]func(h *testHarness){
		"removed from the list": func(h *testHarness) {
			entry := testEntry(1)
			entry.State = routing.OutOfService
			h.handle(ExchangeListUpdate{Changes: []srvlist.Entry{entry}})
		},
		"restarted": func(h *testHarness) {
			entry := testEntry(1)
			entry.StartUnixMilli = int64((time.Hour*1000 + h.now + 1) / time.Millisecond)
			h.handle(ExchangeListUpdate{Changes: []srvlist.Entry{entry}})
		},
		"refuses connections": func(h *testHarness) {
			for _, link := range h.allLinks() {
				if link.peer.Name == "s-1" {
					h.handle(LinkDown{Link: link.id})
				}
			}
			for range 40 {
				h.now += 50 * time.Millisecond
				h.handle(Tick{})
				for _, dial := range h.pendingDials {
					h.handle(LinkDown{Link: dial.Link, Refused: true})
				}
				h.pendingDials = nil
			}
		},
		"unresponsive": func(h *testHarness) {
			for range 140 {
				h.now += 50 * time.Millisecond
				h.handle(Tick{})
				for _, dial := range h.pendingDials {
					if dial.Addr != testEntry(1).Addr {
						h.handle(LinkUp{dial.Link})
					}
				}
				h.pendingDials = nil
			}
		},
	} {
		module := newDirectModule(1)
		h := newHarness(t, module)
		h.establishCall(1, 7)
		h.advance(100 * time.Millisecond)
		trigger(h)
		if got := h.sentToCaller(1, 7); got != "9 12/41" {
			t.Errorf("%s: caller received %q", name, got)
		}
		if ended := module.endedEvents(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeReset || !ended[0].Final {
			t.Errorf("%s: module received %+v", name, ended)
		}
	}
}

func TestDrainingExchangeGetsNoNewSetUps(t *testing.T) {
	module := newDirectModule(1)
	h := newHarness(t, module)
	h.establishCall(1, 7)
	for _, link := range h.allLinks() {
		if link.peer.Name == "s-1" {
			h.handle(LinkDown{Link: link.id})
		}
	}
	h.handleCallerMessage(1, newSetUp(8, 1)) // waits for a link
	entry := testEntry(1)
	entry.State = routing.Draining
	h.handle(ExchangeListUpdate{Changes: []srvlist.Entry{entry}})
	if ended := module.endedEvents(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeNotSent {
		t.Errorf("ended attempts %+v", ended)
	}
	h.completeDials()
	holding := false
	for _, e := range h.effects {
		if hold, ok := e.(HoldSetUps); ok && hold.Hold {
			holding = true
		}
	}
	if !holding || h.countSent(sip.Invite, 8) != 0 || len(h.core.calls) != 1 {
		t.Errorf("set-ups held %v, %d INVITE, %d calls", holding, h.countSent(sip.Invite, 8), len(h.core.calls))
	}
}

func TestUnresponsiveLinkIsDetectedByPing(t *testing.T) {
	module := newDirectModule(1)
	h := newHarness(t, module)
	h.handleCallerMessage(1, newSetUp(7, 1))
	for range 20 {
		h.now += 50 * time.Millisecond
		h.handle(Tick{})
	}
	if ended := module.endedEvents(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeReset ||
		ended[0].Elapsed > pingDelayPending+pingTimeout+2*maintenanceInterval {
		t.Errorf("ended attempts %+v", ended)
	}
}

func TestShutdownAnswersAcceptedCalls(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.handleCallerMessage(1, newSetUp(7, 1))
	h.handle(Shutdown{})
	h.advance(500 * time.Millisecond)
	h.handleCallerMessage(2, newSetUp(8, 1)) // still accepted
	h.advance(300 * time.Millisecond)
	sent7, _ := h.lastSent(sip.Invite, 7)
	sent8, ok := h.lastSent(sip.Invite, 8)
	if !ok || h.core.shutdownDone {
		t.Fatal("a call shortly after Shutdown was not accepted, or shutdown completed before it ended")
	}
	h.handleCallerMessage(2, newSetUp(9, 1))
	if h.sentToCaller(2, 9) != "12/42" {
		t.Errorf("call after the listener was closed: caller received %q", h.sentToCaller(2, 9))
	}
	h.handle(LinkMessage{sent7.Link, newResponse(7, 200)})
	h.handle(LinkMessage{sent8.Link, newResponse(8, 200)})
	h.advance(100 * time.Millisecond)
	if h.core.shutdownDone || h.sentToCaller(1, 7) != "9" {
		t.Errorf("shutdown done %v, caller received %q", h.core.shutdownDone, h.sentToCaller(1, 7))
	}
	// The caller receives the release, then its connection has no calls and is closed.
	h.handle(LinkMessage{sent7.Link, newBye(7, isup.NormalClearing)})
	h.advance(100 * time.Millisecond)
	if h.core.shutdownDone || h.sentToCaller(1, 7) != "9 12/16" || h.core.conns[1] != nil || h.core.conns[2] == nil {
		t.Errorf("shutdown done %v, caller received %q, connections %v", h.core.shutdownDone, h.sentToCaller(1, 7), h.core.conns)
	}
	h.handle(LinkMessage{sent8.Link, newBye(8, isup.NormalClearing)})
	h.advance(100 * time.Millisecond)
	if !h.core.shutdownDone || h.countSent(sip.Bye, 7) != 0 {
		t.Errorf("shutdown done %v, %d BYE", h.core.shutdownDone, h.countSent(sip.Bye, 7))
	}
}

// Shutdown completes before the platform kills the process, whatever calls are left: pending calls get a
// final answer, and those without an attempt are refused.
func TestShutdownCompletesBeforeProcessIsKilled(t *testing.T) {
	module := newDirectModule(1)
	h := newHarness(t, module)
	h.handleCallerMessage(1, newSetUp(7, 1))
	sent7, _ := h.lastSent(sip.Invite, 7)
	h.handle(LinkMessage{sent7.Link, newResponse(7, 200)})
	h.handleCallerMessage(1, newSetUp(8, 1))
	module.respond = nil // the module leaves the next call waiting
	h.handleCallerMessage(2, newSetUp(9, 1))
	h.handle(Shutdown{})
	h.advance(3*time.Second + 300*time.Millisecond)
	if h.core.shutdownDone || h.sentToCaller(1, 8) != "" || h.sentToCaller(2, 9) != "" {
		t.Fatalf("shutdown done %v, callers received %q and %q", h.core.shutdownDone, h.sentToCaller(1, 8), h.sentToCaller(2, 9))
	}
	h.advance(200 * time.Millisecond)
	if !h.core.shutdownDone || h.sentToCaller(1, 8) != "12/41" || h.sentToCaller(2, 9) != "12/42" || h.countWithdrawn(8) != 1 ||
		h.countSent(sip.Bye, 7) != 0 {
		t.Errorf("shutdown done %v, callers received %q and %q, %d withdrawn",
			h.core.shutdownDone, h.sentToCaller(1, 8), h.sentToCaller(2, 9), h.countWithdrawn(8))
	}
}

func TestQuietConnectionsAreClosedAndOldestIsEvicted(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.establishCall(1, 7)
	h.handleCallerMessage(2, &isup.Message{Type: isup.Test, CallID: 1})
	for conn := ConnID(3); conn <= 9; conn++ {
		h.now += time.Millisecond
		h.handle(CallerConnected{conn})
	}
	if !h.connClosed(3) || h.connClosed(1) || h.connClosed(2) || h.connClosed(9) {
		t.Error("the oldest connection without a message was not the one evicted")
	}
	h.advance(3 * time.Second)
	if !h.connClosed(9) || h.connClosed(1) || h.connClosed(2) {
		t.Error("a connection without a message stayed open, or another one was closed")
	}
}

// The tables of the core must not grow with exchanges, connections and calls that are gone.
func TestTablesDoNotGrow(t *testing.T) {
	h := newHarness(t, nil)
	tableSizes := func() [7]int {
		c := h.core
		return [7]int{len(c.calls), len(c.attempts), len(c.conns), len(c.connsByAge),
			len(c.peers), len(c.peersByName), len(c.peersByID)}
	}
	h.handle(CallerDisconnected{1})
	h.handle(CallerDisconnected{2})
	h.advance(time.Minute)
	sizesBefore := tableSizes()
	id := uint64(1000)
	for n := 4; n < 1500; n++ {
		entry := testEntry(n)
		entry.Number = 4 + n%3
		h.handle(ExchangeListUpdate{Changes: []srvlist.Entry{entry}})
		h.completeDials()
		conn := ConnID(n)
		h.handle(CallerConnected{conn})
		for range 3 {
			id++
			h.handleCallerMessage(conn, newSetUp(id, 1+int(id)%3))
			if sent, ok := h.lastSent(sip.Invite, id); ok && id%3 > 0 {
				h.handle(LinkMessage{sent.Link, newResponse(id, 200)})
				h.handle(LinkMessage{sent.Link, newBye(id, 16)})
			}
		}
		h.effects = nil
		h.advance(100 * time.Millisecond)
		h.handle(CallerDisconnected{conn})
		entry.State = routing.OutOfService
		h.handle(ExchangeListUpdate{Changes: []srvlist.Entry{entry}})
	}
	h.advance(time.Minute)
	if sizesAfter := tableSizes(); sizesAfter != sizesBefore {
		t.Errorf("table sizes are %v, were %v", sizesAfter, sizesBefore)
	}
	if n := len(h.core.links); n > 4*len(h.core.peers) {
		t.Errorf("%d links are left", n)
	}
	if n := h.core.timers.Len(); n > 4 || len(h.core.recentEndings) > 0 || len(h.core.recentIDs) > 0 {
		t.Errorf("%d timers and %d call endings are left", n, len(h.core.recentEndings))
	}
}

// An answer may be delayed for longer than the call lasts, so that the BYE arrives first.
func TestCallReleasedBeforeItsAnswerArrivesIsEnded(t *testing.T) {
	module, h, sent := newHarnessWithPendingCall(t, 2)
	h.handle(LinkMessage{sent.Link, newBye(7, 16)})
	h.handle(LinkMessage{sent.Link, newResponse(7, 200)})
	if h.countSent(sip.Ack, 7) != 1 || h.countSent(sip.Bye, 7) != 0 {
		t.Errorf("late answer: %d ACK, %d BYE", h.countSent(sip.Ack, 7), h.countSent(sip.Bye, 7))
	}
	if got := h.sentToCaller(1, 7); got != "12/16" || h.countSent(sip.Invite, 7) != 1 {
		t.Errorf("caller received %q after %d attempts", got, h.countSent(sip.Invite, 7))
	}
	if ended := module.endedEvents(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeCompleted || !ended[0].Final {
		t.Errorf("module received %+v", ended)
	}
	h.handleCallerMessage(1, newSetUp(8, 1))
	sent, _ = h.lastSent(sip.Invite, 8)
	h.handle(LinkMessage{sent.Link, newBye(8, 41)}) // established and then cut
	h.advance(time.Second)
	if h.sentToCaller(1, 8) != "12/41" || h.countSent(sip.Invite, 8) != 1 {
		t.Errorf("caller received %q after %d attempts", h.sentToCaller(1, 8), h.countSent(sip.Invite, 8))
	}
	if ended := module.endedEvents(); len(ended) != 2 || ended[1].Outcome != routing.OutcomeReset || !ended[1].Final {
		t.Errorf("module received %+v", ended)
	}
	h.handle(LinkMessage{sent.Link, newResponse(8, 200)})
	if h.countSent(sip.Ack, 8) != 1 || h.countSent(sip.Bye, 8) != 0 || h.sentToCaller(1, 8) != "12/41" {
		t.Errorf("late answer: %d ACK, %d BYE, caller received %q",
			h.countSent(sip.Ack, 8), h.countSent(sip.Bye, 8), h.sentToCaller(1, 8))
	}
}

// Guards against a caller in use that is disconnected as idle, because all its set-ups are refused before they
// reach the core.
func TestConnectionWithShedSetUpsIsNotIdle(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.handle(CallerConnected{3})
	for range 20 {
		h.handle(SetUpShed{3})
		h.advance(time.Second)
	}
	if h.connClosed(3) {
		t.Error("a connection was closed as idle that sent a set-up each second")
	}
	h.advance(idleTimeout + time.Second)
	if !h.connClosed(3) {
		t.Error("a connection stayed open that sent nothing")
	}
}
