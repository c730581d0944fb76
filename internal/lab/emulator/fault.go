// Package emulator emulates the services that wheelhoist depends on: the table service, the object
// and weight stores, the machine list and the inference engines. The emulators speak the real
// protocols over HTTP and inject faults on demand.
package emulator

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Condition is the fault state of an emulated service. The zero value is healthy.
type Condition struct {
	// Down closes every connection without a response; the call has no effect.
	Down bool
	// Delay is the latency added before a call takes effect.
	Delay time.Duration
	// LoseAnswers is the probability that a call takes effect but its response is lost.
	LoseAnswers float64
	// CallsPerSecond is the rate limit; zero means no limit.
	CallsPerSecond float64
}

// Faults injects faults into the handler of an emulated service according to its current Condition.
// It is safe for concurrent use.
type Faults struct {
	mu        sync.Mutex
	condition Condition
	limiter   *rate.Limiter
	random    *rand.Rand
	calls     uint64
	throttled uint64
	// throttle writes the protocol's response to a call above the rate limit.
	throttle func(http.ResponseWriter)
}

// NewFaults returns a fault injector without faults. It has its own random source, seeded with seed.
func NewFaults(seed uint64, throttle func(http.ResponseWriter)) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, 1)), throttle: throttle}
}

// Set replaces the condition for all calls that arrive after it.
func (f *Faults) Set(condition Condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.condition = condition
	f.limiter = nil
	if condition.CallsPerSecond > 0 {
		burst := int(condition.CallsPerSecond) + 1
		f.limiter = rate.NewLimiter(rate.Limit(condition.CallsPerSecond), burst)
	}
}

// Change applies edit to the current condition.
func (f *Faults) Change(edit func(*Condition)) {
	f.mu.Lock()
	condition := f.condition
	f.mu.Unlock()
	edit(&condition)
	f.Set(condition)
}

// Calls returns the number of received calls and how many of them were throttled.
func (f *Faults) Calls() (calls, throttled uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls, f.throttled
}

type callFault struct {
	drop     bool
	throttle bool
	lose     bool
	delay    time.Duration
}

func (f *Faults) nextFault() callFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	fault := callFault{drop: f.condition.Down, delay: f.condition.Delay}
	if fault.drop {
		return fault
	}
	if f.limiter != nil && !f.limiter.Allow() {
		f.throttled++
		fault.throttle = true
		return fault
	}
	fault.lose = f.random.Float64() < f.condition.LoseAnswers
	return fault
}

// Wrap returns a handler that applies the current condition to every call of next.
func (f *Faults) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := f.nextFault()
		switch {
		case fault.drop:
			dropConnection(w)
			return
		case fault.throttle:
			f.throttle(w)
			return
		}
		if fault.delay > 0 {
			select {
			case <-time.After(fault.delay):
			case <-r.Context().Done():
				return
			}
		}
		if fault.lose {
			next.ServeHTTP(httptest.NewRecorder(), r)
			dropConnection(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// dropConnection closes the connection without a response.
func dropConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	connection, _, err := hijacker.Hijack()
	if err == nil {
		_ = connection.Close()
	}
}
