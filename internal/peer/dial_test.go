package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDialTimeoutAfter guards against a first dial that waits 1 s for the retransmission
// of a lost SYN, and against a timeout so short that a slow link never opens.
func TestDialTimeoutAfter(t *testing.T) {
	is := is.New(t)
	is.True(dialTimeoutAfter(0)+redialInterval+dialTimeoutAfter(1) < 1500*time.Millisecond)
	is.True(dialTimeoutAfter(0) < time.Second)
	for failures := range 100 {
		is.True(dialTimeoutAfter(failures) <= dialTimeoutAfter(failures+1))
	}
	is.Equal(dialTimeoutAfter(100), dialTimeout)

	refused := &HandshakeError{Reason: "in this test"}
	open, failing := &link{ready: make(chan struct{})}, &link{ready: make(chan struct{}), earlierFailures: 2, err: refused}
	close(open.ready)
	close(failing.ready)
	is.Equal(open.failuresInRow(), 0)
	is.Equal(failing.failuresInRow(), 3)
}
