package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// keepInterval is the time between two writes of a job's unfinished texts,
	// and so the most that a crash costs of each item.
	keepInterval = 2 * time.Second
	// keepEvents is the least progress of an item that is worth a write.
	keepEvents = 20
	// keepRows bounds the texts of one write.
	keepRows = 20
)

// RunKeeping writes the texts of unfinished items now and then, until the
// context ends, so that a crash does not make them begin anew.
func (r *Runner) RunKeeping(ctx context.Context) {
	for retry.Sleep(ctx, keepInterval) {
		for _, owned := range r.ownedWork() {
			if ctx.Err() != nil || r.stopped() {
				return
			}
			// A failed write is made up for by the next one.
			r.keepTexts(ctx, owned, keepEvents)
		}
	}
}

func (r *Runner) ownedWork() []*work {
	r.mu.Lock()
	defer r.mu.Unlock()
	owned := make([]*work, 0, len(r.owned))
	for _, one := range r.owned {
		owned = append(owned, one)
	}
	return owned
}

// keepTexts writes the texts of unfinished items that have come on by some
// events since they were last written.
func (r *Runner) keepTexts(ctx context.Context, owned *work, events int) bool {
	writes, kept, reached := r.keptWrites(owned, events)
	if len(writes) == 0 {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	versions, err := r.Service.Table.Commit(callCtx, table.NewOperation(), writes...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		relearn(err, writes, kept)
		return false
	}
	for i, one := range kept {
		one.keptVersion, one.keptAfter = versions[i], reached[i]
	}
	return true
}

// relearn takes the versions of the rows from a conflict: a write without an
// answer may have landed. The caller holds the runner's lock.
func relearn(err error, writes []table.Write, kept []*task) {
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	for i, one := range kept {
		row, _ := conflict.Row(writes[i].Key)
		one.keptVersion = row.Version
	}
}

// keptWrites returns the writes, the tasks they are about and the event that
// each of them reaches.
func (r *Runner) keptWrites(owned *work, events int) ([]table.Write, []*task, []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var writes []table.Write
	var kept []*task
	var reached []int
	for _, one := range owned.tasks {
		unlisted := one.state == taskWaiting || one.state == taskRunning
		if !unlisted || one.after < one.keptAfter+events || len(one.text) > maxRowText || len(writes) >= keepRows {
			continue
		}
		body := encode(storedResult{Text: string(one.text), After: one.after})
		writes = append(writes, table.Write{Key: keptKey(owned.job.ID, one.index), Expect: one.keptVersion, Body: body})
		kept = append(kept, one)
		reached = append(reached, one.after)
	}
	return writes, kept, reached
}
