package audit

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// chainLog appends blocks to the newest file of a chain. After openChain has returned,
// only the goroutine of the Writer uses it.
type chainLog struct {
	folder  string
	options Options
	writer  string
	file    blockFile
	size    int64
	opened  time.Time
	// first is the index of the oldest record that retention has kept, count that of the
	// newest record, and hash the hash of the newest record.
	first  Index
	count  Index
	hash   Hash
	buffer []byte
	head   *headWriter
	// headCount is the number of records in the last synced head.
	headCount    Index
	headSyncedAt time.Time
	tornBytes    int64
	failure      error
}

// blockFile is the newest file of a chain.
type blockFile interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

func openChain(folder string, options Options) (*chainLog, error) {
	if err := createFolder(folder); err != nil {
		return nil, err
	}
	log := &chainLog{folder: folder, options: options, opened: options.Now(), headSyncedAt: options.Now()}
	if err := log.resume(); err != nil {
		return nil, err
	}
	head, err := openHead(folder)
	if err != nil {
		log.file.Close()
		return nil, err
	}
	log.head = head
	log.applyRetention()
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

// resume opens the newest file, or starts a chain in an empty folder. It returns a
// DamageError if synced records are damaged or missing.
func (log *chainLog) resume() error {
	synced, found, err := readHead(log.folder)
	if err != nil {
		return err
	}
	files, err := Files(log.folder)
	if err != nil {
		return err
	}
	files, err = removeIncompleteFile(files)
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
	return log.openTail(end, synced, found, files[0])
}

// removeIncompleteFile removes the newest file if it has no complete header. A crash
// between its creation and the sync of its header leaves such a file, which holds no
// record. It returns the remaining files.
func removeIncompleteFile(files []string) ([]string, error) {
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
	if _, _, err := decodeHeader(newest, data); err == nil || nextValidBlock(data) >= 0 || info.Size() >= maxIncompleteFileSize {
		return files, nil
	}
	if err := os.Remove(newest); err != nil {
		return nil, errors.Wrap(err, "remove audit file without header")
	}
	return files[:len(files)-1], nil
}

// maxIncompleteFileSize is larger than any header block.
const maxIncompleteFileSize = 1024

// openTail opens the newest file to append after its last valid block. found reports
// whether synced was read from the head file; otherwise the index of the oldest record is
// read from the header of the file oldest.
func (log *chainLog) openTail(end tail, synced head, found bool, oldest string) error {
	file, err := os.OpenFile(end.path, os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open audit file")
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return errors.Wrap(err, "sync audit file")
	}
	log.file, log.size, log.count, log.hash = file, end.size, end.count, end.hash
	log.writer, log.tornBytes, log.first = end.header.Writer, end.tornBytes, synced.First
	if !found {
		log.first = firstIndexOf(oldest, end.header.First)
	}
	return nil
}

// firstIndexOf returns the index of the first record of a file, or fallback if the header
// of the file cannot be read.
func firstIndexOf(path string, fallback Index) Index {
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

// create starts a file that continues the chain after the newest record.
func (log *chainLog) create() error {
	header := fileHeader{Format: format, VM: log.options.VM, Writer: log.writer, First: log.count + 1, Previous: log.hash[:]}
	file, size, err := createFile(log.folder, header)
	if err != nil {
		return err
	}
	log.file, log.size, log.opened = file, size, log.options.Now()
	return nil
}

// commit writes and syncs one block. After a failure it returns the same error for every
// later call, since the content of a file is unknown after a failed fsync.
func (log *chainLog) commit(calls []*appendCall) error {
	if log.failure != nil {
		return log.failure
	}
	if err := log.write(calls); err != nil {
		log.failure = errors.Wrap(err, "audit writer stopped")
		return log.failure
	}
	now := log.options.Now()
	if log.size >= int64(log.options.RotateBytes) || now.Sub(log.opened) >= maxFileAge {
		log.failure = log.rotate()
	} else if now.Sub(log.headSyncedAt) >= headInterval {
		log.writeHead()
	}
	return nil
}

// write appends the payloads of calls as one block and syncs it. The chain continues after
// them only if both succeed.
func (log *chainLog) write(calls []*appendCall) error {
	log.buffer = startBlock(log.buffer[:0])
	count, hash := log.count, log.hash
	for _, call := range calls {
		for _, payload := range call.payloads {
			count++
			hash = hash.extend(count, payload)
			log.buffer = appendEntry(log.buffer, entry{count, hash, payload})
		}
	}
	finishBlock(log.buffer, int(count-log.count))
	if _, err := log.file.Write(log.buffer); err != nil {
		return errors.Wrap(err, "write audit block")
	}
	if err := log.file.Sync(); err != nil {
		return errors.Wrap(log.discardUnsynced(err), "sync audit block")
	}
	log.size, log.count, log.hash = log.size+int64(len(log.buffer)), count, hash
	return nil
}

// discardUnsynced returns the error of a failed sync of a block. File systems that assign
// space late find a full disk only then. The block is cut off in that case, so that it is never
// read back and taken for durable. Any other failure, and one to cut, is ErrSync.
func (log *chainLog) discardUnsynced(err error) error {
	if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EDQUOT) {
		return errors.Join(ErrSync, err)
	}
	if cutErr := log.file.Truncate(log.size); cutErr != nil {
		return errors.Join(ErrSync, err, cutErr)
	}
	return err
}

// rotate starts a new file and removes old files by the rules of retention.
func (log *chainLog) rotate() error {
	if err := log.file.Close(); err != nil {
		return errors.Wrap(err, "close audit file")
	}
	if err := log.create(); err != nil {
		return err
	}
	log.applyRetention()
	return log.syncHead()
}

// writeHead writes and syncs the head if records were added since the last one.
func (log *chainLog) writeHead() {
	if log.failure != nil || log.headCount == log.count {
		return
	}
	if err := log.syncHead(); err != nil {
		log.failure = errors.Wrap(err, "audit writer stopped")
	}
}

func (log *chainLog) syncHead() error {
	err := log.head.write(head{First: log.first, Count: log.count, Hash: log.hash[:]})
	if err == nil {
		log.headCount, log.headSyncedAt = log.count, log.options.Now()
	}
	return err
}

// applyRetention removes the oldest files while they were last modified longer ago than
// Options.Retention or all files together are larger than Options.MaxBytes. If a file
// cannot be removed, the next rotation tries again.
func (log *chainLog) applyRetention() {
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
	for i := 0; i+1 < len(files) && log.expired(infos[i], total); i++ {
		total -= core.Bytes(infos[i].Size())
		log.first = firstIndexOf(files[i+1], log.first)
		// The head is synced first, so that after a crash Verify does not report the
		// removed records as lost.
		if log.syncHead() != nil || os.Remove(filepath.Clean(files[i])) != nil {
			return
		}
	}
}

// expired reports whether the oldest file can be removed if all files together have total
// bytes.
func (log *chainLog) expired(file os.FileInfo, total core.Bytes) bool {
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
