package calllog

import (
	"fmt"

	"github.com/benbjohnson/immutable"
)

// CallState is what the log records about one call.
type CallState struct {
	Accepted    *Taken
	Attempts    []*Sent // that an exchange may still hold, in the order in which they were sent
	Established *Stood  // nil if the call is not established
	CallerDone  bool    // the caller expects no further message
}

// State is the result of applying all entries of the log. It is a value: Apply
// returns a new State and leaves the old one unchanged, so that a snapshot of one
// can be written while further entries are applied.
type State struct {
	Incarnation     *Life
	Calls           *immutable.Map[uint32, CallState] // by context
	ExchangeReports *immutable.Map[uint32, *Word]
}

// NewState returns the state before the first entry.
func NewState() State {
	return State{Incarnation: &Life{}, Calls: immutable.NewMap[uint32, CallState](nil), ExchangeReports: immutable.NewMap[uint32, *Word](nil)}
}

// Apply returns the state after one more entry. It returns an error if the entry
// can't follow the earlier ones: the log was then written by another program.
func (s State) Apply(entry *Entry) (State, error) {
	inconsistent := func(context uint32, problem string) (State, error) {
		return s, fmt.Errorf("%s, context %d: %w", problem, context, ErrCorrupt)
	}
	switch payload := entry.GetWhat().(type) {
	case *Entry_Life:
		if payload.Life.GetNumber() <= s.Incarnation.GetNumber() {
			return s, fmt.Errorf("incarnation %d after incarnation %d: %w", payload.Life.GetNumber(), s.Incarnation.GetNumber(), ErrCorrupt)
		}
		s.Incarnation = payload.Life
	case *Entry_Taken:
		id := payload.Taken.GetContext()
		if _, ok := s.Calls.Get(id); ok {
			return inconsistent(id, "call accepted twice")
		}
		s.Calls = s.Calls.Set(id, CallState{Accepted: payload.Taken})
	case *Entry_Sent:
		id := payload.Sent.GetContext()
		call, ok := s.Calls.Get(id)
		if !ok || call.CallerDone {
			return inconsistent(id, "attempt sent for a call that is not pending")
		}
		call.Attempts = append(call.Attempts[:len(call.Attempts):len(call.Attempts)], payload.Sent)
		s.Calls = s.Calls.Set(id, call)
	case *Entry_Stood:
		id := payload.Stood.GetContext()
		call, ok := s.Calls.Get(id)
		if !ok || len(call.Attempts) == 0 || call.Established != nil {
			return inconsistent(id, "call established without an attempt")
		}
		call.Established = payload.Stood
		s.Calls = s.Calls.Set(id, call)
	case *Entry_Let:
		id := payload.Let.GetContext()
		call, ok := s.Calls.Get(id)
		index := -1
		for i, attempt := range call.Attempts {
			if attempt.GetAttempt() == payload.Let.GetAttempt() {
				index = i
			}
		}
		if !ok || index < 0 {
			return inconsistent(id, "release of an attempt that was not held")
		}
		call.Attempts = append(append([]*Sent(nil), call.Attempts[:index]...), call.Attempts[index+1:]...)
		s.storeCall(id, call)
	case *Entry_Over:
		id := payload.Over.GetContext()
		call, ok := s.Calls.Get(id)
		if !ok || call.CallerDone {
			return inconsistent(id, "end of a call that is not pending")
		}
		call.CallerDone = true
		s.storeCall(id, call)
	case *Entry_Word:
		s.ExchangeReports = s.ExchangeReports.Set(payload.Word.GetExchange(), payload.Word)
	default: // written by a later version: ignored
	}
	return s, nil
}

// storeCall stores the new state of a call. It removes the call when its caller
// expects no further message and no exchange holds an attempt.
func (s *State) storeCall(id uint32, call CallState) {
	if call.CallerDone && len(call.Attempts) == 0 {
		s.Calls = s.Calls.Delete(id)
		return
	}
	s.Calls = s.Calls.Set(id, call)
}

// snapshotMessage returns the state in the form that a snapshot stores.
func (s State) snapshotMessage() *Picture {
	snapshot := &Picture{Life: s.Incarnation}
	for iterator := s.Calls.Iterator(); !iterator.Done(); {
		_, call, _ := iterator.Next()
		snapshot.Calls = append(snapshot.Calls, &Call{Taken: call.Accepted, Held: call.Attempts, Stood: call.Established, Over: call.CallerDone})
	}
	for iterator := s.ExchangeReports.Iterator(); !iterator.Done(); {
		_, report, _ := iterator.Next()
		snapshot.Words = append(snapshot.Words, report)
	}
	return snapshot
}

// toState returns the state that a snapshot stores.
func (snapshot *Picture) toState() State {
	state := NewState()
	if snapshot.GetLife() != nil {
		state.Incarnation = snapshot.GetLife()
	}
	calls := immutable.NewMapBuilder[uint32, CallState](nil)
	for _, call := range snapshot.GetCalls() {
		calls.Set(call.GetTaken().GetContext(), CallState{call.GetTaken(), call.GetHeld(), call.GetStood(), call.GetOver()})
	}
	reports := immutable.NewMapBuilder[uint32, *Word](nil)
	for _, report := range snapshot.GetWords() {
		reports.Set(report.GetExchange(), report)
	}
	state.Calls, state.ExchangeReports = calls.Map(), reports.Map()
	return state
}
