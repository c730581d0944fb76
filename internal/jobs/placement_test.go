package jobs

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

func TestPlacement_Region(t *testing.T) {
	both := map[string][]string{"n": {"n-1"}, "s": {"s-1"}}
	for _, tc := range []struct {
		name        string
		nodes       map[string][]string
		own         string
		load, slots map[string]int
		want        string
	}{
		{"own has free slots", both, "n", map[string]int{"n": 3}, map[string]int{"n": 4, "s": 9}, "n"},
		{"own is full, another has free slots", both, "n", map[string]int{"n": 4, "s": 3}, map[string]int{"n": 4, "s": 4}, "s"},
		{"all are full", both, "n", map[string]int{"n": 9, "s": 4}, map[string]int{"n": 4, "s": 4}, "n"},
		{"own has no slots", both, "n", map[string]int{"s": 9}, map[string]int{"s": 4}, "s"},
		{"own may not run it", map[string][]string{"s": {"s-1"}}, "n", nil, map[string]int{"n": 4, "s": 4}, "s"},
		{"unknown own region", both, "", map[string]int{"n": 1}, map[string]int{"n": 4, "s": 4}, "s"},
		{"one unknown region", map[string][]string{"": {"x-1"}}, "", map[string]int{"": 9}, map[string]int{"": 1}, ""},
	} {
		p := &placement{nodes: tc.nodes, ownRegion: tc.own, regionLoad: tc.load, slots: tc.slots}
		if got := p.chooseRegion(); got != tc.want {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
}

// TestPlacement_OneRegionBalancesNodes guards that within one region each item goes to the node
// with the fewest, and that preference decides ties.
func TestPlacement_OneRegionBalancesNodes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		prefix := rapid.SampledFrom([]string{"x-", "n-"}).Draw(rt, "region")
		var names []string
		for i := range rapid.IntRange(1, 6).Draw(rt, "nodes") {
			names = append(names, fmt.Sprint(prefix, i))
		}
		site := newRegionSite(t, nil, nil)
		for _, name := range names {
			site.fleet.set(append(site.fleet.Live(), name+"#1")...)
		}
		service := &Service{View: NewView(), Fleet: site.fleet, Routes: site.routes.Load}
		submitted := submission("j", rapid.IntRange(1, 20).Draw(rt, "items"))
		job := &Job{ID: "j", Route: "batch", Items: make([]ItemHead, len(submitted.Items))}
		service.spread(job, submitted, names[0])
		ordered := sortByPreference(slices.Clone(names), job.ID)
		load := map[string]int{}
		for i := range job.Items {
			want := slices.MinFunc(ordered, func(a, b string) int { return load[a] - load[b] })
			load[want]++
			if got := job.Nodes[job.Items[i].Node]; got != want {
				rt.Fatalf("item %d goes to %s, want %s", i, got, want)
			}
		}
		if prefix == "x-" && job.Regions != nil {
			rt.Fatalf("the row names regions %q", job.Regions)
		}
	})
}

func TestSpread_ItemsStayInTheRegionOfTheirAcceptance(t *testing.T) {
	site := newRegionSite(t, nil, nil, "n-1", "n-2", "s-1")
	site.submit("n-2", "j", 6)
	readAll(t, site.nodes["s-1"].testNode, "j")
	if other := site.nodes["s-1"]; len(other.sentTo()) != 0 || other.rows.reads.Load() != 0 {
		t.Fatalf("the node of another region ran %v", other.sentTo())
	}
}

// TestSpread_ItemsBeyondTheSlotsOfARegionGoElsewhere submits more items than the 8 slots of the
// region.
func TestSpread_ItemsBeyondTheSlotsOfARegionGoElsewhere(t *testing.T) {
	site := newRegionSite(t, nil, nil, "n-1", "s-1")
	for _, node := range site.nodes {
		node.refuse.Store(true)
	}
	site.submit("n-1", "j", 11)
	entry := site.nodes["n-1"].View.Get("j")
	for node, want := range map[string]int{"n-1": 8, "s-1": 3} {
		if items := len(entry.itemsOf(node)); items != want {
			t.Errorf("node %s has %d items, want %d", node, items, want)
		}
	}
	if got := fmt.Sprint(entry.regionOf(0), entry.regionOf(10)); got != fmt.Sprint("n", "s") {
		t.Errorf("regions of the first and the last item: %s", got)
	}
}

// TestClaim_WithinTheRegionFirst stops nodes one after the other.
func TestClaim_WithinTheRegionFirst(t *testing.T) {
	site := newRegionSite(t, nil, nil, "n-1", "n-2", "s-1", "s-2", "s-3")
	for _, node := range site.nodes {
		node.refuse.Store(true)
	}
	site.submit("n-1", "j", 8)
	runningNodes := func() []string {
		entry := site.nodes["s-1"].View.Get("j")
		var runners []string
		for i := range entry.Job.Items {
			if node := entry.nodeOf(i); !slices.Contains(runners, node) {
				runners = append(runners, node)
			}
		}
		return slices.Sorted(slices.Values(runners))
	}
	eventually(t, func() bool { return site.nodes["s-1"].View.Get("j") != nil })
	site.stop("n-2")
	site.claim("s-1", "s-2", "s-3", "n-1")
	eventually(t, func() bool { return slices.Equal(runningNodes(), []string{"n-1"}) })
	site.stop("n-1")
	eventually(t, func() bool {
		site.claim("s-1", "s-2", "s-3")
		return !slices.Contains(runningNodes(), "n-1")
	})
	for _, node := range site.nodes {
		node.refuse.Store(false)
	}
	readAll(t, site.nodes["s-1"].testNode, "j")
}

// TestClaim_ItemsOfALostNodeGoBackToTheirRegions stops a node that had taken over items of another
// region.
func TestClaim_ItemsOfALostNodeGoBackToTheirRegions(t *testing.T) {
	site := newRegionSite(t, nil, nil, "n-1", "s-1", "n-2", "s-2")
	site.fleet.set("n-1#1", "s-1#1")
	for _, node := range site.nodes {
		node.refuse.Store(true)
	}
	site.submit("n-1", "j", 11)
	eventually(t, func() bool { return site.nodes["s-1"].View.Get("j") != nil })
	site.stop("n-1")
	site.claim("s-1")
	site.fleet.set("s-2#1", "n-2#1")
	for name, want := range map[string]int{"n-2": 8, "s-2": 3} {
		eventually(t, func() bool {
			entry := site.nodes[name].View.Get("j")
			return entry != nil && len(entry.Progress.Reassigned) >= 8
		})
		site.claim(name)
		if items := len(site.nodes[name].View.Get("j").itemsOf(name)); items != want {
			t.Errorf("node %s has %d items, want %d", name, items, want)
		}
	}
}

// TestClaim_NodeOfUnknownRegionIsNotPreferred has a node of unknown region beside one in the
// region.
func TestClaim_NodeOfUnknownRegionIsNotPreferred(t *testing.T) {
	runner := NewRunner(RunnerOptions{
		Service: &Service{Fleet: &regionFleet{}}, Owners: &regionFleet{live: []string{"x-1#1", "n-1#1"}},
	})
	live := runner.Owners.Live()
	if preferred := runner.preferRegion(live, "n"); len(preferred) != 1 || lease.Node(preferred[0]) != "n-1" {
		t.Errorf("preferred in region n: %v", preferred)
	}
	for _, region := range []string{"", "s"} {
		if preferred := runner.preferRegion(live, region); len(preferred) != len(live) {
			t.Errorf("preferred in region %q: %v", region, preferred)
		}
	}
}

func TestSubmit_ContentsAreCachedOnlyWhereItemsRun(t *testing.T) {
	owners := &liveOwners{live: []string{"b#1"}}
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	node.Fleet = owners
	if err := node.Submit(t.Context(), submission("j", 2)); err != nil {
		t.Fatal(err)
	}
	if len(node.contents) != 0 {
		t.Fatal("a node that runs no items caches their bodies")
	}
}
