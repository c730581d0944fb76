package node

import (
	"net/http"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/admission"
	"github.com/wheelhoist/wheelhoist/internal/batch"
	"github.com/wheelhoist/wheelhoist/internal/dispatch"
	"github.com/wheelhoist/wheelhoist/internal/fleet"
	"github.com/wheelhoist/wheelhoist/internal/idempotency"
	"github.com/wheelhoist/wheelhoist/internal/membership"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/placement"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/routing"
	"github.com/wheelhoist/wheelhoist/internal/server"
	"github.com/wheelhoist/wheelhoist/internal/steward"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const defaultRetryShare = 0.1

func (n *Node) buildOnline() {
	n.registry = fleet.NewRegistry(n.settings.Node.Zone)
	n.index = fleet.NewPrefixIndex()
	n.shares = admission.NewShares(n.settings.Node.ID, n.transport, n.shareNodes)
	n.admission = admission.NewController(n.shares.Of)
	policy := routing.Policy(n.settings.Lab.RoutingPolicy)
	if policy == "" {
		policy = routing.PolicyPredict
	}
	n.dispatcher = &dispatch.Dispatcher{
		Registry: n.registry, Index: n.index,
		Router:  routing.NewRouter(policy, n.index, turnCounter()),
		Engines: n.engines, Budget: retry.NewBudget(defaultRetryShare),
		Sent:   func(replica string) { n.steward.OnlineSent(replica) },
		Unique: table.NewOperation()[:8],
	}
}

func (n *Node) buildBatch() {
	n.batch = batch.NewService(n.table, n.objects, n.announce)
	n.runner = batch.NewRunner(batch.RunnerOptions{
		Service: n.batch, Session: n.session, Watcher: n.watcher, Engines: n.engines,
		Table: n.table, Objects: n.objects, Log: n.log, Nodes: n.liveNodes,
		Weight: n.tenantWeight, Addresses: n.addressesOf,
		EqualPriority: n.settings.Lab.EqualPriority,
	})
	n.transport.HandleDatagram(peer.KindBatchNotice, n.takeBatchNotice)
	n.steward = steward.New(steward.Options{
		Self: n.settings.Node.ID, Zone: n.settings.Node.Zone, Registry: n.registry, Index: n.index,
		Engines: n.engines, Transport: n.transport, Members: n.stewardCandidates,
		Delegates: n.agent.Delegates, Policy: n.batchPolicy, Feed: n.runner.SetFeeds,
	})
	n.placement = placement.NewController(placement.Options{
		Table: n.table, Session: n.session, Watcher: n.watcher, Store: n.store,
		Orders: n.engines, Replicas: n.placementReplicas, Nodes: n.liveNodes, Log: n.log,
	})
}

func (n *Node) buildServer() error {
	metrics := newMetricsRegistry()
	n.registerMetrics(metrics)
	handler, err := server.New(server.Options{
		NodeID: n.settings.Node.ID, Log: n.log, Store: n.store, Fence: n.fence, Resources: n.propagator,
		Registry: n.registry, Dispatcher: n.dispatcher, Engines: n.engines, Admission: n.admission,
		Claims: idempotency.NewStore(n.table), Batch: n.batch, Status: n.Status, Metrics: metrics,
		OperatorKeySHA256: n.settings.Operator.KeySHA256, MaxStreams: n.settings.Node.MaxStreams,
		Drain: n.AskDrain,
	})
	if err != nil {
		return err
	}
	n.server = handler
	const headerTimeout = 5 * time.Second
	n.httpServer = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	return nil
}

// announce tells other nodes of a job's change, at most noticeFanout of them:
// the rest learn of a new job at their next look, and of an ended one by the
// refusal of their commits.
func (n *Node) announce(notice batch.Notice) {
	n.runner.Notify(notice)
	const noticeFanout = 64
	sent := 0
	for _, member := range n.agent.Members() {
		if member.ID == n.settings.Node.ID || !member.Live() || sent >= noticeFanout {
			continue
		}
		sent++
		_ = n.transport.Send(member.Address, peer.KindBatchNotice, notice)
	}
}

func (n *Node) takeBatchNotice(_ string, body []byte) {
	var notice batch.Notice
	if peer.Decode(body, &notice) == nil {
		n.runner.Notify(notice)
	}
}

func (n *Node) liveNodes() int {
	live := 0
	for _, member := range n.agent.Members() {
		if member.Live() {
			live++
		}
	}
	return live
}

func (n *Node) shareNodes() []admission.Node {
	var nodes []admission.Node
	for _, member := range n.agent.Members() {
		if member.Status == membership.Alive || member.Status == membership.Suspect {
			nodes = append(nodes, admission.Node{ID: member.ID, Address: member.Address})
		}
	}
	return nodes
}

func (n *Node) tenantWeight(name string) float64 {
	if entry, ok := n.store.Snapshot().Get(v1.KindTenant, name); ok {
		if spec, ok := entry.Spec.(*v1.TenantSpec); ok {
			return spec.Weight
		}
	}
	return 1
}

func (n *Node) batchPolicy(pool string) v1.BatchPolicy {
	if entry, ok := n.store.Snapshot().Get(v1.KindModelPool, pool); ok {
		if spec, ok := entry.Spec.(*v1.ModelPoolSpec); ok {
			return spec.Batch
		}
	}
	return v1.BatchPolicy{}
}

func (n *Node) addressesOf(model string) []string {
	var addresses []string
	for _, replica := range n.registry.Snapshot(time.Now()).Replicas {
		if replica.Model == model {
			addresses = append(addresses, replica.Address)
		}
	}
	return addresses
}

func (n *Node) placementReplicas() []placement.Replica {
	generations := map[string]string{}
	listed, _ := n.registry.Replicas()
	for _, machine := range listed {
		generations[machine.ID] = machine.Generation
	}
	var replicas []placement.Replica
	for _, replica := range n.registry.View(time.Now()).Replicas {
		replicas = append(replicas, placement.Replica{
			ID: replica.ID, Address: replica.Address, Zone: replica.Zone, Pool: replica.Pool,
			Generation: generations[replica.ID], State: replica.State, Reported: replica.Reported,
			Version: replica.Version, Adapters: replica.Adapters, Role: replica.Role, Fence: replica.Load.Fence,
		})
	}
	return replicas
}
