package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// minRefreshInterval is the minimum time between two calls of Refresh.
	minRefreshInterval = 400 * time.Millisecond
	// refreshIntervalPerSession is the part of the refresh interval that grows with the fleet. It
	// limits all nodes together to 125 reads per second. If each read returns all sessions, that is
	// about 15 KB/s per node.
	refreshIntervalPerSession = 8 * time.Millisecond
	// maxRefreshInterval is the maximum time between two reads of the neighbours, whose cost
	// does not depend on the fleet. Two reads fit into the session time to live of 3 s.
	maxRefreshInterval = 1200 * time.Millisecond
)

// endStagger is the delay before a node ends an expired session on behalf of a closer node. It
// covers one read and one commit of the closer node.
const endStagger = 1500 * time.Millisecond

// throttledPause is the minimum time between two attempts to end sessions if the store refused the first
// because it gets too many calls; it is extended by up to as much again. Eight nodes watch each session.
const throttledPause = 2 * time.Second

// watchedNeighbours is the number of sessions that each node watches, and the number of nodes
// that watch each session. If 6 of 10 nodes fail at once, all watchers of a failed node have failed
// too in 1.7% of the cases; it is then detected after the sessions between it and the next live
// node have been ended.
const watchedNeighbours = 8

// Roster tracks the live sessions of a fleet in which no node reads all session rows, because that
// would cost O(n²) reads. In addition to its session row, which it renews, each node has a member
// row in a group that all nodes follow; both rows are created and deleted in the same commits. Each
// node watches only a few neighbours and deletes their rows when they expire. Use NewRoster to
// create a Roster. It is safe for concurrent use.
type Roster struct {
	service   table.Service
	partition string
	session   *Session
	watcher   *Watcher
	// OnEnded, if set, is called for each expired session that this node tried to end.
	OnEnded func(id string, err error)
	// StoreWrites is the number of writes per second that the store takes; 0 if unknown. Set it before
	// first use.
	StoreWrites int
	// OnMoveFailed, if set, is called if this node's session row could not be moved to another
	// partition.
	OnMoveFailed func(err error)
	// unreadable receives member rows that cannot be decoded.
	unreadable *table.Unreadable

	mu sync.Mutex
	// memberVersions holds the versions of the member rows by session, sessionCounts the number
	// of sessions by node.
	memberVersions map[string]uint64
	sessionCounts  map[string]int
	// unreadableVersions holds the versions of member rows that could never be decoded. They do
	// not count as nodes and are deleted with their sessions.
	unreadableVersions map[string]uint64
	// memberInfo holds the newest decoded member row of each node.
	memberInfo map[string]Member
	// sessionLost holds the nodes whose last session ended within sessionLostRetention.
	sessionLost map[string]lostNode
	// generation increases with each change to the set of nodes. sortedNodes caches that set; it
	// is nil after a change.
	generation  uint64
	sortedNodes []string
	// sessionLayouts holds the number of partitions among which the row of each session is placed,
	// layoutSessions the number of sessions by that number.
	sessionLayouts map[string]int
	layoutSessions map[int]int
	// endAfter is the time until which no session is ended, because the store refused a write. Only
	// Refresh uses it, which is not called concurrently.
	endAfter time.Time
	// moveAt is when this node's session row is to be moved; zero if it is not.
	moveAt time.Time
	// missingSince holds the nodes without a member row, with the time of the first call that asked
	// for the node; zero if the row was seen to be deleted.
	missingSince map[string]time.Time
}

// NewRoster returns an empty roster for the node of session. partition holds the member rows and
// must belong to a group that the node follows; now must be monotonic.
func NewRoster(service table.Service, session *Session, partition string, now func() time.Time, timing Timing) *Roster {
	session.MemberPartition = partition
	watcher := NewWatcher(service, now, timing)
	watcher.Self, watcher.Neighbours = session.ID(), watchedNeighbours
	r := &Roster{
		service: service, partition: partition, session: session, watcher: watcher,
		memberVersions: map[string]uint64{}, sessionCounts: map[string]int{}, missingSince: map[string]time.Time{},
		memberInfo: map[string]Member{}, sessionLost: map[string]lostNode{}, unreadableVersions: map[string]uint64{},
		sessionLayouts: map[string]int{}, layoutSessions: map[int]int{},
	}
	watcher.Layouts = r.layouts
	session.initialPartitions = func() int { return initialPartitions(r.Count(), r.StoreWrites) }
	return r
}

// ReportUnreadableTo sets the receiver of rows that cannot be decoded. Call it before first use.
func (r *Roster) ReportUnreadableTo(unreadable *table.Unreadable) {
	r.unreadable, r.watcher.Unreadable = unreadable, unreadable
}

// Apply applies changes of the group that contains the member rows.
func (r *Roster) Apply(changes table.Changes, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, change := range changes.Changes {
		id, ok := strings.CutPrefix(change.Sort, memberPrefix)
		if !ok || change.Partition != r.partition {
			continue
		}
		if change.Removed {
			r.remove(id)
		} else {
			r.add(id, change.Row)
		}
	}
}

// add records a member row. A row that cannot be decoded adds no node: it may be from another writer
// and have no session that could expire, so work assigned to its node would never be done. A known
// node stays, with its previous information. The caller holds mu.
func (r *Roster) add(id string, row table.Row) {
	member, err := decodeMember(id, row)
	r.unreadable.Report(err)
	if _, known := r.memberVersions[id]; err != nil && !known {
		r.unreadableVersions[id] = row.Version
		return
	}
	delete(r.unreadableVersions, id)
	if _, ok := r.memberVersions[id]; !ok {
		r.sessionCounts[Node(id)]++
		delete(r.sessionLost, Node(id))
		r.invalidateNodes()
	}
	r.memberVersions[id] = row.Version
	if _, known := r.sessionLayouts[id]; err == nil || !known {
		r.setLayout(id, member.partitions())
	}
	delete(r.missingSince, Node(id))
	if member != (Member{}) && member != r.memberInfo[Node(id)] {
		r.memberInfo[Node(id)] = member
		r.invalidateNodes()
	}
}

// MemberRows returns the member rows that are known.
func (r *Roster) MemberRows() []table.Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := make([]table.Change, 0, len(r.memberVersions))
	for id, version := range r.memberVersions {
		row := table.Row{Key: memberKey(r.partition, id), Version: version, Body: encodeMember(r.memberInfo[Node(id)])}
		changes = append(changes, table.Change{Row: row})
	}
	return changes
}

// remove records that a session was ended, by its own node or by a watcher. Its work can be taken
// over immediately. The caller holds mu.
func (r *Roster) remove(id string) {
	delete(r.unreadableVersions, id)
	if _, ok := r.memberVersions[id]; !ok {
		return
	}
	delete(r.memberVersions, id)
	r.setLayout(id, 0)
	r.invalidateNodes()
	node := Node(id)
	if r.sessionCounts[node]--; r.sessionCounts[node] == 0 {
		r.markSessionLost(node)
	}
	r.missingSince[node] = time.Time{}
}

// Refresh reads the neighbours and ends those sessions that have expired.
func (r *Roster) Refresh(ctx context.Context) error {
	r.moveSession(ctx)
	if err := r.watcher.Refresh(ctx); err != nil {
		return err
	}
	for _, session := range r.watcher.sessionsToEnd(endStagger) {
		if r.watcher.now().Before(r.endAfter) {
			break
		}
		err := r.endSession(ctx, session)
		if errors.Is(err, table.ErrThrottled) {
			r.endAfter = r.watcher.now().Add(throttledPause + rand.N(throttledPause))
		}
		if r.OnEnded != nil {
			r.OnEnded(session.ID, err)
		}
	}
	return nil
}

// errMemberRowUnknown reports a session whose member row has not been received yet.
var errMemberRowUnknown = errors.New("member row not yet received")

// RefreshInterval returns the time to wait between two calls of Refresh.
func (r *Roster) RefreshInterval() time.Duration {
	return min(max(minRefreshInterval, time.Duration(len(r.Live()))*refreshIntervalPerSession), maxRefreshInterval)
}

// endSession deletes both rows of an expired session unless it has been renewed since it was read.
// The rows are deleted together because a remaining one would never be cleaned up.
func (r *Roster) endSession(ctx context.Context, session SessionState) error {
	r.mu.Lock()
	memberVersion, known := r.memberVersions[session.ID]
	if !known {
		memberVersion, known = r.unreadableVersions[session.ID]
	}
	r.mu.Unlock()
	if !known {
		return Error.Wrap(errMemberRowUnknown)
	}
	_, err := r.service.Commit(ctx, table.NewOperation(),
		table.Write{Key: session.key, Kind: table.Delete, Expect: session.Version},
		table.Write{Key: memberKey(r.partition, session.ID), Kind: table.Delete, Expect: memberVersion})
	return Error.Wrap(err)
}

// Live returns the live sessions, including this node's own.
func (r *Roster) Live() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := make([]string, 0, len(r.memberVersions)+1)
	own := r.session.ID()
	for id := range r.memberVersions {
		if id != own && !SameNode(id, own) {
			live = append(live, id)
		}
	}
	return append(live, own)
}

// Preferred returns the live session that should do a piece of work, as function Preferred does.
func (r *Roster) Preferred(work string) string { return Preferred(r.Live(), work) }

// invalidateNodes records a change to the set of nodes. The caller holds mu.
func (r *Roster) invalidateNodes() {
	r.generation++
	r.sortedNodes = nil
}

// Generation returns a number that changes whenever the set of nodes, including those that
// SessionLost returns, may have changed.
func (r *Roster) Generation() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireSessionLost()
	return r.generation
}

// Expired reports whether the work of a session may be taken over.
func (r *Roster) Expired(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.memberVersions[id]; ok || id == r.session.ID() {
		return false
	}
	return r.missingForTimeToLive(Node(id))
}

// Address returns the address of a node, or its last known address if its last session ended within
// sessionLostRetention. It returns "" if the address is not known.
func (r *Roster) Address(node string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lost, ok := r.sessionLost[node]; ok {
		return lost.member.Address
	}
	return r.memberInfo[node].Address
}

// Member returns the description of a node, or its last known description if its last session ended
// within sessionLostRetention. It returns the zero Member if the node is not known.
func (r *Roster) Member(node string) Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if node == Node(r.session.ID()) {
		return r.session.Member
	}
	if lost, ok := r.sessionLost[node]; ok {
		return lost.member
	}
	return r.memberInfo[node]
}

// Region returns the region of a node, or "" if it is not known.
func (r *Roster) Region(node string) string { return r.Member(node).Region }

// Gone reports whether a node has no session.
func (r *Roster) Gone(node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if node == Node(r.session.ID()) || r.sessionCounts[node] > 0 {
		return false
	}
	return r.missingForTimeToLive(node)
}

// missingForTimeToLive reports whether a node has had no member row for the time to live. This holds
// immediately if its row was seen to be deleted. For a node that was never seen the time starts
// with the first call, because its row may not have been received yet. The caller holds mu.
func (r *Roster) missingForTimeToLive(node string) bool {
	since, ok := r.missingSince[node]
	if !ok {
		since = r.watcher.now()
		r.missingSince[node] = since
	}
	return r.watcher.now().Sub(since) >= r.watcher.timeToLive
}

// Sessions returns the live sessions, sorted by ID. Expired is only set for sessions that this node
// watches.
func (r *Roster) Sessions() []SessionState {
	expired := map[string]bool{}
	for _, watched := range r.watcher.Sessions() {
		expired[watched.ID] = watched.Expired
	}
	var list []SessionState
	for _, id := range r.Live() {
		list = append(list, SessionState{ID: id, Expired: expired[id]})
	}
	slices.SortFunc(list, func(a, b SessionState) int { return strings.Compare(a.ID, b.ID) })
	return list
}
