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

// Sched is the time that callers live in.
type Sched interface {
	Now() time.Duration
	After(d time.Duration, f func())
}

// Class is one class of calls.
type Class struct {
	Name      string
	Share     float64
	Worth     float64
	LateWorth float64
	Aim       time.Duration
	Patience  time.Duration
	Holding   time.Duration
}

// Habits are what callers do.
type Habits struct {
	Redials     int
	RedialAfter time.Duration
	TryShare    float64
	Impatient   float64
	Honour      float64
	MarksRepeat bool
}

// Conn is a connection to a controller.
type Conn struct {
	Send  func(*signal.Message) bool
	tx    uint32
	tries map[uint32]*try // unanswered, by transaction
	names map[string]*try // unanswered and standing
}

// Line reaches a controller; it may have several connections.
type Line struct {
	Cell  int
	conns []*Conn
	next  int
}

// End is how a call ended for its caller.
type End uint8

const (
	None    End = iota // not yet
	InTime             // stood within the aim, to its end
	Late               // stood later, to its end
	Refused            // the last word was a refusal
	Failed             // the last word was a failure
	Cut                // cut while it stood
	GaveUp             // the caller left, or nobody answered
	Lost               // the controller was gone
)

// Call is one first try with all that came of it.
type Call struct {
	Class  int
	At     time.Duration // first tried
	From   int
	Dest   int
	Hot    bool
	Tries  int
	Stood  time.Duration // how long after At it stood, 0 never
	Result End
	Again  bool // was cut and came again
}

type try struct {
	call   *Call
	conn   *Conn
	line   *Line
	tx     uint32
	name   string
	number string
	stands bool
	over   bool
	began  time.Duration
	first  time.Duration // of the call, or of its coming again
}

// Crowd is all callers.
type Crowd struct {
	s       Sched
	rnd     *rand.Rand
	classes []Class
	habits  Habits
	total   float64
	lines   map[int]*Line
	Calls   []*Call
	names   uint64
	open    int
	Advice  func(from, dest int) int // the centre's advice; nil: none

	AgainUntil time.Duration // calls cut before this come again
	Over       bool          // the day is over: what stands counts as it stands
}

// New makes a crowd without a line.
func New(s Sched, rnd *rand.Rand, classes []Class, habits Habits) *Crowd {
	c := &Crowd{s: s, rnd: rnd, classes: classes, habits: habits, lines: map[int]*Line{}}
	for _, cl := range classes {
		c.total += cl.Share
	}
	return c
}

// Open brings a connection to a controller into use.
func (c *Crowd) Open(cell int, send func(*signal.Message) bool) *Conn {
	l := c.lines[cell]
	if l == nil {
		l = &Line{Cell: cell}
		c.lines[cell] = l
	}
	conn := &Conn{Send: send, tries: map[uint32]*try{}, names: map[string]*try{}}
	l.conns = append(l.conns, conn)
	return conn
}

// Closed ends one: its calls are lost to their callers.
func (c *Crowd) Closed(cell int, conn *Conn) {
	l := c.lines[cell]
	for i := range l.conns {
		if l.conns[i] == conn {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			break
		}
	}
	var all []*try
	for _, t := range conn.names {
		all = append(all, t)
	}
	sortTries(all)
	for _, t := range all {
		if t.stands {
			c.cut(t)
		} else {
			c.ended(t, Lost, 0)
		}
	}
}

// OpenCalls tells how many calls are unanswered or stand.
func (c *Crowd) OpenCalls() int { return c.open }

// draw takes a class by its share.
func (c *Crowd) draw() int {
	x := c.rnd.Float64() * c.total
	for i, cl := range c.classes {
		if x -= cl.Share; x < 0 {
			return i
		}
	}
	return len(c.classes) - 1
}

// Dial makes a first try; number "" draws one that nobody else calls.
func (c *Crowd) Dial(from, dest int, number string) *Call {
	call := &Call{Class: c.draw(), At: c.s.Now(), From: from, Dest: dest, Hot: number != ""}
	c.Calls = append(c.Calls, call)
	if number == "" {
		number = fmt.Sprint(1e9 + c.rnd.Int64N(1e14))
	}
	c.dial(call, number, c.s.Now(), false)
	return call
}

func (c *Crowd) dial(call *Call, number string, first time.Duration, again bool) {
	cl := c.classes[call.Class]
	now := c.s.Now()
	left := min(time.Duration(float64(cl.Patience)*c.habits.TryShare), first+cl.Patience-now)
	l := c.lines[call.From]
	if left <= 0 || l == nil || len(l.conns) == 0 {
		c.settle(call, Lost)
		return
	}
	l.next++
	conn := l.conns[l.next%len(l.conns)]
	c.names++
	conn.tx++
	t := &try{call: call, conn: conn, line: l, tx: conn.tx, name: fmt.Sprintf("c%d-%d", call.From, c.names), number: number,
		began: now, first: first}
	call.Tries++
	m := &signal.Message{ID: t.tx, Context: signal.ContextChoose, Command: signal.Add, Termination: t.name}
	m.Put("Class", cl.Name).PutInt("Dest", call.Dest).Put("Number", number).PutDuration("Left", left)
	m.PutFlag("Repeat", c.habits.MarksRepeat && call.Tries > 1 && !again).PutFlag("Again", again)
	if c.Advice != nil {
		m.PutInt("Advice", c.Advice(call.From, call.Dest))
	}
	c.open++
	conn.tries[t.tx], conn.names[t.name] = t, t
	if !conn.Send(m) {
		c.ended(t, Lost, 0)
		return
	}
	leaves := left
	if c.rnd.Float64() < c.habits.Impatient {
		leaves = time.Duration(c.rnd.Float64() * float64(left))
	}
	c.s.After(leaves, func() {
		if !t.over && !t.stands {
			c.hangUp(t)
			c.ended(t, GaveUp, 0)
		}
	})
}

func (c *Crowd) hangUp(t *try) {
	t.conn.tx++
	t.conn.Send(&signal.Message{ID: t.conn.tx, Command: signal.Subtract, Termination: t.name})
}

// Message takes a message from a controller.
func (c *Crowd) Message(conn *Conn, m *signal.Message) {
	switch {
	case m.Kind == signal.Reply && m.Command == signal.Add:
		t := conn.tries[m.ID]
		delete(conn.tries, m.ID)
		if t == nil || t.over {
			return // it was given up in the same moment: the Subtract is under way
		}
		if m.Code == 0 {
			c.stands(t)
			return
		}
		back, _ := m.Duration("Backoff")
		end := Refused
		if m.Code == signal.Unavailable {
			end = Failed
		}
		c.ended(t, end, back)
	case m.Kind == signal.Request && m.Command == signal.Notify:
		conn.Send(m.NewReply())
		if t := conn.names[m.Termination]; t != nil && t.stands {
			if m.Get("Event") == "cut" {
				c.cut(t)
			} else {
				c.done(t)
			}
		}
	case m.Kind == signal.Request:
		conn.Send(m.NewReply())
	}
}

func (c *Crowd) stands(t *try) {
	t.stands = true
	now := c.s.Now()
	if t.call.Stood == 0 {
		t.call.Stood = max(now-t.call.At, 1)
	}
	holding := time.Duration(float64(c.classes[t.call.Class].Holding) * c.rnd.ExpFloat64())
	if t.call.Again && now-t.first > c.classes[t.call.Class].Aim {
		t.call.Result = Cut // it came again, and stood too late
	}
	c.s.After(holding, func() {
		if !t.over {
			c.hangUp(t)
			c.done(t)
		}
	})
}

// done ends a call that stood to its end.
func (c *Crowd) done(t *try) {
	c.drop(t)
	call := t.call
	if call.Result == Cut {
		return
	}
	call.Result = Late
	if call.Stood <= c.classes[call.Class].Aim {
		call.Result = InTime
	}
}

func (c *Crowd) drop(t *try) {
	t.over = true
	c.open--
	delete(t.conn.names, t.name)
}

func (c *Crowd) cut(t *try) {
	c.drop(t)
	if c.Over {
		return
	}
	now := c.s.Now()
	if now < c.AgainUntil && t.call.Result != Cut {
		t.call.Again = true
		c.s.After(500*time.Millisecond+time.Duration(c.rnd.Float64()*float64(time.Second)), func() {
			c.dial(t.call, t.number, c.s.Now(), true)
		})
		return
	}
	t.call.Result = Cut
}

// ended is a try that did not stand: the caller may dial again.
func (c *Crowd) ended(t *try, e End, back time.Duration) {
	c.drop(t)
	call := t.call
	cl := c.classes[call.Class]
	gap := time.Duration(float64(c.habits.RedialAfter) * (0.3 + c.rnd.ExpFloat64()*0.7))
	if back > 0 && c.rnd.Float64() < c.habits.Honour {
		gap = max(gap, back)
	}
	if call.Hot {
		gap /= 2
	}
	if call.Again || call.Tries > c.habits.Redials || c.s.Now()+gap >= t.first+cl.Patience {
		c.settle(call, e)
		return
	}
	c.s.After(gap, func() { c.dial(call, t.number, t.first, false) })
}

func (c *Crowd) settle(call *Call, e End) {
	if call.Again {
		e = Cut
	}
	call.Result = e
}

func sortTries(all []*try) {
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

// Service is the worth earned over the worth offered; 1 where nothing was offered.
func (t Tally) Service() float64 {
	if t.Worth == 0 {
		return 1
	}
	return t.Earned / t.Worth
}

// Tally counts the calls that which picks. A call still up counts by how it stood.
func (c *Crowd) Tally(which func(*Call) bool) Tally {
	var t Tally
	for _, k := range c.Calls {
		if !which(k) {
			continue
		}
		cl := c.classes[k.Class]
		worth := cl.Worth
		if k.Hot {
			worth *= 0.1 // its callers want one number that has few lines
		}
		t.Offered++
		t.Worth += worth
		switch e := k.end(cl); e {
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

func (k *Call) end(cl Class) End {
	if k.Result != None || k.Stood == 0 {
		return k.Result
	}
	if k.Stood <= cl.Aim {
		return InTime
	}
	return Late
}

// Interval draws the time to the next arrival at a rate a second.
func Interval(rnd *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	return time.Duration(math.Min(rnd.ExpFloat64()/rate, 10) * float64(time.Second))
}
