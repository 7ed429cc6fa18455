package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// DefaultTokens is the length of an answer whose request sets no positive
	// max_tokens.
	DefaultTokens core.Tokens = 20
	// maxTokens limits the length of an answer, and so the memory of one attempt.
	maxTokens core.Tokens = 16384
	// CrashMarker in a prompt makes the engine exit while it runs the request.
	CrashMarker = "crash-engine"
	// prefixBlockBytes is the length of one block of the prefix cache, and
	// maxPrefixes the maximum number of blocks of a prompt that are cached.
	prefixBlockBytes = 256
	maxPrefixes      = 16
)

// Prompt is the part of the request body that determines the answer.
type Prompt struct {
	Text   string
	Tokens core.Tokens
	// Prefixes are the hashes of the prefixes of the prompt, the shortest first.
	Prefixes []uint64
}

// message is one message of a chat request.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParsePrompt returns the prompt in the body of a chat or completion request, or an
// error if the body is not valid JSON of that form.
func ParsePrompt(body []byte) (Prompt, error) {
	var request struct {
		Messages  []message       `json:"messages"`
		Prompt    json.RawMessage `json:"prompt"`
		MaxTokens core.Tokens     `json:"max_tokens"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return Prompt{}, errors.Wrap(err, "decode request")
	}
	parts := [][]byte{request.Prompt}
	text := plainText(request.Prompt)
	for i, message := range request.Messages {
		if i == 0 {
			parts = nil
		}
		parts = append(parts, []byte(message.Role), message.Content)
		text += message.Role + ": " + plainText(message.Content) + "\n"
	}
	prompt := Prompt{Text: text, Tokens: request.MaxTokens, Prefixes: prefixes(parts)}
	if prompt.Tokens <= 0 {
		prompt.Tokens = DefaultTokens
	}
	prompt.Tokens = min(prompt.Tokens, maxTokens)
	return prompt, nil
}

// plainText returns the value of a JSON string, or the JSON text itself if it is not
// a string.
func plainText(content json.RawMessage) string {
	var text string
	if json.Unmarshal(content, &text) != nil {
		return string(content)
	}
	return text
}

// prefixes returns the xxHash64 hashes of the prefixes of the concatenated parts whose
// lengths are multiples of 256 bytes, at most 16, as specified in docs/interfaces.md.
func prefixes(parts [][]byte) []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	bytes := slices.Concat(parts...)
	for len(bytes) >= prefixBlockBytes && len(hashes) < maxPrefixes {
		// Write never returns an error, see hash.Hash.
		_, _ = digest.Write(bytes[:prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
		bytes = bytes[prefixBlockBytes:]
	}
	return hashes
}

// Token returns the token at the offset in the answer to the prompt. It differs between
// software versions, so that a joined answer is wrong.
func Token(av core.AdapterVersion, software core.SoftwareVersion, prompt string, offset core.Tokens) string {
	sum := fnv.New32a()
	fmt.Fprintf(sum, "%s\x00%s\x00%s\x00%d\x00%s", av.Adapter, av.Version, prompt, offset, software)
	return fmt.Sprintf("%08x ", sum.Sum32())
}

// Answer returns the complete text that an engine with the software generates for the prompt.
func Answer(av core.AdapterVersion, software core.SoftwareVersion, prompt Prompt) string {
	var text strings.Builder
	for offset := range prompt.Tokens {
		text.WriteString(Token(av, software, prompt.Text, offset))
	}
	return text.String()
}
