package shed

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dahliaspindle/internal/flow"
)

var cfg = Config{ClassWorth: []float64{1, 2, 6}, MaxRecordRate: 100, MaxAge: 10 * time.Second, MinLevelDuration: 2 * time.Second, MaxSums: 64}

func queue(n int) State { return State{QueueLength: n, QueueCapacity: 1000, Reachable: true} }

func record(k flow.Kind, class uint8, far int32) *flow.Record {
	return &flow.Record{Kind: k, Class: class, Dest: far}
}

// At each level, what goes whole at most also goes whole at every lower one,
// and the order of loss holds.
func TestOrderOfLoss(t *testing.T) {
	rank := func(s *Shedder, k flow.Kind, class uint8) bool { return s.whole(record(k, class, 1)) }
	for level := LevelNone; level < LevelCount; level++ {
		s := New(cfg)
		s.level = level
		cheapA, dearA := rank(s, flow.KindAttempt, 0), rank(s, flow.KindAttempt, 2)
		cheapC, dearC := rank(s, flow.KindCall, 0), rank(s, flow.KindCall, 2)
		if cheapA && !dearA || dearA && !cheapC || cheapC && !dearC {
			t.Errorf("%v: cheap attempts %v, dear attempts %v, cheap calls %v, dear calls %v", level, cheapA, dearA, cheapC, dearC)
		}
		whole := 0
		for _, b := range []bool{cheapA, dearA, cheapC, dearC} {
			if b {
				whole++
			}
		}
		if want := []int{4, 3, 2, 1, 1}[level]; whole != want {
			t.Errorf("%v: %d kinds go whole, want %d", level, whole, want)
		}
	}
}

func TestLevelsRiseAtOnceAndFallSlowly(t *testing.T) {
	s := New(cfg)
	if l := s.Update(time.Second, queue(900)); l != LevelMostCalls {
		t.Fatalf("%v at nine tenths", l)
	}
	for now, want := time.Second, LevelMostCalls; now < 12*time.Second; now += 100 * time.Millisecond {
		if passed := now - time.Second; passed > 0 && passed%(2*time.Second) == 0 && want > LevelNone {
			want--
		}
		if l := s.Update(now, queue(0)); l != want {
			t.Fatalf("%v: %v, want %v", now, l, want)
		}
	}
}

// Whatever the pressure does around one mark, the level does not flap: it
// changes at most twice in any Hold.
func TestNoFlapping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(cfg)
		mark := rapid.SampledFrom([]int{400, 550, 700, 850}).Draw(t, "mark")
		last, changes := LevelNone, 0
		for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
			l := s.Update(now, queue(mark+rapid.IntRange(-100, 100).Draw(t, "noise")))
			if l != last {
				changes++
			}
			last = l
		}
		if changes > 4 { // up to the level that the noise reaches, and no way back
			t.Fatalf("%d changes around %d", changes, mark)
		}
	})
}

func TestPressure(t *testing.T) {
	for _, c := range []struct {
		s    State
		want float64
	}{
		{State{QueueLength: 500, QueueCapacity: 1000, Reachable: true}, 0.5},
		{State{QueueLength: 5000, QueueCapacity: 1000, Reachable: true}, 1},
		{State{QueueLength: 1, QueueCapacity: 1000, OldestAge: 5 * time.Second, Reachable: true}, 0.5},
		{State{QueueLength: 1, QueueCapacity: 1000, OldestAge: 5 * time.Hour, SpoolBytes: 30, MaxSpoolBytes: 100}, 0.3},
		{State{SpoolBytes: 90, MaxSpoolBytes: 100, Reachable: true}, 0},
		{State{}, 0},
	} {
		if got := cfg.Pressure(c.s); got != c.want {
			t.Errorf("%+v: %v, want %v", c.s, got, c.want)
		}
	}
}

// Under pressure a far end that floods is folded a level before the others, and
// nothing is dropped while its sum is there.
func TestFairBetweenFarEnds(t *testing.T) {
	s := New(cfg)
	s.Update(0, queue(600)) // Attempts
	if s.Level() != LevelAttempts {
		t.Fatal(s.Level())
	}
	for n := range 10 {
		s.Decide(record(flow.KindCall, 0, int32(n)), 0, false)
	}
	s.Update(time.Second, queue(600)) // ten far ends: ten a second each
	whole := map[int32]int{}
	for range 50 {
		if s.Decide(record(flow.KindCall, 0, 1), 0, true) == Send {
			whole[1]++
		}
	}
	for range 5 {
		for far := int32(2); far < 10; far++ {
			if s.Decide(record(flow.KindCall, 0, far), 0, true) == Send {
				whole[far]++
			}
		}
	}
	if whole[1] > 15 {
		t.Errorf("the far end that floods has %d whole", whole[1])
	}
	for far := int32(2); far < 10; far++ {
		if whole[far] != 5 {
			t.Errorf("far end %d has %d of 5 whole", far, whole[far])
		}
	}
}

func TestDropOnlyWhenNoSumIsLeft(t *testing.T) {
	s := New(cfg)
	s.level = LevelMostCalls
	r := record(flow.KindAttempt, 0, 1)
	if v := s.Decide(r, cfg.MaxSums-1, false); v != Fold {
		t.Error(v)
	}
	if v := s.Decide(r, cfg.MaxSums, true); v != Fold {
		t.Error(v)
	}
	if v := s.Decide(r, cfg.MaxSums, false); v != Drop {
		t.Error(v)
	}
}

// flood plays ten seconds in which fifty times more comes than goes out for two,
// and returns the worth of the records that go whole, by far ends as well.
func flood(decide func(now time.Duration, r *flow.Record, queued int) bool) (worth float64, quiet int) {
	rnd := rand.New(rand.NewPCG(1, 2))
	queued, credit := 0, 0.0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		rate := 80
		if now > 3*time.Second && now < 5*time.Second {
			rate = 4000
		}
		credit += 1
		for credit >= 1 && queued > 0 { // 100 a second go out
			queued--
			credit--
		}
		credit = min(credit, 1)
		for range rnd.IntN(2 * rate / 100) {
			r := &flow.Record{Kind: flow.Kind(rnd.IntN(2)), Class: uint8(rnd.IntN(10) / 4), Dest: 1, Start: now}
			if rate == 80 || rnd.IntN(20) == 0 {
				r.Dest = int32(2 + rnd.IntN(8))
			}
			if decide(now, r, queued) {
				queued++
				if r.Kind == flow.KindCall {
					worth += cfg.ClassWorth[r.Class]
					if r.Dest != 1 {
						quiet++
					}
				}
			}
		}
	}
	return worth, quiet
}

// Worth kept in a flood, beside a queue that drops the newest, and one that
// drops the oldest (of which each record in the queue is as likely lost as kept,
// so its worth is that of as many drawn at random).
func TestWorthKeptInAFlood(t *testing.T) {
	s := New(cfg)
	next := time.Duration(0)
	ours, quiet := flood(func(now time.Duration, r *flow.Record, queued int) bool {
		if now >= next {
			s.Update(now, queue(queued))
			next = now + 10*time.Millisecond
		}
		return queued < 1000 && s.Decide(r, 0, true) == Send
	})
	newest, quietNewest := flood(func(_ time.Duration, _ *flow.Record, queued int) bool { return queued < 1000 })
	type slot struct {
		worth float64
		quiet bool
	}
	var q []slot
	kept, keptQuiet := 0.0, 0
	oldestQueued := 0
	flood(func(_ time.Duration, r *flow.Record, queued int) bool {
		for ; oldestQueued > queued; oldestQueued-- { // went out
			kept += q[0].worth
			if q[0].quiet {
				keptQuiet++
			}
			q = q[1:]
		}
		x := slot{quiet: r.Dest != 1 && r.Kind == flow.KindCall}
		if r.Kind == flow.KindCall {
			x.worth = cfg.ClassWorth[r.Class]
		}
		q = append(q, x)
		if len(q) > 1000 {
			q = q[1:]
			return false
		}
		oldestQueued++
		return true
	})
	for _, x := range q {
		kept += x.worth
		if x.quiet {
			keptQuiet++
		}
	}
	t.Logf("worth of calls kept whole: %.0f, drop newest %.0f, drop oldest %.0f; of quiet far ends %d, %d, %d",
		ours, newest, kept, quiet, quietNewest, keptQuiet)
	if ours < 1.2*newest || ours < 1.2*kept || quiet < quietNewest {
		t.Error("no better than a plain queue")
	}
}
