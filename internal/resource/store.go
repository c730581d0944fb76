package resource

import (
	"sort"
	"sync"
	"sync/atomic"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
)

// historyLimit is the number of changes a node keeps for watches and peers.
const historyLimit = 4096

// Entry is one resource in a snapshot.
type Entry struct {
	Change Change
	// Spec is the decoded specification. It must not be changed.
	Spec v1.Spec
}

// Snapshot is an immutable view of the configuration at a revision.
type Snapshot struct {
	Revision uint64
	entries  map[v1.Kind]map[string]Entry
}

// Get returns a resource.
func (s *Snapshot) Get(kind v1.Kind, name string) (Entry, bool) {
	entry, ok := s.entries[kind][name]
	return entry, ok
}

// List returns the resources of a kind in the order of their names.
func (s *Snapshot) List(kind v1.Kind) []Entry {
	list := make([]Entry, 0, len(s.entries[kind]))
	for _, entry := range s.entries[kind] {
		list = append(list, entry)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Change.Name < list[j].Change.Name })
	return list
}

// Resource returns a resource in its API form.
func (e Entry) Resource() *v1.Resource { return e.Change.resource() }

// with returns a copy that has the change applied. Only the map of the changed
// kind is copied.
func (s *Snapshot) with(change Change) *Snapshot {
	next := &Snapshot{Revision: change.Revision, entries: make(map[v1.Kind]map[string]Entry, len(s.entries)+1)}
	for kind, entries := range s.entries {
		next.entries[kind] = entries
	}
	entries := make(map[string]Entry, len(s.entries[change.Kind])+1)
	for name, entry := range s.entries[change.Kind] {
		entries[name] = entry
	}
	if change.Deleted {
		delete(entries, change.Name)
	} else {
		entries[change.Name] = newEntry(change)
	}
	next.entries[change.Kind] = entries
	return next
}

func newEntry(change Change) Entry {
	spec, _ := change.resource().Validate()
	return Entry{Change: change, Spec: spec}
}

// Store is a node's copy of the configuration. It is safe for concurrent use.
//
// Invariant: the revision of the snapshot never falls.
type Store struct {
	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changes []Change
	// changed is closed and replaced at every change.
	changed chan struct{}
	applied func(Change)
}

// NewStore returns an empty copy. applied, which may be nil, is called with
// every change that comes into force, in order.
func NewStore(applied func(Change)) *Store {
	if applied == nil {
		applied = func(Change) {}
	}
	store := &Store{changed: make(chan struct{}), applied: applied}
	store.snapshot.Store(&Snapshot{entries: map[v1.Kind]map[string]Entry{}})
	return store
}

// Snapshot returns the configuration in force.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// Revision returns the applied revision.
func (s *Store) Revision() uint64 { return s.Snapshot().Revision }

// Apply puts the next change in force. A change already applied is ignored; a
// change further ahead is refused with ErrGap.
func (s *Store) Apply(change Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.snapshot.Load()
	if change.Revision <= current.Revision {
		return nil
	}
	if change.Revision != current.Revision+1 {
		return ErrGap
	}
	s.snapshot.Store(current.with(change))
	s.changes = append(s.changes, change)
	if len(s.changes) > historyLimit {
		s.changes = append([]Change(nil), s.changes[len(s.changes)-historyLimit:]...)
	}
	s.announce()
	s.applied(change)
	return nil
}

// Load replaces the copy by a full state if that is newer. Changes before it
// are not known afterwards.
func (s *Store) Load(revision uint64, resources []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.snapshot.Load().Revision {
		return
	}
	next := &Snapshot{Revision: revision, entries: map[v1.Kind]map[string]Entry{}}
	for _, change := range resources {
		if next.entries[change.Kind] == nil {
			next.entries[change.Kind] = map[string]Entry{}
		}
		next.entries[change.Kind][change.Name] = newEntry(change)
	}
	s.snapshot.Store(next)
	s.changes = nil
	s.announce()
	s.applied(Change{Revision: revision})
}

// announce wakes the watchers. The caller holds mu.
func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Since returns the changes after a revision, the applied revision, and a
// channel that is closed at the next change. It returns ErrTooOld when changes
// after the revision are no longer held.
func (s *Store) Since(revision uint64) ([]Change, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := s.snapshot.Load().Revision
	if revision >= applied {
		return nil, applied, s.changed, nil
	}
	if len(s.changes) == 0 || s.changes[0].Revision > revision+1 {
		return nil, applied, s.changed, ErrTooOld
	}
	first := int(revision + 1 - s.changes[0].Revision)
	return append([]Change(nil), s.changes[first:]...), applied, s.changed, nil
}

// All returns the full state as changes.
func (s *Store) All() (uint64, []Change) {
	snapshot := s.Snapshot()
	var resources []Change
	for _, kind := range v1.Kinds {
		for _, entry := range snapshot.List(kind) {
			resources = append(resources, entry.Change)
		}
	}
	return snapshot.Revision, resources
}
