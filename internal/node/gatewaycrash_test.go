package node

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// harmContact is how long after the third crash all nodes must know of it.
	harmContact = 1500 * time.Millisecond
	// harmRetries is how many replicas the work may still reach after that.
	harmRetries = 3
	// harmCalls is how often the work is sent again after that.
	harmCalls = 40
	// harmEvery is the time between two of these.
	harmEvery = 20 * time.Millisecond
)

var harmBody = []byte("ends what runs it")

// harmSite is a site whose servers end when they run harmBody.
type harmSite struct {
	*gatewaySite
	processes []*standin.Process
	calls     int
}

func newHarmSite(t *testing.T, processes int) *harmSite {
	t.Helper()
	site := &harmSite{gatewaySite: newGatewaySite(t, 0)}
	for i := range processes {
		one := &standin.Process{
			Name: fmt.Sprintf("i-%d", i), Store: site.store, Zone: "z", Slots: 8, Events: siteEvents,
			EventTime: 2 * time.Millisecond, Fuse: 10 * time.Millisecond,
			Harmful: func(_ string, body []byte) bool { return bytes.Equal(body, harmBody) },
			Lapse:   150 * time.Millisecond, Down: 200 * time.Millisecond,
		}
		if err := one.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := one.Close(); err != nil {
				t.Error(err)
			}
		})
		site.processes = append(site.processes, one)
	}
	return site
}

// gateway starts a gateway and waits until it knows all servers.
func (s *harmSite) gateway(id string) *Gateway {
	s.t.Helper()
	gateway := s.launch(id, nil)
	s.eventually("gateway ready", func() bool {
		return gateway.Ready() && len(gateway.replicas.Snapshot("llm", 0, time.Now())) == len(s.processes)
	})
	return gateway
}

// send sends work as a request with an id of its own.
func (s *harmSite) send(gateway *Gateway, body []byte) (status int) {
	s.t.Helper()
	s.calls++
	status, _, _ = s.call(gateway, "POST", "/resume/work", fmt.Sprintf("q%d", s.calls), body)
	return status
}

// crashes returns the ends that harmful work brought about by what arrived after a time.
func (s *harmSite) crashes(after time.Time) int {
	count := 0
	for _, one := range s.processes {
		for _, crash := range one.Crashes() {
			if crash.Sent.After(after) {
				count++
			}
		}
	}
	return count
}

// sendUntilThree sends the work to the gateways in turn until it has ended three servers.
func (s *harmSite) sendUntilThree(gateways []*Gateway) {
	s.t.Helper()
	begun := time.Time{}
	for turn := 0; s.crashes(begun) < 3; turn++ {
		if turn > 100 {
			s.t.Fatalf("%d servers ended after %d calls", s.crashes(begun), turn)
		}
		s.send(gateways[turn%len(gateways)], harmBody)
	}
}

// sendOn sends the work on and fails if more servers end than may.
func (s *harmSite) sendOn(gateways []*Gateway) {
	s.t.Helper()
	time.Sleep(harmContact)
	since := time.Now()
	for turn := range harmCalls {
		s.send(gateways[turn%len(gateways)], harmBody)
		time.Sleep(harmEvery)
	}
	if ended := s.crashes(since); ended > harmRetries {
		s.t.Errorf("work that had ended three servers ended %d more, at most %d may", ended, harmRetries)
	}
}

// TestGateway_WorkThatEndsReplicasIsNotSentOn sends one piece of work again and again,
// under new ids and at all gateways, which ends each server that runs it.
func TestGateway_WorkThatEndsReplicasIsNotSentOn(t *testing.T) {
	three := func(site *harmSite) []*Gateway {
		return []*Gateway{site.gateway("a"), site.gateway("b"), site.gateway("c")}
	}
	t.Run("all nodes and the store there", func(t *testing.T) {
		t.Parallel()
		site := newHarmSite(t, 8)
		gateways := three(site)
		site.sendUntilThree(gateways)
		site.sendOn(gateways)
		for _, gateway := range gateways {
			if status := site.send(gateway, []byte("harmless")); status != 200 {
				t.Errorf("harmless work gets %d", status)
			}
		}
	})
	t.Run("no datagrams between nodes", func(t *testing.T) {
		t.Parallel()
		site := newHarmSite(t, 8)
		site.alone = true
		gateways := three(site)
		site.sendUntilThree(gateways)
		site.sendOn(gateways)
	})
	t.Run("the store answers nothing", func(t *testing.T) {
		t.Parallel()
		site := newHarmSite(t, 12)
		gateways := three(site)
		site.eventually("nodes know each other", func() bool {
			for _, gateway := range gateways {
				if gateway.roster.Count() != len(gateways) {
					return false
				}
			}
			return true
		})
		site.store.SetTrouble(func(string) standin.Trouble { return standin.Busy })
		site.sendUntilThree(gateways)
		site.sendOn(gateways)
	})
	t.Run("the whole fleet restarts", func(t *testing.T) {
		t.Parallel()
		site := newHarmSite(t, 8)
		gateways := three(site)
		site.sendUntilThree(gateways)
		time.Sleep(harmContact)
		for _, gateway := range gateways {
			gateway.Kill()
		}
		site.sendOn(three(site))
	})
}
