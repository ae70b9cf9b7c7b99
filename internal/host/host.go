// Package host runs the instances: it turns wire events into the brain's and
// the brain's actions into wire lines. It decides nothing about a call.
package host

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/wire"
)

type instance struct {
	brain   *brain.Controller
	classes map[string]int
	widths  []int
}

type host struct {
	now       time.Duration
	instances map[int]*instance
	sheets    map[int][]brain.Exchange
	out       *json.Encoder
}

// Run serves batches until the end of input. Its error is one plain line.
func Run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	h := &host{instances: map[int]*instance{}, sheets: map[int][]brain.Exchange{}, out: json.NewEncoder(w)}
	open := false
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if open {
				return fmt.Errorf("line %d: input ends within a batch", n)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(line) <= 1 {
			continue
		}
		e, err := wire.Decode(line)
		if err != nil {
			return fmt.Errorf("line %d: %v", n, err)
		}
		switch e.Type {
		case "Clock":
			if open {
				return fmt.Errorf("line %d: Clock within a batch", n)
			}
			open, h.now = true, time.Duration(*e.AtTime)
			continue
		case "End":
			if !open {
				return fmt.Errorf("line %d: End without Clock", n)
			}
			open = false
			if err := h.out.Encode(wire.Action{Type: "Finished"}); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
			continue
		}
		if !open {
			return fmt.Errorf("line %d: %s outside a batch", n, e.Type)
		}
		if err := h.event(e); err != nil {
			return fmt.Errorf("line %d: %s: %v", n, e.Type, err)
		}
	}
}

func (h *host) event(e *wire.Event) error {
	if e.Type == "Ledger" {
		rows, err := ledger(*e.ListEntries)
		h.sheets[*e.ListNumber] = rows
		return err
	}
	id := *e.Controller
	if e.Type == "Launch" {
		inst, err := launch(*e.Seed, e.Settings)
		h.instances[id] = inst
		return err
	}
	inst := h.instances[id]
	if inst == nil {
		return fmt.Errorf("field controller: no instance %d", id)
	}
	if e.Type == "Killed" {
		delete(h.instances, id)
		return nil
	}
	ev, err := h.translate(inst, e)
	if err != nil || ev == nil {
		return err
	}
	for _, a := range inst.brain.Handle(h.now, ev) {
		if err := h.say(id, inst, a); err != nil {
			return err
		}
	}
	return nil
}

func ledger(rows []wire.ListEntry) ([]brain.Exchange, error) {
	states := map[string]brain.ExchangeState{"IN": brain.InService, "LAME": brain.Draining, "OUT": brain.OutOfService}
	var list []brain.Exchange
	for i, r := range rows {
		if r.Exchange == nil || r.ExchangeNumber == nil || r.State == nil {
			return nil, fmt.Errorf("field rows: entry %d lacks exchange, cell or stage_state", i)
		}
		st, ok := states[*r.State]
		if !ok {
			return nil, fmt.Errorf("field stage_state: unknown state %q", *r.State)
		}
		list = append(list, brain.Exchange{ID: *r.Exchange, Number: *r.ExchangeNumber, State: st, StartedAt: time.Duration(r.Since)})
	}
	return list, nil
}

func launch(seed uint64, s *wire.Settings) (*instance, error) {
	b, err := s.Module(seed)
	if err != nil {
		return nil, fmt.Errorf("field settings: %w", err)
	}
	inst := &instance{brain: brain.New(b), classes: map[string]int{}}
	for i, c := range b.Classes {
		inst.classes[c.Name] = i
		inst.widths = append(inst.widths, c.Width)
	}
	return inst, nil
}

func (h *host) translate(inst *instance, e *wire.Event) (brain.Event, error) {
	switch e.Type {
	case "Discovery":
		if *e.UpdateKind == "unavailable" {
			return nil, nil
		}
		if e.ListNumber == nil {
			return nil, errors.New("field sheet is missing")
		}
		rows, ok := h.sheets[*e.ListNumber]
		if !ok {
			return nil, fmt.Errorf("field sheet: no list %d", *e.ListNumber)
		}
		switch *e.UpdateKind {
		case "update", "replace", "restored":
			return brain.ExchangeListUpdate{Complete: *e.UpdateKind != "update", Entries: rows}, nil
		}
		return nil, fmt.Errorf("field how: unknown kind %q", *e.UpdateKind)
	case "Ask":
		class, ok := inst.classes[*e.Class]
		if !ok {
			return nil, fmt.Errorf("field priority: unknown class %q", *e.Class)
		}
		c := brain.Call{ID: *e.CallID, Class: class, Remaining: time.Duration(*e.TimeLeft), Destination: int(*e.Destination),
			Width: inst.widths[class], Via: -1, Transit: e.Transit, Repeat: e.Retry, Reconnect: e.AfterCut}
		if e.CalledNumber != nil {
			c.CalledNumber, c.HasCalledNumber = *e.CalledNumber, true
		}
		if e.Circuits != nil {
			c.Width = int(*e.Circuits)
		}
		if e.Through != nil {
			c.Via = int(*e.Through)
		}
		return c, nil
	case "Hangup":
		return brain.CallAbandoned{CallID: *e.CallID}, nil
	case "Bell":
		return brain.TimerExpired{Token: *e.Token}, nil
	case "PeerData":
		return brain.PeerMessage{From: *e.Sender, Data: []byte(*e.Payload)}, nil
	case "ProbeResult":
		return brain.GroupStatus{ExchangeID: *e.Exchange, OK: *e.Status == 200, ProbeReply: span(e.Elapsed) > 0,
			Elapsed: span(e.Elapsed), Report: report(e.Load)}, nil
	case "Started":
		return brain.CallEstablished{CallID: *e.CallID, Attempt: *e.Attempt, ExchangeID: *e.Exchange, Elapsed: span(e.Elapsed)}, nil
	case "Reply":
		oc, ok := outcomes[*e.Status]
		if !ok {
			return nil, fmt.Errorf("field reason: unknown outcome %d", *e.Status)
		}
		ended := brain.AttemptEnded{CallID: *e.CallID, Attempt: *e.Attempt, ExchangeID: *e.Exchange, Outcome: oc,
			Elapsed: span(e.Elapsed), Final: e.Final, Note: brain.Note(e.Note), Report: report(e.Load)}
		if e.Note > 16 && e.Note%16 == int(brain.NoteProcessorFull) {
			ended.Note, ended.RetryAfter = brain.NoteProcessorFull, time.Duration(e.Note/16)*time.Millisecond
		}
		return ended, nil
	}
	return nil, nil
}

var outcomes = map[int]brain.Outcome{200: brain.OutcomeCompleted, 500: brain.OutcomeFailed, 503: brain.OutcomeRejected, 504: brain.OutcomeTimedOut,
	502: brain.OutcomeUnreachable, 598: brain.OutcomeReset, 499: brain.OutcomeCancelled, 410: brain.OutcomeNotSent}

func span(ns *int64) time.Duration {
	if ns == nil {
		return 0
	}
	return time.Duration(*ns)
}

func report(l wire.LoadReport) brain.StatusReport {
	var r brain.StatusReport
	free, okFree := l.Get("idle")
	size, okSize := l.Get("circuits")
	r.CircuitsKnown, r.FreeCircuits, r.GroupSize = okFree && okSize, int(free), int(size)
	r.Reduction, r.HasReduction = l.Get("reduce")
	return r
}

func (h *host) say(id int, inst *instance, a brain.Action) error {
	w := wire.Action{Controller: &id}
	switch a := a.(type) {
	case brain.StartAttempt:
		w.Type, w.CallID, w.Exchange, w.Timeout = "Send", a.CallID, &a.ExchangeID, int64(a.Timeout)
	case brain.RefuseCall:
		w.Type, w.CallID, w.Backoff = "PushBack", a.CallID, int64(a.RetryAfter)
	case brain.FailCall:
		w.Type, w.CallID = "GiveUp", a.CallID
	case brain.CancelAttempt:
		w.Type, w.CallID, w.Attempt = "StopAttempt", a.CallID, &a.Attempt
	case brain.SetTimer:
		ns := int64(a.Delay)
		w.Type, w.Token, w.Delay = "SetAlarm", &a.Token, &ns
	case brain.Verdict:
		if !a.Log {
			return nil
		}
		w.Type = "SayLog"
		w.Text = fmt.Sprintf("%s class=%d reason=%q scope=%q cell=%d nth=%d",
			a.CallID, a.Class, a.Reason, a.Scope, a.ExchangeNumber, a.Count)
	default:
		return fmt.Errorf("no wire form for %T", a)
	}
	return h.out.Encode(w)
}
