package audit

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// Payload is a record encoded as JSON, as it is stored in files and sent in messages.
type Payload []byte

// Encode returns the record encoded as JSON.
func Encode(record Record) (Payload, error) {
	payload, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	return payload, nil
}

// Decode returns the record of a payload. It returns an error for malformed JSON, for
// an unknown field, so that no content of a record is dropped silently, and for data
// after the record.
func Decode(payload Payload) (Record, error) {
	var record Record
	decoder := json.NewDecoder(bytes.NewReader(payload))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&record); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	if decoder.More() {
		return Record{}, errors.New("decode record: text after the record")
	}
	return record, nil
}
