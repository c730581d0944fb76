package replica

// RegionSlots returns the number of slots of a pool's replicas in each region, without those of
// replicas that are leaving or evacuated.
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
