package node

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const configTemplate = `{"name":"n0","listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","limits":{"memory_mb":64,"sockets":256},
"resolver":"%s","known":{"pos":1,"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[
{"host":"s-1","dial":"%s","block":1,"health":"active","born_ms":0}]}}]},
"settings":{"balancers":2,"me":0,"quantum_ns":1000000,"client_habits":{"marks_retry":true},
"domain":{"call_length_ns":[10000000000],"circuits_by_class":[1],"release_ns":150000000,"self_no":0,"shape":"network"},
"policy_limits":{"attempts_cap":6,"cancelling":true,"connect_timeout_ns":500000000,"max_retry_after_ns":2000000000,"retry_after":true},
"profiles":[{"name":"voice","worth":1,"late_worth":0.1,"objective_ns":1000000000,"give_up_ns":4000000000}],
"rules":{"answer_slack_ns":5000000,"cold_from":0.3,"cold_ns":1000000000,"drain_grace_ns":250000000,"overload_factor":2.5,"overload_for_ns":3000000000}}}`

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
