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
	// drainTime is how long a server continues to run after it has started to drain.
	drainTime = 4 * time.Second
	// rowTTL is the time after which the row of a server that stopped expires: three heartbeats.
	rowTTL = time.Second
	// coldStart is how long a server is cold after a start, coldRate the requests per second that
	// it can take meanwhile.
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
	// connections are those of the proxy to the server.
	connections *standin.Connections

	// mu guards the fields below. It is also held while the row is written.
	mu sync.Mutex
	// key is the key of the server's row, which is also the current ID of the server. startedAt
	// is the start time by the clock of the server, starts the number of restarts.
	key       string
	startedAt time.Time
	starts    int
	// version is the software version of the current start, nextVersion that of the next one; versions
	// are all starts so far.
	version, nextVersion string
	versions             []ServerVersion
	// draining is set once the server has started to drain, lost while its zone is lost, and
	// crashed while its process is down.
	draining, lost, crashed bool
	// overwrittenSince is when another writer overwrote the row; zero once the server has written
	// it again or it was removed.
	overwrittenSince time.Time
	overwritten      []ServerOutage
	// unusableSince is when the server became unusable; zero while it is usable.
	unusableSince time.Time
	outages       []ServerOutage
}

// addServer starts a server behind a proxy and writes its row.
func (s *soak) addServer(name string, zone *zone) error {
	slots := s.Slots
	if s.Overcommit {
		slots = 0
	}
	srv := &server{
		Server: &standin.Server{ID: name, Version: firstVersion, Events: answerSize, EventTime: eventTime, Slots: slots, IsInvalid: isInvalidItem, IsLong: isLong, LongEventTime: longEventTime},
		name:   name, key: name, zone: zone.name, slots: s.Slots, store: s.store, startedAt: time.Now(), version: firstVersion, nextVersion: firstVersion,
		versions: []ServerVersion{{Server: name, Version: firstVersion}},
	}
	srv.connections = &standin.Connections{Handler: s.harmfulHandler(srv), Seed: s.Seed + uint64(len(s.servers))}
	address, err := s.listenRaw(srv.connections)
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

// writeRow writes the current row of the server if it is running and not draining. It does nothing
// while another writer has overwritten the row.
func (srv *server) writeRow() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.overwrittenSince.IsZero() {
		srv.writeRowLocked()
	}
}

// writeRowLocked is writeRow for a caller that holds mu, and also replaces the row of another
// writer.
func (srv *server) writeRowLocked() {
	if !srv.draining && !srv.lost && !srv.crashed {
		srv.store.Put("servers", srv.key, srv.entry().Row())
	}
}

// entry returns the content of the row. The caller holds mu.
func (srv *server) entry() standin.Entry {
	return standin.Entry{
		Address: srv.proxy.address(), Zone: srv.zone, Slots: srv.slots, Started: srv.startedAt,
		Version: srv.version, Draining: srv.draining, Cold: !srv.draining, ColdLeft: srv.ColdLeft(),
	}
}

// startDraining marks the server as draining in its row. It returns false if the server is already
// draining or not running.
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

// incarnation identifies one start of a server.
type incarnation struct {
	key    string
	number int
}

// current returns the current incarnation of the server.
func (srv *server) current() incarnation {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return incarnation{srv.key, srv.starts}
}

// removeRow removes the row of a previous incarnation, unless the server has been restarted under
// the same key.
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

// endOverwriteLocked records that the row is no longer overwritten. The caller holds mu.
func (srv *server) endOverwriteLocked() {
	if !srv.overwrittenSince.IsZero() {
		srv.overwritten = append(srv.overwritten, ServerOutage{Server: srv.name, From: srv.overwrittenSince, To: time.Now()})
		srv.overwrittenSince = time.Time{}
	}
}

// updateOutageLocked starts or ends the current outage according to the state of the server. The
// caller holds mu.
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

// outagesUntil returns the outages of the server, of which a current one ends at until.
func (srv *server) outagesUntil(until time.Time) []ServerOutage {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	outages := slices.Clone(srv.outages)
	if !srv.unusableSince.IsZero() {
		outages = append(outages, ServerOutage{Server: srv.name, From: srv.unusableSince, To: until})
	}
	return outages
}

// takeDown makes the server unreachable and lets its row expire.
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

// bringUp restarts a server after takeDown under a new key.
func (srv *server) bringUp() {
	srv.mu.Lock()
	srv.lost = false
	srv.startIncarnationLocked(fmt.Sprintf("%s-%d", srv.name, srv.starts+1), time.Now(), coldStart)
	srv.mu.Unlock()
	srv.proxy.setFault(NoFault)
	srv.writeRow()
}

// startIncarnationLocked starts a new incarnation of the server. The caller holds mu.
func (srv *server) startIncarnationLocked(key string, startedAt time.Time, cold time.Duration) {
	srv.starts++
	srv.key, srv.startedAt = key, startedAt
	srv.version = srv.nextVersion
	srv.versions = append(srv.versions, ServerVersion{Server: srv.name, Version: srv.version, From: time.Now()})
	srv.SetVersion(srv.version)
	srv.Restart(key, cold)
	srv.endOverwriteLocked()
	srv.updateOutageLocked()
}

// makeCold makes a server cold. It updates the row of the server at once, and again when the server
// is warm.
func (s *soak) makeCold(ctx context.Context, srv *server, length time.Duration) {
	srv.SetCold(length)
	srv.writeRow()
	s.awaitWarm(ctx, srv)
}

// awaitWarm waits until a server is warm and updates its row.
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

// trackOutage records an outage of a server that lasts until the returned function is called.
func (s *soak) trackOutage(srv *server) func() {
	from := time.Now()
	return func() {
		record(&s.History, &s.ServerOutages, ServerOutage{Server: srv.name, From: from, To: time.Now()})
	}
}

// drain marks a server as draining and removes its row after drainTime. The drain is only checked
// if it is in the calm phase.
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
