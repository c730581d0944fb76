package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// coldLead is how long before the end of an evacuation the servers of the zone turn cold.
	coldLead = 500 * time.Millisecond
	// minOutage is the minimum time for which a zone is evacuated or lost.
	minOutage = time.Second
	// calmEvacuation is a second longer than the time within which connected nodes have to react.
	calmEvacuation = evacuationBound + time.Second
	// floodCallers wait for floodPause after each answer. While they are refused, each makes up to
	// 50 requests per second for a tenant that is limited to limitRate.
	floodCallers = 5
	floodPause   = 20 * time.Millisecond
)

// zone is a zone of nodes and servers.
type zone struct{ name, region string }

// newZones returns three zones. They are in one region, or the last one is in a second region.
func newZones(regions int) []*zone {
	zones := []*zone{{"zone-a", "north"}, {"zone-b", "north"}, {"zone-c", "north"}}
	if regions > 1 {
		zones[2].region = "south"
	}
	return zones
}

// places maps the names of zones to their regions.
func places(zones []*zone) place.Map {
	known := place.Map{}
	for _, z := range zones {
		known[z.name] = z.region
	}
	return known
}

// zoneOf returns the zone of the node or server with the given number.
func (s *soak) zoneOf(number int) *zone { return s.zones[number%len(s.zones)] }

// serversIn returns the servers of a zone.
func (s *soak) serversIn(zone *zone) []*server {
	var list []*server
	for _, srv := range s.servers {
		if srv.zone == zone.name {
			list = append(list, srv)
		}
	}
	return list
}

// injectZoneFault injects a fault of a zone and reverts it. Only one zone is evacuated or lost at a
// time, so that the others can serve; further faults wait.
func (s *soak) injectZoneFault(ctx context.Context, fault Fault) {
	zone := s.zoneOf(fault.Target)
	if fault.Kind == ChillZone {
		s.makeZoneCold(ctx, zone, fault.Duration)
		return
	}
	s.zoneOutage.Lock()
	defer s.zoneOutage.Unlock()
	length := min(fault.Duration, time.Until(s.outageDeadline))
	if length < minOutage {
		s.progressf("        %s of %s left out: another zone was out too long", fault.Kind, zone.name)
		return
	}
	if fault.Kind == LoseZone {
		s.loseZone(ctx, zone, length)
		return
	}
	s.evacuateZone(ctx, zone, length)
}

// makeZoneCold makes the servers of a zone cold.
func (s *soak) makeZoneCold(ctx context.Context, zone *zone, length time.Duration) {
	var all sync.WaitGroup
	for _, srv := range s.serversIn(zone) {
		all.Go(func() { s.makeCold(ctx, srv, length) })
	}
	all.Wait()
}

// evacuateZone evacuates a zone for a while. Its idle servers turn cold shortly before the end.
func (s *soak) evacuateZone(ctx context.Context, zone *zone, length time.Duration) {
	s.store.Evacuate(zone.name)
	start := time.Now()
	retry.Sleep(ctx, length-coldLead)
	s.warming.Go(func() { s.makeZoneCold(ctx, zone, coldStart) })
	retry.Sleep(ctx, coldLead)
	record(&s.History, &s.Evacuations, Outage{Zone: zone.name, From: start, To: time.Now()})
	s.store.CancelEvacuation(zone.name)
}

// loseZone takes the nodes and servers of a zone down for a while.
func (s *soak) loseZone(ctx context.Context, zone *zone, length time.Duration) {
	start := time.Now()
	var all sync.WaitGroup
	for _, srv := range s.serversIn(zone) {
		all.Go(func() { srv.takeDown(ctx) })
	}
	for _, node := range s.gateways {
		if node.zone == zone.name {
			all.Go(func() { s.restart(ctx, node, syscall.SIGKILL, length) })
		}
	}
	retry.Sleep(ctx, length)
	record(&s.History, &s.Losses, Outage{Zone: zone.name, From: start, To: time.Now()})
	all.Wait()
	for _, srv := range s.serversIn(zone) {
		srv.bringUp()
		s.warming.Go(func() { s.makeCold(ctx, srv, srv.ColdLeft()) })
	}
}

// cutAndFlood cuts a node off from the store, while a tenant exceeds its limit at this node. Delay
// would not cut the node off, so Reset is used instead.
func (s *soak) cutAndFlood(ctx context.Context, node *gateway, fault Fault) {
	connFault := fault.Connection
	if connFault == Delay {
		connFault = Reset
	}
	node.store.setFault(connFault)
	defer node.store.setFault(NoFault)
	floodCtx, cancel := context.WithTimeout(ctx, fault.Duration)
	defer cancel()
	var all sync.WaitGroup
	for caller := range floodCallers {
		all.Go(func() { s.callFlood(floodCtx, node, fault, caller) })
	}
	all.Wait()
}
