package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/clock"
)

var (
	// ErrMemoryShort reports that there is no room for a request's body. The request has not been read.
	ErrMemoryShort = errors.New("memory is short")
	// ErrStalled reports that a client made no progress while others needed room. The request has not been read.
	ErrStalled = errors.New("the client made no progress while memory was short")
)

// body counts what arrives of a request's body. The bytes count until the request has been answered, unless the
// handler tells what it keeps.
type body struct {
	io.ReadCloser
	conn *conn
	ctx  context.Context
	// read is the number of bytes that have arrived, sinceProgress that of those since the last progress.
	read, sinceProgress int
	// tells is set once the handler has told what it keeps.
	tells bool
	// idleSince is when the handler last stopped waiting for the client.
	idleSince time.Time
	// complete is set when the whole body has been read.
	complete bool
}

type bodyKey struct{}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	if !b.beginRead() {
		return 0, Error.Wrap(ErrStalled)
	}
	n, err := b.ReadCloser.Read(buffer)
	b.arrived(n)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	if !b.endRead() {
		return 0, Error.Wrap(ErrStalled)
	}
	if !b.tells && n > 0 {
		if full := b.hold(b.read); full != nil {
			return 0, full
		}
	}
	return n, err
}

// beginRead begins to wait for the client. Time that the handler took is not the client's.
func (b *body) beginRead() bool {
	c := b.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case ended, gone:
		return false
	case processing:
		c.phase = readingBody
		c.since = c.since.Add(clock.Since(b.idleSince))
	}
	return true
}

// arrived counts bytes of the body.
func (b *body) arrived(bytes int) {
	b.read += bytes
	b.sinceProgress += bytes
	if b.sinceProgress >= progressBytes {
		b.sinceProgress = 0
		b.conn.progressed()
	}
}

// endRead ends the wait for the client. A request that was ended for others after the last byte of its body had
// arrived goes on.
func (b *body) endRead() bool {
	b.idleSince = clock.Now()
	c := b.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case gone:
		return false
	case ended:
		if !b.complete {
			return false
		}
		_ = c.SetReadDeadline(time.Time{})
		c.phase = processing
	case readingBody:
		c.phase = processing
	}
	return true
}

// hold sets how many bytes of the body the node keeps, beside the head.
func (b *body) hold(bytes int) error {
	err := b.conn.hold(b.ctx, b.conn.headCost()+bytes)
	if errors.Is(err, bytebudget.ErrFull) {
		b.conn.guard.ended(MemoryShort, b.conn)
		return Error.Wrap(ErrMemoryShort)
	}
	return err
}

// Keep sets how many bytes the handler of a request keeps, from now on in place of all that has arrived of its body:
// for a handler that passes the body on, or makes copies of it. It returns ErrMemoryShort if there is no room. The
// context is that of the request; for any other, Keep does nothing.
func Keep(ctx context.Context, bytes int) error {
	b, _ := ctx.Value(bodyKey{}).(*body)
	if b == nil {
		return nil
	}
	b.tells = true
	return b.hold(bytes)
}

const (
	// segmentBytes is the unit in which a body of unknown or large size is read.
	segmentBytes = 64 << 10
	// smallBody is the announced size in bytes up to which a body is read into its final place.
	smallBody = 16 << 10
)

// segments are reused, so that bodies leave no garbage but themselves.
var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

// joining lets one body at a time be in memory twice.
var joining sync.Mutex

// ReadBody reads the whole body of a request, up to limit bytes; 0 means no limit. It allocates what has arrived,
// not what is announced. A larger body is an *http.MaxBytesError; nothing is read of one that announces it.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	reader := io.Reader(r.Body)
	if limit > 0 {
		if r.ContentLength > limit {
			return nil, &http.MaxBytesError{Limit: limit}
		}
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	if r.ContentLength < 0 || r.ContentLength > smallBody {
		return readSegments(reader)
	}
	// One byte more lets the end be seen with the last bytes.
	whole := make([]byte, r.ContentLength+1)
	n, err := fill(reader, whole)
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return whole[:n], nil
}

// fill reads until buffer is full or there is an error, such as io.EOF.
func fill(reader io.Reader, buffer []byte) (int, error) {
	size := 0
	for size < len(buffer) {
		n, err := reader.Read(buffer[size:])
		size += n
		if err != nil {
			return size, err
		}
	}
	return size, nil
}

// readSegments reads to the end and joins what it has read.
func readSegments(reader io.Reader) ([]byte, error) {
	var parts []*[segmentBytes]byte
	defer func() {
		for _, part := range parts {
			segments.Put(part)
		}
	}()
	size := 0
	for {
		part := segments.Get().(*[segmentBytes]byte)
		parts = append(parts, part)
		n, err := fill(reader, part[:])
		size += n
		if errors.Is(err, io.EOF) {
			return join(parts, size), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// join returns the first size bytes of all parts.
func join(parts []*[segmentBytes]byte, size int) []byte {
	joining.Lock()
	defer joining.Unlock()
	whole := make([]byte, 0, size)
	for _, part := range parts {
		whole = append(whole, part[:min(segmentBytes, size-len(whole))]...)
	}
	return whole
}
