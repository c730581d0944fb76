package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
)

// Event is one server-sent event of an answer. Its bytes are valid until the
// next call of Next.
type Event struct {
	// ID is the number of tokens sent up to and with this event.
	ID int
	// Raw is the whole event with its closing blank line.
	Raw []byte
	// Data is the event's data.
	Data []byte
	// Done marks the event that ends the answer.
	Done bool
}

// Stream reads the events of one answer.
type Stream struct {
	response *http.Response
	reader   *bufio.Reader
	raw      []byte
	last     int
}

const (
	streamBuffer  = 4 << 10
	maxEventBytes = 256 << 10
)

var (
	fieldID   = []byte("id: ")
	fieldData = []byte("data: ")
	doneData  = []byte(openai.DoneMarker)
)

func newStream(response *http.Response) *Stream {
	return &Stream{response: response, reader: bufio.NewReaderSize(response.Body, streamBuffer)}
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

// Close releases the connection. Closing before the end breaks it off.
func (s *Stream) Close() { _ = s.response.Body.Close() }

// Next returns the next event. Every error, the end of input before the Done
// event included, is ErrBroken with an unknown outcome.
func (s *Stream) Next() (Event, error) {
	s.raw = s.raw[:0]
	dataStart, dataEnd := 0, 0
	for {
		line, err := s.reader.ReadSlice('\n')
		s.raw = append(s.raw, line...)
		if err == bufio.ErrBufferFull && len(s.raw) < maxEventBytes {
			continue
		}
		if err != nil {
			return Event{}, s.broken(err)
		}
		if len(line) == 1 {
			break
		}
		lineStart := bytes.LastIndexByte(s.raw[:len(s.raw)-1], '\n') + 1
		whole := s.raw[lineStart : len(s.raw)-1]
		switch {
		case bytes.HasPrefix(whole, fieldID):
			if id, err := strconv.Atoi(string(whole[len(fieldID):])); err == nil {
				s.last = id
			}
		case bytes.HasPrefix(whole, fieldData):
			dataStart, dataEnd = lineStart+len(fieldData), len(s.raw)-1
		}
	}
	data := s.raw[dataStart:dataEnd]
	return Event{ID: s.last, Raw: s.raw, Data: data, Done: bytes.Equal(data, doneData)}, nil
}

func (s *Stream) broken(err error) error {
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return Error.Wrap(outcome.Undecided(fmt.Errorf("%w: %w", ErrBroken, err)))
}

var finishField = []byte(`"finish_reason":"`)

// Finishes reports whether the event is the closing chunk of an answer.
func (e Event) Finishes() bool { return bytes.Contains(e.Data, finishField) }
