package batch

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// relistInterval bounds how often a job's chunks are listed by one node.
	relistInterval = time.Second
	// sessionRefresh bounds how often the sessions are read.
	sessionRefresh = 2 * time.Second
	claimBackoff   = 100 * time.Millisecond
)

// claimLoop claims chunks while there is room for more items.
func (r *Runner) claimLoop(ctx context.Context) {
	nextSweep := time.Now()
	for ctx.Err() == nil {
		claimed := r.wantsWork() && r.claimNext(ctx)
		if claimed {
			continue
		}
		if time.Now().After(nextSweep) {
			nextSweep = time.Now().Add(time.Minute)
			r.options.Watcher.Sweep(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimInterval):
		}
	}
}

// wantsWork reports whether the feeds have room that held items cannot fill.
func (r *Runner) wantsWork() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	room := 0
	for _, target := range r.feeds {
		room += target.feed.Room.Target
	}
	held, pending := r.heldItems()
	return !r.draining && room > 0 && pending < room && held < heldItemsLimit
}

// claimNext takes one chunk of the job that is next in order. It reports
// whether it is worthwhile to try again at once.
func (r *Runner) claimNext(ctx context.Context) bool {
	view := r.nextJob()
	if view == nil {
		return false
	}
	if r.stale(view) {
		if !r.list(ctx, view) {
			return false
		}
	}
	number, chunk, found := r.openChunk(ctx, view)
	if !found {
		r.finishJob(ctx, view)
		return false
	}
	return r.claim(ctx, view, number, chunk)
}

// nextJob chooses among the jobs that this node can serve.
func (r *Runner) nextJob() *jobView {
	r.mu.Lock()
	defer r.mu.Unlock()
	models := map[string]bool{}
	for _, target := range r.feeds {
		models[target.feed.Model] = true
	}
	var candidates []Candidate
	now := time.Now()
	for _, view := range r.jobs {
		if !models[baseModel(view.job.Model)] || r.exhausted(view, now) {
			continue
		}
		candidates = append(candidates, Candidate{
			Job: view.job.ID, Tenant: view.job.Tenant, Weight: r.options.Weight(view.job.Tenant),
			Deadline: view.job.Deadline, Remaining: view.job.Lines,
		})
	}
	chosen := r.order.Next(candidates, now, r.rate.rate)
	if chosen < 0 {
		return nil
	}
	return r.jobs[candidates[chosen].Job]
}

// exhausted reports whether a recent listing showed nothing to claim. The
// caller holds mu.
func (r *Runner) exhausted(view *jobView, now time.Time) bool {
	if view.listed.IsZero() || now.Sub(view.listed) >= relistInterval {
		return false
	}
	return len(view.chunks) >= view.job.Chunks()
}

func (r *Runner) stale(view *jobView) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return view.listed.IsZero() || (len(view.chunks) >= view.job.Chunks() && time.Since(view.listed) >= relistInterval)
}

// list reads the chunk rows of a job.
func (r *Runner) list(ctx context.Context, view *jobView) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	chunks, err := r.options.Service.chunks(callCtx, view.job.ID)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	view.chunks = chunks
	view.listed = time.Now()
	return true
}

// openChunk finds a chunk to claim: first one without a row, beginning at a
// place of this node's own so that nodes rarely meet; then one whose holder is
// gone.
func (r *Runner) openChunk(ctx context.Context, view *jobView) (int, Chunk, bool) {
	total := view.job.Chunks()
	offset := int(xxhash.Sum64String(r.options.Session.ID()+view.job.ID) % uint64(total))
	r.mu.Lock()
	var held []int
	for i := range total {
		number := (offset + i) % total
		chunk, exists := view.chunks[number]
		if !exists {
			r.mu.Unlock()
			return number, Chunk{}, true
		}
		if chunk.State == ChunkHeld && r.works[name{view.job.ID, number}] == nil {
			held = append(held, number)
		}
	}
	r.mu.Unlock()
	if len(held) == 0 {
		return 0, Chunk{}, false
	}
	return r.orphan(ctx, view, held)
}

// orphan finds a held chunk that may be taken over.
func (r *Runner) orphan(ctx context.Context, view *jobView, held []int) (int, Chunk, bool) {
	watcher := r.options.Watcher
	if watcher.Age() > sessionRefresh {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := watcher.Refresh(callCtx)
		cancel()
		if err != nil {
			return 0, Chunk{}, false
		}
	}
	sort.Ints(held)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, number := range held {
		chunk := view.chunks[number]
		if chunk.Holder == r.options.Session.ID() || watcher.Expired(chunk.Holder) {
			return number, chunk, true
		}
	}
	return 0, Chunk{}, false
}

// claim writes the chunk row and loads the lines.
func (r *Runner) claim(ctx context.Context, view *jobView, number int, chunk Chunk) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.options.Session.Ensure(callCtx) != nil {
		return false
	}
	takeover := chunk.State == ChunkHeld
	claimed := Chunk{State: ChunkHeld, Holder: r.options.Session.ID(), Epoch: chunk.Epoch + 1, Started: chunk.Started}
	body, err := encode(claimed)
	if err != nil {
		return false
	}
	err = table.CommitSettled(callCtx, r.options.Table, table.NewOperation(),
		table.Write{Key: chunkKey(view.job.ID, number), Expect: chunk.Version, Body: body})
	if err != nil {
		r.claimFailed(ctx, view, err)
		return errors.Is(err, table.ErrConflict)
	}
	claimed.Version = chunk.Version + 1
	held, err := loadWork(callCtx, r.options.Objects, view.job, number, claimed)
	r.mu.Lock()
	defer r.mu.Unlock()
	view.chunks[number] = claimed
	if err != nil {
		// The row stays held by this session, which may claim it anew.
		r.options.Log.Warn().Err(err).Str("job", view.job.ID).Int("chunk", number).Msg("chunk input not readable")
		return false
	}
	r.counters.Claims++
	if takeover {
		r.counters.Takeovers++
	}
	first, end := view.job.chunkRange(number)
	candidate := Candidate{Job: view.job.ID, Tenant: view.job.Tenant, Weight: r.options.Weight(view.job.Tenant)}
	r.order.Served(&candidate, end-first)
	r.hold(ctx, held)
	r.recoverStarted(held)
	return true
}

func (r *Runner) claimFailed(ctx context.Context, view *jobView, err error) {
	if !errors.Is(err, table.ErrConflict) {
		return
	}
	r.mu.Lock()
	r.counters.Conflicts++
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(claimBackoff):
	}
	r.list(ctx, view)
}

// finishJob ends a job all of whose chunks are done.
func (r *Runner) finishJob(ctx context.Context, view *jobView) {
	r.mu.Lock()
	finished := len(view.chunks) == view.job.Chunks()
	for _, chunk := range view.chunks {
		finished = finished && chunk.State == ChunkDone
	}
	job := *view.job
	completed, failed, expired := countDone(view.chunks)
	r.mu.Unlock()
	if !finished {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current, err := r.options.Service.job(callCtx, job.ID)
	if err != nil || current.State.Final() {
		return
	}
	current.Completed, current.Failed = completed, failed
	current.State = openai.BatchCompleted
	if expired > 0 {
		current.State = openai.BatchExpired
	}
	current.EndedAt = time.Now().UTC()
	if r.options.Service.end(callCtx, current) == nil {
		r.options.Log.Info().Str("job", job.ID).Int("completed", completed).Int("failed", failed).Msg("job ended")
	}
}
