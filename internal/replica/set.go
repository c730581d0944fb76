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
	// othersDecayTime is the time after which a report tells little.
	othersDecayTime = 3 * time.Second
	// waitingDecayTime is the time after which a report of waiting requests tells
	// nothing.
	waitingDecayTime = 400 * time.Millisecond
	// refusedLoad is the assumed load, in slots, of a replica that refused, and
	// refusedFade how fast that assumption fades.
	refusedLoad      = 2.0
	refusedDecayTime = 400 * time.Millisecond
)

// entry is the set's record of a replica.
type entry struct {
	info  Info
	key   uint64
	open  int
	batch int
	// preempted counts the items among batch that were asked to give way.
	preempted int
	// borrowed counts the items among batch, without those leaving, in slots of others.
	borrowed int
	// starved counts those among borrowed that keep their slots.
	starved int
	// evacuated is set if operators empty the zone; rebuild sets it.
	evacuated bool
	// share is the number of slots that are this node's.
	share           int
	pending         int
	others          float64
	othersUpdatedAt time.Time
	// waiting is the number of requests that the last report says were waiting.
	waiting        int
	loadReportedAt time.Time
	// refusedAt is when it last refused a request of this node.
	refusedAt time.Time
	health    health
	// ownTally is what this node has seen of it of late, told what others tell.
	ownTally Tally
	reports  map[string]reportedTally
	shared   sharedEjection
	// lastReceived is when anything last came from the replica.
	lastReceived time.Time
	// delistedAt is when the entry left the list; zero while it is listed.
	delistedAt time.Time
	cold       coldState
	// uses are the requests there that have not ended.
	uses map[*Use]struct{}
	// followers are told when the replica has started again.
	followers map[chan struct{}]struct{}
	// unreachableAt is when it last took no connection of this node.
	unreachableAt time.Time
	// restartedAt is when it was noticed to have started again under its id; zero if this
	// is the first start that this node knows of.
	restartedAt time.Time
	// previous is what was said of the start previous.
	previous Info
	// superseded is set once the replica is known to have started again since: what comes
	// of the requests sent before says nothing of it any more.
	superseded bool
}

// Set is a node's view of all replicas. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	entries map[string]*entry
	// unlisted are the entries of replicas that are not listed and still have requests of
	// this node: whether they start again concerns these.
	unlisted map[string]*entry
	// byPool is rebuilt from entries when stale is set.
	byPool     map[string][]*entry
	byKey      map[uint64]*entry
	indexStale bool
	// Zone is where this node stands. It is set before use.
	Zone string
	// self and nodes are between whom the slots are divided; none means that all
	// are this node's.
	self  string
	nodes []place.Node
	// selfPlace is where this node is, as nodes tell each other.
	selfPlace place.Place
	// division rises with each change of these.
	division uint64
	// estimates is what online requests take of each pool, at this node.
	estimates map[string]*poolEstimates
	// evacuated are the zones that operators empty.
	evacuated map[string]bool
	// fleet is what nodes have told of each pool.
	fleet map[string]*fleetView
	// outageEnd is when the list's source came back after a long outage. doubts is set while
	// there may be entries that vanished around it.
	outageEnd       time.Time
	pendingDelisted bool
	// lastReceived is when anything last came from any replica.
	lastReceived time.Time
	changed      chan struct{}
	// coldLimits are what cold replicas bear, by pool; coldHeld counts what was held
	// back for it.
	coldLimits   map[string]ColdLimit
	coldHeldBack uint64
	// listTime is a time as of which the list of replicas is known; zero if nobody tells.
	listTime time.Time
	// senderList are the nodes that may feed cold replicas by the division feedDivision,
	// feedSelf is this node's place among them.
	senderList []senderNode
	senderSelf int
	// notJoined is set while this node is not among the members that it knows.
	notJoined      bool
	senderDivision uint64
	// ColdTolerance must be set before the first use.
	ColdTolerance ColdTolerance
	// OnEjected is told of each ejection, outside the lock.
	OnEjected func(info Info, result Result)
	// OnSharedEjection is told, outside the lock, of each replica that is left out on the evidence
	// of several nodes.
	OnSharedEjection func(ejection SharedEjection)
	// OnRestart is told, outside the lock, of each replica that has started again under its
	// id.
	OnRestart func(restart Restart)
	// OnPressure is asked, outside the lock, to make batch items of this node give
	// way at a replica.
	OnPressure func(id string, items int, why Pressure)
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{entries: map[string]*entry{}, unlisted: map[string]*entry{}, byPool: map[string][]*entry{}, estimates: map[string]*poolEstimates{}, fleet: map[string]*fleetView{}, changed: make(chan struct{})}
}

// Put takes in a listed replica. It reports whether the replica was not listed before; one
// that has started again under its id was.
func (s *Set) Put(info Info) bool { return s.put(info, clock.Now()) }

func (s *Set) put(info Info, now time.Time) bool {
	added, restart := s.update(info, now)
	if restart != nil && s.OnRestart != nil {
		s.OnRestart(*restart)
	}
	return added
}

func (s *Set) update(info Info, now time.Time) (added bool, restart *Restart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, listed := s.entries[info.ID]
	e, fresh, restart := s.entryFor(&info, now)
	reindex := !listed || fresh || e.info.Pool != info.Pool || e.info.Slots != info.Slots || e.info.place() != info.place()
	e.info = info
	e.delistedAt = time.Time{}
	if info.ColdLeft > 0 {
		s.markCold(e, now.Add(info.ColdLeft), ColdReported, now)
	}
	if reindex {
		s.invalidateIndex()
	} else {
		s.notifyChanged()
	}
	return !listed, restart
}

// invalidateIndex marks the lists by pool as out of date. The caller holds mu.
func (s *Set) invalidateIndex() {
	s.indexStale = true
	s.notifyChanged()
}

// pool returns the entries of a pool in the order of their ids. The caller holds mu.
func (s *Set) pool(name string) []*entry {
	if s.indexStale {
		s.rebuild()
	}
	return s.byPool[name]
}

func (s *Set) rebuild() {
	byPool := make(map[string][]*entry, len(s.byPool))
	byKey := make(map[uint64]*entry, len(s.entries))
	for _, e := range s.entries {
		byKey[e.key] = e
		e.evacuated = s.evacuated[e.info.Zone]
		byPool[e.info.Pool] = append(byPool[e.info.Pool], e)
	}
	for _, list := range byPool {
		sort.Slice(list, func(i, j int) bool { return list[i].info.ID < list[j].info.ID })
	}
	s.byPool, s.byKey = byPool, byKey
	s.indexStale = false
	s.divide()
}

// notifyChanged tells those that wait for a change. The caller holds mu.
func (s *Set) notifyChanged() {
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
	for _, e := range s.entries {
		listed++
		if e.ejected(now) {
			ejected++
		}
	}
	return listed, ejected
}

// Get returns a listed replica.
func (s *Set) Get(id string) (Info, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return Info{}, false
	}
	return e.info, true
}

// List returns all listed replicas of all pools.
func (s *Set) List(now time.Time) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.indexStale {
		s.rebuild()
	}
	var list []Candidate
	for _, e := range s.entries {
		list = append(list, s.candidate(e, now))
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
	return s.SnapshotFor(pool, &Criteria{Affinity: affinity}, now)
}

// SnapshotFor returns the replicas of a pool that a choice for a request looks at. If
// operators keep the request from all of them, these are the ones returned, for the
// choice to tell why there is none.
func (s *Set) SnapshotFor(pool string, criteria *Criteria, now time.Time) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.allowed(s.pool(pool), criteria)
	if len(list) == 0 {
		return s.candidates(s.pool(pool), now)
	}
	nearby := nearby(list, criteria.Region)
	chosen := s.sample(list, nearby, now)
	if s.allBlocked(chosen, criteria.Batch, now) {
		return s.candidates(list, now)
	}
	if home := affinityEntry(nearby, criteria.Affinity, now); home != nil && !slices.Contains(chosen, home) {
		chosen = append(chosen, home)
	}
	return s.candidates(chosen, now)
}

// allowed returns the entries that a request may be sent to for where they stand. The
// caller holds mu.
func (s *Set) allowed(list []*entry, criteria *Criteria) []*entry {
	if criteria.Regions == nil && len(s.evacuated) == 0 {
		return list
	}
	allowed := make([]*entry, 0, len(list))
	for _, e := range list {
		if !s.evacuated[e.info.Zone] && criteria.Regions.Allows(e.info.Region) {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

func (s *Set) candidates(list []*entry, now time.Time) []Candidate {
	candidates := make([]Candidate, 0, len(list))
	for _, e := range list {
		if e.info.Leaving || e.graceExpired(now) {
			continue
		}
		candidates = append(candidates, s.candidate(e, now))
	}
	return candidates
}

// candidate returns an entry as the picker sees it. The caller holds mu.
func (s *Set) candidate(e *entry, now time.Time) Candidate {
	estimates := s.estimatesFor(e.info.Pool)
	estimates.advance(now)
	return Candidate{
		FirstEvent: estimates.firstEvent, MinFirstEvent: estimates.minFirstEvent(), PatienceShare: estimates.patienceShare(e.info.Slots), SlotTime: estimates.slotHold() / time.Duration(max(1, e.info.Slots)),
		Info: e.info, Key: e.key, Open: e.open - e.preempted, Batch: e.batch - e.preempted, Share: s.shareOf(e, now), Cold: s.coldView(e, now),
		Others: e.decayedOthers(now), PendingTokens: e.pending, Ejected: e.ejected(now), FailureShare: s.failureShare(e, now), Waiting: e.decayedWaiting(now),
		LoadAge: e.loadAge(now), Fresh: e.fresh(now), FleetUsage: s.fleetUsage(e.info.Pool, now),
		Evacuated: s.evacuated[e.info.Zone],
	}
}

// fresh reports whether something came from the replica a moment ago.
func (e *entry) fresh(now time.Time) bool { return now.Sub(e.lastReceived) < freshFor }

// loadAge is the age of the last report of load; -1 if there was none.
func (e *entry) loadAge(now time.Time) time.Duration {
	if e.loadReportedAt.IsZero() {
		return -1
	}
	return now.Sub(e.loadReportedAt)
}

// decayedWaiting fades the last report of waiting requests.
func (e *entry) decayedWaiting(now time.Time) float64 {
	age := now.Sub(e.loadReportedAt)
	if e.waiting == 0 || age >= waitingDecayTime {
		return 0
	}
	return float64(e.waiting) * (1 - float64(age)/float64(waitingDecayTime))
}

// decayedOthers fades the estimate as the report grows old.
func (e *entry) decayedOthers(now time.Time) float64 {
	age := now.Sub(e.othersUpdatedAt)
	if e.others == 0 || age >= othersDecayTime {
		return 0
	}
	return e.others * (1 - float64(age)/float64(othersDecayTime))
}
