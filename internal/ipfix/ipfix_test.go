package ipfix

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/netsampler/goflow2/v2/decoders/netflow"
	"pgregory.net/rapid"
)

const testPEN = netflow9PEN

var testElements = []Element{
	{ID: 152, Type: DateTimeMilliseconds, Length: 8, Name: "flowStartMilliseconds"},
	{PEN: testPEN, ID: 1, Type: String, Length: VariableLength, Name: "class"},
	{PEN: testPEN, ID: 2, Type: Unsigned8, Length: 1, Name: "u8"},
	{PEN: testPEN, ID: 3, Type: Unsigned16, Length: 2, Name: "u16"},
	{PEN: testPEN, ID: 4, Type: Unsigned32, Length: 4, Name: "u32"},
	{PEN: testPEN, ID: 5, Type: Unsigned64, Length: 8, Name: "u64"},
	{PEN: testPEN, ID: 6, Type: Boolean, Length: 1, Name: "flag"},
	{PEN: testPEN, ID: 7, Type: Float64, Length: 8, Name: "float"},
	{PEN: testPEN, ID: 8, Type: Unsigned64, Length: 3, Name: "reduced"},
	{PEN: testPEN, ID: 9, Type: Signed32, Length: 4, Name: "signed"},
}

func newTestDecoder() *Decoder { return NewDecoder(append(testElements, TypeInfoElements...)...) }

// drawRecords draws templates, records and the template of each record.
func drawRecords(t *rapid.T, protocol Protocol) ([]*Template, [][]Value, []*Template) {
	var templates []*Template
	for i := range rapid.IntRange(1, 3).Draw(t, "templates") {
		// The first field is a number of four bytes: NetFlow version 9 pads sets with up
		// to three bytes and has no names for scope fields, and goflow2 can't decode
		// records that may be empty.
		template := &Template{ID: uint16(256 + i), Fields: []Element{testElements[4]}}
		for _, j := range rapid.SliceOfNDistinct(rapid.IntRange(0, len(testElements)-1), 1, len(testElements), rapid.ID).Draw(t, "fields") {
			if j != 4 {
				template.Fields = append(template.Fields, testElements[j])
			}
		}
		if rapid.Bool().Draw(t, "options") && len(template.Fields) > 1 {
			template.ScopeCount = 1
		}
		templates = append(templates, template)
	}
	var records [][]Value
	var recordTemplates []*Template
	for range rapid.IntRange(0, 12).Draw(t, "records") {
		template := rapid.SampledFrom(templates).Draw(t, "template")
		record := make([]Value, len(template.Fields))
		for i, field := range template.Fields {
			switch {
			case field.Type == String:
				maxLength := 300
				if protocol == NetFlow9 {
					maxLength = netflow9StringLength
				}
				record[i].Str = rapid.StringMatching(`[a-z ]{0,20}[a-z]`).Draw(t, "string")
				if rapid.Bool().Draw(t, "long") {
					record[i].Str = strings.Repeat("x", maxLength)
				}
			case field.Type == Boolean:
				record[i].Num = rapid.Uint64Range(0, 1).Draw(t, "flag")
			case field.Type == Signed32:
				record[i].Num = uint64(int64(rapid.Int32().Draw(t, "signed")))
			default:
				record[i].Num = rapid.Uint64().Draw(t, "number") >> (64 - 8*field.Length)
			}
		}
		records, recordTemplates = append(records, record), append(recordTemplates, template)
	}
	return templates, records, recordTemplates
}

func TestRoundTrip(t *testing.T) {
	for _, protocol := range []Protocol{IPFIX, NetFlow9} {
		rapid.Check(t, func(t *rapid.T) {
			templates, records, recordTemplates := drawRecords(t, protocol)
			writer, decoder := NewWriter(protocol, 7, rapid.IntRange(600, 2000).Draw(t, "maxLength")), newTestDecoder()
			var decoded []Record
			recordsSent := 0
			finish := func() {
				sequence, count := writer.Sequence(), writer.RecordCount()
				data := writer.Finish(1_700_000_000_000, 5000)
				if data == nil {
					return
				}
				message, err := decoder.Decode(bytes.Clone(data))
				if err != nil {
					t.Fatalf("error %v while decoding % x", err, data)
				}
				if message.Domain != 7 || message.ExportTime != 1_700_000_000 || message.Sequence != sequence ||
					len(message.Records) != count || message.UnknownSets != 0 {
					t.Fatalf("decoded %+v, want sequence %d and %d records", message, sequence, count)
				}
				if protocol == IPFIX && message.Sequence != uint32(recordsSent) {
					t.Fatalf("sequence %d after %d data records", message.Sequence, recordsSent)
				}
				recordsSent += count
				decoded = append(decoded, message.Records...)
			}
			add := func(addRecord func() error) {
				if err := addRecord(); errors.Is(err, ErrFull) {
					finish()
					err = addRecord()
					if err != nil {
						t.Fatal(err)
					}
				} else if err != nil {
					t.Fatal(err)
				}
			}
			for _, template := range templates {
				add(func() error { return writer.AddTemplate(template) })
			}
			for i := range records {
				add(func() error { return writer.AddRecord(recordTemplates[i], records[i]) })
			}
			finish()
			if len(decoded) != len(records) {
				t.Fatalf("%d records decoded, want %d", len(decoded), len(records))
			}
			for i := range records {
				for j := range records[i] {
					if decoded[i].Values[j] != records[i][j] {
						t.Fatalf("record %d field %s: %v, want %v", i, recordTemplates[i].Fields[j].Name, decoded[i].Values[j], records[i][j])
					}
				}
			}
		})
	}
}

// An independent library, goflow2, decodes the same values from the same bytes.
func TestGoflow2DecodesSameValues(t *testing.T) {
	for _, protocol := range []Protocol{IPFIX, NetFlow9} {
		rapid.Check(t, func(t *rapid.T) {
			templates, records, recordTemplates := drawRecords(t, protocol)
			writer := NewWriter(protocol, 9, MaxMessageLength)
			for _, template := range templates {
				if err := writer.AddTemplate(template); err != nil {
					t.Fatal(err)
				}
			}
			for i := range records {
				if err := writer.AddRecord(recordTemplates[i], records[i]); err != nil {
					t.Fatal(err)
				}
			}
			data := bytes.Clone(writer.Finish(1_700_000_000_000, 1000))
			var netflow9 netflow.NFv9Packet
			var ipfixPacket netflow.IPFIXPacket
			if err := netflow.DecodeMessageVersion(bytes.NewBuffer(data), netflow.CreateTemplateSystem(), &netflow9, &ipfixPacket); err != nil {
				t.Fatalf("goflow2: error %v while decoding % x", err, data)
			}
			sets := ipfixPacket.FlowSets
			if protocol == NetFlow9 {
				sets = netflow9.FlowSets
			}
			var decoded [][]netflow.DataField
			for _, s := range sets {
				switch set := s.(type) {
				case netflow.DataFlowSet:
					for _, r := range set.Records {
						decoded = append(decoded, r.Values)
					}
				case netflow.OptionsDataFlowSet:
					for _, r := range set.Records {
						decoded = append(decoded, append(append([]netflow.DataField{}, r.ScopesValues...), r.OptionsValues...))
					}
				}
			}
			if len(decoded) < len(records) {
				t.Fatalf("%d records decoded, want %d", len(decoded), len(records))
			}
			for i := range records {
				for j, field := range recordTemplates[i].Fields {
					raw := decoded[i][j].Value.([]byte)
					expected := NewWriter(protocol, 0, MaxMessageLength)
					expected.appendValue(&Element{ID: field.ID, PEN: field.PEN, Type: field.Type, Length: field.Length}, &records[i][j])
					want := expected.buf
					if protocol == IPFIX && field.Length == VariableLength { // without the length in front of the value
						if want[0] == 255 {
							want = want[3:]
						} else {
							want = want[1:]
						}
						raw = raw[len(raw)-len(want):]
					}
					if !bytes.Equal(raw, want) {
						t.Fatalf("record %d field %s: % x, want % x", i, field.Name, raw, want)
					}
				}
			}
		})
	}
}

func TestDecoderLearnsTypeInformation(t *testing.T) {
	element := Element{PEN: testPEN, ID: 77, Type: String, Length: VariableLength, Name: "reason"}
	typeInfo := TypeInfoTemplate(300)
	template := &Template{ID: 301, Fields: []Element{element}}
	writer := NewWriter(IPFIX, 1, 1400)
	decoder := NewDecoder(TypeInfoElements...)
	for _, err := range []error{
		writer.AddTemplate(typeInfo),
		writer.AddTemplate(template),
		writer.AddRecord(typeInfo, TypeInfoRecord(element, 0)),
		writer.AddRecord(template, []Value{{Str: "busy"}}),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	message, err := decoder.Decode(writer.Finish(0, 0))
	if err != nil || len(message.Records) != 2 {
		t.Fatalf("decoded %+v, error %v", message, err)
	}
	if field := message.Records[1].Template.Fields[0]; field.Name != "reason" || message.Records[1].Values[0].Str != "busy" {
		t.Fatalf("decoded field %+v of record %+v", field, message.Records[1])
	}
}

func TestWithdrawnTemplateIsUnknown(t *testing.T) {
	template := &Template{ID: 256, Fields: testElements[:1]}
	writer, decoder := NewWriter(IPFIX, 1, 1400), newTestDecoder()
	writer.AddTemplate(template)
	writer.WithdrawTemplate(template)
	writer.AddRecord(template, []Value{{Num: 1}})
	if message, err := decoder.Decode(writer.Finish(0, 0)); err != nil || message.UnknownSets != 1 ||
		message.TemplateCount != 2 || len(message.Records) != 0 {
		t.Fatalf("decoded %+v, error %v", message, err)
	}
}

func TestReadMessageFromTruncatedStream(t *testing.T) {
	template := &Template{ID: 256, Fields: testElements[:1]}
	writer := NewWriter(IPFIX, 1, 1400)
	var stream []byte
	for range 3 {
		writer.AddTemplate(template)
		writer.AddRecord(template, []Value{{Num: 5}})
		stream = append(stream, writer.Finish(0, 0)...)
	}
	for length := range len(stream) + 1 {
		reader, reads := bytes.NewReader(stream[:length]), 0
		var err error
		for ; err == nil; reads++ {
			_, err = ReadMessage(reader, nil)
		}
		betweenMessages := length%(len(stream)/3) == 0
		if betweenMessages != errors.Is(err, io.EOF) || !betweenMessages && !errors.Is(err, io.ErrUnexpectedEOF) || reads-1 != length/(len(stream)/3) {
			t.Fatalf("stream cut at %d: %d messages, error %v", length, reads-1, err)
		}
	}
}

func TestWriterLimits(t *testing.T) {
	template := &Template{ID: 256, Fields: []Element{testElements[1]}}
	writer := NewWriter(IPFIX, 1, 300)
	if err := writer.AddRecord(template, []Value{{Str: strings.Repeat("x", 400)}}); err == nil || errors.Is(err, ErrFull) {
		t.Errorf("AddRecord of a record larger than the maximum message returned %v", err)
	}
	if err := writer.AddRecord(template, nil); err == nil {
		t.Error("AddRecord accepted a record without values")
	}
	if writer.Finish(0, 0) != nil {
		t.Error("Finish returned an empty message")
	}
	count := 0
	for writer.AddRecord(template, []Value{{Str: "0123456789"}}) == nil {
		count++
	}
	if message := writer.Finish(0, 0); len(message) > 300 || count < 20 {
		t.Errorf("%d records in %d bytes", count, len(message))
	}
}

func FuzzDecode(f *testing.F) {
	for _, protocol := range []Protocol{IPFIX, NetFlow9} {
		writer := NewWriter(protocol, 1, 1400)
		writer.AddTemplate(&Template{ID: 256, Fields: testElements})
		writer.AddTemplate(&Template{ID: 257, ScopeCount: 1, Fields: testElements[3:6]})
		writer.AddRecord(&Template{ID: 256, Fields: testElements}, make([]Value, len(testElements)))
		f.Add(bytes.Clone(writer.Finish(1, 1)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 4 && binary.BigEndian.Uint16(data) == uint16(IPFIX) {
			binary.BigEndian.PutUint16(data[2:], uint16(len(data)))
		}
		decoder := newTestDecoder()
		message, err := decoder.Decode(data)
		if err == nil && len(message.Records) > len(data) {
			t.Fatalf("%d records decoded from %d bytes", len(message.Records), len(data))
		}
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
	})
}

var benchmarkFields = []Element{
	testElements[0], testElements[1], testElements[2], testElements[3], testElements[4],
	testElements[5], testElements[4], testElements[4], testElements[2], testElements[2],
}

// benchmarkRecord returns a writer and a typical record with its template.
func benchmarkRecord(protocol Protocol) (*Writer, *Template, []Value) {
	template := &Template{ID: 256, Fields: benchmarkFields}
	values := make([]Value, len(benchmarkFields))
	values[0].Num, values[1].Str, values[5].Num = 1_700_000_000_000, "conference", 1<<40
	return NewWriter(protocol, 1, 1400), template, values
}

// BenchmarkEncode measures AddRecord. BenchmarkCopy measures copying the same bytes.
func BenchmarkEncode(b *testing.B) {
	for name, protocol := range map[string]Protocol{"ipfix": IPFIX, "netflow9": NetFlow9} {
		b.Run(name, func(b *testing.B) {
			writer, template, values := benchmarkRecord(protocol)
			totalBytes := 0
			b.ReportAllocs()
			for b.Loop() {
				if writer.AddRecord(template, values) != nil {
					totalBytes += len(writer.Finish(0, 0))
					writer.AddRecord(template, values)
				}
			}
			b.SetBytes(int64(totalBytes / max(b.N, 1)))
			b.ReportMetric(float64(totalBytes)/float64(b.N), "B/record")
		})
	}
}

// fullMessage returns a message with a template and as many records as fit.
func fullMessage() []byte {
	writer, template, values := benchmarkRecord(IPFIX)
	writer.AddTemplate(template)
	for writer.AddRecord(template, values) == nil {
	}
	return bytes.Clone(writer.Finish(0, 0))
}

func BenchmarkCopy(b *testing.B) {
	message := fullMessage()
	recordLength := len(message) / 27
	buf := make([]byte, 0, 2000)
	for i := 0; b.Loop(); i++ {
		if len(buf)+recordLength > 1400 {
			buf = buf[:0]
		}
		buf = append(buf, message[:recordLength]...)
	}
}

func BenchmarkDecode(b *testing.B) {
	data := fullMessage()
	message, _ := newTestDecoder().Decode(data)
	b.Run("ipfix", func(b *testing.B) {
		decoder := newTestDecoder()
		b.ReportAllocs()
		for b.Loop() {
			if _, err := decoder.Decode(data); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(message.Records)), "ns/record")
	})
	b.Run("goflow2", func(b *testing.B) {
		templates := netflow.CreateTemplateSystem()
		b.ReportAllocs()
		for b.Loop() {
			var netflow9 netflow.NFv9Packet
			var ipfixPacket netflow.IPFIXPacket
			if err := netflow.DecodeMessageVersion(bytes.NewBuffer(data), templates, &netflow9, &ipfixPacket); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(message.Records)), "ns/record")
	})
}
