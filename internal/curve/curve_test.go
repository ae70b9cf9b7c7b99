package curve

import (
	"crypto/sha256"
	"errors"
	"math"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	"dahliaspindle/internal/measure"
)

const day = 24 * time.Hour

var start = time.Duration(time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC).UnixNano())

// generateAttempts returns calls with a mean holding time of 90 s and a traffic that
// depends on the hour.
func generateAttempts(from, to time.Duration, incarnation uint64, seed uint64, erlang func(hour float64) float64) []measure.CallAttempt {
	random := rand.New(rand.NewPCG(seed, 1))
	var attempts []measure.CallAttempt
	for at := from; at < to; {
		traffic := erlang(math.Mod((at - start).Hours(), 24))
		at += time.Duration(random.ExpFloat64() * 90 / max(traffic, 0.01) * 1e9)
		attempt := measure.CallAttempt{
			Start:          at,
			Source:         1,
			Dest:           2,
			Circuits:       1,
			Number:         random.Uint64(),
			Incarnation:    incarnation,
			EstablishedFor: time.Duration(random.ExpFloat64() * 90e9),
		}
		if attempt.Start+attempt.EstablishedFor <= to {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

func openStore(t *testing.T, path string) *Store {
	t.Helper()
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func slotsOf(t *testing.T, s *Store, step time.Duration) []Slot {
	t.Helper()
	series, err := s.ReadSeries(step, 0, math.MaxInt64, func(Key) bool { return true })
	if err != nil || len(series) != 1 || series[0].Class != "fetch" {
		t.Fatalf("%+v, %v", series, err)
	}
	return series[0].Slots
}

var classNames = map[uint8]string{0: "fetch"}

// Two days with a gap, with the store closed and reopened in between: each hour has
// its traffic, each day the observed time of its quarters, the gap has no slots, and
// the busy hour has the most traffic. A file of records counts only once.
func TestCurveOfDays(t *testing.T) {
	path := filepath.Join(t.TempDir(), "curve")
	dailyTraffic := func(hour float64) float64 { return 10 + 8*math.Sin((hour-8)*math.Pi/12) } // maximum at 14:00
	s := openStore(t, path)
	attempts := generateAttempts(start, start+14*time.Hour, 1, 1, dailyTraffic)
	if err := s.Add(sha256.Sum256([]byte("one")), attempts, measure.Options{}, classNames); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = openStore(t, path)
	defer s.Close()
	if err := s.Add(sha256.Sum256([]byte("one")), attempts, measure.Options{}, classNames); !errors.Is(err, ErrDuplicate) {
		t.Fatalf("adding the same file again: got %v, want ErrDuplicate", err)
	}
	if err := s.Add(sha256.Sum256([]byte("two")), generateAttempts(start+20*time.Hour, start+2*day, 2, 2, dailyTraffic), measure.Options{}, classNames); err != nil {
		t.Fatal(err)
	}
	hours := slotsOf(t, s, time.Hour)
	hasSlot := map[int]bool{}
	for _, slot := range hours {
		hour := int((slot.Begin - start) / time.Hour)
		hasSlot[hour] = true
		traffic, ok := slot.Erlang()
		want := (dailyTraffic(math.Mod(float64(hour), 24)) + dailyTraffic(math.Mod(float64(hour)+1, 24))) / 2
		if slot.ObservedSeconds > 3500 && (!ok || math.Abs(traffic-want) > 5*math.Sqrt(2*want*90/3600)) {
			t.Errorf("hour %d: %.2f erlang, want %.2f", hour, traffic, want)
		}
	}
	for n := range 48 {
		if gap := n >= 14 && n < 20; hasSlot[n] == gap {
			t.Errorf("hour %d: has a slot: %v", n, hasSlot[n])
		}
	}
	quarters, observedSeconds := slotsOf(t, s, 15*time.Minute), 0.0
	for _, quarter := range quarters {
		observedSeconds += quarter.ObservedSeconds
	}
	days := slotsOf(t, s, day)
	if len(days) != 2 || math.Abs(days[0].ObservedSeconds+days[1].ObservedSeconds-observedSeconds) > 1e-6 || days[0].ObservedSeconds > 18*3600 {
		t.Errorf("days %+v, %v s observed in quarters", days, observedSeconds)
	}
	series, err := s.ReadSeries(time.Hour, 0, math.MaxInt64, func(Key) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	busiest := BusiestSlots(series)
	if len(busiest) != 2 || busiest[1].Begin < start+day+11*time.Hour || busiest[1].Begin > start+day+16*time.Hour {
		t.Errorf("busiest slots %+v", busiest)
	}
}

// Old quarters are deleted, days are kept. A file with a different name for a known
// class is rejected as a whole.
func TestRetention(t *testing.T) {
	s := openStore(t, filepath.Join(t.TempDir(), "curve"))
	defer s.Close()
	constantTraffic := func(float64) float64 { return 5 }
	for i, at := range []time.Duration{start, start + 40*day, start + 130*day} {
		if err := s.Add(sha256.Sum256([]byte{byte(i)}), generateAttempts(at, at+2*time.Hour, uint64(i), 3, constantTraffic), measure.Options{}, classNames); err != nil {
			t.Fatal(err)
		}
	}
	if q, h, d := len(slotsOf(t, s, 15*time.Minute)), len(slotsOf(t, s, time.Hour)), len(slotsOf(t, s, day)); q != 8 || h != 4 || d != 3 {
		t.Errorf("%d quarters, %d hours, %d days are kept", q, h, d)
	}
	rejected := generateAttempts(start+131*day, start+131*day+time.Hour, 9, 3, constantTraffic)
	if err := s.Add(sha256.Sum256([]byte("x")), rejected, measure.Options{}, map[uint8]string{0: "other"}); err == nil {
		t.Error("added a class with two names")
	}
	if d := len(slotsOf(t, s, day)); d != 3 {
		t.Errorf("%d days after a rejected file, want 3", d)
	}
	if _, err := s.ReadSeries(time.Minute, 0, 1, nil); err == nil {
		t.Error("read slots of a minute")
	}
}

// Open fails for a file that is already open and for a directory.
func TestCurveOpen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "curve")
	s := openStore(t, path)
	defer s.Close()
	if _, err := Open(path); err == nil {
		t.Error("opened twice")
	}
	if _, err := Open(t.TempDir()); err == nil {
		t.Error("opened a directory")
	}
}
