package replica

import (
	"testing"
	"time"
)

func TestGrantCold_ComesOutOfTheNodesOwnPart(t *testing.T) {
	now := time.Unix(1000, 0)
	set := coldSet("a", []string{"a"}, true, now)
	if !set.GrantCold("cold", now) {
		t.Fatal("nothing was granted though nothing was sent")
	}
	if set.GrantCold("cold", now) || admitted(set, "cold", 1, now) != 0 {
		t.Error("the same place was given twice")
	}
	if set.GrantCold("warm", now) || set.GrantCold("other", now) {
		t.Error("a place at a replica that is not cold, or not there, was given")
	}
	set.setEvacuated(map[string]bool{"": true}, now)
	if set.GrantCold("cold", now.Add(time.Second)) {
		t.Error("a place at an evacuated replica was given")
	}
}

func TestFeeders_AgreeWithWhoFeeds(t *testing.T) {
	now := time.Unix(1000, 0)
	nodes := []string{"a", "b", "c", "d", "e", "f", "g"}
	feeds := map[string]bool{}
	for _, node := range nodes {
		feeds[node] = admitted(coldSet(node, nodes, false, now), "cold", 1, now) == 1
	}
	set := coldSet("other", nodes, false, now)
	named := set.ColdSenders(testPool, &Criteria{}, now)
	if len(named) != maxColdSenders {
		t.Fatalf("named %v", named)
	}
	for _, one := range named {
		if one.Replica != "cold" || !feeds[one.Node] {
			t.Errorf("%+v does not feed it: %v", one, feeds)
		}
	}
}
