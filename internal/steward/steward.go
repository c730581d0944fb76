// Package steward watches the replicas that this node is in charge of.
//
// Each replica has one steward: the live node of its zone with the highest
// rendezvous weight that is not full yet, see ownership. The steward reads the replica's load report and cache
// events, feeds it batch work and sends digests of the report to the other
// nodes. For a moment two nodes may both take themselves for the steward; that
// costs a little batch work and nothing else, since orders are fenced
// elsewhere.
package steward

import (
	"context"
	"sync"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/batch"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/fleet"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/membership"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

const (
	// loadInterval is the least time between two load reports of a replica;
	// loadPerCharge times the replicas in charge, if longer, bounds what a node
	// with many of them reads.
	loadInterval  = 200 * time.Millisecond
	loadPerCharge = 100 * time.Millisecond
	// loadRetry is the pause before a broken report stream is opened again.
	loadRetry = 250 * time.Millisecond
	// assignInterval is how often the set of replicas is worked out.
	assignInterval = 250 * time.Millisecond
	// feedInterval is how often the room for batch is decided without a signal;
	// giving way does not wait for it, only filling up does.
	feedInterval = 50 * time.Millisecond
	// eventRetry is the pause before a broken event stream is opened again.
	eventRetry = time.Second
	// unreachableAfter is how many report streams in a row must fail before
	// nothing is fed any more.
	unreachableAfter = 2
)

// Engines is what a steward needs of the engines.
type Engines interface {
	WatchLoad(ctx context.Context, base string, interval time.Duration, handle func(engine.Load)) error
	CacheEvents(ctx context.Context, base string, handle func(engine.CacheEvent)) error
}

// Options configures a Steward.
type Options struct {
	Self      string
	Zone      string
	Registry  *fleet.Registry
	Index     *fleet.PrefixIndex
	Engines   Engines
	Transport *peer.Transport
	Members   func() []membership.Member
	// Delegates returns the ids of a zone's delegates.
	Delegates func(zone string) []string
	// Policy returns the batch policy of a pool.
	Policy func(pool string) v1.BatchPolicy
	// Feed takes the replicas to feed with batch work and their room.
	Feed func([]batch.Feed)
}

// Steward is safe for concurrent use.
type Steward struct {
	options Options
	signal  chan struct{}
	group   sync.WaitGroup

	mu      sync.Mutex
	mine    map[string]*charge
	owners  *ownership
	sending *digester
}

// charge is a replica in this node's care.
type charge struct {
	machine  machines.Machine
	cancel   context.CancelFunc
	load     engine.Load
	known    bool
	failures int
	// lastOnline is when online work was last seen, by any sign.
	lastOnline time.Time
	peak       fleet.PeakMeter
}

// New returns a steward; Run makes it watch.
func New(options Options) *Steward {
	s := &Steward{options: options, signal: make(chan struct{}, 1), mine: map[string]*charge{}, owners: newOwnership()}
	s.sending = newDigester(options)
	options.Transport.HandleDatagram(peer.KindOnlineNotice, s.takeNotice)
	options.Transport.HandleDatagram(peer.KindLoadDigest, s.takeDigest)
	options.Transport.Handle(peer.KindLoadReports, s.answerReports)
	return s
}

// Run watches until the context ends.
func (s *Steward) Run(ctx context.Context) {
	assign := time.NewTicker(assignInterval)
	defer assign.Stop()
	feed := time.NewTicker(feedInterval)
	defer feed.Stop()
	s.assign(ctx)
	s.group.Add(1)
	go s.pullLoop(ctx)
	for {
		select {
		case <-ctx.Done():
			s.options.Feed(nil)
			s.group.Wait()
			return
		case <-assign.C:
			s.assign(ctx)
			s.sending.send(time.Now(), s.loads())
		case <-feed.C:
			s.feed(time.Now())
		case <-s.signal:
			s.feed(time.Now())
		}
	}
}

// assign takes charge of the replicas this node is the steward of.
func (s *Steward) assign(ctx context.Context) {
	members := s.options.Members()
	if s.owners.current(members, s.options.Registry.Version()) {
		return
	}
	replicas, version := s.options.Registry.Replicas()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owners.reset(members, replicas, version) {
		return
	}
	wanted := map[string]machines.Machine{}
	for _, machine := range replicas {
		if s.owners.of(machine.ID) == s.options.Self {
			wanted[machine.ID] = machine
		}
	}
	for id, held := range s.mine {
		if machine, ok := wanted[id]; !ok || machine.Address != held.machine.Address {
			held.cancel()
			delete(s.mine, id)
		}
	}
	for id, machine := range wanted {
		if held, ok := s.mine[id]; ok {
			held.machine = machine
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		held := &charge{machine: machine, cancel: cancel}
		s.mine[id] = held
		s.group.Add(2)
		go s.watchLoad(watchCtx, held, machine, max(loadInterval, time.Duration(len(wanted))*loadPerCharge))
		go s.watchCache(watchCtx, machine)
	}
}

func (s *Steward) watchLoad(ctx context.Context, held *charge, machine machines.Machine, interval time.Duration) {
	defer s.group.Done()
	for ctx.Err() == nil {
		_ = s.options.Engines.WatchLoad(ctx, machine.Address, interval, func(load engine.Load) {
			s.takeLoad(held, machine.ID, load)
		})
		s.mu.Lock()
		held.failures++
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(loadRetry):
		}
	}
}

func (s *Steward) takeLoad(held *charge, id string, load engine.Load) {
	now := time.Now()
	online := load.RunningOnline + load.WaitingOnline
	s.mu.Lock()
	held.failures = 0
	held.known = true
	held.load = load
	held.peak.Observe(now, online)
	if online > 0 {
		held.lastOnline = now
	}
	s.mu.Unlock()
	s.options.Registry.SetLoad(id, load)
}

// watchCache keeps the prefix index of a replica. After a gap in the events
// what was believed is dropped.
func (s *Steward) watchCache(ctx context.Context, machine machines.Machine) {
	defer s.group.Done()
	var last uint64
	for ctx.Err() == nil {
		_ = s.options.Engines.CacheEvents(ctx, machine.Address, func(event engine.CacheEvent) {
			if last != 0 && event.Sequence != last+1 {
				s.options.Index.Clear(machine.ID)
			}
			last = event.Sequence
			s.options.Index.Add(machine.ID, event.Stored)
			s.options.Index.Remove(machine.ID, event.Removed)
		})
		select {
		case <-ctx.Done():
		case <-time.After(eventRetry):
		}
	}
}

// loads returns the reports of the replicas in charge.
func (s *Steward) loads() map[string]engine.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := make(map[string]engine.Load, len(s.mine))
	for id, held := range s.mine {
		if held.known && held.failures == 0 {
			loads[id] = held.load
		}
	}
	return loads
}

// OnlineSent tells that this node sends an online request to a replica. The
// replica's steward hears of it at once, wherever it is.
func (s *Steward) OnlineSent(replica string) {
	if s.sawOnline(replica) {
		return
	}
	s.mu.Lock()
	owner := s.owners.address(s.owners.of(replica))
	s.mu.Unlock()
	s.sending.notice(replica, owner)
}

// sawOnline makes batch give way at a replica in this node's care; it reports
// false for any other.
func (s *Steward) sawOnline(replica string) bool {
	s.mu.Lock()
	held, mine := s.mine[replica]
	if mine {
		held.lastOnline = time.Now()
	}
	s.mu.Unlock()
	if mine {
		s.poke()
	}
	return mine
}

func (s *Steward) poke() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

func (s *Steward) takeNotice(_ string, body []byte) {
	var message onlineNotice
	if peer.Decode(body, &message) == nil {
		s.sawOnline(message.Replica)
	}
}

// feed decides the room for batch on every replica in charge.
func (s *Steward) feed(now time.Time) {
	reserved := s.options.Registry.View(now).Reserved
	s.mu.Lock()
	feeds := make([]batch.Feed, 0, len(s.mine))
	for id, held := range s.mine {
		feeds = append(feeds, batch.Feed{
			ID: id, Address: held.machine.Address, Model: held.load.Model, Room: s.room(held, reserved[id], now),
		})
	}
	s.mu.Unlock()
	s.options.Feed(feeds)
}

// onlineWindow is how long a sign of online work counts as an open request:
// until the lagging load report must show it.
const onlineWindow = 400 * time.Millisecond

func (s *Steward) room(held *charge, reserved bool, now time.Time) batch.Room {
	load := held.load
	serving := held.known && held.failures < unreachableAfter && load.State == engine.StateReady
	leaving := held.machine.State == machines.Leaving
	if !serving || leaving || load.Role == engine.RoleOnline {
		return batch.NoRoom
	}
	online := load.RunningOnline + load.WaitingOnline
	quiet := now.Sub(held.lastOnline)
	if quiet < onlineWindow && online == 0 {
		online = 1
	}
	return batch.DecideRoom(s.options.Policy(held.machine.Pool), batch.Signal{
		Slots: load.MaxSequences, Online: online, Quiet: quiet, Peak: held.peak.Value(now), Reserved: reserved,
	})
}
