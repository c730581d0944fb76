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
	// maxRolledNodes limits the number of nodes that are restarted one after the other.
	maxRolledNodes = 5
	// configureCount is the number of changes of the configuration in a row, configurePause the
	// time between them.
	configureCount = 4
	configurePause = 100 * time.Millisecond
	// maxWarmShare is the Share of a fault up to which a restarted server is warm immediately.
	maxWarmShare = 0.3
	// clockStepBack is by how much TurnBackServer sets the clock back.
	clockStepBack = 10 * time.Minute
)

// injectSecondPlanFault injects one fault of the second plan and reverts it.
func (s *soak) injectSecondPlanFault(ctx context.Context, fault Fault) {
	node := s.gateways[fault.Target%len(s.gateways)]
	switch fault.Kind {
	case SilentServer, SilentServers, SilentStore, SilentStores:
		s.silence(fault, node)
	case RenewServer, ReturnServer, BlinkServer, TurnBackServer:
		s.restartServer(ctx, fault)
	case ForeignRow:
		s.putForeignRow(ctx, fault)
	case OverwriteRow:
		s.overwriteServerRow(ctx, fault)
	case StoreLosesHistory:
		s.loseStoreHistory(ctx, fault)
	case UpdateServers:
		s.updateServers(ctx, fault)
	case CrowdNode:
		s.crowd(ctx, node, fault.Duration)
	case StoreAnswersLate, StoreSlowAtStarts:
		s.delayStore(ctx, fault)
	case PauseServer:
		s.pauseServer(fault)
	case DisruptServers:
		s.disruptServers(ctx, fault)
	case FillServers:
		s.fillServers(ctx, fault)
	case CutBesideLongTexts:
		s.cutBesideLongTexts(ctx, node, fault)
	case RefuseJobs:
		s.submitToBeRefused(ctx, fault)
	case ReloadNode:
		node.signal(syscall.SIGHUP)
	case RollNodes:
		s.rollNodes(ctx, fault)
	case ConfigureMany:
		for range configureCount {
			s.configure()
			retry.Sleep(ctx, configurePause)
		}
	}
}

// silence silences open connections. It is recorded as a momentary disturbance, as a reset is.
func (s *soak) silence(fault Fault, node *gateway) {
	servers, nodes := []*server{s.targetServer(fault)}, []*gateway{node}
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
	for _, srv := range servers {
		srv.proxy.silence()
		s.recordDisturbance(Disturbance{Name: srv.name, From: time.Now()})
	}
	for _, gateway := range nodes {
		gateway.store.silence()
		s.recordDisturbance(Disturbance{Name: gateway.id, From: time.Now()})
	}
	record(&s.History, &s.Silences, fault.Kind)
}

// loseStoreHistory makes the store leave a share of all calls without an answer, and drops its
// change history halfway through.
func (s *soak) loseStoreHistory(ctx context.Context, fault Fault) {
	random := rand.New(rand.NewPCG(s.Seed, uint64(fault.After)))
	var mu sync.Mutex
	s.store.SetUnresponsive(func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < fault.Share
	})
	defer s.store.SetUnresponsive(nil)
	retry.Sleep(ctx, fault.Duration/2)
	s.store.CompactHistory()
	record(&s.History, &s.HistoryLosses, fault.Kind)
	retry.Sleep(ctx, fault.Duration-fault.Duration/2)
}

// firstServer returns the first server, starting at the target of the fault, for which match
// returns true. It returns nil if there is none.
func (s *soak) firstServer(fault Fault, match func(*server) bool) *server {
	for range s.servers {
		if srv := s.targetServer(fault); match(srv) {
			return srv
		}
		fault.Target++
	}
	return nil
}

// restartServer crashes a running server and restarts it. The server may be draining.
func (s *soak) restartServer(ctx context.Context, fault Fault) {
	start := time.Now()
	var previous incarnation
	srv := s.firstServer(fault, func(srv *server) bool {
		previous = srv.current()
		return srv.crash(previous.key)
	})
	if srv == nil {
		s.progressf("        %s left out: no server runs", fault.Kind)
		return
	}
	defer s.recordDisturbance(Disturbance{Name: srv.name, From: start})
	if fault.Duration > rowTTL {
		retry.Sleep(ctx, rowTTL)
		srv.removeRow(previous)
	}
	retry.Sleep(ctx, time.Until(start.Add(fault.Duration)))
	s.restartCrashed(srv, fault)
	s.warming.Go(func() { s.awaitWarm(ctx, srv) })
	// The row of the previous ID expires, because its process no longer renews it.
	retry.Sleep(ctx, time.Until(start.Add(rowTTL)))
	srv.removeRow(previous)
}

// restartCrashed restarts a crashed server, unless its zone was lost in the meantime.
func (s *soak) restartCrashed(srv *server, fault Fault) {
	if err := srv.proxy.acceptAgain(); err != nil {
		s.progressf("server %s stays away: %v", srv.name, err)
		return
	}
	srv.mu.Lock()
	srv.crashed = false
	if !srv.lost {
		srv.draining = false
		key, startedAt := srv.nextIncarnation(fault.Kind)
		srv.startIncarnationLocked(key, startedAt, coldTime(fault))
		record(&s.History, &s.ServerStarts, fault.Kind)
	}
	srv.mu.Unlock()
	srv.writeRow()
}

// nextIncarnation returns the key of the next incarnation and its start time by the clock of the
// server. The caller holds mu.
func (srv *server) nextIncarnation(kind FaultKind) (key string, startedAt time.Time) {
	switch kind {
	case RenewServer:
		return fmt.Sprintf("%s-%d", srv.name, srv.starts+1), time.Now()
	case TurnBackServer:
		return srv.key, srv.startedAt.Add(-clockStepBack)
	default:
		return srv.key, time.Now()
	}
}

// coldTime returns how long a restarted server is cold.
func coldTime(fault Fault) time.Duration {
	if fault.Share < maxWarmShare {
		return 0
	}
	return coldStart
}

// rollNodes restarts several nodes one after the other.
func (s *soak) rollNodes(ctx context.Context, fault Fault) {
	for number := range min(maxRolledNodes, len(s.gateways)-1) {
		node := s.gateways[(fault.Target+number)%len(s.gateways)]
		from := time.Now()
		s.restart(ctx, node, syscall.SIGTERM, restartDelay)
		s.recordDisturbance(Disturbance{Name: node.id, From: from, Restart: true})
		if ctx.Err() != nil {
			return
		}
	}
}

// putForeignRow adds a row of another writer for a while. The row contains the address of a server
// that is not part of the system.
func (s *soak) putForeignRow(ctx context.Context, fault Fault) {
	rows := standin.InvalidEntries(s.foreignServer.address, s.zoneOf(fault.Target).name)
	key := fmt.Sprintf("foreign-%d", fault.After.Milliseconds())
	s.store.PutValue("servers", "", key, rows[fault.Target%len(rows)])
	s.progressf("        %s: %q under %s", fault.Kind, rows[fault.Target%len(rows)], key)
	record(&s.History, &s.ForeignRows, fault.Kind)
	retry.Sleep(ctx, fault.Duration)
	s.store.Remove("servers", key)
}

// overwriteServerRow overwrites the row of a server with one of another writer until the server
// writes its row again.
func (s *soak) overwriteServerRow(ctx context.Context, fault Fault) {
	var since time.Time
	var row []byte
	srv := s.firstServer(fault, func(srv *server) bool {
		rows := standin.InvalidEntries(srv.proxy.address(), srv.zone)
		row = rows[fault.Target%len(rows)]
		since = srv.overwrite(row)
		return !since.IsZero()
	})
	if srv == nil {
		s.progressf("        %s left out: no server has a row of its own", fault.Kind)
		return
	}
	s.progressf("        %s: %q for %s", fault.Kind, row, srv.name)
	record(&s.History, &s.ForeignRows, fault.Kind)
	retry.Sleep(ctx, fault.Duration)
	srv.restoreRow(since)
}

// overwrite replaces the row of the server by a value of another writer. It returns the time of the
// write, or the zero time if the server has no row of its own.
func (srv *server) overwrite(value []byte) time.Time {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.draining || srv.lost || srv.crashed || !srv.overwrittenSince.IsZero() {
		return time.Time{}
	}
	srv.store.PutValue("servers", "", srv.key, value)
	srv.overwrittenSince = time.Now()
	srv.updateOutageLocked()
	return srv.overwrittenSince
}

// restoreRow writes the row of the server again if it is still the one overwritten at since.
func (srv *server) restoreRow(since time.Time) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.overwrittenSince != since {
		return
	}
	srv.endOverwriteLocked()
	srv.writeRowLocked()
	srv.updateOutageLocked()
}
