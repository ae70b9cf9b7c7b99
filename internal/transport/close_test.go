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

// sockets are the two ends of a loopback connection.
func sockets(t *testing.T) (*net.TCPConn, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	a, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	_ = b.SetDeadline(time.Now().Add(10 * time.Second)) // fails only on a closed connection
	return a.(*net.TCPConn), b.(*net.TCPConn)
}

// stuck is a handler that stays in its first message until it is let go.
type stuck struct {
	keeper
	in, leave chan struct{}
}

func (s *stuck) Message(c *Conn[*signal.Message], m *signal.Message) {
	select {
	case <-s.in:
	default:
		close(s.in)
	}
	<-s.leave
}

// A connection that is finished while bytes of the peer are unread ends in order: what was written is
// read, then comes the end, not a reset.
func TestFinishingDoesNotResetWhatWasWritten(t *testing.T) {
	a, b := sockets(t)
	h := &stuck{in: make(chan struct{}), leave: make(chan struct{})}
	c := Start(a, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), LingerTimeout: 10 * time.Second}, h)
	if _, err := b.Write(release(1).Append(nil)); err != nil {
		t.Fatal(err)
	}
	<-h.in
	big := make([]byte, 128<<10) // more than the reader has taken from the socket
	if _, err := b.Write(big); err != nil {
		t.Fatal(err)
	}
	answer := release(2)
	c.Send(answer, 0)
	c.FlushAndClose(ErrClosed)
	got, err := io.ReadAll(b)
	if err != nil || string(got) != string(answer.Append(nil)) {
		t.Errorf("read %q, %v", got, err)
	}
	b.Close()
	close(h.leave)
	select {
	case <-c.Done():
	case <-time.After(5 * time.Second):
		t.Error("the peer's end did not end the connection")
	}
}

// Closing a connection that aborts takes back what the peer has not been given: nothing arrives later.
func TestAbortingTakesBackWhatIsOnItsWay(t *testing.T) {
	a, b := sockets(t)
	for _, err := range []error{a.SetWriteBuffer(256 << 10), b.SetReadBuffer(4 << 10)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	c := Start(a, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), AbortOnClose: true, WriteTimeout: time.Minute}, &keeper{})
	m := setup(1)
	m.Termination = string(make([]byte, 4000))
	for range 30 { // more than the peer, which does not read, has room for; all of it fits on the way
		c.Send(m, time.Hour)
	}
	for late := time.Now().Add(5 * time.Second); c.QueueLen() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("it was not written")
		}
	}
	time.Sleep(20 * time.Millisecond) // the write itself ends
	c.Close(ErrClosed)
	<-c.Done()
	if _, err := io.Copy(io.Discard, b); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer read on to %v; want a reset", err)
	}
}

// A set-up that is called back while it is part of a write that does not end: the write is given a short
// time, then the connection ends.
func TestARecalledSetUpDoesNotRestInABlockedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := pipe(t)
		c := Start(a, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), WriteTimeout: 2 * time.Second, RecallTimeout: 50 * time.Millisecond}, &keeper{})
		c.Send(setup(1), time.Hour)
		synctest.Wait() // in the write
		time.Sleep(time.Second)
		if c.Recall(id(1)) {
			t.Fatal("called back from a write under way")
		}
		began := time.Now()
		time.Sleep(30 * time.Millisecond)
		c.Recall(id(1)) // once more gives no more time
		<-c.Done()
		if d := time.Since(began); d != 50*time.Millisecond {
			t.Errorf("ended after %v", d)
		}
		b.Close()
	})
}
