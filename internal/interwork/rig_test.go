package interwork

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliaspindle/brain"
	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/policy"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
)

const start = time.Hour

// script is a module that does what a test says and keeps what it is told.
type script struct {
	events []brain.Event
	on     func(e brain.Event) []brain.Action
}

func (s *script) Handle(_ time.Duration, e brain.Event) []brain.Action {
	s.events = append(s.events, e)
	if s.on == nil {
		return nil
	}
	return s.on(e)
}

// ends are the ends of attempts that the module was told.
func (s *script) ends() (out []brain.AttemptEnded) {
	for _, e := range s.events {
		if e, ok := e.(brain.AttemptEnded); ok {
			out = append(out, e)
		}
	}
	return out
}

// rig is a core with what it asked for; time stands until it is moved.
type rig struct {
	t    *testing.T
	c    *Core
	mod  *script
	now  time.Duration
	out  []Effect
	dial []Dial // not yet up or down
}

var settings = brain.Settings{Self: 0, Controllers: 3, MaxAttempts: 6, ReleaseWait: 300 * time.Millisecond, Cancelling: true,
	DrainGrace: 250 * time.Millisecond, Backoff: true, BackoffMax: 2 * time.Second, Tick: 5 * time.Millisecond,
	Classes: []brain.Class{{Name: "voice", Worth: 1, Aim: time.Second, GiveUp: 4 * time.Second, Width: 1, Holding: 10 * time.Second},
		{Name: "wide", Worth: 2, Aim: time.Second, GiveUp: 4 * time.Second, Width: 2, Holding: 10 * time.Second}}}

func entry(n int) srvlist.Entry {
	return srvlist.Entry{Name: fmt.Sprintf("s-%d", n), Addr: fmt.Sprintf("10.0.0.%d:1", n), Number: n}
}

// newRig has exchanges 0 to 3; the module is the script's or, with nil, the real one.
func newRig(t *testing.T, mod *script) *rig {
	r := &rig{t: t, mod: mod, now: start}
	var m policy.Module = mod
	if mod == nil {
		m = brain.New(settings)
	}
	r.c = New(Config{Module: m, Settings: settings, ConnectTimeout: 500 * time.Millisecond, EpochUnixNano: int64(time.Hour) * 1000,
		MaxLinks: 16, MaxConns: 8, MaxPendingPerConn: 5, MaxCalls: 1000}, start)
	r.in(ExchangeListUpdate{Complete: true, Changes: []srvlist.Entry{entry(0), entry(1), entry(2), entry(3)}})
	r.up()
	for n := 1; n <= 3; n++ {
		r.in(LinkMessage{r.link(n), &sip.Message{Method: sip.Notify, CSeqMethod: sip.Notify, Header: map[string][]string{"Link-State": {"idle:20;circuits:20"}}}})
	}
	r.in(CallerConnected{1})
	r.in(CallerConnected{2})
	r.out = nil
	return r
}

func (r *rig) in(in Input) []Effect {
	out := r.c.Handle(r.now, in)
	r.out = append(r.out, out...)
	for _, e := range out {
		if d, ok := e.(Dial); ok {
			r.dial = append(r.dial, d)
		}
	}
	return out
}

// up lets all connections that were asked for stand.
func (r *rig) up() {
	for len(r.dial) > 0 {
		d := r.dial[0]
		r.dial = r.dial[1:]
		r.in(LinkUp{d.Link})
	}
}

// pass moves the time, with connections standing at once, tests passing and the timers firing.
func (r *rig) pass(d time.Duration) {
	for until := r.now + d; ; {
		at := r.c.NextTick()
		if at > until {
			r.now = until
			return
		}
		r.now = max(at, r.now)
		r.in(Tick{})
		r.up()
		for _, l := range r.links() {
			if l.tested > 0 {
				r.in(LinkMessage{l.id, &sip.Message{Status: 200, CSeqMethod: sip.Options}})
			}
		}
	}
}

func (r *rig) links() (ls []*link) {
	for _, p := range r.c.peers {
		ls = append(ls, p.links...)
	}
	return ls
}

// link is the first that is up to an exchange.
func (r *rig) link(n int) LinkID {
	for _, l := range r.c.names[fmt.Sprintf("s-%d", n)].links {
		if l.up {
			return l.id
		}
	}
	r.t.Fatalf("no link to exchange %d", n)
	return 0
}

// second makes a further connection to an exchange.
func (r *rig) second(n int) LinkID {
	p := r.c.names[fmt.Sprintf("s-%d", n)]
	r.c.dial(p)
	l := p.links[len(p.links)-1].id
	r.in(LinkUp{l})
	return l
}

func setUp(id uint64, dest int) *isup.Message {
	return (&isup.Message{Type: isup.SetUp, CallID: id}).Add(isup.ParamClass, []byte("voice")).Add(isup.ParamPatience, []byte("1500")).
		Add(isup.ParamNumber, []byte("7f3a9c21e0b4d655")).Add(isup.ParamRouting, fmt.Appendf(nil, "dest:%d;width:1;via:-1", dest)).
		Add(isup.ParamDescription, []byte("9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n"))
}

// change replaces a parameter.
func change(m *isup.Message, code byte, value string) *isup.Message {
	for i := range m.Params {
		if m.Params[i].Code == code {
			m.Params[i].Value = []byte(value)
		}
	}
	return m
}

func (r *rig) call(conn ConnID, m *isup.Message) []Effect {
	return r.in(CallerMessage{conn, r.now, m})
}

func name(id uint64) string { return fmt.Sprintf("%016x", id) }

// sent finds the last message of a method for a call.
func (r *rig) sent(method string, id uint64) (found SendToExchange, ok bool) {
	for _, e := range r.out {
		if s, is := e.(SendToExchange); is && s.Msg.Method == method && s.Msg.CallID == name(id) {
			found, ok = s, true
		}
	}
	return found, ok
}

func (r *rig) count(method string, id uint64) (n int) {
	for _, e := range r.out {
		if s, is := e.(SendToExchange); is && s.Msg.Method == method && s.Msg.CallID == name(id) {
			n++
		}
	}
	return n
}

// said are the types of what a caller's connection was told of a call, with causes of releases.
func (r *rig) said(conn ConnID, id uint64) string {
	var out []string
	for _, e := range r.out {
		if s, is := e.(SendToCaller); is && s.Conn == conn && s.Msg.CallID == id {
			word := fmt.Sprint(s.Msg.Type)
			if s.Msg.Type == isup.Release {
				word += fmt.Sprint("/", s.Msg.Cause())
			}
			out = append(out, word)
		}
	}
	return strings.Join(out, " ")
}

func (r *rig) shut(conn ConnID) bool {
	for _, e := range r.out {
		if s, is := e.(CloseConn); is && s.Conn == conn {
			return true
		}
	}
	return false
}

func (r *rig) withdrawn(id uint64) (n int) {
	for _, e := range r.out {
		if w, is := e.(WithdrawSetUp); is && w.CallID == name(id) {
			n++
		}
	}
	return n
}

func answer(id uint64, status int, head ...string) *sip.Message {
	m := &sip.Message{Status: status, CallID: name(id), CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("made by the exchange"), Header: map[string][]string{}}
	for i := 0; i < len(head); i += 2 {
		m.Header[head[i]] = []string{head[i+1]}
	}
	return m
}

func byeOf(id uint64, cause byte) *sip.Message {
	return &sip.Message{Method: sip.Bye, CallID: name(id), CSeq: 1, CSeqMethod: sip.Bye, Header: map[string][]string{"Reason": {sip.FormatReason(cause)}}}
}

// stand sets a call up over exchange 1.
func (r *rig) stand(conn ConnID, id uint64) LinkID {
	r.t.Helper()
	r.call(conn, setUp(id, 1))
	s, ok := r.sent(sip.Invite, id)
	if !ok {
		r.t.Fatal("no INVITE")
	}
	r.in(LinkMessage{s.Link, answer(id, 200)})
	if got := r.said(conn, id); got != "9" {
		r.t.Fatalf("the caller was told %q, want an answer", got)
	}
	return s.Link
}

// direct sends each call to the exchange of its destination, once, or as often as it says.
func direct(times int) *script {
	s := &script{}
	tried, calls := map[string]int{}, map[string]brain.Call{}
	send := func(id string) []brain.Action {
		tried[id]++
		return []brain.Action{brain.StartAttempt{CallID: id, ExchangeID: uint32(calls[id].Destination + 1), Timeout: time.Second}}
	}
	s.on = func(e brain.Event) []brain.Action {
		switch e := e.(type) {
		case brain.Call:
			calls[e.ID] = e
			return send(e.ID)
		case brain.CallAbandoned:
			return []brain.Action{brain.CancelAttempt{CallID: e.CallID, Attempt: tried[e.CallID] - 1}}
		case brain.AttemptEnded:
			if e.Final {
				return nil
			}
			if tried[e.CallID] < times {
				return send(e.CallID)
			}
			return []brain.Action{brain.RefuseCall{CallID: e.CallID, RetryAfter: 1500 * time.Microsecond}}
		}
		return nil
	}
	return s
}

// ringing is a rig with call 7 of connection 1 out to exchange 1; the module sends each call so often.
func ringing(t *testing.T, times int) (*script, *rig, SendToExchange) {
	mod := direct(times)
	r := newRig(t, mod)
	r.call(1, setUp(7, 1))
	s, ok := r.sent(sip.Invite, 7)
	if !ok {
		t.Fatal("no INVITE")
	}
	return mod, r, s
}
