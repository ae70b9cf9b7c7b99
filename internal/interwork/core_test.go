package interwork

import (
	"testing"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
)

func TestACallStandsAndEnds(t *testing.T) {
	module := newDirectModule(1)
	h := newHarness(t, module)
	link := h.establishCall(1, 7)
	sent, _ := h.lastSent(sip.Invite, 7)
	if sent.Msg.URI != "sip:7f3a9c21e0b4d655@net" || string(sent.Msg.Body) != "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n" || sent.Deadline != startTime+time.Second {
		t.Errorf("INVITE %+v", sent)
	}
	if h.countSent(sip.Ack, 7) != 1 {
		t.Error("the answer got no ACK")
	}
	h.handle(LinkMessage{link, newResponse(7, 200)}) // a second copy
	if h.countSent(sip.Bye, 7) != 0 {
		t.Error("a second copy of the answer ended the call")
	}
	other := h.addLink(1)
	h.handle(LinkMessage{other, newBye(7, 16)})
	h.handle(LinkMessage{link, newBye(7, 16)})
	if got := h.sentToCaller(1, 7); got != "9 12/16" {
		t.Errorf("the caller was told %q", got)
	}
	if ends := module.endedEvents(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeCompleted || !ends[0].Final {
		t.Errorf("the module was told %+v", ends)
	}
}

func TestEndsReachTheModuleAsTheyAre(t *testing.T) {
	for _, test := range []struct {
		status int
		head   []string
		want   brain.AttemptEnded
	}{
		{503, []string{"Fail-Word", "rtb"}, brain.AttemptEnded{Outcome: brain.OutcomeRejected, Note: brain.NoteCrankback}},
		{503, []string{"Fail-Word", "racc"}, brain.AttemptEnded{Outcome: brain.OutcomeRejected, Note: brain.NoteOnwardProcessorFull}},
		{503, []string{"Fail-Word", "acc", "Proc-Wait", "120"}, brain.AttemptEnded{Outcome: brain.OutcomeRejected, Note: brain.NoteProcessorFull, RetryAfter: 120 * time.Millisecond}},
		{480, []string{"Fail-Word", "atb"}, brain.AttemptEnded{Outcome: brain.OutcomeNotSent, Note: brain.NoteNoCircuit}},
		{480, []string{"Fail-Word", "acc"}, brain.AttemptEnded{Outcome: brain.OutcomeNotSent, Note: brain.NoteProcessorFull}},
		{486, []string{"Fail-Word", "sub"}, brain.AttemptEnded{Outcome: brain.OutcomeFailed, Note: brain.NoteLinesBusy}},
		{500, nil, brain.AttemptEnded{Outcome: brain.OutcomeFailed}},
		{504, nil, brain.AttemptEnded{Outcome: brain.OutcomeReset}},
	} {
		module, h, sent := newHarnessWithPendingCall(t, 1)
		h.handle(LinkMessage{sent.Link, newResponse(7, test.status, test.head...)})
		ends := module.endedEvents()
		if len(ends) != 1 || ends[0].Outcome != test.want.Outcome || ends[0].Note != test.want.Note || ends[0].RetryAfter != test.want.RetryAfter || ends[0].Final {
			t.Errorf("%d %v: the module was told %+v", test.status, test.head, ends)
		}
		if h.countSent(sip.Ack, 7) != 1 {
			t.Errorf("%d: no ACK", test.status)
		}
		if got := h.sentToCaller(1, 7); got != "12/42" {
			t.Errorf("%d: the caller was told %q", test.status, got)
		}
	}
}

func TestARefusalNamesWholeMilliseconds(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.handleCallerMessage(1, newSetUp(7, 1))
	sent, _ := h.lastSent(sip.Invite, 7)
	h.handle(LinkMessage{sent.Link, newResponse(7, 503)})
	for _, e := range h.effects {
		if e, ok := e.(SendToCaller); ok {
			if value, _ := e.Msg.Get(isup.ParamRetryAfter); string(value) != "2" {
				t.Errorf("stay away %q, want 2", value)
			}
		}
	}
}

// Exchanges answer with CSeq 1 whatever the set-up's was: with numbers a further attempt's answers
// were taken for late ones.
func TestAFurtherAttemptIsAnswered(t *testing.T) {
	_, h, first := newHarnessWithPendingCall(t, 2)
	h.handle(LinkMessage{first.Link, newResponse(7, 480, "Fail-Word", "atb")})
	second, _ := h.lastSent(sip.Invite, 7)
	if h.countSent(sip.Invite, 7) != 2 || second.Msg.CSeq != 1 {
		t.Fatalf("%d attempts, CSeq %d", h.countSent(sip.Invite, 7), second.Msg.CSeq)
	}
	h.handle(LinkMessage{second.Link, newResponse(7, 200)})
	if got := h.sentToCaller(1, 7); got != "9" {
		t.Errorf("the caller was told %q", got)
	}
}

func TestALateAnswerIsHungUpAndTheFurtherAttemptIsNotTakenForIt(t *testing.T) {
	module, h, first := newHarnessWithPendingCall(t, 2)
	h.advance(time.Second)
	if ends := module.endedEvents(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeTimedOut {
		t.Fatalf("ends %+v", ends)
	}
	second, _ := h.lastSent(sip.Invite, 7)
	if h.countWithdrawn(7) != 1 || second.Link == first.Link {
		t.Fatalf("%d withdrawn; links %d and %d", h.countWithdrawn(7), first.Link, second.Link)
	}
	h.handle(LinkMessage{first.Link, newResponse(7, 200)})
	if h.sentToCaller(1, 7) != "" || h.countSent(sip.Ack, 7) != 1 || h.countSent(sip.Bye, 7) != 1 {
		t.Errorf("after a late answer: said %q, %d ACK, %d BYE", h.sentToCaller(1, 7), h.countSent(sip.Ack, 7), h.countSent(sip.Bye, 7))
	}
	h.handle(LinkMessage{second.Link, newResponse(7, 200)})
	if got := h.sentToCaller(1, 7); got != "9" {
		t.Errorf("the caller was told %q", got)
	}
}

func TestAGivenUpSetUpIsCancelledAndNotAnswered(t *testing.T) {
	module, h, sent := newHarnessWithPendingCall(t, 1)
	h.handleCallerMessage(1, newRelease(7, 16))
	h.handle(LinkMessage{sent.Link, newResponse(7, 200)})
	if h.sentToCaller(1, 7) != "" || h.countWithdrawn(7) != 1 || h.countSent(sip.Ack, 7) != 1 || h.countSent(sip.Bye, 7) != 1 {
		t.Errorf("said %q, %d withdrawn, %d ACK, %d BYE", h.sentToCaller(1, 7), h.countWithdrawn(7), h.countSent(sip.Ack, 7), h.countSent(sip.Bye, 7))
	}
	if ends := module.endedEvents(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeCancelled || !ends[0].Final {
		t.Errorf("the module was told %+v", ends)
	}
	h.handleCallerMessage(2, newSetUp(8, 1))
	h.handle(CallerDisconnected{2})
	if h.countWithdrawn(8) != 1 || h.core.pending != 0 || len(h.core.calls) != 0 || len(h.core.attempts) != 0 {
		t.Errorf("after the connection's end: %d withdrawn, %d open, %d calls", h.countWithdrawn(8), h.core.pending, len(h.core.calls))
	}
}

func TestBadSetUpsAreRefusedAtOnceAndHurtNobody(t *testing.T) {
	module := newDirectModule(1)
	h := newHarness(t, module)
	h.handleCallerMessage(1, newSetUp(7, 1))
	for _, msg := range []*isup.Message{
		replaceParam(newSetUp(100, 1), isup.ParamClass, "nobody"), replaceParam(newSetUp(101, 1), isup.ParamPatience, "-5"),
		replaceParam(newSetUp(102, 1), isup.ParamPatience, "NaN"), replaceParam(newSetUp(103, 1), isup.ParamNumber, "7f3a9c21e0b4d65"),
		replaceParam(newSetUp(104, 1), isup.ParamNumber, "7f3a9c21 HTTP/1"), replaceParam(newSetUp(105, 1), isup.ParamRouting, "dest:9;width:1;via:-1"),
		replaceParam(newSetUp(106, 1), isup.ParamRouting, "dest:0;width:1;via:-1"), replaceParam(newSetUp(107, 1), isup.ParamRouting, "dest:1;width:0;via:-1"),
		replaceParam(newSetUp(108, 1), isup.ParamRouting, "dest:1;width:3;via:-1"), replaceParam(newSetUp(109, 1), isup.ParamRouting, "dest:1;width:1e9;via:-1"),
		replaceParam(newSetUp(110, 1), isup.ParamRouting, "dest:1;width:1;via:-2"), replaceParam(newSetUp(111, 1), isup.ParamRouting, "nonsense"),
		replaceParam(newSetUp(112, 1), isup.ParamRouting, ""), newSetUp(113, 1).Add(isup.ParamRetry, []byte("x")),
		replaceParam(newSetUp(116, 1), isup.ParamRouting, "dest:1;width:1;via:2;transit:7"), {Type: isup.SetUp, CallID: 114},
		replaceParam(newSetUp(115, 1), isup.ParamDescription, string(make([]byte, sip.MaxMessageBytes-100))),
	} {
		h.handleCallerMessage(2, msg)
		if got := h.sentToCaller(2, msg.CallID); got != "12/100" {
			t.Errorf("set-up %d was told %q", msg.CallID, got)
		}
	}
	h.handleCallerMessage(2, newSetUp(7, 1)) // the id of another's open call
	if got := h.sentToCaller(2, 7); got != "12/42" {
		t.Errorf("a second set-up of an open id was told %q", got)
	}
	h.handleCallerMessage(2, newSetUp(9, 2))
	h.handleCallerMessage(2, newSetUp(9, 1)) // of an own one
	if !h.connClosed(2) || h.sentToCaller(2, 9) != "" || h.countWithdrawn(9) != 1 {
		t.Errorf("two set-ups under one id: shut %v, said %q", h.connClosed(2), h.sentToCaller(2, 9))
	}
	sent, _ := h.lastSent(sip.Invite, 7)
	h.handle(LinkMessage{sent.Link, newResponse(7, 200)})
	if got := h.sentToCaller(1, 7); got != "9" {
		t.Errorf("the first call was told %q", got)
	}
}

// A number whose exchange is off the list is a number all the same: the module has the call, which
// waits and is refused with a time to come back. Only one that no exchange ever had is no number.
func TestACallToAnExchangeThatIsOffTheListIsTheModules(t *testing.T) {
	h := newHarness(t, nil)
	gone := testEntry(3)
	gone.State = brain.OutOfService
	h.handle(ExchangeListUpdate{Changes: []srvlist.Entry{gone}})
	h.handleCallerMessage(1, newSetUp(7, 3))
	h.handleCallerMessage(1, newSetUp(8, 99))
	if h.sentToCaller(1, 7) != "" || h.sentToCaller(1, 8) != "12/100" {
		t.Fatalf("said %q and %q", h.sentToCaller(1, 7), h.sentToCaller(1, 8))
	}
	h.advance(1100 * time.Millisecond)
	if h.sentToCaller(1, 7) != "12/42" || h.core.Stats.Invalid != 1 {
		t.Errorf("said %q, %d invalid", h.sentToCaller(1, 7), h.core.Stats.Invalid)
	}
}

// What was read from a connection before its close, which has been decided: a new call is refused, word of
// one that stands already is no call and wants no answer.
func TestASetUpBehindAShutIsRefused(t *testing.T) {
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
		t.Errorf("said %q and %q", h.sentToCaller(1, 7), h.sentToCaller(1, 8))
	}
}

func TestOneConnectionHoldsOnlySoManyOpenSetUps(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	for id := uint64(1); id <= 6; id++ {
		h.handleCallerMessage(1, newSetUp(id, 1))
	}
	if got := h.sentToCaller(1, 6); got != "12/42" || h.sentToCaller(1, 5) != "" {
		t.Errorf("the sixth was told %q, the fifth %q", got, h.sentToCaller(1, 5))
	}
}

func TestAnAdoptedCallIsReleasedWhereItWasNamedLast(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	adoption := func(id uint64, x string) *isup.Message {
		return replaceParam(newSetUp(id, 1), isup.ParamRouting, "dest:1;width:1;via:-1;at:"+x)
	}
	h.handleCallerMessage(1, adoption(7, "s-1"))
	h.handleCallerMessage(1, adoption(7, "s-1"))
	h.handleCallerMessage(2, adoption(7, "s-1"))
	if h.sentToCaller(1, 7)+h.sentToCaller(2, 7) != "" || h.countSent(sip.Invite, 7) != 0 || h.core.Stats.Adopted != 1 {
		t.Fatalf("said %q and %q", h.sentToCaller(1, 7), h.sentToCaller(2, 7))
	}
	h.handle(LinkMessage{h.firstLinkUp(1), newBye(7, 41)})
	if h.sentToCaller(2, 7) != "12/41" || h.sentToCaller(1, 7) != "" {
		t.Errorf("said %q and %q", h.sentToCaller(1, 7), h.sentToCaller(2, 7))
	}
	h.handleCallerMessage(1, adoption(7, "s-1")) // once more: it is over
	if h.sentToCaller(1, 7) != "12/41" {
		t.Errorf("said %q", h.sentToCaller(1, 7))
	}
	h.handleCallerMessage(1, adoption(8, "s-77"))
	if h.sentToCaller(1, 8) != "12/41" {
		t.Errorf("a call at an exchange that nobody knows: said %q", h.sentToCaller(1, 8))
	}
}

func TestACallOutlivesItsConnections(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	link := h.establishCall(1, 7)
	h.handle(LinkDown{Link: link})
	h.handle(CallerDisconnected{1})
	h.advance(time.Second)
	if h.countSent(sip.Bye, 7) != 0 || len(h.core.calls) != 1 {
		t.Fatal("the call ended with a connection")
	}
	h.handleCallerMessage(2, replaceParam(newSetUp(7, 1), isup.ParamRouting, "dest:1;width:1;via:-1;at:s-1"))
	h.handle(LinkMessage{h.firstLinkUp(1), newBye(7, 16)})
	if got := h.sentToCaller(2, 7); got != "12/16" {
		t.Errorf("said %q", got)
	}
}

func TestCallersEndACallOnAnyConnection(t *testing.T) {
	module := newDirectModule(1)
	h := newHarness(t, module)
	h.establishCall(1, 7)
	h.handleCallerMessage(2, newRelease(7, 16))
	if h.countSent(sip.Bye, 7) != 1 || h.sentToCaller(2, 7) != "16" || len(module.endedEvents()) != 1 {
		t.Errorf("%d BYE, said %q, %d ends", h.countSent(sip.Bye, 7), h.sentToCaller(2, 7), len(module.endedEvents()))
	}
}

func TestABrokenLinkIsUnclearAndOneThatNeverStoodIsNot(t *testing.T) {
	module, h, sent := newHarnessWithPendingCall(t, 1)
	h.addLink(1)
	h.handle(LinkDown{Link: sent.Link})
	if ends := module.endedEvents(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeReset {
		t.Fatalf("ends %+v", ends)
	}
	if h.countSent(sip.Bye, 7) != 1 {
		t.Error("the call is not hung up, should it stand")
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
	if ends := module.endedEvents(); len(ends) != 2 || ends[1].Outcome != brain.OutcomeUnreachable || h.countSent(sip.Invite, 8) != 0 {
		t.Errorf("ends %+v", ends)
	}
}

func TestCallsAtAnExchangeThatIsGoneAreOver(t *testing.T) {
	for name, trigger := range map[string]func(h *testHarness){
		"gone from the list": func(h *testHarness) {
			entry := testEntry(1)
			entry.State = brain.OutOfService
			h.handle(ExchangeListUpdate{Changes: []srvlist.Entry{entry}})
		},
		"started again": func(h *testHarness) {
			entry := testEntry(1)
			entry.StartUnixMilli = int64((time.Hour*1000 + h.now + 1) / time.Millisecond)
			h.handle(ExchangeListUpdate{Changes: []srvlist.Entry{entry}})
		},
		"refuses": func(h *testHarness) {
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
		"silent": func(h *testHarness) {
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
			t.Errorf("%s: the caller was told %q", name, got)
		}
		if ends := module.endedEvents(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeReset || !ends[0].Final {
			t.Errorf("%s: the module was told %+v", name, ends)
		}
	}
}

func TestNothingNewGoesToADrainingExchange(t *testing.T) {
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
	entry.State = brain.Draining
	h.handle(ExchangeListUpdate{Changes: []srvlist.Entry{entry}})
	if ends := module.endedEvents(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeNotSent {
		t.Errorf("ends %+v", ends)
	}
	h.completeDials()
	holding := false
	for _, e := range h.effects {
		if hold, ok := e.(HoldSetUps); ok && hold.Hold {
			holding = true
		}
	}
	if !holding || h.countSent(sip.Invite, 8) != 0 || len(h.core.calls) != 1 {
		t.Errorf("fenced %v, %d INVITE, %d calls", holding, h.countSent(sip.Invite, 8), len(h.core.calls))
	}
}

func TestASilentLinkWithWorkIsFoundByATest(t *testing.T) {
	module := newDirectModule(1)
	h := newHarness(t, module)
	h.handleCallerMessage(1, newSetUp(7, 1))
	for range 20 {
		h.now += 50 * time.Millisecond
		h.handle(Tick{})
	}
	if ends := module.endedEvents(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeReset || ends[0].Elapsed > pingDelayPending+pingTimeout+2*maintenanceInterval {
		t.Errorf("ends %+v", ends)
	}
}

func TestLeavingAnswersWhatWasTaken(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.handleCallerMessage(1, newSetUp(7, 1))
	h.handle(Shutdown{})
	h.advance(500 * time.Millisecond)
	h.handleCallerMessage(2, newSetUp(8, 1)) // still taken
	h.advance(300 * time.Millisecond)
	sent7, _ := h.lastSent(sip.Invite, 7)
	sent8, ok := h.lastSent(sip.Invite, 8)
	if !ok || h.core.shutdownDone {
		t.Fatal("a call after the word to leave was not taken, or nobody waited for it")
	}
	h.handleCallerMessage(2, newSetUp(9, 1))
	if h.sentToCaller(2, 9) != "12/42" {
		t.Errorf("a call after the listener was closed was told %q", h.sentToCaller(2, 9))
	}
	h.handle(LinkMessage{sent7.Link, newResponse(7, 200)})
	h.handle(LinkMessage{sent8.Link, newResponse(8, 200)})
	h.advance(100 * time.Millisecond)
	if h.core.shutdownDone || h.sentToCaller(1, 7) != "9" {
		t.Errorf("left %v, said %q", h.core.shutdownDone, h.sentToCaller(1, 7))
	}
	h.handle(LinkMessage{sent7.Link, newBye(7, isup.NormalClearing)}) // its caller is still told, then nothing stands on its connection
	h.advance(100 * time.Millisecond)
	if h.core.shutdownDone || h.sentToCaller(1, 7) != "9 12/16" || h.core.conns[1] != nil || h.core.conns[2] == nil {
		t.Errorf("left %v, said %q, connections %v", h.core.shutdownDone, h.sentToCaller(1, 7), h.core.conns)
	}
	h.handle(LinkMessage{sent8.Link, newBye(8, isup.NormalClearing)})
	h.advance(100 * time.Millisecond)
	if !h.core.shutdownDone || h.countSent(sip.Bye, 7) != 0 {
		t.Errorf("left %v, %d BYE", h.core.shutdownDone, h.countSent(sip.Bye, 7))
	}
}

// What is open or stands when the platform is about to end the process does not hold it: the open
// calls get their answer, and who was never sent on is refused.
func TestLeavingEndsBeforeThePlatformEndsIt(t *testing.T) {
	module := newDirectModule(1)
	h := newHarness(t, module)
	h.handleCallerMessage(1, newSetUp(7, 1))
	sent7, _ := h.lastSent(sip.Invite, 7)
	h.handle(LinkMessage{sent7.Link, newResponse(7, 200)})
	h.handleCallerMessage(1, newSetUp(8, 1))
	module.respond = nil // the module holds the next one
	h.handleCallerMessage(2, newSetUp(9, 1))
	h.handle(Shutdown{})
	h.advance(3*time.Second + 300*time.Millisecond)
	if h.core.shutdownDone || h.sentToCaller(1, 8) != "" || h.sentToCaller(2, 9) != "" {
		t.Fatalf("left %v, said %q and %q", h.core.shutdownDone, h.sentToCaller(1, 8), h.sentToCaller(2, 9))
	}
	h.advance(200 * time.Millisecond)
	if !h.core.shutdownDone || h.sentToCaller(1, 8) != "12/41" || h.sentToCaller(2, 9) != "12/42" || h.countWithdrawn(8) != 1 || h.countSent(sip.Bye, 7) != 0 {
		t.Errorf("left %v, said %q and %q, withdrawn %v", h.core.shutdownDone, h.sentToCaller(1, 8), h.sentToCaller(2, 9), h.countWithdrawn(8))
	}
}

func TestSilentConnectionsAreClosedAndTheOldestMakeRoom(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.establishCall(1, 7)
	h.handleCallerMessage(2, &isup.Message{Type: isup.Test, CallID: 1})
	for conn := ConnID(3); conn <= 9; conn++ {
		h.now += time.Millisecond
		h.handle(CallerConnected{conn})
	}
	if !h.connClosed(3) || h.connClosed(1) || h.connClosed(2) || h.connClosed(9) {
		t.Error("not the oldest silent connection made room")
	}
	h.advance(3 * time.Second)
	if !h.connClosed(9) || h.connClosed(1) || h.connClosed(2) {
		t.Error("silent connections stay, or others don't")
	}
}

// Nothing that the core holds may grow with what has come and gone.
func TestTablesGoBackToNothing(t *testing.T) {
	h := newHarness(t, nil)
	tableSizes := func() [7]int {
		c := h.core
		return [7]int{len(c.calls), len(c.attempts), len(c.conns), len(c.connsByAge), len(c.peers), len(c.peersByName), len(c.peersByID)}
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
		entry.State = brain.OutOfService
		h.handle(ExchangeListUpdate{Changes: []srvlist.Entry{entry}})
	}
	h.advance(time.Minute)
	if sizesAfter := tableSizes(); sizesAfter != sizesBefore {
		t.Errorf("tables hold %v, %v before", sizesAfter, sizesBefore)
	}
	if n := len(h.core.links); n > 4*len(h.core.peers) {
		t.Errorf("%d links", n)
	}
	if n := h.core.timers.Len(); n > 4 || len(h.core.recentEndings) > 0 || len(h.core.recentIDs) > 0 {
		t.Errorf("%d timers, %d calls remembered", n, len(h.core.recentEndings))
	}
}

// The answer may be held up for longer than the call lasts.
func TestACallThatEndedBeforeItsAnswerCameIsOver(t *testing.T) {
	module, h, sent := newHarnessWithPendingCall(t, 2)
	h.handle(LinkMessage{sent.Link, newBye(7, 16)})
	h.handle(LinkMessage{sent.Link, newResponse(7, 200)})
	if h.countSent(sip.Ack, 7) != 1 || h.countSent(sip.Bye, 7) != 0 {
		t.Errorf("the late answer: %d ACK, %d BYE", h.countSent(sip.Ack, 7), h.countSent(sip.Bye, 7))
	}
	if got := h.sentToCaller(1, 7); got != "12/16" || h.countSent(sip.Invite, 7) != 1 {
		t.Errorf("said %q after %d attempts", got, h.countSent(sip.Invite, 7))
	}
	if ends := module.endedEvents(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeCompleted || !ends[0].Final {
		t.Errorf("the module was told %+v", ends)
	}
	h.handleCallerMessage(1, newSetUp(8, 1))
	sent, _ = h.lastSent(sip.Invite, 8)
	h.handle(LinkMessage{sent.Link, newBye(8, 41)}) // it stood and was cut
	h.advance(time.Second)
	if h.sentToCaller(1, 8) != "12/41" || h.countSent(sip.Invite, 8) != 1 {
		t.Errorf("said %q after %d attempts", h.sentToCaller(1, 8), h.countSent(sip.Invite, 8))
	}
	if ends := module.endedEvents(); len(ends) != 2 || ends[1].Outcome != brain.OutcomeReset || !ends[1].Final {
		t.Errorf("the module was told %+v", ends)
	}
	h.handle(LinkMessage{sent.Link, newResponse(8, 200)})
	if h.countSent(sip.Ack, 8) != 1 || h.countSent(sip.Bye, 8) != 0 || h.sentToCaller(1, 8) != "12/41" {
		t.Errorf("the late answer: %d ACK, %d BYE, said %q", h.countSent(sip.Ack, 8), h.countSent(sip.Bye, 8), h.sentToCaller(1, 8))
	}
}
