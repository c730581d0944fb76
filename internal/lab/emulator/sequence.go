package emulator

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/engine"
)

// sequence is one attempt in an emulated engine. It is guarded by the
// scheduler's lock.
type sequence struct {
	id          string
	priority    engine.Priority
	arrival       uint64
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
	// generated counts the tokens a reader may see; it never falls, also when
	// the sequence is preempted and recomputes its KV cache.
	generated int
	// recompute counts generated tokens whose KV cache was dropped by preemption.
	recompute int
	finishedAt     time.Time
	// readers counts attached responses; detached is when the last one left.
	readers  int
	detachedAt time.Time
	// changed is closed and replaced whenever generated or state changes.
	changed chan struct{}
}

// prefillTokens is the length of what must be in the KV cache before the next
// token can be decoded.
func (s *sequence) prefillTokens() int { return s.promptWords + s.recompute }

func (s *sequence) prefillDone() bool { return s.prefilled >= s.prefillTokens() }

// kvTokens is the KV memory reserved while the sequence runs.
func (s *sequence) kvTokens() int { return s.promptWords + s.answer.Length() }

func (s *sequence) finished() bool {
	return s.state == engine.RequestDone || s.state == engine.RequestAborted || s.state == engine.RequestNotRun
}

// notify wakes all readers.
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
