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

// fakeExchange reports 20 idle circuits, answers OPTIONS, records all other
// requests and sends the responses that a test asks for.
type fakeExchange struct {
	t        *testing.T
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	unheard  []string // Call-IDs whose BYE was lost; it is sent on the next connection that is accepted, and on no other
	requests chan sipRequest
}

type sipRequest struct {
	netConn net.Conn
	message *sip.Message
}

func newFakeExchange(t *testing.T) *fakeExchange {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &fakeExchange{t: t, listener: listener, requests: make(chan sipRequest, 1000)}
	t.Cleanup(x.close)
	go func() {
		for {
			netConn, err := listener.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			x.conns = append(x.conns, netConn)
			unheard := x.unheard
			x.unheard = nil
			x.mu.Unlock()
			for _, callID := range unheard {
				x.sendBye(netConn, callID)
			}
			go x.serve(netConn)
		}
	}()
	return x
}

func (x *fakeExchange) close() {
	x.listener.Close()
	x.closeConns()
}

// closeConns closes all connections.
func (x *fakeExchange) closeConns() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, netConn := range x.conns {
		netConn.Close()
	}
	x.conns = nil
}

// loseRelease resets a connection on which the BYE of a call is under way.
func (x *fakeExchange) loseRelease(netConn net.Conn, callID string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.unheard = append(x.unheard, callID)
	_ = netConn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	netConn.Close()
}

func (x *fakeExchange) connCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.conns)
}

func (x *fakeExchange) serve(netConn net.Conn) {
	fmt.Fprint(netConn, "NOTIFY sip:exchange@net SIP/2.0\r\nCall-ID: 0000000000000000\r\nCSeq: 1 NOTIFY\r\nLink-State: idle:20;circuits:20\r\nContent-Length: 0\r\n\r\n")
	reader := sip.NewReader(netConn, nil)
	for {
		m, err := reader.Read()
		if err != nil {
			return
		}
		if m.Method == sip.Options {
			x.respond(netConn, m, 200, "")
			continue
		}
		x.requests <- sipRequest{netConn, m}
	}
}

func (x *fakeExchange) respond(netConn net.Conn, request *sip.Message, status int, extraHeader string) {
	fmt.Fprintf(netConn, "SIP/2.0 %d x\r\nCall-ID: %s\r\nCSeq: 1 %s\r\n%sContent-Length: 4\r\n\r\nmade", status, request.CallID, request.CSeqMethod, extraHeader)
}

func (x *fakeExchange) sendBye(netConn net.Conn, callID string) {
	fmt.Fprintf(netConn, "BYE sip:x@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n", callID)
}

// expectRequest returns the next request with the given method.
func (x *fakeExchange) expectRequest(method string) sipRequest {
	x.t.Helper()
	for timeout := time.After(5 * time.Second); ; {
		select {
		case request := <-x.requests:
			if request.message.Method == method {
				return request
			}
		case <-timeout:
			x.t.Fatalf("no %s arrived within 5 s", method)
		}
	}
}

// fakeResolver answers queries with a list of one exchange.
type fakeResolver struct {
	packetConn   net.PacketConn
	mu           sync.Mutex
	serial       uint32
	priority     int
	unresponsive bool
	delay        time.Duration // from a query to its answer
	queries      int           // queries received
	exchange     *fakeExchange
}

func newFakeResolver(t *testing.T, exchange *fakeExchange) *fakeResolver {
	packetConn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &fakeResolver{packetConn: packetConn, serial: 1, exchange: exchange}
	t.Cleanup(func() { packetConn.Close() })
	go func() {
		buf := make([]byte, 512)
		for {
			n, from, err := packetConn.ReadFrom(buf)
			if err != nil {
				return
			}
			var m dns.Msg
			if m.Unpack(buf[:n]) != nil {
				continue
			}
			r.mu.Lock()
			m.Response = true
			for _, text := range []string{fmt.Sprintf("%s 0 IN SRV %d 10 %d s-1.east.hosts.", srvlist.Service, r.priority, exchange.listener.Addr().(*net.TCPAddr).Port)} {
				record, _ := dns.NewRR(text)
				m.Answer = append(m.Answer, record)
			}
			for _, text := range []string{"s-1.east.hosts. 0 IN A 127.0.0.1", `s-1.east.hosts. 0 IN TXT "cell=1" "started=0"`} {
				record, _ := dns.NewRR(text)
				m.Extra = append(m.Extra, record)
			}
			soa, _ := dns.NewRR(fmt.Sprintf("hosts. 0 IN SOA a. b. %d 1 1 1 1", r.serial))
			m.Ns = []dns.RR{soa}
			unresponsive, delay := r.unresponsive, r.delay
			r.queries++
			r.mu.Unlock()
			if packet, err := m.Pack(); err == nil && !unresponsive {
				time.AfterFunc(delay, func() { _, _ = packetConn.WriteTo(packet, from) }) // the node repeats queries whose answers are lost
			}
		}
	}()
	return r
}

func (r *fakeResolver) setAnswer(serial uint32, priority int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial, r.priority = serial, priority
}

const configTemplate = `{"name":"n0","listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","limits":{"memory_mb":64,"sockets":256},
"resolver":"%s","known":{"pos":1,"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[
{"host":"s-1","dial":"%s","block":1,"health":"active","born_ms":0}]}}]},
"settings":{"balancers":2,"me":0,"quantum_ns":1000000,"client_habits":{"marks_retry":true},
"domain":{"call_length_ns":[10000000000],"circuits_by_class":[1],"release_ns":150000000,"self_no":0,"shape":"network"},
"policy_limits":{"attempts_cap":6,"cancelling":true,"connect_timeout_ns":500000000,"max_retry_after_ns":2000000000,"retry_after":true},
"profiles":[{"name":"voice","worth":1,"late_worth":0.1,"objective_ns":1000000000,"give_up_ns":4000000000}],
"rules":{"answer_slack_ns":5000000,"cold_from":0.3,"cold_ns":1000000000,"drain_grace_ns":250000000,"overload_factor":2.5,"overload_for_ns":3000000000}}}`

// testNode is a node with a fake exchange and a fake resolver.
type testNode struct {
	t          *testing.T
	exchange   *fakeExchange
	resolver   *fakeResolver
	addr       string
	hup, term  chan os.Signal
	configFile string
	exited     chan error
}

func startTestNode(t *testing.T) *testNode {
	n := &testNode{t: t, exchange: newFakeExchange(t), hup: make(chan os.Signal, 1), term: make(chan os.Signal, 1), exited: make(chan error, 1),
		configFile: filepath.Join(t.TempDir(), "config.json")}
	n.resolver = newFakeResolver(t, n.exchange)
	n.writeConfig(n.resolver.packetConn.LocalAddr().String())
	env := func(name string) string { return map[string]string{EnvConfig: n.configFile}[name] }
	cfg, err := ReadConfig(env)
	if err != nil {
		t.Fatal(err)
	}
	node := n.newListeningNode(cfg)
	go func() { n.exited <- node.run(n.hup, n.term, func() (*Config, error) { return ReadConfig(env) }) }()
	t.Cleanup(func() {
		n.stop()
	})
	return n
}

// newListeningNode returns a node that listens but does not run yet.
func (n *testNode) newListeningNode(cfg *Config) *Node {
	n.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	n.addr = listener.Addr().String()
	return newNode(cfg, listener, slog.New(slog.DiscardHandler))
}

func (n *testNode) writeConfig(resolverAddr string) {
	if err := os.WriteFile(n.configFile, fmt.Appendf(nil, configTemplate, resolverAddr, n.exchange.listener.Addr()), 0o600); err != nil {
		n.t.Fatal(err)
	}
}

// stop sends SIGTERM to the node and waits until it has shut down.
func (n *testNode) stop() {
	select {
	case n.term <- syscall.SIGTERM:
	default:
	}
	select {
	case err := <-n.exited:
		if err != nil {
			n.t.Errorf("run: %v", err)
		}
		close(n.exited)
	case <-time.After(10 * time.Second):
		n.t.Error("the node did not shut down within 10 s")
	}
}

// testCaller is a caller with one connection to the node.
type testCaller struct {
	t       *testing.T
	netConn net.Conn
	reader  *isup.Reader
}

func (n *testNode) newCaller() *testCaller {
	n.t.Helper()
	netConn, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { netConn.Close() })
	_ = netConn.SetDeadline(time.Now().Add(20 * time.Second)) // fails only on a closed connection
	return &testCaller{n.t, netConn, isup.NewReader(netConn, nil)}
}

func (c *testCaller) send(m *isup.Message) {
	c.t.Helper()
	if _, err := c.netConn.Write(m.Append(nil)); err != nil {
		c.t.Fatal(err)
	}
}

// newTestSetUp returns a set-up of a voice call to exchange 1.
func newTestSetUp(callID uint64, patience string) *isup.Message {
	return (&isup.Message{Type: isup.SetUp, CallID: callID}).Add(isup.ParamClass, []byte("voice")).Add(isup.ParamPatience, []byte(patience)).
		Add(isup.ParamNumber, []byte("7f3a9c21e0b4d655")).Add(isup.ParamRouting, []byte("dest:1;width:1;via:-1")).
		Add(isup.ParamDescription, []byte("offered"))
}

func (c *testCaller) sendSetUp(callID uint64, patience string) {
	c.t.Helper()
	c.send(newTestSetUp(callID, patience))
}

// expect reads the next message, which must be of the given type.
func (c *testCaller) expect(messageType byte) *isup.Message {
	c.t.Helper()
	m, err := c.reader.Read()
	if err != nil || m.Type != messageType {
		c.t.Fatalf("received %+v, error %v; want a message of type %d", m, err, messageType)
	}
	return m
}

// newReadyCaller returns a caller whose test message the node has answered.
func (n *testNode) newReadyCaller() *testCaller {
	caller := n.newCaller()
	caller.send((&isup.Message{Type: isup.Test, CallID: 1}).Add(isup.ParamCause, []byte{0}))
	if m := caller.expect(isup.TestResult); m.Cause() != 1 {
		n.t.Fatalf("test result is %+v, want cause 1", m)
	}
	return caller
}

// startCall returns a node with call 7, whose INVITE has reached the exchange.
func startCall(t *testing.T, patience string) (*testNode, *testCaller, sipRequest) {
	t.Helper()
	n := startTestNode(t)
	caller := n.newReadyCaller()
	caller.sendSetUp(7, patience)
	return n, caller, n.exchange.expectRequest(sip.Invite)
}

func TestCallOverSockets(t *testing.T) {
	n, caller, invite := startCall(t, "3000")
	if invite.message.CallID != "0000000000000007" || invite.message.Get("Call-Kind") != "voice" || string(invite.message.Body) != "offered" {
		t.Fatalf("the exchange received INVITE %+v", invite.message)
	}
	n.exchange.respond(invite.netConn, invite.message, 200, "")
	if description, _ := caller.expect(isup.Answer).Get(isup.ParamDescription); string(description) != "made" {
		t.Fatalf("answer has description %q, want \"made\"", description)
	}
	n.exchange.expectRequest(sip.Ack)
	// The connection breaks; the release arrives on a new one.
	n.exchange.closeConns()
	time.Sleep(300 * time.Millisecond)
	n.exchange.mu.Lock()
	if len(n.exchange.conns) == 0 {
		n.exchange.mu.Unlock()
		t.Fatal("the node did not connect again within 300 ms")
	}
	netConn := n.exchange.conns[0]
	n.exchange.mu.Unlock()
	n.exchange.sendBye(netConn, invite.message.CallID)
	if m := caller.expect(isup.Release); m.Cause() != isup.NormalClearing {
		t.Fatalf("release is %+v, want normal clearing", m)
	}
}

func TestRefusalHasRetryAfter(t *testing.T) {
	n, caller, invite := startCall(t, "1000")
	n.exchange.respond(invite.netConn, invite.message, 486, "Fail-Word: sub\r\n")
	m := caller.expect(isup.Release)
	if retryAfter, _ := m.Get(isup.ParamRetryAfter); m.Cause() != isup.Congestion || string(retryAfter) != "2000" {
		t.Fatalf("released with cause %d, retry after %q; want congestion, \"2000\"", m.Cause(), retryAfter)
	}
	n.exchange.expectRequest(sip.Ack)
}

func TestCrankedBackCallIsRefusedAfterFewAttempts(t *testing.T) {
	n := startTestNode(t)
	caller := n.newReadyCaller()
	caller.sendSetUp(7, "1500")
	received := make(chan *isup.Message, 1)
	go func() {
		m, _ := caller.reader.Read()
		received <- m
	}()
	for attempts := 0; ; {
		select {
		case request := <-n.exchange.requests:
			if request.message.Method == sip.Invite {
				attempts++
				n.exchange.respond(request.netConn, request.message, 503, "Fail-Word: rtb\r\n")
			}
		case m := <-received:
			if m == nil || m.Type != isup.Release || m.Cause() != isup.Congestion || attempts < 1 || attempts > 6 {
				t.Fatalf("received %+v after %d attempts, want a release for congestion after 1 to 6", m, attempts)
			}
			return
		}
	}
}

// exhaustedListener fails the first Accept calls for want of descriptors.
type exhaustedListener struct {
	net.Listener
	failures int // failures to come
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestAcceptContinuesAfterRunningOutOfDescriptors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	exchange := newFakeExchange(t)
	cfg, err := parseConfig(fmt.Appendf(nil, configTemplate, "127.0.0.1:9", exchange.listener.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	n := &testNode{t: t, exchange: exchange, addr: listener.Addr().String(), term: make(chan os.Signal, 1), exited: make(chan error, 1)}
	node := newNode(cfg, &exhaustedListener{listener, 5}, slog.New(slog.DiscardHandler))
	go func() { n.exited <- node.run(nil, n.term, nil) }()
	t.Cleanup(n.stop)
	n.newReadyCaller()
}

func TestCallerReleaseCrossesAnswer(t *testing.T) {
	n, caller, invite := startCall(t, "3000")
	caller.send((&isup.Message{Type: isup.Release, CallID: 7}).Add(isup.ParamCause, []byte{16}))
	n.exchange.expectRequest(sip.Cancel)
	n.exchange.respond(invite.netConn, invite.message, 200, "")
	n.exchange.expectRequest(sip.Ack)
	n.exchange.expectRequest(sip.Bye)
}

func TestDrainingExchangeGetsNoNewCalls(t *testing.T) {
	n := startTestNode(t)
	caller := n.newReadyCaller()
	n.resolver.setAnswer(2, 1)
	time.Sleep(3 * queryInterval)
	caller.sendSetUp(7, "900")
	caller.expect(isup.Release)
	select {
	case request := <-n.exchange.requests:
		t.Fatalf("the draining exchange received %s", request.message.Method)
	default:
	}
}

func TestNewConfigurationChangesResolver(t *testing.T) {
	n := startTestNode(t)
	caller := n.newReadyCaller()
	if err := os.WriteFile(n.configFile, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	n.hup <- syscall.SIGHUP // the file is invalid: the node keeps the old configuration
	newResolver := newFakeResolver(t, n.exchange)
	newResolver.setAnswer(2, 1)
	time.Sleep(50 * time.Millisecond)
	n.writeConfig(newResolver.packetConn.LocalAddr().String())
	n.hup <- syscall.SIGHUP
	n.resolver.mu.Lock()
	n.resolver.unresponsive = true
	n.resolver.mu.Unlock()
	time.Sleep(4 * queryInterval)
	caller.sendSetUp(7, "900")
	caller.expect(isup.Release)
	if len(n.exchange.requests) > 0 {
		t.Fatal("a call went to the exchange that the new resolver reports as draining")
	}
}

// An answer that takes longer than the interval between queries must still be
// accepted. All queries use one socket for this reason.
func TestSlowResolverIsAccepted(t *testing.T) {
	n := startTestNode(t)
	n.newReadyCaller()
	n.resolver.mu.Lock()
	n.resolver.delay, n.resolver.serial, n.resolver.priority = 700*time.Millisecond, 2, 1
	n.resolver.mu.Unlock()
	n.waitDraining()
}

// An answer that a resolver sends after a new configuration has replaced it must
// be ignored: it belongs to the older configuration. Of two new configurations
// in quick succession the last one must take effect.
func TestReplacedResolverIsIgnored(t *testing.T) {
	n := startTestNode(t)
	n.newReadyCaller()
	n.resolver.mu.Lock()
	n.resolver.delay, n.resolver.serial, n.resolver.priority = 400*time.Millisecond, 9, 1 // would drain the exchange
	queriesBefore := n.resolver.queries
	n.resolver.mu.Unlock()
	eventually(t, func() bool { return n.resolver.queryCount() > queriesBefore })
	skipped, last := newFakeResolver(t, n.exchange), newFakeResolver(t, n.exchange)
	skipped.setAnswer(8, 1)
	skipped.mu.Lock()
	skipped.delay = 200 * time.Millisecond
	skipped.mu.Unlock()
	last.setAnswer(2, 0)
	for _, resolver := range []*fakeResolver{skipped, last} {
		n.writeConfig(resolver.packetConn.LocalAddr().String())
		n.hup <- syscall.SIGHUP
	}
	eventually(t, func() bool { return last.queryCount() >= 5 }) // the delayed answers would have arrived by then
	caller := n.newCaller()
	caller.sendSetUp(7, "3000")
	n.exchange.respond(n.exchange.expectRequest(sip.Invite).netConn, &sip.Message{CallID: "0000000000000007", CSeqMethod: sip.Invite}, 200, "")
	caller.expect(isup.Answer)
	last.setAnswer(3, 1) // continues its serial numbers
	n.waitDraining()
}

// eventually waits up to 10 s for a condition.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not become true within 10 s")
		}
	}
}

func (r *fakeResolver) queryCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queries
}

// waitDraining waits until a call to the exchange is refused without an INVITE.
// The calls before are established; they are fewer than its circuits.
func (n *testNode) waitDraining() {
	n.t.Helper()
	for callID := uint64(1000); callID < 1012; callID++ {
		caller := n.newCaller()
		caller.sendSetUp(callID, "3000")
		received := make(chan *isup.Message, 1)
		go func() {
			m, _ := caller.reader.Read()
			received <- m
		}()
		var m *isup.Message
		for invited := false; m == nil; {
			select {
			case request := <-n.exchange.requests:
				if request.message.Method == sip.Invite {
					invited = true
					n.exchange.respond(request.netConn, request.message, 200, "")
				}
			case m = <-received:
				if m == nil {
					n.t.Fatalf("call %d got no answer", callID)
				}
				if !invited && m.Type == isup.Release && m.Cause() == isup.Congestion {
					return
				}
			}
		}
		caller.netConn.Close()
		time.Sleep(200 * time.Millisecond)
	}
	n.t.Fatal("after 12 calls the node still sends calls to the draining exchange")
}

func TestShutdownAnswersPendingCalls(t *testing.T) {
	n := startTestNode(t)
	earlyCaller := n.newReadyCaller()
	n.term <- syscall.SIGTERM
	time.Sleep(200 * time.Millisecond)
	lateCaller := n.newCaller()
	lateCaller.sendSetUp(8, "3000") // on a connection opened during the shutdown
	invite := n.exchange.expectRequest(sip.Invite)
	time.Sleep(900 * time.Millisecond)
	n.exchange.respond(invite.netConn, invite.message, 200, "")
	lateCaller.expect(isup.Answer)
	n.exchange.sendBye(invite.netConn, invite.message.CallID) // the release of an established call is still reported
	lateCaller.expect(isup.Release)
	select {
	case err := <-n.exited:
		if err != nil {
			t.Fatal(err)
		}
		n.exited <- nil
	case <-time.After(2 * time.Second):
		t.Fatal("the node did not shut down within 2 s")
	}
	if m, err := earlyCaller.reader.Read(); err == nil {
		t.Fatalf("received %+v, want the end of the connection", m)
	}
}

func TestMalformedClientsAreDisconnected(t *testing.T) {
	n, caller, invite := startCall(t, "3000")
	start := time.Now()
	var clients []*testCaller
	for _, data := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x03\x01\x02\x03", "\xff\xff\x01" + strings.Repeat("x", 1<<20),
		"\x00\x20\x01\x00\x00", "", "\x00\x09\x63\x00\x00\x00\x00\x00\x00\x00\x09"} {
		client := n.newCaller()
		_, _ = client.netConn.Write([]byte(data)) // the node may have closed the connection
		clients = append(clients, client)
	}
	for i, client := range clients {
		if m, err := client.reader.Read(); err == nil {
			t.Errorf("client %d received %+v, want the end of the connection", i, m)
		}
	}
	if elapsed := time.Since(start); elapsed > 3*time.Second {
		t.Errorf("all clients are disconnected after %v, want at most 3s", elapsed)
	}
	n.exchange.respond(invite.netConn, invite.message, 200, "")
	caller.expect(isup.Answer)
}

func TestMalformedResponseClosesOnlyItsConnection(t *testing.T) {
	n, caller, invite := startCall(t, "3000")
	fmt.Fprintf(invite.netConn, "SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nContent-Length: 3000000000\r\n\r\nxx", invite.message.CallID)
	retry := n.exchange.expectRequest(sip.Invite) // after the release time
	if retry.netConn == invite.netConn {
		t.Fatal("the node uses the connection again")
	}
	n.exchange.respond(retry.netConn, retry.message, 200, "")
	caller.expect(isup.Answer)
}

func TestConfigErrorsNameTheInvalidSetting(t *testing.T) {
	valid := fmt.Sprintf(configTemplate, "10.2.0.1:5353", "10.1.0.9:3868")
	for setting, replacement := range map[string][2]string{
		"listen":   {`"listen":"127.0.0.1:1"`, `"listen":"here"`},
		"resolver": {`"resolver":"10.2.0.1:5353"`, `"resolver":""`},
		"seed":     {`8c1f30d27a5be964`, `x`},
		"limits":   {`"sockets":256`, `"sockets":3`},
		"settings": {`"settings"`, `"setting"`},
		"profiles": {`"profiles"`, `"profile"`},
		"known":    {`"known"`, `"know"`},
		"connect":  {`"connect_timeout_ns"`, `"connect"`},
	} {
		if _, err := parseConfig([]byte(strings.Replace(valid, replacement[0], replacement[1], 1))); err == nil || !strings.Contains(err.Error(), setting) {
			t.Errorf("invalid %s: error is %v, want one that names it", setting, err)
		}
	}
	if _, err := parseConfig([]byte(valid)); err != nil {
		t.Error(err)
	}
	if _, err := ReadConfig(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), EnvConfig) {
		t.Errorf("without environment variables: error is %v, want one that names the missing variable", err)
	}
}

// Guards against an established call whose release never reaches its caller: the
// release is lost with its connection while the node has another one to the
// exchange, which sends it again only on the next one that is opened.
func TestReleaseLostWithConnectionReachesCaller(t *testing.T) {
	n, caller, _ := startCall(t, "3000")
	n.exchange.closeConns() // from now on set-ups do not share connections: there will be two
	invite := n.exchange.expectRequest(sip.Invite)
	eventually(t, func() bool { return n.exchange.connCount() == 2 })
	n.exchange.respond(invite.netConn, invite.message, 200, "")
	caller.expect(isup.Answer)
	n.exchange.expectRequest(sip.Ack)
	lostAt := time.Now()
	n.exchange.loseRelease(invite.netConn, invite.message.CallID)
	caller.expect(isup.Release)
	if elapsed := time.Since(lostAt); elapsed > time.Second {
		t.Errorf("the release took %v, want a second at most", elapsed)
	}
	if count := n.exchange.connCount(); count != 3 {
		t.Errorf("%d connections were opened, want one more than before", count)
	}
}

// Guards against set-ups to an exchange that has been draining for a while: the
// resolver's answers bring the list from before the drain for some time.
func TestOlderListsDoNotUndoDrain(t *testing.T) {
	n := startTestNode(t)
	n.newReadyCaller()
	n.resolver.setAnswer(2, 1)
	n.waitDraining()
	n.resolver.setAnswer(1, 0)
	queries := n.resolver.queryCount()
	eventually(t, func() bool { return n.resolver.queryCount() > queries+6 })
	caller := n.newCaller()
	caller.sendSetUp(7, "900")
	caller.expect(isup.Release)
	if len(n.exchange.requests) > 0 {
		t.Errorf("the draining exchange received %s", (<-n.exchange.requests).message.Method)
	}
	n.resolver.setAnswer(3, 0) // a new event
	callID := uint64(8)
	eventually(t, func() bool {
		caller := n.newCaller()
		caller.sendSetUp(callID, "900")
		callID++
		select {
		case request := <-n.exchange.requests:
			return request.message.Method == sip.Invite
		case <-time.After(time.Second):
			return false
		}
	})
}
