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
	l := &eventLoop{startedAt: time.Now(), events: make(chan func(), 8192)}
	l.baseTime = time.Duration(l.startedAt.UnixNano())
	l.now = l.baseTime
	l.timers = wheel.New[func()](l.now)
	return l
}

// Now is the time of the event at hand.
func (l *eventLoop) Now() time.Duration { return l.now }

// After calls f in the loop when d has passed.
func (l *eventLoop) After(d time.Duration, f func()) { l.timers.Set(l.now+max(d, 0), f) }

func (l *eventLoop) wallTime() time.Duration { return l.baseTime + time.Since(l.startedAt) }

// post brings an event in from another goroutine.
func (l *eventLoop) post(ctx context.Context, f func()) {
	select {
	case l.events <- f:
	case <-ctx.Done():
	}
}

// run works until ctx ends.
func (l *eventLoop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.now = max(l.wallTime(), l.now)
		l.timers.Advance(l.now, func(f func()) { f() })
		wait := time.Hour
		if at, ok := l.timers.Next(); ok {
			wait = max(at-l.wallTime(), 0)
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case f := <-l.events:
			l.now = max(l.wallTime(), l.now)
			l.timers.Advance(l.now, func(f func()) { f() })
			f()
			for n := len(l.events); n > 0; n-- { // what is there already, before the next look at the clock
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

func (h *handler) Unreadable(c *transport.Conn[*signal.Message], s transport.RecoverableError) {
	e := s.(*signal.SyntaxError)
	c.Send(&signal.Message{Kind: signal.ErrorMessage, Code: e.Code, Text: e.Reason}, 0)
}

func (h *handler) Unsent(*transport.Conn[*signal.Message], *signal.Message) {}

func (h *handler) Closed(*transport.Conn[*signal.Message], error) {
	h.runner.loop.post(h.runner.ctx, h.onClosed)
}

// serve starts a stand-in's end of a connection.
func (w *Runner) serve(nc net.Conn, dialed bool, owner, role string, message func(*signal.Message), closed func()) *transport.Conn[*signal.Message] {
	tap := w.capture.Open(transport.ConnectionKey(nc, dialed), capture.Endpoint{Owner: owner, Role: role, Dialed: dialed})
	return transport.Start(nc, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Outbox: guard.Outbox{Capacity: 1 << 16}, WriteTimeout: time.Minute, Capture: tap, Now: w.loop.wallTime},
		&handler{w, message, closed})
}

// sendFunc sends without a time-out.
func sendFunc(c *transport.Conn[*signal.Message]) func(*signal.Message) bool {
	return func(m *signal.Message) bool { return c.Send(m, 1<<62) }
}

// acceptConns takes connections until the listener is closed.
func (w *Runner) acceptConns(ln net.Listener, each func(net.Conn)) {
	w.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			w.loop.post(w.ctx, func() { each(nc) })
		}
	})
}

// maintainConn keeps a connection to a controller: made in the loop, made again when it is lost.
func (w *Runner) maintainConn(addr string, made func(net.Conn) *transport.Conn[*signal.Message]) {
	w.wg.Go(func() {
		for w.ctx.Err() == nil {
			if nc, err := w.network.Dial(w.ctx, addr); err == nil {
				started := make(chan *transport.Conn[*signal.Message], 1)
				w.loop.post(w.ctx, func() { started <- made(nc) })
				select {
				case c := <-started:
					select {
					case <-c.Done():
					case <-w.ctx.Done():
						c.Close(errRunEnded)
						<-c.Done()
					}
				case <-w.ctx.Done():
					nc.Close()
				}
			}
			select {
			case <-w.ctx.Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
}

var errRunEnded = errors.New("the day is over")

func exchangeOwner(id uint32) string { return fmt.Sprintf("exchange %d", id) }
