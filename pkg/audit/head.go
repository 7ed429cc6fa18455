package audit

import (
	"encoding/json"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// slotSize is the size in bytes of one of the two slots of the head file. They are
// written alternately, so that a torn write leaves the other one intact.
const slotSize = 512

// head describes the chain that the writer had synced at some time.
type head struct {
	// First is the index of the oldest record that retention has kept.
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
		panic(err) // cannot happen: every field of the type can be encoded
	}
	return crc32.Checksum(text, castagnoli)
}

// readHead returns the newest head of a folder with a matching checksum. It returns
// false if there is none.
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

// headWriter writes heads to the two slots of the head file alternately and syncs them.
type headWriter struct {
	file     *os.File
	nextSlot int64
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
	if _, err := writer.file.WriteAt(slot, writer.nextSlot*slotSize); err != nil {
		return errors.Wrap(err, "write audit head")
	}
	if err := writer.file.Sync(); err != nil {
		return errors.Wrap(err, "sync audit head")
	}
	writer.nextSlot = 1 - writer.nextSlot
	return nil
}
