package replica

import (
	"testing"
	"time"
)

// Start times of successive starts of a replica. They do not increase, since clocks may step back.
const (
	firstStart  int64 = 1_700_000_060_000
	secondStart int64 = 1_700_000_000_000
	thirdStart  int64 = 1_700_000_060_001
)

// infoStartedAt returns replica r00 of newSet with a start time.
func infoStartedAt(startedUnixMs int64) Info {
	return Info{ID: "r00", Pool: testPool, Address: "r00", Zone: "z", Slots: 4, StartedUnixMs: startedUnixMs}
}

// newStartedSet is newSet with the start time firstStart for replica r00.
func newStartedSet(count int, now time.Time) *Set {
	set := newSet(count)
	set.put(infoStartedAt(firstStart), now)
	return set
}

// candidateByID returns the candidate of a listed replica.
func candidateByID(t *testing.T, set *Set, id string, now time.Time) Candidate {
	t.Helper()
	for _, candidate := range set.List(now) {
		if candidate.ID == id {
			return candidate
		}
	}
	t.Fatalf("replica %s is not listed", id)
	return Candidate{}
}

// beginRequests begins an item and two requests at r00 and records a load report.
func beginRequests(set *Set, now time.Time) []*Use {
	uses := []*Use{
		set.Begin("r00", RequestInfo{Tokens: 100, Batch: true}, now),
		set.Begin("r00", RequestInfo{Tokens: 100}, now),
		set.Begin("r00", RequestInfo{Tokens: 100}, now),
	}
	uses[1].Received(now)
	uses[1].RecordLoad(Load{Running: 4, Waiting: 9, Slots: 4}, now)
	return uses
}

func TestRestart_ResetsCounts(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	beginRequests(set, now)
	set.put(infoStartedAt(secondStart), now)
	candidate := candidateByID(t, set, "r00", now)
	if candidate.Open != 0 || candidate.Batch != 0 || candidate.PendingTokens != 0 {
		t.Errorf("requests of the previous start are counted: %+v", candidate)
	}
	if candidate.Others != 0 || candidate.Waiting != 0 || candidate.LoadAge >= 0 || candidate.Fresh {
		t.Errorf("the load of the previous start is counted: %+v", candidate)
	}
	if candidate.Share != 4 {
		t.Errorf("Share = %d, want 4", candidate.Share)
	}
}

// Updates of a replica with the same start, or without a start time, keep its state.
func TestPut_SameStartKeepsState(t *testing.T) {
	now := time.Now()
	set := newSet(2)
	beginRequests(set, now)
	leaving := infoStartedAt(firstStart)
	leaving.Leaving = true
	for _, info := range []Info{infoStartedAt(0), infoStartedAt(firstStart), infoStartedAt(0), leaving, infoStartedAt(firstStart)} {
		set.put(info, now)
		if candidate := candidateByID(t, set, "r00", now); candidate.Open != 3 || candidate.Batch != 1 || candidate.Others == 0 {
			t.Errorf("after Put of %+v the candidate is %+v", info, candidate)
		}
	}
	set.put(infoStartedAt(0), now)
	set.put(infoStartedAt(secondStart), now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 0 {
		t.Error("an update without a start time erased the known one")
	}
}

func TestRestart_NewAddressIsNewStart(t *testing.T) {
	now := time.Now()
	set := newSet(2)
	beginRequests(set, now)
	moved := infoStartedAt(0)
	moved.Address = "elsewhere"
	set.put(moved, now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 0 || candidate.Address != "elsewhere" {
		t.Errorf("a replica at a new address keeps the requests of the previous start: %+v", candidate)
	}
}

// Requests that were sent to the previous start may end after the restart is known. Their results
// do not apply to the new start.
func TestRestart_IgnoresResultsOfPreviousStart(t *testing.T) {
	for _, result := range []Result{Succeeded, Failed, Refused, Unreachable, Abandoned} {
		now := time.Now()
		set := newStartedSet(2, now)
		set.OnEjected = func(info Info, result Result) { t.Errorf("%s is ejected: %v", info.ID, result) }
		uses := beginRequests(set, now)
		uses[0].MarkPreempted()
		set.put(infoStartedAt(secondStart), now)
		next := set.Begin("r00", RequestInfo{Tokens: 10}, now)
		for _, use := range uses {
			use.FirstEvent(now)
			use.ReportCold(time.Minute, now)
			use.End(result, now)
		}
		candidate := candidateByID(t, set, "r00", now)
		if candidate.Open != 1 || candidate.Batch != 0 || candidate.PendingTokens != 10 {
			t.Errorf("result %v: the candidate is %+v", result, candidate)
		}
		if candidate.Ejected || candidate.FailureShare != 0 || candidate.Others != 0 || candidate.Cold.Left != 0 {
			t.Errorf("result %v of the previous start is counted: %+v", result, candidate)
		}
		next.End(Succeeded, now)
		if candidate := candidateByID(t, set, "r00", now); candidate.Open != 0 || candidate.PendingTokens != 0 {
			t.Errorf("after all requests ended the candidate is %+v", candidate)
		}
	}
}

func TestRestart_IgnoresLoadOfPreviousStart(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	previous := set.Begin("r00", RequestInfo{}, now)
	set.put(infoStartedAt(secondStart), now)
	for range 3 {
		set.Begin("r00", RequestInfo{Batch: true}, now)
	}
	set.OnPressure = func(id string, items int, _ Pressure) { t.Errorf("%d items are preempted at %s", items, id) }
	previous.RecordLoad(Load{Running: 4, Waiting: 50, Slots: 4}, now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Waiting != 0 || candidate.Others != 0 {
		t.Errorf("the load of the previous start is counted: %+v", candidate)
	}
}

func TestRestart_EndsEjection(t *testing.T) {
	now := time.Now()
	set := newStartedSet(4, now)
	set.Begin("r00", RequestInfo{}, now).End(Unreachable, now)
	if !isEjected(set, "r00", now) {
		t.Fatal("an unreachable replica is not ejected")
	}
	set.put(infoStartedAt(secondStart), now)
	if isEjected(set, "r00", now) {
		t.Error("a restarted replica is still ejected")
	}
	// The first failure of the new start does not add to those of the previous one.
	set.Begin("r00", RequestInfo{}, now).End(Failed, now)
	if isEjected(set, "r00", now) {
		t.Error("one failure ejects a restarted replica")
	}
}

func TestRestart_EndsSharedEjection(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(4)
	set.put(infoStartedAt(firstStart), now)
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport("r00", 5, 0), now)
	set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureReport("r00", 5, 0), now)
	if !isEjected(set, "r00", now) {
		t.Fatal("the reports of two nodes do not eject a replica")
	}
	set.put(infoStartedAt(secondStart), now)
	if isEjected(set, "r00", now) {
		t.Fatal("a restarted replica is still ejected")
	}
	later := now.Add(100 * time.Millisecond)
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, []FailureReport{{Replica: Key("r00"), Failures: 1, Age: 10 * time.Millisecond}}, later)
	if isEjected(set, "r00", later) {
		t.Error("a restarted replica is on probation")
	}
}

// Failure reports without a start time apply to the new start unless the failure precedes the
// restart.
func TestRestart_ReportsWithoutStartTime(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(4)
	set.put(infoStartedAt(firstStart), now)
	set.put(infoStartedAt(secondStart), now)
	later := now.Add(100 * time.Millisecond)
	report := func(age time.Duration) {
		for _, node := range []string{"n1", "n2", "n3"} {
			set.AddFailureReports(Reporter{Node: node, Zone: node}, []FailureReport{{Replica: Key("r00"), Failures: 5, Age: age}}, later)
		}
	}
	report(150 * time.Millisecond)
	if isEjected(set, "r00", later) {
		t.Error("reports of failures before the restart eject the replica")
	}
	report(50 * time.Millisecond)
	if !isEjected(set, "r00", later) {
		t.Error("reports of failures after the restart do not eject the replica")
	}
}

func TestRestart_ColdAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, false, now)
	info := Info{ID: "cold", Pool: testPool, Slots: 8, StartedUnixMs: firstStart, ColdLeft: 3 * time.Second}
	set.put(info, now)
	warm := now.Add(4 * time.Second)
	if admitted(set, "cold", 5, warm) != 5 {
		t.Fatal("a warm replica is limited")
	}
	info.StartedUnixMs, info.ColdLeft = secondStart, 2*time.Second
	set.put(info, warm)
	if got := admitted(set, "cold", 5, warm); got != 1 {
		t.Errorf("a restarted replica got %d requests at once, want 1", got)
	}
	// It restarts again while it is cold. The used part of the rate remains used.
	info.StartedUnixMs = thirdStart
	set.put(info, warm)
	if got := admitted(set, "cold", 5, warm); got != 0 {
		t.Errorf("a replica that restarted twice got %d more requests at once, want none", got)
	}
	// A restart that is noticed late: the replica already reports being warm.
	info.StartedUnixMs, info.ColdLeft = firstStart, 0
	set.put(info, warm)
	if admitted(set, "cold", 5, warm) != 5 {
		t.Error("a warm replica whose restart is noticed late is limited")
	}
}

// A replica that answers again after it was unreachable may have restarted. It is treated as cold
// until the list shows whether it has.
func TestRestart_ColdUntilListConfirms(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, false, now)
	info := Info{ID: "warm", Pool: testPool, Slots: 8, StartedUnixMs: firstStart}
	set.put(info, now)
	set.Begin("cold", RequestInfo{}, now).End(Succeeded, now)
	set.Begin("warm", RequestInfo{}, now).End(Unreachable, now)
	now = now.Add(ejectionFirst / 2)
	set.Begin("warm", RequestInfo{}, now).End(Succeeded, now)
	if got := admitted(set, "warm", 5, now); got > 1 {
		t.Errorf("a replica that may have restarted got %d requests at once, want at most 1", got)
	}
	listedAt := now.Add(500 * time.Millisecond)
	info.StartedUnixMs, info.ColdLeft = secondStart, 2*time.Second
	set.put(info, listedAt)
	if got := admitted(set, "warm", 5, listedAt.Add(time.Second)); got != 1 {
		t.Errorf("a restarted replica got %d requests at once, want 1", got)
	}
	// If the list shows no restart in time, the replica is warm.
	other := newColdSet("a", []string{"a"}, false, now)
	info = Info{ID: "warm", Pool: testPool, Slots: 8, StartedUnixMs: firstStart}
	other.put(info, now)
	other.Begin("cold", RequestInfo{}, now).End(Succeeded, now)
	other.Begin("warm", RequestInfo{}, now).End(Unreachable, now)
	other.Begin("warm", RequestInfo{}, now).End(Succeeded, now)
	if admitted(other, "warm", 5, now.Add(2*time.Second)) != 5 {
		t.Error("a replica that was unreachable and did not restart is still limited")
	}
}

// The affinity replica of a prefix depends on the ID only, so that nodes agree on it however late
// they notice a restart.
func TestRestart_KeepsAffinityReplica(t *testing.T) {
	now := time.Now()
	set := newStartedSet(6, now)
	criteria := func() *Criteria {
		return &Criteria{RequestInfo: RequestInfo{Tokens: 9000}, Affinity: 77, SharedTokens: 6000}
	}
	before, err := Pick(set.SnapshotFor(testPool, criteria(), now), criteria(), Weights{})
	if err != nil {
		t.Fatal(err)
	}
	again := before.Info
	again.StartedUnixMs = thirdStart
	set.put(again, now)
	after, err := Pick(set.SnapshotFor(testPool, criteria(), now), criteria(), Weights{})
	if err != nil || after.ID != before.ID {
		t.Errorf("the affinity replica was %s and is %s after a restart, %v", before.ID, after.ID, err)
	}
}

// A replica that was delisted around an outage and is listed again with a new start has none of the
// previous start's state.
func TestRestart_DuringOutage(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	beginRequests(set, now)
	set.Begin("r00", RequestInfo{}, now).End(Unreachable, now)
	set.RecordOutageEnd(6*time.Second, now)
	set.Remove("r00", now)
	set.put(infoStartedAt(secondStart), now)
	later := now.Add(delistedGrace + time.Second)
	if candidate := candidateByID(t, set, "r00", later); candidate.Open != 0 || candidate.Ejected {
		t.Errorf("the state of the previous start remains: %+v", candidate)
	}
	if !idSet(set.Snapshot(testPool, 0, later))["r00"] {
		t.Error("the replica still counts as delisted")
	}
}

// A replica that is delisted and listed again with the same start keeps its requests.
func TestPut_ListedAgainWithSameStart(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	uses := beginRequests(set, now)
	set.Remove("r00", now)
	set.put(infoStartedAt(firstStart), now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 3 || candidate.Batch != 1 {
		t.Errorf("its requests are not counted: %+v", candidate)
	}
	for _, use := range uses {
		use.End(Succeeded, now)
	}
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 0 || candidate.Batch != 0 || candidate.PendingTokens != 0 {
		t.Errorf("its requests are counted after they ended: %+v", candidate)
	}
}
