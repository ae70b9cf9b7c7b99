package node

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"dahliaspindle/internal/interwork"
	"dahliaspindle/internal/srvlist"
)

const (
	askEvery   = 200 * time.Millisecond // a question each, whatever became of the one before
	askWithin  = 180 * time.Millisecond
	askWarning = 2 * time.Second // without a good answer, one line
)

// resolver asks for the exchange list at steady short intervals. The list is its goroutine's.
type resolver struct {
	n    *Node
	list *srvlist.List
	ask  atomic.Pointer[string]
	id   uint16
}

func (r *resolver) run() {
	every := time.NewTicker(askEvery)
	defer every.Stop()
	good, warned := time.Now(), false
	for {
		changes, err := r.once(*r.ask.Load())
		if err == nil {
			good, warned = time.Now(), false
		} else if !warned && time.Since(good) > askWarning {
			warned = true
			r.n.log.Warn("the exchange list is not told; the last one holds", "error", err)
		} else {
			r.n.log.Log(r.n.ctx, slog.LevelDebug, "resolver", "error", err)
		}
		if len(changes) > 0 {
			r.n.put(interwork.Listed{Changes: changes})
		}
		select {
		case <-every.C:
		case <-r.n.ctx.Done():
			return
		}
	}
}

// once asks one question of its own id on a socket of its own.
func (r *resolver) once(addr string) ([]srvlist.Entry, error) {
	r.id++
	q, err := srvlist.Query(r.id)
	if err != nil {
		return nil, fmt.Errorf("asking: %w", err)
	}
	c, err := net.DialTimeout("udp", addr, askWithin)
	if err != nil {
		return nil, fmt.Errorf("asking: %w", err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(askWithin)); err != nil {
		return nil, fmt.Errorf("asking: %w", err)
	}
	if _, err := c.Write(q); err != nil {
		return nil, fmt.Errorf("asking: %w", err)
	}
	buf := make([]byte, srvlist.Largest)
	for bad := error(nil); ; {
		k, err := c.Read(buf)
		if err != nil {
			return nil, errors.Join(bad, fmt.Errorf("asking %s: %w", addr, err))
		}
		changes, err := r.list.Answer(r.id, buf[:k])
		if err == nil {
			return changes, nil
		}
		bad = err // a good one may follow
	}
}
