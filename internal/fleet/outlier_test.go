package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/routing"
)

func registryOf(count int) *Registry {
	registry := NewRegistry("z")
	var list []machines.Machine
	for i := range count {
		list = append(list, machines.Machine{ID: fmt.Sprintf("r%d", i), Role: machines.RoleEngine, Zone: "z", State: machines.Live})
	}
	registry.SetMachines(list)
	for _, machine := range list {
		registry.SetLoad(machine.ID, engine.Load{State: engine.StateReady, Model: "m", MaxSequences: 8})
	}
	return registry
}

func find(t *testing.T, registry *Registry, id string, now time.Time) *routing.Replica {
	t.Helper()
	for _, replica := range registry.Snapshot(now).Replicas {
		if replica.ID == id {
			return replica
		}
	}
	t.Fatalf("no replica %s", id)
	return nil
}

func ejected(registry *Registry, now time.Time) int {
	count := 0
	for _, replica := range registry.Snapshot(now).Replicas {
		if replica.Ejected {
			count++
		}
	}
	return count
}

func TestOutlier_FailuresEjectAndTimeBringsBack(t *testing.T) {
	now := time.Unix(100, 0)
	registry := registryOf(6)
	for range failuresToEject {
		registry.Begin(find(t, registry, "r2", now), 1, now).End(true, now)
	}
	if !find(t, registry, "r2", now).Ejected {
		t.Fatal("not ejected after failures")
	}
	later := now.Add(ejectionBase + time.Second)
	if find(t, registry, "r2", later).Ejected {
		t.Fatal("not back after its time")
	}
	registry.Begin(find(t, registry, "r2", later), 1, later).End(true, later)
	if !find(t, registry, "r2", later.Add(ejectionBase)).Ejected {
		t.Fatal("the second ejection is not longer than the first")
	}
}

func TestOutlier_SlowReplicaIsEjected(t *testing.T) {
	now := time.Unix(100, 0)
	registry := registryOf(6)
	for i := range 6 {
		took := 50 * time.Millisecond
		if i == 4 {
			took = time.Second
		}
		for range minSamples {
			lease := registry.Begin(find(t, registry, fmt.Sprintf("r%d", i), now), 1, now)
			lease.FirstToken(now.Add(took))
			lease.End(false, now.Add(took))
		}
	}
	if !find(t, registry, "r4", now.Add(time.Second)).Ejected || ejected(registry, now.Add(time.Second)) != 1 {
		t.Fatal("not just the slow replica is ejected")
	}
}

// A fault of this node's own makes all replicas fail; most stay in use.
func TestOutlier_NeverEmptiesTheFleet(t *testing.T) {
	now := time.Unix(100, 0)
	registry := registryOf(10)
	for i := range 10 {
		for range 2 * failuresToEject {
			registry.Begin(find(t, registry, fmt.Sprintf("r%d", i), now), 1, now).End(true, now)
		}
	}
	if count := ejected(registry, now); count > 3 {
		t.Fatalf("%d of 10 replicas ejected", count)
	}
}

func TestReserve_HoldsThePeakWithTheFastest(t *testing.T) {
	now := time.Unix(100, 0)
	registry := registryOf(8)
	for i := range 8 {
		speed := 5000.0
		if i >= 4 {
			speed = 10_000
		}
		online := 0
		if i < 2 {
			online = 4
		}
		registry.SetLoad(fmt.Sprintf("r%d", i), engine.Load{
			State: engine.StateReady, Model: "m", MaxSequences: 8, PrefillPerSec: speed, RunningOnline: online, ReportedUnixMs: 1,
		})
	}
	reserved := 0
	for _, replica := range registry.Snapshot(now.Add(time.Second)).Replicas {
		if replica.Reserved {
			reserved++
			if replica.Load.PrefillPerSec < 10_000 {
				t.Errorf("%s is slow and reserved", replica.ID)
			}
		}
	}
	if reserved != 2 { // 8 online requests, a tenth more, 4.8 slots used of 8
		t.Fatalf("%d replicas reserved, want 2", reserved)
	}
}
