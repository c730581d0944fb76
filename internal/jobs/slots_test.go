package jobs

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// These tests guard against items that never run although slots are free. Jobs are spread over all
// nodes, and an item runs in its node's own slots. If there are fewer slots than nodes, some nodes
// have none; and if online requests need most slots, the share left to items rounds down to 0 at
// some nodes. Both stay so, because shares and rounding follow hashes that do not change.

const (
	// slotBound is how long an item may wait at a node without a free slot while another slot that
	// it may use is free: 3 s until it borrows one, 5 s for the other items of its node.
	slotBound = 8 * time.Second
	// backlogBound is the same if the node runs items all the time and does not know of idle slots
	// elsewhere.
	backlogBound = 20 * time.Second
	// crowdedBound is the same where online requests need more than half of the slots.
	crowdedBound = 50 * time.Second
)

func nodeNames(region string, count int) []string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf("%s-%02d", region, i))
	}
	return all
}

func serverSlots(region string, count, slots int) map[string]int {
	all := map[string]int{}
	for i := range count {
		all[fmt.Sprintf("%s-s%d", region, i)] = slots
	}
	return all
}

// submitAt submits a job at a node.
func (s *slotSite) submitAt(node int, id string, items int) {
	s.t.Helper()
	job := submission(id, items)
	job.Completion, job.Retention = time.Hour, time.Hour
	if err := s.nodes[node].Submit(s.t.Context(), job); err != nil {
		s.t.Fatal(err)
	}
}

// awaitDone waits until all items of a job are listed, and fails with their waits after bound.
func (s *slotSite) awaitDone(id string, bound time.Duration) {
	s.t.Helper()
	for deadline := clock.Now().Add(bound); clock.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if entry := s.nodes[0].View.Get(id); entry != nil && entry.Done() {
			return
		}
	}
	s.t.Fatalf("after %v job %s is not done, %d slots are free: %s", bound, id, s.free(), s.describeWaits())
}

// describeWaits returns what the items of each live node wait for.
func (s *slotSite) describeWaits() string {
	text := ""
	for _, node := range s.nodes {
		if waiting := node.runner.ItemWaits(); !node.dead.Load() && len(waiting) > 0 {
			share := node.set.PoolStats(clock.Now())[testPool].Share
			text += fmt.Sprintf("\n%s, share %d, %d items, the oldest waits for %s since %v: %v", node.name, share, len(waiting), waiting[0].Reason, clock.Since(waiting[0].LastProgress), waiting[0].Cause)
			text += fmt.Sprintf("; no borrowed slot %v ago: %v", clock.Since(waiting[0].BorrowedAt), waiting[0].BorrowErr)
		}
	}
	return text
}

func TestRunner_ItemsOfNodesWithoutSlotsRun(t *testing.T) {
	cases := map[string]struct {
		nodes       []string
		servers     map[string]int
		messageLoss float64
		within      time.Duration
	}{
		"more nodes than slots":                 {nodeNames("n", 20), serverSlots("n", 4, 2), 0, slotBound},
		"more nodes than slots, messages lost":  {nodeNames("n", 20), serverSlots("n", 4, 2), 1, slotBound},
		"many more nodes than slots":            {nodeNames("n", 24), serverSlots("n", 2, 1), 0.3, 2 * slotBound},
		"a region without slots":                {append(nodeNames("n", 6), nodeNames("s", 6)...), serverSlots("n", 2, 2), 0, slotBound},
		"a region without slots, messages lost": {append(nodeNames("n", 6), nodeNames("s", 6)...), serverSlots("n", 2, 2), 1, slotBound},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSlotSite(t, 1, tc.nodes, tc.servers)
				site.messageLoss = tc.messageLoss
				site.run()
				time.Sleep(time.Second)
				site.submitAt(0, "j", len(tc.nodes))
				site.awaitDone("j", tc.within)
				if len(site.duplicates) > 0 {
					t.Fatalf("items ran twice at a time: %v", site.duplicates)
				}
			})
		})
	}
}

// TestRunner_ItemsRunBesideConstantOnlineDemand guards that online requests that always need most
// slots leave some to items, although the share of items rounds down to 0 at most nodes.
func TestRunner_ItemsRunBesideConstantOnlineDemand(t *testing.T) {
	for name, online := range map[string]int{"half": 8, "three quarters": 12, "nine tenths": 14} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSlotSite(t, 1, nodeNames("n", 8), serverSlots("n", 4, 4))
				site.run()
				for i := range online {
					node, server := site.nodes[i%len(site.nodes)], site.servers[fmt.Sprintf("n-s%d", i%4)]
					site.runLoad(func(ctx context.Context) {
						for retry.Sleep(ctx, time.Millisecond) {
							node.runOnline(server, 300*time.Millisecond)
						}
					})
				}
				time.Sleep(2 * time.Second)
				site.submitAt(0, "j", 8)
				site.awaitDone("j", crowdedBound)
			})
		})
	}
}

// adapterTable returns a route whose adapter no replica has loaded, and one without an adapter.
func adapterTable() *route.Table {
	shares := []route.Share{{Pool: testPool, Weight: 1}}
	return route.NewTable(&route.Config{Version: 1, Routes: []*route.Route{
		{Name: "batch", Host: testHost, Prefix: "/batch/", Kind: route.Batch, MaxAttempts: 3, Shares: shares},
		{Name: "adapted", Host: testHost, Prefix: "/adapted/", Kind: route.Batch, MaxAttempts: 3, Shares: shares, Adapter: "unknown"},
	}})
}

// TestRunner_ItemsThatNoReplicaAcceptsDoNotBlockOthers guards against a dispatch that closes the
// whole pool because of items that no replica accepts.
func TestRunner_ItemsThatNoReplicaAcceptsDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSlotSite(t, 1, nodeNames("n", 1), serverSlots("n", 1, 4))
		site.nodes[0].runner.Routes = adapterTable
		site.run()
		for i := range 6 {
			first := submission(fmt.Sprintf("a%d", i), 1)
			first.Route, first.Items[0].Path, first.Completion = "adapted", "/adapted/x", time.Minute
			if err := site.nodes[0].Submit(t.Context(), first); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		site.submitAt(0, "j", 8)
		site.awaitDone("j", slotBound)
	})
}

// At-most-once items stay with their owner, which may have no slot at all.
func TestRunner_AtMostOnceItemsOfANodeWithoutSlotsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSlotSite(t, 1, nodeNames("n", 20), serverSlots("n", 2, 2))
		site.run()
		time.Sleep(time.Second)
		for i := range site.nodes {
			if err := site.nodes[i].Submit(t.Context(), atMostOnceSubmission(fmt.Sprintf("once-%d", i), 2)); err != nil {
				t.Fatal(err)
			}
		}
		for i := range site.nodes {
			site.awaitDone(fmt.Sprintf("once-%d", i), 2*slotBound)
		}
		if len(site.duplicates) > 0 {
			t.Fatalf("items ran twice: %v", site.duplicates)
		}
	})
}

// TestRunner_LongestWaitDecidesOnBorrowing guards against an item that never gets a slot although it has
// waited long enough to borrow one: it is late, so items that may not borrow yet are asked first, and
// close the lane for all behind them.
func TestRunner_LongestWaitDecidesOnBorrowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSlotSite(t, 1, nodeNames("n", 1), serverSlots("n", 2, 1))
		site.eventTime = 100 * time.Millisecond
		node := site.nodes[0]
		site.owners.idle = []string{"n-01"}
		site.run()
		time.Sleep(time.Second)
		site.submitAt(0, "backlog", 9)
		time.Sleep(time.Second / 2)
		late := submission("late", 1)
		late.Completion = time.Millisecond
		if err := node.Submit(t.Context(), late); err != nil {
			t.Fatal(err)
		}
		site.runLoad(func(ctx context.Context) {
			for number := 0; retry.Sleep(ctx, time.Second); number++ {
				site.submitAt(0, fmt.Sprintf("young-%03d", number), 1)
			}
		})
		site.awaitDone("late", backlogBound)
	})
}

// TestRunner_ItemsUseIdleSlotsOfAnotherRegion guards against items that wait for longer than 5 s where online
// requests need all slots of their own region, while slots of another region are idle.
func TestRunner_ItemsUseIdleSlotsOfAnotherRegion(t *testing.T) {
	checkIdleSlotsOfAnotherRegion(t, map[string]int{"s-s0": 16})
}

// TestRunner_ItemsFindTheOnlyReplicaOfAnotherRegion is the same for a region of many replicas, beside which a
// replica elsewhere is rarely found by chance.
func TestRunner_ItemsFindTheOnlyReplicaOfAnotherRegion(t *testing.T) {
	checkIdleSlotsOfAnotherRegion(t, serverSlots("s", 8, 2))
}

// checkIdleSlotsOfAnotherRegion fails if an item waits for longer than 5 s while online requests need all slots
// of the given servers, and those of one in another region are idle.
func checkIdleSlotsOfAnotherRegion(t *testing.T, busy map[string]int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		servers := maps.Clone(busy)
		servers["n-s0"] = 16
		site := newSlotSite(t, 1, append(nodeNames("n", 2), nodeNames("s", 2)...), servers)
		site.eventTime = 100 * time.Millisecond
		site.run()
		for i := range 20 {
			site.runLoad(func(ctx context.Context) {
				for retry.Sleep(ctx, time.Millisecond) {
					site.nodes[2+i%2].runOnline(site.servers[fmt.Sprintf("s-s%d", i%len(busy))], 300*time.Millisecond)
				}
			})
		}
		time.Sleep(2 * time.Second)
		watch := site.watchWaits(5 * time.Second)
		site.submitAt(0, "j", 56)
		site.awaitDone("j", backlogBound)
		if violation := watch(); violation != "" {
			t.Fatalf("an item waited for more than 5 s while a slot was free: %s", violation)
		}
	})
}

// TestRunner_HeldItemsLeaveBorrowingToOthers guards against items that borrow no slot because others of their
// lane come first and must not be sent for a reason of their own, such as a start mark that cannot be written.
func TestRunner_HeldItemsLeaveBorrowingToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := nodeNames("n", 10)
		site := newSlotSite(t, 1, nodes, serverSlots("n", 1, 2))
		site.shared.CommitFault = func(writes []table.Write) tabletest.Fault {
			isMark := strings.HasPrefix(writes[0].Sort, progressKey("a-held").Sort) && writes[0].Expect != table.Absent
			if isMark {
				return tabletest.Down
			}
			return tabletest.None
		}
		sound := submission("b-sound", len(nodes))
		sound.Completion, sound.Retention = time.Hour, time.Hour
		site.run()
		time.Sleep(time.Second)
		for i, node := range site.nodes {
			// The node that accepts a job of such items runs all of them.
			held := atMostOnceSubmission(fmt.Sprintf("a-held-%d", i), 20)
			held.Completion, held.Retention = time.Hour, time.Hour
			if err := node.Submit(t.Context(), held); err != nil {
				t.Fatal(err)
			}
		}
		if err := site.nodes[0].Submit(t.Context(), sound); err != nil {
			t.Fatal(err)
		}
		site.awaitDone("b-sound", slotBound)
	})
}
