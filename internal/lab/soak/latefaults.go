package soak

import (
	"context"
	"math/rand/v2"
	"slices"
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
	latencyPause       = 9 * time.Second
	latencyJitter      = 3 * time.Second
	minLatencyFault    = 6 * time.Second
	latencyFaultJitter = 3 * time.Second
	// latencyRestarts is the maximum number of nodes that are killed killAfter into such a fault. The fault
	// goes on for longer than these nodes take for their whole reads, about 3 s.
	latencyRestarts = 3
	killAfter       = time.Second
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

// delayStore makes the store late or slow, and kills some nodes meanwhile. With StoreAnswersLate, only these
// get late answers, so that others go on and show what the first answers of the new processes lack.
func (s *soak) delayStore(ctx context.Context, fault Fault) {
	var victims []*gateway
	for number := range min(1+fault.Target%latencyRestarts, len(s.gateways)-1) {
		victims = append(victims, s.gateways[(fault.Target+number)%len(s.gateways)])
	}
	s.store.SetLatency(s.storeLatency(fault, victims))
	defer s.store.SetLatency(nil)
	record(&s.History, &s.StoreDelays, fault.Kind)
	retry.Sleep(ctx, killAfter)
	var killed sync.WaitGroup
	for _, node := range victims {
		killed.Go(func() {
			from := time.Now()
			s.restart(ctx, node, syscall.SIGKILL, restartDelay)
			s.recordDisturbance(Disturbance{Name: node.id, From: from, Restart: true})
		})
	}
	retry.Sleep(ctx, fault.Duration-killAfter)
	killed.Wait()
}

// storeLatency returns a function that chooses the latency of each call to the store. With StoreAnswersLate,
// only the answers to reads of the victims are late.
func (s *soak) storeLatency(fault Fault, victims []*gateway) func(caller, path string) standin.Latency {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(s.Seed, uint64(fault.After)))
	between := func(minimum, jitter time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return minimum + time.Duration(random.Int64N(int64(jitter)))
	}
	return func(caller, path string) standin.Latency {
		isVictim := slices.ContainsFunc(victims, func(node *gateway) bool { return node.id == caller })
		switch {
		case fault.Kind == StoreSlowAtStarts:
			return standin.Latency{Before: between(minSlowCall, slowCallJitter)}
		case isVictim && standin.ReadsRows(path):
			return standin.Latency{After: between(minLateAnswer, lateAnswerJitter)}
		default:
			return standin.Latency{}
		}
	}
}

// pauseServer makes a server fall silent for a while. It is no disturbance: a sound server that goes on is
// not excused for anything.
func (s *soak) pauseServer(fault Fault) {
	s.targetServer(fault).Pause(fault.Duration)
	record(&s.History, &s.Pauses, fault.Kind)
}
