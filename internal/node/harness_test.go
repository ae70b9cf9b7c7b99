package node

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/miekg/dns"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
)

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

func (r *fakeResolver) queryCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queries
}

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

// eventually waits up to 10 s for a condition.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not become true within 10 s")
		}
	}
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
