package replica

import (
	"testing"
	"time"
)

// TestPick_SilentReplicaIsPreferredLess guards against new requests that go on being sent to a replica which
// has been silent for longer than usual, until the requests there are given up after 1.7 s.
func TestPick_SilentReplicaIsPreferredLess(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		silence time.Duration
		// open is set if the replica still has a request of this node.
		open bool
		want string
	}{
		"usual pause":         {usualSilence, true, "near"},
		"unusual pause":       {usualSilence + 100*time.Millisecond, true, "far"},
		"nothing is expected": {usualSilence + 100*time.Millisecond, false, "near"},
	} {
		t.Run(name, func(t *testing.T) {
			set := NewSet()
			set.Put(Info{ID: "near", Pool: testPool, Zone: "a", Slots: 8})
			set.Put(Info{ID: "far", Pool: testPool, Zone: "b", Slots: 8})
			use := set.Begin("near", RequestInfo{}, start.Add(-time.Second))
			use.Received(start)
			if !c.open {
				use.End(Succeeded, start)
			}
			criteria := &Criteria{Zone: "a"}
			now := start.Add(c.silence)
			chosen, err := Pick(set.SnapshotFor(testPool, criteria, now), criteria, Weights{CrossZone: 200 * time.Millisecond})
			if err != nil || chosen.ID != c.want {
				t.Errorf("after a silence of %v: %+v, %v, want %s", c.silence, chosen, err, c.want)
			}
		})
	}
}

// TestCandidate_SilenceCountsFromTheFirstOpenRequest guards against a replica that counts as silent for the time
// before it had any request.
func TestCandidate_SilenceCountsFromTheFirstOpenRequest(t *testing.T) {
	start := time.Unix(1000, 0)
	set := NewSet()
	set.Put(Info{ID: "a", Pool: testPool, Slots: 8})
	set.Begin("a", RequestInfo{}, start)
	second := set.Begin("a", RequestInfo{}, start.Add(time.Second))
	second.End(Abandoned, start.Add(time.Second))
	silence := set.SnapshotFor(testPool, &Criteria{}, start.Add(1500*time.Millisecond))[0].Silence
	if silence != 1500*time.Millisecond {
		t.Errorf("silent for %v, want 1.5s", silence)
	}
}
