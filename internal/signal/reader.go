package signal

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
)

// Limits bound what one message may be. A zero field takes the default.
type Limits struct {
	MaxLineBytes    int // bytes of one line
	MaxMessageBytes int // bytes of one message
	MaxDescriptors  int // descriptors of one message
}

// DefaultLimits are far above what the commands need.
var DefaultLimits = Limits{MaxLineBytes: 1024, MaxMessageBytes: 16 << 10, MaxDescriptors: 128}

func (l Limits) orDefault() Limits {
	if l.MaxLineBytes <= 0 {
		l.MaxLineBytes = DefaultLimits.MaxLineBytes
	}
	if l.MaxMessageBytes <= 0 {
		l.MaxMessageBytes = DefaultLimits.MaxMessageBytes
	}
	if l.MaxDescriptors <= 0 {
		l.MaxDescriptors = DefaultLimits.MaxDescriptors
	}
	return l
}

// SyntaxError is a message that can't be read while its framing holds: the
// next one can be. ID is the transaction's where that much could be read.
type SyntaxError struct {
	ID     uint32
	Code   Code
	Reason string
}

// Recoverable marks it as an error after which the reader reads on.
func (e *SyntaxError) Recoverable() {}

func (e *SyntaxError) Error() string { return fmt.Sprintf("%d %s", int(e.Code), e.Reason) }

// ErrFraming says that no next message can be found: the connection is to be closed.
var ErrFraming = errors.New("framing lost")

const (
	buffer = 4096
	// skipBlocks is how many times the largest block is read over to find the
	// end of one that is too large.
	skipBlocks = 4
)

// Reader reads messages from a stream. Its memory is bounded by Limits,
// whatever comes.
type Reader struct {
	limit  Limits
	budget *io.LimitedReader
	text   *textproto.Reader
}

// NewReader reads from r.
func NewReader(r io.Reader, limit Limits) *Reader {
	limit = limit.orDefault()
	budget := &io.LimitedReader{R: r}
	return &Reader{limit: limit, budget: budget, text: textproto.NewReader(bufio.NewReaderSize(budget, buffer))}
}

// Read returns the next message. It returns io.EOF at the end between two
// messages, *SyntaxError where the stream goes on behind a bad message, and
// ErrFraming or the stream's own error where it does not.
func (r *Reader) Read() (*Message, error) {
	// Bytes are counted as they are taken from the stream, so up to a buffer
	// more than the block may be taken: the check by lines below is exact.
	r.budget.N = int64(r.limit.MaxMessageBytes + buffer)
	m := &Message{}
	size, fields := 0, 0
	var bad *SyntaxError
	for {
		line, err := r.text.ReadLine()
		if err != nil {
			if r.budget.N <= 0 {
				return nil, r.skip(m.ID, bad)
			}
			if size > 0 && errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if size == 0 {
				continue // blank lines between messages say nothing
			}
			if bad != nil {
				return nil, bad
			}
			return m, nil
		}
		first := size == 0
		size += len(line) + 2
		switch {
		case bad != nil: // read on to the end of the block
		case len(line) > r.limit.MaxLineBytes:
			bad = &SyntaxError{m.ID, MessageTooLarge, fmt.Sprintf("a line of over %d bytes", r.limit.MaxLineBytes)}
		case size > r.limit.MaxMessageBytes:
			bad = &SyntaxError{m.ID, MessageTooLarge, fmt.Sprintf("a message of over %d bytes", r.limit.MaxMessageBytes)}
		case first:
			bad = m.head(line)
		default:
			if fields++; fields > r.limit.MaxDescriptors {
				bad = &SyntaxError{m.ID, MessageTooLarge, fmt.Sprintf("over %d descriptors", r.limit.MaxDescriptors)}
				break
			}
			bad = m.field(line)
		}
		if size > r.limit.MaxMessageBytes*(1+skipBlocks) {
			return nil, fmt.Errorf("%w: a message of over %d bytes", ErrFraming, size)
		}
	}
}

// skip reads over the rest of a block that is too large, up to a bound.
func (r *Reader) skip(id uint32, bad *SyntaxError) error {
	r.budget.N = int64(r.limit.MaxMessageBytes * skipBlocks)
	for {
		part, err := r.text.R.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if r.budget.N <= 0 {
				return fmt.Errorf("%w: no end of a message within %d bytes", ErrFraming, r.limit.MaxMessageBytes*skipBlocks)
			}
			return err
		}
		if err == nil && len(bytes.TrimRight(part, "\r\n")) == 0 {
			if bad == nil {
				bad = &SyntaxError{id, MessageTooLarge, fmt.Sprintf("a message of over %d bytes", r.limit.MaxMessageBytes)}
			}
			return bad
		}
	}
}

// head reads the first line.
func (m *Message) head(line string) *SyntaxError {
	if i := strings.IndexFunc(line, control); i >= 0 {
		return &SyntaxError{0, BadSyntax, fmt.Sprintf("control character at byte %d of the first line", i+1)}
	}
	word, rest, _ := strings.Cut(line, " ")
	name, value, _ := strings.Cut(word, "=")
	switch name {
	case "Transaction":
	case "Reply":
		m.Kind = Reply
	case "Pending":
		m.Kind = Pending
	case "Error":
		m.Kind = ErrorMessage
		code, err := strconv.ParseUint(value, 10, 16)
		if err != nil || code == 0 {
			return &SyntaxError{0, BadSyntax, "Error without a code"}
		}
		m.Code, m.Text = Code(code), rest
		return nil
	default:
		return &SyntaxError{0, BadSyntax, fmt.Sprintf("%.40q opens no message", word)}
	}
	id, err := strconv.ParseUint(value, 10, 32)
	if err != nil || id == 0 {
		return &SyntaxError{0, BadTransaction, fmt.Sprintf("%.40q is no transaction id", value)}
	}
	m.ID = uint32(id)
	if m.Kind == Pending {
		if rest != "" {
			return &SyntaxError{m.ID, BadTransaction, "words behind Pending"}
		}
		return nil
	}
	word, rest, _ = strings.Cut(rest, " ")
	name, value, _ = strings.Cut(word, "=")
	if name != "Context" {
		return &SyntaxError{m.ID, BadTransaction, "Context is missing"}
	}
	switch value {
	case "-":
	case "$":
		m.Context = ContextChoose
	default:
		c, err := strconv.ParseUint(value, 10, 32)
		if err != nil || c == 0 || uint32(c) >= ContextChoose {
			return &SyntaxError{m.ID, UnknownContext, fmt.Sprintf("%.40q is no context", value)}
		}
		m.Context = uint32(c)
	}
	name, value, _ = strings.Cut(rest, "=")
	command, ok := commands[name]
	if !ok {
		return &SyntaxError{m.ID, UnknownCommand, fmt.Sprintf("%.40q is no command", name)}
	}
	if value == "" || len(value) > MaxTerminationBytes {
		return &SyntaxError{m.ID, BadIdentifier, "a termination has 1 to " + strconv.Itoa(MaxTerminationBytes) + " bytes"}
	}
	m.Command, m.Termination = command, value
	return nil
}

// MaxTerminationBytes is the longest name of a termination, in bytes.
const MaxTerminationBytes = 64

func (m *Message) field(line string) *SyntaxError {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || m.Kind == Pending || m.Kind == ErrorMessage {
		return &SyntaxError{m.ID, BadTransaction, fmt.Sprintf("%.40q is no descriptor", line)}
	}
	if strings.IndexFunc(line, control) >= 0 {
		return &SyntaxError{m.ID, BadTransaction, fmt.Sprintf("control character in %.40q", name)}
	}
	value = strings.TrimPrefix(value, " ")
	if name == "Error" && m.Kind == Reply && m.Code == 0 {
		word, rest, _ := strings.Cut(value, " ")
		code, err := strconv.ParseUint(word, 10, 16)
		if err != nil || code == 0 {
			return &SyntaxError{m.ID, BadTransaction, "Error without a code"}
		}
		m.Code, m.Text = Code(code), rest
		return nil
	}
	if m.Descriptors == nil {
		m.Descriptors = make([]Field, 0, 8)
	}
	m.Descriptors = append(m.Descriptors, Field{name, value})
	return nil
}

func control(c rune) bool { return c < ' ' || c == 0x7f }

// NewReadFunc makes readers within limits, one for each connection.
func NewReadFunc(l Limits) func(net.Conn) func() (*Message, error) {
	return func(nc net.Conn) func() (*Message, error) { return NewReader(nc, l).Read }
}
