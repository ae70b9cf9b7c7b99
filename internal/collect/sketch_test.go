package collect

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Compared with exact counts, no count of the sketch is too low or too high by more
// than its own maximum error or total/size, and every key above total/size is listed.
func TestSketchErrorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "size")
		sketch, exact, total := NewSketch(size), map[string]uint64{}, uint64(0)
		zipf := rand.NewZipf(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), 1.3, 2, 200)
		for range rapid.IntRange(0, 2000).Draw(t, "adds") {
			key, weight := fmt.Sprint(zipf.Uint64()), 1+zipf.Uint64()%3
			sketch.Add(key, weight)
			exact[key] += weight
			total += weight
		}
		top, bound := sketch.Top(size)
		listed := map[string]bool{}
		for _, entry := range top {
			listed[entry.Key] = true
			if entry.Count < exact[entry.Key] || entry.Count-entry.MaxError > exact[entry.Key] || entry.Count-exact[entry.Key] > bound {
				t.Fatalf("key %s: count %d (maximum error %d, error bound %d), exact count %d", entry.Key, entry.Count, entry.MaxError, bound, exact[entry.Key])
			}
		}
		for key, count := range exact {
			if count > total/uint64(size) && !listed[key] {
				t.Fatalf("key %s with a count of %d of %d is not listed", key, count, total)
			}
		}
	})
}

// zipfKeys returns keys drawn from a Zipf distribution.
func zipfKeys(count int) []string {
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.1, 10, 1<<20)
	drawn := make([]string, count)
	for i := range drawn {
		drawn[i] = fmt.Sprint(zipf.Uint64())
	}
	return drawn
}

func BenchmarkSketch(b *testing.B) {
	keys := zipfKeys(1 << 16)
	sketch := NewSketch(1024)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sketch.Add(keys[i&(1<<16-1)], 1)
	}
}

func BenchmarkExactCounts(b *testing.B) {
	keys := zipfKeys(1 << 16)
	counts := map[string]uint64{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		counts[keys[i&(1<<16-1)]]++
	}
}
