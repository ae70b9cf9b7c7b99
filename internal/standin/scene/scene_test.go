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

// coarse is a clock whose timers fire a tick late, as real ones do.
type coarse struct {
	now, tick time.Duration
	all       events
	seq       int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func (c *coarse) Now() time.Duration { return c.now }
func (c *coarse) After(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.all, event{(c.now + max(d, 0) + c.tick).Truncate(c.tick), c.seq, f})
}

// nowhere is an edge that nobody reaches.
type nowhere struct{}

func (nowhere) Open(uint32) (string, error)                         { return "nowhere", nil }
func (nowhere) Shut(uint32)                                         {}
func (nowhere) Break(uint32, string, func(*exchange.Conn) bool) int { return 0 }
func (nowhere) Fault(uint32, scene.Fault, bool)                     {}
func (nowhere) ListAway(bool)                                       {}
func (nowhere) Garbage(float64) func()                              { return func() {} }
func (nowhere) Restart(int)                                         {}
func (nowhere) Fact(string, any)                                    {}

// Calls come as often as the scenario says, however late timers fire: an open
// loop. (Intervals that each began at a late timer lost a third of the calls
// at 30 exchanges.)
func TestCallsComeAtTheirRate(t *testing.T) {
	text, _ := scenarios.XML("bad-day")
	scn, err := settings.ParseScenario("bad-day", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	scn.Troubles, scn.Fleet.Exchanges, scn.Load.Level, scn.Load.Swing = nil, 30, 1, 0
	c := &coarse{tick: time.Millisecond}
	s, err := scene.New(scn, c, nowhere{})
	if err != nil {
		t.Fatal(err)
	}
	ended := false
	s.Begin(nil, func() { ended = true })
	for !ended {
		e := heap.Pop(&c.all).(event)
		c.now = e.at
		e.do()
	}
	// 30 exchanges of 100 erlang of circuits; a call keeps 6.7 circuit-seconds on average
	want := 30 * 100 / 6.7 * scn.Length.Seconds()
	if got := float64(len(s.Crowd.Calls)); got < 0.97*want || got > 1.03*want {
		t.Errorf("%.0f calls, %.0f were to come", got, want)
	}
}
