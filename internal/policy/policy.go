// Package policy names what may decide in a controller: the module (brain), and
// two plain rules that it is held against through the same core and sockets.
package policy

import (
	"time"

	"dahliaspindle/brain"
)

// Module is what the core asks.
type Module interface {
	Handle(now time.Duration, e brain.Event) []brain.Action
}

// Dispatcher hands a module one event after another. The zero Dispatcher with a module is ready.
type Dispatcher struct {
	Module Module
	queue  []brain.Event
	busy   bool
}

// Dispatch hands an event over and has the module's actions carried out. Events that these bring
// about wait their turn; false if this one does.
func (f *Dispatcher) Dispatch(now time.Duration, e brain.Event, act func(brain.Action)) bool {
	f.queue = append(f.queue, e)
	if f.busy {
		return false
	}
	f.busy = true
	for len(f.queue) > 0 {
		e := f.queue[0]
		f.queue = f.queue[1:]
		for _, a := range f.Module.Handle(now, e) {
			act(a)
		}
	}
	f.queue, f.busy = nil, false
	return true
}

// New returns the module of a name: "brain", "direct-only" (a call goes direct
// or is refused) or "any-tandem" (direct, else the first tandem with room).
func New(name string, s brain.Settings) Module {
	if name == "brain" {
		return brain.New(s)
	}
	return &plain{set: s, tandems: name == "any-tandem", groups: map[int]*group{}, hosts: map[uint32]int{}, calls: map[string]*call{}}
}

type group struct {
	id    uint32
	state brain.ExchangeState
	free  int
}

type call struct {
	brain.Call
	due      time.Duration
	attempts int
	out      bool
	past     int // cells below this were tried as tandems
}

// plain is a rule without memory of load: no wait, no reserve, no pacing. It
// keeps the rules of one answer, one attempt and the drain, not that of cold
// processors.
type plain struct {
	set     brain.Settings
	tandems bool
	groups  map[int]*group
	cells   []int // sorted
	hosts   map[uint32]int
	calls   map[string]*call
}

// Handle takes one event.
func (p *plain) Handle(now time.Duration, e brain.Event) []brain.Action {
	switch e := e.(type) {
	case brain.ExchangeListUpdate:
		p.list(e)
	case brain.GroupStatus:
		p.report(e.ExchangeID, e.Report)
	case brain.Call:
		c := &call{Call: e, due: now + e.Remaining, past: -1}
		p.calls[e.ID] = c
		return p.try(now, c)
	case brain.CallAbandoned:
		if c := p.calls[e.CallID]; c != nil {
			if !c.out {
				delete(p.calls, e.CallID)
				return nil
			}
			return []brain.Action{brain.CancelAttempt{CallID: e.CallID, Attempt: c.attempts - 1}}
		}
	case brain.AttemptEnded:
		p.report(e.ExchangeID, e.Report)
		c := p.calls[e.CallID]
		if c == nil {
			return nil
		}
		c.out = false
		if e.Final {
			delete(p.calls, e.CallID)
			return nil
		}
		// only what never ran is tried elsewhere at once
		if e.Outcome == brain.OutcomeRejected || e.Outcome == brain.OutcomeUnreachable || e.Outcome == brain.OutcomeNotSent {
			return p.try(now, c)
		}
		return p.refuse(c, "failed")
	}
	return nil
}

func (p *plain) refuse(c *call, why brain.Reason) []brain.Action {
	delete(p.calls, c.ID)
	return []brain.Action{brain.Verdict{CallID: c.ID, Class: c.Class, Reason: why, Scope: brain.ScopeCall, ExchangeNumber: c.Destination}, brain.RefuseCall{CallID: c.ID}}
}

func (p *plain) list(e brain.ExchangeListUpdate) {
	if e.Complete {
		for _, cell := range p.cells {
			p.groups[cell].state = brain.OutOfService
		}
	}
	for _, x := range e.Entries {
		g := p.groups[x.Number]
		if g == nil {
			g = &group{state: brain.OutOfService}
			p.groups[x.Number] = g
			p.cells = append(p.cells, x.Number)
			for i := len(p.cells) - 1; i > 0 && p.cells[i] < p.cells[i-1]; i-- {
				p.cells[i], p.cells[i-1] = p.cells[i-1], p.cells[i]
			}
		}
		if x.State != brain.InService && g.id != x.ID && g.id != 0 {
			continue
		}
		g.id, g.state = x.ID, x.State
		p.hosts[x.ID] = x.Number
	}
}

func (p *plain) report(id uint32, r brain.StatusReport) {
	if cell, ok := p.hosts[id]; ok && r.CircuitsKnown {
		p.groups[cell].free = r.FreeCircuits
	}
}

func (p *plain) try(now time.Duration, c *call) []brain.Action {
	if now >= c.due || c.attempts >= p.set.MaxAttempts {
		return p.refuse(c, "attempts spent")
	}
	if g := p.groups[c.Destination]; g != nil && c.attempts == 0 && g.state == brain.InService && g.free >= c.Width && c.Destination != p.set.Self {
		return p.send(now, c, g)
	}
	if p.tandems && !c.Transit {
		for _, cell := range p.cells {
			g := p.groups[cell]
			if cell > c.past && cell != c.Destination && cell != p.set.Self && g.state == brain.InService && g.free >= c.Width {
				c.past = cell
				return p.send(now, c, g)
			}
		}
	}
	return p.refuse(c, "no circuit free")
}

func (p *plain) send(now time.Duration, c *call, g *group) []brain.Action {
	c.attempts++
	c.out = true
	g.free -= c.Width
	return []brain.Action{brain.StartAttempt{CallID: c.ID, ExchangeID: g.id, Timeout: c.due - now - 2*p.set.Tick}}
}
