package virtual

import (
	"slices"
	"testing"
	"time"

	"dahliaspindle/internal/settings"
)

// took is how long the set-ups took, on one day, that no hit exchange is an end of.
func took(t testing.TB, seed uint64, load float64, spared int, troubles ...settings.Trouble) (all []time.Duration, hit int) {
	t.Helper()
	scn := scenario(t, "bad-day")
	scn.Seed, scn.Length, scn.Troubles, scn.Load.Level = seed, 32*time.Second, troubles, load
	d, err := Run(scn, Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, seen := range d.Seen() {
		spared = int(seen.What[len(seen.What)-1] - '0')
	}
	for _, k := range d.Crowd.Calls {
		if at := d.Since(k); k.Stood > 0 && k.From != spared && k.Dest != spared && at > 2*time.Second && at < 31*time.Second {
			all = append(all, k.Stood)
		}
	}
	return all, spared
}

func p99(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)*99/100]
}

// An exchange that reads nothing for 30 s on a loaded fleet: p99 of the calls
// that it is no end of stays within 1.5 times that of the same days without.
// Days are taken together: where circuits run out now and then, p99 of a single
// day changes up to fivefold for a microsecond in the wires.
func TestStalledReaderOnALoadedFleet(t *testing.T) {
	var with, without []time.Duration
	for seed := uint64(1); seed <= 16; seed++ {
		w, hit := took(t, seed, 0.8, -1, settings.Trouble{Kind: "stalled-reader", At: time.Second, Duration: 30 * time.Second, Size: 0.01})
		o, _ := took(t, seed, 0.8, hit)
		with, without = append(with, w...), append(without, o...)
	}
	a, b := p99(with), p99(without)
	t.Logf("p99 %v of %d calls, without the stalled one %v of %d", a, len(with), b, len(without))
	if len(with) < 20000 || float64(a) > 1.5*float64(b) {
		t.Errorf("p99 %v of %d calls, without the stalled one %v", a, len(with), b)
	}
}
