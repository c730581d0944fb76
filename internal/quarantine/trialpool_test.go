package quarantine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// Times of the scripted pool.
const (
	// poolCrashTime is how long harmful work runs until it crashes its replica, poolRunTime how long
	// harmless work runs.
	poolCrashTime = 200 * time.Millisecond
	poolRunTime   = 400 * time.Millisecond
	// poolRecheckInterval is the pause before a request looks again for a replica that is up.
	poolRecheckInterval = 25 * time.Millisecond
	// poolLatency is the time a report takes from one node to another.
	poolLatency = 2 * time.Millisecond
	// poolStagger parts the steps of a script, so that their order does not depend on the scheduler.
	poolStagger = time.Millisecond
	// poolReplyTimeout is how long a node waits for the reply of an owner that is not reachable.
	poolReplyTimeout = 100 * time.Millisecond
	// maxTrialsPerMinute bounds the trials of harmful work in the first minute: requestTrialDelays has
	// one at once, one after a second and one after ten.
	maxTrialsPerMinute = 3
)

// trialPool is a pool of scripted replicas, and one node with a real guard for each work. The node
// grants the trials of its work, and its reports reach the other nodes. The first node grants all claims
// of replicas.
type trialPool struct {
	t       *testing.T
	started time.Time
	works   []*poolWork
	// onTrial, if set, is called when a trial of work has been sent to a replica, with the number of
	// trials of that work before it.
	onTrial func(w *poolWork, number int, r *poolReplica)
	// claimLatency is the time that the message about a claim takes; 0 means poolLatency.
	claimLatency time.Duration
	// restartDelay is the time after which a new replica replaces a lost one.
	restartDelay time.Duration

	mu sync.Mutex
	// up holds the replicas that accept work.
	up []*poolReplica
	// replicaCount is the number of replicas started so far.
	replicaCount int
	// ownersLost is set while no node can grant trials.
	ownersLost bool
}

// poolWork is a work whose requests all arrive at one node.
type poolWork struct {
	name    string
	id      Work
	harmful bool
	guard   *Guard
	// sent holds when its trials were sent to a replica, from the start of the pool.
	sent []time.Duration
}

// poolReplica is one start of a replica.
type poolReplica struct {
	Replica
	// lost is closed when the replica ends.
	lost chan struct{}
	// running holds the works that run on it.
	running []*poolWork
}

// newTrialPool returns a pool without replicas.
func newTrialPool(t *testing.T, works ...*poolWork) *trialPool {
	p := &trialPool{t: t, started: time.Now(), works: works, restartDelay: 500 * time.Millisecond}
	for _, w := range works {
		var events *recordedEvents
		w.id = work(w.name)
		w.guard, _, events = newGuard(ConnectionRefused)
		w.guard.Events = poolEvents{events, p, w}
		w.guard.Trials = poolOwners{p}
	}
	return p
}

// poolEvents implements Events. It reports crashes and successes to the other nodes.
type poolEvents struct {
	*recordedEvents
	pool *trialPool
	work *poolWork
}

func (e poolEvents) ReplicaCrashed(report CrashReport) {
	e.recordedEvents.ReplicaCrashed(report)
	for _, other := range e.pool.works {
		if other != e.work {
			time.AfterFunc(poolLatency, func() { other.guard.RecordCrash(report) })
		}
	}
}

func (e poolEvents) Cleared(previous Verdict, at time.Time) {
	e.recordedEvents.Cleared(previous, at)
	for _, other := range e.pool.works {
		if other != e.work {
			time.AfterFunc(poolLatency, func() { other.guard.List.Clear(previous.Work, at) })
		}
	}
}

func (e poolEvents) ReplicaClaimed(claim ReplicaClaim) {
	e.recordedEvents.ReplicaClaimed(claim)
	for _, other := range e.pool.works {
		if other != e.work {
			time.AfterFunc(max(poolLatency, e.pool.claimLatency), func() { other.guard.List.ClaimReplica(claim, time.Now()) })
		}
	}
}

// poolOwners implements TrialOwners: each node grants the trials of its own work, unless no node can.
type poolOwners struct{ pool *trialPool }

func (o poolOwners) Owns(Work) bool {
	o.pool.mu.Lock()
	defer o.pool.mu.Unlock()
	return !o.pool.ownersLost
}

func (poolOwners) CanRequest() bool { return true }

func (poolOwners) Request(context.Context, Trial) bool {
	time.Sleep(poolReplyTimeout)
	return false
}

func (o poolOwners) Claim(_ context.Context, claim ReplicaClaim) bool {
	time.Sleep(poolLatency)
	return o.pool.works[0].guard.List.ClaimReplica(claim, time.Now())
}

func (poolOwners) Renew(Trial, string) {}

func (poolOwners) End(Trial, string) {}

// loseOwners makes trials impossible for some time.
func (p *trialPool) loseOwners(outage time.Duration) {
	p.setOwnersLost(true)
	time.AfterFunc(outage, func() { p.setOwnersLost(false) })
}

func (p *trialPool) setOwnersLost(lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownersLost = lost
}

// tracef logs an event with the milliseconds since the start of the pool.
func (p *trialPool) tracef(format string, args ...any) {
	p.t.Helper()
	p.t.Logf("%6d ms  %s", time.Since(p.started).Milliseconds(), fmt.Sprintf(format, args...))
}

// addCrashes reports consecutive crashes of replicas that ran the works to all nodes.
func (p *trialPool) addCrashes(count int, works ...*poolWork) {
	for range count {
		var ids []Work
		for _, w := range works {
			ids = append(ids, w.id)
		}
		sentAt := time.Now()
		time.Sleep(poolCrashTime)
		p.mu.Lock()
		report := CrashReport{Replica: p.nextID(), Runs: runsOf(sentAt, ids...), At: time.Now()}
		p.mu.Unlock()
		for _, w := range p.works {
			w.guard.RecordCrash(report)
		}
		p.tracef("%s crashes under %s", report.Replica, names(works))
	}
}

// nextID returns the id of the next replica. The caller holds mu.
func (p *trialPool) nextID() string {
	p.replicaCount++
	return fmt.Sprintf("r%d", p.replicaCount)
}

// startReplicas starts replicas.
func (p *trialPool) startReplicas(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range count {
		id := p.nextID()
		p.up = append(p.up, &poolReplica{Replica: Replica{ID: id, Address: id}, lost: make(chan struct{})})
	}
}

// lose ends replicas together, those that have ended excepted, and replaces them.
func (p *trialPool) lose(cause string, replicas ...*poolReplica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range replicas {
		i := slices.Index(p.up, r)
		if i < 0 {
			continue
		}
		p.up = slices.Delete(p.up, i, i+1)
		p.tracef("%s is lost under %s: %s", r.ID, names(r.running), cause)
		close(r.lost)
		time.AfterFunc(p.restartDelay, func() { p.startReplicas(1) })
	}
}

// upReplicas returns the replicas that are up.
func (p *trialPool) upReplicas() []*poolReplica {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.up)
}

func names(works []*poolWork) string {
	var list []string
	for _, w := range works {
		list = append(list, w.name)
	}
	return fmt.Sprint(list)
}

// chooseReplica returns the replica to which a run may be sent now, or nil: one that is not claimed if
// there is any, and among these the worst choice for a trial, the one on which most work runs.
func (p *trialPool) chooseReplica(claimed map[string]bool) *poolReplica {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen *poolReplica
	for _, r := range p.up {
		switch {
		case chosen == nil, claimed[chosen.ID] && !claimed[r.ID]:
			chosen = r
		case claimed[chosen.ID] == claimed[r.ID] && len(r.running) > len(chosen.running):
			chosen = r
		}
	}
	return chosen
}

// begin waits for a replica and begins a run there, as a request does that was admitted and finds no
// replica: it keeps its trial meanwhile. A trial claims the replica first.
func (p *trialPool) begin(ctx context.Context, w *poolWork, trial *Trial) *poolReplica {
	for {
		r := p.chooseReplica(w.guard.ClaimedReplicas())
		if r != nil && p.claim(ctx, w, trial, r) && p.start(w, trial, r) {
			return r
		}
		time.Sleep(poolRecheckInterval)
	}
}

// claim claims a replica for a run if it is a trial, and waits until it may start.
func (p *trialPool) claim(ctx context.Context, w *poolWork, trial *Trial, r *poolReplica) bool {
	if trial == nil {
		return true
	}
	if !w.guard.ClaimReplica(ctx, *trial, r.ID) {
		return false
	}
	time.Sleep(ClaimSettleTime)
	return true
}

// start begins a run on a replica, if that is still up.
func (p *trialPool) start(w *poolWork, trial *Trial, r *poolReplica) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.up, r) {
		return false
	}
	r.running = append(r.running, w)
	if trial != nil {
		p.tracef("trial of %s is sent to %s, where %s run", w.name, r.ID, names(r.running))
		w.sent = append(w.sent, time.Since(p.started))
		if p.onTrial != nil {
			go p.onTrial(w, len(w.sent)-1, r)
		}
	}
	return true
}

// attempt runs work on a replica and reports the result to its guard. It reports whether the run
// succeeded.
func (p *trialPool) attempt(ctx context.Context, w *poolWork, trial *Trial) bool {
	return p.runOn(ctx, w, trial, p.begin(ctx, w, trial))
}

// runOn is the part of attempt after a replica has been chosen.
func (p *trialPool) runOn(ctx context.Context, w *poolWork, trial *Trial, r *poolReplica) bool {
	run := Run{Work: w.id, SentAt: time.Now(), Trial: trial != nil}
	if w.harmful {
		time.AfterFunc(poolCrashTime, func() { p.lose("crashed by "+w.name, r) })
	}
	select {
	case <-r.lost:
	case <-time.After(poolRunTime):
		p.mu.Lock()
		i := slices.Index(r.running, w)
		r.running = slices.Delete(r.running, i, i+1)
		p.mu.Unlock()
		w.guard.RecordSuccess(w.id)
		return true
	}
	if trial != nil {
		w.guard.InterruptTrial(*trial)
	}
	w.guard.RecordInterruption(ctx, r.Replica, run)
	return false
}

// call sends a request until it succeeds, or until it is refused. The number of attempts is not
// limited, so that a refusal is the only failure that callers see.
func (p *trialPool) call(ctx context.Context, w *poolWork) error {
	for {
		trial, err := w.guard.RefuseRequest(ctx, func() Work { return w.id })
		if err != nil {
			return err
		}
		if p.attempt(ctx, w, trial) {
			return nil
		}
	}
}

// checkServed calls harmless work that is quarantined, and requires that a trial of it is sent and
// that it is served within maxHold.
func (p *trialPool) checkServed(w *poolWork) {
	p.t.Helper()
	began := time.Now()
	err := p.call(p.t.Context(), w)
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		now := time.Now()
		p.tracef("%s is refused: %d failed trials, the next one is due %v after the last one, retry after %v", w.name,
			refusal.FailedTrials, refusal.nextRequestTrial().Sub(refusal.LastTrial), refusal.RetryAfter(now))
	}
	if len(w.sent) == 0 {
		p.t.Errorf("%s: no trial was sent", w.name)
	}
	if elapsed := time.Since(began); err != nil || elapsed > maxHold {
		p.t.Errorf("%s: error %v after %v, want to be served within %v", w.name, err, elapsed, maxHold)
	}
}

// callRepeatedly calls work for a minute.
func (p *trialPool) callRepeatedly(w *poolWork) {
	ctx, cancel := context.WithTimeout(p.t.Context(), time.Minute)
	defer cancel()
	for ctx.Err() == nil {
		_ = p.call(ctx, w)
		time.Sleep(poolRecheckInterval)
	}
}

// checkTrials requires that harmful work had trials, and at most maxTrialsPerMinute of them.
func (p *trialPool) checkTrials(w *poolWork) {
	p.t.Helper()
	if len(w.sent) == 0 || len(w.sent) > maxTrialsPerMinute {
		p.t.Errorf("%s: %d trials within a minute, sent at %v, want 1 to %d", w.name, len(w.sent), w.sent, maxTrialsPerMinute)
	}
}

// drain waits until all timers of the pool have fired.
func (p *trialPool) drain() { time.Sleep(time.Minute) }

// runOnIdle begins a run of each work on a replica of its own, which lasts until the replica is lost.
func (p *trialPool) runOnIdle(works []*poolWork) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range works {
		i := slices.IndexFunc(p.up, func(r *poolReplica) bool { return len(r.running) == 0 })
		if i < 0 {
			p.t.Errorf("no idle replica for %s", w.name)
			return
		}
		r, run := p.up[i], Run{Work: w.id, SentAt: time.Now()}
		r.running = append(r.running, w)
		go func() {
			<-r.lost
			w.guard.RecordInterruption(context.Background(), r.Replica, run)
		}()
	}
}
