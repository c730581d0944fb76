package replica

import (
	"maps"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// Evacuate takes in which zones operators empty: their replicas take nothing new until
// the zone is not among them any more. What runs there runs on.
func (s *Set) Evacuate(zones map[string]bool) { s.evacuate(zones, clock.Now()) }

func (s *Set) evacuate(zones map[string]bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(s.evacuated, zones) {
		return
	}
	s.returned(zones, now)
	s.evacuated = maps.Clone(zones)
	s.index()
}

// Evacuated returns the zones that operators empty.
func (s *Set) Evacuated() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.evacuated)
}

// IsEvacuated reports whether operators empty the zone of a listed replica.
func (s *Set) IsEvacuated(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[id]
	return ok && s.evacuated[known.info.Zone]
}
