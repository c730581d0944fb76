package replica

import (
	"testing"
	"time"
)

// onlineRequest is an online request whose first event is due in 300 ms.
var onlineRequest = RequestInfo{Objective: 300 * time.Millisecond}

// fillWithItems begins items in the four slots of a replica.
func fillWithItems(set *Set, id string, now time.Time) (items []*Use) {
	for range 4 {
		items = append(items, set.Begin(id, RequestInfo{Batch: true}, now))
	}
	return items
}

// Each online request that would wait behind items past its objective preempts one item, even
// before the replica reports waiting requests.
func TestBegin_PreemptsItemForRequestThatWouldBeLate(t *testing.T) {
	set, now := newSet(1), time.Now()
	items := fillWithItems(set, "r00", now)
	now = now.Add(2 * time.Second)
	preempted := 0
	set.OnPressure = func(_ string, count int, _ Pressure) {
		items[preempted].MarkPreempted()
		preempted += count
	}
	for i := range items {
		set.Begin("r00", onlineRequest, now)
		if preempted != i+1 {
			t.Fatalf("%d items preempted for %d requests", preempted, i+1)
		}
	}
	set.Begin("r00", onlineRequest, now)
	if preempted != len(items) {
		t.Fatal("an item is preempted twice")
	}
}

// If slots become free within milliseconds, a request waits: processing the prompt of a preempted
// item again would cost more than the wait.
func TestBegin_NoPreemptionIfWaitIsShort(t *testing.T) {
	set, now := newSet(1), time.Now()
	for range 400 {
		use := set.Begin("r00", onlineRequest, now)
		now = now.Add(20 * time.Millisecond)
		use.FirstEvent(now)
		use.End(Succeeded, now)
	}
	fillWithItems(set, "r00", now)
	preempted := 0
	set.OnPressure = func(_ string, count int, _ Pressure) { preempted += count }
	set.Begin("r00", onlineRequest, now)
	if preempted != 0 {
		t.Fatal("an item is preempted although a slot becomes free soon")
	}
	set.Begin("r00", RequestInfo{}, now)
	if preempted == 0 {
		t.Fatal("no item is preempted for a request without patience")
	}
}

func TestFreeItemSlots_FollowsOnlineDemand(t *testing.T) {
	set, now := newSet(3), time.Now()
	const slots = 12
	if free := set.FreeItemSlots(testPool, now); free != slots {
		t.Fatalf("%d free slots in an idle pool, want %d", free, slots)
	}
	var burst []*Use
	for range 9 {
		burst = append(burst, set.Begin("r00", onlineRequest, now))
	}
	if free := set.FreeItemSlots(testPool, now); free != slots-9 {
		t.Fatalf("%d free slots with 9 requests in flight, want 3", free)
	}
	now = now.Add(500 * time.Millisecond)
	for _, use := range burst {
		use.End(Succeeded, now)
	}
	if free := set.FreeItemSlots(testPool, now); free > slots/2 {
		t.Fatalf("%d free slots immediately after a burst, want at most half", free)
	}
	now = now.Add(5 * time.Second)
	if free := set.FreeItemSlots(testPool, now); free < slots-1 {
		t.Fatalf("%d free slots long after a burst, want nearly all", free)
	}
}

func TestPoolStats(t *testing.T) {
	set, now := newSet(3), time.Now()
	set.Divide("a", nodesWithoutPlace("a", "b", "c"))
	set.Begin("r00", RequestInfo{Batch: true}, now)
	set.Begin("r01", onlineRequest, now)
	stats := set.PoolStats(now)[testPool]
	if stats.Share != 4 || stats.Items != 1 || stats.Open != 1 || stats.Level != 1 {
		t.Fatalf("PoolStats = %+v", stats)
	}
}

// Before the first load report, LoadAge is negative rather than the time since the zero time.
func TestCandidate_LoadAgeWithoutReport(t *testing.T) {
	set, now := newSet(1), time.Now()
	if age := set.Snapshot(testPool, 0, now)[0].LoadAge; age >= 0 {
		t.Fatalf("LoadAge = %v without a report, want a negative one", age)
	}
	set.Begin("r00", onlineRequest, now).RecordLoad(Load{Slots: 4}, now)
	if age := set.Snapshot(testPool, 0, now.Add(time.Second))[0].LoadAge; age != time.Second {
		t.Fatalf("LoadAge = %v, want 1 s", age)
	}
}

func TestPoolEstimates_SlotHold(t *testing.T) {
	set, now := newSet(1), time.Now()
	for range 50 {
		use := set.Begin("r00", onlineRequest, now)
		now = now.Add(800 * time.Millisecond)
		use.FirstEvent(now)
		use.End(Succeeded, now)
	}
	hold := set.estimatesFor(testPool).slotHold()
	if hold < 600*time.Millisecond || hold > 900*time.Millisecond {
		t.Fatalf("slotHold = %v, want about 800 ms", hold)
	}
}

// Processing the prompt of a preempted item again slows the other requests at a replica. If that
// costs more slot time than the online request takes, the request waits longer before it preempts
// an item.
func TestPoolEstimates_PatienceShareGrowsWithPreemptionCost(t *testing.T) {
	estimatesFor := func(rate float64, onlineHold time.Duration) *poolEstimates {
		estimates := &poolEstimates{onlineHold: onlineHold, itemTokens: 2500}
		for i := range 100 {
			tokens := 500 + 4000*(i%3)
			estimates.observeFirstEvent(RequestInfo{Tokens: tokens}, 50*time.Millisecond+time.Duration(float64(tokens)/rate*float64(time.Second)))
		}
		return estimates
	}
	cheap := estimatesFor(125000, 800*time.Millisecond).patienceShare(8)
	expensive := estimatesFor(50000, 300*time.Millisecond).patienceShare(12)
	if cheap != minPatienceShare {
		t.Errorf("patienceShare with cheap preemption = %v, want %v", cheap, minPatienceShare)
	}
	if expensive < 0.6 || expensive > 0.75 {
		t.Errorf("patienceShare with expensive preemption = %v, want about 0.67", expensive)
	}
}
