package tail

import (
	"fmt"
	"strings"
	"testing"
)

func TestOf_IsBounded(t *testing.T) {
	var text strings.Builder
	for i := range 1000 {
		_, _ = fmt.Fprintf(&text, "line %d\n", i)
	}
	got := strings.Split(Of([]byte(text.String())), "\n")
	if len(got) != MaxLines || got[MaxLines-1] != "line 999" {
		t.Errorf("last lines are %q", got)
	}
	if long := Of([]byte(strings.Repeat("x", 10*MaxBytes))); len(long) != MaxBytes {
		t.Errorf("kept %d bytes of a single long line", len(long))
	}
	if none := Of(nil); none != "" {
		t.Errorf("last lines of an empty text are %q", none)
	}
}

func TestWriter_KeepsTheEnd(t *testing.T) {
	var w Writer
	for i := range 10000 {
		if n, err := fmt.Fprintf(&w, "line %d\n", i); err != nil || n == 0 {
			t.Fatal(n, err)
		}
	}
	if got := w.String(); !strings.HasSuffix(got, "line 9998\nline 9999") || len(w.buffer) > 2*MaxBytes {
		t.Errorf("last lines are %q, %d bytes are buffered", got, len(w.buffer))
	}
}
