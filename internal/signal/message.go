// Package signal implements the command language: text transactions in the
// style of H.248 (ITU-T H.248.1). Each message is one block of lines and can be
// sent over any byte stream. The package frames, parses and writes messages; it
// holds no state of calls, routes or timers. docs/protocol.md gives the grammar
// and an example of every command.
package signal

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Kind is the type of a message.
type Kind uint8

// The message types and the first words of their first lines.
const (
	Request      Kind = iota // Transaction=ID: carries a command
	Reply                    // Reply=ID: the single final answer to a request
	Pending                  // Pending=ID: the request was received; the final answer follows
	ErrorMessage             // Error=CODE: reports an error in a message without a usable transaction id
)

// Command is the verb of a transaction (H.248.1, clause 7.2).
type Command string

// The commands. Their values are written on the wire.
const (
	Add           Command = "Add"           // set up a call
	Modify        Command = "Modify"        // request notification of events
	Subtract      Command = "Subtract"      // release a call
	Notify        Command = "Notify"        // report an event
	ServiceChange Command = "ServiceChange" // announce that service starts or ends
	AuditValue    Command = "AuditValue"    // request statistics; also used as a keep-alive
)

var commandsByName = map[string]Command{"Add": Add, "Modify": Modify, "Subtract": Subtract, "Notify": Notify,
	"ServiceChange": ServiceChange, "AuditValue": AuditValue}

// Root is the termination of a command that concerns the peer as a whole and no
// single call.
const Root = "ROOT"

// Reserved context ids (H.248.1, clause 6.1) and how they are written.
const (
	ContextNull   uint32 = 0          // "-"
	ContextChoose uint32 = 0xFFFFFFFE // "$"
)

// Code is an error code of H.248.8.
type Code int

// The error codes in use. docs/protocol.md describes each.
const (
	BadSyntax             Code = 400 // syntax error in message
	BadTransaction        Code = 403 // syntax error in transaction request
	BadIdentifier         Code = 410 // incorrect identifier
	UnknownContext        Code = 411 // the transaction refers to an unknown context
	UnknownTermination    Code = 430 // unknown termination
	TerminationInContext  Code = 433 // termination is already in a context
	UnknownCommand        Code = 443 // unsupported or unknown command
	MissingDescriptor     Code = 441 // missing descriptor
	BadValue              Code = 449 // unsupported or unknown parameter value
	NotReady              Code = 502 // not ready
	Unavailable           Code = 503 // service unavailable
	TooManyPending        Code = 506 // number of transactions pending exceeded
	InsufficientResources Code = 510 // insufficient resources
	ServiceStateChanging  Code = 521 // termination is changing its service state
	TemporaryFailure      Code = 530 // temporary network failure
	MessageTooLarge       Code = 533 // message exceeds the maximum size
	DoesNotExist          Code = 581 // does not exist
)

// Field is one descriptor, written as a line with its name and value.
type Field struct{ Name, Value string }

// Message is one message of the command language.
type Message struct {
	Kind        Kind
	ID          uint32 // transaction id, 1 or greater; 0 in an ErrorMessage
	Context     uint32
	Command     Command
	Termination string // call id, or Root
	Code        Code   // set in an ErrorMessage and in an error Reply, else 0
	Text        string // describes Code
	Descriptors []Field
}

// Get returns the value of the first descriptor with the given name, or "" if
// there is none.
func (m *Message) Get(name string) string {
	for i := range m.Descriptors {
		if m.Descriptors[i].Name == name {
			return m.Descriptors[i].Value
		}
	}
	return ""
}

// All returns the values of all descriptors with the given name, in order.
func (m *Message) All(name string) []string {
	var values []string
	for _, d := range m.Descriptors {
		if d.Name == name {
			values = append(values, d.Value)
		}
	}
	return values
}

// Put appends a descriptor and returns the message.
func (m *Message) Put(name, value string) *Message {
	m.Descriptors = append(m.Descriptors, Field{name, value})
	return m
}

// PutInt appends a descriptor with an integer value.
func (m *Message) PutInt(name string, value int) *Message { return m.Put(name, strconv.Itoa(value)) }

// PutDuration appends a descriptor with a duration in the format of time.Duration.
func (m *Message) PutDuration(name string, d time.Duration) *Message { return m.Put(name, d.String()) }

// PutFlag appends a descriptor with the value yes if set is true, and nothing
// otherwise.
func (m *Message) PutFlag(name string, set bool) *Message {
	if set {
		m.Put(name, "yes")
	}
	return m
}

// ErrMissingDescriptor is wrapped by errors about a descriptor that is absent or
// empty.
var ErrMissingDescriptor = errors.New("is missing")

// Int returns the value of a descriptor as an integer from minValue to maxValue.
func (m *Message) Int(name string, minValue, maxValue int) (int, error) {
	s := m.Get(name)
	if s == "" {
		return 0, fmt.Errorf("%s %w", name, ErrMissingDescriptor)
	}
	v, err := strconv.Atoi(s)
	if err != nil || v < minValue || v > maxValue {
		return 0, fmt.Errorf("%s: %.40q is not a whole number from %d to %d", name, s, minValue, maxValue)
	}
	return v, nil
}

// IntOrDefault is like Int, but returns defaultValue if the descriptor is absent
// or empty.
func (m *Message) IntOrDefault(name string, minValue, maxValue, defaultValue int) (int, error) {
	if m.Get(name) == "" {
		return defaultValue, nil
	}
	return m.Int(name, minValue, maxValue)
}

// Duration returns the value of a descriptor as a non-negative duration.
func (m *Message) Duration(name string) (time.Duration, error) {
	s := m.Get(name)
	if s == "" {
		return 0, fmt.Errorf("%s %w", name, ErrMissingDescriptor)
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%s: %.40q is not a duration", name, s)
	}
	return d, nil
}

// Flag reports whether a descriptor has the value yes.
func (m *Message) Flag(name string) bool { return m.Get(name) == "yes" }

// NewReply returns an empty reply to a request, with the request's ids.
func (m *Message) NewReply() *Message {
	return &Message{Kind: Reply, ID: m.ID, Context: m.Context, Command: m.Command, Termination: m.Termination}
}

// NewErrorReply returns a reply that rejects a request with an error code.
func (m *Message) NewErrorReply(code Code, text string) *Message {
	reply := m.NewReply()
	reply.Code, reply.Text = code, text
	return reply
}

// Append appends the text form of the message to b. Line ends and control
// characters within values would break the framing; each is replaced by a space.
func (m *Message) Append(b []byte) []byte {
	switch m.Kind {
	case ErrorMessage:
		b = append(b, "Error="...)
		b = strconv.AppendInt(b, int64(m.Code), 10)
		b = append(b, ' ')
		b = appendSanitized(b, m.Text)
		return append(b, "\r\n\r\n"...)
	case Pending:
		b = append(b, "Pending="...)
		b = strconv.AppendUint(b, uint64(m.ID), 10)
		return append(b, "\r\n\r\n"...)
	case Reply:
		b = append(b, "Reply="...)
	default:
		b = append(b, "Transaction="...)
	}
	b = strconv.AppendUint(b, uint64(m.ID), 10)
	b = append(b, " Context="...)
	switch m.Context {
	case ContextNull:
		b = append(b, '-')
	case ContextChoose:
		b = append(b, '$')
	default:
		b = strconv.AppendUint(b, uint64(m.Context), 10)
	}
	b = append(b, ' ')
	b = append(b, m.Command...)
	b = append(b, '=')
	b = appendSanitized(b, m.Termination)
	b = append(b, "\r\n"...)
	if m.Code != 0 {
		b = append(b, "Error: "...)
		b = strconv.AppendInt(b, int64(m.Code), 10)
		b = append(b, ' ')
		b = appendSanitized(b, m.Text)
		b = append(b, "\r\n"...)
	}
	for _, f := range m.Descriptors {
		b = appendSanitized(b, f.Name)
		b = append(b, ": "...)
		b = appendSanitized(b, f.Value)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// appendSanitized appends s with control characters replaced by spaces.
func appendSanitized(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if s[i] < ' ' || s[i] == 0x7f {
			b = append(b, ' ')
		} else {
			b = append(b, s[i])
		}
	}
	return b
}

// String returns the text form of the message without the line ends that close it.
func (m *Message) String() string { return strings.TrimRight(string(m.Append(nil)), "\r\n") }

// FreesResources reports whether the message ends something that counts against
// a limit: it is a reply, a release or the notification that a call has ended.
func (m *Message) FreesResources() bool {
	return m.Kind == Reply || m.Command == Subtract || m.Command == Notify && m.Termination != Root
}

// IsSetUp reports whether the message is a request to set up a call.
func (m *Message) IsSetUp() bool { return m.Kind == Request && m.Command == Add }
