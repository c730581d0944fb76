package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

const (
	// capacityRetryInterval is the pause before replicas that refused are tried again.
	capacityRetryInterval = 25 * time.Millisecond
	// coldRecheckInterval bounds the pause before cold replicas are checked again: meanwhile a
	// replica may be listed or become warm.
	coldRecheckInterval = 100 * time.Millisecond
	// refusalsPerPause is the number of refusals after which a request pauses.
	refusalsPerPause = 3
)

// Observer receives the events of a request, for logs and metrics.
type Observer interface {
	// Sent is called before each attempt with the candidate and its predicted time to first event.
	Sent(request *Request, attempt int, chosen *replica.Candidate, predicted time.Duration)
	// Continued is called when an attempt continues a stream of which the caller has received events.
	Continued(request *Request, continuation Continuation)
	// Reserved is called after a replica was asked for a free slot, with the result.
	Reserved(request *Request, candidate *replica.Candidate, took time.Duration, err error)
	// FirstEvent is called at the first event of an attempt, with its predicted and actual time.
	FirstEvent(request *Request, predicted, actual time.Duration)
	// Failed is called after an attempt that did not deliver a complete answer.
	Failed(request *Request, attempt int, chosen replica.Info, err error)
}

// Continuation describes an attempt that continues a stream.
type Continuation struct {
	// After is the last event that the caller has received.
	After   int
	Replica replica.Info
	// ByCaller is set if the caller received the events before with another request.
	ByCaller bool
	// Previous is the software version that sent the events before, if PreviousKnown is set.
	Previous      string
	PreviousKnown bool
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	Replicas *replica.Set
	Backend  Backend
	Budget   *retry.Budget
	Weights  replica.Weights
	// Zone and Region are the location of this node.
	Zone     string
	Region   string
	Observer Observer
	// Reserver, if set, reserves a slot at another replica for requests that find none free in this
	// node's own share.
	Reserver Reserver
	// ColdGranter, if set, is asked for a grant by requests that find only cold replicas to which
	// this node may not send by itself.
	ColdGranter ColdGranter
	grantGate   grantGate
	// Origins, if set, tells where streams began that callers continue here.
	Origins StreamOrigins
	// Quarantine, if set, keeps work away from replicas if it is suspected of crashing them.
	Quarantine Quarantine

	// answers bounds what all answers keep in memory together.
	answers bytebudget.Budget
	// answerTimes are those of online requests.
	answerTimes answerTimes
	// stop is the planned stop of this node; nil if none has begun.
	stop atomic.Pointer[PlannedStop]
}

// call is the state of one request.
type call struct {
	forwarder *Forwarder
	route     *route.Route
	request   *Request
	sink      Sink
	deadline  time.Time
	result    Result
	criteria  replica.Criteria
	// lastEventID is the last event relayed, lastEventAt when that was.
	lastEventID int
	lastEventAt time.Time
	// reservation identifies the slot reserved for the next attempt.
	reservation string
	// mayHaveRun is set once any attempt may have run.
	mayHaveRun bool
	// predicted is the expected time to the first event of the current attempt. sentAt is when the
	// attempt was sent; zero once its first event has arrived.
	predicted time.Duration
	sentAt    time.Time
	// status is the HTTP status of the last attempt's answer; 0 if there was none.
	status int
	// softwareUncertain is set if it is not certain which software version sent the events relayed.
	softwareUncertain bool
	// interrupted is the last attempt if it relayed events of a stream and broke off; nil otherwise.
	interrupted *replica.Use
	// trial is set while the request runs as a trial of quarantined work or, if triedPart is set, of that
	// part of prompts.
	trial     *quarantine.Trial
	triedPart quarantine.Work
	// claim is the state of the trial's claim of a replica.
	claim claimState
	// retryTaken is set if the retry after the last attempt has been taken from the budget already.
	retryTaken bool
	// lastRefusal is the error of the last attempt that did not run; nil if there was none.
	lastRefusal error
	// slowestRefusal is the longest duration of such an attempt.
	slowestRefusal time.Duration
}

// Do forwards a request. A nil error means that a complete answer of a replica reached the sink.
// The outcome of an error states whether the request ran.
func (f *Forwarder) Do(ctx context.Context, target *route.Route, request *Request, sink Sink) (Result, error) {
	f.Budget.RecordRequest()
	c := &call{forwarder: f, route: target, request: request, sink: sink, lastEventID: request.LastEventID}
	c.deadline = deadlineOf(target, request)
	c.result.Pool = target.Pool()
	c.criteria = replica.Criteria{
		Zone: f.Zone, Region: f.Region, RequestInfo: replica.RequestInfo{Tokens: request.Prompt.Tokens}, Affinity: affinityOf(request.Prompt), SharedTokens: sharedTokens(request.Prompt),
		Adapter: target.Adapter, Exclude: map[string]bool{}, Regions: target.Regions.Intersect(request.Regions),
		NoRetry: !c.mayRepeat() || target.MaxAttempts < 2,
	}
	if !c.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = clock.WithDeadline(ctx, c.deadline, ErrTimeout)
		defer cancel()
	}
	if err := c.requireOrigin(ctx); err != nil {
		return c.result, c.withOutcome(err)
	}
	err := c.run(ctx)
	return c.result, err
}

// Predict estimates the time until a request would get its first event. It returns
// replica.ErrNoReplica if no replica could serve it.
func (f *Forwarder) Predict(target *route.Route, request *Request, now time.Time) (time.Duration, error) {
	criteria := &replica.Criteria{
		Zone: f.Zone, Region: f.Region, RequestInfo: replica.RequestInfo{Tokens: request.Prompt.Tokens}, Adapter: target.Adapter,
		Regions: target.Regions.Intersect(request.Regions),
	}
	best, err := replica.Pick(f.Replicas.SnapshotFor(target.Pool(), criteria, now), criteria, f.Weights)
	if noReplicaErr := coldOnly(err); noReplicaErr != nil {
		return noReplicaErr.ColdWait, nil
	}
	if err != nil {
		return 0, err
	}
	return replica.Predict(best, criteria, f.Weights), nil
}

// deadlineOf returns when the complete answer is due: the earlier of the route's timeout and the
// caller's deadline.
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

// affinityOf returns the key of the last part that other prompts may share, which is the one before
// the last; 0 if there is none.
func affinityOf(prompt route.Prompt) uint64 {
	if len(prompt.Parts) < 2 {
		return 0
	}
	return prompt.Parts[len(prompt.Parts)-2].Key
}

// sharedTokens returns the number of tokens in all parts of a prompt but the last.
func sharedTokens(prompt route.Prompt) int {
	total := 0
	for _, part := range prompt.SharedParts() {
		total += part.Tokens
	}
	return total
}

// run sends attempts until one succeeds or no further one is allowed.
func (c *call) run(ctx context.Context) error {
	defer c.endTrial()
	for {
		if err := c.checkStop(); err != nil {
			return c.withOutcome(err)
		}
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
		if !c.criteria.Granted {
			chosen = c.reserve(ctx, chosen)
		}
		if !c.prepareTrial(ctx, chosen) {
			if ctx.Err() != nil {
				return c.withOutcome(contextError(ctx))
			}
			continue
		}
		if now := clock.Now(); !c.hasTimeFor(chosen, now) {
			return c.withOutcome(c.outOfTimeError(now))
		}
		// The reservation and the trial may have taken long.
		if err := c.checkStop(); err != nil {
			return c.withOutcome(err)
		}
		began := clock.Now()
		err = c.attempt(ctx, chosen)
		c.reportToQuarantine(ctx, chosen, began, err)
		if err == nil {
			c.recordAnswerTime(began)
			return nil
		}
		c.confirmSoftware()
		if errors.Is(err, errNotAdmitted) {
			// Other requests have used up the rate, or the replica has restarted; the next pick
			// takes that into account.
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
		c.criteria.Exclude[chosen.Incarnation()] = true
		if c.result.Refusals >= refusalsPerPause && c.result.Refusals%refusalsPerPause == 0 {
			if waitErr := c.waitForCapacity(ctx, capacityRetryInterval); waitErr != nil {
				return c.withOutcome(fmt.Errorf("%w: %w", waitErr, err))
			}
		}
	}
}

// contextError distinguishes a timeout and the stop of this node from a caller that disconnected.
func contextError(ctx context.Context) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrTimeout):
		return ErrTimeout
	case errors.Is(cause, ErrStopping):
		return ErrStopping
	default:
		return ErrCallerDisconnected
	}
}

// withOutcome wraps the final error of a request with the outcome of the request.
func (c *call) withOutcome(err error) error {
	if c.mayHaveRun {
		return Error.Wrap(outcome.AsUnknown(err))
	}
	return Error.Wrap(outcome.AsNotDone(err))
}

// pick returns the best replica for the next attempt, or a replica.NoReplicaError.
func (c *call) pick() (*replica.Candidate, error) {
	now := clock.Now()
	c.criteria.Objective = max(0, c.route.Objective-now.Sub(c.request.Received))
	c.criteria.Claimed, c.criteria.Trial = c.claimedReplicas(), c.trial != nil
	candidates := c.forwarder.Replicas.SnapshotFor(c.result.Pool, &c.criteria, now)
	return replica.Pick(candidates, &c.criteria, c.forwarder.Weights)
}

// shouldRetry decides whether another attempt follows a failed one, and spends retry budget if the
// failed one may have run.
func (c *call) shouldRetry(err error) bool {
	if outcome.Of(err) == outcome.NotDone {
		c.result.Refusals++
		return true
	}
	if c.result.Attempts >= c.route.MaxAttempts || !c.mayRepeat() {
		return false
	}
	if c.result.HeadSent && (c.route.Kind != route.Stream || c.softwareUncertain) {
		return false
	}
	return c.retryTaken || c.forwarder.Budget.TryRetry()
}

// mayRepeat reports whether the request may run more than once.
func (c *call) mayRepeat() bool { return !c.request.AtMostOnce && c.route.MayRepeat() }

// attempt sends the request to a replica once and records the result. It returns errNotAdmitted if
// nothing was sent.
func (c *call) attempt(ctx context.Context, chosen *replica.Candidate) error {
	now := clock.Now()
	use := c.forwarder.Replicas.BeginAt(chosen.Info, c.criteria.RequestInfo, now)
	c.criteria.Granted = false
	if use == nil {
		c.dropReservation()
		return errNotAdmitted
	}
	c.result.Attempts++
	c.result.Replica, c.result.Region = chosen.ID, chosen.Region
	c.result.Distance = c.criteria.Distance(chosen)
	c.predicted, c.sentAt, c.status = chosen.ExpectedFirstEvent(c.criteria.RequestInfo), now, 0
	if c.forwarder.Observer != nil {
		c.forwarder.Observer.Sent(c.request, c.result.Attempts, chosen, c.predicted)
		if c.lastEventID > 0 {
			c.forwarder.Observer.Continued(c.request, Continuation{
				After: c.lastEventID, Replica: chosen.Info, ByCaller: c.result.Events == 0, Previous: c.requiredSoftware(), PreviousKnown: c.criteria.SoftwareVersion != nil,
			})
		}
	}
	stop := context.AfterFunc(ctx, func() { releaseSlot(use) })
	eventsBefore := c.result.Events
	err := c.exchange(ctx, chosen.Info, use)
	stop()
	c.recordRefusal(err, clock.Since(now))
	c.dropReservation()
	if c.result.Events > eventsBefore {
		c.criteria.Version = chosen.Version
		c.checkSoftware(use)
		if err != nil && c.route.Kind == route.Stream {
			c.interrupted = use
		}
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

// slotReleaseDelay is how long an attempt may still report its own result after its request has
// ended. Only a caller that has stopped reading takes longer.
const slotReleaseDelay = time.Second

// releaseSlot frees the slot of an attempt whose request has ended, even if the caller has stopped
// reading. By then the connection to the replica is closed and its slot is free.
func releaseSlot(use *replica.Use) {
	time.Sleep(slotReleaseDelay)
	use.End(replica.Abandoned, clock.Now())
}

// exchange sends one attempt and relays its answer.
func (c *call) exchange(ctx context.Context, chosen replica.Info, use *replica.Use) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := c.startSilenceWatchdog(chosen, use, cancel)
	defer func() { c.retryTaken = watchdog.stop() }()
	received := c.watchRestart(ctx, use, cancel)
	answer, err := c.forwarder.Backend.Send(ctx, &Attempt{
		Request: c.request, Replica: chosen, LastEventID: c.lastEventID, Deadline: c.replicaDeadline(c.result.Distance), Reservation: c.reservation,
	})
	if err != nil {
		return cancellationError(ctx, err)
	}
	c.status = answer.Status
	received.record()
	use.Connected(answer.ConnectedAt)
	answer.Body = &observedBody{ReadCloser: answer.Body, progress: received}
	defer func() { _ = answer.Body.Close() }()
	if answer.ColdLeft > 0 {
		use.ReportCold(answer.ColdLeft, clock.Now())
	}
	if answer.Load != nil {
		use.RecordLoad(*answer.Load, clock.Now())
	}
	confirmEnd := func() error { return c.confirmEnd(ctx, answer, chosen) }
	if answer.EventStream && answer.Status == http.StatusOK {
		return cancellationError(ctx, c.forwardEvents(ctx, answer, use, watchdog, confirmEnd))
	}
	return cancellationError(ctx, c.forwardBuffered(ctx, answer, use, confirmEnd))
}

// cancellationError replaces an error that results from this node canceling the attempt by the
// cause of the cancellation. An attempt canceled because of a restart that provably did not run
// keeps its own error.
func cancellationError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		return nil
	case errors.Is(cause, ErrSilent), errors.Is(cause, ErrStalled), errors.Is(cause, ErrRestarted) && outcome.Of(err) != outcome.NotDone:
		return outcome.AsUnknown(cause)
	default:
		return err
	}
}
