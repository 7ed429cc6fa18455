package path

import (
	"io"
	"net/http"
	"strings"
)

// answerTokens is the number of tokens in every response.
const answerTokens = 20

// newEngine returns an engine that has every adapter loaded and responds immediately, so
// that only the cost of the path is measured.
func newEngine() http.Handler {
	event := `data: {"choices":[{"index":0,"delta":{"content":"01234567 "}}]}` + "\n\n"
	answer := strings.Repeat(event, answerTokens) + "data: [DONE]\n\n"
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		header := writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("X-Attempt", request.Header.Get("X-Attempt"))
		header.Set("X-Engine", "engine-1")
		header.Set("X-Incarnation", "run-1")
		header.Set("X-Adapter", request.Header.Get("X-Adapter"))
		header.Set("X-Version", request.Header.Get("X-Version"))
		// If the write fails, the caller receives a truncated response and reports it.
		_, _ = io.WriteString(writer, answer)
	})
}
