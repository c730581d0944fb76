package replica

import (
	"testing"
	"time"
)

// Starts of a replica, the later ones not the larger: clocks step back.
const (
	firstStart  int64 = 1_700_000_060_000
	secondStart int64 = 1_700_000_000_000
	thirdStart  int64 = 1_700_000_060_001
)

// infoStartedAt is replica r00 of newSet at one of its starts.
func infoStartedAt(startedUnixMs int64) Info {
	return Info{ID: "r00", Pool: testPool, Address: "r00", Zone: "z", Slots: 4, StartedUnixMs: startedUnixMs}
}

// newStartedSet returns a set whose replica r00 says when it started.
func newStartedSet(count int, now time.Time) *Set {
	set := newSet(count)
	set.put(infoStartedAt(firstStart), now)
	return set
}

// candidateByID returns a replica as choices see it.
func candidateByID(t *testing.T, set *Set, id string, now time.Time) Candidate {
	t.Helper()
	for _, candidate := range set.List(now) {
		if candidate.ID == id {
			return candidate
		}
	}
	t.Fatalf("%s is not listed", id)
	return Candidate{}
}

// beginRequests sends an item and two requests to r00, and has it tell its load.
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
		t.Errorf("requests of the start before count: %+v", candidate)
	}
	if candidate.Others != 0 || candidate.Waiting != 0 || candidate.LoadAge >= 0 || candidate.Fresh {
		t.Errorf("the load of the start before counts: %+v", candidate)
	}
	if candidate.Share != 4 {
		t.Errorf("%d of its slots are this node's, not 4", candidate.Share)
	}
}

// TestPut_SameStartKeepsState: entries also change for other reasons, and entries
// of other writers may lack fields.
func TestPut_SameStartKeepsState(t *testing.T) {
	now := time.Now()
	set := newSet(2)
	beginRequests(set, now)
	leaving := infoStartedAt(firstStart)
	leaving.Leaving = true
	for _, info := range []Info{infoStartedAt(0), infoStartedAt(firstStart), infoStartedAt(0), leaving, infoStartedAt(firstStart)} {
		set.put(info, now)
		if candidate := candidateByID(t, set, "r00", now); candidate.Open != 3 || candidate.Batch != 1 || candidate.Others == 0 {
			t.Errorf("after %+v the requests there are %+v", info, candidate)
		}
	}
	set.put(infoStartedAt(0), now)
	set.put(infoStartedAt(secondStart), now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 0 {
		t.Error("an entry that does not say has its start forgotten")
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
		t.Errorf("a replica at another address has the requests of the one before: %+v", candidate)
	}
}

// TestRestart_IgnoresResultsOfPreviousStart: what was sent to the start before may end long
// after the next one is known, and then badly.
func TestRestart_IgnoresResultsOfPreviousStart(t *testing.T) {
	for _, result := range []Result{Succeeded, Failed, Refused, Unreachable, Abandoned} {
		now := time.Now()
		set := newStartedSet(2, now)
		set.OnEjected = func(info Info, result Result) { t.Errorf("%s was ejected: %v", info.ID, result) }
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
			t.Errorf("after %v the requests there are %+v", result, candidate)
		}
		if candidate.Ejected || candidate.FailureShare != 0 || candidate.Others != 0 || candidate.Cold.Left != 0 {
			t.Errorf("%v at the start before counts: %+v", result, candidate)
		}
		next.End(Succeeded, now)
		if candidate := candidateByID(t, set, "r00", now); candidate.Open != 0 || candidate.PendingTokens != 0 {
			t.Errorf("after all ended the requests there are %+v", candidate)
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
	set.OnPressure = func(id string, items int, _ Pressure) { t.Errorf("%d items give way at %s", items, id) }
	previous.RecordLoad(Load{Running: 4, Waiting: 50, Slots: 4}, now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Waiting != 0 || candidate.Others != 0 {
		t.Errorf("the load of the start before counts: %+v", candidate)
	}
}

func TestRestart_EndsEjection(t *testing.T) {
	now := time.Now()
	set := newStartedSet(4, now)
	set.Begin("r00", RequestInfo{}, now).End(Unreachable, now)
	if !isEjected(set, "r00", now) {
		t.Fatal("a replica that takes no connection is not left out")
	}
	set.put(infoStartedAt(secondStart), now)
	if isEjected(set, "r00", now) {
		t.Error("a replica that has started again is left out for the start before")
	}
	// The first failure of the new one does not count as the next of a row.
	set.Begin("r00", RequestInfo{}, now).End(Failed, now)
	if isEjected(set, "r00", now) {
		t.Error("one failure ejects a replica that has started again")
	}
}

func TestRestart_EndsSharedEjection(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(4)
	set.put(infoStartedAt(firstStart), now)
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, failureReport("r00", 5, 0), now)
	set.AddFailureReports(Reporter{Node: "n2", Zone: "b"}, failureReport("r00", 5, 0), now)
	if !isEjected(set, "r00", now) {
		t.Fatal("two nodes' word does not leave a replica out")
	}
	set.put(infoStartedAt(secondStart), now)
	if isEjected(set, "r00", now) {
		t.Fatal("a replica that has started again is left out for the start before")
	}
	later := now.Add(100 * time.Millisecond)
	set.AddFailureReports(Reporter{Node: "n1", Zone: "a"}, []FailureReport{{Replica: Key("r00"), Failures: 1, Age: 10 * time.Millisecond}}, later)
	if isEjected(set, "r00", later) {
		t.Error("a replica that has started again is on probation")
	}
}

// TestRestart_ReportsWithoutStartTime: they do not say which start they are
// about, but how long ago it failed.
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
		t.Error("words about failures before the start leave the replica out")
	}
	report(50 * time.Millisecond)
	if !isEjected(set, "r00", later) {
		t.Error("words about failures after the start are passed over")
	}
}

func TestRestart_ColdAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, false, now)
	info := Info{ID: "cold", Pool: testPool, Slots: 8, StartedUnixMs: firstStart, ColdLeft: 3 * time.Second}
	set.put(info, now)
	warm := now.Add(4 * time.Second)
	if admitted(set, "cold", 5, warm) != 5 {
		t.Fatal("a replica is bounded that is warm")
	}
	info.StartedUnixMs, info.ColdLeft = secondStart, 2*time.Second
	set.put(info, warm)
	if got := admitted(set, "cold", 5, warm); got != 1 {
		t.Errorf("a replica that has started again got %d requests at once", got)
	}
	// The next one starts while this one is cold: the part of the rate that was used is.
	info.StartedUnixMs = thirdStart
	set.put(info, warm)
	if got := admitted(set, "cold", 5, warm); got != 0 {
		t.Errorf("a replica that has started twice got %d requests more at once", got)
	}
	// One that started long ago, though it is noticed now, says that it is warm.
	info.StartedUnixMs, info.ColdLeft = firstStart, 0
	set.put(info, warm)
	if admitted(set, "cold", 5, warm) != 5 {
		t.Error("a replica that is noticed late to have started again stays cold for the start before")
	}
}

// TestRestart_ColdUntilListConfirms: a replica that refused connections and answers
// again may be one that has started, and cold.
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
		t.Errorf("a replica that may have started again got %d requests at once", got)
	}
	listedAt := now.Add(500 * time.Millisecond)
	info.StartedUnixMs, info.ColdLeft = secondStart, 2*time.Second
	set.put(info, listedAt)
	if got := admitted(set, "warm", 5, listedAt.Add(time.Second)); got != 1 {
		t.Errorf("a replica that has started again got %d requests at once", got)
	}
	// Without such a word it is the one from before.
	other := newColdSet("a", []string{"a"}, false, now)
	info = Info{ID: "warm", Pool: testPool, Slots: 8, StartedUnixMs: firstStart}
	other.put(info, now)
	other.Begin("cold", RequestInfo{}, now).End(Succeeded, now)
	other.Begin("warm", RequestInfo{}, now).End(Unreachable, now)
	other.Begin("warm", RequestInfo{}, now).End(Succeeded, now)
	if admitted(other, "warm", 5, now.Add(2*time.Second)) != 5 {
		t.Error("a replica that only could not be reached stays bounded")
	}
}

// TestRestart_KeepsAffinityReplica: all nodes agree on it by the id alone, also those that
// notice the start late. The first request there reads the prefix.
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
		t.Errorf("the home of a prefix was %s and is %s, %v", before.ID, after.ID, err)
	}
}

// TestRestart_DuringOutage: its entry is kept in doubt, not
// with what was known of it.
func TestRestart_DuringOutage(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	beginRequests(set, now)
	set.Begin("r00", RequestInfo{}, now).End(Unreachable, now)
	set.OutageEnded(6*time.Second, now)
	set.Remove("r00", now)
	set.put(infoStartedAt(secondStart), now)
	later := now.Add(delistedGrace + time.Second)
	if candidate := candidateByID(t, set, "r00", later); candidate.Open != 0 || candidate.Ejected {
		t.Errorf("it has what was known before: %+v", candidate)
	}
	if !idSet(set.Snapshot(testPool, 0, later))["r00"] {
		t.Error("it is taken as gone still")
	}
}

// TestPut_ListedAgainWithSameStart: a replica that was frozen lapses, and is back with
// what it was sent.
func TestPut_ListedAgainWithSameStart(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	uses := beginRequests(set, now)
	set.Remove("r00", now)
	set.put(infoStartedAt(firstStart), now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 3 || candidate.Batch != 1 {
		t.Errorf("its requests are forgotten: %+v", candidate)
	}
	for _, use := range uses {
		use.End(Succeeded, now)
	}
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 0 || candidate.Batch != 0 || candidate.PendingTokens != 0 {
		t.Errorf("its requests have ended: %+v", candidate)
	}
}
