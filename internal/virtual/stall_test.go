package virtual

import (
	"slices"
	"testing"
	"time"

	"dahliaspindle/internal/settings"
)

// setUpTimes is how long the set-ups setUpTimes, on one day, that no hit exchange is an end of.
func setUpTimes(t testing.TB, seed uint64, load float64, spared int, troubles ...settings.Trouble) (all []time.Duration, hit int) {
	t.Helper()
	scn := loadScenario(t, "bad-day")
	scn.Seed, scn.Length, scn.Troubles, scn.Load.Level = seed, 32*time.Second, troubles, load
	d, err := Run(scn, Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, seen := range d.Troubles() {
		spared = int(seen.Description[len(seen.Description)-1] - '0')
	}
	for _, k := range d.Callers.Calls {
		if at := d.FirstAttemptTime(k); k.SetUpTime > 0 && k.Source != spared && k.Dest != spared && at > 2*time.Second && at < 31*time.Second {
			all = append(all, k.SetUpTime)
		}
	}
	return all, spared
}

func percentile99(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)*99/100]
}

// An exchange that reads nothing for 30 s on a loaded fleet: p99 of the calls
// that it is no end of stays within 1.5 times that of the same days without.
// Days are taken together: where circuits run out now and then, p99 of a single
// day changes up to fivefold for a microsecond in the wires.
func TestStalledReaderOnLoadedFleet(t *testing.T) {
	var with, without []time.Duration
	for seed := uint64(1); seed <= 16; seed++ {
		w, hit := setUpTimes(t, seed, 0.8, -1, settings.Trouble{Kind: "stalled-reader", At: time.Second, Duration: 30 * time.Second, Size: 0.01})
		o, _ := setUpTimes(t, seed, 0.8, hit)
		with, without = append(with, w...), append(without, o...)
	}
	a, b := percentile99(with), percentile99(without)
	t.Logf("p99 %v of %d calls, without the stalled one %v of %d", a, len(with), b, len(without))
	if len(with) < 20000 || float64(a) > 1.5*float64(b) {
		t.Errorf("p99 %v of %d calls, without the stalled one %v", a, len(with), b)
	}
}
