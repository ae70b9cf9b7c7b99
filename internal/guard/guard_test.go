package guard

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the depth: an answer is never shed, and nothing is refused while
// something that matters less is let in.
func TestIntakeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := Intake{Capacity: rapid.IntRange(10, 10000).Draw(t, "most")}
		depth := rapid.IntRange(0, 11000).Draw(t, "depth")
		n, w, a := i.Admit(NewCall, depth), i.Admit(StatusUpdate, depth), i.Admit(Completion, depth)
		if w == Shed || a == Shed {
			t.Fatalf("depth %d: a word %v, an answer %v", depth, w, a)
		}
		if n == Accept && w != Accept || w == Accept && a != Accept {
			t.Fatalf("depth %d: new %v, word %v, answer %v", depth, n, w, a)
		}
		if depth >= i.Capacity && a == Accept {
			t.Fatalf("depth %d of %d is taken", depth, i.Capacity)
		}
	})
	i := Intake{Capacity: 100}
	for _, c := range []struct {
		k     Kind
		depth int
		want  Admission
	}{{NewCall, 49, Accept}, {NewCall, 50, Shed}, {StatusUpdate, 89, Accept}, {StatusUpdate, 90, Wait}, {Completion, 99, Accept}, {Completion, 100, Wait}} {
		if got := i.Admit(c.k, c.depth); got != c.want {
			t.Errorf("kind %d at %d: %d, want %d", c.k, c.depth, got, c.want)
		}
	}
}

func TestOutboxKeepsRoomForReleases(t *testing.T) {
	o := Outbox{Most: 100}
	if o.ShouldReject(true, 49) || !o.ShouldReject(true, 50) || o.ShouldReject(false, 99) || o.IsFull(99) || !o.IsFull(100) {
		t.Fatal("set-ups to half, the rest to the end")
	}
}

func TestFence(t *testing.T) {
	var f SetUpBlock
	if !f.MaySend(10, 11) || f.MaySend(11, 11) {
		t.Error("an open fence lets through what has not timed out")
	}
	f = SetUpBlock{Active: true, Since: time.Second}
	if f.MaySend(time.Second, time.Minute) {
		t.Error("a shut fence lets nothing through, also in the same instant")
	}
	if f.WriteDeadline(250*time.Millisecond) >= f.Since+250*time.Millisecond {
		t.Error("a write under way ends within the grace")
	}
}

// A peer that is silent is found lost within Lost and one step, one that
// answers each question never.
func TestLife(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		after := time.Duration(rapid.IntRange(1, 1000).Draw(t, "after")) * time.Millisecond
		l := Liveness{ProbeAfter: after, LostAfter: after * time.Duration(rapid.IntRange(2, 5).Draw(t, "times"))}
		answers := rapid.Bool().Draw(t, "answers")
		now, heard, asked := time.Second, time.Second, time.Duration(0)
		for range 50 {
			ask, lost, again := l.Check(now, heard, asked)
			if lost {
				if answers {
					t.Fatal("one that answers is lost")
				}
				if now-heard > l.LostAfter+l.ProbeAfter {
					t.Fatalf("found after %v", now-heard)
				}
				return
			}
			if ask {
				if asked = now; answers {
					heard = now + time.Millisecond/2
				}
			}
			if again <= now {
				t.Fatalf("look again at %v, now %v", again, now)
			}
			now = again
		}
		if !answers {
			t.Fatal("a silent one is never found")
		}
	})
}

func TestRetryGapsGrowAndDiffer(t *testing.T) {
	a := Backoff{Min: 100 * time.Millisecond, Max: 3 * time.Second, Random: rand.New(rand.NewPCG(1, 1))}
	b := Backoff{Min: 100 * time.Millisecond, Max: 3 * time.Second, Random: rand.New(rand.NewPCG(1, 2))}
	same := 0
	for n := 1; n < 80; n++ {
		x, y := a.Delay(n), b.Delay(n)
		if x < a.Min/2 || x > a.Max {
			t.Fatalf("try %d: %v", n, x)
		}
		if n > 6 && x < a.Max/2 {
			t.Fatalf("try %d: %v", n, x)
		}
		if x == y {
			same++
		}
	}
	if same > 2 {
		t.Errorf("%d gaps of two senders are the same", same)
	}
}

func TestFaultsAreForgiven(t *testing.T) {
	f := FaultLimiter{Burst: 3, ForgiveEvery: time.Second}
	for n, want := range []bool{true, true, true, false} {
		if f.Allow(time.Second) != want {
			t.Fatalf("fault %d", n)
		}
	}
	if !f.Allow(10 * time.Second) {
		t.Error("not forgiven")
	}
}

func TestReleaseGivesUp(t *testing.T) {
	r := ReleaseRetry{Interval: time.Second, MaxRequests: 3}
	if at, lost := r.Next(0, 1); lost || at != time.Second {
		t.Error(at, lost)
	}
	if at, lost := r.Next(0, 2); lost || at != 2*time.Second {
		t.Error(at, lost)
	}
	if _, lost := r.Next(0, 3); !lost {
		t.Error("never lost")
	}
}
