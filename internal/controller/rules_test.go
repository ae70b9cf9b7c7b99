package controller

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dahliaspindle/brain"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/signal"
)

// tally counts the records that it takes.
type tally flow.Counts

func (t *tally) Put(r *flow.Record) { *(*flow.Counts)(t).At(r)++ }

// watcher holds the core's effects against the rules, as they come.
type watcher struct {
	t        *rapid.T
	r        *rig
	answered map[string]int                        // final answers by call
	left     map[string]bool                       // callers who hung up
	out      map[string]uint64                     // attempt that is out: its exchange
	adds     map[uint64]map[uint32]*signal.Message // unanswered set-ups at each exchange
	subs     map[uint64][]*signal.Message          // unanswered releases
	stands   map[string]bool
	blocked  map[string]time.Duration
	fenced   map[uint64]bool
	up       map[uint64]bool
}

func (w *watcher) see(out []Effect) {
	for _, e := range out {
		id := e.Peer.ID
		switch e.Kind {
		case EffectBlock:
			w.fenced[id] = true
		case EffectUnblock:
			w.fenced[id] = false
		case EffectClose:
			if e.Peer.Role == RoleExchange {
				w.down(id)
			}
		}
		if e.Kind != EffectSend {
			continue
		}
		m := e.Message
		switch {
		case e.Peer.Role == RoleCaller && m.Kind == signal.Reply && m.Command == signal.Add:
			if w.answered[m.Termination]++; w.answered[m.Termination] > 1 {
				w.t.Fatalf("call %s is answered twice", m.Termination)
			}
			w.stands[m.Termination] = m.Code == 0
		case e.Peer.Role == RoleExchange && m.Kind == signal.Request && m.Command == signal.Add:
			switch {
			case w.answered[m.Termination] > 0 || w.left[m.Termination]:
				w.t.Fatalf("call %s is sent after its end", m.Termination)
			case w.out[m.Termination] != 0:
				w.t.Fatalf("call %s has two attempts out", m.Termination)
			case w.fenced[id]:
				w.t.Fatalf("call %s is sent to %d, which drains", m.Termination, id)
			case !w.up[id]:
				w.t.Fatalf("call %s is sent over a link that is down", m.Termination)
			case w.r.now < w.blocked[m.Termination]:
				w.t.Fatalf("call %s is sent %v before the release time", m.Termination, w.blocked[m.Termination]-w.r.now)
			case e.Deadline <= w.r.now:
				w.t.Fatalf("call %s is sent with no time", m.Termination)
			}
			w.out[m.Termination] = id
			w.adds[id][m.ID] = m
		case e.Peer.Role == RoleExchange && m.Kind == signal.Request && m.Command == signal.Subtract:
			if w.out[m.Termination] == id {
				w.end(m.Termination, true)
			}
			w.subs[id] = append(w.subs[id], m)
		}
	}
}

func (w *watcher) end(call string, unclear bool) {
	delete(w.out, call)
	if unclear {
		w.blocked[call] = w.r.now + 300*time.Millisecond
	}
}

func (w *watcher) down(id uint64) {
	if !w.up[id] {
		return
	}
	w.up[id] = false
	for _, m := range w.adds[id] {
		if w.out[m.Termination] == id {
			w.end(m.Termination, true)
		}
	}
	w.adds[id], w.subs[id] = map[uint32]*signal.Message{}, nil
	w.see(w.r.in(Input{Kind: InputDisconnected, Peer: Peer{RoleExchange, id}}))
}

// TestRulesWhateverHappens plays random callers, exchanges, links and lists to
// the core with the module, and asks for the rules and for nothing left over.
func TestRulesWhateverHappens(t *testing.T) {
	notes := []string{"no-circuit", "turned-back", "processor-full", "lines-busy", "cut", "fault", "own-processor", "turned-back-processor", "none"}
	rapid.Check(t, func(t *rapid.T) {
		set := brain.Settings{Seed: rapid.Uint64().Draw(t, "seed"), Self: 0, Controllers: 4, Classes: testClasses,
			ReleaseWait: 300 * time.Millisecond, DrainGrace: 250 * time.Millisecond, AnswerSlack: 20 * time.Millisecond,
			ColdFrom: 0.3, ColdFor: 10 * time.Second, OverloadFactor: 2.5, OverloadFor: 3 * time.Second,
			MaxAttempts: 6, Cancelling: true, Tick: time.Millisecond}
		r := newRig(t, brain.New(set))
		sink := &tally{}
		r.c.cfg.FlowSink = sink
		w := &watcher{t: t, r: r, answered: map[string]int{}, left: map[string]bool{}, out: map[string]uint64{},
			adds: map[uint64]map[uint32]*signal.Message{}, subs: map[uint64][]*signal.Message{}, stands: map[string]bool{},
			blocked: map[string]time.Duration{}, fenced: map[uint64]bool{}, up: map[uint64]bool{}}
		r.list(0, 1, 2, 3)
		for _, id := range []uint64{100, 101, 102, 103} {
			w.up[id], w.adds[id] = true, map[uint32]*signal.Message{}
		}
		groups := func(free ...int) {
			m := &signal.Message{ID: 50, Command: signal.Notify, Termination: signal.Root}
			for i, f := range free {
				m.Put("Group", fmt.Sprintf("%d %d 20", i+1, f))
			}
			w.see(r.in(Input{Kind: InputMessage, Peer: exchangeNo(100), Message: m}))
		}
		groups(20, 20, 20)
		var calls []string
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := rapid.Uint64Range(101, 103).Draw(t, "exchange")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				name := fmt.Sprint("c", len(calls))
				calls = append(calls, name)
				m := &signal.Message{Command: signal.Add, Termination: name}
				m.Put("Class", rapid.SampledFrom([]string{"fetch", "wide"}).Draw(t, "class"))
				m.PutInt("Dest", rapid.IntRange(1, 3).Draw(t, "dest")).PutDuration("Left", time.Duration(rapid.IntRange(0, 4000).Draw(t, "left"))*time.Millisecond)
				if rapid.Bool().Draw(t, "transit") {
					m.PutInt("Source", 9)
				}
				w.see(r.say(from(1), m))
			case 3:
				if len(calls) > 0 {
					name := rapid.SampledFrom(calls).Draw(t, "hangs up")
					w.left[name] = true
					w.see(r.say(from(1), &signal.Message{Command: signal.Subtract, Termination: name}))
				}
			case 4, 5:
				w.answerOne(t, id, rapid.SampledFrom(append(notes, "", "", "", "")).Draw(t, "note"))
			case 6:
				if n := len(w.subs[id]); n > 0 {
					m := w.subs[id][n-1]
					w.subs[id] = w.subs[id][:n-1]
					w.see(r.in(Input{Kind: InputMessage, Peer: Peer{RoleExchange, id}, Message: m.NewReply()}))
				}
			case 7:
				if w.up[id] {
					w.down(id)
				} else {
					w.up[id] = true
					w.see(r.in(Input{Kind: InputConnected, Peer: Peer{RoleExchange, id}}))
				}
			case 8:
				state := rapid.SampledFrom([]string{"in", "draining"}).Draw(t, "state")
				w.see(r.word(int(id), int(id)-100, state))
				groups(rapid.IntRange(0, 20).Draw(t, "free"), 20, 3)
			case 9:
				w.passing(time.Duration(rapid.SampledFrom([]int{1, 10, 300, 1000, 5000}).Draw(t, "ms")) * time.Millisecond)
			}
		}
		// everybody gets better: each caller hangs up or is answered, all is released
		w.passing(10 * time.Second)
		for _, name := range calls {
			if w.answered[name] != 1 {
				t.Fatalf("call %s has %d final answers", name, w.answered[name])
			}
			if w.stands[name] && !w.left[name] {
				w.left[name] = true
				w.see(r.say(from(1), &signal.Message{Command: signal.Subtract, Termination: name}))
			}
		}
		for round := 0; r.c.Stats().HeldAttempts > 0; round++ {
			if round > 100 {
				t.Fatalf("%d attempts are never released", r.c.Stats().HeldAttempts)
			}
			for _, id := range []uint64{100, 101, 102, 103} {
				for _, m := range w.subs[id] {
					w.see(r.in(Input{Kind: InputMessage, Peer: Peer{RoleExchange, id}, Message: m.NewReply()}))
				}
				w.subs[id] = nil
			}
			w.passing(500 * time.Millisecond)
		}
		r.t = t
		r.empty()
		// what ended is counted and told, once
		if got := flow.Counts(*sink); got != *r.c.Counts() {
			t.Fatalf("told %v, counted %v", got, *r.c.Counts())
		}
		if s, n := r.c.Stats(), r.c.Counts(); uint64(s.Accepted) != n.Sum(flow.Call) || uint64(s.Attempts) != n.Sum(flow.Attempt) || s.Accepted != len(calls) {
			t.Fatalf("%d calls and %d attempts, counted %d and %d", s.Accepted, s.Attempts, n.Sum(flow.Call), n.Sum(flow.Attempt))
		}
	})
}

// passing lets time go by while exchanges give signs of life.
func (w *watcher) passing(d time.Duration) {
	until := w.r.now + d
	for w.r.now < until {
		for _, id := range []uint64{100, 101, 102, 103} {
			if w.up[id] {
				w.see(w.r.in(Input{Kind: InputMessage, Peer: Peer{RoleExchange, id}, Message: &signal.Message{Kind: signal.Pending, ID: 1 << 30}}))
			}
		}
		step := min(until-w.r.now, 500*time.Millisecond)
		for end := w.r.now + step; ; {
			at, ok := w.r.c.NextDeadline()
			if !ok || at > end {
				w.r.now = end
				w.see(w.r.in(Input{Kind: InputTimer}))
				break
			}
			w.r.now = max(w.r.now, at)
			w.see(w.r.in(Input{Kind: InputTimer}))
		}
	}
}

// answerOne answers the oldest set-up at an exchange, with a note or well.
func (w *watcher) answerOne(t *rapid.T, id uint64, note string) {
	var oldest *signal.Message
	for _, m := range w.adds[id] {
		if oldest == nil || m.ID < oldest.ID {
			oldest = m
		}
	}
	if oldest == nil {
		return
	}
	delete(w.adds[id], oldest.ID)
	a := oldest.NewReply()
	if note != "" {
		a = oldest.NewErrorReply(signal.InsufficientResources, note).Put("Note", note)
	}
	if w.out[oldest.Termination] == id {
		if w.end(oldest.Termination, note == "cut"); note == "" {
			delete(w.blocked, oldest.Termination)
		}
	}
	w.see(w.r.in(Input{Kind: InputMessage, Peer: Peer{RoleExchange, id}, Message: a}))
	if rapid.Bool().Draw(t, "twice") {
		w.see(w.r.in(Input{Kind: InputMessage, Peer: Peer{RoleExchange, id}, Message: a}))
	}
}
