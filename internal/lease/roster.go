package lease

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// memberPrefix begins the keys of member rows.
const memberPrefix = "member/"

const (
	// minRefreshInterval is the least time between two looks at sessions.
	minRefreshInterval = 400 * time.Millisecond
	// refreshIntervalPerSession bounds the looks of all nodes to 125 a second, some 15 KB a second
	// for each node where a look reads all sessions.
	refreshIntervalPerSession = 8 * time.Millisecond
	// maxRefreshInterval bounds the time between two looks at the neighbours, which cost the
	// same in any fleet; two of them fit into a session's time to live of 3 s.
	maxRefreshInterval = 1200 * time.Millisecond
)

// endStagger is how much longer than a nearer watcher one waits before it ends an
// expired session itself: a look of the nearer one and its commit fit into it.
const endStagger = 1500 * time.Millisecond

// watchedNeighbours is the number of sessions that each node watches, and is watched by.
// If 6 in 10 nodes die at once, all watchers of a given one die with it in 1.7% of
// the cases; it is then noticed once those between it and the next live node are.
const watchedNeighbours = 8

func memberKey(partition, id string) table.Key {
	return table.Key{Partition: partition, Sort: memberPrefix + id}
}

// Member is what a node tells of itself in its member row. A row of an earlier version
// of the program tells less; what it leaves out is zero.
type Member struct {
	// Address is host:port for other nodes.
	Address string `cbor:"1,keyasint,omitempty"`
	// Zone and Region are where the node stands.
	Zone   string `cbor:"2,keyasint,omitempty"`
	Region string `cbor:"3,keyasint,omitempty"`
	// Cores is the node's share of a core, LinkMbps the bandwidth of its link in Mbit/s,
	// MemoryMB its memory in megabytes; 0 if they are not set.
	Cores    float64 `cbor:"4,keyasint,omitempty"`
	LinkMbps float64 `cbor:"5,keyasint,omitempty"`
	MemoryMB int     `cbor:"6,keyasint,omitempty"`
}

// encodeMember returns the body of a member row; nil if there is nothing to say.
func encodeMember(member Member) []byte {
	if member == (Member{}) {
		return nil
	}
	body, err := cbor.Marshal(member)
	if err != nil {
		// A member holds nothing that cannot be encoded.
		panic(err)
	}
	return body
}

// errNotSessionKey reports a row whose key is not that of a session.
var errNotSessionKey = errors.New("the key names no session")

// decodeMember reads the member row of a session. An empty one has nothing to say.
func decodeMember(id string, row table.Row) (member Member, err error) {
	if !isSessionID(id) {
		return Member{}, row.Refuse(table.Content, errNotSessionKey)
	}
	if row.Unreadable == nil && len(row.Body) == 0 {
		return Member{}, nil
	}
	if err := row.Decode(&member); err != nil {
		return Member{}, err
	}
	return member, nil
}

// Roster tells which sessions there are in a fleet where not every node reads all of
// them, for that costs nodes x nodes. Beside its session, which is renewed, each node
// has a member row in a group of rows that all nodes follow; both come and go in the
// same commits. A node watches a few sessions only, and ends those that have expired
// for everybody. The zero value is not usable. It is safe for concurrent use.
type Roster struct {
	service   table.Service
	partition string
	session   *Session
	watcher   *Watcher
	// OnEnded, if set, is told of each session that was ended because it had expired.
	OnEnded func(id string, err error)
	// unreadable is told of member rows that cannot be read.
	unreadable *table.Unreadable

	mu sync.Mutex
	// memberVersions are the versions of the member rows, nodes the number of each node's.
	memberVersions map[string]uint64
	sessionCounts  map[string]int
	// unreadableVersions are the versions of member rows that could never be read. They make no node,
	// and go with their sessions.
	unreadableVersions map[string]uint64
	// memberInfo is what the newest member rows of nodes tell.
	memberInfo map[string]Member
	// away are the nodes whose sessions were ended a short time ago.
	away map[string]awayNode
	// generation rises with each change of the nodes; sorted are these, nil if they have
	// changed since they were last asked for.
	generation  uint64
	sortedNodes []string
	// missingSince are the nodes without a member that somebody asked about, since when.
	missingSince map[string]time.Time
}

// NewRoster returns a roster that has seen nothing and whose own session is the
// given one. Member rows lie in a partition that the node follows; now must be
// monotonic.
func NewRoster(service table.Service, session *Session, partition string, now func() time.Time, timing Timing) *Roster {
	session.MemberPartition = partition
	watcher := NewWatcher(service, now, timing)
	watcher.Self, watcher.Neighbours = session.ID(), watchedNeighbours
	return &Roster{
		service: service, partition: partition, session: session, watcher: watcher,
		memberVersions: map[string]uint64{}, sessionCounts: map[string]int{}, missingSince: map[string]time.Time{},
		memberInfo: map[string]Member{}, away: map[string]awayNode{}, unreadableVersions: map[string]uint64{},
	}
}

// ReportUnreadableTo has rows told that cannot be read. It is called before the roster is used.
func (r *Roster) ReportUnreadableTo(unreadable *table.Unreadable) {
	r.unreadable, r.watcher.Unreadable = unreadable, unreadable
}

// Apply takes in changes of the group with the member rows.
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

// add notes a member row. One that cannot be read makes no node: if another writer left it,
// no session would ever expire, and what is given to that node to do would lie for good. A
// node that is known stays, with what it told before. The caller holds mu.
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
		delete(r.away, Node(id))
		r.invalidateNodes()
	}
	r.memberVersions[id] = row.Version
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

// remove notes that a session was ended, by itself or by those who watched it. Its
// work is free at once. The caller holds mu.
func (r *Roster) remove(id string) {
	delete(r.unreadableVersions, id)
	if _, ok := r.memberVersions[id]; !ok {
		return
	}
	delete(r.memberVersions, id)
	r.invalidateNodes()
	node := Node(id)
	if r.sessionCounts[node]--; r.sessionCounts[node] == 0 {
		r.markAway(node)
	}
	r.missingSince[node] = time.Time{}
}

// Refresh looks at the neighbours and ends the sessions of those that are gone.
func (r *Roster) Refresh(ctx context.Context) error {
	if err := r.watcher.Refresh(ctx); err != nil {
		return err
	}
	for _, session := range r.watcher.sessionsToEnd(endStagger) {
		err := r.endSession(ctx, session)
		if r.OnEnded != nil {
			r.OnEnded(session.ID, err)
		}
	}
	return nil
}

// errMemberRowUnknown reports a session whose member row has not come by the feed yet.
var errMemberRowUnknown = errors.New("member row not known yet")

// RefreshInterval is the time to leave between two calls of Refresh.
func (r *Roster) RefreshInterval() time.Duration {
	return min(max(minRefreshInterval, time.Duration(len(r.Live()))*refreshIntervalPerSession), maxRefreshInterval)
}

// endSession deletes both rows of an expired session, unless it has been renewed since it
// was looked at. One row without the other would never go.
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
		table.Write{Key: sessionKey(session.ID), Kind: table.Delete, Expect: session.Version},
		table.Write{Key: memberKey(r.partition, session.ID), Kind: table.Delete, Expect: memberVersion})
	return Error.Wrap(err)
}

// Live returns the sessions that are there, this node's own among them.
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

// Preferred returns the live session that should do a piece of work.
func (r *Roster) Preferred(work string) string { return Preferred(r.Live(), work) }

// invalidateNodes notes that the nodes are others. The caller holds mu.
func (r *Roster) invalidateNodes() {
	r.generation++
	r.sortedNodes = nil
}

// Generation is a number that is another whenever the nodes may have changed, those that
// are away included.
func (r *Roster) Generation() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireAway()
	return r.generation
}

// Expired reports whether a session's work may be taken over.
func (r *Roster) Expired(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.memberVersions[id]; ok || id == r.session.ID() {
		return false
	}
	return r.missingForTimeToLive(Node(id))
}

// Address returns where a node is reached, or was before it was away; empty if it has not
// told.
func (r *Roster) Address(node string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if awayInfo, ok := r.away[node]; ok {
		return awayInfo.member.Address
	}
	return r.memberInfo[node].Address
}

// Member returns what a node has told of itself, or had before it was away; zero if
// nothing.
func (r *Roster) Member(node string) Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if node == Node(r.session.ID()) {
		return r.session.Member
	}
	if awayInfo, ok := r.away[node]; ok {
		return awayInfo.member
	}
	return r.memberInfo[node]
}

// Region returns the region that a node has told; empty if it has not.
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

// missingForTimeToLive reports whether a node has been without a member row for long enough. One
// whose row was seen to go has; for one that was never seen its time begins with the
// first question, for its row may still be on its way. The caller holds mu.
func (r *Roster) missingForTimeToLive(node string) bool {
	since, ok := r.missingSince[node]
	if !ok {
		since = r.watcher.now()
		r.missingSince[node] = since
	}
	return r.watcher.now().Sub(since) >= r.watcher.timeToLive
}

// Sessions returns the sessions that are there, in the order of their ids. Of those
// that this node watches it tells whether they have expired.
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
