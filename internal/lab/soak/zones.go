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
	// chillLead is how long before its end servers of an emptied zone turn cold.
	chillLead = 500 * time.Millisecond
	// minOutage is the least time that a zone is out.
	minOutage = time.Second
	// calmEvacuation is a second longer than nodes in touch have to obey.
	calmEvacuation = evacuationBound + time.Second
	// floodCallers pause for floodPause after each answer: up to 50 requests a second
	// each while they are refused, of a tenant that may make limitRate.
	floodCallers = 5
	floodPause   = 20 * time.Millisecond
)

// zone is a zone of nodes and servers.
type zone struct{ name, region string }

// newZones returns three zones, in one region or the last of them in a second one.
func newZones(regions int) []*zone {
	zones := []*zone{{"zone-a", "north"}, {"zone-b", "north"}, {"zone-c", "north"}}
	if regions > 1 {
		zones[2].region = "south"
	}
	return zones
}

// places returns the regions of zones.
func places(zones []*zone) place.Map {
	known := place.Map{}
	for _, z := range zones {
		known[z.name] = z.region
	}
	return known
}

// zoneOf returns the zone of a node or server by its number.
func (s *soak) zoneOf(number int) *zone { return s.zones[number%len(s.zones)] }

// serversIn returns a zone's servers.
func (s *soak) serversIn(zone *zone) []*server {
	var list []*server
	for _, srv := range s.servers {
		if srv.zone == zone.name {
			list = append(list, srv)
		}
	}
	return list
}

// injectZoneFault makes a fault of a zone. One zone is out at a time, the next one waits: what is
// left must be able to serve.
func (s *soak) injectZoneFault(ctx context.Context, fault Fault) {
	zone := s.zoneOf(fault.Target)
	if fault.Kind == ChillZone {
		s.chillZone(ctx, zone, fault.Duration)
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

// chillZone has a zone's servers turn cold.
func (s *soak) chillZone(ctx context.Context, zone *zone, length time.Duration) {
	var all sync.WaitGroup
	for _, srv := range s.serversIn(zone) {
		all.Go(func() { s.chill(ctx, srv, length) })
	}
	all.Wait()
}

// evacuateZone empties a zone for a while. Its servers, which have nothing to do, turn cold
// before it is taken back.
func (s *soak) evacuateZone(ctx context.Context, zone *zone, length time.Duration) {
	s.store.Evacuate(zone.name)
	start := time.Now()
	retry.Sleep(ctx, length-chillLead)
	s.warming.Go(func() { s.chillZone(ctx, zone, coldStart) })
	retry.Sleep(ctx, chillLead)
	record(&s.History, &s.Evacuations, Outage{Zone: zone.name, From: start, To: time.Now()})
	s.store.TakeBack(zone.name)
}

// loseZone has a zone's nodes and servers be gone for a while.
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
		s.warming.Go(func() { s.chill(ctx, srv, srv.ColdLeft()) })
	}
}

// cutAndFlood cuts a node off from the store, and has a tenant ask for far more than its limit
// at just this node.
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
