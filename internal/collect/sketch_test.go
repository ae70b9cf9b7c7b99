package collect

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// The sketch's promise, against exact counts: no count is too low, none too high
// by more than its own bound or n/size, and every key above n/size is there.
func TestSketchKeepsItsPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "size")
		s, exact, n := NewSketch(size), map[string]uint64{}, uint64(0)
		z := rand.NewZipf(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), 1.3, 2, 200)
		for range rapid.IntRange(0, 2000).Draw(t, "adds") {
			k, w := fmt.Sprint(z.Uint64()), 1+z.Uint64()%3
			s.Add(k, w)
			exact[k] += w
			n += w
		}
		top, bound := s.Top(size)
		in := map[string]bool{}
		for _, x := range top {
			in[x.Key] = true
			if x.Count < exact[x.Key] || x.Count-x.MaxError > exact[x.Key] || x.Count-exact[x.Key] > bound {
				t.Fatalf("%s: %d (over %d, bound %d), exactly %d", x.Key, x.Count, x.MaxError, bound, exact[x.Key])
			}
		}
		for k, c := range exact {
			if c > n/uint64(size) && !in[k] {
				t.Fatalf("%s has %d of %d and is not there", k, c, n)
			}
		}
	})
}

func keys(n int) []string {
	z := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.1, 10, 1<<20)
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprint(z.Uint64())
	}
	return all
}

func BenchmarkSketch(b *testing.B) {
	k := keys(1 << 16)
	s := NewSketch(1024)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Add(k[i&(1<<16-1)], 1)
	}
}

func BenchmarkExactCounts(b *testing.B) {
	k := keys(1 << 16)
	m := map[string]uint64{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m[k[i&(1<<16-1)]]++
	}
}
