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

// sender keeps the connection to one collector and writes what it is handed.
// All that it learns it tells; it decides nothing.
type sender struct {
	exporter *Exporter
	pipeline *pipeline
	stream   *stream
	seed     uint64
}

// notify brings word to the exporter, which listens until all senders have ended.
func (s *sender) notify(event senderEvent) {
	event.pipeline, event.stream = s.pipeline, s.stream
	s.exporter.events <- event
}

func (s *sender) run(ctx context.Context) {
	retry := guard.Backoff{Min: s.exporter.config.MinRetryDelay, Max: s.exporter.config.MaxRetryDelay, Random: rand.New(rand.NewPCG(s.exporter.codec.Incarnation, s.seed))}
	for attempt := 1; ctx.Err() == nil; attempt++ {
		conn, err := s.exporter.config.Dial(ctx, s.stream.collector)
		if err == nil {
			connectedAt := time.Now()
			if s.serveConnection(ctx, conn) {
				attempt = 0 // ended in order: at once again
				continue
			}
			if time.Since(connectedAt) > s.exporter.config.MaxRetryDelay {
				attempt = 1
			}
		} else {
			s.exporter.config.Log.Debug("flow export: dialling", "collector", s.stream.collector.Address, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry.Delay(attempt)):
		}
	}
}

// serveConnection serves one connection; true if it ended in order.
func (s *sender) serveConnection(ctx context.Context, conn net.Conn) bool {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	// A collector says nothing: what comes is its end.
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

// closeTimeout is how long the other end may take to close when this one has.
const closeTimeout = 2 * time.Second

// closeInOrder ends the connection in order. When the other end has read everything and
// closes too, all has arrived; a reset says that something was not read.
func (s *sender) closeInOrder(ctx context.Context, conn net.Conn, readError chan error) bool {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		s.notify(senderEvent{kind: eventNotClosed, err: errors.New("the connection has no half end")})
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
			s.notify(senderEvent{kind: eventNotClosed, err: errors.New("no end within the wait")})
			return false
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	s.notify(senderEvent{kind: eventDisconnected, err: err})
	return false
}
