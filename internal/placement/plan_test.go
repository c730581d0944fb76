package placement

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/engine"
)

// A fixed seed makes the property tests deterministic.
func init() { _ = flag.Set("rapid.seed", "1") }

// A rollout under any limits reaches the declared state, never loads more replicas concurrently than
// allowed, and never serves with fewer than the minimum.
func TestPlan_RolloutKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "count")
		minServing := rapid.IntRange(0, count-1).Draw(t, "min")
		limit := rapid.IntRange(1, 4).Draw(t, "maxUnavailable")
		pool := Pool{Name: "p", Spec: &v1.ModelPoolSpec{
			Model: "m", Version: "v2", Replicas: v1.ReplicaRange{Min: minServing, Max: count}, MaxUnavailable: limit,
		}}
		replicas := make([]Replica, count)
		for i := range replicas {
			replicas[i] = Replica{
				ID: fmt.Sprintf("r%02d", i), Pool: "p", State: engine.StateReady, Reported: true,
				Version: "v1", Role: engine.RoleMixed, Generation: rapid.SampledFrom([]string{"older", "newer"}).Draw(t, "generation"),
			}
		}
		for round := 0; ; round++ {
			actions := Plan(pool, nil, replicas)
			loading := applyActions(replicas, actions)
			if loading > limit {
				t.Fatalf("%d replicas load concurrently, want at most %d", loading, limit)
			}
			if serving := count - loading; serving < minServing {
				t.Fatalf("%d replicas serve, want at least %d", serving, minServing)
			}
			if loading == 0 {
				break
			}
			if round > 10*count {
				t.Fatal("the rollout does not complete")
			}
			finishOneLoad(replicas)
		}
		for _, replica := range replicas {
			if replica.Version != "v2" {
				t.Fatalf("replica %s has version %s after the rollout, want v2", replica.ID, replica.Version)
			}
		}
	})
}

// applyActions starts the ordered loads and returns the number of replicas that load.
func applyActions(replicas []Replica, actions []Action) int {
	for _, action := range actions {
		for i := range replicas {
			if replicas[i].ID == action.Replica {
				replicas[i].State = engine.StateLoading
				replicas[i].Version = action.Content.Version
			}
		}
	}
	loading := 0
	for _, replica := range replicas {
		if replica.State == engine.StateLoading {
			loading++
		}
	}
	return loading
}

func finishOneLoad(replicas []Replica) {
	for i := range replicas {
		if replicas[i].State == engine.StateLoading {
			replicas[i].State = engine.StateReady
			return
		}
	}
}

func TestPlan_RolesAndGenerations(t *testing.T) {
	pool := Pool{Name: "p", Spec: &v1.ModelPoolSpec{Model: "m", Version: "v1", Generations: []string{"newer"}, Replicas: v1.ReplicaRange{Max: 9}}}
	roles := []*v1.MachineRoleSpec{
		{Pool: "p", Role: "online", Machines: []string{"a"}},
		{Pool: "other", Role: "batch"},
	}
	ready := Replica{Pool: "p", State: engine.StateReady, Reported: true, Version: "v1", Role: engine.RoleMixed, Generation: "newer"}
	a, b, older, leaving := ready, ready, ready, ready
	a.ID, b.ID, older.ID, leaving.ID = "a", "b", "old", "leaving"
	older.Generation = "older"
	leaving.State = engine.StateLeaving
	got := map[string]engine.Role{}
	for _, action := range Plan(pool, roles, []Replica{a, b, older, leaving}) {
		if action.Reload {
			t.Errorf("role change of %s is marked as a reload", action.Replica)
		}
		got[action.Replica] = action.Content.Role
	}
	if len(got) != 2 || got["a"] != engine.RoleOnline || got["old"] != engine.RoleBatch {
		t.Fatalf("orders %v, want role online for a and batch for the older generation", got)
	}
}

// A pending order, one not in the reports yet, is not sent again and counts as loading.
func TestPlan_CountsPendingOrderAsLoading(t *testing.T) {
	pool := Pool{Name: "p", Spec: &v1.ModelPoolSpec{Model: "m", Version: "v2", Replicas: v1.ReplicaRange{Max: 9}, MaxUnavailable: 1}}
	first := Replica{ID: "a", Pool: "p", State: engine.StateReady, Reported: true, Version: "v1", Role: engine.RoleMixed}
	second := first
	second.ID = "b"
	first.Ordered = &Content{Version: "v2", Role: engine.RoleMixed}
	if actions := Plan(pool, nil, []Replica{first, second}); len(actions) != 0 {
		t.Fatalf("orders %+v while one is pending, want none", actions)
	}
}
