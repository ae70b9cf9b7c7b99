package world

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dahliaspindle/internal/standin/scene"
)

// connFaults is what goes wrong with the sockets of one exchange.
type connFaults struct {
	stalled        atomic.Bool // reads nothing
	halfOpen       atomic.Bool // half open: the connection stands, nothing comes and nothing is heard
	fragments      atomic.Bool // writes in small pieces
	disabled       atomic.Bool
	mu             sync.Mutex
	blockedReaders []chan struct{}
}

// removeAll lets everything through, for good.
func (f *connFaults) removeAll() {
	f.disabled.Store(true)
	f.releaseReaders()
}

// releaseReaders wakes readers that were held.
func (f *connFaults) releaseReaders() {
	f.stalled.Store(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.blockedReaders {
		close(g)
	}
	f.blockedReaders = nil
}

func (f *connFaults) blockReader(over <-chan struct{}) {
	f.mu.Lock()
	if !f.stalled.Load() || f.disabled.Load() {
		f.mu.Unlock()
		return
	}
	g := make(chan struct{})
	f.blockedReaders = append(f.blockedReaders, g)
	f.mu.Unlock()
	select {
	case <-g:
	case <-over:
	}
}

type faultyConn struct {
	net.Conn
	faults    *connFaults
	closed    chan struct{}
	closeOnce sync.Once
}

func (f *connFaults) wrap(nc net.Conn) net.Conn {
	return &faultyConn{Conn: nc, faults: f, closed: make(chan struct{})}
}

func (c *faultyConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if c.faults.stalled.Load() {
		c.faults.blockReader(c.closed)
	}
	return c.Conn.Read(p)
}

func (c *faultyConn) Write(p []byte) (int, error) {
	switch {
	case c.faults.halfOpen.Load():
		return len(p), nil
	case !c.faults.fragments.Load():
		return c.Conn.Write(p)
	}
	for n := 0; n < len(p); {
		end := min(n+1+len(p)%7, len(p))
		m, err := c.Conn.Write(p[n:end])
		n += m
		if err != nil {
			return n, err
		}
	}
	return len(p), nil
}

// sendMalformed sends what can't be read to each controller.
func (w *Runner) sendMalformed(perSecond float64) func() {
	stop := make(chan struct{})
	for cell := range w.scenario.Fleet.Exchanges {
		w.wg.Go(func() {
			nc, err := w.network.Dial(w.ctx, w.controllers.Addr(cell))
			if err != nil {
				return
			}
			defer nc.Close()
			w.wg.Go(func() { // answers are read and thrown away
				buf := make([]byte, 4096)
				for {
					if _, err := nc.Read(buf); err != nil {
						return
					}
				}
			})
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-w.ctx.Done():
					return
				case <-time.After(time.Duration(float64(time.Second) / perSecond)):
				}
				_ = nc.SetWriteDeadline(time.Now().Add(time.Second))
				if _, err := nc.Write([]byte(scene.MalformedMessages[i%len(scene.MalformedMessages)])); err != nil {
					return
				}
			}
		})
	}
	return func() { close(stop) }
}
