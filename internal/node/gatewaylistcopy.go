package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/httphead"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/listcopy"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// pathReplicaList is the HTTP path under which nodes serve their replica list.
	pathReplicaList = "/v1/replicas"
	// maxListAge is the age of a list above which a node serves no copies of it.
	maxListAge = 3 * time.Second
	// listCopyCandidates is the number of random nodes among which the one with the fastest link is
	// asked for a copy.
	listCopyCandidates = 2
	// listPollPerReplica is the part of the time between two calls for changes of the list that grows
	// with it, up to maxListPoll. When many replicas come and go, as at the start of a fleet, each
	// call then brings several changes.
	listPollPerReplica = 25 * time.Microsecond
	maxListPoll        = 400 * time.Millisecond
)

// errNoListSource reports that no node of the zone has a known address.
var errNoListSource = errors.New("no other node of the zone has an address")

// listCopy is a node's replica list as sent to other nodes.
type listCopy struct {
	feedState
	Revision uint64 `cbor:"10,keyasint"`
}

// buildReplicaWatch sets up the watcher of the replica list. A large list is copied from another node
// of the zone where possible.
func (g *Gateway) buildReplicaWatch(feed table.Feed) {
	if g.settings.Gateway.Peers != "" {
		client := &http.Client{Transport: peerTransport()}
		feed = &listcopy.Feed{
			Feed: feed, View: g.zoneView, Now: clock.Now,
			Copy: func(ctx context.Context) (table.Changes, error) { return g.fetchReplicaList(ctx, client) },
			OnCopied: func(list table.Changes) {
				g.metrics.listCopies.WithLabelValues("copied").Inc()
				g.log.Info().Int("replicas", len(list.Changes)).Uint64("revision", list.Revision).Msg("replica list copied from another node")
			},
			OnFailed: func(err error) {
				g.metrics.listCopies.WithLabelValues("failed").Inc()
				g.sampled.Info().Err(err).Msg("replica list not copied from another node")
			},
		}
	}
	g.replicaWatch = g.watchReplicas(feed, g.applyReplicas)
	g.replicaWatch.Pace = g.listPace
	g.replicaWatch.Apply = g.relays.logged(replicaGroup, g.replicaWatch.Apply)
}

// listPace returns the minimum time between two calls for changes of the replica list.
func (g *Gateway) listPace() table.Pace {
	interval := min(time.Duration(g.replicas.Listed())*listPollPerReplica, maxListPoll)
	return table.Pace{AfterAnnouncement: interval, Default: interval}
}

// zoneView returns what this node knows of its zone.
func (g *Gateway) zoneView() listcopy.View {
	peers := g.nodes.inOwnZone()
	view := listcopy.View{Unknown: !g.jobWatch.Populated(), Small: g.roster.Count() <= g.settings.Gateway.RelayFrom, Joined: g.roster.Joined(), Peers: len(peers)}
	own := replica.Key(g.settings.Node.ID)
	for _, peer := range peers {
		if replica.Key(peer) > own {
			view.Rank++
		}
	}
	return view
}

// fetchReplicaList asks another node of the zone for its replica list.
func (g *Gateway) fetchReplicaList(ctx context.Context, client *http.Client) (table.Changes, error) {
	source := g.listSource()
	if source.Address == "" {
		return table.Changes{}, Error.Wrap(errNoListSource)
	}
	requestedAt := clock.Now()
	var list listCopy
	if err := fetchState(ctx, client, source.Address, pathReplicaList, &list); err != nil {
		return table.Changes{}, err
	}
	changes := list.changes()
	changes.Revision, changes.AsOf = list.Revision, requestedAt.Add(-list.age())
	return changes, nil
}

// listSource returns the node to ask: of a few random ones of the zone, the one with the fastest link.
func (g *Gateway) listSource() lease.Member {
	var source lease.Member
	peers := g.nodes.inOwnZone()
	for range min(listCopyCandidates, len(peers)) {
		candidate := g.roster.Member(peers[rand.IntN(len(peers))])
		if source.Address == "" || candidate.Address != "" && candidate.LinkMbps > source.LinkMbps {
			source = candidate
		}
	}
	return source
}

// serveReplicaList sends this node's replica list to another node, unless it may be out of date.
func (g *Gateway) serveReplicaList(w http.ResponseWriter, r *http.Request) {
	defer g.bootstrapRequests.Add(-1)
	if g.bootstrapRequests.Add(1) > maxBootstrapResponses || !g.replicaWatch.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	snapshot, age := g.replicaWatch.Snapshot()
	if age > maxListAge {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.sampled.Info().Str("to", r.RemoteAddr).Int("replicas", len(snapshot.Changes)).Msg("replica list sent to another node")
	list := listCopy{feedState: newFeedState(snapshot, age), Revision: snapshot.Revision}
	if err := cbor.NewEncoder(w).Encode(list); err != nil {
		g.sampled.Info().Str("to", r.RemoteAddr).Err(err).Msg("replica list not sent to another node")
	}
}

// peerTransport returns a transport for single requests to other nodes.
func peerTransport() http.RoundTripper {
	return httphead.Transport{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxPeerHeader}}
}

// fetchState requests the state that a node serves under a path, and decodes it into dst.
func fetchState(ctx context.Context, client *http.Client, address, path string, dst any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Error.Wrap(fmt.Errorf("%w: %s", errNoState, response.Status))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBootstrapBytes))
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(cbor.Unmarshal(body, dst))
}
