package ring

import (
	"runtime"
	"testing"

	"github.com/puzpuzpuz/xsync/v4"

	"dahliaspindle/internal/flow"
)

func TestOrderedWithoutLossOrDuplicates(t *testing.T) {
	r := New[flow.Record](64)
	const n = 200000
	done := make(chan int)
	go func() {
		fullCount := 0
		for i := uint64(1); i <= n; {
			if r.Put(&flow.Record{Seq: i, CalledNumber: ^i, Context: uint32(i)}) {
				i++
			} else {
				fullCount++
				runtime.Gosched()
			}
		}
		done <- fullCount
	}()
	var record flow.Record
	for want := uint64(1); want <= n; {
		if !r.Take(&record) {
			runtime.Gosched()
			continue
		}
		if record.Seq != want || record.CalledNumber != ^want || record.Context != uint32(want) {
			t.Fatalf("took record %d with number %x, want record %d", record.Seq, record.CalledNumber, want)
		}
		want++
	}
	<-done
	if r.Take(&record) || r.Len() != 0 {
		t.Fatal("ring not empty after all records were taken")
	}
}

func TestFullRingRejectsAndKeepsValues(t *testing.T) {
	r := New[int](3) // four slots
	for i := range 4 {
		if !r.Put(&i) {
			t.Fatalf("Put of value %d failed", i)
		}
	}
	if value := 9; r.Put(&value) || r.Len() != 4 || r.Cap() != 4 {
		t.Fatal("full ring accepted a fifth value, or has a wrong length or capacity")
	}
	var taken int
	for i := range 4 {
		if !r.Take(&taken) || taken != i {
			t.Fatalf("took %d, want %d", taken, i)
		}
	}
}

func TestNoAllocation(t *testing.T) {
	r := New[flow.Record](1024)
	record := &flow.Record{VerdictReason: "no circuit free"}
	var taken flow.Record
	if allocs := testing.AllocsPerRun(1000, func() { r.Put(record); r.Take(&taken) }); allocs != 0 {
		t.Fatalf("%v allocations per Put and Take, want 0", allocs)
	}
}

// benchmarkQueue measures one producer and one consumer in two goroutines.
func benchmarkQueue(b *testing.B, put func(*flow.Record) bool, take func(*flow.Record) bool) {
	b.ReportAllocs()
	done := make(chan struct{})
	count := b.N
	go func() {
		defer close(done)
		var taken flow.Record
		for i := 0; i < count; {
			if take(&taken) {
				i++
			} else {
				runtime.Gosched()
			}
		}
	}()
	record := &flow.Record{}
	b.ResetTimer()
	for i := 0; i < count; {
		record.Seq = uint64(i)
		if put(record) {
			i++
		} else {
			runtime.Gosched()
		}
	}
	<-done
}

const capacity = 16384

func BenchmarkRing(b *testing.B) {
	r := New[flow.Record](capacity)
	benchmarkQueue(b, r.Put, r.Take)
}

func BenchmarkChannel(b *testing.B) {
	c := make(chan flow.Record, capacity)
	benchmarkQueue(b, func(r *flow.Record) bool {
		select {
		case c <- *r:
			return true
		default:
			return false
		}
	}, func(r *flow.Record) bool {
		select {
		case *r = <-c:
			return true
		default:
			return false
		}
	})
}

func BenchmarkXsyncSPSC(b *testing.B) {
	q := xsync.NewSPSCQueue[flow.Record](capacity)
	benchmarkQueue(b, func(r *flow.Record) bool { return q.TryEnqueue(*r) }, func(r *flow.Record) bool {
		v, ok := q.TryDequeue()
		*r = v
		return ok
	})
}

func BenchmarkXsyncMPMC(b *testing.B) {
	q := xsync.NewMPMCQueue[flow.Record](capacity)
	benchmarkQueue(b, func(r *flow.Record) bool { return q.TryEnqueue(*r) }, func(r *flow.Record) bool {
		v, ok := q.TryDequeue()
		*r = v
		return ok
	})
}
