package node

import (
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"dahliaspindle/internal/interwork"
	"dahliaspindle/internal/isup"
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
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.addr = ln.Addr().String()
	g := &gated{newNode(cfg, ln, slog.New(slog.DiscardHandler)), t, b}
	g.step(interwork.Listed{Complete: true, Changes: cfg.List.Entries()})
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
	g.until(func(in interwork.Input) bool { _, is := in.(interwork.LinkSays); return is })
}

// pass moves the clock and lets the core see it.
func (g *gated) pass(d time.Duration) {
	g.start = g.start.Add(-d)
	g.step(interwork.Tick{})
}

func saysSetUp(in interwork.Input) bool {
	s, is := in.(interwork.CallerSays)
	return is && s.Msg.Type == isup.SetUp
}

// A connection is closed as idle or on the way out while a set-up that was read on it waits for the
// core: the set-up is refused, and the connection ends in order behind that word.
func TestASetUpThatCrossesTheCloseOfItsConnectionIsAnswered(t *testing.T) {
	g := newGated(t)
	g.linked()
	p := g.b.phone()
	g.until(func(in interwork.Input) bool { _, is := in.(accepted); return is })
	g.step(interwork.Leave{})
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
	if after, _ := m.Get(isup.StayAway); m.Cause() != isup.Congestion || string(after) != "2000" {
		t.Errorf("cause %d, to stay away %q", m.Cause(), after)
	}
	held := (&isup.Message{Type: isup.SetUp, Call: 8}).With(isup.Class, []byte("voice")).With(isup.Patience, []byte("3000")).
		With(isup.Number, []byte("7f3a9c21e0b4d655")).With(isup.Figures, []byte("dest:1;width:1;via:-1;at:s-1")).
		With(isup.Description, []byte("offered"))
	p.say(held)
	g.until(saysSetUp)
	if g.core.Stats.Adopted != 1 || g.core.Stats.Calls != 0 {
		t.Errorf("%+v", g.core.Stats)
	}
}
