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

// Faults is what a collector does wrong; they may change while it runs.
type Faults struct {
	RefuseConnections atomic.Bool  // connections are closed as they come
	StopReading       atomic.Bool  // nothing is read
	ResetEach         atomic.Bool  // each connection is reset after a message
	ReadDelay         atomic.Int64 // nanoseconds before each message is read
	KeepOpen          atomic.Bool  // a connection that ends is not closed by this end
}

// Collector takes messages over TCP (or TLS, by its listener) and UDP.
type Collector struct {
	Faults Faults
	mu     sync.Mutex
	tally  *Tally
	file   *bufio.Writer
	out    *os.File
	err    error
	conns  map[net.Conn]bool
	wg     sync.WaitGroup
	number int
	held   int // messages read
}

// New makes a collector that keeps what it reads in an IPFIX file, if one is named.
func New(path string) (*Collector, error) {
	c := &Collector{tally: NewTally(), conns: map[net.Conn]bool{}}
	if path != "" {
		f, err := os.Create(path)
		if err != nil {
			return nil, fmt.Errorf("collector: %w", err)
		}
		c.out, c.file = f, bufio.NewWriter(f)
	}
	return c, nil
}

// Serve takes connections until the listener is closed.
func (c *Collector) Serve(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		if c.Faults.RefuseConnections.Load() {
			nc.Close()
			continue
		}
		c.mu.Lock()
		c.conns[nc] = true
		c.number++
		source := fmt.Sprintf("connection %d", c.number)
		c.mu.Unlock()
		c.wg.Go(func() { c.serve(nc, source) })
	}
}

// ServePacket takes messages from a socket until it is closed.
func (c *Collector) ServePacket(pc net.PacketConn) {
	buf := make([]byte, ipfix.MaxMessageLength)
	for {
		n, from, err := pc.ReadFrom(buf)
		if err != nil {
			return
		}
		c.take(from.String(), buf[:n])
	}
}

func (c *Collector) take(source string, b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held++
	if c.file != nil && c.err == nil {
		_, c.err = c.file.Write(b)
	}
	_, _ = c.tally.AddMessage(source, b) // one that can't be read is in the report
}

func (c *Collector) serve(nc net.Conn, source string) {
	defer func() {
		nc.Close()
		c.mu.Lock()
		delete(c.conns, nc)
		c.tally.Forget(source)
		c.mu.Unlock()
	}()
	r := bufio.NewReader(nc)
	var buf []byte
	for {
		for c.Faults.StopReading.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		if d := time.Duration(c.Faults.ReadDelay.Load()); d > 0 {
			time.Sleep(d)
		}
		b, err := ipfix.ReadMessage(r, buf)
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
		buf = b
		c.take(source, b)
		if c.Faults.ResetEach.Load() {
			ResetConnection(nc)
			return
		}
	}
}

// ResetConnection ends a connection so that what was not read is known to be lost.
func ResetConnection(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the close below says the rest
	}
	nc.Close()
}

// ResetAll resets all connections.
func (c *Collector) ResetAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.conns { // each for itself
		ResetConnection(nc)
	}
}

// MessageCount is how many were read.
func (c *Collector) MessageCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// Report adds up what was read so far.
func (c *Collector) Report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally.Report()
}

// Close ends all connections and the file.
func (c *Collector) Close() error {
	c.Faults.StopReading.Store(false)
	c.Faults.KeepOpen.Store(false)
	c.ResetAll()
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.err
	if c.file != nil {
		err = errors.Join(err, c.file.Flush(), c.out.Close())
	}
	if err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	return nil
}

// Run collects on an address until ctx ends: TCP connections and datagrams.
func (c *Collector) Run(ctx context.Context, ln net.Listener, pc net.PacketConn) {
	context.AfterFunc(ctx, func() {
		ln.Close()
		pc.Close()
	})
	c.wg.Go(func() { c.ServePacket(pc) })
	c.Serve(ln)
}
