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
func New(scheduler Scheduler, random *rand.Rand, config Config) *Fleet {
	return &Fleet{config: config, scheduler: scheduler, random: random, exchangesByNumber: map[int]*Exchange{}, groups: map[[2]int]*Group{},
		changedGroups: map[int]map[int]bool{}, freeLines: map[string]int{}, OnStart: func(*Exchange) {}}
}

// AddExchange brings an exchange into service; work is the time of one set-up on its
// processor. One of the same number takes over from the one before.
func (f *Fleet) AddExchange(id uint32, cell, region int, setUpWork time.Duration, cold bool) *Exchange {
	added := &Exchange{ID: id, Number: cell, Region: region, Up: true, setUpWork: setUpWork}
	added.processor = processor{scheduler: f.scheduler, answersFirst: f.config.FinishFirst, slowdown: 1, initialShare: f.config.ColdCapacity, warmUpTime: f.config.ColdDuration}
	if cold {
		added.StartedAt = f.scheduler.Now()
		added.processor.startedAt = added.StartedAt
	}
	f.Exchanges = append(f.Exchanges, added)
	f.exchangesByNumber[cell] = added
	f.OnStart(added)
	return added
}

// AddGroup makes a group between two numbers.
func (f *Fleet) AddGroup(a, b, size int) {
	group := &Group{LowNumber: min(a, b), HighNumber: max(a, b), Size: size, Free: size}
	f.groups[[2]int{group.LowNumber, group.HighNumber}] = group
	f.orderedGroups = append(f.orderedGroups, group)
}

// ResizeGroup gives a group another number of circuits, or makes or ends one, before
// any call is up.
func (f *Fleet) ResizeGroup(a, b, size int) {
	key := [2]int{min(a, b), max(a, b)}
	existing := f.groups[key]
	switch {
	case existing == nil && size > 0:
		f.AddGroup(a, b, size)
	case existing != nil && size > 0:
		existing.Size, existing.Free = size, size
	case existing != nil:
		delete(f.groups, key)
		f.orderedGroups = slices.DeleteFunc(f.orderedGroups, func(group *Group) bool { return group == existing })
	}
}

// Groups lists the groups in the order of their making.
func (f *Fleet) Groups() []*Group { return f.orderedGroups }

// Current is the exchange that serves a number.
func (f *Fleet) Current(cell int) *Exchange { return f.exchangesByNumber[cell] }

func (f *Fleet) groupBetween(a, b int) *Group { return f.groups[[2]int{min(a, b), max(a, b)}] }

// LimitLines gives a number so few lines.
func (f *Fleet) LimitLines(number string, lines int) { f.freeLines[number] = lines }

// SetUpsPerSecond is the set-ups that an exchange can do when warm.
func (e *Exchange) SetUpsPerSecond() float64 { return float64(time.Second) / float64(e.setUpWork) }

// CircuitsInUse counts circuits in use over all groups.
func (f *Fleet) CircuitsInUse() int {
	inUse := 0
	for _, group := range f.orderedGroups {
		inUse += group.Size - group.lostCircuits - group.Free
	}
	return inUse
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
	conn := &Conn{Exchange: x, Transit: transit, Send: send, controllerNumber: -1, legs: map[legKey]*leg{},
		pendingTransit: map[uint32]*leg{}, transitLegs: map[string]*leg{}}
	if transit {
		x.transitConn = conn
	} else {
		x.conns = append(x.conns, conn)
	}
	return conn
}

// ConnClosed ends a connection: what was set up over it is released.
func (f *Fleet) ConnClosed(conn *Conn) {
	if conn.closed {
		return
	}
	conn.closed = true
	closedAt := conn.Exchange
	if conn.Transit {
		if closedAt.transitConn == conn {
			closedAt.transitConn = nil
		}
		for _, name := range sortedKeys(conn.transitLegs) {
			leg := conn.transitLegs[name]
			leg.transitName = ""
			f.failLeg(leg, "turned-back", true)
		}
		return
	}
	closedAt.conns = slices.DeleteFunc(closedAt.conns, func(other *Conn) bool { return other == conn })
	if closedAt.ownConn == conn {
		closedAt.ownConn = nil
	}
	for _, key := range sortedLegKeys(conn.legs) {
		l := conn.legs[key]
		l.pendingAdd, l.established = 0, false // nobody to tell
		f.releaseLeg(l)
	}
}

// HandleMessage takes a message from a controller.
func (f *Fleet) HandleMessage(conn *Conn, request *signal.Message) {
	if conn.closed {
		return
	}
	if conn.Transit {
		f.handleTransitMessage(conn, request)
		return
	}
	if request.Kind != signal.Request {
		return
	}
	target := conn.Exchange
	switch request.Command {
	case signal.ServiceChange:
		cell, err := request.Int("From", 0, 1<<20)
		if err != nil {
			conn.Send(request.NewErrorReply(signal.BadValue, err.Error()))
			return
		}
		if conn.controllerNumber = cell; cell == target.Number {
			target.ownConn = conn
		}
		conn.Send(request.NewReply().Put("Since", fmt.Sprint(target.StartedAt.Milliseconds())))
	case signal.Modify:
		conn.Send(request.NewReply())
		if conn.reportsCircuits = request.Get("Events") == "circuits" && conn.controllerNumber == target.Number; conn.reportsCircuits {
			f.reportCircuits(target, nil)
		}
	case signal.AuditValue:
		conn.Send(request.NewReply().PutDuration("Wait", target.processor.expectedWait()))
	case signal.Add:
		f.setUp(conn, request)
	case signal.Subtract:
		released := conn.legs[legKey{request.Context, request.Get("Attempt")}]
		if released == nil {
			conn.Send(request.NewReply()) // it is released, as was asked
			return
		}
		released.pendingAdd = 0 // the release answers it
		f.processRelease(released, func() { conn.Send(request.NewReply()) })
	default:
		conn.Send(request.NewErrorReply(signal.UnknownCommand, "not a command for an exchange"))
	}
}

func (f *Fleet) propagationDelay(a, b *Exchange) time.Duration {
	delay := f.config.InterRegionDelay
	if a.Region == b.Region {
		delay = f.config.IntraRegionDelay
	}
	return time.Duration(float64(delay) * (0.9 + 0.2*f.random.Float64()))
}

func scaleWork(work time.Duration, factor float64) time.Duration {
	return time.Duration(float64(work) * factor)
}

// setUp begins a set-up: circuits at once, then the near and the far processor.
func (f *Fleet) setUp(conn *Conn, request *signal.Message) {
	f.Counts.Setups++
	peer := conn.Exchange
	key := legKey{request.Context, request.Get("Attempt")}
	destination, err := request.Int("Dest", 0, 1<<20)
	circuits, circuitsErr := request.Int("Width", 1, 1024)
	left, leftErr := request.Duration("Left")
	switch {
	case err != nil || circuitsErr != nil || leftErr != nil || conn.controllerNumber < 0:
		conn.Send(request.NewErrorReply(signal.BadValue, fmt.Sprint("a set-up needs Dest, Width, Left and an introduced sender: ", err, circuitsErr, leftErr)))
		return
	case conn.legs[key] != nil:
		conn.Send(request.NewErrorReply(signal.TerminationInContext, "this attempt is there already"))
		return
	}
	near, group := f.exchangesByNumber[conn.controllerNumber], f.groupBetween(conn.controllerNumber, peer.Number)
	newLeg := &leg{conn: conn, key: key, termination: request.Termination, pendingAdd: request.ID, origin: near, peer: peer, group: group, circuits: circuits, request: request, destination: destination,
		deadline: f.scheduler.Now() + left}
	switch {
	case near == nil || !near.Up:
		f.sendReply(newLeg, "own-processor", signal.TemporaryFailure)
		return
	case group == nil || group.Free < circuits:
		f.Counts.NoCircuit++
		f.sendReply(newLeg, "no-circuit", signal.InsufficientResources)
		return
	}
	f.changeFreeCircuits(group, -circuits)
	conn.legs[key] = newLeg
	near.processor.enqueue(scaleWork(near.setUpWork, 1+f.config.ExamineWork), false, func() {
		f.scheduler.After(f.propagationDelay(near, peer), func() { f.handleArrival(newLeg) })
	})
}

// handleArrival is the set-up at the far exchange.
func (f *Fleet) handleArrival(arriving *leg) {
	peer := arriving.peer
	switch {
	case arriving.ended || !peer.Up:
		return
	case peer.Unresponsive || f.random.Float64() < peer.UnansweredShare:
		f.Counts.Swallowed++
		return // held until it is called off
	case f.random.Float64() < peer.CutShare:
		f.failLeg(arriving, "cut", false)
		return
	case peer.processor.expectedWait() > f.config.MaxQueueWait:
		f.Counts.TurnedAway++
		peer.processor.enqueue(scaleWork(peer.setUpWork, f.config.RejectWork), false, func() { f.failLeg(arriving, "processor-full", false) })
		return
	}
	if f.config.ResendAfter > 0 {
		f.scheduleResend(arriving, f.config.ResendAfter)
	}
	peer.processor.enqueue(peer.setUpWork, false, func() {
		if arriving.ended {
			return
		}
		if arriving.destination != peer.Number {
			f.forwardTransit(arriving)
			return
		}
		number := arriving.request.Get("Number")
		if free, few := f.freeLines[number]; few {
			if free <= 0 {
				f.Counts.LinesBusy++
				f.failLeg(arriving, "lines-busy", false)
				return
			}
			f.freeLines[number]--
			arriving.lineNumber = number
		}
		f.returnAnswer(arriving)
	})
}

// scheduleResend is a set-up that waits and is sent again: work, and nothing else.
func (f *Fleet) scheduleResend(waiting *leg, gap time.Duration) {
	f.scheduler.After(gap, func() {
		if waiting.ended || waiting.established || waiting.pendingAdd == 0 || !waiting.peer.Up {
			return
		}
		waiting.peer.processor.enqueue(scaleWork(waiting.peer.setUpWork, f.config.ResendWork), false, func() {})
		f.scheduleResend(waiting, 2*gap)
	})
}

// returnAnswer brings the word that the call stands back through both processors.
func (f *Fleet) returnAnswer(answered *leg) {
	answered.peer.processor.enqueue(scaleWork(answered.peer.setUpWork, f.config.FollowUpWork), true, func() {
		f.scheduler.After(f.propagationDelay(answered.peer, answered.origin), func() {
			if answered.ended || !answered.origin.Up {
				return
			}
			answered.origin.processor.enqueue(scaleWork(answered.origin.setUpWork, f.config.FollowUpWork), true, func() {
				if answered.ended {
					return
				}
				answered.established = true
				f.Counts.Stood++
				f.sendReply(answered, "", 0)
			})
		})
	})
}

// forwardTransit gives a call in transit to the own controller.
func (f *Fleet) forwardTransit(incoming *leg) {
	transit := incoming.peer.transitConn
	left := incoming.deadline - f.scheduler.Now()
	if transit == nil || left <= 0 {
		f.failLeg(incoming, "turned-back", false)
		return
	}
	transit.lastTransaction++
	incoming.transitName = fmt.Sprintf("%s/%d.%s", incoming.termination, incoming.origin.Number, incoming.key.attempt)
	if transit.transitLegs[incoming.transitName] != nil { // its last try through here is not released yet
		incoming.transitName = ""
		f.failLeg(incoming, "turned-back", false)
		return
	}
	transit.pendingTransit[transit.lastTransaction], transit.transitLegs[incoming.transitName] = incoming, incoming
	request := &signal.Message{ID: transit.lastTransaction, Context: signal.ContextChoose, Command: signal.Add, Termination: incoming.transitName}
	request.Put("Class", incoming.request.Get("Class")).PutInt("Dest", incoming.destination).PutInt("Width", incoming.circuits).PutDuration("Left", left)
	request.PutInt("Source", incoming.origin.Number).PutFlag("Again", incoming.request.Flag("Again"))
	if number := incoming.request.Get("Number"); number != "" {
		request.Put("Number", number)
	}
	transit.Send(request)
}

// handleTransitMessage is the word of the own controller on calls in transit.
func (f *Fleet) handleTransitMessage(conn *Conn, message *signal.Message) {
	switch {
	case message.Kind == signal.Reply && message.Command == signal.Add:
		handled := conn.pendingTransit[message.ID]
		delete(conn.pendingTransit, message.ID)
		if handled == nil || handled.ended {
			return
		}
		if message.Code == 0 {
			f.returnAnswer(handled)
			return
		}
		delete(conn.transitLegs, handled.transitName)
		handled.transitName = ""
		note := "turned-back"
		if message.Get("Cause") == "processor-full" {
			note = "turned-back-processor"
		}
		f.failLeg(handled, note, false)
	case message.Kind == signal.Request && message.Command == signal.Notify:
		conn.Send(message.NewReply())
		if l := conn.transitLegs[message.Termination]; l != nil {
			delete(conn.transitLegs, l.transitName)
			l.transitName = ""
			f.cutLeg(l)
		}
	case message.Kind == signal.Request:
		conn.Send(message.NewReply())
	}
}

// sendReply answers the set-up, if somebody waits for it.
func (f *Fleet) sendReply(answered *leg, note string, code signal.Code) {
	if answered.pendingAdd == 0 || answered.conn.closed {
		return
	}
	answered.pendingAdd = 0
	reply := answered.request.NewReply()
	if note != "" {
		reply.Code, reply.Text = code, note
		reply.Put("Note", note)
		if note == "processor-full" && f.config.ReportsWait {
			reply.PutDuration("Wait", max(answered.peer.processor.expectedWait()-f.config.MaxQueueWait, 10*time.Millisecond).Round(time.Millisecond))
		}
	}
	if group := answered.group; group != nil {
		reply.Put("Group", fmt.Sprintf("%d %d %d", answered.peer.Number, group.Free, group.Size-group.lostCircuits))
	}
	if f.config.ReportsReduction {
		overload := float64(answered.peer.processor.expectedWait())/float64(f.config.MaxQueueWait) - 0.3
		reply.Put("Reduce", fmt.Sprintf("%.2f", min(max(overload, 0), 0.9)))
	}
	answered.conn.Send(reply)
}

// failLeg ends a set-up that will not stand, or a call that was turned back later.
func (f *Fleet) failLeg(failed *leg, note string, late bool) {
	if failed.ended {
		return
	}
	if failed.established && late {
		f.cutLeg(failed)
		return
	}
	if note == "turned-back" || note == "turned-back-processor" {
		f.Counts.TurnedBack++
	}
	f.releaseLeg(failed)
	code := signal.InsufficientResources
	if note == "cut" {
		code = signal.TemporaryFailure
	}
	f.sendReply(failed, note, code)
}

// cutLeg ends a leg at once and tells its controller.
func (f *Fleet) cutLeg(target *leg) {
	if target.ended {
		return
	}
	f.Counts.Cut++
	notify := target.established && !target.conn.closed
	f.releaseLeg(target)
	if !notify {
		f.sendReply(target, "cut", signal.TemporaryFailure)
		return
	}
	target.conn.lastTransaction++
	target.conn.Send((&signal.Message{ID: target.conn.lastTransaction, Context: target.key.context, Command: signal.Notify, Termination: target.termination}).
		Put("Event", "cut").Put("Attempt", target.key.attempt))
}

// releaseLeg frees what a leg holds, at once.
func (f *Fleet) releaseLeg(released *leg) {
	if released.ended {
		return
	}
	released.ended = true
	delete(released.conn.legs, released.key)
	f.changeFreeCircuits(released.group, released.circuits)
	if released.lineNumber != "" {
		f.freeLines[released.lineNumber]++
	}
	if transit := released.peer.transitConn; transit != nil && released.transitName != "" {
		delete(transit.transitLegs, released.transitName)
		transit.lastTransaction++
		transit.Send(&signal.Message{ID: transit.lastTransaction, Context: signal.ContextNull, Command: signal.Subtract, Termination: released.transitName})
		released.transitName = ""
	}
}

// processRelease frees a leg behind the work that a release is.
func (f *Fleet) processRelease(released *leg, done func()) {
	if !released.peer.Up {
		f.releaseLeg(released)
		done()
		return
	}
	released.peer.processor.enqueue(scaleWork(released.peer.setUpWork, f.config.FollowUpWork), true, func() {
		if released.origin.Up {
			released.origin.processor.enqueue(scaleWork(released.origin.setUpWork, f.config.FollowUpWork), true, func() {})
		}
		f.releaseLeg(released)
		done()
	})
}

// changeFreeCircuits books circuits of a group and tells both ends soon.
func (f *Fleet) changeFreeCircuits(group *Group, change int) {
	group.Free += change
	for _, end := range [2][2]int{{group.LowNumber, group.HighNumber}, {group.HighNumber, group.LowNumber}} {
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
		for _, number := range sortedKeys(f.changedGroups) {
			if exchange := f.exchangesByNumber[number]; exchange != nil {
				f.reportCircuits(exchange, f.changedGroups[number])
			}
		}
		clear(f.changedGroups)
	})
}

// lines of one report.
const maxGroupsPerReport = 100

// reportCircuits tells the controller of an exchange its groups: some, or all.
func (f *Fleet) reportCircuits(exchange *Exchange, changed map[int]bool) {
	conn := exchange.ownConn
	if conn == nil || !conn.reportsCircuits || !exchange.Up {
		return
	}
	var notification *signal.Message
	for _, number := range sortedKeys(f.exchangesByNumber) {
		if number == exchange.Number || changed != nil && !changed[number] {
			continue
		}
		if notification == nil || len(notification.Descriptors) >= maxGroupsPerReport {
			if notification != nil {
				conn.Send(notification)
			}
			conn.lastTransaction++
			notification = &signal.Message{ID: conn.lastTransaction, Command: signal.Notify, Termination: signal.Root}
		}
		free, size := 0, 0
		if group := f.groupBetween(exchange.Number, number); group != nil {
			free, size = max(group.Free, 0), group.Size-group.lostCircuits
		}
		notification.Put("Group", fmt.Sprintf("%d %d %d", number, free, size))
	}
	if notification != nil {
		conn.Send(notification)
	}
}

// Crash kills a processor: all calls that touch it are cut. Its connections are
// to be closed by who owns them.
func (f *Fleet) Crash(crashed *Exchange) {
	crashed.Up = false
	crashed.processor.reset(f.scheduler.Now())
	f.cutMatching(func(affected *leg) bool { return affected.origin == crashed || affected.peer == crashed })
}

// Restart brings a crashed processor back, cold.
func (f *Fleet) Restart(restarted *Exchange) {
	restarted.Up, restarted.Unresponsive = true, false
	restarted.StartedAt = f.scheduler.Now()
	restarted.processor.reset(restarted.StartedAt)
	f.OnStart(restarted)
}

// Retire ends an exchange that was replaced.
func (f *Fleet) Retire(retired *Exchange) {
	retired.Up = false
	f.cutMatching(func(affected *leg) bool { return affected.peer == retired })
}

func (f *Fleet) allLegs() []*leg {
	var all []*leg
	for _, exchange := range f.Exchanges {
		for _, conn := range exchange.conns {
			for _, key := range sortedLegKeys(conn.legs) {
				all = append(all, conn.legs[key])
			}
		}
	}
	return all
}

func (f *Fleet) cutMatching(matches func(*leg) bool) int {
	cuts := 0
	for _, candidate := range f.allLegs() {
		if matches(candidate) {
			cuts++
			f.cutLeg(candidate)
		}
	}
	return cuts
}

// CutCalls cuts a share of the calls that stand and end here.
func (f *Fleet) CutCalls(share float64) int {
	return f.cutMatching(func(candidate *leg) bool {
		return candidate.established && candidate.destination == candidate.peer.Number && f.random.Float64() < share
	})
}

// LoseCircuits takes a share of the circuits between regions away, and the calls on
// them; Regain brings them back.
func (f *Fleet) LoseCircuits(share float64) {
	for _, group := range f.orderedGroups {
		a, b := f.exchangesByNumber[group.LowNumber], f.exchangesByNumber[group.HighNumber]
		if a == nil || b == nil || a.Region == b.Region || group.lostCircuits > 0 {
			continue
		}
		group.lostCircuits = int(math.Round(share * float64(group.Size)))
		f.changeFreeCircuits(group, -group.lostCircuits)
		for _, candidate := range f.allLegs() {
			if group.Free >= 0 {
				break
			}
			if candidate.group == group {
				f.cutLeg(candidate)
			}
		}
	}
}

// RestoreCircuits ends Lose.
func (f *Fleet) RestoreCircuits() {
	for _, group := range f.orderedGroups {
		if group.lostCircuits > 0 {
			f.changeFreeCircuits(group, group.lostCircuits)
			group.lostCircuits = 0
		}
	}
}

// SetSlowdown makes a processor so many times slower; Pause lets it stand still.
func (e *Exchange) SetSlowdown(factor float64) { e.processor.slowdown = max(factor, 0.01) }

// PauseUntil lets a processor stand still for a while.
func (e *Exchange) PauseUntil(end time.Duration) { e.processor.pausedUntil = end }

func sortedKeys[K int | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func sortedLegKeys(legs map[legKey]*leg) []legKey {
	keys := make([]legKey, 0, len(legs))
	for k := range legs {
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
