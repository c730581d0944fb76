package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

const testGroup = "group"

var errDown = errors.New("down")

// countingFeed is the store's feed of a group. It counts the calls and the changes that it sent.
type countingFeed struct {
	table.Feed
	calls, changes *int
}

func (f countingFeed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	changes, err := f.Feed.After(ctx, revision, wait)
	*f.calls++
	*f.changes += len(changes.Changes)
	return changes, err
}

// node is a node of a simulated zone.
type node struct {
	feed     *Feed
	log      Log
	revision uint64
	rows     map[string]uint64
	dead     bool
}

// zone is a zone of nodes that follow a group, in one process and without waiting.
type zone struct {
	t              testing.TB
	shared         *tabletest.Table
	nodes          []*node
	calls, changes int
	candidates     []Candidate
	// roles caches the roles of the nodes.
	roles map[string]Role
	start time.Time
}

func newZone(t testing.TB, count int) *zone {
	t.Helper()
	z := &zone{t: t, shared: tabletest.New(), roles: map[string]Role{}, start: clock.Now()}
	for i := range count {
		name := fmt.Sprintf("n%04d", i)
		z.candidates = append(z.candidates, Candidate{Node: name, Address: name})
	}
	for i := range count {
		n := &node{rows: map[string]uint64{}}
		n.feed = &Feed{
			Feed: countingFeed{Feed: z.shared.Feed(testGroup), calls: &z.calls, changes: &z.changes},
			Role: func() Role { return z.role(z.candidates[i].Node) },
			Ask: func(ctx context.Context, relay string, revision uint64, _ time.Duration) (Answer, error) {
				return z.answer(ctx, relay, revision)
			},
		}
		z.nodes = append(z.nodes, n)
		n.log.Append(table.Changes{AsOf: clock.Now()})
	}
	return z
}

func (z *zone) role(node string) Role {
	if _, known := z.roles[node]; !known {
		z.roles[node] = Choose(node, Relays(z.candidates))
	}
	return z.roles[node]
}

// answer answers a follower as a node does that gets its call.
func (z *zone) answer(ctx context.Context, address string, revision uint64) (Answer, error) {
	i := slices.IndexFunc(z.candidates, func(c Candidate) bool { return c.Address == address })
	relay := z.nodes[i]
	if relay.dead || !relay.feed.FromStore() {
		return Answer{}, errDown
	}
	changes, err := relay.log.After(ctx, revision, 0)
	if err != nil {
		return Answer{}, err
	}
	body, err := Encode(Answer{Changes: changes, Stamp: clock.Since(z.start), Age: clock.Since(changes.AsOf)})
	if err != nil {
		z.t.Fatal(err)
	}
	answer, err := Decode(body)
	if err != nil {
		z.t.Fatal(err)
	}
	return answer, nil
}

// poll lets each node that is not dead call once, relays first.
func (z *zone) poll() {
	for _, relays := range []bool{true, false} {
		for _, n := range z.nodes {
			if !n.dead && n.feed.Role().Relay == relays {
				z.pollNode(n)
			}
		}
	}
}

func (z *zone) pollNode(n *node) {
	changes, err := n.feed.After(z.t.Context(), n.revision, 0)
	if err != nil {
		z.t.Fatal(err)
	}
	if changes.AsOf.IsZero() {
		changes.AsOf = clock.Now()
	}
	newer := changes.Changes[:0]
	for _, change := range changes.Changes {
		if change.Version <= n.rows[change.Sort] {
			continue
		}
		newer = append(newer, change)
		n.rows[change.Sort] = change.Version
	}
	changes.Changes = newer
	n.revision = max(n.revision, changes.Revision)
	n.log.Append(changes)
}

// put writes a row.
func (z *zone) put(sort string, expect uint64) uint64 {
	z.t.Helper()
	versions, err := z.shared.Commit(z.t.Context(), table.NewOperation(), table.Write{Key: table.Key{Partition: testGroup, Sort: sort}, Expect: expect, Body: []byte(sort)})
	if err != nil {
		z.t.Fatal(err)
	}
	return versions[0]
}

// missing returns the number of live nodes that lack the version of a row.
func (z *zone) missing(sort string, version uint64) int {
	count := 0
	for _, n := range z.nodes {
		if !n.dead && n.rows[sort] != version {
			count++
		}
	}
	return count
}

// Guards against a store that sends each change to each node: it sends it to the relays, one for 32
// nodes, and all nodes have it after one call each.
func TestFeed_StoreSendsChangesToRelaysOnly(t *testing.T) {
	for _, count := range []int{197, 394} {
		z := newZone(t, count)
		z.poll()
		z.calls, z.changes = 0, 0
		const changes = 50
		for i := range changes {
			version := z.put(fmt.Sprint(i), table.Absent)
			z.poll()
			if missing := z.missing(fmt.Sprint(i), version); missing > 0 {
				t.Fatalf("%d of %d nodes lack a change", missing, count)
			}
		}
		relays := (count + followersPerRelay - 1) / followersPerRelay
		if z.changes != relays*changes || z.calls != relays*changes {
			t.Errorf("%d nodes: the store sent %d changes in %d calls, want %d", count, z.changes, z.calls, relays*changes)
		}
	}
}

// When all relays are gone at once, the others follow the store until they know of it, and no change
// is lost.
func TestFeed_FollowsStoreWhenRelaysAreGone(t *testing.T) {
	z := newZone(t, 64)
	z.poll()
	for _, n := range z.nodes {
		n.dead = n.feed.Role().Relay
	}
	for i := range 5 {
		version := z.put("row", uint64(i))
		z.poll()
		if missing := z.missing("row", version); missing > 0 {
			t.Fatalf("%d nodes lack a change", missing)
		}
	}
}

// A node that follows a relay refuses to be one: changes take one hop, and nodes with different views
// of the zone do not follow each other in a circle.
func TestFeed_FollowerIsNoRelay(t *testing.T) {
	z := newZone(t, 40)
	z.poll()
	z.poll()
	for i, n := range z.nodes {
		_, err := z.answer(t.Context(), z.candidates[i].Address, n.revision)
		if relay := n.feed.Role().Relay; relay != (err == nil) {
			t.Errorf("node %d, a relay %t, answers with error %v", i, relay, err)
		}
	}
}

// TestFeed_FirstCallToARelayDoesNotWait guards against a follower that cannot tell how old the answers of a
// new relay are: until a change comes, each would count as no more recent than its request.
func TestFeed_FirstCallToARelayDoesNotWait(t *testing.T) {
	var waits []string
	relays := []string{"a"}
	feed := &Feed{
		Role: func() Role { return Role{Follows: relays} },
		Ask: func(_ context.Context, relay string, _ uint64, wait time.Duration) (Answer, error) {
			waits = append(waits, relay+" "+wait.String())
			return Answer{Stamp: clock.Since(time.Time{})}, nil
		},
	}
	for _, relay := range []string{"a", "a", "b", "b"} {
		relays[0] = relay
		if _, err := feed.After(t.Context(), 1, 200*time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	if want := []string{"a 0s", "a 200ms", "b 0s", "b 200ms"}; !slices.Equal(waits, want) {
		t.Errorf("calls %q, want %q", waits, want)
	}
}

// Whatever the order of changes, of calls and of switches between relays and the store, a follower ends
// with the rows that the store has, and never takes what it has for younger than it is.
func TestFeed_FollowerHasRowsOfStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		z := newZone(t, 3)
		for i := range z.candidates {
			z.candidates[i].Cores = float64(3 - i)
		}
		versions := map[string]uint64{}
		lastWrite := clock.Now()
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				sort := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "row")
				versions[sort] = z.put(sort, versions[sort])
				lastWrite = clock.Now()
			case 2:
				z.pollNode(z.nodes[0])
			case 3:
				n := z.nodes[rapid.IntRange(1, 2).Draw(rt, "follower")]
				changes, err := n.feed.After(t.Context(), n.revision, 0)
				if err != nil {
					rt.Fatal(err)
				}
				if changes.AsOf.After(lastWrite) && !n.feed.FromStore() && changes.Revision < z.nodes[0].revision {
					rt.Fatalf("revision %d claims to be as of %v after the last write", changes.Revision, changes.AsOf.Sub(lastWrite))
				}
				z.pollNode(n)
			case 4:
				z.nodes[0].dead = !z.nodes[0].dead
				for _, n := range z.nodes {
					n.feed.avoidUntil = nil
				}
			}
		}
		z.nodes[0].dead = false
		z.poll()
		z.poll()
		for sort, version := range versions {
			if missing := z.missing(sort, version); missing > 0 {
				rt.Fatalf("%d nodes lack version %d of %s", missing, version, sort)
			}
		}
	})
}

func TestLog_RefusesWhatItCannotAnswer(t *testing.T) {
	var log Log
	if _, err := log.After(t.Context(), 0, 0); !errors.Is(err, ErrStale) {
		t.Errorf("an empty log: %v", err)
	}
	log.Append(table.Changes{Revision: 10, AsOf: clock.Now().Add(-maxLogAge - time.Second)})
	if _, err := log.After(t.Context(), 10, 0); !errors.Is(err, ErrStale) {
		t.Errorf("an old log: %v", err)
	}
	log.Append(table.Changes{Revision: 10, AsOf: clock.Now()})
	if _, err := log.After(t.Context(), 9, 0); !errors.Is(err, ErrBehind) {
		t.Errorf("a revision before the first: %v", err)
	}
	for i := range maxLogChanges + 5 {
		log.Append(table.Changes{Revision: uint64(11 + i), AsOf: clock.Now(), Changes: []table.Change{{Row: table.Row{Version: uint64(11 + i)}}}})
	}
	if _, err := log.After(t.Context(), 11, 0); !errors.Is(err, ErrBehind) {
		t.Errorf("a revision whose changes were dropped: %v", err)
	}
	changes, err := log.After(t.Context(), 20, 0)
	if err != nil || len(changes.Changes) != maxLogChanges+5-10 || log.count > maxLogChanges {
		t.Errorf("%d changes, %d kept, error %v", len(changes.Changes), log.count, err)
	}
}

func TestLog_AfterWaitsForChange(t *testing.T) {
	var log Log
	log.Append(table.Changes{Revision: 1, AsOf: clock.Now()})
	got := make(chan table.Changes, 1)
	go func() {
		changes, err := log.After(t.Context(), 1, 10*time.Second)
		if err != nil {
			t.Error(err)
		}
		got <- changes
	}()
	time.Sleep(20 * time.Millisecond)
	log.Append(table.Changes{Revision: 2, AsOf: clock.Now(), Changes: []table.Change{{Row: table.Row{Version: 2}}}})
	select {
	case changes := <-got:
		if changes.Revision != 2 || len(changes.Changes) != 1 {
			t.Errorf("got %+v", changes)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the wait did not end")
	}
}

// The strongest machines are relays, all nodes agree on them, and each has few followers.
func TestChoose_NodesAgree(t *testing.T) {
	var nodes []Candidate
	for i := range 200 {
		name := fmt.Sprintf("n%d", i)
		nodes = append(nodes, Candidate{Node: name, Address: name, Cores: []float64{0.2, 0.8}[i%2]})
	}
	followers, relays := map[string]int{}, map[string]bool{}
	for _, n := range nodes {
		role := Choose(n.Node, Relays(nodes))
		if role.Relay {
			relays[n.Node] = true
			if n.Cores < 0.8 {
				t.Errorf("%s with %v cores is a relay", n.Node, n.Cores)
			}
			continue
		}
		if len(role.Follows) != alternatives {
			t.Errorf("%s follows %v", n.Node, role.Follows)
		}
		followers[role.Follows[0]]++
	}
	if len(relays) != 7 {
		t.Errorf("relays are %v, want 7", relays)
	}
	told := map[string]int{}
	for relay := range relays {
		for _, follower := range Followers(relay, nodes, Relays(nodes)) {
			told[follower]++
		}
	}
	for _, n := range nodes {
		if want := map[bool]int{true: 0, false: 1}[relays[n.Node]]; told[n.Node] != want {
			t.Errorf("%s, a relay %t, is a follower of %d relays", n.Node, relays[n.Node], told[n.Node])
		}
	}
	for relay, count := range followers {
		if !relays[relay] || count > 2*followersPerRelay {
			t.Errorf("%s, a relay %t, has %d followers", relay, relays[relay], count)
		}
	}
}

func FuzzDecode(f *testing.F) {
	body, err := Encode(Answer{Changes: table.Changes{Revision: 3, Changes: []table.Change{{Row: table.Row{Version: 3, Unreadable: errDown}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		if answer, err := Decode(body); err == nil && answer.Age < 0 {
			t.Fatalf("an answer of age %v", answer.Age)
		}
	})
}
