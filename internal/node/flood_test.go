package node

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
)

// answerCalls answers each set-up that arrives at the exchange and releases the call a little later.
func (x *fakeExchange) answerCalls(over *atomic.Bool) {
	for !over.Load() {
		select {
		case request := <-x.requests:
			if request.message.Method == sip.Invite {
				x.respond(request.netConn, request.message, 200, "")
				time.AfterFunc(50*time.Millisecond, func() { x.sendBye(request.netConn, request.message.CallID) })
			}
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// fastClient writes messages at full speed on one connection, and opens another one when that ends.
func fastClient(next func(id uint64) []byte) func(netConn net.Conn, nextID func() uint64) {
	return func(netConn net.Conn, nextID func() uint64) {
		go func() { _, _ = io.Copy(io.Discard, netConn) }() // ends with the connection
		for {
			var batch []byte
			for range 50 {
				batch = append(batch, next(nextID())...)
			}
			if _, err := netConn.Write(batch); err != nil {
				return
			}
		}
	}
}

// usualCaller sends a set-up every 20 ms for a while and returns the longest time until one was answered, and how
// many were not.
func (n *childNode) usualCaller(duration time.Duration) (longest time.Duration, unanswered int) {
	netConn, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	defer netConn.Close()
	_ = netConn.SetDeadline(time.Now().Add(duration + 5*time.Second)) // fails only on a closed connection
	var mu sync.Mutex
	sentAt := map[uint64]time.Time{}
	go func() {
		for reader := isup.NewReader(netConn, nil); ; {
			m, err := reader.Read()
			if err != nil {
				return
			}
			mu.Lock()
			if at, open := sentAt[m.CallID]; open {
				longest = max(longest, time.Since(at))
				delete(sentAt, m.CallID)
			}
			mu.Unlock()
		}
	}()
	for id, end := uint64(1), time.Now().Add(duration); time.Now().Before(end); id++ {
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		if _, err := netConn.Write(newTestSetUp(id, "1500").Append(nil)); err != nil {
			n.t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	for end := time.Now().Add(usualPatience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		unanswered = len(sentAt)
		mu.Unlock()
		if unanswered == 0 {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return longest, len(sentAt)
}

// usualPatience is the time in which usual callers expect an answer.
const usualPatience = 1500 * time.Millisecond

// Guards against usual callers who are answered late or never, and against memory without a bound, while one client
// sends small or unsound messages at full speed on one connection, each with a new ID.
func TestUsualCallersAreAnsweredBesideAFastClient(t *testing.T) {
	program := buildProgram(t)
	setUp := func(id uint64, code byte, value string) []byte {
		return replaceParam(newTestSetUp(id, "9000"), code, []byte(value)).Append(nil)
	}
	for name, next := range map[string]func(id uint64) []byte{
		"set-ups":              func(id uint64) []byte { return newTestSetUp(id, "9000").Append(nil) },
		"unknown classes":      func(id uint64) []byte { return setUp(id, isup.ParamClass, "none") },
		"unknown destinations": func(id uint64) []byte { return setUp(id, isup.ParamRouting, "dest:77;width:1;via:-1") },
		"no time":              func(id uint64) []byte { return setUp(id, isup.ParamPatience, "0") },
		"established calls":    func(id uint64) []byte { return setUp(id, isup.ParamRouting, "dest:1;width:1;via:-1;at:s-1") },
		"unknown exchanges":    func(id uint64) []byte { return setUp(id, isup.ParamRouting, "dest:1;width:1;via:-1;at:s-9") },
		"releases": func(id uint64) []byte {
			return (&isup.Message{Type: isup.Release, CallID: id}).Add(isup.ParamCause, []byte{16}).Append(nil)
		},
		"tests": func(id uint64) []byte {
			return (&isup.Message{Type: isup.Test, CallID: id}).Add(isup.ParamCause, []byte{0}).Append(nil)
		},
		"noise": func(uint64) []byte { return bytes.Repeat([]byte{0xff}, 40) },
	} {
		t.Run(name, func(t *testing.T) {
			const memoryMB = 32
			n := startChildNode(t, program, memoryMB, 256)
			var over atomic.Bool
			var others sync.WaitGroup
			others.Go(func() { n.exchange.answerCalls(&over) })
			others.Go(func() { n.badClient(&over, 1, fastClient(next)) })
			longest, unanswered := n.usualCaller(2 * time.Second)
			peak := n.peakMemoryKB()
			over.Store(true)
			n.kill()
			others.Wait()
			if unanswered > 0 || longest > usualPatience {
				t.Errorf("%d usual set-ups got no answer, the longest took %v, %v are allowed", unanswered, longest, usualPatience)
			}
			if peak > memoryMB<<10 {
				t.Errorf("the process held %d kB, over the limit of %d MB", peak, memoryMB)
			}
			t.Logf("%d kB at most, the longest answer took %v", peak, longest)
		})
	}
}
