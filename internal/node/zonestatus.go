package node

import (
	"maps"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/server"
)

// zoneStatus sums up, zone by zone, what a status says of nodes and replicas.
func (c *core) zoneStatus(status *server.NodeStatus, now time.Time) []server.ZoneStatus {
	zones := map[string]*server.ZoneStatus{}
	at := func(zone string) *server.ZoneStatus {
		known, ok := zones[zone]
		if !ok {
			known = &server.ZoneStatus{Zone: zone, Region: c.places.Region(zone)}
			zones[zone] = known
		}
		return known
	}
	for zone := range c.places {
		at(zone)
	}
	for _, member := range status.Members {
		if member.Zone != "" && member.Status == server.MemberAlive {
			at(member.Zone).Nodes++
		}
	}
	for _, known := range status.Replicas {
		at(known.Zone).Replicas++
		at(known.Zone).Open += known.Open
	}
	for zone, known := range c.evacuations.all() {
		one := at(zone)
		one.Evacuated, one.EvacuatedVersion = true, known.Version
		one.EvacuatedSeconds = now.Sub(known.Since).Seconds()
	}
	list := make([]server.ZoneStatus, 0, len(zones))
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		list = append(list, *zones[zone])
	}
	return list
}
