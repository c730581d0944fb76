package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	coldListID = "r"
	// coldListRate and the tolerance make a bound of 8 requests a second.
	coldListRate  = 2.0
	coldListStart = 3 * time.Second
	coldListPress = 10 * time.Millisecond
	// coldListWay is how long a call to the store is under way.
	coldListWay = 50 * time.Millisecond
)

// coldListTolerance is what users' deployments allow.
var coldListTolerance = replica.ColdTolerance{Over: 1.5, Slack: 5}

// coldListBound is the number of requests that a cold replica may get in a second.
func coldListBound() int {
	return int(coldListTolerance.Over*coldListRate + coldListTolerance.Slack)
}

// errNoWay reports a store that a node has no way to.
var errNoWay = errors.New("no way to the store")

// cutFeed is a node's way to a feed. One that is cut answers nothing; one of a process that
// is stopped hands on, once it runs again, what was answered before.
type cutFeed struct {
	table.Feed
	cut atomic.Bool
	// wakes is when the node's process runs again, in Unix nanoseconds.
	wakes atomic.Int64
}

// After implements table.Feed.
func (f *cutFeed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	if f.cut.Load() {
		<-ctx.Done()
		return table.Changes{}, errNoWay
	}
	time.Sleep(coldListWay)
	read, err := f.Feed.After(ctx, revision, wait)
	time.Sleep(time.Until(time.Unix(0, f.wakes.Load())))
	if f.cut.Load() {
		return table.Changes{}, errNoWay
	}
	return read, err
}

// coldListNode is a node that follows a list with one replica.
type coldListNode struct {
	*Gateway
	feed *cutFeed
}

// coldListFleet is nodes that press on a replica as hard as they may.
type coldListFleet struct {
	t    *testing.T
	list *tabletest.Table
	// rows counts the versions of the replica's row.
	rows  uint64
	nodes []*coldListNode
	sent  []time.Time
}

func newColdListFleet(t *testing.T, count int) *coldListFleet {
	t.Helper()
	f := &coldListFleet{t: t, list: tabletest.New()}
	f.write(0)
	var members []place.Node
	for i := range count {
		members = append(members, place.Node{ID: fmt.Sprint("node-", i)})
	}
	for _, member := range members {
		f.nodes = append(f.nodes, f.node(member.ID, members))
	}
	return f
}

func (f *coldListFleet) node(id string, members []place.Node) *coldListNode {
	one := &coldListNode{Gateway: &Gateway{core: testCore()}, feed: &cutFeed{Feed: f.list.Feed("servers")}}
	one.replicas.ColdTolerance = coldListTolerance
	one.replicas.SetColdLimits(map[string]replica.ColdLimit{"llm": {Rate: coldListRate, Start: coldListStart}})
	one.replicas.Divide(id, members)
	tabletest.Follow(f.t, one.watchReplicas(one.feed, one.applyReplicas))
	return one
}

// write writes the replica's row, which is cold for so long yet.
func (f *coldListFleet) write(left time.Duration) {
	f.t.Helper()
	body, err := json.Marshal(standin.ColdListing("a:1", "z", 8, left))
	if err != nil {
		f.t.Fatal(err)
	}
	put := table.Write{Key: table.Key{Partition: "servers", Sort: coldListID}, Kind: table.Put, Body: body, Expect: f.rows}
	if _, err := f.list.Commit(f.t.Context(), table.NewOperation(), put); err != nil {
		f.t.Fatal(err)
	}
	f.rows++
}

// press has all nodes send what they may, for a while.
func (f *coldListFleet) press(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(coldListPress) {
		for _, node := range f.nodes {
			f.send(node)
		}
	}
}

func (f *coldListFleet) send(node *coldListNode) {
	now := time.Now()
	demand := &replica.Criteria{}
	chosen, err := replica.Pick(node.replicas.SnapshotFor("llm", demand, now), demand, replica.Weights{})
	if err != nil {
		return
	}
	if use := node.replicas.Begin(chosen.ID, demand.RequestInfo, now); use != nil {
		use.End(replica.Succeeded, now)
		f.sent = append(f.sent, now)
	}
}

// most returns the most requests that the replica got in any one second from a time on.
func (f *coldListFleet) most(from time.Time) int {
	first, most := 0, 0
	for last, at := range f.sent {
		for f.sent[first].Before(from) || at.Sub(f.sent[first]) >= time.Second {
			if first++; first > last {
				break
			}
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestColdList_NodesCutOffFromTheStoreKeepToTheRate guards a replica that turns cold while
// some nodes hear nothing of the list: what they know of it is old, so they send no more
// than a cold one bears. A second after it turned cold counts.
func TestColdList_NodesCutOffFromTheStoreKeepToTheRate(t *testing.T) {
	for _, cut := range []int{0, 1, 3, 8} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newColdListFleet(t, 8)
				f.press(2 * time.Second)
				for _, node := range f.nodes[:cut] {
					node.feed.cut.Store(true)
				}
				chilled := time.Now()
				f.write(coldListStart)
				f.press(coldListStart)
				if got, bound := f.most(chilled.Add(time.Second)), coldListBound(); got > bound {
					t.Errorf("%d requests in a second, %d allowed", got, bound)
				}
			})
		})
	}
}

// TestColdList_AnAnswerFromBeforeAStopIsOld guards a node that was stopped: the store's
// answer that it finds when it wakes is from before, so it tells nothing of what has
// happened meanwhile, however short ago the node has read it.
func TestColdList_AnAnswerFromBeforeAStopIsOld(t *testing.T) {
	const stop, chilledAfter, awake = 3200 * time.Millisecond, 2 * time.Second, 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newColdListFleet(t, 4)
		f.press(2 * time.Second)
		for _, node := range f.nodes {
			node.feed.wakes.Store(time.Now().Add(stop).UnixNano())
		}
		time.Sleep(chilledAfter)
		chilled := time.Now()
		f.write(coldListStart)
		time.Sleep(stop - chilledAfter)
		f.press(awake)
		if got, bound := f.most(chilled.Add(time.Second)), coldListBound(); got > bound {
			t.Errorf("%d requests in a second, %d allowed", got, bound)
		}
	})
}
