package virtual

import (
	"slices"
	"testing"
	"time"

	"dahliaspindle/internal/settings"
)

// setUpTimes returns the set-up times of one run without the calls that start or end
// at the stalled exchange. The stalled exchange is the one that a trouble affects, or
// the given one in a run without troubles.
func setUpTimes(t testing.TB, seed uint64, load float64, stalled int, troubles ...settings.Trouble) (times []time.Duration, stalledExchange int) {
	t.Helper()
	scenario := loadScenario(t, "bad-day")
	scenario.Seed, scenario.Length, scenario.Troubles, scenario.Load.Level = seed, 32*time.Second, troubles, load
	result, err := Run(scenario, Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, trouble := range result.Troubles() {
		stalled = int(trouble.Description[len(trouble.Description)-1] - '0')
	}
	for _, call := range result.Callers.Calls {
		if firstAttempt := result.FirstAttemptTime(call); call.SetUpTime > 0 &&
			call.Source != stalled && call.Dest != stalled &&
			firstAttempt > 2*time.Second && firstAttempt < 31*time.Second {
			times = append(times, call.SetUpTime)
		}
	}
	return times, stalled
}

// percentile99 sorts times and returns their 99th percentile.
func percentile99(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)*99/100]
}

// An exchange that reads nothing for 30 s in a loaded network must not delay other
// calls: the p99 set-up time of the calls that neither start nor end there stays
// within 1.5 times that of the same runs without the fault. The runs are evaluated
// together, because the p99 of a single run changes up to fivefold with a
// microsecond of hop delay where circuits run out now and then.
func TestStalledReaderOnLoadedFleet(t *testing.T) {
	var with, without []time.Duration
	for seed := uint64(1); seed <= 16; seed++ {
		stalledTimes, stalled := setUpTimes(t, seed, 0.8, -1, settings.Trouble{Kind: "stalled-reader", At: time.Second, Duration: 30 * time.Second, Size: 0.01})
		otherTimes, _ := setUpTimes(t, seed, 0.8, stalled)
		with, without = append(with, stalledTimes...), append(without, otherTimes...)
	}
	p99With, p99Without := percentile99(with), percentile99(without)
	t.Logf("p99 set-up time %v of %d calls, without the fault %v of %d", p99With, len(with), p99Without, len(without))
	if len(with) < 20000 || float64(p99With) > 1.5*float64(p99Without) {
		t.Errorf("p99 set-up time %v of %d calls, without the fault %v", p99With, len(with), p99Without)
	}
}
