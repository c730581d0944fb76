package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// largeFleet returns a set that knows count nodes and ten times as many replicas in five zones, all
// divided. The node of the set is node-0000.
func largeFleet(count int) (*Set, []place.Node) {
	zone := func(i int) place.Place { return place.Place{Zone: fmt.Sprintf("z%d", i%5), Region: "r"} }
	var nodes []place.Node
	for i := range count {
		nodes = append(nodes, place.Node{ID: fmt.Sprintf("node-%04d", i), Place: zone(i)})
	}
	set := NewSet()
	for i := range 10 * count {
		set.Put(largeFleetReplica(i))
	}
	set.Divide(nodes[0].ID, nodes)
	set.UpdateDemand(time.Now())
	return set, nodes
}

func largeFleetReplica(i int) Info {
	return Info{ID: fmt.Sprintf("i-%05d", i), Pool: testPool, Zone: fmt.Sprintf("z%d", i%5), Region: "r", Slots: 8}
}

// ids returns the IDs of entries.
func ids(entries []*entry) []string {
	var list []string
	for _, e := range entries {
		list = append(list, e.info.ID)
	}
	return list
}

// Guards against an index that differs from the list after replicas came, went, restarted, moved to
// another pool or were taken up again while still in use.
func TestIndex_FollowsList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set, now := NewSet(), time.Now()
		set.Divide("a", nodesWithoutPlace("a", "b"))
		open := map[string][]*Use{}
		rt.Repeat(map[string]func(*rapid.T){
			"put": func(rt *rapid.T) {
				info := Info{ID: rapid.SampledFrom([]string{"r1", "r2", "r3", "r4"}).Draw(rt, "id"), Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(rt, "pool")}
				info.Slots, info.StartedUnixMs = rapid.IntRange(1, 3).Draw(rt, "slots"), rapid.Int64Range(1, 2).Draw(rt, "start")
				set.put(info, now)
			},
			"remove": func(rt *rapid.T) {
				set.Remove(rapid.SampledFrom([]string{"r1", "r2", "r3", "r4"}).Draw(rt, "id"), now)
			},
			"begin": func(rt *rapid.T) {
				id := rapid.SampledFrom([]string{"r1", "r2", "r3", "r4"}).Draw(rt, "id")
				if use := set.Begin(id, RequestInfo{}, now); use != nil {
					open[id] = append(open[id], use)
				}
			},
			"end": func(rt *rapid.T) {
				for id, uses := range open {
					uses[0].End(Succeeded, now)
					open[id] = uses[1:]
					if len(open[id]) == 0 {
						delete(open, id)
					}
					break
				}
			},
			"divide": func(rt *rapid.T) { set.UpdateDemand(now.Add(time.Hour)) },
			"":       func(rt *rapid.T) { checkIndex(rt, set) },
		})
	})
}

// checkIndex fails unless the index of a set matches its list.
func checkIndex(t *rapid.T, set *Set) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.updateIndex()
	count := 0
	for pool, p := range set.index.pools {
		count += len(p.all)
		if len(p.all) == 0 || !slices.IsSortedFunc(p.all, byID) || !slices.IsSortedFunc(p.active, byID) {
			t.Fatalf("pool %s has %v, active %v, want sorted lists", pool, ids(p.all), ids(p.active))
		}
		for _, e := range p.all {
			if set.entries[e.info.ID] != e || e.info.Pool != pool || set.index.byKey[e.key] != e {
				t.Fatalf("%s of pool %s is not the listed entry", e.info.ID, pool)
			}
			if active := slices.Contains(p.active, e); active != e.active || !active && (e.open > 0 || e.share > 0) {
				t.Fatalf("%s is active: %t, with %d requests and %d slots", e.info.ID, active, e.open, e.share)
			}
		}
		for _, e := range p.active {
			if !slices.Contains(p.all, e) {
				t.Fatalf("%s is active and not listed", e.info.ID)
			}
		}
	}
	if count != len(set.entries) || len(set.index.byKey) != len(set.entries) {
		t.Fatalf("index has %d entries and %d keys, list %d", count, len(set.index.byKey), len(set.entries))
	}
}

// Guards against work for itself that grows with the fleet: a node with some 80 slots looks at as many
// replicas, among 9,850 as among 19,700.
func TestSet_ActiveReplicasDoNotGrowWithFleet(t *testing.T) {
	// In the worst case each slot is at another replica.
	const maxActive = 110
	for _, size := range []int{985, 1970} {
		set, _ := largeFleet(size)
		set.UpdateDemand(time.Now())
		if active := len(set.active(testPool)); active == 0 || active > maxActive {
			t.Errorf("%d nodes, %d replicas: %d active, want 1 to %d", size, 10*size, active, maxActive)
		}
		if chosen := len(set.Snapshot(testPool, 0, time.Now())); chosen > maxActive+sampleRandom {
			t.Errorf("%d nodes: a sample has %d replicas", size, chosen)
		}
	}
}

// Guards against a division at each change of the list: only changes of this node's shard count, and
// several changes are divided at once.
func TestSet_OnlyChangesOfShardAreDivided(t *testing.T) {
	for _, size := range []int{985, 1970} {
		set, _ := largeFleet(size)
		const changes = 400
		divisions, inShard := set.Divisions(), 0
		for i := range changes {
			info := largeFleetReplica(i)
			if e := set.entries[info.ID]; set.index.inShard(e) {
				inShard++
			}
			set.Remove(info.ID, time.Now())
			set.UpdateDemand(time.Now())
		}
		divided := int(set.Divisions() - divisions)
		if divided != inShard || divided > changes/4 {
			t.Errorf("%d nodes: %d divisions for %d changes, of which %d concern the shard", size, divided, changes, inShard)
		}
		divisions = set.Divisions()
		for i := range changes {
			set.Put(largeFleetReplica(i))
		}
		set.UpdateDemand(time.Now())
		if divided := set.Divisions() - divisions; divided != 1 {
			t.Errorf("%d nodes: %d divisions for changes that were made at once, want 1", size, divided)
		}
	}
}

// Guards against a request that waits for a division.
func TestSet_RequestsDoNotDivideInBackground(t *testing.T) {
	set := newSet(20)
	set.DivideInBackground()
	set.Divide("a", nodesWithoutPlace("a", "b"))
	set.UpdateDemand(time.Now())
	divisions := set.Divisions()
	set.Remove("r00", time.Now())
	set.Put(Info{ID: "r99", Pool: testPool, Slots: 8})
	for _, candidate := range set.Snapshot(testPool, 0, time.Now()) {
		if strings.HasPrefix(candidate.ID, "r99") && candidate.Share != 0 {
			t.Errorf("new replica has %d slots of this node before a division", candidate.Share)
		}
	}
	set.ItemCapacity(testPool, time.Now())
	if divided := set.Divisions(); divided != divisions {
		t.Errorf("a request computed %d divisions", divided-divisions)
	}
	set.UpdateDemand(time.Now())
	if divided := set.Divisions(); divided != divisions+1 {
		t.Errorf("%d divisions in the background, want 1", divided-divisions)
	}
}

// BenchmarkSet_ReplicaChange measures a change of one replica of a large list, with the division if the
// replica belongs to the node's shard.
func BenchmarkSet_ReplicaChange(b *testing.B) {
	for _, size := range []int{985, 1970} {
		set, _ := largeFleet(size)
		b.Run(fmt.Sprintf("%d nodes", size), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				info := largeFleetReplica(i % (10 * size))
				set.Remove(info.ID, time.Now())
				set.UpdateDemand(time.Now())
				set.Put(info)
				set.UpdateDemand(time.Now())
			}
		})
	}
}
