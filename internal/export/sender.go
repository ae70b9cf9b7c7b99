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
	e    *Exporter
	l    *lane
	s    *stream
	seed uint64
}

// tell brings word to the exporter, which listens until all senders have ended.
func (n *sender) tell(w word) {
	w.l, w.s = n.l, n.s
	n.e.words <- w
}

func (n *sender) run(ctx context.Context) {
	retry := guard.Backoff{Min: n.e.cfg.RetryFrom, Max: n.e.cfg.RetryMost, Random: rand.New(rand.NewPCG(n.e.codec.Life, n.seed))}
	for try := 1; ctx.Err() == nil; try++ {
		nc, err := n.e.cfg.Dial(ctx, n.s.to)
		if err == nil {
			began := time.Now()
			if n.hold(ctx, nc) {
				try = 0 // ended in order: at once again
				continue
			}
			if time.Since(began) > n.e.cfg.RetryMost {
				try = 1
			}
		} else {
			n.e.cfg.Log.Debug("flow export: dialling", "collector", n.s.to.Address, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry.Delay(try)):
		}
	}
}

// hold serves one connection; true if it ended in order.
func (n *sender) hold(ctx context.Context, nc net.Conn) bool {
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	// A collector says nothing: what comes is its end.
	over := make(chan error, 1)
	if !udp(n.s.to) {
		go func() {
			buf := make([]byte, 512)
			for {
				if _, err := nc.Read(buf); err != nil {
					over <- err
					return
				}
			}
		}()
	}
	feed := make(chan *batch, sendingMost+2)
	n.tell(word{kind: cameUp, feed: feed})
	for {
		select {
		case <-ctx.Done():
			n.tell(word{kind: broke, err: ctx.Err()})
			return false
		case err := <-over:
			n.tell(word{kind: broke, err: err})
			return false
		case b := <-feed:
			if b.fin {
				return n.fin(ctx, nc, over)
			}
			_ = nc.SetWriteDeadline(time.Now().Add(n.e.cfg.Write)) // fails only on a closed connection
			if _, err := nc.Write(b.data); err != nil && !udp(n.s.to) {
				n.tell(word{kind: broke, err: err, b: b})
				return false
			}
			n.tell(word{kind: wrote, b: b})
		}
	}
}

// finWait is how long the other end may take to close when this one has.
const finWait = 2 * time.Second

// fin ends the connection in order. When the other end has read everything and
// closes too, all has arrived; a reset says that something was not read.
func (n *sender) fin(ctx context.Context, nc net.Conn, over chan error) bool {
	half, ok := nc.(interface{ CloseWrite() error })
	if !ok {
		n.tell(word{kind: noAnswer, err: errors.New("the connection has no half end")})
		return false
	}
	err := half.CloseWrite()
	if err == nil {
		select {
		case err = <-over:
			if errors.Is(err, io.EOF) {
				n.tell(word{kind: confirmed})
				return true
			}
		case <-time.After(finWait):
			n.tell(word{kind: noAnswer, err: errors.New("no end within the wait")})
			return false
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	n.tell(word{kind: broke, err: err})
	return false
}
