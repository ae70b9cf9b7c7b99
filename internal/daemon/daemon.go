// Package daemon runs one controller: the core in one goroutine, and round it
// the listener for callers and calls in transit, a kept link to each exchange
// of the list, and the list itself. It decides nothing about a call.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/controller"
	"dahliaspindle/internal/export"
	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/settings"
	"dahliaspindle/internal/setup"
	"dahliaspindle/internal/signal"
	"dahliaspindle/internal/transport"
)

// Network is how a daemon reaches the world; tests put memory in its place.
type Network struct {
	Listener net.Listener
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
}

// Daemon is one running controller.
type Daemon struct {
	set     *settings.Controller
	log     *slog.Logger
	capture *capture.Writer
	net     Network
	base    time.Duration // wall clock at the start, since 1970
	start   time.Time
	core    *controller.Controller
	inbox   *inbox
	left    chan struct{} // closed when the core is done after Leave

	mu      sync.Mutex
	callers map[uint64]*transport.Conn[*signal.Message]
	full    int // connections turned away
	links   map[controller.Peer]*keeper
	back    []controller.Input // set-ups that a connection did not take
	wg      sync.WaitGroup
	stats   controller.Stats
}

// Run runs a controller until ctx ends, then lets it answer what it has. The
// error tells why it could not start or work.
func Run(ctx context.Context, set *settings.Controller, log io.Writer) error {
	level := slog.LevelInfo
	if err := level.UnmarshalText([]byte(set.Log.Level)); err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	opt := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(log, opt)
	if set.Log.Format == "json" {
		h = slog.NewJSONHandler(log, opt)
	}
	l := slog.New(h).With("controller", set.Number)
	ln, err := Listen(ctx, set.Listen)
	if err != nil {
		return err
	}
	var w *capture.Writer
	if set.Capture.File != "" {
		if w, err = capture.Create(set.Capture.File, CaptureOwner(set.Number)); err != nil {
			ln.Close()
			return err
		}
	}
	dialer := net.Dialer{Timeout: set.Peers.DialTimeout}
	var sink flow.Sink
	var exporter *export.Exporter
	if len(set.Flows.Collectors) > 0 {
		if exporter, err = NewExporter(set, l); err != nil {
			return errors.Join(err, ln.Close(), w.Close())
		}
		sink = exporter
	}
	d := New(set, l, w, Network{ln, func(ctx context.Context, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", addr)
	}}, sink)
	l.Info("listening", "address", ln.Addr().String(), "exchange", set.Self, "policy", set.Policy)
	if exporter != nil { // it outlives the calls, whose ends it tells
		ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			exporter.Run(ctx)
		}()
		defer func() {
			stop()
			<-ended
			s := exporter.Status()
			l.Info("flow export ended", "counted", s.Counted, "sent", s.Sent, "folded", s.Folded, "dropped", s.Dropped,
				"uncounted", d.CountMismatch(exporter.Counted()))
		}()
	}
	d.Serve(ctx)
	return w.Close()
}

// CaptureOwner is how a controller's capture names it.
func CaptureOwner(number int) string { return "controller " + strconv.Itoa(number) }

// Listen opens a listener: host:port, or fd:N for one that the parent passed on.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	if n, ok := strings.CutPrefix(addr, "fd:"); ok {
		fd, err := strconv.ParseUint(n, 10, 16)
		if err != nil {
			return nil, fmt.Errorf("listen: %q is no file descriptor", addr)
		}
		f := os.NewFile(uintptr(fd), "listener")
		defer f.Close()
		ln, err := net.FileListener(f)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", addr, err)
		}
		return ln, nil
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

// New makes a daemon; Serve runs it. flows takes a record of each call and attempt; nil for none.
func New(set *settings.Controller, log *slog.Logger, w *capture.Writer, n Network, flows flow.Sink) *Daemon {
	d := &Daemon{set: set, log: log, capture: w, net: n, start: time.Now(), inbox: newInbox(set.Limits.Inbox),
		left: make(chan struct{}), callers: map[uint64]*transport.Conn[*signal.Message]{}, links: map[controller.Peer]*keeper{}}
	d.base = time.Duration(d.start.UnixNano())
	d.core = controller.New(d.now(), setup.ControllerConfig(d.now(), set, flows))
	return d
}

// now is the core's clock: time since 1970 as it was at the start, and steady from there.
func (d *Daemon) now() time.Duration { return d.base + time.Since(d.start) }

// CountMismatch is by how much an exporter's counts differ from the core's; for
// use when Serve has returned.
func (d *Daemon) CountMismatch(c *flow.Counts) uint64 {
	n := uint64(0)
	for k, classes := range d.core.Counts() {
		for i, outcomes := range classes {
			for o, v := range outcomes {
				n += max(v, c[k][i][o]) - min(v, c[k][i][o])
			}
		}
	}
	return n
}

// Stats returns the core's counts as of its last step.
func (d *Daemon) Stats() controller.Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

// Serve runs until ctx ends and what was taken is answered.
func (d *Daemon) Serve(ctx context.Context) {
	// The edges outlive ctx until the core has left.
	edges, stop := context.WithCancel(context.WithoutCancel(ctx))
	d.keep(edges, controller.Peer{Role: controller.RoleExchangeList}, d.set.ListAddress)
	d.wg.Go(func() { d.accept() })
	loop := make(chan struct{})
	go func() {
		defer close(loop)
		d.loop(edges)
	}()
	<-ctx.Done()
	d.log.Info("leaving: no new calls")
	d.inbox.put(guard.Completion, controller.Input{Kind: controller.InputShutdown})
	<-d.left
	// what was said last is written before the connections close
	d.mu.Lock()
	conns := make([]*transport.Conn[*signal.Message], 0, len(d.callers)+len(d.links))
	for _, c := range d.callers {
		conns = append(conns, c)
	}
	d.mu.Unlock()
	flushed := time.Now().Add(time.Second)
	for _, c := range conns {
		for c.QueueLen() > 0 && time.Now().Before(flushed) {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(20 * time.Millisecond)
	stop()
	d.net.Listener.Close()
	d.inbox.close()
	for _, c := range conns {
		c.Close(transport.ErrClosed)
	}
	<-loop
	d.wg.Wait()
	s := d.Stats()
	d.log.Info("left", "taken", s.Accepted, "stood", s.Answered, "refused", s.Refused, "failed", s.Failed, "left", s.Abandoned,
		"cut", s.Cut, "attempts", s.Attempts, "turned", s.Shed)
}

// loop owns the core.
func (d *Daemon) loop(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	left := false
	for {
		inputs := d.inbox.take()
		if len(inputs) == 0 {
			inputs = append(inputs, controller.Input{Kind: controller.InputTimer})
		}
		for _, in := range inputs {
			left = d.step(ctx, in) || left
			for len(d.back) > 0 {
				in := d.back[0]
				d.back = d.back[1:]
				left = d.step(ctx, in) || left
			}
		}
		d.mu.Lock()
		d.stats = d.core.Stats()
		d.mu.Unlock()
		if left {
			select {
			case <-d.left:
			default:
				close(d.left)
			}
		}
		wait := time.Hour
		if at, ok := d.core.NextDeadline(); ok {
			wait = max(at-d.now(), 0)
		}
		timer.Reset(wait)
		select {
		case <-d.inbox.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// step hands one input to the core and carries its effects out; true when the
// core has left.
func (d *Daemon) step(ctx context.Context, in controller.Input) bool {
	left := false
	for _, e := range d.core.Handle(d.now(), in) {
		switch e.Kind {
		case controller.EffectSend:
			if c := d.conn(e.Peer); e.RecallID != 0 && c != nil && c.Recall(func(m *signal.Message) bool { return m.ID == e.RecallID }) {
				d.back = append(d.back, controller.Input{Kind: controller.InputUnsent, Peer: e.Peer, Message: e.Message})
			} else if (c == nil || !c.Send(e.Message, e.Deadline)) && e.Deadline > 0 {
				d.back = append(d.back, controller.Input{Kind: controller.InputUnsent, Peer: e.Peer, Message: e.Message})
			}
		case controller.EffectConnect:
			d.keep(ctx, e.Peer, e.Address)
		case controller.EffectDisconnect:
			d.drop(e.Peer)
		case controller.EffectClose:
			d.log.Warn("closing a connection", "peer", e.Peer.Role, "id", e.Peer.ID, "why", e.Text)
			if c := d.conn(e.Peer); c != nil {
				c.Close(errors.New(e.Text))
			}
		case controller.EffectBlock:
			if k := d.link(e.Peer); k != nil {
				k.fence(true)
			}
		case controller.EffectUnblock:
			if k := d.link(e.Peer); k != nil {
				k.fence(false)
			}
		case controller.EffectVerdict:
			d.capture.Verdict(e.Call, fmt.Sprintf("%s; %s %d", e.Verdict.Reason, e.Verdict.Scope, e.Verdict.ExchangeNumber))
		case controller.EffectLog:
			if e.Call == "" {
				d.log.Log(ctx, e.Level, e.Text)
			} else {
				d.log.Log(ctx, e.Level, e.Text, "call", e.Call)
			}
		case controller.EffectStopped:
			left = true
		}
	}
	return left
}

func (d *Daemon) conn(p controller.Peer) *transport.Conn[*signal.Message] {
	if p.Role == controller.RoleCaller {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.callers[p.ID]
	}
	if k := d.link(p); k != nil {
		return k.conn()
	}
	return nil
}

func (d *Daemon) options(tap *capture.ConnRecorder) transport.Options[*signal.Message] {
	return transport.Options[*signal.Message]{Reader: signal.NewReadFunc(signal.Limits{MaxLineBytes: d.set.Limits.LineBytes, MaxMessageBytes: d.set.Limits.MessageBytes}),
		Outbox: guard.Outbox{Most: d.set.Limits.Outbox}, WriteTimeout: d.set.Peers.WriteTimeout, DrainGrace: d.set.Rules.DrainGrace,
		Capture: tap, Now: d.now}
}

// accept takes callers' connections.
func (d *Daemon) accept() {
	for id := uint64(1); ; id++ {
		nc, err := d.net.Listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.EOF) {
				d.log.Error("accepting connections", "error", err)
				time.Sleep(100 * time.Millisecond) // out of descriptors: it may pass
				continue
			}
			return
		}
		d.mu.Lock()
		full := len(d.callers) >= d.set.Limits.Connections
		if full {
			d.full++
		}
		d.mu.Unlock()
		if full {
			d.log.Warn("connection turned away", "from", nc.RemoteAddr(), "limit", d.set.Limits.Connections)
			nc.Close()
			continue
		}
		p := controller.Peer{Role: controller.RoleCaller, ID: id}
		d.inbox.put(guard.Completion, controller.Input{Kind: controller.InputConnected, Peer: p})
		up := make(chan struct{})
		close(up)
		tap := d.capture.Open(transport.ConnectionKey(nc, false), capture.Endpoint{Owner: CaptureOwner(d.set.Number), Role: "caller"})
		d.mu.Lock()
		d.callers[id] = transport.Start(nc, d.options(tap), &edge{d, p, up})
		d.mu.Unlock()
	}
}

// edge brings what happens on a connection into the inbox.
type edge struct {
	d    *Daemon
	peer controller.Peer
	up   <-chan struct{} // closed when the core has been told that the connection stands
}

func (e *edge) Message(c *transport.Conn[*signal.Message], m *signal.Message) {
	in := controller.Input{Kind: controller.InputMessage, Peer: e.peer, Message: m}
	if e.d.inbox.put(kindOf(in), in) {
		return
	}
	if m.Kind == signal.Request && m.Command == signal.Add { // shed: it was not taken
		c.Send(m.NewErrorReply(signal.InsufficientResources, "the controller can't keep up").Put("Taken", "no"), 0)
	}
}

func (e *edge) Unreadable(_ *transport.Conn[*signal.Message], s transport.RecoverableError) {
	e.d.inbox.put(guard.Completion, controller.Input{Kind: controller.InputMalformed, Peer: e.peer, SyntaxError: *s.(*signal.SyntaxError)})
}

func (e *edge) Unsent(_ *transport.Conn[*signal.Message], m *signal.Message) {
	e.d.inbox.put(guard.Completion, controller.Input{Kind: controller.InputUnsent, Peer: e.peer, Message: m})
}

func (e *edge) Closed(c *transport.Conn[*signal.Message], why error) {
	e.d.log.Debug("connection over", "peer", e.peer.Role, "id", e.peer.ID, "why", why)
	if e.peer.Role == controller.RoleCaller {
		e.d.mu.Lock()
		delete(e.d.callers, e.peer.ID)
		e.d.mu.Unlock()
	}
	<-e.up
	e.d.inbox.put(guard.Completion, controller.Input{Kind: controller.InputDisconnected, Peer: e.peer})
}

// keeper keeps the connection to one peer: it dials again when it is lost.
type keeper struct {
	d      *Daemon
	peer   controller.Peer
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	c      *transport.Conn[*signal.Message]
	fenced bool
}

// keep starts a keeper, in place of one at another address.
func (d *Daemon) keep(ctx context.Context, p controller.Peer, addr string) {
	before := d.drop(p)
	ctx, cancel := context.WithCancel(ctx)
	k := &keeper{d: d, peer: p, cancel: cancel, done: make(chan struct{})}
	d.mu.Lock()
	d.links[p] = k
	d.mu.Unlock()
	d.wg.Go(func() {
		defer close(k.done)
		if before != nil {
			<-before.done // its Down comes before this one's Up
		}
		k.run(ctx, addr)
	})
}

func (d *Daemon) link(p controller.Peer) *keeper {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links[p]
}

func (d *Daemon) drop(p controller.Peer) *keeper {
	d.mu.Lock()
	k := d.links[p]
	delete(d.links, p)
	d.mu.Unlock()
	if k != nil {
		k.cancel()
	}
	return k
}

func (k *keeper) conn() *transport.Conn[*signal.Message] {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.c
}

func (k *keeper) fence(shut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fenced = shut
	switch {
	case k.c == nil:
	case shut:
		k.c.BlockSetUps()
	default:
		k.c.UnblockSetUps()
	}
}

func (k *keeper) run(ctx context.Context, addr string) {
	d := k.d
	// jitter only: no decision rests on these numbers
	retry := guard.Backoff{Min: d.set.Peers.MinRetryDelay, Max: d.set.Peers.MaxRetryDelay,
		Random: rand.New(rand.NewPCG(d.set.Seed, uint64(d.set.Number)<<32^k.peer.ID))}
	for n := 1; ctx.Err() == nil; n++ {
		nc, err := d.net.Dial(ctx, addr)
		if err == nil {
			began := time.Now()
			k.hold(ctx, nc)
			if time.Since(began) > d.set.Peers.MaxRetryDelay {
				n = 1
			}
		} else if ctx.Err() == nil {
			d.log.Debug("dialling", "peer", k.peer.Role, "id", k.peer.ID, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry.Delay(n)):
		}
	}
}

// hold serves one connection until it is over.
func (k *keeper) hold(ctx context.Context, nc net.Conn) {
	d := k.d
	tap := d.capture.Open(transport.ConnectionKey(nc, true), capture.Endpoint{Owner: CaptureOwner(d.set.Number), Role: k.peer.Role.String(),
		Peer: k.peer.ID, Dialed: true})
	up := make(chan struct{})
	k.mu.Lock()
	c := transport.Start(nc, d.options(tap), &edge{d, k.peer, up})
	if k.c = c; k.fenced {
		c.BlockSetUps()
	}
	k.mu.Unlock()
	d.inbox.put(guard.Completion, controller.Input{Kind: controller.InputConnected, Peer: k.peer})
	close(up)
	select {
	case <-c.Done():
	case <-ctx.Done():
		c.Close(transport.ErrClosed)
		<-c.Done()
	}
	k.mu.Lock()
	k.c = nil
	k.mu.Unlock()
}
