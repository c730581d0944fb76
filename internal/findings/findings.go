// Package findings collects the problems of an input, each with its position, so that all of them
// are reported together.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one problem at one position.
type Finding struct {
	// File, Line and Column locate the finding in a source. Line and Column start at 1 and are 0 if
	// not known.
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	// Path locates the finding in the decoded value, for example "spec.replicas.min".
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// String formats the finding as "file:line:column: path: message", without the parts that are not
// known.
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

// List collects findings. The zero value is an empty list.
type List struct {
	items []Finding
}

// Error is an error that holds one or more findings.
type Error struct {
	Findings []Finding
}

// Error implements error with one line per finding.
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

// Append appends existing findings.
func (l *List) Append(found ...Finding) { l.items = append(l.items, found...) }

// All returns the findings sorted by file, line and column. Findings at the same position keep
// their order.
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

// Err returns an *Error with all findings, or nil if there are none.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.All()}
}
