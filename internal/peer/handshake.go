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

// protocolVersion is incremented by every incompatible change of the protocol. VMs with
// different versions refuse each other's links.
const protocolVersion = 1

const (
	handshakeTimeout = 1500 * time.Millisecond
	nonceLength      = 32
)

// Identity describes a VM to its peers and holds the credentials of its links.
type Identity struct {
	VM          core.VMID
	Zone        core.ZoneID
	Incarnation core.Incarnation
	// Secret is the deployment's shared secret.
	Secret []byte
	// TLS, if not nil, is used for the links that the VM dials and accepts.
	TLS *tls.Config
}

// HandshakeError is returned if a link was refused during the handshake.
type HandshakeError struct {
	Reason string
}

// Error returns a message with the reason.
func (err *HandshakeError) Error() string {
	return "handshake refused: " + err.Reason
}

// dialHandshake performs the dialling side of the handshake and returns the hello of the
// accepting side. The accepting side sends its proof first, so that the dialling side
// reveals no proof to a VM that does not hold the secret. It returns a *HandshakeError if
// the other side's hello is invalid or its proof is wrong.
func dialHandshake(conn net.Conn, self Identity) (*wire.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, errors.Wrap(err, "set handshake deadline")
	}
	dialHello := hello(self)
	if err := writeFrame(conn, dialHello); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	var acceptHello wire.Hello
	if err := readFrameWithin(conn, &acceptHello, maxHelloBytes); err != nil {
		return nil, errors.Wrap(err, "receive hello")
	}
	if err := validateHello(&acceptHello); err != nil {
		return nil, err
	}
	if !hmac.Equal(acceptHello.Proof, proof(self.Secret, "accept", dialHello, &acceptHello)) {
		return nil, &HandshakeError{Reason: fmt.Sprintf("VM %q does not hold the shared secret", acceptHello.Vm)}
	}
	dialProof := &wire.Hello{Vm: string(self.VM), Protocol: protocolVersion, Proof: proof(self.Secret, "dial", dialHello, &acceptHello)}
	if err := writeFrame(conn, dialProof); err != nil {
		return nil, errors.Wrap(err, "send proof")
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "clear handshake deadline")
	}
	return &acceptHello, nil
}

// acceptHandshake performs the accepting side of the handshake and returns the name of the
// dialling VM. It returns a *HandshakeError if the hello of that VM is invalid or its proof
// is wrong.
func acceptHandshake(conn net.Conn, self Identity) (core.VMID, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", errors.Wrap(err, "set handshake deadline")
	}
	var dialHello wire.Hello
	if err := readFrameWithin(conn, &dialHello, maxHelloBytes); err != nil {
		return "", errors.Wrap(err, "receive hello")
	}
	if err := validateHello(&dialHello); err != nil {
		return "", err
	}
	acceptHello := hello(self)
	acceptHello.Proof = proof(self.Secret, "accept", &dialHello, acceptHello)
	if err := writeFrame(conn, acceptHello); err != nil {
		return "", errors.Wrap(err, "send hello")
	}
	var dialProof wire.Hello
	if err := readFrameWithin(conn, &dialProof, maxHelloBytes); err != nil {
		return "", errors.Wrap(err, "receive proof")
	}
	if !hmac.Equal(dialProof.Proof, proof(self.Secret, "dial", &dialHello, acceptHello)) {
		return "", &HandshakeError{Reason: fmt.Sprintf("VM %q does not hold the shared secret", dialHello.Vm)}
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return "", errors.Wrap(err, "clear handshake deadline")
	}
	return core.VMID(dialHello.Vm), nil
}

func hello(self Identity) *wire.Hello {
	nonce := make([]byte, nonceLength)
	_, _ = rand.Read(nonce) // rand.Read never returns an error
	return &wire.Hello{
		Vm:          string(self.VM),
		Zone:        string(self.Zone),
		Incarnation: string(self.Incarnation),
		Nonce:       nonce,
		Protocol:    protocolVersion,
	}
}

// validateHello returns a *HandshakeError if a hello has another protocol version, no VM
// name or a nonce of the wrong length.
func validateHello(message *wire.Hello) error {
	if message.Protocol != protocolVersion {
		return &HandshakeError{Reason: fmt.Sprintf("VM %q speaks protocol %d, not %d", message.Vm, message.Protocol, protocolVersion)}
	}
	if message.Vm == "" || len(message.Nonce) != nonceLength {
		return &HandshakeError{Reason: "hello without a VM name or nonce"}
	}
	return nil
}

// proof returns the HMAC-SHA256 of the direction, both VM names and both nonces under the
// secret. The nonces prevent a replay, and the direction prevents a proof from being
// reflected to its sender.
func proof(secret []byte, direction string, dialHello, acceptHello *wire.Hello) []byte {
	mac := hmac.New(sha256.New, secret)
	fmt.Fprintf(mac, "%s\x00%q\x00%q\x00%x\x00%x", direction, dialHello.Vm, acceptHello.Vm, dialHello.Nonce, acceptHello.Nonce)
	return mac.Sum(nil)
}
