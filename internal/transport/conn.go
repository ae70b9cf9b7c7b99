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
	SetUp() bool          // opens a call: held back by the fence and after its time
}

// Skipped is an error of a reader after which it may read on.
type Skipped interface {
	error
	Skipped()
}

// Options of a connection. Reader must be set; other zero fields take the defaults.
type Options[M Message] struct {
	// Reader makes what reads messages from the connection. Its errors end the
	// connection unless they are Skipped.
	Reader func(net.Conn) func() (M, error)
	Outbox guard.Outbox
	// Write bounds one write: a peer that takes nothing for so long is cut off.
	Write time.Duration
	// Grace is the drain grace, for writes under way when the fence is shut.
	Grace time.Duration
	Tap   *capture.ConnRecorder
	// Now is the clock of NotAfter.
	Now func() time.Duration
	// Linger is how long Finish waits for the peer's end after its own (half-close); 0 ends both at once.
	Linger time.Duration
	// Recall bounds the write under way that a set-up which is called back is part of; 0 leaves it.
	Recall time.Duration
	// Abort makes Close discard what the peer has not been given yet.
	Abort bool
}

// Handler is told what happens on a connection. Message, Bad come from the
// reader's goroutine, Unsent from the writer's; Closed comes once, after all others.
type Handler[M Message] interface {
	Message(c *Conn[M], m M)
	Bad(c *Conn[M], e Skipped)
	Unsent(c *Conn[M], m M) // a set-up that was not sent and won't be
	Closed(c *Conn[M], why error)
}

// Reasons for which this end closes a connection.
var (
	ErrSlow   = errors.New("the peer reads too slowly")
	ErrClosed = errors.New("closed by this end")
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
	fence   guard.Fence
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
	if opt.Write <= 0 {
		opt.Write = 2 * time.Second
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
	c.opt.Tap.Closed(why.Error())
	c.h.Closed(c, why)
	close(c.done)
}

// Done is closed when the connection is over and its handler has been told.
func (c *Conn[M]) Done() <-chan struct{} { return c.done }

// Send queues a message; false if it was not taken. notAfter matters for
// set-ups: one that can't leave by then comes back as Unsent. A connection whose
// queue is full is closed.
func (c *Conn[M]) Send(m M, notAfter time.Duration) bool {
	it := item[M]{m, notAfter, m.SetUp()}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed, c.last, it.setup && c.fence.Shut, c.opt.Outbox.Refuse(it.setup, len(c.queue)):
		return false
	case c.opt.Outbox.Stuck(len(c.queue)):
		c.closeLocked(ErrSlow)
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
	if c.writing && !c.closed && !c.hurried && c.opt.Recall > 0 {
		c.hurried = true
		_ = c.nc.SetWriteDeadline(time.Now().Add(c.opt.Recall)) // fails only on a closed connection
	}
	return false
}

// Over tells whether the connection has ended, at either end; its handler may not have been told yet.
func (c *Conn[M]) Over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Queued is the number of messages waiting to be written.
func (c *Conn[M]) Queued() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// Fence keeps set-ups that have not left from leaving; they come back as Unsent.
func (c *Conn[M]) Fence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fence = guard.Fence{Shut: true, At: c.opt.Now()}
	if c.writing && !c.closed {
		left := c.fence.MustBeWritten(c.opt.Grace) - c.opt.Now()
		_ = c.nc.SetWriteDeadline(time.Now().Add(left)) // fails only on a closed connection
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Unfence lifts the fence.
func (c *Conn[M]) Unfence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fence = guard.Fence{}
}

// Close ends the connection; what is queued is not sent.
func (c *Conn[M]) Close(why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(why)
}

// Finish ends the connection once what is queued has been written; nothing more is taken. With
// Options.Linger this end is closed first and the peer's is read to: a socket closed with bytes
// unread is reset, and the reset may overtake what was written.
func (c *Conn[M]) Finish(why error) {
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
	if l, ok := c.nc.(interface{ SetLinger(sec int) error }); ok && c.opt.Abort && !c.last {
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
		var bad Skipped
		switch {
		case err == nil:
			if c.opt.Tap != nil {
				c.opt.Tap.Received(m.Append(nil))
			}
			c.h.Message(c, m)
		case errors.As(err, &bad):
			if c.opt.Tap != nil {
				c.opt.Tap.Received([]byte("unreadable: " + bad.Error()))
			}
			c.h.Bad(c, bad)
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
			if it.setup && !c.fence.MayLeave(now, it.notAfter) {
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
		at := c.opt.Tap.Now() // from here on nothing can be recalled
		if len(buf) > 0 {
			_ = c.nc.SetWriteDeadline(time.Now().Add(c.opt.Write)) // fails only on a closed connection
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
		if c.opt.Tap != nil {
			from := 0
			for _, to := range ends {
				c.opt.Tap.Sent(at, buf[from:to])
				from = to
			}
		}
	}
}

// linger ends this end of the connection and waits for the peer's.
func (c *Conn[M]) linger() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if c.opt.Linger <= 0 || !ok || half.CloseWrite() != nil {
		return
	}
	late := time.NewTimer(c.opt.Linger)
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

// Key names a connection alike at both ends.
func Key(nc net.Conn, dialed bool) string {
	if dialed {
		return nc.LocalAddr().String() + ">" + nc.RemoteAddr().String()
	}
	return nc.RemoteAddr().String() + ">" + nc.LocalAddr().String()
}
