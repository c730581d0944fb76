package jobs

import (
	"context"
	"errors"
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
	// borrowTries is the number of replicas asked each time.
	borrowTries = 3
	// borrowPause is the pause at this node before replicas of a lane are asked again after
	// they refused, borrowedPause after one had a slot. They bound what a node asks to
	// 12 questions a second and lane, and what it takes on words of some 100 ms ago.
	borrowPause   = 250 * time.Millisecond
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
	// No other item of the lane looks meanwhile.
	r.pauseBorrowing(send.lane, now.Add(borrowTries*borrowTimeout+borrowPause))
	demand := r.demand(send)
	demand.Borrowed, demand.Exclude = true, map[string]bool{}
	go func() {
		pause := borrowPause
		if r.borrowAny(send, demand) {
			pause = borrowedPause
		}
		r.pauseBorrowing(send.lane, clock.Now().Add(pause))
	}()
}

// borrowDue returns how long an item has not come on, and reports whether it is time to ask
// replicas for slots of others.
func (r *Runner) borrowDue(send itemSend, now time.Time) (waited time.Duration, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(send.task.cameOn), !now.Before(r.borrowAt[send.lane])
}

// pauseBorrowing has replicas be asked no sooner than at a time.
func (r *Runner) pauseBorrowing(where lane, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.borrowAt[where] = until
}

// borrowAny asks a few replicas, one after the other, for a slot. It reports whether the
// item was sent.
func (r *Runner) borrowAny(send itemSend, demand *replica.Demand) bool {
	for range borrowTries {
		now := clock.Now()
		chosen, err := replica.PickIdle(r.Replicas.SnapshotFor(send.pool, demand, now), demand, r.Weights)
		if err != nil {
			// The next look tries again.
			return false
		}
		reservation, err := r.reserveAt(send.task.work.ctx, chosen, send.item())
		if err == nil {
			demand.Reserved = reservation != ""
			return r.launch(send, demand, chosen, reservation)
		}
		demand.Exclude[chosen.ID] = true
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
		r.Replicas.Full(chosen.ID, began)
	}
	return reservation, err
}
