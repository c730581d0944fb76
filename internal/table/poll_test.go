package table

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
)

// blockingHeads blocks reads of the log heads while blocked is set.
type blockingHeads struct {
	Service
	rows    map[string][]Row
	blocked atomic.Bool
	// delay is the time that a read of the heads takes.
	delay time.Duration
}

func (h *blockingHeads) Get(ctx context.Context, key Key) (Row, error) {
	select {
	case <-ctx.Done():
	case <-time.After(h.delay):
	}
	for _, row := range h.rows[key.Partition] {
		if row.Sort == key.Sort {
			return row, nil
		}
	}
	return Row{}, outcome.AsNotDone(ErrNotFound)
}

func (h *blockingHeads) List(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	if strings.HasPrefix(partition, headsPartition) && h.blocked.Load() {
		<-ctx.Done()
		return nil, outcome.AsUnknown(ctx.Err())
	}
	select {
	case <-ctx.Done():
	case <-time.After(h.delay):
	}
	var found []Row
	for _, row := range h.rows[partition] {
		if row.Sort > after && len(found) < limit {
			found = append(found, row)
		}
	}
	return found, nil
}

// While no poll of the heads completes, the age of the view grows, the outage is reported once, and
// the wall clock in Changes.Now continues to advance.
func TestPolledFeed_AgeGrowsWhileNoPollIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		service := &blockingHeads{rows: map[string][]Row{headsPartition: {{Key: headKey("g"), Version: 1}}}}
		heads := NewHeads(service)
		var now, lost atomic.Int64
		watcher := NewWatcher(PolledFeed{Heads: heads, Group: "g", Parts: []string{"g"}}, func(c Changes, _ bool) { now.Store(int64(c.Now)) })
		watcher.OnLost = func(error) { lost.Add(1) }
		go heads.Run(ctx)
		go watcher.Run(ctx)
		time.Sleep(5 * time.Second)
		if age := watcher.Age(); age > 2*time.Second {
			t.Errorf("age %v while all polls complete", age)
		}
		service.blocked.Store(true)
		time.Sleep(time.Minute)
		if age := watcher.Age(); age < time.Minute-time.Second || lost.Load() != 1 {
			t.Errorf("age %v after a minute without responses, %d outages reported, want 1", age, lost.Load())
		}
		if behind := wallClock() - time.Duration(now.Load()); behind > time.Minute+time.Second {
			t.Errorf("Changes.Now is %v behind", behind)
		}
	})
}

func TestPolledFeed_NowIsTheWallClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &blockingHeads{rows: map[string][]Row{headsPartition: {{Key: headKey("g"), Version: 1}}}}
		heads := NewHeads(service)
		feed := PolledFeed{Heads: heads, Group: "g", Parts: []string{"g"}}
		service.delay = 300 * time.Millisecond
		service.blocked.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go heads.Run(ctx)
		changes, err := feed.After(ctx, 1, time.Second)
		if !errors.Is(err, ErrUnavailable) {
			t.Errorf("before any poll completed: %+v, error %v", changes, err)
		}
		service.blocked.Store(false)
		time.Sleep(pollTimeout)
		changes, err = feed.After(ctx, 1, 3*time.Second)
		if err != nil || changes.Now != wallClock() || clock.Since(changes.AsOf) < service.delay || clock.Since(changes.AsOf) > time.Second {
			t.Errorf("Changes.Now is %v behind, AsOf %v ago, error %v", wallClock()-changes.Now, clock.Since(changes.AsOf), err)
		}
	})
}

// Guards against a page that counts as of its receipt.
func TestPolledFeed_PageIsAsOldAsItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &blockingHeads{rows: map[string][]Row{headsPartition: {{Key: headKey("g"), Version: 1}}}, delay: time.Second}
		feed := PolledFeed{Heads: NewHeads(service), Group: "g", Parts: []string{"g"}}
		sent := clock.Now()
		page, _, err := feed.Page(t.Context(), Cursor{})
		if err != nil || page.AsOf.After(sent) || page.AsOf.IsZero() {
			t.Errorf("as of %v after the request, error %v", page.AsOf.Sub(sent), err)
		}
	})
}

// Guards against a view that is more than one page behind but considered complete.
func TestPolledFeed_FullPageSetsMore(t *testing.T) {
	service := &blockingHeads{rows: map[string][]Row{headsPartition: {{Key: headKey("g"), Version: 250}}}}
	for number := uint64(1); number <= 250; number++ {
		service.rows[logPrefix+"g"] = append(service.rows[logPrefix+"g"], Row{Key: logKey("g", number), Version: number, Body: []byte{0x80}})
	}
	feed := PolledFeed{Heads: NewHeads(service), Group: "g", Parts: []string{"g"}}
	for revision, more := range map[uint64]bool{0: true, 200: false} {
		changes, err := feed.since(t.Context(), revision)
		if err != nil || changes.More != more {
			t.Errorf("changes after %d up to %d: More is %v, error %v", revision, changes.Revision, changes.More, err)
		}
	}
}

// Guards against changes that count as of their receipt.
func TestPolledFeed_ChangesAreAsOldAsTheirRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &blockingHeads{
			rows: map[string][]Row{
				headsPartition:  {{Key: headKey("g"), Version: 1}},
				logPrefix + "g": {{Key: logKey("g", 1), Version: 1, Body: []byte{0x80}}},
			},
			delay: time.Second,
		}
		feed := PolledFeed{Heads: NewHeads(service), Group: "g", Parts: []string{"g"}}
		sent := clock.Now()
		changes, err := feed.since(t.Context(), 0)
		if err != nil || changes.Revision != 1 || changes.AsOf.After(sent) || changes.AsOf.IsZero() {
			t.Errorf("up to %d as of %v after the request, error %v", changes.Revision, changes.AsOf.Sub(sent), err)
		}
	})
}
