package path

import (
	"io"
	"net/http"
	"strings"
)

// tokens is the length of every answer.
const tokens = 20

// newEngine returns an engine that holds every adapter and answers at once, so that
// only the path is measured.
func newEngine() http.Handler {
	event := `data: {"choices":[{"index":0,"delta":{"content":"01234567 "}}]}` + "\n\n"
	answer := strings.Repeat(event, tokens) + "data: [DONE]\n\n"
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		header := writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("X-Engine", "engine-1")
		header.Set("X-Incarnation", "run-1")
		header.Set("X-Adapter", request.Header.Get("X-Adapter"))
		header.Set("X-Version", request.Header.Get("X-Version"))
		// The caller of a failed write sees the broken answer itself.
		_, _ = io.WriteString(writer, answer)
	})
}
