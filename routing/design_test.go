package routing

import (
	"math"
	"testing"
	"time"
)

func TestDirectRouteWhileGroupHasCircuits(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.reportCircuits(101, 1, 20)
	h.offer(Call{Destination: 1})
	if s := h.startedAttempts(); len(s) != 1 || s[0].ExchangeID != 101 {
		t.Fatalf("attempts %v, want one over the direct route", s)
	}
}

func TestTandemWithMostFreeCircuits(t *testing.T) {
	h := newHarness(t, testSettings(), 5)
	h.reportCircuits(101, 0, 20)
	h.reportCircuits(102, 5, 20)
	h.reportCircuits(103, 9, 20)
	h.reportCircuits(104, 7, 20)
	call := h.offer(Call{Destination: 1})
	if call.exchangeID != 103 {
		t.Fatalf("attempt over %d, want 103, which has the most free circuits", call.exchangeID)
	}
	h.endAttempt(call, OutcomeRejected, NoteCrankback, 100*ms)
	if !call.inFlight || call.exchangeID != 104 {
		t.Fatalf("attempt over %d, want 104 after the crankback from 103", call.exchangeID)
	}
	h.endAttempt(call, OutcomeRejected, NoteCrankback, 100*ms)
	other := h.offer(Call{Destination: 1})
	if other.exchangeID != 102 {
		t.Fatalf("attempt over %d, want 102 after crankbacks from the others", other.exchangeID)
	}
}

func TestReserveAppliesToTransitAndTandemCallsOnly(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.reportCircuits(101, baseReserve, 20)
	transit := h.offer(Call{Destination: 1, Transit: true, Via: 2})
	if transit.inFlight {
		t.Fatal("a transit call took a reserved circuit")
	}
	if call := h.offer(Call{Destination: 1}); !call.inFlight {
		t.Fatal("a direct call was denied a reserved circuit")
	}
	// A call over tandem 101 may not use the reserve either.
	h.reportCircuits(102, 0, 20)
	h.reportCircuits(103, 0, 20)
	h.reportCircuits(101, baseReserve, 20)
	if call := h.offer(Call{Destination: 2}); call.inFlight {
		t.Fatal("a call over a tandem took a reserved circuit")
	}
}

func TestReserveShrinksByDirectCallsInProgress(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.reportCircuits(101, 20, 20)
	for i := 0; i < 3; i++ {
		h.establish(h.mustAttempt(t, Call{Destination: 1}), 100*ms)
	}
	peer := h.controller.peers[1]
	h.reportCircuits(101, 17, 20)
	if got := h.controller.unusedReserve(peer); got != 0 {
		t.Fatalf("reserve %d on a group that was never full, want 0: baseReserve less three direct calls", got)
	}
	for id := uint32(101); id <= 103; id++ { // all groups were recently full
		h.reportCircuits(id, 0, 20)
	}
	h.reportCircuits(101, 17, 20)
	demand := peer.circuitDemand.rate(h.controller.now, h.controller.startedAt)
	want := max(max(baseReserve, int(demand+math.Sqrt(demand)))-3, 0)
	if got := h.controller.unusedReserve(peer); got != want {
		t.Fatalf("reserve %d with three direct calls in progress, want %d", got, want)
	}
	peer.directCircuits = 1000 // counts above the reported circuits in use are limited to these
	if got := h.controller.unusedReserve(peer); got != want {
		t.Fatalf("reserve %d with impossible counts, want %d", got, want)
	}
}

// mustAttempt offers a call that must be sent at once.
func (h *harness) mustAttempt(t *testing.T, call Call) *testCall {
	t.Helper()
	offered := h.offer(call)
	if !offered.inFlight {
		t.Fatalf("no attempt was started for call %+v: %v", call, h.lastActions)
	}
	return offered
}

func TestOrderOfWaitingCalls(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for id := uint32(101); id <= 103; id++ {
		h.reportCircuits(id, 0, 20)
	}
	h.controller.peers[1].transitCircuits[3] = 9
	busyTransit := h.offer(Call{Destination: 1, Transit: true, Via: 3, Class: 1})
	idleTransit := h.offer(Call{Destination: 1, Transit: true, Via: 2})
	lowValue := h.offer(Call{Destination: 1})
	highValue := h.offer(Call{Destination: 1, Class: 1})
	wide := h.offer(Call{Destination: 1, Class: 2})
	h.advance(20 * ms)
	order := []*testCall{highValue, lowValue, idleTransit, busyTransit}
	for i, call := range order {
		h.reportCircuits(101, 1, 20)
		if call.inFlight {
			continue
		}
		if i < 2 {
			t.Fatalf("free circuit %d did not go to call %s", i, call.id)
		}
		// A transit call needs the reserve to be free as well.
		h.reportCircuits(101, 1+h.controller.unusedReserve(h.controller.peers[1]), 20)
		if wide.inFlight && !call.inFlight {
			h.reportCircuits(101, 1+h.controller.unusedReserve(h.controller.peers[1]), 20)
		}
		if !call.inFlight {
			t.Fatalf("free circuit %d did not go to call %s: %v", i, call.id, h.lastActions)
		}
	}
}

func TestWideCallWaitsForAllItsCircuits(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.reportCircuits(101, 1, 20)
	call := h.offer(Call{Destination: 1, Class: 2})
	if call.inFlight {
		t.Fatal("attempt started with one free circuit of two")
	}
	h.reportCircuits(101, 2, 20)
	if !call.inFlight {
		t.Fatal("no attempt with two free circuits")
	}
}

func TestWaitWithoutRouteIsBounded(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.reportCircuits(101, 0, 20)
	call := h.offer(Call{Destination: 1})
	transit := h.offer(Call{Destination: 1, Transit: true, Via: 3})
	h.advance(minWait - 10*ms)
	if call.answered || transit.answered {
		t.Fatal("refused before minWait")
	}
	h.advance(maxWait - minWait + 20*ms)
	if !call.answered || !transit.answered {
		t.Fatal("still waiting after maxWait")
	}
}

func TestLowestValueCallGetsATurn(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.reportCircuits(101, 0, 40)
	var highValueCalls []*testCall
	lowValue := h.offer(Call{Destination: 1})
	for i := 0; i < 12; i++ {
		highValueCalls = append(highValueCalls, h.offer(Call{Destination: 1, Class: 1}))
	}
	released := 0
	for i := 0; i < 2*lowestValueInterval && !lowValue.inFlight; i++ {
		h.reportCircuits(101, 1, 40)
		for _, call := range append([]*testCall(nil), h.pending...) {
			if !call.established {
				h.establish(call, 50*ms)
			}
		}
		released++
	}
	if !lowValue.inFlight || released <= 1 {
		t.Fatalf("the call of lower value was served after %d free circuits (%d high-value calls waiting)", released, len(highValueCalls))
	}
}

// One time-out, one unreachable exchange or one busy number has no effect on
// later calls.
func TestSingleFailureHasNoEffect(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeTimedOut, OutcomeUnreachable} {
		h := newHarness(t, testSettings(), 2)
		h.endAttempt(h.mustAttempt(t, Call{Destination: 1}), outcome, 0, time.Second)
		h.mustAttempt(t, Call{Destination: 1})
	}
	h := newHarness(t, testSettings(), 2)
	h.endAttempt(h.mustAttempt(t, Call{Destination: 1, CalledNumber: 5, HasCalledNumber: true}), OutcomeFailed, NoteLinesBusy, 100*ms)
	h.mustAttempt(t, Call{Destination: 1, CalledNumber: 5, HasCalledNumber: true})
}

func TestUnresponsivePeerGetsFewSetups(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for i := 0; i < 100; i++ {
		h.offer(Call{Destination: 1})
		h.advance(100 * ms)
		for _, call := range append([]*testCall(nil), h.pending...) {
			if h.now >= call.answerBy-2*h.settings.Tick {
				h.endAttempt(call, OutcomeTimedOut, 0, 3*time.Second)
			}
		}
	}
	unanswered := len(h.attemptTimes[101])
	if unanswered > 25 {
		t.Fatalf("%d set-ups in 10 s to a peer that never answers", unanswered)
	}
	for i := 0; i < 150; i++ { // the peer answers again
		h.reportCircuits(101, 20, 20)
		h.offer(Call{Destination: 1})
		h.advance(100 * ms)
		for _, call := range append([]*testCall(nil), h.pending...) {
			if !call.established {
				h.establish(call, 50*ms)
				h.endAttempt(call, OutcomeCompleted, 0, 60*ms)
			}
		}
	}
	if n := len(h.attemptTimes[101]) - unanswered; n < 100 {
		t.Fatalf("only %d set-ups in 15 s after the peer answered again", n)
	}
}

func TestAttemptsToBusyNumberAreSpacedOut(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	busyCall := Call{Destination: 1, CalledNumber: 5, HasCalledNumber: true}
	attempts := 0
	for i := 0; i < 100; i++ {
		if call := h.offer(busyCall); call.inFlight {
			attempts++
			h.endAttempt(call, OutcomeFailed, NoteLinesBusy, 50*ms)
		}
		h.advance(50 * ms)
	}
	if attempts > 10 {
		t.Fatalf("%d attempts in 5 s to a busy number", attempts)
	}
	h.mustAttempt(t, Call{Destination: 1}) // other numbers are not affected
	h.advance(12 * time.Second)
	h.mustAttempt(t, busyCall) // the reports have been forgotten
}

func TestSlowAnswersNarrowWindow(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	before := h.controller.peers[1].window
	for i := 0; i < 6; i++ {
		call := h.mustAttempt(t, Call{Destination: 1})
		h.advance(time.Second)
		h.establish(call, time.Second)
	}
	if got := h.controller.peers[1].window; got >= before/2 {
		t.Fatalf("window %v after slow answers, %v before", got, before)
	}
	slow := h.controller.peers[1].window
	for i := 0; i < 30; i++ {
		h.reportCircuits(101, 20, 20)
		call := h.mustAttempt(t, Call{Destination: 1})
		h.advance(50 * ms)
		h.establish(call, 50*ms)
	}
	if h.controller.peers[1].window <= slow {
		t.Fatal("the window did not widen after quick answers")
	}
}

func TestPools(t *testing.T) {
	settings := testSettings()
	settings.Pools, settings.Self = true, -1
	settings.Classes[0].Pools = []int{0, 2}
	h := newHarness(t, settings, 3)
	h.reportCircuits(100, 0, 10)
	h.reportCircuits(101, 9, 10)
	h.reportCircuits(102, 8, 10)
	call := h.mustAttempt(t, Call{Destination: 0})
	if call.exchangeID != 102 {
		t.Fatalf("attempt at pool %d, want 102: pool 101 may not serve the class", call.exchangeID)
	}
}

func TestUnexpectedEvents(t *testing.T) {
	h := &harness{t: t, controller: New(testSettings()), settings: testSettings(), now: time.Hour, calls: map[string]*testCall{},
		listedStates: map[uint32]ExchangeState{}, timers: map[uint64]time.Duration{}, attemptTimes: map[uint32][]time.Duration{}}
	call := h.offer(Call{Destination: 1}) // the exchange list is empty
	h.advance(1100 * ms)
	if !call.answered {
		t.Fatal("no final answer with an empty exchange list")
	}
	h.handle(AttemptEnded{CallID: "unknown", ExchangeID: 5})
	h.handle(CallEstablished{CallID: "unknown", ExchangeID: 5})
	h.handle(GroupStatus{ExchangeID: 5, OK: true})
	h.handle(ExchangeListUpdate{Complete: true, Entries: []Exchange{{ID: 100}, {ID: 101, Number: 1}}})
	h.reportCircuits(101, 0, 0) // no group to this exchange
	call = h.offer(Call{Destination: 1})
	h.advance(1100 * ms)
	if call.inFlight || !call.answered {
		t.Fatal("attempt at an exchange without a group")
	}
	// After a late entry of the old processor, the current one remains in service.
	h.handle(ExchangeListUpdate{Entries: []Exchange{{ID: 201, Number: 1, StartedAt: h.now}}})
	h.handle(ExchangeListUpdate{Entries: []Exchange{{ID: 101, Number: 1, State: OutOfService}}})
	if peer := h.controller.peers[1]; peer.id != 201 || peer.state != InService {
		t.Fatalf("a late entry of the old processor changed the current one: %+v", peer)
	}
}

// The expiry of a timer that an earlier one replaced must not set a new timer, or
// the number of pending timers would grow.
func TestReplacedTimersDoNotAccumulate(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.reportCircuits(101, 0, 20)
	h.offer(Call{Destination: 1})
	for i := 0; i < 5; i++ { // each call needs a timer earlier than the pending one
		h.advance(25 * ms)
		h.offer(Call{Destination: 1, Remaining: 25 * ms})
	}
	h.advance(3 * queueRecheckInterval)
	if n := len(h.timers); n > 2 {
		t.Fatalf("%d pending timers", n)
	}
}

// A class worth much more per circuit-second finds a free circuit. Other classes
// are denied the circuits reserved for it, and no others.
func TestCircuitsReservedForHighValueClasses(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Worth = 6
	h := newHarness(t, settings, 2)
	for i := 0; i < 20; i++ { // demand of one circuit in the high-value class
		h.reportCircuits(101, 20, 20)
		if i%10 == 0 {
			h.mustAttempt(t, Call{Destination: 1, Class: 1})
		}
		h.advance(time.Second)
		for _, call := range append([]*testCall(nil), h.pending...) {
			if !call.established {
				h.establish(call, 50*ms)
			}
			h.endAttempt(call, OutcomeCompleted, 0, 60*ms)
		}
	}
	h.reportCircuits(101, 1, 20)
	lowValue := h.offer(Call{Destination: 1})
	if lowValue.inFlight {
		t.Fatal("a low-value call took the circuit reserved for the high-value class")
	}
	h.mustAttempt(t, Call{Destination: 1, Class: 1})
	h.reportCircuits(101, 6, 20)
	if !lowValue.inFlight {
		t.Fatal("a low-value call was denied circuits that are not reserved")
	}
}

// When many callers leave early, the wait and the target set-up time become
// shorter. A few have no effect.
func TestAbandonedCallsShortenWait(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.reportCircuits(101, 0, 20)
	wait := func() time.Duration {
		call := h.offer(Call{Destination: 1})
		at := h.now
		for !call.answered && h.now < at+2*time.Second {
			h.advance(5 * ms)
		}
		return h.now - at
	}
	leave := func(n, outOf int) {
		for i := 0; i < outOf; i++ {
			call := h.offer(Call{Destination: 1})
			h.advance(400 * ms)
			if i < n {
				call.answered = true
				h.handle(CallAbandoned{CallID: call.id})
			}
		}
	}
	before := wait()
	leave(1, 20) // one or two impatient callers have no effect
	if got := wait(); got != before {
		t.Fatalf("wait %v after one impatient caller, %v before", got, before)
	}
	leave(10, 10)
	if got := wait(); got >= before || got < minWait {
		t.Fatalf("wait %v while callers leave, %v before", got, before)
	}
	h.advance(time.Minute)
	leave(0, 5)
	if got := wait(); got != before {
		t.Fatalf("wait %v long after callers left, %v before", got, before)
	}
}

// A redial after the aim is worth its late worth, marked or not. A redial within
// the aim, a call that was cut off and a call long after are worth the full
// amount.
func TestRedialsAreRecognizedByCalledNumber(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings, 2)
	h.reportCircuits(101, 0, 20)
	worthOf := func(call Call) float64 {
		offered := h.offer(call)
		return h.controller.calls[offered.id].worth
	}
	if w := worthOf(Call{Destination: 1, CalledNumber: 7, HasCalledNumber: true}); w != 1 {
		t.Fatalf("worth of the first attempt is %v, want 1", w)
	}
	h.advance(time.Second)
	if w := worthOf(Call{Destination: 1, CalledNumber: 7, HasCalledNumber: true}); w != 1 {
		t.Fatalf("worth of a redial within the aim is %v, want 1", w)
	}
	h.advance(time.Second)
	if w := worthOf(Call{Destination: 1, CalledNumber: 7, HasCalledNumber: true}); w >= 1 {
		t.Fatalf("worth of a redial after the aim is %v, want less than 1", w)
	}
	if w := worthOf(Call{Destination: 1, CalledNumber: 7, HasCalledNumber: true, Reconnect: true}); w != 1 {
		t.Fatalf("worth of a call that was cut off is %v, want 1", w)
	}
	h.advance(10 * time.Second)
	if w := worthOf(Call{Destination: 1, CalledNumber: 7, HasCalledNumber: true}); w != 1 {
		t.Fatalf("worth of a call long after is %v, want 1", w)
	}
	for i := 0; i < 3*maxRecentNumbers; i++ {
		h.controller.firstAttempt(Call{CalledNumber: uint64(1000 + i), HasCalledNumber: true}, settings.Classes[0])
	}
	if n := len(h.controller.recentNumbers) + len(h.controller.olderNumbers); n > 2*maxRecentNumbers {
		t.Fatalf("%d called numbers stored", n)
	}
}

// Two exchanges have lost contact with each other, while both answer all others.
func TestTandemAroundUnresponsiveDirectRoute(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	for i := 0; i < 4; i++ {
		if call := h.offer(Call{Destination: 1}); call.inFlight && call.exchangeID == 101 {
			h.advance(2 * time.Second)
			h.endAttempt(call, OutcomeTimedOut, 0, 2*time.Second)
			h.advance(time.Second)
			for _, pending := range append([]*testCall(nil), h.pending...) {
				h.endAttempt(pending, OutcomeRejected, NoteNoCircuit, 10*ms)
			}
		}
	}
	call := h.mustAttempt(t, Call{Destination: 1})
	if call.exchangeID != 102 {
		t.Fatalf("attempt over %d, want tandem 102 while the direct route is unresponsive", call.exchangeID)
	}
	window := h.controller.peers[2].window
	h.advance(2 * time.Second)
	h.endAttempt(call, OutcomeTimedOut, 0, 2*time.Second)
	if h.controller.peers[2].window != window {
		t.Fatal("the window of the tandem changed for a loss behind it")
	}
	if call := h.offer(Call{Destination: 1}); call.inFlight && call.exchangeID == 102 {
		t.Fatal("a tandem with an unanswered attempt is used again at once")
	}
}

// A burst of calls, or of cut off calls that are set up again, must not load the
// own processor with all set-ups at once. Quick answers lift the limit.
func TestOwnWindowLimitsBurst(t *testing.T) {
	h := newHarness(t, testSettings(), 14)
	for i := 0; i < 60; i++ {
		h.offer(Call{Destination: 1 + i%13, Reconnect: true})
	}
	if n := len(h.pending); n > initialOwnWindow+1 || n < initialPeerWindow {
		t.Fatalf("%d set-ups pending at once, want about %v", n, initialOwnWindow)
	}
	for _, call := range append([]*testCall(nil), h.pending...) {
		h.establish(call, 50*ms)
	}
	if n := len(h.pending); n < 2*initialPeerWindow {
		t.Fatalf("only %d more set-ups pending after quick answers", n)
	}
}

// Many crankbacks must not load the processors: attempts over tandems use up credit
// that calls established over tandems earn. A single crankback has no effect.
func TestTandemAttemptsAreLimitedByCredit(t *testing.T) {
	countAttempts := func(succeed bool) (n int) {
		settings := testSettings()
		settings.ColdFor = 0
		h := newHarness(t, settings, 40)
		for i := 0; i < 400; i++ {
			h.reportCircuits(101, 0, 20)
			for j := uint32(102); j < 140; j++ {
				h.reportCircuits(j, 20, 20)
			}
			h.offer(Call{Destination: 1})
			h.advance(50 * ms)
			for _, call := range append([]*testCall(nil), h.pending...) {
				switch {
				case call.established:
				case succeed:
					n++
					h.establish(call, 50*ms)
					h.endAttempt(call, OutcomeCompleted, 0, 60*ms)
				default:
					n++
					h.endAttempt(call, OutcomeRejected, NoteCrankback, 50*ms)
				}
			}
		}
		return
	}
	if n := countAttempts(false); n > 60 {
		t.Fatalf("%d attempts in 20 s while every one is cranked back", n)
	}
	if n := countAttempts(true); n < 390 {
		t.Fatalf("only %d of 400 calls over tandems while every one is established", n)
	}
}

// Routing advice for a second leg is preferred among tandems, but only while it is
// recent.
func TestAdvisedTandemComesFirst(t *testing.T) {
	settings := testSettings()
	settings.Advice = true
	h := newHarness(t, settings, 5)
	h.reportCircuits(101, 0, 0) // no group between the two exchanges
	h.reportCircuits(102, 9, 20)
	h.reportCircuits(103, 5, 20)
	h.reportCircuits(104, 20, 20)
	if call := h.offer(Call{Destination: 1, Via: 3}); call.exchangeID != 103 {
		t.Fatalf("attempt over %d, want 103, which was advised", call.exchangeID)
	}
	h.advance(2 * secondLegValidity)
	if call := h.offer(Call{Destination: 1, Via: 7}); call.exchangeID != 104 {
		t.Fatalf("attempt over %d, want 104: the advice has expired and the new one names an unknown exchange", call.exchangeID)
	}
	h.reportCircuits(103, 0, 20)
	if call := h.offer(Call{Destination: 1, Via: 3}); call.exchangeID != 104 {
		t.Fatalf("attempt over %d, want 104: the group to the advised tandem is full", call.exchangeID)
	}
}

// Where some answers are lost, one or two losses must not close a route, and an unanswered
// set-up is retried in time. Where none are lost, time-outs are not shortened.
func TestLostAnswersShortenTimeouts(t *testing.T) {
	h := newHarness(t, testSettings(), 5)
	timeout := func(lossInterval int) time.Duration {
		var last time.Duration
		for i := 0; i < 200; i++ {
			for j := uint32(101); j < 105; j++ {
				h.reportCircuits(j, 20, 20)
			}
			if call := h.offer(Call{Destination: 1 + i%4}); call.inFlight {
				last = h.startedAttempts()[0].Timeout
				h.advance(50 * ms)
				for _, pending := range append([]*testCall(nil), h.pending...) {
					if pending == call && lossInterval > 0 && i%lossInterval == 0 {
						h.endAttempt(pending, OutcomeTimedOut, 0, 50*ms)
					} else {
						h.establish(pending, 50*ms)
						h.endAttempt(pending, OutcomeCompleted, 0, 60*ms)
					}
				}
			}
			h.advance(50 * ms)
		}
		return last
	}
	if got := timeout(0); got < 2*time.Second {
		t.Fatalf("time-out %v without losses", got)
	}
	if got := timeout(3); got > time.Second {
		t.Fatalf("time-out %v with one answer in three lost", got)
	}
	peer := h.controller.peers[1]
	if n := h.controller.lossThreshold(peer); n <= minLossesInRow+1 {
		t.Fatalf("%d losses in a row close a route with one answer in three lost", n)
	}
	window := peer.window
	if h.controller.recordLoss(peer, 0, h.controller.losesAnswers(peer)); peer.window != window {
		t.Fatalf("one loss among many narrowed the window from %v to %v", window, peer.window)
	}
}

// The losses of a route itself must not raise its threshold. Only the other routes show how
// many losses occur by chance.
func TestUnresponsivePeerIsDetectedWhileOthersAnswer(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	peer := h.controller.peers[1]
	for range 50 {
		h.controller.answerRate.add(h.controller.now, 2)
		peer.answerRate.add(h.controller.now, 1)
		peer.lossRate.add(h.controller.now, 1)
		h.controller.lossRate.add(h.controller.now, 1)
	}
	if n := h.controller.lossThreshold(peer); n != minLossesInRow {
		t.Fatalf("%d losses in a row close a route that lost half of all answers while the others lost none", n)
	}
	if n := h.controller.lossThreshold(h.controller.peers[2]); n <= minLossesInRow {
		t.Fatalf("%d losses in a row close another route", n)
	}
}

// The pause between single set-ups is limited by half the shortest aim, so that callers can
// wait for it.
func TestSetupGapIsLimitedByShortestAim(t *testing.T) {
	pauseFor := func(aim time.Duration) time.Duration {
		settings := testSettings()
		for i := range settings.Classes {
			settings.Classes[i].Aim = aim
		}
		h := newHarness(t, settings, 3)
		peer := h.controller.peers[1]
		peer.window = 0.5
		h.controller.narrowWindow(peer, 0.5, minUnresponsiveWindow, 0)
		return peer.blockedUntil - h.controller.now
	}
	if a, b := pauseFor(2*time.Second), pauseFor(250*time.Millisecond); a != 3*setupGap || b != 3*125*time.Millisecond {
		t.Fatalf("pauses of %v and %v at aims of 2 s and 250 ms, want %v and 375 ms", a, b, 3*setupGap)
	}
}

// One set-up each from dozens of controllers overloads a slow processor. With many controllers
// the window falls below one set-up, with few it does not.
func TestSlowPeerAmongManyControllers(t *testing.T) {
	finalWindow := func(n int) float64 {
		settings := testSettings()
		settings.Controllers = n
		h := newHarness(t, settings, 3)
		for i := 0; i < 12; i++ {
			h.reportCircuits(101, 20, 20)
			if call := h.offer(Call{Destination: 1}); call.inFlight {
				h.advance(time.Second)
				h.establish(call, time.Second)
				h.endAttempt(call, OutcomeCompleted, 0, 2*time.Second)
			}
			h.advance(2 * time.Second)
		}
		return h.controller.peers[1].window
	}
	if w := finalWindow(4); w != 1 {
		t.Fatalf("window %v to a slow peer with 3 senders, want 1", w)
	}
	if w := finalWindow(65); w > 0.2 {
		t.Fatalf("window %v to a slow peer with 64 senders", w)
	}
}

// One slow peer says nothing about the load of the own processor while others answer quickly.
func TestOneSlowPeerDoesNotNarrowOwnWindow(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	for i := 0; i < 60; i++ {
		for j := uint32(101); j < 106; j++ {
			h.reportCircuits(j, 20, 20)
		}
		if call := h.offer(Call{Destination: 1 + i%5}); call.inFlight {
			took := 50 * ms
			if call.exchangeID == 101 {
				took = 2 * time.Second
			}
			h.advance(50 * ms)
			h.establish(call, took)
			h.endAttempt(call, OutcomeCompleted, 0, took)
		}
	}
	if h.controller.window < initialOwnWindow {
		t.Fatalf("own window %v with one slow peer of five", h.controller.window)
	}
}

// A transit call to a destination without a group is refused at once.
func TestTransitWithoutGroupIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.reportCircuits(101, 0, 0)
	if call := h.offer(Call{Destination: 1, Transit: true, Via: 2}); !call.answered {
		t.Fatal("a transit call waits for a missing group")
	}
	if call := h.offer(Call{Destination: 1}); !call.inFlight || call.exchangeID == 101 {
		t.Fatal("an own call to a destination without a group was not sent over a tandem at once")
	}
}

// Unusual but harmless input must not change the windows: more than a hundred exchanges and a group
// to only one of them, many new start times at once, a late reset, one lost and one slow answer.
func TestUnusualInputInLargeNetwork(t *testing.T) {
	const n = 120
	settings := testSettings()
	settings.Controllers = n
	h := newHarness(t, settings, n)
	for id := uint32(102); id < 100+n; id++ {
		h.reportCircuits(id, 0, 0)
	}
	call := h.mustAttempt(t, Call{Destination: 1})
	h.establish(call, 50*ms)
	h.endAttempt(call, OutcomeCompleted, 0, time.Second)
	h.handle(AttemptEnded{CallID: call.id, Attempt: 0, ExchangeID: 101, Outcome: OutcomeReset, Elapsed: time.Minute, Final: true})
	remote := h.offer(Call{Destination: 50}) // without a group, so that the only tandem is used at once
	if !remote.inFlight || remote.exchangeID != 101 {
		t.Fatalf("attempt over %d, want 101, the only exchange with a group", remote.exchangeID)
	}
	h.endAttempt(remote, OutcomeRejected, NoteCrankback, 50*ms)
	var restarted []Exchange
	for i := 1; i < n; i++ {
		restarted = append(restarted, Exchange{ID: uint32(1000 + i), Number: i, StartedAt: h.now})
	}
	h.handle(ExchangeListUpdate{Entries: restarted})
	h.advance(settings.ColdFor)
	for i := 1; i < n; i++ {
		h.reportCircuits(uint32(1000+i), 20, 20)
	}
	if n := len(h.controller.numberByID); n > 120 {
		t.Fatalf("%d exchanges stored", n)
	}
	window, own := h.controller.peers[1].window, h.controller.window
	slow := h.mustAttempt(t, Call{Destination: 1})
	h.advance(time.Second)
	h.establish(slow, time.Second)
	lost := h.mustAttempt(t, Call{Destination: 2})
	h.endAttempt(lost, OutcomeTimedOut, 0, time.Second)
	if h.controller.window != own || h.controller.peers[2].window != window {
		t.Fatalf("own window %v, %v before; peer window %v, %v before", h.controller.window, own, h.controller.peers[2].window, window)
	}
	h.advance(setupGap)
	h.mustAttempt(t, Call{Destination: 1})
	h.mustAttempt(t, Call{Destination: 3})
}

// With three exchanges the only tandem is used, and a crankback blocks it for a limited time.
func TestThreeExchanges(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	h.reportCircuits(101, 0, 20)
	call := h.mustAttempt(t, Call{Destination: 1})
	if call.exchangeID != 102 {
		t.Fatalf("attempt over %d, want 102", call.exchangeID)
	}
	h.endAttempt(call, OutcomeRejected, NoteCrankback, 50*ms)
	h.advance(minSecondLegBlock)
	if call := h.mustAttempt(t, Call{Destination: 1}); call.exchangeID != 102 {
		t.Fatalf("attempt over %d, want 102 again", call.exchangeID)
	}
}
