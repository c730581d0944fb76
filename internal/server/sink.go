package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/sse"
)

// recordedAnswer is an answer recorded for retries of the same request.
type recordedAnswer struct {
	contentType string
	// refused is set if the replica refused the request, as any other would. The request did not run.
	refused bool
	buffer  bytes.Buffer
}

func (r *recordedAnswer) body() []byte { return r.buffer.Bytes() }

// responseSink writes an answer to the caller, streamed or as a single response.
type responseSink interface {
	forward.Sink
	// fail writes an error, as far as the part of the response already sent allows.
	fail(error)
	// finish completes the response and returns the recorded answer.
	finish() *recordedAnswer
}

const eventStream = "text/event-stream"

// copyHeader copies header to the response.
func copyHeader(ctx iris.Context, header http.Header) {
	for name, values := range header {
		for _, value := range values {
			ctx.Header(name, value)
		}
	}
}

// streamSink writes events to the caller as they arrive. It records them if record is set.
type streamSink struct {
	ctx      iris.Context
	record   bool
	started  bool
	recorded recordedAnswer
}

// Head implements forward.Sink.
func (s *streamSink) Head(status int, header http.Header) error {
	s.started = true
	s.recorded.contentType = header.Get("Content-Type")
	copyHeader(s.ctx, header)
	if status != http.StatusOK {
		s.recorded.refused = true
		s.ctx.Header(HeaderExecuted, outcome.NotDone.String())
	}
	s.ctx.StatusCode(status)
	return nil
}

// Write implements forward.Sink.
func (s *streamSink) Write(chunk []byte, more bool) error {
	if s.record {
		s.recorded.buffer.Write(chunk)
	}
	if _, err := s.ctx.ResponseWriter().Write(chunk); err != nil {
		return err
	}
	if !more {
		s.ctx.ResponseWriter().Flush()
	}
	return s.ctx.Request().Context().Err()
}

func (s *streamSink) fail(err error) {
	if !s.started {
		failForward(s.ctx, err)
		return
	}
	// The status is already sent. An error event without the closing marker shows the caller that
	// the answer is incomplete.
	detail := openai.ErrorDetail{Message: err.Error(), Type: openai.TypeServer, Code: "executed_" + outcome.Of(err).String()}
	body, encodeErr := json.Marshal(openai.ErrorAnswer{Error: detail})
	if encodeErr != nil {
		return
	}
	_, _ = s.ctx.ResponseWriter().Write([]byte("event: error\ndata: " + string(body) + "\n\n"))
	s.ctx.ResponseWriter().Flush()
}

func (s *streamSink) finish() *recordedAnswer { return &s.recorded }

// bufferedSink collects the events of an answer and writes a single response.
type bufferedSink struct {
	ctx    iris.Context
	path   string
	status int
	header http.Header
	events bytes.Buffer
}

// Head implements forward.Sink.
func (s *bufferedSink) Head(status int, header http.Header) error {
	s.status, s.header = status, header
	return nil
}

// Write implements forward.Sink.
func (s *bufferedSink) Write(chunk []byte, _ bool) error {
	s.events.Write(chunk)
	return s.ctx.Request().Context().Err()
}

func (s *bufferedSink) fail(err error) { failForward(s.ctx, err) }

func (s *bufferedSink) finish() *recordedAnswer {
	recorded := &recordedAnswer{contentType: "application/json"}
	if s.status != http.StatusOK {
		s.ctx.Header(HeaderExecuted, outcome.NotDone.String())
		s.ctx.StatusCode(s.status)
		recorded.refused = true
		recorded.buffer = s.events
	} else {
		copyHeader(s.ctx, http.Header{engine.HeaderAttempt: s.header[engine.HeaderAttempt]})
		answer := s.assemble()
		_ = json.NewEncoder(&recorded.buffer).Encode(answer)
	}
	s.ctx.ContentType(recorded.contentType)
	_, _ = s.ctx.Write(recorded.body())
	return recorded
}

// assemble builds a single answer from the chunks of a stream.
func (s *bufferedSink) assemble() openai.Completion {
	var text strings.Builder
	var last openai.Completion
	reader := sse.NewReader(&s.events)
	for {
		event, err := reader.Next()
		var chunk openai.Completion
		if err != nil || json.Unmarshal(event.Data, &chunk) != nil {
			// The forwarder passes only complete events, so an event that is not a chunk is the
			// closing marker.
			return openai.WholeAnswer(last, text.String(), s.path)
		}
		text.WriteString(chunk.Text())
		last = chunk
	}
}

// failForward writes the error response of a request that could not be completed.
func failForward(ctx iris.Context, err error) {
	switch {
	case errors.Is(err, forward.ErrCallerDisconnected):
		return
	case outcome.Of(err) != outcome.NotDone:
		ctx.Header(HeaderExecuted, outcome.Unknown.String())
		fail(ctx, iris.StatusBadGateway, openai.TypeServer, err.Error())
	case errors.As(err, new(*quarantine.RefusalError)):
		// The request itself is at fault. A 5xx status would make clients retry for nothing.
		ctx.Header(HeaderExecuted, outcome.NotDone.String())
		failWithDetail(ctx, iris.StatusUnprocessableEntity, openai.ErrorDetail{
			Message: err.Error(), Type: openai.TypeInvalidRequest, Code: openai.CodeQuarantined,
		})
	default:
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeOverloaded, err.Error(), retryDelay(err))
	}
}

// retryDelay returns how long the caller of a request that did not run should wait before a retry.
func retryDelay(err error) time.Duration {
	if noReplica := (*replica.NoReplicaError)(nil); errors.As(err, &noReplica) && noReplica.Persistent() {
		return noReplica.RetryAfter()
	}
	return overloadRetryAfter
}
