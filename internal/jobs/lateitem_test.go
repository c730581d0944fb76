package jobs

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/clock/clocktest"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// maxItemDelay is how long after the end of its job was acknowledged an item may still reach a
// replica.
const maxItemDelay = 3 * time.Second

// refusingReplicas refuse all items, so that items are sent again and again, and record the attempts.
type refusingReplicas struct {
	mu       sync.Mutex
	attempts []sentItem
}

// sentItem is an attempt at an item.
type sentItem struct {
	item string
	at   time.Time
}

func (r *refusingReplicas) Send(_ context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, sentItem{attempt.Request.ID, clock.Now()})
	return nil, outcome.AsNotDone(forward.ErrRefused)
}

// sentBetween returns the attempts from a time to another one.
func (r *refusingReplicas) sentBetween(from, to time.Time) []sentItem {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.attempts), func(sent sentItem) bool { return sent.at.Before(from) || sent.at.After(to) })
}

// faultyTable counts the reads of rows and can fail them.
type faultyTable struct {
	table.Service
	reads atomic.Int64
	// fault, if set, returns the error of a read; it may wait.
	fault atomic.Pointer[func(ctx context.Context, key table.Key) error]
}

func (f *faultyTable) Get(ctx context.Context, key table.Key) (table.Row, error) {
	f.reads.Add(1)
	if fault := f.fault.Load(); fault != nil {
		if err := (*fault)(ctx, key); err != nil {
			return table.Row{}, err
		}
	}
	return f.Service.Get(ctx, key)
}

// setFault sets the fault of reads from now on.
func (f *faultyTable) setFault(fault func(ctx context.Context, key table.Key) error) {
	f.fault.Store(&fault)
}

// silent answers no read.
func silent(ctx context.Context, _ table.Key) error {
	<-ctx.Done()
	return outcome.AsUnknown(fmt.Errorf("%w: %w", table.ErrUnavailable, ctx.Err()))
}

// throttled rejects all reads.
func throttled(context.Context, table.Key) error { return outcome.AsNotDone(table.ErrThrottled) }

// runnerNode is a node that runs items, whose view follows a feed that can stall.
type runnerNode struct {
	*readerNode
	runner   *Runner
	replicas *refusingReplicas
	table    *faultyTable
}

// stall makes the feed stand still from now on. It returns the time that the view is as of.
func (n *runnerNode) stall() time.Time {
	n.feed.stalled.Store(true)
	// An answer of the same moment may still be on its way into the view.
	synctest.Wait()
	return n.View.AsOf()
}

// withRunnerNode runs a test with a node that runs the items of jobs "job-0", "job-1" and so on, and
// another node that can end them.
func withRunnerNode(t *testing.T, jobs int, test func(t *testing.T, ender *Service, node *runnerNode)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		// Reads of the table outlive the runner that began them.
		defer time.Sleep(refreshTotalTimeout)
		defer cancel()
		shared := tabletest.New()
		ender := startReaderNode(ctx, shared)
		node := &runnerNode{
			readerNode: &readerNode{feed: &stallingFeed{Feed: shared.Feed(Group)}}, replicas: &refusingReplicas{},
			table: &faultyTable{Service: shared},
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
		if now := clock.Now(); len(node.replicas.sentBetween(now.Add(-time.Second), now)) < 3 {
			t.Fatal("items are sent less than 3 times a second, too few for this test")
		}
		test(t, ender.Service, node)
	})
}

// TestRunner_ItemsOfAJobEndedElsewhereAreNotSent guards against items that are sent from a view
// whose feed stands still, long after another node has acknowledged the end of their job.
func TestRunner_ItemsOfAJobEndedElsewhereAreNotSent(t *testing.T) {
	for _, delay := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			withRunnerNode(t, 1, func(t *testing.T, ender *Service, node *runnerNode) {
				node.stall()
				time.Sleep(delay)
				if err := ender.End(t.Context(), "job-0"); err != nil {
					t.Fatal(err)
				}
				ended := clock.Now()
				time.Sleep(4 * maxItemDelay)
				if late := node.replicas.sentBetween(ended.Add(maxItemDelay), clock.Now()); len(late) > 0 {
					t.Errorf("%d attempts more than %v after the end, the last after %v", len(late), maxItemDelay, late[len(late)-1].at.Sub(ended))
				}
			})
		})
	}
}

// TestRunner_ItemsGoOnWhileTheTableIsSilent guards against an outage of the store that stops all
// items before the view has its greatest age.
func TestRunner_ItemsGoOnWhileTheTableIsSilent(t *testing.T) {
	withRunnerNode(t, 2, func(t *testing.T, _ *Service, node *runnerNode) {
		node.table.setFault(silent)
		asOf := node.stall()
		time.Sleep(2 * maxViewAge)
		from, until := asOf.Add(maxUncheckedAge+refreshTotalTimeout+dispatchInterval), asOf.Add(maxViewAge-time.Second/2)
		for at := from; at.Before(until); at = at.Add(time.Second / 2) {
			if len(node.replicas.sentBetween(at, at.Add(time.Second/2))) == 0 {
				t.Errorf("nothing was sent while the view was %v old", at.Sub(asOf))
			}
		}
		if late := node.replicas.sentBetween(asOf.Add(maxViewAge+dispatchInterval), clock.Now()); len(late) > 0 {
			t.Errorf("%d attempts at a view older than %v", len(late), maxViewAge)
		}
	})
}

// TestRunner_ItemsWaitWhileChecksAreRefused guards against a refusal for the rate of calls that is
// taken for a silent table: other nodes may have ended the job.
func TestRunner_ItemsWaitWhileChecksAreRefused(t *testing.T) {
	refusals := map[string]func(ctx context.Context, node *runnerNode){
		"by the table": func(ctx context.Context, node *runnerNode) {
			node.table.setFault(throttled)
			<-ctx.Done()
			node.table.setFault(func(context.Context, table.Key) error { return nil })
		},
		"by this node": func(ctx context.Context, node *runnerNode) {
			for retry.Sleep(ctx, time.Millisecond/2) {
				for node.allowRefresh() {
				}
			}
		},
	}
	for name, refuse := range refusals {
		t.Run(name, func(t *testing.T) {
			withRunnerNode(t, 2, func(t *testing.T, _ *Service, node *runnerNode) {
				ctx, stop := context.WithCancel(t.Context())
				go refuse(ctx, node)
				asOf := node.stall()
				time.Sleep(5 * time.Second)
				if sent := node.replicas.sentBetween(asOf.Add(maxUncheckedAge+dispatchInterval), clock.Now()); len(sent) > 0 {
					t.Errorf("%d attempts at jobs that could not be read, the last at a view that is %v old", len(sent), sent[len(sent)-1].at.Sub(asOf))
				}
				if reads, limit := node.table.reads.Load(), int64(2*5*time.Second/failedCheckPause); reads > limit {
					t.Errorf("%d reads of the table, want %d at most", reads, limit)
				}
				for _, wait := range node.runner.ItemWaits() {
					if wait.Reason != WaitView {
						t.Errorf("an item waits for %v", wait.Reason)
					}
				}
				stop()
				again := clock.Now()
				time.Sleep(time.Second)
				if len(node.replicas.sentBetween(again, clock.Now())) == 0 {
					t.Error("nothing was sent once the jobs could be read again")
				}
			})
		})
	}
}

// TestRunner_ItemsWaitIfOnlyTheirReadIsLost guards against a lost read that is taken for a silent
// table although the table answers other calls, such as the end of the job.
func TestRunner_ItemsWaitIfOnlyTheirReadIsLost(t *testing.T) {
	withRunnerNode(t, 2, func(t *testing.T, ender *Service, node *runnerNode) {
		node.table.setFault(func(ctx context.Context, key table.Key) error {
			if key == progressKey("job-0") {
				return silent(ctx, key)
			}
			return nil
		})
		node.stall()
		if err := ender.End(t.Context(), "job-0"); err != nil {
			t.Fatal(err)
		}
		ended := clock.Now()
		time.Sleep(maxViewAge)
		late := slices.DeleteFunc(node.replicas.sentBetween(ended.Add(maxItemDelay), clock.Now()), func(sent sentItem) bool { return sent.item != "job-0-0" })
		if len(late) > 0 {
			t.Errorf("%d attempts more than %v after the end, the last after %v", len(late), maxItemDelay, late[len(late)-1].at.Sub(ended))
		}
	})
}

// TestRunner_ChecksAskOnlyWhileTheFeedIsStalled guards the cost of the checks: none while the feed
// works, and one read a job and maxUncheckedAge while it is stalled, during which all jobs go on.
func TestRunner_ChecksAskOnlyWhileTheFeedIsStalled(t *testing.T) {
	const jobs, rounds = 50, 3
	withRunnerNode(t, jobs, func(t *testing.T, _ *Service, node *runnerNode) {
		node.table.reads.Store(0)
		time.Sleep(time.Minute)
		if reads := node.table.reads.Load(); reads != 0 {
			t.Errorf("%d reads of the table while the feed works", reads)
		}
		asOf := node.stall()
		time.Sleep(clock.Until(asOf.Add((rounds+1)*maxUncheckedAge - 2*dispatchInterval)))
		if reads := node.table.reads.Load(); reads < jobs || reads > rounds*jobs {
			t.Errorf("%d reads of the table for %d jobs until the view is %v old", reads, jobs, clock.Since(asOf))
		}
		items := map[string]bool{}
		for _, sent := range node.replicas.sentBetween(clock.Now().Add(-time.Second), clock.Now()) {
			items[sent.item] = true
		}
		if len(items) != jobs {
			t.Errorf("items of %d jobs were sent in the last second, want %d", len(items), jobs)
		}
	})
}

// slowReserver reserves a slot after a while, although its context has ended.
type slowReserver struct{ delay time.Duration }

func (r slowReserver) Reserve(context.Context, replica.Info, int, time.Duration) (string, error) {
	time.Sleep(r.delay)
	return "reservation", nil
}

// TestRunner_JobEndedDuringAReservation guards against an item that is sent into a borrowed slot
// without a check after the reservation, during which the view became too old.
func TestRunner_JobEndedDuringAReservation(t *testing.T) {
	withRunnerNode(t, 1, func(t *testing.T, ender *Service, node *runnerNode) {
		// The checks are refused, so that the node does not learn of the end.
		node.table.setFault(throttled)
		node.stall()
		if err := ender.End(t.Context(), "job-0"); err != nil {
			t.Fatal(err)
		}
		ended := clock.Now()
		options := node.runner.RunnerOptions
		options.Reserver = slowReserver{delay: maxItemDelay}
		borrower := NewRunner(options)
		borrower.reconcile(t.Context())
		synctest.Wait()
		waiting := borrower.owned["job-0"].tasks[0]
		time.Sleep(maxUncheckedAge - 500*time.Millisecond)
		send := pendingSend{lane: lane{pool: testPool}, task: waiting, target: batchTable().Match(testHost, "/batch/x")}
		criteria := borrower.criteria(send)
		criteria.Borrowed, criteria.Exclude = true, map[string]bool{}
		if borrower.borrowSlot(send, criteria, replica.AnyRegion) == nil {
			t.Errorf("sent into a borrowed slot %v after the end", clock.Since(ended))
		}
	})
}

// TestIsRecent_NotFromBeforeASuspension guards against a machine that was suspended for a short time
// and trusts a row that it read before.
func TestIsRecent_NotFromBeforeASuspension(t *testing.T) {
	machine := clocktest.New(t)
	asOf := clock.Now()
	if !isRecent(asOf, clock.Now()) {
		t.Error("a row that was just read is not recent")
	}
	machine.Suspend(maxUncheckedAge / 4)
	if isRecent(asOf, clock.Now()) {
		t.Error("a row from before a suspension is recent")
	}
}
