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

// FS is the files that a spool lives in; tests put faults in its place.
type FS interface {
	// Create opens a new file for writing.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	// Append opens a file for writing at its end, cut to size.
	Append(name string, size int64) (File, error)
	Remove(name string) error
	// Replace writes a small file in one step: it is there whole, or as before.
	Replace(name string, content []byte) error
	Rename(from, to string) error
	// List names the files, with their sizes, sorted.
	List() ([]FileInfo, error)
	// SyncDir makes creations and removals durable.
	SyncDir() error
}

// File is one file.
type File interface {
	io.ReadWriteCloser
	Sync() error
}

// FileInfo is a file's name and size.
type FileInfo struct {
	Name string
	Size int64
}

// Dir is a directory of the system.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create makes a file.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Open opens a file for reading.
func (d Dir) Open(name string) (File, error) { return os.Open(d.path(name)) }

// Append opens a file at its end, cut to size.
func (d Dir) Append(name string, size int64) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(size); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// Remove deletes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Rename gives a file another name.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Replace writes a small file in one step.
func (d Dir) Replace(name string, content []byte) error {
	tmp := d.path(name + ".new")
	f, err := os.Create(tmp)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(tmp, d.path(name)); err != nil {
		return err
	}
	return d.SyncDir()
}

// List names the files.
func (d Dir) List() ([]FileInfo, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var all []FileInfo
	for _, e := range entries {
		info, err := e.Info()
		if err != nil || e.IsDir() {
			continue // gone meanwhile, or not ours
		}
		all = append(all, FileInfo{e.Name(), info.Size()})
	}
	slices.SortFunc(all, func(a, b FileInfo) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

// SyncDir makes creations and removals durable.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// CreateDir makes the directory of a spool and checks that it can be written.
func CreateDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return "", fmt.Errorf("spool: %w", err)
	}
	d := Dir(path)
	const probe = ".probe"
	if err := os.WriteFile(d.path(probe), nil, 0o600); err != nil {
		return "", fmt.Errorf("spool: not writable: %w", err)
	}
	if err := os.Remove(d.path(probe)); err != nil {
		return "", fmt.Errorf("spool: %w", err)
	}
	return d, nil
}
