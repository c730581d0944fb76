package node

import (
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/batch"
	"github.com/wheelhoist/wheelhoist/internal/inventory"
	"github.com/wheelhoist/wheelhoist/internal/placement"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/resource"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// staleConfigurationAge is the time without a response of the table after which a node no
	// longer presents its view of the configuration as current.
	staleConfigurationAge = 3 * time.Second
	// servingAttempts bounds the replicas that one online request may run on.
	servingAttempts = 4
	// servingObjective and servingGap are the times to the first event and between two events after
	// which a replica counts as unresponsive.
	servingObjective = time.Second
	servingGap       = 250 * time.Millisecond
	// defaultQueueTimeout is the longest time that a request waits for free capacity.
	defaultQueueTimeout = 2 * time.Second
	// itemAttempts bounds the attempts of an item that replicas report as failed.
	itemAttempts = 3
	// servingCrossZone is how much longer a request may wait in order to stay in its zone.
	servingCrossZone = 2 * time.Millisecond
	// servingReserve is the share of a pool's slots, those of its fastest replicas, that batch
	// items leave free if the pool declares no headroom.
	servingReserve = 0.35
)

func servingWeights() replica.Weights {
	return replica.Weights{CrossZone: servingCrossZone}
}

// routesOf converts the declared pools to routes. Each model, and each adapter of a model, has one
// route for online requests and one for batch items.
func routesOf(snapshot *resource.Snapshot) *route.Config {
	config := &route.Config{Version: snapshot.Revision}
	byHost := map[string]*route.Route{}
	for _, entry := range snapshot.List(v1.KindModelPool) {
		spec, ok := entry.Spec.(*v1.ModelPoolSpec)
		if !ok {
			continue
		}
		addPool(config, byHost, entry.Change.Name, spec, queueTimeout(snapshot))
	}
	return config
}

func addPool(config *route.Config, byHost map[string]*route.Route, pool string, spec *v1.ModelPoolSpec, maxWait time.Duration) {
	for _, adapter := range append([]string{""}, spec.Adapters...) {
		model := spec.Model
		if adapter != "" {
			model += ":" + adapter
		}
		online := &route.Route{
			Name: model, Host: model, Prefix: "/", Kind: route.Stream, Resumable: true,
			MaxAttempts: servingAttempts, MaxWait: maxWait, Objective: servingObjective, Gap: servingGap, Adapter: adapter,
		}
		items := &route.Route{
			Name: batch.RouteOf(model), Host: batch.RouteOf(model), Prefix: "/", Kind: route.Batch,
			MaxAttempts: itemAttempts, Adapter: adapter, Reserve: spec.Batch.Headroom,
		}
		if spec.Batch.Headroom == 0 {
			items.Reserve = servingReserve
		}
		for _, declared := range []*route.Route{online, items} {
			existing := byHost[declared.Host]
			if existing == nil {
				byHost[declared.Host], existing = declared, declared
				config.Routes = append(config.Routes, declared)
			}
			existing.Shares = append(existing.Shares, route.Share{Pool: pool, Weight: 1})
		}
	}
}

func queueTimeout(snapshot *resource.Snapshot) time.Duration {
	for _, entry := range snapshot.List(v1.KindSitePolicy) {
		if spec, ok := entry.Spec.(*v1.SitePolicySpec); ok && spec.QueueTimeout > 0 {
			return time.Duration(spec.QueueTimeout)
		}
	}
	return defaultQueueTimeout
}

// evacuationsOf returns the zones that are declared evacuated, with the revisions of their
// declarations.
func evacuationsOf(snapshot *resource.Snapshot) map[string]uint64 {
	versions := map[string]uint64{}
	for _, entry := range snapshot.List(v1.KindEvacuation) {
		versions[entry.Change.Name] = entry.Change.Revision
	}
	return versions
}

// configApplied puts the evacuations and routes of a new revision in force and wakes announceLoop.
func (n *Node) configApplied(revision uint64) {
	// Evacuations come first: no request is sent before there are routes.
	n.setEvacuations(evacuationsOf(n.resources.Snapshot()), revision)
	n.replaceRoutes(routesOf(n.resources.Snapshot()), revision)
	if n.options.OnApplied != nil {
		n.options.OnApplied(revision)
	}
	select {
	case n.applied <- struct{}{}:
	default:
	}
}

// configurationCurrent reports whether this node's view of the configuration is up to date.
func (n *Node) configurationCurrent() bool {
	return n.configWatch.Ready() && n.configWatch.Age() < staleConfigurationAge
}

// hasConfiguration reports whether this node knows enough to serve requests.
func (n *Node) hasConfiguration() bool {
	return n.joined.Load() && n.configWatch.Ready() && n.replicaWatch.Ready() && n.jobWatch.Ready()
}

// applyReplicas applies changes of the replica list.
func (n *Node) applyReplicas(changes table.Changes, whole bool) {
	for _, change := range changes.Changes {
		listed, ok := n.inventory.Apply(change)
		if !ok && !change.Removed {
			_, err := inventory.Decode(change.Row)
			n.retireReplica(change.Row, err)
			continue
		}
		if !ok {
			n.removeReplica(change.Sort, change.Version, whole)
			continue
		}
		n.putReplica(listed.Info(listed.ID), listed.Version, whole)
	}
	if whole {
		n.logReplicaList(changes.Revision)
	}
}

// placementReplicas returns the replicas in the form that the placement planner uses.
func (n *Node) placementReplicas() []placement.Replica {
	var replicas []placement.Replica
	for _, listed := range n.inventory.List() {
		replicas = append(replicas, placement.Replica{
			ID: listed.ID, Address: listed.Address, Zone: listed.Zone, Pool: listed.Pool,
			Generation: listed.Generation, State: listed.State, Reported: listed.Reported(),
			Version: listed.Entry.Version, Adapters: listed.Adapters, Role: listed.Role, Fence: listed.Fence,
		})
	}
	return replicas
}
