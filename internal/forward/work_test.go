package forward

import (
	"testing"
	"time"
)

// BenchmarkRequest_Work calls Work for an 18 KB request as often as a request does that waits one
// second for capacity while some work is suspected: once per capacityRetryInterval.
func BenchmarkRequest_Work(b *testing.B) {
	body := make([]byte, 18<<10)
	for b.Loop() {
		request := Request{Method: "POST", Target: "/t", Body: body}
		for range time.Second / capacityRetryInterval {
			request.Work()
		}
	}
}
