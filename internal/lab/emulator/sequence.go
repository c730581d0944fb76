package emulator

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/engine"
)

// sequence is one attempt in an emulated engine. The scheduler's mu guards it.
type sequence struct {
	id          string
	priority    engine.Priority
	arrival     uint64
	prompt      string
	seed        int64
	maxTokens   int
	blocks      []uint64
	promptWords int
	answer      Answer
	version     string

	state     engine.RequestState
	started   bool
	prefilled int
	// generated is the number of tokens available to readers. It never decreases, even if the
	// sequence is preempted and has to recompute its KV cache.
	generated int
	// recompute is the number of generated tokens whose KV cache was dropped by preemption.
	recompute  int
	finishedAt time.Time
	// readers is the number of attached responses; detachedAt is when one last detached.
	readers    int
	detachedAt time.Time
	// changed is closed and replaced when generated or state changes while there are readers.
	changed chan struct{}
}

// prefillTokens returns the number of tokens that must be in the KV cache before the next token can
// be decoded.
func (s *sequence) prefillTokens() int { return s.promptWords + s.recompute }

func (s *sequence) prefillDone() bool { return s.prefilled >= s.prefillTokens() }

// kvTokens returns the KV memory, in tokens, reserved while the sequence runs.
func (s *sequence) kvTokens() int { return s.promptWords + s.answer.Length() }

func (s *sequence) finished() bool {
	return s.state == engine.RequestDone || s.state == engine.RequestAborted || s.state == engine.RequestNotRun
}

// notify wakes all readers. The caller holds the scheduler's mu.
func (s *sequence) notify() {
	if s.readers == 0 {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sequence) status() engine.RequestStatus {
	return engine.RequestStatus{ID: s.id, State: s.state, Tokens: s.generated}
}
