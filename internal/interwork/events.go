package interwork

import (
	"log/slog"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
	"dahliaspindle/internal/srvlist"
)

// Input is an event that the core handles.
type Input interface{ input() }

type (
	// CallerConnected reports that a connection of a caller was accepted.
	CallerConnected struct{ Conn ConnID }
	// CallerMessage is a message of a caller. ReceivedAt is the time at which its last byte was read.
	CallerMessage struct {
		Conn       ConnID
		ReceivedAt time.Duration
		Msg        *isup.Message
	}
	// SetUpShed reports that a set-up of a caller was rejected before it reached the core.
	SetUpShed struct{ Conn ConnID }
	// CallerDisconnected reports that a connection of a caller was closed.
	CallerDisconnected struct{ Conn ConnID }
	// LinkUp reports that a dialed connection to an exchange is established.
	LinkUp struct{ Link LinkID }
	// LinkMessage is a message of an exchange.
	LinkMessage struct {
		Link LinkID
		Msg  *sip.Message
	}
	// Unsent reports that a set-up was not sent and will not be.
	Unsent struct {
		Link LinkID
		Msg  *sip.Message
	}
	// LinkDown reports that a connection to an exchange was closed or could not be established.
	LinkDown struct {
		Link        LinkID
		Refused     bool // the exchange refused the connection
		Unconfirmed bool // this end closed the connection, and the exchange may not have noticed
	}
	// ExchangeListUpdate brings the whole exchange list or changes to it.
	ExchangeListUpdate struct {
		Complete bool
		Changes  []srvlist.Entry
	}
	// Shutdown starts a graceful shutdown.
	Shutdown struct{}
	// Tick reports that time has passed.
	Tick struct{}
)

func (CallerConnected) input()    {}
func (CallerMessage) input()      {}
func (SetUpShed) input()          {}
func (CallerDisconnected) input() {}
func (LinkUp) input()             {}
func (LinkMessage) input()        {}
func (Unsent) input()             {}
func (LinkDown) input()           {}
func (ExchangeListUpdate) input() {}
func (Shutdown) input()           {}
func (Tick) input()               {}

// Effect is an action that the core requests. Effects must be carried out in order.
type Effect interface{ effect() }

type (
	// SendToCaller sends a message to a caller.
	SendToCaller struct {
		Conn ConnID
		Msg  *isup.Message
	}
	// CloseConn closes a connection of a caller once all messages sent on it are written. Set-ups that
	// were read before are still passed to the core, which rejects them.
	CloseConn struct {
		Conn   ConnID
		Reason string
	}
	// Dial opens a connection to an exchange.
	Dial struct {
		Link    LinkID
		Addr    string
		Timeout time.Duration
	}
	// SendToExchange sends a message to an exchange. A set-up that cannot be sent before Deadline is
	// reported as Unsent.
	SendToExchange struct {
		Link     LinkID
		Msg      *sip.Message
		Deadline time.Duration
	}
	// WithdrawSetUp withdraws the set-up with the given Call-ID. If it was sent already, Cancel is sent.
	WithdrawSetUp struct {
		Link   LinkID
		CallID string
		Cancel *sip.Message
	}
	// HoldSetUps holds back the unsent set-ups on a link while its exchange is not in service (Hold is
	// true), or lets them go out again.
	HoldSetUps struct {
		Link LinkID
		Hold bool
	}
	// CloseLink closes a connection to an exchange. If it is idle, messages are still received until the
	// exchange closes its side; otherwise data that the exchange has not read yet is discarded.
	CloseLink struct {
		Link   LinkID
		Reason string
		Idle   bool
	}
	// CloseListener closes the listener for callers.
	CloseListener struct{}
	// ShutdownComplete reports that no answer is pending any more and the process may exit.
	ShutdownComplete struct{}
	// Log writes a log record.
	Log struct {
		Level   slog.Level
		Message string
		Args    []any
	}
)

func (SendToCaller) effect()     {}
func (CloseConn) effect()        {}
func (Dial) effect()             {}
func (SendToExchange) effect()   {}
func (WithdrawSetUp) effect()    {}
func (HoldSetUps) effect()       {}
func (CloseLink) effect()        {}
func (CloseListener) effect()    {}
func (ShutdownComplete) effect() {}
func (Log) effect()              {}
