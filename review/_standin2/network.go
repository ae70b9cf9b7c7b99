package main

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// network stands in for the network between the controller and one exchange, which it can cut: then open
// connections stay open and say nothing, new ones never come up, and a close is not noticed on the other side.
type network struct {
	s        *scenario
	listener *net.TCPListener
	target   string

	mu      sync.Mutex
	cut     chan struct{} // closed at the end of the cut; nil while there is none
	fillers []net.Conn
}

func (s *scenario) newNetwork(target string) *network {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		s.cannotRun("network: %v", err)
	}
	n := &network{s: s, listener: listener, target: target}
	go n.accept()
	s.atEnd(func() { listener.Close() })
	return n
}

func (n *network) addr() string { return n.listener.Addr().String() }

// wait waits for the end of a cut.
func (n *network) wait() {
	for {
		n.mu.Lock()
		cut := n.cut
		n.mu.Unlock()
		if cut == nil {
			return
		}
		<-cut
	}
}

// setBacklog changes the number of connections that the machine completes before they are accepted.
func (n *network) setBacklog(size int) {
	raw, err := n.listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			if err := syscall.Listen(int(fd), size); err != nil {
				n.s.note("backlog: %v", err)
			}
		})
	}
	if err != nil {
		n.s.cannotRun("backlog: %v", err)
	}
}

// begin cuts the network. The queue of connections that wait to be accepted is filled, so that no further one
// comes up.
func (n *network) begin() {
	n.mu.Lock()
	n.cut = make(chan struct{})
	n.mu.Unlock()
	n.setBacklog(0)
	for range 3 {
		conn, err := net.DialTimeout("tcp", n.addr(), 100*time.Millisecond)
		if err != nil {
			break
		}
		n.mu.Lock()
		n.fillers = append(n.fillers, conn)
		n.mu.Unlock()
	}
	n.s.note("the network to %s is cut", n.target)
}

// end ends the cut.
func (n *network) end() {
	n.setBacklog(128)
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.cut)
	n.cut = nil
	for _, conn := range n.fillers {
		reset(conn)
	}
	n.fillers = nil
	n.s.note("the network to %s is whole again", n.target)
}

func (n *network) accept() {
	for {
		near, err := n.listener.Accept()
		if err != nil {
			return
		}
		if n.isCut() { // it came up by filling the queue
			n.wait()
			reset(near)
			continue
		}
		far, err := net.Dial("tcp", n.target)
		if err != nil {
			reset(near)
			continue
		}
		p := &path{n: n}
		go p.carry(near, far)
		go p.carry(far, near)
	}
}

// path is one connection through the network.
type path struct {
	n    *network
	mu   sync.Mutex
	dead bool // one side has closed during a cut, and the other has not noticed it
}

// carry passes what one side sends to the other. What is sent during a cut arrives after it, unless the sender
// has closed by then: that close and all that was under way are lost, and the other side notices by a reset
// when it sends something after the cut.
func (p *path) carry(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	var held []byte
	for {
		size, err := from.Read(buf)
		held = append(held, buf[:size]...)
		p.mu.Lock()
		dead := p.dead
		p.mu.Unlock()
		if cut := p.n.isCut(); cut && err != nil {
			p.mu.Lock()
			p.dead = true
			p.mu.Unlock()
			from.Close()
			return
		} else if cut && len(held) == size {
			p.flushAfterCut(from)
			continue
		} else if cut {
			continue
		}
		if dead {
			reset(from)
			return
		}
		if _, writeErr := to.Write(held); writeErr != nil {
			reset(from)
			return
		}
		held = held[:0]
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = to.(*net.TCPConn).CloseWrite() // fails only on a closed connection
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			_ = from.SetReadDeadline(time.Time{})
		default:
			reset(to)
			return
		}
	}
}

// flushAfterCut makes the read of a side return after the cut, so that what is held is passed on.
func (p *path) flushAfterCut(from net.Conn) {
	go func() {
		p.n.wait()
		_ = from.SetReadDeadline(time.Now()) // fails only on a closed connection
	}()
}

func (n *network) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	conn.Close()
}
