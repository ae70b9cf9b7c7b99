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

// loop is the one goroutine in which all stand-ins live; it is their Sched.
type loop struct {
	base   time.Duration
	start  time.Time
	now    time.Duration
	timers *wheel.Wheel[func()]
	inbox  chan func()
}

func newLoop() *loop {
	l := &loop{start: time.Now(), inbox: make(chan func(), 8192)}
	l.base = time.Duration(l.start.UnixNano())
	l.now = l.base
	l.timers = wheel.New[func()](l.now)
	return l
}

// Now is the time of the event at hand.
func (l *loop) Now() time.Duration { return l.now }

// After calls f in the loop when d has passed.
func (l *loop) After(d time.Duration, f func()) { l.timers.Set(l.now+max(d, 0), f) }

func (l *loop) clock() time.Duration { return l.base + time.Since(l.start) }

// post brings an event in from another goroutine.
func (l *loop) post(ctx context.Context, f func()) {
	select {
	case l.inbox <- f:
	case <-ctx.Done():
	}
}

// run works until ctx ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.now = max(l.clock(), l.now)
		l.timers.Advance(l.now, func(f func()) { f() })
		wait := time.Hour
		if at, ok := l.timers.Next(); ok {
			wait = max(at-l.clock(), 0)
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case f := <-l.inbox:
			l.now = max(l.clock(), l.now)
			l.timers.Advance(l.now, func(f func()) { f() })
			f()
			for n := len(l.inbox); n > 0; n-- { // what is there already, before the next look at the clock
				(<-l.inbox)()
			}
		}
	}
}

// handler brings a connection's events into the loop.
type handler struct {
	w       *World
	message func(*signal.Message)
	closed  func()
}

func (h *handler) Message(_ *transport.Conn[*signal.Message], m *signal.Message) {
	h.w.loop.post(h.w.ctx, func() { h.message(m) })
}

func (h *handler) Unreadable(c *transport.Conn[*signal.Message], s transport.RecoverableError) {
	e := s.(*signal.SyntaxError)
	c.Send(&signal.Message{Kind: signal.ErrorMessage, Code: e.Code, Text: e.Reason}, 0)
}

func (h *handler) Unsent(*transport.Conn[*signal.Message], *signal.Message) {}

func (h *handler) Closed(*transport.Conn[*signal.Message], error) {
	h.w.loop.post(h.w.ctx, h.closed)
}

// serve starts a stand-in's end of a connection.
func (w *World) serve(nc net.Conn, dialed bool, owner, role string, message func(*signal.Message), closed func()) *transport.Conn[*signal.Message] {
	tap := w.capture.Open(transport.ConnectionKey(nc, dialed), capture.Endpoint{Owner: owner, Role: role, Dialed: dialed})
	return transport.Start(nc, transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{}), Outbox: guard.Outbox{Capacity: 1 << 16}, WriteTimeout: time.Minute, Capture: tap, Now: w.loop.clock},
		&handler{w, message, closed})
}

// say sends without a time-out.
func say(c *transport.Conn[*signal.Message]) func(*signal.Message) bool {
	return func(m *signal.Message) bool { return c.Send(m, 1<<62) }
}

// accept takes connections until the listener is closed.
func (w *World) accept(ln net.Listener, each func(net.Conn)) {
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

// redial keeps a connection to a controller: made in the loop, made again when it is lost.
func (w *World) redial(addr string, made func(net.Conn) *transport.Conn[*signal.Message]) {
	w.wg.Go(func() {
		for w.ctx.Err() == nil {
			if nc, err := w.net.Dial(w.ctx, addr); err == nil {
				started := make(chan *transport.Conn[*signal.Message], 1)
				w.loop.post(w.ctx, func() { started <- made(nc) })
				select {
				case c := <-started:
					select {
					case <-c.Done():
					case <-w.ctx.Done():
						c.Close(errEnd)
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

var errEnd = errors.New("the day is over")

func exchangeOwner(id uint32) string { return fmt.Sprintf("exchange %d", id) }
