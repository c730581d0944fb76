package node

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// crashPropagationTime is the time after the third crash within which all nodes must know of
	// it.
	crashPropagationTime = 1500 * time.Millisecond
	// maxFurtherCrashes is the number of replicas that the work may still crash after
	// crashPropagationTime.
	maxFurtherCrashes = 3
	// repeatedCalls is how often the work is sent after crashPropagationTime, and
	// repeatedCallInterval the time between two of these calls.
	repeatedCalls        = 40
	repeatedCallInterval = 20 * time.Millisecond
)

var crashingBody = []byte("ends what runs it")

// crashSite is a site whose servers crash when they run crashingBody.
type crashSite struct {
	*gatewaySite
	processes []*standin.Process
	calls     int
}

func newCrashSite(t *testing.T, processes int) *crashSite {
	t.Helper()
	site := &crashSite{gatewaySite: newGatewaySite(t, 0)}
	for i := range processes {
		process := &standin.Process{
			Name: fmt.Sprintf("i-%d", i), Store: site.store, Zone: "z", Slots: 8, Events: siteEvents,
			EventTime: 2 * time.Millisecond, CrashDelay: 10 * time.Millisecond,
			IsHarmful:    func(_ string, body []byte) bool { return bytes.Equal(body, crashingBody) },
			RemovalDelay: 150 * time.Millisecond, Downtime: 200 * time.Millisecond,
		}
		startProcess(t, process)
		site.processes = append(site.processes, process)
	}
	return site
}

// startProcess starts a server process for the duration of the test.
func startProcess(t *testing.T, process *standin.Process) {
	t.Helper()
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := process.Close(); err != nil {
			t.Error(err)
		}
	})
}

// startGateway starts a gateway and waits until it knows all servers.
func (s *crashSite) startGateway(id string) *Gateway {
	s.t.Helper()
	gateway := s.launch(id, nil)
	s.eventually("gateway ready", func() bool {
		return gateway.Ready() && len(gateway.replicas.Snapshot("llm", 0, time.Now())) == len(s.processes)
	})
	return gateway
}

// send sends work as a request with a new ID.
func (s *crashSite) send(gateway *Gateway, body []byte) (status int) {
	s.t.Helper()
	s.calls++
	status, _, _ = s.call(gateway, "POST", "/resume/work", fmt.Sprintf("q%d", s.calls), body)
	return status
}

// crashes returns the number of crashes caused by requests that were sent after a time.
func (s *crashSite) crashes(after time.Time) int {
	count := 0
	for _, process := range s.processes {
		for _, crash := range process.Crashes() {
			if crash.Received.After(after) {
				count++
			}
		}
	}
	return count
}

// sendUntilThreeCrashes sends the work to the gateways in turn until it has crashed three servers.
func (s *crashSite) sendUntilThreeCrashes(gateways []*Gateway) {
	s.t.Helper()
	epoch := time.Time{}
	for turn := 0; s.crashes(epoch) < 3; turn++ {
		if turn > 100 {
			s.t.Fatalf("%d servers crashed after %d calls", s.crashes(epoch), turn)
		}
		s.send(gateways[turn%len(gateways)], crashingBody)
	}
}

// checkContained keeps sending the work and fails if it crashes more servers than allowed.
func (s *crashSite) checkContained(gateways []*Gateway) {
	s.t.Helper()
	time.Sleep(crashPropagationTime)
	since := time.Now()
	for turn := range repeatedCalls {
		s.send(gateways[turn%len(gateways)], crashingBody)
		time.Sleep(repeatedCallInterval)
	}
	if crashed := s.crashes(since); crashed > maxFurtherCrashes {
		s.t.Errorf("work that had crashed three servers crashed %d more, want at most %d", crashed, maxFurtherCrashes)
	}
}

// TestGateway_CrashingWorkIsContained sends the same work repeatedly, with new IDs and to all
// gateways. It crashes each server that runs it.
func TestGateway_CrashingWorkIsContained(t *testing.T) {
	startThree := func(site *crashSite) []*Gateway {
		return []*Gateway{site.startGateway("a"), site.startGateway("b"), site.startGateway("c")}
	}
	t.Run("all nodes and the store available", func(t *testing.T) {
		t.Parallel()
		site := newCrashSite(t, 8)
		gateways := startThree(site)
		site.sendUntilThreeCrashes(gateways)
		site.checkContained(gateways)
		for _, gateway := range gateways {
			if status := site.send(gateway, []byte("harmless")); status != 200 {
				t.Errorf("harmless work gets %d", status)
			}
		}
	})
	t.Run("no datagrams between nodes", func(t *testing.T) {
		t.Parallel()
		site := newCrashSite(t, 8)
		site.withoutPeers = true
		gateways := startThree(site)
		site.sendUntilThreeCrashes(gateways)
		site.checkContained(gateways)
	})
	t.Run("store outage", func(t *testing.T) {
		t.Parallel()
		site := newCrashSite(t, 12)
		gateways := startThree(site)
		site.eventually("nodes know each other", func() bool {
			for _, gateway := range gateways {
				if gateway.roster.Count() != len(gateways) {
					return false
				}
			}
			return true
		})
		site.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
		site.sendUntilThreeCrashes(gateways)
		site.checkContained(gateways)
	})
	t.Run("the whole fleet restarts", func(t *testing.T) {
		t.Parallel()
		site := newCrashSite(t, 8)
		gateways := startThree(site)
		site.sendUntilThreeCrashes(gateways)
		time.Sleep(crashPropagationTime)
		for _, gateway := range gateways {
			gateway.Kill()
		}
		site.checkContained(startThree(site))
	})
}
