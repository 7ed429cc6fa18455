package operator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEndlessAnswer guards against an answer without end that takes the memory of the
// command line.
func TestEndlessAnswer(t *testing.T) {
	is := is.New(t)
	chunk := strings.Repeat(" ", 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		for range 4 * maxAnswerBytes >> 20 {
			if _, err := io.WriteString(writer, chunk); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client, err := NewClient(server.Listener.Addr().String(), "token", "")
	is.NoErr(err)
	_, err = client.Status(t.Context())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "the answer has more than"))
}
