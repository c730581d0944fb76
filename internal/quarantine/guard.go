package quarantine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// probeWait bounds how long an attempt that broke off waits for word of its replica
	// before the next one is decided about: a refused connection takes one way there and
	// back, 2 to 6 ms within a region.
	probeWait = 100 * time.Millisecond
	// delistTimeout is how long after a broken answer the replica's leaving the list still
	// shows that it ended: entries lapse after three heartbeats of silence, within a second
	// on the users' platform.
	delistTimeout = 5 * time.Second
	// delistPollInterval is the time between two looks at the list for that.
	delistPollInterval = 100 * time.Millisecond
	// queryTimeout is how long other nodes have to answer what speaks for a work: as long as a
	// replica has to answer a probe.
	queryTimeout = probeWait
	// requeryInterval is the time after which they are asked once more as long as the work comes: a
	// node that has just started knows no others yet, and those may learn of a good end later.
	requeryInterval = 5 * time.Second
	// maxWatched bounds the replicas that are looked after at the same time.
	maxWatched = 1000
	// maxUnanswered bounds the works of which other nodes want to know whether they end well.
	maxUnanswered = 1000
)

// ProbeResult tells what is at an address.
type ProbeResult int

// Answers of a probe.
const (
	// Inconclusive is no answer in time.
	Inconclusive ProbeResult = iota
	// Refused means that no process listens there.
	Refused
	// Accepted means that a process listens: the same one, or the next one there.
	Accepted
)

// ReplicaState is what the list says of a replica.
type ReplicaState int

// Standings of a replica.
const (
	// Gone replicas are not listed.
	Gone ReplicaState = iota
	// Leaving replicas have said that they will end.
	Leaving
	Serving
	// Restarted replicas have started again under their id, without having said that they
	// would end.
	Restarted
)

// Replica is what the guard needs to know of a replica.
type Replica struct {
	ID string
	// StartTime tells its starts under the same id apart; 0 if it does not say.
	StartTime int64
	Address   string
}

// crashReport returns the report that the replica crashReport under some runs.
func (r *Replica) crashReport(runs []Run, at time.Time) CrashReport {
	return CrashReport{Replica: r.ID, StartTime: r.StartTime, Runs: runs, At: at}
}

// Replicas tells about replicas. It is safe for concurrent use.
type Replicas interface {
	// State returns what the list says of a replica, of one start of it.
	State(replica Replica) ReplicaState
	// Probe tries a connection to an address.
	Probe(ctx context.Context, address string) ProbeResult
}

// Events is told of decisions, for logs and other nodes. It is safe for concurrent use.
type Events interface {
	// ReplicaCrashed tells of a replica that ended while this node's work ran there.
	ReplicaCrashed(report CrashReport)
	// Cleared tells of a run that ended well of work that was suspected, here or by a node that
	// asked about it.
	Cleared(previous Verdict, at time.Time)
	// Quarantined tells of work that is refused from now on.
	Quarantined(verdict Verdict)
}

// Guard finds out which replicas ended under which work of this node, and refuses work that
// is quarantined. A broken answer alone is no end: connections are reset and cut, and answers
// come garbled, while the replica goes on. It is one if nothing listens at the replica's
// address any more, or if the replica leaves the list soon, or starts again, without having
// said that it would end.
// It is safe for concurrent use.
type Guard struct {
	List     *List
	Replicas Replicas
	Events   Events
	// QueryPeers, if set, asks all other nodes what speaks for a work, or a few of them if they were
	// asked before. It reports whether any are known. Their answers come to the list.
	QueryPeers func(work Work, again bool) bool
	// OwnsTrials, if set, reports whether this node is the one, of all, that tries quarantined
	// work now and then.
	OwnsTrials func(work Work) bool

	frequent frequentWork

	mu      sync.Mutex
	watched map[Replica]*watch
	// unanswered are works that others asked about in vain.
	unanswered map[Work]struct{}
}

// watch looks after a replica whose answers broke off.
type watch struct {
	// probed is closed when the probe has answered.
	probed chan struct{}
	// crashedAt is when the replica was found to have crashedAt; zero if it was not.
	crashedAt time.Time
	// runs are those that broke off before it was known whether it ended.
	runs []Run
}

// expired reports whether the watch is about an earlier life of the replica.
func (w *watch) expired(now time.Time) bool {
	return !w.crashedAt.IsZero() && now.Sub(w.crashedAt) > sameCrashWindow
}

// Refuse returns a RefusedError for work that is quarantined. The work is asked for only if
// any is suspected.
func (g *Guard) Refuse(work func() Work) error {
	if g.List.Empty() {
		return nil
	}
	verdict := g.List.Check(work(), clock.Now())
	if !verdict.Quarantined {
		return nil
	}
	if verdict.NewlyQuarantined {
		g.onQuarantined(verdict)
	}
	return &RefusedError{Verdict: verdict}
}

// RefuseRequest is Refuse for a request, which may come at any node: work that is quarantined
// is tried now and then, for it may be harmless, at one node; and what has just been condemned
// here is neither sent nor refused before other nodes could speak for it.
func (g *Guard) RefuseRequest(ctx context.Context, work func() Work) error {
	err := g.Refuse(work)
	var refused *RefusedError
	if errors.As(err, &refused) && g.awaitAnswers(ctx, refused.Verdict) {
		err = g.Refuse(work)
	}
	if !errors.As(err, &refused) || g.OwnsTrials == nil || !g.OwnsTrials(refused.Work) {
		return err
	}
	if g.List.BeginTrial(refused.Work, clock.Now()) {
		return nil
	}
	return err
}

// onQuarantined tells of work that is quarantined from now on, and asks other nodes about it.
func (g *Guard) onQuarantined(verdict Verdict) {
	g.Events.Quarantined(verdict)
	g.queryPeers(verdict.Work, false)
}

// queryPeers asks other nodes what speaks for a work. It reports whether any are known.
func (g *Guard) queryPeers(work Work, again bool) bool {
	if g.QueryPeers == nil || !g.QueryPeers(work, again) {
		return false
	}
	g.List.recordQuery(work, clock.Now())
	return true
}

// awaitAnswers waits for what other nodes answer who were asked about a work a moment ago, and asks them
// if that is long ago or could not be done. It reports whether answers may have come.
func (g *Guard) awaitAnswers(ctx context.Context, verdict Verdict) bool {
	queriedAt := verdict.QueriedAt
	if now := clock.Now(); now.Sub(queriedAt) >= requeryInterval {
		if !g.queryPeers(verdict.Work, !queriedAt.IsZero()) {
			return false
		}
		queriedAt = now
	}
	remaining := queryTimeout - clock.Since(queriedAt)
	return remaining > 0 && retry.Sleep(ctx, remaining)
}

// RecordSuccess takes in a run that ended well.
func (g *Guard) RecordSuccess(work Work) {
	now := clock.Now()
	g.frequent.record(work, now)
	if previous := g.List.Clear(work, now); g.takeUnanswered(work) || len(previous.Replicas) > 0 {
		g.Events.Cleared(previous, now)
	}
}

// AnswerQuery returns when a work was last seen to end well, for another node that asks. If that is not
// known, all are told once a run of it ends well here: this node may not have heard of the ends
// that speak against it.
func (g *Guard) AnswerQuery(work Work) (time.Time, bool) {
	at, ok := g.List.LastSuccess(work)
	if ok {
		return at, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unanswered == nil || len(g.unanswered) >= maxUnanswered {
		g.unanswered = map[Work]struct{}{}
	}
	g.unanswered[work] = struct{}{}
	return time.Time{}, false
}

// takeUnanswered reports whether others asked about a work in vain, once.
func (g *Guard) takeUnanswered(work Work) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, found := g.unanswered[work]
	delete(g.unanswered, work)
	return found
}

// Proven returns up to so many works of which other nodes should know now that they end well
// here again and again. What a node knows of that is gone when it restarts or is lost, and the
// ends that it told of stay: without anybody who has seen the work end well, few of them have it
// refused at all nodes.
func (g *Guard) Proven(limit int) []Clearing { return g.frequent.due(clock.Now(), limit) }

// RecordInterruption takes in that a replica's answer to a run broke off. It returns when it is known
// whether the replica ended, or after a short time.
func (g *Guard) RecordInterruption(ctx context.Context, replica Replica, run Run) {
	w := g.watchRun(replica, run)
	if w == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	select {
	case <-w.probed:
	case <-ctx.Done():
	}
}

// watchRun adds a run to the watch of a replica, and begins one if there is none. It returns
// nil if the replica's end would be no news.
func (g *Guard) watchRun(replica Replica, run Run) *watch {
	g.mu.Lock()
	w := g.watched[replica]
	if w == nil || w.expired(clock.Now()) {
		state := g.Replicas.State(replica)
		if state == Restarted {
			g.mu.Unlock()
			g.reportCrash(replica.crashReport([]Run{run}, clock.Now()))
			return nil
		}
		if len(g.watched) >= maxWatched || state != Serving {
			g.mu.Unlock()
			return nil
		}
		if g.watched == nil {
			g.watched = map[Replica]*watch{}
		}
		w = &watch{probed: make(chan struct{})}
		g.watched[replica] = w
		go g.monitor(replica, w)
	}
	if crashedAt := w.crashedAt; !crashedAt.IsZero() {
		g.mu.Unlock()
		g.reportCrash(replica.crashReport([]Run{run}, crashedAt))
		return w
	}
	w.runs = append(w.runs, run)
	g.mu.Unlock()
	return w
}

// monitor finds out whether a replica ended, and forgets the watch when its answers that break
// off can be due to that no more.
func (g *Guard) monitor(replica Replica, w *watch) {
	started := clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), delistTimeout)
	defer cancel()
	if g.Replicas.Probe(ctx, replica.Address) == Refused {
		g.confirmCrash(replica, w, started)
	}
	close(w.probed)
	ticker := time.NewTicker(delistPollInterval)
	defer ticker.Stop()
	for state := Serving; state == Serving && ctx.Err() == nil; {
		<-ticker.C
		if state = g.Replicas.State(replica); state == Gone || state == Restarted {
			g.confirmCrash(replica, w, started)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watched[replica] == w {
		delete(g.watched, replica)
	}
}

// confirmCrash takes in that a replica ended, once.
func (g *Guard) confirmCrash(replica Replica, w *watch, at time.Time) {
	g.mu.Lock()
	if !w.crashedAt.IsZero() {
		g.mu.Unlock()
		return
	}
	w.crashedAt = at
	runs := w.runs
	g.mu.Unlock()
	g.reportCrash(replica.crashReport(runs, at))
}

// reportCrash takes in an end that this node saw.
func (g *Guard) reportCrash(report CrashReport) {
	g.RecordCrash(report)
	g.Events.ReplicaCrashed(report)
}

// RecordCrash takes in an end that this node or another one saw.
func (g *Guard) RecordCrash(report CrashReport) {
	for _, verdict := range g.List.Add(report, clock.Now()) {
		g.onQuarantined(verdict)
	}
}

// rowsLoaded takes in that all rows have been rowsLoaded once.
func (g *Guard) rowsLoaded() {
	for _, verdict := range g.List.rowsLoaded(clock.Now()) {
		g.onQuarantined(verdict)
	}
}
