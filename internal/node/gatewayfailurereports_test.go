package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// TestGateway_LeavesAReplicaOutThatFailsForOthers has a replica fail all that two
// gateways send there, while it says that it is well: a third, which never met it, leaves
// it out too, and uses it again once it serves.
func TestGateway_LeavesAReplicaOutThatFailsForOthers(t *testing.T) {
	site := newGatewaySite(t, 4)
	bad := site.servers[0]
	bad.Behave(func(int) standin.Behaviour { return standin.Fail })
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
		for _, one := range gateway.replicas.List(time.Now()) {
			if one.ID == bad.ID {
				return one.Ejected
			}
		}
		return false
	}
	number := 0
	site.eventually("the third gateway leaves it out", func() bool {
		for _, gateway := range gateways[:2] {
			number++
			site.call(gateway, "POST", fmt.Sprintf("/resume/%d", number), fmt.Sprintf("r%d", number), nil)
		}
		return ejected(gateways[2])
	})
	bad.Behave(nil)
	site.eventually("it is used again", func() bool { return !ejected(gateways[2]) })
}
