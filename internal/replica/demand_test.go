package replica

import (
	"testing"
	"time"
)

// ask is an online request whose first event is due in 300 ms.
var ask = Ask{Objective: 300 * time.Millisecond}

// fill begins items at a replica until this node's slots are taken.
func fill(set *Set, id string, now time.Time) (items []*Use) {
	for range 4 {
		items = append(items, set.Begin(id, Ask{Batch: true}, now))
	}
	return items
}

// A finding (aspsc-dakar quiet-1): in pulses online requests waited behind items
// that held their slots for seconds, and only a replica that told of three
// waiting requests made one item give way.
func TestBegin_ItemGivesWayToARequestThatWouldBeLate(t *testing.T) {
	set, now := newSet(1), time.Now()
	items := fill(set, "r00", now)
	now = now.Add(2 * time.Second)
	asked := 0
	set.Pressed = func(_ string, count int, _ Pressure) {
		items[asked].MarkPreempted()
		asked += count
	}
	for i := range items {
		set.Begin("r00", ask, now)
		if asked != i+1 {
			t.Fatalf("%d items gave way to %d requests", asked, i+1)
		}
	}
	set.Begin("r00", ask, now)
	if asked != len(items) {
		t.Fatal("an item gave way twice")
	}
}

// Where slots are free again in a few ms, a request waits: what an item must
// read again would hold up more than it wins.
func TestBegin_NoItemGivesWayWhereTheWaitIsShort(t *testing.T) {
	set, now := newSet(1), time.Now()
	for range 400 {
		use := set.Begin("r00", ask, now)
		now = now.Add(20 * time.Millisecond)
		use.First(now)
		use.End(Succeeded, now)
	}
	fill(set, "r00", now)
	asked := 0
	set.Pressed = func(_ string, count int, _ Pressure) { asked += count }
	set.Begin("r00", ask, now)
	if asked != 0 {
		t.Fatal("an item gave way though a slot is free in a moment")
	}
	set.Begin("r00", Ask{}, now)
	if asked == 0 {
		t.Fatal("no item gave way to a request that cannot wait")
	}
}

func TestItemRoom_FollowsWhatOnlineRequestsNeed(t *testing.T) {
	set, now := newSet(3), time.Now()
	const slots = 12
	if room := set.ItemRoom(testPool, now); room != slots {
		t.Fatalf("an idle pool has room for %d items, want %d", room, slots)
	}
	var burst []*Use
	for range 9 {
		burst = append(burst, set.Begin("r00", ask, now))
	}
	if room := set.ItemRoom(testPool, now); room != slots-9 {
		t.Fatalf("there is room for %d items beside 9 requests", room)
	}
	now = now.Add(500 * time.Millisecond)
	for _, use := range burst {
		use.End(Succeeded, now)
	}
	if room := set.ItemRoom(testPool, now); room > slots/2 {
		t.Fatalf("a burst that has just ended leaves room for %d items", room)
	}
	now = now.Add(5 * time.Second)
	if room := set.ItemRoom(testPool, now); room < slots-1 {
		t.Fatalf("long after a burst there is room for %d items only", room)
	}
}

func TestLearned_ShowsWhatDecisionsGoBy(t *testing.T) {
	set, now := newSet(3), time.Now()
	set.Divide("a", nowhere("a", "b", "c"))
	set.Begin("r00", Ask{Batch: true}, now)
	set.Begin("r01", ask, now)
	learned := set.Learned(now)[testPool]
	if learned.Share != 4 || learned.Items != 1 || learned.Open != 1 || learned.Level != 1 {
		t.Fatalf("learned is %+v", learned)
	}
}

// A finding (logs of aspsc-dakar quiet-1): before the first report the age was told as
// 292 years.
func TestCandidate_AgeOfNoReportIsNegative(t *testing.T) {
	set, now := newSet(1), time.Now()
	if age := set.Snapshot(testPool, 0, now)[0].Age; age >= 0 {
		t.Fatalf("age is %v though nothing was reported", age)
	}
	set.Begin("r00", ask, now).Load(Load{Slots: 4}, now)
	if age := set.Snapshot(testPool, 0, now.Add(time.Second))[0].Age; age != time.Second {
		t.Fatalf("age is %v, want 1 s", age)
	}
}

func TestDemand_LearnsHowLongASlotIsHeld(t *testing.T) {
	set, now := newSet(1), time.Now()
	for range 50 {
		use := set.Begin("r00", ask, now)
		now = now.Add(800 * time.Millisecond)
		use.First(now)
		use.End(Succeeded, now)
	}
	hold := set.demandOf(testPool).hold()
	if hold < 600*time.Millisecond || hold > 900*time.Millisecond {
		t.Fatalf("slots are held for %v, want some 800 ms", hold)
	}
}

// What an item must read again holds up all that run beside it. Where that is
// more than a request takes itself, the request waits longer before it has an
// item give way.
func TestDemand_PatienceGrowsWithTheCostOfAMove(t *testing.T) {
	learned := func(rate float64, stay time.Duration) *demand {
		known := &demand{stay: stay, itemTokens: 2500}
		for i := range 100 {
			tokens := 500 + 4000*(i%3)
			known.begun(Ask{Tokens: tokens}, 50*time.Millisecond+time.Duration(float64(tokens)/rate*float64(time.Second)))
		}
		return known
	}
	cheap := learned(125000, 800*time.Millisecond).patienceShare(8)
	dear := learned(50000, 300*time.Millisecond).patienceShare(12)
	if cheap != patienceLeast {
		t.Errorf("share of a cheap move is %v, want %v", cheap, patienceLeast)
	}
	if dear < 0.6 || dear > 0.75 {
		t.Errorf("share of a dear move is %v, want some 0.67", dear)
	}
}
