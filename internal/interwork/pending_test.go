package interwork

import (
	"fmt"
	"strings"
	"testing"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
)

func TestPendingSetUpsPerConnectionAreLimited(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	for id := uint64(1); id <= 6; id++ {
		h.handleCallerMessage(1, newSetUp(id, 1))
	}
	if got := h.sentToCaller(1, 6); got != "12/42" || h.sentToCaller(1, 5) != "" {
		t.Errorf("caller received %q for the sixth set-up, %q for the fifth", got, h.sentToCaller(1, 5))
	}
}

// Guards against a core that is slowed down by thousands of waiting calls: beyond a total, each connection may
// only have its share of the pending set-ups, and one that has fewer is still served.
func TestPendingSetUpsAreSharedBetweenConnections(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.core.cfg.MaxPending, h.core.cfg.MaxPendingPerConn = 12, 9
	for conn := ConnID(1); conn <= 4; conn++ {
		h.handle(CallerConnected{conn + 2})
		for n := range uint64(10) {
			h.handleCallerMessage(conn+2, newSetUp(uint64(conn)*100+n, 1))
		}
	}
	var pending []int
	for conn := ConnID(3); conn <= 6; conn++ {
		pending = append(pending, h.core.conns[conn].pending)
	}
	if got := fmt.Sprint(pending); got != "[9 6 4 3]" {
		t.Errorf("pending set-ups by connection are %s, want 9 of one, then equal shares of 12", got)
	}
	h.handle(CallerDisconnected{3})
	h.handle(CallerDisconnected{4})
	h.handleCallerMessage(6, newSetUp(7, 1))
	if got := h.sentToCaller(6, 7); got != "" || h.core.pending != 8 || h.core.connsWithPending != 2 {
		t.Errorf("received %q, %d pending on %d connections after two have gone, want 8 on 2", got, h.core.pending, h.core.connsWithPending)
	}
}

// Guards against a process over its memory limit: beyond a total length of their descriptions, each connection may
// only have its share of the pending set-ups, and one without any may have one.
func TestLargePendingSetUpsAreSharedBetweenConnections(t *testing.T) {
	h := newHarness(t, newDirectModule(1))
	h.core.cfg.MaxPendingBytes = 4 << 10
	offer := func(conn ConnID, id uint64, size int) {
		msg := newSetUp(id, 1)
		h.handleCallerMessage(conn, replaceParam(msg, isup.ParamDescription, strings.Repeat("x", size)))
	}
	for id := uint64(1); id <= 5; id++ {
		offer(1, id, 1<<10)
	}
	offer(2, 6, 1<<10)
	offer(2, 7, 1<<10)
	offer(2, 8, 1<<10)
	if got := fmt.Sprint(h.core.conns[1].pending, h.core.conns[2].pending); got != "4 2" {
		t.Errorf("pending set-ups by connection are %s, want 4 of one and then equal shares of 4 kB", got)
	}
	h.handle(CallerDisconnected{1})
	h.handle(CallerDisconnected{2})
	if h.core.pendingBytes != 0 || h.core.pending != 0 {
		t.Errorf("%d bytes of %d set-ups are counted after all have gone", h.core.pendingBytes, h.core.pending)
	}
}

// Guards against a call that runs twice: its ID comes again after its caller has left or got an answer. A call that
// was sent to no exchange may come again.
func TestIDThatHasRunIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(h *testHarness, sent SendToExchange)
		want string
	}{
		"caller left, set-up withdrawn": {func(h *testHarness, _ SendToExchange) { h.handle(CallerDisconnected{1}) }, "12/42"},
		"link lost, caller left": {func(h *testHarness, sent SendToExchange) {
			h.module.respond = nil // the call waits for another route
			h.handle(LinkDown{Link: sent.Link})
			h.handle(CallerDisconnected{1})
		}, "12/42"},
		"failed": {func(h *testHarness, sent SendToExchange) { h.handle(LinkMessage{sent.Link, newResponse(7, 500)}) }, "12/42"},
		"established and released": {func(h *testHarness, sent SendToExchange) {
			h.handle(LinkMessage{sent.Link, newResponse(7, 200)})
			h.handle(LinkMessage{sent.Link, newBye(7, 16)})
		}, "12/42"},
	} {
		t.Run(name, func(t *testing.T) {
			_, h, sent := newHarnessWithPendingCall(t, 1)
			test.end(h, sent)
			invites := h.countSent(sip.Invite, 7)
			h.handleCallerMessage(2, newSetUp(7, 1))
			if got := h.sentToCaller(2, 7); got != test.want || h.countSent(sip.Invite, 7) != invites {
				t.Errorf("the second caller received %q, %d more INVITE; want %q and none", got, h.countSent(sip.Invite, 7)-invites, test.want)
			}
		})
	}
	h := newHarness(t, &scriptedModule{}) // finds no route
	h.handleCallerMessage(1, newSetUp(7, 1))
	h.handle(CallerDisconnected{1})
	h.module.respond = newDirectModule(1).respond
	h.handleCallerMessage(2, newSetUp(7, 1))
	if h.countSent(sip.Invite, 7) != 1 {
		t.Error("a call that was sent to no exchange did not run when it came again")
	}
}
