package replica

import (
	"testing"
	"time"
)

// notAcceptedAfter is how long the tries of a connection take in these tests.
const notAcceptedAfter = 400 * time.Millisecond

// tryConnections has a request find no connection, again and again from start to end. It returns the time
// of the first ejection; zero if there was none.
func tryConnections(set *Set, id string, start, end time.Time) (ejectedAt time.Time) {
	for at := start; !at.Add(notAcceptedAfter).After(end); at = at.Add(notAcceptedAfter) {
		given := at.Add(notAcceptedAfter)
		set.Begin(id, RequestInfo{}, at).End(NotAccepted, given)
		if _, ejected := set.Count(given); ejected > 0 && ejectedAt.IsZero() {
			ejectedAt = given
		}
	}
	return ejectedAt
}

// TestEnd_NotAcceptedEjectsAfterMorePauseThanASoundReplicaMakes guards against a sound replica that is ejected for a
// pause, and against one that is gone and is tried for long. Pauses far from each other, or with an answer
// in between, do not add up.
func TestEnd_NotAcceptedEjectsAfterMorePauseThanASoundReplicaMakes(t *testing.T) {
	start := time.Unix(1000, 0)
	newSet := func() *Set {
		set := NewSet()
		set.Put(Info{ID: "a", Pool: testPool, Slots: 8})
		return set
	}
	t.Run("pause", func(t *testing.T) {
		if at := tryConnections(newSet(), "a", start, start.Add(maxPause)); !at.IsZero() {
			t.Errorf("ejected after %v", at.Sub(start))
		}
	})
	t.Run("gone", func(t *testing.T) {
		at := tryConnections(newSet(), "a", start, start.Add(10*time.Second))
		if at.IsZero() || at.Sub(start) > maxPause+notAcceptedAfter {
			t.Errorf("ejected after %v, want %v", at.Sub(start), maxPause+notAcceptedAfter)
		}
	})
	t.Run("two pauses", func(t *testing.T) {
		set := newSet()
		second := start.Add(maxPause + pauseMemory)
		tryConnections(set, "a", start, start.Add(maxPause))
		if at := tryConnections(set, "a", second, second.Add(maxPause)); !at.IsZero() {
			t.Errorf("ejected %v after the begin of the second pause", at.Sub(second))
		}
	})
	t.Run("answer in between", func(t *testing.T) {
		set := newSet()
		second := start.Add(maxPause + time.Millisecond)
		tryConnections(set, "a", start, start.Add(maxPause))
		use := set.Begin("a", RequestInfo{}, second)
		use.Received(second)
		use.End(Succeeded, second)
		if at := tryConnections(set, "a", second, second.Add(maxPause)); !at.IsZero() {
			t.Errorf("ejected %v after an answer", at.Sub(second))
		}
	})
}

// TestEnd_PauseIsNoFailure guards against a pause before a connection that is reported to other nodes, which
// would eject the replica together.
func TestEnd_PauseIsNoFailure(t *testing.T) {
	start := time.Unix(1000, 0)
	set := NewSet()
	set.Put(Info{ID: "a", Pool: testPool, Slots: 8})
	tryConnections(set, "a", start, start.Add(maxPause))
	if reports := set.FailureReports(start.Add(maxPause)); len(reports) > 0 {
		t.Errorf("reported as %+v", reports)
	}
}

// TestPick_PausedReplicaIsPreferredLess guards against requests that go on waiting for connections to a replica that
// accepted none a moment ago, though another is free, and against a replica that is never tried again.
func TestPick_PausedReplicaIsPreferredLess(t *testing.T) {
	start := time.Unix(1000, 0)
	given := start.Add(notAcceptedAfter)
	for name, c := range map[string]struct {
		at       time.Time
		answered bool
		want     string
	}{
		"just not accepted":       {given, false, "far"},
		"not accepted since":      {given.Add(pauseRetryInterval), false, "far"},
		"time for another try":    {given.Add(pauseRetryInterval + time.Millisecond), false, "near"},
		"another request answers": {given.Add(time.Millisecond), true, "near"},
	} {
		t.Run(name, func(t *testing.T) {
			set := NewSet()
			set.Put(Info{ID: "near", Pool: testPool, Zone: "a", Slots: 8})
			set.Put(Info{ID: "far", Pool: testPool, Zone: "b", Slots: 8})
			tryConnections(set, "near", start, given)
			if c.answered {
				use := set.Begin("near", RequestInfo{}, given)
				use.Received(given)
				use.End(Succeeded, given)
			}
			criteria := &Criteria{Zone: "a"}
			chosen, err := Pick(set.SnapshotFor(testPool, criteria, c.at), criteria, Weights{CrossZone: 200 * time.Millisecond})
			if err != nil || chosen.ID != c.want {
				t.Errorf("%+v, %v, want %s", chosen, err, c.want)
			}
		})
	}
}
