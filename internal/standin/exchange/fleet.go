// Package exchange simulates the exchanges: single-server processors, trunk
// groups with circuit counts shared by both ends, direct and tandem set-ups, and
// faults of all of these. It depends on the command language but not on the
// controller, and uses neither sockets nor a clock of its own.
package exchange

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dahliaspindle/internal/signal"
)

// Conn is a connection between a controller and an exchange. The owner of the
// fleet creates it. A transit connection is the one that an exchange keeps to its
// own controller for calls in transit.
type Conn struct {
	Exchange *Exchange
	Transit  bool
	Send     func(*signal.Message)

	controllerNumber int // exchange number of the controller; -1 until it has introduced itself
	reportsCircuits  bool
	lastTransaction  uint32
	legs             map[legKey]*leg // set up over this connection
	pendingTransit   map[uint32]*leg // transit only: legs whose Add awaits its reply, by transaction
	transitLegs      map[string]*leg // transit only: legs by the name used towards the own controller
	closed           bool
}

// legKey identifies a leg within a connection.
type legKey struct {
	context uint32
	attempt string
}

// Exchange is one incarnation of an exchange. While an exchange is being replaced,
// two incarnations share its number.
type Exchange struct {
	ID              uint32
	Number          int
	Region          int
	StartedAt       time.Duration // 0: started long ago, warm
	Up              bool
	Unresponsive    bool    // accepts set-ups but answers none
	UnansweredShare float64 // share of set-ups that are never answered
	CutShare        float64 // share of set-ups that are cut before the answer
	processor       processor
	setUpWork       time.Duration // processor time of one set-up
	conns           []*Conn
	transitConn     *Conn
	ownConn         *Conn // connection of the exchange's own controller
}

// Group is the trunk group between two exchange numbers.
type Group struct {
	LowNumber, HighNumber int
	Size, Free            int
	lostCircuits          int // out of service by LoseCircuits
}

// Config holds the parameters of a fleet. Work is given in multiples of the work
// of one set-up.
type Config struct {
	IntraRegionDelay, InterRegionDelay time.Duration // one way
	MaxQueueWait                       time.Duration // set-ups that would wait longer are rejected
	ExamineWork                        float64       // at the originating exchange, before a set-up is sent
	RejectWork                         float64
	FollowUpWork                       float64 // of an answer or a release
	ResendWork                         float64
	ResendAfter                        time.Duration // doubles with each resend; 0: set-ups are not resent
	FinishFirst                        bool          // answers and releases are served before set-ups
	ReportsWait                        bool          // rejections carry the expected wait
	ReportsReduction                   bool          // replies carry the load reduction that the exchange asks for
	ColdCapacity                       float64       // share of the capacity just after a start
	ColdDuration                       time.Duration // until full capacity
}

// Fleet holds all exchanges and the trunk groups between them.
type Fleet struct {
	config            Config
	scheduler         Scheduler
	random            *rand.Rand
	Exchanges         []*Exchange // in order of creation
	exchangesByNumber map[int]*Exchange
	groups            map[[2]int]*Group
	orderedGroups     []*Group
	changedGroups     map[int]map[int]bool // groups to report: by exchange number, the numbers at the other ends
	reportScheduled   bool
	freeLines         map[string]int // free lines of the called numbers that LimitLines restricts

	OnStart func(*Exchange) // called at each start of a processor
	Counts  Counts
}

// Counts holds the events of a fleet: set-ups received, calls established (Stood),
// set-ups rejected for lack of processor capacity (TurnedAway), crankbacks of
// tandem exchanges (TurnedBack), set-ups without a free circuit or line, legs cut,
// and set-ups never answered (Swallowed). JSON output uses the field names.
type Counts struct {
	Setups, Stood, TurnedAway, TurnedBack, NoCircuit, LinesBusy, Cut, Swallowed int
}

// New returns an empty fleet.
func New(scheduler Scheduler, random *rand.Rand, config Config) *Fleet {
	return &Fleet{
		config:            config,
		scheduler:         scheduler,
		random:            random,
		exchangesByNumber: map[int]*Exchange{},
		groups:            map[[2]int]*Group{},
		changedGroups:     map[int]map[int]bool{},
		freeLines:         map[string]int{},
		OnStart:           func(*Exchange) {},
	}
}

// AddExchange brings an exchange into service. setUpWork is the processor time of
// one set-up. An exchange with a number in use takes over from the previous one.
func (f *Fleet) AddExchange(id uint32, number, region int, setUpWork time.Duration, cold bool) *Exchange {
	added := &Exchange{ID: id, Number: number, Region: region, Up: true, setUpWork: setUpWork}
	added.processor = processor{
		scheduler:    f.scheduler,
		answersFirst: f.config.FinishFirst,
		slowdown:     1,
		initialShare: f.config.ColdCapacity,
		warmUpTime:   f.config.ColdDuration,
	}
	if cold {
		added.StartedAt = f.scheduler.Now()
		added.processor.startedAt = added.StartedAt
	}
	f.Exchanges = append(f.Exchanges, added)
	f.exchangesByNumber[number] = added
	f.OnStart(added)
	return added
}

// AddGroup creates a trunk group of size circuits between two exchange numbers.
func (f *Fleet) AddGroup(a, b, size int) {
	group := &Group{LowNumber: min(a, b), HighNumber: max(a, b), Size: size, Free: size}
	f.groups[[2]int{group.LowNumber, group.HighNumber}] = group
	f.orderedGroups = append(f.orderedGroups, group)
}

// ResizeGroup sets the number of circuits of a group, creating the group or, with
// size 0, removing it. It must not be called once calls have been set up.
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

// Groups returns the groups in order of creation.
func (f *Fleet) Groups() []*Group { return f.orderedGroups }

// Current returns the exchange that currently serves a number.
func (f *Fleet) Current(number int) *Exchange { return f.exchangesByNumber[number] }

func (f *Fleet) groupBetween(a, b int) *Group { return f.groups[[2]int{min(a, b), max(a, b)}] }

// LimitLines limits a called number to the given number of lines.
func (f *Fleet) LimitLines(number string, lines int) { f.freeLines[number] = lines }

// SetUpsPerSecond returns the number of set-ups per second that a warm exchange can process.
func (e *Exchange) SetUpsPerSecond() float64 { return float64(time.Second) / float64(e.setUpWork) }

// CircuitsInUse returns the number of circuits in use in all groups.
func (f *Fleet) CircuitsInUse() int {
	inUse := 0
	for _, group := range f.orderedGroups {
		inUse += group.Size - group.lostCircuits - group.Free
	}
	return inUse
}

// leg is one set-up, and the call that comes of it, over one trunk group.
type leg struct {
	conn         *Conn
	key          legKey
	termination  string
	pendingAdd   uint32    // transaction of the Add that awaits its reply; 0 once answered
	origin, peer *Exchange // the ends of the group: where the set-up comes from and where it goes
	group        *Group
	circuits     int
	request      *signal.Message
	destination  int
	deadline     time.Duration
	lineNumber   string // called number of which the leg holds a line; empty if none
	transitName  string // name of the transit call at the peer's controller; empty if none
	established  bool
	ended        bool
}

// OpenConn registers a new connection of an exchange: one from a controller or, with
// transit set, the one to its own controller for calls in transit.
func (f *Fleet) OpenConn(exchange *Exchange, transit bool, send func(*signal.Message)) *Conn {
	conn := &Conn{
		Exchange:         exchange,
		Transit:          transit,
		Send:             send,
		controllerNumber: -1,
		legs:             map[legKey]*leg{},
		pendingTransit:   map[uint32]*leg{},
		transitLegs:      map[string]*leg{},
	}
	if transit {
		exchange.transitConn = conn
	} else {
		exchange.conns = append(exchange.conns, conn)
	}
	return conn
}

// ConnClosed handles the end of a connection: all legs set up over it are released,
// and all transit legs over it fail.
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
			transitLeg := conn.transitLegs[name]
			transitLeg.transitName = ""
			f.failLeg(transitLeg, "turned-back", true)
		}
		return
	}
	closedAt.conns = slices.DeleteFunc(closedAt.conns, func(other *Conn) bool { return other == conn })
	if closedAt.ownConn == conn {
		closedAt.ownConn = nil
	}
	for _, key := range sortedLegKeys(conn.legs) {
		released := conn.legs[key]
		released.pendingAdd, released.established = 0, false // the controller can't be notified any more
		f.releaseLeg(released)
	}
}

// HandleMessage handles a message from a controller.
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
		controllerNumber, err := request.Int("From", 0, 1<<20)
		if err != nil {
			conn.Send(request.NewErrorReply(signal.BadValue, err.Error()))
			return
		}
		if conn.controllerNumber = controllerNumber; controllerNumber == target.Number {
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
			conn.Send(request.NewReply()) // already released
			return
		}
		released.pendingAdd = 0 // the Subtract gets the only reply
		f.processRelease(released, func() { conn.Send(request.NewReply()) })
	default:
		conn.Send(request.NewErrorReply(signal.UnknownCommand, "not a command for an exchange"))
	}
}

// propagationDelay draws the one-way delay between two exchanges: the configured
// delay varied by up to 10%.
func (f *Fleet) propagationDelay(a, b *Exchange) time.Duration {
	delay := f.config.InterRegionDelay
	if a.Region == b.Region {
		delay = f.config.IntraRegionDelay
	}
	return time.Duration(float64(delay) * (0.9 + 0.2*f.random.Float64()))
}

// scaleWork returns work multiplied by factor.
func scaleWork(work time.Duration, factor float64) time.Duration {
	return time.Duration(float64(work) * factor)
}

// setUp starts a set-up: it seizes the circuits at once, then passes the set-up
// through the processors of the originating and of the peer exchange.
func (f *Fleet) setUp(conn *Conn, request *signal.Message) {
	f.Counts.Setups++
	peer := conn.Exchange
	key := legKey{request.Context, request.Get("Attempt")}
	destination, err := request.Int("Dest", 0, 1<<20)
	circuits, circuitsErr := request.Int("Width", 1, 1024)
	timeLeft, leftErr := request.Duration("Left")
	switch {
	case err != nil || circuitsErr != nil || leftErr != nil || conn.controllerNumber < 0:
		conn.Send(request.NewErrorReply(signal.BadValue, fmt.Sprint("a set-up needs Dest, Width, Left and an introduced sender: ", err, circuitsErr, leftErr)))
		return
	case conn.legs[key] != nil:
		conn.Send(request.NewErrorReply(signal.TerminationInContext, "this attempt is there already"))
		return
	}
	origin, group := f.exchangesByNumber[conn.controllerNumber], f.groupBetween(conn.controllerNumber, peer.Number)
	newLeg := &leg{
		conn:        conn,
		key:         key,
		termination: request.Termination,
		pendingAdd:  request.ID,
		origin:      origin,
		peer:        peer,
		group:       group,
		circuits:    circuits,
		request:     request,
		destination: destination,
		deadline:    f.scheduler.Now() + timeLeft,
	}
	switch {
	case origin == nil || !origin.Up:
		f.sendReply(newLeg, "own-processor", signal.TemporaryFailure)
		return
	case group == nil || group.Free < circuits:
		f.Counts.NoCircuit++
		f.sendReply(newLeg, "no-circuit", signal.InsufficientResources)
		return
	}
	f.changeFreeCircuits(group, -circuits)
	conn.legs[key] = newLeg
	origin.processor.enqueue(scaleWork(origin.setUpWork, 1+f.config.ExamineWork), false, func() {
		f.scheduler.After(f.propagationDelay(origin, peer), func() { f.handleArrival(newLeg) })
	})
}

// handleArrival handles a set-up that reaches the peer exchange.
func (f *Fleet) handleArrival(arriving *leg) {
	peer := arriving.peer
	switch {
	case arriving.ended || !peer.Up:
		return
	case peer.Unresponsive || f.random.Float64() < peer.UnansweredShare:
		f.Counts.Swallowed++
		return // holds its circuits until the controller releases it
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
		if free, limited := f.freeLines[number]; limited {
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

// scheduleResend models the resending of an unanswered set-up, which only adds work
// at the peer exchange. The interval doubles each time.
func (f *Fleet) scheduleResend(waiting *leg, interval time.Duration) {
	f.scheduler.After(interval, func() {
		if waiting.ended || waiting.established || waiting.pendingAdd == 0 || !waiting.peer.Up {
			return
		}
		waiting.peer.processor.enqueue(scaleWork(waiting.peer.setUpWork, f.config.ResendWork), false, func() {})
		f.scheduleResend(waiting, 2*interval)
	})
}

// returnAnswer passes the answer back through both processors and reports the call
// as established.
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

// forwardTransit passes a call in transit to the peer exchange's own controller.
func (f *Fleet) forwardTransit(incoming *leg) {
	transit := incoming.peer.transitConn
	timeLeft := incoming.deadline - f.scheduler.Now()
	if transit == nil || timeLeft <= 0 {
		f.failLeg(incoming, "turned-back", false)
		return
	}
	transit.lastTransaction++
	incoming.transitName = fmt.Sprintf("%s/%d.%s", incoming.termination, incoming.origin.Number, incoming.key.attempt)
	if transit.transitLegs[incoming.transitName] != nil { // the previous attempt of the same name is not released yet
		incoming.transitName = ""
		f.failLeg(incoming, "turned-back", false)
		return
	}
	transit.pendingTransit[transit.lastTransaction], transit.transitLegs[incoming.transitName] = incoming, incoming
	request := &signal.Message{ID: transit.lastTransaction, Context: signal.ContextChoose, Command: signal.Add, Termination: incoming.transitName}
	request.Put("Class", incoming.request.Get("Class")).PutInt("Dest", incoming.destination).PutInt("Width", incoming.circuits).PutDuration("Left", timeLeft)
	request.PutInt("Source", incoming.origin.Number).PutFlag("Again", incoming.request.Flag("Again"))
	if number := incoming.request.Get("Number"); number != "" {
		request.Put("Number", number)
	}
	transit.Send(request)
}

// handleTransitMessage handles a message of the own controller about calls in transit.
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
		if handled := conn.transitLegs[message.Termination]; handled != nil {
			delete(conn.transitLegs, handled.transitName)
			handled.transitName = ""
			f.cutLeg(handled)
		}
	case message.Kind == signal.Request:
		conn.Send(message.NewReply())
	}
}

// sendReply answers the Add of a leg unless it has been answered or its connection
// is closed. An empty note means that the call is established.
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

// failLeg ends a set-up that fails. With late set, a call that is already
// established is cut instead.
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

// cutLeg ends a leg at once and notifies its controller.
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

// releaseLeg frees the circuits and the line of a leg at once, and releases its
// transit call.
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

// processRelease releases a leg once the peer exchange has processed the release,
// then calls done.
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

// changeFreeCircuits changes the free circuits of a group and schedules reports to
// the controllers of both ends. Changes within 2 ms share one report.
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

// maxGroupsPerReport is the maximum number of groups in one report message.
const maxGroupsPerReport = 100

// reportCircuits reports the changed groups of an exchange, or all if changed is
// nil, to its controller.
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

// Crash stops an exchange: all calls through it are cut. The owner of its
// connections must close them.
func (f *Fleet) Crash(crashed *Exchange) {
	crashed.Up = false
	crashed.processor.reset(f.scheduler.Now())
	f.cutMatching(func(affected *leg) bool { return affected.origin == crashed || affected.peer == crashed })
}

// Restart brings a crashed exchange back into service, cold.
func (f *Fleet) Restart(restarted *Exchange) {
	restarted.Up, restarted.Unresponsive = true, false
	restarted.StartedAt = f.scheduler.Now()
	restarted.processor.reset(restarted.StartedAt)
	f.OnStart(restarted)
}

// Retire takes a replaced exchange out of service and cuts the calls that reach it.
func (f *Fleet) Retire(retired *Exchange) {
	retired.Up = false
	f.cutMatching(func(affected *leg) bool { return affected.peer == retired })
}

// allLegs returns the legs of all exchanges in a reproducible order.
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

// cutMatching cuts the legs that match and returns their number.
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

// CutCalls cuts a share of the established calls at their destination exchanges and
// returns the number of calls cut.
func (f *Fleet) CutCalls(share float64) int {
	return f.cutMatching(func(candidate *leg) bool {
		return candidate.established && candidate.destination == candidate.peer.Number && f.random.Float64() < share
	})
}

// LoseCircuits takes a share of the circuits between regions out of service and cuts
// calls where more circuits are in use than remain.
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

// RestoreCircuits puts the circuits that LoseCircuits removed back into service.
func (f *Fleet) RestoreCircuits() {
	for _, group := range f.orderedGroups {
		if group.lostCircuits > 0 {
			f.changeFreeCircuits(group, group.lostCircuits)
			group.lostCircuits = 0
		}
	}
}

// SetSlowdown makes the processor slower by a factor; 1 is normal speed.
func (e *Exchange) SetSlowdown(factor float64) { e.processor.slowdown = max(factor, 0.01) }

// PauseUntil stops the processor until the given time.
func (e *Exchange) PauseUntil(end time.Duration) { e.processor.pausedUntil = end }

// sortedKeys returns the keys of m in ascending order, so that runs are reproducible.
func sortedKeys[K int | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// sortedLegKeys returns the keys of legs in order of context and attempt.
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
