// Package tail keeps the end of what a process says, for reports.
package tail

import (
	"bytes"
	"strings"
	"sync"
)

// What a report holds of a log at most; the whole log stays where it is.
const (
	MaxLines = 10
	MaxBytes = 4 << 10
)

// Of returns the last lines of a text, at most Lines and Bytes.
func Of(text []byte) string {
	text = bytes.TrimRight(text, "\n")
	text = text[max(0, len(text)-MaxBytes):]
	lines := strings.Split(string(text), "\n")
	return strings.Join(lines[max(0, len(lines)-MaxLines):], "\n")
}

// Writer keeps the end of what is written to it. It is safe for concurrent use.
type Writer struct {
	mu     sync.Mutex
	buffer []byte
}

// Write implements io.Writer. It does not fail.
func (w *Writer) Write(text []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer = append(w.buffer, text...)
	w.buffer = append(w.buffer[:0], w.buffer[max(0, len(w.buffer)-2*MaxBytes):]...)
	return len(text), nil
}

// String returns the last lines.
func (w *Writer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Of(w.buffer)
}
