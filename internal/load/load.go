// Package load calls controllers at a rate that waits for no answer (open
// loop). A call's delay counts from the moment at which it was due, so that a
// tool that falls behind does not hide the wait (coordinated omission).
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/transport"
)

// Options of a run.
type Options struct {
	To       []string
	Rate     float64 // calls a second
	For      time.Duration
	Classes  []string
	Dests    []int
	Patience time.Duration
	Holding  time.Duration // mean; 0: released at once
	Conns    int           // to each controller
	Seed     uint64
	Dial     func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP
}

// Row is the delays of the calls that ended alike.
type Row struct {
	Name  string        `json:"name"`
	Calls int64         `json:"calls"`
	P50   time.Duration `json:"p50"`
	P99   time.Duration `json:"p99"`
	P999  time.Duration `json:"p999"`
	Most  time.Duration `json:"most"`
}

// Result of a run.
type Result struct {
	Offered int           `json:"offered"`
	Took    time.Duration `json:"took"`
	Rows    []Row         `json:"rows"` // stood, refused, failed, not taken, unanswered
}

const (
	stood = iota
	refused
	failed
	notTaken
	unanswered
	ends
)

var endNames = [ends]string{"stood", "refused", "failed", "not taken", "unanswered"}

type client struct {
	r    *run
	conn *transport.Conn[*signal.Message]
	mu   sync.Mutex
	tx   uint32
	open map[uint32]began
}

type began struct {
	due     time.Time
	name    string
	holding time.Duration
}

type run struct {
	o       Options
	mu      sync.Mutex
	hists   [ends]*hdrhistogram.Histogram
	rnd     *rand.Rand
	timers  sync.WaitGroup
	clients []*client
}

// mostDelay is the largest delay told apart.
const mostDelay = int64(5 * time.Minute)

func (r *run) book(end int, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.hists[end].RecordValue(min(max(int64(d), 1), mostDelay)) // within range by min and max
}

// Run makes the calls and waits for the answers.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Rate <= 0 || o.For <= 0 || o.Conns <= 0 || len(o.To) == 0 || len(o.Classes) == 0 || len(o.Dests) == 0 || o.Patience <= 0 {
		return nil, errors.New("load: rate, time, patience, connections, controllers, classes and numbers must all be given")
	}
	if o.Dial == nil {
		var d net.Dialer
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	r := &run{o: o, rnd: rand.New(rand.NewPCG(o.Seed, 0x10ad))}
	for i := range r.hists {
		r.hists[i] = hdrhistogram.New(1, mostDelay, 3)
	}
	for _, addr := range o.To {
		for range o.Conns {
			nc, err := o.Dial(ctx, addr)
			if err != nil {
				r.close()
				return nil, fmt.Errorf("load: %w", err)
			}
			c := &client{r: r, open: map[uint32]began{}}
			c.conn = transport.Start(nc, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Outbox: guard.Outbox{Capacity: 1 << 20}, WriteTimeout: time.Minute}, c)
			r.clients = append(r.clients, c)
		}
	}
	defer r.close()
	start := time.Now()
	n := r.dial(ctx, start)
	took := time.Since(start)
	deadline := time.Now().Add(o.Patience + time.Second)
	for r.open() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	for _, c := range r.clients {
		c.mu.Lock()
		for id, b := range c.open {
			r.book(unanswered, time.Since(b.due))
			delete(c.open, id)
		}
		c.mu.Unlock()
	}
	r.timers.Wait()
	res := &Result{Offered: n, Took: took}
	for i, h := range r.hists {
		res.Rows = append(res.Rows, Row{endNames[i], h.TotalCount(), time.Duration(h.ValueAtQuantile(50)),
			time.Duration(h.ValueAtQuantile(99)), time.Duration(h.ValueAtQuantile(99.9)), time.Duration(h.Max())})
	}
	return res, nil
}

// dial makes the calls at their times, several at once where the clock is behind.
func (r *run) dial(ctx context.Context, start time.Time) int {
	due := start
	for n := 0; ; n++ {
		due = due.Add(time.Duration(r.rnd.ExpFloat64() / r.o.Rate * float64(time.Second)))
		if due.Sub(start) > r.o.For || ctx.Err() != nil {
			return n
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		c := r.clients[n%len(r.clients)]
		m := &signal.Message{Context: signal.ContextChoose, Command: signal.Add, Termination: fmt.Sprintf("load-%d-%d", r.o.Seed, n)}
		m.Put("Class", r.o.Classes[r.rnd.IntN(len(r.o.Classes))]).PutInt("Dest", r.o.Dests[r.rnd.IntN(len(r.o.Dests))])
		m.Put("Number", fmt.Sprint(r.rnd.Uint64N(1<<40))).PutDuration("Left", r.o.Patience)
		c.mu.Lock()
		c.tx++
		m.ID = c.tx
		c.open[m.ID] = began{due, m.Termination, time.Duration(r.rnd.ExpFloat64() * float64(r.o.Holding))}
		sent := c.conn.Send(m, time.Hour)
		if !sent {
			delete(c.open, m.ID)
		}
		c.mu.Unlock()
		if !sent {
			r.book(notTaken, time.Since(due))
		}
	}
}

func (r *run) open() int {
	n := 0
	for _, c := range r.clients {
		c.mu.Lock()
		n += len(c.open)
		c.mu.Unlock()
	}
	return n
}

func (r *run) close() {
	for _, c := range r.clients {
		c.conn.Close(transport.ErrClosed)
		<-c.conn.Done()
	}
}

// Message takes a controller's word.
func (c *client) Message(conn *transport.Conn[*signal.Message], m *signal.Message) {
	if m.Kind == signal.Request {
		conn.Send(m.NewReply(), 0)
		return
	}
	if m.Kind != signal.Reply || m.Command != signal.Add {
		return
	}
	c.mu.Lock()
	b, ok := c.open[m.ID]
	delete(c.open, m.ID)
	c.mu.Unlock()
	if !ok {
		return
	}
	end := failed
	switch {
	case m.Code == 0:
		end = stood
	case m.Get("Taken") == "no":
		end = notTaken
	case m.Code == signal.InsufficientResources:
		end = refused
	}
	c.r.book(end, time.Since(b.due))
	if end != stood {
		return
	}
	release := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tx++
		conn.Send(&signal.Message{ID: c.tx, Command: signal.Subtract, Termination: b.name}, 0)
	}
	if b.holding <= 0 {
		release()
		return
	}
	c.r.timers.Add(1)
	time.AfterFunc(b.holding, func() {
		defer c.r.timers.Done()
		release()
	})
}

// Unreadable is called for a message that can't be read: nothing waits for it.
func (c *client) Unreadable(*transport.Conn[*signal.Message], transport.RecoverableError) {}

// Unsent is a call that could not be sent.
func (c *client) Unsent(_ *transport.Conn[*signal.Message], m *signal.Message) {
	c.mu.Lock()
	b, ok := c.open[m.ID]
	delete(c.open, m.ID)
	c.mu.Unlock()
	if ok {
		c.r.book(notTaken, time.Since(b.due))
	}
}

// Closed is the end of the connection.
func (c *client) Closed(*transport.Conn[*signal.Message], error) {}
