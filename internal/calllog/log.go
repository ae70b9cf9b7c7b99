// Package calllog keeps what a controller has to know of its calls after it was
// killed: a log of entries in numbered files, made durable in groups, and
// snapshots that let old files go.
//
// Files: frame.go the format; state.go what entries add up to; log.go writing;
// open.go reading what a former life left.
package calllog

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"dahliaspindle/internal/disk"
)

// Options of a log. Zero fields take the defaults.
type Options struct {
	SegmentBytes    int // bytes after which a file is ended; 8 MiB
	MaxPendingBytes int // bytes that wait to be written at the most; 4 MiB
}

// Errors of Append.
var (
	ErrFull   = errors.New("too much waits to be written")
	ErrClosed = errors.New("the log is closed")
)

// Log is an open one. It is safe for concurrent use.
type Log struct {
	dir    disk.Dir
	opt    Options
	unlock func() error
	done   chan struct{} // closed when the writer has ended

	mu      sync.Mutex
	waiting []byte
	next    uint64        // number of the next entry
	durable uint64        // all below are
	changed chan struct{} // closed and made anew when durable or err changes
	wake    chan struct{}
	closed  bool
	err     error // of the first write that failed; for good

	file  disk.File // the writer's own from here on
	size  int
	first uint64 // number of the file's first entry
	spare []byte
	buf   []byte // Append's
}

func segmentName(first uint64) string  { return fmt.Sprintf("log-%016x", first) }
func snapshotName(first uint64) string { return fmt.Sprintf("snap-%016x", first) }

// Append queues an entry and returns its number. It does not wait for the disk;
// it fails when too much waits, and for good once a write has failed.
func (l *Log) Append(e *Entry) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.err != nil:
		return 0, l.err
	case l.closed:
		return 0, ErrClosed
	case len(l.waiting) >= l.opt.MaxPendingBytes:
		return 0, ErrFull
	}
	var err error
	if l.buf, err = (proto.MarshalOptions{}).MarshalAppend(l.buf[:0], e); err != nil {
		return 0, fmt.Errorf("an entry of the call log: %w", err)
	}
	number := l.next
	l.waiting = appendFrame(l.waiting, number, l.buf)
	l.next++
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return number, nil
}

// Durable is the number below which all entries are.
func (l *Log) Durable() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.durable
}

// WaitDurable returns when an entry is durable, or can't become so.
func (l *Log) WaitDurable(ctx context.Context, number uint64) error {
	for {
		l.mu.Lock()
		durable, err, changed := l.durable, l.err, l.changed
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
			return fmt.Errorf("waiting for the call log: %w", ctx.Err())
		}
	}
}

// write makes what waits durable, group by group: while one is written and
// synced, the next gathers. A file that failed once is not trusted again, since
// the system may have dropped what it could not write.
func (l *Log) write() {
	defer close(l.done)
	for range l.wake {
		for {
			l.mu.Lock()
			if l.err != nil || len(l.waiting) == 0 {
				l.mu.Unlock()
				break
			}
			group, upto := l.waiting, l.next
			l.waiting, l.spare = l.spare[:0], nil // never one buffer for both
			l.mu.Unlock()
			err := l.put(group, upto)
			l.spare = group
			l.mu.Lock()
			if err != nil {
				l.err = fmt.Errorf("writing the call log: %w", err)
			} else {
				l.durable = upto
			}
			close(l.changed)
			l.changed = make(chan struct{})
			l.mu.Unlock()
		}
	}
}

func (l *Log) put(group []byte, upto uint64) error {
	if l.size > headSize && l.size+len(group) > l.opt.SegmentBytes {
		if err := l.rotate(l.Durable()); err != nil {
			return err
		}
	}
	if _, err := l.file.Write(group); err != nil {
		return err
	}
	l.size += len(group)
	return l.file.Sync()
}

// rotate ends the file and begins the one of a number; it is there for good
// before an entry goes into it.
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
	head := appendHead(nil, first)
	if _, err := f.Write(head); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := l.dir.Sync(); err != nil {
		return err
	}
	l.file, l.size, l.first = f, len(head), first
	return nil
}

// Snapshot keeps a state to which all entries below a number add up, and lets go
// of files that hold none from there on. It is for one caller at a time; calls
// go on meanwhile.
func (l *Log) Snapshot(s State, below uint64) error {
	fail := func(err error) error { return fmt.Errorf("a snapshot of the call log: %w", err) }
	if below > 0 { // what it tells must not be newer than the log
		if err := l.WaitDurable(context.Background(), below-1); err != nil {
			return fail(err)
		}
	}
	entry, err := proto.Marshal(s.picture())
	if err != nil {
		return fail(err)
	}
	name := snapshotName(below)
	f, err := l.dir.Create(name + temporary)
	if err != nil {
		return fail(err)
	}
	_, err = f.Write(appendFrame(appendHead(nil, below), below, entry))
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fail(errors.Join(err, l.dir.Remove(name+temporary)))
	}
	if err := l.dir.Rename(name+temporary, name); err != nil {
		return fail(err)
	}
	if err := l.dir.Sync(); err != nil {
		return fail(err)
	}
	if err := forget(l.dir, below); err != nil {
		return fail(err)
	}
	return nil
}

// temporary ends the name of a snapshot that is not whole yet.
const temporary = ".new"

// Close writes what waits and lets go of the directory.
func (l *Log) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return ErrClosed
	}
	l.closed = true
	close(l.wake)
	l.mu.Unlock()
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Join(l.err, l.file.Close(), l.unlock())
}
