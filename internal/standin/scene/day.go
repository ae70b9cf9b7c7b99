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
func (sim *Simulation) Start(progress func(time.Duration, int), finished func()) {
	sim.scheduler.After(settleTime, func() {
		sim.startedAt = sim.scheduler.Now()
		sim.nextCall = sim.startedAt
		sim.dialling = true
		sim.scheduleNextCall()
		for i := range sim.scenario.Troubles {
			trouble := sim.scenario.Troubles[i]
			sim.scheduler.After(trouble.At, func() { sim.startTrouble(trouble) })
		}
		var reportProgress func()
		reportProgress = func() {
			elapsed := sim.scheduler.Now() - sim.startedAt
			if progress != nil {
				progress(min(elapsed, sim.scenario.Length), len(sim.Callers.Calls))
			}
			if elapsed < sim.scenario.Length {
				sim.scheduler.After(200*time.Millisecond, reportProgress)
			}
		}
		reportProgress()
		sim.scheduler.After(sim.scenario.Length, func() {
			sim.dialling = false
			var waitForAnswers func()
			remainingChecks := 15
			waitForAnswers = func() { // until nobody waits for an answer any more
				if remainingChecks--; remainingChecks > 0 && sim.countPending() > 0 {
					sim.scheduler.After(200*time.Millisecond, waitForAnswers)
					return
				}
				sim.scheduler.After(300*time.Millisecond, func() {
					sim.Callers.Finished = true
					finished()
				})
			}
			waitForAnswers()
		})
	})
}

func (sim *Simulation) countPending() int {
	pending := 0
	for _, call := range sim.Callers.Calls {
		if call.Outcome == subscriber.Pending && call.SetUpTime == 0 {
			pending++
		}
	}
	return pending
}

// scheduleNextCall lets calls come as a Poisson stream that waits for nobody: a timer
// that fires late makes one call late, not all that follow.
func (sim *Simulation) scheduleNextCall() {
	if !sim.dialling {
		return
	}
	elapsed := (sim.scheduler.Now() - sim.startedAt).Seconds()
	callRate := sim.callRate * sim.scenario.Load.Level * sim.burstFactor * (1 + sim.scenario.Load.Swing*math.Sin(elapsed/4))
	sim.nextCall += subscriber.ArrivalInterval(sim.random, callRate)
	sim.scheduler.After(sim.nextCall-sim.scheduler.Now(), func() {
		if sim.dialling {
			sim.placeCall()
			sim.scheduleNextCall()
		}
	})
}

func (sim *Simulation) placeCall() {
	exchanges := sim.scenario.Fleet.Exchanges
	source := sim.random.IntN(exchanges)
	if sim.floodShare > 0 && sim.random.Float64() < sim.floodShare {
		source = sim.floodSource
	}
	if sim.hotShare > 0 && sim.random.Float64() < sim.hotShare && source != sim.hotDestination {
		sim.Callers.Dial(source, sim.hotDestination, HotNumber)
		return
	}
	remaining := sim.random.Float64() * sim.scenario.Fleet.ErlangPerExchange
	for destination, load := range sim.trafficMatrix[source] {
		if remaining -= load; remaining < 0 && destination != source {
			sim.Callers.Dial(source, destination, "")
			return
		}
	}
	sim.Callers.Dial(source, (source+1)%exchanges, "")
}

// Troubles lists the troubles that came.
func (sim *Simulation) Troubles() []TroubleRecord { return sim.troubles }

// FirstAttemptTime is when a call was first tried, counted from the day's begin.
func (sim *Simulation) FirstAttemptTime(call *subscriber.Call) time.Duration {
	return call.FirstAttemptAt - sim.startedAt
}
