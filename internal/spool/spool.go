// Package spool keeps flow records on disk while no collector takes them: IPFIX
// files (RFC 5655), each with its templates in front, bounded by size and age,
// replayed in order. A torn end is found and cut; what was replayed when the
// process ended is replayed again, and marked, since it may have arrived.
package spool

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliaspindle/internal/flow"
	"dahliaspindle/internal/ipfix"
)

// Config bounds a spool.
type Config struct {
	MaxBytes     int64         // bytes of all segments; the oldest go first
	SegmentBytes int64         // bytes of one
	MaxAge       time.Duration // segments whose last record is older go; 0: never
	SyncDelay    time.Duration // written records are made durable after so long at the latest
}

// LostCounts is records that went unread, by kind, class and outcome.
type LostCounts = flow.Counts

// Info of what is in a spool.
type Status struct {
	Bytes         int64 `json:"bytes"`
	Segments      int   `json:"segments"`
	Torn          int   `json:"torn"`     // ends that were cut when it was opened
	SetAside      int   `json:"strange"`  // files set aside: of another version, or unreadable from the start
	WriteFailures int   `json:"failures"` // writes that failed
}

const (
	suffix     = ".ipfix"
	cursorName = "cursor"
	asideMark  = ".aside"
)

func segmentName(n uint64) string { return fmt.Sprintf("%012d%s", n, suffix) }

type segment struct {
	n     uint64
	size  int64
	until int64 // export time of its last message, seconds since 1970
}

// cursor is where the replay stands: what is sure to have arrived, and what may have.
type cursor struct {
	Segment uint64 `json:"segment"`
	Done    int64  `json:"done"`  // bytes of it that have arrived
	Begun   int64  `json:"begun"` // bytes of it that were handed out
}

// Spool is one directory. It is not safe for concurrent use.
type Spool struct {
	cfg      Config
	fs       FS
	codec    *flow.Codec
	segs     []segment
	file     File
	w        *ipfix.Writer
	unsynced bool
	syncAt   time.Duration
	status   Status
	at       cursor
	reader   File
	readAt   int64
	dec      *ipfix.Decoder
	lost     LostCounts
	scratch  []ipfix.Value
}

// ErrNotWritable says that the spool can't be written; it tries again later.
var ErrNotWritable = errors.New("the spool can't be written")

// Open looks through a directory: ends that are torn are cut, files of another
// version are set aside, and the replay goes on where it stood.
func Open(fs FS, cfg Config, codec *flow.Codec) (*Spool, error) {
	s := &Spool{cfg: cfg, fs: fs, codec: codec}
	infos, err := fs.List()
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	for _, i := range infos {
		name, ok := strings.CutSuffix(i.Name, suffix)
		n, err := strconv.ParseUint(name, 10, 64)
		if !ok || err != nil {
			continue
		}
		seg := segment{n: n}
		good, err := s.scan(&seg)
		switch {
		case err != nil && good == 0:
			s.status.SetAside++
			if err := fs.Rename(i.Name, i.Name+asideMark); err != nil {
				return nil, fmt.Errorf("spool: setting %s aside: %w", i.Name, err)
			}
			continue
		case good < i.Size:
			s.status.Torn++
			f, err := fs.Append(i.Name, good)
			if err != nil {
				return nil, fmt.Errorf("spool: cutting the torn end of %s: %w", i.Name, err)
			}
			if err := errors.Join(f.Sync(), f.Close()); err != nil {
				return nil, fmt.Errorf("spool: cutting the torn end of %s: %w", i.Name, err)
			}
		}
		seg.size = good
		s.segs = append(s.segs, seg)
		s.status.Bytes += good
	}
	s.readCursor()
	return s, nil
}

// scan reads a segment and returns the length of its whole messages.
func (s *Spool) scan(seg *segment) (int64, error) {
	f, err := s.fs.Open(segmentName(seg.n))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	dec := ipfix.NewDecoder(flow.Elements()...)
	good := int64(0)
	for first := true; ; first = false {
		b, err := ipfix.ReadMessage(f, nil)
		if err != nil {
			return good, err
		}
		m, err := dec.Decode(b)
		if err != nil {
			return good, err
		}
		if first && !flow.HasCurrentFormat(m) {
			return 0, fmt.Errorf("segment %d: not of this format", seg.n)
		}
		good += int64(len(b))
		seg.until = m.ExportTime
	}
}

// readCursor finds where the replay stood; without a word it begins at the start.
func (s *Spool) readCursor() {
	f, err := s.fs.Open(cursorName)
	if err != nil {
		return
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, 1<<16))
	if err != nil || json.Unmarshal(b, &s.at) != nil {
		s.at = cursor{}
	}
}

func (s *Spool) writeCursor() error {
	b, err := json.Marshal(s.at)
	if err != nil {
		return err
	}
	return s.fs.Replace(cursorName, b)
}

// Status tells what is in it.
func (s *Spool) Status() Status {
	s.status.Segments = len(s.segs)
	return s.status
}

// Bytes is its size.
func (s *Spool) Bytes() int64 { return s.status.Bytes }

// HasPending tells whether there is something to replay.
func (s *Spool) HasPending() bool {
	return slices.ContainsFunc(s.segs, func(g segment) bool {
		return g.n > s.at.Segment && g.size > 0 || g.n == s.at.Segment && s.at.Done < g.size
	})
}

// TakeLost returns what went unread since the last call.
func (s *Spool) TakeLost() LostCounts {
	l := s.lost
	s.lost = LostCounts{}
	return l
}

// Write adds records. What could not be written comes back as an error with
// none of them in the spool; the next Write tries a new segment.
func (s *Spool) Write(now time.Duration, items []*flow.Item) error {
	if len(items) == 0 {
		return nil
	}
	s.expire(now)
	if s.file != nil && s.segs[len(s.segs)-1].size >= s.cfg.SegmentBytes {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	if s.file == nil {
		if err := s.create(now); err != nil {
			s.status.WriteFailures++
			return fmt.Errorf("%w: %w", ErrNotWritable, err)
		}
	}
	var buf []byte
	take := func() {
		if b := s.w.Finish(now.Milliseconds(), 0); b != nil {
			buf = append(buf, b...)
		}
	}
	for _, it := range items {
		t := s.codec.Template(it.Kind)
		s.scratch = s.codec.Values(it, s.scratch)
		err := s.w.AddRecord(t, s.scratch)
		if errors.Is(err, ipfix.ErrFull) {
			take()
			err = s.w.AddRecord(t, s.scratch)
		}
		if err != nil {
			return fmt.Errorf("spool: %w", err)
		}
	}
	take()
	if err := s.append(buf); err != nil {
		return err
	}
	last := &s.segs[len(s.segs)-1]
	last.until = int64(now / time.Second)
	if !s.unsynced {
		s.unsynced, s.syncAt = true, now+s.cfg.SyncDelay
	}
	s.evict()
	return nil
}

// append writes whole messages, or none: a short write is cut off again, and
// where that fails too the segment is left to be cut when it is next opened.
func (s *Spool) append(b []byte) error {
	seg := &s.segs[len(s.segs)-1]
	n, err := s.file.Write(b)
	if err == nil {
		seg.size += int64(n)
		s.status.Bytes += int64(n)
		return nil
	}
	s.status.WriteFailures++
	_ = s.file.Close() // it failed already
	s.file = nil
	f, cut := s.fs.Append(segmentName(seg.n), seg.size)
	if cut == nil {
		cut = f.Close()
	}
	return fmt.Errorf("%w: %w", ErrNotWritable, errors.Join(err, cut))
}

// create starts a segment with the templates and the format's mark.
func (s *Spool) create(now time.Duration) error {
	n := uint64(1)
	if len(s.segs) > 0 {
		n = s.segs[len(s.segs)-1].n + 1
	}
	n = max(n, s.at.Segment+1)
	f, err := s.fs.Create(segmentName(n))
	if err != nil {
		return err
	}
	s.w = ipfix.NewWriter(ipfix.IPFIX, s.codec.Domain, 16<<10)
	var head []byte
	if err := s.codec.Preamble(s.w, func() { head = append(head, s.w.Finish(now.Milliseconds(), 0)...) }); err != nil {
		return errors.Join(err, f.Close())
	}
	if _, err := f.Write(head); err != nil {
		return errors.Join(err, f.Close(), s.fs.Remove(segmentName(n)))
	}
	if err := s.fs.SyncDir(); err != nil {
		return errors.Join(err, f.Close(), s.fs.Remove(segmentName(n)))
	}
	s.file = f
	s.segs = append(s.segs, segment{n: n, size: int64(len(head)), until: int64(now / time.Second)})
	s.status.Bytes += int64(len(head))
	return nil
}

func (s *Spool) rotate() error {
	err := errors.Join(s.file.Sync(), s.file.Close())
	s.file, s.unsynced = nil, false
	if err != nil {
		s.status.WriteFailures++
		return fmt.Errorf("%w: %w", ErrNotWritable, err)
	}
	return nil
}

// Tick makes durable what is due, and drops what is too old.
func (s *Spool) Tick(now time.Duration) error {
	s.expire(now)
	if s.unsynced && now >= s.syncAt && s.file != nil {
		s.unsynced = false
		if err := s.file.Sync(); err != nil {
			s.status.WriteFailures++
			return fmt.Errorf("%w: %w", ErrNotWritable, err)
		}
	}
	return nil
}

// expire drops segments whose last record is older than Age. A clock that has
// stepped back makes nothing old.
func (s *Spool) expire(now time.Duration) {
	for s.cfg.MaxAge > 0 && len(s.segs) > 0 {
		g := s.segs[0]
		if s.file != nil && len(s.segs) == 1 || int64(now/time.Second)-g.until <= int64(s.cfg.MaxAge/time.Second) {
			return
		}
		s.dropOldest()
	}
}

// evict drops the oldest segments while there are too many bytes.
func (s *Spool) evict() {
	for s.status.Bytes > s.cfg.MaxBytes && len(s.segs) > 1 {
		s.dropOldest()
	}
}

// dropOldest removes the first segment and counts what of it was never handed out.
func (s *Spool) dropOldest() {
	g := s.segs[0]
	from := int64(0)
	if g.n == s.at.Segment {
		from = s.at.Begun
	}
	if g.n >= s.at.Segment {
		s.count(g, from)
	}
	s.closeReader(g.n)
	if err := s.fs.Remove(segmentName(g.n)); err != nil {
		s.status.WriteFailures++
	}
	s.status.Bytes -= g.size
	s.segs = s.segs[1:]
}

// count books the records of a segment from a byte on as lost.
func (s *Spool) count(g segment, from int64) {
	f, err := s.fs.Open(segmentName(g.n))
	if err != nil {
		return
	}
	defer f.Close()
	dec := ipfix.NewDecoder(flow.Elements()...)
	for at := int64(0); at < g.size; {
		b, err := ipfix.ReadMessage(f, nil)
		if err != nil {
			return
		}
		m, err := dec.Decode(b)
		if err != nil {
			return
		}
		if at >= from {
			for i := range m.Records {
				if it, ok := flow.ItemOf(&m.Records[i]); ok {
					it.AddTo(&s.lost)
				}
			}
		}
		at += int64(len(b))
	}
}

func (s *Spool) closeReader(n uint64) {
	if s.reader != nil && s.at.Segment == n {
		_ = s.reader.Close() // only read from
		s.reader, s.dec = nil, nil
	}
}

// Next reads the next message of the replay, and makes durable that it was
// begun before it returns. Records that may have arrived in an earlier life are
// marked as resent. No items and no error mean that there is no more, or none
// before Arrived.
func (s *Spool) Next() ([]*flow.Item, error) {
	for {
		i := slices.IndexFunc(s.segs, func(g segment) bool {
			return g.n > s.at.Segment || g.n == s.at.Segment && s.at.Done < g.size
		})
		if i < 0 {
			return nil, nil
		}
		g := s.segs[i]
		if g.n == s.at.Segment && s.readPlace() >= g.size {
			return nil, nil // all is handed out; the next segment waits for Arrived
		}
		if s.file != nil && i == len(s.segs)-1 { // what is read has to be on disk first
			if err := s.rotate(); err != nil {
				return nil, err
			}
		}
		if g.n != s.at.Segment {
			s.closeReader(s.at.Segment)
			s.at = cursor{Segment: g.n}
		}
		if s.reader == nil {
			f, err := s.fs.Open(segmentName(g.n))
			if err != nil {
				return nil, fmt.Errorf("spool: replay: %w", err)
			}
			s.reader, s.readAt, s.dec = f, 0, ipfix.NewDecoder(flow.Elements()...)
		}
		b, err := ipfix.ReadMessage(s.reader, nil)
		var m *ipfix.Message
		if err == nil {
			m, err = s.dec.Decode(b)
		}
		if err != nil { // it was good when it was opened: the disk has lost it
			s.status.WriteFailures++
			s.count(segment{n: g.n, size: s.readAt}, s.readAt)
			s.closeReader(g.n)
			s.at.Done, s.at.Begun = g.size, g.size
			s.readAt = g.size
			continue
		}
		at := s.readAt
		s.readAt += int64(len(b))
		if at < s.at.Done {
			continue // has arrived; read for its templates
		}
		again := at < s.at.Begun
		if !again {
			s.at.Begun = s.readAt
			if err := s.writeCursor(); err != nil {
				s.status.WriteFailures++
				s.at.Begun, s.readAt = at, at
				s.closeReader(g.n)
				return nil, fmt.Errorf("%w: %w", ErrNotWritable, err)
			}
		}
		var items []*flow.Item
		for i := range m.Records {
			if it, ok := flow.ItemOf(&m.Records[i]); ok {
				if again {
					it.MarkResent()
				}
				items = append(items, it)
			}
		}
		if len(items) > 0 {
			return items, nil
		}
	}
}

func (s *Spool) readPlace() int64 {
	if s.reader == nil {
		return s.at.Done
	}
	return s.readAt
}

// Confirm books that all that Next has returned has arrived: segments read to
// their end go.
func (s *Spool) Confirm() error {
	s.at.Done = s.readPlace()
	s.at.Begun = max(s.at.Begun, s.at.Done)
	for len(s.segs) > 0 {
		g := s.segs[0]
		if g.n > s.at.Segment || g.n == s.at.Segment && s.at.Done < g.size || s.file != nil && len(s.segs) == 1 {
			break
		}
		s.closeReader(g.n)
		if err := s.fs.Remove(segmentName(g.n)); err != nil {
			s.status.WriteFailures++
			return fmt.Errorf("spool: %w", err)
		}
		s.status.Bytes -= g.size
		s.segs = s.segs[1:]
	}
	if err := s.writeCursor(); err != nil {
		s.status.WriteFailures++
		return fmt.Errorf("%w: %w", ErrNotWritable, err)
	}
	return nil
}

// Rewind lets the replay go on behind what has arrived: the connection that it
// was sent over broke. What was handed out since comes again, marked.
func (s *Spool) Rewind() {
	if s.reader != nil {
		_ = s.reader.Close() // only read from
		s.reader, s.dec = nil, nil
	}
}

// Close makes all durable.
func (s *Spool) Close() error {
	if s.reader != nil {
		_ = s.reader.Close() // only read from
		s.reader = nil
	}
	if s.file != nil {
		return s.rotate()
	}
	return nil
}

// MaxBytes is its bound in bytes.
func (s *Spool) MaxBytes() int64 { return s.cfg.MaxBytes }
