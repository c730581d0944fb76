// Package tlsfile makes TLS configurations from PEM files and reads the files
// again when they change, so that certificates are renewed without a restart.
package tlsfile

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("tls")

// checkInterval bounds how often the files' times are looked at.
const checkInterval = time.Second

// Files names the PEM files of one end.
type Files struct {
	Certificate string
	Key         string
	// Authority verifies the other end; empty for a server without client
	// certificates.
	Authority string
}

// Loader holds the current content of the files. It is safe for concurrent use.
type Loader struct {
	files Files

	mu          sync.Mutex
	checked     time.Time
	modified    time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// NewLoader reads the files for the first time.
func NewLoader(files Files) (*Loader, error) {
	loader := &Loader{files: files}
	modified, err := loader.lastModified()
	if err != nil {
		return nil, err
	}
	return loader, loader.read(modified)
}

func (l *Loader) lastModified() (time.Time, error) {
	var last time.Time
	for _, path := range []string{l.files.Certificate, l.files.Key, l.files.Authority} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return last, Error.Wrap(err)
		}
		if info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last, nil
}

// read loads the files. The caller holds mu, or is the only user.
func (l *Loader) read(modified time.Time) error {
	certificate, err := tls.LoadX509KeyPair(l.files.Certificate, l.files.Key)
	if err != nil {
		return Error.Wrap(err)
	}
	var authority *x509.CertPool
	if l.files.Authority != "" {
		source, err := os.ReadFile(l.files.Authority)
		if err != nil {
			return Error.Wrap(err)
		}
		authority = x509.NewCertPool()
		if !authority.AppendCertsFromPEM(source) {
			return Error.New("%s: no certificate found", l.files.Authority)
		}
	}
	l.certificate, l.authority, l.modified = &certificate, authority, modified
	return nil
}

// current returns the content, read anew if the files have changed. Files that
// are broken or half written leave the earlier content in use.
func (l *Loader) current() (*tls.Certificate, *x509.CertPool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.checked) >= checkInterval {
		l.checked = now
		if modified, err := l.lastModified(); err == nil && !modified.Equal(l.modified) {
			_ = l.read(modified)
		}
	}
	return l.certificate, l.authority
}

// Server returns the configuration of a server for callers.
func (l *Loader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := l.current()
			return certificate, nil
		},
	}
}

// Peer returns the configuration of a node towards other nodes: both ends show
// a certificate of the same authority. Names are not checked, since machines
// are replaced at any time and known by address only; whoever holds a
// certificate of the authority is a node.
func (l *Loader) Peer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// Verification is done below, against the authority as it is now.
		InsecureSkipVerify: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := l.current()
			return certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := l.current()
			return certificate, nil
		},
		VerifyConnection: l.verify,
	}
}

// verify checks the other end's certificate. Its error is the finding that
// both ends log.
func (l *Loader) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return Error.New("the peer shows no certificate")
	}
	_, authority := l.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return Error.New("peer certificate of %q refused: %v", state.PeerCertificates[0].Subject.CommonName, err)
	}
	return nil
}
