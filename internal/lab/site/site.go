package site

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/lab/emulator"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/lab/port"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/node"
	"github.com/wheelhoist/wheelhoist/internal/settings"
)

// Credentials of every lab site.
const (
	TenantKey   = "lab-tenant-key"
	TenantName  = "lab"
	OperatorKey = "lab-operator-key"
)

// Config describes a site to start.
type Config struct {
	Profile profile.Profile
	Nodes   int
	// Listen is host:port of the first node; the next ones take the next ports.
	// Port 0 chooses free ones.
	Listen   string
	Seed     uint64
	Recorder *history.Recorder
	// Processes runs the nodes as real processes of this program.
	Processes bool
	// Log takes the logs of in-process nodes; nil drops them.
	Log io.Writer
	// Policy, when set, replaces the profile's batch policy.
	Policy *v1.BatchPolicy
}

// Site is a running site.
type Site struct {
	config   Config
	Platform *Platform

	balancer *balancer
	stop     context.CancelFunc

	mu      sync.Mutex
	engines []*Engine
	nodes   []*Member
	cut     map[string]bool
}

// readyLimit is how long a site may take to serve where the caller's context has no
// end: 400 times the 0.3 s that one of two nodes took, and an end for runs that nobody
// looks at.
const readyLimit = 2 * time.Minute

// Start starts a site and applies its resources. It returns once all nodes
// serve with the declared state in force; the context bounds the wait for that, not
// the life of the site. A node's process that ends meanwhile is an EndedError.
func Start(ctx context.Context, config Config) (*Site, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, readyLimit)
		defer cancel()
	}
	platform, err := StartPlatform(config.Seed, config.Recorder)
	if err != nil {
		return nil, err
	}
	s := &Site{config: config, Platform: platform, cut: map[string]bool{}, balancer: newBalancer()}
	balanceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.stop = cancel
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	s.balancer.look(balanceCtx, s)
	go s.balancer.run(balanceCtx, s)
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	model := s.config.Profile.Model
	for _, version := range []string{s.config.Profile.Version, "v2", "v3"} {
		s.Platform.SeedWeights(model, version)
	}
	if err := s.startEngines(); err != nil {
		return err
	}
	for i := range s.config.Nodes {
		if _, err := s.StartNode(ctx, i); err != nil {
			return err
		}
	}
	ctx, cancel := s.whileRunning(ctx)
	defer cancel()
	if err := s.declare(ctx); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

func (s *Site) startEngines() error {
	count := 0
	for _, group := range s.config.Profile.Replicas {
		for range group.Count {
			if _, err := s.StartEngine(fmt.Sprintf("replica-%02d", count), group.Zone, group.Generation); err != nil {
				return err
			}
			count++
		}
	}
	return nil
}

// StartEngine starts a replica and lists its machine at once.
func (s *Site) StartEngine(id, zone, generation string) (*Engine, error) {
	hardware := emulator.Newer
	if generation == emulator.Older.Name {
		hardware = emulator.Older
	}
	s.mu.Lock()
	order := uint64(len(s.engines))
	s.mu.Unlock()
	started, err := StartEngine(emulator.EngineConfig{
		Replica: id, Model: s.config.Profile.Model, Version: s.config.Profile.Version, Generation: hardware,
		LoadLag: LoadLag,
		Weights: s.Platform.WeightStore(), Recorder: s.config.Recorder, Seed: s.config.Seed + order,
	}, zone)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.engines = append(s.engines, started)
	s.mu.Unlock()
	s.Platform.Machines.Add(machines.Machine{
		ID: id, Role: machines.RoleEngine, Zone: zone, Region: s.config.Profile.Region,
		Generation: generation, State: machines.Live, Address: started.URL, Pool: s.config.Profile.Pool,
	})
	return started, nil
}

// Engines returns the engines started so far.
func (s *Site) Engines() []*Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Engine(nil), s.engines...)
}

// Nodes returns the members started so far, one a slot.
func (s *Site) Nodes() []*Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Member(nil), s.nodes...)
}

// URLs returns the base URLs of the nodes that run.
func (s *Site) URLs() []string {
	var urls []string
	for _, member := range s.Nodes() {
		if member.Running() {
			urls = append(urls, member.URL())
		}
	}
	return urls
}

// Member is one node of the site, whichever way it runs.
type Member struct {
	Slot     int
	ID       string
	Zone     string
	settings *settings.Settings
	recorder *history.Recorder

	mu      sync.Mutex
	inner   *node.Node
	process *process
}

// URL returns the node's base URL.
func (m *Member) URL() string { return "http://" + m.settings.Node.Listen }

// Inner returns the in-process node, or nil.
func (m *Member) Inner() *node.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inner
}

// Running reports whether the node runs.
func (m *Member) Running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inner != nil || m.process != nil
}

// StartNode starts the node of a slot, for the first time or again.
func (s *Site) StartNode(ctx context.Context, slot int) (*Member, error) {
	member, err := s.member(slot)
	if err != nil {
		return nil, err
	}
	s.config.Recorder.Record(history.Event{Source: "lab", Type: history.NodeStarted, Detail: member.ID})
	if s.config.Processes {
		return member, member.startProcess(ctx)
	}
	output := s.config.Log
	if output == nil {
		output = io.Discard
	}
	inner, err := node.Start(ctx, member.settings, node.Options{
		Log: zerolog.New(output).With().Timestamp().Logger(),
		Cut: func() bool { return s.cutOff(member.Zone) },
		OnApplied: func(revision uint64) {
			s.config.Recorder.Record(history.Event{
				Source: "node/" + member.ID, Type: history.ConfigApplied, Revision: revision,
			})
		},
	})
	if err != nil {
		return nil, err
	}
	member.mu.Lock()
	member.inner = inner
	member.mu.Unlock()
	return member, nil
}

// member returns the member of a slot, made on first use.
func (s *Site) member(slot int) (*Member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot < len(s.nodes) {
		return s.nodes[slot], nil
	}
	zones := s.config.Profile.Zones
	id := fmt.Sprintf("node-%d", slot)
	listen, err := nodeAddress(s.config.Listen, slot)
	if err != nil {
		return nil, err
	}
	zone := zones[slot%len(zones)]
	member := &Member{
		Slot: slot, ID: id, Zone: zone, recorder: s.config.Recorder,
		settings: s.nodeSettings(id, zone, listen),
	}
	s.nodes = append(s.nodes, member)
	s.Platform.Machines.Add(machines.Machine{
		ID: id, Role: machines.RoleNode, Zone: zone, Region: s.config.Profile.Region,
		State: machines.Live, Address: listen,
	})
	return member, nil
}

func nodeAddress(listen string, slot int) (string, error) {
	host, portText, err := net.SplitHostPort(listen)
	if err != nil {
		return "", Error.Wrap(err)
	}
	first, err := strconv.Atoi(portText)
	if err != nil {
		return "", Error.Wrap(err)
	}
	if first == 0 {
		return port.Free()
	}
	return net.JoinHostPort(host, strconv.Itoa(first+slot)), nil
}

func (s *Site) nodeSettings(id, zone, listen string) *settings.Settings {
	endpoints := s.Platform.Endpoints()
	config := &settings.Settings{
		Node: settings.Node{ID: id, Zone: zone, Region: s.config.Profile.Region, Listen: listen},
		Platform: settings.Platform{
			Table:    settings.TableService{Endpoint: endpoints.Table, Table: tableName, AccessKey: labAccessKey, SecretKey: labSecretKey},
			Objects:  settings.ObjectStore{Endpoint: endpoints.Objects, Bucket: bucketName, AccessKey: labAccessKey, SecretKey: labSecretKey},
			Machines: settings.MachineList{URL: endpoints.Machines},
		},
		Operator: settings.Operator{KeySHA256: v1.HashKey(OperatorKey)},
	}
	config.ApplyDefaults()
	return config
}

// Cut cuts a zone's nodes off from the table, or heals the cut.
func (s *Site) Cut(zone string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[zone] = cut
}

func (s *Site) cutOff(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[zone]
}

// Close stops everything.
func (s *Site) Close() {
	s.stop()
	var group sync.WaitGroup
	for _, member := range s.Nodes() {
		group.Add(1)
		go func() {
			defer group.Done()
			member.Kill()
		}()
	}
	group.Wait()
	for _, one := range s.Engines() {
		one.Kill()
	}
	_ = s.Platform.Close()
}

// awaitReady waits until all running nodes serve and see the declared pool, or the
// context ends.
func (s *Site) awaitReady(ctx context.Context) error {
	for _, member := range s.Nodes() {
		if !member.Running() {
			continue
		}
		if err := s.await(ctx, member, s.ready); err != nil {
			return err
		}
		if err := s.await(ctx, member, s.settled); err != nil {
			return err
		}
	}
	return nil
}

// LiveEngines returns the engines that run and are not leaving.
func (s *Site) LiveEngines() []*Engine {
	var live []*Engine
	for _, one := range s.Engines() {
		if !one.gone.Load() {
			live = append(live, one)
		}
	}
	return live
}

// KillEngine kills an engine; its machine leaves the list after the lag.
func (s *Site) KillEngine(victim *Engine) {
	victim.gone.Store(true)
	victim.Kill()
	s.config.Recorder.Record(history.Event{Source: "lab", Type: history.EngineDied, Replica: victim.ID})
	s.Platform.Machines.Remove(victim.ID)
}

// ReplaceEngine starts a new engine like a given one.
func (s *Site) ReplaceEngine(old *Engine) error {
	s.mu.Lock()
	id := fmt.Sprintf("replica-%02d", len(s.engines))
	s.mu.Unlock()
	_, err := s.StartEngine(id, old.Zone, old.Generation)
	return err
}

// SetEngineState changes an engine's state on the machine list, after the lag.
func (s *Site) SetEngineState(one *Engine, state machines.State) {
	if state == machines.Leaving {
		one.gone.Store(true)
	}
	s.Platform.Machines.Set(machines.Machine{
		ID: one.ID, Role: machines.RoleEngine, Zone: one.Zone, Region: s.config.Profile.Region,
		Generation: one.Generation, State: state, Address: one.URL, Pool: s.config.Profile.Pool,
	})
}
