package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/dispatch"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/routing"
)

// recording is an answer kept for later sendings of the same request.
type recording struct {
	contentType string
	buffer      bytes.Buffer
}

func (r *recording) body() []byte { return r.buffer.Bytes() }

// answerSink writes an answer to the caller in one of its forms.
type answerSink interface {
	dispatch.Sink
	// fail writes an error, as far as the answer's form still allows.
	fail(error)
	// finish ends the answer and returns it if it was kept.
	finish() *recording
}

const eventStream = "text/event-stream"

// streamSink passes events on as they come.
type streamSink struct {
	ctx     iris.Context
	keep    bool
	started bool
	kept    recording
}

// Begin implements dispatch.Sink.
func (s *streamSink) Begin(attempt, replica string) {
	if !s.started {
		s.ctx.Header(HeaderAttempt, attempt+"@"+replica)
	}
}

// Event implements dispatch.Sink.
func (s *streamSink) Event(event engine.Event) error {
	if !s.started {
		s.started = true
		s.ctx.ContentType(eventStream)
		s.ctx.Header("Cache-Control", "no-store")
	}
	if s.keep {
		s.kept.buffer.Write(event.Raw)
	}
	if _, err := s.ctx.ResponseWriter().Write(event.Raw); err != nil {
		return err
	}
	s.ctx.ResponseWriter().Flush()
	return s.ctx.Request().Context().Err()
}

func (s *streamSink) fail(err error) {
	if !s.started {
		failDispatch(s.ctx, err)
		return
	}
	// The status is sent already; an error event without the closing marker
	// tells the caller that the answer is not whole.
	detail := openai.ErrorDetail{Message: err.Error(), Type: openai.TypeServer, Code: "executed_" + outcome.Of(err).String()}
	body, encodeErr := json.Marshal(openai.ErrorAnswer{Error: detail})
	if encodeErr != nil {
		return
	}
	_, _ = s.ctx.ResponseWriter().Write([]byte("event: error\ndata: " + string(body) + "\n\n"))
	s.ctx.ResponseWriter().Flush()
}

func (s *streamSink) finish() *recording {
	s.kept.contentType = eventStream
	return &s.kept
}

// wholeSink collects an answer and writes it in one piece.
type wholeSink struct {
	ctx  iris.Context
	path string
	text strings.Builder
	last openai.Completion
}

// Begin implements dispatch.Sink. A replay after a broken attempt goes on
// where that one ended, so nothing is reset.
func (s *wholeSink) Begin(string, string) {}

// Event implements dispatch.Sink.
func (s *wholeSink) Event(event engine.Event) error {
	if event.Done {
		return nil
	}
	var chunk openai.Completion
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return err
	}
	s.text.WriteString(chunk.Text())
	s.last = chunk
	return s.ctx.Request().Context().Err()
}

func (s *wholeSink) fail(err error) { failDispatch(s.ctx, err) }

func (s *wholeSink) finish() *recording {
	answer := openai.WholeAnswer(s.last, s.text.String(), s.path)
	kept := &recording{contentType: "application/json"}
	_ = json.NewEncoder(&kept.buffer).Encode(answer)
	s.ctx.ContentType(kept.contentType)
	_, _ = s.ctx.Write(kept.body())
	return kept
}

// failDispatch answers a request that could not be completed.
func failDispatch(ctx iris.Context, err error) {
	var refused *engine.RefusedError
	switch {
	case errors.Is(err, dispatch.ErrCallerLeft):
		return
	case errors.Is(err, routing.ErrNoModel):
		refuse(ctx, iris.StatusNotFound, openai.TypeNotFound, "the model is not served here", 0)
	case outcome.Of(err) != outcome.NotDone:
		ctx.Header(HeaderExecuted, outcome.Unknown.String())
		fail(ctx, iris.StatusBadGateway, openai.TypeServer, err.Error())
	case errors.As(err, &refused) && !refused.Temporary():
		refuse(ctx, refused.Status, openai.TypeInvalidRequest, refused.Message, 0)
	default:
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeOverloaded, err.Error(), overloadRetryAfter)
	}
}
