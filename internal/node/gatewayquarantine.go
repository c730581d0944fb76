package node

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// maxMessageWorks and maxMessageCrashes bound the works and crashes of one message. A work takes 28
// bytes and a crash about 45, and a datagram holds 1,472.
const (
	maxMessageWorks   = 32
	maxMessageCrashes = 8
)

// repeatQueryFanout is the number of random nodes that a repeated query for a work is sent to.
const repeatQueryFanout = 8

const (
	// provenInterval is the time between two messages about works that succeed repeatedly,
	// provenFanout the number of random nodes that get each, and maxProven the number of works in
	// one: at most 1.5 KB a second, and nothing if no work repeats.
	provenInterval = time.Second
	provenFanout   = 3
	maxProven      = 20
)

// quarantineMessage reports works that crashed replicas, works that succeeded, and trials that claim
// replicas.
type quarantineMessage struct {
	Crashes   []crashEntry    `cbor:"1,keyasint,omitempty"`
	Clearings []clearingEntry `cbor:"2,keyasint,omitempty"`
	// Query is a work that the sender refuses from now on. A node that has seen it succeed replies
	// with the time.
	Query *quarantine.Work `cbor:"3,keyasint,omitempty"`
	// Forward is set if the receiver, a relay, is to send the message on to the nodes that follow it.
	Forward bool `cbor:"4,keyasint,omitempty"`
	// Claim is a claim of a replica by a trial of the sender.
	Claim *claimEntry `cbor:"5,keyasint,omitempty"`
	// OnBehalf is set if the sender knows no members of the fleet and the receiver is to send the message on
	// to them.
	OnBehalf bool `cbor:"6,keyasint,omitempty"`
	// Reply is set in answers to crash reports, which are not answered.
	Reply bool `cbor:"7,keyasint,omitempty"`
	// PassedOn is set if a node sends on what another one sent it. It is not passed on again.
	PassedOn bool `cbor:"8,keyasint,omitempty"`
}

// empty reports whether the message has no content.
func (m *quarantineMessage) empty() bool {
	return len(m.Crashes)+len(m.Clearings) == 0 && m.Claim == nil && m.Query == nil
}

// crashEntry is a crash of a replica.
type crashEntry struct {
	Replica string            `cbor:"1,keyasint"`
	Works   []quarantine.Work `cbor:"2,keyasint"`
	AgeMs   int64             `cbor:"3,keyasint"`
	// Durations is how long each of Works had run, in ms.
	Durations []int64 `cbor:"4,keyasint,omitempty"`
	// StartedUnixMs identifies the start of the replica that crashed. It is absent if unknown, and
	// in messages of earlier versions.
	StartedUnixMs int64 `cbor:"5,keyasint,omitempty"`
	// SuccessAges is how long before the crash each of Works last succeeded, in ms; 0 if the sender
	// has not seen it succeed. It informs nodes that have just started.
	SuccessAges []int64 `cbor:"6,keyasint,omitempty"`
	// Trials are those of Works whose run was a trial.
	Trials []quarantine.Work `cbor:"7,keyasint,omitempty"`
	// Parts are the parts of the prompts of the runs. The other fields correspond to those of Works.
	Parts           []quarantine.Work `cbor:"8,keyasint,omitempty"`
	PartDurations   []int64           `cbor:"9,keyasint,omitempty"`
	PartSuccessAges []int64           `cbor:"10,keyasint,omitempty"`
	PartTrials      []quarantine.Work `cbor:"11,keyasint,omitempty"`
}

// clearingEntry is a work that succeeded or was released.
type clearingEntry struct {
	Work  quarantine.Work `cbor:"1,keyasint"`
	AgeMs int64           `cbor:"2,keyasint"`
	// Part is set if Work identifies a part of prompts.
	Part bool `cbor:"3,keyasint,omitempty"`
}

// clearing returns the clearing that the entry reports.
func (e *clearingEntry) clearing(now time.Time) quarantine.Clearing {
	return quarantine.Clearing{Work: e.Work, At: ago(now, e.AgeMs), Part: e.Part}
}

func newClearingEntry(clearing quarantine.Clearing, now time.Time) clearingEntry {
	return clearingEntry{Work: clearing.Work, AgeMs: now.Sub(clearing.At).Milliseconds(), Part: clearing.Part}
}

// broadcastUpdate sends crashes and clearings of this node to all other nodes, over the relays if there
// are any, so that no node sends a message to each other one. If a message is lost, they reach other
// nodes through the table.
func (g *Gateway) broadcastUpdate(update quarantine.Update) {
	now := clock.Now()
	var message quarantineMessage
	workCount := 0
	flush := func() {
		if workCount == 0 {
			return
		}
		g.spread(message)
		message, workCount = quarantineMessage{}, 0
	}
	for _, report := range update.Reports {
		runs, parts := report.Runs, report.Parts
		for len(runs)+len(parts) > 0 {
			if workCount >= maxMessageWorks || len(message.Crashes) >= maxMessageCrashes {
				flush()
			}
			runCount := min(len(runs), maxMessageWorks-workCount)
			partCount := min(len(parts), maxMessageWorks-workCount-runCount)
			report.Runs, report.Parts = runs[:runCount], parts[:partCount]
			message.Crashes = append(message.Crashes, g.quarantine.exchange.newEntry(report, now))
			runs, parts = runs[runCount:], parts[partCount:]
			workCount += runCount + partCount
		}
	}
	for _, clearing := range update.Clearings {
		if workCount >= maxMessageWorks {
			flush()
		}
		message.Clearings = append(message.Clearings, newClearingEntry(clearing, now))
		workCount++
	}
	flush()
}

// spread sends a message to all other nodes, over the relays if there are any.
func (g *Gateway) spread(message quarantineMessage) {
	g.sendToFollowers(message)
	g.sendToUnlisted(message)
	message.Forward = len(g.relays.nodes()) > 0
	g.broadcast(peer.KindCrashReport, message)
}

// sendToFollowers sends a message to the nodes that follow this one, if it is a relay.
func (g *Gateway) sendToFollowers(message quarantineMessage) {
	message.Forward = false
	for _, node := range g.relays.followers() {
		g.sendToNode(node, peer.KindCrashReport, message)
	}
}

// runProvenReports reports works that succeed here repeatedly to a few other nodes, until the
// context ends.
func (g *Gateway) runProvenReports(ctx context.Context) {
	for retry.Sleep(ctx, provenInterval) {
		g.sendProven(g.quarantine.guard.Proven(maxProven), clock.Now())
	}
}

func (g *Gateway) sendProven(proven []quarantine.Clearing, now time.Time) {
	if len(proven) == 0 {
		return
	}
	var message quarantineMessage
	for _, clearing := range proven {
		message.Clearings = append(message.Clearings, newClearingEntry(clearing, now))
	}
	g.sendToRandom(g.nodes.others(), provenFanout, peer.KindCrashReport, message)
}

// queryPeers asks other nodes when a work last succeeded. They may have seen successes that this node
// missed, for example because it was not running. It asks all of them, or a few if the query is
// repeated. In a fleet with relays only the node that runs the trials of the work asks all, and tells the
// others what it learns.
func (g *Gateway) queryPeers(work quarantine.Work, repeat bool) bool {
	others, query := g.nodes.others(), quarantineMessage{Query: &work}
	if len(g.relays.nodes()) > 0 && !g.quarantine.guard.Trials.Owns(work) {
		repeat = true
	}
	if repeat {
		g.sendToRandom(others, repeatQueryFanout, peer.KindCrashReport, query)
	} else {
		for _, node := range others {
			g.sendToNode(node, peer.KindCrashReport, query)
		}
	}
	unlisted := g.contacts.unlisted(others, clock.Now())
	for _, known := range unlisted {
		g.sendToAddress(lease.Node(known.session), known.address, peer.KindCrashReport, query)
	}
	return len(others)+len(unlisted) > 0
}

// answerQuery replies with the time at which a work last succeeded here, if any. The reply goes to
// the source address of the query, because this node may not know a node that has just started.
func (g *Gateway) answerQuery(to *net.UDPAddr, work quarantine.Work) {
	clearing, ok := g.quarantine.guard.AnswerQuery(work)
	if !ok {
		return
	}
	entry := newClearingEntry(clearing, clock.Now())
	if err := g.peers.Send(to, peer.KindCrashReport, quarantineMessage{Clearings: []clearingEntry{entry}}); err != nil {
		g.sampled.Warn().Err(err).Msg("reply to a query about work not sent")
	}
}

// handleQuarantineMessage handles peer.KindCrashReport.
func (g *Gateway) handleQuarantineMessage(from string, source *net.UDPAddr, body []byte) {
	var message quarantineMessage
	if err := cbor.Unmarshal(body, &message); err != nil {
		g.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("crash report of a node cannot be decoded")
		return
	}
	now := clock.Now()
	direct := message.Forward || len(g.relays.nodes()) == 0
	for _, reply := range g.quarantine.exchange.receive(&message, direct, now) {
		if err := g.peers.Send(source, peer.KindCrashReport, reply); err != nil {
			g.sampled.Warn().Err(err).Msg("crashes under a part of prompts not sent to a node that seems not to know them")
		}
	}
	for _, entry := range message.Clearings {
		g.handleClearing(entry.clearing(now), message.Forward)
	}
	if message.Claim != nil {
		g.quarantine.ClaimReplica(message.Claim.claim(now), now)
	}
	if message.Forward {
		g.sendToFollowers(message)
	}
	g.passOn(from, message)
	if message.Query != nil {
		g.answerQuery(source, *message.Query)
	}
}

// handleClearing records that a work succeeded at another node. In a fleet with relays, where only the
// node that runs the trials of a suspect work asks all others about it, that node tells the others of
// an answer. forwarded is set if all nodes get the message already.
func (g *Gateway) handleClearing(clearing quarantine.Clearing, forwarded bool) {
	previous := g.quarantine.guard.Clear(clearing)
	if forwarded || len(previous.Replicas) == 0 || len(g.relays.nodes()) == 0 || !g.quarantine.guard.Trials.Owns(clearing.Work) {
		return
	}
	g.quarantine.publisher.PublishClearing(clearing)
}

// ago returns the time the given number of ms before now. Negative ages, which other nodes may
// send, count as 0.
func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(0, ms)) * time.Millisecond)
}
