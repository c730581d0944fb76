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

// Credentials that are valid on every site.
const (
	TenantKey   = "lab-tenant-key"
	TenantName  = "lab"
	OperatorKey = "lab-operator-key"
)

// Config describes a site to start.
type Config struct {
	Profile profile.Profile
	Nodes   int
	// Listen is the host:port of the first node. The other nodes use the ports that follow. With
	// port 0 all nodes use free loopback ports.
	Listen   string
	Seed     uint64
	Recorder *history.Recorder
	// Processes runs each node as a separate process of the current executable.
	Processes bool
	// Log receives the logs of in-process nodes. If nil, they are discarded.
	Log io.Writer
	// Policy, if set, replaces the batch policy of the profile.
	Policy *v1.BatchPolicy
}

// Site runs the stand-ins, engines and nodes of one deployment.
type Site struct {
	config   Config
	Platform *Platform

	balancer     *balancer
	stopBalancer context.CancelFunc

	mu      sync.Mutex
	engines []*Engine
	nodes   []*Node
	cutOff  map[string]bool
}

// readyTimeout limits the time until a site is ready if the context of the caller has no deadline.
const readyTimeout = 2 * time.Minute

// Start starts a site, applies its initial resources and returns when all nodes serve and have
// converged. The context limits the start, not the lifetime of the site. If the process of a node
// exits before the site is ready, the error wraps an ExitError.
func Start(ctx context.Context, config Config) (*Site, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, readyTimeout)
		defer cancel()
	}
	platform, err := StartPlatform(config.Seed, config.Recorder)
	if err != nil {
		return nil, err
	}
	s := &Site{config: config, Platform: platform, cutOff: map[string]bool{}, balancer: newBalancer()}
	balanceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.stopBalancer = cancel
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	s.balancer.probe(balanceCtx, s)
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
	ctx, cancel := s.withCancelOnExit(ctx)
	defer cancel()
	if err := s.applyResources(ctx); err != nil {
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

// StartEngine starts an engine and adds its machine to the machine list. Readers of the list see it
// at once, without MachineLag.
func (s *Site) StartEngine(id, zone, generation string) (*Engine, error) {
	hardware := emulator.Newer
	if generation == emulator.Older.Name {
		hardware = emulator.Older
	}
	s.mu.Lock()
	index := uint64(len(s.engines))
	s.mu.Unlock()
	engine, err := StartEngine(emulator.EngineConfig{
		Replica: id, Model: s.config.Profile.Model, Version: s.config.Profile.Version, Generation: hardware,
		LoadLag: LoadLag,
		Weights: s.Platform.WeightStore(), Recorder: s.config.Recorder, Seed: s.config.Seed + index,
	}, zone)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.engines = append(s.engines, engine)
	s.mu.Unlock()
	s.Platform.Machines.Add(machines.Machine{
		ID: id, Role: machines.RoleEngine, Zone: zone, Region: s.config.Profile.Region,
		Generation: generation, State: machines.Live, Address: engine.URL, Pool: s.config.Profile.Pool,
	})
	return engine, nil
}

// Engines returns all engines that were started, including those that were killed.
func (s *Site) Engines() []*Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Engine(nil), s.engines...)
}

// Nodes returns the nodes of the site by slot, including those that do not run.
func (s *Site) Nodes() []*Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Node(nil), s.nodes...)
}

// URLs returns the base URLs of the running nodes.
func (s *Site) URLs() []string {
	var urls []string
	for _, n := range s.Nodes() {
		if n.Running() {
			urls = append(urls, n.URL())
		}
	}
	return urls
}

// Node is a node of the site, run in this process or in one of its own. It keeps its slot, ID and
// address across restarts.
type Node struct {
	Slot     int
	ID       string
	Zone     string
	settings *settings.Settings
	recorder *history.Recorder

	mu        sync.Mutex
	inProcess *node.Node
	process   *process
}

// URL returns the base URL of the node.
func (n *Node) URL() string { return "http://" + n.settings.Node.Listen }

// InProcess returns the running node, or nil if it is stopped or runs as a process.
func (n *Node) InProcess() *node.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inProcess
}

// Running reports whether the node was started and not stopped by Kill or Drain since.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inProcess != nil || n.process != nil
}

// StartNode starts or restarts the node of a slot. It does not wait until the node is ready.
func (s *Site) StartNode(ctx context.Context, slot int) (*Node, error) {
	n, err := s.node(slot)
	if err != nil {
		return nil, err
	}
	s.config.Recorder.Record(history.Event{Source: "lab", Type: history.NodeStarted, Detail: n.ID})
	if s.config.Processes {
		return n, n.startProcess(ctx)
	}
	output := s.config.Log
	if output == nil {
		output = io.Discard
	}
	inProcess, err := node.Start(ctx, n.settings, node.Options{
		Log: zerolog.New(output).With().Timestamp().Logger(),
		Cut: func() bool { return s.isCutOff(n.Zone) },
		OnApplied: func(revision uint64) {
			s.config.Recorder.Record(history.Event{
				Source: "node/" + n.ID, Type: history.ConfigApplied, Revision: revision,
			})
		},
	})
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.inProcess = inProcess
	n.mu.Unlock()
	return n, nil
}

// node returns the node of a slot and creates it on first use.
func (s *Site) node(slot int) (*Node, error) {
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
	n := &Node{
		Slot: slot, ID: id, Zone: zone, recorder: s.config.Recorder,
		settings: s.nodeSettings(id, zone, listen),
	}
	s.nodes = append(s.nodes, n)
	s.Platform.Machines.Add(machines.Machine{
		ID: id, Role: machines.RoleNode, Zone: zone, Region: s.config.Profile.Region,
		State: machines.Live, Address: listen,
	})
	return n, nil
}

// nodeAddress returns the address of the node of a slot, given the address of the first node.
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

// SetCutOff starts or ends a network partition between the in-process nodes of a zone and the table.
func (s *Site) SetCutOff(zone string, cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff[zone] = cutOff
}

func (s *Site) isCutOff(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutOff[zone]
}

// Close kills all nodes and engines and stops the stand-ins.
func (s *Site) Close() {
	s.stopBalancer()
	var group sync.WaitGroup
	for _, n := range s.Nodes() {
		group.Add(1)
		go func() {
			defer group.Done()
			n.Kill()
		}()
	}
	group.Wait()
	for _, engine := range s.Engines() {
		engine.Kill()
	}
	_ = s.Platform.Close()
}

// awaitReady waits until all running nodes are ready and have converged.
func (s *Site) awaitReady(ctx context.Context) error {
	for _, n := range s.Nodes() {
		if !n.Running() {
			continue
		}
		if err := s.await(ctx, n, s.ready); err != nil {
			return err
		}
		if err := s.await(ctx, n, s.converged); err != nil {
			return err
		}
	}
	return nil
}

// LiveEngines returns the engines that were neither killed nor marked as leaving.
func (s *Site) LiveEngines() []*Engine {
	var live []*Engine
	for _, engine := range s.Engines() {
		if !engine.retired.Load() {
			live = append(live, engine)
		}
	}
	return live
}

// KillEngine kills an engine and removes its machine from the machine list. Readers of the list see
// the removal after MachineLag.
func (s *Site) KillEngine(engine *Engine) {
	engine.retired.Store(true)
	engine.Kill()
	s.config.Recorder.Record(history.Event{Source: "lab", Type: history.EngineDied, Replica: engine.ID})
	s.Platform.Machines.Remove(engine.ID)
}

// ReplaceEngine starts a new engine in the zone and of the hardware generation of old. It does not
// stop old.
func (s *Site) ReplaceEngine(old *Engine) error {
	s.mu.Lock()
	id := fmt.Sprintf("replica-%02d", len(s.engines))
	s.mu.Unlock()
	_, err := s.StartEngine(id, old.Zone, old.Generation)
	return err
}

// SetEngineState changes the state of an engine in the machine list. Readers of the list see the
// change after MachineLag.
func (s *Site) SetEngineState(engine *Engine, state machines.State) {
	if state == machines.Leaving {
		engine.retired.Store(true)
	}
	s.Platform.Machines.Set(machines.Machine{
		ID: engine.ID, Role: machines.RoleEngine, Zone: engine.Zone, Region: s.config.Profile.Region,
		Generation: engine.Generation, State: state, Address: engine.URL, Pool: s.config.Profile.Pool,
	})
}
