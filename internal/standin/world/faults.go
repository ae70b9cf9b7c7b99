package world

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dahliaspindle/internal/standin/scene"
)

// faults is what goes wrong with the sockets of one exchange.
type faults struct {
	stalled   atomic.Bool // reads nothing
	mute      atomic.Bool // half open: the connection stands, nothing comes and nothing is heard
	fragments atomic.Bool // writes in small pieces
	ended     atomic.Bool
	mu        sync.Mutex
	gates     []chan struct{}
}

// open lets everything through, for good.
func (f *faults) open() {
	f.ended.Store(true)
	f.release()
}

// release wakes readers that were held.
func (f *faults) release() {
	f.stalled.Store(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.gates {
		close(g)
	}
	f.gates = nil
}

func (f *faults) hold(over <-chan struct{}) {
	f.mu.Lock()
	if !f.stalled.Load() || f.ended.Load() {
		f.mu.Unlock()
		return
	}
	g := make(chan struct{})
	f.gates = append(f.gates, g)
	f.mu.Unlock()
	select {
	case <-g:
	case <-over:
	}
}

type faultyConn struct {
	net.Conn
	f    *faults
	over chan struct{}
	once sync.Once
}

func (f *faults) wrap(nc net.Conn) net.Conn {
	return &faultyConn{Conn: nc, f: f, over: make(chan struct{})}
}

func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.over) })
	return c.Conn.Close()
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if c.f.stalled.Load() {
		c.f.hold(c.over)
	}
	return c.Conn.Read(p)
}

func (c *faultyConn) Write(p []byte) (int, error) {
	switch {
	case c.f.mute.Load():
		return len(p), nil
	case !c.f.fragments.Load():
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

// garbage sends what can't be read to each controller.
func (w *Runner) garbage(perSecond float64) func() {
	stop := make(chan struct{})
	for cell := range w.scn.Fleet.Exchanges {
		w.wg.Go(func() {
			nc, err := w.net.Dial(w.ctx, w.hosts.Addr(cell))
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
