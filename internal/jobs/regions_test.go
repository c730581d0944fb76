package jobs

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

func TestRegions_ItemsRunInsideThoughAcceptedElsewhere(t *testing.T) {
	for name, regions := range map[string][2]place.Regions{
		"of the route":  {{"n"}, nil},
		"of the tenant": {nil, {"n"}},
		"of both":       {{"n", "m"}, {"s", "n"}},
	} {
		t.Run(name, func(t *testing.T) {
			site := newRegionSite(t, regions[0], regions[1], "n-1", "n-2", "s-1")
			site.submit("s-1", "j", 9)
			readAll(t, site.nodes["s-1"].testNode, "j")
			site.checkSent("n")
			site.checkStoresNothing("s-1")
		})
	}
}

func TestRegions_OwnersAreInside(t *testing.T) {
	site := newRegionSite(t, place.Regions{"n"}, nil, "n-1", "s-1")
	submitted := atMostOnceSubmission("j", 3)
	if err := site.nodes["s-1"].Submit(t.Context(), submitted); err != nil {
		t.Fatal(err)
	}
	if owner := site.nodes["s-1"].View.Get("j").Progress.Owner; owner != "" {
		t.Errorf("owner is %s", owner)
	}
	eventually(t, func() bool { return site.nodes["n-1"].View.Get("j") != nil })
	site.claim("s-1", "n-1")
	readAll(t, site.nodes["n-1"].testNode, "j")
	site.checkSent("n")
	site.checkStoresNothing("s-1")
}

// TestRegions_ChangeMovesOwners changes the regions of at-most-once items while no replica accepts
// them.
func TestRegions_ChangeMovesOwners(t *testing.T) {
	site := newRegionSite(t, place.Regions{"n"}, nil, "n-1", "s-1")
	site.nodes["n-1"].runner.Replicas.Remove("n-r", time.Now())
	if err := site.nodes["n-1"].Submit(t.Context(), atMostOnceSubmission("j", 2)); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return site.nodes["s-1"].View.Get("j") != nil })
	site.setRegions(place.Regions{"s"}, nil)
	site.claim("n-1", "s-1")
	if owner := site.nodes["s-1"].View.Get("j").Progress.Owner; owner != "s-1#1" {
		t.Fatalf("owner is %q", owner)
	}
}

func TestRegions_NoReportBeforeTheFirstConfiguration(t *testing.T) {
	site := newRegionSite(t, nil, nil, "n-1")
	site.submit("n-1", "j", 1)
	site.routes.Store(nil)
	site.claim("n-1")
	if site.nodes["n-1"].events.awaiting.Load() != 0 {
		t.Fatal("a job waits for regions before the first configuration")
	}
}

// TestRegions_ItemsWaitForADeadRegion stops all nodes in the region and starts one again.
func TestRegions_ItemsWaitForADeadRegion(t *testing.T) {
	site := newRegionSite(t, place.Regions{"n"}, nil, "n-1", "n-2", "s-1", "s-2")
	site.nodes["n-1"].refuse.Store(true)
	site.nodes["n-2"].refuse.Store(true)
	site.submit("s-1", "j", 6)
	site.stop("n-1")
	site.stop("n-2")
	for range 3 {
		site.claim("s-1", "s-2")
	}
	entry := site.nodes["s-1"].View.Get("j")
	if len(entry.Progress.Reassigned) != 0 || len(entry.Progress.Listed) != 0 {
		t.Fatalf("progress is %+v without a live node in the regions", entry.Progress)
	}
	if reports := site.nodes["s-1"].events.awaiting.Load() + site.nodes["s-2"].events.awaiting.Load(); reports != 1 {
		t.Errorf("%d reports that items wait, want 1", reports)
	}
	site.start("n-3", &objecttest.Store{})
	site.fleet.set("n-3#1", "s-1#1", "s-2#1")
	eventually(t, func() bool { return site.nodes["n-3"].View.Get("j") != nil })
	site.claim("s-1", "s-2", "n-3")
	readAll(t, site.nodes["s-1"].testNode, "j")
	site.checkSent("n")
	site.checkStoresNothing("s-1")
	site.checkStoresNothing("s-2")
}

func TestRegions_ItemsThatNoNodeMayRunExpire(t *testing.T) {
	site := newRegionSite(t, place.Regions{"n"}, nil, "s-1", "s-2")
	submitted := submission("j", MaxItems)
	submitted.Retention = 50 * time.Millisecond
	if err := site.nodes["s-1"].Submit(t.Context(), submitted); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool {
		site.claim("s-1", "s-2")
		return site.nodes["s-1"].View.Get("j").Done()
	})
	for _, result := range readAll(t, site.nodes["s-1"].testNode, "j") {
		if !result.Dead || result.Reason != Expired {
			t.Fatalf("result is %+v", result)
		}
	}
	site.checkStoresNothing("s-1")
	site.checkStoresNothing("s-2")
}

// TestRegions_ChangeMovesWaitingItems changes the regions while no replica accepts the items.
func TestRegions_ChangeMovesWaitingItems(t *testing.T) {
	site := newRegionSite(t, place.Regions{"n"}, nil, "n-1", "s-1")
	site.nodes["n-1"].refuse.Store(true)
	site.submit("n-1", "j", 4)
	eventually(t, func() bool { return site.nodes["n-1"].owned() == 1 })
	site.setRegions(place.Regions{"s"}, nil)
	eventually(t, func() bool { return site.nodes["n-1"].owned() == 0 })
	site.nodes["n-1"].refuse.Store(false)
	eventually(t, func() bool { return site.nodes["s-1"].View.Get("j") != nil })
	site.claim("n-1", "s-1")
	readAll(t, site.nodes["n-1"].testNode, "j")
	site.checkSent("s")
}

func TestRegions_UnknownRegionIsNotAllowed(t *testing.T) {
	site := newRegionSite(t, place.Regions{"n"}, nil, "x-1", "n-1")
	site.submit("x-1", "j", 6)
	readAll(t, site.nodes["x-1"].testNode, "j")
	site.checkSent("n")
	site.checkStoresNothing("x-1")
}

func TestRegions_EmptyIntersectionIsNotAccepted(t *testing.T) {
	site := newRegionSite(t, place.Regions{"n"}, place.Regions{"s"}, "n-1", "s-1")
	submitted := submission("j", 1)
	submitted.Tenant = testTenant
	err := site.nodes["n-1"].Submit(t.Context(), submitted)
	if !errors.Is(err, ErrNotAccepted) || !errors.Is(err, ErrNoRegion) {
		t.Fatalf("submission: %v", err)
	}
	if _, err := site.nodes["n-1"].Read(t.Context(), "j", 0, 0); !errors.Is(err, ErrNotFound) {
		t.Fatalf("reading the refused job: %v", err)
	}
}

// TestRegions_OutliveTheirRoute removes the route while items wait.
func TestRegions_OutliveTheirRoute(t *testing.T) {
	site := newRegionSite(t, place.Regions{"n"}, nil, "n-1", "s-1")
	site.nodes["n-1"].refuse.Store(true)
	site.submit("s-1", "j", 2)
	site.routes.Store(route.NewTable(&route.Config{}))
	site.stop("n-1")
	site.claim("s-1")
	if reassigned := site.nodes["s-1"].View.Get("j").Progress.Reassigned; len(reassigned) != 0 {
		t.Fatalf("items reassigned to %v", reassigned)
	}
	site.checkStoresNothing("s-1")
}

func TestRegions_NowhereWithoutConfiguration(t *testing.T) {
	site := newRegionSite(t, nil, nil, "n-1")
	site.routes.Store(nil)
	if regions := site.nodes["n-1"].allowedRegions(&Job{Route: "batch"}); regions == nil || len(regions) != 0 {
		t.Fatalf("regions are %#v", regions)
	}
}

// TestRegions_NodesOutsideAnswerReads reads a body and results at a node outside the regions.
func TestRegions_NodesOutsideAnswerReads(t *testing.T) {
	site := newRegionSite(t, place.Regions{"n"}, nil, "n-1", "s-1")
	site.nodes["n-1"].refuse.Store(true)
	site.submit("n-1", "j", 2)
	outside := site.nodes["s-1"]
	if body, err := outside.Body(t.Context(), "j", "j-1"); err != nil || string(body) != "prompt" {
		t.Fatalf("body is %q, %v", body, err)
	}
	site.nodes["n-1"].refuse.Store(false)
	readAll(t, outside.testNode, "j")
	if len(outside.contents) != 0 || outside.cache.size != 0 {
		t.Fatalf("%d contents and %d bytes of texts are cached at a node outside the regions", len(outside.contents), outside.cache.size)
	}
	readAll(t, site.nodes["n-1"].testNode, "j")
	if site.nodes["n-1"].cache.size == 0 {
		t.Fatal("the node in the region caches no texts")
	}
}

// TestRegions_ItemsWithoutReplicaDoNotBlockOthers removes the only replica in the region.
func TestRegions_ItemsWithoutReplicaDoNotBlockOthers(t *testing.T) {
	site := newRegionSite(t, place.Regions{"n"}, nil, "n-1")
	site.nodes["n-1"].runner.Replicas.Remove("n-r", time.Now())
	site.submit("n-1", "a", 2)
	free := submission("b", 2)
	free.Route = "free"
	for i := range free.Items {
		free.Items[i].Path = "/free/x"
	}
	if err := site.nodes["n-1"].Submit(t.Context(), free); err != nil {
		t.Fatal(err)
	}
	readAll(t, site.nodes["n-1"].testNode, "b")
	if listed := site.nodes["n-1"].View.Get("a").Progress.Listed; len(listed) != 0 {
		t.Fatalf("items without a replica in the region are listed: %v", listed)
	}
}

// TestRegions_OfAllRoutesOfAJobApply submits items of two routes.
func TestRegions_OfAllRoutesOfAJobApply(t *testing.T) {
	site := newRegionSite(t, place.Regions{"n"}, nil, "n-1", "s-1")
	mixed := submission("j", 2)
	mixed.Route, mixed.Items[0].Path = "free", "/free/x"
	if err := site.nodes["s-1"].Submit(t.Context(), mixed); err != nil {
		t.Fatal(err)
	}
	readAll(t, site.nodes["s-1"].testNode, "j")
	site.checkStoresNothing("s-1")
	if sent := site.nodes["s-1"].sentTo(); len(sent) != 0 {
		t.Fatalf("the node outside the regions sent items to %v", sent)
	}
}

// TestJob_ReadsRowsWithoutRegions reads a row written before rows had regions.
func TestJob_ReadsRowsWithoutRegions(t *testing.T) {
	var job Job
	if err := decode(encode(map[int]any{1: "j", 2: "batch", 10: []string{"a"}}), &job); err != nil {
		t.Fatal(err)
	}
	entry := &Entry{Job: &job, Progress: &Progress{}}
	if job.AllowedRegions != nil || entry.regionOf(0) != "" {
		t.Fatalf("job is %+v", job)
	}
	if regions := (&Service{Routes: newRegionSite(t, place.Regions{"n"}, nil).routes.Load}).allowedRegions(&job); fmt.Sprint(regions) != "[n]" {
		t.Fatalf("regions are %v", regions)
	}
}
