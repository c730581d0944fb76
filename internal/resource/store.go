package resource

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// historyLimit is the number of changes that a node keeps for watches and peers.
const historyLimit = 4096

// Entry is one resource in a snapshot.
type Entry struct {
	Change Change
	// Spec is the decoded specification. It must not be modified.
	Spec v1.Spec
}

// Snapshot is an immutable view of the configuration at a revision.
type Snapshot struct {
	Revision uint64
	entries  map[v1.Kind]map[string]Entry
}

// Get returns a resource, and whether it exists.
func (s *Snapshot) Get(kind v1.Kind, name string) (Entry, bool) {
	entry, ok := s.entries[kind][name]
	return entry, ok
}

// List returns the resources of a kind, sorted by name.
func (s *Snapshot) List(kind v1.Kind) []Entry {
	list := make([]Entry, 0, len(s.entries[kind]))
	for _, entry := range s.entries[kind] {
		list = append(list, entry)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Change.Name < list[j].Change.Name })
	return list
}

// Resource returns the resource in API form.
func (e Entry) Resource() *v1.Resource { return e.Change.resource() }

// with returns a copy of the snapshot with changes applied.
func (s *Snapshot) with(changes []Change, revision uint64) *Snapshot {
	next := &Snapshot{Revision: max(s.Revision, revision), entries: make(map[v1.Kind]map[string]Entry, len(s.entries)+1)}
	for kind, entries := range s.entries {
		next.entries[kind] = maps.Clone(entries)
	}
	for _, change := range changes {
		if next.entries[change.Kind] == nil {
			next.entries[change.Kind] = map[string]Entry{}
		}
		if change.Deleted {
			delete(next.entries[change.Kind], change.Name)
			continue
		}
		next.entries[change.Kind][change.Name] = newEntry(change)
	}
	return next
}

func newEntry(change Change) Entry {
	spec, _ := change.resource().Validate()
	return Entry{Change: change, Spec: spec}
}

// Store is a node's copy of the configuration. It is safe for concurrent use.
//
// Invariant: the revision of the snapshot never decreases.
type Store struct {
	// Unreadable, if set before first use, receives rows that cannot be decoded. The previous
	// value of such a resource stays in force.
	Unreadable *table.Unreadable

	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	history []Change
	// changed is closed and replaced with every change.
	changed   chan struct{}
	onApplied func(revision uint64)
}

// NewStore returns an empty store. onApplied, which may be nil, is called with every applied
// revision, in order.
func NewStore(onApplied func(revision uint64)) *Store {
	if onApplied == nil {
		onApplied = func(uint64) {}
	}
	store := &Store{changed: make(chan struct{}), onApplied: onApplied}
	store.snapshot.Store(&Snapshot{entries: map[v1.Kind]map[string]Entry{}})
	return store
}

// Snapshot returns the current configuration.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// Revision returns the applied revision.
func (s *Store) Revision() uint64 { return s.Snapshot().Revision }

// Apply applies changes of Group in the order in which a table.Watcher passes them on. If whole is
// set, read contains only the newest state, so API watches cannot continue across it.
func (s *Store) Apply(read table.Changes, whole bool) {
	var changes []Change
	for _, row := range read.Changes {
		if row.Removed {
			continue
		}
		change, err := decodeChange(row.Row)
		if err != nil {
			s.Unreadable.Report(err)
			continue
		}
		changes = append(changes, change)
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.snapshot.Load()
	// A whole read may contain changes later than its revision, and the watcher does not pass these
	// on again. So changes are also applied at the current revision.
	if read.Revision < current.Revision || read.Revision == current.Revision && len(changes) == 0 {
		return
	}
	s.snapshot.Store(current.with(changes, read.Revision))
	s.appendHistory(changes, whole)
	s.notify()
	s.onApplied(read.Revision)
}

// appendHistory appends changes to the history, or clears it after a whole read. The caller holds mu.
func (s *Store) appendHistory(changes []Change, whole bool) {
	if whole {
		s.history = nil
		return
	}
	s.history = append(s.history, changes...)
	if len(s.history) > historyLimit {
		s.history = append([]Change(nil), s.history[len(s.history)-historyLimit:]...)
	}
}

// notify wakes the watches. The caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Since returns the changes after a revision, the applied revision, and a channel that is closed at
// the next change. It returns ErrTooOld if the history no longer contains all of these changes.
func (s *Store) Since(revision uint64) ([]Change, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := s.snapshot.Load().Revision
	if revision >= applied {
		return nil, applied, s.changed, nil
	}
	if len(s.history) == 0 || s.history[0].Revision > revision+1 {
		return nil, applied, s.changed, ErrTooOld
	}
	// Gaps between revisions are changes to rows that could not be decoded.
	first, _ := slices.BinarySearchFunc(s.history, revision+1, func(change Change, from uint64) int {
		return cmp.Compare(change.Revision, from)
	})
	return append([]Change(nil), s.history[first:]...), applied, s.changed, nil
}
