// Package signal is the command language: text transactions in the style of
// H.248 (ITU-T H.248.1), one block of lines each, over any byte stream. It
// frames, reads and writes messages and knows no call, route or clock.
// docs/protocol.md has the grammar and an example of every command.
package signal

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Kind tells what a message is.
type Kind uint8

const (
	Request      Kind = iota // Transaction=ID: a command
	Reply                    // Reply=ID: its one final answer
	Pending                  // Pending=ID: received, the final answer comes later
	ErrorMessage             // Error=CODE: says what was wrong with something that has no usable id
)

// Command is the verb of a transaction (H.248.1, clause 7.2).
type Command string

const (
	Add           Command = "Add"           // set a call up
	Modify        Command = "Modify"        // ask for events
	Subtract      Command = "Subtract"      // release a call
	Notify        Command = "Notify"        // tell an event
	ServiceChange Command = "ServiceChange" // introduce oneself, or say that service ends
	AuditValue    Command = "AuditValue"    // ask for figures; also the sign of life
)

var commands = map[string]Command{"Add": Add, "Modify": Modify, "Subtract": Subtract, "Notify": Notify,
	"ServiceChange": ServiceChange, "AuditValue": AuditValue}

// Root names the whole of a peer where a command concerns no single call.
const Root = "ROOT"

// Contexts with a meaning of their own (H.248.1, clause 6.1).
const (
	ContextNull   uint32 = 0          // "-"
	ContextChoose uint32 = 0xFFFFFFFE // "$"
)

// Code is an error code of H.248.8.
type Code int

// The codes in use, with the words of docs/protocol.md.
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

// Field is one descriptor: a name, and its value on one line.
type Field struct{ Name, Value string }

// Message is one block of the language.
type Message struct {
	Kind        Kind
	ID          uint32 // of the transaction, from 1; 0 with Fault
	Context     uint32
	Command     Command
	Termination string // termination: a call id, or Root
	Code        Code   // with Fault, and in a Reply that is an error; 0 else
	Text        string // to Code
	Descriptors []Field
}

// Get returns the first descriptor of a name, "" if there is none.
func (m *Message) Get(name string) string {
	for i := range m.Descriptors {
		if m.Descriptors[i].Name == name {
			return m.Descriptors[i].Value
		}
	}
	return ""
}

// All returns every value of a descriptor, in order.
func (m *Message) All(name string) []string {
	var all []string
	for _, f := range m.Descriptors {
		if f.Name == name {
			all = append(all, f.Value)
		}
	}
	return all
}

// Put adds a descriptor.
func (m *Message) Put(name, value string) *Message {
	m.Descriptors = append(m.Descriptors, Field{name, value})
	return m
}

// PutInt adds a descriptor with a whole number.
func (m *Message) PutInt(name string, v int) *Message { return m.Put(name, strconv.Itoa(v)) }

// PutDuration adds a descriptor with a duration.
func (m *Message) PutDuration(name string, d time.Duration) *Message { return m.Put(name, d.String()) }

// PutFlag adds a descriptor with the value yes, or none.
func (m *Message) PutFlag(name string, set bool) *Message {
	if set {
		m.Put(name, "yes")
	}
	return m
}

// ErrMissingDescriptor says that a descriptor is not there.
var ErrMissingDescriptor = errors.New("is missing")

// Int reads a whole number between least and most.
func (m *Message) Int(name string, least, most int) (int, error) {
	s := m.Get(name)
	if s == "" {
		return 0, fmt.Errorf("%s %w", name, ErrMissingDescriptor)
	}
	v, err := strconv.Atoi(s)
	if err != nil || v < least || v > most {
		return 0, fmt.Errorf("%s: %.40q is not a whole number from %d to %d", name, s, least, most)
	}
	return v, nil
}

// IntOrDefault reads a whole number, or returns what stands for none; a bad one is an error.
func (m *Message) IntOrDefault(name string, least, most, none int) (int, error) {
	if m.Get(name) == "" {
		return none, nil
	}
	return m.Int(name, least, most)
}

// Duration reads a duration that is not negative.
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

// Flag tells whether a descriptor has the value yes.
func (m *Message) Flag(name string) bool { return m.Get(name) == "yes" }

// NewReply starts the reply to a request, with its ids.
func (m *Message) NewReply() *Message {
	return &Message{Kind: Reply, ID: m.ID, Context: m.Context, Command: m.Command, Termination: m.Termination}
}

// NewErrorReply is the reply to a request that says an error.
func (m *Message) NewErrorReply(c Code, text string) *Message {
	r := m.NewReply()
	r.Code, r.Text = c, text
	return r
}

// Append writes the message in its text form. Words that would break the
// framing (line ends, control characters) are replaced by spaces.
func (m *Message) Append(b []byte) []byte {
	switch m.Kind {
	case ErrorMessage:
		b = append(b, "Error="...)
		b = strconv.AppendInt(b, int64(m.Code), 10)
		b = append(b, ' ')
		b = appendClean(b, m.Text)
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
	b = appendClean(b, m.Termination)
	b = append(b, "\r\n"...)
	if m.Code != 0 {
		b = append(b, "Error: "...)
		b = strconv.AppendInt(b, int64(m.Code), 10)
		b = append(b, ' ')
		b = appendClean(b, m.Text)
		b = append(b, "\r\n"...)
	}
	for _, f := range m.Descriptors {
		b = appendClean(b, f.Name)
		b = append(b, ": "...)
		b = appendClean(b, f.Value)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

func appendClean(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if s[i] < ' ' || s[i] == 0x7f {
			b = append(b, ' ')
		} else {
			b = append(b, s[i])
		}
	}
	return b
}

func (m *Message) String() string { return strings.TrimRight(string(m.Append(nil)), "\r\n") }

// FreesResources tells whether the message ends something that is counted: a reply, a
// release, or the end of a call.
func (m *Message) FreesResources() bool {
	return m.Kind == Reply || m.Command == Subtract || m.Command == Notify && m.Termination != Root
}

// IsSetUp reports whether the message opens a call.
func (m *Message) IsSetUp() bool { return m.Kind == Request && m.Command == Add }
