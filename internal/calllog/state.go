package calllog

import (
	"fmt"

	"github.com/benbjohnson/immutable"
)

// CallState is a call as the log knows it.
type CallState struct {
	Accepted    *Taken
	Attempts    []*Sent // that an exchange may hold, in the order of their sending
	Established *Stood  // nil: it does not stand
	CallerDone  bool    // its caller is owed nothing more
}

// State is what the log's entries add up to. It is a value: Apply returns a new
// one and leaves the old as it was, so that a snapshot is written of one while
// calls go on in the next.
type State struct {
	Incarnation     *Life
	Calls           *immutable.Map[uint32, CallState] // by context
	ExchangeReports *immutable.Map[uint32, *Word]
}

// NewState is that of no entry.
func NewState() State {
	return State{Incarnation: &Life{}, Calls: immutable.NewMap[uint32, CallState](nil), ExchangeReports: immutable.NewMap[uint32, *Word](nil)}
}

// Apply takes one entry. The error is for entries that can't follow what came
// before: a log that another program wrote, or none of ours.
func (s State) Apply(e *Entry) (State, error) {
	bad := func(context uint32, what string) (State, error) {
		return s, fmt.Errorf("%s, context %d: %w", what, context, ErrCorrupt)
	}
	switch w := e.GetWhat().(type) {
	case *Entry_Life:
		if w.Life.GetNumber() <= s.Incarnation.GetNumber() {
			return s, fmt.Errorf("life %d after life %d: %w", w.Life.GetNumber(), s.Incarnation.GetNumber(), ErrCorrupt)
		}
		s.Incarnation = w.Life
	case *Entry_Taken:
		id := w.Taken.GetContext()
		if _, ok := s.Calls.Get(id); ok {
			return bad(id, "taken twice")
		}
		s.Calls = s.Calls.Set(id, CallState{Accepted: w.Taken})
	case *Entry_Sent:
		id := w.Sent.GetContext()
		h, ok := s.Calls.Get(id)
		if !ok || h.CallerDone {
			return bad(id, "sent for a call that is not open")
		}
		h.Attempts = append(h.Attempts[:len(h.Attempts):len(h.Attempts)], w.Sent)
		s.Calls = s.Calls.Set(id, h)
	case *Entry_Stood:
		id := w.Stood.GetContext()
		h, ok := s.Calls.Get(id)
		if !ok || len(h.Attempts) == 0 || h.Established != nil {
			return bad(id, "stands without an attempt")
		}
		h.Established = w.Stood
		s.Calls = s.Calls.Set(id, h)
	case *Entry_Let:
		id := w.Let.GetContext()
		h, ok := s.Calls.Get(id)
		at := -1
		for i, a := range h.Attempts {
			if a.GetAttempt() == w.Let.GetAttempt() {
				at = i
			}
		}
		if !ok || at < 0 {
			return bad(id, "let go of an attempt that was not held")
		}
		h.Attempts = append(append([]*Sent(nil), h.Attempts[:at]...), h.Attempts[at+1:]...)
		s.keep(id, h)
	case *Entry_Over:
		id := w.Over.GetContext()
		h, ok := s.Calls.Get(id)
		if !ok || h.CallerDone {
			return bad(id, "over without being open")
		}
		h.CallerDone = true
		s.keep(id, h)
	case *Entry_Word:
		s.ExchangeReports = s.ExchangeReports.Set(w.Word.GetExchange(), w.Word)
	default: // of a later version: it keeps what it knows
	}
	return s, nil
}

// keep puts a call back, or forgets it when nothing is owed and nothing held.
func (s *State) keep(id uint32, h CallState) {
	if h.CallerDone && len(h.Attempts) == 0 {
		s.Calls = s.Calls.Delete(id)
		return
	}
	s.Calls = s.Calls.Set(id, h)
}

// picture is the state as a snapshot keeps it.
func (s State) picture() *Picture {
	p := &Picture{Life: s.Incarnation}
	for it := s.Calls.Iterator(); !it.Done(); {
		_, h, _ := it.Next()
		p.Calls = append(p.Calls, &Call{Taken: h.Accepted, Held: h.Attempts, Stood: h.Established, Over: h.CallerDone})
	}
	for it := s.ExchangeReports.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		p.Words = append(p.Words, w)
	}
	return p
}

func (p *Picture) restored() State {
	s := NewState()
	if p.GetLife() != nil {
		s.Incarnation = p.GetLife()
	}
	calls := immutable.NewMapBuilder[uint32, CallState](nil)
	for _, c := range p.GetCalls() {
		calls.Set(c.GetTaken().GetContext(), CallState{c.GetTaken(), c.GetHeld(), c.GetStood(), c.GetOver()})
	}
	words := immutable.NewMapBuilder[uint32, *Word](nil)
	for _, w := range p.GetWords() {
		words.Set(w.GetExchange(), w)
	}
	s.Calls, s.ExchangeReports = calls.Map(), words.Map()
	return s
}
