package replica

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

const testPool = "pool"

// newSet returns a set with replicas r00, r01 and so on of 4 slots each.
func newSet(count int) *Set {
	set := NewSet()
	for i := range count {
		id := fmt.Sprintf("r%02d", i)
		set.Put(Info{ID: id, Pool: testPool, Address: id, Zone: "z", Slots: 4})
	}
	return set
}

func idSet(candidates []Candidate) map[string]bool {
	found := map[string]bool{}
	for _, candidate := range candidates {
		found[candidate.ID] = true
	}
	return found
}

func TestSnapshot_ExcludesLeavingReplicas(t *testing.T) {
	set := newSet(2)
	set.Put(Info{ID: "r00", Pool: testPool, Leaving: true})
	if found := idSet(set.Snapshot(testPool, 0, time.Now())); found["r00"] || !found["r01"] {
		t.Fatalf("candidates are %v, want r01 only", found)
	}
}

func TestRemove_ImmediateWithoutOutage(t *testing.T) {
	set, now := newSet(2), time.Now()
	set.Remove("r00", now)
	if found := idSet(set.Snapshot(testPool, 0, now)); found["r00"] {
		t.Fatal("a removed replica is still a candidate")
	}
}

func TestRemove_GracePeriodAfterLongOutage(t *testing.T) {
	set, now := newSet(2), time.Now()
	set.RecordOutageEnd(6*time.Second, now)
	set.Remove("r00", now)
	if found := idSet(set.Snapshot(testPool, 0, now)); !found["r00"] {
		t.Fatal("a replica that was removed after a long outage is not a candidate in the grace period")
	}
	if found := idSet(set.Snapshot(testPool, 0, now.Add(delistedGrace+time.Millisecond))); found["r00"] {
		t.Fatal("a removed replica that was not listed again is still a candidate after the grace period")
	}
}

// The grace period is for replicas that are removed right after an outage. One that leaves later
// may end before it completes new requests.
func TestRemove_ImmediateIfLongAfterOutage(t *testing.T) {
	set, now := newSet(2), time.Now()
	set.RecordOutageEnd(6*time.Second, now)
	later := now.Add(3 * time.Second)
	set.Remove("r00", later)
	if found := idSet(set.Snapshot(testPool, 0, later)); found["r00"] {
		t.Fatal("a replica that was removed 3 s after the outage is still a candidate")
	}
}

func TestRemove_ImmediateAfterShortOutage(t *testing.T) {
	set, now := newSet(2), time.Now()
	set.RecordOutageEnd(500*time.Millisecond, now)
	set.Remove("r00", now)
	if found := idSet(set.Snapshot(testPool, 0, now)); found["r00"] {
		t.Fatal("a replica that was removed after a short outage is still a candidate")
	}
}

func TestEnd_FailuresEjectTemporarily(t *testing.T) {
	set, now := newSet(2), time.Now()
	for range failuresToEject {
		set.Begin("r00", RequestInfo{}, now).End(Failed, now)
	}
	if _, ejected := set.Count(now); ejected != 1 {
		t.Fatalf("%d replicas ejected, want 1", ejected)
	}
	if _, ejected := set.Count(now.Add(ejectionFirst + time.Millisecond)); ejected != 0 {
		t.Fatal("the replica is still ejected after the ejection ended")
	}
}

func TestEnd_AbandonedRequestsDoNotEject(t *testing.T) {
	set, now := newSet(1), time.Now()
	for range 10 {
		set.Begin("r00", RequestInfo{}, now).End(Abandoned, now)
	}
	if _, ejected := set.Count(now); ejected != 0 {
		t.Fatal("abandoned requests eject a replica")
	}
}

func TestSilence_CountsDataOfOtherRequests(t *testing.T) {
	set, now := newSet(1), time.Now()
	waiting := set.Begin("r00", RequestInfo{}, now)
	answered := set.Begin("r00", RequestInfo{}, now)
	later := now.Add(time.Second)
	answered.Received(later)
	if silence := waiting.Silence(later); silence != 0 {
		t.Fatalf("Silence = %v while the replica answers other requests, want 0", silence)
	}
}

func TestRecordLoad_PreemptsItemsOfThisNode(t *testing.T) {
	set, now := newSet(1), time.Now()
	preempted := 0
	set.OnPressure = func(_ string, items int, _ Pressure) { preempted = items }
	online := set.Begin("r00", RequestInfo{}, now)
	online.RecordLoad(Load{Running: 4, Waiting: 9, Slots: 4}, now)
	if preempted != 0 {
		t.Fatal("items are preempted although the node has none there")
	}
	set.Begin("r00", RequestInfo{Batch: true}, now)
	online.RecordLoad(Load{Running: 4, Waiting: 9, Slots: 4}, now)
	if preempted != 1 {
		t.Fatalf("%d items preempted, want 1", preempted)
	}
}

// A replica also reports requests as waiting while their prompts are being processed. They preempt
// no items if slots are free.
func TestRecordLoad_NoPreemptionWhileSlotsAreFree(t *testing.T) {
	set, now := newSet(1), time.Now()
	preempted := 0
	set.OnPressure = func(_ string, items int, _ Pressure) { preempted += items }
	set.Begin("r00", RequestInfo{Batch: true}, now)
	online := set.Begin("r00", RequestInfo{}, now)
	online.RecordLoad(Load{Running: 1, Waiting: 3, Slots: 4}, now)
	if preempted != 0 {
		t.Fatalf("%d items preempted although slots are free", preempted)
	}
}

func TestSnapshot_IncludesAffinityReplica(t *testing.T) {
	set, now := newSet(300), time.Now()
	const affinity = 12345
	nodes := testNodes(200)
	set.Divide(nodes[7].ID, nodes)
	all := set.pool(testPool)
	preferred := affinityEntry(all, affinity, now)
	for range 20 {
		sample := set.Snapshot(testPool, affinity, now)
		own := 0
		for _, candidate := range sample {
			own += candidate.Share
		}
		// 1,200 slots are divided among 200 nodes.
		if own != 6 || len(sample) > own+sampleRandom+1 || !idSet(sample)[preferred.info.ID] {
			t.Fatalf("sample of %d replicas with %d own slots, want 6 own slots, the affinity replica and few others", len(sample), own)
		}
	}
}

func TestPick_LeastBusy(t *testing.T) {
	candidates := []Candidate{
		{Info: Info{ID: "a", Slots: 4}, Key: 1, Open: 3},
		{Info: Info{ID: "b", Slots: 4}, Key: 2, Open: 1},
	}
	best, err := Pick(candidates, &Criteria{}, Weights{})
	if err != nil || best.ID != "b" {
		t.Fatalf("Pick = %v, %v, want b", best, err)
	}
}

func TestPick_ItemsUseOnlyOwnFreeSlots(t *testing.T) {
	item := &Criteria{RequestInfo: RequestInfo{Batch: true}}
	candidates := []Candidate{{Info: Info{ID: "a", Slots: 10}, Key: 1, Open: 2, Share: 2}}
	if _, err := Pick(candidates, item, Weights{}); !errors.Is(err, ErrNoReplica) {
		t.Fatalf("Pick for an item without a free slot of this node: %v, want ErrNoReplica", err)
	}
	candidates[0].Share = 3
	if _, err := Pick(candidates, item, Weights{}); err != nil {
		t.Fatalf("Pick for an item with a free slot of this node: %v", err)
	}
	candidates[0].Others = 7.5
	if _, err := Pick(candidates, item, Weights{}); !errors.Is(err, ErrNoReplica) {
		t.Fatalf("Pick for an item at a full replica: %v, want ErrNoReplica", err)
	}
}

func TestPick_PrefersAffinityReplicaUnlessBusy(t *testing.T) {
	var candidates []Candidate
	for i := range 8 {
		candidates = append(candidates, Candidate{Info: Info{ID: fmt.Sprint(i), Slots: 12}, Key: Key(fmt.Sprint(i)), Share: 12, SlotTime: 60 * time.Millisecond})
	}
	criteria := Criteria{RequestInfo: RequestInfo{Tokens: 9000}, SharedTokens: 6000, Affinity: 77}
	preferred, err := Pick(candidates, &criteria, Weights{})
	if err != nil {
		t.Fatal(err)
	}
	preferred.Open = 3
	if again, _ := Pick(candidates, &criteria, Weights{}); again.ID != preferred.ID {
		t.Fatal("the affinity replica is not picked with a few requests")
	}
	preferred.Open = 14
	if again, _ := Pick(candidates, &criteria, Weights{}); again.ID == preferred.ID {
		t.Fatal("the affinity replica is picked although it is full")
	}
}

func TestPick_EjectedOnlyAsLastResort(t *testing.T) {
	candidates := []Candidate{
		{Info: Info{ID: "a", Slots: 4}, Key: 1, Ejected: true},
		{Info: Info{ID: "b", Slots: 4}, Key: 2, Open: 6},
	}
	if best, _ := Pick(candidates, &Criteria{}, Weights{}); best.ID != "b" {
		t.Fatal("an ejected replica is picked although another one is usable")
	}
	if best, err := Pick(candidates[:1], &Criteria{}, Weights{}); err != nil || best.ID != "a" {
		t.Fatal("the ejected replica is not picked as a last resort")
	}
}

// TestPick_AvoidsClaimedReplicas checks that requests, their reservations, trials and items prefer other
// replicas to one that runs a trial of quarantined work, and that items and the reservations of trials wait
// if there is no other.
func TestPick_AvoidsClaimedReplicas(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		claimed map[string]bool
		want    string
	}{
		{map[string]bool{"r00": true}, "r01"},
		{map[string]bool{"r01": true}, "r00"},
		{map[string]bool{"r00": true, "r01": true}, ""},
	} {
		candidates := newSet(2).Snapshot(testPool, 0, now)
		for _, trial := range []bool{false, true} {
			criteria := &Criteria{Claimed: test.claimed, Trial: trial}
			if chosen, err := Pick(candidates, criteria, Weights{}); err != nil || test.want != "" && chosen.ID != test.want {
				t.Errorf("claimed %v: request goes to %+v, %v", test.claimed, chosen, err)
			}
			chosen, err := PickUnqueued(candidates, criteria, Weights{}, false)
			if trial || test.want != "" {
				checkChosen(t, test.want, chosen, err)
			}
		}
		chosen, err := Pick(candidates, &Criteria{Claimed: test.claimed, RequestInfo: RequestInfo{Batch: true}}, Weights{})
		checkChosen(t, test.want, chosen, err)
	}
}

// checkChosen checks that the replica with the given ID was picked, or if it is empty that none was
// because all are claimed.
func checkChosen(t *testing.T, want string, chosen *Candidate, err error) {
	t.Helper()
	if want != "" {
		if err != nil || chosen.ID != want {
			t.Errorf("chose %+v, %v, want %s", chosen, err, want)
		}
		return
	}
	noReplica := (*NoReplicaError)(nil)
	if !errors.As(err, &noReplica) || noReplica.Counts[Claimed] != 2 {
		t.Errorf("chose %+v, %v, want none", chosen, err)
	}
}

func TestPick_ItemsLeaveFastestToOnlineRequests(t *testing.T) {
	candidates := []Candidate{
		{Info: Info{ID: "fast", Slots: 10, PrefillRate: 18000}, Key: 1, Share: 10},
		{Info: Info{ID: "slow", Slots: 10, PrefillRate: 7000}, Key: 2, Share: 10},
		{Info: Info{ID: "slower", Slots: 10, PrefillRate: 5000}, Key: 3, Share: 10},
	}
	weights := Weights{}
	for range 20 {
		best, err := Pick(candidates, &Criteria{RequestInfo: RequestInfo{Batch: true}, Reserve: 0.34}, weights)
		if err != nil || best.ID == "fast" {
			t.Fatalf("Pick for an item = %v, %v, want slow or slower", best, err)
		}
		best.Open++
	}
	if best, err := Pick(candidates, &Criteria{RequestInfo: RequestInfo{Tokens: 100}}, weights); err != nil || best.ID != "fast" {
		t.Fatalf("Pick for an online request = %v, %v, want fast", best, err)
	}
	if _, err := Pick(candidates, &Criteria{RequestInfo: RequestInfo{Batch: true}, Reserve: 1}, weights); !errors.Is(err, ErrNoReplica) {
		t.Fatalf("Pick for an item with all slots reserved: %v, want ErrNoReplica", err)
	}
}

// TestPick_ClaimedBeforeEjected guards against requests that go to an ejected replica because the only
// healthy one runs a trial.
func TestPick_ClaimedBeforeEjected(t *testing.T) {
	candidates := newSet(2).Snapshot(testPool, 0, time.Now())
	for i := range candidates {
		ejected := candidates[i].ID == "r00"
		candidates[i].Ejected = ejected
		if !ejected {
			// It runs a few requests, as a healthy replica does.
			candidates[i].Open = 2
		}
	}
	chosen, err := Pick(candidates, &Criteria{Claimed: map[string]bool{"r01": true}}, Weights{})
	if err != nil || chosen.ID != "r01" {
		t.Errorf("request goes to %s, %v, want the healthy replica", chosen.ID, err)
	}
}

// TestPick_ClaimsDoNotOverloadTheRest guards against a pool in which trials have claimed almost all
// replicas, and all other requests queue at the rest.
func TestPick_ClaimsDoNotOverloadTheRest(t *testing.T) {
	const replicas = 10
	candidates := newSet(replicas).Snapshot(testPool, 0, time.Now())
	claimed := map[string]bool{}
	for i := range replicas - 1 {
		claimed[fmt.Sprintf("r%02d", i)] = true
	}
	for i := range candidates {
		if !claimed[candidates[i].ID] {
			candidates[i].Open, candidates[i].Waiting, candidates[i].SlotTime = candidates[i].Share, 100, time.Second
		}
	}
	criteria := &Criteria{Claimed: claimed}
	chosen, err := Pick(candidates, criteria, Weights{})
	if err != nil {
		t.Fatal(err)
	}
	if wait := Predict(chosen, criteria, Weights{}); wait > time.Second {
		t.Errorf("request waits %v at %s while %d replicas have a trial and free slots", wait, chosen.ID, len(claimed))
	}
}
