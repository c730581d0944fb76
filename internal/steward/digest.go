package steward

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/fleet"
	"github.com/wheelhoist/wheelhoist/internal/membership"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

const (
	// digestBudget is what a node may spend on sending digests within its zone,
	// in bytes a second; the time between digests grows with the zone.
	digestBudget = 1800
	// briefBytes is the size of a brief digest, frameBytes that of its frame.
	briefBytes = 26
	frameBytes = 14
	// digestMin is the least time between two digests.
	digestMin = 250 * time.Millisecond
	// fullEvery is how many digests pass between two full ones, beside those
	// that a change calls for.
	fullEvery = 10
	// remoteInterval is the time between two summaries to other zones. A zone
	// that is spilled to is chosen by its summary; what was sent there since
	// corrects it.
	remoteInterval = 10 * time.Second
	// noticeInterval bounds the notices about one replica to its steward.
	noticeInterval = 25 * time.Millisecond
	// briefsPerDatagram and fullsPerDatagram keep datagrams below the size limit.
	briefsPerDatagram = 45
	fullsPerDatagram  = 9
	// relayFanout is the number of children of a node in its zone's relay tree.
	relayFanout = 2
)

// onlineNotice tells a replica's steward of an online request.
type onlineNotice struct {
	_       struct{} `cbor:",toarray"`
	Replica string
}

// briefDigest is the part of a load report that changes all the time.
type briefDigest struct {
	_ struct{} `cbor:",toarray"`
	// Replica is the hash of the replica's id, see fleet.Key.
	Replica uint64
	Online  int
	Waiting int
	Batch   int
	// StepTens is the step time in tenths of a millisecond.
	StepTens int
	// Reported is the low half of the report's time in milliseconds.
	Reported uint32
}

// fullDigest is what routers need of a load report.
type fullDigest struct {
	_        struct{} `cbor:",toarray"`
	Replica  string
	Brief    briefDigest
	Reported int64
	State    engine.State
	Role     engine.Role
	Model    string
	Version  string
	Adapters []string
	Slots    int
	Prefill  float32
	Fence    uint64
}

// digestMessage carries digests. A summary of another zone goes down the relay
// tree of this zone: Hops counts the levels passed.
type digestMessage struct {
	_      struct{} `cbor:",toarray"`
	Hops   int
	Remote bool
	// Round turns the relay tree, so that its inner places are shared.
	Round  int
	Briefs []briefDigest
	Fulls  []fullDigest
}

func newBrief(replica string, load engine.Load) briefDigest {
	return briefDigest{
		Replica: fleet.Key(replica), Online: load.RunningOnline, Waiting: load.WaitingOnline, Batch: load.RunningBatch,
		StepTens: int(load.StepMillis * 10), Reported: uint32(load.ReportedUnixMs),
	}
}

func newFull(replica string, load engine.Load) fullDigest {
	return fullDigest{
		Replica: replica, Brief: newBrief(replica, load), Reported: load.ReportedUnixMs, State: load.State, Role: load.Role, Model: load.Model,
		Version: load.Version, Adapters: load.Adapters, Slots: load.MaxSequences,
		Prefill: float32(load.PrefillPerSec), Fence: load.Fence,
	}
}

func newFulls(loads map[string]engine.Load) []fullDigest {
	fulls := make([]fullDigest, 0, len(loads))
	for id, load := range loads {
		fulls = append(fulls, newFull(id, load))
	}
	return fulls
}

// merge puts the brief part into a load report.
func (d briefDigest) merge(load engine.Load) engine.Load {
	load.RunningOnline, load.WaitingOnline, load.RunningBatch = d.Online, d.Waiting, d.Batch
	load.StepMillis = float64(d.StepTens) / 10
	// The full time is the known one moved on by the difference of the low halves.
	load.ReportedUnixMs += int64(int32(d.Reported - uint32(load.ReportedUnixMs)))
	return load
}

func (d fullDigest) load() engine.Load {
	return d.Brief.merge(engine.Load{
		ReportedUnixMs: d.Reported, State: d.State, Role: d.Role, Model: d.Model, Version: d.Version, Adapters: d.Adapters,
		MaxSequences: d.Slots, PrefillPerSec: float64(d.Prefill), Fence: d.Fence,
	})
}

// slowPart identifies the part of a report that only full digests carry.
func slowPart(load engine.Load) string {
	return fmt.Sprint(load.State, load.Role, load.Model, load.Version, load.Adapters, load.MaxSequences, load.Fence)
}

// digester sends digests and notices within the budget.
type digester struct {
	options Options
	// The fields up to nextRemote belong to the steward's loop.
	nextZone   time.Time
	sentFull   map[string]string
	rounds     int
	nextRemote time.Time
	// remoteRounds counts the summaries to other zones.
	remoteRounds int

	mu      sync.Mutex
	noticed map[string]time.Time
}

func newDigester(options Options) *digester {
	return &digester{options: options, noticed: map[string]time.Time{}, sentFull: map[string]string{}}
}

// interval is the time between digests to the zone's nodes.
func interval(peers, replicas int) time.Duration {
	bytes := peers * (frameBytes + replicas*briefBytes)
	return max(digestMin, time.Duration(float64(bytes)/digestBudget*float64(time.Second)))
}

// send sends what is due.
func (d *digester) send(now time.Time, loads map[string]engine.Load) {
	members := d.options.Members()
	if len(loads) > 0 {
		peers := zonePeers(members, d.options.Zone, d.options.Self)
		d.sendChanged(peers, loads)
		if !now.Before(d.nextZone) {
			d.nextZone = now.Add(interval(len(peers), len(loads)))
			d.sendZone(peers, loads)
		}
	}
	if !now.Before(d.nextRemote) {
		d.nextRemote = now.Add(remoteInterval)
		d.sendRemote(members)
	}
}

// sendChanged tells of a change of what a replica serves at once, to all zones:
// a replica that leaves must get nothing new within seconds.
func (d *digester) sendChanged(peers []membership.Member, loads map[string]engine.Load) {
	var changed []fullDigest
	for id, load := range loads {
		if key := slowPart(load); d.sentFull[id] != key {
			d.sentFull[id] = key
			changed = append(changed, newFull(id, load))
		}
	}
	if len(changed) == 0 {
		return
	}
	d.sendFulls(peers, changed, false)
	d.sendFulls(d.remoteDelegates(d.options.Members()), changed, true)
}

func (d *digester) sendZone(peers []membership.Member, loads map[string]engine.Load) {
	d.rounds++
	d.sendLoads(peers, loads, d.rounds%fullEvery == 0, false)
}

// sendLoads sends the reports of replicas, in full or in brief.
func (d *digester) sendLoads(targets []membership.Member, loads map[string]engine.Load, full, remote bool) {
	if full {
		d.sendFulls(targets, newFulls(loads), remote)
		return
	}
	d.sendBriefs(targets, loads, remote)
}

func (d *digester) sendFulls(targets []membership.Member, fulls []fullDigest, remote bool) {
	for part := range slices.Chunk(fulls, fullsPerDatagram) {
		d.sendAll(targets, digestMessage{Fulls: part, Remote: remote, Round: d.remoteRounds})
	}
}

func (d *digester) sendAll(targets []membership.Member, message digestMessage) {
	for _, target := range targets {
		// A lost digest is made up for by the next one.
		_ = d.options.Transport.Send(target.Address, peer.KindLoadDigest, message)
	}
}

// sendRemote lets the first delegate of a zone send a summary of the zone's
// replicas to one delegate of each other zone.
func (d *digester) sendRemote(members []membership.Member) {
	delegates := d.options.Delegates(d.options.Zone)
	if len(delegates) == 0 || delegates[0] != d.options.Self {
		return
	}
	d.remoteRounds++
	targets := d.remoteDelegates(members)
	loads := d.options.Registry.Loads(d.options.Zone)
	d.sendLoads(targets, loads, d.remoteRounds%fullEvery == 1, true)
}

func (d *digester) sendBriefs(targets []membership.Member, loads map[string]engine.Load, remote bool) {
	var briefs []briefDigest
	for id, load := range loads {
		briefs = append(briefs, newBrief(id, load))
	}
	for part := range slices.Chunk(briefs, briefsPerDatagram) {
		d.sendAll(targets, digestMessage{Briefs: part, Remote: remote, Round: d.remoteRounds})
	}
}

func zonePeers(members []membership.Member, zone, self string) []membership.Member {
	var peers []membership.Member
	for _, member := range members {
		if member.Live() && member.ID != self && member.Zone == zone {
			peers = append(peers, member)
		}
	}
	return peers
}

// remoteDelegates returns one delegate of each other zone, in turn.
func (d *digester) remoteDelegates(members []membership.Member) []membership.Member {
	var chosen []membership.Member
	var zones []string
	for _, member := range members {
		if member.Zone != d.options.Zone && member.Live() && !slices.Contains(zones, member.Zone) {
			zones = append(zones, member.Zone)
		}
	}
	turn := int(d.nextRemote.Unix())
	for _, zone := range zones {
		delegates := d.options.Delegates(zone)
		if len(delegates) == 0 {
			continue
		}
		id := delegates[turn%len(delegates)]
		for _, member := range members {
			if member.ID == id {
				chosen = append(chosen, member)
			}
		}
	}
	return chosen
}

// takeDigest takes in a digest; one from another zone goes on down the tree.
func (s *Steward) takeDigest(_ string, body []byte) {
	var message digestMessage
	if peer.Decode(body, &message) != nil {
		return
	}
	for _, digest := range message.Fulls {
		s.options.Registry.SetLoad(digest.Replica, digest.load())
	}
	for _, digest := range message.Briefs {
		s.options.Registry.UpdateLoad(digest.Replica, digest.merge)
	}
	if message.Remote {
		s.sending.relay(message)
	}
}

// maxHops bounds a relay; a tree of this depth reaches 8,191 nodes.
const maxHops = 12

// relay passes a message on in the zone along a tree that is the same for all
// its nodes: the members in the order of their ids, turned by the message's
// round, each node's children at the positions after twice its own. The
// delegate that got the message from outside hands it to the root.
func (d *digester) relay(message digestMessage) {
	if message.Hops > maxHops {
		return
	}
	peers := turned(zonePeers(d.options.Members(), d.options.Zone, ""), message.Round)
	position := slices.IndexFunc(peers, func(member membership.Member) bool { return member.ID == d.options.Self })
	fromOutside := message.Hops == 0
	message.Hops++
	if fromOutside && position != 0 {
		if len(peers) > 0 {
			_ = d.options.Transport.Send(peers[0].Address, peer.KindLoadDigest, message)
		}
		return
	}
	for child := relayFanout*position + 1; child <= relayFanout*position+relayFanout && child < len(peers); child++ {
		if position >= 0 {
			_ = d.options.Transport.Send(peers[child].Address, peer.KindLoadDigest, message)
		}
	}
}

// turned returns a list that begins at another place each round.
func turned(list []membership.Member, round int) []membership.Member {
	if len(list) == 0 {
		return list
	}
	const stride = 7 // moves the inner places far in each round
	start := round * stride % len(list)
	return append(append([]membership.Member(nil), list[start:]...), list[:start]...)
}

// notice tells the steward of a replica of an online request, at most once in
// noticeInterval for each replica.
func (d *digester) notice(replica, address string) {
	if address == "" {
		return
	}
	now := time.Now()
	d.mu.Lock()
	recent := now.Sub(d.noticed[replica]) < noticeInterval
	if !recent {
		d.noticed[replica] = now
	}
	d.mu.Unlock()
	if !recent {
		_ = d.options.Transport.Send(address, peer.KindOnlineNotice, onlineNotice{Replica: replica})
	}
}
