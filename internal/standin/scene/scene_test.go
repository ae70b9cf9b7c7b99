package scene_test

import (
	"container/heap"
	"strings"
	"testing"
	"time"

	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/standin/exchange"
	"dahliaspindle/internal/standin/scene"
	"dahliaspindle/scenarios"
)

// coarseClock is a clock whose timers fire a tick late, as real ones do.
type coarseClock struct {
	now, tick    time.Duration
	pending      eventQueue
	lastSequence int
}

type event struct {
	at       time.Duration
	sequence int
	callback func()
}

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

func (clock *coarseClock) Now() time.Duration { return clock.now }
func (clock *coarseClock) After(d time.Duration, callback func()) {
	clock.lastSequence++
	heap.Push(&clock.pending, event{(clock.now + max(d, 0) + clock.tick).Truncate(clock.tick), clock.lastSequence, callback})
}

// unreachableEnvironment is an edge that nobody reaches.
type unreachableEnvironment struct{}

func (unreachableEnvironment) Listen(uint32) (string, error)                            { return "nowhere", nil }
func (unreachableEnvironment) StopListening(uint32)                                     {}
func (unreachableEnvironment) CloseConns(uint32, string, func(*exchange.Conn) bool) int { return 0 }
func (unreachableEnvironment) SetFault(uint32, scene.Fault, bool)                       {}
func (unreachableEnvironment) SetListUnavailable(bool)                                  {}
func (unreachableEnvironment) SendMalformed(float64) func()                             { return func() {} }
func (unreachableEnvironment) RestartController(int)                                    {}
func (unreachableEnvironment) Record(string, any)                                       {}

// Calls come as often as the scenario says, however late timers fire: an open
// loop. (Intervals that each began at a late timer lost a third of the calls
// at 30 exchanges.)
func TestCallsArriveAtConfiguredRate(t *testing.T) {
	text, _ := scenarios.XML("bad-day")
	scenario, err := settings.ParseScenario("bad-day", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	scenario.Troubles, scenario.Fleet.Exchanges, scenario.Load.Level, scenario.Load.Swing = nil, 30, 1, 0
	clock := &coarseClock{tick: time.Millisecond}
	simulation, err := scene.New(scenario, clock, unreachableEnvironment{})
	if err != nil {
		t.Fatal(err)
	}
	ended := false
	simulation.Start(nil, func() { ended = true })
	for !ended {
		next := heap.Pop(&clock.pending).(event)
		clock.now = next.at
		next.callback()
	}
	// 30 exchanges of 100 erlang of circuits; a call keeps 6.7 circuit-seconds on average
	want := 30 * 100 / 6.7 * scenario.Length.Seconds()
	if got := float64(len(simulation.Callers.Calls)); got < 0.97*want || got > 1.03*want {
		t.Errorf("%.0f calls, %.0f were to come", got, want)
	}
}
