package caller

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// completion holds the fields of a model request that the VM reads. The request body
// itself is passed on unchanged.
type completion struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages []message       `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`

	adapter core.AdapterVersion
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseCompletion decodes a request body. It returns a refusal with
// core.CodeBadRequest if the body is not valid JSON or names no adapter.
func parseCompletion(body []byte) (completion, *core.Refusal) {
	var parsed completion
	if err := json.Unmarshal(body, &parsed); err != nil {
		return completion{}, core.NewRefusal(core.CodeBadRequest, "the body is not a completion request: "+err.Error())
	}
	adapter, err := core.ParseAdapterVersion(parsed.Model)
	if err != nil {
		return completion{}, core.NewRefusal(core.CodeBadRequest, err.Error())
	}
	parsed.adapter = adapter
	return parsed, nil
}

const (
	// prefixBlockBytes is the distance in bytes between two hashed prefixes of a prompt.
	prefixBlockBytes = 256
	// maxPrefixes bounds the number of hashed prefixes of a prompt.
	maxPrefixes = 16
)

// prefixHashes returns the hashes of the prompt's prefixes whose lengths are multiples
// of prefixBlockBytes, the shortest first. Prompts with a common prefix have the same
// hashes for it.
func (completion completion) prefixHashes() []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	blockBytes := 0
	for _, part := range completion.promptParts() {
		for len(part) > 0 && len(hashes) < maxPrefixes {
			count := min(prefixBlockBytes-blockBytes, len(part))
			_, _ = digest.Write(part[:count])
			part = part[count:]
			blockBytes += count
			if blockBytes == prefixBlockBytes {
				hashes = append(hashes, digest.Sum64())
				blockBytes = 0
			}
		}
	}
	return hashes
}

// promptParts returns the roles and the contents of the messages, or the prompt if there
// are no messages.
func (completion completion) promptParts() [][]byte {
	if len(completion.Messages) == 0 {
		return [][]byte{completion.Prompt}
	}
	var parts [][]byte
	for _, message := range completion.Messages {
		parts = append(parts, []byte(message.Role), message.Content)
	}
	return parts
}
