package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// leavingEventTime leaves time to list a server as leaving between two events of its streams.
	leavingEventTime = 150 * time.Millisecond
	// leavingCallers is the number of streams, and of items, while a server leaves.
	leavingCallers = 12
)

// leavingSite is a site of servers whose streams have neither a length nor chunks.
type leavingSite struct {
	*gatewaySite
	gateway *Gateway
	// ends end the processes of the servers, whose connections close between two events. Their listeners
	// close before, or listenerDelay later if that is not 0.
	ends          []func()
	listenerDelay time.Duration
}

func newLeavingSite(t *testing.T) *leavingSite {
	t.Helper()
	site := &leavingSite{gatewaySite: newGatewaySite(t, 0)}
	site.configure(2, "resume", "once")
	for i := range 3 {
		server := &standin.Server{ID: fmt.Sprintf("i-%d", i), Events: siteEvents, EventTime: leavingEventTime, Unframed: true}
		httpServer := httptest.NewServer(server)
		t.Cleanup(httpServer.Close)
		site.servers = append(site.servers, server)
		site.listServer(server.ID, httpServer.Listener.Addr().String(), "ready")
		site.ends = append(site.ends, func() {
			if site.listenerDelay > 0 {
				httpServer.CloseClientConnections()
				time.Sleep(site.listenerDelay)
			}
			_ = httpServer.Listener.Close()
			httpServer.CloseClientConnections()
		})
	}
	site.gateway = site.start("a")
	return site
}

// leave makes a server say that it is leaving once streams run there.
func (s *leavingSite) leave(index int) {
	s.t.Helper()
	server := s.servers[index]
	s.eventually("streams run at the server", func() bool { return len(server.Runs()) > 0 })
	current, _, _ := s.gateway.replicas.CurrentAndPrevious(server.ID)
	s.listServer(server.ID, strings.TrimPrefix(current.Address, "http://"), "draining")
	s.eventually("server known to leave", func() bool {
		current, _, _ := s.gateway.replicas.CurrentAndPrevious(server.ID)
		return current.Leaving
	})
}

// leaveAndEnd makes a server leave and end while it runs streams.
func (s *leavingSite) leaveAndEnd(index int) {
	s.t.Helper()
	s.leave(index)
	s.ends[index]()
}

// streams sends streams under a prefix while act runs, and returns the texts that callers took for complete.
func (s *leavingSite) streams(prefix string, act func()) []string {
	var mu sync.Mutex
	var callers sync.WaitGroup
	var complete []string
	for number := range leavingCallers {
		callers.Go(func() {
			status, text, _ := s.call(s.gateway, http.MethodPost, "/"+prefix+"/x", fmt.Sprintf("s%d", number), []byte("prompt"))
			// An answer that breaks off has the error as its text.
			if mu.Lock(); status == http.StatusOK && (text == "" || strings.HasPrefix(text, "id: ")) {
				complete = append(complete, text)
			}
			mu.Unlock()
		})
	}
	act()
	callers.Wait()
	return complete
}

// Guards against streams that callers take for complete though their replica, which had said that it was
// leaving, ended before their end (ORDER).
func TestGateway_UnframedStreamEndsWithItsLeavingReplica(t *testing.T) {
	for _, prefix := range []string{"resume", "once"} {
		t.Run(prefix, func(t *testing.T) {
			site := newLeavingSite(t)
			complete := site.streams(prefix, func() { site.leaveAndEnd(0) })
			for _, text := range complete {
				if text != wholeStream() {
					t.Errorf("complete with %d of %d events", strings.Count(text, "id: "), siteEvents)
				}
			}
			if prefix == "resume" && len(complete) != leavingCallers {
				t.Errorf("%d of %d streams were complete", len(complete), leavingCallers)
			}
		})
	}
}

// Guards against the same where the replica closes its connections shortly before its listener, so that it seems
// to run.
func TestGateway_UnframedStreamEndsBeforeTheListenerOfItsReplica(t *testing.T) {
	site := newLeavingSite(t)
	site.listenerDelay = 20 * time.Millisecond
	complete := site.streams("once", func() { site.leaveAndEnd(0) })
	for _, text := range complete {
		if text != wholeStream() {
			t.Errorf("complete with %d of %d events", strings.Count(text, "id: "), siteEvents)
		}
	}
}

// Guards against the beginning of an item's text that is listed as all of it since its replica, which had said
// that it was leaving, ended (MIXED).
func TestGateway_UnframedItemEndsWithItsLeavingReplica(t *testing.T) {
	site := newLeavingSite(t)
	if status, _, _ := site.call(site.gateway, http.MethodPost, "/batch/j", "j", jobBody("j", leavingCallers)); status != http.StatusAccepted {
		t.Fatalf("submission: %d", status)
	}
	site.leaveAndEnd(0)
	for _, result := range site.awaitJob(site.gateway, "j").Results {
		if result.State != "completed" || result.Message != wholeText() {
			t.Errorf("item %s is %s with %q", result.ID, result.State, result.Message)
		}
	}
}

// Guards against streams of a leaving replica that are broken off, or run a second time, though they are whole:
// the replica has not ended.
func TestGateway_UnframedStreamOfARunningLeavingReplicaIsWhole(t *testing.T) {
	for _, prefix := range []string{"resume", "once"} {
		t.Run(prefix, func(t *testing.T) {
			site := newLeavingSite(t)
			complete := site.streams(prefix, func() { site.leave(0) })
			runs := 0
			for _, server := range site.servers {
				runs += len(server.Runs())
			}
			if len(complete) != leavingCallers || runs != leavingCallers {
				t.Fatalf("%d streams were complete, %d runs for %d streams", len(complete), runs, leavingCallers)
			}
			for _, text := range complete {
				if text != wholeStream() {
					t.Errorf("complete with %q", text)
				}
			}
		})
	}
}
