// Package subscriber simulates the callers. They dial regardless of how earlier
// calls fare (open loop), wait, give up when their patience ends, hang up and redial.
// It uses neither sockets nor a clock of its own.
package subscriber

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dahliaspindle/internal/signal"
)

// Scheduler provides virtual or real time to the callers.
type Scheduler interface {
	Now() time.Duration
	After(delay time.Duration, callback func())
}

// Class is one class of calls.
type Class struct {
	Name        string
	Share       float64       // relative share of all calls
	Worth       float64       // of a call established within SetUpTarget
	LateWorth   float64       // of a call established later, as a factor of Worth
	SetUpTarget time.Duration // set-up time that counts as in time
	Patience    time.Duration // from the first attempt until the caller gives up
	HoldingTime time.Duration // mean
}

// Behavior describes how callers redial.
type Behavior struct {
	MaxRedials      int
	MeanRedialDelay time.Duration
	AttemptShare    float64 // share of the patience that one attempt may take
	ImpatientShare  float64 // share of attempts that are abandoned early
	HonourShare     float64 // share of redials that honour the controller's Backoff
	MarksRetries    bool    // redials carry the Repeat flag
}

// Conn is a connection to a controller.
type Conn struct {
	Send            func(*signal.Message) bool
	lastTransaction uint32
	pendingAttempts map[uint32]*attempt // unanswered attempts by transaction
	attemptsByName  map[string]*attempt // unanswered attempts and established calls
}

// ConnPool holds the connections to one controller, which are used in turn.
type ConnPool struct {
	Number int
	conns  []*Conn
	next   int
}

// Outcome is how a call ended from the caller's point of view.
type Outcome uint8

const (
	Pending Outcome = iota // not decided yet
	InTime                 // established within the set-up target, and completed
	Late                   // established later, and completed
	Refused                // the last attempt was refused
	Failed                 // the last attempt failed
	Cut                    // cut while established
	GaveUp                 // the caller gave up before an answer
	Lost                   // the controller was not reachable
)

// Call is a first attempt together with its redials.
type Call struct {
	Class           int // index of the class
	FirstAttemptAt  time.Duration
	Source          int // exchange numbers
	Dest            int
	ToHotNumber     bool
	Attempts        int
	SetUpTime       time.Duration // from FirstAttemptAt until established; 0: never established
	Outcome         Outcome
	RetriedAfterCut bool // was cut while established, and dialled again
}

// attempt is one attempt of a call, and the established call that comes of it.
type attempt struct {
	call           *Call
	conn           *Conn
	pool           *ConnPool
	transaction    uint32
	name           string // termination name
	number         string // called number
	established    bool
	ended          bool
	startedAt      time.Duration
	firstAttemptAt time.Duration // of the call, or of its retry after a cut
}

// Callers simulates all callers.
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
	RouteAdvice func(source, destination int) int // advised exchange to route over; nil: no advice

	RetryCutCallsUntil time.Duration // callers whose call is cut before this time dial again
	Finished           bool          // the run is over: calls cut from now on keep the outcome of their set-up
}

// New returns callers without a connection.
func New(scheduler Scheduler, random *rand.Rand, classes []Class, behavior Behavior) *Callers {
	c := &Callers{scheduler: scheduler, random: random, classes: classes, behavior: behavior, pools: map[int]*ConnPool{}}
	for _, class := range classes {
		c.totalShare += class.Share
	}
	return c
}

// OpenConn registers a connection to the controller with the given exchange number.
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

// ConnClosed removes a closed connection. Its established calls are cut, its
// unanswered attempts lost.
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
	for _, lost := range affected {
		if lost.established {
			c.callCut(lost)
		} else {
			c.attemptFailed(lost, Lost, 0)
		}
	}
}

// OpenCalls returns the number of calls that are unanswered or established.
func (c *Callers) OpenCalls() int { return c.openCalls }

// drawClass draws a class according to the shares.
func (c *Callers) drawClass() int {
	remaining := c.random.Float64() * c.totalShare
	for i, class := range c.classes {
		if remaining -= class.Share; remaining < 0 {
			return i
		}
	}
	return len(c.classes) - 1
}

// Dial makes the first attempt of a call. With an empty number it draws one that
// practically nobody else calls; a given number is a hot number.
func (c *Callers) Dial(source, destination int, number string) *Call {
	call := &Call{
		Class:          c.drawClass(),
		FirstAttemptAt: c.scheduler.Now(),
		Source:         source,
		Dest:           destination,
		ToHotNumber:    number != "",
	}
	c.Calls = append(c.Calls, call)
	if number == "" {
		number = fmt.Sprint(1e9 + c.random.Int64N(1e14))
	}
	c.dialAttempt(call, number, c.scheduler.Now(), false)
	return call
}

// dialAttempt makes one attempt of a call. firstAttemptAt is when the caller's
// patience began.
func (c *Callers) dialAttempt(call *Call, number string, firstAttemptAt time.Duration, afterCut bool) {
	class := c.classes[call.Class]
	now := c.scheduler.Now()
	timeLeft := min(time.Duration(float64(class.Patience)*c.behavior.AttemptShare), firstAttemptAt+class.Patience-now)
	pool := c.pools[call.Source]
	if timeLeft <= 0 || pool == nil || len(pool.conns) == 0 {
		c.setOutcome(call, Lost)
		return
	}
	pool.next++
	conn := pool.conns[pool.next%len(pool.conns)]
	c.nameCount++
	conn.lastTransaction++
	placed := &attempt{
		call:           call,
		conn:           conn,
		pool:           pool,
		transaction:    conn.lastTransaction,
		name:           fmt.Sprintf("c%d-%d", call.Source, c.nameCount),
		number:         number,
		startedAt:      now,
		firstAttemptAt: firstAttemptAt,
	}
	call.Attempts++
	request := &signal.Message{ID: placed.transaction, Context: signal.ContextChoose, Command: signal.Add, Termination: placed.name}
	request.Put("Class", class.Name).PutInt("Dest", call.Dest).Put("Number", number).PutDuration("Left", timeLeft)
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
	patience := timeLeft
	if c.random.Float64() < c.behavior.ImpatientShare {
		patience = time.Duration(c.random.Float64() * float64(timeLeft))
	}
	c.scheduler.After(patience, func() {
		if !placed.ended && !placed.established {
			c.sendRelease(placed)
			c.attemptFailed(placed, GaveUp, 0)
		}
	})
}

// sendRelease asks the controller to release an attempt or call.
func (c *Callers) sendRelease(released *attempt) {
	released.conn.lastTransaction++
	released.conn.Send(&signal.Message{ID: released.conn.lastTransaction, Command: signal.Subtract, Termination: released.name})
}

// HandleMessage handles a message from a controller.
func (c *Callers) HandleMessage(conn *Conn, message *signal.Message) {
	switch {
	case message.Kind == signal.Reply && message.Command == signal.Add:
		known := conn.pendingAttempts[message.ID]
		delete(conn.pendingAttempts, message.ID)
		if known == nil || known.ended {
			return // the caller gave up at the same time: the Subtract is on its way
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
		if ended := conn.attemptsByName[message.Termination]; ended != nil && ended.established {
			if message.Get("Event") == "cut" {
				c.callCut(ended)
			} else {
				c.callCompleted(ended)
			}
		}
	case message.Kind == signal.Request:
		conn.Send(message.NewReply())
	}
}

// callEstablished handles a positive answer: the call is released after its holding
// time.
func (c *Callers) callEstablished(answered *attempt) {
	answered.established = true
	now := c.scheduler.Now()
	if answered.call.SetUpTime == 0 {
		answered.call.SetUpTime = max(now-answered.call.FirstAttemptAt, 1)
	}
	holdingTime := time.Duration(float64(c.classes[answered.call.Class].HoldingTime) * c.random.ExpFloat64())
	if answered.call.RetriedAfterCut && now-answered.firstAttemptAt > c.classes[answered.call.Class].SetUpTarget {
		answered.call.Outcome = Cut // the retry after the cut was established too late
	}
	c.scheduler.After(holdingTime, func() {
		if !answered.ended {
			c.sendRelease(answered)
			c.callCompleted(answered)
		}
	})
}

// callCompleted records the outcome of an established call that ended normally.
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

// removeAttempt ends an attempt.
func (c *Callers) removeAttempt(removed *attempt) {
	removed.ended = true
	c.openCalls--
	delete(removed.conn.attemptsByName, removed.name)
}

// callCut handles the cut of an established call: the caller dials again if the cut
// comes before RetryCutCallsUntil.
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

// attemptFailed handles an attempt that was not established: the caller redials, or
// the call ends with the given outcome.
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

// setOutcome records the outcome of a call that is not established. A call that was
// cut before counts as cut.
func (c *Callers) setOutcome(call *Call, outcome Outcome) {
	if call.RetriedAfterCut {
		outcome = Cut
	}
	call.Outcome = outcome
}

// sortAttempts sorts attempts by name, so that runs are reproducible.
func sortAttempts(attempts []*attempt) {
	for i := 1; i < len(attempts); i++ {
		for j := i; j > 0 && attempts[j].name < attempts[j-1].name; j-- {
			attempts[j], attempts[j-1] = attempts[j-1], attempts[j]
		}
	}
}

// Tally counts the outcomes of a set of calls. JSON output uses the field names.
type Tally struct {
	Offered, InTime, Late, Refused, Failed, Cut, GaveUp, Lost, Open int
	Worth, Earned                                                   float64
}

// ServiceRatio returns the worth earned divided by the worth offered, or 1 if nothing
// was offered.
func (t Tally) ServiceRatio() float64 {
	if t.Worth == 0 {
		return 1
	}
	return t.Earned / t.Worth
}

// Tally counts the calls that match. A call that is still established counts as in
// time or late.
func (c *Callers) Tally(matches func(*Call) bool) Tally {
	var tally Tally
	for _, call := range c.Calls {
		if !matches(call) {
			continue
		}
		class := c.classes[call.Class]
		worth := class.Worth
		if call.ToHotNumber {
			worth *= 0.1 // most calls to the hot number must fail, for it has few lines
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

// finalOutcome returns the outcome of the call, taking an established call as
// completed.
func (c *Call) finalOutcome(class Class) Outcome {
	if c.Outcome != Pending || c.SetUpTime == 0 {
		return c.Outcome
	}
	if c.SetUpTime <= class.SetUpTarget {
		return InTime
	}
	return Late
}

// ArrivalInterval draws the time until the next arrival of a Poisson process with
// the given rate per second: at most 10 s, and 1 s if the rate is not positive.
func ArrivalInterval(random *rand.Rand, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Second
	}
	return time.Duration(math.Min(random.ExpFloat64()/perSecond, 10) * float64(time.Second))
}
