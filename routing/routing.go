// Package routing decides admission and routing for the call control of one
// exchange.
//
// A [Controller] receives events and returns the actions to take. It does no
// input or output and reads no clock: the caller of [Controller.Handle] passes
// in the time, so the same events always lead to the same actions. The types of
// api.go are the whole interface.
//
// A call goes direct over the trunk group to its destination while the group
// has circuits, over one tandem when it has none, and otherwise waits briefly.
// Windows of pending set-ups keep processors out of overload, and circuits are
// reserved for direct calls and for high-value classes.
package routing

import (
	"math/rand/v2"
	"time"
)

// Controller makes the decisions of one controller process. Its methods are
// not safe for concurrent use.
type Controller struct {
	settings       Settings
	now, startedAt time.Duration // time of the current and of the first event
	started        bool
	minAim         time.Duration // shortest of the classes' aims

	offeredRate     rateMeter     // calls offered
	answerRate      rateMeter     // set-ups whose wait for an answer ended, however it did
	lossRate        rateMeter     // set-ups that timed out
	slowAnswerRate  rateMeter     // answers later than the target set-up time
	abandonmentRate rateMeter     // callers who left before their deadline
	patience        time.Duration // smoothed waiting time of those callers

	meanWorth     float64 // of the classes
	peers         map[int]*peerExchange
	peersByNumber []*peerExchange // sorted
	numberByID    map[uint32]int  // exchange numbers

	calls          map[string]*activeCall
	unanswered     []*activeCall // in order of arrival
	established    []*activeCall
	staleCheckedAt time.Duration               // when established was last searched for stale calls
	queue          []*activeCall               // waiting for a route
	blockedRoutes  map[routeRequest]blockCause // found in the current pass over the queue

	busyNumbers   map[uint64]*busyNumber
	ownExchange   *peerExchange
	tandemCredit  float64 // tandem attempts that may be made
	initialWindow float64 // of a peer at its start
	minSlowWindow float64 // of a slow peer; smaller where more controllers share it
	pendingSetups int     // counted in window
	fullShare     float64 // share of the groups that were recently full, as of fullShareAt
	fullShareAt   time.Duration
	window        float64 // pending set-ups allowed over all routes together
	ownLoad       float64 // smoothed ratio of set-up time to target, mostly of quick answers

	windowCutAt, ownLoadAt time.Duration

	// Time of the first attempt by called number, in two generations.
	recentNumbers, olderNumbers map[uint64]time.Duration
	numbersRotatedAt            time.Duration // when recentNumbers was started

	highValueServed int           // calls worth more than meanWorth sent since the last other one
	timerAt         time.Duration // when the pending timer expires; 0 if it has expired
	timerToken      uint64
	verdictCounts   map[Reason]int
	random          *rand.Rand // seeded from the settings
	actions         []Action   // result of the current event
}

// New returns a controller with the given settings and no other knowledge.
func New(settings Settings) *Controller {
	c := &Controller{
		settings:      settings,
		peers:         map[int]*peerExchange{},
		numberByID:    map[uint32]int{},
		calls:         map[string]*activeCall{},
		busyNumbers:   map[uint64]*busyNumber{},
		verdictCounts: map[Reason]int{},
		recentNumbers: map[uint64]time.Duration{},
		blockedRoutes: map[routeRequest]blockCause{},
		random:        rand.New(rand.NewPCG(settings.Seed, uint64(settings.Me))),
	}
	aim := time.Hour
	for _, class := range settings.Classes {
		aim = min(aim, class.Aim)
		c.meanWorth += class.Worth / float64(len(settings.Classes))
	}
	c.minAim, c.window, c.tandemCredit = aim, initialOwnWindow, maxTandemCredit
	c.minSlowWindow = min(sharedPeerWindow/float64(max(settings.Controllers-1, 1)), 1)
	c.initialWindow = max(initialPeerWindow*c.minSlowWindow, 1)
	return c
}

// Handle processes an event that occurs at the time now and returns the
// actions to take.
func (c *Controller) Handle(now time.Duration, event Event) []Action {
	if !c.started {
		c.started, c.startedAt, c.fullShareAt = true, now, now-1
	}
	c.now, c.actions = now, nil
	switch event := event.(type) {
	case ExchangeListUpdate:
		c.applyExchangeList(event)
	case Call:
		c.handleCall(event)
	case CallAbandoned:
		c.handleAbandoned(event)
	case GroupStatus:
		if peer := c.peerByID(event.ExchangeID); peer != nil && event.OK {
			peer.applyReport(now, event.Report)
		}
	case CallEstablished:
		c.handleEstablished(event)
	case AttemptEnded:
		c.handleAttemptEnded(event)
	case TimerExpired: // a timer replaced by an earlier one is ignored, or each would set another
		if now >= c.timerAt {
			c.timerAt = 0
		}
	}
	if len(c.queue) > 0 || now >= c.timerAt { // otherwise no call waits and nothing is due
		c.serveQueue()
	}
	return c.actions
}
