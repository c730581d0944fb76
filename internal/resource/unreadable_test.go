package resource

import (
	"errors"
	"testing"

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

// TestStore_UnreadableRowKeepsLastValidResource damages the row of a resource: it stays
// in force, others go on, and who watches misses nothing and gets nothing twice.
func TestStore_UnreadableRowKeepsLastValidResource(t *testing.T) {
	for name, damaged := range map[string][]byte{
		"bytes":          {0xff},
		"other resource": mustEncode(t, policyChange("elsewhere", "x")),
		"no JSON":        mustEncode(t, Change{Kind: v1.KindSitePolicy, Name: "site", Spec: []byte("{")}),
	} {
		store := NewStore(nil)
		reports := 0
		store.Unreadable = &table.Unreadable{OnUnreadable: func(*table.UnreadableError) { reports++ }}
		apply := func(revision uint64, body []byte) {
			store.Apply(table.Changes{Revision: revision, Changes: []table.Change{siteRow(revision, body)}}, false)
		}
		apply(1, mustEncode(t, policyChange("site", "first")))
		apply(2, damaged)
		if got := noteOf(t, store); got != "first" || store.Revision() != 2 || reports != 1 {
			t.Errorf("%s: %q at %d, told %d times", name, got, store.Revision(), reports)
		}
		apply(3, mustEncode(t, policyChange("site", "third")))
		apply(4, mustEncode(t, policyChange("site", "fourth")))
		for since, want := range map[uint64]int{0: 3, 1: 2, 2: 2, 3: 1, 4: 0} {
			if changes, _, _, err := store.Since(since); err != nil || len(changes) != want {
				t.Errorf("%s: %d changes since %d, want %d, %v", name, len(changes), since, want, err)
			}
		}
		if got := noteOf(t, store); got != "fourth" {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// TestWriter_ReplacesUnreadableRow lets an operator put a damaged resource right.
func TestWriter_ReplacesUnreadableRow(t *testing.T) {
	shared := tabletest.New()
	key := resourceKey(v1.KindSitePolicy, "site")
	if _, err := shared.Commit(t.Context(), "other", table.Write{Key: key, Body: []byte{0xff}}); err != nil {
		t.Fatal(err)
	}
	writer := NewWriter(shared)
	if _, err := writer.Commit(t.Context(), policyChange("site", "new"), Precondition{Set: true}); !errors.Is(err, ErrVersionMismatch) {
		t.Errorf("as a new one: %v", err)
	}
	if _, err := writer.Commit(t.Context(), policyChange("site", "right"), Precondition{}); err != nil {
		t.Fatal(err)
	}
	store := newFollowingStore(t, shared)
	eventually(t, "the copy", func() bool { return store.Revision() > 0 })
	if got := noteOf(t, store); got != "right" {
		t.Errorf("it is %q", got)
	}
}

// FuzzStore has any body of a row leave a copy that can be read and watched.
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
			t.Fatalf("it is %q", got)
		}
	})
}
