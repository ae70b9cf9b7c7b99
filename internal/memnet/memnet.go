// Package memnet is an in-memory network for tests. Its connections are pipes,
// so tests can run in virtual time.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Network connects dialers with listeners in memory. The zero value is ready to use.
type Network struct {
	mu          sync.Mutex
	lastAddress int
	listeners   map[string]*listener
}

type address string

func (a address) Network() string { return "mem" }
func (a address) String() string  { return string(a) }

// conn is a pipe end with addresses.
type conn struct {
	net.Conn
	local, remote address
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

type listener struct {
	network   *Network
	address   address
	incoming  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// newAddress returns an unused address; n.mu must be held.
func (n *Network) newAddress() address {
	n.lastAddress++
	return address(fmt.Sprintf("mem:%d", n.lastAddress))
}

// Listen opens a listener at a new address.
func (n *Network) Listen() (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: n.newAddress(), incoming: make(chan net.Conn), closed: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	n.listeners[string(l.address)] = l
	return l, nil
}

// Dial connects to the listener at the address to.
func (n *Network) Dial(ctx context.Context, to string) (net.Conn, error) {
	n.mu.Lock()
	l, from := n.listeners[to], n.newAddress()
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: no listener at this address", to)
	}
	dialerEnd, listenerEnd := net.Pipe()
	select {
	case l.incoming <- &conn{listenerEnd, l.address, from}:
		return &conn{dialerEnd, from, l.address}, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: listener closed", to)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", to, ctx.Err())
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		delete(l.network.listeners, string(l.address))
		l.network.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }
