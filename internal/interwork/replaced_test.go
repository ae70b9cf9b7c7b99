package interwork

import (
	"fmt"
	"testing"
	"time"

	"dahliaspindle/internal/sip"
)

// reportGroup lets exchange 1 report the state of its trunk group of 20 circuits on its first link.
func (h *testHarness) reportGroup(idle int) {
	h.handle(LinkMessage{h.firstLinkUp(1), &sip.Message{
		Method:     sip.Notify,
		CSeqMethod: sip.Notify,
		Header:     map[string][]string{"Link-State": {fmt.Sprintf("idle:%d;circuits:20", idle)}},
	}})
}

// loseAllLinks resets all links to exchange 1; the next one comes up at once.
func (h *testHarness) loseAllLinks() {
	for _, link := range h.allLinks() {
		if link.peer.Name == "s-1" {
			h.handle(LinkDown{Link: link.id})
		}
	}
	h.completeDials()
}

// Guards against calls that stand for ever at a process that has gone: another one came up at its address at once,
// while the exchange list was not told, and was taken for it.
func TestCallsEndWhereAnotherProcessTakesTheAddress(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.establishCall(1, 7)
	h.establishCall(1, 8)
	h.advance(time.Second)
	h.loseAllLinks()
	h.reportGroup(20)
	h.establishCall(2, 9) // at the new process
	h.reportGroup(19)
	h.advance(lostReleaseTimeout + 2*maintenanceInterval)
	for id := uint64(7); id <= 8; id++ {
		if got := h.sentToCaller(1, id); got != "9 12/41" {
			t.Errorf("call %d: its caller received %q, want its answer and a release", id, got)
		}
	}
	h.advance(2 * releaseTimeLimit)
	if got := h.sentToCaller(2, 9); got != "9" {
		t.Errorf("the caller at the new process received %q, want its answer alone", got)
	}
}

// A single reset proves nothing: the calls of an exchange whose links were lost go on, and a release that it sends
// again counts as it is.
func TestCallsLastWhereTheSameProcessIsReachedAgain(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.establishCall(1, 7)
	h.advance(time.Second)
	h.reportGroup(20) // overtaken by the set-up
	h.advance(time.Second)
	h.loseAllLinks()
	h.reportGroup(19)
	h.advance(10 * time.Second)
	if got := h.sentToCaller(1, 7); got != "9" {
		t.Fatalf("caller received %q, want its answer alone", got)
	}
	h.loseAllLinks()
	h.reportGroup(20) // the call has come to its end, and its release follows
	h.advance(lostReleaseTimeout - 2*maintenanceInterval)
	h.handle(LinkMessage{h.firstLinkUp(1), newBye(7, 16)})
	h.advance(time.Second)
	if got := h.sentToCaller(1, 7); got != "9 12/16" {
		t.Errorf("caller received %q, want its answer and the release of the exchange", got)
	}
}

// Guards against calls that stand for ever: the links are lost a second time before the evidence from the first loss
// is acted on, and the calls from between are over as well.
func TestCallsEndWhereTheAddressIsTakenTwice(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.establishCall(1, 7)
	h.advance(time.Second)
	h.loseAllLinks()
	h.reportGroup(20)
	h.establishCall(2, 8) // at the second process
	h.advance(maintenanceInterval)
	h.loseAllLinks()
	h.advance(2 * lostReleaseTimeout)
	h.reportGroup(20) // by the third process
	h.advance(2 * lostReleaseTimeout)
	for conn, id := range map[ConnID]uint64{1: 7, 2: 8} {
		if got := h.sentToCaller(conn, id); got != "9 12/41" {
			t.Errorf("call %d: its caller received %q, want its answer and a release", id, got)
		}
	}
}
