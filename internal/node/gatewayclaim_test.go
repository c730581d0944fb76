package node

import (
	"fmt"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
)

// TestGateway_TrialsClaimReplicas guards against trials of two nodes on one replica: a claim of one node
// must be known at the others, which must not get the same replica, whichever node grants its claims.
func TestGateway_TrialsClaimReplicas(t *testing.T) {
	site := newCrashSite(t, 1)
	gateways := []*Gateway{site.startGateway("a"), site.startGateway("b"), site.startGateway("c")}
	site.waitForOwners(gateways)
	trials := make([]quarantine.Trial, len(gateways))
	for i := range trials {
		content := quarantine.Content{Body: []byte{byte(i)}}
		trials[i] = quarantine.Trial{Work: content.Work(), ID: uint64(i)}
	}
	claim := func(number int, replica string) bool {
		return gateways[number].quarantine.guard.ClaimReplica(t.Context(), trials[number], replica)
	}
	if !claim(0, "told") {
		t.Error("a free replica is not granted")
	}
	site.eventually("all nodes know the claim", func() bool {
		for _, gateway := range gateways {
			if !gateway.quarantine.guard.ClaimedReplicas()["told"] {
				return false
			}
		}
		return true
	})
	// Of these claims only the node that grants them knows.
	gateways[0].quarantine.broadcastClaim = nil
	for number := range 6 {
		replica := fmt.Sprintf("untold-%d", number)
		if !claim(0, replica) || claim(1, replica) || claim(2, replica) {
			t.Errorf("%s is not granted to the first of three trials alone", replica)
		}
	}
	if !claim(1, "free") || !claim(2, "another") {
		t.Error("a free replica is not granted")
	}
	gateways[0].quarantine.guard.RecordSuccess(trials[0].Work)
	if claimed := gateways[0].quarantine.guard.ClaimedReplicas(); claimed["untold-5"] {
		t.Errorf("claimed after the trial succeeded: %v", claimed)
	}
}
