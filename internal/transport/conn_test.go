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

// keeper keeps what a connection tells.
type keeper struct {
	mu     sync.Mutex
	got    []*signal.Message
	bad    []signal.SyntaxError
	unsent []uint32
	closed []error
}

func (k *keeper) Message(_ *Conn[*signal.Message], m *signal.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.got = append(k.got, m)
}
func (k *keeper) Unreadable(_ *Conn[*signal.Message], e RecoverableError) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bad = append(k.bad, *e.(*signal.SyntaxError))
}
func (k *keeper) Unsent(_ *Conn[*signal.Message], m *signal.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.closed) > 0 {
		panic("Unsent after Closed")
	}
	k.unsent = append(k.unsent, m.ID)
}
func (k *keeper) Closed(_ *Conn[*signal.Message], err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = append(k.closed, err)
}

func pipe(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	var n memnet.Network
	ln, err := n.Listen()
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan net.Conn, 1)
	go func() {
		c, _ := ln.Accept()
		got <- c
	}()
	a, err := n.Dial(context.Background(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return a, <-got
}

func setup(id uint32) *signal.Message {
	return &signal.Message{ID: id, Context: 1, Command: signal.Add, Termination: fmt.Sprint("c", id)}
}

func id(n uint32) func(*signal.Message) bool {
	return func(m *signal.Message) bool { return m.ID == n }
}

func release(id uint32) *signal.Message {
	return &signal.Message{ID: id, Context: 1, Command: signal.Subtract, Termination: fmt.Sprint("c", id)}
}

func TestMessagesPassInOrderBothWays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := pipe(t)
		ka, kb := &keeper{}, &keeper{}
		ca, cb := Start(a, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, ka), Start(b, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, kb)
		for i := range uint32(500) {
			ca.Send(release(i+1), 0)
			cb.Send(setup(i+1), time.Hour)
		}
		synctest.Wait()
		if len(ka.got) != 500 || len(kb.got) != 500 {
			t.Fatalf("%d and %d", len(ka.got), len(kb.got))
		}
		for i := range 500 {
			if ka.got[i].ID != uint32(i+1) || kb.got[i].ID != uint32(i+1) {
				t.Fatalf("message %d is out of order", i)
			}
		}
		ca.Close(ErrClosed)
		<-ca.Done()
		<-cb.Done()
		if len(ka.closed) != 1 || len(kb.closed) != 1 || !errors.Is(ka.closed[0], ErrClosed) {
			t.Fatalf("%v, %v", ka.closed, kb.closed)
		}
		if ca.Send(release(1), 0) {
			t.Fatal("a closed connection takes messages")
		}
	})
}

// A peer that reads nothing: set-ups come back at the fence, at their time-out
// and at the end; releases keep their room; the queue is bounded; the write
// under way ends within the grace; and the connection is cut.
func TestPeerThatStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := pipe(t)
		k := &keeper{}
		c := Start(a, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Outbox: guard.Outbox{Most: 100}, WriteTimeout: time.Minute, DrainGrace: 250 * time.Millisecond}, k)
		c.Send(setup(1), time.Hour) // is being written
		synctest.Wait()
		taken := 0
		for i := range uint32(200) {
			if c.Send(setup(i+2), time.Hour) {
				taken++
			}
		}
		if taken != 50 {
			t.Fatalf("%d set-ups taken, want half of the queue", taken)
		}
		if !c.Send(release(1000), 0) || !c.Recall(id(2)) || c.Recall(id(1)) || c.QueueLen() != 50 {
			t.Fatal("room for releases, recall of what waits and of nothing else")
		}
		began := time.Now()
		c.BlockSetUps()
		<-c.Done()
		if cut := time.Since(began); cut > 250*time.Millisecond {
			t.Fatalf("the write under way ended after %v", cut)
		}
		if len(k.unsent) != 49 || k.unsent[0] != 3 || len(k.closed) != 1 {
			t.Fatalf("%d came back, %v", len(k.unsent), k.closed)
		}
		b.Close()
	})
}

func TestQueueThatIsFullCutsThePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := pipe(t)
		k := &keeper{}
		c := Start(a, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Outbox: guard.Outbox{Most: 100}, WriteTimeout: time.Minute}, k)
		for i := 0; c.Send(release(uint32(i+1)), 0); i++ {
			if i > 200 {
				t.Fatal("takes messages without end")
			}
		}
		<-c.Done()
		if !errors.Is(k.closed[0], ErrSlowPeer) {
			t.Fatalf("%v", k.closed)
		}
		b.Close()
	})
}

func TestWriteThatTakesTooLongCutsThePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := pipe(t)
		k := &keeper{}
		c := Start(a, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), WriteTimeout: 2 * time.Second}, k)
		began := time.Now()
		c.Send(release(1), 0)
		<-c.Done()
		if d := time.Since(began); d != 2*time.Second {
			t.Fatalf("cut after %v", d)
		}
		b.Close()
	})
}

// Set-ups whose time has passed, or that a fence holds, never leave; all else does.
func TestNothingLeavesTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := pipe(t)
		ka, kb := &keeper{}, &keeper{}
		c := Start(a, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, ka)
		time.Sleep(time.Second)
		c.Send(setup(1), 900*time.Millisecond)
		c.Send(release(2), 0)
		c.BlockSetUps()
		if c.Send(setup(3), time.Hour) {
			t.Fatal("a fenced connection takes set-ups")
		}
		peer := Start(b, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, kb)
		synctest.Wait()
		if len(ka.unsent) != 1 || ka.unsent[0] != 1 || len(kb.got) != 1 || kb.got[0].ID != 2 {
			t.Fatalf("unsent %v, got %v", ka.unsent, kb.got)
		}
		c.UnblockSetUps()
		c.Send(setup(4), time.Hour)
		synctest.Wait()
		if len(kb.got) != 2 {
			t.Fatalf("got %v", kb.got)
		}
		c.Close(ErrClosed)
		<-c.Done()
		<-peer.Done()
	})
}

// slivers gives what it reads in single bytes.
type slivers struct{ net.Conn }

func (s slivers) Read(p []byte) (int, error) { return iotest.OneByteReader(s.Conn).Read(p) }

func TestFragmentsAndGarbage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := pipe(t)
		k := &keeper{}
		c := Start(slivers{a}, Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{})}, k)
		for _, text := range []string{"Transaction=7 Context=- Add", "=x\r\nDest: 1\r", "\n\r\nrubbish\r\n\r\nPending=8\r\n\r\n"} {
			if _, err := b.Write([]byte(text)); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		if len(k.got) != 2 || k.got[0].ID != 7 || k.got[1].ID != 8 || len(k.bad) != 1 {
			t.Fatalf("got %v, bad %v", k.got, k.bad)
		}
		b.Close()
		<-c.Done()
	})
}
