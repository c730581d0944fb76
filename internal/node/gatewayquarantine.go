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

// harmWorksAtOnce bounds the works of one message, and harmEndsAtOnce the ends: of 28 and
// some 45 bytes each, of the 1,472 of a datagram.
const (
	harmWorksAtOnce = 32
	harmEndsAtOnce  = 8
)

// harmAskedAgain is the number of random nodes that are asked about a work once more.
const harmAskedAgain = 8

const (
	// provenEvery is the time between two words about works that end well, provenFanout the
	// number of random nodes that get one, and provenAtOnce the works of one: 1.5 KB a second
	// at most, and nothing where no work comes twice.
	provenEvery  = time.Second
	provenFanout = 3
	provenAtOnce = 20
)

// harmTold is what a node tells of work that ends replicas, or does not.
type harmTold struct {
	Ends    []endTold     `cbor:"1,keyasint,omitempty"`
	Cleared []clearedTold `cbor:"2,keyasint,omitempty"`
	// Asked is a work that the sender refuses from now on: who has seen it end well is to
	// tell when.
	Asked *quarantine.Work `cbor:"3,keyasint,omitempty"`
}

// endTold is the end of a replica.
type endTold struct {
	Replica string            `cbor:"1,keyasint"`
	Works   []quarantine.Work `cbor:"2,keyasint"`
	AgeMs   int64             `cbor:"3,keyasint"`
	// Lasted is how long each of Works had run, in ms.
	Lasted []int64 `cbor:"4,keyasint,omitempty"`
	// Born tells which start of the replica ended; absent if that is not known, and in what
	// earlier versions of the program tell.
	Born int64 `cbor:"5,keyasint,omitempty"`
	// Well is how long before the end each of Works was last seen to end well, in ms; 0 if the
	// sender has not seen it. A node that has just started knows of it by this.
	Well []int64 `cbor:"6,keyasint,omitempty"`
}

// clearedTold is a work of which a run ended well, or that was released.
type clearedTold struct {
	Work  quarantine.Work `cbor:"1,keyasint"`
	AgeMs int64           `cbor:"2,keyasint"`
}

func clearedOf(one quarantine.Clearing, now time.Time) clearedTold {
	return clearedTold{Work: one.Work, AgeMs: now.Sub(one.At).Milliseconds()}
}

// tellHarm tells all other nodes what ended here, and what ended well. A word that is lost
// comes by the table.
func (g *Gateway) tellHarm(news quarantine.Update) {
	now := clock.Now()
	var told harmTold
	works := 0
	flush := func() {
		if works == 0 {
			return
		}
		g.tellOthers(peer.KindCrashReport, told)
		told, works = harmTold{}, 0
	}
	for _, report := range news.Reports {
		rest, lasted := report.EncodeRuns()
		well := g.harm.EncodeSuccesses(rest, report.At)
		for len(rest) > 0 {
			if works >= harmWorksAtOnce || len(told.Ends) >= harmEndsAtOnce {
				flush()
			}
			count := min(len(rest), harmWorksAtOnce-works)
			told.Ends = append(told.Ends, endTold{
				Replica: report.Replica, Born: report.StartTime, Works: rest[:count], Lasted: lasted[:count], Well: well[:count],
				AgeMs: now.Sub(report.At).Milliseconds(),
			})
			rest, lasted, well = rest[count:], lasted[count:], well[count:]
			works += count
		}
	}
	for _, clearing := range news.Clearings {
		if works >= harmWorksAtOnce {
			flush()
		}
		told.Cleared = append(told.Cleared, clearedOf(clearing, now))
		works++
	}
	flush()
}

// runProven tells a few other nodes of works that end well here again and again, until the
// context ends.
func (g *Gateway) runProven(ctx context.Context) {
	for retry.Sleep(ctx, provenEvery) {
		g.tellProven(g.harm.guard.Proven(provenAtOnce), clock.Now())
	}
}

func (g *Gateway) tellProven(proven []quarantine.Clearing, now time.Time) {
	if len(proven) == 0 {
		return
	}
	var told harmTold
	for _, one := range proven {
		told.Cleared = append(told.Cleared, clearedOf(one, now))
	}
	g.tellSome(g.near.others(), provenFanout, peer.KindCrashReport, told)
}

// askHarm asks all other nodes for what speaks for a work, or a few if they were asked before.
// They may have seen it end well when this node did not listen, or did not run.
func (g *Gateway) askHarm(work quarantine.Work, again bool) bool {
	others, asked := g.near.others(), harmTold{Asked: &work}
	if again {
		g.tellSome(others, harmAskedAgain, peer.KindCrashReport, asked)
	} else {
		g.tellOthers(peer.KindCrashReport, asked)
	}
	return len(others) > 0
}

// answerHarm tells who asked when a work was last seen to end well here, if it was. The answer
// goes where the question came from: a node that has just started is not among those that this
// one knows.
func (g *Gateway) answerHarm(to *net.UDPAddr, work quarantine.Work) {
	at, ok := g.harm.guard.AnswerQuery(work)
	if !ok {
		return
	}
	cleared := clearedOf(quarantine.Clearing{Work: work, At: at}, clock.Now())
	if err := g.peers.Send(to, peer.KindCrashReport, harmTold{Cleared: []clearedTold{cleared}}); err != nil {
		g.sampled.Warn().Err(err).Msg("what speaks for work not told to who asked")
	}
}

// takeHarm handles messages of peer.KindHarm.
func (g *Gateway) takeHarm(from string, source *net.UDPAddr, body []byte) {
	var told harmTold
	if err := cbor.Unmarshal(body, &told); err != nil {
		g.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("ends of replicas told by a node cannot be read")
		return
	}
	now := clock.Now()
	for _, ended := range told.Ends {
		at := ago(now, ended.AgeMs)
		for _, one := range quarantine.DecodeSuccesses(ended.Works, ended.Well, at) {
			g.harm.Clear(one.Work, one.At)
		}
		g.harm.guard.RecordCrash(quarantine.CrashReport{
			Replica: ended.Replica, StartTime: ended.Born, Runs: quarantine.DecodeRuns(ended.Works, ended.Lasted, at), At: at,
		})
	}
	for _, cleared := range told.Cleared {
		g.harm.Clear(cleared.Work, ago(now, cleared.AgeMs))
	}
	if told.Asked != nil {
		g.answerHarm(source, *told.Asked)
	}
}

// ago is the time so many ms ago; what others tell of the future is now.
func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(0, ms)) * time.Millisecond)
}
