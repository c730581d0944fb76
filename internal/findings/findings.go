// Package findings collects what is wrong with an input, each finding with its
// place, so that all of them are reported together.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one thing wrong at one place.
type Finding struct {
	// File, Line and Column locate the finding in a source; Line and Column
	// count from 1 and are 0 when not known.
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	// Path locates it in the decoded value, for example "spec.replicas.min".
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// String renders file:line:column: path: message, leaving out what is not known.
func (f Finding) String() string {
	var builder strings.Builder
	if f.File != "" {
		builder.WriteString(f.File)
		builder.WriteByte(':')
	}
	if f.Line > 0 {
		fmt.Fprintf(&builder, "%d:%d:", f.Line, f.Column)
	}
	if builder.Len() > 0 {
		builder.WriteByte(' ')
	}
	if f.Path != "" {
		builder.WriteString(f.Path)
		builder.WriteString(": ")
	}
	builder.WriteString(f.Message)
	return builder.String()
}

// List collects findings. The zero value is empty and ready.
type List struct {
	items []Finding
}

// Error is the error form of a non-empty list.
type Error struct {
	Findings []Finding
}

// Error implements error with one finding a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, finding := range e.Findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a finding about the value at path.
func (l *List) Add(path, format string, arguments ...any) {
	l.items = append(l.items, Finding{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

// Append appends findings as they are.
func (l *List) Append(found ...Finding) { l.items = append(l.items, found...) }

// All returns the findings in the order of their places.
func (l *List) All() []Finding {
	sorted := append([]Finding(nil), l.items...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return sorted
}

// Err returns nil when nothing was found.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.All()}
}
