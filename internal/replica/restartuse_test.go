package replica

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// restarted reports whether a request knows that its replica has started again since.
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
	// Two ask for the channel before, one after.
	early := uses[0].Restarted()
	if restarted(uses[1]) {
		t.Fatal("told of a start that is not known")
	}
	set.put(infoStartedAt(firstStart), now)
	if restarted(uses[1]) {
		t.Fatal("told of a start that it was sent to")
	}
	// Born is smaller: a clock has stepped back.
	set.put(infoStartedAt(secondStart), now)
	next := set.Begin("r00", RequestInfo{}, now)
	<-early
	for i, use := range uses {
		if !restarted(use) {
			t.Errorf("request %d is not told", i)
		}
	}
	if restarted(next) {
		t.Error("a request to the new one is told")
	}
	if len(restarts) != 1 || restarts[0].Open != 3 || restarts[0].Batch != 1 || restarts[0].PreviousStartedUnixMs != firstStart || restarts[0].Replica.StartedUnixMs != secondStart {
		t.Errorf("noticed %+v", restarts)
	}
	// Another one, and then the words are those of three starts.
	set.put(infoStartedAt(thirdStart), now)
	if !restarted(next) || len(restarts) != 2 {
		t.Errorf("the third start is not noticed: %+v", restarts)
	}
}

func TestRestarted_SkippedStart(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	use := set.Begin("r00", RequestInfo{}, now)
	set.put(infoStartedAt(thirdStart), now)
	if !restarted(use) {
		t.Error("not told of the start after the next")
	}
	if _, before, _ := set.CurrentAndPrevious("r00"); before.StartedUnixMs != firstStart {
		t.Errorf("the start before is %d", before.StartedUnixMs)
	}
}

// TestRestarted_UnlistedReplica: a replica that is not listed any more may serve on. Only
// its next start says that it does not.
func TestRestarted_UnlistedReplica(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	use := set.Begin("r00", RequestInfo{}, now)
	set.Remove("r00", now)
	late := set.BeginAt(infoStartedAt(firstStart), RequestInfo{}, now)
	if restarted(use) || restarted(late) {
		t.Fatal("told of a start that is not known")
	}
	set.put(infoStartedAt(secondStart), now)
	if !restarted(use) || !restarted(late) {
		t.Error("not told of the start of a replica that was not listed")
	}
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 0 {
		t.Errorf("requests of the start before count: %+v", candidate)
	}
	use.End(Failed, now)
	late.End(Failed, now)
	if len(set.unlisted) != 0 {
		t.Errorf("%d entries are kept of replicas that have no request", len(set.unlisted))
	}
}

// TestRestarted_RequestsSentAfterUnreachable: the list tells late of a start; what was
// sent after nothing listened there reached the new one.
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
		t.Errorf("told %v, %v; want true, false", restarted(before), restarted(after))
	}
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 1 || candidate.Batch != 1 || candidate.PendingTokens != 7 {
		t.Errorf("the request at the new one is not counted there: %+v", candidate)
	}
	after.MarkPreempted()
	after.FirstEvent(now)
	after.End(Failed, now)
	before.End(Failed, now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 0 || candidate.Batch != 0 || candidate.PendingTokens != 0 || candidate.FailureShare == 0 {
		t.Errorf("after all ended: %+v", candidate)
	}
	// A refusal long ago says nothing.
	use := set.Begin("r00", RequestInfo{}, now)
	set.put(infoStartedAt(thirdStart), now.Add(recentlyUnreachable+time.Second))
	if !restarted(use) {
		t.Error("a request is taken as sent to the new one for a refusal long ago")
	}
}

func TestFollow_NotifiesOfRestart(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	if _, _, _, listed := set.Follow("other"); listed {
		t.Error("a replica is followed that is not listed")
	}
	address, restarted, stop, _ := set.Follow("r00")
	_, stopped, stopSecond, _ := set.Follow("r00")
	stopSecond()
	if candidate := candidateByID(t, set, "r00", now); address != "r00" || candidate.Open != 0 {
		t.Errorf("at %q are requests: %+v", address, candidate)
	}
	// It is not listed for a while.
	set.Remove("r00", now)
	set.put(infoStartedAt(firstStart), now)
	select {
	case <-restarted:
		t.Error("told of a start that is not known")
	default:
	}
	set.put(infoStartedAt(secondStart), now)
	<-restarted
	select {
	case <-stopped:
		t.Error("who has stopped to follow is told")
	default:
	}
	stop()
	_, _, stop, _ = set.Follow("r00")
	set.Remove("r00", now)
	stop()
	if len(set.unlisted) != 0 {
		t.Errorf("%d entries are kept that nobody follows", len(set.unlisted))
	}
}

func TestBeginAt_RejectsPreviousStart(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	set.put(infoStartedAt(secondStart), now)
	if set.BeginAt(infoStartedAt(firstStart), RequestInfo{}, now) != nil {
		t.Error("a request is sent to a start that is over")
	}
	for _, info := range []Info{infoStartedAt(secondStart), infoStartedAt(0), {ID: "r00"}} {
		if set.BeginAt(info, RequestInfo{}, now) == nil {
			t.Errorf("no request is sent to %+v", info)
		}
	}
	if candidate := candidateByID(t, set, "r00", now); candidate.Open != 3 {
		t.Errorf("%d requests are counted, not 3", candidate.Open)
	}
}

func TestMarkFull_IgnoresPreviousStart(t *testing.T) {
	now := time.Now()
	set := newStartedSet(2, now)
	set.put(infoStartedAt(secondStart), now)
	set.MarkFull(infoStartedAt(firstStart), now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Others != 0 {
		t.Errorf("taken as full: %+v", candidate)
	}
	set.MarkFull(infoStartedAt(secondStart), now)
	if candidate := candidateByID(t, set, "r00", now); candidate.Others != 4 {
		t.Errorf("not taken as full: %+v", candidate)
	}
}

func TestPick_RestartedReplicaMayRetryRequest(t *testing.T) {
	now := time.Now()
	set := newStartedSet(1, now)
	first := infoStartedAt(firstStart)
	criteria := &Criteria{Exclude: map[string]bool{first.Incarnation(): true}}
	if _, err := Pick(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}); err == nil {
		t.Error("a replica is chosen that failed the request")
	}
	set.put(infoStartedAt(secondStart), now)
	if _, err := Pick(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}); err != nil {
		t.Errorf("the replica that has started again is left out: %v", err)
	}
	criteria.Exclude["r00"] = true
	if _, err := Pick(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}); err == nil {
		t.Error("a replica is chosen that is excluded at all its starts")
	}
}

func TestFailureReports_ApplyToOneStart(t *testing.T) {
	now := time.Now()
	set := newEvidenceSet(4)
	set.put(infoStartedAt(firstStart), now)
	set.Begin("r00", RequestInfo{}, now).End(Failed, now)
	reports := set.FailureReports(now)
	if len(reports) != 1 || reports[0].StartedUnixMs != firstStart {
		t.Fatalf("told %+v", reports)
	}
	set.put(infoStartedAt(secondStart), now)
	if reports := set.FailureReports(now); len(reports) != 0 {
		t.Errorf("failures of the start before are told: %+v", reports)
	}
	report := func(startedUnixMs int64) {
		for _, node := range []string{"n1", "n2", "n3"} {
			set.AddFailureReports(Reporter{Node: node, Zone: node}, []FailureReport{{Replica: Key("r00"), StartedUnixMs: startedUnixMs, Failures: 5}}, now)
		}
	}
	report(firstStart)
	report(thirdStart)
	if isEjected(set, "r00", now) {
		t.Error("words about other starts leave the replica out")
	}
	report(secondStart)
	if !isEjected(set, "r00", now) {
		t.Error("words about this start are passed over")
	}
}

// TestColdSenders_IdentifyStart: a place granted at a start that is over would
// come on top of the rate of the next one.
func TestColdSenders_IdentifyStart(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"b"}, false, now)
	set.put(Info{ID: "cold", Pool: testPool, Slots: 8, StartedUnixMs: firstStart, ColdLeft: 3 * time.Second}, now)
	senders := set.ColdSenders(testPool, &Criteria{}, now)
	if len(senders) != 1 || senders[0].StartedUnixMs != firstStart {
		t.Fatalf("feeders are %+v", senders)
	}
	for startedUnixMs, want := range map[int64]bool{0: true, firstStart: true, secondStart: false} {
		if got := set.IsCurrentStart("cold", startedUnixMs); got != want {
			t.Errorf("Started(%d) = %v", startedUnixMs, got)
		}
	}
	if set.IsCurrentStart("other", 0) {
		t.Error("a replica that is not listed has started")
	}
}

// restartModel is what must hold of one replica, whatever is said of it and in which order.
type restartModel struct {
	set *Set
	now time.Time
	// start counts the starts that are known, born is that of the last; 0 if it is not known.
	start         int
	startedUnixMs int64
	// inFlight are the requests that have not ended.
	inFlight []sentRequest
	listed   bool
}

// sentRequest is a request with the start that it was sent to.
type sentRequest struct {
	use   *Use
	start int
}

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

// open counts the requests at the last start.
func (m *restartModel) open() int {
	count := 0
	for _, req := range m.inFlight {
		if req.start == m.start {
			count++
		}
	}
	return count
}

// forget forgets a replica that is not listed and has no request.
func (m *restartModel) forget() {
	if !m.listed && m.open() == 0 {
		m.start++
		m.startedUnixMs = 0
	}
}

func (m *restartModel) check(t *rapid.T) {
	for _, req := range m.inFlight {
		if over := req.start != m.start; restarted(req.use) != over {
			t.Fatalf("a request to start %d of %d is told: %v", req.start, m.start, !over)
		}
	}
	for _, e := range m.set.unlisted {
		if m.listed || e.open != m.open() || e.open == 0 {
			t.Fatalf("an entry is kept that has %d requests, there are %d", e.open, m.open())
		}
	}
	for _, candidate := range m.set.List(m.now) {
		if candidate.ID == "r00" && (candidate.Open != m.open() || candidate.Batch < 0 || candidate.PendingTokens < 0) {
			t.Fatalf("%d requests are counted, there are %d: %+v", candidate.Open, m.open(), candidate)
		}
	}
}

// TestRestart_Model lists a replica with starts in any order, drops it, sends to it and ends
// requests in any order.
func TestRestart_Model(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &restartModel{set: newSet(2), now: time.Unix(1000, 0)}
		m.list(firstStart)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"list": func(t *rapid.T) {
				m.now = m.now.Add(time.Millisecond)
				m.list(rapid.SampledFrom([]int64{0, firstStart, secondStart, thirdStart}).Draw(t, "born"))
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
					t.Fatal("a request is not sent to the start that is known")
				}
				m.inFlight = append(m.inFlight, sentRequest{use, m.start})
			},
			"end": m.end,
		})
	})
}

// end ends a request.
func (m *restartModel) end(t *rapid.T) {
	if len(m.inFlight) == 0 {
		t.Skip("no request")
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "request")
	use := m.inFlight[i].use
	if rapid.Bool().Draw(t, "first") {
		use.FirstEvent(m.now)
	}
	if rapid.Bool().Draw(t, "gives way") {
		use.MarkPreempted()
	}
	use.End(rapid.SampledFrom([]Result{Succeeded, Failed, Refused, Abandoned}).Draw(t, "result"), m.now)
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	m.forget()
}
