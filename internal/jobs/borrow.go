package jobs

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// An item that finds no room among its node's own slots for a while borrows one: a replica
// that is believed to have a free slot sets it aside, and the item goes there. It stays with
// its node, so nothing is written, nothing runs twice, and no other node has to be alive or
// to know.

const (
	// borrowTries is the number of replicas of the own region that are asked each time,
	// borrowAway that of those of other regions after them.
	borrowTries = 3
	borrowAway  = 2
	// borrowPause is the pause at this node before replicas of a lane are asked again after
	// all of them refused. It doubles with each time in a row, up to borrowPauseMax, and is
	// spread by half to either side, so that nodes that were refused together come apart.
	// A node asks 3 times a second and lane where all are full, 5 times in a fleet of regions.
	borrowPause    = 200 * time.Millisecond
	borrowPauseMax = time.Second
	// borrowedPause is the pause after one had a slot. It bounds what a node takes on words
	// of some 100 ms ago.
	borrowedPause = 50 * time.Millisecond
	// borrowTimeout bounds one question, a way there and back and a new connection.
	borrowTimeout = 250 * time.Millisecond
	// borrowHold is how long a slot is set aside: the item follows at once, but a node with a
	// small share of a core may be held up for a few times 100 ms.
	borrowHold = 400 * time.Millisecond
)

// borrow has an item look for a slot of others in the background if it has found no room for
// long enough.
func (r *Runner) borrow(send itemSend, room *itemRoom, now time.Time) {
	if room.borrowed[send.lane] {
		return
	}
	waited, due := r.borrowDue(send, now)
	if !due || waited < replica.BorrowAfter {
		return
	}
	room.borrowed[send.lane] = true
	if !r.Replicas.MayBorrow(send.pool, waited, now) || !r.prepared(send, now) {
		return
	}
	demand := r.demand(send)
	demand.Borrowed, demand.Exclude = true, map[string]bool{}
	demand.PreferStale = r.Replicas.ProbeStale(send.pool, now)
	demand.Starved = waited >= replica.StarvedAfter
	// Replicas that are as good as each other are asked by each node in another order.
	demand.Affinity = rand.Uint64()
	r.setBorrowing(send.lane, func(state *borrowing) { state.asking = true })
	go func() {
		sent := r.borrowAny(send, demand)
		r.setBorrowing(send.lane, func(state *borrowing) { state.asked(sent, clock.Now()) })
	}()
}

// borrowing is the state of the questions for slots of a lane.
type borrowing struct {
	// asking is set while replicas are asked, for one item at a time.
	asking bool
	// next is when they may be asked again, refused how often in a row all refused.
	next    time.Time
	refused int
}

// asked takes in what came of a question.
func (b *borrowing) asked(sent bool, now time.Time) {
	b.asking = false
	if sent {
		b.refused, b.next = 0, now.Add(borrowedPause)
		return
	}
	pause := min(borrowPause<<min(b.refused, 8), borrowPauseMax)
	b.refused++
	b.next = now.Add(pause/2 + rand.N(pause))
}

// borrowDue returns how long an item has not come on, and reports whether it is time to ask
// replicas for slots of others.
func (r *Runner) borrowDue(send itemSend, now time.Time) (waited time.Duration, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.borrows[send.lane]
	return now.Sub(send.task.cameOn), !state.asking && !now.Before(state.next)
}

// setBorrowing changes the state of a lane.
func (r *Runner) setBorrowing(where lane, change func(*borrowing)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.borrows[where]
	change(&state)
	r.borrows[where] = state
}

// borrowAny asks a few replicas, one after the other, for a slot. It reports whether the
// item was sent.
func (r *Runner) borrowAny(send itemSend, demand *replica.Criteria) bool {
	return r.borrowFrom(send, demand, borrowTries, false) || r.borrowFrom(send, demand, borrowAway, true)
}

// borrowFrom asks up to so many replicas, of other regions if away is set.
func (r *Runner) borrowFrom(send itemSend, demand *replica.Criteria, tries int, away bool) bool {
	for range tries {
		now := clock.Now()
		chosen, err := replica.PickIdle(r.Replicas.SnapshotFor(send.pool, demand, now), demand, r.Weights, away)
		if err != nil || r.Reserver == nil && chosen.Free() < 1 {
			// The next look tries again.
			return false
		}
		reservation, err := r.reserveAt(send.task.work.ctx, chosen, send.item())
		if err == nil {
			demand.Reserved = reservation != ""
			return r.launch(send, demand, chosen, reservation)
		}
		demand.Exclude[chosen.ID] = true
		demand.PreferStale = false
	}
	return false
}

// reserveAt asks a replica for a slot. Where replicas set none aside, the item is sent as it
// is, and a full replica refuses it.
func (r *Runner) reserveAt(ctx context.Context, chosen *replica.Candidate, item *Item) (string, error) {
	if r.Reserver == nil {
		return "", nil
	}
	began := clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	reservation, err := r.Reserver.Reserve(callCtx, chosen.Info, int(item.Tokens), borrowHold)
	if errors.Is(err, forward.ErrRefused) {
		r.Replicas.MarkFull(chosen.Info, began)
	}
	return reservation, err
}
