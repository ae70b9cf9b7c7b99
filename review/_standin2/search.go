package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

// Searches for faults: random days, not cases. SEED chooses the day, PERCENT the share of set-ups that an exchange
// treats badly; HANG=1 and CUT=1 let exchanges hang and the network be cut.
func init() {
	cases["chaos"], cases["leave"], cases["kill"], cases["many"] = chaosCase, leaveChaos, killChaos, manyCase
	cases["replace"], cases["cut-release"] = replaceCase, cutReleaseCase
}

// chaosCase plays random disruptions; a search, no case.
func chaosCase(s *scenario) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	percent, _ := strconv.Atoi(os.Getenv("PERCENT"))
	random := rand.New(rand.NewPCG(seed, 1))
	var nets []*network
	d := s.deployWith(5, func(i int, x *exchange) string {
		if os.Getenv("CUT") == "" {
			return x.addr()
		}
		nets = append(nets, s.newNetwork(x.addr()))
		return nets[i].addr()
	})
	for _, x := range d.exchanges {
		r := rand.New(rand.NewPCG(seed, uint64(x.number)+7))
		x.hold = func(string) time.Duration { return time.Duration(500+r.IntN(6000)) * time.Millisecond }
		x.behave = func(string) string {
			if !s.trouble || r.IntN(100) >= percent {
				return ""
			}
			return []string{"503", "486", "500", "480", "504", "silent", "reset", "reset-after", "bye", "spoilt", "copy", "late", "short"}[r.IntN(13)]
		}
	}
	var calls []*callerCall
	callers := []*caller{d.caller}
	for i := range 3 {
		callers = append(callers, s.newCaller(fmt.Sprintf("caller%d", i+1), d.control.addr, uint64(i+2)<<20))
	}
	owner := map[*callerCall]*caller{}
	nextHang := time.Now().Add(5 * time.Second)
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(10+random.IntN(30)) * time.Millisecond) {
		c := callers[random.IntN(len(callers))]
		call := c.setUp([]string{"grid-fetch", "shared-solve", "answer-check"}[random.IntN(3)], time.Duration(500+random.IntN(3000))*time.Millisecond, figures(1+random.IntN(4), 1))
		calls = append(calls, call)
		owner[call] = c
		if random.IntN(12) == 0 {
			old := calls[random.IntN(len(calls))]
			if state := owner[old].state(old); state.releasedAt.IsZero() && (len(state.answers) == 0 || state.stands()) {
				owner[old].giveUp(old)
				owner[old].mu.Lock()
				old.gaveUpAt = time.Now()
				owner[old].mu.Unlock()
			}
		}
		if s.trouble && random.IntN(60) == 0 {
			x := d.exchanges[1+random.IntN(4)]
			x.resetIdle()
		}
		if nets != nil && s.trouble && time.Now().After(nextHang) {
			n := nets[1+random.IntN(4)]
			if !n.isCut() {
				nextHang = time.Now().Add(3 * time.Second)
				n.begin()
				time.AfterFunc(time.Duration(200+random.IntN(5500))*time.Millisecond, n.end)
			}
		}
		if s.trouble && os.Getenv("HANG") != "" && time.Now().After(nextHang) {
			nextHang = time.Now().Add(6 * time.Second)
			x := d.exchanges[1+random.IntN(4)]
			x.hang()
			time.AfterFunc(time.Duration(200+random.IntN(3000))*time.Millisecond, x.resume)
		}
	}
	time.Sleep(16 * time.Second)
	for _, call := range calls {
		state := owner[call].state(call)
		id := callName(call.id)
		switch {
		case len(state.answers) > 1:
			s.breach("call %s has %d answers: %v", id, len(state.answers), state.answers)
		case len(state.answers) == 0 && state.gaveUpAt.IsZero():
			s.breach("call %s has no answer", id)
		}
		if state.stands() && state.gaveUpAt.IsZero() {
			where := ""
			for _, x := range d.exchanges {
				x.mu.Lock()
				if x.standing[id] != nil {
					where = x.name
				}
				x.mu.Unlock()
			}
			if where == "" {
				s.breach("call %s is left standing at its caller", id)
			}
		}
	}
	for _, x := range d.exchanges {
		x.mu.Lock()
		for id := range x.standing {
			s.breach("call %s is left standing at %s", id, x.name)
		}
		x.mu.Unlock()
	}
	checkAttempts(s, d)
	now, peak := d.control.residentKB()
	s.note("memory %d kB, peak %d kB", now, peak)
}

// checkAttempts checks that no call had two attempts out and that releases were awaited.
func checkAttempts(s *scenario, d *deployment) {
	type span struct {
		from, to time.Time
		how, at  string
	}
	spans := map[string][]span{}
	for _, x := range d.exchanges {
		x.mu.Lock()
		for _, a := range x.attempts {
			to := a.endedAt
			if to.IsZero() {
				to = time.Now()
			}
			spans[a.call] = append(spans[a.call], span{a.at, to, a.how, x.name})
		}
		x.mu.Unlock()
	}
	for id, list := range spans {
		for i, a := range list {
			for j, b := range list {
				if i == j || b.from.Before(a.from) || b.from == a.from && j < i {
					continue
				}
				if gap := b.from.Sub(a.to); gap < -5*time.Millisecond {
					s.breach("call %s has two attempts out: at %s (%s) and %s, overlap %v", id, a.at, a.how, b.at, -gap)
				} else if (a.how == "cancel" || a.how == "closed" || a.how == "504" || a.how == "reset") && gap < 290*time.Millisecond {
					s.breach("call %s is sent again %v after its attempt at %s ended by %s", id, gap, a.at, a.how)
				}
			}
		}
	}
}

// leaveChaos ends the controller by SIGTERM under load. A search, no case.
func leaveChaos(s *scenario) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 1))
	d := s.deploy(5)
	for _, x := range d.exchanges {
		x.hold = func(string) time.Duration { return time.Duration(500+x.number*2000) * time.Millisecond }
		x.setUpTime = time.Duration(x.number*x.number) * 150 * time.Millisecond
	}
	time.Sleep(time.Second)
	c := d.caller
	done := make(chan struct{})
	go func() {
		time.Sleep(3 * time.Second)
		if os.Getenv("HANG") != "" {
			d.exchanges[3].hang()
		}
		time.Sleep(300 * time.Millisecond)
		d.control.signal(syscall.SIGTERM)
		close(done)
	}()
	var calls []*callerCall
	for {
		c.mu.Lock()
		closed := c.closed
		c.mu.Unlock()
		if closed {
			break
		}
		calls = append(calls, c.setUp("grid-fetch", 9*time.Second, figures(1+random.IntN(4), 1)))
		time.Sleep(5 * time.Millisecond)
	}
	over := time.Now()
	s.note("connection over")
	time.Sleep(500 * time.Millisecond)
	for _, call := range calls {
		if state := c.state(call); len(state.answers) != 1 {
			s.note("call %016x has %d answers; sent %v before the connection was over", call.id, len(state.answers), over.Sub(call.sentAt))
			if over.Sub(call.sentAt) > 60*time.Millisecond {
				s.breach("call %016x has %d answers; sent %v before the connection was over", call.id, len(state.answers), over.Sub(call.sentAt))
			}
		}
	}
	if d.exchanges[3].hung != nil {
		d.exchanges[3].resume()
	}
}

// reconnect opens a new connection and names the calls that stand.
func (c *caller) reconnect(d *deployment) *caller {
	n := c.s.newCaller(c.name+"'", d.control.addr, c.nextID+1000)
	for _, call := range c.calls {
		state := c.state(call)
		if !state.stands() {
			continue
		}
		at := ""
		for _, x := range d.exchanges {
			x.mu.Lock()
			if x.took[callName(call.id)] {
				at = x.name
			}
			x.mu.Unlock()
		}
		n.mu.Lock()
		moved := state
		n.calls[call.id] = &moved
		n.mu.Unlock()
		c.s.note("%s names %016x at %s", n.name, call.id, at)
		n.write(setUpMessage(call.id, "grid-fetch", 3*time.Second, figures(1, 1)+";at:"+at, describe(call.id)))
	}
	return n
}

// killChaos kills the controller and starts it again. A search, no case.
func killChaos(s *scenario) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 1))
	d := s.deploy(5)
	for _, x := range d.exchanges {
		r := rand.New(rand.NewPCG(seed, uint64(x.number)+7))
		x.hold = func(string) time.Duration { return time.Duration(500+r.IntN(12000)) * time.Millisecond }
	}
	time.Sleep(time.Second)
	c := d.caller
	for round := range 3 {
		for range 150 {
			call := c.setUp("grid-fetch", 3*time.Second, figures(1+random.IntN(4), 1))
			time.Sleep(time.Duration(5+random.IntN(30)) * time.Millisecond)
			if random.IntN(5) == 0 {
				c.giveUp(call)
			}
		}
		sig := syscall.SIGKILL
		if (round+int(seed))%2 == 0 {
			sig = syscall.SIGTERM
		}
		d.control.signal(sig)
		<-d.control.exited
		time.Sleep(time.Duration(100+random.IntN(4000)) * time.Millisecond)
		d.control.launch()
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		c = c.reconnect(d)
	}
	time.Sleep(25 * time.Second)
	for _, call := range c.calls {
		if state := c.state(call); state.stands() {
			s.breach("call %016x is left standing at its caller", call.id)
		}
	}
	for _, x := range d.exchanges {
		x.mu.Lock()
		for id := range x.standing {
			s.breach("call %s is left standing at %s", id, x.name)
		}
		x.mu.Unlock()
	}
}

// manyCase: more exchanges than the controller may hold connections to.
func manyCase(s *scenario) {
	size := 20
	if s.trouble {
		size = 100
	}
	d := s.deploy(size)
	for _, x := range d.exchanges {
		x.hold = func(string) time.Duration { return 11 * time.Second }
	}
	time.Sleep(2 * time.Second)
	type placed struct {
		call *callerCall
		x    *exchange
	}
	var calls []placed
	for i := range 400 {
		dest := 1 + i%(size-1)
		calls = append(calls, placed{d.caller.setUp("grid-fetch", 3*time.Second, figures(dest, 1)), d.exchanges[dest]})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(14 * time.Second)
	stood, cut, refused := 0, 0, 0
	for _, p := range calls {
		state := d.caller.state(p.call)
		switch {
		case state.answeredAt.IsZero():
			refused++
		case state.cause == 41:
			cut++
			s.breach("call %016x at %s was cut after %v by the controller", p.call.id, p.x.name, state.releasedAt.Sub(state.answeredAt))
		case state.releasedAt.IsZero():
			s.breach("call %016x left standing", p.call.id)
		default:
			stood++
		}
	}
	s.note("%d stood, %d cut, %d refused", stood, cut, refused)
}

// replaceCase: an exchange is replaced by a new one at its address while the resolver is silent. GAP is the time
// in milliseconds in which nothing listens there.
func replaceCase(s *scenario) {
	gap, _ := strconv.Atoi(os.Getenv("GAP"))
	d := s.deploy(5)
	old := d.exchanges[1]
	old.hold = func(string) time.Duration { return 30 * time.Second }
	time.Sleep(time.Second)
	var calls []*callerCall
	for range 4 {
		calls = append(calls, d.caller.setUp("grid-fetch", 3*time.Second, figures(1, 1)))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for _, call := range calls {
		if state := d.caller.state(call); !state.stands() {
			s.cannotRun("call %016x does not stand", call.id)
		}
	}
	if s.trouble {
		d.resolver.setSilent(true)
		time.AfterFunc(14*time.Second, func() { d.resolver.setSilent(false) })
	}
	time.Sleep(time.Second)
	addr := old.addr()
	old.stop()
	stopped := time.Now()
	time.Sleep(time.Duration(gap) * time.Millisecond)
	x := s.newExchangeAt(addr, "f-00c41f7a", 1)
	d.resolver.change("exchange 1 is another one", with(d.list, 1, func(e *entry) { e.name, e.bornMs = x.name, time.Now().UnixMilli() }))
	time.Sleep(9 * time.Second)
	for _, call := range calls {
		if state := d.caller.state(call); state.releasedAt.IsZero() || state.releasedAt.After(stopped.Add(8*time.Second+slack)) {
			s.breach("call %016x was cut %.1f s ago and is not released towards its caller", call.id, time.Since(stopped).Seconds())
		}
	}
}

// cutReleaseCase: a caller ends its call while the network to the exchange is cut.
func cutReleaseCase(s *scenario) {
	var n *network
	d := s.deployWith(5, func(i int, x *exchange) string {
		if i != 1 {
			return x.addr()
		}
		n = s.newNetwork(x.addr())
		return n.addr()
	})
	x := d.exchanges[1]
	x.hold = func(string) time.Duration { return 60 * time.Second }
	time.Sleep(time.Second)
	call := d.caller.setUp("shared-solve", 3*time.Second, figures(1, 2))
	time.Sleep(2 * time.Second)
	if state := d.caller.state(call); !state.stands() {
		s.cannotRun("the call does not stand")
	}
	if s.trouble {
		n.begin()
		time.AfterFunc(6*time.Second, n.end)
	}
	time.Sleep(500 * time.Millisecond)
	d.caller.giveUp(call)
	time.Sleep(20 * time.Second)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.standing[callName(call.id)] != nil {
		s.breach("call %016x was ended by its caller %.1f s ago and still stands at the exchange", call.id, 20.0)
	}
}
