package scene

import (
	"math"
	"time"

	"dahliaspindle/internal/standin/subscriber"
)

// settle is the time for links to come up before the first call, and for the
// last calls to end.
const settle = 1500 * time.Millisecond

// Begin starts the calls when the controllers know the list and their circuits.
func (w *Scene) Begin(progress func(time.Duration, int), end func()) {
	w.s.After(settle, func() {
		w.began = w.s.Now()
		w.next = w.began
		w.dialling = true
		w.dialNext()
		for i := range w.scn.Troubles {
			t := w.scn.Troubles[i]
			w.s.After(t.At, func() { w.trouble(t) })
		}
		var tick func()
		tick = func() {
			passed := w.s.Now() - w.began
			if progress != nil {
				progress(min(passed, w.scn.Length), len(w.Crowd.Calls))
			}
			if passed < w.scn.Length {
				w.s.After(200*time.Millisecond, tick)
			}
		}
		tick()
		w.s.After(w.scn.Length, func() {
			w.dialling = false
			var wait func()
			left := 15
			wait = func() { // until nobody waits for an answer any more
				if left--; left > 0 && w.unanswered() > 0 {
					w.s.After(200*time.Millisecond, wait)
					return
				}
				w.s.After(300*time.Millisecond, func() {
					w.Crowd.Over = true
					end()
				})
			}
			wait()
		})
	})
}

func (w *Scene) unanswered() int {
	n := 0
	for _, k := range w.Crowd.Calls {
		if k.Result == subscriber.None && k.Stood == 0 {
			n++
		}
	}
	return n
}

// dialNext lets calls come as a Poisson stream that waits for nobody: a timer
// that fires late makes one call late, not all that follow.
func (w *Scene) dialNext() {
	if !w.dialling {
		return
	}
	passed := (w.s.Now() - w.began).Seconds()
	rate := w.rate * w.scn.Load.Level * w.burst * (1 + w.scn.Load.Swing*math.Sin(passed/4))
	w.next += subscriber.Interval(w.rnd, rate)
	w.s.After(w.next-w.s.Now(), func() {
		if w.dialling {
			w.dial()
			w.dialNext()
		}
	})
}

func (w *Scene) dial() {
	n := w.scn.Fleet.Exchanges
	from := w.rnd.IntN(n)
	if w.flood > 0 && w.rnd.Float64() < w.flood {
		from = w.flooded
	}
	if w.hot > 0 && w.rnd.Float64() < w.hot && from != w.hotDest {
		w.Crowd.Dial(from, w.hotDest, HotNumber)
		return
	}
	x := w.rnd.Float64() * w.scn.Fleet.ErlangPerExchange
	for j, v := range w.weights[from] {
		if x -= v; x < 0 && j != from {
			w.Crowd.Dial(from, j, "")
			return
		}
	}
	w.Crowd.Dial(from, (from+1)%n, "")
}

// Seen lists the troubles that came.
func (w *Scene) Seen() []Seen { return w.seen }

// Since is when a call was first tried, counted from the day's begin.
func (w *Scene) Since(k *subscriber.Call) time.Duration { return k.At - w.began }
