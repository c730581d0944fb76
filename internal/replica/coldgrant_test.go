package replica

import (
	"testing"
	"time"
)

func TestGrantCold_UsesOwnPartOfRate(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, true, now)
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

func TestColdSenders_MatchNodesThatSend(t *testing.T) {
	now := time.Unix(1000, 0)
	nodes := []string{"a", "b", "c", "d", "e", "f", "g"}
	sends := map[string]bool{}
	for _, node := range nodes {
		sends[node] = admitted(newColdSet(node, nodes, false, now), "cold", 1, now) == 1
	}
	set := newColdSet("other", nodes, false, now)
	senders := set.ColdSenders(testPool, &Criteria{}, now)
	if len(senders) != maxColdSenders {
		t.Fatalf("named %v", senders)
	}
	for _, sender := range senders {
		if sender.Replica != "cold" || !sends[sender.Node] {
			t.Errorf("%+v does not feed it: %v", sender, sends)
		}
	}
}
