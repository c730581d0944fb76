package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/sse"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	streamEvents    = 12
	streamEventTime = 20 * time.Millisecond
	// serversPerVersion is the number of servers of each software version in newVersionedSite.
	serversPerVersion = 3
)

// newVersionedSite returns a site without gateways whose servers run different software versions and
// write the version into each event.
func newVersionedSite(t *testing.T, versions ...string) *gatewaySite {
	t.Helper()
	site := newGatewaySite(t, 0)
	for i := range serversPerVersion * len(versions) {
		site.addServer(fmt.Sprintf("i-%d", i), versions[i%len(versions)])
	}
	return site
}

// addServer adds a listed server of a software version.
func (s *gatewaySite) addServer(id, version string) *standin.Server {
	s.t.Helper()
	server := &standin.Server{ID: id, Version: version, Events: streamEvents, EventTime: streamEventTime}
	httpServer := httptest.NewServer(server)
	s.t.Cleanup(httpServer.Close)
	s.servers = append(s.servers, server)
	entry := standin.Entry{Address: httpServer.Listener.Addr().String(), Zone: "z", Slots: 64, Version: version}
	s.store.Put("servers", id, entry.Row())
	return server
}

// clientStream is a stream as a client sees it, over all requests that it needed.
type clientStream struct {
	// first is the ID of the request that received the first event.
	first string
	// events are the events received, each with the version that wrote it.
	events   []sse.Event
	versions map[string]bool
	// requests is the number of requests, continued the number that went on after an event.
	requests, continued int
	// unnamed requests do not name the one that received the first event.
	unnamed bool
	// onFirst, if set, is called for the first event.
	onFirst func()
}

// errStreamLeft reports that the client closed the connection by itself.
var errStreamLeft = errors.New("the client left the stream")

// read sends a request for the rest of the stream and reads up to most events; 0 reads all. A nil
// error means that the stream is complete.
func (c *clientStream) read(gateway *Gateway, id string, most int) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.settings.Node.Listen+"/resume/x", http.NoBody)
	if err != nil {
		return 0, err
	}
	request.Host = siteHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "5000")
	after := len(c.events)
	if after > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(after))
	}
	if after > 0 && !c.unnamed {
		request.Header.Set("Resumes", c.first)
	}
	c.requests++
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	reader := sse.NewReader(response.Body)
	for most == 0 || len(c.events)-after < most {
		event, err := reader.Next()
		switch {
		case errors.Is(err, io.EOF) && len(c.events) == streamEvents:
			return response.StatusCode, nil
		case err != nil:
			return response.StatusCode, err
		case event.ID != len(c.events)+1:
			return response.StatusCode, fmt.Errorf("event %d follows event %d", event.ID, len(c.events))
		}
		c.record(event, id, after)
	}
	return response.StatusCode, errStreamLeft
}

// record adds an event that the request id received, which asked for the events after event after.
func (c *clientStream) record(event sse.Event, id string, after int) {
	if c.versions == nil {
		c.versions = map[string]bool{}
	}
	if len(c.events) == 0 {
		c.first = id
		if c.onFirst != nil {
			c.onFirst()
		}
	}
	if after > 0 && len(c.events) == after {
		c.continued++
	}
	c.events = append(c.events, event)
	c.versions[standin.EventVersion(string(event.Data))] = true
}

// mixed reports whether the stream holds events of several versions.
func (c *clientStream) mixed() bool { return len(c.versions) > 1 }

// countStreams returns the number of streams that went on after a break, of mixed ones and of complete
// ones.
func countStreams(streams []*clientStream) (continued, mixed, complete int) {
	for _, stream := range streams {
		if stream.continued > 0 {
			continued++
		}
		if stream.mixed() {
			mixed++
		}
		if len(stream.events) == streamEvents {
			complete++
		}
	}
	return continued, mixed, complete
}

// runStreams runs a function for each of a number of streams, all at once.
func runStreams(count int, run func(number int, stream *clientStream)) []*clientStream {
	streams := make([]*clientStream, count)
	var group sync.WaitGroup
	for i := range streams {
		streams[i] = &clientStream{}
		group.Go(func() { run(i, streams[i]) })
	}
	group.Wait()
	return streams
}

// breakRuns makes each server break off one run in a number of runs in the middle of an event.
func (s *gatewaySite) breakRuns(oneIn int) {
	for _, server := range s.servers {
		server.SetBehaviour(func(number int) standin.Behaviour {
			if number%oneIn == 0 {
				return standin.TruncateEvent
			}
			return standin.Succeed
		})
	}
}

// Guards against a node that continues a broken answer at a replica of another software version: what
// two versions write does not fit together.
func TestGateway_BrokenAnswerContinuesAtItsSoftwareVersion(t *testing.T) {
	site := newVersionedSite(t, "v1", "v2")
	gateway := site.start("a")
	site.breakRuns(6)
	streams := runStreams(90, func(number int, stream *clientStream) {
		time.Sleep(time.Duration(number) * 3 * time.Millisecond)
		_, _ = stream.read(gateway, fmt.Sprintf("q%d", number), 0)
	})
	broken := site.truncatedRuns()
	_, mixed, complete := countStreams(streams)
	t.Logf("%d runs broke off, %d streams mixed, %d of %d complete", broken, mixed, complete, len(streams))
	if mixed > 0 {
		t.Errorf("%d streams hold events of two versions", mixed)
	}
	if broken < 10 || complete < len(streams)*9/10 {
		t.Errorf("%d runs broke off and %d of %d streams are complete", broken, complete, len(streams))
	}
}

// truncatedRuns returns the number of runs that servers broke off.
func (s *gatewaySite) truncatedRuns() int {
	count := 0
	for _, server := range s.servers {
		for _, run := range server.Runs() {
			if run.Behaviour == standin.TruncateEvent {
				count++
			}
		}
	}
	return count
}

// Guards against a node that continues a stream which another node began at a replica of another
// software version, and against refusing what could go on.
func TestGateway_StreamTakenUpAtAnotherNodeKeepsItsSoftwareVersion(t *testing.T) {
	cases := []struct {
		name     string
		versions []string
		pause    time.Duration
	}{
		{"one version", []string{"v1"}, 0},
		{"two versions", []string{"v1", "v2"}, 0},
		{"three versions, later", []string{"v1", "v2", "v3"}, 300 * time.Millisecond},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			site := newVersionedSite(t, tt.versions...)
			first, second := site.start("a"), site.start("b")
			site.awaitPeers()
			streams := runStreams(48, func(number int, stream *clientStream) {
				_, _ = stream.read(first, fmt.Sprintf("q%d", number), 1+number%4)
				time.Sleep(tt.pause)
				_, _ = stream.read(second, fmt.Sprintf("q%d-again", number), 0)
			})
			expectContinuedUnmixed(t, streams, len(streams))
		})
	}
}

// Guards against streams of a killed node that another node continues at another software version, or
// does not continue although replicas of their version serve.
func TestGateway_StreamsOfAKilledNodeKeepTheirSoftwareVersion(t *testing.T) {
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		t.Run(fmt.Sprintf("%d versions", len(versions)), func(t *testing.T) {
			site := newVersionedSite(t, versions...)
			for _, server := range site.servers {
				// No stream ends before the last one has begun.
				server.EventTime = 10 * streamEventTime
			}
			killed := site.start("a")
			others := []*Gateway{site.start("b"), site.start("c"), site.start("d")}
			site.awaitPeers()
			const count = 48
			var begun sync.WaitGroup
			begun.Add(count)
			go func() {
				begun.Wait()
				killed.Kill()
			}()
			streams := runStreams(count, func(number int, stream *clientStream) {
				stream.onFirst = sync.OnceFunc(begun.Done)
				_, err := stream.read(killed, fmt.Sprintf("q%d", number), 0)
				stream.onFirst()
				if err == nil || len(stream.events) == 0 {
					return
				}
				_, _ = stream.read(others[number%len(others)], fmt.Sprintf("q%d-again", number), 0)
			})
			expectContinuedUnmixed(t, streams, len(streams)*9/10)
		})
	}
}

// Guards against a stream that goes on without proof of its software version, and against a refusal that
// comes late, has run, or does not say that the caller can only begin anew.
func TestGateway_StreamOfUnknownOriginIsRefusedAtOnce(t *testing.T) {
	site := newVersionedSite(t, "v1", "v2")
	gateway := site.start("a")
	site.start("b")
	site.awaitPeers()
	cases := map[string]http.Header{
		"a request never seen":       {"Last-Event-Id": {"3"}, "Resumes": {"never-seen"}},
		"no request named":           {"Last-Event-Id": {"3"}},
		"a request that got nothing": {"Last-Event-Id": {"3"}, "Resumes": {"q-itself"}},
	}
	for name, header := range cases {
		began := time.Now()
		status, _, answer := site.callWith(gateway, http.MethodPost, "/resume/x", "q-itself", nil, header)
		if status != http.StatusServiceUnavailable || answer.Get("X-Wheelhoist-Reason") != "stream-origin-unknown" || answer.Get("Retry-After") == "" {
			t.Errorf("%s: %d %v", name, status, answer)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: the refusal took %v", name, took)
		}
	}
	for _, server := range site.servers {
		if runs := server.Runs(); len(runs) > 0 {
			t.Errorf("server %s ran %v", server.ID, runs)
		}
	}
}

// Guards against a wait for a software version that no server runs any more.
func TestGateway_StreamWhoseSoftwareVersionIsGoneIsRefusedAtOnce(t *testing.T) {
	site := newVersionedSite(t, "v1", "v2")
	first, second := site.start("a"), site.start("b")
	site.awaitPeers()
	stream := &clientStream{}
	if _, err := stream.read(first, "q", 2); !errors.Is(err, errStreamLeft) {
		t.Fatal(err)
	}
	version := standin.EventVersion(string(stream.events[0].Data))
	for _, server := range site.servers {
		if server.Version == version {
			site.store.Remove("servers", server.ID)
		}
	}
	site.eventually("version is gone", func() bool {
		return len(second.replicas.Snapshot("llm", 0, time.Now())) == serversPerVersion
	})
	began := time.Now()
	header := http.Header{"Last-Event-Id": {"2"}, "Resumes": {"q"}}
	status, _, answer := site.callWith(second, http.MethodPost, "/resume/x", "q-again", nil, header)
	if status != http.StatusServiceUnavailable || answer.Get("X-Wheelhoist-Reason") != "software-version-gone" {
		t.Fatalf("%d %v", status, answer)
	}
	if took := time.Since(began); took > time.Second {
		t.Fatalf("the refusal took %v", took)
	}
}

// Guards against servers without a software version whose streams cannot be continued by clients that
// name no earlier request.
func TestGateway_StreamOfServersWithoutVersionGoesOn(t *testing.T) {
	site := newGatewaySite(t, 2)
	gateway := site.start("a")
	status, text, _ := site.callWith(gateway, http.MethodPost, "/resume/x", "q", nil, http.Header{"Last-Event-Id": {"4"}})
	if status != http.StatusOK || !strings.HasSuffix(wholeStream(), text) || text == "" {
		t.Fatalf("%d %q", status, text)
	}
}

// Guards against a stream that goes on at the only software version that is listed, although nothing tells which
// ones the pool has run before.
func TestGateway_StreamIsRefusedWhileThePastOfItsPoolIsNotKnown(t *testing.T) {
	site := newVersionedSite(t, "v1")
	gateway := site.start("a")
	site.start("b")
	site.awaitPeers()
	for name, header := range map[string]http.Header{
		"unnamed": {"Last-Event-Id": {"3"}},
		"named":   {"Last-Event-Id": {"3"}, "Resumes": {"lost"}},
	} {
		if status, _, _ := site.callWith(gateway, http.MethodPost, "/resume/x", "q-"+name, nil, header); status != http.StatusServiceUnavailable {
			t.Errorf("%s: %d", name, status)
		}
	}
}

// Guards against a node that has just started and refuses to continue streams of clients that do not name
// the request which received the first event, although only one software version can have begun them.
func TestGateway_NewNodeContinuesStreamsOfTheOnlySoftwareVersion(t *testing.T) {
	t.Parallel()
	site := newVersionedSite(t, "v1")
	first, second := site.start("a"), site.start("b")
	site.start("c")
	site.awaitPeers()
	lifetime := 2 * first.routes.Load().Match(siteHost, "/resume/x").Timeout
	site.eventually("nodes know the list for as long as a stream lasts", func() bool {
		return first.replicas.SoftwareHistory("llm", lifetime, time.Now()).Single && second.replicas.SoftwareHistory("llm", lifetime, time.Now()).Single
	})
	started := site.start("d")
	site.awaitPeers()
	unnamed := http.Header{"Last-Event-Id": {"3"}}
	if status, text, header := site.callWith(started, http.MethodPost, "/resume/x", "q", nil, unnamed); status != http.StatusOK {
		t.Fatalf("one version: %d %q %v", status, text, header)
	}
	site.addServer("i-new", "v2")
	site.eventually("the second version is listed", func() bool {
		_, listed := started.replicas.Get("i-new")
		return listed
	})
	status, _, header := site.callWith(started, http.MethodPost, "/resume/x", "q2", nil, unnamed)
	if status != http.StatusServiceUnavailable || header.Get("X-Wheelhoist-Reason") != "stream-origin-unknown" {
		t.Fatalf("two versions: %d %v", status, header)
	}
}

// expectContinuedUnmixed checks that no stream is mixed and that at least the given number went on
// after a break and is complete.
func expectContinuedUnmixed(t *testing.T, streams []*clientStream, atLeast int) {
	t.Helper()
	continued, mixed, complete := countStreams(streams)
	t.Logf("%d of %d streams went on, %d mixed, %d complete", continued, len(streams), mixed, complete)
	if mixed > 0 {
		t.Errorf("%d streams hold events of two versions", mixed)
	}
	if continued < atLeast || complete < atLeast {
		t.Errorf("%d of %d streams went on and %d are complete, want %d", continued, len(streams), complete, atLeast)
	}
}

// awaitPeers waits until all gateways know each other.
func (s *gatewaySite) awaitPeers() {
	s.t.Helper()
	s.eventually("gateways know each other", func() bool {
		for _, gateway := range s.gateways {
			if len(gateway.nodes.others()) != len(s.gateways)-1 {
				return false
			}
		}
		return true
	})
}

// Guards against texts of items that hold pieces of two software versions: an item goes on after it was
// interrupted, at any replica.
func TestGateway_InterruptedItemKeepsItsSoftwareVersion(t *testing.T) {
	site := newVersionedSite(t, "v1", "v2")
	gateway := site.start("a")
	site.breakRuns(3)
	const items = 40
	if status, _, _ := site.call(gateway, http.MethodPost, "/batch/j", "j", jobBody("j", items)); status != http.StatusAccepted {
		t.Fatalf("submission: %d", status)
	}
	listing := site.awaitJob(gateway, "j")
	mixed := 0
	for _, result := range listing.Results {
		if versions := standin.TextVersions(result.Message); len(versions) > 1 {
			mixed++
		}
	}
	if broken := site.truncatedRuns(); broken < 10 {
		t.Fatalf("only %d runs broke off", broken)
	}
	if mixed > 0 {
		t.Fatalf("%d of %d texts hold pieces of two versions", mixed, items)
	}
}
