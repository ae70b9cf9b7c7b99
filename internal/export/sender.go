package export

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"dahliaspindle/internal/guard"
)

// sender maintains the connection to one collector and writes batches to it. It
// reports all events to the exporter and makes no decisions of its own.
type sender struct {
	exporter *Exporter
	pipeline *pipeline
	stream   *stream
	seed     uint64
}

// notify reports an event to the exporter, which receives events until all senders
// have ended.
func (s *sender) notify(event senderEvent) {
	event.pipeline, event.stream = s.pipeline, s.stream
	s.exporter.events <- event
}

// run connects to the collector again and again until ctx is done.
func (s *sender) run(ctx context.Context) {
	retry := guard.Backoff{
		Min:    s.exporter.config.MinRetryDelay,
		Max:    s.exporter.config.MaxRetryDelay,
		Random: rand.New(rand.NewPCG(s.exporter.codec.Incarnation, s.seed)),
	}
	for attempt := 1; ctx.Err() == nil; attempt++ {
		conn, err := s.exporter.config.Dial(ctx, s.stream.collector)
		if err == nil {
			connectedAt := time.Now()
			if s.serveConnection(ctx, conn) {
				attempt = 0 // closed in order: reconnect without delay
				continue
			}
			if time.Since(connectedAt) > s.exporter.config.MaxRetryDelay {
				attempt = 1
			}
		} else {
			s.exporter.config.Log.Debug("flow export: dial failed", "collector", s.stream.collector.Address, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry.Delay(attempt)):
		}
	}
}

// serveConnection writes batches to one connection until it ends. It reports
// whether the connection was closed in order.
func (s *sender) serveConnection(ctx context.Context, conn net.Conn) bool {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	// A collector sends no data: Read returns only when the connection ends.
	readError := make(chan error, 1)
	if !isUDP(s.stream.collector) {
		go func() {
			buf := make([]byte, 512)
			for {
				if _, err := conn.Read(buf); err != nil {
					readError <- err
					return
				}
			}
		}()
	}
	batches := make(chan *batch, maxInFlightBatches+2)
	s.notify(senderEvent{kind: eventConnected, batches: batches})
	for {
		select {
		case <-ctx.Done():
			s.notify(senderEvent{kind: eventDisconnected, err: ctx.Err()})
			return false
		case err := <-readError:
			s.notify(senderEvent{kind: eventDisconnected, err: err})
			return false
		case batch := <-batches:
			if batch.fin {
				return s.closeInOrder(ctx, conn, readError)
			}
			_ = conn.SetWriteDeadline(time.Now().Add(s.exporter.config.WriteTimeout)) // fails only on a closed connection
			if _, err := conn.Write(batch.data); err != nil && !isUDP(s.stream.collector) {
				s.notify(senderEvent{kind: eventDisconnected, err: err, batch: batch})
				return false
			}
			s.notify(senderEvent{kind: eventWritten, batch: batch})
		}
	}
}

// closeTimeout is how long the collector may take to close its end of a connection.
const closeTimeout = 2 * time.Second

// closeInOrder closes the sending half of the connection. If the collector then
// closes its half, it has read everything; a reset means that it has not. It reports
// whether everything has arrived.
func (s *sender) closeInOrder(ctx context.Context, conn net.Conn, readError chan error) bool {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		s.notify(senderEvent{kind: eventNotClosed, err: errors.New("the connection does not support half-close")})
		return false
	}
	err := halfCloser.CloseWrite()
	if err == nil {
		select {
		case err = <-readError:
			if errors.Is(err, io.EOF) {
				s.notify(senderEvent{kind: eventConfirmed})
				return true
			}
		case <-time.After(closeTimeout):
			s.notify(senderEvent{kind: eventNotClosed, err: errors.New("connection not closed within the timeout")})
			return false
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	s.notify(senderEvent{kind: eventDisconnected, err: err})
	return false
}
