package emulator

import "time"

// Generation is the cost model of one hardware generation. docs/EMULATOR.md
// states the equations.
type Generation struct {
	Name string
	// StepBase is the time of a decode step with no sequence (weights are read once a step).
	StepBase time.Duration
	// StepPerSequence is added for each decoding sequence.
	StepPerSequence time.Duration
	// PrefillTokensPerSecond is the rate at which prompts are computed.
	PrefillTokensPerSecond float64
	// PrefillChunk bounds the prompt tokens computed within one step.
	PrefillChunk int
	// KVTokens is the KV memory, in tokens, shared by running sequences and the prefix cache.
	KVTokens int
	// MaxSequences bounds the sequences of one step.
	MaxSequences int
	// LoadBase is the time to start a version once its weights are fetched.
	LoadBase time.Duration
}

// Generations of the profiles.
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

// StepTime is the duration of one step that decodes for the given number of
// sequences and computes the given number of prompt tokens.
func (g Generation) StepTime(decoding, prefillTokens int) time.Duration {
	step := g.StepBase + time.Duration(decoding)*g.StepPerSequence
	if prefillTokens > 0 {
		seconds := float64(prefillTokens) / g.PrefillTokensPerSecond
		step += time.Duration(seconds * float64(time.Second))
	}
	return step
}
