package realtime

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dahliaspindle/internal/standin/simulation"
)

// connFaults holds the faults of the connections of one exchange.
type connFaults struct {
	stalled        atomic.Bool // nothing is read
	halfOpen       atomic.Bool // connections stay open, but messages are lost in both directions
	fragments      atomic.Bool // messages are written in small pieces
	disabled       atomic.Bool // readers are not blocked any more
	mu             sync.Mutex
	blockedReaders []chan struct{}
}

// removeAll releases blocked readers and prevents further blocking.
func (faults *connFaults) removeAll() {
	faults.disabled.Store(true)
	faults.releaseReaders()
}

// releaseReaders ends the stalled fault and wakes the blocked readers.
func (faults *connFaults) releaseReaders() {
	faults.stalled.Store(false)
	faults.mu.Lock()
	defer faults.mu.Unlock()
	for _, reader := range faults.blockedReaders {
		close(reader)
	}
	faults.blockedReaders = nil
}

// blockReader blocks a reader until the stalled fault ends or its connection is
// closed.
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

// faultyConn is a connection that is subject to the faults of its exchange.
type faultyConn struct {
	net.Conn
	faults    *connFaults
	closed    chan struct{}
	closeOnce sync.Once
}

// wrap returns conn subject to the faults.
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

// sendMalformed sends malformed messages to each controller until the returned
// function is called.
func (runner *Runner) sendMalformed(perSecond float64) func() {
	stop := make(chan struct{})
	for number := range runner.scenario.Fleet.Exchanges {
		runner.wg.Go(func() {
			conn, err := runner.network.Dial(runner.ctx, runner.controllers.Addr(number))
			if err != nil {
				return
			}
			defer conn.Close()
			runner.wg.Go(func() { // replies are discarded
				buffer := make([]byte, 4096)
				for {
					if _, err := conn.Read(buffer); err != nil {
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
				if _, err := conn.Write([]byte(simulation.MalformedMessages[i%len(simulation.MalformedMessages)])); err != nil {
					return
				}
			}
		})
	}
	return func() { close(stop) }
}
