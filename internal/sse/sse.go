// Package sse reads server-sent events (HTML Living Standard, section 9.2) as whole events, so that
// an answer can be relayed and resumed at event boundaries.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrTruncated reports that the input ended in the middle of an event.
var ErrTruncated = errors.New("event stream ended inside an event")

// ErrTooLong reports an event of more than MaxEventBytes.
var ErrTooLong = errors.New("event is too long")

const (
	// MaxEventBytes bounds the size of one event.
	MaxEventBytes = 256 << 10
	bufferBytes   = 4 << 10
)

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
)

// Event is one event. Its slices are valid until the next call of Next.
type Event struct {
	// ID is the number in the event's id field, or the ID of the previous event if it has none.
	ID int
	// HasID reports whether the event has a numeric id field of its own.
	HasID bool
	// Raw is the complete event, including the blank line that ends it.
	Raw []byte
	// Data is the content of the event's data fields, joined by line feeds.
	Data []byte
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	input  *bufio.Reader
	raw    []byte
	data   []byte
	lastID int
}

// NewReader returns a Reader of the events in input.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(input, bufferBytes)}
}

// Buffered reports whether more input has already arrived.
func (r *Reader) Buffered() bool { return r.input.Buffered() > 0 }

// Next returns the next event. It returns io.EOF if the input ends between two events and
// ErrTruncated if it ends inside one.
func (r *Reader) Next() (Event, error) {
	r.raw, r.data = r.raw[:0], r.data[:0]
	event := Event{}
	lines := 0
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.endError(err)
		}
		if len(line) == 0 {
			break
		}
		if value, ok := field(line, fieldID); ok {
			if id, err := strconv.Atoi(string(value)); err == nil {
				r.lastID = id
				event.HasID = true
			}
		} else if value, ok := field(line, fieldData); ok {
			if lines > 0 {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, value...)
			lines++
		}
	}
	event.ID, event.Raw, event.Data = r.lastID, r.raw, r.data
	return event, nil
}

// readLine appends a line to raw and returns it without its line ending.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.raw)
	for {
		fragment, err := r.input.ReadSlice('\n')
		r.raw = append(r.raw, fragment...)
		if len(r.raw) > MaxEventBytes {
			return nil, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(r.raw[start:], "\r\n"), nil
	}
}

func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(r.raw) > 0 {
		return ErrTruncated
	}
	return err
}

func field(line, name []byte) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, name)
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}
