package node

import (
	"context"
	"errors"
	"net"
	"syscall"

	"dahliaspindle/internal/guard"
	"dahliaspindle/internal/interwork"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/transport"
)

// dial opens a connection to an exchange in the background.
func (n *Node) dial(request interwork.Dial) {
	ctx, cancel := context.WithTimeout(n.ctx, request.Timeout)
	n.dials[request.Link] = cancel
	n.wg.Go(func() {
		defer cancel()
		var dialer net.Dialer
		netConn, err := dialer.DialContext(ctx, "tcp", request.Addr)
		select {
		case n.inbox <- dialResult{id: request.Link, netConn: netConn, err: err}:
		case <-n.ctx.Done():
			if netConn != nil {
				netConn.Close()
			}
		}
	})
}

func (n *Node) handleDialResult(result dialResult) {
	delete(n.dials, result.id)
	if result.err != nil {
		n.log.Debug("dialling", "link", result.id, "error", result.err)
		n.process(interwork.LinkDown{Link: result.id, Refused: errors.Is(result.err, syscall.ECONNREFUSED)})
		return
	}
	handler := &linkHandler{node: n, id: result.id, share: newInboxShare(n, maxInputsPerLink)}
	n.links[result.id] = transport.Start(result.netConn, transport.Options[*sip.Message]{
		Reader:        handler.reader,
		Outbox:        guard.Outbox{Capacity: outboxCapacity},
		WriteTimeout:  writeTimeout,
		DrainGrace:    n.cfg.ModuleSettings.DrainGrace,
		RecallTimeout: recallTimeout,
		LingerTimeout: lingerTimeout,
		AbortOnClose:  true,
		Now:           n.now,
	}, handler)
	n.process(interwork.LinkUp{Link: result.id})
}

// linkHandler passes the events of a connection to an exchange to the core.
type linkHandler struct {
	node  *Node
	id    interwork.LinkID
	share *inboxShare
}

func (h *linkHandler) reader(netConn net.Conn) func() (*sip.Message, error) {
	return sip.NewReader(netConn, limitMessageTime(netConn, exchangeMessageTimeout)).Read
}

func (h *linkHandler) Message(_ *linkConn, m *sip.Message) {
	h.share.acquire()
	h.share.enqueue(interwork.LinkMessage{Link: h.id, Msg: m})
}

func (h *linkHandler) Unreadable(*linkConn, transport.RecoverableError) {}

func (h *linkHandler) Unsent(_ *linkConn, m *sip.Message) {
	h.node.enqueue(interwork.Unsent{Link: h.id, Msg: m})
}

func (h *linkHandler) Closed(c *linkConn, reason error) {
	h.node.log.Debug("link over", "link", h.id, "why", reason)
	h.node.enqueue(interwork.LinkDown{Link: h.id, Unconfirmed: !c.PeerClosed()})
}
