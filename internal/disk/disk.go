// Package disk is the files that durable state is kept in: the system's, or ones
// in memory that fail as files do.
package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sys/unix"
)

// File is one open file, written at its end.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Dir is a directory without folders in it. Names that were made or renamed are
// durable after Sync of the directory.
type Dir interface {
	Create(name string) (File, error)     // new and empty; fails if it is there
	OpenAppend(name string) (File, error) // at the end of what is there
	ReadFile(name string) ([]byte, error)
	Truncate(name string, size int64) error // and makes it durable
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error) // in order
	Sync() error
	Lock() (unlock func() error, err error) // one holder at a time, over all processes
}

// ErrLocked says that another process holds a directory.
var ErrLocked = errors.New("another process holds it")

// OSDir is a directory of the system.
type OSDir string

// MakeDir opens a directory, and makes it if it is not there.
func MakeDir(path string) (OSDir, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return "", fmt.Errorf("state directory: %w", err)
	}
	return OSDir(path), nil
}

func (d OSDir) at(name string) string { return filepath.Join(string(d), name) }

func (d OSDir) Create(name string) (File, error) {
	return os.OpenFile(d.at(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
}

func (d OSDir) OpenAppend(name string) (File, error) {
	return os.OpenFile(d.at(name), os.O_WRONLY|os.O_APPEND, 0o644)
}

func (d OSDir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.at(name)) }

func (d OSDir) Truncate(name string, size int64) error {
	f, err := os.OpenFile(d.at(name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	return errors.Join(f.Truncate(size), f.Sync(), f.Close())
}

func (d OSDir) Rename(from, to string) error { return os.Rename(d.at(from), d.at(to)) }
func (d OSDir) Remove(name string) error     { return os.Remove(d.at(name)) }

func (d OSDir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (d OSDir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

const lockName = "lock"

func (d OSDir) Lock() (func() error, error) {
	f, err := os.OpenFile(d.at(lockName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return f.Close, nil // the system lets go of it, also when the process dies
}

// MemoryDir is a directory in memory that loses what was not made durable when it
// crashes, and fails on demand.
type MemoryDir struct {
	mu      sync.Mutex
	now     map[string]*data
	durable map[string]*data // by the names as last made durable
	locked  bool
	// InjectFault is asked before each operation; nil: nothing fails. It may hold a write or
	// a sync for as long as it likes.
	InjectFault func(op, name string) error
	FreeBytes   int // bytes that may still be written; -1: no end
}

// data is a file's content and what of it is durable.
type data struct {
	bytes  []byte
	synced int
}

// NewMemoryDir makes an empty one without an end.
func NewMemoryDir() *MemoryDir {
	return &MemoryDir{now: map[string]*data{}, durable: map[string]*data{}, FreeBytes: -1}
}

func (m *MemoryDir) fail(op, name string) error {
	if m.InjectFault != nil {
		return m.InjectFault(op, name)
	}
	return nil
}

// Crash returns the directory as it is found after a loss of power: names as
// last made durable; of each file what was synced, and of what was written
// after that as much as keep says.
func (m *MemoryDir) Crash(keep func(name string, unsynced int) int) *MemoryDir {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := NewMemoryDir()
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		d := m.durable[name]
		n := d.synced + min(max(keep(name, len(d.bytes)-d.synced), 0), len(d.bytes)-d.synced)
		x := &data{bytes: slices.Clone(d.bytes[:n]), synced: n}
		c.now[name], c.durable[name] = x, x
	}
	return c
}

// Corrupt changes a file's content in place, as a bad disk would.
func (m *MemoryDir) Corrupt(name string, change func([]byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.now[name]
	d.bytes = change(d.bytes)
	d.synced = len(d.bytes)
}

type handle struct {
	m      *MemoryDir
	name   string
	d      *data
	closed bool
}

func (h *handle) Write(p []byte) (int, error) {
	if err := h.m.fail("write", h.name); err != nil { // which may take its time
		return 0, err
	}
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if h.closed {
		return 0, fs.ErrClosed
	}
	n := len(p)
	if h.m.FreeBytes >= 0 {
		n = min(n, h.m.FreeBytes)
		h.m.FreeBytes -= n
	}
	h.d.bytes = append(h.d.bytes, p[:n]...)
	if n < len(p) {
		return n, unix.ENOSPC
	}
	return n, nil
}

func (h *handle) Sync() error {
	if err := h.m.fail("sync", h.name); err != nil {
		return err
	}
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	h.d.synced = len(h.d.bytes)
	return nil
}

func (h *handle) Close() error {
	h.closed = true
	return nil
}

func (m *MemoryDir) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.fail("create", name); err != nil {
		return nil, err
	}
	if m.now[name] != nil {
		return nil, fs.ErrExist
	}
	d := &data{}
	m.now[name] = d
	return &handle{m: m, name: name, d: d}, nil
}

func (m *MemoryDir) OpenAppend(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.now[name]
	if d == nil {
		return nil, fs.ErrNotExist
	}
	return &handle{m: m, name: name, d: d}, m.fail("open", name)
}

func (m *MemoryDir) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.now[name]
	if d == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(d.bytes), m.fail("read", name)
}

func (m *MemoryDir) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.now[name]
	if d == nil {
		return fs.ErrNotExist
	}
	d.bytes = d.bytes[:min(int(size), len(d.bytes))]
	d.synced = len(d.bytes)
	return m.fail("truncate", name)
}

func (m *MemoryDir) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.now[from] == nil {
		return fs.ErrNotExist
	}
	if err := m.fail("rename", from); err != nil {
		return err
	}
	m.now[to] = m.now[from]
	delete(m.now, from)
	return nil
}

func (m *MemoryDir) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.now[name] == nil {
		return fs.ErrNotExist
	}
	delete(m.now, name)
	return m.fail("remove", name)
}

func (m *MemoryDir) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []string
	for name := range m.now {
		if !strings.HasPrefix(name, lockName) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all, nil
}

func (m *MemoryDir) Sync() error {
	if err := m.fail("sync", ""); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.durable = map[string]*data{}
	for name, d := range m.now {
		m.durable[name] = d
	}
	return nil
}

func (m *MemoryDir) Lock() (func() error, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return func() error { m.locked = false; return nil }, nil
}
