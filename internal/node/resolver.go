package node

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"dahliaspindle/internal/interwork"
	"dahliaspindle/internal/srvlist"
)

const (
	askEvery   = 200 * time.Millisecond // between two questions, whatever became of the one before
	askJitter  = 0.1                    // share by which that varies: controllers that start together fall out of step
	askAgain   = 50 * time.Millisecond  // after an answer that speaks against the list
	askOpen    = 16                     // so many of the last questions may still be answered
	askWarning = 2 * time.Second        // without a good answer, one line
)

// resolver asks for the exchange list at steady short intervals, over one socket that it keeps: an
// answer may come after later questions. The list is its goroutine's.
type resolver struct {
	n      *Node
	list   *srvlist.List
	addr   chan string // another resolver to ask
	random *rand.Rand
	asked  uint64 // questions so far; the last 16 bits are the id
	conn   *asking
}

// asking is the socket to one resolver with the goroutine that reads it.
type asking struct {
	net.Conn
	heard chan []byte // closed with the socket
}

func newResolver(n *Node, list *srvlist.List) *resolver {
	return &resolver{n: n, list: list, addr: make(chan string, 1), random: rand.New(rand.NewPCG(n.cfg.ModuleSettings.Seed, 0xd25))}
}

// use names another resolver: what the one before still answers is not heard.
func (r *resolver) use(addr string) {
	select {
	case <-r.addr: // one that was not looked at yet
	default:
	}
	r.addr <- addr
}

func (r *resolver) run(addr string) {
	next := time.NewTimer(0)
	defer next.Stop()
	good, warned := time.Now(), false
	for {
		var heard <-chan []byte
		if r.conn != nil {
			heard = r.conn.heard
		}
		var err error
		select {
		case <-r.n.ctx.Done():
			r.hangUp()
			return
		case addr = <-r.addr:
			r.hangUp()
			next.Reset(0)
			continue
		case <-next.C:
			next.Reset(time.Duration(float64(askEvery) * (1 + askJitter*(2*r.random.Float64()-1))))
			err = r.question(addr)
		case packet, open := <-heard:
			if !open {
				r.hangUp() // a new socket with the next question
				continue
			}
			if err = r.answer(packet); err == nil {
				good, warned = time.Now(), false
			} else if errors.Is(err, srvlist.ErrStale) {
				next.Reset(askAgain)
			}
		}
		if err != nil {
			r.n.log.Log(r.n.ctx, slog.LevelDebug, "resolver", "error", err)
		}
		if !warned && time.Since(good) > askWarning {
			warned = true
			r.n.log.Warn("the exchange list is not told; the last one holds", "resolver", addr, "error", err)
		}
	}
}

func (r *resolver) hangUp() {
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}

// question sends one of its own id.
func (r *resolver) question(addr string) error {
	if r.conn == nil {
		nc, err := net.Dial("udp", addr)
		if err != nil {
			return fmt.Errorf("asking: %w", err)
		}
		a := &asking{nc, make(chan []byte, askOpen)}
		r.conn = a
		r.n.wg.Go(a.read)
	}
	r.asked++
	q, err := srvlist.NewQuery(uint16(r.asked))
	if err != nil {
		return fmt.Errorf("asking: %w", err)
	}
	if err := r.conn.SetWriteDeadline(time.Now().Add(askEvery)); err != nil {
		return fmt.Errorf("asking: %w", err)
	}
	if _, err := r.conn.Write(q); err != nil {
		return fmt.Errorf("asking: %w", err)
	}
	return nil
}

// read hands on what comes until the socket is closed or fails; more than can be looked at is lost,
// as on the way.
func (a *asking) read() {
	defer close(a.heard)
	buf := make([]byte, srvlist.MaxAnswerBytes)
	for {
		k, err := a.Read(buf)
		if err != nil {
			return
		}
		select {
		case a.heard <- append([]byte(nil), buf[:k]...):
		default:
		}
	}
}

// answer folds in what answers one of the last questions.
func (r *resolver) answer(packet []byte) error {
	if len(packet) < 2 {
		return errors.New("resolver's answer: no header")
	}
	id := binary.BigEndian.Uint16(packet)
	age := uint64(uint16(r.asked) - id)
	if age >= min(askOpen, r.asked) {
		return fmt.Errorf("resolver's answer: to question %d, not one of the last up to %d", id, uint16(r.asked))
	}
	changes, err := r.list.ApplyAnswer(r.asked-age, packet)
	if len(changes) > 0 {
		r.n.put(interwork.ExchangeListUpdate{Changes: changes})
	}
	return err
}
