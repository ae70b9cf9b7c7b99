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
		switch e.What {
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
			if err := h.out.Encode(wire.Action{What: "Finished"}); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
			continue
		}
		if !open {
			return fmt.Errorf("line %d: %s outside a batch", n, e.What)
		}
		if err := h.event(e); err != nil {
			return fmt.Errorf("line %d: %s: %v", n, e.What, err)
		}
	}
}

func (h *host) event(e *wire.Event) error {
	if e.What == "Ledger" {
		rows, err := ledger(*e.Rows)
		h.sheets[*e.Sheet] = rows
		return err
	}
	id := *e.Controller
	if e.What == "Launch" {
		inst, err := launch(*e.Entropy, e.Settings)
		h.instances[id] = inst
		return err
	}
	inst := h.instances[id]
	if inst == nil {
		return fmt.Errorf("field controller: no instance %d", id)
	}
	if e.What == "Killed" {
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

func ledger(rows []wire.Row) ([]brain.Exchange, error) {
	states := map[string]brain.ExchangeState{"IN": brain.InService, "LAME": brain.Draining, "OUT": brain.OutOfService}
	var list []brain.Exchange
	for i, r := range rows {
		if r.Exchange == nil || r.Cell == nil || r.State == nil {
			return nil, fmt.Errorf("field rows: entry %d lacks exchange, cell or stage_state", i)
		}
		st, ok := states[*r.State]
		if !ok {
			return nil, fmt.Errorf("field stage_state: unknown state %q", *r.State)
		}
		list = append(list, brain.Exchange{ID: *r.Exchange, Number: *r.Cell, State: st, StartedAt: time.Duration(r.Since)})
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
	switch e.What {
	case "Discovery":
		if *e.How == "unavailable" {
			return nil, nil
		}
		if e.Sheet == nil {
			return nil, errors.New("field sheet is missing")
		}
		rows, ok := h.sheets[*e.Sheet]
		if !ok {
			return nil, fmt.Errorf("field sheet: no list %d", *e.Sheet)
		}
		switch *e.How {
		case "update", "replace", "restored":
			return brain.ExchangeListUpdate{Complete: *e.How != "update", Entries: rows}, nil
		}
		return nil, fmt.Errorf("field how: unknown kind %q", *e.How)
	case "Ask":
		class, ok := inst.classes[*e.Priority]
		if !ok {
			return nil, fmt.Errorf("field priority: unknown class %q", *e.Priority)
		}
		c := brain.Call{ID: *e.Job, Class: class, Remaining: time.Duration(*e.TimeLeft), Destination: int(*e.Dest),
			Width: inst.widths[class], Via: -1, Transit: e.Transit, Repeat: e.Resent, Reconnect: e.Again}
		if e.Object != nil {
			c.CalledNumber, c.HasCalledNumber = *e.Object, true
		}
		if e.Slots != nil {
			c.Width = int(*e.Slots)
		}
		if e.Through != nil {
			c.Via = int(*e.Through)
		}
		return c, nil
	case "Hangup":
		return brain.CallAbandoned{CallID: *e.Job}, nil
	case "Bell":
		return brain.TimerExpired{Token: *e.Nonce}, nil
	case "PeerData":
		return brain.PeerMessage{From: *e.By, Data: []byte(*e.Payload)}, nil
	case "ProbeResult":
		return brain.GroupStatus{ExchangeID: *e.Exchange, OK: *e.Reason == 200, ProbeReply: span(e.CostTime) > 0,
			Elapsed: span(e.CostTime), Report: report(e.Load)}, nil
	case "Started":
		return brain.CallEstablished{CallID: *e.Job, Attempt: *e.Trial, ExchangeID: *e.Exchange, Elapsed: span(e.CostTime)}, nil
	case "Reply":
		oc, ok := outcomes[*e.Reason]
		if !ok {
			return nil, fmt.Errorf("field reason: unknown outcome %d", *e.Reason)
		}
		ended := brain.AttemptEnded{CallID: *e.Job, Attempt: *e.Trial, ExchangeID: *e.Exchange, Outcome: oc,
			Elapsed: span(e.CostTime), Final: e.Final, Note: brain.Note(e.Note), Report: report(e.Load)}
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

func report(l wire.Load) brain.StatusReport {
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
		w.What, w.Job, w.Exchange, w.AllowFor = "Send", a.CallID, &a.ExchangeID, int64(a.Timeout)
	case brain.RefuseCall:
		w.What, w.Job, w.Backoff = "PushBack", a.CallID, int64(a.RetryAfter)
	case brain.FailCall:
		w.What, w.Job = "GiveUp", a.CallID
	case brain.CancelAttempt:
		w.What, w.Job, w.Trial = "StopAttempt", a.CallID, &a.Attempt
	case brain.SetTimer:
		ns := int64(a.Delay)
		w.What, w.Nonce, w.Delay = "SetAlarm", &a.Token, &ns
	case brain.Verdict:
		if !a.Log {
			return nil
		}
		w.What = "SayLog"
		w.Words = fmt.Sprintf("%s class=%d reason=%q scope=%q cell=%d nth=%d",
			a.CallID, a.Class, a.Reason, a.Scope, a.ExchangeNumber, a.Count)
	default:
		return fmt.Errorf("no wire form for %T", a)
	}
	return h.out.Encode(w)
}
