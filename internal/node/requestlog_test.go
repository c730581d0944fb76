package node

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// TestRequestLog_BrokenAttemptsNameTheirWork checks that the logs of several nodes show whether
// requests with different IDs were the same work, without showing its body.
func TestRequestLog_BrokenAttemptsNameTheirWork(t *testing.T) {
	var lines bytes.Buffer
	log := &requestLog{log: zerolog.New(&lines)}
	first := &forward.Request{ID: "q1", Method: "POST", Target: "/t", Body: []byte("the body")}
	second := &forward.Request{ID: "q2", Method: "POST", Target: "/t", Body: []byte("the body")}
	for _, request := range []*forward.Request{first, second} {
		log.Failed(request, 1, replica.Info{ID: "r"}, outcome.AsUnknown(forward.ErrBroken))
	}
	if got := strings.Count(lines.String(), `"work":"`+first.Work().String()+`"`); got != 2 {
		t.Errorf("%d of 2 lines name the work: %s", got, lines.String())
	}
	lines.Reset()
	log.Failed(first, 1, replica.Info{ID: "r"}, outcome.AsNotDone(forward.ErrUnreachable))
	if strings.Contains(lines.String(), "work") || strings.Contains(lines.String(), "body") {
		t.Errorf("an attempt that did not run names its work: %s", lines.String())
	}
}
