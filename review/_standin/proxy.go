package main

import (
	"net"
	"sync"
	"time"
)

// proxy is the network between controllers and one exchange: every byte takes oneWay. A reset drops what
// is under way and resets both ends.
type proxy struct {
	rec      *recorder
	name     string
	target   string
	oneWay   time.Duration
	listener net.Listener
	mu       sync.Mutex
	legs     map[string]*leg // by the local address of the connection to the exchange
}

type leg struct {
	near, far *net.TCPConn // to the controller, to the exchange
	done      chan struct{}
	once      sync.Once
}

func newProxy(rec *recorder, name, target string, oneWay time.Duration) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{rec: rec, name: name, target: target, oneWay: oneWay, listener: l, legs: map[string]*leg{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			c.Close()
			continue
		}
		g := &leg{near: c.(*net.TCPConn), far: far.(*net.TCPConn), done: make(chan struct{})}
		p.mu.Lock()
		p.legs[far.LocalAddr().String()] = g
		p.mu.Unlock()
		go p.pump(g, g.near, g.far)
		go p.pump(g, g.far, g.near)
	}
}

// address is where controllers reach the exchange through this proxy.
func (p *proxy) address() *net.TCPAddr { return p.listener.Addr().(*net.TCPAddr) }

// carries reports whether the exchange sees connections of this proxy as coming from addr.
func (p *proxy) carries(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.legs[addr] != nil
}

// down resets all connections and refuses new ones, as when the process at the far end has died.
func (p *proxy) down() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.legs {
		g.close(true)
	}
}

// up accepts connections again, at the same address.
func (p *proxy) up() error {
	l, err := net.Listen("tcp", p.listener.Addr().String())
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

type chunk struct {
	due  time.Time
	data []byte // nil: the end of the stream
}

// pump carries bytes from one end to the other.
func (p *proxy) pump(g *leg, from, to *net.TCPConn) {
	queue := make(chan chunk, 4096)
	go func() {
		for {
			select {
			case <-g.done:
				return
			case c := <-queue:
				select {
				case <-g.done:
					return
				case <-time.After(time.Until(c.due)):
				}
				if c.data == nil {
					g.close(false)
					return
				}
				if _, err := to.Write(c.data); err != nil {
					g.close(true)
					return
				}
			}
		}
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c := chunk{due: time.Now().Add(p.oneWay)}
		if n > 0 {
			c.data = append([]byte(nil), buf[:n]...)
			select {
			case queue <- c:
			case <-g.done:
				return
			}
		}
		if err != nil {
			select {
			case queue <- chunk{due: c.due}:
			case <-g.done:
			}
			return
		}
	}
}

// close ends both connections, with a reset or in order.
func (g *leg) close(reset bool) {
	g.once.Do(func() {
		close(g.done)
		if reset {
			_ = g.near.SetLinger(0)
			_ = g.far.SetLinger(0)
		}
		g.near.Close()
		g.far.Close()
	})
}

// reset resets the connection that the exchange sees as coming from addr.
func (p *proxy) reset(addr string) {
	p.mu.Lock()
	g := p.legs[addr]
	p.mu.Unlock()
	if g != nil {
		g.close(true)
	}
}

func (p *proxy) stop() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.legs {
		g.close(true)
	}
}
