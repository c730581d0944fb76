package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// coldAsk asks for a place at a cold replica.
type coldAsk struct {
	Number  uint64 `cbor:"1,keyasint"`
	Replica string `cbor:"2,keyasint"`
	// Presumed is set if nothing told the asker that the replica is cold but the age of its
	// list.
	Presumed bool `cbor:"3,keyasint,omitempty"`
	// Born tells which start of the replica the sender knows of; absent if it does not know,
	// and in what earlier versions of the program ask.
	Born int64 `cbor:"4,keyasint,omitempty"`
}

// coldAnswer grants the place, or does not.
type coldAnswer struct {
	Number  uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint"`
}

// coldDesk asks other nodes for places at cold replicas, and answers those that ask.
type coldDesk struct {
	replicas *replica.Set
	roster   *lease.Roster
	send     func(to *net.UDPAddr, kind peer.Kind, body any) error
	failed   func(err error)

	mu      sync.Mutex
	waiting map[uint64]chan bool
}

// answerCold has this node ask others for places at cold replicas, and answer them.
func (g *Gateway) answerCold(socket *peer.Socket) {
	desk := &coldDesk{replicas: g.replicas, roster: g.roster, send: socket.Send}
	desk.failed = func(err error) { g.sampled.Warn().Err(err).Msg("message about a cold replica failed") }
	socket.Handle(peer.KindColdGrantRequest, desk.take(clock.Now))
	socket.Handle(peer.KindColdGrantReply, desk.answered)
	g.forwarder.ColdGranter = desk
}

// RequestGrant implements forward.ColdFeeders. What is lost is not granted: the asker's time is
// over before the place would be used.
func (d *coldDesk) RequestGrant(ctx context.Context, feeder replica.ColdSender) bool {
	to, err := net.ResolveUDPAddr("udp4", d.roster.Address(feeder.Node))
	if err != nil {
		// The node has not told its address.
		return false
	}
	number, answered := d.register()
	defer d.forget(number)
	asked := coldAsk{Number: number, Replica: feeder.Replica, Presumed: feeder.Presumed, Born: feeder.StartedUnixMs}
	if err := d.send(to, peer.KindColdGrantRequest, asked); err != nil {
		d.failed(err)
		return false
	}
	select {
	case granted := <-answered:
		return granted
	case <-ctx.Done():
		return false
	}
}

func (d *coldDesk) register() (number uint64, answered chan bool) {
	number, answered = rand.Uint64(), make(chan bool, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting == nil {
		d.waiting = map[uint64]chan bool{}
	}
	d.waiting[number] = answered
	return number, answered
}

func (d *coldDesk) forget(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, number)
}

// take handles messages of peer.KindColdAsk.
func (d *coldDesk) take(now func() time.Time) peer.Handler {
	return func(_ string, source *net.UDPAddr, body []byte) {
		var asked coldAsk
		if err := cbor.Unmarshal(body, &asked); err != nil {
			d.failed(err)
			return
		}
		grant := d.replicas.GrantCold
		if asked.Presumed {
			grant = d.replicas.GrantPresumed
		}
		// A place at another start of the replica would not count against its rate.
		granted := d.replicas.IsCurrentStart(asked.Replica, asked.Born) && grant(asked.Replica, now())
		answer := coldAnswer{Number: asked.Number, Granted: granted}
		if err := d.send(source, peer.KindColdGrantReply, answer); err != nil {
			d.failed(err)
		}
	}
}

// answered handles messages of peer.KindColdAnswer.
func (d *coldDesk) answered(_ string, _ *net.UDPAddr, body []byte) {
	var answer coldAnswer
	if err := cbor.Unmarshal(body, &answer); err != nil {
		d.failed(err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if waiting, ok := d.waiting[answer.Number]; ok {
		delete(d.waiting, answer.Number)
		waiting <- answer.Granted
	}
}
