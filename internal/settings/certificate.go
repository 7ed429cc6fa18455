package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// modTimeInterval is the minimum time between two checks of the modification times of the
// certificate files.
const modTimeInterval = time.Second

// Server returns the TLS configuration of a listener, or nil if the section is not
// enabled. The error reports certificate files that cannot be loaded. After the files
// change, later handshakes use the new certificate; if the new files cannot be loaded,
// the previous certificate stays in use.
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
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return source.latest(), nil },
	}, nil
}

// Peer returns the TLS configuration for both sides of peer links, or nil if the section
// is not enabled. The error reports files that cannot be loaded. Both sides present their
// certificate. With an AuthorityFile, a certificate from that file must have signed both;
// without one, only the proof of the shared secret authenticates the peer.
func (section TLS) Peer() (*tls.Config, error) {
	config, err := section.Server()
	if config == nil || err != nil {
		return nil, err
	}
	source, err := newCertificate(section)
	if err != nil {
		return nil, err
	}
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return source.latest(), nil }
	config.InsecureSkipVerify = true // peers are dialed by address; VerifyConnection checks the chain
	if section.AuthorityFile == "" {
		return config, nil
	}
	text, err := os.ReadFile(section.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s contains no PEM certificate", section.AuthorityFile)
	}
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error { return verifyPeer(state, authorities) }
	return config, nil
}

// verifyPeer checks that one of the authorities signed the peer's certificate.
func verifyPeer(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
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

// certificateSource caches a certificate and reloads it when its files change.
type certificateSource struct {
	section TLS
	now     func() time.Time

	mu       sync.Mutex // no other lock is acquired while it is held; guards the fields below
	loaded   *tls.Certificate
	modTimes [2]time.Time
	checked  time.Time
}

func newCertificate(section TLS) (*certificateSource, error) {
	source := &certificateSource{section: section, now: time.Now}
	if err := source.load(); err != nil {
		return nil, err
	}
	return source, nil
}

// latest returns the certificate after reloading changed files.
func (source *certificateSource) latest() *tls.Certificate {
	source.mu.Lock()
	defer source.mu.Unlock()
	if now := source.now(); now.Sub(source.checked) >= modTimeInterval {
		source.checked = now
		if source.readModTimes() != source.modTimes {
			_ = source.load() // a partially written pair is loaded at a later check
		}
	}
	return source.loaded
}

func (source *certificateSource) load() error {
	modTimes := source.readModTimes()
	pair, err := tls.LoadX509KeyPair(source.section.CertificateFile, source.section.KeyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	source.loaded, source.modTimes = &pair, modTimes
	return nil
}

// readModTimes returns the modification times of both files, zero for a missing file.
func (source *certificateSource) readModTimes() [2]time.Time {
	var modTimes [2]time.Time
	for i, path := range []string{source.section.CertificateFile, source.section.KeyFile} {
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}
