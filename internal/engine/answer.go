package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/wheelhoist/wheelhoist/api/openai"
)

const (
	// resumeTries and resumeDelay bound how long a broken stream is asked for
	// at its engine before the engine counts as gone.
	resumeTries = 3
	resumeDelay = 60 * time.Millisecond
)

// resumableBody reads the events of an attempt as a body. A break is mended at the
// same engine by the attempt's id, after the last event read. It ends with
// io.EOF only after the event that ends the answer.
type resumableBody struct {
	ctx     context.Context
	engines EngineClient
	stream  *Stream
	base    string
	id      string
	path    string
	render  func(buffer []byte, event Event, last int) []byte

	buffer []byte
	// lastEventID is the id of the lastEventID event read.
	lastEventID int
	done        bool
	err         error
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
		if b.ctx.Err() != nil || tries == resumeTries || !b.resume(tries) {
			b.err = err
			return
		}
		event, err = b.stream.Next()
	}
	if event.ID > 0 && event.ID <= b.lastEventID && !event.Finishes() && !event.Done {
		return
	}
	b.buffer = b.render(b.buffer[:0], event, b.lastEventID)
	b.lastEventID = max(b.lastEventID, event.ID)
	b.done = event.Done
}

// resume continues the attempt at its engine. It reports false if the engine
// does not have it any more.
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

// Close implements io.Closer. An answer that is not read to its end is given up
// at the engine.
func (b *resumableBody) Close() error {
	b.stream.Close()
	if !b.done {
		abortAttempt(b.engines, b.base, b.id)
	}
	return nil
}

// renderEvent passes an event on as it is. The closing chunk repeats the id of
// the last token; it goes without one, so that it is not taken for a repetition.
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

// renderToken makes short events, each with the text of a token as a JSON
// string, and one with the whole closing chunk; WholeText joins them. Events
// that hold several tokens are filled up, for ids must not leave gaps.
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
