package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// HeaderAttempt identifies the attempt that answers, as attempt@replica, so that a caller whose
// node fails can resume at another node.
const HeaderAttempt = "X-Wheelhoist-Attempt"

const (
	// attemptSeparator separates the request ID from the suffix of the attempt.
	attemptSeparator = "~"
	// attemptOnce is the suffix of an item that may run only once.
	attemptOnce  = attemptSeparator + "once"
	abortTimeout = time.Second
)

// EngineClient is the part of Client that a Backend uses.
type EngineClient interface {
	Stream(ctx context.Context, base string, attempt Attempt) (*Stream, error)
	Resume(ctx context.Context, base, id, path string, after int) (*Stream, error)
	Abort(ctx context.Context, base, id string) (RequestStatus, error)
}

// Backend sends the attempts of opaque requests to engines. A broken stream is first resumed at the
// same engine, where the attempt may still be running; only then does the attempt fail. It is safe
// for concurrent use.
type Backend struct {
	engines EngineClient
	// instance makes attempt IDs differ between nodes and restarts.
	instance string
	attempts atomic.Uint64
}

var _ forward.Backend = (*Backend)(nil)

// NewBackend returns a Backend that uses the given client.
func NewBackend(engines EngineClient) *Backend {
	return &Backend{engines: engines, instance: uuid.NewString()[:8]}
}

// Send implements forward.Backend.
func (b *Backend) Send(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	request := attempt.Request
	priority := PriorityOnline
	if request.Batch {
		priority = PriorityBatch
	}
	id := b.attemptID(request)
	sent := Attempt{ID: id, Path: request.Target, Body: Encode(request.Body, priority, true)}
	stream, err := b.engines.Stream(ctx, attempt.Replica.Address, sent)
	if err != nil {
		return b.handleStreamError(ctx, attempt, id, err)
	}
	body := &resumableBody{
		ctx: ctx, engines: b.engines, stream: stream, base: attempt.Replica.Address,
		id: id, path: request.Target, render: renderEvent,
	}
	if request.Batch {
		body.render = renderToken
	}
	header := http.Header{}
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderAttempt, id+"@"+attempt.Replica.ID)
	return &forward.Answer{Status: http.StatusOK, Header: header, EventStream: true, Load: loadReport(stream), Body: body}, nil
}

func (b *Backend) attemptID(request *forward.Request) string {
	if request.AtMostOnce && request.Batch {
		return request.ID + attemptOnce
	}
	return fmt.Sprintf("%s%s%s.%d", request.ID, attemptSeparator, b.instance, b.attempts.Add(1))
}

// handleStreamError converts an error of EngineClient.Stream into a refusal that may be retried at
// another replica, a final answer, or an attempt whose outcome is unknown.
func (b *Backend) handleStreamError(ctx context.Context, attempt *forward.Attempt, id string, err error) (*forward.Answer, error) {
	var refusal *RefusalError
	switch {
	case errors.As(err, &refusal) && refusal.Temporary():
		return nil, Error.Wrap(outcome.AsNotDone(fmt.Errorf("%w: %w", forward.ErrRefused, err)))
	case errors.As(err, &refusal):
		return refusalAnswer(refusal, attempt.Request.Batch), nil
	case errors.Is(err, ErrNotAccepted):
		return nil, Error.Wrap(outcome.AsNotDone(fmt.Errorf("%w: %w: %w", forward.ErrUnreachable, forward.ErrNotAccepted, err)))
	case errors.Is(err, ErrUnreachable):
		return nil, Error.Wrap(outcome.AsNotDone(fmt.Errorf("%w: %w", forward.ErrUnreachable, err)))
	}
	if ctx.Err() != nil {
		abortAttempt(b.engines, attempt.Replica.Address, id)
	}
	return nil, Error.Wrap(outcome.AsUnknown(fmt.Errorf("%w: %w", forward.ErrBroken, err)))
}

// refusalAnswer returns the answer for a refusal that every replica would repeat.
func refusalAnswer(refusal *RefusalError, batch bool) *forward.Answer {
	status := refusal.Status
	if batch {
		status = http.StatusUnprocessableEntity
	}
	text := refusal.Message
	if !batch {
		text = encodeRefusal(refusal)
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	return &forward.Answer{Status: status, Header: header, Body: io.NopCloser(strings.NewReader(text))}
}

func encodeRefusal(refusal *RefusalError) string {
	detail := openai.ErrorDetail{Message: refusal.Message, Type: openai.TypeInvalidRequest}
	body, err := json.Marshal(openai.ErrorAnswer{Error: detail})
	if err != nil {
		return "{}"
	}
	return string(body)
}

func loadReport(stream *Stream) *replica.Load {
	load, ok := stream.Load()
	if !ok {
		return nil
	}
	return &replica.Load{
		Running: load.RunningOnline + load.RunningBatch, Waiting: load.WaitingOnline, Slots: load.MaxSequences,
	}
}

// abortAttempt aborts an attempt whose answer is no longer needed.
func abortAttempt(engines EngineClient, base, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	// If the call is lost, the engine drops the attempt because nothing reads it.
	_, _ = engines.Abort(ctx, base, id)
}
