package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

func init() { cases["older-list"] = olderList }

// olderList: two exchanges drain in turn, and the controller is told. Some seconds later the resolver's
// answers bring an older list for a while; with SHARE=0.5, for 8 s that share of them does, at random. Rule: nothing new goes to an exchange later than 250 ms + 50 ms
// after the controller was told that it drains.
func olderList(w *world) int {
	const (
		grace = 300 * time.Millisecond  // drain_grace_ms of the site and the 50 ms of the protocol page
		spell = 1500 * time.Millisecond // the answers bring an older list; the page lets no answer come for 3 s
	)
	w.offer(40, func(r *rand.Rand) int { return 1 + r.IntN(5) })
	time.Sleep(5 * time.Second)
	type drain struct {
		x    *exchange
		told time.Time
	}
	var drains []drain
	for _, cell := range []int{2, 4} {
		x := w.exchanges[cell]
		before := w.resolver.latest()
		event := w.resolver.publish(func(entries []listEntry) []listEntry {
			entries[cell].draining = true
			return entries
		})
		w.rec.say("%s drains: event %d", x.name, event.serial)
		time.Sleep(2 * time.Second)
		told := w.resolver.told(event)
		if told.IsZero() {
			w.rec.say("the controller did not ask the resolver for 2 s")
			return failed
		}
		drains = append(drains, drain{x, told})
		time.Sleep(2 * time.Second)
		if w.trouble {
			length, share := spell, 1.0
			if s, err := strconv.ParseFloat(os.Getenv("SHARE"), 64); err == nil {
				length, share = 8*time.Second, s
			}
			until := time.Now().Add(length)
			w.resolver.setOlder(func() *version {
				if time.Now().Before(until) && w.random.Float64() < share {
					return before
				}
				return nil
			})
			w.rec.say("for %v a share of %.2f of the answers brings the list of event %d", length, share, before.serial)
		}
		time.Sleep(8 * time.Second)
	}
	code := held
	for _, d := range drains {
		d.x.mu.Lock()
		late, first, last := 0, time.Duration(0), time.Duration(0)
		for _, a := range d.x.arrivals {
			after := a.firstAt.Sub(d.told) - w.exchanges[0].proxy.oneWay // when it was sent
			if after <= grace {
				continue
			}
			if late++; late == 1 {
				first = after
			}
			last = after
			w.rec.logf("late: set-up %s was sent to %s %v after the controller was told that it drains", a.callID, d.x.name, after.Round(time.Millisecond))
		}
		total := len(d.x.arrivals)
		d.x.mu.Unlock()
		w.rec.say("%s: %d set-ups, %d of them sent over %v after the controller was told of the drain (%v to %v after it)", d.x.name, total, late,
			grace, first.Round(time.Millisecond), last.Round(time.Millisecond))
		if total == 0 {
			return failed
		}
		if late > 0 {
			code = broken
		}
	}
	return code
}
