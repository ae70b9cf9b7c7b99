package interwork

import (
	"testing"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
)

// answerBye answers the BYE of a call on a link.
func (h *testHarness) answerBye(link LinkID, id uint64) {
	h.handle(LinkMessage{link, &sip.Message{Status: 200, CallID: callID(id), CSeq: 2, CSeqMethod: sip.Bye}})
}

// newHarnessWithReleasedCall returns a harness in which the caller has released call 7, and the link on which
// the BYE was sent.
func newHarnessWithReleasedCall(t *testing.T) (*testHarness, LinkID) {
	h := newHarness(t, newDirectModule(2))
	h.establishCall(1, 7)
	h.handleCallerMessage(1, newRelease(7, isup.NormalClearing))
	sent, ok := h.lastSent(sip.Bye, 7)
	if !ok {
		t.Fatal("no BYE was sent")
	}
	return h, sent.Link
}

// Guards against a call that is left established at its exchange: the BYE was sent on a link that was lost, and no
// other call there made the core test the link.
func TestByeOfLostLinkIsSentAgain(t *testing.T) {
	for name, lose := range map[string]func(h *testHarness, link LinkID){
		"ping not answered": (*testHarness).loseUnnoticed,
		"reset": func(h *testHarness, link LinkID) {
			h.handle(LinkDown{Link: link})
			h.completeDials()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, link := newHarnessWithReleasedCall(t)
			releasedAt := h.now
			lose(h, link)
			if h.now-releasedAt > 2*time.Second {
				t.Errorf("the link was given up %v after the BYE", h.now-releasedAt)
			}
			if got := h.countSent(sip.Bye, 7); got != 2 {
				t.Fatalf("%d BYEs were sent, want a second one", got)
			}
			again, _ := h.lastSent(sip.Bye, 7)
			h.answerBye(again.Link, 7)
			h.handle(LinkDown{Link: again.Link})
			h.completeDials()
			if got := h.countSent(sip.Bye, 7); got != 2 {
				t.Errorf("%d BYEs were sent although the second was answered", got)
			}
		})
	}
}

// Guards against the release of a call that has been set up at the exchange again since its BYE.
func TestByeIsNotSentAgainForCallThatIsSetUpAgain(t *testing.T) {
	module, h, sent := newHarnessWithPendingCall(t, 2)
	h.handle(LinkDown{Link: sent.Link}) // the first attempt may have been answered
	h.completeDials()
	again, ok := h.lastSent(sip.Invite, 7)
	bye, byeSent := h.lastSent(sip.Bye, 7)
	if !ok || again.Link == sent.Link || !byeSent || len(module.endedEvents()) != 1 {
		t.Fatalf("no second attempt after a BYE: sent on link %d, BYE %v", again.Link, byeSent)
	}
	h.handle(LinkMessage{again.Link, newResponse(7, 200)})
	h.addLink(1)
	h.handle(LinkDown{Link: bye.Link})
	h.completeDials()
	if got := h.countSent(sip.Bye, 7); got != 1 {
		t.Errorf("%d BYEs were sent, the last one releases an established call", got)
	}
}

// The same for a call that is still pending and may be sent to the exchange again: its next set-up could overtake the
// BYE on another link.
func TestByeOfPendingCallIsNotSentAgain(t *testing.T) {
	module, h, sent := newHarnessWithPendingCall(t, 2)
	module.respond = nil // the call waits for another route
	h.addLink(1)
	h.handle(LinkDown{Link: sent.Link})
	bye, ok := h.lastSent(sip.Bye, 7)
	if !ok {
		t.Fatal("no BYE was sent for an attempt that may have been answered")
	}
	h.addLink(1)
	h.handle(LinkDown{Link: bye.Link})
	if got := h.countSent(sip.Bye, 7); got != 1 {
		t.Errorf("%d BYEs were sent while the call is pending, want 1", got)
	}
}

// Probes are paid for by the whole network: a BYE that is answered at once costs none. Where exchanges do not
// answer a BYE, a ping tells that it has arrived.
func TestByeIsConfirmedByItsAnswerOrByAPing(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "not answered": false} {
		t.Run(name, func(t *testing.T) {
			h, link := newHarnessWithReleasedCall(t)
			if answered {
				h.answerBye(link, 7)
			}
			pings := h.core.Stats.Tests
			h.advance(5 * time.Second)
			if got := h.core.Stats.Tests - pings; (got == 0) != answered || got > 1 {
				t.Errorf("%d pings after a BYE", got)
			}
			if left := len(h.core.links[link].unconfirmedByes); left != 0 {
				t.Errorf("%d BYEs are kept", left)
			}
			h.handle(LinkDown{Link: link})
			h.completeDials()
			if got := h.countSent(sip.Bye, 7); got != 1 {
				t.Errorf("%d BYEs were sent, want 1", got)
			}
		})
	}
}

// The BYEs that are kept for a link are bounded; the oldest are dropped and counted.
func TestUnconfirmedByesAreBounded(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	link := h.core.links[h.firstLinkUp(1)]
	for id := range uint64(maxPendingByes + 3) {
		h.core.sendBye(link, byeRequest{id: id, callID: callID(id), cause: isup.NormalClearing})
	}
	if len(link.unconfirmedByes) != maxPendingByes || link.unconfirmedByes[0].id != 3 || h.core.Stats.ByesShed != 3 {
		t.Errorf("%d BYEs are kept from number %d on, %d shed", len(link.unconfirmedByes), link.unconfirmedByes[0].id, h.core.Stats.ByesShed)
	}
}
