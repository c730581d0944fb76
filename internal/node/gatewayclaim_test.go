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
	site.eventually("nodes know each other", func() bool {
		for _, gateway := range gateways {
			if gateway.roster.Count() != len(gateways) || len(gateway.owners.Live()) != len(gateways) {
				return false
			}
		}
		return true
	})
	trials := make([]quarantine.Trial, len(gateways))
	for i := range trials {
		content := quarantine.Content{Body: []byte{byte(i)}}
		trials[i] = quarantine.Trial{Work: content.Work(), ID: uint64(i)}
	}
	for number := range 5 {
		replica := fmt.Sprintf("replica-%d", number)
		for i, gateway := range gateways {
			trial := trials[i]
			trial.ID += uint64(len(gateways) * number)
			if got := gateway.quarantine.guard.ClaimReplica(t.Context(), trial, replica); got != (i == 0) {
				t.Errorf("%s: claim of node %d granted: %v", replica, i, got)
			}
		}
		site.eventually("all nodes know the claim", func() bool {
			for _, gateway := range gateways {
				if !gateway.quarantine.guard.ClaimedReplicas()[replica] {
					return false
				}
			}
			return true
		})
	}
	gateways[0].quarantine.guard.RecordSuccess(trials[0].Work)
	if claimed := gateways[0].quarantine.guard.ClaimedReplicas(); len(claimed) > 0 {
		t.Errorf("claimed after the trial succeeded: %v", claimed)
	}
}
