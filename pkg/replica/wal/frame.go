package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is the unit of writing and of checksums. One Save writes one frame and syncs
// it, so that an invalid frame that is followed by another frame was durable and is
// therefore damaged. The numbers are little-endian.
//
//	magic 4 bytes | length 4 bytes | CRC-32C of length and payload 4 bytes | payload
const (
	frameMagic      = 0x6472_6c31 // "drl1"
	frameHeaderSize = 12
	// maxPayloadSize is the largest payload of a frame, in bytes. The reader rejects a
	// greater length as damage.
	maxPayloadSize = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checkPayloadSize returns ErrTooLarge if the reader would reject a payload of that size.
func checkPayloadSize(size int) error {
	if size > maxPayloadSize {
		return ErrTooLarge
	}
	return nil
}

// appendFrame appends a frame with the given payload, whose size the caller has checked, to
// buffer.
func appendFrame(buffer, payload []byte) []byte {
	var header [frameHeaderSize]byte
	binary.LittleEndian.PutUint32(header[0:], frameMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[8:], checksum(header[4:8], payload))
	return append(append(buffer, header[:]...), payload...)
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// readFrame returns the payload of the frame at the start of data and the size of the
// frame in bytes, including its header. It returns false if data does not start with a
// complete frame that has a valid checksum.
func readFrame(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > maxPayloadSize || int(length) > len(data)-frameHeaderSize {
		return nil, 0, false
	}
	size = frameHeaderSize + int(length)
	payload = data[frameHeaderSize:size]
	if binary.LittleEndian.Uint32(data[8:]) != checksum(data[4:8], payload) {
		return nil, 0, false
	}
	return payload, size, true
}

// containsFrame reports whether a valid frame starts at any offset of data.
func containsFrame(data []byte) bool {
	for offset := range data {
		if _, _, ok := readFrame(data[offset:]); ok {
			return true
		}
	}
	return false
}
