package wal

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/go-faster/errors"
)

// FileSystem contains the file operations that a Log uses. Tests replace it to inject
// faults.
type FileSystem interface {
	// Create creates a file and opens it for appending. It returns an error if the file
	// exists.
	Create(path string) (File, error)
	// OpenAppend truncates an existing file to size bytes and opens it for appending.
	OpenAppend(path string, size int64) (File, error)
	ReadFile(path string) ([]byte, error)
	// ListDirectory returns the sorted names in a directory, which it creates if it does
	// not exist.
	ListDirectory(directory string) ([]string, error)
	// Rename renames a file and replaces the file at the new path, if any.
	Rename(from, to string) error
	Remove(path string) error
	// SyncDirectory makes created, renamed and removed names durable.
	SyncDirectory(directory string) error
	// Lock locks the file, which it creates if needed, until unlock is called. It returns
	// ErrLocked if the file is locked already.
	Lock(path string) (unlock func() error, err error)
}

// File is a file that is open for appending.
type File interface {
	io.WriteCloser
	// Sync makes the written data durable.
	Sync() error
}

const (
	fileMode      = 0o600
	directoryMode = 0o700
)

// OSFileSystem is the file system of the operating system.
type OSFileSystem struct{}

// Create creates a file and opens it for appending. It returns an error if the file
// exists.
func (OSFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
}

// OpenAppend truncates an existing file to size bytes and opens it for appending.
func (OSFileSystem) OpenAppend(path string, size int64) (File, error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// ReadFile returns the content of a file.
func (OSFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ListDirectory returns the sorted names in a directory, which it creates if it does not
// exist.
func (OSFileSystem) ListDirectory(directory string) ([]string, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	slices.Sort(names)
	return names, nil
}

// Rename renames a file and replaces the file at the new path, if any.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDirectory makes created, renamed and removed names durable.
func (OSFileSystem) SyncDirectory(directory string) error {
	file, err := os.Open(directory)
	if err != nil {
		return err
	}
	defer file.Close()
	return file.Sync()
}

// Lock locks the file with flock until unlock is called or the process ends. It returns
// ErrLocked if the file is locked already.
func (OSFileSystem) Lock(path string) (unlock func() error, err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = ErrLocked
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return file.Close, nil
}

// WriteFile replaces a file durably: after a crash it has either the old or the new content.
// A temporary file that an earlier call has left is replaced.
func WriteFile(system FileSystem, path string, content []byte) error {
	temporary := path + temporarySuffix
	if err := system.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errors.Wrapf(err, "remove %s", temporary)
	}
	return writeFileAtomically(system, path, content)
}

// writeFileAtomically replaces a file durably: after a crash it has either the old or the
// new content. There must be no temporary file of an earlier call.
func writeFileAtomically(system FileSystem, path string, content []byte) error {
	temporary := path + temporarySuffix
	if err := writeNewFile(system, temporary, content); err != nil {
		return err
	}
	if err := system.Rename(temporary, path); err != nil {
		return errors.Wrapf(err, "rename %s", temporary)
	}
	if err := system.SyncDirectory(filepath.Dir(path)); err != nil {
		return wrapSync(err, "the directory of "+path)
	}
	return nil
}

// writeNewFile creates a temporary file, writes content to it and syncs it.
func writeNewFile(system FileSystem, path string, content []byte) error {
	file, err := system.Create(path)
	if err != nil {
		return errors.Wrapf(err, "create %s", path)
	}
	defer file.Close()
	if _, err := file.Write(content); err != nil {
		return errors.Wrapf(err, "write %s", path)
	}
	if err := file.Sync(); err != nil && isDiskFull(err) {
		return errors.Wrapf(err, "sync %s", path) // a temporary file is never read back
	} else if err != nil {
		return wrapSync(err, path)
	}
	return nil
}
