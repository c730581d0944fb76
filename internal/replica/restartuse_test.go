package replica

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// restarted reports whether the request was notified of a restart of its replica.
func restarted(use *Use) bool {
	select {
	case <-use.Restarted():
		return true
	default:
		return false
	}
}

func TestRestarted_NotifiesRequestsOfPreviousStart(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	var restarts []Restart
	set.OnRestart = func(restart Restart) { restarts = append(restarts, restart) }
	uses := beginRequests(set, now)
	// One channel is created before the restart, the others after it.
	early := uses[0].Restarted()
	if restarted(uses[1]) {
		t.Fatal("notified without a known restart")
	}
	set.put(infoStartedAt(firstStart), now)
	if restarted(uses[1]) {
		t.Fatal("notified of the start that the request was sent to")
	}
	// The start time is earlier than the previous one, as after a clock stepped back.
	set.put(infoStartedAt(secondStart), now)
	next := set.Begin("r00", RequestInfo{}, now)
	<-early
	for i, use := range uses {
		if !restarted(use) {
			t.Errorf("request %d is not notified", i)
		}
	}
	if restarted(next) {
		t.Error("a request to the new start is notified")
	}
	if len(restarts) != 1 || restarts[0].Open != 3 || restarts[0].Batch != 1 || restarts[0].PreviousStartedUnixMs != firstStart || restarts[0].Replica.StartedUnixMs != secondStart {
		t.Errorf("OnRestart was called with %+v", restarts)
	}
	// A second restart.
	set.put(infoStartedAt(thirdStart), now)
	if !restarted(next) || len(restarts) != 2 {
		t.Errorf("the second restart is not noticed: %+v", restarts)
	}
}

func TestRestarted_SkippedStart(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	use := set.Begin("r00", RequestInfo{}, now)
	set.put(infoStartedAt(thirdStart), now)
	if !restarted(use) {
		t.Error("not notified of a restart whose predecessor was missed")
	}
	if _, previous, _ := set.CurrentAndPrevious("r00"); previous.StartedUnixMs != firstStart {
		t.Errorf("the previous start is %d, want firstStart", previous.StartedUnixMs)
	}
}

// A replica that is no longer listed may still answer. Only when it is listed with a new start are
// its requests notified.
func TestRestarted_UnlistedReplica(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	use := set.Begin("r00", RequestInfo{}, now)
	set.Remove("r00", now)
	late := set.BeginAt(infoStartedAt(firstStart), RequestInfo{}, now)
	if restarted(use) || restarted(late) {
		t.Fatal("notified without a known restart")
	}
	set.put(infoStartedAt(secondStart), now)
	if !restarted(use) || !restarted(late) {
		t.Error("not notified of the restart of a replica that was unlisted")
	}
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 0 {
		t.Errorf("requests of the previous start are counted: %+v", candidate)
	}
	use.End(Failed, now)
	late.End(Failed, now)
	if len(set.unlisted) != 0 {
		t.Errorf("%d unlisted entries without requests remain", len(set.unlisted))
	}
}

// The list shows a restart with a delay. Requests that were sent after the replica had refused a
// connection reached the new start and are not notified.
func TestRestarted_RequestsSentAfterUnreachable(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	before := set.Begin("r00", RequestInfo{Tokens: 5, Batch: true}, now)
	now = now.Add(time.Second)
	set.Begin("r00", RequestInfo{}, now).End(Unreachable, now)
	now = now.Add(time.Second)
	after := set.Begin("r00", RequestInfo{Tokens: 7, Batch: true}, now)
	now = now.Add(time.Second)
	set.put(infoStartedAt(secondStart), now)
	if !restarted(before) || restarted(after) {
		t.Errorf("notified: %v, %v; want true, false", restarted(before), restarted(after))
	}
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 1 || candidate.Batch != 1 || candidate.PendingTokens != 7 {
		t.Errorf("the request to the new start is not counted there: %+v", candidate)
	}
	after.MarkPreempted()
	after.FirstEvent(now)
	after.End(Failed, now)
	before.End(Failed, now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 0 || candidate.Batch != 0 || candidate.PendingTokens != 0 || candidate.FailureShare == 0 {
		t.Errorf("after all requests ended the candidate is %+v", candidate)
	}
	// A connection refused long ago is no evidence of the start that a request was sent to.
	use := set.Begin("r00", RequestInfo{}, now)
	set.put(infoStartedAt(thirdStart), now.Add(recentlyUnreachable+time.Second))
	if !restarted(use) {
		t.Error("a request counts as sent to the new start because of a connection refused long ago")
	}
}

func TestFollow_NotifiesOfRestart(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	if _, _, _, listed := set.Follow("other"); listed {
		t.Error("Follow accepts a replica that is not listed")
	}
	address, restarted, stop, _ := set.Follow("r00")
	_, stopped, stopSecond, _ := set.Follow("r00")
	stopSecond()
	if candidate := candidateByID(t, set, "r00", now); address != "r00" || candidate.Open != 0 {
		t.Errorf("address %q, candidate %+v, want r00 without requests", address, candidate)
	}
	// Delisting is no restart.
	set.Remove("r00", now)
	set.put(infoStartedAt(firstStart), now)
	select {
	case <-restarted:
		t.Error("notified without a known restart")
	default:
	}
	set.put(infoStartedAt(secondStart), now)
	<-restarted
	select {
	case <-stopped:
		t.Error("a stopped follower is notified")
	default:
	}
	stop()
	_, _, stop, _ = set.Follow("r00")
	set.Remove("r00", now)
	stop()
	if len(set.unlisted) != 0 {
		t.Errorf("%d unlisted entries without followers remain", len(set.unlisted))
	}
}

func TestBeginAt_RejectsPreviousStart(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	set.put(infoStartedAt(secondStart), now)
	if set.BeginAt(infoStartedAt(firstStart), RequestInfo{}, now) != nil {
		t.Error("BeginAt accepts the previous start")
	}
	for _, info := range []Info{infoStartedAt(secondStart), infoStartedAt(0), {ID: "r00"}} {
		if set.BeginAt(info, RequestInfo{}, now) == nil {
			t.Errorf("BeginAt rejects %+v", info)
		}
	}
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 3 {
		t.Errorf("Open = %d, want 3", candidate.Open)
	}
}

func TestMarkFull_IgnoresPreviousStart(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	set.put(infoStartedAt(secondStart), now)
	set.MarkFull(infoStartedAt(firstStart), now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Others != 0 {
		t.Errorf("a refusal of the previous start marks the new one as full: %+v", candidate)
	}
	set.MarkFull(infoStartedAt(secondStart), now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Others != 4 {
		t.Errorf("the replica is not marked as full: %+v", candidate)
	}
}

func TestPick_RestartedReplicaMayRetryRequest(t *testing.T) {
	now := time.Now()
	set := newStartedSet(1, now)
	first := infoStartedAt(firstStart)
	criteria := &Criteria{Exclude: map[string]bool{first.Incarnation(): true}}
	if _, err := Pick(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}); err == nil {
		t.Error("Pick returns a start that failed the request")
	}
	set.put(infoStartedAt(secondStart), now)
	if _, err := Pick(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}); err != nil {
		t.Errorf("Pick excludes the restarted replica: %v", err)
	}
	criteria.Exclude["r00"] = true
	if _, err := Pick(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}); err == nil {
		t.Error("Pick returns a replica that is excluded by ID")
	}
}

func TestFailureReports_ApplyToOneStart(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(4)
	set.put(infoStartedAt(firstStart), now)
	set.Begin("r00", RequestInfo{}, now).End(Failed, now)
	reports := set.FailureReports(now)
	if len(reports) != 1 || reports[0].StartedUnixMs != firstStart {
		t.Fatalf("FailureReports = %+v, want one about firstStart", reports)
	}
	set.put(infoStartedAt(secondStart), now)
	if reports := set.FailureReports(now); len(reports) != 0 {
		t.Errorf("failures of the previous start are reported: %+v", reports)
	}
	report := func(startedUnixMs int64) {
		for _, node := range []string{"n1", "n2", "n3"} {
			set.AddFailureReports(Reporter{Node: node, Zone: node}, []FailureReport{{Replica: Key("r00"), StartedUnixMs: startedUnixMs, Failures: 5}}, now)
		}
	}
	report(firstStart)
	report(thirdStart)
	if isEjected(set, "r00", now) {
		t.Error("reports about other starts eject the replica")
	}
	report(secondStart)
	if !isEjected(set, "r00", now) {
		t.Error("reports about the current start do not eject the replica")
	}
}

// A grant for a previous start would exceed the rate of the current one, so requests for grants
// name the start.
func TestColdSenders_IdentifyStart(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"b"}, false, now)
	set.put(Info{ID: "cold", Pool: testPool, Slots: 8, StartedUnixMs: firstStart, ColdLeft: 3 * time.Second}, now)
	senders := set.ColdSenders(testPool, &Criteria{}, now)
	if len(senders) != 1 || senders[0].StartedUnixMs != firstStart {
		t.Fatalf("ColdSenders = %+v, want one for firstStart", senders)
	}
	for startedUnixMs, want := range map[int64]bool{0: true, firstStart: true, secondStart: false} {
		if got := set.IsCurrentStart("cold", startedUnixMs); got != want {
			t.Errorf("IsCurrentStart(%d) = %v", startedUnixMs, got)
		}
	}
	if set.IsCurrentStart("other", 0) {
		t.Error("IsCurrentStart is true for a replica that is not listed")
	}
}

// restartModel is the expected state of replica r00 after any sequence of operations on a set.
type restartModel struct {
	set *Set
	now time.Time
	// start numbers the current start, as requests in flight refer to it. startedUnixMs is its
	// start time; 0 if unknown.
	start         int
	startedUnixMs int64
	// inFlight holds the requests that have not ended.
	inFlight []sentRequest
	listed   bool
}

// sentRequest is a request in flight and the start that it was sent to.
type sentRequest struct {
	use   *Use
	start int
}

// list lists the replica with a start time.
func (m *restartModel) list(startedUnixMs int64) {
	m.set.put(infoStartedAt(startedUnixMs), m.now)
	m.listed = true
	if startedUnixMs != 0 && m.startedUnixMs != 0 && startedUnixMs != m.startedUnixMs {
		m.start++
	}
	if startedUnixMs != 0 {
		m.startedUnixMs = startedUnixMs
	}
}

// open returns the number of requests in flight at the current start.
func (m *restartModel) open() int {
	count := 0
	for _, req := range m.inFlight {
		if req.start == m.start {
			count++
		}
	}
	return count
}

// forget resets the model if the replica is unlisted and has no requests, so that the set has no
// entry.
func (m *restartModel) forget() {
	if !m.listed && m.open() == 0 {
		m.start++
		m.startedUnixMs = 0
	}
}

// check compares the set with the model.
func (m *restartModel) check(t *rapid.T) {
	for _, req := range m.inFlight {
		if wantNotified := req.start != m.start; restarted(req.use) != wantNotified {
			t.Fatalf("request to start %d, current start %d: notified = %v", req.start, m.start, !wantNotified)
		}
	}
	for _, e := range m.set.unlisted {
		if m.listed || e.open != m.open() || e.open == 0 {
			t.Fatalf("an unlisted entry has %d requests, want %d", e.open, m.open())
		}
	}
	for _, candidate := range m.set.List(m.now) {
		if candidate.ID == "r00" && (candidate.Open != m.open() || candidate.Batch < 0 || candidate.PendingTokens < 0) {
			t.Fatalf("Open = %d, want %d: %+v", candidate.Open, m.open(), candidate)
		}
	}
}

// A set agrees with the model when a replica is listed with any start times and delisted, and
// requests begin and end, in any order.
func TestRestart_Model(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &restartModel{set: newSet(2), now: time.Unix(1000, 0)}
		m.list(firstStart)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"list": func(t *rapid.T) {
				m.now = m.now.Add(time.Millisecond)
				m.list(rapid.SampledFrom([]int64{0, firstStart, secondStart, thirdStart}).Draw(t, "startedUnixMs"))
			},
			"drop": func(*rapid.T) {
				m.set.Remove("r00", m.now)
				m.listed = false
				m.forget()
			},
			"send": func(t *rapid.T) {
				req := RequestInfo{Tokens: 3, Batch: rapid.Bool().Draw(t, "batch")}
				use := m.set.BeginAt(infoStartedAt(m.startedUnixMs), req, m.now)
				if use == nil {
					t.Fatal("BeginAt rejects the current start")
				}
				m.inFlight = append(m.inFlight, sentRequest{use, m.start})
			},
			"end": m.end,
		})
	})
}

// end ends a random request in flight.
func (m *restartModel) end(t *rapid.T) {
	if len(m.inFlight) == 0 {
		t.Skip("no request in flight")
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "request")
	use := m.inFlight[i].use
	if rapid.Bool().Draw(t, "firstEvent") {
		use.FirstEvent(m.now)
	}
	if rapid.Bool().Draw(t, "preempted") {
		use.MarkPreempted()
	}
	use.End(rapid.SampledFrom([]Result{Succeeded, Failed, Refused, Abandoned}).Draw(t, "result"), m.now)
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	m.forget()
}
