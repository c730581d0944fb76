package node

import (
	"bytes"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
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

// Guards against a log and a metric that do not tell a stream of two software versions, and who continued
// it, from one that went on as it should.
func TestRequestLog_ContinuedStreams(t *testing.T) {
	var lines bytes.Buffer
	metrics := newCoreMetrics()
	log := &requestLog{log: zerolog.New(&lines), sampled: zerolog.Nop(), metrics: metrics}
	request := &forward.Request{ID: "q2", Resumes: "q1"}
	at := replica.Info{ID: "r", SoftwareVersion: "v2"}
	log.Continued(request, forward.Continuation{After: 3, Replica: at, Previous: "v2", PreviousKnown: true})
	if lines.Len() > 0 {
		t.Errorf("a stream that goes on at its version is not sampled: %s", lines.String())
	}
	log.Continued(request, forward.Continuation{After: 3, Replica: at, Previous: "v1", PreviousKnown: true, ByCaller: true})
	for _, field := range []string{`"resumes":"q1"`, `"by":"caller"`, `"after":3`, `"software":"v2"`, `"software_before":"v1"`, `"software_match":"other"`} {
		if !strings.Contains(lines.String(), field) {
			t.Errorf("%s is missing in %s", field, lines.String())
		}
	}
	for _, labels := range [][]string{{"node", softwareSame}, {"caller", softwareOther}} {
		if count := testutil.ToFloat64(metrics.continuations.WithLabelValues(labels...)); count != 1 {
			t.Errorf("%v was counted %v times", labels, count)
		}
	}
}

// Guards against logs that do not show whether requests with different bodies that broke off have a part of
// their prompts in common.
func TestRequestLog_BrokenAttemptsNameTheirParts(t *testing.T) {
	var lines bytes.Buffer
	log := &requestLog{log: zerolog.New(&lines)}
	prompt := route.Prompt{Parts: []route.Part{{Key: 0xaa}, {Key: 0xbad}, {Key: 7}}}
	first := &forward.Request{ID: "q1", Body: []byte("one"), Prompt: prompt}
	second := &forward.Request{ID: "q2", Body: []byte("two"), Prompt: prompt}
	for _, request := range []*forward.Request{first, second} {
		log.Failed(request, 1, replica.Info{ID: "r", Pool: "p"}, outcome.AsUnknown(forward.ErrBroken))
	}
	for _, field := range []string{`"part_keys":["aa","bad"]`, quarantine.PartOf("p", 0xbad).String()} {
		if got := strings.Count(lines.String(), field); got != 2 {
			t.Errorf("%d of 2 lines have %s: %s", got, field, lines.String())
		}
	}
}

// Guards against logs and a metric that do not tell the refusal of an earlier attempt, or an answer to
// another request, from the answer to the attempt that failed.
func TestRequestLog_FailedAttemptsTellTheirConnection(t *testing.T) {
	var lines bytes.Buffer
	metrics := newCoreMetrics()
	requests := &requestLog{log: zerolog.New(&lines), sampled: zerolog.New(&lines), metrics: metrics}
	items := &jobLog{log: zerolog.New(&lines), metrics: metrics}
	repeated := outcome.AsNotDone(&forward.ConnectionError{Err: forward.ErrRefused, RequestsBefore: 7, Repeated: true})
	other := outcome.AsUnknown(&forward.ConnectionError{Err: forward.ErrBroken, RequestsBefore: 3, OtherAnswer: true, AnswerID: "q0"})
	for name, report := range map[string]func(error){
		"attempt":     func(err error) { requests.Failed(&forward.Request{ID: "q1"}, 1, replica.Info{ID: "r"}, err) },
		"reservation": func(err error) { requests.Reserved(&forward.Request{ID: "q1"}, &replica.Candidate{}, 0, err) },
		"item":        func(err error) { items.ItemFailed(&jobs.Job{ID: "j"}, "i", "r", err) },
	} {
		before := testutil.ToFloat64(metrics.otherAnswers)
		for err, fields := range map[error][]string{
			repeated: {`"conn_requests_before":7`, `"conn_same_request_before":true`},
			other:    {`"conn_requests_before":3`, `"conn_same_request_before":false`, `"answered_request":"q0"`},
		} {
			lines.Reset()
			report(err)
			for _, field := range fields {
				if !strings.Contains(lines.String(), field) {
					t.Errorf("%s: %s is missing in %s", name, field, lines.String())
				}
			}
		}
		if counted := testutil.ToFloat64(metrics.otherAnswers) - before; counted != 1 {
			t.Errorf("%s: %v answers to other requests were counted, want 1", name, counted)
		}
	}
}
