package sse

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReader_WholeEvents(t *testing.T) {
	input := "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n"
	reader := NewReader(iotest.OneByteReader(strings.NewReader(input)))
	first, err := reader.Next()
	if err != nil || first.ID != 1 || string(first.Data) != "a" || string(first.Raw) != "id: 1\ndata: a\n\n" {
		t.Fatalf("first event is %+v, %v", first, err)
	}
	second, err := reader.Next()
	if err != nil || second.ID != 2 || string(second.Data) != "b\nc" {
		t.Fatalf("second event is %+v, %v", second, err)
	}
	if _, err := reader.Next(); !errors.Is(err, io.EOF) {
		t.Fatalf("end is %v, want io.EOF", err)
	}
}

func TestReader_TruncatedEvent(t *testing.T) {
	reader := NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: hal"))
	if _, err := reader.Next(); err != nil {
		t.Fatal(err)
	}
	if _, err := reader.Next(); !errors.Is(err, ErrTruncated) {
		t.Fatalf("end inside an event is %v, want ErrTruncated", err)
	}
}

func TestReader_TooLong(t *testing.T) {
	reader := NewReader(strings.NewReader("data: " + strings.Repeat("x", MaxEventBytes+1)))
	if _, err := reader.Next(); !errors.Is(err, ErrTooLong) {
		t.Fatalf("long event is %v, want ErrTooLong", err)
	}
}

func FuzzReader_RawIsInput(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("data: a\r\n\r\n:comment\n\n")
	f.Add("\n: c\n\n\nid: 1\n\n\n: c\n\n")
	f.Fuzz(func(t *testing.T, input string) {
		reader := NewReader(strings.NewReader(input))
		var passed strings.Builder
		for {
			event, err := reader.Next()
			if errors.Is(err, io.EOF) {
				if whole := passed.String() + string(reader.Rest()); whole != input {
					t.Fatalf("passed on %q of %q", whole, input)
				}
			}
			if err != nil {
				break
			}
			passed.Write(event.Raw)
		}
		if !strings.HasPrefix(input, passed.String()) {
			t.Fatalf("passed on %q of %q", passed.String(), input)
		}
	})
}
