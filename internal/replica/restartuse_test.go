package replica

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// told reports whether a request knows that its replica has started again since.
func told(use *Use) bool {
	select {
	case <-use.Restarted():
		return true
	default:
		return false
	}
}

func TestReborn_TellsWhatWasSentToTheStartBefore(t *testing.T) {
	now := time.Now()
	set := startedSet(2, now)
	var noticed []Restart
	set.Restarted = func(restart Restart) { noticed = append(noticed, restart) }
	uses := busy(set, now)
	// Two ask for the channel before, one after.
	asked := uses[0].Restarted()
	if told(uses[1]) {
		t.Fatal("told of a start that is not known")
	}
	set.put(listed(firstBorn), now)
	if told(uses[1]) {
		t.Fatal("told of a start that it was sent to")
	}
	// Born is smaller: a clock has stepped back.
	set.put(listed(secondBorn), now)
	next := set.Begin("r00", Ask{}, now)
	<-asked
	for i, use := range uses {
		if !told(use) {
			t.Errorf("request %d is not told", i)
		}
	}
	if told(next) {
		t.Error("a request to the new one is told")
	}
	if len(noticed) != 1 || noticed[0].Open != 3 || noticed[0].Batch != 1 || noticed[0].Before != firstBorn || noticed[0].Replica.Born != secondBorn {
		t.Errorf("noticed %+v", noticed)
	}
	// Another one, and then the words are those of three starts.
	set.put(listed(thirdBorn), now)
	if !told(next) || len(noticed) != 2 {
		t.Errorf("the third start is not noticed: %+v", noticed)
	}
}

func TestReborn_TwoStartsBetweenTwoLooks(t *testing.T) {
	now := time.Now()
	set := startedSet(2, now)
	use := set.Begin("r00", Ask{}, now)
	set.put(listed(thirdBorn), now)
	if !told(use) {
		t.Error("not told of the start after the next")
	}
	if _, before, _ := set.Starts("r00"); before.Born != firstBorn {
		t.Errorf("the start before is %d", before.Born)
	}
}

// TestReborn_AfterItWasNotListed: a replica that is not listed any more may serve on. Only
// its next start says that it does not.
func TestReborn_AfterItWasNotListed(t *testing.T) {
	now := time.Now()
	set := startedSet(2, now)
	use := set.Begin("r00", Ask{}, now)
	set.Remove("r00", now)
	late := set.BeginAt(listed(firstBorn), Ask{}, now)
	if told(use) || told(late) {
		t.Fatal("told of a start that is not known")
	}
	set.put(listed(secondBorn), now)
	if !told(use) || !told(late) {
		t.Error("not told of the start of a replica that was not listed")
	}
	if known := seen(t, set, "r00", now); known.Open != 0 {
		t.Errorf("requests of the start before count: %+v", known)
	}
	use.End(Failed, now)
	late.End(Failed, now)
	if len(set.unlisted) != 0 {
		t.Errorf("%d entries are kept of replicas that have no request", len(set.unlisted))
	}
}

// TestReborn_RequestsSentSinceItRefusedAreTheNewOnes: the list tells late of a start; what was
// sent after nothing listened there reached the new one.
func TestReborn_RequestsSentSinceItRefusedAreTheNewOnes(t *testing.T) {
	now := time.Now()
	set := startedSet(2, now)
	before := set.Begin("r00", Ask{Tokens: 5, Batch: true}, now)
	now = now.Add(time.Second)
	set.Begin("r00", Ask{}, now).End(Unreachable, now)
	now = now.Add(time.Second)
	since := set.Begin("r00", Ask{Tokens: 7, Batch: true}, now)
	now = now.Add(time.Second)
	set.put(listed(secondBorn), now)
	if !told(before) || told(since) {
		t.Errorf("told %v, %v; want true, false", told(before), told(since))
	}
	if known := seen(t, set, "r00", now); known.Open != 1 || known.Batch != 1 || known.PendingTokens != 7 {
		t.Errorf("the request at the new one is not counted there: %+v", known)
	}
	since.MarkPreempted()
	since.First(now)
	since.End(Failed, now)
	before.End(Failed, now)
	if known := seen(t, set, "r00", now); known.Open != 0 || known.Batch != 0 || known.PendingTokens != 0 || known.Failing == 0 {
		t.Errorf("after all ended: %+v", known)
	}
	// A refusal long ago says nothing.
	use := set.Begin("r00", Ask{}, now)
	set.put(listed(thirdBorn), now.Add(unreachableLately+time.Second))
	if !told(use) {
		t.Error("a request is taken as sent to the new one for a refusal long ago")
	}
}

func TestFollow_TellsOfAStart(t *testing.T) {
	now := time.Now()
	set := startedSet(2, now)
	if _, _, _, listed := set.Follow("other"); listed {
		t.Error("a replica is followed that is not listed")
	}
	address, reborn, stop, _ := set.Follow("r00")
	_, never, stopNever, _ := set.Follow("r00")
	stopNever()
	if known := seen(t, set, "r00", now); address != "r00" || known.Open != 0 {
		t.Errorf("at %q are requests: %+v", address, known)
	}
	// It is not listed for a while.
	set.Remove("r00", now)
	set.put(listed(firstBorn), now)
	select {
	case <-reborn:
		t.Error("told of a start that is not known")
	default:
	}
	set.put(listed(secondBorn), now)
	<-reborn
	select {
	case <-never:
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

func TestBeginAt_ReplicaThatHasStartedAgainIsChosenAnew(t *testing.T) {
	now := time.Now()
	set := startedSet(2, now)
	set.put(listed(secondBorn), now)
	if set.BeginAt(listed(firstBorn), Ask{}, now) != nil {
		t.Error("a request is sent to a start that is over")
	}
	for _, info := range []Info{listed(secondBorn), listed(0), {ID: "r00"}} {
		if set.BeginAt(info, Ask{}, now) == nil {
			t.Errorf("no request is sent to %+v", info)
		}
	}
	if known := seen(t, set, "r00", now); known.Open != 3 {
		t.Errorf("%d requests are counted, not 3", known.Open)
	}
}

func TestRestart_ARefusalOfTheStartBeforeDoesNotFillIt(t *testing.T) {
	now := time.Now()
	set := startedSet(2, now)
	set.put(listed(secondBorn), now)
	set.Full(listed(firstBorn), now)
	if known := seen(t, set, "r00", now); known.Others != 0 {
		t.Errorf("taken as full: %+v", known)
	}
	set.Full(listed(secondBorn), now)
	if known := seen(t, set, "r00", now); known.Others != 4 {
		t.Errorf("not taken as full: %+v", known)
	}
}

func TestRestart_WhoFailedARequestMayTakeItAfterAStart(t *testing.T) {
	now := time.Now()
	set := startedSet(1, now)
	first := listed(firstBorn)
	demand := &Demand{Exclude: map[string]bool{first.Incarnation(): true}}
	if _, err := Pick(set.SnapshotFor(testPool, demand, now), demand, Weights{}); err == nil {
		t.Error("a replica is chosen that failed the request")
	}
	set.put(listed(secondBorn), now)
	if _, err := Pick(set.SnapshotFor(testPool, demand, now), demand, Weights{}); err != nil {
		t.Errorf("the replica that has started again is left out: %v", err)
	}
	demand.Exclude["r00"] = true
	if _, err := Pick(set.SnapshotFor(testPool, demand, now), demand, Weights{}); err == nil {
		t.Error("a replica is chosen that is excluded at all its starts")
	}
}

func TestEvidence_IsAboutOneStart(t *testing.T) {
	now := time.Now()
	set := evidenceSet(4)
	set.put(listed(firstBorn), now)
	set.Begin("r00", Ask{}, now).End(Failed, now)
	reports := set.FailureReports(now)
	if len(reports) != 1 || reports[0].Born != firstBorn {
		t.Fatalf("told %+v", reports)
	}
	set.put(listed(secondBorn), now)
	if reports := set.FailureReports(now); len(reports) != 0 {
		t.Errorf("failures of the start before are told: %+v", reports)
	}
	tell := func(born int64) {
		for _, node := range []string{"n1", "n2", "n3"} {
			set.TakeFailureReports(Reporter{Node: node, Zone: node}, []FailureReport{{Replica: Key("r00"), Born: born, Failures: 5}}, now)
		}
	}
	tell(firstBorn)
	tell(thirdBorn)
	if out(set, "r00", now) {
		t.Error("words about other starts leave the replica out")
	}
	tell(secondBorn)
	if !out(set, "r00", now) {
		t.Error("words about this start are passed over")
	}
}

// TestFeeders_TellWhichStartTheyAreAskedAbout: a place granted at a start that is over would
// come on top of the rate of the next one.
func TestFeeders_TellWhichStartTheyAreAskedAbout(t *testing.T) {
	now := time.Unix(1000, 0)
	set := coldSet("a", []string{"b"}, false, now)
	set.put(Info{ID: "cold", Pool: testPool, Slots: 8, Born: firstBorn, ColdLeft: 3 * time.Second}, now)
	feeders := set.Feeders(testPool, &Demand{}, now)
	if len(feeders) != 1 || feeders[0].Born != firstBorn {
		t.Fatalf("feeders are %+v", feeders)
	}
	for born, want := range map[int64]bool{0: true, firstBorn: true, secondBorn: false} {
		if got := set.Started("cold", born); got != want {
			t.Errorf("Started(%d) = %v", born, got)
		}
	}
	if set.Started("other", 0) {
		t.Error("a replica that is not listed has started")
	}
}

// startModel is what must hold of one replica, whatever is said of it and in which order.
type startModel struct {
	set *Set
	now time.Time
	// start counts the starts that are known, born is that of the last; 0 if it is not known.
	start int
	born  int64
	// sent are the requests that have not ended.
	sent   []sentTo
	listed bool
}

// sentTo is a request with the start that it was sent to.
type sentTo struct {
	use   *Use
	start int
}

func (m *startModel) list(born int64) {
	m.set.put(listed(born), m.now)
	m.listed = true
	if born != 0 && m.born != 0 && born != m.born {
		m.start++
	}
	if born != 0 {
		m.born = born
	}
}

// open counts the requests at the last start.
func (m *startModel) open() int {
	count := 0
	for _, one := range m.sent {
		if one.start == m.start {
			count++
		}
	}
	return count
}

// forget forgets a replica that is not listed and has no request.
func (m *startModel) forget() {
	if !m.listed && m.open() == 0 {
		m.start++
		m.born = 0
	}
}

func (m *startModel) check(t *rapid.T) {
	for _, one := range m.sent {
		if over := one.start != m.start; told(one.use) != over {
			t.Fatalf("a request to start %d of %d is told: %v", one.start, m.start, !over)
		}
	}
	for _, known := range m.set.unlisted {
		if m.listed || known.open != m.open() || known.open == 0 {
			t.Fatalf("an entry is kept that has %d requests, there are %d", known.open, m.open())
		}
	}
	for _, one := range m.set.List(m.now) {
		if one.ID == "r00" && (one.Open != m.open() || one.Batch < 0 || one.PendingTokens < 0) {
			t.Fatalf("%d requests are counted, there are %d: %+v", one.Open, m.open(), one)
		}
	}
}

// TestRestart_Model lists a replica with starts in any order, drops it, sends to it and ends
// requests in any order.
func TestRestart_Model(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &startModel{set: newSet(2), now: time.Unix(1000, 0)}
		m.list(firstBorn)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"list": func(t *rapid.T) {
				m.now = m.now.Add(time.Millisecond)
				m.list(rapid.SampledFrom([]int64{0, firstBorn, secondBorn, thirdBorn}).Draw(t, "born"))
			},
			"drop": func(*rapid.T) {
				m.set.Remove("r00", m.now)
				m.listed = false
				m.forget()
			},
			"send": func(t *rapid.T) {
				ask := Ask{Tokens: 3, Batch: rapid.Bool().Draw(t, "batch")}
				use := m.set.BeginAt(listed(m.born), ask, m.now)
				if use == nil {
					t.Fatal("a request is not sent to the start that is known")
				}
				m.sent = append(m.sent, sentTo{use, m.start})
			},
			"end": m.end,
		})
	})
}

// end ends a request.
func (m *startModel) end(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("no request")
	}
	at := rapid.IntRange(0, len(m.sent)-1).Draw(t, "request")
	use := m.sent[at].use
	if rapid.Bool().Draw(t, "first") {
		use.First(m.now)
	}
	if rapid.Bool().Draw(t, "gives way") {
		use.MarkPreempted()
	}
	use.End(rapid.SampledFrom([]Result{Succeeded, Failed, Refused, Abandoned}).Draw(t, "result"), m.now)
	m.sent = slices.Delete(m.sent, at, at+1)
	m.forget()
}
