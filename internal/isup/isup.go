// Package isup implements the codec of the callers' binary messages. They carry
// the meaning of ISUP messages (ITU-T Q.763: set-up, answer, release with a
// Q.850 cause) in a format of the platform:
//
//	message   = length:2 type:1 call:8 parameters    length counts all bytes that follow it; big-endian
//	parameter = code:1 length:2 value
package isup

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Message types.
const (
	SetUp           = 1
	Progress        = 6
	Answer          = 9
	Release         = 12
	ReleaseComplete = 16
	TrunkGroup      = 43
	Test            = 52
	TestResult      = 53
)

// Parameter codes. Values are text, except for ParamCause (one byte) and ParamDescription.
const (
	ParamClass       = 64
	ParamPatience    = 67 // time that the caller waits for an answer, in milliseconds
	ParamRetry       = 73 // "1" if the caller repeats an earlier call, otherwise "0" or missing
	ParamNumber      = 76
	ParamRouting     = 79 // destination, circuits, tandem and flags, as in dest:2;width:1;via:-1
	ParamRetryAfter  = 82 // milliseconds
	ParamCause       = 106
	ParamDescription = 109
)

// knownParams lists the parameter codes. Readers skip all others.
var knownParams = [...]byte{ParamClass, ParamPatience, ParamRetry, ParamNumber, ParamRouting, ParamRetryAfter, ParamCause, ParamDescription}

// Q.850 causes that are reported to callers. Congestion means that the call was
// refused and can be repeated safely; the others mean that it has ended or failed.
const (
	NormalClearing   = 16
	TemporaryFailure = 41
	Congestion       = 42
	InvalidContents  = 100
)

// MaxMessageBytes is the largest value that the length field of a message may have.
const MaxMessageBytes = 16 << 10

const headerBytes = 2 + 1 + 8 // length, type, call

// Param is one parameter.
type Param struct {
	Code  byte
	Value []byte
}

// Message is one message. Its parameters are in the order of the wire format. One that was read has no parameter
// with an unknown code and none twice.
type Message struct {
	Type   byte
	CallID uint64
	Params []Param
}

// Get returns the value of the first parameter with the given code.
func (m *Message) Get(code byte) ([]byte, bool) {
	for _, p := range m.Params {
		if p.Code == code {
			return p.Value, true
		}
	}
	return nil, false
}

// Cause returns the Q.850 cause, or 0 if the message has none.
func (m *Message) Cause() byte {
	if value, ok := m.Get(ParamCause); ok && len(value) == 1 {
		return value[0]
	}
	return 0
}

// Add appends a parameter and returns the message.
func (m *Message) Add(code byte, value []byte) *Message {
	m.Params = append(m.Params, Param{code, value})
	return m
}

// IsSetUp reports whether the message starts a call at its receiver. Messages to callers never do.
func (m *Message) IsSetUp() bool { return m.Type == SetUp }

// Len returns the value of the length field.
func (m *Message) Len() int {
	n := headerBytes - 2
	for _, p := range m.Params {
		n += 3 + len(p.Value)
	}
	return n
}

// Append appends the wire format to b. The value of Len must not exceed MaxMessageBytes.
func (m *Message) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(m.Len()))
	b = append(b, m.Type)
	b = binary.BigEndian.AppendUint64(b, m.CallID)
	for _, p := range m.Params {
		b = append(b, p.Code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.Value)))
		b = append(b, p.Value...)
	}
	return b
}

// ErrSyntax is wrapped by the errors for malformed messages. The stream cannot
// be read any further after one.
var ErrSyntax = errors.New("unreadable message")

// Reader reads messages from a stream.
type Reader struct {
	buffer    *bufio.Reader
	onPartial func(bool)
}

// NewReader returns a reader of r. If onPartial is not nil, it is called with
// true when the first byte of a message has arrived but not all of it, and with
// false when Read is done with that message.
func NewReader(r io.Reader, onPartial func(bool)) *Reader {
	if onPartial == nil {
		onPartial = func(bool) {}
	}
	return &Reader{bufio.NewReaderSize(r, 512), onPartial}
}

// Read returns the next message. It returns io.EOF if the stream ends between messages.
func (r *Reader) Read() (*Message, error) {
	if _, err := r.buffer.Peek(1); err != nil {
		return nil, err
	}
	complete := r.buffer.Buffered() >= 2
	if complete {
		prefix, _ := r.buffer.Peek(2) // cannot fail: the bytes are buffered
		complete = r.buffer.Buffered() >= 2+int(binary.BigEndian.Uint16(prefix))
	}
	if !complete {
		r.onPartial(true)
		defer r.onPartial(false)
	}
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.buffer, header[:]); err != nil {
		return nil, unexpectedEOF(err)
	}
	length := int(binary.BigEndian.Uint16(header[:]))
	if length < headerBytes-2 || length > MaxMessageBytes {
		return nil, fmt.Errorf("%w: length of %d bytes is out of range", ErrSyntax, length)
	}
	body, err := readBody(r.buffer, length-(headerBytes-2))
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	m := &Message{Type: header[2], CallID: binary.BigEndian.Uint64(header[3:])}
	for offset := 0; offset < len(body); {
		rest := body[offset:]
		if len(rest) < 3 || len(rest)-3 < int(binary.BigEndian.Uint16(rest[1:])) {
			return nil, fmt.Errorf("%w: parameter at byte %d exceeds the message", ErrSyntax, headerBytes+offset)
		}
		valueLen := int(binary.BigEndian.Uint16(rest[1:]))
		m.keep(Param{rest[0], rest[3 : 3+valueLen : 3+valueLen]})
		offset += 3 + valueLen
	}
	return m, nil
}

// keep adds a parameter that was read, unless it has an unknown code or repeats an earlier one. So a message that
// is full of short parameters takes no more memory than its own length.
func (m *Message) keep(param Param) {
	if _, repeated := m.Get(param.Code); !repeated && slices.Contains(knownParams[:], param.Code) {
		m.Params = append(m.Params, param)
	}
}

// readBody reads size bytes. It allocates little more than has arrived, so that
// a claimed length alone takes no memory.
func readBody(r io.Reader, size int) ([]byte, error) {
	const stepBytes = 2 << 10
	body := make([]byte, min(size, stepBytes))
	for filled := 0; ; {
		n, err := io.ReadFull(r, body[filled:])
		filled += n
		if err != nil || filled == size {
			return body, err
		}
		body = append(body, make([]byte, min(size-filled, stepBytes))...)
	}
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, for a stream that ends within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
