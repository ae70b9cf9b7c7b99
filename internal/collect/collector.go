package collect

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dahliaspindle/internal/ipfix"
)

// Faults are the faults that a collector simulates. They may change while it runs.
type Faults struct {
	RefuseConnections atomic.Bool  // connections are closed when they are accepted
	StopReading       atomic.Bool  // nothing is read
	ResetEach         atomic.Bool  // each connection is reset after one message
	ReadDelay         atomic.Int64 // nanoseconds to wait before each message is read
	KeepOpen          atomic.Bool  // a connection that the peer has closed is not closed by the collector
}

// Collector receives messages over TCP (or TLS, depending on the listener) and UDP.
type Collector struct {
	// Faults may be set at any time.
	Faults          Faults
	mu              sync.Mutex
	tally           *Tally
	writer          *bufio.Writer
	output          *os.File
	writeErr        error
	connections     map[net.Conn]bool
	wg              sync.WaitGroup
	connectionCount int
	messageCount    int // messages received
}

// New returns a collector. If path is not empty, it writes the received messages to
// an IPFIX file there.
func New(path string) (*Collector, error) {
	c := &Collector{tally: NewTally(), connections: map[net.Conn]bool{}}
	if path != "" {
		file, err := os.Create(path)
		if err != nil {
			return nil, fmt.Errorf("collector: %w", err)
		}
		c.output, c.writer = file, bufio.NewWriter(file)
	}
	return c, nil
}

// Serve accepts connections until the listener is closed.
func (c *Collector) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if c.Faults.RefuseConnections.Load() {
			conn.Close()
			continue
		}
		c.mu.Lock()
		c.connections[conn] = true
		c.connectionCount++
		source := fmt.Sprintf("connection %d", c.connectionCount)
		c.mu.Unlock()
		c.wg.Go(func() { c.serveConnection(conn, source) })
	}
}

// ServePacket receives messages from a packet connection until it is closed.
func (c *Collector) ServePacket(conn net.PacketConn) {
	buf := make([]byte, ipfix.MaxMessageLength)
	for {
		length, from, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		c.handleMessage(from.String(), buf[:length])
	}
}

// handleMessage writes a message to the file and adds it to the tally.
func (c *Collector) handleMessage(source string, message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messageCount++
	if c.writer != nil && c.writeErr == nil {
		_, c.writeErr = c.writer.Write(message)
	}
	_, _ = c.tally.AddMessage(source, message) // the report counts messages that can't be decoded
}

// serveConnection receives messages from a connection until it ends.
func (c *Collector) serveConnection(conn net.Conn, source string) {
	defer func() {
		conn.Close()
		c.mu.Lock()
		delete(c.connections, conn)
		c.tally.Forget(source)
		c.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var buf []byte
	for {
		for c.Faults.StopReading.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		if delay := time.Duration(c.Faults.ReadDelay.Load()); delay > 0 {
			time.Sleep(delay)
		}
		message, err := ipfix.ReadMessage(reader, buf)
		if errors.Is(err, io.EOF) && c.Faults.KeepOpen.Load() {
			for c.Faults.KeepOpen.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			return
		}
		if err != nil {
			return
		}
		for c.Faults.StopReading.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		buf = message
		c.handleMessage(source, message)
		if c.Faults.ResetEach.Load() {
			ResetConnection(conn)
			return
		}
	}
}

// ResetConnection closes a connection with a TCP reset, so that the sender learns
// that unread data was lost.
func ResetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it Close still ends the connection
	}
	conn.Close()
}

// ResetAll resets all open connections.
func (c *Collector) ResetAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.connections { // order doesn't matter
		ResetConnection(conn)
	}
}

// MessageCount returns the number of messages received.
func (c *Collector) MessageCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.messageCount
}

// Report returns the report on the messages received so far.
func (c *Collector) Report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally.Report()
}

// Close resets all connections and closes the file.
func (c *Collector) Close() error {
	c.Faults.StopReading.Store(false)
	c.Faults.KeepOpen.Store(false)
	c.ResetAll()
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.writeErr
	if c.writer != nil {
		err = errors.Join(err, c.writer.Flush(), c.output.Close())
	}
	if err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	return nil
}

// Run receives messages over TCP and UDP until ctx is done.
func (c *Collector) Run(ctx context.Context, listener net.Listener, packetConn net.PacketConn) {
	context.AfterFunc(ctx, func() {
		listener.Close()
		packetConn.Close()
	})
	c.wg.Go(func() { c.ServePacket(packetConn) })
	c.Serve(listener)
}
