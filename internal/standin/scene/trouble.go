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

// some draws a share of the exchanges in service, one at the least.
func (w *Scene) some(share float64) []*Host {
	var up []*Host
	for _, h := range w.hosts {
		if h.Up && w.Fleet.Current(h.Cell) == h.Exchange {
			up = append(up, h)
		}
	}
	w.rnd.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:min(max(int(math.Round(share*float64(len(up)))), 1), len(up))]
}

// breakAll closes every connection of an exchange.
func (w *Scene) breakAll(h *Host, why string) {
	w.edge.Break(h.ID, why, func(*exchange.Conn) bool { return true })
}

func names(hs []*Host) string {
	var all []string
	for _, h := range hs {
		all = append(all, fmt.Sprint(h.Cell))
	}
	return "exchanges " + strings.Join(all, ", ")
}

// trouble lets one come, and go again.
func (w *Scene) trouble(t settings.Trouble) {
	what, end := w.befall(t)
	now := w.s.Now() - w.began
	w.seen = append(w.seen, Seen{Trouble: t, What: what, From: now, To: now + max(t.Duration, time.Second)})
	w.edge.Fact("trouble", capture.Trouble{Kind: t.Kind, Description: what, Duration: t.Duration})
	if end == nil {
		return
	}
	w.s.After(t.Duration, func() {
		end()
		w.edge.Fact("trouble", capture.Trouble{Kind: t.Kind, Description: what, Ended: true})
	})
}

// befall starts a trouble; it returns whom it hits and what ends it.
func (w *Scene) befall(t settings.Trouble) (string, func()) {
	each := func(hs []*Host, do func(*Host)) {
		for _, h := range hs {
			do(h)
		}
	}
	switch t.Kind {
	case "burst":
		w.burst = t.Size
		return "all callers", func() { w.burst = 1 }
	case "flood":
		w.flood, w.flooded = t.Size, w.rnd.IntN(w.scn.Fleet.Exchanges)
		return fmt.Sprintf("controller %d", w.flooded), func() { w.flood = 0 }
	case "hot-number":
		w.hot, w.hotDest = t.Size, w.rnd.IntN(w.scn.Fleet.Exchanges)
		w.Fleet.Lines(HotNumber, hotLines)
		return fmt.Sprintf("a number at exchange %d", w.hotDest), func() { w.hot = 0 }
	case "crash":
		hs := w.some(t.Size)
		each(hs, func(h *Host) {
			w.Fleet.Crash(h.Exchange)
			w.breakAll(h, fmt.Sprintf("exchange %d has crashed", h.ID))
			w.List.Set(h.entry("out"))
		})
		return names(hs), func() {
			each(hs, func(h *Host) {
				w.Fleet.Start(h.Exchange)
				w.List.Set(h.entry("in"))
			})
		}
	case "hang":
		hs := w.some(t.Size)
		each(hs, func(h *Host) { h.Hung = true })
		return names(hs), func() { each(hs, func(h *Host) { h.Hung = false }) }
	case "pauses":
		hs := w.some(t.Size)
		until := w.s.Now() + t.Duration
		var again func()
		again = func() {
			each(hs, func(h *Host) { h.Pause(w.s.Now() + 300*time.Millisecond) })
			if w.s.Now() < until {
				w.s.After(1500*time.Millisecond, again)
			}
		}
		again()
		return names(hs), func() {}
	case "slow":
		hs := w.some(0.5)
		each(hs, func(h *Host) { h.Slow(t.Size) })
		return names(hs), func() { each(hs, func(h *Host) { h.Slow(1) }) }
	case "ageing":
		hs := w.some(0.5)
		for i := range 10 {
			factor := 1 + (t.Size-1)*float64(i+1)/10
			w.s.After(t.Duration*time.Duration(i)/10, func() { each(hs, func(h *Host) { h.Slow(factor) }) })
		}
		return names(hs), func() { each(hs, func(h *Host) { h.Slow(1) }) }
	case "answers-lost":
		each(w.hosts, func(h *Host) { h.Mute = t.Size })
		return "all exchanges", func() { each(w.hosts, func(h *Host) { h.Mute = 0 }) }
	case "answers-reset":
		each(w.hosts, func(h *Host) { h.Breaks = t.Size })
		return "all exchanges", func() { each(w.hosts, func(h *Host) { h.Breaks = 0 }) }
	case "circuits-lost":
		w.Fleet.Lose(t.Size)
		return "groups between regions", w.Fleet.Regain
	case "cut-again":
		w.Crowd.AgainUntil = w.s.Now() + time.Second
		n := w.Fleet.CutSome(t.Size)
		return fmt.Sprintf("%d calls", n), nil
	case "deploy":
		hs := w.some(t.Size)
		gap := t.Duration / time.Duration(len(hs))
		for i, h := range hs {
			w.s.After(gap*time.Duration(i), func() { w.replace(h) })
		}
		return names(hs), func() {}
	case "controllers-restart":
		hs := w.some(t.Size)
		each(hs, func(h *Host) { w.edge.Restart(h.Cell) })
		return "controllers of " + names(hs), nil
	case "links-reset":
		n := 0
		for _, h := range w.hosts {
			n += w.edge.Break(h.ID, "reset by the scenario", func(*exchange.Conn) bool { return w.rnd.Float64() < t.Size })
		}
		return fmt.Sprintf("%d connections", n), nil
	case "half-open":
		hs := w.some(t.Size)
		w.faults(hs, Mute, true)
		return names(hs), func() {
			w.faults(hs, Mute, false)
			each(hs, func(h *Host) { w.breakAll(h, "was half open") })
		}
	case "stalled-reader":
		hs := w.some(t.Size)
		w.faults(hs, Stalled, true)
		return names(hs), func() { w.faults(hs, Stalled, false) }
	case "fragments":
		hs := w.some(t.Size)
		w.faults(hs, Fragments, true)
		return names(hs), func() { w.faults(hs, Fragments, false) }
	case "garbage":
		return "all controllers", w.edge.Garbage(t.Size)
	case "list-away":
		w.edge.ListAway(true)
		return "the exchange list", func() { w.edge.ListAway(false) }
	}
	return "nothing", nil
}

// drainFor is how long a replaced exchange finishes what it has.
const drainFor = 3 * time.Second

// replace lets an exchange drain and another take its number.
func (w *Scene) replace(h *Host) {
	if !h.Up {
		return
	}
	w.List.Set(h.entry("draining"))
	w.s.After(drainFor/2, func() {
		n, err := w.add(h.Cell, h.Region, time.Duration(float64(time.Second)/h.PerSecond()), true)
		if err != nil {
			return // out of sockets: the old one goes on
		}
		w.edge.Break(h.ID, fmt.Sprintf("exchange %d is replaced by %d", h.ID, n.ID),
			func(c *exchange.Conn) bool { return c.Transit }) // calls in transit come to the new one
		w.s.After(drainFor/2, func() {
			w.Fleet.Retire(h.Exchange)
			w.List.Set(h.entry("out"))
			w.edge.Shut(h.ID)
		})
	})
}

// faults starts or ends one kind of fault at some exchanges.
func (w *Scene) faults(hs []*Host, f Fault, on bool) {
	for _, h := range hs {
		w.edge.Fault(h.ID, f, on)
	}
}

// Junk is what an unreadable message may look like.
var Junk = []string{"Transaction=x Context=$ Add=junk\r\n\r\n", "hello\r\n\r\n", "Transaction=1 Context=$ Add=\x00\r\n\r\n",
	"Transaction=4 Context=9 Jump=over\r\nA: " + strings.Repeat("z", 2000) + "\r\n\r\n", "Reply=77 Context=- Add=nothing\r\n\r\n"}
