package wal

import (
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// memory is a FileSystem in memory. It forgets at a crash what was not synced, and
// fails the calls that a test names.
type memory struct {
	lock  sync.Mutex
	files map[string]*memoryFile
	// names holds the durable names, and the file that each stands for.
	names map[string]*memoryFile
	// fault returns the error of a call, or nil.
	fault  func(call, path string) error
	calls  []string
	locked bool
}

type memoryFile struct {
	system  *memory
	path    string
	content []byte
	synced  int
}

var errCrash = errors.New("crash")

func newMemory() *memory {
	return &memory{files: make(map[string]*memoryFile), names: make(map[string]*memoryFile)}
}

func (system *memory) enter(call, path string) error {
	system.calls = append(system.calls, call+" "+filepath.Base(path))
	if system.fault == nil {
		return nil
	}
	return system.fault(call, path)
}

// crash drops unsynced names, and unsynced content behind a torn part of the given
// length.
func (system *memory) crash(torn int) {
	system.fault, system.locked = nil, false
	system.files = maps.Clone(system.names)
	for _, file := range system.files {
		file.content = slices.Clone(file.content[:min(len(file.content), file.synced+torn)])
		file.synced = len(file.content)
	}
}

func (system *memory) Create(path string) (File, error) {
	system.lock.Lock()
	defer system.lock.Unlock()
	if err := system.enter("create", path); err != nil {
		return nil, err
	}
	if system.files[path] != nil {
		return nil, fs.ErrExist
	}
	file := &memoryFile{system: system, path: path}
	system.files[path] = file
	return file, nil
}

func (system *memory) Append(path string, size int64) (File, error) {
	system.lock.Lock()
	defer system.lock.Unlock()
	file := system.files[path]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	file.content = file.content[:size]
	file.synced = min(file.synced, int(size))
	return file, system.enter("append", path)
}

func (system *memory) ReadFile(path string) ([]byte, error) {
	system.lock.Lock()
	defer system.lock.Unlock()
	file := system.files[path]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.content), system.enter("read", path)
}

func (system *memory) Names(string) ([]string, error) {
	system.lock.Lock()
	defer system.lock.Unlock()
	var names []string
	for path := range system.files {
		names = append(names, filepath.Base(path))
	}
	slices.Sort(names)
	return names, nil
}

func (system *memory) Rename(from, to string) error {
	system.lock.Lock()
	defer system.lock.Unlock()
	if err := system.enter("rename", to); err != nil {
		return err
	}
	system.files[to] = system.files[from]
	delete(system.files, from)
	return nil
}

func (system *memory) Remove(path string) error {
	system.lock.Lock()
	defer system.lock.Unlock()
	if err := system.enter("remove", path); err != nil {
		return err
	}
	delete(system.files, path)
	return nil
}

func (system *memory) SyncDirectory(directory string) error {
	system.lock.Lock()
	defer system.lock.Unlock()
	if err := system.enter("sync directory", directory); err != nil {
		return err
	}
	system.names = maps.Clone(system.files)
	return nil
}

func (system *memory) Lock(string) (func() error, error) {
	if system.locked {
		return nil, ErrLocked
	}
	system.locked = true
	return func() error { system.locked = false; return nil }, nil
}

// Write writes half of the data if the call fails.
func (file *memoryFile) Write(data []byte) (int, error) {
	file.system.lock.Lock()
	defer file.system.lock.Unlock()
	if err := file.system.enter("write", file.path); err != nil {
		file.content = append(file.content, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	file.content = append(file.content, data...)
	return len(data), nil
}

func (file *memoryFile) Sync() error {
	file.system.lock.Lock()
	defer file.system.lock.Unlock()
	if err := file.system.enter("sync", file.path); err != nil {
		return err
	}
	file.synced = len(file.content)
	return nil
}

func (file *memoryFile) Close() error { return nil }
