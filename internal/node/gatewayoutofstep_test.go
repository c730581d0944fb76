package node

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// storeLink is one gateway's way to the store, which can be cut.
type storeLink struct {
	store *standin.Store
	cut   atomic.Bool
}

// ServeHTTP implements http.Handler. A call that the cut meets gets no answer either.
func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	answer := httptest.NewRecorder()
	l.store.ServeHTTP(answer, r)
	if l.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// startLinked starts a gateway that has its own link to the store.
func (s *gatewaySite) startLinked(id string) (*Gateway, *storeLink) {
	s.t.Helper()
	link := &storeLink{store: s.store}
	server := httptest.NewServer(link)
	s.t.Cleanup(server.Close)
	address := s.storeAddress
	s.storeAddress = server.Listener.Addr().String()
	gateway := s.start(id)
	s.storeAddress = address
	return gateway, link
}

// awaitSingleVersion waits until a gateway knows that its pool has run a single version for as long as a stream lasts.
func (s *gatewaySite) awaitSingleVersion(gateway *Gateway) {
	s.t.Helper()
	lifetime := 2 * gateway.routes.Load().Match(siteHost, "/resume/x").Timeout
	s.eventually("the list is known for as long as a stream lasts", func() bool {
		return gateway.replicas.SoftwareHistory("llm", lifetime, time.Now()).Single
	})
}

// beginAtVersion begins streams at a gateway that the clients leave after three events, and returns those of a version.
func beginAtVersion(gateway *Gateway, version string, unnamed bool) []*clientStream {
	var begun []*clientStream
	for _, stream := range runStreams(48, func(number int, stream *clientStream) {
		stream.unnamed = unnamed
		_, _ = stream.read(gateway, fmt.Sprintf("%s-%v-%d", version, unnamed, number), 3)
	}) {
		if stream.versions[version] {
			begun = append(begun, stream)
		}
	}
	return begun
}

// takeUp continues streams at a gateway.
func takeUp(gateway *Gateway, begun []*clientStream) []*clientStream {
	return runStreams(len(begun), func(number int, stream *clientStream) {
		*stream = *begun[number]
		_, _ = stream.read(gateway, stream.first+"-again", 0)
	})
}

// Guards against a gateway that concludes from an old list which version began a stream, while replicas of another
// one have joined.
func TestGateway_OutOfStepNodeMixesNoStreams(t *testing.T) {
	for name, c := range map[string]struct {
		// alone gateways reach no other node.
		alone bool
		// back gateways reach the store again when the streams are taken up.
		back    bool
		unnamed bool
		// atLeast is how many of ten streams go on.
		atLeast int
	}{
		"cut off from all, named":             {alone: true},
		"cut off from all, unnamed":           {alone: true, unnamed: true},
		"cut off from the store, unnamed":     {unnamed: true},
		"back in touch, named":                {back: true, atLeast: 9},
		"back in touch, unnamed":              {back: true, unnamed: true},
		"back in touch with the store, named": {alone: true, back: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := newVersionedSite(t, "v1")
			site.withoutPeers = c.alone
			first, link := site.startLinked("a")
			site.withoutPeers = false
			second := site.start("b")
			site.start("c")
			if !c.alone {
				site.awaitPeers()
			}
			site.awaitSingleVersion(first)
			link.cut.Store(true)
			for i := range serversPerVersion {
				site.addServer(fmt.Sprintf("new-%d", i), "v2")
			}
			site.eventually("the second version is listed", func() bool {
				return len(second.replicas.PoolSoftware("llm", time.Now())) == 2
			})
			begun := beginAtVersion(second, "v2", c.unnamed)
			if len(begun) < 10 {
				t.Fatalf("only %d streams began at the second version", len(begun))
			}
			if c.back {
				link.cut.Store(false)
			}
			expectContinuedUnmixed(t, takeUp(first, begun), len(begun)*c.atLeast/10)
		})
	}
}

// Guards against streams of the only version that are refused at a node in touch.
func TestGateway_StreamsOfTheOnlyVersionGoOn(t *testing.T) {
	t.Parallel()
	site := newVersionedSite(t, "v1")
	first, link := site.startLinked("a")
	second := site.start("b")
	site.start("c")
	site.awaitPeers()
	site.awaitSingleVersion(first)
	for name, unnamed := range map[string]bool{"named": false, "unnamed": true} {
		begun := beginAtVersion(second, "v1", unnamed)
		link.cut.Store(true)
		// The call that is under way when the link is cut gets no answer.
		time.Sleep(time.Second)
		link.cut.Store(false)
		t.Log(name)
		expectContinuedUnmixed(t, takeUp(first, begun), len(begun))
	}
}

// Guards against streams of replicas without a version that are refused while the store cannot be read.
func TestGateway_StreamsWithoutVersionGoOnWithoutTheStore(t *testing.T) {
	site := newGatewaySite(t, 1)
	gateway, link := site.startLinked("a")
	link.cut.Store(true)
	status, text, _ := site.callWith(gateway, http.MethodPost, "/resume/x", "q", nil, http.Header{"Last-Event-Id": {"3"}})
	if status != http.StatusOK {
		t.Errorf("%d %q", status, text)
	}
}
