package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

func TestSetListTime_OldListMakesReplicasPresumedCold(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, true, now)
	later := now.Add(time.Minute)
	if got := admitted(set, "warm", 5, later); got != 5 {
		t.Fatalf("admitted %d of 5 without a list time, want all", got)
	}
	set.SetListTime(later, later)
	if got := admitted(set, "warm", 5, later.Add(maxListAge)); got != 5 {
		t.Errorf("admitted %d of 5 with a current list, want all", got)
	}
	old := later.Add(maxListAge + time.Millisecond)
	if got := admitted(set, "warm", 5, old); got != 1 {
		t.Errorf("admitted %d of 5 with an old list, want 1", got)
	}
	if set.CountCold(old) != 0 || len(set.ColdChanges(old)) != 0 || !set.PresumesCold(old) {
		t.Error("replicas that are presumed cold are counted as cold")
	}
	set.SetListTime(now, old)
	if got := admitted(set, "warm", 5, old); got != 0 {
		t.Errorf("admitted %d after an older list time, want 0", got)
	}
	changed := set.Changed()
	set.SetListTime(old, old)
	select {
	case <-changed:
	default:
		t.Error("waiting requests are not notified that the list is current")
	}
	if got := admitted(set, "warm", 5, old); got != 5 {
		t.Errorf("admitted %d of 5 with a list that is current again, want all", got)
	}
}

func TestSetListTime_AffectsOnlyPoolsWithLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, false, now)
	set.put(Info{ID: "other", Pool: "other", Slots: 8}, now)
	set.SetListTime(now, now)
	if got := admitted(set, "other", 5, now.Add(time.Minute)); got != 5 {
		t.Errorf("admitted %d of 5 in a pool without a limit, want all", got)
	}
}

// granted returns how many of three sends a set grants to a node that only presumes a replica to be
// cold.
func granted(set *Set, id string, now time.Time) int {
	count := 0
	for range 3 {
		if set.GrantPresumed(id, now) {
			count++
		}
	}
	return count
}

func TestGrantPresumed_UnlimitedIfWarm(t *testing.T) {
	now := time.Unix(1000, 0)
	old := now.Add(time.Minute)
	set := newColdSet("a", []string{"a"}, true, now)
	set.SetListTime(now, now)
	for _, tc := range []struct {
		name, id string
		at       time.Time
		want     int
	}{
		{"warm, current list", "warm", now, 3},
		{"cold, current list", "cold", now, 1},
		{"not listed", "other", now, 0},
		{"warm, old list", "warm", old, 1},
	} {
		if got := granted(set, tc.id, tc.at); got != tc.want {
			t.Errorf("%s: %d sends granted, want %d", tc.name, got, tc.want)
		}
	}
	set.setEvacuated(map[string]bool{"": true}, now)
	if granted(set, "warm", now) != 0 {
		t.Error("a send is granted at an evacuated replica")
	}
}

// outageFleet simulates nodes during an outage of the store: all lists are old and no replica is
// cold.
type outageFleet struct {
	sets    map[string]*Set
	nodeIDs []string
	// waiting are the requests that have not been sent, waits the waiting times of the others.
	waiting []outageRequest
	waits   []time.Duration
	random  *rand.Rand
}

type outageRequest struct {
	node             string
	arrived, retryAt time.Time
}

const (
	outageStep = 5 * time.Millisecond
	// retryInterval is the pause between two requests for a grant, as in package forward.
	retryInterval = 100 * time.Millisecond
)

func newOutageFleet(nodes, replicas int, now time.Time) *outageFleet {
	f := &outageFleet{sets: map[string]*Set{}, random: rand.New(rand.NewPCG(1, 1))}
	zoneOf := func(i int) string { return fmt.Sprint("z", i%3) }
	var members []place.Node
	for i := range nodes {
		members = append(members, place.Node{ID: fmt.Sprint("node", i), Place: place.Place{Zone: zoneOf(i)}})
	}
	for _, member := range members {
		set := NewSet()
		set.ColdTolerance = ColdTolerance{Over: 1.5, Slack: 5}
		set.SetColdLimits(map[string]ColdLimit{testPool: {Rate: 15, Start: 3 * time.Second}})
		set.Divide(member.ID, members)
		for i := range replicas {
			set.put(Info{ID: fmt.Sprint("r", i), Pool: testPool, Zone: zoneOf(i), Slots: 8}, now)
		}
		set.SetListTime(now, now)
		f.sets[member.ID], f.nodeIDs = set, append(f.nodeIDs, member.ID)
	}
	return f
}

// serve tries to send the waiting requests that are due.
func (f *outageFleet) serve(now time.Time) {
	waiting := f.waiting[:0]
	for _, request := range f.waiting {
		if now.Before(request.retryAt) {
			waiting = append(waiting, request)
			continue
		}
		if wait, placed := f.tryPlace(request.node, now); !placed {
			request.retryAt = now.Add(wait)
			waiting = append(waiting, request)
			continue
		}
		f.waits = append(f.waits, now.Sub(request.arrived))
	}
	f.waiting = waiting
}

// tryPlace sends a request within the node's own part of a rate or by a grant of a sender.
// Otherwise it returns the time to wait.
func (f *outageFleet) tryPlace(node string, now time.Time) (wait time.Duration, placed bool) {
	set := f.sets[node]
	criteria := &Criteria{RequestInfo: RequestInfo{Tokens: 100}}
	chosen, err := Pick(set.SnapshotFor(testPool, criteria, now), criteria, Weights{})
	if err == nil {
		set.Begin(chosen.ID, criteria.RequestInfo, now).End(Succeeded, now)
		return 0, true
	}
	noReplica := (*NoReplicaError)(nil)
	if errors.As(err, &noReplica) && noReplica.ColdWait <= retryInterval {
		return noReplica.ColdWait, false
	}
	senders := set.ColdSenders(testPool, criteria, now)
	if len(senders) == 0 {
		return retryInterval, false
	}
	sender := senders[f.random.IntN(len(senders))]
	return retryInterval, f.sets[sender.Node].GrantPresumed(sender.Replica, now)
}

// With old lists on all nodes, the rates of presumed cold replicas suffice for the usual traffic of
// a large deployment.
func TestSetListTime_RequestsAreServedDuringStoreOutage(t *testing.T) {
	const nodes, replicas, perSecond, length = 76, 89, 335, 10 * time.Second
	start := time.Unix(1000, 0)
	f := newOutageFleet(nodes, replicas, start)
	now := start.Add(time.Minute)
	backlog := 0.0
	for end := now.Add(length); now.Before(end); now = now.Add(outageStep) {
		for backlog += perSecond * outageStep.Seconds(); backlog >= 1; backlog-- {
			f.waiting = append(f.waiting, outageRequest{node: f.nodeIDs[f.random.IntN(nodes)], arrived: now, retryAt: now})
		}
		f.serve(now)
	}
	slices.Sort(f.waits)
	quantile := func(share float64) time.Duration { return f.waits[int(share*float64(len(f.waits)-1))] }
	t.Logf("%d requests sent, %d waiting; wait: median %v, 95%% %v, 99%% %v, longest %v", len(f.waits), len(f.waiting), quantile(0.5), quantile(0.95), quantile(0.99), quantile(1))
	// The objective for the first event of such deployments.
	const objective = 300 * time.Millisecond
	if len(f.waiting) > perSecond/10 || quantile(0.99) > objective {
		t.Errorf("%d requests still wait, 99%% of the others waited for at most %v", len(f.waiting), quantile(0.99))
	}
}
