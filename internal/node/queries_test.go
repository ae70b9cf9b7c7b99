package node

import (
	"testing"
	"time"

	"dahliaspindle/internal/isup"
)

// Guards against a list that never changes: all answers of a slow resolver were dropped as answers to earlier
// queries.
func TestAnswersAreJudgedByTheirAge(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	var queries recentQueries
	first := uint64(1<<16 - 20) // the IDs wrap around
	for n := range uint64(600) {
		queries.add(first+n, start.Add(time.Duration(n)*staleRetryDelay))
	}
	now := start.Add(600 * staleRetryDelay)
	for _, number := range []uint64{first, first + 100, first + 599} {
		if got, found := queries.find(uint16(number), now); !found || got != number {
			t.Errorf("the answer to query %d is taken for one to %d (found: %v)", number, got, found)
		}
	}
	for name, id := range map[string]uint64{"a query that was not sent yet": first + 600, "a query that was never sent": first - 1} {
		if _, found := queries.find(uint16(id), now); found {
			t.Errorf("an answer to %s was accepted", name)
		}
	}
	if _, found := queries.find(uint16(first+599), now.Add(maxAnswerDelay)); found {
		t.Errorf("an answer was accepted more than %v after its query", maxAnswerDelay)
	}
}

// The queries that are kept are bounded, by their age and in number.
func TestRecentQueriesAreBounded(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	var queries recentQueries
	for n := range uint64(3 * maxRecentQueries) {
		queries.add(n, start)
	}
	if len(queries.sent) != maxRecentQueries {
		t.Errorf("%d queries are kept, want %d", len(queries.sent), maxRecentQueries)
	}
	queries.add(3*maxRecentQueries, start.Add(maxAnswerDelay+time.Second))
	if len(queries.sent) != 1 {
		t.Errorf("%d queries are kept after a quiet time, want 1", len(queries.sent))
	}
}

// Guards against set-ups to a draining exchange while the resolver answers later than 16 queries take.
func TestVerySlowResolverIsAccepted(t *testing.T) {
	n := startTestNode(t)
	n.newReadyCaller()
	const delay = 5 * time.Second
	n.resolver.mu.Lock()
	n.resolver.delay, n.resolver.serial, n.resolver.priority = delay, 2, 1
	n.resolver.mu.Unlock()
	time.Sleep(delay + time.Second)
	caller := n.newCaller()
	caller.sendSetUp(7, "900")
	caller.expect(isup.Release)
	if len(n.exchange.requests) > 0 {
		t.Errorf("the draining exchange received %s", (<-n.exchange.requests).message.Method)
	}
}
