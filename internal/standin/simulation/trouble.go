package simulation

import (
	"fmt"
	"math"
	"strings"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/standin/exchange"
)

// drawExchanges draws a share of the exchanges in service, at least one.
func (sim *Simulation) drawExchanges(share float64) []*ListedExchange {
	var inService []*ListedExchange
	for _, listed := range sim.exchanges {
		if listed.Up && sim.Fleet.Current(listed.Number) == listed.Exchange {
			inService = append(inService, listed)
		}
	}
	sim.random.Shuffle(len(inService), func(i, j int) { inService[i], inService[j] = inService[j], inService[i] })
	return inService[:min(max(int(math.Round(share*float64(len(inService)))), 1), len(inService))]
}

// closeAllConns closes every connection of an exchange.
func (sim *Simulation) closeAllConns(listed *ListedExchange, reason string) {
	sim.environment.CloseConns(listed.ID, reason, func(*exchange.Conn) bool { return true })
}

// exchangeNames returns the exchange numbers as text for a trouble's description.
func exchangeNames(exchanges []*ListedExchange) string {
	var numbers []string
	for _, listed := range exchanges {
		numbers = append(numbers, fmt.Sprint(listed.Number))
	}
	return "exchanges " + strings.Join(numbers, ", ")
}

// startTrouble starts a trouble, records it and ends it after its duration.
func (sim *Simulation) startTrouble(trouble settings.Trouble) {
	description, stop := sim.applyTrouble(trouble)
	now := sim.scheduler.Now() - sim.startedAt
	sim.troubles = append(sim.troubles, TroubleRecord{
		Trouble:     trouble,
		Description: description,
		Start:       now,
		End:         now + max(trouble.Duration, time.Second),
	})
	sim.environment.Record("trouble", capture.Trouble{Kind: trouble.Kind, Description: description, Duration: trouble.Duration})
	if stop == nil {
		return
	}
	sim.scheduler.After(trouble.Duration, func() {
		stop()
		sim.environment.Record("trouble", capture.Trouble{Kind: trouble.Kind, Description: description, Ended: true})
	})
}

// applyTrouble starts a trouble. It returns a description of what is affected and a
// function that ends the trouble, nil if it needs no end.
func (sim *Simulation) applyTrouble(trouble settings.Trouble) (string, func()) {
	forEach := func(affected []*ListedExchange, do func(*ListedExchange)) {
		for _, listed := range affected {
			do(listed)
		}
	}
	switch trouble.Kind {
	case "burst":
		sim.burstFactor = trouble.Size
		return "all callers", func() { sim.burstFactor = 1 }
	case "flood":
		sim.floodShare, sim.floodSource = trouble.Size, sim.random.IntN(sim.scenario.Fleet.Exchanges)
		return fmt.Sprintf("controller %d", sim.floodSource), func() { sim.floodShare = 0 }
	case "hot-number":
		sim.hotShare, sim.hotDestination = trouble.Size, sim.random.IntN(sim.scenario.Fleet.Exchanges)
		sim.Fleet.LimitLines(HotNumber, hotNumberLines)
		return fmt.Sprintf("a number at exchange %d", sim.hotDestination), func() { sim.hotShare = 0 }
	case "crash":
		affected := sim.drawExchanges(trouble.Size)
		forEach(affected, func(e *ListedExchange) {
			sim.Fleet.Crash(e.Exchange)
			sim.closeAllConns(e, fmt.Sprintf("exchange %d has crashed", e.ID))
			sim.List.Update(e.listEntry("out"))
		})
		return exchangeNames(affected), func() {
			forEach(affected, func(e *ListedExchange) {
				sim.Fleet.Restart(e.Exchange)
				sim.List.Update(e.listEntry("in"))
			})
		}
	case "hang":
		affected := sim.drawExchanges(trouble.Size)
		forEach(affected, func(e *ListedExchange) { e.Unresponsive = true })
		return exchangeNames(affected), func() { forEach(affected, func(e *ListedExchange) { e.Unresponsive = false }) }
	case "pauses":
		affected := sim.drawExchanges(trouble.Size)
		until := sim.scheduler.Now() + trouble.Duration
		var pause func()
		pause = func() {
			forEach(affected, func(e *ListedExchange) { e.PauseUntil(sim.scheduler.Now() + 300*time.Millisecond) })
			if sim.scheduler.Now() < until {
				sim.scheduler.After(1500*time.Millisecond, pause)
			}
		}
		pause()
		return exchangeNames(affected), func() {}
	case "slow":
		affected := sim.drawExchanges(0.5)
		forEach(affected, func(e *ListedExchange) { e.SetSlowdown(trouble.Size) })
		return exchangeNames(affected), func() { forEach(affected, func(e *ListedExchange) { e.SetSlowdown(1) }) }
	case "ageing":
		affected := sim.drawExchanges(0.5)
		for i := range 10 {
			factor := 1 + (trouble.Size-1)*float64(i+1)/10
			sim.scheduler.After(trouble.Duration*time.Duration(i)/10, func() { forEach(affected, func(e *ListedExchange) { e.SetSlowdown(factor) }) })
		}
		return exchangeNames(affected), func() { forEach(affected, func(e *ListedExchange) { e.SetSlowdown(1) }) }
	case "answers-lost":
		forEach(sim.exchanges, func(e *ListedExchange) { e.UnansweredShare = trouble.Size })
		return "all exchanges", func() { forEach(sim.exchanges, func(e *ListedExchange) { e.UnansweredShare = 0 }) }
	case "answers-reset":
		forEach(sim.exchanges, func(e *ListedExchange) { e.CutShare = trouble.Size })
		return "all exchanges", func() { forEach(sim.exchanges, func(e *ListedExchange) { e.CutShare = 0 }) }
	case "circuits-lost":
		sim.Fleet.LoseCircuits(trouble.Size)
		return "groups between regions", sim.Fleet.RestoreCircuits
	case "cut-again":
		sim.Callers.RetryCutCallsUntil = sim.scheduler.Now() + time.Second
		cuts := sim.Fleet.CutCalls(trouble.Size)
		return fmt.Sprintf("%d calls", cuts), nil
	case "deploy":
		affected := sim.drawExchanges(trouble.Size)
		interval := trouble.Duration / time.Duration(len(affected))
		for i, replaced := range affected {
			sim.scheduler.After(interval*time.Duration(i), func() { sim.replaceExchange(replaced) })
		}
		return exchangeNames(affected), func() {}
	case "controllers-restart":
		affected := sim.drawExchanges(trouble.Size)
		forEach(affected, func(e *ListedExchange) { sim.environment.RestartController(e.Number) })
		return "controllers of " + exchangeNames(affected), nil
	case "links-reset":
		closed := 0
		for _, e := range sim.exchanges {
			closed += sim.environment.CloseConns(e.ID, "reset by the scenario", func(*exchange.Conn) bool { return sim.random.Float64() < trouble.Size })
		}
		return fmt.Sprintf("%d connections", closed), nil
	case "half-open":
		affected := sim.drawExchanges(trouble.Size)
		sim.setFaults(affected, HalfOpen, true)
		return exchangeNames(affected), func() {
			sim.setFaults(affected, HalfOpen, false)
			forEach(affected, func(e *ListedExchange) { sim.closeAllConns(e, "was half open") })
		}
	case "stalled-reader":
		affected := sim.drawExchanges(trouble.Size)
		sim.setFaults(affected, StalledReader, true)
		return exchangeNames(affected), func() { sim.setFaults(affected, StalledReader, false) }
	case "fragments":
		affected := sim.drawExchanges(trouble.Size)
		sim.setFaults(affected, FragmentedWrites, true)
		return exchangeNames(affected), func() { sim.setFaults(affected, FragmentedWrites, false) }
	case "garbage":
		return "all controllers", sim.environment.SendMalformed(trouble.Size)
	case "list-away":
		sim.environment.SetListUnavailable(true)
		return "the exchange list", func() { sim.environment.SetListUnavailable(false) }
	}
	return "nothing", nil
}

// drainTime is how long a replaced exchange drains before it goes out of service.
const drainTime = 3 * time.Second

// replaceExchange drains an exchange while a new one takes over its number.
func (sim *Simulation) replaceExchange(replaced *ListedExchange) {
	if !replaced.Up {
		return
	}
	sim.List.Update(replaced.listEntry("draining"))
	sim.scheduler.After(drainTime/2, func() {
		replacement, err := sim.addExchange(replaced.Number, replaced.Region, time.Duration(float64(time.Second)/replaced.SetUpsPerSecond()), true)
		if err != nil {
			return // no listener available: the old exchange stays in service
		}
		sim.environment.CloseConns(replaced.ID, fmt.Sprintf("exchange %d is replaced by %d", replaced.ID, replacement.ID),
			func(conn *exchange.Conn) bool { return conn.Transit }) // the new exchange receives the calls in transit
		sim.scheduler.After(drainTime/2, func() {
			sim.Fleet.Retire(replaced.Exchange)
			sim.List.Update(replaced.listEntry("out"))
			sim.environment.StopListening(replaced.ID)
		})
	})
}

// setFaults turns a fault of the given exchanges on or off.
func (sim *Simulation) setFaults(exchanges []*ListedExchange, fault Fault, on bool) {
	for _, affected := range exchanges {
		sim.environment.SetFault(affected.ID, fault, on)
	}
}

// MalformedMessages holds texts that are not valid messages to a controller, or not
// expected by it.
var MalformedMessages = []string{"Transaction=x Context=$ Add=junk\r\n\r\n", "hello\r\n\r\n", "Transaction=1 Context=$ Add=\x00\r\n\r\n",
	"Transaction=4 Context=9 Jump=over\r\nA: " + strings.Repeat("z", 2000) + "\r\n\r\n", "Reply=77 Context=- Add=nothing\r\n\r\n"}
