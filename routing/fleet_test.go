package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetSimulation runs many controllers against exchanges that answer at once and never lack circuits.
// It measures how many set-ups reach a cold exchange.
type fleetSimulation struct {
	controllers []*Controller
	random      *rand.Rand
	queue       eventQueue
	sequence    int
	now         time.Duration
	calls       map[string]*fleetCall
	setupTimes  map[int][]time.Duration // times of set-ups, by exchange number
	endAt       time.Duration
}

// fleetCall is a call with the index of its controller and the numbers of redials
// and attempts made.
type fleetCall struct {
	Call
	controller, redials, attempts int
}

// scheduledEvent is a function to run at a simulated time.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of events by time, then by the order of scheduling.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func (s *fleetSimulation) schedule(at time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledEvent{at, s.sequence, run})
}

// deliver passes an event to a controller and carries out the resulting actions.
func (s *fleetSimulation) deliver(controller int, event Event) {
	for _, action := range s.controllers[controller].Handle(s.now, event) {
		switch action := action.(type) {
		case StartAttempt:
			call := s.calls[action.CallID]
			attempt := call.attempts
			call.attempts++
			s.setupTimes[int(action.ExchangeID-1)%100] = append(s.setupTimes[int(action.ExchangeID-1)%100], s.now)
			if s.controllers[controller].settings.Self != int(action.ExchangeID-1)%100 { // a set-up loads the own processor too
				s.setupTimes[controller] = append(s.setupTimes[controller], s.now)
			}
			s.schedule(s.now+20*time.Millisecond, func() {
				s.deliver(controller, CallEstablished{CallID: action.CallID, Attempt: attempt, ExchangeID: action.ExchangeID, Elapsed: 20 * time.Millisecond})
				s.schedule(s.now+s.exponential(2*time.Second), func() {
					s.deliver(controller, AttemptEnded{CallID: action.CallID, Attempt: attempt, ExchangeID: action.ExchangeID, Outcome: OutcomeCompleted, Final: true})
				})
			})
		case RefuseCall: // half of the callers wait as long as asked, the others redial sooner
			call := *s.calls[action.CallID]
			if call.redials++; call.redials < 3 {
				wait := action.RetryAfter
				if s.random.IntN(2) == 0 {
					wait = 700 * time.Millisecond
				}
				s.schedule(s.now+wait, func() { s.offerCall(call.controller, call.Destination, call.redials) })
			}
		case SetTimer:
			s.schedule(s.now+action.Delay, func() { s.deliver(controller, TimerExpired{Token: action.Token}) })
		}
	}
}

// exponential returns a random duration with an exponential distribution.
func (s *fleetSimulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

func (s *fleetSimulation) offerCall(controller, destination, redials int) {
	s.sequence++
	call := &fleetCall{controller: controller, redials: redials, Call: Call{ID: fmt.Sprint(s.sequence), Remaining: 3 * time.Second, Destination: destination, Width: 1,
		Via: -1, HasCalledNumber: true, CalledNumber: uint64(s.sequence), Repeat: redials > 0}}
	s.calls[call.ID] = call
	s.deliver(controller, call.Call)
}

// generateCalls offers calls of one controller to one exchange at a mean rate per second.
func (s *fleetSimulation) generateCalls(controller, destination int, rate float64) {
	next := s.now + s.exponential(time.Duration(float64(time.Second)/rate))
	if next < s.endAt {
		s.schedule(next, func() {
			s.offerCall(controller, destination, 0)
			s.generateCalls(controller, destination, rate)
		})
	}
}

func (s *fleetSimulation) run() {
	for s.queue.Len() > 0 && s.queue[0].at < s.endAt {
		event := heap.Pop(&s.queue).(scheduledEvent)
		s.now = event.at
		event.run()
	}
}

// A third of the exchanges is out of service for a while and restarts cold, while refused callers redial.
// The set-ups of all controllers together, with unequal traffic and with the first ones after the restart,
// must stay within the budget of a cold processor plus twice its square root plus two.
func TestColdExchangesAreNotOverloadedByAllControllers(t *testing.T) {
	type testNetwork struct {
		controllers    int
		coldFrom       float64
		coldFor        time.Duration
		overloadFactor float64
		overloadFor    time.Duration
		callRate       float64 // calls per second, over all controllers
	}
	for number, network := range []testNetwork{
		{36, 0.29, 13 * time.Second, 2.5, 3 * time.Second, 300},
		{20, 0.2, 9 * time.Second, 2, 2 * time.Second, 80},
		{30, 0.4, 8 * time.Second, 4, 3 * time.Second, 40},
	} {
		for seed := range uint64(3) {
			s := &fleetSimulation{random: rand.New(rand.NewPCG(seed, uint64(number))), calls: map[string]*fleetCall{}, setupTimes: map[int][]time.Duration{},
				now: time.Hour, endAt: time.Hour + 40*time.Second}
			weights := make([]float64, network.controllers) // some have several times the mean load
			totalWeight := 0.0
			for controller := range weights {
				weights[controller] = 1 / float64(1+controller%9)
				totalWeight += weights[controller]
			}
			var list []Exchange
			for exchange := range network.controllers {
				list = append(list, Exchange{ID: uint32(exchange + 1), Number: exchange})
			}
			demand := make([]float64, network.controllers) // calls per second that load an exchange, its own callers included
			for controller := range network.controllers {
				s.controllers = append(s.controllers, New(Settings{Seed: seed*1000 + uint64(controller), Self: controller, Me: controller, Controllers: network.controllers, MaxAttempts: 6,
					ReleaseWait: 300 * time.Millisecond, Cancelling: true, DrainGrace: 250 * time.Millisecond, Backoff: true,
					BackoffMax: 2 * time.Second, Tick: time.Millisecond, MarksRepeat: true, ColdFrom: network.coldFrom, ColdFor: network.coldFor,
					OverloadFactor: network.overloadFactor, OverloadFor: network.overloadFor,
					Classes: []Class{{Name: "voice", Worth: 1, LateWorth: 0.1, Aim: time.Second, GiveUp: 9 * time.Second, Holding: 2 * time.Second, Width: 1}}}))
				s.deliver(controller, ExchangeListUpdate{Complete: true, Entries: list})
				for exchange := range network.controllers {
					s.deliver(controller, GroupStatus{ExchangeID: uint32(exchange + 1), OK: true, Report: StatusReport{CircuitsKnown: true, FreeCircuits: 1000, GroupSize: 1000}})
					if exchange != controller {
						rate := network.callRate * weights[controller] / totalWeight * weights[exchange] / (totalWeight - weights[controller])
						demand[exchange] += rate
						demand[controller] += rate
						s.generateCalls(controller, exchange, rate)
					}
				}
			}
			stoppedAt, restartedAt := s.now+15*time.Second, s.now+20*time.Second
			for controller := range network.controllers {
				delay := time.Duration(s.random.Int64N(int64(1500 * time.Millisecond)))
				var removed, restarted []Exchange
				for exchange := 0; exchange < network.controllers; exchange += 3 {
					removed = append(removed, Exchange{ID: uint32(exchange + 1), Number: exchange, State: OutOfService})
					restarted = append(restarted, Exchange{ID: uint32(exchange + 101), Number: exchange, StartedAt: restartedAt})
				}
				s.schedule(stoppedAt+delay, func() { s.deliver(controller, ExchangeListUpdate{Entries: removed}) })
				s.schedule(restartedAt+delay, func() {
					s.deliver(controller, ExchangeListUpdate{Entries: restarted})
					for _, entry := range restarted {
						s.deliver(controller, GroupStatus{ExchangeID: entry.ID, OK: true, Report: StatusReport{CircuitsKnown: true, FreeCircuits: 1000, GroupSize: 1000}})
					}
				})
				if seed > 0 && uint64(controller)%3 < seed { // this controller restarts after them and has no history
					s.schedule(restartedAt+1500*time.Millisecond+time.Duration(s.random.Int64N(int64(6*time.Second))), func() {
						s.controllers[controller] = New(s.controllers[controller].settings)
						s.deliver(controller, ExchangeListUpdate{Complete: true, Entries: append(slices.Clone(list), restarted...)})
						for _, exchange := range append(slices.Clone(list), restarted...) {
							s.deliver(controller, GroupStatus{ExchangeID: exchange.ID, OK: true, Report: StatusReport{CircuitsKnown: true, FreeCircuits: 1000, GroupSize: 1000}})
						}
					})
				}
			}
			s.run()
			maxBudgetShare := 0.0
			for exchange := 0; exchange < network.controllers; exchange += 3 {
				capacity := demand[exchange] / 0.8
				setupTimes := s.setupTimes[exchange]
				for first := range setupTimes {
					if setupTimes[first] < restartedAt || setupTimes[first]-restartedAt >= network.coldFor {
						continue
					}
					count := 0
					for _, at := range setupTimes[first:] {
						if at-setupTimes[first] >= network.overloadFor {
							break
						}
						count++
					}
					coldCapacity := network.coldFrom + (1-network.coldFrom)*float64(setupTimes[first]-restartedAt)/float64(network.coldFor)
					budget := network.overloadFactor * coldCapacity * capacity * network.overloadFor.Seconds()
					maxBudgetShare = max(maxBudgetShare, float64(count)/(budget+2*math.Sqrt(budget)+2))
					if float64(count) > budget+2*math.Sqrt(budget)+2 {
						t.Errorf("network %d, seed %d: exchange %d got %d set-ups in %v at %v after its restart, budget %.1f plus %.1f for chance",
							number, seed, exchange, count, network.overloadFor, setupTimes[first]-restartedAt, budget, 2*math.Sqrt(budget)+2)
						break
					}
				}
			}
			t.Logf("network %d, seed %d: at most %.2f of the allowed set-ups, %d calls in all", number, seed, maxBudgetShare, len(s.calls))
		}
	}
}

// A controller that starts while exchanges are cold has no call rate from before their start. It limits
// its set-ups by the rate of first attempts, without redials.
func TestControllerStartedAfterColdExchangeCountsFirstAttempts(t *testing.T) {
	countAttempts := func(redials int) (attempts int) {
		controller := New(Settings{Seed: 1, Self: 0, Controllers: 36, MaxAttempts: 6, ReleaseWait: 300 * time.Millisecond, MarksRepeat: true,
			Tick: time.Millisecond, ColdFrom: 0.3, ColdFor: 13 * time.Second, OverloadFactor: 2.5, OverloadFor: 3 * time.Second,
			Classes: []Class{{Name: "voice", Worth: 1, Aim: time.Second, GiveUp: 9 * time.Second, Holding: 2 * time.Second, Width: 1}}})
		now := time.Hour
		controller.Handle(now, ExchangeListUpdate{Complete: true, Entries: []Exchange{{ID: 1, Number: 0}, {ID: 2, Number: 1, StartedAt: now - 2*time.Second}}})
		controller.Handle(now, GroupStatus{ExchangeID: 2, OK: true, Report: StatusReport{CircuitsKnown: true, FreeCircuits: 1000, GroupSize: 1000}})
		for i := range 40 * (1 + redials) { // ten first attempts per second
			now += 100 * time.Millisecond / time.Duration(1+redials)
			for _, action := range controller.Handle(now, Call{ID: fmt.Sprint(i), Remaining: 9 * time.Second, Destination: 1, Width: 1, Via: -1, Repeat: i%(1+redials) > 0}) {
				if attempt, ok := action.(StartAttempt); ok {
					attempts++
					controller.Handle(now, CallEstablished{CallID: attempt.CallID, ExchangeID: 2, Elapsed: time.Millisecond})
				}
			}
		}
		return attempts
	}
	if n := countAttempts(0); n < 25 || n > 40 {
		t.Errorf("attempts for %d of 40 calls in 4 s", n)
	}
	if without, with := countAttempts(0), countAttempts(3); with > without+5 {
		t.Errorf("%d attempts without redials, %d with redials", without, with)
	}
}
