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

// Limits of a node.
const (
	reservedDescriptors     = 24              // for the listener, the resolver socket and the Go runtime, with a margin
	maxPendingSetUpsPerConn = 128             // unanswered set-ups on one caller's connection
	maxPendingSetUps        = 512             // unanswered set-ups from which on connections get equal shares; a controller that gets 190 calls a second has some 250
	pendingMemoryShare      = 16              // part of the memory that descriptions of unanswered set-ups may take; the collector needs as much again
	maxCalls                = 1 << 16         // unanswered and established calls
	memoryPerCall           = 2 << 10         // bytes of memory that there must be for each of them; it takes some 400, and the collector as much again
	inboxCapacity           = 512             // inputs waiting for the core
	outboxCapacity          = 2048            // messages waiting on one connection
	writeTimeout            = 2 * time.Second // a peer that accepts no data for that long is disconnected
	callerMessageTimeout    = 2 * time.Second // from the first to the last byte of a caller's message
	exchangeMessageTimeout  = time.Second     // from the first to the last byte of an exchange's message
	clockStart              = time.Hour       // clock value at the start, so that earlier events have positive times
	flushTimeout            = 200 * time.Millisecond
	lingerTimeout           = 500 * time.Millisecond // time for the peer to close its side of a connection that we close
	recallTimeout           = 50 * time.Millisecond  // for a write that contains a recalled set-up
)

// intake sheds new calls when the core falls behind, because it would answer them too late.
var intake = guard.Intake{Capacity: inboxCapacity}

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

	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	listener net.Listener

	callers         map[interwork.ConnID]*callerConn // used by the core's goroutine only, like links and dials
	links           map[interwork.LinkID]*linkConn
	dials           map[interwork.LinkID]context.CancelFunc
	callerConnCount atomic.Int64
	maxCallerConns  int64
	rejectedConns   atomic.Int64 // connections closed right after accept
	shedSetUps      atomic.Int64 // set-ups refused because the core had fallen behind
	undelivered     int          // messages that no connection accepted
	inboxStats      inboxStats
	stopped         bool
}

// Run runs a controller until it receives SIGTERM or SIGINT and has shut down.
// SIGHUP makes it read the configuration again.
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
	listener, err := net.Listen("tcp", cfg.ListenAddr)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	n := newNode(cfg, listener, log)
	return n.run(hup, term, func() (*Config, error) { return ReadConfig(env) })
}

func newNode(cfg *Config, listener net.Listener, log *slog.Logger) *Node {
	n := &Node{
		cfg:      cfg,
		log:      log,
		listener: listener,
		start:    time.Now(),
		inbox:    make(chan interwork.Input, inboxCapacity),
		callers:  map[interwork.ConnID]*callerConn{},
		links:    map[interwork.LinkID]*linkConn{},
		dials:    map[interwork.LinkID]context.CancelFunc{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	available := cfg.MaxDescriptors - reservedDescriptors
	callerConns := available / 2
	n.maxCallerConns = int64(callerConns + callerConns/8) // the excess is for the time until the core has closed others
	callLimit := min(maxCalls, int(cfg.MemoryBytes/memoryPerCall))
	n.core = interwork.New(interwork.Config{
		Module:              policy.New("brain", cfg.ModuleSettings),
		Settings:            cfg.ModuleSettings,
		ConnectTimeout:      cfg.ConnectTimeout,
		EpochUnixNano:       n.start.Add(-clockStart).UnixNano(),
		MaxLinks:            available / 3,
		ExchangeIdleTimeout: cfg.IdleTimeout,
		MaxConns:            callerConns,
		MaxPendingPerConn:   maxPendingSetUpsPerConn,
		MaxPending:          maxPendingSetUps,
		MaxPendingBytes:     int(cfg.MemoryBytes / pendingMemoryShare),
		MaxCalls:            callLimit,
		MaxAdopted:          callLimit / 2, // leaves room for new calls, whatever callers name
		LogAllVerdicts:      log.Enabled(n.ctx, slog.LevelDebug),
	}, n.now())
	return n
}

// now returns the time of the controller's clock.
func (n *Node) now() time.Duration { return clockStart + time.Since(n.start) }

func (n *Node) run(hup, term <-chan os.Signal, rereadConfig func() (*Config, error)) error {
	n.log.Info("starting", "name", n.cfg.Name, "listen", n.cfg.ListenAddr, "resolver", n.cfg.ResolverAddr, "sockets", n.cfg.MaxDescriptors,
		"memory", n.cfg.MemoryBytes, "exchanges", len(n.cfg.ExchangeList.Entries()))
	n.log.Debug("settings", "module", fmt.Sprintf("%+v", n.cfg.ModuleSettings))
	n.process(interwork.ExchangeListUpdate{Complete: true, Changes: n.cfg.ExchangeList.Entries()})
	resolver := newResolver(n, n.cfg.ExchangeList)
	n.wg.Go(func() { resolver.run(n.cfg.ResolverAddr) })
	n.wg.Go(n.acceptCallers)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !n.stopped {
		timer.Reset(max(n.core.NextTick()-n.now(), 0))
		select {
		case in := <-n.inbox:
			n.process(in)
			if len(n.inbox) > 0 { // lets the writers run first, so that a CANCEL is written before the next INVITE of its call
				runtime.Gosched()
			}
		case <-timer.C:
			n.process(interwork.Tick{})
		case <-hup:
			cfg, err := rereadConfig()
			if err != nil {
				n.log.Error("configuration read again, the old one is kept", "error", err)
				continue
			}
			n.log.Info("configuration read again", "resolver", cfg.ResolverAddr)
			resolver.use(cfg.ResolverAddr)
		case <-term:
			n.log.Info("leaving")
			n.process(interwork.Shutdown{})
		}
	}
	n.closeConnections()
	n.cancel()
	n.wg.Wait()
	for len(n.inbox) > 0 {
		discard(<-n.inbox)
	}
	n.log.Info("left", "stats", n.core.Stats, "turned_away", n.rejectedConns.Load(), "shed", n.shedSetUps.Load(), "unsaid", n.undelivered)
	return nil
}

var errShuttingDown = errors.New("shutting down")

// discard releases the resources of an input that the core will not process any more.
func discard(in interwork.Input) {
	switch in := in.(type) {
	case sharedInput:
		in.share.release()
	case callerAccepted:
		in.conn.Close(errShuttingDown)
		close(in.registered)
	case dialResult:
		if in.netConn != nil {
			in.netConn.Close()
		}
	}
}

// closeConnections closes all connections once their queued messages are
// written, or after flushTimeout.
func (n *Node) closeConnections() {
	n.listener.Close()
	var pending []<-chan struct{}
	for _, c := range n.callers {
		c.FlushAndClose(errShuttingDown)
		pending = append(pending, c.Done())
	}
	for _, c := range n.links {
		c.FlushAndClose(errShuttingDown)
		pending = append(pending, c.Done())
	}
	timeout := time.After(flushTimeout)
	for _, done := range pending {
		for closed := false; !closed; {
			select {
			case <-done:
				closed = true
			case in := <-n.inbox:
				discard(in)
			case <-timeout:
				n.cancel()
				for _, c := range n.callers {
					c.Close(errShuttingDown)
				}
				for _, c := range n.links {
					c.Close(errShuttingDown)
				}
				return
			}
		}
	}
}

// enqueue passes an input to the core's goroutine.
func (n *Node) enqueue(in interwork.Input) {
	select {
	case n.inbox <- in:
	case <-n.ctx.Done():
	}
}

// process passes one input to the core and carries out the resulting effects.
func (n *Node) process(in interwork.Input) {
	switch in := in.(type) {
	case sharedInput:
		n.inboxStats.note(n.now() - in.queuedAt)
		n.process(in.Input)
		in.share.release()
		return
	case callerAccepted:
		n.callers[in.id] = in.conn
		n.process(interwork.CallerConnected{Conn: in.id})
		close(in.registered)
		return
	case dialResult:
		n.handleDialResult(in)
		return
	case closeCaller:
		if c := n.callers[in.id]; c != nil {
			c.FlushAndClose(errors.New(in.reason))
		}
		return
	case interwork.CallerMessage:
		if c := n.callers[in.Conn]; c != nil && interwork.IsNewCall(in.Msg) && c.HasPeerLeft() {
			return // the caller disconnected while its set-up was unread or waited in the inbox
		}
	case interwork.CallerDisconnected:
		delete(n.callers, in.Conn)
	case interwork.LinkDown:
		delete(n.links, in.Link)
	}
	n.inboxStats.log(n)
	for _, effect := range n.core.Handle(n.now(), in) {
		switch effect := effect.(type) {
		case interwork.SendToCaller:
			if c := n.callers[effect.Conn]; c == nil || !c.Send(effect.Msg, 0) {
				n.undelivered++
			}
		case interwork.CloseConn:
			n.enqueueAsync(closeCaller{id: effect.Conn, reason: effect.Reason}) // after what was already read from the connection
		case interwork.Dial:
			n.dial(effect)
		case interwork.SendToExchange:
			switch c := n.links[effect.Link]; {
			case c != nil && c.Send(effect.Msg, effect.Deadline):
			case effect.Msg.IsSetUp():
				n.enqueueAsync(interwork.Unsent{Link: effect.Link, Msg: effect.Msg})
			default:
				n.undelivered++
			}
		case interwork.WithdrawSetUp:
			if c := n.links[effect.Link]; c != nil && !c.Recall(func(m *sip.Message) bool { return m.CallID == effect.CallID }) {
				c.Send(effect.Cancel, 0)
			}
		case interwork.HoldSetUps:
			if c := n.links[effect.Link]; c != nil && effect.Hold {
				c.BlockSetUps()
			} else if c != nil {
				c.UnblockSetUps()
			}
		case interwork.CloseLink:
			if cancelDial := n.dials[effect.Link]; cancelDial != nil {
				cancelDial()
			}
			if c := n.links[effect.Link]; c != nil && effect.Idle {
				c.FlushAndClose(errors.New(effect.Reason))
			} else if c != nil {
				c.Close(errors.New(effect.Reason))
			}
		case interwork.CloseListener:
			n.listener.Close()
		case interwork.ShutdownComplete:
			n.stopped = true
		case interwork.Log:
			n.log.Log(n.ctx, effect.Level, effect.Message, effect.Args...)
		}
	}
}

// enqueueAsync enqueues an input from the core's own goroutine, which must not
// block on a full inbox.
func (n *Node) enqueueAsync(in interwork.Input) {
	select {
	case n.inbox <- in:
	default:
		n.wg.Go(func() { n.enqueue(in) })
	}
}

// Inputs that the node handles itself.
type (
	// callerAccepted announces a new connection of a caller.
	callerAccepted struct {
		interwork.Input
		id         interwork.ConnID
		conn       *callerConn
		registered chan struct{} // closed once the core knows the connection
	}
	// closeCaller closes a caller's connection.
	closeCaller struct {
		interwork.Input
		id     interwork.ConnID
		reason string
	}
	// dialResult is the outcome of opening a connection to an exchange.
	dialResult struct {
		interwork.Input
		id      interwork.LinkID
		netConn net.Conn
		err     error
	}
	// sharedInput is an input that takes up a part of its connection's share of the inbox.
	sharedInput struct {
		interwork.Input
		share    *inboxShare
		queuedAt time.Duration
	}
)
