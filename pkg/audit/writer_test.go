package audit

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// writeBlocks returns the content of a file with the given number of blocks of one record
// each, the file sizes before the first and after each block, and the content of the head
// file before the first block and after the last one.
func writeBlocks(t *testing.T, blocks int) (file []byte, sizes []int, early, late []byte) {
	is := is.New(t)
	folder := t.TempDir()
	writer, closeWriter, err := Open(folder, Options{VM: "vm-1"})
	is.NoErr(err)
	early, err = os.ReadFile(filepath.Join(folder, headFile))
	is.NoErr(err)
	path := fileName(folder, 1)
	for n := range blocks + 1 {
		if n > 0 {
			is.NoErr(writer.Append(context.Background(), mustEncode(t, testRecord(n))))
		}
		file, err = os.ReadFile(path)
		is.NoErr(err)
		sizes = append(sizes, len(file))
	}
	closeWriter()
	late, err = os.ReadFile(filepath.Join(folder, headFile))
	is.NoErr(err)
	return file, sizes, early, late
}

// reopen opens a folder with the given files, appends one record and verifies the folder.
func reopen(t *testing.T, file, head []byte) (Report, error) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(os.WriteFile(fileName(folder, 1), file, 0o600))
	is.NoErr(os.WriteFile(filepath.Join(folder, headFile), head, 0o600))
	writer, closeWriter, err := Open(folder, Options{VM: "vm-1"})
	if err != nil {
		return Report{}, err
	}
	is.NoErr(writer.Append(context.Background(), mustEncode(t, testRecord(99))))
	closeWriter()
	return Verify([]string{folder}, Scope{Partial: true})
}

// TestTornTail guards against a writer that, after a crash in the middle of a commit,
// cannot be opened, loses synced records or continues with a broken chain.
func TestTornTail(t *testing.T) {
	is := is.New(t)
	file, sizes, early, late := writeBlocks(t, 3)
	for size := sizes[0]; size <= len(file); size++ {
		whole := 0
		for whole+1 < len(sizes) && sizes[whole+1] <= size {
			whole++
		}
		report, err := reopen(t, file[:size], early)
		is.NoErr(err)
		is.True(report.Valid())
		is.Equal(report.Records, whole+1)
		if size < len(file) {
			_, err = reopen(t, file[:size], late)
			is.True(errors.As(err, new(*DamageError))) // the head counts more records
		}
	}
}

// TestDamage guards against a damaged record that is mistaken for a torn block and removed.
func TestDamage(t *testing.T) {
	is := is.New(t)
	file, sizes, early, late := writeBlocks(t, 3)
	for at := sizes[0]; at < len(file); at += 7 {
		damaged := bytes.Clone(file)
		damaged[at] ^= 0x40
		_, err := reopen(t, damaged, late)
		is.True(errors.As(err, new(*DamageError)))
		_, err = reopen(t, damaged, early)
		is.Equal(err != nil, at < sizes[2]) // only the last block may be torn
	}
}

// TestCrashAtRotation guards against a writer that cannot be opened after a crash during
// rotation left a new file without a complete header.
func TestCrashAtRotation(t *testing.T) {
	is := is.New(t)
	file, _, _, late := writeBlocks(t, 3)
	for _, rest := range []int{0, 5, 40} {
		folder := t.TempDir()
		is.NoErr(os.WriteFile(fileName(folder, 1), file, 0o600))
		is.NoErr(os.WriteFile(fileName(folder, 4), file[:rest], 0o600))
		is.NoErr(os.WriteFile(filepath.Join(folder, headFile), late, 0o600))
		_, closeWriter, err := Open(folder, Options{})
		is.NoErr(err)
		closeWriter()
	}
}

// TestGroupCommit guards against lost or duplicated records of concurrent callers, and
// against a separate commit for each call.
func TestGroupCommit(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	writer, closeWriter, err := Open(folder, Options{VM: "vm-1", RotateBytes: 32 << 10})
	is.NoErr(err)
	var callers sync.WaitGroup
	for caller := range 40 {
		callers.Go(func() {
			for n := range 20 {
				payload := mustEncode(t, testRecord(1+2*(caller*20+n)))
				is.NoErr(writer.Append(context.Background(), payload))
			}
		})
	}
	callers.Wait()
	stats := writer.Stats()
	closeWriter()
	is.Equal(stats.Records, uint64(800))
	is.True(stats.Syncs < 400)
	files, err := Files(folder)
	is.NoErr(err)
	is.True(len(files) > 3) // the files were rotated
	report, err := Verify([]string{folder}, Scope{Partial: true})
	is.NoErr(err)
	is.True(report.Valid())
	is.Equal(report.Records, 800)
	is.Equal(writer.Append(context.Background(), Payload("{}")), ErrClosed)
}

// TestFailedWrite guards against a writer that continues after a failed write, when the
// content of its file is unknown.
func TestFailedWrite(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	writer, closeWriter, err := Open(folder, Options{VM: "vm-1"})
	is.NoErr(err)
	is.NoErr(writer.Append(context.Background(), mustEncode(t, testRecord(1))))
	is.NoErr(writer.log.file.Close()) // makes the next write fail
	first := writer.Append(context.Background(), mustEncode(t, testRecord(2)))
	is.True(first != nil)
	is.Equal(writer.Append(context.Background(), mustEncode(t, testRecord(3))), first)
	closeWriter()
	report, err := Verify([]string{folder}, Scope{Partial: true})
	is.NoErr(err)
	is.True(report.Valid())
	is.Equal(report.Records, 1)
}

// TestRetention guards against files that are kept longer than the retention, and against
// removed files that Verify reports as lost.
func TestRetention(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	options := Options{VM: "vm-1", RotateBytes: 1 << 10}
	fill := func() {
		writer, closeWriter, err := Open(folder, options)
		is.NoErr(err)
		for n := range 10 {
			is.NoErr(writer.Append(context.Background(), mustEncode(t, testRecord(1+2*n))))
		}
		closeWriter()
	}
	fill()
	before, err := Files(folder)
	is.NoErr(err)
	options.Retention = 24 * time.Hour
	options.Now = func() time.Time { return time.Now().Add(48 * time.Hour) }
	fill()
	after, err := Files(folder)
	is.NoErr(err)
	is.True(after[0] > before[0])
	report, err := Verify([]string{folder}, Scope{Partial: true})
	is.NoErr(err)
	is.True(report.Valid())
}

// TestRetentionBySize guards against files that fill the disk.
func TestRetentionBySize(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	writer, closeWriter, err := Open(folder, Options{VM: "vm-1", RotateBytes: 1 << 10, MaxBytes: 4 << 10})
	is.NoErr(err)
	for n := range 100 {
		is.NoErr(writer.Append(context.Background(), mustEncode(t, testRecord(1+2*n))))
	}
	closeWriter()
	files, err := Files(folder)
	is.NoErr(err)
	total := int64(0)
	for _, path := range files {
		info, err := os.Stat(path)
		is.NoErr(err)
		total += info.Size()
	}
	is.True(total <= 6<<10) // MaxBytes and the file that was started after the last check
	is.True(total >= 3<<10)
	report, err := Verify([]string{folder}, Scope{Partial: true})
	is.NoErr(err)
	is.True(report.Valid())
}

// TestMissingFile guards against a Verify that mistakes the deletion of the oldest or of a
// middle file for retention.
func TestMissingFile(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	writer, closeWriter, err := Open(folder, Options{VM: "vm-1", RotateBytes: 1 << 10})
	is.NoErr(err)
	for n := range 10 {
		is.NoErr(writer.Append(context.Background(), mustEncode(t, testRecord(1+2*n))))
	}
	closeWriter()
	files, err := Files(folder)
	is.NoErr(err)
	for _, path := range []string{files[1], files[0]} {
		is.NoErr(os.Remove(path))
		report, err := Verify([]string{folder}, Scope{Partial: true})
		is.NoErr(err)
		is.Equal(report.Faults[0].Kind, KindDropped)
	}
}

// FuzzRead guards against a panic, an endless loop or an unbounded allocation on
// damaged files.
func FuzzRead(f *testing.F) {
	header := encodeHeader(fileHeader{Format: format, First: 1, Previous: make([]byte, len(Hash{}))})
	payload, err := Encode(testRecord(1))
	if err != nil {
		f.Fatal(err)
	}
	block := appendEntry(startBlock(nil), entry{1, Hash{}.extend(1, payload), payload})
	finishBlock(block, 1)
	f.Add(append(bytes.Clone(header), block...))
	f.Add(header)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		entries := 0
		readData("fuzz", data, nil, func(Entry, error) bool {
			entries++
			return true
		})
		if entries > len(data)+1 {
			t.Errorf("%d entries in %d bytes", entries, len(data))
		}
	})
}
