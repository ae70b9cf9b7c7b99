package node

import (
	"fmt"
	"testing"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/interwork"
	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
)

// The tests here force an order of events: the test is the core's goroutine, and looks at the inputs
// when it says so. What the sockets do goes on meanwhile.
type gated struct {
	*Node
	t *testing.T
	b *bed
}

func newGated(t *testing.T) *gated {
	b := &bed{t: t, x: newExchange(t)}
	cfg, err := parse(fmt.Appendf(nil, platform, "127.0.0.1:1", b.x.ln.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	g := &gated{b.node(cfg), t, b}
	g.step(interwork.ExchangeListUpdate{Complete: true, Changes: cfg.ExchangeList.Entries()})
	g.wg.Go(g.accept)
	t.Cleanup(func() {
		g.flush()
		g.cancel()
		g.wg.Wait()
		for len(g.inbox) > 0 {
			discard(<-g.inbox)
		}
	})
	return g
}

// next looks at one input.
func (g *gated) next() interwork.Input {
	g.t.Helper()
	select {
	case in := <-g.inbox:
		g.step(in)
		return in
	case <-time.After(5 * time.Second):
		g.t.Fatal("no input came")
		return nil
	}
}

// until looks at inputs up to one that is meant.
func (g *gated) until(meant func(interwork.Input) bool) {
	g.t.Helper()
	for !meant(g.next()) {
	}
}

// waiting waits until so many inputs wait.
func (g *gated) waiting(n int) {
	g.t.Helper()
	await(g.t, func() bool { return len(g.inbox) >= n })
}

// linked looks at inputs until the exchange has told its group on a link.
func (g *gated) linked() {
	g.t.Helper()
	g.until(func(in interwork.Input) bool { _, is := in.(interwork.LinkMessage); return is })
}

// pass lets time go by and the core see it; inputs wait meanwhile.
func (g *gated) pass(d time.Duration) {
	time.Sleep(d)
	g.step(interwork.Tick{})
}

func saysSetUp(in interwork.Input) bool {
	s, is := in.(interwork.CallerMessage)
	return is && s.Msg.Type == isup.SetUp
}

// A connection is closed as idle or on the way out while a set-up that was read on it waits for the
// core: the set-up is refused, and the connection ends in order behind that word.
func TestASetUpThatCrossesTheCloseOfItsConnectionIsAnswered(t *testing.T) {
	g := newGated(t)
	g.linked()
	p := g.b.phone()
	g.until(func(in interwork.Input) bool { _, is := in.(accepted); return is })
	g.step(interwork.Shutdown{})
	before := len(g.inbox)
	p.call(7, "3000")
	g.waiting(before + 1)
	g.pass(time.Second) // calls are taken no more; the connection has none open
	g.until(saysSetUp)
	if m := p.hear(isup.Release); m.Cause() != isup.Congestion {
		t.Errorf("cause %d", m.Cause())
	}
	for len(g.inbox) > 0 {
		g.next()
	}
	if m, err := p.r.Read(); err == nil {
		t.Errorf("heard %+v", m)
	}
}

// A core that does not keep up is not given more calls: they are refused at the edge, at once. What
// says that a call stands already wants no answer and gets none.
func TestNewCallsAreShedWhereTheCoreDoesNotKeepUp(t *testing.T) {
	g := newGated(t)
	g.linked()
	p := g.b.phone()
	g.until(func(in interwork.Input) bool { _, is := in.(accepted); return is })
	for len(g.inbox) < inboxMost/2 {
		g.inbox <- interwork.Tick{}
	}
	p.call(7, "3000")
	m := p.hear(isup.Release)
	if after, _ := m.Get(isup.ParamRetryAfter); m.Cause() != isup.Congestion || string(after) != "2000" {
		t.Errorf("cause %d, to stay away %q", m.Cause(), after)
	}
	held := (&isup.Message{Type: isup.SetUp, CallID: 8}).Add(isup.ParamClass, []byte("voice")).Add(isup.ParamPatience, []byte("3000")).
		Add(isup.ParamNumber, []byte("7f3a9c21e0b4d655")).Add(isup.ParamRouting, []byte("dest:1;width:1;via:-1;at:s-1")).
		Add(isup.ParamDescription, []byte("offered"))
	p.say(held)
	g.until(saysSetUp)
	if g.core.Stats.Adopted != 1 || g.core.Stats.Calls != 0 {
		t.Errorf("%+v", g.core.Stats)
	}
}

// invites are the set-ups that reach the exchange within a time.
func (x *exchange) invites(within time.Duration) (n int) {
	for late := time.After(within); ; {
		select {
		case g := <-x.got:
			if g.m.Method == sip.Invite {
				n++
			}
		case <-late:
			return n
		}
	}
}

// A caller that has gone, by closing its connection or by giving the set-up up, wherever its set-up
// rests: no attempt begins from then on.
func TestNoAttemptBeginsForACallerThatHasGone(t *testing.T) {
	goes := map[string]func(g *gated, p *phone){
		"closes": func(g *gated, p *phone) {
			p.nc.Close()
			await(g.t, func() bool { return g.callers[1] == nil || g.callers[1].IsClosed() })
		},
		"gives up": func(g *gated, p *phone) {
			before := len(g.inbox)
			p.say((&isup.Message{Type: isup.Release, CallID: 7}).Add(isup.ParamCause, []byte{isup.NormalClearing}))
			g.waiting(before + 1)
		},
	}
	down := func(in interwork.Input) bool {
		switch in := in.(type) {
		case interwork.CallerDisconnected:
			return true
		case interwork.CallerMessage:
			return in.Msg.Type == isup.Release
		}
		return false
	}
	rests := map[string]func(g *gated, p *phone, leave func()){
		"inbox": func(g *gated, p *phone, leave func()) {
			p.call(7, "3000")
			g.waiting(1)
			leave()
			g.until(saysSetUp)
			if n := g.b.x.invites(100 * time.Millisecond); n != 0 {
				g.t.Errorf("%d attempts began before the word that the caller has gone", n)
			}
			g.until(down)
		},
		"module": func(g *gated, p *phone, leave func()) {
			g.step(interwork.ExchangeListUpdate{Changes: []srvlist.Entry{{Name: "s-1", Addr: g.b.x.ln.Addr().String(), Number: 1, State: brain.Draining}}})
			p.call(7, "3000")
			g.until(saysSetUp)
			leave()
			g.until(down)
			g.step(interwork.ExchangeListUpdate{Changes: []srvlist.Entry{{Name: "s-1", Addr: g.b.x.ln.Addr().String(), Number: 1, State: brain.InService}}})
		},
		"retry timer": func(g *gated, p *phone, leave func()) {
			p.call(7, "3000")
			g.until(saysSetUp)
			in := g.b.x.await(sip.Invite)
			g.b.x.say(in.nc, in.m, 504, "")
			g.linked()
			leave()
			g.until(down)
		},
	}
	for where, rest := range rests {
		for how, goes := range goes {
			if where == "inbox" && how == "gives up" {
				continue // the word is behind the set-up in order; the next test has the outbox
			}
			t.Run(where+", "+how, func(t *testing.T) {
				g := newGated(t)
				g.linked()
				p := g.b.phone()
				g.until(func(in interwork.Input) bool { _, is := in.(accepted); return is })
				rest(g, p, func() { goes(g, p) })
				for range 12 {
					g.pass(50 * time.Millisecond)
				}
				if n := g.b.x.invites(100 * time.Millisecond); n != 0 {
					t.Errorf("%d attempts began", n)
				}
				if s := g.core.Stats; s.Answered+s.Refused+s.Failed != 0 {
					t.Errorf("an answer that nobody waits for: %+v", s)
				}
			})
		}
	}
}

// The same while the set-up waits for a connection: the dial ends after the caller has gone, and by then
// the exchange has been taken off the list.
func TestADialThatEndsLateBringsNothing(t *testing.T) {
	for what, crossing := range map[string]func(g *gated){
		"the caller has gone": func(g *gated) {
			g.step(interwork.CallerDisconnected{Conn: 1})
		},
		"the exchange is gone": func(g *gated) {
			g.step(interwork.ExchangeListUpdate{Changes: []srvlist.Entry{{Name: "s-1", Number: 1, State: brain.OutOfService}}})
		},
		"a new exchange has its address": func(g *gated) {
			at := g.b.x.ln.Addr().String()
			g.step(interwork.ExchangeListUpdate{Changes: []srvlist.Entry{{Name: "s-1", Addr: at, Number: 1, State: brain.Draining}, {Name: "s-2", Addr: at, Number: 2}}})
		},
	} {
		t.Run(what, func(t *testing.T) {
			g := newGated(t)
			p := g.b.phone()
			var up interwork.Input // the dial has ended and is not looked at yet
			known := false
			for up == nil || !known {
				switch in := (<-g.inbox).(type) {
				case dialed:
					up = in
				case accepted:
					g.step(in)
					known = true
				}
			}
			p.call(7, "3000")
			g.until(saysSetUp)
			crossing(g)
			g.step(up)
			for len(g.inbox) > 0 {
				g.next()
			}
			if n := g.b.x.invites(100 * time.Millisecond); n != 0 {
				t.Errorf("%d attempts began", n)
			}
			if len(g.links) > 2 || len(g.dials) > 1 {
				t.Errorf("%d links and %d dials are left", len(g.links), len(g.dials))
			}
		})
	}
}
