// Package tlsfile provides TLS configurations from PEM files and reloads changed files, so that
// certificates can be renewed without a restart.
package tlsfile

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("tls")

// checkInterval is the minimum time between two checks of the files' modification times.
const checkInterval = time.Second

// Files holds the paths of a server's PEM files.
type Files struct {
	Certificate string
	Key         string
}

// Loader holds the certificate loaded from the files. It is safe for concurrent use.
type Loader struct {
	files Files

	mu          sync.Mutex
	checkedAt   time.Time
	modifiedAt  time.Time
	certificate *tls.Certificate
}

// NewLoader returns a Loader that has loaded the files.
func NewLoader(files Files) (*Loader, error) {
	loader := &Loader{files: files}
	modified, err := loader.lastModified()
	if err != nil {
		return nil, err
	}
	return loader, loader.load(modified)
}

// lastModified returns the latest modification time of the files.
func (l *Loader) lastModified() (time.Time, error) {
	var last time.Time
	for _, path := range []string{l.files.Certificate, l.files.Key} {
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

// load loads the certificate. The caller holds mu or has exclusive access to l.
func (l *Loader) load(modified time.Time) error {
	certificate, err := tls.LoadX509KeyPair(l.files.Certificate, l.files.Key)
	if err != nil {
		return Error.Wrap(err)
	}
	l.certificate, l.modifiedAt = &certificate, modified
	return nil
}

// current returns the certificate, reloaded if the files have changed. If they are invalid or only
// partly written, the previous certificate stays in use.
func (l *Loader) current() *tls.Certificate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.checkedAt) >= checkInterval {
		l.checkedAt = now
		if modified, err := l.lastModified(); err == nil && !modified.Equal(l.modifiedAt) {
			_ = l.load(modified)
		}
	}
	return l.certificate
}

// Server returns a server configuration that always uses the current certificate.
func (l *Loader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.current(), nil
		},
	}
}
