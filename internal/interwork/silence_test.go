package interwork

import (
	"testing"
	"time"
)

// hang moves the clock on while exchange 1 hangs: its machine completes connections, but nothing is answered
// there. The other exchanges work.
func (h *testHarness) hang(duration time.Duration) {
	for end := h.now + duration; h.now < end; {
		h.now += maintenanceInterval
		h.handle(Tick{})
		h.completeDials()
		h.answerPingsExcept("s-1")
	}
}

// answerPingsExcept answers the pings of all exchanges but one.
func (h *testHarness) answerPingsExcept(exchange string) {
	for _, link := range h.allLinks() {
		if link.pingSentAt > 0 && link.peer.Name != exchange {
			h.answerPing(link.id)
		}
	}
}

// Guards against calls that stand for ever at an exchange that hangs: its machine completes each new connection,
// and the core took that for a sign of life.
func TestCallsEndAtHangingExchangeThatAcceptsConnections(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.establishCall(1, 7)
	dials := h.dialsTo(1)
	h.hang(releaseTimeLimit)
	if got := h.sentToCaller(1, 7); got != "9 12/41" {
		t.Errorf("caller received %q, want its answer and a release within %v", got, releaseTimeLimit)
	}
	if h.dialsTo(1) == dials {
		t.Error("no link was opened while the exchange hung")
	}
}

// An exchange that can be reached again just before its calls would be ended still has time to answer.
func TestCallsLastWhereExchangeAnswersOnLateLink(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	link := h.establishCall(1, 7)
	h.handle(LinkDown{Link: link}) // and no further one comes up
	h.pendingDials = nil
	for silentAt := h.now; h.now < silentAt+unresponsiveTimeout-100*time.Millisecond; {
		h.now += maintenanceInterval
		h.handle(Tick{})
		h.answerPingsExcept("s-1")
	}
	peer := h.core.peersByName["s-1"]
	h.handle(LinkUp{peer.links[0].id})
	h.hang(pingDelayEstablished + pingTimeout - 2*maintenanceInterval)
	h.answerPing(peer.links[0].id)
	h.advance(unresponsiveTimeout)
	if got := h.sentToCaller(1, 7); got != "9" {
		t.Errorf("caller received %q, want its answer alone", got)
	}
}

// While an exchange hangs, the BYEs of its calls cost few connections.
func TestHangingExchangeGetsFewConnections(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.establishCall(1, 7)
	h.hang(releaseTimeLimit)
	dials := h.dialsTo(1)
	h.hang(30 * time.Second)
	if got := h.dialsTo(1) - dials; got > 6 {
		t.Errorf("%d connections in 30 s for one BYE, want 6 at most", got)
	}
}
