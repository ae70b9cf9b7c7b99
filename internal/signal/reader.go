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

// Limits bounds the size of one message. A field that is zero or negative takes
// its value from DefaultLimits.
type Limits struct {
	MaxLineBytes    int // of one line, without its line end
	MaxMessageBytes int // of one message, line ends included
	MaxDescriptors  int // of one message
}

// DefaultLimits are the limits of a Reader for which none are given; the commands
// need far less.
var DefaultLimits = Limits{MaxLineBytes: 1024, MaxMessageBytes: 16 << 10, MaxDescriptors: 128}

func (l Limits) withDefaults() Limits {
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

// SyntaxError reports a malformed message whose end was found, so that the reader
// can continue with the next one. ID is the transaction id if it could be parsed,
// else 0.
type SyntaxError struct {
	ID     uint32
	Code   Code
	Reason string
}

// Recoverable marks SyntaxError as an error after which reading can continue.
func (e *SyntaxError) Recoverable() {}

// Error returns the code and the reason.
func (e *SyntaxError) Error() string { return fmt.Sprintf("%d %s", int(e.Code), e.Reason) }

// ErrFraming reports that the start of the next message cannot be found. The
// connection must be closed.
var ErrFraming = errors.New("framing lost")

const (
	readBufferBytes = 4096
	// maxSkippedMessages limits the search for the end of an oversized message, in
	// multiples of the maximum message size.
	maxSkippedMessages = 4
)

// Reader reads messages from a stream. Limits bounds its memory for any input.
type Reader struct {
	limits     Limits
	byteBudget *io.LimitedReader // bytes that may still be read from the stream
	text       *textproto.Reader
}

// NewReader returns a Reader of the messages in r.
func NewReader(r io.Reader, limits Limits) *Reader {
	limits = limits.withDefaults()
	byteBudget := &io.LimitedReader{R: r}
	return &Reader{
		limits:     limits,
		byteBudget: byteBudget,
		text:       textproto.NewReader(bufio.NewReaderSize(byteBudget, readBufferBytes)),
	}
}

// Read returns the next message. The error is io.EOF if the stream ends between
// two messages, a *SyntaxError if the message is malformed and the next one can be
// read, and ErrFraming or the error of the stream if reading cannot continue.
func (r *Reader) Read() (*Message, error) {
	// The budget counts bytes as the buffer takes them from the stream, which can be
	// one buffer more than the message. The check by lines below is exact.
	r.byteBudget.N = int64(r.limits.MaxMessageBytes + readBufferBytes)
	m := &Message{}
	size, descriptors := 0, 0
	var syntaxErr *SyntaxError
	for {
		line, err := r.text.ReadLine()
		if err != nil {
			if r.byteBudget.N <= 0 {
				return nil, r.skipMessage(m.ID, syntaxErr)
			}
			if size > 0 && errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if size == 0 {
				continue // blank lines between messages are allowed
			}
			if syntaxErr != nil {
				return nil, syntaxErr
			}
			return m, nil
		}
		isHeader := size == 0
		size += len(line) + 2
		switch {
		case syntaxErr != nil: // read on to the end of the message
		case len(line) > r.limits.MaxLineBytes:
			syntaxErr = &SyntaxError{m.ID, MessageTooLarge, fmt.Sprintf("a line of over %d bytes", r.limits.MaxLineBytes)}
		case size > r.limits.MaxMessageBytes:
			syntaxErr = &SyntaxError{m.ID, MessageTooLarge, fmt.Sprintf("a message of over %d bytes", r.limits.MaxMessageBytes)}
		case isHeader:
			syntaxErr = m.parseHeader(line)
		default:
			if descriptors++; descriptors > r.limits.MaxDescriptors {
				syntaxErr = &SyntaxError{m.ID, MessageTooLarge, fmt.Sprintf("over %d descriptors", r.limits.MaxDescriptors)}
				break
			}
			syntaxErr = m.parseDescriptor(line)
		}
		if size > r.limits.MaxMessageBytes*(1+maxSkippedMessages) {
			return nil, fmt.Errorf("%w: a message of over %d bytes", ErrFraming, size)
		}
	}
}

// skipMessage discards the rest of an oversized message. The result is syntaxErr or
// a new SyntaxError if the end of the message is found within the limit, and
// ErrFraming otherwise.
func (r *Reader) skipMessage(id uint32, syntaxErr *SyntaxError) error {
	r.byteBudget.N = int64(r.limits.MaxMessageBytes * maxSkippedMessages)
	for {
		line, err := r.text.R.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if r.byteBudget.N <= 0 {
				return fmt.Errorf("%w: no end of a message within %d bytes", ErrFraming, r.limits.MaxMessageBytes*maxSkippedMessages)
			}
			return err
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			if syntaxErr == nil {
				syntaxErr = &SyntaxError{id, MessageTooLarge, fmt.Sprintf("a message of over %d bytes", r.limits.MaxMessageBytes)}
			}
			return syntaxErr
		}
	}
}

// parseHeader parses the first line of a message into m.
func (m *Message) parseHeader(line string) *SyntaxError {
	if i := strings.IndexFunc(line, isControl); i >= 0 {
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
		context, err := strconv.ParseUint(value, 10, 32)
		if err != nil || context == 0 || uint32(context) >= ContextChoose {
			return &SyntaxError{m.ID, UnknownContext, fmt.Sprintf("%.40q is no context", value)}
		}
		m.Context = uint32(context)
	}
	name, value, _ = strings.Cut(rest, "=")
	command, ok := commandsByName[name]
	if !ok {
		return &SyntaxError{m.ID, UnknownCommand, fmt.Sprintf("%.40q is no command", name)}
	}
	if value == "" || len(value) > MaxTerminationBytes {
		return &SyntaxError{m.ID, BadIdentifier, "a termination has 1 to " + strconv.Itoa(MaxTerminationBytes) + " bytes"}
	}
	m.Command, m.Termination = command, value
	return nil
}

// MaxTerminationBytes is the maximum length of a termination.
const MaxTerminationBytes = 64

// parseDescriptor parses one line after the first and adds its descriptor to m. The
// Error descriptor of a reply sets the code and the text instead.
func (m *Message) parseDescriptor(line string) *SyntaxError {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || m.Kind == Pending || m.Kind == ErrorMessage {
		return &SyntaxError{m.ID, BadTransaction, fmt.Sprintf("%.40q is no descriptor", line)}
	}
	if strings.IndexFunc(line, isControl) >= 0 {
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

// isControl reports whether c is an ASCII control character.
func isControl(c rune) bool { return c < ' ' || c == 0x7f }

// NewReadFunc returns a function that creates a Reader with the given limits for a
// connection and returns its Read method.
func NewReadFunc(limits Limits) func(net.Conn) func() (*Message, error) {
	return func(conn net.Conn) func() (*Message, error) { return NewReader(conn, limits).Read }
}
