package controller

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/signal"
)

// life is what is known of a kept peer's being there.
type life struct {
	peer         Peer
	up           bool
	round        int // connections so far
	heard, asked time.Duration
	txs          uint32
	faults       guard.FaultLimiter
}

// link is the kept connection to one exchange of the list.
type link struct {
	id      uint64
	cell    int
	addr    string
	life    life
	fenced  bool // draining or gone: nothing new
	gone    bool // not in the list any more
	waiting []*attempt
	out     map[uint32]*attempt // by the transaction that is to be answered
	held    map[*attempt]bool   // all that the exchange may hold
}

func (l *link) peer() Peer { return l.life.peer }

func (l *link) tx() uint32 {
	l.life.txs++
	return l.life.txs
}

// up greets a peer whose connection stands.
func (c *Controller) up(p Peer) {
	var li *life
	switch p.Role {
	case RoleCaller:
		c.caller(p.ID)
		return
	case RoleExchangeList:
		li = &c.listUp
		li.peer, li.faults = p, c.cfg.FaultLimit
	case RoleExchange:
		l := c.links[p.ID]
		if l == nil {
			return
		}
		li = &l.life
	}
	li.up, li.heard, li.asked = true, c.now, 0
	li.round++
	li.txs++
	m := &signal.Message{ID: li.txs, Command: signal.ServiceChange, Termination: signal.Root}
	m.Put("Method", "restart").PutInt("Controller", c.cfg.ControllerNumber).PutInt("From", c.cfg.ExchangeNumber)
	c.say(p, m)
	li.txs++
	events := "circuits"
	if p.Role == RoleExchangeList {
		events = "list"
	}
	c.say(p, (&signal.Message{ID: li.txs, Command: signal.Modify, Termination: signal.Root}).Put("Events", events))
	c.look(li)
	if p.Role == RoleExchange {
		l := c.links[p.ID]
		waiting := l.waiting
		l.waiting = nil
		for _, t := range waiting {
			c.timers.Stop(t.timer)
			c.post(t)
		}
	}
}

// down ends what was out on a connection: each attempt once.
func (c *Controller) down(p Peer) {
	switch p.Role {
	case RoleCaller:
		c.gone(p.ID)
	case RoleExchangeList:
		c.listUp.up = false
		c.log(slog.LevelWarn, "", "the exchange list is out of reach; the last one stays in force")
	case RoleExchange:
		l := c.links[p.ID]
		if l == nil {
			return
		}
		l.life.up = false
		all := make([]*attempt, 0, len(l.held))
		for t := range l.held {
			all = append(all, t)
		}
		slices.SortFunc(all, func(a, b *attempt) int { return int(int64(a.add) - int64(b.add)) })
		if len(all) > 0 {
			c.log(slog.LevelWarn, "", fmt.Sprintf("the link to exchange %d broke with %d attempts", l.id, len(all)))
		}
		for _, t := range all {
			switch t.stage {
			case sent:
				c.end(t, brain.OutcomeReset, signal.Message{})
			case freeing: // the exchange frees what came over a broken link
				c.end(t, t.outcome, signal.Message{})
			case carrying:
				k := t.call
				c.stats.Cut++
				c.callEnded(k, flow.Cut)
				c.notifyEnd(k, "cut")
				if k.from != nil {
					delete(k.from.calls, k.name)
				}
				c.end(t, brain.OutcomeReset, signal.Message{})
			}
		}
		c.drop(l)
	}
}

// look asks a kept peer for a sign of life when it is quiet, and cuts it off
// when it has been for too long.
func (c *Controller) look(li *life) {
	if !li.up {
		return
	}
	ask, lost, again := c.cfg.Liveness.Check(c.now, li.heard, li.asked)
	if lost {
		c.out = append(c.out, Effect{Kind: EffectClose, Peer: li.peer, Text: "no sign of life"})
		return
	}
	if ask {
		li.asked = c.now
		li.txs++
		c.say(li.peer, &signal.Message{ID: li.txs, Command: signal.AuditValue, Termination: signal.Root})
	}
	c.timers.Set(again, timer{link: li, round: li.round})
}

// drop forgets a link that is out of the list and holds nothing.
func (c *Controller) drop(l *link) {
	if l.gone && c.links[l.id] == l && len(l.held) == 0 && len(l.waiting) == 0 {
		c.out = append(c.out, Effect{Kind: EffectDisconnect, Peer: l.peer()})
		l.life.up = false
		delete(c.links, l.id)
	}
}

// fromList reads the exchange list's words.
func (c *Controller) fromList(m *signal.Message) {
	if m.Kind != signal.Request {
		if m.Code != 0 {
			c.log(slog.LevelWarn, "", fmt.Sprintf("the exchange list says %d %s", m.Code, m.Text))
		}
		return
	}
	if m.Command != signal.Notify {
		c.say(c.listUp.peer, m.NewErrorReply(signal.UnknownCommand, "not a command for a controller"))
		return
	}
	word, addrs, err := c.readList(m)
	if err != nil {
		c.log(slog.LevelError, "", "the exchange list: "+err.Error())
		c.say(c.listUp.peer, m.NewErrorReply(signal.BadValue, err.Error()))
		return
	}
	c.say(c.listUp.peer, m.NewReply())
	named := map[uint64]bool{}
	for i, e := range word.Entries {
		named[uint64(e.ID)] = true
		c.listedExchange(e, addrs[i])
	}
	if word.Complete {
		for _, id := range sorted(c.links) {
			if l := c.links[id]; !named[id] && !l.gone {
				c.shut(l, true)
			}
		}
	}
	c.feed(word)
	for _, cell := range sorted(c.circuits) { // circuits told before the list was
		if id, ok := c.cells[cell]; ok && named[id] {
			r := c.circuits[cell]
			r.ExchangeID = uint32(id)
			c.feed(r)
		}
	}
}

// listedExchange follows one line of the list.
func (c *Controller) listedExchange(e brain.Exchange, addr string) {
	id := uint64(e.ID)
	l := c.links[id]
	if e.State == brain.OutOfService {
		if l != nil {
			c.shut(l, true)
		}
		return
	}
	if l == nil {
		l = &link{id: id, out: map[uint32]*attempt{}, held: map[*attempt]bool{},
			life: life{peer: Peer{RoleExchange, id}, faults: c.cfg.FaultLimit}}
		c.links[id] = l
	}
	if l.addr != addr {
		l.addr = addr
		c.out = append(c.out, Effect{Kind: EffectConnect, Peer: l.peer(), Address: addr})
	}
	l.cell, l.gone = e.Number, false
	if e.State == brain.Draining {
		c.shut(l, false)
		return
	}
	c.cells[e.Number] = id
	if l.fenced {
		l.fenced = false
		c.out = append(c.out, Effect{Kind: EffectUnblock, Peer: l.peer()})
	}
}

// shut keeps anything new from an exchange that drains or is gone, also what
// was decided before and has not left yet.
func (c *Controller) shut(l *link, gone bool) {
	if !l.fenced {
		l.fenced = true
		c.out = append(c.out, Effect{Kind: EffectBlock, Peer: l.peer()})
	}
	l.gone = l.gone || gone
	waiting := l.waiting
	l.waiting = nil
	for _, t := range waiting {
		c.stats.NoLink++
		c.end(t, brain.OutcomeUnreachable, signal.Message{})
	}
	c.drop(l)
}

var states = map[string]brain.ExchangeState{"in": brain.InService, "draining": brain.Draining, "out": brain.OutOfService}

// readList reads "Exchange: ID cell=N state=in since=MS at=ADDR" lines.
func (c *Controller) readList(m *signal.Message) (brain.ExchangeListUpdate, []string, error) {
	word := brain.ExchangeListUpdate{Complete: m.Flag("Complete")}
	var addrs []string
	for _, line := range m.All("Exchange") {
		f := strings.Fields(line)
		if len(f) == 0 {
			return word, nil, errors.New("descriptor Exchange is empty")
		}
		id, err := strconv.ParseUint(f[0], 10, 32)
		if err != nil {
			return word, nil, fmt.Errorf("descriptor Exchange: %.40q is no id", f[0])
		}
		e, addr := brain.Exchange{ID: uint32(id), Number: -1, State: -1}, ""
		for _, p := range f[1:] {
			name, v, _ := strings.Cut(p, "=")
			switch name {
			case "cell":
				n, err := strconv.ParseUint(v, 10, 20)
				if err != nil {
					return word, nil, fmt.Errorf("descriptor Exchange %d: cell: %.40q", id, v)
				}
				e.Number = int(n)
			case "state":
				s, ok := states[v]
				if !ok {
					return word, nil, fmt.Errorf("descriptor Exchange %d: state: %.40q", id, v)
				}
				e.State = s
			case "since": // milliseconds since 1970, 0 long ago
				n, err := strconv.ParseInt(v, 10, 64)
				if err != nil || n < 0 || n > math.MaxInt64/int64(time.Millisecond) {
					return word, nil, fmt.Errorf("descriptor Exchange %d: since: %.40q", id, v)
				}
				e.StartedAt = time.Duration(n) * time.Millisecond
			case "at":
				addr = v
			}
		}
		if e.Number < 0 || e.State < 0 || addr == "" && e.State != brain.OutOfService {
			return word, nil, fmt.Errorf("descriptor Exchange %d: cell, state or at is missing", id)
		}
		word.Entries, addrs = append(word.Entries, e), append(addrs, addr)
	}
	if len(word.Entries) > c.cfg.MaxExchanges {
		return word, nil, fmt.Errorf("%d exchanges in one word, %d at most", len(word.Entries), c.cfg.MaxExchanges)
	}
	return word, addrs, nil
}

// reported hands on what a message tells of the own groups: "Group: CELL FREE SIZE" lines.
func (c *Controller) reported(m *signal.Message) {
	for _, v := range m.All("Group") {
		cell, free, size, ok := group(v)
		if !ok {
			continue
		}
		r := brain.GroupStatus{OK: true, Report: brain.StatusReport{CircuitsKnown: true, FreeCircuits: free, GroupSize: size}}
		c.circuits[cell] = r
		if id, ok := c.cells[cell]; ok {
			r.ExchangeID = uint32(id)
			c.feed(r)
		}
	}
}

func group(v string) (cell, free, size int, ok bool) {
	f := strings.Fields(v)
	if len(f) != 3 {
		return 0, 0, 0, false
	}
	var n [3]int
	for i := range f {
		x, err := strconv.ParseUint(f[i], 10, 30)
		if err != nil {
			return 0, 0, 0, false
		}
		n[i] = int(x)
	}
	return n[0], n[1], n[2], n[0] <= mostCell
}
