package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// newEvidenceSet returns a set of node "n0" in zone "a" with so many replicas, and nodes n0
// to n9 that know each other.
func newEvidenceSet(replicas int) *Set {
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

// failureReport is what a node tells of a replica that has just failed for it.
func failureReport(id string, failures, successes float64) []FailureReport {
	return []FailureReport{{Replica: Key(id), Failures: failures, Successes: successes}}
}

// isEjected reports whether a replica is left isEjected.
func isEjected(set *Set, id string, now time.Time) bool {
	for _, candidate := range set.List(now) {
		if candidate.ID == id {
			return candidate.Ejected
		}
	}
	return false
}

func TestSharedEjection_NeedsSeveralNodes(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(4)
	var ejections []SharedEjection
	set.OnSharedEjection = func(ejection SharedEjection) { ejections = append(ejections, ejection) }
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport("r00", 5, 0), now)
	if isEjected(set, "r00", now) {
		t.Fatal("one node's word leaves a replica out")
	}
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport("r00", 6, 0), now)
	if isEjected(set, "r00", now) {
		t.Fatal("a node that tells twice counts twice")
	}
	set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureReport("r00", 1, 0), now)
	if !isEjected(set, "r00", now) || isEjected(set, "r01", now) {
		t.Fatal("two nodes' word does not leave just that replica out")
	}
	if len(ejections) != 1 || ejections[0].Nodes != 2 || ejections[0].Replica.ID != "r00" {
		t.Errorf("ejections %+v", ejections)
	}
}

// TestSharedEjection_CountsOwnFailures has a replica fail here after another
// node has told of it: no second word is needed.
func TestSharedEjection_CountsOwnFailures(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(4)
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport("r00", 2, 0), now)
	set.Begin("r00", RequestInfo{}, now).End(Failed, now)
	if !isEjected(set, "r00", now) {
		t.Error("a replica that failed for this node and for another is used")
	}
}

func TestSharedEjection_NotIfMostAnswersSucceed(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(4)
	for i := 1; i < 6; i++ {
		set.AddFailureReports(Reporter{Node: fmt.Sprintf("n%d", i), Zone: "a"}, failureReport("r00", 1, 9), now)
	}
	if isEjected(set, "r00", now) {
		t.Error("a replica that spoils one answer of ten is left out by all")
	}
}

// TestFailureReports_IncludeSuccesses has a replica fail now and then for
// few nodes, while others whose answers are whole tell so.
func TestFailureReports_IncludeSuccesses(t *testing.T) {
	now := time.Now()
	set, other := newEvidenceSet(4), newEvidenceSet(4)
	for range 3 {
		other.Begin("r00", RequestInfo{}, now).End(Succeeded, now)
	}
	if reports := other.FailureReports(now); len(reports) != 0 {
		t.Fatalf("a node tells of a replica that nobody reports: %v", reports)
	}
	other.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport("r00", 1, 0), now)
	reports := other.FailureReports(now)
	if len(reports) != 1 || reports[0].Failures != 0 || reports[0].Successes != 3 {
		t.Fatalf("a node that was served well tells %v", reports)
	}
	set.AddFailureReports(Reporter{Node: "n3", Zone: "a"}, reports, now)
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport("r00", 1, 0), now)
	set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureReport("r00", 1, 0), now)
	if isEjected(set, "r00", now) {
		t.Error("two failures of five answers leave a replica out")
	}
	set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureReport("r00", 3, 0), now)
	if !isEjected(set, "r00", now) {
		t.Error("four failures of seven answers do not leave a replica out")
	}
}

// TestSharedEjection_InOneZoneOnly has a replica fail for the callers of one
// zone only.
func TestSharedEjection_InOneZoneOnly(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		zone string
		want bool
	}{{"a", true}, {"b", false}} {
		set := newEvidenceSet(4)
		set.Zone = tc.zone
		for i := 1; i < 4; i++ {
			set.AddFailureReports(Reporter{Node: fmt.Sprintf("n%d", i), Zone: "a"}, failureReport("r00", 3, 0), now)
			set.AddFailureReports(Reporter{Node: fmt.Sprintf("m%d", i), Zone: "b"}, failureReport("r00", 0, 9), now)
		}
		if got := isEjected(set, "r00", now); got != tc.want {
			t.Errorf("zone %s: left out %v, want %v", tc.zone, got, tc.want)
		}
	}
}

func TestFailureReports_NoneIfManyReplicasFail(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(9)
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

// TestFailureReports_CountOnlyRecentlyUsedReplicas has a node use many replicas, and later few, all
// of which fail: the fault is likely its own, whatever it used before.
func TestFailureReports_CountOnlyRecentlyUsedReplicas(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(12)
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

// TestSharedEjection_Probation follows a replica through exclusion,
// probation and ejectAgainWithin as all nodes see it.
func TestSharedEjection_Probation(t *testing.T) {
	now := time.Now()
	nodes := evidenceNodes()
	var sets []*Set
	for _, node := range nodes {
		set := newEvidenceSet(4)
		set.Divide(node.ID, nodes)
		set.AddFailureReports(Reporter{Node: "x1", Zone: "a"}, failureReport("r00", 3, 0), now)
		set.AddFailureReports(Reporter{Node: "x2", Zone: "b"}, failureReport("r00", 3, 0), now)
		sets = append(sets, set)
	}
	countEjected := func(at time.Time) int {
		count := 0
		for _, set := range sets {
			if isEjected(set, "r00", at) {
				count++
			}
		}
		return count
	}
	if got := countEjected(now.Add(sharedEjectionFirst - time.Millisecond)); got != 10 {
		t.Fatalf("%d of 10 nodes leave it out", got)
	}
	after := now.Add(sharedEjectionFirst + time.Millisecond)
	if got := countEjected(after); got != 10-proberCount {
		t.Fatalf("%d of 10 nodes leave it out after the exclusion, want all but %d", got, proberCount)
	}
	if got := countEjected(after.Add(probation)); got != 0 {
		t.Fatalf("%d of 10 nodes leave it out when nobody told of a failure", got)
	}
	for _, set := range sets {
		set.AddFailureReports(Reporter{Node: "x3", Zone: "a"}, failureReport("r00", 1, 0), after)
	}
	if got := countEjected(after.Add(sharedEjectionFirst + probation)); got != 10 {
		t.Errorf("%d of 10 nodes leave it out for longer after one failure in its probation", got)
	}
}

func TestSharedEjection_AtMostHalfOfPool(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(4)
	for i := range 4 {
		id := fmt.Sprintf("r%02d", i)
		set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport(id, 3, 0), now)
		set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureReport(id, 3, 0), now)
	}
	left := 0
	for _, candidate := range set.List(now) {
		if !candidate.Ejected {
			left++
		}
	}
	if left != 2 {
		t.Errorf("%d of 4 replicas are used when all are said to fail, want 2", left)
	}
}

func TestAddFailureReports_IgnoresInvalidAndOldReports(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(4)
	for i := 1; i < 5; i++ {
		reporter := Reporter{Node: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i)}
		set.AddFailureReports(reporter, []FailureReport{{Replica: Key("r00"), Failures: -1}, {Replica: 7, Failures: 9}, {Replica: Key("r00"), Failures: 9, Age: -1}}, now)
		set.AddFailureReports(reporter, []FailureReport{{Replica: Key("r00"), Failures: 9, Age: evidenceMemory + time.Second}}, now)
	}
	if isEjected(set, "r00", now) {
		t.Error("words that cannot be, or are old, leave a replica out")
	}
}

// TestPick_NoRetryAvoidsFailingReplicas has one node tell of a replica: requests
// that can be sent again still go there.
func TestPick_NoRetryAvoidsFailingReplicas(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(2)
	set.Divide("n0", evidenceNodes()[:1])
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport("r00", 3, 0), now)
	seen := map[string]bool{}
	for affinity := range uint64(40) {
		criteria := &Criteria{Affinity: affinity + 1}
		chosen, err := Pick(set.SnapshotFor(testPool, criteria, now), criteria, Weights{})
		if err != nil {
			t.Fatal(err)
		}
		seen[chosen.ID] = true
		criteria.NoRetry = true
		if chosen, err = Pick(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}); err != nil || chosen.ID != "r01" {
			t.Fatalf("a request that cannot be sent again goes to %v, %v", chosen, err)
		}
	}
	if !seen["r00"] {
		t.Error("one node's word keeps all requests away")
	}
}
