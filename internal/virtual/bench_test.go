package virtual

import (
	"fmt"
	"testing"
	"time"
)

// Simulated seconds per second by number of exchanges, without troubles at load level 1.
func BenchmarkDay(b *testing.B) {
	for _, exchanges := range []int{7, 30, 80, 300} {
		b.Run(fmt.Sprint(exchanges), func(b *testing.B) {
			scenario := loadScenario(b, "bad-day")
			scenario.Length, scenario.Troubles, scenario.Load.Level = 4*time.Second, nil, 1
			scenario.Fleet.Exchanges = exchanges
			simulated, events, calls := 0.0, uint64(0), 0
			for b.Loop() {
				result, err := Run(scenario, Options{})
				if err != nil {
					b.Fatal(err)
				}
				simulated += result.Duration.Seconds()
				events += result.Events
				calls += len(result.Callers.Calls)
			}
			elapsed := b.Elapsed().Seconds()
			b.ReportMetric(simulated/elapsed, "simulated-s/s")
			b.ReportMetric(float64(events)/elapsed, "events/s")
			b.ReportMetric(float64(calls)/elapsed, "calls/s")
		})
	}
}
