package node

import (
	"crypto/tls"
	"encoding/hex"

	"github.com/wheelhoist/wheelhoist/internal/settings"
	"github.com/wheelhoist/wheelhoist/internal/tlsfile"
)

func loadTLS(files settings.TLSFiles) (*tlsfile.Loader, error) {
	return tlsfile.NewLoader(tlsfile.Files{
		Certificate: files.Certificate, Key: files.Key, Authority: files.Authority,
	})
}

// peerTLS returns the configuration that secures traffic between nodes, or nil.
func (n *Node) peerTLS() (*tls.Config, error) {
	if !n.settings.TLS.Peer.Set() {
		return nil, nil
	}
	loader, err := loadTLS(n.settings.TLS.Peer)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return loader.Peer(), nil
}

// datagramKey returns the key that authenticates datagrams between nodes.
func (n *Node) datagramKey() ([]byte, error) {
	key, err := hex.DecodeString(n.settings.TLS.DatagramKey)
	return key, Error.Wrap(err)
}

// secureListener wraps the callers' listener with TLS when configured.
func (n *Node) secureListener() error {
	if !n.settings.TLS.Serve.Set() {
		return nil
	}
	loader, err := loadTLS(n.settings.TLS.Serve)
	if err != nil {
		return Error.Wrap(err)
	}
	n.listener = tls.NewListener(n.listener, loader.Server())
	return nil
}
