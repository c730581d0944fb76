package quarantine_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// flakyTable fails all calls while it is unavailable.
type flakyTable struct {
	*tabletest.Table
	mu          sync.Mutex
	unavailable bool
}

var errUnavailable = errors.New("table unavailable")

func (t *flakyTable) setUnavailable(unavailable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailable = unavailable
}

func (t *flakyTable) isUnavailable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unavailable
}

func (t *flakyTable) Commit(ctx context.Context, operation string, writes ...table.Write) ([]uint64, error) {
	if t.isUnavailable() {
		return nil, errUnavailable
	}
	return t.Table.Commit(ctx, operation, writes...)
}

// flakyFeed is the feed of a flakyTable.
type flakyFeed struct {
	table.Feed
	table *flakyTable
}

func (f flakyFeed) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	if f.table.isUnavailable() {
		return table.Changes{}, cursor, errUnavailable
	}
	return f.Feed.Page(ctx, cursor)
}

func (f flakyFeed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	if f.table.isUnavailable() {
		return table.Changes{}, errUnavailable
	}
	changes, err := f.Feed.After(ctx, revision, wait)
	if f.table.isUnavailable() {
		return table.Changes{}, errUnavailable
	}
	return changes, err
}

// State implements quarantine.Replicas.
func (n *fleetNode) State(replica quarantine.Replica) quarantine.ReplicaState {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, r := range n.fleet.replicas {
		switch current := r.current(); {
		case r.delisted || current.ID != replica.ID:
		case current == replica:
			return quarantine.Serving
		default:
			return quarantine.Restarted
		}
	}
	return quarantine.Gone
}

// Probe implements quarantine.Replicas.
func (n *fleetNode) Probe(_ context.Context, address string) quarantine.ProbeResult {
	time.Sleep(2 * fleetLatency)
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, r := range n.fleet.replicas {
		if r.name == address && !r.down {
			return quarantine.Accepted
		}
	}
	return quarantine.ConnectionRefused
}

// ReplicaCrashed implements quarantine.Events.
func (n *fleetNode) ReplicaCrashed(report quarantine.CrashReport) { n.publisher.PublishCrash(report) }

// Cleared implements quarantine.Events.
func (n *fleetNode) Cleared(previous quarantine.Verdict, at time.Time) {
	n.publisher.PublishClearing(quarantine.Clearing{Work: previous.Work, At: at, Part: previous.Part})
}

// Quarantined implements quarantine.Events. It queries the other nodes for the last success of the
// work.
func (n *fleetNode) Quarantined(verdict quarantine.Verdict) {
	if n.fleet.noMessages {
		return
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, other := range n.fleet.nodes {
		if other == n || n.fleet.random.Float64() < n.fleet.lossRate {
			continue
		}
		time.AfterFunc(fleetLatency, func() {
			if clearing, ok := other.guard.AnswerQuery(verdict.Work); ok {
				time.AfterFunc(fleetLatency, func() { n.guard.Clear(clearing) })
			}
		})
	}
}

// broadcast sends an update to the other nodes.
func (n *fleetNode) broadcast(update quarantine.Update) {
	n.sendToOthers(func(other *fleetNode) { other.receive(update) })
}

// sendToOthers sends a message to the other nodes; it may be lost, duplicated or delayed.
func (n *fleetNode) sendToOthers(deliver func(other *fleetNode)) {
	if n.fleet.noMessages {
		return
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, other := range n.fleet.nodes {
		if other == n || n.fleet.random.Float64() < n.fleet.lossRate {
			continue
		}
		for range 1 + n.fleet.random.IntN(2) {
			delay := fleetLatency + time.Duration(n.fleet.random.Int64N(int64(100*time.Millisecond)))
			time.AfterFunc(delay, func() { deliver(other) })
		}
	}
}

// receive records an update from another node.
func (n *fleetNode) receive(update quarantine.Update) {
	if n.fleet.ignorePeers {
		return
	}
	for _, report := range update.Reports {
		n.guard.RecordCrash(report)
	}
	for _, clearing := range update.Clearings {
		n.guard.Clear(clearing)
	}
}

// TrialBegun implements quarantine.Events.
func (n *fleetNode) TrialBegun(quarantine.Verdict) {}

// ReplicaClaimed implements quarantine.Events. It tells the other nodes of the claim.
func (n *fleetNode) ReplicaClaimed(claim quarantine.ReplicaClaim) {
	n.sendToOthers(func(other *fleetNode) { other.list.ClaimReplica(claim, time.Now()) })
}

// ClaimDenied implements quarantine.Events.
func (n *fleetNode) ClaimDenied(quarantine.ReplicaClaim) {}

// TrialInconclusive implements quarantine.Events.
func (n *fleetNode) TrialInconclusive(quarantine.Work) {}

// fleetClaimRetryInterval is the pause after a replica could not be claimed.
const fleetClaimRetryInterval = 25 * time.Millisecond

// pick returns a replica for a run, which a trial has claimed; nil if it finds none in time.
func (n *fleetNode) pick(trial *quarantine.Trial) (*fleetReplica, quarantine.Replica) {
	if trial == nil {
		return n.fleet.pick(n.list.ClaimedReplicas(time.Now()))
	}
	for started := time.Now(); n.ctx.Err() == nil && time.Since(started) < fleetHold; time.Sleep(fleetClaimRetryInterval) {
		chosen, target := n.fleet.pick(n.list.ClaimedReplicas(time.Now()))
		if chosen == nil {
			return nil, quarantine.Replica{}
		}
		if !n.guard.ClaimReplica(n.ctx, *trial, target.ID) {
			continue
		}
		// A process that is stopped meanwhile sends nothing.
		if retry.Sleep(n.ctx, quarantine.ClaimSettleTime) && n.fleet.isUp(chosen, target) {
			return chosen, target
		}
	}
	return nil, quarantine.Replica{}
}

// endTrial ends a trial without a result, if trial is not nil.
func (n *fleetNode) endTrial(trial *quarantine.Trial) {
	if trial != nil {
		n.guard.EndTrial(*trial)
	}
}

// interrupt records an interrupted run, which was a trial if trial is not nil.
func (n *fleetNode) interrupt(ctx context.Context, target quarantine.Replica, run quarantine.Run, trial *quarantine.Trial) {
	if trial != nil {
		run.Trial = true
		n.guard.InterruptTrial(*trial)
	}
	n.guard.RecordInterruption(ctx, target, run)
}

// fleetTrials implements quarantine.TrialOwners: node n0 grants all trials and claims. If it does not
// reply, n1 is asked for a claim. Requests and replies may be lost.
type fleetTrials struct{ *fleetNode }

// fleetHold is how long a trial tries to claim a replica.
const fleetHold = 10 * time.Second

// fleetReplyTimeout is how long a node waits for the reply to a request for a trial.
const fleetReplyTimeout = 100 * time.Millisecond

// Owns implements quarantine.TrialOwners.
func (t fleetTrials) Owns(quarantine.Work) bool { return t.name == "n0" }

// CanRequest implements quarantine.TrialOwners.
func (fleetTrials) CanRequest() bool { return true }

// Request implements quarantine.TrialOwners.
func (t fleetTrials) Request(_ context.Context, trial quarantine.Trial) bool {
	granted, _ := t.ask(0, func(owner *fleetNode) bool { return owner.guard.GrantTrial(trial, time.Now()) })
	return granted
}

// Claim implements quarantine.TrialOwners. Without a reply the replica is claimed.
func (t fleetTrials) Claim(_ context.Context, claim quarantine.ReplicaClaim) bool {
	for number := range 2 {
		granted, replied := t.ask(number, func(owner *fleetNode) bool { return owner.list.ClaimReplica(claim, time.Now()) })
		if replied {
			return granted
		}
	}
	return true
}

// ask asks the node with the given number for a trial or a claim.
func (t fleetTrials) ask(number int, grant func(owner *fleetNode) bool) (granted, replied bool) {
	owner, reached := t.reach(number)
	if !reached {
		time.Sleep(fleetReplyTimeout)
		return false, false
	}
	time.Sleep(fleetLatency)
	granted = grant(owner)
	if _, reached := t.reach(number); !reached {
		time.Sleep(fleetReplyTimeout)
		return false, false
	}
	time.Sleep(fleetLatency)
	return granted, true
}

// Renew implements quarantine.TrialOwners.
func (t fleetTrials) Renew(trial quarantine.Trial, _ string) {
	if owner, reached := t.reach(0); reached {
		time.AfterFunc(fleetLatency, func() { owner.list.RenewTrial(trial, time.Now()) })
	}
}

// End implements quarantine.TrialOwners.
func (t fleetTrials) End(trial quarantine.Trial, _ string) {
	if owner, reached := t.reach(0); reached {
		time.AfterFunc(fleetLatency, func() { owner.list.EndTrial(trial) })
	}
}

// reach returns the node with the given number, and false if a message to or from it is lost.
func (t fleetTrials) reach(number int) (*fleetNode, bool) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[number], !f.noMessages && f.random.Float64() >= f.lossRate
}
