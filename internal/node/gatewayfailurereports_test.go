package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// TestGateway_EjectsReplicaThatFailsForOtherNodes has a replica fail all requests of two gateways
// while it is listed as ready. A third gateway, which sent it none, must eject it too, and use it
// again once it serves.
func TestGateway_EjectsReplicaThatFailsForOtherNodes(t *testing.T) {
	site := newGatewaySite(t, 4)
	failing := site.servers[0]
	failing.SetBehaviour(func(int) standin.Behaviour { return standin.Fail })
	gateways := []*Gateway{site.start("a"), site.start("b"), site.start("c")}
	site.eventually("nodes know each other", func() bool {
		for _, gateway := range gateways {
			if gateway.roster.Count() != len(gateways) || gateway.roster.Address("a") == "" || gateway.roster.Address("c") == "" {
				return false
			}
		}
		return true
	})
	ejected := func(gateway *Gateway) bool {
		for _, r := range gateway.replicas.List(time.Now()) {
			if r.ID == failing.ID {
				return r.Ejected
			}
		}
		return false
	}
	number := 0
	site.eventually("the third gateway ejects it", func() bool {
		for _, gateway := range gateways[:2] {
			number++
			site.call(gateway, "POST", fmt.Sprintf("/resume/%d", number), fmt.Sprintf("r%d", number), nil)
		}
		return ejected(gateways[2])
	})
	failing.SetBehaviour(nil)
	site.eventually("it is used again", func() bool { return !ejected(gateways[2]) })
}
