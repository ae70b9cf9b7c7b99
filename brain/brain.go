// The decision logic. Its interface is in api.go, the differences from the paper in docs/design.md.

package brain

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Tuned values and bounds.
const (
	baseReserve            = 2                      // circuits of direct reserve beyond the measured demand
	highValueFactor        = 3.0                    // worth by circuit and second that makes a class dear to another
	minWait                = 500 * time.Millisecond // shortest wait of a call with no route
	maxWait                = time.Second            // longest
	minSecondLegBlock      = 3 * time.Second        // a tandem that turned a call back is skipped so long
	maxSecondLegBlock      = 12 * time.Second       // doubled each time up to this
	maxTandemAttempts      = 2                      // tandems tried for one call
	tandemCreditPerSuccess = 2.0                    // tandem tries that a call standing over one pays for
	tandemCreditPerCall    = 0.1                    // and every own call
	maxTandemCredit        = 8.0                    // most tries saved up
	lowestValueInterval    = 5                      // of so many served waiting calls, one is a lower class's
	targetAimShare         = 0.4                    // send-to-standing time wanted, as a share of the shortest aim
	targetResendShare      = 0.75                   // the same, as a share of the set-up repeat time
	sharedPeerWindow       = 8.0                    // set-ups that all senders may have out to one slow exchange
	initialPeerWindow      = 4.0                    // set-ups out to one exchange at the start, at the most
	maxWindow              = 32.0                   // and later
	minUnresponsiveWindow  = 0.125                  // and to a silent one: rests between single set-ups
	initialOwnWindow       = 8.0                    // set-ups out over all ways at the start
	minOwnWindow           = 2.0                    // and at the least
	slowAnswerFactor       = 0.7                    // factor at a slow answer
	rejectionFactor        = 0.5                    // at a refusal of a full processor or a sign of silence
	congestionThreshold    = 0.6                    // no tandem above this share of the target
	setupTimeWeight        = 0.7                    // weight of the past in smoothed times
	slowerAnswerWeight     = 0.9                    // the same for the own processor when an answer is slower
	setupTimeHalfLife      = 3 * time.Second        // smoothed times halve when unheard of for so long
	rateTimeConstant       = 10 * time.Second       // span of measured demand
	coldBudgetShare        = 0.8                    // share used of the budget of a cold processor
	minColdRate            = 12.0                   // set-ups a second to a cold processor in any case, by all senders
	setupGap               = 500 * time.Millisecond // between single set-ups at a window of a half
	maxNumberGap           = 4 * time.Second        // longest turn of a busy number
	abandonmentThreshold   = 0.1                    // share of callers leaving early that shortens waits
	minLossesInRow         = 2                      // signs of silence in a row before a rest, or more
	maxSlowPerLost         = 0.3                    // but not where slow answers are more than this to one lost
	minLossShare           = 0.05                   // share of answers lost that shortens time-outs
	maxLossRunProbability  = 0.002                  // if so many by chance are likelier than this
	minBusyReports         = 2                      // busy notes after which a number is gapped
	busyReportLifetime     = 10 * time.Second       // and forgotten after so long without one
	reductionLifetime      = 2 * time.Second        // a hold-back share counts for so long
	queueRecheckInterval   = 50 * time.Millisecond
	staleHoldingTimes      = 10 // mean holding times after which a call is no longer counted
	staleCheckInterval     = time.Second
	maxBusyNumbers         = 512
	maxRecentNumbers       = 4096
	secondLegValidity      = 500 * time.Millisecond // word that a tandem reaches a destination counts so long
)

// Reasons and scopes of verdicts.
const (
	ReasonNoCircuit     Reason = "no circuit free"
	ReasonOverload      Reason = "processor pressed"
	ReasonColdProcessor Reason = "cold processor paced"
	ReasonUnresponsive  Reason = "far end silent"
	ReasonReleaseWait   Reason = "release awaited"
	ReasonNotInService  Reason = "exchange not in service"
	ReasonNumberBusy    Reason = "number busy"
	ReasonAttemptsSpent Reason = "attempts spent"
	ReasonTimeUp        Reason = "time up"
	ReasonRerouted      Reason = "over tandem"
	ReasonCallerLeft    Reason = "caller left"
	ScopeGroup          Scope  = "group"
	ScopeExchange       Scope  = "exchange"
	ScopeOwnExchange    Scope  = "own exchange"
	ScopeNumber         Scope  = "number"
	ScopeCall           Scope  = "call"
)

type callState int

const (
	stateWaiting callState = iota
	stateAttempting
	stateEstablished
	stateDone
)

type activeCall struct {
	Call
	arrivedAt, answerBy, waitUntil time.Duration // arrival; last moments for the final answer and the wait
	retryNotBefore, establishedAt  time.Duration // fifth rule; when it stood
	state                          callState
	attempts, tandemAttempts       int
	peer                           *peerExchange // group of the attempt that is out or stands
	viaTandem, inOwnWindow         bool          // out over a tandem; counted in the own window
	worth                          float64       // what a refusal costs
	waitReason                     Reason
	waitScope                      Scope
}

// peerExchange is a peerExchange exchange (or pool) with the own trunk group towards it.
type peerExchange struct {
	number                            int
	id                                uint32
	state                             ExchangeState
	circuitsKnown                     bool
	freeCircuits, groupSize           int
	directCircuits                    int           // circuits of own direct calls in flight
	transitCircuits                   map[int]int   // circuits in flight by transit source
	pendingSetups, lossesInRow        int           // set-ups unanswered; signs of silence since it last answered
	window, setupTimeRatio, reduction float64       // window; smoothed send-to-standing time over the target; hold-back share
	coldTokens, normalRate            float64       // when cold; demand when its processor started: redials since do not count
	lastFullAt                        time.Duration // when it last had less than the base reserve free
	blockedUntil                      time.Duration // no set-up before
	callRate, circuitDemand           rateMeter
	firstAttemptRate                  rateMeter               // first tries of the demand
	answerRate, lossRate              rateMeter               // as the controller's, of this way alone
	classLoads                        []classLoad             // of own direct calls, by class
	secondLegs                        map[int]*secondLegState // by destination, as a tandem: what is known of its second leg

	startedAt, setupTimeAt, windowCutAt, reductionAt, coldTokensAt time.Duration
}

// routeRequest is all by which the ways that are open to one waiting call differ from those of another.
// Where one of a routeRequest found no way in a turn, the others have none: within it, ways only close.
type routeRequest struct {
	destination, class, width int
	worth                     float64
	transit                   bool
	tandemAttempts            int
}

// blockCause says why.
type blockCause struct {
	Reason
	Scope
}

// classLoad is what one class of own direct calls asks of a group and has of it.
type classLoad struct {
	demand rateMeter // circuits, as arrivals times holding time
	inUse  int
}

// secondLegState books what is known of a tandem's second leg to one destination: calls that
// it turned back, and when it was last vouched for, by the centre or by a call that stood.
type secondLegState struct{ blockedUntil, blockTime, confirmedUntil time.Duration }

func (f *peerExchange) secondLeg(dest int) *secondLegState {
	if f.secondLegs[dest] == nil {
		f.secondLegs[dest] = &secondLegState{}
	}
	return f.secondLegs[dest]
}

// knownSecondLeg is the same to look at.
func (f *peerExchange) knownSecondLeg(dest int) secondLegState {
	if t := f.secondLegs[dest]; t != nil {
		return *t
	}
	return secondLegState{}
}

// blockSecondLeg skips the tandem for this destination, twice as long each time in a
// row. It saves the work of calls that go one leg far, whatever blocks the
// second; it harms when the second leg clears soon after.
func (f *peerExchange) blockSecondLeg(dest int, now time.Duration) {
	t := f.secondLeg(dest)
	if now-t.blockedUntil > maxSecondLegBlock {
		t.blockTime = 0
	}
	t.blockTime = min(max(2*t.blockTime, minSecondLegBlock), maxSecondLegBlock)
	t.blockedUntil, t.confirmedUntil = now+t.blockTime, 0
}

// rateMeter measures a rate per second over rateSpan.
type rateMeter struct {
	weightedSum float64
	updatedAt   time.Duration
}

func (m *rateMeter) add(now time.Duration, x float64) {
	m.weightedSum = m.weightedSum*math.Exp(-float64(now-m.updatedAt)/float64(rateTimeConstant)) + x
	m.updatedAt = now
}

func (m *rateMeter) rate(now, since time.Duration) float64 {
	span := float64(rateTimeConstant) * (1 - math.Exp(-float64(max(now-since, time.Second))/float64(rateTimeConstant)))
	return m.weightedSum * math.Exp(-float64(now-m.updatedAt)/float64(rateTimeConstant)) / (span / float64(time.Second))
}

type busyNumber struct {
	reports, pendingAttempts int
	lastReport, blockedUntil time.Duration
}

type Controller struct {
	settings                    Settings
	now, startedAt              time.Duration
	started                     bool
	minAim                      time.Duration
	offeredRate                 rateMeter     // calls handed over
	answerRate                  rateMeter     // ends of waits for an answer
	lossRate                    rateMeter     // and that by silence
	slowAnswerRate              rateMeter     // and those that were slow
	abandonmentRate             rateMeter     // callers who left before their time
	patience                    time.Duration // how long those stayed, smoothed
	meanWorth                   float64
	peers                       map[int]*peerExchange
	peersByNumber               []*peerExchange // by number
	numberByID                  map[uint32]int
	calls                       map[string]*activeCall
	unanswered                  []*activeCall               // not answered, by arrival
	established                 []*activeCall               // standing
	staleCheckedAt              time.Duration               // when those were last looked through
	queue                       []*activeCall               // waiting
	blockedRoutes               map[routeRequest]blockCause // in this turn
	busyNumbers                 map[uint64]*busyNumber
	ownExchange                 *peerExchange
	tandemCredit                float64 // tandem tries that may go out, earned by those that stood
	initialWindow               float64 // window of a far exchange at its start
	minSlowWindow               float64 // and while it is slow: less where more senders share it
	pendingSetups               int     // set-ups out over all ways
	fullShare                   float64 // share of own groups full of late, at fullAt
	fullShareAt                 time.Duration
	window                      float64 // and how many may be
	ownLoad                     float64 // the quicker send-to-standing times over the target, smoothed
	windowCutAt, ownLoadAt      time.Duration
	recentNumbers, olderNumbers map[uint64]time.Duration // numbers called of late and before: when first
	numbersRotatedAt            time.Duration
	highValueServed             int // waiting calls served since a lower class was
	timerAt                     time.Duration
	timerToken                  uint64
	verdictCounts               map[Reason]int
	random                      *rand.Rand // from the seed
	actions                     []Action
}

// New starts a controller that knows nothing but its settings.
func New(s Settings) *Controller {
	k := &Controller{settings: s, peers: map[int]*peerExchange{}, numberByID: map[uint32]int{}, calls: map[string]*activeCall{},
		busyNumbers: map[uint64]*busyNumber{}, verdictCounts: map[Reason]int{},
		recentNumbers: map[uint64]time.Duration{}, blockedRoutes: map[routeRequest]blockCause{},
		random: rand.New(rand.NewPCG(s.Seed, uint64(s.Me)))}
	aim := time.Hour
	for _, c := range s.Classes {
		aim = min(aim, c.Aim)
		k.meanWorth += c.Worth / float64(len(s.Classes))
	}
	k.minAim, k.window, k.tandemCredit = aim, initialOwnWindow, maxTandemCredit
	k.minSlowWindow = min(sharedPeerWindow/float64(max(s.Controllers-1, 1)), 1)
	k.initialWindow = max(initialPeerWindow*k.minSlowWindow, 1)
	return k
}

// Handle takes one event and returns what to do about it.
func (k *Controller) Handle(now time.Duration, e Event) []Action {
	if !k.started {
		k.started, k.startedAt, k.fullShareAt = true, now, now-1
	}
	k.now, k.actions = now, nil
	switch e := e.(type) {
	case ExchangeListUpdate:
		k.applyExchangeList(e)
	case Call:
		k.handleCall(e)
	case CallAbandoned:
		k.handleAbandoned(e)
	case GroupStatus:
		if f := k.peerByID(e.ExchangeID); f != nil && e.OK {
			f.applyReport(now, e.Report)
		}
	case CallEstablished:
		k.handleEstablished(e)
	case AttemptEnded:
		k.handleAttemptEnded(e)
	case TimerExpired: // one that an earlier one has replaced must not start a row of its own
		if now >= k.timerAt {
			k.timerAt = 0
		}
	}
	if len(k.queue) > 0 || now >= k.timerAt { // else nothing waits and nothing is due
		k.serveQueue()
	}
	return k.actions
}

func (k *Controller) peerByID(id uint32) *peerExchange {
	if cell, ok := k.numberByID[id]; ok {
		return k.peers[cell]
	}
	return nil
}

func (f *peerExchange) applyReport(now time.Duration, r StatusReport) {
	if r.CircuitsKnown {
		f.circuitsKnown, f.freeCircuits, f.groupSize = true, r.FreeCircuits, r.GroupSize
		if r.FreeCircuits < baseReserve {
			f.lastFullAt = now
		}
	}
	if r.HasReduction {
		f.reduction, f.reductionAt = min(max(r.Reduction, 0), 1), now
	}
}

// applyExchangeList follows the exchange applyExchangeList. A number keeps its group when a new
// processor takes the old one's place; the newest that is in service serves.
func (k *Controller) applyExchangeList(e ExchangeListUpdate) {
	if e.Complete {
		for _, f := range k.peersByNumber {
			f.state = OutOfService
		}
	}
	for _, x := range e.Entries {
		f := k.peers[x.Number]
		if f == nil {
			f = &peerExchange{number: x.Number, id: x.ID, transitCircuits: map[int]int{}, secondLegs: map[int]*secondLegState{},
				window: k.initialWindow, state: OutOfService, classLoads: make([]classLoad, len(k.settings.Classes))}
			k.peers[x.Number] = f
			k.peersByNumber = append(k.peersByNumber, f)
			slices.SortFunc(k.peersByNumber, func(a, b *peerExchange) int { return a.number - b.number })
			if x.Number == k.settings.Self {
				k.ownExchange = f
			}
		}
		if x.State != InService && f.id != x.ID {
			continue // word of one that has been replaced already
		}
		if x.ID != f.id || x.StartedAt != f.startedAt {
			if f.state == InService && x.ID != f.id && x.StartedAt < f.startedAt {
				continue
			}
			f.setupTimeRatio, f.blockedUntil, f.reduction, f.lossesInRow, f.window = 0, 0, 0, 0, k.initialWindow
			f.coldTokens, f.coldTokensAt, f.normalRate = k.random.Float64(), k.now, f.callRate.rate(k.now, k.startedAt)
		}
		delete(k.numberByID, f.id) // the table holds one processor a number
		k.numberByID[x.ID] = x.Number
		f.id, f.state, f.startedAt = x.ID, x.State, x.StartedAt
	}
}

func (k *Controller) classOf(c *activeCall) Class { return k.settings.Classes[c.Class] }

// firstAttempt tells when a caller first tried, and whether the aim has passed since.
// A number that was called here before counts as tried again where callers do not
// mark it; it guards against redials that crowd out first tries, and harms callers
// of one number that many call, while they all call.
func (k *Controller) firstAttempt(e Call, cl Class) (time.Duration, bool) {
	if e.Transit || e.Reconnect || !e.HasCalledNumber {
		return k.now, e.Repeat && !e.Reconnect
	}
	first, known := k.recentNumbers[e.CalledNumber]
	if !known {
		first, known = k.olderNumbers[e.CalledNumber]
	}
	if !known || k.now-first > cl.GiveUp || k.settings.MarksRepeat && !e.Repeat {
		if k.now-k.numbersRotatedAt > cl.GiveUp || len(k.recentNumbers) >= maxRecentNumbers {
			k.recentNumbers, k.olderNumbers, k.numbersRotatedAt = map[uint64]time.Duration{}, k.recentNumbers, k.now
		}
		k.recentNumbers[e.CalledNumber] = k.now
		return k.now, e.Repeat
	}
	return first, k.now-first >= cl.Aim
}

func (k *Controller) handleCall(e Call) {
	cl := k.settings.Classes[e.Class]
	c := &activeCall{Call: e, arrivedAt: k.now, worth: cl.Worth}
	c.answerBy = k.now + e.Remaining - 2*k.settings.Tick
	began, late := k.firstAttempt(e, cl)
	if late {
		c.worth *= max(cl.LateWorth, 0.01)
	}
	wait := min(max(began+k.effectiveAim(cl.Aim)-k.now-k.targetSetupTime(), minWait), maxWait)
	if e.Transit {
		wait = minWait // its caller waits on, and may find another tandem in time
	}
	c.waitUntil = min(k.now+wait, c.answerBy)
	k.calls[c.ID] = c
	k.unanswered = append(k.unanswered, c)
	first := 1.0
	if began < k.now || e.Repeat {
		first = 0
	}
	if k.ownExchange != nil {
		k.ownExchange.callRate.add(k.now, 1)
		k.ownExchange.firstAttemptRate.add(k.now, first)
	}
	k.offeredRate.add(k.now, 1)
	if f := k.peers[e.Destination]; f != nil {
		f.callRate.add(k.now, 1)
		f.firstAttemptRate.add(k.now, first)
		if seconds := float64(e.Width) * cl.Holding.Seconds(); !e.Transit {
			f.circuitDemand.add(k.now, seconds)
			if !e.Repeat {
				f.classLoads[e.Class].demand.add(k.now, seconds)
			}
		}
	}
	if !e.Transit {
		k.tandemCredit = min(k.tandemCredit+tandemCreditPerCall, maxTandemCredit)
		if a := k.peers[e.Via]; a != nil && k.settings.Advice {
			a.secondLeg(e.Destination).confirmedUntil = k.now + secondLegValidity
		}
	}
	if e.Remaining <= 0 {
		k.fail(c, ReasonTimeUp, ScopeCall)
		return
	}
	if b := k.busyNumbers[e.CalledNumber]; b != nil && k.numberBlocked(b) {
		k.refuse(c, ReasonNumberBusy, ScopeNumber)
		return
	}
	k.queue = append(k.queue, c)
}

// numberBlocked guards against a storm of calls on one number with few lines: after
// some busy notes one try at a time goes out, in ever longer turns. One busy
// number alone does not fire it. It harms a number whose lines clear at once.
func (k *Controller) numberBlocked(b *busyNumber) bool {
	return k.now-b.lastReport <= busyReportLifetime && b.reports >= minBusyReports && (b.pendingAttempts > 0 || k.now < b.blockedUntil)
}

// handleAbandoned books a caller who left; an attempt that is out is called off.
func (k *Controller) handleAbandoned(e CallAbandoned) {
	c := k.calls[e.CallID]
	if c == nil || c.state == stateDone {
		return
	}
	if k.now < c.answerBy-k.settings.Tick {
		if k.abandonmentRate.weightedSum == 0 {
			k.patience = k.now - c.arrivedAt
		}
		k.abandonmentRate.add(k.now, 1)
		k.patience += (k.now - c.arrivedAt - k.patience) / 8
	}
	k.recordVerdict(c, ReasonCallerLeft, ScopeCall, c.Destination)
	if c.state == stateAttempting && k.settings.Cancelling {
		k.actions = append(k.actions, CancelAttempt{c.ID, c.attempts - 1})
	}
	k.finish(c)
}

// effectiveAim is the time in which a call must stand: the class's, or less when callers
// in number leave before the time that they named. It guards against waits and
// set-ups that outlast the callers, whatever drives them off; a few hasty ones
// do not fire it. It harms when they leave for a fault that haste cannot mend.
func (k *Controller) effectiveAim(of time.Duration) time.Duration {
	if k.abandonmentRate.rate(k.now, k.startedAt) > abandonmentThreshold*k.offeredRate.rate(k.now, k.startedAt) {
		return min(of, k.patience)
	}
	return of
}

// targetSetupTime is the send-to-standing time wanted.
func (k *Controller) targetSetupTime() time.Duration {
	t := time.Duration(targetAimShare * float64(k.effectiveAim(k.minAim)))
	if k.settings.ResendAfter > 0 {
		t = min(t, time.Duration(targetResendShare*float64(k.settings.ResendAfter)))
	}
	return max(t, time.Millisecond)
}

// serveQueue offers waiting calls their turn and answers those whose wait is over.
func (k *Controller) serveQueue() {
	clear(k.blockedRoutes)
	k.expireCalls()
	k.sortQueue()
	if l := k.lowestValueCall(); l != nil && k.highValueServed >= lowestValueInterval {
		k.tryRoutes(l) // its turn, before dearer ones
	}
	rest := k.queue[:0]
	for _, c := range k.queue {
		if c.state == stateWaiting && !k.tryRoutes(c) {
			rest = append(rest, c)
		}
	}
	k.queue = rest
	k.armTimer()
}

// lowestValueCall is the longest waiting own call of the cheapest kind; circuits are withheld for
// it only while it waits.
func (k *Controller) lowestValueCall() *activeCall {
	var l *activeCall
	for _, c := range k.queue {
		if c.state != stateWaiting || c.Transit {
			continue
		}
		if l == nil || c.worth < l.worth || c.worth == l.worth && c.arrivedAt < l.arrivedAt {
			l = c
		}
	}
	return l
}

// sortQueue: own callers first; then the transit source with the largest floor
// shortfall, else the one with fewest in flight; within a source the dearest.
func (k *Controller) sortQueue() {
	slices.SortStableFunc(k.queue, func(a, b *activeCall) int {
		switch {
		case a.Transit && !b.Transit:
			return 1
		case b.Transit && !a.Transit:
			return -1
		case a.Transit && a.Via != b.Via:
			sa, fa := k.transitShortfall(a)
			sb, fb := k.transitShortfall(b)
			return cmp.Or(sb-sa, fa-fb, a.Via-b.Via)
		}
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.arrivedAt, b.arrivedAt))
	})
}

// transitShortfall tells how far a transit source is below its floor on the group it
// wants, and how many circuits it has in flight there.
func (k *Controller) transitShortfall(c *activeCall) (int, int) {
	f := k.peers[c.Destination]
	if f == nil {
		return 0, 0
	}
	return max(max(1, f.groupSize/(4*max(len(k.peersByNumber), 1)))-f.transitCircuits[c.Via], 0), f.transitCircuits[c.Via]
}

// expireCalls finishes calls whose time or wait is over and forgets the finished.
func (k *Controller) expireCalls() {
	rest := k.unanswered[:0]
	for _, c := range k.unanswered {
		switch {
		case c.state == stateDone:
			continue
		case c.state == stateEstablished:
			k.established = append(k.established, c) // nothing is due of it, however many stand
			continue
		case k.now >= c.answerBy:
			k.fail(c, ReasonTimeUp, ScopeCall)
			continue
		case c.state == stateWaiting && k.now >= c.waitUntil && !(k.now < c.retryNotBefore && c.retryNotBefore < c.answerBy):
			if k.tryRoutes(c) {
				break
			}
			k.refuse(c, c.waitReason, c.waitScope)
			continue
		}
		rest = append(rest, c)
	}
	k.unanswered = rest
	if k.now-k.staleCheckedAt < staleCheckInterval {
		return
	}
	k.staleCheckedAt, rest = k.now, k.established[:0]
	for _, c := range k.established {
		if c.state == stateEstablished && k.now-c.establishedAt > staleHoldingTimes*k.classOf(c).Holding {
			k.releaseCircuits(c) // guards the counts against an end that never came
			k.finish(c)
		}
		if c.state == stateEstablished {
			rest = append(rest, c)
		}
	}
	clear(k.established[len(rest):])
	k.established = rest
}

func (k *Controller) armTimer() {
	next := time.Duration(math.MaxInt64)
	for _, c := range k.unanswered {
		if c.state == stateWaiting {
			next = min(next, max(c.waitUntil, c.retryNotBefore), k.now+queueRecheckInterval)
		}
		if c.state != stateEstablished {
			next = min(next, c.answerBy)
		}
	}
	if next == math.MaxInt64 || k.timerAt > k.now && k.timerAt <= next {
		return
	}
	k.timerAt = max(next, k.now+time.Millisecond)
	k.timerToken++
	k.actions = append(k.actions, SetTimer{k.timerToken, k.timerAt - k.now})
}

func (k *Controller) recordVerdict(c *activeCall, r Reason, s Scope, cell int) {
	k.verdictCounts[r]++
	n := k.verdictCounts[r] // logged: the 1st, 2nd, 4th, 8th ... of each reason
	k.actions = append(k.actions, Verdict{c.ID, c.Class, r, s, cell, n, n&(n-1) == 0})
}

func (k *Controller) finish(c *activeCall) {
	if c.state != stateAttempting {
		delete(k.calls, c.ID)
	}
	c.state = stateDone
}

func (k *Controller) refuse(c *activeCall, r Reason, s Scope) {
	k.recordVerdict(c, r, s, c.Destination)
	hint := time.Duration(0)
	if !c.Transit && k.settings.Backoff {
		hint = k.settings.BackoffMax
	}
	k.actions = append(k.actions, RefuseCall{c.ID, hint})
	k.finish(c)
}

func (k *Controller) fail(c *activeCall, r Reason, s Scope) {
	k.recordVerdict(c, r, s, c.Destination)
	k.actions = append(k.actions, FailCall{c.ID})
	k.finish(c)
}

// keepWaiting keeps the call waiting and notes why.
func (k *Controller) keepWaiting(c *activeCall, r Reason, s Scope) bool {
	if c.waitReason == "" {
		k.recordVerdict(c, r, s, c.Destination)
	}
	c.waitReason, c.waitScope = r, s
	return false
}

// tryRoutes sends the call if a route admits it; true if it waits no more.
func (k *Controller) tryRoutes(c *activeCall) bool {
	if k.now < c.retryNotBefore {
		return k.keepWaiting(c, ReasonReleaseWait, ScopeCall)
	}
	if c.attempts >= k.settings.MaxAttempts {
		k.refuse(c, ReasonAttemptsSpent, ScopeCall)
		return true
	}
	d := k.peers[c.Destination]
	if d == nil || d == k.ownExchange && !k.settings.Pools {
		return k.keepWaiting(c, ReasonNotInService, ScopeExchange)
	}
	like := routeRequest{c.Destination, c.Class, c.Width, c.worth, c.Transit, c.tandemAttempts}
	if why, shut := k.blockedRoutes[like]; shut {
		return k.keepWaiting(c, why.Reason, why.Scope)
	}
	r, s := k.directBlocked(c, d)
	if r == "" {
		k.startAttempt(c, d, false)
		return true
	}
	if c.Transit && (s != ScopeGroup || d.circuitsKnown && d.groupSize == 0) {
		k.refuse(c, r, s) // a wait for a processor only adds to the press, one for no group is vain
		return true
	}
	if t := k.selectTandem(c, d, r); t != nil {
		k.recordVerdict(c, ReasonRerouted, s, t.number)
		k.startAttempt(c, t, true)
		return true
	}
	k.blockedRoutes[like] = blockCause{r, s}
	return k.keepWaiting(c, r, s)
}

// directBlocked tells why the way to the destination is closed, "" if it is open.
func (k *Controller) directBlocked(c *activeCall, d *peerExchange) (Reason, Scope) {
	if r, s := k.setupBlocked(c, d); r != "" {
		return r, s
	}
	owed := k.highValueReserve(c, d)
	if c.Transit {
		owed = max(owed, k.unusedReserve(d))
	}
	if d.circuitsKnown && d.freeCircuits < c.Width+owed {
		return ReasonNoCircuit, ScopeGroup
	}
	return "", ""
}

// unusedReserve is the direct reserve less the direct calls running, floored at 0. On a group that was
// full of late it follows the own direct demand and its spread: thin groups stay open to transit.
func (k *Controller) unusedReserve(f *peerExchange) int {
	reserve := baseReserve
	if k.now-f.lastFullAt < rateTimeConstant {
		asked := f.circuitDemand.rate(k.now, k.startedAt)
		reserve = max(reserve, int((asked+math.Sqrt(asked))*k.fullGroupShare()))
	}
	return max(reserve-min(f.directCircuits, max(f.groupSize-f.freeCircuits, 0)), 0)
}

// fullGroupShare is the share of own groups that were full of late, counted once a moment.
func (k *Controller) fullGroupShare() float64 {
	if k.fullShareAt != k.now {
		full, all := 0.0, 1e-9
		for _, o := range k.peersByNumber {
			if o.groupSize > 0 {
				all++
				if k.now-o.lastFullAt < rateTimeConstant {
					full++
				}
			}
		}
		k.fullShareAt, k.fullShare = k.now, full/all
	}
	return k.fullShare
}

// highValueReserve is kept back on a group for classes that are worth far more by the
// circuit and second: what they ask of it less what they have of it. It guards
// them when cheap calls, or tries whose aim has passed, would fill the group; it
// harms when a dear class stops calling at once, for as long as demand is measured.
func (k *Controller) highValueReserve(c *activeCall, f *peerExchange) int {
	owed := 0
	own := circuitValue(c.worth, c.Width, k.classOf(c).Holding)
	for i := range f.classLoads {
		if cl := k.settings.Classes[i]; circuitValue(cl.Worth, cl.Width, cl.Holding) > highValueFactor*own {
			owed += max(int(math.Ceil(f.classLoads[i].demand.rate(k.now, k.startedAt)))-f.classLoads[i].inUse, 0)
		}
	}
	return owed
}

// circuitValue is what a circuit earns in a second of a call.
func circuitValue(worth float64, width int, holding time.Duration) float64 {
	return worth / (float64(max(width, 1)) * max(holding.Seconds(), 0.001))
}

// setupBlocked tells why the processor at the far end takes no set-up now.
func (k *Controller) setupBlocked(c *activeCall, f *peerExchange) (Reason, Scope) {
	switch {
	case f.state != InService:
		return ReasonNotInService, ScopeExchange
	case k.warmingUp(f) && f.coldTokens < 1:
		return ReasonColdProcessor, ScopeExchange
	case k.ownExchange != nil && k.warmingUp(k.ownExchange) && k.ownExchange.coldTokens < 1:
		return ReasonColdProcessor, ScopeOwnExchange
	}
	dear := 0.0 // set-ups more that a dear call may have out
	if c.worth > k.meanWorth {
		dear = 1
	}
	if k.pendingSetups > 0 && float64(k.pendingSetups+1) > k.window+dear {
		return ReasonOverload, ScopeOwnExchange
	}
	win := f.window
	if k.now-f.reductionAt < reductionLifetime {
		win *= 1 - f.reduction
	}
	win += dear
	if c.worth < k.classOf(c).Worth {
		win /= 2
	}
	if k.now < f.blockedUntil || f.pendingSetups > 0 && float64(f.pendingSetups+1) > win {
		if f.lossesInRow >= k.lossThreshold(f) {
			return ReasonUnresponsive, ScopeExchange // one that is out is a trial
		}
		return ReasonOverload, ScopeExchange
	}
	return "", ""
}

// warmingUp tells whether the processor is within its warm-up, and refills this controller's share
// of its budget: the multiple of the least capacity it may have, on what it is sent in normal
// times. First shares are drawn, since a share under one set-up may not start at one everywhere.
func (k *Controller) warmingUp(f *peerExchange) bool {
	age := k.now - f.startedAt
	if f.startedAt <= 0 || age >= k.settings.ColdFor || k.settings.ColdFor <= 0 {
		return false
	}
	normal := f.normalRate
	if k.startedAt > f.startedAt { // it started later itself and knows no demand of before
		normal = f.firstAttemptRate.rate(k.now, k.startedAt)
	}
	have := k.settings.ColdFrom + (1-k.settings.ColdFrom)*float64(age)/float64(k.settings.ColdFor)
	rate := coldBudgetShare * min(k.settings.OverloadFactor*have, 1/coldBudgetShare) *
		max(normal, min(minColdRate/float64(max(k.settings.Controllers, 1)), 0.5))
	f.coldTokens = min(f.coldTokens+rate*(k.now-f.coldTokensAt).Seconds(), max(1, rate*k.settings.OverloadFor.Seconds()/4))
	f.coldTokensAt = k.now
	return true
}

// decayed is the smoothed time over the target when nothing is heard.
func (k *Controller) decayed(v float64, at time.Duration) float64 {
	return v * math.Exp2(-float64(k.now-at)/float64(setupTimeHalfLife))
}

// selectTandem picks the one whose own first leg has most circuits free beyond the
// owed reserve. A selectTandem costs a third processor, so it is for circuits that
// lack and for a direct way that is silent, not for processors that are pressed.
// It guards against a pair that has lost each other. Tandems vouched for come first:
// where many exchanges share few circuits, most second legs are full or not there. Tries
// spend credit that standing calls earn: it guards processors against turn-backs in number,
// whatever turns the calls back; it harms when second legs clear all at once.
func (k *Controller) selectTandem(c *activeCall, d *peerExchange, r Reason) *peerExchange {
	if c.Transit || c.tandemAttempts >= maxTandemAttempts || k.tandemCredit < 1 {
		return nil
	}
	if !k.settings.Pools && (r != ReasonNoCircuit && (r != ReasonUnresponsive || k.now < d.knownSecondLeg(c.Destination).blockedUntil) ||
		d.groupSize > 0 && (k.decayed(k.ownLoad, k.ownLoadAt) > congestionThreshold || k.decayed(d.setupTimeRatio, d.setupTimeAt) > congestionThreshold)) {
		return nil // a try round a silent way that failed speaks for all
	}
	var best *peerExchange
	vouched := false
	for _, t := range k.peersByNumber { // what is cheap to see comes first: all that wait come by here at each event
		if t == d || t == k.ownExchange || !t.circuitsKnown || t.state != InService || t.freeCircuits < c.Width ||
			k.settings.Pools && !slices.Contains(k.classOf(c).Pools, t.number) || t.freeCircuits-k.unusedReserve(t) < c.Width {
			continue
		}
		leg := t.knownSecondLeg(c.Destination)
		good := k.now < leg.confirmedUntil
		if best != nil && (vouched && !good || good == vouched && t.freeCircuits <= best.freeCircuits) ||
			k.now < leg.blockedUntil || k.decayed(t.setupTimeRatio, t.setupTimeAt) > congestionThreshold {
			continue
		}
		if why, _ := k.setupBlocked(c, t); why == "" {
			best, vouched = t, good
		}
	}
	return best
}

func (k *Controller) startAttempt(c *activeCall, f *peerExchange, alt bool) {
	k.highValueServed++
	if c.worth <= k.meanWorth {
		k.highValueServed = 0
	}
	f.freeCircuits -= c.Width
	f.pendingSetups++
	// a tandem may hold it for a circuit and a slow far end for long, which tells nothing of the own
	if c.inOwnWindow = !alt && (f.window >= k.initialWindow || k.ownLoad > congestionThreshold); c.inOwnWindow {
		k.pendingSetups++
	}
	f.coldTokens--
	if k.ownExchange != nil {
		k.ownExchange.coldTokens--
	}
	if b := k.busyNumbers[c.CalledNumber]; b != nil {
		b.pendingAttempts++
	}
	c.state, c.peer, c.viaTandem = stateAttempting, f, alt
	c.attempts++
	if alt {
		c.tandemAttempts++
		k.tandemCredit--
	}
	switch {
	case c.Transit:
		f.transitCircuits[c.Via] += c.Width
	case !alt:
		f.directCircuits += c.Width
		f.classLoads[c.Class].inUse += c.Width
	}
	k.actions = append(k.actions, StartAttempt{c.ID, f.id, k.attemptTimeout(c, alt)})
}

// attemptTimeout is the time left, or less where answers get lost, not slow, so that a further try can
// stand within the aim. It guards against losses of any cause; it harms by set-ups done twice.
func (k *Controller) attemptTimeout(c *activeCall, alt bool) time.Duration {
	left, soon := c.answerBy-k.now, k.targetSetupTime()
	if alt {
		soon += minWait // a tandem may wait for a circuit
	}
	if !k.losesAnswers(c.peer) || soon+k.settings.ReleaseWait+k.targetSetupTime() > left {
		return left
	}
	return soon
}

// losesAnswers tells whether answers of late got lost, on the way to a far end among others, and are not slow.
func (k *Controller) losesAnswers(f *peerExchange) bool {
	return k.lossShare() >= minLossShare && k.slowAnswerRate.rate(k.now, 0) <= maxSlowPerLost*k.lossRate.rate(k.now, 0) &&
		k.ownLoad <= congestionThreshold && f.setupTimeRatio <= congestionThreshold
}

// releaseCircuits takes the call out of the counts.
func (k *Controller) releaseCircuits(c *activeCall) {
	f := c.peer
	switch {
	case f == nil:
		return
	case c.Transit:
		f.transitCircuits[c.Via] -= c.Width
		if f.transitCircuits[c.Via] <= 0 {
			delete(f.transitCircuits, c.Via)
		}
	case !c.viaTandem:
		f.directCircuits -= c.Width
		f.classLoads[c.Class].inUse -= c.Width
	}
	c.peer = nil
}

// recordAnswer books the end of the wait for an answer.
func (k *Controller) recordAnswer(c *activeCall) *busyNumber {
	k.answerRate.add(k.now, 1)
	c.peer.answerRate.add(k.now, 1)
	c.peer.pendingSetups--
	if c.inOwnWindow {
		k.pendingSetups--
	}
	b := k.busyNumbers[c.CalledNumber]
	if b != nil {
		b.pendingAttempts = max(b.pendingAttempts-1, 0)
	}
	return b
}

func (k *Controller) handleEstablished(e CallEstablished) {
	c := k.calls[e.CallID]
	if c == nil || c.peer == nil || e.Attempt != c.attempts-1 || c.establishedAt > 0 {
		return
	}
	f := c.peer
	if b := k.recordAnswer(c); b != nil {
		b.reports /= 2
	}
	c.establishedAt = max(k.now, 1)
	if c.state == stateAttempting {
		c.state = stateEstablished
	}
	f.lossesInRow = 0
	if took := float64(e.Elapsed) / float64(k.targetSetupTime()); took <= 1 && float64(k.pendingSetups+1) >= k.window/2 {
		k.window = min(k.window+1/k.window, maxWindow)
	}
	if d := k.peers[c.Destination]; c.viaTandem && d != nil {
		k.tandemCredit = min(k.tandemCredit+tandemCreditPerSuccess, maxTandemCredit)
		delete(d.secondLegs, c.Destination)
		f.secondLegs[c.Destination] = &secondLegState{confirmedUntil: k.now + secondLegValidity}
	}
	took := float64(e.Elapsed) / float64(k.targetSetupTime())
	if c.viaTandem {
		took /= 1.5 // one more processor on the way
	}
	f.setupTimeRatio = setupTimeWeight*k.decayed(f.setupTimeRatio, f.setupTimeAt) + (1-setupTimeWeight)*took
	f.setupTimeAt = k.now
	// The quick answers tell of the own processor: when they are quick, slow ones are the far ends'.
	if took > k.ownLoad {
		k.ownLoad += (1 - slowerAnswerWeight) * (min(took, 2) - k.ownLoad)
	} else {
		k.ownLoad += (1 - setupTimeWeight) * (took - k.ownLoad)
	}
	k.ownLoadAt = k.now
	switch {
	case took > 1:
		k.slowAnswerRate.add(k.now, 1)
		k.narrowWindow(f, slowAnswerFactor, k.minSlowWindow, e.Elapsed)
		if k.now-e.Elapsed >= k.windowCutAt && k.ownLoad > congestionThreshold {
			k.windowCutAt, k.window = k.now, max(k.window*slowAnswerFactor, minOwnWindow)
		}
	case float64(f.pendingSetups+1) >= f.window/2:
		f.window = min(f.window+min(1/f.window, math.Sqrt(f.window)), maxWindow)
	}
}

// narrowWindow narrows the window, once for what went out before the last narrowWindow; below one set-up it
// is a rest between single ones, since one each from dozens of senders jams a slow processor.
// It answers slow, ageing, hung, stalled and flooded processors alike; it harms one that
// recovers at once, for a rest.
func (k *Controller) narrowWindow(f *peerExchange, by, least float64, sent time.Duration) {
	if k.now-sent < f.windowCutAt {
		return
	}
	f.windowCutAt = k.now
	if f.window = max(f.window*by, min(least, f.window)); f.window < 1 {
		f.blockedUntil = max(f.blockedUntil, k.now+time.Duration((1/f.window-1)*float64(min(setupGap, k.minAim/2))))
	}
}

// lossThreshold tells how many losses in a row speak for a far end that is silent: more, the larger
// the share of answers that is lost on the other ways, since then as many come by chance.
func (k *Controller) lossThreshold(f *peerExchange) int {
	heard := k.answerRate.rate(k.now, k.startedAt) - f.answerRate.rate(k.now, k.startedAt)
	mute := k.lossRate.rate(k.now, k.startedAt) - f.lossRate.rate(k.now, k.startedAt)
	share := min(max(mute/(max(heard, 0)+1), 1e-9), 0.5)
	return max(minLossesInRow, 1+int(math.Log(maxLossRunProbability)/math.Log(share)))
}

// lossShare is the share of set-ups that found silence of late; few tell little.
func (k *Controller) lossShare() float64 {
	return k.lossRate.rate(k.now, k.startedAt) / (k.answerRate.rate(k.now, k.startedAt) + 1)
}

// recordLoss narrows the window to a far end that is silent or refuses, to rests from the second
// sign in a row. One sign alone does little, and nothing where losses are common: a set-up may
// be lost on the way. It harms a far end that is pressed and loses what it can't serve at once.
func (k *Controller) recordLoss(f *peerExchange, sent time.Duration, lossy bool) {
	least := 1.0
	if f.lossesInRow++; f.lossesInRow >= k.lossThreshold(f) {
		f.window, least = min(f.window, 1), minUnresponsiveWindow
	} else if lossy {
		return
	}
	k.narrowWindow(f, rejectionFactor, least, sent)
}

func (k *Controller) handleAttemptEnded(e AttemptEnded) {
	c := k.calls[e.CallID]
	if f := k.peerByID(e.ExchangeID); f != nil {
		f.applyReport(k.now, e.Report)
	}
	if c == nil || c.peer == nil || e.Attempt != c.attempts-1 {
		return
	}
	f, stood := c.peer, c.establishedAt > 0
	if !stood {
		b := k.recordAnswer(c)
		if e.Outcome == OutcomeTimedOut {
			k.lossRate.add(k.now, 1)
			f.lossRate.add(k.now, 1)
		}
		if e.Outcome == OutcomeFailed && e.Note == NoteLinesBusy {
			k.recordBusyNumber(c.CalledNumber, b)
		}
	}
	k.releaseCircuits(c)
	if e.Final || stood || c.state == stateDone {
		c.state = stateDone
		delete(k.calls, c.ID)
		return
	}
	c.state = stateWaiting
	if d := k.peers[c.Destination]; c.viaTandem && d != nil && d.lossesInRow >= k.lossThreshold(d) && e.Outcome != OutcomeNotSent {
		d.blockSecondLeg(c.Destination, k.now)
	}
	switch e.Outcome {
	case OutcomeTimedOut, OutcomeReset, OutcomeCancelled, OutcomeUnreachable:
		if e.Outcome != OutcomeUnreachable {
			c.retryNotBefore = k.now + k.settings.ReleaseWait + k.settings.Tick
		}
		if c.viaTandem && !k.settings.Pools && e.Outcome != OutcomeUnreachable {
			f.blockSecondLeg(c.Destination, k.now) // what lies behind the tandem may be silent
		} else if e.Outcome == OutcomeTimedOut || e.Outcome == OutcomeUnreachable {
			k.recordLoss(f, e.Elapsed, k.losesAnswers(f)) // a reset is an answer
		}
	case OutcomeRejected:
		if e.Note == NoteProcessorFull {
			k.recordLoss(f, e.Elapsed, false)
			f.blockedUntil = max(f.blockedUntil, k.now+e.RetryAfter)
			break
		}
		f.blockSecondLeg(c.Destination, k.now)
		if e.Note == NoteOnwardProcessorFull {
			k.narrowWindow(k.peers[c.Destination], rejectionFactor, k.minSlowWindow, e.Elapsed)
		}
	case OutcomeNotSent:
		if e.Note == NoteNoCircuit {
			f.freeCircuits = min(f.freeCircuits, c.Width-1)
		} else if e.Note == NoteProcessorFull && k.ownExchange != nil {
			k.refuse(c, ReasonUnresponsive, ScopeOwnExchange)
			return
		}
	case OutcomeFailed:
		if e.Note == NoteLinesBusy {
			k.refuse(c, ReasonNumberBusy, ScopeNumber)
			return
		}
	}
	if k.now+k.settings.Tick >= c.answerBy || c.retryNotBefore >= c.answerBy {
		k.fail(c, ReasonTimeUp, ScopeCall)
		return
	}
	if !c.Transit || e.Outcome == OutcomeNotSent {
		k.queue = append(k.queue, c)
		return
	}
	k.refuse(c, ReasonOverload, ScopeExchange)
}

func (k *Controller) recordBusyNumber(n uint64, b *busyNumber) {
	if b == nil {
		if len(k.busyNumbers) >= maxBusyNumbers {
			k.busyNumbers = map[uint64]*busyNumber{}
		}
		b = &busyNumber{}
		k.busyNumbers[n] = b
	}
	if k.now-b.lastReport > busyReportLifetime {
		b.reports = 0
	}
	b.reports++
	b.lastReport = k.now
	b.blockedUntil = k.now + min(setupGap<<min(b.reports, 8), maxNumberGap)
}
