package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// evidenceSet returns a set of node "n0" in zone "a" with so many replicas, and nodes n0
// to n9 that know each other.
func evidenceSet(replicas int) *Set {
	set := newSet(replicas)
	set.Zone = "a"
	set.Divide("n0", evidenceNodes())
	return set
}

// evidenceNodes are nodes n0 to n9, of which it is not known where they are.
func evidenceNodes() []place.Node {
	var nodes []place.Node
	for i := range 10 {
		nodes = append(nodes, place.Node{ID: fmt.Sprintf("n%d", i)})
	}
	return nodes
}

// failureOf is what a node tells of a replica that has just failed for it.
func failureOf(id string, failures, successes float64) []FailureReport {
	return []FailureReport{{Replica: Key(id), Failures: failures, Successes: successes}}
}

// out reports whether a replica is left out.
func out(set *Set, id string, now time.Time) bool {
	for _, one := range set.List(now) {
		if one.ID == id {
			return one.Ejected
		}
	}
	return false
}

func TestEvidence_SeveralNodesEjectAReplicaAndOneDoesNot(t *testing.T) {
	now := time.Now()
	set := evidenceSet(4)
	var ejections []SharedEjection
	set.OnSharedEjection = func(ejection SharedEjection) { ejections = append(ejections, ejection) }
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureOf("r00", 5, 0), now)
	if out(set, "r00", now) {
		t.Fatal("one node's word leaves a replica out")
	}
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureOf("r00", 6, 0), now)
	if out(set, "r00", now) {
		t.Fatal("a node that tells twice counts twice")
	}
	set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureOf("r00", 1, 0), now)
	if !out(set, "r00", now) || out(set, "r01", now) {
		t.Fatal("two nodes' word does not leave just that replica out")
	}
	if len(ejections) != 1 || ejections[0].Nodes != 2 || ejections[0].Replica.ID != "r00" {
		t.Errorf("ejections %+v", ejections)
	}
}

// TestEvidence_OwnFailureCountsBesideAnotherNodes has a replica fail here after another
// node has told of it: no second word is needed.
func TestEvidence_OwnFailureCountsBesideAnotherNodes(t *testing.T) {
	now := time.Now()
	set := evidenceSet(4)
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureOf("r00", 2, 0), now)
	set.Begin("r00", RequestInfo{}, now).End(Failed, now)
	if !out(set, "r00", now) {
		t.Error("a replica that failed for this node and for another is used")
	}
}

func TestEvidence_WholeAnswersSpeakForAReplica(t *testing.T) {
	now := time.Now()
	set := evidenceSet(4)
	for i := 1; i < 6; i++ {
		set.AddFailureReports(Reporter{Node: fmt.Sprintf("n%d", i), Zone: "a"}, failureOf("r00", 1, 9), now)
	}
	if out(set, "r00", now) {
		t.Error("a replica that spoils one answer of ten is left out by all")
	}
}

// TestEvidence_NodesThatAreServedWellSpeakForAReplica has a replica fail now and then for
// few nodes, while others whose answers are whole tell so.
func TestEvidence_NodesThatAreServedWellSpeakForAReplica(t *testing.T) {
	now := time.Now()
	set, other := evidenceSet(4), evidenceSet(4)
	for range 3 {
		other.Begin("r00", RequestInfo{}, now).End(Succeeded, now)
	}
	if told := other.FailureReports(now); len(told) != 0 {
		t.Fatalf("a node tells of a replica that nobody reports: %v", told)
	}
	other.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureOf("r00", 1, 0), now)
	told := other.FailureReports(now)
	if len(told) != 1 || told[0].Failures != 0 || told[0].Successes != 3 {
		t.Fatalf("a node that was served well tells %v", told)
	}
	set.AddFailureReports(Reporter{Node: "n3", Zone: "a"}, told, now)
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureOf("r00", 1, 0), now)
	set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureOf("r00", 1, 0), now)
	if out(set, "r00", now) {
		t.Error("two failures of five answers leave a replica out")
	}
	set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureOf("r00", 3, 0), now)
	if !out(set, "r00", now) {
		t.Error("four failures of seven answers do not leave a replica out")
	}
}

// TestEvidence_FailingForOneZoneIsLeftOutThere has a replica fail for the callers of one
// zone only.
func TestEvidence_FailingForOneZoneIsLeftOutThere(t *testing.T) {
	now := time.Now()
	for _, one := range []struct {
		zone string
		want bool
	}{{"a", true}, {"b", false}} {
		set := evidenceSet(4)
		set.Zone = one.zone
		for i := 1; i < 4; i++ {
			set.AddFailureReports(Reporter{Node: fmt.Sprintf("n%d", i), Zone: "a"}, failureOf("r00", 3, 0), now)
			set.AddFailureReports(Reporter{Node: fmt.Sprintf("m%d", i), Zone: "b"}, failureOf("r00", 0, 9), now)
		}
		if got := out(set, "r00", now); got != one.want {
			t.Errorf("zone %s: left out %v, want %v", one.zone, got, one.want)
		}
	}
}

func TestEvidence_ANodeForWhichManyFailTellsNothing(t *testing.T) {
	now := time.Now()
	set := evidenceSet(9)
	fail := func(id string) { set.Begin(id, RequestInfo{}, now).End(Failed, now) }
	succeed := func(id string) { set.Begin(id, RequestInfo{}, now).End(Succeeded, now) }
	for i := range 9 {
		succeed(fmt.Sprintf("r%02d", i))
	}
	for i := range 3 {
		fail(fmt.Sprintf("r%02d", i))
	}
	if reports := set.FailureReports(now); len(reports) != 3 {
		t.Fatalf("%d replicas of 9 fail, want 3 told", len(reports))
	}
	fail("r03")
	if reports := set.FailureReports(now); reports != nil {
		t.Errorf("a node that reports 4 of 9 replicas tells of %d", len(reports))
	}
	if reports := set.FailureReports(now.Add(evidenceMemory + time.Second)); reports != nil {
		t.Errorf("failures of long ago are told: %v", reports)
	}
}

// TestEvidence_ReplicasOfLongAgoAreNotUsed has a node use many replicas, and later few, all
// of which fail: the fault is likely its own, whatever it used before.
func TestEvidence_ReplicasOfLongAgoAreNotUsed(t *testing.T) {
	now := time.Now()
	set := evidenceSet(12)
	for i := range 12 {
		set.Begin(fmt.Sprintf("r%02d", i), RequestInfo{}, now).End(Succeeded, now)
	}
	// Reports are asked for all the while, which fades the counts.
	for range 20 {
		now = now.Add(evidenceMemory / 10)
		set.FailureReports(now)
	}
	for i := range 3 {
		set.Begin(fmt.Sprintf("r%02d", i), RequestInfo{}, now).End(Failed, now)
	}
	if reports := set.FailureReports(now); reports != nil {
		t.Errorf("a node for which all that it uses fails tells of %d", len(reports))
	}
}

// TestEvidence_FewTryAReplicaAfterItsExclusion follows a replica through exclusion,
// probation and ejectAgainWithin as all nodes see it.
func TestEvidence_FewTryAReplicaAfterItsExclusion(t *testing.T) {
	now := time.Now()
	nodes := evidenceNodes()
	var sets []*Set
	for _, node := range nodes {
		set := evidenceSet(4)
		set.Divide(node.ID, nodes)
		set.AddFailureReports(Reporter{Node: "x1", Zone: "a"}, failureOf("r00", 3, 0), now)
		set.AddFailureReports(Reporter{Node: "x2", Zone: "b"}, failureOf("r00", 3, 0), now)
		sets = append(sets, set)
	}
	excluded := func(at time.Time) int {
		count := 0
		for _, set := range sets {
			if out(set, "r00", at) {
				count++
			}
		}
		return count
	}
	if got := excluded(now.Add(sharedEjectionFirst - time.Millisecond)); got != 10 {
		t.Fatalf("%d of 10 nodes leave it out", got)
	}
	after := now.Add(sharedEjectionFirst + time.Millisecond)
	if got := excluded(after); got != 10-proberCount {
		t.Fatalf("%d of 10 nodes leave it out after the exclusion, want all but %d", got, proberCount)
	}
	if got := excluded(after.Add(probation)); got != 0 {
		t.Fatalf("%d of 10 nodes leave it out when nobody told of a failure", got)
	}
	for _, set := range sets {
		set.AddFailureReports(Reporter{Node: "x3", Zone: "a"}, failureOf("r00", 1, 0), after)
	}
	if got := excluded(after.Add(sharedEjectionFirst + probation)); got != 10 {
		t.Errorf("%d of 10 nodes leave it out for longer after one failure in its probation", got)
	}
}

func TestEvidence_HalfOfAPoolStays(t *testing.T) {
	now := time.Now()
	set := evidenceSet(4)
	for i := range 4 {
		id := fmt.Sprintf("r%02d", i)
		set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureOf(id, 3, 0), now)
		set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureOf(id, 3, 0), now)
	}
	left := 0
	for _, one := range set.List(now) {
		if !one.Ejected {
			left++
		}
	}
	if left != 2 {
		t.Errorf("%d of 4 replicas are used when all are said to fail, want 2", left)
	}
}

func TestEvidence_UnsoundWordsTellNothing(t *testing.T) {
	now := time.Now()
	set := evidenceSet(4)
	for i := 1; i < 5; i++ {
		node := Reporter{Node: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i)}
		set.AddFailureReports(node, []FailureReport{{Replica: Key("r00"), Failures: -1}, {Replica: 7, Failures: 9}, {Replica: Key("r00"), Failures: 9, Age: -1}}, now)
		set.AddFailureReports(node, []FailureReport{{Replica: Key("r00"), Failures: 9, Age: evidenceMemory + time.Second}}, now)
	}
	if out(set, "r00", now) {
		t.Error("words that cannot be, or are old, leave a replica out")
	}
}

// TestPick_SingleRequestsAvoidDoubtfulReplicas has one node tell of a replica: requests
// that can be sent again still go there.
func TestPick_SingleRequestsAvoidDoubtfulReplicas(t *testing.T) {
	now := time.Now()
	set := evidenceSet(2)
	set.Divide("n0", evidenceNodes()[:1])
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureOf("r00", 3, 0), now)
	seen := map[string]bool{}
	for affinity := range uint64(40) {
		demand := &Criteria{Affinity: affinity + 1}
		chosen, err := Pick(set.SnapshotFor(testPool, demand, now), demand, Weights{})
		if err != nil {
			t.Fatal(err)
		}
		seen[chosen.ID] = true
		demand.NoRetry = true
		if chosen, err = Pick(set.SnapshotFor(testPool, demand, now), demand, Weights{}); err != nil || chosen.ID != "r01" {
			t.Fatalf("a request that cannot be sent again goes to %v, %v", chosen, err)
		}
	}
	if !seen["r00"] {
		t.Error("one node's word keeps all requests away")
	}
}
