// Package caller implements the HTTP interface for callers: OpenAI-style completions and
// chat completions for models, and plain services under /v1/services/.
package caller
