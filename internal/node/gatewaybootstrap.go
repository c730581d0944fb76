package node

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// A node that starts while the store does not answer asks another node for what that one
// knows: configuration, evacuations, replicas and members. It goes by that as the other
// does, until its own first read of the store takes the place of it. It finds a node
// among those that tell it things in datagrams, for its address was in the member row of
// the run before; so a machine that nobody knows waits for the store. Jobs are not passed
// on: nothing of them may change while the store is away.

const (
	// bootstrapEvery is the time between two questions, and bootstrapTimeout bounds one:
	// 300 KB of 600 replicas take 80 ms over the weakest link, 30 Mbit/s.
	bootstrapEvery   = 200 * time.Millisecond
	bootstrapTimeout = time.Second
	// heldAtOnce is how many nodes are answered at the same time: when many start, the
	// others ask elsewhere.
	heldAtOnce = 2
	// maxHeld bounds an answer in bytes: a large configuration has some 1 MB.
	maxHeld = 16 << 20
	// pathHeld is where nodes pass on what they know.
	pathHeld = "/v1/held"
)

// errKnowsNothing reports a node that has nothing to pass on.
var errKnowsNothing = errors.New("the node knows nothing yet")

// heldTold is what a node knows.
type heldTold struct {
	Config   feedTold `cbor:"1,keyasint"`
	Replicas feedTold `cbor:"2,keyasint"`
	Members  feedTold `cbor:"3,keyasint"`
}

// feedTold is the rows of one source.
type feedTold struct {
	Rows []rowTold `cbor:"1,keyasint"`
	// AgeMs is the time since the source last answered, in ms.
	AgeMs int64 `cbor:"2,keyasint"`
}

// rowTold is one row.
type rowTold struct {
	Partition string `cbor:"1,keyasint"`
	Sort      string `cbor:"2,keyasint"`
	Version   uint64 `cbor:"3,keyasint"`
	Body      []byte `cbor:"4,keyasint"`
}

func tellFeed(held table.Changes, age time.Duration) feedTold {
	told := feedTold{AgeMs: age.Milliseconds()}
	for _, change := range held.Changes {
		told.Rows = append(told.Rows, rowTold{Partition: change.Partition, Sort: change.Sort, Version: change.Version, Body: change.Body})
	}
	return told
}

func (f *feedTold) changes() table.Changes {
	var held table.Changes
	for _, row := range f.Rows {
		held.Changes = append(held.Changes, table.Change{Row: table.Row{
			Key: table.Key{Partition: row.Partition, Sort: row.Sort}, Version: row.Version, Body: row.Body,
		}})
	}
	return held
}

func (f *feedTold) age() time.Duration { return max(0, time.Duration(f.AgeMs)*time.Millisecond) }

// informed reports whether this node knows enough to serve, from the store or from
// another node.
func (g *Gateway) informed() bool {
	return g.configWatch.Populated() && g.replicaWatch.Populated() && g.jobWatch.Populated()
}

// listenHeld opens the port where this node passes on what it knows: that of the
// datagrams, over TCP.
func (g *Gateway) listenHeld() error {
	listener, err := net.Listen("tcp", g.peers.Address())
	if err != nil {
		g.closePeers()
		return Error.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathHeld, g.serveHeld)
	g.peerHTTP = &http.Server{Handler: mux, ReadHeaderTimeout: bootstrapTimeout, IdleTimeout: bootstrapTimeout}
	go func() {
		if err := g.peerHTTP.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error().Err(err).Msg("port for nodes that start failed")
		}
	}()
	return nil
}

func (g *Gateway) closeHeld() {
	if g.peerHTTP == nil {
		return
	}
	if err := g.peerHTTP.Close(); err != nil {
		g.log.Warn().Err(err).Msg("port for nodes that start not closed")
	}
}

// serveHeld passes on what this node knows.
func (g *Gateway) serveHeld(w http.ResponseWriter, r *http.Request) {
	defer g.passingOn.Add(-1)
	if g.passingOn.Add(1) > heldAtOnce || !g.informed() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	told := heldTold{
		Config: tellFeed(g.configWatch.Snapshot()), Replicas: tellFeed(g.replicaWatch.Snapshot()),
		Members: tellFeed(table.Changes{Changes: g.roster.MemberRows()}, g.jobWatch.Age()),
	}
	body, err := cbor.Marshal(told)
	if err != nil {
		g.log.Error().Err(err).Msg("what this node knows cannot be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	g.sampled.Info().Str("to", r.RemoteAddr).Int("bytes", len(body)).Msg("told a node that starts what is known")
	// A node that has gone cannot be told.
	_, _ = w.Write(body)
}

// runBootstrap asks other nodes for what they know until this one knows it.
func (g *Gateway) runBootstrap(ctx context.Context) {
	client := &http.Client{Timeout: bootstrapTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	after := time.Duration(g.settings.Gateway.BootstrapAfter)
	for retry.Sleep(ctx, after); ctx.Err() == nil && !g.informed(); retry.Sleep(ctx, bootstrapEvery) {
		sources := g.peers.Sources()
		if len(sources) == 0 || g.storeSilence() < after {
			continue
		}
		from := sources[rand.IntN(len(sources))]
		told, err := fetchHeld(ctx, client, from)
		if err != nil {
			g.sampled.Info().Stringer("from", from).Err(err).Msg("node asked for what it knows")
			continue
		}
		g.seed(told, from)
	}
}

// storeSilence is the time since the store last answered a look of this node.
func (g *Gateway) storeSilence() time.Duration {
	return min(g.configWatch.SinceLastResponse(), g.replicaWatch.SinceLastResponse(), g.jobWatch.SinceLastResponse())
}

// fetchHeld asks a node for what it knows.
func fetchHeld(ctx context.Context, client *http.Client, from netip.AddrPort) (*heldTold, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+pathHeld, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, Error.Wrap(errKnowsNothing)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHeld))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	told := &heldTold{}
	return told, Error.Wrap(cbor.Unmarshal(body, told))
}

// seed goes by what another node knows. Members come first, for the slots of replicas are
// divided among them, and evacuations and routes last, for requests come with these.
func (g *Gateway) seed(told *heldTold, from netip.AddrPort) {
	members := g.jobWatch.Seed(told.Members.changes(), told.Members.age(), g.roster.Apply)
	replicas := g.replicaWatch.Seed(told.Replicas.changes(), told.Replicas.age(), g.applyReplicas)
	if now := clock.Now(); replicas {
		// It has been under way, and nothing follows it before the store answers.
		g.replicas.SetListTime(now.Add(-told.Replicas.age()-bootstrapTimeout), now)
	}
	g.replicas.SetJoined(g.roster.Joined())
	g.replicas.Divide(g.settings.Node.ID, g.roster.Places())
	config := g.configWatch.Seed(told.Config.changes(), told.Config.age(), g.applyConfig)
	g.log.Info().Stringer("from", from).Bool("members", members).Bool("replicas", replicas).Bool("config", config).
		Dur("config_age_ms", told.Config.age()).Dur("replicas_age_ms", told.Replicas.age()).
		Msg("store does not answer, started by what another node knows")
}
