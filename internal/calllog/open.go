package calllog

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"dahliaspindle/internal/disk"
)

// Recovery is the result of reading a call log directory.
type Recovery struct {
	State               State
	NextEntry           uint64   // number of the next entry to be written
	SnapshotNumber      uint64   // of the snapshot that was read; 0 if none
	ReplayedEntries     int      // number of entries read from segments
	TornBytes           int      // bytes at the end that are no complete entry; Open removes them
	TornFile            string   // file that holds them
	UnreadableSnapshots []string // names of snapshots that can't be read; an older one was used
}

// fileNumbers returns the numbers of the files of a kind in ascending order.
func fileNumbers(names []string, kind string) []uint64 {
	var sorted []uint64
	for _, name := range names {
		if hex, ok := strings.CutPrefix(name, kind+"-"); ok {
			if n, err := strconv.ParseUint(hex, 16, 64); err == nil && len(hex) == 16 {
				sorted = append(sorted, n)
			}
		}
	}
	return sorted // the names are sorted and their numbers have a fixed width
}

// Inspect reads a call log directory as Open does, without changing it.
func Inspect(dir disk.Dir) (*Recovery, error) {
	names, err := dir.List()
	if err != nil {
		return nil, fmt.Errorf("read call log: %w", err)
	}
	recovery := &Recovery{State: NewState()}
	snapshots, segments := fileNumbers(names, "snap"), fileNumbers(names, "log")
	for i := len(snapshots) - 1; i >= 0; i-- {
		state, err := readSnapshot(dir, snapshots[i])
		if errors.Is(err, ErrUnsupportedVersion) {
			return nil, err
		}
		if err == nil {
			recovery.State, recovery.SnapshotNumber, recovery.NextEntry = state, snapshots[i], snapshots[i]
			break
		}
		recovery.UnreadableSnapshots = append(recovery.UnreadableSnapshots, snapshotName(snapshots[i]))
	}
	if len(recovery.UnreadableSnapshots) > 0 && recovery.SnapshotNumber == 0 && (len(segments) == 0 || segments[0] > 0) {
		return nil, fmt.Errorf("snapshot %s is unreadable, there is no older one, and the log does not start at entry 0: %w", recovery.UnreadableSnapshots[0], ErrCorrupt)
	}
	for i, first := range segments {
		last := i == len(segments)-1
		if !last && segments[i+1] <= recovery.NextEntry {
			continue // completely covered by the snapshot
		}
		if first > recovery.NextEntry {
			return nil, fmt.Errorf("entries %d to %d are missing before %s: %w", recovery.NextEntry, first-1, segmentName(first), ErrCorrupt)
		}
		if err := recovery.readSegment(dir, first, last); err != nil {
			return nil, err
		}
	}
	return recovery, nil
}

// readSegment applies the entries of a segment to the state. Only the last segment
// may end with an incomplete entry.
func (recovery *Recovery) readSegment(dir disk.Dir, first uint64, last bool) error {
	name := segmentName(first)
	b, err := dir.ReadFile(name)
	if err != nil {
		return fmt.Errorf("read call log: %w", err)
	}
	if last && len(b) < headerSize { // the process was killed while it created the file: it holds no entry
		recovery.TornBytes, recovery.TornFile = len(b), name
		return nil
	}
	fileStart, err := readHeader(b)
	if err == nil && fileStart != first {
		err = fmt.Errorf("header starts at entry %d: %w", fileStart, ErrCorrupt)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	validBytes, next, err := readFrames(b, first, func(number uint64, entry []byte) error {
		if number < recovery.NextEntry {
			return nil // covered by the snapshot
		}
		var decoded Entry
		if err := proto.Unmarshal(entry, &decoded); err != nil {
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		state, err := recovery.State.Apply(&decoded)
		if err != nil {
			return err
		}
		recovery.State, recovery.NextEntry = state, number+1
		recovery.ReplayedEntries++
		return nil
	})
	if err == nil && validBytes < len(b) && !last {
		err = fmt.Errorf("entry %d, at byte %d: %w", next, validBytes, ErrCorrupt)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if validBytes < len(b) {
		recovery.TornBytes, recovery.TornFile = len(b)-validBytes, name
	}
	return nil
}

// readSnapshot reads the snapshot of all entries below the given number.
func readSnapshot(dir disk.Dir, below uint64) (State, error) {
	name := snapshotName(below)
	b, err := dir.ReadFile(name)
	if err != nil {
		return State{}, fmt.Errorf("%s: %w", name, err)
	}
	fileStart, err := readHeader(b)
	if err != nil {
		return State{}, fmt.Errorf("%s: %w", name, err)
	}
	entry, ok := readFrame(b[headerSize:], below)
	var snapshot Picture
	if !ok || fileStart != below || proto.Unmarshal(entry, &snapshot) != nil {
		return State{}, fmt.Errorf("%s: %w", name, ErrCorrupt)
	}
	return snapshot.toState(), nil
}

// Open recovers what earlier processes left in the directory, removes an incomplete
// last entry and starts a new segment. It does not open a corrupt log, since its
// content could only be guessed; the error, as that of Inspect, names the place.
func Open(dir disk.Dir, options Options) (*Log, *Recovery, error) {
	if options.SegmentBytes <= 0 {
		options.SegmentBytes = 8 << 20
	}
	if options.MaxPendingBytes <= 0 {
		options.MaxPendingBytes = 4 << 20
	}
	unlock, err := dir.Lock()
	if err != nil {
		return nil, nil, fmt.Errorf("open call log: %w", err)
	}
	fail := func(err error) (*Log, *Recovery, error) {
		return nil, nil, fmt.Errorf("open call log: %w", errors.Join(err, unlock()))
	}
	recovery, err := Inspect(dir)
	if err != nil {
		return fail(err)
	}
	if err := removeLeftovers(dir, recovery); err != nil {
		return fail(err)
	}
	l := &Log{
		dir:           dir,
		options:       options,
		unlock:        unlock,
		done:          make(chan struct{}),
		nextEntry:     recovery.NextEntry,
		durable:       recovery.NextEntry,
		changed:       make(chan struct{}),
		pendingSignal: make(chan struct{}, 1),
	}
	if err := l.rotate(recovery.NextEntry); err != nil {
		return fail(err)
	}
	go l.writeLoop()
	return l, recovery, nil
}

// removeLeftovers removes what a killed process left unfinished: an incomplete last
// entry, a segment without an entry and an incomplete snapshot.
func removeLeftovers(dir disk.Dir, recovery *Recovery) error {
	names, err := dir.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := dir.Remove(name); err != nil {
				return err
			}
		}
	}
	if recovery.TornBytes > 0 {
		b, err := dir.ReadFile(recovery.TornFile)
		if err != nil {
			return err
		}
		if err := dir.Truncate(recovery.TornFile, int64(len(b)-recovery.TornBytes)); err != nil {
			return err
		}
	}
	if last := segmentName(recovery.NextEntry); len(fileNumbers(names, "log")) > 0 {
		for _, name := range names {
			if name == last { // created without an entry: created again by Open
				if err := dir.Remove(name); err != nil {
					return err
				}
			}
		}
	}
	return dir.Sync()
}

// removeObsolete removes the files that a new snapshot makes unnecessary. The
// previous snapshot and the segments after it are kept, in case the new snapshot
// becomes unreadable.
func removeObsolete(dir disk.Dir, below uint64) error {
	names, err := dir.List()
	if err != nil {
		return err
	}
	snapshots, segments := fileNumbers(names, "snap"), fileNumbers(names, "log")
	keepFrom := uint64(0) // entries with this and higher numbers are needed
	for _, n := range snapshots {
		if n < below {
			keepFrom = max(keepFrom, n)
		}
	}
	for _, n := range snapshots {
		if n < keepFrom {
			if err := dir.Remove(snapshotName(n)); err != nil {
				return err
			}
		}
	}
	for i := 0; i+1 < len(segments); i++ {
		if segments[i+1] <= keepFrom {
			if err := dir.Remove(segmentName(segments[i])); err != nil {
				return err
			}
		}
	}
	return dir.Sync()
}
