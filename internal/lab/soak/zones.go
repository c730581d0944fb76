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
	// chillBefore is how long before its end servers of an emptied zone turn cold.
	chillBefore = 500 * time.Millisecond
	// leastOut is the least time that a zone is out.
	leastOut = time.Second
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
	for _, one := range zones {
		known[one.name] = one.region
	}
	return known
}

// zoneOf returns the zone of a node or server by its number.
func (s *soak) zoneOf(number int) *zone { return s.zones[number%len(s.zones)] }

// serversIn returns a zone's servers.
func (s *soak) serversIn(at *zone) []*server {
	var list []*server
	for _, one := range s.servers {
		if one.zone == at.name {
			list = append(list, one)
		}
	}
	return list
}

// harmZone makes a fault of a zone. One zone is out at a time, the next one waits: what is
// left must be able to serve.
func (s *soak) harmZone(ctx context.Context, fault Fault) {
	at := s.zoneOf(fault.Target)
	if fault.Kind == ChillZone {
		s.chillZone(ctx, at, fault.For)
		return
	}
	s.zoneOut.Lock()
	defer s.zoneOut.Unlock()
	length := min(fault.For, time.Until(s.ends))
	if length < leastOut {
		s.say("        %s of %s left out: another zone was out too long", fault.Kind, at.name)
		return
	}
	if fault.Kind == LoseZone {
		s.loseZone(ctx, at, length)
		return
	}
	s.evacuate(ctx, at, length)
}

// chillZone has a zone's servers turn cold.
func (s *soak) chillZone(ctx context.Context, at *zone, length time.Duration) {
	var all sync.WaitGroup
	for _, one := range s.serversIn(at) {
		all.Go(func() { s.chill(ctx, one, length) })
	}
	all.Wait()
}

// evacuate empties a zone for a while. Its servers, which have nothing to do, turn cold
// before it is taken back.
func (s *soak) evacuate(ctx context.Context, at *zone, length time.Duration) {
	s.store.Evacuate(at.name)
	began := time.Now()
	retry.Sleep(ctx, length-chillBefore)
	s.cold.Go(func() { s.chillZone(ctx, at, coldStart) })
	retry.Sleep(ctx, chillBefore)
	record(&s.History, &s.Evacuations, Outage{Zone: at.name, From: began, To: time.Now()})
	s.store.CancelEvacuation(at.name)
}

// loseZone has a zone's nodes and servers be gone for a while.
func (s *soak) loseZone(ctx context.Context, at *zone, length time.Duration) {
	began := time.Now()
	var all sync.WaitGroup
	for _, one := range s.serversIn(at) {
		all.Go(func() { one.lose(ctx) })
	}
	for _, node := range s.gateways {
		if node.zone == at.name {
			all.Go(func() { s.restart(ctx, node, syscall.SIGKILL, length) })
		}
	}
	retry.Sleep(ctx, length)
	record(&s.History, &s.Losses, Outage{Zone: at.name, From: began, To: time.Now()})
	all.Wait()
	for _, one := range s.serversIn(at) {
		one.start()
		s.cold.Go(func() { s.chill(ctx, one, one.ColdLeft()) })
	}
}

// flood cuts a node off from the store, and has a tenant ask for far more than its limit
// at just this node.
func (s *soak) flood(ctx context.Context, node *gateway, fault Fault) {
	harm := fault.Harm
	if harm == Slow {
		harm = Resets
	}
	node.store.set(harm)
	defer node.store.set(Clear)
	floodCtx, cancel := context.WithTimeout(ctx, fault.For)
	defer cancel()
	var all sync.WaitGroup
	for caller := range floodCallers {
		all.Go(func() { s.callFlood(floodCtx, node, fault, caller) })
	}
	all.Wait()
}
