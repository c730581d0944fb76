package forward

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
)

const (
	// maxBufferedBody bounds an answer that is buffered until it is complete, in bytes. It is what one
	// holder gets of a whole budget.
	maxBufferedBody = bytebudget.DefaultLimit / 2
	// maxUsualBody is the size in bytes above which an answer does not wait for room, and is to blame itself if
	// there is none and it is much larger than others.
	maxUsualBody = 1 << 20
	// minChunk and maxChunk are the sizes in bytes of the first chunk and of the largest ones.
	minChunk = 4 << 10
	maxChunk = 64 << 10
)

// errTooLong reports a body that is longer than any answer may be.
var errTooLong = errors.New("answer is too long")

// heldBody is the body of an answer in memory, in chunks, so that it grows without being copied.
type heldBody struct {
	share  bytebudget.Share
	chunks [][]byte
	// size is the number of bytes read, allocated that of all chunks.
	size, allocated int
}

// read reads a body to its end.
func (b *heldBody) read(ctx context.Context, body io.Reader) error {
	for {
		chunk, err := b.newChunk(ctx)
		if err != nil {
			return err
		}
		read, err := fill(chunk, body)
		b.size += read
		b.chunks = append(b.chunks, chunk[:read])
		if b.size > maxBufferedBody {
			return fmt.Errorf("%w: over %d bytes", errTooLong, maxBufferedBody)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// newChunk returns memory for more of the body.
func (b *heldBody) newChunk(ctx context.Context) ([]byte, error) {
	size := min(max(minChunk, b.allocated), maxChunk)
	if b.allocated >= maxBufferedBody {
		// Only the end is left, or a byte too many.
		size = 1
	}
	bytes := min(b.allocated+size, maxBufferedBody)
	if b.size > maxUsualBody {
		if err := b.share.Hold(bytes); err != nil {
			return nil, b.noRoomError(err)
		}
	} else if err := b.share.Await(ctx, bytes); err != nil {
		return nil, err
	}
	b.allocated += size
	return make([]byte, size), nil
}

// noRoomError returns the error of a large body that finds no room: the body is to blame if it is much larger
// than others.
func (b *heldBody) noRoomError(err error) error {
	if b.share.Excessive() {
		return fmt.Errorf("%w: over %d bytes beside other answers: %w", errTooLong, b.size, err)
	}
	return err
}

// fill reads until a chunk is full or the body ends. Unlike io.ReadFull, it returns io.EOF only at the end of
// the body, and the body's own errors unchanged.
func fill(chunk []byte, body io.Reader) (read int, err error) {
	for read < len(chunk) && err == nil {
		var n int
		n, err = body.Read(chunk[read:])
		read += n
	}
	return read, err
}

// writeTo relays the body, and gives back the memory of what has been sent.
func (b *heldBody) writeTo(sink Sink) error {
	for i, chunk := range b.chunks {
		b.chunks[i] = nil
		if err := sink.Write(chunk, i < len(b.chunks)-1); err != nil {
			return err
		}
		b.allocated -= cap(chunk)
		if err := b.share.Hold(b.allocated); err != nil {
			return err
		}
	}
	return nil
}

// HeldBytes returns how many bytes of answers are in memory, beyond a small part of each.
func (f *Forwarder) HeldBytes() int64 { return f.answers.Used() }
