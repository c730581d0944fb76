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
	// lookLeast is the least time between two looks at sessions.
	lookLeast = 400 * time.Millisecond
	// lookPerSession bounds the looks of all nodes to 125 a second, some 15 KB a second
	// for each node where a look reads all sessions.
	lookPerSession = 8 * time.Millisecond
	// lookNeighbours bounds the time between two looks at the neighbours, which cost the
	// same in any fleet; two of them fit into a session's time to live of 3 s.
	lookNeighbours = 1200 * time.Millisecond
)

// watcherStagger is how much longer than a nearer watcher one waits before it ends an
// expired session itself: a look of the nearer one and its commit fit into it.
const watcherStagger = 1500 * time.Millisecond

// neighbours is the number of sessions that each node watches, and is watched by.
// If 6 in 10 nodes die at once, all watchers of a given one die with it in 1.7% of
// the cases; it is then noticed once those between it and the next live node are.
const neighbours = 8

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
func encodeMember(told Member) []byte {
	if told == (Member{}) {
		return nil
	}
	body, err := cbor.Marshal(told)
	if err != nil {
		// A member holds nothing that cannot be encoded.
		panic(err)
	}
	return body
}

// errNoSession reports a row whose key is not that of a session.
var errNoSession = errors.New("the key names no session")

// decodeMember reads the member row of a session. An empty one has nothing to say.
func decodeMember(id string, row table.Row) (told Member, err error) {
	if !isSession(id) {
		return Member{}, row.Refuse(table.Content, errNoSession)
	}
	if row.Unreadable == nil && len(row.Body) == 0 {
		return Member{}, nil
	}
	if err := row.Decode(&told); err != nil {
		return Member{}, err
	}
	return told, nil
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
	// Ended, if set, is told of each session that was ended because it had expired.
	Ended func(id string, err error)
	// unreadable is told of member rows that cannot be read.
	unreadable *table.Unreadable

	mu sync.Mutex
	// members are the versions of the member rows, nodes the number of each node's.
	members map[string]uint64
	nodes   map[string]int
	// unread are the versions of member rows that could never be read. They make no node,
	// and go with their sessions.
	unread map[string]uint64
	// told is what the newest member rows of nodes tell.
	told map[string]Member
	// away are the nodes whose sessions were ended a short time ago.
	away map[string]away
	// generation rises with each change of the nodes; sorted are these, nil if they have
	// changed since they were last asked for.
	generation uint64
	sorted     []string
	// missing are the nodes without a member that somebody asked about, since when.
	missing map[string]time.Time
}

// NewRoster returns a roster that has seen nothing and whose own session is the
// given one. Member rows lie in a partition that the node follows; now must be
// monotonic.
func NewRoster(service table.Service, session *Session, partition string, now func() time.Time, timing Timing) *Roster {
	session.MemberPartition = partition
	watcher := NewWatcher(service, now, timing)
	watcher.Self, watcher.Neighbours = session.ID(), neighbours
	return &Roster{
		service: service, partition: partition, session: session, watcher: watcher,
		members: map[string]uint64{}, nodes: map[string]int{}, missing: map[string]time.Time{},
		told: map[string]Member{}, away: map[string]away{}, unread: map[string]uint64{},
	}
}

// ReportTo has rows told that cannot be read. It is called before the roster is used.
func (r *Roster) ReportTo(unreadable *table.Unreadable) {
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
	told, err := decodeMember(id, row)
	r.unreadable.Report(err)
	if _, known := r.members[id]; err != nil && !known {
		r.unread[id] = row.Version
		return
	}
	delete(r.unread, id)
	if _, ok := r.members[id]; !ok {
		r.nodes[Node(id)]++
		delete(r.away, Node(id))
		r.changed()
	}
	r.members[id] = row.Version
	delete(r.missing, Node(id))
	if told != (Member{}) && told != r.told[Node(id)] {
		r.told[Node(id)] = told
		r.changed()
	}
}

// Held returns the member rows that are known.
func (r *Roster) Held() []table.Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := make([]table.Change, 0, len(r.members))
	for id, version := range r.members {
		row := table.Row{Key: memberKey(r.partition, id), Version: version, Body: encodeMember(r.told[Node(id)])}
		held = append(held, table.Change{Row: row})
	}
	return held
}

// remove notes that a session was ended, by itself or by those who watched it. Its
// work is free at once. The caller holds mu.
func (r *Roster) remove(id string) {
	delete(r.unread, id)
	if _, ok := r.members[id]; !ok {
		return
	}
	delete(r.members, id)
	r.changed()
	node := Node(id)
	if r.nodes[node]--; r.nodes[node] == 0 {
		r.leave(node)
	}
	r.missing[node] = time.Time{}
}

// Refresh looks at the neighbours and ends the sessions of those that are gone.
func (r *Roster) Refresh(ctx context.Context) error {
	if err := r.watcher.Refresh(ctx); err != nil {
		return err
	}
	for _, seen := range r.watcher.lapsed(watcherStagger) {
		err := r.end(ctx, seen)
		if r.Ended != nil {
			r.Ended(seen.ID, err)
		}
	}
	return nil
}

// errMemberUnknown reports a session whose member row has not come by the feed yet.
var errMemberUnknown = errors.New("member row not known yet")

// LookInterval is the time to leave between two calls of Refresh.
func (r *Roster) LookInterval() time.Duration {
	return min(max(lookLeast, time.Duration(len(r.Live()))*lookPerSession), lookNeighbours)
}

// end deletes both rows of an expired session, unless it has been renewed since it
// was looked at. One row without the other would never go.
func (r *Roster) end(ctx context.Context, seen Sighting) error {
	r.mu.Lock()
	member, known := r.members[seen.ID]
	if !known {
		member, known = r.unread[seen.ID]
	}
	r.mu.Unlock()
	if !known {
		return Error.Wrap(errMemberUnknown)
	}
	_, err := r.service.Commit(ctx, table.NewOperation(),
		table.Write{Key: rowKey(seen.ID), Kind: table.Delete, Expect: seen.Version},
		table.Write{Key: memberKey(r.partition, seen.ID), Kind: table.Delete, Expect: member})
	return Error.Wrap(err)
}

// Live returns the sessions that are there, this node's own among them.
func (r *Roster) Live() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := make([]string, 0, len(r.members)+1)
	own := r.session.ID()
	for id := range r.members {
		if id != own && !SameNode(id, own) {
			live = append(live, id)
		}
	}
	return append(live, own)
}

// Preferred returns the live session that should do a piece of work.
func (r *Roster) Preferred(work string) string { return Preferred(r.Live(), work) }

// changed notes that the nodes are others. The caller holds mu.
func (r *Roster) changed() {
	r.generation++
	r.sorted = nil
}

// Generation is a number that is another whenever the nodes may have changed, those that
// are away included.
func (r *Roster) Generation() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetAway()
	return r.generation
}

// Expired reports whether a session's work may be taken over.
func (r *Roster) Expired(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.members[id]; ok || id == r.session.ID() {
		return false
	}
	return r.missed(Node(id))
}

// Address returns where a node is reached, or was before it was away; empty if it has not
// told.
func (r *Roster) Address(node string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.away[node]; ok {
		return known.told.Address
	}
	return r.told[node].Address
}

// Member returns what a node has told of itself, or had before it was away; zero if
// nothing.
func (r *Roster) Member(node string) Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if node == Node(r.session.ID()) {
		return r.session.Member
	}
	if known, ok := r.away[node]; ok {
		return known.told
	}
	return r.told[node]
}

// Region returns the region that a node has told; empty if it has not.
func (r *Roster) Region(node string) string { return r.Member(node).Region }

// Gone reports whether a node has no session.
func (r *Roster) Gone(node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if node == Node(r.session.ID()) || r.nodes[node] > 0 {
		return false
	}
	return r.missed(node)
}

// missed reports whether a node has been without a member row for long enough. One
// whose row was seen to go has; for one that was never seen its time begins with the
// first question, for its row may still be on its way. The caller holds mu.
func (r *Roster) missed(node string) bool {
	since, ok := r.missing[node]
	if !ok {
		since = r.watcher.now()
		r.missing[node] = since
	}
	return r.watcher.now().Sub(since) >= r.watcher.timeToLive
}

// Sessions returns the sessions that are there, in the order of their ids. Of those
// that this node watches it tells whether they have expired.
func (r *Roster) Sessions() []Sighting {
	expired := map[string]bool{}
	for _, seen := range r.watcher.Sessions() {
		expired[seen.ID] = seen.Expired
	}
	var list []Sighting
	for _, id := range r.Live() {
		list = append(list, Sighting{ID: id, Expired: expired[id]})
	}
	slices.SortFunc(list, func(a, b Sighting) int { return strings.Compare(a.ID, b.ID) })
	return list
}
