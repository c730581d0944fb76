package replica

import (
	"testing"
	"time"
)

// onlineRequest is an online request whose first event is due in 300 ms.
var onlineRequest = RequestInfo{Objective: 300 * time.Millisecond}

// fillWithItems begins items at a replica until this node's slots are taken.
func fillWithItems(set *Set, id string, now time.Time) (items []*Use) {
	for range 4 {
		items = append(items, set.Begin(id, RequestInfo{Batch: true}, now))
	}
	return items
}

// A finding (aspsc-dakar quiet-1): in pulses online requests waited behind items
// that held their slots for seconds, and only a replica that told of three
// waiting requests made one item give way.
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
			t.Fatalf("%d items gave way to %d requests", preempted, i+1)
		}
	}
	set.Begin("r00", onlineRequest, now)
	if preempted != len(items) {
		t.Fatal("an item gave way twice")
	}
}

// Where slots are free again in a few ms, a request waits: what an item must
// read again would hold up more than it wins.
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
		t.Fatal("an item gave way though a slot is free in a moment")
	}
	set.Begin("r00", RequestInfo{}, now)
	if preempted == 0 {
		t.Fatal("no item gave way to a request that cannot wait")
	}
}

func TestFreeItemSlots_FollowsOnlineDemand(t *testing.T) {
	set, now := newSet(3), time.Now()
	const slots = 12
	if free := set.FreeItemSlots(testPool, now); free != slots {
		t.Fatalf("an idle pool has room for %d items, want %d", free, slots)
	}
	var burst []*Use
	for range 9 {
		burst = append(burst, set.Begin("r00", onlineRequest, now))
	}
	if free := set.FreeItemSlots(testPool, now); free != slots-9 {
		t.Fatalf("there is room for %d items beside 9 requests", free)
	}
	now = now.Add(500 * time.Millisecond)
	for _, use := range burst {
		use.End(Succeeded, now)
	}
	if free := set.FreeItemSlots(testPool, now); free > slots/2 {
		t.Fatalf("a burst that has just ended leaves room for %d items", free)
	}
	now = now.Add(5 * time.Second)
	if free := set.FreeItemSlots(testPool, now); free < slots-1 {
		t.Fatalf("long after a burst there is room for %d items only", free)
	}
}

func TestPoolStats(t *testing.T) {
	set, now := newSet(3), time.Now()
	set.Divide("a", nodesWithoutPlace("a", "b", "c"))
	set.Begin("r00", RequestInfo{Batch: true}, now)
	set.Begin("r01", onlineRequest, now)
	stats := set.PoolStats(now)[testPool]
	if stats.Share != 4 || stats.Items != 1 || stats.Open != 1 || stats.Level != 1 {
		t.Fatalf("learned is %+v", stats)
	}
}

// A finding (logs of aspsc-dakar quiet-1): before the first report the age was told as
// 292 years.
func TestCandidate_LoadAgeWithoutReport(t *testing.T) {
	set, now := newSet(1), time.Now()
	if age := set.Snapshot(testPool, 0, now)[0].LoadAge; age >= 0 {
		t.Fatalf("age is %v though nothing was reported", age)
	}
	set.Begin("r00", onlineRequest, now).RecordLoad(Load{Slots: 4}, now)
	if age := set.Snapshot(testPool, 0, now.Add(time.Second))[0].LoadAge; age != time.Second {
		t.Fatalf("age is %v, want 1 s", age)
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
		t.Fatalf("slots are held for %v, want some 800 ms", hold)
	}
}

// What an item must read again holds up all that run beside it. Where that is
// more than a request takes itself, the request waits longer before it has an
// item give way.
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
		t.Errorf("share of a cheap move is %v, want %v", cheap, minPatienceShare)
	}
	if expensive < 0.6 || expensive > 0.75 {
		t.Errorf("share of a dear move is %v, want some 0.67", expensive)
	}
}
