// Package tail keeps the last lines of a log for error messages and reports.
package tail

import (
	"bytes"
	"strings"
	"sync"
)

// Limits of the text that is kept.
const (
	MaxLines = 10
	MaxBytes = 4 << 10
)

// Of returns the last lines of text, at most MaxLines lines and MaxBytes bytes.
func Of(text []byte) string {
	text = bytes.TrimRight(text, "\n")
	text = text[max(0, len(text)-MaxBytes):]
	lines := strings.Split(string(text), "\n")
	return strings.Join(lines[max(0, len(lines)-MaxLines):], "\n")
}

// Writer is an io.Writer that keeps only the end of the data written to it. It is safe for
// concurrent use.
type Writer struct {
	mu     sync.Mutex
	buffer []byte
}

// Write implements io.Writer. It always returns a nil error.
func (w *Writer) Write(text []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer = append(w.buffer, text...)
	w.buffer = append(w.buffer[:0], w.buffer[max(0, len(w.buffer)-2*MaxBytes):]...)
	return len(text), nil
}

// String returns the last lines written, within the limits of Of.
func (w *Writer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Of(w.buffer)
}
