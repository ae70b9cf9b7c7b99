// Package memnet is a network in memory for tests: connections are pipes, so
// that time can be virtual.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Network is one network. The zero Network is ready.
type Network struct {
	mu        sync.Mutex
	next      int
	listeners map[string]*listener
}

type addr string

func (a addr) Network() string { return "mem" }
func (a addr) String() string  { return string(a) }

type conn struct {
	net.Conn
	local, remote addr
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

type listener struct {
	n    *Network
	addr addr
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

func (n *Network) name() addr {
	n.next++
	return addr(fmt.Sprintf("mem:%d", n.next))
}

// Listen opens a listener at a new address.
func (n *Network) Listen() (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{n: n, addr: n.name(), in: make(chan net.Conn), done: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	n.listeners[string(l.addr)] = l
	return l, nil
}

// Dial connects to a listener.
func (n *Network) Dial(ctx context.Context, to string) (net.Conn, error) {
	n.mu.Lock()
	l, from := n.listeners[to], n.name()
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: nobody listens", to)
	}
	a, b := net.Pipe()
	select {
	case l.in <- &conn{b, l.addr, from}:
		return &conn{a, from, l.addr}, nil
	case <-l.done:
		return nil, fmt.Errorf("dial %s: closed", to)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", to, ctx.Err())
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.in:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.n.mu.Lock()
		delete(l.n.listeners, string(l.addr))
		l.n.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }
