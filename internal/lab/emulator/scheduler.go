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
	// finishedRetention is how long a finished attempt can still be read or resumed.
	finishedRetention = 20 * time.Second
	// detachedTimeout is how long an attempt without readers goes on.
	detachedTimeout = 3 * time.Second
	// reapInterval bounds how often forgotten attempts are looked for.
	reapInterval = 100 * time.Millisecond
	// maxQueue bounds the waiting sequences of one engine.
	maxQueue = 512
)

// scheduler is the continuous-batching core of an emulated engine.
//
// Each step it admits waiting sequences by priority, preempting the newest
// sequence of the lowest priority when slots or KV memory are short, computes
// a chunk of prompt tokens and decodes one token for every ready sequence.
type scheduler struct {
	generation Generation
	replica    string
	recorder   *history.Recorder
	wake       chan struct{}

	mu        sync.Mutex
	waiting   []*sequence
	running   []*sequence
	byID      map[string]*sequence
	lastArrival uint64
	cache     *prefixCache
	stepTime  time.Duration
	// slowdown multiplies every step; 1 is healthy.
	slowdown float64
	totals   EngineTotals
	lastReap   time.Time
}

// EngineTotals counts an engine's work since it started.
type EngineTotals struct {
	OnlineTokens  uint64
	BatchTokens   uint64
	PrefillTokens uint64
	CachedTokens  uint64
	PromptTokens  uint64
	// OnlinePromptTokens and OnlineCachedTokens are those of online requests.
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

// run steps until the context ends.
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
		// A step that overslept is made up for by the next one, so that the
		// emulated speed does not depend on the timer's resolution.
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

// add queues a sequence. It reports false when the queue is full or the id is taken.
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

// enqueue inserts by priority, then arrival. The caller holds mu.
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

// planStep admits sequences and returns the duration of the next step.
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

// admit moves waiting sequences into the running set. The caller holds mu.
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

// start begins or resumes execution. The caller holds mu.
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

// preemptFor gives up the newest running sequence of a lower priority. Its KV
// cache is dropped and recomputed later. The caller holds mu.
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

func preemptedBefore(a, b *sequence) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.arrival > b.arrival
}

// assignPrefill hands the step's prompt budget out in priority order and
// returns how many sequences decode and how many prompt tokens are computed.
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

// finishStep emits one token for every sequence whose prompt is computed.
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

// abort gives an attempt up and returns its status.
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

// abortSequence ends an unfinished sequence. The caller holds mu.
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

// reap drops attempts nobody reads and forgets old finished ones. The caller holds mu.
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
