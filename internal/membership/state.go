package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// probe is an outstanding probe of this node.
type probe struct {
	target   string
	sequence uint64
	sent     time.Time
	indirect bool
	acked    bool
	// judges is false for probes of remote delegates, which never raise suspicion.
	judges bool
}

// relay remembers a probe made on behalf of another member.
type relay struct {
	requester string
	sequence  uint64
	target    string
	expires   time.Time
}

// Confirmation tells that a peer answered a probe of this node.
type Confirmation struct {
	Peer Member
	// Sent is when the probe was sent: whatever the peer answered was true
	// at or after this time.
	Sent time.Time
	// Applied is the peer's configuration revision in force.
	Applied uint64
}

// Counters count the judgements of one node.
type Counters struct {
	Suspicions  uint64
	Deaths      uint64
	Refutations uint64
}

// State is the protocol as a pure state machine: time, messages and chance go
// in, packets come out. It is not safe for concurrent use.
type State struct {
	config  Config
	self    Member
	random  *rand.Rand
	applied uint64

	members    map[string]*Member
	suspected  map[string]time.Time
	diedAt     map[string]time.Time
	broadcasts map[string]int
	order      []string
	position   int
	sequence   uint64
	probes     []*probe
	relays     map[uint64]relay
	lastTick   time.Time
	nextProbe  time.Time
	periods    uint64
	zoneHeard  map[string]time.Time
	cutZones   []string
	confirmed  func(Confirmation)
	counters   Counters
	version    uint64
	// delegates caches the delegates by zone for version delegatesOf.
	delegates   map[string][]string
	delegatesOf uint64
}

// NewState returns a state that knows only itself. confirmed may be nil.
func NewState(config Config, self Member, random *rand.Rand, confirmed func(Confirmation)) *State {
	if confirmed == nil {
		confirmed = func(Confirmation) {}
	}
	s := &State{
		config: config, self: self, random: random, confirmed: confirmed,
		members: map[string]*Member{}, suspected: map[string]time.Time{}, diedAt: map[string]time.Time{},
		broadcasts: map[string]int{}, relays: map[uint64]relay{}, zoneHeard: map[string]time.Time{},
	}
	s.self.Status = Alive
	s.broadcast(s.self.ID)
	return s
}

// SetApplied sets the configuration revision told to peers.
func (s *State) SetApplied(revision uint64) { s.applied = revision }

// Self returns this node's own entry.
func (s *State) Self() Member { return s.self }

// Counters returns the judgement counters.
func (s *State) Counters() Counters { return s.counters }

// Version rises whenever the list of members changes.
func (s *State) Version() uint64 { return s.version }

// Members returns all known members with this node, ordered by id.
func (s *State) Members() []Member {
	list := make([]Member, 0, len(s.members)+1)
	list = append(list, s.self)
	for _, member := range s.members {
		list = append(list, *member)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// CutZones returns the zones believed to be unreachable.
func (s *State) CutZones() []string { return slices.Clone(s.cutZones) }

// DeadSince returns when a member was declared dead.
func (s *State) DeadSince(id string) (time.Time, bool) {
	since, ok := s.diedAt[id]
	return since, ok
}

// Forget removes a member that is off the machine list.
func (s *State) Forget(id string) {
	if _, ok := s.members[id]; !ok {
		return
	}
	delete(s.members, id)
	delete(s.suspected, id)
	delete(s.diedAt, id)
	delete(s.broadcasts, id)
	s.version++
}

// Leave announces a planned stop; Leaving first, Left at the end.
func (s *State) Leave(status Status) {
	s.self.Status = status
	s.self.Incarnation++
	s.broadcast(s.self.ID)
	s.version++
}

// Merge takes in news about members, from a message or a full exchange.
func (s *State) Merge(now time.Time, updates []Member) {
	for _, update := range updates {
		s.merge(now, update)
	}
}

func (s *State) merge(now time.Time, update Member) {
	if update.ID == s.self.ID {
		s.refute(update)
		return
	}
	known, exists := s.members[update.ID]
	if exists && !update.overrides(*known) {
		return
	}
	if !exists {
		known = &Member{}
		s.members[update.ID] = known
		s.order = append(s.order, update.ID)
	}
	*known = update
	delete(s.suspected, update.ID)
	delete(s.diedAt, update.ID)
	switch update.Status {
	case Suspect:
		s.suspected[update.ID] = now
	case Dead:
		s.diedAt[update.ID] = now
	}
	s.broadcast(update.ID)
	s.version++
}

// refute overrides what others wrongly believe of this node.
func (s *State) refute(update Member) {
	if update.Incarnation < s.self.Incarnation {
		return
	}
	if update.Incarnation == s.self.Incarnation && update.Status <= s.self.Status {
		return
	}
	s.self.Incarnation = update.Incarnation + 1
	s.counters.Refutations++
	s.broadcast(s.self.ID)
	s.version++
}

func (s *State) broadcast(id string) {
	s.broadcasts[id] = retransmitFactor * bits.Len(uint(len(s.members)+1))
}

// updates picks the news repeated least often so far. News about the receiver
// comes first, so that a suspect learns of it at once.
func (s *State) updates(receiver string) []Member {
	ids := make([]string, 0, len(s.broadcasts))
	for id := range s.broadcasts {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := s.broadcasts[ids[i]], s.broadcasts[ids[j]]
		if a != b {
			return a > b
		}
		return ids[i] < ids[j]
	})
	var news []Member
	if member, ok := s.members[receiver]; ok && member.Status != Alive {
		news = append(news, *member)
	}
	for _, id := range ids {
		if len(news) >= updatesPerMessage {
			break
		}
		if id == receiver {
			continue
		}
		news = append(news, s.member(id))
		s.broadcasts[id]--
		if s.broadcasts[id] <= 0 {
			delete(s.broadcasts, id)
		}
	}
	return news
}

func (s *State) member(id string) Member {
	if id == s.self.ID {
		return s.self
	}
	return *s.members[id]
}

// zoneSize counts the live members of a zone.
func (s *State) zoneSize(zone string) int {
	size := 0
	if s.self.Zone == zone {
		size++
	}
	for _, member := range s.members {
		if member.Zone == zone && member.Live() {
			size++
		}
	}
	return size
}

// judged reports whether this node probes and judges a member.
func (s *State) judged(member *Member) bool {
	if member.Zone == s.self.Zone {
		return true
	}
	return s.zoneSize(member.Zone) < smallZone || s.zoneSize(s.self.Zone) < smallZone
}

// Delegates returns the ids of a zone's delegates, by rank of hash. The caller
// must not change the list.
func (s *State) Delegates(zone string) []string {
	if s.delegatesOf != s.version || s.delegates == nil {
		s.delegates = map[string][]string{}
		s.delegatesOf = s.version
	}
	chosen, ok := s.delegates[zone]
	if !ok {
		chosen = s.chooseDelegates(zone)
		s.delegates[zone] = chosen
	}
	return chosen
}

func (s *State) chooseDelegates(zone string) []string {
	var ids []string
	if s.self.Zone == zone && s.self.Status == Alive {
		ids = append(ids, s.self.ID)
	}
	for id, member := range s.members {
		if member.Zone == zone && member.Status == Alive {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return xxhash.Sum64String(ids[i]) < xxhash.Sum64String(ids[j]) })
	return ids[:min(len(ids), delegatesPerZone)]
}

// IsDelegate reports whether this node is a delegate of its zone.
func (s *State) IsDelegate() bool { return slices.Contains(s.Delegates(s.self.Zone), s.self.ID) }

// remoteZones returns the other zones with members, in order.
func (s *State) remoteZones() []string {
	var zones []string
	for _, member := range s.members {
		if member.Zone != s.self.Zone && member.Status != Left && !slices.Contains(zones, member.Zone) {
			zones = append(zones, member.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}
