package node

import (
	"testing"
	"time"

	"dahliaspindle/internal/interwork"
	"dahliaspindle/internal/isup"
)

// floodSize is the number of set-ups that a fast client sends at once.
const floodSize = 900

// isAccepted reports whether an input announces a caller's connection.
func isAccepted(in interwork.Input) bool { _, ok := in.(callerAccepted); return ok }

// sendFlood sends floodSize set-ups at once. It does not wait until the node has read them.
func (c *testCaller) sendFlood() {
	var flood []byte
	for id := range uint64(floodSize) {
		flood = newTestSetUp(1000+id, "9000").Append(flood)
	}
	go func() { _, _ = c.netConn.Write(flood) }() // ends at the latest when the connection is closed
}

// Guards against usual calls that wait for seconds, and releases of exchanges behind them, while another caller
// sends set-ups at full speed: connections take turns at the core.
func TestFloodingCallerDoesNotFillTheInbox(t *testing.T) {
	n := newSteppedNode(t)
	n.processUntilLinkMessage()
	usual := n.testNode.newCaller()
	n.processUntil(isAccepted)
	flooding := n.testNode.newCaller()
	n.processUntil(isAccepted)
	flooding.sendFlood()
	n.waitForInputs(maxInputsPerCaller)
	time.Sleep(200 * time.Millisecond)
	inputsBefore := len(n.inbox)
	usual.sendSetUp(7, "3000")
	n.waitForInputs(inputsBefore + 1)
	isUsual := func(in interwork.Input) bool {
		message, ok := in.(interwork.CallerMessage)
		return ok && message.Msg.CallID == 7
	}
	ahead := 0
	for !isUsual(n.processNext()) {
		if ahead++; ahead > maxInputsPerCaller+2 {
			t.Fatalf("a usual set-up waits behind more than %d inputs of another caller", ahead)
		}
	}
}

// Guards against a core that gets no processor time, because the goroutine of a connection refuses set-ups at
// full speed while the inbox is half full.
func TestShedSetUpsTakeTurns(t *testing.T) {
	n := newSteppedNode(t)
	n.processUntilLinkMessage()
	flooding := n.testNode.newCaller()
	n.processUntil(isAccepted)
	for len(n.inbox) < inboxCapacity/2 {
		n.inbox <- interwork.Tick{}
	}
	flooding.sendFlood()
	flooding.expect(isup.Release)
	time.Sleep(200 * time.Millisecond)
	if shed := n.shedSetUps.Load(); shed > maxInputsPerCaller {
		t.Fatalf("%d set-ups were refused while the core handled none, want %d at most", shed, maxInputsPerCaller)
	}
	n.processUntil(func(in interwork.Input) bool { _, ok := in.(interwork.SetUpShed); return ok })
	n.processUntil(isSetUpInput) // the inbox is no longer half full
}
