package quarantine

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// probeWait bounds how long an interrupted attempt waits for the probe of its replica before
	// the retry is decided. A refused connection takes one round trip, 2 to 6 ms within a region.
	probeWait = 100 * time.Millisecond
	// delistTimeout is how long after an interrupted response the removal of the replica from the
	// list still counts as a crash. Entries expire after three missed heartbeats, usually within a
	// second.
	delistTimeout = 5 * time.Second
	// delistPollInterval is the time between two checks of the list during delistTimeout.
	delistPollInterval = 100 * time.Millisecond
	// queryTimeout is how long this node waits for peers to answer a query about the successes of
	// work.
	queryTimeout = probeWait
	// requeryInterval is the time after which a query is repeated while the work is still
	// requested: a node that has just started knows no peers yet, and peers may see a success
	// later.
	requeryInterval = 5 * time.Second
	// maxWatched bounds the replicas watched at the same time.
	maxWatched = 1000
	// maxUnanswered bounds the remembered queries that this node could not answer.
	maxUnanswered = 1000
)

// ProbeResult is the outcome of a connection attempt to an address.
type ProbeResult int

// Results of a probe.
const (
	// Inconclusive means that the attempt timed out or failed for another reason.
	Inconclusive ProbeResult = iota
	// ConnectionRefused means that no process listens at the address.
	ConnectionRefused
	// Accepted means that a process listens: the same replica or its successor.
	Accepted
)

// ReplicaState is the state of one start of a replica according to the list of replicas.
type ReplicaState int

// States of a replica.
const (
	// Gone replicas are not listed.
	Gone ReplicaState = iota
	// Leaving replicas have announced their shutdown.
	Leaving
	// Left replicas had announced their shutdown, and are listed with a new start under the same id.
	Left
	Serving
	// Restarted replicas are listed with a new start under the same id and had not announced a
	// shutdown.
	Restarted
)

// Replica identifies one start of a replica and its address.
type Replica struct {
	ID string
	// StartedUnixMs distinguishes starts under one id, in Unix milliseconds; 0 if the replica does not
	// report it. Clocks differ between machines, so it is only compared for equality.
	StartedUnixMs int64
	Address       string
}

// crashReport returns the report of a crash during the given runs.
func (r *Replica) crashReport(runs []Run, at time.Time) CrashReport {
	return CrashReport{Replica: r.ID, StartedUnixMs: r.StartedUnixMs, Runs: runs, Parts: partRuns(runs), At: at}
}

// Replicas provides the state of replicas. Implementations must be safe for concurrent use.
type Replicas interface {
	// State returns the listed state of one start of a replica.
	State(replica Replica) ReplicaState
	// Probe attempts a connection to address.
	Probe(ctx context.Context, address string) ProbeResult
}

// Events receives the decisions of a Guard, to log and publish them. Implementations must be safe
// for concurrent use.
type Events interface {
	// ReplicaCrashed reports a replica that crashed while it ran work of this node.
	ReplicaCrashed(report CrashReport)
	// Cleared reports a successful run of work that was suspect here or that a peer had queried.
	// previous is the verdict before that run.
	Cleared(previous Verdict, at time.Time)
	// Quarantined reports work that is refused from now on, unless a trial clears it.
	Quarantined(verdict Verdict)
	// TrialBegun reports a request of quarantined work that this node may send, given the verdict at
	// that time.
	TrialBegun(verdict Verdict)
	// ReplicaClaimed reports a replica that a trial of this node has claimed. The other nodes must
	// learn of it at once. ClaimDenied reports that another trial has claimed it.
	ReplicaClaimed(claim ReplicaClaim)
	ClaimDenied(claim ReplicaClaim)
	// TrialInconclusive reports that such a request ended with neither a success nor a crash.
	TrialInconclusive(work Work)
}

// Guard detects replica crashes during runs of this node's work and refuses quarantined work. An
// interrupted response alone is no crash, since connections can be reset or corrupted while the
// replica keeps running. It counts as one if nothing listens at the replica's address, or if the
// replica leaves the list or restarts within delistTimeout without having announced a shutdown. A
// Guard is safe for concurrent use.
type Guard struct {
	List *List
	// Parts, if set, is the list of the parts of prompts, made by NewPartList from List.
	Parts    *List
	Replicas Replicas
	Events   Events
	// QueryPeers, if set, asks all peers for the last success of work, or only a few of them if
	// again is set. It reports whether any peers are known. Answers are recorded in List.
	QueryPeers func(work Work, again bool) bool
	// Trials, if set, finds the nodes that grant trials of quarantined work. Without it no trial of a
	// request takes place.
	Trials TrialOwners

	frequent frequentWork
	// held counts the requests that wait for the result of a trial.
	held atomic.Int64

	mu      sync.Mutex
	watched map[Replica]*watch
	// unanswered holds work that peers queried and that had not succeeded here.
	unanswered map[Work]struct{}
	// asked limits the requests for trials to other nodes.
	asked map[Work]askState
	// renewing holds the channels that stop the renewals of this node's trials.
	renewing map[Work]chan struct{}
}

// watch tracks a replica whose responses were interrupted.
type watch struct {
	// probed is closed when the probe is done.
	probed chan struct{}
	// crashedAt is when the replica was found to have crashed; zero if it was not.
	crashedAt time.Time
	// runs were interrupted before it was known whether the replica crashed.
	runs []Run
}

// expired reports whether the crash is so old that an interruption now concerns a later start of
// the replica.
func (w *watch) expired(now time.Time) bool {
	return !w.crashedAt.IsZero() && now.Sub(w.crashedAt) > sameCrashWindow
}

// Refuse returns a RefusalError if the work is quarantined. It calls work only if any work is
// suspect.
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
	return &RefusalError{Verdict: verdict}
}

// RefuseRequest is like Refuse, for a request, which may arrive at any node. The request is held
// for up to queryTimeout, so that peers can report successes of its work, and then while a trial of
// the work is due or under way. If it is the request that may run as the trial, the trial is
// returned; the caller must pass it to InterruptTrial or EndTrial unless the run succeeds.
func (g *Guard) RefuseRequest(ctx context.Context, work func() Work) (*Trial, error) {
	err := g.Refuse(work)
	var refusal *RefusalError
	if errors.As(err, &refusal) && g.awaitAnswers(ctx, refusal.Verdict) {
		err = g.Refuse(work)
	}
	if !errors.As(err, &refusal) {
		return nil, err
	}
	return g.awaitTrial(ctx, refusal, func(now time.Time) Verdict { return g.List.Check(refusal.Work, now) })
}

// onQuarantined reports newly quarantined work and queries peers about it.
func (g *Guard) onQuarantined(verdict Verdict) {
	g.Events.Quarantined(verdict)
	g.queryPeers(&verdict, false)
}

// queryPeers asks peers for the last success of the verdict's work. It reports whether any peers are
// known.
func (g *Guard) queryPeers(verdict *Verdict, again bool) bool {
	if g.QueryPeers == nil || !g.QueryPeers(verdict.Work, again) {
		return false
	}
	g.listOf(verdict).recordQuery(verdict.Work, clock.Now())
	return true
}

// awaitAnswers waits for the answers to a recent query about the work, and sends a new query if
// there was none or it is older than requeryInterval. It reports whether answers may have arrived.
func (g *Guard) awaitAnswers(ctx context.Context, verdict Verdict) bool {
	queriedAt := verdict.QueriedAt
	if now := clock.Now(); now.Sub(queriedAt) >= requeryInterval {
		if !g.queryPeers(&verdict, !queriedAt.IsZero()) {
			return false
		}
		queriedAt = now
	}
	remaining := queryTimeout - clock.Since(queriedAt)
	return remaining > 0 && retry.Sleep(ctx, remaining)
}

// RecordSuccess records a successful run. It reports an event if the work was suspect or if a peer
// had queried it.
func (g *Guard) RecordSuccess(work Work) {
	now := clock.Now()
	g.frequent.record(work, now)
	if previous := g.List.Clear(work, now); g.recordResult(work) || len(previous.Replicas) > 0 {
		g.Events.Cleared(previous, now)
	}
}

// AnswerQuery returns the last success of work or of a part, for a peer that queries it. If none is
// known, the next success here is reported as an event, so that all nodes learn of it: this node may
// not have received the crash reports that make it suspect.
func (g *Guard) AnswerQuery(work Work) (Clearing, bool) {
	if at, ok := g.List.LastSuccess(work); ok {
		return Clearing{Work: work, At: at}, true
	}
	if g.Parts != nil {
		if at, ok := g.Parts.LastSuccess(work); ok {
			return Clearing{Work: work, At: at, Part: true}, true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unanswered == nil || len(g.unanswered) >= maxUnanswered {
		g.unanswered = map[Work]struct{}{}
	}
	g.unanswered[work] = struct{}{}
	return Clearing{}, false
}

// recordResult ends the trial of work, if this node runs one. It reports whether a peer's query about
// the work is unanswered, and removes the query.
func (g *Guard) recordResult(work Work) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopRenewing(work)
	_, found := g.unanswered[work]
	delete(g.unanswered, work)
	return found
}

// Proven returns the last successes of up to limit works that succeed here repeatedly and that are
// due to be sent to peers. A node forgets successes when it restarts, but the crashes it reported
// remain: if no other node knew of the successes, a few crashes would quarantine the work
// everywhere.
func (g *Guard) Proven(limit int) []Clearing { return g.frequent.due(clock.Now(), limit) }

// RecordInterruption records that the response of a replica to a run was interrupted. It returns
// when the replica has been probed, or after probeWait.
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

// watchRun adds a run to the watch of its replica, and starts the watch if there is none. It
// returns nil if there is nothing to wait for: the replica has already restarted, its shutdown is
// not a crash, or too many replicas are watched.
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

// monitor finds out whether a replica crashed, and removes the watch after delistTimeout or once
// the replica is no longer serving.
func (g *Guard) monitor(replica Replica, w *watch) {
	started := clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), delistTimeout)
	defer cancel()
	if g.Replicas.Probe(ctx, replica.Address) == ConnectionRefused {
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

// confirmCrash reports that a watched replica crashed, unless that has been reported.
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

// reportCrash records a crash that this node detected, and reports it as an event.
func (g *Guard) reportCrash(report CrashReport) {
	g.RecordCrash(report)
	g.Events.ReplicaCrashed(report)
}

// RecordCrash records a crash that this node or a peer detected. It reports whether the report had
// anything new.
func (g *Guard) RecordCrash(report CrashReport) bool {
	verdicts, changed := g.List.add(report, clock.Now())
	if g.Parts != nil {
		report.Runs = report.Parts
		ofParts, partsChanged := g.Parts.add(report, clock.Now())
		verdicts, changed = append(verdicts, ofParts...), changed || partsChanged
	}
	for _, verdict := range verdicts {
		g.onQuarantined(verdict)
	}
	return changed
}

// rowsLoaded records that all rows of the table have been read once.
func (g *Guard) rowsLoaded() {
	for _, verdict := range g.List.rowsLoaded(clock.Now()) {
		g.onQuarantined(verdict)
	}
}
