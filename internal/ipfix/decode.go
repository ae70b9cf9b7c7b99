package ipfix

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Record is one decoded data record.
type Record struct {
	Template *Template
	Values   []Value
}

// Get returns the value of the field with an element's enterprise number and ID.
func (r *Record) Get(pen uint32, id uint16) (Value, bool) {
	for i, field := range r.Template.Fields {
		if field.PEN == pen && field.ID == id {
			return r.Values[i], true
		}
	}
	return Value{}, false
}

// Message is one decoded message.
type Message struct {
	Protocol      Protocol
	ExportTime    int64 // seconds since 1970
	Sequence      uint32
	Domain        uint32 // observation domain ID, or source ID in NetFlow version 9
	Records       []Record
	TemplateCount int // template records, including withdrawals
	UnknownSets   int // sets whose template is not known
}

// Decoder decodes the messages of one stream. It remembers the stream's templates
// and the type information of its elements (RFC 5610).
type Decoder struct {
	// Elements holds the known elements by enterprise number and ID. Others are
	// read as unsigned numbers if they have the length of one, else as octets.
	Elements  map[[2]uint32]Element
	templates map[uint64]*Template
}

// maxTemplates limits the templates, and separately the elements, that a stream
// can make a decoder store.
const maxTemplates = 4096

// NewDecoder returns a decoder that knows the given elements and no templates.
func NewDecoder(known ...Element) *Decoder {
	d := &Decoder{Elements: map[[2]uint32]Element{}, templates: map[uint64]*Template{}}
	for _, element := range known {
		d.Elements[[2]uint32{element.PEN, uint32(element.ID)}] = element
	}
	return d
}

// ErrMalformed is wrapped by the errors of messages that can't be decoded.
var ErrMalformed = errors.New("malformed message")

// malformedError returns an error that wraps ErrMalformed and names the byte offset.
func malformedError(offset int, format string, args ...any) error {
	return fmt.Errorf("%w: byte %d: %s", ErrMalformed, offset, fmt.Sprintf(format, args...))
}

// ReadMessage reads one IPFIX message from a stream (TCP, RFC 7011 10.4; files,
// RFC 5655). It uses buf if that is large enough. It returns io.EOF if the stream
// ends between two messages, and io.ErrUnexpectedEOF if it ends within one.
func ReadMessage(r io.Reader, buf []byte) ([]byte, error) {
	if cap(buf) < MaxMessageLength {
		buf = make([]byte, MaxMessageLength)
	}
	buf = buf[:ipfixHeaderLength]
	if _, err := io.ReadFull(r, buf); err != nil {
		return nil, err
	}
	if version := binary.BigEndian.Uint16(buf); Protocol(version) != IPFIX {
		return nil, malformedError(0, "version %d", version)
	}
	length := int(binary.BigEndian.Uint16(buf[2:]))
	if length < ipfixHeaderLength {
		return nil, malformedError(2, "length %d", length)
	}
	buf = buf[:length]
	if _, err := io.ReadFull(r, buf[ipfixHeaderLength:]); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return buf, nil
}

// Decode decodes one message of either protocol.
func (d *Decoder) Decode(data []byte) (*Message, error) {
	if len(data) < 2 {
		return nil, malformedError(0, "%d bytes", len(data))
	}
	message := &Message{Protocol: Protocol(binary.BigEndian.Uint16(data))}
	offset := ipfixHeaderLength
	switch message.Protocol {
	case IPFIX:
		if len(data) < ipfixHeaderLength || int(binary.BigEndian.Uint16(data[2:])) != len(data) {
			return nil, malformedError(2, "the length in the header is not that of the message")
		}
		message.ExportTime = int64(binary.BigEndian.Uint32(data[4:]))
		message.Sequence = binary.BigEndian.Uint32(data[8:])
		message.Domain = binary.BigEndian.Uint32(data[12:])
	case NetFlow9:
		if offset = netflow9HeaderLength; len(data) < netflow9HeaderLength {
			return nil, malformedError(0, "%d bytes", len(data))
		}
		message.ExportTime = int64(binary.BigEndian.Uint32(data[8:]))
		message.Sequence = binary.BigEndian.Uint32(data[12:])
		message.Domain = binary.BigEndian.Uint32(data[16:])
	default:
		return nil, malformedError(0, "version %d", message.Protocol)
	}
	for offset < len(data) {
		if len(data)-offset < setHeaderLength {
			return nil, malformedError(offset, "%d bytes left for a set", len(data)-offset)
		}
		setID, length := binary.BigEndian.Uint16(data[offset:]), int(binary.BigEndian.Uint16(data[offset+2:]))
		if length < setHeaderLength || length > len(data)-offset {
			return nil, malformedError(offset+2, "set length %d", length)
		}
		body := &reader{data: data[offset+setHeaderLength : offset+length], start: offset + setHeaderLength}
		var err error
		switch {
		case message.Protocol == IPFIX && setID == templateSetID, message.Protocol == NetFlow9 && setID == netflow9TemplateSetID:
			err = d.readTemplates(message, body, false)
		case message.Protocol == IPFIX && setID == optionsTemplateSetID, message.Protocol == NetFlow9 && setID == netflow9OptionsSetID:
			err = d.readTemplates(message, body, true)
		case setID >= firstTemplateID:
			err = d.readData(message, body, setID)
		default:
			message.UnknownSets++
		}
		if err != nil {
			return nil, err
		}
		offset += length
	}
	return message, nil
}

// reader reads the body of a set.
type reader struct {
	data   []byte
	offset int
	start  int // offset of the body in the message, for errors
}

func (r *reader) remaining() int { return len(r.data) - r.offset }

func (r *reader) readUint16() uint16 {
	value := binary.BigEndian.Uint16(r.data[r.offset:])
	r.offset += 2
	return value
}

// templateKey returns the map key of a template. Template IDs are unique within
// an observation domain.
func (d *Decoder) templateKey(message *Message, id uint16) uint64 {
	return uint64(message.Domain)<<16 | uint64(id)
}

// readTemplates stores the templates of a template set or options template set.
func (d *Decoder) readTemplates(message *Message, body *reader, options bool) error {
	for body.remaining() >= 4 {
		start := body.start + body.offset
		template := &Template{ID: body.readUint16()}
		count := int(body.readUint16())
		if template.ID < firstTemplateID {
			if template.ID == 0 && message.Protocol == NetFlow9 {
				return nil // padding
			}
			return malformedError(start, "template id %d", template.ID)
		}
		message.TemplateCount++
		if count == 0 && message.Protocol == IPFIX {
			delete(d.templates, d.templateKey(message, template.ID))
			continue
		}
		if options {
			if body.remaining() < 2 {
				return malformedError(start, "truncated options template")
			}
			template.ScopeCount = int(body.readUint16())
			if message.Protocol == NetFlow9 { // has the lengths of the scope and option fields in bytes instead of counts
				scopeCount := count / 4
				count, template.ScopeCount = scopeCount+template.ScopeCount/4, scopeCount
			}
			if template.ScopeCount == 0 || template.ScopeCount > count {
				return malformedError(start, "%d scope fields of %d", template.ScopeCount, count)
			}
		}
		recordLength := 0
		for i := range count {
			if body.remaining() < 4 {
				return malformedError(start, "truncated template of %d fields", count)
			}
			field := Element{ID: body.readUint16(), Length: body.readUint16()}
			switch {
			case message.Protocol == NetFlow9 && i < template.ScopeCount:
			case field.ID&enterpriseBit != 0 && message.Protocol == NetFlow9:
				field.PEN, field.ID = netflow9PEN, field.ID&^enterpriseBit
			case field.ID&enterpriseBit != 0:
				if body.remaining() < 4 {
					return malformedError(start, "missing enterprise number")
				}
				field.ID &^= enterpriseBit
				field.PEN = binary.BigEndian.Uint32(body.data[body.offset:])
				body.offset += 4
			}
			d.resolveType(&field)
			if recordLength += int(field.Length); field.Length == VariableLength {
				recordLength -= VariableLength - 1
			}
			template.Fields = append(template.Fields, field)
		}
		if recordLength == 0 {
			return malformedError(start, "template with records of no length")
		}
		if _, known := d.templates[d.templateKey(message, template.ID)]; !known && len(d.templates) >= maxTemplates {
			return malformedError(start, "more than %d templates", maxTemplates)
		}
		d.templates[d.templateKey(message, template.ID)] = template
	}
	return nil
}

// netflow9PEN is the enterprise number that elements of NetFlow version 9 with IDs
// from 32768 up are assumed to belong to.
const netflow9PEN = 32473

// resolveType sets the type and name of a field from its element if that is known,
// else from its length.
func (d *Decoder) resolveType(field *Element) {
	if element, ok := d.Elements[[2]uint32{field.PEN, uint32(field.ID)}]; ok {
		if length := element.Type.size(); length == 0 || int(field.Length) <= length && field.Length > 0 {
			field.Type, field.Name = element.Type, element.Name
			return
		}
	}
	field.Name = fmt.Sprintf("%d/%d", field.PEN, field.ID)
	switch field.Length {
	case 1:
		field.Type = Unsigned8
	case 2:
		field.Type = Unsigned16
	case 4:
		field.Type = Unsigned32
	case 8:
		field.Type = Unsigned64
	}
}

// readData decodes the records of a data set.
func (d *Decoder) readData(message *Message, body *reader, id uint16) error {
	template := d.templates[d.templateKey(message, id)]
	if template == nil {
		message.UnknownSets++
		return nil
	}
	minLength := 0
	for _, field := range template.Fields {
		if field.Length == VariableLength {
			minLength++
		} else {
			minLength += int(field.Length)
		}
	}
	for body.remaining() >= minLength && body.remaining() > 0 {
		if message.Protocol == NetFlow9 && body.remaining() < 4 && minLength < 4 {
			return nil // may be padding
		}
		record := Record{Template: template, Values: make([]Value, len(template.Fields))}
		for i := range template.Fields {
			if err := body.readValue(&template.Fields[i], &record.Values[i], message.Protocol); err != nil {
				return err
			}
		}
		message.Records = append(message.Records, record)
		d.learnElement(&record)
	}
	return nil
}

// readValue decodes the value of one field.
func (r *reader) readValue(field *Element, value *Value, protocol Protocol) error {
	length := int(field.Length)
	if field.Length == VariableLength {
		if r.remaining() < 1 {
			return malformedError(r.start+r.offset, "truncated value")
		}
		length = int(r.data[r.offset])
		if r.offset++; length == 255 {
			if r.remaining() < 2 {
				return malformedError(r.start+r.offset, "truncated length of a value")
			}
			length = int(r.readUint16())
		}
	}
	if r.remaining() < length {
		return malformedError(r.start+r.offset, "value of %d bytes, but %d bytes left", length, r.remaining())
	}
	raw := r.data[r.offset : r.offset+length]
	r.offset += length
	switch {
	case field.Type == Boolean:
		if raw[0] == 1 {
			value.Num = 1
		}
	case field.Type == String && (protocol == NetFlow9 || field.Length != VariableLength):
		value.Str = strings.TrimRight(string(raw), "\x00")
	case field.Type == String || field.Type == OctetArray || length > 8:
		value.Str = string(raw)
	default:
		for _, octet := range raw {
			value.Num = value.Num<<8 | uint64(octet)
		}
		if field.Type >= Signed8 && field.Type <= Signed64 && length > 0 {
			shift := 64 - 8*length
			value.Num = uint64(int64(value.Num<<shift) >> shift)
		}
	}
	return nil
}

// The information elements that carry the type information of others (RFC 5610).
var (
	elemPEN       = Element{ID: 346, Type: Unsigned32, Length: 4, Name: "privateEnterpriseNumber"}
	elemID        = Element{ID: 303, Type: Unsigned16, Length: 2, Name: "informationElementId"}
	elemType      = Element{ID: 339, Type: Unsigned8, Length: 1, Name: "informationElementDataType"}
	elemSemantics = Element{ID: 344, Type: Unsigned8, Length: 1, Name: "informationElementSemantics"}
	elemUnits     = Element{ID: 345, Type: Unsigned16, Length: 2, Name: "informationElementUnits"}
	elemName      = Element{ID: 341, Type: String, Length: VariableLength, Name: "informationElementName"}
)

// TypeInfoTemplate returns the options template for information element type
// records (RFC 5610).
func TypeInfoTemplate(id uint16) *Template {
	return &Template{ID: id, ScopeCount: 2, Fields: []Element{elemPEN, elemID, elemType, elemSemantics, elemUnits, elemName}}
}

// TypeInfoRecord returns the values of the record that describes an element.
// units is a value of the IANA registry informationElementUnits, 0 for none.
func TypeInfoRecord(element Element, units uint16) []Value {
	semantics := uint64(0) // default
	if element.Type == Unsigned64 {
		semantics = 1 // quantity
	}
	return []Value{
		{Num: uint64(element.PEN)},
		{Num: uint64(element.ID)},
		{Num: uint64(element.Type)},
		{Num: semantics},
		{Num: uint64(units)},
		{Str: element.Name},
	}
}

// learnElement stores the element that a type information record describes. It
// ignores all other records.
func (d *Decoder) learnElement(record *Record) {
	pen, hasPEN := record.Get(0, elemPEN.ID)
	id, hasID := record.Get(0, elemID.ID)
	dataType, hasType := record.Get(0, elemType.ID)
	name, hasName := record.Get(0, elemName.ID)
	if !hasPEN || !hasID || !hasType || !hasName || len(d.Elements) >= maxTemplates {
		return
	}
	element := Element{PEN: uint32(pen.Num), ID: uint16(id.Num), Type: Type(dataType.Num), Name: name.Str}
	d.Elements[[2]uint32{element.PEN, uint32(element.ID)}] = element
	for _, template := range d.templates { // templates received before it; order doesn't matter
		for i := range template.Fields {
			if field := &template.Fields[i]; field.PEN == element.PEN && field.ID == element.ID {
				d.resolveType(field)
			}
		}
	}
}

// TypeInfoElements lists the IANA elements of type information records.
var TypeInfoElements = []Element{elemPEN, elemID, elemType, elemSemantics, elemUnits, elemName}
