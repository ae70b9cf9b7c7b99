package audit

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/memnet"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/transport"
)

const ms = int64(time.Millisecond)

type buffer struct{ bytes.Buffer }

func (*buffer) Close() error { return nil }

// tape is a capture written by hand: one controller, its caller, two exchanges and the list.
type tape struct {
	now                       int64
	w                         *capture.Writer
	file                      *buffer
	caller, ex1, ex2, listTap *capture.ConnRecorder
}

func newTape() *tape {
	p := &tape{now: 1000 * ms, file: &buffer{}}
	p.w = capture.NewWriter(p.file, "controller 0", func() int64 { return p.now })
	p.w.Fact("rules", capture.Rules{AnswerSlack: 20 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
		ReleaseTime: 300 * time.Millisecond, OverloadFactor: 2.5, OverloadDuration: 3 * time.Second})
	p.caller = p.w.Open("a>b", capture.Endpoint{Owner: "controller 0", Role: "caller"})
	p.ex1 = p.w.Open("b>c", capture.Endpoint{Owner: "controller 0", Role: "exchange", Peer: 101, Dialed: true})
	p.ex2 = p.w.Open("b>d", capture.Endpoint{Owner: "controller 0", Role: "exchange", Peer: 102, Dialed: true})
	p.listTap = p.w.Open("b>e", capture.Endpoint{Owner: "controller 0", Role: "list", Dialed: true})
	return p
}

func (p *tape) judge(t *testing.T) *Report {
	t.Helper()
	if err := p.w.Close(); err != nil {
		t.Fatal(err)
	}
	var recs Records
	if err := capture.Read(bytes.NewReader(p.file.Bytes()), "tape", Collect(&recs, 0)); err != nil {
		t.Fatal(err)
	}
	return Judge(recs)
}

// at runs what happens a time later.
func (p *tape) after(d int64) *tape {
	p.now += d * ms
	return p
}

func block(format string, args ...any) []byte {
	return []byte(strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", "\r\n") + "\r\n\r\n")
}

func (p *tape) asks(tx int, call string) {
	p.caller.Received(block("Transaction=%d Context=$ Add=%s\nClass: fetch\nDest: 1\nLeft: 4s", tx, call))
}
func (p *tape) answers(tx int, call string) {
	p.caller.Sent(p.caller.Now(), block("Reply=%d Context=1 Add=%s\nError: 510 refused", tx, call))
}
func (p *tape) sends(to *capture.ConnRecorder, tx int, call string, attempt int) {
	to.Sent(to.Now(), block("Transaction=%d Context=1 Add=%s\nAttempt: %d\nFrom: 0\nDest: 1\nLeft: 4s", tx, call, attempt))
}
func (p *tape) refused(by *capture.ConnRecorder, tx int, call, note string) {
	by.Received(block("Reply=%d Context=1 Add=%s\nError: 510 %s\nNote: %s", tx, call, note, note))
}
func (p *tape) withdraws(from *capture.ConnRecorder, tx int, call string, attempt int) {
	from.Sent(from.Now(), block("Transaction=%d Context=1 Subtract=%s\nAttempt: %d", tx, call, attempt))
}
func (p *tape) word(id int, state string) {
	p.listTap.Received(block("Transaction=1 Context=- Notify=ROOT\nExchange: %d cell=1 state=%s since=5 at=x:1", id, state))
}

// good is a call as it should be: a try that is withdrawn, the release time,
// another try elsewhere, and the answer.
func good(p *tape) {
	p.asks(1, "a")
	p.sends(p.ex1, 1, "a", 0)
	p.after(500).withdraws(p.ex1, 2, "a", 0)
	p.after(301).sends(p.ex2, 1, "a", 1)
	p.after(100).refused(p.ex2, 1, "a", "lines-busy")
	p.answers(1, "a")
}

func TestAGoodCaptureIsGood(t *testing.T) {
	p := newTape()
	good(p)
	r := p.judge(t)
	if !r.OK() || len(r.Breaches) > 0 || r.Calls.Taken != 1 || r.Calls.Answered != 1 {
		t.Fatalf("%+v", r)
	}
	for n, want := range []int{1, 2, 2, 0, 1} {
		if r.Rules[n].Cases != want {
			t.Errorf("rule %d: %d cases, want %d", n+1, r.Rules[n].Cases, want)
		}
	}
}

func TestEachBreachIsNamed(t *testing.T) {
	cases := []struct {
		name string
		rule int
		call string
		at   int64 // milliseconds after the first record
		what string
		play func(p *tape)
	}{
		{"no answer", 1, "a", 0, "no final answer", func(p *tape) { p.asks(1, "a"); p.after(9000).asks(2, "b"); p.answers(2, "b") }},
		{"two answers", 1, "a", 10, "a second final answer", func(p *tape) { p.asks(1, "a"); p.answers(1, "a"); p.after(10).answers(1, "a") }},
		{"late answer", 1, "a", 4050, "past the caller's patience", func(p *tape) { p.asks(1, "a"); p.after(4050).answers(1, "a") }},
		{"Pending after the answer", 1, "a", 10, "Pending after", func(p *tape) {
			p.asks(1, "a")
			p.answers(1, "a")
			p.after(10)
			p.caller.Sent(p.caller.Now(), []byte("Pending=1\r\n\r\n"))
		}},
		{"sent after the answer", 1, "a", 10, "set up after the final answer", func(p *tape) { p.asks(1, "a"); p.answers(1, "a"); p.after(10).sends(p.ex1, 1, "a", 0) }},
		{"sent after the caller left", 1, "a", 50, "set up after the caller left", func(p *tape) {
			p.asks(1, "a")
			p.caller.Received(block("Transaction=2 Context=- Subtract=a"))
			p.after(50).sends(p.ex1, 1, "a", 0)
		}},
		{"sent for nobody", 1, "z", 0, "without a caller", func(p *tape) { p.sends(p.ex1, 1, "z", 0) }},
		{"two out", 2, "a", 10, "while 1 attempts are out", func(p *tape) {
			p.asks(1, "a")
			p.sends(p.ex1, 1, "a", 0)
			p.after(10).sends(p.ex2, 1, "a", 1)
			p.refused(p.ex1, 1, "a", "fault")
			p.refused(p.ex2, 1, "a", "fault")
			p.answers(1, "a")
		}},
		{"past the grace", 3, "a", 251, "after the grace", func(p *tape) {
			p.word(101, "draining")
			p.after(251).asks(1, "a")
			p.sends(p.ex1, 1, "a", 0)
			p.refused(p.ex1, 1, "a", "fault")
			p.answers(1, "a")
		}},
		{"not in the complete list", 3, "a", 600, "after the grace", func(p *tape) {
			p.word(101, "in")
			p.after(300)
			p.listTap.Received(block("Transaction=2 Context=- Notify=ROOT\nComplete: yes\nExchange: 102 cell=2 state=in since=0 at=x:2"))
			p.after(300).asks(1, "a")
			p.sends(p.ex1, 1, "a", 0)
			p.refused(p.ex1, 1, "a", "fault")
			p.answers(1, "a")
		}},
		{"written late", 3, "a", 0, "after the grace", func(p *tape) {
			p.word(101, "draining")
			p.asks(1, "a")
			at := p.ex1.Now() // decided in time, taken by the system late
			p.after(300)
			p.ex1.Sent(at, block("Transaction=1 Context=1 Add=a\nAttempt: 0\nFrom: 0"))
			p.refused(p.ex1, 1, "a", "fault")
			p.answers(1, "a")
		}},
		{"cold exchange flooded", 4, "", 0, "exchange 101", func(p *tape) {
			p.w.Fact("capacity", capture.Capacity{ExchangeID: 101, ExchangeNumber: 1, SetUpsPerSecond: 10, InitialShare: 0.3, WarmUpTime: 10 * time.Second, Since: 5})
			p.word(101, "in")
			for n := range 60 {
				p.after(10).asks(n+1, fmt.Sprint("c", n))
				p.sends(p.ex1, n+1, fmt.Sprint("c", n), 0)
				p.refused(p.ex1, n+1, fmt.Sprint("c", n), "processor-full")
				p.answers(n+1, fmt.Sprint("c", n))
			}
		}},
		{"resent at once after a withdrawal", 5, "a", 200, "before the release time after it was withdrawn", func(p *tape) {
			p.asks(1, "a")
			p.sends(p.ex1, 1, "a", 0)
			p.after(100).withdraws(p.ex1, 2, "a", 0)
			p.after(100).sends(p.ex2, 1, "a", 1)
			p.refused(p.ex2, 1, "a", "fault")
			p.answers(1, "a")
		}},
		{"resent at once after a cut", 5, "a", 0, "after it was cut", func(p *tape) {
			p.asks(1, "a")
			p.sends(p.ex1, 1, "a", 0)
			p.refused(p.ex1, 1, "a", "cut")
			p.sends(p.ex2, 1, "a", 1)
			p.refused(p.ex2, 1, "a", "fault")
			p.answers(1, "a")
		}},
		{"resent at once after a broken link", 5, "a", 100, "reset with the connection", func(p *tape) {
			p.asks(1, "a")
			p.sends(p.ex1, 1, "a", 0)
			p.ex1.Closed("reset")
			p.after(100).sends(p.ex2, 1, "a", 1)
			p.refused(p.ex2, 1, "a", "fault")
			p.answers(1, "a")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newTape()
			c.play(p)
			r := p.judge(t)
			if len(r.Breaches) != 1 {
				t.Fatalf("%d breaches, want one: %v", len(r.Breaches), r.Breaches)
			}
			b := r.Breaches[0]
			if b.Rule != c.rule || b.Call != c.call || !strings.Contains(b.What, c.what) || r.OK() || r.Rules[c.rule-1].Broken != 1 {
				t.Errorf("%v", b)
			}
			if c.rule != 4 && (b.At < time.Duration(c.at*ms) || b.At > time.Duration(c.at*ms)+time.Millisecond) {
				t.Errorf("at %v, want %d ms", b.At, c.at)
			}
		})
	}
}

func TestKilledControllersOweNothing(t *testing.T) {
	p := newTape()
	p.asks(1, "a")
	p.after(100)
	p.w.Fact("killed", capture.Killed{Owner: "controller 0"})
	if r := p.judge(t); !r.OK() || r.Calls.Killed != 1 {
		t.Fatalf("%+v", r)
	}
}

func TestColdFloodByControllersThatWereNotToldIsNobodysBreach(t *testing.T) {
	p := newTape()
	p.w.Fact("capacity", capture.Capacity{ExchangeID: 101, ExchangeNumber: 1, SetUpsPerSecond: 10, InitialShare: 0.3, WarmUpTime: 10 * time.Second, Since: 5})
	for n := range 60 {
		p.after(10).asks(n+1, fmt.Sprint("c", n))
		p.sends(p.ex1, n+1, fmt.Sprint("c", n), 0)
		p.refused(p.ex1, n+1, fmt.Sprint("c", n), "processor-full")
		p.answers(n+1, fmt.Sprint("c", n))
	}
	if r := p.judge(t); !r.OK() || r.Rules[3].Cases != 1 {
		t.Fatalf("%+v", r)
	}
}

func TestTornFileIsReadToItsEnd(t *testing.T) {
	p := newTape()
	good(p)
	if err := p.w.Close(); err != nil {
		t.Fatal(err)
	}
	all := p.file.Bytes()
	for cut := len(all) - 40; cut < len(all); cut++ {
		n := 0
		err := capture.Read(bytes.NewReader(all[:cut]), "torn", func(capture.Record) { n++ })
		if n < 10 || err != nil && !strings.Contains(err.Error(), "ends within a record") {
			t.Fatalf("cut at %d of %d: %d records, %v", cut, len(all), n, err)
		}
	}
}

// rogue is a controller that breaks a rule over real connections: it answers
// each Add of its caller as the rule to be broken asks for.
type rogue struct {
	rule  int
	links []*transport.Conn[*signal.Message]
	tx    uint32
}

func (g *rogue) add(to int, call string, attempt int) {
	g.tx++
	m := &signal.Message{ID: g.tx, Context: 1, Command: signal.Add, Termination: call}
	g.links[to].Send(m.PutInt("Attempt", attempt).PutInt("From", 0).PutInt("Dest", 1).PutDuration("Left", time.Second), time.Hour)
}

func (g *rogue) take(c *transport.Conn[*signal.Message], m *signal.Message) {
	no := m.NewErrorReply(signal.InsufficientResources, "refused")
	switch g.rule {
	case 1:
		c.Send(no, 0)
		c.Send(no, 0)
	case 2:
		g.add(0, m.Termination, 0)
		g.add(1, m.Termination, 1)
	case 3, 4:
		g.add(0, m.Termination, 0)
	case 5:
		g.add(0, m.Termination, 0)
		time.Sleep(10 * time.Millisecond)
		g.tx++
		g.links[0].Send((&signal.Message{ID: g.tx, Context: 1, Command: signal.Subtract, Termination: m.Termination}).PutInt("Attempt", 0), 0)
		time.Sleep(10 * time.Millisecond)
		g.add(1, m.Termination, 1)
	}
	if g.rule != 1 {
		time.Sleep(50 * time.Millisecond)
		c.Send(no, 0)
	}
}

type end struct {
	message func(*transport.Conn[*signal.Message], *signal.Message)
}

func (e end) Message(c *transport.Conn[*signal.Message], m *signal.Message) {
	if e.message != nil && m.Kind == signal.Request && m.Command == signal.Add {
		e.message(c, m)
	}
}
func (end) Unreadable(*transport.Conn[*signal.Message], transport.RecoverableError) {}
func (end) Unsent(*transport.Conn[*signal.Message], *signal.Message)                {}
func (end) Closed(*transport.Conn[*signal.Message], error)                          {}

// The same breaches by a controller on connections, tapped as the real one is.
func TestARogueControllerIsFound(t *testing.T) {
	for rule := 1; rule <= 5; rule++ {
		t.Run(fmt.Sprint("rule ", rule), func(t *testing.T) {
			file := &buffer{}
			synctest.Test(t, func(t *testing.T) {
				var n memnet.Network
				w := capture.NewWriter(file, "controller 0", func() int64 { return time.Now().UnixNano() })
				w.Fact("rules", capture.Rules{AnswerSlack: 20 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
					ReleaseTime: 300 * time.Millisecond, OverloadFactor: 2.5, OverloadDuration: 3 * time.Second})
				if rule == 4 {
					w.Fact("capacity", capture.Capacity{ExchangeID: 100, ExchangeNumber: 1, SetUpsPerSecond: 3, InitialShare: 0.3, WarmUpTime: 10 * time.Second, Since: 5})
				}
				g := &rogue{rule: rule}
				var conns []*transport.Conn[*signal.Message]
				pair := func(e capture.Endpoint, near, far end) (*transport.Conn[*signal.Message], *transport.Conn[*signal.Message]) {
					ln, err := n.Listen()
					if err != nil {
						t.Fatal(err)
					}
					var b net.Conn
					got := make(chan struct{})
					go func() { b, _ = ln.Accept(); close(got) }()
					a, err := n.Dial(context.Background(), ln.Addr().String())
					if err != nil {
						t.Fatal(err)
					}
					<-got
					x := transport.Start(a, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Capture: w.Open(transport.ConnectionKey(a, true), e)}, near)
					y := transport.Start(b, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, far)
					conns = append(conns, x, y)
					return x, y
				}
				for id := range uint64(2) {
					x, _ := pair(capture.Endpoint{Owner: "controller 0", Role: "exchange", Peer: 100 + id, Dialed: true}, end{}, end{})
					g.links = append(g.links, x)
				}
				_, list := pair(capture.Endpoint{Owner: "controller 0", Role: "list", Dialed: true}, end{}, end{})
				state := "in"
				if rule == 3 {
					state = "draining"
				}
				list.Send((&signal.Message{ID: 1, Command: signal.Notify, Termination: signal.Root}).
					Put("Exchange", "100 cell=1 state="+state+" since=5 at=x:1"), 0)
				time.Sleep(300 * time.Millisecond)
				_, caller := pair(capture.Endpoint{Owner: "controller 0", Role: "caller"}, end{g.take}, end{})
				for i := range 40 {
					m := &signal.Message{ID: uint32(i + 1), Context: signal.ContextChoose, Command: signal.Add, Termination: fmt.Sprint("c", i)}
					caller.Send(m.PutDuration("Left", 10*time.Second), time.Hour)
				}
				time.Sleep(8 * time.Second)
				for _, c := range conns {
					c.Close(transport.ErrClosed)
					<-c.Done()
				}
				if err := w.Close(); err != nil {
					t.Fatal(err)
				}
			})
			var recs Records
			if err := capture.Read(bytes.NewReader(file.Bytes()), "rogue", Collect(&recs, 0)); err != nil {
				t.Fatal(err)
			}
			r := Judge(recs)
			for _, u := range r.Rules {
				if (u.Broken > 0) != (u.Rule == rule) {
					t.Errorf("rule %d: %d of %d broken", u.Rule, u.Broken, u.Cases)
				}
			}
			if len(r.Breaches) == 0 || rule != 4 && r.Breaches[0].Call != "c0" {
				t.Errorf("%v", r.Breaches)
			}
		})
	}
}
