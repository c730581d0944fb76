package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/sse"
)

const (
	// resumeTries and resumeDelay bound how often and how long a broken stream is resumed at its
	// engine before the attempt fails.
	resumeTries = 3
	resumeDelay = 60 * time.Millisecond
)

// resumableBody presents the events of an attempt as a response body. After a connection failure it
// resumes the stream at the same engine by attempt ID, after the last event read. It returns io.EOF
// only after the event that ends the answer.
type resumableBody struct {
	ctx     context.Context
	engines EngineClient
	stream  *Stream
	// base is the address of the engine, id the ID of the attempt and path that of its request.
	base   string
	id     string
	path   string
	render func(buffer []byte, event Event, last int) []byte

	buffer []byte
	// lastEventID is the ID of the last event read.
	lastEventID int
	// progress bounds the events that come again.
	progress sse.Progress
	done     bool
	err      error
}

// Read implements io.Reader.
func (b *resumableBody) Read(target []byte) (int, error) {
	for len(b.buffer) == 0 {
		if b.done {
			return 0, io.EOF
		}
		if b.err != nil {
			return 0, b.err
		}
		b.next()
	}
	n := copy(target, b.buffer)
	b.buffer = b.buffer[n:]
	return n, nil
}

// next reads one event into the buffer.
func (b *resumableBody) next() {
	event, err := b.stream.Next()
	for tries := 0; err != nil; tries++ {
		if b.ctx.Err() != nil || tries == resumeTries || errors.Is(err, sse.ErrTooLong) || !b.resume(tries) {
			b.err = err
			return
		}
		event, err = b.stream.Next()
	}
	if event.ID > 0 && event.ID <= b.lastEventID && !event.Finishes() && !event.Done {
		if _, err := b.progress.Observe(sse.Event{ID: event.ID, HasID: true, Raw: event.Raw}); err != nil {
			b.err = b.stream.brokenError(err)
		}
		return
	}
	b.buffer = b.render(b.buffer[:0], event, b.lastEventID)
	b.lastEventID = max(b.lastEventID, event.ID)
	b.done = event.Done
}

// resume continues the attempt at its engine. It returns false if the engine no longer has it or
// refuses to resume it.
func (b *resumableBody) resume(tries int) bool {
	select {
	case <-b.ctx.Done():
		return false
	case <-time.After(resumeDelay << tries):
	}
	stream, err := b.engines.Resume(b.ctx, b.base, b.id, b.path, b.lastEventID)
	if err != nil {
		return !errors.Is(err, ErrUnknownRequest) && !errors.Is(err, ErrRefused)
	}
	b.stream.Close()
	b.stream = stream
	return true
}

// Close implements io.Closer. It aborts the attempt at the engine if the answer has not been read
// to its end.
func (b *resumableBody) Close() error {
	b.stream.Close()
	if !b.done {
		abortAttempt(b.engines, b.base, b.id)
	}
	return nil
}

// renderEvent appends an event unchanged. The closing chunk repeats the ID of the last token, so
// its ID is omitted to keep it from being skipped as a duplicate.
func renderEvent(buffer []byte, event Event, _ int) []byte {
	if !event.Finishes() {
		return append(buffer, event.Raw...)
	}
	return appendData(buffer, event.Data)
}

func appendData(buffer, data []byte) []byte {
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, data...)
	return append(buffer, "\n\n"...)
}

// renderToken appends short events that each hold the text of a token as a JSON string, and one
// with the complete closing chunk; AssembleAnswer joins them. An event that covers several tokens
// is preceded by empty ones, because IDs must be contiguous.
func renderToken(buffer []byte, event Event, last int) []byte {
	if event.Done {
		return buffer
	}
	if event.Finishes() {
		return appendData(appendID(buffer, max(last, event.ID)+1), event.Data)
	}
	for id := last + 1; id < event.ID; id++ {
		buffer = appendData(appendID(buffer, id), []byte(`""`))
	}
	var chunk openai.Completion
	text := []byte(`""`)
	if json.Unmarshal(event.Data, &chunk) == nil {
		if encoded, err := json.Marshal(chunk.Text()); err == nil {
			text = encoded
		}
	}
	return appendData(appendID(buffer, event.ID), text)
}

func appendID(buffer []byte, id int) []byte {
	buffer = append(buffer, "id: "...)
	buffer = strconv.AppendInt(buffer, int64(id), 10)
	return append(buffer, '\n')
}
