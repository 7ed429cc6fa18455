package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	pingInterval = 500 * time.Millisecond
	// pingTimeout is the time to wait for a ping response before the link is closed, to
	// be dialled again.
	pingTimeout = 1500 * time.Millisecond
	dialTimeout = 1500 * time.Millisecond
	// firstDialTimeout limits the first dial after an open link. The operating system
	// retransmits a lost SYN only after 1 s; if the peer was down when the SYN arrived, a
	// new dial reaches it sooner.
	firstDialTimeout = 100 * time.Millisecond
	// writeTimeout limits the write of one message. A write takes this long only if the
	// reader has stopped reading and its receive window is full.
	writeTimeout = 5 * time.Second
	// redialInterval is the time after a failed dial during which calls return its error,
	// so that they can choose another VM instead of waiting for an unreachable one. The
	// interval is shorter after the first failed dials; see mayRedial.
	redialInterval = 250 * time.Millisecond
)

// sessionConfig returns the yamux configuration. The keep-alive of yamux is off, because
// the ping of this package also decides when a new connection is dialled.
func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = pingTimeout
	// These timeouts would close the session without first failing the reads of its
	// streams. They are long enough that the ping of this package detects an unresponsive
	// link earlier; it fails the reads before it closes the session.
	config.StreamOpenTimeout = 10 * pingTimeout
	config.StreamCloseTimeout = 10 * pingTimeout
	config.MaxStreamWindowSize = 1 << 20
	config.LogOutput = io.Discard
	return config
}

// UnreachableError is returned if a request could not be sent to a peer, or if the peer
// did not answer.
type UnreachableError struct {
	VM core.VMID
	// Sent is true if the request may have reached the peer. It is false only if no byte
	// of the request left this VM.
	Sent bool
	// Incarnation is the incarnation of the peer to which the request was sent.
	Incarnation core.Incarnation
	Err         error
}

// Error returns the name of the VM and the cause.
func (err *UnreachableError) Error() string {
	return fmt.Sprintf("VM %q: %v", err.VM, err.Err)
}

// Unwrap returns the cause.
func (err *UnreachableError) Unwrap() error {
	return err.Err
}

// FailureError is returned if a peer answered that it could not handle a request.
type FailureError struct {
	VM      core.VMID
	Message string
}

// Error returns the name of the VM and the message of its answer.
func (err *FailureError) Error() string {
	return fmt.Sprintf("VM %q: %s", err.VM, err.Message)
}

// Client sends requests to other VMs, over one link to each VM.
type Client struct {
	self      Identity
	addresses map[core.VMID]string
	logger    *log.Logger
	ctx       context.Context
	running   sync.WaitGroup

	// mutex guards links. No other lock is acquired while it is held.
	mutex sync.Mutex
	links map[core.VMID]*link
}

// NewClient returns a client for the peers at the given addresses and a function that
// closes all links. A link is dialled when the first request to its peer is made.
func NewClient(self Identity, addresses map[core.VMID]string, logger *log.Logger) (*Client, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	client := &Client{self: self, addresses: addresses, logger: logger, ctx: ctx, links: make(map[core.VMID]*link)}
	return client, func() {
		cancel() // ends the ping loop of each link, which closes the link
		client.running.Wait()
	}
}

// Call sends a request and returns its first response. It returns an *UnreachableError
// if the peer cannot be reached or does not answer before the context ends, and a
// *FailureError if the peer could not handle the request.
func (client *Client) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	var answer *wire.Response
	err := client.Stream(ctx, vm, request, func(response *wire.Response) bool {
		answer = response
		return false
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// Stream sends a request and passes every response to receive until receive returns
// false. It returns an *UnreachableError if the peer cannot be reached, the link is lost
// or the context ends before that, and a *FailureError if the peer could not handle the
// request.
func (client *Client) Stream(ctx context.Context, vm core.VMID, request *wire.Request, receive func(*wire.Response) bool) error {
	link, err := client.openLink(ctx, vm)
	if err != nil {
		return &UnreachableError{VM: vm, Err: err}
	}
	stream, err := link.session.OpenStream()
	if err != nil {
		link.close()
		return &UnreachableError{VM: vm, Err: errors.Wrap(err, "open stream")}
	}
	defer stream.Close()
	link.streams.add(stream)
	defer link.streams.remove(stream)
	stop := context.AfterFunc(ctx, func() {
		_ = stream.SetDeadline(time.Unix(1, 0))
		stream.Close()
	})
	defer stop()
	if err := writeWithTimeout(stream, request); err != nil {
		return &UnreachableError{VM: vm, Sent: true, Incarnation: link.incarnation, Err: causeOf(ctx, err)}
	}
	for {
		var response wire.Response
		if err := readFrame(stream, &response); err != nil {
			return &UnreachableError{VM: vm, Sent: true, Incarnation: link.incarnation, Err: causeOf(ctx, err)}
		}
		if failure := response.GetFailure(); failure != nil {
			return &FailureError{VM: vm, Message: failure.Message}
		}
		if !receive(&response) {
			return nil
		}
	}
}

// CloseLink closes the link to a VM, so that the next request dials a new connection.
func (client *Client) CloseLink(vm core.VMID) {
	client.mutex.Lock()
	link := client.links[vm]
	client.mutex.Unlock()
	if link != nil && link.isReady() {
		link.close()
	}
}

func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// openLink returns the open link to a VM, and dials it if there is none. Only one dial
// runs at a time. Callers wait for it, unless the previous dial failed: then they get the
// error of the previous dial immediately while the new one runs.
func (client *Client) openLink(ctx context.Context, vm core.VMID) (*link, error) {
	address, ok := client.address(vm)
	if !ok {
		return nil, errors.New("no address is known")
	}
	client.mutex.Lock()
	current := client.links[vm]
	previous := current
	if current == nil || current.isClosed() && current.mayRedial(time.Now()) {
		current = &link{ready: make(chan struct{}), closed: make(chan struct{})}
		if previous != nil {
			current.previousError = previous.dialError()
			current.earlierFailures = previous.failuresInRow()
		}
		client.links[vm] = current
		client.running.Go(func() { client.dial(vm, address, current) })
	}
	client.mutex.Unlock()
	if current.previousError != nil && !current.isReady() {
		return nil, current.previousError
	}
	select {
	case <-current.ready:
		return current, current.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// address returns the address on which a VM listens. The id of a VM that is not in the
// settings must itself be an IP address and port; otherwise the result is false.
func (client *Client) address(vm core.VMID) (string, bool) {
	if address, ok := client.addresses[vm]; ok {
		return address, true
	}
	if _, err := netip.ParseAddrPort(string(vm)); err != nil {
		return "", false
	}
	return string(vm), true
}

func (client *Client) dial(vm core.VMID, address string, link *link) {
	link.err = client.connect(vm, address, link)
	if link.err != nil {
		link.failedAt = time.Now()
		link.close()
		close(link.ready)
		return
	}
	close(link.ready)
	client.ping(vm, link)
}

func (client *Client) connect(vm core.VMID, address string, link *link) error {
	dialer := net.Dialer{Timeout: dialTimeoutAfter(link.earlierFailures)}
	conn, err := dialer.DialContext(client.ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	if client.self.TLS != nil {
		conn = tls.Client(conn, client.self.TLS)
	}
	peer, err := dialHandshake(conn, client.self)
	if err == nil && core.VMID(peer.Vm) != vm {
		err = &HandshakeError{Reason: fmt.Sprintf("address %s belongs to VM %q", address, peer.Vm)}
	}
	if err != nil {
		conn.Close()
		return errors.Wrap(err, "open link")
	}
	batch := newBatchConn(conn, &link.streams)
	session, err := yamux.Client(batch, sessionConfig())
	if err != nil {
		batch.Close()
		return errors.Wrap(err, "open session")
	}
	link.conn, link.session, link.incarnation = batch, session, core.Incarnation(peer.Incarnation)
	return nil
}

// ping checks the link periodically until it is closed. It closes a link that does not
// answer a ping in time.
func (client *Client) ping(vm core.VMID, link *link) {
	defer link.close()
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		select {
		case <-client.ctx.Done():
			return
		case <-link.closed:
			return
		case <-link.session.CloseChan():
			return
		case <-ticker.C:
		}
		if err := link.ping(sequence); err != nil {
			client.logger.Warn("Link lost.", "peer", vm, "error", err)
			return
		}
	}
}

// link is one connection to a peer. conn, session, incarnation, err and failedAt are set
// before ready is closed and do not change after that. previousError, the error of the
// previous dial, and earlierFailures are set before the dial starts.
type link struct {
	previousError error
	// earlierFailures is the number of consecutive dials that failed before this one.
	earlierFailures int
	failedAt        time.Time
	ready           chan struct{}
	closed          chan struct{}
	once            sync.Once
	conn            net.Conn
	streams         streamSet
	session         *yamux.Session
	incarnation     core.Incarnation
	err             error
}

func (link *link) isReady() bool {
	select {
	case <-link.ready:
		return true
	default:
		return false
	}
}

// dialError returns the error of the dial, or nil if the dial succeeded or still runs.
func (link *link) dialError() error {
	if !link.isReady() {
		return nil
	}
	return link.err
}

// failuresInRow returns the number of consecutive failed dials, including this one.
func (link *link) failuresInRow() int {
	if link.dialError() == nil {
		return 0
	}
	return link.earlierFailures + 1
}

// dialTimeoutAfter returns the timeout of a dial after a number of consecutive failures.
// It doubles with each failure up to dialTimeout, so that a slow link can open.
func dialTimeoutAfter(earlierFailures int) time.Duration {
	return min(dialTimeout, firstDialTimeout<<min(earlierFailures, 8))
}

// mayRedial reports whether a closed link may be dialled again. The first dial after an
// open link is never delayed, because it determines whether the peer is reachable.
func (link *link) mayRedial(now time.Time) bool {
	return link.dialError() == nil || now.Sub(link.failedAt) >= min(redialInterval, dialTimeoutAfter(link.earlierFailures))
}

func (link *link) isClosed() bool {
	select {
	case <-link.closed:
		return true
	default:
		return link.isReady() && (link.err != nil || link.session.IsClosed())
	}
}

func (link *link) close() {
	link.once.Do(func() {
		close(link.closed)
		if link.conn != nil {
			link.conn.Close() // also ends the session, see batchConn
		}
	})
}

func (link *link) ping(sequence uint64) error {
	stream, err := link.session.OpenStream()
	if err != nil {
		return errors.Wrap(err, "open ping stream")
	}
	defer stream.Close()
	if err := stream.SetDeadline(time.Now().Add(pingTimeout)); err != nil {
		return errors.Wrap(err, "set ping deadline")
	}
	link.streams.add(stream)
	defer link.streams.remove(stream)
	request := &wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{Sequence: sequence}}}
	if err := writeFrame(stream, request); err != nil {
		return errors.Wrap(err, "send ping")
	}
	var response wire.Response
	if err := readFrame(stream, &response); err != nil {
		return errors.Wrap(err, "receive pong")
	}
	if response.GetPong().GetSequence() != sequence {
		return errors.New("pong does not match the ping")
	}
	return nil
}
