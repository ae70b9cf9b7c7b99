package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"dahliaspindle/internal/controller"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/signal"
)

// A full inbox sheds new calls and counts them, makes completions wait for room and loses
// none, and releases waiting callers of put when it is closed.
func TestInboxShedsCallsAndKeepsCompletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newInbox(20)
		put := func(kind guard.Kind, n int) (taken int) {
			for range n {
				if b.put(kind, controller.Input{Kind: controller.InputMessage}) {
					taken++
				}
			}
			return taken
		}
		if n := put(guard.NewCall, 30); n != 10 {
			t.Fatalf("%d of 30 new calls queued, want 10, half of the capacity", n)
		}
		if n := put(guard.Completion, 10); n != 10 {
			t.Fatalf("%d completions queued, want 10", n)
		}
		queued := make(chan bool)
		go func() { queued <- b.put(guard.Completion, controller.Input{Kind: controller.InputDisconnected}) }()
		synctest.Wait()
		inputs := b.take()
		if len(inputs) != 21 || inputs[20].Kind != controller.InputShed || inputs[20].Count != 20 {
			t.Fatalf("%d inputs, the last %+v; want 21, the last a count of 20 shed", len(inputs), inputs[len(inputs)-1])
		}
		if !<-queued {
			t.Fatal("waiting completion lost")
		}
		if inputs = b.take(); len(inputs) != 1 || inputs[0].Kind != controller.InputDisconnected {
			t.Fatalf("inputs %+v, want the waiting completion", inputs)
		}
		put(guard.Completion, 20)
		go func() { queued <- b.put(guard.Completion, controller.Input{}) }()
		time.Sleep(time.Second)
		b.close()
		if <-queued {
			t.Fatal("closed inbox accepted an input")
		}
	})
}

func TestInputKind(t *testing.T) {
	caller, exchange := controller.Peer{Role: controller.RoleCaller}, controller.Peer{Role: controller.RoleExchange}
	for _, test := range []struct {
		peer controller.Peer
		msg  signal.Message
		want guard.Kind
	}{
		{caller, signal.Message{Command: signal.Add, Termination: "a"}, guard.NewCall},
		{caller, signal.Message{Command: signal.Subtract, Termination: "a"}, guard.Completion},
		{caller, signal.Message{Command: signal.AuditValue, Termination: signal.Root}, guard.StatusUpdate},
		{exchange, signal.Message{Kind: signal.Reply, Command: signal.Add, Termination: "a"}, guard.Completion},
		{exchange, signal.Message{Command: signal.Notify, Termination: "a"}, guard.Completion},
		{exchange, signal.Message{Command: signal.Notify, Termination: signal.Root}, guard.StatusUpdate},
	} {
		if got := inputKind(controller.Input{Kind: controller.InputMessage, Peer: test.peer, Message: &test.msg}); got != test.want {
			t.Errorf("%s from peer %s: got kind %d, want %d", &test.msg, test.peer.Role, got, test.want)
		}
	}
	if inputKind(controller.Input{Kind: controller.InputDisconnected}) != guard.Completion {
		t.Error("the end of a connection is not classified as a completion")
	}
}
