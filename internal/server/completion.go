package server

import (
	"context"
	"errors"
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
	"github.com/wheelhoist/wheelhoist/internal/ingress"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

const (
	// maxBodyBytes is the maximum size of a completion request.
	maxBodyBytes = 4 << 20
	// notServingRetryAfter is the Retry-After of requests that a draining node or a node with an
	// outdated view refuses.
	notServingRetryAfter = time.Second
	// overloadRetryAfter is the Retry-After of requests that no replica has capacity for.
	overloadRetryAfter = time.Second
	// assumedTokens is the number of tokens charged for a request without a token limit.
	assumedTokens = 64
)

// complete serves chat and text completions.
func (s *Server) complete(ctx iris.Context) {
	if !s.serving() {
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeOverloaded, "this node takes no new work", notServingRetryAfter)
		return
	}
	body, err := ingress.ReadBody(ctx.ResponseWriter(), ctx.Request(), maxBodyBytes)
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

// refuseBody refuses a request whose body could not be read whole. Such a request has not run.
func refuseBody(ctx iris.Context, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refuse(ctx, iris.StatusRequestEntityTooLarge, openai.TypeInvalidRequest, "the body is too large", 0)
	case errors.Is(err, ingress.ErrMemoryShort):
		refuse(ctx, iris.StatusServiceUnavailable, openai.TypeOverloaded, err.Error(), overloadRetryAfter)
	case errors.Is(err, ingress.ErrStalled):
		refuse(ctx, iris.StatusRequestTimeout, openai.TypeOverloaded, err.Error(), overloadRetryAfter)
	default:
		refuse(ctx, iris.StatusBadRequest, openai.TypeInvalidRequest, "the body could not be read", 0)
	}
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
		AtMostOnce: ctx.GetHeader(HeaderRepeatable) == "no",
	}
}

// describePrompt splits a prompt into the part that other prompts may share, its first
// maxSharedBlocks blocks, and the rest. Token counts are estimated by the number of words.
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

// maxSharedBlocks is the number of leading blocks that are hashed to route prompts with a common
// prefix to the same replica: enough to distinguish system prompts, few enough to leave out the
// user messages after them.
const maxSharedBlocks = 4

// dispatch runs a request. A request that may run only once and has an idempotency key runs under a
// claim on the key, and a retry of an answered one gets the recorded answer.
func (s *Server) dispatch(ctx iris.Context, target *route.Route, request *forward.Request, stream bool) {
	ctx.Header(engine.HeaderRequestID, request.ID)
	key := ctx.GetHeader(HeaderIdempotencyKey)
	if !request.AtMostOnce || key == "" {
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

// settleClaim records the answer of a claimed request, or releases the claim if the request did not
// run. If it may have run, the claim is kept.
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
		s.options.Log.Warn().Err(err).Msg("failed to settle idempotency claim, retries will be refused")
	}
}

// claimTimeout bounds the write that settles a claim; it does not depend on the caller's context.
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

// forward forwards a request to a replica and writes the answer or the error response.
func (s *Server) forward(ctx iris.Context, target *route.Route, request *forward.Request, stream bool) (*recordedAnswer, error) {
	if err := s.checkOverload(ctx, target, request); err != nil {
		s.refuseAdmission(ctx, err)
		return nil, outcome.AsNotDone(err)
	}
	var sink responseSink = &bufferedSink{ctx: ctx, path: request.Target}
	if stream {
		sink = &streamSink{ctx: ctx, record: request.AtMostOnce}
	}
	result, err := s.options.Forward(ctx.Request().Context(), target, request, sink)
	s.metrics.observe(result, err, clock.Since(request.Received))
	if err != nil {
		sink.fail(err)
		return nil, err
	}
	return sink.finish(), nil
}

// checkOverload returns an error for a request that no replica is predicted to start in time.
func (s *Server) checkOverload(ctx iris.Context, target *route.Route, request *forward.Request) error {
	now := clock.Now()
	predicted, err := s.options.Predict(target, request, now)
	if err != nil {
		// The forwarder waits for a replica and returns its own error.
		return nil
	}
	return s.options.Admission.CheckOverload(callingTenant(ctx).name, predicted, target.MaxWait, now)
}

// reconnect resumes a streamed answer after the caller lost its connection. HeaderAttempt of the
// original response identifies the attempt and the replica, Last-Event-ID the last event received.
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
	// An engine that has restarted no longer has the answer, and the connection to the old process
	// may stay open without delivering data.
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
			sink.fail(outcome.AsUnknown(err))
			return
		}
		if sink.Write(event.Raw, false) != nil || event.Done {
			return
		}
	}
}
