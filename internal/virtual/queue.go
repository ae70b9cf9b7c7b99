package virtual

import "time"

// queue holds pending events in order of time, and of creation at equal times. It is
// a heap with four children per node in one slice: event queues mostly remove the
// first event and add one shortly behind it, for which a flat tree with few cache
// misses is faster than a binary heap (see BenchmarkQueue).
type queue struct {
	entries      []entry
	lastSequence uint64
}

// entry is a pending event.
type entry struct {
	at       time.Duration
	sequence uint64 // order of creation
	callback func()
}

// before reports whether e comes before other.
func (e *entry) before(other *entry) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// branchingFactor is the number of children per node.
const branchingFactor = 4

func (q *queue) len() int { return len(q.entries) }

// next returns the time of the first event. The queue must not be empty.
func (q *queue) next() time.Duration { return q.entries[0].at }

// push adds an event.
func (q *queue) push(at time.Duration, callback func()) {
	q.lastSequence++
	added := entry{at, q.lastSequence, callback}
	q.entries = append(q.entries, added)
	position := len(q.entries) - 1
	for position > 0 {
		parent := (position - 1) / branchingFactor
		if !added.before(&q.entries[parent]) {
			break
		}
		q.entries[position] = q.entries[parent]
		position = parent
	}
	q.entries[position] = added
}

// pop removes and returns the first event. The queue must not be empty.
func (q *queue) pop() (time.Duration, func()) {
	first := q.entries[0]
	last := len(q.entries) - 1
	moved := q.entries[last]
	q.entries[last] = entry{} // lets the closure be garbage collected
	q.entries = q.entries[:last]
	position := 0
	for last > 0 {
		earliest := position*branchingFactor + 1
		if earliest >= last {
			break
		}
		for child := earliest + 1; child < min(earliest+branchingFactor, last); child++ {
			if q.entries[child].before(&q.entries[earliest]) {
				earliest = child
			}
		}
		if !q.entries[earliest].before(&moved) {
			break
		}
		q.entries[position] = q.entries[earliest]
		position = earliest
	}
	if last > 0 {
		q.entries[position] = moved
	}
	return first.at, first.callback
}
