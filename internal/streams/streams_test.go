package streams

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// Guards against a stream that is continued although two nodes recorded different origins.
func TestRegistry_DifferentOriginsAreAmbiguous(t *testing.T) {
	var registry Registry
	id := NewID("tenant", "request")
	if _, known := registry.Get(id); known {
		t.Fatal("an origin is known that was never put")
	}
	first := Origin{Pool: "p", SoftwareVersion: "v1"}
	registry.Put(id, first, time.Minute)
	registry.Put(id, first, time.Minute)
	if origin, known := registry.Get(id); !known || origin != first {
		t.Fatalf("the origin is %+v, known %v", origin, known)
	}
	registry.Put(id, Origin{Pool: "p", SoftwareVersion: "v2"}, time.Minute)
	registry.Put(id, first, time.Minute)
	if origin, known := registry.Get(id); !known || !origin.Ambiguous {
		t.Fatalf("after a different one the origin is %+v, known %v", origin, known)
	}
}

// Guards against a registry that grows without bound, and against origins that never expire.
func TestRegistry_IsBounded(t *testing.T) {
	var registry Registry
	for i := range maxOrigins + 10 {
		registry.Put(NewID("", fmt.Sprint(i)), Origin{}, time.Minute)
	}
	if registry.Len() != maxOrigins {
		t.Fatalf("%d origins are kept, want %d", registry.Len(), maxOrigins)
	}
	var short Registry
	short.Put(NewID("", "a"), Origin{}, time.Millisecond)
	time.Sleep(5 * time.Millisecond)
	short.Put(NewID("", "b"), Origin{}, time.Minute)
	if _, known := short.Get(NewID("", "a")); known || short.Len() != 1 {
		t.Fatal("an expired origin is kept")
	}
}

// Guards against a caller that learns of another tenant's stream by naming its request.
func TestNewID_DependsOnTenant(t *testing.T) {
	if NewID("a", "request") == NewID("b", "request") || NewID("a", "bc") == NewID("ab", "c") {
		t.Fatal("streams of different tenants have the same ID")
	}
}

// fleet returns nodes in a number of zones.
func fleet(nodes, zones int) []place.Node {
	list := make([]place.Node, nodes)
	for i := range list {
		list[i] = place.Node{ID: fmt.Sprintf("n%d", i), Place: place.Place{Zone: fmt.Sprintf("z%d", i%zones)}}
	}
	return list
}

// Guards against holders that are all lost with one zone, and against nodes that ask others than those
// which hold an origin.
func TestRanking_HoldersAreSpreadAndAgreedOn(t *testing.T) {
	for _, size := range []struct{ nodes, zones int }{{1, 1}, {2, 1}, {13, 4}, {60, 3}, {985, 5}} {
		list := fleet(size.nodes, size.zones)
		ranking := NewRanking(list)
		reversed := slices.Clone(list)
		slices.Reverse(reversed)
		held := map[string]int{}
		for i := range 500 {
			id := NewID("", fmt.Sprint(i))
			holders := ranking.Holders(id, 3)
			if len(holders) != min(3, size.nodes) || !slices.Equal(holders, NewRanking(reversed).Holders(id, 3)) {
				t.Fatalf("%d nodes: holders %v depend on the order of the list", size.nodes, holders)
			}
			zones := map[string]bool{}
			for _, holder := range holders {
				held[holder]++
				zones[list[slices.IndexFunc(list, func(node place.Node) bool { return node.ID == holder })].Zone] = true
			}
			if len(zones) != min(3, size.zones) {
				t.Fatalf("%d nodes: holders %v are in %d zones", size.nodes, holders, len(zones))
			}
		}
		if size.nodes == 13 && len(held) != size.nodes {
			t.Errorf("only %d of 13 nodes hold origins", len(held))
		}
	}
}

// Guards against origins that are not found because the lists of two nodes differ by nodes that have
// just joined or left.
func TestRanking_DifferingListsOverlap(t *testing.T) {
	list := fleet(20, 4)
	recorder, asker := NewRanking(list[:18]), NewRanking(list[2:])
	for i := range 500 {
		id := NewID("", fmt.Sprint(i))
		asked := asker.Holders(id, 9)
		if !slices.ContainsFunc(recorder.Holders(id, 4), func(holder string) bool { return slices.Contains(asked, holder) }) {
			t.Fatalf("stream %d: no holder is asked", i)
		}
	}
}

// BenchmarkHolders measures the choice of the holders of one stream.
func BenchmarkHolders(b *testing.B) {
	for _, nodes := range []int{13, 985, 1970} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			ranking, id := NewRanking(fleet(nodes, 5)), NewID("", "x")
			b.ReportAllocs()
			for b.Loop() {
				ranking.Holders(id, 4)
			}
		})
	}
}

// BenchmarkPut measures the time and memory of one origin in a full registry.
func BenchmarkPut(b *testing.B) {
	var registry Registry
	b.ReportAllocs()
	number := 0
	for b.Loop() {
		number++
		registry.Put(NewID("tenant", fmt.Sprint(number)), Origin{Pool: "pool", SoftwareVersion: "v1"}, time.Hour)
	}
}
