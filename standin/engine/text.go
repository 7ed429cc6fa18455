package engine

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"

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
	// prefixBlock is the length in bytes of one block of the prefix cache.
	prefixBlock = 64
)

// Prompt is the part of a request's body that decides the answer.
type Prompt struct {
	Text   string
	Tokens core.Tokens
}

// ParsePrompt reads the prompt from the body of a chat or completion request.
func ParsePrompt(body []byte) (Prompt, error) {
	var request struct {
		Messages []struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"messages"`
		Prompt    string      `json:"prompt"`
		MaxTokens core.Tokens `json:"max_tokens"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return Prompt{}, errors.Wrap(err, "decode request")
	}
	var text strings.Builder
	text.WriteString(request.Prompt)
	for _, message := range request.Messages {
		text.WriteString(message.Role + ": " + message.Content + "\n")
	}
	prompt := Prompt{Text: text.String(), Tokens: request.MaxTokens}
	if prompt.Tokens <= 0 {
		prompt.Tokens = DefaultTokens
	}
	prompt.Tokens = min(prompt.Tokens, maxTokens)
	return prompt, nil
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

// Prefixes returns the hashes of the prompt's prefixes, the shortest first: the
// FNV-1a hash of adapter, zero byte, version, zero byte and each multiple of 64
// bytes of the prompt.
func Prefixes(av core.AdapterVersion, prompt string) []uint64 {
	sum := fnv.New64a()
	fmt.Fprintf(sum, "%s\x00%s\x00", av.Adapter, av.Version)
	var hashes []uint64
	for len(prompt) >= prefixBlock {
		sum.Write([]byte(prompt[:prefixBlock]))
		hashes = append(hashes, binary.BigEndian.Uint64(sum.Sum(nil)))
		prompt = prompt[prefixBlock:]
	}
	return hashes
}
