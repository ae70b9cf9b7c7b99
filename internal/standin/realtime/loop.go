package realtime

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/timerwheel"
	"dahliaspindle/internal/transport"
)

// eventLoop runs the whole simulation in one goroutine. It is the simulation's
// scheduler in real time.
type eventLoop struct {
	baseTime  time.Duration // startedAt since 1970
	startedAt time.Time     // with its monotonic clock reading
	now       time.Duration // time of the current event
	timers    *timerwheel.Wheel[func()]
	events    chan func()
}

func newEventLoop() *eventLoop {
	loop := &eventLoop{startedAt: time.Now(), events: make(chan func(), 8192)}
	loop.baseTime = time.Duration(loop.startedAt.UnixNano())
	loop.now = loop.baseTime
	loop.timers = timerwheel.New[func()](loop.now)
	return loop
}

// Now returns the time of the current event since 1970.
func (l *eventLoop) Now() time.Duration { return l.now }

// After calls callback in the loop after delay.
func (l *eventLoop) After(delay time.Duration, callback func()) {
	l.timers.Set(l.now+max(delay, 0), callback)
}

// wallTime returns the current time since 1970. It is monotonic.
func (l *eventLoop) wallTime() time.Duration { return l.baseTime + time.Since(l.startedAt) }

// post hands an event from another goroutine to the loop.
func (l *eventLoop) post(ctx context.Context, event func()) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// run handles timers and events until ctx is done.
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
			l.timers.Advance(l.now, func(callback func()) { callback() })
			event()
			// Handle the events already queued before reading the clock again.
			for remaining := len(l.events); remaining > 0; remaining-- {
				(<-l.events)()
			}
		}
	}
}

// handler hands the events of a connection to the loop.
type handler struct {
	runner    *Runner
	onMessage func(*signal.Message)
	onClosed  func()
}

// Message hands a received message to the loop.
func (h *handler) Message(_ *transport.Conn[*signal.Message], message *signal.Message) {
	h.runner.loop.post(h.runner.ctx, func() { h.onMessage(message) })
}

// Unreadable answers a malformed message with an error message.
func (h *handler) Unreadable(conn *transport.Conn[*signal.Message], recoverable transport.RecoverableError) {
	syntaxError := recoverable.(*signal.SyntaxError)
	conn.Send(&signal.Message{Kind: signal.ErrorMessage, Code: syntaxError.Code, Text: syntaxError.Reason}, 0)
}

// Unsent ignores a message that could not be sent.
func (h *handler) Unsent(*transport.Conn[*signal.Message], *signal.Message) {}

// Closed hands the end of the connection to the loop.
func (h *handler) Closed(*transport.Conn[*signal.Message], error) {
	h.runner.loop.post(h.runner.ctx, h.onClosed)
}

// serve starts the simulated end of a connection. onMessage and onClosed are called
// in the loop.
func (runner *Runner) serve(conn net.Conn, dialed bool, owner, role string,
	onMessage func(*signal.Message), onClosed func()) *transport.Conn[*signal.Message] {
	recorder := runner.capture.Open(transport.ConnectionKey(conn, dialed), capture.Endpoint{Owner: owner, Role: role, Dialed: dialed})
	return transport.Start(conn, transport.Options[*signal.Message]{
		Reader:       signal.NewReadFunc(signal.Limits{}),
		Outbox:       guard.Outbox{Capacity: 1 << 16},
		WriteTimeout: time.Minute,
		Capture:      recorder,
		Now:          runner.loop.wallTime,
	}, &handler{runner, onMessage, onClosed})
}

// sendFunc returns a function that sends messages without a deadline.
func sendFunc(conn *transport.Conn[*signal.Message]) func(*signal.Message) bool {
	return func(message *signal.Message) bool { return conn.Send(message, 1<<62) }
}

// acceptConns accepts connections until the listener is closed and hands them to the
// loop.
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

// maintainConn keeps a connection to a controller open and redials when it is lost.
// start is called in the loop.
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

// errRunEnded is the reason for closing connections at the end of a run.
var errRunEnded = errors.New("the day is over")

// exchangeOwner returns the name of an exchange in captures.
func exchangeOwner(id uint32) string { return fmt.Sprintf("exchange %d", id) }
