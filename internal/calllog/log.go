// Package calllog stores what a controller must know about its calls after it was
// killed. It is a write-ahead log of entries in numbered segment files, made
// durable in groups, with snapshots that allow old segments to be removed.
//
// Files: frame.go holds the file format; state.go the state that results from the
// entries; log.go writing; open.go recovery of what an earlier process left.
package calllog

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"dahliaspindle/internal/disk"
)

// Options configures a log. Zero fields take the defaults.
type Options struct {
	SegmentBytes    int // size in bytes at which a segment file is closed; default 8 MiB
	MaxPendingBytes int // maximum size in bytes of the entries that wait to be written; default 4 MiB
}

var (
	// ErrFull is returned by Append when MaxPendingBytes wait to be written.
	ErrFull = errors.New("too many entries wait to be written")
	// ErrClosed is returned by operations on a closed log.
	ErrClosed = errors.New("the log is closed")
)

// Log is an open call log. It is safe for concurrent use.
type Log struct {
	dir     disk.Dir
	options Options
	unlock  func() error
	done    chan struct{} // closed when the writer goroutine has ended

	mu            sync.Mutex
	pending       []byte        // frames that wait to be written
	nextEntry     uint64        // number of the next entry
	durable       uint64        // all entries with a lower number are durable
	changed       chan struct{} // closed and replaced when durable or writeErr changes
	pendingSignal chan struct{} // tells the writer that entries are pending
	closed        bool
	writeErr      error // of the first write that failed; permanent

	// Used only by the writer goroutine while it runs.
	file         disk.File
	segmentSize  int    // bytes in file
	segmentStart uint64 // number of the first entry of file
	spareBuffer  []byte // reused for pending

	entryBuffer []byte // used by Append, under mu
}

// segmentName returns the name of the segment that starts with the entry first.
func segmentName(first uint64) string { return fmt.Sprintf("log-%016x", first) }

// snapshotName returns the name of the snapshot of all entries below the given number.
func snapshotName(below uint64) string { return fmt.Sprintf("snap-%016x", below) }

// Append queues an entry for writing and returns its number. It does not wait for
// the disk. It returns ErrFull when MaxPendingBytes are pending, and the write error
// once a write has failed.
func (l *Log) Append(entry *Entry) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.writeErr != nil:
		return 0, l.writeErr
	case l.closed:
		return 0, ErrClosed
	case len(l.pending) >= l.options.MaxPendingBytes:
		return 0, ErrFull
	}
	var err error
	if l.entryBuffer, err = (proto.MarshalOptions{}).MarshalAppend(l.entryBuffer[:0], entry); err != nil {
		return 0, fmt.Errorf("encode call log entry: %w", err)
	}
	number := l.nextEntry
	l.pending = appendFrame(l.pending, number, l.entryBuffer)
	l.nextEntry++
	select {
	case l.pendingSignal <- struct{}{}:
	default:
	}
	return number, nil
}

// Durable returns the number below which all entries are durable.
func (l *Log) Durable() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.durable
}

// WaitDurable waits until the entry with the given number is durable. It returns an
// error if the entry can't become durable or ctx ends.
func (l *Log) WaitDurable(ctx context.Context, number uint64) error {
	for {
		l.mu.Lock()
		durable, err, changed := l.durable, l.writeErr, l.changed
		l.mu.Unlock()
		switch {
		case number < durable:
			return nil
		case err != nil:
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for durable call log entry: %w", ctx.Err())
		}
	}
}

// writeLoop writes and syncs the pending entries group by group: while one group is
// written, the next accumulates. After a failed write the file is not written
// again, since the system may have dropped the data that it could not write.
func (l *Log) writeLoop() {
	defer close(l.done)
	for range l.pendingSignal {
		for {
			l.mu.Lock()
			if l.writeErr != nil || len(l.pending) == 0 {
				l.mu.Unlock()
				break
			}
			group, end := l.pending, l.nextEntry
			l.pending, l.spareBuffer = l.spareBuffer[:0], nil // group and pending must not share a buffer
			l.mu.Unlock()
			err := l.writeGroup(group, end)
			l.spareBuffer = group
			l.mu.Lock()
			if err != nil {
				l.writeErr = fmt.Errorf("write call log: %w", err)
			} else {
				l.durable = end
			}
			close(l.changed)
			l.changed = make(chan struct{})
			l.mu.Unlock()
		}
	}
}

// writeGroup writes and syncs the entries below end, in a new segment if the
// current one would exceed its size.
func (l *Log) writeGroup(group []byte, end uint64) error {
	if l.segmentSize > headerSize && l.segmentSize+len(group) > l.options.SegmentBytes {
		if err := l.rotate(l.Durable()); err != nil {
			return err
		}
	}
	if _, err := l.file.Write(group); err != nil {
		return err
	}
	l.segmentSize += len(group)
	return l.file.Sync()
}

// rotate closes the current segment and creates the one that starts with the entry
// first. The new file is durable before an entry is written to it.
func (l *Log) rotate(first uint64) error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return err
		}
	}
	f, err := l.dir.Create(segmentName(first))
	if err != nil {
		return err
	}
	header := appendHeader(nil, first)
	if _, err := f.Write(header); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := l.dir.Sync(); err != nil {
		return err
	}
	l.file, l.segmentSize, l.segmentStart = f, len(header), first
	return nil
}

// Snapshot stores the state that results from all entries below the given number,
// and removes files that hold only older entries. Snapshot must not be called
// concurrently with itself; Append may be called meanwhile.
func (l *Log) Snapshot(state State, below uint64) error {
	fail := func(err error) error { return fmt.Errorf("write call log snapshot: %w", err) }
	if below > 0 { // the snapshot must not be newer than the durable log
		if err := l.WaitDurable(context.Background(), below-1); err != nil {
			return fail(err)
		}
	}
	entry, err := proto.Marshal(state.snapshotMessage())
	if err != nil {
		return fail(err)
	}
	name := snapshotName(below)
	f, err := l.dir.Create(name + temporarySuffix)
	if err != nil {
		return fail(err)
	}
	_, err = f.Write(appendFrame(appendHeader(nil, below), below, entry))
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fail(errors.Join(err, l.dir.Remove(name+temporarySuffix)))
	}
	if err := l.dir.Rename(name+temporarySuffix, name); err != nil {
		return fail(err)
	}
	if err := l.dir.Sync(); err != nil {
		return fail(err)
	}
	if err := removeObsolete(l.dir, below); err != nil {
		return fail(err)
	}
	return nil
}

// temporarySuffix marks a snapshot that is not completely written yet.
const temporarySuffix = ".new"

// Close writes the pending entries, closes the log and unlocks the directory.
func (l *Log) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return ErrClosed
	}
	l.closed = true
	close(l.pendingSignal)
	l.mu.Unlock()
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Join(l.writeErr, l.file.Close(), l.unlock())
}
