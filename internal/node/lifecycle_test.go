package node

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
)

// startWith starts a node on the test configuration with the given text
// replacements; earlySignals are pending when it starts.
func (n *testNode) startWith(earlySignals []os.Signal, replacements ...string) (term chan os.Signal, exited chan error) {
	n.t.Helper()
	raw := strings.NewReplacer(replacements...).Replace(fmt.Sprintf(configTemplate, n.resolver.packetConn.LocalAddr(), n.exchange.listener.Addr()))
	cfg, err := parseConfig([]byte(raw))
	if err != nil {
		n.t.Fatal(err)
	}
	hup, term := make(chan os.Signal, 4), make(chan os.Signal, 4)
	for _, signal := range earlySignals {
		term <- signal
	}
	exited = make(chan error, 1)
	node := n.newListeningNode(cfg)
	go func() {
		exited <- node.run(hup, term, func() (*Config, error) { return parseConfig([]byte(raw)) })
	}()
	n.t.Cleanup(func() {
		select {
		case term <- syscall.SIGTERM:
		default:
		}
		select {
		case <-exited:
		case <-time.After(10 * time.Second):
			n.t.Error("the node did not shut down within 10 s")
		}
	})
	return term, exited
}

func (n *testNode) expectExit(exited chan error, timeout time.Duration) {
	n.t.Helper()
	select {
	case err := <-exited:
		if err != nil {
			n.t.Errorf("run: %v", err)
		}
		exited <- nil
	case <-time.After(timeout):
		n.t.Errorf("the node did not shut down within %v", timeout)
	}
}

// SIGTERM during the start, twice, or together with a new configuration: calls
// that arrive while the platform still sends some are answered, and the program
// ends in order.
func TestShutdownAtUnusualTimes(t *testing.T) {
	for name, earlySignals := range map[string][]os.Signal{"during the start": {syscall.SIGTERM}, "twice": {syscall.SIGTERM, syscall.SIGTERM}} {
		t.Run(name, func(t *testing.T) {
			n := &testNode{t: t, exchange: newFakeExchange(t)}
			n.resolver = newFakeResolver(t, n.exchange)
			_, exited := n.startWith(earlySignals)
			caller := n.newCaller()
			caller.sendSetUp(7, "3000")
			invite := n.exchange.expectRequest(sip.Invite)
			n.exchange.respond(invite.netConn, invite.message, 486, "")
			caller.expect(isup.Release)
			n.expectExit(exited, 3*time.Second)
		})
	}
	t.Run("with a new configuration", func(t *testing.T) {
		n := startTestNode(t)
		caller := n.newReadyCaller()
		caller.sendSetUp(7, "3000")
		invite := n.exchange.expectRequest(sip.Invite)
		n.hup <- syscall.SIGHUP
		n.term <- syscall.SIGTERM
		n.exchange.respond(invite.netConn, invite.message, 486, "")
		caller.expect(isup.Release)
		n.expectExit(n.exited, 3*time.Second)
	})
}

// A shutdown must not wait for an exchange that answers after the platform's
// deadline: by then the caller has a release and the exchange a CANCEL.
func TestShutdownEndsUnansweredSetUps(t *testing.T) {
	n := startTestNode(t)
	caller := n.newReadyCaller()
	start := time.Now()
	caller.sendSetUp(7, "4000") // longer than the platform waits
	n.exchange.expectRequest(sip.Invite)
	n.term <- syscall.SIGTERM
	m := caller.expect(isup.Release)
	if d := time.Since(start); m.Cause() != isup.TemporaryFailure || d < 2*time.Second || d > 3600*time.Millisecond {
		t.Errorf("released with cause %d after %v, want temporary failure after 2 to 3.6 s", m.Cause(), d)
	}
	n.exchange.expectRequest(sip.Cancel)
	n.expectExit(n.exited, 3700*time.Millisecond-time.Since(start))
}

// A controller must be ready at once and answer calls even if its exchange list
// is empty, or names an exchange that does not exist, and no resolver answers.
func TestReadyWithoutListAndResolver(t *testing.T) {
	for name, replacements := range map[string][]string{
		"empty": {`"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[`, `"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[]}}]},"unused":{"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[`},
		"stale": {`"block":1`, `"block":2`},
	} {
		t.Run(name, func(t *testing.T) {
			n := &testNode{t: t, exchange: newFakeExchange(t)}
			n.resolver = newFakeResolver(t, n.exchange)
			n.resolver.mu.Lock()
			n.resolver.unresponsive = true
			n.resolver.mu.Unlock()
			n.exchange.listener.Close() // the listed exchange does not exist
			start := time.Now()
			n.startWith(nil, replacements...)
			caller := n.newReadyCaller()
			caller.sendSetUp(7, "1500")
			if m := caller.expect(isup.Release); m.Cause() == isup.InvalidContents {
				t.Error("a call to an exchange that is not listed yet is released as invalid")
			}
			if d := time.Since(start); d > 3*time.Second {
				t.Errorf("ready and answering only after %v, want at most 3s", d)
			}
		})
	}
}

// Idle callers that take all the connections they can get while the resolver is
// unresponsive must leave descriptors for the node: it goes on querying the resolver,
// dials exchanges and serves other callers.
func TestIdleCallersLeaveDescriptorsForTheNode(t *testing.T) {
	n := &testNode{t: t, exchange: newFakeExchange(t)}
	n.resolver = newFakeResolver(t, n.exchange)
	n.resolver.mu.Lock()
	n.resolver.unresponsive = true
	n.resolver.mu.Unlock()
	n.startWith(nil, `"sockets":256`, `"sockets":64`)
	n.newReadyCaller()
	open := 0
	var idleConns []net.Conn
	for range 60 { // 20 are for callers, and a few more until the core has closed others
		netConn, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer netConn.Close()
		idleConns = append(idleConns, netConn)
	}
	for _, netConn := range idleConns {
		_ = netConn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)) // fails only on a closed connection
		if _, err := netConn.Read(make([]byte, 1)); os.IsTimeout(err) {
			open++
		}
	}
	if open > 23 {
		t.Errorf("%d idle connections are open, want about 20 and at most 23", open)
	}
	queriesBefore := n.resolver.queryCount()
	n.exchange.closeConns() // all connections to the exchange
	eventually(t, func() bool { return n.resolver.queryCount() > queriesBefore+2 })
	caller := n.newCaller()
	caller.sendSetUp(7, "3000")
	invite := n.exchange.expectRequest(sip.Invite)
	n.exchange.respond(invite.netConn, invite.message, 200, "")
	caller.expect(isup.Answer)
}
