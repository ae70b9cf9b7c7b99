package brain

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func BenchmarkZone(b *testing.B) {
	set := Settings{Seed: 1, Self: 0, Controllers: 36, MaxAttempts: 6, ReleaseWait: 294 * time.Millisecond, Cancelling: true, DrainGrace: 250 * time.Millisecond, Backoff: true, BackoffMax: 2 * time.Second, Tick: time.Millisecond, Advice: true, MarksRepeat: true, ColdFrom: .29, ColdFor: 13 * time.Second, OverloadFactor: 2.5, OverloadFor: 3 * time.Second,
		Classes: []Class{{Name: "a", Worth: 1, LateWorth: .1, Aim: 1180 * time.Millisecond, GiveUp: 2810 * time.Millisecond, Holding: 4 * time.Second, Width: 1}, {Name: "b", Worth: 2, LateWorth: .25, Aim: 1470 * time.Millisecond, GiveUp: 2810 * time.Millisecond, Holding: 6 * time.Second, Width: 2}, {Name: "c", Worth: 6, LateWorth: .1, Aim: 980 * time.Millisecond, GiveUp: 1880 * time.Millisecond, Holding: 2 * time.Second, Width: 1}}}
	k := New(set)
	var rows []Exchange
	for i := range 36 {
		s := In
		if i%4 == 1 {
			s = Out
		}
		rows = append(rows, Exchange{ID: uint32(i + 1), Cell: i, State: s})
	}
	now := time.Hour
	k.Handle(now, Exchanges{Complete: true, Entries: rows})
	for i := range 36 {
		k.Handle(now, Circuits{Exchange: uint32(i + 1), OK: true, Report: Report{Known: true, Free: 20, Size: 20}})
	}
	r := rand.New(rand.NewPCG(1, 2))
	type ev struct {
		at time.Duration
		e  Event
	}
	var pend []ev
	n, q := 0, 0
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		now += 2500 * time.Microsecond
		for len(pend) > 0 && pend[0].at <= now {
			e := pend[0].e
			pend = pend[1:]
			k.Handle(now, e)
		}
		acts := k.Handle(now, Call{ID: fmt.Sprint(i), Class: r.IntN(3), Left: 1880 * time.Millisecond, Dest: 1 + r.IntN(35), Width: 1, Through: -1, Numbered: true, Number: r.Uint64()})
		for _, a := range acts {
			if s, ok := a.(Send); ok {
				pend = append(pend, ev{now + 20*time.Millisecond, Standing{ID: s.ID, Exchange: s.Exchange, After: 20 * time.Millisecond}})
			}
		}
		n++
		q += len(k.queue)
	}
	b.ReportMetric(float64(q)/float64(n), "queue")
}
