package replica

import (
	"testing"
	"time"
)

func TestGrantCold_UsesOwnPartOfRate(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newColdSet("a", []string{"a"}, true, now)
	if !set.GrantCold("cold", now) {
		t.Fatal("the first grant is refused")
	}
	if set.GrantCold("cold", now) || admitted(set, "cold", 1, now) != 0 {
		t.Error("one send of the rate is used twice")
	}
	if set.GrantCold("warm", now) || set.GrantCold("other", now) {
		t.Error("a send is granted at a replica that is warm or not listed")
	}
	set.setEvacuated(map[string]bool{"": true}, now)
	if set.GrantCold("cold", now.Add(time.Second)) {
		t.Error("a send is granted at an evacuated replica")
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
		t.Fatalf("ColdSenders = %v, want one entry for each sender", senders)
	}
	for _, sender := range senders {
		if sender.Replica != "cold" || !sends[sender.Node] {
			t.Errorf("%+v is not a sender: nodes that may send are %v", sender, sends)
		}
	}
}
