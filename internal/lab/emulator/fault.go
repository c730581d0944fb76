// Package emulator holds the stand-ins for everything outside wheelhoist: the
// table service, the object and weight stores, the machine list and the model
// engines. They speak the published protocols over HTTP and fail on demand.
package emulator

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Condition is the state of health a stand-in service simulates.
type Condition struct {
	// Down drops every connection without an answer and without an effect.
	Down bool
	// Delay is added before each call takes effect.
	Delay time.Duration
	// LoseAnswers is the probability that a call takes effect but its answer is lost.
	LoseAnswers float64
	// CallsPerSecond limits the rate; zero means no limit.
	CallsPerSecond float64
}

// Faults guards a stand-in's handler with a changeable Condition.
type Faults struct {
	mu        sync.Mutex
	condition Condition
	limiter   *rate.Limiter
	random    *rand.Rand
	calls     uint64
	throttled uint64
	// Throttle writes the protocol's own answer for an exceeded rate.
	throttle func(http.ResponseWriter)
}

// NewFaults returns a healthy guard with its own random source.
func NewFaults(seed uint64, throttle func(http.ResponseWriter)) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, 1)), throttle: throttle}
}

// Set changes the condition for all calls that arrive from now on.
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

// Change edits the condition in place.
func (f *Faults) Change(edit func(*Condition)) {
	f.mu.Lock()
	condition := f.condition
	f.mu.Unlock()
	edit(&condition)
	f.Set(condition)
}

// Calls returns how many calls arrived and how many of them were throttled.
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

// Wrap applies the condition to every call of next.
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

// dropConnection ends the connection without an answer.
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
