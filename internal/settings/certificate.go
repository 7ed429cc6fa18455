package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// reloadInterval bounds how often the files of a certificate are looked at.
const reloadInterval = time.Second

// Server returns the configuration of a listener, or nil if the section is not
// enabled. A changed certificate is used from the next handshake on; if the new
// files cannot be read, the old certificate stays in use.
func (section TLS) Server() (*tls.Config, error) {
	if !section.Enabled() {
		return nil, nil
	}
	source, err := newCertificate(section)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return source.current(), nil },
	}, nil
}

// Peer returns the configuration for both sides of peer links, or nil if the
// section is not enabled. Both sides show their certificate. With an
// AuthorityFile both must be signed by it; without one, the proof of the shared
// secret alone states who the peer is.
func (section TLS) Peer() (*tls.Config, error) {
	config, err := section.Server()
	if config == nil || err != nil {
		return nil, err
	}
	source, err := newCertificate(section)
	if err != nil {
		return nil, err
	}
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return source.current(), nil }
	config.InsecureSkipVerify = true // peers are dialled by address; VerifyConnection checks the chain
	if section.AuthorityFile == "" {
		return config, nil
	}
	text, err := os.ReadFile(section.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s holds no certificate", section.AuthorityFile)
	}
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error { return verify(state, authorities) }
	return config, nil
}

func verify(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer shows no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return errors.Wrap(err, "verify peer certificate")
	}
	return nil
}

// certificate holds a certificate and reads it again when its files change.
type certificate struct {
	section TLS
	now     func() time.Time

	mu      sync.Mutex // taken alone
	pair    *tls.Certificate
	stamp   [2]time.Time
	checked time.Time
}

func newCertificate(section TLS) (*certificate, error) {
	source := &certificate{section: section, now: time.Now}
	if err := source.load(); err != nil {
		return nil, err
	}
	return source, nil
}

func (source *certificate) current() *tls.Certificate {
	source.mu.Lock()
	defer source.mu.Unlock()
	if now := source.now(); now.Sub(source.checked) >= reloadInterval {
		source.checked = now
		if source.stamps() != source.stamp {
			_ = source.load() // a half-written pair is read again at the next look
		}
	}
	return source.pair
}

func (source *certificate) load() error {
	stamp := source.stamps()
	pair, err := tls.LoadX509KeyPair(source.section.CertificateFile, source.section.KeyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	source.pair, source.stamp = &pair, stamp
	return nil
}

func (source *certificate) stamps() [2]time.Time {
	var stamps [2]time.Time
	for i, path := range []string{source.section.CertificateFile, source.section.KeyFile} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}
