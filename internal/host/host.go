// Package host runs instances of the routing module for the bench adapter. It
// converts events read from the adapter into events of the module, and actions of
// the module into lines for the adapter. It makes no routing decisions.
package host

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"dahliaspindle/internal/wire"
	"dahliaspindle/routing"
)

// instance is one running controller.
type instance struct {
	controller      *routing.Controller
	classIndex      map[string]int // class number by name
	circuitsByClass []int          // default circuits per call
}

// server holds the state of one session with the adapter.
type server struct {
	now       time.Duration
	instances map[int]*instance
	lists     map[int][]routing.Exchange // exchange lists by list number
	encoder   *json.Encoder
}

// Run reads batches of events from in and writes the resulting actions to out until
// the end of input. The text of an error is a single line.
func Run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, 1<<20)
	writer := bufio.NewWriterSize(out, 1<<20)
	s := &server{
		instances: map[int]*instance{},
		lists:     map[int][]routing.Exchange{},
		encoder:   json.NewEncoder(writer),
	}
	inBatch := false
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if inBatch {
				return fmt.Errorf("line %d: input ends within a batch", lineNumber)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(line) <= 1 {
			continue
		}
		event, err := wire.Decode(line)
		if err != nil {
			return fmt.Errorf("line %d: %v", lineNumber, err)
		}
		switch event.Type {
		case "Clock":
			if inBatch {
				return fmt.Errorf("line %d: Clock within a batch", lineNumber)
			}
			inBatch, s.now = true, time.Duration(*event.AtTime)
			continue
		case "End":
			if !inBatch {
				return fmt.Errorf("line %d: End without Clock", lineNumber)
			}
			inBatch = false
			if err := s.encoder.Encode(wire.Action{Type: "Finished"}); err != nil {
				return err
			}
			if err := writer.Flush(); err != nil {
				return err
			}
			continue
		}
		if !inBatch {
			return fmt.Errorf("line %d: %s outside a batch", lineNumber, event.Type)
		}
		if err := s.handleEvent(event); err != nil {
			return fmt.Errorf("line %d: %s: %v", lineNumber, event.Type, err)
		}
	}
}

// handleEvent applies one event within a batch and writes the actions that result.
func (s *server) handleEvent(e *wire.Event) error {
	if e.Type == "Ledger" {
		list, err := exchangeList(*e.ListEntries)
		s.lists[*e.ListNumber] = list
		return err
	}
	id := *e.Controller
	if e.Type == "Launch" {
		inst, err := newInstance(*e.Seed, e.Settings)
		s.instances[id] = inst
		return err
	}
	inst := s.instances[id]
	if inst == nil {
		return fmt.Errorf("field controller: no instance %d", id)
	}
	if e.Type == "Killed" {
		delete(s.instances, id)
		return nil
	}
	event, err := s.moduleEvent(inst, e)
	if err != nil || event == nil {
		return err
	}
	for _, action := range inst.controller.Handle(s.now, event) {
		if err := s.writeAction(id, inst, action); err != nil {
			return err
		}
	}
	return nil
}

// exchangeList converts the entries of a Ledger event.
func exchangeList(entries []wire.ListEntry) ([]routing.Exchange, error) {
	states := map[string]routing.ExchangeState{"IN": routing.InService, "LAME": routing.Draining, "OUT": routing.OutOfService}
	var list []routing.Exchange
	for i, entry := range entries {
		if entry.ExchangeID == nil || entry.ExchangeNumber == nil || entry.State == nil {
			return nil, fmt.Errorf("field rows: entry %d lacks exchange, cell or stage_state", i)
		}
		state, ok := states[*entry.State]
		if !ok {
			return nil, fmt.Errorf("field stage_state: unknown state %q", *entry.State)
		}
		list = append(list, routing.Exchange{ID: *entry.ExchangeID, Number: *entry.ExchangeNumber, State: state, StartedAt: time.Duration(entry.Since)})
	}
	return list, nil
}

// newInstance starts a controller with the given settings.
func newInstance(seed uint64, settings *wire.Settings) (*instance, error) {
	moduleSettings, err := settings.Module(seed)
	if err != nil {
		return nil, fmt.Errorf("field settings: %w", err)
	}
	inst := &instance{controller: routing.New(moduleSettings), classIndex: map[string]int{}}
	for i, class := range moduleSettings.Classes {
		inst.classIndex[class.Name] = i
		inst.circuitsByClass = append(inst.circuitsByClass, class.Width)
	}
	return inst, nil
}

// moduleEvent converts an event for the module; the result is nil if the module needs
// no notice of it.
func (s *server) moduleEvent(inst *instance, e *wire.Event) (routing.Event, error) {
	switch e.Type {
	case "Discovery":
		if *e.UpdateKind == "unavailable" {
			return nil, nil
		}
		if e.ListNumber == nil {
			return nil, errors.New("field sheet is missing")
		}
		list, ok := s.lists[*e.ListNumber]
		if !ok {
			return nil, fmt.Errorf("field sheet: no list %d", *e.ListNumber)
		}
		switch *e.UpdateKind {
		case "update", "replace", "restored":
			return routing.ExchangeListUpdate{Complete: *e.UpdateKind != "update", Entries: list}, nil
		}
		return nil, fmt.Errorf("field how: unknown kind %q", *e.UpdateKind)
	case "Ask":
		class, ok := inst.classIndex[*e.Class]
		if !ok {
			return nil, fmt.Errorf("field priority: unknown class %q", *e.Class)
		}
		call := routing.Call{
			ID:          *e.CallID,
			Class:       class,
			Remaining:   time.Duration(*e.TimeLeft),
			Destination: int(*e.Destination),
			Width:       inst.circuitsByClass[class],
			Via:         -1,
			Transit:     e.Transit,
			Repeat:      e.Retry,
			Reconnect:   e.Reconnect,
		}
		if e.CalledNumber != nil {
			call.CalledNumber, call.HasCalledNumber = *e.CalledNumber, true
		}
		if e.Circuits != nil {
			call.Width = int(*e.Circuits)
		}
		if e.Via != nil {
			call.Via = int(*e.Via)
		}
		return call, nil
	case "Hangup":
		return routing.CallAbandoned{CallID: *e.CallID}, nil
	case "Bell":
		return routing.TimerExpired{Token: *e.Token}, nil
	case "PeerData":
		return routing.PeerMessage{From: *e.Sender, Data: []byte(*e.Payload)}, nil
	case "ProbeResult":
		return routing.GroupStatus{
			ExchangeID: *e.ExchangeID,
			OK:         *e.Status == 200,
			ProbeReply: durationOf(e.Elapsed) > 0,
			Elapsed:    durationOf(e.Elapsed),
			Report:     loadReport(e.Load),
		}, nil
	case "Started":
		return routing.CallEstablished{CallID: *e.CallID, Attempt: *e.Attempt, ExchangeID: *e.ExchangeID, Elapsed: durationOf(e.Elapsed)}, nil
	case "Reply":
		outcome, ok := outcomesByStatus[*e.Status]
		if !ok {
			return nil, fmt.Errorf("field reason: unknown outcome %d", *e.Status)
		}
		ended := routing.AttemptEnded{
			CallID:     *e.CallID,
			Attempt:    *e.Attempt,
			ExchangeID: *e.ExchangeID,
			Outcome:    outcome,
			Elapsed:    durationOf(e.Elapsed),
			Final:      e.Final,
			Note:       routing.Note(e.Note),
			Report:     loadReport(e.Load),
		}
		// A note above 16 whose remainder modulo 16 is NoteProcessorFull carries the waiting
		// time of the processor, in milliseconds, as its quotient.
		if e.Note > 16 && e.Note%16 == int(routing.NoteProcessorFull) {
			ended.Note, ended.RetryAfter = routing.NoteProcessorFull, time.Duration(e.Note/16)*time.Millisecond
		}
		return ended, nil
	}
	return nil, nil
}

// outcomesByStatus gives the outcome of an attempt for the status of a Reply event.
var outcomesByStatus = map[int]routing.Outcome{
	200: routing.OutcomeCompleted,
	500: routing.OutcomeFailed,
	503: routing.OutcomeRejected,
	504: routing.OutcomeTimedOut,
	502: routing.OutcomeUnreachable,
	598: routing.OutcomeReset,
	499: routing.OutcomeCancelled,
	410: routing.OutcomeNotSent,
}

// durationOf returns an optional duration in nanoseconds, 0 if it is absent.
func durationOf(ns *int64) time.Duration {
	if ns == nil {
		return 0
	}
	return time.Duration(*ns)
}

// loadReport converts the load report of an event.
func loadReport(load wire.LoadReport) routing.StatusReport {
	var report routing.StatusReport
	free, freeKnown := load.Get("idle")
	size, sizeKnown := load.Get("circuits")
	report.CircuitsKnown, report.FreeCircuits, report.GroupSize = freeKnown && sizeKnown, int(free), int(size)
	report.Reduction, report.HasReduction = load.Get("reduce")
	return report
}

// writeAction writes an action of the controller with the given id.
func (s *server) writeAction(id int, inst *instance, a routing.Action) error {
	out := wire.Action{Controller: &id}
	switch a := a.(type) {
	case routing.StartAttempt:
		out.Type, out.CallID, out.ExchangeID, out.Timeout = "Send", a.CallID, &a.ExchangeID, int64(a.Timeout)
	case routing.RefuseCall:
		out.Type, out.CallID, out.Backoff = "PushBack", a.CallID, int64(a.RetryAfter)
	case routing.FailCall:
		out.Type, out.CallID = "GiveUp", a.CallID
	case routing.CancelAttempt:
		out.Type, out.CallID, out.Attempt = "StopAttempt", a.CallID, &a.Attempt
	case routing.SetTimer:
		ns := int64(a.Delay)
		out.Type, out.Token, out.Delay = "SetAlarm", &a.Token, &ns
	case routing.Verdict:
		if !a.Log {
			return nil
		}
		out.Type = "SayLog"
		out.Text = fmt.Sprintf("%s class=%d reason=%q scope=%q cell=%d nth=%d",
			a.CallID, a.Class, a.Reason, a.Scope, a.ExchangeNumber, a.Count)
	default:
		return fmt.Errorf("no line of the adapter for action %T", a)
	}
	return s.encoder.Encode(out)
}
