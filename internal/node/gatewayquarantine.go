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

// maxMessageWorks bounds the works of one message, and maxMessageCrashes the ends: of 28 and
// some 45 bytes each, of the 1,472 of a datagram.
const (
	maxMessageWorks = 32
	maxMessageCrashes  = 8
)

// repeatQueryFanout is the number of random nodes that are asked about a work once more.
const repeatQueryFanout = 8

const (
	// provenInterval is the time between two words about works that end well, provenFanout the
	// number of random nodes that get one, and provenAtOnce the works of one: 1.5 KB a second
	// at most, and nothing where no work comes twice.
	provenInterval  = time.Second
	provenFanout = 3
	maxProven = 20
)

// quarantineMessage is what a node tells of work that ends replicas, or does not.
type quarantineMessage struct {
	Crashes    []crashEntry     `cbor:"1,keyasint,omitempty"`
	Clearings []clearingEntry `cbor:"2,keyasint,omitempty"`
	// Query is a work that the sender refuses from now on: who has seen it end well is to
	// tell when.
	Query *quarantine.Work `cbor:"3,keyasint,omitempty"`
}

// crashEntry is the end of a replica.
type crashEntry struct {
	Replica string            `cbor:"1,keyasint"`
	Works   []quarantine.Work `cbor:"2,keyasint"`
	AgeMs   int64             `cbor:"3,keyasint"`
	// Durations is how long each of Works had run, in ms.
	Durations []int64 `cbor:"4,keyasint,omitempty"`
	// StartTime tells which start of the replica ended; absent if that is not known, and in what
	// earlier versions of the program tell.
	StartTime int64 `cbor:"5,keyasint,omitempty"`
	// SuccessAges is how long before the end each of Works was last seen to end well, in ms; 0 if the
	// sender has not seen it. A node that has just started knows of it by this.
	SuccessAges []int64 `cbor:"6,keyasint,omitempty"`
}

// clearingEntry is a work of which a run ended well, or that was released.
type clearingEntry struct {
	Work  quarantine.Work `cbor:"1,keyasint"`
	AgeMs int64           `cbor:"2,keyasint"`
}

func newClearingEntry(clearing quarantine.Clearing, now time.Time) clearingEntry {
	return clearingEntry{Work: clearing.Work, AgeMs: now.Sub(clearing.At).Milliseconds()}
}

// broadcastUpdate tells all other nodes what ended here, and what ended well. A word that is lost
// comes by the table.
func (g *Gateway) broadcastUpdate(update quarantine.Update) {
	now := clock.Now()
	var message quarantineMessage
	workCount := 0
	flush := func() {
		if workCount == 0 {
			return
		}
		g.broadcast(peer.KindCrashReport, message)
		message, workCount = quarantineMessage{}, 0
	}
	for _, report := range update.Reports {
		works, durations := report.EncodeRuns()
		successAges := g.quarantine.EncodeSuccesses(works, report.At)
		for len(works) > 0 {
			if workCount >= maxMessageWorks || len(message.Crashes) >= maxMessageCrashes {
				flush()
			}
			count := min(len(works), maxMessageWorks-workCount)
			message.Crashes = append(message.Crashes, crashEntry{
				Replica: report.Replica, StartTime: report.StartTime, Works: works[:count], Durations: durations[:count], SuccessAges: successAges[:count],
				AgeMs: now.Sub(report.At).Milliseconds(),
			})
			works, durations, successAges = works[count:], durations[count:], successAges[count:]
			workCount += count
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

// runProvenReports tells a few other nodes of works that end well here again and again, until the
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

// queryPeers asks all other nodes for what speaks for a work, or a few if they were asked before.
// They may have seen it end well when this node did not listen, or did not run.
func (g *Gateway) queryPeers(work quarantine.Work, repeat bool) bool {
	others, query := g.nodes.others(), quarantineMessage{Query: &work}
	if repeat {
		g.sendToRandom(others, repeatQueryFanout, peer.KindCrashReport, query)
	} else {
		g.broadcast(peer.KindCrashReport, query)
	}
	return len(others) > 0
}

// answerQuery tells who asked when a work was last seen to end well here, if it was. The answer
// goes where the question came from: a node that has just started is not among those that this
// one knows.
func (g *Gateway) answerQuery(to *net.UDPAddr, work quarantine.Work) {
	at, ok := g.quarantine.guard.AnswerQuery(work)
	if !ok {
		return
	}
	entry := newClearingEntry(quarantine.Clearing{Work: work, At: at}, clock.Now())
	if err := g.peers.Send(to, peer.KindCrashReport, quarantineMessage{Clearings: []clearingEntry{entry}}); err != nil {
		g.sampled.Warn().Err(err).Msg("what speaks for work not told to who asked")
	}
}

// handleQuarantineMessage handles messages of peer.KindHarm.
func (g *Gateway) handleQuarantineMessage(from string, source *net.UDPAddr, body []byte) {
	var message quarantineMessage
	if err := cbor.Unmarshal(body, &message); err != nil {
		g.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("ends of replicas told by a node cannot be read")
		return
	}
	now := clock.Now()
	for _, crash := range message.Crashes {
		at := ago(now, crash.AgeMs)
		for _, success := range quarantine.DecodeSuccesses(crash.Works, crash.SuccessAges, at) {
			g.quarantine.Clear(success.Work, success.At)
		}
		g.quarantine.guard.RecordCrash(quarantine.CrashReport{
			Replica: crash.Replica, StartTime: crash.StartTime, Runs: quarantine.DecodeRuns(crash.Works, crash.Durations, at), At: at,
		})
	}
	for _, clearing := range message.Clearings {
		g.quarantine.Clear(clearing.Work, ago(now, clearing.AgeMs))
	}
	if message.Query != nil {
		g.answerQuery(source, *message.Query)
	}
}

// ago is the time so many ms ago; what others tell of the future is now.
func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(0, ms)) * time.Millisecond)
}
