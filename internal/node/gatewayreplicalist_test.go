package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/settings"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// cutRate bounds the requests in any second to the replica of a cutSite while it is cold. While
	// the views of the two nodes differ, each may send it 3 a second.
	cutRate  = 8.0
	cutSlots = 8
)

// cutSite is a site with one replica and two nodes. The node "cut" cannot reach the store while
// disconnected is set.
type cutSite struct {
	*gatewaySite
	disconnected atomic.Bool
	// address is the address under which replica is listed.
	replica *standin.Server
	address string
}

func newCutSite(t *testing.T) *cutSite {
	t.Helper()
	site := &cutSite{gatewaySite: newGatewaySite(t, 0), replica: &standin.Server{ID: "i", Events: siteEvents, EventTime: time.Millisecond}}
	httpServer := httptest.NewServer(site.replica)
	t.Cleanup(httpServer.Close)
	site.servers, site.address = append(site.servers, site.replica), httpServer.Listener.Addr().String()
	site.listServer(site.replica.ID, site.address, "ready")
	config := standin.NewConfig(2, siteHost, 1000, "resume")
	site.store.Put("op", "config", standin.AddColdLimits(config, coldListStart, cutRate))
	return site
}

// startBoth starts the node that can be disconnected and one that cannot.
func (s *cutSite) startBoth() (cut, other *Gateway) {
	s.t.Helper()
	storeProxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.disconnected.Load() {
			panic(http.ErrAbortHandler)
		}
		s.store.ServeHTTP(w, r)
	}))
	s.t.Cleanup(storeProxy.Close)
	s.storeAddress = storeProxy.Listener.Addr().String()
	direct := httptest.NewServer(s.store)
	s.t.Cleanup(direct.Close)
	cut = s.launchNode(settings.Node{ID: "cut", Zone: "z"})
	s.storeAddress = direct.Listener.Addr().String()
	other = s.launchNode(settings.Node{ID: "other", Zone: "z"})
	for _, gateway := range s.gateways {
		s.eventually("the node shares the replica's slots with the other", func() bool {
			replicas := gateway.replicas.List(time.Now())
			return gateway.Ready() && len(replicas) == 1 && replicas[0].Share > 0 && replicas[0].Share < cutSlots && !gateway.replicas.PresumesCold(time.Now())
		})
	}
	return cut, other
}

func (s *cutSite) disconnect(gateway *Gateway) {
	s.t.Helper()
	s.disconnected.Store(true)
	s.eventually("the list is old", func() bool { return gateway.replicas.PresumesCold(time.Now()) })
}

// TestGateway_WithoutStoreServesWithGrantsOfAnotherNode guards against limiting a node whose list
// is old to the rate of cold replicas while another node knows that they are warm.
func TestGateway_WithoutStoreServesWithGrantsOfAnotherNode(t *testing.T) {
	const requests = 20
	site := newCutSite(t)
	cut, _ := site.startBoth()
	site.disconnect(cut)
	start := time.Now()
	for i := range requests {
		if status, _, _ := site.call(cut, http.MethodPost, "/resume/x", fmt.Sprint("q", i), nil); status != http.StatusOK {
			t.Errorf("request %d: status %d", i, status)
		}
	}
	// At its share of the rate of a cold replica they would take over 6 s.
	if took := time.Since(start); took > 3*time.Second {
		t.Errorf("%d requests took %v", requests, took)
	}
	site.disconnected.Store(false)
	site.eventually("the list is current again", func() bool { return !cut.replicas.PresumesCold(time.Now()) })
}

// TestGateway_ColdReplicaRateHoldsWithNodeWithoutStore checks that two nodes together keep the rate
// limit of a replica that turns cold while one of them cannot read the list.
func TestGateway_ColdReplicaRateHoldsWithNodeWithoutStore(t *testing.T) {
	const callers = 4
	site := newCutSite(t)
	cut, other := site.startBoth()
	site.disconnect(cut)
	site.replica.SetCold(coldListStart)
	site.store.Put("servers", site.replica.ID, standin.ColdServerRow(site.address, "z", cutSlots, coldListStart))
	site.eventually("the connected node knows", func() bool { return other.replicas.CountCold(time.Now()) == 1 })
	knownAt := time.Now()
	var calls sync.WaitGroup
	for _, gateway := range []*Gateway{cut, other} {
		for caller := range callers {
			calls.Go(func() {
				for number := 0; site.replica.ColdLeft() > 0; number++ {
					site.call(gateway, http.MethodPost, "/resume/x", fmt.Sprintf("%p-%d-%d", gateway, caller, number), nil)
				}
			})
		}
	}
	calls.Wait()
	var sent []standin.Run
	for _, send := range site.replica.ColdRequests() {
		if send.At.After(knownAt) {
			sent = append(sent, standin.Run{At: send.At})
		}
	}
	if len(sent) == 0 {
		t.Error("the replica got nothing while it was cold")
	}
	assertRate(t, sent, cutRate)
}

// TestGateway_StartedWithStateOfAnotherNodePresumesReplicasCold guards against a node that starts
// without the store and takes the state it got from another node for current.
func TestGateway_StartedWithStateOfAnotherNodePresumesReplicasCold(t *testing.T) {
	site := newCutSite(t)
	cut, other := site.startBoth()
	site.eventually("nodes know each other", func() bool {
		return cut.roster.Address("other") != "" && other.roster.Address("cut") != ""
	})
	cut.Kill()
	site.disconnected.Store(true)
	restarted, err := StartGateway(context.Background(), cut.settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(restarted.Kill)
	site.eventually("the gateway is ready without the store", restarted.Ready)
	if !restarted.replicas.PresumesCold(time.Now()) {
		t.Error("the state of the other node is taken as current")
	}
}
