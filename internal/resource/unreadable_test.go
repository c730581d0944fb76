package resource

import (
	"context"
	"errors"
	"testing"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

func mustEncode(t *testing.T, change Change) []byte {
	t.Helper()
	body, err := encodeChange(change)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func siteRow(revision uint64, body []byte) table.Change {
	return table.Change{Row: table.Row{Key: resourceKey(v1.KindSitePolicy, "site"), Version: revision, Body: body}}
}

func noteOf(t *testing.T, store *Store) string {
	t.Helper()
	entry, ok := store.Snapshot().Get(v1.KindSitePolicy, "site")
	if !ok {
		t.Fatal("the resource is gone")
	}
	return entry.Spec.(*v1.SitePolicySpec).Note
}

// concurrentFeed is a feed whose only page was read after the change in it was committed, but has the
// revision before that.
type concurrentFeed struct {
	revision uint64
	page     table.Change
	changes  table.Changes
}

func (f *concurrentFeed) Page(context.Context, table.Cursor) (table.Changes, table.Cursor, error) {
	return table.Changes{Revision: f.revision, Changes: []table.Change{f.page}}, table.Cursor{Done: true}, nil
}

func (f *concurrentFeed) After(ctx context.Context, revision uint64, _ time.Duration) (table.Changes, error) {
	if revision < f.changes.Revision {
		return f.changes, nil
	}
	<-ctx.Done()
	return table.Changes{}, ctx.Err()
}

// A node that starts while a resource is changed must know the change. Guards against a change that is
// lost for good if it is committed between the two calls of a whole read, which returns it with the
// revision before it: such a node rejected a tenant's key until it was restarted
// (TestSite_NodeThatDrainsHoldsUpNoItems).
func TestStore_KeepsChangeCommittedDuringWholeRead(t *testing.T) {
	for _, before := range []uint64{0, 5} {
		site := siteRow(before+1, mustEncode(t, policyChange("site", "committed during the read")))
		other := table.Change{Row: table.Row{
			Key: resourceKey(v1.KindSitePolicy, "other"), Version: before + 2, Body: mustEncode(t, policyChange("other", "later")),
		}}
		store := NewStore(nil)
		if before > 0 {
			store.Apply(table.Changes{Revision: before, Changes: []table.Change{siteRow(before, mustEncode(t, policyChange("site", "old")))}}, true)
		}
		feed := &concurrentFeed{revision: before, page: site, changes: table.Changes{Revision: before + 2, Changes: []table.Change{site, other}}}
		tabletest.Follow(t, table.NewWatcher(feed, store.Apply))
		eventually(t, "the node has the last revision", func() bool { return store.Revision() == before+2 })
		if note := noteOf(t, store); note != "committed during the read" {
			t.Errorf("after revision %d: note %q", before, note)
		}
		if _, _, _, err := store.Since(before); before > 0 && !errors.Is(err, ErrTooOld) {
			t.Errorf("a watch continues across the whole read: %v", err)
		}
	}
}

// A resource whose row becomes unreadable stays in force, other changes are applied, and a watch
// neither misses nor repeats changes.
func TestStore_UnreadableRowKeepsLastValidResource(t *testing.T) {
	for name, corrupt := range map[string][]byte{
		"invalid CBOR":   {0xff},
		"other resource": mustEncode(t, policyChange("elsewhere", "x")),
		"invalid JSON":   mustEncode(t, Change{Kind: v1.KindSitePolicy, Name: "site", Spec: []byte("{")}),
	} {
		store := NewStore(nil)
		reports := 0
		store.Unreadable = &table.Unreadable{OnUnreadable: func(*table.UnreadableError) { reports++ }}
		apply := func(revision uint64, body []byte) {
			store.Apply(table.Changes{Revision: revision, Changes: []table.Change{siteRow(revision, body)}}, false)
		}
		apply(1, mustEncode(t, policyChange("site", "first")))
		apply(2, corrupt)
		if got := noteOf(t, store); got != "first" || store.Revision() != 2 || reports != 1 {
			t.Errorf("%s: note %q at revision %d, %d reports", name, got, store.Revision(), reports)
		}
		apply(3, mustEncode(t, policyChange("site", "third")))
		apply(4, mustEncode(t, policyChange("site", "fourth")))
		for since, want := range map[uint64]int{0: 3, 1: 2, 2: 2, 3: 1, 4: 0} {
			if changes, _, _, err := store.Since(since); err != nil || len(changes) != want {
				t.Errorf("%s: %d changes since %d, want %d, error %v", name, len(changes), since, want, err)
			}
		}
		if got := noteOf(t, store); got != "fourth" {
			t.Errorf("%s: note %q", name, got)
		}
	}
}

// A write can replace a resource whose row is unreadable.
func TestWriter_ReplacesUnreadableRow(t *testing.T) {
	shared := tabletest.New()
	key := resourceKey(v1.KindSitePolicy, "site")
	if _, err := shared.Commit(t.Context(), "other", table.Write{Key: key, Body: []byte{0xff}}); err != nil {
		t.Fatal(err)
	}
	writer := NewWriter(shared)
	if _, err := writer.Commit(t.Context(), policyChange("site", "new"), Precondition{Set: true}); !errors.Is(err, ErrVersionMismatch) {
		t.Errorf("write that expects no resource: %v", err)
	}
	if _, err := writer.Commit(t.Context(), policyChange("site", "right"), Precondition{}); err != nil {
		t.Fatal(err)
	}
	store := newFollowingStore(t, shared)
	eventually(t, "the store to follow", func() bool { return store.Revision() > 0 })
	if got := noteOf(t, store); got != "right" {
		t.Errorf("note %q", got)
	}
}

// FuzzStore checks that the store stays usable after a row with an arbitrary body.
func FuzzStore(f *testing.F) {
	f.Add([]byte{0xff})
	f.Add([]byte{})
	valid, err := encodeChange(policyChange("site", "x"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(t *testing.T, body []byte) {
		store := NewStore(nil)
		store.Apply(table.Changes{Revision: 1, Changes: []table.Change{siteRow(1, mustEncode(t, policyChange("site", "first")))}}, false)
		store.Apply(table.Changes{Revision: 2, Changes: []table.Change{siteRow(2, body)}}, false)
		store.Apply(table.Changes{Revision: 3, Changes: []table.Change{siteRow(3, mustEncode(t, policyChange("site", "last")))}}, false)
		for since := range uint64(4) {
			if _, _, _, err := store.Since(since); err != nil {
				t.Fatal(err)
			}
		}
		if got := noteOf(t, store); got != "last" || len(store.Snapshot().List(v1.KindSitePolicy)) != 1 {
			t.Fatalf("note %q", got)
		}
	})
}
