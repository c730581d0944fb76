package streams

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// readInterval is the least time between the beginnings of two reads. All lookups that wait share one.
	readInterval = 50 * time.Millisecond
	// readTimeout bounds one call. A lookup has time for a second one, on a new connection.
	readTimeout = 350 * time.Millisecond
	// readOverlap is how much further back a read begins than the last one ended. It exceeds the time for which
	// a write may be under way, with the differences between the clocks of nodes.
	readOverlap = 4 * time.Second
	// readPage is the number of rows read at a time.
	readPage = 500
)

// readRounds lets lookups share reads. Each lookup waits for a read that begins after it.
type readRounds struct {
	mu sync.Mutex
	// next is the round that begins next; nil if nobody waits for one.
	next    *readRound
	running bool
	// awaited is the number of lookups that wait for each stream.
	awaited map[ID]int
	// attemptedAt is when the last read began.
	attemptedAt time.Time
	// begunAt is when the last complete read began. The rows since coveredFrom have been read as of then.
	begunAt, coveredFrom time.Time
}

// readRound is one read of the archive.
type readRound struct {
	// from is the time of the oldest rows that are needed.
	from time.Time
	done chan struct{}
	err  error
}

// Find returns the origin of a stream that began within a lifetime, as read from the table. known is false if it
// is not there or cannot be read before ctx is done.
func (a *Archive) Find(ctx context.Context, id ID, lifetime time.Duration) (origin Origin, known bool) {
	a.reads.await(id, 1)
	defer a.reads.await(id, -1)
	for ctx.Err() == nil {
		round := a.reads.join(time.Now().Add(-lifetime-readOverlap), a.runReads)
		select {
		case <-ctx.Done():
		case <-round.done:
			if round.err == nil {
				return a.Registry.Get(id)
			}
		}
	}
	return Origin{}, false
}

// await adds to the number of lookups that wait for a stream.
func (r *readRounds) await(id ID, lookups int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.awaited == nil {
		r.awaited = map[ID]int{}
	}
	if r.awaited[id] += lookups; r.awaited[id] == 0 {
		delete(r.awaited, id)
	}
}

// awaits reports whether a lookup waits for a stream.
func (r *readRounds) awaits(id ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.awaited[id] > 0
}

// join returns the round that begins next, and starts run in a goroutine unless it is running.
func (r *readRounds) join(from time.Time, run func()) *readRound {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &readRound{from: from, done: make(chan struct{})}
	}
	if from.Before(r.next.from) {
		r.next.from = from
	}
	if !r.running {
		r.running = true
		go run()
	}
	return r.next
}

// pause returns the time until the next read may begin. ok is false if nobody waits for one; then no read is
// running any more.
func (r *readRounds) pause(now time.Time) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = r.next != nil
	return readInterval - now.Sub(r.attemptedAt), r.running
}

// begin returns the round to read now.
func (r *readRounds) begin(now time.Time) *readRound {
	r.mu.Lock()
	defer r.mu.Unlock()
	round := r.next
	r.next, r.attemptedAt = nil, now
	return round
}

// runReads reads until nobody waits.
func (a *Archive) runReads() {
	for {
		wait, ok := a.reads.pause(time.Now())
		if !ok {
			return
		}
		retry.Sleep(context.Background(), wait)
		round := a.reads.begin(time.Now())
		if round.err = a.readSince(round.from); round.err != nil {
			a.OnError(round.err)
		}
		close(round.done)
	}
}

// readSince reads the rows that were built after a time, as far as they have not been read before.
func (a *Archive) readSince(from time.Time) error {
	begunAt, start := time.Now(), a.reads.startOf(from)
	if err := a.readRows(archiveKey(start)); err != nil {
		return err
	}
	a.reads.record(begunAt, from)
	return nil
}

// startOf returns the time from which rows have to be read so that all since from are known.
func (r *readRounds) startOf(from time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.begunAt.Add(-readOverlap)
	if r.coveredFrom.IsZero() || r.coveredFrom.After(from) || last.Before(from) {
		return from
	}
	return last
}

// record records that the rows since a time have been read, by a read that began at begunAt.
func (r *readRounds) record(begunAt, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coveredFrom.IsZero() || r.coveredFrom.After(from) || r.begunAt.Add(-readOverlap).Before(from) {
		r.coveredFrom = from
	}
	r.begunAt = begunAt
}

// readRows reads the rows after a key and puts their origins into the registry.
func (a *Archive) readRows(after string) error {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		rows, err := a.Table.List(ctx, a.Partition, after, readPage)
		cancel()
		if err != nil {
			return Error.Wrap(err)
		}
		for _, row := range rows {
			if err := a.register(row); err != nil {
				a.OnError(err)
			}
		}
		if len(rows) < readPage {
			return nil
		}
		after = rows[len(rows)-1].Sort
	}
}

// register puts the origins of a row into the registry.
func (a *Archive) register(row table.Row) error {
	builtAt, timeErr := archiveTime(row.Sort)
	origins, err := decodeArchiveRow(row.Body)
	if err = errors.Join(row.Unreadable, timeErr, err); err != nil {
		return Error.Wrap(err)
	}
	age := max(0, time.Since(builtAt))
	for _, archived := range origins {
		if keep := archived.keep - age; keep > 0 && (a.Wanted(archived.id) || a.reads.awaits(archived.id)) {
			a.Registry.Put(archived.id, archived.origin, keep)
		}
	}
	return nil
}
