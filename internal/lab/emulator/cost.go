package emulator

import "time"

// Generation is the cost model of one hardware generation. docs/EMULATOR.md has the equations.
type Generation struct {
	Name string
	// StepBase is the fixed time of a step: the weights are read once per step.
	StepBase time.Duration
	// StepPerSequence is the additional step time per decoding sequence.
	StepPerSequence time.Duration
	// PrefillTokensPerSecond is the prefill throughput.
	PrefillTokensPerSecond float64
	// PrefillChunk is the maximum number of prompt tokens computed per step.
	PrefillChunk int
	// KVTokens is the size of the KV cache, in tokens. Running sequences and the prefix cache
	// share it.
	KVTokens int
	// MaxSequences is the maximum number of sequences per step.
	MaxSequences int
	// LoadBase is the time to start a model version after its weights are fetched.
	LoadBase time.Duration
}

// Hardware generations used by the profiles.
var (
	// Older is the older hardware generation.
	Older = Generation{
		Name:                   "older",
		StepBase:               14 * time.Millisecond,
		StepPerSequence:        220 * time.Microsecond,
		PrefillTokensPerSecond: 7000,
		PrefillChunk:           96,
		KVTokens:               40_000,
		MaxSequences:           24,
		LoadBase:               600 * time.Millisecond,
	}
	// Newer is the newer hardware generation.
	Newer = Generation{
		Name:                   "newer",
		StepBase:               9 * time.Millisecond,
		StepPerSequence:        110 * time.Microsecond,
		PrefillTokensPerSecond: 18000,
		PrefillChunk:           256,
		KVTokens:               120_000,
		MaxSequences:           48,
		LoadBase:               400 * time.Millisecond,
	}
)

// StepTime returns the duration of a step that decodes one token for each of the given number of
// sequences and computes the given number of prompt tokens.
func (g Generation) StepTime(decoding, prefillTokens int) time.Duration {
	step := g.StepBase + time.Duration(decoding)*g.StepPerSequence
	if prefillTokens > 0 {
		seconds := float64(prefillTokens) / g.PrefillTokensPerSecond
		step += time.Duration(seconds * float64(time.Second))
	}
	return step
}
