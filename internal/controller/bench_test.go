package controller

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/signal"
)

// One call through the core and the module: Add, set-up, answer, hang-up,
// release, with so many others standing. Messages are made and read as on the wire.
func BenchmarkCall(b *testing.B) {
	for _, others := range []int{0, 20000} {
		b.Run(fmt.Sprint(others, " standing"), func(b *testing.B) {
			r := newRig(b, brain.New(brain.Settings{Seed: 1, Controllers: 2, Classes: testClasses, ReleaseWait: 300 * time.Millisecond,
				ColdFrom: 0.3, ColdFor: 10 * time.Second, OverloadFactor: 2.5, OverloadFor: 3 * time.Second, MaxAttempts: 6, Cancelling: true,
				Tick: time.Millisecond}))
			r.list(0, 1)
			r.in(Input{Kind: InputMessage, Peer: exchangeNo(100), Message: (&signal.Message{ID: 9, Command: signal.Notify, Termination: signal.Root}).
				Put("Group", "1 1000000 1000000")})
			n := 0
			up := func() string {
				n++
				r.now += 100 * time.Microsecond
				name := fmt.Sprint("c", n)
				out := r.say(from(1), add(name))
				sets := said(out, exchangeNo(101), signal.Request, signal.Add)
				if len(sets) != 1 {
					b.Fatalf("call %d: %d set-ups", n, len(sets))
				}
				r.say(exchangeNo(101), sets[0].NewReply())
				return name
			}
			for range others {
				up()
			}
			b.ReportAllocs()
			for b.Loop() {
				name := up()
				out := r.say(from(1), &signal.Message{Command: signal.Subtract, Termination: name})
				free := said(out, exchangeNo(101), signal.Request, signal.Subtract)
				r.say(exchangeNo(101), free[0].NewReply())
			}
		})
	}
}

// One set-up read and written, as each passes a controller.
func BenchmarkReadAndWrite(b *testing.B) {
	m := add("c3-1741").PutInt("Attempt", 0).PutInt("From", 3)
	m.ID = 17
	text := bytes.Repeat(m.Append(nil), 1000)
	var out []byte
	r := signal.NewReader(bytes.NewReader(text), signal.Limits{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			r = signal.NewReader(bytes.NewReader(text), signal.Limits{})
		}
		got, err := r.Read()
		if err != nil {
			b.Fatal(err)
		}
		out = got.Append(out[:0])
	}
}
