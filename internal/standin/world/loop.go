package world

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/transport"
	"dahliaspindle/internal/wheel"
)

// eventLoop is the one goroutine in which all stand-ins live; it is their Sched.
type eventLoop struct {
	baseTime  time.Duration
	startedAt time.Time
	now       time.Duration
	timers    *wheel.Wheel[func()]
	events    chan func()
}

func newEventLoop() *eventLoop {
	loop := &eventLoop{startedAt: time.Now(), events: make(chan func(), 8192)}
	loop.baseTime = time.Duration(loop.startedAt.UnixNano())
	loop.now = loop.baseTime
	loop.timers = wheel.New[func()](loop.now)
	return loop
}

// Now is the time of the event at hand.
func (l *eventLoop) Now() time.Duration { return l.now }

// After calls f in the loop when d has passed.
func (l *eventLoop) After(delay time.Duration, callback func()) {
	l.timers.Set(l.now+max(delay, 0), callback)
}

func (l *eventLoop) wallTime() time.Duration { return l.baseTime + time.Since(l.startedAt) }

// post brings an event in from another goroutine.
func (l *eventLoop) post(ctx context.Context, event func()) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// run works until ctx ends.
func (l *eventLoop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.now = max(l.wallTime(), l.now)
		l.timers.Advance(l.now, func(callback func()) { callback() })
		wait := time.Hour
		if deadline, ok := l.timers.Next(); ok {
			wait = max(deadline-l.wallTime(), 0)
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case event := <-l.events:
			l.now = max(l.wallTime(), l.now)
			l.timers.Advance(l.now, func(f func()) { f() })
			event()
			for remaining := len(l.events); remaining > 0; remaining-- { // what is there already, before the next look at the clock
				(<-l.events)()
			}
		}
	}
}

// handler brings a connection's events into the loop.
type handler struct {
	runner    *Runner
	onMessage func(*signal.Message)
	onClosed  func()
}

func (h *handler) Message(_ *transport.Conn[*signal.Message], m *signal.Message) {
	h.runner.loop.post(h.runner.ctx, func() { h.onMessage(m) })
}

func (h *handler) Unreadable(conn *transport.Conn[*signal.Message], recoverable transport.RecoverableError) {
	syntaxError := recoverable.(*signal.SyntaxError)
	conn.Send(&signal.Message{Kind: signal.ErrorMessage, Code: syntaxError.Code, Text: syntaxError.Reason}, 0)
}

func (h *handler) Unsent(*transport.Conn[*signal.Message], *signal.Message) {}

func (h *handler) Closed(*transport.Conn[*signal.Message], error) {
	h.runner.loop.post(h.runner.ctx, h.onClosed)
}

// serve starts a stand-in's end of a connection.
func (runner *Runner) serve(conn net.Conn, dialed bool, owner, role string, message func(*signal.Message), closed func()) *transport.Conn[*signal.Message] {
	recorder := runner.capture.Open(transport.ConnectionKey(conn, dialed), capture.Endpoint{Owner: owner, Role: role, Dialed: dialed})
	return transport.Start(conn, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Outbox: guard.Outbox{Capacity: 1 << 16}, WriteTimeout: time.Minute, Capture: recorder, Now: runner.loop.wallTime},
		&handler{runner, message, closed})
}

// sendFunc sends without a time-out.
func sendFunc(conn *transport.Conn[*signal.Message]) func(*signal.Message) bool {
	return func(message *signal.Message) bool { return conn.Send(message, 1<<62) }
}

// acceptConns takes connections until the listener is closed.
func (runner *Runner) acceptConns(listener net.Listener, accepted func(net.Conn)) {
	runner.wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			runner.loop.post(runner.ctx, func() { accepted(conn) })
		}
	})
}

// maintainConn keeps a connection to a controller: made in the loop, made again when it is lost.
func (runner *Runner) maintainConn(address string, start func(net.Conn) *transport.Conn[*signal.Message]) {
	runner.wg.Go(func() {
		for runner.ctx.Err() == nil {
			if conn, err := runner.network.Dial(runner.ctx, address); err == nil {
				started := make(chan *transport.Conn[*signal.Message], 1)
				runner.loop.post(runner.ctx, func() { started <- start(conn) })
				select {
				case conn := <-started:
					select {
					case <-conn.Done():
					case <-runner.ctx.Done():
						conn.Close(errRunEnded)
						<-conn.Done()
					}
				case <-runner.ctx.Done():
					conn.Close()
				}
			}
			select {
			case <-runner.ctx.Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
}

var errRunEnded = errors.New("the day is over")

func exchangeOwner(id uint32) string { return fmt.Sprintf("exchange %d", id) }
