package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

func init() {
	cases["cold"] = cold
	builders["cold"] = buildCold
}

// site is a controller with its callers, its view of the list and its network to each exchange.
type site struct {
	controller *controller
	callers    *callers
	resolver   *resolver
	proxies    []*proxy // by cell
	toldAt     time.Time
}

// Figures of the case. The exchange of cell 0 is called by the controllers of the seven others, and its own
// controller has no callers at this time, so that its processor serves these calls alone.
const (
	coldExchanges = 8    // one of them is 12.5 %; the site has up to 9 and lets up to 13 % die
	coldRate      = 20.0 // calls a second from each controller to the exchange
	otherRate     = 4.0  // calls a second from each controller to the other exchanges
	busy          = 0.68 // share of its capacity that these calls take; the site has 0.68 to 0.83
	coldFrom      = 0.29
	coldFor       = 13 * time.Second
	overload      = 2.5
	overloadFor   = 3 * time.Second
	maxRedials    = 2
	honourShare   = 0.5                     // of the callers wait as long as they are asked to; the site has 0.36 to 0.78
	redialAfter   = 1000 * time.Millisecond // the others; the site has 680 to 1500 ms
	callersWait   = 3 * time.Second         // a try is given up after 30 to 40 % of 9 s
	warmUp        = 15 * time.Second
	afterTheStart = 14 * time.Second
)

func buildCold(w *world) error {
	for cell := range coldExchanges {
		x, err := newExchange(w.rec, fmt.Sprintf("s-%08x", 0x00c41f70+cell), cell, 800, 20*time.Millisecond)
		if err != nil {
			return err
		}
		x.setUp = func() time.Duration { return 20 * time.Millisecond }
		random := rand.New(rand.NewPCG(uint64(cell), uint64(time.Now().UnixNano()))) // used under the lock of the exchange
		x.holding = func() time.Duration { return time.Duration(random.ExpFloat64() * float64(2*time.Second)) }
		w.exchanges = append(w.exchanges, x)
	}
	for number := 1; number < coldExchanges; number++ {
		s := &site{}
		var entries []listEntry
		for _, x := range w.exchanges {
			p, err := newProxy(w.rec, x.name, x.listener.Addr().String(), 20*time.Millisecond)
			if err != nil {
				return err
			}
			s.proxies = append(s.proxies, p)
			e := x.entry()
			e.addr = p.address()
			entries = append(entries, e)
		}
		var err error
		if s.resolver, err = newResolver(w.rec, entries); err != nil {
			return err
		}
		dir := fmt.Sprintf("%s/%d", w.dir, number)
		if err := os.Mkdir(dir, 0o700); err != nil {
			return err
		}
		if s.controller, err = startController(w.rec, dir, s.resolver.addr(), entries, number, coldExchanges); err != nil {
			return err
		}
		s.callers = newCallers(w.rec, s.controller.listen)
		w.sites = append(w.sites, s)
		if err := s.controller.waitReady(s.callers); err != nil {
			return err
		}
	}
	return nil
}

// cold: the processor of an exchange dies and comes back cold 24 s later, or after OUTAGE. Callers whose calls are refused dial
// again, up to twice. Rule: an exchange fresh from a processor start must not fall over from the set-ups that
// the controllers send it between them; it falls when it gets more than N + 2 x root of N + 2 set-ups (N under
// 30: N + 3 x root of N + 3) in 3 s, N being 2.5 times what it can do in that time.
func cold(w *world) int {
	x := w.exchanges[0]
	outage := 24 * time.Second // the site has 5.3 to 25 s
	if d, err := time.ParseDuration(os.Getenv("OUTAGE")); err == nil {
		outage = d
	}
	for _, s := range w.sites {
		w.load.Go(func() { s.offerAndRedial(w, coldRate, func() int { return 0 }) })
		w.load.Go(func() {
			s.offerAndRedial(w, otherRate, func() int { return 1 + (s.controller.number+rand.IntN(coldExchanges-2))%(coldExchanges-1) })
		})
	}
	time.Sleep(warmUp)
	bornMS, restarted := int64(0), time.Now()
	if w.trouble {
		w.rec.say("the processor of %s dies", x.name)
		for _, s := range w.sites {
			s.proxies[0].down()
		}
		x.crash()
		time.Sleep(time.Second)
		for _, s := range w.sites {
			s.resolver.publish(func(e []listEntry) []listEntry { return e[1:] })
		}
		time.Sleep(outage - time.Second)
		x.crash()
		restarted = time.Now()
		bornMS = restarted.UnixMilli()
		var events []*version
		for _, s := range w.sites {
			e := x.entry()
			e.addr, e.bornMS = s.proxies[0].address(), bornMS
			events = append(events, s.resolver.publish(func(entries []listEntry) []listEntry { return append([]listEntry{e}, entries...) }))
			if err := s.proxies[0].up(); err != nil {
				w.rec.say("%v", err)
				return failed
			}
		}
		w.rec.say("%s is back, cold, %v after", x.name, outage)
		time.Sleep(2 * time.Second)
		for i, s := range w.sites {
			if s.toldAt = s.resolver.told(events[i]); s.toldAt.IsZero() {
				w.rec.say("controller %d was not told of the start", s.controller.number)
				return failed
			}
		}
		time.Sleep(afterTheStart - 2*time.Second)
	} else {
		time.Sleep(outage + afterTheStart)
	}
	x.mu.Lock()
	arrivals := append([]arrival(nil), x.arrivals...)
	x.mu.Unlock()
	normal := 0
	for _, a := range arrivals {
		if age := a.at.Sub(w.rec.start); age > 5*time.Second && a.at.Before(restarted) && (!w.trouble || a.at.Before(restarted.Add(-outage))) {
			normal++
		}
	}
	capacity := coldRate * float64(len(w.sites)) / busy
	w.rec.say("%d controllers offer %.0f calls a second to %s, which can do %.0f a second when warm", len(w.sites), coldRate*float64(len(w.sites)), x.name, capacity)
	if normal < 100 {
		return failed
	}
	if !w.trouble {
		w.rec.say("%s did not start anew; %d set-ups", x.name, len(arrivals))
		return held
	}
	code, worst := held, 0.0
	for i, first := range arrivals {
		age := first.at.Sub(restarted)
		if age < 0 || age+overloadFor > coldFor {
			continue
		}
		count, told := 0, 0
		for _, a := range arrivals[i:] {
			if a.at.Sub(first.at) > overloadFor {
				break
			}
			count++
			for _, s := range w.sites {
				if s.proxies[0].carries(a.from) && a.firstAt.Add(-20*time.Millisecond).After(s.toldAt) {
					told++
				}
			}
		}
		middle := coldFrom + (1-coldFrom)*float64(age+overloadFor/2)/float64(coldFor) // the mean over the window
		n := overload * middle * capacity * overloadFor.Seconds()
		allowed := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			allowed = n + 3*math.Sqrt(n) + 3
		}
		if ratio := float64(count) / allowed; ratio > worst {
			worst = ratio
			w.rec.say("%.2f s after the start: %d set-ups in 3 s, %.2f of the %.0f allowed (N = %.1f); %d of them from controllers that had been told of the start",
				age.Seconds(), count, ratio, allowed, n, told)
		}
		if float64(count) > allowed && float64(told) > float64(count)*2/3 {
			code = broken
		}
	}
	return code
}

// offerAndRedial offers calls at a rate. A caller whose call is refused dials again, up to twice.
func (s *site) offerAndRedial(w *world, perSecond float64, dest func() int) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(uint64(s.controller.number), uint64(time.Now().UnixNano())))
	var conn *callerConn
	var err error
	connect := func() *callerConn {
		mu.Lock()
		defer mu.Unlock()
		if conn == nil || conn.isClosed() {
			if conn, err = s.callers.dial(); err != nil {
				conn = nil
			}
		}
		return conn
	}
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-w.stopLoad:
			return
		case <-time.After(time.Until(next)):
		}
		c := connect()
		if c == nil || s.controller.hasExited() {
			continue
		}
		c.setUpRedial("grid-fetch", dest(), callersWait, 0, "", connect)
	}
}
