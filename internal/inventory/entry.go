// Package inventory keeps the list of replicas in a table, whose change feed every node follows.
//
// The platform's list of machines contains the addresses of the replicas, with some delay; the engines
// report what they serve. For each replica one node, its observer, queries both and writes changes. A
// row is written only if its content changes, so the feed is idle while the replicas do not change.
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

// Group is the name of the table group that holds the list, and of its only partition.
const Group = "replicas"

// Entry is the row of a replica.
type Entry struct {
	Address    string         `cbor:"1,keyasint"`
	Zone       string         `cbor:"2,keyasint"`
	Pool       string         `cbor:"3,keyasint"`
	Generation string         `cbor:"4,keyasint,omitempty"`
	Machine    machines.State `cbor:"5,keyasint"`
	// The following fields are from the engine's last report. State is empty before the first one.
	State    engine.State `cbor:"6,keyasint,omitempty"`
	Role     engine.Role  `cbor:"7,keyasint,omitempty"`
	Version  string       `cbor:"8,keyasint,omitempty"`
	Adapters []string     `cbor:"9,keyasint,omitempty"`
	Fence    uint64       `cbor:"10,keyasint,omitempty"`
	Slots    int          `cbor:"11,keyasint,omitempty"`
	// PrefillRate is the prompt processing rate of the engine, in tokens per second.
	PrefillRate float64 `cbor:"12,keyasint,omitempty"`
	// StartedUnixMs is when the engine started, by its own clock, in Unix milliseconds; 0 if not
	// reported.
	StartedUnixMs int64 `cbor:"13,keyasint,omitempty"`
}

// Reported reports whether the engine has ever sent a report.
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
		e.PrefillRate == other.PrefillRate && e.StartedUnixMs == other.StartedUnixMs
}

// setReport sets the fields that an engine reports.
func (e *Entry) setReport(load *engine.Load) {
	e.State, e.Role, e.Version = load.State, load.Role, load.Version
	e.Adapters, e.Fence, e.Slots = load.Adapters, load.Fence, load.MaxSequences
	e.PrefillRate, e.StartedUnixMs = load.PrefillRate, load.StartedUnixMs
}

// Info returns the entry in the form that is used to pick replicas.
func (e *Entry) Info(id string) replica.Info {
	return replica.Info{
		ID: id, StartedUnixMs: e.StartedUnixMs, Pool: e.Pool, Address: e.Address, Zone: e.Zone, Slots: e.Slots,
		Leaving: e.Machine == machines.Leaving || e.State != engine.StateReady,
		Version: e.Version, Adapters: e.Adapters, PrefillRate: e.PrefillRate,
		NoOnline: e.Role == engine.RoleBatch, NoBatch: e.Role == engine.RoleOnline,
	}
}

func key(id string) table.Key { return table.Key{Partition: Group, Sort: id} }

// Decode decodes the entry of a row.
func Decode(row table.Row) (Entry, error) {
	var entry Entry
	err := cbor.Unmarshal(row.Body, &entry)
	return entry, Error.Wrap(err)
}

// Listed is an entry with its replica's ID and the version of its row.
type Listed struct {
	ID      string
	Version uint64
	Entry
}

// View is a node's copy of the list. It is safe for concurrent use; the zero value is empty.
type View struct {
	mu      sync.Mutex
	entries map[string]Listed
}

// Apply applies a change of Group. It returns the entry, or false if the row was removed or cannot be
// decoded.
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

// List returns all entries in the order of their IDs.
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
