package wal

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/go-faster/errors"
)

// FileSystem is what a log needs of the operating system. Tests replace it to
// inject faults.
type FileSystem interface {
	// Create opens a file for appending; it must not exist.
	Create(path string) (File, error)
	// Append opens an existing file and cuts it to size.
	Append(path string, size int64) (File, error)
	ReadFile(path string) ([]byte, error)
	// Names returns the sorted names in a directory, which it makes if needed.
	Names(directory string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDirectory(directory string) error
	// Lock takes the file for this process, or returns ErrLocked.
	Lock(path string) (release func() error, err error)
}

// File is an open file that is written at its end.
type File interface {
	io.WriteCloser
	Sync() error
}

const (
	fileMode      = 0o600
	directoryMode = 0o700
)

// Disk is the FileSystem of the operating system.
type Disk struct{}

// Create opens a new file.
func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append opens an existing file and cuts it to size.
func (Disk) Append(path string, size int64) (File, error) {
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
func (Disk) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Names returns the sorted names in a directory, which it makes if needed.
func (Disk) Names(directory string) ([]string, error) {
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

// Rename replaces a file.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (Disk) Remove(path string) error { return os.Remove(path) }

// SyncDirectory makes new, renamed and removed names durable.
func (Disk) SyncDirectory(directory string) error {
	file, err := os.Open(directory)
	if err != nil {
		return err
	}
	defer file.Close()
	return file.Sync()
}

// Lock takes the file for this process until release is called or the process
// ends.
func (Disk) Lock(path string) (release func() error, err error) {
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

// writeDurable replaces a file as a whole: after a crash it has either the old or
// the new content.
func writeDurable(system FileSystem, path string, content []byte) error {
	temporary := path + temporarySuffix
	if err := writeNew(system, temporary, content); err != nil {
		return err
	}
	if err := system.Rename(temporary, path); err != nil {
		return errors.Wrapf(err, "rename %s", temporary)
	}
	if err := system.SyncDirectory(filepath.Dir(path)); err != nil {
		return errors.Wrapf(err, "sync the directory of %s", path)
	}
	return nil
}

func writeNew(system FileSystem, path string, content []byte) error {
	file, err := system.Create(path)
	if err != nil {
		return errors.Wrapf(err, "create %s", path)
	}
	defer file.Close()
	if _, err := file.Write(content); err != nil {
		return errors.Wrapf(err, "write %s", path)
	}
	if err := file.Sync(); err != nil {
		return errors.Wrapf(err, "sync %s", path)
	}
	return nil
}
