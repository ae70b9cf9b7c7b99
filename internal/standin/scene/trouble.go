package scene

import (
	"fmt"
	"math"
	"strings"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/standin/exchange"
)

// drawExchanges draws a share of the exchanges in service, one at the least.
func (w *Simulation) drawExchanges(share float64) []*ListedExchange {
	var up []*ListedExchange
	for _, h := range w.exchanges {
		if h.Up && w.Fleet.Current(h.Number) == h.Exchange {
			up = append(up, h)
		}
	}
	w.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:min(max(int(math.Round(share*float64(len(up)))), 1), len(up))]
}

// closeAllConns closes every connection of an exchange.
func (w *Simulation) closeAllConns(h *ListedExchange, why string) {
	w.environment.CloseConns(h.ID, why, func(*exchange.Conn) bool { return true })
}

func exchangeNames(hs []*ListedExchange) string {
	var all []string
	for _, h := range hs {
		all = append(all, fmt.Sprint(h.Number))
	}
	return "exchanges " + strings.Join(all, ", ")
}

// startTrouble lets one come, and go again.
func (w *Simulation) startTrouble(t settings.Trouble) {
	what, end := w.applyTrouble(t)
	now := w.scheduler.Now() - w.startedAt
	w.troubles = append(w.troubles, TroubleRecord{Trouble: t, Description: what, Start: now, End: now + max(t.Duration, time.Second)})
	w.environment.Record("trouble", capture.Trouble{Kind: t.Kind, Description: what, Duration: t.Duration})
	if end == nil {
		return
	}
	w.scheduler.After(t.Duration, func() {
		end()
		w.environment.Record("trouble", capture.Trouble{Kind: t.Kind, Description: what, Ended: true})
	})
}

// applyTrouble starts a trouble; it returns whom it hits and what ends it.
func (w *Simulation) applyTrouble(t settings.Trouble) (string, func()) {
	each := func(hs []*ListedExchange, do func(*ListedExchange)) {
		for _, h := range hs {
			do(h)
		}
	}
	switch t.Kind {
	case "burst":
		w.burstFactor = t.Size
		return "all callers", func() { w.burstFactor = 1 }
	case "flood":
		w.floodShare, w.floodSource = t.Size, w.random.IntN(w.scenario.Fleet.Exchanges)
		return fmt.Sprintf("controller %d", w.floodSource), func() { w.floodShare = 0 }
	case "hot-number":
		w.hotShare, w.hotDestination = t.Size, w.random.IntN(w.scenario.Fleet.Exchanges)
		w.Fleet.LimitLines(HotNumber, hotNumberLines)
		return fmt.Sprintf("a number at exchange %d", w.hotDestination), func() { w.hotShare = 0 }
	case "crash":
		hs := w.drawExchanges(t.Size)
		each(hs, func(h *ListedExchange) {
			w.Fleet.Crash(h.Exchange)
			w.closeAllConns(h, fmt.Sprintf("exchange %d has crashed", h.ID))
			w.List.Update(h.listEntry("out"))
		})
		return exchangeNames(hs), func() {
			each(hs, func(h *ListedExchange) {
				w.Fleet.Restart(h.Exchange)
				w.List.Update(h.listEntry("in"))
			})
		}
	case "hang":
		hs := w.drawExchanges(t.Size)
		each(hs, func(h *ListedExchange) { h.Unresponsive = true })
		return exchangeNames(hs), func() { each(hs, func(h *ListedExchange) { h.Unresponsive = false }) }
	case "pauses":
		hs := w.drawExchanges(t.Size)
		until := w.scheduler.Now() + t.Duration
		var again func()
		again = func() {
			each(hs, func(h *ListedExchange) { h.PauseUntil(w.scheduler.Now() + 300*time.Millisecond) })
			if w.scheduler.Now() < until {
				w.scheduler.After(1500*time.Millisecond, again)
			}
		}
		again()
		return exchangeNames(hs), func() {}
	case "slow":
		hs := w.drawExchanges(0.5)
		each(hs, func(h *ListedExchange) { h.SetSlowdown(t.Size) })
		return exchangeNames(hs), func() { each(hs, func(h *ListedExchange) { h.SetSlowdown(1) }) }
	case "ageing":
		hs := w.drawExchanges(0.5)
		for i := range 10 {
			factor := 1 + (t.Size-1)*float64(i+1)/10
			w.scheduler.After(t.Duration*time.Duration(i)/10, func() { each(hs, func(h *ListedExchange) { h.SetSlowdown(factor) }) })
		}
		return exchangeNames(hs), func() { each(hs, func(h *ListedExchange) { h.SetSlowdown(1) }) }
	case "answers-lost":
		each(w.exchanges, func(h *ListedExchange) { h.UnansweredShare = t.Size })
		return "all exchanges", func() { each(w.exchanges, func(h *ListedExchange) { h.UnansweredShare = 0 }) }
	case "answers-reset":
		each(w.exchanges, func(h *ListedExchange) { h.CutShare = t.Size })
		return "all exchanges", func() { each(w.exchanges, func(h *ListedExchange) { h.CutShare = 0 }) }
	case "circuits-lost":
		w.Fleet.LoseCircuits(t.Size)
		return "groups between regions", w.Fleet.RestoreCircuits
	case "cut-again":
		w.Callers.RetryCutCallsUntil = w.scheduler.Now() + time.Second
		n := w.Fleet.CutCalls(t.Size)
		return fmt.Sprintf("%d calls", n), nil
	case "deploy":
		hs := w.drawExchanges(t.Size)
		gap := t.Duration / time.Duration(len(hs))
		for i, h := range hs {
			w.scheduler.After(gap*time.Duration(i), func() { w.replaceExchange(h) })
		}
		return exchangeNames(hs), func() {}
	case "controllers-restart":
		hs := w.drawExchanges(t.Size)
		each(hs, func(h *ListedExchange) { w.environment.RestartController(h.Number) })
		return "controllers of " + exchangeNames(hs), nil
	case "links-reset":
		n := 0
		for _, h := range w.exchanges {
			n += w.environment.CloseConns(h.ID, "reset by the scenario", func(*exchange.Conn) bool { return w.random.Float64() < t.Size })
		}
		return fmt.Sprintf("%d connections", n), nil
	case "half-open":
		hs := w.drawExchanges(t.Size)
		w.setFaults(hs, HalfOpen, true)
		return exchangeNames(hs), func() {
			w.setFaults(hs, HalfOpen, false)
			each(hs, func(h *ListedExchange) { w.closeAllConns(h, "was half open") })
		}
	case "stalled-reader":
		hs := w.drawExchanges(t.Size)
		w.setFaults(hs, StalledReader, true)
		return exchangeNames(hs), func() { w.setFaults(hs, StalledReader, false) }
	case "fragments":
		hs := w.drawExchanges(t.Size)
		w.setFaults(hs, FragmentedWrites, true)
		return exchangeNames(hs), func() { w.setFaults(hs, FragmentedWrites, false) }
	case "garbage":
		return "all controllers", w.environment.SendMalformed(t.Size)
	case "list-away":
		w.environment.SetListUnavailable(true)
		return "the exchange list", func() { w.environment.SetListUnavailable(false) }
	}
	return "nothing", nil
}

// drainTime is how long a replaced exchange finishes what it has.
const drainTime = 3 * time.Second

// replaceExchange lets an exchange drain and another take its number.
func (w *Simulation) replaceExchange(h *ListedExchange) {
	if !h.Up {
		return
	}
	w.List.Update(h.listEntry("draining"))
	w.scheduler.After(drainTime/2, func() {
		n, err := w.addExchange(h.Number, h.Region, time.Duration(float64(time.Second)/h.SetUpsPerSecond()), true)
		if err != nil {
			return // out of sockets: the old one goes on
		}
		w.environment.CloseConns(h.ID, fmt.Sprintf("exchange %d is replaced by %d", h.ID, n.ID),
			func(c *exchange.Conn) bool { return c.Transit }) // calls in transit come to the new one
		w.scheduler.After(drainTime/2, func() {
			w.Fleet.Retire(h.Exchange)
			w.List.Update(h.listEntry("out"))
			w.environment.StopListening(h.ID)
		})
	})
}

// setFaults starts or ends one kind of fault at some exchanges.
func (w *Simulation) setFaults(hs []*ListedExchange, f Fault, on bool) {
	for _, h := range hs {
		w.environment.SetFault(h.ID, f, on)
	}
}

// MalformedMessages is what an unreadable message may look like.
var MalformedMessages = []string{"Transaction=x Context=$ Add=junk\r\n\r\n", "hello\r\n\r\n", "Transaction=1 Context=$ Add=\x00\r\n\r\n",
	"Transaction=4 Context=9 Jump=over\r\nA: " + strings.Repeat("z", 2000) + "\r\n\r\n", "Reply=77 Context=- Add=nothing\r\n\r\n"}
