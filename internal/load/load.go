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
	Addresses       []string
	Rate            float64 // calls a second
	Duration        time.Duration
	Classes         []string
	Destinations    []int
	Patience        time.Duration
	MeanHoldingTime time.Duration // mean; 0: released at once
	ConnsPerAddress int           // to each controller
	Seed            uint64
	Dial            func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP
}

// Row is the delays of the calls that ended alike.
type Row struct {
	Name  string        `json:"name"`
	Calls int64         `json:"calls"`
	P50   time.Duration `json:"p50"`
	P99   time.Duration `json:"p99"`
	P999  time.Duration `json:"p999"`
	Max   time.Duration `json:"most"`
}

// Result of a run.
type Result struct {
	Offered  int           `json:"offered"`
	Duration time.Duration `json:"took"`
	Rows     []Row         `json:"rows"` // stood, refused, failed, not taken, unanswered
}

const (
	established = iota
	refused
	failed
	notTaken
	unanswered
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"stood", "refused", "failed", "not taken", "unanswered"}

type client struct {
	run             *run
	conn            *transport.Conn[*signal.Message]
	mu              sync.Mutex
	lastTransaction uint32
	pending         map[uint32]pendingCall
}

type pendingCall struct {
	due     time.Time
	name    string
	holding time.Duration
}

type run struct {
	options       Options
	mu            sync.Mutex
	histograms    [outcomeCount]*hdrhistogram.Histogram
	random        *rand.Rand
	releaseTimers sync.WaitGroup
	clients       []*client
}

// maxRecordedDelay is the largest delay told apart.
const maxRecordedDelay = int64(5 * time.Minute)

func (r *run) record(end int, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.histograms[end].RecordValue(min(max(int64(d), 1), maxRecordedDelay)) // within range by min and max
}

// Run makes the calls and waits for the answers.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Rate <= 0 || o.Duration <= 0 || o.ConnsPerAddress <= 0 || len(o.Addresses) == 0 || len(o.Classes) == 0 || len(o.Destinations) == 0 || o.Patience <= 0 {
		return nil, errors.New("load: rate, time, patience, connections, controllers, classes and numbers must all be given")
	}
	if o.Dial == nil {
		var d net.Dialer
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	r := &run{options: o, random: rand.New(rand.NewPCG(o.Seed, 0x10ad))}
	for i := range r.histograms {
		r.histograms[i] = hdrhistogram.New(1, maxRecordedDelay, 3)
	}
	for _, addr := range o.Addresses {
		for range o.ConnsPerAddress {
			nc, err := o.Dial(ctx, addr)
			if err != nil {
				r.close()
				return nil, fmt.Errorf("load: %w", err)
			}
			c := &client{run: r, pending: map[uint32]pendingCall{}}
			c.conn = transport.Start(nc, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Outbox: guard.Outbox{Capacity: 1 << 20}, WriteTimeout: time.Minute}, c)
			r.clients = append(r.clients, c)
		}
	}
	defer r.close()
	start := time.Now()
	n := r.placeCalls(ctx, start)
	took := time.Since(start)
	deadline := time.Now().Add(o.Patience + time.Second)
	for r.countPending() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	for _, c := range r.clients {
		c.mu.Lock()
		for id, b := range c.pending {
			r.record(unanswered, time.Since(b.due))
			delete(c.pending, id)
		}
		c.mu.Unlock()
	}
	r.releaseTimers.Wait()
	res := &Result{Offered: n, Duration: took}
	for i, h := range r.histograms {
		res.Rows = append(res.Rows, Row{outcomeNames[i], h.TotalCount(), time.Duration(h.ValueAtQuantile(50)),
			time.Duration(h.ValueAtQuantile(99)), time.Duration(h.ValueAtQuantile(99.9)), time.Duration(h.Max())})
	}
	return res, nil
}

// placeCalls makes the calls at their times, several at once where the clock is behind.
func (r *run) placeCalls(ctx context.Context, start time.Time) int {
	due := start
	for n := 0; ; n++ {
		due = due.Add(time.Duration(r.random.ExpFloat64() / r.options.Rate * float64(time.Second)))
		if due.Sub(start) > r.options.Duration || ctx.Err() != nil {
			return n
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		c := r.clients[n%len(r.clients)]
		m := &signal.Message{Context: signal.ContextChoose, Command: signal.Add, Termination: fmt.Sprintf("load-%d-%d", r.options.Seed, n)}
		m.Put("Class", r.options.Classes[r.random.IntN(len(r.options.Classes))]).PutInt("Dest", r.options.Destinations[r.random.IntN(len(r.options.Destinations))])
		m.Put("Number", fmt.Sprint(r.random.Uint64N(1<<40))).PutDuration("Left", r.options.Patience)
		c.mu.Lock()
		c.lastTransaction++
		m.ID = c.lastTransaction
		c.pending[m.ID] = pendingCall{due, m.Termination, time.Duration(r.random.ExpFloat64() * float64(r.options.MeanHoldingTime))}
		sent := c.conn.Send(m, time.Hour)
		if !sent {
			delete(c.pending, m.ID)
		}
		c.mu.Unlock()
		if !sent {
			r.record(notTaken, time.Since(due))
		}
	}
}

func (r *run) countPending() int {
	n := 0
	for _, c := range r.clients {
		c.mu.Lock()
		n += len(c.pending)
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
	b, ok := c.pending[m.ID]
	delete(c.pending, m.ID)
	c.mu.Unlock()
	if !ok {
		return
	}
	end := failed
	switch {
	case m.Code == 0:
		end = established
	case m.Get("Taken") == "no":
		end = notTaken
	case m.Code == signal.InsufficientResources:
		end = refused
	}
	c.run.record(end, time.Since(b.due))
	if end != established {
		return
	}
	release := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lastTransaction++
		conn.Send(&signal.Message{ID: c.lastTransaction, Command: signal.Subtract, Termination: b.name}, 0)
	}
	if b.holding <= 0 {
		release()
		return
	}
	c.run.releaseTimers.Add(1)
	time.AfterFunc(b.holding, func() {
		defer c.run.releaseTimers.Done()
		release()
	})
}

// Unreadable is called for a message that can't be read: nothing waits for it.
func (c *client) Unreadable(*transport.Conn[*signal.Message], transport.RecoverableError) {}

// Unsent is a call that could not be sent.
func (c *client) Unsent(_ *transport.Conn[*signal.Message], m *signal.Message) {
	c.mu.Lock()
	b, ok := c.pending[m.ID]
	delete(c.pending, m.ID)
	c.mu.Unlock()
	if ok {
		c.run.record(notTaken, time.Since(b.due))
	}
}

// Closed is the end of the connection.
func (c *client) Closed(*transport.Conn[*signal.Message], error) {}
