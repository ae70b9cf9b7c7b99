// Package ring passes values from one goroutine to another without a lock. It
// is a bounded single-producer, single-consumer ring buffer. Each side caches
// the other side's position, so that a usual Put or Take accesses one shared
// variable only.
package ring

import "sync/atomic"

// cacheLinePad keeps variables that different cores write on separate cache lines.
type cacheLinePad [64]byte

// Ring is a ring buffer whose capacity is a power of two. One goroutine at a
// time may call Put, and one other at a time Take.
type Ring[T any] struct {
	slots      []T
	mask       uint64
	_          cacheLinePad
	tail       atomic.Uint64 // position of the next Put
	cachedHead uint64        // the producer's copy of head
	_          cacheLinePad
	head       atomic.Uint64 // position of the next Take
	cachedTail uint64        // the consumer's copy of tail
	_          cacheLinePad
}

// New returns a ring with at least minSlots slots, rounded up to a power of two.
func New[T any](minSlots int) *Ring[T] {
	size := 1
	for size < minSlots {
		size <<= 1
	}
	return &Ring[T]{slots: make([]T, size), mask: uint64(size - 1)}
}

// Put copies a value into the ring. It returns false if the ring is full.
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

// Take removes the oldest value and copies it to value. It returns false if the
// ring is empty.
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

// Len returns the number of values in the ring at some moment during the call.
func (r *Ring[T]) Len() int {
	head := r.head.Load()
	return int(r.tail.Load() - head)
}

// Cap returns the number of slots.
func (r *Ring[T]) Cap() int { return len(r.slots) }
