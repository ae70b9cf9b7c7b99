package signal

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"
)

func TestReaderParsesAndRejects(t *testing.T) {
	longLine := strings.Repeat("x", DefaultLimits.MaxLineBytes+1)
	cases := []struct {
		name, in string
		id       uint32
		code     Code // expected error code; 0 if the message is valid
	}{
		{"request", "Transaction=17 Context=$ Add=c-1\r\nClass: grid-fetch\r\nLeft: 4.5s\r\n\r\n", 17, 0},
		{"reply", "Reply=17 Context=12 Add=c-1\nVia: direct\n\n", 17, 0},
		{"error reply", "Reply=17 Context=- Add=c-1\r\nError: 510 no circuit\r\n\r\n", 17, 0},
		{"pending", "Pending=17\r\n\r\n", 17, 0},
		{"error message", "Error=403 what\r\n\r\n", 0, 0},
		{"blank lines first", "\r\n\r\nPending=3\r\n\r\n", 3, 0},
		{"unknown message type", "Hello=1\r\n\r\n", 0, BadSyntax},
		{"id 0", "Transaction=0 Context=- Add=x\r\n\r\n", 0, BadTransaction},
		{"id too large", "Transaction=4294967296 Context=- Add=x\r\n\r\n", 0, BadTransaction},
		{"no context", "Transaction=4 Add=x\r\n\r\n", 4, BadTransaction},
		{"bad context", "Transaction=4 Context=0 Add=x\r\n\r\n", 4, UnknownContext},
		{"unknown command", "Transaction=4 Context=- Move=x\r\n\r\n", 4, UnknownCommand},
		{"no termination", "Transaction=4 Context=- Add=\r\n\r\n", 4, BadIdentifier},
		{"long termination", "Transaction=4 Context=- Add=" + strings.Repeat("y", 65) + "\r\n\r\n", 4, BadIdentifier},
		{"no colon", "Transaction=4 Context=- Add=x\r\nClass\r\n\r\n", 4, BadTransaction},
		{"control character", "Transaction=4 Context=- Add=x\r\nClass: a\x00b\r\n\r\n", 4, BadTransaction},
		{"long line", "Transaction=4 Context=- Add=x\r\nClass: " + longLine + "\r\n\r\n", 4, MessageTooLarge},
		{"many descriptors", "Transaction=4 Context=- Add=x\r\n" + strings.Repeat("A: b\r\n", 129) + "\r\n", 4, MessageTooLarge},
		{"large block", "Transaction=4 Context=- Add=x\r\n" + strings.Repeat("A: "+longLine[:900]+"\r\n", 40) + "\r\n", 4, MessageTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// The message arrives byte by byte, and the message after it must be read
			// whether or not the first one is valid.
			r := NewReader(iotest.OneByteReader(strings.NewReader(c.in+"Pending=99\r\n\r\n")), Limits{})
			m, err := r.Read()
			var syntaxErr *SyntaxError
			switch {
			case c.code == 0 && (err != nil || m.ID != c.id):
				t.Fatalf("got %v, %v, want a valid message", m, err)
			case c.code != 0 && (!errors.As(err, &syntaxErr) || syntaxErr.Code != c.code || syntaxErr.ID != c.id):
				t.Fatalf("got error %v, want code %d for transaction %d", err, c.code, c.id)
			}
			if next, err := r.Read(); err != nil || next.ID != 99 {
				t.Fatalf("next message: got %v, %v, want transaction 99", next, err)
			}
			if _, err := r.Read(); !errors.Is(err, io.EOF) {
				t.Fatalf("at the end: got %v, want EOF", err)
			}
		})
	}
}

func TestReaderRejectsUnboundedMessage(t *testing.T) {
	for name, pattern := range map[string]string{"one line": "x", "many lines": "A: b\r\n"} {
		stream := io.MultiReader(strings.NewReader("Transaction=4 Context=- Add=x\r\n"), &endlessReader{pattern: pattern})
		if _, err := NewReader(stream, Limits{}).Read(); !errors.Is(err, ErrFraming) {
			t.Errorf("%s: got %v, want ErrFraming", name, err)
		}
	}
}

// endlessReader is a stream that repeats a pattern without end.
type endlessReader struct {
	pattern string
	offset  int
}

func (e *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.pattern[e.offset%len(e.pattern)]
		e.offset++
	}
	return len(p), nil
}

func TestReaderReportsEndWithinMessage(t *testing.T) {
	if _, err := NewReader(strings.NewReader("Transaction=4 Context=- Add=x\r\n"), Limits{}).Read(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("got %v, want ErrUnexpectedEOF", err)
	}
}

// messageGenerator draws valid messages of every kind.
func messageGenerator() *rapid.Generator[*Message] {
	word := rapid.StringMatching(`[A-Za-z0-9/._-]{1,20}`)
	value := rapid.StringMatching(`[!-~]([ -~]{0,40}[!-~])?`)
	return rapid.Custom(func(t *rapid.T) *Message {
		m := &Message{Kind: rapid.SampledFrom([]Kind{Request, Reply, Pending, ErrorMessage}).Draw(t, "kind")}
		if m.Kind == ErrorMessage {
			m.Code, m.Text = Code(rapid.IntRange(1, 999).Draw(t, "code")), value.Draw(t, "text")
			return m
		}
		m.ID = rapid.Uint32Range(1, 1<<32-1).Draw(t, "id")
		if m.Kind == Pending {
			return m
		}
		m.Context = rapid.OneOf(rapid.Just(ContextNull), rapid.Just(ContextChoose), rapid.Uint32Range(1, 1<<31)).Draw(t, "context")
		m.Command = rapid.SampledFrom([]Command{Add, Modify, Subtract, Notify, ServiceChange, AuditValue}).Draw(t, "command")
		m.Termination = word.Draw(t, "term")
		if m.Kind == Reply && rapid.Bool().Draw(t, "failed") {
			m.Code, m.Text = Code(rapid.IntRange(1, 999).Draw(t, "code")), value.Draw(t, "text")
		}
		for range rapid.IntRange(0, 10).Draw(t, "fields") {
			if name := word.Draw(t, "name"); name != "Error" {
				m.Put(name, value.Draw(t, "value"))
			}
		}
		return m
	})
}

func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := rapid.SliceOfN(messageGenerator(), 1, 5).Draw(t, "messages")
		var encoded []byte
		for _, m := range messages {
			encoded = m.Append(encoded)
		}
		r := NewReader(bytes.NewReader(encoded), Limits{})
		for i, want := range messages {
			got, err := r.Read()
			if err != nil {
				t.Fatalf("message %d: %v in\n%s", i, err, encoded)
			}
			if got.String() != want.String() || got.Kind != want.Kind || got.Code != want.Code {
				t.Fatalf("message %d: got %q, want %q", i, got, want)
			}
		}
	})
}

func TestValueErrorsNameTheDescriptor(t *testing.T) {
	m := (&Message{}).PutInt("Dest", 7).PutDuration("Left", 3*time.Second).Put("Bad", "x")
	if v, err := m.Int("Dest", 0, 10); v != 7 || err != nil {
		t.Error(v, err)
	}
	if d, err := m.Duration("Left"); d != 3*time.Second || err != nil {
		t.Error(d, err)
	}
	for _, name := range []string{"Bad", "None"} {
		if _, err := m.Int(name, 0, 10); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got error %v, want one that names the descriptor", name, err)
		}
		if _, err := m.Duration(name); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got error %v, want one that names the descriptor", name, err)
		}
	}
	if _, err := m.Int("Dest", 0, 6); err == nil {
		t.Error("got no error for 7 with a maximum of 6")
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("Transaction=17 Context=$ Add=c-1\r\nClass: grid-fetch\r\nLeft: 4.5s\r\n\r\nPending=3\n\n"))
	f.Add([]byte("Reply=1 Context=- Add=x\r\nError: 510 none\r\n\r\n"))
	f.Add([]byte("Error=400 what\r\n\r\nTransaction=0 \r\n\r\n"))
	f.Add([]byte("Transaction=9 Context=7 Notify=ROOT\r\nGroup: 12 3 4\r\nGroup\r\n\r\n"))
	f.Add(bytes.Repeat([]byte("A"), 9000))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in), Limits{MaxLineBytes: 64, MaxMessageBytes: 256, MaxDescriptors: 4})
		for n := 0; ; n++ {
			m, err := r.Read()
			var syntaxErr *SyntaxError
			if err != nil && !errors.As(err, &syntaxErr) {
				return
			}
			if n > len(in) {
				t.Fatal("the reader returned more messages than there are input bytes")
			}
			if m == nil {
				continue
			}
			reread, err := NewReader(bytes.NewReader(m.Append(nil)), Limits{MaxLineBytes: 100, MaxMessageBytes: 512, MaxDescriptors: 5}).Read()
			if err != nil || reread.String() != m.String() {
				t.Fatalf("%q is read back as %q, %v", m, reread, err)
			}
		}
	})
}

// Every example in docs/protocol.md must be a valid message that is written back
// unchanged, and there must be one of every command.
func TestProtocolPageExamplesRoundTrip(t *testing.T) {
	page, err := os.ReadFile("../../docs/protocol.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := strings.Split(string(page), "```\n")
	examples, seen := 0, map[Command]bool{}
	for i := 1; i < len(blocks); i += 2 {
		r := NewReader(strings.NewReader(blocks[i]+"\n"), Limits{})
		for {
			m, err := r.Read()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatalf("%v in\n%s", err, blocks[i])
			}
			examples++
			seen[m.Command] = true
			if !strings.Contains(strings.ReplaceAll(blocks[i], "\r", ""), strings.ReplaceAll(m.String(), "\r", "")) {
				t.Errorf("written back as %s, which differs from the example", m)
			}
		}
	}
	for name, c := range commandsByName {
		if !seen[c] {
			t.Errorf("docs/protocol.md has no example of %s", name)
		}
	}
	if examples < 20 {
		t.Errorf("docs/protocol.md has %d examples, want at least 20", examples)
	}
}
