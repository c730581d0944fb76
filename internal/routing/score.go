package routing

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/engine"
)

const (
	// defaultPrefillRate, in tokens a second, stands in until a replica reports.
	defaultPrefillRate = 8000
	// defaultStep stands in until a replica reports a step time.
	defaultStep = 15 * time.Millisecond
	// waitingWords is the assumed prompt length of a request that another node
	// sent, of which only the count is known.
	waitingWords = 200
)

// predict estimates the time to the first token of a request at a replica, in
// case cachedWords of its prompt are cached: the prompts ahead of it and its
// own are computed at the replica's rate, and one step passes before.
func predict(replica *Replica, request *Request, cachedWords int) time.Duration {
	rate := replica.Load.PrefillPerSec
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	step := time.Duration(replica.Load.StepMillis * float64(time.Millisecond))
	if step <= 0 && !replica.Reported {
		step = defaultStep
	}
	words := max(1, request.Words-cachedWords) + wordsAhead(replica)
	prefill := time.Duration(float64(words) / rate * float64(time.Second))
	return step + prefill + slotWait(replica, step)
}

// wordsAhead estimates the prompt words that wait at the replica. The report
// lags, so what this node sent since counts on top of what it shows; what this
// node has pending is known better than any report.
func wordsAhead(replica *Replica) int {
	reported := replica.Load.WaitingOnline * waitingWords
	own := int(replica.Usage.PendingWords.Load())
	return max(reported, own)
}

// slotWait estimates the wait for a sequence slot when online work alone fills
// the replica. Batch work does not count: it is preempted.
func slotWait(replica *Replica, step time.Duration) time.Duration {
	slots := replica.Load.MaxSequences
	if slots == 0 {
		return 0
	}
	online := replica.Load.RunningOnline + replica.Load.WaitingOnline + int(replica.Usage.SinceReport.Load())
	over := online - slots + 1
	if over <= 0 {
		return 0
	}
	// A slot frees up each time an answer ends; with answers of typical length
	// that is every answerSteps/slots steps.
	const answerSteps = 64
	return time.Duration(over) * step * answerSteps / time.Duration(slots)
}

// cachedWords returns the believed cached part of the prompt, in words.
func cachedWords(blocks int) int { return blocks * engine.PrefixBlockWords }
