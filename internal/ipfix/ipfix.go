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
	headerIPFIX = 16
	header9     = 20
	setHeader   = 4
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
	proto  Protocol
	domain uint32
	most   int
	seq    uint32
	buf    []byte
	set    int // where the open set begins, 0: none
	setID  uint16
	records,
	data int
}

const v9String = 32

// NewWriter starts a stream of messages of at most so many bytes.
func NewWriter(p Protocol, domain uint32, most int) *Writer {
	return &Writer{proto: p, domain: domain, most: min(max(most, MinMessageLength), MaxMessageLength)}
}

// Sequence is the number that the next message carries: data records before it
// (IPFIX), or packets (version 9).
func (w *Writer) Sequence() uint32 { return w.seq }

// SetSequence goes on from another's count.
func (w *Writer) SetSequence(n uint32) { w.seq = n }

// RecordCount is the number of data records in the message that is being made.
func (w *Writer) RecordCount() int { return w.data }

func (w *Writer) begin() {
	if len(w.buf) > 0 {
		return
	}
	n := headerIPFIX
	if w.proto == NetFlow9 {
		n = header9
	}
	w.buf = append(w.buf, make([]byte, n)...)
}

func (w *Writer) empty() int {
	if w.proto == NetFlow9 {
		return header9
	}
	return headerIPFIX
}

// open goes on in a set of an id, or starts one.
func (w *Writer) open(id uint16) {
	w.begin()
	if w.set > 0 && w.setID == id {
		return
	}
	w.close()
	w.set, w.setID = len(w.buf), id
	w.buf = binary.BigEndian.AppendUint16(w.buf, id)
	w.buf = binary.BigEndian.AppendUint16(w.buf, 0)
}

func (w *Writer) close() {
	if w.set == 0 {
		return
	}
	if w.proto == NetFlow9 {
		for (len(w.buf)-w.set)%4 != 0 {
			w.buf = append(w.buf, 0)
		}
	}
	binary.BigEndian.PutUint16(w.buf[w.set+2:], uint16(len(w.buf)-w.set))
	w.set = 0
}

// add writes one record into a set, or takes it back when the message overflows.
func (w *Writer) add(set uint16, write func()) error {
	old := *w
	old.buf = w.buf[:len(w.buf):len(w.buf)]
	n := len(w.buf)
	w.open(set)
	write()
	if len(w.buf)+3 > w.most {
		alone := n <= w.empty()
		w.buf, w.set, w.setID = w.buf[:n], old.set, old.setID
		if alone {
			return fmt.Errorf("a record of set %d is larger than a message of %d bytes", set, w.most)
		}
		return ErrFull
	}
	w.records++
	return nil
}

const (
	set9Template    = 0
	set9Options     = 1
	setTemplate     = 2
	setOptions      = 3
	enterpriseBit   = 0x8000
	firstTemplateID = 256
)

// AddTemplate adds a template's record.
func (w *Writer) AddTemplate(t *Template) error {
	if w.proto == NetFlow9 {
		return w.template9(t)
	}
	set := uint16(setTemplate)
	if t.ScopeCount > 0 {
		set = setOptions
	}
	return w.add(set, func() {
		w.buf = binary.BigEndian.AppendUint16(w.buf, t.ID)
		w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(len(t.Fields)))
		if t.ScopeCount > 0 {
			w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(t.ScopeCount))
		}
		for _, f := range t.Fields {
			id := f.ID
			if f.PEN != 0 {
				id |= enterpriseBit
			}
			w.buf = binary.BigEndian.AppendUint16(w.buf, id)
			w.buf = binary.BigEndian.AppendUint16(w.buf, f.Length)
			if f.PEN != 0 {
				w.buf = binary.BigEndian.AppendUint32(w.buf, f.PEN)
			}
		}
	})
}

func (t *Template) size9() int {
	n := 0
	for _, f := range t.Fields {
		n += int(len9(f))
	}
	return n
}

func len9(f Element) uint16 {
	if f.Length == VariableLength {
		return v9String
	}
	return f.Length
}

func id9(f Element) uint16 {
	if f.PEN != 0 {
		return f.ID | enterpriseBit
	}
	return f.ID
}

// scopeSystem is the only scope that version 9 has for what ours are about.
const scopeSystem = 1

func (w *Writer) template9(t *Template) error {
	set := uint16(set9Template)
	if t.ScopeCount > 0 {
		set = set9Options
	}
	return w.add(set, func() {
		w.buf = binary.BigEndian.AppendUint16(w.buf, t.ID)
		if t.ScopeCount > 0 {
			w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(4*t.ScopeCount))
			w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(4*(len(t.Fields)-t.ScopeCount)))
		} else {
			w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(len(t.Fields)))
		}
		for i, f := range t.Fields {
			id := id9(f)
			if i < t.ScopeCount {
				id = scopeSystem
			}
			w.buf = binary.BigEndian.AppendUint16(w.buf, id)
			w.buf = binary.BigEndian.AppendUint16(w.buf, len9(f))
		}
	})
}

// WithdrawTemplate adds the withdrawal of a template (RFC 7011, 8.1); not over UDP, and
// unknown to version 9, where it does nothing.
func (w *Writer) WithdrawTemplate(t *Template) error {
	if w.proto == NetFlow9 {
		return nil
	}
	set := uint16(setTemplate)
	if t.ScopeCount > 0 {
		set = setOptions
	}
	return w.add(set, func() {
		w.buf = binary.BigEndian.AppendUint16(w.buf, t.ID)
		w.buf = binary.BigEndian.AppendUint16(w.buf, 0)
	})
}

// AddRecord adds a record of a template. ErrFull asks for Take first.
func (w *Writer) AddRecord(t *Template, values []Value) error {
	if len(values) != len(t.Fields) {
		return fmt.Errorf("template %d has %d fields, the record %d", t.ID, len(t.Fields), len(values))
	}
	if w.proto == NetFlow9 && t.size9() < 4 {
		return fmt.Errorf("template %d: a record of under 4 bytes can't be told from padding", t.ID)
	}
	err := w.add(t.ID, func() {
		for i := range t.Fields {
			w.value(&t.Fields[i], &values[i])
		}
	})
	if err == nil {
		w.data++
	}
	return err
}

func (w *Writer) value(f *Element, v *Value) {
	switch n := f.Length; {
	case n == VariableLength && w.proto == NetFlow9:
		s := v.Str
		for len(s) > v9String || !utf8.ValidString(s) && f.Type == String {
			s = s[:min(len(s)-1, v9String)]
		}
		w.buf = append(w.buf, s...)
		for range v9String - len(s) {
			w.buf = append(w.buf, 0)
		}
	case n == VariableLength:
		s := v.Str
		if len(s) < 255 {
			w.buf = append(w.buf, byte(len(s)))
		} else {
			s = s[:min(len(s), 65534)]
			w.buf = append(w.buf, 255)
			w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(len(s)))
		}
		w.buf = append(w.buf, s...)
	case f.Type == String || f.Type == OctetArray:
		s := v.Str[:min(len(v.Str), int(n))]
		w.buf = append(w.buf, s...)
		for range int(n) - len(s) {
			w.buf = append(w.buf, 0)
		}
	case f.Type == Boolean:
		b := byte(2) // false (RFC 7011, 6.1.5)
		if v.Num != 0 {
			b = 1
		}
		w.buf = append(w.buf, b)
	default:
		for i := int(n) - 1; i >= 0; i-- { // reduced-size encoding as well (RFC 7011, 6.2)
			w.buf = append(w.buf, byte(v.Num>>(8*i)))
		}
	}
}

// Finish ends the message and returns it, valid until the next call; nil if there
// is nothing in it. Times are in milliseconds since 1970, up since the start.
func (w *Writer) Finish(now, up int64) []byte {
	if len(w.buf) <= w.empty() {
		return nil
	}
	w.close()
	b := w.buf
	if w.proto == NetFlow9 {
		binary.BigEndian.PutUint16(b[0:], uint16(NetFlow9))
		binary.BigEndian.PutUint16(b[2:], uint16(w.records))
		binary.BigEndian.PutUint32(b[4:], uint32(up))
		binary.BigEndian.PutUint32(b[8:], uint32(now/1000))
		binary.BigEndian.PutUint32(b[12:], w.seq)
		binary.BigEndian.PutUint32(b[16:], w.domain)
		w.seq++
	} else {
		binary.BigEndian.PutUint16(b[0:], uint16(IPFIX))
		binary.BigEndian.PutUint16(b[2:], uint16(len(b)))
		binary.BigEndian.PutUint32(b[4:], uint32(now/1000))
		binary.BigEndian.PutUint32(b[8:], w.seq)
		binary.BigEndian.PutUint32(b[12:], w.domain)
		w.seq += uint32(w.data)
	}
	w.records, w.data, w.setID = 0, 0, 0
	w.buf = w.buf[:0]
	return b
}

// FloatBits is a float's bits, for Value.Num.
func FloatBits(x float64) uint64 { return math.Float64bits(x) }
