package isup

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"testing"
	"testing/iotest"
)

func newSetUp() *Message {
	return (&Message{Type: SetUp, CallID: 0x9b1f03aa5c7e2d41}).Add(ParamClass, []byte("voice")).Add(ParamPatience, []byte("1500")).
		Add(ParamDescription, []byte("9d41c07a5be2f318\r\n"))
}

func TestAppendWireFormat(t *testing.T) {
	got := newRelease().Append(nil)
	want := []byte{0, 18, 12, 0, 0, 0, 0, 0, 0, 0, 7, 106, 0, 1, 42, 82, 0, 2, '2', '0'}
	want[1] = byte(len(want) - 2)
	if !bytes.Equal(got, want) {
		t.Fatalf("got % x, want % x", got, want)
	}
}

func newRelease() *Message {
	return (&Message{Type: Release, CallID: 7}).Add(ParamCause, []byte{42}).Add(ParamRetryAfter, []byte("20"))
}

func TestReadFragmentedMessages(t *testing.T) {
	wire := newRelease().Append(newSetUp().Append(nil))
	for name, r := range map[string]io.Reader{"whole": bytes.NewReader(wire), "single bytes": iotest.OneByteReader(bytes.NewReader(wire))} {
		reader := NewReader(r, nil)
		for _, want := range []*Message{newSetUp(), newRelease()} {
			m, err := reader.Read()
			if err != nil || !reflect.DeepEqual(m, want) {
				t.Fatalf("%s: read %+v, error %v", name, m, err)
			}
		}
		if _, err := reader.Read(); err != io.EOF {
			t.Fatalf("%s: error at the end of the stream is %v, want EOF", name, err)
		}
	}
}

func TestReadRejectsMalformedMessages(t *testing.T) {
	for name, wire := range map[string][]byte{
		"length below the header size":    {0, 8, 1, 0, 0, 0, 0, 0, 0, 0, 1},
		"length above MaxMessageBytes":    {0x40, 1, 1, 0, 0, 0, 0, 0, 0, 0, 1},
		"parameter exceeds the message":   {0, 12, 1, 0, 0, 0, 0, 0, 0, 0, 1, 64, 0, 1},
		"truncated parameter header":      {0, 11, 1, 0, 0, 0, 0, 0, 0, 0, 1, 64, 0},
		"parameter length of 65535 bytes": {0, 13, 1, 0, 0, 0, 0, 0, 0, 0, 1, 64, 0xff, 0xff, 1},
	} {
		if _, err := NewReader(bytes.NewReader(wire), nil).Read(); !errors.Is(err, ErrSyntax) {
			t.Errorf("%s: error is %v, want ErrSyntax", name, err)
		}
	}
	if _, err := NewReader(bytes.NewReader(newSetUp().Append(nil)[:20]), nil).Read(); err != io.ErrUnexpectedEOF {
		t.Errorf("truncated message: error is %v, want ErrUnexpectedEOF", err)
	}
}

func TestReaderReportsPartialMessages(t *testing.T) {
	var reports []bool
	r := NewReader(iotest.OneByteReader(bytes.NewReader(newSetUp().Append(nil))), func(partial bool) { reports = append(reports, partial) })
	if _, err := r.Read(); err != nil || !reflect.DeepEqual(reports, []bool{true, false}) {
		t.Fatalf("fragmented message: reports %v, error %v; want true, false and no error", reports, err)
	}
	reports = nil
	r = NewReader(bytes.NewReader(newSetUp().Append(nil)), func(partial bool) { reports = append(reports, partial) })
	if _, err := r.Read(); err != nil || reports != nil {
		t.Fatalf("message that arrived whole: reports %v, error %v; want none", reports, err)
	}
}

// Many peers that each claim a long message must not exhaust the memory before
// the messages arrive.
func TestClaimedLengthAllocatesNoMemory(t *testing.T) {
	body, err := readBody(bytes.NewReader(make([]byte, 10)), MaxMessageBytes)
	if err == nil || cap(body) > 4<<10 {
		t.Fatalf("%d bytes allocated for 10 received, error %v; want at most 4096 and an error", cap(body), err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(newSetUp().Append(nil))
	f.Add(newRelease().Append(newSetUp().Append(nil)))
	f.Add([]byte{0x40, 1, 1, 0, 0, 0, 0, 0, 0, 0, 1, 64, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, wire []byte) {
		r := NewReader(bytes.NewReader(wire), nil)
		for rest := wire; ; {
			m, err := r.Read()
			if err != nil {
				return
			}
			received := rest[:2+int(binary.BigEndian.Uint16(rest))]
			rest = rest[len(received):]
			encoded := m.Append(nil)
			if len(encoded) > len(received) || len(encoded) == len(received) && !bytes.Equal(encoded, received) {
				t.Fatalf("% x was read and encoded as % x", received, encoded)
			}
			if again, err := NewReader(bytes.NewReader(encoded), nil).Read(); err != nil || !reflect.DeepEqual(again, m) {
				t.Fatalf("% x was read as %+v and its encoding as %+v, error %v", received, m, again, err)
			}
		}
	})
}

// Guards against a process over its memory limit: a message that is full of short parameters took ten times its
// length.
func TestUnknownAndRepeatedParametersAreSkipped(t *testing.T) {
	want := newSetUp()
	crowded := newSetUp()
	for crowded.Len()+3 <= MaxMessageBytes {
		crowded.Add(200, nil)
		crowded.Add(ParamClass, nil)
	}
	got, err := NewReader(bytes.NewReader(crowded.Append(nil)), nil).Read()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("read %d parameters, error %v; want the %d of the set-up", len(got.Params), err, len(want.Params))
	}
}
