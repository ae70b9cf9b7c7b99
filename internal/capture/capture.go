// Package capture keeps what passed over the connections: a CBOR sequence
// (RFC 8742) of records, one file a process. Each end of a connection writes
// what it sent and received; read together, the files of a directory tell of
// each message when it left and when it came.
package capture

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// Kind of a record.
type Kind uint8

const (
	Header   Kind = iota // Name: who writes; Text: the format
	Opened               // Name: the connection's key; Text: JSON of Ends
	Closed               // the connection is over; Text: why
	Sent                 // Text: a message as it stood on the wire
	Received             // the same, as read
	Verdict              // Name: the call; Text: the module's word on it
	Fact                 // Name: what of; Text: JSON
)

// Format is the version of the files.
const Format = "dahliaspindle capture 1"

// Record is one line of a capture.
type Record struct {
	_            struct{} `cbor:",toarray"`
	At           int64    // nanoseconds of the machine's monotonic clock
	Kind         Kind
	Conn         uint64 // number of the connection in this file, from 1
	SendDuration int64  // Sent: nanoseconds until the system had taken it
	Name         string
	Text         []byte
}

// Endpoint says who holds a connection.
type Endpoint struct {
	Owner  string `json:"owner"`            // who writes this file, such as "controller 3"
	Role   string `json:"role"`             // what the other end is: caller, exchange, list, controller
	Peer   uint64 `json:"peer,omitempty"`   // exchange id, with role exchange
	Dialed bool   `json:"dialed,omitempty"` // the owner called
}

// Rules are the figures by which a capture is judged.
type Rules struct {
	AnswerSlack      time.Duration `json:"answer_slack"`
	DrainGrace       time.Duration `json:"drain_grace"`
	ReleaseTime      time.Duration `json:"release_wait"`
	OverloadFactor   float64       `json:"overload_factor"`
	OverloadDuration time.Duration `json:"overload_for"`
}

// Capacity is what an exchange can do from its start on: set-ups a second when
// warm, and how it gets there.
type Capacity struct {
	ExchangeID      uint32        `json:"exchange"`
	ExchangeNumber  int           `json:"cell"`
	SetUpsPerSecond float64       `json:"per_s"`
	InitialShare    float64       `json:"from"`  // share of it at the start
	WarmUpTime      time.Duration `json:"warm"`  // time until it has all; 0: at once
	Since           int64         `json:"since"` // as the exchange list tells it
}

// Killed says that a controller's process was ended at once.
type Killed struct {
	Owner string `json:"owner"`
}

// Trouble is one that a scenario made.
type Trouble struct {
	Kind        string        `json:"kind"`
	Description string        `json:"what"`
	Duration    time.Duration `json:"for"`
	Ended       bool          `json:"ended,omitempty"`
}

// MonotonicClock returns the machine's monotonic clock, the same for all its processes.
func MonotonicClock() func() int64 {
	var ts unix.Timespec
	start := time.Now()
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return func() int64 { return time.Now().UnixNano() }
	}
	base := ts.Nano()
	return func() int64 { return base + int64(time.Since(start)) }
}

// Writer writes one file of a capture. A nil Writer writes nothing.
type Writer struct {
	source func() int64
	last   atomic.Int64

	mu    sync.Mutex
	buf   *bufio.Writer
	enc   *cbor.Encoder
	file  io.WriteCloser
	conns uint64
	err   error
	stop  chan struct{}
	done  chan struct{}
}

// flushEvery bounds what a killed process takes with it.
const flushEvery = 5 * time.Millisecond

// Create starts a file.
func Create(path, who string) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	w := NewWriter(f, who, MonotonicClock())
	w.stop, w.done = make(chan struct{}), make(chan struct{})
	go func() {
		defer close(w.done)
		tick := time.NewTicker(flushEvery)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				w.mu.Lock()
				w.fail(w.buf.Flush())
				w.mu.Unlock()
			case <-w.stop:
				return
			}
		}
	}()
	return w, nil
}

// CreateWithClock starts a file whose times are those of a clock that is handed in.
func CreateWithClock(path, who string, clock func() int64) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return NewWriter(f, who, clock), nil
}

// NewWriter writes to a stream; it is flushed by Close only.
func NewWriter(f io.WriteCloser, who string, clock func() int64) *Writer {
	buf := bufio.NewWriterSize(f, 1<<16)
	w := &Writer{source: clock, buf: buf, enc: cbor.NewEncoder(buf), file: f}
	w.put(Record{Kind: Header, Name: who, Text: []byte(Format)})
	return w
}

// clock never tells the same moment twice: what was stamped first came first.
func (w *Writer) clock() int64 {
	for {
		last := w.last.Load()
		now := max(w.source(), last+1)
		if w.last.CompareAndSwap(last, now) {
			return now
		}
	}
}

func (w *Writer) fail(err error) {
	if w.err == nil && err != nil {
		w.err = err
	}
}

func (w *Writer) put(r Record) {
	if w == nil {
		return
	}
	if r.At == 0 {
		r.At = w.clock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fail(w.enc.Encode(r))
}

// Fact keeps something that the wire doesn't show.
func (w *Writer) Fact(name string, v any) {
	if w == nil {
		return
	}
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(`"` + err.Error() + `"`)
	}
	w.put(Record{Kind: Fact, Name: name, Text: b})
}

// Verdict keeps the module's word on a call.
func (w *Writer) Verdict(call, text string) {
	w.put(Record{Kind: Verdict, Name: call, Text: []byte(text)})
}

// Close flushes and closes the file and returns the first error met.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	if w.stop != nil {
		close(w.stop)
		<-w.done
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fail(w.buf.Flush())
	w.fail(w.file.Close())
	if w.err != nil {
		return fmt.Errorf("capture: %w", w.err)
	}
	return nil
}

// ConnRecorder is one end of one connection. A nil ConnRecorder keeps nothing.
type ConnRecorder struct {
	w    *Writer
	conn uint64
}

// Open starts a connection; key is the same at both ends.
func (w *Writer) Open(key string, e Endpoint) *ConnRecorder {
	if w == nil {
		return nil
	}
	b, _ := json.Marshal(e) // a struct of plain values
	w.mu.Lock()
	w.conns++
	t := &ConnRecorder{w, w.conns}
	w.mu.Unlock()
	w.put(Record{Kind: Opened, Conn: t.conn, Name: key, Text: b})
	return t
}

// Now is the time for Sent, before the message is handed to the system.
func (t *ConnRecorder) Now() int64 {
	if t == nil {
		return 0
	}
	return t.w.clock()
}

// Sent keeps a message that the system has taken.
func (t *ConnRecorder) Sent(at int64, text []byte) {
	if t != nil {
		t.w.put(Record{At: at, Kind: Sent, Conn: t.conn, SendDuration: t.w.clock() - at, Text: text})
	}
}

// Received keeps a message that was read.
func (t *ConnRecorder) Received(text []byte) {
	if t != nil {
		t.w.put(Record{Kind: Received, Conn: t.conn, Text: text})
	}
}

// Closed ends the connection.
func (t *ConnRecorder) Closed(why string) {
	if t != nil {
		t.w.put(Record{Kind: Closed, Conn: t.conn, Text: []byte(why)})
	}
}

// ErrTruncated says that a file ends within a record, as after a kill: what came before is good.
var ErrTruncated = errors.New("ends within a record")

// ReadFile hands out the records of one file in order.
func ReadFile(path string, each func(Record)) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	defer f.Close()
	return Read(f, path, each)
}

// Read hands out the records of a stream in order.
func Read(r io.Reader, name string, each func(Record)) error {
	dec := cbor.NewDecoder(bufio.NewReaderSize(r, 1<<16))
	for n := 1; ; n++ {
		var rec Record
		err := dec.Decode(&rec)
		switch {
		case errors.Is(err, io.EOF):
			if n == 1 {
				return fmt.Errorf("capture %s: empty", name)
			}
			return nil
		case errors.Is(err, io.ErrUnexpectedEOF):
			return fmt.Errorf("capture %s: record %d: %w", name, n, ErrTruncated)
		case err != nil:
			return fmt.Errorf("capture %s: record %d: %w", name, n, err)
		case n == 1 && (rec.Kind != Header || string(rec.Text) != Format):
			return fmt.Errorf("capture %s: not a file of %q", name, Format)
		}
		each(rec)
	}
}

// FileSuffix of the files of a capture directory.
const FileSuffix = ".cap"

// Files lists the files of a capture: a directory's, or the one named.
func Files(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	var files []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), FileSuffix) {
			files = append(files, filepath.Join(path, e.Name()))
		}
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("capture %s: holds no *%s file", path, FileSuffix)
	}
	return files, nil
}
