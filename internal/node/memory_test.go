package node

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dahliaspindle/internal/isup"
)

// programDir is the package of the program that the platform starts.
const programDir = "../../cmd/dahliaspindle-node"

// buildProgram builds the program of the platform, without the race detector, which takes memory of its own.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "program")
	if out, err := exec.Command("go", "build", "-race=false", "-o", program, programDir).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// childNode is a node in a process of its own.
type childNode struct {
	t        *testing.T
	addr     string
	process  *os.Process
	exchange *fakeExchange
}

// startChildNode starts a node with a memory limit and a limit on descriptors.
func startChildNode(t *testing.T, program string, memoryMB, sockets int) *childNode {
	if runtime.GOOS != "linux" {
		t.Skip("the memory of a process is read from /proc")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	exchange := newFakeExchange(t)
	config := fmt.Sprintf(configTemplate, "127.0.0.1:1", exchange.listener.Addr())
	config = strings.Replace(config, `"memory_mb":64,"sockets":256`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, memoryMB, sockets), 1)
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, "-log", "error")
	cmd.Env = append(os.Environ(), EnvConfig+"="+file, EnvListen+"="+addr)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails only if it has ended
		_ = cmd.Wait()
	})
	n := &childNode{t, addr, cmd.Process, exchange}
	eventually(t, func() bool {
		netConn, err := net.Dial("tcp", addr)
		if err == nil {
			netConn.Close()
		}
		return err == nil
	})
	return n
}

// kill ends the process, and with it the connections of all clients.
func (n *childNode) kill() {
	_ = n.process.Kill() // fails only if it has ended
}

// peakMemoryKB returns the largest resident memory that the process had.
func (n *childNode) peakMemoryKB() int {
	n.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Pid))
	if err != nil {
		n.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			if err != nil {
				n.t.Fatal(err)
			}
			return kB
		}
	}
	n.t.Fatal("the process has ended")
	return 0
}

// largeSetUp returns a set-up with a description of the given size.
func largeSetUp(id uint64, size int) []byte {
	return replaceParam(newTestSetUp(id, "9000"), isup.ParamDescription, make([]byte, size)).Append(nil)
}

// replaceParam replaces the value of a parameter and returns the message.
func replaceParam(m *isup.Message, code byte, value []byte) *isup.Message {
	for i := range m.Params {
		if m.Params[i].Code == code {
			m.Params[i].Value = value
		}
	}
	return m
}

// setUpWithShortFields returns a set-up of the maximum size that is full of empty parameters.
func setUpWithShortFields(id uint64) []byte {
	m := newTestSetUp(id, "9000")
	for m.Len()+3 <= isup.MaxMessageBytes {
		m.Add(200, nil)
	}
	return m.Append(nil)
}

// badClient connects again and again until the test ends. play uses one connection until it fails.
func (n *childNode) badClient(over *atomic.Bool, number int, play func(netConn net.Conn, nextID func() uint64)) {
	id := uint64(number+1) << 40
	nextID := func() uint64 { id++; return id }
	for !over.Load() {
		netConn, err := net.Dial("tcp", n.addr)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		_ = netConn.SetDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
		play(netConn, nextID)
		netConn.Close()
	}
}

// Guards against a process that is killed for its memory: hundreds of clients send large set-ups at once, stop
// half way through one, write slowly, or send very many short fields.
func TestMemoryStaysWithinTheLimit(t *testing.T) {
	discard := func(netConn net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, netConn) }() // ends with the connection
	}
	half := largeSetUp(1, 15_900)[:15_000]
	program := buildProgram(t)
	for name, play := range map[string]func(netConn net.Conn, nextID func() uint64){
		"large set-ups at once": func(netConn net.Conn, nextID func() uint64) {
			discard(netConn)
			for range 300 {
				if _, err := netConn.Write(largeSetUp(nextID(), 15_900)); err != nil {
					return
				}
			}
			time.Sleep(500 * time.Millisecond)
		},
		"half of a large set-up": func(netConn net.Conn, _ func() uint64) {
			_, _ = netConn.Write(half)
			_, _ = io.Copy(io.Discard, netConn) // until the node closes the connection
		},
		"slow writes": func(netConn net.Conn, _ func() uint64) {
			for part := range slices.Chunk(half, 1000) {
				if _, err := netConn.Write(part); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		},
		"short fields": func(netConn net.Conn, nextID func() uint64) {
			discard(netConn)
			for range 100 {
				if _, err := netConn.Write(setUpWithShortFields(nextID())); err != nil {
					return
				}
			}
		},
	} {
		for _, sockets := range []int{256, 1024} {
			t.Run(fmt.Sprintf("%s, %d descriptors", name, sockets), func(t *testing.T) {
				const memoryMB = 32
				n := startChildNode(t, program, memoryMB, sockets)
				var over atomic.Bool
				var clients sync.WaitGroup
				for number := range sockets / 3 { // the platform lets callers hold no more
					clients.Go(func() { n.badClient(&over, number, play) })
				}
				time.Sleep(2 * time.Second)
				peak := n.peakMemoryKB()
				over.Store(true)
				n.kill()
				clients.Wait()
				if peak > memoryMB<<10 {
					t.Errorf("the process held %d kB, over the limit of %d MB", peak, memoryMB)
				} else {
					t.Logf("the process held %d kB at most", peak)
				}
			})
		}
	}
}
