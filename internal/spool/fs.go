package spool

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// FS is the directory of a spool. Tests replace it to inject faults.
type FS interface {
	// Create opens a new file for writing.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	// Append truncates a file to size and opens it for writing at its end.
	Append(name string, size int64) (File, error)
	// Remove deletes a file.
	Remove(name string) error
	// Replace atomically replaces the content of a small file.
	Replace(name string, content []byte) error
	// Rename renames a file.
	Rename(from, to string) error
	// List returns the files, sorted by name.
	List() ([]FileInfo, error)
	// SyncDir makes created and removed directory entries durable.
	SyncDir() error
}

// File is one open file.
type File interface {
	io.ReadWriteCloser
	// Sync makes what was written durable.
	Sync() error
}

// FileInfo holds the name of a file and its size in bytes.
type FileInfo struct {
	Name string
	Size int64
}

// Dir is an FS in a directory of the operating system.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create creates a file for writing. It fails if the file exists.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Open opens a file for reading.
func (d Dir) Open(name string) (File, error) { return os.Open(d.path(name)) }

// Append truncates a file to size and opens it for writing at its end.
func (d Dir) Append(name string, size int64) (File, error) {
	file, err := os.OpenFile(d.path(name), os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	if _, err := file.Seek(size, io.SeekStart); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// Remove deletes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Rename renames a file.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Replace atomically replaces the content of a small file.
func (d Dir) Replace(name string, content []byte) error {
	temporary := d.path(name + ".new")
	file, err := os.Create(temporary)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporary, d.path(name)); err != nil {
		return err
	}
	return d.SyncDir()
}

// List returns the files, sorted by name.
func (d Dir) List() ([]FileInfo, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var files []FileInfo
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil || entry.IsDir() {
			continue // removed in the meantime, or a directory
		}
		files = append(files, FileInfo{entry.Name(), info.Size()})
	}
	slices.SortFunc(files, func(a, b FileInfo) int { return strings.Compare(a.Name, b.Name) })
	return files, nil
}

// SyncDir makes created and removed directory entries durable.
func (d Dir) SyncDir() error {
	file, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// CreateDir creates the directory of a spool, if necessary, and checks that it is
// writable.
func CreateDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return "", fmt.Errorf("spool: %w", err)
	}
	dir := Dir(path)
	const probeName = ".probe"
	if err := os.WriteFile(dir.path(probeName), nil, 0o600); err != nil {
		return "", fmt.Errorf("spool: directory not writable: %w", err)
	}
	if err := os.Remove(dir.path(probeName)); err != nil {
		return "", fmt.Errorf("spool: %w", err)
	}
	return dir, nil
}
