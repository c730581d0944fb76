package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// A node that starts while the store does not respond fetches the state of another node:
// configuration, evacuations, replicas, members and crashes. It uses that state until its own first read of
// the store replaces it. It picks a node among those that send it datagrams, which know its address
// from the member row of its previous run, and those that its settings name; without either it waits
// for the store. Jobs are not part of the state: they must not change while the store is unavailable.

const (
	// bootstrapInterval is the time between two requests, and bootstrapTimeout bounds one. It
	// leaves time to transfer the state of a large fleet over a slow link: 300 KB for 600 replicas
	// take 80 ms at 30 Mbit/s.
	bootstrapInterval = 200 * time.Millisecond
	bootstrapTimeout  = time.Second
	// maxBootstrapResponses is the number of requests that are served concurrently. When many nodes
	// start, the others ask elsewhere.
	maxBootstrapResponses = 2
	// maxBootstrapBytes bounds a response. A large configuration has about 1 MB.
	maxBootstrapBytes = 16 << 20
	// maxPeerHeader bounds the header of any other node's response, in bytes.
	maxPeerHeader = 64 << 10
	// maxStatedAge bounds the age of a state, so that one that cannot be true does not overflow.
	maxStatedAge = 24 * time.Hour
	// pathBootstrap is the HTTP path under which nodes serve their state.
	pathBootstrap = "/v1/held"
)

// errNoState reports a node that cannot serve its state at the moment.
var errNoState = errors.New("the node has no state to send or is busy")

// bootstrapState is the state that a node sends to one that starts.
type bootstrapState struct {
	Config   feedState `cbor:"1,keyasint"`
	Replicas feedState `cbor:"2,keyasint"`
	Members  feedState `cbor:"3,keyasint"`
	// Crashes is empty from nodes of earlier versions.
	Crashes knownCrashes `cbor:"4,keyasint"`
}

// feedState holds the rows of one feed.
type feedState struct {
	Rows []feedRow `cbor:"1,keyasint"`
	// AgeMs is the time since the source last responded, in ms.
	AgeMs int64 `cbor:"2,keyasint"`
}

// feedRow is one row of a feed.
type feedRow struct {
	Partition string `cbor:"1,keyasint"`
	Sort      string `cbor:"2,keyasint"`
	Version   uint64 `cbor:"3,keyasint"`
	Body      []byte `cbor:"4,keyasint"`
}

func newFeedState(snapshot table.Changes, age time.Duration) feedState {
	state := feedState{AgeMs: age.Milliseconds()}
	for _, change := range snapshot.Changes {
		state.Rows = append(state.Rows, feedRow{Partition: change.Partition, Sort: change.Sort, Version: change.Version, Body: change.Body})
	}
	return state
}

func (f *feedState) changes() table.Changes {
	var changes table.Changes
	for _, row := range f.Rows {
		changes.Changes = append(changes.Changes, table.Change{Row: table.Row{
			Key: table.Key{Partition: row.Partition, Sort: row.Sort}, Version: row.Version, Body: row.Body,
		}})
	}
	return changes
}

func (f *feedState) age() time.Duration {
	return time.Duration(min(max(0, f.AgeMs), maxStatedAge.Milliseconds())) * time.Millisecond
}

// populated reports whether this node knows enough to serve, from the store or from another node.
func (g *Gateway) populated() bool {
	return g.configWatch.Populated() && g.replicaWatch.Populated() && g.jobWatch.Populated()
}

// listenBootstrap starts the HTTP server for nodes that start. It uses the address of the datagram
// socket, over TCP.
func (g *Gateway) listenBootstrap() error {
	listener, err := net.Listen("tcp", g.peers.Address())
	if err != nil {
		g.closePeers()
		return Error.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathBootstrap, g.serveBootstrap)
	mux.HandleFunc("GET "+pathCrashes, g.serveCrashes)
	mux.HandleFunc("GET "+pathReplicaList, g.serveReplicaList)
	mux.HandleFunc("GET "+pathFeed, g.relays.serve)
	g.bootstrapServer = &http.Server{Handler: mux, ReadHeaderTimeout: bootstrapTimeout, IdleTimeout: bootstrapTimeout}
	guard := g.newGuard(g.clients.PeerConnections)
	guard.Protect(g.bootstrapServer)
	go func() {
		if err := g.bootstrapServer.Serve(guard.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error().Err(err).Msg("bootstrap listener failed")
		}
	}()
	return nil
}

func (g *Gateway) closeBootstrap() {
	if g.bootstrapServer == nil {
		return
	}
	if err := g.bootstrapServer.Close(); err != nil {
		g.log.Warn().Err(err).Msg("bootstrap listener not closed")
	}
}

// serveBootstrap sends this node's state to a node that starts.
func (g *Gateway) serveBootstrap(w http.ResponseWriter, r *http.Request) {
	defer g.bootstrapRequests.Add(-1)
	if g.bootstrapRequests.Add(1) > maxBootstrapResponses || !g.populated() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// The age is taken before the rows: changes in between make them newer than it says, never older.
	membersAge := g.jobWatch.Age()
	state := bootstrapState{
		Config: newFeedState(g.configWatch.Snapshot()), Replicas: newFeedState(g.replicaWatch.Snapshot()),
		Members: newFeedState(table.Changes{Changes: g.roster.MemberRows()}, membersAge),
		Crashes: g.collectCrashes(),
	}
	body, err := cbor.Marshal(state)
	if err != nil {
		g.log.Error().Err(err).Msg("bootstrap state cannot be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	g.sampled.Info().Str("to", r.RemoteAddr).Int("bytes", len(body)).Msg("bootstrap state sent to a starting node")
	// An error means that the requesting node is gone.
	_, _ = w.Write(body)
}

// runBootstrap requests the state of other nodes until this one is populated.
func (g *Gateway) runBootstrap(ctx context.Context) {
	client := &http.Client{Timeout: bootstrapTimeout, Transport: peerTransport()}
	after := time.Duration(g.settings.Gateway.BootstrapAfter)
	for retry.Sleep(ctx, after); ctx.Err() == nil && !g.populated(); retry.Sleep(ctx, bootstrapInterval) {
		addresses := g.sourcesAndSeeds()
		if len(addresses) == 0 || g.sinceStoreResponse() < after {
			continue
		}
		from := addresses[rand.IntN(len(addresses))]
		state, err := fetchBootstrapState(ctx, client, from)
		if err != nil {
			g.sampled.Info().Str("from", from).Err(err).Msg("no bootstrap state from another node")
			continue
		}
		g.seed(state, from)
	}
}

// fetchBootstrapState returns the state of another node, with the ages that it has on arrival.
func fetchBootstrapState(ctx context.Context, client *http.Client, address string) (*bootstrapState, error) {
	requestedAt := clock.Now()
	state := &bootstrapState{}
	if err := fetchState(ctx, client, address, pathBootstrap, state); err != nil {
		return nil, err
	}
	inTransit := transitSince(requestedAt)
	state.Crashes.addTransit(inTransit)
	for _, feed := range []*feedState{&state.Config, &state.Replicas, &state.Members} {
		feed.AgeMs = min(max(0, feed.AgeMs), maxStatedAge.Milliseconds()) + inTransit
	}
	return state, nil
}

// transitSince returns how long an answer to a request may have been under way, in ms, rounded up so that no
// state counts as more recent than it is.
func transitSince(requestedAt time.Time) int64 { return clock.Since(requestedAt).Milliseconds() + 1 }

// sinceStoreResponse returns the time since the store last responded to this node.
func (g *Gateway) sinceStoreResponse() time.Duration {
	return min(g.configWatch.SinceLastResponse(), g.replicaWatch.SinceLastResponse(), g.jobWatch.SinceLastResponse())
}

// seed applies the state of another node. Members come first, because the slots of replicas are
// divided among them; evacuations and routes come last, because requests are sent once there are
// routes.
func (g *Gateway) seed(state *bootstrapState, from string) {
	g.learnCrashes(&state.Crashes)
	members := g.jobWatch.Seed(state.Members.changes(), state.Members.age(), g.roster.Apply)
	replicas := g.replicaWatch.Seed(state.Replicas.changes(), state.Replicas.age(), g.applyReplicas)
	if now := clock.Now(); replicas {
		// No update follows this list until the store responds, so it counts as old however recent it is.
		// The list time is set here because no update sets it.
		g.replicas.SetListTime(now.Add(-state.Replicas.age()-bootstrapTimeout), now)
	}
	g.replicas.SetJoined(g.roster.Joined())
	g.replicas.Divide(g.settings.Node.ID, g.roster.Places())
	config := g.configWatch.Seed(state.Config.changes(), state.Config.age(), g.applyConfig)
	g.log.Info().Str("from", from).Bool("members", members).Bool("replicas", replicas).Bool("config", config).
		Dur("config_age_ms", state.Config.age()).Dur("replicas_age_ms", state.Replicas.age()).
		Msg("store does not answer, started with the state of another node")
}
