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
func (faults *connFaults) removeAll() {
	faults.disabled.Store(true)
	faults.releaseReaders()
}

// releaseReaders wakes readers that were held.
func (faults *connFaults) releaseReaders() {
	faults.stalled.Store(false)
	faults.mu.Lock()
	defer faults.mu.Unlock()
	for _, reader := range faults.blockedReaders {
		close(reader)
	}
	faults.blockedReaders = nil
}

func (faults *connFaults) blockReader(closed <-chan struct{}) {
	faults.mu.Lock()
	if !faults.stalled.Load() || faults.disabled.Load() {
		faults.mu.Unlock()
		return
	}
	released := make(chan struct{})
	faults.blockedReaders = append(faults.blockedReaders, released)
	faults.mu.Unlock()
	select {
	case <-released:
	case <-closed:
	}
}

type faultyConn struct {
	net.Conn
	faults    *connFaults
	closed    chan struct{}
	closeOnce sync.Once
}

func (faults *connFaults) wrap(conn net.Conn) net.Conn {
	return &faultyConn{Conn: conn, faults: faults, closed: make(chan struct{})}
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
		written, err := c.Conn.Write(p[n:end])
		n += written
		if err != nil {
			return n, err
		}
	}
	return len(p), nil
}

// sendMalformed sends what can't be read to each controller.
func (runner *Runner) sendMalformed(perSecond float64) func() {
	stop := make(chan struct{})
	for number := range runner.scenario.Fleet.Exchanges {
		runner.wg.Go(func() {
			conn, err := runner.network.Dial(runner.ctx, runner.controllers.Addr(number))
			if err != nil {
				return
			}
			defer conn.Close()
			runner.wg.Go(func() { // answers are read and thrown away
				buf := make([]byte, 4096)
				for {
					if _, err := conn.Read(buf); err != nil {
						return
					}
				}
			})
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-runner.ctx.Done():
					return
				case <-time.After(time.Duration(float64(time.Second) / perSecond)):
				}
				_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
				if _, err := conn.Write([]byte(scene.MalformedMessages[i%len(scene.MalformedMessages)])); err != nil {
					return
				}
			}
		})
	}
	return func() { close(stop) }
}
