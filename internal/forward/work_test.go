package forward

import (
	"testing"
	"time"
)

// BenchmarkRequest_Work asks for the work of a request of 18 KB as often as one
// does that waits a second for room while some work is suspected: each waitForRoom.
func BenchmarkRequest_Work(b *testing.B) {
	body := make([]byte, 18<<10)
	for b.Loop() {
		request := Request{Method: "POST", Target: "/t", Body: body}
		for range time.Second / capacityRetryInterval {
			request.Work()
		}
	}
}
