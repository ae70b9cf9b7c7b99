package simulation_test

import (
	"container/heap"
	"strings"
	"testing"
	"time"

	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/standin/exchange"
	"dahliaspindle/internal/standin/simulation"
	"dahliaspindle/scenarios"
)

// coarseClock is a virtual clock whose timers fire up to a tick late, as real timers
// may do.
type coarseClock struct {
	now, tick    time.Duration
	pending      eventQueue
	lastSequence int
}

// event is a pending timer.
type event struct {
	at       time.Duration
	sequence int
	callback func()
}

// eventQueue is a heap of events in order of time and creation.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int)   { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(added any) { *e = append(*e, added.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (c *coarseClock) Now() time.Duration { return c.now }
func (c *coarseClock) After(delay time.Duration, callback func()) {
	c.lastSequence++
	heap.Push(&c.pending, event{(c.now + max(delay, 0) + c.tick).Truncate(c.tick), c.lastSequence, callback})
}

// unreachableEnvironment is an environment without controllers.
type unreachableEnvironment struct{}

func (unreachableEnvironment) Listen(uint32) (string, error)                            { return "nowhere", nil }
func (unreachableEnvironment) StopListening(uint32)                                     {}
func (unreachableEnvironment) CloseConns(uint32, string, func(*exchange.Conn) bool) int { return 0 }
func (unreachableEnvironment) SetFault(uint32, simulation.Fault, bool)                  {}
func (unreachableEnvironment) SetListUnavailable(bool)                                  {}
func (unreachableEnvironment) SendMalformed(float64) func()                             { return func() {} }
func (unreachableEnvironment) RestartController(int)                                    {}
func (unreachableEnvironment) Record(string, any)                                       {}

// The callers generate calls at the rate of the scenario however late timers fire
// (open loop). When each interval began at the late timer before it, a third of the
// calls was missing at 30 exchanges.
func TestCallsArriveAtConfiguredRate(t *testing.T) {
	text, _ := scenarios.XML("bad-day")
	scenario, err := settings.ParseScenario("bad-day", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	scenario.Troubles, scenario.Fleet.Exchanges, scenario.Load.Level, scenario.Load.Swing = nil, 30, 1, 0
	clock := &coarseClock{tick: time.Millisecond}
	sim, err := simulation.New(scenario, clock, unreachableEnvironment{})
	if err != nil {
		t.Fatal(err)
	}
	ended := false
	sim.Start(nil, func() { ended = true })
	for !ended {
		next := heap.Pop(&clock.pending).(event)
		clock.now = next.at
		next.callback()
	}
	// 30 exchanges offer 100 erlang of circuits each; a call takes 6.7 circuit-seconds on average
	want := 30 * 100 / 6.7 * scenario.Length.Seconds()
	if got := float64(len(sim.Callers.Calls)); got < 0.97*want || got > 1.03*want {
		t.Errorf("%.0f calls, want %.0f within 3%%", got, want)
	}
}
