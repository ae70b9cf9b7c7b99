package guard

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// At any depth completions and status updates are never shed, and no message is
// refused while a cheaper one is accepted.
func TestIntakeAdmitsByCostOfLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intake := Intake{Capacity: rapid.IntRange(10, 10000).Draw(t, "capacity")}
		depth := rapid.IntRange(0, 11000).Draw(t, "depth")
		newCall, status, completion := intake.Admit(NewCall, depth), intake.Admit(StatusUpdate, depth), intake.Admit(Completion, depth)
		if status == Shed || completion == Shed {
			t.Fatalf("depth %d: status update got %v, completion got %v; want neither shed", depth, status, completion)
		}
		if newCall == Accept && status != Accept || status == Accept && completion != Accept {
			t.Fatalf("depth %d: new call got %v, status update %v, completion %v; the order of priority is violated", depth, newCall, status, completion)
		}
		if depth >= intake.Capacity && completion == Accept {
			t.Fatalf("a full inbox (%d of %d) accepts a completion", depth, intake.Capacity)
		}
	})
	intake := Intake{Capacity: 100}
	for _, c := range []struct {
		kind  Kind
		depth int
		want  Admission
	}{{NewCall, 49, Accept}, {NewCall, 50, Shed}, {StatusUpdate, 89, Accept}, {StatusUpdate, 90, Wait}, {Completion, 99, Accept}, {Completion, 100, Wait}} {
		if got := intake.Admit(c.kind, c.depth); got != c.want {
			t.Errorf("Admit(kind %d, depth %d) = %d, want %d", c.kind, c.depth, got, c.want)
		}
	}
}

func TestOutboxKeepsRoomForReleases(t *testing.T) {
	outbox := Outbox{Capacity: 100}
	if outbox.ShouldReject(true, 49) || !outbox.ShouldReject(true, 50) || outbox.ShouldReject(false, 99) || outbox.IsFull(99) || !outbox.IsFull(100) {
		t.Fatal("want set-ups accepted up to half of the capacity and other messages up to the whole")
	}
}

func TestSetUpBlock(t *testing.T) {
	var block SetUpBlock
	if !block.MaySend(10, 11) || block.MaySend(11, 11) {
		t.Error("an inactive block must let exactly the set-ups through that have not timed out")
	}
	block = SetUpBlock{Active: true, Since: time.Second}
	if block.MaySend(time.Second, time.Minute) {
		t.Error("an active block lets a set-up through at the instant it began")
	}
	if block.WriteDeadline(250*time.Millisecond) >= block.Since+250*time.Millisecond {
		t.Error("the deadline of a write in progress is not within the drain grace")
	}
}

// An unresponsive peer is reported as lost at most one check after LostAfter; a peer
// that answers every probe never is.
func TestLiveness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		probeAfter := time.Duration(rapid.IntRange(1, 1000).Draw(t, "probe after")) * time.Millisecond
		liveness := Liveness{ProbeAfter: probeAfter, LostAfter: probeAfter * time.Duration(rapid.IntRange(2, 5).Draw(t, "lost after, in probe intervals"))}
		answers := rapid.Bool().Draw(t, "peer answers")
		now, lastReceived, lastProbe := time.Second, time.Second, time.Duration(0)
		for range 50 {
			probe, lost, nextCheck := liveness.Check(now, lastReceived, lastProbe)
			if lost {
				if answers {
					t.Fatal("a peer that answers every probe is reported as lost")
				}
				if now-lastReceived > liveness.LostAfter+liveness.ProbeAfter {
					t.Fatalf("an unresponsive peer is reported as lost only after %v", now-lastReceived)
				}
				return
			}
			if probe {
				if lastProbe = now; answers {
					lastReceived = now + time.Millisecond/2
				}
			}
			if nextCheck <= now {
				t.Fatalf("next check at %v is not after now, %v", nextCheck, now)
			}
			now = nextCheck
		}
		if !answers {
			t.Fatal("an unresponsive peer is never reported as lost")
		}
	})
}

func TestBackoffDelaysGrowAndVary(t *testing.T) {
	first := Backoff{Min: 100 * time.Millisecond, Max: 3 * time.Second, Random: rand.New(rand.NewPCG(1, 1))}
	second := Backoff{Min: 100 * time.Millisecond, Max: 3 * time.Second, Random: rand.New(rand.NewPCG(1, 2))}
	equal := 0
	for attempt := 1; attempt < 80; attempt++ {
		delay, otherDelay := first.Delay(attempt), second.Delay(attempt)
		if delay < first.Min/2 || delay > first.Max {
			t.Fatalf("attempt %d: delay %v, want at least Min/2 and at most Max", attempt, delay)
		}
		if attempt > 6 && delay < first.Max/2 {
			t.Fatalf("attempt %d: delay %v, want at least Max/2", attempt, delay)
		}
		if delay == otherDelay {
			equal++
		}
	}
	if equal > 2 {
		t.Errorf("%d delays of two senders are equal, want at most 2", equal)
	}
}

func TestFaultLimiterForgives(t *testing.T) {
	limiter := FaultLimiter{Burst: 3, ForgiveEvery: time.Second}
	for n, want := range []bool{true, true, true, false} {
		if limiter.Allow(time.Second) != want {
			t.Fatalf("fault %d: unexpected result of Allow", n)
		}
	}
	if !limiter.Allow(10 * time.Second) {
		t.Error("earlier faults are not forgiven after 9 s")
	}
}

func TestReleaseRetryGivesUp(t *testing.T) {
	retry := ReleaseRetry{Interval: time.Second, MaxRequests: 3}
	if at, lost := retry.Next(0, 1); lost || at != time.Second {
		t.Error(at, lost)
	}
	if at, lost := retry.Next(0, 2); lost || at != 2*time.Second {
		t.Error(at, lost)
	}
	if _, lost := retry.Next(0, 3); !lost {
		t.Error("after request 3 of 3 the peer does not count as lost")
	}
}
