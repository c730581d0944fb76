package batch

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
)

const (
	// retryBase and retryMax pace the sendings of an item that a replica did
	// not take or did not finish.
	retryBase = 100 * time.Millisecond
	retryMax  = 3 * time.Second
	// abortTimeout bounds an abort call.
	abortTimeout = time.Second
	// expiryCheck is how often deadlines are looked at.
	expiryCheck = 250 * time.Millisecond
)

// feed is the state of one replica that this node feeds.
type feed struct {
	feed    Feed
	running map[string]*running
	// backoff holds the feed back after a refusal.
	backoff time.Time
	refused int
}

// running is one item at one replica.
type running struct {
	id      string
	work    *work
	index   int
	started time.Time
	// yielded items were given up by this node; they go back uncounted.
	yielded bool
	cancel  context.CancelFunc
}

// SetFeeds replaces the replicas this node feeds and their room.
func (r *Runner) SetFeeds(feeds []Feed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return
	}
	listed := map[string]bool{}
	for _, next := range feeds {
		listed[next.ID] = true
		target := r.feeds[next.ID]
		if target == nil || target.feed.Address != next.Address {
			target = &feed{running: map[string]*running{}}
			r.feeds[next.ID] = target
		}
		target.feed = next
		r.shed(target)
	}
	for id, target := range r.feeds {
		if !listed[id] {
			target.feed.Room = Room{Keep: keepAll}
			if len(target.running) == 0 {
				delete(r.feeds, id)
			}
		}
	}
	signal(r.kick)
}

// shed aborts the newest items beyond what the room keeps. The caller holds mu.
func (r *Runner) shed(target *feed) {
	excess := -target.feed.Room.Keep
	for _, one := range target.running {
		if !one.yielded {
			excess++
		}
	}
	for ; excess > 0; excess-- {
		var newest *running
		for _, one := range target.running {
			// An item that may run only once is never given up: the engine's
			// priority pushes it back without ending it.
			if one.yielded || one.work.items[one.index].content.NotRepeatable {
				continue
			}
			if newest == nil || one.started.After(newest.started) {
				newest = one
			}
		}
		if newest == nil {
			return
		}
		r.counters.Yielded++
		r.abort(target, newest)
	}
}

// abort gives a running item up at its replica. The caller holds mu.
func (r *Runner) abort(target *feed, one *running) {
	if one.yielded {
		return
	}
	one.yielded = true
	address, id := target.feed.Address, one.id
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
		// Should the call be lost, closing the connection makes the engine drop
		// the item a little later.
		_, _ = r.options.Engines.Abort(ctx, address, id)
		one.cancel()
	}()
}

// pumpLoop sends items whenever there is room.
func (r *Runner) pumpLoop(ctx context.Context) {
	defer r.group.Done()
	ticker := time.NewTicker(expiryCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.kick:
		case <-ticker.C:
			r.expire(time.Now())
		}
		r.pump(time.Now())
	}
}

// pump fills every feed up to its room.
func (r *Runner) pump(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	for _, target := range r.feeds {
		if now.Before(target.backoff) {
			continue
		}
		for len(target.running) < target.feed.Room.Target {
			held, index, ok := r.take(target.feed.Model)
			if !ok {
				break
			}
			r.send(target, held, index, now)
		}
	}
}

// take removes the next item for a model from the held work. The caller holds mu.
func (r *Runner) take(model string) (*work, int, bool) {
	for _, held := range r.ordered {
		if baseModel(held.job.Model) != model || held.committing || (r.draining && !held.mustFinish()) {
			continue
		}
		for at, index := range held.pending {
			if !held.items[index].cleared {
				r.mark(held)
				continue
			}
			held.pending = append(held.pending[:at:at], held.pending[at+1:]...)
			return held, index, true
		}
	}
	return nil, 0, false
}

// baseModel strips the adapter from "model:adapter".
func baseModel(model string) string {
	base, _, _ := strings.Cut(model, ":")
	return base
}

// send starts one attempt. The caller holds mu.
func (r *Runner) send(target *feed, held *work, index int, now time.Time) {
	one := &held.items[index]
	one.attempts++
	id := held.attemptID(index, one.attempts)
	ctx, cancel := context.WithCancel(held.ctx)
	sent := &running{id: id, work: held, index: index, started: now, cancel: cancel}
	target.running[id] = sent
	held.running++
	attempt := engine.Attempt{ID: id, Path: one.content.URL, Body: engine.Encode(one.content.Body, r.priority(), false)}
	address := target.feed.Address
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		defer cancel()
		body, err := r.options.Engines.Complete(ctx, address, attempt)
		r.finished(target, sent, body, err)
	}()
}

func (r *Runner) priority() engine.Priority {
	if r.options.EqualPriority {
		return engine.PriorityOnline
	}
	return engine.PriorityBatch
}

// finished takes in the end of an attempt.
func (r *Runner) finished(target *feed, sent *running, body []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(target.running, sent.id)
	held := sent.work
	held.running--
	signal(r.kick)
	if held.dropped {
		return
	}
	switch {
	case err == nil:
		target.refused = 0
		r.counters.Items++
		r.rate.add(time.Now())
		held.finish(sent.index, held.answered(sent.index, body))
	case permanent(err):
		held.finish(sent.index, held.failed(sent.index, openai.CodeItemFailed, err.Error()))
	case sent.yielded:
		held.pending = append([]int{sent.index}, held.pending...)
	default:
		r.attemptFailed(target, sent, err)
	}
	r.settle(held)
}

// permanent reports whether no replica would accept the item.
func permanent(err error) bool {
	var refused *engine.RefusedError
	return errors.As(err, &refused) && refused.Status >= http.StatusBadRequest &&
		refused.Status < http.StatusInternalServerError && !refused.Temporary()
}

// attemptFailed decides about an item whose attempt broke. The caller holds mu.
func (r *Runner) attemptFailed(target *feed, sent *running, err error) {
	held := sent.work
	target.refused++
	delay := min(retryBase<<min(target.refused, 6), retryMax)
	target.backoff = time.Now().Add(delay)
	if outcome.Of(err) == outcome.NotDone || !held.items[sent.index].content.NotRepeatable {
		r.counters.Retried++
		held.pending = append(held.pending, sent.index)
		return
	}
	held.finish(sent.index, held.failed(sent.index, openai.CodeOutcomeUnknown, "the item may have run: "+err.Error()))
}

// expire ends the unfinished items of jobs past their deadline.
func (r *Runner) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, held := range r.ordered {
		if held.committing || now.Before(held.job.Deadline) {
			continue
		}
		for _, index := range held.pending {
			held.finish(index, held.failed(index, openai.CodeBatchExpired, "the deadline passed before the item ran"))
		}
		held.pending = nil
		for _, target := range r.feeds {
			for _, one := range target.running {
				if one.work == held && !held.items[one.index].content.NotRepeatable {
					r.abort(target, one)
				}
			}
		}
		r.settle(held)
	}
}

// settle commits work all of whose items have a result. The caller holds mu.
func (r *Runner) settle(held *work) {
	if !held.complete() || held.committing || held.dropped {
		return
	}
	held.committing = true
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		r.commit(held)
	}()
}
