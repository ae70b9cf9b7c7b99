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

const pen = ownPEN

var all = []Element{
	{ID: 152, Type: DateTimeMilliseconds, Length: 8, Name: "flowStartMilliseconds"},
	{PEN: pen, ID: 1, Type: String, Length: VariableLength, Name: "class"},
	{PEN: pen, ID: 2, Type: Unsigned8, Length: 1, Name: "u8"},
	{PEN: pen, ID: 3, Type: Unsigned16, Length: 2, Name: "u16"},
	{PEN: pen, ID: 4, Type: Unsigned32, Length: 4, Name: "u32"},
	{PEN: pen, ID: 5, Type: Unsigned64, Length: 8, Name: "u64"},
	{PEN: pen, ID: 6, Type: Boolean, Length: 1, Name: "flag"},
	{PEN: pen, ID: 7, Type: Float64, Length: 8, Name: "float"},
	{PEN: pen, ID: 8, Type: Unsigned64, Length: 3, Name: "reduced"},
	{PEN: pen, ID: 9, Type: Signed32, Length: 4, Name: "signed"},
}

func decoder() *Decoder { return NewDecoder(append(all, TypeInfoElements...)...) }

// genRecords draws templates and records that fit them.
func genRecords(t *rapid.T, p Protocol) ([]*Template, [][]Value, []*Template) {
	var ts []*Template
	for i := range rapid.IntRange(1, 3).Draw(t, "templates") {
		// a number first: version 9 pads with up to three bytes and its scopes have no
		// names, and the other library can't read records that may be empty
		tmpl := &Template{ID: uint16(256 + i), Fields: []Element{all[4]}}
		for _, j := range rapid.SliceOfNDistinct(rapid.IntRange(0, len(all)-1), 1, len(all), rapid.ID).Draw(t, "fields") {
			if j != 4 {
				tmpl.Fields = append(tmpl.Fields, all[j])
			}
		}
		if rapid.Bool().Draw(t, "options") && len(tmpl.Fields) > 1 {
			tmpl.ScopeCount = 1
		}
		ts = append(ts, tmpl)
	}
	var recs [][]Value
	var of []*Template
	for range rapid.IntRange(0, 12).Draw(t, "records") {
		tmpl := rapid.SampledFrom(ts).Draw(t, "template")
		rec := make([]Value, len(tmpl.Fields))
		for i, f := range tmpl.Fields {
			switch {
			case f.Type == String:
				most := 300
				if p == NetFlow9 {
					most = v9String
				}
				rec[i].Str = rapid.StringMatching(`[a-z ]{0,20}[a-z]`).Draw(t, "string")
				if rapid.Bool().Draw(t, "long") {
					rec[i].Str = strings.Repeat("x", most)
				}
			case f.Type == Boolean:
				rec[i].Num = rapid.Uint64Range(0, 1).Draw(t, "flag")
			case f.Type == Signed32:
				rec[i].Num = uint64(int64(rapid.Int32().Draw(t, "signed")))
			default:
				rec[i].Num = rapid.Uint64().Draw(t, "number") >> (64 - 8*f.Length)
			}
		}
		recs, of = append(recs, rec), append(of, tmpl)
	}
	return ts, recs, of
}

func TestRoundTrip(t *testing.T) {
	for _, p := range []Protocol{IPFIX, NetFlow9} {
		rapid.Check(t, func(t *rapid.T) {
			ts, recs, of := genRecords(t, p)
			w, d := NewWriter(p, 7, rapid.IntRange(600, 2000).Draw(t, "most")), decoder()
			var got []Record
			sent := 0
			take := func() {
				seq, n := w.Sequence(), w.RecordCount()
				b := w.Finish(1_700_000_000_000, 5000)
				if b == nil {
					return
				}
				m, err := d.Decode(bytes.Clone(b))
				if err != nil {
					t.Fatalf("%v in % x", err, b)
				}
				if m.Domain != 7 || m.ExportTime != 1_700_000_000 || m.Sequence != seq || len(m.Records) != n || m.UnknownSets != 0 {
					t.Fatalf("%+v, want sequence %d and %d records", m, seq, n)
				}
				if p == IPFIX && m.Sequence != uint32(sent) {
					t.Fatalf("sequence %d after %d records", m.Sequence, sent)
				}
				sent += n
				got = append(got, m.Records...)
			}
			add := func(f func() error) {
				if err := f(); errors.Is(err, ErrFull) {
					take()
					err = f()
					if err != nil {
						t.Fatal(err)
					}
				} else if err != nil {
					t.Fatal(err)
				}
			}
			for _, tmpl := range ts {
				add(func() error { return w.AddTemplate(tmpl) })
			}
			for i := range recs {
				add(func() error { return w.AddRecord(of[i], recs[i]) })
			}
			take()
			if len(got) != len(recs) {
				t.Fatalf("%d records, want %d", len(got), len(recs))
			}
			for i := range recs {
				for j := range recs[i] {
					if got[i].Values[j] != recs[i][j] {
						t.Fatalf("record %d field %s: %v, want %v", i, of[i].Fields[j].Name, got[i].Values[j], recs[i][j])
					}
				}
			}
		})
	}
}

// The same bytes read by a library that nobody here wrote, with the same values.
func TestAnotherLibraryReadsTheSame(t *testing.T) {
	for _, p := range []Protocol{IPFIX, NetFlow9} {
		rapid.Check(t, func(t *rapid.T) {
			ts, recs, of := genRecords(t, p)
			w := NewWriter(p, 9, MaxMessageLength)
			for _, tmpl := range ts {
				if err := w.AddTemplate(tmpl); err != nil {
					t.Fatal(err)
				}
			}
			for i := range recs {
				if err := w.AddRecord(of[i], recs[i]); err != nil {
					t.Fatal(err)
				}
			}
			b := bytes.Clone(w.Finish(1_700_000_000_000, 1000))
			var v9 netflow.NFv9Packet
			var v10 netflow.IPFIXPacket
			if err := netflow.DecodeMessageVersion(bytes.NewBuffer(b), netflow.CreateTemplateSystem(), &v9, &v10); err != nil {
				t.Fatalf("%v in % x", err, b)
			}
			sets := v10.FlowSets
			if p == NetFlow9 {
				sets = v9.FlowSets
			}
			var got [][]netflow.DataField
			for _, s := range sets {
				switch s := s.(type) {
				case netflow.DataFlowSet:
					for _, r := range s.Records {
						got = append(got, r.Values)
					}
				case netflow.OptionsDataFlowSet:
					for _, r := range s.Records {
						got = append(got, append(append([]netflow.DataField{}, r.ScopesValues...), r.OptionsValues...))
					}
				}
			}
			if len(got) < len(recs) {
				t.Fatalf("%d records, want %d", len(got), len(recs))
			}
			for i := range recs {
				for j, f := range of[i].Fields {
					raw := got[i][j].Value.([]byte)
					want := NewWriter(p, 0, MaxMessageLength)
					want.value(&Element{ID: f.ID, PEN: f.PEN, Type: f.Type, Length: f.Length}, &recs[i][j])
					bytesWant := want.buf
					if p == IPFIX && f.Length == VariableLength { // the length in front is the other's too
						if bytesWant[0] == 255 {
							bytesWant = bytesWant[3:]
						} else {
							bytesWant = bytesWant[1:]
						}
						raw = raw[len(raw)-len(bytesWant):]
					}
					if !bytes.Equal(raw, bytesWant) {
						t.Fatalf("record %d field %s: % x, want % x", i, f.Name, raw, bytesWant)
					}
				}
			}
		})
	}
}

func TestDescriptionsTeach(t *testing.T) {
	own := Element{PEN: pen, ID: 77, Type: String, Length: VariableLength, Name: "reason"}
	desc := TypeInfoTemplate(300)
	data := &Template{ID: 301, Fields: []Element{own}}
	w := NewWriter(IPFIX, 1, 1400)
	d := NewDecoder(TypeInfoElements...)
	for _, err := range []error{w.AddTemplate(desc), w.AddTemplate(data), w.AddRecord(desc, TypeInfoRecord(own, 0)), w.AddRecord(data, []Value{{Str: "busy"}})} {
		if err != nil {
			t.Fatal(err)
		}
	}
	m, err := d.Decode(w.Finish(0, 0))
	if err != nil || len(m.Records) != 2 {
		t.Fatalf("%+v, %v", m, err)
	}
	if f := m.Records[1].Template.Fields[0]; f.Name != "reason" || m.Records[1].Values[0].Str != "busy" {
		t.Fatalf("%+v %+v", f, m.Records[1])
	}
}

func TestWithdrawnTemplateIsUnknown(t *testing.T) {
	tmpl := &Template{ID: 256, Fields: all[:1]}
	w, d := NewWriter(IPFIX, 1, 1400), decoder()
	w.AddTemplate(tmpl)
	w.WithdrawTemplate(tmpl)
	w.AddRecord(tmpl, []Value{{Num: 1}})
	if m, err := d.Decode(w.Finish(0, 0)); err != nil || m.UnknownSets != 1 || m.TemplateCount != 2 || len(m.Records) != 0 {
		t.Fatalf("%+v, %v", m, err)
	}
}

func TestStreamOfMessages(t *testing.T) {
	tmpl := &Template{ID: 256, Fields: all[:1]}
	w := NewWriter(IPFIX, 1, 1400)
	var stream []byte
	for range 3 {
		w.AddTemplate(tmpl)
		w.AddRecord(tmpl, []Value{{Num: 5}})
		stream = append(stream, w.Finish(0, 0)...)
	}
	for cut := range len(stream) + 1 {
		r, n := bytes.NewReader(stream[:cut]), 0
		var err error
		for ; err == nil; n++ {
			_, err = ReadMessage(r, nil)
		}
		whole := cut%(len(stream)/3) == 0
		if whole != errors.Is(err, io.EOF) || !whole && !errors.Is(err, io.ErrUnexpectedEOF) || n-1 != cut/(len(stream)/3) {
			t.Fatalf("cut at %d: %d messages, %v", cut, n-1, err)
		}
	}
}

func TestBoundsOfTheWriter(t *testing.T) {
	tmpl := &Template{ID: 256, Fields: []Element{all[1]}}
	w := NewWriter(IPFIX, 1, 300)
	if err := w.AddRecord(tmpl, []Value{{Str: strings.Repeat("x", 400)}}); err == nil || errors.Is(err, ErrFull) {
		t.Errorf("a record larger than any message: %v", err)
	}
	if err := w.AddRecord(tmpl, nil); err == nil {
		t.Error("a record without its fields")
	}
	if w.Finish(0, 0) != nil {
		t.Error("an empty message")
	}
	n := 0
	for w.AddRecord(tmpl, []Value{{Str: "0123456789"}}) == nil {
		n++
	}
	if b := w.Finish(0, 0); len(b) > 300 || n < 20 {
		t.Errorf("%d records in %d bytes", n, len(b))
	}
}

func FuzzDecode(f *testing.F) {
	for _, p := range []Protocol{IPFIX, NetFlow9} {
		w := NewWriter(p, 1, 1400)
		w.AddTemplate(&Template{ID: 256, Fields: all})
		w.AddTemplate(&Template{ID: 257, ScopeCount: 1, Fields: all[3:6]})
		w.AddRecord(&Template{ID: 256, Fields: all}, make([]Value, len(all)))
		f.Add(bytes.Clone(w.Finish(1, 1)))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 4 && binary.BigEndian.Uint16(b) == uint16(IPFIX) {
			binary.BigEndian.PutUint16(b[2:], uint16(len(b)))
		}
		d := decoder()
		m, err := d.Decode(b)
		if err == nil && len(m.Records) > len(b) {
			t.Fatalf("%d records of %d bytes", len(m.Records), len(b))
		}
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
	})
}

var benchFields = []Element{all[0], all[1], all[2], all[3], all[4], all[5], all[4], all[4], all[2], all[2]}

func benchMessage(p Protocol) (*Writer, *Template, []Value) {
	t := &Template{ID: 256, Fields: benchFields}
	v := make([]Value, len(benchFields))
	v[0].Num, v[1].Str, v[5].Num = 1_700_000_000_000, "conference", 1<<40
	return NewWriter(p, 1, 1400), t, v
}

// A record written; beside it the same bytes copied.
func BenchmarkEncode(b *testing.B) {
	for name, p := range map[string]Protocol{"ipfix": IPFIX, "netflow9": NetFlow9} {
		b.Run(name, func(b *testing.B) {
			w, t, v := benchMessage(p)
			total := 0
			b.ReportAllocs()
			for b.Loop() {
				if w.AddRecord(t, v) != nil {
					total += len(w.Finish(0, 0))
					w.AddRecord(t, v)
				}
			}
			b.SetBytes(int64(total / max(b.N, 1)))
			b.ReportMetric(float64(total)/float64(b.N), "B/record")
		})
	}
}

func full() []byte {
	w, t, v := benchMessage(IPFIX)
	w.AddTemplate(t)
	for w.AddRecord(t, v) == nil {
	}
	return bytes.Clone(w.Finish(0, 0))
}

func BenchmarkCopy(b *testing.B) {
	msg := full()
	per := len(msg) / 27
	dst := make([]byte, 0, 2000)
	for i := 0; b.Loop(); i++ {
		if len(dst)+per > 1400 {
			dst = dst[:0]
		}
		dst = append(dst, msg[:per]...)
	}
}

func BenchmarkDecode(b *testing.B) {
	msg := full()
	m, _ := decoder().Decode(msg)
	b.Run("ours", func(b *testing.B) {
		d := decoder()
		b.ReportAllocs()
		for b.Loop() {
			if _, err := d.Decode(msg); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(m.Records)), "ns/record")
	})
	b.Run("goflow2", func(b *testing.B) {
		ts := netflow.CreateTemplateSystem()
		b.ReportAllocs()
		for b.Loop() {
			var p9 netflow.NFv9Packet
			var p10 netflow.IPFIXPacket
			if err := netflow.DecodeMessageVersion(bytes.NewBuffer(msg), ts, &p9, &p10); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(m.Records)), "ns/record")
	})
}
