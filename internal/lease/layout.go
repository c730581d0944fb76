package lease

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// moveInterval is the mean time between the moves of two sessions of a fleet whose number of partitions
// changes. All moves write to the partition of the member rows.
const moveInterval = time.Second / maxPartitionSessions

// shrinkDelay is how long a fleet must call for fewer partitions before sessions move. A starting fleet
// looks small at first.
const shrinkDelay = 30 * time.Second

// layouts returns the numbers of partitions among which session rows are placed, for a Watcher.
func (r *Roster) layouts() []int {
	own := r.session.placedAmong()
	r.mu.Lock()
	defer r.mu.Unlock()
	used := maps.Clone(r.layoutSessions)
	used[own]++
	if len(r.unreadableVersions) > 0 {
		used[basePartitions]++
	}
	return slices.Sorted(maps.Keys(used))
}

// setLayout records among how many partitions the row of a session is placed; 0 if it was ended. The
// caller holds mu.
func (r *Roster) setLayout(id string, partitions int) {
	if previous, known := r.sessionLayouts[id]; known {
		if r.layoutSessions[previous]--; r.layoutSessions[previous] == 0 {
			delete(r.layoutSessions, previous)
		}
	}
	if partitions == 0 {
		delete(r.sessionLayouts, id)
		return
	}
	r.sessionLayouts[id] = partitions
	r.layoutSessions[partitions]++
}

// moveSession moves this node's session row if the number of nodes calls for another number of
// partitions. The nodes take turns at random, so that the moves do not exceed what the store takes. A
// move that fails is tried again after another delay; the session is renewed meanwhile.
func (r *Roster) moveSession(ctx context.Context) {
	nodes, current := r.Count(), r.session.placedAmong()
	wanted := wantedPartitions(current, nodes)
	r.mu.Lock()
	now := r.watcher.now()
	due := wanted != current && !r.moveAt.IsZero() && !now.Before(r.moveAt)
	switch {
	case wanted == current:
		r.moveAt = time.Time{}
	case r.moveAt.IsZero(), due:
		r.moveAt = now.Add(rand.N(time.Duration(nodes) * moveInterval))
		if wanted < current {
			r.moveAt = r.moveAt.Add(shrinkDelay)
		}
	}
	r.mu.Unlock()
	if due {
		if err := r.session.move(ctx, wanted); err != nil && r.OnMoveFailed != nil {
			r.OnMoveFailed(err)
		}
	}
}
