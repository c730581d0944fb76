package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// evacuation is an evacuated zone, as known to this node.
type evacuation struct {
	// Version is the version of the row that declares it.
	Version uint64
	// Since is when this node learned of it.
	Since time.Time
}

// evacuations holds the zones that operators have evacuated, according to the newest declaration
// known here. They stay in force while a node gets no updates. The zero value is empty and ready to
// use. It is safe for concurrent use.
type evacuations struct {
	mu    sync.Mutex
	zones map[string]evacuation
}

// versions returns the zones with the versions of the rows that declare them. The caller may modify
// the map.
func (e *evacuations) versions() map[string]uint64 {
	versions := map[string]uint64{}
	for zone, ev := range e.all() {
		versions[zone] = ev.Version
	}
	return versions
}

// all returns a copy of the evacuations by zone.
func (e *evacuations) all() map[string]evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.zones)
}

// names returns the zones, sorted.
func (e *evacuations) names() []string { return slices.Sorted(maps.Keys(e.all())) }

// replace sets the zones that are evacuated, given the versions of their rows. It returns those
// that were added and those that were removed.
func (e *evacuations) replace(versions map[string]uint64, now time.Time) (begun, ended map[string]evacuation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	begun, ended = map[string]evacuation{}, maps.Clone(e.zones)
	next := make(map[string]evacuation, len(versions))
	for zone, version := range versions {
		ev, ok := e.zones[zone]
		if !ok {
			ev.Since = now
		}
		ev.Version = version
		next[zone] = ev
		delete(ended, zone)
		if !ok {
			begun[zone] = ev
		}
	}
	e.zones = next
	return begun, ended
}

// setEvacuations puts the evacuated zones in force, given the versions of the rows that declare
// them and the revision of the declarations as a whole. It depends on nothing else: the
// configuration may be older or newer.
func (c *core) setEvacuations(versions map[string]uint64, revision uint64) {
	now := clock.Now()
	begun, ended := c.evacuations.replace(versions, now)
	if len(begun) == 0 && len(ended) == 0 {
		return
	}
	zones := make(map[string]bool, len(versions))
	for zone := range versions {
		zones[zone] = true
	}
	c.replicas.SetEvacuated(zones)
	for zone, ev := range begun {
		c.logEvacuated(zone, ev)
	}
	for zone, ev := range ended {
		c.log.Info().Str("zone", zone).Uint64("row_version", ev.Version).Uint64("revision", revision).
			Dur("age_ms", now.Sub(ev.Since)).Msg("evacuation ended")
	}
}

// logEvacuated logs that a zone is evacuated. A zone that the settings do not list may be misspelt,
// but it is evacuated too, because replicas may be in it.
func (c *core) logEvacuated(zone string, ev evacuation) {
	replicas := 0
	for _, r := range c.replicas.List(ev.Since) {
		if r.Zone == zone {
			replicas++
		}
	}
	_, zoneKnown := c.places[zone]
	entry := c.log.Info()
	if !zoneKnown && len(c.places) > 0 {
		entry = c.log.Warn()
	}
	entry.Str("zone", zone).Str("region", c.places.Region(zone)).Bool("zone_known", zoneKnown).
		Uint64("row_version", ev.Version).Int("replicas", replicas).Msg("zone evacuated")
}
