package jobs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/sse"
)

const (
	// refusedBackoff is the pause after a replica refused for lack of a free slot.
	refusedBackoff = 60 * time.Millisecond
	// interruptedBackoff is the pause after an answer was interrupted. It doubles with each further
	// interruption without a new event, up to maxInterruptedBackoff.
	interruptedBackoff    = 20 * time.Millisecond
	maxInterruptedBackoff = time.Second
	// failedBackoff is the pause after a replica reported a failed run.
	failedBackoff = 150 * time.Millisecond
	// maxInvalidAnswers is the number of permanent rejections after which an item is dead.
	maxInvalidAnswers = 1
	// maxBackoffDoublings suffices to reach maxInterruptedBackoff.
	maxBackoffDoublings = 10
)

// errItemFailed reports a run that the replica itself reported as failed.
var errItemFailed = errors.New("replica reported a failed run")

// errItemInvalid reports an item that the replica rejects permanently.
var errItemInvalid = errors.New("replica rejected the item permanently")

// runAttempt sends an item to a replica, collects its answer and handles the result.
func (r *Runner) runAttempt(ctx context.Context, t *task, item *Item, target *route.Route, chosen replica.Info, use *replica.Use) {
	defer t.cancel(nil)
	r.Service.Events.ItemSent(t.owned.job, item.ID, chosen.ID, t.lastEvent)
	start, resumedAfter := clock.Now(), t.lastEvent
	err := r.exchangeItem(ctx, t, item, chosen, use)
	r.recordRun(t, resumedAfter, clock.Since(start), err)
	use.End(replicaResult(t.owned.ctx, err), clock.Now())
	if err == nil {
		r.recordPartSuccess(t, item, chosen.Pool)
	}
	if err != nil && t.owned.ctx.Err() == nil && !errors.Is(err, errPreempted) {
		r.Service.Events.ItemFailed(t.owned.job, item.ID, chosen.ID, err)
	}
	if err != nil && t.lastEvent > resumedAfter && t.owned.ctx.Err() == nil {
		r.confirmSoftware(t, use)
	}
	r.handleResult(t, target, chosen, resumedAfter, err)
	r.wake()
}

func replicaResult(ctx context.Context, err error) replica.Result {
	switch {
	case err == nil, errors.Is(err, errItemInvalid), errors.Is(err, errItemFailed):
		return replica.Succeeded
	case ctx.Err() != nil, errors.Is(err, errPreempted), errors.Is(err, forward.ErrStalled), forward.LacksMemory(err):
		// A replica that answers other requests is not at fault for one dead connection or a long
		// queue.
		return replica.Abandoned
	case errors.Is(err, forward.ErrNotAccepted):
		return replica.NotAccepted
	case errors.Is(err, forward.ErrUnreachable), errors.Is(err, forward.ErrMoved):
		return replica.Unreachable
	case outcome.Of(err) == outcome.NotDone:
		return replica.Refused
	default:
		return replica.Failed
	}
}

// handleResult decides how an item continues after an attempt.
// The attempt resumed after event resumedAfter.
func (r *Runner) handleResult(t *task, target *route.Route, chosen replica.Info, resumedAfter int, err error) {
	if err == nil {
		r.finish(t, "")
		return
	}
	if reason := atMostOnceReason(t, err); reason != "" {
		r.finish(t, reason)
		return
	}
	r.mu.Lock()
	t.state = taskWaiting
	t.setWait(WaitBackoff, err)
	if t.lastEvent > resumedAfter {
		t.interruptions = 0
	}
	backoff := interruptedBackoff
	switch {
	case errors.Is(err, errItemInvalid):
		t.invalid++
		backoff = failedBackoff
	case errors.Is(err, errItemFailed):
		t.failures++
		backoff = failedBackoff
	case errors.Is(err, errPreempted):
		backoff = preemptedBackoff
	case outcome.Of(err) == outcome.NotDone:
		backoff = refusedBackoff
		t.excluded[chosen.Incarnation()] = true
	default:
		backoff = t.nextInterruptedBackoff()
		t.excluded[chosen.Incarnation()] = true
	}
	t.notBefore = clock.Now().Add(backoff)
	reason := t.deadReason(target.MaxAttempts)
	r.mu.Unlock()
	if reason != "" {
		r.finish(t, reason)
	}
}

// nextInterruptedBackoff returns the pause after an interrupted answer. The caller holds the runner's
// lock.
func (t *task) nextInterruptedBackoff() time.Duration {
	backoff := min(interruptedBackoff<<min(t.interruptions, maxBackoffDoublings), maxInterruptedBackoff)
	t.interruptions++
	return backoff
}

// deadReason returns why an item is dead; empty if it may be sent again. The caller holds the
// runner's lock.
func (t *task) deadReason(maxAttempts int) Reason {
	switch {
	case t.invalid >= maxInvalidAnswers:
		return Invalid
	case t.failures >= maxAttempts:
		return Failed
	default:
		return ""
	}
}

// exchangeItem sends an item and collects the data of its events. The text received stays with the
// task, so that the next attempt resumes after it.
func (r *Runner) exchangeItem(ctx context.Context, t *task, item *Item, chosen replica.Info, use *replica.Use) error {
	stop := r.watchSilence(t, use)
	defer stop()
	resumedAfter := t.lastEvent
	err := r.send(ctx, t, item, chosen, use)
	if softwareErr := r.checkSoftware(t, use, resumedAfter); err == nil {
		err = softwareErr
	}
	reported := errors.Is(err, errItemInvalid) || errors.Is(err, errItemFailed)
	if err == nil || reported {
		return err
	}
	for _, cause := range []error{errPreempted, forward.ErrSilent, forward.ErrStalled, forward.ErrRestarted} {
		if errors.Is(context.Cause(ctx), cause) {
			return outcome.AsUnknown(cause)
		}
	}
	return err
}

func (r *Runner) send(ctx context.Context, t *task, item *Item, chosen replica.Info, use *replica.Use) error {
	sent := clock.Now()
	answer, err := r.Backend.Send(ctx, &forward.Attempt{
		Request: r.itemRequest(t.owned.job, item), Replica: chosen, LastEventID: t.lastEvent, Reservation: t.reservation,
	})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	switch {
	case answer.Status == http.StatusUnprocessableEntity:
		return outcome.AsUnknown(errItemInvalid)
	case answer.Status == http.StatusInternalServerError:
		return outcome.AsUnknown(errItemFailed)
	case answer.Status != http.StatusOK || !answer.EventStream:
		return outcome.AsUnknown(fmt.Errorf("%w: status %d", forward.ErrBroken, answer.Status))
	}
	// The reported load may preempt the run. It is applied only after the final answers above, so
	// that none of them is lost.
	if answer.ColdLeft > 0 {
		use.ReportCold(answer.ColdLeft, clock.Now())
	}
	use.Connected(answer.ConnectedAt)
	if answer.Load != nil {
		use.RecordLoad(*answer.Load, clock.Now())
	}
	if err := r.collect(t, answer, use, sent); err != nil {
		return err
	}
	return r.confirmEnd(ctx, t, answer, chosen)
}

// collect reads the events of an answer and appends them to the item's text. sent is when the
// attempt was sent.
func (r *Runner) collect(t *task, answer *forward.Answer, use *replica.Use, sent time.Time) error {
	share := bytebudget.Share{Budget: &r.answers}
	defer share.Release()
	reader, progress := sse.NewReader(answer.Body), sse.Progress{}
	reader.Hold = share.Hold
	gaps := eventGaps{last: sent}
	defer func() { r.recordGaps(gaps) }()
	checked := false
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return outcome.AsUnknown(fmt.Errorf("%w: %w", forward.ErrBroken, err))
		}
		goesOn, err := progress.Observe(event)
		if err != nil {
			return outcome.AsUnknown(fmt.Errorf("%w: nothing new after event %d: %w", forward.ErrBroken, event.ID, err))
		}
		if !goesOn {
			continue
		}
		now := clock.Now()
		gaps.record(now)
		use.Received(now)
		use.FirstEvent(now)
		if !checked {
			if err := r.requireSoftware(t, use); err != nil {
				return err
			}
			checked = true
		}
		if err := r.appendEvent(t, event); err != nil {
			return err
		}
	}
}

// appendEvent appends an event's data to the item's text, each event exactly once.
func (r *Runner) appendEvent(t *task, event sse.Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if event.ID <= t.lastEvent {
		return nil
	}
	if event.ID != t.lastEvent+1 {
		return outcome.AsUnknown(fmt.Errorf("%w: event %d follows event %d", forward.ErrBroken, event.ID, t.lastEvent))
	}
	if err := r.makeRoom(t, len(event.Data)); err != nil {
		t.discardText()
		return outcome.AsUnknown(fmt.Errorf("%w: event %d: %w", forward.ErrBroken, event.ID, err))
	}
	if t.lastEvent > 0 {
		t.text = append(t.text, '\n')
	}
	t.text = append(t.text, event.Data...)
	t.lastEvent = event.ID
	t.lastProgress = clock.Now()
	return nil
}

func (r *Runner) itemRequest(job *Job, item *Item) *forward.Request {
	header := make(http.Header, len(item.Header))
	for name, value := range item.Header {
		header.Set(name, value)
	}
	request := &forward.Request{
		ID: item.ID, Method: http.MethodPost, Target: item.Path, Host: job.Host,
		Header: header, Body: item.Body, AtMostOnce: item.AtMostOnce, Batch: true, Tenant: job.Tenant,
	}
	if r.DescribePrompt != nil {
		request.Prompt = r.DescribePrompt(header)
	}
	return request
}

// recordRun updates the estimates and the count of stalls with a run that resumed after event
// resumedAfter.
func (r *Runner) recordRun(t *task, resumedAfter int, elapsed time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.estimate.recordPace(t.lastEvent-resumedAfter, elapsed)
	switch {
	case err == nil:
		r.estimate.recordEvents(t.lastEvent)
	case t.lastEvent > resumedAfter:
		t.stalls = 0
	case errors.Is(err, forward.ErrStalled), errors.Is(err, forward.ErrSilent):
		t.stalls++
	}
}
