package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDialTime guards against a VM that waits a second for another one that was down when
// its opening packet came, and against a slow link that never opens.
func TestDialTime(t *testing.T) {
	is := is.New(t)
	is.True(dialTime(0)+redialInterval+dialTime(1) < 1500*time.Millisecond)
	is.True(dialTime(0) < time.Second)
	for failed := range 100 {
		is.True(dialTime(failed) <= dialTime(failed+1))
	}
	is.Equal(dialTime(100), dialTimeout)

	refused := &HandshakeError{Reason: "in this test"}
	open, failing := &link{ready: make(chan struct{})}, &link{ready: make(chan struct{}), failed: 2, err: refused}
	close(open.ready)
	close(failing.ready)
	is.Equal(open.failedDials(), 0)
	is.Equal(failing.failedDials(), 3)
}
