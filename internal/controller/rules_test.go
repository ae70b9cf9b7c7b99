package controller

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/signal"
	"dahliaspindle/routing"
)

// recordCounter is a flow sink that counts the records.
type recordCounter flow.Counts

func (c *recordCounter) Put(r *flow.Record) { *(*flow.Counts)(c).At(r)++ }

// ruleChecker checks the effects of the core against the rules of a call's life: one
// final reply, one attempt at a time, no set-up after the end, to a draining exchange,
// over a lost link, or before the release time.
type ruleChecker struct {
	t            *rapid.T
	harness      *harness
	answered     map[string]int                        // number of final replies by call
	abandoned    map[string]bool                       // calls released by their callers
	inFlight     map[string]uint64                     // exchange ID of the attempt in flight, by call
	setUps       map[uint64]map[uint32]*signal.Message // unanswered set-ups by exchange and transaction
	releases     map[uint64][]*signal.Message          // unanswered releases by exchange
	established  map[string]bool
	blockedUntil map[string]time.Duration // end of the release time, by call
	draining     map[uint64]bool
	connected    map[uint64]bool
}

// check fails the test if an effect breaks a rule.
func (checker *ruleChecker) check(effects []Effect) {
	for _, effect := range effects {
		id := effect.Peer.ID
		switch effect.Kind {
		case EffectBlock:
			checker.draining[id] = true
		case EffectUnblock:
			checker.draining[id] = false
		case EffectClose:
			if effect.Peer.Role == RoleExchange {
				checker.disconnect(id)
			}
		}
		if effect.Kind != EffectSend {
			continue
		}
		msg := effect.Message
		switch {
		case effect.Peer.Role == RoleCaller && msg.Kind == signal.Reply && msg.Command == signal.Add:
			if checker.answered[msg.Termination]++; checker.answered[msg.Termination] > 1 {
				checker.t.Fatalf("call %s got two final replies", msg.Termination)
			}
			checker.established[msg.Termination] = msg.Code == 0
		case effect.Peer.Role == RoleExchange && msg.Kind == signal.Request && msg.Command == signal.Add:
			switch {
			case checker.answered[msg.Termination] > 0 || checker.abandoned[msg.Termination]:
				checker.t.Fatalf("call %s sent after its end", msg.Termination)
			case checker.inFlight[msg.Termination] != 0:
				checker.t.Fatalf("call %s has two attempts in flight", msg.Termination)
			case checker.draining[id]:
				checker.t.Fatalf("call %s sent to draining exchange %d", msg.Termination, id)
			case !checker.connected[id]:
				checker.t.Fatalf("call %s sent over a link that is down", msg.Termination)
			case checker.harness.now < checker.blockedUntil[msg.Termination]:
				checker.t.Fatalf("call %s sent %v before the end of the release time", msg.Termination, checker.blockedUntil[msg.Termination]-checker.harness.now)
			case effect.Deadline <= checker.harness.now:
				checker.t.Fatalf("call %s sent after its deadline", msg.Termination)
			}
			checker.inFlight[msg.Termination] = id
			checker.setUps[id][msg.ID] = msg
		case effect.Peer.Role == RoleExchange && msg.Kind == signal.Request && msg.Command == signal.Subtract:
			if checker.inFlight[msg.Termination] == id {
				checker.endAttempt(msg.Termination, true)
			}
			checker.releases[id] = append(checker.releases[id], msg)
		}
	}
}

// endAttempt removes the attempt in flight. With an unknown outcome, the call must not
// be sent again before the release time is over.
func (checker *ruleChecker) endAttempt(call string, unknown bool) {
	delete(checker.inFlight, call)
	if unknown {
		checker.blockedUntil[call] = checker.harness.now + 300*time.Millisecond
	}
}

// disconnect closes the link to an exchange, which then forgets its attempts.
func (checker *ruleChecker) disconnect(id uint64) {
	if !checker.connected[id] {
		return
	}
	checker.connected[id] = false
	for _, msg := range checker.setUps[id] {
		if checker.inFlight[msg.Termination] == id {
			checker.endAttempt(msg.Termination, true)
		}
	}
	checker.setUps[id], checker.releases[id] = map[uint32]*signal.Message{}, nil
	checker.check(checker.harness.handle(Input{Kind: InputDisconnected, Peer: Peer{RoleExchange, id}}))
}

// TestCallRulesUnderRandomEvents drives the core and the routing module with random
// events of callers, exchanges, links and the exchange list. All rules must hold, and
// nothing may be left over at the end.
func TestCallRulesUnderRandomEvents(t *testing.T) {
	notes := []string{"no-circuit", "turned-back", "processor-full", "lines-busy", "cut", "fault", "own-processor", "turned-back-processor", "none"}
	rapid.Check(t, func(t *rapid.T) {
		settings := routing.Settings{
			Seed:           rapid.Uint64().Draw(t, "seed"),
			Self:           0,
			Controllers:    4,
			Classes:        testClasses,
			ReleaseWait:    300 * time.Millisecond,
			DrainGrace:     250 * time.Millisecond,
			AnswerSlack:    20 * time.Millisecond,
			ColdFrom:       0.3,
			ColdFor:        10 * time.Second,
			OverloadFactor: 2.5,
			OverloadFor:    3 * time.Second,
			MaxAttempts:    6,
			Cancelling:     true,
			Tick:           time.Millisecond,
		}
		h := newHarness(t, routing.New(settings))
		sink := &recordCounter{}
		h.controller.config.FlowSink = sink
		checker := &ruleChecker{
			t:            t,
			harness:      h,
			answered:     map[string]int{},
			abandoned:    map[string]bool{},
			inFlight:     map[string]uint64{},
			setUps:       map[uint64]map[uint32]*signal.Message{},
			releases:     map[uint64][]*signal.Message{},
			established:  map[string]bool{},
			blockedUntil: map[string]time.Duration{},
			draining:     map[uint64]bool{},
			connected:    map[uint64]bool{},
		}
		h.announceList(0, 1, 2, 3)
		for _, id := range []uint64{100, 101, 102, 103} {
			checker.connected[id], checker.setUps[id] = true, map[uint32]*signal.Message{}
		}
		reportGroups := func(free ...int) {
			msg := &signal.Message{ID: 50, Command: signal.Notify, Termination: signal.Root}
			for i, circuits := range free {
				msg.Put("Group", fmt.Sprintf("%d %d 20", i+1, circuits))
			}
			checker.check(h.handle(Input{Kind: InputMessage, Peer: exchangePeer(100), Message: msg}))
		}
		reportGroups(20, 20, 20)
		var calls []string
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := rapid.Uint64Range(101, 103).Draw(t, "exchange")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				name := fmt.Sprint("c", len(calls))
				calls = append(calls, name)
				msg := &signal.Message{Command: signal.Add, Termination: name}
				msg.Put("Class", rapid.SampledFrom([]string{"fetch", "wide"}).Draw(t, "class"))
				msg.PutInt("Dest", rapid.IntRange(1, 3).Draw(t, "dest")).
					PutDuration("Left", time.Duration(rapid.IntRange(0, 4000).Draw(t, "left"))*time.Millisecond)
				if rapid.Bool().Draw(t, "transit") {
					msg.PutInt("Source", 9)
				}
				checker.check(h.receive(callerPeer(1), msg))
			case 3:
				if len(calls) > 0 {
					name := rapid.SampledFrom(calls).Draw(t, "released call")
					checker.abandoned[name] = true
					checker.check(h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Termination: name}))
				}
			case 4, 5:
				checker.answerOldest(t, id, rapid.SampledFrom(append(notes, "", "", "", "")).Draw(t, "note"))
			case 6:
				if n := len(checker.releases[id]); n > 0 {
					msg := checker.releases[id][n-1]
					checker.releases[id] = checker.releases[id][:n-1]
					checker.check(h.handle(Input{Kind: InputMessage, Peer: Peer{RoleExchange, id}, Message: msg.NewReply()}))
				}
			case 7:
				if checker.connected[id] {
					checker.disconnect(id)
				} else {
					checker.connected[id] = true
					checker.check(h.handle(Input{Kind: InputConnected, Peer: Peer{RoleExchange, id}}))
				}
			case 8:
				state := rapid.SampledFrom([]string{"in", "draining"}).Draw(t, "state")
				checker.check(h.announceExchange(int(id), int(id)-100, state))
				reportGroups(rapid.IntRange(0, 20).Draw(t, "free"), 20, 3)
			case 9:
				checker.advance(time.Duration(rapid.SampledFrom([]int{1, 10, 300, 1000, 5000}).Draw(t, "ms")) * time.Millisecond)
			}
		}
		// Each pending call gets its final reply, each established call is released,
		// and the exchanges answer all releases.
		checker.advance(10 * time.Second)
		for _, name := range calls {
			if checker.answered[name] != 1 {
				t.Fatalf("call %s has %d final replies, want 1", name, checker.answered[name])
			}
			if checker.established[name] && !checker.abandoned[name] {
				checker.abandoned[name] = true
				checker.check(h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Termination: name}))
			}
		}
		for round := 0; h.controller.Stats().HeldAttempts > 0; round++ {
			if round > 100 {
				t.Fatalf("%d attempts not released", h.controller.Stats().HeldAttempts)
			}
			for _, id := range []uint64{100, 101, 102, 103} {
				for _, msg := range checker.releases[id] {
					checker.check(h.handle(Input{Kind: InputMessage, Peer: Peer{RoleExchange, id}, Message: msg.NewReply()}))
				}
				checker.releases[id] = nil
			}
			checker.advance(500 * time.Millisecond)
		}
		h.t = t
		h.requireNothingLeft()
		// Each call and attempt is counted and recorded exactly once.
		if got := flow.Counts(*sink); got != *h.controller.Counts() {
			t.Fatalf("recorded %v, counted %v", got, *h.controller.Counts())
		}
		if stats, counts := h.controller.Stats(), h.controller.Counts(); uint64(stats.Accepted) != counts.Sum(flow.KindCall) ||
			uint64(stats.Attempts) != counts.Sum(flow.KindAttempt) || stats.Accepted != len(calls) {
			t.Fatalf("%d calls and %d attempts, counted %d and %d", stats.Accepted, stats.Attempts, counts.Sum(flow.KindCall), counts.Sum(flow.KindAttempt))
		}
	})
}

// advance lets time pass while the connected exchanges send signs of life.
func (checker *ruleChecker) advance(d time.Duration) {
	until := checker.harness.now + d
	for checker.harness.now < until {
		for _, id := range []uint64{100, 101, 102, 103} {
			if checker.connected[id] {
				checker.check(checker.harness.handle(Input{
					Kind:    InputMessage,
					Peer:    Peer{RoleExchange, id},
					Message: &signal.Message{Kind: signal.Pending, ID: 1 << 30},
				}))
			}
		}
		step := min(until-checker.harness.now, 500*time.Millisecond)
		for end := checker.harness.now + step; ; {
			at, ok := checker.harness.controller.NextDeadline()
			if !ok || at > end {
				checker.harness.now = end
				checker.check(checker.harness.handle(Input{Kind: InputTimer}))
				break
			}
			checker.harness.now = max(checker.harness.now, at)
			checker.check(checker.harness.handle(Input{Kind: InputTimer}))
		}
	}
}

// answerOldest answers the oldest set-up at an exchange, as failed if there is a note;
// sometimes it repeats the reply.
func (checker *ruleChecker) answerOldest(t *rapid.T, id uint64, note string) {
	var oldest *signal.Message
	for _, msg := range checker.setUps[id] {
		if oldest == nil || msg.ID < oldest.ID {
			oldest = msg
		}
	}
	if oldest == nil {
		return
	}
	delete(checker.setUps[id], oldest.ID)
	reply := oldest.NewReply()
	if note != "" {
		reply = oldest.NewErrorReply(signal.InsufficientResources, note).Put("Note", note)
	}
	if checker.inFlight[oldest.Termination] == id {
		if checker.endAttempt(oldest.Termination, note == "cut"); note == "" {
			delete(checker.blockedUntil, oldest.Termination)
		}
	}
	checker.check(checker.harness.handle(Input{Kind: InputMessage, Peer: Peer{RoleExchange, id}, Message: reply}))
	if rapid.Bool().Draw(t, "repeated reply") {
		checker.check(checker.harness.handle(Input{Kind: InputMessage, Peer: Peer{RoleExchange, id}, Message: reply}))
	}
}
