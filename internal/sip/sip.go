// Package sip is the codec of the part of SIP (RFC 3261) over TCP that set-ups to exchanges need:
// requests and answers with headers and a body of Content-Length bytes. It is strict on lengths
// and deaf to headers that it does not know.
package sip

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// Methods.
const (
	Invite  = "INVITE"
	Ack     = "ACK"
	Cancel  = "CANCEL"
	Bye     = "BYE"
	Options = "OPTIONS"
	Notify  = "NOTIFY"
)

// MaxMessageBytes is the length of the longest message, in bytes.
const MaxMessageBytes = 16 << 10

const version = "SIP/2.0"

// HeaderField is one header.
type HeaderField struct{ Name, Value string }

// Message is a request (Method is set) or an answer (Status is set).
type Message struct {
	Method, URI string
	Status      int
	CallID      string
	CSeq        int                  // number and method of CSeq
	CSeqMethod  string               // the request that an answer is to, or the request's own method
	ExtraFields []HeaderField        // of what is to be sent
	Header      textproto.MIMEHeader // of what was read
	Body        []byte
}

// Get returns a header's value of what was read, "" if it is not there. Names match in any case.
func (m *Message) Get(name string) string { return m.Header.Get(name) }

// Add adds a header.
func (m *Message) Add(name, value string) *Message {
	m.ExtraFields = append(m.ExtraFields, HeaderField{name, value})
	return m
}

// IsSetUp reports whether the message opens a call at its receiver.
func (m *Message) IsSetUp() bool { return m.Method == Invite }

// Append adds the wire form.
func (m *Message) Append(b []byte) []byte {
	if m.Method != "" {
		b = append(append(append(append(b, m.Method...), ' '), m.URI...), " "+version+"\r\n"...)
	} else {
		b = fmt.Appendf(b, "%s %d %s\r\n", version, m.Status, phrase(m.Status))
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

func phrase(status int) string {
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

// ErrSyntax is wrapped by the errors of what can't be read; nothing behind it can be.
var ErrSyntax = errors.New("unreadable message")

// Reader reads messages from a stream.
type Reader struct {
	limit *io.LimitedReader
	r     *bufio.Reader
	t     *textproto.Reader
	begun func(bool)
}

// NewReader reads from r. begun, if it is set, is told true when a message has begun and may not
// be whole yet, and false when it is.
func NewReader(r io.Reader, begun func(bool)) *Reader {
	l := &io.LimitedReader{R: r, N: MaxMessageBytes}
	b := bufio.NewReaderSize(l, 4096)
	if begun == nil {
		begun = func(bool) {}
	}
	return &Reader{l, b, textproto.NewReader(b), begun}
}

// Read returns the next message. io.EOF is an end between messages.
func (r *Reader) Read() (*Message, error) {
	r.limit.N = max(MaxMessageBytes-int64(r.r.Buffered()), 1)
	if _, err := r.r.Peek(1); err != nil {
		return nil, err
	}
	r.begun(true)
	defer r.begun(false)
	m, err := r.message()
	if err == nil {
		return m, nil
	}
	if r.limit.N <= 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) {
		return nil, fmt.Errorf("%w: over %d bytes", ErrSyntax, MaxMessageBytes)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return nil, err
}

func (r *Reader) message() (*Message, error) {
	line, err := r.t.ReadLine()
	if err != nil {
		return nil, err
	}
	m := &Message{}
	if err := m.first(line); err != nil {
		return nil, err
	}
	head, err := r.t.ReadMIMEHeader()
	if err != nil {
		var bad textproto.ProtocolError
		if errors.As(err, &bad) {
			return nil, fmt.Errorf("%w: %s", ErrSyntax, bad)
		}
		return nil, err
	}
	length := head["Content-Length"]
	if len(length) != 1 {
		return nil, fmt.Errorf("%w: %d headers Content-Length", ErrSyntax, len(length))
	}
	n, err := strconv.ParseUint(length[0], 10, 31)
	if err != nil || n > MaxMessageBytes {
		return nil, fmt.Errorf("%w: Content-Length %.20q", ErrSyntax, length[0])
	}
	m.CallID = head.Get("Call-Id")
	num, of, ok := strings.Cut(head.Get("Cseq"), " ")
	if m.CSeq, err = strconv.Atoi(num); ok && err != nil || !ok && m.Status != 0 {
		return nil, fmt.Errorf("%w: CSeq %.40q", ErrSyntax, head.Get("Cseq"))
	}
	if m.CSeqMethod = strings.TrimSpace(of); m.Method != "" && m.CSeqMethod == "" {
		m.CSeqMethod = m.Method
	}
	m.Header = head
	m.Body = make([]byte, n)
	if _, err = io.ReadFull(r.r, m.Body); err != nil {
		return nil, err
	}
	return m, r.fits()
}

// fits tells whether what has come behind a message may open another: if not, the message's length
// does not fit it, and its body is not what was meant.
func (r *Reader) fits() error {
	if r.r.Buffered() == 0 {
		return nil
	}
	next, _ := r.r.Peek(1) // it is there
	if next[0] < 'A' || next[0] > 'Z' {
		return fmt.Errorf("%w: %d bytes that open no message behind a body of Content-Length", ErrSyntax, r.r.Buffered())
	}
	return nil
}

func (m *Message) first(line string) error {
	if rest, ok := strings.CutPrefix(line, version+" "); ok {
		code, _, _ := strings.Cut(rest, " ")
		n, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || n < 100 || n > 699 {
			return fmt.Errorf("%w: %.40q is no answer", ErrSyntax, line)
		}
		m.Status = n
		return nil
	}
	words := strings.Split(line, " ")
	if len(words) != 3 || words[2] != version || words[0] == "" || words[1] == "" ||
		strings.Trim(words[0], "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return fmt.Errorf("%w: %.40q opens no message", ErrSyntax, line)
	}
	m.Method, m.URI = words[0], words[1]
	return nil
}

// ParseCause reads the cause of Q.850 out of a header Reason, as in "Q.850;cause=16"; 0 if none is told.
func ParseCause(reason string) byte {
	for part := range strings.SplitSeq(reason, ";") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "cause="); ok {
			n, err := strconv.ParseUint(v, 10, 7)
			if err == nil {
				return byte(n)
			}
		}
	}
	return 0
}

// FormatReason writes a cause of Q.850 as the value of a header FormatReason (RFC 3326).
func FormatReason(cause byte) string { return "Q.850;cause=" + strconv.Itoa(int(cause)) }
