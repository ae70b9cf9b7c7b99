package sip

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

const okResponse = "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nContent-Length: 6\r\n\r\n9d41\r\n"

func TestAppendInvite(t *testing.T) {
	m := &Message{Method: Invite, URI: "sip:7f3a9c21e0b4d655@net", CallID: "9b1f03aa5c7e2d41", CSeq: 1, CSeqMethod: Invite, Body: []byte("9d41\r\n")}
	got := string(m.Add("Call-Kind", "voice").Add("Answer-Within", "1500").Append(nil))
	want := "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP controller\r\nCall-ID: 9b1f03aa5c7e2d41\r\n" +
		"CSeq: 1 INVITE\r\nCall-Kind: voice\r\nAnswer-Within: 1500\r\nContent-Length: 6\r\n\r\n9d41\r\n"
	if got != want {
		t.Fatalf("got %q", got)
	}
}

func TestReadFragmentedMessages(t *testing.T) {
	wire := okResponse + "SIP/2.0 503 x\r\ncseq: 1 INVITE\r\ncall-id: 7\r\nfail-word: acc\r\nproc-wait: 120\r\nX-Free: 1\r\ncontent-length: 0\r\n\r\n" +
		"BYE sip:x@net SIP/2.0\r\nCall-ID: 7\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=41\r\nContent-Length: 0\r\n\r\n"
	for name, r := range map[string]io.Reader{"whole": strings.NewReader(wire), "single bytes": iotest.OneByteReader(strings.NewReader(wire))} {
		reader := NewReader(r, nil)
		accepted, err := reader.Read()
		if err != nil || accepted.Status != 200 || accepted.CSeqMethod != Invite || accepted.CallID != "9b1f03aa5c7e2d41" || string(accepted.Body) != "9d41\r\n" {
			t.Fatalf("%s: response 200 read as %+v, error %v", name, accepted, err)
		}
		rejected, err := reader.Read()
		if err != nil || rejected.Status != 503 || rejected.Get("Fail-Word") != "acc" || rejected.Get("Proc-Wait") != "120" {
			t.Fatalf("%s: response 503 read as %+v, error %v", name, rejected, err)
		}
		bye, err := reader.Read()
		if err != nil || bye.Method != Bye || ParseCause(bye.Get("Reason")) != 41 {
			t.Fatalf("%s: BYE read as %+v, error %v", name, bye, err)
		}
		if _, err := reader.Read(); err != io.EOF {
			t.Fatalf("%s: error at the end of the stream is %v, want EOF", name, err)
		}
	}
}

func TestReadRejectsMalformedMessages(t *testing.T) {
	for name, wire := range map[string]string{
		"binary data":               "\x01\x02\x03 \r\n\r\n",
		"no Content-Length":         strings.Replace(okResponse, "Content-Length: 6\r\n", "", 1),
		"two Content-Lengths":       strings.Replace(okResponse, "Content-Length: 6", "Content-Length: 6\r\nContent-Length: 6", 1),
		"negative Content-Length":   strings.Replace(okResponse, ": 6", ": -6", 1),
		"Content-Length of 3 GB":    strings.Replace(okResponse, ": 6", ": 3000000000", 1),
		"line without end":          "SIP/2.0 200 " + strings.Repeat("x", 20<<10),
		"header without end":        "SIP/2.0 200 OK\r\n" + strings.Repeat("X-More: 1\r\n", 3000),
		"status with letters":       strings.Replace(okResponse, "200", "2OO", 1),
		"status out of range":       strings.Replace(okResponse, "200", "999", 1),
		"no CSeq":                   strings.Replace(okResponse, "CSeq: 1 INVITE\r\n", "", 1),
		"Content-Length too short":  strings.Replace(okResponse, "Length: 6", "Length: 3", 1),
		"header field without name": strings.Replace(okResponse, "Via: ", "", 1),
	} {
		if _, err := NewReader(strings.NewReader(wire), nil).Read(); !errors.Is(err, ErrSyntax) {
			t.Errorf("%s: error is %v, want ErrSyntax", name, err)
		}
	}
	if _, err := NewReader(strings.NewReader(okResponse[:60]), nil).Read(); err != io.ErrUnexpectedEOF {
		t.Errorf("truncated response: error is %v, want ErrUnexpectedEOF", err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte("NOTIFY sip:exchange@net SIP/2.0\r\nLink-State: idle:1;circuits:2\r\nCSeq: 1 NOTIFY\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("SIP/2.0 200 OK\r\nContent-Length: 99999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		r := NewReader(bytes.NewReader(wire), nil)
		for count := 0; ; count++ {
			m, err := r.Read()
			if err != nil {
				return
			}
			if len(m.Body) > MaxMessageBytes || count > len(wire) || (m.Method == "") == (m.Status == 0) {
				t.Fatalf("invalid message read: %+v", m)
			}
		}
	})
}
