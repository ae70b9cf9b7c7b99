// Package guard holds the decisions at the edge that are not the module's: what
// is shed when the controller itself can't keep up, how long an unsent set-up
// may still leave, when a peer counts as lost and when it is tried again. All
// of it is free of I/O and clocks; nothing here chooses a route or answers a
// call that was taken.
package guard

import (
	"math/rand/v2"
	"time"
)

// Kind orders what waits for the controller by what its loss would cost.
type Kind uint8

const (
	NewCall      Kind = iota // a call that is not taken yet: it can be turned away with a word
	StatusUpdate             // circuits, list, signs of life: a later one replaces it, but a peer may wait for the reply
	Completion               // the end of something that is counted: a reply, a release, a lost connection
)

// Intake says what is let into the controller's inbox, by its depth.
type Intake struct {
	Capacity int // messages in the inbox, at the most
}

// Admission of Intake.
type Admission uint8

const (
	Accept Admission = iota
	Shed             // turn it away with a word now
	Wait             // don't read on from that peer until there is room
)

// Admit decides on one message when the inbox holds depth others. New calls go
// first, from half; a word waits from nine tenths; an answer or a release has
// the whole inbox and then waits, but is never dropped.
func (i Intake) Admit(k Kind, depth int) Admission {
	switch {
	case k == NewCall && depth >= i.Capacity/2:
		return Shed
	case k == StatusUpdate && depth >= i.Capacity-i.Capacity/10, depth >= i.Capacity:
		return Wait
	}
	return Accept
}

// Outbox says what may still be queued towards one peer, by the queue's length.
type Outbox struct {
	Most int
}

// ShouldReject tells whether a message is not to be queued: a set-up from half of the
// bound, so that answers and releases always find room behind set-ups.
func (o Outbox) ShouldReject(setup bool, queued int) bool { return setup && queued >= o.Most/2 }

// IsFull tells whether the peer reads so slowly that the connection is to be closed.
func (o Outbox) IsFull(queued int) bool { return queued >= o.Most }

// SetUpBlock keeps the third rule at the very edge: what was decided before an
// exchange was told to be draining may not leave long after.
type SetUpBlock struct {
	Active bool
	Since  time.Duration // when the word came
}

// MaySend tells whether a set-up may be written now. notAfter is the set-up's
// own time-out. Nothing leaves once the fence is shut: the grace is for what
// had been handed to the socket by then.
func (f SetUpBlock) MaySend(now, notAfter time.Duration) bool { return !f.Active && now < notAfter }

// WriteDeadline is the moment by which a write that was under way when the
// fence was shut has to be over; half of the grace is left for the wire.
func (f SetUpBlock) WriteDeadline(grace time.Duration) time.Duration { return f.Since + grace/2 }

// Liveness watches one peer: silence for After asks for a sign of life, silence for
// Lost counts as a lost peer, even if the connection seems to stand (half open).
type Liveness struct {
	ProbeAfter, LostAfter time.Duration
}

// Check tells what the time since the peer was last heard calls for, and when to look again.
func (l Liveness) Check(now, heard, asked time.Duration) (ask, lost bool, again time.Duration) {
	quiet := now - heard
	switch {
	case quiet >= l.LostAfter:
		return false, true, 0
	case quiet >= l.ProbeAfter && now-asked >= l.ProbeAfter:
		return true, false, now + l.ProbeAfter
	}
	return false, false, min(max(heard, asked)+l.ProbeAfter, heard+l.LostAfter)
}

// Backoff paces further tries to reach a peer: doubling gaps with jitter, so that
// many senders don't come back to one peer in step.
type Backoff struct {
	Min, Max time.Duration
	Random   *rand.Rand
}

// Delay is the wait before try n, counted from 1.
func (r Backoff) Delay(n int) time.Duration {
	gap := r.Min << min(max(n-1, 0), 20)
	if gap > r.Max || gap <= 0 {
		gap = r.Max
	}
	return gap/2 + time.Duration(r.Random.Int64N(int64(gap/2)+1))
}

// FaultLimiter bounds the messages of one peer that can't be read: a budget that
// fills up again with time.
type FaultLimiter struct {
	Burst        int           // in a row
	ForgiveEvery time.Duration // one is forgiven after so long
	have         float64
	at           time.Duration
}

// Allow books one bad message and tells whether the peer is still heard.
func (f *FaultLimiter) Allow(now time.Duration) bool {
	f.have = max(f.have-float64(now-f.at)/float64(f.ForgiveEvery), 0) + 1
	f.at = now
	return f.have <= float64(f.Burst)
}

// ReleaseRetry says when a withdrawn attempt's release is asked for again, and after
// how many askings the peer counts as lost.
type ReleaseRetry struct {
	Interval    time.Duration
	MaxRequests int
}

// Next returns when to ask again after asking n times, and whether to give the peer up.
func (r ReleaseRetry) Next(now time.Duration, n int) (at time.Duration, lost bool) {
	return now + r.Interval<<min(n-1, 4), n >= r.MaxRequests
}
