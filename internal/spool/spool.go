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
	segmentSuffix  = ".ipfix"
	cursorName     = "cursor"
	setAsideSuffix = ".aside"
)

func segmentName(number uint64) string { return fmt.Sprintf("%012d%s", number, segmentSuffix) }

type segment struct {
	number     uint64
	size       int64
	lastExport int64 // export time of its last message, seconds since 1970
}

// cursor is where the replay stands: what is sure to have arrived, and what may have.
type cursor struct {
	Segment        uint64 `json:"segment"`
	ConfirmedBytes int64  `json:"done"`  // bytes of it that have arrived
	ReadBytes      int64  `json:"begun"` // bytes of it that were handed out
}

// Spool is one directory. It is not safe for concurrent use.
type Spool struct {
	config     Config
	fs         FS
	codec      *flow.Codec
	segments   []segment
	current    File
	writer     *ipfix.Writer
	unsynced   bool
	syncAt     time.Duration
	status     Status
	position   cursor
	reader     File
	readOffset int64
	decoder    *ipfix.Decoder
	lost       LostCounts
	values     []ipfix.Value
}

// ErrNotWritable says that the spool can't be written; it tries again later.
var ErrNotWritable = errors.New("the spool can't be written")

// Open looks through a directory: ends that are torn are cut, files of another
// version are set aside, and the replay goes on where it stood.
func Open(fs FS, config Config, codec *flow.Codec) (*Spool, error) {
	s := &Spool{config: config, fs: fs, codec: codec}
	files, err := fs.List()
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	for _, info := range files {
		name, ok := strings.CutSuffix(info.Name, segmentSuffix)
		number, err := strconv.ParseUint(name, 10, 64)
		if !ok || err != nil {
			continue
		}
		seg := segment{number: number}
		validBytes, err := s.scan(&seg)
		switch {
		case err != nil && validBytes == 0:
			s.status.SetAside++
			if err := fs.Rename(info.Name, info.Name+setAsideSuffix); err != nil {
				return nil, fmt.Errorf("spool: setting %s aside: %w", info.Name, err)
			}
			continue
		case validBytes < info.Size:
			s.status.Torn++
			file, err := fs.Append(info.Name, validBytes)
			if err != nil {
				return nil, fmt.Errorf("spool: cutting the torn end of %s: %w", info.Name, err)
			}
			if err := errors.Join(file.Sync(), file.Close()); err != nil {
				return nil, fmt.Errorf("spool: cutting the torn end of %s: %w", info.Name, err)
			}
		}
		seg.size = validBytes
		s.segments = append(s.segments, seg)
		s.status.Bytes += validBytes
	}
	s.readCursor()
	return s, nil
}

// scan reads a segment and returns the length of its whole messages.
func (s *Spool) scan(seg *segment) (int64, error) {
	file, err := s.fs.Open(segmentName(seg.number))
	if err != nil {
		return 0, err
	}
	defer file.Close()
	decoder := ipfix.NewDecoder(flow.Elements()...)
	validBytes := int64(0)
	for first := true; ; first = false {
		data, err := ipfix.ReadMessage(file, nil)
		if err != nil {
			return validBytes, err
		}
		message, err := decoder.Decode(data)
		if err != nil {
			return validBytes, err
		}
		if first && !flow.HasCurrentFormat(message) {
			return 0, fmt.Errorf("segment %d: not of this format", seg.number)
		}
		validBytes += int64(len(data))
		seg.lastExport = message.ExportTime
	}
}

// readCursor finds where the replay stood; without a word it begins at the start.
func (s *Spool) readCursor() {
	file, err := s.fs.Open(cursorName)
	if err != nil {
		return
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, 1<<16))
	if err != nil || json.Unmarshal(data, &s.position) != nil {
		s.position = cursor{}
	}
}

func (s *Spool) writeCursor() error {
	data, err := json.Marshal(s.position)
	if err != nil {
		return err
	}
	return s.fs.Replace(cursorName, data)
}

// Status tells what is in it.
func (s *Spool) Status() Status {
	s.status.Segments = len(s.segments)
	return s.status
}

// Bytes is its size.
func (s *Spool) Bytes() int64 { return s.status.Bytes }

// HasPending tells whether there is something to replay.
func (s *Spool) HasPending() bool {
	return slices.ContainsFunc(s.segments, func(seg segment) bool {
		return seg.number > s.position.Segment && seg.size > 0 || seg.number == s.position.Segment && s.position.ConfirmedBytes < seg.size
	})
}

// TakeLost returns what went unread since the last call.
func (s *Spool) TakeLost() LostCounts {
	lost := s.lost
	s.lost = LostCounts{}
	return lost
}

// Write adds records. What could not be written comes back as an error with
// none of them in the spool; the next Write tries a new segment.
func (s *Spool) Write(now time.Duration, items []*flow.Item) error {
	if len(items) == 0 {
		return nil
	}
	s.expire(now)
	if s.current != nil && s.segments[len(s.segments)-1].size >= s.config.SegmentBytes {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	if s.current == nil {
		if err := s.createSegment(now); err != nil {
			s.status.WriteFailures++
			return fmt.Errorf("%w: %w", ErrNotWritable, err)
		}
	}
	var buf []byte
	flush := func() {
		if message := s.writer.Finish(now.Milliseconds(), 0); message != nil {
			buf = append(buf, message...)
		}
	}
	for _, item := range items {
		template := s.codec.Template(item.Kind)
		s.values = s.codec.Values(item, s.values)
		err := s.writer.AddRecord(template, s.values)
		if errors.Is(err, ipfix.ErrFull) {
			flush()
			err = s.writer.AddRecord(template, s.values)
		}
		if err != nil {
			return fmt.Errorf("spool: %w", err)
		}
	}
	flush()
	if err := s.appendMessages(buf); err != nil {
		return err
	}
	last := &s.segments[len(s.segments)-1]
	last.lastExport = int64(now / time.Second)
	if !s.unsynced {
		s.unsynced, s.syncAt = true, now+s.config.SyncDelay
	}
	s.evict()
	return nil
}

// appendMessages writes whole messages, or none: a short write is cut off again, and
// where that fails too the segment is left to be cut when it is next opened.
func (s *Spool) appendMessages(data []byte) error {
	seg := &s.segments[len(s.segments)-1]
	n, err := s.current.Write(data)
	if err == nil {
		seg.size += int64(n)
		s.status.Bytes += int64(n)
		return nil
	}
	s.status.WriteFailures++
	_ = s.current.Close() // it failed already
	s.current = nil
	file, cutErr := s.fs.Append(segmentName(seg.number), seg.size)
	if cutErr == nil {
		cutErr = file.Close()
	}
	return fmt.Errorf("%w: %w", ErrNotWritable, errors.Join(err, cutErr))
}

// createSegment starts a segment with the templates and the format's mark.
func (s *Spool) createSegment(now time.Duration) error {
	number := uint64(1)
	if len(s.segments) > 0 {
		number = s.segments[len(s.segments)-1].number + 1
	}
	number = max(number, s.position.Segment+1)
	file, err := s.fs.Create(segmentName(number))
	if err != nil {
		return err
	}
	s.writer = ipfix.NewWriter(ipfix.IPFIX, s.codec.Domain, 16<<10)
	var preamble []byte
	if err := s.codec.Preamble(s.writer, func() { preamble = append(preamble, s.writer.Finish(now.Milliseconds(), 0)...) }); err != nil {
		return errors.Join(err, file.Close())
	}
	if _, err := file.Write(preamble); err != nil {
		return errors.Join(err, file.Close(), s.fs.Remove(segmentName(number)))
	}
	if err := s.fs.SyncDir(); err != nil {
		return errors.Join(err, file.Close(), s.fs.Remove(segmentName(number)))
	}
	s.current = file
	s.segments = append(s.segments, segment{number: number, size: int64(len(preamble)), lastExport: int64(now / time.Second)})
	s.status.Bytes += int64(len(preamble))
	return nil
}

func (s *Spool) rotate() error {
	err := errors.Join(s.current.Sync(), s.current.Close())
	s.current, s.unsynced = nil, false
	if err != nil {
		s.status.WriteFailures++
		return fmt.Errorf("%w: %w", ErrNotWritable, err)
	}
	return nil
}

// Tick makes durable what is due, and drops what is too old.
func (s *Spool) Tick(now time.Duration) error {
	s.expire(now)
	if s.unsynced && now >= s.syncAt && s.current != nil {
		s.unsynced = false
		if err := s.current.Sync(); err != nil {
			s.status.WriteFailures++
			return fmt.Errorf("%w: %w", ErrNotWritable, err)
		}
	}
	return nil
}

// expire drops segments whose last record is older than Age. A clock that has
// stepped back makes nothing old.
func (s *Spool) expire(now time.Duration) {
	for s.config.MaxAge > 0 && len(s.segments) > 0 {
		oldest := s.segments[0]
		if s.current != nil && len(s.segments) == 1 || int64(now/time.Second)-oldest.lastExport <= int64(s.config.MaxAge/time.Second) {
			return
		}
		s.dropOldest()
	}
}

// evict drops the oldest segments while there are too many bytes.
func (s *Spool) evict() {
	for s.status.Bytes > s.config.MaxBytes && len(s.segments) > 1 {
		s.dropOldest()
	}
}

// dropOldest removes the first segment and counts what of it was never handed out.
func (s *Spool) dropOldest() {
	oldest := s.segments[0]
	unreadFrom := int64(0)
	if oldest.number == s.position.Segment {
		unreadFrom = s.position.ReadBytes
	}
	if oldest.number >= s.position.Segment {
		s.countLost(oldest, unreadFrom)
	}
	s.closeReader(oldest.number)
	if err := s.fs.Remove(segmentName(oldest.number)); err != nil {
		s.status.WriteFailures++
	}
	s.status.Bytes -= oldest.size
	s.segments = s.segments[1:]
}

// countLost books the records of a segment from a byte on as lost.
func (s *Spool) countLost(seg segment, from int64) {
	file, err := s.fs.Open(segmentName(seg.number))
	if err != nil {
		return
	}
	defer file.Close()
	decoder := ipfix.NewDecoder(flow.Elements()...)
	for offset := int64(0); offset < seg.size; {
		data, err := ipfix.ReadMessage(file, nil)
		if err != nil {
			return
		}
		message, err := decoder.Decode(data)
		if err != nil {
			return
		}
		if offset >= from {
			for i := range message.Records {
				if item, ok := flow.ItemOf(&message.Records[i]); ok {
					item.AddTo(&s.lost)
				}
			}
		}
		offset += int64(len(data))
	}
}

func (s *Spool) closeReader(number uint64) {
	if s.reader != nil && s.position.Segment == number {
		_ = s.reader.Close() // only read from
		s.reader, s.decoder = nil, nil
	}
}

// Next reads the next message of the replay, and makes durable that it was
// begun before it returns. Records that may have arrived in an earlier life are
// marked as resent. No items and no error mean that there is no more, or none
// before Arrived.
func (s *Spool) Next() ([]*flow.Item, error) {
	for {
		index := slices.IndexFunc(s.segments, func(seg segment) bool {
			return seg.number > s.position.Segment || seg.number == s.position.Segment && s.position.ConfirmedBytes < seg.size
		})
		if index < 0 {
			return nil, nil
		}
		seg := s.segments[index]
		if seg.number == s.position.Segment && s.replayOffset() >= seg.size {
			return nil, nil // all is handed out; the next segment waits for Arrived
		}
		if s.current != nil && index == len(s.segments)-1 { // what is read has to be on disk first
			if err := s.rotate(); err != nil {
				return nil, err
			}
		}
		if seg.number != s.position.Segment {
			s.closeReader(s.position.Segment)
			s.position = cursor{Segment: seg.number}
		}
		if s.reader == nil {
			file, err := s.fs.Open(segmentName(seg.number))
			if err != nil {
				return nil, fmt.Errorf("spool: replay: %w", err)
			}
			s.reader, s.readOffset, s.decoder = file, 0, ipfix.NewDecoder(flow.Elements()...)
		}
		data, err := ipfix.ReadMessage(s.reader, nil)
		var message *ipfix.Message
		if err == nil {
			message, err = s.decoder.Decode(data)
		}
		if err != nil { // it was good when it was opened: the disk has lost it
			s.status.WriteFailures++
			s.countLost(segment{number: seg.number, size: s.readOffset}, s.readOffset)
			s.closeReader(seg.number)
			s.position.ConfirmedBytes, s.position.ReadBytes = seg.size, seg.size
			s.readOffset = seg.size
			continue
		}
		offset := s.readOffset
		s.readOffset += int64(len(data))
		if offset < s.position.ConfirmedBytes {
			continue // has arrived; read for its templates
		}
		resent := offset < s.position.ReadBytes
		if !resent {
			s.position.ReadBytes = s.readOffset
			if err := s.writeCursor(); err != nil {
				s.status.WriteFailures++
				s.position.ReadBytes, s.readOffset = offset, offset
				s.closeReader(seg.number)
				return nil, fmt.Errorf("%w: %w", ErrNotWritable, err)
			}
		}
		var items []*flow.Item
		for i := range message.Records {
			if item, ok := flow.ItemOf(&message.Records[i]); ok {
				if resent {
					item.MarkResent()
				}
				items = append(items, item)
			}
		}
		if len(items) > 0 {
			return items, nil
		}
	}
}

func (s *Spool) replayOffset() int64 {
	if s.reader == nil {
		return s.position.ConfirmedBytes
	}
	return s.readOffset
}

// Confirm books that all that Next has returned has arrived: segments read to
// their end go.
func (s *Spool) Confirm() error {
	s.position.ConfirmedBytes = s.replayOffset()
	s.position.ReadBytes = max(s.position.ReadBytes, s.position.ConfirmedBytes)
	for len(s.segments) > 0 {
		oldest := s.segments[0]
		if oldest.number > s.position.Segment || oldest.number == s.position.Segment && s.position.ConfirmedBytes < oldest.size || s.current != nil && len(s.segments) == 1 {
			break
		}
		s.closeReader(oldest.number)
		if err := s.fs.Remove(segmentName(oldest.number)); err != nil {
			s.status.WriteFailures++
			return fmt.Errorf("spool: %w", err)
		}
		s.status.Bytes -= oldest.size
		s.segments = s.segments[1:]
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
		s.reader, s.decoder = nil, nil
	}
}

// Close makes all durable.
func (s *Spool) Close() error {
	if s.reader != nil {
		_ = s.reader.Close() // only read from
		s.reader = nil
	}
	if s.current != nil {
		return s.rotate()
	}
	return nil
}

// MaxBytes is its bound in bytes.
func (s *Spool) MaxBytes() int64 { return s.config.MaxBytes }
