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

// buffer is an in-memory capture file.
type buffer struct{ bytes.Buffer }

func (*buffer) Close() error { return nil }

// scriptedCapture writes a capture of one controller, its caller, two exchanges and
// the exchange list, message by message. Times are in nanoseconds.
type scriptedCapture struct {
	now                                int64
	writer                             *capture.Writer
	file                               *buffer
	caller, exchange1, exchange2, list *capture.ConnRecorder
}

// newScriptedCapture returns a capture that holds the rules and no message.
func newScriptedCapture() *scriptedCapture {
	script := &scriptedCapture{now: 1000 * ms, file: &buffer{}}
	script.writer = capture.NewWriter(script.file, "controller 0", func() int64 { return script.now })
	script.writer.Fact("rules", capture.Rules{AnswerSlack: 20 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
		ReleaseTime: 300 * time.Millisecond, OverloadFactor: 2.5, OverloadDuration: 3 * time.Second})
	script.caller = script.writer.Open("a>b", capture.Endpoint{Owner: "controller 0", Role: "caller"})
	script.exchange1 = script.writer.Open("b>c", capture.Endpoint{Owner: "controller 0", Role: "exchange", Peer: 101, Dialed: true})
	script.exchange2 = script.writer.Open("b>d", capture.Endpoint{Owner: "controller 0", Role: "exchange", Peer: 102, Dialed: true})
	script.list = script.writer.Open("b>e", capture.Endpoint{Owner: "controller 0", Role: "list", Dialed: true})
	return script
}

// check closes the capture and checks it.
func (script *scriptedCapture) check(t *testing.T) *Report {
	t.Helper()
	if err := script.writer.Close(); err != nil {
		t.Fatal(err)
	}
	var records Records
	if err := capture.Read(bytes.NewReader(script.file.Bytes()), "scripted", Collector(&records, 0)); err != nil {
		t.Fatal(err)
	}
	return Check(records)
}

// after advances the time.
func (script *scriptedCapture) after(milliseconds int64) *scriptedCapture {
	script.now += milliseconds * ms
	return script
}

// encode returns a formatted message in its wire format.
func encode(format string, args ...any) []byte {
	return []byte(strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", "\r\n") + "\r\n\r\n")
}

// callerAdds records an Add from the caller.
func (script *scriptedCapture) callerAdds(transaction int, call string) {
	script.caller.Received(encode("Transaction=%d Context=$ Add=%s\nClass: fetch\nDest: 1\nLeft: 4s", transaction, call))
}

// callerIsRefused records the final answer to the caller, a refusal.
func (script *scriptedCapture) callerIsRefused(transaction int, call string) {
	script.caller.Sent(script.caller.Now(), encode("Reply=%d Context=1 Add=%s\nError: 510 refused", transaction, call))
}

// attemptIsSent records a set-up sent to an exchange.
func (script *scriptedCapture) attemptIsSent(to *capture.ConnRecorder, transaction int, call string, attempt int) {
	to.Sent(to.Now(), encode("Transaction=%d Context=1 Add=%s\nAttempt: %d\nFrom: 0\nDest: 1\nLeft: 4s", transaction, call, attempt))
}

// attemptIsRefused records that an exchange refused a set-up.
func (script *scriptedCapture) attemptIsRefused(by *capture.ConnRecorder, transaction int, call, note string) {
	by.Received(encode("Reply=%d Context=1 Add=%s\nError: 510 %s\nNote: %s", transaction, call, note, note))
}

// attemptIsWithdrawn records that the controller withdrew an attempt.
func (script *scriptedCapture) attemptIsWithdrawn(from *capture.ConnRecorder, transaction int, call string, attempt int) {
	from.Sent(from.Now(), encode("Transaction=%d Context=1 Subtract=%s\nAttempt: %d", transaction, call, attempt))
}

// listReports records a notification of the exchange list.
func (script *scriptedCapture) listReports(id int, state string) {
	script.list.Received(encode("Transaction=1 Context=- Notify=ROOT\nExchange: %d cell=1 state=%s since=5 at=x:1", id, state))
}

// scriptValidCall records a call that follows the rules: an attempt that is withdrawn,
// the release time, an attempt at another exchange, and the answer.
func scriptValidCall(script *scriptedCapture) {
	script.callerAdds(1, "a")
	script.attemptIsSent(script.exchange1, 1, "a", 0)
	script.after(500).attemptIsWithdrawn(script.exchange1, 2, "a", 0)
	script.after(301).attemptIsSent(script.exchange2, 1, "a", 1)
	script.after(100).attemptIsRefused(script.exchange2, 1, "a", "lines-busy")
	script.callerIsRefused(1, "a")
}

func TestValidCaptureHasNoBreaches(t *testing.T) {
	script := newScriptedCapture()
	scriptValidCall(script)
	report := script.check(t)
	if !report.OK() || len(report.Breaches) > 0 || report.Calls.Received != 1 || report.Calls.Answered != 1 {
		t.Fatalf("%+v", report)
	}
	for rule, want := range []int{1, 2, 2, 0, 1} {
		if report.Rules[rule].Cases != want {
			t.Errorf("rule %d: %d cases, want %d", rule+1, report.Rules[rule].Cases, want)
		}
	}
}

func TestBreachesAreReported(t *testing.T) {
	cases := []struct {
		name        string
		rule        int
		call        string
		at          int64 // milliseconds after the first record
		description string
		record      func(script *scriptedCapture)
	}{
		{"unanswered call", 1, "a", 0, "no final answer", func(script *scriptedCapture) {
			script.callerAdds(1, "a")
			script.after(9000).callerAdds(2, "b")
			script.callerIsRefused(2, "b")
		}},
		{"two answers", 1, "a", 10, "a second final answer", func(script *scriptedCapture) {
			script.callerAdds(1, "a")
			script.callerIsRefused(1, "a")
			script.after(10).callerIsRefused(1, "a")
		}},
		{"late answer", 1, "a", 4050, "past the caller's patience", func(script *scriptedCapture) { script.callerAdds(1, "a"); script.after(4050).callerIsRefused(1, "a") }},
		{"Pending after the answer", 1, "a", 10, "Pending after", func(script *scriptedCapture) {
			script.callerAdds(1, "a")
			script.callerIsRefused(1, "a")
			script.after(10)
			script.caller.Sent(script.caller.Now(), []byte("Pending=1\r\n\r\n"))
		}},
		{"set-up after the answer", 1, "a", 10, "set up after the final answer", func(script *scriptedCapture) {
			script.callerAdds(1, "a")
			script.callerIsRefused(1, "a")
			script.after(10).attemptIsSent(script.exchange1, 1, "a", 0)
		}},
		{"set-up after the caller left", 1, "a", 50, "set up after the caller left", func(script *scriptedCapture) {
			script.callerAdds(1, "a")
			script.caller.Received(encode("Transaction=2 Context=- Subtract=a"))
			script.after(50).attemptIsSent(script.exchange1, 1, "a", 0)
		}},
		{"set-up without a caller", 1, "z", 0, "without a caller", func(script *scriptedCapture) { script.attemptIsSent(script.exchange1, 1, "z", 0) }},
		{"two attempts in flight", 2, "a", 10, "while 1 attempts are out", func(script *scriptedCapture) {
			script.callerAdds(1, "a")
			script.attemptIsSent(script.exchange1, 1, "a", 0)
			script.after(10).attemptIsSent(script.exchange2, 1, "a", 1)
			script.attemptIsRefused(script.exchange1, 1, "a", "fault")
			script.attemptIsRefused(script.exchange2, 1, "a", "fault")
			script.callerIsRefused(1, "a")
		}},
		{"set-up after the drain grace", 3, "a", 251, "after the grace", func(script *scriptedCapture) {
			script.listReports(101, "draining")
			script.after(251).callerAdds(1, "a")
			script.attemptIsSent(script.exchange1, 1, "a", 0)
			script.attemptIsRefused(script.exchange1, 1, "a", "fault")
			script.callerIsRefused(1, "a")
		}},
		{"exchange missing from the complete list", 3, "a", 600, "after the grace", func(script *scriptedCapture) {
			script.listReports(101, "in")
			script.after(300)
			script.list.Received(encode("Transaction=2 Context=- Notify=ROOT\nComplete: yes\nExchange: 102 cell=2 state=in since=0 at=x:2"))
			script.after(300).callerAdds(1, "a")
			script.attemptIsSent(script.exchange1, 1, "a", 0)
			script.attemptIsRefused(script.exchange1, 1, "a", "fault")
			script.callerIsRefused(1, "a")
		}},
		{"set-up written after the drain grace", 3, "a", 0, "after the grace", func(script *scriptedCapture) {
			script.listReports(101, "draining")
			script.callerAdds(1, "a")
			queuedAt := script.exchange1.Now() // queued in time, written to the socket late
			script.after(300)
			script.exchange1.Sent(queuedAt, encode("Transaction=1 Context=1 Add=a\nAttempt: 0\nFrom: 0"))
			script.attemptIsRefused(script.exchange1, 1, "a", "fault")
			script.callerIsRefused(1, "a")
		}},
		{"cold exchange overloaded", 4, "", 0, "exchange 101", func(script *scriptedCapture) {
			script.writer.Fact("capacity", capture.Capacity{ExchangeID: 101, ExchangeNumber: 1, SetUpsPerSecond: 10, InitialShare: 0.3, WarmUpTime: 10 * time.Second, Since: 5})
			script.listReports(101, "in")
			for n := range 60 {
				script.after(10).callerAdds(n+1, fmt.Sprint("c", n))
				script.attemptIsSent(script.exchange1, n+1, fmt.Sprint("c", n), 0)
				script.attemptIsRefused(script.exchange1, n+1, fmt.Sprint("c", n), "processor-full")
				script.callerIsRefused(n+1, fmt.Sprint("c", n))
			}
		}},
		{"retry at once after a withdrawal", 5, "a", 200, "before the release time after it was withdrawn", func(script *scriptedCapture) {
			script.callerAdds(1, "a")
			script.attemptIsSent(script.exchange1, 1, "a", 0)
			script.after(100).attemptIsWithdrawn(script.exchange1, 2, "a", 0)
			script.after(100).attemptIsSent(script.exchange2, 1, "a", 1)
			script.attemptIsRefused(script.exchange2, 1, "a", "fault")
			script.callerIsRefused(1, "a")
		}},
		{"retry at once after a cut", 5, "a", 0, "after it was cut", func(script *scriptedCapture) {
			script.callerAdds(1, "a")
			script.attemptIsSent(script.exchange1, 1, "a", 0)
			script.attemptIsRefused(script.exchange1, 1, "a", "cut")
			script.attemptIsSent(script.exchange2, 1, "a", 1)
			script.attemptIsRefused(script.exchange2, 1, "a", "fault")
			script.callerIsRefused(1, "a")
		}},
		{"retry at once after a closed link", 5, "a", 100, "reset with the connection", func(script *scriptedCapture) {
			script.callerAdds(1, "a")
			script.attemptIsSent(script.exchange1, 1, "a", 0)
			script.exchange1.Closed("reset")
			script.after(100).attemptIsSent(script.exchange2, 1, "a", 1)
			script.attemptIsRefused(script.exchange2, 1, "a", "fault")
			script.callerIsRefused(1, "a")
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			script := newScriptedCapture()
			test.record(script)
			report := script.check(t)
			if len(report.Breaches) != 1 {
				t.Fatalf("%d breaches, want 1: %v", len(report.Breaches), report.Breaches)
			}
			breach := report.Breaches[0]
			if breach.Rule != test.rule || breach.Call != test.call || !strings.Contains(breach.Description, test.description) || report.OK() || report.Rules[test.rule-1].Breaches != 1 {
				t.Errorf("unexpected breach: %v", breach)
			}
			if test.rule != 4 && (breach.Time < time.Duration(test.at*ms) || breach.Time > time.Duration(test.at*ms)+time.Millisecond) {
				t.Errorf("at %v, want %d ms", breach.Time, test.at)
			}
		})
	}
}

// The call of a killed controller needs no answer.
func TestKilledControllerOwesNoAnswer(t *testing.T) {
	script := newScriptedCapture()
	script.callerAdds(1, "a")
	script.after(100)
	script.writer.Fact("killed", capture.Killed{Owner: "controller 0"})
	if report := script.check(t); !report.OK() || report.Calls.Killed != 1 {
		t.Fatalf("%+v", report)
	}
}

// An overload of a cold exchange is no breach if the list had not reported its start.
func TestColdOverloadByUninformedControllersIsNoBreach(t *testing.T) {
	script := newScriptedCapture()
	script.writer.Fact("capacity", capture.Capacity{ExchangeID: 101, ExchangeNumber: 1, SetUpsPerSecond: 10, InitialShare: 0.3, WarmUpTime: 10 * time.Second, Since: 5})
	for n := range 60 {
		script.after(10).callerAdds(n+1, fmt.Sprint("c", n))
		script.attemptIsSent(script.exchange1, n+1, fmt.Sprint("c", n), 0)
		script.attemptIsRefused(script.exchange1, n+1, fmt.Sprint("c", n), "processor-full")
		script.callerIsRefused(n+1, fmt.Sprint("c", n))
	}
	if report := script.check(t); !report.OK() || report.Rules[3].Cases != 1 {
		t.Fatalf("%+v", report)
	}
}

// A file that ends within its last record, as after a kill, is read up to that record.
func TestTruncatedFileIsReadToItsEnd(t *testing.T) {
	script := newScriptedCapture()
	scriptValidCall(script)
	if err := script.writer.Close(); err != nil {
		t.Fatal(err)
	}
	content := script.file.Bytes()
	for cut := len(content) - 40; cut < len(content); cut++ {
		records := 0
		err := capture.Read(bytes.NewReader(content[:cut]), "truncated", func(capture.Record) { records++ })
		if records < 10 || err != nil && !strings.Contains(err.Error(), "ends within a record") {
			t.Fatalf("cut at %d of %d: %d records, %v", cut, len(content), records, err)
		}
	}
}

// ruleBreaker is a controller that breaks one rule over real connections: it answers
// each Add of its caller in a way that violates the rule.
type ruleBreaker struct {
	rule            int
	links           []*transport.Conn[*signal.Message]
	lastTransaction uint32
}

// sendSetUp sends a set-up on a link.
func (b *ruleBreaker) sendSetUp(link int, call string, attempt int) {
	b.lastTransaction++
	message := &signal.Message{ID: b.lastTransaction, Context: 1, Command: signal.Add, Termination: call}
	b.links[link].Send(message.PutInt("Attempt", attempt).PutInt("From", 0).PutInt("Dest", 1).PutDuration("Left", time.Second), time.Hour)
}

// receiveAdd answers an Add of the caller.
func (b *ruleBreaker) receiveAdd(caller *transport.Conn[*signal.Message], message *signal.Message) {
	refusal := message.NewErrorReply(signal.InsufficientResources, "refused")
	switch b.rule {
	case 1:
		caller.Send(refusal, 0)
		caller.Send(refusal, 0)
	case 2:
		b.sendSetUp(0, message.Termination, 0)
		b.sendSetUp(1, message.Termination, 1)
	case 3, 4:
		b.sendSetUp(0, message.Termination, 0)
	case 5:
		b.sendSetUp(0, message.Termination, 0)
		time.Sleep(10 * time.Millisecond)
		b.lastTransaction++
		b.links[0].Send((&signal.Message{ID: b.lastTransaction, Context: 1, Command: signal.Subtract, Termination: message.Termination}).PutInt("Attempt", 0), 0)
		time.Sleep(10 * time.Millisecond)
		b.sendSetUp(1, message.Termination, 1)
	}
	if b.rule != 1 {
		time.Sleep(50 * time.Millisecond)
		caller.Send(refusal, 0)
	}
}

// connectionHandler calls message for each Add and ignores all other events.
type connectionHandler struct {
	message func(*transport.Conn[*signal.Message], *signal.Message)
}

func (h connectionHandler) Message(c *transport.Conn[*signal.Message], m *signal.Message) {
	if h.message != nil && m.Kind == signal.Request && m.Command == signal.Add {
		h.message(c, m)
	}
}
func (connectionHandler) Unreadable(*transport.Conn[*signal.Message], transport.RecoverableError) {}
func (connectionHandler) Unsent(*transport.Conn[*signal.Message], *signal.Message)                {}
func (connectionHandler) Closed(*transport.Conn[*signal.Message], error)                          {}

// Breaches of a controller that uses real connections, captured as those of the real
// controller, are detected.
func TestRuleBreakingControllerIsDetected(t *testing.T) {
	for rule := 1; rule <= 5; rule++ {
		t.Run(fmt.Sprint("rule ", rule), func(t *testing.T) {
			file := &buffer{}
			synctest.Test(t, func(t *testing.T) {
				var network memnet.Network
				writer := capture.NewWriter(file, "controller 0", func() int64 { return time.Now().UnixNano() })
				writer.Fact("rules", capture.Rules{AnswerSlack: 20 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
					ReleaseTime: 300 * time.Millisecond, OverloadFactor: 2.5, OverloadDuration: 3 * time.Second})
				if rule == 4 {
					writer.Fact("capacity", capture.Capacity{ExchangeID: 100, ExchangeNumber: 1, SetUpsPerSecond: 3, InitialShare: 0.3, WarmUpTime: 10 * time.Second, Since: 5})
				}
				breaker := &ruleBreaker{rule: rule}
				var conns []*transport.Conn[*signal.Message]
				connect := func(endpoint capture.Endpoint, near, peer connectionHandler) (*transport.Conn[*signal.Message], *transport.Conn[*signal.Message]) {
					listener, err := network.Listen()
					if err != nil {
						t.Fatal(err)
					}
					var accepted net.Conn
					acceptDone := make(chan struct{})
					go func() { accepted, _ = listener.Accept(); close(acceptDone) }()
					dialed, err := network.Dial(context.Background(), listener.Addr().String())
					if err != nil {
						t.Fatal(err)
					}
					<-acceptDone
					nearConn := transport.Start(dialed, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Capture: writer.Open(transport.ConnectionKey(dialed, true), endpoint)}, near)
					peerConn := transport.Start(accepted, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, peer)
					conns = append(conns, nearConn, peerConn)
					return nearConn, peerConn
				}
				for id := range uint64(2) {
					link, _ := connect(capture.Endpoint{Owner: "controller 0", Role: "exchange", Peer: 100 + id, Dialed: true}, connectionHandler{}, connectionHandler{})
					breaker.links = append(breaker.links, link)
				}
				_, list := connect(capture.Endpoint{Owner: "controller 0", Role: "list", Dialed: true}, connectionHandler{}, connectionHandler{})
				state := "in"
				if rule == 3 {
					state = "draining"
				}
				list.Send((&signal.Message{ID: 1, Command: signal.Notify, Termination: signal.Root}).
					Put("Exchange", "100 cell=1 state="+state+" since=5 at=x:1"), 0)
				time.Sleep(300 * time.Millisecond)
				_, caller := connect(capture.Endpoint{Owner: "controller 0", Role: "caller"}, connectionHandler{breaker.receiveAdd}, connectionHandler{})
				for i := range 40 {
					add := &signal.Message{ID: uint32(i + 1), Context: signal.ContextChoose, Command: signal.Add, Termination: fmt.Sprint("c", i)}
					caller.Send(add.PutDuration("Left", 10*time.Second), time.Hour)
				}
				time.Sleep(8 * time.Second)
				for _, conn := range conns {
					conn.Close(transport.ErrClosed)
					<-conn.Done()
				}
				if err := writer.Close(); err != nil {
					t.Fatal(err)
				}
			})
			var records Records
			if err := capture.Read(bytes.NewReader(file.Bytes()), "rule breaker", Collector(&records, 0)); err != nil {
				t.Fatal(err)
			}
			report := Check(records)
			for _, result := range report.Rules {
				if (result.Breaches > 0) != (result.Number == rule) {
					t.Errorf("rule %d: %d breaches in %d cases", result.Number, result.Breaches, result.Cases)
				}
			}
			if len(report.Breaches) == 0 || rule != 4 && report.Breaches[0].Call != "c0" {
				t.Errorf("unexpected breaches: %v", report.Breaches)
			}
		})
	}
}
