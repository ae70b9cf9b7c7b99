package interwork

import (
	"fmt"
	"testing"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
)

// The list may grow far beyond that of the start, or start empty: connections stay within the budget
// of descriptors, and a set-up to an exchange without one takes the room of the idlest.
func TestAListThatGrowsStaysWithinTheDescriptors(t *testing.T) {
	const most = 10
	for _, first := range []int{0, 4} {
		mod := direct(1)
		c := New(Config{Module: mod, Settings: settings, ConnectTimeout: 500 * time.Millisecond, MaxLinks: most, MaxConns: 8, MaxPendingPerConn: 5, MaxCalls: 1000}, start)
		r := &rig{t: t, mod: mod, now: start, c: c}
		list := func(from, to int) {
			var rows []srvlist.Entry
			for n := from; n < to; n++ {
				rows = append(rows, entry(n))
			}
			r.in(ExchangeListUpdate{Complete: from == 0, Changes: rows})
		}
		held := func(when string) {
			t.Helper()
			if len(c.links) > most {
				t.Fatalf("%s, first %d: %d connections, %d at the most", when, first, len(c.links), most)
			}
		}
		list(0, first)
		r.up()
		held("at the start")
		list(first, 25)
		r.up()
		r.pass(time.Second)
		held("grown")
		r.in(CallerConnected{1})
		for n := 1; n < 25; n++ { // exchanges in turn
			r.call(1, setUp(uint64(n), n))
			held(fmt.Sprint("call ", n))
			r.up()
			s, ok := r.sent(sip.Invite, uint64(n))
			if !ok {
				t.Fatalf("first %d: the set-up to exchange %d was not sent", first, n)
			}
			r.in(LinkMessage{s.Link, answer(uint64(n), 200)})
		}
	}
}

// A connection that has been idle for nearly as long as the settings let it be is closed by this end
// and made anew, and no set-up goes out on it: it might cross the exchange's close.
func TestNoSetUpGoesOutOnAConnectionAboutToBeClosedAsIdle(t *testing.T) {
	r := newRig(t, direct(1))
	r.c.cfg.ExchangeIdleTimeout = 8 * time.Second
	old := r.link(1)
	r.now += 8*time.Second - 900*time.Millisecond // no tick in between: the timer is late
	r.in(CallerConnected{9})
	r.call(9, setUp(7, 1))
	r.up()
	s, ok := r.sent(sip.Invite, 7)
	if !ok || s.Link == old {
		t.Fatalf("sent %v on link %d, the idle one is %d", ok, s.Link, old)
	}
	r.in(LinkMessage{s.Link, answer(7, 200)})
	r.pass(6 * time.Second)
	first := r.c.Stats.Resets
	idle := 0
	for _, e := range r.out {
		if d, is := e.(CloseLink); is && d.Idle && d.Reason == "idle" {
			idle++
		}
	}
	if idle < 4 || first != 0 || len(r.c.names["s-2"].links) == 0 {
		t.Errorf("%d closed as idle, %d resets, %d links", idle, first, len(r.c.names["s-2"].links))
	}
	r.in(LinkMessage{r.link(1), byeOf(7, 16)})
	if ends := r.mod.ends(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeCompleted {
		t.Errorf("%+v", ends)
	}
}

// Set-ups share connections, up to a few on one, until one is lost with set-ups out: then each gets one
// of its own for a while. One that stands holds none.
func TestSetUpsShareConnectionsUntilOneIsLost(t *testing.T) {
	r := newRig(t, direct(1))
	p := r.c.names["s-1"]
	ring := func(from, to uint64) {
		for id := from; id < to; id++ {
			r.in(CallerConnected{ConnID(10 + id)})
			r.call(ConnID(10+id), setUp(id, 1))
			r.up()
		}
	}
	ring(1, 5)
	if len(p.links) != 1 || len(p.links[0].open) != 4 {
		t.Fatalf("%d connections for four set-ups", len(p.links))
	}
	ring(5, 6)
	r.pass(100 * time.Millisecond)
	if len(p.links) != 2 {
		t.Fatalf("%d connections for five set-ups", len(p.links))
	}
	r.in(LinkDown{Link: p.links[0].id})
	r.up()
	ring(20, 23)
	for _, l := range p.links {
		if len(l.open) > 1 && l.id > p.links[0].id {
			t.Errorf("connection %d has %d set-ups out after one was lost", l.id, len(l.open))
		}
	}
	if len(p.links) != p.busy()+1 {
		t.Errorf("%d connections with %d of them busy", len(p.links), p.busy())
	}
}

func (p *peer) busy() (n int) {
	for _, l := range p.links {
		if len(l.open) > 0 {
			n++
		}
	}
	return n
}

// A further attempt at the same exchange goes out on another connection, even if that has to be made:
// answers are told apart by it alone.
func TestAFurtherAttemptWaitsForAConnectionOfItsOwn(t *testing.T) {
	r := newRig(t, direct(2))
	r.call(1, setUp(7, 1))
	first, _ := r.sent(sip.Invite, 7)
	r.pass(1100 * time.Millisecond) // timed out: sent again by this module, at once
	r.up()
	s, _ := r.sent(sip.Invite, 7)
	if r.count(sip.Invite, 7) != 2 || s.Link == first.Link {
		t.Fatalf("%d attempts, on links %d and %d", r.count(sip.Invite, 7), first.Link, s.Link)
	}
	r.in(LinkMessage{first.Link, answer(7, 200)}) // late: hung up
	if r.said(1, 7) != "" || r.count(sip.Bye, 7) != 1 {
		t.Errorf("said %q, %d BYE", r.said(1, 7), r.count(sip.Bye, 7))
	}
}

// Exchanges that can't be reached for ten minutes, some silent, some refusing: what is kept for them does
// not grow, and each is tried again and again.
func TestConnectionsThatNeverComeUpLeaveNothing(t *testing.T) {
	r := newRig(t, direct(1))
	for _, l := range r.links() {
		r.in(LinkDown{Link: l.id})
	}
	most, tries := 0, 0
	for range 10 * 60 * 10 {
		r.now += 100 * time.Millisecond
		r.in(Tick{})
		for i, d := range r.dial {
			tries++
			r.in(LinkDown{Link: d.Link, Refused: i%2 == 0})
		}
		r.dial = nil
		most = max(most, len(r.c.links))
		r.out = nil
	}
	if most > 8 || r.c.timers.Len() > 4 || tries < 4*300 || tries > 4*6000 {
		t.Errorf("%d connections and %d timers at the most, %d tries", most, r.c.timers.Len(), tries)
	}
}

// An Unsent that is told after the next set-up of its call went out on the same connection is not taken
// for that one, which is out.
func TestAnUnsentThatComesLateEndsNothing(t *testing.T) {
	r := newRig(t, direct(2))
	r.c.cfg.MaxLinks = 4 // one to each exchange
	r.call(1, setUp(7, 1))
	first, _ := r.sent(sip.Invite, 7)
	r.in(LinkMessage{first.Link, answer(7, 504)})
	second, _ := r.sent(sip.Invite, 7)
	if r.count(sip.Invite, 7) != 2 || second.Link != first.Link {
		t.Fatalf("%d attempts, on links %d and %d", r.count(sip.Invite, 7), first.Link, second.Link)
	}
	r.in(Unsent{Link: first.Link, Msg: first.Msg})
	if ends := r.mod.ends(); len(ends) != 1 {
		t.Errorf("ends %+v", ends)
	}
	r.in(Unsent{Link: second.Link, Msg: second.Msg})
	if ends := r.mod.ends(); len(ends) != 2 || ends[1].Outcome != brain.OutcomeNotSent {
		t.Errorf("ends %+v", ends)
	}
}
