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
	// coldListRate and coldListTolerance allow 8 requests a second.
	coldListRate         = 2.0
	coldListStart        = 3 * time.Second
	coldListSendInterval = 10 * time.Millisecond
	// coldListLatency is the time that a call to the store takes.
	coldListLatency = 50 * time.Millisecond
)

// coldListTolerance is by how much the requests of all nodes may exceed coldListRate.
var coldListTolerance = replica.ColdTolerance{Over: 1.5, Slack: 5}

// coldListBound returns the number of requests that a cold replica may get in a second.
func coldListBound() int {
	return int(coldListTolerance.Over*coldListRate + coldListTolerance.Slack)
}

// errDisconnected is the error of calls to a store that the node cannot reach.
var errDisconnected = errors.New("store unreachable")

// cuttableFeed is a node's connection to a feed. While it is cut, calls fail. While the node's
// process is paused, responses wait until it resumes.
type cuttableFeed struct {
	table.Feed
	cut atomic.Bool
	// resumesAt is when the process of the node resumes, in Unix nanoseconds.
	resumesAt atomic.Int64
}

// After implements table.Feed.
func (f *cuttableFeed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	if f.cut.Load() {
		<-ctx.Done()
		return table.Changes{}, errDisconnected
	}
	time.Sleep(coldListLatency)
	changes, err := f.Feed.After(ctx, revision, wait)
	time.Sleep(time.Until(time.Unix(0, f.resumesAt.Load())))
	if f.cut.Load() {
		return table.Changes{}, errDisconnected
	}
	return changes, err
}

// coldListNode is a node that watches a replica list with one replica.
type coldListNode struct {
	*Gateway
	feed *cuttableFeed
}

// coldListFleet is a set of nodes that send to one replica as often as they may.
type coldListFleet struct {
	t    *testing.T
	list *tabletest.Table
	// version is the version of the replica's row.
	version uint64
	nodes   []*coldListNode
	sent    []time.Time
}

func newColdListFleet(t *testing.T, count int) *coldListFleet {
	t.Helper()
	f := &coldListFleet{t: t, list: tabletest.New()}
	f.writeReplica(0)
	var members []place.Node
	for i := range count {
		members = append(members, place.Node{ID: fmt.Sprint("node-", i)})
	}
	for _, member := range members {
		f.nodes = append(f.nodes, f.newNode(member.ID, members))
	}
	return f
}

func (f *coldListFleet) newNode(id string, members []place.Node) *coldListNode {
	node := &coldListNode{Gateway: &Gateway{core: testCore()}, feed: &cuttableFeed{Feed: f.list.Feed("servers")}}
	node.replicas.ColdTolerance = coldListTolerance
	node.replicas.SetColdLimits(map[string]replica.ColdLimit{"llm": {Rate: coldListRate, Start: coldListStart}})
	node.replicas.Divide(id, members)
	tabletest.Follow(f.t, node.watchReplicas(node.feed, node.applyReplicas))
	return node
}

// writeReplica writes the row of the replica, which stays cold for the given time.
func (f *coldListFleet) writeReplica(left time.Duration) {
	f.t.Helper()
	body, err := json.Marshal(standin.ColdServerRow("a:1", "z", 8, left))
	if err != nil {
		f.t.Fatal(err)
	}
	put := table.Write{Key: table.Key{Partition: "servers", Sort: coldListID}, Kind: table.Put, Body: body, Expect: f.version}
	if _, err := f.list.Commit(f.t.Context(), table.NewOperation(), put); err != nil {
		f.t.Fatal(err)
	}
	f.version++
}

// sendFor makes all nodes send as often as they may, for the given time.
func (f *coldListFleet) sendFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(coldListSendInterval) {
		for _, node := range f.nodes {
			f.send(node)
		}
	}
}

func (f *coldListFleet) send(node *coldListNode) {
	now := time.Now()
	criteria := &replica.Criteria{}
	chosen, err := replica.Pick(node.replicas.SnapshotFor("llm", criteria, now), criteria, replica.Weights{})
	if err != nil {
		return
	}
	if use := node.replicas.Begin(chosen.ID, criteria.RequestInfo, now); use != nil {
		use.End(replica.Succeeded, now)
		f.sent = append(f.sent, now)
	}
}

// maxPerSecond returns the largest number of requests that the replica got within one second,
// counting from a given time.
func (f *coldListFleet) maxPerSecond(from time.Time) int {
	first, highest := 0, 0
	for last, at := range f.sent {
		for f.sent[first].Before(from) || at.Sub(f.sent[first]) >= time.Second {
			if first++; first > last {
				break
			}
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// TestReplicaList_NodesWithoutStoreKeepColdRate guards against an overload of a replica that turns
// cold while some nodes cannot read the list. Their list is old, so they must send no more than a
// cold replica allows. Counting starts one second after it turned cold.
func TestReplicaList_NodesWithoutStoreKeepColdRate(t *testing.T) {
	for _, cut := range []int{0, 1, 3, 8} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newColdListFleet(t, 8)
				f.sendFor(2 * time.Second)
				for _, node := range f.nodes[:cut] {
					node.feed.cut.Store(true)
				}
				coldAt := time.Now()
				f.writeReplica(coldListStart)
				f.sendFor(coldListStart)
				if got, bound := f.maxPerSecond(coldAt.Add(time.Second)), coldListBound(); got > bound {
					t.Errorf("%d requests in a second, %d allowed", got, bound)
				}
			})
		})
	}
}

// TestReplicaList_ResponseFromBeforePauseIsStale guards against a node that resumes after a pause
// and takes a response from before the pause for current, because it has read it only now.
func TestReplicaList_ResponseFromBeforePauseIsStale(t *testing.T) {
	const pause, coldAfter, sendTime = 3200 * time.Millisecond, 2 * time.Second, 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newColdListFleet(t, 4)
		f.sendFor(2 * time.Second)
		for _, node := range f.nodes {
			node.feed.resumesAt.Store(time.Now().Add(pause).UnixNano())
		}
		time.Sleep(coldAfter)
		coldAt := time.Now()
		f.writeReplica(coldListStart)
		time.Sleep(pause - coldAfter)
		f.sendFor(sendTime)
		if got, bound := f.maxPerSecond(coldAt.Add(time.Second)), coldListBound(); got > bound {
			t.Errorf("%d requests in a second, %d allowed", got, bound)
		}
	})
}
