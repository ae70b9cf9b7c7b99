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
func New(scheduler Scheduler, random *rand.Rand, classes []Class, behavior Behavior) *Callers {
	c := &Callers{scheduler: scheduler, random: random, classes: classes, behavior: behavior, pools: map[int]*ConnPool{}}
	for _, class := range classes {
		c.totalShare += class.Share
	}
	return c
}

// OpenConn brings a connection to a controller into use.
func (c *Callers) OpenConn(number int, send func(*signal.Message) bool) *Conn {
	pool := c.pools[number]
	if pool == nil {
		pool = &ConnPool{Number: number}
		c.pools[number] = pool
	}
	conn := &Conn{Send: send, pendingAttempts: map[uint32]*attempt{}, attemptsByName: map[string]*attempt{}}
	pool.conns = append(pool.conns, conn)
	return conn
}

// ConnClosed ends one: its calls are lost to their callers.
func (c *Callers) ConnClosed(number int, conn *Conn) {
	pool := c.pools[number]
	for i := range pool.conns {
		if pool.conns[i] == conn {
			pool.conns = append(pool.conns[:i], pool.conns[i+1:]...)
			break
		}
	}
	var affected []*attempt
	for _, pending := range conn.attemptsByName {
		affected = append(affected, pending)
	}
	sortAttempts(affected)
	for _, t := range affected {
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
	remaining := c.random.Float64() * c.totalShare
	for i, class := range c.classes {
		if remaining -= class.Share; remaining < 0 {
			return i
		}
	}
	return len(c.classes) - 1
}

// Dial makes a first try; number "" draws one that nobody else calls.
func (c *Callers) Dial(source, destination int, number string) *Call {
	call := &Call{Class: c.drawClass(), FirstAttemptAt: c.scheduler.Now(), Source: source, Dest: destination, ToHotNumber: number != ""}
	c.Calls = append(c.Calls, call)
	if number == "" {
		number = fmt.Sprint(1e9 + c.random.Int64N(1e14))
	}
	c.dialAttempt(call, number, c.scheduler.Now(), false)
	return call
}

func (c *Callers) dialAttempt(call *Call, number string, firstAttemptAt time.Duration, afterCut bool) {
	class := c.classes[call.Class]
	now := c.scheduler.Now()
	left := min(time.Duration(float64(class.Patience)*c.behavior.AttemptShare), firstAttemptAt+class.Patience-now)
	pool := c.pools[call.Source]
	if left <= 0 || pool == nil || len(pool.conns) == 0 {
		c.setOutcome(call, Lost)
		return
	}
	pool.next++
	conn := pool.conns[pool.next%len(pool.conns)]
	c.nameCount++
	conn.lastTransaction++
	placed := &attempt{call: call, conn: conn, pool: pool, transaction: conn.lastTransaction, name: fmt.Sprintf("c%d-%d", call.Source, c.nameCount), number: number,
		startedAt: now, firstAttemptAt: firstAttemptAt}
	call.Attempts++
	request := &signal.Message{ID: placed.transaction, Context: signal.ContextChoose, Command: signal.Add, Termination: placed.name}
	request.Put("Class", class.Name).PutInt("Dest", call.Dest).Put("Number", number).PutDuration("Left", left)
	request.PutFlag("Repeat", c.behavior.MarksRetries && call.Attempts > 1 && !afterCut).PutFlag("Again", afterCut)
	if c.RouteAdvice != nil {
		request.PutInt("Advice", c.RouteAdvice(call.Source, call.Dest))
	}
	c.openCalls++
	conn.pendingAttempts[placed.transaction], conn.attemptsByName[placed.name] = placed, placed
	if !conn.Send(request) {
		c.attemptFailed(placed, Lost, 0)
		return
	}
	patience := left
	if c.random.Float64() < c.behavior.ImpatientShare {
		patience = time.Duration(c.random.Float64() * float64(left))
	}
	c.scheduler.After(patience, func() {
		if !placed.ended && !placed.established {
			c.sendRelease(placed)
			c.attemptFailed(placed, GaveUp, 0)
		}
	})
}

func (c *Callers) sendRelease(released *attempt) {
	released.conn.lastTransaction++
	released.conn.Send(&signal.Message{ID: released.conn.lastTransaction, Command: signal.Subtract, Termination: released.name})
}

// HandleMessage takes a message from a controller.
func (c *Callers) HandleMessage(conn *Conn, message *signal.Message) {
	switch {
	case message.Kind == signal.Reply && message.Command == signal.Add:
		known := conn.pendingAttempts[message.ID]
		delete(conn.pendingAttempts, message.ID)
		if known == nil || known.ended {
			return // it was given up in the same moment: the Subtract is under way
		}
		if message.Code == 0 {
			c.callEstablished(known)
			return
		}
		backoff, _ := message.Duration("Backoff")
		outcome := Refused
		if message.Code == signal.Unavailable {
			outcome = Failed
		}
		c.attemptFailed(known, outcome, backoff)
	case message.Kind == signal.Request && message.Command == signal.Notify:
		conn.Send(message.NewReply())
		if t := conn.attemptsByName[message.Termination]; t != nil && t.established {
			if message.Get("Event") == "cut" {
				c.callCut(t)
			} else {
				c.callCompleted(t)
			}
		}
	case message.Kind == signal.Request:
		conn.Send(message.NewReply())
	}
}

func (c *Callers) callEstablished(answered *attempt) {
	answered.established = true
	now := c.scheduler.Now()
	if answered.call.SetUpTime == 0 {
		answered.call.SetUpTime = max(now-answered.call.FirstAttemptAt, 1)
	}
	holdingTime := time.Duration(float64(c.classes[answered.call.Class].HoldingTime) * c.random.ExpFloat64())
	if answered.call.RetriedAfterCut && now-answered.firstAttemptAt > c.classes[answered.call.Class].SetUpTarget {
		answered.call.Outcome = Cut // it came again, and stood too late
	}
	c.scheduler.After(holdingTime, func() {
		if !answered.ended {
			c.sendRelease(answered)
			c.callCompleted(answered)
		}
	})
}

// callCompleted ends a call that stood to its end.
func (c *Callers) callCompleted(completed *attempt) {
	c.removeAttempt(completed)
	call := completed.call
	if call.Outcome == Cut {
		return
	}
	call.Outcome = Late
	if call.SetUpTime <= c.classes[call.Class].SetUpTarget {
		call.Outcome = InTime
	}
}

func (c *Callers) removeAttempt(removed *attempt) {
	removed.ended = true
	c.openCalls--
	delete(removed.conn.attemptsByName, removed.name)
}

func (c *Callers) callCut(affected *attempt) {
	c.removeAttempt(affected)
	if c.Finished {
		return
	}
	now := c.scheduler.Now()
	if now < c.RetryCutCallsUntil && affected.call.Outcome != Cut {
		affected.call.RetriedAfterCut = true
		c.scheduler.After(500*time.Millisecond+time.Duration(c.random.Float64()*float64(time.Second)), func() {
			c.dialAttempt(affected.call, affected.number, c.scheduler.Now(), true)
		})
		return
	}
	affected.call.Outcome = Cut
}

// attemptFailed is a try that did not stand: the caller may dial again.
func (c *Callers) attemptFailed(failed *attempt, outcome Outcome, backoff time.Duration) {
	c.removeAttempt(failed)
	call := failed.call
	class := c.classes[call.Class]
	redialDelay := time.Duration(float64(c.behavior.MeanRedialDelay) * (0.3 + c.random.ExpFloat64()*0.7))
	if backoff > 0 && c.random.Float64() < c.behavior.HonourShare {
		redialDelay = max(redialDelay, backoff)
	}
	if call.ToHotNumber {
		redialDelay /= 2
	}
	if call.RetriedAfterCut || call.Attempts > c.behavior.MaxRedials || c.scheduler.Now()+redialDelay >= failed.firstAttemptAt+class.Patience {
		c.setOutcome(call, outcome)
		return
	}
	c.scheduler.After(redialDelay, func() { c.dialAttempt(call, failed.number, failed.firstAttemptAt, false) })
}

func (c *Callers) setOutcome(call *Call, outcome Outcome) {
	if call.RetriedAfterCut {
		outcome = Cut
	}
	call.Outcome = outcome
}

func sortAttempts(attempts []*attempt) {
	for i := 1; i < len(attempts); i++ {
		for j := i; j > 0 && attempts[j].name < attempts[j-1].name; j-- {
			attempts[j], attempts[j-1] = attempts[j-1], attempts[j]
		}
	}
}

// Tally is what became of a set of first tries.
type Tally struct {
	Offered, InTime, Late, Refused, Failed, Cut, GaveUp, Lost, Open int
	Worth, Earned                                                   float64
}

// ServiceRatio is the worth earned over the worth offered; 1 where nothing was offered.
func (tally Tally) ServiceRatio() float64 {
	if tally.Worth == 0 {
		return 1
	}
	return tally.Earned / tally.Worth
}

// Tally counts the calls that which picks. A call still up counts by how it stood.
func (c *Callers) Tally(matches func(*Call) bool) Tally {
	var tally Tally
	for _, call := range c.Calls {
		if !matches(call) {
			continue
		}
		class := c.classes[call.Class]
		worth := class.Worth
		if call.ToHotNumber {
			worth *= 0.1 // its callers want one number that has few lines
		}
		tally.Offered++
		tally.Worth += worth
		switch outcome := call.finalOutcome(class); outcome {
		case InTime:
			tally.InTime++
			tally.Earned += worth
		case Late:
			tally.Late++
			tally.Earned += worth * class.LateWorth
		case Refused:
			tally.Refused++
		case Failed:
			tally.Failed++
		case Cut:
			tally.Cut++
		case GaveUp:
			tally.GaveUp++
		case Lost:
			tally.Lost++
		default:
			tally.Open++
		}
	}
	return tally
}

func (call *Call) finalOutcome(class Class) Outcome {
	if call.Outcome != Pending || call.SetUpTime == 0 {
		return call.Outcome
	}
	if call.SetUpTime <= class.SetUpTarget {
		return InTime
	}
	return Late
}

// ArrivalInterval draws the time to the next arrival at a rate a second.
func ArrivalInterval(random *rand.Rand, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Second
	}
	return time.Duration(math.Min(random.ExpFloat64()/perSecond, 10) * float64(time.Second))
}
