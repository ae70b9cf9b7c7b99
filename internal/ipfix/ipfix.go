// Package ipfix is the codec of flow records: IPFIX messages (RFC 7011, with
// the data types of RFC 7012) and NetFlow version 9 packets (RFC 3954) over the
// same templates and values, written and read. It knows no call and no network.
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
	DateTimeMilliseconds Type = 15 // dateTimeMilliseconds, of UTC since 1970
)

// size is the full length of a type in bytes, 0 where it varies.
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

// VariableLength is the length of a field whose records tell it (RFC 7011, 7).
const VariableLength = 65535

// Element is an information element as a template lists it.
type Element struct {
	PEN    uint32 // private enterprise number, 0 for IANA's
	ID     uint16 // below 32768
	Type   Type
	Length uint16 // bytes in a record, or Variable
	Name   string
}

// Template tells how the records of a set are laid out. The first Scope fields
// of an options template (Scope above 0) say what the rest is about.
type Template struct {
	ID         uint16 // from 256
	ScopeCount int
	Fields     []Element
}

// Value is one field's value: Num for numbers, times and booleans (signed ones
// and floats by their bits), Str for strings and octets.
type Value struct {
	Num uint64
	Str string
}

// Protocol is the version of a message.
type Protocol uint16

const (
	NetFlow9 Protocol = 9
	IPFIX    Protocol = 10
)

const (
	ipfixHeaderLength    = 16
	netflow9HeaderLength = 20
	setHeaderLength      = 4
	// MinMessageLength is the smallest bound on a message that a Writer takes.
	MinMessageLength = 256
	// MaxMessageLength is the largest: its length stands in 16 bits.
	MaxMessageLength = 65535
)

// ErrFull says that the message has no room for what was to be added; the
// message is to be taken out first.
var ErrFull = errors.New("the message is full")

// Writer puts messages together. Version 9 knows no enterprise numbers and no
// variable lengths: there own elements keep their ids above 32768, and strings
// have v9String bytes, filled with zeros.
type Writer struct {
	protocol  Protocol
	domain    uint32
	maxLength int
	sequence  uint32
	buf       []byte
	setStart  int // where the open set begins, 0: none
	setID     uint16
	records,
	dataRecords int
}

const netflow9StringLength = 32

// NewWriter starts a stream of messages of at most so many bytes.
func NewWriter(protocol Protocol, domain uint32, maxLength int) *Writer {
	return &Writer{protocol: protocol, domain: domain, maxLength: min(max(maxLength, MinMessageLength), MaxMessageLength)}
}

// Sequence is the number that the next message carries: data records before it
// (IPFIX), or packets (version 9).
func (w *Writer) Sequence() uint32 { return w.sequence }

// SetSequence goes on from another's count.
func (w *Writer) SetSequence(sequence uint32) { w.sequence = sequence }

// RecordCount is the number of data records in the message that is being made.
func (w *Writer) RecordCount() int { return w.dataRecords }

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

// openSet goes on in a set of an id, or starts one.
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

// addToSet writes one record into a set, or takes it back when the message overflows.
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
			return fmt.Errorf("a record of set %d is larger than a message of %d bytes", setID, w.maxLength)
		}
		return ErrFull
	}
	w.records++
	return nil
}

const (
	netflow9TemplateSetID = 0
	netflow9OptionsSetID  = 1
	templateSetID         = 2
	optionsTemplateSetID  = 3
	enterpriseBit         = 0x8000
	firstTemplateID       = 256
)

// AddTemplate adds a template's record.
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

// netflow9SystemScope is the only scope that version 9 has for what ours are about.
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

// WithdrawTemplate adds the withdrawal of a template (RFC 7011, 8.1); not over UDP, and
// unknown to version 9, where it does nothing.
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

// AddRecord adds a record of a template. ErrFull asks for Take first.
func (w *Writer) AddRecord(t *Template, values []Value) error {
	if len(values) != len(t.Fields) {
		return fmt.Errorf("template %d has %d fields, the record %d", t.ID, len(t.Fields), len(values))
	}
	if w.protocol == NetFlow9 && t.netflow9RecordLength() < 4 {
		return fmt.Errorf("template %d: a record of under 4 bytes can't be told from padding", t.ID)
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
		for i := int(length) - 1; i >= 0; i-- { // reduced-size encoding as well (RFC 7011, 6.2)
			w.buf = append(w.buf, byte(value.Num>>(8*i)))
		}
	}
}

// Finish ends the message and returns it, valid until the next call; nil if there
// is nothing in it. Times are in milliseconds since 1970, up since the start.
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

// FloatBits is a float'text bits, for Value.Num.
func FloatBits(value float64) uint64 { return math.Float64bits(value) }
