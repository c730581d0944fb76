package listcopy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	testRows = 1000
	// pageRows is the size of a page of the simulated store.
	pageRows = 100
	// pageTime is the time that a node needs for a page, copyTime that for a copy.
	pageTime = 20 * time.Millisecond
	copyTime = 300 * time.Millisecond
	// maxCopies is the number of copies that a node serves at the same time.
	maxCopies = 2
)

// store is a feed of testRows rows that counts those it sent.
type store struct {
	rows     int
	revision uint64
	// sent counts the rows read, whole the reads that went to the end.
	sent, whole int
}

func (s *store) Page(_ context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	start := 0
	if cursor.Key != "" {
		if _, err := fmt.Sscanf(cursor.Key, "%d", &start); err != nil {
			return table.Changes{}, cursor, err
		}
	}
	page := table.Changes{Revision: s.revision}
	for i := start; i < min(start+pageRows, s.rows); i++ {
		page.Changes = append(page.Changes, table.Change{Row: table.Row{Key: table.Key{Sort: fmt.Sprint(i)}, Version: s.revision}})
	}
	s.sent += len(page.Changes)
	next := table.Cursor{Key: fmt.Sprint(start + pageRows), Done: start+pageRows >= s.rows}
	if next.Done {
		s.whole++
	}
	return page, next, nil
}

func (s *store) After(_ context.Context, revision uint64, _ time.Duration) (table.Changes, error) {
	if revision < s.revision {
		return table.Changes{}, table.ErrCompacted
	}
	return table.Changes{Revision: s.revision}, nil
}

// noSleep ends a call after one attempt.
func noSleep(context.Context) bool { return false }

// node is a node of a simulated zone.
type node struct {
	feed   *Feed
	cursor table.Cursor
	// nextAt is when its next call ends, joinedAt when it learns of its own member row.
	nextAt, joinedAt time.Time
	list             table.Changes
	has              bool
	serving          []time.Time
}

// zone simulates nodes of a zone that need the list at the same time.
type zone struct {
	store *store
	now   time.Time
	nodes []*node
}

func newZone(count int, joinTime time.Duration) *zone {
	z := &zone{store: &store{rows: testRows, revision: 7}, now: time.Unix(0, 0)}
	for i := range count {
		n := &node{joinedAt: z.now.Add(joinTime * time.Duration(i) / time.Duration(count))}
		n.feed = &Feed{Feed: z.store, Sleep: noSleep, Now: func() time.Time { return z.now }, View: func() View { return z.view(i) }}
		n.feed.Copy = func(context.Context) (table.Changes, error) { return z.copyTo(i) }
		z.nodes = append(z.nodes, n)
	}
	return z
}

// view returns what a node knows: the members that joined before now.
func (z *zone) view(self int) View {
	view := View{Joined: !z.now.Before(z.nodes[self].joinedAt)}
	for i, n := range z.nodes {
		if i == self || z.now.Before(n.joinedAt) {
			continue
		}
		view.Peers++
		// An order that is unrelated to that of joining.
		if (i*7919)%len(z.nodes) < (self*7919)%len(z.nodes) {
			view.Rank++
		}
	}
	return view
}

var errBusy = errors.New("busy")

func (z *zone) copyTo(self int) (table.Changes, error) {
	source := z.nodes[rand.IntN(len(z.nodes))]
	busy := 0
	for _, until := range source.serving {
		if until.After(z.now) {
			busy++
		}
	}
	if !source.has || z.now.Before(source.joinedAt) || busy >= maxCopies {
		return table.Changes{}, errBusy
	}
	source.serving = append(source.serving, z.now.Add(copyTime))
	z.nodes[self].nextAt = z.now.Add(copyTime)
	return source.list, nil
}

// run simulates until all nodes have the list, and returns how long that took.
func (z *zone) run(t *testing.T) time.Duration {
	t.Helper()
	start := z.now
	for missing := len(z.nodes); missing > 0; z.now = z.now.Add(pageTime) {
		if z.now.Sub(start) > time.Minute {
			t.Fatalf("%d of %d nodes have no list after a minute", missing, len(z.nodes))
		}
		missing = 0
		for _, n := range z.nodes {
			if n.has {
				continue
			}
			missing++
			if !z.now.Before(n.nextAt) {
				z.step(t, n)
			}
		}
	}
	return z.now.Sub(start)
}

func (z *zone) step(t *testing.T, n *node) {
	page, next, err := n.feed.Page(t.Context(), n.cursor)
	if err != nil {
		n.nextAt = z.now.Add(rand.N(200 * time.Millisecond))
		return
	}
	n.list.Changes, n.list.Revision = append(n.list.Changes, page.Changes...), page.Revision
	if n.cursor, n.has = next, next.Done; n.has && len(n.list.Changes) != testRows {
		t.Fatalf("a list has %d rows, want %d", len(n.list.Changes), testRows)
	}
}

// forget makes the store and all nodes start anew with a later revision.
func (z *zone) forget() {
	z.store.revision++
	z.store.sent, z.store.whole = 0, 0
	for _, n := range z.nodes {
		n.cursor, n.list, n.has, n.joinedAt = table.Cursor{}, table.Changes{}, false, z.now
	}
}

// Guards against a store that sends the whole list to each node when all nodes of a zone start at the
// same time, or when it has lost its history: the number of whole reads does not grow with the nodes.
func TestFeed_WholeReadsDoNotGrowWithZone(t *testing.T) {
	const maxWhole = 12
	for _, count := range []int{100, 200, 400} {
		z := newZone(count, 2*time.Second)
		took := z.run(t)
		t.Logf("%d nodes start: %d whole reads, %d rows sent, %v", count, z.store.whole, z.store.sent, took)
		if z.store.whole > maxWhole || z.store.sent > count*pageRows+maxWhole*testRows {
			t.Errorf("%d nodes start: %d whole reads, %d rows sent, want at most %d whole reads", count, z.store.whole, z.store.sent, maxWhole)
		}
		if took > 2*startPatience {
			t.Errorf("%d nodes have the list after %v", count, took)
		}
		z.forget()
		took = z.run(t)
		t.Logf("%d nodes, history lost: %d whole reads, %d rows sent, %v", count, z.store.whole, z.store.sent, took)
		// Some nodes find no source in time, since each serves two at once.
		if z.store.whole > maxWhole+count/10 {
			t.Errorf("%d nodes, history lost: %d whole reads", count, z.store.whole)
		}
	}
}

// A node that starts does not take its fleet for small because it knows no others yet.
func TestFeed_WaitsUntilOthersAreKnown(t *testing.T) {
	feed := &Feed{Feed: &store{rows: testRows, revision: 3}, Sleep: noSleep, Now: time.Now, View: func() View { return View{Unknown: true, Small: true, Joined: true} }}
	if _, _, err := feed.Page(t.Context(), table.Cursor{}); err == nil {
		t.Fatal("a node that knows no others reads the store")
	}
}

// In a small fleet each node reads the store, however large the list.
func TestFeed_SmallFleetReadsStore(t *testing.T) {
	source := &store{rows: testRows, revision: 3}
	feed := &Feed{Feed: source, Now: time.Now, View: func() View { return View{Small: true, Peers: 50, Rank: 40} }}
	if page, _, err := feed.Page(t.Context(), table.Cursor{}); err != nil || len(page.Changes) != pageRows {
		t.Fatalf("%d rows, error %v", len(page.Changes), err)
	}
}

// A list of one page is read from the store at once, as nothing is gained by asking others.
func TestFeed_SmallListIsRead(t *testing.T) {
	source := &store{rows: pageRows, revision: 3}
	feed := &Feed{Feed: source, Now: time.Now, View: func() View { t.Error("the policy was asked"); return View{} }}
	page, next, err := feed.Page(t.Context(), table.Cursor{})
	if err != nil || !next.Done || len(page.Changes) != pageRows {
		t.Fatalf("%d rows, next %+v, error %v", len(page.Changes), next, err)
	}
}

// A node that knows no other one reads the store itself, after a while if it may not know all.
func TestFeed_LoneNodeReadsStore(t *testing.T) {
	now := time.Unix(0, 0)
	view := View{}
	source := &store{rows: testRows, revision: 3}
	feed := &Feed{Feed: source, Sleep: noSleep, Now: func() time.Time { return now }, View: func() View { return view }}
	if _, _, err := feed.Page(t.Context(), table.Cursor{}); err == nil {
		t.Fatal("a node that may not know all others reads the store at once")
	}
	now = now.Add(2 * startPatience)
	if _, _, err := feed.Page(t.Context(), table.Cursor{}); err != nil {
		t.Fatalf("a node that has waited: %v", err)
	}
	joined := &Feed{Feed: source, Now: time.Now, View: func() View { return View{Joined: true} }}
	if _, _, err := joined.Page(t.Context(), table.Cursor{}); err != nil {
		t.Fatalf("the only node: %v", err)
	}
}

// A copy that is no newer than what the node had when the history was lost is not used: the feed could
// not be followed from there.
func TestFeed_OldCopyIsNotUsed(t *testing.T) {
	now := time.Unix(0, 0)
	source := &store{rows: testRows, revision: 5}
	offered := uint64(5)
	feed := &Feed{Feed: source, Sleep: noSleep, Now: func() time.Time { return now }, View: func() View { return View{Joined: true, Peers: 3, Rank: 3} }}
	feed.Copy = func(context.Context) (table.Changes, error) {
		return table.Changes{Revision: offered, Changes: make([]table.Change, testRows)}, nil
	}
	if _, _, err := feed.Page(t.Context(), table.Cursor{}); err != nil {
		t.Fatal(err)
	}
	if _, err := feed.After(t.Context(), 5, 0); err != nil {
		t.Fatal(err)
	}
	if _, _, err := feed.Page(t.Context(), table.Cursor{}); err == nil {
		t.Error("a copy of revision 5 was used after revision 5 was known")
	}
	offered = 6
	if page, _, err := feed.Page(t.Context(), table.Cursor{}); err != nil || page.Revision != 6 {
		t.Errorf("revision %d, error %v, want a copy of revision 6", page.Revision, err)
	}
}
