package replica

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// admitted returns how many of a number of requests a set permits to be sent at once.
func admitted(set *Set, id string, requests int, now time.Time) int {
	count := 0
	for range requests {
		if set.Begin(id, RequestInfo{}, now) != nil {
			count++
		}
	}
	return count
}

// newColdSet returns the set of the node self, one of nodes, with the replica "cold" and, if
// addWarm is set, the replica "warm".
func newColdSet(self string, nodes []string, addWarm bool, now time.Time) *Set {
	set := NewSet()
	set.ColdTolerance = ColdTolerance{Over: 1.5, Slack: 5}
	set.SetColdLimits(map[string]ColdLimit{testPool: {Rate: 15, Start: 3 * time.Second}})
	set.Divide(self, nodesWithoutPlace(nodes...))
	set.put(Info{ID: "cold", Pool: testPool, Slots: 8, ColdLeft: 3 * time.Second}, now)
	if addWarm {
		set.put(Info{ID: "warm", Pool: testPool, Slots: 8}, now)
	}
	return set
}

func TestColdRate_HoldsWhenAllNodesSend(t *testing.T) {
	now := time.Unix(1000, 0)
	var nodes []string
	for i := range 300 {
		nodes = append(nodes, fmt.Sprint("node", i))
	}
	sent := 0
	for _, node := range nodes {
		set := newColdSet(node, nodes, false, now)
		for at := now; at.Before(now.Add(time.Second)); at = at.Add(10 * time.Millisecond) {
			if use := set.Begin("cold", RequestInfo{}, at); use != nil {
				sent++
			}
		}
	}
	if sent < 10 || sent > 15 {
		t.Errorf("300 nodes sent %d requests in a second to a cold replica, want 10 to 15", sent)
	}
}

func TestPick_LastResortKeepsColdLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, false, now)
	if set.Begin("cold", RequestInfo{}, now) == nil {
		t.Fatal("the first request is held back")
	}
	criteria := &Criteria{}
	_, err := Pick(set.SnapshotFor(testPool, criteria, now), criteria, Weights{})
	noReplica := (*NoReplicaError)(nil)
	if !errors.As(err, &noReplica) || !noReplica.WaitsForCold() || noReplica.ColdWait <= 0 || noReplica.ColdWait > 300*time.Millisecond {
		t.Fatalf("Pick returned %v, %+v, want a wait of at most 300 ms for the cold replica", err, noReplica)
	}
	if _, err := Pick(set.SnapshotFor(testPool, criteria, now.Add(noReplica.ColdWait)), criteria, Weights{}); err != nil {
		t.Errorf("Pick after the wait: %v", err)
	}
}

func TestPick_UsesWarmReplicasWhenColdRateIsUsedUp(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, true, now)
	set.Begin("cold", RequestInfo{}, now)
	for range 10 {
		criteria := &Criteria{}
		chosen, err := Pick(set.SnapshotFor(testPool, criteria, now), criteria, Weights{})
		if err != nil || chosen.ID != "warm" {
			t.Fatalf("Pick = %v, %v, want warm", chosen, err)
		}
		set.Begin(chosen.ID, RequestInfo{}, now)
	}
}

func TestColdRate_ItemsUseWhatOnlineRequestsLeave(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, false, now)
	set.Begin("cold", RequestInfo{}, now)
	for at := now; at.Before(now.Add(300 * time.Millisecond)); at = at.Add(time.Millisecond) {
		if set.Begin("cold", RequestInfo{Batch: true}, at) != nil {
			t.Fatalf("an item is sent %v after a request", at.Sub(now))
		}
	}
	if set.Begin("cold", RequestInfo{Batch: true}, now.Add(time.Second)) == nil {
		t.Error("an item is held back although online requests leave the rate unused")
	}
}

func TestCold_AfterEvacuation(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, true, now)
	set.setEvacuated(map[string]bool{"": true}, now)
	now = now.Add(10 * time.Second)
	set.setEvacuated(nil, now)
	if admitted(set, "warm", 5, now) != 1 {
		t.Error("a replica is not limited after the evacuation of its zone")
	}
	later := now.Add(3 * time.Second)
	if admitted(set, "warm", 5, later) != 5 {
		t.Error("a replica is still limited after the duration of a start")
	}
}

func TestCold_UnreachableReplicaIsTriedBySendersOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a", "b", "c", "d", "e"}, false, now)
	for i := range 20 {
		set.put(Info{ID: fmt.Sprint("r", i), Pool: testPool, Slots: 8}, now)
	}
	now = now.Add(10 * time.Second)
	set.Begin("cold", RequestInfo{}, now).Received(now)
	tried, later := 0, now.Add(ejectionFirst/2)
	for i := range 20 {
		id := fmt.Sprint("r", i)
		set.Begin(id, RequestInfo{}, now).End(Unreachable, now)
		tried += admitted(set, id, 5, later)
	}
	if tried == 0 || tried == 20 {
		t.Errorf("one of five nodes sends to %d of 20 unreachable replicas, want some but not all", tried)
	}
	if afterEjection := now.Add(ejectionFirst); admitted(set, "r0", 5, afterEjection) != 5 {
		t.Error("an unreachable replica is still limited after its ejection")
	}
}

func TestCold_WarmOnceItAnswersAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, true, now)
	now = now.Add(10 * time.Second)
	set.Begin("cold", RequestInfo{}, now).Received(now)
	set.Begin("warm", RequestInfo{}, now).End(Unreachable, now)
	set.Begin("warm", RequestInfo{}, now).End(Succeeded, now)
	if admitted(set, "warm", 5, now) != 5 {
		t.Error("a replica is still limited after it answered")
	}
	now = now.Add(2 * time.Second)
	set.Begin("cold", RequestInfo{}, now).Received(now)
	set.Begin("warm", RequestInfo{}, now).End(Unreachable, now)
	now = now.Add(ejectionFirst / 2)
	set.put(Info{ID: "warm", Pool: testPool, Slots: 8, ColdLeft: 3 * time.Second}, now)
	set.Begin("warm", RequestInfo{}, now).End(Succeeded, now)
	if admitted(set, "warm", 5, now) != 0 {
		t.Error("a replica that reports being cold is not limited after it answered")
	}
}

func TestCold_NotWhenNodeIsCutOff(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, true, now)
	now = now.Add(10 * time.Second)
	set.Begin("warm", RequestInfo{}, now).End(Unreachable, now)
	if admitted(set, "warm", 5, now) != 5 {
		t.Error("a node that receives data from no replica treats an unreachable one as cold")
	}
}

func TestColdSenders_NewSenderWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	nodes := []string{"a", "b", "c", "d", "e"}
	for _, node := range nodes {
		set := newColdSet(node, nodes, false, now)
		wasSender := set.Begin("cold", RequestInfo{}, now) != nil
		set.Divide(node, nodesWithoutPlace(node))
		if sends := set.Begin("cold", RequestInfo{}, now.Add(time.Millisecond)) != nil; sends && !wasSender {
			t.Errorf("%s sends to the cold replica immediately after a change of the members", node)
		}
		if set.Begin("cold", RequestInfo{}, now.Add(1100*time.Millisecond)) == nil {
			t.Errorf("%s does not send to the cold replica a second after it became the only member", node)
		}
	}
}

func TestCold_NoLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a", "b"}, false, now)
	set.SetColdLimits(nil)
	for range 50 {
		if set.Begin("cold", RequestInfo{}, now) == nil {
			t.Fatal("a request is held back without a limit")
		}
	}
}

func TestColdChanges_ReportsEachChangeOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, true, now)
	changes := set.ColdChanges(now)
	if len(changes) != 1 || !changes[0].Cold || changes[0].Left != 3*time.Second || set.CountCold(now) != 1 {
		t.Fatalf("ColdChanges = %+v, want one change to cold", changes)
	}
	if again := set.ColdChanges(now); len(again) != 0 {
		t.Errorf("second call of ColdChanges = %+v, want none", again)
	}
	later := now.Add(3 * time.Second)
	if changes = set.ColdChanges(later); len(changes) != 1 || changes[0].Cold || changes[0].For != 3*time.Second {
		t.Errorf("ColdChanges = %+v, want one change to warm", changes)
	}
}

func TestColdTolerance_SplitKeepsBoundForTwoViews(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 2, 4, 15, 100} {
		for _, tolerance := range []ColdTolerance{{}, {Over: 1.5, Slack: 5}, {Over: 1, Slack: 10}, {Over: 3}} {
			senders, part := tolerance.split(rate)
			views := 2
			if part < 1 {
				views = 1
			}
			if maxSent := float64(views*senders) * (part + 1); part > 0 && maxSent > max(2, tolerance.bound(rate)+1e-9) {
				t.Errorf("rate %v, %+v: %d senders with a rate of %v each exceed the bound", rate, tolerance, senders, part)
			}
		}
	}
}

func TestColdSenders_IncludeNodeOfZone(t *testing.T) {
	now := time.Unix(1000, 0)
	zones := map[string]string{"a1": "a", "a2": "a", "a3": "a", "a4": "a", "b1": "b", "b2": "b", "b3": "b", "b4": "b"}
	nodes := slices.Collect(maps.Keys(zones))
	sets := map[string]*Set{}
	for _, node := range nodes {
		var members []place.Node
		for _, id := range nodes {
			members = append(members, place.Node{ID: id, Place: place.Place{Zone: zones[id]}})
		}
		sets[node] = newColdSet(node, nil, false, now)
		sets[node].Divide(node, members)
	}
	for i := range 50 {
		sentByZone, id := map[string]int{}, fmt.Sprint("r", i)
		for node, set := range sets {
			set.put(Info{ID: id, Pool: testPool, Zone: "b", Slots: 8, ColdLeft: time.Second}, now)
			sentByZone[zones[node]] += admitted(set, id, 2, now)
		}
		if sentByZone["b"] == 0 || sentByZone["a"]+sentByZone["b"] != maxColdSenders {
			t.Errorf("%s gets requests by zone of sender %v, want some of zone b and one per sender", id, sentByZone)
		}
	}
}

// Half of the nodes still have the previous view of the members, the other half no longer see the
// first half.
func TestColdRate_HoldsWithTwoMembershipViews(t *testing.T) {
	now := time.Unix(1000, 0)
	var all []string
	for i := range 20 {
		all = append(all, fmt.Sprint("node", i))
	}
	var sets []*Set
	for i, node := range all {
		view := all
		if i >= len(all)/2 {
			view = all[len(all)/2:]
		}
		sets = append(sets, newColdSet(node, view, false, now))
	}
	for i := range 100 {
		id, got := fmt.Sprint("r", i), 0
		for _, set := range sets {
			set.put(Info{ID: id, Pool: testPool, Slots: 8, ColdLeft: time.Second}, now)
			for at := now; at.Before(now.Add(time.Second)); at = at.Add(10 * time.Millisecond) {
				got += admitted(set, id, 2, at)
			}
		}
		if got > 27 {
			t.Errorf("%s got %d requests in a second, want at most 27.5", id, got)
		}
	}
}

// Nodes of a zone that start together during an outage of the store know the nodes of other zones,
// but not each other. Each is the only node of its zone in its own view, and must not become a
// sender of the zone's cold replicas for that reason.
func TestColdRate_HoldsWhileNodesOfZoneStartTogether(t *testing.T) {
	now := time.Unix(1000, 0)
	var others, starting []place.Node
	for i := range 14 {
		others = append(others, place.Node{ID: fmt.Sprint("other", i), Place: place.Place{Zone: fmt.Sprint("z", i%2)}})
	}
	for i := range 6 {
		starting = append(starting, place.Node{ID: fmt.Sprint("starting", i), Place: place.Place{Zone: "back"}})
	}
	sets := map[string]*Set{}
	for _, node := range others {
		sets[node.ID] = newColdSet(node.ID, nil, false, now)
		sets[node.ID].Divide(node.ID, others)
	}
	for _, node := range starting {
		sets[node.ID] = newColdSet(node.ID, nil, false, now)
		sets[node.ID].SetJoined(false)
		sets[node.ID].Divide(node.ID, append(slices.Clone(others), node))
	}
	for i := range 50 {
		id, got, fromOthers := fmt.Sprint("r", i), 0, 0
		for node, set := range sets {
			set.put(Info{ID: id, Pool: testPool, Zone: "back", Slots: 8, ColdLeft: time.Second}, now)
			for at := now; at.Before(now.Add(time.Second)); at = at.Add(10 * time.Millisecond) {
				count := admitted(set, id, 2, at)
				got += count
				if node[0] == 'o' {
					fromOthers += count
				}
			}
		}
		if got > 27 {
			t.Errorf("%s got %d requests in a second, want at most 27.5", id, got)
		}
		if fromOthers == 0 {
			t.Errorf("%s got no request of the nodes that know each other", id)
		}
	}
	// A node that has joined becomes a sender as the others do.
	first := sets[starting[0].ID]
	first.SetJoined(true)
	first.Divide(starting[0].ID, append(slices.Clone(others), starting...))
	sent := 0
	for i := range 50 {
		id := fmt.Sprint("later", i)
		first.put(Info{ID: id, Pool: testPool, Zone: "back", Slots: 8, ColdLeft: time.Second}, now)
		sent += admitted(first, id, 1, now.Add(100*time.Millisecond))
	}
	if sent == 0 {
		t.Error("a node that has joined sends to none of 50 cold replicas of its zone")
	}
}
