package virtual

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceHeap is the reference: container/heap over the same entries.
type referenceHeap []entry

func (p referenceHeap) Len() int           { return len(p) }
func (p referenceHeap) Less(i, j int) bool { return p[i].before(&p[j]) }
func (p referenceHeap) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *referenceHeap) Push(x any)        { *p = append(*p, x.(entry)) }
func (p *referenceHeap) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// Whatever is put in and taken out: the order is that of the plain heap, ties by their making.
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
				eventTime, do := q.pop()
				do()
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

// The hold model: one taken, one put back later, over a queue of a size that a fleet has.
func BenchmarkQueue(b *testing.B) {
	const size = 50000
	nothing := func() {}
	b.Run("four branches", func(b *testing.B) {
		rnd := rand.New(rand.NewPCG(1, 1))
		var q queue
		for range size {
			q.push(time.Duration(rnd.Int64N(1e10)), nothing)
		}
		b.ReportAllocs()
		for b.Loop() {
			at, do := q.pop()
			q.push(at+time.Duration(rnd.ExpFloat64()*1e9), do)
		}
	})
	b.Run("container heap", func(b *testing.B) {
		rnd := rand.New(rand.NewPCG(1, 1))
		var reference referenceHeap
		seq := uint64(0)
		for range size {
			seq++
			heap.Push(&reference, entry{time.Duration(rnd.Int64N(1e10)), seq, nothing})
		}
		b.ReportAllocs()
		for b.Loop() {
			e := heap.Pop(&reference).(entry)
			seq++
			heap.Push(&reference, entry{e.at + time.Duration(rnd.ExpFloat64()*1e9), seq, e.callback})
		}
	})
}
