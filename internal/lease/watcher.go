package lease

import (
	"cmp"
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

// observation is what was seen of a session: its version, since when, and when it
// was last looked at.
type observation struct {
	body           []byte
	version        uint64
	unchangedSince time.Time
	observedAt     time.Time
}

// Watcher tells which sessions have expired. It is safe for concurrent use.
type Watcher struct {
	service    table.Service
	now        func() time.Time
	timeToLive time.Duration
	// Self and Neighbours, if set before the watcher is used, narrow Refresh to so
	// many sessions that follow this one in the order of the rows, as in a ring. Each
	// session is then watched by so many others, and a look costs the same in a fleet
	// of any size.
	Self       string
	Neighbours int
	// Unreadable, if set before the watcher is used, is told of rows that are no session's.
	Unreadable *table.Unreadable

	mu          sync.Mutex
	observed    map[string]observation
	lastRefresh time.Time
	// readFailed is set by a reading that readFailed: the store may be down, and then
	// holders cannot renew either.
	readFailed bool
}

// NewWatcher returns a watcher that has seen nothing yet. now must be monotonic.
func NewWatcher(service table.Service, now func() time.Time, timing Timing) *Watcher {
	return &Watcher{service: service, now: now, timeToLive: timing.TimeToLive, observed: map[string]observation{}}
}

// Refresh reads all sessions, or those of the neighbours.
func (w *Watcher) Refresh(ctx context.Context) error {
	rows, all, err := w.readWatched(ctx)
	if err != nil {
		w.markReadFailed()
		return Error.Wrap(err)
	}
	readAt := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recover(readAt)
	present := map[string]bool{}
	for _, row := range rows {
		id := sessionID(row.Sort)
		present[id] = true
		w.observe(id, row.Version, row.Body, readAt)
	}
	for id := range w.observed {
		switch {
		case present[id]:
		case all || w.inWatchedRange(id, rows[len(rows)-1].Sort):
			w.observe(id, table.Absent, nil, readAt)
		default:
			// Others watch it now.
			delete(w.observed, id)
		}
	}
	w.lastRefresh = readAt
	return nil
}

// RefreshInterval is the time to leave between two calls of Refresh. Each reads all
// sessions, so it grows with their number and a node's share of the store stays the
// same.
func (w *Watcher) RefreshInterval() time.Duration {
	return max(minRefreshInterval, time.Duration(len(w.Live()))*refreshIntervalPerSession)
}

// RefreshSession reads one session.
func (w *Watcher) RefreshSession(ctx context.Context, id string) error {
	row, err := w.service.Get(ctx, sessionKey(id))
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		w.markReadFailed()
		return Error.Wrap(err)
	}
	readAt := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recover(readAt)
	// A missing row has version table.Absent.
	w.observe(id, row.Version, row.Body, readAt)
	return nil
}

func (w *Watcher) markReadFailed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readFailed = true
}

// recover gives every session its whole time anew after a failed reading, so
// that holders are not taken over for an outage they had to sit out. The caller
// holds mu.
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

// observe takes in a reading. The caller holds mu.
//
// An unchanged version counts from the end of the first reading that showed
// it, so a slow store cannot make a session look older than it is. A row that
// was there and is gone was ended by its holder: its work is free at once.
func (w *Watcher) observe(id string, version uint64, body []byte, readAt time.Time) {
	known, ok := w.observed[id]
	switch {
	case ok && known.version == version:
		known.observedAt = readAt
	case ok && version == table.Absent:
		known = observation{unchangedSince: readAt.Add(-w.timeToLive), observedAt: readAt}
	default:
		known = observation{version: version, unchangedSince: readAt, observedAt: readAt}
	}
	known.body = body
	w.observed[id] = known
}

// SessionState is what the last look showed of a session.
type SessionState struct {
	ID   string
	Body []byte
	// Version is that of the row, Still how long it has been seen unchanged.
	Version   uint64
	Unchanged time.Duration
	Expired   bool
}

// Node returns the id of the session's node.
func (s *SessionState) Node() string { return Node(s.ID) }

// Sessions returns the sessions that the last look showed, expired ones too, in
// the order of their ids.
func (w *Watcher) Sessions() []SessionState {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []SessionState
	for id, known := range w.observed {
		if known.version == table.Absent {
			continue
		}
		unchanged := known.observedAt.Sub(known.unchangedSince)
		list = append(list, SessionState{ID: id, Body: known.body, Version: known.version, Unchanged: unchanged, Expired: unchanged >= w.timeToLive})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// sessionsToEnd returns the sessions that have expired and that this node should end: after
// turn more for each live session that stands between, for their nodes are nearer.
func (w *Watcher) sessionsToEnd(stagger time.Duration) []SessionState {
	sessions := w.Sessions()
	own := sessionKey(w.Self).Sort
	slices.SortFunc(sessions, func(a, b SessionState) int {
		keyA, keyB := sessionKey(a.ID).Sort, sessionKey(b.ID).Sort
		if (keyA > own) != (keyB > own) {
			// What lies behind the end of the ring comes last.
			return cmp.Compare(keyB, keyA)
		}
		return cmp.Compare(keyA, keyB)
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

// Age returns the time since the last successful Refresh.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now().Sub(w.lastRefresh)
}

// Expired reports whether a session's work may be taken over, as of the last
// look at it.
func (w *Watcher) Expired(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.observed[id]
	if !ok {
		// Not among the rows of the last Refresh; it counts from then on.
		w.observe(id, table.Absent, nil, w.lastRefresh)
		return false
	}
	return known.observedAt.Sub(known.unchangedSince) >= w.timeToLive
}

// Sweep deletes rows that have been expired for long, so that restarts do not
// pile rows up.
func (w *Watcher) Sweep(ctx context.Context) {
	w.mu.Lock()
	var old []table.Write
	for id, known := range w.observed {
		if known.version != table.Absent && known.observedAt.Sub(known.unchangedSince) > sweepMultiple*w.timeToLive {
			old = append(old, table.Write{Key: sessionKey(id), Kind: table.Delete, Expect: known.version})
		}
	}
	w.mu.Unlock()
	for _, write := range old {
		// A conflict means that the session lives after all, or is gone already.
		_, _ = w.service.Commit(ctx, table.NewOperation(), write)
	}
}

// Preferred is the live session that should do a piece of work that any could
// do (rendezvous hashing), so that work is spread and nodes seldom race.
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

// Preferred returns the live session that should do a piece of work.
func (w *Watcher) Preferred(work string) string { return Preferred(w.Live(), work) }

// Share returns those of many pieces of work that a session should do, if each
// is done by one live session (rendezvous hashing). It hashes every name once.
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

// indexOfMaxWeight returns the index of the key that weighs most for a work, or -1.
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

// Live returns the sessions that were there at the last Refresh and are not expired.
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

// Nodes returns the nodes of the live sessions, each once.
func (w *Watcher) Nodes() []string { return nodesOf(w.Live()) }

// Places returns the nodes of the live sessions, of which it is not known where they are.
func (w *Watcher) Places() []place.Node {
	var nodes []place.Node
	for _, node := range w.Nodes() {
		nodes = append(nodes, place.Node{ID: node})
	}
	return nodes
}

// Region returns the empty region: sessions do not tell where nodes stand.
func (w *Watcher) Region(string) string { return "" }

// nodesOf returns the nodes of sessions, each once.
func nodesOf(sessions []string) []string {
	nodes := make([]string, 0, len(sessions))
	for _, session := range sessions {
		nodes = append(nodes, Node(session))
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}

// Gone reports whether a node has no session that may be alive, as of the last
// look. One that was never seen counts from then on.
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
		w.observe(node+sessionSeparator, table.Absent, nil, w.lastRefresh)
	}
	return observed
}
