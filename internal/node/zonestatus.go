package node

import (
	"maps"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/server"
)

// zoneStatus summarizes the nodes and replicas of a status by zone.
func (c *core) zoneStatus(status *server.NodeStatus, now time.Time) []server.ZoneStatus {
	zones := map[string]*server.ZoneStatus{}
	get := func(zone string) *server.ZoneStatus {
		entry, ok := zones[zone]
		if !ok {
			entry = &server.ZoneStatus{Zone: zone, Region: c.places.Region(zone)}
			zones[zone] = entry
		}
		return entry
	}
	for zone := range c.places {
		get(zone)
	}
	for _, member := range status.Members {
		if member.Zone != "" && member.Status == server.MemberAlive {
			get(member.Zone).Nodes++
		}
	}
	for _, r := range status.Replicas {
		get(r.Zone).Replicas++
		get(r.Zone).Open += r.Open
	}
	for zone, ev := range c.evacuations.all() {
		entry := get(zone)
		entry.Evacuated, entry.EvacuatedVersion = true, ev.Version
		entry.EvacuatedSeconds = now.Sub(ev.Since).Seconds()
	}
	list := make([]server.ZoneStatus, 0, len(zones))
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		list = append(list, *zones[zone])
	}
	return list
}
