package jobs

import (
	"fmt"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// slotServer is a replica with a fixed number of slots, which can be reserved.
type slotServer struct {
	name  string
	slots int

	mu           sync.Mutex
	running      int
	reservations map[string]time.Time
	requests     int
	listed       bool
}

// reserve reserves a slot.
func (s *slotServer) reserve(ttl time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.taken() >= s.slots {
		return "", forward.ErrRefused
	}
	id := fmt.Sprintf("%s-%d", s.name, s.requests)
	s.reservations[id] = clock.Now().Add(ttl)
	return id, nil
}

// taken returns the number of slots that are in use or reserved. The caller holds mu.
func (s *slotServer) taken() int {
	taken := s.running
	for id, until := range s.reservations {
		if clock.Now().After(until) {
			delete(s.reservations, id)
			continue
		}
		taken++
	}
	return taken
}

// acquire takes a slot, the reserved one if the reservation is known.
func (s *slotServer) acquire(reservation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := s.taken() < s.slots
	if _, ok := s.reservations[reservation]; ok {
		delete(s.reservations, reservation)
		free = true
	}
	if free {
		s.running++
	}
	return free
}

func (s *slotServer) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *slotServer) free() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return 0
	}
	return s.slots - s.taken()
}

func (s *slotServer) info() replica.Info {
	return replica.Info{ID: s.name, Pool: testPool, Address: s.name, Slots: s.slots, Region: regionOf(s.name)}
}
