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

// reports answers for engines by address.
type reports map[string]engine.Load

func (r reports) Load(_ context.Context, base string) (engine.Load, error) {
	load, ok := r[base]
	if !ok {
		return load, errors.New("silent")
	}
	return load, nil
}

func observe(t *testing.T, shared *tabletest.Table, list []machines.Machine, engines reports) (*Observer, func()) {
	t.Helper()
	view := &View{}
	feed := shared.Feed(Group)
	catchUp := func() {
		read, _, err := feed.Page(t.Context(), table.Cursor{})
		if err != nil {
			t.Fatal(err)
		}
		view.mu.Lock()
		view.entries = map[string]Listed{}
		view.mu.Unlock()
		for _, change := range read.Changes {
			view.Apply(change)
		}
	}
	observer := &Observer{
		Table: shared, View: view, Engines: engines, Log: zerolog.Nop(),
		Machines: func() []machines.Machine { return list }, Ours: func(ids []string) map[string]bool {
			ours := map[string]bool{}
			for _, id := range ids {
				ours[id] = id != "b"
			}
			return ours
		},
	}
	return observer, catchUp
}

func TestObserver_WritesOnlyChangesOfItsReplicas(t *testing.T) {
	shared := tabletest.New()
	list := []machines.Machine{
		{ID: "a", Role: machines.RoleEngine, Zone: "mine", Address: "a", Pool: "p", State: machines.Live},
		{ID: "b", Role: machines.RoleEngine, Zone: "other", Address: "b", Pool: "p", State: machines.Live},
		{ID: "n", Role: machines.RoleNode, Zone: "mine", Address: "n"},
	}
	engines := reports{"a": {State: engine.StateReady, Version: "v1", MaxSequences: 8, Role: engine.RoleMixed}}
	observer, catchUp := observe(t, shared, list, engines)
	observer.look(t.Context())
	catchUp()
	entries := observer.View.List()
	if len(entries) != 1 || entries[0].ID != "a" || entries[0].Version != 1 || entries[0].Entry.Version != "v1" {
		t.Fatalf("entries are %+v", entries)
	}
	observer.look(t.Context())
	catchUp()
	if again := observer.View.List(); again[0].Version != entries[0].Version {
		t.Fatal("an unchanged entry was written again")
	}
	engines["a"] = engine.Load{State: engine.StateLeaving, Version: "v1", MaxSequences: 8, Role: engine.RoleMixed}
	observer.look(t.Context())
	catchUp()
	if info := observer.View.List()[0].Info("a"); !info.Leaving {
		t.Fatalf("a leaving engine is listed as %+v", info)
	}
}

func TestObserver_SilentEngineKeepsItsReport(t *testing.T) {
	shared := tabletest.New()
	list := []machines.Machine{{ID: "a", Role: machines.RoleEngine, Zone: "mine", Address: "a", State: machines.Live}}
	engines := reports{"a": {State: engine.StateReady, Version: "v1"}}
	observer, catchUp := observe(t, shared, list, engines)
	observer.look(t.Context())
	catchUp()
	delete(engines, "a")
	observer.look(t.Context())
	catchUp()
	if entry := observer.View.List()[0]; entry.State != engine.StateReady {
		t.Fatalf("entry is %+v", entry)
	}
}

// TestObserver_TellsOfEnginesThatStartAgain: nothing else in the report differs.
func TestObserver_TellsOfEnginesThatStartAgain(t *testing.T) {
	shared := tabletest.New()
	list := []machines.Machine{{ID: "a", Role: machines.RoleEngine, Zone: "mine", Address: "a", State: machines.Live}}
	engines := reports{"a": {State: engine.StateReady, Version: "v1", StartedUnixMs: 2000}}
	observer, catchUp := observe(t, shared, list, engines)
	for _, started := range []int64{2000, 1000} {
		engines["a"] = engine.Load{State: engine.StateReady, Version: "v1", StartedUnixMs: started}
		observer.look(t.Context())
		catchUp()
		if info := observer.View.List()[0].Info("a"); info.StartedUnixMs != started {
			t.Errorf("an engine that started at %d is listed as %+v", started, info)
		}
	}
}

func TestObserver_MachineOffTheListIsRemoved(t *testing.T) {
	shared := tabletest.New()
	list := []machines.Machine{{ID: "a", Role: machines.RoleEngine, Zone: "mine", Address: "a", State: machines.Live}}
	observer, catchUp := observe(t, shared, list, reports{})
	observer.look(t.Context())
	catchUp()
	observer.Machines = func() []machines.Machine { return []machines.Machine{} }
	observer.look(t.Context())
	catchUp()
	if left := observer.View.List(); len(left) != 0 {
		t.Fatalf("entries are %+v", left)
	}
}

// A finding (hollow, 320 nodes, 600 replicas: eight cores busy): whose a replica
// is was worked out for each by itself, with a look at all nodes each time.
func TestObserver_AsksOnceALook(t *testing.T) {
	var list []machines.Machine
	for i := range 50 {
		list = append(list, machines.Machine{ID: string(rune('a' + i)), Role: machines.RoleEngine, Zone: "other"})
	}
	observer, _ := observe(t, tabletest.New(), list, reports{})
	asked := 0
	observer.Ours = func([]string) map[string]bool {
		asked++
		return nil
	}
	observer.look(t.Context())
	if asked != 1 {
		t.Fatalf("asked %d times", asked)
	}
}
