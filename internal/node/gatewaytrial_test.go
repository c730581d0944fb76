package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
)

// TestGateway_NewWorkIsTriedAtOnce guards against refusals of new work that was present at three
// crashes it did not cause (soak seeds 990631 and 8050): requests of it must be answered at every
// node, also while the node that grants its trials has just been lost.
func TestGateway_NewWorkIsTriedAtOnce(t *testing.T) {
	for name, loseOwner := range map[string]bool{"all nodes": false, "owner lost": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := newCrashSite(t, 4)
			gateways := []*Gateway{site.startGateway("a"), site.startGateway("b"), site.startGateway("c")}
			site.waitForOwners(gateways)
			body := []byte("a new route")
			work := (&quarantine.Content{Method: http.MethodPost, Host: siteHost, Target: "/resume/work", Body: body}).Work()
			reportCrashes(gateways, work)
			if loseOwner {
				gateways = killOwner(gateways, work)
			}
			var group sync.WaitGroup
			for _, gateway := range gateways {
				for i := range 3 {
					group.Go(func() {
						id := fmt.Sprintf("new-%s-%d", gateway.settings.Node.ID, i)
						if status, _, header := site.call(gateway, http.MethodPost, "/resume/work", id, body); status != http.StatusOK {
							t.Errorf("request %s gets %d, %v", id, status, header)
						}
					})
				}
			}
			group.Wait()
		})
	}
}

// waitForOwners waits until all gateways know each other and agree on who grants trials and claims.
func (s *crashSite) waitForOwners(gateways []*Gateway) {
	s.t.Helper()
	s.eventually("nodes know each other", func() bool {
		for _, gateway := range gateways {
			if gateway.roster.Count() != len(gateways) || len(gateway.owners.Live()) != len(gateways) {
				return false
			}
		}
		return true
	})
}

// reportCrashes reports three crashes in short succession to all gateways, each during a run of
// work.
func reportCrashes(gateways []*Gateway, work quarantine.Work) {
	for i := range quarantine.DefaultCrashLimit {
		sentAt := time.Now()
		time.Sleep(20 * time.Millisecond)
		report := quarantine.CrashReport{
			Replica: fmt.Sprintf("gone-%d", i), Runs: []quarantine.Run{{Work: work, SentAt: sentAt}}, At: time.Now(),
		}
		for _, gateway := range gateways {
			gateway.quarantine.guard.RecordCrash(report)
		}
	}
}

// killOwner kills the gateway that grants the trials of a work, and returns the others.
func killOwner(gateways []*Gateway, work quarantine.Work) []*Gateway {
	owner := lease.Node(gateways[0].owners.Preferred(work.String()))
	var others []*Gateway
	for _, gateway := range gateways {
		if gateway.settings.Node.ID == owner {
			gateway.Kill()
			continue
		}
		others = append(others, gateway)
	}
	return others
}
