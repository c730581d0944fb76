package soak

import (
	"context"
	"fmt"
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
	store      *standin.Store
	proxy      *proxy

	// mu guards what follows, and is held while the row is written.
	mu sync.Mutex
	// key is that of its row, which changes with each start.
	key    string
	starts int
	// leaves is set once the server was told to leave, lost while it does not run, crashed
	// while a request has ended its process.
	leaves, lost, crashed bool
}

func (s *soak) addServer(name string, at *zone) error {
	one := &server{
		Server: &standin.Server{ID: name, Events: answerSize, EventTime: eventTime},
		name:   name, key: name, zone: at.name, store: s.store,
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
	s.ServerZones[name] = at.name
	one.list()
	return nil
}

// list writes the server's row as it is now, if it runs and stays.
func (one *server) list() {
	one.mu.Lock()
	defer one.mu.Unlock()
	if !one.leaves && !one.lost && !one.crashed {
		one.store.Put("servers", one.key, standin.ColdListing(one.proxy.address(), one.zone, serverSlots, one.ColdLeft()))
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
	one.store.Put("servers", one.key, standin.Listing(one.proxy.address(), one.zone, serverSlots, true))
	return true
}

// unlist drops the server's row.
func (one *server) unlist() {
	one.mu.Lock()
	defer one.mu.Unlock()
	one.store.Remove("servers", one.key)
}

// lose has the server answer nobody; its row lapses.
func (one *server) lose(ctx context.Context) {
	one.mu.Lock()
	one.lost = true
	one.mu.Unlock()
	one.proxy.set(Resets)
	retry.Sleep(ctx, lapse)
	one.unlist()
}

// start has a lost server be there again, as one that has just started.
func (one *server) start() {
	one.mu.Lock()
	one.starts++
	one.key, one.lost = fmt.Sprintf("%s-%d", one.name, one.starts), false
	one.Restart(one.key, coldStart)
	one.mu.Unlock()
	one.proxy.set(Clear)
	one.list()
}

// chill has a server turn cold, and say so, until it is warm again.
func (s *soak) chill(ctx context.Context, one *server, length time.Duration) {
	one.Chill(length)
	one.list()
	for left := length; left > 0; left = one.ColdLeft() {
		retry.Sleep(ctx, left)
		if ctx.Err() != nil {
			return
		}
	}
	one.list()
}

// drain lists a server as draining until it leaves. Only in calm the promise counts.
func (s *soak) drain(ctx context.Context, one *server, calm bool) {
	if !one.leave() {
		return
	}
	if calm {
		record(&s.History, &s.Drains, Drain{Server: one.name, At: time.Now()})
	}
	retry.Sleep(ctx, drainLife)
	one.unlist()
}
