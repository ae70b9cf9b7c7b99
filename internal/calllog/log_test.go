package calllog

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"testing"
	"testing/synctest"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"dahliaspindle/internal/disk"
)

// history makes entries that can follow each other, from a source of choices.
type history struct {
	choose func(n int) int
	calls  map[uint32]*CallState
	order  []uint32
	next   uint32
	n      uint32 // attempts so far
}

func (h *history) entry() *Entry {
	if len(h.order) == 0 || len(h.order) < 8 && h.choose(3) == 0 {
		h.next++
		h.order = append(h.order, h.next)
		t := &Taken{Context: h.next, Name: fmt.Sprint("call ", h.next), Dest: uint32(h.choose(9)), Width: 1, Due: int64(h.next) * 1e9}
		h.calls[h.next] = &CallState{Accepted: t}
		return &Entry{What: &Entry_Taken{Taken: t}}
	}
	id := h.order[h.choose(len(h.order))]
	c := h.calls[id]
	switch {
	case len(c.Attempts) > 0 && c.Established == nil && !c.CallerDone && h.choose(2) == 0:
		c.Established = &Stood{Context: id, At: 7}
		return &Entry{What: &Entry_Stood{Stood: c.Established}}
	case len(c.Attempts) > 0 && h.choose(2) == 0:
		a := c.Attempts[0]
		c.Attempts = c.Attempts[1:]
		h.drop(id, c)
		return &Entry{What: &Entry_Let{Let: &Let{Context: id, Attempt: a.Attempt}}}
	case !c.CallerDone && c.Established == nil && h.choose(2) == 0:
		h.n++
		a := &Sent{Context: id, Attempt: h.n, Exchange: uint32(100 + h.choose(9))}
		c.Attempts = append(c.Attempts, a)
		return &Entry{What: &Entry_Sent{Sent: a}}
	case !c.CallerDone:
		c.CallerDone = true
		h.drop(id, c)
		return &Entry{What: &Entry_Over{Over: &Over{Context: id}}}
	}
	return &Entry{What: &Entry_Word{Word: &Word{Exchange: uint32(h.choose(5)), State: uint32(h.choose(3))}}}
}

func (h *history) drop(id uint32, c *CallState) {
	if c.CallerDone && len(c.Attempts) == 0 {
		delete(h.calls, id)
		h.order = slices.DeleteFunc(h.order, func(x uint32) bool { return x == id })
	}
}

func newHistory(choose func(int) int) *history {
	return &history{choose: choose, calls: map[uint32]*CallState{}}
}

// fixed is a history that is the same each time.
func fixed() *history {
	x := uint32(1)
	return newHistory(func(n int) int {
		x = x*1664525 + 1013904223
		return int(x>>16) % n
	})
}

// fingerprint is a state as bytes that are the same for the same state.
func fingerprint(t fataler, s State) string {
	p := s.picture()
	slices.SortFunc(p.Calls, func(a, b *Call) int { return int(a.Taken.Context) - int(b.Taken.Context) })
	slices.SortFunc(p.Words, func(a, b *Word) int { return int(a.Exchange) - int(b.Exchange) })
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

type fataler interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

func open(t fataler, d disk.Dir, o Options) (*Log, *Recovery) {
	l, f, err := Open(d, o)
	if err != nil {
		t.Fatal(err)
	}
	return l, f
}

// filled is a directory with entries of a fixed history, closed, and the
// fingerprints of the states after each number of them.
func filled(t *testing.T, n int, o Options) (*disk.MemoryDir, []string) {
	t.Helper()
	d := disk.NewMemoryDir()
	l, f := open(t, d, o)
	s, h := f.State, fixed()
	prints := []string{fingerprint(t, s)}
	for range n {
		e := h.entry()
		number, err := l.Append(e)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.WaitDurable(context.Background(), number); err != nil {
			t.Fatal(err)
		}
		if s, err = s.Apply(e); err != nil {
			t.Fatal(err)
		}
		prints = append(prints, fingerprint(t, s))
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return d, prints
}

// A crash that leaves any number of bytes of the last entry: the state is that
// before it, the torn end goes, and the next life's entries follow.
func TestTornAtEveryByte(t *testing.T) {
	whole, prints := filled(t, 20, Options{})
	b, err := whole.ReadFile(segmentName(0))
	if err != nil {
		t.Fatal(err)
	}
	start, _, err := frames(b, 0, func(n uint64, e []byte) error { // where the last one begins
		if n == 19 {
			return errors.New("here")
		}
		return nil
	})
	if err == nil {
		t.Fatal("twenty entries are not there")
	}
	for size := start; size < len(b); size++ {
		d, _ := filled(t, 20, Options{})
		d.Corrupt(segmentName(0), func(b []byte) []byte { return b[:size] })
		l, f := open(t, d, Options{})
		if fingerprint(t, f.State) != prints[19] || f.NextEntry != 19 || f.TornBytes != size-start {
			t.Fatalf("%d bytes left: %d entries, %d torn", size-start, f.NextEntry, f.TornBytes)
		}
		n, err := l.Append(&Entry{What: &Entry_Life{Life: &Life{Number: 5}}})
		if err != nil || n != 19 {
			t.Fatal(n, err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if g, err := Inspect(d); err != nil || g.NextEntry != 20 || g.State.Incarnation.GetNumber() != 5 || g.TornBytes != 0 {
			t.Fatalf("%d bytes left: the next life is read as %+v, %v", size-start, g, err)
		}
	}
}

// Any bit flipped before the last entry is found: nothing is guessed, and the
// place is named.
func TestFlippedBitInTheMiddle(t *testing.T) {
	whole, _ := filled(t, 12, Options{})
	b, err := whole.ReadFile(segmentName(0))
	if err != nil {
		t.Fatal(err)
	}
	last, _, _ := frames(b, 0, func(n uint64, e []byte) error {
		if n == 11 {
			return errors.New("here")
		}
		return nil
	})
	for bit := range 8 * last {
		d, _ := filled(t, 12, Options{})
		d.Corrupt(segmentName(0), func(b []byte) []byte {
			b = bytes.Clone(b)
			b[bit/8] ^= 1 << (bit % 8)
			return b
		})
		if _, _, err := Open(d, Options{}); !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrUnsupportedVersion) {
			t.Fatalf("bit %d of byte %d: %v", bit%8, bit/8, err)
		}
		if _, _, err := Open(d, Options{}); errors.Is(err, disk.ErrLocked) {
			t.Fatal("a log that was not opened is held")
		}
	}
}

// Whatever is appended, synced, snapshot and lost in a crash: what comes back is
// a beginning of what was appended, with all that was said to be durable. The
// writer is held before each of its operations, so that the crash comes between
// any two of them, the same each time.
func TestCrashAnywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, crashAnywhere) // a bubble has no deadline to ask for
	})
}

func crashAnywhere(t *rapid.T) {
	d := disk.NewMemoryDir()
	held, gate := false, make(chan struct{})
	d.InjectFault = func(op, _ string) error {
		if held && (op == "write" || op == "sync") {
			<-gate
		}
		return nil
	}
	l, f := open(t, d, Options{SegmentBytes: 300})
	synctest.Wait()
	held = true
	freely := func(do func() error) { // without holding the writer
		held = false
		select {
		case gate <- struct{}{}:
		default:
		}
		if err := do(); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		held = true
	}
	h := newHistory(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
	s := f.State
	prints := []string{fingerprint(t, s)}
	safe, snapped := uint64(0), map[uint64]bool{}
	for range rapid.IntRange(0, 60).Draw(t, "steps") {
		n := uint64(len(prints) - 1)
		switch rapid.IntRange(0, 11).Draw(t, "step") {
		case 0:
			if snapped[n] {
				continue
			}
			snapped[n] = true
			freely(func() error { return l.Snapshot(s, n) })
			safe = n
		case 1:
			if n > 0 {
				freely(func() error { return l.WaitDurable(context.Background(), n-1) })
				safe = n
			}
		case 2, 3, 4, 5: // one operation of the writer
			select {
			case gate <- struct{}{}:
			default:
			}
			synctest.Wait()
			safe = l.Durable()
		default:
			e := h.entry()
			if _, err := l.Append(e); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			var err error
			if s, err = s.Apply(e); err != nil {
				t.Fatal(err)
			}
			prints = append(prints, fingerprint(t, s))
		}
	}
	crashed := d.Crash(func(string, int) int { return rapid.IntRange(0, 400).Draw(t, "kept") })
	held = false
	close(gate)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for lives := range 2 { // what is found is found again
		l2, g := open(t, crashed, Options{SegmentBytes: 300})
		if g.NextEntry < safe || g.NextEntry >= uint64(len(prints)) || fingerprint(t, g.State) != prints[g.NextEntry] {
			t.Fatalf("life %d: %d entries of %d, %d were safe", lives, g.NextEntry, len(prints)-1, safe)
		}
		if err := l2.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// A snapshot newer than the log, one older, one spoilt, and a hole between them.
func TestSnapshotsAndLogs(t *testing.T) {
	make := func() (*disk.MemoryDir, []string) {
		d := disk.NewMemoryDir()
		l, f := open(t, d, Options{SegmentBytes: 150})
		s, h := f.State, fixed()
		prints := []string{fingerprint(t, s)}
		for i := range 90 {
			e := h.entry()
			n, err := l.Append(e)
			if err != nil {
				t.Fatal(err)
			}
			if err := l.WaitDurable(context.Background(), n); err != nil {
				t.Fatal(err)
			}
			if s, err = s.Apply(e); err != nil {
				t.Fatal(err)
			}
			prints = append(prints, fingerprint(t, s))
			if i == 29 || i == 59 {
				if err := l.Snapshot(s, uint64(i+1)); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		return d, prints
	}
	d, prints := make()
	names, _ := d.List()
	logs := numbers(names, "log")
	if f, err := Inspect(d); err != nil || f.SnapshotNumber != 60 || f.NextEntry != 90 || f.ReplayedEntries != 30 || fingerprint(t, f.State) != prints[90] {
		t.Fatalf("%+v, %v", f, err)
	}
	if logs[0] > 30 || logs[1] <= 30 {
		t.Errorf("logs from %v are kept, the older snapshot needs them from 30", logs)
	}
	spoil := func(b []byte) []byte { b = bytes.Clone(b); b[len(b)/2] ^= 4; return b }
	d.Corrupt(snapshotName(60), spoil)
	if f, err := Inspect(d); err != nil || f.SnapshotNumber != 30 || f.NextEntry != 90 || len(f.UnreadableSnapshots) != 1 || fingerprint(t, f.State) != prints[90] {
		t.Errorf("the newer snapshot spoilt: %+v, %v", f, err)
	}
	d.Corrupt(snapshotName(30), spoil)
	if _, err := Inspect(d); !errors.Is(err, ErrCorrupt) {
		t.Errorf("both spoilt: %v", err)
	}
	d, _ = make()
	for _, n := range logs { // the logs behind the snapshot are gone
		if n >= 60 {
			if err := d.Remove(segmentName(n)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if f, err := Inspect(d); err != nil || f.SnapshotNumber != 60 || f.NextEntry < 60 || f.NextEntry >= 90 || fingerprint(t, f.State) != prints[f.NextEntry] {
		t.Errorf("a snapshot newer than the log: %+v, %v", f, err)
	}
	d, _ = make()
	hole := logs[slices.IndexFunc(logs, func(n uint64) bool { return n > 62 })]
	if err := d.Remove(segmentName(hole)); err != nil {
		t.Fatal(err)
	}
	if _, err := Inspect(d); !errors.Is(err, ErrCorrupt) {
		t.Errorf("without %s: %v", segmentName(hole), err)
	}
}

// A full disk and a sync that fails: nothing is called durable that is not, the
// log takes no more, and what was durable is there in the next life.
func TestFailingDisk(t *testing.T) {
	for name, break_ := range map[string]func(*disk.MemoryDir){
		"full":  func(d *disk.MemoryDir) { d.FreeBytes = 5 },
		"sync":  func(d *disk.MemoryDir) { d.InjectFault = failing("sync", unix.EIO) },
		"write": func(d *disk.MemoryDir) { d.InjectFault = failing("write", unix.EIO) },
	} {
		d, prints := filled(t, 10, Options{})
		l, f := open(t, d, Options{})
		if f.NextEntry != 10 {
			t.Fatal(f.NextEntry)
		}
		h := fixed()
		for range 10 {
			h.entry()
		}
		break_(d)
		n, err := l.Append(h.entry())
		if err != nil {
			t.Fatal(err)
		}
		if err := l.WaitDurable(context.Background(), n); err == nil || l.Durable() != 10 {
			t.Errorf("%s: durable up to %d, %v", name, l.Durable(), err)
		}
		d.InjectFault, d.FreeBytes = nil, -1 // it works again: the log does not trust it
		if _, err := l.Append(h.entry()); err == nil {
			t.Errorf("%s: the log goes on", name)
		}
		if err := l.Close(); err == nil {
			t.Errorf("%s: closed without a word", name)
		}
		c := d.Crash(func(string, int) int { return 0 })
		_, g := open(t, c, Options{})
		if g.NextEntry != 10 || fingerprint(t, g.State) != prints[10] {
			t.Errorf("%s: %d entries in the next life", name, g.NextEntry)
		}
	}
}

func failing(op string, err error) func(string, string) error {
	return func(o, _ string) error {
		if o == op {
			return err
		}
		return nil
	}
}

// One directory has one holder; what waits is bounded; entries that can't follow
// are told; a log of a later format is left alone.
func TestEdges(t *testing.T) {
	d := disk.NewMemoryDir()
	l, f := open(t, d, Options{MaxPendingBytes: 10})
	if _, _, err := Open(d, Options{}); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	block := make(chan struct{})
	d.InjectFault = func(op, name string) error {
		if op == "write" {
			<-block
		}
		return nil
	}
	shed := 0
	for range 50 {
		if _, err := l.Append(&Entry{What: &Entry_Word{Word: &Word{Exchange: 1, Cell: 300, At: 5}}}); errors.Is(err, ErrFull) {
			shed++
		}
	}
	if shed < 40 {
		t.Errorf("%d of 50 refused where 10 bytes may wait", shed)
	}
	close(block)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Append(&Entry{}); !errors.Is(err, ErrClosed) {
		t.Error(err)
	}
	for _, e := range []*Entry{{What: &Entry_Sent{Sent: &Sent{Context: 1}}}, {What: &Entry_Stood{Stood: &Stood{Context: 1}}},
		{What: &Entry_Let{Let: &Let{Context: 1}}}, {What: &Entry_Over{Over: &Over{Context: 1}}}, {What: &Entry_Life{Life: &Life{}}}} {
		if _, err := f.State.Apply(e); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%v: %v", e, err)
		}
	}
	d.Corrupt(segmentName(0), func([]byte) []byte { // as a later version would write it
		b := appendHead(nil, 0)
		b[8]++
		return binary.LittleEndian.AppendUint32(b[:20], crc32.Checksum(b[:20], table))
	})
	if _, err := Inspect(d); !errors.Is(err, ErrUnsupportedVersion) {
		t.Errorf("a later format: %v", err)
	}
}

// words is a log of entries any of which could be missing unseen, but for their numbers.
func words(t *testing.T, n int, o Options) *disk.MemoryDir {
	t.Helper()
	d := disk.NewMemoryDir()
	l, _ := open(t, d, o)
	for i := range n {
		number, err := l.Append(&Entry{What: &Entry_Word{Word: &Word{Exchange: uint32(i + 1), At: 1e15}}})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.WaitDurable(context.Background(), number); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return d
}

// An entry cut out of the middle, one that stands twice, and a file that is gone.
func TestMissingEntryIsSeen(t *testing.T) {
	size := 0
	for name, spoil := range map[string]func(b []byte) []byte{
		"cut out": func(b []byte) []byte { return append(bytes.Clone(b[:headSize+size]), b[headSize+2*size:]...) },
		"twice": func(b []byte) []byte {
			return append(bytes.Clone(b[:headSize+2*size]), b[headSize+size:]...)
		},
	} {
		d := words(t, 5, Options{})
		b, err := d.ReadFile(segmentName(0))
		if err != nil {
			t.Fatal(err)
		}
		size = (len(b) - headSize) / 5
		d.Corrupt(segmentName(0), spoil)
		if _, err := Inspect(d); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
	}
	d := words(t, 30, Options{SegmentBytes: 100})
	names, err := d.List()
	if err != nil {
		t.Fatal(err)
	}
	logs := numbers(names, "log")
	if len(logs) < 5 {
		t.Fatalf("files from %v", logs)
	}
	if err := d.Remove(segmentName(logs[2])); err != nil {
		t.Fatal(err)
	}
	if _, err := Inspect(d); !errors.Is(err, ErrCorrupt) {
		t.Errorf("without a file: %v", err)
	}
}

// What gathered behind a write that failed is not written after it.
func TestNothingBehindAFailure(t *testing.T) {
	d := words(t, 3, Options{})
	l, _ := open(t, d, Options{})
	begun, gate := make(chan struct{}), make(chan struct{})
	failed := false
	d.InjectFault = func(op, _ string) error {
		if op == "write" && !failed {
			failed = true
			close(begun)
			<-gate
			return unix.EIO
		}
		return nil
	}
	word := &Entry{What: &Entry_Word{Word: &Word{Exchange: 9}}}
	if _, err := l.Append(word); err != nil {
		t.Fatal(err)
	}
	<-begun
	second, err := l.Append(word)
	if err != nil {
		t.Fatal(err)
	}
	close(gate)
	if err := l.WaitDurable(context.Background(), second); err == nil || l.Durable() != 3 {
		t.Errorf("durable up to %d, %v", l.Durable(), err)
	}
	if err := l.Close(); err == nil || l.Durable() != 3 {
		t.Errorf("closed with %v, durable up to %d", err, l.Durable())
	}
	if f, err := Inspect(d); err != nil || f.NextEntry != 3 {
		t.Errorf("%+v, %v", f, err)
	}
}
