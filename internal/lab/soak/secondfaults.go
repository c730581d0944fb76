package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// rollMost is how many nodes are restarted one after the other at most.
	rollMost = 5
	// configurations follow each other by configurePause.
	configurations = 4
	configurePause = 100 * time.Millisecond
	// warmShare is the share of a fault up to which a server that starts again is warm.
	warmShare = 0.3
	// turnedBack is by how much the clock of a server has stepped back.
	turnedBack = 10 * time.Minute
)

// applySecond makes one fault of the second plan and undoes it.
func (s *soak) applySecond(ctx context.Context, fault Fault) {
	node := s.gateways[fault.Target%len(s.gateways)]
	switch fault.Kind {
	case SilentServer, SilentServers, SilentStore, SilentStores:
		s.silence(fault, node)
	case RenewServer, ReturnServer, BlinkServer, TurnBackServer:
		s.restartServer(ctx, fault)
	case ForeignRow:
		s.foreignRow(ctx, fault)
	case OverwriteRow:
		s.overwriteRow(ctx, fault)
	case StoreLosesHistory:
		s.loseHistory(ctx, fault)
	case ReloadNode:
		node.signal(syscall.SIGHUP)
	case RollNodes:
		s.roll(ctx, fault)
	case ConfigureMany:
		for range configurations {
			s.configure()
			retry.Sleep(ctx, configurePause)
		}
	}
}

// silence has open connections go silent. That counts as a disturbance of this moment, as a
// reset does.
func (s *soak) silence(fault Fault, node *gateway) {
	servers, nodes := []*server{s.target(fault)}, []*gateway{node}
	switch fault.Kind {
	case SilentServer:
		nodes = nil
	case SilentServers:
		servers, nodes = s.servers, nil
	case SilentStore:
		servers = nil
	case SilentStores:
		servers, nodes = nil, s.gateways
	}
	for _, one := range servers {
		one.proxy.silence()
		s.disturbed(Disturbance{Name: one.name, From: time.Now()})
	}
	for _, one := range nodes {
		one.store.silence()
		s.disturbed(Disturbance{Name: one.id, From: time.Now()})
	}
	record(&s.History, &s.Silences, fault.Kind)
}

// loseHistory has the store leave a share of all calls without an answer, and drop its
// history in the midst of that.
func (s *soak) loseHistory(ctx context.Context, fault Fault) {
	random := rand.New(rand.NewPCG(s.Seed, uint64(fault.At)))
	var mu sync.Mutex
	s.store.SetUnresponsive(func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < fault.Share
	})
	defer s.store.SetUnresponsive(nil)
	retry.Sleep(ctx, fault.For/2)
	s.store.CompactHistory()
	record(&s.History, &s.HistoryLosses, fault.Kind)
	retry.Sleep(ctx, fault.For-fault.For/2)
}

// firstOf returns the first server, from the fault's target on, that a function holds for;
// nil if there is none.
func (s *soak) firstOf(fault Fault, holds func(*server) bool) *server {
	for range s.servers {
		if one := s.target(fault); holds(one) {
			return one
		}
		fault.Target++
	}
	return nil
}

// restartServer crashes a server that runs and starts it again, also one that has left.
func (s *soak) restartServer(ctx context.Context, fault Fault) {
	began := time.Now()
	var gone incarnation
	one := s.firstOf(fault, func(one *server) bool {
		gone = one.present()
		return one.crash(gone.key)
	})
	if one == nil {
		s.say("        %s left out: no server runs", fault.Kind)
		return
	}
	defer s.disturbed(Disturbance{Name: one.name, From: began})
	if fault.For > lapse {
		retry.Sleep(ctx, lapse)
		one.unlist(gone)
	}
	retry.Sleep(ctx, time.Until(began.Add(fault.For)))
	s.bringBack(one, fault)
	s.cold.Go(func() { s.whileCold(ctx, one) })
	// The row of the former id lapses, as that process writes it no more.
	retry.Sleep(ctx, time.Until(began.Add(lapse)))
	one.unlist(gone)
}

// bringBack starts a crashed server, unless its zone was lost meanwhile.
func (s *soak) bringBack(one *server, fault Fault) {
	if err := one.proxy.accepts(); err != nil {
		s.say("server %s stays away: %v", one.name, err)
		return
	}
	one.mu.Lock()
	one.crashed = false
	if !one.lost {
		one.leaves = false
		key, born := one.next(fault.Kind)
		one.bear(key, born, coldAfter(fault))
		record(&s.History, &s.ServerStarts, fault.Kind)
	}
	one.mu.Unlock()
	one.list()
}

// next returns the key of a server's next start, and the moment of that by its own clock.
// The caller holds mu.
func (one *server) next(kind Kind) (key string, born time.Time) {
	switch kind {
	case RenewServer:
		return fmt.Sprintf("%s-%d", one.name, one.starts+1), time.Now()
	case TurnBackServer:
		return one.key, one.born.Add(-turnedBack)
	default:
		return one.key, time.Now()
	}
}

// coldAfter is how long a server is cold once it has started again.
func coldAfter(fault Fault) time.Duration {
	if fault.Share < warmShare {
		return 0
	}
	return coldStart
}

// roll restarts some nodes, one after the other.
func (s *soak) roll(ctx context.Context, fault Fault) {
	for number := range min(rollMost, len(s.gateways)-1) {
		node := s.gateways[(fault.Target+number)%len(s.gateways)]
		from := time.Now()
		s.restart(ctx, node, syscall.SIGTERM, restartAfter)
		s.disturbed(Disturbance{Name: node.id, From: from, Restart: true})
		if ctx.Err() != nil {
			return
		}
	}
}

// foreignRow has another writer leave a row of its own for a while. Its address is that of a
// server which nobody has declared.
func (s *soak) foreignRow(ctx context.Context, fault Fault) {
	rows := standin.InvalidEntries(s.stranger.address, s.zoneOf(fault.Target).name)
	key := fmt.Sprintf("foreign-%d", fault.At.Milliseconds())
	s.store.PutValue("servers", "", key, rows[fault.Target%len(rows)])
	s.say("        %s: %q under %s", fault.Kind, rows[fault.Target%len(rows)], key)
	record(&s.History, &s.ForeignRows, fault.Kind)
	retry.Sleep(ctx, fault.For)
	s.store.Remove("servers", key)
}

// overwriteRow has another writer overwrite the row of a server, until that writes it again.
func (s *soak) overwriteRow(ctx context.Context, fault Fault) {
	var since time.Time
	var row []byte
	one := s.firstOf(fault, func(one *server) bool {
		rows := standin.InvalidEntries(one.proxy.address(), one.zone)
		row = rows[fault.Target%len(rows)]
		since = one.overwrite(row)
		return !since.IsZero()
	})
	if one == nil {
		s.say("        %s left out: no server has a row of its own", fault.Kind)
		return
	}
	s.say("        %s: %q for %s", fault.Kind, row, one.name)
	record(&s.History, &s.ForeignRows, fault.Kind)
	retry.Sleep(ctx, fault.For)
	one.rewrite(since)
}

// overwrite puts a value of another writer into the server's row. It returns when, or the
// zero time if the server has no row of its own.
func (one *server) overwrite(value []byte) time.Time {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.leaves || one.lost || one.crashed || !one.foreignSince.IsZero() {
		return time.Time{}
	}
	one.store.PutValue("servers", "", one.key, value)
	one.foreignSince = time.Now()
	one.noteLocked()
	return one.foreignSince
}

// rewrite has the server write its row again that was overwritten at a moment.
func (one *server) rewrite(since time.Time) {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.foreignSince != since {
		return
	}
	one.ownRowLocked()
	one.listLocked()
	one.noteLocked()
}
