// Package steward watches the replicas that this node is in charge of.
//
// Each replica has one steward: the live node of its zone with the highest
// rendezvous hash. The steward reads the replica's load report and cache
// events, feeds it batch work and sends digests of the report to the other
// nodes. For a moment two nodes may both take themselves for the steward; that
// costs a little batch work and nothing else, since orders are fenced
// elsewhere.
package steward

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/batch"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/fleet"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/membership"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

const (
	// loadInterval is the time between two reads of a replica's load report.
	loadInterval = 100 * time.Millisecond
	// assignInterval is how often the set of replicas is worked out.
	assignInterval = 250 * time.Millisecond
	// feedInterval is how often the room for batch is decided without a signal.
	feedInterval = 20 * time.Millisecond
	// eventRetry is the pause before a broken event stream is opened again.
	eventRetry = time.Second
	// unreachableAfter is how many failed load reads in a row mean that nothing
	// should be fed.
	unreachableAfter = 3
)

// Engines is what a steward needs of the engines.
type Engines interface {
	Load(ctx context.Context, base string) (engine.Load, error)
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
	peak       peakMeter
}

// New returns a steward; Run makes it watch.
func New(options Options) *Steward {
	s := &Steward{options: options, signal: make(chan struct{}, 1), mine: map[string]*charge{}}
	s.sending = newDigester(options)
	options.Transport.HandleDatagram(peer.KindOnlineNotice, s.takeNotice)
	options.Transport.HandleDatagram(peer.KindLoadDigest, s.takeDigest)
	return s
}

// Owner returns the id of the steward of a replica among the members.
func Owner(members []membership.Member, replica, zone string) string {
	owner := best(members, replica, zone)
	if owner == "" {
		owner = best(members, replica, "")
	}
	return owner
}

func best(members []membership.Member, replica, zone string) string {
	owner := ""
	var highest uint64
	for _, member := range members {
		if member.Status != membership.Alive && member.Status != membership.Suspect {
			continue
		}
		if zone != "" && member.Zone != zone {
			continue
		}
		weight := xxhash.Sum64String(member.ID + "\x00" + replica)
		if owner == "" || weight > highest {
			owner, highest = member.ID, weight
		}
	}
	return owner
}

// Run watches until the context ends.
func (s *Steward) Run(ctx context.Context) {
	assign := time.NewTicker(assignInterval)
	defer assign.Stop()
	feed := time.NewTicker(feedInterval)
	defer feed.Stop()
	s.assign(ctx)
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
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[string]machines.Machine{}
	for _, machine := range s.options.Registry.Replicas() {
		if Owner(members, machine.ID, machine.Zone) == s.options.Self {
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
		go s.watchLoad(watchCtx, held, machine)
		go s.watchCache(watchCtx, machine)
	}
}

func (s *Steward) watchLoad(ctx context.Context, held *charge, machine machines.Machine) {
	defer s.group.Done()
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		load, err := s.options.Engines.Load(ctx, machine.Address)
		if ctx.Err() != nil {
			return
		}
		s.takeLoad(held, machine.ID, load, err)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Steward) takeLoad(held *charge, id string, load engine.Load, err error) {
	now := time.Now()
	s.mu.Lock()
	if err != nil {
		held.failures++
		s.mu.Unlock()
		return
	}
	held.failures = 0
	held.known = true
	held.load = load
	online := load.RunningOnline + load.WaitingOnline
	held.peak.observe(now, online)
	if online > 0 {
		held.lastOnline = now
	}
	s.mu.Unlock()
	s.options.Registry.SetLoad(id, load, now)
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
func (s *Steward) OnlineSent(replica, zone string) {
	s.mu.Lock()
	held, mine := s.mine[replica]
	if mine {
		held.lastOnline = time.Now()
	}
	s.mu.Unlock()
	if mine {
		s.poke()
		return
	}
	s.sending.notice(replica, zone)
}

func (s *Steward) poke() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

func (s *Steward) takeNotice(_ string, body []byte) {
	var message onlineNotice
	if peer.Decode(body, &message) != nil {
		return
	}
	s.mu.Lock()
	held, mine := s.mine[message.Replica]
	if mine {
		held.lastOnline = time.Now()
	}
	s.mu.Unlock()
	if mine {
		s.poke()
	}
}

// feed decides the room for batch on every replica in charge.
func (s *Steward) feed(now time.Time) {
	s.mu.Lock()
	feeds := make([]batch.Feed, 0, len(s.mine))
	for id, held := range s.mine {
		feeds = append(feeds, batch.Feed{
			ID: id, Address: held.machine.Address, Model: held.load.Model, Room: s.room(held, now),
		})
	}
	s.mu.Unlock()
	s.options.Feed(feeds)
}

// onlineWindow is how long a sign of online work counts as an open request:
// until the lagging load report must show it.
const onlineWindow = 400 * time.Millisecond

func (s *Steward) room(held *charge, now time.Time) batch.Room {
	load := held.load
	serving := held.known && held.failures < unreachableAfter && load.State == engine.StateReady
	leaving := held.machine.State == machines.Leaving
	if !serving || leaving || load.Role == engine.RoleOnline {
		return batch.Room{}
	}
	online := load.RunningOnline + load.WaitingOnline
	quiet := now.Sub(held.lastOnline)
	if quiet < onlineWindow && online == 0 {
		online = 1
	}
	return batch.DecideRoom(s.options.Policy(held.machine.Pool), batch.Signal{
		Slots: load.MaxSequences, Online: online, Quiet: quiet, Peak: held.peak.value(now),
	})
}
