// All that decides; its interface is in api.go, what was changed of the paper in docs/design.md.
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
	reserveBase  = 2                      // circuits of direct reserve beyond the measured demand
	dearFactor   = 3.0                    // worth by circuit and second that makes a class dear to another
	waitLeast    = 500 * time.Millisecond // shortest wait of a call with no route
	waitMost     = time.Second            // longest
	turnedSkip   = 3 * time.Second        // a tandem that turned a call back is skipped so long
	turnedMost   = 12 * time.Second       // doubled each time up to this
	altTries     = 2                      // tandems tried for one call
	altEarns     = 2.0                    // tandem tries that a call standing over one pays for
	altFree      = 0.1                    // and every own call
	altSaved     = 8.0                    // most tries saved up
	keepEvery    = 5                      // of so many served waiting calls, one is a lower class's
	targetOfAim  = 0.4                    // send-to-standing time wanted, as a share of the shortest aim
	targetOfT1   = 0.75                   // the same, as a share of the set-up repeat time
	windowShare  = 8.0                    // set-ups that all senders may have out to one slow exchange
	windowStart  = 4.0                    // set-ups out to one exchange at the start, at the most
	windowMost   = 32.0                   // and later
	windowLeast  = 0.125                  // and to a silent one: rests between single set-ups
	ownStart     = 8.0                    // set-ups out over all ways at the start
	ownLeast     = 2.0                    // and at the least
	windowCut    = 0.7                    // factor at a slow answer
	windowHalve  = 0.5                    // at a refusal of a full processor or a sign of silence
	altPressure  = 0.6                    // no tandem above this share of the target
	latKeep      = 0.7                    // weight of the past in smoothed times
	pressKeep    = 0.9                    // the same for the own processor when an answer is slower
	latFade      = 3 * time.Second        // smoothed times halve when unheard of for so long
	rateSpan     = 10 * time.Second       // span of measured demand
	coldSafety   = 0.8                    // share used of the budget of a cold processor
	coldLeast    = 12.0                   // set-ups a second to a cold processor in any case, by all senders
	rest         = 500 * time.Millisecond // between single set-ups at a window of a half
	gapMost      = 4 * time.Second        // longest turn of a busy number
	hastyShare   = 0.1                    // share of callers leaving early that shortens waits
	silentSigns  = 2                      // signs of silence in a row before a rest, or more
	tardyShare   = 0.3                    // but not where slow answers are more than this to one lost
	lossLeast    = 0.05                   // share of answers lost that shortens time-outs
	silentChance = 0.002                  // if so many by chance are likelier than this
	busySigns    = 2                      // busy notes after which a number is gapped
	busyFor      = 10 * time.Second       // and forgotten after so long without one
	epsFor       = 2 * time.Second        // a hold-back share counts for so long
	glance       = 50 * time.Millisecond
	ghostHolding = 10 // mean holding times after which a call is no longer counted
	ghostEvery   = time.Second
	numbersMost  = 512
	triedMost    = 4096
	vouchFor     = 500 * time.Millisecond // word that a tandem reaches a destination counts so long
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

type phase int

const (
	waiting phase = iota
	out
	standing
	done
)

type call struct {
	Call
	at, due, waitTill time.Duration // arrival; last moments for the final answer and the wait
	notBefore, stood  time.Duration // fifth rule; when it stood
	state             phase
	attempts, alts    int
	leg               *far    // group of the attempt that is out or stands
	alt, own          bool    // out over a tandem; counted in the own window
	worth             float64 // what a refusal costs
	why               Reason
	scope             Scope
}

// far is a far exchange (or pool) with the own trunk group towards it.
type far struct {
	cell             int
	id               uint32
	state            ExchangeState
	known            bool
	free, size       int
	direct           int           // circuits of own direct calls in flight
	transit          map[int]int   // circuits in flight by transit source
	pend, silent     int           // set-ups unanswered; signs of silence since it last answered
	win, lat, eps    float64       // window; smoothed send-to-standing time over the target; hold-back share
	tokens, normal   float64       // when cold; demand when its processor started: redials since do not count
	fullAt           time.Duration // when it last had less than the base reserve free
	blocked          time.Duration // no set-up before
	demand, circuits meter
	firsts           meter         // first tries of the demand
	heard, mute      meter         // as the controller's, of this way alone
	classes          []share       // of own direct calls, by class
	turned           map[int]*turn // by destination, as a tandem: what is known of its second leg

	since, latAt, cutAt, epsAt, tokensAt time.Duration
}

// kind is all by which the ways that are open to one waiting call differ from those of another.
// Where one of a kind found no way in a turn, the others have none: within it, ways only close.
type kind struct {
	dest, class, width int
	worth              float64
	transit            bool
	alts               int
}

// closure says why.
type closure struct {
	Reason
	Scope
}

// share is what one class of own direct calls asks of a group and has of it.
type share struct {
	demand  meter // circuits, as arrivals times holding time
	running int
}

// turn books what is known of a tandem's second leg to one destination: calls that
// it turned back, and when it was last vouched for, by the centre or by a call that stood.
type turn struct{ until, skip, good time.Duration }

func (f *far) second(dest int) *turn {
	if f.turned[dest] == nil {
		f.turned[dest] = &turn{}
	}
	return f.turned[dest]
}

// told is the same to look at.
func (f *far) told(dest int) turn {
	if t := f.turned[dest]; t != nil {
		return *t
	}
	return turn{}
}

// turnBack skips the tandem for this destination, twice as long each time in a
// row. It saves the work of calls that go one leg far, whatever blocks the
// second; it harms when the second leg clears soon after.
func (f *far) turnBack(dest int, now time.Duration) {
	t := f.second(dest)
	if now-t.until > turnedMost {
		t.skip = 0
	}
	t.skip = min(max(2*t.skip, turnedSkip), turnedMost)
	t.until, t.good = now+t.skip, 0
}

// meter measures a rate per second over rateSpan.
type meter struct {
	sum float64
	at  time.Duration
}

func (m *meter) add(now time.Duration, x float64) {
	m.sum = m.sum*math.Exp(-float64(now-m.at)/float64(rateSpan)) + x
	m.at = now
}

func (m *meter) rate(now, since time.Duration) float64 {
	span := float64(rateSpan) * (1 - math.Exp(-float64(max(now-since, time.Second))/float64(rateSpan)))
	return m.sum * math.Exp(-float64(now-m.at)/float64(rateSpan)) / (span / float64(time.Second))
}

type busy struct {
	count, pend int
	last, until time.Duration
}

type Controller struct {
	set             Settings
	now, born       time.Duration
	seen            bool
	leastAim        time.Duration
	asked           meter         // calls handed over
	heard           meter         // ends of waits for an answer
	mute            meter         // and that by silence
	tardy           meter         // and those that were slow
	hasty           meter         // callers who left before their time
	patience        time.Duration // how long those stayed, smoothed
	meanWorth       float64
	cells           map[int]*far
	order           []*far // by number
	hosts           map[uint32]int
	calls           map[string]*call
	open            []*call          // not answered, by arrival
	stood           []*call          // standing
	ghostsAt        time.Duration    // when those were last looked through
	queue           []*call          // waiting
	shut            map[kind]closure // in this turn
	numbers         map[uint64]*busy
	own             *far
	credit          float64 // tandem tries that may go out, earned by those that stood
	winStart        float64 // window of a far exchange at its start
	winLeast        float64 // and while it is slow: less where more senders share it
	pend            int     // set-ups out over all ways
	full            float64 // share of own groups full of late, at fullAt
	fullAt          time.Duration
	win             float64 // and how many may be
	press           float64 // the quicker send-to-standing times over the target, smoothed
	winCut, pressAt time.Duration
	tried, triedOld map[uint64]time.Duration // numbers called of late and before: when first
	triedAt         time.Duration
	served          int // waiting calls served since a lower class was
	wakeAt          time.Duration
	token           uint64
	verdicts        map[Reason]int
	random          *rand.Rand // from the seed
	acts            []Action
}

// New starts a controller that knows nothing but its settings.
func New(s Settings) *Controller {
	k := &Controller{set: s, cells: map[int]*far{}, hosts: map[uint32]int{}, calls: map[string]*call{},
		numbers: map[uint64]*busy{}, verdicts: map[Reason]int{},
		tried: map[uint64]time.Duration{}, shut: map[kind]closure{},
		random: rand.New(rand.NewPCG(s.Seed, uint64(s.Me)))}
	aim := time.Hour
	for _, c := range s.Classes {
		aim = min(aim, c.Aim)
		k.meanWorth += c.Worth / float64(len(s.Classes))
	}
	k.leastAim, k.win, k.credit = aim, ownStart, altSaved
	k.winLeast = min(windowShare/float64(max(s.Controllers-1, 1)), 1)
	k.winStart = max(windowStart*k.winLeast, 1)
	return k
}

// Handle takes one event and returns what to do about it.
func (k *Controller) Handle(now time.Duration, e Event) []Action {
	if !k.seen {
		k.seen, k.born, k.fullAt = true, now, now-1
	}
	k.now, k.acts = now, nil
	switch e := e.(type) {
	case ExchangeListUpdate:
		k.list(e)
	case Call:
		k.arrive(e)
	case CallAbandoned:
		k.gone(e)
	case GroupStatus:
		if f := k.at(e.ExchangeID); f != nil && e.OK {
			f.report(now, e.Report)
		}
	case CallEstablished:
		k.stands(e)
	case AttemptEnded:
		k.ended(e)
	case TimerExpired: // one that an earlier one has replaced must not start a row of its own
		if now >= k.wakeAt {
			k.wakeAt = 0
		}
	}
	if len(k.queue) > 0 || now >= k.wakeAt { // else nothing waits and nothing is due
		k.serve()
	}
	return k.acts
}

func (k *Controller) at(id uint32) *far {
	if cell, ok := k.hosts[id]; ok {
		return k.cells[cell]
	}
	return nil
}

func (f *far) report(now time.Duration, r StatusReport) {
	if r.CircuitsKnown {
		f.known, f.free, f.size = true, r.FreeCircuits, r.GroupSize
		if r.FreeCircuits < reserveBase {
			f.fullAt = now
		}
	}
	if r.HasReduction {
		f.eps, f.epsAt = min(max(r.Reduction, 0), 1), now
	}
}

// list follows the exchange list. A number keeps its group when a new
// processor takes the old one's place; the newest that is in service serves.
func (k *Controller) list(e ExchangeListUpdate) {
	if e.Complete {
		for _, f := range k.order {
			f.state = OutOfService
		}
	}
	for _, x := range e.Entries {
		f := k.cells[x.Number]
		if f == nil {
			f = &far{cell: x.Number, id: x.ID, transit: map[int]int{}, turned: map[int]*turn{},
				win: k.winStart, state: OutOfService, classes: make([]share, len(k.set.Classes))}
			k.cells[x.Number] = f
			k.order = append(k.order, f)
			slices.SortFunc(k.order, func(a, b *far) int { return a.cell - b.cell })
			if x.Number == k.set.Self {
				k.own = f
			}
		}
		if x.State != InService && f.id != x.ID {
			continue // word of one that has been replaced already
		}
		if x.ID != f.id || x.StartedAt != f.since {
			if f.state == InService && x.ID != f.id && x.StartedAt < f.since {
				continue
			}
			f.lat, f.blocked, f.eps, f.silent, f.win = 0, 0, 0, 0, k.winStart
			f.tokens, f.tokensAt, f.normal = k.random.Float64(), k.now, f.demand.rate(k.now, k.born)
		}
		delete(k.hosts, f.id) // the table holds one processor a number
		k.hosts[x.ID] = x.Number
		f.id, f.state, f.since = x.ID, x.State, x.StartedAt
	}
}

func (k *Controller) class(c *call) Class { return k.set.Classes[c.Class] }

// firstTry tells when a caller first tried, and whether the aim has passed since.
// A number that was called here before counts as tried again where callers do not
// mark it; it guards against redials that crowd out first tries, and harms callers
// of one number that many call, while they all call.
func (k *Controller) firstTry(e Call, cl Class) (time.Duration, bool) {
	if e.Transit || e.Reconnect || !e.HasCalledNumber {
		return k.now, e.Repeat && !e.Reconnect
	}
	first, known := k.tried[e.CalledNumber]
	if !known {
		first, known = k.triedOld[e.CalledNumber]
	}
	if !known || k.now-first > cl.GiveUp || k.set.MarksRepeat && !e.Repeat {
		if k.now-k.triedAt > cl.GiveUp || len(k.tried) >= triedMost {
			k.tried, k.triedOld, k.triedAt = map[uint64]time.Duration{}, k.tried, k.now
		}
		k.tried[e.CalledNumber] = k.now
		return k.now, e.Repeat
	}
	return first, k.now-first >= cl.Aim
}

func (k *Controller) arrive(e Call) {
	cl := k.set.Classes[e.Class]
	c := &call{Call: e, at: k.now, worth: cl.Worth}
	c.due = k.now + e.Remaining - 2*k.set.Tick
	began, late := k.firstTry(e, cl)
	if late {
		c.worth *= max(cl.LateWorth, 0.01)
	}
	wait := min(max(began+k.aim(cl.Aim)-k.now-k.target(), waitLeast), waitMost)
	if e.Transit {
		wait = waitLeast // its caller waits on, and may find another tandem in time
	}
	c.waitTill = min(k.now+wait, c.due)
	k.calls[c.ID] = c
	k.open = append(k.open, c)
	first := 1.0
	if began < k.now || e.Repeat {
		first = 0
	}
	if k.own != nil {
		k.own.demand.add(k.now, 1)
		k.own.firsts.add(k.now, first)
	}
	k.asked.add(k.now, 1)
	if f := k.cells[e.Destination]; f != nil {
		f.demand.add(k.now, 1)
		f.firsts.add(k.now, first)
		if seconds := float64(e.Width) * cl.Holding.Seconds(); !e.Transit {
			f.circuits.add(k.now, seconds)
			if !e.Repeat {
				f.classes[e.Class].demand.add(k.now, seconds)
			}
		}
	}
	if !e.Transit {
		k.credit = min(k.credit+altFree, altSaved)
		if a := k.cells[e.Via]; a != nil && k.set.Advice {
			a.second(e.Destination).good = k.now + vouchFor
		}
	}
	if e.Remaining <= 0 {
		k.giveUp(c, ReasonTimeUp, ScopeCall)
		return
	}
	if b := k.numbers[e.CalledNumber]; b != nil && k.gapped(b) {
		k.refuse(c, ReasonNumberBusy, ScopeNumber)
		return
	}
	k.queue = append(k.queue, c)
}

// gapped guards against a storm of calls on one number with few lines: after
// some busy notes one try at a time goes out, in ever longer turns. One busy
// number alone does not fire it. It harms a number whose lines clear at once.
func (k *Controller) gapped(b *busy) bool {
	return k.now-b.last <= busyFor && b.count >= busySigns && (b.pend > 0 || k.now < b.until)
}

// gone books a caller who left; an attempt that is out is called off.
func (k *Controller) gone(e CallAbandoned) {
	c := k.calls[e.CallID]
	if c == nil || c.state == done {
		return
	}
	if k.now < c.due-k.set.Tick {
		if k.hasty.sum == 0 {
			k.patience = k.now - c.at
		}
		k.hasty.add(k.now, 1)
		k.patience += (k.now - c.at - k.patience) / 8
	}
	k.verdict(c, ReasonCallerLeft, ScopeCall, c.Destination)
	if c.state == out && k.set.Cancelling {
		k.acts = append(k.acts, CancelAttempt{c.ID, c.attempts - 1})
	}
	k.finish(c)
}

// aim is the time in which a call must stand: the class's, or less when callers
// in number leave before the time that they named. It guards against waits and
// set-ups that outlast the callers, whatever drives them off; a few hasty ones
// do not fire it. It harms when they leave for a fault that haste cannot mend.
func (k *Controller) aim(of time.Duration) time.Duration {
	if k.hasty.rate(k.now, k.born) > hastyShare*k.asked.rate(k.now, k.born) {
		return min(of, k.patience)
	}
	return of
}

// target is the send-to-standing time wanted.
func (k *Controller) target() time.Duration {
	t := time.Duration(targetOfAim * float64(k.aim(k.leastAim)))
	if k.set.ResendAfter > 0 {
		t = min(t, time.Duration(targetOfT1*float64(k.set.ResendAfter)))
	}
	return max(t, time.Millisecond)
}

// serve offers waiting calls their turn and answers those whose wait is over.
func (k *Controller) serve() {
	clear(k.shut)
	k.sweep()
	k.sortQueue()
	if l := k.lowest(); l != nil && k.served >= keepEvery {
		k.attempt(l) // its turn, before dearer ones
	}
	rest := k.queue[:0]
	for _, c := range k.queue {
		if c.state == waiting && !k.attempt(c) {
			rest = append(rest, c)
		}
	}
	k.queue = rest
	k.arm()
}

// lowest is the longest waiting own call of the cheapest kind; circuits are withheld for
// it only while it waits.
func (k *Controller) lowest() *call {
	var l *call
	for _, c := range k.queue {
		if c.state != waiting || c.Transit {
			continue
		}
		if l == nil || c.worth < l.worth || c.worth == l.worth && c.at < l.at {
			l = c
		}
	}
	return l
}

// sortQueue: own callers first; then the transit source with the largest floor
// shortfall, else the one with fewest in flight; within a source the dearest.
func (k *Controller) sortQueue() {
	slices.SortStableFunc(k.queue, func(a, b *call) int {
		switch {
		case a.Transit && !b.Transit:
			return 1
		case b.Transit && !a.Transit:
			return -1
		case a.Transit && a.Via != b.Via:
			sa, fa := k.shortfall(a)
			sb, fb := k.shortfall(b)
			return cmp.Or(sb-sa, fa-fb, a.Via-b.Via)
		}
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.at, b.at))
	})
}

// shortfall tells how far a transit source is below its floor on the group it
// wants, and how many circuits it has in flight there.
func (k *Controller) shortfall(c *call) (int, int) {
	f := k.cells[c.Destination]
	if f == nil {
		return 0, 0
	}
	return max(max(1, f.size/(4*max(len(k.order), 1)))-f.transit[c.Via], 0), f.transit[c.Via]
}

// sweep finishes calls whose time or wait is over and forgets the finished.
func (k *Controller) sweep() {
	rest := k.open[:0]
	for _, c := range k.open {
		switch {
		case c.state == done:
			continue
		case c.state == standing:
			k.stood = append(k.stood, c) // nothing is due of it, however many stand
			continue
		case k.now >= c.due:
			k.giveUp(c, ReasonTimeUp, ScopeCall)
			continue
		case c.state == waiting && k.now >= c.waitTill && !(k.now < c.notBefore && c.notBefore < c.due):
			if k.attempt(c) {
				break
			}
			k.refuse(c, c.why, c.scope)
			continue
		}
		rest = append(rest, c)
	}
	k.open = rest
	if k.now-k.ghostsAt < ghostEvery {
		return
	}
	k.ghostsAt, rest = k.now, k.stood[:0]
	for _, c := range k.stood {
		if c.state == standing && k.now-c.stood > ghostHolding*k.class(c).Holding {
			k.release(c) // guards the counts against an end that never came
			k.finish(c)
		}
		if c.state == standing {
			rest = append(rest, c)
		}
	}
	clear(k.stood[len(rest):])
	k.stood = rest
}

func (k *Controller) arm() {
	next := time.Duration(math.MaxInt64)
	for _, c := range k.open {
		if c.state == waiting {
			next = min(next, max(c.waitTill, c.notBefore), k.now+glance)
		}
		if c.state != standing {
			next = min(next, c.due)
		}
	}
	if next == math.MaxInt64 || k.wakeAt > k.now && k.wakeAt <= next {
		return
	}
	k.wakeAt = max(next, k.now+time.Millisecond)
	k.token++
	k.acts = append(k.acts, SetTimer{k.token, k.wakeAt - k.now})
}

func (k *Controller) verdict(c *call, r Reason, s Scope, cell int) {
	k.verdicts[r]++
	n := k.verdicts[r] // logged: the 1st, 2nd, 4th, 8th ... of each reason
	k.acts = append(k.acts, Verdict{c.ID, c.Class, r, s, cell, n, n&(n-1) == 0})
}

func (k *Controller) finish(c *call) {
	if c.state != out {
		delete(k.calls, c.ID)
	}
	c.state = done
}

func (k *Controller) refuse(c *call, r Reason, s Scope) {
	k.verdict(c, r, s, c.Destination)
	hint := time.Duration(0)
	if !c.Transit && k.set.Backoff {
		hint = k.set.BackoffMax
	}
	k.acts = append(k.acts, RefuseCall{c.ID, hint})
	k.finish(c)
}

func (k *Controller) giveUp(c *call, r Reason, s Scope) {
	k.verdict(c, r, s, c.Destination)
	k.acts = append(k.acts, FailCall{c.ID})
	k.finish(c)
}

// hold keeps the call waiting and notes why.
func (k *Controller) hold(c *call, r Reason, s Scope) bool {
	if c.why == "" {
		k.verdict(c, r, s, c.Destination)
	}
	c.why, c.scope = r, s
	return false
}

// attempt sends the call if a route admits it; true if it waits no more.
func (k *Controller) attempt(c *call) bool {
	if k.now < c.notBefore {
		return k.hold(c, ReasonReleaseWait, ScopeCall)
	}
	if c.attempts >= k.set.MaxAttempts {
		k.refuse(c, ReasonAttemptsSpent, ScopeCall)
		return true
	}
	d := k.cells[c.Destination]
	if d == nil || d == k.own && !k.set.Pools {
		return k.hold(c, ReasonNotInService, ScopeExchange)
	}
	like := kind{c.Destination, c.Class, c.Width, c.worth, c.Transit, c.alts}
	if why, shut := k.shut[like]; shut {
		return k.hold(c, why.Reason, why.Scope)
	}
	r, s := k.direct(c, d)
	if r == "" {
		k.send(c, d, false)
		return true
	}
	if c.Transit && (s != ScopeGroup || d.known && d.size == 0) {
		k.refuse(c, r, s) // a wait for a processor only adds to the press, one for no group is vain
		return true
	}
	if t := k.tandem(c, d, r); t != nil {
		k.verdict(c, ReasonRerouted, s, t.cell)
		k.send(c, t, true)
		return true
	}
	k.shut[like] = closure{r, s}
	return k.hold(c, r, s)
}

// direct tells why the way to the destination is closed, "" if it is open.
func (k *Controller) direct(c *call, d *far) (Reason, Scope) {
	if r, s := k.closed(c, d); r != "" {
		return r, s
	}
	owed := k.dearOwed(c, d)
	if c.Transit {
		owed = max(owed, k.owed(d))
	}
	if d.known && d.free < c.Width+owed {
		return ReasonNoCircuit, ScopeGroup
	}
	return "", ""
}

// owed is the direct reserve less the direct calls running, floored at 0. On a group that was
// full of late it follows the own direct demand and its spread: thin groups stay open to transit.
func (k *Controller) owed(f *far) int {
	reserve := reserveBase
	if k.now-f.fullAt < rateSpan {
		asked := f.circuits.rate(k.now, k.born)
		reserve = max(reserve, int((asked+math.Sqrt(asked))*k.fullShare()))
	}
	return max(reserve-min(f.direct, max(f.size-f.free, 0)), 0)
}

// fullShare is the share of own groups that were full of late, counted once a moment.
func (k *Controller) fullShare() float64 {
	if k.fullAt != k.now {
		full, all := 0.0, 1e-9
		for _, o := range k.order {
			if o.size > 0 {
				all++
				if k.now-o.fullAt < rateSpan {
					full++
				}
			}
		}
		k.fullAt, k.full = k.now, full/all
	}
	return k.full
}

// dearOwed is kept back on a group for classes that are worth far more by the
// circuit and second: what they ask of it less what they have of it. It guards
// them when cheap calls, or tries whose aim has passed, would fill the group; it
// harms when a dear class stops calling at once, for as long as demand is measured.
func (k *Controller) dearOwed(c *call, f *far) int {
	owed := 0
	own := value(c.worth, c.Width, k.class(c).Holding)
	for i := range f.classes {
		if cl := k.set.Classes[i]; value(cl.Worth, cl.Width, cl.Holding) > dearFactor*own {
			owed += max(int(math.Ceil(f.classes[i].demand.rate(k.now, k.born)))-f.classes[i].running, 0)
		}
	}
	return owed
}

// value is what a circuit earns in a second of a call.
func value(worth float64, width int, holding time.Duration) float64 {
	return worth / (float64(max(width, 1)) * max(holding.Seconds(), 0.001))
}

// closed tells why the processor at the far end takes no set-up now.
func (k *Controller) closed(c *call, f *far) (Reason, Scope) {
	switch {
	case f.state != InService:
		return ReasonNotInService, ScopeExchange
	case k.cold(f) && f.tokens < 1:
		return ReasonColdProcessor, ScopeExchange
	case k.own != nil && k.cold(k.own) && k.own.tokens < 1:
		return ReasonColdProcessor, ScopeOwnExchange
	}
	dear := 0.0 // set-ups more that a dear call may have out
	if c.worth > k.meanWorth {
		dear = 1
	}
	if k.pend > 0 && float64(k.pend+1) > k.win+dear {
		return ReasonOverload, ScopeOwnExchange
	}
	win := f.win
	if k.now-f.epsAt < epsFor {
		win *= 1 - f.eps
	}
	win += dear
	if c.worth < k.class(c).Worth {
		win /= 2
	}
	if k.now < f.blocked || f.pend > 0 && float64(f.pend+1) > win {
		if f.silent >= k.signs(f) {
			return ReasonUnresponsive, ScopeExchange // one that is out is a trial
		}
		return ReasonOverload, ScopeExchange
	}
	return "", ""
}

// cold tells whether the processor is within its warm-up, and refills this controller's share
// of its budget: the multiple of the least capacity it may have, on what it is sent in normal
// times. First shares are drawn, since a share under one set-up may not start at one everywhere.
func (k *Controller) cold(f *far) bool {
	age := k.now - f.since
	if f.since <= 0 || age >= k.set.ColdFor || k.set.ColdFor <= 0 {
		return false
	}
	normal := f.normal
	if k.born > f.since { // it started later itself and knows no demand of before
		normal = f.firsts.rate(k.now, k.born)
	}
	have := k.set.ColdFrom + (1-k.set.ColdFrom)*float64(age)/float64(k.set.ColdFor)
	rate := coldSafety * min(k.set.OverloadFactor*have, 1/coldSafety) *
		max(normal, min(coldLeast/float64(max(k.set.Controllers, 1)), 0.5))
	f.tokens = min(f.tokens+rate*(k.now-f.tokensAt).Seconds(), max(1, rate*k.set.OverloadFor.Seconds()/4))
	f.tokensAt = k.now
	return true
}

// fade is the smoothed time over the target when nothing is heard.
func (k *Controller) fade(v float64, at time.Duration) float64 {
	return v * math.Exp2(-float64(k.now-at)/float64(latFade))
}

// tandem picks the one whose own first leg has most circuits free beyond the
// owed reserve. A tandem costs a third processor, so it is for circuits that
// lack and for a direct way that is silent, not for processors that are pressed.
// It guards against a pair that has lost each other. Tandems vouched for come first:
// where many exchanges share few circuits, most second legs are full or not there. Tries
// spend credit that standing calls earn: it guards processors against turn-backs in number,
// whatever turns the calls back; it harms when second legs clear all at once.
func (k *Controller) tandem(c *call, d *far, r Reason) *far {
	if c.Transit || c.alts >= altTries || k.credit < 1 {
		return nil
	}
	if !k.set.Pools && (r != ReasonNoCircuit && (r != ReasonUnresponsive || k.now < d.told(c.Destination).until) ||
		d.size > 0 && (k.fade(k.press, k.pressAt) > altPressure || k.fade(d.lat, d.latAt) > altPressure)) {
		return nil // a try round a silent way that failed speaks for all
	}
	var best *far
	vouched := false
	for _, t := range k.order { // what is cheap to see comes first: all that wait come by here at each event
		if t == d || t == k.own || !t.known || t.state != InService || t.free < c.Width ||
			k.set.Pools && !slices.Contains(k.class(c).Pools, t.cell) || t.free-k.owed(t) < c.Width {
			continue
		}
		leg := t.told(c.Destination)
		good := k.now < leg.good
		if best != nil && (vouched && !good || good == vouched && t.free <= best.free) ||
			k.now < leg.until || k.fade(t.lat, t.latAt) > altPressure {
			continue
		}
		if why, _ := k.closed(c, t); why == "" {
			best, vouched = t, good
		}
	}
	return best
}

func (k *Controller) send(c *call, f *far, alt bool) {
	k.served++
	if c.worth <= k.meanWorth {
		k.served = 0
	}
	f.free -= c.Width
	f.pend++
	// a tandem may hold it for a circuit and a slow far end for long, which tells nothing of the own
	if c.own = !alt && (f.win >= k.winStart || k.press > altPressure); c.own {
		k.pend++
	}
	f.tokens--
	if k.own != nil {
		k.own.tokens--
	}
	if b := k.numbers[c.CalledNumber]; b != nil {
		b.pend++
	}
	c.state, c.leg, c.alt = out, f, alt
	c.attempts++
	if alt {
		c.alts++
		k.credit--
	}
	switch {
	case c.Transit:
		f.transit[c.Via] += c.Width
	case !alt:
		f.direct += c.Width
		f.classes[c.Class].running += c.Width
	}
	k.acts = append(k.acts, StartAttempt{c.ID, f.id, k.timeout(c, alt)})
}

// timeout is the time left, or less where answers get lost, not slow, so that a further try can
// stand within the aim. It guards against losses of any cause; it harms by set-ups done twice.
func (k *Controller) timeout(c *call, alt bool) time.Duration {
	left, soon := c.due-k.now, k.target()
	if alt {
		soon += waitLeast // a tandem may wait for a circuit
	}
	if !k.lossy(c.leg) || soon+k.set.ReleaseWait+k.target() > left {
		return left
	}
	return soon
}

// lossy tells whether answers of late got lost, on the way to a far end among others, and are not slow.
func (k *Controller) lossy(f *far) bool {
	return k.muteShare() >= lossLeast && k.tardy.rate(k.now, 0) <= tardyShare*k.mute.rate(k.now, 0) &&
		k.press <= altPressure && f.lat <= altPressure
}

// release takes the call out of the counts.
func (k *Controller) release(c *call) {
	f := c.leg
	switch {
	case f == nil:
		return
	case c.Transit:
		f.transit[c.Via] -= c.Width
		if f.transit[c.Via] <= 0 {
			delete(f.transit, c.Via)
		}
	case !c.alt:
		f.direct -= c.Width
		f.classes[c.Class].running -= c.Width
	}
	c.leg = nil
}

// answered books the end of the wait for an answer.
func (k *Controller) answered(c *call) *busy {
	k.heard.add(k.now, 1)
	c.leg.heard.add(k.now, 1)
	c.leg.pend--
	if c.own {
		k.pend--
	}
	b := k.numbers[c.CalledNumber]
	if b != nil {
		b.pend = max(b.pend-1, 0)
	}
	return b
}

func (k *Controller) stands(e CallEstablished) {
	c := k.calls[e.CallID]
	if c == nil || c.leg == nil || e.Attempt != c.attempts-1 || c.stood > 0 {
		return
	}
	f := c.leg
	if b := k.answered(c); b != nil {
		b.count /= 2
	}
	c.stood = max(k.now, 1)
	if c.state == out {
		c.state = standing
	}
	f.silent = 0
	if took := float64(e.Elapsed) / float64(k.target()); took <= 1 && float64(k.pend+1) >= k.win/2 {
		k.win = min(k.win+1/k.win, windowMost)
	}
	if d := k.cells[c.Destination]; c.alt && d != nil {
		k.credit = min(k.credit+altEarns, altSaved)
		delete(d.turned, c.Destination)
		f.turned[c.Destination] = &turn{good: k.now + vouchFor}
	}
	took := float64(e.Elapsed) / float64(k.target())
	if c.alt {
		took /= 1.5 // one more processor on the way
	}
	f.lat = latKeep*k.fade(f.lat, f.latAt) + (1-latKeep)*took
	f.latAt = k.now
	// The quick answers tell of the own processor: when they are quick, slow ones are the far ends'.
	if took > k.press {
		k.press += (1 - pressKeep) * (min(took, 2) - k.press)
	} else {
		k.press += (1 - latKeep) * (took - k.press)
	}
	k.pressAt = k.now
	switch {
	case took > 1:
		k.tardy.add(k.now, 1)
		k.cut(f, windowCut, k.winLeast, e.Elapsed)
		if k.now-e.Elapsed >= k.winCut && k.press > altPressure {
			k.winCut, k.win = k.now, max(k.win*windowCut, ownLeast)
		}
	case float64(f.pend+1) >= f.win/2:
		f.win = min(f.win+min(1/f.win, math.Sqrt(f.win)), windowMost)
	}
}

// cut narrows the window, once for what went out before the last cut; below one set-up it
// is a rest between single ones, since one each from dozens of senders jams a slow processor.
// It answers slow, ageing, hung, stalled and flooded processors alike; it harms one that
// recovers at once, for a rest.
func (k *Controller) cut(f *far, by, least float64, sent time.Duration) {
	if k.now-sent < f.cutAt {
		return
	}
	f.cutAt = k.now
	if f.win = max(f.win*by, min(least, f.win)); f.win < 1 {
		f.blocked = max(f.blocked, k.now+time.Duration((1/f.win-1)*float64(min(rest, k.leastAim/2))))
	}
}

// signs tells how many losses in a row speak for a far end that is silent: more, the larger
// the share of answers that is lost on the other ways, since then as many come by chance.
func (k *Controller) signs(f *far) int {
	heard := k.heard.rate(k.now, k.born) - f.heard.rate(k.now, k.born)
	mute := k.mute.rate(k.now, k.born) - f.mute.rate(k.now, k.born)
	share := min(max(mute/(max(heard, 0)+1), 1e-9), 0.5)
	return max(silentSigns, 1+int(math.Log(silentChance)/math.Log(share)))
}

// muteShare is the share of set-ups that found silence of late; few tell little.
func (k *Controller) muteShare() float64 {
	return k.mute.rate(k.now, k.born) / (k.heard.rate(k.now, k.born) + 1)
}

// stop narrows the window to a far end that is silent or refuses, to rests from the second
// sign in a row. One sign alone does little, and nothing where losses are common: a set-up may
// be lost on the way. It harms a far end that is pressed and loses what it can't serve at once.
func (k *Controller) stop(f *far, sent time.Duration, lossy bool) {
	least := 1.0
	if f.silent++; f.silent >= k.signs(f) {
		f.win, least = min(f.win, 1), windowLeast
	} else if lossy {
		return
	}
	k.cut(f, windowHalve, least, sent)
}

func (k *Controller) ended(e AttemptEnded) {
	c := k.calls[e.CallID]
	if f := k.at(e.ExchangeID); f != nil {
		f.report(k.now, e.Report)
	}
	if c == nil || c.leg == nil || e.Attempt != c.attempts-1 {
		return
	}
	f, stood := c.leg, c.stood > 0
	if !stood {
		b := k.answered(c)
		if e.Outcome == OutcomeTimedOut {
			k.mute.add(k.now, 1)
			f.mute.add(k.now, 1)
		}
		if e.Outcome == OutcomeFailed && e.Note == NoteLinesBusy {
			k.busyNote(c.CalledNumber, b)
		}
	}
	k.release(c)
	if e.Final || stood || c.state == done {
		c.state = done
		delete(k.calls, c.ID)
		return
	}
	c.state = waiting
	if d := k.cells[c.Destination]; c.alt && d != nil && d.silent >= k.signs(d) && e.Outcome != OutcomeNotSent {
		d.turnBack(c.Destination, k.now)
	}
	switch e.Outcome {
	case OutcomeTimedOut, OutcomeReset, OutcomeCancelled, OutcomeUnreachable:
		if e.Outcome != OutcomeUnreachable {
			c.notBefore = k.now + k.set.ReleaseWait + k.set.Tick
		}
		if c.alt && !k.set.Pools && e.Outcome != OutcomeUnreachable {
			f.turnBack(c.Destination, k.now) // what lies behind the tandem may be silent
		} else if e.Outcome == OutcomeTimedOut || e.Outcome == OutcomeUnreachable {
			k.stop(f, e.Elapsed, k.lossy(f)) // a reset is an answer
		}
	case OutcomeRejected:
		if e.Note == NoteProcessorFull {
			k.stop(f, e.Elapsed, false)
			f.blocked = max(f.blocked, k.now+e.RetryAfter)
			break
		}
		f.turnBack(c.Destination, k.now)
		if e.Note == NoteOnwardProcessorFull {
			k.cut(k.cells[c.Destination], windowHalve, k.winLeast, e.Elapsed)
		}
	case OutcomeNotSent:
		if e.Note == NoteNoCircuit {
			f.free = min(f.free, c.Width-1)
		} else if e.Note == NoteProcessorFull && k.own != nil {
			k.refuse(c, ReasonUnresponsive, ScopeOwnExchange)
			return
		}
	case OutcomeFailed:
		if e.Note == NoteLinesBusy {
			k.refuse(c, ReasonNumberBusy, ScopeNumber)
			return
		}
	}
	if k.now+k.set.Tick >= c.due || c.notBefore >= c.due {
		k.giveUp(c, ReasonTimeUp, ScopeCall)
		return
	}
	if !c.Transit || e.Outcome == OutcomeNotSent {
		k.queue = append(k.queue, c)
		return
	}
	k.refuse(c, ReasonOverload, ScopeExchange)
}

func (k *Controller) busyNote(n uint64, b *busy) {
	if b == nil {
		if len(k.numbers) >= numbersMost {
			k.numbers = map[uint64]*busy{}
		}
		b = &busy{}
		k.numbers[n] = b
	}
	if k.now-b.last > busyFor {
		b.count = 0
	}
	b.count++
	b.last = k.now
	b.until = k.now + min(rest<<min(b.count, 8), gapMost)
}
