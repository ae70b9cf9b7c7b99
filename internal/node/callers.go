package node

import (
	"errors"
	"net"
	"runtime"
	"time"

	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/interwork"
	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/transport"
)

// acceptCallers accepts callers' connections. It continues when descriptors run out.
func (n *Node) acceptCallers() {
	for id := interwork.ConnID(1); ; id++ {
		netConn, err := n.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || n.ctx.Err() != nil {
				return
			}
			n.log.Warn("accepting a connection failed", "error", err)
			select {
			case <-time.After(10 * time.Millisecond):
				continue
			case <-n.ctx.Done():
				return
			}
		}
		if n.callerConnCount.Load() >= n.maxCallerConns {
			n.rejectedConns.Add(1)
			netConn.Close()
			runtime.Gosched() // lets the core run between two of them
			continue
		}
		n.callerConnCount.Add(1)
		handler := &callerHandler{node: n, id: id, registered: make(chan struct{}), share: newInboxShare(n, maxInputsPerCaller)}
		conn := transport.Start(netConn, transport.Options[*isup.Message]{
			Reader:        handler.reader,
			Outbox:        guard.Outbox{Capacity: outboxCapacity},
			WriteTimeout:  writeTimeout,
			LingerTimeout: lingerTimeout,
			Now:           n.now,
		}, handler)
		select {
		case n.inbox <- callerAccepted{id: id, conn: conn, registered: handler.registered}:
		case <-n.ctx.Done():
			conn.Close(errShuttingDown)
		}
	}
}

// callerHandler passes the events of a caller's connection to the core.
type callerHandler struct {
	node       *Node
	id         interwork.ConnID
	registered chan struct{}
	share      *inboxShare
}

func (h *callerHandler) reader(netConn net.Conn) func() (*isup.Message, error) {
	return isup.NewReader(netConn, limitMessageTime(netConn, callerMessageTimeout)).Read
}

// limitMessageTime returns a function for message readers that limits the time
// from the first byte of a message to its last.
func limitMessageTime(netConn net.Conn, timeout time.Duration) func(bool) {
	return func(partial bool) {
		deadline := time.Time{}
		if partial {
			deadline = time.Now().Add(timeout)
		}
		_ = netConn.SetReadDeadline(deadline) // fails only on a closed connection
	}
}

func (h *callerHandler) Message(c *callerConn, m *isup.Message) {
	receivedAt := h.node.now()
	h.waitRegistered()
	h.share.acquire()
	if interwork.IsNewCall(m) && intake.Admit(guard.NewCall, len(h.node.inbox)) == guard.Shed {
		h.node.shedSetUps.Add(1)
		c.Send(interwork.NewRejection(m.CallID, h.node.cfg.ModuleSettings), 0)
		h.share.enqueue(interwork.SetUpShed{Conn: h.id}) // the next one is read after the core has handled this
		return
	}
	h.share.enqueue(interwork.CallerMessage{Conn: h.id, ReceivedAt: receivedAt, Msg: m})
}

// waitRegistered waits until the core knows the connection.
func (h *callerHandler) waitRegistered() {
	select {
	case <-h.registered:
	case <-h.node.ctx.Done():
	}
}

func (h *callerHandler) Unreadable(*callerConn, transport.RecoverableError) {}

func (h *callerHandler) Unsent(*callerConn, *isup.Message) {}

func (h *callerHandler) Closed(_ *callerConn, reason error) {
	h.node.callerConnCount.Add(-1)
	h.node.log.Debug("caller's connection closed", "conn", h.id, "why", reason)
	h.waitRegistered()
	h.node.enqueue(interwork.CallerDisconnected{Conn: h.id})
}
