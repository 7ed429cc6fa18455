package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Content is the part of a request that its fingerprint depends on.
type Content struct {
	Customer core.CustomerID
	// Service is empty for a model request.
	Service core.ServiceID
	Adapter core.AdapterID
	Method  string
	Path    string
	Body    []byte
}

// ignoredFields are the fields of a JSON body that may differ when a caller repeats a
// request, or that change only the format of the answer. The model is ignored because
// it contains the adapter version: the adapter is part of the fingerprint without its
// version, so that naming another version does not evade a conviction.
var ignoredFields = []string{"id", "request_id", "user", "metadata", "stream", "stream_options", "model"}

// fingerprintLength is the number of bytes to which the SHA-256 is truncated.
const fingerprintLength = 16

// Fingerprint returns the truncated SHA-256 of the content in hexadecimal. For a model
// request, ignoredFields, white space and the order of fields in the body do not affect
// the result. For a service call, every byte of the body does, because an identifier may
// be all that distinguishes two calls.
func Fingerprint(content Content) core.Fingerprint {
	hash := sha256.New()
	for _, part := range []string{
		string(content.Customer), string(content.Service), string(content.Adapter), content.Method, content.Path,
	} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	body := content.Body
	if content.Service == "" {
		body = canonicalJSON(body)
	}
	hash.Write(body)
	return core.Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintLength]))
}

// canonicalJSON returns the JSON object with sorted fields and without ignoredFields. If
// the body is not a single JSON object, it returns the body unchanged.
func canonicalJSON(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var fields map[string]any
	if decoder.Decode(&fields) != nil || fields == nil {
		return body
	}
	if _, err := decoder.Token(); err != io.EOF {
		return body // more than one value
	}
	for _, name := range ignoredFields {
		delete(fields, name)
	}
	sorted, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return sorted
}
