package routing

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func testSettings() Settings {
	return Settings{
		Seed: 7, Self: 0, Controllers: 4, ReleaseWait: 300 * ms, DrainGrace: 250 * ms, AnswerSlack: 20 * ms,
		ColdFrom: 0.3, ColdFor: 12 * time.Second, OverloadFactor: 2, OverloadFor: 2 * time.Second,
		MaxAttempts: 5, BackoffMax: 2 * time.Second, Backoff: true, Cancelling: true, Tick: 5 * ms,
		Classes: []Class{
			{Name: "plain", Worth: 1, LateWorth: .1, Aim: 1500 * ms, GiveUp: 9 * time.Second, Holding: 10 * time.Second, Width: 1},
			{Name: "high-value", Worth: 1.8, LateWorth: .2, Aim: 1500 * ms, GiveUp: 9 * time.Second, Holding: 10 * time.Second, Width: 1},
			{Name: "wide", Worth: 2, LateWorth: .2, Aim: 1500 * ms, GiveUp: 9 * time.Second, Holding: 15 * time.Second, Width: 2},
		},
	}
}

// harness drives a controller and checks every action against the five rules.
type harness struct {
	t            testing.TB
	controller   *Controller
	settings     Settings
	now          time.Duration
	calls        map[string]*testCall
	listedStates map[uint32]ExchangeState
	reportedAt   map[uint32]time.Duration
	timers       map[uint64]time.Duration
	lastActions  []Action
	callCount    int
	attemptTimes map[uint32][]time.Duration
	pending      []*testCall
	unanswered   []*testCall
}

// testCall is a call offered by a harness.
type testCall struct {
	id             string
	answerBy       time.Duration
	answered       bool // has its final answer or is over
	inFlight       bool // has an attempt in flight
	established    bool
	attempt        int
	exchangeID     uint32
	retryNotBefore time.Duration
	class          int
}

// newHarness returns a harness in which all exchanges are in service and all
// groups have 20 free circuits.
func newHarness(t testing.TB, settings Settings, exchanges int) *harness {
	h := &harness{t: t, controller: New(settings), settings: settings, now: time.Hour, calls: map[string]*testCall{}, listedStates: map[uint32]ExchangeState{},
		reportedAt: map[uint32]time.Duration{}, timers: map[uint64]time.Duration{}, attemptTimes: map[uint32][]time.Duration{}}
	var list []Exchange
	for i := 0; i < exchanges; i++ {
		list = append(list, Exchange{ID: uint32(100 + i), Number: i})
	}
	h.handle(ExchangeListUpdate{Complete: true, Entries: list})
	for i := 0; i < exchanges; i++ {
		if i != settings.Self {
			h.reportCircuits(uint32(100+i), 20, 20)
		}
	}
	return h
}

// reportCircuits reports the circuits of the group to an exchange.
func (h *harness) reportCircuits(id uint32, free, size int) {
	h.handle(GroupStatus{ExchangeID: id, OK: true, Report: StatusReport{CircuitsKnown: true, FreeCircuits: free, GroupSize: size}})
}

// handle passes an event to the controller and checks the resulting actions.
func (h *harness) handle(event Event) []Action {
	h.t.Helper()
	if list, ok := event.(ExchangeListUpdate); ok {
		if list.Complete {
			for id := range h.listedStates {
				h.listedStates[id] = OutOfService
			}
		}
		for _, entry := range list.Entries {
			h.listedStates[entry.ID] = entry.State
		}
	}
	h.lastActions = h.controller.Handle(h.now, event)
	for _, action := range h.lastActions {
		h.checkRules(action)
	}
	return h.lastActions
}

func (h *harness) checkRules(action Action) {
	h.t.Helper()
	switch action := action.(type) {
	case StartAttempt:
		call := h.calls[action.CallID]
		switch {
		case call == nil || call.answered:
			h.t.Fatalf("rule 1: attempt for the finished call %s", action.CallID)
		case call.inFlight:
			h.t.Fatalf("rule 2: second attempt in flight for %s", action.CallID)
		case h.listedStates[action.ExchangeID] != InService:
			h.t.Fatalf("rule 3: attempt at exchange %d, which is not in service", action.ExchangeID)
		case h.now < call.retryNotBefore:
			h.t.Fatalf("rule 5: retry of %s is %v too early", action.CallID, call.retryNotBefore-h.now)
		case action.Timeout <= 0:
			h.t.Fatalf("attempt without a time-out")
		}
		call.inFlight, call.exchangeID = true, action.ExchangeID
		h.attemptTimes[action.ExchangeID] = append(h.attemptTimes[action.ExchangeID], h.now)
		h.pending = append(h.pending, call)
	case RefuseCall:
		h.checkFinalAnswer(action.CallID)
	case FailCall:
		h.checkFinalAnswer(action.CallID)
	case SetTimer:
		if action.Delay <= 0 {
			h.t.Fatalf("timer set with delay %v", action.Delay)
		}
		h.timers[action.Token] = h.now + action.Delay
	}
}

func (h *harness) checkFinalAnswer(id string) {
	h.t.Helper()
	call := h.calls[id]
	if call == nil || call.answered {
		h.t.Fatalf("rule 1: second final answer for %s", id)
	}
	if h.now > call.answerBy+h.settings.AnswerSlack {
		h.t.Fatalf("rule 1: final answer for %s after its deadline", id)
	}
	call.answered = true
}

// offer hands over a call, with defaults for the fields that are not set.
func (h *harness) offer(call Call) *testCall {
	h.t.Helper()
	h.callCount++
	call.ID = fmt.Sprint("c", h.callCount)
	if call.Width == 0 {
		call.Width = h.settings.Classes[call.Class].Width
	}
	if !call.HasCalledNumber {
		call.CalledNumber = uint64(10000 + h.callCount)
	}
	if call.Remaining == 0 {
		call.Remaining = 3 * time.Second
	}
	if !call.Transit && !h.settings.Advice {
		call.Via = -1
	}
	tracked := &testCall{id: call.ID, answerBy: h.now + call.Remaining, class: call.Class}
	h.calls[call.ID] = tracked
	h.unanswered = append(h.unanswered, tracked)
	h.handle(call)
	return tracked
}

func (h *harness) establish(call *testCall, elapsed time.Duration) {
	call.established = true
	call.answered = true
	h.handle(CallEstablished{CallID: call.id, Attempt: call.attempt, ExchangeID: call.exchangeID, Elapsed: elapsed})
}

func (h *harness) endAttempt(call *testCall, outcome Outcome, note Note, elapsed time.Duration) {
	final := call.established || outcome == OutcomeCompleted
	if final {
		call.answered = true
	}
	if outcome == OutcomeTimedOut || outcome == OutcomeReset || outcome == OutcomeCancelled {
		call.retryNotBefore = h.now + h.settings.ReleaseWait
	}
	call.inFlight = false
	attempt := call.attempt
	call.attempt++
	for i, pending := range h.pending {
		if pending == call {
			h.pending = append(h.pending[:i], h.pending[i+1:]...)
			break
		}
	}
	h.handle(AttemptEnded{CallID: call.id, Attempt: attempt, ExchangeID: call.exchangeID, Outcome: outcome, Note: note, Elapsed: elapsed, Final: final})
}

// advance lets time pass in ticks and delivers the timers that expire.
func (h *harness) advance(duration time.Duration) {
	h.t.Helper()
	for end := h.now + duration; h.now < end; {
		h.now += h.settings.Tick
		var expired []uint64
		for token, at := range h.timers {
			if at <= h.now {
				expired = append(expired, token)
			}
		}
		slices.Sort(expired)
		for _, token := range expired {
			delete(h.timers, token)
			h.handle(TimerExpired{token})
		}
		unanswered := h.unanswered[:0]
		for _, call := range h.unanswered {
			if !call.answered && !call.inFlight && h.now > call.answerBy+h.settings.AnswerSlack {
				h.t.Fatalf("rule 1: no final answer for %s", call.id)
			}
			if !call.answered {
				unanswered = append(unanswered, call)
			}
		}
		h.unanswered = unanswered
	}
}

// startedAttempts returns the attempts started at the last event.
func (h *harness) startedAttempts() (started []StartAttempt) {
	for _, action := range h.lastActions {
		if attempt, ok := action.(StartAttempt); ok {
			started = append(started, attempt)
		}
	}
	return
}

// No rule may be broken by random valid sequences of events, with fixed seeds.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewSource(seed))
			settings := testSettings()
			h := newHarness(t, settings, 4)
			attempts, calls := 0, 0
			for step := 0; step < 3000; step++ {
				switch n := random.Intn(100); {
				case n < 35:
					call := Call{Class: random.Intn(3), Destination: 1 + random.Intn(3), Remaining: time.Duration(50+random.Intn(3500)) * ms,
						Repeat: random.Intn(4) == 0, Reconnect: random.Intn(20) == 0}
					if random.Intn(5) == 0 {
						call.Transit, call.Via = true, 1+random.Intn(3)
					}
					if random.Intn(10) == 0 {
						call.CalledNumber, call.HasCalledNumber = 5, true
					}
					if random.Intn(200) == 0 {
						call.Remaining = 0
						call.Remaining = time.Nanosecond
					}
					h.offer(call)
				case n < 60:
					h.advance(time.Duration(1+random.Intn(40)) * 5 * ms)
				case n < 80 && len(h.pending) > 0:
					call := h.pending[random.Intn(len(h.pending))]
					took := time.Duration(random.Intn(2000)) * ms
					if !call.established && random.Intn(2) == 0 && !call.answered {
						h.establish(call, took)
					} else if call.established {
						h.endAttempt(call, []Outcome{OutcomeCompleted, OutcomeReset}[random.Intn(2)], 0, took)
					} else {
						outcome := Outcome(1 + random.Intn(7))
						h.endAttempt(call, outcome, Note(random.Intn(5)), took)
					}
				case n < 92:
					id := 100 + random.Intn(4)
					size := random.Intn(20)
					if id != 100 {
						h.reportCircuits(uint32(id), random.Intn(size+1), size)
					}
				case n < 95:
					id := 1 + random.Intn(3)
					entry := Exchange{ID: uint32(100 + id), Number: id, State: ExchangeState(random.Intn(3))}
					if entry.State == InService && random.Intn(2) == 0 {
						entry.StartedAt = h.now
					}
					h.handle(ExchangeListUpdate{Entries: []Exchange{entry}})
				case n < 97:
					ids := make([]string, 0)
					for i := 1; i <= h.callCount; i++ {
						if call := h.calls[fmt.Sprint("c", i)]; !call.answered {
							ids = append(ids, call.id)
						}
					}
					if len(ids) > 0 {
						id := ids[random.Intn(len(ids))]
						h.calls[id].answered = true
						h.handle(CallAbandoned{CallID: id})
					}
				default:
					h.handle(CallAbandoned{CallID: "unknown"})
				}
			}
			// Pending attempts time out at their deadlines. Then every call must have a final answer.
			for i := 0; i < 4; i++ {
				for _, call := range append([]*testCall(nil), h.pending...) {
					if !call.established {
						h.endAttempt(call, OutcomeTimedOut, 0, time.Second)
					}
				}
				h.advance(1200 * ms)
			}
			for _, call := range h.calls {
				if !call.answered {
					t.Fatalf("rule 1: %s never had a final answer", call.id)
				}
				calls++
			}
			for _, times := range h.attemptTimes {
				attempts += len(times)
			}
			if attempts < 100 || calls < 500 {
				t.Fatalf("too little happened: %d attempts, %d calls", attempts, calls)
			}
			for _, peer := range h.controller.peersByNumber {
				if peer.pendingSetups < 0 || peer.directCircuits < 0 {
					t.Fatalf("negative counts at exchange %d: %d pending set-ups, %d direct circuits", peer.number, peer.pendingSetups, peer.directCircuits)
				}
			}
		})
	}
}

func TestFinalAnswerBeforeDeadline(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for i := 1; i < 4; i++ {
		h.reportCircuits(uint32(100+i), 0, 20)
	}
	call := h.offer(Call{Destination: 1, Remaining: 200 * ms})
	h.advance(200 * ms)
	if !call.answered {
		t.Fatal("no final answer before the caller's deadline")
	}
	expired := h.offer(Call{Destination: 1, Remaining: time.Nanosecond})
	h.advance(10 * ms)
	if !expired.answered {
		t.Fatal("no final answer for a call whose deadline had passed")
	}
}

func TestRetryWaitsForReleaseTime(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	call := h.offer(Call{Destination: 1})
	h.endAttempt(call, OutcomeReset, 0, 100*ms)
	h.advance(295 * ms)
	if call.inFlight {
		t.Fatal("retried within the release time")
	}
	h.advance(600 * ms)
	if !call.inFlight {
		t.Fatal("not retried after the release time, before its deadline")
	}
}

func TestNoSetupToDrainingExchange(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.handle(ExchangeListUpdate{Entries: []Exchange{{ID: 101, Number: 1, State: Draining}}})
	call := h.offer(Call{Destination: 1})
	h.advance(1200 * ms)
	if len(h.attemptTimes[101]) > 0 || !call.answered {
		t.Fatal("a set-up went to a draining exchange, or the call had no final answer")
	}
	// An exchange missing from a complete list is out of service.
	h.handle(ExchangeListUpdate{Complete: true, Entries: []Exchange{{ID: 100, Number: 0}, {ID: 102, Number: 2}}})
	call = h.offer(Call{Destination: 3})
	h.advance(1200 * ms)
	if len(h.attemptTimes[103]) > 0 || !call.answered {
		t.Fatal("a set-up went to a removed exchange, or the call had no final answer")
	}
}

// The set-ups of all controllers together, each with an equal share of the calls,
// must stay within the budget of a cold processor.
func TestSetupsToColdProcessorAreLimited(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings, 4)
	const interval = 200 * ms // 5 calls per second to exchange 1 under normal load
	runLoad := func(duration time.Duration, callsPerInterval int) {
		for end := h.now + duration; h.now < end; {
			for i := 0; i < callsPerInterval; i++ {
				h.offer(Call{Destination: 1})
			}
			h.advance(interval)
			for _, call := range append([]*testCall(nil), h.pending...) {
				if !call.established {
					h.establish(call, 100*ms)
					h.endAttempt(call, OutcomeCompleted, 0, 200*ms)
				}
			}
			h.reportCircuits(101, 20, 20)
		}
	}
	runLoad(20*time.Second, 1)
	restartedAt := h.now
	h.handle(ExchangeListUpdate{Entries: []Exchange{{ID: 101, Number: 1, StartedAt: h.now}}})
	runLoad(10*time.Second, 4) // four times as many, with redials
	var setupTimes []time.Duration
	for _, at := range h.attemptTimes[101] {
		if at > restartedAt {
			setupTimes = append(setupTimes, at-restartedAt)
		}
	}
	early := 0
	for _, at := range setupTimes {
		if at <= settings.OverloadFor {
			early++
		}
	}
	// 2 x 0.3 of 5 per second over 2 s is 6.
	if early > 7 {
		t.Fatalf("%d set-ups in the first %v", early, settings.OverloadFor)
	}
	if len(setupTimes) < 10 {
		t.Fatalf("too few set-ups to the cold processor: %d in 10 s", len(setupTimes))
	}
}

// The budget is kept in every interval, however many callers redial at once.
func TestColdBudgetUnderRandomLoad(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		random := rand.New(rand.NewSource(seed))
		settings := testSettings()
		h := newHarness(t, settings, 4)
		runLoad := func(duration time.Duration, callsPerSecond float64) {
			for end := h.now + duration; h.now < end; {
				for calls := callsPerSecond / 20; calls > 0; calls-- {
					if random.Float64() < calls {
						h.offer(Call{Destination: 1})
					}
				}
				h.advance(50 * ms)
				for _, call := range append([]*testCall(nil), h.pending...) {
					if !call.established && random.Intn(2) == 0 {
						h.establish(call, 50*ms)
						h.endAttempt(call, OutcomeCompleted, 0, 60*ms)
					}
				}
				h.reportCircuits(101, 20, 20)
			}
		}
		runLoad(30*time.Second, 5)
		restartedAt := h.now
		h.handle(ExchangeListUpdate{Entries: []Exchange{{ID: 101, Number: 1, StartedAt: restartedAt}}})
		runLoad(settings.ColdFor, 10+float64(random.Intn(30)))
		setupTimes := h.attemptTimes[101]
		for _, intervalStart := range setupTimes {
			if intervalStart <= restartedAt {
				continue
			}
			n := 0
			for _, at := range setupTimes {
				if at >= intervalStart && at < intervalStart+settings.OverloadFor {
					n++
				}
			}
			age := float64(intervalStart-restartedAt) / float64(settings.ColdFor)
			budget := settings.OverloadFactor * (settings.ColdFrom + (1-settings.ColdFrom)*age) * 5 * settings.OverloadFor.Seconds()
			if float64(n) > 1.5*budget+2 {
				t.Fatalf("seed %d: %d set-ups in the interval from %v, budget %.1f", seed, n, intervalStart-restartedAt, budget)
			}
		}
	}
}

// Many controllers, each with few calls to a cold exchange: their first set-ups do not arrive all at
// once, the sum stays within the budget, and few send nothing during the warm-up.
func TestColdExchangeAmongManyControllers(t *testing.T) {
	const n = 100
	var setupTimes []time.Duration
	withoutSetup := 0
	for number := 1; number <= n; number++ {
		settings := testSettings()
		settings.Self, settings.Me, settings.Controllers = number, number, n
		h := newHarness(t, settings, n+1)
		for i := 0; i < 4; i++ { // one call in five seconds before the restart
			call := h.mustAttempt(t, Call{Destination: 0})
			h.advance(50 * ms)
			h.establish(call, 50*ms)
			h.endAttempt(call, OutcomeCompleted, 0, 60*ms)
			h.advance(5 * time.Second)
		}
		restartedAt, before := h.now, len(h.attemptTimes[900])
		h.handle(ExchangeListUpdate{Entries: []Exchange{{ID: 900, Number: 0, StartedAt: h.now}}})
		for h.now < restartedAt+settings.ColdFor { // ten times that after the restart
			h.reportCircuits(900, 20, 20)
			h.offer(Call{Destination: 0})
			h.advance(500 * ms)
			for _, pending := range append([]*testCall(nil), h.pending...) {
				if pending.exchangeID == 900 && !pending.established {
					h.establish(pending, 50*ms)
					h.endAttempt(pending, OutcomeCompleted, 0, 60*ms)
				}
			}
		}
		attempts := h.attemptTimes[900][before:]
		if len(attempts) == 0 {
			withoutSetup++
		}
		for _, at := range attempts {
			if at-restartedAt < settings.ColdFor { // the processor is cold until then
				setupTimes = append(setupTimes, at-restartedAt)
			}
		}
	}
	slices.Sort(setupTimes)
	// Before the restart it handled n/5 set-ups per second, so that is the least capacity.
	budget := 0.3 * 2 * 2 * n / 5
	for i := range setupTimes {
		j := i
		for j < len(setupTimes) && setupTimes[j] < setupTimes[i]+2*time.Second {
			j++
		}
		capacity := 0.3 + 0.7*setupTimes[i].Seconds()/12
		if float64(j-i) > budget/0.3*capacity*1.5 {
			t.Fatalf("%d set-ups within two seconds from %v, budget %.0f", j-i, setupTimes[i], budget/0.3*capacity)
		}
	}
	if withoutSetup > n/20 {
		t.Fatalf("%d of %d controllers sent nothing during the warm-up", withoutSetup, n)
	}
}
