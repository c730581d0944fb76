package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// latencyStart is the earliest time of the first fault of the store's latency, latencyPause the minimum
	// time between two of them, and latencyJitter the maximum that is added to both. A fault takes
	// minLatencyFault to minLatencyFault+latencyFaultJitter, less than the pause, so that they do not overlap.
	latencyStart       = 2 * time.Second
	latencyPause       = 7 * time.Second
	latencyJitter      = 4 * time.Second
	minLatencyFault    = 3 * time.Second
	latencyFaultJitter = 2 * time.Second
	// latencyRestarts is the maximum number of nodes that are killed in the midst of such a fault.
	latencyRestarts = 3
)

// Latencies of calls, of which each call gets a random one.
const (
	minLateAnswer    = 300 * time.Millisecond
	lateAnswerJitter = 600 * time.Millisecond
	minSlowCall      = 200 * time.Millisecond
	slowCallJitter   = 300 * time.Millisecond
)

// latencyKinds are the kinds of faults of the store's latency.
var latencyKinds = []FaultKind{StoreAnswersLate, StoreSlowAtStarts}

// storeLatencies draws the faults of the store's latency, whose kinds take turns.
func storeLatencies(random *rand.Rand, length time.Duration) []Fault {
	var plan []Fault
	jitter := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	turn := random.IntN(len(latencyKinds))
	for at := latencyStart + jitter(latencyJitter); at < length; at += latencyPause + jitter(latencyJitter) {
		plan = append(plan, Fault{
			After: at, Kind: latencyKinds[turn%len(latencyKinds)], Duration: minLatencyFault + jitter(latencyFaultJitter),
			Target: random.IntN(1 << 16),
		})
		turn++
	}
	return plan
}

const (
	// pauseStart is the earliest time of the first PauseServer, pausePause the minimum time between two of
	// them, and pauseJitter the maximum that is added to both.
	pauseStart  = 1500 * time.Millisecond
	pausePause  = 3 * time.Second
	pauseJitter = 3 * time.Second
	// PauseServer takes minServerPause to minServerPause+serverPauseJitter.
	minServerPause    = time.Second
	serverPauseJitter = 500 * time.Millisecond
)

// serverPauses draws the PauseServer faults.
func serverPauses(random *rand.Rand, length time.Duration) []Fault {
	var plan []Fault
	jitter := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for at := pauseStart + jitter(pauseJitter); at < length; at += pausePause + jitter(pauseJitter) {
		plan = append(plan, Fault{After: at, Kind: PauseServer, Duration: minServerPause + jitter(serverPauseJitter), Target: random.IntN(1 << 16)})
	}
	return plan
}

// delayStore makes the store late or slow, and kills some nodes in the midst of it. Their new processes thus
// get only late answers at first, and have seen no other.
func (s *soak) delayStore(ctx context.Context, fault Fault) {
	s.store.SetLatency(s.storeLatency(fault))
	defer s.store.SetLatency(nil)
	record(&s.History, &s.StoreDelays, fault.Kind)
	retry.Sleep(ctx, fault.Duration/4)
	var killed sync.WaitGroup
	for number := range min(1+fault.Target%latencyRestarts, len(s.gateways)-1) {
		node := s.gateways[(fault.Target+number)%len(s.gateways)]
		killed.Go(func() {
			from := time.Now()
			s.restart(ctx, node, syscall.SIGKILL, restartDelay)
			s.recordDisturbance(Disturbance{Name: node.id, From: from, Restart: true})
		})
	}
	retry.Sleep(ctx, fault.Duration-fault.Duration/4)
	killed.Wait()
}

// storeLatency returns a function that chooses the latency of each call to the store.
func (s *soak) storeLatency(fault Fault) func(string) standin.Latency {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(s.Seed, uint64(fault.After)))
	return func(string) standin.Latency {
		mu.Lock()
		defer mu.Unlock()
		if fault.Kind == StoreSlowAtStarts {
			return standin.Latency{Before: minSlowCall + time.Duration(random.Int64N(int64(slowCallJitter)))}
		}
		return standin.Latency{After: minLateAnswer + time.Duration(random.Int64N(int64(lateAnswerJitter)))}
	}
}

// pauseServer makes a server fall silent for a while. It is no disturbance: a sound server that goes on is
// not excused for anything.
func (s *soak) pauseServer(fault Fault) {
	s.targetServer(fault).Pause(fault.Duration)
	record(&s.History, &s.Pauses, fault.Kind)
}
