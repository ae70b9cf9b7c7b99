package ipfix

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Record is one data record as it was read.
type Record struct {
	Template *Template
	Values   []Value
}

// Get returns a field's value by its element.
func (r *Record) Get(pen uint32, id uint16) (Value, bool) {
	for i, f := range r.Template.Fields {
		if f.PEN == pen && f.ID == id {
			return r.Values[i], true
		}
	}
	return Value{}, false
}

// Message is one message as it was read.
type Message struct {
	Protocol      Protocol
	ExportTime    int64 // export time, seconds since 1970
	Sequence      uint32
	Domain        uint32
	Records       []Record
	TemplateCount int // template records, withdrawals too
	UnknownSets   int // sets without a known template
}

// Decoder reads the messages of one stream: it remembers templates, and the
// types of elements that it knows or is told (RFC 5610).
type Decoder struct {
	// Elements tells the type and name of elements; others are read as octets,
	// or as unsigned numbers where they have a number's length.
	Elements  map[[2]uint32]Element
	templates map[uint64]*Template
}

// mostTemplates bounds what a stream can make a decoder remember.
const mostTemplates = 4096

// NewDecoder starts without templates.
func NewDecoder(known ...Element) *Decoder {
	d := &Decoder{Elements: map[[2]uint32]Element{}, templates: map[uint64]*Template{}}
	for _, e := range known {
		d.Elements[[2]uint32{e.PEN, uint32(e.ID)}] = e
	}
	return d
}

// ErrMalformed is wrapped by the errors of messages that can't be read.
var ErrMalformed = errors.New("malformed message")

func malformed(at int, format string, args ...any) error {
	return fmt.Errorf("%w: byte %d: %s", ErrMalformed, at, fmt.Sprintf(format, args...))
}

// ReadMessage reads one IPFIX message from a stream of them (TCP, RFC 7011
// 10.4; files, RFC 5655). io.EOF is the end between two, io.ErrUnexpectedEOF
// that within one.
func ReadMessage(r io.Reader, buf []byte) ([]byte, error) {
	if cap(buf) < MaxMessageLength {
		buf = make([]byte, MaxMessageLength)
	}
	buf = buf[:headerIPFIX]
	if _, err := io.ReadFull(r, buf); err != nil {
		return nil, err
	}
	if v := binary.BigEndian.Uint16(buf); Protocol(v) != IPFIX {
		return nil, malformed(0, "version %d", v)
	}
	n := int(binary.BigEndian.Uint16(buf[2:]))
	if n < headerIPFIX {
		return nil, malformed(2, "length %d", n)
	}
	buf = buf[:n]
	if _, err := io.ReadFull(r, buf[headerIPFIX:]); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return buf, nil
}

// Decode reads one message of either protocol.
func (d *Decoder) Decode(b []byte) (*Message, error) {
	if len(b) < 2 {
		return nil, malformed(0, "%d bytes", len(b))
	}
	m := &Message{Protocol: Protocol(binary.BigEndian.Uint16(b))}
	at := headerIPFIX
	switch m.Protocol {
	case IPFIX:
		if len(b) < headerIPFIX || int(binary.BigEndian.Uint16(b[2:])) != len(b) {
			return nil, malformed(2, "the length is not that of the message")
		}
		m.ExportTime = int64(binary.BigEndian.Uint32(b[4:]))
		m.Sequence = binary.BigEndian.Uint32(b[8:])
		m.Domain = binary.BigEndian.Uint32(b[12:])
	case NetFlow9:
		if at = header9; len(b) < header9 {
			return nil, malformed(0, "%d bytes", len(b))
		}
		m.ExportTime = int64(binary.BigEndian.Uint32(b[8:]))
		m.Sequence = binary.BigEndian.Uint32(b[12:])
		m.Domain = binary.BigEndian.Uint32(b[16:])
	default:
		return nil, malformed(0, "version %d", m.Protocol)
	}
	for at < len(b) {
		if len(b)-at < setHeader {
			return nil, malformed(at, "%d bytes left for a set", len(b)-at)
		}
		id, n := binary.BigEndian.Uint16(b[at:]), int(binary.BigEndian.Uint16(b[at+2:]))
		if n < setHeader || n > len(b)-at {
			return nil, malformed(at+2, "a set of %d bytes", n)
		}
		body := &cursor{b: b[at+setHeader : at+n], base: at + setHeader}
		var err error
		switch {
		case m.Protocol == IPFIX && id == setTemplate, m.Protocol == NetFlow9 && id == set9Template:
			err = d.readTemplates(m, body, false)
		case m.Protocol == IPFIX && id == setOptions, m.Protocol == NetFlow9 && id == set9Options:
			err = d.readTemplates(m, body, true)
		case id >= firstTemplateID:
			err = d.readData(m, body, id)
		default:
			m.UnknownSets++
		}
		if err != nil {
			return nil, err
		}
		at += n
	}
	return m, nil
}

type cursor struct {
	b    []byte
	at   int
	base int
}

func (c *cursor) left() int { return len(c.b) - c.at }

func (c *cursor) u16() uint16 {
	v := binary.BigEndian.Uint16(c.b[c.at:])
	c.at += 2
	return v
}

func (d *Decoder) key(m *Message, id uint16) uint64 { return uint64(m.Domain)<<16 | uint64(id) }

func (d *Decoder) readTemplates(m *Message, c *cursor, options bool) error {
	for c.left() >= 4 {
		start := c.base + c.at
		t := &Template{ID: c.u16()}
		count := int(c.u16())
		if t.ID < firstTemplateID {
			if t.ID == 0 && m.Protocol == NetFlow9 {
				return nil // padding
			}
			return malformed(start, "template id %d", t.ID)
		}
		m.TemplateCount++
		if count == 0 && m.Protocol == IPFIX {
			delete(d.templates, d.key(m, t.ID))
			continue
		}
		if options {
			if c.left() < 2 {
				return malformed(start, "an options template ends early")
			}
			t.ScopeCount = int(c.u16())
			if m.Protocol == NetFlow9 { // bytes of scopes, then bytes of options
				scope := count / 4
				count, t.ScopeCount = scope+t.ScopeCount/4, scope
			}
			if t.ScopeCount == 0 || t.ScopeCount > count {
				return malformed(start, "%d scope fields of %d", t.ScopeCount, count)
			}
		}
		size := 0
		for i := range count {
			if c.left() < 4 {
				return malformed(start, "a template of %d fields ends early", count)
			}
			f := Element{ID: c.u16(), Length: c.u16()}
			switch {
			case m.Protocol == NetFlow9 && i < t.ScopeCount:
			case f.ID&enterpriseBit != 0 && m.Protocol == NetFlow9:
				f.PEN, f.ID = ownPEN, f.ID&^enterpriseBit
			case f.ID&enterpriseBit != 0:
				if c.left() < 4 {
					return malformed(start, "an enterprise number is missing")
				}
				f.ID &^= enterpriseBit
				f.PEN = binary.BigEndian.Uint32(c.b[c.at:])
				c.at += 4
			}
			d.name(&f)
			if size += int(f.Length); f.Length == VariableLength {
				size -= VariableLength - 1
			}
			t.Fields = append(t.Fields, f)
		}
		if size == 0 {
			return malformed(start, "records of no length")
		}
		if _, known := d.templates[d.key(m, t.ID)]; !known && len(d.templates) >= mostTemplates {
			return malformed(start, "over %d templates", mostTemplates)
		}
		d.templates[d.key(m, t.ID)] = t
	}
	return nil
}

// ownPEN is whom version 9's ids above 32768 are taken to be of.
const ownPEN = 32473

// name gives a field the type that is known of its element, or one by its length.
func (d *Decoder) name(f *Element) {
	if e, ok := d.Elements[[2]uint32{f.PEN, uint32(f.ID)}]; ok {
		if n := e.Type.size(); n == 0 || int(f.Length) <= n && f.Length > 0 {
			f.Type, f.Name = e.Type, e.Name
			return
		}
	}
	f.Name = fmt.Sprintf("%d/%d", f.PEN, f.ID)
	switch f.Length {
	case 1:
		f.Type = Unsigned8
	case 2:
		f.Type = Unsigned16
	case 4:
		f.Type = Unsigned32
	case 8:
		f.Type = Unsigned64
	}
}

func (d *Decoder) readData(m *Message, c *cursor, id uint16) error {
	t := d.templates[d.key(m, id)]
	if t == nil {
		m.UnknownSets++
		return nil
	}
	least := 0
	for _, f := range t.Fields {
		if f.Length == VariableLength {
			least++
		} else {
			least += int(f.Length)
		}
	}
	for c.left() >= least && c.left() > 0 {
		if m.Protocol == NetFlow9 && c.left() < 4 && least < 4 {
			return nil // what is left may be padding
		}
		rec := Record{Template: t, Values: make([]Value, len(t.Fields))}
		for i := range t.Fields {
			if err := c.value(&t.Fields[i], &rec.Values[i], m.Protocol); err != nil {
				return err
			}
		}
		m.Records = append(m.Records, rec)
		d.learn(&rec)
	}
	return nil
}

func (c *cursor) value(f *Element, v *Value, p Protocol) error {
	n := int(f.Length)
	if f.Length == VariableLength {
		if c.left() < 1 {
			return malformed(c.base+c.at, "a value ends early")
		}
		n = int(c.b[c.at])
		if c.at++; n == 255 {
			if c.left() < 2 {
				return malformed(c.base+c.at, "a length ends early")
			}
			n = int(c.u16())
		}
	}
	if c.left() < n {
		return malformed(c.base+c.at, "a value of %d bytes, %d left", n, c.left())
	}
	raw := c.b[c.at : c.at+n]
	c.at += n
	switch {
	case f.Type == Boolean:
		if raw[0] == 1 {
			v.Num = 1
		}
	case f.Type == String && (p == NetFlow9 || f.Length != VariableLength):
		v.Str = strings.TrimRight(string(raw), "\x00")
	case f.Type == String || f.Type == OctetArray || n > 8:
		v.Str = string(raw)
	default:
		for _, x := range raw {
			v.Num = v.Num<<8 | uint64(x)
		}
		if f.Type >= Signed8 && f.Type <= Signed64 && n > 0 {
			shift := 64 - 8*n
			v.Num = uint64(int64(v.Num<<shift) >> shift)
		}
	}
	return nil
}

// The elements by which a stream describes others (RFC 5610).
var (
	elemPEN       = Element{ID: 346, Type: Unsigned32, Length: 4, Name: "privateEnterpriseNumber"}
	elemID        = Element{ID: 303, Type: Unsigned16, Length: 2, Name: "informationElementId"}
	elemType      = Element{ID: 339, Type: Unsigned8, Length: 1, Name: "informationElementDataType"}
	elemSemantics = Element{ID: 344, Type: Unsigned8, Length: 1, Name: "informationElementSemantics"}
	elemUnits     = Element{ID: 345, Type: Unsigned16, Length: 2, Name: "informationElementUnits"}
	elemName      = Element{ID: 341, Type: String, Length: VariableLength, Name: "informationElementName"}
)

// TypeInfoTemplate is the options template for the descriptions of elements.
func TypeInfoTemplate(id uint16) *Template {
	return &Template{ID: id, ScopeCount: 2, Fields: []Element{elemPEN, elemID, elemType, elemSemantics, elemUnits, elemName}}
}

// TypeInfoRecord is the record that describes an element; units are those of the
// IANA registry informationElementUnits, 0 for none.
func TypeInfoRecord(e Element, units uint16) []Value {
	semantics := uint64(0) // default
	if e.Type == Unsigned64 {
		semantics = 1 // quantity
	}
	return []Value{{Num: uint64(e.PEN)}, {Num: uint64(e.ID)}, {Num: uint64(e.Type)}, {Num: semantics}, {Num: uint64(units)}, {Str: e.Name}}
}

// learn takes the description of an element from the stream itself.
func (d *Decoder) learn(r *Record) {
	pen, ok1 := r.Get(0, elemPEN.ID)
	id, ok2 := r.Get(0, elemID.ID)
	typ, ok3 := r.Get(0, elemType.ID)
	name, ok4 := r.Get(0, elemName.ID)
	if !ok1 || !ok2 || !ok3 || !ok4 || len(d.Elements) >= mostTemplates {
		return
	}
	e := Element{PEN: uint32(pen.Num), ID: uint16(id.Num), Type: Type(typ.Num), Name: name.Str}
	d.Elements[[2]uint32{e.PEN, uint32(e.ID)}] = e
	for _, t := range d.templates { // those that came before it; each for itself
		for i := range t.Fields {
			if f := &t.Fields[i]; f.PEN == e.PEN && f.ID == e.ID {
				d.name(f)
			}
		}
	}
}

// TypeInfoElements are IANA's elements that are used here.
var TypeInfoElements = []Element{elemPEN, elemID, elemType, elemSemantics, elemUnits, elemName}
