// Package inventory keeps the list of replicas in the table, so that every node
// learns of them by one feed.
//
// The platform's list of machines says where replicas are and lags; the engines
// say what they serve. Observers, one node a replica, ask both and write what
// has changed. A row changes only when something in it does, so the feed is
// quiet while the replicas are.
package inventory

import (
	"slices"
	"sort"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Error is the class of all errors of this package.
var Error = errs.Class("inventory")

// Group is the table group of the list, and its one partition.
const Group = "replicas"

// Entry is what is known of a replica.
type Entry struct {
	Address    string         `cbor:"1,keyasint"`
	Zone       string         `cbor:"2,keyasint"`
	Pool       string         `cbor:"3,keyasint"`
	Generation string         `cbor:"4,keyasint,omitempty"`
	Machine    machines.State `cbor:"5,keyasint"`
	// The rest is the engine's last report; State is empty before the first one.
	State    engine.State `cbor:"6,keyasint,omitempty"`
	Role     engine.Role  `cbor:"7,keyasint,omitempty"`
	Version  string       `cbor:"8,keyasint,omitempty"`
	Adapters []string     `cbor:"9,keyasint,omitempty"`
	Fence    uint64       `cbor:"10,keyasint,omitempty"`
	Slots    int          `cbor:"11,keyasint,omitempty"`
	// ReadingRate is how fast the engine reads prompts, in tokens a second.
	ReadingRate float64 `cbor:"12,keyasint,omitempty"`
	// StartedUnixMs is when the engine started, by its own clock in Unix milliseconds; 0 if it does
	// not say.
	StartedUnixMs int64 `cbor:"13,keyasint,omitempty"`
}

// Reported reports whether the engine has ever answered.
func (e *Entry) Reported() bool { return e.State != "" }

func (e *Entry) equal(other *Entry) bool {
	a, b := *e, *other
	a.Adapters, b.Adapters = nil, nil
	return a.sameScalars(&b) && slices.Equal(e.Adapters, other.Adapters)
}

func (e *Entry) sameScalars(other *Entry) bool {
	return e.Address == other.Address && e.Zone == other.Zone && e.Pool == other.Pool &&
		e.Generation == other.Generation && e.Machine == other.Machine && e.State == other.State &&
		e.Role == other.Role && e.Version == other.Version && e.Fence == other.Fence && e.Slots == other.Slots &&
		e.ReadingRate == other.ReadingRate && e.StartedUnixMs == other.StartedUnixMs
}

// setReport takes in what an engine says of itself.
func (e *Entry) setReport(load *engine.Load) {
	e.State, e.Role, e.Version = load.State, load.Role, load.Version
	e.Adapters, e.Fence, e.Slots = load.Adapters, load.Fence, load.MaxSequences
	e.ReadingRate, e.StartedUnixMs = load.PrefillPerSec, load.StartedUnixMs
}

// Info returns the entry as the choice of a replica sees it.
func (e *Entry) Info(id string) replica.Info {
	return replica.Info{
		ID: id, StartedUnixMs: e.StartedUnixMs, Pool: e.Pool, Address: e.Address, Zone: e.Zone, Slots: e.Slots,
		Leaving: e.Machine == machines.Leaving || e.State != engine.StateReady,
		Version: e.Version, Adapters: e.Adapters, ReadingRate: e.ReadingRate,
		NoOnline: e.Role == engine.RoleBatch, NoBatch: e.Role == engine.RoleOnline,
	}
}

func key(id string) table.Key { return table.Key{Partition: Group, Sort: id} }

// Decode reads an entry from its row.
func Decode(row table.Row) (Entry, error) {
	var entry Entry
	err := cbor.Unmarshal(row.Body, &entry)
	return entry, Error.Wrap(err)
}

// Listed is an entry with its id and the version of its row.
type Listed struct {
	ID      string
	Version uint64
	Entry
}

// View is a node's copy of the list. It is safe for concurrent use; the zero
// value is an empty one.
type View struct {
	mu      sync.Mutex
	entries map[string]Listed
}

// Apply takes in a change of Group. It returns the entry, or false if the
// replica is gone or the row cannot be read.
func (v *View) Apply(change table.Change) (Listed, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.entries == nil {
		v.entries = map[string]Listed{}
	}
	entry, err := Decode(change.Row)
	if change.Removed || err != nil {
		delete(v.entries, change.Sort)
		return Listed{ID: change.Sort}, false
	}
	listed := Listed{ID: change.Sort, Version: change.Version, Entry: entry}
	v.entries[change.Sort] = listed
	return listed, true
}

// List returns all entries in the order of their ids.
func (v *View) List() []Listed {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]Listed, 0, len(v.entries))
	for _, listed := range v.entries {
		list = append(list, listed)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func (v *View) get(id string) (Listed, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed, ok := v.entries[id]
	return listed, ok
}
