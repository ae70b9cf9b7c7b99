package controller

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"dahliaspindle/internal/signal"
	"dahliaspindle/routing"
)

// BenchmarkCall runs calls through the core and the routing module, from the Add to
// the release, while a number of other calls are established.
func BenchmarkCall(b *testing.B) {
	for _, established := range []int{0, 20000} {
		b.Run(fmt.Sprint(established, " established"), func(b *testing.B) {
			h := newHarness(b, routing.New(routing.Settings{
				Seed:           1,
				Controllers:    2,
				Classes:        testClasses,
				ReleaseWait:    300 * time.Millisecond,
				ColdFrom:       0.3,
				ColdFor:        10 * time.Second,
				OverloadFactor: 2.5,
				OverloadFor:    3 * time.Second,
				MaxAttempts:    6,
				Cancelling:     true,
				Tick:           time.Millisecond,
			}))
			h.announceList(0, 1)
			h.handle(Input{
				Kind: InputMessage,
				Peer: exchangePeer(100),
				Message: (&signal.Message{ID: 9, Command: signal.Notify, Termination: signal.Root}).
					Put("Group", "1 1000000 1000000"),
			})
			n := 0
			setUpCall := func() string {
				n++
				h.now += 100 * time.Microsecond
				name := fmt.Sprint("c", n)
				effects := h.receive(callerPeer(1), addRequest(name))
				setUps := messagesTo(effects, exchangePeer(101), signal.Request, signal.Add)
				if len(setUps) != 1 {
					b.Fatalf("call %d: got %d set-ups, want 1", n, len(setUps))
				}
				h.receive(exchangePeer(101), setUps[0].NewReply())
				return name
			}
			for range established {
				setUpCall()
			}
			b.ReportAllocs()
			for b.Loop() {
				name := setUpCall()
				effects := h.receive(callerPeer(1), &signal.Message{Command: signal.Subtract, Termination: name})
				releases := messagesTo(effects, exchangePeer(101), signal.Request, signal.Subtract)
				h.receive(exchangePeer(101), releases[0].NewReply())
			}
		})
	}
}

// BenchmarkReadAndWrite parses and encodes one set-up message.
func BenchmarkReadAndWrite(b *testing.B) {
	msg := addRequest("c3-1741").PutInt("Attempt", 0).PutInt("From", 3)
	msg.ID = 17
	text := bytes.Repeat(msg.Append(nil), 1000)
	var encoded []byte
	reader := signal.NewReader(bytes.NewReader(text), signal.Limits{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			reader = signal.NewReader(bytes.NewReader(text), signal.Limits{})
		}
		parsed, err := reader.Read()
		if err != nil {
			b.Fatal(err)
		}
		encoded = parsed.Append(encoded[:0])
	}
}
