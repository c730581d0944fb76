package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

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
	// maxCrashResponses is the number of requests for crashes that a node serves at the same time. When many
	// nodes start, the others ask elsewhere or again.
	maxCrashResponses = 8
	// crashRequestInterval is the time between two looks for nodes to ask, crashRequestPeriod the time after
	// its start for which a node requests crashes.
	crashRequestInterval = 20 * time.Millisecond
	crashRequestPeriod   = 10 * time.Second
	// maxCrashWait is how long after its start a node holds requests until it knows the crashes of the past,
	// from its first read of the rows or from another node.
	maxCrashWait = 300 * time.Millisecond
	// pathCrashes is the HTTP path under which nodes serve the crashes that they know.
	pathCrashes = "/v1/crashes"
)

// knownCrashes are the crashes that a node knows and when the work that ran on the replicas last succeeded.
type knownCrashes struct {
	Crashes   []crashEntry    `cbor:"1,keyasint,omitempty"`
	Clearings []clearingEntry `cbor:"2,keyasint,omitempty"`
	// Incomplete is set if the node knows only what it saw and heard since its start.
	Incomplete bool `cbor:"3,keyasint,omitempty"`
}

// addTransit makes successes older by the time in transit, which their ages do not include: a success that
// seemed newer than it is would clear crashes that came after it. Crashes stay as of their arrival, since
// one that seemed older than it is would be cleared by an earlier success.
func (k *knownCrashes) addTransit(inTransitMs int64) {
	older := func(ageMs int64) int64 {
		return min(max(0, ageMs), maxStatedAge.Milliseconds()) + inTransitMs
	}
	for i := range k.Clearings {
		k.Clearings[i].AgeMs = older(k.Clearings[i].AgeMs)
	}
	for _, crash := range k.Crashes {
		for _, ages := range [][]int64{crash.SuccessAges, crash.PartSuccessAges} {
			for i, ageMs := range ages {
				// 0 means that no success is known.
				if ageMs > 0 {
					ages[i] = older(ageMs)
				}
			}
		}
	}
}

// collectCrashes returns the newest crashes that this node knows.
func (g *Gateway) collectCrashes() knownCrashes {
	now := clock.Now()
	reports, clearings := g.quarantine.guard.Known(maxKnownCrashes)
	known := knownCrashes{Incomplete: !g.populated()}
	for _, report := range reports {
		known.Crashes = append(known.Crashes, g.quarantine.exchange.newEntry(report, now))
	}
	for _, clearing := range clearings {
		known.Clearings = append(known.Clearings, newClearingEntry(clearing, now))
	}
	return known
}

// learnCrashes records what another node knows. Successes come first, so that no crash counts against work
// that has succeeded since. Requests wait on if that node itself has yet to learn the crashes of the past.
func (g *Gateway) learnCrashes(known *knownCrashes) {
	now := clock.Now()
	for _, entry := range known.Clearings {
		g.quarantine.guard.Clear(entry.clearing(now))
	}
	for i := range known.Crashes {
		g.quarantine.exchange.record(&known.Crashes[i], now)
	}
	if !known.Incomplete {
		g.markCrashesKnown()
	}
}

// awaitCrashes waits until this node knows the crashes of the past, or has run for maxCrashWait. Routes and
// replicas are often known some ms before, and a request may repeat what crashed replicas.
func (g *Gateway) awaitCrashes(ctx context.Context) {
	select {
	case <-g.crashesKnown:
	case <-ctx.Done():
	}
}

// serveCrashes sends the crashes that this node knows to a node that starts.
func (g *Gateway) serveCrashes(w http.ResponseWriter, _ *http.Request) {
	defer g.crashRequests.Add(-1)
	if g.crashRequests.Add(1) > maxCrashResponses {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := cbor.Marshal(g.collectCrashes())
	if err != nil {
		g.log.Error().Err(err).Msg("known crashes cannot be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// An error means that the requesting node is gone.
	_, _ = w.Write(body)
}

// inquiryResult is the end of a request for the crashes that the node at an address knows.
type inquiryResult struct {
	address  string
	answered bool
}

// runCrashRequests requests the crashes that a few other nodes know, from the start on. This node may have
// routes and replicas, and so send requests, well before it has the rows with crashes.
func (g *Gateway) runCrashRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, crashRequestPeriod)
	defer cancel()
	client := &http.Client{Timeout: bootstrapTimeout, Transport: peerTransport()}
	ticker := time.NewTicker(crashRequestInterval)
	defer ticker.Stop()
	inquiry, results := &crashInquiry{}, make(chan inquiryResult, maxInquiries)
	for !inquiry.complete() {
		if address, ok := inquiry.next(g.knownAddresses(), clock.Now()); ok {
			g.spawn(func() {
				results <- inquiryResult{address, g.fetchCrashes(ctx, client, address)}
			})
		}
		select {
		case result := <-results:
			inquiry.end(result.address, result.answered)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// knownAddresses returns the addresses of a few nodes that a starting node can ask: those that sent it a
// datagram, those of the settings, and one that the table names.
func (g *Gateway) knownAddresses() []string {
	addresses := g.sourcesAndSeeds()
	if others := g.nodes.others(); len(others) > 0 {
		if address := g.roster.Member(others[rand.IntN(len(others))]).Address; address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// sourcesAndSeeds returns the addresses of nodes that sent this one a datagram, newest first, and then those
// of the settings, in random order so that nodes which start together do not all ask the same one first.
func (g *Gateway) sourcesAndSeeds() []string {
	var addresses []string
	for _, source := range slices.Backward(g.peers.Sources()) {
		addresses = append(addresses, source.String())
	}
	seeds := g.settings.Gateway.SeedAddresses()
	for _, i := range rand.Perm(len(seeds)) {
		addresses = append(addresses, seeds[i])
	}
	return addresses
}

// fetchCrashes gets the crashes that another node knows. It returns false if that one does not answer, or has
// itself yet to learn the crashes of the past.
func (g *Gateway) fetchCrashes(ctx context.Context, client *http.Client, address string) bool {
	requestedAt := clock.Now()
	known := &knownCrashes{}
	if err := fetchState(ctx, client, address, pathCrashes, known); err != nil {
		g.sampled.Info().Str("from", address).Err(err).Msg("no crashes from another node")
		return false
	}
	known.addTransit(transitSince(requestedAt))
	g.learnCrashes(known)
	g.sampled.Info().Str("from", address).Int("crashes", len(known.Crashes)).Int("clearings", len(known.Clearings)).
		Bool("incomplete", known.Incomplete).Msg("learned the crashes that another node knows")
	return !known.Incomplete
}
