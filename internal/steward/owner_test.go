package steward

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/membership"
)

// The verdict must be the same every time.
func init() { _ = flag.Set("rapid.seed", "1") }

func zoneMembers(zone string, count int) []membership.Member {
	var members []membership.Member
	for i := range count {
		members = append(members, membership.Member{ID: fmt.Sprintf("%s-n%d", zone, i), Zone: zone})
	}
	return members
}

func zoneReplicas(zone string, count int) []machines.Machine {
	var replicas []machines.Machine
	for i := range count {
		replicas = append(replicas, machines.Machine{ID: fmt.Sprintf("%s-r%d", zone, i), Zone: zone})
	}
	return replicas
}

// Every replica has one steward, in its zone if that has members, and nobody
// has more than its bounded part.
func TestOwnership_BoundedAndInZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		membersA, membersB := rapid.IntRange(0, 20).Draw(t, "membersA"), rapid.IntRange(1, 20).Draw(t, "membersB")
		replicasA, replicasB := rapid.IntRange(0, 60).Draw(t, "replicasA"), rapid.IntRange(0, 60).Draw(t, "replicasB")
		members := append(zoneMembers("a", membersA), zoneMembers("b", membersB)...)
		replicas := append(zoneReplicas("a", replicasA), zoneReplicas("b", replicasB)...)
		owners := newOwnership()
		owners.reset(members, replicas, 1)
		load := map[string]int{}
		for _, replica := range replicas {
			owner := owners.of(replica.ID)
			if owner == "" {
				t.Fatalf("%s has no steward", replica.ID)
			}
			if membersA > 0 && owner[0] != replica.Zone[0] {
				t.Fatalf("%s has steward %s of another zone", replica.ID, owner)
			}
			load[owner]++
		}
		if membersA == 0 {
			return
		}
		for owner, count := range load {
			mean := float64(replicasA) / float64(membersA)
			if owner[0] == 'b' {
				mean = float64(replicasB) / float64(membersB)
			}
			if float64(count) > loadFactor*mean+1 {
				t.Fatalf("%s has %d replicas at a mean of %.1f", owner, count, mean)
			}
		}
	})
}

// A member that goes moves its own replicas and few others.
func TestOwnership_LossMovesLittle(t *testing.T) {
	members, replicas := zoneMembers("a", 16), zoneReplicas("a", 64)
	before, after := newOwnership(), newOwnership()
	before.reset(members, replicas, 1)
	after.reset(members[1:], replicas, 1)
	moved, owned := 0, 0
	for _, replica := range replicas {
		if before.of(replica.ID) == members[0].ID {
			owned++
		}
		if before.of(replica.ID) != after.of(replica.ID) {
			moved++
		}
	}
	if moved > 4*owned+4 {
		t.Fatalf("%d replicas moved for a member that had %d", moved, owned)
	}
}
