package ingress

import (
	"errors"
	"io"
)

// body tells whether a request's body has been read whole.
type body struct {
	io.ReadCloser
	conn *conn
	// complete is set when the whole body has been read.
	complete bool
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}
