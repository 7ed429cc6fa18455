package peer

import (
	"net"
	"sync"
	"time"
)

const (
	// maxPending limits the bytes that wait to be written to a link's socket. Write blocks
	// while this many are pending.
	maxPending = 1 << 20
	// closeTimeout limits the final write of a link that closes.
	closeTimeout = 200 * time.Millisecond
)

// batchConn combines the data that arrives during a socket write into the next write. It
// saves system calls, because the multiplexer writes many small frames, each as a separate
// header and body.
//
// After a failed read or write, or after Close, the reads of the link's streams are made
// to fail first. Then reads of the connection return an error, and writes discard their
// data and return no error, so that the multiplexer shuts its session down from its
// reading goroutine.
type batchConn struct {
	net.Conn
	dataReady chan struct{}
	closed    chan struct{}
	// streams holds the open streams of the link.
	streams *streamSet
	// done is closed after the pending data is written and the socket is closed.
	done         chan struct{}
	shutDownOnce sync.Once

	// writeMutex serializes writes to the socket. It is acquired before mutex.
	writeMutex sync.Mutex
	// mutex guards the fields below. It is not held during a write to the socket.
	mutex       sync.Mutex
	spaceFreed  *sync.Cond
	pending     []byte
	spareBuffer []byte
	stopped     bool
}

// newBatchConn returns a batchConn and starts its writing goroutine. Close ends the
// goroutine after the pending data is written.
func newBatchConn(conn net.Conn, streams *streamSet) *batchConn {
	batch := &batchConn{Conn: conn, streams: streams, dataReady: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	batch.spaceFreed = sync.NewCond(&batch.mutex)
	go batch.run()
	return batch
}

// Read reads from the socket. An error also shuts the connection down.
func (batch *batchConn) Read(data []byte) (int, error) {
	count, err := batch.Conn.Read(data)
	if err != nil {
		batch.shutDown()
	}
	return count, err
}

// Write queues the data for the socket. It blocks only while maxPending bytes or more are
// pending. It never returns an error: a failed connection reports the failure from Read.
func (batch *batchConn) Write(data []byte) (int, error) {
	batch.mutex.Lock()
	for !batch.stopped && len(batch.pending) >= maxPending {
		batch.spaceFreed.Wait()
	}
	if !batch.stopped {
		batch.pending = append(batch.pending, data...)
	}
	batch.mutex.Unlock()
	select {
	case batch.dataReady <- struct{}{}:
	default:
	}
	return len(data), nil
}

// Close makes reads fail immediately and returns. Pending data is still written, for at
// most closeTimeout, before the socket is closed.
func (batch *batchConn) Close() error {
	batch.shutDown()
	return nil
}

// shutDown makes reads fail and discards later writes.
func (batch *batchConn) shutDown() {
	batch.shutDownOnce.Do(func() {
		batch.streams.failReads()
		_ = batch.SetReadDeadline(pastDeadline)
		_ = batch.SetWriteDeadline(time.Now().Add(closeTimeout))
		batch.mutex.Lock()
		batch.stopped = true
		batch.spaceFreed.Broadcast()
		batch.mutex.Unlock()
		close(batch.closed)
	})
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
		case <-batch.dataReady:
			_ = batch.SetWriteDeadline(time.Now().Add(writeTimeout))
			batch.flush()
		}
	}
}

func (batch *batchConn) flush() {
	batch.writeMutex.Lock()
	defer batch.writeMutex.Unlock()
	batch.mutex.Lock()
	data := batch.pending
	batch.pending, batch.spareBuffer = batch.spareBuffer[:0], nil
	batch.mutex.Unlock()
	if len(data) > 0 {
		if _, err := batch.Conn.Write(data); err != nil {
			batch.shutDown()
		}
	}
	batch.mutex.Lock()
	defer batch.mutex.Unlock()
	if cap(data) <= maxPending {
		batch.spareBuffer = data[:0]
	}
	batch.spaceFreed.Broadcast()
}
