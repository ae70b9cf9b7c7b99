package virtual

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceHeap implements heap.Interface with the same entries, as a reference.
type referenceHeap []entry

func (h referenceHeap) Len() int           { return len(h) }
func (h referenceHeap) Less(i, j int) bool { return h[i].before(&h[j]) }
func (h referenceHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *referenceHeap) Push(x any)        { *h = append(*h, x.(entry)) }
func (h *referenceHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// The queue returns events in the order of container/heap for any sequence of pushes
// and pops, with ties in order of creation.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue
		var reference referenceHeap
		got := -1
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			if len(reference) > 0 && rapid.Bool().Draw(t, "pop") {
				want := heap.Pop(&reference).(entry)
				if q.next() != want.at {
					t.Fatalf("next %v, want %v", q.next(), want.at)
				}
				eventTime, callback := q.pop()
				callback()
				if eventTime != want.at || got != int(want.sequence)-1 || q.len() != len(reference) {
					t.Fatalf("popped %v number %d, want %v number %d", eventTime, got, want.at, want.sequence-1)
				}
				continue
			}
			at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at"))
			number := int(q.lastSequence)
			q.push(at, func() { got = number })
			heap.Push(&reference, entry{at: at, sequence: q.lastSequence})
		}
	})
}

// Hold model: each step removes the first event and adds a later one, with as many
// pending events as a large simulation has.
func BenchmarkQueue(b *testing.B) {
	const size = 50000
	noop := func() {}
	b.Run("four branches", func(b *testing.B) {
		random := rand.New(rand.NewPCG(1, 1))
		var q queue
		for range size {
			q.push(time.Duration(random.Int64N(1e10)), noop)
		}
		b.ReportAllocs()
		for b.Loop() {
			at, callback := q.pop()
			q.push(at+time.Duration(random.ExpFloat64()*1e9), callback)
		}
	})
	b.Run("container heap", func(b *testing.B) {
		random := rand.New(rand.NewPCG(1, 1))
		var reference referenceHeap
		sequence := uint64(0)
		for range size {
			sequence++
			heap.Push(&reference, entry{time.Duration(random.Int64N(1e10)), sequence, noop})
		}
		b.ReportAllocs()
		for b.Loop() {
			first := heap.Pop(&reference).(entry)
			sequence++
			heap.Push(&reference, entry{first.at + time.Duration(random.ExpFloat64()*1e9), sequence, first.callback})
		}
	})
}
