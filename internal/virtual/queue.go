package virtual

import "time"

// queue is the events to come, in the order of their times, and of their
// making at equal times. It is a heap with four branches a node, its entries in
// one piece of memory: an event queue mostly takes from the front and adds a
// little behind it, so a flat tree with few cache misses beats one that is half
// as wide (measured in queue_test.go beside container/heap).
type queue struct {
	entries      []entry
	lastSequence uint64
}

type entry struct {
	at       time.Duration
	sequence uint64
	callback func()
}

func (e *entry) before(other *entry) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

const branchingFactor = 4

func (q *queue) len() int { return len(q.entries) }

// next is the time of the first event; there must be one.
func (q *queue) next() time.Duration { return q.entries[0].at }

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

// pop takes the first event out.
func (q *queue) pop() (time.Duration, func()) {
	first := q.entries[0]
	last := len(q.entries) - 1
	moved := q.entries[last]
	q.entries[last] = entry{} // its closure is free to go
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
