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

// entryGenerator generates entries of a consistent log. choose makes its decisions:
// it returns a number from 0 to n-1.
type entryGenerator struct {
	choose      func(n int) int
	calls       map[uint32]*CallState
	ids         []uint32 // contexts of calls, in the order of their creation
	lastID      uint32
	lastAttempt uint32
}

// nextEntry returns an entry that may follow the earlier ones.
func (g *entryGenerator) nextEntry() *Entry {
	if len(g.ids) == 0 || len(g.ids) < 8 && g.choose(3) == 0 {
		g.lastID++
		g.ids = append(g.ids, g.lastID)
		taken := &Taken{Context: g.lastID, Name: fmt.Sprint("call ", g.lastID), Dest: uint32(g.choose(9)), Width: 1, Due: int64(g.lastID) * 1e9}
		g.calls[g.lastID] = &CallState{Accepted: taken}
		return &Entry{What: &Entry_Taken{Taken: taken}}
	}
	id := g.ids[g.choose(len(g.ids))]
	call := g.calls[id]
	switch {
	case len(call.Attempts) > 0 && call.Established == nil && !call.CallerDone && g.choose(2) == 0:
		call.Established = &Stood{Context: id, At: 7}
		return &Entry{What: &Entry_Stood{Stood: call.Established}}
	case len(call.Attempts) > 0 && g.choose(2) == 0:
		released := call.Attempts[0]
		call.Attempts = call.Attempts[1:]
		g.removeIfDone(id, call)
		return &Entry{What: &Entry_Let{Let: &Let{Context: id, Attempt: released.Attempt}}}
	case !call.CallerDone && call.Established == nil && g.choose(2) == 0:
		g.lastAttempt++
		sent := &Sent{Context: id, Attempt: g.lastAttempt, Exchange: uint32(100 + g.choose(9))}
		call.Attempts = append(call.Attempts, sent)
		return &Entry{What: &Entry_Sent{Sent: sent}}
	case !call.CallerDone:
		call.CallerDone = true
		g.removeIfDone(id, call)
		return &Entry{What: &Entry_Over{Over: &Over{Context: id}}}
	}
	return &Entry{What: &Entry_Word{Word: &Word{Exchange: uint32(g.choose(5)), State: uint32(g.choose(3))}}}
}

// removeIfDone removes a call of which nothing more can be logged.
func (g *entryGenerator) removeIfDone(id uint32, call *CallState) {
	if call.CallerDone && len(call.Attempts) == 0 {
		delete(g.calls, id)
		g.ids = slices.DeleteFunc(g.ids, func(other uint32) bool { return other == id })
	}
}

// newEntryGenerator returns a generator that decides by choose.
func newEntryGenerator(choose func(int) int) *entryGenerator {
	return &entryGenerator{choose: choose, calls: map[uint32]*CallState{}}
}

// newFixedGenerator returns a generator with a fixed sequence of decisions.
func newFixedGenerator() *entryGenerator {
	random := uint32(1)
	return newEntryGenerator(func(n int) int {
		random = random*1664525 + 1013904223
		return int(random>>16) % n
	})
}

// fingerprint returns an encoding of a state that is equal for equal states.
func fingerprint(t testFailer, state State) string {
	snapshot := state.snapshotMessage()
	slices.SortFunc(snapshot.Calls, func(a, b *Call) int { return int(a.Taken.Context) - int(b.Taken.Context) })
	slices.SortFunc(snapshot.Words, func(a, b *Word) int { return int(a.Exchange) - int(b.Exchange) })
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}

// testFailer is implemented by testing.T and rapid.T.
type testFailer interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

// openLog opens a log and fails the test if that fails.
func openLog(t testFailer, dir disk.Dir, options Options) (*Log, *Recovery) {
	log, recovery, err := Open(dir, options)
	if err != nil {
		t.Fatal(err)
	}
	return log, recovery
}

// newFilledDir returns a directory with a closed log of n entries, and the
// fingerprints of the states after 0 to n entries.
func newFilledDir(t *testing.T, n int, options Options) (*disk.MemoryDir, []string) {
	t.Helper()
	dir := disk.NewMemoryDir()
	log, recovery := openLog(t, dir, options)
	state, generator := recovery.State, newFixedGenerator()
	fingerprints := []string{fingerprint(t, state)}
	for range n {
		entry := generator.nextEntry()
		number, err := log.Append(entry)
		if err != nil {
			t.Fatal(err)
		}
		if err := log.WaitDurable(context.Background(), number); err != nil {
			t.Fatal(err)
		}
		if state, err = state.Apply(entry); err != nil {
			t.Fatal(err)
		}
		fingerprints = append(fingerprints, fingerprint(t, state))
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	return dir, fingerprints
}

// The file may end after any byte of the last entry. The log then recovers the state
// before that entry, removes the incomplete bytes and accepts new entries.
func TestTruncatedAtEveryByte(t *testing.T) {
	intact, fingerprints := newFilledDir(t, 20, Options{})
	content, err := intact.ReadFile(segmentName(0))
	if err != nil {
		t.Fatal(err)
	}
	start, _, err := readFrames(content, 0, func(number uint64, entry []byte) error { // finds the start of the last entry
		if number == 19 {
			return errors.New("last entry")
		}
		return nil
	})
	if err == nil {
		t.Fatal("the log holds fewer than 20 entries")
	}
	for size := start; size < len(content); size++ {
		dir, _ := newFilledDir(t, 20, Options{})
		dir.Corrupt(segmentName(0), func(b []byte) []byte { return b[:size] })
		log, recovery := openLog(t, dir, Options{})
		if fingerprint(t, recovery.State) != fingerprints[19] || recovery.NextEntry != 19 || recovery.TornBytes != size-start {
			t.Fatalf("%d bytes of the last entry left: next entry %d, %d torn bytes", size-start, recovery.NextEntry, recovery.TornBytes)
		}
		number, err := log.Append(&Entry{What: &Entry_Life{Life: &Life{Number: 5}}})
		if err != nil || number != 19 {
			t.Fatal(number, err)
		}
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		if recovered, err := Inspect(dir); err != nil || recovered.NextEntry != 20 || recovered.State.Incarnation.GetNumber() != 5 || recovered.TornBytes != 0 {
			t.Fatalf("%d bytes of the last entry left: recovered %+v after an append, %v", size-start, recovered, err)
		}
	}
}

// A single flipped bit before the last entry must be detected: the log is not opened
// with content that might be wrong.
func TestFlippedBitIsDetected(t *testing.T) {
	intact, _ := newFilledDir(t, 12, Options{})
	content, err := intact.ReadFile(segmentName(0))
	if err != nil {
		t.Fatal(err)
	}
	last, _, _ := readFrames(content, 0, func(number uint64, entry []byte) error {
		if number == 11 {
			return errors.New("last entry")
		}
		return nil
	})
	for bit := range 8 * last {
		dir, _ := newFilledDir(t, 12, Options{})
		dir.Corrupt(segmentName(0), func(b []byte) []byte {
			b = bytes.Clone(b)
			b[bit/8] ^= 1 << (bit % 8)
			return b
		})
		if _, _, err := Open(dir, Options{}); !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrUnsupportedVersion) {
			t.Fatalf("bit %d of byte %d: %v", bit%8, bit/8, err)
		}
		if _, _, err := Open(dir, Options{}); errors.Is(err, disk.ErrLocked) {
			t.Fatal("the directory stays locked after Open failed")
		}
	}
}

// After a crash between any two operations of the writer, the log recovers a prefix
// of the appended entries that contains all entries reported as durable. The writer
// is blocked before each operation, so that each run is reproducible.
func TestCrashBetweenOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, checkCrashRecovery) // hides Deadline, which a synctest bubble does not support
	})
}

// checkCrashRecovery checks one drawn sequence of operations that ends with a crash.
func checkCrashRecovery(t *rapid.T) {
	dir := disk.NewMemoryDir()
	blocked, proceed := false, make(chan struct{})
	dir.InjectFault = func(op, _ string) error {
		if blocked && (op == "write" || op == "sync") {
			<-proceed
		}
		return nil
	}
	log, recovery := openLog(t, dir, Options{SegmentBytes: 300})
	synctest.Wait()
	blocked = true
	runUnblocked := func(do func() error) { // runs do without blocking the writer
		blocked = false
		select {
		case proceed <- struct{}{}:
		default:
		}
		if err := do(); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		blocked = true
	}
	generator := newEntryGenerator(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
	state := recovery.State
	fingerprints := []string{fingerprint(t, state)}
	durable, snapshotTaken := uint64(0), map[uint64]bool{}
	for range rapid.IntRange(0, 60).Draw(t, "steps") {
		n := uint64(len(fingerprints) - 1)
		switch rapid.IntRange(0, 11).Draw(t, "step") {
		case 0:
			if snapshotTaken[n] {
				continue
			}
			snapshotTaken[n] = true
			runUnblocked(func() error { return log.Snapshot(state, n) })
			durable = n
		case 1:
			if n > 0 {
				runUnblocked(func() error { return log.WaitDurable(context.Background(), n-1) })
				durable = n
			}
		case 2, 3, 4, 5: // one operation of the writer
			select {
			case proceed <- struct{}{}:
			default:
			}
			synctest.Wait()
			durable = log.Durable()
		default:
			entry := generator.nextEntry()
			if _, err := log.Append(entry); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			var err error
			if state, err = state.Apply(entry); err != nil {
				t.Fatal(err)
			}
			fingerprints = append(fingerprints, fingerprint(t, state))
		}
	}
	crashed := dir.Crash(func(string, int) int { return rapid.IntRange(0, 400).Draw(t, "kept") })
	blocked = false
	close(proceed)
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	for opened := range 2 { // recovery must be repeatable
		reopened, recovered := openLog(t, crashed, Options{SegmentBytes: 300})
		if recovered.NextEntry < durable || recovered.NextEntry >= uint64(len(fingerprints)) || fingerprint(t, recovered.State) != fingerprints[recovered.NextEntry] {
			t.Fatalf("open %d: recovered %d entries of %d, %d were durable", opened, recovered.NextEntry, len(fingerprints)-1, durable)
		}
		if err := reopened.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// Recovery with two snapshots; with the newer or both corrupt; with a snapshot newer
// than the log; and with a missing segment.
func TestRecoveryFromSnapshots(t *testing.T) {
	newDirWithSnapshots := func() (*disk.MemoryDir, []string) {
		dir := disk.NewMemoryDir()
		log, recovery := openLog(t, dir, Options{SegmentBytes: 150})
		state, generator := recovery.State, newFixedGenerator()
		fingerprints := []string{fingerprint(t, state)}
		for i := range 90 {
			entry := generator.nextEntry()
			n, err := log.Append(entry)
			if err != nil {
				t.Fatal(err)
			}
			if err := log.WaitDurable(context.Background(), n); err != nil {
				t.Fatal(err)
			}
			if state, err = state.Apply(entry); err != nil {
				t.Fatal(err)
			}
			fingerprints = append(fingerprints, fingerprint(t, state))
			if i == 29 || i == 59 {
				if err := log.Snapshot(state, uint64(i+1)); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		return dir, fingerprints
	}
	dir, fingerprints := newDirWithSnapshots()
	names, _ := dir.List()
	segments := fileNumbers(names, "log")
	if recovery, err := Inspect(dir); err != nil || recovery.SnapshotNumber != 60 || recovery.NextEntry != 90 || recovery.ReplayedEntries != 30 || fingerprint(t, recovery.State) != fingerprints[90] {
		t.Fatalf("%+v, %v", recovery, err)
	}
	if segments[0] > 30 || segments[1] <= 30 {
		t.Errorf("segments that start at %v are kept, the older snapshot needs entries from 30", segments)
	}
	corrupt := func(content []byte) []byte {
		content = bytes.Clone(content)
		content[len(content)/2] ^= 4
		return content
	}
	dir.Corrupt(snapshotName(60), corrupt)
	if recovery, err := Inspect(dir); err != nil || recovery.SnapshotNumber != 30 || recovery.NextEntry != 90 || len(recovery.UnreadableSnapshots) != 1 || fingerprint(t, recovery.State) != fingerprints[90] {
		t.Errorf("newer snapshot corrupt: %+v, %v", recovery, err)
	}
	dir.Corrupt(snapshotName(30), corrupt)
	if _, err := Inspect(dir); !errors.Is(err, ErrCorrupt) {
		t.Errorf("both snapshots corrupt: %v", err)
	}
	dir, _ = newDirWithSnapshots()
	for _, n := range segments { // removes the segments after the snapshot
		if n >= 60 {
			if err := dir.Remove(segmentName(n)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if recovery, err := Inspect(dir); err != nil || recovery.SnapshotNumber != 60 || recovery.NextEntry < 60 || recovery.NextEntry >= 90 || fingerprint(t, recovery.State) != fingerprints[recovery.NextEntry] {
		t.Errorf("snapshot newer than the log: %+v, %v", recovery, err)
	}
	dir, _ = newDirWithSnapshots()
	missing := segments[slices.IndexFunc(segments, func(n uint64) bool { return n > 62 })]
	if err := dir.Remove(segmentName(missing)); err != nil {
		t.Fatal(err)
	}
	if _, err := Inspect(dir); !errors.Is(err, ErrCorrupt) {
		t.Errorf("without %s: %v", segmentName(missing), err)
	}
}

// With a full disk or a failOperation write or sync, the log reports nothing as durable that
// is not and accepts no further entries. What was durable is recovered afterwards.
func TestFailingDisk(t *testing.T) {
	for name, injectFault := range map[string]func(*disk.MemoryDir){
		"full":  func(dir *disk.MemoryDir) { dir.FreeBytes = 5 },
		"sync":  func(dir *disk.MemoryDir) { dir.InjectFault = failOperation("sync", unix.EIO) },
		"write": func(dir *disk.MemoryDir) { dir.InjectFault = failOperation("write", unix.EIO) },
	} {
		dir, fingerprints := newFilledDir(t, 10, Options{})
		log, recovery := openLog(t, dir, Options{})
		if recovery.NextEntry != 10 {
			t.Fatal(recovery.NextEntry)
		}
		generator := newFixedGenerator()
		for range 10 {
			generator.nextEntry()
		}
		injectFault(dir)
		n, err := log.Append(generator.nextEntry())
		if err != nil {
			t.Fatal(err)
		}
		if err := log.WaitDurable(context.Background(), n); err == nil || log.Durable() != 10 {
			t.Errorf("%s: durable below %d, %v", name, log.Durable(), err)
		}
		dir.InjectFault, dir.FreeBytes = nil, -1 // the disk works again, but the log must not write to it
		if _, err := log.Append(generator.nextEntry()); err == nil {
			t.Errorf("%s: Append succeeded after a failed write", name)
		}
		if err := log.Close(); err == nil {
			t.Errorf("%s: Close returned no error after a failed write", name)
		}
		crashed := dir.Crash(func(string, int) int { return 0 })
		_, recovered := openLog(t, crashed, Options{})
		if recovered.NextEntry != 10 || fingerprint(t, recovered.State) != fingerprints[10] {
			t.Errorf("%s: recovered %d entries", name, recovered.NextEntry)
		}
	}
}

// failOperation returns a fault injector that fails one kind of operation with err.
func failOperation(operation string, err error) func(string, string) error {
	return func(op, _ string) error {
		if op == operation {
			return err
		}
		return nil
	}
}

// A directory is opened only once; the pending entries are bounded; entries that can't
// follow the earlier ones are rejected; a log of a later format version is not read.
func TestLimitsAndInvalidLogs(t *testing.T) {
	dir := disk.NewMemoryDir()
	log, recovery := openLog(t, dir, Options{MaxPendingBytes: 10})
	if _, _, err := Open(dir, Options{}); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	unblock := make(chan struct{})
	dir.InjectFault = func(op, name string) error {
		if op == "write" {
			<-unblock
		}
		return nil
	}
	rejected := 0
	for range 50 {
		if _, err := log.Append(&Entry{What: &Entry_Word{Word: &Word{Exchange: 1, Cell: 300, At: 5}}}); errors.Is(err, ErrFull) {
			rejected++
		}
	}
	if rejected < 40 {
		t.Errorf("%d of 50 entries rejected with a limit of 10 pending bytes", rejected)
	}
	close(unblock)
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(&Entry{}); !errors.Is(err, ErrClosed) {
		t.Error(err)
	}
	for _, entry := range []*Entry{{What: &Entry_Sent{Sent: &Sent{Context: 1}}}, {What: &Entry_Stood{Stood: &Stood{Context: 1}}},
		{What: &Entry_Let{Let: &Let{Context: 1}}}, {What: &Entry_Over{Over: &Over{Context: 1}}}, {What: &Entry_Life{Life: &Life{}}}} {
		if _, err := recovery.State.Apply(entry); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%v: %v", entry, err)
		}
	}
	dir.Corrupt(segmentName(0), func([]byte) []byte { // a header of a later format version
		b := appendHeader(nil, 0)
		b[8]++
		return binary.LittleEndian.AppendUint32(b[:20], crc32.Checksum(b[:20], crcTable))
	})
	if _, err := Inspect(dir); !errors.Is(err, ErrUnsupportedVersion) {
		t.Errorf("later format version: %v", err)
	}
}

// newDirOfIndependentEntries returns a directory with a log of n entries that do not
// depend on each other: a missing one is detected only by its number.
func newDirOfIndependentEntries(t *testing.T, n int, options Options) *disk.MemoryDir {
	t.Helper()
	dir := disk.NewMemoryDir()
	log, _ := openLog(t, dir, options)
	for i := range n {
		number, err := log.Append(&Entry{What: &Entry_Word{Word: &Word{Exchange: uint32(i + 1), At: 1e15}}})
		if err != nil {
			t.Fatal(err)
		}
		if err := log.WaitDurable(context.Background(), number); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

// An entry removed from the middle, a duplicated entry and a missing segment must be
// detected.
func TestMissingEntryIsDetected(t *testing.T) {
	size := 0
	for name, corrupt := range map[string]func(b []byte) []byte{
		"removed": func(b []byte) []byte { return append(bytes.Clone(b[:headerSize+size]), b[headerSize+2*size:]...) },
		"duplicated": func(b []byte) []byte {
			return append(bytes.Clone(b[:headerSize+2*size]), b[headerSize+size:]...)
		},
	} {
		dir := newDirOfIndependentEntries(t, 5, Options{})
		content, err := dir.ReadFile(segmentName(0))
		if err != nil {
			t.Fatal(err)
		}
		size = (len(content) - headerSize) / 5
		dir.Corrupt(segmentName(0), corrupt)
		if _, err := Inspect(dir); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
	}
	dir := newDirOfIndependentEntries(t, 30, Options{SegmentBytes: 100})
	names, err := dir.List()
	if err != nil {
		t.Fatal(err)
	}
	segments := fileNumbers(names, "log")
	if len(segments) < 5 {
		t.Fatalf("segments start at %v, want at least 5", segments)
	}
	if err := dir.Remove(segmentName(segments[2])); err != nil {
		t.Fatal(err)
	}
	if _, err := Inspect(dir); !errors.Is(err, ErrCorrupt) {
		t.Errorf("missing segment: %v", err)
	}
}

// Entries that were queued while a write failed must not be written after it.
func TestNoWriteAfterFailure(t *testing.T) {
	dir := newDirOfIndependentEntries(t, 3, Options{})
	log, _ := openLog(t, dir, Options{})
	writeStarted, unblock := make(chan struct{}), make(chan struct{})
	failed := false
	dir.InjectFault = func(op, _ string) error {
		if op == "write" && !failed {
			failed = true
			close(writeStarted)
			<-unblock
			return unix.EIO
		}
		return nil
	}
	entry := &Entry{What: &Entry_Word{Word: &Word{Exchange: 9}}}
	if _, err := log.Append(entry); err != nil {
		t.Fatal(err)
	}
	<-writeStarted
	second, err := log.Append(entry)
	if err != nil {
		t.Fatal(err)
	}
	close(unblock)
	if err := log.WaitDurable(context.Background(), second); err == nil || log.Durable() != 3 {
		t.Errorf("durable below %d, %v", log.Durable(), err)
	}
	if err := log.Close(); err == nil || log.Durable() != 3 {
		t.Errorf("Close: %v, durable below %d", err, log.Durable())
	}
	if recovery, err := Inspect(dir); err != nil || recovery.NextEntry != 3 {
		t.Errorf("%+v, %v", recovery, err)
	}
}
