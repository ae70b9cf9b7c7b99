package shed

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dahliaspindle/internal/flow"
)

var testConfig = Config{ClassWorth: []float64{1, 2, 6}, MaxRecordRate: 100, MaxAge: 10 * time.Second, MinLevelDuration: 2 * time.Second, MaxSums: 64}

func queueState(length int) State {
	return State{QueueLength: length, QueueCapacity: 1000, Reachable: true}
}

func newRecord(kind flow.Kind, class uint8, dest int32) *flow.Record {
	return &flow.Record{Kind: kind, Class: class, Dest: dest}
}

// At each level attempts are shed before calls, and low-value classes before
// high-value ones. A higher level sends no more kinds of records than a lower one.
func TestSheddingOrder(t *testing.T) {
	sends := func(s *Shedder, kind flow.Kind, class uint8) bool { return s.shouldSend(newRecord(kind, class, 1)) }
	for level := LevelNone; level < LevelCount; level++ {
		s := New(testConfig)
		s.level = level
		lowAttempt, highAttempt := sends(s, flow.KindAttempt, 0), sends(s, flow.KindAttempt, 2)
		lowCall, highCall := sends(s, flow.KindCall, 0), sends(s, flow.KindCall, 2)
		if lowAttempt && !highAttempt || highAttempt && !lowCall || lowCall && !highCall {
			t.Errorf("%v: sent: low-value attempts %v, high-value attempts %v, low-value calls %v, high-value calls %v",
				level, lowAttempt, highAttempt, lowCall, highCall)
		}
		sent := 0
		for _, kindSent := range []bool{lowAttempt, highAttempt, lowCall, highCall} {
			if kindSent {
				sent++
			}
		}
		if want := []int{4, 3, 2, 1, 1}[level]; sent != want {
			t.Errorf("%v: %d kinds of records are sent, want %d", level, sent, want)
		}
	}
}

func TestLevelsRiseAtOnceAndFallSlowly(t *testing.T) {
	s := New(testConfig)
	if level := s.Update(time.Second, queueState(900)); level != LevelMostCalls {
		t.Fatalf("level %v at pressure 0.9, want LevelMostCalls", level)
	}
	for now, want := time.Second, LevelMostCalls; now < 12*time.Second; now += 100 * time.Millisecond {
		if elapsed := now - time.Second; elapsed > 0 && elapsed%(2*time.Second) == 0 && want > LevelNone {
			want--
		}
		if level := s.Update(now, queueState(0)); level != want {
			t.Fatalf("at %v: level %v, want %v", now, level, want)
		}
	}
}

// The level does not flap while the pressure varies around a threshold.
func TestNoFlapping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(testConfig)
		threshold := rapid.SampledFrom([]int{400, 550, 700, 850}).Draw(t, "threshold")
		last, changes := LevelNone, 0
		for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
			level := s.Update(now, queueState(threshold+rapid.IntRange(-100, 100).Draw(t, "noise")))
			if level != last {
				changes++
			}
			last = level
		}
		if changes > 4 { // it rises to the level that the noise reaches and does not fall again
			t.Fatalf("%d level changes at a queue length around %d", changes, threshold)
		}
	})
}

func TestPressure(t *testing.T) {
	for _, test := range []struct {
		state State
		want  float64
	}{
		{State{QueueLength: 500, QueueCapacity: 1000, Reachable: true}, 0.5},
		{State{QueueLength: 5000, QueueCapacity: 1000, Reachable: true}, 1},
		{State{QueueLength: 1, QueueCapacity: 1000, OldestAge: 5 * time.Second, Reachable: true}, 0.5},
		{State{QueueLength: 1, QueueCapacity: 1000, OldestAge: 5 * time.Hour, SpoolBytes: 30, MaxSpoolBytes: 100}, 0.3},
		{State{SpoolBytes: 90, MaxSpoolBytes: 100, Reachable: true}, 0},
		{State{}, 0},
	} {
		if got := testConfig.Pressure(test.state); got != test.want {
			t.Errorf("pressure of %+v is %v, want %v", test.state, got, test.want)
		}
	}
}

// A destination that exceeds its fair share is folded one level earlier than the
// others.
func TestFairSharesOfDestinations(t *testing.T) {
	s := New(testConfig)
	s.Update(0, queueState(600))
	if s.Level() != LevelAttempts {
		t.Fatal(s.Level())
	}
	for dest := range 10 {
		s.Decide(newRecord(flow.KindCall, 0, int32(dest)), 0, false)
	}
	s.Update(time.Second, queueState(600)) // ten destinations: a fair share of ten records per second each
	sent := map[int32]int{}
	for range 50 {
		if s.Decide(newRecord(flow.KindCall, 0, 1), 0, true) == Send {
			sent[1]++
		}
	}
	for range 5 {
		for dest := int32(2); dest < 10; dest++ {
			if s.Decide(newRecord(flow.KindCall, 0, dest), 0, true) == Send {
				sent[dest]++
			}
		}
	}
	if sent[1] > 15 {
		t.Errorf("%d records of the flooding destination are sent, want at most 15", sent[1])
	}
	for dest := int32(2); dest < 10; dest++ {
		if sent[dest] != 5 {
			t.Errorf("destination %d: %d of 5 records are sent", dest, sent[dest])
		}
	}
}

func TestDropOnlyWhenSumsAreExhausted(t *testing.T) {
	s := New(testConfig)
	s.level = LevelMostCalls
	record := newRecord(flow.KindAttempt, 0, 1)
	if decision := s.Decide(record, testConfig.MaxSums-1, false); decision != Fold {
		t.Error(decision)
	}
	if decision := s.Decide(record, testConfig.MaxSums, true); decision != Fold {
		t.Error(decision)
	}
	if decision := s.Decide(record, testConfig.MaxSums, false); decision != Drop {
		t.Error(decision)
	}
}

// simulateFlood simulates ten seconds, in two of which destination 1 is flooded with
// fifty times the usual record rate. It returns the worth of the calls that decide
// accepts, and the number of accepted calls to other destinations.
func simulateFlood(decide func(now time.Duration, record *flow.Record, queued int) bool) (worth float64, otherCalls int) {
	random := rand.New(rand.NewPCG(1, 2))
	queued, sendCredit := 0, 0.0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		recordRate := 80
		if now > 3*time.Second && now < 5*time.Second {
			recordRate = 4000
		}
		sendCredit += 1
		for sendCredit >= 1 && queued > 0 { // 100 records per second are sent
			queued--
			sendCredit--
		}
		sendCredit = min(sendCredit, 1)
		for range random.IntN(2 * recordRate / 100) {
			record := &flow.Record{Kind: flow.Kind(random.IntN(2)), Class: uint8(random.IntN(10) / 4), Dest: 1, Start: now}
			if recordRate == 80 || random.IntN(20) == 0 {
				record.Dest = int32(2 + random.IntN(8))
			}
			if decide(now, record, queued) {
				queued++
				if record.Kind == flow.KindCall {
					worth += testConfig.ClassWorth[record.Class]
					if record.Dest != 1 {
						otherCalls++
					}
				}
			}
		}
	}
	return worth, otherCalls
}

// In a flood, the shedder sends records of at least 1.2 times the worth that plain
// queues send, both one that drops the newest and one that drops the oldest record.
// It sends no fewer calls of the other destinations than the former.
func TestWorthSentDuringFlood(t *testing.T) {
	s := New(testConfig)
	nextUpdate := time.Duration(0)
	shedderWorth, shedderOthers := simulateFlood(func(now time.Duration, record *flow.Record, queued int) bool {
		if now >= nextUpdate {
			s.Update(now, queueState(queued))
			nextUpdate = now + 10*time.Millisecond
		}
		return queued < 1000 && s.Decide(record, 0, true) == Send
	})
	dropNewestWorth, dropNewestOthers := simulateFlood(func(_ time.Duration, _ *flow.Record, queued int) bool { return queued < 1000 })
	type queuedRecord struct {
		worth     float64
		otherDest bool
	}
	var queue []queuedRecord
	dropOldestWorth, dropOldestOthers := 0.0, 0
	oldestQueued := 0
	simulateFlood(func(_ time.Duration, record *flow.Record, queued int) bool {
		for ; oldestQueued > queued; oldestQueued-- { // sent
			dropOldestWorth += queue[0].worth
			if queue[0].otherDest {
				dropOldestOthers++
			}
			queue = queue[1:]
		}
		newest := queuedRecord{otherDest: record.Dest != 1 && record.Kind == flow.KindCall}
		if record.Kind == flow.KindCall {
			newest.worth = testConfig.ClassWorth[record.Class]
		}
		queue = append(queue, newest)
		if len(queue) > 1000 {
			queue = queue[1:]
			return false
		}
		oldestQueued++
		return true
	})
	for _, queued := range queue {
		dropOldestWorth += queued.worth
		if queued.otherDest {
			dropOldestOthers++
		}
	}
	t.Logf("worth of calls sent: shedder %.0f, drop newest %.0f, drop oldest %.0f; calls of other destinations: %d, %d, %d",
		shedderWorth, dropNewestWorth, dropOldestWorth, shedderOthers, dropNewestOthers, dropOldestOthers)
	if shedderWorth < 1.2*dropNewestWorth || shedderWorth < 1.2*dropOldestWorth || shedderOthers < dropNewestOthers {
		t.Error("the shedder is not sufficiently better than a plain queue")
	}
}
