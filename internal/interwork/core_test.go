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
	mod := direct(1)
	r := newRig(t, mod)
	l := r.stand(1, 7)
	s, _ := r.sent(sip.Invite, 7)
	if s.Msg.URI != "sip:7f3a9c21e0b4d655@net" || string(s.Msg.Body) != "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n" || s.Deadline != start+time.Second {
		t.Errorf("INVITE %+v", s)
	}
	if r.count(sip.Ack, 7) != 1 {
		t.Error("the answer got no ACK")
	}
	r.in(LinkMessage{l, answer(7, 200)}) // a second copy
	if r.count(sip.Bye, 7) != 0 {
		t.Error("a second copy of the answer ended the call")
	}
	other := r.second(1)
	r.in(LinkMessage{other, byeOf(7, 16)})
	r.in(LinkMessage{l, byeOf(7, 16)})
	if got := r.said(1, 7); got != "9 12/16" {
		t.Errorf("the caller was told %q", got)
	}
	if ends := mod.ends(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeCompleted || !ends[0].Final {
		t.Errorf("the module was told %+v", ends)
	}
}

func TestEndsReachTheModuleAsTheyAre(t *testing.T) {
	for _, c := range []struct {
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
		mod, r, s := ringing(t, 1)
		r.in(LinkMessage{s.Link, answer(7, c.status, c.head...)})
		ends := mod.ends()
		if len(ends) != 1 || ends[0].Outcome != c.want.Outcome || ends[0].Note != c.want.Note || ends[0].RetryAfter != c.want.RetryAfter || ends[0].Final {
			t.Errorf("%d %v: the module was told %+v", c.status, c.head, ends)
		}
		if r.count(sip.Ack, 7) != 1 {
			t.Errorf("%d: no ACK", c.status)
		}
		if got := r.said(1, 7); got != "12/42" {
			t.Errorf("%d: the caller was told %q", c.status, got)
		}
	}
}

func TestARefusalNamesWholeMilliseconds(t *testing.T) {
	r := newRig(t, direct(1))
	r.call(1, setUp(7, 1))
	s, _ := r.sent(sip.Invite, 7)
	r.in(LinkMessage{s.Link, answer(7, 503)})
	for _, e := range r.out {
		if e, ok := e.(SendToCaller); ok {
			if v, _ := e.Msg.Get(isup.ParamRetryAfter); string(v) != "2" {
				t.Errorf("stay away %q, want 2", v)
			}
		}
	}
}

// Exchanges answer with CSeq 1 whatever the set-up's was: with numbers a further attempt's answers
// were taken for late ones.
func TestAFurtherAttemptIsAnswered(t *testing.T) {
	_, r, first := ringing(t, 2)
	r.in(LinkMessage{first.Link, answer(7, 480, "Fail-Word", "atb")})
	second, _ := r.sent(sip.Invite, 7)
	if r.count(sip.Invite, 7) != 2 || second.Msg.CSeq != 1 {
		t.Fatalf("%d attempts, CSeq %d", r.count(sip.Invite, 7), second.Msg.CSeq)
	}
	r.in(LinkMessage{second.Link, answer(7, 200)})
	if got := r.said(1, 7); got != "9" {
		t.Errorf("the caller was told %q", got)
	}
}

func TestALateAnswerIsHungUpAndTheFurtherAttemptIsNotTakenForIt(t *testing.T) {
	mod, r, first := ringing(t, 2)
	r.pass(time.Second)
	if ends := mod.ends(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeTimedOut {
		t.Fatalf("ends %+v", ends)
	}
	second, _ := r.sent(sip.Invite, 7)
	if r.withdrawn(7) != 1 || second.Link == first.Link {
		t.Fatalf("%d withdrawn; links %d and %d", r.withdrawn(7), first.Link, second.Link)
	}
	r.in(LinkMessage{first.Link, answer(7, 200)})
	if r.said(1, 7) != "" || r.count(sip.Ack, 7) != 1 || r.count(sip.Bye, 7) != 1 {
		t.Errorf("after a late answer: said %q, %d ACK, %d BYE", r.said(1, 7), r.count(sip.Ack, 7), r.count(sip.Bye, 7))
	}
	r.in(LinkMessage{second.Link, answer(7, 200)})
	if got := r.said(1, 7); got != "9" {
		t.Errorf("the caller was told %q", got)
	}
}

func TestAGivenUpSetUpIsCancelledAndNotAnswered(t *testing.T) {
	mod, r, s := ringing(t, 1)
	r.call(1, release(7, 16))
	r.in(LinkMessage{s.Link, answer(7, 200)})
	if r.said(1, 7) != "" || r.withdrawn(7) != 1 || r.count(sip.Ack, 7) != 1 || r.count(sip.Bye, 7) != 1 {
		t.Errorf("said %q, %d withdrawn, %d ACK, %d BYE", r.said(1, 7), r.withdrawn(7), r.count(sip.Ack, 7), r.count(sip.Bye, 7))
	}
	if ends := mod.ends(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeCancelled || !ends[0].Final {
		t.Errorf("the module was told %+v", ends)
	}
	r.call(2, setUp(8, 1))
	r.in(CallerDisconnected{2})
	if r.withdrawn(8) != 1 || r.c.open != 0 || len(r.c.calls) != 0 || len(r.c.tries) != 0 {
		t.Errorf("after the connection's end: %d withdrawn, %d open, %d calls", r.withdrawn(8), r.c.open, len(r.c.calls))
	}
}

func TestBadSetUpsAreRefusedAtOnceAndHurtNobody(t *testing.T) {
	mod := direct(1)
	r := newRig(t, mod)
	r.call(1, setUp(7, 1))
	for _, m := range []*isup.Message{
		change(setUp(100, 1), isup.ParamClass, "nobody"), change(setUp(101, 1), isup.ParamPatience, "-5"),
		change(setUp(102, 1), isup.ParamPatience, "NaN"), change(setUp(103, 1), isup.ParamNumber, "7f3a9c21e0b4d65"),
		change(setUp(104, 1), isup.ParamNumber, "7f3a9c21 HTTP/1"), change(setUp(105, 1), isup.ParamRouting, "dest:9;width:1;via:-1"),
		change(setUp(106, 1), isup.ParamRouting, "dest:0;width:1;via:-1"), change(setUp(107, 1), isup.ParamRouting, "dest:1;width:0;via:-1"),
		change(setUp(108, 1), isup.ParamRouting, "dest:1;width:3;via:-1"), change(setUp(109, 1), isup.ParamRouting, "dest:1;width:1e9;via:-1"),
		change(setUp(110, 1), isup.ParamRouting, "dest:1;width:1;via:-2"), change(setUp(111, 1), isup.ParamRouting, "nonsense"),
		change(setUp(112, 1), isup.ParamRouting, ""), setUp(113, 1).Add(isup.ParamRetry, []byte("x")),
		change(setUp(116, 1), isup.ParamRouting, "dest:1;width:1;via:2;transit:7"), {Type: isup.SetUp, CallID: 114},
		change(setUp(115, 1), isup.ParamDescription, string(make([]byte, sip.MaxMessageBytes-100))),
	} {
		r.call(2, m)
		if got := r.said(2, m.CallID); got != "12/100" {
			t.Errorf("set-up %d was told %q", m.CallID, got)
		}
	}
	r.call(2, setUp(7, 1)) // the id of another's open call
	if got := r.said(2, 7); got != "12/42" {
		t.Errorf("a second set-up of an open id was told %q", got)
	}
	r.call(2, setUp(9, 2))
	r.call(2, setUp(9, 1)) // of an own one
	if !r.shut(2) || r.said(2, 9) != "" || r.withdrawn(9) != 1 {
		t.Errorf("two set-ups under one id: shut %v, said %q", r.shut(2), r.said(2, 9))
	}
	s, _ := r.sent(sip.Invite, 7)
	r.in(LinkMessage{s.Link, answer(7, 200)})
	if got := r.said(1, 7); got != "9" {
		t.Errorf("the first call was told %q", got)
	}
}

// A number whose exchange is off the list is a number all the same: the module has the call, which
// waits and is refused with a time to come back. Only one that no exchange ever had is no number.
func TestACallToAnExchangeThatIsOffTheListIsTheModules(t *testing.T) {
	r := newRig(t, nil)
	gone := entry(3)
	gone.State = brain.OutOfService
	r.in(ExchangeListUpdate{Changes: []srvlist.Entry{gone}})
	r.call(1, setUp(7, 3))
	r.call(1, setUp(8, 99))
	if r.said(1, 7) != "" || r.said(1, 8) != "12/100" {
		t.Fatalf("said %q and %q", r.said(1, 7), r.said(1, 8))
	}
	r.pass(1100 * time.Millisecond)
	if r.said(1, 7) != "12/42" || r.c.Stats.Invalid != 1 {
		t.Errorf("said %q, %d invalid", r.said(1, 7), r.c.Stats.Invalid)
	}
}

// What was read from a connection before its close, which has been decided: a new call is refused, word of
// one that stands already is no call and wants no answer.
func TestASetUpBehindAShutIsRefused(t *testing.T) {
	r := newRig(t, direct(1))
	r.in(CallerDisconnected{1})
	r.call(1, setUp(7, 1))
	at := setUp(8, 1)
	for i := range at.Params {
		if at.Params[i].Code == isup.ParamRouting {
			at.Params[i].Value = []byte("dest:1;width:1;via:-1;at:s-1")
		}
	}
	r.call(1, at)
	if r.said(1, 7) != "12/42" || r.said(1, 8) != "" {
		t.Errorf("said %q and %q", r.said(1, 7), r.said(1, 8))
	}
}

func TestOneConnectionHoldsOnlySoManyOpenSetUps(t *testing.T) {
	r := newRig(t, direct(1))
	for id := uint64(1); id <= 6; id++ {
		r.call(1, setUp(id, 1))
	}
	if got := r.said(1, 6); got != "12/42" || r.said(1, 5) != "" {
		t.Errorf("the sixth was told %q, the fifth %q", got, r.said(1, 5))
	}
}

func TestAnAdoptedCallIsReleasedWhereItWasNamedLast(t *testing.T) {
	r := newRig(t, direct(1))
	at := func(id uint64, x string) *isup.Message {
		return change(setUp(id, 1), isup.ParamRouting, "dest:1;width:1;via:-1;at:"+x)
	}
	r.call(1, at(7, "s-1"))
	r.call(1, at(7, "s-1"))
	r.call(2, at(7, "s-1"))
	if r.said(1, 7)+r.said(2, 7) != "" || r.count(sip.Invite, 7) != 0 || r.c.Stats.Adopted != 1 {
		t.Fatalf("said %q and %q", r.said(1, 7), r.said(2, 7))
	}
	r.in(LinkMessage{r.link(1), byeOf(7, 41)})
	if r.said(2, 7) != "12/41" || r.said(1, 7) != "" {
		t.Errorf("said %q and %q", r.said(1, 7), r.said(2, 7))
	}
	r.call(1, at(7, "s-1")) // once more: it is over
	if r.said(1, 7) != "12/41" {
		t.Errorf("said %q", r.said(1, 7))
	}
	r.call(1, at(8, "s-77"))
	if r.said(1, 8) != "12/41" {
		t.Errorf("a call at an exchange that nobody knows: said %q", r.said(1, 8))
	}
}

func TestACallOutlivesItsConnections(t *testing.T) {
	r := newRig(t, direct(1))
	l := r.stand(1, 7)
	r.in(LinkDown{Link: l})
	r.in(CallerDisconnected{1})
	r.pass(time.Second)
	if r.count(sip.Bye, 7) != 0 || len(r.c.calls) != 1 {
		t.Fatal("the call ended with a connection")
	}
	r.call(2, change(setUp(7, 1), isup.ParamRouting, "dest:1;width:1;via:-1;at:s-1"))
	r.in(LinkMessage{r.link(1), byeOf(7, 16)})
	if got := r.said(2, 7); got != "12/16" {
		t.Errorf("said %q", got)
	}
}

func TestCallersEndACallOnAnyConnection(t *testing.T) {
	mod := direct(1)
	r := newRig(t, mod)
	r.stand(1, 7)
	r.call(2, release(7, 16))
	if r.count(sip.Bye, 7) != 1 || r.said(2, 7) != "16" || len(mod.ends()) != 1 {
		t.Errorf("%d BYE, said %q, %d ends", r.count(sip.Bye, 7), r.said(2, 7), len(mod.ends()))
	}
}

func TestABrokenLinkIsUnclearAndOneThatNeverStoodIsNot(t *testing.T) {
	mod, r, s := ringing(t, 1)
	r.second(1)
	r.in(LinkDown{Link: s.Link})
	if ends := mod.ends(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeReset {
		t.Fatalf("ends %+v", ends)
	}
	if r.count(sip.Bye, 7) != 1 {
		t.Error("the call is not hung up, should it stand")
	}
	for _, l := range r.links() {
		if l.peer.Name == "s-2" {
			r.in(LinkDown{Link: l.id})
		}
	}
	r.call(1, setUp(8, 2))
	for _, d := range r.dial {
		r.in(LinkDown{Link: d.Link, Refused: true})
	}
	r.dial = nil
	if ends := mod.ends(); len(ends) != 2 || ends[1].Outcome != brain.OutcomeUnreachable || r.count(sip.Invite, 8) != 0 {
		t.Errorf("ends %+v", ends)
	}
}

func TestCallsAtAnExchangeThatIsGoneAreOver(t *testing.T) {
	for what, happen := range map[string]func(r *rig){
		"gone from the list": func(r *rig) {
			e := entry(1)
			e.State = brain.OutOfService
			r.in(ExchangeListUpdate{Changes: []srvlist.Entry{e}})
		},
		"started again": func(r *rig) {
			e := entry(1)
			e.StartUnixMilli = int64((time.Hour*1000 + r.now + 1) / time.Millisecond)
			r.in(ExchangeListUpdate{Changes: []srvlist.Entry{e}})
		},
		"refuses": func(r *rig) {
			for _, l := range r.links() {
				if l.peer.Name == "s-1" {
					r.in(LinkDown{Link: l.id})
				}
			}
			for range 40 {
				r.now += 50 * time.Millisecond
				r.in(Tick{})
				for _, d := range r.dial {
					r.in(LinkDown{Link: d.Link, Refused: true})
				}
				r.dial = nil
			}
		},
		"silent": func(r *rig) {
			for range 140 {
				r.now += 50 * time.Millisecond
				r.in(Tick{})
				for _, d := range r.dial {
					if d.Addr != entry(1).Addr {
						r.in(LinkUp{d.Link})
					}
				}
				r.dial = nil
			}
		},
	} {
		mod := direct(1)
		r := newRig(t, mod)
		r.stand(1, 7)
		r.pass(100 * time.Millisecond)
		happen(r)
		if got := r.said(1, 7); got != "9 12/41" {
			t.Errorf("%s: the caller was told %q", what, got)
		}
		if ends := mod.ends(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeReset || !ends[0].Final {
			t.Errorf("%s: the module was told %+v", what, ends)
		}
	}
}

func TestNothingNewGoesToADrainingExchange(t *testing.T) {
	mod := direct(1)
	r := newRig(t, mod)
	r.stand(1, 7)
	for _, l := range r.links() {
		if l.peer.Name == "s-1" {
			r.in(LinkDown{Link: l.id})
		}
	}
	r.call(1, setUp(8, 1)) // waits for a link
	e := entry(1)
	e.State = brain.Draining
	r.in(ExchangeListUpdate{Changes: []srvlist.Entry{e}})
	if ends := mod.ends(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeNotSent {
		t.Errorf("ends %+v", ends)
	}
	r.up()
	fenced := false
	for _, e := range r.out {
		if f, ok := e.(HoldSetUps); ok && f.Hold {
			fenced = true
		}
	}
	if !fenced || r.count(sip.Invite, 8) != 0 || len(r.c.calls) != 1 {
		t.Errorf("fenced %v, %d INVITE, %d calls", fenced, r.count(sip.Invite, 8), len(r.c.calls))
	}
}

func TestASilentLinkWithWorkIsFoundByATest(t *testing.T) {
	mod := direct(1)
	r := newRig(t, mod)
	r.call(1, setUp(7, 1))
	for range 20 {
		r.now += 50 * time.Millisecond
		r.in(Tick{})
	}
	if ends := mod.ends(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeReset || ends[0].Elapsed > quiet+testWithin+2*houseEvery {
		t.Errorf("ends %+v", ends)
	}
}

func TestLeavingAnswersWhatWasTaken(t *testing.T) {
	r := newRig(t, direct(1))
	r.call(1, setUp(7, 1))
	r.in(Shutdown{})
	r.pass(500 * time.Millisecond)
	r.call(2, setUp(8, 1)) // still taken
	r.pass(300 * time.Millisecond)
	s7, _ := r.sent(sip.Invite, 7)
	s8, ok := r.sent(sip.Invite, 8)
	if !ok || r.c.left {
		t.Fatal("a call after the word to leave was not taken, or nobody waited for it")
	}
	r.call(2, setUp(9, 1))
	if r.said(2, 9) != "12/42" {
		t.Errorf("a call after the listener was closed was told %q", r.said(2, 9))
	}
	r.in(LinkMessage{s7.Link, answer(7, 200)})
	r.in(LinkMessage{s8.Link, answer(8, 200)})
	r.pass(100 * time.Millisecond)
	if r.c.left || r.said(1, 7) != "9" {
		t.Errorf("left %v, said %q", r.c.left, r.said(1, 7))
	}
	r.in(LinkMessage{s7.Link, byeOf(7, isup.NormalClearing)}) // its caller is still told, then nothing stands on its connection
	r.pass(100 * time.Millisecond)
	if r.c.left || r.said(1, 7) != "9 12/16" || r.c.callers[1] != nil || r.c.callers[2] == nil {
		t.Errorf("left %v, said %q, connections %v", r.c.left, r.said(1, 7), r.c.callers)
	}
	r.in(LinkMessage{s8.Link, byeOf(8, isup.NormalClearing)})
	r.pass(100 * time.Millisecond)
	if !r.c.left || r.count(sip.Bye, 7) != 0 {
		t.Errorf("left %v, %d BYE", r.c.left, r.count(sip.Bye, 7))
	}
}

// What is open or stands when the platform is about to end the process does not hold it: the open
// calls get their answer, and who was never sent on is refused.
func TestLeavingEndsBeforeThePlatformEndsIt(t *testing.T) {
	mod := direct(1)
	r := newRig(t, mod)
	r.call(1, setUp(7, 1))
	s7, _ := r.sent(sip.Invite, 7)
	r.in(LinkMessage{s7.Link, answer(7, 200)})
	r.call(1, setUp(8, 1))
	mod.on = nil // the module holds the next one
	r.call(2, setUp(9, 1))
	r.in(Shutdown{})
	r.pass(3*time.Second + 300*time.Millisecond)
	if r.c.left || r.said(1, 8) != "" || r.said(2, 9) != "" {
		t.Fatalf("left %v, said %q and %q", r.c.left, r.said(1, 8), r.said(2, 9))
	}
	r.pass(200 * time.Millisecond)
	if !r.c.left || r.said(1, 8) != "12/41" || r.said(2, 9) != "12/42" || r.withdrawn(8) != 1 || r.count(sip.Bye, 7) != 0 {
		t.Errorf("left %v, said %q and %q, withdrawn %v", r.c.left, r.said(1, 8), r.said(2, 9), r.withdrawn(8))
	}
}

func TestSilentConnectionsAreClosedAndTheOldestMakeRoom(t *testing.T) {
	r := newRig(t, direct(1))
	r.stand(1, 7)
	r.call(2, &isup.Message{Type: isup.Test, CallID: 1})
	for conn := ConnID(3); conn <= 9; conn++ {
		r.now += time.Millisecond
		r.in(CallerConnected{conn})
	}
	if !r.shut(3) || r.shut(1) || r.shut(2) || r.shut(9) {
		t.Error("not the oldest silent connection made room")
	}
	r.pass(3 * time.Second)
	if !r.shut(9) || r.shut(1) || r.shut(2) {
		t.Error("silent connections stay, or others don't")
	}
}

// Nothing that the core holds may grow with what has come and gone.
func TestTablesGoBackToNothing(t *testing.T) {
	r := newRig(t, nil)
	size := func() [7]int {
		c := r.c
		return [7]int{len(c.calls), len(c.tries), len(c.callers), len(c.order), len(c.peers), len(c.names), len(c.ids)}
	}
	r.in(CallerDisconnected{1})
	r.in(CallerDisconnected{2})
	r.pass(time.Minute)
	before := size()
	id := uint64(1000)
	for n := 4; n < 1500; n++ {
		e := entry(n)
		e.Number = 4 + n%3
		r.in(ExchangeListUpdate{Changes: []srvlist.Entry{e}})
		r.up()
		conn := ConnID(n)
		r.in(CallerConnected{conn})
		for range 3 {
			id++
			r.call(conn, setUp(id, 1+int(id)%3))
			if s, ok := r.sent(sip.Invite, id); ok && id%3 > 0 {
				r.in(LinkMessage{s.Link, answer(id, 200)})
				r.in(LinkMessage{s.Link, byeOf(id, 16)})
			}
		}
		r.out = nil
		r.pass(100 * time.Millisecond)
		r.in(CallerDisconnected{conn})
		e.State = brain.OutOfService
		r.in(ExchangeListUpdate{Changes: []srvlist.Entry{e}})
	}
	r.pass(time.Minute)
	if after := size(); after != before {
		t.Errorf("tables hold %v, %v before", after, before)
	}
	if n := len(r.c.links); n > 4*len(r.c.peers) {
		t.Errorf("%d links", n)
	}
	if n := r.c.timers.Len(); n > 4 || len(r.c.recent) > 0 || len(r.c.recents) > 0 {
		t.Errorf("%d timers, %d calls remembered", n, len(r.c.recent))
	}
}

// The answer may be held up for longer than the call lasts.
func TestACallThatEndedBeforeItsAnswerCameIsOver(t *testing.T) {
	mod, r, s := ringing(t, 2)
	r.in(LinkMessage{s.Link, byeOf(7, 16)})
	r.in(LinkMessage{s.Link, answer(7, 200)})
	if r.count(sip.Ack, 7) != 1 || r.count(sip.Bye, 7) != 0 {
		t.Errorf("the late answer: %d ACK, %d BYE", r.count(sip.Ack, 7), r.count(sip.Bye, 7))
	}
	if got := r.said(1, 7); got != "12/16" || r.count(sip.Invite, 7) != 1 {
		t.Errorf("said %q after %d attempts", got, r.count(sip.Invite, 7))
	}
	if ends := mod.ends(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeCompleted || !ends[0].Final {
		t.Errorf("the module was told %+v", ends)
	}
	r.call(1, setUp(8, 1))
	s, _ = r.sent(sip.Invite, 8)
	r.in(LinkMessage{s.Link, byeOf(8, 41)}) // it stood and was cut
	r.pass(time.Second)
	if r.said(1, 8) != "12/41" || r.count(sip.Invite, 8) != 1 {
		t.Errorf("said %q after %d attempts", r.said(1, 8), r.count(sip.Invite, 8))
	}
	if ends := mod.ends(); len(ends) != 2 || ends[1].Outcome != brain.OutcomeReset || !ends[1].Final {
		t.Errorf("the module was told %+v", ends)
	}
	r.in(LinkMessage{s.Link, answer(8, 200)})
	if r.count(sip.Ack, 8) != 1 || r.count(sip.Bye, 8) != 0 || r.said(1, 8) != "12/41" {
		t.Errorf("the late answer: %d ACK, %d BYE, said %q", r.count(sip.Ack, 8), r.count(sip.Bye, 8), r.said(1, 8))
	}
}
