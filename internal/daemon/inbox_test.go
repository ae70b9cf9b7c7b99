package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"dahliaspindle/internal/controller"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/signal"
)

// A full inbox sheds new calls and counts them, lets answers wait for room and
// loses none, and lets go of who waits when it closes.
func TestInboxShedsCallsAndKeepsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newInbox(20)
		put := func(k guard.Kind, n int) (taken int) {
			for range n {
				if b.put(k, controller.Input{Kind: controller.InputMessage}) {
					taken++
				}
			}
			return taken
		}
		if n := put(guard.NewCall, 30); n != 10 {
			t.Fatalf("%d new calls taken, want half", n)
		}
		if n := put(guard.Completion, 10); n != 10 {
			t.Fatalf("%d answers taken", n)
		}
		late := make(chan bool)
		go func() { late <- b.put(guard.Completion, controller.Input{Kind: controller.InputDisconnected}) }()
		synctest.Wait()
		got := b.take()
		if len(got) != 21 || got[20].Kind != controller.InputShed || got[20].Count != 20 {
			t.Fatalf("%d inputs, the last %+v", len(got), got[len(got)-1])
		}
		if !<-late {
			t.Fatal("an answer is lost")
		}
		if got = b.take(); len(got) != 1 || got[0].Kind != controller.InputDisconnected {
			t.Fatalf("%+v", got)
		}
		put(guard.Completion, 20)
		go func() { late <- b.put(guard.Completion, controller.Input{}) }()
		time.Sleep(time.Second)
		b.close()
		if <-late {
			t.Fatal("a closed inbox takes something")
		}
	})
}

func TestWhatTheLossOfAMessageCosts(t *testing.T) {
	caller, exchange := controller.Peer{Role: controller.RoleCaller}, controller.Peer{Role: controller.RoleExchange}
	for _, c := range []struct {
		p    controller.Peer
		m    signal.Message
		want guard.Kind
	}{
		{caller, signal.Message{Command: signal.Add, Termination: "a"}, guard.NewCall},
		{caller, signal.Message{Command: signal.Subtract, Termination: "a"}, guard.Completion},
		{caller, signal.Message{Command: signal.AuditValue, Termination: signal.Root}, guard.StatusUpdate},
		{exchange, signal.Message{Kind: signal.Reply, Command: signal.Add, Termination: "a"}, guard.Completion},
		{exchange, signal.Message{Command: signal.Notify, Termination: "a"}, guard.Completion},
		{exchange, signal.Message{Command: signal.Notify, Termination: signal.Root}, guard.StatusUpdate},
	} {
		if got := kindOf(controller.Input{Kind: controller.InputMessage, Peer: c.p, Message: &c.m}); got != c.want {
			t.Errorf("%s of a %s: %d, want %d", &c.m, c.p.Role, got, c.want)
		}
	}
	if kindOf(controller.Input{Kind: controller.InputDisconnected}) != guard.Completion {
		t.Error("the end of a connection may be lost")
	}
}
