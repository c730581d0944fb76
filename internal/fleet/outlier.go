package fleet

import (
	"sort"
	"time"
)

const (
	// failuresToEject is the number of failures in a row that eject a replica.
	failuresToEject = 3
	// slownessToEject is how many times the median of its peers a replica's time
	// to first token must be to be ejected.
	slownessToEject = 4.0
	// slownessFloor keeps replicas in that are slow only by comparison.
	slownessFloor = 250 * time.Millisecond
	// minSamples is the number of answers before slowness is judged.
	minSamples = 8
	// ejectionBase is the first ejection's length; it doubles with each next one.
	ejectionBase = 3 * time.Second
	ejectionMax  = 60 * time.Second
	// maxEjectedShare is the greatest share of replicas ejected at a time, so
	// that a fault of this node's own cannot empty the fleet.
	maxEjectedShare = 0.3
	ewmaWeight      = 0.2
)

// health is a node's own evidence about a replica. The registry's lock guards it.
type health struct {
	failures     int
	samples      int
	ttft         time.Duration
	ejections    int
	ejectedUntil time.Time
	ejected      bool
}

// observe takes in an answer's time to first token.
func (r *Registry) observe(known *replica, ttft time.Duration, _ time.Time) {
	if known == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known.health.failures = 0
	known.health.samples++
	if known.health.samples == 1 {
		known.health.ttft = ttft
		return
	}
	previous := float64(known.health.ttft)
	known.health.ttft = time.Duration(previous + ewmaWeight*(float64(ttft)-previous))
}

func (r *Registry) fail(known *replica, _ time.Time) {
	if known == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known.health.failures++
	r.builtAt = time.Time{}
}

// judge returns the replicas left out now. The caller holds mu.
//
// A replica comes back when its time is over; if the first requests show that
// it still misbehaves, it goes again for longer.
func (r *Registry) judge(now time.Time) map[string]bool {
	median := r.medianTTFT()
	ejected := map[string]bool{}
	for id, known := range r.replicas {
		h := &known.health
		if h.ejected && now.After(h.ejectedUntil) {
			h.ejected = false
			h.failures = failuresToEject - 1
			h.samples = 0
		}
		if h.ejected {
			ejected[id] = true
		}
	}
	limit := max(1, int(maxEjectedShare*float64(len(r.replicas))))
	if len(r.replicas) == 1 {
		limit = 0
	}
	for id, known := range r.replicas {
		if len(ejected) >= limit {
			break
		}
		if !known.health.ejected && known.health.bad(median) {
			known.health.eject(now)
			ejected[id] = true
		}
	}
	return ejected
}

func (h *health) bad(median time.Duration) bool {
	if h.failures >= failuresToEject {
		return true
	}
	slow := h.ttft > slownessFloor && float64(h.ttft) > slownessToEject*float64(median)
	return h.samples >= minSamples && median > 0 && slow
}

func (h *health) eject(now time.Time) {
	length := ejectionBase << min(h.ejections, 10)
	h.ejections++
	h.ejected = true
	h.ejectedUntil = now.Add(min(length, ejectionMax))
}

// medianTTFT is the median over the replicas with enough answers. The caller
// holds mu.
func (r *Registry) medianTTFT() time.Duration {
	var times []time.Duration
	for _, known := range r.replicas {
		if known.health.samples >= minSamples {
			times = append(times, known.health.ttft)
		}
	}
	const enoughPeers = 3
	if len(times) < enoughPeers {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[len(times)/2]
}
