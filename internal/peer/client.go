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
	// pingTimeout is the silence after which a link is closed and dialled anew.
	pingTimeout = 1500 * time.Millisecond
	dialTimeout = 1500 * time.Millisecond
	// firstDial bounds the first dial after an open link. The system sends an opening
	// packet that was lost again after 1 s; a fresh dial reaches a VM sooner that was
	// down when the packet came.
	firstDial = 100 * time.Millisecond
	// writeTimeout bounds the write of one message. A reader that takes nothing for
	// so long has filled its window and holds up the sender.
	writeTimeout = 5 * time.Second
	// redialInterval is the time for which a failed dial answers for the next calls,
	// so that they go elsewhere at once and do not wait for a peer that is gone. It is
	// shorter after the first dials.
	redialInterval = 250 * time.Millisecond
)

// sessionConfig switches yamux's own keep-alive off, since the ping of this package
// also decides when a fresh connection is dialled.
func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = pingTimeout
	// The ping of this package notices a silent link first, and ends its streams before
	// the session; these timeouts would end the session at once.
	config.StreamOpenTimeout = 10 * pingTimeout
	config.StreamCloseTimeout = 10 * pingTimeout
	config.MaxStreamWindowSize = 1 << 20
	config.LogOutput = io.Discard
	return config
}

// UnreachableError is returned if a peer could not be asked or did not answer.
type UnreachableError struct {
	VM core.VMID
	// Sent is false if no byte of the request left this VM.
	Sent bool
	// Incarnation is that of the peer to which the request was sent.
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

// FailureError is a peer's answer that it could not handle a request.
type FailureError struct {
	VM      core.VMID
	Message string
}

// Error returns the name of the VM and its message.
func (err *FailureError) Error() string {
	return fmt.Sprintf("VM %q: %s", err.VM, err.Message)
}

// Client sends requests to other VMs over one link to each.
type Client struct {
	self      Identity
	addresses map[core.VMID]string
	logger    *log.Logger
	ctx       context.Context
	running   sync.WaitGroup

	// mutex guards links and is held for no other lock.
	mutex sync.Mutex
	links map[core.VMID]*link
}

// NewClient returns a client for the peers at the given addresses and a function
// that closes all links. Links are dialled with the first request.
func NewClient(self Identity, addresses map[core.VMID]string, logger *log.Logger) (*Client, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	client := &Client{self: self, addresses: addresses, logger: logger, ctx: ctx, links: make(map[core.VMID]*link)}
	return client, func() {
		cancel() // ends the ping of each link, which closes it
		client.running.Wait()
	}
}

// Call sends a request and returns the one response. It returns an
// *UnreachableError if the peer does not answer before the context ends, and a
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

// Stream sends a request and passes every response to receive until it returns
// false. It returns an *UnreachableError if the link is lost or the context ends
// before, and a *FailureError if the peer could not handle the request.
func (client *Client) Stream(ctx context.Context, vm core.VMID, request *wire.Request, receive func(*wire.Response) bool) error {
	link, err := client.link(ctx, vm)
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
	if err := writeBounded(stream, request); err != nil {
		return &UnreachableError{VM: vm, Sent: true, Incarnation: link.incarnation, Err: cause(ctx, err)}
	}
	for {
		var response wire.Response
		if err := readFrame(stream, &response); err != nil {
			return &UnreachableError{VM: vm, Sent: true, Incarnation: link.incarnation, Err: cause(ctx, err)}
		}
		if failure := response.GetFailure(); failure != nil {
			return &FailureError{VM: vm, Message: failure.Message}
		}
		if !receive(&response) {
			return nil
		}
	}
}

// Drop closes the link to a VM, so that the next request dials a fresh connection.
func (client *Client) Drop(vm core.VMID) {
	client.mutex.Lock()
	link := client.links[vm]
	client.mutex.Unlock()
	if link != nil && link.isReady() {
		link.close()
	}
}

func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// link returns the open link to a VM. One goroutine dials; the others wait for it,
// unless the last dial failed: then they get its error while a new one runs.
func (client *Client) link(ctx context.Context, vm core.VMID) (*link, error) {
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
			current.lastError = previous.failure()
			current.failed = previous.failedDials()
		}
		client.links[vm] = current
		client.running.Go(func() { client.dial(vm, address, current) })
	}
	client.mutex.Unlock()
	if current.lastError != nil && !current.isReady() {
		return nil, current.lastError
	}
	select {
	case <-current.ready:
		return current, current.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// address returns where a VM listens. A VM that the settings do not name is known by its
// address.
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
	link.err = client.open(vm, address, link)
	if link.err != nil {
		link.failedAt = time.Now()
		link.close()
		close(link.ready)
		return
	}
	close(link.ready)
	client.ping(vm, link)
}

func (client *Client) open(vm core.VMID, address string, link *link) error {
	dialer := net.Dialer{Timeout: dialTime(link.failed)}
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

// ping checks the link until it is closed or does not answer in time.
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
// before ready is closed; lastError, the error of the dial before, and failed do not change.
type link struct {
	lastError error
	// failed is the number of dials in a row that failed before this one.
	failed      int
	failedAt    time.Time
	ready       chan struct{}
	closed      chan struct{}
	once        sync.Once
	conn        net.Conn
	streams     streams
	session     *yamux.Session
	incarnation core.Incarnation
	err         error
}

func (link *link) isReady() bool {
	select {
	case <-link.ready:
		return true
	default:
		return false
	}
}

// failure returns the error of the dial, or nil if the link was open or is dialled.
func (link *link) failure() error {
	if !link.isReady() {
		return nil
	}
	return link.err
}

// failedDials counts the dials that have failed in a row, this one included.
func (link *link) failedDials() int {
	if link.failure() == nil {
		return 0
	}
	return link.failed + 1
}

// dialTime bounds a dial after a number of others that failed: a link may be slow.
func dialTime(failed int) time.Duration {
	return min(dialTimeout, firstDial<<min(failed, 8))
}

// mayRedial reports whether a closed link may be dialled anew. The first dial after
// an open link is never held back: it decides whether the peer is reachable.
func (link *link) mayRedial(now time.Time) bool {
	return link.failure() == nil || now.Sub(link.failedAt) >= min(redialInterval, dialTime(link.failed))
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
			link.conn.Close() // which ends the session, see batchConn
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
