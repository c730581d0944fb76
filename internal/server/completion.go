package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/admission"
	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/idempotency"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

const (
	// maxBodyBytes bounds a completion request.
	maxBodyBytes = 4 << 20
	// notServingRetryAfter is what a caller of a node that is out of step waits.
	notServingRetryAfter = time.Second
	// overloadRetryAfter is what a caller waits when no replica can take it.
	overloadRetryAfter = time.Second
	// assumedTokens is charged to a token rate when a request names no limit.
	assumedTokens = 64
)

// complete serves chat and text completions.
func (s *Server) complete(ctx iris.Context) {
	if !s.serving() {
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeOverloaded, "this node takes no new work", notServingRetryAfter)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBodyBytes))
	if err != nil {
		refuseBody(ctx, err)
		return
	}
	if ctx.GetHeader(engine.HeaderLastEventID) != "" && ctx.GetHeader(engine.HeaderAttempt) != "" {
		s.reconnect(ctx)
		return
	}
	parsed, err := openai.ParseCompletion(body)
	if err != nil {
		refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, err.Error(), 0)
		return
	}
	if s.open.Load() >= int64(s.options.MaxStreams) {
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeOverloaded, "too many open requests at this node", overloadRetryAfter)
		return
	}
	ticket, err := s.admit(ctx, &parsed)
	if err != nil {
		s.refuseAdmission(ctx, err)
		return
	}
	defer ticket.Release()
	s.open.Add(1)
	defer s.open.Add(-1)
	routes := s.options.Routes()
	target := routes.Match(parsed.Model, ctx.Path())
	if target == nil {
		refuse(ctx, iris.StatusNotFound, openai.TypeNotFound, "the model is not served here", 0)
		return
	}
	s.dispatch(ctx, target, newRequest(ctx, body, &parsed), parsed.Stream)
}

func refuseBody(ctx iris.Context, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refuse(ctx, iris.StatusRequestEntityTooLarge, openai.TypeInvalidRequest, "the body is larger than 4 MiB", 0)
		return
	}
	refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, "the body could not be read", 0)
}

func (s *Server) admit(ctx iris.Context, parsed *openai.CompletionRequest) (*admission.Ticket, error) {
	caller := callingTenant(ctx)
	tokens := parsed.Limit()
	if tokens == 0 {
		tokens = assumedTokens
	}
	return s.options.Admission.Admit(caller.name, caller.limits, tokens, clock.Now())
}

func (s *Server) refuseAdmission(ctx iris.Context, err error) {
	var refusal *admission.RefusalError
	if !errors.As(err, &refusal) {
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeOverloaded, err.Error(), overloadRetryAfter)
		return
	}
	s.metrics.refused.WithLabelValues(string(refusal.Reason)).Inc()
	status := iris.StatusTooManyRequests
	kind := openai.TypeRateLimit
	if refusal.Reason == admission.ReasonOverload {
		status, kind = iris.StatusServiceUnavailable, openai.TypeOverloaded
	}
	refuse(ctx, status, kind, err.Error(), refusal.RetryAfter)
}

func newRequest(ctx iris.Context, body []byte, parsed *openai.CompletionRequest) *forward.Request {
	id := ctx.GetHeader(engine.HeaderRequestID)
	if id == "" || len(id) > 100 || strings.ContainsAny(id, "~@/ ") {
		id = uuid.NewString()
	}
	return &forward.Request{
		ID: id, Method: http.MethodPost, Target: ctx.Path(), Host: parsed.Model, Body: body,
		Header: http.Header{}, Received: clock.Now(), Prompt: describePrompt(parsed),
		Once: ctx.GetHeader(HeaderRepeatable) == "no",
	}
}

// describePrompt describes a prompt by the parts that others may share: its blocks up
// to sharedBlocks, and the rest.
func describePrompt(parsed *openai.CompletionRequest) route.Prompt {
	text := parsed.PromptText()
	words := len(strings.Fields(text))
	prompt := route.Prompt{Model: parsed.Model, Tokens: words, MaxOutput: parsed.Limit()}
	blocks := engine.PrefixBlocks(text)
	if len(blocks) == 0 {
		return prompt
	}
	shared := min(len(blocks), maxSharedBlocks)
	tokens := shared * engine.PrefixBlockWords
	prompt.Parts = []route.Part{{Key: blocks[shared-1], Tokens: tokens}, {Tokens: words - tokens}}
	return prompt
}

// maxSharedBlocks is the number of leading blocks by which prompts that share a
// prefix meet at a replica: long enough to tell system prompts apart, short
// enough that the questions after them do not.
const maxSharedBlocks = 4

// dispatch runs a request, through a claim if it may run only once and has a key.
func (s *Server) dispatch(ctx iris.Context, target *route.Route, request *forward.Request, stream bool) {
	ctx.Header(engine.HeaderRequestID, request.ID)
	key := ctx.GetHeader(HeaderIdempotencyKey)
	if !request.Once || key == "" {
		s.forward(ctx, target, request, stream)
		return
	}
	caller := callingTenant(ctx)
	claim, err := s.options.Claims.Begin(ctx.Request().Context(), caller.name, key, request.Body)
	if err != nil {
		refuseClaim(ctx, err)
		return
	}
	if claim.State == idempotency.Answered {
		ctx.ContentType(claim.ContentType)
		_, _ = ctx.Write(claim.Body)
		return
	}
	recorded, err := s.forward(ctx, target, request, stream)
	s.settleClaim(claim, recorded, err)
}

// settleClaim records how a claimed request ended.
func (s *Server) settleClaim(claim *idempotency.Claim, recorded *recordedAnswer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	switch {
	case err == nil && recorded.refused:
		err = s.options.Claims.Release(ctx, claim)
	case err == nil:
		err = s.options.Claims.RecordAnswer(ctx, claim, recorded.contentType, recorded.body())
	case outcome.Of(err) == outcome.NotDone:
		err = s.options.Claims.Release(ctx, claim)
	default:
		return
	}
	if err != nil {
		s.options.Log.Warn().Err(err).Msg("claim not settled, resends will be refused")
	}
}

const claimTimeout = 5 * time.Second

func refuseClaim(ctx iris.Context, err error) {
	switch {
	case errors.Is(err, idempotency.ErrInProgress):
		ctx.Header(HeaderExecuted, outcome.Of(err).String())
		fail(ctx, iris.StatusConflict, openai.TypeConflict, err.Error())
	case errors.Is(err, idempotency.ErrMismatch):
		refuse(ctx, iris.StatusConflict, openai.TypeConflict, err.Error(), 0)
	default:
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeServer, err.Error(), storeRetryAfter)
	}
}

// forward forwards a request and writes its answer or its error.
func (s *Server) forward(ctx iris.Context, target *route.Route, request *forward.Request, stream bool) (*recordedAnswer, error) {
	if err := s.checkOverload(ctx, target, request); err != nil {
		s.refuseAdmission(ctx, err)
		return nil, outcome.Failed(err)
	}
	var sink responseSink = &bufferedSink{ctx: ctx, path: request.Target}
	if stream {
		sink = &streamSink{ctx: ctx, record: request.Once}
	}
	result, err := s.options.Forward(ctx.Request().Context(), target, request, sink)
	s.metrics.observe(result, err, clock.Since(request.Received))
	if err != nil {
		sink.fail(err)
		return nil, err
	}
	return sink.finish(), nil
}

// checkOverload refuses a request that no replica is predicted to begin in time.
func (s *Server) checkOverload(ctx iris.Context, target *route.Route, request *forward.Request) error {
	now := clock.Now()
	predicted, err := s.options.Predict(target, request, now)
	if err != nil {
		// The forwarder waits for a replica, and answers with its own error.
		return nil
	}
	return s.options.Admission.CheckOverload(callingTenant(ctx).name, predicted, target.MaxWait, now)
}

// reconnect continues an answer whose caller lost its node. The attempt is
// named by the header that began the answer.
func (s *Server) reconnect(ctx iris.Context) {
	attempt, replicaID, _ := strings.Cut(ctx.GetHeader(engine.HeaderAttempt), "@")
	after, err := strconv.Atoi(ctx.GetHeader(engine.HeaderLastEventID))
	if err != nil || after < 0 {
		refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, "Last-Event-ID must be a number", 0)
		return
	}
	address, restarted, stopFollowing, listed := s.options.Replicas.Follow(replicaID)
	if !listed {
		ctx.Header(HeaderExecuted, outcome.Unknown.String())
		fail(ctx, iris.StatusNotFound, openai.TypeNotFound, "the replica is gone")
		return
	}
	defer stopFollowing()
	// An engine that has started again does not have the answer.
	streamCtx, cancel := context.WithCancel(ctx.Request().Context())
	defer cancel()
	go func() {
		select {
		case <-restarted:
			cancel()
		case <-streamCtx.Done():
		}
	}()
	stream, err := s.options.Engines.Resume(streamCtx, address, attempt, ctx.Path(), after)
	if err != nil {
		ctx.Header(HeaderExecuted, outcome.Unknown.String())
		fail(ctx, iris.StatusNotFound, openai.TypeNotFound, "the answer is no longer held: "+err.Error())
		return
	}
	defer stream.Close()
	s.open.Add(1)
	defer s.open.Add(-1)
	sink := &streamSink{ctx: ctx}
	if sink.Head(http.StatusOK, http.Header{"Content-Type": {eventStream}}) != nil {
		return
	}
	for {
		event, err := stream.Next()
		if err != nil {
			sink.fail(outcome.Undecided(err))
			return
		}
		if sink.Write(event.Raw, false) != nil || event.Done {
			return
		}
	}
}
