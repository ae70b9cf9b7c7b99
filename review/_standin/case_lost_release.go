package main

import (
	"math/rand/v2"
	"time"
)

func init() { cases["lost-release"] = lostRelease }

// lostRelease: every 10 s one connection to each exchange is reset, at a moment at which no set-up is open on
// it and the controller has another one to that exchange. Rule: whatever has stood and is over is released
// towards its client within 1 s of the release and, if no release could be sent, within 8 s of its end.
func lostRelease(w *world) int {
	const (
		limit  = 8*time.Second + 50*time.Millisecond
		cycles = 7
	)
	for _, x := range w.exchanges {
		random := rand.New(rand.NewPCG(uint64(x.cell), 8)) // used under the lock of the exchange
		x.circuits = 160
		x.setUp = func() time.Duration { return 20 * time.Millisecond }
		x.holding = func() time.Duration { return time.Duration(1000+random.IntN(6000)) * time.Millisecond }
	}
	w.offer(90, func(r *rand.Rand) int { return 1 + r.IntN(5) })
	time.Sleep(8 * time.Second)
	resets := 0
	for range cycles {
		for cell := 1; cell < 6; cell++ {
			w.burst(16, cell)
		}
		time.Sleep(time.Second)
		for _, x := range w.exchanges[1:] {
			if w.trouble {
				resets += w.resetIdle(x)
			}
		}
		time.Sleep(9 * time.Second)
	}
	close(w.stopLoad)
	w.load.Wait()
	time.Sleep(17 * time.Second) // the last calls end after 7 s, and 8 s more are allowed
	ended := map[string]time.Time{}
	for _, x := range w.exchanges {
		x.mu.Lock()
		for _, r := range x.releases {
			ended[r.callID] = r.at
		}
		x.mu.Unlock()
	}
	stood, left, late := 0, 0, 0
	now := time.Now()
	for _, k := range w.callers.snapshot() {
		if k.stoodAt.IsZero() {
			continue
		}
		stood++
		id := hex16(k.id)
		end, over := ended[id]
		switch {
		case !over:
		case k.releasedAt.IsZero() && now.Sub(end) > limit:
			left++
			w.rec.say("call %s ended %v ago and is still not released towards its client", id, now.Sub(end).Round(10*time.Millisecond))
		case !k.releasedAt.IsZero() && k.releasedAt.Sub(end) > limit:
			late++
			w.rec.say("call %s was released towards its client %v after its end", id, k.releasedAt.Sub(end).Round(10*time.Millisecond))
		}
	}
	w.rec.say("%d calls stood; %d resets; %d calls are left standing over %v after their end, %d were released later than that", stood, resets, left, limit, late)
	switch {
	case stood < 100 || w.trouble && resets == 0:
		return failed
	case left+late > 0:
		return broken
	}
	return held
}

// resetIdle resets one connection to an exchange on which no set-up is open, if another one is open. It
// returns the number of resets.
func (w *world) resetIdle(x *exchange) int {
	for range 100 {
		x.mu.Lock()
		for _, c := range x.conns {
			if c.open == 0 && len(x.conns) > 1 {
				others := len(x.conns) - 1
				x.mu.Unlock()
				w.rec.logf("%s: connection %d, on which no set-up is open, is reset; %d others are open", x.name, c.number, others)
				x.proxy.reset(c.networkEnd())
				return 1
			}
		}
		x.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	return 0
}
