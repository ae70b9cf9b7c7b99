package virtual

import (
	"fmt"
	"testing"
	"time"
)

// Simulated seconds a second, by the size of the fleet, on a quiet day at load 1.
func BenchmarkDay(b *testing.B) {
	for _, n := range []int{7, 30, 80, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			scn := loadScenario(b, "bad-day")
			scn.Length, scn.Troubles, scn.Load.Level = 4*time.Second, nil, 1
			scn.Fleet.Exchanges = n
			passed, events, calls := 0.0, uint64(0), 0
			for b.Loop() {
				d, err := Run(scn, Options{})
				if err != nil {
					b.Fatal(err)
				}
				passed += d.Duration.Seconds()
				events += d.Events
				calls += len(d.Callers.Calls)
			}
			s := b.Elapsed().Seconds()
			b.ReportMetric(passed/s, "simulated-s/s")
			b.ReportMetric(float64(events)/s, "events/s")
			b.ReportMetric(float64(calls)/s, "calls/s")
		})
	}
}
