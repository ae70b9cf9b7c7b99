package main

import "time"

func init() {
	cases["hang"] = hangCase
	cases["cut"] = cutCase
	cases["slow-resolver"] = slowResolverCase
}

// slack is added to every time limit of the rules on sockets.
const slack = 50 * time.Millisecond

// deployment is a small deployment: the exchanges, the resolver, the controller of exchange 0 and one caller.
type deployment struct {
	exchanges []*exchange
	list      []entry
	resolver  *resolver
	control   *controller
	caller    *caller
}

// deploy starts a deployment with some exchanges.
func (s *scenario) deploy(exchanges int) *deployment {
	return s.deployWith(exchanges, func(_ int, x *exchange) string { return x.addr() })
}

// deployWith does the same; each exchange is listed with the address that listed returns.
func (s *scenario) deployWith(exchanges int, listed func(int, *exchange) string) *deployment {
	return s.deployWithMemory(exchanges, 192, listed)
}

// deployWithMemory does the same with a limit of the controller's memory in MB.
func (s *scenario) deployWithMemory(exchanges, memoryMB int, listed func(int, *exchange) string) *deployment {
	d := &deployment{}
	for i := range exchanges {
		x := s.newExchange(exchangeName(i), i)
		d.exchanges = append(d.exchanges, x)
		d.list = append(d.list, entry{name: x.name, addr: listed(i, x), number: i})
	}
	d.resolver = s.newResolver(d.list)
	d.control = s.newController()
	d.control.writeConfig(d.list, 1, d.resolver.addr(), memoryMB, 256)
	d.control.launch()
	d.caller = s.newCaller("caller", d.control.addr, 0x1000)
	return d
}

// with returns a copy of the list with one entry changed.
func with(list []entry, i int, change func(*entry)) []entry {
	list = append([]entry(nil), list...)
	change(&list[i])
	return list
}

// hangCase: calls that stand at an exchange that hangs come to their end while it hangs.
func hangCase(s *scenario) {
	d := s.deploy(5)
	hanging := d.exchanges[1]
	hanging.hold = func(string) time.Duration { return 6 * time.Second }
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
		hanging.hang()
		time.AfterFunc(20*time.Second, hanging.resume)
	}
	// Ordinary traffic to the other exchanges goes on.
	for end := time.Now().Add(18 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		d.caller.setUp("grid-fetch", 3*time.Second, figures(2+int(time.Now().UnixMilli()/100)%3, 1))
	}
	for _, call := range calls {
		hanging.mu.Lock()
		ended, released := hanging.ended[callName(call.id)], hanging.released[callName(call.id)]
		hanging.mu.Unlock()
		if ended.IsZero() {
			s.cannotRun("call %016x did not come to its end", call.id)
		}
		limit := ended.Add(8*time.Second + slack)
		if !released.IsZero() {
			limit = released.Add(time.Second + slack)
		}
		state := d.caller.state(call)
		switch {
		case !state.releasedAt.IsZero() && !state.releasedAt.After(limit):
		case state.releasedAt.IsZero() && time.Now().Before(limit):
		default:
			s.breach("call %016x came to its end %.1f s ago and is not released towards its caller", call.id, time.Since(ended).Seconds())
		}
	}
}

// slowResolverCase: an exchange drains and then stops while the resolver answers slowly.
func slowResolverCase(s *scenario) {
	const lateness, drainTime = 4 * time.Second, 6 * time.Second
	d := s.deploy(5)
	x := d.exchanges[1]
	x.hold = func(string) time.Duration { return 8 * time.Second }
	time.Sleep(time.Second)
	slowSince := time.Now()
	if s.trouble {
		s.note("the resolver answers each query %v late from now on", lateness)
		d.resolver.setDelay(lateness)
	}
	calls := map[string]*callerCall{}
	traffic := func(length time.Duration) {
		for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
			call := d.caller.setUp("grid-fetch", 3*time.Second, figures(1+i%4, 1))
			calls[callName(call.id)] = call
			time.Sleep(50 * time.Millisecond)
		}
	}
	traffic(6 * time.Second)
	serial := d.resolver.change("exchange 1 drains", with(d.list, 1, func(e *entry) { e.state = leaving }))
	traffic(drainTime)
	x.stop()
	gone := append(append([]entry(nil), d.list[:1]...), d.list[2:]...)
	d.resolver.change("exchange 1 is gone", gone)
	traffic(3 * time.Second)
	told := d.resolver.toldAt(serial)
	if told.IsZero() {
		s.cannotRun("the drain was not told")
	}
	limit := told
	if excuse := slowSince.Add(4500 * time.Millisecond); s.trouble && excuse.After(limit) {
		limit = excuse
	}
	limit = limit.Add(250*time.Millisecond + slack)
	x.mu.Lock()
	defer x.mu.Unlock()
	late, cut := 0, 0
	var last time.Time
	for _, a := range x.arrivals {
		if !a.at.After(limit) {
			continue
		}
		late, last = late+1, a.at
		if state := d.caller.state(calls[a.call]); x.cut[a.call] && !state.answeredAt.IsZero() {
			cut++
		}
	}
	if late > 0 {
		s.breach("%d set-ups arrived at the draining exchange later than 300 ms after the drain was told, the last %.1f s after; %d of these calls stood and were cut when it stopped",
			late, last.Sub(told).Seconds(), cut)
	}
}

// cutCase: the network to an exchange is cut for a while. Calls that stand there come to their end afterwards.
func cutCase(s *scenario) {
	var n *network
	d := s.deployWith(5, func(i int, x *exchange) string {
		if i != 1 {
			return x.addr()
		}
		n = s.newNetwork(x.addr())
		return n.addr()
	})
	x := d.exchanges[1]
	x.hold = func(string) time.Duration { return 7 * time.Second }
	time.Sleep(time.Second)
	call := d.caller.setUp("grid-fetch", 3*time.Second, figures(1, 1))
	time.Sleep(2 * time.Second)
	if state := d.caller.state(call); !state.stands() {
		s.cannotRun("the call does not stand")
	}
	if s.trouble {
		n.begin()
		time.Sleep(2200 * time.Millisecond)
		n.end()
	} else {
		time.Sleep(3 * time.Second)
	}
	time.Sleep(12 * time.Second)
	x.mu.Lock()
	ended, released := x.ended[callName(call.id)], x.released[callName(call.id)]
	x.mu.Unlock()
	if ended.IsZero() || released.IsZero() {
		s.cannotRun("the call did not come to its end")
	}
	if state := d.caller.state(call); state.releasedAt.IsZero() || state.releasedAt.After(ended.Add(8*time.Second+slack)) {
		s.breach("call %016x came to its end %.1f s ago and is not released towards its caller", call.id, time.Since(ended).Seconds())
	}
}
