package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// protocolVersion changes when two VMs of different versions can no longer speak
// to each other.
const protocolVersion = 1

const (
	handshakeTimeout = 1500 * time.Millisecond
	nonceLength      = 32
)

// Identity is what a VM says about itself when a link opens.
type Identity struct {
	VM          core.VMID
	Zone        core.ZoneID
	Incarnation core.Incarnation
	// Secret is the deployment's shared secret.
	Secret []byte
	// TLS, if set, encrypts links in both directions.
	TLS *tls.Config
}

// HandshakeError states why a link was refused.
type HandshakeError struct {
	Reason string
}

// Error returns the reason.
func (err *HandshakeError) Error() string {
	return "handshake refused: " + err.Reason
}

// dialHandshake proves the secret to the accepting side and checks its proof. The
// accepting side proves first, so that a dialler learns nothing from a VM that does
// not hold the secret.
func dialHandshake(conn net.Conn, self Identity) (*wire.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, errors.Wrap(err, "set handshake deadline")
	}
	first := hello(self)
	if err := writeFrame(conn, first); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	var second wire.Hello
	if err := readFrame(conn, &second); err != nil {
		return nil, errors.Wrap(err, "receive hello")
	}
	if err := checkHello(&second); err != nil {
		return nil, err
	}
	if !hmac.Equal(second.Proof, proof(self.Secret, "accept", first, &second)) {
		return nil, &HandshakeError{Reason: fmt.Sprintf("VM %q does not hold the shared secret", second.Vm)}
	}
	third := &wire.Hello{Vm: string(self.VM), Protocol: protocolVersion, Proof: proof(self.Secret, "dial", first, &second)}
	if err := writeFrame(conn, third); err != nil {
		return nil, errors.Wrap(err, "send proof")
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "clear handshake deadline")
	}
	return &second, nil
}

func acceptHandshake(conn net.Conn, self Identity) (core.VMID, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", errors.Wrap(err, "set handshake deadline")
	}
	var first wire.Hello
	if err := readFrame(conn, &first); err != nil {
		return "", errors.Wrap(err, "receive hello")
	}
	if err := checkHello(&first); err != nil {
		return "", err
	}
	second := hello(self)
	second.Proof = proof(self.Secret, "accept", &first, second)
	if err := writeFrame(conn, second); err != nil {
		return "", errors.Wrap(err, "send hello")
	}
	var third wire.Hello
	if err := readFrame(conn, &third); err != nil {
		return "", errors.Wrap(err, "receive proof")
	}
	if !hmac.Equal(third.Proof, proof(self.Secret, "dial", &first, second)) {
		return "", &HandshakeError{Reason: fmt.Sprintf("VM %q does not hold the shared secret", first.Vm)}
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return "", errors.Wrap(err, "clear handshake deadline")
	}
	return core.VMID(first.Vm), nil
}

func hello(self Identity) *wire.Hello {
	nonce := make([]byte, nonceLength)
	_, _ = rand.Read(nonce) // never fails, see crypto/rand
	return &wire.Hello{
		Vm:          string(self.VM),
		Zone:        string(self.Zone),
		Incarnation: string(self.Incarnation),
		Nonce:       nonce,
		Protocol:    protocolVersion,
	}
}

func checkHello(message *wire.Hello) error {
	if message.Protocol != protocolVersion {
		return &HandshakeError{Reason: fmt.Sprintf("VM %q speaks protocol %d, not %d", message.Vm, message.Protocol, protocolVersion)}
	}
	if message.Vm == "" || len(message.Nonce) != nonceLength {
		return &HandshakeError{Reason: "hello without a VM name or nonce"}
	}
	return nil
}

// proof binds the secret to both nonces, both names and the direction, so that a
// proof can neither be replayed nor reflected.
func proof(secret []byte, direction string, first, second *wire.Hello) []byte {
	mac := hmac.New(sha256.New, secret)
	fmt.Fprintf(mac, "%s\x00%q\x00%q\x00%x\x00%x", direction, first.Vm, second.Vm, first.Nonce, second.Nonce)
	return mac.Sum(nil)
}
