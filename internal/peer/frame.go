package peer

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the maximum size of an encoded message, in bytes.
const MaxMessageBytes = 4 << 20

// frameHeaderBytes is the size of the big-endian length prefix of a message.
const frameHeaderBytes = 4

// maxHelloBytes is the maximum size of an encoded message of the handshake, in bytes. Its
// sender has not proved yet that it is a VM of the deployment, and the memory for a message
// is taken before its content arrives.
const maxHelloBytes = 4 << 10

// FrameSizeError is returned for a message that is larger than Limit bytes.
type FrameSizeError struct {
	Size, Limit int
}

// Error returns a message with the size and the limit.
func (err *FrameSizeError) Error() string {
	return fmt.Sprintf("message of %d bytes is over the limit of %d", err.Size, err.Limit)
}

// writeFrame writes a message after its length. It returns a *FrameSizeError, and writes
// nothing, if the message is too large.
func writeFrame(writer io.Writer, message proto.Message) error {
	buffer := make([]byte, frameHeaderBytes, frameHeaderBytes+proto.Size(message))
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	size := len(buffer) - frameHeaderBytes
	if size > MaxMessageBytes {
		return &FrameSizeError{Size: size, Limit: MaxMessageBytes}
	}
	binary.BigEndian.PutUint32(buffer, uint32(size))
	if _, err := writer.Write(buffer); err != nil {
		return errors.Wrap(err, "write message")
	}
	return nil
}

// writeWithTimeout writes a message to a stream. It returns an error if a slow reader
// blocks the write for longer than writeTimeout.
func writeWithTimeout(stream *yamux.Stream, message proto.Message) error {
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	return writeFrame(stream, message)
}

// readFrame reads a message that writeFrame has written. It returns a *FrameSizeError,
// without reading the content, if the message is too large.
func readFrame(reader io.Reader, message proto.Message) error {
	return readFrameWithin(reader, message, MaxMessageBytes)
}

// readFrameWithin reads a message of at most limit bytes like readFrame.
func readFrameWithin(reader io.Reader, message proto.Message, limit int) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return errors.Wrap(err, "read message length")
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > limit {
		return &FrameSizeError{Size: size, Limit: limit}
	}
	buffer := make([]byte, size)
	if _, err := io.ReadFull(reader, buffer); err != nil {
		return errors.Wrap(err, "read message")
	}
	if err := proto.Unmarshal(buffer, message); err != nil {
		return errors.Wrap(err, "decode message")
	}
	return nil
}
