// Package subscriber stands in for the callers: they dial as time goes by,
// whether they are answered or not, wait, lose patience, hang up and dial
// again. It has no socket and no clock.
package subscriber

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dahliaspindle/internal/signal"
)

// Scheduler is the time that callers live in.
type Scheduler interface {
	Now() time.Duration
	After(d time.Duration, f func())
}

// Class is one class of calls.
type Class struct {
	Name        string
	Share       float64
	Worth       float64
	LateWorth   float64
	SetUpTarget time.Duration
	Patience    time.Duration
	HoldingTime time.Duration
}

// Behavior are what callers do.
type Behavior struct {
	MaxRedials      int
	MeanRedialDelay time.Duration
	AttemptShare    float64
	ImpatientShare  float64
	HonourShare     float64
	MarksRetries    bool
}

// Conn is a connection to a controller.
type Conn struct {
	Send            func(*signal.Message) bool
	lastTransaction uint32
	pendingAttempts map[uint32]*attempt // unanswered, by transaction
	attemptsByName  map[string]*attempt // unanswered and standing
}

// ConnPool reaches a controller; it may have several connections.
type ConnPool struct {
	Number int
	conns  []*Conn
	next   int
}

// Outcome is how a call ended for its caller.
type Outcome uint8

const (
	Pending Outcome = iota // not yet
	InTime                 // stood within the aim, to its end
	Late                   // stood later, to its end
	Refused                // the last word was a refusal
	Failed                 // the last word was a failure
	Cut                    // cut while it stood
	GaveUp                 // the caller left, or nobody answered
	Lost                   // the controller was gone
)

// Call is one first try with all that came of it.
type Call struct {
	Class           int
	FirstAttemptAt  time.Duration // first tried
	Source          int
	Dest            int
	ToHotNumber     bool
	Attempts        int
	SetUpTime       time.Duration // how long after At it stood, 0 never
	Outcome         Outcome
	RetriedAfterCut bool // was cut and came again
}

type attempt struct {
	call           *Call
	conn           *Conn
	pool           *ConnPool
	transaction    uint32
	name           string
	number         string
	established    bool
	ended          bool
	startedAt      time.Duration
	firstAttemptAt time.Duration // of the call, or of its coming again
}

// Callers is all callers.
type Callers struct {
	scheduler   Scheduler
	random      *rand.Rand
	classes     []Class
	behavior    Behavior
	totalShare  float64
	pools       map[int]*ConnPool
	Calls       []*Call
	nameCount   uint64
	openCalls   int
	RouteAdvice func(from, dest int) int // the centre's advice; nil: none

	RetryCutCallsUntil time.Duration // calls cut before this come again
	Finished           bool          // the day is over: what stands counts as it stands
}

// New makes a crowd without a line.
func New(s Scheduler, rnd *rand.Rand, classes []Class, habits Behavior) *Callers {
	c := &Callers{scheduler: s, random: rnd, classes: classes, behavior: habits, pools: map[int]*ConnPool{}}
	for _, cl := range classes {
		c.totalShare += cl.Share
	}
	return c
}

// OpenConn brings a connection to a controller into use.
func (c *Callers) OpenConn(cell int, send func(*signal.Message) bool) *Conn {
	l := c.pools[cell]
	if l == nil {
		l = &ConnPool{Number: cell}
		c.pools[cell] = l
	}
	conn := &Conn{Send: send, pendingAttempts: map[uint32]*attempt{}, attemptsByName: map[string]*attempt{}}
	l.conns = append(l.conns, conn)
	return conn
}

// ConnClosed ends one: its calls are lost to their callers.
func (c *Callers) ConnClosed(cell int, conn *Conn) {
	l := c.pools[cell]
	for i := range l.conns {
		if l.conns[i] == conn {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			break
		}
	}
	var all []*attempt
	for _, t := range conn.attemptsByName {
		all = append(all, t)
	}
	sortAttempts(all)
	for _, t := range all {
		if t.established {
			c.callCut(t)
		} else {
			c.attemptFailed(t, Lost, 0)
		}
	}
}

// OpenCalls tells how many calls are unanswered or stand.
func (c *Callers) OpenCalls() int { return c.openCalls }

// drawClass takes a class by its share.
func (c *Callers) drawClass() int {
	x := c.random.Float64() * c.totalShare
	for i, cl := range c.classes {
		if x -= cl.Share; x < 0 {
			return i
		}
	}
	return len(c.classes) - 1
}

// Dial makes a first try; number "" draws one that nobody else calls.
func (c *Callers) Dial(from, dest int, number string) *Call {
	call := &Call{Class: c.drawClass(), FirstAttemptAt: c.scheduler.Now(), Source: from, Dest: dest, ToHotNumber: number != ""}
	c.Calls = append(c.Calls, call)
	if number == "" {
		number = fmt.Sprint(1e9 + c.random.Int64N(1e14))
	}
	c.dialAttempt(call, number, c.scheduler.Now(), false)
	return call
}

func (c *Callers) dialAttempt(call *Call, number string, first time.Duration, again bool) {
	cl := c.classes[call.Class]
	now := c.scheduler.Now()
	left := min(time.Duration(float64(cl.Patience)*c.behavior.AttemptShare), first+cl.Patience-now)
	l := c.pools[call.Source]
	if left <= 0 || l == nil || len(l.conns) == 0 {
		c.setOutcome(call, Lost)
		return
	}
	l.next++
	conn := l.conns[l.next%len(l.conns)]
	c.nameCount++
	conn.lastTransaction++
	t := &attempt{call: call, conn: conn, pool: l, transaction: conn.lastTransaction, name: fmt.Sprintf("c%d-%d", call.Source, c.nameCount), number: number,
		startedAt: now, firstAttemptAt: first}
	call.Attempts++
	m := &signal.Message{ID: t.transaction, Context: signal.ContextChoose, Command: signal.Add, Termination: t.name}
	m.Put("Class", cl.Name).PutInt("Dest", call.Dest).Put("Number", number).PutDuration("Left", left)
	m.PutFlag("Repeat", c.behavior.MarksRetries && call.Attempts > 1 && !again).PutFlag("Again", again)
	if c.RouteAdvice != nil {
		m.PutInt("Advice", c.RouteAdvice(call.Source, call.Dest))
	}
	c.openCalls++
	conn.pendingAttempts[t.transaction], conn.attemptsByName[t.name] = t, t
	if !conn.Send(m) {
		c.attemptFailed(t, Lost, 0)
		return
	}
	leaves := left
	if c.random.Float64() < c.behavior.ImpatientShare {
		leaves = time.Duration(c.random.Float64() * float64(left))
	}
	c.scheduler.After(leaves, func() {
		if !t.ended && !t.established {
			c.sendRelease(t)
			c.attemptFailed(t, GaveUp, 0)
		}
	})
}

func (c *Callers) sendRelease(t *attempt) {
	t.conn.lastTransaction++
	t.conn.Send(&signal.Message{ID: t.conn.lastTransaction, Command: signal.Subtract, Termination: t.name})
}

// HandleMessage takes a message from a controller.
func (c *Callers) HandleMessage(conn *Conn, m *signal.Message) {
	switch {
	case m.Kind == signal.Reply && m.Command == signal.Add:
		t := conn.pendingAttempts[m.ID]
		delete(conn.pendingAttempts, m.ID)
		if t == nil || t.ended {
			return // it was given up in the same moment: the Subtract is under way
		}
		if m.Code == 0 {
			c.callEstablished(t)
			return
		}
		back, _ := m.Duration("Backoff")
		end := Refused
		if m.Code == signal.Unavailable {
			end = Failed
		}
		c.attemptFailed(t, end, back)
	case m.Kind == signal.Request && m.Command == signal.Notify:
		conn.Send(m.NewReply())
		if t := conn.attemptsByName[m.Termination]; t != nil && t.established {
			if m.Get("Event") == "cut" {
				c.callCut(t)
			} else {
				c.callCompleted(t)
			}
		}
	case m.Kind == signal.Request:
		conn.Send(m.NewReply())
	}
}

func (c *Callers) callEstablished(t *attempt) {
	t.established = true
	now := c.scheduler.Now()
	if t.call.SetUpTime == 0 {
		t.call.SetUpTime = max(now-t.call.FirstAttemptAt, 1)
	}
	holding := time.Duration(float64(c.classes[t.call.Class].HoldingTime) * c.random.ExpFloat64())
	if t.call.RetriedAfterCut && now-t.firstAttemptAt > c.classes[t.call.Class].SetUpTarget {
		t.call.Outcome = Cut // it came again, and stood too late
	}
	c.scheduler.After(holding, func() {
		if !t.ended {
			c.sendRelease(t)
			c.callCompleted(t)
		}
	})
}

// callCompleted ends a call that stood to its end.
func (c *Callers) callCompleted(t *attempt) {
	c.removeAttempt(t)
	call := t.call
	if call.Outcome == Cut {
		return
	}
	call.Outcome = Late
	if call.SetUpTime <= c.classes[call.Class].SetUpTarget {
		call.Outcome = InTime
	}
}

func (c *Callers) removeAttempt(t *attempt) {
	t.ended = true
	c.openCalls--
	delete(t.conn.attemptsByName, t.name)
}

func (c *Callers) callCut(t *attempt) {
	c.removeAttempt(t)
	if c.Finished {
		return
	}
	now := c.scheduler.Now()
	if now < c.RetryCutCallsUntil && t.call.Outcome != Cut {
		t.call.RetriedAfterCut = true
		c.scheduler.After(500*time.Millisecond+time.Duration(c.random.Float64()*float64(time.Second)), func() {
			c.dialAttempt(t.call, t.number, c.scheduler.Now(), true)
		})
		return
	}
	t.call.Outcome = Cut
}

// attemptFailed is a try that did not stand: the caller may dial again.
func (c *Callers) attemptFailed(t *attempt, e Outcome, back time.Duration) {
	c.removeAttempt(t)
	call := t.call
	cl := c.classes[call.Class]
	gap := time.Duration(float64(c.behavior.MeanRedialDelay) * (0.3 + c.random.ExpFloat64()*0.7))
	if back > 0 && c.random.Float64() < c.behavior.HonourShare {
		gap = max(gap, back)
	}
	if call.ToHotNumber {
		gap /= 2
	}
	if call.RetriedAfterCut || call.Attempts > c.behavior.MaxRedials || c.scheduler.Now()+gap >= t.firstAttemptAt+cl.Patience {
		c.setOutcome(call, e)
		return
	}
	c.scheduler.After(gap, func() { c.dialAttempt(call, t.number, t.firstAttemptAt, false) })
}

func (c *Callers) setOutcome(call *Call, e Outcome) {
	if call.RetriedAfterCut {
		e = Cut
	}
	call.Outcome = e
}

func sortAttempts(all []*attempt) {
	for i := 1; i < len(all); i++ {
		for j := i; j > 0 && all[j].name < all[j-1].name; j-- {
			all[j], all[j-1] = all[j-1], all[j]
		}
	}
}

// Tally is what became of a set of first tries.
type Tally struct {
	Offered, InTime, Late, Refused, Failed, Cut, GaveUp, Lost, Open int
	Worth, Earned                                                   float64
}

// ServiceRatio is the worth earned over the worth offered; 1 where nothing was offered.
func (t Tally) ServiceRatio() float64 {
	if t.Worth == 0 {
		return 1
	}
	return t.Earned / t.Worth
}

// Tally counts the calls that which picks. A call still up counts by how it stood.
func (c *Callers) Tally(which func(*Call) bool) Tally {
	var t Tally
	for _, k := range c.Calls {
		if !which(k) {
			continue
		}
		cl := c.classes[k.Class]
		worth := cl.Worth
		if k.ToHotNumber {
			worth *= 0.1 // its callers want one number that has few lines
		}
		t.Offered++
		t.Worth += worth
		switch e := k.finalOutcome(cl); e {
		case InTime:
			t.InTime++
			t.Earned += worth
		case Late:
			t.Late++
			t.Earned += worth * cl.LateWorth
		case Refused:
			t.Refused++
		case Failed:
			t.Failed++
		case Cut:
			t.Cut++
		case GaveUp:
			t.GaveUp++
		case Lost:
			t.Lost++
		default:
			t.Open++
		}
	}
	return t
}

func (k *Call) finalOutcome(cl Class) Outcome {
	if k.Outcome != Pending || k.SetUpTime == 0 {
		return k.Outcome
	}
	if k.SetUpTime <= cl.SetUpTarget {
		return InTime
	}
	return Late
}

// ArrivalInterval draws the time to the next arrival at a rate a second.
func ArrivalInterval(rnd *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	return time.Duration(math.Min(rnd.ExpFloat64()/rate, 10) * float64(time.Second))
}
