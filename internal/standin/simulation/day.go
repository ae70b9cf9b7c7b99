package simulation

import (
	"math"
	"time"

	"dahliaspindle/internal/standin/subscriber"
)

// settleTime is the time before the first call in which connections are set up and
// controllers receive the exchange list and their circuits.
const settleTime = 1500 * time.Millisecond

// Start starts the calls and troubles of the scenario after settleTime. It calls
// progress, if not nil, every 200 ms of the run with the elapsed time and the number
// of calls so far, and finished at the end.
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
			waitForAnswers = func() { // until no caller waits for an answer, but not forever
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

// countPending returns the number of calls that are neither established nor ended.
func (sim *Simulation) countPending() int {
	pending := 0
	for _, call := range sim.Callers.Calls {
		if call.Outcome == subscriber.Pending && call.SetUpTime == 0 {
			pending++
		}
	}
	return pending
}

// scheduleNextCall generates calls as a Poisson process (open loop). Intervals count
// from the scheduled time of the previous call, so that a timer that fires late
// delays one call and not all that follow.
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

// placeCall dials one call between exchanges drawn according to the traffic matrix
// and the troubles in progress.
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

// Troubles returns the troubles that have occurred, in order of their start.
func (sim *Simulation) Troubles() []TroubleRecord { return sim.troubles }

// FirstAttemptTime returns the time of a call's first attempt, counted from the start
// of the run.
func (sim *Simulation) FirstAttemptTime(call *subscriber.Call) time.Duration {
	return call.FirstAttemptAt - sim.startedAt
}
