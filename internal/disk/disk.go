// Package disk abstracts the directory in which durable state is stored. OSDir is
// a directory of the operating system. MemoryDir is an in-memory directory for
// tests that simulates write errors, a full disk and loss of power.
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

// File is an open file. Writes append to its end.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Dir is a directory without subdirectories. A created, renamed or removed name is
// durable only after Sync of the directory.
type Dir interface {
	// Create creates an empty file and fails if the name exists.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(name string) (File, error)
	// ReadFile returns the content of a file.
	ReadFile(name string) ([]byte, error)
	// Truncate shortens a file to size bytes and makes the change durable.
	Truncate(name string, size int64) error
	// Rename renames a file, replacing a file with the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the names of the files in lexical order.
	List() ([]string, error)
	// Sync makes the names in the directory durable.
	Sync() error
	// Lock locks the directory against all other processes and holders. It does
	// not wait: it returns ErrLocked if the lock is held.
	Lock() (unlock func() error, err error)
}

// ErrLocked is returned by Lock when the directory is already locked.
var ErrLocked = errors.New("the directory is locked by another process")

// OSDir is the path of a directory of the operating system.
type OSDir string

// MakeDir returns the directory at path and creates it if it does not exist.
func MakeDir(path string) (OSDir, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return "", fmt.Errorf("state directory: %w", err)
	}
	return OSDir(path), nil
}

func (d OSDir) path(name string) string { return filepath.Join(string(d), name) }

// Create creates an empty file and fails if the name exists.
func (d OSDir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
}

// OpenAppend opens an existing file for writing at its end.
func (d OSDir) OpenAppend(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND, 0o644)
}

// ReadFile returns the content of a file.
func (d OSDir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// Truncate shortens a file to size bytes and makes the change durable.
func (d OSDir) Truncate(name string, size int64) error {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	return errors.Join(f.Truncate(size), f.Sync(), f.Close())
}

// Rename renames a file, replacing a file with the new name.
func (d OSDir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d OSDir) Remove(name string) error { return os.Remove(d.path(name)) }

// List returns the names of the regular files in lexical order.
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

// Sync makes the names in the directory durable.
func (d OSDir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// lockName is the file on which Lock takes an advisory lock.
const lockName = "lock"

// Lock takes an exclusive lock on the directory and returns ErrLocked if another process holds it.
func (d OSDir) Lock() (func() error, error) {
	f, err := os.OpenFile(d.path(lockName), os.O_RDWR|os.O_CREATE, 0o644)
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
	return f.Close, nil // the operating system also releases the lock when the process dies
}

// MemoryDir is an in-memory directory. Crash discards what was not made durable,
// InjectFault and FreeBytes make operations fail.
type MemoryDir struct {
	mu      sync.Mutex
	files   map[string]*fileData
	durable map[string]*fileData // by name, as of the last Sync of the directory
	locked  bool
	// InjectFault is called with most operations and returns the error of the
	// operation; nil injects no error. It may block a write or a sync.
	InjectFault func(op, name string) error
	FreeBytes   int // remaining capacity for writes; -1 means unlimited
}

// fileData is the content of a file in a MemoryDir.
type fileData struct {
	content     []byte
	syncedBytes int // length of the durable prefix of content
}

// NewMemoryDir returns an empty directory of unlimited capacity.
func NewMemoryDir() *MemoryDir {
	return &MemoryDir{files: map[string]*fileData{}, durable: map[string]*fileData{}, FreeBytes: -1}
}

func (m *MemoryDir) injectedFault(op, name string) error {
	if m.InjectFault != nil {
		return m.InjectFault(op, name)
	}
	return nil
}

// Crash returns the directory as a process finds it after a loss of power: the
// names as of the last Sync of the directory, and of each file the synced bytes and
// as many of its unsynced bytes as keep returns.
func (m *MemoryDir) Crash(keep func(name string, unsynced int) int) *MemoryDir {
	m.mu.Lock()
	defer m.mu.Unlock()
	crashed := NewMemoryDir()
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		data := m.durable[name]
		kept := data.syncedBytes + min(max(keep(name, len(data.content)-data.syncedBytes), 0), len(data.content)-data.syncedBytes)
		copied := &fileData{content: slices.Clone(data.content[:kept]), syncedBytes: kept}
		crashed.files[name], crashed.durable[name] = copied, copied
	}
	return crashed
}

// Corrupt replaces the content of a file by the result of change, as a faulty disk would.
func (m *MemoryDir) Corrupt(name string, change func([]byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data := m.files[name]
	data.content = change(data.content)
	data.syncedBytes = len(data.content)
}

// memoryFile is an open file of a MemoryDir.
type memoryFile struct {
	dir    *MemoryDir
	name   string
	data   *fileData
	closed bool
}

// Write appends p to the file and returns ENOSPC if the capacity of the directory is exceeded.
func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.dir.injectedFault("write", f.name); err != nil { // may block: called without the lock
		return 0, err
	}
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if f.closed {
		return 0, fs.ErrClosed
	}
	n := len(p)
	if f.dir.FreeBytes >= 0 {
		n = min(n, f.dir.FreeBytes)
		f.dir.FreeBytes -= n
	}
	f.data.content = append(f.data.content, p[:n]...)
	if n < len(p) {
		return n, unix.ENOSPC
	}
	return n, nil
}

// Sync makes the content of the file durable.
func (f *memoryFile) Sync() error {
	if err := f.dir.injectedFault("sync", f.name); err != nil {
		return err
	}
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	f.data.syncedBytes = len(f.data.content)
	return nil
}

// Close closes the file.
func (f *memoryFile) Close() error {
	f.closed = true
	return nil
}

// Create creates an empty file and fails if the name exists.
func (m *MemoryDir) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedFault("create", name); err != nil {
		return nil, err
	}
	if m.files[name] != nil {
		return nil, fs.ErrExist
	}
	data := &fileData{}
	m.files[name] = data
	return &memoryFile{dir: m, name: name, data: data}, nil
}

// OpenAppend opens an existing file for writing at its end.
func (m *MemoryDir) OpenAppend(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data := m.files[name]
	if data == nil {
		return nil, fs.ErrNotExist
	}
	return &memoryFile{dir: m, name: name, data: data}, m.injectedFault("open", name)
}

// ReadFile returns the content of a file.
func (m *MemoryDir) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data := m.files[name]
	if data == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(data.content), m.injectedFault("read", name)
}

// Truncate shortens a file to size bytes and makes the change durable.
func (m *MemoryDir) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	data := m.files[name]
	if data == nil {
		return fs.ErrNotExist
	}
	data.content = data.content[:min(int(size), len(data.content))]
	data.syncedBytes = len(data.content)
	return m.injectedFault("truncate", name)
}

// Rename renames a file, replacing a file with the new name.
func (m *MemoryDir) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.files[from] == nil {
		return fs.ErrNotExist
	}
	if err := m.injectedFault("rename", from); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

// Remove removes a file.
func (m *MemoryDir) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.files[name] == nil {
		return fs.ErrNotExist
	}
	delete(m.files, name)
	return m.injectedFault("remove", name)
}

// List returns the names of the files in lexical order. The lock file is not listed.
func (m *MemoryDir) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.files {
		if !strings.HasPrefix(name, lockName) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}

// Sync makes the names in the directory durable.
func (m *MemoryDir) Sync() error {
	if err := m.injectedFault("sync", ""); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.durable = map[string]*fileData{}
	for name, data := range m.files {
		m.durable[name] = data
	}
	return nil
}

// Lock locks the directory and returns ErrLocked if it is locked.
func (m *MemoryDir) Lock() (func() error, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return func() error { m.locked = false; return nil }, nil
}
