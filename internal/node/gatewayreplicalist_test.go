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
	// cutRate is what the replica of a cutSite bears in any second while it is cold; each of
	// two views of the nodes may send it 3 a second.
	cutRate  = 8.0
	cutSlots = 8
)

// cutSite is a site whose node "cut" loses its way to the store while off is set. It has
// one replica.
type cutSite struct {
	*gatewaySite
	off atomic.Bool
	// replica is listed at an address.
	replica *standin.Server
	address string
}

func newCutSite(t *testing.T) *cutSite {
	t.Helper()
	site := &cutSite{gatewaySite: newGatewaySite(t, 0), replica: &standin.Server{ID: "i", Events: siteEvents, EventTime: time.Millisecond}}
	listening := httptest.NewServer(site.replica)
	t.Cleanup(listening.Close)
	site.servers, site.address = append(site.servers, site.replica), listening.Listener.Addr().String()
	site.list(site.replica.ID, site.address, "ready")
	config := standin.Declare(2, siteHost, 1000, "resume")
	site.store.Put("op", "config", standin.DeclareCold(config, coldListStart, cutRate))
	return site
}

// startBoth starts the node that will be cut off and one that will not.
func (s *cutSite) startBoth() (cut, other *Gateway) {
	s.t.Helper()
	way := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.off.Load() {
			panic(http.ErrAbortHandler)
		}
		s.store.ServeHTTP(w, r)
	}))
	s.t.Cleanup(way.Close)
	s.storeAt = way.Listener.Addr().String()
	direct := httptest.NewServer(s.store)
	s.t.Cleanup(direct.Close)
	cut = s.launchAt(settings.Node{ID: "cut", Zone: "z"})
	s.storeAt = direct.Listener.Addr().String()
	other = s.launchAt(settings.Node{ID: "other", Zone: "z"})
	for _, gateway := range s.gateways {
		s.eventually("the node shares the replica's slots with the other", func() bool {
			known := gateway.replicas.List(time.Now())
			return gateway.Ready() && len(known) == 1 && known[0].Share < cutSlots && !gateway.replicas.PresumesCold(time.Now())
		})
	}
	return cut, other
}

func (s *cutSite) cutOff(gateway *Gateway) {
	s.t.Helper()
	s.off.Store(true)
	s.eventually("the list is old", func() bool { return gateway.replicas.PresumesCold(time.Now()) })
}

// TestGateway_CutOffFromTheStoreServesByTheWordOfAnotherNode guards that a node which knows
// only an old list is not held to the rate of cold replicas while another node knows that
// they are warm.
func TestGateway_CutOffFromTheStoreServesByTheWordOfAnotherNode(t *testing.T) {
	const requests = 20
	site := newCutSite(t)
	cut, _ := site.startBoth()
	site.cutOff(cut)
	began := time.Now()
	for i := range requests {
		if status, _, _ := site.call(cut, http.MethodPost, "/resume/x", fmt.Sprint("q", i), nil); status != http.StatusOK {
			t.Errorf("request %d: status %d", i, status)
		}
	}
	// At its part of the rate of a cold replica they would take over 6 s.
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("%d requests took %v", requests, took)
	}
	site.off.Store(false)
	site.eventually("the list is current again", func() bool { return !cut.replicas.PresumesCold(time.Now()) })
}

// TestGateway_ColdReplicaGetsItsRateFromANodeCutOffFromTheStore has the replica turn cold
// while one of two nodes hears nothing of it: both together keep to what it bears.
func TestGateway_ColdReplicaGetsItsRateFromANodeCutOffFromTheStore(t *testing.T) {
	const callers = 4
	site := newCutSite(t)
	cut, other := site.startBoth()
	site.cutOff(cut)
	site.replica.Chill(coldListStart)
	site.store.Put("servers", site.replica.ID, standin.ColdListing(site.address, "z", cutSlots, coldListStart))
	site.eventually("a node that is not cut off knows", func() bool { return other.replicas.CountCold(time.Now()) == 1 })
	known := time.Now()
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
	for _, send := range site.replica.ColdSends() {
		if send.At.After(known) {
			sent = append(sent, standin.Run{At: send.At})
		}
	}
	if len(sent) == 0 {
		t.Error("the replica got nothing while it was cold")
	}
	assertRate(t, sent, cutRate)
}

// TestGateway_StartedByTheWordOfAnotherNodePresumesReplicasCold guards a node that starts
// while it has no way to the store: what another node told it is known, what came after is not.
func TestGateway_StartedByTheWordOfAnotherNodePresumesReplicasCold(t *testing.T) {
	site := newCutSite(t)
	cut, other := site.startBoth()
	site.eventually("nodes know each other", func() bool {
		return cut.roster.Address("other") != "" && other.roster.Address("cut") != ""
	})
	cut.Kill()
	site.off.Store(true)
	again, err := StartGateway(context.Background(), cut.settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(again.Kill)
	site.eventually("the gateway is ready though it has no way to the store", again.Ready)
	if !again.replicas.PresumesCold(time.Now()) {
		t.Error("it takes what it was told for what is so now")
	}
}
