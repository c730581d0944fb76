// Package tlsfile makes TLS configurations from PEM files and reads the files
// again when they change, so that certificates are renewed without a restart.
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

// checkInterval bounds how often the files' times are looked at.
const checkInterval = time.Second

// Files names the PEM files of a server.
type Files struct {
	Certificate string
	Key         string
}

// Loader holds the current content of the files. It is safe for concurrent use.
type Loader struct {
	files Files

	mu          sync.Mutex
	checkedAt   time.Time
	modifiedAt  time.Time
	certificate *tls.Certificate
}

// NewLoader reads the files for the first time.
func NewLoader(files Files) (*Loader, error) {
	loader := &Loader{files: files}
	modified, err := loader.lastModified()
	if err != nil {
		return nil, err
	}
	return loader, loader.load(modified)
}

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

// load loads the files. The caller holds mu, or is the only user.
func (l *Loader) load(modified time.Time) error {
	certificate, err := tls.LoadX509KeyPair(l.files.Certificate, l.files.Key)
	if err != nil {
		return Error.Wrap(err)
	}
	l.certificate, l.modifiedAt = &certificate, modified
	return nil
}

// current returns the content, read anew if the files have changed. Files that
// are broken or half written leave the earlier content in use.
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

// Server returns the configuration of a server for callers.
func (l *Loader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.current(), nil
		},
	}
}
