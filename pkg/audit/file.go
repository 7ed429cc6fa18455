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

// fileHeader is the content of the first block of a file.
type fileHeader struct {
	Format int
	VM     core.VMID
	// Writer distinguishes the chains of one VM; an empty disk starts a new one.
	Writer string
	First  Index
	// Previous is the chain's hash before the first record of the file.
	Previous []byte
}

// DamageError states that a file is not sound at a place that was synced.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason.
func (err *DamageError) Error() string {
	return fmt.Sprintf("audit file %s is damaged at offset %d: %s", err.File, err.Offset, err.Reason)
}

// Files returns the paths of the audit files in folder, the oldest first.
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
		panic(err) // the type holds nothing that cannot be encoded
	}
	buffer := append(startBlock(nil), body...)
	sealBlock(buffer, 0)
	return buffer
}

// decodeHeader returns the header of a file and its size in the file.
func decodeHeader(path string, data []byte) (fileHeader, int, error) {
	var header fileHeader
	block, ok := decodeBlock(data)
	if !ok || !block.sound || block.count != 0 {
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

// createFile writes and syncs a new file with its header, and its folder.
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
