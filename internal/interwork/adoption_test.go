package interwork

import (
	"testing"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
)

func TestAdoptedCallIsReleasedOnItsLatestConnection(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	adoption := func(id uint64, exchangeName string) *isup.Message {
		return replaceParam(newSetUp(id, 1), isup.ParamRouting, "dest:1;width:1;via:-1;at:"+exchangeName)
	}
	h.handleCallerMessage(1, adoption(7, "s-1"))
	h.handleCallerMessage(1, adoption(7, "s-1"))
	h.handleCallerMessage(2, adoption(7, "s-1"))
	if h.sentToCaller(1, 7)+h.sentToCaller(2, 7) != "" || h.countSent(sip.Invite, 7) != 0 || h.core.Stats.Adopted != 1 {
		t.Fatalf("callers received %q and %q", h.sentToCaller(1, 7), h.sentToCaller(2, 7))
	}
	h.handle(LinkMessage{h.firstLinkUp(1), newBye(7, 41)})
	if h.sentToCaller(2, 7) != "12/41" || h.sentToCaller(1, 7) != "" {
		t.Errorf("callers received %q and %q", h.sentToCaller(1, 7), h.sentToCaller(2, 7))
	}
	h.handleCallerMessage(1, adoption(7, "s-1")) // again: the call has ended
	if h.sentToCaller(1, 7) != "12/41" {
		t.Errorf("caller received %q", h.sentToCaller(1, 7))
	}
	h.handleCallerMessage(1, adoption(8, "s-77"))
	if h.sentToCaller(1, 8) != "12/41" {
		t.Errorf("call at an unknown exchange: caller received %q", h.sentToCaller(1, 8))
	}
}

// Guards against a table that fills up with calls that callers only name, after which new calls are refused: an
// adopted call ends after ten mean holding times of its class, at its exchange and for its caller.
func TestAdoptedCallsAreEndedInTime(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.core.cfg.MaxCalls = 3
	for id := uint64(7); id <= 9; id++ {
		h.handleCallerMessage(1, replaceParam(newSetUp(id, 1), isup.ParamRouting, "dest:1;width:1;via:-1;at:s-1"))
	}
	h.handle(LinkMessage{h.firstLinkUp(1), newBye(9, 16)})
	longest := adoptedHoldingTimes * testSettings.Classes[0].Holding
	h.advance(longest - time.Second)
	if len(h.core.calls) != 2 {
		t.Fatalf("%d calls are left before their time, want 2", len(h.core.calls))
	}
	h.advance(2 * time.Second)
	for id := uint64(7); id <= 8; id++ {
		if h.sentToCaller(1, id) != "12/41" || h.countSent(sip.Bye, id) != 1 {
			t.Errorf("call %d: caller received %q, %d BYE", id, h.sentToCaller(1, id), h.countSent(sip.Bye, id))
		}
	}
	if h.sentToCaller(1, 9) != "12/16" || len(h.core.calls) != 0 || h.core.Stats.Forgotten != 2 {
		t.Errorf("caller received %q, %d calls, %d forgotten", h.sentToCaller(1, 9), len(h.core.calls), h.core.Stats.Forgotten)
	}
	h.handle(CallerConnected{5})
	h.establishCall(5, 10)
}

// Guards against new calls that are refused, and against memory without a bound, while a caller names ever new calls
// as established.
func TestAdoptedCallsLeaveRoomForNewOnes(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.core.cfg.MaxCalls, h.core.cfg.MaxAdopted = 6, 3
	adopt := func(id uint64) {
		h.handleCallerMessage(1, replaceParam(newSetUp(id, 1), isup.ParamRouting, "dest:1;width:1;via:-1;at:s-1"))
	}
	for id := uint64(100); id < 110; id++ {
		adopt(id)
	}
	if h.core.Stats.Adopted != 3 || h.core.Stats.AdoptionsShed != 7 {
		t.Errorf("%d calls were adopted and %d not, want 3 and 7", h.core.Stats.Adopted, h.core.Stats.AdoptionsShed)
	}
	h.establishCall(2, 7)
	h.handle(LinkMessage{h.firstLinkUp(1), newBye(100, 16)})
	adopt(110)
	if h.core.Stats.Adopted != 4 {
		t.Error("no call was adopted in place of one that ended")
	}
}

// Guards against the end of a call that is adopted from an exchange that nobody has asked anything for a while.
func TestAdoptedCallOfQuietExchangeLasts(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.now += 10 * unresponsiveTimeout
	h.handle(CallerConnected{9})
	h.handleCallerMessage(9, replaceParam(newSetUp(7, 1), isup.ParamRouting, "dest:1;width:1;via:-1;at:s-1"))
	h.advance(2 * unresponsiveTimeout)
	if got := h.sentToCaller(9, 7); got != "" || len(h.core.calls) != 1 {
		t.Errorf("caller received %q, %d calls are left; want nothing and 1", got, len(h.core.calls))
	}
}
