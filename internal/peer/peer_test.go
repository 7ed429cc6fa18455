package peer

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// testHandler answers attempt queries and blocks forwarded calls until their context ends.
type testHandler struct {
	// arrived is closed when a forwarded call arrives, and cancelled when its context ends.
	arrived   chan struct{}
	cancelled chan struct{}
}

func (handler testHandler) Handle(ctx context.Context, _ core.VMID, request *wire.Request, send func(*wire.Response) error) {
	if request.GetForward() != nil {
		close(handler.arrived)
		<-ctx.Done()
		close(handler.cancelled)
		return
	}
	_ = send(&wire.Response{Body: &wire.Response_AttemptState{AttemptState: &wire.AttemptState{Barred: true}}})
}

func discardLogger() *log.Logger {
	return log.New(io.Discard)
}

func identity(vm core.VMID, secret string) Identity {
	return Identity{VM: vm, Zone: "a", Incarnation: "run-1", Secret: []byte(secret)}
}

// serve starts a server as VM vm-1 and returns a client for it. The client also knows the
// server's address under the name vm-9.
func serve(t *testing.T, handler Handler, serverSecret, clientSecret string) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(Serve(listener, identity("vm-1", serverSecret), handler, discardLogger()))
	addresses := map[core.VMID]string{"vm-1": listener.Addr().String(), "vm-9": listener.Addr().String()}
	client, closeClient := NewClient(identity("vm-2", clientSecret), addresses, discardLogger())
	t.Cleanup(closeClient)
	return client
}

func queryRequest() *wire.Request {
	return &wire.Request{Body: &wire.Request_AttemptQuery{AttemptQuery: &wire.AttemptQuery{Attempt: "1"}}}
}

// TestHandshake guards against a link to a VM that does not hold the shared secret or has
// another name than the one dialled.
func TestHandshake(t *testing.T) {
	cases := []struct {
		name   string
		vm     core.VMID
		secret string
		ok     bool
	}{
		{"same secret", "vm-1", "secret", true},
		{"other secret", "vm-1", "guess", false},
		{"empty secret", "vm-1", "", false},
		{"other name", "vm-9", "secret", false},
		{"no address", "vm-3", "secret", false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			client := serve(t, testHandler{}, "secret", test.secret)
			_, err := client.Call(t.Context(), test.vm, queryRequest())
			is.Equal(err == nil, test.ok)
			var unreachable *UnreachableError
			if errors.As(err, &unreachable) {
				is.True(!unreachable.Sent) // no request was sent on a refused link
			}
		})
	}
}

// TestCancel guards against a handler that keeps running after the client has cancelled
// its call.
func TestCancel(t *testing.T) {
	is := is.New(t)
	handler := testHandler{arrived: make(chan struct{}), cancelled: make(chan struct{})}
	client := serve(t, handler, "secret", "secret")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-handler.arrived // a call that is cancelled before it is sent cancels no handler
		cancel()
	}()
	_, err := client.Call(ctx, "vm-1", &wire.Request{Body: &wire.Request_Forward{Forward: &wire.Forward{}}})
	var unreachable *UnreachableError
	is.True(errors.As(err, &unreachable))
	is.True(unreachable.Sent) // the outcome of the call is unknown
	is.Equal(unreachable.Incarnation, core.Incarnation("run-1"))
	select {
	case <-handler.cancelled:
	case <-time.After(10 * time.Second):
		t.Fatal("the handler was not cancelled")
	}
}

// TestForwardRoundTrip guards against a field of a call that its message does not carry.
func TestForwardRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		call := core.Call{
			Attempt:        core.AttemptID(rapid.String().Draw(t, "attempt")),
			Request:        core.RequestID(rapid.String().Draw(t, "request")),
			Customer:       core.CustomerID(rapid.String().Draw(t, "customer")),
			EntryVM:        core.VMID(rapid.String().Draw(t, "vm")),
			Group:          core.GroupID{Zone: "a", Kind: core.EngineGroup, Name: rapid.String().Draw(t, "name")},
			Pin:            core.Pin{AdapterVersion: core.AdapterVersion{Adapter: "x", Version: "1"}, Model: "m", Config: core.ConfigNumber(rapid.Uint64().Draw(t, "config"))},
			Priority:       core.Priority(rapid.Int32().Draw(t, "priority")),
			Deadline:       time.Duration(rapid.Int32().Draw(t, "deadline")) * time.Millisecond,
			Fingerprint:    "f",
			Method:         "POST",
			Path:           rapid.String().Draw(t, "path"),
			Headers:        []core.Header{{Name: "A", Value: rapid.String().Draw(t, "header")}},
			Body:           rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "body"),
			ResumeOffset:   core.Tokens(rapid.Int64().Draw(t, "offset")),
			IdempotencyKey: "key",
			Repeatable:     rapid.Bool().Draw(t, "repeatable"),
			Suspect:        rapid.Bool().Draw(t, "suspect"),
			Prefixes:       rapid.SliceOfN(rapid.Uint64(), 1, 4).Draw(t, "prefixes"),
			CrossedZone:    rapid.Bool().Draw(t, "crossed"),
		}
		var buffer bytes.Buffer
		if err := writeFrame(&buffer, ForwardMessage(call)); err != nil {
			t.Fatal(err)
		}
		var message wire.Forward
		if err := readFrame(&buffer, &message); err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(ForwardMessage(CallFromMessage(&message)), ForwardMessage(call)) {
			t.Fatalf("got %+v, want %+v", CallFromMessage(&message), call)
		}
	})
}

// FuzzReadFrame guards against an untrusted message that causes a panic or is accepted
// although it is larger than MaxMessageBytes.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0})
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, input []byte) {
		var request wire.Request
		err := readFrame(bytes.NewReader(input), &request)
		if err == nil && proto.Size(&request) > MaxMessageBytes {
			t.Fatal("message over the limit was accepted")
		}
	})
}

// testTLS returns a configuration with a self-signed certificate, usable by both sides.
func testTLS(t *testing.T) *tls.Config {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	is.NoErr(err)
	pair := tls.Certificate{Certificate: [][]byte{certificate}, PrivateKey: key}
	return &tls.Config{Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true} //nolint:gosec // the shared secret authenticates the peer
}

// TestTLS guards against a link between a VM with TLS and one without it.
func TestTLS(t *testing.T) {
	config := testTLS(t)
	for _, test := range []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"both sides", config, config, true},
		{"server only", config, nil, false},
		{"client only", nil, config, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server, self := identity("vm-1", "secret"), identity("vm-2", "secret")
			server.TLS, self.TLS = test.server, test.client
			t.Cleanup(Serve(listener, server, testHandler{}, discardLogger()))
			client, closeClient := NewClient(self, map[core.VMID]string{"vm-1": listener.Addr().String()}, discardLogger())
			t.Cleanup(closeClient)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err = client.Call(ctx, "vm-1", queryRequest())
			is.Equal(err == nil, test.ok)
		})
	}
}
