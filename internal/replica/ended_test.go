package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	endedStep = 25 * time.Millisecond
	// endedListDelay is the time from the start of a replica until the list shows it.
	endedListDelay = 1200 * time.Millisecond
)

// endedFleet simulates nodes whose pool of replicas has ended: connections are refused until a replica
// is back. Each node always has the same number of requests waiting.
type endedFleet struct {
	t       *testing.T
	now     time.Time
	nodes   []string
	sets    []*Set
	waiting int
	// up are the replicas that accept connections, sent the times of the requests that these got.
	up   map[string]bool
	sent map[string][]time.Time
	// cut is set for the nodes that reach no replica, sentBy counts the requests that replicas got.
	cut    map[string]bool
	sentBy map[string]int
	// asked counts the requests for grants.
	asked int
	// ending holds the answers under way.
	ending []*Use
}

// newEndedFleet returns nodes that had an answer of each of their replicas a moment ago.
func newEndedFleet(t *testing.T, nodes, replicas, waiting int, limit ColdLimit) *endedFleet {
	f := &endedFleet{t: t, now: time.Unix(1000, 0), waiting: waiting, up: map[string]bool{}, sent: map[string][]time.Time{}, cut: map[string]bool{}, sentBy: map[string]int{}}
	for i := range nodes {
		f.nodes = append(f.nodes, fmt.Sprint("node", i))
	}
	for _, node := range f.nodes {
		set := NewSet()
		set.ColdTolerance = ColdTolerance{Over: 1.5, Slack: 5}
		set.SetColdLimits(map[string]ColdLimit{testPool: limit})
		set.Divide(node, nodesWithoutPlace(f.nodes...))
		for i := range replicas {
			info := endedReplica(i, firstStart, 0)
			set.put(info, f.now)
			use := set.Begin(info.ID, RequestInfo{}, f.now)
			use.Received(f.now)
			use.End(Succeeded, f.now)
		}
		f.sets = append(f.sets, set)
	}
	return f
}

// endedReplica describes one start of a replica.
func endedReplica(i int, startedUnixMs int64, coldLeft time.Duration) Info {
	return Info{ID: fmt.Sprint("r", i), Pool: testPool, Slots: 8, StartedUnixMs: startedUnixMs, ColdLeft: coldLeft}
}

// run advances the time while all nodes send what their sets permit.
func (f *endedFleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(endedStep) {
		for _, use := range f.ending {
			use.Received(f.now)
			use.End(Succeeded, f.now)
		}
		f.ending = nil
		for i := range f.sets {
			f.sendWaiting(i)
		}
	}
}

// sendWaiting lets all waiting requests of a node choose a replica before any of them has a result.
func (f *endedFleet) sendWaiting(node int) {
	set, refused := f.sets[node], []*Use{}
	for range f.waiting {
		criteria := &Criteria{RequestInfo: RequestInfo{Tokens: 100}}
		chosen, err := Pick(set.SnapshotFor(testPool, criteria, f.now), criteria, Weights{})
		if err != nil {
			if chosen = f.requestGrant(node, criteria); chosen == nil {
				continue
			}
		}
		use := set.BeginAt(chosen.Info, criteria.RequestInfo, f.now)
		switch {
		case use == nil:
			f.t.Fatalf("a replica was chosen that must not get a request: %+v", chosen.Cold)
		case f.up[chosen.ID] && !f.cut[f.nodes[node]]:
			f.sentBy[f.nodes[node]]++
			f.sent[chosen.ID] = append(f.sent[chosen.ID], f.now)
			f.ending = append(f.ending, use)
		default:
			refused = append(refused, use)
		}
	}
	for _, use := range refused {
		use.End(Unreachable, f.now)
	}
}

// requestGrant asks a node that may send to a cold replica. It returns the replica, or nil.
func (f *endedFleet) requestGrant(node int, criteria *Criteria) *Candidate {
	senders := f.sets[node].ColdSenders(testPool, &Criteria{}, f.now)
	if len(senders) == 0 {
		return nil
	}
	f.asked++
	sender := senders[f.asked%len(senders)]
	granter := f.sets[slices.Index(f.nodes, sender.Node)]
	grant := granter.GrantCold
	if sender.Ended {
		grant = granter.GrantEnded
	}
	if !granter.IsCurrentStart(sender.Replica, sender.StartedUnixMs) || !grant(sender.Replica, f.now) {
		return nil
	}
	criteria.Granted = true
	candidate, _ := f.sets[node].CandidateByID(sender.Replica, f.now)
	return candidate
}

// list makes all nodes learn of a start of a replica.
func (f *endedFleet) list(info Info) {
	for _, set := range f.sets {
		set.put(info, f.now)
	}
}

// maxPerSecond returns the maximum number of requests to a replica in any one second.
func (f *endedFleet) maxPerSecond(id string) int {
	most, first := 0, 0
	for last, at := range f.sent[id] {
		for at.Sub(f.sent[id][first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against waiting requests that all reach a replica in its cold start: with the whole pool gone
// a node hears nothing for over a second, and must not take that for its own isolation and send without
// a limit to replicas that refuse connections.
func TestColdRate_HoldsWhenEndedPoolReturns(t *testing.T) {
	for _, test := range []struct {
		nodes, waiting int
		rate           float64
		down           time.Duration
	}{
		{nodes: 1, waiting: 20, rate: 2, down: 3 * time.Second},
		{nodes: 13, waiting: 5, rate: 2, down: 1500 * time.Millisecond},
		{nodes: 13, waiting: 5, rate: 2, down: 10 * time.Second},
		{nodes: 20, waiting: 5, rate: 15, down: 3 * time.Second},
		{nodes: 320, waiting: 1, rate: 15, down: 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d nodes, %v a second, %v", test.nodes, test.rate, test.down), func(t *testing.T) {
			limit := ColdLimit{Rate: test.rate, Start: 3 * time.Second}
			f := newEndedFleet(t, test.nodes, 8, test.waiting, limit)
			f.run(test.down)
			f.up["r0"] = true
			f.run(endedListDelay)
			f.list(endedReplica(0, secondStart, limit.Start-endedListDelay))
			f.run(limit.Start - endedListDelay - endedStep)
			bound := ColdTolerance{Over: 1.5, Slack: 5}.bound(limit.Rate)
			if most := f.maxPerSecond("r0"); float64(most) > bound || most == 0 {
				t.Errorf("a replica got %d requests in a second of its cold start, want 1 to %v", most, bound)
			}
		})
	}
}

// Guards against a node that was cut off from all replicas and is then held to the rate of cold ones,
// although other nodes are in contact with these and know them as warm.
func TestEnded_NodeThatWasCutOffGetsGrantsWithoutLimit(t *testing.T) {
	limit := ColdLimit{Rate: 2, Start: 3 * time.Second}
	f := newEndedFleet(t, 5, 8, 10, limit)
	for i := range 8 {
		f.up[fmt.Sprint("r", i)] = true
	}
	f.run(2 * time.Second)
	f.cut["node0"] = true
	f.run(5 * time.Second)
	f.cut["node0"], f.sentBy["node0"] = false, 0
	f.run(endedStep)
	if got := f.sentBy["node0"]; got != f.waiting {
		t.Errorf("%d of %d waiting requests were sent at once after the node was cut off", got, f.waiting)
	}
	f.run(time.Second)
	if got, want := f.sentBy["node0"], f.waiting*41; got < want {
		t.Errorf("%d requests were sent in the next second, want %d", got, want)
	}
}

// Guards against replicas that stay limited for long after connections to all of them were refused for
// a while, though none has restarted.
func TestEnded_PoolThatDidNotRestartIsWarmSoon(t *testing.T) {
	f := newEndedFleet(t, 5, 8, 10, ColdLimit{Rate: 2, Start: 3 * time.Second})
	f.run(5 * time.Second)
	for i := range 8 {
		f.up[fmt.Sprint("r", i)] = true
	}
	// Senders get their first answers within a second. A node that is none gets one without a limit once
	// these know the replicas as warm, and then waits for the list itself.
	f.run(time.Second + 2*startListedDelay)
	f.sentBy = map[string]int{}
	f.run(endedStep)
	for _, node := range f.nodes {
		if got := f.sentBy[node]; got != f.waiting {
			t.Errorf("%s sent %d of %d waiting requests at once, want all", node, got, f.waiting)
		}
	}
}

// Guards against a node that knows nothing of a replica, or has just heard its first answer since a
// restart that is not listed yet, and tells others that the replica is warm.
func TestGrantEnded_LimitedWithoutLongContact(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, true, now)
	grants := func(now time.Time) int {
		count := 0
		for range 5 {
			if set.GrantEnded("warm", now) {
				count++
			}
		}
		return count
	}
	if got := grants(now); got != 1 {
		t.Errorf("%d sends to a replica were granted at once without contact, want 1", got)
	}
	now = now.Add(time.Second)
	use := set.Begin("warm", RequestInfo{}, now)
	use.Received(now)
	if got := grants(now); got != 1 {
		t.Errorf("%d sends to a replica were granted at its first answer, want 1", got)
	}
	for range 4 {
		now = now.Add(startListedDelay / 3)
		use.Received(now)
	}
	if got := grants(now); got != 5 {
		t.Errorf("%d of 5 sends to a replica were granted after long contact", got)
	}
	if got := grants(now.Add(2 * recentContact)); got != 1 {
		t.Errorf("%d sends to a replica were granted long after its last answer, want 1", got)
	}
	other := newColdSet("a", []string{"b"}, true, now)
	if other.GrantEnded("warm", now) || other.GrantEnded("unknown", now) {
		t.Error("a node that is not a sender of a replica granted a send without contact")
	}
}

// Guards against a node that gets no grants, such as one that sends only items, and never again uses a
// pool whose replicas could not be reached for a moment.
func TestEnded_ListedReplicaIsUsedAgainWithoutGrants(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"b", "c"}, false, now)
	now = now.Add(10 * time.Second)
	set.Begin("cold", RequestInfo{}, now).End(Unreachable, now)
	if got := admitted(set, "cold", 5, now.Add(endedMax-time.Millisecond)); got != 0 {
		t.Errorf("a node that is no sender sent %d requests to a replica whose pool has ended", got)
	}
	now = now.Add(endedMax)
	if got := admitted(set, "cold", 5, now); got != 5 {
		t.Errorf("%d of 5 requests were sent to a replica that is still listed, want all", got)
	}
	set.Begin("cold", RequestInfo{}, now).End(Unreachable, now)
	if got := admitted(set, "cold", 5, now.Add(time.Second)); got != 0 {
		t.Errorf("%d requests were sent to a replica that still accepts no connections, want none", got)
	}
}
