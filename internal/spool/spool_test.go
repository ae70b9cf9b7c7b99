package spool

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dahliaspindle/internal/flow"
)

// memoryDisk is an FS in memory. A crash keeps only what was synced, and writes can
// run out of space, be short or fail.
type memoryDisk struct {
	files      map[string]*memoryFile
	freeBytes  int // less than 0 for no limit
	failure    error
	shortWrite bool // the next write writes only half
}

// memoryFile holds the content of a file, and the part that survives a crash.
type memoryFile struct{ data, durable []byte }

func newMemoryDisk() *memoryDisk { return &memoryDisk{files: map[string]*memoryFile{}, freeBytes: -1} }

type handle struct {
	disk   *memoryDisk
	file   *memoryFile
	offset int
}

func (d *memoryDisk) Create(name string) (File, error) {
	if d.failure != nil {
		return nil, d.failure
	}
	file := &memoryFile{}
	d.files[name] = file
	return &handle{disk: d, file: file}, nil
}
func (d *memoryDisk) Open(name string) (File, error) {
	file := d.files[name]
	if file == nil {
		return nil, os.ErrNotExist
	}
	return &handle{disk: d, file: file}, nil
}
func (d *memoryDisk) Append(name string, size int64) (File, error) {
	file := d.files[name]
	if file == nil {
		return nil, os.ErrNotExist
	}
	file.data = file.data[:size]
	return &handle{disk: d, file: file}, nil
}
func (d *memoryDisk) Remove(name string) error { delete(d.files, name); return nil }
func (d *memoryDisk) Rename(from, to string) error {
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}
func (d *memoryDisk) SyncDir() error { return d.failure }
func (d *memoryDisk) Replace(name string, content []byte) error {
	if d.failure != nil {
		return d.failure
	}
	d.files[name] = &memoryFile{bytes.Clone(content), bytes.Clone(content)}
	return nil
}
func (d *memoryDisk) List() ([]FileInfo, error) {
	var files []FileInfo
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		files = append(files, FileInfo{name, int64(len(d.files[name].data))})
	}
	return files, nil
}
func (h *handle) Read(p []byte) (int, error) {
	if h.offset >= len(h.file.data) {
		return 0, io.EOF
	}
	n := copy(p, h.file.data[h.offset:])
	h.offset += n
	return n, nil
}
func (h *handle) Write(p []byte) (int, error) {
	n, err := len(p), h.disk.failure
	switch {
	case err != nil:
		n = 0
	case h.disk.shortWrite:
		n, err, h.disk.shortWrite = n/2, io.ErrShortWrite, false
	case h.disk.freeBytes >= 0 && n > h.disk.freeBytes:
		n, err = h.disk.freeBytes, syscall.ENOSPC
	}
	if h.disk.freeBytes >= 0 {
		h.disk.freeBytes -= n
	}
	h.file.data = append(h.file.data, p[:n]...)
	return n, err
}
func (h *handle) Sync() error {
	if h.disk.failure != nil {
		return h.disk.failure
	}
	h.file.durable = bytes.Clone(h.file.data)
	return nil
}
func (h *handle) Close() error { return nil }

// crash keeps the durable content of each file and undurableBytes of the rest.
func (d *memoryDisk) crash(undurableBytes int) {
	for _, file := range d.files {
		if len(file.durable) < len(file.data) {
			file.data = file.data[:min(len(file.durable)+undurableBytes, len(file.data))]
		}
	}
}

var testCodec = flow.NewCodec(3, 1_700_000_000_000, []string{"voice", "data"}, []byte("key"))

// newItems returns items of count calls with sequence numbers from firstSeq.
func newItems(firstSeq, count int) []*flow.Item {
	var records []*flow.Item
	for i := range count {
		records = append(records, testCodec.RecordItem(&flow.Record{
			Seq:           uint64(firstSeq + i),
			Class:         uint8(i % 2),
			Outcome:       flow.CallRefused,
			VerdictReason: "no circuit free",
		}))
	}
	return records
}

func seqOf(item *flow.Item) uint64  { return testCodec.Values(item, nil)[1].Num }
func isResent(item *flow.Item) bool { return testCodec.Values(item, nil)[2].Num&flow.FlagResent != 0 }

var smallConfig = Config{MaxBytes: 1 << 20, SegmentBytes: 8 << 10, MaxAge: time.Hour, SyncDelay: time.Second}

func openSpool(t testingT, fs FS, config Config) *Spool {
	t.Helper()
	s, err := Open(fs, config, testCodec)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// testingT is implemented by testing.T and rapid.T.
type testingT interface {
	Helper()
	Fatal(...any)
	Fatalf(string, ...any)
}

// replayAll returns all pending records, and confirms them as a collector would.
func replayAll(t testingT, s *Spool) (all []*flow.Item) {
	t.Helper()
	for s.HasPending() {
		items, err := s.Next()
		if err != nil {
			t.Fatal(err)
		}
		if items == nil {
			if err := s.Confirm(); err != nil {
				t.Fatal(err)
			}
		}
		all = append(all, items...)
	}
	return all
}

func TestReplayInOrderEmptiesSpool(t *testing.T) {
	for _, fs := range []FS{newMemoryDisk(), Dir(t.TempDir())} {
		s := openSpool(t, fs, smallConfig)
		now := time.Duration(1_700_000_000) * time.Second
		for i := range 50 {
			if err := s.Write(now, newItems(1+20*i, 20)); err != nil {
				t.Fatal(err)
			}
			now += time.Second
			if err := s.Tick(now); err != nil {
				t.Fatal(err)
			}
		}
		if count := s.Status().Segments; count < 5 {
			t.Fatalf("%d segments, want at least 5", count)
		}
		replayed := replayAll(t, s)
		if len(replayed) != 1000 {
			t.Fatalf("%d records replayed, want 1000", len(replayed))
		}
		for i, item := range replayed {
			if seqOf(item) != uint64(i+1) || isResent(item) {
				t.Fatalf("record %d has sequence number %d, resent %v", i, seqOf(item), isResent(item))
			}
		}
		if s.HasPending() || s.Bytes() != 0 {
			t.Fatalf("spool not empty after the replay: %+v", s.Status())
		}
		// The spool can be used again.
		if err := s.Write(now, newItems(5000, 3)); err != nil || len(replayAll(t, s)) != 3 {
			t.Fatal("records written after a replay are not replayed", err)
		}
	}
}

// A segment may be cut at any byte by a crash. Open keeps the complete messages and
// truncates the rest.
func TestSegmentTruncatedAtEveryByte(t *testing.T) {
	intact := newMemoryDisk()
	s := openSpool(t, intact, smallConfig)
	for i := range 4 {
		if err := s.Write(time.Hour, newItems(1+5*i, 5)); err != nil {
			t.Fatal(err)
		}
	}
	name := segmentName(1)
	data := intact.files[name].data
	previous := -1
	for length := len(data); length >= 0; length-- {
		disk := newMemoryDisk()
		disk.files[name] = &memoryFile{data: bytes.Clone(data[:length])}
		s := openSpool(t, disk, smallConfig)
		if torn := disk.files[name] != nil && int64(len(disk.files[name].data)) != s.Bytes(); torn {
			t.Fatalf("cut at %d: %d bytes on disk, %d valid", length, len(disk.files[name].data), s.Bytes())
		}
		replayed := replayAll(t, s)
		if previous >= 0 && len(replayed) > previous || len(replayed)%5 != 0 {
			t.Fatalf("cut at %d of %d: %d records replayed", length, len(data), len(replayed))
		}
		previous = len(replayed)
		for i, item := range replayed {
			if seqOf(item) != uint64(i+1) {
				t.Fatalf("cut at %d: record %d has sequence number %d", length, i, seqOf(item))
			}
		}
		if err := s.Write(time.Hour, newItems(900, 1)); err != nil || len(replayAll(t, s)) != 1 {
			t.Fatalf("cut at %d: records written afterwards are not replayed: %v", length, err)
		}
	}
	if previous != 0 {
		t.Fatalf("%d records replayed from an empty file", previous)
	}
}

func TestOtherVersionIsSetAside(t *testing.T) {
	disk := newMemoryDisk()
	s := openSpool(t, disk, smallConfig)
	if err := s.Write(time.Hour, newItems(1, 3)); err != nil {
		t.Fatal(err)
	}
	data := disk.files[segmentName(1)].data
	offset := bytes.Index(data, []byte{1, 5, 0, 10}) // the format version: a set with ID 261 and values of 4 and 2 bytes
	data[offset+9]++
	s = openSpool(t, disk, smallConfig)
	if s.Status().SetAside != 1 || s.HasPending() || disk.files[segmentName(1)+setAsideSuffix] == nil {
		t.Fatalf("segment of another version not set aside: %+v", s.Status())
	}
	if err := s.Write(time.Hour, newItems(1, 3)); err != nil || len(replayAll(t, s)) != 3 {
		t.Fatal(err)
	}
}

func TestFullAndFailingDisk(t *testing.T) {
	for name, injectFault := range map[string]func(disk *memoryDisk){
		"full":        func(disk *memoryDisk) { disk.freeBytes = 100 },
		"read only":   func(disk *memoryDisk) { disk.failure = syscall.EROFS },
		"short write": func(disk *memoryDisk) { disk.shortWrite = true },
	} {
		t.Run(name, func(t *testing.T) {
			disk := newMemoryDisk()
			s := openSpool(t, disk, smallConfig)
			if err := s.Write(time.Hour, newItems(1, 5)); err != nil {
				t.Fatal(err)
			}
			injectFault(disk)
			if err := s.Write(time.Hour, newItems(100, 5)); !errors.Is(err, ErrNotWritable) {
				t.Fatalf("Write returned %v, want ErrNotWritable", err)
			}
			disk.freeBytes, disk.failure, disk.shortWrite = -1, nil, false
			if err := s.Write(time.Hour, newItems(200, 5)); err != nil {
				t.Fatal(err)
			}
			var seqs []uint64
			for _, item := range replayAll(t, s) {
				seqs = append(seqs, seqOf(item))
			}
			if fmt.Sprint(seqs) != "[1 2 3 4 5 200 201 202 203 204]" {
				t.Fatalf("replayed records %v", seqs)
			}
			if s.Status().IOErrors == 0 {
				t.Error("no I/O error counted")
			}
		})
	}
}

func TestNotWritableDirectory(t *testing.T) {
	file := t.TempDir() + "/file"
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := CreateDir(file + "/spool"); err == nil {
		t.Fatal("CreateDir below a regular file succeeded")
	}
}

func TestSizeAndAgeLimits(t *testing.T) {
	config := Config{MaxBytes: 20 << 10, SegmentBytes: 6 << 10, MaxAge: time.Minute, SyncDelay: time.Second}
	s := openSpool(t, newMemoryDisk(), config)
	now := 100 * time.Hour
	for i := range 100 {
		if err := s.Write(now, newItems(1+10*i, 10)); err != nil {
			t.Fatal(err)
		}
		if s.Bytes() > config.MaxBytes+config.SegmentBytes {
			t.Fatalf("%d bytes are more than the limit", s.Bytes())
		}
	}
	lostBySize := s.TakeLost()
	kept := 0
	bytesBefore := s.Bytes()
	if err := s.Tick(now - 50*time.Hour); err != nil || s.Bytes() != bytesBefore {
		t.Fatal("records lost after the clock stepped back", err)
	}
	if err := s.Write(now+2*time.Minute, newItems(2001, 1)); err != nil {
		t.Fatal(err)
	}
	lostByAge := s.TakeLost()
	replayed := replayAll(t, s)
	kept = len(replayed)
	if n := lostBySize.Sum(flow.KindCall) + lostByAge.Sum(flow.KindCall) + uint64(kept); n != 1001 ||
		lostBySize.Sum(flow.KindCall) == 0 || lostByAge.Sum(flow.KindCall) == 0 {
		t.Fatalf("%d lost by size, %d by age, %d kept", lostBySize.Sum(flow.KindCall), lostByAge.Sum(flow.KindCall), kept)
	}
}

// After any sequence of writes, crashes, reads, confirmations and rewinds, every
// durable record is replayed until it is confirmed, and none is replayed a second
// time without the resent mark.
func TestReplayAfterArbitraryFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newMemoryDisk()
		config := Config{MaxBytes: 1 << 30, SegmentBytes: 4 << 10, SyncDelay: 0}
		s := openSpool(t, disk, config)
		nextSeq := 1
		durable := map[uint64]bool{} // must be replayed
		var written []uint64         // since the last crash, not durable yet
		replayed, confirmed, pending := map[uint64]bool{}, map[uint64]bool{}, []uint64{}
		checkItem := func(item *flow.Item) {
			if replayed[seqOf(item)] && !isResent(item) {
				t.Fatalf("record %d replayed again without the resent mark", seqOf(item))
			}
			if confirmed[seqOf(item)] {
				t.Fatalf("record %d replayed again after it was confirmed", seqOf(item))
			}
			replayed[seqOf(item)] = true
			pending = append(pending, seqOf(item))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0, 1:
				count := rapid.IntRange(1, 30).Draw(t, "count")
				if err := s.Write(time.Hour, newItems(nextSeq, count)); err != nil {
					t.Fatal(err)
				}
				for i := range count {
					written = append(written, uint64(nextSeq+i))
				}
				nextSeq += count
			case 2:
				if err := s.Tick(2 * time.Hour); err != nil {
					t.Fatal(err)
				}
				for _, seq := range written {
					durable[seq] = true
				}
				written = nil
			case 3:
				items, err := s.Next()
				if err != nil {
					t.Fatal(err)
				}
				for _, item := range items {
					checkItem(item)
				}
			case 4:
				if rapid.Bool().Draw(t, "confirm") {
					if err := s.Confirm(); err != nil {
						t.Fatal(err)
					}
					for _, seq := range pending {
						confirmed[seq] = true
					}
				} else {
					s.Rewind()
				}
				pending = nil
			case 5: // the process is killed; some of the undurable bytes are on disk
				disk.crash(rapid.IntRange(0, 3000).Draw(t, "undurableBytes"))
				s = openSpool(t, disk, config)
				pending, written = nil, nil
			}
		}
		s.Rewind()
		pending = nil
		for s.HasPending() {
			items, err := s.Next()
			if err != nil {
				t.Fatal(err)
			}
			for _, item := range items {
				checkItem(item)
			}
			if items == nil {
				if err := s.Confirm(); err != nil {
					t.Fatal(err)
				}
				for _, seq := range pending {
					confirmed[seq] = true
				}
				pending = nil
			}
		}
		for seq := range durable {
			if !replayed[seq] {
				t.Fatalf("durable record %d was never replayed", seq)
			}
		}
	})
}
