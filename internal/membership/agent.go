package membership

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelhoist/wheelhoist/internal/peer"
)

const (
	ticksPerPeriod = 5
	// syncInterval is the time between full exchanges with a random member;
	// they repair what the datagrams lost.
	syncInterval = 20 * time.Second
	// seedInterval is the same while some seed is not a known member.
	seedInterval = 5 * time.Second
	// seedsPerSync is the number of unknown seeds that one exchange tries.
	seedsPerSync = 3
)

// SyncMessage compares or exchanges all members. A question with only Hash is
// answered with Same, or with all members if the hashes differ; so an exchange
// of 320 members is rare and not 26 KB every time.
type SyncMessage struct {
	_       struct{} `cbor:",toarray"`
	Hash    uint64
	Same    bool
	Members []Member
}

// Agent runs a State over a transport. It is safe for concurrent use.
type Agent struct {
	transport *peer.Transport
	config    Config
	seeds     func() []string
	random    *rand.Rand

	mu    sync.Mutex
	state *State
	// snapshot caches the member list of state version snapshotOf.
	snapshot   []Member
	snapshotOf uint64
}

// AgentOptions configures an Agent.
type AgentOptions struct {
	Config    Config
	Self      Member
	Transport *peer.Transport
	// Seeds returns peer addresses to join through; this node's own is skipped.
	Seeds func() []string
	// Confirmed is told of every answered probe. It must not block.
	Confirmed func(Confirmation)
	Seed      uint64
}

// NewAgent returns an agent that answers peers from now on; Run makes it probe.
func NewAgent(options AgentOptions) *Agent {
	agent := &Agent{
		transport: options.Transport, config: options.Config, seeds: options.Seeds,
		random: rand.New(rand.NewPCG(options.Seed, 4)),
	}
	stateRandom := rand.New(rand.NewPCG(options.Seed, 3))
	agent.state = NewState(options.Config, options.Self, stateRandom, options.Confirmed)
	options.Transport.HandleDatagram(peer.KindMembership, agent.receive)
	options.Transport.Handle(peer.KindMemberSync, agent.answerSync)
	return agent
}

// Run probes until the context ends.
func (a *Agent) Run(ctx context.Context) {
	a.join(ctx)
	ticker := time.NewTicker(a.config.ProbePeriod / ticksPerPeriod)
	defer ticker.Stop()
	nextSync := time.Now().Add(syncInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		a.mu.Lock()
		packets := a.state.Tick(now)
		alone := len(a.state.members) == 0
		a.mu.Unlock()
		a.send(packets)
		if now.After(nextSync) || alone {
			nextSync = now.Add(syncInterval)
			if len(a.unknownSeeds()) > 0 {
				nextSync = now.Add(seedInterval)
			}
			go a.join(ctx)
		}
	}
}

// join exchanges members with a random member and with unknown seeds.
func (a *Agent) join(ctx context.Context) {
	targets := a.syncTargets()
	for _, address := range targets {
		if address == a.transport.Address() {
			continue
		}
		a.syncWith(ctx, address)
	}
}

func (a *Agent) syncTargets() []string {
	var live []string
	for _, member := range a.Members() {
		if member.Live() && member.Address != a.transport.Address() {
			live = append(live, member.Address)
		}
	}
	unknown := a.unknownSeeds()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	targets := unknown[:min(len(unknown), seedsPerSync)]
	if len(live) > 0 {
		targets = append(targets, live[a.random.IntN(len(live))])
	}
	return targets
}

// unknownSeeds returns the seeds that are not members in any state.
//
// They must be tried for as long as there are any: two nodes that start at the
// same time may find nobody but each other, and would stay an island if they
// went on asking known members only.
func (a *Agent) unknownSeeds() []string {
	known := map[string]bool{a.transport.Address(): true}
	for _, member := range a.Members() {
		known[member.Address] = true
	}
	var unknown []string
	for _, seed := range a.seeds() {
		if !known[seed] {
			unknown = append(unknown, seed)
		}
	}
	return unknown
}

func (a *Agent) syncWith(ctx context.Context, address string) {
	var answer SyncMessage
	question := SyncMessage{Hash: hashOf(a.Members())}
	if a.transport.Call(ctx, address, peer.KindMemberSync, question, &answer) != nil || answer.Same {
		return
	}
	a.mu.Lock()
	a.state.Merge(time.Now(), answer.Members)
	a.mu.Unlock()
	mine := SyncMessage{Members: newer(a.Members(), answer.Members)}
	if len(mine.Members) == 0 {
		return
	}
	// A lost half of the exchange is made up for by the next one.
	_ = a.transport.Call(ctx, address, peer.KindMemberSync, mine, nil)
}

// newer returns the members of which the first list knows more than the second.
func newer(mine, theirs []Member) []Member {
	known := make(map[string]Member, len(theirs))
	for _, member := range theirs {
		known[member.ID] = member
	}
	var news []Member
	for _, member := range mine {
		other, ok := known[member.ID]
		if !ok || member.overrides(other) {
			news = append(news, member)
		}
	}
	return news
}

// hashOf identifies a list of members, which is in the order of their ids.
func hashOf(members []Member) uint64 {
	digest := xxhash.New()
	for _, member := range members {
		_, _ = digest.WriteString(member.ID)
		var state [9]byte
		binary.LittleEndian.PutUint64(state[:], member.Incarnation)
		state[8] = byte(member.Status)
		_, _ = digest.Write(state[:])
	}
	return digest.Sum64()
}

func (a *Agent) answerSync(_ context.Context, body []byte) (any, error) {
	var message SyncMessage
	if err := peer.Decode(body, &message); err != nil {
		return nil, err
	}
	if len(message.Members) > 0 {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.state.Merge(time.Now(), message.Members)
		return SyncMessage{Same: true}, nil
	}
	members := a.Members()
	if hashOf(members) == message.Hash {
		return SyncMessage{Same: true}, nil
	}
	return SyncMessage{Members: members}, nil
}

func (a *Agent) receive(from string, body []byte) {
	var message Message
	if peer.Decode(body, &message) != nil {
		return
	}
	a.mu.Lock()
	packets := a.state.Handle(time.Now(), from, message)
	a.mu.Unlock()
	a.send(packets)
}

func (a *Agent) send(packets []Packet) {
	for _, packet := range packets {
		// Loss is what the protocol is made for; a failed send is a lost one.
		_ = a.transport.Send(packet.Address, peer.KindMembership, packet.Message)
	}
}

// SetApplied sets the configuration revision told to peers.
func (a *Agent) SetApplied(revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.SetApplied(revision)
}

// Members returns all known members, this node among them, ordered by id. The
// caller must not change the list.
func (a *Agent) Members() []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snapshot == nil || a.snapshotOf != a.state.Version() {
		a.snapshot = a.state.Members()
		a.snapshotOf = a.state.Version()
	}
	return a.snapshot
}

// Self returns this node's own entry.
func (a *Agent) Self() Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Self()
}

// CutZones returns the zones believed to be unreachable.
func (a *Agent) CutZones() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.CutZones()
}

// IsDelegate reports whether this node is a delegate of its zone.
func (a *Agent) IsDelegate() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.IsDelegate()
}

// Delegates returns the ids of a zone's delegates.
func (a *Agent) Delegates(zone string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Delegates(zone)
}

// DeadSince returns when a member was declared dead.
func (a *Agent) DeadSince(id string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.DeadSince(id)
}

// Forget removes a member that is off the machine list.
func (a *Agent) Forget(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Forget(id)
}

// Counters returns the judgement counters.
func (a *Agent) Counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Counters()
}

// Leave announces a planned stop and tells some members at once.
func (a *Agent) Leave(status Status) {
	a.mu.Lock()
	a.state.Leave(status)
	var packets []Packet
	for _, member := range a.state.members {
		if member.Live() {
			packets = append(packets, a.state.packet(*member, Message{Type: Ping, Sequence: 0}))
		}
	}
	a.mu.Unlock()
	a.send(packets)
}
