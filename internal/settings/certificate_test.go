package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writePair writes a new self-signed certificate and key with the given serial number and
// modification time.
func writePair(t *testing.T, folder string, serial int64, modified time.Time) TLS {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	section := TLS{CertificateFile: filepath.Join(folder, "certificate.pem"), KeyFile: filepath.Join(folder, "key.pem")}
	for path, block := range map[string]*pem.Block{
		section.CertificateFile: {Type: "CERTIFICATE", Bytes: certificate},
		section.KeyFile:         {Type: "PRIVATE KEY", Bytes: private},
	} {
		is.NoErr(os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
		is.NoErr(os.Chtimes(path, modified, modified))
	}
	return section
}

func serialOf(t *testing.T, pair *tls.Certificate) int64 {
	parsed, err := x509.ParseCertificate(pair.Certificate[0])
	is.New(t).NoErr(err)
	return parsed.SerialNumber.Int64()
}

// TestReload guards against a renewed certificate that takes effect only after a restart,
// and against a partially written pair that makes a working listener fail.
func TestReload(t *testing.T) {
	is := is.New(t)
	folder, start := t.TempDir(), time.Unix(1_000_000, 0)
	source, err := newCertificate(writePair(t, folder, 1, start))
	is.NoErr(err)
	now := start
	source.now = func() time.Time { return now }
	is.Equal(serialOf(t, source.latest()), int64(1))
	writePair(t, folder, 2, start.Add(time.Minute))
	now = now.Add(2 * time.Second)
	is.Equal(serialOf(t, source.latest()), int64(2))
	is.NoErr(os.WriteFile(source.section.KeyFile, []byte("half"), 0o600))
	now = now.Add(2 * time.Second)
	is.Equal(serialOf(t, source.latest()), int64(2))
}

// TestPeerTLS guards against peer links that accept a certificate signed by another
// authority.
func TestPeerTLS(t *testing.T) {
	is := is.New(t)
	own, other := writePair(t, t.TempDir(), 1, time.Now()), writePair(t, t.TempDir(), 2, time.Now())
	own.AuthorityFile = own.CertificateFile
	other.AuthorityFile = own.CertificateFile
	config, err := own.Peer()
	is.NoErr(err)
	untrusted, err := other.Peer()
	is.NoErr(err)
	is.NoErr(handshake(t, config, config))
	is.True(handshake(t, config, untrusted) != nil)
}

// handshake connects client to server over TLS and returns the error of the server or
// else that of the client.
func handshake(t *testing.T, server, client *tls.Config) error {
	is := is.New(t)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	is.NoErr(err)
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			defer conn.Close()
			err = conn.(*tls.Conn).Handshake()
		}
		done <- err
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err == nil {
		defer conn.Close()
	}
	if serverErr := <-done; serverErr != nil {
		return serverErr
	}
	return err
}
