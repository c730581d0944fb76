package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// A node that starts has not seen the crashes of the past. It reads them in the table, unless the table
// does not answer, or did not when the nodes that saw them tried to write them there. So it also gets
// those that other nodes know: with the state that it starts with, and by requests of its own.

const (
	// maxKnownCrashes bounds the crashes of whole requests, and those of parts of prompts, that a node
	// sends to one that starts.
	maxKnownCrashes = 256
	// crashSources is the number of nodes that a node which starts asks for crashes. Some may have started
	// at the same time.
	crashSources = 3
	// pathCrashes is the HTTP path under which nodes serve the crashes that they know.
	pathCrashes = "/v1/crashes"
)

// knownCrashes are the crashes that a node knows and when the work that ran on the replicas last succeeded.
type knownCrashes struct {
	Crashes   []crashEntry    `cbor:"1,keyasint,omitempty"`
	Clearings []clearingEntry `cbor:"2,keyasint,omitempty"`
}

// knownCrashes returns the newest crashes that this node knows.
func (g *Gateway) knownCrashes() knownCrashes {
	now := clock.Now()
	reports, clearings := g.quarantine.guard.Known(maxKnownCrashes)
	var known knownCrashes
	for _, report := range reports {
		known.Crashes = append(known.Crashes, g.newCrashEntry(report, now))
	}
	for _, clearing := range clearings {
		known.Clearings = append(known.Clearings, newClearingEntry(clearing, now))
	}
	return known
}

// learnCrashes records what another node knows. Successes come first, so that no crash counts against work
// that has succeeded since.
func (g *Gateway) learnCrashes(known *knownCrashes) {
	now := clock.Now()
	for _, entry := range known.Clearings {
		g.quarantine.guard.Clear(entry.clearing(now))
	}
	for i := range known.Crashes {
		g.handleCrash(&known.Crashes[i], now)
	}
}

// serveCrashes sends the crashes that this node knows to a node that starts.
func (g *Gateway) serveCrashes(w http.ResponseWriter, _ *http.Request) {
	body, err := cbor.Marshal(g.knownCrashes())
	if err != nil {
		g.log.Error().Err(err).Msg("known crashes cannot be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// An error means that the requesting node is gone.
	_, _ = w.Write(body)
}

// fetchCrashes gets the crashes that a few other nodes know.
func (g *Gateway) fetchCrashes(ctx context.Context, client *http.Client) {
	others := slices.Clone(g.nodes.others())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, node := range others[:min(len(others), crashSources)] {
		known := &knownCrashes{}
		address := g.roster.Member(node).Address
		if err := fetchState(ctx, client, address, pathCrashes, known); err != nil {
			g.sampled.Info().Str("from", address).Err(err).Msg("no crashes from another node")
			continue
		}
		g.learnCrashes(known)
		g.log.Info().Str("from", address).Int("crashes", len(known.Crashes)).Int("clearings", len(known.Clearings)).
			Msg("crashes that another node knows learned")
	}
}
