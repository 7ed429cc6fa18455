package peer

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCloseDoesNotWait guards against a link that busy-loops while it closes: the readers
// of yamux streams spin from the start of the session's close until the close of the
// connection returns, so that Close must not wait for the socket.
func TestCloseDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe() // far is never read, so every write blocks
		defer far.Close()
		batch := newBatchConn(near, &streamSet{})
		_, err := batch.Write([]byte("frame"))
		is.NoErr(err)
		read := make(chan error, 1)
		go func() {
			_, err := batch.Read(make([]byte, 1))
			read <- err
		}()
		synctest.Wait()
		start := time.Now()
		is.NoErr(batch.Close())
		is.True(<-read != nil)
		is.Equal(time.Since(start), time.Duration(0))
		_, err = batch.Write([]byte("late"))
		is.NoErr(err) // discarded: an error would make yamux shut down from its writing goroutine
		<-batch.done
		_, err = near.Write([]byte("closed"))
		is.True(err != nil)
	})
}
