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

// disk is files in memory, of which a crash keeps what was made durable, and
// that can run full, write short or fail.
type disk struct {
	files   map[string]*blob
	room    int // bytes left, below 0: without bound
	failing error
	short   bool // the next write takes half
}

type blob struct{ data, durable []byte }

func newDisk() *disk { return &disk{files: map[string]*blob{}, room: -1} }

type handle struct {
	d  *disk
	b  *blob
	at int
}

func (d *disk) Create(name string) (File, error) {
	if d.failing != nil {
		return nil, d.failing
	}
	b := &blob{}
	d.files[name] = b
	return &handle{d: d, b: b}, nil
}
func (d *disk) Open(name string) (File, error) {
	b := d.files[name]
	if b == nil {
		return nil, os.ErrNotExist
	}
	return &handle{d: d, b: b}, nil
}
func (d *disk) Append(name string, size int64) (File, error) {
	b := d.files[name]
	if b == nil {
		return nil, os.ErrNotExist
	}
	b.data = b.data[:size]
	return &handle{d: d, b: b}, nil
}
func (d *disk) Remove(name string) error { delete(d.files, name); return nil }
func (d *disk) Rename(a, b string) error { d.files[b] = d.files[a]; delete(d.files, a); return nil }
func (d *disk) SyncDir() error           { return d.failing }
func (d *disk) Replace(name string, c []byte) error {
	if d.failing != nil {
		return d.failing
	}
	d.files[name] = &blob{bytes.Clone(c), bytes.Clone(c)}
	return nil
}
func (d *disk) List() ([]FileInfo, error) {
	var all []FileInfo
	for _, n := range slices.Sorted(maps.Keys(d.files)) {
		all = append(all, FileInfo{n, int64(len(d.files[n].data))})
	}
	return all, nil
}
func (h *handle) Read(p []byte) (int, error) {
	if h.at >= len(h.b.data) {
		return 0, io.EOF
	}
	n := copy(p, h.b.data[h.at:])
	h.at += n
	return n, nil
}
func (h *handle) Write(p []byte) (int, error) {
	n, err := len(p), h.d.failing
	switch {
	case err != nil:
		n = 0
	case h.d.short:
		n, err, h.d.short = n/2, io.ErrShortWrite, false
	case h.d.room >= 0 && n > h.d.room:
		n, err = h.d.room, syscall.ENOSPC
	}
	if h.d.room >= 0 {
		h.d.room -= n
	}
	h.b.data = append(h.b.data, p[:n]...)
	return n, err
}
func (h *handle) Sync() error {
	if h.d.failing != nil {
		return h.d.failing
	}
	h.b.durable = bytes.Clone(h.b.data)
	return nil
}
func (h *handle) Close() error { return nil }

// crash leaves what was durable, and of the rest as many bytes as a test says.
func (d *disk) crash(tail int) {
	for _, b := range d.files {
		if len(b.durable) < len(b.data) {
			b.data = b.data[:min(len(b.durable)+tail, len(b.data))]
		}
	}
}

var codec = flow.NewCodec(3, 1_700_000_000_000, []string{"fetch", "dear"}, []byte("key"))

func items(from, n int) []*flow.Item {
	var all []*flow.Item
	for i := range n {
		all = append(all, codec.RecordItem(&flow.Record{Seq: uint64(from + i), Class: uint8(i % 2), Outcome: flow.CallRefused, VerdictReason: "no circuit free"}))
	}
	return all
}

func seq(it *flow.Item) uint64  { return codec.Values(it, nil)[1].Num }
func resent(it *flow.Item) bool { return codec.Values(it, nil)[2].Num&flow.FlagResent != 0 }

var small = Config{MaxBytes: 1 << 20, SegmentBytes: 8 << 10, MaxAge: time.Hour, SyncDelay: time.Second}

func open(t fataler, fs FS, cfg Config) *Spool {
	t.Helper()
	s, err := Open(fs, cfg, codec)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

type fataler interface {
	Helper()
	Fatal(...any)
	Fatalf(string, ...any)
}

// drain replays all that is there, as a collector would confirm it.
func drain(t fataler, s *Spool) (all []*flow.Item) {
	t.Helper()
	for s.HasPending() {
		got, err := s.Next()
		if err != nil {
			t.Fatal(err)
		}
		if got == nil {
			if err := s.Confirm(); err != nil {
				t.Fatal(err)
			}
		}
		all = append(all, got...)
	}
	return all
}

func TestWrittenIsReplayedInOrderAndGone(t *testing.T) {
	for _, fs := range []FS{newDisk(), Dir(t.TempDir())} {
		s := open(t, fs, small)
		now := time.Duration(1_700_000_000) * time.Second
		for i := range 50 {
			if err := s.Write(now, items(1+20*i, 20)); err != nil {
				t.Fatal(err)
			}
			now += time.Second
			if err := s.Tick(now); err != nil {
				t.Fatal(err)
			}
		}
		if n := s.Status().Segments; n < 5 {
			t.Fatalf("%d segments", n)
		}
		got := drain(t, s)
		if len(got) != 1000 {
			t.Fatalf("%d records", len(got))
		}
		for i, it := range got {
			if seq(it) != uint64(i+1) || resent(it) {
				t.Fatalf("record %d is %d, resent %v", i, seq(it), resent(it))
			}
		}
		if s.HasPending() || s.Bytes() != 0 {
			t.Fatalf("%+v is left", s.Status())
		}
		// and it goes on
		if err := s.Write(now, items(5000, 3)); err != nil || len(drain(t, s)) != 3 {
			t.Fatal("no more after a replay", err)
		}
	}
}

// A segment that is cut at any byte: whole messages are kept, the rest cut.
func TestTornAtEveryByte(t *testing.T) {
	whole := newDisk()
	s := open(t, whole, small)
	for i := range 4 {
		if err := s.Write(time.Hour, items(1+5*i, 5)); err != nil {
			t.Fatal(err)
		}
	}
	name := segmentName(1)
	data := whole.files[name].data
	last := -1
	for cut := len(data); cut >= 0; cut-- {
		d := newDisk()
		d.files[name] = &blob{data: bytes.Clone(data[:cut])}
		s := open(t, d, small)
		if torn := d.files[name] != nil && int64(len(d.files[name].data)) != s.Bytes(); torn {
			t.Fatalf("cut at %d: %d bytes on disk, %d good", cut, len(d.files[name].data), s.Bytes())
		}
		got := drain(t, s)
		if last >= 0 && len(got) > last || len(got)%5 != 0 {
			t.Fatalf("cut at %d of %d: %d records", cut, len(data), len(got))
		}
		last = len(got)
		for i, it := range got {
			if seq(it) != uint64(i+1) {
				t.Fatalf("cut at %d: record %d is %d", cut, i, seq(it))
			}
		}
		if err := s.Write(time.Hour, items(900, 1)); err != nil || len(drain(t, s)) != 1 {
			t.Fatalf("cut at %d: can't go on: %v", cut, err)
		}
	}
	if last != 0 {
		t.Fatalf("%d records of an empty file", last)
	}
}

func TestOtherVersionIsSetAside(t *testing.T) {
	d := newDisk()
	s := open(t, d, small)
	if err := s.Write(time.Hour, items(1, 3)); err != nil {
		t.Fatal(err)
	}
	data := d.files[segmentName(1)].data
	at := bytes.Index(data, []byte{1, 5, 0, 10}) // a set of id 261 with 4 and 2 bytes: the format
	data[at+9]++
	s = open(t, d, small)
	if s.Status().SetAside != 1 || s.HasPending() || d.files[segmentName(1)+asideMark] == nil {
		t.Fatalf("%+v", s.Status())
	}
	if err := s.Write(time.Hour, items(1, 3)); err != nil || len(drain(t, s)) != 3 {
		t.Fatal(err)
	}
}

func TestFullAndFailingDisk(t *testing.T) {
	for name, break_ := range map[string]func(d *disk){
		"full":        func(d *disk) { d.room = 100 },
		"read only":   func(d *disk) { d.failing = syscall.EROFS },
		"short write": func(d *disk) { d.short = true },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDisk()
			s := open(t, d, small)
			if err := s.Write(time.Hour, items(1, 5)); err != nil {
				t.Fatal(err)
			}
			break_(d)
			if err := s.Write(time.Hour, items(100, 5)); !errors.Is(err, ErrNotWritable) {
				t.Fatalf("%v", err)
			}
			d.room, d.failing, d.short = -1, nil, false
			if err := s.Write(time.Hour, items(200, 5)); err != nil {
				t.Fatal(err)
			}
			var seqs []uint64
			for _, it := range drain(t, s) {
				seqs = append(seqs, seq(it))
			}
			if fmt.Sprint(seqs) != "[1 2 3 4 5 200 201 202 203 204]" {
				t.Fatalf("%v", seqs)
			}
			if s.Status().WriteFailures == 0 {
				t.Error("no failure counted")
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
		t.Fatal("a spool below a file")
	}
}

func TestSizeAndAgeBound(t *testing.T) {
	cfg := Config{MaxBytes: 20 << 10, SegmentBytes: 6 << 10, MaxAge: time.Minute, SyncDelay: time.Second}
	s := open(t, newDisk(), cfg)
	now := 100 * time.Hour
	for i := range 100 {
		if err := s.Write(now, items(1+10*i, 10)); err != nil {
			t.Fatal(err)
		}
		if s.Bytes() > cfg.MaxBytes+cfg.SegmentBytes {
			t.Fatalf("%d bytes", s.Bytes())
		}
	}
	lost := s.TakeLost()
	kept := 0
	before := s.Bytes()
	if err := s.Tick(now - 50*time.Hour); err != nil || s.Bytes() != before { // a clock that steps back
		t.Fatal("a clock that steps back loses records", err)
	}
	if err := s.Write(now+2*time.Minute, items(2001, 1)); err != nil {
		t.Fatal(err)
	}
	lostNow := s.TakeLost()
	got := drain(t, s)
	kept = len(got)
	if n := lost.Sum(flow.KindCall) + lostNow.Sum(flow.KindCall) + uint64(kept); n != 1001 || lost.Sum(flow.KindCall) == 0 || lostNow.Sum(flow.KindCall) == 0 {
		t.Fatalf("%d lost by size, %d by age, %d kept", lost.Sum(flow.KindCall), lostNow.Sum(flow.KindCall), kept)
	}
}

// Whatever is written, crashed, handed out, confirmed and rewound: each record
// that was durable comes until it is confirmed; none comes twice unmarked; none
// is out of order within a life.
func TestReplayWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDisk()
		cfg := Config{MaxBytes: 1 << 30, SegmentBytes: 4 << 10, SyncDelay: 0}
		s := open(t, d, cfg)
		next := 1
		must := map[uint64]bool{} // durable: must come
		var written []uint64      // in this life, not durable yet
		came, confirmed, pending := map[uint64]bool{}, map[uint64]bool{}, []uint64{}
		take := func(it *flow.Item) {
			if came[seq(it)] && !resent(it) {
				t.Fatalf("record %d comes again unmarked", seq(it))
			}
			if confirmed[seq(it)] {
				t.Fatalf("record %d comes again after it was confirmed", seq(it))
			}
			came[seq(it)] = true
			pending = append(pending, seq(it))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				n := rapid.IntRange(1, 30).Draw(t, "n")
				if err := s.Write(time.Hour, items(next, n)); err != nil {
					t.Fatal(err)
				}
				for i := range n {
					written = append(written, uint64(next+i))
				}
				next += n
			case 2:
				if err := s.Tick(2 * time.Hour); err != nil {
					t.Fatal(err)
				}
				for _, n := range written {
					must[n] = true
				}
				written = nil
			case 3:
				got, err := s.Next()
				if err != nil {
					t.Fatal(err)
				}
				for _, it := range got {
					take(it)
				}
			case 4:
				if rapid.Bool().Draw(t, "arrived") {
					if err := s.Confirm(); err != nil {
						t.Fatal(err)
					}
					for _, n := range pending {
						confirmed[n] = true
					}
				} else {
					s.Rewind()
				}
				pending = nil
			case 5: // the process is killed; of what was not durable some bytes are on disk
				d.crash(rapid.IntRange(0, 3000).Draw(t, "tail"))
				s = open(t, d, cfg)
				pending, written = nil, nil
			}
		}
		s.Rewind()
		pending = nil
		for s.HasPending() {
			got, err := s.Next()
			if err != nil {
				t.Fatal(err)
			}
			for _, it := range got {
				take(it)
			}
			if got == nil {
				if err := s.Confirm(); err != nil {
					t.Fatal(err)
				}
				for _, n := range pending {
					confirmed[n] = true
				}
				pending = nil
			}
		}
		for n := range must {
			if !came[n] {
				t.Fatalf("record %d was durable and never came", n)
			}
		}
	})
}
