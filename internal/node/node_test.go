package node

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/miekg/dns"
	"go.uber.org/goleak"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// exchange is a stand-in: it tells its group, keeps what it is sent and says what a test says.
type exchange struct {
	t     *testing.T
	ln    net.Listener
	mu    sync.Mutex
	conns []net.Conn
	got   chan sipGot
}

type sipGot struct {
	nc net.Conn
	m  *sip.Message
}

func newExchange(t *testing.T) *exchange {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &exchange{t: t, ln: ln, got: make(chan sipGot, 1000)}
	t.Cleanup(x.stop)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			x.conns = append(x.conns, nc)
			x.mu.Unlock()
			go x.serve(nc)
		}
	}()
	return x
}

func (x *exchange) stop() {
	x.ln.Close()
	x.cut()
}

// cut closes all connections.
func (x *exchange) cut() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, nc := range x.conns {
		nc.Close()
	}
	x.conns = nil
}

func (x *exchange) serve(nc net.Conn) {
	fmt.Fprint(nc, "NOTIFY sip:exchange@net SIP/2.0\r\nCall-ID: 0000000000000000\r\nCSeq: 1 NOTIFY\r\nLink-State: idle:20;circuits:20\r\nContent-Length: 0\r\n\r\n")
	r := sip.NewReader(nc, nil)
	for {
		m, err := r.Read()
		if err != nil {
			return
		}
		if m.Method == sip.Options {
			x.say(nc, m, 200, "")
			continue
		}
		x.got <- sipGot{nc, m}
	}
}

func (x *exchange) say(nc net.Conn, to *sip.Message, status int, head string) {
	fmt.Fprintf(nc, "SIP/2.0 %d x\r\nCall-ID: %s\r\nCSeq: 1 %s\r\n%sContent-Length: 4\r\n\r\nmade", status, to.CallID, to.CSeqMethod, head)
}

func (x *exchange) bye(nc net.Conn, call string) {
	fmt.Fprintf(nc, "BYE sip:x@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n", call)
}

// await is the next message of a method.
func (x *exchange) await(method string) sipGot {
	x.t.Helper()
	for late := time.After(5 * time.Second); ; {
		select {
		case g := <-x.got:
			if g.m.Method == method {
				return g
			}
		case <-late:
			x.t.Fatalf("no %s came", method)
		}
	}
}

// resolver is a stand-in that tells a list.
type standIn struct {
	pc     net.PacketConn
	mu     sync.Mutex
	serial uint32
	prio   int
	mute   bool
	late   time.Duration // an answer comes so long after its question
	asked  int
	x      *exchange
}

func newDNS(t *testing.T, x *exchange) *standIn {
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{pc: pc, serial: 1, x: x}
	t.Cleanup(func() { pc.Close() })
	go func() {
		buf := make([]byte, 512)
		for {
			n, from, err := pc.ReadFrom(buf)
			if err != nil {
				return
			}
			var m dns.Msg
			if m.Unpack(buf[:n]) != nil {
				continue
			}
			s.mu.Lock()
			m.Response = true
			for _, rr := range []string{fmt.Sprintf("%s 0 IN SRV %d 10 %d s-1.east.hosts.", srvlist.Service, s.prio, x.ln.Addr().(*net.TCPAddr).Port)} {
				r, _ := dns.NewRR(rr)
				m.Answer = append(m.Answer, r)
			}
			for _, rr := range []string{"s-1.east.hosts. 0 IN A 127.0.0.1", `s-1.east.hosts. 0 IN TXT "cell=1" "started=0"`} {
				r, _ := dns.NewRR(rr)
				m.Extra = append(m.Extra, r)
			}
			soa, _ := dns.NewRR(fmt.Sprintf("hosts. 0 IN SOA a. b. %d 1 1 1 1", s.serial))
			m.Ns = []dns.RR{soa}
			mute, late := s.mute, s.late
			s.asked++
			s.mu.Unlock()
			if p, err := m.Pack(); err == nil && !mute {
				time.AfterFunc(late, func() { _, _ = pc.WriteTo(p, from) }) // lost answers are asked for again
			}
		}
	}()
	return s
}

func (s *standIn) set(serial uint32, prio int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial, s.prio = serial, prio
}

const platform = `{"name":"n0","listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","limits":{"memory_mb":64,"sockets":256},
"resolver":"%s","known":{"pos":1,"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[
{"host":"s-1","dial":"%s","block":1,"health":"active","born_ms":0}]}}]},
"settings":{"balancers":2,"me":0,"quantum_ns":1000000,"client_habits":{"marks_retry":true},
"domain":{"call_length_ns":[10000000000],"circuits_by_class":[1],"release_ns":150000000,"self_no":0,"shape":"network"},
"policy_limits":{"attempts_cap":6,"cancelling":true,"connect_timeout_ns":500000000,"max_retry_after_ns":2000000000,"retry_after":true},
"profiles":[{"name":"voice","worth":1,"late_worth":0.1,"objective_ns":1000000000,"give_up_ns":4000000000}],
"rules":{"answer_slack_ns":5000000,"cold_from":0.3,"cold_ns":1000000000,"drain_grace_ns":250000000,"overload_factor":2.5,"overload_for_ns":3000000000}}}`

// bed is a node with its surroundings.
type bed struct {
	t         *testing.T
	x         *exchange
	res       *standIn
	addr      string
	hup, term chan os.Signal
	file      string
	ended     chan error
}

func newBed(t *testing.T) *bed {
	b := &bed{t: t, x: newExchange(t), hup: make(chan os.Signal, 1), term: make(chan os.Signal, 1), ended: make(chan error, 1),
		file: filepath.Join(t.TempDir(), "config.json")}
	b.res = newDNS(t, b.x)
	b.write(b.res.pc.LocalAddr().String())
	env := func(k string) string { return map[string]string{EnvConfig: b.file}[k] }
	cfg, err := ReadConfig(env)
	if err != nil {
		t.Fatal(err)
	}
	n := b.node(cfg)
	go func() { b.ended <- n.run(b.hup, b.term, func() (*Config, error) { return ReadConfig(env) }) }()
	t.Cleanup(func() {
		b.leave()
	})
	return b
}

// node is one that listens and does not run yet.
func (b *bed) node(cfg *Config) *Node {
	b.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	b.addr = ln.Addr().String()
	return newNode(cfg, ln, slog.New(slog.DiscardHandler))
}

func (b *bed) write(resolver string) {
	if err := os.WriteFile(b.file, fmt.Appendf(nil, platform, resolver, b.x.ln.Addr()), 0o600); err != nil {
		b.t.Fatal(err)
	}
}

// leave tells the node to go and waits for it.
func (b *bed) leave() {
	select {
	case b.term <- syscall.SIGTERM:
	default:
	}
	select {
	case err := <-b.ended:
		if err != nil {
			b.t.Errorf("run: %v", err)
		}
		close(b.ended)
	case <-time.After(10 * time.Second):
		b.t.Error("the node did not leave")
	}
}

type phone struct {
	t  *testing.T
	nc net.Conn
	r  *isup.Reader
}

func (b *bed) phone() *phone {
	b.t.Helper()
	nc, err := net.Dial("tcp", b.addr)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second)) // fails only on a closed connection
	return &phone{b.t, nc, isup.NewReader(nc, nil)}
}

func (p *phone) say(m *isup.Message) {
	p.t.Helper()
	if _, err := p.nc.Write(m.Append(nil)); err != nil {
		p.t.Fatal(err)
	}
}

func (p *phone) call(id uint64, patience string) {
	p.t.Helper()
	p.say((&isup.Message{Type: isup.SetUp, CallID: id}).Add(isup.ParamClass, []byte("voice")).Add(isup.ParamPatience, []byte(patience)).
		Add(isup.ParamNumber, []byte("7f3a9c21e0b4d655")).Add(isup.ParamRouting, []byte("dest:1;width:1;via:-1")).
		Add(isup.ParamDescription, []byte("offered")))
}

func (p *phone) hear(kind byte) *isup.Message {
	p.t.Helper()
	m, err := p.r.Read()
	if err != nil || m.Type != kind {
		p.t.Fatalf("heard %+v, %v; want type %d", m, err, kind)
	}
	return m
}

// ready waits until the node passes a test.
func (b *bed) ready() *phone {
	p := b.phone()
	p.say((&isup.Message{Type: isup.Test, CallID: 1}).Add(isup.ParamCause, []byte{0}))
	if m := p.hear(isup.TestResult); m.Cause() != 1 {
		b.t.Fatalf("test: %+v", m)
	}
	return p
}

// ringing is a bed with call 7 out to the exchange.
func ringing(t *testing.T, patience string) (*bed, *phone, sipGot) {
	t.Helper()
	b := newBed(t)
	p := b.ready()
	p.call(7, patience)
	return b, p, b.x.await(sip.Invite)
}

func TestACallOverSockets(t *testing.T) {
	b, p, in := ringing(t, "3000")
	if in.m.CallID != "0000000000000007" || in.m.Get("Call-Kind") != "voice" || string(in.m.Body) != "offered" {
		t.Fatalf("INVITE %+v", in.m)
	}
	b.x.say(in.nc, in.m, 200, "")
	if v, _ := p.hear(isup.Answer).Get(isup.ParamDescription); string(v) != "made" {
		t.Fatalf("description %q", v)
	}
	b.x.await(sip.Ack)
	// the connection breaks; the release comes on a new one
	b.x.cut()
	time.Sleep(300 * time.Millisecond)
	b.x.mu.Lock()
	if len(b.x.conns) == 0 {
		b.x.mu.Unlock()
		t.Fatal("no new connection")
	}
	nc := b.x.conns[0]
	b.x.mu.Unlock()
	b.x.bye(nc, in.m.CallID)
	if m := p.hear(isup.Release); m.Cause() != isup.NormalClearing {
		t.Fatalf("release %+v", m)
	}
}

func TestARefusalNamesATimeToComeBack(t *testing.T) {
	b, p, in := ringing(t, "1000")
	b.x.say(in.nc, in.m, 486, "Fail-Word: sub\r\n")
	m := p.hear(isup.Release)
	if v, _ := m.Get(isup.ParamRetryAfter); m.Cause() != isup.Congestion || string(v) != "2000" {
		t.Fatalf("cause %d, stay away %q", m.Cause(), v)
	}
	b.x.await(sip.Ack)
}

func TestACallThatTandemsTurnBackIsRefusedAfterFewAttempts(t *testing.T) {
	b := newBed(t)
	p := b.ready()
	p.call(7, "1500")
	heard := make(chan *isup.Message, 1)
	go func() {
		m, _ := p.r.Read()
		heard <- m
	}()
	for n := 0; ; {
		select {
		case g := <-b.x.got:
			if g.m.Method == sip.Invite {
				n++
				b.x.say(g.nc, g.m, 503, "Fail-Word: rtb\r\n")
			}
		case m := <-heard:
			if m == nil || m.Type != isup.Release || m.Cause() != isup.Congestion || n < 1 || n > 6 {
				t.Fatalf("heard %+v after %d attempts", m, n)
			}
			return
		}
	}
}

// starved is a listener that is out of descriptors for some time.
type starved struct {
	net.Listener
	times int
}

func (s *starved) Accept() (net.Conn, error) {
	if s.times > 0 {
		s.times--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

func TestRunningOutOfDescriptorsDoesNotStopAccepting(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := newExchange(t)
	cfg, err := parse(fmt.Appendf(nil, platform, "127.0.0.1:9", x.ln.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{t: t, x: x, addr: ln.Addr().String(), term: make(chan os.Signal, 1), ended: make(chan error, 1)}
	n := newNode(cfg, &starved{ln, 5}, slog.New(slog.DiscardHandler))
	go func() { b.ended <- n.run(nil, b.term, nil) }()
	t.Cleanup(b.leave)
	b.ready()
}

func TestAGiveUpThatCrossesTheAnswer(t *testing.T) {
	b, p, in := ringing(t, "3000")
	p.say((&isup.Message{Type: isup.Release, CallID: 7}).Add(isup.ParamCause, []byte{16}))
	b.x.await(sip.Cancel)
	b.x.say(in.nc, in.m, 200, "")
	b.x.await(sip.Ack)
	b.x.await(sip.Bye)
}

func TestNothingNewGoesToAnExchangeThatIsToldToDrain(t *testing.T) {
	b := newBed(t)
	p := b.ready()
	b.res.set(2, 1)
	time.Sleep(3 * askEvery)
	p.call(7, "900")
	p.hear(isup.Release)
	select {
	case g := <-b.x.got:
		t.Fatalf("%s went there", g.m.Method)
	default:
	}
}

func TestANewConfigurationNamesAnotherResolver(t *testing.T) {
	b := newBed(t)
	p := b.ready()
	if err := os.WriteFile(b.file, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	b.hup <- syscall.SIGHUP // unreadable: the old one is kept
	second := newDNS(t, b.x)
	second.set(2, 1)
	time.Sleep(50 * time.Millisecond)
	b.write(second.pc.LocalAddr().String())
	b.hup <- syscall.SIGHUP
	b.res.mu.Lock()
	b.res.mute = true
	b.res.mu.Unlock()
	time.Sleep(4 * askEvery)
	p.call(7, "900")
	p.hear(isup.Release)
	if len(b.x.got) > 0 {
		t.Fatal("the second resolver's word was not heard")
	}
}

// An answer that takes longer than the time between two questions is heard, over the one socket that
// all questions go out on.
func TestASlowResolverIsHeard(t *testing.T) {
	b := newBed(t)
	b.ready()
	b.res.mu.Lock()
	b.res.late, b.res.serial, b.res.prio = 700*time.Millisecond, 2, 1
	b.res.mu.Unlock()
	b.drained()
}

// A question that is under way when another resolver is named is not answered any more: its word is
// of an older configuration. Two new configurations at once leave the last one.
func TestAnOlderResolversLateWordIsNotHeard(t *testing.T) {
	b := newBed(t)
	b.ready()
	b.res.mu.Lock()
	b.res.late, b.res.serial, b.res.prio = 400*time.Millisecond, 9, 1 // would drain the exchange
	asked := b.res.asked
	b.res.mu.Unlock()
	await(t, func() bool { return b.res.questions() > asked })
	skipped, last := newDNS(t, b.x), newDNS(t, b.x)
	skipped.set(8, 1)
	skipped.mu.Lock()
	skipped.late = 200 * time.Millisecond
	skipped.mu.Unlock()
	last.set(2, 0)
	for _, s := range []*standIn{skipped, last} {
		b.write(s.pc.LocalAddr().String())
		b.hup <- syscall.SIGHUP
	}
	await(t, func() bool { return last.questions() >= 5 }) // the late answers would have come
	p := b.phone()
	p.call(7, "3000")
	b.x.say(b.x.await(sip.Invite).nc, &sip.Message{CallID: "0000000000000007", CSeqMethod: sip.Invite}, 200, "")
	p.hear(isup.Answer)
	last.set(3, 1) // its numbers go on
	b.drained()
}

// await gives what must come 10 s.
func await(t *testing.T, come func() bool) {
	t.Helper()
	for late := time.Now().Add(10 * time.Second); !come(); time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("it did not come within 10 s")
		}
	}
}

func (s *standIn) questions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// drained waits until a call to the exchange is refused without having been sent there. The calls before
// that stand; they are fewer than its circuits.
func (b *bed) drained() {
	b.t.Helper()
	for id := uint64(1000); id < 1012; id++ {
		p := b.phone()
		p.call(id, "3000")
		heard := make(chan *isup.Message, 1)
		go func() {
			m, _ := p.r.Read()
			heard <- m
		}()
		var m *isup.Message
		for sent := false; m == nil; {
			select {
			case g := <-b.x.got:
				if g.m.Method == sip.Invite {
					sent = true
					b.x.say(g.nc, g.m, 200, "")
				}
			case m = <-heard:
				if m == nil {
					b.t.Fatalf("call %d got no answer", id)
				}
				if !sent && m.Type == isup.Release && m.Cause() == isup.Congestion {
					return
				}
			}
		}
		p.nc.Close()
		time.Sleep(200 * time.Millisecond)
	}
	b.t.Fatal("the exchange's draining was not heard")
}

func TestLeavingAnswersWhatWasTakenOverSockets(t *testing.T) {
	b := newBed(t)
	p := b.ready()
	b.term <- syscall.SIGTERM
	time.Sleep(200 * time.Millisecond)
	q := b.phone()
	q.call(8, "3000") // on a new connection
	in := b.x.await(sip.Invite)
	time.Sleep(900 * time.Millisecond)
	b.x.say(in.nc, in.m, 200, "")
	q.hear(isup.Answer)
	b.x.bye(in.nc, in.m.CallID) // the end of a call that stands is still told
	q.hear(isup.Release)
	select {
	case err := <-b.ended:
		if err != nil {
			t.Fatal(err)
		}
		b.ended <- nil
	case <-time.After(2 * time.Second):
		t.Fatal("it did not leave")
	}
	if m, err := p.r.Read(); err == nil {
		t.Fatalf("heard %+v", m)
	}
}

func TestBadClientsAreClosedAndHurtNobody(t *testing.T) {
	b, p, in := ringing(t, "3000")
	began := time.Now()
	var bad []*phone
	for _, words := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x03\x01\x02\x03", "\xff\xff\x01" + strings.Repeat("x", 1<<20),
		"\x00\x20\x01\x00\x00", "", "\x00\x09\x63\x00\x00\x00\x00\x00\x00\x00\x09"} {
		q := b.phone()
		_, _ = q.nc.Write([]byte(words)) // it may be closed meanwhile
		bad = append(bad, q)
	}
	for i, q := range bad {
		if m, err := q.r.Read(); err == nil {
			t.Errorf("client %d heard %+v", i, m)
		}
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("closed after %v", took)
	}
	b.x.say(in.nc, in.m, 200, "")
	p.hear(isup.Answer)
}

func TestASpoiltAnswerEndsItsConnectionOnly(t *testing.T) {
	b, p, in := ringing(t, "3000")
	fmt.Fprintf(in.nc, "SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nContent-Length: 3000000000\r\n\r\nxx", in.m.CallID)
	again := b.x.await(sip.Invite) // after the release time
	if again.nc == in.nc {
		t.Fatal("the connection is used again")
	}
	b.x.say(again.nc, again.m, 200, "")
	p.hear(isup.Answer)
}

func TestAConfigurationThatIsNoGoodIsNamed(t *testing.T) {
	good := fmt.Sprintf(platform, "10.2.0.1:5353", "10.1.0.9:3868")
	for what, c := range map[string][2]string{
		"listen":   {`"listen":"127.0.0.1:1"`, `"listen":"here"`},
		"resolver": {`"resolver":"10.2.0.1:5353"`, `"resolver":""`},
		"seed":     {`8c1f30d27a5be964`, `x`},
		"limits":   {`"sockets":256`, `"sockets":3`},
		"settings": {`"settings"`, `"setting"`},
		"profiles": {`"profiles"`, `"profile"`},
		"known":    {`"known"`, `"know"`},
		"connect":  {`"connect_timeout_ns"`, `"connect"`},
	} {
		if _, err := parse([]byte(strings.Replace(good, c[0], c[1], 1))); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if _, err := parse([]byte(good)); err != nil {
		t.Error(err)
	}
	if _, err := ReadConfig(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), EnvConfig) {
		t.Errorf("no variable: %v", err)
	}
}
