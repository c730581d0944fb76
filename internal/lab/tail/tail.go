// Package tail keeps the end of what a process says, for reports.
package tail

import (
	"bytes"
	"strings"
	"sync"
)

// What a report holds of a log at most; the whole log stays where it is.
const (
	Lines = 10
	Bytes = 4 << 10
)

// Of returns the last lines of a text, at most Lines and Bytes.
func Of(text []byte) string {
	text = bytes.TrimRight(text, "\n")
	text = text[max(0, len(text)-Bytes):]
	lines := strings.Split(string(text), "\n")
	return strings.Join(lines[max(0, len(lines)-Lines):], "\n")
}

// Writer keeps the end of what is written to it. It is safe for concurrent use.
type Writer struct {
	mu   sync.Mutex
	kept []byte
}

// Write implements io.Writer. It does not fail.
func (w *Writer) Write(text []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kept = append(w.kept, text...)
	w.kept = append(w.kept[:0], w.kept[max(0, len(w.kept)-2*Bytes):]...)
	return len(text), nil
}

// String returns the last lines.
func (w *Writer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Of(w.kept)
}
