package calllog

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"dahliaspindle/internal/disk"
)

// Recovery is what a directory was found to hold.
type Recovery struct {
	State               State
	NextEntry           uint64 // number of the entry that comes next
	SnapshotNumber      uint64 // the one that was read; 0: none
	ReplayedEntries     int    // read from logs
	TornBytes           int    // bytes at the end that were no whole entry, cut off by Open
	TornFile            string
	UnreadableSnapshots []string // snapshots that can't be read; an older one was
}

// numbers lists files of a kind by their numbers, in order.
func numbers(names []string, kind string) []uint64 {
	var all []uint64
	for _, name := range names {
		if hex, ok := strings.CutPrefix(name, kind+"-"); ok {
			if n, err := strconv.ParseUint(hex, 16, 64); err == nil && len(hex) == 16 {
				all = append(all, n)
			}
		}
	}
	return all // names are sorted, and so are their numbers
}

// Inspect reads a directory and changes nothing, as Open would before it writes.
func Inspect(dir disk.Dir) (*Recovery, error) {
	names, err := dir.List()
	if err != nil {
		return nil, fmt.Errorf("reading the call log: %w", err)
	}
	f := &Recovery{State: NewState()}
	snaps, logs := numbers(names, "snap"), numbers(names, "log")
	for i := len(snaps) - 1; i >= 0; i-- {
		s, err := readSnapshot(dir, snaps[i])
		if errors.Is(err, ErrUnsupportedVersion) {
			return nil, err
		}
		if err == nil {
			f.State, f.SnapshotNumber, f.NextEntry = s, snaps[i], snaps[i]
			break
		}
		f.UnreadableSnapshots = append(f.UnreadableSnapshots, snapshotName(snaps[i]))
	}
	if len(f.UnreadableSnapshots) > 0 && f.SnapshotNumber == 0 && (len(logs) == 0 || logs[0] > 0) {
		return nil, fmt.Errorf("%s and no older one, and the log does not begin at its beginning: %w", f.UnreadableSnapshots[0], ErrCorrupt)
	}
	for i, first := range logs {
		last := i == len(logs)-1
		if !last && logs[i+1] <= f.NextEntry {
			continue // wholly in the snapshot
		}
		if first > f.NextEntry {
			return nil, fmt.Errorf("entries %d to %d are missing before %s: %w", f.NextEntry, first-1, segmentName(first), ErrCorrupt)
		}
		if err := f.read(dir, first, last); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Recovery) read(dir disk.Dir, first uint64, last bool) error {
	name := segmentName(first)
	b, err := dir.ReadFile(name)
	if err != nil {
		return fmt.Errorf("reading the call log: %w", err)
	}
	if last && len(b) < headSize { // killed while it was begun: nothing was in it
		f.TornBytes, f.TornFile = len(b), name
		return nil
	}
	head, err := readHead(b)
	if err == nil && head != first {
		err = fmt.Errorf("begins at entry %d: %w", head, ErrCorrupt)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	good, next, err := frames(b, first, func(number uint64, entry []byte) error {
		if number < f.NextEntry {
			return nil // in the snapshot
		}
		var e Entry
		if err := proto.Unmarshal(entry, &e); err != nil {
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		s, err := f.State.Apply(&e)
		if err != nil {
			return err
		}
		f.State, f.NextEntry = s, number+1
		f.ReplayedEntries++
		return nil
	})
	if err == nil && good < len(b) && !last {
		err = fmt.Errorf("entry %d, at byte %d: %w", next, good, ErrCorrupt)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if good < len(b) {
		f.TornBytes, f.TornFile = len(b)-good, name
	}
	return nil
}

func readSnapshot(dir disk.Dir, below uint64) (State, error) {
	name := snapshotName(below)
	b, err := dir.ReadFile(name)
	if err != nil {
		return State{}, fmt.Errorf("%s: %w", name, err)
	}
	head, err := readHead(b)
	if err != nil {
		return State{}, fmt.Errorf("%s: %w", name, err)
	}
	entry, ok := readFrame(b[headSize:], below)
	var p Picture
	if !ok || head != below || proto.Unmarshal(entry, &p) != nil {
		return State{}, fmt.Errorf("%s: %w", name, ErrCorrupt)
	}
	return p.restored(), nil
}

// Open reads what former lives left, cuts a torn end off and begins a file of
// its own. A log that is damaged is not opened: what it holds is not to be
// guessed (Look and the tool tell where).
func Open(dir disk.Dir, opt Options) (*Log, *Recovery, error) {
	if opt.SegmentBytes <= 0 {
		opt.SegmentBytes = 8 << 20
	}
	if opt.MaxPendingBytes <= 0 {
		opt.MaxPendingBytes = 4 << 20
	}
	unlock, err := dir.Lock()
	if err != nil {
		return nil, nil, fmt.Errorf("opening the call log: %w", err)
	}
	fail := func(err error) (*Log, *Recovery, error) {
		return nil, nil, fmt.Errorf("opening the call log: %w", errors.Join(err, unlock()))
	}
	f, err := Inspect(dir)
	if err != nil {
		return fail(err)
	}
	if err := tidy(dir, f); err != nil {
		return fail(err)
	}
	l := &Log{dir: dir, opt: opt, unlock: unlock, done: make(chan struct{}), next: f.NextEntry, durable: f.NextEntry,
		changed: make(chan struct{}), wake: make(chan struct{}, 1)}
	if err := l.rotate(f.NextEntry); err != nil {
		return fail(err)
	}
	go l.write()
	return l, f, nil
}

// tidy removes what a killed life left unfinished: a torn end, a file without an
// entry, a snapshot that was not whole.
func tidy(dir disk.Dir, f *Recovery) error {
	names, err := dir.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporary) {
			if err := dir.Remove(name); err != nil {
				return err
			}
		}
	}
	if f.TornBytes > 0 {
		b, err := dir.ReadFile(f.TornFile)
		if err != nil {
			return err
		}
		if err := dir.Truncate(f.TornFile, int64(len(b)-f.TornBytes)); err != nil {
			return err
		}
	}
	if last := segmentName(f.NextEntry); len(numbers(names, "log")) > 0 {
		for _, name := range names {
			if name == last { // begun, and nothing in it: begun again
				if err := dir.Remove(name); err != nil {
					return err
				}
			}
		}
	}
	return dir.Sync()
}

// forget removes files that a snapshot makes needless. The snapshot before stays,
// with its logs, in case the new one can't be read some day.
func forget(dir disk.Dir, below uint64) error {
	names, err := dir.List()
	if err != nil {
		return err
	}
	snaps, logs := numbers(names, "snap"), numbers(names, "log")
	keep := uint64(0) // entries from here on are needed
	for _, n := range snaps {
		if n < below {
			keep = max(keep, n)
		}
	}
	for _, n := range snaps {
		if n < keep {
			if err := dir.Remove(snapshotName(n)); err != nil {
				return err
			}
		}
	}
	for i := 0; i+1 < len(logs); i++ {
		if logs[i+1] <= keep {
			if err := dir.Remove(segmentName(logs[i])); err != nil {
				return err
			}
		}
	}
	return dir.Sync()
}
