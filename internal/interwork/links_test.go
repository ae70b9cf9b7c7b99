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
	for _, resets := range []int{0, 4} {
		module := newDirectModule(1)
		c := New(Config{Module: module, Settings: testSettings, ConnectTimeout: 500 * time.Millisecond, MaxLinks: most, MaxConns: 8, MaxPendingPerConn: 5, MaxCalls: 1000}, startTime)
		h := &testHarness{t: t, module: module, now: startTime, core: c}
		list := func(from, to int) {
			var entries []srvlist.Entry
			for n := from; n < to; n++ {
				entries = append(entries, testEntry(n))
			}
			h.handle(ExchangeListUpdate{Complete: from == 0, Changes: entries})
		}
		checkLinkCount := func(when string) {
			t.Helper()
			if len(c.links) > most {
				t.Fatalf("%s, first %d: %d connections, %d at the most", when, resets, len(c.links), most)
			}
		}
		list(0, resets)
		h.completeDials()
		checkLinkCount("at the start")
		list(resets, 25)
		h.completeDials()
		h.advance(time.Second)
		checkLinkCount("grown")
		h.handle(CallerConnected{1})
		for n := 1; n < 25; n++ { // exchanges in turn
			h.handleCallerMessage(1, newSetUp(uint64(n), n))
			checkLinkCount(fmt.Sprint("call ", n))
			h.completeDials()
			sent, ok := h.lastSent(sip.Invite, uint64(n))
			if !ok {
				t.Fatalf("first %d: the set-up to exchange %d was not sent", resets, n)
			}
			h.handle(LinkMessage{sent.Link, newResponse(uint64(n), 200)})
		}
	}
}

// A connection that has been idle for nearly as long as the settings let it be is closed by this end
// and made anew, and no set-up goes out on it: it might cross the exchange's close.
func TestNoSetUpGoesOutOnAConnectionAboutToBeClosedAsIdle(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.core.cfg.ExchangeIdleTimeout = 8 * time.Second
	old := h.firstLinkUp(1)
	h.now += 8*time.Second - 900*time.Millisecond // no tick in between: the timer is late
	h.handle(CallerConnected{9})
	h.handleCallerMessage(9, newSetUp(7, 1))
	h.completeDials()
	sent, ok := h.lastSent(sip.Invite, 7)
	if !ok || sent.Link == old {
		t.Fatalf("sent %v on link %d, the idle one is %d", ok, sent.Link, old)
	}
	h.handle(LinkMessage{sent.Link, newResponse(7, 200)})
	h.advance(6 * time.Second)
	resets := h.core.Stats.Resets
	idleCloses := 0
	for _, e := range h.effects {
		if d, matches := e.(CloseLink); matches && d.Idle && d.Reason == "idle" {
			idleCloses++
		}
	}
	if idleCloses < 4 || resets != 0 || len(h.core.peersByName["s-2"].links) == 0 {
		t.Errorf("%d closed as idle, %d resets, %d links", idleCloses, resets, len(h.core.peersByName["s-2"].links))
	}
	h.handle(LinkMessage{h.firstLinkUp(1), newBye(7, 16)})
	if ends := h.module.endedEvents(); len(ends) != 1 || ends[0].Outcome != brain.OutcomeCompleted {
		t.Errorf("%+v", ends)
	}
}

// Set-ups share connections, up to a few on one, until one is lost with set-ups out: then each gets one
// of its own for a while. One that stands holds none.
func TestSetUpsShareConnectionsUntilOneIsLost(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	peer := h.core.peersByName["s-1"]
	ring := func(from, to uint64) {
		for id := from; id < to; id++ {
			h.handle(CallerConnected{ConnID(10 + id)})
			h.handleCallerMessage(ConnID(10+id), newSetUp(id, 1))
			h.completeDials()
		}
	}
	ring(1, 5)
	if len(peer.links) != 1 || len(peer.links[0].pending) != 4 {
		t.Fatalf("%d connections for four set-ups", len(peer.links))
	}
	ring(5, 6)
	h.advance(100 * time.Millisecond)
	if len(peer.links) != 2 {
		t.Fatalf("%d connections for five set-ups", len(peer.links))
	}
	h.handle(LinkDown{Link: peer.links[0].id})
	h.completeDials()
	ring(20, 23)
	for _, link := range peer.links {
		if len(link.pending) > 1 && link.id > peer.links[0].id {
			t.Errorf("connection %d has %d set-ups out after one was lost", link.id, len(link.pending))
		}
	}
	if len(peer.links) != peer.countBusyLinks()+1 {
		t.Errorf("%d connections with %d of them busy", len(peer.links), peer.countBusyLinks())
	}
}

func (peer *peerExchange) countBusyLinks() (n int) {
	for _, link := range peer.links {
		if len(link.pending) > 0 {
			n++
		}
	}
	return n
}

// A further attempt at the same exchange goes out on another connection, even if that has to be made:
// answers are told apart by it alone.
func TestAFurtherAttemptWaitsForAConnectionOfItsOwn(t *testing.T) {
	h := newHarness(t, newDirectModule(2))
	h.handleCallerMessage(1, newSetUp(7, 1))
	first, _ := h.lastSent(sip.Invite, 7)
	h.advance(1100 * time.Millisecond) // timed out: sent again by this module, at once
	h.completeDials()
	sent, _ := h.lastSent(sip.Invite, 7)
	if h.countSent(sip.Invite, 7) != 2 || sent.Link == first.Link {
		t.Fatalf("%d attempts, on links %d and %d", h.countSent(sip.Invite, 7), first.Link, sent.Link)
	}
	h.handle(LinkMessage{first.Link, newResponse(7, 200)}) // late: hung up
	if h.sentToCaller(1, 7) != "" || h.countSent(sip.Bye, 7) != 1 {
		t.Errorf("said %q, %d BYE", h.sentToCaller(1, 7), h.countSent(sip.Bye, 7))
	}
}

// Exchanges that can't be reached for ten minutes, some silent, some refusing: what is kept for them does
// not grow, and each is tried again and again.
func TestConnectionsThatNeverComeUpLeaveNothing(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	for _, link := range h.allLinks() {
		h.handle(LinkDown{Link: link.id})
	}
	maxLinks, dials := 0, 0
	for range 10 * 60 * 10 {
		h.now += 100 * time.Millisecond
		h.handle(Tick{})
		for i, dial := range h.pendingDials {
			dials++
			h.handle(LinkDown{Link: dial.Link, Refused: i%2 == 0})
		}
		h.pendingDials = nil
		maxLinks = max(maxLinks, len(h.core.links))
		h.effects = nil
	}
	if maxLinks > 8 || h.core.timers.Len() > 4 || dials < 4*300 || dials > 4*6000 {
		t.Errorf("%d connections and %d timers at the most, %d tries", maxLinks, h.core.timers.Len(), dials)
	}
}

// An Unsent that is told after the next set-up of its call went out on the same connection is not taken
// for that one, which is out.
func TestAnUnsentThatComesLateEndsNothing(t *testing.T) {
	h := newHarness(t, newDirectModule(2))
	h.core.cfg.MaxLinks = 4 // one to each exchange
	h.handleCallerMessage(1, newSetUp(7, 1))
	first, _ := h.lastSent(sip.Invite, 7)
	h.handle(LinkMessage{first.Link, newResponse(7, 504)})
	second, _ := h.lastSent(sip.Invite, 7)
	if h.countSent(sip.Invite, 7) != 2 || second.Link != first.Link {
		t.Fatalf("%d attempts, on links %d and %d", h.countSent(sip.Invite, 7), first.Link, second.Link)
	}
	h.handle(Unsent{Link: first.Link, Msg: first.Msg})
	if ends := h.module.endedEvents(); len(ends) != 1 {
		t.Errorf("ends %+v", ends)
	}
	h.handle(Unsent{Link: second.Link, Msg: second.Msg})
	if ends := h.module.endedEvents(); len(ends) != 2 || ends[1].Outcome != brain.OutcomeNotSent {
		t.Errorf("ends %+v", ends)
	}
}
