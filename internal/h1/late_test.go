package h1

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// TestUnreadUpload guards against a response that is held back for as long as its server does not
// read the rest of the request, up to the time-out of the connection.
func TestUnreadUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		conn := &Conn{bodyWritten: make(chan error)} // nobody writes
		began := time.Now()
		err := conn.awaitWritten()
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
		is.Equal(time.Since(began), time.Second)
		is.True(conn.broken) // it carries no other request
	})
}
