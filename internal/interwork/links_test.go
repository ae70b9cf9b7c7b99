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
		c := New(Config{Module: mod, Settings: settings, Connect: 500 * time.Millisecond, Links: most, Conns: 8, PerConn: 5, Calls: 1000}, start)
		r := &rig{t: t, mod: mod, now: start, c: c}
		list := func(from, to int) {
			var rows []srvlist.Entry
			for n := from; n < to; n++ {
				rows = append(rows, entry(n))
			}
			r.in(Listed{Complete: from == 0, Changes: rows})
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
		r.in(CallerUp{1})
		for n := 1; n < 25; n++ { // exchanges in turn
			r.call(1, setUp(uint64(n), n))
			held(fmt.Sprint("call ", n))
			r.up()
			s, ok := r.sent(sip.Invite, uint64(n))
			if !ok {
				t.Fatalf("first %d: the set-up to exchange %d was not sent", first, n)
			}
			r.in(LinkSays{s.Link, answer(uint64(n), 200)})
		}
	}
}

// A connection that has been idle for nearly as long as the settings let it be is closed by this end
// and made anew, and no set-up goes out on it: it might cross the exchange's close.
func TestNoSetUpGoesOutOnAConnectionAboutToBeClosedAsIdle(t *testing.T) {
	r := newRig(t, direct(1))
	r.c.cfg.Idle = 8 * time.Second
	old := r.link(1)
	r.now += 8*time.Second - 900*time.Millisecond // no tick in between: the timer is late
	r.in(CallerUp{9})
	r.call(9, setUp(7, 1))
	r.up()
	s, ok := r.sent(sip.Invite, 7)
	if !ok || s.Link == old {
		t.Fatalf("sent %v on link %d, the idle one is %d", ok, s.Link, old)
	}
	r.in(LinkSays{s.Link, answer(7, 200)})
	r.pass(6 * time.Second)
	first := r.c.Stats.Resets
	idle := 0
	for _, e := range r.out {
		if d, is := e.(Drop); is && d.Idle && d.Why == "idle" {
			idle++
		}
	}
	if idle < 8 || first != 0 || len(r.c.names["s-2"].links) == 0 {
		t.Errorf("%d closed as idle, %d resets, %d links", idle, first, len(r.c.names["s-2"].links))
	}
	r.in(LinkSays{r.link(1), byeOf(7, 16)})
	if ends := r.mod.ends(); len(ends) != 1 || ends[0].Outcome != brain.OK {
		t.Errorf("%+v", ends)
	}
}
