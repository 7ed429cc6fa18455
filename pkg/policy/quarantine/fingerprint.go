package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Content is what a fingerprint is made of.
type Content struct {
	Customer core.CustomerID
	Service  core.ServiceID
	Adapter  core.AdapterID
	Method   string
	Path     string
	Body     []byte
}

// identifiers are the fields of a JSON body that change when a caller sends the
// same request again, or that change only the form of the answer. The adapter
// counts without its version, so that a new version is no way around.
var identifiers = []string{"id", "request_id", "user", "metadata", "stream", "stream_options", "model"}

// fingerprintLength is the number of bytes of the hash that are kept.
const fingerprintLength = 16

// Fingerprint returns the hash of the content. The body of a model request counts
// without identifiers, white space and order of its fields. The body of a service
// call counts byte by byte, since an identifier may be its whole content.
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
		body = canonical(body)
	}
	hash.Write(body)
	return core.Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintLength]))
}

// canonical returns the JSON object with sorted fields and without identifiers, or
// the body itself if it is no JSON object.
func canonical(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var fields map[string]any
	if decoder.Decode(&fields) != nil || fields == nil {
		return body
	}
	if _, err := decoder.Token(); err != io.EOF {
		return body // more than one value
	}
	for _, name := range identifiers {
		delete(fields, name)
	}
	sorted, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return sorted
}
