package replica

import (
	"maps"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// SetEvacuated sets the zones that operators evacuate. Their replicas get no new requests until the
// evacuation ends; requests in flight continue.
func (s *Set) SetEvacuated(zones map[string]bool) { s.setEvacuated(zones, clock.Now()) }

func (s *Set) setEvacuated(zones map[string]bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(s.evacuated, zones) {
		return
	}
	s.markReturned(zones, now)
	s.evacuated = maps.Clone(zones)
	for _, e := range s.entries {
		e.evacuated = s.evacuated[e.info.Zone]
	}
	s.invalidateIndex()
}

// Evacuated returns the zones that operators evacuate.
func (s *Set) Evacuated() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.evacuated)
}

// IsEvacuated reports whether the zone of a listed replica is evacuated.
func (s *Set) IsEvacuated(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	return ok && s.evacuated[e.info.Zone]
}
