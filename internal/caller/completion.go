package caller

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// completion is the part of a model request that the VM reads. The body is passed on
// as it came.
type completion struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages []message       `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`

	wanted core.AdapterVersion
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func parseCompletion(body []byte) (completion, *core.Refusal) {
	var parsed completion
	if err := json.Unmarshal(body, &parsed); err != nil {
		return completion{}, core.Refuse(core.CodeBadRequest, "the body is not a completion request: "+err.Error())
	}
	wanted, err := core.ParseAdapterVersion(parsed.Model)
	if err != nil {
		return completion{}, core.Refuse(core.CodeBadRequest, err.Error())
	}
	parsed.wanted = wanted
	return parsed, nil
}

// prefixBlock is the length in bytes after which a prefix of a prompt gets a hash.
const (
	prefixBlock = 256
	maxPrefixes = 16
)

// prefixes returns hashes of the prompt's prefixes, the shortest first. Prompts that
// share a beginning share the hashes of it.
func (completion completion) prefixes() []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	pending := 0
	for _, part := range completion.parts() {
		for len(part) > 0 && len(hashes) < maxPrefixes {
			count := min(prefixBlock-pending, len(part))
			_, _ = digest.Write(part[:count])
			part = part[count:]
			pending += count
			if pending == prefixBlock {
				hashes = append(hashes, digest.Sum64())
				pending = 0
			}
		}
	}
	return hashes
}

func (completion completion) parts() [][]byte {
	if len(completion.Messages) == 0 {
		return [][]byte{completion.Prompt}
	}
	var parts [][]byte
	for _, message := range completion.Messages {
		parts = append(parts, []byte(message.Role), message.Content)
	}
	return parts
}
