package batch

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	commitRetryBase = 200 * time.Millisecond
	commitRetryMax  = 5 * time.Second
	// marksPerWrite is the number of start marks written at a time.
	marksPerWrite = 64
	// recoverTimeout bounds the search for a lost item's answer.
	recoverTimeout = 30 * time.Second
)

// backoff waits before a retry with full jitter, so that nodes do not come
// back together when the store does. It reports false when the context ended.
func backoff(ctx context.Context, attempt int) bool {
	limit := min(commitRetryBase<<min(attempt, 6), commitRetryMax)
	delay := limit/4 + time.Duration(rand.Int64N(int64(limit)))
	select {
	case <-ctx.Done():
		return false
	case <-time.After(delay):
		return true
	}
}

// commit stores the results of work and makes them the chunk's, retrying while
// the store is down.
func (r *Runner) commit(held *work) {
	outputs, failures, chunk := held.collect()
	for attempt := 0; held.ctx.Err() == nil; attempt++ {
		err := r.tryCommit(held, outputs, failures, chunk)
		if err == nil {
			r.committed(held, chunk)
			return
		}
		if errors.Is(err, table.ErrConflict) {
			r.lost(held, err)
			return
		}
		if !backoff(held.ctx, attempt) {
			return
		}
	}
}

func (r *Runner) tryCommit(held *work, outputs, failures []byte, chunk Chunk) error {
	ctx, cancel := context.WithTimeout(held.ctx, callTimeout)
	defer cancel()
	// Objects are put before the row that names them, so that a result that can
	// be seen can also be read. Their keys hold the epoch: no other holder
	// writes the same ones.
	if err := r.options.Objects.Put(ctx, resultKey(held.job.ID, held.number, chunk.Epoch), outputs); err != nil {
		return err
	}
	if chunk.Errors {
		if err := r.options.Objects.Put(ctx, errorKey(held.job.ID, held.number, chunk.Epoch), failures); err != nil {
			return err
		}
	}
	body, err := encode(chunk)
	if err != nil {
		return err
	}
	return table.CommitSettled(ctx, r.options.Table, table.NewOperation(),
		table.Write{Key: chunkKey(held.job.ID, held.number), Expect: chunk.Version, Body: body},
		table.Write{Key: jobKey(held.job.ID), Kind: table.Check, Expect: held.job.Version},
	)
}

func (r *Runner) committed(held *work, chunk Chunk) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Commits++
	held.cancel()
	r.remove(held)
	if view := r.jobs[held.job.ID]; view != nil {
		chunk.Version++
		view.chunks[held.number] = chunk
	}
}

// lost handles a refused commit: the chunk was committed already by an earlier
// sending, was taken over, or the job has ended.
func (r *Runner) lost(held *work, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Conflicts++
	r.options.Log.Info().Err(err).Str("job", held.job.ID).Int("chunk", held.number).Msg("chunk lost")
	r.drop(held)
	if view := r.jobs[held.job.ID]; view != nil {
		view.listed = time.Time{}
	}
}

// mark writes start marks for the next items that may run only once. Items are
// cleared for sending when the marks are durable. The caller holds mu.
func (r *Runner) mark(held *work) {
	if held.marking || held.dropped {
		return
	}
	held.marking = true
	chunk := held.chunk
	chunk.Started = make([]byte, (len(held.items)+7)/8)
	copy(chunk.Started, held.chunk.Started)
	var marked []int
	for _, index := range held.pending {
		if !held.items[index].cleared && len(marked) < marksPerWrite {
			chunk.Started[index/8] |= 1 << (index % 8)
			marked = append(marked, index)
		}
	}
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		r.writeMarks(held, chunk, marked)
	}()
}

func (r *Runner) writeMarks(held *work, chunk Chunk, marked []int) {
	body, err := encode(chunk)
	for attempt := 0; err == nil && held.ctx.Err() == nil; attempt++ {
		ctx, cancel := context.WithTimeout(held.ctx, callTimeout)
		writeErr := table.CommitSettled(ctx, r.options.Table, table.NewOperation(),
			table.Write{Key: chunkKey(held.job.ID, held.number), Expect: chunk.Version, Body: body})
		cancel()
		if writeErr == nil {
			r.marksWritten(held, chunk, marked)
			return
		}
		if errors.Is(writeErr, table.ErrConflict) {
			r.lost(held, writeErr)
			return
		}
		if !backoff(held.ctx, attempt) {
			return
		}
	}
}

func (r *Runner) marksWritten(held *work, chunk Chunk, marked []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	chunk.Version++
	held.chunk = chunk
	held.marking = false
	for _, index := range marked {
		held.items[index].cleared = true
	}
	signal(r.kick)
}

// recoverStarted looks for the answers of items that an earlier holder had
// marked as started. Such an item is never sent again. The caller holds mu.
func (r *Runner) recoverStarted(held *work) {
	kept := held.pending[:0]
	for _, index := range held.pending {
		if !held.items[index].content.NotRepeatable || !held.chunk.started(index) {
			kept = append(kept, index)
			continue
		}
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			outcome := r.findAnswer(held, index)
			r.mu.Lock()
			defer r.mu.Unlock()
			if !held.dropped {
				held.finish(index, outcome)
				r.settle(held)
			}
		}()
	}
	held.pending = kept
}

func (r *Runner) findAnswer(held *work, index int) result {
	ctx, cancel := context.WithTimeout(held.ctx, recoverTimeout)
	defer cancel()
	id := held.attemptID(index, 0)
	for _, address := range r.options.Addresses(baseModel(held.job.Model)) {
		status, err := r.options.Engines.Status(ctx, address, id)
		if err != nil || (status.State != engine.RequestDone && status.State != engine.RequestRunning) {
			continue
		}
		if body, err := r.readAnswer(ctx, address, id, held.items[index].content.URL); err == nil {
			return held.answered(index, body)
		}
	}
	return held.failed(index, openai.CodeOutcomeUnknown, "the item was sent by a node that died; whether it ran is not known")
}

// readAnswer assembles a whole answer from an engine's stream.
func (r *Runner) readAnswer(ctx context.Context, address, id, path string) ([]byte, error) {
	stream, err := r.options.Engines.Resume(ctx, address, id, path, 0)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var text strings.Builder
	var last openai.Completion
	for {
		event, err := stream.Next()
		if err != nil {
			return nil, err
		}
		if event.Done {
			return json.Marshal(openai.WholeAnswer(last, text.String(), path))
		}
		var chunk openai.Completion
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return nil, Error.Wrap(outcome.Undecided(err))
		}
		text.WriteString(chunk.Text())
		last = chunk
	}
}
