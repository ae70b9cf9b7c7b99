// Package transport carries messages over connections. Each connection has a
// reader and a writer goroutine, a bounded send queue and an optional capture.
// The package knows nothing about calls.
package transport

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/guard"
)

// Message is what a connection carries.
type Message interface {
	// Append appends the wire format to a buffer.
	Append([]byte) []byte
	// IsSetUp reports whether the message starts a call. Set-ups are not sent
	// after their time-out or while set-ups are blocked.
	IsSetUp() bool
}

// RecoverableError is an error of a message reader that may read on afterwards.
type RecoverableError interface {
	error
	Recoverable()
}

// Options configures a connection. Reader must be set; other zero fields take their defaults.
type Options[M Message] struct {
	// Reader returns a function that reads the messages from the connection. Its
	// errors end the connection unless they are RecoverableErrors.
	Reader func(net.Conn) func() (M, error)
	Outbox guard.Outbox
	// WriteTimeout bounds one write. A peer that accepts no data for that long is disconnected.
	WriteTimeout time.Duration
	// DrainGrace is the drain grace that bounds a write in progress when set-ups are blocked.
	DrainGrace time.Duration
	// Capture records the messages and the end of the connection; it may be nil.
	Capture *capture.ConnRecorder
	// Now is the clock to which the deadline of Send refers.
	Now func() time.Duration
	// LingerTimeout is how long FlushAndClose waits for the peer to close its
	// side after this side was closed (half-close); 0 closes both sides at once.
	LingerTimeout time.Duration
	// RecallTimeout bounds a write in progress that may contain a recalled set-up; 0 leaves it unchanged.
	RecallTimeout time.Duration
	// AbortOnClose makes Close discard the data that the peer has not received yet.
	AbortOnClose bool
}

// Handler receives the events of a connection. Message and Unreadable are called
// by the reader goroutine, Unsent by the writer goroutine; Closed is called once,
// after all others.
type Handler[M Message] interface {
	// Message is called for each message that was read.
	Message(c *Conn[M], m M)
	// Unreadable is called for each error after which the reader continues.
	Unreadable(c *Conn[M], e RecoverableError)
	// Unsent is called for each queued set-up that is dropped without being sent.
	Unsent(c *Conn[M], m M)
	// Closed is called when the connection is closed.
	Closed(c *Conn[M], reason error)
}

// Reasons for which this side closes a connection.
var (
	ErrSlowPeer = errors.New("the peer reads too slowly")
	ErrClosed   = errors.New("closed by this end")
)

// queuedMessage is a message that waits to be written.
type queuedMessage[M Message] struct {
	message  M
	deadline time.Duration
	setUp    bool
}

// Conn is one connection with its goroutines, which run until it is closed.
type Conn[M Message] struct {
	netConn net.Conn
	options Options[M]
	handler Handler[M]

	mu                     sync.Mutex
	queue                  []queuedMessage[M]
	setUpBlock             guard.SetUpBlock
	writingSetUps          bool // a batch with set-ups is being written
	writeDeadlineShortened bool // Recall has shortened the deadline of that write
	closed                 bool
	closeOnEmpty           bool // close once the queue is written
	closeReason            error
	peerClosed             bool // the peer ended the connection before this side did
	peerCheckedAt          time.Duration
	runningLoops           int // goroutines that have not ended
	wakeWriter             chan struct{}
	done                   chan struct{}
}

// batchBytes bounds one write: no message is added to a batch that has reached this size.
const batchBytes = 32 << 10

// Start begins reading from and writing to netConn, which it owns from then on.
func Start[M Message](netConn net.Conn, options Options[M], handler Handler[M]) *Conn[M] {
	if options.Outbox.Capacity <= 0 {
		options.Outbox.Capacity = 4096
	}
	if options.WriteTimeout <= 0 {
		options.WriteTimeout = 2 * time.Second
	}
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}
	c := &Conn[M]{netConn: netConn, options: options, handler: handler, runningLoops: 2, wakeWriter: make(chan struct{}, 1), done: make(chan struct{})}
	go c.run(c.readLoop)
	go c.run(c.writeLoop)
	return c
}

// run executes one of the loops. The last one to end reports the unsent set-ups
// and the end of the connection to the handler.
func (c *Conn[M]) run(loop func()) {
	loop()
	c.mu.Lock()
	c.runningLoops--
	unsent, reason, isLast := c.queue, c.closeReason, c.runningLoops == 0
	c.mu.Unlock()
	if !isLast {
		return
	}
	for _, queued := range unsent {
		if queued.setUp {
			c.handler.Unsent(c, queued.message)
		}
	}
	c.options.Capture.Closed(reason.Error())
	c.handler.Closed(c, reason)
	close(c.done)
}

// Done returns a channel that is closed once the handler's Closed method has returned.
func (c *Conn[M]) Done() <-chan struct{} { return c.done }

// Send queues a message and reports whether it was accepted. deadline only
// matters for set-ups: one that cannot be sent before then is passed to
// Handler.Unsent. A connection whose queue is full is closed.
func (c *Conn[M]) Send(m M, deadline time.Duration) bool {
	queued := queuedMessage[M]{m, deadline, m.IsSetUp()}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed, c.closeOnEmpty, queued.setUp && c.setUpBlock.Active, c.options.Outbox.ShouldReject(queued.setUp, len(c.queue)):
		return false
	case c.options.Outbox.IsFull(len(c.queue)):
		c.closeLocked(ErrSlowPeer)
		return false
	}
	c.queue = append(c.queue, queued)
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
	return true
}

// Recall removes the first queued set-up that match accepts. It returns false if
// the set-up was sent or is being written. In that case a write of set-ups in
// progress must end within Options.RecallTimeout, or the connection is closed:
// while a write is blocked, a set-up that was written before may not have arrived.
func (c *Conn[M]) Recall(match func(M) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, queued := range c.queue {
		if queued.setUp && match(queued.message) {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			return true
		}
	}
	if c.writingSetUps && !c.closed && !c.writeDeadlineShortened && c.options.RecallTimeout > 0 {
		c.writeDeadlineShortened = true
		_ = c.netConn.SetWriteDeadline(time.Now().Add(c.options.RecallTimeout)) // fails only on a closed connection
	}
	return false
}

// IsClosed reports whether either side has closed the connection. The handler
// may not have been notified yet.
func (c *Conn[M]) IsClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// peerCheckInterval is the shortest time between two checks whether the peer has left.
const peerCheckInterval = 20 * time.Millisecond

// HasPeerLeft reports whether the connection is closed or its peer has closed it, and closes it then. Unlike the
// reader, it notices that while messages that the peer sent before are unread.
func (c *Conn[M]) HasPeerLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	if c.closed || c.peerCheckedAt > 0 && now-c.peerCheckedAt < peerCheckInterval {
		return c.closed
	}
	c.peerCheckedAt = now
	if peerHasClosed(c.netConn) {
		c.peerClosed = true
		c.closeLocked(io.EOF)
	}
	return c.closed
}

// QueueLen returns the number of messages waiting to be written.
func (c *Conn[M]) QueueLen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// BlockSetUps keeps queued set-ups from being sent; they are passed to
// Handler.Unsent. Send rejects set-ups until UnblockSetUps is called.
func (c *Conn[M]) BlockSetUps() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setUpBlock = guard.SetUpBlock{Active: true, Since: c.options.Now()}
	if c.writingSetUps && !c.closed {
		remaining := c.setUpBlock.WriteDeadline(c.options.DrainGrace) - c.options.Now()
		_ = c.netConn.SetWriteDeadline(time.Now().Add(remaining)) // fails only on a closed connection
	}
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
}

// UnblockSetUps lets set-ups be sent again.
func (c *Conn[M]) UnblockSetUps() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setUpBlock = guard.SetUpBlock{}
}

// Close closes the connection. Queued messages are not sent.
func (c *Conn[M]) Close(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(reason)
}

// FlushAndClose closes the connection once the queued messages are written; it
// accepts no more. With Options.LingerTimeout it closes the sending side first
// and reads until the peer closes: closing a socket with unread data resets the
// connection, and the reset may overtake the data that was written.
func (c *Conn[M]) FlushAndClose(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeOnEmpty = true; c.closeReason == nil {
		c.closeReason = reason
	}
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
}

// closeLocked closes the connection; c.mu must be held.
func (c *Conn[M]) closeLocked(reason error) {
	if c.closed {
		return
	}
	if c.closed = true; c.closeReason == nil {
		c.closeReason = reason
	}
	if socket, ok := c.netConn.(interface{ SetLinger(sec int) error }); ok && c.options.AbortOnClose && !c.closeOnEmpty {
		_ = socket.SetLinger(0) // fails only on a closed connection
	}
	_ = c.netConn.Close() // ends both loops; an error changes nothing
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
}

func (c *Conn[M]) readLoop() {
	readMessage := c.options.Reader(c.netConn)
	for {
		m, err := readMessage()
		var recoverable RecoverableError
		switch {
		case err == nil:
			if c.options.Capture != nil {
				c.options.Capture.Received(m.Append(nil))
			}
			c.handler.Message(c, m)
		case errors.As(err, &recoverable):
			if c.options.Capture != nil {
				c.options.Capture.Received([]byte("unreadable: " + recoverable.Error()))
			}
			c.handler.Unreadable(c, recoverable)
		default:
			c.closeAfterError(err)
			return
		}
	}
}

// closeAfterError closes the connection after a read or a write has failed.
func (c *Conn[M]) closeAfterError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerClosed = c.peerClosed || !c.closed && endedByPeer(err)
	c.closeLocked(err)
}

// endedByPeer reports whether an error tells that the peer has closed or reset the connection.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// PeerClosed reports whether the peer has ended the connection. If it has not, it may not have noticed that
// this side closed it.
func (c *Conn[M]) PeerClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerClosed
}

func (c *Conn[M]) writeLoop() {
	var buf []byte
	var messageEnds []int // end of each message in buf
	var batch, unsent []queuedMessage[M]
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return
		}
		now := c.options.Now()
		buf, messageEnds, batch, unsent = buf[:0], messageEnds[:0], batch[:0], unsent[:0]
		dequeued, hasSetUps := 0, false
		for _, queued := range c.queue {
			if len(buf) >= batchBytes {
				break
			}
			dequeued++
			if queued.setUp && !c.setUpBlock.MaySend(now, queued.deadline) {
				unsent = append(unsent, queued)
				continue
			}
			buf = queued.message.Append(buf)
			messageEnds = append(messageEnds, len(buf))
			batch = append(batch, queued)
			hasSetUps = hasSetUps || queued.setUp
		}
		if c.queue = c.queue[dequeued:]; len(c.queue) == 0 {
			c.queue = nil
		}
		c.writingSetUps, c.writeDeadlineShortened = hasSetUps, false
		sentAt := c.options.Capture.Now() // from here on the set-ups of the batch can't be recalled
		if len(buf) > 0 {
			_ = c.netConn.SetWriteDeadline(time.Now().Add(c.options.WriteTimeout)) // fails only on a closed connection
		}
		flushed, reason := c.closeOnEmpty && len(batch) == 0, c.closeReason
		c.mu.Unlock()
		for _, queued := range unsent {
			c.handler.Unsent(c, queued.message)
		}
		if len(buf) == 0 {
			if flushed {
				c.linger()
				c.Close(reason)
				return
			}
			if dequeued == 0 {
				<-c.wakeWriter
			}
			continue
		}
		if _, err := c.netConn.Write(buf); err != nil {
			if errors.Is(err, net.ErrClosed) {
				err = ErrClosed
			}
			c.closeAfterError(err)
			return
		}
		c.mu.Lock()
		c.writingSetUps = false
		c.mu.Unlock()
		if c.options.Capture != nil {
			start := 0
			for _, end := range messageEnds {
				c.options.Capture.Sent(sentAt, buf[start:end])
				start = end
			}
		}
	}
}

// linger closes the sending side of the connection and waits for the peer to close its side.
func (c *Conn[M]) linger() {
	socket, ok := c.netConn.(interface{ CloseWrite() error })
	if c.options.LingerTimeout <= 0 || !ok || socket.CloseWrite() != nil {
		return
	}
	timeout := time.NewTimer(c.options.LingerTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-timeout.C:
			return
		case <-c.wakeWriter:
			c.mu.Lock()
			closed := c.closed
			c.mu.Unlock()
			if closed {
				return
			}
		}
	}
}

// ConnectionKey returns an identifier of a connection that is the same on both
// sides. dialed says whether this side opened the connection.
func ConnectionKey(netConn net.Conn, dialed bool) string {
	if dialed {
		return netConn.LocalAddr().String() + ">" + netConn.RemoteAddr().String()
	}
	return netConn.RemoteAddr().String() + ">" + netConn.LocalAddr().String()
}
