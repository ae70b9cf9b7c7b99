package isup

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
	"testing/iotest"
)

func sample() *Message {
	return (&Message{Type: SetUp, CallID: 0x9b1f03aa5c7e2d41}).Add(ParamClass, []byte("voice")).Add(ParamPatience, []byte("1500")).
		Add(ParamDescription, []byte("9d41c07a5be2f318\r\n"))
}

func TestAMessageOnTheWire(t *testing.T) {
	got := release().Append(nil)
	want := []byte{0, 18, 12, 0, 0, 0, 0, 0, 0, 0, 7, 106, 0, 1, 42, 82, 0, 2, '2', '0'}
	want[1] = byte(len(want) - 2)
	if !bytes.Equal(got, want) {
		t.Fatalf("% x, want % x", got, want)
	}
}

func release() *Message {
	return (&Message{Type: Release, CallID: 7}).Add(ParamCause, []byte{42}).Add(ParamRetryAfter, []byte("20"))
}

func TestMessagesAreReadWhateverPiecesTheyComeIn(t *testing.T) {
	wire := release().Append(sample().Append(nil))
	for what, r := range map[string]io.Reader{"whole": bytes.NewReader(wire), "single bytes": iotest.OneByteReader(bytes.NewReader(wire))} {
		reader := NewReader(r, nil)
		for _, want := range []*Message{sample(), release()} {
			m, err := reader.Read()
			if err != nil || !reflect.DeepEqual(m, want) {
				t.Fatalf("%s: %+v, %v", what, m, err)
			}
		}
		if _, err := reader.Read(); err != io.EOF {
			t.Fatalf("%s: at the end: %v", what, err)
		}
	}
}

func TestWhatCantBeReadEndsTheStream(t *testing.T) {
	for what, wire := range map[string][]byte{
		"a length under the head":     {0, 8, 1, 0, 0, 0, 0, 0, 0, 0, 1},
		"a length over the most":      {0x40, 1, 1, 0, 0, 0, 0, 0, 0, 0, 1},
		"a parameter past the end":    {0, 12, 1, 0, 0, 0, 0, 0, 0, 0, 1, 64, 0, 1},
		"half a parameter's head":     {0, 11, 1, 0, 0, 0, 0, 0, 0, 0, 1, 64, 0},
		"a parameter of 65,535 bytes": {0, 13, 1, 0, 0, 0, 0, 0, 0, 0, 1, 64, 0xff, 0xff, 1},
	} {
		if _, err := NewReader(bytes.NewReader(wire), nil).Read(); !errors.Is(err, ErrSyntax) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if _, err := NewReader(bytes.NewReader(sample().Append(nil)[:20]), nil).Read(); err != io.ErrUnexpectedEOF {
		t.Errorf("half a message: %v", err)
	}
}

func TestTheReaderTellsWhenAMessageHasBegun(t *testing.T) {
	var told []bool
	r := NewReader(iotest.OneByteReader(bytes.NewReader(sample().Append(nil))), func(b bool) { told = append(told, b) })
	if _, err := r.Read(); err != nil || !reflect.DeepEqual(told, []bool{true, false}) {
		t.Fatalf("told %v, %v", told, err)
	}
	told = nil
	r = NewReader(bytes.NewReader(sample().Append(nil)), func(b bool) { told = append(told, b) })
	if _, err := r.Read(); err != nil || told != nil {
		t.Fatalf("a message that came whole: told %v, %v", told, err)
	}
}

// A long message claimed by many must not take memory before it comes.
func TestAClaimedLengthTakesNoMemory(t *testing.T) {
	b, err := grow(bytes.NewReader(make([]byte, 10)), MaxMessageBytes)
	if err == nil || cap(b) > 4<<10 {
		t.Fatalf("%d bytes held for ten, %v", cap(b), err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(sample().Append(nil))
	f.Add(release().Append(sample().Append(nil)))
	f.Add([]byte{0x40, 1, 1, 0, 0, 0, 0, 0, 0, 0, 1, 64, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, wire []byte) {
		r := NewReader(bytes.NewReader(wire), nil)
		var again []byte
		for {
			m, err := r.Read()
			if err != nil {
				break
			}
			again = m.Append(again)
		}
		if !bytes.HasPrefix(wire, again) {
			t.Fatalf("% x was read as % x", wire, again)
		}
	})
}
