// Package transport carries messages over connections: one reader and one
// writer goroutine each, a bounded queue, a tap. It knows no call.
package transport

import (
	"errors"
	"net"
	"sync"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/guard"
)

// Message is what a connection carries.
type Message interface {
	Append([]byte) []byte // its wire form, behind what is there
	IsSetUp() bool        // opens a call: held back by the fence and after its time
}

// RecoverableError is an error of a reader after which it may read on.
type RecoverableError interface {
	error
	Recoverable()
}

// Options of a connection. Reader must be set; other zero fields take the defaults.
type Options[M Message] struct {
	// Reader makes what reads messages from the connection. Its errors end the
	// connection unless they are Skipped.
	Reader func(net.Conn) func() (M, error)
	Outbox guard.Outbox
	// WriteTimeout bounds one write: a peer that takes nothing for so long is cut off.
	WriteTimeout time.Duration
	// DrainGrace is the drain grace, for writes under way when the fence is shut.
	DrainGrace time.Duration
	Capture    *capture.ConnRecorder
	// Now is the clock of NotAfter.
	Now func() time.Duration
	// LingerTimeout is how long Finish waits for the peer's end after its own (half-close); 0 ends both at once.
	LingerTimeout time.Duration
	// RecallTimeout bounds the write under way that a set-up which is called back is part of; 0 leaves it.
	RecallTimeout time.Duration
	// AbortOnClose makes Close discard what the peer has not been given yet.
	AbortOnClose bool
}

// Handler is told what happens on a connection. Message, Bad come from the
// reader's goroutine, Unsent from the writer's; Closed comes once, after all others.
type Handler[M Message] interface {
	Message(c *Conn[M], m M)
	Unreadable(c *Conn[M], e RecoverableError)
	Unsent(c *Conn[M], m M) // a set-up that was not sent and won't be
	Closed(c *Conn[M], why error)
}

// Reasons for which this end closes a connection.
var (
	ErrSlowPeer = errors.New("the peer reads too slowly")
	ErrClosed   = errors.New("closed by this end")
)

type item[M Message] struct {
	m        M
	notAfter time.Duration
	setup    bool
}

// Conn is one connection with its goroutines. They end with it.
type Conn[M Message] struct {
	nc  net.Conn
	opt Options[M]
	h   Handler[M]

	mu      sync.Mutex
	queue   []item[M]
	fence   guard.SetUpBlock
	writing bool // a batch with set-ups is being written
	hurried bool // and has had its time cut
	closed  bool
	last    bool // closes once the queue is written
	why     error
	loops   int // of reader and writer, how many run
	wake    chan struct{}
	done    chan struct{}
}

// batchBytes is about how much goes into one write.
const batchBytes = 32 << 10

// Start takes over a connection.
func Start[M Message](nc net.Conn, opt Options[M], h Handler[M]) *Conn[M] {
	if opt.Outbox.Most <= 0 {
		opt.Outbox.Most = 4096
	}
	if opt.WriteTimeout <= 0 {
		opt.WriteTimeout = 2 * time.Second
	}
	if opt.Now == nil {
		start := time.Now()
		opt.Now = func() time.Duration { return time.Since(start) }
	}
	c := &Conn[M]{nc: nc, opt: opt, h: h, loops: 2, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go c.run(c.read)
	go c.run(c.write)
	return c
}

// run owns one of the loops; the last to end tells the handler.
func (c *Conn[M]) run(loop func()) {
	loop()
	c.mu.Lock()
	c.loops--
	rest, why, last := c.queue, c.why, c.loops == 0
	c.mu.Unlock()
	if !last {
		return
	}
	for _, it := range rest {
		if it.setup {
			c.h.Unsent(c, it.m)
		}
	}
	c.opt.Capture.Closed(why.Error())
	c.h.Closed(c, why)
	close(c.done)
}

// Done is closed when the connection is over and its handler has been told.
func (c *Conn[M]) Done() <-chan struct{} { return c.done }

// Send queues a message; false if it was not taken. notAfter matters for
// set-ups: one that can't leave by then comes back as Unsent. A connection whose
// queue is full is closed.
func (c *Conn[M]) Send(m M, notAfter time.Duration) bool {
	it := item[M]{m, notAfter, m.IsSetUp()}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed, c.last, it.setup && c.fence.Active, c.opt.Outbox.ShouldReject(it.setup, len(c.queue)):
		return false
	case c.opt.Outbox.IsFull(len(c.queue)):
		c.closeLocked(ErrSlowPeer)
		return false
	}
	c.queue = append(c.queue, it)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

// Recall takes the set-up that is meant back if it has not left; false if it has, or is leaving. A
// write of set-ups under way is given Options.Recall from then on, or the connection ends.
func (c *Conn[M]) Recall(meant func(M) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, it := range c.queue {
		if it.setup && meant(it.m) {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			return true
		}
	}
	if c.writing && !c.closed && !c.hurried && c.opt.RecallTimeout > 0 {
		c.hurried = true
		_ = c.nc.SetWriteDeadline(time.Now().Add(c.opt.RecallTimeout)) // fails only on a closed connection
	}
	return false
}

// IsClosed tells whether the connection has ended, at either end; its handler may not have been told yet.
func (c *Conn[M]) IsClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// QueueLen is the number of messages waiting to be written.
func (c *Conn[M]) QueueLen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// BlockSetUps keeps set-ups that have not left from leaving; they come back as Unsent.
func (c *Conn[M]) BlockSetUps() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fence = guard.SetUpBlock{Active: true, Since: c.opt.Now()}
	if c.writing && !c.closed {
		left := c.fence.WriteDeadline(c.opt.DrainGrace) - c.opt.Now()
		_ = c.nc.SetWriteDeadline(time.Now().Add(left)) // fails only on a closed connection
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// UnblockSetUps lifts the fence.
func (c *Conn[M]) UnblockSetUps() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fence = guard.SetUpBlock{}
}

// Close ends the connection; what is queued is not sent.
func (c *Conn[M]) Close(why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(why)
}

// FlushAndClose ends the connection once what is queued has been written; nothing more is taken. With
// Options.Linger this end is closed first and the peer's is read to: a socket closed with bytes
// unread is reset, and the reset may overtake what was written.
func (c *Conn[M]) FlushAndClose(why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last = true; c.why == nil {
		c.why = why
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Conn[M]) closeLocked(why error) {
	if c.closed {
		return
	}
	if c.closed = true; c.why == nil {
		c.why = why
	}
	if l, ok := c.nc.(interface{ SetLinger(sec int) error }); ok && c.opt.AbortOnClose && !c.last {
		_ = l.SetLinger(0) // fails only on a closed connection
	}
	_ = c.nc.Close() // ends both loops; there is nobody to tell
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Conn[M]) read() {
	next := c.opt.Reader(c.nc)
	for {
		m, err := next()
		var bad RecoverableError
		switch {
		case err == nil:
			if c.opt.Capture != nil {
				c.opt.Capture.Received(m.Append(nil))
			}
			c.h.Message(c, m)
		case errors.As(err, &bad):
			if c.opt.Capture != nil {
				c.opt.Capture.Received([]byte("unreadable: " + bad.Error()))
			}
			c.h.Unreadable(c, bad)
		default:
			c.Close(err)
			return
		}
	}
}

func (c *Conn[M]) write() {
	var buf []byte
	var ends []int
	var taken, late []item[M]
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return
		}
		now := c.opt.Now()
		buf, ends, taken, late = buf[:0], ends[:0], taken[:0], late[:0]
		n, setups := 0, false
		for _, it := range c.queue {
			if len(buf) >= batchBytes {
				break
			}
			n++
			if it.setup && !c.fence.MaySend(now, it.notAfter) {
				late = append(late, it)
				continue
			}
			buf = it.m.Append(buf)
			ends = append(ends, len(buf))
			taken = append(taken, it)
			setups = setups || it.setup
		}
		if c.queue = c.queue[n:]; len(c.queue) == 0 {
			c.queue = nil
		}
		c.writing, c.hurried = setups, false
		at := c.opt.Capture.Now() // from here on nothing can be recalled
		if len(buf) > 0 {
			_ = c.nc.SetWriteDeadline(time.Now().Add(c.opt.WriteTimeout)) // fails only on a closed connection
		}
		done, why := c.last && len(taken) == 0, c.why
		c.mu.Unlock()
		for _, it := range late {
			c.h.Unsent(c, it.m)
		}
		if len(buf) == 0 {
			if done {
				c.linger()
				c.Close(why)
				return
			}
			if n == 0 {
				<-c.wake
			}
			continue
		}
		if _, err := c.nc.Write(buf); err != nil {
			if errors.Is(err, net.ErrClosed) {
				err = ErrClosed
			}
			c.Close(err)
			return
		}
		c.mu.Lock()
		c.writing = false
		c.mu.Unlock()
		if c.opt.Capture != nil {
			from := 0
			for _, to := range ends {
				c.opt.Capture.Sent(at, buf[from:to])
				from = to
			}
		}
	}
}

// linger ends this end of the connection and waits for the peer's.
func (c *Conn[M]) linger() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if c.opt.LingerTimeout <= 0 || !ok || half.CloseWrite() != nil {
		return
	}
	late := time.NewTimer(c.opt.LingerTimeout)
	defer late.Stop()
	for {
		select {
		case <-late.C:
			return
		case <-c.wake:
			c.mu.Lock()
			closed := c.closed
			c.mu.Unlock()
			if closed {
				return
			}
		}
	}
}

// ConnectionKey names a connection alike at both ends.
func ConnectionKey(nc net.Conn, dialed bool) string {
	if dialed {
		return nc.LocalAddr().String() + ">" + nc.RemoteAddr().String()
	}
	return nc.RemoteAddr().String() + ">" + nc.LocalAddr().String()
}
