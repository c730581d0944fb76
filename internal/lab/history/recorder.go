package history

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("history")

// Recorder collects events. The zero value is ready to use; Record on a nil Recorder drops the event.
// It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// Record appends an event. If event.Time is zero, it is set to the current time.
func (r *Recorder) Record(event Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if event.Time == 0 {
		event.Time = time.Now().UnixNano()
	}
	r.events = append(r.events, event)
}

// Events returns a copy of the events recorded so far.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// WriteFile writes events to a file as JSON lines.
func WriteFile(path string, events []Event) error {
	file, err := os.Create(path)
	if err != nil {
		return Error.Wrap(err)
	}
	writer := bufio.NewWriter(file)
	encoder := json.NewEncoder(writer)
	var group errs.Group
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			group.Add(err)
			break
		}
	}
	group.Add(writer.Flush())
	group.Add(file.Close())
	return Error.Wrap(group.Err())
}

// Read parses events from JSON lines. An error names the number of the invalid event.
func Read(reader io.Reader) ([]Event, error) {
	decoder := json.NewDecoder(reader)
	var events []Event
	for {
		var event Event
		err := decoder.Decode(&event)
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return nil, Error.New("event %d: %v", len(events)+1, err)
		}
		events = append(events, event)
	}
}

// ReadFile reads events from a file of JSON lines.
func ReadFile(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = file.Close() }()
	return Read(bufio.NewReader(file))
}
