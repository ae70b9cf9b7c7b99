// Package capture records the traffic of connections in files, one for each
// process. A file is a CBOR sequence (RFC 8742) of records. Each end of a connection
// records what it sent and received, so that the files of a directory together show
// when each message was sent and when it arrived.
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

// Kind is the type of a record.
type Kind uint8

// The record kinds, and what Name and Text of such a record hold.
const (
	Header   Kind = iota // Name: the recording process; Text: the format version
	Opened               // Name: the connection's key; Text: an Endpoint as JSON
	Closed               // Text: why the connection was closed
	Sent                 // Text: a message as written to the connection
	Received             // Text: a message as read from the connection
	Verdict              // Name: the call; Text: the routing module's decision on it
	Fact                 // Name: the subject; Text: a value as JSON
)

// Format is the format version, recorded in the header of each file.
const Format = "dahliaspindle capture 1"

// Record is one entry of a capture file.
type Record struct {
	_            struct{} `cbor:",toarray"`
	At           int64    // time in nanoseconds of the machine's monotonic clock
	Kind         Kind
	Conn         uint64 // number of the connection in this file, from 1; 0 if the record concerns none
	SendDuration int64  // Sent: nanoseconds that the write took
	Name         string
	Text         []byte
}

// Endpoint describes the recording end of a connection.
type Endpoint struct {
	Owner  string `json:"owner"`            // process that records this file, such as "controller 3"
	Role   string `json:"role"`             // kind of the peer: caller, exchange, list or controller
	Peer   uint64 `json:"peer,omitempty"`   // exchange id if Role is exchange
	Dialed bool   `json:"dialed,omitempty"` // the owner opened the connection
}

// Rules holds the limits of the network's rules that an audit checks a capture
// against.
type Rules struct {
	AnswerSlack      time.Duration `json:"answer_slack"`
	DrainGrace       time.Duration `json:"drain_grace"`
	ReleaseTime      time.Duration `json:"release_wait"`
	OverloadFactor   float64       `json:"overload_factor"`
	OverloadDuration time.Duration `json:"overload_for"`
}

// Capacity describes the processor capacity of an exchange: set-ups per second when
// warm, and how it reaches that after its start.
type Capacity struct {
	ExchangeID      uint32        `json:"exchange"`
	ExchangeNumber  int           `json:"cell"`
	SetUpsPerSecond float64       `json:"per_s"`
	InitialShare    float64       `json:"from"`  // share of the capacity available at the start
	WarmUpTime      time.Duration `json:"warm"`  // time from the start until the full capacity is available
	Since           int64         `json:"since"` // start of the exchange as given by the exchange list
}

// Killed records that a controller's process was killed.
type Killed struct {
	Owner string `json:"owner"`
}

// Trouble records that a scenario started a trouble or, with Ended, ended it.
type Trouble struct {
	Kind        string        `json:"kind"`
	Description string        `json:"what"`
	Duration    time.Duration `json:"for"`
	Ended       bool          `json:"ended,omitempty"`
}

// MonotonicClock returns a function that reads the machine's monotonic clock in
// nanoseconds; all processes of a machine share this clock.
func MonotonicClock() func() int64 {
	var ts unix.Timespec
	start := time.Now()
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return func() int64 { return time.Now().UnixNano() }
	}
	base := ts.Nano()
	return func() int64 { return base + int64(time.Since(start)) }
}

// Writer writes one capture file. A nil Writer discards all records.
type Writer struct {
	clock         func() int64
	lastTimestamp atomic.Int64

	mu          sync.Mutex
	buffer      *bufio.Writer
	encoder     *cbor.Encoder
	file        io.WriteCloser
	connections uint64
	err         error
	stop        chan struct{}
	done        chan struct{}
}

// flushInterval bounds the time for which records are lost when the process is
// killed.
const flushInterval = 5 * time.Millisecond

// Create creates a capture file in which owner is the recording process. Records
// are flushed periodically until Close.
func Create(path, owner string) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	w := NewWriter(f, owner, MonotonicClock())
	w.stop, w.done = make(chan struct{}), make(chan struct{})
	go func() {
		defer close(w.done)
		ticker := time.NewTicker(flushInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				w.mu.Lock()
				w.recordError(w.buffer.Flush())
				w.mu.Unlock()
			case <-w.stop:
				return
			}
		}
	}()
	return w, nil
}

// CreateWithClock is like Create, but takes the times from the given clock and
// flushes the file only on Close.
func CreateWithClock(path, owner string, clock func() int64) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return NewWriter(f, owner, clock), nil
}

// NewWriter returns a Writer to a stream, which is flushed only by Close.
func NewWriter(file io.WriteCloser, owner string, clock func() int64) *Writer {
	buffer := bufio.NewWriterSize(file, 1<<16)
	w := &Writer{clock: clock, buffer: buffer, encoder: cbor.NewEncoder(buffer), file: file}
	w.writeRecord(Record{Kind: Header, Name: owner, Text: []byte(Format)})
	return w
}

// timestamp returns the current time. No two results are equal, so that records can
// be ordered by their times.
func (w *Writer) timestamp() int64 {
	for {
		last := w.lastTimestamp.Load()
		now := max(w.clock(), last+1)
		if w.lastTimestamp.CompareAndSwap(last, now) {
			return now
		}
	}
}

// recordError keeps the first error for Close. The caller holds the mutex.
func (w *Writer) recordError(err error) {
	if w.err == nil && err != nil {
		w.err = err
	}
}

// writeRecord writes a record, with the current time if it has none.
func (w *Writer) writeRecord(r Record) {
	if w == nil {
		return
	}
	if r.At == 0 {
		r.At = w.timestamp()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordError(w.encoder.Encode(r))
}

// Fact records a value that no message shows, as JSON.
func (w *Writer) Fact(name string, value any) {
	if w == nil {
		return
	}
	text, err := json.Marshal(value)
	if err != nil {
		text = []byte(`"` + err.Error() + `"`)
	}
	w.writeRecord(Record{Kind: Fact, Name: name, Text: text})
}

// Verdict records the routing module's decision on a call.
func (w *Writer) Verdict(call, text string) {
	w.writeRecord(Record{Kind: Verdict, Name: call, Text: []byte(text)})
}

// Close flushes and closes the file. It returns the first error of the Writer.
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
	w.recordError(w.buffer.Flush())
	w.recordError(w.file.Close())
	if w.err != nil {
		return fmt.Errorf("capture: %w", w.err)
	}
	return nil
}

// ConnRecorder records the traffic at one end of one connection. A nil ConnRecorder
// discards it.
type ConnRecorder struct {
	writer     *Writer
	connection uint64
}

// Open records the opening of a connection and returns the recorder of its traffic.
// Both ends of a connection use the same key.
func (w *Writer) Open(key string, endpoint Endpoint) *ConnRecorder {
	if w == nil {
		return nil
	}
	text, _ := json.Marshal(endpoint) // cannot fail: the fields are strings, a number and a bool
	w.mu.Lock()
	w.connections++
	recorder := &ConnRecorder{w, w.connections}
	w.mu.Unlock()
	w.writeRecord(Record{Kind: Opened, Conn: recorder.connection, Name: key, Text: text})
	return recorder
}

// Now returns the time to pass to Sent, taken before the message is written.
func (r *ConnRecorder) Now() int64 {
	if r == nil {
		return 0
	}
	return r.writer.timestamp()
}

// Sent records a message whose write began at the time at, as returned by Now, and
// has completed.
func (r *ConnRecorder) Sent(at int64, text []byte) {
	if r != nil {
		r.writer.writeRecord(Record{At: at, Kind: Sent, Conn: r.connection, SendDuration: r.writer.timestamp() - at, Text: text})
	}
}

// Received records a message that was read.
func (r *ConnRecorder) Received(text []byte) {
	if r != nil {
		r.writer.writeRecord(Record{Kind: Received, Conn: r.connection, Text: text})
	}
}

// Closed records that the connection was closed, and why.
func (r *ConnRecorder) Closed(reason string) {
	if r != nil {
		r.writer.writeRecord(Record{Kind: Closed, Conn: r.connection, Text: []byte(reason)})
	}
}

// ErrTruncated reports that a file ends within a record, as after its process was
// killed. The records before that are valid.
var ErrTruncated = errors.New("ends within a record")

// ReadFile calls visit with each record of a file in order.
func ReadFile(path string, visit func(Record)) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	defer f.Close()
	return Read(f, path, visit)
}

// Read calls visit with each record of a stream in order. Errors contain the given
// name of the stream.
func Read(r io.Reader, name string, visit func(Record)) error {
	decoder := cbor.NewDecoder(bufio.NewReaderSize(r, 1<<16))
	for n := 1; ; n++ {
		var record Record
		err := decoder.Decode(&record)
		switch {
		case errors.Is(err, io.EOF):
			if n == 1 {
				return fmt.Errorf("capture %s: the file is empty", name)
			}
			return nil
		case errors.Is(err, io.ErrUnexpectedEOF):
			return fmt.Errorf("capture %s: record %d: %w", name, n, ErrTruncated)
		case err != nil:
			return fmt.Errorf("capture %s: record %d: %w", name, n, err)
		case n == 1 && (record.Kind != Header || string(record.Text) != Format):
			return fmt.Errorf("capture %s: the file does not have the format %q", name, Format)
		}
		visit(record)
	}
}

// FileSuffix is the suffix of the names of capture files.
const FileSuffix = ".cap"

// Files returns the capture files in a directory, or path itself if it is not a
// directory.
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
		return nil, fmt.Errorf("capture %s: the directory has no *%s file", path, FileSuffix)
	}
	return files, nil
}
