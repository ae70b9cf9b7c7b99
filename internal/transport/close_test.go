package transport

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"dahliaspindle/internal/signal"
)

// newTCPPair returns the two ends of a loopback connection.
func newTCPPair(t *testing.T) (*net.TCPConn, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	local, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { local.Close(); peer.Close() })
	_ = peer.SetDeadline(time.Now().Add(10 * time.Second)) // fails only on a closed connection
	return local.(*net.TCPConn), peer.(*net.TCPConn)
}

// blockingHandler blocks in Message until unblock is closed.
type blockingHandler struct {
	recorder
	entered, unblock chan struct{}
}

func (h *blockingHandler) Message(c *Conn[*signal.Message], m *signal.Message) {
	select {
	case <-h.entered:
	default:
		close(h.entered)
	}
	<-h.unblock
}

// FlushAndClose must end a connection in order while bytes of the peer are
// unread: a reset could overtake the data that was written.
func TestFlushAndCloseDoesNotReset(t *testing.T) {
	local, peer := newTCPPair(t)
	handler := &blockingHandler{entered: make(chan struct{}), unblock: make(chan struct{})}
	c := Start(local, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), LingerTimeout: 10 * time.Second}, handler)
	if _, err := peer.Write(newRelease(1).Append(nil)); err != nil {
		t.Fatal(err)
	}
	<-handler.entered
	unread := make([]byte, 128<<10) // more than the reader has taken from the socket
	if _, err := peer.Write(unread); err != nil {
		t.Fatal(err)
	}
	answer := newRelease(2)
	c.Send(answer, 0)
	c.FlushAndClose(ErrClosed)
	got, err := io.ReadAll(peer)
	if err != nil || string(got) != string(answer.Append(nil)) {
		t.Errorf("the peer read %q, %v; want the queued message", got, err)
	}
	peer.Close()
	close(handler.unblock)
	select {
	case <-c.Done():
	case <-time.After(5 * time.Second):
		t.Error("the connection did not end within 5 s after the peer closed it")
	}
}

// With AbortOnClose, Close must discard the data that the peer has not received:
// it must not arrive later.
func TestAbortOnCloseDiscardsUndeliveredData(t *testing.T) {
	local, peer := newTCPPair(t)
	for _, err := range []error{local.SetWriteBuffer(256 << 10), peer.SetReadBuffer(4 << 10)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	c := Start(local, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), AbortOnClose: true, WriteTimeout: time.Minute}, &recorder{})
	m := newSetUp(1)
	m.Termination = string(make([]byte, 4000))
	for range 30 { // more than the receive buffer of the peer, which does not read; the send buffer holds all of it
		c.Send(m, time.Hour)
	}
	for deadline := time.Now().Add(5 * time.Second); c.QueueLen() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the queue was not written within 5 s")
		}
	}
	time.Sleep(20 * time.Millisecond) // the last write call returns
	c.Close(ErrClosed)
	<-c.Done()
	if _, err := io.Copy(io.Discard, peer); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer's read ended with %v; want a connection reset", err)
	}
}

// A recalled set-up that is part of a blocked write must not stay there: the
// write gets RecallTimeout, then the connection is closed.
func TestRecallBoundsBlockedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := newPipe(t)
		c := Start(local, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), WriteTimeout: 2 * time.Second, RecallTimeout: 50 * time.Millisecond}, &recorder{})
		c.Send(newSetUp(1), time.Hour)
		synctest.Wait() // until the writer blocks
		time.Sleep(time.Second)
		if c.Recall(matchID(1)) {
			t.Fatal("Recall returned true for a set-up that is being written")
		}
		recalledAt := time.Now()
		time.Sleep(30 * time.Millisecond)
		c.Recall(matchID(1)) // a second call must not extend the deadline
		<-c.Done()
		if d := time.Since(recalledAt); d != 50*time.Millisecond {
			t.Errorf("the connection ended %v after Recall, want 50ms", d)
		}
		peer.Close()
	})
}

// The owner of a connection has to know whether the peer may still believe that it is open.
func TestPeerClosedTellsWhichSideEndedTheConnection(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(c *Conn[*signal.Message], peer *net.TCPConn)
		want bool
	}{
		"closed by the peer": {func(_ *Conn[*signal.Message], peer *net.TCPConn) { peer.Close() }, true},
		"reset by the peer": {func(_ *Conn[*signal.Message], peer *net.TCPConn) {
			_ = peer.SetLinger(0) // fails only on a closed connection
			peer.Close()
		}, true},
		"closed by this side":                {func(c *Conn[*signal.Message], _ *net.TCPConn) { c.Close(ErrClosed) }, false},
		"half-closed, the peer stays":        {func(c *Conn[*signal.Message], _ *net.TCPConn) { c.FlushAndClose(ErrClosed) }, false},
		"half-closed, then closed by it too": {func(c *Conn[*signal.Message], peer *net.TCPConn) { c.FlushAndClose(ErrClosed); peer.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			local, peer := newTCPPair(t)
			c := Start(local, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), LingerTimeout: 300 * time.Millisecond}, &recorder{})
			test.end(c, peer)
			<-c.Done()
			if got := c.PeerClosed(); got != test.want {
				t.Errorf("PeerClosed is %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against messages that are handled for a peer that has left: its end of the connection is behind them.
func TestHasPeerLeftNoticesACloseBehindUnreadMessages(t *testing.T) {
	local, peer := newTCPPair(t)
	handler := &blockingHandler{entered: make(chan struct{}), unblock: make(chan struct{})}
	c := Start(local, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, handler)
	for range 3 {
		if _, err := peer.Write(newRelease(1).Append(nil)); err != nil {
			t.Fatal(err)
		}
	}
	<-handler.entered
	time.Sleep(2 * peerCheckInterval)
	if c.HasPeerLeft() {
		t.Error("the peer counts as gone while its connection is open")
	}
	peer.Close()
	for limit := time.Now().Add(time.Second); !c.HasPeerLeft(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the peer does not count as gone a second after its close")
		}
	}
	close(handler.unblock)
	<-c.Done()
	if !c.PeerClosed() {
		t.Error("the close counts as this side's")
	}
}
