package replica

// RegionSlots returns the slots that the replicas of a pool have in each region. Replicas
// that are leaving, or stand in a zone that operators empty, have none.
func (s *Set) RegionSlots(pool string) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := map[string]int{}
	for _, e := range s.pool(pool) {
		if !e.info.Leaving && !s.evacuated[e.info.Zone] {
			slots[e.info.Region] += e.info.Slots
		}
	}
	return slots
}
