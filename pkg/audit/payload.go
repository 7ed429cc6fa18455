package audit

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// Payload is the encoded form of a record, as files and messages carry it.
type Payload []byte

// Encode returns the encoded form of a record.
func Encode(record Record) (Payload, error) {
	payload, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	return payload, nil
}

// Decode returns the record of a payload. It refuses fields that it does not know,
// so that no statement of a record is lost silently.
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
