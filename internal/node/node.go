package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/interwork"
	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/policy"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/transport"
)

// Bounds of the edge.
const (
	ownSockets   = 24              // listener, resolver, the runtime's and room
	perConnMost  = 128             // set-ups open on one caller's connection
	callsMost    = 1 << 16         // open and standing
	inboxMost    = 512             // inputs waiting for the core
	outboxMost   = 2048            // messages waiting on one connection
	writeWithin  = 2 * time.Second // a peer that takes nothing for so long is cut off
	beginWithin  = 2 * time.Second // a caller's message is whole by then
	answerWithin = time.Second     // an exchange's message is whole by then
	clockStart   = time.Hour       // so that what started before has a positive time
	flushWithin  = 200 * time.Millisecond
	lingerWithin = 500 * time.Millisecond // a caller ends its side within that of a connection that we end
	recallWithin = 50 * time.Millisecond  // a write that holds a set-up which is called back
)

// intake sheds new calls where the core does not keep up: they would be answered too late.
var intake = guard.Intake{Capacity: inboxMost}

type (
	callerConn = transport.Conn[*isup.Message]
	linkConn   = transport.Conn[*sip.Message]
)

// Node is one controller with its sockets.
type Node struct {
	cfg   *Config
	log   *slog.Logger
	core  *interwork.Core
	start time.Time
	inbox chan interwork.Input

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ln     net.Listener

	callers map[interwork.ConnID]*callerConn // of the core's goroutine
	links   map[interwork.LinkID]*linkConn
	dials   map[interwork.LinkID]context.CancelFunc
	held    atomic.Int64 // callers' connections
	most    int64
	turned  atomic.Int64 // connections closed at accept
	shed    atomic.Int64 // set-ups refused since the core had too much to look at
	unsaid  int          // messages that a connection did not take any more
	left    bool
}

// Run is a controller until it is told to leave.
func Run(env func(string) string, w io.Writer, level slog.Level) error {
	hup, term := make(chan os.Signal, 4), make(chan os.Signal, 2)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	log := slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
	cfg, err := ReadConfig(env)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(cfg.MemoryBytes * 6 / 10)
	ln, err := net.Listen("tcp", cfg.ListenAddr)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	n := newNode(cfg, ln, log)
	return n.run(hup, term, func() (*Config, error) { return ReadConfig(env) })
}

func newNode(cfg *Config, ln net.Listener, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, log: log, ln: ln, start: time.Now(), inbox: make(chan interwork.Input, inboxMost),
		callers: map[interwork.ConnID]*callerConn{}, links: map[interwork.LinkID]*linkConn{},
		dials: map[interwork.LinkID]context.CancelFunc{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	room := cfg.MaxDescriptors - ownSockets
	callers := room / 2
	n.most = int64(callers + callers/8) // while the core makes room
	n.core = interwork.New(interwork.Config{Module: policy.New("brain", cfg.ModuleSettings), Settings: cfg.ModuleSettings,
		ConnectTimeout: cfg.ConnectTimeout, EpochUnixNano: n.start.Add(-clockStart).UnixNano(), MaxLinks: room / 3, ExchangeIdleTimeout: cfg.IdleTimeout, MaxConns: callers,
		MaxPendingPerConn: perConnMost, MaxCalls: callsMost,
		LogAllVerdicts: log.Enabled(n.ctx, slog.LevelDebug)}, n.now())
	return n
}

// now is the controller's clock.
func (n *Node) now() time.Duration { return clockStart + time.Since(n.start) }

func (n *Node) run(hup, term <-chan os.Signal, again func() (*Config, error)) error {
	n.log.Info("starting", "name", n.cfg.Name, "listen", n.cfg.ListenAddr, "resolver", n.cfg.ResolverAddr, "sockets", n.cfg.MaxDescriptors,
		"memory", n.cfg.MemoryBytes, "exchanges", len(n.cfg.ExchangeList.Entries()))
	n.log.Debug("settings", "module", fmt.Sprintf("%+v", n.cfg.ModuleSettings))
	n.step(interwork.ExchangeListUpdate{Complete: true, Changes: n.cfg.ExchangeList.Entries()})
	res := newResolver(n, n.cfg.ExchangeList)
	n.wg.Go(func() { res.run(n.cfg.ResolverAddr) })
	n.wg.Go(n.accept)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !n.left {
		timer.Reset(max(n.core.NextTick()-n.now(), 0))
		select {
		case in := <-n.inbox:
			n.step(in)
			if len(n.inbox) > 0 { // what was asked for is written before more is looked at, a CANCEL before its next INVITE
				runtime.Gosched()
			}
		case <-timer.C:
			n.step(interwork.Tick{})
		case <-hup:
			cfg, err := again()
			if err != nil {
				n.log.Error("configuration read again, the old one is kept", "error", err)
				continue
			}
			n.log.Info("configuration read again", "resolver", cfg.ResolverAddr)
			res.use(cfg.ResolverAddr)
		case <-term:
			n.log.Info("leaving")
			n.step(interwork.Shutdown{})
		}
	}
	n.flush()
	n.cancel()
	n.wg.Wait()
	for len(n.inbox) > 0 {
		discard(<-n.inbox)
	}
	n.log.Info("left", "stats", n.core.Stats, "turned_away", n.turned.Load(), "shed", n.shed.Load(), "unsaid", n.unsaid)
	return nil
}

var errLeaving = errors.New("leaving")

// discard ends what comes when the core is gone.
func discard(in interwork.Input) {
	switch in := in.(type) {
	case accepted:
		in.c.Close(errLeaving)
		close(in.known)
	case dialed:
		if in.nc != nil {
			in.nc.Close()
		}
	}
}

// flush lets what was said be written, then ends all connections.
func (n *Node) flush() {
	n.ln.Close()
	var ends []<-chan struct{}
	for _, c := range n.callers {
		c.FlushAndClose(errLeaving)
		ends = append(ends, c.Done())
	}
	for _, c := range n.links {
		c.FlushAndClose(errLeaving)
		ends = append(ends, c.Done())
	}
	late := time.After(flushWithin)
	for _, end := range ends {
		for ended := false; !ended; {
			select {
			case <-end:
				ended = true
			case in := <-n.inbox:
				discard(in)
			case <-late:
				n.cancel()
				for _, c := range n.callers {
					c.Close(errLeaving)
				}
				for _, c := range n.links {
					c.Close(errLeaving)
				}
				return
			}
		}
	}
}

// put brings an input to the core.
func (n *Node) put(in interwork.Input) {
	select {
	case n.inbox <- in:
	case <-n.ctx.Done():
	}
}

// step hands one input to the core and carries out what it asks for.
func (n *Node) step(in interwork.Input) {
	switch in := in.(type) {
	case accepted:
		n.callers[in.id] = in.c
		n.step(interwork.CallerConnected{Conn: in.id})
		close(in.known)
		return
	case dialed:
		n.dialed(in)
		return
	case ending:
		if c := n.callers[in.id]; c != nil {
			c.FlushAndClose(errors.New(in.why))
		}
		return
	case interwork.CallerMessage:
		if c := n.callers[in.Conn]; c != nil && c.IsClosed() && interwork.IsNewCall(in.Msg) {
			return // its caller has gone while it waited here
		}
	case interwork.CallerDisconnected:
		delete(n.callers, in.Conn)
	case interwork.LinkDown:
		delete(n.links, in.Link)
	}
	for _, e := range n.core.Handle(n.now(), in) {
		switch e := e.(type) {
		case interwork.SendToCaller:
			if c := n.callers[e.Conn]; c == nil || !c.Send(e.Msg, 0) {
				n.unsaid++
			}
		case interwork.CloseConn:
			n.later(ending{id: e.Conn, why: e.Reason}) // behind what was read from it already
		case interwork.Dial:
			n.dial(e)
		case interwork.SendToExchange:
			switch c := n.links[e.Link]; {
			case c != nil && c.Send(e.Msg, e.Deadline):
			case e.Msg.IsSetUp():
				n.later(interwork.Unsent{Link: e.Link, Msg: e.Msg})
			default:
				n.unsaid++
			}
		case interwork.WithdrawSetUp:
			if c := n.links[e.Link]; c != nil && !c.Recall(func(m *sip.Message) bool { return m.CallID == e.CallID }) {
				c.Send(e.Cancel, 0)
			}
		case interwork.HoldSetUps:
			if c := n.links[e.Link]; c != nil && e.Hold {
				c.BlockSetUps()
			} else if c != nil {
				c.UnblockSetUps()
			}
		case interwork.CloseLink:
			if stop := n.dials[e.Link]; stop != nil {
				stop()
			}
			if c := n.links[e.Link]; c != nil && e.Idle {
				c.FlushAndClose(errors.New(e.Reason))
			} else if c != nil {
				c.Close(errors.New(e.Reason))
			}
		case interwork.CloseListener:
			n.ln.Close()
		case interwork.ShutdownComplete:
			n.left = true
		case interwork.Log:
			n.log.Log(n.ctx, e.Level, e.Message, e.Args...)
		}
	}
}

// later brings an input of the core's own goroutine back to it.
func (n *Node) later(in interwork.Input) {
	select {
	case n.inbox <- in:
	default:
		n.wg.Go(func() { n.put(in) })
	}
}

// accepted, ending and dialed are inputs of the node's own.
type (
	accepted struct {
		interwork.Input
		id    interwork.ConnID
		c     *callerConn
		known chan struct{} // closed once the core knows the connection
	}
	ending struct {
		interwork.Input
		id  interwork.ConnID
		why string
	}
	dialed struct {
		interwork.Input
		id  interwork.LinkID
		nc  net.Conn
		err error
	}
)

// accept takes callers' connections. Running out of descriptors does not stop it.
func (n *Node) accept() {
	for id := interwork.ConnID(1); ; id++ {
		nc, err := n.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || n.ctx.Err() != nil {
				return
			}
			n.log.Warn("accepting connections", "error", err)
			select {
			case <-time.After(10 * time.Millisecond):
				continue
			case <-n.ctx.Done():
				return
			}
		}
		if n.held.Load() >= n.most {
			n.turned.Add(1)
			nc.Close()
			continue
		}
		n.held.Add(1)
		e := &callerEdge{n: n, id: id, known: make(chan struct{})}
		c := transport.Start(nc, transport.Options[*isup.Message]{Reader: e.reader, Outbox: guard.Outbox{Most: outboxMost},
			WriteTimeout: writeWithin, LingerTimeout: lingerWithin, Now: n.now}, e)
		select {
		case n.inbox <- accepted{id: id, c: c, known: e.known}:
		case <-n.ctx.Done():
			c.Close(errLeaving)
		}
	}
}

// callerEdge brings what happens on a caller's connection to the core.
type callerEdge struct {
	n     *Node
	id    interwork.ConnID
	known chan struct{}
}

func (e *callerEdge) reader(nc net.Conn) func() (*isup.Message, error) {
	return isup.NewReader(nc, begun(nc, beginWithin)).Read
}

// begun bounds the time from a message's first byte to its last.
func begun(nc net.Conn, within time.Duration) func(bool) {
	return func(started bool) {
		at := time.Time{}
		if started {
			at = time.Now().Add(within)
		}
		_ = nc.SetReadDeadline(at) // fails only on a closed connection
	}
}

func (e *callerEdge) Message(c *callerConn, m *isup.Message) {
	at := e.n.now()
	e.wait()
	if interwork.IsNewCall(m) && intake.Admit(guard.NewCall, len(e.n.inbox)) == guard.Shed {
		e.n.shed.Add(1)
		c.Send(interwork.NewRejection(m.CallID, e.n.cfg.ModuleSettings), 0)
		return
	}
	e.n.put(interwork.CallerMessage{Conn: e.id, ReceivedAt: at, Msg: m})
}

func (e *callerEdge) wait() {
	select {
	case <-e.known:
	case <-e.n.ctx.Done():
	}
}

func (e *callerEdge) Unreadable(*callerConn, transport.RecoverableError) {}
func (e *callerEdge) Unsent(*callerConn, *isup.Message)                  {}
func (e *callerEdge) Closed(_ *callerConn, why error) {
	e.n.held.Add(-1)
	e.n.log.Debug("caller's connection over", "conn", e.id, "why", why)
	e.wait()
	e.n.put(interwork.CallerDisconnected{Conn: e.id})
}

func (n *Node) dial(e interwork.Dial) {
	ctx, cancel := context.WithTimeout(n.ctx, e.Timeout)
	n.dials[e.Link] = cancel
	n.wg.Go(func() {
		defer cancel()
		var d net.Dialer
		nc, err := d.DialContext(ctx, "tcp", e.Addr)
		select {
		case n.inbox <- dialed{id: e.Link, nc: nc, err: err}:
		case <-n.ctx.Done():
			if nc != nil {
				nc.Close()
			}
		}
	})
}

func (n *Node) dialed(in dialed) {
	delete(n.dials, in.id)
	if in.err != nil {
		n.log.Debug("dialling", "link", in.id, "error", in.err)
		n.step(interwork.LinkDown{Link: in.id, Refused: errors.Is(in.err, syscall.ECONNREFUSED)})
		return
	}
	e := &linkEdge{n: n, id: in.id}
	n.links[in.id] = transport.Start(in.nc, transport.Options[*sip.Message]{Reader: e.reader, Outbox: guard.Outbox{Most: outboxMost},
		WriteTimeout: writeWithin, DrainGrace: n.cfg.ModuleSettings.DrainGrace, RecallTimeout: recallWithin, AbortOnClose: true, Now: n.now}, e)
	n.step(interwork.LinkUp{Link: in.id})
}

// linkEdge brings what happens on a connection to an exchange to the core.
type linkEdge struct {
	n  *Node
	id interwork.LinkID
}

func (e *linkEdge) reader(nc net.Conn) func() (*sip.Message, error) {
	return sip.NewReader(nc, begun(nc, answerWithin)).Read
}

func (e *linkEdge) Message(_ *linkConn, m *sip.Message) {
	e.n.put(interwork.LinkMessage{Link: e.id, Msg: m})
}
func (e *linkEdge) Unreadable(*linkConn, transport.RecoverableError) {}
func (e *linkEdge) Unsent(_ *linkConn, m *sip.Message) {
	e.n.put(interwork.Unsent{Link: e.id, Msg: m})
}
func (e *linkEdge) Closed(_ *linkConn, why error) {
	e.n.log.Debug("link over", "link", e.id, "why", why)
	e.n.put(interwork.LinkDown{Link: e.id})
}
