package resource

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

func policyChange(name, note string) Change {
	return Change{Operation: note, Kind: v1.KindSitePolicy, Name: name, Spec: []byte(fmt.Sprintf(`{"note":%q}`, note))}
}

// newFollowingStore returns a store that follows the configuration in shared until the test ends.
func newFollowingStore(t *testing.T, shared *tabletest.Table) *Store {
	t.Helper()
	store := NewStore(nil)
	watcher := table.NewWatcher(shared.Feed(Group), store.Apply)
	tabletest.Follow(t, watcher)
	return store
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// fakeSessions implements Sessions with sessions set by the test.
type fakeSessions struct {
	mu       sync.Mutex
	sessions []lease.SessionState
}

func (s *fakeSessions) Refresh(context.Context) error { return nil }

func (s *fakeSessions) Sessions() []lease.SessionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]lease.SessionState(nil), s.sessions...)
}

func (s *fakeSessions) set(id string, applied uint64, expired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := lease.SessionState{ID: id, Body: EncodeApplied(applied), Expired: expired}
	for i := range s.sessions {
		if s.sessions[i].ID == id {
			s.sessions[i] = next
			return
		}
	}
	s.sessions = append(s.sessions, next)
}

func TestWriter_OneOfConcurrentCreatesSucceeds(t *testing.T) {
	shared := tabletest.New()
	writer := NewWriter(shared)
	var mu sync.Mutex
	succeeded := 0
	var group sync.WaitGroup
	for number := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			_, err := writer.Commit(t.Context(), policyChange("site", fmt.Sprint(number)), Precondition{Set: true})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				succeeded++
			case !errors.Is(err, ErrVersionMismatch):
				t.Errorf("writer %d: %v", number, err)
			}
		}()
	}
	group.Wait()
	if succeeded != 1 {
		t.Fatalf("%d writers created the resource, want 1", succeeded)
	}
}

func TestWriter_DeletedResourceDoesNotExist(t *testing.T) {
	shared := tabletest.New()
	writer := NewWriter(shared)
	if _, err := writer.Commit(t.Context(), policyChange("site", "a"), Precondition{}); err != nil {
		t.Fatal(err)
	}
	remove := Change{Kind: v1.KindSitePolicy, Name: "site", Deleted: true}
	if _, err := writer.Commit(t.Context(), remove, Precondition{}); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Commit(t.Context(), remove, Precondition{}); !errors.Is(err, ErrNotFound) {
		t.Fatalf("second deletion: %v", err)
	}
	store := newFollowingStore(t, shared)
	eventually(t, "the store to follow", func() bool { return store.Revision() > 0 })
	if _, ok := store.Snapshot().Get(v1.KindSitePolicy, "site"); ok {
		t.Fatal("a deleted resource is in the store")
	}
	// A precondition that the resource must not exist holds after its deletion.
	if _, err := writer.Commit(t.Context(), policyChange("site", "b"), Precondition{Set: true}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the new resource", func() bool {
		_, ok := store.Snapshot().Get(v1.KindSitePolicy, "site")
		return ok
	})
}

func TestWriter_ResolvesLostResponse(t *testing.T) {
	shared := tabletest.New()
	faults := []tabletest.Fault{tabletest.Lost}
	shared.CommitFault = func([]table.Write) tabletest.Fault {
		if len(faults) == 0 {
			return tabletest.None
		}
		fault := faults[0]
		faults = faults[1:]
		return fault
	}
	committed, err := NewWriter(shared).Commit(t.Context(), policyChange("site", "a"), Precondition{})
	if err != nil || committed.Revision == 0 {
		t.Fatalf("committed %+v, error %v", committed, err)
	}
}

func TestStore_IgnoresOlderRevisions(t *testing.T) {
	store := NewStore(nil)
	row := func(revision uint64, note string) table.Change {
		body, err := encodeChange(policyChange("site", note))
		if err != nil {
			t.Fatal(err)
		}
		return table.Change{Row: table.Row{Key: resourceKey(v1.KindSitePolicy, "site"), Version: revision, Body: body}}
	}
	store.Apply(table.Changes{Revision: 7, Changes: []table.Change{row(7, "new")}}, true)
	store.Apply(table.Changes{Revision: 5, Changes: []table.Change{row(5, "old")}}, false)
	entry, _ := store.Snapshot().Get(v1.KindSitePolicy, "site")
	if store.Revision() != 7 || entry.Spec.(*v1.SitePolicySpec).Note != "new" {
		t.Fatalf("revision %d, note %q", store.Revision(), entry.Spec.(*v1.SitePolicySpec).Note)
	}
}

func TestPublisher_AcceptedOnceInForceOnAllNodes(t *testing.T) {
	shared := tabletest.New()
	sessions := &fakeSessions{}
	listed := map[string]bool{"a": true, "b": true, "cut": true}
	publisher := &Publisher{
		Writer: NewWriter(shared), Sessions: sessions, Listed: func(node string) bool { return listed[node] },
	}
	sessions.set("a#1", 0, false)
	sessions.set("b#1", 0, false)
	committed, status, err := publisher.Write(t.Context(), policyChange("site", "x"), Precondition{})
	if err != nil || status.Accepted() || len(status.Laggards) != 2 {
		t.Fatalf("status %+v, error %v", status, err)
	}
	sessions.set("a#1", committed.Revision, false)
	sessions.set("b#1", committed.Revision, false)
	if status := publisher.Status(committed.Revision); !status.Accepted() {
		t.Fatalf("status %+v", status)
	}
	// A node that is cut off from the table may still serve an older revision until its machine leaves
	// the list.
	sessions.set("cut#1", committed.Revision, true)
	if status := publisher.Status(committed.Revision); status.Accepted() {
		t.Fatal("accepted although a node may serve another revision")
	}
	listed["cut"] = false
	if status := publisher.Status(committed.Revision); !status.Accepted() {
		t.Fatalf("status %+v after the machine left the list", status)
	}
	// After a restart of a node only its new session counts.
	sessions.set("b#1", 0, true)
	sessions.set("b#2", committed.Revision, false)
	if status := publisher.Status(committed.Revision); !status.Accepted() {
		t.Fatalf("status %+v after a restart", status)
	}
}
