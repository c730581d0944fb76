package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// drainLife is how long a draining server lives on.
	drainLife = 4 * time.Second
	// lapse is how long the row of a server that is lost stays: three heartbeats.
	lapse = time.Second
	// coldStart is how long a server is cold after a start, coldRate the requests a
	// second that it bears meanwhile.
	coldStart = 3 * time.Second
	coldRate  = 2.0
)

// server is a stand-in server behind a proxy.
type server struct {
	*standin.Server
	name, zone string
	slots      int
	store      *standin.Store
	proxy      *proxy

	// mu guards what follows, and is held while the row is written.
	mu sync.Mutex
	// key is that of its row, which a start keeps or changes; born is its start as the
	// server's own clock has it.
	key    string
	born   time.Time
	starts int
	// leaves is set once the server was told to leave, lost while it does not run, crashed
	// while its process has ended.
	leaves, lost, crashed bool
	// foreignSince is when its row was overwritten by another writer; zero once it has
	// written the row again, or the row has gone.
	foreignSince time.Time
	foreign      []ServerOutage
	// outSince is since when it cannot be used; zero while it can.
	outSince time.Time
	outages  []ServerOutage
}

func (s *soak) addServer(name string, at *zone) error {
	kept := s.Slots
	if s.Overcommit {
		kept = 0
	}
	one := &server{
		Server: &standin.Server{ID: name, Events: answerSize, EventTime: eventTime, Slots: kept},
		name:   name, key: name, zone: at.name, slots: s.Slots, store: s.store, born: time.Now(),
	}
	address, err := s.listen(s.harmable(one))
	if err != nil {
		return err
	}
	if one.proxy, err = startProxy(address); err != nil {
		return err
	}
	s.closers = append(s.closers, one.proxy.close)
	s.servers = append(s.servers, one)
	s.ServerZones[name], s.ServerSlots[name] = at.name, s.Slots
	one.list()
	return nil
}

// list writes the server's row as it is now, if it runs and stays. While its row is
// another writer's it does not look at it.
func (one *server) list() {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.foreignSince.IsZero() {
		one.listLocked()
	}
}

func (one *server) listLocked() {
	if !one.leaves && !one.lost && !one.crashed {
		one.store.Put("servers", one.key, one.entry().Row())
	}
}

// entry is what the server's row says. The caller holds mu.
func (one *server) entry() standin.Entry {
	return standin.Entry{
		Address: one.proxy.address(), Zone: one.zone, Slots: one.slots, Started: one.born,
		Draining: one.leaves, Cold: !one.leaves, ColdLeft: one.ColdLeft(),
	}
}

// leave writes that the server drains. It reports whether it had not been told so before,
// and runs.
func (one *server) leave() bool {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.leaves || one.lost || one.crashed {
		return false
	}
	one.leaves = true
	one.store.Put("servers", one.key, one.entry().Row())
	one.ownRowLocked()
	one.noteLocked()
	return true
}

// incarnation is one start of a server, under a key.
type incarnation struct {
	key    string
	number int
}

// present returns the server's present incarnation.
func (one *server) present() incarnation {
	one.mu.Lock()
	defer one.mu.Unlock()
	return incarnation{one.key, one.starts}
}

// unlist drops the row of an incarnation, unless the server has started again under its key.
func (one *server) unlist(gone incarnation) {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.key == gone.key && one.starts != gone.number {
		return
	}
	one.store.Remove("servers", gone.key)
	if one.key == gone.key {
		one.ownRowLocked()
	}
}

// ownRowLocked notes that the row under the server's key is no other writer's any more.
func (one *server) ownRowLocked() {
	if !one.foreignSince.IsZero() {
		one.foreign = append(one.foreign, ServerOutage{Server: one.name, From: one.foreignSince, To: time.Now()})
		one.foreignSince = time.Time{}
	}
}

// noteLocked notes since when the server cannot be used, or that it can again.
func (one *server) noteLocked() {
	usable := !one.leaves && !one.lost && !one.crashed && one.foreignSince.IsZero()
	switch {
	case !usable && one.outSince.IsZero():
		one.outSince = time.Now()
	case usable && !one.outSince.IsZero():
		one.outages = append(one.outages, ServerOutage{Server: one.name, From: one.outSince, To: time.Now()})
		one.outSince = time.Time{}
	}
}

// outs returns when the server could not be used, up to a moment.
func (one *server) outs(until time.Time) []ServerOutage {
	one.mu.Lock()
	defer one.mu.Unlock()
	outages := slices.Clone(one.outages)
	if !one.outSince.IsZero() {
		outages = append(outages, ServerOutage{Server: one.name, From: one.outSince, To: until})
	}
	return outages
}

// lose has the server answer nobody; its row lapses.
func (one *server) lose(ctx context.Context) {
	one.mu.Lock()
	one.lost = true
	one.noteLocked()
	one.mu.Unlock()
	gone := one.present()
	one.proxy.set(Resets)
	retry.Sleep(ctx, lapse)
	one.unlist(gone)
}

// start has a lost server be there again, as one that has just started.
func (one *server) start() {
	one.mu.Lock()
	one.lost = false
	one.bear(fmt.Sprintf("%s-%d", one.name, one.starts+1), time.Now(), coldStart)
	one.mu.Unlock()
	one.proxy.set(Clear)
	one.list()
}

// bear begins an incarnation under a key. The caller holds mu.
func (one *server) bear(key string, born time.Time, cold time.Duration) {
	one.starts++
	one.key, one.born = key, born
	one.Restart(key, cold)
	one.ownRowLocked()
	one.noteLocked()
}

// chill has a server turn cold, and say so, until it is warm again.
func (s *soak) chill(ctx context.Context, one *server, length time.Duration) {
	one.SetCold(length)
	one.list()
	s.whileCold(ctx, one)
}

// whileCold waits until a server is warm and has it say so.
func (s *soak) whileCold(ctx context.Context, one *server) {
	defer s.serverOut(one)()
	for left := one.ColdLeft(); left > 0; left = one.ColdLeft() {
		retry.Sleep(ctx, left)
		if ctx.Err() != nil {
			return
		}
	}
	one.list()
}

// serverOut notes that a server may not be able to work from now on until the returned
// function is called.
func (s *soak) serverOut(one *server) func() {
	from := time.Now()
	return func() {
		record(&s.History, &s.ServerOutages, ServerOutage{Server: one.name, From: from, To: time.Now()})
	}
}

// drain lists a server as draining until it leaves. Only in calm the promise counts.
func (s *soak) drain(ctx context.Context, one *server, calm bool) {
	if !one.leave() {
		return
	}
	gone := one.present()
	if calm {
		record(&s.History, &s.Drains, Drain{Server: one.name, At: time.Now()})
	}
	retry.Sleep(ctx, drainLife)
	one.unlist(gone)
}
