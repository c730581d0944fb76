package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// Times of a day of faultySite.
const (
	faultyDayOutage = 4 * time.Second
	faultyDayCalm   = 11 * time.Second
	faultyDayEnd    = 16 * time.Second
	// lateWrite is the longest time after which a write that got no answer may still be applied.
	lateWrite = 3 * time.Second
	// maxTransit is the longest way of a request or an answer, maxOutageTransit during the outage.
	maxTransit       = 20 * time.Millisecond
	maxOutageTransit = 400 * time.Millisecond
)

// faultySite is several nodes before one table that loses answers during an outage. A write without an
// answer may be applied at once, later or never.
type faultySite struct {
	t      *testing.T
	ctx    context.Context
	start  time.Time
	shared *tabletest.Table

	// mu guards random and nodes.
	mu     sync.Mutex
	random *rand.Rand
	nodes  []*Service
	// loss is the share of calls that get no answer during the outage.
	loss    float64
	history shownHistory
}

// chance returns true with a probability.
func (s *faultySite) chance(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

// below returns a random number from 0 to limit-1.
func (s *faultySite) below(limit int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(limit)
}

// partOf returns a random part of limit, at least a millisecond.
func (s *faultySite) partOf(limit time.Duration) time.Duration {
	return time.Duration(s.below(int(limit))) + time.Millisecond
}

// outage reports whether the table loses answers now.
func (s *faultySite) outage() bool {
	elapsed := time.Since(s.start)
	return elapsed >= faultyDayOutage && elapsed < faultyDayCalm
}

// lost reports whether a call gets no answer.
func (s *faultySite) lost() bool { return s.outage() && s.chance(s.loss) }

// sleep waits for a random part of limit. It reports whether the day goes on.
func (s *faultySite) sleep(limit time.Duration) bool {
	return retry.Sleep(s.ctx, s.partOf(limit))
}

// lossyTable is the table as one node calls it.
type lossyTable struct{ site *faultySite }

// transit waits for the way of a request or of an answer, or until ctx ends if it is lost.
func (f lossyTable) transit(ctx context.Context) error {
	switch {
	case f.site.lost():
		<-ctx.Done()
	case f.site.outage():
		retry.Sleep(ctx, f.site.partOf(maxOutageTransit))
	default:
		retry.Sleep(ctx, f.site.partOf(maxTransit))
	}
	if ctx.Err() != nil {
		return outcome.AsUnknown(table.ErrUnavailable)
	}
	return nil
}

func (f lossyTable) Get(ctx context.Context, key table.Key) (row table.Row, err error) {
	if err := f.transit(ctx); err != nil {
		return table.Row{}, err
	}
	row, err = f.site.shared.Get(ctx, key)
	if err := f.transit(ctx); err != nil {
		return table.Row{}, err
	}
	return row, err
}

func (f lossyTable) List(ctx context.Context, partition, after string, limit int) ([]table.Row, error) {
	if err := f.transit(ctx); err != nil {
		return nil, err
	}
	rows, err := f.site.shared.List(ctx, partition, after, limit)
	if err := f.transit(ctx); err != nil {
		return nil, err
	}
	return rows, err
}

func (f lossyTable) Commit(ctx context.Context, operation string, writes ...table.Write) ([]uint64, error) {
	if err := f.transit(ctx); err != nil {
		go f.applyLate(operation, writes)
		return nil, err
	}
	versions, err := f.site.shared.Commit(ctx, operation, writes...)
	if err := f.transit(ctx); err != nil {
		return nil, err
	}
	return versions, err
}

// applyLate applies half of the writes that got no answer, after a while.
func (f lossyTable) applyLate(operation string, writes []table.Write) {
	if f.site.chance(0.5) && f.site.sleep(lateWrite) {
		// A condition that no longer holds is a usual outcome.
		_, _ = f.site.shared.Commit(f.site.ctx, operation, writes...)
	}
}

// lossyFeed follows the table, one page for each shard, so that a whole read is a mix of moments.
type lossyFeed struct {
	lossyTable
	table.Feed
}

func (f lossyFeed) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	if err := f.transit(ctx); err != nil {
		return table.Changes{}, cursor, err
	}
	page, _, err := f.Feed.Page(ctx, cursor)
	if err := f.transit(ctx); err != nil {
		return table.Changes{}, cursor, err
	}
	rows := page.Changes
	page.Changes = nil
	for _, change := range rows {
		if change.Partition == Group+"/"+shardName(cursor.Part) {
			page.Changes = append(page.Changes, change)
		}
	}
	return page, table.Cursor{Part: cursor.Part + 1, Done: cursor.Part+1 == shards}, err
}

func (f lossyFeed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	if err := f.transit(ctx); err != nil {
		return table.Changes{}, err
	}
	changes, err := f.Feed.After(ctx, revision, wait)
	if err := f.transit(ctx); err != nil {
		return table.Changes{}, err
	}
	return changes, err
}

// newNode returns a node that has read nothing yet.
func (s *faultySite) newNode(session string) *Service {
	view := NewView()
	calls := lossyTable{s}
	feed := &table.HedgedFeed{Feed: lossyFeed{lossyTable: calls, Feed: s.shared.Feed(Group)}}
	go table.NewWatcher(feed, view.Apply).Run(s.ctx)
	return &Service{
		Table: calls, Objects: &objecttest.Store{}, View: view, Events: noEvents{},
		Session: func(context.Context) (string, error) { return session, nil },
	}
}

// node returns a random node.
func (s *faultySite) node() *Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[s.random.IntN(len(s.nodes))]
}

// submit submits a job until it is accepted.
func (s *faultySite) submit(id string, items int) bool {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, 4*time.Second)
		err := s.node().Submit(ctx, submission(id, items))
		cancel()
		if err == nil {
			s.history.accepted(id)
			return true
		}
		s.sleep(200 * time.Millisecond)
	}
	return false
}

// list lists the items of a job from one node after the other, each of which goes on with what it had
// under way when the next one takes over.
func (s *faultySite) list(id string, items int) {
	for s.ctx.Err() == nil {
		node := s.node()
		entry, err := node.find(s.ctx, id)
		if err != nil {
			s.sleep(200 * time.Millisecond)
			continue
		}
		owned := &ownedJob{job: entry.Job}
		var batch []*task
		for range 1 + s.below(3) {
			item := s.below(items)
			batch = append(batch, &task{owned: owned, index: item, text: fmt.Appendf(nil, "text %d", item)})
		}
		go func() {
			// What fails is listed by a later try.
			_ = node.listResults(s.ctx, entry.Job, batch)
		}()
		s.sleep(time.Second)
	}
}

// read reads a job at random nodes and positions.
func (s *faultySite) read(id string, items int) {
	for s.sleep(400 * time.Millisecond) {
		node, position := s.node(), s.below(items)
		wait := time.Duration(s.below(2)) * time.Second
		began := time.Now()
		ctx, cancel := context.WithTimeout(s.ctx, wait+1350*time.Millisecond)
		reading, err := node.Read(ctx, id, position, wait)
		cancel()
		if s.ctx.Err() == nil {
			s.history.check(s.t, s.start, id, position, began, reading, err)
		}
	}
}

// end ends a job at a random time, at half of the chances. A later read may show more results only until the
// end is acknowledged.
func (s *faultySite) end(id string) {
	if !s.sleep(faultyDayEnd) || !s.chance(0.5) {
		return
	}
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, 2500*time.Millisecond)
		err := s.node().End(ctx, id)
		cancel()
		if err == nil {
			s.history.ended(id)
			return
		}
		s.sleep(200 * time.Millisecond)
	}
}

// restart replaces a random node by one that knows nothing. What the old one had under way goes on.
func (s *faultySite) restart() {
	for i := 0; s.sleep(4 * time.Second); i++ {
		node := s.newNode(fmt.Sprintf("restarted-%d#1", i))
		s.mu.Lock()
		s.nodes[s.random.IntN(len(s.nodes))] = node
		s.mu.Unlock()
	}
}

// dropHistory makes the table forget its changes at random times.
func (s *faultySite) dropHistory() {
	for s.sleep(6 * time.Second) {
		s.shared.Compact()
	}
}

// run plays a day with a few jobs.
func (s *faultySite) run() {
	const items = 12
	for number := range 3 {
		id := fmt.Sprintf("job-%d", number)
		go func() {
			s.sleep(faultyDayCalm - time.Second)
			if !s.submit(id, items) {
				return
			}
			go s.list(id, items)
			go s.end(id)
			for range 4 {
				go s.read(id, items)
			}
		}()
	}
	go s.restart()
	go s.dropHistory()
	<-s.ctx.Done()
	// Calls that outlast their callers end within this time.
	time.Sleep(lateWrite + slowCallTimeout)
}

// TestRead_PromisesHoldUnderFaults guards against a node that denies a result which another node has shown
// over a second before, shows another result at a position, denies an accepted job, or takes its answer
// for more recent than it is, whatever mix of lost answers, late writes, dropped histories, takeovers and
// restarts came before.
func TestRead_PromisesHoldUnderFaults(t *testing.T) {
	for seed := range faultyDays() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), faultyDayEnd)
				defer cancel()
				random := rand.New(rand.NewPCG(seed, 0))
				site := &faultySite{t: t, ctx: ctx, random: random, start: time.Now(), shared: tabletest.New(), loss: 0.2 + 0.5*random.Float64()}
				for i := range 4 {
					site.nodes = append(site.nodes, site.newNode(fmt.Sprintf("node-%d#1", i)))
				}
				site.run()
				if site.history.answered() == 0 {
					t.Error("no read was answered")
				}
			})
		})
	}
}
