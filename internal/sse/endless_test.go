package sse

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against blank lines and comments that count as events, or that are lost.
func TestReader_BlankLinesAndCommentsAreNoEvents(t *testing.T) {
	input := "\n: begin\n\n\nretry: 100\n\nid: 1\ndata: a\n\n\r\n: wait\n\nweight-versions: 7\nid: 2\ndata: b\n\n\n: end\n\n"
	reader := NewReader(strings.NewReader(input))
	var passed strings.Builder
	for want, data := range []string{"a", "b"} {
		event, err := reader.Next()
		if err != nil || event.ID != want+1 || !event.HasID || string(event.Data) != data {
			t.Fatalf("event %d is %+v, %v", want+1, event, err)
		}
		passed.Write(event.Raw)
	}
	if _, err := reader.Next(); !errors.Is(err, io.EOF) {
		t.Fatalf("end is %v, want io.EOF", err)
	}
	if whole := passed.String() + string(reader.Rest()); whole != input {
		t.Errorf("passed on %q of %q", whole, input)
	}
}

// endless repeats a text and counts the bytes that were read.
type endless struct {
	text string
	read int
}

// Read implements io.Reader.
func (e *endless) Read(into []byte) (int, error) {
	for i := range into {
		into[i] = e.text[e.read%len(e.text)]
		e.read++
	}
	return len(into), nil
}

// Guards against input without an event that is read, or passed on, without end.
func TestReader_EndlessInputWithoutAnEvent(t *testing.T) {
	for _, text := range []string{"\n", "\r\n", ": comment\n", ": comment\n\n", "x", "data: a\n", "retry: 1\n\n", "weight-versions: 1\n\n"} {
		input := &endless{text: text}
		reader := NewReader(input)
		if event, err := reader.Next(); !errors.Is(err, ErrTooLong) {
			t.Errorf("%q without end is %+v, %v, want ErrTooLong", text, event, err)
		}
		if input.read > MaxEventBytes+bufferBytes || cap(reader.raw) > 2*MaxEventBytes {
			t.Errorf("%q: %d bytes read, %d held", text, input.read, cap(reader.raw))
		}
	}
}

// Guards against a reader that keeps the memory of its largest event, and against one that goes on without
// the memory that it asked for.
func TestReader_MemoryIsAnnounced(t *testing.T) {
	large := "id: 1\ndata: " + strings.Repeat("x", MaxEventBytes/2) + "\n\n"
	reader := NewReader(strings.NewReader(large + "id: 2\ndata: b\n\n" + large))
	held, errNoRoom := 0, errors.New("no room")
	limit := 2 * MaxEventBytes
	reader.Hold = func(bytes int) error {
		if bytes > limit {
			return errNoRoom
		}
		held = bytes
		return nil
	}
	if event, err := reader.Next(); err != nil || held < len(event.Raw)+len(event.Data) {
		t.Fatalf("%d bytes are announced, the event has %d: %v", held, len(event.Raw), err)
	}
	if _, err := reader.Next(); err != nil || held > 1<<10 || cap(reader.raw) > keptBytes {
		t.Fatalf("%d bytes are announced, %d held: %v", held, cap(reader.raw), err)
	}
	limit = MaxEventBytes / 4
	if _, err := reader.Next(); !errors.Is(err, errNoRoom) {
		t.Errorf("without room: %v", err)
	}
}

// Guards against an event that is repeated without end, and against a replay of earlier events that is taken
// for that.
func TestProgress_RepeatedEvents(t *testing.T) {
	event := Event{ID: 7, HasID: true, Raw: make([]byte, 1<<10)}
	var progress Progress
	for id := 1; id <= 2*MaxEventBytes/len(event.Raw); id++ {
		event.ID = id
		if goesOn, err := progress.Observe(event); !goesOn || err != nil {
			t.Fatalf("event %d: %v, %v", id, goesOn, err)
		}
	}
	for range MaxEventBytes / len(event.Raw) {
		if goesOn, err := progress.Observe(event); goesOn || err != nil {
			t.Fatalf("repeated event: %v, %v", goesOn, err)
		}
	}
	if _, err := progress.Observe(event); !errors.Is(err, ErrTooLong) {
		t.Errorf("event repeated without end: %v", err)
	}
}
