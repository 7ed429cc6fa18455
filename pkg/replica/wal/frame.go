package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is the unit of writing and checking: one Save is one frame, so that a
// frame that fails its check with another frame behind it was durable once.
//
//	magic 4 bytes | length 4 bytes | CRC-32C of length and payload 4 bytes | payload
const (
	frameMagic      = 0x6472_6c31 // "drl1"
	frameHeaderSize = 12
	// maxFrame bounds what a damaged length can make the reader allocate.
	maxFrame = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame with the payload to buffer.
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

// readFrame returns the payload of the frame at the start of data and its whole
// size. It returns false if data does not start with a whole, correct frame.
func readFrame(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > maxFrame || int(length) > len(data)-frameHeaderSize {
		return nil, 0, false
	}
	size = frameHeaderSize + int(length)
	payload = data[frameHeaderSize:size]
	if binary.LittleEndian.Uint32(data[8:]) != checksum(data[4:8], payload) {
		return nil, 0, false
	}
	return payload, size, true
}

// findFrame reports whether a correct frame starts anywhere in data.
func findFrame(data []byte) bool {
	for at := range data {
		if _, _, ok := readFrame(data[at:]); ok {
			return true
		}
	}
	return false
}
