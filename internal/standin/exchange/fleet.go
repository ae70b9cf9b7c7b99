// Package exchange stands in for the exchanges: processors with one line, trunk
// groups shared by both ends with real counts, set-ups direct and over tandems,
// and what can go wrong with them. It knows the command language and nothing of
// the controller; it has no socket and no clock.
package exchange

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dahliaspindle/internal/signal"
)

// Conn is one connection of a controller with an exchange; the owner of the
// fleet makes them. Transit is the one that an exchange keeps to its own
// controller for calls in transit.
type Conn struct {
	Exchange *Exchange
	Transit  bool
	Send     func(*signal.Message)

	controllerNumber int // of the controller, once it has said so; -1 before
	reportsCircuits  bool
	lastTransaction  uint32
	legs             map[legKey]*leg // set up over it
	pendingTransit   map[uint32]*leg // transit: Adds that wait for their reply, by transaction
	transitLegs      map[string]*leg // transit: by name in use towards the own controller
	closed           bool
}

type legKey struct {
	context uint32
	attempt string
}

// Exchange is one exchange; a number that is replaced has two for a while.
type Exchange struct {
	ID              uint32
	Number          int
	Region          int
	StartedAt       time.Duration // its start, 0 long ago
	Up              bool
	Unresponsive    bool    // takes set-ups and answers none
	UnansweredShare float64 // share of set-ups that get no answer
	CutShare        float64 // share of set-ups that are cut before the answer
	processor       processor
	setUpWork       time.Duration // of one set-up
	conns           []*Conn
	transitConn     *Conn
	ownConn         *Conn // of the controller of its number
}

// Group is the circuits between two numbers.
type Group struct {
	LowNumber, HighNumber int
	Size, Free            int
	lostCircuits          int
}

// Config are what a fleet is made of.
type Config struct {
	IntraRegionDelay, InterRegionDelay time.Duration // one way within and between regions
	MaxQueueWait                       time.Duration // longer waits turn set-ups away
	ExamineWork                        float64       // work in set-ups
	RejectWork                         float64
	FollowUpWork                       float64
	ResendWork                         float64
	ResendAfter                        time.Duration
	FinishFirst                        bool
	ReportsWait                        bool
	ReportsReduction                   bool
	ColdCapacity                       float64
	ColdDuration                       time.Duration
}

// Fleet is all exchanges and the groups between them.
type Fleet struct {
	config            Config
	scheduler         Scheduler
	random            *rand.Rand
	Exchanges         []*Exchange // in the order of their making
	exchangesByNumber map[int]*Exchange
	groups            map[[2]int]*Group
	orderedGroups     []*Group
	changedGroups     map[int]map[int]bool // by number, whose groups changed
	reportScheduled   bool
	freeLines         map[string]int // free lines of numbers that have few

	OnStart func(*Exchange) // told of each start of a processor
	Counts  Counts
}

// Counts is what the fleet saw.
type Counts struct {
	Setups, Stood, TurnedAway, TurnedBack, NoCircuit, LinesBusy, Cut, Swallowed int
}

// New makes an empty fleet.
func New(s Scheduler, rnd *rand.Rand, fig Config) *Fleet {
	return &Fleet{config: fig, scheduler: s, random: rnd, exchangesByNumber: map[int]*Exchange{}, groups: map[[2]int]*Group{},
		changedGroups: map[int]map[int]bool{}, freeLines: map[string]int{}, OnStart: func(*Exchange) {}}
}

// AddExchange brings an exchange into service; work is the time of one set-up on its
// processor. One of the same number takes over from the one before.
func (f *Fleet) AddExchange(id uint32, cell, region int, work time.Duration, cold bool) *Exchange {
	x := &Exchange{ID: id, Number: cell, Region: region, Up: true, setUpWork: work}
	x.processor = processor{scheduler: f.scheduler, answersFirst: f.config.FinishFirst, slowdown: 1, initialShare: f.config.ColdCapacity, warmUpTime: f.config.ColdDuration}
	if cold {
		x.StartedAt = f.scheduler.Now()
		x.processor.startedAt = x.StartedAt
	}
	f.Exchanges = append(f.Exchanges, x)
	f.exchangesByNumber[cell] = x
	f.OnStart(x)
	return x
}

// AddGroup makes a group between two numbers.
func (f *Fleet) AddGroup(a, b, size int) {
	g := &Group{LowNumber: min(a, b), HighNumber: max(a, b), Size: size, Free: size}
	f.groups[[2]int{g.LowNumber, g.HighNumber}] = g
	f.orderedGroups = append(f.orderedGroups, g)
}

// ResizeGroup gives a group another number of circuits, or makes or ends one, before
// any call is up.
func (f *Fleet) ResizeGroup(a, b, size int) {
	key := [2]int{min(a, b), max(a, b)}
	g := f.groups[key]
	switch {
	case g == nil && size > 0:
		f.AddGroup(a, b, size)
	case g != nil && size > 0:
		g.Size, g.Free = size, size
	case g != nil:
		delete(f.groups, key)
		f.orderedGroups = slices.DeleteFunc(f.orderedGroups, func(o *Group) bool { return o == g })
	}
}

// Groups lists the groups in the order of their making.
func (f *Fleet) Groups() []*Group { return f.orderedGroups }

// Current is the exchange that serves a number.
func (f *Fleet) Current(cell int) *Exchange { return f.exchangesByNumber[cell] }

func (f *Fleet) groupBetween(a, b int) *Group { return f.groups[[2]int{min(a, b), max(a, b)}] }

// LimitLines gives a number so few lines.
func (f *Fleet) LimitLines(number string, n int) { f.freeLines[number] = n }

// SetUpsPerSecond is the set-ups that an exchange can do when warm.
func (x *Exchange) SetUpsPerSecond() float64 { return float64(time.Second) / float64(x.setUpWork) }

// CircuitsInUse counts circuits in use over all groups.
func (f *Fleet) CircuitsInUse() int {
	n := 0
	for _, g := range f.orderedGroups {
		n += g.Size - g.lostCircuits - g.Free
	}
	return n
}

// leg is one set-up at an exchange, over one group.
type leg struct {
	conn         *Conn
	key          legKey
	termination  string
	pendingAdd   uint32 // transaction that waits for the reply; 0 once answered
	origin, peer *Exchange
	group        *Group
	circuits     int
	request      *signal.Message
	destination  int
	deadline     time.Duration
	lineNumber   string // it holds a line of this number
	transitName  string // name of its call in transit at the far end's controller
	established  bool
	ended        bool
}

// OpenConn takes a new connection: of a controller, or the exchange's own for calls in transit.
func (f *Fleet) OpenConn(x *Exchange, transit bool, send func(*signal.Message)) *Conn {
	c := &Conn{Exchange: x, Transit: transit, Send: send, controllerNumber: -1, legs: map[legKey]*leg{},
		pendingTransit: map[uint32]*leg{}, transitLegs: map[string]*leg{}}
	if transit {
		x.transitConn = c
	} else {
		x.conns = append(x.conns, c)
	}
	return c
}

// ConnClosed ends a connection: what was set up over it is released.
func (f *Fleet) ConnClosed(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	x := c.Exchange
	if c.Transit {
		if x.transitConn == c {
			x.transitConn = nil
		}
		for _, name := range sortedKeys(c.transitLegs) {
			l := c.transitLegs[name]
			l.transitName = ""
			f.failLeg(l, "turned-back", true)
		}
		return
	}
	x.conns = slices.DeleteFunc(x.conns, func(o *Conn) bool { return o == c })
	if x.ownConn == c {
		x.ownConn = nil
	}
	for _, k := range sortedLegKeys(c.legs) {
		l := c.legs[k]
		l.pendingAdd, l.established = 0, false // nobody to tell
		f.releaseLeg(l)
	}
}

// HandleMessage takes a message from a controller.
func (f *Fleet) HandleMessage(c *Conn, m *signal.Message) {
	if c.closed {
		return
	}
	if c.Transit {
		f.handleTransitMessage(c, m)
		return
	}
	if m.Kind != signal.Request {
		return
	}
	x := c.Exchange
	switch m.Command {
	case signal.ServiceChange:
		cell, err := m.Int("From", 0, 1<<20)
		if err != nil {
			c.Send(m.NewErrorReply(signal.BadValue, err.Error()))
			return
		}
		if c.controllerNumber = cell; cell == x.Number {
			x.ownConn = c
		}
		c.Send(m.NewReply().Put("Since", fmt.Sprint(x.StartedAt.Milliseconds())))
	case signal.Modify:
		c.Send(m.NewReply())
		if c.reportsCircuits = m.Get("Events") == "circuits" && c.controllerNumber == x.Number; c.reportsCircuits {
			f.reportCircuits(x, nil)
		}
	case signal.AuditValue:
		c.Send(m.NewReply().PutDuration("Wait", x.processor.expectedWait()))
	case signal.Add:
		f.setUp(c, m)
	case signal.Subtract:
		l := c.legs[legKey{m.Context, m.Get("Attempt")}]
		if l == nil {
			c.Send(m.NewReply()) // it is released, as was asked
			return
		}
		l.pendingAdd = 0 // the release answers it
		f.processRelease(l, func() { c.Send(m.NewReply()) })
	default:
		c.Send(m.NewErrorReply(signal.UnknownCommand, "not a command for an exchange"))
	}
}

func (f *Fleet) propagationDelay(a, b *Exchange) time.Duration {
	d := f.config.InterRegionDelay
	if a.Region == b.Region {
		d = f.config.IntraRegionDelay
	}
	return time.Duration(float64(d) * (0.9 + 0.2*f.random.Float64()))
}

func scaleWork(work time.Duration, k float64) time.Duration { return time.Duration(float64(work) * k) }

// setUp begins a set-up: circuits at once, then the near and the far processor.
func (f *Fleet) setUp(c *Conn, m *signal.Message) {
	f.Counts.Setups++
	x := c.Exchange
	key := legKey{m.Context, m.Get("Attempt")}
	dest, err := m.Int("Dest", 0, 1<<20)
	width, err2 := m.Int("Width", 1, 1024)
	left, err3 := m.Duration("Left")
	switch {
	case err != nil || err2 != nil || err3 != nil || c.controllerNumber < 0:
		c.Send(m.NewErrorReply(signal.BadValue, fmt.Sprint("a set-up needs Dest, Width, Left and an introduced sender: ", err, err2, err3)))
		return
	case c.legs[key] != nil:
		c.Send(m.NewErrorReply(signal.TerminationInContext, "this attempt is there already"))
		return
	}
	near, g := f.exchangesByNumber[c.controllerNumber], f.groupBetween(c.controllerNumber, x.Number)
	l := &leg{conn: c, key: key, termination: m.Termination, pendingAdd: m.ID, origin: near, peer: x, group: g, circuits: width, request: m, destination: dest,
		deadline: f.scheduler.Now() + left}
	switch {
	case near == nil || !near.Up:
		f.sendReply(l, "own-processor", signal.TemporaryFailure)
		return
	case g == nil || g.Free < width:
		f.Counts.NoCircuit++
		f.sendReply(l, "no-circuit", signal.InsufficientResources)
		return
	}
	f.changeFreeCircuits(g, -width)
	c.legs[key] = l
	near.processor.enqueue(scaleWork(near.setUpWork, 1+f.config.ExamineWork), false, func() {
		f.scheduler.After(f.propagationDelay(near, x), func() { f.handleArrival(l) })
	})
}

// handleArrival is the set-up at the far exchange.
func (f *Fleet) handleArrival(l *leg) {
	x := l.peer
	switch {
	case l.ended || !x.Up:
		return
	case x.Unresponsive || f.random.Float64() < x.UnansweredShare:
		f.Counts.Swallowed++
		return // held until it is called off
	case f.random.Float64() < x.CutShare:
		f.failLeg(l, "cut", false)
		return
	case x.processor.expectedWait() > f.config.MaxQueueWait:
		f.Counts.TurnedAway++
		x.processor.enqueue(scaleWork(x.setUpWork, f.config.RejectWork), false, func() { f.failLeg(l, "processor-full", false) })
		return
	}
	if f.config.ResendAfter > 0 {
		f.scheduleResend(l, f.config.ResendAfter)
	}
	x.processor.enqueue(x.setUpWork, false, func() {
		if l.ended {
			return
		}
		if l.destination != x.Number {
			f.forwardTransit(l)
			return
		}
		number := l.request.Get("Number")
		if free, few := f.freeLines[number]; few {
			if free <= 0 {
				f.Counts.LinesBusy++
				f.failLeg(l, "lines-busy", false)
				return
			}
			f.freeLines[number]--
			l.lineNumber = number
		}
		f.returnAnswer(l)
	})
}

// scheduleResend is a set-up that waits and is sent again: work, and nothing else.
func (f *Fleet) scheduleResend(l *leg, gap time.Duration) {
	f.scheduler.After(gap, func() {
		if l.ended || l.established || l.pendingAdd == 0 || !l.peer.Up {
			return
		}
		l.peer.processor.enqueue(scaleWork(l.peer.setUpWork, f.config.ResendWork), false, func() {})
		f.scheduleResend(l, 2*gap)
	})
}

// returnAnswer brings the word that the call stands back through both processors.
func (f *Fleet) returnAnswer(l *leg) {
	l.peer.processor.enqueue(scaleWork(l.peer.setUpWork, f.config.FollowUpWork), true, func() {
		f.scheduler.After(f.propagationDelay(l.peer, l.origin), func() {
			if l.ended || !l.origin.Up {
				return
			}
			l.origin.processor.enqueue(scaleWork(l.origin.setUpWork, f.config.FollowUpWork), true, func() {
				if l.ended {
					return
				}
				l.established = true
				f.Counts.Stood++
				f.sendReply(l, "", 0)
			})
		})
	})
}

// forwardTransit gives a call in transit to the own controller.
func (f *Fleet) forwardTransit(l *leg) {
	c := l.peer.transitConn
	left := l.deadline - f.scheduler.Now()
	if c == nil || left <= 0 {
		f.failLeg(l, "turned-back", false)
		return
	}
	c.lastTransaction++
	l.transitName = fmt.Sprintf("%s/%d.%s", l.termination, l.origin.Number, l.key.attempt)
	if c.transitLegs[l.transitName] != nil { // its last try through here is not released yet
		l.transitName = ""
		f.failLeg(l, "turned-back", false)
		return
	}
	c.pendingTransit[c.lastTransaction], c.transitLegs[l.transitName] = l, l
	m := &signal.Message{ID: c.lastTransaction, Context: signal.ContextChoose, Command: signal.Add, Termination: l.transitName}
	m.Put("Class", l.request.Get("Class")).PutInt("Dest", l.destination).PutInt("Width", l.circuits).PutDuration("Left", left)
	m.PutInt("Source", l.origin.Number).PutFlag("Again", l.request.Flag("Again"))
	if n := l.request.Get("Number"); n != "" {
		m.Put("Number", n)
	}
	c.Send(m)
}

// handleTransitMessage is the word of the own controller on calls in transit.
func (f *Fleet) handleTransitMessage(c *Conn, m *signal.Message) {
	switch {
	case m.Kind == signal.Reply && m.Command == signal.Add:
		l := c.pendingTransit[m.ID]
		delete(c.pendingTransit, m.ID)
		if l == nil || l.ended {
			return
		}
		if m.Code == 0 {
			f.returnAnswer(l)
			return
		}
		delete(c.transitLegs, l.transitName)
		l.transitName = ""
		note := "turned-back"
		if m.Get("Cause") == "processor-full" {
			note = "turned-back-processor"
		}
		f.failLeg(l, note, false)
	case m.Kind == signal.Request && m.Command == signal.Notify:
		c.Send(m.NewReply())
		if l := c.transitLegs[m.Termination]; l != nil {
			delete(c.transitLegs, l.transitName)
			l.transitName = ""
			f.cutLeg(l)
		}
	case m.Kind == signal.Request:
		c.Send(m.NewReply())
	}
}

// sendReply answers the set-up, if somebody waits for it.
func (f *Fleet) sendReply(l *leg, note string, code signal.Code) {
	if l.pendingAdd == 0 || l.conn.closed {
		return
	}
	l.pendingAdd = 0
	r := l.request.NewReply()
	if note != "" {
		r.Code, r.Text = code, note
		r.Put("Note", note)
		if note == "processor-full" && f.config.ReportsWait {
			r.PutDuration("Wait", max(l.peer.processor.expectedWait()-f.config.MaxQueueWait, 10*time.Millisecond).Round(time.Millisecond))
		}
	}
	if g := l.group; g != nil {
		r.Put("Group", fmt.Sprintf("%d %d %d", l.peer.Number, g.Free, g.Size-g.lostCircuits))
	}
	if f.config.ReportsReduction {
		over := float64(l.peer.processor.expectedWait())/float64(f.config.MaxQueueWait) - 0.3
		r.Put("Reduce", fmt.Sprintf("%.2f", min(max(over, 0), 0.9)))
	}
	l.conn.Send(r)
}

// failLeg ends a set-up that will not stand, or a call that was turned back later.
func (f *Fleet) failLeg(l *leg, note string, late bool) {
	if l.ended {
		return
	}
	if l.established && late {
		f.cutLeg(l)
		return
	}
	if note == "turned-back" || note == "turned-back-processor" {
		f.Counts.TurnedBack++
	}
	f.releaseLeg(l)
	code := signal.InsufficientResources
	if note == "cut" {
		code = signal.TemporaryFailure
	}
	f.sendReply(l, note, code)
}

// cutLeg ends a leg at once and tells its controller.
func (f *Fleet) cutLeg(l *leg) {
	if l.ended {
		return
	}
	f.Counts.Cut++
	told := l.established && !l.conn.closed
	f.releaseLeg(l)
	if !told {
		f.sendReply(l, "cut", signal.TemporaryFailure)
		return
	}
	l.conn.lastTransaction++
	l.conn.Send((&signal.Message{ID: l.conn.lastTransaction, Context: l.key.context, Command: signal.Notify, Termination: l.termination}).
		Put("Event", "cut").Put("Attempt", l.key.attempt))
}

// releaseLeg frees what a leg holds, at once.
func (f *Fleet) releaseLeg(l *leg) {
	if l.ended {
		return
	}
	l.ended = true
	delete(l.conn.legs, l.key)
	f.changeFreeCircuits(l.group, l.circuits)
	if l.lineNumber != "" {
		f.freeLines[l.lineNumber]++
	}
	if c := l.peer.transitConn; c != nil && l.transitName != "" {
		delete(c.transitLegs, l.transitName)
		c.lastTransaction++
		c.Send(&signal.Message{ID: c.lastTransaction, Context: signal.ContextNull, Command: signal.Subtract, Termination: l.transitName})
		l.transitName = ""
	}
}

// processRelease frees a leg behind the work that a release is.
func (f *Fleet) processRelease(l *leg, done func()) {
	if !l.peer.Up {
		f.releaseLeg(l)
		done()
		return
	}
	l.peer.processor.enqueue(scaleWork(l.peer.setUpWork, f.config.FollowUpWork), true, func() {
		if l.origin.Up {
			l.origin.processor.enqueue(scaleWork(l.origin.setUpWork, f.config.FollowUpWork), true, func() {})
		}
		f.releaseLeg(l)
		done()
	})
}

// changeFreeCircuits books circuits of a group and tells both ends soon.
func (f *Fleet) changeFreeCircuits(g *Group, by int) {
	g.Free += by
	for _, end := range [2][2]int{{g.LowNumber, g.HighNumber}, {g.HighNumber, g.LowNumber}} {
		if f.changedGroups[end[0]] == nil {
			f.changedGroups[end[0]] = map[int]bool{}
		}
		f.changedGroups[end[0]][end[1]] = true
	}
	if f.reportScheduled {
		return
	}
	f.reportScheduled = true
	f.scheduler.After(2*time.Millisecond, func() {
		f.reportScheduled = false
		for _, cell := range sortedKeys(f.changedGroups) {
			if x := f.exchangesByNumber[cell]; x != nil {
				f.reportCircuits(x, f.changedGroups[cell])
			}
		}
		clear(f.changedGroups)
	})
}

// lines of one report.
const maxGroupsPerReport = 100

// reportCircuits tells the controller of an exchange its groups: some, or all.
func (f *Fleet) reportCircuits(x *Exchange, some map[int]bool) {
	c := x.ownConn
	if c == nil || !c.reportsCircuits || !x.Up {
		return
	}
	var m *signal.Message
	for _, cell := range sortedKeys(f.exchangesByNumber) {
		if cell == x.Number || some != nil && !some[cell] {
			continue
		}
		if m == nil || len(m.Descriptors) >= maxGroupsPerReport {
			if m != nil {
				c.Send(m)
			}
			c.lastTransaction++
			m = &signal.Message{ID: c.lastTransaction, Command: signal.Notify, Termination: signal.Root}
		}
		free, size := 0, 0
		if g := f.groupBetween(x.Number, cell); g != nil {
			free, size = max(g.Free, 0), g.Size-g.lostCircuits
		}
		m.Put("Group", fmt.Sprintf("%d %d %d", cell, free, size))
	}
	if m != nil {
		c.Send(m)
	}
}

// Crash kills a processor: all calls that touch it are cut. Its connections are
// to be closed by who owns them.
func (f *Fleet) Crash(x *Exchange) {
	x.Up = false
	x.processor.reset(f.scheduler.Now())
	f.cutMatching(func(l *leg) bool { return l.origin == x || l.peer == x })
}

// Restart brings a crashed processor back, cold.
func (f *Fleet) Restart(x *Exchange) {
	x.Up, x.Unresponsive = true, false
	x.StartedAt = f.scheduler.Now()
	x.processor.reset(x.StartedAt)
	f.OnStart(x)
}

// Retire ends an exchange that was replaced.
func (f *Fleet) Retire(x *Exchange) {
	x.Up = false
	f.cutMatching(func(l *leg) bool { return l.peer == x })
}

func (f *Fleet) allLegs() []*leg {
	var all []*leg
	for _, x := range f.Exchanges {
		for _, c := range x.conns {
			for _, k := range sortedLegKeys(c.legs) {
				all = append(all, c.legs[k])
			}
		}
	}
	return all
}

func (f *Fleet) cutMatching(which func(*leg) bool) int {
	n := 0
	for _, l := range f.allLegs() {
		if which(l) {
			n++
			f.cutLeg(l)
		}
	}
	return n
}

// CutCalls cuts a share of the calls that stand and end here.
func (f *Fleet) CutCalls(share float64) int {
	return f.cutMatching(func(l *leg) bool {
		return l.established && l.destination == l.peer.Number && f.random.Float64() < share
	})
}

// LoseCircuits takes a share of the circuits between regions away, and the calls on
// them; Regain brings them back.
func (f *Fleet) LoseCircuits(share float64) {
	for _, g := range f.orderedGroups {
		a, b := f.exchangesByNumber[g.LowNumber], f.exchangesByNumber[g.HighNumber]
		if a == nil || b == nil || a.Region == b.Region || g.lostCircuits > 0 {
			continue
		}
		g.lostCircuits = int(math.Round(share * float64(g.Size)))
		f.changeFreeCircuits(g, -g.lostCircuits)
		for _, l := range f.allLegs() {
			if g.Free >= 0 {
				break
			}
			if l.group == g {
				f.cutLeg(l)
			}
		}
	}
}

// RestoreCircuits ends Lose.
func (f *Fleet) RestoreCircuits() {
	for _, g := range f.orderedGroups {
		if g.lostCircuits > 0 {
			f.changeFreeCircuits(g, g.lostCircuits)
			g.lostCircuits = 0
		}
	}
}

// SetSlowdown makes a processor so many times slower; Pause lets it stand still.
func (x *Exchange) SetSlowdown(times float64) { x.processor.slowdown = max(times, 0.01) }

// PauseUntil lets a processor stand still for a while.
func (x *Exchange) PauseUntil(until time.Duration) { x.processor.pausedUntil = until }

func sortedKeys[K int | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func sortedLegKeys(m map[legKey]*leg) []legKey {
	keys := make([]legKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b legKey) int {
		if a.context != b.context {
			return int(int64(a.context) - int64(b.context))
		}
		if a.attempt < b.attempt {
			return -1
		}
		return 1
	})
	return keys
}
