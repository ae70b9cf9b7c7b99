// Package timerwheel implements a hierarchical timing wheel for many short timers
// (G. Varghese and T. Lauck, "Hashed and hierarchical timing wheels", 1987).
// Setting and stopping a timer takes constant time, and the next expiry is found
// from one occupancy bitmap per level. The wheel has no clock of its own.
package timerwheel

import (
	"math/bits"
	"time"
)

const (
	// Tick is the resolution: a timer fires at the first tick not before its time.
	Tick          = time.Millisecond
	slotBits      = 6
	slotsPerLevel = 1 << slotBits
	levels        = 7         // 64^7 ticks: over a hundred years
	none          = int32(-1) // no entry or no list
)

// Lists beside those of the slots.
const (
	dueList    = levels*slotsPerLevel + iota // timers that are already due
	firingList                               // timers that the current Advance fires
	listCount
)

// Handle identifies a timer that was set. The zero Handle identifies none.
type Handle struct {
	index      int32 // index of the entry, from 1
	generation uint32
}

// entry is one timer, linked into the list of its slot.
type entry[T any] struct {
	value      T
	expiry     uint64 // in ticks
	generation uint32 // number of timers that have used this entry
	prev, next int32
	list       int32 // the list that holds the entry, or none
}

// Wheel is a set of timers that each carry a value. It is not safe for
// concurrent use.
type Wheel[T any] struct {
	base     time.Duration // time of tick 0
	elapsed  uint64        // current tick
	occupied [levels]uint64
	heads    [listCount]int32
	tails    [listCount]int32
	entries  []entry[T]
	free     []int32
	len      int
}

// New returns an empty wheel whose current time is now.
func New[T any](now time.Duration) *Wheel[T] {
	w := &Wheel[T]{base: now}
	for i := range w.heads {
		w.heads[i], w.tails[i] = none, none
	}
	return w
}

// Len returns the number of timers that are set.
func (w *Wheel[T]) Len() int { return w.len }

// Set starts a timer that expires at the given time and carries value.
func (w *Wheel[T]) Set(at time.Duration, value T) Handle {
	var index int32
	if n := len(w.free); n > 0 {
		index, w.free = w.free[n-1], w.free[:n-1]
	} else {
		index = int32(len(w.entries))
		w.entries = append(w.entries, entry[T]{})
	}
	e := &w.entries[index]
	e.value, e.expiry = value, 0
	if at > w.base {
		e.expiry = uint64((at - w.base + Tick - 1) / Tick)
	}
	e.generation++
	w.link(index)
	w.len++
	return Handle{index + 1, e.generation}
}

// Stop cancels a timer. It returns false if the timer has fired or was stopped before.
func (w *Wheel[T]) Stop(h Handle) bool {
	if h.index == 0 || w.entries[h.index-1].generation != h.generation || w.entries[h.index-1].list == none {
		return false
	}
	w.unlink(h.index - 1)
	w.release(h.index - 1)
	return true
}

// release returns an unlinked entry to the free list.
func (w *Wheel[T]) release(index int32) {
	var zero T
	w.entries[index].value = zero
	w.free = append(w.free, index)
	w.len--
}

// link appends an entry to the list of the slot that its expiry falls into, or to dueList.
func (w *Wheel[T]) link(index int32) {
	e := &w.entries[index]
	list := int32(dueList)
	if e.expiry > w.elapsed {
		level := min((bits.Len64(w.elapsed^e.expiry)-1)/slotBits, levels-1)
		slot := int(e.expiry>>(level*slotBits)) & (slotsPerLevel - 1)
		list = int32(level*slotsPerLevel + slot)
		w.occupied[level] |= 1 << slot
	}
	w.appendTo(list, index)
}

// appendTo appends an unlinked entry to a list.
func (w *Wheel[T]) appendTo(list, index int32) {
	e := &w.entries[index]
	e.list, e.next, e.prev = list, none, w.tails[list]
	if e.prev != none {
		w.entries[e.prev].next = index
	} else {
		w.heads[list] = index
	}
	w.tails[list] = index
}

// unlink removes an entry from its list.
func (w *Wheel[T]) unlink(index int32) {
	e := &w.entries[index]
	if e.prev != none {
		w.entries[e.prev].next = e.next
	} else {
		w.heads[e.list] = e.next
	}
	if e.next != none {
		w.entries[e.next].prev = e.prev
	} else {
		w.tails[e.list] = e.prev
	}
	if w.heads[e.list] == none && e.list < dueList {
		w.occupied[e.list/slotsPerLevel] &^= 1 << (e.list % slotsPerLevel)
	}
	e.list = none
}

// firstOccupied finds the first occupied slot: its level, its list and the tick at which it begins.
func (w *Wheel[T]) firstOccupied() (level int, list int32, tick uint64, ok bool) {
	for level = range levels {
		if w.occupied[level] == 0 {
			continue
		}
		shift := level * slotBits
		current := int(w.elapsed>>shift) & (slotsPerLevel - 1)
		distance := bits.TrailingZeros64(bits.RotateLeft64(w.occupied[level], -current))
		return level, int32(level*slotsPerLevel + (current+distance)%slotsPerLevel), (w.elapsed>>shift + uint64(distance)) << shift, true
	}
	return 0, 0, 0, false
}

// Next returns a time before which no timer fires: the current time if a timer is
// already due, else the start of the first occupied slot. If the slot covers
// several ticks, its timers may expire later; Advance then moves them to finer
// slots, and Next returns a later time. It returns false if no timer is set.
func (w *Wheel[T]) Next() (time.Duration, bool) {
	if w.heads[dueList] != none {
		return w.base + time.Duration(w.elapsed)*Tick, true
	}
	_, _, tick, ok := w.firstOccupied()
	return w.base + time.Duration(tick)*Tick, ok
}

// Advance moves the current time to now and calls fire for each timer that is
// due, tick by tick, and within a tick in the order in which they were set.
// A due timer that fire stops does not fire. Timers set by fire are handled by
// the next call.
func (w *Wheel[T]) Advance(now time.Duration, fire func(T)) {
	until := w.elapsed
	if now > w.base {
		until = max(until, uint64((now-w.base)/Tick))
	}
	w.expire(dueList)
	for {
		level, list, tick, ok := w.firstOccupied()
		if !ok || tick > until {
			break
		}
		w.elapsed = max(w.elapsed, tick)
		if level == 0 {
			w.expire(list)
			continue
		}
		for index := w.heads[list]; index != none; index = w.heads[list] { // move the slot's timers to finer slots
			w.unlink(index)
			w.link(index)
		}
		w.expire(dueList)
	}
	w.elapsed = until
	for index := w.heads[firingList]; index != none; index = w.heads[firingList] {
		value := w.entries[index].value
		w.unlink(index)
		w.release(index)
		fire(value)
	}
}

// expire moves the timers of a list to firingList.
func (w *Wheel[T]) expire(list int32) {
	for index := w.heads[list]; index != none; index = w.heads[list] {
		w.unlink(index)
		w.appendTo(firingList, index)
	}
}
