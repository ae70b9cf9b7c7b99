package ring

import (
	"runtime"
	"testing"

	"github.com/puzpuzpuz/xsync/v4"

	"dahliaspindle/internal/flow"
)

func TestInOrderNothingLostNothingTwice(t *testing.T) {
	r := New[flow.Record](64)
	const n = 200000
	done := make(chan int)
	go func() {
		full := 0
		for i := uint64(1); i <= n; {
			if r.Put(&flow.Record{Seq: i, CalledNumber: ^i, Context: uint32(i)}) {
				i++
			} else {
				full++
				runtime.Gosched()
			}
		}
		done <- full
	}()
	var v flow.Record
	for want := uint64(1); want <= n; {
		if !r.Take(&v) {
			runtime.Gosched()
			continue
		}
		if v.Seq != want || v.CalledNumber != ^want || v.Context != uint32(want) {
			t.Fatalf("took %d (%x), want %d", v.Seq, v.CalledNumber, want)
		}
		want++
	}
	<-done
	if r.Take(&v) || r.Len() != 0 {
		t.Fatal("something is left")
	}
}

func TestFullRingRefusesAndKeeps(t *testing.T) {
	r := New[int](3) // four slots
	for i := range 4 {
		if !r.Put(&i) {
			t.Fatalf("refused %d", i)
		}
	}
	if x := 9; r.Put(&x) || r.Len() != 4 || r.Cap() != 4 {
		t.Fatal("takes a fifth")
	}
	var v int
	for i := range 4 {
		if !r.Take(&v) || v != i {
			t.Fatalf("took %d, want %d", v, i)
		}
	}
}

func TestNoAllocation(t *testing.T) {
	r := New[flow.Record](1024)
	rec := &flow.Record{VerdictReason: "no circuit free"}
	var v flow.Record
	if n := testing.AllocsPerRun(1000, func() { r.Put(rec); r.Take(&v) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

// pass measures one producer and one consumer on two goroutines.
func pass(b *testing.B, put func(*flow.Record) bool, take func(*flow.Record) bool) {
	b.ReportAllocs()
	done := make(chan struct{})
	n := b.N
	go func() {
		defer close(done)
		var v flow.Record
		for i := 0; i < n; {
			if take(&v) {
				i++
			} else {
				runtime.Gosched()
			}
		}
	}()
	rec := &flow.Record{}
	b.ResetTimer()
	for i := 0; i < n; {
		rec.Seq = uint64(i)
		if put(rec) {
			i++
		} else {
			runtime.Gosched()
		}
	}
	<-done
}

const slots = 16384

func BenchmarkRing(b *testing.B) {
	r := New[flow.Record](slots)
	pass(b, r.Put, r.Take)
}

func BenchmarkChannel(b *testing.B) {
	c := make(chan flow.Record, slots)
	pass(b, func(r *flow.Record) bool {
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
	q := xsync.NewSPSCQueue[flow.Record](slots)
	pass(b, func(r *flow.Record) bool { return q.TryEnqueue(*r) }, func(r *flow.Record) bool {
		v, ok := q.TryDequeue()
		*r = v
		return ok
	})
}

func BenchmarkXsyncMPMC(b *testing.B) {
	q := xsync.NewMPMCQueue[flow.Record](slots)
	pass(b, func(r *flow.Record) bool { return q.TryEnqueue(*r) }, func(r *flow.Record) bool {
		v, ok := q.TryDequeue()
		*r = v
		return ok
	})
}
