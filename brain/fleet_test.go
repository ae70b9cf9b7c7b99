package brain

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetSimulation plays many controllers against exchanges that answer at once and have circuits enough: what is
// looked at is only how many set-ups reach an exchange that has just started.
type fleetSimulation struct {
	controllers []*Controller
	random      *rand.Rand
	queue       eventQueue
	sequence    int
	now         time.Duration
	calls       map[string]*fleetCall
	setupTimes  map[int][]time.Duration // set-ups by exchange, when they were sent
	endAt       time.Duration
}

type fleetCall struct {
	Call
	controller, redials, attempts int
}

type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []scheduledEvent

func (m eventQueue) Len() int { return len(m) }
func (m eventQueue) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].sequence < m[j].sequence
}
func (m eventQueue) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *eventQueue) Push(x any)   { *m = append(*m, x.(scheduledEvent)) }
func (m *eventQueue) Pop() any {
	x := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return x
}

func (f *fleetSimulation) schedule(t time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.queue, scheduledEvent{t, f.sequence, do})
}

func (f *fleetSimulation) deliver(k int, e Event) {
	for _, a := range f.controllers[k].Handle(f.now, e) {
		switch a := a.(type) {
		case StartAttempt:
			c := f.calls[a.CallID]
			n := c.attempts
			c.attempts++
			f.setupTimes[int(a.ExchangeID-1)%100] = append(f.setupTimes[int(a.ExchangeID-1)%100], f.now)
			if f.controllers[k].settings.Self != int(a.ExchangeID-1)%100 { // the own processor has work of it too
				f.setupTimes[k] = append(f.setupTimes[k], f.now)
			}
			f.schedule(f.now+20*time.Millisecond, func() {
				f.deliver(k, CallEstablished{CallID: a.CallID, Attempt: n, ExchangeID: a.ExchangeID, Elapsed: 20 * time.Millisecond})
				f.schedule(f.now+f.exponential(2*time.Second), func() {
					f.deliver(k, AttemptEnded{CallID: a.CallID, Attempt: n, ExchangeID: a.ExchangeID, Outcome: OutcomeCompleted, Final: true})
				})
			})
		case RefuseCall: // half of the callers stay away as long as they are told, the others come sooner
			c := *f.calls[a.CallID]
			if c.redials++; c.redials < 3 {
				wait := a.RetryAfter
				if f.random.IntN(2) == 0 {
					wait = 700 * time.Millisecond
				}
				f.schedule(f.now+wait, func() { f.offerCall(c.controller, c.Destination, c.redials) })
			}
		case SetTimer:
			f.schedule(f.now+a.Delay, func() { f.deliver(k, TimerExpired{Token: a.Token}) })
		}
	}
}

func (f *fleetSimulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(mean))
}

func (f *fleetSimulation) offerCall(k, dest, tries int) {
	f.sequence++
	c := &fleetCall{controller: k, redials: tries, Call: Call{ID: fmt.Sprint(f.sequence), Remaining: 3 * time.Second, Destination: dest, Width: 1,
		Via: -1, HasCalledNumber: true, CalledNumber: uint64(f.sequence), Repeat: tries > 0}}
	f.calls[c.ID] = c
	f.deliver(k, c.Call)
}

// generateCalls are calls of one controller to one exchange, at a mean rate a second.
func (f *fleetSimulation) generateCalls(k, dest int, rate float64) {
	next := f.now + f.exponential(time.Duration(float64(time.Second)/rate))
	if next < f.endAt {
		f.schedule(next, func() { f.offerCall(k, dest, 0); f.generateCalls(k, dest, rate) })
	}
}

func (f *fleetSimulation) run() {
	for f.queue.Len() > 0 && f.queue[0].at < f.endAt {
		m := heap.Pop(&f.queue).(scheduledEvent)
		f.now = m.at
		m.run()
	}
}

// A zone comes back cold: a third of the exchanges is off the list for a while, then starts again, while
// callers who were refused come again. All controllers together, with unequal traffic, first sends after
// the change included, stay within what the settings allow a cold processor, and twice its root and two.
func TestAZoneThatComesBackColdIsNotPushedOver(t *testing.T) {
	type site struct {
		controllers int
		from        float64
		cold        time.Duration
		factor      float64
		over        time.Duration
		rate        float64 // calls a second, of all
	}
	for i, s := range []site{
		{36, 0.29, 13 * time.Second, 2.5, 3 * time.Second, 300},
		{20, 0.2, 9 * time.Second, 2, 2 * time.Second, 80},
		{30, 0.4, 8 * time.Second, 4, 3 * time.Second, 40},
	} {
		for seed := range uint64(3) {
			f := &fleetSimulation{random: rand.New(rand.NewPCG(seed, uint64(i))), calls: map[string]*fleetCall{}, setupTimes: map[int][]time.Duration{},
				now: time.Hour, endAt: time.Hour + 40*time.Second}
			weight := make([]float64, s.controllers) // some see several times the mean
			sum := 0.0
			for k := range weight {
				weight[k] = 1 / float64(1+k%9)
				sum += weight[k]
			}
			var rows []Exchange
			for x := range s.controllers {
				rows = append(rows, Exchange{ID: uint32(x + 1), Number: x})
			}
			demand := make([]float64, s.controllers) // at an exchange, with its own callers' calls
			for k := range s.controllers {
				f.controllers = append(f.controllers, New(Settings{Seed: seed*1000 + uint64(k), Self: k, Me: k, Controllers: s.controllers, MaxAttempts: 6,
					ReleaseWait: 300 * time.Millisecond, Cancelling: true, DrainGrace: 250 * time.Millisecond, Backoff: true,
					BackoffMax: 2 * time.Second, Tick: time.Millisecond, MarksRepeat: true, ColdFrom: s.from, ColdFor: s.cold,
					OverloadFactor: s.factor, OverloadFor: s.over,
					Classes: []Class{{Name: "voice", Worth: 1, LateWorth: 0.1, Aim: time.Second, GiveUp: 9 * time.Second, Holding: 2 * time.Second, Width: 1}}}))
				f.deliver(k, ExchangeListUpdate{Complete: true, Entries: rows})
				for x := range s.controllers {
					f.deliver(k, GroupStatus{ExchangeID: uint32(x + 1), OK: true, Report: StatusReport{CircuitsKnown: true, FreeCircuits: 1000, GroupSize: 1000}})
					if x != k {
						rate := s.rate * weight[k] / sum * weight[x] / (sum - weight[k])
						demand[x] += rate
						demand[k] += rate
						f.generateCalls(k, x, rate)
					}
				}
			}
			down, up := f.now+15*time.Second, f.now+20*time.Second
			for k := range s.controllers {
				heard := time.Duration(f.random.Int64N(int64(1500 * time.Millisecond)))
				var gone, back []Exchange
				for x := 0; x < s.controllers; x += 3 {
					gone = append(gone, Exchange{ID: uint32(x + 1), Number: x, State: OutOfService})
					back = append(back, Exchange{ID: uint32(x + 101), Number: x, StartedAt: up})
				}
				f.schedule(down+heard, func() { f.deliver(k, ExchangeListUpdate{Entries: gone}) })
				f.schedule(up+heard, func() {
					f.deliver(k, ExchangeListUpdate{Entries: back})
					for _, b := range back {
						f.deliver(k, GroupStatus{ExchangeID: b.ID, OK: true, Report: StatusReport{CircuitsKnown: true, FreeCircuits: 1000, GroupSize: 1000}})
					}
				})
				if seed > 0 && uint64(k)%3 < seed { // this one starts again after them, knowing nothing
					f.schedule(up+1500*time.Millisecond+time.Duration(f.random.Int64N(int64(6*time.Second))), func() {
						f.controllers[k] = New(f.controllers[k].settings)
						f.deliver(k, ExchangeListUpdate{Complete: true, Entries: append(slices.Clone(rows), back...)})
						for _, x := range append(slices.Clone(rows), back...) {
							f.deliver(k, GroupStatus{ExchangeID: x.ID, OK: true, Report: StatusReport{CircuitsKnown: true, FreeCircuits: 1000, GroupSize: 1000}})
						}
					})
				}
			}
			f.run()
			worst := 0.0
			for x := 0; x < s.controllers; x += 3 {
				capacity := demand[x] / 0.8
				sends := f.setupTimes[x]
				for a := range sends {
					if sends[a] < up || sends[a]-up >= s.cold {
						continue
					}
					n := 0
					for _, at := range sends[a:] {
						if at-sends[a] >= s.over {
							break
						}
						n++
					}
					have := s.from + (1-s.from)*float64(sends[a]-up)/float64(s.cold)
					budget := s.factor * have * capacity * s.over.Seconds()
					worst = max(worst, float64(n)/(budget+2*math.Sqrt(budget)+2))
					if float64(n) > budget+2*math.Sqrt(budget)+2 {
						t.Errorf("site %d, seed %d: exchange %d got %d set-ups in %v at %v after its start; %.1f are allowed and %.1f more are chance",
							i, seed, x, n, s.over, sends[a]-up, budget, 2*math.Sqrt(budget)+2)
						break
					}
				}
			}
			t.Logf("site %d, seed %d: at the most %.2f of what is allowed; %d set-ups in the day", i, seed, worst, len(f.calls))
		}
	}
}

// A controller that starts while exchanges are cold knows no demand of before their start: it paces its
// set-ups to them by the first tries that it sees, redials not counted.
func TestAControllerThatStartsAfterAColdExchangePacesByFirstTries(t *testing.T) {
	send := func(redials int) (sent int) {
		k := New(Settings{Seed: 1, Self: 0, Controllers: 36, MaxAttempts: 6, ReleaseWait: 300 * time.Millisecond, MarksRepeat: true,
			Tick: time.Millisecond, ColdFrom: 0.3, ColdFor: 13 * time.Second, OverloadFactor: 2.5, OverloadFor: 3 * time.Second,
			Classes: []Class{{Name: "voice", Worth: 1, Aim: time.Second, GiveUp: 9 * time.Second, Holding: 2 * time.Second, Width: 1}}})
		now := time.Hour
		k.Handle(now, ExchangeListUpdate{Complete: true, Entries: []Exchange{{ID: 1, Number: 0}, {ID: 2, Number: 1, StartedAt: now - 2*time.Second}}})
		k.Handle(now, GroupStatus{ExchangeID: 2, OK: true, Report: StatusReport{CircuitsKnown: true, FreeCircuits: 1000, GroupSize: 1000}})
		for i := range 40 * (1 + redials) { // ten first tries a second
			now += 100 * time.Millisecond / time.Duration(1+redials)
			for _, a := range k.Handle(now, Call{ID: fmt.Sprint(i), Remaining: 9 * time.Second, Destination: 1, Width: 1, Via: -1, Repeat: i%(1+redials) > 0}) {
				if s, ok := a.(StartAttempt); ok {
					sent++
					k.Handle(now, CallEstablished{CallID: s.CallID, ExchangeID: 2, Elapsed: time.Millisecond})
				}
			}
		}
		return sent
	}
	if n := send(0); n < 25 || n > 40 {
		t.Errorf("%d of 40 calls sent in 4 s", n)
	}
	if alone, with := send(0), send(3); with > alone+5 {
		t.Errorf("%d sent, %d with redials", alone, with)
	}
}
