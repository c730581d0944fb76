package steward

import (
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/membership"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

const (
	// digestBudget is what a node may spend on digests, in bytes a second; the
	// time between digests grows with the zone so that it is kept.
	digestBudget = 4000
	// digestBytes is the size of one digest datagram, headers included.
	digestBytes = 110
	// digestMin is the least time between two digests.
	digestMin = 250 * time.Millisecond
	// remoteInterval is the time between digests to other zones.
	remoteInterval = time.Second
	// noticeInterval bounds the notices about one replica to its steward.
	noticeInterval = 25 * time.Millisecond
	// digestsPerDatagram keeps a datagram below the size limit.
	digestsPerDatagram = 12
)

// onlineNotice tells a replica's steward of an online request.
type onlineNotice struct {
	_       struct{} `cbor:",toarray"`
	Replica string
}

// loadDigest is what routers need of a load report.
type loadDigest struct {
	_        struct{} `cbor:",toarray"`
	Replica  string
	State    engine.State
	Role     engine.Role
	Model    string
	Version  string
	Adapters []string
	Slots    int
	Online   int
	Waiting  int
	Batch    int
	Step     float32
	Prefill  float32
	Reported int64
	Fence    uint64
}

type digestMessage struct {
	_       struct{} `cbor:",toarray"`
	Relayed bool
	Loads   []loadDigest
}

func newDigest(replica string, load engine.Load) loadDigest {
	return loadDigest{
		Replica: replica, State: load.State, Role: load.Role, Model: load.Model, Version: load.Version,
		Adapters: load.Adapters, Slots: load.MaxSequences, Online: load.RunningOnline,
		Waiting: load.WaitingOnline, Batch: load.RunningBatch, Step: float32(load.StepMillis),
		Prefill: float32(load.PrefillPerSec), Reported: load.ReportedUnixMs, Fence: load.Fence,
	}
}

func (d loadDigest) load() engine.Load {
	return engine.Load{
		State: d.State, Role: d.Role, Model: d.Model, Version: d.Version, Adapters: d.Adapters,
		MaxSequences: d.Slots, RunningOnline: d.Online, WaitingOnline: d.Waiting, RunningBatch: d.Batch,
		StepMillis: float64(d.Step), PrefillPerSec: float64(d.Prefill), ReportedUnixMs: d.Reported, Fence: d.Fence,
	}
}

// digester sends digests and notices within the budget.
type digester struct {
	options Options

	mu         sync.Mutex
	nextZone   time.Time
	nextRemote time.Time
	noticed    map[string]time.Time
}

func newDigester(options Options) *digester {
	return &digester{options: options, noticed: map[string]time.Time{}}
}

// interval is the time between digests to the zone's nodes.
func interval(peers, replicas int) time.Duration {
	datagrams := max(1, (replicas+digestsPerDatagram-1)/digestsPerDatagram)
	bytes := peers * (datagrams*digestBytes/2 + replicas*digestBytes/2)
	return max(digestMin, time.Duration(float64(bytes)/digestBudget*float64(time.Second)))
}

func (d *digester) send(now time.Time, loads map[string]engine.Load) {
	if len(loads) == 0 {
		return
	}
	digests := make([]loadDigest, 0, len(loads))
	for id, load := range loads {
		digests = append(digests, newDigest(id, load))
	}
	members := d.options.Members()
	if !now.Before(d.nextZone) {
		peers := zonePeers(members, d.options.Zone, d.options.Self)
		d.nextZone = now.Add(interval(len(peers), len(loads)))
		d.broadcast(peers, digests, false)
	}
	if !now.Before(d.nextRemote) {
		d.nextRemote = now.Add(remoteInterval)
		d.broadcast(d.remoteDelegates(members), digests, false)
	}
}

func (d *digester) broadcast(targets []membership.Member, digests []loadDigest, relayed bool) {
	for part := range slices.Chunk(digests, digestsPerDatagram) {
		message := digestMessage{Relayed: relayed, Loads: part}
		for _, target := range targets {
			// A lost digest is made up for by the next one.
			_ = d.options.Transport.Send(target.Address, peer.KindLoadDigest, message)
		}
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

// takeDigest takes in a digest; one from another zone is passed on once within
// this zone.
func (s *Steward) takeDigest(_ string, body []byte) {
	var message digestMessage
	if peer.Decode(body, &message) != nil {
		return
	}
	now := time.Now()
	remote := false
	for _, digest := range message.Loads {
		s.options.Registry.SetLoad(digest.Replica, digest.load(), now)
		remote = remote || s.options.Registry.Zone(digest.Replica) != s.options.Zone
	}
	if remote && !message.Relayed {
		peers := zonePeers(s.options.Members(), s.options.Zone, s.options.Self)
		s.sending.broadcast(peers, message.Loads, true)
	}
}

// notice tells the steward of a replica of an online request, at most once in
// noticeInterval for each replica.
func (d *digester) notice(replica, zone string) {
	now := time.Now()
	d.mu.Lock()
	if now.Sub(d.noticed[replica]) < noticeInterval {
		d.mu.Unlock()
		return
	}
	d.noticed[replica] = now
	d.mu.Unlock()
	members := d.options.Members()
	owner := Owner(members, replica, zone)
	for _, member := range members {
		if member.ID == owner {
			_ = d.options.Transport.Send(member.Address, peer.KindOnlineNotice, onlineNotice{Replica: replica})
		}
	}
}
