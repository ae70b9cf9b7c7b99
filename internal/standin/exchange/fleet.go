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

	cell     int // of the controller, once it has said so; -1 before
	circuits bool
	tx       uint32
	legs     map[legKey]*leg // set up over it
	onward   map[uint32]*leg // transit: Adds that wait for their reply, by transaction
	carried  map[string]*leg // transit: by name in use towards the own controller
	closed   bool
}

type legKey struct {
	context uint32
	attempt string
}

// Exchange is one exchange; a number that is replaced has two for a while.
type Exchange struct {
	ID      uint32
	Cell    int
	Region  int
	Since   time.Duration // its start, 0 long ago
	Up      bool
	Hung    bool    // takes set-ups and answers none
	Mute    float64 // share of set-ups that get no answer
	Breaks  float64 // share of set-ups that are cut before the answer
	proc    processor
	work    time.Duration // of one set-up
	conns   []*Conn
	transit *Conn
	own     *Conn // of the controller of its number
}

// Group is the circuits between two numbers.
type Group struct {
	A, B       int
	Size, Free int
	lost       int
}

// Figures are what a fleet is made of.
type Figures struct {
	Near, Far   time.Duration // one way within and between regions
	Queue       time.Duration // longer waits turn set-ups away
	Look        float64       // work in set-ups
	Reject      float64
	Follow      float64
	Repeat      float64
	Resend      time.Duration
	FinishFirst bool
	GivesWait   bool
	Reduce      bool
	ColdFrom    float64
	ColdFor     time.Duration
}

// Fleet is all exchanges and the groups between them.
type Fleet struct {
	fig    Figures
	s      Sched
	rnd    *rand.Rand
	All    []*Exchange // in the order of their making
	cells  map[int]*Exchange
	groups map[[2]int]*Group
	order  []*Group
	dirty  map[int]map[int]bool // by number, whose groups changed
	flush  bool
	lines  map[string]int // free lines of numbers that have few

	Started func(*Exchange) // told of each start of a processor
	Counts  Counts
}

// Counts is what the fleet saw.
type Counts struct {
	Setups, Stood, TurnedAway, TurnedBack, NoCircuit, LinesBusy, Cut, Swallowed int
}

// New makes an empty fleet.
func New(s Sched, rnd *rand.Rand, fig Figures) *Fleet {
	return &Fleet{fig: fig, s: s, rnd: rnd, cells: map[int]*Exchange{}, groups: map[[2]int]*Group{},
		dirty: map[int]map[int]bool{}, lines: map[string]int{}, Started: func(*Exchange) {}}
}

// Add brings an exchange into service; work is the time of one set-up on its
// processor. One of the same number takes over from the one before.
func (f *Fleet) Add(id uint32, cell, region int, work time.Duration, cold bool) *Exchange {
	x := &Exchange{ID: id, Cell: cell, Region: region, Up: true, work: work}
	x.proc = processor{s: f.s, first: f.fig.FinishFirst, slow: 1, from: f.fig.ColdFrom, warm: f.fig.ColdFor}
	if cold {
		x.Since = f.s.Now()
		x.proc.since = x.Since
	}
	f.All = append(f.All, x)
	f.cells[cell] = x
	f.Started(x)
	return x
}

// Link makes a group between two numbers.
func (f *Fleet) Link(a, b, size int) {
	g := &Group{A: min(a, b), B: max(a, b), Size: size, Free: size}
	f.groups[[2]int{g.A, g.B}] = g
	f.order = append(f.order, g)
}

// Resize gives a group another number of circuits, or makes or ends one, before
// any call is up.
func (f *Fleet) Resize(a, b, size int) {
	key := [2]int{min(a, b), max(a, b)}
	g := f.groups[key]
	switch {
	case g == nil && size > 0:
		f.Link(a, b, size)
	case g != nil && size > 0:
		g.Size, g.Free = size, size
	case g != nil:
		delete(f.groups, key)
		f.order = slices.DeleteFunc(f.order, func(o *Group) bool { return o == g })
	}
}

// Groups lists the groups in the order of their making.
func (f *Fleet) Groups() []*Group { return f.order }

// Current is the exchange that serves a number.
func (f *Fleet) Current(cell int) *Exchange { return f.cells[cell] }

func (f *Fleet) group(a, b int) *Group { return f.groups[[2]int{min(a, b), max(a, b)}] }

// Lines gives a number so few lines.
func (f *Fleet) Lines(number string, n int) { f.lines[number] = n }

// PerSecond is the set-ups that an exchange can do when warm.
func (x *Exchange) PerSecond() float64 { return float64(time.Second) / float64(x.work) }

// Held counts circuits in use over all groups.
func (f *Fleet) Held() int {
	n := 0
	for _, g := range f.order {
		n += g.Size - g.lost - g.Free
	}
	return n
}

// leg is one set-up at an exchange, over one group.
type leg struct {
	conn      *Conn
	key       legKey
	name      string
	add       uint32 // transaction that waits for the reply; 0 once answered
	near, far *Exchange
	group     *Group
	width     int
	msg       *signal.Message
	dest      int
	due       time.Duration
	line      string // it holds a line of this number
	onward    string // name of its call in transit at the far end's controller
	stands    bool
	over      bool
}

// Open takes a new connection: of a controller, or the exchange's own for calls in transit.
func (f *Fleet) Open(x *Exchange, transit bool, send func(*signal.Message)) *Conn {
	c := &Conn{Exchange: x, Transit: transit, Send: send, cell: -1, legs: map[legKey]*leg{},
		onward: map[uint32]*leg{}, carried: map[string]*leg{}}
	if transit {
		x.transit = c
	} else {
		x.conns = append(x.conns, c)
	}
	return c
}

// Closed ends a connection: what was set up over it is released.
func (f *Fleet) Closed(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	x := c.Exchange
	if c.Transit {
		if x.transit == c {
			x.transit = nil
		}
		for _, name := range sortedKeys(c.carried) {
			l := c.carried[name]
			l.onward = ""
			f.fail(l, "turned-back", true)
		}
		return
	}
	x.conns = slices.DeleteFunc(x.conns, func(o *Conn) bool { return o == c })
	if x.own == c {
		x.own = nil
	}
	for _, k := range sortedLegs(c.legs) {
		l := c.legs[k]
		l.add, l.stands = 0, false // nobody to tell
		f.end(l)
	}
}

// Message takes a message from a controller.
func (f *Fleet) Message(c *Conn, m *signal.Message) {
	if c.closed {
		return
	}
	if c.Transit {
		f.fromOwnController(c, m)
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
		if c.cell = cell; cell == x.Cell {
			x.own = c
		}
		c.Send(m.NewReply().Put("Since", fmt.Sprint(x.Since.Milliseconds())))
	case signal.Modify:
		c.Send(m.NewReply())
		if c.circuits = m.Get("Events") == "circuits" && c.cell == x.Cell; c.circuits {
			f.report(x, nil)
		}
	case signal.AuditValue:
		c.Send(m.NewReply().PutDuration("Wait", x.proc.wait()))
	case signal.Add:
		f.setUp(c, m)
	case signal.Subtract:
		l := c.legs[legKey{m.Context, m.Get("Attempt")}]
		if l == nil {
			c.Send(m.NewReply()) // it is released, as was asked
			return
		}
		l.add = 0 // the release answers it
		f.releaseWork(l, func() { c.Send(m.NewReply()) })
	default:
		c.Send(m.NewErrorReply(signal.UnknownCommand, "not a command for an exchange"))
	}
}

func (f *Fleet) delay(a, b *Exchange) time.Duration {
	d := f.fig.Far
	if a.Region == b.Region {
		d = f.fig.Near
	}
	return time.Duration(float64(d) * (0.9 + 0.2*f.rnd.Float64()))
}

func times(work time.Duration, k float64) time.Duration { return time.Duration(float64(work) * k) }

// setUp begins a set-up: circuits at once, then the near and the far processor.
func (f *Fleet) setUp(c *Conn, m *signal.Message) {
	f.Counts.Setups++
	x := c.Exchange
	key := legKey{m.Context, m.Get("Attempt")}
	dest, err := m.Int("Dest", 0, 1<<20)
	width, err2 := m.Int("Width", 1, 1024)
	left, err3 := m.Duration("Left")
	switch {
	case err != nil || err2 != nil || err3 != nil || c.cell < 0:
		c.Send(m.NewErrorReply(signal.BadValue, fmt.Sprint("a set-up needs Dest, Width, Left and an introduced sender: ", err, err2, err3)))
		return
	case c.legs[key] != nil:
		c.Send(m.NewErrorReply(signal.TerminationInContext, "this attempt is there already"))
		return
	}
	near, g := f.cells[c.cell], f.group(c.cell, x.Cell)
	l := &leg{conn: c, key: key, name: m.Termination, add: m.ID, near: near, far: x, group: g, width: width, msg: m, dest: dest,
		due: f.s.Now() + left}
	switch {
	case near == nil || !near.Up:
		f.reply(l, "own-processor", signal.TemporaryFailure)
		return
	case g == nil || g.Free < width:
		f.Counts.NoCircuit++
		f.reply(l, "no-circuit", signal.InsufficientResources)
		return
	}
	f.change(g, -width)
	c.legs[key] = l
	near.proc.do(times(near.work, 1+f.fig.Look), false, func() {
		f.s.After(f.delay(near, x), func() { f.arrive(l) })
	})
}

// arrive is the set-up at the far exchange.
func (f *Fleet) arrive(l *leg) {
	x := l.far
	switch {
	case l.over || !x.Up:
		return
	case x.Hung || f.rnd.Float64() < x.Mute:
		f.Counts.Swallowed++
		return // held until it is called off
	case f.rnd.Float64() < x.Breaks:
		f.fail(l, "cut", false)
		return
	case x.proc.wait() > f.fig.Queue:
		f.Counts.TurnedAway++
		x.proc.do(times(x.work, f.fig.Reject), false, func() { f.fail(l, "processor-full", false) })
		return
	}
	if f.fig.Resend > 0 {
		f.resend(l, f.fig.Resend)
	}
	x.proc.do(x.work, false, func() {
		if l.over {
			return
		}
		if l.dest != x.Cell {
			f.handOn(l)
			return
		}
		number := l.msg.Get("Number")
		if free, few := f.lines[number]; few {
			if free <= 0 {
				f.Counts.LinesBusy++
				f.fail(l, "lines-busy", false)
				return
			}
			f.lines[number]--
			l.line = number
		}
		f.answer(l)
	})
}

// resend is a set-up that waits and is sent again: work, and nothing else.
func (f *Fleet) resend(l *leg, gap time.Duration) {
	f.s.After(gap, func() {
		if l.over || l.stands || l.add == 0 || !l.far.Up {
			return
		}
		l.far.proc.do(times(l.far.work, f.fig.Repeat), false, func() {})
		f.resend(l, 2*gap)
	})
}

// answer brings the word that the call stands back through both processors.
func (f *Fleet) answer(l *leg) {
	l.far.proc.do(times(l.far.work, f.fig.Follow), true, func() {
		f.s.After(f.delay(l.far, l.near), func() {
			if l.over || !l.near.Up {
				return
			}
			l.near.proc.do(times(l.near.work, f.fig.Follow), true, func() {
				if l.over {
					return
				}
				l.stands = true
				f.Counts.Stood++
				f.reply(l, "", 0)
			})
		})
	})
}

// handOn gives a call in transit to the own controller.
func (f *Fleet) handOn(l *leg) {
	c := l.far.transit
	left := l.due - f.s.Now()
	if c == nil || left <= 0 {
		f.fail(l, "turned-back", false)
		return
	}
	c.tx++
	l.onward = fmt.Sprintf("%s/%d.%s", l.name, l.near.Cell, l.key.attempt)
	if c.carried[l.onward] != nil { // its last try through here is not released yet
		l.onward = ""
		f.fail(l, "turned-back", false)
		return
	}
	c.onward[c.tx], c.carried[l.onward] = l, l
	m := &signal.Message{ID: c.tx, Context: signal.ContextChoose, Command: signal.Add, Termination: l.onward}
	m.Put("Class", l.msg.Get("Class")).PutInt("Dest", l.dest).PutInt("Width", l.width).PutDuration("Left", left)
	m.PutInt("Source", l.near.Cell).PutFlag("Again", l.msg.Flag("Again"))
	if n := l.msg.Get("Number"); n != "" {
		m.Put("Number", n)
	}
	c.Send(m)
}

// fromOwnController is the word of the own controller on calls in transit.
func (f *Fleet) fromOwnController(c *Conn, m *signal.Message) {
	switch {
	case m.Kind == signal.Reply && m.Command == signal.Add:
		l := c.onward[m.ID]
		delete(c.onward, m.ID)
		if l == nil || l.over {
			return
		}
		if m.Code == 0 {
			f.answer(l)
			return
		}
		delete(c.carried, l.onward)
		l.onward = ""
		note := "turned-back"
		if m.Get("Cause") == "processor-full" {
			note = "turned-back-processor"
		}
		f.fail(l, note, false)
	case m.Kind == signal.Request && m.Command == signal.Notify:
		c.Send(m.NewReply())
		if l := c.carried[m.Termination]; l != nil {
			delete(c.carried, l.onward)
			l.onward = ""
			f.cut(l)
		}
	case m.Kind == signal.Request:
		c.Send(m.NewReply())
	}
}

// reply answers the set-up, if somebody waits for it.
func (f *Fleet) reply(l *leg, note string, code signal.Code) {
	if l.add == 0 || l.conn.closed {
		return
	}
	l.add = 0
	r := l.msg.NewReply()
	if note != "" {
		r.Code, r.Text = code, note
		r.Put("Note", note)
		if note == "processor-full" && f.fig.GivesWait {
			r.PutDuration("Wait", max(l.far.proc.wait()-f.fig.Queue, 10*time.Millisecond).Round(time.Millisecond))
		}
	}
	if g := l.group; g != nil {
		r.Put("Group", fmt.Sprintf("%d %d %d", l.far.Cell, g.Free, g.Size-g.lost))
	}
	if f.fig.Reduce {
		over := float64(l.far.proc.wait())/float64(f.fig.Queue) - 0.3
		r.Put("Reduce", fmt.Sprintf("%.2f", min(max(over, 0), 0.9)))
	}
	l.conn.Send(r)
}

// fail ends a set-up that will not stand, or a call that was turned back later.
func (f *Fleet) fail(l *leg, note string, late bool) {
	if l.over {
		return
	}
	if l.stands && late {
		f.cut(l)
		return
	}
	if note == "turned-back" || note == "turned-back-processor" {
		f.Counts.TurnedBack++
	}
	f.end(l)
	code := signal.InsufficientResources
	if note == "cut" {
		code = signal.TemporaryFailure
	}
	f.reply(l, note, code)
}

// cut ends a leg at once and tells its controller.
func (f *Fleet) cut(l *leg) {
	if l.over {
		return
	}
	f.Counts.Cut++
	told := l.stands && !l.conn.closed
	f.end(l)
	if !told {
		f.reply(l, "cut", signal.TemporaryFailure)
		return
	}
	l.conn.tx++
	l.conn.Send((&signal.Message{ID: l.conn.tx, Context: l.key.context, Command: signal.Notify, Termination: l.name}).
		Put("Event", "cut").Put("Attempt", l.key.attempt))
}

// end frees what a leg holds, at once.
func (f *Fleet) end(l *leg) {
	if l.over {
		return
	}
	l.over = true
	delete(l.conn.legs, l.key)
	f.change(l.group, l.width)
	if l.line != "" {
		f.lines[l.line]++
	}
	if c := l.far.transit; c != nil && l.onward != "" {
		delete(c.carried, l.onward)
		c.tx++
		c.Send(&signal.Message{ID: c.tx, Context: signal.ContextNull, Command: signal.Subtract, Termination: l.onward})
		l.onward = ""
	}
}

// releaseWork frees a leg behind the work that a release is.
func (f *Fleet) releaseWork(l *leg, done func()) {
	if !l.far.Up {
		f.end(l)
		done()
		return
	}
	l.far.proc.do(times(l.far.work, f.fig.Follow), true, func() {
		if l.near.Up {
			l.near.proc.do(times(l.near.work, f.fig.Follow), true, func() {})
		}
		f.end(l)
		done()
	})
}

// change books circuits of a group and tells both ends soon.
func (f *Fleet) change(g *Group, by int) {
	g.Free += by
	for _, end := range [2][2]int{{g.A, g.B}, {g.B, g.A}} {
		if f.dirty[end[0]] == nil {
			f.dirty[end[0]] = map[int]bool{}
		}
		f.dirty[end[0]][end[1]] = true
	}
	if f.flush {
		return
	}
	f.flush = true
	f.s.After(2*time.Millisecond, func() {
		f.flush = false
		for _, cell := range sortedKeys(f.dirty) {
			if x := f.cells[cell]; x != nil {
				f.report(x, f.dirty[cell])
			}
		}
		clear(f.dirty)
	})
}

// lines of one report.
const reportLines = 100

// report tells the controller of an exchange its groups: some, or all.
func (f *Fleet) report(x *Exchange, some map[int]bool) {
	c := x.own
	if c == nil || !c.circuits || !x.Up {
		return
	}
	var m *signal.Message
	for _, cell := range sortedKeys(f.cells) {
		if cell == x.Cell || some != nil && !some[cell] {
			continue
		}
		if m == nil || len(m.Descriptors) >= reportLines {
			if m != nil {
				c.Send(m)
			}
			c.tx++
			m = &signal.Message{ID: c.tx, Command: signal.Notify, Termination: signal.Root}
		}
		free, size := 0, 0
		if g := f.group(x.Cell, cell); g != nil {
			free, size = max(g.Free, 0), g.Size-g.lost
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
	x.proc.restart(f.s.Now())
	f.cutAll(func(l *leg) bool { return l.near == x || l.far == x })
}

// Start brings a crashed processor back, cold.
func (f *Fleet) Start(x *Exchange) {
	x.Up, x.Hung = true, false
	x.Since = f.s.Now()
	x.proc.restart(x.Since)
	f.Started(x)
}

// Retire ends an exchange that was replaced.
func (f *Fleet) Retire(x *Exchange) {
	x.Up = false
	f.cutAll(func(l *leg) bool { return l.far == x })
}

func (f *Fleet) legs() []*leg {
	var all []*leg
	for _, x := range f.All {
		for _, c := range x.conns {
			for _, k := range sortedLegs(c.legs) {
				all = append(all, c.legs[k])
			}
		}
	}
	return all
}

func (f *Fleet) cutAll(which func(*leg) bool) int {
	n := 0
	for _, l := range f.legs() {
		if which(l) {
			n++
			f.cut(l)
		}
	}
	return n
}

// CutSome cuts a share of the calls that stand and end here.
func (f *Fleet) CutSome(share float64) int {
	return f.cutAll(func(l *leg) bool { return l.stands && l.dest == l.far.Cell && f.rnd.Float64() < share })
}

// Lose takes a share of the circuits between regions away, and the calls on
// them; Regain brings them back.
func (f *Fleet) Lose(share float64) {
	for _, g := range f.order {
		a, b := f.cells[g.A], f.cells[g.B]
		if a == nil || b == nil || a.Region == b.Region || g.lost > 0 {
			continue
		}
		g.lost = int(math.Round(share * float64(g.Size)))
		f.change(g, -g.lost)
		for _, l := range f.legs() {
			if g.Free >= 0 {
				break
			}
			if l.group == g {
				f.cut(l)
			}
		}
	}
}

// Regain ends Lose.
func (f *Fleet) Regain() {
	for _, g := range f.order {
		if g.lost > 0 {
			f.change(g, g.lost)
			g.lost = 0
		}
	}
}

// Slow makes a processor so many times slower; Pause lets it stand still.
func (x *Exchange) Slow(times float64) { x.proc.slow = max(times, 0.01) }

// Pause lets a processor stand still for a while.
func (x *Exchange) Pause(until time.Duration) { x.proc.paused = until }

func sortedKeys[K int | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func sortedLegs(m map[legKey]*leg) []legKey {
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
