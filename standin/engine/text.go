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
	// DefaultTokens is the length of an answer if the request sets no max_tokens.
	DefaultTokens core.Tokens = 20
	// maxTokens bounds the memory of one attempt.
	maxTokens core.Tokens = 16384
	// CrashMarker in a prompt makes the engine exit while it runs the request.
	CrashMarker = "crash-engine"
	// prefixBlock is the length in bytes of one block of the prefix cache, and
	// maxPrefixes the number of blocks of a prompt that are cached.
	prefixBlock = 256
	maxPrefixes = 16
)

// Prompt is the part of a request's body that decides the answer.
type Prompt struct {
	Text   string
	Tokens core.Tokens
	// Prefixes are the hashes of the prompt's prefixes, the shortest first.
	Prefixes []uint64
}

// message is one message of a chat request.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParsePrompt reads the prompt from the body of a chat or completion request.
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
	text := plain(request.Prompt)
	for i, message := range request.Messages {
		if i == 0 {
			parts = nil
		}
		parts = append(parts, []byte(message.Role), message.Content)
		text += message.Role + ": " + plain(message.Content) + "\n"
	}
	prompt := Prompt{Text: text, Tokens: request.MaxTokens, Prefixes: prefixes(parts)}
	if prompt.Tokens <= 0 {
		prompt.Tokens = DefaultTokens
	}
	prompt.Tokens = min(prompt.Tokens, maxTokens)
	return prompt, nil
}

// plain returns the text of a JSON string, or the JSON itself if it is none.
func plain(content json.RawMessage) string {
	var text string
	if json.Unmarshal(content, &text) != nil {
		return string(content)
	}
	return text
}

// prefixes returns the xxHash64 of the bytes of the parts up to each multiple of 256
// bytes, for at most 16 of them, as docs/interfaces.md describes it.
func prefixes(parts [][]byte) []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	bytes := slices.Concat(parts...)
	for len(bytes) >= prefixBlock && len(hashes) < maxPrefixes {
		// Write never fails, see hash.Hash.
		_, _ = digest.Write(bytes[:prefixBlock])
		hashes = append(hashes, digest.Sum64())
		bytes = bytes[prefixBlock:]
	}
	return hashes
}

// Token returns the token at the offset of the answer.
func Token(av core.AdapterVersion, prompt string, offset core.Tokens) string {
	sum := fnv.New32a()
	fmt.Fprintf(sum, "%s\x00%s\x00%s\x00%d", av.Adapter, av.Version, prompt, offset)
	return fmt.Sprintf("%08x ", sum.Sum32())
}

// Answer returns the whole text that an engine generates.
func Answer(av core.AdapterVersion, prompt Prompt) string {
	var text strings.Builder
	for offset := range prompt.Tokens {
		text.WriteString(Token(av, prompt.Text, offset))
	}
	return text.String()
}
