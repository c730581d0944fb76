package jobs

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// An item that finds no free slot in its node's own share for a while borrows one: a replica that
// appears to have a free slot reserves it, and the item is sent there. The item stays assigned to
// its node, so nothing is written, nothing runs twice, and no other node is involved.

const (
	// borrowTries is the number of replicas in the node's own region that are asked each time,
	// borrowRemoteTries the number of those in other regions asked after them.
	borrowTries       = 3
	borrowRemoteTries = 2
	// borrowBackoff is the pause before replicas of a lane are asked again after all of them
	// refused. It doubles with each refusal in a row, up to borrowBackoffMax, with a jitter of half
	// to either side so that nodes refused together spread out. If all replicas are full, a node
	// asks 3 times a second for each lane, or 5 times if there are several regions.
	borrowBackoff    = 200 * time.Millisecond
	borrowBackoffMax = time.Second
	// borrowInterval is the pause after a slot was borrowed. It limits how much a node takes based
	// on load reports that are about 100 ms old.
	borrowInterval = 50 * time.Millisecond
	// reserveTimeout bounds one reservation: a round trip and a new connection.
	reserveTimeout = 250 * time.Millisecond
	// reservationTTL is how long a slot stays reserved. The item follows at once, but a node that
	// is short of CPU time may be delayed by a few hundred milliseconds.
	reservationTTL = 400 * time.Millisecond
)

// tryBorrow looks for a slot outside this node's share, in the background, for an item that has
// made no progress for long enough.
func (r *Runner) tryBorrow(send pendingSend, pass *dispatchPass, now time.Time) {
	waited, due := r.borrowDue(send, now)
	if !due || waited < replica.BorrowAfter || waited <= pass.borrowWaits[send.lane] {
		return
	}
	scope, err := r.Replicas.MayBorrow(send.pool, waited, now)
	if err != nil {
		pass.borrowWaits[send.lane] = waited
		r.updateBorrowState(send.lane, func(state *borrowState) { state.refuse(err, now) })
		return
	}
	if !r.readyToSend(send, now) {
		return
	}
	criteria := r.criteria(send)
	criteria.Borrowed, criteria.Exclude = true, map[string]bool{}
	criteria.PreferStale = r.Replicas.ProbeStale(send.pool, now)
	criteria.Starved = waited >= replica.StarvedAfter
	// Each node asks equally good replicas in a different order.
	criteria.Affinity = rand.Uint64()
	r.updateBorrowState(send.lane, func(state *borrowState) { state.inProgress = true })
	go func() {
		err := r.borrowSlot(send, criteria, scope)
		r.updateBorrowState(send.lane, func(state *borrowState) { state.record(err, clock.Now()) })
	}()
}

// borrowState is the state of borrowing slots in one lane.
type borrowState struct {
	// inProgress is set while replicas are asked, for one item at a time.
	inProgress bool
	// notBefore is when replicas may be asked again, refusals how many times in a row all refused.
	notBefore time.Time
	refusals  int
	// lastErr is why the last item of the lane got no slot, as of lastAt; nil if it got one.
	lastErr error
	lastAt  time.Time
}

// refuse records why an item may not borrow a slot.
func (b *borrowState) refuse(err error, now time.Time) { b.lastErr, b.lastAt = err, now }

// record updates the state with the result of a try.
func (b *borrowState) record(err error, now time.Time) {
	b.inProgress = false
	b.lastErr, b.lastAt = err, now
	if err == nil {
		b.refusals, b.notBefore = 0, now.Add(borrowInterval)
		return
	}
	pause := min(borrowBackoff<<min(b.refusals, 8), borrowBackoffMax)
	b.refusals++
	b.notBefore = now.Add(pause/2 + rand.N(pause))
}

// borrowDue returns how long an item has made no progress, and reports whether replicas may be
// asked now.
func (r *Runner) borrowDue(send pendingSend, now time.Time) (waited time.Duration, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.borrowStates[send.lane]
	return now.Sub(send.task.lastProgress), !state.inProgress && !now.Before(state.notBefore)
}

// updateBorrowState changes the state of a lane under the lock.
func (r *Runner) updateBorrowState(key lane, change func(*borrowState)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.borrowStates[key]
	change(&state)
	r.borrowStates[key] = state
}

// errNotSent means that an item was not sent into the slot that was reserved for it.
var errNotSent = errors.New("the item could not be sent into the reserved slot")

// borrowSlot asks a few replicas, one after the other, for a slot, and sends the item there. The error
// is that of the last replica of each region that was asked.
func (r *Runner) borrowSlot(send pendingSend, criteria *replica.Criteria, scope replica.BorrowScope) error {
	var ownErr error
	if scope == replica.AnyRegion {
		if ownErr = r.borrowFrom(send, criteria, borrowTries, false); ownErr == nil {
			return nil
		}
	}
	remoteErr := r.borrowFrom(send, criteria, borrowRemoteTries, true)
	if remoteErr == nil {
		return nil
	}
	return errs.Combine(ownErr, remoteErr)
}

// borrowFrom asks up to tries replicas, those in other regions if remote is set.
func (r *Runner) borrowFrom(send pendingSend, criteria *replica.Criteria, tries int, remote bool) error {
	var lastErr error
	criteria.OtherRegions = remote
	for range tries {
		now := clock.Now()
		chosen, err := replica.PickIdle(r.Replicas.SnapshotFor(send.pool, criteria, now), criteria, r.Weights, remote)
		if err != nil || r.Reserver == nil && chosen.Free() < 1 {
			// The next dispatch tries again.
			return cmp.Or(lastErr, err, replica.ErrNoReplica)
		}
		reservation, err := r.reserveAt(send.task.owned.ctx, chosen, send.item())
		if err == nil {
			criteria.Reserved = reservation != ""
			if !r.startRun(send, criteria, chosen, reservation) {
				return errNotSent
			}
			return nil
		}
		lastErr = err
		criteria.Exclude[chosen.ID] = true
		criteria.PreferStale = false
	}
	return lastErr
}

// reserveAt reserves a slot at a replica. Without a Reserver the item is sent without a
// reservation, and a full replica refuses it.
func (r *Runner) reserveAt(ctx context.Context, chosen *replica.Candidate, item *Item) (string, error) {
	if r.Reserver == nil {
		return "", nil
	}
	start := clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := r.Reserver.Reserve(callCtx, chosen.Info, int(item.Tokens), reservationTTL)
	switch {
	case errors.Is(err, forward.ErrRefused):
		r.Replicas.MarkFull(chosen.Info, start)
	case forward.IsNotListening(err):
		r.Replicas.MarkNotListening(chosen.Info, clock.Now())
	}
	return reservation, err
}
