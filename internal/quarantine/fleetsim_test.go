package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// fleet simulates nodes, with the real guard, publisher and rows, and replicas that harmful works
// crashes.
type fleet struct {
	mutation
	random *rand.Rand
	table  *flakyTable

	mu       sync.Mutex
	nodes    []*fleetNode
	replicas []*fleetReplica
	crashes  []fleetCrash
	// popular counts requests of harmless work. refused counts those of them that were refused,
	// except within fleetRecovery of a restart of all nodes: if all replicas are down at that time,
	// no node has seen the work succeed since, and only a trial can clear it (seed 61, at 5 s).
	popular, refused int
	// lossRate is the share of messages that are lost.
	lossRate float64
	// tableRestored is when the table last became available, fullRestart when all nodes last
	// restarted.
	tableRestored, fullRestart time.Time
}

// fleetReplica is a simulated replica.
type fleetReplica struct {
	name     string
	restarts int
	keepsID  bool
	down     bool
	// delisted is set once the entry of a replica that is down has expired.
	delisted bool
}

// current returns the current start of the replica, as the guard sees it. Each start has a new id
// unless keepsID is set.
func (r *fleetReplica) current() quarantine.Replica {
	if r.keepsID {
		return quarantine.Replica{ID: r.name, StartedUnixMs: int64(1 + r.restarts), Address: r.name}
	}
	return quarantine.Replica{ID: fmt.Sprintf("%s-%d", r.name, r.restarts), Address: r.name}
}

// downtime returns how long the replica is down after a crash.
func (r *fleetReplica) downtime() time.Duration {
	if r.keepsID {
		return fleetDowntimeSameID
	}
	return fleetDowntime
}

// fleetCrash is a crash that the harmful work caused.
type fleetCrash struct {
	at, sent time.Time
	node     string
	work     quarantine.Work
	// stableSince is when the node started or the table last became available, whichever is later.
	stableSince time.Time
}

// fleetNode is one process of a node; a restart creates a new one.
type fleetNode struct {
	fleet   *fleet
	name    string
	started time.Time
	cancel  context.CancelFunc
	// ctx ends when the process is stopped, and with it the requests that it holds.
	ctx       context.Context
	guard     quarantine.Guard
	list      quarantine.List
	rows      quarantine.Rows
	publisher *quarantine.Publisher
	watcher   *table.Watcher
}

// startNode starts a node.
func (f *fleet) startNode(ctx context.Context, name string) *fleetNode {
	ctx, cancel := context.WithCancel(ctx)
	n := &fleetNode{fleet: f, name: name, started: time.Now(), cancel: cancel, ctx: ctx}
	n.list.RowsPending = true
	n.guard = quarantine.Guard{List: &n.list, Parts: quarantine.NewPartList(&n.list), Replicas: n, Events: n}
	n.guard.Trials = fleetTrials{n}
	n.rows = quarantine.Rows{Partition: "group/quarantine", Guard: &n.guard}
	session := fmt.Sprintf("%s#%d", name, n.started.UnixNano())
	n.publisher = quarantine.NewPublisher(f.table, &n.rows, func() string { return session })
	n.publisher.Broadcast = n.broadcast
	n.watcher = table.NewWatcher(flakyFeed{f.table.Feed("group"), f.table}, func(changes table.Changes, complete bool) {
		if f.ignorePeers || f.noRows || (complete && f.skipInitialRows) {
			changes.Changes = nil
		}
		n.rows.Apply(changes, complete)
	})
	n.watcher.Pace = func() table.Pace { return table.Pace{AfterAnnouncement: fleetPollInterval, Default: fleetPollInterval} }
	go n.watcher.Run(ctx)
	go n.publisher.Run(ctx)
	return n
}

// call sends the harmful work to a node, which makes up to two attempts.
func (f *fleet) call(ctx context.Context, n *fleetNode, work quarantine.Work) {
	for range 2 {
		trial, err := n.guard.RefuseRequest(n.ctx, func() quarantine.Work { return work })
		if err != nil {
			return
		}
		chosen, target := n.pick(trial)
		if chosen == nil {
			n.endTrial(trial)
			return
		}
		sent := time.Now()
		time.Sleep(fleetRunTime)
		if !f.crash(ctx, chosen, target, fleetCrash{at: time.Now(), sent: sent, node: n.name, work: work, stableSince: n.started}) {
			n.endTrial(trial)
			return
		}
		n.interrupt(ctx, target, quarantine.Run{Work: work, SentAt: sent}, trial)
	}
}

// callPopular sends harmless work to a node.
func (f *fleet) callPopular(ctx context.Context, n *fleetNode, work quarantine.Work) {
	trial, err := n.guard.RefuseRequest(n.ctx, func() quarantine.Work { return work })
	refused := err != nil && n.ctx.Err() == nil
	f.mu.Lock()
	f.popular++
	if refused && time.Since(f.fullRestart) > fleetRecovery {
		f.refused++
	}
	f.mu.Unlock()
	if err != nil {
		return
	}
	chosen, target := n.pick(trial)
	if chosen == nil {
		n.endTrial(trial)
		return
	}
	sent := time.Now()
	time.Sleep(3 * fleetRunTime)
	f.mu.Lock()
	interrupted := chosen.down || chosen.current() != target
	f.mu.Unlock()
	if interrupted {
		n.interrupt(ctx, target, quarantine.Run{Work: work, SentAt: sent}, trial)
		return
	}
	n.guard.RecordSuccess(work)
}

// sendNewWork sends harmless works that did not exist before to random nodes, and sometimes takes a
// third of the replicas down, as when a zone is lost.
func (f *fleet) sendNewWork(ctx context.Context, elapsed time.Duration) {
	for range fleetNewRequests {
		content := quarantine.Content{Body: fmt.Appendf(nil, "route %d-%d", elapsed/fleetNewWorkInterval, f.intN(fleetNewWorks))}
		f.mu.Lock()
		chosen := f.nodes[f.random.IntN(len(f.nodes))]
		f.mu.Unlock()
		go f.callPopular(ctx, chosen, content.Work())
	}
	if f.intN(20) == 0 {
		f.loseReplicas(ctx)
	}
}

// loseReplicas takes every third replica down.
func (f *fleet) loseReplicas(ctx context.Context) {
	for i, r := range f.replicas {
		if i%3 == 0 {
			f.mu.Lock()
			target := r.current()
			f.mu.Unlock()
			f.takeDown(ctx, r, target)
		}
	}
}

// pick returns a random replica that is up, one that is not claimed if it finds any; nil if it finds
// none that is up.
func (f *fleet) pick(claimed map[string]bool) (*fleetReplica, quarantine.Replica) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lastResort *fleetReplica
	for range 20 {
		r := f.replicas[f.random.IntN(len(f.replicas))]
		if r.down {
			continue
		}
		if !claimed[r.current().ID] {
			return r, r.current()
		}
		lastResort = r
	}
	if lastResort == nil {
		return nil, quarantine.Replica{}
	}
	return lastResort, lastResort.current()
}

// isUp reports whether a replica is up since it was picked.
func (f *fleet) isUp(r *fleetReplica, target quarantine.Replica) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !r.down && r.current() == target
}

// crash takes a replica down, unless it has crashed or restarted since target was picked.
func (f *fleet) crash(ctx context.Context, r *fleetReplica, target quarantine.Replica, crash fleetCrash) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.down || r.current() != target {
		return true
	}
	if f.tableRestored.After(crash.stableSince) {
		crash.stableSince = f.tableRestored
	}
	f.crashes = append(f.crashes, crash)
	f.takeDownLocked(ctx, r, target)
	return true
}

// takeDown takes a replica down until it restarts, unless it is down already.
func (f *fleet) takeDown(ctx context.Context, r *fleetReplica, target quarantine.Replica) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.down && r.current() == target {
		f.takeDownLocked(ctx, r, target)
	}
}

// takeDownLocked takes a replica down until it restarts. The caller holds mu.
func (f *fleet) takeDownLocked(ctx context.Context, r *fleetReplica, target quarantine.Replica) {
	r.down = true
	time.AfterFunc(fleetEntryTTL, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		r.delisted = r.current() == target
	})
	time.AfterFunc(r.downtime(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if ctx.Err() == nil {
			r.restarts, r.down, r.delisted = r.restarts+1, false, false
		}
	})
}

// injectFaults restarts nodes and makes the table unavailable at random times.
func (f *fleet) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(2+f.intN(8)) * time.Second)
		switch f.intN(4) {
		case 0:
			f.table.setUnavailable(true)
			time.Sleep(time.Duration(500+f.intN(4000)) * time.Millisecond)
			f.table.setUnavailable(false)
			f.mu.Lock()
			f.tableRestored = time.Now()
			f.mu.Unlock()
		case 1:
			f.mu.Lock()
			f.fullRestart = time.Now()
			f.mu.Unlock()
			for i := range f.nodes {
				f.restart(ctx, i)
			}
		default:
			f.restart(ctx, f.intN(len(f.nodes)))
		}
	}
}

// intN returns a random number below n.
func (f *fleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// restart replaces a node by a new process with the same name.
func (f *fleet) restart(ctx context.Context, i int) {
	f.mu.Lock()
	old := f.nodes[i]
	f.mu.Unlock()
	old.cancel()
	replacement := f.startNode(ctx, old.name)
	f.mu.Lock()
	f.nodes[i] = replacement
	f.mu.Unlock()
}
