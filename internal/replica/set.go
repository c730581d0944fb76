package replica

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica/division"
)

const (
	// othersWeight is the weight of the newest load report in the estimate of others' requests.
	othersWeight = 0.6
	// othersDecayTime is the time over which that estimate decays to zero.
	othersDecayTime = 3 * time.Second
	// waitingDecayTime is the time over which a report of waiting requests decays to zero.
	waitingDecayTime = 400 * time.Millisecond
	// refusedLoad is the assumed load, in multiples of its slots, of a replica that refused a
	// request, and refusedDecayTime the time over which that assumption decays to zero.
	refusedLoad      = 2.0
	refusedDecayTime = 400 * time.Millisecond
)

// entry is the set's record of one start of a replica. The set's lock guards it.
type entry struct {
	info  Info
	key   uint64
	open  int
	batch int
	// preempted counts the items among batch that were asked to stop.
	preempted int
	// borrowed counts the items among batch in slots of other nodes, without the preempted ones.
	borrowed int
	// starved counts the items among borrowed that are exempt from preemption.
	starved int
	// evacuated is set if operators evacuate the zone.
	evacuated bool
	// share is the number of slots that are allotted to this node.
	share int
	// pending is the number of prompt tokens in requests without a first event yet.
	pending int
	// observations is unobserved until this node observes something of the replica; see own.
	*observations
	// delistedAt is when the replica left the list; zero while it is listed.
	delistedAt time.Time
	// removing is set while the entry waits to be removed from the index.
	removing bool
	// active is set while the entry is among the active ones of the index.
	active bool
	// uses are the requests in flight there.
	uses map[*Use]struct{}
	// followers are closed when the replica restarts.
	followers map[chan struct{}]struct{}
	// restartedAt is when this node noticed the restart that led to this entry; zero for the
	// first start that it knows of.
	restartedAt time.Time
	// previous describes the previous start; nil for the first one.
	previous *Info
	// superseded is set once the replica is known to have restarted: results of requests sent to
	// this start no longer apply to the replica.
	superseded bool
}

// Set is a node's view of all replicas. It is safe for concurrent use. Its exported fields must
// be set before the first use; the callbacks are called without the lock held.
type Set struct {
	mu      sync.Mutex
	entries map[string]*entry
	// unlisted are entries of replicas that are not listed and still have requests or followers
	// of this node, which must be notified of a restart.
	unlisted map[string]*entry
	// index orders entries. It is built anew when indexStale is set.
	index      index
	indexStale bool
	// shard is the part of the fleet among which this node's slots are divided.
	shard              division.Shard
	divideInBackground bool
	// ownSlots is the number of slots of this node as of the last division.
	ownSlots int
	// divisions counts how often the division was computed.
	divisions uint64
	// Zone is the zone of this node.
	Zone string
	// self and nodes are this node and all those among which slots are divided. If self is not
	// in nodes, all slots are allotted to this node.
	self  string
	nodes []place.Node
	// selfPlace is the place of this node according to nodes.
	selfPlace place.Place
	// generation is incremented when nodes, notJoined or coldLimits change, on which the senders of
	// cold replicas depend.
	generation uint64
	// estimates holds, by pool, what this node has learned from its own requests.
	estimates map[string]*poolEstimates
	// evacuated are the zones that operators evacuate.
	evacuated map[string]bool
	// fleet holds, by pool, the sums of what nodes reported, elsewhere the idle slots of other regions.
	fleet     map[string]*fleetView
	elsewhere map[string]*idleElsewhere
	// outageEnd is when the last long outage of the store that lists replicas ended.
	// pendingDelisted is set while there may be entries that were delisted around it.
	outageEnd       time.Time
	pendingDelisted bool
	// lastReceived is when this node last received data from any replica.
	lastReceived time.Time
	// changed is closed and replaced at each change; see Changed.
	changed chan struct{}
	// coldLimits are the limits of cold replicas by pool; coldHeldBack counts the sends held
	// back for them.
	coldLimits   map[string]ColdLimit
	coldHeldBack uint64
	// endedPools are the pools with entries marked as ended.
	endedPools map[string]bool
	// listTime is the time as of which the list is known; zero if SetListTime was never called.
	// warmReportsDue is the list time from which on no replica is awaited to report that it is warm.
	listTime, warmReportsDue time.Time
	// listKnownSince is the time since when the list has been known without a gap longer than
	// maxSoftwareListAge.
	listKnownSince time.Time
	// pastSoftware holds, by pool and software version, when a replica of it was last dropped from the
	// list.
	pastSoftware map[string]map[string]time.Time
	// senderList are the nodes that may be senders of cold replicas, as of senderDivision, and
	// senderSelf is this node's index among them.
	senderList []senderNode
	senderSelf int
	// notJoined is set while this node is not among the members that it knows.
	notJoined        bool
	senderGeneration uint64
	// ColdTolerance bounds how far a cold replica's rate may be exceeded.
	ColdTolerance ColdTolerance
	// OnEjected is called for each ejection on this node's own evidence.
	OnEjected func(info Info, result Result)
	// OnSharedEjection is called for each ejection on the evidence of several nodes.
	OnSharedEjection func(ejection SharedEjection)
	// OnRestart is called for each replica that has restarted under its ID.
	OnRestart func(restart Restart)
	// OnPressure is called to preempt batch items of this node at a replica.
	OnPressure func(id string, items int, pressure Pressure)
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{entries: map[string]*entry{}, unlisted: map[string]*entry{}, estimates: map[string]*poolEstimates{}, fleet: map[string]*fleetView{}, elsewhere: map[string]*idleElsewhere{}, changed: make(chan struct{})}
}

// Put adds or updates a listed replica. It reports whether the replica was not listed before. A replica
// that restarted under its ID counts as listed before.
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
	known, listed := s.entries[info.ID]
	e, _, restart := s.entryFor(&info, now)
	divided := e.info.Pool == info.Pool && e.info.Slots == info.Slots && e.info.place() == info.place()
	if listed && known != e {
		s.index.remove(known)
	}
	e.info = info
	e.delistedAt = time.Time{}
	e.evacuated = s.evacuated[info.Zone]
	s.recordListedCold(e, now)
	switch {
	case known != e:
		s.index.add(e)
	case !divided:
		s.indexStale = true
	}
	s.notifyChanged()
	return !listed, restart
}

// invalidateIndex marks the whole index as out of date. The caller holds mu.
func (s *Set) invalidateIndex() {
	s.indexStale = true
	s.notifyChanged()
}

// pool returns the entries of a pool in the order of their IDs. The caller holds mu.
func (s *Set) pool(name string) []*entry {
	s.updateIndex()
	if p := s.index.pools[name]; p != nil {
		return p.all
	}
	return nil
}

// active returns, in the order of their IDs, the entries of a pool that may have slots or requests of
// this node. The cost of what a node does for itself then does not grow with the list. The senders of a
// cold replica have its slots, so with limits for cold replicas any entry may. The caller holds mu.
func (s *Set) active(name string) []*entry {
	all := s.pool(name)
	if p := s.index.pools[name]; p != nil && len(s.coldLimits) == 0 {
		return p.active
	}
	return all
}

// deactivateUnused removes the entries that this node no longer uses from the active ones. The caller
// holds mu.
func (s *Set) deactivateUnused(now time.Time) {
	s.index.deactivate(func(e *entry) bool {
		return e.share == 0 && e.open == 0 && !e.fresh(now) && !e.ownTally.recent(now)
	})
}

// updateIndex brings the index up to date, and the division too unless this is left to the background.
// The caller holds mu.
func (s *Set) updateIndex() {
	if s.indexStale {
		s.index = newIndex(s.entries, s.shard)
		s.indexStale = false
	}
	s.index.merge()
	if s.index.divisionStale && (!s.divideInBackground || s.ownSlots == 0) {
		s.divide()
	}
}

// notifyChanged closes the channel that Changed returned. The caller holds mu.
func (s *Set) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change that may free capacity, such as a
// request that ends or a replica that is listed.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Count returns the number of listed and of ejected replicas.
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

// Listed returns the number of listed replicas.
func (s *Set) Listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// Get returns the description of a listed replica.
func (s *Set) Get(id string) (Info, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return Info{}, false
	}
	return e.info, true
}

// List returns all listed replicas of all pools in the order of their IDs.
func (s *Set) List(now time.Time) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateIndex()
	var list []Candidate
	for _, e := range s.entries {
		list = append(list, s.candidate(e, now))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Snapshot returns the candidates of a pool for one choice, in the order of their IDs: replicas
// with slots of this node, replicas that it received data from recently, a few random ones, and
// the replica to which prompts with the same prefix are sent. In a small fleet these are all.
// The known load of other replicas is old. If all nodes chose the replica with the least load by old
// data, they would overload it; choosing among a few random ones does not (Mitzenmacher, 2001). It
// also makes the cost of a choice independent of the size of the fleet.
func (s *Set) Snapshot(pool string, affinity uint64, now time.Time) []Candidate {
	return s.SnapshotFor(pool, &Criteria{Affinity: affinity}, now)
}

// SnapshotFor returns the candidates of a pool for a request. If evacuations, the regions of the
// request or its software version exclude all replicas, it returns all of them, so that Pick can
// report the reasons.
func (s *Set) SnapshotFor(pool string, criteria *Criteria, now time.Time) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.allowed(s.pool(pool), criteria)
	if len(list) == 0 {
		return s.candidates(s.pool(pool), now)
	}
	inRegion := nearby(list, criteria.Region)
	chosen := s.sample(s.allowed(s.active(pool), criteria), list, inRegion, criteria, now)
	if s.allBlocked(chosen, criteria.Batch, now) {
		return s.candidates(list, now)
	}
	if preferred := affinityEntry(inRegion, criteria.Affinity, now); preferred != nil && !slices.Contains(chosen, preferred) {
		chosen = append(chosen, preferred)
	}
	return s.candidates(chosen, now)
}

// allowed returns the entries that evacuations, the regions and the software version of the request
// permit. The caller holds mu.
func (s *Set) allowed(list []*entry, criteria *Criteria) []*entry {
	if criteria.Regions == nil && criteria.SoftwareVersion == nil && len(s.evacuated) == 0 {
		return list
	}
	allowed := make([]*entry, 0, len(list))
	for _, e := range list {
		if !s.evacuated[e.info.Zone] && criteria.Regions.Allows(e.info.Region) && !criteria.excludesSoftware(e) {
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

// candidate returns the snapshot of an entry. The caller holds mu.
func (s *Set) candidate(e *entry, now time.Time) Candidate {
	estimates := s.estimatesFor(e.info.Pool)
	estimates.advance(now)
	return Candidate{
		FirstEvent: estimates.firstEvent, MinFirstEvent: estimates.minFirstEvent(), PatienceShare: estimates.patienceShare(e.info.Slots), SlotTime: estimates.slotHold() / time.Duration(max(1, e.info.Slots)),
		Info: e.info, Key: e.key, Open: e.open - e.preempted, Batch: e.batch - e.preempted, Share: s.shareOf(e, now), Cold: s.coldView(e, now),
		Others: e.decayedOthers(now), PendingTokens: e.pending, Ejected: e.ejected(now), FailureShare: s.failureShare(e, now), Waiting: e.decayedWaiting(now),
		LoadAge: e.loadAge(now), Fresh: e.fresh(now), FleetUsage: s.fleetUsage(e.info.Pool, now),
		Evacuated: s.evacuated[e.info.Zone], Silence: max(e.silence(now), e.pauseBeforeConnection(now)),
	}
}

// silence returns the time for which the replica has sent nothing although it has requests of this node; 0
// if it has none.
func (e *entry) silence(now time.Time) time.Duration {
	if len(e.uses) == 0 {
		return 0
	}
	if e.lastReceived.After(e.awaitedSince) {
		return now.Sub(e.lastReceived)
	}
	return now.Sub(e.awaitedSince)
}

// fresh reports whether this node received data from the replica within freshFor.
func (e *entry) fresh(now time.Time) bool { return now.Sub(e.lastReceived) < freshFor }

// loadAge returns the age of the last load report; -1 if there is none.
func (e *entry) loadAge(now time.Time) time.Duration {
	if e.loadReportedAt.IsZero() {
		return -1
	}
	return now.Sub(e.loadReportedAt)
}

// decayedWaiting returns the last reported number of waiting requests, decayed by its age.
func (e *entry) decayedWaiting(now time.Time) float64 {
	age := now.Sub(e.loadReportedAt)
	if e.waiting == 0 || age >= waitingDecayTime {
		return 0
	}
	return float64(e.waiting) * (1 - float64(age)/float64(waitingDecayTime))
}

// decayedOthers returns the estimate of other nodes' requests, decayed by its age.
func (e *entry) decayedOthers(now time.Time) float64 {
	age := now.Sub(e.othersUpdatedAt)
	if e.others == 0 || age >= othersDecayTime {
		return 0
	}
	return e.others * (1 - float64(age)/float64(othersDecayTime))
}
