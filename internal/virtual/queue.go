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

func (a *entry) before(b *entry) bool { return a.at < b.at || a.at == b.at && a.sequence < b.sequence }

const branchingFactor = 4

func (q *queue) len() int { return len(q.entries) }

// next is the time of the first event; there must be one.
func (q *queue) next() time.Duration { return q.entries[0].at }

func (q *queue) push(at time.Duration, do func()) {
	q.lastSequence++
	e := entry{at, q.lastSequence, do}
	q.entries = append(q.entries, e)
	i := len(q.entries) - 1
	for i > 0 {
		up := (i - 1) / branchingFactor
		if !e.before(&q.entries[up]) {
			break
		}
		q.entries[i] = q.entries[up]
		i = up
	}
	q.entries[i] = e
}

// pop takes the first event out.
func (q *queue) pop() (time.Duration, func()) {
	first := q.entries[0]
	last := len(q.entries) - 1
	e := q.entries[last]
	q.entries[last] = entry{} // its closure is free to go
	q.entries = q.entries[:last]
	i := 0
	for last > 0 {
		least := i*branchingFactor + 1
		if least >= last {
			break
		}
		for k := least + 1; k < min(least+branchingFactor, last); k++ {
			if q.entries[k].before(&q.entries[least]) {
				least = k
			}
		}
		if !q.entries[least].before(&e) {
			break
		}
		q.entries[i] = q.entries[least]
		i = least
	}
	if last > 0 {
		q.entries[i] = e
	}
	return first.at, first.callback
}
