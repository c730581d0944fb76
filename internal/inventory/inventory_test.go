package inventory

import (
	"context"
	"errors"
	"testing"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// fakeEngines holds the report of each engine by address. Other engines do not answer.
type fakeEngines map[string]engine.Load

func (f fakeEngines) Load(_ context.Context, base string) (engine.Load, error) {
	load, ok := f[base]
	if !ok {
		return load, errors.New("no answer")
	}
	return load, nil
}

func newObserver(t *testing.T, store *tabletest.Table, list []machines.Machine, engines fakeEngines) (*Observer, func()) {
	t.Helper()
	view := &View{}
	feed := store.Feed(Group)
	catchUp := func() {
		page, _, err := feed.Page(t.Context(), table.Cursor{})
		if err != nil {
			t.Fatal(err)
		}
		view.mu.Lock()
		view.entries = map[string]Listed{}
		view.mu.Unlock()
		for _, change := range page.Changes {
			view.Apply(change)
		}
	}
	observer := &Observer{
		Table: store, View: view, Engines: engines, Log: zerolog.Nop(),
		Machines: func() []machines.Machine { return list }, Assigned: func(ids []string) map[string]bool {
			assigned := map[string]bool{}
			for _, id := range ids {
				assigned[id] = id != "b"
			}
			return assigned
		},
	}
	return observer, catchUp
}

func TestObserver_WritesOnlyChangesOfAssignedReplicas(t *testing.T) {
	store := tabletest.New()
	list := []machines.Machine{
		{ID: "a", Role: machines.RoleEngine, Zone: "mine", Address: "a", Pool: "p", State: machines.Live},
		{ID: "b", Role: machines.RoleEngine, Zone: "other", Address: "b", Pool: "p", State: machines.Live},
		{ID: "n", Role: machines.RoleNode, Zone: "mine", Address: "n"},
	}
	engines := fakeEngines{"a": {State: engine.StateReady, Version: "v1", MaxSequences: 8, Role: engine.RoleMixed}}
	observer, catchUp := newObserver(t, store, list, engines)
	observer.observe(t.Context())
	catchUp()
	entries := observer.View.List()
	if len(entries) != 1 || entries[0].ID != "a" || entries[0].Version != 1 || entries[0].Entry.Version != "v1" {
		t.Fatalf("entries are %+v, want only a at version 1", entries)
	}
	observer.observe(t.Context())
	catchUp()
	if again := observer.View.List(); again[0].Version != entries[0].Version {
		t.Fatal("unchanged entry was written again")
	}
	engines["a"] = engine.Load{State: engine.StateLeaving, Version: "v1", MaxSequences: 8, Role: engine.RoleMixed}
	observer.observe(t.Context())
	catchUp()
	if info := observer.View.List()[0].Info("a"); !info.Leaving {
		t.Fatalf("leaving engine is listed as %+v", info)
	}
}

func TestObserver_KeepsLastReportOfUnresponsiveEngine(t *testing.T) {
	store := tabletest.New()
	list := []machines.Machine{{ID: "a", Role: machines.RoleEngine, Zone: "mine", Address: "a", State: machines.Live}}
	engines := fakeEngines{"a": {State: engine.StateReady, Version: "v1"}}
	observer, catchUp := newObserver(t, store, list, engines)
	observer.observe(t.Context())
	catchUp()
	delete(engines, "a")
	observer.observe(t.Context())
	catchUp()
	if entry := observer.View.List()[0]; entry.State != engine.StateReady {
		t.Fatalf("entry is %+v, want state ready", entry)
	}
}

// A restart is recorded even if nothing but the start time in the report differs.
func TestObserver_RecordsEngineRestart(t *testing.T) {
	store := tabletest.New()
	list := []machines.Machine{{ID: "a", Role: machines.RoleEngine, Zone: "mine", Address: "a", State: machines.Live}}
	engines := fakeEngines{"a": {State: engine.StateReady, Version: "v1", StartedUnixMs: 2000}}
	observer, catchUp := newObserver(t, store, list, engines)
	for _, startedUnixMs := range []int64{2000, 1000} {
		engines["a"] = engine.Load{State: engine.StateReady, Version: "v1", StartedUnixMs: startedUnixMs}
		observer.observe(t.Context())
		catchUp()
		if info := observer.View.List()[0].Info("a"); info.StartedUnixMs != startedUnixMs {
			t.Errorf("engine started at %d is listed as %+v", startedUnixMs, info)
		}
	}
}

func TestObserver_RemovesUnlistedMachine(t *testing.T) {
	store := tabletest.New()
	list := []machines.Machine{{ID: "a", Role: machines.RoleEngine, Zone: "mine", Address: "a", State: machines.Live}}
	observer, catchUp := newObserver(t, store, list, fakeEngines{})
	observer.observe(t.Context())
	catchUp()
	observer.Machines = func() []machines.Machine { return []machines.Machine{} }
	observer.observe(t.Context())
	catchUp()
	if left := observer.View.List(); len(left) != 0 {
		t.Fatalf("entries are %+v, want none", left)
	}
}

// Guards against looking up the observer of each replica separately, which scans all nodes each time.
func TestObserver_CallsAssignedOncePerPass(t *testing.T) {
	var list []machines.Machine
	for i := range 50 {
		list = append(list, machines.Machine{ID: string(rune('a' + i)), Role: machines.RoleEngine, Zone: "other"})
	}
	observer, _ := newObserver(t, tabletest.New(), list, fakeEngines{})
	calls := 0
	observer.Assigned = func([]string) map[string]bool {
		calls++
		return nil
	}
	observer.observe(t.Context())
	if calls != 1 {
		t.Fatalf("Assigned was called %d times, want 1", calls)
	}
}
