package jobs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/sse"
)

const (
	// refusedPause is the pause after a replica had no room.
	refusedPause = 60 * time.Millisecond
	// brokenPause is the pause after an answer broke off.
	brokenPause = 20 * time.Millisecond
	// failedPause is the pause after a replica reported a failed run.
	failedPause = 150 * time.Millisecond
	// invalidAnswers is the number of answers that an item can never be done
	// after which it is dead.
	invalidAnswers = 1
)

// errItemFailed reports a run that the replica itself says failed.
var errItemFailed = errors.New("replica reported a failed run")

// errItemInvalid reports an item that can never be done.
var errItemInvalid = errors.New("replica says that the item can never be done")

// run makes one attempt at an item.
func (r *Runner) run(ctx context.Context, one *task, item *Item, target *route.Route, chosen replica.Info, use *replica.Use) {
	defer one.cancel(nil)
	r.Service.Events.ItemSent(one.work.job, item.ID, chosen.ID, one.after)
	began, from := clock.Now(), one.after
	err := r.exchange(ctx, one, item, chosen, use)
	r.learn(one, from, clock.Since(began), err)
	use.End(itemResult(one.work.ctx, err), clock.Now())
	r.tellQuarantine(one.work.ctx, one, item, chosen, began, from, err)
	if err != nil && one.work.ctx.Err() == nil && !errors.Is(err, errYielded) {
		r.Service.Events.ItemFailed(one.work.job, item.ID, chosen.ID, err)
	}
	r.settle(one, target, chosen, err)
	r.wake()
}

func itemResult(ctx context.Context, err error) replica.Result {
	switch {
	case err == nil, errors.Is(err, errItemInvalid), errors.Is(err, errItemFailed):
		return replica.Succeeded
	case ctx.Err() != nil, errors.Is(err, errYielded), errors.Is(err, forward.ErrStalled):
		// A replica that answers others is not at fault for one connection that died, or
		// for a long queue.
		return replica.Abandoned
	case errors.Is(err, forward.ErrUnreachable), errors.Is(err, forward.ErrMoved):
		return replica.Unreachable
	case outcome.Of(err) == outcome.NotDone:
		return replica.Refused
	default:
		return replica.Failed
	}
}

// settle decides what becomes of an item after an attempt.
func (r *Runner) settle(one *task, target *route.Route, chosen replica.Info, err error) {
	if err == nil {
		r.finish(one, "")
		return
	}
	if reason := onceReason(one, err); reason != "" {
		r.finish(one, reason)
		return
	}
	r.mu.Lock()
	one.state = taskWaiting
	one.waits(WaitPause, err)
	pause := brokenPause
	switch {
	case errors.Is(err, errItemInvalid):
		one.invalid++
		pause = failedPause
	case errors.Is(err, errItemFailed):
		one.failures++
		pause = failedPause
	case errors.Is(err, errYielded):
		pause = yieldPause
	case outcome.Of(err) == outcome.NotDone:
		pause = refusedPause
		one.exclude[chosen.Incarnation()] = true
	default:
		one.exclude[chosen.Incarnation()] = true
	}
	one.notUntil = clock.Now().Add(pause)
	reason := one.verdict(target.MaxAttempts)
	r.mu.Unlock()
	if reason != "" {
		r.finish(one, reason)
	}
}

// verdict says whether an item has failed for good. The caller holds the
// runner's lock.
func (t *task) verdict(maxAttempts int) Reason {
	switch {
	case t.invalid >= invalidAnswers:
		return Invalid
	case t.failures >= maxAttempts:
		return Failed
	default:
		return ""
	}
}

// exchange sends an item and collects the data of its events. What has come
// stays with the task, so that the next attempt goes on after it.
func (r *Runner) exchange(ctx context.Context, one *task, item *Item, chosen replica.Info, use *replica.Use) error {
	stop := r.watchSilence(one, use)
	defer stop()
	err := r.send(ctx, one, item, chosen, use)
	verdict := errors.Is(err, errItemInvalid) || errors.Is(err, errItemFailed)
	if err == nil || verdict {
		return err
	}
	for _, givenUp := range []error{errYielded, forward.ErrSilent, forward.ErrStalled, forward.ErrRestarted} {
		if errors.Is(context.Cause(ctx), givenUp) {
			return outcome.Undecided(givenUp)
		}
	}
	return err
}

func (r *Runner) send(ctx context.Context, one *task, item *Item, chosen replica.Info, use *replica.Use) error {
	sent := clock.Now()
	answer, err := r.Backend.Send(ctx, &forward.Attempt{
		Request: itemRequest(one.work.job, item), Replica: chosen, LastEventID: one.after, Reservation: one.reservation,
	})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	switch {
	case answer.Status == http.StatusUnprocessableEntity:
		return outcome.Undecided(errItemInvalid)
	case answer.Status == http.StatusInternalServerError:
		return outcome.Undecided(errItemFailed)
	case answer.Status != http.StatusOK || !answer.EventStream:
		return outcome.Undecided(fmt.Errorf("%w: status %d", forward.ErrBroken, answer.Status))
	}
	// A verdict on the item stands; only a run that goes on can give way.
	if answer.ColdLeft > 0 {
		use.ReportCold(answer.ColdLeft, clock.Now())
	}
	if answer.Load != nil {
		use.RecordLoad(*answer.Load, clock.Now())
	}
	return r.collect(one, answer, use, sent)
}

// collect takes in the events of an answer to an attempt that was sent at a time.
func (r *Runner) collect(one *task, answer *forward.Answer, use *replica.Use, sent time.Time) error {
	reader := sse.NewReader(answer.Body)
	pauses := runPauses{last: sent}
	defer func() { r.learnPauses(pauses) }()
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return outcome.Undecided(fmt.Errorf("%w: %w", forward.ErrBroken, err))
		}
		now := clock.Now()
		pauses.heard(now)
		use.Received(now)
		use.FirstEvent(now)
		if err := r.add(one, event); err != nil {
			return err
		}
	}
}

// add appends an event's data to the item's text, each event exactly once.
func (r *Runner) add(one *task, event sse.Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if event.ID <= one.after {
		return nil
	}
	if event.ID != one.after+1 {
		return outcome.Undecided(fmt.Errorf("%w: event %d follows event %d", forward.ErrBroken, event.ID, one.after))
	}
	if one.after > 0 {
		one.text = append(one.text, '\n')
	}
	one.text = append(one.text, event.Data...)
	one.after = event.ID
	one.cameOn = clock.Now()
	return nil
}

func itemRequest(job *Job, item *Item) *forward.Request {
	header := make(http.Header, len(item.Header))
	for name, value := range item.Header {
		header.Set(name, value)
	}
	return &forward.Request{
		ID: item.ID, Method: http.MethodPost, Target: item.Path, Host: job.Host,
		Header: header, Body: item.Body, AtMostOnce: item.Once, Batch: true, Tenant: job.Tenant,
	}
}

// learn takes in a run that began after an event.
func (r *Runner) learn(one *task, from int, took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usual.pace(one.after-from, took)
	switch {
	case err == nil:
		r.usual.run(one.after)
	case one.after > from:
		one.stalls = 0
	case errors.Is(err, forward.ErrStalled), errors.Is(err, forward.ErrSilent):
		one.stalls++
	}
}
