package interwork

import (
	"fmt"
	"testing"
	"time"

	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
	"dahliaspindle/routing"
)

// The exchange list may start empty or grow far beyond its initial length. The number of links must stay
// within the limit, and a set-up to an exchange without a link replaces the link that was idle longest.
func TestLinksStayWithinLimitWhenListGrows(t *testing.T) {
	const maxLinks = 10
	for _, initial := range []int{0, 4} {
		module := newDirectModule(1)
		core := New(Config{
			Module:            module,
			Settings:          testSettings,
			ConnectTimeout:    500 * time.Millisecond,
			MaxLinks:          maxLinks,
			MaxConns:          8,
			MaxPendingPerConn: 5,
			MaxPending:        100,
			MaxPendingBytes:   1 << 20,
			MaxCalls:          1000,
			MaxAdopted:        1000,
		}, startTime)
		h := &testHarness{t: t, module: module, now: startTime, core: core}
		addExchanges := func(from, to int) {
			var entries []srvlist.Entry
			for n := from; n < to; n++ {
				entries = append(entries, testEntry(n))
			}
			h.handle(ExchangeListUpdate{Complete: from == 0, Changes: entries})
		}
		checkLinkCount := func(when string) {
			t.Helper()
			if len(core.links) > maxLinks {
				t.Fatalf("%s, %d exchanges initially: %d links, limit is %d", when, initial, len(core.links), maxLinks)
			}
		}
		addExchanges(0, initial)
		h.completeDials()
		checkLinkCount("at the start")
		addExchanges(initial, 25)
		h.completeDials()
		h.advance(time.Second)
		checkLinkCount("after growth")
		h.handle(CallerConnected{1})
		for n := 1; n < 25; n++ { // a call to each exchange in turn
			h.handleCallerMessage(1, newSetUp(uint64(n), n))
			checkLinkCount(fmt.Sprint("call ", n))
			h.completeDials()
			sent, ok := h.lastSent(sip.Invite, uint64(n))
			if !ok {
				t.Fatalf("%d exchanges initially: the set-up to exchange %d was not sent", initial, n)
			}
			h.handle(LinkMessage{sent.Link, newResponse(uint64(n), 200)})
		}
	}
}

// A link that has been idle for nearly the exchange's idle timeout is closed and dialed again. No set-up is
// sent on it, since the set-up might cross the exchange's close.
func TestNoSetUpOnLinkNearIdleTimeout(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.core.cfg.ExchangeIdleTimeout = 8 * time.Second
	idleLink := h.firstLinkUp(1)
	h.now += 8*time.Second - 900*time.Millisecond // no Tick in between: the timer is late
	h.handle(CallerConnected{9})
	h.handleCallerMessage(9, newSetUp(7, 1))
	h.completeDials()
	sent, ok := h.lastSent(sip.Invite, 7)
	if !ok || sent.Link == idleLink {
		t.Fatalf("INVITE sent %v on link %d, the idle link is %d", ok, sent.Link, idleLink)
	}
	h.handle(LinkMessage{sent.Link, newResponse(7, 200)})
	h.advance(6 * time.Second)
	resets := h.core.Stats.Resets
	idleCloses := 0
	for _, e := range h.effects {
		if closed, matches := e.(CloseLink); matches && closed.Idle && closed.Reason == "idle" {
			idleCloses++
		}
	}
	if idleCloses < 4 || resets != 0 || len(h.core.peersByName["s-2"].links) == 0 {
		t.Errorf("%d links closed as idle, %d resets, %d links to exchange 2", idleCloses, resets, len(h.core.peersByName["s-2"].links))
	}
	h.handle(LinkMessage{h.firstLinkUp(1), newBye(7, 16)})
	if ended := h.module.endedEvents(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeCompleted {
		t.Errorf("ended attempts %+v", ended)
	}
}

// Up to setUpsPerLink set-ups share a link. After a link was lost with set-ups in flight, each set-up gets
// its own link for a while. Established calls occupy no link.
func TestSetUpsShareLinksUntilOneIsLost(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	peer := h.core.peersByName["s-1"]
	startCalls := func(from, to uint64) {
		for id := from; id < to; id++ {
			h.handle(CallerConnected{ConnID(10 + id)})
			h.handleCallerMessage(ConnID(10+id), newSetUp(id, 1))
			h.completeDials()
		}
	}
	startCalls(1, 5)
	if len(peer.links) != 1 || len(peer.links[0].pending) != 4 {
		t.Fatalf("%d links for four set-ups", len(peer.links))
	}
	startCalls(5, 6)
	h.advance(100 * time.Millisecond)
	if len(peer.links) != 2 {
		t.Fatalf("%d links for five set-ups", len(peer.links))
	}
	h.handle(LinkDown{Link: peer.links[0].id})
	h.completeDials()
	startCalls(20, 23)
	for _, link := range peer.links {
		if len(link.pending) > 1 && link.id > peer.links[0].id {
			t.Errorf("link %d has %d set-ups in flight after a link was lost", link.id, len(link.pending))
		}
	}
	if len(peer.links) != peer.countBusyLinks()+1 {
		t.Errorf("%d links, %d of them busy", len(peer.links), peer.countBusyLinks())
	}
}

// countBusyLinks returns the number of links with attempts in flight.
func (peer *peerExchange) countBusyLinks() (n int) {
	for _, link := range peer.links {
		if len(link.pending) > 0 {
			n++
		}
	}
	return n
}

// A second attempt at the same exchange is sent on another link, which is dialed if necessary: answers to
// the two attempts can only be told apart by their link.
func TestSecondAttemptUsesAnotherLink(t *testing.T) {
	h := newHarness(t, newDirectModule(2))
	h.handleCallerMessage(1, newSetUp(7, 1))
	first, _ := h.lastSent(sip.Invite, 7)
	h.advance(1100 * time.Millisecond) // the attempt times out and the module retries at once
	h.completeDials()
	sent, _ := h.lastSent(sip.Invite, 7)
	if h.countSent(sip.Invite, 7) != 2 || sent.Link == first.Link {
		t.Fatalf("%d attempts, on links %d and %d", h.countSent(sip.Invite, 7), first.Link, sent.Link)
	}
	h.handle(LinkMessage{first.Link, newResponse(7, 200)}) // late
	if h.sentToCaller(1, 7) != "" || h.countSent(sip.Bye, 7) != 1 {
		t.Errorf("caller received %q, %d BYE", h.sentToCaller(1, 7), h.countSent(sip.Bye, 7))
	}
}

// Exchanges are unreachable for ten minutes: some do not respond, others refuse connections. The tables must
// not grow, and the core must keep dialing each exchange.
func TestUnreachableExchangesLeaveNoState(t *testing.T) {
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
		t.Errorf("up to %d links, %d timers, %d dials", maxLinks, h.core.timers.Len(), dials)
	}
}

// An Unsent for the first set-up may arrive after a second set-up of the same call was sent on the same
// link. It must not end the second attempt, which is in flight.
func TestLateUnsentDoesNotEndSecondAttempt(t *testing.T) {
	h := newHarness(t, newDirectModule(2))
	h.core.cfg.MaxLinks = 4 // one link to each exchange
	h.handleCallerMessage(1, newSetUp(7, 1))
	first, _ := h.lastSent(sip.Invite, 7)
	h.handle(LinkMessage{first.Link, newResponse(7, 504)})
	second, _ := h.lastSent(sip.Invite, 7)
	if h.countSent(sip.Invite, 7) != 2 || second.Link != first.Link {
		t.Fatalf("%d attempts, on links %d and %d", h.countSent(sip.Invite, 7), first.Link, second.Link)
	}
	h.handle(Unsent{Link: first.Link, Msg: first.Msg})
	if ended := h.module.endedEvents(); len(ended) != 1 {
		t.Errorf("ended attempts %+v", ended)
	}
	h.handle(Unsent{Link: second.Link, Msg: second.Msg})
	if ended := h.module.endedEvents(); len(ended) != 2 || ended[1].Outcome != routing.OutcomeNotSent {
		t.Errorf("ended attempts %+v", ended)
	}
}
