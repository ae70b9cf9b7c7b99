package interwork

import (
	"fmt"
	"testing"
	"time"

	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
	"dahliaspindle/routing"
)

// dialsTo returns the number of dials to an exchange so far.
func (h *testHarness) dialsTo(exchange int) (n int) {
	for _, e := range h.effects {
		if dial, matches := e.(Dial); matches && dial.Addr == testEntry(exchange).Addr {
			n++
		}
	}
	return n
}

// Guards against a release that never reaches its caller: the exchange sent it on a link that was lost, and
// sends it again on the next link that is opened, and on no other.
func TestLostLinkIsReplacedWhileCallsAreEstablished(t *testing.T) {
	for name, lose := range map[string]func(h *testHarness, link LinkID){
		"reset": func(h *testHarness, link LinkID) { h.handle(LinkDown{Link: link}) },
		"ping not answered": func(h *testHarness, link LinkID) {
			for h.core.links[link] != nil { // nothing is heard on this link, the pings on others are answered
				h.now += maintenanceInterval
				h.handle(Tick{})
				h.answerPings(link)
			}
		},
	} {
		for _, established := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, calls established: %v", name, established), func(t *testing.T) {
				h := newHarness(t, newDirectModule(1))
				h.handleCallerMessage(1, newSetUp(7, 1))
				lost, _ := h.lastSent(sip.Invite, 7)
				h.addLink(1)
				if established {
					h.handle(LinkMessage{lost.Link, newResponse(7, 200)})
				}
				h.core.links[lost.Link].suspect = true // makes it pinged although no set-up is in flight
				dials := h.dialsTo(1)
				lose(h, lost.Link)
				h.now += maintenanceInterval
				h.handle(Tick{})
				if got := h.dialsTo(1) - dials; (got == 1) != established || got > 1 {
					t.Fatalf("%d dials after the loss, another link is up", got)
				}
				if !established {
					return
				}
				h.completeDials()
				h.handle(LinkMessage{h.core.lastLinkID, newBye(7, 16)})
				if got := h.sentToCaller(1, 7); got != "9 12/16" {
					t.Errorf("caller received %q, want its answer and the release", got)
				}
			})
		}
	}
}

// answerPings answers the pings on all links but one.
func (h *testHarness) answerPings(except LinkID) {
	for _, link := range h.allLinks() {
		if link.pingSentAt > 0 && link.id != except {
			h.answerPing(link.id)
		}
	}
}

// answerPing answers the ping on a link.
func (h *testHarness) answerPing(link LinkID) {
	h.handle(LinkMessage{link, &sip.Message{Status: 200, CSeqMethod: sip.Options}})
}

// Connections at exchanges are scarce: a loss costs one connection in place of the lost one, and when that is no
// longer needed and closed no further one takes its place.
func TestLostLinksAreReplacedOnce(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.establishCall(1, 7)
	h.addLink(1)
	h.addLink(1)
	links := h.core.peersByName["s-1"].links
	dials := h.dialsTo(1)
	first, second := links[0].id, links[1].id
	h.handle(LinkDown{Link: first})
	h.handle(LinkDown{Link: second})
	h.advance(time.Second)
	if got, left := h.dialsTo(1)-dials, len(h.core.peersByName["s-1"].links); got != 2 || left != 3 {
		t.Errorf("%d dials after two losses, %d links, want 2 and 3 as before", got, left)
	}
	h.advance(4 * idleTimeout)
	if got, left := h.dialsTo(1)-dials, len(h.core.peersByName["s-1"].links); got != 2 || left != 1 {
		t.Errorf("%d dials, %d links left after a quiet time, want 2 and 1", got, left)
	}
	if len(h.core.peersByName["s-1"].calls) != 1 {
		t.Error("the call did not last")
	}
}

// Guards against a lost release where no more links are allowed: an idle one gives way.
func TestLostLinkIsReplacedAtTheLimit(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	link := h.establishCall(1, 7)
	h.addLink(1)
	h.addLink(2)
	h.core.cfg.MaxLinks = len(h.core.links) - 1
	dials := h.dialsTo(1)
	h.handle(LinkDown{Link: link})
	if got := h.dialsTo(1) - dials; got != 1 || len(h.core.links) > h.core.cfg.MaxLinks {
		t.Errorf("%d dials, %d links, %d are allowed", got, len(h.core.links), h.core.cfg.MaxLinks)
	}
}

// Guards against a release that crosses the close of an idle link: it is heard until the exchange closes its
// side, and no other link is opened for it.
func TestReleaseOnClosingLinkIsHeard(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.core.cfg.ExchangeIdleTimeout = 8 * time.Second
	link := h.establishCall(1, 7)
	h.establishCall(1, 8)
	for h.core.links[link] != nil {
		h.advance(maintenanceInterval)
	}
	h.handle(LinkMessage{link, newBye(7, 16)})
	if got := h.sentToCaller(1, 7); got != "9 12/16" {
		t.Errorf("caller received %q, want its answer and the release", got)
	}
	h.handle(LinkDown{Link: link})
	h.handle(LinkMessage{link, newBye(8, 16)}) // nothing can arrive on it any more
	if got := h.sentToCaller(1, 8); got != "9" || h.core.closingLinks[link] != nil {
		t.Errorf("caller received %q; the link is kept: %v", got, h.core.closingLinks[link] != nil)
	}
}

// An exchange that restarts after the loss has no release to send: its calls end as the list names the new
// process.
func TestCallsEndWhereExchangeRestartsAfterLoss(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	link := h.establishCall(1, 7)
	h.addLink(1)
	h.advance(100 * time.Millisecond)
	h.handle(LinkDown{Link: link})
	h.completeDials()
	entry := testEntry(1)
	entry.StartUnixMilli = int64((time.Hour*1000 + h.now + 1) / time.Millisecond)
	h.handle(ExchangeListUpdate{Changes: []srvlist.Entry{entry}})
	if got := h.sentToCaller(1, 7); got != "9 12/41" {
		t.Errorf("caller received %q, want its answer and a release", got)
	}
	if ended := h.module.endedEvents(); len(ended) != 1 || ended[0].Outcome != routing.OutcomeReset {
		t.Errorf("module received %+v", ended)
	}
}

// loseUnnoticed lets the core close a link whose ping is not answered, as in a cut of the network, in which the
// exchange does not notice the close.
func (h *testHarness) loseUnnoticed(link LinkID) {
	h.t.Helper()
	for limit := h.now + 10*time.Second; h.core.links[link] != nil; {
		if h.now > limit {
			h.t.Fatal("a link on which nothing arrives is kept")
		}
		h.now += maintenanceInterval
		h.handle(Tick{})
		h.answerPings(link)
	}
	h.completeDials()
}

// releaseTimeLimit is the time within which a caller has to learn that its call is over.
const releaseTimeLimit = 8 * time.Second

// Guards against a release that never reaches its caller: the exchange sent it on a link that was closed during
// a cut of the network, some time after the replacement of that link was opened.
func TestReleaseSentOnUnnoticedCloseReachesCaller(t *testing.T) {
	for name, lose := range map[string]func(h *testHarness, link LinkID){
		"ping not answered": (*testHarness).loseUnnoticed,
		"write not finished": func(h *testHarness, link LinkID) {
			h.handle(LinkDown{Link: link, Unconfirmed: true})
			h.completeDials()
		},
		"idle close not answered": func(h *testHarness, link LinkID) {
			h.core.closeLink(h.core.links[link], "idle")
			h.handle(LinkDown{Link: link, Unconfirmed: true})
			h.completeDials()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newDirectModule(1))
			lose(h, h.establishCall(1, 7))
			h.advance(30 * time.Second)
			for range 3 { // the release is sent at any time and lost
				dials := h.dialsTo(1)
				h.advance(1300 * time.Millisecond)
				lostAt := h.now
				for h.dialsTo(1) == dials && h.now-lostAt < releaseTimeLimit {
					h.advance(maintenanceInterval)
				}
				if h.dialsTo(1) == dials {
					t.Fatalf("no link was opened within %v of a release that was lost", releaseTimeLimit)
				}
			}
			h.advance(2 * maintenanceInterval)
			if left := len(h.core.peersByName["s-1"].links); left != 1 {
				t.Errorf("%d links are left, want one", left)
			}
			h.handle(LinkMessage{h.core.lastLinkID, newBye(7, 16)})
			if got := h.sentToCaller(1, 7); got != "9 12/16" {
				t.Errorf("caller received %q, want its answer and the release", got)
			}
		})
	}
}

// Connections at exchanges are scarce: links are opened again only as long as a call depends on it, and not for
// calls that were set up after the loss.
func TestLinksAreReopenedOnlyForCallsFromBeforeTheClose(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.loseUnnoticed(h.establishCall(1, 7))
	h.advance(maintenanceInterval)
	h.establishCall(1, 8)
	h.handle(LinkMessage{h.firstLinkUp(1), newBye(7, 16)})
	dials := h.dialsTo(1)
	h.advance(5 * reopenInterval)
	if got := h.dialsTo(1) - dials; got != 0 {
		t.Errorf("%d dials, want none", got)
	}
}

// Guards against a lost release where no more links are allowed and each exchange has one: it is closed and
// another one opened.
func TestOnlyLinkIsReopenedAtTheLimit(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.loseUnnoticed(h.establishCall(1, 7))
	h.core.cfg.MaxLinks = len(h.core.links)
	dials := h.dialsTo(1)
	h.advance(releaseTimeLimit)
	if got := h.dialsTo(1) - dials; got == 0 || len(h.core.links) > h.core.cfg.MaxLinks {
		t.Errorf("%d dials, %d links, %d are allowed", got, len(h.core.links), h.core.cfg.MaxLinks)
	}
}

// Guards against a lost release of a call that was set up after an unnoticed close: once its own link is closed as
// idle, the exchange may send the release on the link that it wrongly believes to be open.
func TestLinksAreReopenedForCallsWhoseLinkIsClosedAsIdle(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.loseUnnoticed(h.establishCall(1, 7))
	h.advance(maintenanceInterval)
	link := h.establishCall(1, 8)
	h.core.closeLink(h.core.links[link], "idle")
	h.handle(LinkMessage{link, newBye(7, 16)}) // crosses the close
	h.handle(LinkDown{Link: link})
	h.advance(2 * maintenanceInterval) // the exchange gets another link in place of that one
	dials := h.dialsTo(1)
	h.advance(releaseTimeLimit)
	if h.dialsTo(1) == dials {
		t.Error("no link was opened for a release that may be sent on a dead one")
	}
}
