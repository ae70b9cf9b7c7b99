package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/memnet"
	"dahliaspindle/internal/signal"
)

// recorder is a handler that records the events of a connection.
type recorder struct {
	mu           sync.Mutex
	messages     []*signal.Message
	syntaxErrors []signal.SyntaxError
	unsent       []uint32 // IDs
	closeReasons []error
}

func (r *recorder) Message(_ *Conn[*signal.Message], m *signal.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}
func (r *recorder) Unreadable(_ *Conn[*signal.Message], e RecoverableError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.syntaxErrors = append(r.syntaxErrors, *e.(*signal.SyntaxError))
}
func (r *recorder) Unsent(_ *Conn[*signal.Message], m *signal.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.closeReasons) > 0 {
		panic("Unsent called after Closed")
	}
	r.unsent = append(r.unsent, m.ID)
}
func (r *recorder) Closed(_ *Conn[*signal.Message], err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeReasons = append(r.closeReasons, err)
}

func newPipe(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	var network memnet.Network
	ln, err := network.Listen()
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := ln.Accept()
		accepted <- c
	}()
	local, err := network.Dial(context.Background(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return local, <-accepted
}

func newSetUp(id uint32) *signal.Message {
	return &signal.Message{ID: id, Context: 1, Command: signal.Add, Termination: fmt.Sprint("c", id)}
}

func matchID(id uint32) func(*signal.Message) bool {
	return func(m *signal.Message) bool { return m.ID == id }
}

func newRelease(id uint32) *signal.Message {
	return &signal.Message{ID: id, Context: 1, Command: signal.Subtract, Termination: fmt.Sprint("c", id)}
}

func TestMessagesArriveInOrderBothWays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		netConnA, netConnB := newPipe(t)
		recorderA, recorderB := &recorder{}, &recorder{}
		connA, connB := Start(netConnA, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, recorderA), Start(netConnB, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, recorderB)
		for i := range uint32(500) {
			connA.Send(newRelease(i+1), 0)
			connB.Send(newSetUp(i+1), time.Hour)
		}
		synctest.Wait()
		if len(recorderA.messages) != 500 || len(recorderB.messages) != 500 {
			t.Fatalf("%d and %d messages arrived, want 500 each", len(recorderA.messages), len(recorderB.messages))
		}
		for i := range 500 {
			if recorderA.messages[i].ID != uint32(i+1) || recorderB.messages[i].ID != uint32(i+1) {
				t.Fatalf("message %d is out of order", i)
			}
		}
		connA.Close(ErrClosed)
		<-connA.Done()
		<-connB.Done()
		if len(recorderA.closeReasons) != 1 || len(recorderB.closeReasons) != 1 || !errors.Is(recorderA.closeReasons[0], ErrClosed) {
			t.Fatalf("close reasons are %v and %v, want one each and ErrClosed at the closing side", recorderA.closeReasons, recorderB.closeReasons)
		}
		if connA.Send(newRelease(1), 0) {
			t.Fatal("a closed connection accepts messages")
		}
	})
}

// A peer that stops reading must not hold up set-ups or take unbounded memory:
// the queue is bounded and keeps room for releases, blocked set-ups come back as
// unsent, the write in progress ends within the drain grace, and the connection
// is closed.
func TestPeerThatStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := newPipe(t)
		rec := &recorder{}
		c := Start(local, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Outbox: guard.Outbox{Capacity: 100}, WriteTimeout: time.Minute, DrainGrace: 250 * time.Millisecond}, rec)
		c.Send(newSetUp(1), time.Hour) // stays in the blocked write
		synctest.Wait()
		accepted := 0
		for i := range uint32(200) {
			if c.Send(newSetUp(i+2), time.Hour) {
				accepted++
			}
		}
		if accepted != 50 {
			t.Fatalf("%d set-ups accepted, want half of the queue capacity, 50", accepted)
		}
		if !c.Send(newRelease(1000), 0) || !c.Recall(matchID(2)) || c.Recall(matchID(1)) || c.QueueLen() != 50 {
			t.Fatal("want a release accepted, the queued set-up recalled, the set-up being written not recalled, and 50 messages queued")
		}
		blockedAt := time.Now()
		c.BlockSetUps()
		<-c.Done()
		if elapsed := time.Since(blockedAt); elapsed > 250*time.Millisecond {
			t.Fatalf("the write in progress ended after %v, want at most 250ms", elapsed)
		}
		if len(rec.unsent) != 49 || rec.unsent[0] != 3 || len(rec.closeReasons) != 1 {
			t.Fatalf("%d set-ups unsent, close reasons %v; want 49 from ID 3 on, and one reason", len(rec.unsent), rec.closeReasons)
		}
		peer.Close()
	})
}

func TestFullQueueClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := newPipe(t)
		rec := &recorder{}
		c := Start(local, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Outbox: guard.Outbox{Capacity: 100}, WriteTimeout: time.Minute}, rec)
		for i := 0; c.Send(newRelease(uint32(i+1)), 0); i++ {
			if i > 200 {
				t.Fatal("the queue accepts more messages than its capacity")
			}
		}
		<-c.Done()
		if !errors.Is(rec.closeReasons[0], ErrSlowPeer) {
			t.Fatalf("close reasons are %v, want ErrSlowPeer", rec.closeReasons)
		}
		peer.Close()
	})
}

func TestWriteTimeoutClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := newPipe(t)
		rec := &recorder{}
		c := Start(local, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), WriteTimeout: 2 * time.Second}, rec)
		sentAt := time.Now()
		c.Send(newRelease(1), 0)
		<-c.Done()
		if d := time.Since(sentAt); d != 2*time.Second {
			t.Fatalf("the connection was closed after %v, want 2s", d)
		}
		peer.Close()
	})
}

// Set-ups that have timed out or are blocked must never be sent; all other messages must be.
func TestExpiredAndBlockedSetUpsAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := newPipe(t)
		localRec, peerRec := &recorder{}, &recorder{}
		c := Start(local, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, localRec)
		time.Sleep(time.Second)
		c.Send(newSetUp(1), 900*time.Millisecond)
		c.Send(newRelease(2), 0)
		c.BlockSetUps()
		if c.Send(newSetUp(3), time.Hour) {
			t.Fatal("Send accepts a set-up while set-ups are blocked")
		}
		peerConn := Start(peer, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, peerRec)
		synctest.Wait()
		if len(localRec.unsent) != 1 || localRec.unsent[0] != 1 || len(peerRec.messages) != 1 || peerRec.messages[0].ID != 2 {
			t.Fatalf("unsent set-ups %v, messages at the peer %v; want set-up 1 unsent and message 2 received", localRec.unsent, peerRec.messages)
		}
		c.UnblockSetUps()
		c.Send(newSetUp(4), time.Hour)
		synctest.Wait()
		if len(peerRec.messages) != 2 {
			t.Fatalf("messages at the peer are %v, want 2 after set-ups were unblocked", peerRec.messages)
		}
		c.Close(ErrClosed)
		<-c.Done()
		<-peerConn.Done()
	})
}

// oneByteConn reads single bytes.
type oneByteConn struct{ net.Conn }

func (c oneByteConn) Read(p []byte) (int, error) { return iotest.OneByteReader(c.Conn).Read(p) }

func TestReadContinuesAfterUnreadableMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := newPipe(t)
		rec := &recorder{}
		c := Start(oneByteConn{local}, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, rec)
		for _, text := range []string{"Transaction=7 Context=- Add", "=x\r\nDest: 1\r", "\n\r\nrubbish\r\n\r\nPending=8\r\n\r\n"} {
			if _, err := peer.Write([]byte(text)); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		if len(rec.messages) != 2 || rec.messages[0].ID != 7 || rec.messages[1].ID != 8 || len(rec.syntaxErrors) != 1 {
			t.Fatalf("messages %v, syntax errors %v; want messages 7 and 8 and one error", rec.messages, rec.syntaxErrors)
		}
		peer.Close()
		<-c.Done()
	})
}
