// Package ring hands values from one goroutine to another without a lock: a
// bounded ring for one producer and one consumer, each with a cached view of
// the other's position, so that the ordinary step touches one shared word.
package ring

import "sync/atomic"

type cacheLinePad [64]byte // keeps what two cores write on lines of their own

// Ring holds up to a power of two of values. Put is for one goroutine at a
// time, Take for one other.
type Ring[T any] struct {
	slots      []T
	mask       uint64
	_          cacheLinePad
	tail       atomic.Uint64 // next to be put
	cachedHead uint64        // the producer's view of head
	_          cacheLinePad
	head       atomic.Uint64 // next to be taken
	cachedTail uint64        // the consumer's view of tail
	_          cacheLinePad
}

// New makes a ring of at least n slots.
func New[T any](minSlots int) *Ring[T] {
	size := 1
	for size < minSlots {
		size <<= 1
	}
	return &Ring[T]{slots: make([]T, size), mask: uint64(size - 1)}
}

// Put copies a value in; false if the ring is full.
func (r *Ring[T]) Put(value *T) bool {
	tail := r.tail.Load()
	if tail-r.cachedHead >= uint64(len(r.slots)) {
		if r.cachedHead = r.head.Load(); tail-r.cachedHead >= uint64(len(r.slots)) {
			return false
		}
	}
	r.slots[tail&r.mask] = *value
	r.tail.Store(tail + 1)
	return true
}

// Take copies the oldest value out; false if there is none.
func (r *Ring[T]) Take(value *T) bool {
	head := r.head.Load()
	if head == r.cachedTail {
		if r.cachedTail = r.tail.Load(); head == r.cachedTail {
			return false
		}
	}
	*value = r.slots[head&r.mask]
	r.head.Store(head + 1)
	return true
}

// Len is the number of values held, as of some moment during the call.
func (r *Ring[T]) Len() int {
	head := r.head.Load()
	return int(r.tail.Load() - head)
}

// Cap is the number of slots.
func (r *Ring[T]) Cap() int { return len(r.slots) }
