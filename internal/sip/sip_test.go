package sip

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

const okAnswer = "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nContent-Length: 6\r\n\r\n9d41\r\n"

func TestAnInviteOnTheWire(t *testing.T) {
	m := &Message{Method: Invite, URI: "sip:7f3a9c21e0b4d655@net", CallID: "9b1f03aa5c7e2d41", CSeq: 1, CSeqMethod: Invite, Body: []byte("9d41\r\n")}
	got := string(m.Add("Call-Kind", "voice").Add("Answer-Within", "1500").Append(nil))
	want := "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP controller\r\nCall-ID: 9b1f03aa5c7e2d41\r\n" +
		"CSeq: 1 INVITE\r\nCall-Kind: voice\r\nAnswer-Within: 1500\r\nContent-Length: 6\r\n\r\n9d41\r\n"
	if got != want {
		t.Fatalf("%q", got)
	}
}

func TestAnswersAreReadWhateverPiecesTheyComeIn(t *testing.T) {
	wire := okAnswer + "SIP/2.0 503 x\r\ncseq: 1 INVITE\r\ncall-id: 7\r\nfail-word: acc\r\nproc-wait: 120\r\nX-Free: 1\r\ncontent-length: 0\r\n\r\n" +
		"BYE sip:x@net SIP/2.0\r\nCall-ID: 7\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=41\r\nContent-Length: 0\r\n\r\n"
	for what, r := range map[string]io.Reader{"whole": strings.NewReader(wire), "single bytes": iotest.OneByteReader(strings.NewReader(wire))} {
		reader := NewReader(r, nil)
		a, err := reader.Read()
		if err != nil || a.Status != 200 || a.CSeqMethod != Invite || a.CallID != "9b1f03aa5c7e2d41" || string(a.Body) != "9d41\r\n" {
			t.Fatalf("%s: %+v, %v", what, a, err)
		}
		b, err := reader.Read()
		if err != nil || b.Status != 503 || b.Get("Fail-Word") != "acc" || b.Get("Proc-Wait") != "120" {
			t.Fatalf("%s: %+v, %v", what, b, err)
		}
		c, err := reader.Read()
		if err != nil || c.Method != Bye || ParseCause(c.Get("Reason")) != 41 {
			t.Fatalf("%s: %+v, %v", what, c, err)
		}
		if _, err := reader.Read(); err != io.EOF {
			t.Fatalf("%s: at the end: %v", what, err)
		}
	}
}

func TestWhatCantBeReadEndsTheStream(t *testing.T) {
	for what, wire := range map[string]string{
		"noise":                  "\x01\x02\x03 \r\n\r\n",
		"no length":              strings.Replace(okAnswer, "Content-Length: 6\r\n", "", 1),
		"two lengths":            strings.Replace(okAnswer, "Content-Length: 6", "Content-Length: 6\r\nContent-Length: 6", 1),
		"a negative length":      strings.Replace(okAnswer, ": 6", ": -6", 1),
		"3 GB":                   strings.Replace(okAnswer, ": 6", ": 3000000000", 1),
		"a line that never ends": "SIP/2.0 200 " + strings.Repeat("x", 20<<10),
		"headers without end":    "SIP/2.0 200 OK\r\n" + strings.Repeat("X-More: 1\r\n", 3000),
		"a status of letters":    strings.Replace(okAnswer, "200", "2OO", 1),
		"a status out of range":  strings.Replace(okAnswer, "200", "999", 1),
		"no CSeq":                strings.Replace(okAnswer, "CSeq: 1 INVITE\r\n", "", 1),
		"a length that is short": strings.Replace(okAnswer, "Length: 6", "Length: 3", 1),
		"a header without name":  strings.Replace(okAnswer, "Via: ", "", 1),
	} {
		if _, err := NewReader(strings.NewReader(wire), nil).Read(); !errors.Is(err, ErrSyntax) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if _, err := NewReader(strings.NewReader(okAnswer[:60]), nil).Read(); err != io.ErrUnexpectedEOF {
		t.Errorf("half an answer: %v", err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte(okAnswer))
	f.Add([]byte("NOTIFY sip:exchange@net SIP/2.0\r\nLink-State: idle:1;circuits:2\r\nCSeq: 1 NOTIFY\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("SIP/2.0 200 OK\r\nContent-Length: 99999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		r := NewReader(bytes.NewReader(wire), nil)
		for n := 0; ; n++ {
			m, err := r.Read()
			if err != nil {
				return
			}
			if len(m.Body) > MaxMessageBytes || n > len(wire) || (m.Method == "") == (m.Status == 0) {
				t.Fatalf("read %+v", m)
			}
		}
	})
}
