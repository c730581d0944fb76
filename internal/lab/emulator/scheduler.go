package emulator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
)

const (
	// finishedRetention is how long a finished attempt remains readable and resumable.
	finishedRetention = 20 * time.Second
	// detachedTimeout is how long an attempt without readers keeps running.
	detachedTimeout = 3 * time.Second
	// reapInterval is the minimum time between scans for detached and expired attempts.
	reapInterval = 100 * time.Millisecond
	// maxQueue is the maximum number of waiting sequences.
	maxQueue = 512
)

// scheduler implements the continuous batching of an emulated engine.
//
// In each step it admits waiting sequences by priority, computes a chunk of prompt tokens and decodes
// one token for every sequence whose prefill is done. If slots or KV memory run out, it preempts the
// newest sequence of the lowest priority.
type scheduler struct {
	generation Generation
	replica    string
	recorder   *history.Recorder
	wake       chan struct{}

	mu          sync.Mutex
	waiting     []*sequence
	running     []*sequence
	byID        map[string]*sequence
	lastArrival uint64
	cache       *prefixCache
	stepTime    time.Duration
	// slowdown multiplies the step duration; 1 is normal speed.
	slowdown float64
	totals   EngineTotals
	lastReap time.Time
}

// EngineTotals counts the work of an engine since its start.
type EngineTotals struct {
	OnlineTokens  uint64
	BatchTokens   uint64
	PrefillTokens uint64
	CachedTokens  uint64
	PromptTokens  uint64
	// OnlinePromptTokens and OnlineCachedTokens count online requests only.
	OnlinePromptTokens uint64
	OnlineCachedTokens uint64
	RecomputeTokens    uint64
	AbortedTokens      uint64
	Preemptions        uint64
	BusySteps          uint64
	BusyTime           time.Duration
	SlotTime           time.Duration
	OnlineSlotTime     time.Duration
}

func newScheduler(replica string, generation Generation, recorder *history.Recorder) *scheduler {
	return &scheduler{
		generation: generation,
		replica:    replica,
		recorder:   recorder,
		wake:       make(chan struct{}, 1),
		byID:       map[string]*sequence{},
		cache:      newPrefixCache(),
		slowdown:   1,
	}
}

// run executes steps until ctx is done.
func (s *scheduler) run(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		duration, busy := s.planStep(time.Now())
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			case <-time.After(time.Second):
			}
			next = time.Now()
			continue
		}
		// Step ends are scheduled relative to each other, so a late wake-up shortens the next
		// step and the emulated speed does not depend on the timer resolution.
		next = next.Add(duration)
		if delay := time.Until(next); delay > 0 {
			time.Sleep(delay)
		} else if delay < -time.Second {
			next = time.Now()
		}
		if ctx.Err() == nil {
			s.finishStep(time.Now())
		}
	}
}

func (s *scheduler) wakeRunner() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// add queues a sequence. It returns false if the queue is full or the ID is in use.
func (s *scheduler) add(seq *sequence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.byID[seq.id]; taken || len(s.waiting) >= maxQueue {
		return false
	}
	s.lastArrival++
	seq.arrival = s.lastArrival
	seq.state = engine.RequestQueued
	seq.changed = make(chan struct{})
	s.byID[seq.id] = seq
	s.enqueue(seq)
	s.record(history.EngineReceived, seq)
	s.wakeRunner()
	return true
}

// enqueue inserts a sequence into the queue, ordered by priority, then arrival. The caller holds mu.
func (s *scheduler) enqueue(seq *sequence) {
	index, _ := slices.BinarySearchFunc(s.waiting, seq, func(a, b *sequence) int {
		if a.priority != b.priority {
			return int(a.priority) - int(b.priority)
		}
		if a.arrival < b.arrival {
			return -1
		}
		return 1
	})
	s.waiting = slices.Insert(s.waiting, index, seq)
}

// planStep admits sequences and returns the duration of the next step, or false if there is nothing
// to run.
func (s *scheduler) planStep(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reap(now)
	s.admit()
	if len(s.running) == 0 {
		s.stepTime = 0
		return 0, false
	}
	decoding, prefill := s.assignPrefill()
	duration := time.Duration(float64(s.generation.StepTime(decoding, prefill)) * s.slowdown)
	s.stepTime = duration
	s.countSlotTime(duration)
	return duration, true
}

func (s *scheduler) countSlotTime(duration time.Duration) {
	s.totals.BusySteps++
	s.totals.BusyTime += duration
	s.totals.SlotTime += duration * time.Duration(len(s.running))
	for _, seq := range s.running {
		if seq.priority == engine.PriorityOnline {
			s.totals.OnlineSlotTime += duration
		}
	}
}

// admit moves waiting sequences to the running set, preempting if necessary. The caller holds mu.
func (s *scheduler) admit() {
	for len(s.waiting) > 0 {
		candidate := s.waiting[0]
		if !s.fits(candidate) {
			if !s.preemptFor(candidate) {
				return
			}
			continue
		}
		s.waiting = s.waiting[1:]
		s.start(candidate)
	}
}

func (s *scheduler) fits(candidate *sequence) bool {
	if len(s.running) >= s.generation.MaxSequences {
		return false
	}
	return s.kvUsed()+candidate.kvTokens() <= s.generation.KVTokens || len(s.running) == 0
}

func (s *scheduler) kvUsed() int {
	used := 0
	for _, seq := range s.running {
		used += seq.kvTokens()
	}
	return used
}

// start begins or resumes the execution of a sequence. The caller holds mu.
func (s *scheduler) start(seq *sequence) {
	seq.state = engine.RequestRunning
	cached := s.cache.match(seq.blocks)
	seq.prefilled = min(cached, seq.promptWords-1)
	if !seq.started {
		seq.started = true
		s.totals.PromptTokens += uint64(seq.promptWords)
		s.totals.CachedTokens += uint64(max(0, seq.prefilled))
		if seq.priority == engine.PriorityOnline {
			s.totals.OnlinePromptTokens += uint64(seq.promptWords)
			s.totals.OnlineCachedTokens += uint64(max(0, seq.prefilled))
		}
		s.record(history.EngineStart, seq)
	}
	s.running = append(s.running, seq)
}

// preemptFor requeues the newest running sequence of the lowest priority below the candidate's. Its
// KV cache is dropped and recomputed when it resumes. It returns false if there is no such sequence.
// The caller holds mu.
func (s *scheduler) preemptFor(candidate *sequence) bool {
	victim := -1
	for i, seq := range s.running {
		if seq.priority <= candidate.priority {
			continue
		}
		if victim < 0 || preemptedBefore(seq, s.running[victim]) {
			victim = i
		}
	}
	if victim < 0 {
		return false
	}
	seq := s.running[victim]
	s.running = slices.Delete(s.running, victim, victim+1)
	s.totals.Preemptions++
	s.totals.RecomputeTokens += uint64(seq.prefilled + seq.generated - seq.recompute)
	seq.recompute = seq.generated
	seq.prefilled = 0
	seq.state = engine.RequestQueued
	s.enqueue(seq)
	return true
}

// preemptedBefore reports whether a is preempted before b.
func preemptedBefore(a, b *sequence) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.arrival > b.arrival
}

// assignPrefill distributes the prefill budget of a step in order of priority and arrival. It returns
// the number of sequences that decode and the number of prompt tokens to compute.
func (s *scheduler) assignPrefill() (decoding, prefill int) {
	slices.SortStableFunc(s.running, func(a, b *sequence) int {
		if a.priority != b.priority {
			return int(a.priority) - int(b.priority)
		}
		return int(a.arrival) - int(b.arrival)
	})
	budget := s.generation.PrefillChunk
	for _, seq := range s.running {
		if seq.prefillDone() {
			decoding++
			continue
		}
		tokens := min(budget, seq.prefillTokens()-seq.prefilled)
		seq.prefilled += tokens
		budget -= tokens
		prefill += tokens
	}
	s.totals.PrefillTokens += uint64(prefill)
	return decoding, prefill
}

// finishStep emits one token for every sequence whose prefill is done and removes finished sequences
// from the running set.
func (s *scheduler) finishStep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.running[:0]
	for _, seq := range s.running {
		if seq.finished() {
			continue
		}
		if seq.prefillDone() {
			s.emit(seq, now)
		}
		if !seq.finished() {
			kept = append(kept, seq)
		}
	}
	clear(s.running[len(kept):])
	s.running = kept
}

func (s *scheduler) emit(seq *sequence, now time.Time) {
	seq.generated++
	if seq.priority == engine.PriorityOnline {
		s.totals.OnlineTokens++
	} else {
		s.totals.BatchTokens++
	}
	if seq.generated >= seq.answer.Length() {
		seq.state = engine.RequestDone
		seq.finishedAt = now
		s.cache.store(seq.blocks, s.generation.KVTokens-s.kvUsed())
		s.record(history.EngineEnd, seq)
	}
	seq.notify()
}

// abort aborts an attempt and returns its status.
func (s *scheduler) abort(id string) engine.RequestStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq, ok := s.byID[id]
	if !ok {
		return engine.RequestStatus{ID: id, State: engine.RequestUnknown}
	}
	s.abortSequence(seq, time.Now())
	return seq.status()
}

// abortSequence ends an unfinished sequence as aborted, or as not run if it never started. The caller
// holds mu.
func (s *scheduler) abortSequence(seq *sequence, now time.Time) {
	if seq.finished() {
		return
	}
	seq.state = engine.RequestNotRun
	if seq.started {
		seq.state = engine.RequestAborted
		s.totals.AbortedTokens += uint64(seq.generated)
	}
	seq.finishedAt = now
	s.waiting = slices.DeleteFunc(s.waiting, func(other *sequence) bool { return other == seq })
	s.running = slices.DeleteFunc(s.running, func(other *sequence) bool { return other == seq })
	s.record(history.EngineAbort, seq)
	seq.notify()
}

// reap aborts attempts that have had no reader for detachedTimeout and deletes those that finished
// more than finishedRetention ago. The caller holds mu.
func (s *scheduler) reap(now time.Time) {
	if now.Sub(s.lastReap) < reapInterval {
		return
	}
	s.lastReap = now
	for id, seq := range s.byID {
		switch {
		case seq.finished():
			if now.Sub(seq.finishedAt) > finishedRetention {
				delete(s.byID, id)
			}
		case seq.readers == 0 && now.Sub(seq.detachedAt) > detachedTimeout:
			s.abortSequence(seq, now)
		}
	}
}

func (s *scheduler) record(kind history.Type, seq *sequence) {
	if s.recorder == nil {
		return
	}
	class := history.Online
	if seq.priority != engine.PriorityOnline {
		class = history.Batch
	}
	s.recorder.Record(history.Event{
		Source: "engine/" + s.replica, Type: kind, Replica: s.replica, Class: class,
		Attempt: seq.id, Tokens: seq.generated, Outcome: string(seq.state),
	})
}
