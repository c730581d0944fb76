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
	// capacityRetryInterval is the pause before replicas that refused are asked again.
	capacityRetryInterval = 25 * time.Millisecond
	// coldRecheckInterval bounds the pause before cold replicas are looked at again: one may be
	// listed, or told to be warm, meanwhile.
	coldRecheckInterval = 100 * time.Millisecond
	// refusalsPerPause is the number of refusals after which a request pauses.
	refusalsPerPause = 3
)

// Observer is told of what happens to a request, for the log.
type Observer interface {
	// Sent tells of an attempt and of what made the replica the best.
	Sent(request *Request, attempt int, chosen *replica.Candidate, predicted time.Duration)
	// Reserved tells of a replica that was asked for a free slot, and of its answer.
	Reserved(request *Request, asked *replica.Candidate, took time.Duration, err error)
	// FirstEvent tells of the first event of an attempt and of its predicted time.
	FirstEvent(request *Request, predicted, actual time.Duration)
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
	Zone     string
	Region   string
	Observer Observer
	// Reserver, if set, is asked for a free slot elsewhere by requests that find none
	// among their node's own.
	Reserver Reserver
	// ColdGranter, if set, are asked by requests that find none but cold replicas which
	// this node does not feed.
	ColdGranter ColdGranter
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
	demand    replica.Demand
	// lastEventID is the last event passed on; next is when its successor is overdue.
	lastEventID int
	lastEventAt time.Time
	// reservation names the slot set aside for the next attempt.
	reservation string
	// mayHaveRun tells whether the request may have run anywhere.
	mayHaveRun bool
	// predicted is the time to the first event of the attempt under way, sent when
	// it was sent; zero once it has begun.
	predicted time.Duration
	sentAt    time.Time
	// status is that of the answer of the last attempt; 0 if there was none.
	status int
	// slowestRefusal is the longest time that an attempt took which did not run.
	slowestRefusal time.Duration
}

// Do carries out a request. A nil error means that a replica's whole answer
// reached the sink. The outcome of an error tells whether the request ran.
func (f *Forwarder) Do(ctx context.Context, target *route.Route, request *Request, sink Sink) (Result, error) {
	f.Budget.Request()
	c := &call{forwarder: f, route: target, request: request, sink: sink, lastEventID: request.LastEventID}
	c.deadline = deadlineOf(target, request)
	c.result.Pool = target.Pool()
	c.demand = replica.Demand{
		Zone: f.Zone, Region: f.Region, Ask: replica.Ask{Tokens: request.Prompt.Tokens}, Affinity: affinityOf(request.Prompt), Shared: sharedTokens(request.Prompt),
		Adapter: target.Adapter, Exclude: map[string]bool{}, Regions: target.Regions.And(request.Regions),
		Single: !c.mayRepeat() || target.MaxAttempts < 2,
	}
	if !c.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = clock.WithDeadline(ctx, c.deadline, ErrTimeout)
		defer cancel()
	}
	err := c.run(ctx)
	return c.result, err
}

// Predict estimates the time until a request would get its first event. It
// returns replica.ErrNoReplica if no replica could take it.
func (f *Forwarder) Predict(target *route.Route, request *Request, now time.Time) (time.Duration, error) {
	demand := &replica.Demand{
		Zone: f.Zone, Region: f.Region, Ask: replica.Ask{Tokens: request.Prompt.Tokens}, Adapter: target.Adapter,
		Regions: target.Regions.And(request.Regions),
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
		if err := c.checkQuarantine(ctx); err != nil {
			return c.withOutcome(err)
		}
		chosen, err := c.pick()
		if c.forwarder.needsColdGrant(err) {
			chosen = c.requestColdGrant(ctx)
		}
		if chosen == nil {
			if waitErr := c.waitForReplica(ctx, err); waitErr != nil {
				return c.withOutcome(waitErr)
			}
			continue
		}
		if !c.demand.Granted {
			chosen = c.reserve(ctx, chosen)
		}
		if now := clock.Now(); !c.hasTimeFor(chosen, now) {
			return c.withOutcome(c.outOfTimeError(now))
		}
		began := clock.Now()
		err = c.attempt(ctx, chosen)
		c.reportToQuarantine(ctx, chosen, began, err)
		if err == nil {
			return nil
		}
		if errors.Is(err, errNotAdmitted) {
			// Others have used the rate up, or the replica has started again meanwhile; the
			// next choice knows.
			continue
		}
		if outcome.Of(err) != outcome.NotDone {
			c.mayHaveRun = true
		}
		if ctx.Err() != nil {
			return c.withOutcome(contextError(ctx))
		}
		if errors.Is(err, ErrCallerDisconnected) || !c.shouldRetry(err) {
			return c.withOutcome(err)
		}
		c.demand.Exclude[chosen.Incarnation()] = true
		if c.result.Refusals >= refusalsPerPause && c.result.Refusals%refusalsPerPause == 0 {
			if waitErr := c.waitForCapacity(ctx, capacityRetryInterval); waitErr != nil {
				return c.withOutcome(fmt.Errorf("%w: %w", waitErr, err))
			}
		}
	}
}

// contextError tells a time-out from a caller that left.
func contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), ErrTimeout) {
		return ErrTimeout
	}
	return ErrCallerDisconnected
}

func (c *call) withOutcome(err error) error {
	if c.mayHaveRun {
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

// shouldRetry decides whether another attempt may be made after a failed one.
func (c *call) shouldRetry(err error) bool {
	if outcome.Of(err) == outcome.NotDone {
		c.result.Refusals++
		return true
	}
	if c.result.Attempts >= c.route.MaxAttempts || !c.mayRepeat() {
		return false
	}
	if c.result.HeadSent && c.route.Kind != route.Stream {
		return false
	}
	return c.forwarder.Budget.Retry()
}

// mayRepeat reports whether the request may run more than once.
func (c *call) mayRepeat() bool { return !c.request.AtMostOnce && c.route.MayRepeat() }

func (c *call) attempt(ctx context.Context, chosen *replica.Candidate) error {
	now := clock.Now()
	use := c.forwarder.Replicas.BeginAt(chosen.Info, c.demand.Ask, now)
	c.demand.Granted = false
	if use == nil {
		c.reservation, c.demand.Reserved = "", false
		return errNotAdmitted
	}
	c.result.Attempts++
	c.result.Replica, c.result.Region = chosen.ID, chosen.Region
	c.result.Distance = c.demand.Distance(chosen)
	c.predicted, c.sentAt, c.status = chosen.Expected(c.demand.Ask), now, 0
	if c.forwarder.Observer != nil {
		c.forwarder.Observer.Sent(c.request, c.result.Attempts, chosen, c.predicted)
	}
	stop := context.AfterFunc(ctx, func() { releaseSlot(use) })
	err := c.exchange(ctx, chosen.Info, use)
	stop()
	c.recordRefusal(err, clock.Since(now))
	c.reservation, c.demand.Reserved = "", false
	if c.result.Events > 0 {
		c.demand.Version = chosen.Version
	}
	use.End(c.healthResult(ctx, use, err), clock.Now())
	if err == nil {
		return nil
	}
	if outcome.Of(err) == outcome.NotDone {
		c.result.Attempts--
	}
	if c.forwarder.Observer != nil {
		c.forwarder.Observer.Failed(c.request, c.result.Attempts, chosen.Info, err)
	}
	return err
}

// slotReleaseDelay is how long after its end a request may still tell how its attempt ended. What
// takes longer is a caller that reads no more.
const slotReleaseDelay = time.Second

// releaseSlot gives the slot of an attempt back whose request has ended, also while its caller
// reads no more: the replica's connection is closed by then, and the slot is free.
func releaseSlot(use *replica.Use) {
	time.Sleep(slotReleaseDelay)
	use.End(replica.Abandoned, clock.Now())
}

// resultOfError tells what an attempt's error means for the replica's health.
func resultOfError(ctx context.Context, err error) replica.Result {
	switch {
	case err == nil:
		return replica.Succeeded
	case errors.Is(err, ErrUnreachable), errors.Is(err, ErrMoved):
		return replica.Unreachable
	case errors.Is(err, ErrRefused):
		return replica.Refused
	case errors.Is(err, ErrCallerDisconnected), errors.Is(err, ErrStalled), ctx.Err() != nil:
		return replica.Abandoned
	default:
		return replica.Failed
	}
}

// silenceFailureThreshold is the silence of a replica, to all requests of this node, from which on
// it counts as a failure when a request ends in it: as long as items wait.
const silenceFailureThreshold = 2 * time.Second

// healthResult tells what the end of an attempt says of the replica. An answer that was
// passed on because it was the last word may be a failure all the same.
func (c *call) healthResult(ctx context.Context, use *replica.Use, err error) replica.Result {
	result := resultOfError(ctx, err)
	switch {
	case result == replica.Abandoned && !c.sentAt.IsZero() && use.Silence(clock.Now()) >= silenceFailureThreshold:
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
	watch := c.startSilenceWatchdog(use, cancel)
	defer watch.stop()
	seen := c.watchRestart(ctx, use, cancel)
	answer, err := c.forwarder.Backend.Send(ctx, &Attempt{
		Request: c.request, Replica: chosen, LastEventID: c.lastEventID, Deadline: c.replicaDeadline(c.result.Distance), Reservation: c.reservation,
	})
	if err != nil {
		return cancellationError(ctx, err)
	}
	c.status = answer.Status
	seen.record()
	answer.Body = &observedBody{ReadCloser: answer.Body, progress: seen}
	defer func() { _ = answer.Body.Close() }()
	if answer.ColdLeft > 0 {
		use.Chill(answer.ColdLeft, clock.Now())
	}
	if answer.Load != nil {
		use.Load(*answer.Load, clock.Now())
	}
	if answer.EventStream && answer.Status == http.StatusOK {
		return cancellationError(ctx, c.forwardEvents(answer, use, watch))
	}
	return cancellationError(ctx, c.forwardBuffered(answer, use))
}

// cancellationError replaces an error that comes of this side's own giving up of an attempt. One that
// was left for a restart and surely did not run is reported as it is.
func cancellationError(ctx context.Context, err error) error {
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
