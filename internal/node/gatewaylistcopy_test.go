package node

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// A node that starts in a fleet with a large replica list copies it from another node and then follows
// the store from there.
func TestGateway_CopiesLargeReplicaList(t *testing.T) {
	const listed = 300
	site := newGatewaySite(t, 0)
	site.relayFrom = 1
	for i := range listed {
		site.store.Put("servers", fmt.Sprintf("i-%03d", i), standin.ServerRow("127.0.0.1:1", "z", 8, false))
	}
	names := []string{"a", "b", "c", "d"}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(replica.Key(b), replica.Key(a)) })
	count := func(gateway *Gateway) int { return len(gateway.replicas.List(time.Now())) }
	for _, name := range names {
		gateway := site.launch(name, nil)
		site.eventually("the node knows the list and the others", func() bool {
			return gateway.Ready() && count(gateway) == listed && gateway.roster.Count() == len(site.gateways)
		})
	}
	last := site.gateways[len(names)-1]
	if copied := listCopies(t, last); copied != 1 {
		t.Errorf("the last node has copied the list %v times, want once", copied)
	}
	site.store.Remove("servers", "i-007")
	site.eventually("the change after the copy is known", func() bool { return count(last) == listed-1 })
}

// listCopies returns how often a node has copied the replica list.
func listCopies(t *testing.T, gateway *Gateway) float64 {
	t.Helper()
	families, err := gateway.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "wheelhoist_replica_list_copies_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			if metric.GetLabel()[0].GetValue() == "copied" {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// Guards against a call of each node for each replica that comes or goes: the calls for changes of a
// large list are spaced, whatever its size, and those for a small one are not.
func TestGateway_CallsForLargeListAreSpaced(t *testing.T) {
	for _, tc := range []struct {
		listed int
		most   time.Duration
	}{{72, 2 * time.Millisecond}, {10000, 250 * time.Millisecond}, {20000, maxListPoll}} {
		g := &Gateway{core: &core{replicas: replica.NewSet()}}
		for i := range tc.listed {
			g.replicas.Put(replica.Info{ID: fmt.Sprint(i), Pool: "p", Slots: 1})
		}
		if pace := g.listPace(); pace.Default > tc.most || pace.Default < tc.most/2 {
			t.Errorf("%d replicas: %v between two calls, want about %v", tc.listed, pace.Default, tc.most)
		}
	}
}
