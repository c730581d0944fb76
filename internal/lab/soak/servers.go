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
	// drainTime is how long a draining server lives on.
	drainTime = 4 * time.Second
	// rowTTL is how long the row of a server that is lost stays: three heartbeats.
	rowTTL = time.Second
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
	key       string
	startedAt time.Time
	starts    int
	// draining is set once the server was told to leave, lost while it does not run, crashed
	// while its process has ended.
	draining, lost, crashed bool
	// overwrittenSince is when its row was overwritten by another writer; zero once it has
	// written the row again, or the row has gone.
	overwrittenSince time.Time
	overwritten      []ServerOutage
	// unusableSince is since when it cannot be used; zero while it can.
	unusableSince time.Time
	outages       []ServerOutage
}

func (s *soak) addServer(name string, zone *zone) error {
	slots := s.Slots
	if s.Overcommit {
		slots = 0
	}
	srv := &server{
		Server: &standin.Server{ID: name, Events: answerSize, EventTime: eventTime, Slots: slots},
		name:   name, key: name, zone: zone.name, slots: s.Slots, store: s.store, startedAt: time.Now(),
	}
	address, err := s.listen(s.harmfulHandler(srv))
	if err != nil {
		return err
	}
	if srv.proxy, err = startProxy(address); err != nil {
		return err
	}
	s.closers = append(s.closers, srv.proxy.close)
	s.servers = append(s.servers, srv)
	s.ServerZones[name], s.ServerSlots[name] = zone.name, s.Slots
	srv.writeRow()
	return nil
}

// writeRow writes the server's row as it is now, if it runs and stays. While its row is
// another writer's it does not look at it.
func (srv *server) writeRow() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.overwrittenSince.IsZero() {
		srv.writeRowLocked()
	}
}

func (srv *server) writeRowLocked() {
	if !srv.draining && !srv.lost && !srv.crashed {
		srv.store.Put("servers", srv.key, srv.entry().Row())
	}
}

// entry is what the server's row says. The caller holds mu.
func (srv *server) entry() standin.Entry {
	return standin.Entry{
		Address: srv.proxy.address(), Zone: srv.zone, Slots: srv.slots, Born: srv.startedAt,
		Draining: srv.draining, Cold: !srv.draining, ColdLeft: srv.ColdLeft(),
	}
}

// startDraining writes that the server drains. It reports whether it had not been told so before,
// and runs.
func (srv *server) startDraining() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.draining || srv.lost || srv.crashed {
		return false
	}
	srv.draining = true
	srv.store.Put("servers", srv.key, srv.entry().Row())
	srv.endOverwriteLocked()
	srv.updateOutageLocked()
	return true
}

// incarnation is one start of a server, under a key.
type incarnation struct {
	key    string
	number int
}

// current returns the server's current incarnation.
func (srv *server) current() incarnation {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return incarnation{srv.key, srv.starts}
}

// removeRow drops the row of an incarnation, unless the server has started again under its key.
func (srv *server) removeRow(previous incarnation) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.key == previous.key && srv.starts != previous.number {
		return
	}
	srv.store.Remove("servers", previous.key)
	if srv.key == previous.key {
		srv.endOverwriteLocked()
	}
}

// endOverwriteLocked notes that the row under the server's key is no other writer's any more.
func (srv *server) endOverwriteLocked() {
	if !srv.overwrittenSince.IsZero() {
		srv.overwritten = append(srv.overwritten, ServerOutage{Server: srv.name, From: srv.overwrittenSince, To: time.Now()})
		srv.overwrittenSince = time.Time{}
	}
}

// updateOutageLocked notes since when the server cannot be used, or that it can again.
func (srv *server) updateOutageLocked() {
	usable := !srv.draining && !srv.lost && !srv.crashed && srv.overwrittenSince.IsZero()
	switch {
	case !usable && srv.unusableSince.IsZero():
		srv.unusableSince = time.Now()
	case usable && !srv.unusableSince.IsZero():
		srv.outages = append(srv.outages, ServerOutage{Server: srv.name, From: srv.unusableSince, To: time.Now()})
		srv.unusableSince = time.Time{}
	}
}

// outagesUntil returns when the server could not be used, up to a moment.
func (srv *server) outagesUntil(until time.Time) []ServerOutage {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	outages := slices.Clone(srv.outages)
	if !srv.unusableSince.IsZero() {
		outages = append(outages, ServerOutage{Server: srv.name, From: srv.unusableSince, To: until})
	}
	return outages
}

// takeDown has the server answer nobody; its row lapses.
func (srv *server) takeDown(ctx context.Context) {
	srv.mu.Lock()
	srv.lost = true
	srv.updateOutageLocked()
	srv.mu.Unlock()
	previous := srv.current()
	srv.proxy.setFault(Reset)
	retry.Sleep(ctx, rowTTL)
	srv.removeRow(previous)
}

// bringUp has a lost server be there again, as one that has just started.
func (srv *server) bringUp() {
	srv.mu.Lock()
	srv.lost = false
	srv.startIncarnationLocked(fmt.Sprintf("%s-%d", srv.name, srv.starts+1), time.Now(), coldStart)
	srv.mu.Unlock()
	srv.proxy.setFault(NoFault)
	srv.writeRow()
}

// startIncarnationLocked begins an incarnation under a key. The caller holds mu.
func (srv *server) startIncarnationLocked(key string, startedAt time.Time, cold time.Duration) {
	srv.starts++
	srv.key, srv.startedAt = key, startedAt
	srv.Restart(key, cold)
	srv.endOverwriteLocked()
	srv.updateOutageLocked()
}

// chill has a server turn cold, and say so, until it is warm again.
func (s *soak) chill(ctx context.Context, srv *server, length time.Duration) {
	srv.Chill(length)
	srv.writeRow()
	s.awaitWarm(ctx, srv)
}

// awaitWarm waits until a server is warm and has it say so.
func (s *soak) awaitWarm(ctx context.Context, srv *server) {
	defer s.trackOutage(srv)()
	for left := srv.ColdLeft(); left > 0; left = srv.ColdLeft() {
		retry.Sleep(ctx, left)
		if ctx.Err() != nil {
			return
		}
	}
	srv.writeRow()
}

// trackOutage notes that a server may not be able to work from now on until the returned
// function is called.
func (s *soak) trackOutage(srv *server) func() {
	from := time.Now()
	return func() {
		record(&s.History, &s.ServerOutages, ServerOutage{Server: srv.name, From: from, To: time.Now()})
	}
}

// drain lists a server as draining until it leaves. Only in calm the promise counts.
func (s *soak) drain(ctx context.Context, srv *server, calm bool) {
	if !srv.startDraining() {
		return
	}
	previous := srv.current()
	if calm {
		record(&s.History, &s.Drains, Drain{Server: srv.name, At: time.Now()})
	}
	retry.Sleep(ctx, drainTime)
	srv.removeRow(previous)
}
