package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/sse"
)

// Event is one server-sent event of an answer. Its slices are valid until the next call of Next.
type Event struct {
	// ID is the number of tokens sent up to and including this event.
	ID int
	// Raw is the complete event, including the blank line that ends it.
	Raw []byte
	// Data is the content of the event's data field.
	Data []byte
	// Done marks the event that ends the answer.
	Done bool
}

// Stream reads the events of one answer.
type Stream struct {
	response *http.Response
	reader   *sse.Reader
}

var doneData = []byte(openai.DoneMarker)

func newStream(response *http.Response) *Stream {
	return &Stream{response: response, reader: sse.NewReader(response.Body)}
}

// Header returns the answer's HTTP header.
func (s *Stream) Header() http.Header { return s.response.Header }

// Load returns the load report in the answer's header, if there is one.
func (s *Stream) Load() (Load, bool) {
	var load Load
	text, ok := strings.CutPrefix(s.response.Header.Get(HeaderLoad), "JSON ")
	if !ok || json.Unmarshal([]byte(text), &load) != nil {
		return load, false
	}
	return load, true
}

// Close releases the connection. Closing before the end aborts the stream.
func (s *Stream) Close() { _ = s.response.Body.Close() }

// Next returns the next event. Every error is ErrBroken with an unknown outcome, including the end
// of input before the Done event.
func (s *Stream) Next() (Event, error) {
	event, err := s.reader.Next()
	if err != nil {
		return Event{}, s.brokenError(err)
	}
	return Event{ID: event.ID, Raw: event.Raw, Data: event.Data, Done: bytes.Equal(event.Data, doneData)}, nil
}

func (s *Stream) brokenError(err error) error {
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return Error.Wrap(outcome.AsUnknown(fmt.Errorf("%w: %w", ErrBroken, err)))
}

var finishField = []byte(`"finish_reason":"`)

// Finishes reports whether the event is the closing chunk of an answer.
func (e Event) Finishes() bool { return bytes.Contains(e.Data, finishField) }
