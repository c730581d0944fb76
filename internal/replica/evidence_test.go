package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// newEvidenceSet returns the set of node n0 in zone a, with the nodes n0 to n9 and the given number
// of replicas.
func newEvidenceSet(replicas int) *Set {
	set := newSet(replicas)
	set.Zone = "a"
	set.Divide("n0", evidenceNodes())
	return set
}

// evidenceNodes returns the nodes n0 to n9, of unknown zone and region.
func evidenceNodes() []place.Node {
	var nodes []place.Node
	for i := range 10 {
		nodes = append(nodes, place.Node{ID: fmt.Sprintf("n%d", i)})
	}
	return nodes
}

// failureReport returns the report of a node for which a replica has just failed.
func failureReport(id string, failures, successes float64) []FailureReport {
	return []FailureReport{{Replica: Key(id), Failures: failures, Successes: successes}}
}

// isEjected reports whether a replica is listed and ejected.
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
		t.Fatal("the report of one node ejects a replica")
	}
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport("r00", 6, 0), now)
	if isEjected(set, "r00", now) {
		t.Fatal("two reports of one node eject a replica")
	}
	set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureReport("r00", 1, 0), now)
	if !isEjected(set, "r00", now) || isEjected(set, "r01", now) {
		t.Fatal("the reports of two nodes do not eject exactly the reported replica")
	}
	if len(ejections) != 1 || ejections[0].Nodes != 2 || ejections[0].Replica.ID != "r00" {
		t.Errorf("ejections = %+v, want one of r00 by two nodes", ejections)
	}
}

// A failure on this node and the report of one other node suffice for an ejection.
func TestSharedEjection_CountsOwnFailures(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(4)
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport("r00", 2, 0), now)
	set.Begin("r00", RequestInfo{}, now).End(Failed, now)
	if !isEjected(set, "r00", now) {
		t.Error("a replica that failed for this node and another one is not ejected")
	}
}

func TestSharedEjection_NotIfMostAnswersSucceed(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(4)
	for i := 1; i < 6; i++ {
		set.AddFailureReports(Reporter{Node: fmt.Sprintf("n%d", i), Zone: "a"}, failureReport("r00", 1, 9), now)
	}
	if isEjected(set, "r00", now) {
		t.Error("a replica that fails one request in ten is ejected")
	}
}

// Nodes report their successes at a replica that other nodes report, so that a few failures among
// many answers do not eject it.
func TestFailureReports_IncludeSuccesses(t *testing.T) {
	now := time.Now()
	set, other := newEvidenceSet(4), newEvidenceSet(4)
	for range 3 {
		other.Begin("r00", RequestInfo{}, now).End(Succeeded, now)
	}
	if reports := other.FailureReports(now); len(reports) != 0 {
		t.Fatalf("a node reports successes at a replica that no other node reports: %v", reports)
	}
	other.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport("r00", 1, 0), now)
	reports := other.FailureReports(now)
	if len(reports) != 1 || reports[0].Failures != 0 || reports[0].Successes != 3 {
		t.Fatalf("FailureReports = %v, want 3 successes", reports)
	}
	set.AddFailureReports(Reporter{Node: "n3", Zone: "a"}, reports, now)
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport("r00", 1, 0), now)
	set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureReport("r00", 1, 0), now)
	if isEjected(set, "r00", now) {
		t.Error("two failures in five answers eject a replica")
	}
	set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureReport("r00", 3, 0), now)
	if !isEjected(set, "r00", now) {
		t.Error("four failures in seven answers do not eject a replica")
	}
}

// A replica that fails for the nodes of one zone only is ejected by these.
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
			t.Errorf("zone %s: ejected = %v, want %v", tc.zone, got, tc.want)
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
		t.Fatalf("%d replicas reported, want 3 of 9", len(reports))
	}
	fail("r03")
	if reports := set.FailureReports(now); reports != nil {
		t.Errorf("%d replicas reported although 4 of 9 fail, want none", len(reports))
	}
	if reports := set.FailureReports(now.Add(evidenceMemory + time.Second)); reports != nil {
		t.Errorf("expired failures are reported: %v", reports)
	}
}

// If all replicas that a node used recently fail, the fault is likely on the node, however many
// others it used before.
func TestFailureReports_CountOnlyRecentlyUsedReplicas(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(12)
	for i := range 12 {
		set.Begin(fmt.Sprintf("r%02d", i), RequestInfo{}, now).End(Succeeded, now)
	}
	// Each call of FailureReports also decays the counts.
	for range 20 {
		now = now.Add(evidenceMemory / 10)
		set.FailureReports(now)
	}
	for i := range 3 {
		set.Begin(fmt.Sprintf("r%02d", i), RequestInfo{}, now).End(Failed, now)
	}
	if reports := set.FailureReports(now); reports != nil {
		t.Errorf("%d replicas reported although all recently used ones fail, want none", len(reports))
	}
}

// After an ejection only the probers use the replica until probation ends. One failure that
// is reported in probation ejects it again for longer.
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
		t.Fatalf("ejected by %d of 10 nodes, want all", got)
	}
	after := now.Add(sharedEjectionFirst + time.Millisecond)
	if got := countEjected(after); got != 10-proberCount {
		t.Fatalf("ejected by %d of 10 nodes in probation, want all but %d", got, proberCount)
	}
	if got := countEjected(after.Add(probation)); got != 0 {
		t.Fatalf("ejected by %d of 10 nodes after probation without failures, want none", got)
	}
	for _, set := range sets {
		set.AddFailureReports(Reporter{Node: "x3", Zone: "a"}, failureReport("r00", 1, 0), after)
	}
	if got := countEjected(after.Add(sharedEjectionFirst + probation)); got != 10 {
		t.Errorf("ejected by %d of 10 nodes after a failure in probation, want all for longer", got)
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
		t.Errorf("%d of 4 replicas not ejected when all are reported, want 2", left)
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
		t.Error("invalid or expired reports eject a replica")
	}
}

// Requests that cannot be sent again avoid a replica that one node reports; others still use it.
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
			t.Fatalf("Pick with NoRetry = %v, %v, want r01", chosen, err)
		}
	}
	if !seen["r00"] {
		t.Error("all requests avoid a replica that one node reports")
	}
}
