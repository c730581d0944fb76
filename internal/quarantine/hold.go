package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// A request of quarantined work is held while a trial of the work is due or under way. The first one
// that finds a trial due asks the node that grants it, and runs as the trial; the result reaches the
// others through List.

const (
	// maxHold bounds how long a request waits for the result of a trial. Its own deadline, which is
	// usually earlier, bounds it too.
	maxHold = 10 * time.Second
	// maxTrialWait is the longest time until the next trial for which a request waits instead of
	// being refused.
	maxTrialWait = repeatedTrialDelay + maxTrialSpread
	// firstAskDelay and maxAskDelay are the first and the longest time between two requests of this
	// node for the trial of one work. The results of trials are reported to all nodes, so repeated
	// requests only matter if a trial ended without a result or a message was lost.
	firstAskDelay = 100 * time.Millisecond
	maxAskDelay   = time.Second
	// maxHeld bounds the requests that a node holds.
	maxHeld = 1000
)

// TrialOwners finds the nodes that grant trials. Each work has one that all nodes agree on, as far
// as they agree on the live nodes. Implementations must be safe for concurrent use.
type TrialOwners interface {
	// Owns reports whether this node grants the trials of a work.
	Owns(work Work) bool
	// CanRequest reports whether this node can ask others for trials.
	CanRequest() bool
	// Request asks the node that grants the trials of the work for one, and reports whether it did.
	// A request whose reply is lost can be repeated.
	Request(ctx context.Context, trial Trial) bool
	// Claim asks the node that grants the claims of the replica for this one, and returns false if
	// another trial has claimed the replica.
	Claim(ctx context.Context, claim ReplicaClaim) bool
	// Renew tells these nodes that a trial is still under way, End that it ended without a result.
	// replica is the one that the trial has claimed; empty if none. Both may be lost.
	Renew(trial Trial, replica string)
	End(trial Trial, replica string)
}

// askState holds the requests of this node for the trial of one work.
type askState struct {
	// id is that of the trial that is asked for.
	id    uint64
	next  time.Time
	delay time.Duration
	// asking is set while a request waits for the reply. Another one with the same id would be granted
	// the same trial.
	asking bool
}

// awaitTrial holds a request of quarantined work until a trial shows that the work is harmless, or
// until the request itself may be the trial. It returns a RefusalError if the next trial is not due
// soon, or if the wait takes too long. check returns the current verdict on the request.
func (g *Guard) awaitTrial(ctx context.Context, refusal *RefusalError, check func(now time.Time) Verdict) (*Trial, error) {
	if g.Trials == nil || !g.Trials.Owns(refusal.Work) && !g.Trials.CanRequest() {
		return nil, refusal
	}
	defer g.held.Add(-1)
	if g.held.Add(1) > maxHeld {
		return nil, refusal
	}
	deadline := clock.Now().Add(maxHold)
	for {
		changed := g.listOf(&refusal.Verdict).changed(refusal.Work)
		now := clock.Now()
		verdict := check(now)
		if !verdict.Quarantined {
			return nil, nil
		}
		refusal = &RefusalError{Verdict: verdict}
		wait := verdict.nextRequestTrial().Sub(now)
		if wait > maxTrialWait && !verdict.lastTrialReported(now) {
			// Reports of other nodes may show that other work ended the last trial.
			wait = verdict.LastTrial.Add(reportDelay).Sub(now)
		}
		if wait > maxTrialWait || now.After(deadline) {
			return nil, refusal
		}
		if wait <= 0 {
			if trial := g.beginTrial(ctx, verdict.Work); trial != nil {
				g.Events.TrialBegun(verdict)
				return trial, nil
			}
			wait = firstAskDelay
		}
		if !waitForChange(ctx, changed, wait) {
			return nil, refusal
		}
	}
}

// waitForChange waits for a change or until the time has passed. It returns false if the context
// has ended.
func waitForChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// beginTrial returns a trial for a request of this node, or nil if none is granted. The trial is
// renewed until it ends.
func (g *Guard) beginTrial(ctx context.Context, work Work) *Trial {
	trial := g.requestTrial(ctx, work)
	if trial != nil {
		g.startRenewing(*trial)
	}
	return trial
}

// requestTrial asks the node that owns the trials of work for one.
func (g *Guard) requestTrial(ctx context.Context, work Work) *Trial {
	if g.Trials.Owns(work) {
		trial := &Trial{Work: work, ID: rand.Uint64()}
		if !g.BeginTrial(*trial, clock.Now()) {
			return nil
		}
		return trial
	}
	trial := g.nextAsk(work)
	if trial == nil {
		return nil
	}
	granted := g.Trials.Request(ctx, *trial)
	g.endAsk(work, granted)
	if !granted {
		return nil
	}
	return trial
}

// endAsk records that the owner replied to the request for a trial of work, or that it did not in time.
func (g *Guard) endAsk(work Work, granted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if granted {
		delete(g.asked, work)
		return
	}
	if state, ok := g.asked[work]; ok {
		state.asking = false
		g.asked[work] = state
	}
}

// nextAsk returns the trial of work that another node may be asked for now, or nil. Of the requests
// that are held for one work only one asks at a time, at increasing intervals.
func (g *Guard) nextAsk(work Work) *Trial {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	state, ok := g.asked[work]
	if state.asking || now.Before(state.next) {
		return nil
	}
	if !ok || now.Sub(state.next) > maxAskDelay {
		state = askState{id: rand.Uint64()}
	}
	if g.asked == nil || len(g.asked) >= maxTrials {
		g.asked = map[Work]askState{}
	}
	state.delay = min(max(firstAskDelay, 2*state.delay), maxAskDelay)
	state.next, state.asking = now.Add(state.delay), true
	g.asked[work] = state
	return &Trial{Work: work, ID: state.id}
}

// startRenewing renews a trial of this node until stopRenewing is called.
func (g *Guard) startRenewing(trial Trial) {
	stop := make(chan struct{})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopRenewing(trial.Work)
	if g.renewing == nil {
		g.renewing = map[Work]chan struct{}{}
	}
	g.renewing[trial.Work] = stop
	go g.renew(trial, stop)
}

// stopRenewing stops the renewals of the trial of a work, if this node runs one. The caller holds
// mu.
func (g *Guard) stopRenewing(work Work) {
	if stop, ok := g.renewing[work]; ok {
		close(stop)
		delete(g.renewing, work)
	}
}

// renew renews a trial until stop is closed.
func (g *Guard) renew(trial Trial, stop <-chan struct{}) {
	ticker := time.NewTicker(trialRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if g.Trials.Owns(trial.Work) {
			g.List.RenewTrial(trial, clock.Now())
		}
		g.Trials.Renew(trial, g.List.renewClaimBy(trial, clock.Now()))
	}
}

// InterruptTrial records that the answer to a trial of this node was interrupted. If its replica is
// not found to have crashed, another trial may begin when the lease of this one expires.
func (g *Guard) InterruptTrial(trial Trial) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopRenewing(trial.Work)
}

// EndTrial records that a trial of this node ended without a result, so that another one may begin.
func (g *Guard) EndTrial(trial Trial) {
	g.InterruptTrial(trial)
	g.Events.TrialInconclusive(trial.Work)
	replica := g.List.claimedBy(trial)
	g.List.EndTrial(trial)
	g.Trials.End(trial, replica)
}
