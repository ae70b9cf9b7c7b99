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
	queryInterval     = 200 * time.Millisecond // between two queries, whether or not the first was answered
	queryJitter       = 0.1                    // variation of queryInterval as a share of it, so that controllers started together do not query in step
	staleRetryDelay   = 50 * time.Millisecond  // next query after an answer older than the list
	maxWaitingAnswers = 16                     // answers that were received and not handled yet
	listWarningAfter  = 2 * time.Second        // time without a valid answer before a warning is logged
)

// resolver queries for the exchange list at short regular intervals. It keeps one
// socket, because an answer may arrive after later queries were sent. Only its
// own goroutine uses the list.
type resolver struct {
	node    *Node
	list    *srvlist.List
	newAddr chan string // address of a resolver to use instead
	random  *rand.Rand
	queries uint64 // number of queries sent; its low 16 bits are the ID of the last one
	recent  recentQueries
	conn    *resolverConn
}

// resolverConn is a socket to one resolver, read by its own goroutine.
type resolverConn struct {
	net.Conn
	answers chan []byte // closed when reading ends
}

func newResolver(n *Node, list *srvlist.List) *resolver {
	return &resolver{
		node:    n,
		list:    list,
		newAddr: make(chan string, 1),
		random:  rand.New(rand.NewPCG(n.cfg.ModuleSettings.Seed, 0xd25)),
	}
}

// use switches to another resolver. Later answers of the previous one are ignored.
func (r *resolver) use(addr string) {
	select {
	case <-r.newAddr: // replaces an address that was not picked up yet
	default:
	}
	r.newAddr <- addr
}

func (r *resolver) run(addr string) {
	nextQuery := time.NewTimer(0)
	defer nextQuery.Stop()
	lastValid, warned := time.Now(), false
	for {
		var answers <-chan []byte
		if r.conn != nil {
			answers = r.conn.answers
		}
		var err error
		select {
		case <-r.node.ctx.Done():
			r.closeConn()
			return
		case addr = <-r.newAddr:
			r.closeConn()
			nextQuery.Reset(0)
			continue
		case <-nextQuery.C:
			nextQuery.Reset(time.Duration(float64(queryInterval) * (1 + queryJitter*(2*r.random.Float64()-1))))
			err = r.sendQuery(addr)
		case packet, open := <-answers:
			if !open {
				r.closeConn() // the next query opens a new socket
				continue
			}
			if err = r.handleAnswer(packet); err == nil {
				lastValid, warned = time.Now(), false
			} else if errors.Is(err, srvlist.ErrStale) {
				nextQuery.Reset(staleRetryDelay)
			}
		}
		if err != nil {
			r.node.log.Log(r.node.ctx, slog.LevelDebug, "resolver", "error", err)
		}
		if !warned && time.Since(lastValid) > listWarningAfter {
			warned = true
			r.node.log.Warn("the exchange list is not told; the last one holds", "resolver", addr, "error", err)
		}
	}
}

func (r *resolver) closeConn() {
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}

// sendQuery sends a query with a new ID.
func (r *resolver) sendQuery(addr string) error {
	if r.conn == nil {
		netConn, err := net.Dial("udp", addr)
		if err != nil {
			return fmt.Errorf("open resolver socket: %w", err)
		}
		conn := &resolverConn{netConn, make(chan []byte, maxWaitingAnswers)}
		r.conn = conn
		r.node.wg.Go(conn.readAnswers)
	}
	r.queries++
	query, err := srvlist.NewQuery(uint16(r.queries))
	if err != nil {
		return fmt.Errorf("encode resolver query: %w", err)
	}
	if err := r.conn.SetWriteDeadline(time.Now().Add(queryInterval)); err != nil {
		return fmt.Errorf("set resolver write deadline: %w", err)
	}
	r.recent.add(r.queries, time.Now())
	if _, err := r.conn.Write(query); err != nil {
		return fmt.Errorf("send resolver query: %w", err)
	}
	return nil
}

// readAnswers passes on the packets that arrive until the socket is closed or
// fails. It drops packets while the channel is full, as a network may do.
func (c *resolverConn) readAnswers() {
	defer close(c.answers)
	buf := make([]byte, srvlist.MaxAnswerBytes)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		select {
		case c.answers <- append([]byte(nil), buf[:n]...):
		default:
		}
	}
}

// handleAnswer applies an answer to one of the recent queries to the list.
func (r *resolver) handleAnswer(packet []byte) error {
	if len(packet) < 2 {
		return errors.New("resolver answer without a header")
	}
	id := binary.BigEndian.Uint16(packet)
	query, found := r.recent.find(id, time.Now())
	if !found {
		return fmt.Errorf("resolver answer with the message ID %d of no recent query; the last one has %d", id, uint16(r.queries))
	}
	wasRestricted := r.list.Restricted()
	changes, err := r.list.ApplyAnswer(query, packet, time.Now())
	if restricted := r.list.Restricted(); restricted != wasRestricted {
		r.logRestriction(restricted)
	}
	if len(changes) > 0 {
		r.node.enqueue(interwork.ExchangeListUpdate{Changes: changes})
	}
	return err
}

// logRestriction logs that older answers begin or cease to restrict the list.
func (r *resolver) logRestriction(restricted bool) {
	if restricted {
		r.node.log.Warn("the resolver brings an older list; an exchange takes new calls only if both lists say so", "serial", r.list.Serial())
		return
	}
	r.node.log.Info("the exchange list is current", "serial", r.list.Serial())
}
