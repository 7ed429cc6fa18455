package audit

import (
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// chainLog is the open end of a chain. Only the writer's goroutine uses it.
type chainLog struct {
	folder  string
	options Options
	writer  string
	file    *os.File
	size    int64
	opened  time.Time
	first   Index
	count   Index
	hash    Hash
	buffer  []byte
	head    *headWriter
	// headCount is the count of the last synced head.
	headCount Index
	headAt    time.Time
	cut       int64
	failed    error
}

func openChain(folder string, options Options) (*chainLog, error) {
	if err := makeFolder(folder); err != nil {
		return nil, err
	}
	log := &chainLog{folder: folder, options: options, opened: options.Now(), headAt: options.Now()}
	if err := log.resume(); err != nil {
		return nil, err
	}
	head, err := openHead(folder)
	if err != nil {
		log.file.Close()
		return nil, err
	}
	log.head = head
	log.retain()
	if err := log.syncHead(); err != nil {
		log.close()
		return nil, err
	}
	if err := syncFolder(folder); err != nil {
		log.close()
		return nil, err
	}
	return log, nil
}

// resume opens the newest file, or starts a chain in an empty folder.
func (log *chainLog) resume() error {
	synced, found, err := readHead(log.folder)
	if err != nil {
		return err
	}
	files, err := Files(log.folder)
	if err != nil {
		return err
	}
	files, err = dropUnborn(files)
	if err != nil {
		return err
	}
	if len(files) == 0 {
		if found && synced.Count > 0 {
			return &DamageError{log.folder, 0, "the files of a chain that has records are missing"}
		}
		log.writer, log.first = newWriterID(), 1
		return log.create()
	}
	end, err := recoverTail(files[len(files)-1], synced)
	if err != nil {
		return err
	}
	return log.adopt(end, synced, found, files[0])
}

// dropUnborn removes a newest file without a header: a crash came between its
// creation and the sync of its header, so it holds no record.
func dropUnborn(files []string) ([]string, error) {
	if len(files) == 0 {
		return files, nil
	}
	newest := files[len(files)-1]
	info, err := os.Stat(newest)
	if err != nil {
		return nil, errors.Wrap(err, "look at audit file")
	}
	data, err := os.ReadFile(newest)
	if err != nil {
		return nil, errors.Wrap(err, "read audit file")
	}
	if _, _, err := decodeHeader(newest, data); err == nil || nextSound(data) >= 0 || info.Size() >= maxUnborn {
		return files, nil
	}
	if err := os.Remove(newest); err != nil {
		return nil, errors.Wrap(err, "remove audit file without header")
	}
	return files[:len(files)-1], nil
}

// maxUnborn is above the size of any header block.
const maxUnborn = 1024

func (log *chainLog) adopt(end tail, synced head, found bool, oldest string) error {
	file, err := os.OpenFile(end.path, os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open audit file")
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return errors.Wrap(err, "sync audit file")
	}
	log.file, log.size, log.count, log.hash = file, end.size, end.count, end.hash
	log.writer, log.cut, log.first = end.header.Writer, end.cut, synced.First
	if !found {
		log.first = firstOf(oldest, end.header.First)
	}
	return nil
}

func firstOf(path string, fallback Index) Index {
	data, err := os.ReadFile(path)
	if err != nil {
		return fallback
	}
	header, _, err := decodeHeader(path, data)
	if err != nil {
		return fallback
	}
	return header.First
}

func (log *chainLog) create() error {
	header := fileHeader{Format: format, VM: log.options.VM, Writer: log.writer, First: log.count + 1, Previous: log.hash[:]}
	file, size, err := createFile(log.folder, header)
	if err != nil {
		return err
	}
	log.file, log.size, log.opened = file, size, log.options.Now()
	return nil
}

// commit writes and syncs one block. The first failure is kept: after a failed
// fsync nobody knows what the file holds.
func (log *chainLog) commit(calls []*appendCall) error {
	if log.failed != nil {
		return log.failed
	}
	if err := log.write(calls); err != nil {
		log.failed = errors.Wrap(err, "audit writer stopped")
		return log.failed
	}
	now := log.options.Now()
	if log.size >= int64(log.options.RotateBytes) || now.Sub(log.opened) >= fileAge {
		log.failed = log.rotate()
	} else if now.Sub(log.headAt) >= headInterval {
		log.writeHead()
	}
	return nil
}

func (log *chainLog) write(calls []*appendCall) error {
	log.buffer = startBlock(log.buffer[:0])
	count, hash := log.count, log.hash
	for _, call := range calls {
		for _, payload := range call.payloads {
			count++
			hash = hash.next(count, payload)
			log.buffer = appendEntry(log.buffer, entry{count, hash, payload})
		}
	}
	sealBlock(log.buffer, int(count-log.count))
	if _, err := log.file.Write(log.buffer); err != nil {
		return errors.Wrap(err, "write audit block")
	}
	if err := log.file.Sync(); err != nil {
		return errors.Wrap(errors.Join(ErrSync, err), "sync audit block")
	}
	log.size, log.count, log.hash = log.size+int64(len(log.buffer)), count, hash
	return nil
}

// rotate begins a new file and removes files that are past their retention.
func (log *chainLog) rotate() error {
	if err := log.file.Close(); err != nil {
		return errors.Wrap(err, "close audit file")
	}
	if err := log.create(); err != nil {
		return err
	}
	log.retain()
	return log.syncHead()
}

// writeHead syncs the head if there are records that it does not count.
func (log *chainLog) writeHead() {
	if log.failed != nil || log.headCount == log.count {
		return
	}
	if err := log.syncHead(); err != nil {
		log.failed = errors.Wrap(err, "audit writer stopped")
	}
}

func (log *chainLog) syncHead() error {
	err := log.head.write(head{First: log.first, Count: log.count, Hash: log.hash[:]})
	if err == nil {
		log.headCount, log.headAt = log.count, log.options.Now()
	}
	return err
}

// retain removes the oldest files while their last record is past the retention or all
// files take too much room. A file that cannot be removed is tried again at the next
// rotation.
func (log *chainLog) retain() {
	files, err := Files(log.folder)
	if log.options.Retention <= 0 && log.options.MaxBytes <= 0 || err != nil {
		return
	}
	infos := make([]os.FileInfo, len(files))
	var total core.Bytes
	for i, path := range files {
		if infos[i], err = os.Stat(path); err != nil {
			return
		}
		total += core.Bytes(infos[i].Size())
	}
	for i := 0; i+1 < len(files) && log.past(infos[i], total); i++ {
		total -= core.Bytes(infos[i].Size())
		log.first = firstOf(files[i+1], log.first)
		// The head is synced first, so that a crash cannot make the removal look like a loss.
		if log.syncHead() != nil || os.Remove(filepath.Clean(files[i])) != nil {
			return
		}
	}
}

// past reports whether the oldest file may go, while all files take total bytes.
func (log *chainLog) past(file os.FileInfo, total core.Bytes) bool {
	if log.options.MaxBytes > 0 && total > log.options.MaxBytes {
		return true
	}
	return log.options.Retention > 0 && log.options.Now().Sub(file.ModTime()) >= log.options.Retention
}

func (log *chainLog) close() {
	log.writeHead()
	log.file.Close()
	if log.head != nil {
		log.head.file.Close()
	}
}
