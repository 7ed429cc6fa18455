package audit

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/go-faster/errors"
)

const (
	fileSuffix = ".audit"
	headFile   = "head"
	format     = 1
)

// fileHeader is the body of the first block of a file, encoded as JSON.
type fileHeader struct {
	Format int
	VM     core.VMID
	// Writer identifies the chain. A VM that starts with an empty disk starts a new chain.
	Writer string
	First  Index
	// Previous is the hash of the record before the first one of the file.
	Previous []byte
}

// DamageError reports that synced content of a file is damaged or missing.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset in bytes and the reason.
func (err *DamageError) Error() string {
	return fmt.Sprintf("audit file %s is damaged at offset %d: %s", err.File, err.Offset, err.Reason)
}

// Files returns the paths of the audit files in folder, oldest first.
func Files(folder string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*"+fileSuffix))
	if err != nil {
		return nil, errors.Wrap(err, "list audit files")
	}
	slices.Sort(files)
	return files, nil
}

func fileName(folder string, first Index) string {
	return filepath.Join(folder, fmt.Sprintf("%020d%s", first, fileSuffix))
}

func encodeHeader(header fileHeader) []byte {
	body, err := json.Marshal(header)
	if err != nil {
		panic(err) // cannot happen: every field of the type can be encoded
	}
	buffer := append(startBlock(nil), body...)
	finishBlock(buffer, 0)
	return buffer
}

// decodeHeader returns the header of a file and its size in bytes. It returns a
// DamageError if the header is not valid or has an unknown format.
func decodeHeader(path string, data []byte) (fileHeader, int, error) {
	var header fileHeader
	block, ok := decodeBlock(data)
	if !ok || !block.valid || block.count != 0 {
		return header, 0, &DamageError{path, 0, "the file has no sound header"}
	}
	if err := json.Unmarshal(block.body, &header); err != nil || len(header.Previous) != len(Hash{}) {
		return header, 0, &DamageError{path, 0, "the header cannot be read"}
	}
	if header.Format != format {
		return header, 0, &DamageError{path, 0, fmt.Sprintf("format %d is not known", header.Format)}
	}
	return header, block.size, nil
}

// createFile creates a file with its header, and syncs the file and the folder. It
// returns the file and its size in bytes.
func createFile(folder string, header fileHeader) (*os.File, int64, error) {
	file, err := os.OpenFile(fileName(folder, header.First), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, 0, errors.Wrap(err, "create audit file")
	}
	content := encodeHeader(header)
	if _, err = file.Write(content); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = syncFolder(folder)
	}
	if err != nil {
		file.Close()
		return nil, 0, errors.Wrap(err, "write audit file header")
	}
	return file, int64(len(content)), nil
}

func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer handle.Close()
	if err := handle.Sync(); err != nil {
		return errors.Wrap(err, "sync folder")
	}
	return nil
}
