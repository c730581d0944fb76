package replica

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/place"
)

const (
	// othersWeight is the weight of the newest load report.
	othersWeight = 0.6
	// othersFade is the time after which a report tells little.
	othersFade = 3 * time.Second
	// waitingFade is the time after which a report of waiting requests tells
	// nothing.
	waitingFade = 400 * time.Millisecond
	// refusedFill is the assumed load, in slots, of a replica that refused, and
	// refusedFade how fast that assumption fades.
	refusedFill = 2.0
	refusedFade = 400 * time.Millisecond
)

// entry is the set's record of a replica.
type entry struct {
	info  Info
	key   uint64
	open  int
	batch int
	// leaving counts the items among batch that were asked to give way.
	leaving int
	// borrowed counts the items among batch, without those leaving, in slots of others.
	borrowed int
	// starved counts those among borrowed that keep their slots.
	starved int
	// evacuated is set if operators empty the zone; rebuild sets it.
	evacuated bool
	// share is the number of slots that are this node's.
	share    int
	pending  int
	others   float64
	reported time.Time
	// waiting is the number of requests that the last report says were waiting.
	waiting   int
	waitingAt time.Time
	// refusedAt is when it last refused a request of this node.
	refusedAt time.Time
	health    health
	// own is what this node has seen of it of late, told what others tell.
	own    Tally
	told   map[string]reportedTally
	shared sharedEjection
	// heard is when anything last came from the replica.
	heard time.Time
	// vanished is when the entry left the list; zero while it is listed.
	vanished time.Time
	cold     coldness
	// uses are the requests there that have not ended.
	uses map[*Use]struct{}
	// followers are told when the replica has started again.
	followers map[chan struct{}]struct{}
	// unreachableAt is when it last took no connection of this node.
	unreachableAt time.Time
	// restartedAt is when it was noticed to have started again under its id; zero if this
	// is the first start that this node knows of.
	restartedAt time.Time
	// before is what was said of the start before.
	before Info
	// replaced is set once the replica is known to have started again since: what comes
	// of the requests sent before says nothing of it any more.
	replaced bool
}

// Set is a node's view of all replicas. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	entries map[string]*entry
	// unlisted are the entries of replicas that are not listed and still have requests of
	// this node: whether they start again concerns these.
	unlisted map[string]*entry
	// byPool is rebuilt from entries when stale is set.
	byPool map[string][]*entry
	byKey  map[uint64]*entry
	stale  bool
	// Zone is where this node stands. It is set before use.
	Zone string
	// self and nodes are between whom the slots are divided; none means that all
	// are this node's.
	self  string
	nodes []place.Node
	// here is where this node is, as nodes tell each other.
	here place.Place
	// division rises with each change of these.
	division uint64
	// demand is what online requests take of each pool, at this node.
	demand map[string]*demand
	// evacuated are the zones that operators empty.
	evacuated map[string]bool
	// fleet is what nodes have told of each pool.
	fleet map[string]*fleetView
	// outageEnd is when the list's source came back after a long outage. doubts is set while
	// there may be entries that vanished around it.
	outageEnd time.Time
	doubts    bool
	// heard is when anything last came from any replica.
	heard   time.Time
	changed chan struct{}
	// coldLimits are what cold replicas bear, by pool; coldHeld counts what was held
	// back for it.
	coldLimits map[string]ColdLimit
	coldHeld   uint64
	// listedAt is a time as of which the list of replicas is known; zero if nobody tells.
	listedAt time.Time
	// feedList are the nodes that may feed cold replicas by the division feedDivision,
	// feedSelf is this node's place among them.
	feedList []feedNode
	feedSelf int
	// notJoined is set while this node is not among the members that it knows.
	notJoined    bool
	feedDivision uint64
	// ColdTolerance must be set before the first use.
	ColdTolerance ColdTolerance
	// Ejected is told of each ejection, outside the lock.
	Ejected func(info Info, result Result)
	// EjectedByMany is told, outside the lock, of each replica that is left out on the evidence
	// of several nodes.
	EjectedByMany func(ejection SharedEjection)
	// Restarted is told, outside the lock, of each replica that has started again under its
	// id.
	Restarted func(restart Restart)
	// Pressed is asked, outside the lock, to make batch items of this node give
	// way at a replica.
	Pressed func(id string, items int, why Pressure)
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{entries: map[string]*entry{}, unlisted: map[string]*entry{}, byPool: map[string][]*entry{}, demand: map[string]*demand{}, fleet: map[string]*fleetView{}, changed: make(chan struct{})}
}

// Put takes in a listed replica. It reports whether the replica was not listed before; one
// that has started again under its id was.
func (s *Set) Put(info Info) bool { return s.put(info, clock.Now()) }

func (s *Set) put(info Info, now time.Time) bool {
	added, restart := s.take(info, now)
	if restart != nil && s.Restarted != nil {
		s.Restarted(*restart)
	}
	return added
}

func (s *Set) take(info Info, now time.Time) (added bool, restart *Restart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, listed := s.entries[info.ID]
	known, fresh, restart := s.entryFor(&info, now)
	moved := !listed || fresh || known.info.Pool != info.Pool || known.info.Slots != info.Slots || known.info.place() != info.place()
	known.info = info
	known.vanished = time.Time{}
	if info.ColdLeft > 0 {
		s.chill(known, now.Add(info.ColdLeft), ColdTold, now)
	}
	if moved {
		s.index()
	} else {
		s.wake()
	}
	return !listed, restart
}

// index marks the lists by pool as out of date. The caller holds mu.
func (s *Set) index() {
	s.stale = true
	s.wake()
}

// pool returns the entries of a pool in the order of their ids. The caller holds mu.
func (s *Set) pool(name string) []*entry {
	if s.stale {
		s.rebuild()
	}
	return s.byPool[name]
}

func (s *Set) rebuild() {
	byPool := make(map[string][]*entry, len(s.byPool))
	byKey := make(map[uint64]*entry, len(s.entries))
	for _, known := range s.entries {
		byKey[known.key] = known
		known.evacuated = s.evacuated[known.info.Zone]
		byPool[known.info.Pool] = append(byPool[known.info.Pool], known)
	}
	for _, list := range byPool {
		sort.Slice(list, func(i, j int) bool { return list[i].info.ID < list[j].info.ID })
	}
	s.byPool, s.byKey = byPool, byKey
	s.stale = false
	s.divide()
}

// wake tells those that wait for a change. The caller holds mu.
func (s *Set) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change that may free
// room: an ended request, a listed replica.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Count returns the numbers of listed and of ejected replicas.
func (s *Set) Count(now time.Time) (listed, ejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range s.entries {
		listed++
		if known.ejected(now) {
			ejected++
		}
	}
	return listed, ejected
}

// Get returns a listed replica.
func (s *Set) Get(id string) (Info, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[id]
	if !ok {
		return Info{}, false
	}
	return known.info, true
}

// List returns all listed replicas of all pools.
func (s *Set) List(now time.Time) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale {
		s.rebuild()
	}
	var list []Candidate
	for _, known := range s.entries {
		list = append(list, s.candidate(known, now))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Snapshot returns the replicas of a pool that a choice looks at now, in the order
// of their ids: those where this node has slots, those that it has heard from a
// moment ago, a few random ones, and the home of a prefix. In a small fleet these
// are all. What a node knows of others is old; the least busy of all by that
// knowledge would be flooded, the least busy of a few random ones is not
// (Mitzenmacher, 2001). Nor does the cost of a request grow with the fleet.
func (s *Set) Snapshot(pool string, affinity uint64, now time.Time) []Candidate {
	return s.SnapshotFor(pool, &Demand{Affinity: affinity}, now)
}

// SnapshotFor returns the replicas of a pool that a choice for a request looks at. If
// operators keep the request from all of them, these are the ones returned, for the
// choice to tell why there is none.
func (s *Set) SnapshotFor(pool string, demand *Demand, now time.Time) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.allowed(s.pool(pool), demand)
	if len(list) == 0 {
		return s.candidatesOf(s.pool(pool), now)
	}
	near := nearby(list, demand.Region)
	chosen := s.sample(list, near, now)
	if s.allHeld(chosen, demand.Batch, now) {
		return s.candidatesOf(list, now)
	}
	if home := homeAmong(near, demand.Affinity, now); home != nil && !slices.Contains(chosen, home) {
		chosen = append(chosen, home)
	}
	return s.candidatesOf(chosen, now)
}

// allowed returns the entries that a request may be sent to for where they stand. The
// caller holds mu.
func (s *Set) allowed(list []*entry, demand *Demand) []*entry {
	if demand.Regions == nil && len(s.evacuated) == 0 {
		return list
	}
	allowed := make([]*entry, 0, len(list))
	for _, known := range list {
		if !s.evacuated[known.info.Zone] && demand.Regions.Allows(known.info.Region) {
			allowed = append(allowed, known)
		}
	}
	return allowed
}

func (s *Set) candidatesOf(list []*entry, now time.Time) []Candidate {
	candidates := make([]Candidate, 0, len(list))
	for _, known := range list {
		if known.info.Leaving || known.forgotten(now) {
			continue
		}
		candidates = append(candidates, s.candidate(known, now))
	}
	return candidates
}

// candidate returns an entry as the picker sees it. The caller holds mu.
func (s *Set) candidate(e *entry, now time.Time) Candidate {
	known := s.demandOf(e.info.Pool)
	known.turnover(now)
	return Candidate{
		First: known.first, Soonest: known.soonest(), PatienceShare: known.patienceShare(e.info.Slots), SlotTime: known.hold() / time.Duration(max(1, e.info.Slots)),
		Info: e.info, Key: e.key, Open: e.open - e.leaving, Batch: e.batch - e.leaving, Share: s.shareOf(e, now), Cold: s.coldView(e, now),
		Others: e.othersAt(now), PendingTokens: e.pending, Ejected: e.ejected(now), Failing: s.failureShare(e, now), Waiting: e.waitingAtTime(now),
		Age: e.loadAge(now), Fresh: e.fresh(now), Fleet: s.fleetUsage(e.info.Pool, now),
		Evacuated: s.evacuated[e.info.Zone],
	}
}

// fresh reports whether something came from the replica a moment ago.
func (e *entry) fresh(now time.Time) bool { return now.Sub(e.heard) < freshFor }

// loadAge is the age of the last report of load; -1 if there was none.
func (e *entry) loadAge(now time.Time) time.Duration {
	if e.waitingAt.IsZero() {
		return -1
	}
	return now.Sub(e.waitingAt)
}

// waitingAtTime fades the last report of waiting requests.
func (e *entry) waitingAtTime(now time.Time) float64 {
	age := now.Sub(e.waitingAt)
	if e.waiting == 0 || age >= waitingFade {
		return 0
	}
	return float64(e.waiting) * (1 - float64(age)/float64(waitingFade))
}

// othersAt fades the estimate as the report grows old.
func (e *entry) othersAt(now time.Time) float64 {
	age := now.Sub(e.reported)
	if e.others == 0 || age >= othersFade {
		return 0
	}
	return e.others * (1 - float64(age)/float64(othersFade))
}
