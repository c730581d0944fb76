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
	borrowTries       = 3
	borrowRemoteTries = 2
	// borrowBackoff is the pause at this node before replicas of a lane are asked again after
	// all of them refused. It doubles with each time in a row, up to borrowPauseMax, and is
	// spread by half to either side, so that nodes that were refused together come apart.
	// A node asks 3 times a second and lane where all are full, 5 times in a fleet of regions.
	borrowBackoff    = 200 * time.Millisecond
	borrowBackoffMax = time.Second
	// borrowInterval is the pause after one had a slot. It bounds what a node takes on words
	// of some 100 ms ago.
	borrowInterval = 50 * time.Millisecond
	// reserveTimeout bounds one question, a way there and back and a new connection.
	reserveTimeout = 250 * time.Millisecond
	// reservationTTL is how long a slot is set aside: the item follows at once, but a node with a
	// small share of a core may be held up for a few times 100 ms.
	reservationTTL = 400 * time.Millisecond
)

// tryBorrow has an item look for a slot of others in the background if it has found no room for
// long enough.
func (r *Runner) tryBorrow(send pendingSend, pass *dispatchPass, now time.Time) {
	if pass.borrowTried[send.lane] {
		return
	}
	waited, due := r.borrowDue(send, now)
	if !due || waited < replica.BorrowAfter {
		return
	}
	pass.borrowTried[send.lane] = true
	if !r.Replicas.MayBorrow(send.pool, waited, now) || !r.readyToSend(send, now) {
		return
	}
	demand := r.demand(send)
	demand.Borrowed, demand.Exclude = true, map[string]bool{}
	demand.Unheard = r.Replicas.AskUnheard(send.pool, now)
	demand.Starved = waited >= replica.BorrowStarved
	// Replicas that are as good as each other are asked by each node in another order.
	demand.Affinity = rand.Uint64()
	r.updateBorrowState(send.lane, func(state *borrowState) { state.inProgress = true })
	go func() {
		sent := r.borrowSlot(send, demand)
		r.updateBorrowState(send.lane, func(state *borrowState) { state.record(sent, clock.Now()) })
	}()
}

// borrowState is the state of the questions for slots of a lane.
type borrowState struct {
	// inProgress is set while replicas are asked, for one item at a time.
	inProgress bool
	// notBefore is when they may be asked again, refused how often in a row all refused.
	notBefore time.Time
	refusals  int
}

// record takes in what came of a question.
func (b *borrowState) record(sent bool, now time.Time) {
	b.inProgress = false
	if sent {
		b.refusals, b.notBefore = 0, now.Add(borrowInterval)
		return
	}
	pause := min(borrowBackoff<<min(b.refusals, 8), borrowBackoffMax)
	b.refusals++
	b.notBefore = now.Add(pause/2 + rand.N(pause))
}

// borrowDue returns how long an item has not come on, and reports whether it is time to ask
// replicas for slots of others.
func (r *Runner) borrowDue(send pendingSend, now time.Time) (waited time.Duration, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.borrowStates[send.lane]
	return now.Sub(send.task.lastProgress), !state.inProgress && !now.Before(state.notBefore)
}

// updateBorrowState changes the state of a lane.
func (r *Runner) updateBorrowState(key lane, change func(*borrowState)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.borrowStates[key]
	change(&state)
	r.borrowStates[key] = state
}

// borrowSlot asks a few replicas, one after the other, for a slot. It reports whether the
// item was sent.
func (r *Runner) borrowSlot(send pendingSend, demand *replica.Demand) bool {
	return r.borrowFrom(send, demand, borrowTries, false) || r.borrowFrom(send, demand, borrowRemoteTries, true)
}

// borrowFrom asks up to so many replicas, of other regions if away is set.
func (r *Runner) borrowFrom(send pendingSend, demand *replica.Demand, tries int, remote bool) bool {
	for range tries {
		now := clock.Now()
		chosen, err := replica.PickIdle(r.Replicas.SnapshotFor(send.pool, demand, now), demand, r.Weights, remote)
		if err != nil || r.Reserver == nil && chosen.Free() < 1 {
			// The next look tries again.
			return false
		}
		reservation, err := r.reserveAt(send.task.owned.ctx, chosen, send.item())
		if err == nil {
			demand.Reserved = reservation != ""
			return r.startRun(send, demand, chosen, reservation)
		}
		demand.Exclude[chosen.ID] = true
		demand.Unheard = false
	}
	return false
}

// reserveAt asks a replica for a slot. Where replicas set none aside, the item is sent as it
// is, and a full replica refuses it.
func (r *Runner) reserveAt(ctx context.Context, chosen *replica.Candidate, item *Item) (string, error) {
	if r.Reserver == nil {
		return "", nil
	}
	start := clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := r.Reserver.Reserve(callCtx, chosen.Info, int(item.Tokens), reservationTTL)
	if errors.Is(err, forward.ErrRefused) {
		r.Replicas.Full(chosen.Info, start)
	}
	return reservation, err
}
