package ledger

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// maxRoutesBytes bounds the JSON of a PutRoutes that is compressed in the log.
const maxRoutesBytes = 64 << 20

// EncodeCommand returns the JSON encoding of a command, as it is written to the log.
func EncodeCommand(command Command) ([]byte, error) {
	if put := command.PutRoutes; put != nil && put.Compressed {
		compressed, err := compressRoutes(*put)
		if err != nil {
			return nil, err
		}
		command.PutRoutes, command.CompressedRoutes = nil, compressed
	} else if put != nil && len(put.Table.Workspaces) > 0 {
		command.PutRoutes, command.KeyedRoutes = nil, put
	}
	data, err := json.Marshal(command)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	return data, nil
}

// DecodeCommand decodes a command that EncodeCommand returned. It returns an error if
// data is not valid JSON of a command.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Command{}, errors.Wrap(err, "decode command")
	}
	if command.KeyedRoutes != nil {
		command.PutRoutes, command.KeyedRoutes = command.KeyedRoutes, nil
	}
	if command.CompressedRoutes != nil {
		put, err := decompressRoutes(command.CompressedRoutes)
		if err != nil {
			return Command{}, err
		}
		command.PutRoutes, command.CompressedRoutes = put, nil
	}
	return command, nil
}

// compressRoutes returns the JSON of a PutRoutes, compressed with DEFLATE (RFC 1951).
func compressRoutes(put PutRoutes) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress routes")
	}
	if err := json.NewEncoder(writer).Encode(put); err != nil {
		return nil, errors.Wrap(err, "encode routes")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress routes")
	}
	return buffer.Bytes(), nil
}

// decompressRoutes returns the PutRoutes that compressRoutes was given, with Compressed set.
func decompressRoutes(data []byte) (*PutRoutes, error) {
	reader := flate.NewReader(bytes.NewReader(data))
	defer reader.Close()
	put := &PutRoutes{}
	if err := json.NewDecoder(io.LimitReader(reader, maxRoutesBytes)).Decode(put); err != nil {
		return nil, errors.Wrap(err, "decode compressed routes")
	}
	put.Compressed = true
	return put, nil
}
