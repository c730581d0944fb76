// Package dispatch carries one online request to a replica and its answer back.
//
// Every attempt ends as done, not run, or unknown. A request is sent anew only
// if the last attempt provably did not run, or if the request is repeatable; a
// broken stream is first continued at the same engine by id and offset. What
// has reached the caller is never sent twice: a replay skips as many tokens.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/fleet"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/routing"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dispatch")

var (
	// ErrGivenUp reports that the request could not be completed.
	ErrGivenUp = errors.New("request could not be completed")
	// ErrCallerLeft reports that the caller went away.
	ErrCallerLeft = errors.New("caller left")
)

const (
	maxAttempts = 4
	// resumeTries and resumeDelay bound how long a broken stream is asked for
	// at its engine before the engine counts as gone.
	resumeTries = 3
	resumeDelay = 60 * time.Millisecond
	abortTime   = time.Second
)

// Request is an online request.
type Request struct {
	// ID is the caller's request id, or one made for it.
	ID   string
	Path string
	// Body is the caller's body with priority and stream set.
	Body []byte
	// Repeatable requests may run more than once.
	Repeatable bool
	Route      routing.Request
}

// Sink takes the events of an answer. Its error means that the caller left.
type Sink interface {
	// Begin names the attempt whose events follow, and its replica.
	Begin(attempt, replica string)
	Event(engine.Event) error
}

// Result tells how a request ended.
type Result struct {
	Replica  string
	Attempts int
	Tokens   int
	// FirstToken is the time from the start to the first token.
	FirstToken time.Duration
}

// Engines is what a dispatcher needs of the engines.
type Engines interface {
	Stream(ctx context.Context, base string, attempt engine.Attempt) (*engine.Stream, error)
	Resume(ctx context.Context, base, id, path string, after int) (*engine.Stream, error)
	Abort(ctx context.Context, base, id string) (engine.RequestStatus, error)
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	Registry *fleet.Registry
	Index    *fleet.PrefixIndex
	Router   *routing.Router
	Engines  Engines
	Budget   *retry.Budget
	// Sent is told of every attempt before it is sent, to make batch give way.
	Sent func(replica string)
	// Unique makes attempt ids differ between nodes and runs.
	Unique string
}

// call is the state of one request.
type call struct {
	dispatcher *Dispatcher
	request    *Request
	sink       Sink
	started    time.Time
	result     Result
	// attempt and replica are the latest.
	attempt string
	replica *routing.Replica
	lease   *fleet.Lease
	version string
}

// Do carries out a request. A nil error means that the whole answer reached
// the sink. The outcome of an error (package outcome) tells whether the
// request ran.
func (d *Dispatcher) Do(ctx context.Context, request *Request, sink Sink) (Result, error) {
	d.Budget.Request()
	one := &call{dispatcher: d, request: request, sink: sink, started: time.Now()}
	err := one.run(ctx)
	return one.result, err
}

func (c *call) run(ctx context.Context) error {
	ran := outcome.NotDone
	var last error
	for c.result.Attempts < maxAttempts {
		if c.result.Attempts > 0 && !c.dispatcher.Budget.Retry() {
			break
		}
		err := c.tryOnce(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrCallerLeft) || c.replica == nil {
			return c.failure(ran, err, last)
		}
		last = err
		if outcome.Of(err) != outcome.NotDone {
			ran = outcome.Unknown
		}
		if !c.mayRetry(err) {
			break
		}
	}
	return c.failure(ran, last, nil)
}

func (c *call) failure(ran outcome.Outcome, err, earlier error) error {
	if earlier != nil {
		err = errors.Join(err, earlier)
	}
	return Error.Wrap(&outcome.Error{Outcome: ran, Err: fmt.Errorf("%w: %w", ErrGivenUp, err)})
}

// mayRetry decides whether another replica may be tried.
func (c *call) mayRetry(err error) bool {
	var refused *engine.RefusedError
	if errors.As(err, &refused) && !refused.Temporary() {
		return false
	}
	return outcome.Of(err) == outcome.NotDone || c.request.Repeatable
}

// tryOnce makes one attempt. c.replica is nil afterwards if there was no
// replica to try.
func (c *call) tryOnce(ctx context.Context) error {
	d := c.dispatcher
	c.replica = nil
	c.request.Route.Version = c.version
	decision, err := d.Router.Pick(d.Registry.Snapshot(time.Now()), &c.request.Route)
	if err != nil {
		return outcome.Failed(err)
	}
	c.replica = decision.Replica
	c.result.Replica = decision.Replica.ID
	c.result.Attempts++
	c.attempt = fmt.Sprintf("%s~%s.%d", c.request.ID, d.Unique, c.result.Attempts)
	uncached := max(1, c.request.Route.Words-decision.CachedBlocks*engine.PrefixBlockWords)
	c.lease = d.Registry.Begin(decision.Replica, uncached, time.Now())
	d.Sent(decision.Replica.ID)
	err = c.stream(ctx)
	failed := err != nil && !errors.Is(err, ErrCallerLeft)
	c.lease.End(failed, time.Now())
	if failed {
		c.exclude(decision.Replica.ID)
	}
	if err == nil {
		d.Index.Add(decision.Replica.ID, c.request.Route.Blocks)
	}
	return err
}

func (c *call) exclude(replica string) {
	if c.request.Route.Exclude == nil {
		c.request.Route.Exclude = map[string]bool{}
	}
	c.request.Route.Exclude[replica] = true
}

// stream sends the attempt and relays its events, resuming while it breaks.
func (c *call) stream(ctx context.Context) error {
	engines := c.dispatcher.Engines
	attempt := engine.Attempt{ID: c.attempt, Path: c.request.Path, Body: c.request.Body}
	stream, err := engines.Stream(ctx, c.replica.Address, attempt)
	if err == nil {
		c.sink.Begin(c.attempt, c.replica.ID)
		c.learn(stream)
		err = c.relay(ctx, stream)
	}
	for tries := 0; c.resumable(ctx, err, tries); tries++ {
		select {
		case <-ctx.Done():
		case <-time.After(resumeDelay << tries):
		}
		var resumeErr error
		stream, resumeErr = engines.Resume(ctx, c.replica.Address, c.attempt, c.request.Path, c.result.Tokens)
		if errors.Is(resumeErr, engine.ErrUnknownRequest) {
			break
		}
		if resumeErr == nil {
			err = c.relay(ctx, stream)
		}
	}
	if ctx.Err() != nil || errors.Is(err, ErrCallerLeft) {
		c.abort()
		return Error.Wrap(outcome.Undecided(ErrCallerLeft))
	}
	return err
}

// learn takes in the load report that comes with an answer: the freshest word
// on a replica that this node uses.
func (c *call) learn(stream *engine.Stream) {
	if load, ok := stream.Load(); ok {
		c.dispatcher.Registry.SetLoad(c.replica.ID, load)
	}
}

// resumable reports whether the attempt may still be running at its engine.
func (c *call) resumable(ctx context.Context, err error, tries int) bool {
	if err == nil || ctx.Err() != nil || errors.Is(err, ErrCallerLeft) {
		return false
	}
	return outcome.Of(err) == outcome.Unknown && tries < resumeTries
}

// abort tells the engine that nobody wants the answer any more.
func (c *call) abort() {
	ctx, cancel := context.WithTimeout(context.Background(), abortTime)
	defer cancel()
	// If the call is lost the engine drops the attempt for lack of readers.
	_, _ = c.dispatcher.Engines.Abort(ctx, c.replica.Address, c.attempt)
}

// relay passes events on, leaving out those that the caller already has.
func (c *call) relay(ctx context.Context, stream *engine.Stream) error {
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil {
			if ctx.Err() != nil {
				return ErrCallerLeft
			}
			return err
		}
		if !event.Done && event.ID <= c.result.Tokens && !lastChunk(event, c.result.Tokens) {
			continue
		}
		if c.result.Tokens == 0 && event.ID > 0 {
			c.result.FirstToken = time.Since(c.started)
			c.version = c.replica.Version
		}
		if event.ID > 0 {
			c.lease.FirstToken(time.Now())
		}
		if err := c.sink.Event(event); err != nil {
			return ErrCallerLeft
		}
		if event.Done {
			return nil
		}
		c.result.Tokens = max(c.result.Tokens, event.ID)
	}
}

// lastChunk reports whether an event is the closing chunk, which repeats the id
// of the last token and carries the finish reason.
func lastChunk(event engine.Event, tokens int) bool {
	return event.ID == tokens && tokens > 0 && event.Finishes()
}
