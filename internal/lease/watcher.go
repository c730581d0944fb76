package lease

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// observation records the last known state of a session's row.
type observation struct {
	key            table.Key
	body           []byte
	version        uint64
	unchangedSince time.Time // end of the first read that returned version
	observedAt     time.Time // start of the last read that returned version, but not before unchangedSince
	readUntil      time.Time // end of the last read that returned version
}

// readTimes are the times at which a read of rows was started and ended. The rows are as of some time
// between.
type readTimes struct{ start, end time.Time }

// Watcher determines which sessions have expired by watching their rows for renewals. It is
// safe for concurrent use.
type Watcher struct {
	service    table.Service
	now        func() time.Time
	timeToLive time.Duration
	// Self and Neighbours, if set before first use, limit Refresh to the Neighbours sessions that
	// follow Self on the hash ring of session rows. Each session is then watched by the same
	// number of others, and the cost of Refresh does not depend on the size of the fleet.
	Self       string
	Neighbours int
	// Layouts, if set before first use, returns the numbers of partitions among which the rows of
	// sessions are placed.
	Layouts func() []int
	// Unreadable, if set before first use, receives rows that do not belong to a session.
	Unreadable *table.Unreadable

	mu          sync.Mutex
	observed    map[string]observation
	lastRefresh readTimes
	// readFailed is set after a failed read. The store may be down, in which case holders
	// cannot renew their sessions either.
	readFailed bool
}

// NewWatcher returns a watcher with no observations. now must be monotonic.
func NewWatcher(service table.Service, now func() time.Time, timing Timing) *Watcher {
	return &Watcher{service: service, now: now, timeToLive: timing.TimeToLive, observed: map[string]observation{}}
}

// Refresh reads all sessions, or only the neighbours if Neighbours is set.
func (w *Watcher) Refresh(ctx context.Context) error {
	start := w.now()
	rows, all, err := w.readWatched(ctx)
	if err != nil {
		w.markReadFailed()
		return Error.Wrap(err)
	}
	read := readTimes{start: start, end: w.now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recover(read.end)
	present := map[string]bool{}
	for _, row := range rows {
		id := sessionID(row.Sort)
		present[id] = true
		w.observe(id, row, read)
	}
	for id := range w.observed {
		switch {
		case present[id]:
		case all || w.inWatchedRange(id, rows[len(rows)-1].Sort):
			w.observe(id, table.Row{}, read)
		default:
			// The session has left the watched range; other nodes watch it.
			delete(w.observed, id)
		}
	}
	w.lastRefresh = read
	return nil
}

// RefreshInterval returns the time to wait between two calls of Refresh. Since Refresh reads all
// sessions, the interval grows with their number to keep this node's load on the store constant.
func (w *Watcher) RefreshInterval() time.Duration {
	return max(minRefreshInterval, time.Duration(len(w.Live()))*refreshIntervalPerSession)
}

// RefreshSession reads a single session.
func (w *Watcher) RefreshSession(ctx context.Context, id string) error {
	start := w.now()
	row, err := w.service.Get(ctx, sessionKey(id))
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		w.markReadFailed()
		return Error.Wrap(err)
	}
	read := readTimes{start: start, end: w.now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recover(read.end)
	// A missing row has version table.Absent.
	w.observe(id, row, read)
	return nil
}

func (w *Watcher) markReadFailed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readFailed = true
}

// recover restarts the time to live of every session after a failed read, so that no holder
// loses its work because of a store outage. The caller holds mu.
func (w *Watcher) recover(readAt time.Time) {
	if !w.readFailed {
		return
	}
	w.readFailed = false
	for id, known := range w.observed {
		if known.version != table.Absent {
			known.unchangedSince, known.observedAt = readAt, readAt
			w.observed[id] = known
		}
	}
}

// observe records the result of a read; the zero row stands for a missing one. The caller holds mu.
//
// The time for which a version is unchanged starts at the end of the first read that returned it and
// ends at the start of the last one, so that a slow store cannot make a session look older than it
// is. A row that existed and is gone was deleted by its holder, so the session expires immediately. A
// read that overlaps with the one that returned the row may precede it, and shows no deletion.
func (w *Watcher) observe(id string, row table.Row, read readTimes) {
	known, ok := w.observed[id]
	switch {
	case ok && known.version == row.Version:
		if read.start.After(known.observedAt) {
			known.observedAt = read.start
		}
	case ok && row.Version == table.Absent && read.start.Before(known.readUntil):
		return
	case ok && row.Version == table.Absent:
		known = observation{unchangedSince: read.end.Add(-w.timeToLive), observedAt: read.end}
	default:
		known = observation{version: row.Version, unchangedSince: read.end, observedAt: read.end}
	}
	known.key, known.body = row.Key, row.Body
	if read.end.After(known.readUntil) {
		known.readUntil = read.end
	}
	w.observed[id] = known
}

// SessionState is the state of a session as of the last read.
type SessionState struct {
	ID   string
	Body []byte
	key  table.Key
	// Version is the version of the row, Unchanged how long it has been observed to stay the same.
	Version   uint64
	Unchanged time.Duration
	Expired   bool
}

// Node returns the ID of the node that the session belongs to.
func (s *SessionState) Node() string { return Node(s.ID) }

// Sessions returns the sessions that existed at the last read, expired ones included, sorted
// by ID.
func (w *Watcher) Sessions() []SessionState {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []SessionState
	for id, known := range w.observed {
		if known.version == table.Absent {
			continue
		}
		unchanged := known.observedAt.Sub(known.unchangedSince)
		list = append(list, SessionState{ID: id, Body: known.body, key: known.key, Version: known.version, Unchanged: unchanged, Expired: unchanged >= w.timeToLive})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// sessionsToEnd returns the expired sessions that this node should delete. A session qualifies once
// it has been expired for stagger times the number of live sessions that lie between it and
// this node on the ring, because the nodes of those sessions are closer and try first.
func (w *Watcher) sessionsToEnd(stagger time.Duration) []SessionState {
	sessions := w.Sessions()
	slices.SortFunc(sessions, func(a, b SessionState) int {
		return w.compareOnRing(sessionKey(a.ID).Sort, sessionKey(b.ID).Sort)
	})
	var toEnd []SessionState
	nearer := 0
	for _, session := range sessions {
		switch {
		case !session.Expired:
			nearer++
		case session.Unchanged >= w.timeToLive+time.Duration(nearer)*stagger:
			toEnd = append(toEnd, session)
		}
	}
	return toEnd
}

// Age returns the time since the last successful Refresh began.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now().Sub(w.lastRefresh.start)
}

// Expired reports whether the work of a session may be taken over, as of the last read.
func (w *Watcher) Expired(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.observed[id]
	if !ok {
		// Unknown at the last Refresh: its time to live starts at that point.
		w.observe(id, table.Row{}, w.lastRefresh)
		return false
	}
	return known.observedAt.Sub(known.unchangedSince) >= w.timeToLive
}

// Sweep deletes rows that have been expired for a long time, so that rows left by restarted
// nodes do not accumulate.
func (w *Watcher) Sweep(ctx context.Context) {
	w.mu.Lock()
	var old []table.Write
	for _, known := range w.observed {
		if known.version != table.Absent && known.observedAt.Sub(known.unchangedSince) > sweepMultiple*w.timeToLive {
			old = append(old, table.Write{Key: known.key, Kind: table.Delete, Expect: known.version})
		}
	}
	w.mu.Unlock()
	for _, write := range old {
		// On a conflict the session was renewed or is already deleted.
		_, _ = w.service.Commit(ctx, table.NewOperation(), write)
	}
}

// Preferred returns the live session that should do a piece of work that any session could do. It
// uses rendezvous hashing, which spreads the work and makes races between nodes rare.
func Preferred(live []string, work string) string {
	preferred := ""
	var maxWeight uint64
	for _, session := range live {
		sum := fnv.New64a()
		_, _ = sum.Write([]byte(session))
		_, _ = sum.Write([]byte(work))
		if weight := sum.Sum64(); preferred == "" || weight > maxWeight {
			preferred, maxWeight = session, weight
		}
	}
	return preferred
}

// Preferred returns the live session that should do a piece of work, as function Preferred does.
func (w *Watcher) Preferred(work string) string { return Preferred(w.Live(), work) }

// Share returns the subset of works that rendezvous hashing over the live sessions assigns to
// self. Unlike Preferred, it hashes every session and every name only once.
func (w *Watcher) Share(self string, works []string) map[string]bool {
	live := w.Live()
	keys := make([]uint64, len(live))
	for i, session := range live {
		keys[i] = xxhash.Sum64String(session)
	}
	share := map[string]bool{}
	for _, work := range works {
		if best := indexOfMaxWeight(keys, xxhash.Sum64String(work)); best >= 0 && live[best] == self {
			share[work] = true
		}
	}
	return share
}

// indexOfMaxWeight returns the index of the key with the highest weight for a piece of work, or
// -1 if there are no keys.
func indexOfMaxWeight(keys []uint64, work uint64) int {
	best := -1
	var bestWeight uint64
	for i, key := range keys {
		weight := (key ^ work) * 0x9E3779B97F4A7C15
		weight ^= weight >> 32
		weight *= 0xD6E8FEB86659FD93
		if best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// Live returns the sessions that existed at the last Refresh and have not expired.
func (w *Watcher) Live() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var live []string
	for id, known := range w.observed {
		if known.version != table.Absent && known.observedAt.Sub(known.unchangedSince) < w.timeToLive {
			live = append(live, id)
		}
	}
	return live
}

// Nodes returns the distinct nodes of the live sessions, sorted.
func (w *Watcher) Nodes() []string { return nodesOf(w.Live()) }

// Places returns the nodes of the live sessions without their locations, which session rows do
// not contain.
func (w *Watcher) Places() []place.Node {
	var nodes []place.Node
	for _, node := range w.Nodes() {
		nodes = append(nodes, place.Node{ID: node})
	}
	return nodes
}

// Region returns "": session rows do not contain the locations of nodes.
func (w *Watcher) Region(string) string { return "" }

// nodesOf returns the distinct nodes of sessions, sorted.
func nodesOf(sessions []string) []string {
	nodes := make([]string, 0, len(sessions))
	for _, session := range sessions {
		nodes = append(nodes, Node(session))
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}

// Gone reports whether no session of a node can be alive, as of the last read. For a node that was
// never observed the time to live starts with the last Refresh.
func (w *Watcher) Gone(node string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	observed := false
	for id, known := range w.observed {
		if Node(id) != node {
			continue
		}
		observed = true
		if known.observedAt.Sub(known.unchangedSince) < w.timeToLive {
			return false
		}
	}
	if !observed {
		w.observe(node+sessionSeparator, table.Row{}, w.lastRefresh)
	}
	return observed
}
