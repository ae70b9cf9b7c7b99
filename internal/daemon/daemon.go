// Package daemon runs one controller. The core runs in one goroutine; other goroutines
// serve the listener for callers and calls in transit, a permanent link to each listed
// exchange, and the link to the exchange list. The daemon decides nothing about calls.
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

// Network provides the connections of a daemon. Tests replace it by connections in memory.
type Network struct {
	Listener net.Listener // for callers
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
}

// Daemon is one running controller.
type Daemon struct {
	settings       *settings.Controller
	log            *slog.Logger
	capture        *capture.Writer
	network        Network
	startWallClock time.Duration // wall clock time at the start, since 1970
	startedAt      time.Time     // with monotonic clock reading
	core           *controller.Controller
	inbox          *inbox
	stopped        chan struct{} // closed when the core has stopped

	mu          sync.Mutex
	callers     map[uint64]*transport.Conn[*signal.Message]
	rejected    int // connections rejected at the limit
	links       map[controller.Peer]*linkKeeper
	undelivered []controller.Input // messages to return to the core as unsent
	wg          sync.WaitGroup
	stats       controller.Stats
}

// Run runs a controller until ctx ends, then lets it complete its calls. It returns an
// error if the controller could not be started or its capture not be written.
func Run(ctx context.Context, set *settings.Controller, log io.Writer) error {
	level := slog.LevelInfo
	if err := level.UnmarshalText([]byte(set.Log.Level)); err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(log, options)
	if set.Log.Format == "json" {
		handler = slog.NewJSONHandler(log, options)
	}
	logger := slog.New(handler).With("controller", set.Number)
	listener, err := Listen(ctx, set.Listen)
	if err != nil {
		return err
	}
	var captureWriter *capture.Writer
	if set.Capture.File != "" {
		if captureWriter, err = capture.Create(set.Capture.File, CaptureOwner(set.Number)); err != nil {
			listener.Close()
			return err
		}
	}
	dialer := net.Dialer{Timeout: set.Peers.DialTimeout}
	var sink flow.Sink
	var exporter *export.Exporter
	if len(set.Flows.Collectors) > 0 {
		if exporter, err = NewExporter(set, logger); err != nil {
			return errors.Join(err, listener.Close(), captureWriter.Close())
		}
		sink = exporter
	}
	d := New(set, logger, captureWriter, Network{listener, func(ctx context.Context, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", addr)
	}}, sink)
	logger.Info("listening", "address", listener.Addr().String(), "exchange", set.Self, "policy", set.Policy)
	if exporter != nil { // runs until the last call has ended and is exported
		ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			exporter.Run(ctx)
		}()
		defer func() {
			stop()
			<-ended
			status := exporter.Status()
			logger.Info("flow export ended",
				"counted", status.Counted,
				"sent", status.Sent,
				"folded", status.Folded,
				"dropped", status.Dropped,
				"uncounted", d.CountMismatch(exporter.Counted()))
		}()
	}
	d.Serve(ctx)
	return captureWriter.Close()
}

// CaptureOwner returns the owner that a controller's capture is written under.
func CaptureOwner(number int) string { return "controller " + strconv.Itoa(number) }

// Listen opens a listener on an address: host:port, or fd:N for the file descriptor of
// a listener inherited from the parent process.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	if number, ok := strings.CutPrefix(addr, "fd:"); ok {
		fd, err := strconv.ParseUint(number, 10, 16)
		if err != nil {
			return nil, fmt.Errorf("listen: invalid file descriptor %q", addr)
		}
		file := os.NewFile(uintptr(fd), "listener")
		defer file.Close()
		listener, err := net.FileListener(file)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", addr, err)
		}
		return listener, nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// New returns a daemon, which Serve runs. Flows receives a record of each call and
// attempt and may be nil.
func New(set *settings.Controller, log *slog.Logger, captureWriter *capture.Writer, network Network, flows flow.Sink) *Daemon {
	d := &Daemon{
		settings:  set,
		log:       log,
		capture:   captureWriter,
		network:   network,
		startedAt: time.Now(),
		inbox:     newInbox(set.Limits.Inbox),
		stopped:   make(chan struct{}),
		callers:   map[uint64]*transport.Conn[*signal.Message]{},
		links:     map[controller.Peer]*linkKeeper{},
	}
	d.startWallClock = time.Duration(d.startedAt.UnixNano())
	d.core = controller.New(d.now(), setup.ControllerConfig(d.now(), set, flows))
	return d
}

// now returns the core's clock: wall clock time since 1970 as of the start, advanced
// by the monotonic clock.
func (d *Daemon) now() time.Duration { return d.startWallClock + time.Since(d.startedAt) }

// CountMismatch returns the sum of the differences between an exporter's counts and
// those of the core. It may be called when Serve has returned.
func (d *Daemon) CountMismatch(counts *flow.Counts) uint64 {
	mismatch := uint64(0)
	for kind, classes := range d.core.Counts() {
		for class, outcomes := range classes {
			for outcome, count := range outcomes {
				mismatch += max(count, counts[kind][class][outcome]) - min(count, counts[kind][class][outcome])
			}
		}
	}
	return mismatch
}

// Stats returns the core's counters as of the last inputs processed.
func (d *Daemon) Stats() controller.Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

// Serve runs the controller until ctx ends and all calls have ended.
func (d *Daemon) Serve(ctx context.Context) {
	// The connections outlive ctx until the core has stopped.
	connCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	d.keepLink(connCtx, controller.Peer{Role: controller.RoleExchangeList}, d.settings.ListAddress)
	d.wg.Go(func() { d.acceptCallers() })
	coreDone := make(chan struct{})
	go func() {
		defer close(coreDone)
		d.runCore(connCtx)
	}()
	<-ctx.Done()
	d.log.Info("leaving: no new calls")
	d.inbox.put(guard.Completion, controller.Input{Kind: controller.InputShutdown})
	<-d.stopped
	// The last messages are written before the connections close.
	d.mu.Lock()
	conns := make([]*transport.Conn[*signal.Message], 0, len(d.callers)+len(d.links))
	for _, conn := range d.callers {
		conns = append(conns, conn)
	}
	d.mu.Unlock()
	flushDeadline := time.Now().Add(time.Second)
	for _, conn := range conns {
		for conn.QueueLen() > 0 && time.Now().Before(flushDeadline) {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(20 * time.Millisecond)
	stop()
	d.network.Listener.Close()
	d.inbox.close()
	for _, conn := range conns {
		conn.Close(transport.ErrClosed)
	}
	<-coreDone
	d.wg.Wait()
	stats := d.Stats()
	d.log.Info("left",
		"taken", stats.Accepted,
		"stood", stats.Answered,
		"refused", stats.Refused,
		"failed", stats.Failed,
		"left", stats.Abandoned,
		"cut", stats.Cut,
		"attempts", stats.Attempts,
		"turned", stats.Shed)
}

// runCore owns the core: it passes inputs to it and wakes up at its deadlines, until
// ctx ends.
func (d *Daemon) runCore(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	stopped := false
	for {
		inputs := d.inbox.take()
		if len(inputs) == 0 {
			inputs = append(inputs, controller.Input{Kind: controller.InputTimer})
		}
		for _, input := range inputs {
			stopped = d.handleInput(ctx, input) || stopped
			for len(d.undelivered) > 0 {
				input := d.undelivered[0]
				d.undelivered = d.undelivered[1:]
				stopped = d.handleInput(ctx, input) || stopped
			}
		}
		d.mu.Lock()
		d.stats = d.core.Stats()
		d.mu.Unlock()
		if stopped {
			select {
			case <-d.stopped:
			default:
				close(d.stopped)
			}
		}
		wait := time.Hour
		if at, ok := d.core.NextDeadline(); ok {
			wait = max(at-d.now(), 0)
		}
		timer.Reset(wait)
		select {
		case <-d.inbox.ready:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// handleInput passes one input to the core and carries out the effects. It returns
// true if the core has stopped.
func (d *Daemon) handleInput(ctx context.Context, input controller.Input) bool {
	stopped := false
	for _, effect := range d.core.Handle(d.now(), input) {
		switch effect.Kind {
		case controller.EffectSend:
			if conn := d.connection(effect.Peer); effect.RecallID != 0 && conn != nil &&
				conn.Recall(func(msg *signal.Message) bool { return msg.ID == effect.RecallID }) {
				d.undelivered = append(d.undelivered, controller.Input{Kind: controller.InputUnsent, Peer: effect.Peer, Message: effect.Message})
			} else if (conn == nil || !conn.Send(effect.Message, effect.Deadline)) && effect.Deadline > 0 {
				d.undelivered = append(d.undelivered, controller.Input{Kind: controller.InputUnsent, Peer: effect.Peer, Message: effect.Message})
			}
		case controller.EffectConnect:
			d.keepLink(ctx, effect.Peer, effect.Address)
		case controller.EffectDisconnect:
			d.dropLink(effect.Peer)
		case controller.EffectClose:
			d.log.Warn("closing a connection", "peer", effect.Peer.Role, "id", effect.Peer.ID, "why", effect.Text)
			if conn := d.connection(effect.Peer); conn != nil {
				conn.Close(errors.New(effect.Text))
			}
		case controller.EffectBlock:
			if keeper := d.linkTo(effect.Peer); keeper != nil {
				keeper.setBlocked(true)
			}
		case controller.EffectUnblock:
			if keeper := d.linkTo(effect.Peer); keeper != nil {
				keeper.setBlocked(false)
			}
		case controller.EffectVerdict:
			d.capture.Verdict(effect.Call, fmt.Sprintf("%s; %s %d", effect.Verdict.Reason, effect.Verdict.Scope, effect.Verdict.ExchangeNumber))
		case controller.EffectLog:
			if effect.Call == "" {
				d.log.Log(ctx, effect.Level, effect.Text)
			} else {
				d.log.Log(ctx, effect.Level, effect.Text, "call", effect.Call)
			}
		case controller.EffectStopped:
			stopped = true
		}
	}
	return stopped
}

// connection returns the current connection with a peer, nil if there is none.
func (d *Daemon) connection(peer controller.Peer) *transport.Conn[*signal.Message] {
	if peer.Role == controller.RoleCaller {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.callers[peer.ID]
	}
	if keeper := d.linkTo(peer); keeper != nil {
		return keeper.current()
	}
	return nil
}

// connectionOptions returns the options of a connection that recorder captures.
func (d *Daemon) connectionOptions(recorder *capture.ConnRecorder) transport.Options[*signal.Message] {
	return transport.Options[*signal.Message]{
		Reader:       signal.NewReadFunc(signal.Limits{MaxLineBytes: d.settings.Limits.LineBytes, MaxMessageBytes: d.settings.Limits.MessageBytes}),
		Outbox:       guard.Outbox{Capacity: d.settings.Limits.Outbox},
		WriteTimeout: d.settings.Peers.WriteTimeout,
		DrainGrace:   d.settings.Rules.DrainGrace,
		Capture:      recorder,
		Now:          d.now,
	}
}

// acceptCallers accepts the connections of callers until the listener is closed.
func (d *Daemon) acceptCallers() {
	for id := uint64(1); ; id++ {
		netConn, err := d.network.Listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.EOF) {
				d.log.Error("accepting a connection failed", "error", err)
				time.Sleep(100 * time.Millisecond) // for example out of file descriptors, which may pass
				continue
			}
			return
		}
		d.mu.Lock()
		full := len(d.callers) >= d.settings.Limits.Connections
		if full {
			d.rejected++
		}
		d.mu.Unlock()
		if full {
			d.log.Warn("connection rejected: limit reached", "from", netConn.RemoteAddr(), "limit", d.settings.Limits.Connections)
			netConn.Close()
			continue
		}
		peer := controller.Peer{Role: controller.RoleCaller, ID: id}
		d.inbox.put(guard.Completion, controller.Input{Kind: controller.InputConnected, Peer: peer})
		announced := make(chan struct{})
		close(announced)
		recorder := d.capture.Open(transport.ConnectionKey(netConn, false), capture.Endpoint{Owner: CaptureOwner(d.settings.Number), Role: "caller"})
		d.mu.Lock()
		d.callers[id] = transport.Start(netConn, d.connectionOptions(recorder), &connectionHandler{d, peer, announced})
		d.mu.Unlock()
	}
}

// connectionHandler puts the events of a connection into the inbox.
type connectionHandler struct {
	daemon    *Daemon
	peer      controller.Peer
	announced <-chan struct{} // closed when InputConnected is in the inbox
}

// Message puts a received message into the inbox. A new call that is shed is rejected here.
func (handler *connectionHandler) Message(conn *transport.Conn[*signal.Message], msg *signal.Message) {
	input := controller.Input{Kind: controller.InputMessage, Peer: handler.peer, Message: msg}
	if handler.daemon.inbox.put(inputKind(input), input) {
		return
	}
	if msg.Kind == signal.Request && msg.Command == signal.Add { // shed, not accepted
		conn.Send(msg.NewErrorReply(signal.InsufficientResources, "the controller can't keep up").Put("Taken", "no"), 0)
	}
}

// Unreadable reports a message that can't be parsed.
func (handler *connectionHandler) Unreadable(_ *transport.Conn[*signal.Message], unreadable transport.RecoverableError) {
	handler.daemon.inbox.put(guard.Completion, controller.Input{Kind: controller.InputMalformed, Peer: handler.peer, SyntaxError: *unreadable.(*signal.SyntaxError)})
}

// Unsent reports a set-up that was not sent.
func (handler *connectionHandler) Unsent(_ *transport.Conn[*signal.Message], msg *signal.Message) {
	handler.daemon.inbox.put(guard.Completion, controller.Input{Kind: controller.InputUnsent, Peer: handler.peer, Message: msg})
}

// Closed reports the end of the connection, after its start was reported.
func (handler *connectionHandler) Closed(conn *transport.Conn[*signal.Message], why error) {
	handler.daemon.log.Debug("connection closed", "peer", handler.peer.Role, "id", handler.peer.ID, "why", why)
	if handler.peer.Role == controller.RoleCaller {
		handler.daemon.mu.Lock()
		delete(handler.daemon.callers, handler.peer.ID)
		handler.daemon.mu.Unlock()
	}
	<-handler.announced
	handler.daemon.inbox.put(guard.Completion, controller.Input{Kind: controller.InputDisconnected, Peer: handler.peer})
}

// linkKeeper keeps a permanent link to one peer: it connects again when the
// connection is lost.
type linkKeeper struct {
	daemon *Daemon
	peer   controller.Peer
	cancel context.CancelFunc
	done   chan struct{}

	mu         sync.Mutex
	connection *transport.Conn[*signal.Message] // nil while disconnected
	blocked    bool                             // no set-ups may be sent
}

// keepLink starts a permanent link to a peer, in place of a link at another address.
func (d *Daemon) keepLink(ctx context.Context, peer controller.Peer, addr string) {
	previous := d.dropLink(peer)
	ctx, cancel := context.WithCancel(ctx)
	keeper := &linkKeeper{daemon: d, peer: peer, cancel: cancel, done: make(chan struct{})}
	d.mu.Lock()
	d.links[peer] = keeper
	d.mu.Unlock()
	d.wg.Go(func() {
		defer close(keeper.done)
		if previous != nil {
			<-previous.done // its InputDisconnected precedes the new InputConnected
		}
		keeper.run(ctx, addr)
	})
}

// linkTo returns the permanent link to a peer, nil if there is none.
func (d *Daemon) linkTo(peer controller.Peer) *linkKeeper {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links[peer]
}

// dropLink ends the permanent link to a peer and returns it, nil if there is none.
func (d *Daemon) dropLink(peer controller.Peer) *linkKeeper {
	d.mu.Lock()
	keeper := d.links[peer]
	delete(d.links, peer)
	d.mu.Unlock()
	if keeper != nil {
		keeper.cancel()
	}
	return keeper
}

// current returns the current connection, nil while disconnected.
func (keeper *linkKeeper) current() *transport.Conn[*signal.Message] {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	return keeper.connection
}

// setBlocked stops or resumes the sending of set-ups, also on later connections.
func (keeper *linkKeeper) setBlocked(blocked bool) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	keeper.blocked = blocked
	switch {
	case keeper.connection == nil:
	case blocked:
		keeper.connection.BlockSetUps()
	default:
		keeper.connection.UnblockSetUps()
	}
}

// run connects to the peer and serves the connection, again and again until ctx ends.
func (keeper *linkKeeper) run(ctx context.Context, addr string) {
	d := keeper.daemon
	retry := guard.Backoff{
		Min: d.settings.Peers.MinRetryDelay,
		Max: d.settings.Peers.MaxRetryDelay,
		// Used for jitter only; no decision depends on it.
		Random: rand.New(rand.NewPCG(d.settings.Seed, uint64(d.settings.Number)<<32^keeper.peer.ID)),
	}
	for attempts := 1; ctx.Err() == nil; attempts++ {
		netConn, err := d.network.Dial(ctx, addr)
		if err == nil {
			connectedAt := time.Now()
			keeper.serve(ctx, netConn)
			if time.Since(connectedAt) > d.settings.Peers.MaxRetryDelay {
				attempts = 1
			}
		} else if ctx.Err() == nil {
			d.log.Debug("dialling", "peer", keeper.peer.Role, "id", keeper.peer.ID, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry.Delay(attempts)):
		}
	}
}

// serve runs one connection until it is closed or ctx ends.
func (keeper *linkKeeper) serve(ctx context.Context, netConn net.Conn) {
	d := keeper.daemon
	recorder := d.capture.Open(transport.ConnectionKey(netConn, true), capture.Endpoint{
		Owner:  CaptureOwner(d.settings.Number),
		Role:   keeper.peer.Role.String(),
		Peer:   keeper.peer.ID,
		Dialed: true,
	})
	announced := make(chan struct{})
	keeper.mu.Lock()
	conn := transport.Start(netConn, d.connectionOptions(recorder), &connectionHandler{d, keeper.peer, announced})
	if keeper.connection = conn; keeper.blocked {
		conn.BlockSetUps()
	}
	keeper.mu.Unlock()
	d.inbox.put(guard.Completion, controller.Input{Kind: controller.InputConnected, Peer: keeper.peer})
	close(announced)
	select {
	case <-conn.Done():
	case <-ctx.Done():
		conn.Close(transport.ErrClosed)
		<-conn.Done()
	}
	keeper.mu.Lock()
	keeper.connection = nil
	keeper.mu.Unlock()
}
