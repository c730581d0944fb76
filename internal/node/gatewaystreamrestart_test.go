package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/jobs"
)

// kill kills gateways, all at the same moment as far as callers can tell.
func (s *gatewaySite) kill(gateways []*Gateway) {
	for _, gateway := range gateways {
		gateway.Kill()
	}
	s.gateways = nil
}

// startAll starts gateways one after the other and waits until they know each other.
func (s *gatewaySite) startAll(ids ...string) []*Gateway {
	s.t.Helper()
	for _, id := range ids {
		s.start(id)
	}
	s.awaitPeers()
	return s.gateways
}

// awaitKnownHistory waits until it is recorded that the pool has run a single software version for as long as a
// stream lasts.
func (s *gatewaySite) awaitKnownHistory() {
	s.t.Helper()
	for _, gateway := range s.gateways {
		lifetime := 2 * gateway.routes.Load().Match(siteHost, "/resume/x").Timeout
		s.eventually("the software version is recorded for as long as a stream lasts", func() bool {
			return gateway.poolSoftware.History("llm", gateway.replicas.PoolSoftware("llm", time.Now()), lifetime).Single
		})
	}
}

// Guards against streams that are refused after all nodes have died at the same time, although replicas of the
// software version that began them serve.
func TestGateway_StreamsOfAKilledFleetGoOn(t *testing.T) {
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		t.Run(fmt.Sprintf("%d versions", len(versions)), func(t *testing.T) {
			t.Parallel()
			site := newVersionedSite(t, versions...)
			killed := site.startAll("a", "b", "c")
			if len(versions) == 1 {
				site.awaitKnownHistory()
			}
			for _, server := range site.servers {
				// No stream ends before the last one has begun.
				server.EventTime = 10 * streamEventTime
			}
			const count = 48
			var begun sync.WaitGroup
			begun.Add(count)
			var restarted []*Gateway
			allRestarted := make(chan struct{})
			go func() {
				defer close(allRestarted)
				begun.Wait()
				// The origins are written soon after the streams have begun, also on a busy machine.
				time.Sleep(500 * time.Millisecond)
				site.kill(killed)
				restarted = site.startAll("a", "b", "c")
			}()
			streams := runStreams(count, func(number int, stream *clientStream) {
				stream.onFirst = sync.OnceFunc(begun.Done)
				_, _ = stream.read(killed[number%len(killed)], fmt.Sprintf("q%d", number), 0)
				stream.onFirst()
				<-allRestarted
				if len(stream.events) > 0 && len(stream.events) < streamEvents {
					_, _ = stream.read(restarted[number%len(restarted)], fmt.Sprintf("q%d-again", number), 0)
				}
			})
			expectContinuedUnmixed(t, streams, len(streams)*9/10)
		})
	}
}

// Guards against a fleet of so many nodes that only some write origins to the table, in which streams are refused
// after all nodes have died at the same time.
func TestGateway_StreamsOfAKilledLargeFleetGoOn(t *testing.T) {
	t.Parallel()
	site := newVersionedSite(t, "v1", "v2")
	ids := make([]string, maxOriginReaders+2)
	for i := range ids {
		ids[i] = fmt.Sprint("n", i)
	}
	killed := site.launchAll(ids)
	streams := runStreams(48, func(number int, stream *clientStream) {
		_, _ = stream.read(killed[number%len(killed)], fmt.Sprintf("q%d", number), 2)
	})
	// Each writer waits for its turn.
	time.Sleep(2 * killed[0].originInterval())
	site.kill(killed)
	restarted := site.launchAll(ids)
	for number, stream := range streams {
		_, _ = stream.read(restarted[(number+1)%len(restarted)], fmt.Sprintf("q%d-again", number), 0)
	}
	expectContinuedUnmixed(t, streams, len(streams)*9/10)
}

// launchAll starts gateways, all at the same time, and waits until they know each other and all servers.
func (s *gatewaySite) launchAll(ids []string) []*Gateway {
	s.t.Helper()
	for _, id := range ids {
		s.launch(id, nil)
	}
	for _, gateway := range s.gateways {
		s.eventually("gateway ready", func() bool {
			return gateway.Ready() && len(gateway.replicas.Snapshot("llm", 0, time.Now())) == len(s.servers)
		})
	}
	s.awaitPeers()
	return s.gateways
}

// Guards against a stream that its caller does not name and that goes on at another software version after all
// nodes have restarted, because only the version that is listed then is known.
func TestGateway_UnnamedStreamOfAFormerSoftwareVersionIsRefusedAfterARestart(t *testing.T) {
	t.Parallel()
	site := newVersionedSite(t, "v1")
	killed := site.startAll("a", "b")
	site.addServer("i-new", "v2")
	site.eventually("the second version is listed", func() bool {
		_, listed := killed[1].replicas.Get("i-new")
		return listed
	})
	for _, server := range site.servers[:serversPerVersion] {
		site.store.Remove("servers", server.ID)
	}
	site.servers = site.servers[serversPerVersion:]
	time.Sleep(500 * time.Millisecond)
	site.kill(killed)
	for _, gateway := range site.startAll("c", "d") {
		status, _, header := site.callWith(gateway, http.MethodPost, "/resume/x", "q", nil, http.Header{"Last-Event-Id": {"3"}})
		if status != http.StatusServiceUnavailable || header.Get("X-Wheelhoist-Reason") != "stream-origin-unknown" {
			t.Errorf("node %s: %d %v", gateway.settings.Node.ID, status, header)
		}
	}
}

// Guards against a node that refuses a stream because it has not read yet which other nodes there are, and so
// asks none.
func TestGateway_StartingNodeAsksOthersForAnOrigin(t *testing.T) {
	t.Parallel()
	site := newVersionedSite(t, "v1", "v2")
	first := site.startAll("a", "b")[0]
	stream := &clientStream{}
	if _, err := stream.read(first, "q", 2); len(stream.events) != 2 {
		t.Fatal(err)
	}
	membersReadable := make(chan struct{})
	slowMembers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("table") == jobs.Group {
			<-membersReadable
		}
		site.store.ServeHTTP(w, r)
	}))
	t.Cleanup(slowMembers.Close)
	site.storeAddress, site.seeds = slowMembers.Listener.Addr().String(), []string{first.peers.Address()}
	started := site.launch("c", nil)
	site.eventually("the started node serves", func() bool {
		return started.configWatch.Populated() && started.replicaWatch.Populated()
	})
	<-started.crashesKnown
	if len(started.nodes.others()) > 0 {
		t.Fatal("the started node knows the others already")
	}
	time.AfterFunc(originRequeryInterval, func() { close(membersReadable) })
	status, err := stream.read(started, "q-again", 0)
	if status != http.StatusOK || len(stream.events) != streamEvents || stream.mixed() {
		t.Fatalf("%d %v, %d events of versions %v", status, err, len(stream.events), stream.versions)
	}
}

// Guards against streams that are refused after all nodes have restarted although the pool has run a single
// software version for longer than a stream lasts.
func TestGateway_RestartedFleetContinuesStreamsOfTheOnlySoftwareVersion(t *testing.T) {
	t.Parallel()
	site := newVersionedSite(t, "v1")
	killed := site.startAll("a", "b")
	site.awaitKnownHistory()
	site.kill(killed)
	gateway := site.startAll("c", "d")[0]
	for name, header := range map[string]http.Header{
		"unnamed": {"Last-Event-Id": {"3"}},
		"named":   {"Last-Event-Id": {"3"}, "Resumes": {"lost"}},
	} {
		if status, text, answer := site.callWith(gateway, http.MethodPost, "/resume/x", "q-"+name, nil, header); status != http.StatusOK {
			t.Errorf("%s: %d %q %v", name, status, text, answer)
		}
	}
	site.addServer("i-new", "v2")
	site.eventually("the second version is listed", func() bool {
		_, listed := gateway.replicas.Get("i-new")
		return listed
	})
	if status, _, _ := site.callWith(gateway, http.MethodPost, "/resume/x", "q-two", nil, http.Header{"Last-Event-Id": {"3"}}); status != http.StatusServiceUnavailable {
		t.Errorf("two versions: %d", status)
	}
}
