package jobs

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/place"
)

// regionWatch records items that reach a replica outside the allowed regions. During a change, both
// the previous and the next regions are allowed.
type regionWatch struct {
	mu        sync.Mutex
	allowed   []place.Regions
	violation string
}

func (w *regionWatch) set(regions ...place.Regions) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allowed = regions
}

func (w *regionWatch) sent(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.ContainsFunc(w.allowed, func(regions place.Regions) bool { return regions.Allows(regionOf(id)) }) {
		w.violation = fmt.Sprintf("an item reached %s, allowed are %v", id, w.allowed)
	}
}

// watchedBackend reports the replicas that items are sent to.
type watchedBackend struct {
	*regionNode
	watch *regionWatch
}

func (b *watchedBackend) Send(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	b.watch.sent(attempt.Replica.ID)
	return b.regionNode.Send(ctx, attempt)
}

// TestHomes_ExactlyOnceUnderChanges changes the allowed regions and the live nodes while jobs run.
// Each item must be listed once, no position may change, and no item may reach a replica outside
// the regions.
func TestHomes_ExactlyOnceUnderChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"n-1", "n-2", "s-1", "x-1"}
		site := newRegionSite(t, nil, nil, names...)
		watch := &regionWatch{allowed: []place.Regions{nil}}
		declare := func(regions place.Regions) {
			before := site.routes.Load().ByName("batch").Regions
			watch.set(before, regions)
			site.setRegions(regions, nil)
			for _, name := range names {
				site.nodes[name].awaitSettled(t)
			}
			watch.set(regions)
		}
		for _, name := range names {
			site.nodes[name].runner.mu.Lock()
			site.nodes[name].runner.Backend = &watchedBackend{regionNode: site.nodes[name], watch: watch}
			site.nodes[name].runner.mu.Unlock()
		}
		var jobs []string
		seen := map[string][]Result{}
		for range rapid.IntRange(4, 10).Draw(rt, "steps") {
			node := site.nodes[rapid.SampledFrom(names).Draw(rt, "node")]
			switch rapid.SampledFrom([]string{"submit", "submit", "regions", "live", "claim"}).Draw(rt, "step") {
			case "submit":
				id := fmt.Sprint("j", len(jobs))
				if node.Submit(t.Context(), submission(id, 4)) == nil {
					jobs = append(jobs, id)
				}
			case "regions":
				declare(rapid.SampledFrom([]place.Regions{nil, {"n"}, {"s"}, {"n", "s"}, {"m"}}).Draw(rt, "regions"))
			case "live":
				live := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, len(names), rapid.ID).Draw(rt, "live")
				for i := range live {
					live[i] += "#1"
				}
				site.fleet.set(live...)
			case "claim":
				site.claim(names...)
			}
			checkStable(rt, node.testNode, jobs, seen)
		}
		declare(nil)
		site.fleet.set("n-1#1", "n-2#1", "s-1#1", "x-1#1")
		for _, id := range jobs {
			eventually(t, func() bool {
				site.claim(names...)
				entry := site.nodes["s-1"].View.Get(id)
				return entry != nil && entry.Done()
			})
		}
		checkStable(rt, site.nodes["x-1"].testNode, jobs, seen)
		checkComplete(rt, site.nodes["n-1"].testNode, jobs)
		watch.mu.Lock()
		defer watch.mu.Unlock()
		if watch.violation != "" {
			rt.Fatal(watch.violation)
		}
	})
}

// checkStable reads jobs and fails if a listed position has changed.
func checkStable(rt *rapid.T, node *testNode, jobs []string, seen map[string][]Result) {
	for _, id := range jobs {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		reading, err := node.Read(ctx, id, 0, 0)
		cancel()
		if err != nil {
			rt.Fatalf("job %s: %v", id, err)
		}
		previous := seen[id]
		shared := min(len(previous), len(reading.Results))
		if !slices.Equal(previous[:shared], reading.Results[:shared]) {
			rt.Fatalf("job %s listed %v, and now %v", id, previous, reading.Results)
		}
		if len(reading.Results) > len(previous) {
			seen[id] = reading.Results
		}
	}
}

// checkComplete fails if an item is not listed exactly once, or is dead.
func checkComplete(rt *rapid.T, node *testNode, jobs []string) {
	for _, id := range jobs {
		eventuallyDone(rt, node, id)
		reading, err := node.Read(context.Background(), id, 0, 0)
		if err != nil || len(reading.Results) != reading.Total {
			rt.Fatalf("job %s: %+v, %v", id, reading, err)
		}
		items := map[string]bool{}
		for _, result := range reading.Results {
			if items[result.Item] || result.Dead {
				rt.Fatalf("job %s lists %v", id, reading.Results)
			}
			items[result.Item] = true
		}
	}
}

func eventuallyDone(rt *rapid.T, node *testNode, id string) {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if entry := node.View.Get(id); entry != nil && entry.Done() {
			return
		}
	}
	rt.Fatalf("job %s is not done in time", id)
}
