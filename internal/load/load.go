// Package load generates calls to controllers at a rate that does not depend on the
// answers (open loop). The delay of a call counts from the time at which it was due,
// so that delays are not hidden when the generator falls behind (coordinated
// omission).
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

// Options configures a run.
type Options struct {
	Addresses       []string // of the controllers
	Rate            float64  // calls per second
	Duration        time.Duration
	Classes         []string      // names of the classes to draw from
	Destinations    []int         // exchange numbers to draw from
	Patience        time.Duration // time allowed for the set-up of a call
	MeanHoldingTime time.Duration // 0: calls are released at once
	ConnsPerAddress int           // connections to each controller
	Seed            uint64
	Dial            func(ctx context.Context, address string) (net.Conn, error) // nil: TCP
}

// Row holds the delays of the calls with the same outcome.
type Row struct {
	Name  string        `json:"name"`
	Calls int64         `json:"calls"`
	P50   time.Duration `json:"p50"`
	P99   time.Duration `json:"p99"`
	P999  time.Duration `json:"p999"`
	Max   time.Duration `json:"most"`
}

// Result is the result of a run.
type Result struct {
	Offered  int           `json:"offered"`
	Duration time.Duration `json:"took"`
	Rows     []Row         `json:"rows"` // by outcome: established, refused, failed, not taken, unanswered
}

// Outcomes of calls, in the order of Result.Rows.
const (
	established = iota
	refused
	failed
	notTaken // not sent, or rejected without being handled
	unanswered
	outcomeCount
)

// outcomeNames holds the names of the outcomes in JSON output.
var outcomeNames = [outcomeCount]string{"stood", "refused", "failed", "not taken", "unanswered"}

// client is one connection to a controller.
type client struct {
	run             *run
	conn            *transport.Conn[*signal.Message]
	mu              sync.Mutex
	lastTransaction uint32
	pending         map[uint32]pendingCall // unanswered calls by transaction
}

// pendingCall is a call that has not been answered.
type pendingCall struct {
	dueAt       time.Time
	termination string
	holdingTime time.Duration
}

// run is a run in progress.
type run struct {
	options       Options
	mu            sync.Mutex // protects histograms
	histograms    [outcomeCount]*hdrhistogram.Histogram
	random        *rand.Rand
	releaseTimers sync.WaitGroup // established calls that wait for their release
	clients       []*client
}

// maxRecordedDelay is the largest delay of the histograms in nanoseconds; longer ones
// count as this.
const maxRecordedDelay = int64(5 * time.Minute)

// record adds the delay of a call to the histogram of its outcome.
func (r *run) record(outcome int, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.histograms[outcome].RecordValue(min(max(int64(delay), 1), maxRecordedDelay)) // can't fail: the value is within the range
}

// Run generates the calls and waits for their answers.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Rate <= 0 || options.Duration <= 0 || options.ConnsPerAddress <= 0 || len(options.Addresses) == 0 ||
		len(options.Classes) == 0 || len(options.Destinations) == 0 || options.Patience <= 0 {
		return nil, errors.New("load: rate, time, patience, connections, controllers, classes and numbers must all be given")
	}
	if options.Dial == nil {
		var dialer net.Dialer
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	current := &run{options: options, random: rand.New(rand.NewPCG(options.Seed, 0x10ad))}
	for i := range current.histograms {
		current.histograms[i] = hdrhistogram.New(1, maxRecordedDelay, 3)
	}
	for _, address := range options.Addresses {
		for range options.ConnsPerAddress {
			conn, err := options.Dial(ctx, address)
			if err != nil {
				current.close()
				return nil, fmt.Errorf("load: %w", err)
			}
			added := &client{run: current, pending: map[uint32]pendingCall{}}
			added.conn = transport.Start(conn, transport.Options[*signal.Message]{
				Reader:       signal.NewReadFunc(signal.Limits{}),
				Outbox:       guard.Outbox{Capacity: 1 << 20},
				WriteTimeout: time.Minute,
			}, added)
			current.clients = append(current.clients, added)
		}
	}
	defer current.close()
	start := time.Now()
	offered := current.placeCalls(ctx, start)
	duration := time.Since(start)
	deadline := time.Now().Add(options.Patience + time.Second)
	for current.countPending() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	for _, c := range current.clients {
		c.mu.Lock()
		for transaction, call := range c.pending {
			current.record(unanswered, time.Since(call.dueAt))
			delete(c.pending, transaction)
		}
		c.mu.Unlock()
	}
	current.releaseTimers.Wait()
	result := &Result{Offered: offered, Duration: duration}
	for i, histogram := range current.histograms {
		result.Rows = append(result.Rows, Row{
			outcomeNames[i],
			histogram.TotalCount(),
			time.Duration(histogram.ValueAtQuantile(50)),
			time.Duration(histogram.ValueAtQuantile(99)),
			time.Duration(histogram.ValueAtQuantile(99.9)),
			time.Duration(histogram.Max()),
		})
	}
	return result, nil
}

// placeCalls makes the calls at the times at which they are due, without a pause when
// it is late, and returns their number.
func (r *run) placeCalls(ctx context.Context, start time.Time) int {
	due := start
	for placed := 0; ; placed++ {
		due = due.Add(time.Duration(r.random.ExpFloat64() / r.options.Rate * float64(time.Second)))
		if due.Sub(start) > r.options.Duration || ctx.Err() != nil {
			return placed
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		caller := r.clients[placed%len(r.clients)]
		request := &signal.Message{Context: signal.ContextChoose, Command: signal.Add, Termination: fmt.Sprintf("load-%d-%d", r.options.Seed, placed)}
		request.Put("Class", r.options.Classes[r.random.IntN(len(r.options.Classes))]).PutInt("Dest", r.options.Destinations[r.random.IntN(len(r.options.Destinations))])
		request.Put("Number", fmt.Sprint(r.random.Uint64N(1<<40))).PutDuration("Left", r.options.Patience)
		caller.mu.Lock()
		caller.lastTransaction++
		request.ID = caller.lastTransaction
		caller.pending[request.ID] = pendingCall{due, request.Termination, time.Duration(r.random.ExpFloat64() * float64(r.options.MeanHoldingTime))}
		sent := caller.conn.Send(request, time.Hour)
		if !sent {
			delete(caller.pending, request.ID)
		}
		caller.mu.Unlock()
		if !sent {
			r.record(notTaken, time.Since(due))
		}
	}
}

// countPending returns the number of unanswered calls.
func (r *run) countPending() int {
	pending := 0
	for _, c := range r.clients {
		c.mu.Lock()
		pending += len(c.pending)
		c.mu.Unlock()
	}
	return pending
}

// close closes all connections and waits for their end.
func (r *run) close() {
	for _, c := range r.clients {
		c.conn.Close(transport.ErrClosed)
		<-c.conn.Done()
	}
}

// Message handles a message of the controller.
func (c *client) Message(conn *transport.Conn[*signal.Message], message *signal.Message) {
	if message.Kind == signal.Request {
		conn.Send(message.NewReply(), 0)
		return
	}
	if message.Kind != signal.Reply || message.Command != signal.Add {
		return
	}
	c.mu.Lock()
	answered, ok := c.pending[message.ID]
	delete(c.pending, message.ID)
	c.mu.Unlock()
	if !ok {
		return
	}
	outcome := failed
	switch {
	case message.Code == 0:
		outcome = established
	case message.Get("Taken") == "no":
		outcome = notTaken
	case message.Code == signal.InsufficientResources:
		outcome = refused
	}
	c.run.record(outcome, time.Since(answered.dueAt))
	if outcome != established {
		return
	}
	release := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lastTransaction++
		conn.Send(&signal.Message{ID: c.lastTransaction, Command: signal.Subtract, Termination: answered.termination}, 0)
	}
	if answered.holdingTime <= 0 {
		release()
		return
	}
	c.run.releaseTimers.Add(1)
	time.AfterFunc(answered.holdingTime, func() {
		defer c.run.releaseTimers.Done()
		release()
	})
}

// Unreadable ignores a malformed message: no call waits for it.
func (c *client) Unreadable(*transport.Conn[*signal.Message], transport.RecoverableError) {}

// Unsent counts a call that could not be sent.
func (c *client) Unsent(_ *transport.Conn[*signal.Message], message *signal.Message) {
	c.mu.Lock()
	unsent, ok := c.pending[message.ID]
	delete(c.pending, message.ID)
	c.mu.Unlock()
	if ok {
		c.run.record(notTaken, time.Since(unsent.dueAt))
	}
}

// Closed ignores the end of the connection: its calls remain unanswered.
func (c *client) Closed(*transport.Conn[*signal.Message], error) {}
