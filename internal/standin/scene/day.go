package scene

import (
	"math"
	"time"

	"dahliaspindle/internal/standin/subscriber"
)

// settleTime is the time for links to come up before the first call, and for the
// last calls to end.
const settleTime = 1500 * time.Millisecond

// Start starts the calls when the controllers know the list and their circuits.
func (w *Simulation) Start(progress func(time.Duration, int), end func()) {
	w.scheduler.After(settleTime, func() {
		w.startedAt = w.scheduler.Now()
		w.nextCall = w.startedAt
		w.dialling = true
		w.scheduleNextCall()
		for i := range w.scenario.Troubles {
			t := w.scenario.Troubles[i]
			w.scheduler.After(t.At, func() { w.startTrouble(t) })
		}
		var tick func()
		tick = func() {
			passed := w.scheduler.Now() - w.startedAt
			if progress != nil {
				progress(min(passed, w.scenario.Length), len(w.Callers.Calls))
			}
			if passed < w.scenario.Length {
				w.scheduler.After(200*time.Millisecond, tick)
			}
		}
		tick()
		w.scheduler.After(w.scenario.Length, func() {
			w.dialling = false
			var wait func()
			left := 15
			wait = func() { // until nobody waits for an answer any more
				if left--; left > 0 && w.countPending() > 0 {
					w.scheduler.After(200*time.Millisecond, wait)
					return
				}
				w.scheduler.After(300*time.Millisecond, func() {
					w.Callers.Finished = true
					end()
				})
			}
			wait()
		})
	})
}

func (w *Simulation) countPending() int {
	n := 0
	for _, k := range w.Callers.Calls {
		if k.Outcome == subscriber.Pending && k.SetUpTime == 0 {
			n++
		}
	}
	return n
}

// scheduleNextCall lets calls come as a Poisson stream that waits for nobody: a timer
// that fires late makes one call late, not all that follow.
func (w *Simulation) scheduleNextCall() {
	if !w.dialling {
		return
	}
	passed := (w.scheduler.Now() - w.startedAt).Seconds()
	rate := w.callRate * w.scenario.Load.Level * w.burstFactor * (1 + w.scenario.Load.Swing*math.Sin(passed/4))
	w.nextCall += subscriber.ArrivalInterval(w.random, rate)
	w.scheduler.After(w.nextCall-w.scheduler.Now(), func() {
		if w.dialling {
			w.placeCall()
			w.scheduleNextCall()
		}
	})
}

func (w *Simulation) placeCall() {
	n := w.scenario.Fleet.Exchanges
	from := w.random.IntN(n)
	if w.floodShare > 0 && w.random.Float64() < w.floodShare {
		from = w.floodSource
	}
	if w.hotShare > 0 && w.random.Float64() < w.hotShare && from != w.hotDestination {
		w.Callers.Dial(from, w.hotDestination, HotNumber)
		return
	}
	x := w.random.Float64() * w.scenario.Fleet.ErlangPerExchange
	for j, v := range w.trafficMatrix[from] {
		if x -= v; x < 0 && j != from {
			w.Callers.Dial(from, j, "")
			return
		}
	}
	w.Callers.Dial(from, (from+1)%n, "")
}

// Troubles lists the troubles that came.
func (w *Simulation) Troubles() []TroubleRecord { return w.troubles }

// FirstAttemptTime is when a call was first tried, counted from the day's begin.
func (w *Simulation) FirstAttemptTime(k *subscriber.Call) time.Duration {
	return k.FirstAttemptAt - w.startedAt
}
