package controller

import (
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/measure"
	"dahliaspindle/internal/signal"
	"dahliaspindle/routing"
)

// recordCallEnd counts a call at its end and emits its flow record. It is called
// once for each accepted call.
func (c *Controller) recordCallEnd(call *call, outcome flow.Outcome) {
	c.fillCallRecord(call, flow.KindCall, outcome)
	*c.counts.At(&c.record)++
	if r := &c.record; c.config.TrafficMeter != nil && r.Route != flow.RouteTransit {
		c.config.TrafficMeter.Add(c.now, measure.CallAttempt{
			Start:          r.Start,
			Source:         r.Source,
			Dest:           r.Dest,
			Class:          r.Class,
			Circuits:       call.circuits,
			Number:         r.CalledNumber,
			MarkedRetry:    r.Repeat,
			Lost:           outcome != flow.CallEnded && outcome != flow.CallCut,
			Cut:            outcome == flow.CallCut,
			EstablishedFor: r.EstablishedFor,
		})
	}
	c.emitRecord()
}

// recordInterim emits an interim record of a call that is still established, and
// sets the time of the next one.
func (c *Controller) recordInterim(call *call) {
	if call.state != stateEstablished {
		return
	}
	c.fillCallRecord(call, flow.KindInterim, flow.CallEstablished)
	*c.counts.At(&c.record)++
	c.emitRecord()
	c.timers.Set(c.now+c.config.InterimInterval, timer{interimCall: call})
}

// fillCallRecord makes c.record the record of a call.
func (c *Controller) fillCallRecord(call *call, kind flow.Kind, outcome flow.Outcome) {
	c.record = flow.Record{
		Kind:           kind,
		Outcome:        outcome,
		Class:          uint8(call.class),
		Context:        call.context,
		CalledNumber:   call.calledNumber,
		Start:          call.acceptedAt,
		SetUp:          c.now - call.acceptedAt,
		Source:         int32(call.sourceExchange),
		Dest:           int32(call.destination),
		Via:            -1,
		Circuits:       uint16(call.circuits),
		Attempts:       uint8(min(call.attempts, 255)),
		TandemAttempts: uint8(min(call.tandemAttempts, 255)),
		Repeat:         call.repeat,
		VerdictReason:  string(call.verdict.Reason),
		VerdictScope:   string(call.verdict.Scope),
		VerdictNumber:  int32(call.verdict.ExchangeNumber),
	}
	if call.establishedAt > 0 {
		c.record.SetUp, c.record.EstablishedFor = call.establishedAt-call.acceptedAt, c.now-call.establishedAt
		if call.attempt != nil && call.attempt.link != nil {
			c.record.Via = int32(call.attempt.link.number)
		}
	}
	c.record.Route = routeOf(call, int(c.record.Via))
}

// routeOf returns the kind of route of a call; via is the number of the exchange
// that it was sent to, or -1.
func routeOf(call *call, via int) flow.Route {
	switch {
	case call.transit:
		return flow.RouteTransit
	case via >= 0 && via != call.destination:
		return flow.RouteTandem
	}
	return flow.RouteDirect
}

// flowOutcomes maps the routing module's outcomes to those of flow records.
var flowOutcomes = [...]flow.Outcome{
	routing.OutcomeCompleted:   flow.AttemptCompleted,
	routing.OutcomeFailed:      flow.AttemptFailed,
	routing.OutcomeRejected:    flow.AttemptRejected,
	routing.OutcomeTimedOut:    flow.AttemptTimedOut,
	routing.OutcomeUnreachable: flow.AttemptUnreachable,
	routing.OutcomeReset:       flow.AttemptReset,
	routing.OutcomeCancelled:   flow.AttemptCancelled,
	routing.OutcomeNotSent:     flow.AttemptNotSent,
}

// recordAttemptEnd counts an attempt when its outcome is reported to the routing
// module, and emits its flow record.
func (c *Controller) recordAttemptEnd(attempt *attempt, outcome routing.Outcome, reply *signal.Message) {
	call := attempt.call
	c.record = flow.Record{
		Kind:          flow.KindAttempt,
		Outcome:       flowOutcomes[outcome],
		Class:         uint8(call.class),
		Context:       call.context,
		CalledNumber:  call.calledNumber,
		Start:         attempt.startedAt,
		SetUp:         c.now - attempt.startedAt,
		Source:        int32(call.sourceExchange),
		Dest:          int32(call.destination),
		Via:           -1,
		Circuits:      uint16(call.circuits),
		Attempts:      uint8(min(attempt.number, 255)),
		Exchange:      attempt.exchangeID,
		Repeat:        call.repeat,
		VerdictNumber: -1,
	}
	if attempt.link != nil {
		c.record.Via = int32(attempt.link.number)
	}
	if call.attempt == attempt && call.establishedAt > 0 {
		c.record.SetUp, c.record.EstablishedFor = call.establishedAt-attempt.startedAt, c.now-call.establishedAt
	}
	if reply.Kind == signal.Reply {
		c.record.Note = uint8(failureNotes[reply.Get("Note")].note)
	}
	c.record.Route = routeOf(call, int(c.record.Via))
	*c.counts.At(&c.record)++
	c.emitRecord()
}

// emitRecord numbers c.record and passes it to the flow sink.
func (c *Controller) emitRecord() {
	if c.config.FlowSink == nil {
		return
	}
	c.lastRecord++
	c.record.Seq = c.lastRecord
	c.config.FlowSink.Put(&c.record)
}
