// Package guard holds the overload and fault policies of the network edge: what
// is shed when the controller cannot keep up, how long an unsent set-up may
// still be sent, when a peer counts as lost and when to contact it again. The
// package does no I/O and reads no clock. It neither chooses routes nor answers
// accepted calls; that is the routing module's task.
package guard

import (
	"math/rand/v2"
	"time"
)

// Kind classifies an incoming message by the cost of losing it.
type Kind uint8

// Kinds, from the cheapest loss to the most costly.
const (
	NewCall      Kind = iota // a call that is not accepted yet and can be refused with a reply
	StatusUpdate             // circuit counts, exchange lists, signs of life: superseded by later ones, but a peer may wait for the reply
	Completion               // ends something that is counted: a reply, a release, a lost connection
)

// Intake decides which messages enter the controller's inbox, by its depth.
type Intake struct {
	Capacity int // maximum number of messages in the inbox
}

// Admission is a decision of Intake.
type Admission uint8

// Decisions of Intake.Admit.
const (
	Accept Admission = iota
	Shed             // refuse the message with an immediate reply
	Wait             // stop reading from the peer until there is room
)

// Admit decides on one message when the inbox holds depth others. New calls are
// shed once the inbox is half full; status updates wait once it is nine tenths
// full; completions may fill the whole inbox and then wait, but are never dropped.
func (i Intake) Admit(kind Kind, depth int) Admission {
	switch {
	case kind == NewCall && depth >= i.Capacity/2:
		return Shed
	case kind == StatusUpdate && depth >= i.Capacity-i.Capacity/10, depth >= i.Capacity:
		return Wait
	}
	return Accept
}

// Outbox bounds the queue of messages to one peer.
type Outbox struct {
	Capacity int // maximum number of queued messages
}

// ShouldReject reports whether a message must not be queued behind queued
// others. Set-ups may fill only half of the queue, so that replies and releases
// always find room.
func (o Outbox) ShouldReject(setUp bool, queued int) bool { return setUp && queued >= o.Capacity/2 }

// IsFull reports whether the peer reads so slowly that the connection must be closed.
func (o Outbox) IsFull(queued int) bool { return queued >= o.Capacity }

// SetUpBlock keeps set-ups from being sent to an exchange after it was reported
// as draining: set-ups decided before then must not be sent long afterwards.
type SetUpBlock struct {
	Active bool
	Since  time.Duration // when the exchange was reported as draining
}

// MaySend reports whether a set-up may be written now. notAfter is the set-up's
// own time-out. An active block stops every set-up at once: the drain grace only
// covers what had already been handed to the socket.
func (b SetUpBlock) MaySend(now, notAfter time.Duration) bool { return !b.Active && now < notAfter }

// WriteDeadline is the time by which a write that was in progress when the
// block began must be over. The other half of the drain grace is left for the
// transmission.
func (b SetUpBlock) WriteDeadline(grace time.Duration) time.Duration { return b.Since + grace/2 }

// Liveness decides when to probe an unresponsive peer and when to count it as lost,
// even if its connection seems open (a half-open connection).
type Liveness struct {
	ProbeAfter, LostAfter time.Duration // time without a message before a probe, and before the peer counts as lost
}

// Check decides what to do about a peer whose last message arrived at
// lastReceived and whose last probe was sent at lastProbe, and when to check again.
func (l Liveness) Check(now, lastReceived, lastProbe time.Duration) (probe, lost bool, nextCheck time.Duration) {
	elapsed := now - lastReceived
	switch {
	case elapsed >= l.LostAfter:
		return false, true, 0
	case elapsed >= l.ProbeAfter && now-lastProbe >= l.ProbeAfter:
		return true, false, now + l.ProbeAfter
	}
	return false, false, min(max(lastReceived, lastProbe)+l.ProbeAfter, lastReceived+l.LostAfter)
}

// Backoff paces attempts to reach a peer with exponentially growing delays and
// jitter, so that many senders do not return to one peer at the same time.
type Backoff struct {
	Min, Max time.Duration
	Random   *rand.Rand
}

// Delay returns the wait before the given attempt, counted from 1.
func (b Backoff) Delay(attempt int) time.Duration {
	delay := b.Min << min(max(attempt-1, 0), 20)
	if delay > b.Max || delay <= 0 {
		delay = b.Max
	}
	return delay/2 + time.Duration(b.Random.Int64N(int64(delay/2)+1))
}

// FaultLimiter bounds the unreadable messages of one peer with a budget that
// recovers over time.
type FaultLimiter struct {
	Burst        int           // unreadable messages tolerated in a row
	ForgiveEvery time.Duration // time after which one of them is forgiven
	level        float64       // unreadable messages not forgiven yet
	updated      time.Duration // time of level
}

// Allow records one unreadable message and reports whether the peer's messages
// are still accepted.
func (f *FaultLimiter) Allow(now time.Duration) bool {
	f.level = max(f.level-float64(now-f.updated)/float64(f.ForgiveEvery), 0) + 1
	f.updated = now
	return f.level <= float64(f.Burst)
}

// ReleaseRetry says when the release of a withdrawn attempt is requested again,
// and after how many requests the peer counts as lost.
type ReleaseRetry struct {
	Interval    time.Duration
	MaxRequests int
}

// Next returns when to send the next request after the given number of
// requests, and whether the peer counts as lost.
func (r ReleaseRetry) Next(now time.Duration, requests int) (at time.Duration, lost bool) {
	return now + r.Interval<<min(requests-1, 4), requests >= r.MaxRequests
}
