package jobs

import (
	"fmt"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// roomServer is a replica that takes no more than its slots and sets free ones aside.
type roomServer struct {
	name  string
	slots int

	mu      sync.Mutex
	running int
	holds   map[string]time.Time
	asked   int
	listed  bool
}

// Reserve sets a slot aside.
func (s *roomServer) reserve(hold time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if s.taken() >= s.slots {
		return "", forward.ErrRefused
	}
	id := fmt.Sprintf("%s-%d", s.name, s.asked)
	s.holds[id] = clock.Now().Add(hold)
	return id, nil
}

// taken counts the slots that are held or set aside. The caller holds mu.
func (s *roomServer) taken() int {
	taken := s.running
	for id, until := range s.holds {
		if clock.Now().After(until) {
			delete(s.holds, id)
			continue
		}
		taken++
	}
	return taken
}

// take takes a slot, one set aside if the reservation names it.
func (s *roomServer) take(reservation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := s.taken() < s.slots
	if _, ok := s.holds[reservation]; ok {
		delete(s.holds, reservation)
		free = true
	}
	if free {
		s.running++
	}
	return free
}

func (s *roomServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *roomServer) free() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return 0
	}
	return s.slots - s.taken()
}

func (s *roomServer) info() replica.Info {
	return replica.Info{ID: s.name, Pool: testPool, Address: s.name, Slots: s.slots, Region: regionOf(s.name)}
}
