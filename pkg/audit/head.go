package audit

import (
	"encoding/json"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// slotSize is the size of one of the two places of the head file. They are written
// in turn, so that a torn write leaves the other one.
const slotSize = 512

// head states what the writer had synced at some time.
type head struct {
	// First is the index of the oldest record that retention has left.
	First Index
	Count Index
	Hash  []byte
	// Checksum covers the other fields.
	Checksum uint32
}

func (head head) checksum() uint32 {
	head.Checksum = 0
	text, err := json.Marshal(head)
	if err != nil {
		panic(err) // the type holds nothing that cannot be encoded
	}
	return crc32.Checksum(text, castagnoli)
}

// readHead returns the newest sound head of a folder. It returns false if there is
// none.
func readHead(folder string) (head, bool, error) {
	data, err := os.ReadFile(filepath.Join(folder, headFile))
	if errors.Is(err, os.ErrNotExist) {
		return head{}, false, nil
	}
	if err != nil {
		return head{}, false, errors.Wrap(err, "read audit head")
	}
	var newest head
	found := false
	for at := 0; at+slotSize <= len(data); at += slotSize {
		if slot, ok := decodeSlot(data[at : at+slotSize]); ok && (!found || slot.Count >= newest.Count) {
			newest, found = slot, true
		}
	}
	return newest, found, nil
}

func decodeSlot(slot []byte) (head, bool) {
	length := 0
	for length < len(slot) && slot[length] != 0 {
		length++
	}
	var value head
	if json.Unmarshal(slot[:length], &value) != nil || len(value.Hash) != len(Hash{}) {
		return head{}, false
	}
	return value, value.Checksum == value.checksum()
}

// headWriter writes and syncs heads.
type headWriter struct {
	file *os.File
	turn int64
}

func openHead(folder string) (*headWriter, error) {
	file, err := os.OpenFile(filepath.Join(folder, headFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open audit head")
	}
	return &headWriter{file: file}, nil
}

func (writer *headWriter) write(value head) error {
	value.Checksum = value.checksum()
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode audit head")
	}
	slot := make([]byte, slotSize)
	copy(slot, text)
	if _, err := writer.file.WriteAt(slot, writer.turn*slotSize); err != nil {
		return errors.Wrap(err, "write audit head")
	}
	if err := writer.file.Sync(); err != nil {
		return errors.Wrap(err, "sync audit head")
	}
	writer.turn = 1 - writer.turn
	return nil
}
