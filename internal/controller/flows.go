package controller

import (
	"dahliaspindle/brain"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/signal"
)

// callEnded counts a call at its end and hands its record on. It is called once
// for each call that was taken.
func (c *Controller) callEnded(k *call, o flow.Outcome) {
	c.callRecord(k, flow.Call, o)
	*c.counts.At(&c.rec)++
	if r := &c.rec; c.cfg.TrafficMeter != nil && r.Route != flow.Transit {
		c.cfg.TrafficMeter.Add(c.now, measure.Try{At: r.Start, Source: r.Source, Dest: r.Dest, Class: r.Class, Circuits: k.width, Number: r.Number,
			Repeat: r.Repeat, Lost: o != flow.Ended && o != flow.Cut, Cut: o == flow.Cut, Stood: r.Stood})
	}
	c.put()
}

// tellInterim hands on a record of a call that stands still.
func (c *Controller) tellInterim(k *call) {
	if k.state != standing {
		return
	}
	c.callRecord(k, flow.Interim, flow.Stands)
	*c.counts.At(&c.rec)++
	c.put()
	c.timers.Set(c.now+c.cfg.InterimInterval, timer{interim: k})
}

func (c *Controller) callRecord(k *call, kind flow.Kind, o flow.Outcome) {
	c.rec = flow.Record{Kind: kind, Outcome: o, Class: uint8(k.class), Context: k.context, Number: k.called,
		Start: k.taken, SetUp: c.now - k.taken, Source: int32(k.source), Dest: int32(k.dest), Via: -1, Circuits: uint16(k.width),
		N: uint8(min(k.attempts, 255)), Tandems: uint8(min(k.tandems, 255)), Repeat: k.repeat,
		Reason: string(k.verdict.Reason), Scope: string(k.verdict.Scope), Where: int32(k.verdict.ExchangeNumber)}
	if k.stood > 0 {
		c.rec.SetUp, c.rec.Stood = k.stood-k.taken, c.now-k.stood
		if k.att != nil && k.att.link != nil {
			c.rec.Via = int32(k.att.link.cell)
		}
	}
	c.rec.Route = route(k, int(c.rec.Via))
}

func route(k *call, via int) flow.Route {
	switch {
	case k.transit:
		return flow.Transit
	case via >= 0 && via != k.dest:
		return flow.Tandem
	}
	return flow.Direct
}

// ends maps the module's outcomes, by their number.
var ends = [...]flow.Outcome{brain.OutcomeCompleted: flow.Done, brain.OutcomeFailed: flow.Error, brain.OutcomeRejected: flow.Full, brain.OutcomeTimedOut: flow.TimedOut,
	brain.OutcomeUnreachable: flow.NoConnect, brain.OutcomeReset: flow.Reset, brain.OutcomeCancelled: flow.Cancelled, brain.OutcomeNotSent: flow.Moot}

// attemptEnded counts an attempt at its end, as the module is told of it.
func (c *Controller) attemptEnded(t *attempt, o brain.Outcome, r *signal.Message) {
	k := t.call
	c.rec = flow.Record{Kind: flow.Attempt, Outcome: ends[o], Class: uint8(k.class), Context: k.context, Number: k.called,
		Start: t.began, SetUp: c.now - t.began, Source: int32(k.source), Dest: int32(k.dest), Via: -1, Circuits: uint16(k.width),
		N: uint8(min(t.n, 255)), Exchange: t.to, Repeat: k.repeat, Where: -1}
	if t.link != nil {
		c.rec.Via = int32(t.link.cell)
	}
	if k.att == t && k.stood > 0 {
		c.rec.SetUp, c.rec.Stood = k.stood-t.began, c.now-k.stood
	}
	if r.Kind == signal.Reply {
		c.rec.Note = uint8(notes[r.Get("Note")].note)
	}
	c.rec.Route = route(k, int(c.rec.Via))
	*c.counts.At(&c.rec)++
	c.put()
}

// put numbers the record and hands it on.
func (c *Controller) put() {
	if c.cfg.FlowSink == nil {
		return
	}
	c.records++
	c.rec.Seq = c.records
	c.cfg.FlowSink.Put(&c.rec)
}
