// Package sip implements the part of SIP (RFC 3261) over TCP that set-ups to
// exchanges need: requests and responses with headers and a body of
// Content-Length bytes. It is strict about lengths and ignores unknown headers.
package sip

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Request methods.
const (
	Invite  = "INVITE"
	Ack     = "ACK"
	Cancel  = "CANCEL"
	Bye     = "BYE"
	Options = "OPTIONS"
	Notify  = "NOTIFY"
)

// MaxMessageBytes is the maximum length of a message, header included.
const MaxMessageBytes = 16 << 10

const version = "SIP/2.0"

// HeaderField is one header field.
type HeaderField struct{ Name, Value string }

// Message is a request (Method is set) or a response (Status is set).
type Message struct {
	Method, URI string
	Status      int
	CallID      string
	CSeq        int                  // sequence number of the CSeq header field
	CSeqMethod  string               // method of the CSeq header field: that of the request, also in its response
	ExtraFields []HeaderField        // to be sent besides Via, Call-ID, CSeq and Content-Length
	Header      textproto.MIMEHeader // of a message that was read: the first value of each of keptFields
	Body        []byte
}

// Get returns the value of a header field of a message that was read, or "" if
// the field is missing. Names are matched without regard to case.
func (m *Message) Get(name string) string { return m.Header.Get(name) }

// Add appends a header field to be sent and returns the message.
func (m *Message) Add(name, value string) *Message {
	m.ExtraFields = append(m.ExtraFields, HeaderField{name, value})
	return m
}

// IsSetUp reports whether the message starts a call at its receiver.
func (m *Message) IsSetUp() bool { return m.Method == Invite }

// Append appends the wire format to b.
func (m *Message) Append(b []byte) []byte {
	if m.Method != "" {
		b = append(append(append(append(b, m.Method...), ' '), m.URI...), " "+version+"\r\n"...)
	} else {
		b = fmt.Appendf(b, "%s %d %s\r\n", version, m.Status, reasonPhrase(m.Status))
	}
	b = append(b, "Via: SIP/2.0/TCP controller\r\n"...)
	if m.CallID != "" {
		b = append(append(append(b, "Call-ID: "...), m.CallID...), "\r\n"...)
	}
	b = fmt.Appendf(b, "CSeq: %d %s\r\n", m.CSeq, m.CSeqMethod)
	for _, f := range m.ExtraFields {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(m.Body))
	return append(b, m.Body...)
}

func reasonPhrase(status int) string {
	switch {
	case status < 200:
		return "Trying"
	case status < 300:
		return "OK"
	case status == 503:
		return "Service Unavailable"
	}
	return "Failed"
}

// ErrSyntax is wrapped by the errors for malformed messages. The stream cannot
// be read any further after one.
var ErrSyntax = errors.New("unreadable message")

const (
	readBufferBytes = MaxMessageBytes + 4<<10 // a whole message fits, with the beginning of what follows
	boundaryWait    = time.Millisecond        // for the line after a body, which shows whether its length is right
	maxSegmentBody  = 512                     // a message with a body up to this arrives in one segment
)

// readDeadliner is implemented by connections.
type readDeadliner interface{ SetReadDeadline(time.Time) error }

// Reader reads messages from a stream.
type Reader struct {
	limit     *io.LimitedReader
	buffer    *bufio.Reader
	text      *textproto.Reader
	deadliner readDeadliner // nil if the stream has no deadlines
	onPartial func(bool)
}

// NewReader returns a reader of r. If onPartial is not nil, it is called with
// true when the first byte of a message has arrived, whether or not the rest
// has, and with false when Read is done with that message. If r is a connection,
// its read deadline is cleared after each answer.
func NewReader(r io.Reader, onPartial func(bool)) *Reader {
	limit := &io.LimitedReader{R: r, N: MaxMessageBytes}
	buffer := bufio.NewReaderSize(limit, readBufferBytes)
	if onPartial == nil {
		onPartial = func(bool) {}
	}
	deadliner, _ := r.(readDeadliner)
	return &Reader{limit, buffer, textproto.NewReader(buffer), deadliner, onPartial}
}

// Read returns the next message. It returns io.EOF if the stream ends between messages.
func (r *Reader) Read() (*Message, error) {
	r.limit.N = max(MaxMessageBytes-int64(r.buffer.Buffered()), 1)
	if _, err := r.buffer.Peek(1); err != nil {
		return nil, err
	}
	r.onPartial(true)
	defer r.onPartial(false)
	m, err := r.readMessage()
	if err == nil {
		return m, nil
	}
	if r.limit.N <= 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) {
		return nil, fmt.Errorf("%w: longer than %d bytes", ErrSyntax, MaxMessageBytes)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return nil, err
}

func (r *Reader) readMessage() (*Message, error) {
	line, err := r.text.ReadLine()
	if err != nil {
		return nil, err
	}
	m := &Message{}
	if err := m.parseStartLine(line); err != nil {
		return nil, err
	}
	header, err := r.text.ReadMIMEHeader()
	if err != nil {
		var protocolErr textproto.ProtocolError
		if errors.As(err, &protocolErr) {
			return nil, fmt.Errorf("%w: %s", ErrSyntax, protocolErr)
		}
		return nil, err
	}
	lengths := header["Content-Length"]
	if len(lengths) != 1 {
		return nil, fmt.Errorf("%w: %d Content-Length header fields, want 1", ErrSyntax, len(lengths))
	}
	bodyLen, err := strconv.ParseUint(lengths[0], 10, 31)
	if err != nil || bodyLen > MaxMessageBytes {
		return nil, fmt.Errorf("%w: invalid Content-Length %.20q", ErrSyntax, lengths[0])
	}
	m.CallID = header.Get("Call-Id")
	number, method, ok := strings.Cut(header.Get("Cseq"), " ")
	if m.CSeq, err = strconv.Atoi(number); ok && err != nil || !ok && m.Status != 0 {
		return nil, fmt.Errorf("%w: invalid CSeq %.40q", ErrSyntax, header.Get("Cseq"))
	}
	if m.CSeqMethod = strings.TrimSpace(method); m.Method != "" && m.CSeqMethod == "" {
		m.CSeqMethod = m.Method
	}
	m.Header = keptHeader(header)
	m.Body = make([]byte, bodyLen)
	if _, err = io.ReadFull(r.buffer, m.Body); err != nil {
		return nil, err
	}
	if m.isAnswer() && (len(m.Body) > maxSegmentBody || r.buffer.Buffered() > 0) {
		r.awaitStartLine()
	}
	return m, r.checkBody(m.Body)
}

// keptFields are the header fields that messages keep once they are read.
var keptFields = [...]string{"Reason", "Fail-Word", "Proc-Wait", "Link-State", "Call-Kind", "Answer-Within"}

// keptHeader returns the fields of a header that are used, so that a message with very many short fields takes
// little memory while it waits to be handled.
func keptHeader(header textproto.MIMEHeader) textproto.MIMEHeader {
	kept := textproto.MIMEHeader{}
	for _, name := range keptFields {
		if values := header[name]; len(values) > 0 {
			kept[name] = []string{values[0]} // the original shares its memory with the other fields
		}
	}
	return kept
}

// isAnswer reports whether the message accepts a set-up.
func (m *Message) isAnswer() bool { return m.Status >= 200 && m.Status < 300 && m.CSeqMethod == Invite }

// checkBody returns an error if Content-Length was wrong: if the bytes that
// follow a body cannot start another message, or the body contains one.
func (r *Reader) checkBody(body []byte) error {
	if bytes.Contains(body, []byte(version)) {
		return fmt.Errorf("%w: a body of Content-Length %d contains a start line", ErrSyntax, len(body))
	}
	next, _ := r.buffer.Peek(r.buffer.Buffered()) // cannot fail: the bytes are buffered
	if len(next) > 0 && !mayStartMessage(next) {
		return fmt.Errorf("%w: %d bytes after a body of Content-Length %d do not start a message", ErrSyntax, len(next), len(body))
	}
	return nil
}

// awaitStartLine waits briefly for the line that follows a body, while what has
// arrived of it may start a message.
func (r *Reader) awaitStartLine() {
	if !r.hasPartialStartLine() || r.deadliner == nil || r.deadliner.SetReadDeadline(time.Now().Add(boundaryWait)) != nil {
		return // the next Read finds that the connection is closed
	}
	defer r.deadliner.SetReadDeadline(time.Time{}) // the message is whole
	for r.hasPartialStartLine() {
		if _, err := r.buffer.Peek(r.buffer.Buffered() + 1); err != nil {
			return // the next Read returns an error that lasts
		}
	}
}

// hasPartialStartLine reports whether the bytes that have arrived may start a message and are less than a line.
func (r *Reader) hasPartialStartLine() bool {
	next, _ := r.buffer.Peek(r.buffer.Buffered()) // cannot fail: the bytes are buffered
	return bytes.IndexByte(next, '\n') < 0 && mayStartMessage(next)
}

// mayStartMessage reports whether the bytes are the beginning of a message with
// one of the methods above.
func mayStartMessage(next []byte) bool {
	line, _, complete := strings.Cut(string(next), "\n")
	if complete && new(Message).parseStartLine(strings.TrimSuffix(line, "\r")) != nil {
		return false
	}
	for _, start := range []string{version, Invite, Ack, Cancel, Bye, Options, Notify} {
		if start += " "; strings.HasPrefix(line, start) || !complete && strings.HasPrefix(start, line) {
			return true
		}
	}
	return false
}

// parseStartLine parses a status line or a request line.
func (m *Message) parseStartLine(line string) error {
	if rest, ok := strings.CutPrefix(line, version+" "); ok {
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || status < 100 || status > 699 {
			return fmt.Errorf("%w: invalid status line %.40q", ErrSyntax, line)
		}
		m.Status = status
		return nil
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[2] != version || parts[0] == "" || parts[1] == "" ||
		strings.Trim(parts[0], "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return fmt.Errorf("%w: invalid request line %.40q", ErrSyntax, line)
	}
	m.Method, m.URI = parts[0], parts[1]
	return nil
}

// ParseCause returns the Q.850 cause in the value of a Reason header field, as
// in "Q.850;cause=16", or 0 if there is none.
func ParseCause(reason string) byte {
	for part := range strings.SplitSeq(reason, ";") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "cause="); ok {
			cause, err := strconv.ParseUint(value, 10, 7)
			if err == nil {
				return byte(cause)
			}
		}
	}
	return 0
}

// FormatReason returns the value of a Reason header field (RFC 3326) with a Q.850 cause.
func FormatReason(cause byte) string { return "Q.850;cause=" + strconv.Itoa(int(cause)) }
