package peer

import (
	"net"
	"sync"
	"time"
)

const (
	// maxPending bounds the bytes that wait for the socket of a link.
	maxPending = 1 << 20
	// closeTimeout bounds the last write of a link that closes.
	closeTimeout = 200 * time.Millisecond
)

// batchConn passes on in one write what was written while the last one was on its
// way. The multiplexer writes a header and a body for each of many small frames.
type batchConn struct {
	net.Conn
	wake   chan struct{}
	closed chan struct{}
	// done is closed after everything was written and the socket is closed.
	done chan struct{}
	once sync.Once

	// writing orders the writes to the socket. It is taken before mutex.
	writing sync.Mutex
	// mutex guards the fields below and is not held across a write.
	mutex   sync.Mutex
	room    *sync.Cond
	pending []byte
	spare   []byte
	err     error
}

// newBatchConn returns a connection whose Close writes what waits and ends its
// goroutine.
func newBatchConn(conn net.Conn) *batchConn {
	batch := &batchConn{Conn: conn, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	batch.room = sync.NewCond(&batch.mutex)
	go batch.run()
	return batch
}

// Write takes the data without waiting for the socket, unless too much waits already.
// It returns the error of an earlier write.
func (batch *batchConn) Write(data []byte) (int, error) {
	batch.mutex.Lock()
	for batch.err == nil && len(batch.pending) >= maxPending {
		batch.room.Wait()
	}
	err := batch.err
	if err == nil {
		batch.pending = append(batch.pending, data...)
	}
	batch.mutex.Unlock()
	if err != nil {
		return 0, err
	}
	select {
	case batch.wake <- struct{}{}:
	default:
	}
	return len(data), nil
}

// Close ends all reads at once. What waits is still written, for a short time, before the
// connection is closed. The multiplexer calls Close while its readers wait in a loop that
// ends only after it, so Close must not wait for the socket.
func (batch *batchConn) Close() error {
	batch.once.Do(func() {
		_ = batch.SetReadDeadline(time.Unix(1, 0))
		_ = batch.SetWriteDeadline(time.Now().Add(closeTimeout))
		batch.fail(net.ErrClosed)
		close(batch.closed)
	})
	return nil
}

func (batch *batchConn) run() {
	defer close(batch.done)
	defer batch.Conn.Close()
	for {
		select {
		case <-batch.closed:
			_ = batch.SetWriteDeadline(time.Now().Add(closeTimeout))
			batch.flush()
			return
		case <-batch.wake:
			_ = batch.SetWriteDeadline(time.Now().Add(writeTimeout))
			batch.flush()
		}
	}
}

func (batch *batchConn) flush() {
	batch.writing.Lock()
	defer batch.writing.Unlock()
	batch.mutex.Lock()
	data := batch.pending
	batch.pending, batch.spare = batch.spare[:0], nil
	batch.mutex.Unlock()
	if len(data) > 0 {
		if _, err := batch.Conn.Write(data); err != nil {
			batch.fail(err)
		}
	}
	batch.mutex.Lock()
	defer batch.mutex.Unlock()
	if cap(data) <= maxPending {
		batch.spare = data[:0]
	}
	batch.room.Broadcast()
}

// fail makes every later write return the error.
func (batch *batchConn) fail(err error) {
	batch.mutex.Lock()
	defer batch.mutex.Unlock()
	if batch.err == nil {
		batch.err = err
	}
	batch.room.Broadcast()
}
