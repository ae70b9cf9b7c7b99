// Package ipfix encodes and decodes IPFIX messages (RFC 7011, with the data types
// of RFC 7012) and NetFlow version 9 packets (RFC 3954), both from the same
// templates and values. It has no knowledge of calls and does no network I/O.
package ipfix

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"unicode/utf8"
)

// Type is an abstract data type, numbered as in the IANA registry
// informationElementDataType.
type Type uint8

// The abstract data types of RFC 7012 that this package supports.
const (
	OctetArray           Type = 0
	Unsigned8            Type = 1
	Unsigned16           Type = 2
	Unsigned32           Type = 3
	Unsigned64           Type = 4
	Signed8              Type = 5
	Signed16             Type = 6
	Signed32             Type = 7
	Signed64             Type = 8
	Float32              Type = 9
	Float64              Type = 10
	Boolean              Type = 11
	String               Type = 13
	DateTimeSeconds      Type = 14 // dateTimeSeconds
	DateTimeMilliseconds Type = 15 // dateTimeMilliseconds, UTC since 1970
)

// size returns the full length of a type in bytes, or 0 if it is variable.
func (t Type) size() int {
	switch t {
	case Unsigned8, Signed8, Boolean:
		return 1
	case Unsigned16, Signed16:
		return 2
	case Unsigned32, Signed32, Float32, DateTimeSeconds:
		return 4
	case Unsigned64, Signed64, Float64, DateTimeMilliseconds:
		return 8
	}
	return 0
}

// VariableLength is the Length of a field whose records carry their own length
// (RFC 7011, 7).
const VariableLength = 65535

// Element is an information element as a field of a template.
type Element struct {
	PEN    uint32 // private enterprise number, 0 for IANA elements
	ID     uint16 // below 32768
	Type   Type
	Length uint16 // bytes, or VariableLength
	Name   string
}

// Template describes the layout of the records of a set. In an options template,
// where ScopeCount is greater than 0, the first ScopeCount fields are scope fields.
type Template struct {
	ID         uint16 // 256 or higher
	ScopeCount int
	Fields     []Element
}

// Value is the value of one field: Num for numbers, times and booleans (signed
// numbers and floats by their bits), Str for strings and octet arrays.
type Value struct {
	Num uint64
	Str string
}

// Protocol is the version number of a message.
type Protocol uint16

// The supported protocols.
const (
	NetFlow9 Protocol = 9
	IPFIX    Protocol = 10
)

// Lengths in bytes.
const (
	ipfixHeaderLength    = 16
	netflow9HeaderLength = 20
	setHeaderLength      = 4
	// MinMessageLength is the smallest message limit that a Writer accepts.
	MinMessageLength = 256
	// MaxMessageLength is the largest possible message: its header holds the
	// length in 16 bits.
	MaxMessageLength = 65535
)

// ErrFull reports that a record doesn't fit into the current message. The caller
// finishes the message and adds the record again.
var ErrFull = errors.New("message full")

// Writer assembles messages. NetFlow version 9 has no enterprise numbers and no
// variable lengths: there, enterprise elements have IDs from 32768 up, and strings
// have netflow9StringLength bytes, padded with zeros.
type Writer struct {
	protocol  Protocol
	domain    uint32
	maxLength int
	sequence  uint32
	buf       []byte
	setStart  int // offset of the open set, 0 if none is open
	setID     uint16
	records,  // of the current message, templates included
	dataRecords int // data records of the current message
}

// netflow9StringLength is the length of every string in bytes in NetFlow version 9.
const netflow9StringLength = 32

// NewWriter returns a writer for a stream of messages of at most maxLength bytes.
func NewWriter(protocol Protocol, domain uint32, maxLength int) *Writer {
	return &Writer{protocol: protocol, domain: domain, maxLength: min(max(maxLength, MinMessageLength), MaxMessageLength)}
}

// Sequence returns the sequence number of the next message: the number of data
// records before it (IPFIX), or of packets (NetFlow version 9).
func (w *Writer) Sequence() uint32 { return w.sequence }

// SetSequence sets the sequence number of the next message.
func (w *Writer) SetSequence(sequence uint32) { w.sequence = sequence }

// RecordCount returns the number of data records in the current message.
func (w *Writer) RecordCount() int { return w.dataRecords }

// startMessage reserves room for the message header, if there is none yet.
func (w *Writer) startMessage() {
	if len(w.buf) > 0 {
		return
	}
	length := ipfixHeaderLength
	if w.protocol == NetFlow9 {
		length = netflow9HeaderLength
	}
	w.buf = append(w.buf, make([]byte, length)...)
}

func (w *Writer) headerLength() int {
	if w.protocol == NetFlow9 {
		return netflow9HeaderLength
	}
	return ipfixHeaderLength
}

// openSet continues the open set if it has this ID, or starts a new one.
func (w *Writer) openSet(id uint16) {
	w.startMessage()
	if w.setStart > 0 && w.setID == id {
		return
	}
	w.closeSet()
	w.setStart, w.setID = len(w.buf), id
	w.buf = binary.BigEndian.AppendUint16(w.buf, id)
	w.buf = binary.BigEndian.AppendUint16(w.buf, 0)
}

// closeSet pads the open set and writes its length.
func (w *Writer) closeSet() {
	if w.setStart == 0 {
		return
	}
	if w.protocol == NetFlow9 {
		for (len(w.buf)-w.setStart)%4 != 0 {
			w.buf = append(w.buf, 0)
		}
	}
	binary.BigEndian.PutUint16(w.buf[w.setStart+2:], uint16(len(w.buf)-w.setStart))
	w.setStart = 0
}

// addToSet writes one record into a set, and removes it again if the message
// becomes too long.
func (w *Writer) addToSet(setID uint16, write func()) error {
	old := *w
	old.buf = w.buf[:len(w.buf):len(w.buf)]
	oldLength := len(w.buf)
	w.openSet(setID)
	write()
	if len(w.buf)+3 > w.maxLength {
		messageEmpty := oldLength <= w.headerLength()
		w.buf, w.setStart, w.setID = w.buf[:oldLength], old.setStart, old.setID
		if messageEmpty {
			return fmt.Errorf("record of set %d is larger than the maximum message length of %d bytes", setID, w.maxLength)
		}
		return ErrFull
	}
	w.records++
	return nil
}

// Set IDs, and the bit that marks an enterprise element's ID.
const (
	netflow9TemplateSetID = 0
	netflow9OptionsSetID  = 1
	templateSetID         = 2
	optionsTemplateSetID  = 3
	enterpriseBit         = 0x8000
	firstTemplateID       = 256
)

// AddTemplate adds a template record. It returns ErrFull if the message is full.
func (w *Writer) AddTemplate(t *Template) error {
	if w.protocol == NetFlow9 {
		return w.addNetFlow9Template(t)
	}
	setID := uint16(templateSetID)
	if t.ScopeCount > 0 {
		setID = optionsTemplateSetID
	}
	return w.addToSet(setID, func() {
		w.buf = binary.BigEndian.AppendUint16(w.buf, t.ID)
		w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(len(t.Fields)))
		if t.ScopeCount > 0 {
			w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(t.ScopeCount))
		}
		for _, field := range t.Fields {
			id := field.ID
			if field.PEN != 0 {
				id |= enterpriseBit
			}
			w.buf = binary.BigEndian.AppendUint16(w.buf, id)
			w.buf = binary.BigEndian.AppendUint16(w.buf, field.Length)
			if field.PEN != 0 {
				w.buf = binary.BigEndian.AppendUint32(w.buf, field.PEN)
			}
		}
	})
}

// netflow9RecordLength returns the length of a record in NetFlow version 9.
func (t *Template) netflow9RecordLength() int {
	length := 0
	for _, field := range t.Fields {
		length += int(netflow9FieldLength(field))
	}
	return length
}

func netflow9FieldLength(field Element) uint16 {
	if field.Length == VariableLength {
		return netflow9StringLength
	}
	return field.Length
}

func netflow9FieldID(field Element) uint16 {
	if field.PEN != 0 {
		return field.ID | enterpriseBit
	}
	return field.ID
}

// netflow9SystemScope is the only scope field type of NetFlow version 9 that fits
// this package's scopes.
const netflow9SystemScope = 1

func (w *Writer) addNetFlow9Template(t *Template) error {
	setID := uint16(netflow9TemplateSetID)
	if t.ScopeCount > 0 {
		setID = netflow9OptionsSetID
	}
	return w.addToSet(setID, func() {
		w.buf = binary.BigEndian.AppendUint16(w.buf, t.ID)
		if t.ScopeCount > 0 {
			w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(4*t.ScopeCount))
			w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(4*(len(t.Fields)-t.ScopeCount)))
		} else {
			w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(len(t.Fields)))
		}
		for i, field := range t.Fields {
			id := netflow9FieldID(field)
			if i < t.ScopeCount {
				id = netflow9SystemScope
			}
			w.buf = binary.BigEndian.AppendUint16(w.buf, id)
			w.buf = binary.BigEndian.AppendUint16(w.buf, netflow9FieldLength(field))
		}
	})
}

// WithdrawTemplate adds the withdrawal of a template (RFC 7011, 8.1). It must not
// be used over UDP. NetFlow version 9 has no withdrawals; there it does nothing.
func (w *Writer) WithdrawTemplate(t *Template) error {
	if w.protocol == NetFlow9 {
		return nil
	}
	setID := uint16(templateSetID)
	if t.ScopeCount > 0 {
		setID = optionsTemplateSetID
	}
	return w.addToSet(setID, func() {
		w.buf = binary.BigEndian.AppendUint16(w.buf, t.ID)
		w.buf = binary.BigEndian.AppendUint16(w.buf, 0)
	})
}

// AddRecord adds a data record of a template. It returns ErrFull if the message is
// full.
func (w *Writer) AddRecord(t *Template, values []Value) error {
	if len(values) != len(t.Fields) {
		return fmt.Errorf("template %d has %d fields, but the record has %d values", t.ID, len(t.Fields), len(values))
	}
	if w.protocol == NetFlow9 && t.netflow9RecordLength() < 4 {
		return fmt.Errorf("template %d: NetFlow 9 records shorter than 4 bytes can't be distinguished from padding", t.ID)
	}
	err := w.addToSet(t.ID, func() {
		for i := range t.Fields {
			w.appendValue(&t.Fields[i], &values[i])
		}
	})
	if err == nil {
		w.dataRecords++
	}
	return err
}

// appendValue appends the value of one field.
func (w *Writer) appendValue(field *Element, value *Value) {
	switch length := field.Length; {
	case length == VariableLength && w.protocol == NetFlow9:
		text := value.Str
		for len(text) > netflow9StringLength || !utf8.ValidString(text) && field.Type == String {
			text = text[:min(len(text)-1, netflow9StringLength)]
		}
		w.buf = append(w.buf, text...)
		for range netflow9StringLength - len(text) {
			w.buf = append(w.buf, 0)
		}
	case length == VariableLength:
		text := value.Str
		if len(text) < 255 {
			w.buf = append(w.buf, byte(len(text)))
		} else {
			text = text[:min(len(text), 65534)]
			w.buf = append(w.buf, 255)
			w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(len(text)))
		}
		w.buf = append(w.buf, text...)
	case field.Type == String || field.Type == OctetArray:
		text := value.Str[:min(len(value.Str), int(length))]
		w.buf = append(w.buf, text...)
		for range int(length) - len(text) {
			w.buf = append(w.buf, 0)
		}
	case field.Type == Boolean:
		encoded := byte(2) // false (RFC 7011, 6.1.5)
		if value.Num != 0 {
			encoded = 1
		}
		w.buf = append(w.buf, encoded)
	default:
		for i := int(length) - 1; i >= 0; i-- { // also reduced-size encoding (RFC 7011, 6.2)
			w.buf = append(w.buf, byte(value.Num>>(8*i)))
		}
	}
}

// Finish completes the message and returns it, or nil if it is empty. The bytes
// are valid until the next call of a method. now is in milliseconds since 1970,
// uptime in milliseconds since the start of the process.
func (w *Writer) Finish(now, uptime int64) []byte {
	if len(w.buf) <= w.headerLength() {
		return nil
	}
	w.closeSet()
	message := w.buf
	if w.protocol == NetFlow9 {
		binary.BigEndian.PutUint16(message[0:], uint16(NetFlow9))
		binary.BigEndian.PutUint16(message[2:], uint16(w.records))
		binary.BigEndian.PutUint32(message[4:], uint32(uptime))
		binary.BigEndian.PutUint32(message[8:], uint32(now/1000))
		binary.BigEndian.PutUint32(message[12:], w.sequence)
		binary.BigEndian.PutUint32(message[16:], w.domain)
		w.sequence++
	} else {
		binary.BigEndian.PutUint16(message[0:], uint16(IPFIX))
		binary.BigEndian.PutUint16(message[2:], uint16(len(message)))
		binary.BigEndian.PutUint32(message[4:], uint32(now/1000))
		binary.BigEndian.PutUint32(message[8:], w.sequence)
		binary.BigEndian.PutUint32(message[12:], w.domain)
		w.sequence += uint32(w.dataRecords)
	}
	w.records, w.dataRecords, w.setID = 0, 0, 0
	w.buf = w.buf[:0]
	return message
}

// FloatBits returns the bits of a float, for Value.Num.
func FloatBits(value float64) uint64 { return math.Float64bits(value) }
