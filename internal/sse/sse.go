// Package sse reads server-sent events (HTML Living Standard, section 9.2) as whole events, so that
// an answer can be relayed and resumed at event boundaries. Blank lines and comments between two events
// are no events: they are part of the one after them.
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
	// MaxEventBytes bounds the size of one event with the blank lines and comments before it.
	MaxEventBytes = 256 << 10
	bufferBytes   = 4 << 10
	// keptBytes is the size above which the memory of an event is not kept for the next one.
	keptBytes = 16 << 10
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
	// Raw is the complete event, including the blank line that ends it, and all bytes since the event before.
	Raw []byte
	// Data is the content of the event's data fields, joined by line feeds.
	Data []byte
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	// Hold, if set, is called with the number of bytes that the reader is about to keep in memory. An error
	// ends the reading.
	Hold func(bytes int) error

	input *bufio.Reader
	raw   []byte
	data  []byte
	// between is how much of raw belongs to no event: whole lines up to a blank one.
	between int
	lastID  int
}

// NewReader returns a Reader of the events in input.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(input, bufferBytes)}
}

// Buffered reports whether more input has already arrived.
func (r *Reader) Buffered() bool { return r.input.Buffered() > 0 }

// Rest returns what came after the last event, once Next has returned io.EOF: blank lines and comments.
func (r *Reader) Rest() []byte { return r.raw }

// Next returns the next event. It returns io.EOF if the input ends between two events and
// ErrTruncated if it ends inside one.
func (r *Reader) Next() (Event, error) {
	if err := r.reset(); err != nil {
		return Event{}, err
	}
	event := Event{}
	lines, begun := 0, false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.endError(err)
		}
		if len(line) == 0 {
			if begun {
				break
			}
			r.between = len(r.raw)
			continue
		}
		begun = begun || beginsEvent(line)
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

// reset forgets the last event.
func (r *Reader) reset() error {
	if cap(r.raw) > keptBytes {
		r.raw, r.data = nil, nil
	}
	r.raw, r.data, r.between = r.raw[:0], r.data[:0], 0
	return r.hold(0)
}

// hold announces that a number of bytes of input are kept, which are in raw and may be in data as well.
func (r *Reader) hold(bytes int) error {
	if r.Hold == nil {
		return nil
	}
	return r.Hold(2 * bytes)
}

// readLine appends a line to raw and returns it without its line ending.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.raw)
	for {
		fragment, err := r.input.ReadSlice('\n')
		if len(r.raw)+len(fragment) > MaxEventBytes {
			return nil, ErrTooLong
		}
		if err := r.hold(len(r.raw) + len(fragment)); err != nil {
			return nil, err
		}
		r.raw = append(r.raw, fragment...)
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
	if errors.Is(err, io.EOF) && len(r.raw) > r.between {
		return ErrTruncated
	}
	return err
}

// beginsEvent reports whether a line is a field that brings an event, and not a comment or any other field.
func beginsEvent(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id", "data", "event":
		return true
	default:
		return false
	}
}

func field(line, name []byte) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, name)
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}
