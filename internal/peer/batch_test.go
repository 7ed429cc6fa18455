package peer

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCloseDoesNotWait guards against a link that occupies a processor while it closes:
// the readers of the multiplexer's streams turn in a loop from the start of its close
// until the close of the connection has returned.
func TestCloseDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe() // nobody reads from far, so that every write waits
		defer far.Close()
		batch := newBatchConn(near, &streams{})
		_, err := batch.Write([]byte("frame"))
		is.NoErr(err)
		read := make(chan error, 1)
		go func() {
			_, err := batch.Read(make([]byte, 1))
			read <- err
		}()
		synctest.Wait()
		began := time.Now()
		is.NoErr(batch.Close())
		is.True(<-read != nil)
		is.Equal(time.Since(began), time.Duration(0))
		_, err = batch.Write([]byte("late"))
		is.NoErr(err) // dropped: an error would let the multiplexer end from its writing side
		<-batch.done
		_, err = near.Write([]byte("closed"))
		is.True(err != nil)
	})
}
