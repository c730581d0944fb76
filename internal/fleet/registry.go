// Package fleet keeps a node's view of the replicas: which exist, what they
// last reported, what this node has open there and which of them misbehave.
package fleet

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/routing"
)

const (
	// snapshotInterval bounds how often the snapshot is rebuilt for requests.
	snapshotInterval = 20 * time.Millisecond
	// viewInterval is the same for those who can do with an older one.
	viewInterval = 500 * time.Millisecond
)

// replica is the registry's record of one back end.
type replica struct {
	key      uint64
	machine  machines.Machine
	load     engine.Load
	reported bool
	usage    routing.Usage
	health   health
}

// Registry is safe for concurrent use.
type Registry struct {
	zone string

	mu       sync.Mutex
	replicas map[string]*replica
	byKey    map[uint64]string
	peaks    map[string]*PeakMeter
	version  uint64
	// builtOf is the version that the snapshot and ids were built of.
	builtOf  uint64
	ids      []string
	dirty    bool
	builtAt  time.Time
	snapshot atomic.Pointer[routing.Snapshot]
}

// NewRegistry returns an empty registry for a node of a zone.
func NewRegistry(zone string) *Registry {
	registry := &Registry{zone: zone, replicas: map[string]*replica{}, peaks: map[string]*PeakMeter{}}
	registry.snapshot.Store(&routing.Snapshot{Zone: zone})
	return registry
}

// SetMachines takes in the machine list. Machines off the list are forgotten
// once nothing of this node is open there.
func (r *Registry) SetMachines(list []machines.Machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.byKey = make(map[uint64]string, len(list))
	listed := map[string]bool{}
	for _, machine := range list {
		if machine.Role != machines.RoleEngine {
			continue
		}
		listed[machine.ID] = true
		known, ok := r.replicas[machine.ID]
		if !ok || known.machine.Address != machine.Address {
			known = &replica{key: Key(machine.ID)}
			r.replicas[machine.ID] = known
		}
		known.machine = machine
		r.byKey[Key(machine.ID)] = machine.ID
	}
	for id, known := range r.replicas {
		if listed[id] {
			continue
		}
		known.machine.State = machines.Leaving
		if known.usage.Open.Load() == 0 {
			delete(r.replicas, id)
		}
	}
	r.dirty = true
}

// SetLoad takes in a load report received now.
func (r *Registry) SetLoad(id string, load engine.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.replicas[id]
	if !ok || load.ReportedUnixMs < known.load.ReportedUnixMs {
		return
	}
	if load.ReportedUnixMs > known.load.ReportedUnixMs {
		known.usage.SinceReport.Store(0)
	}
	known.load = load
	known.reported = true
	r.dirty = true
}

// Version rises with each change of the machine list.
func (r *Registry) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Replicas returns the machines of all replicas in the order of their ids, and
// the version of the list, which rises with each change of the machine list.
func (r *Registry) Replicas() ([]machines.Machine, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]machines.Machine, 0, len(r.replicas))
	for _, known := range r.replicas {
		list = append(list, known.machine)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, r.version
}

// Snapshot returns the current view; changes show within snapshotInterval.
func (r *Registry) Snapshot(now time.Time) *routing.Snapshot {
	return r.viewOf(now, snapshotInterval)
}

// View returns a view that may be viewInterval old, for work that goes on all
// the time: building a snapshot of a large fleet is not free.
func (r *Registry) View(now time.Time) *routing.Snapshot { return r.viewOf(now, viewInterval) }

func (r *Registry) viewOf(now time.Time, maxAge time.Duration) *routing.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := now.Sub(r.builtAt)
	if (r.dirty && age >= maxAge) || age >= viewInterval || r.builtOf != r.version {
		r.build(now)
	}
	return r.snapshot.Load()
}

// build makes a new snapshot. The caller holds mu.
func (r *Registry) build(now time.Time) {
	if r.builtOf != r.version {
		r.ids = r.ids[:0]
		for id := range r.replicas {
			r.ids = append(r.ids, id)
		}
		sort.Strings(r.ids)
		r.builtOf = r.version
	}
	ejected := r.judge(now)
	next := &routing.Snapshot{Zone: r.zone, Replicas: make([]*routing.Replica, 0, len(r.ids))}
	for _, id := range r.ids {
		known := r.replicas[id]
		next.Replicas = append(next.Replicas, &routing.Replica{
			ID: id, Address: known.machine.Address, Zone: known.machine.Zone, Pool: known.machine.Pool,
			Model: known.load.Model, Version: known.load.Version, Adapters: known.load.Adapters,
			Role: known.load.Role, State: known.state(), Load: known.load, Reported: known.reported,
			Ejected: ejected[id], Usage: &known.usage, Key: known.key,
		})
	}
	next.Reserved = routing.Reserve(next.Replicas, r.peakOnline(now, next.Replicas))
	r.snapshot.Store(next)
	r.dirty = false
	r.builtAt = now
}

// peakOnline returns, for each model, the recent peak of online requests open at
// all replicas together. The caller holds mu.
func (r *Registry) peakOnline(now time.Time, replicas []*routing.Replica) map[string]int {
	current := map[string]int{}
	for _, replica := range replicas {
		reported := replica.Load.RunningOnline + replica.Load.WaitingOnline
		current[replica.Model] += max(reported, int(replica.Usage.Open.Load()))
	}
	peaks := map[string]int{}
	for model, online := range current {
		meter := r.peaks[model]
		if meter == nil {
			meter = &PeakMeter{}
			r.peaks[model] = meter
		}
		meter.Observe(now, online)
		peaks[model] = meter.Value(now)
	}
	return peaks
}

// state is the stricter of the platform's and the engine's own word.
func (r *replica) state() engine.State {
	if r.machine.State == machines.Leaving {
		return engine.StateLeaving
	}
	return r.load.State
}

// Lease counts one request at a replica until End.
type Lease struct {
	registry *Registry
	replica  *replica
	usage    *routing.Usage
	words    int64
	sent     time.Time
	first    bool
}

// Begin counts a request about to be sent; words is its uncached prompt length.
func (r *Registry) Begin(chosen *routing.Replica, words int, now time.Time) *Lease {
	usage := chosen.Usage
	usage.Open.Add(1)
	usage.Pending.Add(1)
	usage.PendingWords.Add(int64(words))
	usage.SinceReport.Add(1)
	r.mu.Lock()
	known := r.replicas[chosen.ID]
	r.mu.Unlock()
	return &Lease{registry: r, replica: known, usage: usage, words: int64(words), sent: now}
}

// FirstToken notes that the answer has begun.
func (l *Lease) FirstToken(now time.Time) {
	if l.first {
		return
	}
	l.first = true
	l.usage.Pending.Add(-1)
	l.usage.PendingWords.Add(-l.words)
	l.registry.observe(l.replica, now.Sub(l.sent), now)
}

// End stops counting. failed tells that the replica, not the caller, broke it.
func (l *Lease) End(failed bool, now time.Time) {
	if !l.first {
		l.first = true
		l.usage.Pending.Add(-1)
		l.usage.PendingWords.Add(-l.words)
	}
	l.usage.Open.Add(-1)
	if failed {
		l.registry.fail(l.replica, now)
	}
}

// AllZones stands for the replicas of every zone in Loads.
const AllZones = ""

// Loads returns the last reports of a zone's replicas.
func (r *Registry) Loads(zone string) map[string]engine.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := make(map[string]engine.Load, len(r.replicas))
	for id, known := range r.replicas {
		if known.reported && (zone == AllZones || known.machine.Zone == zone) {
			loads[id] = known.load
		}
	}
	return loads
}

// Unreported counts the replicas of which no report is known.
func (r *Registry) Unreported() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, known := range r.replicas {
		if !known.reported {
			count++
		}
	}
	return count
}

// Key is the short form of a replica's id in messages between nodes.
func Key(id string) uint64 { return xxhash.Sum64String(id) }

// UpdateLoad changes the last report of the replica with a key, if one is known.
func (r *Registry) UpdateLoad(key uint64, edit func(engine.Load) engine.Load) {
	r.mu.Lock()
	id := r.byKey[key]
	known, ok := r.replicas[id]
	if !ok || !known.reported {
		r.mu.Unlock()
		return
	}
	load := edit(known.load)
	r.mu.Unlock()
	r.SetLoad(id, load)
}
