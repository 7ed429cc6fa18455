package peer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/core/routediff"
)

const (
	// maxTableBytes bounds the JSON of a route table that arrives compressed.
	maxTableBytes = 64 << 20
	// minCompressedBytes is the size from which a change is compressed.
	minCompressedBytes = 1 << 10
)

// RouteChangeMessage returns the message that carries a change of the route table.
func RouteChangeMessage(change routediff.Change) (*wire.RouteChange, error) {
	data, err := json.Marshal(change)
	if err != nil {
		return nil, errors.Wrap(err, "encode change of routes")
	}
	message := &wire.RouteChange{From: uint64(change.From), To: uint64(change.To), Change: data}
	if len(data) < minCompressedBytes {
		return message, nil
	}
	message.Compressed = true
	if message.Change, err = Compress(data); err != nil {
		return nil, err
	}
	return message, nil
}

// RouteChangeFromMessage returns the change that a message carries.
func RouteChangeFromMessage(message *wire.RouteChange) (routediff.Change, error) {
	data := message.GetChange()
	if message.GetCompressed() {
		var err error
		if data, err = decompress(data); err != nil {
			return routediff.Change{}, err
		}
	}
	var change routediff.Change
	if err := json.Unmarshal(data, &change); err != nil {
		return routediff.Change{}, errors.Wrap(err, "decode change of routes")
	}
	if change.From != core.ConfigNumber(message.GetFrom()) || change.To != core.ConfigNumber(message.GetTo()) {
		return routediff.Change{}, errors.New("a change of routes has other numbers than its message")
	}
	return change, nil
}

// RouteTableFromMessage returns the route table that a page carries, compressed or not.
func RouteTableFromMessage(page *wire.RoutesPage) (core.RouteTable, error) {
	data := page.GetTable()
	if len(page.GetCompressedTable()) > 0 {
		var err error
		if data, err = decompress(page.GetCompressedTable()); err != nil {
			return core.RouteTable{}, err
		}
	}
	var routes core.RouteTable
	if err := json.Unmarshal(data, &routes); err != nil {
		return core.RouteTable{}, errors.Wrap(err, "decode routes")
	}
	return routes, nil
}

// Compress returns the data compressed with DEFLATE.
func Compress(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return buffer.Bytes(), nil
}

// decompress returns the data that Compress was given. It returns an error if that is more than
// maxTableBytes.
func decompress(data []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(data))
	defer reader.Close()
	decompressed, err := io.ReadAll(io.LimitReader(reader, maxTableBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(decompressed) > maxTableBytes {
		return nil, &FrameSizeError{Size: len(decompressed), Limit: maxTableBytes}
	}
	return decompressed, nil
}
