package jobs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// detachedNode returns a node whose view is read once and never updated by the feed.
func detachedNode(t testing.TB, shared table.Service, feed table.Feed, session string) *testNode {
	t.Helper()
	view := NewView()
	all, _, err := feed.Page(context.Background(), table.Cursor{})
	if err != nil {
		t.Fatal(err)
	}
	view.Apply(all, true)
	service := &Service{
		Table: shared, Objects: &objecttest.Store{}, View: view, Events: noEvents{},
		Session: func(context.Context) (string, error) { return session, nil },
	}
	return &testNode{Service: service, session: session}
}

func limited(id string, items int, quota int64) *Submission {
	submitted := submission(id, items)
	submitted.Quota = quota
	return submitted
}

// TestSubmit_NeedsNoFeedOfOtherAcceptances lets nodes without a feed accept jobs in turn: a
// conflict must show a writer all it needs, or only the first node would succeed.
func TestSubmit_NeedsNoFeedOfOtherAcceptances(t *testing.T) {
	const quota, count = 6000, 30
	shared := tabletest.New()
	nodes := []*testNode{
		detachedNode(t, shared, shared.Feed(Group), "a#1"), detachedNode(t, shared, shared.Feed(Group), "b#1"),
		detachedNode(t, shared, shared.Feed(Group), "c#1"),
	}
	for number := range count {
		err := nodes[number%len(nodes)].Submit(t.Context(), limited(fmt.Sprintf("j%d", number), 2, quota))
		if err != nil {
			t.Fatalf("job %d of %d that fit: %v", number, count, err)
		}
	}
	for _, node := range nodes {
		if err := node.Submit(t.Context(), limited("late-"+node.session, 1, quota)); !errors.Is(err, ErrQuota) {
			t.Fatalf("a job beyond the quota: %v, want ErrQuota", err)
		}
	}
}

// TestSubmit_AcceptsWhileThePartitionOfAnotherShardIsDown guards that a job within its shard's part
// of the quota needs no other shard.
func TestSubmit_AcceptsWhileThePartitionOfAnotherShardIsDown(t *testing.T) {
	shared := tabletest.New()
	node := startNode(t, shared, &objecttest.Store{}, "a#1")
	if err := node.Submit(t.Context(), limited("first", 1, 100_000)); err != nil {
		t.Fatal(err)
	}
	down := (shardNumber("first") + 1) % shards
	shared.CommitFault = func(writes []table.Write) tabletest.Fault {
		if slices.ContainsFunc(writes, func(w table.Write) bool { return w.Partition == Group+"/"+shardName(down) }) {
			return tabletest.Down
		}
		return tabletest.None
	}
	for number := range 20 {
		id := fmt.Sprintf("j%d", number)
		if shardNumber(id) == down {
			continue
		}
		if err := node.Submit(t.Context(), limited(id, 1, 100_000)); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSubmit_LoweredQuotaHoldsInAllShards lowers the quota below the usage of one shard: the other
// shards must not accept jobs that would exceed it in sum.
func TestSubmit_LoweredQuotaHoldsInAllShards(t *testing.T) {
	shared := tabletest.New()
	node := detachedNode(t, shared, shared.Feed(Group), "a#1")
	other := detachedNode(t, shared, shared.Feed(Group), "b#1")
	for number := range 40 {
		if err := node.Submit(t.Context(), limited(fmt.Sprintf("j%d", number), 1, 100_000)); err != nil {
			t.Fatal(err)
		}
	}
	const lowered = 4200
	accepted := 0
	for number := range 20 {
		if other.Submit(t.Context(), limited(fmt.Sprintf("k%d", number), 1, lowered)) == nil {
			accepted++
		}
	}
	if accepted != 2 {
		t.Fatalf("%d items of 100 tokens were accepted beside 4000 under a quota of %d", accepted, lowered)
	}
}

// TestSubmit_QuotaHoldsWhileNodesDisagree lets nodes accept jobs concurrently under different
// quotas, as while a configuration spreads, and under faults. The accepted jobs must never exceed
// the largest quota.
func TestSubmit_QuotaHoldsWhileNodesDisagree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom([]tabletest.Fault{
			tabletest.None, tabletest.None, tabletest.None, tabletest.Down, tabletest.Lost, tabletest.Late,
		}), 4, 20).Draw(rt, "faults")
		quotas := rapid.SliceOfN(rapid.Int64Range(300, 1500), 3, 3).Draw(rt, "quotas")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 3), 4, 4).Draw(rt, "sizes")
		shared := tabletest.New()
		next := 0
		shared.CommitFault = func([]table.Write) tabletest.Fault {
			next++
			return script[next%len(script)]
		}
		refused := map[string]bool{}
		var mu sync.Mutex
		var done sync.WaitGroup
		for i, quota := range quotas {
			node := detachedNode(t, shared, shared.Feed(Group), fmt.Sprintf("n%d#1", i))
			done.Add(1)
			go func() {
				defer done.Done()
				for number, size := range sizes {
					id := fmt.Sprintf("%d-%d", i, number)
					ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
					err := node.Submit(ctx, limited(id, size, quota))
					cancel()
					mu.Lock()
					refused[id] = errors.Is(err, ErrQuota) || errors.Is(err, ErrNotAccepted)
					mu.Unlock()
				}
			}()
		}
		done.Wait()
		shared.CommitFault = nil
		shared.ApplyLate()
		checkAccepted(rt, shared, slices.Max(quotas), refused)
	})
}

// slowTable takes as long for a commit as the platform's store.
type slowTable struct {
	table.Service
	latency time.Duration
}

func (s slowTable) Commit(ctx context.Context, operation string, writes ...table.Write) ([]uint64, error) {
	time.Sleep(s.latency / 2)
	versions, err := s.Service.Commit(ctx, operation, writes...)
	time.Sleep(s.latency / 2)
	return versions, err
}

// BenchmarkSubmit_Burst lets many nodes accept one job each concurrently, with a feed that lags by
// half a second, and reports quantiles of the time taken.
func BenchmarkSubmit_Burst(b *testing.B) {
	const burst, latency = 30, 8 * time.Millisecond
	for _, count := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			shared := tabletest.New()
			nodes := make([]*testNode, count)
			for i := range nodes {
				nodes[i] = detachedNode(b, slowTable{shared, latency}, shared.Feed(Group), fmt.Sprintf("n%d#1", i))
			}
			var mu sync.Mutex
			var elapsed []time.Duration
			for round := range b.N {
				var done sync.WaitGroup
				for i := range burst {
					done.Go(func() {
						node := nodes[(round*burst+i)%count]
						start := time.Now()
						if err := node.Submit(context.Background(), limited(fmt.Sprintf("j%d-%d", round, i), 10, 1<<40)); err != nil {
							b.Error(err)
						}
						mu.Lock()
						elapsed = append(elapsed, time.Since(start))
						mu.Unlock()
					})
				}
				done.Wait()
			}
			slices.Sort(elapsed)
			for _, share := range []float64{0.5, 0.99} {
				at := elapsed[int(share*float64(len(elapsed)-1))]
				b.ReportMetric(float64(at.Microseconds())/1000, fmt.Sprintf("p%.0f-ms", 100*share))
			}
		})
	}
}
