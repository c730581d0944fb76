package node

import (
	"testing"
	"time"
)

// Guards against a node that is asked once only, while it cannot answer as it has just started itself, and against
// a start that asks without bound.
func TestCrashInquiry(t *testing.T) {
	now := time.Now()
	inquiry := &crashInquiry{}
	addresses := []string{"a", "b"}
	for _, want := range addresses {
		if address, ok := inquiry.next(addresses, now); !ok || address != want {
			t.Fatalf("asks %q, want %q", address, want)
		}
	}
	if address, ok := inquiry.next(addresses, now.Add(time.Hour)); ok {
		t.Fatalf("asks %q while its request is under way", address)
	}
	inquiry.end("a", true)
	inquiry.end("b", false)
	if address, ok := inquiry.next(addresses, now); ok {
		t.Errorf("asks %q again at once", address)
	}
	if address, ok := inquiry.next(addresses, now.Add(firstInquiryPause)); !ok || address != "b" {
		t.Errorf("asks %q, want b again", address)
	}
	inquiry.end("b", false)
	requests := 3
	for range 1000 {
		now = now.Add(maxInquiryPause)
		if _, ok := inquiry.next(addresses, now); ok {
			requests++
			inquiry.end("b", false)
		}
	}
	if requests != maxInquiries || inquiry.complete() {
		t.Errorf("%d requests, want %d; complete: %v", requests, maxInquiries, inquiry.complete())
	}
}

// Guards against nodes that do not answer keeping a starting node from asking those that do.
func TestCrashInquiry_SilentNodes(t *testing.T) {
	now := time.Now()
	inquiry := &crashInquiry{}
	silent := []string{"s1", "s2", "s3"}
	for range silent {
		inquiry.next(silent, now)
	}
	for _, want := range []string{"a", "b", "c"} {
		address, ok := inquiry.next(append(silent, want), now)
		if !ok || address != want {
			t.Fatalf("asks %q, want %q", address, want)
		}
		inquiry.end(address, true)
	}
	if !inquiry.complete() {
		t.Error("three answers are not enough")
	}
}
