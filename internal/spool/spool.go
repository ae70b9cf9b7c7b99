// Package spool stores flow records on disk while no collector takes them. A spool
// is a sequence of segments, IPFIX files (RFC 5655) that each begin with their
// templates. It is limited in size and age, and is replayed in order. Torn ends of
// segments are truncated when the spool is opened. Records that were being replayed
// when the process ended are replayed again and marked as resent, because they may
// have arrived.
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

// Config holds the limits of a spool.
type Config struct {
	MaxBytes     int64         // total size at which the oldest segments are dropped
	SegmentBytes int64         // size at which a new segment is started
	MaxAge       time.Duration // age of a segment's last record at which it is dropped; 0 for no limit
	SyncDelay    time.Duration // maximum time until written records are synced to disk
}

// LostCounts holds the numbers of records that were dropped unread, by kind, class
// and outcome.
type LostCounts = flow.Counts

// Status describes the content of a spool.
type Status struct {
	Bytes    int64 `json:"bytes"`
	Segments int   `json:"segments"`
	Torn     int   `json:"torn"`     // segments whose torn end was truncated at Open
	SetAside int   `json:"strange"`  // files of another version, or unreadable from the start, renamed at Open
	IOErrors int   `json:"failures"` // failed writes, syncs, removals and replay reads
}

const (
	segmentSuffix  = ".ipfix"
	cursorName     = "cursor"
	setAsideSuffix = ".aside"
)

// segmentName returns the file name of a segment.
func segmentName(number uint64) string { return fmt.Sprintf("%012d%s", number, segmentSuffix) }

// segment is one file of the spool.
type segment struct {
	number     uint64
	size       int64
	lastExport int64 // export time of the last message, seconds since 1970
}

// cursor is the position of the replay, as stored in the cursor file.
type cursor struct {
	Segment        uint64 `json:"segment"`
	ConfirmedBytes int64  `json:"done"`  // bytes of the segment that have arrived
	ReadBytes      int64  `json:"begun"` // bytes of the segment that were returned by Next
}

// Spool is a spool in one directory. It is not safe for concurrent use.
type Spool struct {
	config     Config
	fs         FS
	codec      *flow.Codec
	segments   []segment
	current    File // the segment being written, or nil
	writer     *ipfix.Writer
	unsynced   bool // current has data that was not synced
	syncAt     time.Duration
	status     Status
	position   cursor
	reader     File  // the segment being replayed, or nil
	readOffset int64 // offset in reader
	decoder    *ipfix.Decoder
	lost       LostCounts
	values     []ipfix.Value
}

// ErrNotWritable reports that writing to the spool failed. A later write may succeed.
var ErrNotWritable = errors.New("spool not writable")

// Open opens the spool in a directory. It truncates torn ends of segments, renames
// files of another version, and continues the replay at the stored position.
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
				return nil, fmt.Errorf("spool: truncating the torn end of %s: %w", info.Name, err)
			}
			if err := errors.Join(file.Sync(), file.Close()); err != nil {
				return nil, fmt.Errorf("spool: truncating the torn end of %s: %w", info.Name, err)
			}
		}
		seg.size = validBytes
		s.segments = append(s.segments, seg)
		s.status.Bytes += validBytes
	}
	s.readCursor()
	return s, nil
}

// scan reads a segment and returns the total length of its complete messages. The
// error is why reading stopped, io.EOF at the end of the file.
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
			return 0, fmt.Errorf("segment %d has another format version", seg.number)
		}
		validBytes += int64(len(data))
		seg.lastExport = message.ExportTime
	}
}

// readCursor reads the stored position of the replay. Without a valid one the
// replay begins at the first segment.
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

// writeCursor stores the position of the replay.
func (s *Spool) writeCursor() error {
	data, err := json.Marshal(s.position)
	if err != nil {
		return err
	}
	return s.fs.Replace(cursorName, data)
}

// Status returns a description of the content.
func (s *Spool) Status() Status {
	s.status.Segments = len(s.segments)
	return s.status
}

// Bytes returns the total size of the segments.
func (s *Spool) Bytes() int64 { return s.status.Bytes }

// HasPending reports whether there are records that have not been confirmed.
func (s *Spool) HasPending() bool {
	return slices.ContainsFunc(s.segments, func(seg segment) bool {
		return seg.number > s.position.Segment && seg.size > 0 || seg.number == s.position.Segment && s.position.ConfirmedBytes < seg.size
	})
}

// TakeLost returns the numbers of records dropped unread since the last call.
func (s *Spool) TakeLost() LostCounts {
	lost := s.lost
	s.lost = LostCounts{}
	return lost
}

// Write appends records. If it fails, none of them is in the spool, and the next
// Write starts a new segment.
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
			s.status.IOErrors++
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

// appendMessages writes complete messages or none. It truncates the segment after
// a short write; if that fails too, the next Open truncates it.
func (s *Spool) appendMessages(data []byte) error {
	seg := &s.segments[len(s.segments)-1]
	n, err := s.current.Write(data)
	if err == nil {
		seg.size += int64(n)
		s.status.Bytes += int64(n)
		return nil
	}
	s.status.IOErrors++
	_ = s.current.Close() // the write has failed already
	s.current = nil
	file, cutErr := s.fs.Append(segmentName(seg.number), seg.size)
	if cutErr == nil {
		cutErr = file.Close()
	}
	return fmt.Errorf("%w: %w", ErrNotWritable, errors.Join(err, cutErr))
}

// createSegment creates a segment and writes the templates and the format version.
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

// rotate syncs and closes the current segment; the next Write starts a new one.
func (s *Spool) rotate() error {
	err := errors.Join(s.current.Sync(), s.current.Close())
	s.current, s.unsynced = nil, false
	if err != nil {
		s.status.IOErrors++
		return fmt.Errorf("%w: %w", ErrNotWritable, err)
	}
	return nil
}

// Tick syncs written records when that is due, and drops segments that are too old.
func (s *Spool) Tick(now time.Duration) error {
	s.expire(now)
	if s.unsynced && now >= s.syncAt && s.current != nil {
		s.unsynced = false
		if err := s.current.Sync(); err != nil {
			s.status.IOErrors++
			return fmt.Errorf("%w: %w", ErrNotWritable, err)
		}
	}
	return nil
}

// expire drops segments whose last record is older than MaxAge. If the clock has
// stepped back, no segment is too old.
func (s *Spool) expire(now time.Duration) {
	for s.config.MaxAge > 0 && len(s.segments) > 0 {
		oldest := s.segments[0]
		if s.current != nil && len(s.segments) == 1 || int64(now/time.Second)-oldest.lastExport <= int64(s.config.MaxAge/time.Second) {
			return
		}
		s.dropOldest()
	}
}

// evict drops the oldest segments while the total size is above MaxBytes.
func (s *Spool) evict() {
	for s.status.Bytes > s.config.MaxBytes && len(s.segments) > 1 {
		s.dropOldest()
	}
}

// dropOldest removes the first segment and counts as lost those of its records that
// Next has not returned.
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
		s.status.IOErrors++
	}
	s.status.Bytes -= oldest.size
	s.segments = s.segments[1:]
}

// countLost counts the records of a segment from a byte offset on as lost.
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

// closeReader closes the reader if it reads the segment with this number.
func (s *Spool) closeReader(number uint64) {
	if s.reader != nil && s.position.Segment == number {
		_ = s.reader.Close() // only read from
		s.reader, s.decoder = nil, nil
	}
}

// Next returns the records of the next message of the replay. Before it returns, it
// stores that they were read, so that the next process marks them as resent if it
// replays them again. No items and no error mean that there are no more records, or
// none until Confirm is called.
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
			return nil, nil // all is read; the next segment follows after Confirm
		}
		if s.current != nil && index == len(s.segments)-1 { // must be on disk before it is read
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
		if err != nil { // it was valid when written or opened: the disk has damaged it
			s.status.IOErrors++
			s.countLost(segment{number: seg.number, size: s.readOffset}, s.readOffset)
			s.closeReader(seg.number)
			s.position.ConfirmedBytes, s.position.ReadBytes = seg.size, seg.size
			s.readOffset = seg.size
			continue
		}
		offset := s.readOffset
		s.readOffset += int64(len(data))
		if offset < s.position.ConfirmedBytes {
			continue // has arrived; decoded for its templates only
		}
		resent := offset < s.position.ReadBytes
		if !resent {
			s.position.ReadBytes = s.readOffset
			if err := s.writeCursor(); err != nil {
				s.status.IOErrors++
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

// replayOffset returns the offset in the replayed segment that the next message is
// read from.
func (s *Spool) replayOffset() int64 {
	if s.reader == nil {
		return s.position.ConfirmedBytes
	}
	return s.readOffset
}

// Confirm records that everything that Next has returned has arrived. It removes
// segments that were read to their end.
func (s *Spool) Confirm() error {
	s.position.ConfirmedBytes = s.replayOffset()
	s.position.ReadBytes = max(s.position.ReadBytes, s.position.ConfirmedBytes)
	for len(s.segments) > 0 {
		oldest := s.segments[0]
		if oldest.number > s.position.Segment ||
			oldest.number == s.position.Segment && s.position.ConfirmedBytes < oldest.size ||
			s.current != nil && len(s.segments) == 1 {
			break
		}
		s.closeReader(oldest.number)
		if err := s.fs.Remove(segmentName(oldest.number)); err != nil {
			s.status.IOErrors++
			return fmt.Errorf("spool: %w", err)
		}
		s.status.Bytes -= oldest.size
		s.segments = s.segments[1:]
	}
	if err := s.writeCursor(); err != nil {
		s.status.IOErrors++
		return fmt.Errorf("%w: %w", ErrNotWritable, err)
	}
	return nil
}

// Rewind continues the replay after the last confirmed record, because the
// connection that it was sent over has failed. Records returned since then are
// returned again and marked as resent.
func (s *Spool) Rewind() {
	if s.reader != nil {
		_ = s.reader.Close() // only read from
		s.reader, s.decoder = nil, nil
	}
}

// Close syncs and closes the files.
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

// MaxBytes returns the limit of the total size.
func (s *Spool) MaxBytes() int64 { return s.config.MaxBytes }
