// Package policy defines the routing module that makes a controller's decisions:
// the one of package routing, or one of two simple rules that it is compared with,
// using the same core and connections.
package policy

import (
	"time"

	"dahliaspindle/routing"
)

// Module makes the routing decisions of a controller core.
type Module interface {
	// Handle processes one event and returns the actions to carry out.
	Handle(now time.Duration, event routing.Event) []routing.Action
}

// Dispatcher passes events to a module one at a time. A Dispatcher with only Module
// set is ready to use.
type Dispatcher struct {
	Module Module
	queue  []routing.Event
	busy   bool
}

// Dispatch passes an event to the module and calls perform for each of its actions.
// An event that is dispatched by perform is queued until the current one is done;
// for such an event Dispatch returns false at once.
func (d *Dispatcher) Dispatch(now time.Duration, event routing.Event, perform func(routing.Action)) bool {
	d.queue = append(d.queue, event)
	if d.busy {
		return false
	}
	d.busy = true
	for len(d.queue) > 0 {
		event := d.queue[0]
		d.queue = d.queue[1:]
		for _, action := range d.Module.Handle(now, event) {
			perform(action)
		}
	}
	d.queue, d.busy = nil, false
	return true
}

// New returns the module with a name: "brain", "direct-only" (a call takes the direct
// trunk group or is refused) or "any-tandem" (the direct trunk group, else the first
// tandem with enough free circuits).
func New(name string, settings routing.Settings) Module {
	if name == "brain" {
		return routing.New(settings)
	}
	return &simpleRule{
		settings:   settings,
		useTandems: name == "any-tandem",
		groups:     map[int]*trunkGroup{},
		numberByID: map[uint32]int{},
		calls:      map[string]*pendingCall{},
	}
}

// trunkGroup is the trunk group to one exchange.
type trunkGroup struct {
	exchangeID   uint32
	state        routing.ExchangeState
	freeCircuits int
}

// pendingCall is a call without a final answer, or with an attempt in flight.
type pendingCall struct {
	routing.Call
	deadline   time.Duration
	attempts   int
	inFlight   bool
	lastTandem int // exchange number of the last tandem tried, -1 before; tandems are tried in ascending order
}

// simpleRule is a module that does not track load: it neither delays nor paces calls
// and applies no trunk reservation. It gives one final answer per call, makes one
// attempt at a time and respects draining exchanges, but does not protect cold
// processors.
type simpleRule struct {
	settings   routing.Settings
	useTandems bool
	groups     map[int]*trunkGroup // by exchange number
	numbers    []int               // of all known exchanges, sorted
	numberByID map[uint32]int      // exchange number by ID
	calls      map[string]*pendingCall
}

// Handle processes one event.
func (rule *simpleRule) Handle(now time.Duration, event routing.Event) []routing.Action {
	switch event := event.(type) {
	case routing.ExchangeListUpdate:
		rule.updateExchanges(event)
	case routing.GroupStatus:
		rule.updateGroup(event.ExchangeID, event.Report)
	case routing.Call:
		call := &pendingCall{Call: event, deadline: now + event.Remaining, lastTandem: -1}
		rule.calls[event.ID] = call
		return rule.attempt(now, call)
	case routing.CallAbandoned:
		if call := rule.calls[event.CallID]; call != nil {
			if !call.inFlight {
				delete(rule.calls, event.CallID)
				return nil
			}
			return []routing.Action{routing.CancelAttempt{CallID: event.CallID, Attempt: call.attempts - 1}}
		}
	case routing.AttemptEnded:
		rule.updateGroup(event.ExchangeID, event.Report)
		call := rule.calls[event.CallID]
		if call == nil {
			return nil
		}
		call.inFlight = false
		if event.Final {
			delete(rule.calls, event.CallID)
			return nil
		}
		// Only a set-up that was certainly not carried out is retried elsewhere at once.
		if event.Outcome == routing.OutcomeRejected || event.Outcome == routing.OutcomeUnreachable || event.Outcome == routing.OutcomeNotSent {
			return rule.attempt(now, call)
		}
		return rule.refuse(call, "failed")
	}
	return nil
}

// refuse ends a call with a verdict and a refusal.
func (rule *simpleRule) refuse(call *pendingCall, reason routing.Reason) []routing.Action {
	delete(rule.calls, call.ID)
	return []routing.Action{
		routing.Verdict{CallID: call.ID, Class: call.Class, Reason: reason, Scope: routing.ScopeCall, ExchangeNumber: call.Destination},
		routing.RefuseCall{CallID: call.ID},
	}
}

// updateExchanges applies an exchange list.
func (rule *simpleRule) updateExchanges(list routing.ExchangeListUpdate) {
	if list.Complete {
		for _, number := range rule.numbers {
			rule.groups[number].state = routing.OutOfService
		}
	}
	for _, entry := range list.Entries {
		group := rule.groups[entry.Number]
		if group == nil {
			group = &trunkGroup{state: routing.OutOfService}
			rule.groups[entry.Number] = group
			rule.numbers = append(rule.numbers, entry.Number)
			for i := len(rule.numbers) - 1; i > 0 && rule.numbers[i] < rule.numbers[i-1]; i-- {
				rule.numbers[i], rule.numbers[i-1] = rule.numbers[i-1], rule.numbers[i]
			}
		}
		if entry.State != routing.InService && group.exchangeID != entry.ID && group.exchangeID != 0 {
			continue
		}
		group.exchangeID, group.state = entry.ID, entry.State
		rule.numberByID[entry.ID] = entry.Number
	}
}

// updateGroup applies a report of the free circuits in a trunk group.
func (rule *simpleRule) updateGroup(id uint32, report routing.StatusReport) {
	if number, ok := rule.numberByID[id]; ok && report.CircuitsKnown {
		rule.groups[number].freeCircuits = report.FreeCircuits
	}
}

// attempt sends a call to the next exchange, or refuses it if there is none.
func (rule *simpleRule) attempt(now time.Duration, call *pendingCall) []routing.Action {
	if now >= call.deadline || call.attempts >= rule.settings.MaxAttempts {
		return rule.refuse(call, "attempts spent")
	}
	if group := rule.groups[call.Destination]; group != nil && call.attempts == 0 && group.state == routing.InService &&
		group.freeCircuits >= call.Width && call.Destination != rule.settings.Self {
		return rule.send(now, call, group)
	}
	if rule.useTandems && !call.Transit {
		for _, number := range rule.numbers {
			group := rule.groups[number]
			if number > call.lastTandem && number != call.Destination && number != rule.settings.Self &&
				group.state == routing.InService && group.freeCircuits >= call.Width {
				call.lastTandem = number
				return rule.send(now, call, group)
			}
		}
	}
	return rule.refuse(call, "no circuit free")
}

// send starts an attempt and deducts its circuits from the reported free circuits.
func (rule *simpleRule) send(now time.Duration, call *pendingCall, group *trunkGroup) []routing.Action {
	call.attempts++
	call.inFlight = true
	group.freeCircuits -= call.Width
	return []routing.Action{routing.StartAttempt{CallID: call.ID, ExchangeID: group.exchangeID, Timeout: call.deadline - now - 2*rule.settings.Tick}}
}
