package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// evacuation is a zone that operators empty, as this node knows it.
type evacuation struct {
	// Version is that of the row that declares it.
	Version uint64
	// Since is when this node took it in.
	Since time.Time
}

// evacuations are the zones that operators empty, as the newest declaration known here
// says. A node that hears nothing new keeps to them. The zero value knows none. It is
// safe for concurrent use.
type evacuations struct {
	mu    sync.Mutex
	zones map[string]evacuation
}

// versions returns the zones with the versions of the rows that declare them; the
// caller may change what it gets.
func (e *evacuations) versions() map[string]uint64 {
	versions := map[string]uint64{}
	for zone, ev := range e.all() {
		versions[zone] = ev.Version
	}
	return versions
}

// all returns what is known of each zone that is evacuated.
func (e *evacuations) all() map[string]evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.zones)
}

// names returns the zones in the order of their names.
func (e *evacuations) names() []string { return slices.Sorted(maps.Keys(e.all())) }

// replace takes in all zones that are evacuated now, with the versions of their rows. It
// returns those that were not before, and those that were and are no more.
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

// setEvacuations puts in force which zones are evacuated, with the versions of the rows that
// declare them; revision is that of the declarations as a whole. It goes by nothing else:
// the configuration may be older or newer.
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

// logEvacuated logs that a zone is evacuated. One that is not known may be misspelt;
// replicas that say it is theirs take nothing all the same.
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
