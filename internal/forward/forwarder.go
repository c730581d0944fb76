package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

const (
	// waitForRoom is the pause before replicas that refused are asked again.
	waitForRoom = 25 * time.Millisecond
	// coldLook bounds the pause before cold replicas are looked at again: one may be
	// listed, or told to be warm, meanwhile.
	coldLook = 100 * time.Millisecond
	// refusalsInARow is the number of refusals after which a request pauses.
	refusalsInARow = 3
)

// Notice is told of what happens to a request, for the log.
type Notice interface {
	// Sent tells of an attempt and of what made the replica the best.
	Sent(request *Request, attempt int, chosen *replica.Candidate, predicted time.Duration)
	// Reserved tells of a replica that was asked for a free slot, and of its answer.
	Reserved(request *Request, asked *replica.Candidate, took time.Duration, err error)
	// Begun tells of the first event of an attempt and of its predicted time.
	Begun(request *Request, predicted, actual time.Duration)
	// Failed tells of an attempt that did not bring the whole answer.
	Failed(request *Request, attempt int, chosen replica.Info, err error)
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	Replicas *replica.Set
	Backend  Backend
	Budget   *retry.Budget
	Weights  replica.Weights
	// Zone and Region are where this node is.
	Zone   string
	Region string
	Notice Notice
	// Reserver, if set, is asked for a free slot elsewhere by requests that find none
	// among their node's own.
	Reserver Reserver
	// ColdFeeders, if set, are asked by requests that find none but cold replicas which
	// this node does not feed.
	ColdFeeders ColdFeeders
	// Quarantine, if set, keeps work from replicas that ended others.
	Quarantine Quarantine
}

// call is the state of one request.
type call struct {
	forwarder *Forwarder
	route     *route.Route
	request   *Request
	sink      Sink
	deadline  time.Time
	result    Result
	demand    replica.Criteria
	// after is the last event passed on; next is when its successor is overdue.
	after     int
	lastEvent time.Time
	// reservation names the slot set aside for the next attempt.
	reservation string
	// ran tells whether the request may have run anywhere.
	ran bool
	// predicted is the time to the first event of the attempt under way, sent when
	// it was sent; zero once it has begun.
	predicted time.Duration
	sent      time.Time
	// status is that of the answer of the last attempt; 0 if there was none.
	status int
	// slowestRefusal is the longest time that an attempt took which did not run.
	slowestRefusal time.Duration
}

// Do carries out a request. A nil error means that a replica's whole answer
// reached the sink. The outcome of an error tells whether the request ran.
func (f *Forwarder) Do(ctx context.Context, target *route.Route, request *Request, sink Sink) (Result, error) {
	f.Budget.Request()
	one := &call{forwarder: f, route: target, request: request, sink: sink, after: request.After}
	one.deadline = deadlineOf(target, request)
	one.result.Pool = target.Pool()
	one.demand = replica.Criteria{
		Zone: f.Zone, Region: f.Region, RequestInfo: replica.RequestInfo{Tokens: request.Prompt.Tokens}, Affinity: affinityOf(request.Prompt), SharedTokens: sharedTokens(request.Prompt),
		Adapter: target.Adapter, Exclude: map[string]bool{}, Regions: target.Regions.Intersect(request.Regions),
		NoRetry: !one.mayRepeat() || target.MaxAttempts < 2,
	}
	if !one.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = clock.WithDeadline(ctx, one.deadline, ErrTimeout)
		defer cancel()
	}
	err := one.run(ctx)
	return one.result, err
}

// Predict estimates the time until a request would get its first event. It
// returns replica.ErrNoReplica if no replica could take it.
func (f *Forwarder) Predict(target *route.Route, request *Request, now time.Time) (time.Duration, error) {
	demand := &replica.Criteria{
		Zone: f.Zone, Region: f.Region, RequestInfo: replica.RequestInfo{Tokens: request.Prompt.Tokens}, Adapter: target.Adapter,
		Regions: target.Regions.Intersect(request.Regions),
	}
	best, err := replica.Pick(f.Replicas.SnapshotFor(target.Pool(), demand, now), demand, f.Weights)
	if none := coldOnly(err); none != nil {
		return none.ColdWait, nil
	}
	if err != nil {
		return 0, err
	}
	return replica.Predict(best, demand, f.Weights), nil
}

// deadlineOf returns when the final answer is due: the earlier of the route's
// time-out and the caller's own deadline.
func deadlineOf(target *route.Route, request *Request) time.Time {
	deadline := request.Deadline
	if target.Timeout > 0 {
		limit := request.Received.Add(target.Timeout)
		if deadline.IsZero() || limit.Before(deadline) {
			deadline = limit
		}
	}
	return deadline
}

// affinityOf spreads requests by the part before the last, which several share.
func affinityOf(prompt route.Prompt) uint64 {
	if len(prompt.Parts) < 2 {
		return 0
	}
	return prompt.Parts[len(prompt.Parts)-2].Key
}

// sharedTokens is the length of a prompt up to its last part.
func sharedTokens(prompt route.Prompt) int {
	total := 0
	for i := range prompt.Parts {
		if i+1 < len(prompt.Parts) {
			total += prompt.Parts[i].Tokens
		}
	}
	return total
}

func (c *call) run(ctx context.Context) error {
	for {
		if err := c.quarantined(ctx); err != nil {
			return c.failure(err)
		}
		chosen, err := c.pick()
		if c.forwarder.fedElsewhere(err) {
			chosen = c.askFeeder(ctx)
		}
		if chosen == nil {
			if waitErr := c.waitForReplica(ctx, err); waitErr != nil {
				return c.failure(waitErr)
			}
			continue
		}
		if !c.demand.Granted {
			chosen = c.reserve(ctx, chosen)
		}
		if now := clock.Now(); !c.inTime(chosen, now) {
			return c.failure(c.outOfTime(now))
		}
		began := clock.Now()
		err = c.attempt(ctx, chosen)
		c.tellQuarantine(ctx, chosen, began, err)
		if err == nil {
			return nil
		}
		if errors.Is(err, errHeldBack) {
			// Others have used the rate up, or the replica has started again meanwhile; the
			// next choice knows.
			continue
		}
		if outcome.Of(err) != outcome.NotDone {
			c.ran = true
		}
		if ctx.Err() != nil {
			return c.failure(contextError(ctx))
		}
		if errors.Is(err, ErrCallerLeft) || !c.mayGoOn(err) {
			return c.failure(err)
		}
		c.demand.Exclude[chosen.Incarnation()] = true
		if c.result.Refusals >= refusalsInARow && c.result.Refusals%refusalsInARow == 0 {
			if waitErr := c.waitForRoom(ctx, waitForRoom); waitErr != nil {
				return c.failure(fmt.Errorf("%w: %w", waitErr, err))
			}
		}
	}
}

// contextError tells a time-out from a caller that left.
func contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), ErrTimeout) {
		return ErrTimeout
	}
	return ErrCallerLeft
}

func (c *call) failure(err error) error {
	if c.ran {
		return Error.Wrap(outcome.Undecided(err))
	}
	return Error.Wrap(outcome.Failed(err))
}

func (c *call) pick() (*replica.Candidate, error) {
	now := clock.Now()
	c.demand.Objective = max(0, c.route.Objective-now.Sub(c.request.Received))
	candidates := c.forwarder.Replicas.SnapshotFor(c.result.Pool, &c.demand, now)
	return replica.Pick(candidates, &c.demand, c.forwarder.Weights)
}

// mayGoOn decides whether another attempt may be made after a failed one.
func (c *call) mayGoOn(err error) bool {
	if outcome.Of(err) == outcome.NotDone {
		c.result.Refusals++
		return true
	}
	if c.result.Attempts >= c.route.MaxAttempts || !c.mayRepeat() {
		return false
	}
	if c.result.Started && c.route.Kind != route.Stream {
		return false
	}
	return c.forwarder.Budget.Retry()
}

// mayRepeat reports whether the request may run more than once.
func (c *call) mayRepeat() bool { return !c.request.Once && c.route.MayRepeat() }

func (c *call) attempt(ctx context.Context, chosen *replica.Candidate) error {
	now := clock.Now()
	use := c.forwarder.Replicas.BeginAt(chosen.Info, c.demand.RequestInfo, now)
	c.demand.Granted = false
	if use == nil {
		c.reservation, c.demand.Reserved = "", false
		return errHeldBack
	}
	c.result.Attempts++
	c.result.Replica, c.result.Region = chosen.ID, chosen.Region
	c.result.Distance = c.demand.Distance(chosen)
	c.predicted, c.sent, c.status = chosen.ExpectedFirstEvent(c.demand.RequestInfo), now, 0
	if c.forwarder.Notice != nil {
		c.forwarder.Notice.Sent(c.request, c.result.Attempts, chosen, c.predicted)
	}
	stop := context.AfterFunc(ctx, func() { release(use) })
	err := c.exchange(ctx, chosen.Info, use)
	stop()
	c.refused(err, clock.Since(now))
	c.reservation, c.demand.Reserved = "", false
	if c.result.Events > 0 {
		c.demand.Version = chosen.Version
	}
	use.End(c.evidence(ctx, use, err), clock.Now())
	if err == nil {
		return nil
	}
	if outcome.Of(err) == outcome.NotDone {
		c.result.Attempts--
	}
	if c.forwarder.Notice != nil {
		c.forwarder.Notice.Failed(c.request, c.result.Attempts, chosen.Info, err)
	}
	return err
}

// releaseAfter is how long after its end a request may still tell how its attempt ended. What
// takes longer is a caller that reads no more.
const releaseAfter = time.Second

// release gives the slot of an attempt back whose request has ended, also while its caller
// reads no more: the replica's connection is closed by then, and the slot is free.
func release(use *replica.Use) {
	time.Sleep(releaseAfter)
	use.End(replica.Abandoned, clock.Now())
}

// resultOf tells what an attempt's error means for the replica's health.
func resultOf(ctx context.Context, err error) replica.Result {
	switch {
	case err == nil:
		return replica.Succeeded
	case errors.Is(err, ErrUnreachable), errors.Is(err, ErrMoved):
		return replica.Unreachable
	case errors.Is(err, ErrRefused):
		return replica.Refused
	case errors.Is(err, ErrCallerLeft), errors.Is(err, ErrStalled), ctx.Err() != nil:
		return replica.Abandoned
	default:
		return replica.Failed
	}
}

// silenceFails is the silence of a replica, to all requests of this node, from which on
// it counts as a failure when a request ends in it: as long as items wait.
const silenceFails = 2 * time.Second

// evidence tells what the end of an attempt says of the replica. An answer that was
// passed on because it was the last word may be a failure all the same.
func (c *call) evidence(ctx context.Context, use *replica.Use, err error) replica.Result {
	result := resultOf(ctx, err)
	switch {
	case result == replica.Abandoned && !c.sent.IsZero() && use.Silence(clock.Now()) >= silenceFails:
		return replica.Failed
	case err == nil && c.status == http.StatusGatewayTimeout:
		// It stopped at the deadline that it was given.
		return replica.Abandoned
	case err == nil && c.status >= http.StatusInternalServerError:
		return replica.Failed
	default:
		return result
	}
}

// exchange sends one attempt and passes its answer on.
func (c *call) exchange(ctx context.Context, chosen replica.Info, use *replica.Use) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := c.watchSilence(use, cancel)
	defer watch.stop()
	seen := c.watchRestart(ctx, use, cancel)
	answer, err := c.forwarder.Backend.Send(ctx, &Attempt{
		Request: c.request, Replica: chosen, After: c.after, Deadline: c.replicaDeadline(c.result.Distance), Reservation: c.reservation,
	})
	if err != nil {
		return givenUp(ctx, err)
	}
	c.status = answer.Status
	seen.note()
	answer.Body = &observedBody{ReadCloser: answer.Body, progress: seen}
	defer func() { _ = answer.Body.Close() }()
	if answer.ColdLeft > 0 {
		use.ReportCold(answer.ColdLeft, clock.Now())
	}
	if answer.Load != nil {
		use.RecordLoad(*answer.Load, clock.Now())
	}
	if answer.Events && answer.Status == http.StatusOK {
		return givenUp(ctx, c.passEvents(answer, use, watch))
	}
	return givenUp(ctx, c.passWhole(answer, use))
}

// givenUp replaces an error that comes of this side's own giving up of an attempt. One that
// was left for a restart and surely did not run is reported as it is.
func givenUp(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		return nil
	case errors.Is(cause, ErrSilent), errors.Is(cause, ErrStalled), errors.Is(cause, ErrRestarted) && outcome.Of(err) != outcome.NotDone:
		return outcome.Undecided(cause)
	default:
		return err
	}
}
