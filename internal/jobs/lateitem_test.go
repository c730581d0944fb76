package jobs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// maxItemDelay is how long after the end of its job was acknowledged an item may still reach a
// replica.
const maxItemDelay = 3 * time.Second

// refusingReplicas refuse all items, so that items are sent again and again, and record when.
type refusingReplicas struct {
	mu   sync.Mutex
	sent []time.Time
}

func (r *refusingReplicas) Send(context.Context, *forward.Attempt) (*forward.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, clock.Now())
	return nil, outcome.AsNotDone(forward.ErrRefused)
}

// sentAfter returns the number of attempts after a time, and the last of them.
func (r *refusingReplicas) sentAfter(after time.Time) (count int, last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.sent {
		if at.After(after) {
			count++
			last = at
		}
	}
	return count, last
}

// runnerNode is a node that runs items, whose view follows a feed that can stall.
type runnerNode struct {
	*readerNode
	runner   *Runner
	replicas *refusingReplicas
	table    *countingTable
}

// withRunnerNode runs a test with a node that runs the items of jobs "job-0", "job-1" and so on, and
// another node that can end them.
func withRunnerNode(t *testing.T, jobs int, test func(t *testing.T, shared *tabletest.Table, ender *Service, node *runnerNode)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		shared := tabletest.New()
		ender := startReaderNode(ctx, shared)
		node := &runnerNode{
			readerNode: &readerNode{feed: &stallingFeed{Feed: shared.Feed(Group)}}, replicas: &refusingReplicas{},
			table: &countingTable{Service: shared, delay: time.Millisecond},
		}
		view := NewView()
		watcher := table.NewWatcher(node.feed, view.Apply)
		watcher.Pace = func() table.Pace { return table.Pace{AfterAnnouncement: 100 * time.Millisecond, Default: time.Second} }
		go watcher.Run(ctx)
		node.Service = &Service{
			Table: node.table, Objects: &objecttest.Store{}, View: view, Events: noEvents{},
			Session: func(context.Context) (string, error) { return "runner#1", nil },
		}
		set := replica.NewSet()
		set.Put(replica.Info{ID: "r", Pool: testPool, Address: "r", Slots: 2 * jobs})
		node.runner = NewRunner(RunnerOptions{
			Service: node.Service, Replicas: set, Backend: node.replicas, Routes: batchTable, Owners: noOwners{}, ViewAge: watcher.Age,
		})
		synctest.Wait()
		for i := range jobs {
			job := submission(fmt.Sprintf("job-%d", i), 1)
			job.Retention = time.Hour
			if err := node.Submit(ctx, job); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		go node.runner.Run(ctx)
		time.Sleep(5 * time.Second)
		if count, _ := node.replicas.sentAfter(clock.Now().Add(-time.Second)); count < 3 {
			t.Fatalf("items are sent %d times a second, too few for this test", count)
		}
		test(t, shared, ender.Service, node)
	})
}

// TestRunner_ItemsOfAJobEndedElsewhereAreNotSent guards against items that are sent from a view
// whose feed stands still, long after another node has acknowledged the end of their job.
func TestRunner_ItemsOfAJobEndedElsewhereAreNotSent(t *testing.T) {
	for _, delay := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			withRunnerNode(t, 1, func(t *testing.T, _ *tabletest.Table, ender *Service, node *runnerNode) {
				node.feed.stalled.Store(true)
				time.Sleep(delay)
				if err := ender.End(t.Context(), "job-0"); err != nil {
					t.Fatal(err)
				}
				ended := clock.Now()
				time.Sleep(4 * maxItemDelay)
				if count, last := node.replicas.sentAfter(ended.Add(maxItemDelay)); count > 0 {
					t.Errorf("%d attempts more than %v after the end, the last after %v", count, maxItemDelay, last.Sub(ended))
				}
			})
		})
	}
}
